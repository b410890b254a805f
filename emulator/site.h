/* site.h - a small deployment: the store, daemons and emulated targets

   SYNOPSIS
     EmSiteOptions options = { .base = base, .build_dir = "build", ... };
     EmSite *site = em_site_new (&options, &error);
     em_site_begin_fault (site, &fault);
     em_site_end_fault (site, &fault);
     em_site_tick (site);
     em_site_free (site);

   DESCRIPTION
     Store and daemons are processes; targets run in the calling one.  Targets
     are of service "s" in two zones of one region.  The routes /order/
     and /booking/ may run once, /read/ repeatedly; customer c1 (key "k1") has
   no rate, c2 ("k2") a small one.  Only processes that the site started are
   signalled.

   ERRORS
     SI_ERROR_SPAWN, SI_ERROR_TIMEOUT  the processes did not start  */

#ifndef EM_SITE_H
#define EM_SITE_H

#include "emulator/judge.h"
#include "emulator/plan.h"

#define EM_DAEMONS_MAX 16
#define EM_TARGETS_MAX 64
/* How long daemons wait for the rest of a request, and for the next one.  */
#define EM_REQUEST_TIMEOUT_S 1

struct event_base;

typedef struct
{
  struct event_base *base;
  EmJudge *judge;
  GRand *random;
  const char *build_dir;
  const char *log_dir;
  uint32_t daemon_count;
  uint32_t target_count;
} EmSiteOptions;

typedef struct EmSite EmSite;

EmSite *em_site_new (const EmSiteOptions *options, GError **error);
void em_site_free (EmSite *site);

void em_site_begin_fault (EmSite *site, const EmPlanned *fault);
void em_site_end_fault (EmSite *site, const EmPlanned *fault);

/* Starts daemons that have ended after SIGTERM, and lets requests of other
   callers fill the targets now and then.  */
void em_site_tick (EmSite *site);

/* Addresses of the daemons for callers; ends with NULL.  */
const char *const *em_site_daemons (const EmSite *site);
/* What went wrong in the site itself; NULL: nothing.  */
const char *em_site_error (const EmSite *site);

G_DEFINE_AUTOPTR_CLEANUP_FUNC (EmSite, em_site_free)

#endif
