/* occupancy.h - which users hold more than a share of a common resource

   SYNOPSIS
     OcTable *table = oc_new ();
     oc_note (table, user_hash, now_us);
     if (!oc_must_yield (table, user_hash, place_count, now_us))
       oc_add (table, user_hash);
     ...
     oc_remove (table, user_hash);

   DESCRIPTION
     A table counts the places that each user holds.  A user is identified by a
     hash, such as that of a customer's name or of a caller's address; 0 stands
     for none and never yields.

     A user is active for OC_ACTIVE_US after it has asked for a place.  It must
     yield while it holds more than an equal share of the held places among all
     active users, and at least OC_YIELD_MIN, or more than half of all places
     that there are.  A user that is alone never yields.

     The package reads no clock and does no I/O.  Times are in microseconds of
     one monotonic clock.  State is bounded by the places held, and by the
     OC_ACTIVE_MAX users that were active last.

   ERRORS
     None.  */

#ifndef OC_OCCUPANCY_H
#define OC_OCCUPANCY_H

#include <glib.h>
#include <stdint.h>

/* Where there are many places, a user with fewer keeps nobody out.  */
#define OC_YIELD_MIN 8
/* Callers whose request was refused are back by then.  */
#define OC_ACTIVE_US ((int64_t)5000000)
/* With so many users a share is small, whatever the exact number.  */
#define OC_ACTIVE_MAX 256

typedef struct OcTable OcTable;

OcTable *oc_new (void);
void oc_free (OcTable *table);

/* Notes that USER asks for a place, whether or not it gets one.  */
void oc_note (OcTable *table, uint64_t user, int64_t now_us);
void oc_add (OcTable *table, uint64_t user);
/* USER gives up a place that was added.  */
void oc_remove (OcTable *table, uint64_t user);

/* PLACE_COUNT: places that there are, held or not.  */
gboolean oc_must_yield (const OcTable *table, uint64_t user,
                        uint32_t place_count, int64_t now_us);

G_DEFINE_AUTOPTR_CLEANUP_FUNC (OcTable, oc_free)

#endif
