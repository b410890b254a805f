/* soak - runs daemons under random faults, and checks the responses to callers
   and the requests that reach targets  */

#include <event2/event.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "soak/callers.h"
#include "soak/plan.h"
#include "soak/site.h"
#include "standin/harness.h"

#define TICK_MS 20
/* Lets each daemon receive two reports of each other daemon before the first
   fault.  */
#define FAULTS_BEGIN_MS 2500
/* Time that the users' platform allows for recovery after the last fault.  */
#define RECOVERY_MS 15000
/* Load continues this long after RECOVERY_MS.  Every request must then succeed
   or be refused with 401 or 429.  */
#define POST_RECOVERY_MS 2000
/* Wait for the last responses.  */
#define LAST_RESPONSES_MS (SK_TIMEOUT_MS + 500)
#define FAULTS_END_DEFAULT_MS 16000

/* The bounds that the users' platform sets for daemons with the settings that
   site.c writes and defaults for the others.  Rates and bursts include the
   excess that it permits.  */
static const SkBounds default_bounds = {
  .key_revocation_us = SK_KEY_REVOCATION_MS * 1000,
  .drain_us = 3000000,
  .evacuation_us = 5000000,
  .cold_per_s = SK_COLD_PER_S * 1.5 + 8,
  .limited_customer = "c2",
  .rate_per_s = SK_LIMITED_PER_S * 1.1,
  .burst_count = SK_LIMITED_PER_S * 1.1 + 20,
  .rate_window_us = 5000000,
  .retry_ratio = 0.1,
  .retry_reserve_count = 10,
  .retry_window_us = 10000000,
  .loss_slack_us = 200000,
  .contact_us = 3000000,
  .stop_grace_us = SK_STOP_GRACE_MS * 1000,
  .stop_sent_us = 3000000,
  .config_apply_us = 2000000,
  .rollback_slack_us = 250000,
};

typedef struct
{
  struct event_base *base;
  SkTestbed *testbed;
  SkCallers *callers;
  GArray *plan;
  guint next_index; /* in plan, of the first fault that has not begun */
  gboolean verbose;
  uint32_t edition;
  int64_t started_us;
  int64_t faults_end_ms; /* after started_us */
} Soak;

static int64_t
elapsed_ms (const Soak *soak)
{
  return (g_get_monotonic_time () - soak->started_us) / 1000;
}

static void
print_fault (const Soak *soak, const SkFault *fault, const char *event)
{
  if (soak->verbose)
    printf ("%6" G_GINT64_FORMAT " ms %s %s %u\n", elapsed_ms (soak), event,
            sk_fault_kinds[fault->kind].name, fault->subject_index);
}

static void
on_tick (evutil_socket_t fd, short event, void *data)
{
  Soak *soak = data;
  int64_t now_ms = elapsed_ms (soak);

  (void)fd;
  (void)event;
  sk_testbed_restart_stopped (soak->testbed);
  sk_testbed_rewrite_lost (soak->testbed);
  for (guint i = 0; i < soak->next_index; i++)
    {
      SkFault *fault = &g_array_index (soak->plan, SkFault, i);
      if (now_ms < fault->until_ms)
        continue;
      fault->until_ms = INT64_MAX; /* has ended */
      sk_testbed_end_fault (soak->testbed, fault);
      print_fault (soak, fault, "end  ");
    }
  for (; soak->next_index < soak->plan->len; soak->next_index++)
    {
      const SkFault *fault
          = &g_array_index (soak->plan, SkFault, soak->next_index);
      if (now_ms < fault->from_ms)
        break;
      print_fault (soak, fault, "begin");
      sk_testbed_begin_fault (soak->testbed, fault);
    }
  if (now_ms >= soak->faults_end_ms + RECOVERY_MS + POST_RECOVERY_MS)
    sk_callers_stop (soak->callers);
  if (now_ms >= soak->faults_end_ms + RECOVERY_MS + POST_RECOVERY_MS
                    + LAST_RESPONSES_MS)
    event_base_loopbreak (soak->base);
}

static void
run_event_loop (Soak *soak, SkRecord *record, uint32_t seed)
{
  struct timeval tick = { 0, TICK_MS * 1000 };
  struct event *timer = event_new (soak->base, -1, EV_PERSIST, on_tick, soak);

  soak->started_us = g_get_monotonic_time ();
  soak->callers = sk_callers_new (soak->base, soak->testbed, record, seed,
                                  soak->edition >= 2);
  event_add (timer, &tick);
  event_base_dispatch (soak->base);
  event_free (timer);
}

static guint
print_lines (const GPtrArray *lines)
{
  for (guint i = 0; i < lines->len; i++)
    printf ("  %s\n", (const char *)lines->pdata[i]);
  return lines->len;
}

/* Returns the number of violations.  */
static guint
check_results (Soak *soak, SkRecord *record)
{
  SkBounds bounds = default_bounds;
  g_autofree char *runs = sk_testbed_get_runs (soak->testbed);
  g_autofree char *arrivals = sk_testbed_get_arrivals (soak->testbed);
  g_autofree char *answers = sk_testbed_get_answers (soak->testbed);
  g_autoptr (GPtrArray) violations = NULL;

  bounds.recovery_deadline_us
      = soak->started_us + (soak->faults_end_ms + RECOVERY_MS) * 1000;
  if (runs == NULL || arrivals == NULL || answers == NULL)
    {
      printf ("  the platform stand-in does not respond\n");
      return 1;
    }
  violations = sk_record_check (
      record,
      &(SkLogs){ .runs = runs, .arrivals = arrivals, .answers = answers },
      &(SkTargetNames){ .zone_of = sk_testbed_target_zone,
                        .service_of = sk_testbed_target_service },
      &bounds);
  return print_lines (sk_testbed_errors (soak->testbed))
         + print_lines (violations);
}

static char *
make_log_dir (const char *keep_dir, uint32_t seed)
{
  g_autofree char *name = g_strdup_printf ("soak-%u", seed);
  char *log_dir;

  if (keep_dir == NULL)
    return g_dir_make_tmp ("soak-XXXXXX", NULL);
  log_dir = g_build_filename (keep_dir, name, NULL);
  g_mkdir_with_parents (log_dir, 0700);
  return log_dir;
}

static guint
run_seed (const char *build_dir, uint32_t seed, uint32_t edition,
          int64_t faults_end_ms, const char *keep_dir, gboolean verbose)
{
  g_autoptr (SkRecord) record = sk_record_new ();
  g_autofree char *log_dir = make_log_dir (keep_dir, seed);
  g_autoptr (GError) error = NULL;
  Soak soak = { .faults_end_ms = faults_end_ms,
                .verbose = verbose,
                .edition = edition };
  guint violation_count = 1;

  soak.testbed = sk_testbed_new (build_dir, log_dir, record, &error);
  if (soak.testbed == NULL)
    {
      printf ("seed %u: %s\n", seed, error->message);
      return 1;
    }
  soak.plan
      = sk_plan_new (seed, &(SkPlanOptions){ .daemon_count = SK_DAEMON_COUNT,
                                             .target_count = SK_TARGET_COUNT,
                                             .zone_count = SK_ZONE_COUNT,
                                             .from_ms = FAULTS_BEGIN_MS,
                                             .until_ms = faults_end_ms,
                                             .edition = edition });
  soak.base = event_base_new ();
  run_event_loop (&soak, record, seed);
  violation_count = check_results (&soak, record);
  printf ("seed %u: %u faults, %u requests, %u violations\n", seed,
          soak.plan->len, record->requests->len, violation_count);
  fflush (stdout);
  sk_callers_free (soak.callers);
  sk_testbed_free (soak.testbed);
  event_base_free (soak.base);
  g_array_unref (soak.plan);
  if (keep_dir == NULL && violation_count == 0)
    si_remove_dir (log_dir);
  else if (violation_count > 0)
    printf ("  logs: %s\n", log_dir);
  return violation_count;
}

int
main (int argc, char **argv)
{
  g_autofree char *build_dir = NULL;
  g_autofree char *keep_dir = NULL;
  int seed = 1;
  int count = 1;
  int edition = 2;
  int faults_end_ms = FAULTS_END_DEFAULT_MS;
  gboolean verbose = FALSE;
  const GOptionEntry entries[] = {
    { "bin", 'b', 0, G_OPTION_ARG_FILENAME, &build_dir, "Build directory",
      "DIR" },
    { "seed", 's', 0, G_OPTION_ARG_INT, &seed, "First seed", "N" },
    { "count", 'n', 0, G_OPTION_ARG_INT, &count, "Seeds to run", "N" },
    { "edition", 'e', 0, G_OPTION_ARG_INT, &edition,
      "Edition of the plan, see plan.h; 2 by default", "N" },
    { "faults-ms", 'f', 0, G_OPTION_ARG_INT, &faults_end_ms,
      "Time until all faults have ended", "MS" },
    { "keep", 'k', 0, G_OPTION_ARG_FILENAME, &keep_dir,
      "Keep the logs of all seeds in this directory", "DIR" },
    { "verbose", 'v', 0, G_OPTION_ARG_NONE, &verbose,
      "Print each fault as it begins and ends", NULL },
    { NULL },
  };
  g_autoptr (GOptionContext) context
      = g_option_context_new ("- test daemons under random faults");
  g_autoptr (GError) error = NULL;
  guint failed_count = 0;

  g_option_context_add_main_entries (context, entries, NULL);
  if (!g_option_context_parse (context, &argc, &argv, &error)
      || build_dir == NULL)
    {
      fprintf (stderr, "soak: %s\n",
               error != NULL ? error->message : "--bin is missing");
      return 2;
    }
  signal (SIGPIPE, SIG_IGN);
  for (int i = 0; i < count; i++)
    failed_count
        += run_seed (build_dir, (uint32_t)(seed + i), (uint32_t)edition,
                     faults_end_ms, keep_dir, verbose)
           > 0;
  printf ("%d seeds, %u failed\n", count, failed_count);
  return failed_count > 0 ? 1 : 0;
}
