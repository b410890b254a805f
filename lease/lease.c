/* The lease of this daemon: its own record, renewed by promises of the
   successor or by writes to the store.  */

#include "lease/internal.h"

#include <string.h>

static int64_t
or_default (int64_t value, int64_t fallback)
{
  return value > 0 ? value : fallback;
}

LsLease *
ls_new (const LsOptions *options, int64_t now_us)
{
  LsLease *lease = g_new0 (LsLease, 1);

  g_assert (strlen (options->vm) < LS_NAME_BYTES);
  g_assert (options->incarnation > 0);
  g_strlcpy (lease->vm, options->vm, sizeof lease->vm);
  if (options->peer_address != NULL)
    g_strlcpy (lease->peer_address, options->peer_address,
               sizeof lease->peer_address);
  lease->start_incarnation = options->incarnation;
  lease->ttl_us = or_default (options->ttl_us, LS_TTL_US);
  lease->margin_us = or_default (options->margin_us, LS_MARGIN_US);
  lease->base_ttl_us = or_default (options->base_ttl_us, LS_BASE_TTL_US);
  lease->active_until_us = LONG_AGO;
  lease->base_until_us = LONG_AGO;
  lease->own_last_read_us = LONG_AGO;
  lease->own_retry_us = now_us;
  lease->promise_requested_us = LONG_AGO;
  lease->promise_valid_from_us = NEVER;
  lease->promise_valid_to_us = NEVER;
  lease->other_preferred_since_us = NEVER;
  lease->candidates = g_array_new (FALSE, TRUE, sizeof (LsCandidateState));
  lease->peers = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, g_free);
  return lease;
}

void
ls_free (LsLease *lease)
{
  if (lease == NULL)
    return;
  g_array_unref (lease->candidates);
  g_hash_table_unref (lease->peers);
  g_free (lease);
}

gboolean
ls_active (const LsLease *lease, int64_t now_us)
{
  return now_us < lease->active_until_us;
}

int64_t
ls_active_until_us (const LsLease *lease)
{
  return lease->active_until_us;
}

int64_t
ls_base_until_us (const LsLease *lease)
{
  return lease->base_until_us;
}

uint64_t
ls_incarnation (const LsLease *lease)
{
  return lease->incarnation;
}

const LsRecord *
ls_own_record (const LsLease *lease)
{
  return &lease->own_record;
}

gboolean
ls_released (const LsLease *lease)
{
  return lease->released;
}

void
ls_next_op_id (LsLease *lease, char op_id[LS_OP_ID_BYTES])
{
  g_snprintf (op_id, LS_OP_ID_BYTES,
              "%s-%" G_GUINT64_FORMAT "-%" G_GUINT64_FORMAT, lease->vm,
              lease->start_incarnation, ++lease->op_count);
}

static LsCandidateState *
find_candidate (LsLease *lease, const char *vm)
{
  for (guint i = 0; i < lease->candidates->len; i++)
    {
      LsCandidateState *candidate
          = &g_array_index (lease->candidates, LsCandidateState, i);

      if (strcmp (candidate->vm, vm) == 0)
        return candidate;
    }
  return NULL;
}

/* The first candidate that isn't in backoff, else the one whose failure is
   the oldest.  */
static const LsCandidateState *
choose_successor (const LsLease *lease, int64_t now_us)
{
  const LsCandidateState *best = NULL;

  for (guint i = 0; i < lease->candidates->len; i++)
    {
      const LsCandidateState *candidate
          = &g_array_index (lease->candidates, LsCandidateState, i);

      if (candidate->failed_us < now_us - CANDIDATE_BACKOFF_US)
        return candidate;
      if (best == NULL || candidate->failed_us < best->failed_us)
        best = candidate;
    }
  return best;
}

static gboolean
own_record_active (const LsLease *lease)
{
  return lease->incarnation != 0 && lease->own_index != 0
         && lease->own_record.state == LS_STATE_ACTIVE
         && lease->own_record.incarnation == lease->incarnation;
}

void
ls_set_candidates (LsLease *lease, const LsCandidate *candidates,
                   uint32_t count, int64_t now_us)
{
  GArray *states
      = g_array_sized_new (FALSE, TRUE, sizeof (LsCandidateState), count);
  const LsCandidateState *best;

  for (uint32_t i = 0; i < count; i++)
    {
      const LsCandidateState *previous
          = find_candidate (lease, candidates[i].vm);
      LsCandidateState state = { .incarnation = candidates[i].incarnation,
                                 .failed_us = LONG_AGO };

      if (strcmp (candidates[i].vm, lease->vm) == 0)
        continue;
      g_strlcpy (state.vm, candidates[i].vm, sizeof state.vm);
      if (previous != NULL && previous->incarnation == state.incarnation)
        state.failed_us = previous->failed_us;
      g_array_append_val (states, state);
    }
  g_array_unref (lease->candidates);
  lease->candidates = states;

  best = choose_successor (lease, now_us);
  if (best == NULL || !own_record_active (lease)
      || (strcmp (best->vm, lease->own_record.successor) == 0
          && best->incarnation == lease->own_record.successor_incarnation))
    lease->other_preferred_since_us = NEVER;
  else if (lease->other_preferred_since_us == NEVER)
    lease->other_preferred_since_us = now_us;
}

/* SENT_US is when the write or promise request was sent that renews the
   lease.  */
static void
extend_active (LsLease *lease, int64_t sent_us)
{
  if (lease->releasing || lease->superseded)
    return;
  lease->active_until_us
      = MAX (lease->active_until_us, sent_us + lease->ttl_us);
  lease->base_until_us = MAX (lease->base_until_us,
                              lease->active_until_us + lease->base_ttl_us);
}

static void
end_active (LsLease *lease, int64_t now_us)
{
  lease->active_until_us = MIN (lease->active_until_us, now_us);
}

static void
mark_successor_failed (LsLease *lease, int64_t now_us)
{
  LsCandidateState *candidate
      = find_candidate (lease, lease->own_record.successor);

  if (candidate != NULL)
    candidate->failed_us = now_us;
  lease->write_needed = TRUE;
}

/* The own record was fenced, released or deleted.  Ends ACTIVE until it is
   written again, with a higher incarnation unless it was deleted.  */
static void
own_record_lost (LsLease *lease, int64_t now_us)
{
  end_active (lease, now_us);
  lease->write_needed = TRUE;
  lease->promise_pending = FALSE;
  lease->promise_valid_from_us = NEVER;
}

/* The current own record was written by this process, which sent the write at
   SENT_US.  */
static void
apply_own_write (LsLease *lease, int64_t sent_us, int64_t now_us)
{
  const LsRecord *record = &lease->own_record;

  if (record->state == LS_STATE_RELEASED)
    {
      lease->released = TRUE;
      return;
    }
  if (record->incarnation != lease->incarnation)
    {
      lease->incarnation = record->incarnation;
      lease->incarnation_us = now_us;
    }
  extend_active (lease, sent_us);
  lease->promise_valid_from_us = now_us;
  lease->write_needed = FALSE;
  lease->promise_miss_count = 0;
  lease->promise_pending = FALSE;
  lease->promise_requested_us = LONG_AGO;
  lease->other_preferred_since_us = NEVER;
}

/* Whether this process sent the write with OP_ID.  SENT_US gets the time:
   LONG_AGO if the write is no longer in sent_writes, so that it doesn't renew
   the lease.  */
static gboolean
find_sent_write (const LsLease *lease, const char *op_id, int64_t *sent_us)
{
  g_autofree char *prefix = g_strdup_printf (
      "%s-%" G_GUINT64_FORMAT "-", lease->vm, lease->start_incarnation);

  for (gsize i = 0; i < SENT_WRITES_MAX; i++)
    if (lease->sent_writes[i].op_id[0] != '\0'
        && strcmp (lease->sent_writes[i].op_id, op_id) == 0)
      {
        *sent_us = lease->sent_writes[i].sent_us;
        return TRUE;
      }
  *sent_us = LONG_AGO;
  return g_str_has_prefix (op_id, prefix);
}

/* The own record has a new index: a write of this process took effect, or
   another process fenced, released or replaced it.  */
static void
own_record_changed (LsLease *lease, int64_t now_us)
{
  const LsRecord *record = &lease->own_record;
  int64_t sent_us;

  lease->promise_valid_to_us = NEVER;
  if (find_sent_write (lease, record->op_id, &sent_us))
    apply_own_write (lease, sent_us, now_us);
  else if (record->state != LS_STATE_ACTIVE)
    {
      lease->released = lease->releasing;
      own_record_lost (lease, now_us);
    }
  else if (lease->incarnation == 0)
    lease->write_needed = TRUE; /* written by an earlier process */
  else
    {
      end_active (lease, now_us);
      lease->superseded = TRUE;
      lease->released = lease->releasing;
    }
}

static void
update_own_record (LsLease *lease, const LsRecord *record, uint64_t index,
                   int64_t now_us)
{
  lease->reading = FALSE;
  lease->write_unresolved = FALSE;
  lease->own_read_done = TRUE;
  lease->own_last_read_us = now_us;
  lease->own_retry_us = now_us;
  if (index <= lease->own_index)
    return;
  lease->own_record = *record;
  lease->own_index = index;
  lease->own_index_seen_us = now_us;
  own_record_changed (lease, now_us);
}

void
ls_record_found (LsLease *lease, const LsRecord *record, uint64_t store_index,
                 int64_t now_us)
{
  if (strcmp (record->vm, lease->vm) == 0)
    update_own_record (lease, record, store_index, now_us);
  else
    ls_update_peer_record (lease, ls_get_peer (lease, record->vm, now_us),
                           record, store_index, now_us);
}

void
ls_record_absent (LsLease *lease, const char *vm, int64_t now_us)
{
  if (strcmp (vm, lease->vm) != 0)
    {
      ls_peer_record_absent (ls_get_peer (lease, vm, now_us), now_us);
      return;
    }
  lease->reading = FALSE;
  lease->write_unresolved = FALSE;
  lease->own_read_done = TRUE;
  lease->own_last_read_us = now_us;
  lease->own_retry_us = now_us;
  if (lease->own_index != 0)
    own_record_lost (lease, now_us);
  lease->own_index = 0;
  lease->write_needed = TRUE;
  if (lease->releasing)
    lease->released = TRUE;
}

void
ls_read_failed (LsLease *lease, const char *vm, int64_t now_us)
{
  LsPeerState *peer;

  if (strcmp (vm, lease->vm) == 0)
    {
      lease->reading = FALSE;
      lease->own_retry_us = now_us + STORE_RETRY_US;
      return;
    }
  peer = ls_get_peer (lease, vm, now_us);
  peer->reading = FALSE;
  peer->read_due_us = now_us + 2 * STORE_RETRY_US;
}

static void
own_write_done (LsLease *lease, const LsAction *action, LsCasOutcome outcome,
                uint64_t index, int64_t now_us)
{
  lease->writing = FALSE;
  lease->own_retry_us = now_us;
  if (outcome == LS_CAS_APPLIED)
    {
      if (index > lease->own_index)
        {
          lease->own_record = action->record;
          lease->own_index = index;
          lease->own_index_seen_us = now_us;
          own_record_changed (lease, now_us);
        }
      return;
    }
  lease->write_unresolved = TRUE;
  lease->own_last_read_us = LONG_AGO;
  if (outcome != LS_CAS_CONFLICT)
    lease->own_retry_us = now_us + STORE_RETRY_US / 5;
  /* promise_valid_to_us is when the first write was sent that names another
     successor and may still take effect.  It stays if that write was sent
     before this one.  */
  if (outcome == LS_CAS_NOT_SENT
      && lease->promise_valid_to_us == action->sent_us)
    lease->promise_valid_to_us = NEVER;
}

void
ls_cas_done (LsLease *lease, const LsAction *action, LsCasOutcome outcome,
             uint64_t store_index, int64_t now_us)
{
  if (action->kind == LS_ACTION_WRITE)
    own_write_done (lease, action, outcome, store_index, now_us);
  else if (action->kind == LS_ACTION_FENCE)
    ls_fence_done (lease, action, outcome, store_index, now_us);
}

void
ls_promise_received (LsLease *lease, const char *from_vm,
                     int64_t request_sent_us, int64_t now_us)
{
  if (!own_record_active (lease)
      || strcmp (from_vm, lease->own_record.successor) != 0
      || request_sent_us < lease->promise_valid_from_us
      || request_sent_us > lease->promise_valid_to_us
      || request_sent_us > now_us)
    return;
  if (request_sent_us == lease->promise_requested_us)
    lease->promise_pending = FALSE;
  lease->promise_miss_count = 0;
  lease->write_needed = FALSE;
  extend_active (lease, request_sent_us);
}

void
ls_promise_refused (LsLease *lease, const char *from_vm,
                    int64_t request_sent_us, int64_t now_us)
{
  if (!own_record_active (lease)
      || strcmp (from_vm, lease->own_record.successor) != 0
      || request_sent_us != lease->promise_requested_us
      || !lease->promise_pending)
    return;
  lease->promise_pending = FALSE;
  mark_successor_failed (lease, now_us);
}

void
ls_release (LsLease *lease, int64_t now_us)
{
  if (lease->releasing)
    return;
  end_active (lease, now_us);
  lease->base_until_us = MIN (lease->base_until_us, now_us);
  lease->releasing = TRUE;
  if (lease->incarnation == 0)
    lease->released = TRUE;
}

/* Whether this process may replace the record in the store.  An earlier
   process of this VM at another address may still run and hold the lease.  */
static gboolean
may_write (const LsLease *lease, int64_t now_us)
{
  const LsRecord *record = &lease->own_record;

  if (lease->own_index == 0 || record->state != LS_STATE_ACTIVE
      || lease->incarnation != 0
      || strcmp (record->peer_address, lease->peer_address) == 0)
    return TRUE;
  /* A lease without a successor is renewed by writes only, so it has expired
     if the record's index stays the same for ttl_us + margin_us.  */
  return record->successor[0] == '\0'
         && now_us
                >= lease->own_index_seen_us + lease->ttl_us + lease->margin_us;
}

static void
fill_own_record (LsLease *lease, LsRecord *record, int64_t now_us)
{
  const LsCandidateState *successor = choose_successor (lease, now_us);
  uint64_t incarnation = lease->incarnation;

  if (lease->own_index != 0
      && (incarnation == 0 || lease->own_record.state != LS_STATE_ACTIVE))
    incarnation = MAX (incarnation, lease->own_record.incarnation) + 1;
  memset (record, 0, sizeof *record);
  g_strlcpy (record->vm, lease->vm, sizeof record->vm);
  g_strlcpy (record->peer_address, lease->peer_address,
             sizeof record->peer_address);
  record->incarnation = MAX (incarnation, lease->start_incarnation);
  record->seq = lease->own_record.seq + 1;
  record->state = lease->releasing ? LS_STATE_RELEASED : LS_STATE_ACTIVE;
  if (successor != NULL && !lease->releasing)
    {
      g_strlcpy (record->successor, successor->vm, sizeof record->successor);
      record->successor_incarnation = successor->incarnation;
    }
  ls_next_op_id (lease, record->op_id);
}

static gboolean
start_own_write (LsLease *lease, int64_t now_us, LsAction *action)
{
  LsSentWrite *write = &lease->sent_writes[lease->op_count % SENT_WRITES_MAX];

  action->kind = LS_ACTION_WRITE;
  action->sent_us = now_us;
  action->expected_index = lease->own_index;
  g_strlcpy (action->vm, lease->vm, sizeof action->vm);
  fill_own_record (lease, &action->record, now_us);
  g_strlcpy (write->op_id, action->record.op_id, sizeof write->op_id);
  write->sent_us = now_us;
  if (lease->promise_valid_to_us == NEVER
      && (strcmp (action->record.successor, lease->own_record.successor) != 0
          || action->record.successor_incarnation
                 != lease->own_record.successor_incarnation))
    lease->promise_valid_to_us = now_us;
  lease->writing = TRUE;
  return TRUE;
}

static gboolean
start_own_read (LsLease *lease, int64_t now_us, LsAction *action)
{
  lease->reading = TRUE;
  action->kind = LS_ACTION_READ;
  action->sent_us = now_us;
  g_strlcpy (action->vm, lease->vm, sizeof action->vm);
  return TRUE;
}

/* Without a successor, the lease is renewed by writes only, each a third of
   ttl_us after the last.  With one, a write is needed at the latest when a
   sixth of ttl_us is left.  */
static gboolean
needs_write (const LsLease *lease, int64_t now_us)
{
  if (lease->releasing || lease->write_needed || !own_record_active (lease))
    return TRUE;
  if (now_us >= lease->active_until_us - lease->ttl_us / 6)
    return TRUE;
  if (lease->own_record.successor[0] == '\0')
    return lease->candidates->len > 0
           || now_us >= lease->active_until_us - 2 * lease->ttl_us / 3;
  return lease->other_preferred_since_us != NEVER
         && now_us
                >= lease->other_preferred_since_us + SUCCESSOR_CHANGE_DELAY_US;
}

static gboolean
poll_own_record (LsLease *lease, int64_t now_us, LsAction *action)
{
  if (lease->reading || lease->writing || now_us < lease->own_retry_us)
    return FALSE;
  if (!lease->own_read_done || lease->write_unresolved)
    return start_own_read (lease, now_us, action);
  if (!needs_write (lease, now_us))
    return FALSE;
  if (lease->own_last_read_us < now_us - READ_FRESH_US)
    return start_own_read (lease, now_us, action);
  if (may_write (lease, now_us))
    return start_own_write (lease, now_us, action);
  lease->own_retry_us = now_us + STORE_RETRY_US;
  return FALSE;
}

static int64_t
promise_due_us (const LsLease *lease)
{
  if (!own_record_active (lease) || lease->own_record.successor[0] == '\0')
    return NEVER;
  if (lease->promise_pending || lease->promise_miss_count > 0)
    return lease->promise_requested_us + PROMISE_TIMEOUT_US;
  return lease->promise_requested_us + PROMISE_INTERVAL_US;
}

static gboolean
poll_promise (LsLease *lease, int64_t now_us, LsAction *action)
{
  if (now_us < promise_due_us (lease))
    return FALSE;
  if (lease->promise_pending
      && ++lease->promise_miss_count >= PROMISE_MISSES_MAX)
    mark_successor_failed (lease, now_us);
  lease->promise_pending = TRUE;
  lease->promise_requested_us = now_us;
  action->kind = LS_ACTION_REQUEST_PROMISE;
  action->sent_us = now_us;
  action->record = lease->own_record;
  g_strlcpy (action->vm, lease->own_record.successor, sizeof action->vm);
  return TRUE;
}

gboolean
ls_poll (LsLease *lease, int64_t now_us, LsAction *action)
{
  memset (action, 0, sizeof *action);
  if (lease->released || lease->superseded)
    return FALSE;
  if (!lease->releasing && poll_promise (lease, now_us, action))
    return TRUE;
  if (poll_own_record (lease, now_us, action))
    return TRUE;
  return ls_poll_peers (lease, now_us, action);
}

int64_t
ls_next_poll_us (const LsLease *lease, int64_t now_us)
{
  int64_t next_us = lease->releasing ? NEVER : promise_due_us (lease);

  if (lease->released || lease->superseded)
    return NEVER;
  if (!lease->reading && !lease->writing)
    {
      int64_t due_us = lease->active_until_us - lease->ttl_us / 6;

      if (!lease->own_read_done || lease->write_unresolved
          || needs_write (lease, now_us))
        due_us = now_us;
      else if (lease->own_record.successor[0] == '\0')
        due_us = lease->active_until_us - 2 * lease->ttl_us / 3;
      if (lease->other_preferred_since_us != NEVER)
        due_us = MIN (due_us, lease->other_preferred_since_us
                                  + SUCCESSOR_CHANGE_DELAY_US);
      next_us = MIN (next_us, MAX (due_us, lease->own_retry_us));
    }
  if (ls_active (lease, now_us))
    next_us = MIN (next_us, ls_next_peer_poll_us (lease));
  return MAX (next_us, now_us);
}
