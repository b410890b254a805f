/* bench.h - parts of the measuring program

   DESCRIPTION
     A trial starts one deployment with one policy and admission and runs
     scenarios in it.  Every scenario repeats its measurement with the seeds
     1, 2, ... and reports median, lowest and highest value of each measure.
     Results are lines of tab-separated values: scenario, deployment, policy,
     measure, unit, median, low, high.  The policy column also names the
     admission, as in "headroom+lend".

   ERRORS
     Functions that can fail set a GError of the harness's domain.  */

#ifndef BN_BENCH_H
#define BN_BENCH_H

#include <glib.h>
#include <stdio.h>

#include "standin/fixture.h"
#include "standin/harness.h"

#define BN_REPEATS_MAX 5
#define BN_CUSTOMERS 8

typedef struct
{
  const char *bin;
  const char *deployment;
  const char *policy;
  const char *admission;
  FILE *out;
} BnOptions;

typedef struct
{
  char *name;
  double requests;
  double answered;
  double rate_refused;
  double p99_us;
} BnCustomer;

/* One run of load-gen.  */
typedef struct
{
  BnCustomer customers[BN_CUSTOMERS];
  guint customers_count;
  double requests;
  double answered;
  double refused;
  double unknown;
  double wrong;
  double p50_us; /* median over customers */
} BnLoad;

typedef struct
{
  uint32_t duration_ms;
  uint32_t seed;
  double factor;       /* of customer c3 */
  gboolean pinned;     /* c1 sends everything to the first VM */
  const char *address; /* NULL: all VMs */
  gboolean no_orders;
  double rate_permille; /* of the configured rates; 0: 800 */
} BnLoadOptions;

/* Collects the values of the measures of one scenario.  */
typedef struct BnTable BnTable;

BnTable *bn_table_new (const BnOptions *options, const char *scenario);
void bn_add (BnTable *table, const char *measure, const char *unit,
             double value);
/* Writes the lines and frees the table.  */
void bn_table_end (BnTable *table);

/* Starts load-gen; bn_load_end waits for it.  */
pid_t bn_load_begin (SiHarness *harness, const BnLoadOptions *options,
                     GError **error);
gboolean bn_load_end (SiHarness *harness, pid_t pid, uint32_t seed,
                      BnLoad *load, GError **error);
void bn_load_clear (BnLoad *load);
/* Answered share, p99, and refusals within the rate; SKIP is a customer that
   sends more than its rate, or NULL.  */
void bn_add_load (BnTable *table, const BnLoad *load, const char *skip);

/* Starts the deployment of OPTIONS with a configuration in force.  */
SiHarness *bn_start (const BnOptions *options, const SiHarnessOptions *extra,
                     const SiFixtureOptions *fixture, GError **error);

/* Scenarios of one deployment; NULL or "all" runs each.  */
gboolean bn_run_trial (const BnOptions *options, const char *scenario,
                       GError **error);
gboolean bn_is_trial_scenario (const char *name);

gboolean bn_run_added (const BnOptions *options, GError **error);
gboolean bn_run_lookup (const BnOptions *options, GError **error);
gboolean bn_run_slopes (const BnOptions *options, GError **error);

/* Closed loop of CONNECTIONS kept-alive connections; returns the answers in
   DURATION_MS, or -1.  */
int64_t bn_hammer (const char *address, const char *path, guint connections,
                   uint32_t duration_ms);

#endif
