#include "bench/bench.h"

#include <json-c/json.h>

#define WINDOW_MS 5000
#define BLOCKS_SMALL 1000

typedef struct
{
  double cpu_us;
  double bytes;
  double messages;
  double store_calls; /* of the whole fleet */
} Sample;

static double
store_calls (SiHarness *harness)
{
  g_autofree char *text
      = si_get_text (si_platform_control (harness), "/control/counts", NULL);
  struct json_object *root = text == NULL ? NULL : json_tokener_parse (text);
  static const char *const names[]
      = { "reads", "writes", "watches", "lists", "refused" };
  double total = 0;

  for (size_t i = 0; i < G_N_ELEMENTS (names); i++)
    {
      struct json_object *value = NULL;
      json_object_object_get_ex (root, names[i], &value);
      total += json_object_get_double (value);
    }
  json_object_put (root);
  return total;
}

static Sample
take_sample (SiHarness *harness)
{
  const SiVm *vm = g_ptr_array_index (si_vms (harness), 0);
  const char *admin = vm->admin_address;

  return (Sample){
    .cpu_us = si_get_metric (admin, "control_cpu_us_total"),
    .bytes = si_get_metric (admin, "peer_received_bytes_total")
             + si_get_metric (admin, "peer_sent_bytes_total"),
    .messages = si_get_metric (admin, "peer_received_messages_total")
                + si_get_metric (admin, "peer_sent_messages_total"),
    .store_calls = store_calls (harness),
  };
}

static gboolean
run_size (const BnOptions *options, uint32_t vms_count, uint32_t blocks_count,
          GError **error)
{
  g_autofree char *name
      = g_strdup_printf ("slopes-%u-vms-%u-blocks", vms_count, blocks_count);
  SiHarnessOptions extra = { .vms_count = vms_count };
  SiFixtureOptions fixture = { .blocks_count = blocks_count };
  SiHarness *harness = bn_start (options, &extra, &fixture, error);
  const double seconds = WINDOW_MS / 1000.0;
  const SiVm *vm;
  BnTable *table;

  if (harness == NULL)
    return FALSE;
  vm = g_ptr_array_index (si_vms (harness), 0);
  table = bn_table_new (options, name);
  for (int round = 0; round < 3; round++)
    {
      Sample before = take_sample (harness), after;

      si_sleep_ms (WINDOW_MS);
      after = take_sample (harness);
      bn_add (table, "control_cpu", "permille of a core",
              (after.cpu_us - before.cpu_us) / seconds / 1000);
      bn_add (table, "peer_traffic", "bytes/s",
              (after.bytes - before.bytes) / seconds);
      bn_add (table, "peer_messages", "messages/s",
              (after.messages - before.messages) / seconds);
      bn_add (table, "store_calls_fleet", "calls/s",
              (after.store_calls - before.store_calls) / seconds);
      bn_add (table, "resident", "bytes",
              si_get_metric (vm->admin_address, "resident_bytes"));
    }
  bn_table_end (table);
  si_harness_free (harness);
  return TRUE;
}

gboolean
bn_run_slopes (const BnOptions *options, GError **error)
{
  static const uint32_t vms_counts[] = { 7, 14, 28, 56, 112 };
  static const uint32_t blocks_counts[] = { 10000, 190000 };

  for (size_t i = 0; i < G_N_ELEMENTS (vms_counts); i++)
    if (!run_size (options, vms_counts[i], BLOCKS_SMALL, error))
      return FALSE;
  for (size_t i = 0; i < G_N_ELEMENTS (blocks_counts); i++)
    if (!run_size (options, vms_counts[0], blocks_counts[i], error))
      return FALSE;
  return TRUE;
}
