#include "plan/plan.h"

#include <string.h>

/* Shares are kept in millionths of a permille, so that even on a ramp of a day
   the share changes every ms.  */
#define SHARE_SCALE ((int64_t)1000000)

/* One step raises a share by at most the rise in this time, even after a
   longer gap: a destination whose load was not measured in between has not
   shown that it can take more.  */
#define RISE_INTERVAL_MAX_MS 2000

struct PlController
{
  GHashTable *states; /* name of a shift -> ShiftState */
};

typedef struct
{
  int64_t start_ms;     /* of the shift */
  int64_t updated_ms;   /* time of the previous step */
  int64_t applied;      /* in 1 / SHARE_SCALE permille */
  gboolean catching_up; /* the applied share is below the scheduled one */
  PlPhase phase;
} ShiftState;

/* How a share changes, according to the load of the destination.  */
typedef enum
{
  PACE_NORMAL, /* at the slope of the ramp */
  PACE_SLOW,   /* at half the slope */
  PACE_HOLD,
  PACE_FALL,
} Pace;

gboolean
pl_drain_is_active (const CfDrain *drain, int64_t wall_ms)
{
  return drain->end_ms > drain->start_ms
         && wall_ms >= drain->start_ms - PL_CLOCK_ERROR_MS
         && wall_ms < drain->end_ms + PL_CLOCK_ERROR_MS;
}

gboolean
pl_is_draining (const CfConfig *config, CfDrainKind kind, const char *name,
                int64_t wall_ms)
{
  for (guint i = 0; i < config->drains->len; i++)
    {
      const CfDrain *drain = g_ptr_array_index (config->drains, i);

      if (drain->kind == kind && strcmp (drain->object, name) == 0
          && pl_drain_is_active (drain, wall_ms))
        return TRUE;
    }
  return FALSE;
}

static const CfRegion *
find_region_of_zone (const CfConfig *config, const char *zone)
{
  for (guint i = 0; i < config->regions->len; i++)
    {
      const CfRegion *region = g_ptr_array_index (config->regions, i);

      for (guint j = 0; j < region->zones->len; j++)
        if (strcmp (g_ptr_array_index (region->zones, j), zone) == 0)
          return region;
    }
  return NULL;
}

/* Also TRUE while the region of ZONE drains.  ZONE may be NULL.  */
static gboolean
zone_is_draining (const CfConfig *config, const char *zone, int64_t wall_ms)
{
  const CfRegion *region;

  if (zone == NULL)
    return FALSE;
  if (pl_is_draining (config, CF_DRAIN_ZONE, zone, wall_ms))
    return TRUE;
  region = find_region_of_zone (config, zone);
  return region != NULL
         && pl_is_draining (config, CF_DRAIN_REGION, region->name, wall_ms);
}

gboolean
pl_target_is_draining (const CfConfig *config, const char *target,
                       const char *zone, int64_t wall_ms)
{
  return pl_is_draining (config, CF_DRAIN_TARGET, target, wall_ms)
         || zone_is_draining (config, zone, wall_ms);
}

gboolean
pl_vm_is_draining (const CfConfig *config, const char *vm, const char *zone,
                   int64_t wall_ms)
{
  return pl_is_draining (config, CF_DRAIN_VM, vm, wall_ms)
         || zone_is_draining (config, zone, wall_ms);
}

GPtrArray *
pl_active_drains (const CfConfig *config, int64_t wall_ms)
{
  GPtrArray *active = g_ptr_array_new ();

  for (guint i = 0; i < config->drains->len; i++)
    {
      CfDrain *drain = g_ptr_array_index (config->drains, i);

      if (pl_drain_is_active (drain, wall_ms))
        g_ptr_array_add (active, drain);
    }
  return active;
}

static void
update_next_change (int64_t *next_ms, int64_t wall_ms, int64_t candidate_ms)
{
  if (candidate_ms > wall_ms)
    *next_ms = MIN (*next_ms, candidate_ms);
}

int64_t
pl_next_change_ms (const CfConfig *config, int64_t wall_ms)
{
  int64_t next_ms = INT64_MAX;

  for (guint i = 0; i < config->drains->len; i++)
    {
      const CfDrain *drain = g_ptr_array_index (config->drains, i);

      update_next_change (&next_ms, wall_ms,
                          drain->start_ms - PL_CLOCK_ERROR_MS);
      update_next_change (&next_ms, wall_ms,
                          drain->end_ms + PL_CLOCK_ERROR_MS);
    }
  for (guint i = 0; i < config->shifts->len; i++)
    {
      const CfShift *shift = g_ptr_array_index (config->shifts, i);
      int64_t start_ms = shift->start_ms + PL_CLOCK_ERROR_MS;

      update_next_change (&next_ms, wall_ms, start_ms);
      update_next_change (&next_ms, wall_ms, start_ms + shift->ramp_ms);
      update_next_change (&next_ms, wall_ms,
                          shift->end_ms - PL_CLOCK_ERROR_MS);
    }
  return next_ms;
}

static int64_t
full_share (const CfShift *shift)
{
  return (int64_t)MIN (shift->share_permille, 1000) * SHARE_SCALE;
}

/* Share of SHIFT that is configured for WALL_MS of an exact clock.  */
static int64_t
nominal_share (const CfShift *shift, int64_t wall_ms)
{
  int64_t since_ms = wall_ms - shift->start_ms;

  if (since_ms < 0 || wall_ms >= shift->end_ms)
    return 0;
  if (since_ms >= shift->ramp_ms)
    return full_share (shift);
  return (int64_t)((__int128)full_share (shift) * since_ms / shift->ramp_ms);
}

/* The lowest nominal share at any time that an exact clock may show while this
   one shows WALL_MS.  The nominal share rises and then drops to 0, so the
   lowest is at one end of the interval.  */
static int64_t
scheduled_share (const CfShift *shift, int64_t wall_ms)
{
  return MIN (nominal_share (shift, wall_ms - PL_CLOCK_ERROR_MS),
              nominal_share (shift, wall_ms + PL_CLOCK_ERROR_MS));
}

uint32_t
pl_scheduled_permille (const CfShift *shift, int64_t wall_ms)
{
  return (uint32_t)(scheduled_share (shift, wall_ms) / SHARE_SCALE);
}

PlController *
pl_controller_new (void)
{
  PlController *controller = g_new0 (PlController, 1);

  controller->states
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return controller;
}

void
pl_controller_free (PlController *controller)
{
  if (controller == NULL)
    return;
  g_hash_table_unref (controller->states);
  g_free (controller);
}

static ShiftState *
find_or_add_state (PlController *controller, const CfShift *shift,
                   int64_t wall_ms)
{
  ShiftState *state = g_hash_table_lookup (controller->states, shift->name);

  if (state != NULL && state->start_ms == shift->start_ms)
    return state;
  state = g_new0 (ShiftState, 1);
  state->start_ms = shift->start_ms;
  state->updated_ms = wall_ms;
  g_hash_table_replace (controller->states, g_strdup (shift->name), state);
  return state;
}

static Pace
get_pace (const PlDestination *destination)
{
  if (destination->headroom_permille < PL_HEADROOM_FALL_PERMILLE)
    return PACE_FALL;
  if (destination->headroom_permille < PL_HEADROOM_HOLD_PERMILLE
      || destination->warm_permille < PL_WARM_HOLD_PERMILLE)
    return PACE_HOLD;
  if (destination->headroom_permille < PL_HEADROOM_SLOW_PERMILLE
      || destination->warm_permille < PL_WARM_SLOW_PERMILLE)
    return PACE_SLOW;
  return PACE_NORMAL;
}

/* Rise at the slope of the ramp in ELAPSED_MS.  Rounded up, so that a share
   that is not limited by the destination does not lag behind its ramp.  */
static int64_t
max_rise (const CfShift *shift, int64_t elapsed_ms)
{
  int64_t ramp_ms = shift->ramp_ms > 0 ? shift->ramp_ms : PL_FALL_MS;

  elapsed_ms = MIN (elapsed_ms, RISE_INTERVAL_MAX_MS);
  return (full_share (shift) * elapsed_ms + ramp_ms - 1) / ramp_ms;
}

static int64_t
next_share (const ShiftState *state, const CfShift *shift, Pace pace,
            int64_t scheduled, int64_t elapsed_ms)
{
  switch (pace)
    {
    case PACE_FALL:
      elapsed_ms = MIN (elapsed_ms, PL_FALL_MS);
      return MAX (
          state->applied - full_share (shift) * elapsed_ms / PL_FALL_MS, 0);
    case PACE_HOLD:
      return state->applied;
    case PACE_SLOW:
      return state->applied + max_rise (shift, elapsed_ms) / 2;
    case PACE_NORMAL:
      break;
    }
  return state->catching_up ? state->applied + max_rise (shift, elapsed_ms)
                            : scheduled;
}

static PlPhase
get_phase (Pace pace, int64_t scheduled, int64_t applied, const CfShift *shift)
{
  if (scheduled == 0)
    return PL_PHASE_OFF;
  if (pace == PACE_FALL)
    return PL_PHASE_FALLING;
  if (applied >= full_share (shift))
    return PL_PHASE_FULL;
  if (pace == PACE_HOLD)
    return PL_PHASE_HELD;
  if (pace == PACE_SLOW)
    return PL_PHASE_SLOWED;
  return PL_PHASE_RISING;
}

PlShare
pl_controller_step (PlController *controller, const CfShift *shift,
                    const PlDestination *destination, int64_t wall_ms)
{
  ShiftState *state = find_or_add_state (controller, shift, wall_ms);
  Pace pace = get_pace (destination);
  int64_t scheduled = scheduled_share (shift, wall_ms);
  int64_t elapsed_ms = MAX (wall_ms - state->updated_ms, 0);
  PlPhase phase;
  PlShare share;

  state->applied = MIN (next_share (state, shift, pace, scheduled, elapsed_ms),
                        scheduled);
  state->catching_up = state->applied < scheduled;
  state->updated_ms = wall_ms;
  phase = get_phase (pace, scheduled, state->applied, shift);
  share = (PlShare){ .permille = (uint32_t)(state->applied / SHARE_SCALE),
                     .scheduled_permille = (uint32_t)(scheduled / SHARE_SCALE),
                     .phase = phase,
                     .phase_changed = phase != state->phase };
  state->phase = phase;
  return share;
}

static gboolean
is_obsolete (void *name, void *data, void *config_data)
{
  const ShiftState *state = data;
  const CfConfig *config = config_data;

  for (guint i = 0; i < config->shifts->len; i++)
    {
      const CfShift *shift = g_ptr_array_index (config->shifts, i);

      if (strcmp (shift->name, name) == 0)
        return shift->start_ms != state->start_ms;
    }
  return TRUE;
}

void
pl_controller_prune (PlController *controller, const CfConfig *config)
{
  g_hash_table_foreach_remove (controller->states, is_obsolete,
                               (void *)config);
}

const char *
pl_phase_name (PlPhase phase)
{
  static const char *const names[] = {
    [PL_PHASE_OFF] = "off",   [PL_PHASE_RISING] = "rising",
    [PL_PHASE_FULL] = "full", [PL_PHASE_SLOWED] = "slowed",
    [PL_PHASE_HELD] = "held", [PL_PHASE_FALLING] = "falling",
  };

  return names[phase];
}
