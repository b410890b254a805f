/* proxy.h - TCP proxy that emulates network links and their faults

   DESCRIPTION
     A link forwards TCP connections from one address to another.  Bytes keep
     their order and arrive after the link's delay.  The rate belongs to a
     pipe, which one or more links share, and applies to each direction
     separately.  "Up" is from the caller to the destination.  Control paths:

       /control/add            adds a link for each line of the body, "NAME
                               LISTEN DESTINATION [KEY=VALUE&...]", with
                               ip:port addresses and the keys below
       /control/set?match=P&KEY=VALUE&...
                               changes every link whose name matches the glob
                               P or one of the globs in the body, one a line;
                               keys:
         delay_us              one-way delay
         mbit                  rate of the pipe in Mbit/s; 0: unlimited
         pipe=NAME             pipe of the link; default: one that has the
                               name of the link
         flip=1                up on the link is down on the pipe
         cut=1                 closes connections, new ones at once
         hold=1                keeps connections and forwards nothing until
                               hold=0
         partition=1           as hold; connections accepted meanwhile are
                               closed at its end and never forwarded
         halfclose=up|down     shuts down one direction of open connections
         cut_after_up=N, cut_after_down=N
                               closes each connection after exactly N bytes;
                               -1 for never
       /control/links          JSON, connections and bytes of each link  */

#ifndef SI_PROXY_H
#define SI_PROXY_H

#include "standin/serve.h"

typedef struct SiProxy SiProxy;

/* Returns NULL with SI_ERROR_SPAWN if CONTROL_ADDRESS, an ip:port, cannot be
   bound.  */
SiProxy *si_proxy_new (struct event_base *base, const char *control_address,
                       GError **error);
void si_proxy_free (SiProxy *proxy);

#endif
