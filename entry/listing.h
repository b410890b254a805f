/* listing.h - the target list, kept in sync with the store

   SYNOPSIS
     EnListing *listing = en_listing_new (&options);
     TgSet *targets = en_listing_targets (listing);

   DESCRIPTION
     Owns the set of targets and applies the changes of the store to it.  The
     region leader reads the store and publishes target deltas to the other
     daemons of its region, see relay.h; a daemon that receives none, or missed
     some, reads the store itself.  A target whose entry disappears while the
     store does not reply, or shortly after the store has recovered, is
     retained until it has had time to register again.

   ERRORS
     An entry that cannot be decoded is logged.  If its value is not base64, it
     is skipped; otherwise its target is treated as removed.  */

#ifndef EN_LISTING_H
#define EN_LISTING_H

#include <glib.h>

#include "entry/settings.h"
#include "gossip/gossip.h"
#include "platform/platform.h"
#include "trace/trace.h"

typedef struct EnListing EnListing;

typedef struct
{
  struct event_base *base;
  const EnSettings *settings;
  PfStore *store;
  TrTrace *trace;
  void (*on_loaded) (void *data); /* the list was read for the first time */
  /* Changes that this daemon itself read from the store.  */
  void (*on_target_delta) (const GoTargetDelta *delta, void *data);
  void *data;
} EnListingOptions;

EnListing *en_listing_new (const EnListingOptions *options);
void en_listing_free (EnListing *listing);

TgSet *en_listing_targets (const EnListing *listing);
gboolean en_listing_is_loaded (const EnListing *listing);
/* Applies changes that another daemon has read from the store; ignored until
   this daemon has completed a full read.  With MAY_FOLLOW this daemon pauses
   its watch of the store while they arrive, and applies those of a later era
   of the store that it has not read yet.  */
void en_listing_apply_target_delta (EnListing *listing,
                                    const GoTargetDelta *delta,
                                    gboolean may_follow);

/* Logs that the entry KEY of the store cannot be decoded.  */
void en_log_decode_error (TrTrace *trace, const char *key,
                          const char *problem);

G_DEFINE_AUTOPTR_CLEANUP_FUNC (EnListing, en_listing_free)

#endif
