/* internal.h - state shared by the sources of member/  */

#ifndef MB_INTERNAL_H
#define MB_INTERNAL_H

#include "member/member.h"

/* Before any time; differences to it don't overflow.  */
#define DISTANT_PAST (INT64_MIN / 4)
#define NEVER INT64_MAX
/* A hub that leaves a request unanswered for this many intervals isn't used
   until it answers again; it is probed every PROBE_INTERVAL_US.  */
#define HUB_TIMEOUT_INTERVALS 3
#define PROBE_INTERVAL_US ((int64_t)10 * G_USEC_PER_SEC)
/* Changes of load, surplus or free slots alone are published at most once in
   LOAD_PUBLISH_STEP_US times the number of members; with more than
   SMALL_FLEET_MAX members they aren't sent out of the zone.  Otherwise 570
   members would cost each hub about 10 KB/s.  */
#define LOAD_PUBLISH_STEP_US (60 * 1000)
#define SMALL_FLEET_MAX 64
#define LOAD_STEP_PERMILLE 100
/* Lookups rank a VM with a higher load last, so a change across this limit is
   sent to all zones.  */
#define LOAD_HIGH_PERMILLE 900
#define AGE_BUCKETS_MAX 6
#define ENTRY_BURST_BYTES (16 * 1024)
#define DIGEST_ENTRY_BYTES_MAX 1024
#define TARGETS_PER_REPORT_MAX 16
#define URGENT_MIN_INTERVAL_US (50 * 1000)
/* Longer than the interval between digests.  */
#define SILENT_ZONE_TTL_US (2 * G_USEC_PER_SEC)
#define FORGET_US ((int64_t)60 * G_USEC_PER_SEC)

typedef enum
{
  UPDATE_MEMBER_STATUS, /* leaving, silent or highly loaded, or no longer */
  UPDATE_TARGET_STATUS, /* healthy or draining changed */
  UPDATE_MEMBER_IDENTITY,
  UPDATE_MEMBER_LOAD,
  UPDATE_TARGET_SLOTS,
} UpdateKind;

/* Urgent updates, those of a status, are sent before all others: the backlog
   of a new peer in a large fleet takes minutes within the byte budget.  */
typedef enum
{
  QUEUE_URGENT,
  QUEUE_BACKLOG,
  QUEUE_COUNT,
} UpdateQueue;

/* A part of a member's or target's state that is published when it changes.
   Each queue is ordered by CHANGE.  */
typedef struct
{
  UpdateKind kind;
  void *owner;     /* Entry or Target */
  uint64_t change; /* value of the table's counter at the last change */
  GList *node;     /* in the queue; NULL if not queued */
} Update;

typedef struct
{
  MbMember member;
  uint64_t sequence;      /* of the member's reports */
  gboolean zone_known;    /* zone and region are known */
  gboolean self_reported; /* has data that the member itself sent */
  gboolean silent;
  gboolean in_own_zone; /* same zone as this member; see mb_update_zone */
  uint32_t published_load_permille;
  int64_t published_us;
  int64_t last_direct_us; /* last message from the member itself */
  int64_t expected_us;    /* since when its hub waits for a report */
  int64_t touched_us;
  /* Versions in its last report, and a lower bound of the time when it was
     sent.  */
  uint64_t reported_config;
  uint64_t reported_assign;
  int64_t reported_us;
  MbQuotaDemand quotas[MB_QUOTAS_PER_REPORT];
  uint32_t quota_count;
  uint64_t vm_hash;
  Update status_update;
  Update identity_update;
  Update load_update;
} Entry;

typedef struct
{
  MbTargetState state;
  char holder[MB_NAME_BYTES];
  int64_t reported_us;
  int64_t published_us;
  MbTargetState published;
  Update status_update;
  Update slots_update;
} Target;

/* State of the exchange with one peer.  */
typedef struct
{
  char vm[MB_NAME_BYTES];
  uint64_t incarnation;
  uint64_t last_sent_ms; /* by the peer's clock */
  int64_t last_received_us;
  /* For each queue, up to which change the peer has acknowledged this member's
     updates, and this member has received the peer's.  */
  uint64_t acked_change[QUEUE_COUNT];
  uint64_t received_change[QUEUE_COUNT];
  uint64_t acked_report; /* the same for the targets in reports */
  uint64_t received_report;
  /* Kind of digest, plus 1, that selects the updates sent to the peer, and
     since when.  An acknowledgement of a digest sent earlier doesn't cover
     updates that the earlier kind left out.  */
  int filter;
  uint64_t filter_ms;
  int64_t last_request_us; /* last digest from the peer that was answered */
  /* Since when an answer is due, or NEVER, and the interval between the
     messages that request one.  */
  int64_t awaiting_since_us;
  int64_t request_interval_us;
  int64_t unresponsive_us; /* last missing answer or probe, or DISTANT_PAST */
  uint32_t wanted_quota_ids[MB_QUOTAS_PER_REPORT];
  uint32_t wanted_count;
} Peer;

/* Summary of the last reports of the members in a part of the fleet, with a
   histogram of their ages.  */
typedef struct
{
  char name[MB_NAME_BYTES];
  uint64_t assign_version;
  uint64_t config_max;
  uint32_t current_count;               /* members that reported CONFIG_MAX */
  uint32_t count;                       /* of buckets */
  int64_t reported_us[AGE_BUCKETS_MAX]; /* descending */
  uint32_t counts[AGE_BUCKETS_MAX];
  int64_t received_us;
} Summary;

typedef struct
{
  int64_t reported_us;
  uint32_t count;
} AgeBucket;

struct MbTable
{
  Entry *self;
  GHashTable *entries; /* vm -> Entry */
  GHashTable *targets; /* name -> Target */
  GHashTable *peers;   /* vm -> Peer */
  GQueue updates[QUEUE_COUNT];
  uint64_t change; /* counts enqueued updates */

  uint64_t config_known;
  uint64_t config_in_force;
  uint64_t latest_config;
  char config_source[MB_NAME_BYTES];
  uint64_t assign_version;
  uint64_t latest_assign;
  uint32_t assigned_count;

  GHashTable *zone_summaries;   /* name -> Summary; own region, at its hub */
  GHashTable *region_summaries; /* name -> Summary; at a region's hub */
  Summary outside_summary;      /* all but the own zone, at a zone's hub */
  Summary fleet_summary;        /* received from the own zone's hub */
  int64_t confirmed_us;         /* when the versions in force were current */
  int64_t majority_reported_us; /* since when more than half reported */
  GHashTable *silent_zones;     /* name -> until, int64_t */
  /* Last digest from a zone's hub that took this member for its region's
     hub.  */
  int64_t last_zone_request_us;
  int64_t region_hub_since_us; /* NEVER if this member isn't its hub */
  int64_t zone_hub_since_us;
  int64_t last_digest_us;

  int64_t report_due_us;
  int64_t exchange_due_us;
  int64_t last_report_us;
  uint32_t report_count;
  GQueue outbox; /* MbMessage */
  int64_t entry_budget_bytes;
  int64_t budget_refilled_us;
  uint64_t ignored_count;
  MbQuotaDemand quotas[MB_QUOTAS_PER_REPORT];
  uint32_t quota_count;
};

/* member.c */
/* Looks up the entry, or adds an empty one.  */
Entry *mb_get_entry (MbTable *table, const char *vm);
/* Has to be called after a change of the entry's zone.  */
void mb_update_zone (const MbTable *table, Entry *entry);
/* Looks up the peer, or adds one.  */
Peer *mb_get_peer (MbTable *table, const char *vm);
Target *mb_target_new (MbTable *table, const MbTargetState *state);
void mb_enqueue_update (MbTable *table, Update *update);
/* Makes the reports and digests that wait for the next interval due at once,
   or URGENT_MIN_INTERVAL_US after the last reports.  */
void mb_expedite_send (MbTable *table, int64_t now_us);
/* Minimum time between published changes of the same load or slots.  */
int64_t mb_load_publish_interval_us (const MbTable *table);
void mb_copy_name (char *to, const char *from);

/* role.c */
gboolean mb_is_live (const MbTable *table, const Entry *entry, int64_t now_us);
uint32_t mb_zone_hubs (const MbTable *table, const char *zone, Entry *hubs[2]);
Entry *mb_region_hub (const MbTable *table, const char *region);
gboolean mb_zone_silent (const MbTable *table, const char *zone,
                         const char *region, int64_t now_us);
int64_t mb_report_interval_us (const MbTable *table);
/* Updates this member's roles, and marks unresponsive peers and, as a zone's
   hub, silent members.  */
void mb_update_roles (MbTable *table, int64_t now_us);

/* fresh.c */
GArray *mb_summarize_zone (const MbTable *table, int64_t now_us,
                           Summary *summary);
void mb_summarize_region (const MbTable *table, const char *skip_zone,
                          gboolean include_other_regions, int64_t now_us,
                          Summary *summary);
gboolean mb_summarize_fleet (const MbTable *table, int64_t now_us,
                             Summary *summary);
void mb_update_freshness (MbTable *table, int64_t now_us);

/* build.c */
MbMessage mb_build_report (MbTable *table, const char *to,
                           gboolean wants_answer, int64_t now_us);
typedef enum
{
  DIGEST_TO_MEMBER,        /* to a member of the own zone */
  DIGEST_ZONE_TO_REGION,   /* from a zone's hub to its region's hub */
  DIGEST_REGION_TO_ZONE,   /* the answer to it */
  DIGEST_REGION_TO_REGION, /* between regions' hubs */
} DigestKind;
MbMessage mb_build_digest (MbTable *table, const char *to, DigestKind kind,
                           gboolean answer, int64_t now_us);

/* Hash over all members whose zone is known, for comparing two tables.  */
uint64_t mb_table_hash (const MbTable *table);
/* Kind that selects the updates in a digest of KIND to a member of ZONE.  */
DigestKind mb_filter_kind (const MbTable *table, const char *zone,
                           DigestKind kind);

/* receive.c */
void mb_mark_silent (MbTable *table, Entry *entry, int64_t now_us);

#endif
