#include <math.h>
#include <string.h>
#include <xxhash.h>

#include "route/route.h"
#include "targets/internal.h"

/* A request in flight for longer than this many service times of a cache miss
   makes its target count as slow before the response.  */
#define OVERDUE_FACTOR 2
/* A request without a response for this many service times of a cache miss,
   and without one to any other request since, shows that its target does not
   respond.  */
#define UNANSWERED_FACTOR 3
/* Targets that are considered for an object whose replicas can't be used.  */
#define ALTERNATES_MAX 2
/* A target with less than this part of its slots in use has some to spare.  */
#define SPARE_SLOTS_DIVISOR 2
/* Added to the estimated time of the second one, so that it is used only when
   the queue of the first one is long, whichever zone the two are in.  */
#define SECOND_ALTERNATE_COST_US (TG_CROSS_ZONE_COST_US + TG_TIEBREAK_COST_US)

uint64_t
tg_hash (const char *text)
{
  return MAX (1, XXH3_64bits (text, strlen (text)));
}

void
tg_cache_remove (TgTarget *target, uint64_t object_hash)
{
  for (uint32_t i = 0; i < target->cached_count; i++)
    if (target->cached_objects[i] == object_hash)
      {
        target->cached_count--;
        memmove (&target->cached_objects[i], &target->cached_objects[i + 1],
                 (target->cached_count - i)
                     * sizeof target->cached_objects[0]);
        return;
      }
}

void
tg_cache_add (TgTarget *target, uint64_t object_hash)
{
  if (object_hash == 0)
    return;
  tg_cache_remove (target, object_hash);
  if (target->cached_count == TG_CACHED_OBJECTS_MAX)
    target->cached_count--;
  memmove (&target->cached_objects[1], &target->cached_objects[0],
           target->cached_count * sizeof target->cached_objects[0]);
  target->cached_objects[0] = object_hash;
  target->cached_count++;
}

gboolean
tg_is_cached (const TgTarget *target, uint64_t object_hash)
{
  for (uint32_t i = 0; object_hash != 0 && i < target->cached_count; i++)
    if (target->cached_objects[i] == object_hash)
      return TRUE;
  return FALSE;
}

static double
decay_factor (int64_t age_us)
{
  return exp2 (-(double)age_us / TG_HALF_LIFE_US);
}

double
tg_error_fraction (const TgTarget *target, int64_t now_us)
{
  return target->error_fraction
         * decay_factor (now_us - target->error_updated_us);
}

gboolean
tg_has_long_queue (const TgTarget *target, int64_t now_us)
{
  return target->long_queue_count > 0
         && now_us - target->queue_pause_until_us
                < target->service_us << TG_QUEUE_PAUSE_DOUBLINGS_MAX;
}

/* Returns the oldest attempt without a response, or NULL.  */
static const TgAttempt *
find_oldest_at_target (const TgTarget *target)
{
  for (const GList *node = target->in_flight.head; node != NULL;
       node = node->next)
    {
      const TgAttempt *attempt = node->data;
      if (attempt->answered_us == 0)
        return attempt;
    }
  return NULL;
}

double
tg_current_slowness (const TgTarget *target, const TgRoute *route,
                     int64_t now_us)
{
  double decayed = 1
                   + (target->slowness - 1)
                         * decay_factor (now_us - target->slowness_updated_us);
  const TgAttempt *oldest = find_oldest_at_target (target);

  if (oldest == NULL
      || now_us - oldest->started_us < OVERDUE_FACTOR * route->miss_us)
    return decayed;
  return MAX (decayed, (double)(now_us - oldest->started_us)
                           / (double)MAX (1, route->miss_us));
}

double
tg_estimate_load (const TgTarget *target, int64_t now_us)
{
  double age = (double)(now_us - target->other_load_updated_us)
               / TG_OTHER_LOAD_DECAY_US;

  return target->in_flight_count - target->answered_count
         + target->other_load_count * MAX (0.0, 1.0 - age);
}

double
tg_cold_tokens (const TgSet *set, const TgTarget *target, double cold_per_s,
                int64_t now_us)
{
  const double *share = g_hash_table_lookup (set->cold_shares, target->zone);
  double elapsed_s = (double)(now_us - target->cold_refilled_us) / 1e6;

  if (share == NULL || *share <= 0)
    return 0;
  return MIN (1.0, target->cold_tokens + elapsed_s * cold_per_s * *share);
}

gboolean
tg_is_cold (const TgTarget *target, int64_t now_us)
{
  return MAX (target->cold_until_us, target->assumed_cold_until_us) > now_us;
}

gboolean
tg_is_available (const TgSet *set, const TgTarget *target)
{
  return !target->draining && !target->leaving && !target->removed
         && !target->misdirected
         && (g_hash_table_size (set->evacuated) == 0
             || !g_hash_table_contains (set->evacuated, target->zone));
}

uint64_t
tg_rendezvous_weight (const TgTarget *target, uint64_t object_hash)
{
  return XXH3_64bits_withSeed (&object_hash, sizeof object_hash,
                               target->id_hash);
}

/* Who leaves places to others has at most half of the requests at TARGET, but
   one for each slot where the limit allows it: slots would stand idle.  */
uint32_t
tg_in_flight_max (const TgSearch *search, const TgTarget *target)
{
  uint32_t max = search->query->in_flight_max;
  uint32_t yield_count = search->yield_count;
  uint32_t share = MAX (max >> yield_count, target->slot_count);

  return yield_count < max ? MIN (max - yield_count, share) : 1;
}

static gboolean
may_use (const TgSearch *search, TgTarget *target)
{
  const TgSet *set = search->set;
  const TgQuery *query = search->query;
  double cold_tokens;

  if (!tg_is_available (set, target) || target->id_hash == query->exclude
      || target->in_flight_count >= tg_in_flight_max (search, target))
    return FALSE;
  if (!rt_is_home_region (query->home_regions, target->region)
      || !rt_is_home_region (query->customer_home_regions, target->region))
    return FALSE;
  if (!tg_is_cold (target, search->now_us))
    return TRUE;
  cold_tokens
      = tg_cold_tokens (set, target, query->cold_per_s, search->now_us);
  if (search->considered == NULL)
    {
      target->cold_tokens = cold_tokens;
      target->cold_refilled_us = search->now_us;
    }
  return cold_tokens >= 1;
}

gboolean
tg_is_paused_by_target (const TgTarget *target, const TgQuery *query,
                        int64_t now_us, int64_t *until_us)
{
  *until_us = MAX (target->pause_until_us, target->limit_pause_until_us);
  if (*until_us > now_us)
    return TRUE;
  *until_us = now_us;
  return (target->limit_per_s > 0 && query->avoid_limited)
         || (target->pause_until_us > 0 && target->in_flight_count > 0);
}

gboolean
tg_is_unanswered (const TgAttempt *attempt, uint32_t miss_count,
                  int64_t now_us)
{
  return attempt->answered_us == 0
         && attempt->target->last_success_us < attempt->started_us
         && now_us - attempt->started_us
                >= miss_count * attempt->route->miss_us;
}

/* After the backoff, one request at a time is sent until the target responds.
   A target that accepts requests and responds to none is left alone before
   they time out.  */
gboolean
tg_is_in_backoff (const TgTarget *target, int64_t now_us)
{
  const TgAttempt *oldest = find_oldest_at_target (target);

  if (oldest != NULL && tg_is_unanswered (oldest, UNANSWERED_FACTOR, now_us))
    return TRUE;
  if (target->no_response_count == 0)
    return FALSE;
  return target->backoff_until_us > now_us || target->in_flight_count > 0;
}

/* Each of many daemons sends to a target less often than its queue advances,
   so none can tell from its own requests how the load of a report develops.
   After one of a long queue it pauses, and then sends one request at a time
   until a report shows a short queue.  The pauses become longer while the
   reports do not improve, so that together the daemons send less than the
   target can handle.  */
gboolean
tg_is_in_queue_pause (const TgTarget *target, int64_t now_us)
{
  if (!tg_has_long_queue (target, now_us))
    return FALSE;
  return target->queue_pause_until_us > now_us || target->in_flight_count > 0;
}

int64_t
tg_distance_cost_us (TgDistance distance)
{
  static const int64_t costs_us[] = {
    [TG_SAME_ZONE] = 0,
    [TG_SAME_REGION] = TG_CROSS_ZONE_COST_US,
    [TG_OTHER_REGION] = TG_CROSS_REGION_COST_US,
  };

  return costs_us[distance];
}

/* Time that a request waits in a queue of QUEUE_LENGTH with itself.  */
static int64_t
queue_wait_us (const TgTarget *target, double queue_length, double slowness,
               int64_t queue_service_us)
{
  return queue_length > 0
             ? (int64_t)(queue_length * slowness * (double)queue_service_us
                         / target->slot_count)
             : 0;
}

/* Who leaves places has to find them free behind its own.  */
gboolean
tg_is_wait_too_long (const TgSearch *search, const TgTarget *target,
                     int64_t wait_us)
{
  double slowness
      = tg_current_slowness (target, search->route, search->now_us);
  double queue_length = tg_estimate_load (target, search->now_us) + 1
                        + search->yield_count - target->slot_count;

  if (search->yield_count > 0)
    wait_us = MAX (wait_us, queue_wait_us (target, queue_length, slowness,
                                           search->queue_service_us));
  return wait_us > search->query->wait_max_us;
}

void
tg_estimate_cost (const TgTarget *target, const TgQuery *query,
                  const TgRoute *route, int64_t queue_service_us,
                  int64_t now_us, TgChoice *choice)
{
  double slowness = tg_current_slowness (target, route, now_us);
  double queue_length
      = tg_estimate_load (target, now_us) + 1 - target->slot_count;
  uint64_t key
      = query->object_hash != 0 ? query->object_hash : query->request_hash;
  uint64_t weight = tg_rendezvous_weight (target, key);

  choice->target = (TgTarget *)target;
  choice->cached = tg_is_cached (target, query->object_hash);
  choice->service_us
      = choice->cached
            ? route->hit_us
                  + (int64_t)(target->miss_fraction
                              * (double)(route->miss_us - route->hit_us))
            : route->miss_us;
  choice->wait_us
      = queue_wait_us (target, queue_length, slowness, queue_service_us);
  if (target->shed_until_us > now_us)
    choice->wait_us = MAX (choice->wait_us, target->shed_until_us - now_us);
  choice->cost_us
      = choice->wait_us + (int64_t)(slowness * (double)choice->service_us)
        + tg_distance_cost_us (target->distance)
        + (int64_t)(tg_error_fraction (target, now_us)
                    * (double)(route->miss_us + query->latency_target_us))
        + (int64_t)(weight >> 40) * TG_TIEBREAK_COST_US / (1 << 24);
}

static gboolean
is_allowed (TgSearch *search, TgTarget *target)
{
  int64_t until_us;

  if (!may_use (search, target))
    return FALSE;
  if (!tg_is_paused_by_target (target, search->query, search->now_us,
                               &until_us))
    return TRUE;
  if (search->paused_until_us == 0 || until_us < search->paused_until_us)
    search->paused_until_us = until_us;
  return FALSE;
}

static void
consider_target (TgSearch *search, TgTarget *target, int64_t extra_cost_us)
{
  TgChoice candidate;

  if (!is_allowed (search, target))
    return;
  search->any_allowed = TRUE;
  if (tg_is_in_backoff (target, search->now_us)
      || tg_is_in_queue_pause (target, search->now_us))
    return;
  tg_estimate_cost (target, search->query, search->route,
                    search->queue_service_us, search->now_us, &candidate);
  candidate.cost_us += extra_cost_us;
  if (search->considered != NULL)
    g_array_append_val (search->considered, candidate);
  if (tg_is_wait_too_long (search, target, candidate.wait_us))
    return;
  if (search->found && candidate.cost_us >= search->choice->cost_us)
    return;
  *search->choice = candidate;
  search->found = TRUE;
}

static gboolean
is_filling_cache (const TgTarget *target, uint64_t object_hash)
{
  for (const GList *node = target->in_flight.head; node != NULL;
       node = node->next)
    {
      const TgAttempt *attempt = node->data;
      if (attempt->fills_cache && attempt->object_hash == object_hash)
        return TRUE;
    }
  return FALSE;
}

/* The allowed targets with the earliest times of the placement.  */
typedef struct
{
  TgTarget *targets[ALTERNATES_MAX]; /* earliest first; NULL: none */
  double times[ALTERNATES_MAX];
} Alternates;

static void
add_alternate (Alternates *alternates, TgTarget *target, double time)
{
  for (int i = 0; i < ALTERNATES_MAX; i++)
    {
      TgTarget *later = alternates->targets[i];
      double later_time = alternates->times[i];
      if (later != NULL && later_time <= time)
        continue;
      alternates->targets[i] = target;
      alternates->times[i] = time;
      target = later;
      time = later_time;
      if (target == NULL)
        return;
    }
}

/* Returns FALSE if no target can be considered.  */
static gboolean
consider_alternates (TgSearch *search, const TgService *service,
                     gboolean is_local)
{
  Alternates alternates = { 0 };

  for (guint i = 0; i < service->targets->len; i++)
    {
      TgTarget *target = service->targets->pdata[i];
      if ((target->distance != TG_OTHER_REGION) != is_local
          || !is_allowed (search, target))
        continue;
      search->any_allowed = TRUE;
      if (!tg_is_in_backoff (target, search->now_us))
        add_alternate (&alternates, target,
                       rp_draw_time (search->query->object_hash,
                                     target->id_hash, target->slot_count));
    }
  for (int i = 0; i < ALTERNATES_MAX; i++)
    if (alternates.targets[i] != NULL)
      consider_target (search, alternates.targets[i],
                       i * SECOND_ALTERNATE_COST_US);
  return alternates.targets[0] != NULL;
}

/* Where no replica can be used, because of the home regions of the request,
   the requests of all daemons for the object still have to meet at few
   targets, or each of them would be a cache miss.  The first choice is the
   target that the daemons of that region use.  */
static void
consider_without_replicas (TgSearch *search, const TgService *service,
                           const TgObject *object)
{
  const TgTarget *first = tg_replica (service, object, 0);
  gboolean is_local = first == NULL || first->distance != TG_OTHER_REGION;

  if (search->query->object_hash == 0)
    {
      for (guint i = 0; i < service->targets->len; i++)
        consider_target (search, service->targets->pdata[i], 0);
      return;
    }
  if (!consider_alternates (search, service, is_local))
    consider_alternates (search, service, !is_local);
}

/* Sets REPLICAS to those of OBJECT in order of preference.  The second one is
   in another zone than the first, so daemons of both zones have one of their
   own: each keeps the object, and large responses stay in the zone.  */
static void
order_replicas (const TgSearch *search, const TgService *service,
                const TgObject *object, TgTarget *replicas[RP_REPLICAS_MAX])
{
  for (uint32_t i = 0; i < RP_REPLICAS_MAX; i++)
    replicas[i] = tg_replica (service, object, i);
  if (search->query->has_large_response && replicas[0] != NULL
      && replicas[1] != NULL && replicas[0]->distance == TG_SAME_REGION
      && replicas[1]->distance == TG_SAME_ZONE)
    {
      TgTarget *first = replicas[0];
      replicas[0] = replicas[1];
      replicas[1] = first;
    }
}

static gboolean
has_spare_slots (const TgTarget *target, int64_t now_us)
{
  return (tg_estimate_load (target, now_us) + 1) * SPARE_SLOTS_DIVISOR
         <= target->slot_count;
}

/* The second replica is used in place of a first one that can be used, too, if
   it has the object cached, so that the cheaper one is taken; or if the queue
   of the first one is too long and the second one has slots to spare for a
   cache miss.  Where both are busy, misses would only add to the load.  */
static gboolean
may_use_second (const TgSearch *search, const TgTarget *second)
{
  if (tg_is_cached (second, search->query->object_hash))
    return TRUE;
  return !search->found && has_spare_slots (second, search->now_us);
}

/* Without a first replica that can be used, the next ones are considered in
   their order, so that the daemons of all zones agree on one.  */
static void
consider_replicas (TgSearch *search, const TgService *service,
                   const TgObject *object)
{
  TgTarget *replicas[RP_REPLICAS_MAX];
  gboolean uses_first = FALSE;

  order_replicas (search, service, object, replicas);
  for (uint32_t i = 0; i < RP_REPLICAS_MAX; i++)
    {
      if (replicas[i] == NULL
          || tg_is_in_backoff (replicas[i], search->now_us))
        continue;
      if (uses_first ? i > 1 || !may_use_second (search, replicas[i])
                     : search->found)
        return;
      consider_target (search, replicas[i], 0);
      uses_first = uses_first || (i == 0 && search->any_allowed);
    }
}

/* Slots of the targets of SERVICE, or enough of them for oc_must_yield.  */
static uint32_t
count_slots (const TgService *service)
{
  uint32_t count = 0;

  for (guint i = 0; i < service->targets->len && count < 2 * OC_YIELD_MIN; i++)
    count += ((const TgTarget *)service->targets->pdata[i])->slot_count;
  return count;
}

/* A place for each kind of user, customer or address, that holds more than its
   share of the attempts of the service.  So a crowd of one customer at one
   address leaves one to the customer's other callers, and another one to
   everybody else.  */
static uint32_t
count_places_to_yield (const TgSearch *search, const TgService *service)
{
  const TgQuery *query = search->query;
  uint32_t slot_count = count_slots (service);
  uint32_t count = 0;

  if (oc_must_yield (service->customers, query->customer_hash, slot_count,
                     search->now_us))
    count++;
  if (oc_must_yield (service->addresses, query->address_hash, slot_count,
                     search->now_us))
    count++;
  return count;
}

/* Requests for a placed object use few targets: a cache miss takes several
   times as long and evicts another object from the target's cache.  */
TgPick
tg_search_targets (TgSearch *search, const TgService *service,
                   const TgObject *object)
{
  TgChoice *choice = search->choice;

  search->yield_count = count_places_to_yield (search, service);
  search->queue_service_us
      = service->service_us != 0 ? service->service_us : search->route->hit_us;
  consider_replicas (search, service, object);
  if (!search->any_allowed)
    consider_without_replicas (search, service, object);
  choice->is_replica = search->found && object != NULL
                       && choice->target == tg_replica (service, object, 0);
  if (search->found && search->query->may_hold && object != NULL
      && !choice->cached
      && is_filling_cache (choice->target, search->query->object_hash))
    return TG_PICK_HOLD;
  if (search->found)
    return TG_PICK_FOUND;
  choice->yield_count = search->yield_count;
  if (search->any_allowed)
    return TG_PICK_FULL;
  if (search->paused_until_us == 0)
    return TG_PICK_NONE;
  choice->wait_us = MAX (0, search->paused_until_us - search->now_us);
  return TG_PICK_LIMITED;
}

TgPick
tg_pick (TgSet *set, const TgQuery *query, int64_t now_us, TgChoice *choice)
{
  TgService *service = tg_get_service (set, query->service);
  const TgObject *object
      = tg_get_object (set, service, query->object_hash, now_us);
  TgSearch search = {
    .set = set,
    .query = query,
    .route = tg_get_route (set, query),
    .now_us = now_us,
    .choice = choice,
  };

  oc_note (service->customers, query->customer_hash, now_us);
  oc_note (service->addresses, query->address_hash, now_us);
  return tg_search_targets (&search, service, object);
}
