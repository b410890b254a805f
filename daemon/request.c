#include "daemon/daemon.h"

/* Borrowed tokens arrive within one round trip between regions.  A request
   waits for a few such round trips before it is refused for its rate.  */
#define ADMISSION_WAIT_US (150 * CK_US_PER_MS)
#define ADMISSION_QUEUE_MAX 1024
#define RETRY_AFTER_MAX_MS 60000
#define OPEN_CUSTOMER "open"

static gboolean
is_safe_method (const char *method)
{
  return strcmp (method, "GET") == 0 || strcmp (method, "HEAD") == 0;
}

static DmRequest *
request_new (DmDaemon *daemon, FrRequest *front)
{
  DmRequest *request = g_new0 (DmRequest, 1);

  request->daemon = daemon;
  request->front = front;
  request->arrived_us = front->arrived_us;
  g_snprintf (request->id, sizeof request->id,
              "%.12s-%" G_GINT64_MODIFIER "x-%" G_GINT64_MODIFIER "x",
              daemon->settings->vm, daemon->process_incarnation & 0xffffff,
              ++daemon->last_request_number);
  front->user_data = request;
  g_hash_table_add (daemon->requests, request);
  return request;
}

static gboolean
is_in_use (const DmRequest *request)
{
  return request->front != NULL || request->ref_count > 0
         || (request->order != NULL && !or_finished (request->order));
}

void
dm_request_free (DmRequest *request)
{
  DmDaemon *daemon = request->daemon;

  if (is_in_use (request))
    return;
  g_hash_table_remove (daemon->requests, request);
  g_queue_remove (&daemon->admission_queue, request);
  or_free (request->order);
  g_free (request->customer);
  g_free (request->service);
  g_free (request->query);
  g_free (request->request_target);
  g_free (request->target_name);
  g_free (request);
}

void
dm_request_ref (DmRequest *request)
{
  request->ref_count++;
}

void
dm_request_unref (DmRequest *request)
{
  request->ref_count--;
  dm_request_free (request);
}

static void
record_request (DmRequest *request, EvNumber number, const char *detail)
{
  dm_record (request->daemon, number,
             &(EvFields){ .customer = request->customer,
                          .target = request->target_name,
                          .request_id = request->id,
                          .detail = detail });
}

void
dm_request_respond (DmRequest *request, uint32_t status,
                    const HtHeaders *headers, const void *body,
                    gsize body_bytes)
{
  DmDaemon *daemon = request->daemon;
  FrRequest *front = request->front;
  g_autoptr (HtHeaders) response_headers = NULL;

  if (front == NULL)
    return;
  response_headers
      = headers == NULL ? ht_headers_new () : ht_headers_copy (headers);
  ht_headers_set (response_headers, "X-Request-Id", request->id);
  request->front = NULL;
  mt_observe (daemon->metrics.latency, ck_boot_us () - request->arrived_us);
  fr_respond (front, status, response_headers, body, body_bytes);
}

static const struct
{
  const char *error;
  size_t counter; /* offset into DmMetrics */
} refusal_counters[] = {
  { "rate_exceeded", offsetof (DmMetrics, refused_rate) },
  { "config_stale", offsetof (DmMetrics, refused_stale) },
  { "no_capacity", offsetof (DmMetrics, refused_capacity) },
  { "no_target", offsetof (DmMetrics, refused_capacity) },
};

static void
count_refusal (DmDaemon *daemon, const char *error)
{
  mt_add (daemon->metrics.refused, 1);
  for (size_t i = 0; i < G_N_ELEMENTS (refusal_counters); i++)
    if (strcmp (refusal_counters[i].error, error) == 0)
      mt_add (*(MtCounter **)((char *)&daemon->metrics
                              + refusal_counters[i].counter),
              1);
}

void
dm_request_refuse (DmRequest *request, uint32_t status, const char *error,
                   const char *outcome, uint32_t retry_after_ms)
{
  g_autofree char *body = g_strdup_printf (
      "{\"error\":\"%s\",\"outcome\":\"%s\",\"retry_after_ms\":%u}", error,
      outcome, retry_after_ms);
  gboolean unknown = strcmp (outcome, "unknown") == 0;

  /* An earlier attempt may have run, whatever the reason of this refusal.  */
  g_assert (!request->maybe_sent || strcmp (outcome, "not_run") != 0);
  if (unknown)
    mt_add (request->daemon->metrics.unknown, 1);
  else
    count_refusal (request->daemon, error);
  record_request (request, unknown ? EV_REQUEST_UNKNOWN : EV_REQUEST_REFUSED,
                  error);
  dm_request_respond (request, status, NULL, body, strlen (body));
}

static gboolean
is_key_valid (const DmRequest *request)
{
  KyMatch match;

  return ky_lookup (request->daemon->keys, request->key_sha256, &match, NULL)
         && strcmp (match.customer->name, request->customer) == 0;
}

gboolean
dm_request_is_valid (const DmRequest *request, int64_t now_us)
{
  return !request->needs_key
         || (dm_is_fresh (request->daemon, now_us) && is_key_valid (request));
}

gboolean
dm_request_revalidate (DmRequest *request, int64_t now_us)
{
  const char *outcome = request->maybe_sent ? "unknown" : "not_run";

  if (dm_request_is_valid (request, now_us))
    return TRUE;
  if (request->order != NULL)
    dm_order_send_done (request,
                        &(OrSendResult){ .kind = request->maybe_sent
                                                     ? OR_SEND_UNKNOWN
                                                     : OR_SEND_NOT_SENT,
                                         .status = 502 });
  else if (!dm_is_fresh (request->daemon, now_us))
    dm_request_refuse (request, 503, "config_stale", outcome,
                       DM_STALE_RETRY_AFTER_MS);
  else
    dm_request_refuse (request, 401, "key_withdrawn", outcome, 0);
  return FALSE;
}

static void
on_cancel (FrRequest *front, void *data)
{
  DmRequest *request = data;

  (void)front;
  request->front = NULL;
  dm_request_ref (request);
  mt_add (request->daemon->metrics.cancelled, 1);
  record_request (request, EV_REQUEST_CANCELLED, NULL);
  if (request->order == NULL)
    dm_dispatch_cancel (request);
  else if (or_cancel (request->order, ck_boot_us ()) && request->call == NULL
           && !request->maybe_sent)
    {
      /* A keyed request that a target may have received is not cancelled.  */
      dm_dispatch_cancel (request);
      dm_order_send_done (request,
                          &(OrSendResult){ .kind = OR_SEND_NOT_SENT });
    }
  else
    dm_order_run (request);
  dm_request_unref (request);
}

static void
end_request (DmRequest *request)
{
  if (request->call != NULL && bk_deliver_arrived (request->call)
      && request->front == NULL)
    return;
  if (request->order != NULL)
    {
      dm_order_end (request);
      return;
    }
  dm_dispatch_cancel (request);
  if (request->maybe_sent)
    dm_request_refuse (request, 502, "daemon_ended", "unknown", 0);
  else
    dm_request_refuse (request, 503, "daemon_stopping", "not_run",
                       DM_STOPPING_RETRY_AFTER_MS);
}

void
dm_requests_end (DmDaemon *daemon)
{
  g_autoptr (GList) requests = g_hash_table_get_keys (daemon->requests);

  for (GList *at = requests; at != NULL; at = at->next)
    dm_request_ref (at->data);
  /* The end of a request at a target sends those in the queue.  */
  for (GList *at = requests; at != NULL; at = at->next)
    if (((DmRequest *)at->data)->call == NULL)
      end_request (at->data);
  for (GList *at = requests; at != NULL; at = at->next)
    {
      if (((DmRequest *)at->data)->call != NULL)
        end_request (at->data);
      dm_request_unref (at->data);
    }
  fr_reject_incomplete (daemon->front);
}

uint32_t
dm_token_wait_ms (const DmDaemon *daemon, const char *customer_name)
{
  const CfCustomer *customer
      = cf_find_customer (daemon->config, customer_name);

  if (customer == NULL || customer->rate_per_s == 0)
    return RETRY_AFTER_MAX_MS;
  return MAX (1, 1000 / customer->rate_per_s);
}

static void
start_request (DmRequest *request)
{
  const char *key
      = ht_headers_get (request->front->headers, "Idempotency-Key");

  record_request (request, EV_REQUEST_ADMITTED, NULL);
  if (!request->idempotent && key != NULL)
    dm_order_start (request, key);
  else
    dm_dispatch (request);
}

static void
queue_for_tokens (DmRequest *request, int64_t now_us)
{
  DmDaemon *daemon = request->daemon;

  if (daemon->admission_queue.length >= ADMISSION_QUEUE_MAX
      || daemon->settings->admission == SE_ADMISSION_SPLIT)
    {
      dm_request_refuse (request, 429, "rate_exceeded", "not_run",
                         dm_token_wait_ms (daemon, request->customer));
      dm_request_free (request);
      return;
    }
  request->state = DM_REQUEST_ADMISSION;
  request->admission_until_us
      = MIN (request->deadline_us, now_us + ADMISSION_WAIT_US);
  g_queue_push_tail (&daemon->admission_queue, request);
}

static void
admit (DmRequest *request, int64_t now_us)
{
  uint32_t quota_id = dm_quota_id ("customer", request->customer, NULL);

  if (!request->needs_key
      || qt_take_tokens (request->daemon->quotas, quota_id, QT_TOKEN_UTOK,
                         now_us))
    start_request (request);
  else
    queue_for_tokens (request, now_us);
}

/* Admits requests in the order of the queue.  A customer without tokens does
   not block the requests of other customers.  */
static void
admit_queued (DmDaemon *daemon, int64_t now_us)
{
  g_autoptr (GHashTable) exhausted_quotas = g_hash_table_new (NULL, NULL);
  GList *next;

  for (GList *at = daemon->admission_queue.head; at != NULL; at = next)
    {
      DmRequest *request = at->data;
      uint32_t quota_id = dm_quota_id ("customer", request->customer, NULL);

      next = at->next;
      if (!g_hash_table_contains (exhausted_quotas,
                                  GUINT_TO_POINTER (quota_id))
          && qt_retry_take_tokens (daemon->quotas, quota_id, QT_TOKEN_UTOK,
                                   now_us))
        {
          g_queue_delete_link (&daemon->admission_queue, at);
          if (dm_request_revalidate (request, now_us))
            start_request (request);
          else
            dm_request_free (request);
          continue;
        }
      g_hash_table_add (exhausted_quotas, GUINT_TO_POINTER (quota_id));
      if (now_us < request->admission_until_us)
        continue;
      g_queue_delete_link (&daemon->admission_queue, at);
      dm_request_refuse (request, 429, "rate_exceeded", "not_run",
                         dm_token_wait_ms (daemon, request->customer));
      dm_request_free (request);
    }
}

void
dm_request_tick (DmDaemon *daemon, int64_t now_us)
{
  g_autoptr (GPtrArray) orders = g_ptr_array_new ();
  GHashTableIter iter;
  void *value;

  if (daemon->admission_queue.length > 0)
    admit_queued (daemon, now_us);
  g_hash_table_iter_init (&iter, daemon->requests);
  while (g_hash_table_iter_next (&iter, &value, NULL))
    if (((DmRequest *)value)->order != NULL
        && or_next_poll_us (((DmRequest *)value)->order) <= now_us)
      g_ptr_array_add (orders, value);
  for (guint i = 0; i < orders->len; i++)
    dm_order_run (g_ptr_array_index (orders, i));
}

int64_t
dm_request_deadline_us (const char *text, int64_t now_us)
{
  uint64_t left_ms = DM_DEADLINE_DEFAULT_MS;

  if (text != NULL
      && !g_ascii_string_to_unsigned (text, 10, 1, DM_DEADLINE_MAX_MS,
                                      &left_ms, NULL))
    left_ms = DM_DEADLINE_MAX_MS;
  return now_us + (int64_t)left_ms * CK_US_PER_MS;
}

static const struct
{
  int code;
  const char *error;
} key_errors[] = {
  { KY_ERROR_MISSING, "key_missing" },
  { KY_ERROR_CONFLICT, "key_conflict" },
  { KY_ERROR_MALFORMED, "key_malformed" },
  { KY_ERROR_UNKNOWN, "key_unknown" },
  { KY_ERROR_REVOKED, "key_withdrawn" },
  { KY_ERROR_KEY_IN_PATH, "key_in_path" },
};

const char *
dm_key_error_name (const GError *error)
{
  for (size_t i = 0; i < G_N_ELEMENTS (key_errors); i++)
    if (key_errors[i].code == error->code)
      return key_errors[i].error;
  return "key_unknown";
}

static void
refuse_key (DmRequest *request, const GError *error)
{
  dm_request_refuse (request, error->code == KY_ERROR_KEY_IN_PATH ? 400 : 401,
                     dm_key_error_name (error), "not_run", 0);
}

/* Finds the customer of a request by its API key, or refuses the request.  */
static gboolean
identify_customer (DmRequest *request, int64_t now_us)
{
  DmDaemon *daemon = request->daemon;
  g_autoptr (GError) error = NULL;
  KyMatch match;

  if (!dm_is_fresh (daemon, now_us))
    {
      dm_request_refuse (request, 503, "config_stale", "not_run",
                         DM_STALE_RETRY_AFTER_MS);
      return FALSE;
    }
  if (!ky_extract_digest (request->front->headers, request->key_sha256, &error)
      || !ky_lookup (daemon->keys, request->key_sha256, &match, &error))
    {
      refuse_key (request, error);
      return FALSE;
    }
  g_free (request->customer);
  request->customer = g_strdup (match.customer->name);
  return TRUE;
}

/* Removes API keys from the headers and the query, so that none is forwarded.
   Refuses the request if its path contains a key.  */
static gboolean
strip_keys (DmRequest *request)
{
  FrRequest *front = request->front;
  g_autoptr (GError) error = NULL;

  request->query = g_strdup (front->query);
  if (!ky_strip (front->headers, front->path, &request->query, &error))
    {
      refuse_key (request, error);
      return FALSE;
    }
  request->request_target
      = request->query == NULL || *request->query == '\0'
            ? g_strdup (front->path)
            : g_strconcat (front->path, "?", request->query, NULL);
  return TRUE;
}

/* Mean over the targets of SERVICE that have responded; 0 if none has.  */
static int64_t
mean_latency_us (const DmService *service)
{
  int64_t sum_us = 0;
  int64_t count = 0;

  for (guint i = 0; i < service->targets->len; i++)
    {
      const DmTarget *target = g_ptr_array_index (service->targets, i);

      sum_us += target->latency_us;
      count += target->latency_us > 0;
    }
  return count == 0 ? 0 : sum_us / count;
}

gboolean
dm_may_finish (const DmDaemon *daemon, const DmService *service,
               int64_t deadline_us, int64_t now_us)
{
  return !daemon->draining
         || sp_admits (&daemon->stop, deadline_us, mean_latency_us (service),
                       now_us);
}

/* Refuses the request if the daemon stops and may not finish it.  */
static gboolean
check_stopping (DmRequest *request, int64_t now_us)
{
  DmDaemon *daemon = request->daemon;

  if (dm_may_finish (daemon, dm_find_service (daemon, request->service),
                     request->deadline_us, now_us))
    return TRUE;
  dm_request_refuse (request, 503, "daemon_stopping", "not_run",
                     DM_STOPPING_RETRY_AFTER_MS);
  return FALSE;
}

static gboolean
prepare_request (DmRequest *request, const CfRoute *route, int64_t now_us)
{
  request->service = g_strdup (route->service);
  request->customer = g_strdup (OPEN_CUSTOMER);
  request->needs_key = !route->open;
  request->idempotent
      = route->idempotent || is_safe_method (request->front->method);
  request->deadline_us = dm_request_deadline_us (
      ht_headers_get (request->front->headers, "X-Deadline-Ms"),
      ck_boot_us ());
  if (!check_stopping (request, now_us))
    return FALSE;
  if (request->needs_key && !identify_customer (request, now_us))
    return FALSE;
  return strip_keys (request);
}

void
dm_on_request (FrRequest *front, void *data)
{
  DmDaemon *daemon = data;
  int64_t now_us = ck_boot_us ();
  const CfRoute *route = NULL;
  DmRequest *request;

  if (strcmp (front->path, "/v1/lookup") == 0)
    {
      dm_lookup (daemon, front);
      return;
    }
  mt_add (daemon->metrics.requests, 1);
  request = request_new (daemon, front);
  if (dm_is_ready (daemon))
    route = cf_find_route (daemon->config, front->path);
  if (!dm_is_ready (daemon))
    dm_request_refuse (request, 503, "not_ready", "not_run",
                       DM_STALE_RETRY_AFTER_MS);
  else if (route == NULL || dm_find_service (daemon, route->service) == NULL)
    dm_request_refuse (request, 404, "no_route", "not_run", 0);
  else if (prepare_request (request, route, now_us))
    {
      fr_set_cancel_handler (front, on_cancel, request);
      admit (request, now_us);
      return;
    }
  dm_request_free (request);
}
