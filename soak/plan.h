/* plan.h - the faults of a soak, drawn from a seed

   SYNOPSIS
     GArray *plan = sk_plan_new (7, &(SkPlanOptions){ .daemon_count = 3, ...
   });

   DESCRIPTION
     A seed gives the same faults at the same times.  Faults of different
     subjects overlap, and come in series; one subject has one fault at a time.

   ERRORS
     None.  */

#ifndef SK_PLAN_H
#define SK_PLAN_H

#include <glib.h>
#include <stdint.h>

typedef enum
{
  SK_DAEMON_STOP,  /* SIGTERM, then a new process */
  SK_DAEMON_KILL,  /* SIGKILL, then a new process */
  SK_DAEMON_PAUSE, /* SIGSTOP */
  SK_DAEMON_RELOAD,
  SK_STORE_SILENT,
  SK_STORE_BUSY,
  SK_STORE_RESET,
  SK_STORE_COMPACT,
  SK_STORE_LINK_HOLD, /* between one daemon and the store */
  SK_STORE_LINK_CUT,
  SK_STORE_LINK_SLOW,
  SK_TARGET_LINK_HOLD,
  SK_TARGET_LINK_CUT,
  SK_TARGET_LINK_ONE_WAY, /* answers do not come back */
  SK_TARGET_LINK_SLOW,
  SK_TARGET_LOSE,
  SK_TARGET_SHED,
  SK_TARGET_FAIL,
  SK_TARGET_SPOIL,
  SK_TARGET_HANG,
  SK_TARGET_OTHER,
  SK_TARGET_DRAIN,
  SK_TARGET_GONE,
  SK_TARGET_COLD,
  SK_KEY_CHANGE,
  SK_OLD_CONFIG,
  SK_EVACUATE,
  SK_KIND_COUNT,
} SkKind;

typedef enum
{
  SK_ON_DAEMON,
  SK_ON_STORE,
  SK_ON_STORE_LINK, /* one daemon's */
  SK_ON_TARGET,
  SK_ON_CONFIG,
  SK_ON_ZONE,
  SK_SUBJECT_COUNT,
} SkSubject;

typedef struct
{
  const char *name;
  SkSubject subject;
} SkKindInfo;

extern const SkKindInfo sk_kinds[SK_KIND_COUNT];

typedef struct
{
  SkKind kind;
  uint32_t index; /* of its subject */
  int64_t from_ms;
  int64_t until_ms;
} SkFault;

typedef struct
{
  uint32_t daemon_count;
  uint32_t target_count;
  uint32_t zone_count;
  int64_t from_ms;
  int64_t until_ms; /* all faults have ended by then */
} SkPlanOptions;

/* SkFault, by start.  Free with g_array_unref.  */
GArray *sk_plan_new (uint32_t seed, const SkPlanOptions *options);

#endif
