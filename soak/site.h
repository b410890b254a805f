/* site.h - the processes of a soak test, and fault injection

   SYNOPSIS
     SkTestbed *testbed = sk_testbed_new (build_dir, log_dir, record, &error);
     sk_testbed_begin_fault (testbed, &fault);
     sk_testbed_restart_stopped (testbed);
     sk_testbed_end_fault (testbed, &fault);

   DESCRIPTION
     A testbed starts the platform stand-in (store and targets), the fault
     proxy and three daemons in two regions, each as a process.  Each daemon
     reaches the store through a proxy link of its own; all reach a target
     through the link of that target.  Only processes that the testbed started
     are signalled.  Faults that change what the checks of record.h expect are
     added to RECORD as periods; RECORD must outlive the testbed.

     While the store is away before it comes back from a copy, operator and
     targets write nothing.  After its return each of them writes again what it
     last wrote or would have written, within SK_REWRITE_MAX_MS.

     Customer c1 has no rate limit, and a key that faults rotate; its keys are
     numbered from 1.  Customer c2 has a rate limit.  Requests below /read/ and
     /order/ need a key, others do not.  Those below /order/ are unsafe. Faults
     move the route /move/ between the services "s" and "s2", and add and
   remove routes /xN/, each with a number of its own.  Invalid configurations
   have the route /bad/.

   ERRORS
     SI_ERROR_SPAWN, SI_ERROR_TIMEOUT  the processes did not start  */

#ifndef SK_SITE_H
#define SK_SITE_H

#include "soak/plan.h"
#include "soak/record.h"

#define SK_DAEMON_COUNT 3
/* Targets of service "s", which faults affect.  */
#define SK_TARGET_COUNT 6
/* With those of service "s2".  */
#define SK_ALL_TARGET_COUNT 8
#define SK_ZONE_COUNT 3
/* Settings of the daemons.  */
#define SK_STOP_GRACE_MS 6000
#define SK_KEY_REVOCATION_MS 3000
/* Timeout of the routes.  */
#define SK_TIMEOUT_MS 4000
/* Rate that a cold target can handle.  */
#define SK_COLD_PER_S 5
/* Rate and burst of c2.  */
#define SK_LIMITED_PER_S 12

typedef struct SkTestbed SkTestbed;

/* Logs and settings files are written to LOG_DIR.  */
SkTestbed *sk_testbed_new (const char *build_dir, const char *log_dir,
                           SkRecord *record, GError **error);
/* Kills all processes that still run.  */
void sk_testbed_free (SkTestbed *testbed);

void sk_testbed_begin_fault (SkTestbed *testbed, const SkFault *fault);
void sk_testbed_end_fault (SkTestbed *testbed, const SkFault *fault);
/* Restarts the daemons that were stopped and have exited, and kills those that
   exceeded the grace period.  Call it periodically.  */
void sk_testbed_restart_stopped (SkTestbed *testbed);
/* Writes the entries that a restore lost and that are due.  Call it
   periodically.  */
void sk_testbed_rewrite_lost (SkTestbed *testbed);

/* DAEMON is taken modulo SK_DAEMON_COUNT.  */
const char *sk_testbed_front_address (const SkTestbed *testbed,
                                      uint32_t daemon);
/* Number of the current key of c1.  */
int sk_testbed_key_number (const SkTestbed *testbed);
/* Number of the route that was added last, 0 before the first.  */
int sk_testbed_route_number (const SkTestbed *testbed);
/* The lines of all targets for runs, arrivals and answers of requests, as in
   record.h; NULL without a response.  Free with g_free.  */
char *sk_testbed_get_runs (const SkTestbed *testbed);
char *sk_testbed_get_arrivals (const SkTestbed *testbed);
char *sk_testbed_get_answers (const SkTestbed *testbed);
const char *sk_testbed_target_zone (const char *target);
const char *sk_testbed_target_service (const char *target);
/* Strings: failures to start, stop or control a process.  */
const GPtrArray *sk_testbed_errors (const SkTestbed *testbed);

G_DEFINE_AUTOPTR_CLEANUP_FUNC (SkTestbed, sk_testbed_free)

#endif
