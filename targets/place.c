#include <string.h>
#include <xxhash.h>

#include "targets/internal.h"

/* Targets in service by region.  */
static GHashTable *
count_regions (const TgSet *set, const TgService *service)
{
  GHashTable *counts = g_hash_table_new (g_str_hash, g_str_equal);

  for (guint i = 0; i < service->targets->len; i++)
    {
      const TgTarget *target = service->targets->pdata[i];
      guint count;
      if (!tg_is_in_service (set, target))
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

/* Each region has about as many objects as this one, so a target's fair part
   follows from the number of targets.  A region whose targets have less than
   their objects need keeps to the fair part; what the objects of a target's
   own region leave of it may be used from elsewhere.  */
static void
set_rooms (TgSet *set, TgService *service)
{
  g_autoptr (GHashTable) regions = count_regions (set, service);
  double objects = (double)g_hash_table_size (service->objects);
  guint all = sum_counts (regions);
  guint here = GPOINTER_TO_UINT (g_hash_table_lookup (regions, set->region));
  double fair = objects * set->region_count / MAX (1, all);

  service->near_share = (double)set->region_count * here / MAX (1, all);
  for (guint i = 0; i < service->targets->len; i++)
    {
      TgTarget *target = service->targets->pdata[i];
      guint there
          = GPOINTER_TO_UINT (g_hash_table_lookup (regions, target->region));
      double room = target->distance == TG_FAR
                        ? fair - objects / MAX (1, there)
                        : MAX (TG_ROOM_MIN, fair + fair / TG_ROOM_SPARE);
      target->object_room = MAX (0.0, room + 1 - (double)target->placed_count);
    }
}

static void
count_placed (TgService *service)
{
  GHashTableIter objects;
  gpointer value;

  for (guint i = 0; i < service->targets->len; i++)
    ((TgTarget *)service->targets->pdata[i])->placed_count = 0;
  g_hash_table_iter_init (&objects, service->objects);
  while (g_hash_table_iter_next (&objects, NULL, &value))
    if (((TgObject *)value)->homes[0] != NULL)
      ((TgObject *)value)->homes[0]->placed_count++;
}

/* The part of a region's objects that it takes itself is the same on all
   daemons, whatever they have seen of the objects.  */
static gboolean
is_near_object (const TgService *service, uint64_t object_hash)
{
  uint64_t mixed = XXH3_64bits (&object_hash, sizeof object_hash);

  return (double)(mixed >> 11) / (double)(1ULL << 53) < service->near_share;
}

/* The target with the highest rank that has room, in this region or outside,
   or NULL.  A change of one target moves few objects.  FIRST is another home,
   whose zone is left out, or NULL.  */
static TgTarget *
find_home (const TgSet *set, const TgService *service, uint64_t object_hash,
           gboolean is_near, const TgTarget *first)
{
  TgTarget *best = NULL;
  uint64_t best_rank = 0;

  for (guint i = 0; i < service->targets->len; i++)
    {
      TgTarget *target = service->targets->pdata[i];
      uint64_t rank;
      if ((target->distance != TG_FAR) != is_near || target->object_room < 1
          || !tg_is_in_service (set, target)
          || (first != NULL && strcmp (first->zone, target->zone) == 0))
        continue;
      rank = tg_rank (target, object_hash);
      if (best != NULL && rank <= best_rank)
        continue;
      best = target;
      best_rank = rank;
    }
  return best;
}

static void
place_object (const TgSet *set, TgService *service, TgObject *object)
{
  gboolean is_near = is_near_object (service, object->hash);
  TgTarget *home = find_home (set, service, object->hash, is_near, NULL);

  if (home == NULL)
    home = find_home (set, service, object->hash, !is_near, NULL);
  object->homes[0] = home;
  object->homes[1] = NULL;
  if (home == NULL)
    return;
  home->object_room -= 1;
  home->placed_count++;
}

static gboolean
has_second_homes (const TgSet *set, const TgService *service, int64_t now_us)
{
  double objects = (double)g_hash_table_size (service->objects);

  return now_us - service->first_us >= TG_SECOND_AFTER_US
         && objects * TG_HOMES_MAX * set->region_count
                <= (double)TG_OBJECTS_AMPLE * service->targets->len;
}

static gboolean
is_forgotten (gpointer key, gpointer value, gpointer data)
{
  const int64_t *now_us = data;

  (void)key;
  return *now_us - ((TgObject *)value)->asked_us > TG_OBJECT_KEEP_US;
}

static gint
by_hash (gconstpointer a, gconstpointer b)
{
  uint64_t left = (*(const TgObject *const *)a)->hash;
  uint64_t right = (*(const TgObject *const *)b)->hash;

  return (left > right) - (left < right);
}

/* In the order of their hashes, so that daemons with the same objects come to
   the same homes.  */
static void
place_all (TgSet *set, TgService *service, int64_t now_us)
{
  g_autoptr (GPtrArray) all = g_ptr_array_new ();
  GHashTableIter objects;
  gpointer value;

  g_hash_table_foreach_remove (service->objects, is_forgotten, &now_us);
  g_hash_table_iter_init (&objects, service->objects);
  while (g_hash_table_iter_next (&objects, NULL, &value))
    {
      ((TgObject *)value)->homes[0] = NULL;
      g_ptr_array_add (all, value);
    }
  g_ptr_array_sort (all, by_hash);
  count_placed (service);
  set_rooms (set, service);
  for (guint i = 0; i < all->len; i++)
    place_object (set, service, all->pdata[i]);
  service->unplaced = FALSE;
  service->placed_us = now_us;
}

TgObject *
tg_place (TgSet *set, TgService *service, uint64_t object_hash, int64_t now_us)
{
  TgObject *object;

  if (object_hash == 0)
    return NULL;
  if (service->unplaced && now_us - service->placed_us >= TG_PLACE_PAUSE_US)
    place_all (set, service, now_us);
  object = g_hash_table_lookup (service->objects, &object_hash);
  if (object == NULL)
    {
      if (service->first_us == 0)
        service->first_us = now_us;
      object = g_new0 (TgObject, 1);
      object->hash = object_hash;
      g_hash_table_insert (service->objects, &object->hash, object);
      set_rooms (set, service);
      place_object (set, service, object);
    }
  if (object->homes[1] == NULL && object->homes[0] != NULL
      && object->homes[0]->distance != TG_FAR
      && has_second_homes (set, service, now_us))
    object->homes[1]
        = find_home (set, service, object_hash, TRUE, object->homes[0]);
  object->asked_us = now_us;
  return object;
}
