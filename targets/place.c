#include <string.h>
#include <xxhash.h>

#include "targets/internal.h"

/* Maps each region to its number of available targets.  */
static GHashTable *
count_targets_by_region (const TgSet *set, const TgService *service)
{
  GHashTable *counts = g_hash_table_new (g_str_hash, g_str_equal);

  for (guint i = 0; i < service->targets->len; i++)
    {
      const TgTarget *target = service->targets->pdata[i];
      guint count;
      if (!tg_is_available (set, target))
        continue;
      count = GPOINTER_TO_UINT (g_hash_table_lookup (counts, target->region));
      g_hash_table_insert (counts, target->region,
                           GUINT_TO_POINTER (count + 1));
    }
  return counts;
}

static guint
sum_counts (GHashTable *counts)
{
  GHashTableIter regions;
  gpointer count;
  guint sum = 0;

  g_hash_table_iter_init (&regions, counts);
  while (g_hash_table_iter_next (&regions, NULL, &count))
    sum += GPOINTER_TO_UINT (count);
  return sum;
}

/* Each region is assumed to have as many objects as this one, which gives the
   average number of objects per target.  A target of this region has capacity
   for the average plus some slack, so a region with too few targets for its
   objects places the rest in other regions.  A target of another region has
   capacity for what the objects of that region leave of the average.
   choose_replica needs a capacity_left of 1, so 1 is added for a fraction of
   an object to count.  */
static void
set_capacities (TgSet *set, TgService *service)
{
  g_autoptr (GHashTable) target_counts
      = count_targets_by_region (set, service);
  double object_count = (double)g_hash_table_size (service->objects);
  guint target_count = sum_counts (target_counts);
  guint local_target_count
      = GPOINTER_TO_UINT (g_hash_table_lookup (target_counts, set->region));
  double objects_per_target
      = object_count * set->region_count / MAX (1, target_count);

  service->local_fraction
      = (double)set->region_count * local_target_count / MAX (1, target_count);
  for (guint i = 0; i < service->targets->len; i++)
    {
      TgTarget *target = service->targets->pdata[i];
      guint region_target_count = GPOINTER_TO_UINT (
          g_hash_table_lookup (target_counts, target->region));
      double capacity
          = target->distance == TG_OTHER_REGION
                ? objects_per_target
                      - object_count / MAX (1, region_target_count)
                : MAX (TG_CAPACITY_MIN,
                       objects_per_target
                           + objects_per_target / TG_CAPACITY_SLACK_DIVISOR);
      target->capacity_left
          = MAX (0.0, capacity + 1 - (double)target->object_count);
    }
}

static void
count_objects (TgService *service)
{
  GHashTableIter objects;
  gpointer value;

  for (guint i = 0; i < service->targets->len; i++)
    ((TgTarget *)service->targets->pdata[i])->object_count = 0;
  g_hash_table_iter_init (&objects, service->objects);
  while (g_hash_table_iter_next (&objects, NULL, &value))
    if (((TgObject *)value)->replica != NULL)
      ((TgObject *)value)->replica->object_count++;
}

/* Depends on the hash of the object, so that all daemons select the same
   objects whichever ones they have seen.  */
gboolean
tg_is_local_object (const TgService *service, uint64_t object_hash)
{
  uint64_t mixed_hash = XXH3_64bits (&object_hash, sizeof object_hash);

  return (double)(mixed_hash >> 11) / (double)(1ULL << 53)
         < service->local_fraction;
}

/* Returns the target with the highest rendezvous weight among those with
   capacity left, in this region if IS_LOCAL, else in the others, or NULL.  By
   rendezvous hashing, a change of one target moves few objects.  */
static TgTarget *
choose_replica (const TgSet *set, const TgService *service,
                uint64_t object_hash, gboolean is_local)
{
  TgTarget *best = NULL;
  uint64_t best_weight = 0;

  for (guint i = 0; i < service->targets->len; i++)
    {
      TgTarget *target = service->targets->pdata[i];
      uint64_t weight;
      if ((target->distance != TG_OTHER_REGION) != is_local
          || target->capacity_left < 1 || !tg_is_available (set, target))
        continue;
      weight = tg_rendezvous_weight (target, object_hash);
      if (best != NULL && weight <= best_weight)
        continue;
      best = target;
      best_weight = weight;
    }
  return best;
}

static void
place_object (const TgSet *set, TgService *service, TgObject *object)
{
  gboolean is_local = tg_is_local_object (service, object->hash);
  TgTarget *replica = choose_replica (set, service, object->hash, is_local);

  if (replica == NULL)
    replica = choose_replica (set, service, object->hash, !is_local);
  object->replica = replica;
  if (replica == NULL)
    return;
  replica->capacity_left -= 1;
  replica->object_count++;
}

static gboolean
is_idle (gpointer key, gpointer value, gpointer data)
{
  const int64_t *now_us = data;

  (void)key;
  return *now_us - ((TgObject *)value)->requested_us > TG_OBJECT_IDLE_MAX_US;
}

static gint
compare_hashes (gconstpointer a, gconstpointer b)
{
  uint64_t left = (*(const TgObject *const *)a)->hash;
  uint64_t right = (*(const TgObject *const *)b)->hash;

  return (left > right) - (left < right);
}

/* Places the objects in the order of their hashes, so that daemons with the
   same objects choose the same replicas.  */
static void
rebuild_placement (TgSet *set, TgService *service, int64_t now_us)
{
  g_autoptr (GPtrArray) sorted = g_ptr_array_new ();
  GHashTableIter objects;
  gpointer value;

  g_hash_table_foreach_remove (service->objects, is_idle, &now_us);
  g_hash_table_iter_init (&objects, service->objects);
  while (g_hash_table_iter_next (&objects, NULL, &value))
    {
      ((TgObject *)value)->replica = NULL;
      g_ptr_array_add (sorted, value);
    }
  g_ptr_array_sort (sorted, compare_hashes);
  count_objects (service);
  set_capacities (set, service);
  for (guint i = 0; i < sorted->len; i++)
    place_object (set, service, sorted->pdata[i]);
  service->placement_stale = FALSE;
  service->placed_us = now_us;
}

TgObject *
tg_get_object (TgSet *set, TgService *service, uint64_t object_hash,
               int64_t now_us)
{
  TgObject *object;

  if (object_hash == 0)
    return NULL;
  if (service->placement_stale
      && now_us - service->placed_us >= TG_PLACEMENT_INTERVAL_US)
    rebuild_placement (set, service, now_us);
  object = g_hash_table_lookup (service->objects, &object_hash);
  if (object == NULL)
    {
      object = g_new0 (TgObject, 1);
      object->hash = object_hash;
      g_hash_table_insert (service->objects, &object->hash, object);
      set_capacities (set, service);
      place_object (set, service, object);
    }
  object->requested_us = now_us;
  return object;
}
