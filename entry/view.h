/* view.h - this daemon's local copy of the configuration and the target list

   DESCRIPTION
     Owns the configuration in force, the time of its last confirmation by the
     store, and the target list.  A configuration with an older version than
     the one in force is refused.  The configuration and the evacuations of
     zones are the operator entries of the store.

     The region leader reads the store and sends target deltas and
     confirmations to the other daemons of its region, see relay.h; a daemon
     that receives nothing from it reads the store itself.  */

#ifndef EN_VIEW_H
#define EN_VIEW_H

#include <glib.h>

#include "entry/listing.h"
#include "entry/relay.h"
#include "entry/settings.h"
#include "gossip/gossip.h"
#include "platform/platform.h"
#include "trace/trace.h"

typedef struct EnView EnView;

typedef struct
{
  struct event_base *base;
  const EnSettings *settings;
  PfStore *store;
  TrTrace *trace;
  void (*on_config) (RtConfig *config, void *data);
  /* The result of en_view_is_ready may have changed.  */
  void (*on_readiness_change) (void *data);
  /* Both are called for what this daemon itself read from the store.  */
  void (*on_target_delta) (const GoTargetDelta *delta, void *data);
  void (*on_store_read) (const EnStoreRead *store_read, void *data);
  void *data;
} EnViewOptions;

EnView *en_view_new (const EnViewOptions *options);
void en_view_free (EnView *view);

/* NULL before the first one; owned by VIEW.  */
RtConfig *en_view_config (const EnView *view);
EnListing *en_view_listing (const EnView *view);
TgSet *en_view_targets (const EnView *view);

/* Applies a confirmation of the operator entries by another daemon; ignored
   until this daemon has completed a full read.  With MAY_FOLLOW this daemon
   pauses its watch of them while confirmations arrive, and its configuration
   is confirmed also in a later era of the store that it has not read yet.  */
void en_view_apply_confirmation (EnView *view,
                                 const GoConfirmation *confirmation,
                                 gboolean may_follow);

/* Records the era of the store as settled if that is due; for the region
   leader.  */
void en_view_record_era (EnView *view, int64_t now_us);

/* Time since the store last confirmed the configuration, or -1 before the
   first confirmation.  */
int64_t en_view_config_age_us (const EnView *view, int64_t now_us);
/* Whether the configuration is confirmed recently enough to reject every key
   whose revocation must have taken effect.  */
gboolean en_view_has_fresh_keys (const EnView *view, int64_t now_us);
/* Whether the configuration is confirmed recently enough to reject a route or
   key that it lacks: had a later one added it, that would have to be in force
   by now.  */
gboolean en_view_may_reject (const EnView *view, int64_t now_us);
/* Whether the last call of the store for the configuration succeeded.  */
gboolean en_view_reaches_store (const EnView *view);
/* Whether the target list is loaded and the configuration is fresh, so that
   requests can be served.  */
gboolean en_view_is_ready (const EnView *view, int64_t now_us);

#endif
