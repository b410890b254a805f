#include <string.h>

#include "targets/internal.h"

RpTarget
tg_place (const TgTarget *target)
{
  return (RpTarget){ .id_hash = target->id_hash,
                     .size = target->slot_count,
                     .zone = target->zone,
                     .region = target->region };
}

static void
append_place (RpTarget *places, TgService *service, TgTarget *target)
{
  places[service->placed->len] = tg_place (target);
  g_ptr_array_add (service->placed, target);
  if (target->placed_generation + 1 != service->generation)
    target->joined_generation = service->generation;
  target->placed_generation = service->generation;
}

static gboolean
is_idle (gpointer key, gpointer value, gpointer data)
{
  const int64_t *now_us = data;

  (void)key;
  return *now_us - ((TgObject *)value)->requested_us > TG_OBJECT_IDLE_MAX_US;
}

static void
report_rebuild (const TgSet *set, const TgService *service)
{
  TgRebuild rebuild = {
    .service = service->name,
    .target_count = service->placed->len,
    .object_count = g_hash_table_size (service->objects),
    .local_fraction = rp_local_fraction (service->map),
  };

  if (set->on_rebuilt != NULL)
    set->on_rebuilt (&rebuild, set->rebuilt_data);
}

/* Objects are placed again when they are requested next, which spreads the
   processor time.  */
static void
rebuild_placement (TgSet *set, TgService *service, int64_t now_us)
{
  RpTarget *places = g_new (RpTarget, service->targets->len);

  g_hash_table_foreach_remove (service->objects, is_idle, &now_us);
  service->generation++;
  g_ptr_array_set_size (service->placed, 0);
  for (guint i = 0; i < service->targets->len; i++)
    if (tg_is_available (set, service->targets->pdata[i]))
      append_place (places, service, service->targets->pdata[i]);
  rp_set_targets (service->map, places, service->placed->len);
  g_free (places);
  service->placement_stale = FALSE;
  service->placed_us = now_us;
  set->placement.rebuild_count++;
  report_rebuild (set, service);
}

void
tg_forget_placed (TgService *service, const TgTarget *target)
{
  service->placement_stale = TRUE;
  for (guint i = 0; i < service->placed->len; i++)
    if (service->placed->pdata[i] == target)
      service->placed->pdata[i] = NULL;
}

TgTarget *
tg_replica (const TgService *service, const TgObject *object, uint32_t index)
{
  if (object == NULL || index >= object->replica_count)
    return NULL;
  return service->placed->pdata[object->replicas[index]];
}

static gboolean
is_placed (const TgService *service, uint64_t id_hash)
{
  for (guint i = 0; i < service->placed->len; i++)
    if (service->placed->pdata[i] != NULL
        && ((TgTarget *)service->placed->pdata[i])->id_hash == id_hash)
      return TRUE;
  return FALSE;
}

static void
count_move (TgSet *set, const TgService *service, const TgObject *object,
            const TgTarget *replica)
{
  if (!is_placed (service, object->first_id_hash))
    set->placement.moved_removed_count++;
  else if (replica->joined_generation > object->generation)
    set->placement.moved_added_count++;
  else
    set->placement.moved_share_count++;
}

static void
place_object (TgSet *set, const TgService *service, TgObject *object)
{
  const TgTarget *replica;

  object->replica_count
      = rp_replicas (service->map, object->hash, object->replicas);
  replica = tg_replica (service, object, 0);
  if (replica != NULL)
    {
      if (object->first_id_hash != 0
          && object->first_id_hash != replica->id_hash)
        count_move (set, service, object, replica);
      object->first_id_hash = replica->id_hash;
    }
  object->generation = service->generation;
}

/* The table only saves the search for replicas, so it may be emptied at any
   time; callers choose what is in it.  */
static TgObject *
add_object (TgService *service, uint64_t object_hash)
{
  TgObject *object = g_new0 (TgObject, 1);

  if (g_hash_table_size (service->objects) >= TG_OBJECTS_MAX)
    g_hash_table_remove_all (service->objects);
  object->hash = object_hash;
  g_hash_table_insert (service->objects, &object->hash, object);
  return object;
}

gboolean
tg_placement_is_due (const TgService *service, int64_t now_us)
{
  return service->placement_stale
         && now_us - service->placed_us >= TG_PLACEMENT_INTERVAL_US;
}

TgObject *
tg_get_object (TgSet *set, TgService *service, uint64_t object_hash,
               int64_t now_us)
{
  TgObject *object;

  if (object_hash == 0)
    return NULL;
  if (tg_placement_is_due (service, now_us))
    rebuild_placement (set, service, now_us);
  object = g_hash_table_lookup (service->objects, &object_hash);
  if (object == NULL)
    object = add_object (service, object_hash);
  if (object->generation != service->generation)
    place_object (set, service, object);
  object->requested_us = now_us;
  return object;
}
