/* Held slots, limits and state.  */

#include "slot/slot.h"

#include "slot/table.h"

/* Permit ids reserved for each ms of the incarnation.  A process uses fewer,
   so the ids of the next process of the VM are higher.  */
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
  table->permits
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
  g_hash_table_unref (table->permits);
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
sl_find_target (const SlTable *table, const char *name)
{
  return g_hash_table_lookup (table->targets, name);
}

/* A new target is assumed to be cold.  */
SlTarget *
sl_find_or_add_target (SlTable *table, const char *name, int64_t now_us)
{
  SlTarget *target = sl_find_target (table, name);

  if (target != NULL)
    return target;
  target = g_new0 (SlTarget, 1);
  target->name = g_strdup (name);
  target->slots = g_ptr_array_new_with_free_func (g_free);
  target->borrowers = g_array_new (FALSE, TRUE, sizeof (SlBorrower));
  target->aimd_limit = SL_TARGET_SLOTS;
  target->cold = TRUE;
  target->ramping = TRUE;
  target->ramp_start_us = now_us;
  target->idle_until_us = INT64_MIN;
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
  return slot->permit != NULL && slot->permit->expires_us > now_us;
}

gboolean
sl_slot_usable (const SlTable *table, const SlSlot *slot, int64_t now_us)
{
  return !slot->draining && !slot->removed && now_us >= slot->usable_at_us
         && now_us
                < (slot->flex ? table->flex_until_us : table->base_until_us);
}

/* Counts held slots of a kind that are not draining.  */
static uint32_t
count_active_slots (const SlTarget *target, gboolean flex)
{
  uint32_t count = 0;

  for (guint i = 0; i < target->slots->len; i++)
    {
      const SlSlot *slot = sl_slot_at (target, i);

      count += slot->flex == flex && !slot->draining && !slot->removed;
    }
  return count;
}

/* Prefers an idle slot, and among equals the one that becomes usable last.  */
static SlSlot *
pick_slot_to_drain (const SlTarget *target, gboolean flex)
{
  SlSlot *best = NULL;

  for (guint i = 0; i < target->slots->len; i++)
    {
      SlSlot *slot = sl_slot_at (target, i);

      if (slot->flex != flex || slot->draining || slot->removed)
        continue;
      if (best == NULL || (best->permit != NULL && slot->permit == NULL)
          || ((best->permit != NULL) == (slot->permit != NULL)
              && slot->usable_at_us > best->usable_at_us))
        best = slot;
    }
  return best;
}

static void
drain_slots_beyond (SlTarget *target, gboolean flex, uint32_t keep_count)
{
  for (uint32_t active_count = count_active_slots (target, flex);
       active_count > keep_count; active_count--)
    pick_slot_to_drain (target, flex)->draining = TRUE;
}

/* Puts draining slots back into use, in the order in which they become
   usable.  */
static void
resume_slots_up_to (SlTarget *target, gboolean flex, uint32_t wanted_count)
{
  for (uint32_t active_count = count_active_slots (target, flex);
       active_count < wanted_count; active_count++)
    {
      SlSlot *best = NULL;

      for (guint i = 0; i < target->slots->len; i++)
        {
          SlSlot *slot = sl_slot_at (target, i);

          if (slot->flex == flex && slot->draining && !slot->removed
              && (best == NULL || slot->usable_at_us < best->usable_at_us))
            best = slot;
        }
      if (best == NULL)
        return;
      best->draining = FALSE;
    }
}

static void
remove_draining_slots (SlTarget *target)
{
  for (guint i = target->slots->len; i-- > 0;)
    {
      SlSlot *slot = sl_slot_at (target, i);

      if (!slot->draining || slot->removed)
        continue;
      slot->removed = TRUE;
      if (slot->permit == NULL)
        g_ptr_array_remove_index_fast (target->slots, i);
    }
}

static void
add_slots_up_to (SlTarget *target, gboolean flex, uint32_t wanted_count,
                 int64_t usable_at_us)
{
  for (uint32_t active_count = count_active_slots (target, flex);
       active_count < wanted_count; active_count++)
    {
      SlSlot *slot = g_new0 (SlSlot, 1);

      slot->flex = flex;
      slot->usable_at_us = usable_at_us;
      g_ptr_array_add (target->slots, slot);
    }
}

gboolean
sl_set_held_slots (SlTable *table, const char *name, uint32_t base,
                   uint32_t flex, int64_t usable_at_us, int64_t now_us,
                   GError **error)
{
  SlTarget *target;

  if (base > SL_TARGET_SLOTS || flex > SL_TARGET_SLOTS - base)
    {
      g_set_error (
          error, SL_ERROR, SL_ERROR_TOO_MANY_SLOTS,
          "cannot hold %u base and %u flex slots of target %s: a target has "
          "only %d slots",
          base, flex, name, SL_TARGET_SLOTS);
      return FALSE;
    }
  target = sl_find_or_add_target (table, name, now_us);
  sl_target_expire (table, target, now_us);
  /* A cold target's ramp starts when its first slots become usable.  */
  if (target->slots->len == 0 && target->ramping)
    target->ramp_start_us = MAX (now_us, usable_at_us);
  resume_slots_up_to (target, FALSE, base);
  resume_slots_up_to (target, TRUE, flex);
  drain_slots_beyond (target, FALSE, base);
  drain_slots_beyond (target, TRUE, flex);
  remove_draining_slots (target);
  add_slots_up_to (target, FALSE, base, usable_at_us);
  add_slots_up_to (target, TRUE, flex, usable_at_us);
  return TRUE;
}

gboolean
sl_drain_slots (SlTable *table, const char *name, uint32_t keep_base,
                uint32_t keep_flex, int64_t now_us)
{
  SlTarget *target = sl_find_target (table, name);

  if (target == NULL)
    return TRUE;
  sl_target_expire (table, target, now_us);
  drain_slots_beyond (target, FALSE, keep_base);
  drain_slots_beyond (target, TRUE, keep_flex);
  for (guint i = 0; i < target->slots->len; i++)
    {
      const SlSlot *slot = sl_slot_at (target, i);

      if (slot->draining && !slot->removed
          && (slot->permit != NULL || slot->usable_at_us > now_us))
        return FALSE;
    }
  return TRUE;
}

void
sl_set_warmth (SlTable *table, const char *name, uint32_t warm_permille,
               int64_t now_us)
{
  SlTarget *target = sl_find_or_add_target (table, name, now_us);

  if (warm_permille >= SL_WARM_FROM_PERMILLE)
    {
      target->cold = FALSE;
      target->ramping = FALSE;
      return;
    }
  if (warm_permille >= SL_COLD_BELOW_PERMILLE || target->cold)
    return;
  target->cold = TRUE;
  target->ramping = TRUE;
  target->ramp_start_us = now_us;
}

uint32_t
sl_target_limit (const SlTarget *target, int64_t now_us)
{
  int64_t steps;

  if (!target->ramping)
    return target->aimd_limit;
  steps = MAX (now_us - target->ramp_start_us, 0) / SL_RAMP_STEP_US;
  return (uint32_t)MIN (1 + steps, target->aimd_limit);
}

/* Only a complete response shows how much load the target can take; other
   outcomes never raise the limit.  */
void
sl_target_update_limit (SlTarget *target, SlOutcome outcome)
{
  switch (outcome)
    {
    case SL_OUTCOME_SHED:
      target->aimd_limit = MAX (target->aimd_limit / 2, 1);
      target->success_count = 0;
      return;
    case SL_OUTCOME_FAILED:
    case SL_OUTCOME_UNKNOWN:
      target->success_count = 0;
      return;
    case SL_OUTCOME_NOT_SENT:
    case SL_OUTCOME_CANCELLED:
      return;
    case SL_OUTCOME_SUCCESS:
      break;
    }
  if (++target->success_count < SL_SUCCESSES_PER_RAISE)
    return;
  target->success_count = 0;
  target->aimd_limit = MIN (target->aimd_limit + 1, SL_TARGET_SLOTS);
}

uint32_t
sl_target_count_held (const SlTarget *target)
{
  uint32_t count = 0;

  for (guint i = 0; i < target->slots->len; i++)
    count += !sl_slot_at (target, i)->removed;
  return count;
}

uint32_t
sl_connections_allowed (const SlTable *table, const char *name, int64_t now_us)
{
  const SlTarget *target = sl_find_target (table, name);
  uint32_t count;

  if (target == NULL)
    return 0;
  if (sl_target_count_held (target) > 0)
    return SL_CONNECTIONS_MAX;
  count = target->borrowed_count;
  if (count > 0 || now_us < target->idle_until_us)
    count = target->borrowed_max_count;
  for (guint i = 0; i < target->slots->len; i++)
    count += sl_slot_occupied (sl_slot_at (target, i), now_us);
  return MIN (count, SL_CONNECTIONS_MAX);
}

SlState
sl_state (const SlTable *table, const char *name, int64_t now_us)
{
  const SlTarget *target = sl_find_target (table, name);
  SlState state = { 0 };
  uint32_t idle_count = 0;

  if (target == NULL)
    return state;
  for (guint i = 0; i < target->slots->len; i++)
    {
      const SlSlot *slot = sl_slot_at (target, i);
      gboolean occupied = sl_slot_occupied (slot, now_us);

      state.held_count += !slot->removed;
      state.usable_count += sl_slot_usable (table, slot, now_us);
      state.in_use_count += occupied;
      state.lent_count += occupied && slot->permit->kind == SL_PERMIT_LENT;
      idle_count += !occupied && sl_slot_usable (table, slot, now_us);
    }
  state.limit_count = sl_target_limit (target, now_us);
  if (state.in_use_count < state.limit_count)
    state.free_count
        = MIN (idle_count, state.limit_count - state.in_use_count);
  for (guint i = 0; i < target->borrowers->len; i++)
    {
      const SlBorrower *borrower
          = &g_array_index (target->borrowers, SlBorrower, i);

      state.borrower_count += borrower->grant_count > 0
                              || borrower->connected_until_us > now_us;
    }
  state.borrowed_count = target->borrowed_count;
  return state;
}
