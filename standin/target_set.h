/* target_set.h - state shared by target.c and target_control.c  */

#ifndef SI_TARGET_SET_H
#define SI_TARGET_SET_H

#include "standin/target.h"

typedef enum
{
  SI_CRASH_OFF,
  SI_CRASH_ACCEPT,  /* close each connection at accept */
  SI_CRASH_REFUSE,  /* refuse connections */
  SI_CRASH_REQUEST, /* close when a request arrives */
  SI_CRASH_AFTER,   /* close after the work */
  SI_CRASH_CUT,     /* close within the response */
  SI_CRASH_HANG,    /* never respond */
} SiCrash;

/* Named as the keys of /control/set, which target.h describes; flags are 0 or
   1.  All but `crash` are int64_t, because apply_settings writes them by
   offset.  */
typedef struct
{
  int64_t work_ms;
  int64_t slots;
  int64_t late_ms;
  int64_t slow_percent;
  int64_t shed;
  int64_t lie;
  int64_t draining;
  int64_t unhealthy;
  int64_t cold;
  int64_t late_copies;
  SiCrash crash;
} SiTargetSettings;

typedef struct
{
  uint64_t request_count;
  uint64_t done_count;
  uint64_t shed_count;
  uint64_t cancelled_count;
  uint64_t deadline_count;    /* work stopped at its deadline */
  uint64_t key_seen_count;    /* requests that carried an API key */
  uint64_t after_drain_count; /* requests that arrived while draining */
  uint64_t probe_count;
  uint32_t running_max;
  uint32_t connections_max;
} SiTargetCounts;

typedef struct
{
  SiTargetSet *set;
  char *name;
  SiServer *server;
  GHashTable *last_responses; /* connection to its last response, whole */
  SiTargetSettings settings;
  SiTargetCounts counts;
  uint32_t running_count; /* slots in use */
  int64_t warm_count;     /* requests done since the target was made cold */
  int64_t drain_at_us;    /* when `draining` was last set; 0: never */
} SiTargetState;

/* Record of one request for work.  */
typedef struct
{
  const char *target;
  const char *end; /* running, done, shed, cancelled, deadline or crashed */
  char *request_id;
  char *idempotency_key;
  char *customer;
  char *tag;
  char *path;
  const char *method;
  gboolean key_seen; /* carried an API key */
  int64_t at_us;     /* arrival, by the monotonic clock of the host */
  int64_t end_us;
  int64_t deadline_ms;       /* -1: none */
  uint32_t running_at_start; /* requests that ran then, with this one */
} SiRecord;

struct SiTargetSet
{
  SiTargetOptions options;
  SiServer *control_server;
  GPtrArray *targets; /* SiTargetState */
  GPtrArray *records; /* SiRecord */
  GHashTable *orders; /* "CUSTOMER/KEY" or "CUSTOMER/tag:TAG" -> executions */
};

/* Serves work and probes; TARGET is a SiTargetState.  */
void si_target_handle_request (SiExchange *x, void *target);
/* Serves the control paths; SET is a SiTargetSet.  */
void si_target_set_handle_control (SiExchange *x, void *set);
void si_record_free (void *record);

#endif
