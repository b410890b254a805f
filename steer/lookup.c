#include "steer/steer.h"

#include <math.h>
#include <stdlib.h>

#include "steer/random.h"

typedef enum
{
  GROUP_OWN_ZONE,
  GROUP_CALLER_REGION,
  GROUP_OTHER_REGION,
} Group;

typedef struct
{
  /* From the highest bits: group, delay, region, whether the VM is full.  */
  uint64_t sort_key;
  double random_key;
  uint32_t index;
} Candidate;

#define KEY_GROUP_SHIFT 62
#define KEY_DELAY_SHIFT 24
#define KEY_REGION_SHIFT 1

static int
compare_candidates (const void *a, const void *b)
{
  const Candidate *left = a;
  const Candidate *right = b;

  if (left->sort_key != right->sort_key)
    return left->sort_key < right->sort_key ? -1 : 1;
  if (left->random_key != right->random_key)
    return left->random_key < right->random_key ? -1 : 1;
  return left->index < right->index ? -1 : 1;
}

/* Exponentially distributed with rate WEIGHT.  In ascending order of these
   keys, each VM comes first with a probability proportional to its weight.  A
   uniform number of 0 is avoided, since it has no logarithm.  */
static double
weighted_random_key (uint64_t *random, uint32_t weight)
{
  double uniform
      = ((double)(sr_random_u64 (random) >> 11) + 1) / 9007199254740992.0;

  return -log (uniform) / weight;
}

static uint64_t
make_sort_key (const SrView *view, const SrVm *vm, uint32_t region)
{
  uint64_t full = vm->load_permille > SR_VM_FULL_PERMILLE;
  uint32_t vm_region;

  g_assert (vm->zone < view->zone_count);
  vm_region = view->zones[vm->zone].region;
  if (vm_region != region)
    return (uint64_t)GROUP_OTHER_REGION << KEY_GROUP_SHIFT
           | (uint64_t)view->regions[vm_region].delay_us << KEY_DELAY_SHIFT
           | (uint64_t)vm_region << KEY_REGION_SHIFT | full;
  if (vm->zone == view->own_zone)
    return (uint64_t)GROUP_OWN_ZONE << KEY_GROUP_SHIFT | full;
  return (uint64_t)GROUP_CALLER_REGION << KEY_GROUP_SHIFT | full;
}

static Candidate
make_candidate (const SrView *view, const SrVm *vm, uint32_t index,
                uint32_t region, uint64_t *random)
{
  /* At least 1, since a weight must not be 0.  */
  uint32_t spare_permille = 1001 - MIN (vm->load_permille, 1000);

  return (Candidate){ .sort_key = make_sort_key (view, vm, region),
                      .random_key
                      = weighted_random_key (random, spare_permille),
                      .index = index };
}

uint32_t
sr_lookup_order (const SrView *view, const SrVm *vms, uint32_t vm_count,
                 uint32_t region, uint64_t random, uint32_t *order,
                 uint32_t order_max)
{
  Candidate *candidates = g_new (Candidate, vm_count);
  uint32_t count = 0;

  if (region == SR_NONE)
    region = view->zones[view->own_zone].region;
  for (uint32_t i = 0; i < vm_count; i++)
    if (!vms[i].leaving)
      candidates[count++] = make_candidate (view, &vms[i], i, region, &random);
  if (count > 0)
    qsort (candidates, count, sizeof *candidates, compare_candidates);
  count = MIN (count, order_max);
  for (uint32_t i = 0; i < count; i++)
    order[i] = candidates[i].index;
  g_free (candidates);
  return count;
}
