/* listing.h - the targets as the store lists them

   SYNOPSIS
     EnListing *listing = en_listing_new (&options);
     TgSet *targets = en_listing_targets (listing);

   DESCRIPTION
     Owns the set of targets and keeps it as the store lists it.  One daemon of
     each region reads the store and tells the others of changes, see relay.h;
     a daemon that hears nothing of it, or missed some, reads for itself.  A
     target that disappears while the store does not answer, or shortly after
     its return, is kept until it had time to report again.

   ERRORS
     An entry that cannot be read is logged and skipped.  */

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
  void (*on_known) (void *data); /* the first reading is complete */
  void (*on_news) (const GoNews *news, void *data);
  void *data;
} EnListingOptions;

EnListing *en_listing_new (const EnListingOptions *options);
void en_listing_free (EnListing *listing);

TgSet *en_listing_targets (const EnListing *listing);
gboolean en_listing_is_known (const EnListing *listing);
/* What the daemon that reads for this region has told.  */
void en_listing_take_news (EnListing *listing, const GoNews *news,
                           gboolean may_rest);

void en_log_unreadable (TrTrace *trace, const char *key, const char *problem);

G_DEFINE_AUTOPTR_CLEANUP_FUNC (EnListing, en_listing_free)

#endif
