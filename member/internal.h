/* internal.h - state shared by the sources of member/  */

#ifndef MB_INTERNAL_H
#define MB_INTERNAL_H

#include "member/member.h"

/* Earlier than any time; a difference from it doesn't overflow.  */
#define DISTANT_PAST (INT64_MIN / 4)
#define NEVER INT64_MAX
/* A hub that sends no reply for this many intervals between requests isn't
   used until it sends again; it is probed every PROBE_INTERVAL_US.  */
#define HUB_TIMEOUT_INTERVALS 3
#define PROBE_INTERVAL_US ((int64_t)10 * G_USEC_PER_SEC)
/* Changes of load, surplus or free slots alone are published at most once in
   LOAD_PUBLISH_STEP_US times the number of members; with more than
   SMALL_FLEET_MAX members they aren't sent out of the zone.  Otherwise 570
   members would cost each hub about 10 KB/s.  */
#define LOAD_PUBLISH_STEP_US (60 * 1000)
#define SMALL_FLEET_MAX 64
/* A smaller change of load alone isn't published.  */
#define LOAD_STEP_PERMILLE 100
/* Lookups rank a VM with a higher load last, so a change across this limit is
   sent to all zones.  */
#define LOAD_HIGH_PERMILLE 900
#define AGE_BUCKETS_MAX 6
/* Limit of the byte budget for digest entries, and of its overdraft by urgent
   updates.  */
#define ENTRY_BURST_BYTES (16 * 1024)
#define ENTRY_BYTES_PER_DIGEST_MAX 1024
#define TARGETS_PER_REPORT_MAX 16
/* Between reports that are sent early because of urgent updates.  */
#define URGENT_MIN_INTERVAL_US (50 * 1000)
/* A zone that a digest names as silent counts as silent for this time.  It is
   longer than the interval between digests, so that each renews it in time. */
#define SILENT_ZONE_TTL_US (2 * G_USEC_PER_SEC)
/* Not used.  */
#define FORGET_US ((int64_t)60 * G_USEC_PER_SEC)

typedef enum
{
  UPDATE_MEMBER_STATUS, /* leaving, silent or highly loaded, or no longer */
  UPDATE_TARGET_STATUS, /* healthy or draining, or no longer */
  UPDATE_MEMBER_IDENTITY,
  UPDATE_MEMBER_LOAD,
  UPDATE_TARGET_SLOTS,
} UpdateKind;

/* Updates of a status are urgent; all others are the backlog.  Urgent ones are
   sent first, because the backlog of a new peer in a large fleet takes minutes
   within the byte budget.  */
typedef enum
{
  QUEUE_URGENT,
  QUEUE_BACKLOG,
  QUEUE_COUNT,
} UpdateQueue;

/* A part of a member's or target's state that is published, that is, queued
   for the next digests to all peers, when it changes.  Each queue is ordered
   by CHANGE.  */
typedef struct
{
  UpdateKind kind;
  void *owner;     /* Entry or Target */
  uint64_t change; /* value of the table's counter at the last change */
  GList *node;     /* in the queue; NULL if not queued */
} Update;

/* A member in the table.  */
typedef struct
{
  MbMember member;
  uint64_t sequence;      /* of the member's reports */
  gboolean zone_known;    /* zone and region are known */
  gboolean self_reported; /* has data that the member itself sent */
  /* Its zone's hub has received nothing from it for MB_SILENCE_TIMEOUT_US.  */
  gboolean silent;
  gboolean in_own_zone; /* same zone as this member; see mb_update_zone */
  uint32_t published_load_permille; /* in the last load_update */
  int64_t published_us;             /* time of the last load_update */
  int64_t last_direct_us;           /* last message from the member itself */
  int64_t expected_us;              /* not read */
  int64_t touched_us;               /* not used */
  /* Versions in its last report, and a lower bound of the time when it was
     sent.  */
  uint64_t reported_config;
  uint64_t reported_assign;
  int64_t reported_us;
  MbQuotaDemand quotas[MB_QUOTAS_PER_REPORT];
  uint32_t quota_count;
  uint64_t vm_hash; /* selects hubs */
  Update status_update;
  Update identity_update;
  Update load_update;
} Entry;

/* The last state of a target that one of its holders reported.  */
typedef struct
{
  MbTargetState state;
  char holder[MB_NAME_BYTES]; /* that reported it */
  int64_t reported_us;        /* lower bound of when it did */
  int64_t published_us;       /* time of the last update */
  MbTargetState published;    /* state in the last update */
  Update status_update;
  Update slots_update;
} Target;

/* State of the messages exchanged with one peer.  */
typedef struct
{
  char vm[MB_NAME_BYTES];
  uint64_t incarnation;
  uint64_t last_sent_ms; /* of its last message, by the peer's clock */
  int64_t last_received_us;
  /* For each queue, up to which change the peer has acknowledged this member's
     updates, and this member has received the peer's.  */
  uint64_t acked_change[QUEUE_COUNT];
  uint64_t received_change[QUEUE_COUNT];
  uint64_t acked_report; /* the same for the targets in reports */
  uint64_t received_report;
  /* Kind of digest, plus 1, that selects the updates sent to the peer, 0 if
     none yet, and since when, in ms of this member's clock.  An
     acknowledgement of a digest sent earlier doesn't cover updates that the
     earlier kind left out.  */
  int filter;
  uint64_t filter_ms;
  int64_t last_request_us; /* last digest from the peer that got a reply */
  /* Since when this member waits for a reply, or NEVER, and the interval
     between the messages that request one.  */
  int64_t awaiting_since_us;
  int64_t request_interval_us;
  /* When a reply was last found missing, or a probe sent; DISTANT_PAST if the
     peer replies.  */
  int64_t unresponsive_us;
  /* Quotas of which the peer reported demand but no surplus.  */
  uint32_t wanted_quota_ids[MB_QUOTAS_PER_REPORT];
  uint32_t wanted_count;
} Peer;

/* Summary of the last reports of the members in a part of the fleet, with a
   histogram of their ages: counts[i] reports were sent at reported_us[i] or
   later.  Only reports with ASSIGN_VERSION count.  */
typedef struct
{
  char name[MB_NAME_BYTES]; /* of the zone or region */
  uint64_t assign_version;
  uint64_t config_max;    /* highest configuration version */
  uint32_t current_count; /* members that reported CONFIG_MAX */
  uint32_t bucket_count;
  int64_t reported_us[AGE_BUCKETS_MAX]; /* descending */
  uint32_t counts[AGE_BUCKETS_MAX];
  int64_t received_us;
} Summary;

/* A bucket of a summary's histogram, while that is built.  */
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

  uint64_t config_known;             /* as set by mb_set_config */
  uint64_t config_in_force;          /* the same */
  uint64_t latest_config;            /* see mb_latest_config_version */
  char config_source[MB_NAME_BYTES]; /* see mb_config_source */
  uint64_t assign_version;
  uint64_t latest_assign; /* see mb_latest_assign_version */
  uint32_t assigned_count;

  GHashTable *zone_summaries;   /* name -> Summary; own region, at its hub */
  GHashTable *region_summaries; /* name -> Summary; at a region's hub */
  Summary outside_summary;      /* all but this zone; at a zone's hub */
  Summary fleet_summary;        /* received from this zone's hub */
  /* Last time at which the version in force was confirmed as the highest.  */
  int64_t confirmed_us;
  int64_t majority_reported_us; /* since when more than half reported */
  GHashTable *silent_zones;     /* name -> int64_t, until when */
  /* Time of the last digest from a zone's hub to this member as its region's
     hub.  */
  int64_t last_zone_request_us;
  /* Since when this member is a hub of its region and of its zone; NEVER if it
     is none.  */
  int64_t region_hub_since_us;
  int64_t zone_hub_since_us;
  /* When outside_summary or fleet_summary was last received.  */
  int64_t last_digest_us;

  int64_t polled_us[3]; /* times of the last polls, latest first */
  int64_t report_due_us;
  int64_t exchange_due_us; /* of digests with other hubs */
  int64_t last_report_us;
  uint32_t report_count;
  GQueue outbox;              /* MbMessage */
  int64_t entry_budget_bytes; /* may be overdrawn; see ENTRY_BURST_BYTES */
  int64_t budget_refilled_us;
  uint64_t ignored_count;
  MbQuotaDemand quotas[MB_QUOTAS_PER_REPORT];
  uint32_t quota_count;
};

/* member.c */
/* Looks up the entry, or adds an empty one.  */
Entry *mb_get_entry (MbTable *table, const char *vm);
/* Sets zone_known and in_own_zone.  Has to be called after a change of the
   entry's zone.  */
void mb_update_zone (const MbTable *table, Entry *entry);
/* Looks up the peer, or adds one.  */
Peer *mb_get_peer (MbTable *table, const char *vm);
/* Adds a target that isn't in the table.  */
Target *mb_target_new (MbTable *table, const MbTargetState *state);
/* Moves the update to the end of its queue, as a new change.  */
void mb_enqueue_update (MbTable *table, Update *update);
/* Makes the reports and digests that wait for the next interval due at once,
   or URGENT_MIN_INTERVAL_US after the last reports.  */
void mb_expedite_send (MbTable *table, int64_t now_us);
/* Minimum time between published changes of the same load or slots.  */
int64_t mb_load_publish_interval_us (const MbTable *table);
void mb_copy_name (char *to, const char *from);

/* role.c */
/* Time as of which silence is judged: that of the last poll but two, or NOW_US
   if that is earlier.  What had arrived by then was received since, also when
   the caller was paused: its event loop read it after that poll, and handled
   it after the next one at the latest.  */
int64_t mb_heard_until_us (const MbTable *table, int64_t now_us);
/* Whether the member has sent to this member lately, or the hubs that relay
   its state have, and it isn't known as silent.  */
gboolean mb_is_live (const MbTable *table, const Entry *entry, int64_t now_us);
/* Sets HUBS to the hubs of the zone, lowest hash first; returns the count.  */
uint32_t mb_zone_hubs (const MbTable *table, const char *zone, Entry *hubs[2]);
/* NULL if no member of the region is reachable.  */
Entry *mb_region_hub (const MbTable *table, const char *region);
/* Whether no reports arrive from any member of the zone.  */
gboolean mb_zone_silent (const MbTable *table, const char *zone,
                         const char *region, int64_t now_us);
int64_t mb_report_interval_us (const MbTable *table);
/* Updates this member's roles, and marks unresponsive peers and, as a zone's
   hub, silent members.  */
void mb_update_roles (MbTable *table, int64_t now_us);

/* fresh.c */
/* Returns the AgeBuckets before they are merged into SUMMARY; the caller frees
   them.  */
GArray *mb_summarize_zone (const MbTable *table, int64_t now_us,
                           Summary *summary);
void mb_summarize_region (const MbTable *table, const char *skip_zone,
                          gboolean include_other_regions, int64_t now_us,
                          Summary *summary);
/* FALSE if no summary of the fleet has been received.  */
gboolean mb_summarize_fleet (const MbTable *table, int64_t now_us,
                             Summary *summary);
void mb_update_freshness (MbTable *table, int64_t now_us);

/* build.c */
MbMessage mb_build_report (MbTable *table, const char *to,
                           gboolean wants_reply, int64_t now_us);
typedef enum
{
  DIGEST_TO_MEMBER,        /* the reply to a report */
  DIGEST_ZONE_TO_REGION,   /* from a zone's hub to its region's hub */
  DIGEST_REGION_TO_ZONE,   /* the reply to it */
  DIGEST_REGION_TO_REGION, /* between regions' hubs */
} DigestKind;
MbMessage mb_build_digest (MbTable *table, const char *to, DigestKind kind,
                           gboolean is_reply, int64_t now_us);

/* Hash over all members whose zone is known, for comparing two tables.  */
uint64_t mb_table_hash (const MbTable *table);
/* Kind that selects the updates in a digest of KIND to a member of ZONE.  */
DigestKind mb_filter_kind (const MbTable *table, const char *zone,
                           DigestKind kind);

/* receive.c */
/* Also discards the member's last report, which no longer counts.  */
void mb_mark_silent (MbTable *table, Entry *entry, int64_t now_us);

#endif
