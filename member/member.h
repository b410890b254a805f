/* member.h - fleet membership, hubs and freshness of the configuration

   SYNOPSIS
     MbOptions opts = { .vm = "vm1", .zone = "baltic-1", .region = "baltic" };
     MbTable *table = mb_new (&opts, now_us);
     MbMessage message;
     mb_set_assignment (table, version, members, count, now_us);
     while (mb_poll (table, now_us, &message))
       send_and_clear (&message);
     mb_receive_digest (table, from_vm, incarnation, digest, now_us, &reply);
     if (mb_is_config_fresh (table, now_us) && ls_active (lease, now_us))
       serve_request_with_key ();

   DESCRIPTION
     Topology and cost.  Each zone has up to two hubs, the reachable members
     whose VM names have the lowest hashes.  Both are active, so the loss of
     one causes no gap.  At every report interval, a member sends a report to
     its hubs and requests a digest as the reply from one of them, alternating
     between the two.  The region's hub is the reachable member with the
     highest hash in the region's first zone by name, so that in a large zone
     no member has both roles.  Every MB_HUB_DIGEST_INTERVAL_US, zone hubs
     exchange digests with their region's hub, and region hubs with each
     other.

     A digest carries one histogram of the ages of reports for all members
     that its sender sums up, instead of one age for each member.  It contains
     only the entries of members and targets that changed since the last
     digest that the receiver acknowledged, up to a byte budget shared by all
     of the sender's peers.  Urgent updates, such as a silent VM or a draining
     target, are sent first and don't wait for the budget.  Changes of load,
     surplus and free slots are published at most every 60 ms times the number
     of members, and in a fleet of more than 64 members only within the zone.
     A new peer receives the whole table over many digests, unless its table
     hash shows that it already has the members from other peers.  So a
     member's cost depends on the size of its zone and the number of regions,
     not on the size of the fleet.

     Silence.  Whether a peer is silent or unresponsive is judged as of the
     last call of mb_poll but two, so that the caller, if it was paused, has
     passed on what the peer sent meanwhile.  Freshness is always judged as
     of now.

     Roles are soft state.  Any member replies to any other; roles only
     determine to whom members send reports and digests.

     Ages.  A message carries its sender's echo of the last message from the
     receiver and the time for which the sender held that message.  From
     these the receiver computes an upper bound of the message's age by its
     own clock.  It reduces the time held by MB_CLOCK_DRIFT_PERMILLE, in case
     the sender's clock runs fast.  Wall clocks are never compared.

     Freshness.  The assignment (assign/assign.h) lists the members that count
     for a majority.  A member reports the highest configuration version it
     knows and its assignment version.  If no report names a configuration
     version above the one that a member has in force, the reports confirm that
     version.  The confirmation dates from the latest time since which more
     than half of the members of the assignment, itself included, have reported
     its assignment version.  A read of the store that finds no higher version
     confirms it as of the time when the read was sent.  The configuration is
     fresh for MB_FRESH_MAX_AGE_US after the last confirmation.  Any two
     majorities have a member in common, so a fresh member doesn't lack a
     version that more than half of the members have known for 3 s.  The caller
     has to check the lease as well.

     Targets.  A target's holder is a member to which slots of the target are
     assigned.  Each holder reports the target's state and its own free slots
     of it; the table keeps the latest report of any holder.

   ERRORS
     No function reports a GError.  Malformed messages, and those sent before
     the last one received from the same peer, are ignored and counted by
     mb_ignored_count.  */

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
/* The report interval is this times the number of members in the zone, within
   the limits below.  */
#define MB_REPORT_INTERVAL_STEP_US (60 * 1000)
#define MB_REPORT_INTERVAL_MIN_US (250 * 1000)
/* A relayed report is up to three hub intervals and two report intervals old,
   which has to be less than MB_FRESH_MAX_AGE_US.  */
#define MB_REPORT_INTERVAL_MAX_US (700 * 1000)
#define MB_HUB_DIGEST_INTERVAL_US (350 * 1000)
/* Bound on how much faster one member's clock runs than another's.  */
#define MB_CLOCK_DRIFT_PERMILLE 20
/* A member isn't live if nothing has been received from it for this time
   although it was due to send.  */
#define MB_SILENCE_TIMEOUT_US ((int64_t)2000 * 1000)
/* Bytes of digest entries that a member sends per second, to all its peers
   together.  Urgent updates, such as a silent VM or a draining target, count
   but don't wait.  */
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

/* Use of a quota at one member: tokens that it could lend, in millionths, and
   requests for tokens.  */
typedef struct
{
  uint32_t quota_id;
  int64_t surplus_utok;
  int64_t demand_utok_per_s;
} MbQuotaDemand;

/* State of a target at one of its holders.  */
typedef struct
{
  char target[MB_NAME_BYTES];
  gboolean healthy;
  gboolean draining;
  uint32_t free_slots;    /* of HELD_SLOTS */
  uint32_t held_slots;    /* that the holder may use */
  uint32_t warm_permille; /* cache warmth that the target reports */
} MbTargetState;

typedef struct
{
  char vm[MB_NAME_BYTES];
  char zone[MB_NAME_BYTES];
  char region[MB_NAME_BYTES];
  char http_address[MB_ADDRESS_BYTES];
  char peer_address[MB_ADDRESS_BYTES];
  uint64_t incarnation;
  uint64_t config_version; /* always 0: nothing sets it */
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

/* The next functions set the state that this member reports.  A change of
   LEAVING or of the incarnation, a higher configuration or assignment version,
   a change of a target's health or draining state, and a load that crosses 900
   permille are sent without waiting for the next interval.  */
void mb_set_own_state (MbTable *table, uint32_t load_permille,
                       gboolean leaving, uint64_t incarnation, int64_t now_us);
/* KNOWN_VERSION is the highest that this member has learned of,
   IN_FORCE_VERSION the one that it applies.  Lower values than before are
   ignored.  */
void mb_set_config (MbTable *table, uint64_t known_version,
                    uint64_t in_force_version, int64_t now_us);
/* Quotas after the first MB_QUOTAS_PER_REPORT are ignored.  */
void mb_set_quotas (MbTable *table, const MbQuotaDemand *quotas,
                    uint32_t count);
/* The targets of which this member is a holder.  */
void mb_set_targets (MbTable *table, const MbTargetState *targets,
                     uint32_t count, int64_t now_us);
/* A VERSION below the last one is ignored.  */
void mb_set_assignment (MbTable *table, uint64_t version,
                        const MbAssignedVm *members, uint32_t count,
                        int64_t now_us);
/* Forgets silent members that are neither listed nor assigned.  */
void mb_set_listed_vms (MbTable *table, const MbListedVm *vms, uint32_t count,
                        int64_t now_us);
/* The store confirmed VERSION; READ_SENT_US is when the read was sent.  */
void mb_store_confirmed (MbTable *table, uint64_t version,
                         int64_t read_sent_us);

/* Applies the first message of a connection.  */
void mb_receive_hello (MbTable *table, const char *from_vm,
                       uint64_t incarnation, const Peer__Hello *hello,
                       int64_t now_us);
/* The caller sends REPLY at once, unless its TO is empty, and frees it with
   mb_message_clear.  */
void mb_receive_report (MbTable *table, const char *from_vm,
                        uint64_t incarnation, const Peer__Report *report,
                        int64_t now_us, MbMessage *reply);
void mb_receive_digest (MbTable *table, const char *from_vm,
                        uint64_t incarnation, const Peer__Digest *digest,
                        int64_t now_us, MbMessage *reply);

/* Sets MESSAGE to the next message to send, which the caller frees with
   mb_message_clear.  FALSE when there is none now.  */
gboolean mb_poll (MbTable *table, int64_t now_us, MbMessage *message);
/* Time at which to call mb_poll next; NOW_US if it has a message now.  */
int64_t mb_next_poll_us (const MbTable *table, int64_t now_us);

/* These don't check the lease.  A fleet of one member needs no confirmation by
   others: mb_is_config_fresh is then TRUE while no version above the one in
   force is known, regardless of mb_config_fresh_until_us.  */
gboolean mb_is_config_fresh (const MbTable *table, int64_t now_us);
int64_t mb_config_fresh_until_us (const MbTable *table);
/* Whether there are recent reports from more than half of the members, as a
   writer of the configuration needs.  TRUE in a fleet of one member.  */
gboolean mb_has_majority (const MbTable *table, int64_t now_us);
/* Highest versions known from any message, the store or the caller.  The
   caller has to fetch a version that is higher than its own.  */
uint64_t mb_latest_config_version (const MbTable *table);
uint64_t mb_latest_assign_version (const MbTable *table);
/* Member whose message raised the version of mb_latest_config_version last; if
   no message did, the one that sent the first message.  NULL before that.  */
const char *mb_config_source (const MbTable *table);
/* Lower bound of the number of members that know VERSION or a higher one: hubs
   only relay how many members reported the highest version, so those with a
   version in between aren't counted.  */
uint32_t mb_config_acked_count (const MbTable *table, uint64_t version,
                                int64_t now_us);
uint32_t mb_assigned_count (const MbTable *table);

gboolean mb_is_zone_hub (const MbTable *table, int64_t now_us);
gboolean mb_is_region_hub (const MbTable *table, int64_t now_us);
/* Whether this member is one of the two in its zone that watch the store, the
   zone's hubs.  */
gboolean mb_watches_store (const MbTable *table, int64_t now_us);
/* Peers that sent a message within MB_SILENCE_TIMEOUT_US, sorted by name.
   Returns the count; the names are valid until mb_set_listed_vms is called. */
uint32_t mb_active_peers (const MbTable *table, int64_t now_us,
                          const char **vms, uint32_t max);

/* NULL if the VM or its zone is unknown.  The pointer is valid until
   mb_set_listed_vms is called.  */
const MbMember *mb_find_member (const MbTable *table, const char *vm,
                                int64_t now_us);
/* Live members that aren't leaving, this member included, sorted by name.
   Returns the count; the pointers are valid until the next message is received
   or mb_set_listed_vms is called.  */
uint32_t mb_live_members (const MbTable *table, int64_t now_us,
                          const MbMember **members, uint32_t max);
/* Candidates for the lease's successor, best first; see ls_order_successors.
   A member with incarnation 0 hasn't sent anything yet; mb_receive_hello sets
   its incarnation.  Returns the count.  */
uint32_t mb_successors (const MbTable *table, int64_t now_us,
                        const MbMember **members, uint32_t max);
/* Assigned members that aren't live.  RANKS[i] is set to the position, from 0,
   of this member among the live members in the order of successors of
   MEMBERS[i]; see LsSuspect.  Returns the count.  */
uint32_t mb_suspects (const MbTable *table, int64_t now_us,
                      const MbMember **members, uint32_t *ranks, uint32_t max);

/* State of a target as last reported by one of its holders; AGE_US is an upper
   bound.  FALSE if there is none.  */
gboolean mb_target_state (const MbTable *table, const char *target,
                          int64_t now_us, MbTargetState *state,
                          int64_t *age_us);
/* Lenders of a quota with their last reported surplus, 0 if they reported
   none, largest first.  Returns the count; the names are valid until
   mb_set_listed_vms is called.  */
uint32_t mb_lenders (const MbTable *table, uint32_t quota_id, int64_t now_us,
                     const char **vms, int64_t *surplus_utok, uint32_t max);

/* Messages and digest entries ignored as malformed or out of order.  */
uint64_t mb_ignored_count (const MbTable *table);

G_DEFINE_AUTOPTR_CLEANUP_FUNC (MbTable, mb_free)

#endif
