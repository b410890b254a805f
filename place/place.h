/* place.h - placement of objects on targets

   SYNOPSIS
     RpMap *map = rp_new (&(RpOptions){ .region = "a", .region_count = 3,
                                        .imbalance_max = 0.1 });
     rp_set_targets (map, targets, target_count);
     uint32_t indexes[RP_REPLICAS_MAX];
     uint32_t count = rp_replicas (map, object_hash, indexes);

   DESCRIPTION
     A map assigns each object, given by a hash, up to RP_REPLICAS_MAX targets
     in order of preference, its replicas.  The result depends on the options
     and the set of targets only, not on the order in which the targets became
     known, on earlier sets, or on other objects.  So the daemons of a region
     that know the same targets agree, and a target that returns gets its own
     objects back.

     Within a region the first replica is chosen by weighted rendezvous
     hashing: each target draws a time from the hash of the object and its own,
     exponentially distributed with the target's size as rate, and the earliest
     is chosen.  A target gets objects in proportion to its size, and when a
     target is added, removed or changes its size, only objects that it gains
     or loses move.

     Callers of REGION_COUNT regions are assumed to request the same number of
     objects each; this is the demand on a region, in units of size.  A region
     whose demand is above its size keeps the objects with the earliest times,
     and places the others in the regions with a surplus, in proportion to it.
     It keeps up to IMBALANCE_MAX more than its size, unless a region with a
     surplus would get less than its size by more than IMBALANCE_MAX.  So the
     share of each target is within IMBALANCE_MAX of its size, and the stop of
     a single target does not usually move objects between regions.

     The second replica is in another zone than the first if the region has
     one; the third is the next target by time.  If the first target is
     removed, and the object stays in the region, one of them becomes the
     first.  A region with too few targets is followed by the next one: the
     own region, then the others by a rendezvous hash.

     The package does no I/O and reads no clock.  A map is used by one thread.

   ERRORS
     None.  Sizes must be above 0 and the hashes of targets distinct.  Without
     targets an object has no replicas.  */

#ifndef RP_PLACE_H
#define RP_PLACE_H

#include <glib.h>
#include <stdint.h>

#define RP_REPLICAS_MAX 3

typedef struct RpMap RpMap;

typedef struct
{
  const char *region;    /* of the callers whose objects are placed */
  uint32_t region_count; /* regions that have callers; at least 1 */
  double imbalance_max;  /* largest relative difference between the share of
                            a target and its size, 0 to 1 */
} RpOptions;

typedef struct
{
  uint64_t id_hash;
  double size;
  const char *zone;
  const char *region;
} RpTarget;

RpMap *rp_new (const RpOptions *options);
void rp_free (RpMap *map);

/* Replaces the targets.  TARGETS is not used after the call.  */
void rp_set_targets (RpMap *map, const RpTarget *targets, uint32_t count);

/* Sets INDEXES to the replicas of the object, as positions in the last array
   of rp_set_targets, and returns their number.  */
uint32_t rp_replicas (const RpMap *map, uint64_t object_hash,
                      uint32_t indexes[RP_REPLICAS_MAX]);

/* The time that the target draws for the object; the earliest is preferred. */
double rp_draw_time (uint64_t object_hash, uint64_t id_hash, double size);

/* Expected fraction, 0 to 1, of the region's objects whose first replica is
   the target at INDEX.  */
double rp_expected_share (const RpMap *map, uint32_t index);

/* Expected fraction, 0 to 1, of the region's objects that are placed in it. */
double rp_local_fraction (const RpMap *map);

#endif
