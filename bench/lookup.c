#include "bench/bench.h"

#include <stdlib.h>

#define ROUNDS 5
#define ROUND_MS 1000
/* One client process cannot load a server that does nothing.  */
#define CLIENTS 2
#define CONNECTIONS 32

/* Answers a second of ADDRESS to CLIENTS processes, or -1.  */
static double
rate_of (SiHarness *harness, const char *address, const char *path)
{
  g_autofree char *program
      = g_strdup_printf ("%s/bench/bench", si_bin (harness));
  g_autofree char *to = g_strdup_printf ("--hammer=%s", address);
  g_autofree char *what = g_strdup_printf ("--path=%s", path);
  g_autofree char *count
      = g_strdup_printf ("--connections=%d", CONNECTIONS / CLIENTS);
  g_autofree char *duration = g_strdup_printf ("--duration-ms=%d", ROUND_MS);
  const char *argv[] = { program, to, what, count, duration, NULL };
  static int run;
  char *logs[CLIENTS];
  pid_t pids[CLIENTS];
  double total = 0;

  for (int i = 0; i < CLIENTS; i++)
    {
      logs[i] = g_strdup_printf ("hammer-%d.log", run++);
      pids[i] = si_spawn (harness, argv, logs[i], NULL);
    }
  for (int i = 0; i < CLIENTS; i++)
    {
      g_autofree char *path_of_log
          = g_build_filename (si_temp_dir (harness), logs[i], NULL);
      g_autofree char *text = NULL;
      int status = -1;

      if (!si_wait_exit (harness, pids[i], ROUND_MS * 10, &status)
          || status != 0
          || !g_file_get_contents (path_of_log, &text, NULL, NULL))
        total = -1;
      else if (total >= 0)
        total += g_ascii_strtod (text, NULL) * 1000 / ROUND_MS;
      g_free (logs[i]);
    }
  return total;
}

static char *
start_empty (SiHarness *harness, GError **error)
{
  g_autofree char *program
      = g_strdup_printf ("%s/bench/bench-empty", si_bin (harness));
  char *address = g_strdup_printf ("127.0.0.1:%u", si_find_free_port ());
  const char *argv[] = { program, address, NULL };

  if (si_spawn (harness, argv, "empty.log", error) == 0)
    {
      g_free (address);
      return NULL;
    }
  si_sleep_ms (500);
  return address;
}

gboolean
bn_run_lookup (const BnOptions *options, GError **error)
{
  SiHarnessOptions extra = { 0 };
  SiFixtureOptions fixture = { .blocks_count = 10000 };
  SiHarness *harness = bn_start (options, &extra, &fixture, error);
  g_autofree char *empty = NULL, *path = NULL;
  BnTable *table;
  gboolean ok;

  if (harness == NULL)
    return FALSE;
  empty = start_empty (harness, error);
  ok = empty != NULL;
  path = g_strdup_printf ("/v1/lookup?service=%s",
                          si_fixture_service (harness, 0));
  table = bn_table_new (options, "lookup");
  for (int round = 0; round < ROUNDS && ok; round++)
    {
      const SiVm *vm = g_ptr_array_index (si_vms (harness), 0);
      double empty_rate = rate_of (harness, empty, "/");
      double lookup_rate = rate_of (harness, vm->http_address, path);

      ok = empty_rate > 0 && lookup_rate > 0;
      if (!ok)
        {
          g_set_error (error, SI_ERROR, SI_ERROR_HTTP,
                       "a client of the look-up comparison failed");
          break;
        }
      bn_add (table, "empty_handler", "answers/s", empty_rate);
      bn_add (table, "lookup", "answers/s", lookup_rate);
      bn_add (table, "lookup_share", "permille",
              lookup_rate * 1000 / empty_rate);
    }
  bn_table_end (table);
  si_harness_free (harness);
  return ok;
}
