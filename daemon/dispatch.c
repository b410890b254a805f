#include "daemon/daemon.h"

/* Retry budget, in thousandths of a retry.  Each attempt adds
   RETRY_BUDGET_PERMILLE, and the retry of a request that may have run takes
   1000.  */
#define RETRY_BUDGET_PERMILLE 100
#define RETRY_BUDGET_MAX_MILLI (10 * 1000)
#define SLOT_REQUESTS_MAX 16
/* The newest value has a weight of 1/8.  */
#define EWMA_SHIFT 3

static void
release_slot (DmRequest *request, SlOutcome outcome)
{
  DmDaemon *daemon = request->daemon;
  int64_t now_us = ck_boot_us ();

  if (request->permit_id == 0)
    return;
  sl_release (daemon->slots, request->permit_id, outcome, now_us);
  request->permit_id = 0;
  dm_slots_return_grants (daemon, now_us);
}

static SlOutcome
slot_outcome (const BkResult *result)
{
  if (result->complete)
    {
      if (result->status == 503)
        return SL_OUTCOME_SHED;
      return result->status >= 500 ? SL_OUTCOME_FAILED : SL_OUTCOME_SUCCESS;
    }
  /* Even if the target sees the connection closed, it may work on the request
     until its deadline.  */
  return result->sent == BK_SENT_NONE ? SL_OUTCOME_NOT_SENT
                                      : SL_OUTCOME_UNKNOWN;
}

/* OLD is 0 if there was no value before.  */
static uint32_t
update_ewma (uint32_t old, uint32_t value)
{
  if (old == 0)
    return value;
  return (uint32_t)(old + (((int64_t)value - old) >> EWMA_SHIFT));
}

static void
update_target_stats (DmRequest *request, const BkResult *result)
{
  DmTarget *target = request->target;
  DmService *service = dm_find_service (request->daemon, request->service);
  gboolean shed = result->complete && result->status == 503;

  if (result->complete)
    {
      dm_target_record_response (request->daemon, target);
      /* From 0 the first shed would raise the EWMA to 1000.  */
      target->shed_permille
          = update_ewma (MAX (target->shed_permille, 1), shed ? 1000 : 0);
    }
  else if (result->failure == BK_FAILURE_CONNECT)
    dm_target_record_failure (request->daemon, target);
  if (shed)
    dm_record (
        request->daemon, EV_TARGET_SHED,
        &(EvFields){ .target = target->name, .request_id = request->id });
  if (!result->complete || shed)
    return;
  target->latency_us = update_ewma (
      target->latency_us, (uint32_t)(ck_boot_us () - request->sent_us));
  service->response_bytes = update_ewma (
      service->response_bytes, (uint32_t)MAX (result->body_bytes, 256));
}

static gboolean
take_retry_token (DmDaemon *daemon)
{
  if (daemon->retry_budget_milli < 1000)
    return FALSE;
  daemon->retry_budget_milli -= 1000;
  mt_add (daemon->metrics.retries, 1);
  return TRUE;
}

/* While attempts and time are left, a request of which no byte was sent may be
   retried; one that may have run only if it is idempotent and the retry budget
   allows it.  */
static gboolean
may_retry (DmRequest *request, const BkResult *result)
{
  gboolean shed = result->complete && result->status == 503;

  if (request->daemon->requests_ended || request->front == NULL
      || request->attempt_count >= DM_ATTEMPTS_MAX
      || ck_boot_us () >= request->deadline_us || (result->complete && !shed))
    return FALSE;
  if (result->sent == BK_SENT_NONE)
    return TRUE;
  return request->idempotent && take_retry_token (request->daemon);
}

static uint32_t
failure_to_status (const BkResult *result)
{
  if (result->failure == BK_FAILURE_TIMEOUT)
    return 504;
  return result->sent == BK_SENT_NONE && result->failure == BK_FAILURE_CONNECT
             ? 503
             : 502;
}

static void
finish_request (DmRequest *request, const BkResult *result)
{
  DmDaemon *daemon = request->daemon;
  uint32_t status
      = result->complete ? result->status : failure_to_status (result);

  if (request->order != NULL)
    {
      OrSendResult sent = { .kind = result->complete      ? OR_SEND_COMPLETE
                                    : request->maybe_sent ? OR_SEND_UNKNOWN
                                                          : OR_SEND_NOT_SENT,
                            .status = status,
                            .headers = result->headers,
                            .body = result->body,
                            .body_bytes = result->body_bytes };
      dm_order_send_done (request, &sent);
      return;
    }
  if (!result->complete)
    {
      dm_request_refuse (request, status, bk_failure_name (result->failure),
                         request->maybe_sent ? "unknown" : "not_run", 0);
      return;
    }
  mt_add (daemon->metrics.answered, 1);
  dm_record (daemon, EV_REQUEST_ANSWERED,
             &(EvFields){ .customer = request->customer,
                          .target = request->target_name,
                          .request_id = request->id });
  dm_request_respond (request, status, result->headers, result->body,
                      result->body_bytes);
}

static void
observe_added_latency (const DmRequest *request, int64_t responded_us)
{
  int64_t target_us = responded_us - request->sent_us;

  mt_observe (request->daemon->metrics.added_latency,
              MAX (0, ck_boot_us () - request->arrived_us - target_us));
}

static void
on_response (const BkResult *result, void *data)
{
  DmRequest *request = data;
  DmDaemon *daemon = request->daemon;
  DmService *service = dm_find_service (daemon, request->service);
  int64_t responded_us = ck_boot_us ();

  request->call = NULL;
  if (result->sent == BK_SENT_MAYBE)
    request->maybe_sent = TRUE;
  update_target_stats (request, result);
  release_slot (request, slot_outcome (result));
  dm_request_ref (request);
  if (may_retry (request, result))
    {
      dm_record (daemon, EV_REQUEST_RETRIED,
                 &(EvFields){ .target = request->target_name,
                              .request_id = request->id });
      dm_dispatch (request);
    }
  else
    {
      finish_request (request, result);
      if (result->complete)
        observe_added_latency (request, responded_us);
    }
  dm_request_unref (request);
  dm_dispatch_queued (daemon, service);
}

static uint32_t
target_index (const DmService *service, const DmTarget *target)
{
  guint index = SR_NONE;

  g_ptr_array_find (service->targets, target, &index);
  return index;
}

static HtHeaders *
make_target_headers (DmRequest *request, int64_t deadline_us, int64_t now_us)
{
  HtHeaders *headers = ht_headers_copy (request->front->headers);
  g_autofree char *left_ms = g_strdup_printf (
      "%" G_GINT64_FORMAT, MAX (1, (deadline_us - now_us) / CK_US_PER_MS));

  ht_remove_hop_by_hop (headers);
  ht_headers_remove (headers, "Content-Length");
  ht_headers_remove (headers, "Expect");
  ht_headers_set (headers, "X-Customer", request->customer);
  ht_headers_set (headers, "X-Request-Id", request->id);
  ht_headers_set (headers, "X-Deadline-Ms", left_ms);
  return headers;
}

static void
send_request (DmRequest *request, int64_t now_us)
{
  DmDaemon *daemon = request->daemon;
  /* After the permit's deadline the slot may be given to another request.  */
  int64_t deadline_us
      = MIN (request->deadline_us,
             sl_permit_deadline_us (daemon->slots, request->permit_id));
  g_autoptr (HtHeaders) headers
      = make_target_headers (request, deadline_us, now_us);
  BkRequest call = { .address = request->target->address,
                     .method = request->front->method,
                     .request_target = request->request_target,
                     .headers = headers,
                     .body = request->front->body,
                     .body_bytes = request->front->body_bytes,
                     .echo_header = "X-Request-Id",
                     .echo_value = request->id,
                     .deadline_us = deadline_us,
                     .on_done = on_response,
                     .data = request };

  request->tried[request->attempt_count++ % DM_ATTEMPTS_MAX] = target_index (
      dm_find_service (daemon, request->service), request->target);
  request->state = DM_REQUEST_SENT;
  request->sent_us = now_us;
  daemon->retry_budget_milli
      = MIN (RETRY_BUDGET_MAX_MILLI,
             daemon->retry_budget_milli + RETRY_BUDGET_PERMILLE);
  dm_record (daemon, EV_REQUEST_SENT,
             &(EvFields){ .customer = request->customer,
                          .target = request->target_name,
                          .request_id = request->id });
  request->call = bk_request (daemon->backend, &call);
}

static void
fail_dispatch (DmRequest *request, const char *error)
{
  OrSendResult sent
      = { .kind = request->maybe_sent ? OR_SEND_UNKNOWN : OR_SEND_NOT_SENT,
          .status = 502 };

  if (request->order != NULL)
    dm_order_send_done (request, &sent);
  else if (request->maybe_sent)
    dm_request_refuse (request, 504, error, "unknown", 0);
  else
    dm_request_refuse (request, 503, error, "not_run",
                       DM_NO_TARGET_RETRY_AFTER_MS);
}

/* Checks the request once more: while it was queued, its key may have been
   revoked, the permit may have expired, or the caller may have
   disconnected.  */
void
dm_dispatch_send (DmRequest *request, DmTarget *target, SlPermitId permit_id)
{
  DmDaemon *daemon = request->daemon;
  int64_t now_us = ck_boot_us ();

  dm_request_ref (request);
  request->permit_id = permit_id;
  request->target = target;
  g_free (request->target_name);
  request->target_name = g_strdup (target->name);
  if (!sl_permit_valid (daemon->slots, permit_id, now_us))
    {
      release_slot (request, SL_OUTCOME_NOT_SENT);
      fail_dispatch (request, "no_capacity");
    }
  else if (request->front == NULL || !dm_request_revalidate (request, now_us))
    release_slot (request, SL_OUTCOME_NOT_SENT);
  else
    send_request (request, now_us);
  dm_request_unref (request);
}

DmRequest *
dm_dispatch_pop (DmService *service)
{
  FqItem item;

  while (fq_pop (service->queue, ck_boot_us (), &item))
    {
      DmRequest *request = item.request;

      if (!item.expired)
        {
          mt_observe (service->daemon->metrics.queue_wait, item.waited_us);
          return request;
        }
      fail_dispatch (request, "no_capacity");
      dm_request_free (request);
    }
  return NULL;
}

static void
refuse_expired (DmService *service)
{
  FqItem item;

  while (fq_pop_expired (service->queue, ck_boot_us (), &item))
    {
      fail_dispatch (item.request, "no_capacity");
      dm_request_free (item.request);
    }
}

/* Selection of a target.  */

/* Takes the tokens, or tells whether there are as many.  */
static gboolean
use_tokens (DmDaemon *daemon, uint32_t quota_id, int64_t amount_utok,
            gboolean takes_tokens)
{
  int64_t now_us = ck_boot_us ();

  if (takes_tokens)
    return qt_take_tokens (daemon->quotas, quota_id, amount_utok, now_us);
  return qt_available_utok (daemon->quotas, quota_id, now_us) >= amount_utok;
}

/* A request to another region needs capacity on the link for its response.  */
static gboolean
use_link_tokens (DmDaemon *daemon, const DmTarget *target, int64_t bytes,
                 gboolean takes_tokens)
{
  const char *own_region = daemon->settings->region;
  const CfRegion *region;

  if (target->region < 0)
    return FALSE;
  region = g_ptr_array_index (daemon->config->regions, (guint)target->region);
  if (strcmp (region->name, own_region) == 0
      || cf_find_link (daemon->config, region->name, own_region) == NULL)
    return TRUE;
  return use_tokens (daemon, dm_quota_id ("link", region->name, own_region),
                     bytes, takes_tokens);
}

static gboolean
use_shift_token (DmDaemon *daemon, const DmView *view, uint32_t view_index,
                 gboolean takes_tokens)
{
  guint index = g_array_index (view->shift_index, guint, view_index);
  const CfShift *shift = g_ptr_array_index (daemon->config->shifts, index);

  return use_tokens (daemon, dm_quota_id ("shift", shift->name, NULL),
                     QT_TOKEN_UTOK, takes_tokens);
}

void
dm_choose_target (DmService *service, const DmView *view, SrRequest *request,
                  gboolean takes_tokens, SrChoice *choice)
{
  DmDaemon *daemon = service->daemon;

  request->bytes = service->response_bytes;
  request->probe = TRUE;
  daemon->policy->choose (&view->view, request, choice);
  if (choice->shift != SR_NONE
      && !use_shift_token (daemon, view, choice->shift, takes_tokens))
    {
      request->no_shift = TRUE;
      daemon->policy->choose (&view->view, request, choice);
    }
  if (choice->verdict != SR_VERDICT_OWN
      && choice->verdict != SR_VERDICT_BORROW)
    return;
  if (!use_link_tokens (daemon,
                        g_ptr_array_index (service->targets, choice->target),
                        service->response_bytes, takes_tokens))
    choice->verdict = SR_VERDICT_WAIT;
}

/* While slot requests are pending, any free slot of the daemon's own is better
   than waiting for a holder that may be unreachable.  */
static gboolean
choose_own_slot (const DmView *view, SrChoice *choice)
{
  for (uint32_t i = 0; i < view->view.target_count; i++)
    {
      const SrTarget *target = &view->view.targets[i];

      if (target->own_free_count == 0 || !target->healthy || target->draining)
        continue;
      choice->verdict = SR_VERDICT_OWN;
      choice->target = i;
      return TRUE;
    }
  return FALSE;
}

/* Sends or refuses one queued request, or requests a slot for it.  FALSE when
   nothing more can be done now.  */
static gboolean
dispatch_one (DmService *service)
{
  DmDaemon *daemon = service->daemon;
  SrRequest options = { .random = dm_random (daemon) };
  DmTarget *target = NULL;
  DmRequest *request;
  SrChoice choice;
  SlPermitId permit_id;
  DmView view;

  dm_view_fill (daemon, service, &view, ck_boot_us ());
  dm_choose_target (service, &view, &options, TRUE, &choice);
  if (choice.verdict == SR_VERDICT_BORROW
      && service->slot_request_count
             >= MIN (SLOT_REQUESTS_MAX, fq_request_count (service->queue))
      && !choose_own_slot (&view, &choice))
    choice.verdict = SR_VERDICT_WAIT;
  if (choice.target != SR_NONE)
    target = g_ptr_array_index (service->targets, choice.target);
  dm_view_clear (&view);
  if (choice.verdict == SR_VERDICT_WAIT)
    return FALSE;
  g_assert (choice.verdict == SR_VERDICT_REFUSE || target != NULL);
  if (choice.verdict == SR_VERDICT_BORROW)
    {
      dm_slot_borrow (service, target, choice.lender_vm);
      return TRUE;
    }
  request = dm_dispatch_pop (service);
  if (request == NULL)
    return FALSE;
  if (choice.verdict == SR_VERDICT_REFUSE)
    {
      fail_dispatch (request, "no_target");
      dm_request_free (request);
      return TRUE;
    }
  if (!sl_acquire (daemon->slots, target->name, request->deadline_us,
                   ck_boot_us (), &permit_id))
    {
      fail_dispatch (request, "no_capacity");
      dm_request_free (request);
      return TRUE;
    }
  dm_dispatch_send (request, target, permit_id);
  return TRUE;
}

void
dm_dispatch_queued (DmDaemon *daemon, DmService *service)
{
  (void)daemon;
  /* Sending may end a request at once and so call this function again.  */
  if (service->dispatching)
    return;
  service->dispatching = TRUE;
  refuse_expired (service);
  while (fq_request_count (service->queue) > 0 && dispatch_one (service))
    ;
  service->dispatching = FALSE;
}

/* Sends a retry to a target that was not tried, if the daemon has a free slot
   of its own there.  */
static gboolean
retry_on_other_target (DmRequest *request)
{
  DmDaemon *daemon = request->daemon;
  DmService *service = dm_find_service (daemon, request->service);
  SrRequest options
      = { .random = dm_random (daemon),
          .tried = request->tried,
          .tried_count = MIN (request->attempt_count, DM_ATTEMPTS_MAX) };
  DmTarget *target;
  SrChoice choice;
  SlPermitId permit_id;
  DmView view;

  dm_view_fill (daemon, service, &view, ck_boot_us ());
  dm_choose_target (service, &view, &options, TRUE, &choice);
  dm_view_clear (&view);
  if (choice.verdict != SR_VERDICT_OWN)
    return FALSE;
  target = g_ptr_array_index (service->targets, choice.target);
  if (!sl_acquire (daemon->slots, target->name, request->deadline_us,
                   ck_boot_us (), &permit_id))
    return FALSE;
  dm_dispatch_send (request, target, permit_id);
  return TRUE;
}

void
dm_dispatch (DmRequest *request)
{
  DmDaemon *daemon = request->daemon;
  DmService *service = dm_find_service (daemon, request->service);
  int64_t now_us = ck_boot_us ();

  dm_request_ref (request);
  if (request->attempt_count == 0 || !retry_on_other_target (request))
    {
      request->state = DM_REQUEST_QUEUED;
      if (fq_push (service->queue, request->customer, request,
                   request->deadline_us, now_us, NULL))
        dm_dispatch_queued (daemon, service);
      else
        fail_dispatch (request, "no_capacity");
    }
  dm_request_unref (request);
}

void
dm_dispatch_tick (DmDaemon *daemon, int64_t now_us)
{
  GHashTableIter iter;
  void *value;

  sl_expire (daemon->slots, now_us);
  dm_slots_return_grants (daemon, now_us);
  g_hash_table_iter_init (&iter, daemon->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (fq_request_count (((DmService *)value)->queue) > 0)
      dm_dispatch_queued (daemon, value);
}

void
dm_dispatch_cancel (DmRequest *request)
{
  DmService *service = dm_find_service (request->daemon, request->service);

  if (service != NULL)
    fq_remove_request (service->queue, request);
  g_queue_remove (&request->daemon->admission_queue, request);
  if (request->call == NULL)
    return;
  if (bk_cancel (request->call) == BK_SENT_MAYBE)
    {
      request->maybe_sent = TRUE;
      release_slot (request, SL_OUTCOME_UNKNOWN);
    }
  else
    release_slot (request, SL_OUTCOME_NOT_SENT);
  request->call = NULL;
}
