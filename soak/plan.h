/* plan.h - random faults of a soak test

   SYNOPSIS
     SkPlanOptions options = { .edition = 2, .daemon_count = 3, ... };
     GArray *plan = sk_plan_new (seed, &options);

   DESCRIPTION
     A plan lists faults with their start and end times, in ms after the start
     of the load.  The subject of a fault is the daemon, store, link, target,
     configuration or zone that it affects.  The same seed and options always
     give the same plan.  Faults of different subjects overlap, and some start
     right after the one before; a subject has one fault at a time.  In each
     plan, series of stops and reloads of daemons coincide with new keys and
     slow targets.  Half of the plans of edition 1 have planned faults only.

     Edition 2 has the same faults as edition 1 with the same seed, and adds
     from random numbers of their own: restores of the store, single or in
     series, to plans that have other faults than planned ones and to some that
     have not; and changes of the routes and invalid configurations to all
     plans.  A restore puts the store back to the last copy.

   ERRORS
     None.  */

#ifndef SK_PLAN_H
#define SK_PLAN_H

#include <glib.h>
#include <stdint.h>

typedef enum
{
  SK_DAEMON_STOP,           /* SIGTERM, then a new process */
  SK_DAEMON_KILL,           /* SIGKILL, then a new process */
  SK_DAEMON_PAUSE,          /* SIGSTOP */
  SK_DAEMON_RELOAD,         /* SIGHUP */
  SK_STORE_SILENT,          /* never replies */
  SK_STORE_BUSY,            /* replies 503 */
  SK_STORE_RESET,           /* closes connections */
  SK_STORE_COMPACT,         /* drops its history */
  SK_STORE_LINK_PARTITION,  /* link of one daemon: forwards nothing */
  SK_STORE_LINK_CUT,        /* closes its connections */
  SK_STORE_LINK_SLOW,       /* delays all data */
  SK_TARGET_LINK_PARTITION, /* link of one target: forwards nothing */
  SK_TARGET_LINK_CUT,       /* closes its connections */
  SK_TARGET_LINK_ONE_WAY,   /* shuts down the direction of responses */
  SK_TARGET_LINK_SLOW,      /* delays all data */
  SK_TARGET_LOSE_RESPONSE,  /* runs the request, then closes */
  SK_TARGET_SHED,           /* refuses without running */
  SK_TARGET_FAIL,           /* responds 500 */
  SK_TARGET_OMIT_SIGNATURE, /* responds without its signature */
  SK_TARGET_HANG,           /* never responds */
  SK_TARGET_MISDIRECT,      /* responds 421 */
  SK_TARGET_DRAIN,          /* reports that it drains */
  SK_TARGET_REMOVE,         /* deletes its entry from the store */
  SK_TARGET_COLD,           /* reports that it is cold */
  SK_TARGET_SLOW,           /* responds late */
  SK_KEY_ROTATE,            /* new key; the old one is revoked */
  SK_CONFIG_STALE,          /* the first configuration is put back */
  SK_ZONE_EVACUATE,
  /* Of edition 2.  */
  SK_STORE_COPY,     /* copies the store's contents */
  SK_STORE_RESTORE,  /* away, then back from the last copy */
  SK_ROUTE_ADD,      /* added when it begins, removed when it ends */
  SK_ROUTE_MOVE,     /* to another service and back */
  SK_CONFIG_INVALID, /* an invalid configuration, then a valid one */
  SK_FAULT_KIND_COUNT,
} SkFaultKind;

typedef enum
{
  SK_SUBJECT_DAEMON,
  SK_SUBJECT_SETTINGS, /* of one daemon, whose own faults may overlap */
  SK_SUBJECT_STORE,
  SK_SUBJECT_STORE_LINK, /* from one daemon to the store */
  SK_SUBJECT_TARGET,     /* or the link to it */
  SK_SUBJECT_CONFIG,
  SK_SUBJECT_ZONE,
  SK_SUBJECT_COPY,
  SK_SUBJECT_ADDED_ROUTE,
  SK_SUBJECT_MOVED_ROUTE,
  SK_SUBJECT_COUNT,
} SkSubjectKind;

typedef struct
{
  const char *name;
  SkSubjectKind subject_kind;
  gboolean is_planned; /* work of operators and targets: no failure */
} SkFaultKindInfo;

extern const SkFaultKindInfo sk_fault_kinds[SK_FAULT_KIND_COUNT];

typedef struct
{
  SkFaultKind kind;
  uint32_t subject_index; /* among the subjects of one SkSubjectKind */
  int64_t from_ms;
  int64_t until_ms;
} SkFault;

/* Routes of SK_ROUTE_ADD that exist at the same time, at most.  */
#define SK_ADDED_ROUTE_COUNT 3
/* After a restore, everything that was lost is written again within this
   time.  */
#define SK_REWRITE_MAX_MS 2000

typedef struct
{
  uint32_t daemon_count;
  uint32_t target_count;
  uint32_t zone_count;
  int64_t from_ms;  /* no fault starts earlier */
  int64_t until_ms; /* all faults have ended by then */
  uint32_t edition; /* 1 or 2 */
} SkPlanOptions;

/* Returns SkFault ordered by from_ms.  Free with g_array_unref.  */
GArray *sk_plan_new (uint32_t seed, const SkPlanOptions *options);

#endif
