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
  uint64_t place; /* group, delay, region and whether the VM is full */
  double draw;
  uint32_t index;
} Rank;

#define PLACE_GROUP_SHIFT 62
#define PLACE_DELAY_SHIFT 24
#define PLACE_REGION_SHIFT 1

static int
compare_ranks (const void *a, const void *b)
{
  const Rank *left = a;
  const Rank *right = b;

  if (left->place != right->place)
    return left->place < right->place ? -1 : 1;
  if (left->draw != right->draw)
    return left->draw < right->draw ? -1 : 1;
  return left->index < right->index ? -1 : 1;
}

/* The smaller, the earlier.  Ordered by such draws, each VM comes first with a
   probability in proportion to its weight.  */
static double
weighted_draw (uint64_t *random, uint32_t weight)
{
  double even = ((double)(sr_draw (random) >> 11) + 1) / 9007199254740992.0;

  return -log (even) / weight;
}

static uint64_t
place_of (const SrView *view, const SrVm *vm, uint32_t region)
{
  uint64_t full = vm->load_permille > SR_VM_FULL_PERMILLE;
  uint32_t at;

  g_assert (vm->zone < view->zone_count);
  at = view->zones[vm->zone].region;
  if (at != region)
    return (uint64_t)GROUP_ELSEWHERE << PLACE_GROUP_SHIFT
           | (uint64_t)view->regions[at].delay_us << PLACE_DELAY_SHIFT
           | (uint64_t)at << PLACE_REGION_SHIFT | full;
  if (vm->zone == view->own_zone)
    return (uint64_t)GROUP_OWN_ZONE << PLACE_GROUP_SHIFT | full;
  return (uint64_t)GROUP_REGION << PLACE_GROUP_SHIFT | full;
}

static Rank
rank_vm (const SrView *view, const SrVm *vm, uint32_t index, uint32_t region,
         uint64_t *random)
{
  uint32_t spare_permille = 1001 - MIN (vm->load_permille, 1000);

  return (Rank){ .place = place_of (view, vm, region),
                 .draw = weighted_draw (random, spare_permille),
                 .index = index };
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
