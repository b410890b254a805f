#include <json-c/json.h>
#include <signal.h>
#include <stdio.h>

#include "standin/harness.h"
#include "standin/load.h"

static void
add_number (struct json_object *object, const char *name, int64_t value)
{
  json_object_object_add (object, name, json_object_new_int64 (value));
}

static void
add_outcomes (struct json_object *row, const uint64_t *counts)
{
  uint64_t total = 0;

  for (int i = SI_LOAD_ANSWERED; i < SI_LOAD_OUTCOME_COUNT; i++)
    {
      add_number (row, si_load_outcome_name ((SiLoadOutcome)i),
                  (int64_t)counts[i]);
      total += counts[i];
    }
  add_number (row, "requests", (int64_t)total);
}

static struct json_object *
customer_json (const SiLoadCustomer *customer)
{
  struct json_object *row = json_object_new_object ();

  json_object_object_add (row, "name",
                          json_object_new_string (customer->name));
  add_outcomes (row, customer->counts);
  add_number (row, "rate_refused", (int64_t)customer->rate_refused_count);
  add_number (row, "p50_us", mt_percentile (customer->latency, 500));
  add_number (row, "p99_us", mt_percentile (customer->latency, 990));
  return row;
}

char *
si_load_summary (const SiLoadResult *result)
{
  struct json_object *root = json_object_new_object ();
  struct json_object *rows = json_object_new_array ();
  struct json_object *refusal_counts = json_object_new_object ();
  uint64_t totals[SI_LOAD_OUTCOME_COUNT] = { 0 };
  GHashTableIter iter;
  void *name, *count;
  char *text;

  add_number (root, "seed", result->options->seed);
  for (guint i = 0; i < result->options->customers->len; i++)
    {
      const SiLoadCustomer *customer
          = g_ptr_array_index (result->options->customers, i);
      json_object_array_add (rows, customer_json (customer));
      for (int o = 0; o < SI_LOAD_OUTCOME_COUNT; o++)
        totals[o] += customer->counts[o];
    }
  add_outcomes (root, totals);
  add_number (root, "repeats", (int64_t)result->retry_count);
  add_number (root, "replayed", (int64_t)result->replayed_count);
  add_number (root, "unfinished", (int64_t)result->unfinished_count);
  g_hash_table_iter_init (&iter, result->refusal_counts);
  while (g_hash_table_iter_next (&iter, &name, &count))
    add_number (refusal_counts, name, (int64_t)GPOINTER_TO_SIZE (count));
  json_object_object_add (root, "refusals", refusal_counts);
  json_object_object_add (root, "customers", rows);
  text = g_strdup (
      json_object_to_json_string_ext (root, JSON_C_TO_STRING_PRETTY));
  json_object_put (root);
  return text;
}

typedef struct
{
  char **vms;
  char **customers;
  char *read_path;
  char *order_path;
  char *lookup;
  char *out;
  char *trace;
  int seed;
  int duration_ms;
  int timeout_ms;
  int deadline_ms;
  int response_bytes;
  int work_ms;
} Arguments;

static gboolean
parse_arguments (Arguments *a, int argc, char **argv, GError **error)
{
  const GOptionEntry entries[] = {
    { "vm", 0, 0, G_OPTION_ARG_STRING_ARRAY, &a->vms, "Entry VM, repeated",
      "IP:PORT" },
    { "customer", 0, 0, G_OPTION_ARG_STRING_ARRAY, &a->customers,
      "Customer, repeated", "NAME=VALUE,..." },
    { "read-path", 0, 0, G_OPTION_ARG_STRING, &a->read_path, "Path of reads",
      "PATH" },
    { "order-path", 0, 0, G_OPTION_ARG_STRING, &a->order_path,
      "Path of orders", "PATH" },
    { "lookup", 0, 0, G_OPTION_ARG_STRING, &a->lookup,
      "Service that the customer \"lookup\" looks up", "SERVICE" },
    { "out", 0, 0, G_OPTION_ARG_STRING, &a->out, "Summary file", "FILE" },
    { "trace", 0, 0, G_OPTION_ARG_STRING, &a->trace, "Trace file", "FILE" },
    { "seed", 0, 0, G_OPTION_ARG_INT, &a->seed, "Seed", "N" },
    { "duration-ms", 0, 0, G_OPTION_ARG_INT, &a->duration_ms,
      "Time in which requests are sent", "MS" },
    { "timeout-ms", 0, 0, G_OPTION_ARG_INT, &a->timeout_ms,
      "Time without received data after which an attempt fails", "MS" },
    { "deadline-ms", 0, 0, G_OPTION_ARG_INT, &a->deadline_ms,
      "Deadline sent with each request", "MS" },
    { "answer-bytes", 0, 0, G_OPTION_ARG_INT, &a->response_bytes,
      "Size of responses", "N" },
    { "work-ms", 0, 0, G_OPTION_ARG_INT, &a->work_ms,
      "Service time at the target", "MS" },
    { NULL },
  };
  g_autoptr (GOptionContext) context
      = g_option_context_new ("- open-loop load generator for tests");

  g_option_context_add_main_entries (context, entries, NULL);
  if (!g_option_context_parse (context, &argc, &argv, error))
    return FALSE;
  if (a->vms != NULL && a->customers != NULL && a->duration_ms > 0)
    return TRUE;
  g_set_error (error, SI_ERROR, SI_ERROR_OPTION,
               "--vm, --customer and --duration-ms are needed");
  return FALSE;
}

static void
fill_options (SiLoadOptions *options, const Arguments *a)
{
  options->vms = g_ptr_array_new ();
  options->customers = g_ptr_array_new_with_free_func (si_load_customer_free);
  for (char **vm = a->vms; *vm != NULL; vm++)
    g_ptr_array_add (options->vms, *vm);
  options->read_path = a->read_path == NULL ? "/" : a->read_path;
  options->order_path = a->order_path == NULL ? "/" : a->order_path;
  options->lookup_service = a->lookup == NULL ? "" : a->lookup;
  options->seed = (uint32_t)a->seed;
  options->duration_ms = (uint32_t)a->duration_ms;
  options->timeout_ms = (uint32_t)a->timeout_ms;
  options->deadline_ms = (uint32_t)a->deadline_ms;
  options->response_bytes = (uint32_t)a->response_bytes;
  options->work_ms = (uint32_t)a->work_ms;
}

static gboolean
run_load (const Arguments *a, GError **error)
{
  SiLoadOptions options = { 0 };
  SiLoadResult result = { .options = &options };
  g_autofree char *summary = NULL;
  gboolean ok = TRUE;

  fill_options (&options, a);
  result.metrics = mt_registry_new ();
  result.refusal_counts
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  result.trace = a->trace == NULL ? NULL : g_string_new (NULL);
  for (char **customer = a->customers; *customer != NULL && ok; customer++)
    ok = si_load_add_customer (options.customers, *customer, result.metrics,
                               error);
  if (ok)
    {
      si_load_run (&options, &result);
      summary = si_load_summary (&result);
      ok = a->out == NULL ? puts (summary) >= 0
                          : g_file_set_contents (a->out, summary, -1, error);
    }
  if (ok && result.trace != NULL)
    ok = g_file_set_contents (a->trace, result.trace->str, -1, error);
  if (result.trace != NULL)
    g_string_free (result.trace, TRUE);
  g_ptr_array_unref (options.vms);
  g_ptr_array_unref (options.customers);
  g_hash_table_unref (result.refusal_counts);
  mt_registry_free (result.metrics);
  return ok;
}

static void
arguments_clear (Arguments *a)
{
  g_strfreev (a->vms);
  g_strfreev (a->customers);
  g_free (a->read_path);
  g_free (a->order_path);
  g_free (a->lookup);
  g_free (a->out);
  g_free (a->trace);
}

int
main (int argc, char **argv)
{
  Arguments arguments = { .seed = 1, .timeout_ms = 10000 };
  g_autoptr (GError) error = NULL;
  int status = 0;

  signal (SIGPIPE, SIG_IGN);
  if (!parse_arguments (&arguments, argc, argv, &error)
      || !run_load (&arguments, &error))
    {
      fprintf (stderr, "load-gen: %s\n", error->message);
      status = 1;
    }
  arguments_clear (&arguments);
  return status;
}
