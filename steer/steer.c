#include "steer/steer.h"

#include <math.h>
#include <string.h>

#include "steer/random.h"

#define REGIONS_MAX 64

/* Asking for a slot that is there in fewer cases costs more messages than it
   saves waiting.  */
#define BELIEF_MIN 0.3

/* In latencies.  Less than 1% of an older report would be believed.  */
#define AGE_MAX 5

typedef struct
{
  const SrView *view;
  const SrRequest *request;
  uint64_t random;
  uint32_t own_region;
  double mean_free; /* slots that a lender reports, over all of the view */
} Context;

/* Two targets drawn evenly from all that were added.  */
typedef struct
{
  uint32_t count;
  uint32_t targets[2];
} Pair;

/* In order of preference.  A slot of the daemon's own needs no message.  */
typedef enum
{
  RANK_ZONE_OWN,
  RANK_ZONE_BORROWED,
  RANK_REGION_OWN,
  RANK_REGION_BORROWED,
  RANK_SHEDDING, /* any place */
  RANK_COUNT,
} Rank;

static uint32_t
region_of (const SrView *view, const SrTarget *target)
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

/* What no policy may choose, however little else there is.  */
static gboolean
excluded (const Context *context, uint32_t index)
{
  const SrTarget *target = &context->view->targets[index];

  return !target->healthy || target->draining
         || was_tried (context->request, index);
}

static gboolean
link_has_room (const Context *context, uint32_t region)
{
  g_assert (region < context->view->region_count);
  return region == context->own_region
         || context->view->regions[region].link_bytes
                >= context->request->bytes;
}

static uint32_t
lendable (const SrTarget *target)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < target->lender_count; i++)
    count += target->lenders[i].free_count;
  return count;
}

static gboolean
has_slot (const SrTarget *target)
{
  return target->own_free_count > 0 || lendable (target) > 0;
}

static uint32_t
latency_of (const SrTarget *target)
{
  return target->latency_us > 0 ? target->latency_us : SR_LATENCY_DEFAULT_US;
}

static double
mean_free (const SrView *view)
{
  uint64_t free_count = 0;
  uint64_t lender_count = 0;

  for (uint32_t i = 0; i < view->target_count; i++)
    {
      free_count += lendable (&view->targets[i]);
      lender_count += view->targets[i].lender_count;
    }
  return lender_count > 0 ? (double)free_count / (double)lender_count : 0;
}

/* Slots that LENDER is believed to have free.  A slot changes hands once in a
   latency, so an older report says little about one target and the mean says
   more.  Believing old reports sends all daemons to the same few targets.  */
static double
believed_free (const Context *context, const SrTarget *target,
               const SrLender *lender)
{
  double age = 1000.0 * lender->age_ms / latency_of (target);
  double trust = age < AGE_MAX ? exp (-age) : 0;

  return trust * lender->free_count + (1 - trust) * context->mean_free;
}

static double
believed_lendable (const Context *context, const SrTarget *target)
{
  double count = 0;

  for (uint32_t i = 0; i < target->lender_count; i++)
    count += believed_free (context, target, &target->lenders[i]);
  return count;
}

static uint32_t
capacity (const SrTarget *target)
{
  return target->limit_count > 0
             ? MIN (target->limit_count, target->slot_count)
             : target->slot_count;
}

static void
pair_add (Pair *pair, uint32_t target, uint64_t *random)
{
  uint32_t place = pair->count++;

  if (place >= 2)
    place = sr_draw_below (random, pair->count);
  if (place < 2)
    pair->targets[place] = target;
}

/* Expected time of one more request: the measured latency, stretched by the
   slots in use and by sheds.  What the target reports is left out, since it
   lags and may mislead.  */
static double
expected_us (const Context *context, const SrTarget *target)
{
  double slots = MAX (capacity (target), 1);
  double in_use = target->in_use_count;

  if (target->lender_count > 0)
    in_use
        = slots - target->own_free_count - believed_lendable (context, target);
  return latency_of (target) * (MAX (in_use, 0) + 1) / slots
         * (1000 + 10.0 * target->shed_permille);
}

/* The better of a pair, drawn evenly when they are equal: which of two targets
   comes first in a pair depends on their order in the view.  */
static uint32_t
pair_better (Context *context, const Pair *pair)
{
  const SrTarget *targets = context->view->targets;
  double first_us;
  double second_us;

  if (pair->count == 0)
    return SR_NONE;
  if (pair->count == 1)
    return pair->targets[0];
  first_us = expected_us (context, &targets[pair->targets[0]]);
  second_us = expected_us (context, &targets[pair->targets[1]]);
  if (first_us == second_us)
    return pair->targets[sr_draw_below (&context->random, 2)];
  return pair->targets[first_us < second_us ? 0 : 1];
}

SrHeadroom
sr_headroom (const SrView *view, uint32_t region)
{
  SrHeadroom headroom = { 0 };
  uint64_t warm = 0;

  for (uint32_t i = 0; i < view->target_count; i++)
    {
      const SrTarget *target = &view->targets[i];
      uint32_t slots = capacity (target);

      if (region_of (view, target) != region || !target->healthy
          || target->draining)
        continue;
      headroom.slot_count += slots;
      headroom.free_count
          += MIN (target->own_free_count + lendable (target), slots);
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
  headroom = sr_headroom (view, region);
  return headroom.free_count > 0
         && (uint64_t)(headroom.free_count - 1) * 1000
                >= (uint64_t)headroom.slot_count * SR_HEADROOM_PERMILLE;
}

/* True if a request of the daemon may go to REGION by the headroom rule and
   the link.  */
static gboolean
region_open (const Context *context, uint32_t region)
{
  return link_has_room (context, region)
         && sr_may_lend (context->view, region, context->own_region);
}

static Rank
rank_of (const Context *context, const SrTarget *target)
{
  gboolean own_zone = target->zone == context->view->own_zone;

  if (target->shed_permille > SR_SHED_PERMILLE)
    return RANK_SHEDDING;
  if (target->own_free_count > 0)
    return own_zone ? RANK_ZONE_OWN : RANK_REGION_OWN;
  return own_zone ? RANK_ZONE_BORROWED : RANK_REGION_BORROWED;
}

static void
sort_region (Context *context, uint32_t region, Pair pairs[RANK_COUNT])
{
  const SrView *view = context->view;

  memset (pairs, 0, RANK_COUNT * sizeof *pairs);
  for (uint32_t i = 0; i < view->target_count; i++)
    {
      const SrTarget *target = &view->targets[i];

      if (region_of (view, target) == region && !excluded (context, i)
          && (target->own_free_count > 0
              || believed_lendable (context, target) >= BELIEF_MIN))
        pair_add (&pairs[rank_of (context, target)], i, &context->random);
    }
}

/* The target to use in REGION.  SHEDDING is set to one that sheds, if it was
   not set before.  */
static uint32_t
pick_in_region (Context *context, uint32_t region, uint32_t *shedding)
{
  Pair pairs[RANK_COUNT];

  sort_region (context, region, pairs);
  if (*shedding == SR_NONE)
    *shedding = pair_better (context, &pairs[RANK_SHEDDING]);
  for (uint32_t rank = 0; rank < RANK_SHEDDING; rank++)
    if (pairs[rank].count > 0)
      return pair_better (context, &pairs[rank]);
  return SR_NONE;
}

/* Delay there and back, and the mean latency stretched by the slots in use for
   each free one.  */
static double
region_cost_us (const Context *context, uint32_t region)
{
  const SrView *view = context->view;
  SrHeadroom headroom = sr_headroom (view, region);
  double latency_us = 0;
  uint32_t count = 0;

  for (uint32_t i = 0; i < view->target_count; i++)
    if (region_of (view, &view->targets[i]) == region)
      {
        latency_us += view->targets[i].latency_us;
        count++;
      }
  latency_us = count > 0 ? latency_us / count : 0;
  return 2.0 * view->regions[region].delay_us
         + latency_us * (headroom.slot_count - headroom.free_count)
               / (headroom.free_count + 1);
}

/* Regions that a request may spill over to, the one with the lowest cost
   first.  */
static uint32_t
order_regions (const Context *context, uint32_t regions[REGIONS_MAX])
{
  double costs_us[REGIONS_MAX];
  uint32_t count = 0;

  for (uint32_t region = 0; region < context->view->region_count; region++)
    {
      double cost_us;
      uint32_t place = count;

      if (region == context->own_region || !region_open (context, region))
        continue;
      cost_us = region_cost_us (context, region);
      for (; place > 0 && costs_us[place - 1] > cost_us; place--)
        {
          costs_us[place] = costs_us[place - 1];
          regions[place] = regions[place - 1];
        }
      costs_us[place] = cost_us;
      regions[place] = region;
      count++;
    }
  return count;
}

static gboolean
is_sound (const Context *context, uint32_t index)
{
  return !excluded (context, index)
         && context->view->targets[index].shed_permille <= SR_SHED_PERMILLE;
}

/* True if waiting is of use: a target that does not shed is only busy.  */
static gboolean
has_sound_target (const Context *context)
{
  for (uint32_t i = 0; i < context->view->target_count; i++)
    if (is_sound (context, i))
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
      && sr_draw_below (&context->random, SR_SHED_RETRY_ONE_IN) == 0)
    return shedding;
  if (target != SR_NONE)
    return target;
  region_count = order_regions (context, regions);
  for (uint32_t i = 0; i < region_count; i++)
    {
      target = pick_in_region (context, regions[i], &shedding);
      if (target != SR_NONE)
        return target;
    }
  return has_sound_target (context) ? SR_NONE : shedding;
}

static gboolean
eligible (const Context *context, uint32_t index, uint32_t region)
{
  const SrTarget *target = &context->view->targets[index];
  uint32_t at = region_of (context->view, target);

  return (region == SR_NONE || region == at) && !excluded (context, index)
         && has_slot (target) && link_has_room (context, at);
}

/* One of the eligible targets of REGION with the lowest value, drawn evenly
   from these.  */
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
      uint32_t v;

      if (!eligible (context, i, region))
        continue;
      v = value (view, &view->targets[i]);
      if (best != SR_NONE && v > lowest)
        continue;
      ties = v == lowest ? ties + 1 : 1;
      lowest = v;
      if (sr_draw_below (&context->random, ties) == 0)
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
same_value (const SrView *view, const SrTarget *target)
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
  return pick_lowest (context, region, same_value);
}

static uint32_t
pick_least_reported (Context *context, uint32_t region)
{
  return pick_lowest (context, region, reported_load);
}

/* The holder to ask, drawn with its free slots as weight, so that daemons with
   the same report do not all ask the same one.  */
static const char *
draw_lender (Context *context, const SrTarget *target)
{
  double total = believed_lendable (context, target);
  double draw = total * sr_draw_below (&context->random, 1 << 20) / (1 << 20);

  for (uint32_t i = 0; i + 1 < target->lender_count; i++)
    {
      double share = believed_free (context, target, &target->lenders[i]);

      if (draw < share)
        return target->lenders[i].vm;
      draw -= share;
    }
  g_assert (target->lender_count > 0);
  return target->lenders[target->lender_count - 1].vm;
}

static void
set_target (Context *context, uint32_t index, SrChoice *choice)
{
  const SrTarget *target = &context->view->targets[index];

  choice->target = index;
  choice->verdict = SR_VERDICT_OWN;
  if (target->own_free_count > 0)
    return;
  choice->verdict = SR_VERDICT_BORROW;
  choice->lender_vm = draw_lender (context, target);
}

/* The shift that the request falls into, or SR_NONE.  */
static uint32_t
draw_shift (Context *context)
{
  uint32_t draw = sr_draw_below (&context->random, 1000);

  if (context->request->no_shift)
    return SR_NONE;
  for (uint32_t i = 0; i < context->view->shift_count; i++)
    {
      const SrShift *shift = &context->view->shifts[i];

      if (shift->from != context->own_region || shift->to == shift->from)
        continue;
      if (draw < shift->share_permille)
        return i;
      draw -= shift->share_permille;
    }
  return SR_NONE;
}

/* Chooses a target though nobody is known to have a free slot of it.  The
   lender decides, with what it knows now.  */
static uint32_t
pick_probe (Context *context)
{
  const SrView *view = context->view;
  Pair near = { 0 };
  Pair far = { 0 };

  for (uint32_t i = 0; i < view->target_count; i++)
    {
      const SrTarget *target = &view->targets[i];
      uint32_t region = region_of (view, target);

      if (excluded (context, i) || target->lender_count == 0)
        continue;
      if (region == context->own_region)
        pair_add (&near, i, &context->random);
      else if (link_has_room (context, region))
        pair_add (&far, i, &context->random);
    }
  return pair_better (context, near.count > 0 ? &near : &far);
}

static SrVerdict
verdict_without_target (const Context *context)
{
  for (uint32_t i = 0; i < context->view->target_count; i++)
    if (!excluded (context, i))
      return SR_VERDICT_WAIT;
  return SR_VERDICT_REFUSE;
}

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
  context.mean_free = mean_free (view);
  *choice = (SrChoice){ .target = SR_NONE, .shift = SR_NONE };
  shift = draw_shift (&context);
  if (shift != SR_NONE && region_open (&context, view->shifts[shift].to))
    target = pick (&context, view->shifts[shift].to);
  if (target != SR_NONE)
    choice->shift = shift;
  else
    target = pick (&context, SR_NONE);
  if (target == SR_NONE && request->probe)
    target = pick_probe (&context);
  if (target == SR_NONE)
    choice->verdict = verdict_without_target (&context);
  else
    set_target (&context, target, choice);
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
sr_policy_find (const char *name)
{
  for (const SrPolicy *policy = policies; policy->name != NULL; policy++)
    if (strcmp (policy->name, name) == 0)
      return policy;
  return NULL;
}
