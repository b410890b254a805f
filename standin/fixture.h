/* fixture.h - a configuration for a planned deployment

   SYNOPSIS
     SiFixtureOptions opts = { .customers_count = 8, .rate_per_s = 40 };
     CfConfig *config = si_fixture_config (harness, &opts);
     si_apply_config (harness, config, &error);

   DESCRIPTION
     Customers are c1, c2 and so on; the key of cN is key-cN, and key-cN-b is
     withdrawn.  c1 and c2 are large: they have four times the rate.  The
     route /SERVICE of each service of the deployment takes keys; below it
     /SERVICE/view is idempotent; /open goes to the second service and needs
     no key.  Addresses 10.N.0.0/16 belong to the Nth region.

   ERRORS
     SI_ERROR_HTTP, SI_ERROR_STATUS   the change was not applied in 20 s  */

#ifndef SI_FIXTURE_H
#define SI_FIXTURE_H

#include "conf/conf.h"
#include "standin/harness.h"

typedef struct
{
  uint32_t customers_count; /* default 8 */
  uint32_t rate_per_s;      /* of a small customer; default 40 */
  uint32_t burst;           /* default: the rate */
  uint32_t blocks_count;    /* more blocks below 10.0.0.0/8 */
} SiFixtureOptions;

CfConfig *si_fixture_config (const SiHarness *harness,
                             const SiFixtureOptions *options);
/* Name of the first or second service of the deployment.  */
const char *si_fixture_service (const SiHarness *harness, uint32_t index);

/* Puts CONFIG in force through the first VM.  Its version, op_id and author
   are set by this call.  */
gboolean si_apply_config (SiHarness *harness, CfConfig *config,
                          GError **error);

#endif
