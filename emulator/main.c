/* emulator - plays callers and targets around real daemons under random
   faults, and compares what callers were promised with what targets ran  */

#include <event2/event.h>
#include <signal.h>
#include <stdio.h>

#include "emulator/caller.h"
#include "emulator/plan.h"
#include "emulator/site.h"
#include "emulator/target.h"
#include "standin/harness.h"
#include "standin/serve.h"

#define TICK_US 1000
/* Around the time that daemons wait, see EM_REQUEST_TIMEOUT_S.  */
#define STALL_MIN_MS (EM_REQUEST_TIMEOUT_S * 1000 - 100)
#define STALL_MAX_MS (EM_REQUEST_TIMEOUT_S * 1000 + 200)
#define FAULTS_BEGIN_MS 2500
/* After the last fault the callers go on for this long.  */
#define CALM_MS 1500
/* Longer than the deadlines of the callers.  */
#define LAST_RESPONSES_MS 4500

typedef struct
{
  char *build_dir;
  char *keep_dir;
  int seed;
  int count;
  int daemon_count;
  int target_count;
  int caller_count;
  int faults_end_ms;
  gboolean verbose;
} Options;

typedef struct
{
  const Options *options;
  struct event_base *base;
  EmSite *site;
  GArray *plan;
  guint next_index; /* of the first fault that has not begun */
  GPtrArray *callers;
  int64_t started_us;
  gboolean is_stopped;
} Run;

static int64_t
elapsed_ms (const Run *run)
{
  return (g_get_monotonic_time () - run->started_us) / 1000;
}

static void
print_fault (const Run *run, const EmPlanned *fault, const char *event)
{
  gboolean is_faulty = fault->kind == EM_TARGET_FAULTY;

  if (run->options->verbose)
    printf ("%6" G_GINT64_FORMAT " ms %s %s %u %s %u\n", elapsed_ms (run),
            event, em_kinds[fault->kind].name, fault->subject_index,
            is_faulty ? em_fault_names[fault->fault] : "-", fault->percent);
}

static void
apply_plan (Run *run, int64_t now_ms)
{
  for (guint i = 0; i < run->next_index; i++)
    {
      EmPlanned *fault = &g_array_index (run->plan, EmPlanned, i);
      if (now_ms < fault->until_ms)
        continue;
      fault->until_ms = INT64_MAX; /* has ended */
      em_site_end_fault (run->site, fault);
      print_fault (run, fault, "end  ");
    }
  for (; run->next_index < run->plan->len; run->next_index++)
    {
      const EmPlanned *fault
          = &g_array_index (run->plan, EmPlanned, run->next_index);
      if (now_ms < fault->from_ms)
        return;
      print_fault (run, fault, "begin");
      em_site_begin_fault (run->site, fault);
    }
}

static void
on_tick (evutil_socket_t fd, short what, void *data)
{
  Run *run = data;
  int64_t now_ms = elapsed_ms (run);
  int64_t load_end_ms = run->options->faults_end_ms + CALM_MS;

  (void)fd;
  (void)what;
  em_site_tick (run->site);
  apply_plan (run, now_ms);
  if (now_ms >= load_end_ms && !run->is_stopped)
    {
      run->is_stopped = TRUE;
      for (guint i = 0; i < run->callers->len; i++)
        em_caller_stop (run->callers->pdata[i]);
    }
  if (now_ms >= load_end_ms + LAST_RESPONSES_MS)
    event_base_loopbreak (run->base);
}

/* Kinds of callers, taken in turn.  */
static const struct
{
  const char *path;
  const char *key;
  gboolean is_unsafe;
  uint32_t long_body_percent;
  uint32_t leave_percent;
  uint32_t stall_percent;
} caller_kinds[] = {
  { .path = "/order/1", .key = "k1", .is_unsafe = TRUE },
  { .path = "/order/2",
    .key = "k1",
    .is_unsafe = TRUE,
    .long_body_percent = 5,
    .stall_percent = 2 },
  { .path = "/read/1", .key = "k1", .long_body_percent = 2 },
  { .path = "/booking/1", .key = "k1", .is_unsafe = TRUE, .leave_percent = 5 },
  { .path = "/order/3",
    .key = "k2",
    .is_unsafe = TRUE,
    .long_body_percent = 20,
    .stall_percent = 5 },
  { .path = "/read/2", .key = "k2", .leave_percent = 10, .stall_percent = 1 },
};

static void
add_callers (Run *run, EmJudge *judge, GRand *random)
{
  static const EmCallerOptions common = { .deadline_ms = 1500,
                                          .pause_max_ms = 10,
                                          .body_max_bytes = 400,
                                          .long_body_max_bytes = 1500000,
                                          .stall_min_ms = STALL_MIN_MS,
                                          .stall_max_ms = STALL_MAX_MS };

  run->callers
      = g_ptr_array_new_with_free_func ((GDestroyNotify)em_caller_free);
  for (int i = 0; i < run->options->caller_count; i++)
    {
      guint kind = (guint)i % G_N_ELEMENTS (caller_kinds);
      g_autofree char *name = g_strdup_printf ("a%d", i);
      EmCallerOptions options = common;

      options.base = run->base;
      options.judge = judge;
      options.random = random;
      options.name = name;
      options.daemons = em_site_daemons (run->site);
      options.path = caller_kinds[kind].path;
      options.key = caller_kinds[kind].key;
      options.is_unsafe = caller_kinds[kind].is_unsafe;
      options.long_body_percent = caller_kinds[kind].long_body_percent;
      options.leave_percent = caller_kinds[kind].leave_percent;
      options.stall_percent = caller_kinds[kind].stall_percent;
      g_ptr_array_add (run->callers, em_caller_new (&options));
    }
}

static char *
make_log_dir (const char *keep_dir, uint32_t seed)
{
  g_autofree char *name = g_strdup_printf ("emulator-%u", seed);
  char *log_dir;

  if (keep_dir == NULL)
    return g_dir_make_tmp ("emulator-XXXXXX", NULL);
  log_dir = g_build_filename (keep_dir, name, NULL);
  g_mkdir_with_parents (log_dir, 0700);
  return log_dir;
}

static uint32_t
count_cuts (const Run *run)
{
  uint32_t count = 0;

  for (guint i = 0; i < run->callers->len; i++)
    count += em_caller_cut_count (run->callers->pdata[i]);
  return count;
}

/* Returns the number of violations.  */
static guint
print_results (const Run *run, const EmJudge *judge, uint32_t seed)
{
  g_autoptr (GPtrArray) violations = em_judge_check (judge);
  guint count = violations->len;

  if (em_site_error (run->site) != NULL)
    {
      printf ("  %s\n", em_site_error (run->site));
      count++;
    }
  if (em_judge_status_count (judge, 200) == 0)
    {
      printf ("  nothing was served\n");
      count++;
    }
  for (guint i = 0; i < violations->len; i++)
    printf ("  %s\n", (const char *)violations->pdata[i]);
  printf (
      "seed %u: %u faults, %u requests, %u served, %u limited, %u refused,"
      " %u unknown, %u late, %u stalled, %u without response (%u early),"
      " %u violations\n",
      seed, run->plan->len, em_judge_attempt_count (judge),
      em_judge_status_count (judge, 200), em_judge_status_count (judge, 429),
      em_judge_status_count (judge, 503), em_judge_status_count (judge, 502),
      em_judge_status_count (judge, 504), em_judge_status_count (judge, 408),
      em_judge_status_count (judge, 0), count_cuts (run), count);
  fflush (stdout);
  return count;
}

static void
run_event_loop (Run *run)
{
  struct timeval tick = { 0, TICK_US };
  struct event *timer = event_new (run->base, -1, EV_PERSIST, on_tick, run);

  run->started_us = g_get_monotonic_time ();
  event_add (timer, &tick);
  event_base_dispatch (run->base);
  event_free (timer);
}

/* Late copies are the hardest to tell from responses.  */
static const uint32_t fault_weights[EM_FAULT_COUNT] = {
  [EM_FAULT_LATE_COPY] = 5, [EM_FAULT_DOUBLE] = 1, [EM_FAULT_STRAY] = 1,
  [EM_FAULT_TRUNCATE] = 1,  [EM_FAULT_LOSE] = 1,   [EM_FAULT_RESET] = 1,
  [EM_FAULT_FAIL] = 1,      [EM_FAULT_NO_ID] = 1,  [EM_FAULT_EARLY] = 1,
  [EM_FAULT_CLOSE] = 1,     [EM_FAULT_SILENT] = 1,
};

static guint
run_seed (const Options *options, uint32_t seed)
{
  g_autoptr (EmJudge) judge = em_judge_new ();
  g_autoptr (GError) error = NULL;
  g_autofree char *log_dir = make_log_dir (options->keep_dir, seed);
  GRand *random = g_rand_new_with_seed (seed);
  Run run = { .options = options, .base = si_event_base_new () };
  EmPlanOptions plan = { .daemon_count = (uint32_t)options->daemon_count,
                         .target_count = (uint32_t)options->target_count,
                         .fault_weights = fault_weights,
                         .fault_count = EM_FAULT_COUNT,
                         .from_ms = FAULTS_BEGIN_MS,
                         .until_ms = options->faults_end_ms };
  guint violation_count = 1;

  run.site
      = em_site_new (&(EmSiteOptions){ .base = run.base,
                                       .judge = judge,
                                       .random = random,
                                       .build_dir = options->build_dir,
                                       .log_dir = log_dir,
                                       .daemon_count = plan.daemon_count,
                                       .target_count = plan.target_count },
                     &error);
  if (run.site != NULL)
    {
      run.plan = em_plan_new (seed, &plan);
      add_callers (&run, judge, random);
      run_event_loop (&run);
      violation_count = print_results (&run, judge, seed);
      g_ptr_array_unref (run.callers);
      g_array_unref (run.plan);
    }
  else
    printf ("seed %u: %s\n", seed, error->message);
  em_site_free (run.site);
  event_base_free (run.base);
  g_rand_free (random);
  if (options->keep_dir == NULL && violation_count == 0)
    si_remove_dir (log_dir);
  else if (violation_count > 0)
    printf ("  logs: %s\n", log_dir);
  return violation_count;
}

static gboolean
parse_options (int argc, char **argv, Options *options)
{
  const GOptionEntry entries[] = {
    { "bin", 'b', 0, G_OPTION_ARG_FILENAME, &options->build_dir,
      "Build directory", "DIR" },
    { "seed", 's', 0, G_OPTION_ARG_INT, &options->seed, "First seed", "N" },
    { "count", 'n', 0, G_OPTION_ARG_INT, &options->count, "Seeds to run",
      "N" },
    { "daemons", 'd', 0, G_OPTION_ARG_INT, &options->daemon_count,
      "Daemons, at most 16", "N" },
    { "targets", 't', 0, G_OPTION_ARG_INT, &options->target_count,
      "Targets, at most 64", "N" },
    { "callers", 'c', 0, G_OPTION_ARG_INT, &options->caller_count, "Callers",
      "N" },
    { "faults-ms", 'f', 0, G_OPTION_ARG_INT, &options->faults_end_ms,
      "Time until all faults have ended", "MS" },
    { "keep", 'k', 0, G_OPTION_ARG_FILENAME, &options->keep_dir,
      "Keep the logs of all seeds in this directory", "DIR" },
    { "verbose", 'v', 0, G_OPTION_ARG_NONE, &options->verbose,
      "Print each fault as it begins and ends", NULL },
    { NULL },
  };
  g_autoptr (GOptionContext) context
      = g_option_context_new ("- compare promises of daemons with what ran");
  g_autoptr (GError) error = NULL;

  g_option_context_add_main_entries (context, entries, NULL);
  if (g_option_context_parse (context, &argc, &argv, &error)
      && options->build_dir != NULL && options->daemon_count > 0
      && options->daemon_count <= EM_DAEMONS_MAX && options->target_count > 0
      && options->target_count <= EM_TARGETS_MAX)
    return TRUE;
  fprintf (stderr, "emulator: %s\n",
           error != NULL ? error->message
                         : "--bin is missing, or a number is out of range");
  return FALSE;
}

int
main (int argc, char **argv)
{
  Options options = { .seed = 1,
                      .count = 1,
                      .daemon_count = 2,
                      .target_count = 2,
                      .caller_count = 24,
                      .faults_end_ms = 18000 };
  guint failed_count = 0;

  if (!parse_options (argc, argv, &options))
    return 2;
  signal (SIGPIPE, SIG_IGN);
  for (int i = 0; i < options.count; i++)
    failed_count += run_seed (&options, (uint32_t)(options.seed + i)) > 0;
  printf ("%d seeds, %u failed\n", options.count, failed_count);
  g_free (options.build_dir);
  g_free (options.keep_dir);
  return failed_count > 0 ? 1 : 0;
}
