#include "daemon/daemon.h"

#define SLOT_REQUEST_TIMEOUT_MS 300
/* After a refusal no slots of the target are requested for this time, from any
   holder.  */
#define REFUSED_PAUSE_US (50 * CK_US_PER_MS)
/* The pause is longer after a request without a reply, since the holder may be
   unreachable.  */
#define NO_REPLY_PAUSE_US (2 * CK_US_PER_S)

void
dm_slots_return_grants (DmDaemon *daemon, int64_t now_us)
{
  SlReturn row;

  while (sl_next_return (daemon->slots, now_us, &row))
    {
      Peer__Envelope envelope = PEER__ENVELOPE__INIT;
      Peer__SlotReturn body = PEER__SLOT_RETURN__INIT;

      body.grant_id = row.grant_id;
      body.shed = row.outcome == SL_OUTCOME_SHED;
      body.failed = row.outcome == SL_OUTCOME_FAILED;
      body.not_sent = row.outcome == SL_OUTCOME_NOT_SENT;
      envelope.body_case = PEER__ENVELOPE__BODY_SLOT_RETURN;
      envelope.slot_return = &body;
      pr_send (daemon->net, row.vm, &envelope);
    }
}

/* Borrowing.  A slot is requested for the service, not for one request: when
   the grant arrives, it is used for the next request of the queue.  */

typedef struct
{
  DmDaemon *daemon;
  DmService *service;
  DmTarget *target;
} BorrowCall;

static gboolean
accept_grant (const BorrowCall *call, const char *vm,
              const Peer__SlotReply *reply, int64_t sent_us,
              SlPermitId *permit_id)
{
  SlGrant grant = { .id = reply->grant_id,
                    .valid_us = (int64_t)reply->valid_ms * CK_US_PER_MS };

  return sl_accept_grant (call->daemon->slots, call->target->name, vm, &grant,
                          sent_us, ck_boot_us (), permit_id);
}

static void
use_grant (DmDaemon *daemon, DmService *service, DmTarget *target,
           SlPermitId permit_id)
{
  DmRequest *request = dm_dispatch_pop (service);

  mt_add (daemon->metrics.borrowed_slots, 1);
  if (request != NULL)
    {
      dm_dispatch_send (request, target, permit_id);
      return;
    }
  sl_release (daemon->slots, permit_id, SL_OUTCOME_NOT_SENT, ck_boot_us ());
  dm_slots_return_grants (daemon, ck_boot_us ());
}

static void
on_slot_reply (const char *vm, const Peer__Envelope *envelope, int64_t sent_us,
               void *data)
{
  BorrowCall *call = data;
  DmDaemon *daemon = call->daemon;
  DmService *service = call->service;
  DmTarget *target = call->target;
  SlPermitId permit_id;

  service->slot_request_count--;
  if (envelope != NULL
      && envelope->body_case == PEER__ENVELOPE__BODY_SLOT_REPLY
      && envelope->slot_reply->granted
      && accept_grant (call, vm, envelope->slot_reply, sent_us, &permit_id))
    use_grant (daemon, service, target, permit_id);
  else
    target->borrow_paused_until_us
        = ck_boot_us ()
          + (envelope == NULL ? NO_REPLY_PAUSE_US : REFUSED_PAUSE_US);
  dm_dispatch_queued (daemon, service);
  dm_context_free (daemon, call);
}

void
dm_slot_borrow (DmService *service, DmTarget *target, const char *lender)
{
  DmDaemon *daemon = service->daemon;
  Peer__Envelope envelope = PEER__ENVELOPE__INIT;
  Peer__SlotRequest body = PEER__SLOT_REQUEST__INIT;
  BorrowCall *call = dm_context_new (daemon, sizeof *call);

  *call = (BorrowCall){ daemon, service, target };
  body.target = target->name;
  body.region = daemon->settings->region;
  body.valid_ms = DM_DEADLINE_MAX_MS;
  envelope.body_case = PEER__ENVELOPE__BODY_SLOT_REQUEST;
  envelope.slot_request = &body;
  service->slot_request_count++;
  target->requested_slot_count++;
  target->slot_requested_us = ck_boot_us ();
  pr_request (daemon->net, lender, &envelope, SLOT_REQUEST_TIMEOUT_MS,
              on_slot_reply, call);
}

void
dm_receive_late_slot_reply (DmDaemon *daemon, const char *vm,
                            const Peer__SlotReply *reply)
{
  Peer__Envelope envelope = PEER__ENVELOPE__INIT;
  Peer__SlotReturn body = PEER__SLOT_RETURN__INIT;

  if (!reply->granted)
    return;
  body.grant_id = reply->grant_id;
  body.not_sent = 1;
  envelope.body_case = PEER__ENVELOPE__BODY_SLOT_RETURN;
  envelope.slot_return = &body;
  pr_send (daemon->net, vm, &envelope);
}

static gboolean
may_lend (DmDaemon *daemon, const DmTarget *target,
          const char *borrower_region_name, int64_t now_us)
{
  DmView view;
  uint32_t borrower_region = SR_NONE;
  gboolean allowed = FALSE;
  GHashTableIter iter;
  void *value;

  if (!dm_target_is_usable (target) || target->region < 0)
    return FALSE;
  g_hash_table_iter_init (&iter, daemon->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      DmService *service = value;

      if (!g_ptr_array_find (service->targets, target, NULL))
        continue;
      dm_view_fill (daemon, service, &view, now_us);
      for (uint32_t i = 0; i < view.view.region_count; i++)
        if (strcmp (view.view.regions[i].name, borrower_region_name) == 0)
          borrower_region = i;
      allowed = borrower_region != SR_NONE
                && sr_may_lend (&view.view, (uint32_t)target->region,
                                borrower_region);
      dm_view_clear (&view);
    }
  return allowed;
}

void
dm_receive_slot_request (DmDaemon *daemon, PrConnection *connection,
                         const Peer__Envelope *envelope)
{
  const Peer__SlotRequest *request = envelope->slot_request;
  DmTarget *target = g_hash_table_lookup (daemon->targets, request->target);
  Peer__Envelope reply = PEER__ENVELOPE__INIT;
  Peer__SlotReply body = PEER__SLOT_REPLY__INIT;
  int64_t now_us = ck_boot_us ();
  SlGrant grant;

  if (target != NULL && may_lend (daemon, target, request->region, now_us)
      && sl_lend (daemon->slots, request->target, envelope->from_vm,
                  (int64_t)request->valid_ms * CK_US_PER_MS, now_us, &grant))
    {
      body.granted = 1;
      body.grant_id = grant.id;
      body.valid_ms = (uint32_t)(grant.valid_us / CK_US_PER_MS);
    }
  reply.body_case = PEER__ENVELOPE__BODY_SLOT_REPLY;
  reply.slot_reply = &body;
  pr_reply (connection, envelope->id, &reply);
}

void
dm_receive_slot_return (DmDaemon *daemon, const Peer__SlotReturn *message)
{
  SlOutcome outcome = message->shed       ? SL_OUTCOME_SHED
                      : message->failed   ? SL_OUTCOME_FAILED
                      : message->not_sent ? SL_OUTCOME_NOT_SENT
                                          : SL_OUTCOME_SUCCESS;

  sl_apply_return (daemon->slots, message->grant_id, outcome, ck_boot_us ());
}
