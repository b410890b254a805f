/* bench.h - benchmark program

   DESCRIPTION
     A trial starts one deployment with one policy and admission and runs
     scenarios in it.  Every scenario repeats its measurement with the seeds
     1, 2, ... and reports median, lowest and highest value of each measure.
     Results are lines of tab-separated values: scenario, deployment, policy,
     measure, unit, median, low, high.  The policy column also names the
     admission, as in "headroom+lend".

   ERRORS
     Functions that can fail set a GError in the domain SI_ERROR.  */

#ifndef BN_BENCH_H
#define BN_BENCH_H

#include <glib.h>
#include <stdio.h>

#include "standin/fixture.h"
#include "standin/harness.h"

#define BN_REPEATS_MAX 5
#define BN_CUSTOMER_COUNT 8

typedef struct
{
  const char *build_dir;
  const char *deployment;
  const char *policy;
  const char *admission;
  FILE *out;
} BnOptions;

typedef struct
{
  char *name;
  double request_count;
  double answered_count;
  double rate_refused_count; /* with status 429 */
  double p99_us;
} BnCustomerResult;

/* Result of one run of load-gen.  */
typedef struct
{
  BnCustomerResult customers[BN_CUSTOMER_COUNT];
  guint customer_count;
  double request_count;
  double answered_count;
  double refused_count;
  double unknown_count;
  double wrong_response_count; /* truncated or foreign responses */
  double p50_us;               /* median over customers */
} BnLoadResult;

typedef struct
{
  uint32_t duration_ms;
  uint32_t seed;
  double offender_factor; /* multiplies the rate of c3; 0: 1 */
  gboolean pin_c1;        /* c1 sends all its requests to the first VM */
  const char *address;    /* NULL: all VMs */
  gboolean no_orders;
  double rate_permille; /* of the configured rates; 0: 800 */
} BnLoadOptions;

/* Values of the measures of one scenario, one value for each repeat.  */
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
/* Adds latencies, fractions answered, refusals within the rate, and unknown
   and wrong outcomes.  EXCLUDED is a customer that sends more than its rate
   and is left out of the refusals and the measures by customer, or NULL.  */
void bn_table_add_load (BnTable *table, const BnLoadResult *load,
                        const char *excluded);

/* Starts the deployment of OPTIONS, puts a configuration in force and waits
   for the shares of the daemons to settle.  Free with si_harness_free.  */
SiHarness *bn_start_deployment (const BnOptions *options,
                                const SiHarnessOptions *extra,
                                const SiFixtureOptions *fixture,
                                GError **error);

/* Runs SCENARIO in one deployment, or all of them if it is NULL or "all".  */
gboolean bn_run_trial (const BnOptions *options, const char *scenario,
                       GError **error);
gboolean bn_is_trial_scenario (const char *name);

/* Latency that the daemon adds to a request, compared with direct requests to
   the target.  */
gboolean bn_run_added_latency (const BnOptions *options, GError **error);
/* Lookups a second, compared with a server that does no work.  */
gboolean bn_run_lookup_rate (const BnOptions *options, GError **error);
/* CPU time, traffic, store calls and memory of a daemon by number of VMs and
   of address blocks.  */
gboolean bn_run_scaling (const BnOptions *options, GError **error);

/* Sends requests over CONNECTION_COUNT persistent connections, on each the
   next one when the response to the last has come.  Returns the number of
   responses in DURATION_MS, or -1 on failure.  */
int64_t bn_run_closed_loop (const char *address, const char *path,
                            guint connection_count, uint32_t duration_ms);

#endif
