/* verify.h - checks the invariants of a run of load-gen

   SYNOPSIS
     SiVerdict verdict;
     si_verify (harness, trace_path, rates, rates_count, &verdict, &error);

   DESCRIPTION
     Compares the trace of load-gen with the records of standin-target.  Both
     use the monotonic clock of the same host.

     Rate limits are checked for every interval.  A request is admitted between
     its first sending and its first arrival at a target, so requests that were
     sent at A or later and arrived by B were admitted within [A, B].  At most
     burst + rate x (B - A) of them may exist.

   ERRORS
     SI_ERROR_FILE                    the trace cannot be read
     SI_ERROR_HTTP, SI_ERROR_STATUS   the records cannot be fetched  */

#ifndef SI_VERIFY_H
#define SI_VERIFY_H

#include "standin/harness.h"

typedef struct
{
  const char *customer;
  uint32_t rate_per_s;
  uint32_t burst;
} SiRateLimit;

typedef struct
{
  uint64_t request_count;
  uint64_t answered_count;
  uint64_t refused_count;
  uint64_t unknown_count;
  uint64_t order_count;
  /* Violations; all are 0 in a correct run.  */
  uint64_t wrong_response_count; /* truncated, or of another request */
  uint64_t wrong_customer_count; /* arrived under another customer */
  uint64_t key_seen_count;       /* requests with an API key at a target */
  uint64_t over_rate_count;      /* customers above their rate limit */
  uint64_t false_not_run_count;  /* refused as not executed, but executed */
  uint64_t repeated_order_count; /* orders executed more than once */
  uint64_t lost_order_count;     /* answered orders never executed */
  /* Highest values of any target.  */
  uint32_t running_max;     /* at most its 3 slots */
  uint32_t connections_max; /* at most the 330 that a target accepts */
} SiVerdict;

/* Fills VERDICT; RATES holds the RATES_COUNT rate limits to check.  Returns
   FALSE with ERROR set on failure; a violation is no failure.  */
gboolean si_verify (const SiHarness *harness, const char *trace_path,
                    const SiRateLimit *rates, guint rates_count,
                    SiVerdict *verdict, GError **error);

/* Returns the number of requests that reached TARGET later than AT_US, or -1
   with ERROR set.  */
int64_t si_count_requests_after (const SiHarness *harness, const char *target,
                                 int64_t at_us, GError **error);

/* Sets *AT_US to the arrival time of the last request at TARGET, 0 if none
   arrived.  */
gboolean si_get_last_arrival (const SiHarness *harness, const char *target,
                              int64_t *at_us, GError **error);

#endif
