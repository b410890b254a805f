/* soak - real daemons under random faults, checked from outside  */

#include <event2/event.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "soak/callers.h"
#include "soak/plan.h"
#include "soak/site.h"
#include "standin/harness.h"

#define TICK_MS 20
/* Daemons hear each other twice before the first fault.  */
#define FAULTS_FROM_MS 2500
/* The platform's bound on recovery, and a time in which all must be served. */
#define RECOVERY_MS 15000
#define CALM_MS 2000
#define LAST_ANSWERS_MS 2500
#define FAULTS_DEFAULT_MS 10000

/* The platform's bounds, with the defaults of the daemon's settings.  */
static const SkBounds platform_bounds = {
  .key_us = SK_KEY_WITHDRAWAL_MS * 1000,
  .drain_us = 3000000,
  .evacuate_us = 5000000,
  .cold_per_s = SK_COLD_PER_S * 1.5 + 8,
  .limited_customer = "c2",
  .rate_per_s = SK_LIMITED_PER_S * 1.1,
  .burst_count = SK_LIMITED_PER_S * 1.1 + 20,
  .rate_window_us = 5000000,
  .repeat_ratio = 0.1,
  .repeat_reserve_count = 10,
  .repeat_window_us = 10000000,
};

typedef struct
{
  struct event_base *base;
  SkSite *site;
  SkCallers *callers;
  GArray *plan;
  guint next; /* fault that has not begun */
  gboolean verbose;
  int64_t started_us;
  int64_t faults_ms;
} Run;

static int64_t
elapsed_ms (const Run *run)
{
  return (g_get_monotonic_time () - run->started_us) / 1000;
}

static void
say (const Run *run, const SkFault *fault, const char *what)
{
  if (run->verbose)
    printf ("%6" G_GINT64_FORMAT " ms %s %s %u\n", elapsed_ms (run), what,
            sk_kinds[fault->kind].name, fault->index);
}

static void
on_tick (evutil_socket_t fd, short what, void *data)
{
  Run *run = data;
  int64_t now_ms = elapsed_ms (run);

  (void)fd;
  (void)what;
  sk_site_tick (run->site);
  for (guint i = 0; i < run->next; i++)
    {
      SkFault *fault = &g_array_index (run->plan, SkFault, i);
      if (now_ms < fault->until_ms)
        continue;
      fault->until_ms = INT64_MAX;
      sk_site_end (run->site, fault);
      say (run, fault, "end  ");
    }
  for (; run->next < run->plan->len; run->next++)
    {
      const SkFault *fault = &g_array_index (run->plan, SkFault, run->next);
      if (now_ms < fault->from_ms)
        break;
      say (run, fault, "begin");
      sk_site_begin (run->site, fault);
    }
  if (now_ms >= run->faults_ms + RECOVERY_MS + CALM_MS)
    sk_callers_stop (run->callers);
  if (now_ms >= run->faults_ms + RECOVERY_MS + CALM_MS + LAST_ANSWERS_MS)
    event_base_loopbreak (run->base);
}

static void
play (Run *run, SkRecord *record, uint32_t seed)
{
  struct timeval tick = { 0, TICK_MS * 1000 };
  struct event *timer = event_new (run->base, -1, EV_PERSIST, on_tick, run);

  run->started_us = g_get_monotonic_time ();
  run->callers = sk_callers_new (run->base, run->site, record, seed);
  event_add (timer, &tick);
  event_base_dispatch (run->base);
  event_free (timer);
}

static guint
print_all (const GPtrArray *texts)
{
  for (guint i = 0; i < texts->len; i++)
    printf ("  %s\n", (const char *)texts->pdata[i]);
  return texts->len;
}

/* Returns the number of promises that were broken.  */
static guint
judge (Run *run, SkRecord *record)
{
  SkBounds bounds = platform_bounds;
  g_autofree char *runs = sk_site_runs (run->site);
  g_autofree char *arrivals = sk_site_arrivals (run->site);
  g_autoptr (GPtrArray) broken = NULL;

  bounds.calm_us = run->started_us + (run->faults_ms + RECOVERY_MS) * 1000;
  if (runs == NULL || arrivals == NULL)
    {
      printf ("  the stand-in does not answer\n");
      return 1;
    }
  broken = sk_check (record, runs, arrivals, sk_site_zone_of, &bounds);
  return print_all (sk_site_broken (run->site)) + print_all (broken);
}

static char *
make_folder (const char *keep, uint32_t seed)
{
  g_autofree char *name = g_strdup_printf ("soak-%u", seed);
  char *folder;

  if (keep == NULL)
    return g_dir_make_tmp ("soak-XXXXXX", NULL);
  folder = g_build_filename (keep, name, NULL);
  g_mkdir_with_parents (folder, 0700);
  return folder;
}

static guint
run_seed (const char *bin, uint32_t seed, int64_t faults_ms, const char *keep,
          gboolean verbose)
{
  g_autoptr (SkRecord) record = sk_record_new ();
  g_autofree char *folder = make_folder (keep, seed);
  g_autoptr (GError) error = NULL;
  Run run = { .faults_ms = faults_ms, .verbose = verbose };
  guint broken = 1;

  run.site = sk_site_new (bin, folder, record, &error);
  if (run.site == NULL)
    {
      printf ("seed %u: %s\n", seed, error->message);
      return 1;
    }
  run.plan = sk_plan_new (seed, &(SkPlanOptions){ .daemon_count = SK_DAEMONS,
                                                  .target_count = SK_TARGETS,
                                                  .zone_count = SK_ZONES,
                                                  .from_ms = FAULTS_FROM_MS,
                                                  .until_ms = faults_ms });
  run.base = event_base_new ();
  play (&run, record, seed);
  broken = judge (&run, record);
  printf ("seed %u: %u faults, %u requests, %u broken\n", seed, run.plan->len,
          record->requests->len, broken);
  fflush (stdout);
  sk_callers_free (run.callers);
  sk_site_free (run.site);
  event_base_free (run.base);
  g_array_unref (run.plan);
  if (keep == NULL && broken == 0)
    si_remove_folder (folder);
  else if (broken > 0)
    printf ("  logs: %s\n", folder);
  return broken;
}

int
main (int argc, char **argv)
{
  g_autofree char *bin = NULL;
  g_autofree char *keep = NULL;
  int seed = 1;
  int count = 1;
  int faults_ms = FAULTS_DEFAULT_MS;
  gboolean verbose = FALSE;
  const GOptionEntry entries[] = {
    { "bin", 'b', 0, G_OPTION_ARG_FILENAME, &bin, "Build folder", "DIR" },
    { "seed", 's', 0, G_OPTION_ARG_INT, &seed, "First seed", "N" },
    { "count", 'n', 0, G_OPTION_ARG_INT, &count, "Seeds to run", "N" },
    { "faults-ms", 'f', 0, G_OPTION_ARG_INT, &faults_ms,
      "Time until all faults have ended", "MS" },
    { "keep", 'k', 0, G_OPTION_ARG_FILENAME, &keep,
      "Keep the logs of all seeds here", "DIR" },
    { "verbose", 'v', 0, G_OPTION_ARG_NONE, &verbose, "Print the faults",
      NULL },
    { NULL },
  };
  g_autoptr (GOptionContext) context
      = g_option_context_new ("- real daemons under random faults");
  g_autoptr (GError) error = NULL;
  guint failed = 0;

  g_option_context_add_main_entries (context, entries, NULL);
  if (!g_option_context_parse (context, &argc, &argv, &error) || bin == NULL)
    {
      fprintf (stderr, "soak: %s\n",
               error != NULL ? error->message : "--bin is missing");
      return 2;
    }
  signal (SIGPIPE, SIG_IGN);
  for (int i = 0; i < count; i++)
    failed
        += run_seed (bin, (uint32_t)(seed + i), faults_ms, keep, verbose) > 0;
  printf ("%d seeds, %u failed\n", count, failed);
  return failed > 0 ? 1 : 0;
}
