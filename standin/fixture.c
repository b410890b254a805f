#include "standin/fixture.h"

#include <string.h>

#define CUSTOMER_COUNT_DEFAULT 8
#define RATE_DEFAULT_PER_S 40
#define LARGE_CUSTOMER_COUNT 2
#define LARGE_RATE_FACTOR 4

static void
add_key (CfCustomer *customer, const char *id, const char *text,
         gboolean revoked)
{
  CfKey *key = cf_add_key (customer, id);
  GChecksum *sum = g_checksum_new (G_CHECKSUM_SHA256);
  gsize length = sizeof key->sha256;

  g_checksum_update (sum, (const guchar *)text, -1);
  g_checksum_get_digest (sum, key->sha256, &length);
  g_checksum_free (sum);
  key->withdrawn = revoked;
}

static void
add_customers (CfConfig *config, const SiFixtureOptions *options)
{
  uint32_t count = options->customers_count == 0 ? CUSTOMER_COUNT_DEFAULT
                                                 : options->customers_count;
  uint32_t rate
      = options->rate_per_s == 0 ? RATE_DEFAULT_PER_S : options->rate_per_s;

  for (uint32_t i = 1; i <= count; i++)
    {
      g_autofree char *name = g_strdup_printf ("c%u", i);
      g_autofree char *key = g_strdup_printf ("key-%s", name);
      g_autofree char *revoked_key = g_strdup_printf ("key-%s-b", name);
      CfCustomer *customer = cf_add_customer (config, name);

      customer->rate_per_s
          = rate * (i <= LARGE_CUSTOMER_COUNT ? LARGE_RATE_FACTOR : 1);
      customer->burst
          = options->burst == 0 ? customer->rate_per_s : options->burst;
      customer->weight = customer->rate_per_s;
      add_key (customer, "a", key, FALSE);
      add_key (customer, "b", revoked_key, TRUE);
    }
}

const char *
si_fixture_service (const SiHarness *harness, uint32_t index)
{
  const GPtrArray *targets = si_targets (harness);
  const SiTarget *target
      = g_ptr_array_index (targets, index == 0 ? 0 : targets->len - 1);
  return target->service;
}

static void
add_services (CfConfig *config, const SiHarness *harness)
{
  for (uint32_t i = 0; i < 2; i++)
    {
      const char *service = si_fixture_service (harness, i);
      g_autofree char *prefix = g_strdup_printf ("/%s", service);
      g_autofree char *view = g_strdup_printf ("/%s/view", service);

      cf_add_service (config, service);
      cf_add_route (config, prefix, service);
      cf_add_route (config, view, service)->idempotent = TRUE;
    }
  cf_add_route (config, "/open", si_fixture_service (harness, 1))->open = TRUE;
}

static CfRegion *
find_region (const CfConfig *config, const char *name)
{
  for (guint i = 0; i < config->regions->len; i++)
    {
      CfRegion *region = g_ptr_array_index (config->regions, i);
      if (strcmp (region->name, name) == 0)
        return region;
    }
  return NULL;
}

static void
add_zone (CfConfig *config, const char *region_name, const char *zone)
{
  CfRegion *region = find_region (config, region_name);

  if (region == NULL)
    region = cf_add_region (config, region_name);
  for (guint i = 0; i < region->zones->len; i++)
    if (strcmp (g_ptr_array_index (region->zones, i), zone) == 0)
      return;
  g_ptr_array_add (region->zones, g_strdup (zone));
}

static void
add_links (CfConfig *config, const SiHarness *harness)
{
  uint32_t mbit_per_s, delay_us;

  si_get_region_link (harness, &mbit_per_s, &delay_us);
  for (guint i = 0; i < config->regions->len; i++)
    for (guint j = 0; j < config->regions->len; j++)
      {
        const CfRegion *from = g_ptr_array_index (config->regions, i);
        const CfRegion *to = g_ptr_array_index (config->regions, j);
        CfLink *link;

        if (i == j)
          continue;
        link = cf_add_link (config, from->name, to->name);
        link->mbit_per_s = mbit_per_s;
        link->delay_us = delay_us;
      }
}

static void
add_block (CfConfig *config, const char *cidr, uint16_t region)
{
  CfBlock block = { 0 };

  g_assert (cf_parse_block (cidr, &block, NULL));
  block.region = region;
  g_array_append_val (config->blocks, block);
}

/* Adds the block 10.N.0.0/16 for the Nth region, and COUNT consecutive blocks
   of 16 addresses from 10.64.0.0 on, assigned to the regions in turn.  */
static void
add_blocks (CfConfig *config, uint32_t count)
{
  uint16_t regions = (uint16_t)config->regions->len;

  g_assert (regions > 0);

  for (uint16_t i = 0; i < regions; i++)
    {
      g_autofree char *cidr = g_strdup_printf ("10.%d.0.0/16", i + 1);
      add_block (config, cidr, i);
    }
  for (uint32_t i = 0; i < count; i++)
    {
      g_autofree char *cidr = g_strdup_printf (
          "10.%u.%u.%u/28", 64 + (i >> 12), (i >> 4) & 255, (i & 15) << 4);
      add_block (config, cidr, (uint16_t)(i % regions));
    }
  cf_sort_blocks (config);
}

CfConfig *
si_fixture_config (const SiHarness *harness, const SiFixtureOptions *options)
{
  CfConfig *config = cf_new ();
  const GPtrArray *vms = si_vms (harness);
  const GPtrArray *targets = si_targets (harness);

  add_customers (config, options);
  add_services (config, harness);
  for (guint i = 0; i < vms->len; i++)
    {
      const SiVm *vm = g_ptr_array_index (vms, i);
      add_zone (config, vm->region, vm->zone);
    }
  for (guint i = 0; i < targets->len; i++)
    {
      const SiTarget *target = g_ptr_array_index (targets, i);
      add_zone (config, target->region, target->zone);
    }
  add_links (config, harness);
  add_blocks (config, options->blocks_count);
  return config;
}
