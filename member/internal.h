/* internal.h - state shared by the sources of the member package  */

#ifndef MB_INTERNAL_H
#define MB_INTERNAL_H

#include "member/member.h"

#define LONG_AGO (INT64_MIN / 4)
#define NEVER INT64_MAX
/* An addressed hub that doesn't answer for so many intervals is passed over
   until it answers again; it is tried every RETRY_US.  */
#define HUB_MISSES 3
#define RETRY_US ((int64_t)10 * G_USEC_PER_SEC)
/* Changes of load, surplus or free slots alone are passed on at most once in
   QUIET_STEP_US times the members; above SMALL_FLEET members they stay within
   the zone.  570 members would else cost each hub some 10 KB/s.  */
#define QUIET_STEP_US (60 * 1000)
#define SMALL_FLEET 64
#define LOAD_STEP_PERMILLE 100
/* Look-up answers place a VM above this last, so that crossing it is passed
   on everywhere.  */
#define LOAD_HIGH_PERMILLE 900
#define AGES_MAX 6
#define ENTRY_BURST_BYTES (16 * 1024)
#define DIGEST_ENTRY_BYTES 1024
#define TARGETS_PER_REPORT 16
#define URGENT_SPACING_US (50 * 1000)
/* Longer than the interval of digests.  */
#define SILENT_ZONE_US (2 * G_USEC_PER_SEC)
#define FORGET_US ((int64_t)60 * G_USEC_PER_SEC)

typedef enum
{
  ITEM_ALERT, /* a VM leaves, is silent or is full, or the end of that */
  ITEM_TARGET_ALERT,
  ITEM_VM,
  ITEM_LOAD,
  ITEM_TARGET,
} ItemKind;

/* News go before all else: what a new peer has to learn about a large fleet
   takes minutes within the budget.  */
typedef enum
{
  QUEUE_NEWS,
  QUEUE_REST,
  QUEUES,
} ItemQueue;

/* One thing that is passed on when it changes.  The items of a queue are
   ordered by change.  */
typedef struct
{
  ItemKind kind;
  void *owner; /* Entry or Target */
  uint64_t change;
  GList *place;
} Item;

typedef struct
{
  MbMember member;
  uint64_t sequence; /* of the member's reports */
  gboolean known;    /* zone and region are known */
  gboolean heard;    /* something came from the member */
  gboolean silent;
  gboolean in_zone; /* of this member; see mb_place */
  uint32_t passed_load_permille;
  int64_t passed_us;
  int64_t direct_us;   /* last message from it */
  int64_t expected_us; /* since when its hub waits for it */
  int64_t touched_us;
  /* Its statement, and the latest time it is sure to be younger than.  */
  uint64_t statement_config;
  uint64_t statement_assign;
  int64_t stated_us;
  MbQuota quotas[MB_QUOTAS_PER_REPORT];
  uint32_t quota_count;
  uint64_t hash;
  Item alert_item;
  Item vm_item;
  Item load_item;
} Entry;

typedef struct
{
  MbTarget state;
  char holder[MB_NAME_BYTES];
  int64_t stated_us;
  int64_t passed_us;
  MbTarget passed;
  Item alert_item;
  Item item;
} Target;

/* What is known of one peer's connection.  */
typedef struct
{
  char vm[MB_NAME_BYTES];
  uint64_t incarnation;
  uint64_t last_sent_ms; /* by the peer's clock */
  int64_t last_received_us;
  /* Changes of this member's that the peer has acknowledged, and those of the
     peer's that have come, for each queue.  */
  uint64_t acked_change[QUEUES];
  uint64_t peer_change[QUEUES];
  uint64_t acked_report; /* the same for reports */
  uint64_t peer_report;
  /* Which items digests to the peer have, and since when: an acknowledgement
     of an earlier choice says nothing of the items left out.  */
  int filter;
  uint64_t filter_ms;
  int64_t asked_us;    /* the peer's last digest that wanted an answer */
  int64_t waiting_us;  /* since when an answer is due; NEVER if none is */
  int64_t interval_us; /* between the messages that ask for one */
  int64_t failed_us;
  uint32_t wanted[MB_QUOTAS_PER_REPORT];
  uint32_t wanted_count;
} Link;

/* Statements of the members in a part of the fleet.  */
typedef struct
{
  char name[MB_NAME_BYTES];
  uint64_t assign_version;
  uint64_t config_max;
  uint32_t current_count;
  uint32_t count;
  int64_t stated_us[AGES_MAX]; /* falling */
  uint32_t counts[AGES_MAX];
  int64_t received_us;
} Scope;

typedef struct
{
  int64_t stated_us;
  uint32_t count;
} Statement;

struct MbTable
{
  Entry *self;
  GHashTable *entries; /* vm -> Entry */
  GHashTable *targets; /* name -> Target */
  GHashTable *links;   /* vm -> Link */
  GQueue items[QUEUES];
  uint64_t change;

  uint64_t config_known;
  uint64_t config_in_force;
  uint64_t config_heard;
  char config_source[MB_NAME_BYTES];
  uint64_t assign_version;
  uint64_t assign_heard;
  uint32_t assigned_count;

  GHashTable *zones;        /* name -> Scope; own region, at its hub */
  GHashTable *regions;      /* name -> Scope; at a region's hub */
  Scope rest;               /* all but the own zone, at a zone's hub */
  Scope whole;              /* from the own zone's hub */
  int64_t confirmed_us;     /* the versions in force were fresh */
  int64_t majority_us;      /* more than half were heard */
  GHashTable *silent_zones; /* name -> until, int64_t */
  int64_t asked_up_us;   /* a zone hub took this member for its region's hub */
  int64_t region_hub_us; /* since when this member is its region's hub */
  int64_t zone_hub_us;
  int64_t digest_us;

  int64_t report_due_us;
  int64_t exchange_due_us;
  int64_t urgent_us; /* last urgent message */
  uint32_t report_count;
  GQueue outbox; /* MbMessage */
  int64_t entry_bytes;
  int64_t entry_bytes_us;
  uint64_t ignored_count;
  MbQuota quotas[MB_QUOTAS_PER_REPORT];
  uint32_t quota_count;
};

/* member.c */
Entry *mb_entry (MbTable *table, const char *vm);
/* To be called after a change of the entry's zone.  */
void mb_place (const MbTable *table, Entry *entry);
Link *mb_link (MbTable *table, const char *vm);
Target *mb_target_new (MbTable *table, const MbTarget *state);
void mb_touch (MbTable *table, Item *item);
void mb_urge (MbTable *table, int64_t now_us);
int64_t mb_quiet_us (const MbTable *table);
void mb_copy_name (char *to, const char *from);

/* role.c */
gboolean mb_entry_live (const MbTable *table, const Entry *entry,
                        int64_t now_us);
uint32_t mb_zone_hubs (const MbTable *table, const char *zone, Entry *hubs[2]);
Entry *mb_region_hub (const MbTable *table, const char *region);
gboolean mb_zone_silent (const MbTable *table, const char *zone,
                         const char *region, int64_t now_us);
int64_t mb_interval_us (const MbTable *table);
/* Notes which roles this member has, and which members it misses.  */
void mb_watch_roles (MbTable *table, int64_t now_us);

/* fresh.c */
GArray *mb_gather_zone (const MbTable *table, int64_t now_us, Scope *scope);
void mb_gather_region (const MbTable *table, const char *skip_zone,
                       gboolean others, int64_t now_us, Scope *scope);
gboolean mb_whole_scope (const MbTable *table, int64_t now_us, Scope *scope);
void mb_update_freshness (MbTable *table, int64_t now_us);

/* build.c */
MbMessage mb_build_report (MbTable *table, const char *to, gboolean answer,
                           int64_t now_us);
typedef enum
{
  DIGEST_MEMBER, /* to a member of the own zone */
  DIGEST_UP,     /* from a zone's hub to its region's */
  DIGEST_DOWN,   /* the answer */
  DIGEST_REGION, /* between the hubs of regions */
} DigestKind;
MbMessage mb_build_digest (MbTable *table, const char *to, DigestKind kind,
                           gboolean answer, int64_t now_us);

/* The items that a digest of KIND to a member of ZONE has.  */
/* Over all known members, for comparing two tables.  */
uint64_t mb_table_hash (const MbTable *table);
DigestKind mb_filter (const MbTable *table, const char *zone, DigestKind kind);

/* receive.c */
void mb_mark_silent (MbTable *table, Entry *entry, int64_t now_us);

#endif
