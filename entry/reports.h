/* reports.h - this daemon's reports to the other daemons

   SYNOPSIS
     EnReports *reports = en_reports_new (&options);
     en_reports_note_address (reports, "127.0.0.1:7220", now_us);
     en_reports_send (reports, now_us);

   DESCRIPTION
     Keeps the gossip addresses of the other daemons, from the store or from
     their reports, and sends a report to each.  Daemons of the same zone get
     this daemon's demand; those of other zones get the sum of the zone's
     demand from the zone leader, see fleet.h.

   ERRORS
     None.  */

#ifndef EN_REPORTS_H
#define EN_REPORTS_H

#include <glib.h>

#include "entry/settings.h"
#include "fleet/fleet.h"
#include "gossip/gossip.h"
#include "limit/limit.h"

typedef struct EnReports EnReports;

typedef struct
{
  const EnSettings *settings;
  FlFleet *fleet;
  GoSocket *gossip;
  LmTable *limits;
  int64_t started_ms;
  gboolean (*is_ready) (void *data);
  void *data;
} EnReportsOptions;

EnReports *en_reports_new (const EnReportsOptions *options);
void en_reports_free (EnReports *reports);

/* Notes that the daemon at ADDRESS is listed in the store or has sent a
   report.  Returns FALSE for this daemon's own address.  */
gboolean en_reports_note_address (EnReports *reports, const char *address,
                                  int64_t now_us);
/* Drops addresses that were not noted for a minute and returns the number of
   the remaining ones.  */
uint32_t en_reports_address_count (EnReports *reports, int64_t now_us);

/* Sends a report to every noted address.  */
void en_reports_send (EnReports *reports, int64_t now_us);
/* The same, but leaves out the addresses whose interval has not passed; call
   it once in each report interval.  */
void en_reports_send_due (EnReports *reports, int64_t now_us);
/* Sends a report to one daemon.  ZONE is NULL where it is unknown.  */
void en_reports_send_to (EnReports *reports, const char *address,
                         const char *zone, int64_t now_us);

/* Whether the last report stated the present readiness.  */
gboolean en_reports_are_current (const EnReports *reports);
void en_reports_set_config_version (EnReports *reports, uint64_t version);
/* Marks this daemon as stopping in all further reports.  */
void en_reports_set_stopping (EnReports *reports);

G_DEFINE_AUTOPTR_CLEANUP_FUNC (EnReports, en_reports_free)

#endif
