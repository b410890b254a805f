/* estate.h - stand-in for the users' platform: its store and its targets

   SYNOPSIS
     SiUserPlatform *platform
         = si_user_platform_new (base, store_address, control_address,
                                 targets, &error);

   DESCRIPTION
     Implements, in one process, the published protocol of the platform that
     platform/ adapts to: that of its store (items, ranges, watches,
     transactions, leases) and that of its targets.  platform.h is the stand-in
     for a store with Consul's HTTP API.  These paths of the control address
     change and read the state:

       POST /put?key=K            stores the body under K
       POST /remove?key=K         removes K
       POST /compact              compacts the history up to now
       POST /save                 keeps a copy of the store's items, history,
                                  revision and leases
       POST /restore              puts the store back to the copy; 404 if there
                                  is none
       POST /era?era=N            sets the era of the store's responses
       POST /store?fault=F        sets a fault of the store
       POST /target?id=I&fault=F  sets a fault of target I
       POST /target?id=I&service_ms=N
                                  sets the service time of target I, at first
                                  0, for requests that arrive later
       POST /target?id=I&limit=L&leaving=T&pause=P
                                  sets the headers Server-Limit and
                                  Server-Leaving of target I, and Retry-After
                                  of its refusals; none if the value is empty,
                                  as before if it is not given
       GET /runs                  one line for each executed request: monotonic
                                  time in us, target, attempt id, customer ("-"
                                  where the header is missing), and "key" if it
                                  carried an Authorization header or else
                                  "nokey"
       GET /arrivals              the same for each request that reached a
                                  target
       GET /answers               the same for each response that a target sent
                                  to an open connection
       GET /keys?prefix=P         one line for each key under P: key, revision,
                                  lease (0: none)

     /restore closes the connections of pending watches and increments the
     header Store-Era of the store's responses, which starts at 1.  Revisions
     and leases assigned since /save are assigned again.  /restore writes
     nothing: a test in which the operator and the targets write their entries
     again does so with /put.  Leases do not expire.

     The fault "none" ends a fault.  The store handles each request unless a
     fault is set:

       silent  never respond
       busy    respond with 503
       reset   close the connection without a response

     Targets send a complete response after their service time unless a fault
     is set:

       hang    execute the request and never respond
       lose    execute the request, then close without a response
       shed    reject the request with 503 without executing it
       fail    execute the request and respond with 500
       stale   execute the request, and respond as if it were an earlier one
               that was rejected, without its id
       spoil   leave out the signature header
       crash   execute the request, then close all connections and refuse new
               ones until another fault is set
       repeat  reject each request the first time it comes, and send a second
               copy of that where the next response on the connection is due
       large   succeed with a body of 8 MB, but for paths that end in /small
       other   respond with 421 without executing the request, as if the
               address belonged to another target

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
