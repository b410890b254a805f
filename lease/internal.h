/* internal.h - state shared by the sources of the lease package  */

#ifndef LS_INTERNAL_H
#define LS_INTERNAL_H

#include "lease/lease.h"

#define PROMISE_INTERVAL_US G_USEC_PER_SEC
/* A reply that takes longer counts as missed and the next request is sent at
   once, so that after two misses a second of the lease is left for a write of
   the record.  */
#define PROMISE_TIMEOUT_US (G_USEC_PER_SEC / 2)
#define PROMISE_MISSES_MAX 2
#define STORE_RETRY_US (G_USEC_PER_SEC / 2)
/* The store counts as reachable for this time after the reply to a read.  */
#define READ_FRESH_US G_USEC_PER_SEC
/* How long a candidate that didn't promise is passed over, unless all are.  */
#define CANDIDATE_BACKOFF_US (10 * G_USEC_PER_SEC)
/* How long another candidate has to be preferred before it replaces the
   successor in the record.  */
#define SUCCESSOR_CHANGE_DELAY_US (10 * G_USEC_PER_SEC)
/* Delay per rank before a suspect's record is first read.  */
#define SUSPECT_READ_STAGGER_US G_USEC_PER_SEC
#define SUSPECT_READ_INTERVAL_US (2 * G_USEC_PER_SEC)
/* Interval, times rank + 1, between reads of a suspect's record while the
   record is fenced, released or absent.  */
#define ENDED_READ_INTERVAL_US (30 * G_USEC_PER_SEC)
/* With this many peers known, idle ones are removed before one is added.  */
#define PEERS_PRUNE_COUNT 4096
#define PEER_IDLE_US (60 * G_USEC_PER_SEC)
#define SENT_WRITES_MAX 16
#define NEVER INT64_MAX
/* Before any time of the clock, with room for sums and differences.  */
#define LONG_AGO (INT64_MIN / 4)

/* What this daemon knows about another daemon and its record.  */
typedef struct
{
  char vm[LS_NAME_BYTES];
  gboolean has_record;
  LsRecord record;
  uint64_t index;
  int64_t index_seen_us; /* when this index was first seen */
  int64_t last_read_us;  /* last reply to a read */
  int64_t promised_us;   /* last promise that this process gave it */
  /* At ended_us, its record showed that incarnations up to this one are
     fenced, released or superseded.  They give no promises any more.  */
  uint64_t ended_incarnation;
  int64_t ended_us;
  /* Last record of the peer that this process tried to fence.  It and earlier
     ones get no promise, because the fence may still take effect.  */
  uint64_t fence_incarnation;
  uint64_t fence_seq;
  /* A fence with unknown outcome may still take effect.  */
  gboolean fence_unresolved;
  gboolean suspect;
  gboolean suspect_mark; /* in the new list while ls_set_suspects runs */
  uint32_t rank;         /* see LsSuspect */
  int64_t suspect_since_us;
  gboolean reading;
  int64_t read_due_us;
  gboolean fencing;
  int64_t fence_retry_us; /* earliest next fence */
} LsPeerState;

typedef struct
{
  char op_id[LS_OP_ID_BYTES];
  int64_t sent_us;
} LsSentWrite;

typedef struct
{
  char vm[LS_NAME_BYTES];
  uint64_t incarnation;
  int64_t failed_us; /* last time that it didn't promise */
} LsCandidateState;

struct LsLease
{
  char vm[LS_NAME_BYTES];
  char peer_address[LS_ADDRESS_BYTES];
  uint64_t start_incarnation;
  int64_t ttl_us;
  int64_t margin_us;
  int64_t base_ttl_us;

  gboolean own_read_done; /* the own record was read or found absent */
  LsRecord own_record;    /* as last known */
  uint64_t own_index;     /* 0: absent */
  uint64_t incarnation;
  int64_t incarnation_us; /* when incarnation was set */
  int64_t active_until_us;
  int64_t base_until_us;

  gboolean reading;
  gboolean writing;
  /* A write didn't succeed and the record wasn't read since.  */
  gboolean write_unresolved;
  int64_t own_retry_us;      /* earliest next read or write */
  int64_t own_last_read_us;  /* last reply to a read; LONG_AGO after a write
                                that didn't succeed */
  int64_t own_index_seen_us; /* when own_index was first seen */
  uint64_t op_count;
  LsSentWrite sent_writes[SENT_WRITES_MAX];

  /* A promise of the recorded successor counts if it was requested between
     these times, both included.  */
  int64_t promise_valid_from_us;
  int64_t promise_valid_to_us;
  int64_t promise_requested_us;
  gboolean promise_pending;
  uint32_t promise_miss_count;
  gboolean write_needed; /* even if the lease is far from its end */
  /* Since when choose_successor prefers another successor than the recorded
     one; NEVER if it doesn't.  */
  int64_t other_preferred_since_us;

  gboolean releasing;
  gboolean released;
  gboolean superseded; /* another process of this VM replaced the record */

  GArray *candidates; /* LsCandidateState */
  GHashTable *peers;  /* vm -> LsPeerState */
};

/* ward.c */
LsPeerState *ls_get_peer (LsLease *lease, const char *vm, int64_t now_us);
gboolean ls_poll_peers (LsLease *lease, int64_t now_us, LsAction *action);
int64_t ls_next_peer_poll_us (const LsLease *lease);
void ls_update_peer_record (LsLease *lease, LsPeerState *peer,
                            const LsRecord *record, uint64_t index,
                            int64_t now_us);
void ls_peer_record_absent (LsPeerState *peer, int64_t now_us);
void ls_fence_done (LsLease *lease, const LsAction *action,
                    LsCasOutcome outcome, uint64_t index, int64_t now_us);

/* lease.c */
void ls_next_op_id (LsLease *lease, char op_id[LS_OP_ID_BYTES]);

#endif
