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

/* The borrower's connections stay for a while after its last grant.  */
static void
end_grant (SlTarget *target, const char *vm, int64_t now_us)
{
  SlBorrower *borrower = find_borrower (target, vm);

  g_assert (borrower != NULL && borrower->grant_count > 0);
  borrower->grant_count--;
  borrower->until_us = now_us + SL_CONNECTION_IDLE_US + SL_DEADLINE_MARGIN_US;
}

static void
end_borrowed (SlTarget *target, int64_t now_us)
{
  g_assert (target->borrowed_count > 0);
  target->borrowed_count--;
  target->borrowed_until_us = now_us + SL_CONNECTION_IDLE_US;
}

/* Frees the slot of USE and USE itself.  */
static void
end_use (SlTable *table, SlUse *use, int64_t now_us)
{
  SlSlot *slot = use->slot;

  if (use->kind == SL_USE_LENT)
    end_grant (use->target, use->vm, now_us);
  if (use->kind == SL_USE_BORROWED)
    end_borrowed (use->target, now_us);
  if (slot != NULL)
    {
      slot->use = NULL;
      if (slot->dropped)
        g_ptr_array_remove_fast (use->target->slots, slot);
    }
  g_hash_table_remove (table->uses, &use->id);
}

void
sl_target_reap (SlTable *table, SlTarget *target, int64_t now_us)
{
  for (guint i = target->slots->len; i-- > 0;)
    {
      const SlSlot *slot = sl_slot_at (target, i);

      if (slot->use == NULL || sl_slot_occupied (slot, now_us))
        continue;
      if (!slot->use->released)
        target->good_count = 0;
      end_use (table, slot->use, now_us);
    }
}

/* Flex slots go first: base slots are what is left when the lease lapses.  */
static SlSlot *
pick_slot (const SlTable *table, const SlTarget *target, int64_t now_us)
{
  SlSlot *best = NULL;
  uint32_t in_use = 0;

  for (guint i = 0; i < target->slots->len; i++)
    {
      SlSlot *slot = sl_slot_at (target, i);

      if (sl_slot_occupied (slot, now_us))
        in_use++;
      else if (sl_slot_usable (table, slot, now_us)
               && (best == NULL || slot->flex))
        best = slot;
    }
  return in_use < sl_target_limit (target, now_us) ? best : NULL;
}

static SlUse *
begin_use (SlTable *table, SlUseKind kind, SlTarget *target, SlSlot *slot,
           int64_t deadline_us)
{
  SlUse *use = g_new0 (SlUse, 1);

  use->id = table->next_id++;
  use->kind = kind;
  use->target = target;
  use->slot = slot;
  use->deadline_us = deadline_us;
  use->end_us = deadline_us + SL_DEADLINE_MARGIN_US;
  if (slot != NULL)
    slot->use = use;
  g_hash_table_insert (table->uses, &use->id, use);
  return use;
}

gboolean
sl_acquire (SlTable *table, const char *name, int64_t deadline_us,
            int64_t now_us, SlTicket *ticket)
{
  SlTarget *target = sl_table_find (table, name);
  SlSlot *slot;

  if (target == NULL || deadline_us <= now_us)
    return FALSE;
  sl_target_reap (table, target, now_us);
  slot = pick_slot (table, target, now_us);
  if (slot == NULL)
    return FALSE;
  deadline_us = MIN (deadline_us, now_us + SL_REQUEST_MAX_US);
  *ticket = begin_use (table, SL_USE_OWN, target, slot, deadline_us)->id;
  return TRUE;
}

static SlUse *
find_ticket (const SlTable *table, SlTicket ticket)
{
  SlUse *use = g_hash_table_lookup (table->uses, &ticket);

  return use != NULL && use->kind != SL_USE_LENT ? use : NULL;
}

gboolean
sl_valid (const SlTable *table, SlTicket ticket, int64_t now_us)
{
  const SlUse *use = find_ticket (table, ticket);

  return use != NULL && !use->released && now_us < use->deadline_us;
}

int64_t
sl_deadline_us (const SlTable *table, SlTicket ticket)
{
  const SlUse *use = find_ticket (table, ticket);

  return use != NULL ? use->deadline_us : INT64_MIN;
}

/* Ends USE, or lets it lapse where the request may still run.  */
static void
conclude (SlTable *table, SlUse *use, SlOutcome outcome, int64_t now_us)
{
  use->released = TRUE;
  use->outcome = outcome;
  if (outcome == SL_OUTCOME_LOST)
    return;
  if (outcome != SL_OUTCOME_CANCELLED)
    {
      end_use (table, use, now_us);
      return;
    }
  use->end_us = MIN (use->end_us, now_us + SL_CANCEL_GRACE_US);
}

/* Moves USE to the grants to return.  */
static void
give_back (SlTable *table, SlUse *use, SlOutcome outcome, int64_t now_us)
{
  g_hash_table_steal (table->uses, &use->id);
  end_borrowed (use->target, now_us);
  use->outcome = outcome;
  use->end_us = now_us;
  if (outcome == SL_OUTCOME_CANCELLED)
    use->end_us += SL_CANCEL_GRACE_US;
  g_queue_push_tail (&table->returns, use);
}

void
sl_release (SlTable *table, SlTicket ticket, SlOutcome outcome, int64_t now_us)
{
  SlUse *use = find_ticket (table, ticket);

  if (use == NULL || use->released)
    return;
  if (use->kind == SL_USE_BORROWED)
    {
      if (outcome == SL_OUTCOME_LOST)
        use->released = TRUE;
      else
        give_back (table, use, outcome, now_us);
      return;
    }
  sl_target_learn (use->target, outcome);
  conclude (table, use, outcome, now_us);
}

static void
purge_borrowers (SlTarget *target, int64_t now_us)
{
  for (guint i = target->borrowers->len; i-- > 0;)
    {
      const SlBorrower *borrower
          = &g_array_index (target->borrowers, SlBorrower, i);

      if (borrower->grant_count == 0 && borrower->until_us <= now_us)
        g_array_remove_index_fast (target->borrowers, i);
    }
}

/* The entry of VM among the borrowers, or NULL when there are too many.  */
static SlBorrower *
admit_borrower (SlTarget *target, const char *vm, int64_t now_us)
{
  SlBorrower *known;
  SlBorrower added = { 0 };

  purge_borrowers (target, now_us);
  known = find_borrower (target, vm);
  if (known != NULL)
    return known;
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
  SlTarget *target = sl_table_find (table, name);
  SlBorrower *borrower;
  SlSlot *slot;
  SlUse *use;

  if (target == NULL || valid_us <= 0 || strlen (borrower_vm) >= SL_NAME_BYTES)
    return FALSE;
  sl_target_reap (table, target, now_us);
  slot = pick_slot (table, target, now_us);
  if (slot == NULL)
    return FALSE;
  borrower = admit_borrower (target, borrower_vm, now_us);
  if (borrower == NULL)
    return FALSE;
  valid_us = MIN (valid_us, SL_REQUEST_MAX_US);
  use = begin_use (table, SL_USE_LENT, target, slot, now_us + valid_us);
  g_strlcpy (use->vm, borrower_vm, sizeof use->vm);
  borrower->grant_count++;
  *grant = (SlGrant){ .id = use->id, .valid_us = valid_us };
  return TRUE;
}

void
sl_returned (SlTable *table, uint64_t grant_id, SlOutcome outcome,
             int64_t now_us)
{
  SlUse *use = g_hash_table_lookup (table->uses, &grant_id);

  if (use == NULL || use->kind != SL_USE_LENT || use->released)
    return;
  sl_target_learn (use->target, outcome);
  conclude (table, use, outcome, now_us);
}

gboolean
sl_borrowed (SlTable *table, const char *name, const char *lender,
             const SlGrant *grant, int64_t request_sent_us, int64_t now_us,
             SlTicket *ticket)
{
  int64_t valid_us = MIN (grant->valid_us, SL_REQUEST_MAX_US);
  SlTarget *target;
  SlUse *use;

  if (request_sent_us + valid_us <= now_us || strlen (lender) >= SL_NAME_BYTES)
    return FALSE;
  target = sl_table_find_or_add (table, name, now_us);
  use = begin_use (table, SL_USE_BORROWED, target, NULL,
                   request_sent_us + valid_us);
  g_strlcpy (use->vm, lender, sizeof use->vm);
  use->lender_grant_id = grant->id;
  if (target->borrowed_count == 0 && target->borrowed_until_us <= now_us)
    target->borrowed_peak = 0;
  target->borrowed_count++;
  target->borrowed_peak = MAX (target->borrowed_peak, target->borrowed_count);
  *ticket = use->id;
  return TRUE;
}

gboolean
sl_next_return (SlTable *table, int64_t now_us, SlReturn *result)
{
  for (GList *link = table->returns.head; link != NULL; link = link->next)
    {
      SlUse *use = link->data;

      if (use->end_us > now_us)
        continue;
      result->grant_id = use->lender_grant_id;
      g_strlcpy (result->vm, use->vm, sizeof result->vm);
      /* The lender's limit has nothing to learn from a cancelled request.  */
      result->outcome = use->outcome == SL_OUTCOME_CANCELLED
                            ? SL_OUTCOME_NOT_SENT
                            : use->outcome;
      g_queue_delete_link (&table->returns, link);
      g_free (use);
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
      sl_target_reap (table, data, now_us);
      purge_borrowers (data, now_us);
    }
  g_hash_table_iter_init (&iter, table->uses);
  while (g_hash_table_iter_next (&iter, NULL, &data))
    {
      const SlUse *use = data;

      if (use->kind != SL_USE_BORROWED || use->end_us > now_us)
        continue;
      end_borrowed (use->target, now_us);
      g_hash_table_iter_remove (&iter);
    }
}

int64_t
sl_next_expiry_us (const SlTable *table)
{
  int64_t next_us = INT64_MAX;
  GHashTableIter iter;
  void *data;

  g_hash_table_iter_init (&iter, table->uses);
  while (g_hash_table_iter_next (&iter, NULL, &data))
    next_us = MIN (next_us, ((const SlUse *)data)->end_us);
  for (const GList *link = table->returns.head; link != NULL;
       link = link->next)
    next_us = MIN (next_us, ((const SlUse *)link->data)->end_us);
  return next_us;
}

static gboolean
refers_to (void *id, void *data, void *target)
{
  (void)id;
  return ((const SlUse *)data)->target == target;
}

gboolean
sl_forget (SlTable *table, const char *name, int64_t now_us)
{
  SlTarget *target = sl_table_find (table, name);

  if (target == NULL)
    return TRUE;
  sl_expire (table, now_us);
  if (target->slots->len > 0
      || g_hash_table_find (table->uses, refers_to, target) != NULL)
    return FALSE;
  return g_hash_table_remove (table->targets, name);
}
