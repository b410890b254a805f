/* callers.h - load from callers with persistent connections

   SYNOPSIS
     SkCallers *callers = sk_callers_new (base, testbed, record, seed);
     event_base_dispatch (base);
     sk_callers_free (callers);

   DESCRIPTION
     Each caller sends requests one at a time over a persistent connection to
     one daemon, and keeps the connection while the daemon is signalled or
     restarts.  When the connection fails, the caller connects to the next
     daemon.  Every request and its response are added to the record.

   ERRORS
     None; a request without a response has status 0.  */

#ifndef SK_CALLERS_H
#define SK_CALLERS_H

#include "soak/record.h"
#include "soak/site.h"

struct event_base;

typedef struct SkCallers SkCallers;

SkCallers *sk_callers_new (struct event_base *base, const SkTestbed *testbed,
                           SkRecord *record, uint32_t seed);
void sk_callers_free (SkCallers *callers);
/* Sends no further requests; those in flight complete.  */
void sk_callers_stop (SkCallers *callers);

#endif
