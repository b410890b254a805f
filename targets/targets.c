#include "targets/targets.h"

#include <string.h>

#include "targets/internal.h"

static void
unref_target (gpointer data)
{
  TgTarget *target = data;

  if (--target->references > 0)
    return;
  g_free (target->id);
  g_free (target->address);
  g_free (target->service);
  g_free (target->zone);
  g_free (target->region);
  g_free (target);
}

static void
free_service (gpointer data)
{
  TgService *service = data;

  g_hash_table_unref (service->objects);
  g_ptr_array_unref (service->targets);
  g_free (service->name);
  g_free (service);
}

TgSet *
tg_new (const TgOptions *options)
{
  TgSet *set = g_new0 (TgSet, 1);

  set->zone = g_strdup (options->zone);
  set->region = g_strdup (options->region);
  set->region_count = MAX (1, options->region_count);
  set->targets
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, unref_target);
  set->services
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_service);
  set->routes
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  set->evacuated
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  set->cold_shares
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return set;
}

void
tg_free (TgSet *set)
{
  if (set == NULL)
    return;
  g_hash_table_unref (set->cold_shares);
  g_hash_table_unref (set->evacuated);
  g_hash_table_unref (set->routes);
  g_hash_table_unref (set->services);
  g_hash_table_unref (set->targets);
  g_free (set->zone);
  g_free (set->region);
  g_free (set);
}

TgService *
tg_service (TgSet *set, const char *name)
{
  TgService *service = g_hash_table_lookup (set->services, name);

  if (service == NULL)
    {
      service = g_new0 (TgService, 1);
      service->name = g_strdup (name);
      service->targets = g_ptr_array_new ();
      service->objects
          = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
      g_hash_table_insert (set->services, service->name, service);
    }
  return service;
}

/* A home must not outlive its target.  */
static void
forget_homes (TgService *service, const TgTarget *target)
{
  GHashTableIter objects;
  gpointer value;

  service->unplaced = TRUE;
  g_hash_table_iter_init (&objects, service->objects);
  while (g_hash_table_iter_next (&objects, NULL, &value))
    for (int i = 0; i < TG_HOMES_MAX; i++)
      if (((TgObject *)value)->homes[i] == target)
        ((TgObject *)value)->homes[i] = NULL;
}

gboolean
tg_remove (TgSet *set, const char *id)
{
  TgTarget *target = g_hash_table_lookup (set->targets, id);
  TgService *service;

  if (target == NULL)
    return FALSE;
  service = tg_service (set, target->service);
  target->gone = TRUE;
  g_ptr_array_remove_fast (service->targets, target);
  forget_homes (service, target);
  g_hash_table_remove (set->targets, id);
  return TRUE;
}

static gboolean
is_same_start (const TgTarget *target, const TgEntry *entry)
{
  return strcmp (target->address, entry->address) == 0
         && strcmp (target->service, entry->service) == 0
         && target->started_ms == entry->started_ms;
}

static TgTarget *
add (TgSet *set, const TgEntry *entry)
{
  TgTarget *target = g_new0 (TgTarget, 1);

  target->references = 1;
  target->id = g_strdup (entry->id);
  target->id_hash = tg_hash (entry->id);
  target->address = g_strdup (entry->address);
  target->service = g_strdup (entry->service);
  target->zone = g_strdup (entry->zone);
  target->region = g_strdup (entry->region);
  target->distance = TG_FAR;
  if (strcmp (entry->region, set->region) == 0)
    target->distance
        = strcmp (entry->zone, set->zone) == 0 ? TG_SAME_ZONE : TG_SAME_REGION;
  target->started_ms = entry->started_ms;
  target->slowness = 1;
  target->cold_tokens = 1;
  g_hash_table_insert (set->targets, target->id, target);
  g_ptr_array_add (tg_service (set, entry->service)->targets, target);
  return target;
}

/* A report of an earlier start, or one that was overtaken on its way.  */
static gboolean
is_outdated (const TgTarget *target, const TgEntry *entry)
{
  if (entry->started_ms != target->started_ms)
    return entry->started_ms != 0 && entry->started_ms < target->started_ms;
  return strcmp (target->address, entry->address) == 0
         && entry->report_number < target->report_number;
}

gboolean
tg_update (TgSet *set, const TgEntry *entry, int64_t now_us)
{
  TgTarget *target = g_hash_table_lookup (set->targets, entry->id);
  gboolean changed;

  if (target != NULL && is_outdated (target, entry))
    return FALSE;
  if (target != NULL && !is_same_start (target, entry))
    {
      tg_remove (set, entry->id);
      target = NULL;
    }
  changed = target == NULL || target->draining != entry->draining;
  if (target == NULL)
    target = add (set, entry);
  if (changed)
    tg_service (set, entry->service)->unplaced = TRUE;
  target->slots_count = MAX (1, entry->slots_count);
  target->draining = entry->draining;
  target->report_number = entry->report_number;
  if (target->report_is_old)
    target->doubt_until_us = 0;
  target->report_is_old = FALSE;
  target->cold_until_us = now_us + (int64_t)entry->cold_left_ms * 1000;
  return changed;
}

uint32_t
tg_count (const TgSet *set, const char *service)
{
  const TgService *found = g_hash_table_lookup (set->services, service);

  return found != NULL ? found->targets->len : 0;
}

static void
doubt_zone (TgSet *set, const char *zone, int64_t now_us)
{
  GHashTableIter targets;
  gpointer value;

  g_hash_table_iter_init (&targets, set->targets);
  while (g_hash_table_iter_next (&targets, NULL, &value))
    {
      TgTarget *target = value;
      if (strcmp (target->zone, zone) == 0)
        target->doubt_until_us = now_us + TG_RESTORE_DOUBT_US;
    }
}

void
tg_evacuate (TgSet *set, const char *zone, gboolean evacuated, int64_t now_us)
{
  GHashTableIter services;
  gpointer service;

  if (!evacuated && g_hash_table_contains (set->evacuated, zone))
    doubt_zone (set, zone, now_us);
  g_hash_table_iter_init (&services, set->services);
  while (g_hash_table_iter_next (&services, NULL, &service))
    ((TgService *)service)->unplaced = TRUE;
  if (evacuated)
    g_hash_table_add (set->evacuated, g_strdup (zone));
  else
    g_hash_table_remove (set->evacuated, zone);
}

void
tg_set_cold_share (TgSet *set, const char *zone, double share)
{
  double *value = g_hash_table_lookup (set->cold_shares, zone);

  if (value == NULL)
    {
      value = g_new0 (double, 1);
      g_hash_table_insert (set->cold_shares, g_strdup (zone), value);
    }
  *value = share;
}

TgRoute *
tg_route (TgSet *set, const TgQuery *query)
{
  TgRoute *route = g_hash_table_lookup (set->routes, query->route);

  if (route == NULL)
    {
      route = g_new0 (TgRoute, 1);
      route->known_us = query->latency_us * TG_FIRST_KNOWN_PERCENT / 100;
      route->unknown_us = query->latency_us;
      g_hash_table_insert (set->routes, g_strdup (query->route), route);
    }
  return route;
}

TgUse *
tg_begin (TgSet *set, const TgQuery *query, const TgChoice *choice,
          int64_t now_us)
{
  TgTarget *target = choice->target;
  TgUse *use = g_new0 (TgUse, 1);

  use->target = target;
  use->route = tg_route (set, query);
  use->service = tg_service (set, query->service);
  use->object_hash = query->object_hash;
  use->known = choice->known;
  use->teaches = query->object_hash != 0 && !choice->known;
  use->waited = choice->wait_us > 0;
  use->began_us = now_us;
  use->cold_us = query->cold_ms * 1000;
  use->node.data = use;
  target->references++;
  target->use_count++;
  g_queue_push_tail_link (&target->uses, &use->node);
  if (tg_is_cold (target, now_us))
    target->cold_tokens -= 1;
  return use;
}

static void
learn_load (TgTarget *target, const TgEnd *end, int64_t now_us)
{
  uint32_t reported = end->running_count + end->waiting_count;

  target->others_count
      = reported > target->use_count ? reported - target->use_count : 0;
  target->others_us = now_us;
}

static int64_t
average (int64_t old_us, int64_t new_us)
{
  return old_us + (new_us - old_us) / TG_AVERAGE_WEIGHT;
}

/* An object that was thought to be known but took as long as an unknown one
   has been dropped by the target meanwhile.  */
static void
learn_time (TgUse *use, int64_t now_us)
{
  TgRoute *route = use->route;
  int64_t took_us = MAX (1, now_us - use->began_us);
  int64_t middle_us = (route->known_us + route->unknown_us) / 2;
  gboolean known
      = use->known
        && (route->samples < TG_FIRST_SAMPLES || took_us < middle_us);
  int64_t expected_us = known ? route->known_us : route->unknown_us;
  double ratio = (double)took_us / (double)MAX (1, expected_us);

  if (use->known)
    use->target->forgets_share
        += ((known ? 0.0 : 1.0) - use->target->forgets_share)
           / TG_AVERAGE_WEIGHT;
  use->target->slowness
      += (CLAMP (ratio, 0.5, TG_SLOWNESS_MAX) - use->target->slowness)
         / TG_AVERAGE_WEIGHT;
  use->target->slowness_us = now_us;
  if (use->waited)
    return;
  use->service->service_us = use->service->service_us == 0
                                 ? took_us
                                 : average (use->service->service_us, took_us);
  route->samples++;
  if (known)
    route->known_us = average (route->known_us, took_us);
  else if (took_us > route->known_us)
    route->unknown_us = average (route->unknown_us, took_us);
}

/* A lost target may have started anew, and then is cold.  */
static void
learn_failure (TgTarget *target, int64_t cold_us, int64_t now_us)
{
  int64_t pause_us = TG_PAUSE_FIRST_US << MIN (target->lost_count, 5);

  target->report_is_old = TRUE;
  target->cold_us = cold_us;

  target->lost_count++;
  target->paused_until_us = now_us + MIN (pause_us, TG_PAUSE_MAX_US);
}

static void
learn_return (TgTarget *target, int64_t now_us)
{
  if (target->lost_count > 0 && target->report_is_old)
    target->doubt_until_us
        = MAX (target->doubt_until_us, now_us + target->cold_us);
  target->lost_count = 0;
}

static void
learn_errors (TgTarget *target, gboolean failed, int64_t now_us)
{
  target->error_share = tg_error_share (target, now_us);
  target->error_share
      += ((failed ? 1.0 : 0.0) - target->error_share) / TG_AVERAGE_WEIGHT;
  target->error_us = now_us;
}

void
tg_end (TgSet *set, TgUse *use, const TgEnd *end, int64_t now_us)
{
  TgTarget *target = use->target;

  (void)set;
  g_queue_unlink (&target->uses, &use->node);
  target->use_count--;
  if (end->has_load)
    learn_load (target, end, now_us);
  switch (end->kind)
    {
    case TG_END_ANSWERED:
      tg_remember (target, use->object_hash);
      learn_return (target, now_us);
      learn_errors (target, FALSE, now_us);
      learn_time (use, now_us);
      break;
    case TG_END_FAILED:
      learn_errors (target, TRUE, now_us);
      break;
    case TG_END_SHED:
      learn_errors (target, TRUE, now_us);
      tg_forget (target, use->object_hash);
      target->full_until_us = now_us + TG_FULL_US;
      break;
    case TG_END_MISPLACED:
      target->misplaced = TRUE;
      use->service->unplaced = TRUE;
      break;
    case TG_END_LOST:
      learn_failure (target, use->cold_us, now_us);
      break;
    case TG_END_CANCELLED:
      break;
    }
  unref_target (target);
  g_free (use);
}

TgTarget *
tg_use_target (const TgUse *use)
{
  return use->target;
}

gboolean
tg_use_teaches (const TgUse *use)
{
  return use->teaches;
}

uint64_t
tg_use_object (const TgUse *use)
{
  return use->object_hash;
}

int64_t
tg_unknown_us (TgSet *set, const TgQuery *query)
{
  return tg_route (set, query)->unknown_us;
}

uint64_t
tg_key (const TgTarget *target)
{
  return target->id_hash;
}

const char *
tg_id (const TgTarget *target)
{
  return target->id;
}

const char *
tg_address (const TgTarget *target)
{
  return target->address;
}

const char *
tg_zone (const TgTarget *target)
{
  return target->zone;
}
