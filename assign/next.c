/* Computes the changes that a member makes to the assignment document.  */

#include "assign/internal.h"

#include <stdlib.h>
#include <string.h>

/* Delay between the attempts of successive live members to reclaim a fenced
   entry.  */
#define RECLAIM_STAGGER_MS 1000

typedef enum
{
  SHARE_BASE,
  SHARE_FLEX,
  SHARE_COUNT,
} Share;

static const uint32_t total_weight[SHARE_COUNT]
    = { AS_BASE_WEIGHT, AS_FLEX_WEIGHT };

static uint32_t *
member_weight (AsMember *member, Share share)
{
  return share == SHARE_BASE ? &member->base : &member->flex;
}

static uint32_t *
free_weight (AsDoc *doc, Share share)
{
  return share == SHARE_BASE ? &doc->free_base : &doc->free_flex;
}

/* Returns the fenced lease of MEMBER, or NULL if there is none or the entry is
   of a later incarnation.  */
static const AsFencedLease *
find_fenced_lease (const AsView *view, const AsMember *member)
{
  for (uint32_t i = 0; i < view->fenced_count; i++)
    if (strcmp (view->fenced[i].vm, member->vm) == 0
        && member->incarnation <= view->fenced[i].incarnation)
      return &view->fenced[i];
  return NULL;
}

static gboolean
is_self (const AsView *view, const AsMember *member)
{
  return strcmp (view->self.vm, member->vm) == 0;
}

/* Number of live members that precede self in the rendezvous hash order for
   VM.  */
static uint32_t
reclaim_rank (const AsView *view, const char *vm)
{
  uint64_t own = as_rendezvous_hash (view->self.vm, vm);
  uint32_t rank = 0;

  for (uint32_t i = 0; i < view->live_count; i++)
    if (strcmp (view->live[i].vm, view->self.vm) != 0
        && as_rendezvous_hash (view->live[i].vm, vm) > own)
      rank++;
  return rank;
}

/* Withholds the flex slots of MEMBER, and its base slots if INCLUDE_BASE.  */
static void
withhold_slots (AsDoc *doc, AsMember *member, gboolean include_base,
                int64_t wall_ms)
{
  for (guint i = 0; i < member->slots->len;)
    {
      AsSlot *slot = g_ptr_array_index (member->slots, i);

      as_add_withheld (doc, slot->target, include_base ? slot->base : 0,
                       slot->flex, wall_ms + AS_WITHHOLD_MS);
      slot->flex = 0;
      if (include_base)
        slot->base = 0;
      if (slot->base == 0)
        g_ptr_array_remove_index (member->slots, i);
      else
        i++;
    }
}

static gboolean
has_flex (const AsMember *member)
{
  for (guint i = 0; i < member->slots->len; i++)
    if (((AsSlot *)g_ptr_array_index (member->slots, i))->flex > 0)
      return TRUE;
  return member->flex > 0;
}

/* Returns TRUE if the entry at INDEX was changed or removed.  */
static gboolean
reclaim_entry (AsDoc *doc, guint index, const AsView *view, int64_t wall_ms)
{
  AsMember *member = g_ptr_array_index (doc->members, index);
  const AsFencedLease *fenced = find_fenced_lease (view, member);
  gboolean reclaim_base;
  int64_t eligible_ms;

  if (fenced == NULL || is_self (view, member))
    return FALSE;
  reclaim_base = fenced->released
                 || wall_ms >= fenced->fenced_at_ms + AS_BASE_RECLAIM_MS;
  if (!reclaim_base && !has_flex (member))
    return FALSE;
  eligible_ms = fenced->fenced_at_ms;
  if (!fenced->released && reclaim_base)
    eligible_ms += AS_BASE_RECLAIM_MS;
  if (wall_ms
      < eligible_ms
            + (int64_t)reclaim_rank (view, member->vm) * RECLAIM_STAGGER_MS)
    return FALSE;
  doc->free_flex += member->flex;
  member->flex = 0;
  withhold_slots (doc, member, reclaim_base, wall_ms);
  if (!reclaim_base)
    return TRUE;
  doc->free_base += member->base;
  g_ptr_array_remove_index (doc->members, index);
  return TRUE;
}

static gboolean
reclaim_fenced_entries (AsDoc *doc, const AsView *view, int64_t wall_ms)
{
  gboolean changed = FALSE;

  for (guint i = doc->members->len; i > 0; i--)
    changed |= reclaim_entry (doc, i - 1, view, wall_ms);
  return changed;
}

typedef struct
{
  const AsMember *member;
  uint32_t weight;
} MemberWeight;

static int
compare_member_weights (const void *a, const void *b)
{
  const MemberWeight *x = a;
  const MemberWeight *y = b;

  if (x->weight != y->weight)
    return x->weight < y->weight ? -1 : 1;
  return strcmp (x->member->vm, y->member->vm);
}

/* Self and the members that are not fenced, in order of increasing weight.  */
static GArray *
members_by_weight (const AsDoc *doc, const AsView *view, Share share)
{
  GArray *by_weight = g_array_new (FALSE, FALSE, sizeof (MemberWeight));

  for (guint i = 0; i < doc->members->len; i++)
    {
      AsMember *member = g_ptr_array_index (doc->members, i);
      MemberWeight entry = { member, *member_weight (member, share) };

      if (find_fenced_lease (view, member) == NULL || is_self (view, member))
        g_array_append_val (by_weight, entry);
    }
  g_array_sort (by_weight, compare_member_weights);
  return by_weight;
}

/* Weight that the members below MIN_WEIGHT lack to reach it, beyond what is
   free.  */
static uint32_t
weight_shortage (const GArray *by_weight, uint32_t min_weight, uint32_t free)
{
  uint64_t missing = 0;

  for (guint i = 0; i < by_weight->len; i++)
    {
      uint32_t weight = g_array_index (by_weight, MemberWeight, i).weight;
      if (weight < min_weight)
        missing += min_weight - weight;
    }
  return missing > free ? (uint32_t)(missing - free) : 0;
}

/* Returns self's weight, now WEIGHT, after the members with the highest
   weights have given up MISSING in total, none of them going below
   MIN_WEIGHT.  */
static uint32_t
reduce_for_shortage (const GArray *by_weight, const AsView *view,
                     uint32_t min_weight, uint32_t missing, uint32_t weight)
{
  for (guint i = by_weight->len; i > 0 && missing > 0; i--)
    {
      const MemberWeight *entry
          = &g_array_index (by_weight, MemberWeight, i - 1);

      if (entry->weight <= min_weight)
        break;
      if (is_self (view, entry->member))
        return min_weight;
      missing -= MIN (missing, entry->weight - min_weight);
    }
  return weight;
}

/* Returns the weight that self should change to from WEIGHT.  */
static uint32_t
desired_weight (const AsDoc *doc, const AsView *view, Share share,
                uint32_t weight)
{
  g_autoptr (GArray) by_weight = members_by_weight (doc, view, share);
  uint32_t free = *free_weight ((AsDoc *)doc, share);
  uint32_t even_weight = total_weight[share] / MAX (by_weight->len, 1);
  uint32_t min_weight
      = even_weight - even_weight / AS_WEIGHT_TOLERANCE_DIVISOR;
  uint32_t max_weight
      = even_weight + even_weight / AS_WEIGHT_TOLERANCE_DIVISOR;

  if (view->leaving)
    return 0;
  if (weight > max_weight)
    return even_weight;
  if (weight < min_weight)
    return weight + MIN (free, even_weight - weight);
  if (weight_shortage (by_weight, min_weight, free) > 0)
    return reduce_for_shortage (by_weight, view, min_weight,
                                weight_shortage (by_weight, min_weight, free),
                                weight);
  /* Spare free weight goes to the member with the lowest weight.  */
  if (free > 0
      && is_self (view, g_array_index (by_weight, MemberWeight, 0).member))
    return weight + MIN (free, max_weight - weight);
  return weight;
}

static gboolean
update_weight (AsDoc *doc, AsMember *own, const AsView *view, Share share)
{
  uint32_t in_use
      = share == SHARE_BASE ? view->base_in_use : view->flex_in_use;
  uint32_t *weight = member_weight (own, share);
  uint32_t desired = desired_weight (doc, view, share, *weight);

  if (desired < *weight)
    desired = MIN (MAX (desired, in_use), *weight);
  if (desired == *weight)
    return FALSE;
  *free_weight (doc, share) += *weight;
  *free_weight (doc, share) -= desired;
  *weight = desired;
  return TRUE;
}

gboolean
as_keeps_slots (const AsView *view, const AsTarget *target, int64_t wall_ms)
{
  if (view->leaving)
    return FALSE;
  if (target->preferred_vm == NULL
      || strcmp (target->preferred_vm, view->self.vm) == 0)
    return TRUE;
  return wall_ms < target->preferred_since_ms + AS_RELEASE_DELAY_MS;
}

static const AsTarget *
find_target (const AsView *view, const char *name)
{
  for (uint32_t i = 0; i < view->target_count; i++)
    if (strcmp (view->targets[i].target, name) == 0)
      return &view->targets[i];
  return NULL;
}

/* Reduces the own slots of one target to those in use.  */
static gboolean
release_target_slots (AsMember *own, guint index, const AsView *view)
{
  AsSlot *slot = g_ptr_array_index (own->slots, index);
  uint32_t base = 0;
  uint32_t flex = 0;
  gboolean changed;

  for (uint32_t i = 0; i < view->slot_in_use_count; i++)
    if (strcmp (view->slots_in_use[i].target, slot->target) == 0)
      {
        base = MIN (view->slots_in_use[i].base, slot->base);
        flex = MIN (view->slots_in_use[i].flex, slot->flex);
      }
  changed = base != slot->base || flex != slot->flex;
  slot->base = base;
  slot->flex = flex;
  if (base + flex == 0)
    g_ptr_array_remove_index (own->slots, index);
  return changed;
}

static gboolean
release_slots (AsMember *own, const AsView *view, int64_t wall_ms)
{
  gboolean changed = FALSE;

  for (guint i = own->slots->len; i > 0; i--)
    {
      const AsSlot *slot = g_ptr_array_index (own->slots, i - 1);
      const AsTarget *target = find_target (view, slot->target);

      /* An empty list means that it could not be read.  */
      if (target == NULL && view->target_count == 0 && !view->leaving)
        continue;
      if (target == NULL || !as_keeps_slots (view, target, wall_ms))
        changed |= release_target_slots (own, i - 1, view);
    }
  return changed;
}

static gboolean
expire_withheld (AsDoc *doc, int64_t wall_ms)
{
  guint count_before = doc->withheld->len;

  for (guint i = count_before; i > 0; i--)
    {
      const AsWithheld *withheld = g_ptr_array_index (doc->withheld, i - 1);
      if (wall_ms >= withheld->until_ms)
        g_ptr_array_remove_index (doc->withheld, i - 1);
    }
  return doc->withheld->len != count_before;
}

static void
subtract_slots (const char *target, const char *held_target, uint32_t base,
                uint32_t flex, uint32_t unassigned[SHARE_COUNT])
{
  if (strcmp (target, held_target) != 0)
    return;
  unassigned[SHARE_BASE] -= MIN (base, unassigned[SHARE_BASE]);
  unassigned[SHARE_FLEX] -= MIN (flex, unassigned[SHARE_FLEX]);
}

/* Adds all slots of TARGET that are neither assigned nor withheld to OWN.  */
static gboolean
claim_target_slots (AsDoc *doc, AsMember *own, const AsTarget *target)
{
  uint32_t unassigned[SHARE_COUNT] = { AS_BASE_SLOTS, AS_FLEX_SLOTS };
  AsSlot *slot;

  for (guint i = 0; i < doc->members->len; i++)
    {
      const AsMember *member = g_ptr_array_index (doc->members, i);
      const AsSlot *held = as_find_slot (member, target->target);

      if (held != NULL)
        subtract_slots (target->target, held->target, held->base, held->flex,
                        unassigned);
    }
  for (guint i = 0; i < doc->withheld->len; i++)
    {
      const AsWithheld *withheld = g_ptr_array_index (doc->withheld, i);
      subtract_slots (target->target, withheld->target, withheld->base,
                      withheld->flex, unassigned);
    }
  if (unassigned[SHARE_BASE] + unassigned[SHARE_FLEX] == 0)
    return FALSE;
  slot = (AsSlot *)as_find_slot (own, target->target);
  if (slot == NULL)
    {
      slot = as_slot_new (target->target, 0, 0);
      g_ptr_array_add (own->slots, slot);
    }
  slot->base += unassigned[SHARE_BASE];
  slot->flex += unassigned[SHARE_FLEX];
  return TRUE;
}

static gboolean
claim_preferred_slots (AsDoc *doc, AsMember *own, const AsView *view,
                       int64_t wall_ms)
{
  gboolean changed = FALSE;

  if (view->leaving)
    return FALSE;
  for (uint32_t i = 0; i < view->target_count; i++)
    {
      const AsTarget *target = &view->targets[i];

      if (target->preferred_vm != NULL
          && strcmp (target->preferred_vm, view->self.vm) == 0
          && wall_ms >= target->preferred_since_ms + AS_CLAIM_DELAY_MS)
        changed |= claim_target_slots (doc, own, target);
    }
  return changed;
}

static int
compare_members (const void *a, const void *b)
{
  const AsMember *const *x = a;
  const AsMember *const *y = b;

  return strcmp ((*x)->vm, (*y)->vm);
}

/* Returns the own entry.  Adds it if it is missing, and takes it over from an
   earlier process or incarnation.  */
static AsMember *
ensure_own_entry (AsDoc *doc, const AsView *view, int64_t wall_ms,
                  gboolean *changed)
{
  AsMember *own = (AsMember *)as_find_member (doc, view->self.vm);

  if (own == NULL)
    {
      if (view->leaving)
        return NULL;
      own = as_member_new (view->self.vm, view->self.zone);
      own->incarnation = view->incarnation;
      g_ptr_array_add (doc->members, own);
      g_ptr_array_sort (doc->members, compare_members);
      *changed = TRUE;
      return own;
    }
  if (strcmp (own->zone, view->self.zone) != 0)
    {
      g_free (own->zone);
      own->zone = g_strdup (view->self.zone);
      *changed = TRUE;
    }
  if (own->incarnation >= view->incarnation)
    return own;
  own->incarnation = view->incarnation;
  if (view->restarted)
    withhold_slots (doc, own, TRUE, wall_ms);
  *changed = TRUE;
  return own;
}

static gboolean
update_doc (AsDoc *doc, const AsView *view, int64_t wall_ms)
{
  gboolean changed = reclaim_fenced_entries (doc, view, wall_ms);
  AsMember *own = ensure_own_entry (doc, view, wall_ms, &changed);
  /* Expired withheld slots alone do not justify a write.  */
  gboolean expired = expire_withheld (doc, wall_ms);

  (void)expired;
  if (own == NULL)
    return changed;
  for (int share = 0; share < SHARE_COUNT; share++)
    changed |= update_weight (doc, own, view, (Share)share);
  changed |= release_slots (own, view, wall_ms);
  changed |= claim_preferred_slots (doc, own, view, wall_ms);
  if (view->leaving && own->base + own->flex == 0 && own->slots->len == 0)
    {
      g_ptr_array_remove (doc->members, own);
      return TRUE;
    }
  if (!changed)
    return FALSE;
  g_free (own->op_id);
  own->op_id = g_strdup (view->op_id);
  return TRUE;
}

AsDoc *
as_next_doc (const AsDoc *doc, const AsView *view, int64_t wall_ms)
{
  AsDoc *next;
  g_autoptr (GError) error = NULL;

  if (!view->lease_active)
    return NULL;
  next = as_copy (doc);
  if (!update_doc (next, view, wall_ms))
    {
      as_free (next);
      return NULL;
    }
  next->version++;
  if (!as_check (next, &error))
    g_error ("computed assignment is invalid: %s", error->message);
  return next;
}

AsWeights
as_usable_weights (const AsDoc *doc, const AsView *view)
{
  const AsMember *own = as_find_member (doc, view->self.vm);
  AsWeights weights = { 0, 0 };

  if (own == NULL)
    return weights;
  weights.base
      = MIN (own->base, desired_weight (doc, view, SHARE_BASE, own->base));
  if (own->incarnation == view->incarnation)
    weights.flex
        = MIN (own->flex, desired_weight (doc, view, SHARE_FLEX, own->flex));
  return weights;
}

uint32_t
as_retry_delay_ms (uint32_t attempt, uint32_t random)
{
  uint32_t range = 50U << MIN (attempt, 5);

  return 1 + random % MIN (range, AS_RETRY_DELAY_MAX_MS);
}
