#include "conf/internal.h"

#include <string.h>

static char *
format_field (const CfField *field, const void *row)
{
  GString *out;

  if (field->type == CF_FIELD_TIME)
    {
      g_autoptr (GDateTime) time = g_date_time_new_from_unix_utc (
          G_STRUCT_MEMBER (int64_t, row, field->offset) / 1000);

      return g_date_time_format (time, "%Y-%m-%dT%H:%M:%SZ");
    }
  out = g_string_new (NULL);
  cf_field_write (field, row, out);
  return g_string_free (out, FALSE);
}

static const CfKey *
find_key (const GPtrArray *keys, const char *id)
{
  for (guint i = 0; i < keys->len; i++)
    {
      const CfKey *key = g_ptr_array_index (keys, i);

      if (strcmp (key->id, id) == 0)
        return key;
    }
  return NULL;
}

static void
diff_keys (GPtrArray *lines, const char *label, const GPtrArray *from,
           const GPtrArray *to)
{
  for (guint i = 0; i < from->len; i++)
    {
      const CfKey *old = g_ptr_array_index (from, i);
      const CfKey *new = find_key (to, old->id);
      const char *change = NULL;

      if (new == NULL)
        change = "removed";
      else if (memcmp (old->sha256, new->sha256, CF_SHA256_BYTES) != 0)
        change = "has a new SHA-256";
      else if (old->withdrawn != new->withdrawn)
        change = new->withdrawn ? "withdrawn" : "no longer withdrawn";
      if (change != NULL)
        g_ptr_array_add (
            lines, g_strdup_printf ("%s: key %s %s", label, old->id, change));
    }
  for (guint i = 0; i < to->len; i++)
    {
      const CfKey *new = g_ptr_array_index (to, i);

      if (find_key (from, new->id) == NULL)
        g_ptr_array_add (
            lines, g_strdup_printf ("%s: key %s added%s", label, new->id,
                                    new->withdrawn ? ", withdrawn" : ""));
    }
}

static void
diff_row (GPtrArray *lines, const CfSchema *schema, const char *label,
          const void *old, const void *new)
{
  for (uint32_t i = 0; i < schema->field_count; i++)
    {
      const CfField *field = &schema->fields[i];

      if (field->type == CF_FIELD_ROWS)
        {
          diff_keys (lines, label,
                     G_STRUCT_MEMBER (GPtrArray *, old, field->offset),
                     G_STRUCT_MEMBER (GPtrArray *, new, field->offset));
          continue;
        }
      g_autofree char *old_text = format_field (field, old);
      g_autofree char *new_text = format_field (field, new);

      if (strcmp (old_text, new_text) != 0)
        g_ptr_array_add (lines,
                         g_strdup_printf ("%s: %s %s -> %s", label,
                                          field->name, old_text, new_text));
    }
}

/* Adds one line with the fields of NEW that differ from an empty row, then one
   line for each key.  */
static void
diff_added (GPtrArray *lines, const CfSchema *schema, const char *name,
            const void *new)
{
  g_autofree char *label = g_strdup_printf ("%s %s", schema->type_name, name);
  g_autoptr (GPtrArray) no_keys = g_ptr_array_new ();
  GString *line = g_string_new (label);
  void *empty_row = cf_row_new (schema);

  g_string_append (line, ": added");
  for (uint32_t i = schema->identity_field_count; i < schema->field_count; i++)
    {
      const CfField *field = &schema->fields[i];
      g_autofree char *old_text = format_field (field, empty_row);
      g_autofree char *new_text = format_field (field, new);

      if (field->type != CF_FIELD_ROWS && strcmp (old_text, new_text) != 0)
        g_string_append_printf (line, ", %s %s", field->name, new_text);
    }
  g_ptr_array_add (lines, g_string_free (line, FALSE));
  for (uint32_t i = 0; i < schema->field_count; i++)
    if (schema->fields[i].type == CF_FIELD_ROWS)
      diff_keys (lines, label, no_keys,
                 G_STRUCT_MEMBER (GPtrArray *, new, schema->fields[i].offset));
  cf_row_free (schema, empty_row);
}

static GHashTable *
index_rows (const CfSchema *schema, const GPtrArray *rows)
{
  GHashTable *index
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);

  for (guint i = 0; i < rows->len; i++)
    {
      void *row = g_ptr_array_index (rows, i);

      g_hash_table_insert (index, cf_row_identity (schema, row), row);
    }
  return index;
}

static void
diff_section (GPtrArray *lines, const CfSchema *schema, const GPtrArray *from,
              const GPtrArray *to)
{
  g_autoptr (GHashTable) old_rows = index_rows (schema, from);
  g_autoptr (GHashTable) new_rows = index_rows (schema, to);

  for (guint i = 0; i < from->len; i++)
    {
      const void *old = g_ptr_array_index (from, i);
      g_autofree char *name = cf_row_identity (schema, old);
      g_autofree char *label
          = g_strdup_printf ("%s %s", schema->type_name, name);
      const void *new = g_hash_table_lookup (new_rows, name);

      if (new == NULL)
        g_ptr_array_add (lines, g_strdup_printf ("%s: removed", label));
      else
        diff_row (lines, schema, label, old, new);
    }
  for (guint i = 0; i < to->len; i++)
    {
      const void *new = g_ptr_array_index (to, i);
      g_autofree char *name = cf_row_identity (schema, new);

      if (g_hash_table_contains (old_rows, name))
        continue;
      diff_added (lines, schema, name, new);
    }
}

static const char *
region_name (const CfConfig *config, const CfBlock *block)
{
  return ((const CfRegion *)g_ptr_array_index (config->regions, block->region))
      ->name;
}

static void
diff_block (GPtrArray *lines, const CfBlock *block, const char *old_region,
            const char *new_region)
{
  g_autofree char *cidr = cf_format_block (block);

  if (old_region == NULL)
    g_ptr_array_add (lines, g_strdup_printf ("block %s: added, region %s",
                                             cidr, new_region));
  else if (new_region == NULL)
    g_ptr_array_add (lines, g_strdup_printf ("block %s: removed", cidr));
  else if (strcmp (old_region, new_region) != 0)
    g_ptr_array_add (lines, g_strdup_printf ("block %s: region %s -> %s", cidr,
                                             old_region, new_region));
}

static void
diff_blocks (GPtrArray *lines, const CfConfig *from, const CfConfig *to)
{
  guint i = 0;
  guint j = 0;

  while (i < from->blocks->len && j < to->blocks->len)
    {
      const CfBlock *old = &g_array_index (from->blocks, CfBlock, i);
      const CfBlock *new = &g_array_index (to->blocks, CfBlock, j);
      int order = cf_block_compare (old, new);

      diff_block (lines, order <= 0 ? old : new,
                  order <= 0 ? region_name (from, old) : NULL,
                  order >= 0 ? region_name (to, new) : NULL);
      i += order <= 0;
      j += order >= 0;
    }
  /* The region of a removed block is not printed.  */
  for (; i < from->blocks->len; i++)
    diff_block (lines, &g_array_index (from->blocks, CfBlock, i), "", NULL);
  for (; j < to->blocks->len; j++)
    {
      const CfBlock *new = &g_array_index (to->blocks, CfBlock, j);

      diff_block (lines, new, NULL, region_name (to, new));
    }
}

GPtrArray *
cf_diff (const CfConfig *from, const CfConfig *to)
{
  GPtrArray *lines = g_ptr_array_new_with_free_func (g_free);

  if (strcmp (from->sheet_date, to->sheet_date) != 0)
    g_ptr_array_add (lines,
                     g_strdup_printf ("sheet: date \"%s\" -> \"%s\"",
                                      from->sheet_date, to->sheet_date));
  for (uint32_t i = 0; i < cf_section_count; i++)
    diff_section (lines, cf_sections[i],
                  cf_section_rows (from, cf_sections[i]),
                  cf_section_rows (to, cf_sections[i]));
  diff_blocks (lines, from, to);
  return lines;
}
