#include "daemon/daemon.h"

/* Short enough that two replies may be lost before a promise, which lasts 3 s,
   ends.  */
#define PROMISE_TIMEOUT_MS 700
/* Sorting a few hundred members takes longer than the rest of a tick.  */
#define CANDIDATES_INTERVAL_US (200 * CK_US_PER_MS)

typedef struct
{
  DmDaemon *daemon;
  LsAction action;
} ActionContext;

static ActionContext *
context_new (DmDaemon *daemon, const LsAction *action)
{
  ActionContext *context = dm_context_new (daemon, sizeof *context);

  context->daemon = daemon;
  context->action = *action;
  return context;
}

static char *
lease_key (const char *vm)
{
  return g_strconcat ("cw/lease/", vm, NULL);
}

static void
update_fenced_lease (DmDaemon *daemon, const LsRecord *record)
{
  AsFencedLease *fenced;

  if (record->state == LS_STATE_ACTIVE)
    {
      g_hash_table_remove (daemon->fenced, record->vm);
      return;
    }
  fenced = g_new0 (AsFencedLease, 1);
  fenced->vm = g_strdup (record->vm);
  fenced->incarnation = record->incarnation;
  fenced->fenced_at_ms = record->fenced_at_ms;
  fenced->released = record->state == LS_STATE_RELEASED;
  g_hash_table_replace (daemon->fenced, (char *)fenced->vm, fenced);
}

static void
on_promise_reply (const char *vm, const Peer__Envelope *envelope,
                  int64_t sent_us, void *data)
{
  ActionContext *context = data;
  DmDaemon *daemon = context->daemon;
  int64_t now_us = ck_boot_us ();

  (void)sent_us;
  if (envelope != NULL
      && envelope->body_case == PEER__ENVELOPE__BODY_PROMISE_REPLY)
    {
      if (envelope->promise_reply->granted)
        ls_promise_received (daemon->lease, vm, context->action.sent_us,
                             now_us);
      else
        ls_promise_refused (daemon->lease, vm, context->action.sent_us,
                            now_us);
    }
  dm_context_free (daemon, context);
}

static void
request_promise (DmDaemon *daemon, const LsAction *action)
{
  Peer__Envelope envelope = PEER__ENVELOPE__INIT;
  Peer__PromiseRequest body = PEER__PROMISE_REQUEST__INIT;

  body.holder_vm = (char *)action->record.vm;
  body.holder_incarnation = action->record.incarnation;
  body.holder_sequence = action->record.seq;
  body.named_incarnation = action->record.successor_incarnation;
  envelope.body_case = PEER__ENVELOPE__BODY_PROMISE_REQUEST;
  envelope.promise_request = &body;
  pr_request (daemon->net, action->vm, &envelope, PROMISE_TIMEOUT_MS,
              on_promise_reply, context_new (daemon, action));
}

static void
on_record_read (const StResult *result, void *data)
{
  ActionContext *context = data;
  DmDaemon *daemon = context->daemon;
  char vm[LS_NAME_BYTES];
  int64_t now_us = ck_boot_us ();
  LsRecord record;

  g_strlcpy (vm, context->action.vm, sizeof vm);
  dm_context_free (daemon, context);
  dm_update_store_state (daemon, result->outcome);
  if (result->outcome == ST_OUTCOME_ABSENT)
    {
      ls_record_absent (daemon->lease, vm, now_us);
      return;
    }
  if (result->outcome != ST_OUTCOME_OK
      || !ls_record_parse (result->value, result->length_bytes, &record, NULL))
    {
      ls_read_failed (daemon->lease, vm, now_us);
      return;
    }
  update_fenced_lease (daemon, &record);
  ls_record_found (daemon->lease, &record, result->index, now_us);
}

static const LsCasOutcome cas_outcomes[] = {
  [ST_OUTCOME_OK] = LS_CAS_APPLIED,
  [ST_OUTCOME_ABSENT] = LS_CAS_CONFLICT,
  [ST_OUTCOME_CONFLICT] = LS_CAS_CONFLICT,
  [ST_OUTCOME_DOWN] = LS_CAS_NOT_SENT,
  [ST_OUTCOME_UNKNOWN] = LS_CAS_UNKNOWN,
};

static void
record_fence (DmDaemon *daemon, const LsAction *action)
{
  update_fenced_lease (daemon, &action->record);
  dm_record_detail (daemon, EV_LEASE_FENCED_OTHER,
                    "%s incarnation %" G_GUINT64_FORMAT, action->record.vm,
                    action->record.incarnation);
}

static void
on_record_written (const StResult *result, void *data)
{
  ActionContext *context = data;
  DmDaemon *daemon = context->daemon;
  LsCasOutcome outcome = cas_outcomes[result->outcome];

  dm_update_store_state (daemon, result->outcome);
  /* A write that took effect but whose index could not be read is treated like
     one whose reply was lost: the record is read back.  */
  if (outcome == LS_CAS_APPLIED && result->index == 0)
    outcome = LS_CAS_UNKNOWN;
  if (outcome == LS_CAS_UNKNOWN)
    dm_record_detail (daemon, EV_STORE_OUTCOME_UNKNOWN, "lease of %s",
                      context->action.record.vm);
  if (outcome == LS_CAS_APPLIED && context->action.kind == LS_ACTION_FENCE)
    record_fence (daemon, &context->action);
  ls_cas_done (daemon->lease, &context->action, outcome, result->index,
               ck_boot_us ());
  dm_context_free (daemon, context);
}

static void
write_record (DmDaemon *daemon, LsAction *action)
{
  g_autofree char *key = lease_key (action->record.vm);
  g_autofree char *text = NULL;

  if (action->kind == LS_ACTION_FENCE)
    action->record.fenced_at_ms = ck_wall_ms ();
  text = ls_record_format (&action->record);
  st_cas (daemon->store, key, action->expected_index, text, strlen (text),
          on_record_written, context_new (daemon, action));
}

static void
start_action (DmDaemon *daemon, LsAction *action)
{
  g_autofree char *key = NULL;

  switch (action->kind)
    {
    case LS_ACTION_REQUEST_PROMISE:
      request_promise (daemon, action);
      break;
    case LS_ACTION_READ:
      key = lease_key (action->vm);
      st_get (daemon->store, key, on_record_read,
              context_new (daemon, action));
      break;
    case LS_ACTION_WRITE:
    case LS_ACTION_FENCE:
      write_record (daemon, action);
      break;
    case LS_ACTION_NONE:
      break;
    }
}

static void
set_candidates_and_suspects (DmDaemon *daemon, int64_t now_us)
{
  const MbMember *members[DM_VMS_MAX];
  uint32_t ranks[DM_VMS_MAX];
  LsCandidate candidates[DM_VMS_MAX];
  LsSuspect suspects[DM_VMS_MAX];
  uint32_t count;
  uint32_t suspect_count = 0;

  count = mb_successors (daemon->members, now_us, members, DM_VMS_MAX);
  for (uint32_t i = 0; i < count; i++)
    candidates[i] = (LsCandidate){ members[i]->vm, members[i]->incarnation };
  ls_set_candidates (daemon->lease, candidates, count, now_us);

  count = mb_suspects (daemon->members, now_us, members, ranks, DM_VMS_MAX);
  for (uint32_t i = 0; i < count; i++)
    if (!g_hash_table_contains (daemon->fenced, members[i]->vm))
      suspects[suspect_count++] = (LsSuspect){ members[i]->vm, ranks[i] };
  ls_set_suspects (daemon->lease, suspects, suspect_count, now_us);
}

/* The flex share of the earlier incarnation is lost.  So the flex buckets are
   emptied before the new incarnation may use them, and slots are not used
   while requests of the earlier incarnation may still be running on them.  */
static void
apply_incarnation (DmDaemon *daemon, int64_t now_us)
{
  uint64_t incarnation = ls_incarnation (daemon->lease);

  if (incarnation == 0 || incarnation == daemon->incarnation)
    return;
  if (daemon->incarnation != 0)
    {
      qt_empty_flex_buckets (daemon->quotas, now_us);
      daemon->slots_quarantine_until_us
          = now_us + SL_REQUEST_MAX_US + SL_DEADLINE_MARGIN_US;
      dm_record_detail (daemon, EV_LEASE_FENCED,
                        "incarnation is now %" G_GUINT64_FORMAT, incarnation);
    }
  daemon->incarnation = incarnation;
  pr_set_incarnation (daemon->net, incarnation);
  dm_shares_apply (daemon, now_us);
}

static void
record_lease_state (DmDaemon *daemon, int64_t now_us)
{
  gboolean active = ls_active (daemon->lease, now_us);

  if (active == daemon->lease_was_active)
    return;
  daemon->lease_was_active = active;
  dm_record_detail (daemon, active ? EV_LEASE_ACTIVE : EV_LEASE_LAPSED,
                    "successor %s", ls_own_record (daemon->lease)->successor);
}

void
dm_lease_tick (DmDaemon *daemon, int64_t now_us)
{
  LsAction action;

  if (now_us >= daemon->candidates_due_us)
    {
      daemon->candidates_due_us = now_us + CANDIDATES_INTERVAL_US;
      set_candidates_and_suspects (daemon, now_us);
    }
  while (ls_poll (daemon->lease, now_us, &action))
    start_action (daemon, &action);
  apply_incarnation (daemon, now_us);
  record_lease_state (daemon, now_us);
  qt_set_validity (daemon->quotas, ls_active_until_us (daemon->lease),
                   ls_base_until_us (daemon->lease));
  sl_set_validity (daemon->slots, ls_active_until_us (daemon->lease),
                   ls_base_until_us (daemon->lease));
}

void
dm_receive_promise_request (DmDaemon *daemon, PrConnection *connection,
                            const Peer__Envelope *envelope)
{
  const Peer__PromiseRequest *request = envelope->promise_request;
  Peer__Envelope reply = PEER__ENVELOPE__INIT;
  Peer__PromiseReply body = PEER__PROMISE_REPLY__INIT;

  body.granted = ls_grant_promise (
      daemon->lease, request->holder_vm, request->holder_incarnation,
      request->holder_sequence, request->named_incarnation, ck_boot_us ());
  reply.body_case = PEER__ENVELOPE__BODY_PROMISE_REPLY;
  reply.promise_reply = &body;
  pr_reply (connection, envelope->id, &reply);
}
