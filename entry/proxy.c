#include "entry/proxy.h"

#include <math.h>
#include <string.h>
#include <xxhash.h>

#include "clock/clock.h"
#include "entry/request.h"
#include "key/key.h"

/* Slots and queue of a target, with room for those that are larger.  */
#define CONNECTIONS_PER_TARGET 24
/* Of the files that the daemon may open; the rest is for targets, the store
   and other daemons.  */
#define CALLER_FILES_PERCENT 75
/* A hop between regions and back, and some lost packets' worth.  */
#define CONNECT_TIMEOUT_MS 400
/* A target whose machine is gone acknowledges nothing.  */
#define UNACKED_TIMEOUT_MS 600
/* Below the idle timeout of targets.  */
#define TARGET_IDLE_MS 5000
/* For requests that name no deadline, on routes without a timeout.  */
#define DEADLINE_DEFAULT_MS 10000
/* When to come back where the daemon does not know its configuration yet.  */
#define NOT_READY_RETRY_US 500000

static const struct
{
  const char *name;
  uint32_t status; /* 0: not an answer of our own */
} outcomes[EN_OUTCOME_COUNT] = {
  [EN_OUTCOME_SERVED] = { "served", 0 },
  [EN_OUTCOME_PASSED] = { "passed", 0 },
  [EN_OUTCOME_INVALID] = { "invalid", 400 },
  [EN_OUTCOME_NO_ROUTE] = { "no_route", 404 },
  [EN_OUTCOME_NO_KEY] = { "no_key", 401 },
  [EN_OUTCOME_LIMITED] = { "limited", 429 },
  [EN_OUTCOME_NOT_READY] = { "not_ready", 503 },
  [EN_OUTCOME_FULL] = { "full", 503 },
  [EN_OUTCOME_UNKNOWN] = { "unknown", 502 },
  [EN_OUTCOME_TIMEOUT] = { "timeout", 504 },
  [EN_OUTCOME_GONE] = { "gone", 0 },
};

static void
free_request (EnRequest *request)
{
  g_queue_unlink (&request->proxy->requests, &request->node);
  rt_config_unref (request->config);
  g_clear_pointer (&request->headers, ht_headers_free);
  g_free (request->target);
  g_free (request->id);
  g_free (request);
}

static void
finish (EnRequest *request, EnOutcome outcome)
{
  EnProxy *proxy = request->proxy;

  if (request->reserved && request->customer != NULL && !request->may_have_run)
    lm_return (en_shares_limits (proxy->options.shares),
               request->customer->name);
  mt_add (proxy->outcomes[outcome], 1);
  mt_observe (proxy->latency, ck_boot_us () - request->front->arrived_us);
  free_request (request);
}

static void
log_refusal (EnRequest *request, EnOutcome outcome, int64_t retry_after_us,
             const char *reason)
{
  EnProxy *proxy = request->proxy;
  int64_t now_us = ck_boot_us ();

  tr_line (proxy->options.trace,
           outcome == EN_OUTCOME_UNKNOWN || outcome == EN_OUTCOME_TIMEOUT
               ? EV_REQUEST_UNKNOWN
               : EV_REQUEST_REFUSED,
           "request=%s outcome=%s reason=%s route=%s customer=%s sends=%u "
           "took_ms=%" G_GINT64_FORMAT " left_ms=%" G_GINT64_FORMAT
           " retry_ms=%" G_GINT64_FORMAT " config=%" G_GUINT64_FORMAT
           " config_age_ms=%" G_GINT64_FORMAT,
           request->id != NULL ? request->id : "-", outcomes[outcome].name,
           reason, request->route != NULL ? request->route->name : "-",
           request->customer != NULL ? request->customer->name : "-",
           request->sends, (now_us - request->front->arrived_us) / 1000,
           (request->deadline_us - now_us) / 1000, retry_after_us / 1000,
           request->config != NULL ? rt_version (request->config) : 0,
           en_view_age_us (proxy->options.view, now_us) / 1000);
}

void
en_request_refuse (EnRequest *request, EnOutcome outcome,
                   int64_t retry_after_us, const char *reason)
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
  log_refusal (request, outcome, retry_after_us, reason);
  fr_reply (request->front, outcomes[outcome].status, headers, body,
            strlen (body));
  finish (request, outcome);
}

void
en_request_answer (EnRequest *request, const BkResult *result)
{
  EnOutcome outcome
      = result->status < 300 ? EN_OUTCOME_SERVED : EN_OUTCOME_PASSED;

  tr_line (
      request->proxy->options.trace, EV_REQUEST_ANSWERED,
      "request=%s outcome=%s status=%u sends=%u took_ms=%" G_GINT64_FORMAT,
      request->id, outcomes[outcome].name, result->status, request->sends,
      (ck_boot_us () - request->front->arrived_us) / 1000);
  fr_reply (request->front, result->status, result->headers, result->body,
            result->body_bytes);
  finish (request, outcome);
}

static void
cancel_send (EnRequest *request, int64_t now_us)
{
  EnProxy *proxy = request->proxy;
  gboolean teaches = tg_use_teaches (request->use);

  if (bk_cancel (request->call) != BK_SENT_NONE)
    request->may_have_run = TRUE;
  tg_end (en_view_targets (proxy->options.view), request->use,
          &(TgEnd){ .kind = TG_END_CANCELLED }, now_us);
  request->use = NULL;
  if (teaches)
    en_release_held (proxy, request->object_hash);
}

/* The caller has left; its target need not go on.  */
static void
on_cancel (FrRequest *front, void *data)
{
  EnRequest *request = data;
  EnProxy *proxy = request->proxy;
  int64_t now_us = ck_boot_us ();

  (void)front;
  tr_line (proxy->options.trace, EV_REQUEST_CANCELLED,
           "request=%s sends=%u took_ms=%" G_GINT64_FORMAT, request->id,
           request->sends, (now_us - request->front->arrived_us) / 1000);
  if (request->ask != NULL)
    en_pool_cancel (request->ask);
  else if (request->hold_timer != NULL)
    en_request_unhold (request);
  else
    cancel_send (request, now_us);
  finish (request, EN_OUTCOME_GONE);
}

static char *
find_key (const EnProxy *proxy, const HtHeaders *headers)
{
  const char *value = ht_headers_get (headers, "Authorization");
  const char *scheme = proxy->options.dialect->key_scheme;
  gsize scheme_bytes = strlen (scheme);

  if (value == NULL || ht_headers_count (headers, "Authorization") != 1
      || g_ascii_strncasecmp (value, scheme, scheme_bytes) != 0
      || value[scheme_bytes] != ' ')
    return NULL;
  return g_strstrip (g_strdup (value + scheme_bytes + 1));
}

static uint64_t
hash_object (const EnRequest *request, const HtHeaders *headers)
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
  uint32_t limit_ms = request->route->timeout_ms;
  guint64 asked_ms;

  if (limit_ms == 0)
    limit_ms = DEADLINE_DEFAULT_MS;
  if (text != NULL
      && g_ascii_string_to_unsigned (text, 10, 0, G_MAXINT32, &asked_ms, NULL))
    limit_ms = MIN (limit_ms, (uint32_t)asked_ms);
  request->deadline_us
      = request->front->arrived_us + (int64_t)limit_ms * CK_US_PER_MS;
}

/* Smooth weighted round robin, so that shares hold over few requests too.  */
static const char *
choose_part (EnProxy *proxy, const RtRoute *route)
{
  EnSplit *split = g_hash_table_lookup (proxy->splits, route->name);
  int64_t total = 0;
  uint32_t best = 0;

  if (route->part_count == 1)
    return route->parts[0].service;
  if (split == NULL || split->count != route->part_count)
    {
      split = g_malloc0 (sizeof *split
                         + route->part_count * sizeof split->credits[0]);
      split->count = route->part_count;
      g_hash_table_insert (proxy->splits, g_strdup (route->name), split);
    }
  for (uint32_t i = 0; i < route->part_count; i++)
    {
      split->credits[i] += route->parts[i].weight;
      total += route->parts[i].weight;
      if (split->credits[i] > split->credits[best])
        best = i;
    }
  split->credits[best] -= total;
  return route->parts[best].service;
}

/* What a target gets: the caller's headers without its key and without those
   that only the daemon sets.  */
static void
make_headers (EnRequest *request)
{
  const EnDialect *dialect = request->proxy->options.dialect;
  HtHeaders *headers = ht_headers_copy (request->front->headers);

  ht_remove_hop_by_hop (headers);
  ht_headers_remove (headers, "Authorization");
  ht_headers_remove (headers, "Proxy-Authorization");
  ht_headers_remove (headers, "Accept-Encoding");
  ht_headers_remove (headers, dialect->customer);
  ht_headers_remove (headers, dialect->expected_id);
  if (request->customer != NULL)
    ht_headers_add (headers, dialect->customer, request->customer->name);
  request->headers = headers;
}

/* Returns FALSE when the request was answered.  */
static gboolean
find_customer (EnRequest *request)
{
  EnProxy *proxy = request->proxy;
  g_autofree char *key = find_key (proxy, request->front->headers);

  if (!rt_has_customers (request->config))
    return TRUE;
  if (key != NULL)
    request->customer = rt_customer_of_key (request->config, key);
  if (request->route->open)
    return TRUE;
  if (!en_view_knows_keys (proxy->options.view, ck_boot_us ())
      || !en_shares_is_known (proxy->options.shares))
    {
      en_request_refuse (request, EN_OUTCOME_NOT_READY, NOT_READY_RETRY_US,
                         "keys_not_confirmed");
      return FALSE;
    }
  if (request->customer != NULL)
    return TRUE;
  en_request_refuse (request, EN_OUTCOME_NO_KEY, 0,
                     key != NULL ? "key_unknown" : "key_missing");
  return FALSE;
}

static void
serve (EnRequest *request)
{
  EnProxy *proxy = request->proxy;
  FrRequest *front = request->front;

  request->priority
      = request->customer != NULL && request->customer->has_priority
            ? request->customer->priority
            : request->route->priority;
  request->object_hash = hash_object (request, front->headers);
  request->spread = XXH3_64bits (request->id, strlen (request->id));
  request->service = choose_part (proxy, request->route);
  request->target = front->query != NULL
                        ? g_strconcat (front->path, "?", front->query, NULL)
                        : g_strdup (front->path);
  make_headers (request);
  lm_budget_request (en_shares_budget (proxy->options.shares),
                     request->service, ck_boot_us ());
  en_request_send (request);
}

static void
on_admission (EnPoolVerdict verdict, const EnTake *take, void *data)
{
  EnRequest *request = data;

  request->ask = NULL;
  if (verdict == EN_POOL_REFUSED)
    {
      en_request_refuse (request, EN_OUTCOME_LIMITED, take->wait_us,
                         take->is_own ? "rate_exceeded"
                                      : "rate_exceeded_in_region");
      return;
    }
  request->reserved = take->is_own;
  serve (request);
}

static void
admit (EnRequest *request)
{
  EnPool *pool = en_shares_pool (request->proxy->options.shares);
  EnPoolVerdict verdict;
  EnTake take;

  if (request->customer == NULL)
    {
      serve (request);
      return;
    }
  verdict = en_pool_take (pool, request->customer->name, on_admission, request,
                          &take);
  if (verdict == EN_POOL_ASKED)
    request->ask = take.ask;
  else
    on_admission (verdict, &take, request);
}

/* Returns FALSE when the request was answered.  */
static gboolean
find_route (EnRequest *request)
{
  FrRequest *front = request->front;
  const char *host = ht_headers_get (front->headers, "Host");
  const char *id = ht_headers_get (
      front->headers, request->proxy->options.dialect->request_id);

  if (request->config == NULL)
    {
      en_request_refuse (request, EN_OUTCOME_NOT_READY, NOT_READY_RETRY_US,
                         "no_configuration");
      return FALSE;
    }
  if (id == NULL || host == NULL)
    {
      en_request_refuse (request, EN_OUTCOME_INVALID, 0, "id_missing");
      return FALSE;
    }
  request->id = g_strdup (id);
  request->route = rt_match (request->config, host, front->path);
  if (request->route != NULL)
    return TRUE;
  en_request_refuse (request, EN_OUTCOME_NO_ROUTE, 0, "no_route");
  return FALSE;
}

static void
on_request (FrRequest *front, void *data)
{
  EnProxy *proxy = data;
  EnRequest *request = g_new0 (EnRequest, 1);
  RtConfig *config = en_view_config (proxy->options.view);

  request->proxy = proxy;
  request->front = front;
  request->node.data = request;
  g_queue_push_tail_link (&proxy->requests, &request->node);
  if (config != NULL)
    request->config = rt_config_ref (config);
  request->deadline_us = front->arrived_us;
  if (!find_route (request))
    return;
  set_deadline (request, front->headers);
  if (!find_customer (request))
    return;
  fr_on_cancel (front, on_cancel, request);
  admit (request);
}

static void
make_metrics (EnProxy *proxy)
{
  MtTable *metrics = proxy->options.metrics;

  for (guint i = 0; i < EN_OUTCOME_COUNT; i++)
    {
      g_autofree char *name = g_strdup_printf (
          "requests_total{outcome=\"%s\"}", outcomes[i].name);
      proxy->outcomes[i]
          = mt_counter (metrics, name, "Requests of callers by outcome");
    }
  proxy->sends = mt_counter (metrics, "target_sends_total",
                             "Requests handed to targets");
  proxy->repeats = mt_counter (metrics, "target_repeats_total",
                               "Requests handed to a second target");
  proxy->latency = mt_histogram (metrics, "request_duration_us",
                                 "From the first byte to the answer");
}

EnProxy *
en_proxy_new (const EnProxyOptions *options, GError **error)
{
  EnProxy *proxy = g_new0 (EnProxy, 1);
  FrOptions front = {
    .base = options->base,
    .listen = options->settings->front_listen,
    .connections_max
    = MAX (1, options->settings->files_max * CALLER_FILES_PERCENT / 100),
    .on_request = on_request,
    .data = proxy,
  };
  BkOptions pool = {
    .base = options->base,
    .connections_max = CONNECTIONS_PER_TARGET,
    .connect_timeout_ms = CONNECT_TIMEOUT_MS,
    .unacked_timeout_ms = UNACKED_TIMEOUT_MS,
    .idle_ms = TARGET_IDLE_MS,
  };

  proxy->options = *options;
  make_metrics (proxy);
  proxy->front = fr_new (&front, error);
  if (proxy->front == NULL)
    {
      g_free (proxy);
      return NULL;
    }
  proxy->pool = bk_pool_new (&pool);
  proxy->splits
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return proxy;
}

void
en_proxy_free (EnProxy *proxy)
{
  if (proxy == NULL)
    return;
  /* Cancels the requests that are under way.  */
  fr_free (proxy->front);
  bk_pool_free (proxy->pool);
  g_clear_pointer (&proxy->held, g_hash_table_unref);
  g_hash_table_unref (proxy->splits);
  g_free (proxy);
}

void
en_proxy_set_limits (EnProxy *proxy, const RtLimits *limits)
{
  fr_set_limits (
      proxy->front,
      &(FrLimits){
          .body_max_bytes = (uint32_t)MIN (limits->body_max_bytes, G_MAXINT32),
          .request_timeout_ms = limits->head_timeout_ms,
          .idle_timeout_ms = limits->idle_timeout_ms,
      });
}

void
en_proxy_close_connections (EnProxy *proxy)
{
  fr_close_connections (proxy->front);
}

void
en_proxy_stop (EnProxy *proxy, void (*on_idle) (void *data), void *data)
{
  fr_stop (proxy->front, on_idle, data);
}
