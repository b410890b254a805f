#include "slot/slot.h"

#include <string.h>

/* Numbers for each ms of the incarnation.  A process gives out fewer, so the
   next process of the VM begins above them.  */
#define IDS_PER_MS_BITS 20

typedef struct Use Use;

typedef struct
{
  gboolean flex;
  gboolean retired; /* held, but not to be used any more */
  gboolean dropped; /* no longer held; kept while occupied */
  int64_t usable_at_us;
  Use *use;
} Slot;

typedef struct
{
  char vm[SL_NAME_BYTES];
  uint32_t grant_count;
  int64_t until_us; /* it may have connections until then */
} Borrower;

typedef struct
{
  char *name;
  GPtrArray *slots;  /* Slot */
  GArray *borrowers; /* Borrower */
  uint32_t aimd_limit;
  uint32_t good_count; /* answers since the limit changed */
  gboolean cold;
  gboolean ramping;
  int64_t ramp_from_us;
  uint32_t borrowed_count;
  uint32_t borrowed_peak; /* since the connections were last idle */
  int64_t borrowed_until_us;
} Target;

typedef enum
{
  USE_OWN,
  USE_LENT,
  USE_BORROWED,
} UseKind;

struct Use
{
  uint64_t id;
  UseKind kind;
  Target *target;
  Slot *slot; /* NULL for a borrowed one */
  char vm[SL_NAME_BYTES];
  uint64_t lender_grant_id;
  int64_t deadline_us;
  int64_t end_us; /* lapses then; for a return, when it is due */
  gboolean released;
  SlOutcome outcome;
};

struct SlTable
{
  GHashTable *targets; /* name -> Target */
  GHashTable *uses;    /* id -> Use */
  GQueue returns;      /* Use that is no longer in uses */
  uint64_t next_id;
  int64_t flex_until_us;
  int64_t base_until_us;
};

G_DEFINE_QUARK (sl_error, sl_error)

static void
target_free (void *data)
{
  Target *target = data;

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

static Target *
find (const SlTable *table, const char *name)
{
  return g_hash_table_lookup (table->targets, name);
}

/* A target of which nothing is known is taken to be cold.  */
static Target *
find_or_add (SlTable *table, const char *name, int64_t now_us)
{
  Target *target = find (table, name);

  if (target != NULL)
    return target;
  target = g_new0 (Target, 1);
  target->name = g_strdup (name);
  target->slots = g_ptr_array_new_with_free_func (g_free);
  target->borrowers = g_array_new (FALSE, TRUE, sizeof (Borrower));
  target->aimd_limit = SL_TARGET_SLOTS;
  target->cold = TRUE;
  target->ramping = TRUE;
  target->ramp_from_us = now_us;
  target->borrowed_until_us = INT64_MIN;
  g_hash_table_insert (table->targets, target->name, target);
  return target;
}

static Slot *
slot_at (const Target *target, guint index)
{
  return g_ptr_array_index (target->slots, index);
}

static gboolean
occupied (const Slot *slot, int64_t now_us)
{
  return slot->use != NULL && slot->use->end_us > now_us;
}

static gboolean
usable (const SlTable *table, const Slot *slot, int64_t now_us)
{
  return !slot->retired && !slot->dropped && now_us >= slot->usable_at_us
         && now_us
                < (slot->flex ? table->flex_until_us : table->base_until_us);
}

static Borrower *
find_borrower (const Target *target, const char *vm)
{
  for (guint i = 0; i < target->borrowers->len; i++)
    {
      Borrower *borrower = &g_array_index (target->borrowers, Borrower, i);

      if (strcmp (borrower->vm, vm) == 0)
        return borrower;
    }
  return NULL;
}

/* The borrower's connections stay for a while after its last grant.  */
static void
end_grant (Target *target, const char *vm, int64_t now_us)
{
  Borrower *borrower = find_borrower (target, vm);

  g_assert (borrower != NULL && borrower->grant_count > 0);
  borrower->grant_count--;
  borrower->until_us = now_us + SL_CONNECTION_IDLE_US + SL_DEADLINE_MARGIN_US;
}

static void
end_borrowed (Target *target, int64_t now_us)
{
  g_assert (target->borrowed_count > 0);
  target->borrowed_count--;
  target->borrowed_until_us = now_us + SL_CONNECTION_IDLE_US;
}

/* Frees the slot of USE and USE itself.  */
static void
end_use (SlTable *table, Use *use, int64_t now_us)
{
  Slot *slot = use->slot;

  if (use->kind == USE_LENT)
    end_grant (use->target, use->vm, now_us);
  if (use->kind == USE_BORROWED)
    end_borrowed (use->target, now_us);
  if (slot != NULL)
    {
      slot->use = NULL;
      if (slot->dropped)
        g_ptr_array_remove_fast (use->target->slots, slot);
    }
  g_hash_table_remove (table->uses, &use->id);
}

static void
reap (SlTable *table, Target *target, int64_t now_us)
{
  for (guint i = target->slots->len; i-- > 0;)
    {
      const Slot *slot = slot_at (target, i);

      if (slot->use == NULL || occupied (slot, now_us))
        continue;
      if (!slot->use->released)
        target->good_count = 0;
      end_use (table, slot->use, now_us);
    }
}

/* Slots of a kind that the daemon holds and that are not retired.  */
static uint32_t
count_kept (const Target *target, gboolean flex)
{
  uint32_t count = 0;

  for (guint i = 0; i < target->slots->len; i++)
    {
      const Slot *slot = slot_at (target, i);

      count += slot->flex == flex && !slot->retired && !slot->dropped;
    }
  return count;
}

/* The slot of a kind that is missed least: one that is idle, and of these the
   one that becomes usable last.  */
static Slot *
least_needed (const Target *target, gboolean flex)
{
  Slot *best = NULL;

  for (guint i = 0; i < target->slots->len; i++)
    {
      Slot *slot = slot_at (target, i);

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
retire_beyond (Target *target, gboolean flex, uint32_t keep)
{
  for (uint32_t kept = count_kept (target, flex); kept > keep; kept--)
    least_needed (target, flex)->retired = TRUE;
}

/* Takes retired slots back into use, those first that become usable first.  */
static void
restore_up_to (Target *target, gboolean flex, uint32_t want)
{
  for (uint32_t kept = count_kept (target, flex); kept < want; kept++)
    {
      Slot *best = NULL;

      for (guint i = 0; i < target->slots->len; i++)
        {
          Slot *slot = slot_at (target, i);

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
drop_retired (Target *target)
{
  for (guint i = target->slots->len; i-- > 0;)
    {
      Slot *slot = slot_at (target, i);

      if (!slot->retired || slot->dropped)
        continue;
      slot->dropped = TRUE;
      if (slot->use == NULL)
        g_ptr_array_remove_index_fast (target->slots, i);
    }
}

static void
add_up_to (Target *target, gboolean flex, uint32_t want, int64_t usable_at_us)
{
  for (uint32_t kept = count_kept (target, flex); kept < want; kept++)
    {
      Slot *slot = g_new0 (Slot, 1);

      slot->flex = flex;
      slot->usable_at_us = usable_at_us;
      g_ptr_array_add (target->slots, slot);
    }
}

gboolean
sl_set_holding (SlTable *table, const char *name, uint32_t base, uint32_t flex,
                int64_t usable_at_us, int64_t now_us, GError **error)
{
  Target *target;

  if (base > SL_TARGET_SLOTS || flex > SL_TARGET_SLOTS - base)
    {
      g_set_error (
          error, SL_ERROR, SL_ERROR_COUNT,
          "holding of %u base and %u flex slots of target %s is above "
          "the target's %d",
          base, flex, name, SL_TARGET_SLOTS);
      return FALSE;
    }
  target = find_or_add (table, name, now_us);
  reap (table, target, now_us);
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
  Target *target = find (table, name);

  if (target == NULL)
    return TRUE;
  reap (table, target, now_us);
  retire_beyond (target, FALSE, keep_base);
  retire_beyond (target, TRUE, keep_flex);
  for (guint i = 0; i < target->slots->len; i++)
    {
      const Slot *slot = slot_at (target, i);

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
  Target *target = find_or_add (table, name, now_us);

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

static uint32_t
limit_now (const Target *target, int64_t now_us)
{
  int64_t steps;

  if (!target->ramping)
    return target->aimd_limit;
  steps = MAX (now_us - target->ramp_from_us, 0) / SL_COLD_STEP_US;
  return (uint32_t)MIN (1 + steps, target->aimd_limit);
}

/* A whole answer tells how much the target can take; other ends do not raise
   the limit.  */
static void
learn (Target *target, SlOutcome outcome)
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

/* Flex slots go first: base slots are what is left when the lease lapses.  */
static Slot *
pick_slot (const SlTable *table, const Target *target, int64_t now_us)
{
  Slot *best = NULL;
  uint32_t in_use = 0;

  for (guint i = 0; i < target->slots->len; i++)
    {
      Slot *slot = slot_at (target, i);

      if (occupied (slot, now_us))
        in_use++;
      else if (usable (table, slot, now_us) && (best == NULL || slot->flex))
        best = slot;
    }
  return in_use < limit_now (target, now_us) ? best : NULL;
}

static Use *
begin_use (SlTable *table, UseKind kind, Target *target, Slot *slot,
           int64_t deadline_us)
{
  Use *use = g_new0 (Use, 1);

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
  Target *target = find (table, name);
  Slot *slot;

  if (target == NULL || deadline_us <= now_us)
    return FALSE;
  reap (table, target, now_us);
  slot = pick_slot (table, target, now_us);
  if (slot == NULL)
    return FALSE;
  deadline_us = MIN (deadline_us, now_us + SL_REQUEST_MAX_US);
  *ticket = begin_use (table, USE_OWN, target, slot, deadline_us)->id;
  return TRUE;
}

static Use *
find_ticket (const SlTable *table, SlTicket ticket)
{
  Use *use = g_hash_table_lookup (table->uses, &ticket);

  return use != NULL && use->kind != USE_LENT ? use : NULL;
}

gboolean
sl_valid (const SlTable *table, SlTicket ticket, int64_t now_us)
{
  const Use *use = find_ticket (table, ticket);

  return use != NULL && !use->released && now_us < use->deadline_us;
}

int64_t
sl_deadline_us (const SlTable *table, SlTicket ticket)
{
  const Use *use = find_ticket (table, ticket);

  return use != NULL ? use->deadline_us : INT64_MIN;
}

/* Ends USE, or lets it lapse where the request may still run.  */
static void
conclude (SlTable *table, Use *use, SlOutcome outcome, int64_t now_us)
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
give_back (SlTable *table, Use *use, SlOutcome outcome, int64_t now_us)
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
  Use *use = find_ticket (table, ticket);

  if (use == NULL || use->released)
    return;
  if (use->kind == USE_BORROWED)
    {
      if (outcome == SL_OUTCOME_LOST)
        use->released = TRUE;
      else
        give_back (table, use, outcome, now_us);
      return;
    }
  learn (use->target, outcome);
  conclude (table, use, outcome, now_us);
}

static void
purge_borrowers (Target *target, int64_t now_us)
{
  for (guint i = target->borrowers->len; i-- > 0;)
    {
      const Borrower *borrower
          = &g_array_index (target->borrowers, Borrower, i);

      if (borrower->grant_count == 0 && borrower->until_us <= now_us)
        g_array_remove_index_fast (target->borrowers, i);
    }
}

static uint32_t
count_held (const Target *target)
{
  uint32_t count = 0;

  for (guint i = 0; i < target->slots->len; i++)
    count += !slot_at (target, i)->dropped;
  return count;
}

/* The entry of VM among the borrowers, or NULL when there are too many.  */
static Borrower *
admit_borrower (Target *target, const char *vm, int64_t now_us)
{
  Borrower *known;
  Borrower added = { 0 };

  purge_borrowers (target, now_us);
  known = find_borrower (target, vm);
  if (known != NULL)
    return known;
  if (target->borrowers->len
      >= SL_BORROWERS_MAX * count_held (target) / SL_TARGET_SLOTS)
    return NULL;
  g_strlcpy (added.vm, vm, sizeof added.vm);
  g_array_append_val (target->borrowers, added);
  return find_borrower (target, vm);
}

gboolean
sl_lend (SlTable *table, const char *name, const char *borrower_vm,
         int64_t valid_us, int64_t now_us, SlGrant *grant)
{
  Target *target = find (table, name);
  Borrower *borrower;
  Slot *slot;
  Use *use;

  if (target == NULL || valid_us <= 0 || strlen (borrower_vm) >= SL_NAME_BYTES)
    return FALSE;
  reap (table, target, now_us);
  slot = pick_slot (table, target, now_us);
  if (slot == NULL)
    return FALSE;
  borrower = admit_borrower (target, borrower_vm, now_us);
  if (borrower == NULL)
    return FALSE;
  valid_us = MIN (valid_us, SL_REQUEST_MAX_US);
  use = begin_use (table, USE_LENT, target, slot, now_us + valid_us);
  g_strlcpy (use->vm, borrower_vm, sizeof use->vm);
  borrower->grant_count++;
  *grant = (SlGrant){ .id = use->id, .valid_us = valid_us };
  return TRUE;
}

void
sl_returned (SlTable *table, uint64_t grant_id, SlOutcome outcome,
             int64_t now_us)
{
  Use *use = g_hash_table_lookup (table->uses, &grant_id);

  if (use == NULL || use->kind != USE_LENT || use->released)
    return;
  learn (use->target, outcome);
  conclude (table, use, outcome, now_us);
}

gboolean
sl_borrowed (SlTable *table, const char *name, const char *lender,
             const SlGrant *grant, int64_t request_sent_us, int64_t now_us,
             SlTicket *ticket)
{
  int64_t valid_us = MIN (grant->valid_us, SL_REQUEST_MAX_US);
  Target *target;
  Use *use;

  if (request_sent_us + valid_us <= now_us || strlen (lender) >= SL_NAME_BYTES)
    return FALSE;
  target = find_or_add (table, name, now_us);
  use = begin_use (table, USE_BORROWED, target, NULL,
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
      Use *use = link->data;

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
      reap (table, data, now_us);
      purge_borrowers (data, now_us);
    }
  g_hash_table_iter_init (&iter, table->uses);
  while (g_hash_table_iter_next (&iter, NULL, &data))
    {
      const Use *use = data;

      if (use->kind != USE_BORROWED || use->end_us > now_us)
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
    next_us = MIN (next_us, ((const Use *)data)->end_us);
  for (const GList *link = table->returns.head; link != NULL;
       link = link->next)
    next_us = MIN (next_us, ((const Use *)link->data)->end_us);
  return next_us;
}

uint32_t
sl_connections_allowed (const SlTable *table, const char *name, int64_t now_us)
{
  const Target *target = find (table, name);
  uint32_t count;

  if (target == NULL)
    return 0;
  if (count_held (target) > 0)
    return SL_CONNECTIONS_MAX;
  count = target->borrowed_count;
  if (count > 0 || now_us < target->borrowed_until_us)
    count = target->borrowed_peak;
  for (guint i = 0; i < target->slots->len; i++)
    count += occupied (slot_at (target, i), now_us);
  return MIN (count, SL_CONNECTIONS_MAX);
}

SlState
sl_state (const SlTable *table, const char *name, int64_t now_us)
{
  const Target *target = find (table, name);
  SlState state = { 0 };
  uint32_t idle_count = 0;

  if (target == NULL)
    return state;
  for (guint i = 0; i < target->slots->len; i++)
    {
      const Slot *slot = slot_at (target, i);
      gboolean busy = occupied (slot, now_us);

      state.held_count += !slot->dropped;
      state.usable_count += usable (table, slot, now_us);
      state.in_use_count += busy;
      state.lent_count += busy && slot->use->kind == USE_LENT;
      idle_count += !busy && usable (table, slot, now_us);
    }
  state.limit_count = limit_now (target, now_us);
  if (state.in_use_count < state.limit_count)
    state.free_count
        = MIN (idle_count, state.limit_count - state.in_use_count);
  for (guint i = 0; i < target->borrowers->len; i++)
    {
      const Borrower *borrower
          = &g_array_index (target->borrowers, Borrower, i);

      state.borrower_count
          += borrower->grant_count > 0 || borrower->until_us > now_us;
    }
  state.borrowed_count = target->borrowed_count;
  return state;
}

static gboolean
refers_to (void *id, void *data, void *target)
{
  (void)id;
  return ((const Use *)data)->target == target;
}

gboolean
sl_forget (SlTable *table, const char *name, int64_t now_us)
{
  Target *target = find (table, name);

  if (target == NULL)
    return TRUE;
  sl_expire (table, now_us);
  if (target->slots->len > 0
      || g_hash_table_find (table->uses, refers_to, target) != NULL)
    return FALSE;
  return g_hash_table_remove (table->targets, name);
}
