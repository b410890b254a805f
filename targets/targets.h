/* targets.h - load balancing over the targets of all services

   SYNOPSIS
     TgSet *set = tg_new (&(TgOptions){ .zone = "a1", .region = "a",
                                        .region_count = 2 });
     tg_update (set, &entry, now_us);
     TgChoice choice;
     if (tg_pick (set, &query, now_us, &choice) == TG_PICK_FOUND)
       {
         TgAttempt *attempt
             = tg_attempt_begin (set, &query, &choice, now_us);
         ...
         tg_attempt_end (set, attempt, &result, now_us);
       }

   DESCRIPTION
     A set holds what this daemon knows of each target: the entry that the
     target published in the store, its load as reported in its responses and
     as counted in flight here, its recent failures and service times, and the
     objects that it handled recently and so is expected to have cached.

     A request may name an object, by a hash; a target responds faster if it
     has the object cached.  Each object is placed on up to three targets, its
     replicas, in order of preference (place/place.h), and its requests use the
     first, so that they hit a cache.  The placement depends only on the
     available targets and their slots, so daemons of a region agree without
     exchanging messages.  The first two are in different zones.  Requests with
     large responses use the one of the daemon's own zone first, if there is
     one.  A request uses the second one in place of the first if it has the
     object cached and is expected to respond earlier, or if the queue of the
     first is too long and the second has slots to spare.  Where the first
   replica may not be used, because it is cold, in backoff or has left, the
   others are.  Where none of them may be used, because of the home regions of
   a request, a hash of the object selects another target, on which all daemons
   agree, too.

     tg_pick estimates for each candidate the time to a response: queueing
     time, service time of a cache hit or miss, network distance, and the
     expected cost of a failure.  The lowest estimate wins.  A rendezvous
     hash of the object decides among similar estimates, so that daemons that
     share no state send requests for an object to the same targets.

     While a target handles its first request for an object, the caller of
     tg_pick should hold further requests for the object until that one ends:
     one after the other, two requests for an object that is not cached
     together take less time than each of them would take if both ran as
     misses at once, and cost the target a third of the work of those.

     A target that does not respond is in backoff: it gets no requests for a
     time that doubles, then one at a time until it responds.  That includes
     one that accepts requests and responds to none of them.  Requests for its
     objects use another target meanwhile.

     A cold target, one that has started a short time ago, receives requests
     only up to this daemon's share of the rate that the target can handle
     while cold.  A target that responds again after it failed to respond
     counts as cold until it has published a new entry, but no longer than
     after a start; one whose zone was just restored counts as cold for a fixed
     time.  A target is never picked while its zone is evacuated, after it has
     published that it is draining, or outside the home regions of the request.

     A target that limits its rate has one token bucket for all daemons, which
     entry/ keeps.  While it has no token, requests for its objects use another
     target.  So they do while a target wants no requests; after that it gets
     one at a time until it responds otherwise.  A target that states that it
     is leaving counts as draining until it starts again, whatever its entry
     says.

     tg_explain tells what tg_pick would return now and why, for operators.  It
     changes no state: it places no object, refills no tokens, and adds no
     service or route.

     The package reads no clock and does no I/O.  Times are in microseconds of
     one monotonic clock unless stated otherwise.

   ERRORS
     TgPick tells why no target was picked.  */

#ifndef TG_TARGETS_H
#define TG_TARGETS_H

#include <glib.h>
#include <stdint.h>

#include "notice/notice.h"

typedef struct TgSet TgSet;
typedef struct TgTarget TgTarget;
typedef struct TgAttempt TgAttempt;

/* A new placement of the objects of a service.  */
typedef struct
{
  const char *service;
  uint32_t target_count; /* available ones */
  uint32_t object_count; /* requested recently */
  double local_fraction; /* of all objects, placed in the own region */
} TgRebuild;

typedef struct
{
  const char *zone;
  const char *region;
  uint32_t region_count; /* regions that have callers */
  double imbalance_max;  /* see RpOptions */
  /* Called after each rebuild of a placement; may be NULL.  */
  void (*on_rebuilt) (const TgRebuild *rebuild, void *data);
  void *data;
} TgOptions;

/* An object is counted as moved when it is requested and its first replica is
   another target than at its last request.  */
typedef struct
{
  uint64_t rebuild_count;
  uint64_t moved_removed_count; /* the target is no longer available */
  uint64_t moved_added_count;   /* to a target that has become available */
  uint64_t moved_share_count;   /* sizes, or the shares of regions, changed */
} TgPlacementCounters;

/* What a target has published about itself.  */
typedef struct
{
  const char *id;
  const char *address;
  const char *service;
  const char *zone;
  const char *region;
  uint32_t slot_count; /* requests that it handles at once */
  gboolean draining;
  uint32_t cold_left_ms; /* how long it will be cold; 0: it is warm */
  int64_t started_ms; /* wall clock; identifies the incarnation; 0: unknown */
  uint32_t report_number;  /* increases with each entry of an incarnation */
  uint64_t store_era;      /* of the revision; 0: unknown */
  uint64_t store_revision; /* of the entry, or a later one up to which it is
                              the last; 0: unknown */
} TgEntry;

typedef struct
{
  const char *route; /* requests of a route have similar service times */
  const char *service;
  uint64_t object_hash;        /* 0: none */
  gboolean has_large_response; /* use a replica of the own zone, if there is
                                  one */
  uint64_t request_hash;  /* rendezvous key of a request without an object */
  uint64_t customer_hash; /* 0: none; see occupancy/occupancy.h */
  uint64_t address_hash;  /* of the caller; 0: unknown */
  const char *const *home_regions;          /* of the route; NULL: all */
  const char *const *customer_home_regions; /* NULL: all */
  uint64_t exclude; /* tg_id_hash of a target that failed this request, or 0 */
  double cold_per_s;         /* rate that a cold target can handle */
  int64_t cold_ms;           /* how long a target is cold after its start */
  int64_t latency_target_us; /* latency target of the route */
  int64_t wait_max_us; /* targets with a longer queueing time are not picked */
  uint32_t in_flight_max; /* of this daemon, at one target */
  gboolean may_hold;      /* the caller can handle TG_PICK_HOLD */
  gboolean avoid_limited; /* pick no target that limits its rate */
} TgQuery;

typedef enum
{
  TG_PICK_FOUND,
  TG_PICK_NONE, /* no target is allowed; one that has in_flight_max requests,
                   or is cold and has used up its rate, is not */
  TG_PICK_FULL, /* each allowed target has a too long queue or is in backoff */
  TG_PICK_LIMITED, /* as NONE, but some target is not allowed only because it
                      limits its rate or wants no requests for a time; wait_us
                      of the choice is set */
  TG_PICK_HOLD, /* hold the request: one in flight fills the target's cache */
} TgPick;

typedef struct
{
  TgTarget *target;
  gboolean cached;      /* the target is expected to have the object cached */
  gboolean is_replica;  /* the target is the first replica of the object */
  int64_t service_us;   /* estimated, without the queue */
  int64_t wait_us;      /* estimated queueing time; with TG_PICK_LIMITED, time
                           until a target may have a token again */
  int64_t cost_us;      /* estimated time to a response */
  uint32_t yield_count; /* with TG_PICK_NONE and FULL: places at each target
                           that were left to other customers or addresses */
} TgChoice;

#define TG_REPLICAS_MAX 3
#define TG_CANDIDATES_MAX 16

/* Whether a target may get a request, or the first reason why not.  */
typedef enum
{
  TG_CANDIDATE_ALLOWED,
  TG_CANDIDATE_REMOVED,
  TG_CANDIDATE_DRAINING,
  TG_CANDIDATE_LEAVING,
  TG_CANDIDATE_MISDIRECTED, /* another target has its address now */
  TG_CANDIDATE_EVACUATED,   /* its zone is */
  TG_CANDIDATE_EXCLUDED,    /* it failed this request */
  TG_CANDIDATE_BUSY,        /* it has in_flight_max requests of this daemon */
  TG_CANDIDATE_NOT_HOME,    /* outside the home regions */
  TG_CANDIDATE_COLD,        /* cold, and its rate is used up */
  TG_CANDIDATE_PAUSED,      /* it wants no requests now */
  TG_CANDIDATE_LIMITED,     /* it limits its rate */
  TG_CANDIDATE_BACKOFF,     /* it does not respond */
  TG_CANDIDATE_QUEUE_PAUSE, /* its last report showed a long queue */
  TG_CANDIDATE_LONG_WAIT,   /* longer than wait_max_us */
} TgCandidateState;

/* A target as tg_pick would estimate it now.  */
typedef struct
{
  const TgTarget *target; /* valid until the next call that changes the set */
  TgCandidateState state;
  gboolean is_chosen;
  gboolean is_replica;
  gboolean is_considered; /* compared with others; targets that are allowed are
                             not if a replica is used */
  gboolean is_cold;
  gboolean cached;
  int64_t wait_us;
  int64_t service_us;
  int64_t network_us;
  int64_t cost_us; /* by which targets are compared */
  double slowness; /* ratio of the service time to the expected one */
  double error_fraction;
  double queue_length;      /* requests beyond its slots, this one included */
  uint32_t in_flight_count; /* of this daemon */
  uint32_t slot_count;
  int64_t load_age_us; /* of its last load report; -1: none */
} TgCandidate;

typedef struct
{
  TgPick pick;
  TgChoice choice; /* as of tg_pick */
  int64_t miss_us; /* as of tg_miss_us */
  const TgTarget *replicas[TG_REPLICAS_MAX];
  uint32_t replica_count;
  /* The chosen one first, then replicas, those that were considered, those
     that are allowed, and the others.  */
  TgCandidate candidates[TG_CANDIDATES_MAX];
  uint32_t candidate_count;
  uint32_t target_count; /* of the service, also those left out */
} TgExplanation;

/* What a target newly states.  */
typedef enum
{
  TG_NEWS_LIMIT = 1,   /* another limit, or its end */
  TG_NEWS_LEAVING = 2, /* it is leaving, until it starts again */
  TG_NEWS_PAUSE = 4,   /* it wants no requests for a time */
} TgNews;

typedef enum
{
  TG_RESULT_SUCCESS,     /* or an error that the request itself caused */
  TG_RESULT_FAILED,      /* error or invalid response */
  TG_RESULT_TIMEOUT,     /* no response before the deadline */
  TG_RESULT_SHED,        /* refused by the target without running it */
  TG_RESULT_MISDIRECTED, /* another target has the address now */
  TG_RESULT_NO_RESPONSE, /* no connection, or an incomplete response */
  TG_RESULT_CANCELLED,   /* says nothing about the target */
} TgResultKind;

typedef struct
{
  TgResultKind kind;
  gboolean has_load;      /* the response reported the target's load: */
  uint32_t running_count; /* requests that it handles, of all daemons */
  uint32_t waiting_count; /* requests in its queue */
} TgResult;

TgSet *tg_new (const TgOptions *options);
void tg_free (TgSet *set);

/* Adds or updates a target; an entry older than the last one is ignored, also
   for 30 s after the target was removed, as is the last one itself then.
   Returns TRUE if the target is new, has restarted, or has begun or ended to
   drain.

   Within an era of the store its revisions tell which entry is older.  Report
   numbers do otherwise, as after a restore: another writer may leave an entry
   with any number, after which the target's own go on where they were.  */
gboolean tg_update (TgSet *set, const TgEntry *entry, int64_t now_us);
/* Both return FALSE if the target is unknown.  tg_get_entry sets ENTRY to what
   the target published last, as if it were warm; valid until the next call
   that changes the target.  */
gboolean tg_get_entry (const TgSet *set, const char *id, TgEntry *entry);
gboolean tg_remove (TgSet *set, const char *id, int64_t now_us);
uint32_t tg_count_targets (const TgSet *set, const char *service);
const TgPlacementCounters *tg_placement_counters (const TgSet *set);

/* While ZONE is evacuated, none of its targets is picked.  */
void tg_set_evacuated (TgSet *set, const char *zone, gboolean evacuated,
                       int64_t now_us);

/* Sets the share, 0 to 1, of the request rate of cold targets in ZONE that
   this daemon may use.  */
void tg_set_cold_share (TgSet *set, const char *zone, double share);

/* CHOICE is valid after TG_PICK_FOUND and TG_PICK_HOLD.  A target that limits
   its rate is picked without regard to it: the caller takes a token before it
   sends, and calls tg_pause_limited if there is none.  */
TgPick tg_pick (TgSet *set, const TgQuery *query, int64_t now_us,
                TgChoice *choice);
/* Sets EXPLANATION to what tg_pick would return, and why.  */
void tg_explain (const TgSet *set, const TgQuery *query, int64_t now_us,
                 TgExplanation *explanation);
/* Short names for operators: "found", "draining".  */
const char *tg_pick_name (TgPick pick);
const char *tg_candidate_state_name (TgCandidateState state);
/* An attempt lasts from sending a request to a target until its end.  It keeps
   its target valid after tg_remove.  */
TgAttempt *tg_attempt_begin (TgSet *set, const TgQuery *query,
                             const TgChoice *choice, int64_t now_us);
/* Notes what the target states about itself in a response to ATTEMPT, and
   returns what is new, a set of TgNews.  A notice without a limit ends the
   limit only if the request was sent after the target had last stated one.  */
uint32_t tg_apply_notice (TgSet *set, TgAttempt *attempt,
                          const NtNotice *notice, int64_t now_us);
/* Notes that another daemon has heard from a target, of the incarnation that
   started at STARTED_MS, that it is leaving.  Returns TRUE if that is new.  */
gboolean tg_note_leaving (TgSet *set, const char *id, int64_t started_ms);
/* Whether requests may be sent to the attempt's target: it is not draining,
   leaving, removed, misdirected or in an evacuated zone.  */
gboolean tg_attempt_is_allowed (const TgSet *set, const TgAttempt *attempt);
/* The target has no token before UNTIL_US; it is not picked until then, or
   until its limit ends.  */
void tg_pause_limited (TgAttempt *attempt, int64_t until_us);
/* The target has responded, and this daemon has no room yet to read the rest.
   The attempt no longer occupies a slot, nor tells whether the target
   responds.  */
void tg_attempt_note_answered (TgAttempt *attempt, int64_t now_us);
/* Updates what is known of the target and frees ATTEMPT.  */
void tg_attempt_end (TgSet *set, TgAttempt *attempt, const TgResult *result,
                     int64_t now_us);

TgTarget *tg_attempt_target (const TgAttempt *attempt);
/* Identifies a target also after its removal; never 0.  */
uint64_t tg_id_hash (const TgTarget *target);
/* Whether the attempt is expected to bring its object into the target's cache,
   so that further requests for the object may be held until it ends.  */
gboolean tg_attempt_fills_cache (const TgAttempt *attempt);
uint64_t tg_attempt_object_hash (const TgAttempt *attempt);
/* Expected service time of a cache miss on the query's route.  */
int64_t tg_miss_us (TgSet *set, const TgQuery *query);
const char *tg_id (const TgTarget *target);
const char *tg_address (const TgTarget *target);
const char *tg_zone (const TgTarget *target);
const char *tg_region (const TgTarget *target);
int64_t tg_started_ms (const TgTarget *target);
/* Identifies one incarnation of a target also after its removal.  */
uint64_t tg_incarnation_hash (const TgTarget *target);
/* Requests per second that the target takes from all daemons; 0: no limit is
   known.  */
double tg_limit_per_s (const TgTarget *target);

#endif
