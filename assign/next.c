/* What a member changes in the document.  */

#include "assign/internal.h"

#include <stdlib.h>
#include <string.h>

/* Pause between the live members that may reduce a fenced entry.  */
#define REDUCE_RANK_MS 1000

typedef enum
{
  PART_BASE,
  PART_FLEX,
  PARTS,
} Part;

static const uint32_t part_weight[PARTS] = { AS_BASE_WEIGHT, AS_FLEX_WEIGHT };

static uint32_t *
weight_of (AsMember *member, Part part)
{
  return part == PART_BASE ? &member->base : &member->flex;
}

static uint32_t *
free_of (AsDoc *doc, Part part)
{
  return part == PART_BASE ? &doc->free_base : &doc->free_flex;
}

static const AsFenced *
find_fenced (const AsView *view, const AsMember *member)
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

/* Place of self among the live members in the order that VM's hash gives.  */
static uint32_t
reduce_rank (const AsView *view, const char *vm)
{
  uint64_t own = as_hash (view->self.vm, vm);
  uint32_t rank = 0;

  for (uint32_t i = 0; i < view->live_count; i++)
    if (strcmp (view->live[i].vm, view->self.vm) != 0
        && as_hash (view->live[i].vm, vm) > own)
      rank++;
  return rank;
}

static void
withhold (AsDoc *doc, AsMember *member, gboolean with_base, int64_t wall_ms)
{
  for (guint i = 0; i < member->slots->len;)
    {
      AsSlot *slot = g_ptr_array_index (member->slots, i);

      as_add_withheld (doc, slot->target, with_base ? slot->base : 0,
                       slot->flex, wall_ms + AS_WITHHOLD_MS);
      slot->flex = 0;
      if (with_base)
        slot->base = 0;
      if (slot->base == 0)
        g_ptr_array_remove_index (member->slots, i);
      else
        i++;
    }
}

static gboolean
holds_flex (const AsMember *member)
{
  for (guint i = 0; i < member->slots->len; i++)
    if (((AsSlot *)g_ptr_array_index (member->slots, i))->flex > 0)
      return TRUE;
  return member->flex > 0;
}

/* Returns whether the entry at INDEX changed; it may be gone then.  */
static gboolean
reduce_fenced (AsDoc *doc, guint index, const AsView *view, int64_t wall_ms)
{
  AsMember *member = g_ptr_array_index (doc->members, index);
  const AsFenced *fenced = find_fenced (view, member);
  gboolean whole;
  int64_t from_ms;

  if (fenced == NULL || is_self (view, member))
    return FALSE;
  whole
      = fenced->released || wall_ms >= fenced->fenced_at_ms + AS_BASE_WAIT_MS;
  if (!whole && !holds_flex (member))
    return FALSE;
  from_ms = fenced->fenced_at_ms;
  if (!fenced->released && whole)
    from_ms += AS_BASE_WAIT_MS;
  if (wall_ms
      < from_ms + (int64_t)reduce_rank (view, member->vm) * REDUCE_RANK_MS)
    return FALSE;
  doc->free_flex += member->flex;
  member->flex = 0;
  withhold (doc, member, whole, wall_ms);
  if (!whole)
    return TRUE;
  doc->free_base += member->base;
  g_ptr_array_remove_index (doc->members, index);
  return TRUE;
}

static gboolean
reduce_all_fenced (AsDoc *doc, const AsView *view, int64_t wall_ms)
{
  gboolean changed = FALSE;

  for (guint i = doc->members->len; i > 0; i--)
    changed |= reduce_fenced (doc, i - 1, view, wall_ms);
  return changed;
}

typedef struct
{
  const AsMember *member;
  uint32_t weight;
} Rank;

static int
compare_ranks (const void *a, const void *b)
{
  const Rank *x = a;
  const Rank *y = b;

  if (x->weight != y->weight)
    return x->weight < y->weight ? -1 : 1;
  return strcmp (x->member->vm, y->member->vm);
}

/* Members that take part in the distribution, those with the least first.  */
static GArray *
rank_members (const AsDoc *doc, const AsView *view, Part part)
{
  GArray *ranks = g_array_new (FALSE, FALSE, sizeof (Rank));

  for (guint i = 0; i < doc->members->len; i++)
    {
      AsMember *member = g_ptr_array_index (doc->members, i);
      Rank rank = { member, *weight_of (member, part) };

      if (find_fenced (view, member) == NULL || is_self (view, member))
        g_array_append_val (ranks, rank);
    }
  g_array_sort (ranks, compare_ranks);
  return ranks;
}

/* How much the members below the tolerance lack beyond what is free.  */
static uint32_t
shortage (const GArray *ranks, uint32_t low, uint32_t free)
{
  uint64_t lack = 0;

  for (guint i = 0; i < ranks->len; i++)
    {
      uint32_t weight = g_array_index (ranks, Rank, i).weight;
      if (weight < low)
        lack += low - weight;
    }
  return lack > free ? (uint32_t)(lack - free) : 0;
}

/* The weight that those with the most give, so that the others get theirs. */
static uint32_t
lower_for_others (const GArray *ranks, const AsView *view, uint32_t low,
                  uint32_t lack, uint32_t weight)
{
  for (guint i = ranks->len; i > 0 && lack > 0; i--)
    {
      const Rank *rank = &g_array_index (ranks, Rank, i - 1);

      if (rank->weight <= low)
        break;
      if (is_self (view, rank->member))
        return low;
      lack -= MIN (lack, rank->weight - low);
    }
  return weight;
}

/* The weight to move to, from WEIGHT.  */
static uint32_t
aim_at (const AsDoc *doc, const AsView *view, Part part, uint32_t weight)
{
  g_autoptr (GArray) ranks = rank_members (doc, view, part);
  uint32_t free = *free_of ((AsDoc *)doc, part);
  uint32_t aim = part_weight[part] / MAX (ranks->len, 1);
  uint32_t low = aim - aim / AS_WEIGHT_TOLERANCE;
  uint32_t high = aim + aim / AS_WEIGHT_TOLERANCE;

  if (view->leaving)
    return 0;
  if (weight > high)
    return aim;
  if (weight < low)
    return weight + MIN (free, aim - weight);
  if (shortage (ranks, low, free) > 0)
    return lower_for_others (ranks, view, low, shortage (ranks, low, free),
                             weight);
  /* What nobody lacks goes to the one with the least.  */
  if (free > 0 && is_self (view, g_array_index (ranks, Rank, 0).member))
    return weight + MIN (free, high - weight);
  return weight;
}

static gboolean
move_weight (AsDoc *doc, AsMember *own, const AsView *view, Part part)
{
  uint32_t in_use = part == PART_BASE ? view->base_in_use : view->flex_in_use;
  uint32_t *weight = weight_of (own, part);
  uint32_t aim = aim_at (doc, view, part, *weight);

  if (aim < *weight)
    aim = MIN (MAX (aim, in_use), *weight);
  if (aim == *weight)
    return FALSE;
  *free_of (doc, part) += *weight;
  *free_of (doc, part) -= aim;
  *weight = aim;
  return TRUE;
}

gboolean
as_keeps_slots (const AsView *view, const AsTarget *target, int64_t wall_ms)
{
  if (view->leaving)
    return FALSE;
  if (target->preferred == NULL
      || strcmp (target->preferred, view->self.vm) == 0)
    return TRUE;
  return wall_ms < target->preferred_since_ms + AS_PREFERRED_MS;
}

static const AsTarget *
find_target (const AsView *view, const char *name)
{
  for (uint32_t i = 0; i < view->target_count; i++)
    if (strcmp (view->targets[i].target, name) == 0)
      return &view->targets[i];
  return NULL;
}

static gboolean
release_slot (AsMember *own, guint index, const AsView *view)
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

      /* An empty list is a list that couldn't be read.  */
      if (target == NULL && view->target_count == 0 && !view->leaving)
        continue;
      if (target == NULL || !as_keeps_slots (view, target, wall_ms))
        changed |= release_slot (own, i - 1, view);
    }
  return changed;
}

static gboolean
drop_withheld (AsDoc *doc, int64_t wall_ms)
{
  guint before = doc->withheld->len;

  for (guint i = before; i > 0; i--)
    {
      const AsWithheld *withheld = g_ptr_array_index (doc->withheld, i - 1);
      if (wall_ms >= withheld->until_ms)
        g_ptr_array_remove_index (doc->withheld, i - 1);
    }
  return doc->withheld->len != before;
}

static void
take_off (const char *target, const char *holder, uint32_t base, uint32_t flex,
          uint32_t left[PARTS])
{
  if (strcmp (target, holder) != 0)
    return;
  left[PART_BASE] -= MIN (base, left[PART_BASE]);
  left[PART_FLEX] -= MIN (flex, left[PART_FLEX]);
}

static gboolean
claim_slots (AsDoc *doc, AsMember *own, const AsTarget *target)
{
  uint32_t left[PARTS] = { AS_SLOT_BASE, AS_SLOT_FLEX };
  AsSlot *slot;

  for (guint i = 0; i < doc->members->len; i++)
    {
      const AsMember *member = g_ptr_array_index (doc->members, i);
      const AsSlot *held = as_find_slot (member, target->target);

      if (held != NULL)
        take_off (target->target, held->target, held->base, held->flex, left);
    }
  for (guint i = 0; i < doc->withheld->len; i++)
    {
      const AsWithheld *withheld = g_ptr_array_index (doc->withheld, i);
      take_off (target->target, withheld->target, withheld->base,
                withheld->flex, left);
    }
  if (left[PART_BASE] + left[PART_FLEX] == 0)
    return FALSE;
  slot = (AsSlot *)as_find_slot (own, target->target);
  if (slot == NULL)
    {
      slot = as_slot_new (target->target, 0, 0);
      g_ptr_array_add (own->slots, slot);
    }
  slot->base += left[PART_BASE];
  slot->flex += left[PART_FLEX];
  return TRUE;
}

static gboolean
claim_all_slots (AsDoc *doc, AsMember *own, const AsView *view,
                 int64_t wall_ms)
{
  gboolean changed = FALSE;

  if (view->leaving)
    return FALSE;
  for (uint32_t i = 0; i < view->target_count; i++)
    {
      const AsTarget *target = &view->targets[i];

      if (target->preferred != NULL
          && strcmp (target->preferred, view->self.vm) == 0
          && wall_ms >= target->preferred_since_ms + AS_CLAIM_MS)
        changed |= claim_slots (doc, own, target);
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

/* Finds the own entry, adds it, or takes it over from a former process or
   incarnation.  */
static AsMember *
own_entry (AsDoc *doc, const AsView *view, int64_t wall_ms, gboolean *changed)
{
  AsMember *own = (AsMember *)as_find (doc, view->self.vm);

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
    withhold (doc, own, TRUE, wall_ms);
  *changed = TRUE;
  return own;
}

static gboolean
change (AsDoc *doc, const AsView *view, int64_t wall_ms)
{
  gboolean changed = reduce_all_fenced (doc, view, wall_ms);
  AsMember *own = own_entry (doc, view, wall_ms, &changed);
  /* Ended entries are no reason for a write of their own.  */
  gboolean dropped = drop_withheld (doc, wall_ms);

  (void)dropped;
  if (own == NULL)
    return changed;
  for (int part = 0; part < PARTS; part++)
    changed |= move_weight (doc, own, view, (Part)part);
  changed |= release_slots (own, view, wall_ms);
  changed |= claim_all_slots (doc, own, view, wall_ms);
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
as_next (const AsDoc *doc, const AsView *view, int64_t wall_ms)
{
  AsDoc *next;
  g_autoptr (GError) error = NULL;

  if (!view->active)
    return NULL;
  next = as_copy (doc);
  if (!change (next, view, wall_ms))
    {
      as_free (next);
      return NULL;
    }
  next->version++;
  if (!as_check (next, &error))
    g_error ("assignment after a change: %s", error->message);
  return next;
}

AsAim
as_aim (const AsDoc *doc, const AsView *view)
{
  const AsMember *own = as_find (doc, view->self.vm);
  AsAim aim = { 0, 0 };

  if (own == NULL)
    return aim;
  aim.base = MIN (own->base, aim_at (doc, view, PART_BASE, own->base));
  if (own->incarnation == view->incarnation)
    aim.flex = MIN (own->flex, aim_at (doc, view, PART_FLEX, own->flex));
  return aim;
}

uint32_t
as_retry_ms (uint32_t attempt, uint32_t random)
{
  uint32_t range = 50U << MIN (attempt, 5);

  return 1 + random % MIN (range, AS_RETRY_MAX_MS);
}
