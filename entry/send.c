#include <stdio.h>
#include <string.h>

#include "clock/clock.h"
#include "entry/request.h"

/* Sends beyond the route's limit, for those that a target refused unrun.  */
#define UNRUN_SENDS_MAX 2
/* Tries that reached no target cost little, but each may wait for a
   connection.  */
#define TRIES_MAX 5
/* Longest queue that is worth waiting in, in percent of the route's target
   latency, for the most urgent requests and for others.  */
#define URGENT_WAIT_PERCENT 60
#define WAIT_PERCENT 45
/* Priorities up to this are urgent.  */
#define URGENT_PRIORITY 1
/* When to come back: queues move on within about a service time, but a client
   that comes back at once finds them as they were.  */
#define FULL_RETRY_US 300000
#define NO_TARGET_RETRY_US 600000
/* Less time than this is not worth a send.  */
#define SEND_LEFT_MIN_US 20000
/* Unsafe requests avoid connections that their target may have closed
   unseen.  */
#define UNSAFE_IDLE_MAX_US 1500000

static void on_done (const BkResult *result, void *data);

static TgSet *
targets_of (const EnRequest *request)
{
  return en_view_targets (request->proxy->options.view);
}

static TgQuery
make_query (const EnRequest *request)
{
  const RtRoute *route = request->route;
  const RtService *service = rt_service (request->config, request->service);
  int64_t latency_us = (int64_t)route->latency_ms * CK_US_PER_MS;
  int64_t percent = request->priority <= URGENT_PRIORITY ? URGENT_WAIT_PERCENT
                                                         : WAIT_PERCENT;

  return (TgQuery){
    .route = route->name,
    .service = request->service,
    .object_hash = request->object_hash,
    .spread = request->spread,
    .homes = route->homes,
    .customer_homes
    = request->customer != NULL ? request->customer->homes : NULL,
    .except = request->failed,
    .cold_per_s = service->cold_per_s,
    .cold_ms = service->cold_ms,
    .latency_us = latency_us,
    .wait_max_us = latency_us * percent / 100,
    .may_hold = !request->was_held,
    .uses_max = MAX (1, MIN (16, service->connections_max / 2)),
  };
}

static void
hand_over (EnRequest *request, const TgChoice *choice, int64_t now_us)
{
  EnProxy *proxy = request->proxy;
  const EnDialect *dialect = proxy->options.dialect;
  BkRequest call = {
    .address = tg_address (choice->target),
    .method = request->front->method,
    .target = request->target,
    .headers = request->headers,
    .body = request->front->body,
    .body_bytes = request->front->body_bytes,
    .echo_name = dialect->request_id,
    .echo_value = request->id,
    .idle_max_us = request->route->idempotent ? 0 : UNSAFE_IDLE_MAX_US,
    .deadline_us = request->deadline_us,
    .on_done = on_done,
    .data = request,
  };
  char left[24];

  g_snprintf (left, sizeof left, "%" G_GINT64_FORMAT,
              (request->deadline_us - now_us) / CK_US_PER_MS);
  ht_headers_set (request->headers, dialect->deadline_ms, left);
  ht_headers_set (request->headers, dialect->expected_id,
                  tg_id (choice->target));
  request->tries++;
  request->sent_us = now_us;
  mt_add (proxy->sends, 1);
  tr_line (proxy->options.trace,
           request->sends > 0 ? EV_REQUEST_RETRIED : EV_REQUEST_SENT,
           "request=%s route=%s service=%s customer=%s target=%s zone=%s "
           "object=%04x placed=%d known=%d wait_ms=%" G_GINT64_FORMAT
           " cost_ms=%" G_GINT64_FORMAT " left_ms=%s config=%" G_GUINT64_FORMAT
           " config_age_ms=%" G_GINT64_FORMAT,
           request->id, request->route->name, request->service,
           request->customer != NULL ? request->customer->name : "-",
           tg_id (choice->target), tg_zone (choice->target),
           (uint32_t)(request->object_hash & 0xffff), choice->placed,
           choice->known, choice->wait_us / 1000, choice->cost_us / 1000, left,
           rt_version (request->config),
           en_view_age_us (proxy->options.view, now_us) / 1000);
  request->call = bk_request (proxy->pool, &call);
}

/* No target was found.  */
static void
give_up (EnRequest *request, TgPick pick)
{
  if (request->may_have_run)
    en_request_refuse (request, EN_OUTCOME_UNKNOWN, 0, "no_second_target");
  else if (pick == TG_PICK_FULL)
    en_request_refuse (request, EN_OUTCOME_FULL, FULL_RETRY_US,
                       "targets_full");
  else
    en_request_refuse (request, EN_OUTCOME_FULL, NO_TARGET_RETRY_US,
                       "no_target");
}

/* Returns FALSE when no target may be used; the request is held, too, where
   that is best.  */
static gboolean
try_send (EnRequest *request, TgPick *pick)
{
  TgSet *targets = targets_of (request);
  TgQuery query = make_query (request);
  int64_t now_us = ck_boot_us ();
  TgChoice choice;

  *pick = tg_pick (targets, &query, now_us, &choice);
  if (*pick == TG_PICK_HOLD)
    {
      en_request_hold (request, tg_unknown_us (targets, &query));
      return TRUE;
    }
  if (*pick != TG_PICK_FOUND)
    return FALSE;
  request->use = tg_begin (targets, &query, &choice, now_us);
  hand_over (request, &choice, now_us);
  return TRUE;
}

void
en_request_send (EnRequest *request)
{
  TgPick pick;

  if (request->deadline_us - ck_boot_us () < SEND_LEFT_MIN_US)
    {
      en_request_refuse (request, EN_OUTCOME_FULL, FULL_RETRY_US,
                         "deadline_passed");
      return;
    }
  if (!try_send (request, &pick))
    give_up (request, pick);
}

static gboolean
read_load (const EnRequest *request, const BkResult *result, TgEnd *end)
{
  const char *text;

  if (!result->complete)
    return FALSE;
  text = ht_headers_get (result->headers,
                         request->proxy->options.dialect->load);
  return text != NULL
         && sscanf (text, "%u,%u", &end->running_count, &end->waiting_count)
                == 2;
}

typedef enum
{
  VERDICT_SUCCESS,
  VERDICT_OWN_FAILURE, /* the target's, as a whole answer */
  VERDICT_UNRUN,       /* refused by the target */
  VERDICT_MISPLACED,   /* another target has the address */
  VERDICT_SPOILED,     /* a success that is not the target's */
  VERDICT_UNSENT,
  VERDICT_LOST,
} Verdict;

static Verdict
judge (const EnRequest *request, const BkResult *result)
{
  const EnDialect *dialect = request->proxy->options.dialect;

  if (!result->complete)
    return result->sent == BK_SENT_NONE ? VERDICT_UNSENT : VERDICT_LOST;
  if (result->status == 421)
    return VERDICT_MISPLACED;
  if (ht_headers_get (result->headers, dialect->not_run) != NULL)
    return VERDICT_UNRUN;
  if (result->status >= 300)
    return VERDICT_OWN_FAILURE;
  if (ht_headers_get (result->headers, dialect->signature) == NULL
      || ht_headers_get (result->headers, "Content-Encoding") != NULL)
    return VERDICT_SPOILED;
  return VERDICT_SUCCESS;
}

static const TgEndKind ends[] = {
  [VERDICT_SUCCESS] = TG_END_ANSWERED, [VERDICT_OWN_FAILURE] = TG_END_FAILED,
  [VERDICT_UNRUN] = TG_END_SHED,       [VERDICT_MISPLACED] = TG_END_MISPLACED,
  [VERDICT_SPOILED] = TG_END_FAILED,   [VERDICT_UNSENT] = TG_END_LOST,
  [VERDICT_LOST] = TG_END_LOST,
};

static void
end_use (EnRequest *request, Verdict verdict, const BkResult *result)
{
  TgEnd end = { .kind = ends[verdict] };
  gboolean teaches = tg_use_teaches (request->use);
  uint64_t object_hash = tg_use_object (request->use);

  if (verdict == VERDICT_OWN_FAILURE && result->status < 500)
    end.kind = TG_END_ANSWERED;
  if (verdict == VERDICT_LOST && result->failure == BK_FAILURE_TIMEOUT)
    end.kind = TG_END_FAILED;
  end.has_load = read_load (request, result, &end);
  tg_end (targets_of (request), request->use, &end, ck_boot_us ());
  request->use = NULL;
  if (teaches)
    en_release_held (request->proxy, object_hash);
}

/* Whether a failure may be mended by another target.  */
static gboolean
may_repeat (EnRequest *request, Verdict verdict)
{
  EnProxy *proxy = request->proxy;
  uint32_t sends_max = request->route->attempts_max;

  if (request->tries >= TRIES_MAX
      || request->deadline_us - ck_boot_us () < SEND_LEFT_MIN_US)
    return FALSE;
  if (verdict == VERDICT_UNSENT)
    return TRUE;
  if (request->may_have_run && !request->route->idempotent)
    return FALSE;
  if (verdict == VERDICT_UNRUN || verdict == VERDICT_MISPLACED)
    sends_max += UNRUN_SENDS_MAX;
  if (request->sends >= sends_max)
    return FALSE;
  return lm_budget_take (en_shares_budget (proxy->options.shares),
                         request->service, ck_boot_us ());
}

/* A target's refusal promises that the request did not run.  Where it may
   have run, the caller must not be told so.  */
static gboolean
is_promise (uint32_t status)
{
  return status == 408 || status == 421 || status == 429 || status == 503;
}

static void
answer (EnRequest *request, Verdict verdict, const BkResult *result)
{
  if (verdict == VERDICT_SUCCESS
      || (verdict == VERDICT_OWN_FAILURE && !is_promise (result->status)))
    en_request_answer (request, result);
  else if (result->failure == BK_FAILURE_TIMEOUT)
    en_request_refuse (request, EN_OUTCOME_TIMEOUT, 0, "target_timeout");
  else if (request->may_have_run)
    en_request_refuse (request, EN_OUTCOME_UNKNOWN, 0,
                       verdict == VERDICT_LOST
                           ? bk_failure_name (result->failure)
                           : "answer_unusable");
  else
    en_request_refuse (request, EN_OUTCOME_FULL, FULL_RETRY_US,
                       "target_refused");
}

static void
log_failure (const EnRequest *request, Verdict verdict, const BkResult *result)
{
  static const char *const names[] = {
    [VERDICT_SUCCESS] = "success", [VERDICT_OWN_FAILURE] = "own_failure",
    [VERDICT_UNRUN] = "unrun",     [VERDICT_MISPLACED] = "misplaced",
    [VERDICT_SPOILED] = "spoiled", [VERDICT_UNSENT] = "unsent",
    [VERDICT_LOST] = "lost",
  };
  const TgTarget *target = tg_use_target (request->use);

  tr_line (request->proxy->options.trace, EV_SEND_FAILED,
           "request=%s target=%s verdict=%s status=%u failure=%s "
           "reused=%d took_ms=%" G_GINT64_FORMAT,
           request->id, tg_id (target), names[verdict], result->status,
           bk_failure_name (result->failure), result->reused,
           (ck_boot_us () - request->sent_us) / 1000);
}

static void
on_done (const BkResult *result, void *data)
{
  EnRequest *request = data;
  Verdict verdict = judge (request, result);
  gboolean is_final
      = verdict == VERDICT_SUCCESS
        || (verdict == VERDICT_OWN_FAILURE && result->status < 500);
  TgPick pick;

  request->call = NULL;
  if (verdict != VERDICT_UNSENT)
    request->sends++;
  if (verdict != VERDICT_UNSENT && verdict != VERDICT_UNRUN
      && verdict != VERDICT_MISPLACED)
    request->may_have_run = TRUE;
  if (verdict != VERDICT_SUCCESS)
    log_failure (request, verdict, result);
  request->failed = tg_key (tg_use_target (request->use));
  end_use (request, verdict, result);
  if (is_final || !may_repeat (request, verdict))
    {
      answer (request, verdict, result);
      return;
    }
  mt_add (request->proxy->repeats, 1);
  if (!try_send (request, &pick))
    answer (request, verdict, result);
}
