#include <math.h>
#include <string.h>
#include <xxhash.h>

#include "route/route.h"
#include "targets/internal.h"

/* A request that is older than this many expected times marks its target as
   slow before it is answered.  */
#define OVERDUE_FACTOR 2

uint64_t
tg_hash (const char *text)
{
  return MAX (1, XXH3_64bits (text, strlen (text)));
}

void
tg_forget (TgTarget *target, uint64_t object_hash)
{
  for (uint32_t i = 0; i < target->object_count; i++)
    if (target->objects[i] == object_hash)
      {
        target->object_count--;
        memmove (&target->objects[i], &target->objects[i + 1],
                 (target->object_count - i) * sizeof target->objects[0]);
        return;
      }
}

void
tg_remember (TgTarget *target, uint64_t object_hash)
{
  if (object_hash == 0)
    return;
  tg_forget (target, object_hash);
  if (target->object_count == TG_OBJECTS_MAX)
    target->object_count--;
  memmove (&target->objects[1], &target->objects[0],
           target->object_count * sizeof target->objects[0]);
  target->objects[0] = object_hash;
  target->object_count++;
}

gboolean
tg_knows (const TgTarget *target, uint64_t object_hash)
{
  for (uint32_t i = 0; object_hash != 0 && i < target->object_count; i++)
    if (target->objects[i] == object_hash)
      return TRUE;
  return FALSE;
}

static double
faded (int64_t age_us)
{
  return exp2 (-(double)age_us / TG_ERROR_HALF_US);
}

double
tg_error_share (const TgTarget *target, int64_t now_us)
{
  return target->error_share * faded (now_us - target->error_us);
}

static double
slowness (const TgTarget *target, const TgRoute *route, int64_t now_us)
{
  double learned
      = 1 + (target->slowness - 1) * faded (now_us - target->slowness_us);
  const TgUse *oldest;

  if (target->use_count == 0)
    return learned;
  oldest = target->uses.head->data;
  if (now_us - oldest->began_us < OVERDUE_FACTOR * route->unknown_us)
    return learned;
  return MAX (learned, (double)(now_us - oldest->began_us)
                           / (double)MAX (1, route->unknown_us));
}

static double
load (const TgTarget *target, int64_t now_us)
{
  double age = (double)(now_us - target->others_us) / TG_OTHERS_FADE_US;

  return target->use_count + target->others_count * MAX (0.0, 1.0 - age);
}

static void
fill_cold_tokens (const TgSet *set, TgTarget *target, double cold_per_s,
                  int64_t now_us)
{
  const double *share = g_hash_table_lookup (set->cold_shares, target->zone);
  double seconds = (double)(now_us - target->cold_filled_us) / 1e6;

  target->cold_filled_us = now_us;
  if (share == NULL || *share <= 0)
    target->cold_tokens = 0;
  else
    target->cold_tokens
        = MIN (1.0, target->cold_tokens + seconds * cold_per_s * *share);
}

gboolean
tg_is_cold (const TgTarget *target, int64_t now_us)
{
  return MAX (target->cold_until_us, target->doubt_until_us) > now_us;
}

gboolean
tg_is_in_service (const TgSet *set, const TgTarget *target)
{
  return !target->draining && !target->gone && !target->misplaced
         && (g_hash_table_size (set->evacuated) == 0
             || !g_hash_table_contains (set->evacuated, target->zone));
}

uint64_t
tg_rank (const TgTarget *target, uint64_t object_hash)
{
  return XXH3_64bits_withSeed (&object_hash, sizeof object_hash,
                               target->id_hash);
}

static gboolean
is_allowed (const TgSet *set, TgTarget *target, const TgQuery *query,
            int64_t now_us)
{
  if (!tg_is_in_service (set, target) || target->id_hash == query->except
      || target->use_count >= query->uses_max)
    return FALSE;
  if (!rt_is_home (query->homes, target->region)
      || !rt_is_home (query->customer_homes, target->region))
    return FALSE;
  if (tg_is_cold (target, now_us))
    {
      fill_cold_tokens (set, target, query->cold_per_s, now_us);
      return target->cold_tokens >= 1;
    }
  return TRUE;
}

/* After a loss, one request at a time until one is answered.  */
static gboolean
is_paused (const TgTarget *target, int64_t now_us)
{
  if (target->lost_count == 0)
    return FALSE;
  return target->paused_until_us > now_us || target->use_count > 0;
}

static void
estimate (const TgTarget *target, const TgQuery *query, const TgRoute *route,
          int64_t queued_us, int64_t now_us, TgChoice *choice)
{
  static const int64_t distances[] = {
    [TG_SAME_ZONE] = 0,
    [TG_SAME_REGION] = TG_ZONE_COST_US,
    [TG_FAR] = TG_REGION_COST_US,
  };
  double slow = slowness (target, route, now_us);
  double ahead = load (target, now_us) + 1 - target->slots_count;
  uint64_t key = query->object_hash != 0 ? query->object_hash : query->spread;
  uint64_t rank = tg_rank (target, key);
  int64_t service_us;

  choice->target = (TgTarget *)target;
  choice->known = tg_knows (target, query->object_hash);
  service_us
      = choice->known
            ? route->known_us
                  + (int64_t)(target->forgets_share
                              * (double)(route->unknown_us - route->known_us))
            : route->unknown_us;
  choice->wait_us
      = ahead > 0
            ? (int64_t)(ahead * slow * (double)queued_us / target->slots_count)
            : 0;
  if (target->full_until_us > now_us)
    choice->wait_us = MAX (choice->wait_us, target->full_until_us - now_us);
  choice->cost_us
      = choice->wait_us + (int64_t)(slow * (double)service_us)
        + distances[target->distance]
        + (int64_t)(tg_error_share (target, now_us)
                    * (double)(route->unknown_us + query->latency_us))
        + (int64_t)(rank >> 40) * TG_RANK_COST_US / (1 << 24);
}

typedef struct
{
  TgSet *set;
  const TgQuery *query;
  const TgRoute *route;
  int64_t queued_us; /* service time of those in a queue */
  int64_t now_us;
  gboolean any_allowed;
  gboolean found;
  TgChoice *choice;
} Search;

static void
consider (Search *search, TgTarget *target, int64_t extra_us)
{
  TgChoice candidate;

  if (!is_allowed (search->set, target, search->query, search->now_us))
    return;
  search->any_allowed = TRUE;
  if (is_paused (target, search->now_us))
    return;
  estimate (target, search->query, search->route, search->queued_us,
            search->now_us, &candidate);
  candidate.cost_us += extra_us;
  if (candidate.wait_us > search->query->wait_max_us)
    return;
  if (search->found && candidate.cost_us >= search->choice->cost_us)
    return;
  *search->choice = candidate;
  search->found = TRUE;
}

static gboolean
is_being_taught (const TgTarget *target, uint64_t object_hash)
{
  for (const GList *node = target->uses.head; node != NULL; node = node->next)
    {
      const TgUse *use = node->data;
      if (use->teaches && use->object_hash == object_hash)
        return TRUE;
    }
  return FALSE;
}

/* Requests for a placed object go elsewhere only where no home may be used: a
   target that does not know the object takes several times as long, and
   forgets another object for it.  */
TgPick
tg_pick (TgSet *set, const TgQuery *query, int64_t now_us, TgChoice *choice)
{
  TgService *service = tg_service (set, query->service);
  const TgObject *object = tg_place (set, service, query->object_hash, now_us);
  Search search = {
    .set = set,
    .query = query,
    .route = tg_route (set, query),
    .now_us = now_us,
    .choice = choice,
  };
  gboolean has_home;

  search.queued_us = service->service_us != 0 ? service->service_us
                                              : search.route->known_us;
  for (int i = 0; object != NULL && i < TG_HOMES_MAX; i++)
    if (object->homes[i] != NULL)
      consider (&search, object->homes[i], i * TG_SECOND_COST_US);
  has_home = search.any_allowed;
  for (guint i = 0; !has_home && i < service->targets->len; i++)
    consider (&search, service->targets->pdata[i], 0);
  choice->placed = search.found && object != NULL
                   && (choice->target == object->homes[0]
                       || choice->target == object->homes[1]);
  if (search.found && query->may_hold && object != NULL && !choice->known
      && is_being_taught (choice->target, query->object_hash))
    return TG_PICK_HOLD;
  if (search.found)
    return TG_PICK_FOUND;
  return search.any_allowed ? TG_PICK_FULL : TG_PICK_NONE;
}
