/* internal.h - state shared by the sources of the targets package  */

#ifndef TG_INTERNAL_H
#define TG_INTERNAL_H

#include "occupancy/occupancy.h"
#include "place/place.h"
#include "targets/targets.h"

/* A new sample has a weight of 1/8 in an EWMA.  */
#define TG_EWMA_DIVISOR 8
/* Service time of a cache hit before the first response, in percent of the
   route's latency target.  */
#define TG_INITIAL_HIT_PERCENT 50
/* Responses on a route after which a long service time counts as a miss.  */
#define TG_SAMPLES_MIN 16
/* Most objects that a target is expected to keep in its cache.  */
#define TG_CACHED_OBJECTS_MAX 32
/* Largest ratio of a service time to the expected one that is recorded.  */
#define TG_SLOWNESS_MAX 20.0
/* The load that a response reports for other daemons decreases linearly to
   zero over this time, since the requests that it counts end: service times
   are some hundred milliseconds.  */
#define TG_OTHER_LOAD_DECAY_US 600000
/* Half-life of a target's error fraction and slowness.  They decay without
   requests, so that a target that has recovered is tried again.  */
#define TG_HALF_LIFE_US 2000000
/* After the evacuation of a zone ends, its targets count as cold for this
   time.  They may be cold, and their entries show it within about this time:
   they publish every second or two, and the daemon has to read the entry.  */
#define TG_RESTORED_COLD_US 2500000
/* Backoff after a target did not respond; doubles each time up to the
   maximum.  */
#define TG_BACKOFF_MIN_US 200000
#define TG_BACKOFF_MAX_US 3000000
/* The pause after a report of a long queue is one service time and doubles
   with each further one, at most so often.  */
#define TG_QUEUE_PAUSE_DOUBLINGS_MAX 3
/* A target that shed a request is avoided for about one service time.  */
#define TG_SHED_BACKOFF_US 100000
/* Cost of sending a request to another zone or region, added to the estimated
   time: network latency and a price for the traffic.  */
#define TG_CROSS_ZONE_COST_US 80000
#define TG_CROSS_REGION_COST_US 110000
/* Largest cost that the rendezvous hash adds to choose among targets with
   similar estimates.  */
#define TG_TIEBREAK_COST_US 40000

/* Removed targets that are remembered, the latest ones.  */
#define TG_TOMBSTONES_MAX 4096
/* The store drops the entry of a target that has left after some seconds of
   silence, also one that came back with a copy.  */
#define TG_TOMBSTONE_TTL_US ((int64_t)30000000)
/* An object without a request for this time is forgotten at a rebuild.  */
#define TG_OBJECT_IDLE_MAX_US ((int64_t)60000000)
/* Objects of a service whose replicas are kept; 80 bytes each.  */
#define TG_OBJECTS_MAX 65536
/* Spreads small differences over all bits of a hash: the golden ratio.  */
#define TG_HASH_FACTOR 0x9e3779b97f4a7c15ULL
/* Shortest interval between rebuilds of the placement.  */
#define TG_PLACEMENT_INTERVAL_US 200000

typedef enum
{
  TG_SAME_ZONE,
  TG_SAME_REGION,
  TG_OTHER_REGION,
} TgDistance;

/* EWMAs of the service times of requests on a route.  */
typedef struct
{
  int64_t hit_us;  /* if the target has the object cached */
  int64_t miss_us; /* if it has not */
  uint32_t sample_count;
} TgRoute;

typedef struct
{
  uint64_t hash;
  int64_t requested_us;   /* time of the last request */
  uint64_t generation;    /* of the service, when it was placed; 0: never */
  uint64_t first_id_hash; /* of its last first replica; 0: none */
  uint32_t replica_count;
  uint32_t replicas[RP_REPLICAS_MAX]; /* positions in TgService.placed */
} TgObject;

typedef struct
{
  char *name;
  GPtrArray *targets;  /* TgTarget */
  GHashTable *objects; /* hash to TgObject */
  RpMap *map;
  GPtrArray *placed;        /* TgTarget in the order of the map; NULL: removed
                               since the last rebuild */
  uint64_t generation;      /* number of rebuilds */
  gboolean placement_stale; /* the targets have changed since placed_us */
  int64_t placed_us;        /* time of the last rebuild of the placement */
  int64_t service_us;       /* EWMA of the service time; 0: none yet */
  OcTable *customers;       /* their attempts in flight */
  OcTable *addresses;       /* the same of callers */
} TgService;

struct TgTarget
{
  uint32_t ref_count;
  char *id;
  uint64_t id_hash;
  char *address;
  char *service;
  char *zone;
  char *region;
  TgDistance distance;
  uint64_t placed_generation; /* last one of its service with it in the map */
  uint64_t
      joined_generation; /* when it was not in the map of the one before */
  uint32_t slot_count;
  gboolean draining;
  gboolean leaving; /* it has said so itself */
  gboolean removed;
  gboolean misdirected; /* another target has its address now */
  int64_t started_ms;
  uint32_t report_number;
  uint64_t store_era;
  uint64_t store_revision;
  int64_t cold_until_us;         /* as published */
  int64_t assumed_cold_until_us; /* whatever it published; set to 0 by its next
                                    entry if entry_is_stale */
  gboolean entry_is_stale;  /* it failed to respond after its last entry */
  int64_t cold_us;          /* how long it is cold after its start */
  double cold_tokens;       /* requests that this daemon may send now */
  int64_t cold_refilled_us; /* time of cold_tokens */

  GQueue in_flight; /* TgAttempt, oldest first */
  uint32_t in_flight_count;
  uint32_t answered_count;   /* of these, with a response that waits here */
  uint32_t other_load_count; /* requests of other daemons, at
                                other_load_updated_us */
  int64_t other_load_updated_us;
  double limit_per_s;           /* stated by the target; 0: none */
  int64_t limit_stated_us;      /* when it stated a limit last */
  int64_t limit_pause_until_us; /* it has no token before */
  int64_t pause_until_us; /* it wants no requests before; 0: it takes them */
  int64_t shed_until_us;
  int64_t service_us; /* EWMA of the service times that this daemon's
                         requests to it were expected to take; 0: none */
  uint32_t
      long_queue_count; /* pauses since the last report of a short queue */
  int64_t queue_pause_until_us;
  uint32_t no_response_count; /* attempts since its last success */
  int64_t backoff_until_us;
  int64_t last_success_us; /* 0: never */
  double error_fraction;   /* of its recent requests */
  int64_t error_updated_us;
  double miss_fraction; /* of the requests that were expected to hit */
  double slowness;      /* ratio of the actual to the expected service time */
  int64_t slowness_updated_us;
  uint64_t cached_objects[TG_CACHED_OBJECTS_MAX]; /* most recent first */
  uint32_t cached_count;
};

struct TgAttempt
{
  TgTarget *target;
  TgRoute *route;
  TgService *service;
  uint64_t object_hash;
  gboolean cached;      /* expected to hit */
  gboolean fills_cache; /* see tg_attempt_fills_cache */
  gboolean was_queued;  /* it was expected to wait in the target's queue */
  int64_t started_us;
  int64_t answered_us; /* by tg_attempt_note_answered; 0: not yet */
  int64_t cold_us;     /* cold_ms of the query */
  int64_t wait_max_us; /* of the query */
  uint64_t customer_hash;
  uint64_t address_hash;
  GList node;
};

/* The last entry of a removed target.  */
typedef struct
{
  char *id;
  int64_t started_ms;
  uint32_t report_number;
  uint64_t store_era;
  uint64_t store_revision;
  gboolean leaving;
  int64_t removed_us;
  GList node; /* in TgSet.tombstone_order */
} TgTombstone;

struct TgSet
{
  char *zone;
  char *region;
  RpOptions place_options; /* region is set->region */
  void (*on_rebuilt) (const TgRebuild *rebuild, void *data);
  void *rebuilt_data;
  TgPlacementCounters placement;
  GHashTable *targets;     /* id to TgTarget */
  GHashTable *services;    /* name to TgService */
  GHashTable *routes;      /* name to TgRoute */
  GHashTable *evacuated;   /* set of zone names */
  GHashTable *cold_shares; /* zone to double */
  GHashTable *tombstones;  /* id to TgTombstone */
  GQueue tombstone_order;  /* TgTombstone, oldest first */
};

/* The search of tg_pick.  */
typedef struct
{
  const TgSet *set;
  const TgQuery *query;
  const TgRoute *route;
  int64_t queue_service_us; /* service time of the requests in a queue */
  uint32_t yield_count;     /* places at each target that are left to others */
  int64_t now_us;
  gboolean any_allowed;
  int64_t paused_until_us; /* when the first target that wants no requests
                              now may take one; 0: all take them */
  gboolean found;
  TgChoice *choice;   /* the cheapest so far, if found */
  GArray *considered; /* NULL; or, for an explanation, which must not change a
                         target, gets a TgChoice for each target compared */
} TgSearch;

/* Requests of this daemon that TARGET may have in flight, with the one that is
   searched for.  */
uint32_t tg_in_flight_max (const TgSearch *search, const TgTarget *target);
/* WAIT_US is the estimate for the queue of TARGET.  */
gboolean tg_is_wait_too_long (const TgSearch *search, const TgTarget *target,
                              int64_t wait_us);
/* Chooses a target for an object, which is NULL for a request without one.  */
TgPick tg_search_targets (TgSearch *search, const TgService *service,
                          const TgObject *object);

/* tg_get_service, tg_get_object and tg_get_route create what does not exist
   yet.  */
TgService *tg_get_service (TgSet *set, const char *name);
/* Returns NULL if OBJECT_HASH is 0.  The result is valid until the next call
   and has been placed on the targets of the last rebuild.  */
TgObject *tg_get_object (TgSet *set, TgService *service, uint64_t object_hash,
                         int64_t now_us);
/* Whether the next request for an object rebuilds the placement.  */
gboolean tg_placement_is_due (const TgService *service, int64_t now_us);
/* TARGET as the placement sees it.  */
RpTarget tg_place (const TgTarget *target);
/* Replica INDEX of OBJECT, from 0, in order of preference; NULL: it has none,
   or it was removed.  OBJECT may be NULL.  */
TgTarget *tg_replica (const TgService *service, const TgObject *object,
                      uint32_t index);
/* Makes no object use TARGET as a replica.  */
void tg_forget_placed (TgService *service, const TgTarget *target);
/* Whether TARGET is not draining, leaving, removed, misdirected or in an
   evacuated zone.  */
gboolean tg_is_available (const TgSet *set, const TgTarget *target);
uint64_t tg_rendezvous_weight (const TgTarget *target, uint64_t object_hash);
TgRoute *tg_get_route (TgSet *set, const TgQuery *query);
/* Sets ROUTE to the estimates before the first response.  */
void tg_init_route (TgRoute *route, const TgQuery *query);
gboolean tg_is_cold (const TgTarget *target, int64_t now_us);
/* Whether ATTEMPT has lasted MISS_COUNT service times of a cache miss without
   a response, and its target has responded to no other one since it began.  */
gboolean tg_is_unanswered (const TgAttempt *attempt, uint32_t miss_count,
                           int64_t now_us);
/* Whether the last report showed a long queue and is not older than the
   longest pause.  */
gboolean tg_has_long_queue (const TgTarget *target, int64_t now_us);
/* Requests that this daemon may send to a cold target now, at most 1.  */
double tg_cold_tokens (const TgSet *set, const TgTarget *target,
                       double cold_per_s, int64_t now_us);
/* Sets UNTIL_US if TARGET itself wants no requests now.  */
gboolean tg_is_paused_by_target (const TgTarget *target, const TgQuery *query,
                                 int64_t now_us, int64_t *until_us);
gboolean tg_is_in_backoff (const TgTarget *target, int64_t now_us);
gboolean tg_is_in_queue_pause (const TgTarget *target, int64_t now_us);
/* Requests at the target, those of other daemons as last reported.  */
double tg_estimate_load (const TgTarget *target, int64_t now_us);
double tg_current_slowness (const TgTarget *target, const TgRoute *route,
                            int64_t now_us);
int64_t tg_distance_cost_us (TgDistance distance);
void tg_estimate_cost (const TgTarget *target, const TgQuery *query,
                       const TgRoute *route, int64_t queue_service_us,
                       int64_t now_us, TgChoice *choice);
/* Decayed to NOW_US.  */
double tg_error_fraction (const TgTarget *target, int64_t now_us);
uint64_t tg_hash (const char *text);
/* The objects that TARGET is expected to have cached.  */
void tg_cache_add (TgTarget *target, uint64_t object_hash);
void tg_cache_remove (TgTarget *target, uint64_t object_hash);
gboolean tg_is_cached (const TgTarget *target, uint64_t object_hash);

#endif
