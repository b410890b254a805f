/* callers.h - load from callers with persistent connections

   SYNOPSIS
     SkCallers *callers = sk_callers_new (base, testbed, record, seed);
     event_base_dispatch (base);
     sk_callers_free (callers);

   DESCRIPTION
     Each caller sends requests one at a time over a persistent connection to
     one daemon.  It does not close the connection when the daemon is signalled
     or stopped, but connects to the next daemon once the connection fails.
     SEED determines the pauses between requests and the keys that are sent.
     With probes, two more callers for each daemon send requests to routes that
     were added, removed or moved, that never existed or that only an invalid
     configuration has.
     Every request and its response are added to RECORD; TESTBED and RECORD
     must outlive the callers.

   ERRORS
     None; a request without a response has status 0.  */

#ifndef SK_CALLERS_H
#define SK_CALLERS_H

#include "soak/record.h"
#include "soak/site.h"

struct event_base;

typedef struct SkCallers SkCallers;

SkCallers *sk_callers_new (struct event_base *base, const SkTestbed *testbed,
                           SkRecord *record, uint32_t seed,
                           gboolean with_probes);
void sk_callers_free (SkCallers *callers);
/* Sends no further requests; those in flight complete.  */
void sk_callers_stop (SkCallers *callers);

#endif
