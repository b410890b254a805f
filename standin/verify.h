/* verify.h - checks the invariants of a run from both of its ends

   SYNOPSIS
     SiVerdict verdict;
     si_verify (harness, trace_path, rates, rates_count, &verdict, &error);

   DESCRIPTION
     Compares the trace of load-gen with what standin-target recorded.  The
     two share the monotonic clock of the machine.

     A rate is checked for every interval: a request was surely admitted
     between its first sending and its arrival at a target, so the requests
     that were sent after A and had arrived by B were admitted within [A, B],
     and must be at most burst + rate x (B - A).

   ERRORS
     SI_ERROR_FILE    the trace cannot be read
     SI_ERROR_HTTP, SI_ERROR_STATUS   the records cannot be fetched  */

#ifndef SI_VERIFY_H
#define SI_VERIFY_H

#include "standin/harness.h"

typedef struct
{
  const char *customer;
  uint32_t rate_per_s;
  uint32_t burst;
} SiRate;

typedef struct
{
  uint64_t request_count;
  uint64_t answered_count;
  uint64_t refused_count;
  uint64_t unknown_count;
  uint64_t order_count;
  /* Violations; all are 0 in a correct run.  */
  uint64_t wrong_count;         /* R7: cut or foreign answer */
  uint64_t foreign_count;       /* R3: ran for another customer */
  uint64_t key_seen_count;      /* R4 */
  uint64_t over_rate_count;     /* R6: customers with an interval above */
  uint64_t false_not_run_count; /* R8: refused as not run, but ran */
  uint64_t doubled_count;       /* R9: orders that ran more than once */
  uint64_t lost_count;          /* answered orders that never ran */
  uint32_t running_max;         /* of any target; 3 slots */
  uint32_t connections_max;     /* of any target; 330 */
} SiVerdict;

gboolean si_verify (const SiHarness *harness, const char *trace_path,
                    const SiRate *rates, guint rates_count, SiVerdict *verdict,
                    GError **error);

/* Requests that reached TARGET later than AT_US; -1 with ERROR set.  */
int64_t si_verify_after (const SiHarness *harness, const char *target,
                         int64_t at_us, GError **error);

/* *AT_US is when the newest request reached TARGET, 0 if none did.  */
gboolean si_last_arrival (const SiHarness *harness, const char *target,
                          int64_t *at_us, GError **error);

#endif
