#include "plan/plan.h"

#include <string.h>

/* Shares are kept in millionths of a permille, so that a ramp of a day moves
   in each ms.  */
#define FINE ((int64_t)1000000)

/* A destination that was not measured for longer has not shown that it has
   room for more than this time's rise.  */
#define RISE_MAX_MS 2000

struct PlPlan
{
  GHashTable *states; /* name of a shift -> ShiftState */
};

typedef struct
{
  int64_t start_ms; /* of the shift that the state belongs to */
  int64_t at_ms;
  int64_t applied; /* FINE */
  gboolean behind; /* was kept below what is written, and has to catch up */
  PlPhase phase;
} ShiftState;

typedef enum
{
  ROOM_FREE,
  ROOM_SLOW,
  ROOM_HOLD,
  ROOM_FALL,
} Room;

gboolean
pl_drain_active (const CfDrain *drain, int64_t wall_ms)
{
  return drain->end_ms > drain->start_ms
         && wall_ms >= drain->start_ms - PL_CLOCK_ERROR_MS
         && wall_ms < drain->end_ms + PL_CLOCK_ERROR_MS;
}

gboolean
pl_drains (const CfConfig *config, CfDrainKind kind, const char *name,
           int64_t wall_ms)
{
  for (guint i = 0; i < config->drains->len; i++)
    {
      const CfDrain *drain = g_ptr_array_index (config->drains, i);

      if (drain->kind == kind && strcmp (drain->object, name) == 0
          && pl_drain_active (drain, wall_ms))
        return TRUE;
    }
  return FALSE;
}

static const CfRegion *
region_of (const CfConfig *config, const char *zone)
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

static gboolean
place_drains (const CfConfig *config, const char *zone, int64_t wall_ms)
{
  const CfRegion *region;

  if (zone == NULL)
    return FALSE;
  if (pl_drains (config, CF_DRAIN_ZONE, zone, wall_ms))
    return TRUE;
  region = region_of (config, zone);
  return region != NULL
         && pl_drains (config, CF_DRAIN_REGION, region->name, wall_ms);
}

gboolean
pl_target_drains (const CfConfig *config, const char *target, const char *zone,
                  int64_t wall_ms)
{
  return pl_drains (config, CF_DRAIN_TARGET, target, wall_ms)
         || place_drains (config, zone, wall_ms);
}

gboolean
pl_vm_drains (const CfConfig *config, const char *vm, const char *zone,
              int64_t wall_ms)
{
  return pl_drains (config, CF_DRAIN_VM, vm, wall_ms)
         || place_drains (config, zone, wall_ms);
}

GPtrArray *
pl_active_drains (const CfConfig *config, int64_t wall_ms)
{
  GPtrArray *active = g_ptr_array_new ();

  for (guint i = 0; i < config->drains->len; i++)
    {
      CfDrain *drain = g_ptr_array_index (config->drains, i);

      if (pl_drain_active (drain, wall_ms))
        g_ptr_array_add (active, drain);
    }
  return active;
}

static void
earliest_after (int64_t *next_ms, int64_t wall_ms, int64_t candidate_ms)
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

      earliest_after (&next_ms, wall_ms, drain->start_ms - PL_CLOCK_ERROR_MS);
      earliest_after (&next_ms, wall_ms, drain->end_ms + PL_CLOCK_ERROR_MS);
    }
  for (guint i = 0; i < config->shifts->len; i++)
    {
      const CfShift *shift = g_ptr_array_index (config->shifts, i);
      int64_t start_ms = shift->start_ms + PL_CLOCK_ERROR_MS;

      earliest_after (&next_ms, wall_ms, start_ms);
      earliest_after (&next_ms, wall_ms, start_ms + shift->ramp_ms);
      earliest_after (&next_ms, wall_ms, shift->end_ms - PL_CLOCK_ERROR_MS);
    }
  return next_ms;
}

static int64_t
full_share (const CfShift *shift)
{
  return (int64_t)MIN (shift->share_permille, 1000) * FINE;
}

/* Share at the time of an exact clock.  */
static int64_t
scheduled (const CfShift *shift, int64_t wall_ms)
{
  int64_t since_ms = wall_ms - shift->start_ms;

  if (since_ms < 0 || wall_ms >= shift->end_ms)
    return 0;
  if (since_ms >= shift->ramp_ms)
    return full_share (shift);
  return (int64_t)((__int128)full_share (shift) * since_ms / shift->ramp_ms);
}

/* The lowest share at any time the right clock may show.  A schedule rises and
   then falls, so the lowest is at one of the ends.  */
static int64_t
written (const CfShift *shift, int64_t wall_ms)
{
  return MIN (scheduled (shift, wall_ms - PL_CLOCK_ERROR_MS),
              scheduled (shift, wall_ms + PL_CLOCK_ERROR_MS));
}

uint32_t
pl_shift_written_permille (const CfShift *shift, int64_t wall_ms)
{
  return (uint32_t)(written (shift, wall_ms) / FINE);
}

PlPlan *
pl_new (void)
{
  PlPlan *plan = g_new0 (PlPlan, 1);

  plan->states
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return plan;
}

void
pl_free (PlPlan *plan)
{
  if (plan == NULL)
    return;
  g_hash_table_unref (plan->states);
  g_free (plan);
}

static ShiftState *
state_of (PlPlan *plan, const CfShift *shift, int64_t wall_ms)
{
  ShiftState *state = g_hash_table_lookup (plan->states, shift->name);

  if (state != NULL && state->start_ms == shift->start_ms)
    return state;
  state = g_new0 (ShiftState, 1);
  state->start_ms = shift->start_ms;
  state->at_ms = wall_ms;
  g_hash_table_replace (plan->states, g_strdup (shift->name), state);
  return state;
}

static Room
room_of (const PlMeasure *measure)
{
  if (measure->headroom_permille < PL_HEADROOM_FALL_PERMILLE)
    return ROOM_FALL;
  if (measure->headroom_permille < PL_HEADROOM_HOLD_PERMILLE
      || measure->warm_permille < PL_WARM_HOLD_PERMILLE)
    return ROOM_HOLD;
  if (measure->headroom_permille < PL_HEADROOM_SLOW_PERMILLE
      || measure->warm_permille < PL_WARM_SLOW_PERMILLE)
    return ROOM_SLOW;
  return ROOM_FREE;
}

/* Rounded up, so that a shift with room never lags its ramp.  */
static int64_t
rise_in (const CfShift *shift, int64_t elapsed_ms)
{
  int64_t ramp_ms = shift->ramp_ms > 0 ? shift->ramp_ms : PL_FALL_MS;

  elapsed_ms = MIN (elapsed_ms, RISE_MAX_MS);
  return (full_share (shift) * elapsed_ms + ramp_ms - 1) / ramp_ms;
}

static int64_t
next_applied (const ShiftState *state, const CfShift *shift, Room room,
              int64_t goal, int64_t elapsed_ms)
{
  switch (room)
    {
    case ROOM_FALL:
      elapsed_ms = MIN (elapsed_ms, PL_FALL_MS);
      return MAX (
          state->applied - full_share (shift) * elapsed_ms / PL_FALL_MS, 0);
    case ROOM_HOLD:
      return state->applied;
    case ROOM_SLOW:
      return state->applied + rise_in (shift, elapsed_ms) / 2;
    case ROOM_FREE:
      break;
    }
  return state->behind ? state->applied + rise_in (shift, elapsed_ms) : goal;
}

static PlPhase
phase_of (Room room, int64_t goal, int64_t applied, const CfShift *shift)
{
  if (goal == 0)
    return PL_PHASE_OFF;
  if (room == ROOM_FALL)
    return PL_PHASE_FALLING;
  if (applied >= full_share (shift))
    return PL_PHASE_FULL;
  if (room == ROOM_HOLD)
    return PL_PHASE_HELD;
  if (room == ROOM_SLOW)
    return PL_PHASE_SLOWED;
  return PL_PHASE_RISING;
}

PlShare
pl_shift_step (PlPlan *plan, const CfShift *shift, const PlMeasure *measure,
               int64_t wall_ms)
{
  ShiftState *state = state_of (plan, shift, wall_ms);
  Room room = room_of (measure);
  int64_t goal = written (shift, wall_ms);
  int64_t elapsed_ms = MAX (wall_ms - state->at_ms, 0);
  PlPhase phase;
  PlShare share;

  state->applied
      = MIN (next_applied (state, shift, room, goal, elapsed_ms), goal);
  state->behind = state->applied < goal;
  state->at_ms = wall_ms;
  phase = phase_of (room, goal, state->applied, shift);
  share = (PlShare){ .permille = (uint32_t)(state->applied / FINE),
                     .written_permille = (uint32_t)(goal / FINE),
                     .phase = phase,
                     .phase_changed = phase != state->phase };
  state->phase = phase;
  return share;
}

static gboolean
is_gone (void *name, void *data, void *config_data)
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
pl_prune (PlPlan *plan, const CfConfig *config)
{
  g_hash_table_foreach_remove (plan->states, is_gone, (void *)config);
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
