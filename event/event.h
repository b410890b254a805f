/* event.h - numbered events with a hybrid logical clock

   SYNOPSIS
     EvOptions opts = { .vm = "vm1", .capacity_count = 4096 };
     EvRing *ring = ev_ring_new (&opts);
     ev_record (ring, wall_ms, EV_REQUEST_ADMITTED,
                &(EvFields){ .customer = "c1", .request_id = id });

   DESCRIPTION
     A ring buffer holds the newest events of one daemon.  Each event has a
     number from the catalogue (docs/events.md) and a stamp of the daemon's
     hybrid logical clock, which is wall time in ms and a counter.  Messages
     carry the sender's stamp, and the receiver advances its own clock past it.
     So an event that a message causes has a later stamp than the message and
     the events before it, even when the wall clocks of the two VMs differ by
     up to EV_SKEW_MAX_MS.  Strings are copied and truncated to the size of
     their field.

   ERRORS
     None.  Recording an unknown number is a programming error and fails an
     assertion.  */

#ifndef EV_EVENT_H
#define EV_EVENT_H

#include <glib.h>
#include <stdint.h>

#define EV_NAME_BYTES 64
#define EV_DETAIL_BYTES 128

typedef enum
{
  EV_DAEMON_STARTED = 100,
  EV_DAEMON_READY = 101,
  EV_DAEMON_DRAINING = 102,
  EV_DAEMON_STOPPED = 103,
  EV_SETTINGS_RELOADED = 104,
  EV_LINES_DROPPED = 105,
  EV_LOOP_LATE = 106,
  EV_CONNECTIONS_LIMITED = 107,
  EV_START_FAILED = 108,

  EV_CONFIG_IN_FORCE = 200,
  EV_CONFIG_REFUSED = 201,
  EV_CONFIG_WRITTEN = 202,
  EV_CONFIG_STALE = 203,
  EV_CONFIG_FRESH = 204,
  EV_CONFIG_PART_MISSING = 205,
  EV_ENTRY_UNREADABLE = 206,
  EV_SHARES_CHANGED = 207,
  EV_CONFIG_UNSETTLED = 208,

  EV_LEASE_ACTIVE = 300,
  EV_LEASE_LAPSED = 301,
  EV_LEASE_FENCED = 302,
  EV_LEASE_FENCED_OTHER = 303,
  EV_LEASE_SUCCESSOR = 304,

  EV_ASSIGN_CHANGED = 320,
  EV_ASSIGN_CONFLICT = 321,

  EV_STORE_DOWN = 340,
  EV_STORE_UP = 341,
  EV_STORE_OUTCOME_UNKNOWN = 342,
  EV_STORE_RESTORED = 343,

  EV_PEER_CONNECTED = 360,
  EV_PEER_LOST = 361,
  EV_PEER_FRAME_INVALID = 362,
  EV_MEMBER_JOINED = 363,
  EV_MEMBER_LEFT = 364,
  EV_HUB_CHANGED = 365,

  EV_REQUEST_ADMITTED = 400,
  EV_REQUEST_SENT = 401,
  EV_REQUEST_ANSWERED = 402,
  EV_REQUEST_REFUSED = 403,
  EV_REQUEST_RETRIED = 404,
  EV_REQUEST_UNKNOWN = 405,
  EV_REQUEST_QUEUED = 406,
  EV_REQUEST_CANCELLED = 407,
  EV_SEND_FAILED = 408,
  EV_REQUEST_CUT = 409,
  EV_REQUEST_QUARANTINED = 410,

  EV_TARGET_HEALTHY = 420,
  EV_TARGET_UNHEALTHY = 421,
  EV_TARGET_SHED = 422,
  EV_TARGET_LEAVING = 423,
  EV_TARGET_LIMIT = 424,
  EV_TARGET_LISTED = 425,
  EV_TARGET_GONE = 426,
  EV_ZONE_EVACUATED = 427,
  EV_ZONE_RESTORED = 428,
  EV_TARGET_RATE = 429,
  EV_TARGET_NOTICE_INVALID = 430,
  EV_TARGET_ENDED = 431,
  EV_TARGET_PAUSED = 432,
  EV_PLACEMENT_REBUILT = 433,

  EV_ORDER_STARTED = 440,
  EV_ORDER_DONE = 441,
  EV_ORDER_REPLAYED = 442,
  EV_ORDER_UNKNOWN = 443,

  EV_PLAN_DRAIN_STARTED = 460,
  EV_PLAN_DRAIN_ENDED = 461,
  EV_PLAN_SHIFT_STEP = 462,
  EV_PLAN_SHIFT_PAUSED = 463,
  EV_PLAN_SHIFT_ENDED = 464,
} EvNumber;

typedef enum
{
  EV_LEVEL_DEBUG, /* may occur for each request; not passed to EvOptions.log */
  EV_LEVEL_INFO,
  EV_LEVEL_WARNING, /* may need an operator's attention */
  EV_LEVEL_ERROR,   /* the daemon ends */
} EvLevel;

/* An entry of the catalogue.  */
typedef struct
{
  EvNumber number;
  EvLevel level;
  const char *name;
  const char *meaning;
} EvKind;

/* Value of a hybrid logical clock.  COUNT orders stamps of the same ms.  */
typedef struct
{
  uint64_t wall_ms;
  uint32_t count;
} EvStamp;

/* All fields are optional: NULL or 0 is none.  */
typedef struct
{
  const char *customer;
  const char *target;
  const char *request_id;
  uint64_t config_version;
  const char *detail;
} EvFields;

typedef struct
{
  EvStamp stamp;
  EvNumber number;
  char customer[EV_NAME_BYTES];
  char target[EV_NAME_BYTES];
  char request_id[EV_NAME_BYTES];
  uint64_t config_version;
  char detail[EV_DETAIL_BYTES];
} EvEvent;

typedef struct
{
  const char *vm;
  uint32_t capacity_count; /* events that the ring holds; at least 1 */
  /* Called for each event at EV_LEVEL_INFO and above; may be NULL.  */
  void (*log) (const EvKind *kind, const EvEvent *event, void *data);
  void *log_data;
} EvOptions;

typedef struct EvRing EvRing;

EvRing *ev_ring_new (const EvOptions *options);
void ev_ring_free (EvRing *ring);

/* Advances the clock and adds an event, which replaces the oldest one when the
   ring is full.  FIELDS may be NULL.  */
void ev_record (EvRing *ring, uint64_t wall_ms, EvNumber number,
                const EvFields *fields);

/* Advances the clock and returns the stamp for a message to send.  */
EvStamp ev_next_stamp (EvRing *ring, uint64_t wall_ms);

/* Advances the clock past the stamp of a received message.  A stamp more than
   EV_SKEW_MAX_MS ahead of the wall clock is ignored.  */
void ev_merge_stamp (EvRing *ring, uint64_t wall_ms, EvStamp stamp);

/* Keeps one wrong wall clock from moving the clocks of all daemons ahead.  */
#define EV_SKEW_MAX_MS 60000

/* Negative, zero or positive as A is before, equal to or after B.  */
int ev_stamp_compare (EvStamp a, EvStamp b);

uint32_t ev_ring_count (const EvRing *ring);

/* The event at INDEX, counted from the oldest event in the ring as 0.  INDEX
   must be below ev_ring_count.  */
const EvEvent *ev_ring_at (const EvRing *ring, uint32_t index);

/* Returns TRUE when EVENT equals FILTER in every field that FILTER sets.  */
gboolean ev_matches (const EvEvent *event, const EvFields *filter);

/* Returns the catalogue entry of NUMBER, or NULL.  */
const EvKind *ev_find_kind (uint32_t number);

/* Returns the catalogue, ordered by number, and its length in *COUNT.  */
const EvKind *ev_catalogue (uint32_t *count);

#endif
