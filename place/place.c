#include "place/place.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

/* Weight, relative to its size, of a region without a surplus: it only comes
   after those that have one.  */
#define REGION_WEIGHT_MIN 1e-9
/* Each step halves the interval, so that the result is exact to the precision
   of a double.  */
#define SEARCH_STEPS 64

typedef struct
{
  uint64_t id_hash;
  uint64_t zone_hash;
  uint64_t region_hash;
  double size;
  uint32_t index; /* in the array of the caller */
} RpNode;

typedef struct
{
  uint64_t hash;
  uint32_t first; /* its nodes in RpMap.nodes */
  uint32_t count;
  double size;   /* of its targets together */
  double demand; /* of its own callers, in units of size */
} RpRegion;

struct RpMap
{
  uint64_t region_hash;
  uint32_t region_count_with_callers;
  double imbalance_max;
  RpNode *nodes; /* ordered by region_hash and id_hash */
  uint32_t node_count;
  uint32_t *positions; /* index of the caller to position in nodes */
  double *times;       /* of nodes, for one object */
  RpRegion *regions;   /* ordered by hash */
  uint32_t region_count;
  RpRegion *own; /* NULL: it has no targets */
  double total_size;
  double local_fraction;
  double local_time_max; /* an object with a later time is placed elsewhere */
};

typedef struct
{
  uint32_t count;
  const RpNode *nodes[RP_REPLICAS_MAX];
} Replicas;

static uint64_t
hash_text (const char *text)
{
  return XXH3_64bits (text, strlen (text));
}

RpMap *
rp_new (const RpOptions *options)
{
  RpMap *map = g_new0 (RpMap, 1);

  map->region_hash = hash_text (options->region);
  map->region_count_with_callers = MAX (1, options->region_count);
  map->imbalance_max = CLAMP (options->imbalance_max, 0.0, 1.0);
  return map;
}

void
rp_free (RpMap *map)
{
  if (map == NULL)
    return;
  g_free (map->nodes);
  g_free (map->positions);
  g_free (map->times);
  g_free (map->regions);
  g_free (map);
}

static int
compare_nodes (const void *a, const void *b)
{
  const RpNode *left = a;
  const RpNode *right = b;

  if (left->region_hash != right->region_hash)
    return left->region_hash < right->region_hash ? -1 : 1;
  return (left->id_hash > right->id_hash) - (left->id_hash < right->id_hash);
}

/* The order of the nodes, and with it the rounding of sums, does not depend on
   the order of TARGETS.  */
static void
set_nodes (RpMap *map, const RpTarget *targets, uint32_t count)
{
  map->nodes = g_renew (RpNode, map->nodes, count);
  map->positions = g_renew (uint32_t, map->positions, count);
  map->times = g_renew (double, map->times, count);
  map->regions = g_renew (RpRegion, map->regions, count);
  map->node_count = count;
  for (uint32_t i = 0; i < count; i++)
    map->nodes[i] = (RpNode){ .id_hash = targets[i].id_hash,
                              .zone_hash = hash_text (targets[i].zone),
                              .region_hash = hash_text (targets[i].region),
                              .size = targets[i].size,
                              .index = i };
  if (count > 0)
    qsort (map->nodes, count, sizeof map->nodes[0], compare_nodes);
  for (uint32_t i = 0; i < count; i++)
    map->positions[map->nodes[i].index] = i;
}

static void
set_regions (RpMap *map)
{
  RpRegion *region = NULL;

  map->region_count = 0;
  map->own = NULL;
  map->total_size = 0;
  for (uint32_t i = 0; i < map->node_count; i++)
    {
      const RpNode *node = &map->nodes[i];
      if (region == NULL || region->hash != node->region_hash)
        {
          region = &map->regions[map->region_count++];
          *region = (RpRegion){ .hash = node->region_hash, .first = i };
          if (region->hash == map->region_hash)
            map->own = region;
        }
      region->count++;
      region->size += node->size;
      map->total_size += node->size;
    }
}

/* If more regions have targets than have callers, the callers of the other
   regions are assumed to be spread over these.  */
static void
set_demands (RpMap *map)
{
  double demand = map->total_size / map->region_count_with_callers;
  uint32_t other_count = map->region_count - (map->own != NULL ? 1 : 0);
  uint32_t other_count_with_callers = map->region_count_with_callers - 1;

  for (uint32_t i = 0; i < map->region_count; i++)
    {
      RpRegion *region = &map->regions[i];
      region->demand = demand;
      if (region != map->own && other_count_with_callers < other_count)
        region->demand *= (double)other_count_with_callers / other_count;
    }
}

/* What the regions cannot serve of the demand of their callers, if each serves
   up to EXCESS more than its size.  */
static double
sum_overflow (const RpMap *map, double excess)
{
  double sum = 0;
  double served = 0;

  for (uint32_t i = 0; i < map->region_count; i++)
    {
      const RpRegion *region = &map->regions[i];
      sum += MAX (0, region->demand - region->size * (1 + excess));
      served += region->demand;
    }
  /* Callers in regions without targets.  */
  return sum + MAX (0, map->total_size - served);
}

/* Returns the overflow that the regions with a surplus need so that none of
   them gets less load than the bound allows: each takes a part of the overflow
   that is proportional to its surplus.  */
static double
needed_overflow (const RpMap *map)
{
  double surplus = 0;
  double ratio = 0;

  for (uint32_t i = 0; i < map->region_count; i++)
    {
      const RpRegion *region = &map->regions[i];
      double missing
          = region->size * (1 - map->imbalance_max) - region->demand;
      if (region->size <= region->demand)
        continue;
      surplus += region->size - region->demand;
      ratio = MAX (ratio, missing / (region->size - region->demand));
    }
  return ratio * surplus;
}

/* Returns the largest excess within the bound at which the regions with a
   surplus get enough load.  With none, all regions get a load equal to their
   size.  */
static double
find_excess (const RpMap *map)
{
  double needed = needed_overflow (map);
  double low = 0;
  double high = map->imbalance_max;

  if (sum_overflow (map, high) >= needed)
    return high;
  for (int i = 0; i < SEARCH_STEPS; i++)
    {
      double middle = (low + high) / 2;
      if (sum_overflow (map, middle) >= needed)
        low = middle;
      else
        high = middle;
    }
  return low;
}

/* The earliest of the times of a region is exponentially distributed with the
   region's size as rate.  */
static void
set_local_fraction (RpMap *map)
{
  const RpRegion *own = map->own;
  double load;

  map->local_fraction = 0;
  map->local_time_max = 0;
  if (own == NULL)
    return;
  load = own->size * (1 + find_excess (map));
  map->local_fraction = MIN (1.0, load / own->demand);
  /* Sums have rounding errors.  */
  if (map->region_count == 1 || map->local_fraction > 1 - 1e-9)
    map->local_fraction = 1;
  map->local_time_max = map->local_fraction == 1
                            ? INFINITY
                            : -log1p (-map->local_fraction) / own->size;
}

void
rp_set_targets (RpMap *map, const RpTarget *targets, uint32_t count)
{
  set_nodes (map, targets, count);
  set_regions (map);
  set_demands (map);
  set_local_fraction (map);
}

/* Exponentially distributed with SIZE as rate.  */
double
rp_draw_time (uint64_t object_hash, uint64_t id_hash, double size)
{
  uint64_t hash
      = XXH3_64bits_withSeed (&object_hash, sizeof object_hash, id_hash);
  double uniform = ((double)(hash >> 11) + 0.5) / (double)(1ULL << 53);

  return -log (uniform) / size;
}

static double
region_weight (const RpRegion *region)
{
  return MAX (region->size - region->demand, region->size * REGION_WEIGHT_MIN);
}

/* Returns the region with the earliest time among the other ones that have no
   replica yet, or NULL.  */
static const RpRegion *
choose_region (const RpMap *map, uint64_t object_hash,
               const Replicas *replicas)
{
  const RpRegion *best = NULL;
  double best_time = INFINITY;

  for (uint32_t i = 0; i < map->region_count; i++)
    {
      const RpRegion *region = &map->regions[i];
      gboolean is_used = region == map->own;
      double time;
      for (uint32_t j = 0; j < replicas->count; j++)
        is_used |= replicas->nodes[j]->region_hash == region->hash;
      if (is_used)
        continue;
      time = rp_draw_time (object_hash, region->hash, region_weight (region));
      if (best != NULL && time >= best_time)
        continue;
      best = region;
      best_time = time;
    }
  return best;
}

/* Returns the earliest time.  */
static double
draw_times (const RpMap *map, const RpRegion *region, uint64_t object_hash)
{
  double best = INFINITY;

  for (uint32_t i = region->first; i < region->first + region->count; i++)
    {
      map->times[i] = rp_draw_time (object_hash, map->nodes[i].id_hash,
                                    map->nodes[i].size);
      best = MIN (best, map->times[i]);
    }
  return best;
}

static gboolean
is_replica (const Replicas *replicas, const RpNode *node)
{
  for (uint32_t i = 0; i < replicas->count; i++)
    if (replicas->nodes[i] == node)
      return TRUE;
  return FALSE;
}

/* Returns the node with the earliest time that is no replica yet and, if
   ZONE_HASH is not NULL, in another zone; or NULL.  */
static const RpNode *
choose_node (const RpMap *map, const RpRegion *region,
             const Replicas *replicas, const uint64_t *zone_hash)
{
  const RpNode *best = NULL;
  double best_time = INFINITY;

  for (uint32_t i = region->first; i < region->first + region->count; i++)
    {
      const RpNode *node = &map->nodes[i];
      if ((best != NULL && map->times[i] >= best_time)
          || (zone_hash != NULL && node->zone_hash == *zone_hash)
          || is_replica (replicas, node))
        continue;
      best = node;
      best_time = map->times[i];
    }
  return best;
}

/* The times of the region have been drawn.  */
static void
add_replicas (const RpMap *map, const RpRegion *region, Replicas *replicas)
{
  while (replicas->count < RP_REPLICAS_MAX)
    {
      const RpNode *node = NULL;
      if (replicas->count == 1)
        node = choose_node (map, region, replicas,
                            &replicas->nodes[0]->zone_hash);
      if (node == NULL)
        node = choose_node (map, region, replicas, NULL);
      if (node == NULL)
        return;
      replicas->nodes[replicas->count++] = node;
    }
}

static void
add_other_region (const RpMap *map, uint64_t object_hash, Replicas *replicas)
{
  const RpRegion *region = choose_region (map, object_hash, replicas);

  if (region == NULL)
    return;
  draw_times (map, region, object_hash);
  add_replicas (map, region, replicas);
}

uint32_t
rp_replicas (const RpMap *map, uint64_t object_hash,
             uint32_t indexes[RP_REPLICAS_MAX])
{
  Replicas replicas = { 0 };

  if (map->own != NULL
      && draw_times (map, map->own, object_hash) <= map->local_time_max)
    add_replicas (map, map->own, &replicas);
  else
    {
      add_other_region (map, object_hash, &replicas);
      if (map->own != NULL && replicas.count < RP_REPLICAS_MAX)
        {
          draw_times (map, map->own, object_hash);
          add_replicas (map, map->own, &replicas);
        }
    }
  for (uint32_t i = 1; i < RP_REPLICAS_MAX; i++)
    if (replicas.count < RP_REPLICAS_MAX)
      add_other_region (map, object_hash, &replicas);
  for (uint32_t i = 0; i < replicas.count; i++)
    indexes[i] = replicas.nodes[i]->index;
  return replicas.count;
}

double
rp_expected_share (const RpMap *map, uint32_t index)
{
  const RpNode *node = &map->nodes[map->positions[index]];
  double weight = 0;
  double sum = 0;
  double region_size = 0;

  if (map->own != NULL && node->region_hash == map->region_hash)
    return map->local_fraction * node->size / map->own->size;
  for (uint32_t i = 0; i < map->region_count; i++)
    {
      const RpRegion *region = &map->regions[i];
      if (region == map->own)
        continue;
      sum += region_weight (region);
      if (region->hash != node->region_hash)
        continue;
      weight = region_weight (region);
      region_size = region->size;
    }
  return (1 - map->local_fraction) * weight / sum * node->size / region_size;
}

double
rp_local_fraction (const RpMap *map)
{
  return map->local_fraction;
}
