#include "conf/internal.h"

#include <string.h>

static char *
field_text (const CfField *field, const void *row)
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
diff_keys (GPtrArray *lines, const char *owner, const GPtrArray *from,
           const GPtrArray *to)
{
  for (guint i = 0; i < from->len; i++)
    {
      const CfKey *old = g_ptr_array_index (from, i);
      const CfKey *now = find_key (to, old->id);
      const char *what = NULL;

      if (now == NULL)
        what = "removed";
      else if (memcmp (old->sha256, now->sha256, CF_SHA256_BYTES) != 0)
        what = "has another value";
      else if (old->withdrawn != now->withdrawn)
        what = now->withdrawn ? "withdrawn" : "no longer withdrawn";
      if (what != NULL)
        g_ptr_array_add (
            lines, g_strdup_printf ("%s: key %s %s", owner, old->id, what));
    }
  for (guint i = 0; i < to->len; i++)
    {
      const CfKey *now = g_ptr_array_index (to, i);

      if (find_key (from, now->id) == NULL)
        g_ptr_array_add (
            lines, g_strdup_printf ("%s: key %s added%s", owner, now->id,
                                    now->withdrawn ? ", withdrawn" : ""));
    }
}

static void
diff_row (GPtrArray *lines, const CfSchema *schema, const char *owner,
          const void *old, const void *now)
{
  for (uint32_t i = 0; i < schema->field_count; i++)
    {
      const CfField *field = &schema->fields[i];

      if (field->type == CF_FIELD_ROWS)
        {
          diff_keys (lines, owner,
                     G_STRUCT_MEMBER (GPtrArray *, old, field->offset),
                     G_STRUCT_MEMBER (GPtrArray *, now, field->offset));
          continue;
        }
      g_autofree char *old_text = field_text (field, old);
      g_autofree char *now_text = field_text (field, now);

      if (strcmp (old_text, now_text) != 0)
        g_ptr_array_add (lines,
                         g_strdup_printf ("%s: %s %s -> %s", owner,
                                          field->name, old_text, now_text));
    }
}

/* One line with the fields that differ from an empty row, then the keys.  */
static void
diff_added (GPtrArray *lines, const CfSchema *schema, const char *name,
            const void *now)
{
  g_autofree char *owner = g_strdup_printf ("%s %s", schema->noun, name);
  g_autoptr (GPtrArray) none = g_ptr_array_new ();
  GString *line = g_string_new (owner);
  void *empty = cf_row_new (schema);

  g_string_append (line, ": added");
  for (uint32_t i = schema->identity_count; i < schema->field_count; i++)
    {
      const CfField *field = &schema->fields[i];
      g_autofree char *old_text = field_text (field, empty);
      g_autofree char *now_text = field_text (field, now);

      if (field->type != CF_FIELD_ROWS && strcmp (old_text, now_text) != 0)
        g_string_append_printf (line, ", %s %s", field->name, now_text);
    }
  g_ptr_array_add (lines, g_string_free (line, FALSE));
  for (uint32_t i = 0; i < schema->field_count; i++)
    if (schema->fields[i].type == CF_FIELD_ROWS)
      diff_keys (lines, owner, none,
                 G_STRUCT_MEMBER (GPtrArray *, now, schema->fields[i].offset));
  cf_row_free (schema, empty);
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
  g_autoptr (GHashTable) now_rows = index_rows (schema, to);

  for (guint i = 0; i < from->len; i++)
    {
      const void *old = g_ptr_array_index (from, i);
      g_autofree char *name = cf_row_identity (schema, old);
      g_autofree char *owner = g_strdup_printf ("%s %s", schema->noun, name);
      const void *now = g_hash_table_lookup (now_rows, name);

      if (now == NULL)
        g_ptr_array_add (lines, g_strdup_printf ("%s: removed", owner));
      else
        diff_row (lines, schema, owner, old, now);
    }
  for (guint i = 0; i < to->len; i++)
    {
      const void *now = g_ptr_array_index (to, i);
      g_autofree char *name = cf_row_identity (schema, now);

      if (g_hash_table_contains (old_rows, name))
        continue;
      diff_added (lines, schema, name, now);
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
            const char *now_region)
{
  g_autofree char *cidr = cf_format_block (block);

  if (old_region == NULL)
    g_ptr_array_add (lines, g_strdup_printf ("block %s: added, region %s",
                                             cidr, now_region));
  else if (now_region == NULL)
    g_ptr_array_add (lines, g_strdup_printf ("block %s: removed", cidr));
  else if (strcmp (old_region, now_region) != 0)
    g_ptr_array_add (lines, g_strdup_printf ("block %s: region %s -> %s", cidr,
                                             old_region, now_region));
}

static void
diff_blocks (GPtrArray *lines, const CfConfig *from, const CfConfig *to)
{
  guint i = 0;
  guint j = 0;

  while (i < from->blocks->len && j < to->blocks->len)
    {
      const CfBlock *old = &g_array_index (from->blocks, CfBlock, i);
      const CfBlock *now = &g_array_index (to->blocks, CfBlock, j);
      int order = cf_block_compare (old, now);

      diff_block (lines, order <= 0 ? old : now,
                  order <= 0 ? region_name (from, old) : NULL,
                  order >= 0 ? region_name (to, now) : NULL);
      i += order <= 0;
      j += order >= 0;
    }
  for (; i < from->blocks->len; i++)
    diff_block (lines, &g_array_index (from->blocks, CfBlock, i), "", NULL);
  for (; j < to->blocks->len; j++)
    {
      const CfBlock *now = &g_array_index (to->blocks, CfBlock, j);

      diff_block (lines, now, NULL, region_name (to, now));
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
    diff_section (lines, cf_sections[i], cf_rows (from, cf_sections[i]),
                  cf_rows (to, cf_sections[i]));
  diff_blocks (lines, from, to);
  return lines;
}
