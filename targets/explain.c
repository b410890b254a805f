/* Explains a pick: the same search as that of tg_pick, on state that it does
   not change.  */

#include <string.h>

#include "route/route.h"
#include "targets/internal.h"

const char *
tg_pick_name (TgPick pick)
{
  static const char *const names[] = {
    [TG_PICK_FOUND] = "found", [TG_PICK_NONE] = "none",
    [TG_PICK_FULL] = "full",   [TG_PICK_LIMITED] = "limited",
    [TG_PICK_HOLD] = "hold",
  };

  return names[pick];
}

const char *
tg_candidate_state_name (TgCandidateState state)
{
  static const char *const names[] = {
    [TG_CANDIDATE_ALLOWED] = "allowed",
    [TG_CANDIDATE_REMOVED] = "removed",
    [TG_CANDIDATE_DRAINING] = "draining",
    [TG_CANDIDATE_LEAVING] = "leaving",
    [TG_CANDIDATE_MISDIRECTED] = "misdirected",
    [TG_CANDIDATE_EVACUATED] = "evacuated",
    [TG_CANDIDATE_EXCLUDED] = "excluded",
    [TG_CANDIDATE_BUSY] = "busy",
    [TG_CANDIDATE_NOT_HOME] = "not_home",
    [TG_CANDIDATE_COLD] = "cold",
    [TG_CANDIDATE_PAUSED] = "paused",
    [TG_CANDIDATE_LIMITED] = "limited",
    [TG_CANDIDATE_BACKOFF] = "backoff",
    [TG_CANDIDATE_QUEUE_PAUSE] = "queue_pause",
    [TG_CANDIDATE_LONG_WAIT] = "long_wait",
  };

  return names[state];
}

/* The placement that the next pick would use.  */
typedef struct
{
  TgService service; /* shallow copy, with another placement if it is due */
  RpMap *map;        /* NULL: that of the service */
  GPtrArray *placed;
  TgObject object;
} Peek;

/* As tg_get_object does it, on a map and a list of its own.  */
static void
rebuild_placement (const TgSet *set, Peek *peek)
{
  const GPtrArray *targets = peek->service.targets;
  RpTarget *places = g_new (RpTarget, targets->len);

  peek->map = rp_new (&set->place_options);
  peek->placed = g_ptr_array_new ();
  for (guint i = 0; i < targets->len; i++)
    {
      TgTarget *target = targets->pdata[i];
      if (!tg_is_available (set, target))
        continue;
      places[peek->placed->len] = tg_place (target);
      g_ptr_array_add (peek->placed, target);
    }
  rp_set_targets (peek->map, places, peek->placed->len);
  g_free (places);
  peek->service.map = peek->map;
  peek->service.placed = peek->placed;
}

static void
begin_peek (const TgSet *set, const TgService *service, const TgQuery *query,
            int64_t now_us, Peek *peek)
{
  *peek = (Peek){ .service = *service };
  if (tg_placement_is_due (service, now_us))
    rebuild_placement (set, peek);
  peek->object.replica_count = rp_replicas (
      peek->service.map, query->object_hash, peek->object.replicas);
}

static void
end_peek (Peek *peek)
{
  rp_free (peek->map);
  if (peek->placed != NULL)
    g_ptr_array_unref (peek->placed);
}

/* In the order in which tg_pick checks them.  */
static TgCandidateState
check_usable (const TgSearch *search, const TgTarget *target)
{
  const TgQuery *query = search->query;

  if (target->removed)
    return TG_CANDIDATE_REMOVED;
  if (target->leaving)
    return TG_CANDIDATE_LEAVING;
  if (target->draining)
    return TG_CANDIDATE_DRAINING;
  if (target->misdirected)
    return TG_CANDIDATE_MISDIRECTED;
  if (!tg_is_available (search->set, target))
    return TG_CANDIDATE_EVACUATED;
  if (target->id_hash == query->exclude)
    return TG_CANDIDATE_EXCLUDED;
  if (target->in_flight_count >= tg_in_flight_max (search, target))
    return TG_CANDIDATE_BUSY;
  if (!rt_is_home_region (query->home_regions, target->region)
      || !rt_is_home_region (query->customer_home_regions, target->region))
    return TG_CANDIDATE_NOT_HOME;
  if (tg_is_cold (target, search->now_us)
      && tg_cold_tokens (search->set, target, query->cold_per_s,
                         search->now_us)
             < 1)
    return TG_CANDIDATE_COLD;
  return TG_CANDIDATE_ALLOWED;
}

static TgCandidateState
check_candidate (const TgSearch *search, const TgTarget *target,
                 int64_t wait_us)
{
  TgCandidateState state = check_usable (search, target);
  int64_t until_us;

  if (state != TG_CANDIDATE_ALLOWED)
    return state;
  if (tg_is_paused_by_target (target, search->query, search->now_us,
                              &until_us))
    return target->limit_pause_until_us > search->now_us
                   || (target->limit_per_s > 0 && search->query->avoid_limited)
               ? TG_CANDIDATE_LIMITED
               : TG_CANDIDATE_PAUSED;
  if (tg_is_in_backoff (target, search->now_us))
    return TG_CANDIDATE_BACKOFF;
  if (tg_is_in_queue_pause (target, search->now_us))
    return TG_CANDIDATE_QUEUE_PAUSE;
  return tg_is_wait_too_long (search, target, wait_us) ? TG_CANDIDATE_LONG_WAIT
                                                       : TG_CANDIDATE_ALLOWED;
}

/* NULL if TARGET was not considered.  */
static const TgChoice *
find_considered (const TgSearch *search, const TgTarget *target)
{
  for (guint i = 0; i < search->considered->len; i++)
    {
      const TgChoice *choice
          = &g_array_index (search->considered, TgChoice, i);
      if (choice->target == target)
        return choice;
    }
  return NULL;
}

static gboolean
is_replica (const TgExplanation *explanation, const TgTarget *target)
{
  for (uint32_t i = 0; i < explanation->replica_count; i++)
    if (explanation->replicas[i] == target)
      return TRUE;
  return FALSE;
}

static void
describe_target (const TgSearch *search, const TgExplanation *explanation,
                 const TgTarget *target, TgCandidate *candidate)
{
  const TgChoice *considered = find_considered (search, target);
  int64_t now_us = search->now_us;
  TgChoice estimate;

  tg_estimate_cost (target, search->query, search->route,
                    search->queue_service_us, now_us, &estimate);
  if (considered != NULL)
    estimate = *considered;
  *candidate = (TgCandidate){
    .target = target,
    .state = check_candidate (search, target, estimate.wait_us),
    .is_chosen = search->found && search->choice->target == target,
    .is_replica = is_replica (explanation, target),
    .is_considered = considered != NULL,
    .is_cold = tg_is_cold (target, now_us),
    .cached = estimate.cached,
    .wait_us = estimate.wait_us,
    .service_us = estimate.service_us,
    .network_us = tg_distance_cost_us (target->distance),
    .cost_us = estimate.cost_us,
    .slowness = tg_current_slowness (target, search->route, now_us),
    .error_fraction = tg_error_fraction (target, now_us),
    .queue_length
    = MAX (0.0, tg_estimate_load (target, now_us) + 1 - target->slot_count),
    .in_flight_count = target->in_flight_count,
    .slot_count = target->slot_count,
    .load_age_us = target->other_load_updated_us != 0
                       ? now_us - target->other_load_updated_us
                       : -1,
  };
}

/* Lower ranks are listed first.  */
static int
rank_candidate (const TgCandidate *candidate)
{
  if (candidate->is_chosen)
    return 0;
  if (candidate->is_replica)
    return 1;
  if (candidate->is_considered)
    return 2;
  return candidate->state == TG_CANDIDATE_ALLOWED ? 3 : 4;
}

static gint
compare_candidates (gconstpointer a, gconstpointer b)
{
  const TgCandidate *left = a;
  const TgCandidate *right = b;
  int ranks = rank_candidate (left) - rank_candidate (right);

  if (ranks != 0)
    return ranks;
  if (left->cost_us != right->cost_us)
    return left->cost_us < right->cost_us ? -1 : 1;
  return strcmp (left->target->id, right->target->id);
}

static void
list_candidates (const TgSearch *search, const TgService *service,
                 TgExplanation *explanation)
{
  g_autoptr (GArray) all = g_array_new (FALSE, FALSE, sizeof (TgCandidate));

  for (guint i = 0; i < service->targets->len; i++)
    {
      TgCandidate candidate;
      describe_target (search, explanation, service->targets->pdata[i],
                       &candidate);
      g_array_append_val (all, candidate);
    }
  g_array_sort (all, compare_candidates);
  explanation->target_count = all->len;
  explanation->candidate_count = MIN (all->len, TG_CANDIDATES_MAX);
  if (all->len > 0)
    memcpy (explanation->candidates, all->data,
            explanation->candidate_count * sizeof (TgCandidate));
}

static void
explain_service (TgSearch *search, const TgService *service,
                 TgExplanation *explanation)
{
  const TgQuery *query = search->query;
  const TgObject *object;
  Peek peek;

  begin_peek (search->set, service, query, search->now_us, &peek);
  object = query->object_hash != 0 ? &peek.object : NULL;
  for (uint32_t i = 0; i < RP_REPLICAS_MAX; i++)
    {
      TgTarget *replica = tg_replica (&peek.service, object, i);
      if (replica != NULL)
        explanation->replicas[explanation->replica_count++] = replica;
    }
  explanation->pick = tg_search_targets (search, &peek.service, object);
  list_candidates (search, &peek.service, explanation);
  end_peek (&peek);
}

void
tg_explain (const TgSet *set, const TgQuery *query, int64_t now_us,
            TgExplanation *explanation)
{
  const TgService *service
      = g_hash_table_lookup (set->services, query->service);
  const TgRoute *route = g_hash_table_lookup (set->routes, query->route);
  g_autoptr (GArray) considered
      = g_array_new (FALSE, FALSE, sizeof (TgChoice));
  TgRoute initial_route;
  TgSearch search = {
    .set = set,
    .query = query,
    .route = route != NULL ? route : &initial_route,
    .now_us = now_us,
    .choice = &explanation->choice,
    .considered = considered,
  };

  *explanation = (TgExplanation){ .pick = TG_PICK_NONE };
  tg_init_route (&initial_route, query);
  explanation->miss_us = search.route->miss_us;
  if (service != NULL)
    explain_service (&search, service, explanation);
}
