/* relay.h - the region leader publishes what it reads from the store

   SYNOPSIS
     EnRelay *relay = en_relay_new (&options);
     en_relay_publish_target_delta (relay, &delta, now_us);
     en_relay_publish_confirmation (relay, &store_read, now_us);

   DESCRIPTION
     The region leader is the ready daemon with the lowest name of a region.
     It sends target deltas to the other daemons of the region, and
     confirmations that the operator entries, see view.h, are unchanged.  A
     daemon that follows the leader pauses its watches of the store, and
     resumes them once it receives nothing.  It follows only a daemon with a
     lower name: two daemons that followed each other would both leave the
     store unread.

     A confirmation may be delayed, or wait in the socket of a daemon whose
     process is stopped.  So each daemon replies to it with a stamp, the time
     of its own clock, and the leader echoes the stamp in the confirmation of
     the next read that it requests after it has received the stamp.  The
     receiver then knows, without comparing clocks, that the read is no older
     than the stamp.

   ERRORS
     None.  Stamps of an earlier process, and confirmations that echo one, are
     dropped.  */

#ifndef EN_RELAY_H
#define EN_RELAY_H

#include <glib.h>

#include "entry/settings.h"
#include "fleet/fleet.h"
#include "gossip/gossip.h"

typedef struct EnRelay EnRelay;

typedef struct
{
  const EnSettings *settings;
  const FlFleet *fleet;
  GoSocket *gossip;
  int64_t started_ms; /* of this process */
  gboolean (*is_ready) (void *data);
  void *data;
} EnRelayOptions;

/* A completed read or watch of the operator entries.  */
typedef struct
{
  int64_t requested_us; /* when this daemon made the call */
  uint64_t store_era;   /* of the revisions; 0: unknown */
  uint64_t revision;
  uint64_t changed_revision; /* no change after it is known */
  uint64_t config_hash;      /* of the configuration in force */
} EnStoreRead;

EnRelay *en_relay_new (const EnRelayOptions *options);
void en_relay_free (EnRelay *relay);

/* Whether this daemon is the ready one with the lowest name in its region.  */
gboolean en_relay_is_leader (const EnRelay *relay, int64_t now_us);

/* Both send to the other daemons of the region, and send nothing unless this
   daemon is the region leader.  */
void en_relay_publish_target_delta (EnRelay *relay, const GoTargetDelta *delta,
                                    int64_t now_us);
void en_relay_publish_confirmation (EnRelay *relay,
                                    const EnStoreRead *store_read,
                                    int64_t now_us);

/* Whether this daemon may pause its watches while it receives messages from
   the daemon at ADDRESS: a live one of this region with a lower name.  */
gboolean en_relay_may_follow (const EnRelay *relay, const char *address,
                              int64_t now_us);

/* Stores the latest stamp of a daemon for the confirmations to it.  */
void en_relay_on_stamp (EnRelay *relay, const GoStamp *stamp, int64_t now_us);
/* Replies with a stamp.  Returns FALSE for a confirmation that echoes a stamp
   which this process did not send.  */
gboolean en_relay_on_confirmation (EnRelay *relay,
                                   const GoConfirmation *confirmation,
                                   int64_t now_us);

G_DEFINE_AUTOPTR_CLEANUP_FUNC (EnRelay, en_relay_free)

#endif
