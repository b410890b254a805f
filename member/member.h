/* member.h - members of the fleet, hubs, freshness of the configuration

   SYNOPSIS
     MbOptions opts = { .vm = "vm1", .zone = "baltic-1", .region = "baltic" };
     MbTable *table = mb_new (&opts, now_us);
     MbMessage message;
     mb_set_assignment (table, version, members, count, now_us);
     while (mb_poll (table, now_us, &message))
       send_and_clear (&message);
     mb_receive_digest (table, from_vm, digest, now_us, &answer);
     if (mb_fresh (table, now_us) && ls_active (lease, now_us))
       serve_keyed ();

   DESCRIPTION
     Cost.  Each zone has up to two hubs, the live members with the lowest
     rendezvous hash; both work, so the loss of one leaves no gap.  A member
     sends a report to one of them in turn each interval and gets a digest in
     answer.  The region's hub is the live member with the highest hash in the
     region's first zone, so that in a large zone no member has both roles.
     Hubs of zones exchange digests with their region's hub, and region hubs
     with each other, every MB_HUB_INTERVAL_US.  A digest has one histogram of
     ages for everything behind its sender in place of one entry for each
     member, and only those entries that changed since the last one that the
     receiver acknowledged, up to a budget of bytes shared by the sender's
     links; news, as of a silent VM or a draining target, go first and don't
     wait for it.  Changes of load, surplus and free slots are passed on at
     most every 60 ms times the members, and in a fleet of more than 64 only
     within the zone.  A new peer is sent the rest of the table bit by bit,
     unless its hash shows that it has it from others.  So a member's cost
   depends on the size of its zone and the number of regions, not on the size
   of the fleet.

     Roles are soft state.  Any member answers any other; a role only tells
     whom a member addresses first.

     Ages.  A message has its sender's echo of the receiver's last message
     and how long the sender held it, so the receiver bounds the message's age
     by its own clock, less MB_DRIFT_PERMILLE of the time held.  No wall clock
     is compared.

     Freshness.  A member's statement is the highest configuration version it
     knows and its assignment version.  The configuration is fresh at a member
     while, for the versions it has in force itself, statements of more than
     half of the members of the assignment, its own included, are younger than
     MB_FRESH_US, or the store confirmed the version within that time.  The
     caller has to check the lease as well.

   ERRORS
     None of type GError.  Messages of unknown or malformed content are
     ignored and counted by mb_ignored_count.  */

#ifndef MB_MEMBER_H
#define MB_MEMBER_H

#include <glib.h>
#include <stdint.h>

#include "wire/peer.pb-c.h"

#define MB_NAME_BYTES 64
#define MB_ADDRESS_BYTES 64
/* 3 s less a margin of 0.5 s.  */
#define MB_FRESH_US ((int64_t)2500 * 1000)
#define MB_INTERVAL_STEP_US (60 * 1000) /* times the members of the zone */
#define MB_INTERVAL_MIN_US (250 * 1000)
/* Ages of three relays and two reports have to stay under MB_FRESH_US.  */
#define MB_INTERVAL_MAX_US (700 * 1000)
#define MB_HUB_INTERVAL_US (350 * 1000)
#define MB_DRIFT_PERMILLE 20
/* A member that was expected to send and didn't for so long isn't live.  */
#define MB_SILENT_US ((int64_t)2000 * 1000)
/* Bytes of entries a second that a member sends in all its digests.  News, as
   of a silent VM or a draining target, don't wait for it but count.  */
#define MB_ENTRY_BYTES_PER_S 1500
#define MB_QUOTAS_PER_REPORT 4
#define MB_LENDERS_PER_QUOTA 8

typedef struct
{
  const char *vm;
  const char *zone;
  const char *region;
  const char *http_address;
  const char *peer_address;
  uint64_t incarnation;
} MbOptions;

/* A member of the assignment.  */
typedef struct
{
  const char *vm;
  const char *zone;
  const char *region;
} MbAssigned;

/* A VM of the platform's list.  */
typedef struct
{
  const char *vm;
  const char *zone;
  const char *region;
  const char *http_address;
  gboolean leaving;
} MbListed;

typedef struct
{
  uint32_t quota_id;
  int64_t surplus_utok;
  int64_t demand_utok_per_s;
} MbQuota;

typedef struct
{
  char target[MB_NAME_BYTES];
  gboolean healthy;
  gboolean draining;
  uint32_t free_slots;
  uint32_t held_slots;
  uint32_t warm_permille;
} MbTarget;

typedef struct
{
  char vm[MB_NAME_BYTES];
  char zone[MB_NAME_BYTES];
  char region[MB_NAME_BYTES];
  char http_address[MB_ADDRESS_BYTES];
  char peer_address[MB_ADDRESS_BYTES];
  uint64_t incarnation;
  uint64_t config_version;
  uint32_t load_permille;
  gboolean leaving;
  gboolean listed;   /* in the platform's list */
  gboolean assigned; /* in the assignment */
  gboolean live;     /* heard, directly or through hubs, and not silent */
} MbMember;

typedef struct
{
  char to[MB_NAME_BYTES]; /* empty: no message */
  Peer__Report *report;   /* one of both is set */
  Peer__Digest *digest;
} MbMessage;

typedef struct MbTable MbTable;

MbTable *mb_new (const MbOptions *options, int64_t now_us);
void mb_free (MbTable *table);
void mb_message_clear (MbMessage *message);

/* What the member tells of itself.  A change of leaving, of the configuration
   or of a target's health or draining is sent at once.  */
void mb_set_self (MbTable *table, uint32_t load_permille, gboolean leaving,
                  uint64_t incarnation, int64_t now_us);
void mb_set_config (MbTable *table, uint64_t known_version,
                    uint64_t in_force_version, int64_t now_us);
void mb_set_quotas (MbTable *table, const MbQuota *quotas, uint32_t count);
void mb_set_targets (MbTable *table, const MbTarget *targets, uint32_t count,
                     int64_t now_us);
void mb_set_assignment (MbTable *table, uint64_t version,
                        const MbAssigned *members, uint32_t count,
                        int64_t now_us);
void mb_set_listed (MbTable *table, const MbListed *vms, uint32_t count,
                    int64_t now_us);
/* The store confirmed VERSION; READ_SENT_US is when the read was sent.  */
void mb_store_confirmed (MbTable *table, uint64_t version,
                         int64_t read_sent_us);

/* First message of a connection.  */
void mb_hello (MbTable *table, const char *from_vm, uint64_t incarnation,
               const Peer__Hello *hello, int64_t now_us);
/* The answer, to be sent at once, has an empty TO when there is none.  */
void mb_receive_report (MbTable *table, const char *from_vm,
                        uint64_t incarnation, const Peer__Report *report,
                        int64_t now_us, MbMessage *answer);
void mb_receive_digest (MbTable *table, const char *from_vm,
                        uint64_t incarnation, const Peer__Digest *digest,
                        int64_t now_us, MbMessage *answer);

/* Next message to send; FALSE when there is none now.  */
gboolean mb_poll (MbTable *table, int64_t now_us, MbMessage *message);
int64_t mb_next_us (const MbTable *table, int64_t now_us);

/* Freshness, without the check of the lease.  */
gboolean mb_fresh (const MbTable *table, int64_t now_us);
int64_t mb_fresh_until_us (const MbTable *table);
/* Whether more than half of the members are heard, as a writer of the
   configuration needs.  */
gboolean mb_has_majority (const MbTable *table, int64_t now_us);
/* Highest versions that were heard of; what is above the own ones has to be
   fetched.  */
uint64_t mb_config_heard (const MbTable *table);
uint64_t mb_assign_heard (const MbTable *table);
/* A member that told of the version of mb_config_heard, or NULL.  */
const char *mb_config_source (const MbTable *table);
/* Members that are known to have VERSION or a higher one.  With hubs in
   between, acknowledgements are counted over histograms: members whose
   statement has at least VERSION.  */
uint32_t mb_config_acked_count (const MbTable *table, uint64_t version,
                                int64_t now_us);
uint32_t mb_member_count (const MbTable *table);

gboolean mb_is_zone_hub (const MbTable *table, int64_t now_us);
gboolean mb_is_region_hub (const MbTable *table, int64_t now_us);
/* Whether this member is one of the two of its zone that watch the store.  */
gboolean mb_watches_store (const MbTable *table, int64_t now_us);
/* Peers whose connection is in use: hubs and candidates.  */
uint32_t mb_links (const MbTable *table, int64_t now_us, const char **vms,
                   uint32_t max);

const MbMember *mb_find (const MbTable *table, const char *vm, int64_t now_us);
/* Live members that aren't leaving, with self, by name.  Returns the count;
   the pointers are valid until the next call with a message.  */
uint32_t mb_live (const MbTable *table, int64_t now_us,
                  const MbMember **members, uint32_t max);
/* Candidates for the lease's successor, best first; see ls_order_successors.
   A member with incarnation 0 hasn't been heard of; mb_hello tells its
   incarnation.  */
uint32_t mb_successors (const MbTable *table, int64_t now_us,
                        const MbMember **members, uint32_t max);
/* Assigned members that aren't live, with the place of this member
   among the live ones in each one's order of successors.  */
uint32_t mb_suspects (const MbTable *table, int64_t now_us,
                      const MbMember **members, uint32_t *ranks, uint32_t max);

/* State of a target as told by its holder; its age is an upper bound.  FALSE
   if nothing is known.  */
gboolean mb_target (const MbTable *table, const char *target, int64_t now_us,
                    MbTarget *state, int64_t *age_us);
/* Lenders of a quota with their last surplus, the largest first.  */
uint32_t mb_lenders (const MbTable *table, uint32_t quota_id, int64_t now_us,
                     const char **vms, int64_t *surplus_utok, uint32_t max);

uint64_t mb_ignored_count (const MbTable *table);

G_DEFINE_AUTOPTR_CLEANUP_FUNC (MbTable, mb_free)

#endif
