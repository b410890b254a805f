#include <string.h>

#include "targets/internal.h"

/* An object and a target that may be its home.  */
typedef struct
{
  TgObject *object;
  TgTarget *target;
  uint64_t rank;
} Pair;

typedef enum
{
  NEAR,       /* in this daemon's region */
  NEAR_APART, /* and in another zone than the first home */
  ANYWHERE,
} Scope;

static gint
by_rank (gconstpointer a, gconstpointer b)
{
  const Pair *left = a;
  const Pair *right = b;

  return (left->rank < right->rank) - (left->rank > right->rank);
}

static gboolean
fits (const TgObject *object, const TgTarget *target, Scope scope)
{
  const TgTarget *first = object->homes[0];

  if (target->object_room == 0 || first == target)
    return FALSE;
  if (scope == ANYWHERE)
    return TRUE;
  if (target->distance == TG_FAR)
    return FALSE;
  return scope == NEAR || first == NULL
         || strcmp (first->zone, target->zone) != 0;
}

static void
set_home (TgObject *object, int home, TgTarget *target)
{
  object->homes[home] = target;
  target->object_room -= target->object_room > 0;
}

/* Takes the pairs in falling order of rank, which is the stable assignment for
   ranks that object and target agree on: a change of one target moves few
   objects, and all daemons of a region arrive at the same one.  */
static void
assign (TgSet *set, TgService *service, GPtrArray *objects, int home,
        Scope scope)
{
  g_autoptr (GArray) pairs = g_array_new (FALSE, FALSE, sizeof (Pair));

  for (guint o = 0; o < objects->len; o++)
    for (guint i = 0; i < service->targets->len; i++)
      {
        Pair pair = { objects->pdata[o], service->targets->pdata[i], 0 };
        if (pair.object->homes[home] != NULL
            || !tg_is_in_service (set, pair.target)
            || !fits (pair.object, pair.target, scope))
          continue;
        pair.rank = tg_rank (pair.target, pair.object->hash);
        g_array_append_val (pairs, pair);
      }
  g_array_sort (pairs, by_rank);
  for (guint i = 0; i < pairs->len; i++)
    {
      const Pair *pair = &g_array_index (pairs, Pair, i);
      if (pair->object->homes[home] == NULL
          && fits (pair->object, pair->target, scope))
        set_home (pair->object, home, pair->target);
    }
}

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

static uint32_t
count_in_region (const TgSet *set, const TgService *service,
                 const char *region)
{
  uint32_t count = 0;

  for (guint i = 0; i < service->targets->len; i++)
    {
      const TgTarget *target = service->targets->pdata[i];
      count += tg_is_in_service (set, target)
               && strcmp (target->region, region) == 0;
    }
  return count;
}

/* Each region has about as many objects as this one, so a target's fair part
   follows from the number of targets.  A region whose targets have less than
   their objects need keeps to the fair part; what the objects of a target's
   own region leave of it may be used from elsewhere.  */
static uint32_t
room_of (const TgSet *set, const TgService *service, const TgTarget *target,
         uint32_t fair)
{
  uint32_t objects = g_hash_table_size (service->objects);
  uint32_t there = count_in_region (set, service, target->region);
  uint32_t own = there > 0 ? TG_HOMES * objects / there : 0;

  if (target->distance == TG_FAR)
    return fair > own ? fair - own : 0;
  return own <= fair ? own + own / TG_ROOM_SPARE + TG_ROOM_SPARE : fair;
}

static void
set_rooms (TgSet *set, TgService *service)
{
  uint32_t objects = g_hash_table_size (service->objects);
  Census census = count_targets (set, service);
  uint32_t fair;

  if (census.all == 0)
    return;
  fair = (TG_HOMES * objects * set->region_count + census.all - 1)
         / census.all;
  for (guint i = 0; i < service->targets->len; i++)
    {
      TgTarget *target = service->targets->pdata[i];
      uint32_t room = room_of (set, service, target, fair);
      target->object_room
          = room > target->placed_count ? room - target->placed_count : 0;
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
    for (int i = 0; i < TG_HOMES; i++)
      if (((TgObject *)value)->homes[i] != NULL)
        ((TgObject *)value)->homes[i]->placed_count++;
}

static void
place (TgSet *set, TgService *service, GPtrArray *objects)
{
  count_placed (service);
  set_rooms (set, service);
  assign (set, service, objects, 0, NEAR);
  assign (set, service, objects, 1, NEAR_APART);
  assign (set, service, objects, 1, NEAR);
  assign (set, service, objects, 0, ANYWHERE);
  assign (set, service, objects, 1, ANYWHERE);
}

static gboolean
is_forgotten (gpointer key, gpointer value, gpointer data)
{
  const int64_t *now_us = data;

  (void)key;
  return *now_us - ((TgObject *)value)->asked_us > TG_OBJECT_KEEP_US;
}

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
      memset (((TgObject *)value)->homes, 0,
              sizeof ((TgObject *)value)->homes);
      g_ptr_array_add (all, value);
    }
  place (set, service, all);
  service->unplaced = FALSE;
  service->placed_us = now_us;
}

TgObject *
tg_place (TgSet *set, TgService *service, uint64_t object_hash,
          int64_t now_us)
{
  TgObject *object;

  if (object_hash == 0)
    return NULL;
  if (service->unplaced && now_us - service->placed_us >= TG_PLACE_PAUSE_US)
    place_all (set, service, now_us);
  object = g_hash_table_lookup (service->objects, &object_hash);
  if (object == NULL)
    {
      g_autoptr (GPtrArray) one = g_ptr_array_new ();
      object = g_new0 (TgObject, 1);
      object->hash = object_hash;
      g_hash_table_insert (service->objects, &object->hash, object);
      g_ptr_array_add (one, object);
      place (set, service, one);
    }
  object->asked_us = now_us;
  return object;
}
