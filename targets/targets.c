#include "targets/targets.h"

#include <string.h>

#include "targets/internal.h"

static void
unref_target (gpointer data)
{
  TgTarget *target = data;

  if (--target->ref_count > 0)
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
  oc_free (service->customers);
  oc_free (service->addresses);
  rp_free (service->map);
  g_ptr_array_unref (service->placed);
  g_ptr_array_unref (service->targets);
  g_free (service->name);
  g_free (service);
}

static void
free_tombstone (gpointer data)
{
  TgTombstone *tombstone = data;

  g_free (tombstone->id);
  g_free (tombstone);
}

TgSet *
tg_new (const TgOptions *options)
{
  TgSet *set = g_new0 (TgSet, 1);

  set->zone = g_strdup (options->zone);
  set->region = g_strdup (options->region);
  set->place_options
      = (RpOptions){ .region = set->region,
                     .region_count = MAX (1, options->region_count),
                     .imbalance_max = options->imbalance_max };
  set->on_rebuilt = options->on_rebuilt;
  set->rebuilt_data = options->data;
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
  set->tombstones
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_tombstone);
  return set;
}

void
tg_free (TgSet *set)
{
  if (set == NULL)
    return;
  g_hash_table_unref (set->tombstones);
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
tg_get_service (TgSet *set, const char *name)
{
  TgService *service = g_hash_table_lookup (set->services, name);

  if (service == NULL)
    {
      service = g_new0 (TgService, 1);
      service->name = g_strdup (name);
      service->targets = g_ptr_array_new ();
      service->placed = g_ptr_array_new ();
      service->map = rp_new (&set->place_options);
      service->customers = oc_new ();
      service->addresses = oc_new ();
      service->objects
          = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
      g_hash_table_insert (set->services, service->name, service);
    }
  return service;
}

static void
drop_tombstone (TgSet *set, TgTombstone *tombstone)
{
  g_queue_unlink (&set->tombstone_order, &tombstone->node);
  g_hash_table_remove (set->tombstones, tombstone->id);
}

static void
add_tombstone (TgSet *set, const TgTarget *target, int64_t now_us)
{
  TgTombstone *old = g_hash_table_lookup (set->tombstones, target->id);
  TgTombstone *tombstone = g_new0 (TgTombstone, 1);

  if (old != NULL)
    drop_tombstone (set, old);
  else if (set->tombstone_order.length >= TG_TOMBSTONES_MAX)
    drop_tombstone (set, g_queue_peek_head (&set->tombstone_order));
  tombstone->id = g_strdup (target->id);
  tombstone->started_ms = target->started_ms;
  tombstone->report_number = target->report_number;
  tombstone->store_era = target->store_era;
  tombstone->store_revision = target->store_revision;
  tombstone->leaving = target->leaving;
  tombstone->removed_us = now_us;
  tombstone->node.data = tombstone;
  g_queue_push_tail_link (&set->tombstone_order, &tombstone->node);
  g_hash_table_insert (set->tombstones, tombstone->id, tombstone);
}

gboolean
tg_get_entry (const TgSet *set, const char *id, TgEntry *entry)
{
  const TgTarget *target = g_hash_table_lookup (set->targets, id);

  if (target == NULL)
    return FALSE;
  *entry = (TgEntry){ .id = target->id,
                      .address = target->address,
                      .service = target->service,
                      .zone = target->zone,
                      .region = target->region,
                      .slot_count = target->slot_count,
                      .draining = target->draining,
                      .started_ms = target->started_ms,
                      .report_number = target->report_number };
  return TRUE;
}

gboolean
tg_remove (TgSet *set, const char *id, int64_t now_us)
{
  TgTarget *target = g_hash_table_lookup (set->targets, id);
  TgService *service;

  if (target == NULL)
    return FALSE;
  add_tombstone (set, target, now_us);
  service = tg_get_service (set, target->service);
  target->removed = TRUE;
  g_ptr_array_remove_fast (service->targets, target);
  tg_forget_placed (service, target);
  g_hash_table_remove (set->targets, id);
  return TRUE;
}

static gboolean
is_same_incarnation (const TgTarget *target, const TgEntry *entry)
{
  return strcmp (target->address, entry->address) == 0
         && strcmp (target->service, entry->service) == 0
         && target->started_ms == entry->started_ms;
}

/* An entry may disappear and come back while the target runs.  */
static gboolean
has_said_leaving (const TgSet *set, const TgEntry *entry)
{
  const TgTombstone *tombstone
      = g_hash_table_lookup (set->tombstones, entry->id);

  return tombstone != NULL && tombstone->leaving
         && tombstone->started_ms == entry->started_ms;
}

static TgTarget *
add_target (TgSet *set, const TgEntry *entry)
{
  TgTarget *target = g_new0 (TgTarget, 1);

  target->ref_count = 1;
  target->id = g_strdup (entry->id);
  target->id_hash = tg_hash (entry->id);
  target->address = g_strdup (entry->address);
  target->service = g_strdup (entry->service);
  target->zone = g_strdup (entry->zone);
  target->region = g_strdup (entry->region);
  target->distance = TG_OTHER_REGION;
  if (strcmp (entry->region, set->region) == 0)
    target->distance
        = strcmp (entry->zone, set->zone) == 0 ? TG_SAME_ZONE : TG_SAME_REGION;
  target->started_ms = entry->started_ms;
  target->leaving = has_said_leaving (set, entry);
  target->slowness = 1;
  target->cold_tokens = 1;
  g_hash_table_insert (set->targets, target->id, target);
  g_ptr_array_add (tg_get_service (set, entry->service)->targets, target);
  return target;
}

static gboolean
is_of_era (const TgEntry *entry, uint64_t store_era)
{
  return entry->store_era != 0 && entry->store_era == store_era;
}

/* Whether ENTRY is of an earlier incarnation, or is older than the last one
   but arrived later.  */
static gboolean
is_outdated (const TgTarget *target, const TgEntry *entry)
{
  if (is_of_era (entry, target->store_era))
    return entry->store_revision < target->store_revision;
  if (entry->started_ms != target->started_ms)
    return entry->started_ms != 0 && entry->started_ms < target->started_ms;
  return strcmp (target->address, entry->address) == 0
         && entry->report_number < target->report_number;
}

/* Whether ENTRY was published before its target was removed: a store that was
   restored from a copy lists targets that have left.  A running target
   publishes with a higher number.  */
static gboolean
was_removed (const TgSet *set, const TgEntry *entry, int64_t now_us)
{
  const TgTombstone *tombstone
      = g_hash_table_lookup (set->tombstones, entry->id);

  if (tombstone == NULL || entry->started_ms == 0
      || now_us - tombstone->removed_us > TG_TOMBSTONE_TTL_US)
    return FALSE;
  if (is_of_era (entry, tombstone->store_era))
    return entry->store_revision <= tombstone->store_revision;
  return entry->started_ms < tombstone->started_ms
         || (entry->started_ms == tombstone->started_ms
             && entry->report_number <= tombstone->report_number);
}

gboolean
tg_update (TgSet *set, const TgEntry *entry, int64_t now_us)
{
  TgTarget *target = g_hash_table_lookup (set->targets, entry->id);
  gboolean changed;

  if (target != NULL ? is_outdated (target, entry)
                     : was_removed (set, entry, now_us))
    return FALSE;
  if (target != NULL && !is_same_incarnation (target, entry))
    {
      tg_remove (set, entry->id, now_us);
      target = NULL;
    }
  changed = target == NULL || target->draining != entry->draining;
  if (target == NULL)
    target = add_target (set, entry);
  if (changed || target->slot_count != MAX (1, entry->slot_count))
    tg_get_service (set, entry->service)->placement_stale = TRUE;
  target->slot_count = MAX (1, entry->slot_count);
  target->draining = entry->draining;
  target->report_number = entry->report_number;
  target->store_era = entry->store_era;
  target->store_revision = entry->store_revision;
  if (target->entry_is_stale)
    target->assumed_cold_until_us = 0;
  target->entry_is_stale = FALSE;
  target->cold_until_us = now_us + (int64_t)entry->cold_left_ms * 1000;
  return changed;
}

const TgPlacementCounters *
tg_placement_counters (const TgSet *set)
{
  return &set->placement;
}

uint32_t
tg_count_targets (const TgSet *set, const char *service)
{
  const TgService *found = g_hash_table_lookup (set->services, service);

  return found != NULL ? found->targets->len : 0;
}

static void
assume_zone_cold (TgSet *set, const char *zone, int64_t now_us)
{
  GHashTableIter targets;
  gpointer value;

  g_hash_table_iter_init (&targets, set->targets);
  while (g_hash_table_iter_next (&targets, NULL, &value))
    {
      TgTarget *target = value;
      if (strcmp (target->zone, zone) == 0)
        target->assumed_cold_until_us = now_us + TG_RESTORED_COLD_US;
    }
}

void
tg_set_evacuated (TgSet *set, const char *zone, gboolean evacuated,
                  int64_t now_us)
{
  GHashTableIter services;
  gpointer service;

  if (!evacuated && g_hash_table_contains (set->evacuated, zone))
    assume_zone_cold (set, zone, now_us);
  g_hash_table_iter_init (&services, set->services);
  while (g_hash_table_iter_next (&services, NULL, &service))
    ((TgService *)service)->placement_stale = TRUE;
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

void
tg_init_route (TgRoute *route, const TgQuery *query)
{
  *route = (TgRoute){
    .hit_us = query->latency_target_us * TG_INITIAL_HIT_PERCENT / 100,
    .miss_us = query->latency_target_us,
  };
}

TgRoute *
tg_get_route (TgSet *set, const TgQuery *query)
{
  TgRoute *route = g_hash_table_lookup (set->routes, query->route);

  if (route == NULL)
    {
      route = g_new0 (TgRoute, 1);
      tg_init_route (route, query);
      g_hash_table_insert (set->routes, g_strdup (query->route), route);
    }
  return route;
}

static int64_t
moving_average (int64_t old_us, int64_t new_us)
{
  return old_us + (new_us - old_us) / TG_EWMA_DIVISOR;
}

TgAttempt *
tg_attempt_begin (TgSet *set, const TgQuery *query, const TgChoice *choice,
                  int64_t now_us)
{
  TgTarget *target = choice->target;
  TgAttempt *attempt = g_new0 (TgAttempt, 1);

  attempt->target = target;
  attempt->route = tg_get_route (set, query);
  attempt->service = tg_get_service (set, query->service);
  attempt->object_hash = query->object_hash;
  attempt->cached = choice->cached;
  attempt->fills_cache = query->object_hash != 0 && !choice->cached;
  attempt->was_queued = choice->wait_us > 0;
  attempt->started_us = now_us;
  attempt->cold_us = query->cold_ms * 1000;
  attempt->wait_max_us = query->wait_max_us;
  attempt->customer_hash = query->customer_hash;
  attempt->address_hash = query->address_hash;
  oc_add (attempt->service->customers, query->customer_hash);
  oc_add (attempt->service->addresses, query->address_hash);
  attempt->node.data = attempt;
  target->service_us
      = target->service_us == 0
            ? choice->service_us
            : moving_average (target->service_us, choice->service_us);
  target->ref_count++;
  target->in_flight_count++;
  g_queue_push_tail_link (&target->in_flight, &attempt->node);
  if (tg_is_cold (target, now_us))
    target->cold_tokens -= 1;
  return attempt;
}

/* Reports on requests that were sent before a pause do not extend it.  */
static void
start_queue_pause (TgTarget *target, int64_t now_us)
{
  if (now_us < target->queue_pause_until_us)
    return;
  if (!tg_has_long_queue (target, now_us))
    target->long_queue_count = 0;
  target->queue_pause_until_us
      = now_us
        + (target->service_us
           << MIN (target->long_queue_count, TG_QUEUE_PAUSE_DOUBLINGS_MAX));
  target->long_queue_count++;
}

static void
update_load (const TgAttempt *attempt, const TgResult *result, int64_t now_us)
{
  TgTarget *target = attempt->target;
  uint32_t reported = result->running_count + result->waiting_count;
  int64_t wait_us
      = result->waiting_count * target->service_us / target->slot_count;

  target->other_load_count = reported > target->in_flight_count
                                 ? reported - target->in_flight_count
                                 : 0;
  target->other_load_updated_us = now_us;
  if (wait_us > attempt->wait_max_us)
    start_queue_pause (target, now_us);
  else
    target->long_queue_count = 0;
}

/* A request that was expected to hit but took as long as a miss shows that the
   target has evicted the object.  */
static void
update_service_times (TgAttempt *attempt, int64_t now_us)
{
  TgRoute *route = attempt->route;
  int64_t responded_us
      = attempt->answered_us > 0 ? attempt->answered_us : now_us;
  int64_t elapsed_us = MAX (1, responded_us - attempt->started_us);
  int64_t middle_us = (route->hit_us + route->miss_us) / 2;
  gboolean was_hit
      = attempt->cached
        && (route->sample_count < TG_SAMPLES_MIN || elapsed_us < middle_us);
  int64_t expected_us = was_hit ? route->hit_us : route->miss_us;
  double ratio = (double)elapsed_us / (double)MAX (1, expected_us);

  if (attempt->cached)
    attempt->target->miss_fraction
        += ((was_hit ? 0.0 : 1.0) - attempt->target->miss_fraction)
           / TG_EWMA_DIVISOR;
  attempt->target->slowness
      += (CLAMP (ratio, 0.5, TG_SLOWNESS_MAX) - attempt->target->slowness)
         / TG_EWMA_DIVISOR;
  attempt->target->slowness_updated_us = now_us;
  if (attempt->was_queued)
    return;
  attempt->service->service_us
      = attempt->service->service_us == 0
            ? elapsed_us
            : moving_average (attempt->service->service_us, elapsed_us);
  route->sample_count++;
  if (was_hit)
    route->hit_us = moving_average (route->hit_us, elapsed_us);
  else if (elapsed_us > route->hit_us)
    route->miss_us = moving_average (route->miss_us, elapsed_us);
}

/* A target that does not respond may have restarted, and then is cold.  */
static void
start_backoff (TgTarget *target, int64_t cold_us, int64_t now_us)
{
  int64_t backoff_us = TG_BACKOFF_MIN_US << MIN (target->no_response_count, 5);

  target->entry_is_stale = TRUE;
  target->cold_us = cold_us;
  target->no_response_count++;
  target->backoff_until_us = now_us + MIN (backoff_us, TG_BACKOFF_MAX_US);
}

static void
end_backoff (TgTarget *target, int64_t now_us)
{
  if (target->no_response_count > 0 && target->entry_is_stale)
    target->assumed_cold_until_us
        = MAX (target->assumed_cold_until_us, now_us + target->cold_us);
  target->no_response_count = 0;
}

static void
update_error_fraction (TgTarget *target, gboolean failed, int64_t now_us)
{
  target->error_fraction = tg_error_fraction (target, now_us);
  target->error_fraction
      += ((failed ? 1.0 : 0.0) - target->error_fraction) / TG_EWMA_DIVISOR;
  target->error_updated_us = now_us;
}

static void
apply_limit (TgTarget *target, const TgAttempt *attempt,
             const NtNotice *notice, int64_t now_us)
{
  if (notice->limit_per_s > 0)
    {
      target->limit_per_s = notice->limit_per_s;
      target->limit_stated_us = now_us;
    }
  else if (notice->invalid_count == 0
           && attempt->started_us > target->limit_stated_us)
    {
      target->limit_per_s = 0;
      target->limit_pause_until_us = 0;
    }
}

/* A response to a request that was sent before the target wanted none does not
   end that.  */
static gboolean
apply_pause (TgTarget *target, const TgAttempt *attempt,
             const NtNotice *notice, int64_t now_us)
{
  if (notice->pause_us > 0)
    {
      gboolean is_new = target->pause_until_us <= now_us;
      target->pause_until_us
          = MAX (target->pause_until_us, now_us + notice->pause_us);
      return is_new;
    }
  if (attempt->started_us >= target->pause_until_us)
    target->pause_until_us = 0;
  return FALSE;
}

static gboolean
set_leaving (TgSet *set, TgTarget *target)
{
  if (target->leaving)
    return FALSE;
  target->leaving = TRUE;
  tg_get_service (set, target->service)->placement_stale = TRUE;
  return TRUE;
}

uint32_t
tg_apply_notice (TgSet *set, TgAttempt *attempt, const NtNotice *notice,
                 int64_t now_us)
{
  TgTarget *target = attempt->target;
  double limit_before_per_s = target->limit_per_s;
  uint32_t news = 0;

  apply_limit (target, attempt, notice, now_us);
  if (target->limit_per_s != limit_before_per_s)
    news |= TG_NEWS_LIMIT;
  if (apply_pause (target, attempt, notice, now_us))
    news |= TG_NEWS_PAUSE;
  if (notice->leaving && set_leaving (set, target))
    news |= TG_NEWS_LEAVING;
  return news;
}

gboolean
tg_note_leaving (TgSet *set, const char *id, int64_t started_ms)
{
  TgTarget *target = g_hash_table_lookup (set->targets, id);

  return target != NULL && target->started_ms == started_ms
         && set_leaving (set, target);
}

gboolean
tg_attempt_is_allowed (const TgSet *set, const TgAttempt *attempt)
{
  return tg_is_available (set, attempt->target);
}

void
tg_pause_limited (TgAttempt *attempt, int64_t until_us)
{
  attempt->target->limit_pause_until_us = until_us;
}

void
tg_attempt_note_answered (TgAttempt *attempt, int64_t now_us)
{
  if (attempt->answered_us > 0)
    return;
  attempt->answered_us = now_us;
  attempt->target->answered_count++;
}

void
tg_attempt_end (TgSet *set, TgAttempt *attempt, const TgResult *result,
                int64_t now_us)
{
  TgTarget *target = attempt->target;

  (void)set;
  g_queue_unlink (&target->in_flight, &attempt->node);
  target->in_flight_count--;
  oc_remove (attempt->service->customers, attempt->customer_hash);
  oc_remove (attempt->service->addresses, attempt->address_hash);
  target->answered_count -= attempt->answered_us > 0 ? 1 : 0;
  if (result->has_load)
    update_load (attempt, result, now_us);
  switch (result->kind)
    {
    case TG_RESULT_SUCCESS:
      target->last_success_us = now_us;
      tg_cache_add (target, attempt->object_hash);
      end_backoff (target, now_us);
      update_error_fraction (target, FALSE, now_us);
      update_service_times (attempt, now_us);
      break;
    case TG_RESULT_FAILED:
      update_error_fraction (target, TRUE, now_us);
      break;
    case TG_RESULT_TIMEOUT:
      if (attempt->answered_us > 0)
        break;
      update_error_fraction (target, TRUE, now_us);
      /* The deadline may leave little more than one service time.  */
      if (tg_is_unanswered (attempt, 1, now_us))
        start_backoff (target, attempt->cold_us, now_us);
      break;
    case TG_RESULT_SHED:
      update_error_fraction (target, TRUE, now_us);
      tg_cache_remove (target, attempt->object_hash);
      target->shed_until_us = now_us + TG_SHED_BACKOFF_US;
      break;
    case TG_RESULT_MISDIRECTED:
      target->misdirected = TRUE;
      attempt->service->placement_stale = TRUE;
      break;
    case TG_RESULT_NO_RESPONSE:
      start_backoff (target, attempt->cold_us, now_us);
      break;
    case TG_RESULT_CANCELLED:
      break;
    }
  unref_target (target);
  g_free (attempt);
}

TgTarget *
tg_attempt_target (const TgAttempt *attempt)
{
  return attempt->target;
}

gboolean
tg_attempt_fills_cache (const TgAttempt *attempt)
{
  return attempt->fills_cache;
}

uint64_t
tg_attempt_object_hash (const TgAttempt *attempt)
{
  return attempt->object_hash;
}

int64_t
tg_miss_us (TgSet *set, const TgQuery *query)
{
  return tg_get_route (set, query)->miss_us;
}

uint64_t
tg_id_hash (const TgTarget *target)
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

const char *
tg_region (const TgTarget *target)
{
  return target->region;
}

uint64_t
tg_incarnation_hash (const TgTarget *target)
{
  return target->id_hash ^ (uint64_t)target->started_ms * TG_HASH_FACTOR;
}

int64_t
tg_started_ms (const TgTarget *target)
{
  return target->started_ms;
}

double
tg_limit_per_s (const TgTarget *target)
{
  return target->limit_per_s;
}
