/* estate.h - stand-in for the users' platform: its store and its targets

   SYNOPSIS
     SiUserPlatform *platform
         = si_user_platform_new (base, store_address, control_address,
                                 targets, &error);

   DESCRIPTION
     Implements the published protocol of the platform's store (items, ranges,
     watches, transactions, leases) and of its targets, in one process.  These
     paths of the control address change and read their state:

       POST /put?key=K            stores the body under K
       POST /remove?key=K
       POST /compact              compacts the history up to now
       POST /store?fault=F        F: none, silent, busy, reset
       POST /target?id=I&fault=F  F: none, hang, lose, shed, fail, spoil,
                                  other
       GET /runs                  one line for each executed request: monotonic
                                  time in us, target, attempt id, customer, and
                                  "key" if it carried an Authorization header
                                  or else "nokey"
       GET /arrivals              the same for each request that reached a
                                  target

     Targets send a complete response at once unless a fault is set:

       hang    execute the request and never respond
       lose    execute the request, then close without a response
       shed    reject the request with 503 without executing it
       fail    execute the request and respond with 500
       spoil   leave out the signature header
       other   respond with 421, as if the address belonged to another target

   ERRORS
     SI_ERROR_SPAWN  an address cannot be bound  */

#ifndef SI_ESTATE_H
#define SI_ESTATE_H

#include "standin/harness.h"
#include "standin/serve.h"

typedef struct SiUserPlatform SiUserPlatform;

/* TARGETS holds "ID=IP:PORT" strings and ends with NULL; the addresses are
   ip:port.  */
SiUserPlatform *si_user_platform_new (struct event_base *base,
                                      const char *store_address,
                                      const char *control_address,
                                      char *const *targets, GError **error);
void si_user_platform_free (SiUserPlatform *platform);

#endif
