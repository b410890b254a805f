#include "bench/bench.h"

#include <json-c/json.h>
#include <string.h>

/* Rates of the fixture's customers by default; c1 and c2 are large.  */
#define RATE_SMALL_PER_S 40
#define RATE_LARGE_PER_S 160
/* Requests that a customer sends, as a fraction of its configured rate.  */
#define DEFAULT_RATE_PERMILLE 800
/* The timeout is above the deadline, so that a caller still receives the
   response with the outcome of a request that missed its deadline.  It is
   short because load-gen makes up to 4 attempts for a request, which must end
   within the time of a scenario.  */
#define DEADLINE_MS 2000
#define TIMEOUT_MS 3000
#define LOAD_TIMEOUT_MS 120000

static char *
summary_path (SiHarness *harness, uint32_t seed)
{
  return g_strdup_printf ("%s/load-%u.json", si_temp_dir (harness), seed);
}

static void
add_customers (GPtrArray *argv, const BnLoadOptions *options)
{
  double rate_permille = options->rate_permille > 0 ? options->rate_permille
                                                    : DEFAULT_RATE_PERMILLE;

  for (int i = 1; i <= BN_CUSTOMER_COUNT; i++)
    {
      double rate = (i <= 2 ? RATE_LARGE_PER_S : RATE_SMALL_PER_S)
                    * rate_permille / 1000;
      g_ptr_array_add (
          argv,
          g_strdup_printf (
              "--customer=name=c%d,key=key-c%d,rate=%.2f,orders=%d,"
              "factor=%.2f%s",
              i, i, rate, options->no_orders ? 0 : 50,
              i == 3 && options->offender_factor > 0 ? options->offender_factor
                                                     : 1,
              i == 1 && options->pin_c1 ? ",pin=0" : ""));
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
bn_load_start (SiHarness *harness, const BnLoadOptions *options,
               GError **error)
{
  g_autoptr (GPtrArray) argv = g_ptr_array_new_with_free_func (g_free);
  const char *service = si_fixture_service (harness, 0);

  g_ptr_array_add (
      argv, g_strdup_printf ("%s/standin/load-gen", si_build_dir (harness)));
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
get_number (struct json_object *object, const char *name)
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
parse_customers (struct json_object *rows, BnLoadResult *load)
{
  double p50s_us[BN_CUSTOMER_COUNT];

  load->customer_count
      = (guint)MIN (json_object_array_length (rows), BN_CUSTOMER_COUNT);
  for (guint i = 0; i < load->customer_count; i++)
    {
      struct json_object *row = json_object_array_get_idx (rows, i);
      struct json_object *name = NULL;
      BnCustomerResult *customer = &load->customers[i];

      json_object_object_get_ex (row, "name", &name);
      customer->name = g_strdup (json_object_get_string (name));
      customer->request_count = get_number (row, "requests");
      customer->answered_count = get_number (row, "answered");
      customer->rate_refused_count = get_number (row, "rate_refused");
      customer->p99_us = get_number (row, "p99_us");
      p50s_us[i] = get_number (row, "p50_us");
    }
  qsort (p50s_us, load->customer_count, sizeof p50s_us[0], compare_doubles);
  load->p50_us = p50s_us[load->customer_count / 2];
}

gboolean
bn_load_wait (SiHarness *harness, pid_t pid, uint32_t seed, BnLoadResult *load,
              GError **error)
{
  g_autofree char *path = summary_path (harness, seed);
  g_autofree char *text = NULL;
  struct json_object *root, *rows = NULL;
  int status = 0;

  *load = (BnLoadResult){ 0 };
  if (!si_wait_exit (harness, pid, LOAD_TIMEOUT_MS, &status) || status != 0)
    {
      g_set_error (error, SI_ERROR, SI_ERROR_STATUS,
                   "load-gen exited with status %d", status);
      return FALSE;
    }
  if (!g_file_get_contents (path, &text, NULL, error))
    return FALSE;
  root = json_tokener_parse (text);
  if (!json_object_object_get_ex (root, "customers", &rows))
    {
      json_object_put (root);
      g_set_error (error, SI_ERROR, SI_ERROR_FILE,
                   "%s is not a summary of load-gen", path);
      return FALSE;
    }
  parse_customers (rows, load);
  load->request_count = get_number (root, "requests");
  load->answered_count = get_number (root, "answered");
  load->refused_count = get_number (root, "refused");
  load->unknown_count = get_number (root, "unknown");
  load->wrong_response_count = get_number (root, "wrong");
  json_object_put (root);
  return TRUE;
}

void
bn_load_clear (BnLoadResult *load)
{
  for (guint i = 0; i < load->customer_count; i++)
    g_free (load->customers[i].name);
  *load = (BnLoadResult){ 0 };
}

static double
to_permille (double part, double whole)
{
  return whole > 0 ? part * 1000 / whole : 0;
}

void
bn_table_add_load (BnTable *table, const BnLoadResult *load,
                   const char *excluded)
{
  double answered_permille[BN_CUSTOMER_COUNT], p99s_ms[BN_CUSTOMER_COUNT];
  double request_count = 0, rate_refused_count = 0;
  guint count = 0;

  for (guint i = 0; i < load->customer_count; i++)
    {
      const BnCustomerResult *customer = &load->customers[i];

      if (g_strcmp0 (customer->name, excluded) == 0
          || customer->request_count <= 0)
        continue;
      answered_permille[count]
          = to_permille (customer->answered_count, customer->request_count);
      p99s_ms[count++] = customer->p99_us / 1000;
      request_count += customer->request_count;
      rate_refused_count += customer->rate_refused_count;
    }
  if (count == 0)
    return;
  qsort (answered_permille, count, sizeof answered_permille[0],
         compare_doubles);
  qsort (p99s_ms, count, sizeof p99s_ms[0], compare_doubles);
  bn_table_add (table, "latency_p50", "ms", load->p50_us / 1000);
  bn_table_add (table, "latency_p99_median_customer", "ms",
                p99s_ms[count / 2]);
  bn_table_add (table, "latency_p99_worst_customer", "ms", p99s_ms[count - 1]);
  bn_table_add (table, "answered_median_customer", "permille",
                answered_permille[count / 2]);
  bn_table_add (table, "answered_worst_customer", "permille",
                answered_permille[0]);
  bn_table_add (table, "refused_within_rate", "permille",
                to_permille (rate_refused_count, request_count));
  bn_table_add (table, "unknown", "requests", load->unknown_count);
  bn_table_add (table, "wrong_answers", "requests",
                load->wrong_response_count);
}
