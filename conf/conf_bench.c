/* conf_bench [BLOCKS] - prints the time to parse, split, join and write a
   configuration with many blocks, and the longest step of each.  */

#include "conf/conf.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define BLOCKS_DEFAULT 190000
#define REGION_COUNT 6
#define CUSTOMER_COUNT CF_SECTION_ROWS_MAX

typedef struct
{
  const char *name;
  int64_t total_us;
  int64_t longest_us;
  uint32_t step_count;
} Timing;

static CfConfig *
make_config (uint32_t block_count)
{
  CfConfig *config = cf_new ();

  config->version = 1;
  for (uint32_t i = 0; i < REGION_COUNT; i++)
    {
      g_autofree char *name = g_strdup_printf ("region-%u", i);
      CfRegion *region = cf_add_region (config, name);

      g_ptr_array_add (region->zones, g_strdup_printf ("region-%u-1", i));
    }
  for (uint32_t i = 0; i < CUSTOMER_COUNT; i++)
    {
      g_autofree char *name = g_strdup_printf ("customer-%u", i);
      CfCustomer *customer = cf_add_customer (config, name);
      CfKey *key = cf_add_key (customer, name);

      customer->rate_per_s = customer->burst = customer->weight = 100;
      memcpy (key->sha256, &i, sizeof i);
    }
  for (uint32_t i = 0; i < block_count; i++)
    {
      /* Blocks of /24, spread evenly over all IPv4 addresses.  */
      uint32_t address
          = (uint32_t)((uint64_t)i * (UINT64_C (1) << 24) / block_count) << 8;
      CfBlock block = { .prefix_bits = 120,
                        .region = (uint16_t)(i * 7 / 3 % REGION_COUNT) };

      block.address[10] = block.address[11] = 0xff;
      for (int byte = 0; byte < 4; byte++)
        block.address[12 + byte] = (uint8_t)(address >> (24 - 8 * byte));
      g_array_append_val (config->blocks, block);
    }
  return config;
}

static gboolean
time_job (CfJob *job, const char *name)
{
  Timing timing = { .name = name };
  g_autoptr (GError) error = NULL;
  CfJobStatus status;

  do
    {
      int64_t start_us = g_get_monotonic_time ();
      int64_t elapsed_us;

      status = cf_job_step (job, CF_STEP_ROWS, &error);
      elapsed_us = g_get_monotonic_time () - start_us;
      timing.total_us += elapsed_us;
      timing.longest_us = MAX (timing.longest_us, elapsed_us);
      timing.step_count++;
    }
  while (status == CF_JOB_RUNNING);
  printf ("%-6s %8.1f ms in %4u steps, longest %6.2f ms\n", timing.name,
          (double)timing.total_us / 1000, timing.step_count,
          (double)timing.longest_us / 1000);
  if (status == CF_JOB_FAILED)
    fprintf (stderr, "%s: %s\n", name, error->message);
  return status == CF_JOB_DONE;
}

static gboolean
time_all_jobs (CfConfig *config)
{
  g_autoptr (CfJob) write = cf_write_begin (config);
  gsize length;

  if (!time_job (write, "write"))
    return FALSE;
  g_autofree char *text = cf_job_take_text (write, &length);
  g_autoptr (GBytes) bytes = g_bytes_new_static (text, length);
  g_autoptr (CfJob) read = cf_read_begin (bytes);
  g_autoptr (CfJob) split = cf_split_begin (config);

  if (!time_job (read, "parse") || !time_job (split, "split"))
    return FALSE;
  g_autoptr (CfManifest) manifest = cf_job_take_manifest (split);
  g_autofree char *json = cf_manifest_to_json (manifest);
  g_autoptr (CfJob) join = cf_join_begin (manifest);

  if (!time_job (join, "join"))
    return FALSE;
  printf ("%u blocks, document %zu bytes, %u parts, manifest %zu bytes\n",
          config->blocks->len, length, manifest->parts->len, strlen (json));
  return TRUE;
}

int
main (int argc, char **argv)
{
  uint32_t count
      = argc > 1 ? (uint32_t)strtoul (argv[1], NULL, 10) : BLOCKS_DEFAULT;
  g_autoptr (CfConfig) config = make_config (MIN (count, CF_ROWS_MAX));

  return time_all_jobs (config) ? EXIT_SUCCESS : EXIT_FAILURE;
}
