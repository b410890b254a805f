#include "slot/slot.h"

#include "slot/table.h"

/* Numbers for each ms of the incarnation.  A process gives out fewer, so the
   next process of the VM begins above them.  */
#define IDS_PER_MS_BITS 20

G_DEFINE_QUARK (sl_error, sl_error)

static void
target_free (void *data)
{
  SlTarget *target = data;

  g_ptr_array_unref (target->slots);
  g_array_unref (target->borrowers);
  g_free (target->name);
  g_free (target);
}

SlTable *
sl_new (const SlOptions *options)
{
  SlTable *table = g_new0 (SlTable, 1);

  table->targets
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, target_free);
  table->uses
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  table->next_id = (options->incarnation << IDS_PER_MS_BITS) + 1;
  table->flex_until_us = INT64_MIN;
  table->base_until_us = INT64_MIN;
  return table;
}

void
sl_free (SlTable *table)
{
  if (table == NULL)
    return;
  g_hash_table_unref (table->uses);
  g_hash_table_unref (table->targets);
  g_queue_clear_full (&table->returns, g_free);
  g_free (table);
}

void
sl_set_validity (SlTable *table, int64_t flex_until_us, int64_t base_until_us)
{
  table->flex_until_us = flex_until_us;
  table->base_until_us = base_until_us;
}

SlTarget *
sl_table_find (const SlTable *table, const char *name)
{
  return g_hash_table_lookup (table->targets, name);
}

/* A target of which nothing is known is taken to be cold.  */
SlTarget *
sl_table_find_or_add (SlTable *table, const char *name, int64_t now_us)
{
  SlTarget *target = sl_table_find (table, name);

  if (target != NULL)
    return target;
  target = g_new0 (SlTarget, 1);
  target->name = g_strdup (name);
  target->slots = g_ptr_array_new_with_free_func (g_free);
  target->borrowers = g_array_new (FALSE, TRUE, sizeof (SlBorrower));
  target->aimd_limit = SL_TARGET_SLOTS;
  target->cold = TRUE;
  target->ramping = TRUE;
  target->ramp_from_us = now_us;
  target->borrowed_until_us = INT64_MIN;
  g_hash_table_insert (table->targets, target->name, target);
  return target;
}

SlSlot *
sl_slot_at (const SlTarget *target, guint index)
{
  return g_ptr_array_index (target->slots, index);
}

gboolean
sl_slot_occupied (const SlSlot *slot, int64_t now_us)
{
  return slot->use != NULL && slot->use->end_us > now_us;
}

gboolean
sl_slot_usable (const SlTable *table, const SlSlot *slot, int64_t now_us)
{
  return !slot->retired && !slot->dropped && now_us >= slot->usable_at_us
         && now_us
                < (slot->flex ? table->flex_until_us : table->base_until_us);
}

/* Slots of a kind that the daemon holds and that are not retired.  */
static uint32_t
count_kept (const SlTarget *target, gboolean flex)
{
  uint32_t count = 0;

  for (guint i = 0; i < target->slots->len; i++)
    {
      const SlSlot *slot = sl_slot_at (target, i);

      count += slot->flex == flex && !slot->retired && !slot->dropped;
    }
  return count;
}

/* The slot of a kind that is missed least: one that is idle, and of these the
   one that becomes usable last.  */
static SlSlot *
least_needed (const SlTarget *target, gboolean flex)
{
  SlSlot *best = NULL;

  for (guint i = 0; i < target->slots->len; i++)
    {
      SlSlot *slot = sl_slot_at (target, i);

      if (slot->flex != flex || slot->retired || slot->dropped)
        continue;
      if (best == NULL || (best->use != NULL && slot->use == NULL)
          || ((best->use != NULL) == (slot->use != NULL)
              && slot->usable_at_us > best->usable_at_us))
        best = slot;
    }
  return best;
}

static void
retire_beyond (SlTarget *target, gboolean flex, uint32_t keep)
{
  for (uint32_t kept = count_kept (target, flex); kept > keep; kept--)
    least_needed (target, flex)->retired = TRUE;
}

/* Takes retired slots back into use, those first that become usable first.  */
static void
restore_up_to (SlTarget *target, gboolean flex, uint32_t want)
{
  for (uint32_t kept = count_kept (target, flex); kept < want; kept++)
    {
      SlSlot *best = NULL;

      for (guint i = 0; i < target->slots->len; i++)
        {
          SlSlot *slot = sl_slot_at (target, i);

          if (slot->flex == flex && slot->retired && !slot->dropped
              && (best == NULL || slot->usable_at_us < best->usable_at_us))
            best = slot;
        }
      if (best == NULL)
        return;
      best->retired = FALSE;
    }
}

static void
drop_retired (SlTarget *target)
{
  for (guint i = target->slots->len; i-- > 0;)
    {
      SlSlot *slot = sl_slot_at (target, i);

      if (!slot->retired || slot->dropped)
        continue;
      slot->dropped = TRUE;
      if (slot->use == NULL)
        g_ptr_array_remove_index_fast (target->slots, i);
    }
}

static void
add_up_to (SlTarget *target, gboolean flex, uint32_t want,
           int64_t usable_at_us)
{
  for (uint32_t kept = count_kept (target, flex); kept < want; kept++)
    {
      SlSlot *slot = g_new0 (SlSlot, 1);

      slot->flex = flex;
      slot->usable_at_us = usable_at_us;
      g_ptr_array_add (target->slots, slot);
    }
}

gboolean
sl_set_holding (SlTable *table, const char *name, uint32_t base, uint32_t flex,
                int64_t usable_at_us, int64_t now_us, GError **error)
{
  SlTarget *target;

  if (base > SL_TARGET_SLOTS || flex > SL_TARGET_SLOTS - base)
    {
      g_set_error (
          error, SL_ERROR, SL_ERROR_COUNT,
          "holding of %u base and %u flex slots of target %s is above "
          "the target's %d",
          base, flex, name, SL_TARGET_SLOTS);
      return FALSE;
    }
  target = sl_table_find_or_add (table, name, now_us);
  sl_target_reap (table, target, now_us);
  if (target->slots->len == 0 && target->ramping)
    target->ramp_from_us = MAX (now_us, usable_at_us);
  restore_up_to (target, FALSE, base);
  restore_up_to (target, TRUE, flex);
  retire_beyond (target, FALSE, base);
  retire_beyond (target, TRUE, flex);
  drop_retired (target);
  add_up_to (target, FALSE, base, usable_at_us);
  add_up_to (target, TRUE, flex, usable_at_us);
  return TRUE;
}

gboolean
sl_retire (SlTable *table, const char *name, uint32_t keep_base,
           uint32_t keep_flex, int64_t now_us)
{
  SlTarget *target = sl_table_find (table, name);

  if (target == NULL)
    return TRUE;
  sl_target_reap (table, target, now_us);
  retire_beyond (target, FALSE, keep_base);
  retire_beyond (target, TRUE, keep_flex);
  for (guint i = 0; i < target->slots->len; i++)
    {
      const SlSlot *slot = sl_slot_at (target, i);

      if (slot->retired && !slot->dropped
          && (slot->use != NULL || slot->usable_at_us > now_us))
        return FALSE;
    }
  return TRUE;
}

void
sl_set_warm (SlTable *table, const char *name, uint32_t warm_permille,
             int64_t now_us)
{
  SlTarget *target = sl_table_find_or_add (table, name, now_us);

  if (warm_permille >= SL_WARM_PERMILLE)
    {
      target->cold = FALSE;
      target->ramping = FALSE;
      return;
    }
  if (warm_permille >= SL_COLD_PERMILLE || target->cold)
    return;
  target->cold = TRUE;
  target->ramping = TRUE;
  target->ramp_from_us = now_us;
}

uint32_t
sl_target_limit (const SlTarget *target, int64_t now_us)
{
  int64_t steps;

  if (!target->ramping)
    return target->aimd_limit;
  steps = MAX (now_us - target->ramp_from_us, 0) / SL_COLD_STEP_US;
  return (uint32_t)MIN (1 + steps, target->aimd_limit);
}

/* A whole answer tells how much the target can take; other ends do not raise
   the limit.  */
void
sl_target_learn (SlTarget *target, SlOutcome outcome)
{
  switch (outcome)
    {
    case SL_OUTCOME_SHED:
      target->aimd_limit = MAX (target->aimd_limit / 2, 1);
      target->good_count = 0;
      return;
    case SL_OUTCOME_FAILED:
    case SL_OUTCOME_LOST:
      target->good_count = 0;
      return;
    case SL_OUTCOME_NOT_SENT:
    case SL_OUTCOME_CANCELLED:
      return;
    case SL_OUTCOME_GOOD:
      break;
    }
  if (++target->good_count < SL_RAISE_COUNT)
    return;
  target->good_count = 0;
  target->aimd_limit = MIN (target->aimd_limit + 1, SL_TARGET_SLOTS);
}

uint32_t
sl_target_count_held (const SlTarget *target)
{
  uint32_t count = 0;

  for (guint i = 0; i < target->slots->len; i++)
    count += !sl_slot_at (target, i)->dropped;
  return count;
}

uint32_t
sl_connections_allowed (const SlTable *table, const char *name, int64_t now_us)
{
  const SlTarget *target = sl_table_find (table, name);
  uint32_t count;

  if (target == NULL)
    return 0;
  if (sl_target_count_held (target) > 0)
    return SL_CONNECTIONS_MAX;
  count = target->borrowed_count;
  if (count > 0 || now_us < target->borrowed_until_us)
    count = target->borrowed_peak;
  for (guint i = 0; i < target->slots->len; i++)
    count += sl_slot_occupied (sl_slot_at (target, i), now_us);
  return MIN (count, SL_CONNECTIONS_MAX);
}

SlState
sl_state (const SlTable *table, const char *name, int64_t now_us)
{
  const SlTarget *target = sl_table_find (table, name);
  SlState state = { 0 };
  uint32_t idle_count = 0;

  if (target == NULL)
    return state;
  for (guint i = 0; i < target->slots->len; i++)
    {
      const SlSlot *slot = sl_slot_at (target, i);
      gboolean busy = sl_slot_occupied (slot, now_us);

      state.held_count += !slot->dropped;
      state.usable_count += sl_slot_usable (table, slot, now_us);
      state.in_use_count += busy;
      state.lent_count += busy && slot->use->kind == SL_USE_LENT;
      idle_count += !busy && sl_slot_usable (table, slot, now_us);
    }
  state.limit_count = sl_target_limit (target, now_us);
  if (state.in_use_count < state.limit_count)
    state.free_count
        = MIN (idle_count, state.limit_count - state.in_use_count);
  for (guint i = 0; i < target->borrowers->len; i++)
    {
      const SlBorrower *borrower
          = &g_array_index (target->borrowers, SlBorrower, i);

      state.borrower_count
          += borrower->grant_count > 0 || borrower->until_us > now_us;
    }
  state.borrowed_count = target->borrowed_count;
  return state;
}
