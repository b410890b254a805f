/* target_set.h - state shared by the parts of the target stand-in  */

#ifndef SI_TARGET_SET_H
#define SI_TARGET_SET_H

#include "standin/target.h"

typedef enum
{
  SI_CRASH_OFF,
  SI_CRASH_ACCEPT,
  SI_CRASH_REFUSE,
  SI_CRASH_REQUEST,
  SI_CRASH_AFTER,
  SI_CRASH_CUT,
  SI_CRASH_HANG,
} SiCrash;

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
  SiCrash crash;
} SiTargetModes;

typedef struct
{
  uint64_t request_count;
  uint64_t done_count;
  uint64_t shed_count;
  uint64_t cancelled_count;
  uint64_t deadline_count;
  uint64_t key_seen_count;
  uint64_t after_drain_count;
  uint64_t probe_count;
  uint32_t running_max;
  uint32_t connections_max;
} SiTargetCounts;

typedef struct
{
  SiTargetSet *set;
  char *name;
  SiServer *server;
  SiTargetModes modes;
  SiTargetCounts counts;
  uint32_t running_count;
  int64_t warm_count; /* requests since the target was made cold */
  int64_t drain_at_us;
} SiTargetState;

typedef struct
{
  const char *target;
  const char *end;
  char *request_id;
  char *idempotency_key;
  char *customer;
  char *tag;
  char *path;
  const char *method;
  gboolean key_seen;
  int64_t at_us; /* monotonic, as the programs of one machine share it */
  int64_t end_us;
  int64_t deadline_ms;
  uint32_t running; /* at start, this one included */
} SiRecord;

struct SiTargetSet
{
  SiTargetOptions options;
  SiServer *control;
  GPtrArray *targets; /* SiTargetState */
  GPtrArray *records; /* SiRecord */
  GHashTable *orders; /* customer and key -> number of executions */
};

/* Handler of the work and probe addresses.  */
void si_target_serve (SiExchange *x, void *target);
/* Handler of the control address.  */
void si_target_set_control (SiExchange *x, void *set);
void si_record_free (void *record);

#endif
