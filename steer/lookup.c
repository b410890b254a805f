#include "steer/steer.h"

#include <math.h>
#include <stdlib.h>

#include "steer/random.h"

typedef enum
{
  GROUP_OWN_ZONE,
  GROUP_REGION,
  GROUP_ELSEWHERE,
} Group;

typedef struct
{
  Group group;
  uint32_t delay_us; /* GROUP_ELSEWHERE only */
  uint32_t region;
  gboolean full;
  double draw;
  uint32_t index;
} Rank;

#define COMPARE(a, b) (((a) > (b)) - ((a) < (b)))

static int
compare_ranks (const void *a, const void *b)
{
  const Rank *left = a;
  const Rank *right = b;
  const int orders[] = {
    COMPARE (left->group, right->group),
    COMPARE (left->delay_us, right->delay_us),
    COMPARE (left->region, right->region),
    COMPARE (left->full, right->full),
    COMPARE (left->draw, right->draw),
    COMPARE (left->index, right->index),
  };

  for (size_t i = 0; i < G_N_ELEMENTS (orders); i++)
    if (orders[i] != 0)
      return orders[i];
  return 0;
}

/* The smaller, the earlier.  Ordered by such draws, each VM comes first with a
   probability in proportion to its weight.  */
static double
weighted_draw (uint64_t *random, uint32_t weight)
{
  double even = ((double)(sr_draw (random) >> 11) + 1) / 9007199254740992.0;

  return -log (even) / weight;
}

static Rank
rank_vm (const SrView *view, const SrVm *vm, uint32_t index, uint32_t region,
         uint64_t *random)
{
  uint32_t at;
  Rank rank = { .index = index };

  g_assert (vm->zone < view->zone_count);
  at = view->zones[vm->zone].region;
  if (at != region)
    {
      rank.group = GROUP_ELSEWHERE;
      rank.delay_us = view->regions[at].delay_us;
      rank.region = at;
    }
  else
    rank.group = vm->zone == view->own_zone ? GROUP_OWN_ZONE : GROUP_REGION;
  rank.full = vm->load_permille > SR_VM_FULL_PERMILLE;
  rank.draw = weighted_draw (random, 1001 - MIN (vm->load_permille, 1000));
  return rank;
}

uint32_t
sr_lookup_order (const SrView *view, const SrVm *vms, uint32_t vm_count,
                 uint32_t region, uint64_t random, uint32_t *order,
                 uint32_t order_max)
{
  Rank *ranks = g_new (Rank, vm_count);
  uint32_t count = 0;

  if (region == SR_NONE)
    region = view->zones[view->own_zone].region;
  for (uint32_t i = 0; i < vm_count; i++)
    if (!vms[i].leaving)
      ranks[count++] = rank_vm (view, &vms[i], i, region, &random);
  if (count > 0)
    qsort (ranks, count, sizeof *ranks, compare_ranks);
  count = MIN (count, order_max);
  for (uint32_t i = 0; i < count; i++)
    order[i] = ranks[i].index;
  g_free (ranks);
  return count;
}
