/* steer.h - selection of a region and target for a request; order of entry VMs
   in a lookup

   SYNOPSIS
     const SrPolicy *policy = sr_find_policy ("headroom");
     SrChoice choice;
     policy->choose (&view, &(SrRequest){ .random = r, .bytes = 4096 },
                     &choice);
     if (choice.verdict == SR_VERDICT_BORROW)
       request_slot (choice.lender_vm, view.targets[choice.target].name);

   DESCRIPTION
     A policy selects one of the targets of a service from a view, which holds
     the daemon's own state and what other daemons and targets have reported.
     It never selects a target that is draining, unhealthy or already tried,
     nor one across a link without capacity for the request.

     A request needs one of the target's slots (slot.h), each of which is held
     by one daemon.  A selected target always comes with the source of its
     slot: one that the daemon itself holds, or a lender, the VM of another
     daemon that is expected to have a free one.

     headroom        own zone, then own region, then the region with the lowest
                     delay and queueing; within it, the better of two random
                     targets by slots in use, measured latency and the measured
                     fraction of requests that the target sheds (refuses
                     because of its load).  A target that sheds is avoided even
                     if it reports that it is idle.  Headroom rule: spill-over
                     to another region leaves SR_HEADROOM_PERMILLE of its slots
                     free.  The weight of a report of free slots decays with
                     its age relative to the target's latency; the mean of all
                     reports makes up the rest.
     nearest         the zone with the lowest delay
     random          any target
     least-reported  the target with the lowest reported load

     The last three are baselines for comparison.  They apply the same
     exclusions but not the headroom rule, which the lender enforces with
     sr_may_lend.

     Shifts.  A shift moves a share of a region's requests to another region.
     The view holds the share of each shift that leaves the daemon's own
     region.  A request within that share goes to the shift's destination if
     there is capacity and otherwise stays; the choice names the shift.  The
     daemon takes a token from the shift's cap before it sends.  If there is
     none, it chooses again with no_shift set.

     All random numbers derive from an argument, so a choice can be reproduced.

   ERRORS
     None.  An index in the view that is out of range is a programming error
     and fails an assertion.  */

#ifndef SR_STEER_H
#define SR_STEER_H

#include <glib.h>
#include <stdint.h>

/* Fraction of a region's slots that is kept free of spill-over.  */
#define SR_HEADROOM_PERMILLE 100

/* A VM above this load comes last in its group of a lookup (sr_lookup_order).
 */
#define SR_VM_FULL_PERMILLE 900

/* A target that sheds more than this fraction of its requests is chosen only
   if there is no other target, not even one to wait for, and by one request in
   SR_RECOVERY_CHECK_ONE_IN to detect its recovery.  */
#define SR_SHED_MAX_PERMILLE 200
#define SR_RECOVERY_CHECK_ONE_IN 50

/* Latency assumed for a target without a measurement.  */
#define SR_LATENCY_DEFAULT_US 10000

/* How long the caller may use the result of a lookup.  */
#define SR_LOOKUP_TTL_MS 5000

#define SR_NONE UINT32_MAX

typedef struct
{
  const char *name;
  uint32_t delay_us; /* one way, from the daemon's own region */
  /* Current capacity of the link to it; INT64_MAX for the own region.  */
  int64_t link_bytes;
} SrRegion;

typedef struct
{
  const char *name;
  uint32_t region;   /* index */
  uint32_t delay_us; /* one way, from the daemon's own zone */
} SrZone;

/* Another daemon that holds slots of the target.  A refusal counts as a report
   of 0 free slots with age 0.  */
typedef struct
{
  const char *vm;
  uint32_t free_count; /* last reported, less slots requested since */
  uint32_t age_ms;     /* of the report */
} SrLender;

typedef struct
{
  const char *name;
  uint32_t zone; /* index */
  gboolean healthy;
  gboolean draining;       /* the target, its zone or its region */
  uint32_t slot_count;     /* over all daemons */
  uint32_t limit_count;    /* AIMD limit, 0 if unknown */
  uint32_t own_free_count; /* free slots of the daemon, for sl_acquire */
  uint32_t in_use_count;   /* ignored if there are lenders */
  const SrLender *lenders;
  uint32_t lender_count;
  uint32_t warm_permille; /* cache warmth that it reports */
  /* Requests in progress, reported by the target; may be stale or wrong.  */
  uint32_t reported_running;
  uint32_t reported_age_ms; /* of that report; not read */
  uint32_t latency_us;      /* measured on responses, 0 if none */
  uint32_t shed_permille;   /* recently measured fraction of requests shed */
} SrTarget;

typedef struct
{
  uint32_t from_region; /* index */
  uint32_t to_region;   /* index */
  uint32_t share_permille;
} SrShift;

typedef struct
{
  uint32_t own_zone;
  const SrRegion *regions;
  uint32_t region_count;
  const SrZone *zones;
  uint32_t zone_count;
  const SrTarget *targets;
  uint32_t target_count;
  const SrShift *shifts;
  uint32_t shift_count;
} SrView;

typedef struct
{
  uint64_t random;   /* seed of the choice */
  int64_t bytes;     /* expected on the link between regions */
  gboolean no_shift; /* ignore the view's shifts */
  /* If no lender reports a free slot, choose a random target to borrow.  */
  gboolean probe;
  const uint32_t *tried; /* indexes of targets to exclude */
  uint32_t tried_count;
} SrRequest;

typedef enum
{
  SR_VERDICT_OWN,    /* send, using a slot of the daemon's own */
  SR_VERDICT_BORROW, /* request a slot from lender_vm, then send */
  SR_VERDICT_WAIT,   /* no slot is known to be free */
  SR_VERDICT_REFUSE, /* no target can be used */
} SrVerdict;

typedef struct
{
  SrVerdict verdict;
  uint32_t target;       /* index, or SR_NONE */
  const char *lender_vm; /* of the view, for SR_VERDICT_BORROW */
  uint32_t shift;        /* index of the shift that was applied, or SR_NONE */
} SrChoice;

typedef struct
{
  const char *name;
  void (*choose) (const SrView *view, const SrRequest *request,
                  SrChoice *choice);
} SrPolicy;

typedef struct
{
  uint32_t slot_count; /* of targets that are healthy and not draining */
  uint32_t free_count;
  uint32_t headroom_permille; /* 0 for a region without slots */
  uint32_t warm_permille;     /* mean of targets, weighted by slots */
} SrHeadroom;

typedef struct
{
  const char *name;
  uint32_t zone;    /* index into the view's zones */
  gboolean leaving; /* not to be used by new callers */
  uint32_t load_permille;
} SrVm;

/* Returns the policy called NAME, or NULL.  */
const SrPolicy *sr_find_policy (const char *name);

/* Returns all policies; the last entry has a NULL name.  */
const SrPolicy *sr_policies (void);

/* Returns the free slots and the mean of warm_permille in REGION according to
   VIEW.  */
SrHeadroom sr_region_headroom (const SrView *view, uint32_t region);

/* TRUE if a slot of a target in REGION may be lent to a daemon of
   BORROWER_REGION: always within a region, otherwise if SR_HEADROOM_PERMILLE
   of REGION's slots stay free.  */
gboolean sr_may_lend (const SrView *view, uint32_t region,
                      uint32_t borrower_region);

/* Writes the indexes of up to ORDER_MAX VMs for a caller in REGION to ORDER,
   best first, and returns their number.  REGION is SR_NONE for a caller whose
   address is in no known address block; the daemon's own region is used then.
   The VMs of the region in the daemon's own zone come first, then the region's
   other VMs, then those of the other regions by delay.  Within a group the
   order is random, weighted by spare capacity, since a strict order would send
   all callers to the same VM until the next report; VMs above
   SR_VM_FULL_PERMILLE come last.  Leaving VMs are omitted.  A call takes tens
   of microseconds with several hundred VMs, so a daemon should cache a few
   orders for each region and renew them as reports arrive.  */
uint32_t sr_lookup_order (const SrView *view, const SrVm *vms,
                          uint32_t vm_count, uint32_t region, uint64_t random,
                          uint32_t *order, uint32_t order_max);

#endif
