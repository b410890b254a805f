/* fleet.h - membership of the daemons and their demand, as seen by one daemon

   SYNOPSIS
     FlFleet *fleet = fl_new (&(FlOptions){ .name = "vm1", ... });
     fl_receive_report (fleet, &report, now_us);
     fl_expire_members (fleet, now_us);
     n = fl_count_in_zone (fleet, "a1", now_us);

   DESCRIPTION
     Daemons send each other reports as datagrams, which serve as heartbeats.
     In a large fleet, those to other regions that carry no demand are sent at
     a longer interval, which the report states: only lookups of callers whose
     region is lost depend on them.  A member without a report for
     FL_SUSPECT_TIMEOUT_US beyond that interval is suspect and is no longer
     returned in lookups.  It may still run, partitioned from this
     daemon, so its share of the rates stays reserved until
     FL_EXPIRY_TIMEOUT_US, when it expires.  A member that reports that it is
     stopping is not returned from then on.

     Each daemon reports its demand to all daemons of its zone.  Other zones
     receive the sum of the zone from one daemon, the zone leader, so that the
     traffic does not grow with the square of the number of daemons.  The zone
     leader is the live daemon with the lowest name that has run for
     FL_DISCOVERY_US, long enough to have received reports of the others; until
     there is one, each daemon reports its own demand.  After a leader is lost,
     its last sum also stays reserved, so for FL_EXPIRY_TIMEOUT_US the zone's
     demand may count twice, but is never missing.

   ERRORS
     None.  Reports of this daemon itself and of an earlier incarnation of a
     member are ignored.  */

#ifndef FL_FLEET_H
#define FL_FLEET_H

#include <glib.h>
#include <stdint.h>

/* Shortest interval of reports: demand shifts over seconds.  */
#define FL_REPORT_INTERVAL_US ((int64_t)1000000)
/* Intervals between reports to other regions, for each FL_LARGE_FLEET_COUNT
   daemons.  A member that missed all of three reports is near its expiry.  */
#define FL_LARGE_FLEET_COUNT 40
#define FL_REMOTE_INTERVALS_MAX 3
/* Three missed reports.  The platform counts a daemon as disconnected after
   3 s without contact.  Lookups may return a failed daemon for up to 3 s after
   that, so for at most 6 s after its failure.  */
#define FL_SUSPECT_TIMEOUT_US ((int64_t)3500000)
/* A partitioned daemon goes on using its last share of each customer's rate,
   so the others reserve that share for longer than partitions usually last. */
#define FL_EXPIRY_TIMEOUT_US ((int64_t)15000000)

/* Time after its start in which a daemon receives two reports of each other
   daemon.  */
#define FL_DISCOVERY_US ((int64_t)2500000)

/* Daemons that count the crashes of one request: reports to them survive the
   loss of datagrams and of daemons.  */
#define FL_WATCHERS_MAX 3

typedef struct FlFleet FlFleet;

typedef struct
{
  const char *name;
  const char *zone;
  const char *region;
  int64_t started_us;    /* start of this daemon, on the clock of now_us */
  uint32_t link_mbps;    /* of its VM; 0: unknown */
  uint32_t cpu_permille; /* of one core, of its VM; 0: unknown */
} FlOptions;

typedef struct
{
  uint32_t customer_id; /* see fl_customer_id */
  double requests_per_s;
} FlDemand;

typedef struct
{
  const char *name;
  int64_t started_ms; /* wall clock; identifies the incarnation */
  const char *zone;
  const char *region;
  const char *front_address;  /* for requests of callers */
  const char *gossip_address; /* for datagrams of other daemons */
  gboolean ready;             /* it can serve requests */
  gboolean stopping;
  uint64_t config_version;
  uint32_t link_mbps;    /* of its VM; 0: unknown */
  uint32_t cpu_permille; /* of one core, of its VM; 0: unknown */
  gboolean is_zone_leader;
  int64_t interval_us; /* until the next report; 0: FL_REPORT_INTERVAL_US */
  const FlDemand *demands; /* its own, or the sums over its zone */
  uint32_t demand_count;
} FlReport;

/* A member as of its last report; fields as in FlReport.  */
typedef struct
{
  const char *name;
  const char *zone;
  const char *region;
  const char *front_address;
  const char *gossip_address;
  gboolean ready;
  gboolean stopping;
  gboolean is_zone_leader;
  uint64_t config_version;
  uint32_t link_mbps;
  uint32_t cpu_permille;
  int64_t interval_us; /* at least FL_REPORT_INTERVAL_US */
  int64_t last_report_us;
} FlMember;

FlFleet *fl_new (const FlOptions *options);
void fl_free (FlFleet *fleet);

/* Returns TRUE if the member is new, restarted or no longer suspect, or if
   ready or stopping has changed.  */
gboolean fl_receive_report (FlFleet *fleet, const FlReport *report,
                            int64_t now_us);
/* Removes members without a report for FL_EXPIRY_TIMEOUT_US.  */
void fl_expire_members (FlFleet *fleet, int64_t now_us);

/* Set what this daemon reports of itself; at first it is ready and not
   stopping.  */
void fl_set_ready (FlFleet *fleet, gboolean ready);
void fl_set_stopping (FlFleet *fleet);

/* Whether MEMBER is neither suspect nor stopping.  */
gboolean fl_is_live (const FlMember *member, int64_t now_us);

/* Visits all members except this daemon, in no particular order.  */
void fl_each_member (const FlFleet *fleet,
                     void (*visit) (const FlMember *member, void *data),
                     void *data);

/* Newest configuration that a member has reported; 0: none.  */
uint64_t fl_newest_config_version (const FlFleet *fleet);

/* Daemons that may be using a share of the rates, including this one: suspect
   and stopping members count until they expire.  */
uint32_t fl_count_daemons (const FlFleet *fleet, int64_t now_us);
/* The share, 0 to 1, of a rate that this daemon has without demand, as one of
   the daemons of ZONE and REGION; NULL means any.  COUNT is the number of
   daemons if some of them may not have reported yet, else 0.  Lookups return
   few small VMs, see select.h, so a daemon on one has a smaller share.  Those
   of daemons that know the same members add up to 1.  */
double fl_idle_share (const FlFleet *fleet, const char *zone,
                      const char *region, uint32_t count, int64_t now_us);
uint32_t fl_count_in_zone (const FlFleet *fleet, const char *zone,
                           int64_t now_us);
uint32_t fl_count_in_region (const FlFleet *fleet, const char *region,
                             int64_t now_us);

/* Hash of a customer's name, which identifies the customer in reports.  Two
   customers with the same hash count as one, which reduces their shares.  */
uint32_t fl_customer_id (const char *customer);
/* Demand of a customer, in requests per second, at all other daemons, or at
   those of this zone or region.  */
double fl_demand (const FlFleet *fleet, uint32_t customer_id, int64_t now_us);
double fl_demand_in_zone (const FlFleet *fleet, uint32_t customer_id,
                          int64_t now_us);
double fl_demand_in_region (const FlFleet *fleet, uint32_t customer_id,
                            int64_t now_us);
/* Regions of the daemons that fl_count_daemons counts.  */
uint32_t fl_count_regions (const FlFleet *fleet, int64_t now_us);
/* Gossip address of the token owner of a customer, the daemon that keeps the
   customer's token bucket for this region; NULL if it is this daemon.  Chosen
   by rendezvous hashing among the ready daemons of the region or, without any,
   the live ones or, without any, those that are stopping.  This daemon counts
   as it reports itself, so that it does not take itself for the owner while
   the others have another one.  */
const char *fl_token_owner (const FlFleet *fleet, uint32_t customer_id,
                            int64_t now_us);

/* Gossip address of the daemon that keeps the token bucket of a target in
   REGION for all daemons; NULL if it is this daemon.  Chosen in the same way,
   among the daemons of REGION before the others of each kind.  */
const char *fl_target_token_owner (const FlFleet *fleet, uint64_t target_hash,
                                   const char *region, int64_t now_us);

/* Sets ADDRESSES to the gossip addresses of the live daemons, this one left
   out, with the highest rendezvous weights for HASH, and returns their
   number.  */
uint32_t fl_find_watchers (const FlFleet *fleet, uint64_t hash, int64_t now_us,
                           const char *addresses[FL_WATCHERS_MAX]);

/* How many live daemons have a higher rendezvous weight for HASH than this
   one.  */
uint32_t fl_rank (const FlFleet *fleet, uint64_t hash, int64_t now_us);

/* Whether this daemon is, or with one daemon less would be, among those that
   the others find with fl_find_watchers for HASH.  */
gboolean fl_is_watcher (const FlFleet *fleet, uint64_t hash, int64_t now_us);

/* Which daemon reports the demand of this zone to other zones.  */
typedef enum
{
  FL_ZONE_LEADER_NONE, /* each daemon reports its own demand */
  FL_ZONE_LEADER_SELF,
  FL_ZONE_LEADER_OTHER,
} FlZoneLeader;

FlZoneLeader fl_zone_leader (const FlFleet *fleet, int64_t now_us);

/* Report intervals from one report to MEMBER to the next, at least 1.  */
uint32_t fl_intervals_to (const FlFleet *fleet, const FlMember *member,
                          int64_t now_us);

#endif
