/* plan.h - planned drains and traffic shifts

   SYNOPSIS
     if (pl_target_is_draining (config, "boards-01", "baltic-1", wall_ms))
       exclude (target);

     PlController *controller = pl_controller_new ();
     PlDestination destination
         = { .headroom_permille = 300, .warm_permille = 1000 };
     PlShare share
         = pl_controller_step (controller, shift, &destination, wall_ms);

   DESCRIPTION
     A shift moves a share of the requests for a service from one region to
     another, its destination.  The drains in effect and the scheduled share of
     a shift depend only on the configuration and the wall clock, so every
     daemon computes the same.  Clocks may differ by PL_CLOCK_ERROR_MS.  A
     change that brings more traffic to a drained object or to a destination
     therefore takes effect that much later than configured, and one that
     brings less that much earlier: a drain lasts from before its start until
     after its end, a shift from after its start until before its end.

     The scheduled share rises linearly over ramp_ms from the start of the
     shift.  The applied share also depends on the load of the destination.
     It rises at half the slope of the ramp while the destination has little
     headroom or is not quite warm (PL_HEADROOM_SLOW_PERMILLE,
     PL_WARM_SLOW_PERMILLE), is held while it lacks headroom or is cold
     (PL_HEADROOM_HOLD_PERMILLE, PL_WARM_HOLD_PERMILLE), and falls while it is
     nearly full (PL_HEADROOM_FALL_PERMILLE).  Afterwards it rises from the
     share then reached, at the slope of the ramp.  It never exceeds the
     scheduled share.

     A controller keeps the applied share of each shift, which it identifies by
     name and start.  A shift without such state gets the scheduled share at
     once if the destination has headroom and is warm, so a restarted daemon
     agrees with the others.

     The cap of a shift has no effect here; the daemon enforces it as a quota.

   ERRORS
     None.  A drain or shift whose end is not after its start has no effect. */

#ifndef PL_PLAN_H
#define PL_PLAN_H

#include <glib.h>
#include <stdint.h>

#include "conf/conf.h"

/* Maximum difference between the wall clock of a VM and that of another VM or
   an exact clock.  */
#define PL_CLOCK_ERROR_MS 2000

/* A tenth of a region's slots is kept free of requests that spill over from
   other regions (SR_HEADROOM_PERMILLE), so a shift is held below that tenth.
   It rises slowly below twice that and falls below half of it.  */
#define PL_HEADROOM_SLOW_PERMILLE 200
#define PL_HEADROOM_HOLD_PERMILLE 100
#define PL_HEADROOM_FALL_PERMILLE 50

/* Thresholds for PlDestination.warm_permille.  */
#define PL_WARM_SLOW_PERMILLE 900
#define PL_WARM_HOLD_PERMILLE 500

/* Time in which a falling shift loses its full share, and in which a shift
   without a ramp regains it after it was held.  */
#define PL_FALL_MS 10000

typedef struct PlController PlController;

/* Load of the region to which a shift moves traffic.  */
typedef struct
{
  uint32_t headroom_permille; /* free fraction of its slots */
  uint32_t warm_permille;     /* mean cache warmth of its targets */
} PlDestination;

typedef enum
{
  PL_PHASE_OFF,     /* the scheduled share is 0 */
  PL_PHASE_RISING,  /* rises at the slope of the ramp */
  PL_PHASE_FULL,    /* the applied share is share_permille of the shift */
  PL_PHASE_SLOWED,  /* rises at half the slope of the ramp */
  PL_PHASE_HELD,    /* the destination lacks headroom or is cold */
  PL_PHASE_FALLING, /* the destination is nearly full */
} PlPhase;

typedef struct
{
  uint32_t permille;           /* to apply now */
  uint32_t scheduled_permille; /* result of pl_scheduled_permille */
  PlPhase phase;
  gboolean phase_changed; /* since the previous step; for the event log */
} PlShare;

/* Returns whether DRAIN is in effect.  */
gboolean pl_drain_is_active (const CfDrain *drain, int64_t wall_ms);

/* Returns whether a drain of the object of KIND called NAME is in effect.  */
gboolean pl_is_draining (const CfConfig *config, CfDrainKind kind,
                         const char *name, int64_t wall_ms);

/* Returns whether a drain of TARGET, of its ZONE or of the region of ZONE is
   in effect.  ZONE may be NULL if it is not known.  */
gboolean pl_target_is_draining (const CfConfig *config, const char *target,
                                const char *zone, int64_t wall_ms);

/* Like pl_target_is_draining for an entry VM.  */
gboolean pl_vm_is_draining (const CfConfig *config, const char *vm,
                            const char *zone, int64_t wall_ms);

/* Returns the drains in effect, as CfDrain that belong to CONFIG.  Free the
   array with g_ptr_array_unref.  */
GPtrArray *pl_active_drains (const CfConfig *config, int64_t wall_ms);

/* Returns the next time at which a drain or shift begins, ends or reaches the
   end of its ramp, or INT64_MAX.  Between two such times only ramps change. */
int64_t pl_next_change_ms (const CfConfig *config, int64_t wall_ms);

/* Returns the share that the configuration gives SHIFT at WALL_MS, reduced for
   PL_CLOCK_ERROR_MS.  */
uint32_t pl_scheduled_permille (const CfShift *shift, int64_t wall_ms);

PlController *pl_controller_new (void);
void pl_controller_free (PlController *controller);

/* Returns the share of SHIFT to apply now.  Call it about once a second and
   when DESTINATION changes.  */
PlShare pl_controller_step (PlController *controller, const CfShift *shift,
                            const PlDestination *destination, int64_t wall_ms);

/* Removes the state of shifts that are no longer in CONFIG.  */
void pl_controller_prune (PlController *controller, const CfConfig *config);

const char *pl_phase_name (PlPhase phase);

G_DEFINE_AUTOPTR_CLEANUP_FUNC (PlController, pl_controller_free)

#endif
