/* platform.h - in-memory stand-in for the platform's store and list of VMs

   DESCRIPTION
     Serves the parts of Consul's HTTP API that the store package uses on the
     store address, and control paths for tests on the control address:

       /control/outage?mode=off|close|hang   of the store address: closes
                                             connections, or never responds
       /control/delay?ms=N                   before each request is handled
       /control/lose?writes=N                the next N writes (default 1) take
                                             effect, but the connection is
                                             closed without a response
       /control/stale?mode=off|plain|all     reads without `consistent`
                                             (plain), or all reads, return the
                                             state at the time of this call
       /control/list?service=S&id=I&zone=Z&address=A&port=P&state=live|leaving|gone
                                             changes a list; gone removes
       /control/list_lag?ms=N                later list changes take effect
                                             after N ms
       /control/counts                       JSON: counters of reads, writes,
                                             watches, lists (reads of a list)
                                             and refused (in an outage), which
                                             reset=1 then sets to 0; also armed
                                             (pending watches) and connections
       /control/dump?prefix=P                keys, values and indexes as JSON

   ERRORS
     SI_ERROR_SPAWN  an address cannot be bound  */

#ifndef SI_PLATFORM_H
#define SI_PLATFORM_H

#include "standin/serve.h"

typedef struct SiPlatform SiPlatform;

/* LISTEN (the store address) and CONTROL are ip:port.  */
SiPlatform *si_platform_new (struct event_base *base, const char *listen,
                             const char *control, GError **error);
void si_platform_free (SiPlatform *platform);

#endif
