/* estate_internal.h - store and targets of estate.h, private to standin  */

#ifndef SI_ESTATE_INTERNAL_H
#define SI_ESTATE_INTERNAL_H

#include "standin/estate.h"

typedef struct SiItemStore SiItemStore;

/* The platform's store; ADDRESS is ip:port.  */
SiItemStore *si_item_store_new (struct event_base *base, const char *address,
                                GError **error);
void si_item_store_free (SiItemStore *store);
void si_item_store_put (SiItemStore *store, const char *key, const char *value,
                        gsize value_bytes);
void si_item_store_remove (SiItemStore *store, const char *key);
void si_item_store_compact (SiItemStore *store);
/* Copies the contents, in place of an earlier copy.  */
void si_item_store_save (SiItemStore *store);
/* Replaces the contents by the copy, which is kept, and starts a new era.
   Returns FALSE if there is no copy.  */
gboolean si_item_store_restore (SiItemStore *store);
void si_item_store_set_era (SiItemStore *store, uint64_t era);
/* One line for each key under PREFIX, see estate.h.  Free with g_free.  */
char *si_item_store_list_keys (const SiItemStore *store, const char *prefix);
/* Returns FALSE for an unknown fault.  */
gboolean si_item_store_set_fault (SiItemStore *store, const char *fault);

typedef struct SiStubTarget SiStubTarget;

/* One line for each request, as in estate.h.  */
typedef struct
{
  GString *runs;
  GString *arrivals;
  GString *answers;
} SiStubLogs;

/* A target that responds after a fixed service time, at first 0, to any number
   of requests at once; target.h is the one with slots.  LOGS is copied, its
   strings must outlive the target.  */
SiStubTarget *si_stub_target_new (struct event_base *base, const char *id,
                                  const char *address, const SiStubLogs *logs,
                                  GError **error);
void si_stub_target_free (SiStubTarget *target);
/* Returns FALSE for an unknown fault.  */
gboolean si_stub_target_set_fault (SiStubTarget *target, const char *fault);
/* Texts of headers; empty: none, NULL: as before.  */
typedef struct
{
  const char *limit;   /* Server-Limit */
  const char *leaving; /* Server-Leaving */
  const char *pause;   /* Retry-After, of refusals */
} SiStubNotices;

void si_stub_target_set_notices (SiStubTarget *target,
                                 const SiStubNotices *notices);
/* Applies to requests that arrive later.  */
void si_stub_target_set_service_time (SiStubTarget *target,
                                      int64_t service_us);

#endif
