#include <signal.h>
#include <stdlib.h>
#include <string.h>

#include "bench/bench.h"
#include "standin/process.h"

/* A trial leaves the CPU mostly idle, since targets delay their responses
   without computing and the load is a few hundred requests a second.  */
#define TRIALS_IN_PARALLEL 4
#define TRIAL_TIMEOUT_MS (300 * 1000)
#define RESULTS_HEADER                                                        \
  "scenario\tdeployment\tpolicy\tmeasure\tunit\tmedian\tlow\thigh\n"

typedef struct
{
  char *build_dir;
  char *scenario;
  char *deployment;
  char *policy;
  char *admission;
  char *out;
  char *hammer;
  char *path;
  int connections;
  int duration_ms;
} Arguments;

static const struct
{
  const char *deployment;
  const char *policy;
  const char *admission;
} trials[] = {
  { "tammemets", "headroom", "lend" },
  { "tammemets", "nearest", "lend" },
  { "tammemets", "random", "lend" },
  { "tammemets", "least-reported", "lend" },
  { "tammemets", "headroom", "split" },
  { "cooperative", "headroom", "lend" },
  { "cooperative", "headroom", "split" },
};

static pid_t
spawn_trial (const Arguments *a, size_t index, const char *results_path,
             GError **error)
{
  g_autofree char *program = g_strdup_printf ("%s/bench/bench", a->build_dir);
  g_autofree char *log = g_strdup_printf ("%s.log", results_path);
  const char *argv[] = { program,
                         "--bin",
                         a->build_dir,
                         "--scenario",
                         a->scenario,
                         "--deployment",
                         trials[index].deployment,
                         "--policy",
                         trials[index].policy,
                         "--admission",
                         trials[index].admission,
                         "--out",
                         results_path,
                         NULL };

  return si_process_spawn (argv, log, error);
}

static gboolean
append_results (const char *results_path, FILE *out)
{
  g_autofree char *text = NULL;

  if (!g_file_get_contents (results_path, &text, NULL, NULL))
    return FALSE;
  fputs (text, out);
  return TRUE;
}

/* Runs all trials, at most TRIALS_IN_PARALLEL at a time, and appends their
   results to OUT.  Returns the number of failed trials.  */
static int
run_trials (const Arguments *a, FILE *out)
{
  pid_t pids[G_N_ELEMENTS (trials)] = { 0 };
  char *results_paths[G_N_ELEMENTS (trials)];
  int failed_count = 0;

  for (size_t i = 0; i < G_N_ELEMENTS (trials) + TRIALS_IN_PARALLEL; i++)
    {
      size_t oldest = i - TRIALS_IN_PARALLEL;
      int status = 0;

      if (i >= TRIALS_IN_PARALLEL && oldest < G_N_ELEMENTS (trials))
        {
          if (!si_process_wait (pids[oldest], TRIAL_TIMEOUT_MS, &status)
              || status != 0)
            {
              fprintf (stderr, "bench: trial %s %s+%s failed, see %s.log\n",
                       trials[oldest].deployment, trials[oldest].policy,
                       trials[oldest].admission, results_paths[oldest]);
              failed_count++;
            }
          append_results (results_paths[oldest], out);
        }
      if (i < G_N_ELEMENTS (trials))
        {
          results_paths[i] = g_strdup_printf ("%s.part-%zu", a->out, i);
          pids[i] = spawn_trial (a, i, results_paths[i], NULL);
        }
    }
  for (size_t i = 0; i < G_N_ELEMENTS (trials); i++)
    g_free (results_paths[i]);
  return failed_count;
}

static gboolean
run_scenario (const BnOptions *options, const char *scenario, GError **error)
{
  if (strcmp (scenario, "added") == 0)
    return bn_run_added_latency (options, error);
  if (strcmp (scenario, "lookup") == 0)
    return bn_run_lookup_rate (options, error);
  if (strcmp (scenario, "slopes") == 0)
    return bn_run_scaling (options, error);
  if (strcmp (scenario, "all") == 0 || bn_is_trial_scenario (scenario))
    return bn_run_trial (options, scenario, error);
  g_set_error (error, SI_ERROR, SI_ERROR_OPTION, "unknown scenario \"%s\"",
               scenario);
  return FALSE;
}

static gboolean
parse_arguments (Arguments *a, int argc, char **argv, GError **error)
{
  const GOptionEntry entries[] = {
    { "bin", 0, 0, G_OPTION_ARG_STRING, &a->build_dir, "Build directory",
      "DIR" },
    { "scenario", 0, 0, G_OPTION_ARG_STRING, &a->scenario,
      "Scenario, or all (default): every one except slopes", "NAME" },
    { "deployment", 0, 0, G_OPTION_ARG_STRING, &a->deployment,
      "Deployment for --policy, and for scenarios added, lookup and slopes",
      "NAME" },
    { "policy", 0, 0, G_OPTION_ARG_STRING, &a->policy,
      "Run one trial only, with this policy", "NAME" },
    { "admission", 0, 0, G_OPTION_ARG_STRING, &a->admission,
      "Admission for --policy", "NAME" },
    { "out", 0, 0, G_OPTION_ARG_STRING, &a->out, "Results file", "FILE" },
    { "hammer", 0, 0, G_OPTION_ARG_STRING, &a->hammer,
      "Only send requests to this server and print the number of responses",
      "IP:PORT" },
    { "path", 0, 0, G_OPTION_ARG_STRING, &a->path, "Path for --hammer",
      "PATH" },
    { "connections", 0, 0, G_OPTION_ARG_INT, &a->connections,
      "Connections for --hammer", "N" },
    { "duration-ms", 0, 0, G_OPTION_ARG_INT, &a->duration_ms,
      "Duration for --hammer", "MS" },
    { NULL },
  };
  g_autoptr (GOptionContext) context
      = g_option_context_new ("- benchmarks comfreywalk on loopback");

  g_option_context_add_main_entries (context, entries, NULL);
  if (!g_option_context_parse (context, &argc, &argv, error))
    return FALSE;
  if (a->hammer != NULL || (a->build_dir != NULL && a->out != NULL))
    return TRUE;
  g_set_error (error, SI_ERROR, SI_ERROR_OPTION,
               "--bin and --out are required");
  return FALSE;
}

static const char *
or_default (const char *value, const char *default_value)
{
  return value == NULL ? default_value : value;
}

/* Runs the scenario in one trial if a policy is given, else in all trials.
   Returns the number of failed trials and scenarios.  */
static int
run_bench (Arguments *a, GError **error)
{
  BnOptions options = { .build_dir = a->build_dir,
                        .deployment = or_default (a->deployment, "tammemets"),
                        .policy = or_default (a->policy, "headroom"),
                        .admission = or_default (a->admission, "lend") };
  gboolean run_all;
  int failed_count = 0;

  if (a->scenario == NULL)
    a->scenario = g_strdup ("all");
  run_all = strcmp (a->scenario, "all") == 0 && a->policy == NULL;
  options.out = fopen (a->out, "we");
  if (options.out == NULL)
    {
      g_set_error (error, SI_ERROR, SI_ERROR_FILE, "cannot write %s", a->out);
      return 1;
    }
  if (a->policy == NULL)
    fputs (RESULTS_HEADER, options.out);
  if (run_all)
    {
      failed_count += !run_scenario (&options, "added", error);
      if (*error == NULL)
        failed_count += !run_scenario (&options, "lookup", error);
    }
  if (*error == NULL)
    {
      if (a->policy == NULL && (run_all || bn_is_trial_scenario (a->scenario)))
        failed_count += run_trials (a, options.out);
      else
        failed_count += !run_scenario (&options, a->scenario, error);
    }
  fclose (options.out);
  return failed_count;
}

int
main (int argc, char **argv)
{
  Arguments arguments = { .connections = 16, .duration_ms = 1000 };
  g_autoptr (GError) error = NULL;
  int64_t count;
  int failed_count;

  signal (SIGPIPE, SIG_IGN);
  if (!parse_arguments (&arguments, argc, argv, &error))
    {
      fprintf (stderr, "bench: %s\n", error->message);
      return 2;
    }
  if (arguments.hammer != NULL)
    {
      count = bn_run_closed_loop (
          arguments.hammer, or_default (arguments.path, "/"),
          (guint)arguments.connections, (uint32_t)arguments.duration_ms);
      printf ("%" G_GINT64_FORMAT "\n", count);
      return count < 0;
    }
  failed_count = run_bench (&arguments, &error);
  if (error != NULL)
    fprintf (stderr, "bench: %s\n", error->message);
  printf ("bench: results=%s failed=%d\n", arguments.out, failed_count);
  return failed_count > 0;
}
