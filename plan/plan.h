/* plan.h - planned drains and traffic shifts

   SYNOPSIS
     if (pl_target_drains (config, "boards-01", "baltic-1", wall_ms))
       exclude (target);

     PlPlan *plan = pl_new ();
     PlMeasure measure = { .headroom_permille = 300, .warm_permille = 1000 };
     PlShare share = pl_shift_step (plan, shift, &measure, wall_ms);

   DESCRIPTION
     What drains now and how much of a shift is written for now follow from
     the configuration and the wall clock alone, so every daemon derives the
     same step.  Clocks may differ by PL_CLOCK_ERROR_MS.  A step that raises
     traffic begins that much later than written, one that lowers it that much
     earlier: a drain lasts from before its start until after its end, a shift
     from after its start until before its end.

     A shift rises along its ramp.  The step that is applied also depends on
     the destination as measured.  It rises at half speed while the
     destination has little headroom or is not quite warm, holds while it
     lacks headroom or is cold, and falls back while it has next to no
     headroom.  It goes on from where it stopped, at the slope of the ramp,
     and never above what is written.  A plan keeps the small state that this
     needs for each shift, by the name and the start of the shift.  A shift
     that is met for the first time takes the written share at once if the
     destination has room; so a restarted daemon agrees with the others.

     The cap of a shift is a quota and is not looked at here.

   ERRORS
     None.  A drain or shift whose end is not after its start has no effect. */

#ifndef PL_PLAN_H
#define PL_PLAN_H

#include <glib.h>
#include <stdint.h>

#include "conf/conf.h"

/* Wall clocks of two VMs may differ by this much.  */
#define PL_CLOCK_ERROR_MS 2000

/* A region keeps a tenth of its slots from spill-over, so a shift holds there;
   it slows from twice that and falls back from half of it.  */
#define PL_HEADROOM_SLOW_PERMILLE 200
#define PL_HEADROOM_HOLD_PERMILLE 100
#define PL_HEADROOM_FALL_PERMILLE 50

/* Mean warmth of the destination's targets.  */
#define PL_WARM_SLOW_PERMILLE 900
#define PL_WARM_HOLD_PERMILLE 500

/* A shift that falls back loses its full share in this time, and one without a
   ramp that was held regains it in this time.  */
#define PL_FALL_MS 10000

typedef struct PlPlan PlPlan;

typedef struct
{
  uint32_t headroom_permille; /* free share of the destination's slots */
  uint32_t warm_permille;     /* mean over the destination's targets */
} PlMeasure;

typedef enum
{
  PL_PHASE_OFF,    /* nothing is written for now */
  PL_PHASE_RISING, /* follows the ramp */
  PL_PHASE_FULL,
  PL_PHASE_SLOWED,  /* rises at half speed */
  PL_PHASE_HELD,    /* the destination lacks headroom or is cold */
  PL_PHASE_FALLING, /* the destination is nearly full */
} PlPhase;

typedef struct
{
  uint32_t permille;         /* to apply now */
  uint32_t written_permille; /* by the configuration, with the clock rule */
  PlPhase phase;
  gboolean phase_changed; /* since the step before; for the event log */
} PlShare;

/* True while DRAIN is in effect.  */
gboolean pl_drain_active (const CfDrain *drain, int64_t wall_ms);

/* True while a drain of this object is in effect.  */
gboolean pl_drains (const CfConfig *config, CfDrainKind kind, const char *name,
                    int64_t wall_ms);

/* True while TARGET, its ZONE or the zone's region drains.  ZONE may be NULL
   when it is not known.  */
gboolean pl_target_drains (const CfConfig *config, const char *target,
                           const char *zone, int64_t wall_ms);

/* The same for an entry VM.  */
gboolean pl_vm_drains (const CfConfig *config, const char *vm,
                       const char *zone, int64_t wall_ms);

/* The drains in effect, as CfDrain that stay with CONFIG.  Free the array.  */
GPtrArray *pl_active_drains (const CfConfig *config, int64_t wall_ms);

/* When a drain or shift next begins, ends or leaves its ramp, or INT64_MAX.
   Between two such times only ramps change.  */
int64_t pl_next_change_ms (const CfConfig *config, int64_t wall_ms);

/* Share that the configuration gives SHIFT at WALL_MS.  */
uint32_t pl_shift_written_permille (const CfShift *shift, int64_t wall_ms);

PlPlan *pl_new (void);
void pl_free (PlPlan *plan);

/* Share of SHIFT to apply now.  Call it about once a second and with each
   change of the measure.  */
PlShare pl_shift_step (PlPlan *plan, const CfShift *shift,
                       const PlMeasure *measure, int64_t wall_ms);

/* Drops the state of shifts that CONFIG no longer has.  */
void pl_prune (PlPlan *plan, const CfConfig *config);

const char *pl_phase_name (PlPhase phase);

G_DEFINE_AUTOPTR_CLEANUP_FUNC (PlPlan, pl_free)

#endif
