#include "bench/bench.h"

#include <json-c/json.h>
#include <string.h>

#define RATE_SMALL_PER_S 40
#define RATE_LARGE_PER_S 160
#define LOAD_PERMILLE 800
/* A caller that waits longer than its deadline, so that it is told the
   outcome; four attempts must fit the time of a scenario.  */
#define DEADLINE_MS 2000
#define TIMEOUT_MS 3000
#define LOAD_MAX_MS 120000

static char *
summary_path (SiHarness *harness, uint32_t seed)
{
  return g_strdup_printf ("%s/load-%u.json", si_temp_dir (harness), seed);
}

static void
add_customers (GPtrArray *argv, const BnLoadOptions *options)
{
  double permille
      = options->rate_permille > 0 ? options->rate_permille : LOAD_PERMILLE;

  for (int i = 1; i <= BN_CUSTOMERS; i++)
    {
      double rate
          = (i <= 2 ? RATE_LARGE_PER_S : RATE_SMALL_PER_S) * permille / 1000;
      g_ptr_array_add (
          argv, g_strdup_printf (
                    "--customer=name=c%d,key=key-c%d,rate=%.2f,orders=%d,"
                    "factor=%.2f%s",
                    i, i, rate, options->no_orders ? 0 : 50,
                    i == 3 && options->factor > 0 ? options->factor : 1,
                    i == 1 && options->pinned ? ",pin=0" : ""));
    }
}

static void
add_vms (GPtrArray *argv, SiHarness *harness, const BnLoadOptions *options)
{
  const GPtrArray *vms = si_vms (harness);

  if (options->address != NULL)
    {
      g_ptr_array_add (argv, g_strdup_printf ("--vm=%s", options->address));
      return;
    }
  for (guint i = 0; i < vms->len; i++)
    {
      const SiVm *vm = g_ptr_array_index (vms, i);
      g_ptr_array_add (argv, g_strdup_printf ("--vm=%s", vm->caller_address));
    }
}

pid_t
bn_load_begin (SiHarness *harness, const BnLoadOptions *options,
               GError **error)
{
  g_autoptr (GPtrArray) argv = g_ptr_array_new_with_free_func (g_free);
  const char *service = si_fixture_service (harness, 0);

  g_ptr_array_add (argv,
                   g_strdup_printf ("%s/standin/load-gen", si_bin (harness)));
  add_vms (argv, harness, options);
  add_customers (argv, options);
  g_ptr_array_add (argv, g_strdup_printf ("--read-path=/%s/tile", service));
  g_ptr_array_add (argv, g_strdup_printf ("--order-path=/%s/order", service));
  g_ptr_array_add (argv, g_strdup_printf ("--seed=%u", options->seed));
  g_ptr_array_add (argv,
                   g_strdup_printf ("--duration-ms=%u", options->duration_ms));
  g_ptr_array_add (argv, g_strdup_printf ("--timeout-ms=%d", TIMEOUT_MS));
  g_ptr_array_add (argv, g_strdup_printf ("--deadline-ms=%d", DEADLINE_MS));
  g_ptr_array_add (argv, g_strdup ("--out"));
  g_ptr_array_add (argv, summary_path (harness, options->seed));
  g_ptr_array_add (argv, NULL);
  return si_spawn (harness, (const char *const *)argv->pdata, "load.log",
                   error);
}

static double
number_of (struct json_object *object, const char *name)
{
  struct json_object *value = NULL;

  json_object_object_get_ex (object, name, &value);
  return json_object_get_double (value);
}

static int
compare_doubles (const void *a, const void *b)
{
  double x = *(const double *)a, y = *(const double *)b;
  return x < y ? -1 : x > y;
}

static void
read_customers (struct json_object *rows, BnLoad *load)
{
  double p50s[BN_CUSTOMERS];

  load->customers_count
      = (guint)MIN (json_object_array_length (rows), BN_CUSTOMERS);
  for (guint i = 0; i < load->customers_count; i++)
    {
      struct json_object *row = json_object_array_get_idx (rows, i);
      struct json_object *name = NULL;
      BnCustomer *customer = &load->customers[i];

      json_object_object_get_ex (row, "name", &name);
      customer->name = g_strdup (json_object_get_string (name));
      customer->requests = number_of (row, "requests");
      customer->answered = number_of (row, "answered");
      customer->rate_refused = number_of (row, "rate_refused");
      customer->p99_us = number_of (row, "p99_us");
      p50s[i] = number_of (row, "p50_us");
    }
  qsort (p50s, load->customers_count, sizeof p50s[0], compare_doubles);
  load->p50_us = p50s[load->customers_count / 2];
}

gboolean
bn_load_end (SiHarness *harness, pid_t pid, uint32_t seed, BnLoad *load,
             GError **error)
{
  g_autofree char *path = summary_path (harness, seed);
  g_autofree char *text = NULL;
  struct json_object *root, *rows = NULL;
  int status = 0;

  *load = (BnLoad){ 0 };
  if (!si_wait_exit (harness, pid, LOAD_MAX_MS, &status) || status != 0)
    {
      g_set_error (error, SI_ERROR, SI_ERROR_STATUS,
                   "load-gen ended with status %d", status);
      return FALSE;
    }
  if (!g_file_get_contents (path, &text, NULL, error))
    return FALSE;
  root = json_tokener_parse (text);
  if (!json_object_object_get_ex (root, "customers", &rows))
    {
      json_object_put (root);
      g_set_error (error, SI_ERROR, SI_ERROR_FILE, "%s is no summary", path);
      return FALSE;
    }
  read_customers (rows, load);
  load->requests = number_of (root, "requests");
  load->answered = number_of (root, "answered");
  load->refused = number_of (root, "refused");
  load->unknown = number_of (root, "unknown");
  load->wrong = number_of (root, "wrong");
  json_object_put (root);
  return TRUE;
}

void
bn_load_clear (BnLoad *load)
{
  for (guint i = 0; i < load->customers_count; i++)
    g_free (load->customers[i].name);
  *load = (BnLoad){ 0 };
}

static double
permille (double part, double whole)
{
  return whole > 0 ? part * 1000 / whole : 0;
}

void
bn_add_load (BnTable *table, const BnLoad *load, const char *skip)
{
  double shares[BN_CUSTOMERS], p99s[BN_CUSTOMERS];
  double requests = 0, rate_refused = 0;
  guint count = 0;

  for (guint i = 0; i < load->customers_count; i++)
    {
      const BnCustomer *customer = &load->customers[i];

      if (g_strcmp0 (customer->name, skip) == 0 || customer->requests <= 0)
        continue;
      shares[count] = permille (customer->answered, customer->requests);
      p99s[count++] = customer->p99_us / 1000;
      requests += customer->requests;
      rate_refused += customer->rate_refused;
    }
  if (count == 0)
    return;
  qsort (shares, count, sizeof shares[0], compare_doubles);
  qsort (p99s, count, sizeof p99s[0], compare_doubles);
  bn_add (table, "latency_p50", "ms", load->p50_us / 1000);
  bn_add (table, "latency_p99_median_customer", "ms", p99s[count / 2]);
  bn_add (table, "latency_p99_worst_customer", "ms", p99s[count - 1]);
  bn_add (table, "answered_median_customer", "permille", shares[count / 2]);
  bn_add (table, "answered_worst_customer", "permille", shares[0]);
  bn_add (table, "refused_within_rate", "permille",
          permille (rate_refused, requests));
  bn_add (table, "unknown", "requests", load->unknown);
  bn_add (table, "wrong_answers", "requests", load->wrong);
}
