/* estate_internal.h - store and targets of an estate, private to standin  */

#ifndef SI_ESTATE_INTERNAL_H
#define SI_ESTATE_INTERNAL_H

#include "standin/estate.h"

typedef struct SiItems SiItems;

/* The platform's store.  */
SiItems *si_items_new (struct event_base *base, const char *address,
                       GError **error);
void si_items_free (SiItems *items);
void si_items_put (SiItems *items, const char *key, const char *value,
                   gsize value_bytes);
void si_items_remove (SiItems *items, const char *key);
void si_items_compact (SiItems *items);
/* FALSE for an unknown fault.  */
gboolean si_items_set_fault (SiItems *items, const char *fault);

typedef struct SiUpstream SiUpstream;

SiUpstream *si_upstream_new (struct event_base *base, const char *id,
                             const char *address, GString *runs,
                             GString *arrivals, GError **error);
void si_upstream_free (SiUpstream *upstream);
gboolean si_upstream_set_fault (SiUpstream *upstream, const char *fault);

#endif
