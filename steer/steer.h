/* steer.h - choice of the region and target of a request; look-up order

   SYNOPSIS
     const SrPolicy *policy = sr_policy_find ("headroom");
     SrChoice choice;
     policy->choose (&view, &(SrRequest){ .random = r, .bytes = 4096 },
                     &choice);
     if (choice.verdict == SR_VERDICT_BORROW)
       ask (choice.lender_vm, view.targets[choice.target].name);

   DESCRIPTION
     A policy chooses among the targets of one service, as they appear in a
     view: the daemon's own state and what others have reported.  It never
     chooses a target that drains, is unhealthy, or was tried before, nor one
     across a link that has no room for the request.  It names a target only
     with a place where the slot comes from: one of the daemon's own, or a VM
     that is believed to have a free one.

     headroom        own zone, then own region, then the region with the lowest
                     delay and queueing; within it, the better of two random
                     targets by slots in use and by the measured latency and
                     sheds.  Spill-over to another region leaves
                     SR_HEADROOM_PERMILLE of its slots free.  A target that
                     reports to be idle but sheds is passed over.
                     A report of free slots counts less the older it is,
   compared with the target's latency; the mean of all reports takes its place.
     nearest         the zone with the lowest delay
     random          any
     least-reported  the lowest load that targets report

     The last three are baselines for comparison.  They obey the same
   exclusions but not the headroom rule, which the lender enforces by
   sr_may_lend.

     Shifts.  The view gives the share of each shift that leaves the daemon's
     own region.  A request that falls into the share goes to the shift's
     destination if that has room, and otherwise stays.  The choice then names
     the shift.  The caller takes a token of the shift's cap before it sends;
     if there is none it chooses again with no_shift set.

     Random numbers come from the caller, so a choice can be replayed.

   ERRORS
     None.  An index of the view that is out of range is a programming error
   and is asserted.  */

#ifndef SR_STEER_H
#define SR_STEER_H

#include <glib.h>
#include <stdint.h>

/* Share of a region's slots that spill-over from other regions leaves free. */
#define SR_HEADROOM_PERMILLE 100

/* A VM with more load than this goes last in its group of a look-up.  */
#define SR_VM_FULL_PERMILLE 900

/* A target that sheds more than this share is chosen only when there is no
   other even to wait for, and by one request in SR_SHED_RETRY_ONE_IN to see
   whether it has recovered.  */
#define SR_SHED_PERMILLE 200
#define SR_SHED_RETRY_ONE_IN 50

/* Latency assumed for a target of which none was measured.  */
#define SR_LATENCY_DEFAULT_US 10000

#define SR_LOOKUP_TTL_MS 5000

#define SR_NONE UINT32_MAX

typedef struct
{
  const char *name;
  uint32_t delay_us;  /* one way, from the daemon's own region */
  int64_t link_bytes; /* that the link there can take now; own: INT64_MAX */
} SrRegion;

typedef struct
{
  const char *name;
  uint32_t region;   /* index */
  uint32_t delay_us; /* one way, from the daemon's own zone */
} SrZone;

/* Another daemon that holds slots of the target.  A refusal by it is a report
   of 0 free slots with age 0.  */
typedef struct
{
  const char *vm;
  uint32_t free_count; /* last reported, less what was asked for since */
  uint32_t age_ms;     /* of the report */
} SrLender;

typedef struct
{
  const char *name;
  uint32_t zone; /* index */
  gboolean healthy;
  gboolean draining;       /* it, its zone or its region */
  uint32_t slot_count;     /* over the fleet */
  uint32_t limit_count;    /* AIMD limit as far as known; 0: none known */
  uint32_t own_free_count; /* that sl_acquire would give */
  uint32_t in_use_count;   /* where there is no lender to tell free slots */
  const SrLender *lenders;
  uint32_t lender_count;
  uint32_t warm_permille;
  uint32_t reported_running; /* by the target; lags or misleads */
  uint32_t reported_age_ms;
  uint32_t latency_us;    /* measured on answers, 0: none yet */
  uint32_t shed_permille; /* measured recent share of sheds */
} SrTarget;

typedef struct
{
  uint32_t from; /* region */
  uint32_t to;   /* region */
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
  uint64_t random;
  int64_t bytes; /* expected on the link between regions */
  gboolean no_shift;
  gboolean probe; /* when nobody reports a free slot, ask a random holder */
  const uint32_t *tried; /* indexes of targets not to choose */
  uint32_t tried_count;
} SrRequest;

typedef enum
{
  SR_VERDICT_OWN,    /* send, under a slot of the daemon's own */
  SR_VERDICT_BORROW, /* ask lender_vm for a slot, then send */
  SR_VERDICT_WAIT,   /* no slot is known to be free */
  SR_VERDICT_REFUSE, /* no target can be used */
} SrVerdict;

typedef struct
{
  SrVerdict verdict;
  uint32_t target;       /* index, or SR_NONE */
  const char *lender_vm; /* of the view, for SR_VERDICT_BORROW */
  uint32_t shift;        /* index of the shift that moved it, or SR_NONE */
} SrChoice;

typedef struct
{
  const char *name;
  void (*choose) (const SrView *view, const SrRequest *request,
                  SrChoice *choice);
} SrPolicy;

typedef struct
{
  uint32_t slot_count; /* of targets that are healthy and do not drain */
  uint32_t free_count;
  uint32_t headroom_permille; /* 0 for a region without slots */
  uint32_t warm_permille;     /* mean, by slots */
} SrHeadroom;

typedef struct
{
  const char *name;
  uint32_t zone; /* index into the view's zones */
  gboolean leaving;
  uint32_t load_permille;
} SrVm;

/* The policy of that name, or NULL.  */
const SrPolicy *sr_policy_find (const char *name);

/* All policies, ended by one whose name is NULL.  */
const SrPolicy *sr_policies (void);

/* Free slots and warmth of REGION, as far as the view tells.  */
SrHeadroom sr_headroom (const SrView *view, uint32_t region);

/* True if a slot of a target in REGION may go to a daemon of
   BORROWER_REGION.  */
gboolean sr_may_lend (const SrView *view, uint32_t region,
                      uint32_t borrower_region);

/* Writes the indexes of the VMs to offer to a caller of REGION, best first, to
   ORDER, at most ORDER_MAX, and returns how many.  REGION is SR_NONE for an
   address in no block; then the daemon's own region is used.  The order is:
   the region's VMs in the daemon's own zone, its other VMs, then the other
   regions by delay.  Within a group VMs are drawn at random with the spare
   load as weight, since by strict order all callers would move to the same VM
   until the next report; those above SR_VM_FULL_PERMILLE come last.  VMs that
   leave are omitted.  With several hundred VMs this takes tens of
   microseconds: keep a few orders for each region and draw new ones as reports
   arrive.  */
uint32_t sr_lookup_order (const SrView *view, const SrVm *vms,
                          uint32_t vm_count, uint32_t region, uint64_t random,
                          uint32_t *order, uint32_t order_max);

#endif
