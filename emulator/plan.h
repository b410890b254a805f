/* plan.h - random faults of a run of the emulator

   SYNOPSIS
     EmPlanOptions options = { .daemon_count = 2, .target_count = 3, ... };
     GArray *plan = em_plan_new (seed, &options);

   DESCRIPTION
     A plan lists faults with their start and end, in ms after the start of the
     load.  The same seed and options always give the same plan.  Faults come
     in series and overlap; a target may send faulty responses of several kinds
     at a time, and has one other fault at a time, as a daemon and the store.

   ERRORS
     None.  */

#ifndef EM_PLAN_H
#define EM_PLAN_H

#include <glib.h>
#include <stdint.h>

typedef enum
{
  EM_TARGET_FAULTY,   /* sends faulty responses */
  EM_TARGET_STOPPED,  /* ends, and starts again under its id */
  EM_TARGET_REPLACED, /* ends, and another one starts at its address */
  EM_TARGET_REUSED,   /* ends, and its address goes to another service */
  EM_TARGET_FROZEN,
  EM_TARGET_DRAINED, /* reports that it drains, and ends later */
  EM_TARGET_LIMITED, /* names a limit in its responses */
  EM_DAEMON_STOP,    /* SIGTERM, then a new process */
  EM_DAEMON_KILL,    /* SIGKILL, then a new process */
  EM_DAEMON_PAUSE,   /* SIGSTOP */
  EM_DAEMON_RELOAD,  /* SIGHUP */
  EM_STORE_SILENT,   /* never replies */
  EM_STORE_BUSY,     /* replies 503 */
  EM_STORE_RESET,    /* closes connections */
  EM_KIND_COUNT,
} EmKind;

typedef enum
{
  EM_SUBJECT_RESPONSES, /* of one target */
  EM_SUBJECT_TARGET,
  EM_SUBJECT_DAEMON,
  EM_SUBJECT_STORE,
} EmSubject;

typedef struct
{
  const char *name;
  EmSubject subject;
  uint32_t weight; /* of a draw */
  int32_t min_ms;
  int32_t max_ms;
} EmKindInfo;

extern const EmKindInfo em_kinds[EM_KIND_COUNT];

typedef struct
{
  EmKind kind;
  uint32_t subject_index;
  int64_t from_ms;
  int64_t until_ms;
  uint32_t fault;   /* EmFault of target.h, of EM_TARGET_FAULTY */
  uint32_t percent; /* of the responses, likewise */
} EmPlanned;

typedef struct
{
  uint32_t daemon_count;
  uint32_t target_count;
  /* Weights of the kinds of faulty responses in a draw.  */
  const uint32_t *fault_weights;
  uint32_t fault_count;
  int64_t from_ms;
  int64_t until_ms; /* all faults have ended by then */
} EmPlanOptions;

/* Returns EmPlanned ordered by from_ms.  Free with g_array_unref.  */
GArray *em_plan_new (uint32_t seed, const EmPlanOptions *options);

#endif
