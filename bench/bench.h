/* bench.h - benchmark program

   DESCRIPTION
     A trial starts one deployment whose daemons use one steering policy
     (steer.h) and one admission: "lend", where daemons lend each other tokens
     of a rate limit, or "split", where each keeps a fixed share (quota.h).  It
     runs scenarios in this deployment.  The scenarios added, lookup and slopes
     start deployments of their own.

     A scenario measures once or several times and reports the median, lowest
     and highest value of each measure.  Each load is generated from a seed, 1
     for the first.  Results are lines of tab-separated values: scenario,
     deployment, policy, measure, unit, median, low, high.  The policy column
     also names the admission, as in "headroom+lend".

   ERRORS
     Functions that can fail set a GError in the domain SI_ERROR.  */

#ifndef BN_BENCH_H
#define BN_BENCH_H

#include <glib.h>
#include <stdio.h>

#include "standin/fixture.h"
#include "standin/harness.h"

#define BN_REPEATS_MAX 5
#define BN_CUSTOMER_COUNT 8 /* c1 to c8 of the fixture (fixture.h) */

typedef struct
{
  const char *build_dir;  /* build directory */
  const char *deployment; /* "tammemets" or "cooperative" */
  const char *policy;     /* name of a steering policy */
  const char *admission;  /* "lend" or "split" */
  FILE *out;              /* receives the results */
} BnOptions;

typedef struct
{
  char *name;
  double request_count;
  double answered_count;
  double rate_refused_count; /* with status 429 */
  double p99_us;
} BnCustomerResult;

/* Result of one run of load-gen, the load generator (standin/load.h).  */
typedef struct
{
  BnCustomerResult customers[BN_CUSTOMER_COUNT];
  guint customer_count;
  double request_count;
  double answered_count;
  double refused_count;
  double unknown_count;
  double wrong_response_count; /* truncated, or of another request */
  double p50_us;               /* median over customers */
} BnLoadResult;

typedef struct
{
  uint32_t duration_ms;
  uint32_t seed;
  double offender_factor; /* c3 sends this multiple of its rate; 0: 1 */
  gboolean pin_c1;        /* c1 sends all its requests to the first VM */
  const char *address;    /* NULL: all VMs */
  gboolean no_orders;
  double rate_permille; /* sent, of the configured rates; 0: 800 */
} BnLoadOptions;

/* Measures of one scenario, each with a name, a unit and one value for each
   measurement.  */
typedef struct BnTable BnTable;

BnTable *bn_table_new (const BnOptions *options, const char *scenario);
void bn_table_add (BnTable *table, const char *name, const char *unit,
                   double value);
/* Writes a line for each measure to the results and frees TABLE.  */
void bn_table_finish (BnTable *table);

/* Starts load-gen; returns 0 with ERROR set on failure.  bn_load_wait waits
   for it and reads its summary; clear LOAD with bn_load_clear.  */
pid_t bn_load_start (SiHarness *harness, const BnLoadOptions *options,
                     GError **error);
gboolean bn_load_wait (SiHarness *harness, pid_t pid, uint32_t seed,
                       BnLoadResult *load, GError **error);
void bn_load_clear (BnLoadResult *load);
/* Adds latencies, the fractions of requests that were answered and that were
   refused by rate, and the numbers of unknown outcomes and wrong responses.
   EXCLUDED is a customer that sends more than its rate and is left out of the
   refusals and of the median and worst customer, or NULL.  */
void bn_table_add_load (BnTable *table, const BnLoadResult *load,
                        const char *excluded);

/* Starts the deployment of OPTIONS, with its policy and admission, applies the
   configuration of FIXTURE and waits until the daemons have their shares.  Of
   HARNESS_OPTIONS, the fields that OPTIONS also has are ignored.  Returns NULL
   with ERROR set on failure.  Free with si_harness_free.  */
SiHarness *bn_start_deployment (const BnOptions *options,
                                const SiHarnessOptions *harness_options,
                                const SiFixtureOptions *fixture,
                                GError **error);

/* Runs SCENARIO, or all scenarios of a trial if it is NULL or "all", in one
   deployment.  */
gboolean bn_run_trial (const BnOptions *options, const char *scenario,
                       GError **error);
/* Whether NAME is a scenario that bn_run_trial runs.  */
gboolean bn_is_trial_scenario (const char *name);

/* Scenario "added": latency that the daemon adds to a request, compared with
   direct requests to the target.  */
gboolean bn_run_added_latency (const BnOptions *options, GError **error);
/* Scenario "lookup": lookups a second that a daemon serves, compared with
   requests a second of bench-empty, a server that does no work.  */
gboolean bn_run_lookup_rate (const BnOptions *options, GError **error);
/* Scenario "slopes": CPU time, peer traffic and memory of a daemon, and store
   calls of all daemons, by number of VMs and of address blocks.  */
gboolean bn_run_scaling (const BnOptions *options, GError **error);

/* Sends GET requests for PATH over CONNECTION_COUNT persistent connections;
   each connection sends the next request when it has received the response to
   the previous one.  Returns the number of responses in DURATION_MS, or -1 on
   failure.  */
int64_t bn_run_closed_loop (const char *address, const char *path,
                            guint connection_count, uint32_t duration_ms);

#endif
