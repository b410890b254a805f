/* internal.h - state of a target, private to target  */

#ifndef TG_INTERNAL_H
#define TG_INTERNAL_H

#include "targets/targets.h"

/* Averages give a new sample this part of the whole.  */
#define TG_AVERAGE_WEIGHT 8
/* Before any answer, a known object is taken to need this part of the target
   latency.  */
#define TG_FIRST_KNOWN_PERCENT 50
/* Answers from which the two service times of a route count as learned.  */
#define TG_FIRST_SAMPLES 16
/* Longest memory of objects that a target is given credit for.  */
#define TG_OBJECTS_MAX 32
#define TG_SLOWNESS_MAX 20.0
/* Load that others caused is believed less as its report ages; service times
   are some hundred milliseconds.  */
#define TG_OTHERS_FADE_US 600000
/* Half-life of what was learned of failures and speed, so that a target that
   recovers unseen is tried again.  */
#define TG_ERROR_HALF_US 2000000
/* Targets of a zone whose evacuation ends may be cold.  They report it within
   about this time: a report every second or two, and a reading of them.  */
#define TG_RESTORE_DOUBT_US 2500000
/* Pause after a lost connection; doubles up to the longest.  */
#define TG_PAUSE_FIRST_US 200000
#define TG_PAUSE_MAX_US 3000000
/* A target that refused as full is left alone for about one service time.  */
#define TG_FULL_US 100000
/* What a hop between zones and between regions is worth in waiting time: the
   network's delay and a price for its bytes.  */
#define TG_ZONE_COST_US 80000
#define TG_REGION_COST_US 110000
/* Spread by the rendezvous hash among targets that are alike.  */
#define TG_RANK_COST_US 40000

/* Homes of an object at most.  A second one, in another zone, spares the bytes
   between zones, but takes memory of targets from other objects and has to be
   taught while requests wait.  So it is given only where targets have ample
   memory, and after the first homes are taught.  */
#define TG_HOMES_MAX 2
/* Objects for each target, on average, that leave room for second homes: half
   of the least that targets were seen to keep.  */
#define TG_OBJECTS_AMPLE 7
/* Time from the first request in which most objects are asked for.  */
#define TG_SECOND_AFTER_US ((int64_t)15000000)
/* For a second home: the first is remembered better.  */
#define TG_SECOND_COST_US 40000
/* Room above the fair part, as a divisor of it, so that ranks decide before
   room does.  Targets were seen to keep a sixth more than the fair part.  */
#define TG_ROOM_SPARE 10
/* Objects that a target takes in any case, so that ranks alone decide, and
   daemons agree, before they have seen all objects.  */
#define TG_ROOM_MIN 8
/* An object that was not asked for in this time is no longer placed.  */
#define TG_OBJECT_KEEP_US ((int64_t)60000000)
/* Placement is redone at most this often while objects or targets change.  */
#define TG_PLACE_PAUSE_US 200000

typedef enum
{
  TG_SAME_ZONE,
  TG_SAME_REGION,
  TG_FAR,
} TgDistance;

typedef struct
{
  int64_t known_us;   /* service time of objects that a target knows */
  int64_t unknown_us; /* of others */
  uint32_t samples;
} TgRoute;

typedef struct
{
  uint64_t hash;
  int64_t asked_us;
  TgTarget *homes[TG_HOMES_MAX]; /* NULL: none */
} TgObject;

typedef struct
{
  char *name;
  GPtrArray *targets;  /* TgTarget */
  GHashTable *objects; /* hash to TgObject */
  double near_share;   /* of its objects that this region takes */
  int64_t first_us;    /* when the first object was asked for */
  gboolean unplaced;   /* targets have changed */
  int64_t placed_us;
  int64_t service_us; /* average over all requests; 0: none yet */
} TgService;

struct TgTarget
{
  uint32_t references;
  char *id;
  uint64_t id_hash;
  char *address;
  char *service;
  char *zone;
  char *region;
  TgDistance distance;
  uint32_t placed_count; /* objects whose home it is */
  double object_room;    /* further ones that fit */
  uint32_t slots_count;
  gboolean draining;
  gboolean gone;
  gboolean misplaced;
  int64_t started_ms;
  uint32_t report_number;
  int64_t cold_until_us;  /* as it reported */
  int64_t doubt_until_us; /* taken as cold, whatever it reported before */
  gboolean report_is_old; /* it was lost since */
  int64_t cold_us;        /* how long it is cold after a start */
  double cold_tokens;
  int64_t cold_filled_us;

  GQueue uses; /* oldest first */
  uint32_t use_count;
  uint32_t others_count; /* requests of others, at others_us */
  int64_t others_us;
  int64_t full_until_us;
  uint32_t lost_count;
  int64_t paused_until_us;
  double error_share;
  int64_t error_us;
  double forgets_share; /* of requests for objects it should have known */
  double slowness;      /* time taken over time expected */
  int64_t slowness_us;
  uint64_t objects[TG_OBJECTS_MAX]; /* most recent first */
  uint32_t object_count;
};

struct TgUse
{
  TgTarget *target;
  TgRoute *route;
  TgService *service;
  uint64_t object_hash;
  gboolean known;
  gboolean teaches; /* holds others for the same object, see TG_PICK_HOLD */
  gboolean waited;
  int64_t began_us;
  int64_t cold_us; /* of the service's targets after a start */
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
  GHashTable *evacuated;   /* zones */
  GHashTable *cold_shares; /* zone to double */
};

TgService *tg_service (TgSet *set, const char *name);
/* The object of a request with its homes; NULL without an object.  */
TgObject *tg_place (TgSet *set, TgService *service, uint64_t object_hash,
                    int64_t now_us);
gboolean tg_is_in_service (const TgSet *set, const TgTarget *target);
uint64_t tg_rank (const TgTarget *target, uint64_t object_hash);
TgRoute *tg_route (TgSet *set, const TgQuery *query);
gboolean tg_is_cold (const TgTarget *target, int64_t now_us);
double tg_error_share (const TgTarget *target, int64_t now_us);
uint64_t tg_hash (const char *text);
void tg_remember (TgTarget *target, uint64_t object_hash);
void tg_forget (TgTarget *target, uint64_t object_hash);
gboolean tg_knows (const TgTarget *target, uint64_t object_hash);

#endif
