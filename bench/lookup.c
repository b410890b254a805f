#include "bench/bench.h"

#include <stdlib.h>

#define REPEAT_COUNT 5
#define REPEAT_MS 1000
/* A single load process cannot saturate bench-empty, which does no work.  */
#define PROCESS_COUNT 2
#define CONNECTION_COUNT 32

/* Responses a second that PROCESS_COUNT processes get from ADDRESS, or -1 on
   failure.  */
static double
measure_rate (SiHarness *harness, const char *address, const char *path)
{
  g_autofree char *program
      = g_strdup_printf ("%s/bench/bench", si_build_dir (harness));
  g_autofree char *address_flag = g_strdup_printf ("--hammer=%s", address);
  g_autofree char *path_flag = g_strdup_printf ("--path=%s", path);
  g_autofree char *connections_flag
      = g_strdup_printf ("--connections=%d", CONNECTION_COUNT / PROCESS_COUNT);
  g_autofree char *duration_flag
      = g_strdup_printf ("--duration-ms=%d", REPEAT_MS);
  const char *argv[] = { program,          address_flag,  path_flag,
                         connections_flag, duration_flag, NULL };
  static int log_index;
  char *log_names[PROCESS_COUNT];
  pid_t pids[PROCESS_COUNT];
  double total_per_s = 0;

  for (int i = 0; i < PROCESS_COUNT; i++)
    {
      log_names[i] = g_strdup_printf ("hammer-%d.log", log_index++);
      pids[i] = si_spawn (harness, argv, log_names[i], NULL);
    }
  for (int i = 0; i < PROCESS_COUNT; i++)
    {
      g_autofree char *log_path
          = g_build_filename (si_temp_dir (harness), log_names[i], NULL);
      g_autofree char *text = NULL;
      int status = -1;

      if (!si_wait_exit (harness, pids[i], REPEAT_MS * 10, &status)
          || status != 0 || !g_file_get_contents (log_path, &text, NULL, NULL))
        total_per_s = -1;
      else if (total_per_s >= 0)
        total_per_s += g_ascii_strtod (text, NULL) * 1000 / REPEAT_MS;
      g_free (log_names[i]);
    }
  return total_per_s;
}

/* Starts bench-empty and returns its address.  */
static char *
start_empty_server (SiHarness *harness, GError **error)
{
  g_autofree char *program
      = g_strdup_printf ("%s/bench/bench-empty", si_build_dir (harness));
  char *address = g_strdup_printf ("127.0.0.1:%u", si_find_free_port ());
  const char *argv[] = { program, address, NULL };

  if (si_spawn (harness, argv, "empty.log", error) == 0)
    {
      g_free (address);
      return NULL;
    }
  si_sleep_ms (500); /* until it listens */
  return address;
}

gboolean
bn_run_lookup_rate (const BnOptions *options, GError **error)
{
  SiHarnessOptions harness_options = { 0 };
  SiFixtureOptions fixture = { .blocks_count = 10000 };
  SiHarness *harness
      = bn_start_deployment (options, &harness_options, &fixture, error);
  g_autofree char *empty_address = NULL, *path = NULL;
  BnTable *table;
  gboolean ok;

  if (harness == NULL)
    return FALSE;
  empty_address = start_empty_server (harness, error);
  ok = empty_address != NULL;
  path = g_strdup_printf ("/v1/lookup?service=%s",
                          si_fixture_service (harness, 0));
  table = bn_table_new (options, "lookup");
  for (int repeat = 0; repeat < REPEAT_COUNT && ok; repeat++)
    {
      const SiVm *vm = g_ptr_array_index (si_vms (harness), 0);
      double empty_per_s = measure_rate (harness, empty_address, "/");
      double lookup_per_s = measure_rate (harness, vm->http_address, path);

      ok = empty_per_s > 0 && lookup_per_s > 0;
      if (!ok)
        {
          g_set_error (error, SI_ERROR, SI_ERROR_HTTP,
                       "a load process of the lookup comparison failed");
          break;
        }
      bn_table_add (table, "empty_handler", "answers/s", empty_per_s);
      bn_table_add (table, "lookup", "answers/s", lookup_per_s);
      bn_table_add (table, "lookup_share", "permille",
                    lookup_per_s * 1000 / empty_per_s);
    }
  bn_table_finish (table);
  si_harness_free (harness);
  return ok;
}
