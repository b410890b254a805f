/* targets.h - the targets of all services and the choice among them

   SYNOPSIS
     TgSet *set = tg_new (&(TgOptions){ .zone = "a1", .region = "a" });
     tg_update (set, &entry, now_us);
     TgChoice choice;
     if (tg_pick (set, &query, now_us, &choice) == TG_PICK_FOUND)
       {
         TgUse *use = tg_begin (set, &query, &choice, now_us);
         ...
         tg_end (set, use, &end, now_us);
       }

   DESCRIPTION
     A set holds what a daemon knows of each target: the entry that it
     published, its load from its answers and from the requests under way,
     its recent failures and speed, and the objects it has lately handled.

     Objects are placed on a few targets each, so that targets know the
     objects that they are asked for: in the daemon's own region where it has
     room, in different zones if possible, and elsewhere for the rest.  The
     placement depends on the objects and targets alone, so daemons of a region
     agree without a message.

     tg_pick estimates for each candidate the time until the answer: time in
   the queue, service time for a known or an unknown object, distance, and the
     expected cost of a failure.  The least estimate wins; equal ones are
     decided by a rendezvous hash of the object, so that daemons which know
     nothing of each other send an object to the same targets.

     While a target handles an object for the first time, further requests for
     the object do better to wait for the end of that: together both take less
     time than each would alone, and a third of the work.

     A cold target takes requests only within this daemon's share of what it
     bears.  One that answers again after it was lost, or whose zone was just
     restored, counts as cold until it has reported.  A target is never chosen
   while its zone is evacuated, after it has reported that it leaves, or
   outside the homes of the request.

     The package reads no clock and does no I/O.  Times are of one monotonic
     clock in microseconds.

   ERRORS
     TgPick tells why no target was chosen.  */

#ifndef TG_TARGETS_H
#define TG_TARGETS_H

#include <glib.h>
#include <stdint.h>

typedef struct TgSet TgSet;
typedef struct TgTarget TgTarget;
typedef struct TgUse TgUse;

typedef struct
{
  const char *zone;
  const char *region;
  uint32_t region_count; /* regions with clients */
} TgOptions;

/* What a target says of itself.  */
typedef struct
{
  const char *id;
  const char *address;
  const char *service;
  const char *zone;
  const char *region;
  uint32_t slots_count;
  gboolean draining;
  uint32_t cold_left_ms;
  int64_t started_ms;     /* wall clock of its start; 0 where unknown */
  uint32_t report_number; /* rises with each report of one start */
} TgEntry;

typedef struct
{
  const char *route; /* requests of one route take alike long */
  const char *service;
  uint64_t object_hash; /* 0: none */
  uint64_t spread;      /* random, decides where no object does */
  const char *const *homes;
  const char *const *customer_homes;
  uint64_t except;     /* tg_key of one that failed this request, or 0 */
  double cold_per_s;   /* that a cold target of the service bears */
  int64_t cold_ms;     /* how long one is cold after its start */
  int64_t latency_us;  /* target latency of the route */
  int64_t wait_max_us; /* longer queues are refused */
  uint32_t uses_max;   /* own requests at one target */
  gboolean may_hold;   /* TG_PICK_HOLD is useful */
} TgQuery;

typedef enum
{
  TG_PICK_FOUND,
  TG_PICK_NONE, /* no target may be used */
  TG_PICK_FULL, /* all targets have long queues */
  TG_PICK_HOLD, /* a request under way teaches a target the object */
} TgPick;

typedef struct
{
  TgTarget *target;
  gboolean known;  /* the object was lately handled there */
  gboolean placed; /* it is a home of the object */
  int64_t wait_us;
  int64_t cost_us;
} TgChoice;

typedef enum
{
  TG_END_ANSWERED,  /* success, or a failure of the request's own */
  TG_END_FAILED,    /* the target failed the request */
  TG_END_SHED,      /* refused, not run */
  TG_END_MISPLACED, /* another target has the address */
  TG_END_LOST,      /* no answer */
  TG_END_CANCELLED, /* says nothing about the target */
} TgEndKind;

typedef struct
{
  TgEndKind kind;
  gboolean has_load;
  uint32_t running_count; /* with has_load */
  uint32_t waiting_count;
} TgEnd;

TgSet *tg_new (const TgOptions *options);
void tg_free (TgSet *set);

/* Returns whether anything but a counter has changed.  A report that is older
   than the last one changes nothing.  */
gboolean tg_update (TgSet *set, const TgEntry *entry, int64_t now_us);
/* Returns FALSE where the target is not known.  */
gboolean tg_remove (TgSet *set, const char *id);
uint32_t tg_count (const TgSet *set, const char *service);

/* Nothing more is chosen in ZONE, or again where EVACUATED is FALSE.  */
void tg_evacuate (TgSet *set, const char *zone, gboolean evacuated,
                  int64_t now_us);

/* The part of what cold targets of ZONE bear that this daemon may use.  */
void tg_set_cold_share (TgSet *set, const char *zone, double share);

TgPick tg_pick (TgSet *set, const TgQuery *query, int64_t now_us,
                TgChoice *choice);
TgUse *tg_begin (TgSet *set, const TgQuery *query, const TgChoice *choice,
                 int64_t now_us);
/* Frees USE.  */
void tg_end (TgSet *set, TgUse *use, const TgEnd *end, int64_t now_us);

TgTarget *tg_use_target (const TgUse *use);
/* Stands for a target also when it is gone; never 0.  */
uint64_t tg_key (const TgTarget *target);
/* Whether requests for its object may be held for it.  */
gboolean tg_use_teaches (const TgUse *use);
uint64_t tg_use_object (const TgUse *use);
/* Time that targets need for an object that they do not know.  */
int64_t tg_unknown_us (TgSet *set, const TgQuery *query);
const char *tg_id (const TgTarget *target);
const char *tg_address (const TgTarget *target);
const char *tg_zone (const TgTarget *target);

#endif
