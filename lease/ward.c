/* Records of other daemons: promises to them and fencing.  */

#include "lease/internal.h"

#include <string.h>

static gboolean
is_idle (void *key, void *value, void *data)
{
  const LsWard *ward = value;
  int64_t now_us = *(const int64_t *)data;

  (void)key;
  return !ward->suspect && !ward->reading && !ward->fencing
         && ward->refused_incarnation == 0
         && ward->promised_us < now_us - WARD_IDLE_US
         && ward->confirmed_us < now_us - WARD_IDLE_US;
}

LsWard *
ls_ward (LsLease *lease, const char *vm, int64_t now_us)
{
  LsWard *ward = g_hash_table_lookup (lease->wards, vm);

  if (ward != NULL)
    return ward;
  if (g_hash_table_size (lease->wards) >= WARDS_MAX)
    g_hash_table_foreach_remove (lease->wards, is_idle, &now_us);
  ward = g_new0 (LsWard, 1);
  g_strlcpy (ward->vm, vm, sizeof ward->vm);
  ward->seen_us = ward->confirmed_us = ward->promised_us = LONG_AGO;
  ward->gone_us = LONG_AGO;
  ward->read_due_us = NEVER;
  g_hash_table_insert (lease->wards, ward->vm, ward);
  return ward;
}

static gboolean
is_after (uint64_t incarnation, uint64_t seq, uint64_t than_incarnation,
          uint64_t than_seq)
{
  return incarnation > than_incarnation
         || (incarnation == than_incarnation && seq > than_seq);
}

gboolean
ls_answer_promise (LsLease *lease, const char *holder_vm,
                   uint64_t holder_incarnation, uint64_t holder_seq,
                   uint64_t named_incarnation, int64_t now_us)
{
  LsWard *ward;

  if (!ls_active (lease, now_us) || named_incarnation != lease->incarnation
      || strcmp (holder_vm, lease->vm) == 0
      || strlen (holder_vm) >= LS_NAME_BYTES)
    return FALSE;
  ward = ls_ward (lease, holder_vm, now_us);
  if (!is_after (holder_incarnation, holder_seq, ward->refused_incarnation,
                 ward->refused_seq))
    return FALSE;
  if (ward->known
      && is_after (ward->record.incarnation, ward->record.seq,
                   holder_incarnation, holder_seq))
    return FALSE;
  if (ward->known && ward->record.state != LS_STATE_ACTIVE
      && !is_after (holder_incarnation, holder_seq, ward->record.incarnation,
                    ward->record.seq))
    return FALSE;
  ward->promised_us = now_us;
  if (!ward->known
      || is_after (holder_incarnation, holder_seq, ward->record.incarnation,
                   ward->record.seq))
    ward->read_due_us = MIN (ward->read_due_us, now_us);
  return TRUE;
}

/* Since when the incarnation gives no promise, or NEVER.  */
static int64_t
gone_since (const LsLease *lease, const char *vm, uint64_t incarnation)
{
  const LsWard *ward;

  if (strcmp (vm, lease->vm) == 0)
    return incarnation < lease->incarnation ? lease->incarnation_us : NEVER;
  ward = g_hash_table_lookup (lease->wards, vm);
  if (ward == NULL || incarnation > ward->gone_incarnation)
    return NEVER;
  return ward->gone_us;
}

/* From when on the record may be fenced, or NEVER.  */
static int64_t
fence_from (const LsLease *lease, const LsWard *ward)
{
  const LsRecord *record = &ward->record;
  int64_t since = MAX (ward->seen_us, ward->promised_us);
  int64_t gone_us;

  if (!ward->known || record->state != LS_STATE_ACTIVE || ward->fencing)
    return NEVER;
  if (strcmp (record->successor, lease->vm) == 0
      && record->successor_incarnation == lease->incarnation)
    return MAX (since + lease->ttl_us + lease->margin_us, ward->fence_due_us);
  if (!ward->suspect)
    return NEVER;
  if (record->successor[0] != '\0')
    {
      gone_us = gone_since (lease, record->successor,
                            record->successor_incarnation);
      if (gone_us == NEVER)
        return NEVER;
      since = MAX (since, gone_us);
    }
  return MAX (since + lease->ttl_us + lease->margin_us, ward->fence_due_us);
}

static void
clear_refused (LsWard *ward)
{
  ward->refused_incarnation = ward->refused_seq = 0;
  ward->refused_for_good = FALSE;
}

static gboolean
start_read (LsWard *ward, int64_t now_us, LsAction *action)
{
  ward->reading = TRUE;
  ward->read_due_us = NEVER;
  action->kind = LS_ACTION_READ;
  action->sent_us = now_us;
  g_strlcpy (action->vm, ward->vm, sizeof action->vm);
  return TRUE;
}

static gboolean
start_fence (LsLease *lease, LsWard *ward, int64_t now_us, LsAction *action)
{
  if (is_after (ward->record.incarnation, ward->record.seq,
                ward->refused_incarnation, ward->refused_seq))
    clear_refused (ward);
  ward->fencing = TRUE;
  ward->refused_incarnation = ward->record.incarnation;
  ward->refused_seq = ward->record.seq;
  action->kind = LS_ACTION_FENCE;
  action->sent_us = now_us;
  action->record = ward->record;
  action->record.state = LS_STATE_FENCED;
  action->expected_index = ward->index;
  ls_next_op_id (lease, action->record.op_id);
  g_strlcpy (action->vm, ward->vm, sizeof action->vm);
  return TRUE;
}

gboolean
ls_poll_wards (LsLease *lease, int64_t now_us, LsAction *action)
{
  GHashTableIter iter;
  void *value;

  if (!ls_active (lease, now_us))
    return FALSE;
  g_hash_table_iter_init (&iter, lease->wards);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      LsWard *ward = value;

      if (ward->reading)
        continue;
      if (now_us >= ward->read_due_us)
        return start_read (ward, now_us, action);
      if (now_us < fence_from (lease, ward))
        continue;
      /* Only a store that answers gets the CAS: one with an unknown outcome
         would forbid further promises for the record.  */
      if (ward->confirmed_us < now_us - CONFIRM_US)
        return start_read (ward, now_us, action);
      return start_fence (lease, ward, now_us, action);
    }
  return FALSE;
}

int64_t
ls_next_ward_us (const LsLease *lease)
{
  GHashTableIter iter;
  void *value;
  int64_t next_us = NEVER;

  g_hash_table_iter_init (&iter, lease->wards);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const LsWard *ward = value;

      if (ward->reading)
        continue;
      next_us = MIN (next_us, ward->read_due_us);
      next_us = MIN (next_us, fence_from (lease, ward));
    }
  return next_us;
}

/* A suspect is read again while its record is active, since another daemon
   may have to fence it first; the record of its successor as well.  */
static void
plan_next_read (LsLease *lease, LsWard *ward, int64_t now_us)
{
  const LsRecord *record = &ward->record;

  if (!ward->suspect)
    return;
  if (!ward->known || record->state != LS_STATE_ACTIVE)
    {
      ward->read_due_us = now_us + ENDED_READ_US * (ward->rank + 1);
      return;
    }
  ward->read_due_us = now_us + SUSPECT_READ_US;
  if (record->successor[0] != '\0'
      && strcmp (record->successor, lease->vm) != 0
      && gone_since (lease, record->successor, record->successor_incarnation)
             == NEVER)
    {
      LsWard *successor = ls_ward (lease, record->successor, now_us);

      successor->read_due_us
          = MIN (successor->read_due_us,
                 MAX (now_us, successor->confirmed_us + SUSPECT_READ_US));
    }
}

void
ls_ward_seen (LsLease *lease, LsWard *ward, const LsRecord *record,
              uint64_t index, int64_t now_us)
{
  uint64_t gone = record->incarnation;

  ward->reading = FALSE;
  ward->confirmed_us = now_us;
  if (!ward->known || index > ward->index)
    {
      ward->known = TRUE;
      ward->record = *record;
      ward->index = index;
      ward->seen_us = now_us;
      if (record->state == LS_STATE_ACTIVE && gone > 0)
        gone--;
      if (gone > ward->gone_incarnation)
        {
          ward->gone_incarnation = gone;
          ward->gone_us = now_us;
        }
      if (record->state == LS_STATE_ACTIVE
          && is_after (record->incarnation, record->seq,
                       ward->refused_incarnation, ward->refused_seq))
        clear_refused (ward);
    }
  plan_next_read (lease, ward, now_us);
}

void
ls_ward_absent (LsWard *ward, int64_t now_us)
{
  ward->reading = FALSE;
  ward->confirmed_us = now_us;
  ward->known = FALSE;
  ward->index = 0;
  if (ward->suspect)
    ward->read_due_us = now_us + ENDED_READ_US * (ward->rank + 1);
}

void
ls_fence_done (LsLease *lease, const LsAction *action, LsCasOutcome outcome,
               uint64_t index, int64_t now_us)
{
  LsWard *ward = ls_ward (lease, action->vm, now_us);

  ward->fencing = FALSE;
  ward->fence_due_us = now_us + RETRY_US;
  if (outcome == LS_CAS_WON)
    {
      gboolean reading = ward->reading;

      ls_ward_seen (lease, ward, &action->record, index, now_us);
      ward->reading = reading;
      return;
    }
  if (outcome == LS_CAS_UNKNOWN)
    ward->refused_for_good = TRUE;
  if (outcome == LS_CAS_NOT_SENT && !ward->refused_for_good)
    clear_refused (ward);
  ward->read_due_us = now_us;
}

void
ls_set_suspects (LsLease *lease, const LsSuspect *suspects, uint32_t count,
                 int64_t now_us)
{
  GHashTableIter iter;
  void *value;

  g_hash_table_iter_init (&iter, lease->wards);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((LsWard *)value)->suspect_mark = FALSE;
  for (uint32_t i = 0; i < count; i++)
    {
      LsWard *ward;

      if (strcmp (suspects[i].vm, lease->vm) == 0)
        continue;
      ward = ls_ward (lease, suspects[i].vm, now_us);
      ward->suspect_mark = TRUE;
      ward->rank = suspects[i].rank;
      if (ward->suspect)
        continue;
      ward->suspect_since_us = now_us;
      ward->read_due_us
          = MIN (ward->read_due_us, now_us + ward->rank * SUSPECT_RANK_US);
    }
  g_hash_table_iter_init (&iter, lease->wards);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((LsWard *)value)->suspect = ((LsWard *)value)->suspect_mark;
}

uint32_t
ls_ended (const LsLease *lease, const LsRecord **records, uint32_t max)
{
  GHashTableIter iter;
  void *value;
  uint32_t count = 0;

  g_hash_table_iter_init (&iter, lease->wards);
  while (count < max && g_hash_table_iter_next (&iter, NULL, &value))
    {
      const LsWard *ward = value;

      if (ward->known && ward->record.state != LS_STATE_ACTIVE)
        records[count++] = &ward->record;
    }
  return count;
}
