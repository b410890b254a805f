/* internal.h - state shared by the sources of the targets package  */

#ifndef TG_INTERNAL_H
#define TG_INTERNAL_H

#include "targets/targets.h"

/* A new sample has a weight of 1/8 in exponential moving averages.  */
#define TG_EWMA_DIVISOR 8
/* Service time of a cache hit before the first response, in percent of the
   route's latency objective.  */
#define TG_INITIAL_HIT_PERCENT 50
/* Responses of a route before its service times tell hits from misses.  */
#define TG_SAMPLES_MIN 16
/* Objects that a target is expected to keep in its cache at most.  */
#define TG_CACHED_OBJECTS_MAX 32
#define TG_SLOWNESS_MAX 20.0
/* Reported load of other daemons is discounted linearly to zero over this
   time, since their requests end: service times are some hundred
   milliseconds.  */
#define TG_OTHER_LOAD_DECAY_US 600000
/* Half-life of a target's error share and slowness.  They decay without
   requests, so that a target that has recovered is tried again.  */
#define TG_HALF_LIFE_US 2000000
/* Targets of a zone whose evacuation ends may be cold.  Their entries show it
   within about this time: they publish every second or two, and the daemon
   has to read the entry.  */
#define TG_RESTORED_COLD_US 2500000
/* Backoff after a target did not respond; doubles up to the maximum.  */
#define TG_BACKOFF_MIN_US 200000
#define TG_BACKOFF_MAX_US 3000000
/* A target that shed a request is avoided for about one service time.  */
#define TG_SHED_BACKOFF_US 100000
/* Cost of crossing zones or regions as equivalent queueing time: network
   latency and a price for the traffic.  */
#define TG_CROSS_ZONE_COST_US 80000
#define TG_CROSS_REGION_COST_US 110000
/* Largest cost that the rendezvous hash adds to choose among targets with
   similar estimates.  */
#define TG_TIEBREAK_COST_US 40000

/* Most replicas of an object.  A second one, in another zone, saves traffic
   between zones, but takes cache space from other objects, and requests wait
   while its cache is filled.  So it is added only where the targets have ample
   cache space, and after the first replicas are filled.  */
#define TG_REPLICAS_MAX 2
/* Second replicas are added while targets have at most this many objects on
   average, second replicas included: half of the smallest cache observed.  */
#define TG_SECOND_REPLICA_OBJECTS_MAX 7
/* Within this time of the first request, most objects are requested.  */
#define TG_SECOND_REPLICA_DELAY_US ((int64_t)15000000)
/* Added for the second replica: the first is more likely to have the object
   cached.  */
#define TG_SECOND_REPLICA_COST_US 40000
/* Capacity beyond a target's even part of the objects, as a divisor of that
   part, so that the rendezvous hash decides before capacity does.  Targets
   were observed to cache a sixth more than the even part.  */
#define TG_CAPACITY_SLACK_DIVISOR 10
/* Capacity of a target in any case, so that daemons place by the rendezvous
   hash alone, and agree, before they have seen all objects.  */
#define TG_CAPACITY_MIN 8
/* An object without a request for this time loses its placement.  */
#define TG_OBJECT_IDLE_MAX_US ((int64_t)60000000)
/* Shortest interval between rebuilds of the placement.  */
#define TG_PLACEMENT_INTERVAL_US 200000

typedef enum
{
  TG_SAME_ZONE,
  TG_SAME_REGION,
  TG_OTHER_REGION,
} TgDistance;

typedef struct
{
  int64_t hit_us;  /* service time where the target has the object cached */
  int64_t miss_us; /* and where it has not */
  uint32_t sample_count;
} TgRoute;

typedef struct
{
  uint64_t hash;
  int64_t requested_us;
  TgTarget *replicas[TG_REPLICAS_MAX]; /* NULL: none */
} TgObject;

typedef struct
{
  char *name;
  GPtrArray *targets;  /* TgTarget */
  GHashTable *objects; /* hash to TgObject */
  double local_share;  /* of the objects that this region places on itself */
  int64_t first_request_us; /* time of the first request for an object */
  gboolean placement_stale; /* the targets have changed since placed_us */
  int64_t placed_us;
  int64_t service_us; /* moving average of the service time; 0: none yet */
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
  uint32_t primary_count; /* objects whose first replica it is */
  double capacity_left;   /* further objects that fit its cache */
  uint32_t slots_count;
  gboolean draining;
  gboolean removed;
  gboolean misdirected;
  int64_t started_ms;
  uint32_t report_number;
  int64_t cold_until_us;         /* as published */
  int64_t assumed_cold_until_us; /* whatever it published */
  gboolean entry_is_stale;       /* it failed to respond since */
  int64_t cold_us;               /* how long it is cold after its start */
  double cold_tokens;
  int64_t cold_refilled_us;

  GQueue in_flight; /* oldest first */
  uint32_t in_flight_count;
  uint32_t other_load_count; /* requests of other daemons, at other_load_us */
  int64_t other_load_us;
  int64_t shed_until_us;
  uint32_t no_response_count;
  int64_t backoff_until_us;
  double error_share;
  int64_t error_us;
  double miss_share; /* misses among requests that were expected to hit */
  double slowness;   /* ratio of the actual to the expected service time */
  int64_t slowness_us;
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
  gboolean fills_cache; /* others for the object are held, see TG_PICK_HOLD */
  gboolean was_queued;
  int64_t started_us;
  int64_t cold_us; /* cold_ms of the query */
  GList node;
};

struct TgSet
{
  char *zone;
  char *region;
  uint32_t region_count;
  GHashTable *targets;     /* id to TgTarget */
  GHashTable *services;    /* name to TgService */
  GHashTable *routes;      /* name to TgRoute */
  GHashTable *evacuated;   /* set of zone names */
  GHashTable *cold_shares; /* zone to double */
};

/* tg_get_service, tg_get_object and tg_get_route add what is missing.  */
TgService *tg_get_service (TgSet *set, const char *name);
/* The object with its replicas; NULL where OBJECT_HASH is 0.  */
TgObject *tg_get_object (TgSet *set, TgService *service, uint64_t object_hash,
                         int64_t now_us);
gboolean tg_is_in_service (const TgSet *set, const TgTarget *target);
uint64_t tg_rendezvous_weight (const TgTarget *target, uint64_t object_hash);
TgRoute *tg_get_route (TgSet *set, const TgQuery *query);
gboolean tg_is_cold (const TgTarget *target, int64_t now_us);
double tg_error_share (const TgTarget *target, int64_t now_us);
uint64_t tg_hash (const char *text);
void tg_cache_add (TgTarget *target, uint64_t object_hash);
void tg_cache_remove (TgTarget *target, uint64_t object_hash);
gboolean tg_is_cached (const TgTarget *target, uint64_t object_hash);

#endif
