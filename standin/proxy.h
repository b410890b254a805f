/* proxy.h - TCP links with faults for tests

   DESCRIPTION
     A link forwards TCP connections from one address to another.  Bytes keep
     their order and arrive after the link's delay; the links of one pipe
     share its rate in each direction.  "Up" is from the caller to the other
     address.  Control paths:

       /control/add            body: one link a line, "NAME LISTEN TO
                               [SETTING]", with ip:port addresses
       /control/set?match=P&KEY=VALUE&...
                               for every link whose name matches the glob P;
                               more patterns may stand in the body, one a line
         delay_us, mbit        one way delay; rate, 0 is unlimited
         pipe=NAME, flip=1     links that share a rate; with flip the link
                               lies in the pipe the other way round
         cut=1                 closes connections and refuses new ones
         hold=1                keeps connections and forwards nothing
         partition=1           as hold; connections made meanwhile are closed
                               when it ends and never forwarded
         halfclose=up|down     ends one direction of the open connections
         cut_after_up=N, cut_after_down=N
                               closes a connection after exactly N bytes; -1
                               is never
       /control/links          JSON with connections and bytes of each link  */

#ifndef SI_PROXY_H
#define SI_PROXY_H

#include "standin/serve.h"

typedef struct SiProxy SiProxy;

SiProxy *si_proxy_new (struct event_base *base, const char *control,
                       GError **error);
void si_proxy_free (SiProxy *proxy);

#endif
