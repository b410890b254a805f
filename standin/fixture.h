/* fixture.h - test configuration for a planned deployment

   SYNOPSIS
     SiFixtureOptions opts = { .customers_count = 8, .rate_per_s = 40 };
     CfConfig *config = si_fixture_config (harness, &opts);
     si_apply_config (harness, config, &error);

   DESCRIPTION
     Customers are named c1, c2 and so on.  Customer cN has the key "key-cN"
     and the revoked key "key-cN-b".  c1 and c2 are large: their rate is four
     times the rate of the others.  Each service of the deployment has a
     route /SERVICE, which needs a key, and below it /SERVICE/view, which is
     idempotent.  The route /open leads to the second service and needs no
     key.  Callers with an address in 10.N.0.0/16 belong to the Nth region.

   ERRORS
     SI_ERROR_HTTP, SI_ERROR_STATUS   the change was not applied within 20 s */

#ifndef SI_FIXTURE_H
#define SI_FIXTURE_H

#include "conf/conf.h"
#include "standin/harness.h"

typedef struct
{
  uint32_t customers_count; /* default 8 */
  uint32_t rate_per_s;      /* of customers that are not large; default 40 */
  uint32_t burst;           /* default: the rate of the customer */
  uint32_t blocks_count;    /* more blocks of callers, /28 in 10.0.0.0/8 */
} SiFixtureOptions;

/* Release with cf_unref.  */
CfConfig *si_fixture_config (const SiHarness *harness,
                             const SiFixtureOptions *options);
/* Name of the first (INDEX 0) or second service of the deployment.  */
const char *si_fixture_service (const SiHarness *harness, uint32_t index);

/* Applies CONFIG through the first VM, retrying for up to 20 s.  Sets the
   version, op_id and author of CONFIG.  */
gboolean si_apply_config (SiHarness *harness, CfConfig *config,
                          GError **error);

#endif
