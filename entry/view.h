/* view.h - what the store says, as this daemon knows it

   DESCRIPTION
     Owns the configuration in force and its age, and the listing of targets.
     Versions only go forward.  One daemon of each region reads the store and
     tells the others, see relay.h; a daemon that hears nothing of it reads for
     itself.  */

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
  void (*on_change) (void *data); /* ready or not may have changed */
  void (*on_news) (const GoNews *news, void *data);
  void (*on_reading) (const EnReading *reading, void *data);
  void *data;
} EnViewOptions;

EnView *en_view_new (const EnViewOptions *options);
void en_view_free (EnView *view);

/* NULL before the first one; belongs to the view.  */
RtConfig *en_view_config (const EnView *view);
EnListing *en_view_listing (const EnView *view);
TgSet *en_view_targets (const EnView *view);

/* What the reader of this region has confirmed of the operators' entries.  */
void en_view_take_confirmation (EnView *view,
                                const GoConfirmation *confirmation,
                                gboolean may_rest);

/* Time since the store last confirmed the configuration; -1: never.  */
int64_t en_view_age_us (const EnView *view, int64_t now_us);
/* Whether a key that was withdrawn long enough ago would be known.  */
gboolean en_view_knows_keys (const EnView *view, int64_t now_us);
/* Whether requests can be served as the operators want it now.  */
gboolean en_view_is_ready (const EnView *view, int64_t now_us);

#endif
