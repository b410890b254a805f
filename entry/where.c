#include "entry/where.h"

#include <json-c/json.h>

#include "clock/clock.h"
#include "entry/request.h"
#include "question/question.h"

/* The head of the described request, as callers send it.  */
static HtHeaders *
make_headers (const EnDialect *dialect, const QsQuestion *question)
{
  HtHeaders *headers = ht_headers_new ();

  ht_headers_add (headers, "Host", question->host);
  ht_headers_add (headers, dialect->request_id, question->id);
  if (question->deadline_ms != NULL)
    ht_headers_add (headers, dialect->deadline_ms, question->deadline_ms);
  if (question->object != NULL)
    {
      g_autofree char *cookie
          = g_strconcat (dialect->object_cookie, "=", question->object, NULL);
      ht_headers_add (headers, "Cookie", cookie);
    }
  return headers;
}

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

/* Rounded to thousandths.  */
static void
add_number (struct json_object *object, const char *name, double value)
{
  char text[G_ASCII_DTOSTR_BUF_SIZE];

  g_ascii_formatd (text, sizeof text, "%.3f", value);
  json_object_object_add (object, name,
                          json_object_new_double_s (value, text));
}

static void
add_daemon (struct json_object *answer, const EnRequest *request,
            int64_t now_us)
{
  const EnProxyOptions *options = &request->proxy->options;

  add_string (answer, "vm", options->settings->vm);
  add_string (answer, "zone", options->settings->zone);
  add_string (answer, "region", options->settings->region);
  if (request->config == NULL)
    return;
  add_int (answer, "config_version",
           (int64_t)rt_config_version (request->config));
  add_int (answer, "config_age_ms",
           en_view_config_age_us (options->view, now_us) / CK_US_PER_MS);
}

static void
add_route (struct json_object *answer, const EnRequest *request)
{
  const RtRoute *route = request->route;
  struct json_object *object = json_object_new_object ();

  add_string (object, "name", route->name);
  add_string (object, "service", request->service);
  add_int (object, "priority", request->priority);
  add_int (object, "latency_target_ms", route->latency_target_ms);
  add_int (object, "deadline_ms",
           (request->deadline_us - request->front->arrived_us) / CK_US_PER_MS);
  add_bool (object, "sticky", route->sticky);
  json_object_object_add (answer, "route", object);
  if (en_request_confirmed_customer (request) != NULL)
    add_string (answer, "customer", en_request_customer_name (request));
}

static struct json_object *
make_candidate (const TgCandidate *candidate)
{
  struct json_object *object = json_object_new_object ();

  add_string (object, "id", tg_id (candidate->target));
  add_string (object, "zone", tg_zone (candidate->target));
  add_string (object, "region", tg_region (candidate->target));
  add_string (object, "state", tg_candidate_state_name (candidate->state));
  add_bool (object, "chosen", candidate->is_chosen);
  add_bool (object, "replica", candidate->is_replica);
  add_bool (object, "considered", candidate->is_considered);
  add_bool (object, "cold", candidate->is_cold);
  add_bool (object, "cached", candidate->cached);
  add_number (object, "wait_ms", (double)candidate->wait_us / CK_US_PER_MS);
  add_number (object, "service_ms",
              (double)candidate->service_us / CK_US_PER_MS);
  add_number (object, "network_ms",
              (double)candidate->network_us / CK_US_PER_MS);
  add_number (object, "cost_ms", (double)candidate->cost_us / CK_US_PER_MS);
  add_number (object, "slowness", candidate->slowness);
  add_number (object, "error_fraction", candidate->error_fraction);
  add_number (object, "queue_length", candidate->queue_length);
  add_int (object, "in_flight", candidate->in_flight_count);
  add_int (object, "slots", candidate->slot_count);
  if (candidate->load_age_us >= 0)
    add_int (object, "load_age_ms", candidate->load_age_us / CK_US_PER_MS);
  if (tg_limit_per_s (candidate->target) > 0)
    add_number (object, "limit_per_s", tg_limit_per_s (candidate->target));
  return object;
}

static void
add_targets (struct json_object *answer, const TgExplanation *explanation)
{
  struct json_object *replicas = json_object_new_array ();
  struct json_object *candidates = json_object_new_array ();

  add_string (answer, "pick", tg_pick_name (explanation->pick));
  for (uint32_t i = 0; i < explanation->replica_count; i++)
    json_object_array_add (
        replicas, json_object_new_string (tg_id (explanation->replicas[i])));
  for (uint32_t i = 0; i < explanation->candidate_count; i++)
    json_object_array_add (candidates,
                           make_candidate (&explanation->candidates[i]));
  json_object_object_add (answer, "replicas", replicas);
  json_object_object_add (answer, "candidates", candidates);
  add_int (answer, "target_count", explanation->target_count);
}

static void
add_choice (struct json_object *answer, const TgExplanation *explanation)
{
  const TgTarget *target = explanation->choice.target;
  gboolean is_held = explanation->pick == TG_PICK_HOLD;

  add_string (answer, "decision", is_held ? "hold" : "send");
  add_string (answer, "target", tg_id (target));
  add_string (answer, "target_zone", tg_zone (target));
  add_string (answer, "target_region", tg_region (target));
}

static void
add_refusal (struct json_object *answer, const EnRefusal *refusal)
{
  add_string (answer, "decision", "refuse");
  add_string (answer, "outcome", en_outcome_name (refusal->outcome));
  add_int (answer, "status", en_outcome_status (refusal->outcome));
  add_string (answer, "reason", refusal->reason);
  if (refusal->retry_after_us > 0)
    add_int (answer, "retry_after_ms", refusal->retry_after_us / CK_US_PER_MS);
}

/* Returns FALSE and sets REFUSAL if the customer's rate is exceeded.  */
static gboolean
check_rate (struct json_object *answer, const EnRequest *request,
            EnRefusal *refusal)
{
  static const char *const verdicts[] = {
    [EN_POOL_ADMITTED] = "available",
    [EN_POOL_REFUSED] = "none",
    [EN_POOL_PENDING] = "kept_by_other_daemon",
  };
  EnTokenResult token;
  EnPoolVerdict verdict;

  if (request->customer == NULL)
    return TRUE;
  verdict
      = en_pool_peek_token (en_shares_pool (request->proxy->options.shares),
                            request->customer->name, &token);
  if (en_request_confirmed_customer (request) != NULL)
    add_string (answer, "token", verdicts[verdict]);
  *refusal
      = (EnRefusal){ EN_OUTCOME_RATE_LIMITED, token.wait_us, "rate_exceeded" };
  return verdict != EN_POOL_REFUSED;
}

/* The targets are explained also if the rate is exceeded.  */
static void
explain_route (struct json_object *answer, EnRequest *request, int64_t now_us)
{
  EnRefusal rate_refusal;
  EnRefusal refusal;
  TgExplanation explanation;
  gboolean has_token;
  gboolean is_sent;

  en_request_classify (request);
  request->service = en_proxy_next_service (request->proxy, request->route);
  add_route (answer, request);
  has_token = check_rate (answer, request, &rate_refusal);
  is_sent = en_request_explain_send (request, now_us, &explanation, &refusal);
  if (!has_token)
    add_refusal (answer, &rate_refusal);
  else if (!is_sent)
    add_refusal (answer, &refusal);
  else
    add_choice (answer, &explanation);
  add_targets (answer, &explanation);
}

static void
explain_request (struct json_object *answer, EnRequest *request,
                 const QsQuestion *question, int64_t now_us)
{
  EnRefusal refusal;

  add_daemon (answer, request, now_us);
  if (request->config != NULL)
    add_bool (answer, "host_known",
              rt_has_host (request->config, question->host));
  if (!en_request_check_route (request, &refusal))
    {
      add_refusal (answer, &refusal);
      return;
    }
  if (question->has_key)
    request->customer
        = rt_find_customer_by_digest (request->config, question->key_sha256);
  if (!en_request_check_key (request, question->has_key, &refusal))
    {
      add_string (answer, "route_name", request->route->name);
      add_refusal (answer, &refusal);
      return;
    }
  explain_route (answer, request, now_us);
}

static void
explain (EnProxy *proxy, const QsQuestion *question,
         struct json_object *answer)
{
  g_autoptr (HtHeaders) headers
      = make_headers (proxy->options.dialect, question);
  int64_t now_us = ck_boot_us ();
  FrRequest front = { .method = question->method,
                      .path = question->path,
                      .query = question->query,
                      .headers = headers,
                      .arrived_us = now_us };
  EnRequest request = { .proxy = proxy,
                        .front = &front,
                        .config = en_view_config (proxy->options.view) };

  explain_request (answer, &request, question, now_us);
  g_free (request.path_and_query);
  g_free (request.id);
}

uint32_t
en_where (EnProxy *proxy, const char *query, char **json)
{
  g_autoptr (GError) error = NULL;
  g_autoptr (QsQuestion) question = qs_parse (query, &error);
  struct json_object *answer = json_object_new_object ();

  if (question != NULL)
    explain (proxy, question, answer);
  else
    add_string (answer, "error", error->message);
  *json = g_strdup (json_object_to_json_string_ext (
      answer, JSON_C_TO_STRING_PLAIN | JSON_C_TO_STRING_NOSLASHESCAPE));
  json_object_put (answer);
  return error == NULL ? 200 : 400;
}
