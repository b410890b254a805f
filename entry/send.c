#include <stdio.h>
#include <string.h>
#include <xxhash.h>

#include "clock/clock.h"
#include "entry/request.h"
#include "quarantine/quarantine.h"

/* Sends beyond the limit of the route, allowed after a target responded that
   it did not run the request.  */
#define NOT_RUN_EXTRA_SENDS_MAX 2
/* For one request, including attempts of which no byte was sent.  Those cost
   little, but each may wait for a connection.  */
#define ATTEMPTS_MAX 5
/* Longest acceptable wait in a target's queue, in percent of the route's
   latency target, for urgent and for other requests.  */
#define URGENT_QUEUE_WAIT_PERCENT 60
#define QUEUE_WAIT_PERCENT 45
/* Priorities up to this value are urgent.  */
#define URGENT_PRIORITY 1
/* Retry-After of a request that crashes targets: until it is tried again.  */
#define QUARANTINED_RETRY_AFTER_US QR_QUARANTINE_US
/* Values of Retry-After.  Queues advance in about a service time; a caller
   that retries at once finds them unchanged.  */
#define FULL_RETRY_AFTER_US 300000
#define NO_TARGET_RETRY_AFTER_US 600000
/* A request with less time left until its deadline is not sent.  */
#define SEND_TIME_LEFT_MIN_US 20000
/* A held request that could not be sent is refused this long before its
   deadline, so that the caller still gets the response.  */
#define HOLD_TIME_LEFT_US (SEND_TIME_LEFT_MIN_US / 2)
/* Requests that are not idempotent avoid connections that have been idle for
   longer: the target may have closed them without this daemon having seen
   it.  */
#define UNSAFE_IDLE_MAX_US 1500000

static void on_done (const BkResult *result, void *data);

static void
on_waiting (void *data)
{
  EnRequest *request = data;

  tg_attempt_note_answered (request->attempt, ck_boot_us ());
}

static TgSet *
get_targets (const EnRequest *request)
{
  return en_view_targets (request->proxy->options.view);
}

/* Longest acceptable wait in a target's queue.  The queue also delays a more
   urgent route of the service, so no request waits in it for longer than that
   route tolerates.  */
static int64_t
compute_wait_max (const EnRequest *request)
{
  int64_t percent = request->priority <= URGENT_PRIORITY
                        ? URGENT_QUEUE_WAIT_PERCENT
                        : QUEUE_WAIT_PERCENT;
  uint32_t latency_target_ms = request->route->latency_target_ms;
  uint32_t urgent_ms = rt_urgent_latency_target_ms (
      request->config, request->service, request->priority);

  if (urgent_ms > 0)
    latency_target_ms = MIN (latency_target_ms, urgent_ms);
  return (int64_t)latency_target_ms * CK_US_PER_MS * percent / 100;
}

/* Returns 0 for a request without a customer.  */
static uint64_t
hash_customer (const EnRequest *request)
{
  const char *name = request->customer != NULL ? request->customer->name : "";

  return *name != '\0' ? MAX (1, XXH3_64bits (name, strlen (name))) : 0;
}

static uint64_t
hash_address (const EnRequest *request)
{
  uint8_t network[MM_ADDRESS_BYTES];

  mm_network (network, request->front->peer_address);
  return MAX (1, XXH3_64bits (network, sizeof network));
}

static TgQuery
make_query (const EnRequest *request)
{
  const RtRoute *route = request->route;
  const RtService *service = rt_service (request->config, request->service);
  int64_t latency_target_us = (int64_t)route->latency_target_ms * CK_US_PER_MS;

  /* connections_max is for the requests of all daemons to a target, so this
     daemon uses at most half of it.  */
  return (TgQuery){
    .route = route->name,
    .service = request->service,
    .object_hash = request->object_hash,
    .has_large_response = route->has_large_responses,
    .request_hash = request->id_hash,
    .customer_hash = hash_customer (request),
    .address_hash = hash_address (request),
    .home_regions = route->home_regions,
    .customer_home_regions
    = request->customer != NULL ? request->customer->home_regions : NULL,
    .exclude = request->failed_target_hash,
    .avoid_limited = request->may_have_run,
    .cold_per_s = service->cold_per_s,
    .cold_ms = service->cold_ms,
    .latency_target_us = latency_target_us,
    .wait_max_us = compute_wait_max (request),
    .may_hold = !request->was_held,
    .in_flight_max = MAX (1, MIN (16, service->connections_max / 2)),
  };
}

static void
send_to_target (EnRequest *request, const TgChoice *choice, int64_t now_us)
{
  EnProxy *proxy = request->proxy;
  const EnDialect *dialect = proxy->options.dialect;
  BkRequest call = {
    .address = tg_address (choice->target),
    .method = request->front->method,
    .request_target = request->path_and_query,
    .headers = request->headers,
    .body = request->front->body,
    .body_bytes = request->front->body_bytes,
    .keeps_body = TRUE,
    .echo_header = dialect->request_id,
    .echo_value = request->id,
    .sends = &request->sends,
    .idle_max_us = request->route->idempotent ? 0 : UNSAFE_IDLE_MAX_US,
    .deadline_us = request->deadline_us,
    .caller_address = request->front->peer_address,
    .on_done = on_done,
    .on_waiting = on_waiting,
    .data = request,
  };
  char left_text[24];

  g_snprintf (left_text, sizeof left_text, "%" G_GINT64_FORMAT,
              (request->deadline_us - now_us) / CK_US_PER_MS);
  ht_headers_set (request->headers, dialect->deadline_ms, left_text);
  ht_headers_set (request->headers, dialect->expected_target_id,
                  tg_id (choice->target));
  request->attempt_count++;
  request->sent_us = now_us;
  mt_add (proxy->attempt_count, 1);
  tr_log (proxy->options.trace,
          request->send_count > 0 ? EV_REQUEST_RETRIED : EV_REQUEST_SENT,
          "request=%s content=%016" G_GINT64_MODIFIER
          "x route=%s service=%s customer=%s target=%s zone=%s "
          "object=%04x placed=%d known=%d wait_ms=%" G_GINT64_FORMAT
          " cost_ms=%" G_GINT64_FORMAT " left_ms=%s config=%" G_GUINT64_FORMAT
          " config_age_ms=%" G_GINT64_FORMAT,
          request->id, request->content_hash, request->route->name,
          request->service, en_request_customer_name (request),
          tg_id (choice->target), tg_zone (choice->target),
          (uint32_t)(request->object_hash & 0xffff), choice->is_replica,
          choice->cached, choice->wait_us / 1000, choice->cost_us / 1000,
          left_text, rt_config_version (request->config),
          en_view_config_age_us (proxy->options.view, now_us) / 1000);
  request->call = bk_request (proxy->connection_pool, &call);
}

/* MISS_US is the expected service time.  */
static AcRequest
make_rejected (const EnRequest *request, int64_t miss_us, int64_t now_us)
{
  return (AcRequest){ .service = request->service,
                      .priority = request->priority,
                      .hash = request->id_hash,
                      .service_us = miss_us,
                      .left_us = request->deadline_us - now_us };
}

/* Whether the request might have been sent for another customer or from
   another address.  */
static gboolean
is_share_used (TgPick pick, const TgChoice *choice)
{
  return (pick == TG_PICK_FULL || pick == TG_PICK_NONE)
         && choice->yield_count > 0;
}

/* Of a request that no target has received.  FULL_RETRY_US is the place in the
   virtual queue of its service.  */
static EnRefusal
refusal_without_target (TgPick pick, const TgChoice *choice,
                        int64_t full_retry_us)
{
  if (is_share_used (pick, choice))
    return (EnRefusal){ EN_OUTCOME_UNAVAILABLE, full_retry_us, "share_used" };
  if (pick == TG_PICK_FULL)
    return (EnRefusal){ EN_OUTCOME_UNAVAILABLE, full_retry_us,
                        "targets_full" };
  if (pick == TG_PICK_LIMITED)
    return (EnRefusal){ EN_OUTCOME_UNAVAILABLE,
                        MAX (FULL_RETRY_AFTER_US, choice->wait_us),
                        "targets_limited" };
  return (EnRefusal){ EN_OUTCOME_UNAVAILABLE, NO_TARGET_RETRY_AFTER_US,
                      "no_target" };
}

/* Rejects a request that did not run, with a place in the virtual queue of
   its service.  */
static void
fail_for_capacity (EnRequest *request, const char *reason)
{
  EnProxy *proxy = request->proxy;
  TgQuery query = make_query (request);
  int64_t now_us = ck_boot_us ();
  AcRequest rejected = make_rejected (
      request, tg_miss_us (get_targets (request), &query), now_us);
  int64_t retry_after_us = ac_retry_after (proxy->returns, &rejected, now_us);

  mt_observe (proxy->retry_after, retry_after_us);
  en_request_fail (request, EN_OUTCOME_UNAVAILABLE, retry_after_us, reason);
}

static void
fail_without_target (EnRequest *request, TgPick pick)
{
  EnRefusal refusal = refusal_without_target (pick, &request->choice, 0);

  if (request->may_have_run)
    refusal = (EnRefusal){ EN_OUTCOME_UNKNOWN, 0, "no_second_target" };
  else if (pick == TG_PICK_FULL || is_share_used (pick, &request->choice))
    {
      fail_for_capacity (request, refusal.reason);
      return;
    }
  en_request_fail (request, refusal.outcome, refusal.retry_after_us,
                   refusal.reason);
}

static int64_t
compute_hold_timeout (const EnRequest *request, const TgQuery *query,
                      int64_t now_us)
{
  int64_t left_us = request->deadline_us - HOLD_TIME_LEFT_US - now_us;

  return MAX (0, MIN (tg_miss_us (get_targets (request), query), left_us));
}

void
en_request_drop_attempt (EnRequest *request, int64_t now_us)
{
  gboolean fills_cache = tg_attempt_fills_cache (request->attempt);

  tg_attempt_end (get_targets (request), request->attempt,
                  &(TgResult){ .kind = TG_RESULT_CANCELLED }, now_us);
  request->attempt = NULL;
  if (fills_cache)
    en_proxy_release_held (request->proxy, request->object_hash);
}

static void
drop_limited_attempt (EnRequest *request, int64_t wait_us)
{
  int64_t now_us = ck_boot_us ();

  tg_pause_limited (request->attempt, now_us + wait_us);
  en_request_drop_attempt (request, now_us);
}

static gboolean
has_time_left (const EnRequest *request)
{
  return request->deadline_us - ck_boot_us () >= SEND_TIME_LEFT_MIN_US;
}

static void
on_target_token (EnPoolVerdict verdict, const EnTokenResult *result,
                 void *data)
{
  EnRequest *request = data;

  request->token_request = NULL;
  if (verdict == EN_POOL_ADMITTED && has_time_left (request)
      && tg_attempt_is_allowed (get_targets (request), request->attempt))
    {
      send_to_target (request, &request->choice, ck_boot_us ());
      return;
    }
  drop_limited_attempt (request, result->wait_us);
  en_request_send (request);
}

static EnPoolVerdict
take_target_token (EnRequest *request, EnTokenResult *result)
{
  const TgTarget *target = request->choice.target;
  EnLimitedTarget limited = { .id_hash = tg_id_hash (target),
                              .region = tg_region (target),
                              .limit_per_s = tg_limit_per_s (target) };
  EnPoolVerdict verdict;

  if (limited.limit_per_s <= 0)
    return EN_POOL_ADMITTED;
  verdict = en_pool_take_target_token (
      en_shares_pool (request->proxy->options.shares), &limited,
      on_target_token, request, result);
  if (verdict == EN_POOL_PENDING)
    request->token_request = result->token_request;
  return verdict;
}

/* Sends or holds the request, or requests a token for it.  Returns FALSE if no
   target can be used.  Each turn of the loop pauses a target.  */
static gboolean
try_send (EnRequest *request, TgPick *pick)
{
  TgSet *targets = get_targets (request);

  while (TRUE)
    {
      TgQuery query = make_query (request);
      int64_t now_us = ck_boot_us ();
      EnTokenResult token;
      EnPoolVerdict verdict;

      *pick = tg_pick (targets, &query, now_us, &request->choice);
      if (*pick == TG_PICK_HOLD)
        {
          en_request_hold (request,
                           compute_hold_timeout (request, &query, now_us));
          return TRUE;
        }
      if (*pick != TG_PICK_FOUND)
        return FALSE;
      request->attempt
          = tg_attempt_begin (targets, &query, &request->choice, now_us);
      verdict = take_target_token (request, &token);
      if (verdict == EN_POOL_ADMITTED)
        send_to_target (request, &request->choice, now_us);
      if (verdict != EN_POOL_REFUSED)
        return TRUE;
      drop_limited_attempt (request, token.wait_us);
    }
}

static gboolean
is_quarantined (const EnRequest *request)
{
  return en_suspects_is_quarantined (
      en_shares_suspects (request->proxy->options.shares),
      request->content_hash);
}

/* A trial that waited for a token or another request is still one.  */
static gboolean
may_send (EnRequest *request)
{
  QrVerdict verdict;

  if (request->is_trial)
    return TRUE;
  verdict
      = en_suspects_check (en_shares_suspects (request->proxy->options.shares),
                           request->content_hash);
  request->is_trial = verdict == QR_TRIAL;
  return verdict != QR_QUARANTINED;
}

static void
fail_quarantined (EnRequest *request)
{
  if (request->may_have_run)
    en_request_fail (request, EN_OUTCOME_UNKNOWN, 0, "crashes_targets");
  else
    en_request_fail (request, EN_OUTCOME_UNAVAILABLE,
                     QUARANTINED_RETRY_AFTER_US, "crashes_targets");
}

void
en_request_send (EnRequest *request)
{
  TgPick pick;

  if (!may_send (request))
    {
      fail_quarantined (request);
      return;
    }
  if (!has_time_left (request))
    {
      if (request->may_have_run)
        en_request_fail (request, EN_OUTCOME_TIMEOUT, 0,
                         "deadline_passed_in_retry");
      else
        en_request_fail (request, EN_OUTCOME_UNAVAILABLE, FULL_RETRY_AFTER_US,
                         "deadline_passed");
      return;
    }
  if (!try_send (request, &pick))
    fail_without_target (request, pick);
}

gboolean
en_request_explain_send (const EnRequest *request, int64_t now_us,
                         TgExplanation *explanation, EnRefusal *refusal)
{
  TgQuery query = make_query (request);
  AcRequest rejected;

  tg_explain (get_targets (request), &query, now_us, explanation);
  rejected = make_rejected (request, explanation->miss_us, now_us);
  if (is_quarantined (request))
    *refusal = (EnRefusal){ EN_OUTCOME_UNAVAILABLE, QUARANTINED_RETRY_AFTER_US,
                            "crashes_targets" };
  else if (!has_time_left (request))
    *refusal = (EnRefusal){ EN_OUTCOME_UNAVAILABLE, FULL_RETRY_AFTER_US,
                            "deadline_passed" };
  else if (explanation->pick == TG_PICK_FOUND
           || explanation->pick == TG_PICK_HOLD)
    return TRUE;
  else
    *refusal = refusal_without_target (
        explanation->pick, &explanation->choice,
        ac_peek_retry_after (request->proxy->returns, &rejected, now_us));
  return FALSE;
}

static gboolean
parse_load (const EnRequest *request, const BkResult *result,
            TgResult *attempt_result)
{
  const char *text;

  if (!result->complete)
    return FALSE;
  text = ht_headers_get (result->headers,
                         request->proxy->options.dialect->load);
  return text != NULL
         && sscanf (text, "%u,%u", &attempt_result->running_count,
                    &attempt_result->waiting_count)
                == 2;
}

typedef enum
{
  VERDICT_SUCCESS,
  VERDICT_ERROR_RESPONSE, /* complete, status >= 300 */
  VERDICT_NOT_RUN,     /* the target refused the request without running it */
  VERDICT_MISDIRECTED, /* another target has the address now */
  VERDICT_INVALID_RESPONSE, /* success status, but unsigned or encoded, or a
                               refusal without the request's id */
  VERDICT_NOT_SENT,         /* no byte was sent */
  VERDICT_NO_RESPONSE,      /* no complete response */
} Verdict;

/* A claim without the request's id may be of an earlier request on the same
   connection, which the target repeats.  */
static gboolean
claims_not_run (const EnDialect *dialect, const BkResult *result)
{
  return result->status == 421
         || ht_headers_get (result->headers, dialect->not_run) != NULL;
}

static Verdict
classify_result (const EnRequest *request, const BkResult *result)
{
  const EnDialect *dialect = request->proxy->options.dialect;

  if (!result->complete)
    return result->sent == BK_SENT_NONE ? VERDICT_NOT_SENT
                                        : VERDICT_NO_RESPONSE;
  if (claims_not_run (dialect, result) && !result->echoes_id)
    return VERDICT_INVALID_RESPONSE;
  if (result->status == 421)
    return VERDICT_MISDIRECTED;
  if (ht_headers_get (result->headers, dialect->not_run) != NULL)
    return VERDICT_NOT_RUN;
  if (result->status >= 300)
    return VERDICT_ERROR_RESPONSE;
  if (ht_headers_get (result->headers, dialect->signature) == NULL
      || ht_headers_get (result->headers, "Content-Encoding") != NULL)
    return VERDICT_INVALID_RESPONSE;
  return VERDICT_SUCCESS;
}

static gboolean
is_from_target (Verdict verdict)
{
  return verdict == VERDICT_SUCCESS || verdict == VERDICT_ERROR_RESPONSE
         || verdict == VERDICT_NOT_RUN;
}

static void
read_notice (EnRequest *request, const BkResult *result)
{
  EnProxy *proxy = request->proxy;
  const TgTarget *target = tg_attempt_target (request->attempt);
  NtNotice notice;
  uint32_t news;

  nt_decode (&proxy->options.dialect->notices, result->status, result->headers,
             &notice);
  if (notice.invalid_count > 0)
    {
      mt_add (proxy->invalid_notice_count, notice.invalid_count);
      tr_log (proxy->options.trace, EV_TARGET_NOTICE_INVALID,
              "request=%s target=%s ignored=%u", request->id, tg_id (target),
              notice.invalid_count);
    }
  news = tg_apply_notice (get_targets (request), request->attempt, &notice,
                          ck_boot_us ());
  if ((news & TG_NEWS_LIMIT) != 0)
    tr_log (proxy->options.trace, EV_TARGET_RATE,
            "request=%s target=%s zone=%s service=%s limit_per_s=%.3f",
            request->id, tg_id (target), tg_zone (target), request->service,
            tg_limit_per_s (target));
  if ((news & TG_NEWS_PAUSE) != 0)
    tr_log (
        proxy->options.trace, EV_TARGET_PAUSED,
        "request=%s target=%s zone=%s service=%s pause_ms=%" G_GINT64_FORMAT,
        request->id, tg_id (target), tg_zone (target), request->service,
        notice.pause_us / 1000);
  if ((news & TG_NEWS_LEAVING) != 0)
    en_shares_report_leaving (proxy->options.shares, tg_id (target),
                              tg_started_ms (target));
}

static const TgResultKind result_kinds[] = {
  [VERDICT_SUCCESS] = TG_RESULT_SUCCESS,
  [VERDICT_ERROR_RESPONSE] = TG_RESULT_FAILED,
  [VERDICT_NOT_RUN] = TG_RESULT_SHED,
  [VERDICT_MISDIRECTED] = TG_RESULT_MISDIRECTED,
  [VERDICT_INVALID_RESPONSE] = TG_RESULT_FAILED,
  [VERDICT_NOT_SENT] = TG_RESULT_NO_RESPONSE,
  [VERDICT_NO_RESPONSE] = TG_RESULT_NO_RESPONSE,
};

static void
end_attempt (EnRequest *request, Verdict verdict, const BkResult *result)
{
  TgResult attempt_result = { .kind = result_kinds[verdict] };
  gboolean fills_cache = tg_attempt_fills_cache (request->attempt);
  uint64_t object_hash = tg_attempt_object_hash (request->attempt);

  if (verdict == VERDICT_ERROR_RESPONSE && result->status < 500)
    attempt_result.kind = TG_RESULT_SUCCESS;
  if (verdict == VERDICT_NO_RESPONSE && result->failure == BK_FAILURE_TIMEOUT)
    attempt_result.kind = TG_RESULT_TIMEOUT;
  /* This daemon is short of memory; the target has responded.  */
  if (result->failure == BK_FAILURE_MEMORY)
    attempt_result.kind = TG_RESULT_CANCELLED;
  if (is_from_target (verdict))
    read_notice (request, result);
  attempt_result.has_load = parse_load (request, result, &attempt_result);
  tg_attempt_end (get_targets (request), request->attempt, &attempt_result,
                  ck_boot_us ());
  request->attempt = NULL;
  if (fills_cache)
    en_proxy_release_held (request->proxy, object_hash);
}

/* Notes whether the request ran well, or was on a target that may have
   ended.  */
static void
note_suspect (const EnRequest *request, Verdict verdict,
              const BkResult *result)
{
  EnSuspects *suspects = en_shares_suspects (request->proxy->options.shares);
  const TgTarget *target = tg_attempt_target (request->attempt);
  EnLoss loss = { .content_hash = request->content_hash,
                  .incarnation_hash = tg_incarnation_hash (target),
                  .target_id = tg_id (target),
                  .target_address = tg_address (target) };

  if (verdict == VERDICT_SUCCESS || verdict == VERDICT_ERROR_RESPONSE)
    en_suspects_note_served (suspects, request->content_hash);
  else if (verdict == VERDICT_NO_RESPONSE
           && result->failure == BK_FAILURE_CLOSED)
    en_suspects_note_lost (suspects, &loss);
}

/* Whether the request may be sent to another target after a failure.  */
static gboolean
may_retry (EnRequest *request, Verdict verdict)
{
  EnProxy *proxy = request->proxy;
  /* Attempts of which no byte was sent are not counted.  */
  uint32_t sends_max = request->route->attempts_max;

  if (proxy->requests_ended || request->is_trial || is_quarantined (request)
      || request->attempt_count >= ATTEMPTS_MAX || !has_time_left (request))
    return FALSE;
  if (verdict == VERDICT_NOT_SENT)
    return TRUE;
  if (request->may_have_run && !request->route->idempotent)
    return FALSE;
  if (verdict == VERDICT_NOT_RUN || verdict == VERDICT_MISDIRECTED)
    sends_max += NOT_RUN_EXTRA_SENDS_MAX;
  if (request->send_count >= sends_max)
    return FALSE;
  return lm_retry_budget_take (en_shares_budget (proxy->options.shares),
                               request->service, ck_boot_us ());
}

/* Whether STATUS tells the caller that the request did not run.  Such a
   response is not forwarded where the request may have run.  */
static gboolean
promises_not_run (uint32_t status)
{
  return status == 408 || status == 421 || status == 429 || status == 503;
}

static void
respond (EnRequest *request, Verdict verdict, const BkResult *result)
{
  if (verdict == VERDICT_SUCCESS
      || (verdict == VERDICT_ERROR_RESPONSE
          && !promises_not_run (result->status)))
    en_request_forward_response (request, result);
  else if (result->failure == BK_FAILURE_TIMEOUT)
    en_request_fail (request, EN_OUTCOME_TIMEOUT, 0, "target_timeout");
  else if (request->may_have_run)
    en_request_fail (request, EN_OUTCOME_UNKNOWN, 0,
                     verdict == VERDICT_NO_RESPONSE
                         ? bk_failure_name (result->failure)
                         : "answer_unusable");
  else if (verdict == VERDICT_NOT_RUN)
    fail_for_capacity (request, "target_refused");
  else
    en_request_fail (request, EN_OUTCOME_UNAVAILABLE, FULL_RETRY_AFTER_US,
                     "target_refused");
}

static void
log_failed_attempt (const EnRequest *request, Verdict verdict,
                    const BkResult *result)
{
  static const char *const verdict_names[] = {
    [VERDICT_SUCCESS] = "success",
    [VERDICT_ERROR_RESPONSE] = "own_failure",
    [VERDICT_NOT_RUN] = "unrun",
    [VERDICT_MISDIRECTED] = "misplaced",
    [VERDICT_INVALID_RESPONSE] = "spoiled",
    [VERDICT_NOT_SENT] = "unsent",
    [VERDICT_NO_RESPONSE] = "lost",
  };
  const TgTarget *target = tg_attempt_target (request->attempt);

  tr_log (request->proxy->options.trace, EV_SEND_FAILED,
          "request=%s target=%s verdict=%s status=%u failure=%s "
          "connection=%" G_GUINT64_FORMAT
          " reused=%d took_ms=%" G_GINT64_FORMAT,
          request->id, tg_id (target), verdict_names[verdict], result->status,
          bk_failure_name (result->failure), result->connection,
          result->reused, (ck_boot_us () - request->sent_us) / 1000);
}

static void
on_done (const BkResult *result, void *data)
{
  EnRequest *request = data;
  Verdict verdict = classify_result (request, result);
  gboolean is_final
      = verdict == VERDICT_SUCCESS
        || (verdict == VERDICT_ERROR_RESPONSE && result->status < 500);
  TgPick pick;

  request->call = NULL;
  if (verdict != VERDICT_NOT_SENT)
    request->send_count++;
  if (verdict != VERDICT_NOT_SENT && verdict != VERDICT_NOT_RUN
      && verdict != VERDICT_MISDIRECTED)
    request->may_have_run = TRUE;
  if (verdict != VERDICT_SUCCESS)
    log_failed_attempt (request, verdict, result);
  note_suspect (request, verdict, result);
  request->failed_target_hash
      = tg_id_hash (tg_attempt_target (request->attempt));
  end_attempt (request, verdict, result);
  /* Another target's response would find no room either.  */
  if (is_final || result->failure == BK_FAILURE_MEMORY
      || !may_retry (request, verdict))
    {
      respond (request, verdict, result);
      return;
    }
  mt_add (request->proxy->retry_count, 1);
  if (!try_send (request, &pick))
    respond (request, verdict, result);
}
