#include "daemon/daemon.h"

/* Retries over requests, in thousandths; up to RETRY_BANK are saved up.  */
#define RETRY_PERMILLE 100
#define RETRY_BANK (10 * 1000)
#define ASKS_MAX 16
/* Weight of the newest value in moving averages: 1/8.  */
#define AVERAGE_SHIFT 3

static void
release (DmRequest *request, SlOutcome outcome)
{
  DmDaemon *daemon = request->daemon;
  int64_t now_us = ck_boot_us ();

  if (request->permit_id == 0)
    return;
  sl_release (daemon->slots, request->permit_id, outcome, now_us);
  request->permit_id = 0;
  dm_slots_return (daemon, now_us);
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
  /* Until its deadline the target may work on, whatever it gets to see of the
     closed connection.  */
  return result->sent == BK_SENT_NONE ? SL_OUTCOME_NOT_SENT
                                      : SL_OUTCOME_UNKNOWN;
}

static uint32_t
average (uint32_t old, uint32_t value)
{
  if (old == 0)
    return value;
  return (uint32_t)(old + (((int64_t)value - old) >> AVERAGE_SHIFT));
}

static void
learn (DmRequest *request, const BkResult *result)
{
  DmTarget *target = request->target;
  DmService *service = dm_service (request->daemon, request->service);
  gboolean shed = result->complete && result->status == 503;

  if (result->complete)
    {
      dm_target_answered (request->daemon, target);
      target->shed_permille
          = average (MAX (target->shed_permille, 1), shed ? 1000 : 0);
    }
  else if (result->failure == BK_FAILURE_CONNECT)
    dm_target_failed (request->daemon, target);
  if (shed)
    dm_record (
        request->daemon, EV_TARGET_SHED,
        &(EvFields){ .target = target->name, .request_id = request->id });
  if (!result->complete || shed)
    return;
  target->latency_us = average (target->latency_us,
                                (uint32_t)(ck_boot_us () - request->sent_us));
  service->answer_bytes = average (service->answer_bytes,
                                   (uint32_t)MAX (result->body_bytes, 256));
}

static gboolean
take_retry (DmDaemon *daemon)
{
  if (daemon->retry_tokens < 1000)
    return FALSE;
  daemon->retry_tokens -= 1000;
  mt_add (daemon->counters.retries, 1);
  return TRUE;
}

/* A request that surely was not handed over may go to another target; one that
   may have run only if it is idempotent and the budget allows it.  */
static gboolean
may_retry (DmRequest *request, const BkResult *result)
{
  gboolean shed = result->complete && result->status == 503;

  if (request->front == NULL || request->try_count >= DM_TRIES_MAX
      || ck_boot_us () >= request->deadline_us || (result->complete && !shed))
    return FALSE;
  if (result->sent == BK_SENT_NONE)
    return TRUE;
  return request->idempotent && take_retry (request->daemon);
}

static uint32_t
failure_status (const BkResult *result)
{
  if (result->failure == BK_FAILURE_TIMEOUT)
    return 504;
  return result->sent == BK_SENT_NONE && result->failure == BK_FAILURE_CONNECT
             ? 503
             : 502;
}

static void
finish (DmRequest *request, const BkResult *result)
{
  DmDaemon *daemon = request->daemon;
  uint32_t status
      = result->complete ? result->status : failure_status (result);

  if (request->order != NULL)
    {
      OrSendResult sent = { .kind = result->complete      ? OR_SEND_ANSWERED
                                    : request->maybe_sent ? OR_SEND_UNKNOWN
                                                          : OR_SEND_NOT_SENT,
                            .status = status,
                            .headers = result->headers,
                            .body = result->body,
                            .body_bytes = result->body_bytes };
      dm_order_sent (request, &sent);
      return;
    }
  if (!result->complete)
    {
      dm_request_refuse (request, status, bk_failure_name (result->failure),
                         request->maybe_sent ? "unknown" : "not_run", 0);
      return;
    }
  mt_add (daemon->counters.answered, 1);
  dm_record (daemon, EV_REQUEST_ANSWERED,
             &(EvFields){ .customer = request->customer,
                          .target = request->target_name,
                          .request_id = request->id });
  dm_request_answer (request, status, result->headers, result->body,
                     result->body_bytes);
}

static void
observe_added (const DmRequest *request, int64_t answered_us)
{
  int64_t target_us = answered_us - request->sent_us;

  mt_observe (request->daemon->counters.added,
              MAX (0, ck_boot_us () - request->arrived_us - target_us));
}

static void
on_answer (const BkResult *result, void *data)
{
  DmRequest *request = data;
  DmDaemon *daemon = request->daemon;
  DmService *service = dm_service (daemon, request->service);
  int64_t answered_us = ck_boot_us ();

  request->call = NULL;
  if (result->sent == BK_SENT_MAYBE)
    request->maybe_sent = TRUE;
  learn (request, result);
  release (request, slot_outcome (result));
  dm_request_hold (request);
  if (may_retry (request, result))
    {
      dm_record (daemon, EV_REQUEST_RETRIED,
                 &(EvFields){ .target = request->target_name,
                              .request_id = request->id });
      dm_dispatch (request);
    }
  else
    {
      finish (request, result);
      if (result->complete)
        observe_added (request, answered_us);
    }
  dm_request_unhold (request);
  dm_dispatch_pump (daemon, service);
}

static uint32_t
target_index (const DmService *service, const DmTarget *target)
{
  guint index = SR_NONE;

  g_ptr_array_find (service->targets, target, &index);
  return index;
}

static HtHeaders *
target_headers (DmRequest *request, int64_t deadline_us, int64_t now_us)
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
  /* The slot may be given to another request after this time.  */
  int64_t deadline_us
      = MIN (request->deadline_us,
             sl_permit_deadline_us (daemon->slots, request->permit_id));
  g_autoptr (HtHeaders) headers
      = target_headers (request, deadline_us, now_us);
  BkRequest call = { .address = request->target->address,
                     .method = request->front->method,
                     .target = request->target_path,
                     .headers = headers,
                     .body = request->front->body,
                     .body_bytes = request->front->body_bytes,
                     .deadline_us = deadline_us,
                     .on_done = on_answer,
                     .data = request };

  request->tried[request->try_count++ % DM_TRIES_MAX]
      = target_index (dm_service (daemon, request->service), request->target);
  request->step = DM_STEP_SENT;
  request->sent_us = now_us;
  daemon->retry_tokens
      = MIN (RETRY_BANK, daemon->retry_tokens + RETRY_PERMILLE);
  dm_record (daemon, EV_REQUEST_SENT,
             &(EvFields){ .customer = request->customer,
                          .target = request->target_name,
                          .request_id = request->id });
  request->call = bk_request (daemon->backend, &call);
}

static void
refuse_waiting (DmRequest *request, const char *error)
{
  OrSendResult sent
      = { .kind = request->maybe_sent ? OR_SEND_UNKNOWN : OR_SEND_NOT_SENT,
          .status = 502 };

  if (request->order != NULL)
    dm_order_sent (request, &sent);
  else if (request->maybe_sent)
    dm_request_refuse (request, 504, error, "unknown", 0);
  else
    dm_request_refuse (request, 503, error, "not_run", 1000);
}

/* The key, the ticket or the caller may be gone since the request was
   queued.  */
void
dm_dispatch_start (DmRequest *request, DmTarget *target, SlPermitId permit_id)
{
  DmDaemon *daemon = request->daemon;
  int64_t now_us = ck_boot_us ();

  dm_request_hold (request);
  request->permit_id = permit_id;
  request->target = target;
  g_free (request->target_name);
  request->target_name = g_strdup (target->name);
  if (!sl_permit_valid (daemon->slots, permit_id, now_us))
    {
      release (request, SL_OUTCOME_NOT_SENT);
      refuse_waiting (request, "no_capacity");
    }
  else if (request->front == NULL || !dm_request_recheck (request, now_us))
    release (request, SL_OUTCOME_NOT_SENT);
  else
    send_request (request, now_us);
  dm_request_unhold (request);
}

/* Takes the request whose turn it is; expired ones are refused on the way.  */
DmRequest *
dm_dispatch_next (DmService *service)
{
  FqItem item;

  while (fq_pop (service->queue, ck_boot_us (), &item))
    {
      DmRequest *request = item.request;

      if (!item.expired)
        {
          mt_observe (service->daemon->counters.queue_wait, item.waited_us);
          return request;
        }
      refuse_waiting (request, "no_capacity");
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
      refuse_waiting (item.request, "no_capacity");
      dm_request_free (item.request);
    }
}

/* Choice.  */

/* A request that crosses regions needs room on the link for its answer.  */
static gboolean
take_link (DmDaemon *daemon, const DmTarget *target, int64_t bytes)
{
  const char *own = daemon->settings->region;
  const CfRegion *region;

  if (target->region < 0)
    return FALSE;
  region = g_ptr_array_index (daemon->config->regions, (guint)target->region);
  if (strcmp (region->name, own) == 0
      || cf_find_link (daemon->config, region->name, own) == NULL)
    return TRUE;
  return qt_take_tokens (daemon->quotas,
                         dm_quota_id ("link", region->name, own), bytes,
                         ck_boot_us ());
}

static gboolean
take_shift (DmDaemon *daemon, const DmView *view, uint32_t shift)
{
  guint index = g_array_index (view->shift_index, guint, shift);
  const CfShift *row = g_ptr_array_index (daemon->config->shifts, index);

  return qt_take_tokens (daemon->quotas,
                         dm_quota_id ("shift", row->name, NULL), QT_TOKEN_UTOK,
                         ck_boot_us ());
}

/* Chooses for SERVICE; takes what a shift or a link costs.  */
static void
choose (DmService *service, const DmView *view, SrRequest *request,
        SrChoice *choice)
{
  DmDaemon *daemon = service->daemon;

  request->random = dm_random (daemon);
  request->bytes = service->answer_bytes;
  request->probe = TRUE;
  daemon->policy->choose (&view->view, request, choice);
  if (choice->shift != SR_NONE && !take_shift (daemon, view, choice->shift))
    {
      request->no_shift = TRUE;
      daemon->policy->choose (&view->view, request, choice);
    }
  if (choice->verdict != SR_VERDICT_OWN
      && choice->verdict != SR_VERDICT_BORROW)
    return;
  if (!take_link (daemon, g_ptr_array_index (service->targets, choice->target),
                  service->answer_bytes))
    choice->verdict = SR_VERDICT_WAIT;
}

/* While an answer to an ask is awaited, any free slot of the daemon's own is
   better than waiting for a holder that may be cut off.  */
static gboolean
prefer_own (const DmView *view, SrChoice *choice)
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

/* Serves or asks for one waiting request.  FALSE when nothing more can be done
   now.  */
static gboolean
pump_once (DmService *service)
{
  DmDaemon *daemon = service->daemon;
  SrRequest ask = { 0 };
  DmTarget *target = NULL;
  DmRequest *request;
  SrChoice choice;
  SlPermitId permit_id;
  DmView view;

  dm_view_fill (daemon, service, &view, ck_boot_us ());
  choose (service, &view, &ask, &choice);
  if (choice.verdict == SR_VERDICT_BORROW
      && service->ask_count
             >= MIN (ASKS_MAX, fq_request_count (service->queue))
      && !prefer_own (&view, &choice))
    choice.verdict = SR_VERDICT_WAIT;
  if (choice.target != SR_NONE)
    target = g_ptr_array_index (service->targets, choice.target);
  dm_view_clear (&view);
  if (choice.verdict == SR_VERDICT_WAIT)
    return FALSE;
  g_assert (choice.verdict == SR_VERDICT_REFUSE || target != NULL);
  if (choice.verdict == SR_VERDICT_BORROW)
    {
      dm_slot_ask (service, target, choice.lender_vm);
      return TRUE;
    }
  request = dm_dispatch_next (service);
  if (request == NULL)
    return FALSE;
  if (choice.verdict == SR_VERDICT_REFUSE)
    {
      refuse_waiting (request, "no_target");
      dm_request_free (request);
      return TRUE;
    }
  if (!sl_acquire (daemon->slots, target->name, request->deadline_us,
                   ck_boot_us (), &permit_id))
    {
      refuse_waiting (request, "no_capacity");
      dm_request_free (request);
      return TRUE;
    }
  dm_dispatch_start (request, target, permit_id);
  return TRUE;
}

void
dm_dispatch_pump (DmDaemon *daemon, DmService *service)
{
  (void)daemon;
  /* Sending may end a request at once and pump again.  */
  if (service->pumping)
    return;
  service->pumping = TRUE;
  refuse_expired (service);
  while (fq_request_count (service->queue) > 0 && pump_once (service))
    ;
  service->pumping = FALSE;
}

/* A retry goes to a target that was not tried, if one of the daemon's own
   slots is free there.  */
static gboolean
retry_elsewhere (DmRequest *request)
{
  DmDaemon *daemon = request->daemon;
  DmService *service = dm_service (daemon, request->service);
  SrRequest ask = { .tried = request->tried,
                    .tried_count = MIN (request->try_count, DM_TRIES_MAX) };
  DmTarget *target;
  SrChoice choice;
  SlPermitId permit_id;
  DmView view;

  dm_view_fill (daemon, service, &view, ck_boot_us ());
  choose (service, &view, &ask, &choice);
  dm_view_clear (&view);
  if (choice.verdict != SR_VERDICT_OWN)
    return FALSE;
  target = g_ptr_array_index (service->targets, choice.target);
  if (!sl_acquire (daemon->slots, target->name, request->deadline_us,
                   ck_boot_us (), &permit_id))
    return FALSE;
  dm_dispatch_start (request, target, permit_id);
  return TRUE;
}

void
dm_dispatch (DmRequest *request)
{
  DmDaemon *daemon = request->daemon;
  DmService *service = dm_service (daemon, request->service);
  int64_t now_us = ck_boot_us ();

  dm_request_hold (request);
  if (request->try_count == 0 || !retry_elsewhere (request))
    {
      request->step = DM_STEP_QUEUED;
      if (fq_push (service->queue, request->customer, request,
                   request->deadline_us, now_us, NULL))
        dm_dispatch_pump (daemon, service);
      else
        refuse_waiting (request, "no_capacity");
    }
  dm_request_unhold (request);
}

void
dm_dispatch_tick (DmDaemon *daemon, int64_t now_us)
{
  GHashTableIter iter;
  void *value;

  sl_expire (daemon->slots, now_us);
  dm_slots_return (daemon, now_us);
  g_hash_table_iter_init (&iter, daemon->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (fq_request_count (((DmService *)value)->queue) > 0)
      dm_dispatch_pump (daemon, value);
}

void
dm_dispatch_cancel (DmRequest *request)
{
  DmService *service = dm_service (request->daemon, request->service);

  if (service != NULL)
    fq_remove_request (service->queue, request);
  g_queue_remove (&request->daemon->admission_waiting, request);
  if (request->call == NULL)
    return;
  if (bk_cancel (request->call) == BK_SENT_MAYBE)
    {
      request->maybe_sent = TRUE;
      release (request, SL_OUTCOME_UNKNOWN);
    }
  else
    release (request, SL_OUTCOME_NOT_SENT);
  request->call = NULL;
}
