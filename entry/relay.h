/* relay.h - one daemon reads the store for its region

   SYNOPSIS
     EnRelay *relay = en_relay_new (&options);
     en_relay_tell (relay, &news, now_us);
     en_relay_confirm (relay, &reading, now_us);

   DESCRIPTION
     The ready daemon with the lowest name of a region is its reader: it tells
     the others what targets report, and confirms what the operators hold.  The
     others rest meanwhile; each reads for itself once it hears nothing.  A
     daemon rests only for one with a lower name: two that took each other for
     the reader would leave the store unread.

     A confirmation may be late, or wait in the socket of a daemon that is
     stopped.  So each daemon answers it with a stamp of its own clock, and the
     reader echoes the stamp with the next reading that was asked for after
     that.  The receiver then knows without comparing clocks that the reading
     is no older than its stamp.

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

/* A reading of what the operators hold.  */
typedef struct
{
  int64_t asked_us;
  uint64_t revision;
  uint64_t changed_revision;
} EnReading;

EnRelay *en_relay_new (const EnRelayOptions *options);
void en_relay_free (EnRelay *relay);

/* Both do nothing where another daemon is the reader.  */
void en_relay_tell (EnRelay *relay, const GoNews *news, int64_t now_us);
void en_relay_confirm (EnRelay *relay, const EnReading *reading,
                       int64_t now_us);

/* Whether this daemon may rest for what the one at ADDRESS tells.  */
gboolean en_relay_may_rest_for (const EnRelay *relay, const char *address,
                                int64_t now_us);

void en_relay_take_stamp (EnRelay *relay, const GoStamp *stamp,
                          int64_t now_us);
/* Answers with a stamp.  Returns whether the confirmation is for this
   process.  */
gboolean en_relay_take_confirmation (EnRelay *relay,
                                     const GoConfirmation *confirmation,
                                     int64_t now_us);

G_DEFINE_AUTOPTR_CLEANUP_FUNC (EnRelay, en_relay_free)

#endif
