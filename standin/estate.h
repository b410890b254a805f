/* estate.h - stand-in of the users' platform: its store and targets

   SYNOPSIS
     SiEstate *estate = si_estate_new (base, store, control, targets, &error);

   DESCRIPTION
     Speaks the published protocol of the platform's store (items, ranges,
     watches, transactions, leases) and of its targets, in one process.  The
     control address changes both:

       POST /put?key=K            the body becomes the value
       POST /remove?key=K
       POST /compact              history up to now is dropped
       POST /store?fault=F        F: none, silent, busy, reset
       POST /target?id=I&fault=F  F: none, hang, lose, shed, fail, spoil,
                                  other
       GET /runs                  a line a run: monotonic time in us, target,
                                  request, customer, "key" or "nokey" as one
                                  was seen
       GET /arrivals              the same for all that reached a target

     Targets answer whole and at once unless a fault is set: hang: never;
     lose: run, then close without an answer; shed: refuse unrun; fail: 500;
     without the signature; other: answer as another target has the address.

   ERRORS
     SI_ERROR_SPAWN  an address cannot be bound  */

#ifndef SI_ESTATE_H
#define SI_ESTATE_H

#include "standin/harness.h"
#include "standin/serve.h"

typedef struct SiEstate SiEstate;

/* TARGETS holds "ID=IP:PORT" texts.  */
SiEstate *si_estate_new (struct event_base *base, const char *store,
                         const char *control, char *const *targets,
                         GError **error);
void si_estate_free (SiEstate *estate);

#endif
