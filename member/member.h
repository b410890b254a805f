/* member.h - fleet membership, hubs and freshness of the configuration

   SYNOPSIS
     MbOptions opts = { .vm = "vm1", .zone = "baltic-1", .region = "baltic" };
     MbTable *table = mb_new (&opts, now_us);
     MbMessage message;
     mb_set_assignment (table, version, members, count, now_us);
     while (mb_poll (table, now_us, &message))
       send_and_clear (&message);
     mb_receive_digest (table, from_vm, digest, now_us, &answer);
     if (mb_is_config_fresh (table, now_us) && ls_active (lease, now_us))
       serve_keyed ();

   DESCRIPTION
     Topology and cost.  Each zone has up to two hubs, the live members with
     the lowest rendezvous hash.  Both are active, so the loss of one causes no
     gap.  Every interval, a member sends a report to its hubs and requests a
     digest in answer from one of them, alternating between the two.  The
     region's hub is the live member with the highest hash in the region's
     first zone, so that in a large zone no member has both roles.  Every
     MB_HUB_DIGEST_INTERVAL_US, zone hubs exchange digests with their region's
     hub, and region hubs with each other.

     A digest carries one histogram of ages for all members behind its sender,
     instead of one age for each member.  It contains only the entries that
     changed since the last digest that the receiver acknowledged, up to a
     byte budget shared by all of the sender's peers.  Urgent updates, such as
     a silent VM or a draining target, are sent first and don't wait for the
     budget.  Changes of load, surplus and free slots are published at most
     every 60 ms times the number of members, and in a fleet of more than 64
     members only within the zone.  A new peer receives the rest of the table
     in small parts, unless its table hash shows that it already has it from
     other peers.  So a member's cost depends on the size of its zone and the
     number of regions, not on the size of the fleet.

     Roles are soft state.  Any member answers any other; a role only
     determines whom a member addresses first.

     Ages.  A message carries its sender's echo of the last message from the
     receiver and the time for which the sender held that message.  From
     these the receiver computes an upper bound of the message's age by its
     own clock, counting MB_CLOCK_DRIFT_PERMILLE less of the time held.  Wall
     clocks are never compared.

     Freshness.  A member reports the highest configuration version it knows
     and its assignment version.  A member's configuration is fresh while, for
     the versions that it has in force, the reports of more than half of the
     members of the assignment, its own included, are younger than
     MB_FRESH_MAX_AGE_US, or while the store has confirmed the version within
     that time.  The caller has to check the lease as well.

   ERRORS
     No function reports a GError.  Messages with unknown or malformed content
     are ignored and counted by mb_ignored_count.  */

#ifndef MB_MEMBER_H
#define MB_MEMBER_H

#include <glib.h>
#include <stdint.h>

#include "wire/peer.pb-c.h"

#define MB_NAME_BYTES 64
#define MB_ADDRESS_BYTES 64
/* 3 s, the limit for serving an outdated configuration, less a margin of
   0.5 s.  */
#define MB_FRESH_MAX_AGE_US ((int64_t)2500 * 1000)
/* Times the number of members in the zone.  */
#define MB_REPORT_INTERVAL_STEP_US (60 * 1000)
#define MB_REPORT_INTERVAL_MIN_US (250 * 1000)
/* A relayed report is up to three hub intervals and two report intervals old,
   which has to be less than MB_FRESH_MAX_AGE_US.  */
#define MB_REPORT_INTERVAL_MAX_US (700 * 1000)
#define MB_HUB_DIGEST_INTERVAL_US (350 * 1000)
#define MB_CLOCK_DRIFT_PERMILLE 20
/* A member isn't live if nothing has been received from it for this time
   although it was due to send.  */
#define MB_SILENCE_TIMEOUT_US ((int64_t)2000 * 1000)
/* Bytes of entries that a member sends per second, over all its digests.
   Urgent updates, such as a silent VM or a draining target, count but don't
   wait.  */
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
} MbAssignedVm;

/* A VM in the platform's list.  */
typedef struct
{
  const char *vm;
  const char *zone;
  const char *region;
  const char *http_address;
  gboolean leaving;
} MbListedVm;

typedef struct
{
  uint32_t quota_id;
  int64_t surplus_utok;
  int64_t demand_utok_per_s;
} MbQuotaDemand;

typedef struct
{
  char target[MB_NAME_BYTES];
  gboolean healthy;
  gboolean draining;
  uint32_t free_slots;
  uint32_t held_slots;
  uint32_t warm_permille;
} MbTargetState;

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
  gboolean live;     /* received from, directly or through hubs; not silent */
} MbMember;

typedef struct
{
  char to[MB_NAME_BYTES]; /* empty: no message */
  Peer__Report *report;   /* either REPORT or DIGEST is set */
  Peer__Digest *digest;
} MbMessage;

typedef struct MbTable MbTable;

MbTable *mb_new (const MbOptions *options, int64_t now_us);
void mb_free (MbTable *table);
void mb_message_clear (MbMessage *message);

/* State that this member reports.  A change of LEAVING, of the incarnation, of
   the configuration or assignment version, or of a target's health or draining
   state, and a load that crosses 900 permille, are sent without waiting for
   the next interval.  */
void mb_set_own_state (MbTable *table, uint32_t load_permille,
                       gboolean leaving, uint64_t incarnation, int64_t now_us);
void mb_set_config (MbTable *table, uint64_t known_version,
                    uint64_t in_force_version, int64_t now_us);
void mb_set_quotas (MbTable *table, const MbQuotaDemand *quotas,
                    uint32_t count);
void mb_set_targets (MbTable *table, const MbTargetState *targets,
                     uint32_t count, int64_t now_us);
void mb_set_assignment (MbTable *table, uint64_t version,
                        const MbAssignedVm *members, uint32_t count,
                        int64_t now_us);
void mb_set_listed_vms (MbTable *table, const MbListedVm *vms, uint32_t count,
                        int64_t now_us);
/* The store confirmed VERSION; READ_SENT_US is when the read was sent.  */
void mb_store_confirmed (MbTable *table, uint64_t version,
                         int64_t read_sent_us);

/* Applies the first message of a connection.  */
void mb_receive_hello (MbTable *table, const char *from_vm,
                       uint64_t incarnation, const Peer__Hello *hello,
                       int64_t now_us);
/* The caller sends ANSWER at once, unless its TO is empty, and frees it with
   mb_message_clear.  */
void mb_receive_report (MbTable *table, const char *from_vm,
                        uint64_t incarnation, const Peer__Report *report,
                        int64_t now_us, MbMessage *answer);
void mb_receive_digest (MbTable *table, const char *from_vm,
                        uint64_t incarnation, const Peer__Digest *digest,
                        int64_t now_us, MbMessage *answer);

/* Sets MESSAGE to the next message to send, which the caller frees with
   mb_message_clear.  FALSE when there is none now.  */
gboolean mb_poll (MbTable *table, int64_t now_us, MbMessage *message);
int64_t mb_next_poll_us (const MbTable *table, int64_t now_us);

/* Freshness of the configuration; doesn't check the lease.  */
gboolean mb_is_config_fresh (const MbTable *table, int64_t now_us);
int64_t mb_config_fresh_until_us (const MbTable *table);
/* Whether there are recent reports from more than half of the members, as a
   writer of the configuration needs.  */
gboolean mb_has_majority (const MbTable *table, int64_t now_us);
/* Highest versions that any message named.  The caller has to fetch a version
   that is higher than its own.  */
uint64_t mb_latest_config_version (const MbTable *table);
uint64_t mb_latest_assign_version (const MbTable *table);
/* Member that named the version of mb_latest_config_version, or NULL.  */
const char *mb_config_source (const MbTable *table);
/* Number of members known to have VERSION or a higher one.  Because hubs
   relay summaries only, this counts the members whose last report has at least
   VERSION.  */
uint32_t mb_config_acked_count (const MbTable *table, uint64_t version,
                                int64_t now_us);
uint32_t mb_assigned_count (const MbTable *table);

gboolean mb_is_zone_hub (const MbTable *table, int64_t now_us);
gboolean mb_is_region_hub (const MbTable *table, int64_t now_us);
/* Whether this member is one of the two in its zone that watch the store.  */
gboolean mb_watches_store (const MbTable *table, int64_t now_us);
/* Peers that sent a message within MB_SILENCE_TIMEOUT_US, sorted by name.
   Returns the count; the names are valid until mb_set_listed_vms is called. */
uint32_t mb_active_peers (const MbTable *table, int64_t now_us,
                          const char **vms, uint32_t max);

const MbMember *mb_find_member (const MbTable *table, const char *vm,
                                int64_t now_us);
/* Live members that aren't leaving, this member included, sorted by name.
   Returns the count; the pointers are valid until the next message is received
   or mb_set_listed_vms is called.  */
uint32_t mb_live_members (const MbTable *table, int64_t now_us,
                          const MbMember **members, uint32_t max);
/* Candidates for the lease's successor, best first; see ls_order_successors.
   A member with incarnation 0 hasn't sent anything yet; mb_receive_hello sets
   its incarnation.  */
uint32_t mb_successors (const MbTable *table, int64_t now_us,
                        const MbMember **members, uint32_t max);
/* Assigned members that aren't live.  RANKS is set to the position of this
   member among the live ones in the order of successors of each.  */
uint32_t mb_suspects (const MbTable *table, int64_t now_us,
                      const MbMember **members, uint32_t *ranks, uint32_t max);

/* State of a target as last reported by its holder; AGE_US is an upper bound.
   FALSE if there is none.  */
gboolean mb_target_state (const MbTable *table, const char *target,
                          int64_t now_us, MbTargetState *state,
                          int64_t *age_us);
/* Lenders of a quota with their last reported surplus, largest first.  */
uint32_t mb_lenders (const MbTable *table, uint32_t quota_id, int64_t now_us,
                     const char **vms, int64_t *surplus_utok, uint32_t max);

uint64_t mb_ignored_count (const MbTable *table);

G_DEFINE_AUTOPTR_CLEANUP_FUNC (MbTable, mb_free)

#endif
