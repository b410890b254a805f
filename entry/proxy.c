#include "entry/proxy.h"

#include <math.h>
#include <string.h>
#include <xxhash.h>

#include "clock/clock.h"
#include "entry/request.h"
#include "key/key.h"

/* Covers slots and queue of a target, with room for larger targets.  */
#define CONNECTIONS_PER_TARGET 24
/* Covers a round trip between regions and some retransmissions of lost
   packets.  */
#define CONNECT_TIMEOUT_MS 400
/* Detects a target whose host has failed: it acknowledges no data.  */
#define UNACKED_TIMEOUT_MS 600
/* Shorter than the idle timeout of targets, so that a target does not close a
   connection on which a request is being sent.  */
#define TARGET_IDLE_TIMEOUT_MS 5000
/* For a route timeout of 0, which rt_validate rejects.  */
#define DEFAULT_TIMEOUT_MS 10000
/* Retry-After while the daemon has no current configuration.  */
#define NOT_READY_RETRY_AFTER_US 500000
/* Retry-After while the daemon stops: another VM can serve the caller now.  */
#define STOPPING_RETRY_AFTER_US 1000

static const struct
{
  const char *name; /* in logs and metrics */
  uint32_t status;  /* of the daemon's own response; 0: it sends none */
} outcomes[EN_OUTCOME_COUNT] = {
  [EN_OUTCOME_SERVED] = { "served", 0 },
  [EN_OUTCOME_ERROR_RESPONSE] = { "passed", 0 },
  [EN_OUTCOME_INVALID] = { "invalid", 400 },
  [EN_OUTCOME_NO_ROUTE] = { "no_route", 404 },
  [EN_OUTCOME_UNAUTHORIZED] = { "no_key", 401 },
  [EN_OUTCOME_RATE_LIMITED] = { "limited", 429 },
  [EN_OUTCOME_NOT_READY] = { "not_ready", 503 },
  [EN_OUTCOME_UNAVAILABLE] = { "full", 503 },
  [EN_OUTCOME_UNKNOWN] = { "unknown", 502 },
  [EN_OUTCOME_TIMEOUT] = { "timeout", 504 },
  [EN_OUTCOME_CANCELLED] = { "gone", 0 },
  [EN_OUTCOME_CUT] = { "cut", 0 },
};

const char *
en_outcome_name (EnOutcome outcome)
{
  return outcomes[outcome].name;
}

uint32_t
en_outcome_status (EnOutcome outcome)
{
  return outcomes[outcome].status;
}

static void
free_request (EnRequest *request)
{
  g_queue_unlink (&request->proxy->requests, &request->node);
  rt_config_unref (request->config);
  g_clear_pointer (&request->headers, ht_headers_free);
  g_free (request->path_and_query);
  g_free (request->id);
  g_free (request);
}

static void
finish_request (EnRequest *request, EnOutcome outcome)
{
  EnProxy *proxy = request->proxy;

  if (request->token_taken && request->customer != NULL
      && !request->may_have_run)
    lm_return_token (en_shares_limits (proxy->options.shares),
                     request->customer->name);
  if (outcome == EN_OUTCOME_SERVED || outcome == EN_OUTCOME_ERROR_RESPONSE)
    ac_note_response (proxy->returns, request->service, ck_boot_us ());
  mt_add (proxy->outcome_counts[outcome], 1);
  mt_observe (proxy->duration, ck_boot_us () - request->front->arrived_us);
  free_request (request);
}

static void
log_failed_request (EnRequest *request, EnOutcome outcome,
                    int64_t retry_after_us, const char *reason)
{
  EnProxy *proxy = request->proxy;
  int64_t now_us = ck_boot_us ();

  tr_log (proxy->options.trace,
          outcome == EN_OUTCOME_UNKNOWN || outcome == EN_OUTCOME_TIMEOUT
              ? EV_REQUEST_UNKNOWN
              : EV_REQUEST_REFUSED,
          "request=%s outcome=%s reason=%s route=%s customer=%s sends=%u "
          "took_ms=%" G_GINT64_FORMAT " left_ms=%" G_GINT64_FORMAT
          " retry_ms=%" G_GINT64_FORMAT " config=%" G_GUINT64_FORMAT
          " config_age_ms=%" G_GINT64_FORMAT,
          request->id != NULL ? request->id : "-", outcomes[outcome].name,
          reason, request->route != NULL ? request->route->name : "-",
          en_request_customer_name (request), request->send_count,
          (now_us - request->front->arrived_us) / 1000,
          (request->deadline_us - now_us) / 1000, retry_after_us / 1000,
          request->config != NULL ? rt_config_version (request->config) : 0,
          en_view_config_age_us (proxy->options.view, now_us) / 1000);
}

void
en_request_fail (EnRequest *request, EnOutcome outcome, int64_t retry_after_us,
                 const char *reason)
{
  g_autoptr (HtHeaders) headers = ht_headers_new ();
  g_autofree char *body
      = g_strdup_printf ("{\"error\":\"%s\",\"outcome\":\"%s\"}", reason,
                         request->may_have_run ? "unknown" : "not_run");
  char seconds[G_ASCII_DTOSTR_BUF_SIZE];

  ht_headers_add (headers, "Content-Type", "application/json");
  if (retry_after_us > 0)
    ht_headers_add (headers, "Retry-After",
                    g_ascii_formatd (seconds, sizeof seconds, "%.3f",
                                     (double)retry_after_us / CK_US_PER_S));
  log_failed_request (request, outcome, retry_after_us, reason);
  fr_respond (request->front, outcomes[outcome].status, headers, body,
              strlen (body));
  finish_request (request, outcome);
}

void
en_request_forward_response (EnRequest *request, const BkResult *result)
{
  EnOutcome outcome
      = result->status < 300 ? EN_OUTCOME_SERVED : EN_OUTCOME_ERROR_RESPONSE;

  tr_log (request->proxy->options.trace, EV_REQUEST_ANSWERED,
          "request=%s outcome=%s status=%u sends=%u took_ms=%" G_GINT64_FORMAT,
          request->id, outcomes[outcome].name, result->status,
          request->send_count,
          (ck_boot_us () - request->front->arrived_us) / 1000);
  fr_respond_block (request->front, result->status, result->headers,
                    result->block);
  finish_request (request, outcome);
}

static void
cancel_call (EnRequest *request, int64_t now_us)
{
  if (bk_cancel (request->call) != BK_SENT_NONE)
    {
      request->send_count++;
      request->may_have_run = TRUE;
    }
  en_request_drop_attempt (request, now_us);
}

/* Ends what the request waits for: a token, another request for its object, or
   a target.  */
static void
stop_waiting (EnRequest *request, int64_t now_us)
{
  if (request->token_request != NULL)
    {
      en_pool_cancel (request->token_request);
      request->token_request = NULL;
      if (request->attempt != NULL)
        en_request_drop_attempt (request, now_us);
    }
  else if (request->hold_timer != NULL)
    en_request_end_hold (request);
  else
    cancel_call (request, now_us);
}

/* Called when the caller closed its connection, or the daemon ends; cancels
   the request at the target, too.  */
static void
on_cancel (FrRequest *front, void *data)
{
  EnRequest *request = data;
  EnProxy *proxy = request->proxy;
  EnOutcome outcome = proxy->is_ending ? EN_OUTCOME_CUT : EN_OUTCOME_CANCELLED;
  int64_t now_us = ck_boot_us ();

  (void)front;
  stop_waiting (request, now_us);
  tr_log (proxy->options.trace,
          proxy->is_ending ? EV_REQUEST_CUT : EV_REQUEST_CANCELLED,
          "request=%s outcome=%s sends=%u took_ms=%" G_GINT64_FORMAT
          " left_ms=%" G_GINT64_FORMAT,
          request->id, outcomes[outcome].name, request->send_count,
          (now_us - request->front->arrived_us) / 1000,
          (request->deadline_us - now_us) / 1000);
  finish_request (request, outcome);
}

static char *
get_api_key (const EnProxy *proxy, const HtHeaders *headers)
{
  const char *value = ht_headers_get (headers, "Authorization");
  const char *scheme = proxy->options.dialect->auth_scheme;
  gsize scheme_bytes = strlen (scheme);

  if (value == NULL || ht_headers_count (headers, "Authorization") != 1
      || g_ascii_strncasecmp (value, scheme, scheme_bytes) != 0
      || value[scheme_bytes] != ' ')
    return NULL;
  return g_strstrip (g_strdup (value + scheme_bytes + 1));
}

static uint64_t
hash_object_cookie (const EnRequest *request, const HtHeaders *headers)
{
  const char *name = request->proxy->options.dialect->object_cookie;
  const char *cookies = ht_headers_get (headers, "Cookie");
  gsize name_bytes = strlen (name);
  g_auto (GStrv) parts = NULL;

  if (!request->route->sticky || cookies == NULL)
    return 0;
  parts = g_strsplit (cookies, ";", -1);
  for (char **part = parts; *part != NULL; part++)
    {
      const char *cookie = g_strstrip (*part);
      if (strncmp (cookie, name, name_bytes) == 0 && cookie[name_bytes] == '=')
        return XXH3_64bits_withSeed (
            cookie, strlen (cookie),
            XXH3_64bits (request->route->name, strlen (request->route->name)));
    }
  return 0;
}

static void
set_deadline (EnRequest *request, const HtHeaders *headers)
{
  const char *text
      = ht_headers_get (headers, request->proxy->options.dialect->deadline_ms);
  uint32_t allowed_ms = request->route->timeout_ms;
  guint64 requested_ms;

  if (allowed_ms == 0)
    allowed_ms = DEFAULT_TIMEOUT_MS;
  if (text != NULL
      && g_ascii_string_to_unsigned (text, 10, 0, G_MAXINT32, &requested_ms,
                                     NULL))
    allowed_ms = MIN (allowed_ms, (uint32_t)requested_ms);
  request->deadline_us
      = request->front->arrived_us + (int64_t)allowed_ms * CK_US_PER_MS;
}

static const EnSplit *
find_split (const EnProxy *proxy, const RtRoute *route)
{
  const EnSplit *split = g_hash_table_lookup (proxy->splits, route->name);

  return split != NULL && split->count == route->part_count ? split : NULL;
}

/* Smooth weighted round robin, which keeps to the weights even over few
   requests: the part whose weight, added to its current one, is largest comes
   next.  SPLIT is NULL before the first request.  */
static uint32_t
find_next_part (const RtRoute *route, const EnSplit *split)
{
  int64_t best_weight = 0;
  uint32_t best = 0;

  for (uint32_t i = 0; i < route->part_count; i++)
    {
      int64_t weight = route->parts[i].weight
                       + (split != NULL ? split->current_weights[i] : 0);
      if (i > 0 && weight <= best_weight)
        continue;
      best = i;
      best_weight = weight;
    }
  return best;
}

const char *
en_proxy_next_service (const EnProxy *proxy, const RtRoute *route)
{
  return route->parts[find_next_part (route, find_split (proxy, route))]
      .service;
}

static const char *
choose_service (EnProxy *proxy, const RtRoute *route)
{
  EnSplit *split = (EnSplit *)find_split (proxy, route);
  uint32_t best = find_next_part (route, split);

  if (route->part_count == 1)
    return route->parts[0].service;
  if (split == NULL)
    {
      split
          = g_malloc0 (sizeof *split
                       + route->part_count * sizeof split->current_weights[0]);
      split->count = route->part_count;
      g_hash_table_insert (proxy->splits, g_strdup (route->name), split);
    }
  for (uint32_t i = 0; i < route->part_count; i++)
    {
      split->current_weights[i] += route->parts[i].weight;
      split->current_weights[best] -= route->parts[i].weight;
    }
  return route->parts[best].service;
}

/* Copies the caller's headers without its key, those that only the daemon may
   set, and Accept-Encoding: an encoded response would be invalid, see
   send.c.  */
static void
make_target_headers (EnRequest *request)
{
  const EnDialect *dialect = request->proxy->options.dialect;
  const RtCustomer *customer = en_request_confirmed_customer (request);
  HtHeaders *headers = ht_headers_copy (request->front->headers);

  ht_remove_hop_by_hop (headers);
  ht_headers_remove (headers, "Authorization");
  ht_headers_remove (headers, "Proxy-Authorization");
  ht_headers_remove (headers, "Accept-Encoding");
  ht_headers_remove (headers, dialect->customer);
  ht_headers_remove (headers, dialect->expected_target_id);
  if (customer != NULL)
    ht_headers_add (headers, dialect->customer, customer->name);
  request->headers = headers;
}

/* Whether the configuration with which REQUEST was admitted is older than that
   of other daemons.  */
static gboolean
is_behind (const EnRequest *request)
{
  return !en_shares_config_is_current (request->proxy->options.shares,
                                       rt_config_version (request->config),
                                       ck_boot_us ());
}

static gboolean
refuse (EnRefusal *refusal, EnOutcome outcome, int64_t retry_after_us,
        const char *reason)
{
  *refusal = (EnRefusal){ outcome, retry_after_us, reason };
  return FALSE;
}

static gboolean
refuse_not_ready (EnRefusal *refusal, const char *reason)
{
  return refuse (refusal, EN_OUTCOME_NOT_READY, NOT_READY_RETRY_AFTER_US,
                 reason);
}

/* Rejects a request that the configuration does not allow; refuses it if a
   later one, which may be in force at other daemons, might.  */
static gboolean
reject (const EnRequest *request, EnRefusal *refusal, EnOutcome outcome,
        const char *reason)
{
  if (en_view_may_reject (request->proxy->options.view, ck_boot_us ()))
    return refuse (refusal, outcome, 0, reason);
  return refuse_not_ready (refusal, "config_not_confirmed");
}

const RtCustomer *
en_request_confirmed_customer (const EnRequest *request)
{
  return request->customer_is_confirmed ? request->customer : NULL;
}

const char *
en_request_customer_name (const EnRequest *request)
{
  const RtCustomer *customer = en_request_confirmed_customer (request);

  return customer != NULL ? customer->name : "-";
}

/* Returns why a later configuration may have changed whose a key is, or
   NULL.  */
static const char *
find_key_doubt (const EnRequest *request)
{
  const EnProxyOptions *options = &request->proxy->options;

  if (!en_view_has_fresh_keys (options->view, ck_boot_us ())
      || !en_shares_has_members (options->shares))
    return "keys_not_confirmed";
  return is_behind (request) ? "config_older_than_others" : NULL;
}

gboolean
en_request_check_key (EnRequest *request, gboolean has_key, EnRefusal *refusal)
{
  const char *doubt = find_key_doubt (request);

  request->customer_is_confirmed = request->customer != NULL && doubt == NULL;
  if (request->route->open)
    return request->customer == NULL
                   || en_shares_has_members (request->proxy->options.shares)
               ? TRUE
               : refuse_not_ready (refusal, "keys_not_confirmed");
  /* Where no key is required, a later configuration may still have withdrawn
     the one that the request carries.  */
  if (!rt_requires_keys (request->config) && !has_key)
    return TRUE;
  if (doubt != NULL)
    return refuse_not_ready (refusal, doubt);
  if (request->customer != NULL || !rt_requires_keys (request->config))
    return TRUE;
  return reject (request, refusal, EN_OUTCOME_UNAUTHORIZED,
                 has_key ? "key_unknown" : "key_missing");
}

/* Returns FALSE if the request has no key.  */
static gboolean
find_customer (EnRequest *request)
{
  g_autofree char *key = get_api_key (request->proxy, request->front->headers);

  if (key != NULL)
    request->customer = rt_find_customer (request->config, key);
  return key != NULL;
}

/* Identifies a request that comes again, also at another daemon.  */
static uint64_t
hash_content (const EnRequest *request)
{
  const FrRequest *front = request->front;
  const char *texts[]
      = { request->customer != NULL ? request->customer->name : "",
          front->method, request->path_and_query };
  uint64_t hash = XXH3_64bits (front->body, front->body_bytes);

  for (guint i = 0; i < G_N_ELEMENTS (texts); i++)
    hash = XXH3_64bits_withSeed (texts[i], strlen (texts[i]), hash);
  return MAX (1, hash);
}

void
en_request_classify (EnRequest *request)
{
  const FrRequest *front = request->front;
  const RtCustomer *customer = en_request_confirmed_customer (request);

  request->priority = customer != NULL && customer->has_priority
                          ? customer->priority
                          : request->route->priority;
  request->object_hash = hash_object_cookie (request, front->headers);
  request->id_hash = XXH3_64bits (request->id, strlen (request->id));
  request->path_and_query
      = front->query != NULL
            ? g_strconcat (front->path, "?", front->query, NULL)
            : g_strdup (front->path);
  request->content_hash = hash_content (request);
}

static void
prepare_and_send (EnRequest *request)
{
  EnProxy *proxy = request->proxy;

  en_request_classify (request);
  request->service = choose_service (proxy, request->route);
  make_target_headers (request);
  lm_retry_budget_add_request (en_shares_budget (proxy->options.shares),
                               request->service, ck_boot_us ());
  en_request_send (request);
}

static void
on_admission (EnPoolVerdict verdict, const EnTokenResult *result, void *data)
{
  EnRequest *request = data;

  request->token_request = NULL;
  if (verdict == EN_POOL_REFUSED)
    {
      en_request_fail (request, EN_OUTCOME_RATE_LIMITED, result->wait_us,
                       result->is_local ? "rate_exceeded"
                                        : "rate_exceeded_in_region");
      return;
    }
  request->token_taken = result->is_local;
  prepare_and_send (request);
}

static void
admit (EnRequest *request)
{
  EnPool *pool = en_shares_pool (request->proxy->options.shares);
  EnPoolVerdict verdict;
  EnTokenResult result;

  if (request->customer == NULL)
    {
      prepare_and_send (request);
      return;
    }
  verdict = en_pool_take_token (pool, request->customer->name, on_admission,
                                request, &result);
  if (verdict == EN_POOL_PENDING)
    request->token_request = result.token_request;
  else
    on_admission (verdict, &result, request);
}

/* Refuses a request whose route may exist in the configuration of another
   daemon, so that its caller asks there: one that has just started has not
   heard yet which one that is.  */
static gboolean
reject_without_route (const EnRequest *request, EnRefusal *refusal)
{
  if (is_behind (request))
    return refuse_not_ready (refusal, "config_older_than_others");
  if (!en_shares_has_members (request->proxy->options.shares))
    return refuse_not_ready (refusal, "members_unknown");
  return reject (request, refusal, EN_OUTCOME_NO_ROUTE, "no_route");
}

/* A daemon that reads an older configuration than others have from the store,
   as after a restore, serves nothing by it.  One that does not reach the store
   goes on with what it has.  */
static gboolean
find_route (EnRequest *request, EnRefusal *refusal)
{
  FrRequest *front = request->front;
  const char *host = ht_headers_get (front->headers, "Host");
  const char *id = ht_headers_get (
      front->headers, request->proxy->options.dialect->request_id);

  if (request->config == NULL)
    return refuse_not_ready (refusal, "no_configuration");
  if (id == NULL || host == NULL)
    return refuse (refusal, EN_OUTCOME_INVALID, 0, "id_missing");
  request->id = g_strdup (id);
  if (is_behind (request)
      && en_view_reaches_store (request->proxy->options.view))
    return refuse_not_ready (refusal, "config_older_than_others");
  request->route = rt_match (request->config, host, front->path);
  return request->route != NULL || reject_without_route (request, refusal);
}

gboolean
en_request_check_route (EnRequest *request, EnRefusal *refusal)
{
  int64_t latency_target_us;

  request->deadline_us = request->front->arrived_us;
  if (!find_route (request, refusal))
    return FALSE;
  set_deadline (request, request->front->headers);
  latency_target_us
      = (int64_t)request->route->latency_target_ms * CK_US_PER_MS;
  if (sp_admits (request->proxy->options.stop, request->deadline_us,
                 latency_target_us, ck_boot_us ()))
    return TRUE;
  return refuse (refusal, EN_OUTCOME_NOT_READY, STOPPING_RETRY_AFTER_US,
                 "daemon_stopping");
}

static void
on_request (FrRequest *front, void *data)
{
  EnProxy *proxy = data;
  EnRequest *request = g_new0 (EnRequest, 1);
  RtConfig *config = en_view_config (proxy->options.view);
  EnRefusal refusal;

  request->proxy = proxy;
  request->front = front;
  request->node.data = request;
  g_queue_push_tail_link (&proxy->requests, &request->node);
  if (config != NULL)
    request->config = rt_config_ref (config);
  if (!en_request_check_route (request, &refusal)
      || !en_request_check_key (request, find_customer (request), &refusal))
    {
      en_request_fail (request, refusal.outcome, refusal.retry_after_us,
                       refusal.reason);
      return;
    }
  fr_set_cancel_handler (front, on_cancel, request);
  admit (request);
}

static void
register_metrics (EnProxy *proxy)
{
  MtRegistry *metrics = proxy->options.metrics;

  for (guint i = 0; i < EN_OUTCOME_COUNT; i++)
    {
      g_autofree char *name = g_strdup_printf (
          "requests_total{outcome=\"%s\"}", outcomes[i].name);
      proxy->outcome_counts[i]
          = mt_counter (metrics, name, "Requests of callers by outcome");
    }
  proxy->attempt_count = mt_counter (metrics, "target_sends_total",
                                     "Requests handed to targets");
  proxy->retry_count = mt_counter (metrics, "target_repeats_total",
                                   "Requests handed to a second target");
  proxy->invalid_notice_count
      = mt_counter (metrics, "target_notices_invalid_total",
                    "Malformed headers of targets about themselves");
  proxy->duration = mt_histogram (metrics, "request_duration_us",
                                  "From the first byte to the answer");
  proxy->retry_after
      = mt_histogram (metrics, "retry_after_us",
                      "Retry-After of rejections for lack of capacity");
}

static void
free_memory (EnProxy *proxy)
{
  mm_budget_unref (proxy->request_memory);
  mm_budget_unref (proxy->response_memory);
}

static void
create_memory (EnProxy *proxy)
{
  uint64_t share_bytes
      = mm_share_bytes ((uint64_t)proxy->options.settings->memory_mib << 20);

  proxy->request_memory = mm_budget_new (share_bytes);
  proxy->response_memory = mm_budget_new (share_bytes);
}

EnProxy *
en_proxy_new (const EnProxyOptions *options, GError **error)
{
  EnProxy *proxy = g_new0 (EnProxy, 1);
  const EnConnectionLimits *limits = &options->settings->connections;
  FrOptions front = {
    .base = options->base,
    .listen = options->settings->front_listen,
    .connections_max = limits->callers_max,
    .connections_per_address_max = limits->per_address_max,
    .connections_bytes = (uint64_t)limits->memory_mib << 20,
    .body_timeout_ms = limits->body_timeout_ms,
    .write_timeout_ms = limits->write_timeout_ms,
    .progress_bytes = limits->progress_kib * 1024,
    .on_request = on_request,
    .data = proxy,
  };
  BkOptions connection_pool = {
    .base = options->base,
    .connections_max = CONNECTIONS_PER_TARGET,
    .waiting_max = limits->waiting_max,
    .connect_timeout_ms = CONNECT_TIMEOUT_MS,
    .unacked_timeout_ms = UNACKED_TIMEOUT_MS,
    .idle_timeout_ms = TARGET_IDLE_TIMEOUT_MS,
    .ids_required = TRUE,
  };

  proxy->options = *options;
  register_metrics (proxy);
  create_memory (proxy);
  front.memory = proxy->request_memory;
  front.response_memory = proxy->response_memory;
  connection_pool.memory = proxy->response_memory;
  proxy->front = fr_new (&front, error);
  if (proxy->front == NULL)
    {
      free_memory (proxy);
      g_free (proxy);
      return NULL;
    }
  proxy->connection_pool = bk_pool_new (&connection_pool);
  proxy->returns = ac_new ();
  proxy->splits
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return proxy;
}

void
en_proxy_free (EnProxy *proxy)
{
  if (proxy == NULL)
    return;
  /* Cancels the requests in progress.  */
  proxy->is_ending = TRUE;
  fr_free (proxy->front);
  bk_pool_free (proxy->connection_pool);
  g_clear_pointer (&proxy->held_requests, g_hash_table_unref);
  g_hash_table_unref (proxy->splits);
  ac_free (proxy->returns);
  free_memory (proxy);
  g_free (proxy);
}

void
en_proxy_set_limits (EnProxy *proxy, const RtLimits *limits)
{
  fr_set_limits (
      proxy->front,
      &(FrLimits){
          .head_max_bytes = limits->head_max_bytes,
          .body_max_bytes = (uint32_t)MIN (limits->body_max_bytes, G_MAXINT32),
          .request_timeout_ms = limits->head_timeout_ms,
          .idle_timeout_ms = limits->idle_timeout_ms,
      });
}

const FrServer *
en_proxy_front (const EnProxy *proxy)
{
  return proxy->front;
}

const FrCounters *
en_proxy_front_counters (const EnProxy *proxy)
{
  return fr_counters (proxy->front);
}

const BkCounters *
en_proxy_target_counters (const EnProxy *proxy)
{
  return bk_counters (proxy->connection_pool);
}

const MmBudget *
en_proxy_request_memory (const EnProxy *proxy)
{
  return proxy->request_memory;
}

const MmBudget *
en_proxy_response_memory (const EnProxy *proxy)
{
  return proxy->response_memory;
}

gboolean
en_proxy_is_writing (const EnProxy *proxy)
{
  return fr_is_writing (proxy->front);
}

void
en_proxy_close_connections (EnProxy *proxy)
{
  fr_disable_keep_alive (proxy->front);
}

void
en_proxy_stop (EnProxy *proxy, void (*on_idle) (void *data), void *data)
{
  fr_stop (proxy->front, on_idle, data);
}

static gboolean
is_at_target (const EnRequest *request)
{
  return request->token_request == NULL && request->hold_timer == NULL;
}

static void
end_request (EnRequest *request)
{
  if (is_at_target (request) && bk_deliver_arrived (request->call))
    return;
  stop_waiting (request, ck_boot_us ());
  if (request->may_have_run)
    en_request_fail (request, EN_OUTCOME_UNKNOWN, 0, "daemon_ended");
  else
    en_request_fail (request, EN_OUTCOME_NOT_READY, STOPPING_RETRY_AFTER_US,
                     "daemon_stopping");
}

void
en_proxy_end_requests (EnProxy *proxy)
{
  GList *next;

  proxy->requests_ended = TRUE;
  /* The end of a request at a target sends those that are held for it.  */
  for (GList *node = proxy->requests.head; node != NULL; node = next)
    {
      next = node->next;
      if (!is_at_target (node->data))
        end_request (node->data);
    }
  while (!g_queue_is_empty (&proxy->requests))
    end_request (g_queue_peek_head (&proxy->requests));
  fr_reject_incomplete (proxy->front);
}
