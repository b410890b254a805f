/* Permits and grants.  */

#include "slot/slot.h"

#include <string.h>

#include "slot/table.h"

static SlBorrower *
find_borrower (const SlTarget *target, const char *vm)
{
  for (guint i = 0; i < target->borrowers->len; i++)
    {
      SlBorrower *borrower = &g_array_index (target->borrowers, SlBorrower, i);

      if (strcmp (borrower->vm, vm) == 0)
        return borrower;
    }
  return NULL;
}

/* The borrower keeps its connections open for the idle timeout after its last
   grant.  */
static void
end_lent_grant (SlTarget *target, const char *vm, int64_t now_us)
{
  SlBorrower *borrower = find_borrower (target, vm);

  g_assert (borrower != NULL && borrower->grant_count > 0);
  borrower->grant_count--;
  borrower->connected_until_us
      = now_us + SL_CONNECTION_IDLE_US + SL_DEADLINE_MARGIN_US;
}

static void
end_borrowed_grant (SlTarget *target, int64_t now_us)
{
  g_assert (target->borrowed_count > 0);
  target->borrowed_count--;
  target->idle_until_us = now_us + SL_CONNECTION_IDLE_US;
}

/* Frees PERMIT and its slot.  */
static void
remove_permit (SlTable *table, SlPermit *permit, int64_t now_us)
{
  SlSlot *slot = permit->slot;

  if (permit->kind == SL_PERMIT_LENT)
    end_lent_grant (permit->target, permit->vm, now_us);
  if (permit->kind == SL_PERMIT_BORROWED)
    end_borrowed_grant (permit->target, now_us);
  if (slot != NULL)
    {
      slot->permit = NULL;
      if (slot->removed)
        g_ptr_array_remove_fast (permit->target->slots, slot);
    }
  g_hash_table_remove (table->permits, &permit->id);
}

void
sl_target_expire (SlTable *table, SlTarget *target, int64_t now_us)
{
  for (guint i = target->slots->len; i-- > 0;)
    {
      const SlSlot *slot = sl_slot_at (target, i);

      if (slot->permit == NULL || sl_slot_occupied (slot, now_us))
        continue;
      /* Counts as SL_OUTCOME_UNKNOWN.  */
      if (!slot->permit->released)
        target->success_count = 0;
      remove_permit (table, slot->permit, now_us);
    }
}

/* Flex slots are used first: only base slots stay valid when the lease
   expires.  */
static SlSlot *
pick_slot (const SlTable *table, const SlTarget *target, int64_t now_us)
{
  SlSlot *best = NULL;
  uint32_t occupied_count = 0;

  for (guint i = 0; i < target->slots->len; i++)
    {
      SlSlot *slot = sl_slot_at (target, i);

      if (sl_slot_occupied (slot, now_us))
        occupied_count++;
      else if (sl_slot_usable (table, slot, now_us)
               && (best == NULL || slot->flex))
        best = slot;
    }
  return occupied_count < sl_target_limit (target, now_us) ? best : NULL;
}

static SlPermit *
add_permit (SlTable *table, SlPermitKind kind, SlTarget *target, SlSlot *slot,
            int64_t deadline_us)
{
  SlPermit *permit = g_new0 (SlPermit, 1);

  permit->id = table->next_id++;
  permit->kind = kind;
  permit->target = target;
  permit->slot = slot;
  permit->deadline_us = deadline_us;
  permit->expires_us = deadline_us + SL_DEADLINE_MARGIN_US;
  if (slot != NULL)
    slot->permit = permit;
  g_hash_table_insert (table->permits, &permit->id, permit);
  return permit;
}

gboolean
sl_acquire (SlTable *table, const char *name, int64_t deadline_us,
            int64_t now_us, SlPermitId *permit_id)
{
  SlTarget *target = sl_find_target (table, name);
  SlSlot *slot;

  if (target == NULL || deadline_us <= now_us)
    return FALSE;
  sl_target_expire (table, target, now_us);
  slot = pick_slot (table, target, now_us);
  if (slot == NULL)
    return FALSE;
  deadline_us = MIN (deadline_us, now_us + SL_REQUEST_MAX_US);
  *permit_id
      = add_permit (table, SL_PERMIT_OWN, target, slot, deadline_us)->id;
  return TRUE;
}

static SlPermit *
find_permit (const SlTable *table, SlPermitId permit_id)
{
  SlPermit *permit = g_hash_table_lookup (table->permits, &permit_id);

  return permit != NULL && permit->kind != SL_PERMIT_LENT ? permit : NULL;
}

gboolean
sl_permit_valid (const SlTable *table, SlPermitId permit_id, int64_t now_us)
{
  const SlPermit *permit = find_permit (table, permit_id);

  return permit != NULL && !permit->released && now_us < permit->deadline_us;
}

int64_t
sl_permit_deadline_us (const SlTable *table, SlPermitId permit_id)
{
  const SlPermit *permit = find_permit (table, permit_id);

  return permit != NULL ? permit->deadline_us : INT64_MIN;
}

/* Frees PERMIT, or leaves it to expire while its request may still run.  */
static void
finish_permit (SlTable *table, SlPermit *permit, SlOutcome outcome,
               int64_t now_us)
{
  permit->released = TRUE;
  permit->outcome = outcome;
  if (outcome == SL_OUTCOME_UNKNOWN)
    return;
  if (outcome != SL_OUTCOME_CANCELLED)
    {
      remove_permit (table, permit, now_us);
      return;
    }
  permit->expires_us = MIN (permit->expires_us, now_us + SL_CANCEL_GRACE_US);
}

/* Moves PERMIT to the queue of grants to return.  */
static void
queue_return (SlTable *table, SlPermit *permit, SlOutcome outcome,
              int64_t now_us)
{
  g_hash_table_steal (table->permits, &permit->id);
  end_borrowed_grant (permit->target, now_us);
  permit->outcome = outcome;
  permit->expires_us = now_us;
  if (outcome == SL_OUTCOME_CANCELLED)
    permit->expires_us += SL_CANCEL_GRACE_US;
  g_queue_push_tail (&table->returns, permit);
}

void
sl_release (SlTable *table, SlPermitId permit_id, SlOutcome outcome,
            int64_t now_us)
{
  SlPermit *permit = find_permit (table, permit_id);

  if (permit == NULL || permit->released)
    return;
  if (permit->kind == SL_PERMIT_BORROWED)
    {
      if (outcome == SL_OUTCOME_UNKNOWN)
        permit->released = TRUE;
      else
        queue_return (table, permit, outcome, now_us);
      return;
    }
  sl_target_update_limit (permit->target, outcome);
  finish_permit (table, permit, outcome, now_us);
}

static void
remove_idle_borrowers (SlTarget *target, int64_t now_us)
{
  for (guint i = target->borrowers->len; i-- > 0;)
    {
      const SlBorrower *borrower
          = &g_array_index (target->borrowers, SlBorrower, i);

      if (borrower->grant_count == 0 && borrower->connected_until_us <= now_us)
        g_array_remove_index_fast (target->borrowers, i);
    }
}

/* Finds or adds the borrower VM; NULL when there are too many.  */
static SlBorrower *
admit_borrower (SlTarget *target, const char *vm, int64_t now_us)
{
  SlBorrower *existing;
  SlBorrower added = { 0 };

  remove_idle_borrowers (target, now_us);
  existing = find_borrower (target, vm);
  if (existing != NULL)
    return existing;
  if (target->borrowers->len
      >= SL_BORROWERS_MAX * sl_target_count_held (target) / SL_TARGET_SLOTS)
    return NULL;
  g_strlcpy (added.vm, vm, sizeof added.vm);
  g_array_append_val (target->borrowers, added);
  return find_borrower (target, vm);
}

gboolean
sl_lend (SlTable *table, const char *name, const char *borrower_vm,
         int64_t valid_us, int64_t now_us, SlGrant *grant)
{
  SlTarget *target = sl_find_target (table, name);
  SlBorrower *borrower;
  SlSlot *slot;
  SlPermit *permit;

  if (target == NULL || valid_us <= 0 || strlen (borrower_vm) >= SL_NAME_BYTES)
    return FALSE;
  sl_target_expire (table, target, now_us);
  slot = pick_slot (table, target, now_us);
  if (slot == NULL)
    return FALSE;
  borrower = admit_borrower (target, borrower_vm, now_us);
  if (borrower == NULL)
    return FALSE;
  valid_us = MIN (valid_us, SL_REQUEST_MAX_US);
  permit = add_permit (table, SL_PERMIT_LENT, target, slot, now_us + valid_us);
  g_strlcpy (permit->vm, borrower_vm, sizeof permit->vm);
  borrower->grant_count++;
  *grant = (SlGrant){ .id = permit->id, .valid_us = valid_us };
  return TRUE;
}

void
sl_apply_return (SlTable *table, uint64_t grant_id, SlOutcome outcome,
                 int64_t now_us)
{
  SlPermit *permit = g_hash_table_lookup (table->permits, &grant_id);

  if (permit == NULL || permit->kind != SL_PERMIT_LENT || permit->released)
    return;
  sl_target_update_limit (permit->target, outcome);
  finish_permit (table, permit, outcome, now_us);
}

gboolean
sl_accept_grant (SlTable *table, const char *name, const char *lender,
                 const SlGrant *grant, int64_t request_sent_us, int64_t now_us,
                 SlPermitId *permit_id)
{
  int64_t valid_us = MIN (grant->valid_us, SL_REQUEST_MAX_US);
  SlTarget *target;
  SlPermit *permit;

  if (request_sent_us + valid_us <= now_us || strlen (lender) >= SL_NAME_BYTES)
    return FALSE;
  target = sl_find_or_add_target (table, name, now_us);
  permit = add_permit (table, SL_PERMIT_BORROWED, target, NULL,
                       request_sent_us + valid_us);
  g_strlcpy (permit->vm, lender, sizeof permit->vm);
  permit->lender_grant_id = grant->id;
  if (target->borrowed_count == 0 && target->idle_until_us <= now_us)
    target->borrowed_max_count = 0;
  target->borrowed_count++;
  target->borrowed_max_count
      = MAX (target->borrowed_max_count, target->borrowed_count);
  *permit_id = permit->id;
  return TRUE;
}

gboolean
sl_next_return (SlTable *table, int64_t now_us, SlReturn *result)
{
  for (GList *link = table->returns.head; link != NULL; link = link->next)
    {
      SlPermit *permit = link->data;

      if (permit->expires_us > now_us)
        continue;
      result->grant_id = permit->lender_grant_id;
      g_strlcpy (result->vm, permit->vm, sizeof result->vm);
      /* A cancelled request must not change the lender's limit.  */
      result->outcome = permit->outcome == SL_OUTCOME_CANCELLED
                            ? SL_OUTCOME_NOT_SENT
                            : permit->outcome;
      g_queue_delete_link (&table->returns, link);
      g_free (permit);
      return TRUE;
    }
  return FALSE;
}

void
sl_expire (SlTable *table, int64_t now_us)
{
  GHashTableIter iter;
  void *data;

  g_hash_table_iter_init (&iter, table->targets);
  while (g_hash_table_iter_next (&iter, NULL, &data))
    {
      sl_target_expire (table, data, now_us);
      remove_idle_borrowers (data, now_us);
    }
  g_hash_table_iter_init (&iter, table->permits);
  while (g_hash_table_iter_next (&iter, NULL, &data))
    {
      const SlPermit *permit = data;

      if (permit->kind != SL_PERMIT_BORROWED || permit->expires_us > now_us)
        continue;
      end_borrowed_grant (permit->target, now_us);
      g_hash_table_iter_remove (&iter);
    }
}

int64_t
sl_next_expiry_us (const SlTable *table)
{
  int64_t next_us = INT64_MAX;
  GHashTableIter iter;
  void *data;

  g_hash_table_iter_init (&iter, table->permits);
  while (g_hash_table_iter_next (&iter, NULL, &data))
    next_us = MIN (next_us, ((const SlPermit *)data)->expires_us);
  for (const GList *link = table->returns.head; link != NULL;
       link = link->next)
    next_us = MIN (next_us, ((const SlPermit *)link->data)->expires_us);
  return next_us;
}

static gboolean
is_for_target (void *id, void *data, void *target)
{
  (void)id;
  return ((const SlPermit *)data)->target == target;
}

gboolean
sl_remove_target (SlTable *table, const char *name, int64_t now_us)
{
  SlTarget *target = sl_find_target (table, name);

  if (target == NULL)
    return TRUE;
  sl_expire (table, now_us);
  if (target->slots->len > 0
      || g_hash_table_find (table->permits, is_for_target, target) != NULL)
    return FALSE;
  return g_hash_table_remove (table->targets, name);
}
