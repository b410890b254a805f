/* platform.h - in-memory stand-in of the platform's store and list of VMs

   DESCRIPTION
     Serves the parts of Consul's HTTP API that the store package uses, on
     one address, and control paths for tests on another:

       /control/outage?mode=off|close|hang   of the first address
       /control/delay?ms=N                   before every answer
       /control/lose?writes=N                drop the answers of the next N
                                             writes after they took effect
       /control/stale?mode=off|plain|all     reads (without `consistent`, or
                                             all) see the state of this moment
       /control/list?service=S&id=I&zone=Z&address=A&port=P&state=live|leaving|gone
       /control/list_lag?ms=N                list changes show after N ms
       /control/counts                       JSON; with ?reset=1 zeroed after
       /control/dump?prefix=P                JSON of keys, values and indexes
 */

#ifndef SI_PLATFORM_H
#define SI_PLATFORM_H

#include "standin/serve.h"

typedef struct SiPlatform SiPlatform;

SiPlatform *si_platform_new (struct event_base *base, const char *listen,
                             const char *control, GError **error);
void si_platform_free (SiPlatform *platform);

#endif
