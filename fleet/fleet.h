/* fleet.h - what a daemon knows of the other daemons

   SYNOPSIS
     FlFleet *fleet = fl_new (&(FlOptions){ .name = "vm1", ... });
     fl_hear (fleet, &report, now_us);
     fl_forget (fleet, now_us);
     n = fl_count_in_zone (fleet, "a1", now_us);

   DESCRIPTION
     Daemons report to each other by datagrams.  A member that was not heard
     of for FL_SILENT_US is no longer offered to clients; it may still run,
     cut off from this daemon, so what it may spend stays set aside for
     FL_RESERVED_US.  A member that says it stops is out at once.

     Demand is told to all daemons of a zone by each, and to other zones by one
     as a sum, so that the traffic does not grow with the square of their
     number.  The speaker is the live daemon with the lowest name, once it has
     run for long enough to have heard the others; until then each daemon tells
     its own.  Once a speaker is lost its last sum stays set aside, too, so its
     zone may count twice for FL_RESERVED_US, but never not at all.

   ERRORS
     None.  Reports of this daemon itself and of an earlier start of a member
     are ignored.  */

#ifndef FL_FLEET_H
#define FL_FLEET_H

#include <glib.h>
#include <stdint.h>

/* Three reports missed; clients must not be sent to a daemon that died longer
   ago than the platform's contact time of 3 s and 3 s more.  */
#define FL_SILENT_US ((int64_t)3500000)
/* A daemon that is cut off goes on with its last share of each customer's
   rate, so others leave it aside for longer than cuts usually last.  */
#define FL_RESERVED_US ((int64_t)15000000)

/* Two reports of each other daemon.  */
#define FL_SETTLE_US ((int64_t)2500000)

typedef struct FlFleet FlFleet;

typedef struct
{
  const char *name;
  const char *zone;
  const char *region;
  int64_t started_us; /* of this daemon */
} FlOptions;

typedef struct
{
  uint32_t customer_id; /* see fl_customer_id */
  double per_s;
} FlDemand;

typedef struct
{
  const char *name;
  int64_t started_ms;
  const char *zone;
  const char *region;
  const char *front_address;
  const char *gossip_address;
  gboolean ready;
  gboolean stopping;
  uint64_t config_version;
  gboolean speaks_for_zone;
  const FlDemand *demands; /* its own, or those of its zone */
  uint32_t demand_count;
} FlReport;

typedef struct
{
  const char *name;
  const char *zone;
  const char *region;
  const char *front_address;
  const char *gossip_address;
  gboolean ready;
  gboolean stopping;
  gboolean speaks_for_zone;
  int64_t heard_us;
} FlMember;

FlFleet *fl_new (const FlOptions *options);
void fl_free (FlFleet *fleet);

/* Returns whether the member, or its state, is new.  */
gboolean fl_hear (FlFleet *fleet, const FlReport *report, int64_t now_us);
/* Drops members that have been silent for FL_RESERVED_US.  */
void fl_forget (FlFleet *fleet, int64_t now_us);

gboolean fl_is_live (const FlMember *member, int64_t now_us);

/* Members other than this daemon, in no order.  */
void fl_each (const FlFleet *fleet,
              void (*visit) (const FlMember *member, void *data), void *data);

/* Daemons that may spend, with this one.  */
uint32_t fl_count (const FlFleet *fleet, int64_t now_us);
uint32_t fl_count_in_zone (const FlFleet *fleet, const char *zone,
                           int64_t now_us);
uint32_t fl_count_in_region (const FlFleet *fleet, const char *region,
                             int64_t now_us);

/* Stands for a customer in reports.  Two customers with the same number count
   as one, which makes their shares smaller.  */
uint32_t fl_customer_id (const char *customer);
/* Demand of a customer at all other daemons, or at those of this zone or
   region.  */
double fl_demand (const FlFleet *fleet, uint32_t customer_id, int64_t now_us);
double fl_demand_in_zone (const FlFleet *fleet, uint32_t customer_id,
                          int64_t now_us);
double fl_demand_in_region (const FlFleet *fleet, uint32_t customer_id,
                            int64_t now_us);
/* Regions with daemons that may spend, with this one.  */
uint32_t fl_count_regions (const FlFleet *fleet, int64_t now_us);
/* Gossip address of the daemon that keeps a customer's tokens for this region;
   NULL: this daemon.  Found by a hash among those that take requests.  */
const char *fl_owner (const FlFleet *fleet, uint32_t customer_id,
                      int64_t now_us);
/* Who tells other zones the demand of this zone.  */
typedef enum
{
  FL_SPEAKER_NONE, /* each daemon for itself */
  FL_SPEAKER_SELF,
  FL_SPEAKER_OTHER,
} FlSpeaker;

FlSpeaker fl_speaker (const FlFleet *fleet, int64_t now_us);

#endif
