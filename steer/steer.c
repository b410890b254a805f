#include "steer/steer.h"

#include <math.h>
#include <string.h>

#include "steer/random.h"

#define REGIONS_MAX 64

/* With fewer expected free slots of a target, requesting one costs more
   messages than it saves waiting.  */
#define EXPECTED_FREE_MIN 0.3

/* Reports older than this many latencies of the target are ignored, since
   their weight would be less than 1%.  */
#define REPORT_AGE_MAX_LATENCIES 5

typedef struct
{
  const SrView *view;
  const SrRequest *request;
  uint64_t random;
  uint32_t own_region;
  double mean_lender_free; /* reported free slots per lender in the view */
} Context;

/* Up to two targets, a uniform sample of those that were added.  */
typedef struct
{
  uint32_t count; /* of targets added */
  uint32_t targets[2];
} Sample;

/* Groups of the targets of a region, in order of preference.  ZONE is the
   daemon's own zone, REGION any other zone.  OWN stands for a slot that the
   daemon holds, which needs no message, BORROWED for one of a lender.  */
typedef enum
{
  TIER_ZONE_OWN,
  TIER_ZONE_BORROWED,
  TIER_REGION_OWN,
  TIER_REGION_BORROWED,
  TIER_SHEDDING, /* above SR_SHED_MAX_PERMILLE, in any zone */
  TIER_COUNT,
} Tier;

static uint32_t
target_region (const SrView *view, const SrTarget *target)
{
  g_assert (target->zone < view->zone_count);
  return view->zones[target->zone].region;
}

static gboolean
was_tried (const SrRequest *request, uint32_t target)
{
  for (uint32_t i = 0; i < request->tried_count; i++)
    if (request->tried[i] == target)
      return TRUE;
  return FALSE;
}

/* TRUE if no policy may choose the target, even if there is no other.  */
static gboolean
is_excluded (const Context *context, uint32_t index)
{
  const SrTarget *target = &context->view->targets[index];

  return !target->healthy || target->draining
         || was_tried (context->request, index);
}

static gboolean
link_has_capacity (const Context *context, uint32_t region)
{
  g_assert (region < context->view->region_count);
  return region == context->own_region
         || context->view->regions[region].link_bytes
                >= context->request->bytes;
}

static uint32_t
reported_free (const SrTarget *target)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < target->lender_count; i++)
    count += target->lenders[i].free_count;
  return count;
}

static gboolean
has_free_slot (const SrTarget *target)
{
  return target->own_free_count > 0 || reported_free (target) > 0;
}

static uint32_t
target_latency_us (const SrTarget *target)
{
  return target->latency_us > 0 ? target->latency_us : SR_LATENCY_DEFAULT_US;
}

static double
mean_lender_free (const SrView *view)
{
  uint64_t free_count = 0;
  uint64_t lender_count = 0;

  for (uint32_t i = 0; i < view->target_count; i++)
    {
      free_count += reported_free (&view->targets[i]);
      lender_count += view->targets[i].lender_count;
    }
  return lender_count > 0 ? (double)free_count / (double)lender_count : 0;
}

/* Expected number of free slots of LENDER.  A slot is reused about once per
   request latency, so the mean over all lenders predicts more than an older
   report of one lender does.  Relying on old reports makes all daemons choose
   the same few targets.  */
static double
expected_lender_free (const Context *context, const SrTarget *target,
                      const SrLender *lender)
{
  double age = 1000.0 * lender->age_ms / target_latency_us (target);
  double report_weight = age < REPORT_AGE_MAX_LATENCIES ? exp (-age) : 0;

  return report_weight * lender->free_count
         + (1 - report_weight) * context->mean_lender_free;
}

static double
sum_expected_free (const Context *context, const SrTarget *target)
{
  double count = 0;

  for (uint32_t i = 0; i < target->lender_count; i++)
    count += expected_lender_free (context, target, &target->lenders[i]);
  return count;
}

static uint32_t
target_capacity (const SrTarget *target)
{
  return target->limit_count > 0
             ? MIN (target->limit_count, target->slot_count)
             : target->slot_count;
}

/* Reservoir sampling: each target that was added is kept with the same
   probability.  */
static void
sample_add (Sample *sample, uint32_t target, uint64_t *random)
{
  uint32_t position = sample->count++;

  if (position >= 2)
    position = sr_random_below (random, sample->count);
  if (position < 2)
    sample->targets[position] = target;
}

/* Expected time of one more request, for comparison only: the measured
   latency, scaled by the fraction of slots in use and by the fraction of
   requests shed.  Load reported by the target is ignored, since it lags and
   may be wrong.  */
static double
expected_time (const Context *context, const SrTarget *target)
{
  double slots = MAX (target_capacity (target), 1);
  double in_use = target->in_use_count;

  if (target->lender_count > 0)
    in_use
        = slots - target->own_free_count - sum_expected_free (context, target);
  return target_latency_us (target) * (MAX (in_use, 0) + 1) / slots
         * (1000 + 10.0 * target->shed_permille);
}

/* Returns the sampled target with the lower expected time, or either at random
   if they are equal: their order in the sample depends on their order in the
   view.  SR_NONE if the sample is empty.  */
static uint32_t
sample_better (Context *context, const Sample *sample)
{
  const SrTarget *targets = context->view->targets;
  double first_time;
  double second_time;

  if (sample->count == 0)
    return SR_NONE;
  if (sample->count == 1)
    return sample->targets[0];
  first_time = expected_time (context, &targets[sample->targets[0]]);
  second_time = expected_time (context, &targets[sample->targets[1]]);
  if (first_time == second_time)
    return sample->targets[sr_random_below (&context->random, 2)];
  return sample->targets[first_time < second_time ? 0 : 1];
}

SrHeadroom
sr_region_headroom (const SrView *view, uint32_t region)
{
  SrHeadroom headroom = { 0 };
  uint64_t warm = 0;

  for (uint32_t i = 0; i < view->target_count; i++)
    {
      const SrTarget *target = &view->targets[i];
      uint32_t slots = target_capacity (target);

      if (target_region (view, target) != region || !target->healthy
          || target->draining)
        continue;
      headroom.slot_count += slots;
      headroom.free_count
          += MIN (target->own_free_count + reported_free (target), slots);
      warm += (uint64_t)target->warm_permille * slots;
    }
  if (headroom.slot_count == 0)
    return headroom;
  headroom.headroom_permille
      = headroom.free_count * 1000 / headroom.slot_count;
  headroom.warm_permille = (uint32_t)(warm / headroom.slot_count);
  return headroom;
}

gboolean
sr_may_lend (const SrView *view, uint32_t region, uint32_t borrower_region)
{
  SrHeadroom headroom;

  if (region == borrower_region)
    return TRUE;
  headroom = sr_region_headroom (view, region);
  return headroom.free_count > 0
         && (uint64_t)(headroom.free_count - 1) * 1000
                >= (uint64_t)headroom.slot_count * SR_HEADROOM_PERMILLE;
}

/* TRUE if the headroom rule and the capacity of the link allow this daemon to
   send a request to REGION.  */
static gboolean
may_send_to_region (const Context *context, uint32_t region)
{
  return link_has_capacity (context, region)
         && sr_may_lend (context->view, region, context->own_region);
}

static Tier
target_tier (const Context *context, const SrTarget *target)
{
  gboolean own_zone = target->zone == context->view->own_zone;

  if (target->shed_permille > SR_SHED_MAX_PERMILLE)
    return TIER_SHEDDING;
  if (target->own_free_count > 0)
    return own_zone ? TIER_ZONE_OWN : TIER_REGION_OWN;
  return own_zone ? TIER_ZONE_BORROWED : TIER_REGION_BORROWED;
}

static void
sample_region (Context *context, uint32_t region, Sample samples[TIER_COUNT])
{
  const SrView *view = context->view;

  memset (samples, 0, TIER_COUNT * sizeof *samples);
  for (uint32_t i = 0; i < view->target_count; i++)
    {
      const SrTarget *target = &view->targets[i];

      if (target_region (view, target) == region && !is_excluded (context, i)
          && (target->own_free_count > 0
              || sum_expected_free (context, target) >= EXPECTED_FREE_MIN))
        sample_add (&samples[target_tier (context, target)], i,
                    &context->random);
    }
}

/* Returns the target to use in REGION, or SR_NONE.  If *SHEDDING is SR_NONE,
   sets it to a target of TIER_SHEDDING, if there is one.  */
static uint32_t
pick_in_region (Context *context, uint32_t region, uint32_t *shedding)
{
  Sample samples[TIER_COUNT];

  sample_region (context, region, samples);
  if (*shedding == SR_NONE)
    *shedding = sample_better (context, &samples[TIER_SHEDDING]);
  for (uint32_t tier = 0; tier < TIER_SHEDDING; tier++)
    if (samples[tier].count > 0)
      return sample_better (context, &samples[tier]);
  return SR_NONE;
}

/* Round-trip delay plus the mean latency scaled by the ratio of occupied to
   free slots.  */
static double
region_cost_us (const Context *context, uint32_t region)
{
  const SrView *view = context->view;
  SrHeadroom headroom = sr_region_headroom (view, region);
  double latency_us = 0;
  uint32_t count = 0;

  for (uint32_t i = 0; i < view->target_count; i++)
    if (target_region (view, &view->targets[i]) == region)
      {
        latency_us += view->targets[i].latency_us;
        count++;
      }
  latency_us = count > 0 ? latency_us / count : 0;
  return 2.0 * view->regions[region].delay_us
         + latency_us * (headroom.slot_count - headroom.free_count)
               / (headroom.free_count + 1);
}

/* Writes the regions that a request may spill over to, in order of increasing
   cost, and returns their number.  */
static uint32_t
collect_spill_regions (const Context *context, uint32_t regions[REGIONS_MAX])
{
  double costs_us[REGIONS_MAX];
  uint32_t count = 0;

  for (uint32_t region = 0; region < context->view->region_count; region++)
    {
      double cost_us;
      uint32_t position = count;

      if (region == context->own_region
          || !may_send_to_region (context, region))
        continue;
      cost_us = region_cost_us (context, region);
      for (; position > 0 && costs_us[position - 1] > cost_us; position--)
        {
          costs_us[position] = costs_us[position - 1];
          regions[position] = regions[position - 1];
        }
      costs_us[position] = cost_us;
      regions[position] = region;
      count++;
    }
  return count;
}

static gboolean
is_accepting (const Context *context, uint32_t index)
{
  return !is_excluded (context, index)
         && context->view->targets[index].shed_permille
                <= SR_SHED_MAX_PERMILLE;
}

/* TRUE if waiting for a slot makes sense, because a target that does not shed
   too much is merely busy.  */
static gboolean
has_accepting_target (const Context *context)
{
  for (uint32_t i = 0; i < context->view->target_count; i++)
    if (is_accepting (context, i))
      return TRUE;
  return FALSE;
}

static uint32_t
pick_headroom (Context *context, uint32_t region)
{
  uint32_t regions[REGIONS_MAX];
  uint32_t region_count;
  uint32_t shedding = SR_NONE;
  uint32_t target;

  if (region != SR_NONE)
    return pick_in_region (context, region, &shedding);
  target = pick_in_region (context, context->own_region, &shedding);
  if (shedding != SR_NONE && context->request->tried_count == 0
      && sr_random_below (&context->random, SR_RECOVERY_CHECK_ONE_IN) == 0)
    return shedding;
  if (target != SR_NONE)
    return target;
  region_count = collect_spill_regions (context, regions);
  for (uint32_t i = 0; i < region_count; i++)
    {
      target = pick_in_region (context, regions[i], &shedding);
      if (target != SR_NONE)
        return target;
    }
  return has_accepting_target (context) ? SR_NONE : shedding;
}

static gboolean
is_eligible (const Context *context, uint32_t index, uint32_t wanted_region)
{
  const SrTarget *target = &context->view->targets[index];
  uint32_t region = target_region (context->view, target);

  return (wanted_region == SR_NONE || wanted_region == region)
         && !is_excluded (context, index) && has_free_slot (target)
         && link_has_capacity (context, region);
}

/* Returns the eligible target of REGION with the lowest value; ties are broken
   uniformly at random.  */
static uint32_t
pick_lowest (Context *context, uint32_t region,
             uint32_t (*value) (const SrView *view, const SrTarget *target))
{
  const SrView *view = context->view;
  uint32_t lowest = UINT32_MAX;
  uint32_t ties = 0;
  uint32_t best = SR_NONE;

  for (uint32_t i = 0; i < view->target_count; i++)
    {
      uint32_t target_value;

      if (!is_eligible (context, i, region))
        continue;
      target_value = value (view, &view->targets[i]);
      if (best != SR_NONE && target_value > lowest)
        continue;
      ties = target_value == lowest ? ties + 1 : 1;
      lowest = target_value;
      if (sr_random_below (&context->random, ties) == 0)
        best = i;
    }
  return best;
}

static uint32_t
zone_delay (const SrView *view, const SrTarget *target)
{
  return view->zones[target->zone].delay_us;
}

static uint32_t
constant_value (const SrView *view, const SrTarget *target)
{
  (void)view;
  (void)target;
  return 0;
}

static uint32_t
reported_load (const SrView *view, const SrTarget *target)
{
  (void)view;
  return target->reported_running;
}

static uint32_t
pick_nearest (Context *context, uint32_t region)
{
  return pick_lowest (context, region, zone_delay);
}

static uint32_t
pick_random (Context *context, uint32_t region)
{
  return pick_lowest (context, region, constant_value);
}

static uint32_t
pick_least_reported (Context *context, uint32_t region)
{
  return pick_lowest (context, region, reported_load);
}

/* Selects the lender to request a slot from, at random and weighted by
   expected free slots, so that daemons with the same report do not all ask the
   same one.  */
static const char *
select_lender (Context *context, const SrTarget *target)
{
  double total = sum_expected_free (context, target);
  double draw
      = total * sr_random_below (&context->random, 1 << 20) / (1 << 20);

  for (uint32_t i = 0; i + 1 < target->lender_count; i++)
    {
      double expected
          = expected_lender_free (context, target, &target->lenders[i]);

      if (draw < expected)
        return target->lenders[i].vm;
      draw -= expected;
    }
  g_assert (target->lender_count > 0);
  return target->lenders[target->lender_count - 1].vm;
}

static void
set_choice (Context *context, uint32_t index, SrChoice *choice)
{
  const SrTarget *target = &context->view->targets[index];

  choice->target = index;
  choice->verdict = SR_VERDICT_OWN;
  if (target->own_free_count > 0)
    return;
  choice->verdict = SR_VERDICT_BORROW;
  choice->lender_vm = select_lender (context, target);
}

/* Returns the shift that applies to the request, or SR_NONE.  */
static uint32_t
select_shift (Context *context)
{
  uint32_t draw = sr_random_below (&context->random, 1000);

  if (context->request->no_shift)
    return SR_NONE;
  for (uint32_t i = 0; i < context->view->shift_count; i++)
    {
      const SrShift *shift = &context->view->shifts[i];

      if (shift->from_region != context->own_region
          || shift->to_region == shift->from_region)
        continue;
      if (draw < shift->share_permille)
        return i;
      draw -= shift->share_permille;
    }
  return SR_NONE;
}

/* Returns a target to request a slot of although no lender is known to have a
   free one, or SR_NONE.  The lender grants it if one is free by now.  */
static uint32_t
pick_probe (Context *context)
{
  const SrView *view = context->view;
  Sample local = { 0 };
  Sample remote = { 0 };

  for (uint32_t i = 0; i < view->target_count; i++)
    {
      const SrTarget *target = &view->targets[i];
      uint32_t region = target_region (view, target);

      if (is_excluded (context, i) || target->lender_count == 0)
        continue;
      if (region == context->own_region)
        sample_add (&local, i, &context->random);
      else if (link_has_capacity (context, region))
        sample_add (&remote, i, &context->random);
    }
  return sample_better (context, local.count > 0 ? &local : &remote);
}

static SrVerdict
verdict_without_target (const Context *context)
{
  for (uint32_t i = 0; i < context->view->target_count; i++)
    if (!is_excluded (context, i))
      return SR_VERDICT_WAIT;
  return SR_VERDICT_REFUSE;
}

/* Chooses a target in the destination of the shift that applies to the
   request, or else in any region.  PICK selects a target in REGION, or in any
   if REGION is SR_NONE; it returns SR_NONE if there is none.  */
static void
choose (const SrView *view, const SrRequest *request,
        uint32_t (*pick) (Context *context, uint32_t region), SrChoice *choice)
{
  Context context
      = { .view = view, .request = request, .random = request->random };
  uint32_t shift;
  uint32_t target = SR_NONE;

  g_assert (view->own_zone < view->zone_count);
  g_assert (view->region_count <= REGIONS_MAX);
  context.own_region = view->zones[view->own_zone].region;
  context.mean_lender_free = mean_lender_free (view);
  *choice = (SrChoice){ .target = SR_NONE, .shift = SR_NONE };
  shift = select_shift (&context);
  if (shift != SR_NONE
      && may_send_to_region (&context, view->shifts[shift].to_region))
    target = pick (&context, view->shifts[shift].to_region);
  if (target != SR_NONE)
    choice->shift = shift;
  else
    target = pick (&context, SR_NONE);
  if (target == SR_NONE && request->probe)
    target = pick_probe (&context);
  if (target == SR_NONE)
    choice->verdict = verdict_without_target (&context);
  else
    set_choice (&context, target, choice);
}

static void
choose_headroom (const SrView *view, const SrRequest *request,
                 SrChoice *choice)
{
  choose (view, request, pick_headroom, choice);
}

static void
choose_nearest (const SrView *view, const SrRequest *request, SrChoice *choice)
{
  choose (view, request, pick_nearest, choice);
}

static void
choose_random (const SrView *view, const SrRequest *request, SrChoice *choice)
{
  choose (view, request, pick_random, choice);
}

static void
choose_least_reported (const SrView *view, const SrRequest *request,
                       SrChoice *choice)
{
  choose (view, request, pick_least_reported, choice);
}

static const SrPolicy policies[] = {
  { "headroom", choose_headroom },
  { "nearest", choose_nearest },
  { "random", choose_random },
  { "least-reported", choose_least_reported },
  { NULL, NULL },
};

const SrPolicy *
sr_policies (void)
{
  return policies;
}

const SrPolicy *
sr_find_policy (const char *name)
{
  for (const SrPolicy *policy = policies; policy->name != NULL; policy++)
    if (strcmp (policy->name, name) == 0)
      return policy;
  return NULL;
}
