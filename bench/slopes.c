#include "bench/bench.h"

#include <json-c/json.h>

#define WINDOW_MS 5000
/* Number of address blocks where the number of VMs varies.  */
#define DEFAULT_BLOCK_COUNT 1000

typedef struct
{
  double cpu_us;
  double peer_bytes;
  double peer_messages;
  double store_call_count; /* of all daemons together */
} Sample;

static double
count_store_calls (SiHarness *harness)
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
read_sample (SiHarness *harness)
{
  const SiVm *vm = g_ptr_array_index (si_vms (harness), 0);
  const char *admin = vm->admin_address;

  return (Sample){
    .cpu_us = si_get_metric (admin, "control_cpu_us_total"),
    .peer_bytes = si_get_metric (admin, "peer_received_bytes_total")
                  + si_get_metric (admin, "peer_sent_bytes_total"),
    .peer_messages = si_get_metric (admin, "peer_received_messages_total")
                     + si_get_metric (admin, "peer_sent_messages_total"),
    .store_call_count = count_store_calls (harness),
  };
}

/* Starts a deployment of VMS_COUNT VMs and BLOCKS_COUNT address blocks and
   measures it without load.  */
static gboolean
measure_deployment (const BnOptions *options, uint32_t vms_count,
                    uint32_t blocks_count, GError **error)
{
  g_autofree char *name
      = g_strdup_printf ("slopes-%u-vms-%u-blocks", vms_count, blocks_count);
  SiHarnessOptions harness_options = { .vms_count = vms_count };
  SiFixtureOptions fixture = { .blocks_count = blocks_count };
  SiHarness *harness
      = bn_start_deployment (options, &harness_options, &fixture, error);
  const double seconds = WINDOW_MS / 1000.0;
  const SiVm *vm;
  BnTable *table;

  if (harness == NULL)
    return FALSE;
  vm = g_ptr_array_index (si_vms (harness), 0);
  table = bn_table_new (options, name);
  for (int repeat = 0; repeat < 3; repeat++)
    {
      Sample before = read_sample (harness), after;

      si_sleep_ms (WINDOW_MS);
      after = read_sample (harness);
      bn_table_add (table, "control_cpu", "permille of a core",
                    (after.cpu_us - before.cpu_us) / seconds / 1000);
      bn_table_add (table, "peer_traffic", "bytes/s",
                    (after.peer_bytes - before.peer_bytes) / seconds);
      bn_table_add (table, "peer_messages", "messages/s",
                    (after.peer_messages - before.peer_messages) / seconds);
      bn_table_add (table, "store_calls_fleet", "calls/s",
                    (after.store_call_count - before.store_call_count)
                        / seconds);
      bn_table_add (table, "resident", "bytes",
                    si_get_metric (vm->admin_address, "resident_bytes"));
    }
  bn_table_finish (table);
  si_harness_free (harness);
  return TRUE;
}

gboolean
bn_run_scaling (const BnOptions *options, GError **error)
{
  static const uint32_t vms_counts[] = { 7, 14, 28, 56, 112 };
  static const uint32_t blocks_counts[] = { 10000, 190000 };

  for (size_t i = 0; i < G_N_ELEMENTS (vms_counts); i++)
    if (!measure_deployment (options, vms_counts[i], DEFAULT_BLOCK_COUNT,
                             error))
      return FALSE;
  for (size_t i = 0; i < G_N_ELEMENTS (blocks_counts); i++)
    if (!measure_deployment (options, vms_counts[0], blocks_counts[i], error))
      return FALSE;
  return TRUE;
}
