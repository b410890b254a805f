/* The holder's side: the daemon's own record, promises and renewals.  */

#include "lease/internal.h"

#include <string.h>

static int64_t
or_default (int64_t value, int64_t otherwise)
{
  return value > 0 ? value : otherwise;
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
  lease->own_confirmed_us = LONG_AGO;
  lease->own_retry_us = now_us;
  lease->asked_us = LONG_AGO;
  lease->countable_from_us = NEVER;
  lease->countable_to_us = NEVER;
  lease->unpreferred_since_us = NEVER;
  lease->candidates = g_array_new (FALSE, TRUE, sizeof (LsCandidate));
  lease->wards = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, g_free);
  return lease;
}

void
ls_free (LsLease *lease)
{
  if (lease == NULL)
    return;
  g_array_unref (lease->candidates);
  g_hash_table_unref (lease->wards);
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
ls_record (const LsLease *lease)
{
  return &lease->own;
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

static LsCandidate *
find_candidate (LsLease *lease, const char *vm)
{
  for (guint i = 0; i < lease->candidates->len; i++)
    {
      LsCandidate *candidate
          = &g_array_index (lease->candidates, LsCandidate, i);

      if (strcmp (candidate->vm, vm) == 0)
        return candidate;
    }
  return NULL;
}

/* The first candidate that didn't fail lately, else the one whose failure is
   oldest.  */
static const LsCandidate *
choose_successor (const LsLease *lease, int64_t now_us)
{
  const LsCandidate *best = NULL;

  for (guint i = 0; i < lease->candidates->len; i++)
    {
      const LsCandidate *candidate
          = &g_array_index (lease->candidates, LsCandidate, i);

      if (candidate->failed_us < now_us - AVOID_US)
        return candidate;
      if (best == NULL || candidate->failed_us < best->failed_us)
        best = candidate;
    }
  return best;
}

static gboolean
has_own_record (const LsLease *lease)
{
  return lease->incarnation != 0 && lease->own_index != 0
         && lease->own.state == LS_STATE_ACTIVE
         && lease->own.incarnation == lease->incarnation;
}

void
ls_set_peers (LsLease *lease, const LsPeer *peers, uint32_t count,
              int64_t now_us)
{
  GArray *candidates
      = g_array_sized_new (FALSE, TRUE, sizeof (LsCandidate), count);
  const LsCandidate *best;

  for (uint32_t i = 0; i < count; i++)
    {
      const LsCandidate *former = find_candidate (lease, peers[i].vm);
      LsCandidate candidate
          = { .incarnation = peers[i].incarnation, .failed_us = LONG_AGO };

      if (strcmp (peers[i].vm, lease->vm) == 0)
        continue;
      g_strlcpy (candidate.vm, peers[i].vm, sizeof candidate.vm);
      if (former != NULL && former->incarnation == candidate.incarnation)
        candidate.failed_us = former->failed_us;
      g_array_append_val (candidates, candidate);
    }
  g_array_unref (lease->candidates);
  lease->candidates = candidates;

  best = choose_successor (lease, now_us);
  if (best == NULL || !has_own_record (lease)
      || (strcmp (best->vm, lease->own.successor) == 0
          && best->incarnation == lease->own.successor_incarnation))
    lease->unpreferred_since_us = NEVER;
  else if (lease->unpreferred_since_us == NEVER)
    lease->unpreferred_since_us = now_us;
}

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
successor_failed (LsLease *lease, int64_t now_us)
{
  LsCandidate *candidate = find_candidate (lease, lease->own.successor);

  if (candidate != NULL)
    candidate->failed_us = now_us;
  lease->renew = TRUE;
}

/* Another incarnation is to be written, above every one on record.  */
static void
drop_incarnation (LsLease *lease, int64_t now_us)
{
  end_active (lease, now_us);
  lease->renew = TRUE;
  lease->ask_open = FALSE;
  lease->countable_from_us = NEVER;
}

/* RECORD is the current one and was written by this process.  */
static void
adopt_own_write (LsLease *lease, int64_t sent_us, int64_t now_us)
{
  const LsRecord *record = &lease->own;

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
  lease->countable_from_us = now_us;
  lease->renew = FALSE;
  lease->miss_count = 0;
  lease->ask_open = FALSE;
  lease->asked_us = LONG_AGO;
  lease->unpreferred_since_us = NEVER;
}

/* When this process sent the write with OP_ID; LONG_AGO for one that was
   pushed out of the list, so that it renews nothing.  */
static gboolean
find_write (const LsLease *lease, const char *op_id, int64_t *sent_us)
{
  g_autofree char *own = g_strdup_printf ("%s-%" G_GUINT64_FORMAT "-",
                                          lease->vm, lease->start_incarnation);

  for (gsize i = 0; i < WRITES_KEPT; i++)
    if (lease->writes[i].op_id[0] != '\0'
        && strcmp (lease->writes[i].op_id, op_id) == 0)
      {
        *sent_us = lease->writes[i].sent_us;
        return TRUE;
      }
  *sent_us = LONG_AGO;
  return g_str_has_prefix (op_id, own);
}

/* The record on the store is not this process's last known one.  */
static void
own_record_changed (LsLease *lease, int64_t now_us)
{
  const LsRecord *record = &lease->own;
  int64_t sent_us;

  lease->countable_to_us = NEVER;
  if (find_write (lease, record->op_id, &sent_us))
    adopt_own_write (lease, sent_us, now_us);
  else if (record->state != LS_STATE_ACTIVE)
    {
      lease->released = lease->releasing;
      drop_incarnation (lease, now_us);
    }
  else if (lease->incarnation == 0)
    lease->renew = TRUE; /* of a former process */
  else
    {
      end_active (lease, now_us);
      lease->superseded = TRUE;
      lease->released = lease->releasing;
    }
}

static void
own_record_seen (LsLease *lease, const LsRecord *record, uint64_t index,
                 int64_t now_us)
{
  lease->reading = FALSE;
  lease->unresolved = FALSE;
  lease->read_once = TRUE;
  lease->own_confirmed_us = now_us;
  lease->own_retry_us = now_us;
  if (index <= lease->own_index)
    return;
  lease->own = *record;
  lease->own_index = index;
  lease->own_seen_us = now_us;
  own_record_changed (lease, now_us);
}

void
ls_record_seen (LsLease *lease, const LsRecord *record, uint64_t store_index,
                int64_t now_us)
{
  if (strcmp (record->vm, lease->vm) == 0)
    own_record_seen (lease, record, store_index, now_us);
  else
    ls_ward_seen (lease, ls_ward (lease, record->vm, now_us), record,
                  store_index, now_us);
}

void
ls_record_absent (LsLease *lease, const char *vm, int64_t now_us)
{
  if (strcmp (vm, lease->vm) != 0)
    {
      ls_ward_absent (ls_ward (lease, vm, now_us), now_us);
      return;
    }
  lease->reading = FALSE;
  lease->unresolved = FALSE;
  lease->read_once = TRUE;
  lease->own_confirmed_us = now_us;
  lease->own_retry_us = now_us;
  if (lease->own_index != 0)
    drop_incarnation (lease, now_us);
  lease->own_index = 0;
  lease->renew = TRUE;
  if (lease->releasing)
    lease->released = TRUE;
}

void
ls_read_failed (LsLease *lease, const char *vm, int64_t now_us)
{
  LsWard *ward;

  if (strcmp (vm, lease->vm) == 0)
    {
      lease->reading = FALSE;
      lease->own_retry_us = now_us + RETRY_US;
      return;
    }
  ward = ls_ward (lease, vm, now_us);
  ward->reading = FALSE;
  ward->read_due_us = now_us + 2 * RETRY_US;
}

static void
write_done (LsLease *lease, const LsAction *action, LsCasOutcome outcome,
            uint64_t index, int64_t now_us)
{
  lease->writing = FALSE;
  lease->own_retry_us = now_us;
  if (outcome == LS_CAS_WON)
    {
      if (index > lease->own_index)
        {
          lease->own = action->record;
          lease->own_index = index;
          lease->own_seen_us = now_us;
          own_record_changed (lease, now_us);
        }
      return;
    }
  lease->unresolved = TRUE;
  lease->own_confirmed_us = LONG_AGO;
  if (outcome != LS_CAS_LOST)
    lease->own_retry_us = now_us + RETRY_US / 5;
  /* Nothing else may be under way: countable_to_us tells of the first write
     that may still land.  */
  if (outcome == LS_CAS_NOT_SENT && lease->countable_to_us == action->sent_us)
    lease->countable_to_us = NEVER;
}

void
ls_cas_done (LsLease *lease, const LsAction *action, LsCasOutcome outcome,
             uint64_t store_index, int64_t now_us)
{
  if (action->kind == LS_ACTION_WRITE)
    write_done (lease, action, outcome, store_index, now_us);
  else if (action->kind == LS_ACTION_FENCE)
    ls_fence_done (lease, action, outcome, store_index, now_us);
}

void
ls_promised (LsLease *lease, const char *from_vm, int64_t request_sent_us,
             int64_t now_us)
{
  if (!has_own_record (lease) || strcmp (from_vm, lease->own.successor) != 0
      || request_sent_us < lease->countable_from_us
      || request_sent_us > lease->countable_to_us || request_sent_us > now_us)
    return;
  if (request_sent_us == lease->asked_us)
    lease->ask_open = FALSE;
  lease->miss_count = 0;
  lease->renew = FALSE;
  extend_active (lease, request_sent_us);
}

void
ls_refused (LsLease *lease, const char *from_vm, int64_t request_sent_us,
            int64_t now_us)
{
  if (!has_own_record (lease) || strcmp (from_vm, lease->own.successor) != 0
      || request_sent_us != lease->asked_us || !lease->ask_open)
    return;
  lease->ask_open = FALSE;
  successor_failed (lease, now_us);
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

/* Whether the record on the store may be replaced by this process.  */
static gboolean
may_write (const LsLease *lease, int64_t now_us)
{
  const LsRecord *record = &lease->own;

  if (lease->own_index == 0 || record->state != LS_STATE_ACTIVE
      || lease->incarnation != 0
      || strcmp (record->peer_address, lease->peer_address) == 0)
    return TRUE;
  /* A record without successor is renewed in the store only.  */
  return record->successor[0] == '\0'
         && now_us >= lease->own_seen_us + lease->ttl_us + lease->margin_us;
}

static void
fill_record (LsLease *lease, LsRecord *record, int64_t now_us)
{
  const LsCandidate *successor = choose_successor (lease, now_us);
  uint64_t incarnation = lease->incarnation;

  if (lease->own_index != 0
      && (incarnation == 0 || lease->own.state != LS_STATE_ACTIVE))
    incarnation = MAX (incarnation, lease->own.incarnation) + 1;
  memset (record, 0, sizeof *record);
  g_strlcpy (record->vm, lease->vm, sizeof record->vm);
  g_strlcpy (record->peer_address, lease->peer_address,
             sizeof record->peer_address);
  record->incarnation = MAX (incarnation, lease->start_incarnation);
  record->seq = lease->own.seq + 1;
  record->state = lease->releasing ? LS_STATE_RELEASED : LS_STATE_ACTIVE;
  if (successor != NULL && !lease->releasing)
    {
      g_strlcpy (record->successor, successor->vm, sizeof record->successor);
      record->successor_incarnation = successor->incarnation;
    }
  ls_next_op_id (lease, record->op_id);
}

static gboolean
start_write (LsLease *lease, int64_t now_us, LsAction *action)
{
  LsWrite *write = &lease->writes[lease->op_count % WRITES_KEPT];

  action->kind = LS_ACTION_WRITE;
  action->sent_us = now_us;
  action->expected_index = lease->own_index;
  g_strlcpy (action->vm, lease->vm, sizeof action->vm);
  fill_record (lease, &action->record, now_us);
  g_strlcpy (write->op_id, action->record.op_id, sizeof write->op_id);
  write->sent_us = now_us;
  if (lease->countable_to_us == NEVER
      && (strcmp (action->record.successor, lease->own.successor) != 0
          || action->record.successor_incarnation
                 != lease->own.successor_incarnation))
    lease->countable_to_us = now_us;
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

/* A daemon without a successor renews in the store.  */
static gboolean
needs_write (const LsLease *lease, int64_t now_us)
{
  if (lease->releasing || lease->renew || !has_own_record (lease))
    return TRUE;
  if (now_us >= lease->active_until_us - lease->ttl_us / 6)
    return TRUE;
  if (lease->own.successor[0] == '\0')
    return lease->candidates->len > 0
           || now_us >= lease->active_until_us - 2 * lease->ttl_us / 3;
  return lease->unpreferred_since_us != NEVER
         && now_us >= lease->unpreferred_since_us + PREFER_US;
}

static gboolean
poll_own_record (LsLease *lease, int64_t now_us, LsAction *action)
{
  if (lease->reading || lease->writing || now_us < lease->own_retry_us)
    return FALSE;
  if (!lease->read_once || lease->unresolved)
    return start_own_read (lease, now_us, action);
  if (!needs_write (lease, now_us))
    return FALSE;
  if (lease->own_confirmed_us < now_us - CONFIRM_US)
    return start_own_read (lease, now_us, action);
  if (may_write (lease, now_us))
    return start_write (lease, now_us, action);
  lease->own_retry_us = now_us + RETRY_US;
  return FALSE;
}

static int64_t
ask_due_us (const LsLease *lease)
{
  if (!has_own_record (lease) || lease->own.successor[0] == '\0')
    return NEVER;
  if (lease->ask_open || lease->miss_count > 0)
    return lease->asked_us + ASK_TIMEOUT_US;
  return lease->asked_us + ASK_INTERVAL_US;
}

static gboolean
poll_ask (LsLease *lease, int64_t now_us, LsAction *action)
{
  if (now_us < ask_due_us (lease))
    return FALSE;
  if (lease->ask_open && ++lease->miss_count >= MISSES_MAX)
    successor_failed (lease, now_us);
  lease->ask_open = TRUE;
  lease->asked_us = now_us;
  action->kind = LS_ACTION_ASK;
  action->sent_us = now_us;
  action->record = lease->own;
  g_strlcpy (action->vm, lease->own.successor, sizeof action->vm);
  return TRUE;
}

gboolean
ls_poll (LsLease *lease, int64_t now_us, LsAction *action)
{
  memset (action, 0, sizeof *action);
  if (lease->released || lease->superseded)
    return FALSE;
  if (!lease->releasing && poll_ask (lease, now_us, action))
    return TRUE;
  if (poll_own_record (lease, now_us, action))
    return TRUE;
  return ls_poll_wards (lease, now_us, action);
}

int64_t
ls_next_us (const LsLease *lease, int64_t now_us)
{
  int64_t next_us = lease->releasing ? NEVER : ask_due_us (lease);

  if (lease->released || lease->superseded)
    return NEVER;
  if (!lease->reading && !lease->writing)
    {
      int64_t due_us = lease->active_until_us - lease->ttl_us / 6;

      if (!lease->read_once || lease->unresolved
          || needs_write (lease, now_us))
        due_us = now_us;
      else if (lease->own.successor[0] == '\0')
        due_us = lease->active_until_us - 2 * lease->ttl_us / 3;
      if (lease->unpreferred_since_us != NEVER)
        due_us = MIN (due_us, lease->unpreferred_since_us + PREFER_US);
      next_us = MIN (next_us, MAX (due_us, lease->own_retry_us));
    }
  if (ls_active (lease, now_us))
    next_us = MIN (next_us, ls_next_ward_us (lease));
  return MAX (next_us, now_us);
}
