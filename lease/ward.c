/* Leases of other daemons: promises to their holders, and fencing.  */

#include "lease/internal.h"

#include <string.h>

static gboolean
is_idle (void *key, void *value, void *data)
{
  const LsPeerState *peer = value;
  int64_t now_us = *(const int64_t *)data;

  (void)key;
  return !peer->suspect && !peer->reading && !peer->fencing
         && peer->fence_incarnation == 0
         && peer->promised_us < now_us - PEER_IDLE_US
         && peer->last_read_us < now_us - PEER_IDLE_US;
}

LsPeerState *
ls_get_peer (LsLease *lease, const char *vm, int64_t now_us)
{
  LsPeerState *peer = g_hash_table_lookup (lease->peers, vm);

  if (peer != NULL)
    return peer;
  if (g_hash_table_size (lease->peers) >= PEERS_PRUNE_COUNT)
    g_hash_table_foreach_remove (lease->peers, is_idle, &now_us);
  peer = g_new0 (LsPeerState, 1);
  g_strlcpy (peer->vm, vm, sizeof peer->vm);
  peer->index_seen_us = peer->last_read_us = peer->promised_us = LONG_AGO;
  peer->ended_us = LONG_AGO;
  peer->read_due_us = NEVER;
  g_hash_table_insert (lease->peers, peer->vm, peer);
  return peer;
}

static gboolean
is_after (uint64_t incarnation, uint64_t seq, uint64_t than_incarnation,
          uint64_t than_seq)
{
  return incarnation > than_incarnation
         || (incarnation == than_incarnation && seq > than_seq);
}

gboolean
ls_grant_promise (LsLease *lease, const char *holder_vm,
                  uint64_t holder_incarnation, uint64_t holder_seq,
                  uint64_t successor_incarnation, int64_t now_us)
{
  LsPeerState *peer;

  if (!ls_active (lease, now_us) || successor_incarnation != lease->incarnation
      || strcmp (holder_vm, lease->vm) == 0
      || strlen (holder_vm) >= LS_NAME_BYTES)
    return FALSE;
  peer = ls_get_peer (lease, holder_vm, now_us);
  if (!is_after (holder_incarnation, holder_seq, peer->fence_incarnation,
                 peer->fence_seq))
    return FALSE;
  if (peer->has_record
      && is_after (peer->record.incarnation, peer->record.seq,
                   holder_incarnation, holder_seq))
    return FALSE;
  if (peer->has_record && peer->record.state != LS_STATE_ACTIVE
      && !is_after (holder_incarnation, holder_seq, peer->record.incarnation,
                    peer->record.seq))
    return FALSE;
  peer->promised_us = now_us;
  if (!peer->has_record
      || is_after (holder_incarnation, holder_seq, peer->record.incarnation,
                   peer->record.seq))
    peer->read_due_us = MIN (peer->read_due_us, now_us);
  return TRUE;
}

/* Since when INCARNATION of VM is known to have ended, so that it gives no
   promises; NEVER if it may still give one.  */
static int64_t
ended_since_us (const LsLease *lease, const char *vm, uint64_t incarnation)
{
  const LsPeerState *peer;

  if (strcmp (vm, lease->vm) == 0)
    return incarnation < lease->incarnation ? lease->incarnation_us : NEVER;
  peer = g_hash_table_lookup (lease->peers, vm);
  if (peer == NULL || incarnation > peer->ended_incarnation)
    return NEVER;
  return peer->ended_us;
}

/* When the peer's record may first be fenced, or NEVER.  */
static int64_t
fence_from_us (const LsLease *lease, const LsPeerState *peer)
{
  const LsRecord *record = &peer->record;
  int64_t since_us = MAX (peer->index_seen_us, peer->promised_us);
  int64_t ended_us;

  if (!peer->has_record || record->state != LS_STATE_ACTIVE || peer->fencing)
    return NEVER;
  if (strcmp (record->successor, lease->vm) == 0
      && record->successor_incarnation == lease->incarnation)
    return MAX (since_us + lease->ttl_us + lease->margin_us,
                peer->fence_retry_us);
  if (!peer->suspect)
    return NEVER;
  if (record->successor[0] != '\0')
    {
      ended_us = ended_since_us (lease, record->successor,
                                 record->successor_incarnation);
      if (ended_us == NEVER)
        return NEVER;
      since_us = MAX (since_us, ended_us);
    }
  return MAX (since_us + lease->ttl_us + lease->margin_us,
              peer->fence_retry_us);
}

static void
clear_fence (LsPeerState *peer)
{
  peer->fence_incarnation = peer->fence_seq = 0;
  peer->fence_unresolved = FALSE;
}

static gboolean
start_peer_read (LsPeerState *peer, int64_t now_us, LsAction *action)
{
  peer->reading = TRUE;
  peer->read_due_us = NEVER;
  action->kind = LS_ACTION_READ;
  action->sent_us = now_us;
  g_strlcpy (action->vm, peer->vm, sizeof action->vm);
  return TRUE;
}

static gboolean
start_fence (LsLease *lease, LsPeerState *peer, int64_t now_us,
             LsAction *action)
{
  if (is_after (peer->record.incarnation, peer->record.seq,
                peer->fence_incarnation, peer->fence_seq))
    clear_fence (peer);
  peer->fencing = TRUE;
  peer->fence_incarnation = peer->record.incarnation;
  peer->fence_seq = peer->record.seq;
  action->kind = LS_ACTION_FENCE;
  action->sent_us = now_us;
  action->record = peer->record;
  action->record.state = LS_STATE_FENCED;
  action->expected_index = peer->index;
  ls_next_op_id (lease, action->record.op_id);
  g_strlcpy (action->vm, peer->vm, sizeof action->vm);
  return TRUE;
}

gboolean
ls_poll_peers (LsLease *lease, int64_t now_us, LsAction *action)
{
  GHashTableIter iter;
  void *value;

  if (!ls_active (lease, now_us))
    return FALSE;
  g_hash_table_iter_init (&iter, lease->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      LsPeerState *peer = value;

      if (peer->reading)
        continue;
      if (now_us >= peer->read_due_us)
        return start_peer_read (peer, now_us, action);
      if (now_us < fence_from_us (lease, peer))
        continue;
      /* A fence is sent only while the store replies, because after one with
         unknown outcome no more promises may be given for the record.  */
      if (peer->last_read_us < now_us - READ_FRESH_US)
        return start_peer_read (peer, now_us, action);
      return start_fence (lease, peer, now_us, action);
    }
  return FALSE;
}

int64_t
ls_next_peer_poll_us (const LsLease *lease)
{
  GHashTableIter iter;
  void *value;
  int64_t next_us = NEVER;

  g_hash_table_iter_init (&iter, lease->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const LsPeerState *peer = value;

      if (peer->reading)
        continue;
      next_us = MIN (next_us, peer->read_due_us);
      next_us = MIN (next_us, fence_from_us (lease, peer));
    }
  return next_us;
}

/* Schedules the next read of a suspect's record.  If the record is active and
   names another daemon as successor, this daemon may fence it only after that
   successor has ended.  So the successor's record is read as well.  */
static void
schedule_next_read (LsLease *lease, LsPeerState *peer, int64_t now_us)
{
  const LsRecord *record = &peer->record;

  if (!peer->suspect)
    return;
  if (!peer->has_record || record->state != LS_STATE_ACTIVE)
    {
      peer->read_due_us = now_us + ENDED_READ_INTERVAL_US * (peer->rank + 1);
      return;
    }
  peer->read_due_us = now_us + SUSPECT_READ_INTERVAL_US;
  if (record->successor[0] != '\0'
      && strcmp (record->successor, lease->vm) != 0
      && ended_since_us (lease, record->successor,
                         record->successor_incarnation)
             == NEVER)
    {
      LsPeerState *successor = ls_get_peer (lease, record->successor, now_us);

      successor->read_due_us = MIN (
          successor->read_due_us,
          MAX (now_us, successor->last_read_us + SUSPECT_READ_INTERVAL_US));
    }
}

void
ls_update_peer_record (LsLease *lease, LsPeerState *peer,
                       const LsRecord *record, uint64_t index, int64_t now_us)
{
  uint64_t last_ended = record->incarnation;

  peer->reading = FALSE;
  peer->last_read_us = now_us;
  if (!peer->has_record || index > peer->index)
    {
      peer->has_record = TRUE;
      peer->record = *record;
      peer->index = index;
      peer->index_seen_us = now_us;
      if (record->state == LS_STATE_ACTIVE && last_ended > 0)
        last_ended--;
      if (last_ended > peer->ended_incarnation)
        {
          peer->ended_incarnation = last_ended;
          peer->ended_us = now_us;
        }
      if (record->state == LS_STATE_ACTIVE
          && is_after (record->incarnation, record->seq,
                       peer->fence_incarnation, peer->fence_seq))
        clear_fence (peer);
    }
  schedule_next_read (lease, peer, now_us);
}

void
ls_peer_record_absent (LsPeerState *peer, int64_t now_us)
{
  peer->reading = FALSE;
  peer->last_read_us = now_us;
  peer->has_record = FALSE;
  peer->index = 0;
  if (peer->suspect)
    peer->read_due_us = now_us + ENDED_READ_INTERVAL_US * (peer->rank + 1);
}

void
ls_fence_done (LsLease *lease, const LsAction *action, LsCasOutcome outcome,
               uint64_t index, int64_t now_us)
{
  LsPeerState *peer = ls_get_peer (lease, action->vm, now_us);

  peer->fencing = FALSE;
  peer->fence_retry_us = now_us + STORE_RETRY_US;
  if (outcome == LS_CAS_APPLIED)
    {
      /* The update clears peer->reading, but a read may be pending.  */
      gboolean reading = peer->reading;

      ls_update_peer_record (lease, peer, &action->record, index, now_us);
      peer->reading = reading;
      return;
    }
  if (outcome == LS_CAS_UNKNOWN)
    peer->fence_unresolved = TRUE;
  if (outcome == LS_CAS_NOT_SENT && !peer->fence_unresolved)
    clear_fence (peer);
  peer->read_due_us = now_us;
}

void
ls_set_suspects (LsLease *lease, const LsSuspect *suspects, uint32_t count,
                 int64_t now_us)
{
  GHashTableIter iter;
  void *value;

  g_hash_table_iter_init (&iter, lease->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((LsPeerState *)value)->suspect_mark = FALSE;
  for (uint32_t i = 0; i < count; i++)
    {
      LsPeerState *peer;

      if (strcmp (suspects[i].vm, lease->vm) == 0)
        continue;
      peer = ls_get_peer (lease, suspects[i].vm, now_us);
      peer->suspect_mark = TRUE;
      peer->rank = suspects[i].rank;
      if (peer->suspect)
        continue;
      peer->suspect_since_us = now_us;
      peer->read_due_us = MIN (peer->read_due_us,
                               now_us + peer->rank * SUSPECT_READ_STAGGER_US);
    }
  g_hash_table_iter_init (&iter, lease->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((LsPeerState *)value)->suspect = ((LsPeerState *)value)->suspect_mark;
}

uint32_t
ls_ended_records (const LsLease *lease, const LsRecord **records, uint32_t max)
{
  GHashTableIter iter;
  void *value;
  uint32_t count = 0;

  g_hash_table_iter_init (&iter, lease->peers);
  while (count < max && g_hash_table_iter_next (&iter, NULL, &value))
    {
      const LsPeerState *peer = value;

      if (peer->has_record && peer->record.state != LS_STATE_ACTIVE)
        records[count++] = &peer->record;
    }
  return count;
}
