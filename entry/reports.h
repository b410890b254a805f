/* reports.h - what this daemon tells the others of itself

   SYNOPSIS
     EnReports *reports = en_reports_new (&options);
     en_reports_touch (reports, "127.0.0.1:7220", now_us);
     en_reports_send (reports, now_us);

   DESCRIPTION
     Knows the addresses of the other daemons, from the store or from their
     reports, and sends a report to each.  Daemons of the own zone get this
     daemon's demand; others get the zone's sum from its speaker, see fleet.h.

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

/* A daemon at ADDRESS was listed or heard.  Returns FALSE for this daemon's
   own.  */
gboolean en_reports_touch (EnReports *reports, const char *address,
                           int64_t now_us);
/* Addresses of other daemons; long silent ones are dropped first.  */
uint32_t en_reports_count (EnReports *reports, int64_t now_us);

void en_reports_send (EnReports *reports, int64_t now_us);
/* To one daemon; ZONE is NULL where it is not known.  */
void en_reports_send_to (EnReports *reports, const char *address,
                         const char *zone, int64_t now_us);

/* Whether the last reports said what is so now.  */
gboolean en_reports_are_true (const EnReports *reports);
void en_reports_set_config (EnReports *reports, uint64_t version);
/* Reports say from now on that this daemon leaves.  */
void en_reports_stop (EnReports *reports);

G_DEFINE_AUTOPTR_CLEANUP_FUNC (EnReports, en_reports_free)

#endif
