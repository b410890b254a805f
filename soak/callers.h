/* callers.h - callers that keep their connections open

   SYNOPSIS
     SkCallers *callers = sk_callers_new (base, site, record, seed);
     event_base_dispatch (base);
     sk_callers_free (callers);

   DESCRIPTION
     Each caller sends one request after the other on one connection to one
     daemon for as long as that connection lasts, through signals and
     restarts, and connects to the next daemon when it is gone.  Every request
     and its end go into the record.

   ERRORS
     None; a request without an answer has status 0.  */

#ifndef SK_CALLERS_H
#define SK_CALLERS_H

#include "soak/record.h"
#include "soak/site.h"

struct event_base;

typedef struct SkCallers SkCallers;

SkCallers *sk_callers_new (struct event_base *base, const SkSite *site,
                           SkRecord *record, uint32_t seed);
void sk_callers_free (SkCallers *callers);
/* No new requests; those that are open end by themselves.  */
void sk_callers_stop (SkCallers *callers);

#endif
