/* internal.h - state shared by the sources of the lease package  */

#ifndef LS_INTERNAL_H
#define LS_INTERNAL_H

#include "lease/lease.h"

#define ASK_INTERVAL_US G_USEC_PER_SEC
/* An answer that takes longer counts as missing; the next request follows at
   once, so that two missing ones leave a second of the lease to write.  */
#define ASK_TIMEOUT_US (G_USEC_PER_SEC / 2)
#define MISSES_MAX 2
#define RETRY_US (G_USEC_PER_SEC / 2)
/* A read within this time shows that the store answers.  */
#define CONFIRM_US G_USEC_PER_SEC
/* A candidate that didn't promise isn't chosen again for this time.  */
#define AVOID_US (10 * G_USEC_PER_SEC)
/* How long another candidate has to be preferred before the record is
   rewritten for it.  */
#define PREFER_US (10 * G_USEC_PER_SEC)
#define SUSPECT_RANK_US G_USEC_PER_SEC
#define SUSPECT_READ_US (2 * G_USEC_PER_SEC)
#define ENDED_READ_US (30 * G_USEC_PER_SEC)
#define WARDS_MAX 4096
#define WARD_IDLE_US (60 * G_USEC_PER_SEC)
#define WRITES_KEPT 16
#define NEVER INT64_MAX
#define LONG_AGO (INT64_MIN / 4)

/* What is known of another daemon's record.  */
typedef struct
{
  char vm[LS_NAME_BYTES];
  gboolean known;
  LsRecord record;
  uint64_t index;
  int64_t seen_us;      /* when this index was first seen */
  int64_t confirmed_us; /* last answered read */
  int64_t promised_us;  /* last promise of this process */
  /* Incarnations up to this one give no promise since gone_us.  */
  uint64_t gone_incarnation;
  int64_t gone_us;
  /* Records up to this one get no promise: a fence may be under way.  */
  uint64_t refused_incarnation;
  uint64_t refused_seq;
  gboolean refused_for_good; /* a fence with unknown outcome may still land */
  gboolean suspect;
  gboolean suspect_mark;
  uint32_t rank;
  int64_t suspect_since_us;
  gboolean reading;
  int64_t read_due_us;
  gboolean fencing;
  int64_t fence_due_us;
} LsWard;

typedef struct
{
  char op_id[LS_OP_ID_BYTES];
  int64_t sent_us;
} LsWrite;

typedef struct
{
  char vm[LS_NAME_BYTES];
  uint64_t incarnation;
  int64_t failed_us;
} LsCandidate;

struct LsLease
{
  char vm[LS_NAME_BYTES];
  char peer_address[LS_ADDRESS_BYTES];
  uint64_t start_incarnation;
  int64_t ttl_us;
  int64_t margin_us;
  int64_t base_ttl_us;

  gboolean read_once;
  LsRecord own;       /* current record as last known */
  uint64_t own_index; /* 0: absent */
  uint64_t incarnation;
  int64_t incarnation_us; /* when it was adopted */
  int64_t active_until_us;
  int64_t base_until_us;

  gboolean reading;
  gboolean writing;
  gboolean unresolved; /* a write's outcome is unknown and wasn't read since */
  int64_t own_retry_us;
  int64_t own_confirmed_us;
  int64_t own_seen_us; /* when own_index was first seen */
  uint64_t op_count;
  LsWrite writes[WRITES_KEPT];

  /* Promises of the recorded successor count if they were requested at or
     after the first and not after the second.  */
  int64_t countable_from_us;
  int64_t countable_to_us;
  int64_t asked_us;
  gboolean ask_open;
  uint32_t miss_count;
  gboolean renew; /* the record has to be written */
  int64_t unpreferred_since_us;

  gboolean releasing;
  gboolean released;
  gboolean superseded; /* another process of this VM holds the record */

  GArray *candidates; /* LsCandidate */
  GHashTable *wards;  /* vm -> LsWard */
};

/* ward.c */
LsWard *ls_ward (LsLease *lease, const char *vm, int64_t now_us);
gboolean ls_poll_wards (LsLease *lease, int64_t now_us, LsAction *action);
int64_t ls_next_ward_us (const LsLease *lease);
void ls_ward_seen (LsLease *lease, LsWard *ward, const LsRecord *record,
                   uint64_t index, int64_t now_us);
void ls_ward_absent (LsWard *ward, int64_t now_us);
void ls_fence_done (LsLease *lease, const LsAction *action,
                    LsCasOutcome outcome, uint64_t index, int64_t now_us);

/* lease.c */
void ls_next_op_id (LsLease *lease, char op_id[LS_OP_ID_BYTES]);

#endif
