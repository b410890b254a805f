/* suspects.h - recognizes requests that crash targets, over all daemons

   SYNOPSIS
     EnSuspects *suspects = en_suspects_new (&options);
     en_suspects_note_lost (suspects, &loss);
     if (en_suspects_check (suspects, content) == QR_QUARANTINED)
       ... refuse the request ...

   DESCRIPTION
     A request whose connection closes before the response was on a target that
     may have ended.  Whether it has is found out by connecting to it once: a
     target that ended refuses, one that only closed the connection accepts.

     Each such end is reported to a few daemons, the watchers of the request's
     content, found by rendezvous hashing, so that a crash costs few messages.
     A watcher that has counted enough of them tells all daemons to quarantine
     the content.  A daemon at which it has run well since the first of them
     objects, and all drop the quarantine.  After it, daemons try the request
   in the order of their rendezvous weights; the one that serves it tells all.

     A daemon that starts, or was not heard of for a while, is told by the
     watchers of each content what they have counted, before it counts itself
     as ready (shares.h).  That takes one message for each end or quarantine
     from up to four daemons, so that it survives lost datagrams; at most 64
     from each, about those that were noted last.  A watcher also answers
     reports on a content that is quarantined.

   ERRORS
     None.  */

#ifndef EN_SUSPECTS_H
#define EN_SUSPECTS_H

#include <glib.h>

#include "fleet/fleet.h"
#include "gossip/gossip.h"
#include "quarantine/quarantine.h"
#include "trace/trace.h"

struct event_base;

typedef struct EnSuspects EnSuspects;

typedef struct
{
  struct event_base *base;
  const char *gossip_address; /* of this daemon */
  GoSocket *gossip;
  FlFleet *fleet;
  TrTrace *trace;
} EnSuspectsOptions;

/* A request that was on a target when its connection closed.  */
typedef struct
{
  uint64_t content_hash;
  uint64_t incarnation_hash; /* of the target */
  const char *target_id;
  const char *target_address;
} EnLoss;

EnSuspects *en_suspects_new (const EnSuspectsOptions *options);
void en_suspects_free (EnSuspects *suspects);

void en_suspects_note_lost (EnSuspects *suspects, const EnLoss *loss);
void en_suspects_note_served (EnSuspects *suspects, uint64_t content_hash);
/* Whether a request may be sent; if for a trial, it must be sent once only. */
QrVerdict en_suspects_check (EnSuspects *suspects, uint64_t content_hash);
gboolean en_suspects_is_quarantined (EnSuspects *suspects,
                                     uint64_t content_hash);
/* Tells the daemon at GOSSIP_ADDRESS what this one has counted.  */
void en_suspects_hand_over (EnSuspects *suspects, const char *gossip_address);
/* A message of another daemon.  */
void en_suspects_on_message (EnSuspects *suspects, const GoSuspect *message);

G_DEFINE_AUTOPTR_CLEANUP_FUNC (EnSuspects, en_suspects_free)

#endif
