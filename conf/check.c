#include "conf/internal.h"

#include <string.h>

static gboolean
fail (GError **error, CfError code, const char *type_name, const char *name,
      const char *problem, const char *detail)
{
  g_set_error (error, CF_ERROR, code, "%s \"%s\": %s%s%s%s", type_name, name,
               problem, detail != NULL ? " \"" : "",
               detail != NULL ? detail : "", detail != NULL ? "\"" : "");
  return FALSE;
}

/* Checks each row by itself, and that no two have the same identity.  Adds the
   identities to IDENTITIES.  */
static gboolean
check_section (const CfConfig *config, const CfSchema *schema,
               GHashTable *identities, GError **error)
{
  GPtrArray *rows = cf_section_rows (config, schema);

  if (rows->len > CF_SECTION_ROWS_MAX)
    {
      g_set_error (error, CF_ERROR, CF_ERROR_RANGE, "%s: more than %d rows",
                   schema->section, CF_SECTION_ROWS_MAX);
      return FALSE;
    }
  for (guint i = 0; i < rows->len; i++)
    {
      const void *row = g_ptr_array_index (rows, i);
      char *identity;

      if (!cf_row_check (schema, row, error))
        {
          g_prefix_error (error, "%s[%u].", schema->section, i);
          return FALSE;
        }
      identity = cf_row_identity (schema, row);
      if (g_hash_table_contains (identities, identity))
        {
          fail (error, CF_ERROR_DUPLICATE, schema->type_name, identity,
                "occurs twice", NULL);
          g_free (identity);
          return FALSE;
        }
      g_hash_table_add (identities, identity);
    }
  return TRUE;
}

static GHashTable *
new_name_set (void)
{
  return g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
}

/* A key shared by two customers would let each of them act as the other.  */
static gboolean
check_keys (const CfCustomer *customer, GHashTable *key_hashes, GError **error)
{
  for (guint i = 0; i < customer->keys->len; i++)
    {
      const CfKey *key = g_ptr_array_index (customer->keys, i);
      char hex[2 * CF_SHA256_BYTES + 1];

      for (guint j = 0; j < i; j++)
        if (strcmp (key->id,
                    ((CfKey *)g_ptr_array_index (customer->keys, j))->id)
            == 0)
          return fail (error, CF_ERROR_DUPLICATE, "customer", customer->name,
                       "has a key id that occurs twice:", key->id);
      cf_format_sha256 (key->sha256, hex);
      if (!g_hash_table_add (key_hashes, g_strdup (hex)))
        return fail (error, CF_ERROR_DUPLICATE, "customer", customer->name,
                     "has a key with the SHA-256 of another key:", key->id);
    }
  return TRUE;
}

static gboolean
check_all_keys (const CfConfig *config, GError **error)
{
  g_autoptr (GHashTable) key_hashes = new_name_set ();

  for (guint i = 0; i < config->customers->len; i++)
    {
      const CfCustomer *customer = g_ptr_array_index (config->customers, i);

      if (!check_keys (customer, key_hashes, error))
        return FALSE;
    }
  return TRUE;
}

static gboolean
check_zones (const CfConfig *config, GHashTable *zones, GError **error)
{
  for (guint i = 0; i < config->regions->len; i++)
    {
      const CfRegion *region = g_ptr_array_index (config->regions, i);

      for (guint j = 0; j < region->zones->len; j++)
        {
          const char *zone = g_ptr_array_index (region->zones, j);

          if (!g_hash_table_add (zones, g_strdup (zone)))
            return fail (error, CF_ERROR_DUPLICATE, "region", region->name,
                         "has a zone that occurs twice:", zone);
        }
    }
  return TRUE;
}

static gboolean
check_link (const CfLink *link, GHashTable *regions, GError **error)
{
  g_autofree char *name = g_strdup_printf ("%s -> %s", link->from, link->to);

  if (!g_hash_table_contains (regions, link->from))
    return fail (error, CF_ERROR_REFERENCE, "link", name, "there is no region",
                 link->from);
  if (!g_hash_table_contains (regions, link->to))
    return fail (error, CF_ERROR_REFERENCE, "link", name, "there is no region",
                 link->to);
  if (strcmp (link->from, link->to) == 0)
    return fail (error, CF_ERROR_RANGE, "link", name,
                 "connects a region to itself", NULL);
  return TRUE;
}

static gboolean
check_drain (const CfDrain *drain, GHashTable *regions, GHashTable *zones,
             GError **error)
{
  if (drain->end_ms <= drain->start_ms)
    return fail (error, CF_ERROR_RANGE, "drain", drain->name,
                 "ends before it starts", NULL);
  if (drain->kind == CF_DRAIN_ZONE
      && !g_hash_table_contains (zones, drain->object))
    return fail (error, CF_ERROR_REFERENCE, "drain", drain->name,
                 "there is no zone", drain->object);
  if (drain->kind == CF_DRAIN_REGION
      && !g_hash_table_contains (regions, drain->object))
    return fail (error, CF_ERROR_REFERENCE, "drain", drain->name,
                 "there is no region", drain->object);
  return TRUE;
}

static gboolean
check_shift (const CfShift *shift, GHashTable *regions, GHashTable *services,
             GError **error)
{
  const char *const endpoints[] = { shift->from, shift->to };

  if (!g_hash_table_contains (services, shift->service))
    return fail (error, CF_ERROR_REFERENCE, "shift", shift->name,
                 "there is no service", shift->service);
  for (int i = 0; i < 2; i++)
    if (!g_hash_table_contains (regions, endpoints[i]))
      return fail (error, CF_ERROR_REFERENCE, "shift", shift->name,
                   "there is no region", endpoints[i]);
  if (strcmp (shift->from, shift->to) == 0)
    return fail (error, CF_ERROR_RANGE, "shift", shift->name,
                 "moves requests from a region to itself", NULL);
  if (shift->end_ms <= shift->start_ms)
    return fail (error, CF_ERROR_RANGE, "shift", shift->name,
                 "ends before it starts", NULL);
  if (shift->ramp_ms > shift->end_ms - shift->start_ms)
    return fail (error, CF_ERROR_RANGE, "shift", shift->name,
                 "has a ramp longer than its duration", NULL);
  return TRUE;
}

static gboolean
check_blocks (const CfConfig *config, GError **error)
{
  for (guint i = 0; i < config->blocks->len; i++)
    {
      const CfBlock *block = &g_array_index (config->blocks, CfBlock, i);
      int order = i == 0 ? -1 : cf_block_compare (block - 1, block);

      if (block->region < config->regions->len && order < 0)
        continue;
      g_autofree char *cidr = cf_format_block (block);

      if (block->region >= config->regions->len)
        return fail (error, CF_ERROR_REFERENCE, "block", cidr,
                     "its region does not exist", NULL);
      if (order == 0)
        return fail (error, CF_ERROR_DUPLICATE, "block", cidr, "occurs twice",
                     NULL);
      return fail (error, CF_ERROR_RANGE, "block", cidr,
                   "is out of address order", NULL);
    }
  return TRUE;
}

static gboolean
check_references (const CfConfig *config, GHashTable *services,
                  GHashTable *regions, GHashTable *zones, GError **error)
{
  for (guint i = 0; i < config->routes->len; i++)
    {
      const CfRoute *route = g_ptr_array_index (config->routes, i);

      if (!g_hash_table_contains (services, route->service))
        return fail (error, CF_ERROR_REFERENCE, "route", route->prefix,
                     "there is no service", route->service);
    }
  for (guint i = 0; i < config->links->len; i++)
    if (!check_link (g_ptr_array_index (config->links, i), regions, error))
      return FALSE;
  for (guint i = 0; i < config->drains->len; i++)
    if (!check_drain (g_ptr_array_index (config->drains, i), regions, zones,
                      error))
      return FALSE;
  for (guint i = 0; i < config->shifts->len; i++)
    if (!check_shift (g_ptr_array_index (config->shifts, i), regions, services,
                      error))
      return FALSE;
  return TRUE;
}

gboolean
cf_check (const CfConfig *config, GError **error)
{
  g_autoptr (GHashTable) zones = new_name_set ();
  g_autoptr (GPtrArray) identity_sets
      = g_ptr_array_new_with_free_func ((GDestroyNotify)g_hash_table_unref);
  GHashTable *services = NULL;
  GHashTable *regions = NULL;

  if (!cf_row_check (&cf_document_schema, config, error))
    return FALSE;
  for (uint32_t i = 0; i < cf_section_count; i++)
    {
      GHashTable *set = new_name_set ();

      g_ptr_array_add (identity_sets, set);
      if (cf_section_rows (config, cf_sections[i]) == config->services)
        services = set;
      if (cf_section_rows (config, cf_sections[i]) == config->regions)
        regions = set;
      if (!check_section (config, cf_sections[i], set, error))
        return FALSE;
    }
  return check_all_keys (config, error) && check_zones (config, zones, error)
         && check_references (config, services, regions, zones, error)
         && check_blocks (config, error);
}
