/* site.h - the processes of a soak and the faults done to them

   SYNOPSIS
     SkSite *site = sk_site_new (bin, folder, record, &error);
     sk_site_begin (site, &fault);
     sk_site_tick (site);
     sk_site_end (site, &fault);

   DESCRIPTION
     Starts a stand-in of the platform, the fault proxy and three daemons in
     two regions, as processes of their own.  Every daemon reaches the store,
     and all reach the targets, through links of the proxy.  Only processes
     that were started here are signalled.

   ERRORS
     SI_ERROR_SPAWN, SI_ERROR_TIMEOUT  the site does not come up  */

#ifndef SK_SITE_H
#define SK_SITE_H

#include "soak/plan.h"
#include "soak/record.h"

#define SK_DAEMONS 3
#define SK_TARGETS 6
#define SK_ZONES 3
#define SK_GRACE_MS 4000
#define SK_KEY_WITHDRAWAL_MS 3000
#define SK_COLD_PER_S 5
#define SK_LIMITED_PER_S 12

typedef struct SkSite SkSite;

SkSite *sk_site_new (const char *bin, const char *folder, SkRecord *record,
                     GError **error);
/* Stops everything that still runs.  */
void sk_site_free (SkSite *site);

void sk_site_begin (SkSite *site, const SkFault *fault);
void sk_site_end (SkSite *site, const SkFault *fault);
/* Starts daemons again whose process has ended; call often.  */
void sk_site_tick (SkSite *site);

const char *sk_site_front (const SkSite *site, uint32_t daemon);
/* Number of the key in force.  */
int sk_site_key (const SkSite *site);
char *sk_site_runs (const SkSite *site);
char *sk_site_arrivals (const SkSite *site);
const char *sk_site_zone_of (const char *target);
/* What went wrong with the processes themselves; texts.  */
const GPtrArray *sk_site_broken (const SkSite *site);

G_DEFINE_AUTOPTR_CLEANUP_FUNC (SkSite, sk_site_free)

#endif
