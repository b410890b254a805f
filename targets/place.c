#include <string.h>

#include "targets/internal.h"

typedef struct
{
  uint32_t all;
  uint32_t here; /* in this daemon's region */
} Census;

static Census
count_targets (const TgSet *set, const TgService *service)
{
  Census census = { 0 };

  for (guint i = 0; i < service->targets->len; i++)
    {
      const TgTarget *target = service->targets->pdata[i];
      if (!tg_is_in_service (set, target))
        continue;
      census.all++;
      census.here += target->distance != TG_FAR;
    }
  return census;
}

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

/* Each region has about as many objects as this one, so a target's fair part
   follows from the number of targets.  A region whose targets have less than
   their objects need keeps to the fair part, or to what targets keep for sure,
   whatever the number of objects seen so far; what the objects of a target's
   own region leave of it may be used from elsewhere.  */
static void
set_rooms (TgSet *set, TgService *service)
{
  g_autoptr (GHashTable) regions = count_regions (set, service);
  Census census = count_targets (set, service);
  double objects = (double)g_hash_table_size (service->objects);
  double fair = MAX (TG_OBJECTS_SURE,
                     objects * set->region_count / MAX (1, census.all));
  double own_here = objects / MAX (1, census.here);

  service->near_room
      = own_here > fair
            ? MAX (0.0, fair * census.here - (double)service->near_count)
            : G_MAXUINT32;
  for (guint i = 0; i < service->targets->len; i++)
    {
      TgTarget *target = service->targets->pdata[i];
      guint there
          = GPOINTER_TO_UINT (g_hash_table_lookup (regions, target->region));
      double room = target->distance == TG_FAR
                        ? fair - objects / MAX (1, there)
                        : fair + fair / TG_ROOM_SPARE;
      target->object_room = MAX (0.0, room + 1 - (double)target->placed_count);
    }
}

static void
count_placed (TgService *service)
{
  GHashTableIter objects;
  gpointer value;

  service->near_count = 0;
  for (guint i = 0; i < service->targets->len; i++)
    ((TgTarget *)service->targets->pdata[i])->placed_count = 0;
  g_hash_table_iter_init (&objects, service->objects);
  while (g_hash_table_iter_next (&objects, NULL, &value))
    {
      TgTarget *home = ((TgObject *)value)->home;
      if (home == NULL)
        continue;
      home->placed_count++;
      service->near_count += home->distance != TG_FAR;
    }
}

/* The target with the highest rank of this region that has room, or else of
   the others: the same on all daemons of a region, and a change of one target
   moves few objects.  */
static TgTarget *
find_home (const TgSet *set, const TgService *service, uint64_t object_hash)
{
  TgTarget *best = NULL;
  uint64_t best_rank = 0;
  gboolean may_be_near = service->near_room >= 1;

  for (guint i = 0; i < service->targets->len; i++)
    {
      TgTarget *target = service->targets->pdata[i];
      gboolean is_near = target->distance != TG_FAR;
      uint64_t rank = tg_rank (target, object_hash);
      if (target->object_room < 1 || (is_near && !may_be_near)
          || !tg_is_in_service (set, target))
        continue;
      if (best != NULL)
        {
          gboolean best_is_near = best->distance != TG_FAR;
          if (is_near != best_is_near ? best_is_near : rank <= best_rank)
            continue;
        }
      best = target;
      best_rank = rank;
    }
  return best;
}

static void
place_object (const TgSet *set, TgService *service, TgObject *object)
{
  TgTarget *home = find_home (set, service, object->hash);

  object->home = home;
  if (home == NULL)
    return;
  home->object_room -= 1;
  home->placed_count++;
  if (home->distance == TG_FAR)
    return;
  service->near_room -= 1;
  service->near_count++;
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
      ((TgObject *)value)->home = NULL;
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
      object = g_new0 (TgObject, 1);
      object->hash = object_hash;
      g_hash_table_insert (service->objects, &object->hash, object);
      set_rooms (set, service);
      place_object (set, service, object);
    }
  object->asked_us = now_us;
  return object;
}
