#include "demo/demo.h"

#include <signal.h>
#include <stdio.h>
#include <string.h>

#define READY_TIMEOUT_MS 15000
/* Daemons get shares and slots in the first seconds after their start.  */
#define SETTLE_MS 4000
/* Times from the start of the load.  */
#define LOAD_MS 12000
#define OFFENDER_FROM_MS 2000
#define OFFENDER_TO_MS 10000
#define OFFENDER_FACTOR 8
#define DRAIN_AT_MS 4000
#define KILL_AT_MS 7000
#define LOAD_TIMEOUT_MS 60000
/* A target must receive no more requests this long after its drain signal.  */
#define DRAIN_MAX_US (2 * G_USEC_PER_SEC)
/* Limits of each target.  */
#define TARGET_SLOTS_MAX 3
#define TARGET_CONNECTIONS_MAX 330
/* Requests that a customer sends, as a fraction of its rate.  */
#define LOAD_RATE_FRACTION 0.5

typedef struct
{
  char *build_dir;
  char *deployment;
  char *sheet;
} Arguments;

typedef struct
{
  SiHarness *harness;
  GPtrArray *customers; /* DeCustomer */
  char *trace;
  pid_t load;
  int64_t start_ms;
  int64_t drain_start_us;
  const char *drained_target;
} Demo;

static void
print_step (const Demo *demo, const char *text, const char *name)
{
  int64_t at_ms = g_get_real_time () / 1000 - demo->start_ms;

  printf ("  %7.3f s  %s %s\n", (double)at_ms / 1000, text, name);
  fflush (stdout);
}

static const char *
service_name (const Demo *demo)
{
  const SiTarget *target = g_ptr_array_index (si_targets (demo->harness), 0);
  return target->service;
}

static void
add_load_arguments (const Demo *demo, GPtrArray *argv)
{
  const GPtrArray *vms = si_vms (demo->harness);
  const char *service = service_name (demo);

  for (guint i = 0; i < vms->len; i++)
    {
      const SiVm *vm = g_ptr_array_index (vms, i);
      g_ptr_array_add (argv, g_strdup_printf ("--vm=%s", vm->caller_address));
    }
  for (guint i = 0; i < demo->customers->len; i++)
    {
      const DeCustomer *customer = g_ptr_array_index (demo->customers, i);
      gboolean offender = i + 1 == demo->customers->len;

      g_ptr_array_add (
          argv,
          g_strdup_printf ("--customer=name=%s,key=%s,rate=%.1f,orders=150,"
                           "fresh=100,factor=%d,from_ms=%d,to_ms=%d",
                           customer->name, customer->key,
                           customer->rate_per_s * LOAD_RATE_FRACTION,
                           offender ? OFFENDER_FACTOR : 1, OFFENDER_FROM_MS,
                           OFFENDER_TO_MS));
    }
  g_ptr_array_add (argv, g_strdup_printf ("--read-path=/%s/view", service));
  g_ptr_array_add (argv, g_strdup_printf ("--order-path=/%s/orders", service));
  g_ptr_array_add (argv, g_strdup_printf ("--trace=%s", demo->trace));
  g_ptr_array_add (argv, g_strdup_printf ("--duration-ms=%d", LOAD_MS));
}

static gboolean
start_load (Demo *demo, GError **error)
{
  g_autoptr (GPtrArray) argv = g_ptr_array_new_with_free_func (g_free);

  demo->trace = g_build_filename (si_temp_dir (demo->harness), "trace", NULL);
  g_ptr_array_add (argv, g_strdup_printf ("%s/standin/load-gen",
                                          si_build_dir (demo->harness)));
  add_load_arguments (demo, argv);
  g_ptr_array_add (argv, NULL);
  demo->load = si_spawn (demo->harness, (const char *const *)argv->pdata,
                         "load.log", error);
  return demo->load > 0;
}

static gboolean
start_fleet (Demo *demo, const Arguments *a, GError **error)
{
  g_autofree char *sheet
      = g_build_filename (si_temp_dir (demo->harness), "sheet.csv", NULL);

  if (!si_start_platform (demo->harness, error)
      || !si_start_targets (demo->harness, error)
      || !si_start_daemons (demo->harness, error))
    return FALSE;
  print_step (demo, "7 daemons respond; applying", a->sheet);
  demo->customers = de_prepare_sheet (a->sheet, sheet, error);
  if (demo->customers == NULL || !si_apply_sheet (demo->harness, sheet, error)
      || !si_wait_ready (demo->harness, READY_TIMEOUT_MS, error))
    return FALSE;
  print_step (demo, "the sheet is in force on every daemon", "");
  si_sleep_ms (SETTLE_MS);
  return TRUE;
}

static gboolean
drain_target (Demo *demo, GError **error)
{
  const SiTarget *target = g_ptr_array_index (si_targets (demo->harness), 0);
  g_autofree char *path
      = g_strdup_printf ("/control/set?target=%s&draining=1", target->name);

  demo->drained_target = target->name;
  print_step (demo, "draining target", target->name);
  if (!si_post_control (si_target_control (demo->harness), path, error))
    return FALSE;
  demo->drain_start_us = g_get_monotonic_time ();
  return TRUE;
}

static void
kill_daemon (Demo *demo)
{
  const GPtrArray *vms = si_vms (demo->harness);
  const SiVm *vm = g_ptr_array_index (vms, vms->len - 1);

  print_step (demo, "killing daemon", vm->name);
  si_kill_vm (demo->harness, vm->name);
}

static gboolean
run_load (Demo *demo, GError **error)
{
  const DeCustomer *offender
      = g_ptr_array_index (demo->customers, demo->customers->len - 1);
  int status = 0;

  if (!start_load (demo, error))
    return FALSE;
  print_step (demo,
              "callers start; after 2 s a customer sends far above its rate:",
              offender->name);
  si_sleep_ms (DRAIN_AT_MS);
  if (!drain_target (demo, error))
    return FALSE;
  si_sleep_ms (KILL_AT_MS - DRAIN_AT_MS);
  kill_daemon (demo);
  if (!si_wait_exit (demo->harness, demo->load, LOAD_TIMEOUT_MS, &status)
      || status != 0)
    {
      g_set_error (error, SI_ERROR, SI_ERROR_STATUS,
                   "load-gen ended with status %d", status);
      return FALSE;
    }
  print_step (demo, "all callers have received their last response", "");
  return TRUE;
}

/* Prints the result of one check and the value that it checked; returns
   PASSED.  */
static gboolean
print_check (const char *name, gboolean passed, int64_t value)
{
  printf ("  %-4s %s: %" G_GINT64_FORMAT "\n", passed ? "ok" : "FAIL", name,
          value);
  return passed;
}

static gboolean
print_report (Demo *demo, const SiVerdict *verdict, int64_t after_drain)
{
  gboolean ok = TRUE;

  puts ("\nchecks:");
  ok &= print_check ("requests answered", verdict->answered_count > 0,
                     (int64_t)verdict->answered_count);
  ok &= print_check ("keys seen by a target", verdict->key_seen_count == 0,
                     (int64_t)verdict->key_seen_count);
  ok &= print_check ("requests executed for another customer",
                     verdict->wrong_customer_count == 0,
                     (int64_t)verdict->wrong_customer_count);
  ok &= print_check ("responses that are truncated or of another request",
                     verdict->wrong_response_count == 0,
                     (int64_t)verdict->wrong_response_count);
  ok &= print_check ("orders executed more than once",
                     verdict->repeated_order_count == 0,
                     (int64_t)verdict->repeated_order_count);
  ok &= print_check ("answered orders never executed",
                     verdict->lost_order_count == 0,
                     (int64_t)verdict->lost_order_count);
  ok &= print_check ("requests refused as not executed, but executed",
                     verdict->false_not_run_count == 0,
                     (int64_t)verdict->false_not_run_count);
  ok &= print_check ("most slots in use at a target",
                     verdict->running_max <= TARGET_SLOTS_MAX,
                     verdict->running_max);
  ok &= print_check ("most connections to a target",
                     verdict->connections_max <= TARGET_CONNECTIONS_MAX,
                     verdict->connections_max);
  ok &= print_check ("customers above rate and burst",
                     verdict->over_rate_count == 0,
                     (int64_t)verdict->over_rate_count);
  ok &= print_check ("requests to the drained target after 2 s",
                     after_drain == 0, after_drain);
  printf ("  unknown outcomes reported to callers: %" G_GUINT64_FORMAT "\n",
          verdict->unknown_count);
  puts ("\nevents recorded by the daemons:");
  de_print_timeline (demo->harness, demo->start_ms);
  printf ("\ndemo: requests=%" G_GUINT64_FORMAT " answered=%" G_GUINT64_FORMAT
          " refused=%" G_GUINT64_FORMAT " lost=%" G_GUINT64_FORMAT
          " doubled=%" G_GUINT64_FORMAT "\n",
          verdict->request_count, verdict->answered_count,
          verdict->refused_count, verdict->lost_order_count,
          verdict->repeated_order_count);
  return ok;
}

static gboolean
verify (Demo *demo, gboolean *ok, GError **error)
{
  g_autoptr (GArray) rates = g_array_new (FALSE, FALSE, sizeof (SiRateLimit));
  SiVerdict verdict;
  int64_t after_drain;

  for (guint i = 0; i < demo->customers->len; i++)
    {
      const DeCustomer *customer = g_ptr_array_index (demo->customers, i);
      SiRateLimit rate
          = { customer->name, customer->rate_per_s, customer->burst };
      g_array_append_val (rates, rate);
    }
  if (!si_verify (demo->harness, demo->trace, (const SiRateLimit *)rates->data,
                  rates->len, &verdict, error))
    return FALSE;
  after_drain
      = si_count_requests_after (demo->harness, demo->drained_target,
                                 demo->drain_start_us + DRAIN_MAX_US, error);
  if (after_drain < 0)
    return FALSE;
  *ok = print_report (demo, &verdict, after_drain);
  return TRUE;
}

static gboolean
run_demo (const Arguments *a, GError **error)
{
  SiHarnessOptions options = { .build_dir = a->build_dir,
                               .deployment = a->deployment,
                               .proxied = TRUE,
                               .client_links = TRUE };
  Demo demo = { .start_ms = g_get_real_time () / 1000 };
  gboolean ok = FALSE;

  demo.harness = si_harness_new (&options, error);
  if (demo.harness == NULL)
    return FALSE;
  printf ("comfreywalk on loopback, deployment %s\n", a->deployment);
  if (start_fleet (&demo, a, error) && run_load (&demo, error))
    verify (&demo, &ok, error);
  if (demo.customers != NULL)
    g_ptr_array_unref (demo.customers);
  g_free (demo.trace);
  si_harness_free (demo.harness);
  return ok;
}

int
main (int argc, char **argv)
{
  Arguments a = { 0 };
  const GOptionEntry entries[] = {
    { "bin", 0, 0, G_OPTION_ARG_STRING, &a.build_dir, "Build directory",
      "DIR" },
    { "deployment", 0, 0, G_OPTION_ARG_STRING, &a.deployment,
      "tammemets (default) or cooperative", "NAME" },
    { "sheet", 0, 0, G_OPTION_ARG_STRING, &a.sheet,
      "Sheet to use instead of the example", "FILE" },
    { NULL },
  };
  g_autoptr (GOptionContext) context = g_option_context_new (
      "- runs comfreywalk on loopback under faults and checks it");
  g_autoptr (GError) error = NULL;
  gboolean ok;

  signal (SIGPIPE, SIG_IGN);
  g_option_context_add_main_entries (context, entries, NULL);
  if (!g_option_context_parse (context, &argc, &argv, &error)
      || a.build_dir == NULL)
    {
      fprintf (stderr, "demo: %s\n",
               error == NULL ? "--bin is required" : error->message);
      return 2;
    }
  if (a.deployment == NULL)
    a.deployment = g_strdup ("tammemets");
  if (a.sheet == NULL)
    a.sheet = g_strdup_printf ("examples/%s.csv", a.deployment);
  ok = run_demo (&a, &error);
  if (error != NULL)
    fprintf (stderr, "demo: %s\n", error->message);
  g_free (a.build_dir);
  g_free (a.deployment);
  g_free (a.sheet);
  return ok ? 0 : 1;
}
