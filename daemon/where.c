#include "daemon/daemon.h"

#include <json-c/json.h>

#include "question/question.h"

/* The policy chooses at random among similar targets, so an explanation draws
   several times.  */
#define DRAWS_COUNT 64
#define CANDIDATES_MAX 16

typedef struct
{
  uint32_t status;
  const char *reason;
  uint32_t retry_after_ms; /* 0: none */
} Refusal;

/* How often each verdict and target was chosen.  */
typedef struct
{
  uint32_t verdict_counts[SR_VERDICT_REFUSE + 1];
  GArray *target_counts; /* uint32_t, for each target of the service */
} Draws;

static void
add_string (struct json_object *object, const char *name, const char *text)
{
  json_object_object_add (object, name, json_object_new_string (text));
}

static void
add_int (struct json_object *object, const char *name, int64_t value)
{
  json_object_object_add (object, name, json_object_new_int64 (value));
}

static void
add_bool (struct json_object *object, const char *name, gboolean value)
{
  json_object_object_add (object, name, json_object_new_boolean (value));
}

static void
add_refusal (struct json_object *answer, const Refusal *refusal)
{
  add_string (answer, "decision", "refuse");
  add_int (answer, "status", refusal->status);
  add_string (answer, "reason", refusal->reason);
  if (refusal->retry_after_ms > 0)
    add_int (answer, "retry_after_ms", refusal->retry_after_ms);
}

static gboolean
refuse (Refusal *refusal, uint32_t status, const char *reason,
        uint32_t retry_after_ms)
{
  *refusal = (Refusal){ status, reason, retry_after_ms };
  return FALSE;
}

static void
add_daemon (struct json_object *answer, const DmDaemon *daemon, int64_t now_us)
{
  add_string (answer, "vm", daemon->settings->vm);
  add_string (answer, "zone", daemon->settings->zone);
  add_string (answer, "region", daemon->settings->region);
  if (daemon->config == NULL)
    return;
  add_int (answer, "config_version", (int64_t)daemon->config->version);
  if (daemon->config_confirmed_us != 0)
    add_int (answer, "config_age_ms",
             (now_us - daemon->config_confirmed_us) / CK_US_PER_MS);
}

/* Sets CUSTOMER to that of the key, or to NULL on an open route.  */
static gboolean
check_key (DmDaemon *daemon, const CfRoute *route, const QsQuestion *question,
           int64_t now_us, const CfCustomer **customer, Refusal *refusal)
{
  g_autoptr (GError) error = NULL;
  KyMatch match;

  *customer = NULL;
  if (route->open)
    return TRUE;
  if (!dm_is_fresh (daemon, now_us))
    return refuse (refusal, 503, "config_stale", DM_STALE_RETRY_AFTER_MS);
  if (!question->has_key)
    return refuse (refusal, 401, "key_missing", 0);
  if (!ky_lookup (daemon->keys, question->key_sha256, &match, &error))
    return refuse (refusal, 401, dm_key_error_name (error), 0);
  *customer = match.customer;
  return TRUE;
}

/* Returns FALSE if the request would be refused.  With lending, it would wait
   for tokens of other daemons.  */
static gboolean
check_rate (struct json_object *answer, DmDaemon *daemon,
            const CfCustomer *customer, int64_t now_us, Refusal *refusal)
{
  gboolean has_token;

  if (customer == NULL)
    return TRUE;
  has_token = qt_available_utok (
                  daemon->quotas,
                  dm_quota_id ("customer", customer->name, NULL), now_us)
              >= QT_TOKEN_UTOK;
  add_string (answer, "customer", customer->name);
  add_string (answer, "token",
              has_token ? "available"
              : daemon->settings->admission == SE_ADMISSION_SPLIT
                  ? "none"
                  : "wanted_from_other_daemons");
  return has_token || daemon->settings->admission != SE_ADMISSION_SPLIT
         || refuse (refusal, 429, "rate_exceeded",
                    dm_token_wait_ms (daemon, customer->name));
}

static void
draw (DmService *service, const DmView *view, Draws *draws)
{
  uint32_t target_count = view->view.target_count;

  *draws = (Draws){ .target_counts
                    = g_array_new (FALSE, TRUE, sizeof (uint32_t)) };
  g_array_set_size (draws->target_counts, target_count);
  for (uint64_t i = 1; i <= DRAWS_COUNT; i++)
    {
      SrRequest request = { .random = i };
      SrChoice choice;
      dm_choose_target (service, view, &request, FALSE, &choice);
      draws->verdict_counts[choice.verdict]++;
      if (choice.target < target_count)
        g_array_index (draws->target_counts, uint32_t, choice.target)++;
    }
}

static SrVerdict
most_frequent_verdict (const Draws *draws)
{
  SrVerdict best = SR_VERDICT_OWN;

  for (SrVerdict verdict = SR_VERDICT_OWN; verdict <= SR_VERDICT_REFUSE;
       verdict++)
    if (draws->verdict_counts[verdict] > draws->verdict_counts[best])
      best = verdict;
  return best;
}

/* Indexes of the targets, those chosen most often first.  */
static gint
compare_counts (gconstpointer a, gconstpointer b, gpointer data)
{
  const GArray *counts = data;
  uint32_t left = *(const uint32_t *)a;
  uint32_t right = *(const uint32_t *)b;
  uint32_t left_count = g_array_index (counts, uint32_t, left);
  uint32_t right_count = g_array_index (counts, uint32_t, right);

  if (left_count != right_count)
    return left_count > right_count ? -1 : 1;
  return (left > right) - (left < right);
}

static GArray *
order_targets (const Draws *draws)
{
  GArray *order = g_array_new (FALSE, FALSE, sizeof (uint32_t));

  for (uint32_t i = 0; i < draws->target_counts->len; i++)
    g_array_append_val (order, i);
  g_array_sort_with_data (order, compare_counts, draws->target_counts);
  return order;
}

static const char *
target_state (const DmTarget *target, const SrTarget *row)
{
  if (!target->listed)
    return "unlisted";
  if (target->leaving)
    return "leaving";
  if (row->draining)
    return "draining";
  if (!row->healthy)
    return "unhealthy";
  return row->shed_permille > SR_SHED_MAX_PERMILLE ? "shedding" : "allowed";
}

static uint32_t
lendable_count (const SrTarget *row)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < row->lender_count; i++)
    count += row->lenders[i].free_count;
  return count;
}

static const char *
region_name (const DmView *view, const SrTarget *row)
{
  return view->view.regions[view->view.zones[row->zone].region].name;
}

static struct json_object *
make_candidate (const DmService *service, const DmView *view, uint32_t index,
                uint32_t draw_count)
{
  const DmTarget *target = service->targets->pdata[index];
  const SrTarget *row = &view->view.targets[index];
  struct json_object *object = json_object_new_object ();

  add_string (object, "id", target->name);
  add_string (object, "zone", target->zone);
  add_string (object, "region", region_name (view, row));
  add_string (object, "state", target_state (target, row));
  add_int (object, "chosen_count", draw_count);
  add_int (object, "own_free_slots", row->own_free_count);
  add_int (object, "lendable_slots", lendable_count (row));
  add_int (object, "slots_in_use", row->in_use_count);
  add_int (object, "slots", row->slot_count);
  add_int (object, "limit_slots", row->limit_count);
  add_int (object, "latency_ms", row->latency_us / CK_US_PER_MS);
  add_int (object, "shed_permille", row->shed_permille);
  if (target->reported_us != 0)
    add_int (object, "load_age_ms", row->reported_age_ms);
  return object;
}

static void
add_candidates (struct json_object *answer, const DmService *service,
                const DmView *view, const Draws *draws)
{
  g_autoptr (GArray) order = order_targets (draws);
  struct json_object *candidates = json_object_new_array ();

  for (uint32_t i = 0; i < MIN (order->len, CANDIDATES_MAX); i++)
    {
      uint32_t index = g_array_index (order, uint32_t, i);
      json_object_array_add (
          candidates, make_candidate (service, view, index,
                                      g_array_index (draws->target_counts,
                                                     uint32_t, index)));
    }
  json_object_object_add (answer, "candidates", candidates);
  add_int (answer, "target_count", order->len);
  add_int (answer, "draws", DRAWS_COUNT);
}

/* IS_ADMITTED is FALSE if the request is refused for its rate, which is in
   ANSWER already.  */
static void
explain_targets (struct json_object *answer, DmDaemon *daemon,
                 DmService *service, gboolean is_admitted, int64_t now_us)
{
  static const char *const decisions[] = {
    [SR_VERDICT_OWN] = "send_own",
    [SR_VERDICT_BORROW] = "borrow",
    [SR_VERDICT_WAIT] = "queue",
    [SR_VERDICT_REFUSE] = "refuse",
  };
  SrVerdict verdict;
  DmView view;
  Draws draws;

  dm_view_fill (daemon, service, &view, now_us);
  draw (service, &view, &draws);
  verdict = most_frequent_verdict (&draws);
  add_int (answer, "queue_length", fq_request_count (service->queue));
  if (is_admitted && verdict == SR_VERDICT_REFUSE)
    add_refusal (answer,
                 &(Refusal){ 503, "no_target", DM_NO_TARGET_RETRY_AFTER_MS });
  else if (is_admitted)
    add_string (answer, "decision",
                fq_request_count (service->queue) > 0 ? "queue"
                                                      : decisions[verdict]);
  add_candidates (answer, service, &view, &draws);
  g_array_unref (draws.target_counts);
  dm_view_clear (&view);
}

static void
add_route (struct json_object *answer, const CfRoute *route)
{
  struct json_object *object = json_object_new_object ();

  add_string (object, "name", route->prefix);
  add_string (object, "service", route->service);
  add_bool (object, "open", route->open);
  add_bool (object, "idempotent", route->idempotent);
  json_object_object_add (answer, "route", object);
}

static void
explain (DmDaemon *daemon, const QsQuestion *question,
         struct json_object *answer)
{
  int64_t now_us = ck_boot_us ();
  int64_t deadline_us = dm_request_deadline_us (question->deadline_ms, now_us);
  const CfRoute *route = NULL;
  DmService *service = NULL;
  const CfCustomer *customer;
  Refusal refusal;
  gboolean is_admitted;

  add_daemon (answer, daemon, now_us);
  if (!dm_is_ready (daemon))
    refusal = (Refusal){ 503, "not_ready", DM_STALE_RETRY_AFTER_MS };
  else if ((route = cf_find_route (daemon->config, question->path)) == NULL
           || (service = dm_find_service (daemon, route->service)) == NULL)
    refusal = (Refusal){ 404, "no_route", 0 };
  else if (!dm_may_finish (daemon, service, deadline_us, now_us))
    refusal = (Refusal){ 503, "daemon_stopping", DM_STOPPING_RETRY_AFTER_MS };
  else if (check_key (daemon, route, question, now_us, &customer, &refusal))
    {
      add_route (answer, route);
      is_admitted = check_rate (answer, daemon, customer, now_us, &refusal);
      if (!is_admitted)
        add_refusal (answer, &refusal);
      explain_targets (answer, daemon, service, is_admitted, now_us);
      return;
    }
  add_refusal (answer, &refusal);
}

uint32_t
dm_where (const char *query, char **json, void *data)
{
  g_autoptr (GError) error = NULL;
  g_autoptr (QsQuestion) question = qs_parse (query, &error);
  struct json_object *answer = json_object_new_object ();

  if (question != NULL)
    explain (data, question, answer);
  else
    add_string (answer, "error", error->message);
  *json = g_strdup (json_object_to_json_string_ext (
      answer, JSON_C_TO_STRING_PLAIN | JSON_C_TO_STRING_NOSLASHESCAPE));
  json_object_put (answer);
  return error == NULL ? 200 : 400;
}
