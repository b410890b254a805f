#include "conf/internal.h"

#include <string.h>

static const CfField part_fields[] = {
  { "name", CF_FIELD_TEXT, offsetof (CfPart, name) },
  { "size_bytes", CF_FIELD_U32, offsetof (CfPart, size_bytes), .min = 1,
    .max = CF_PART_MAX_BYTES },
};

/* Without the SHA-256, which CfPart holds as hex digits and CF_FIELD_SHA256
   would read as bytes; read_part reads it.  */
static const CfSchema part_schema = {
  .section = "parts",
  .type_name = "part",
  .size_bytes = sizeof (CfPart),
  .identity_field_count = 1,
  .fields = part_fields,
  .field_count = G_N_ELEMENTS (part_fields),
};

static void
part_free (void *data)
{
  CfPart *part = data;

  g_clear_pointer (&part->content, g_bytes_unref);
  cf_row_free (&part_schema, part);
}

static CfManifest *
new_empty_manifest (void)
{
  CfManifest *manifest = g_new0 (CfManifest, 1);

  manifest->parts = g_ptr_array_new_with_free_func (part_free);
  return manifest;
}

CfManifest *
cf_manifest_new (const CfConfig *config)
{
  CfManifest *manifest = new_empty_manifest ();

  manifest->version = config->version;
  manifest->op_id = g_strdup (config->op_id);
  manifest->author = g_strdup (config->author);
  manifest->written_ms = config->written_ms;
  manifest->sheet_date = g_strdup (config->sheet_date);
  return manifest;
}

void
cf_manifest_free (CfManifest *manifest)
{
  if (manifest == NULL)
    return;
  g_ptr_array_unref (manifest->parts);
  g_free (manifest->op_id);
  g_free (manifest->author);
  g_free (manifest->sheet_date);
  g_free (manifest);
}

static void
hash_content (GBytes *content, char *sha256)
{
  g_autofree char *hex
      = g_compute_checksum_for_bytes (G_CHECKSUM_SHA256, content);

  memcpy (sha256, hex, 2 * CF_SHA256_BYTES + 1);
}

void
cf_manifest_add_part (CfManifest *manifest, char *name, GBytes *content)
{
  CfPart *part = g_new0 (CfPart, 1);

  part->name = name;
  part->content = content;
  part->size_bytes = (uint32_t)g_bytes_get_size (content);
  hash_content (content, part->sha256);
  g_ptr_array_add (manifest->parts, part);
}

uint32_t
cf_manifest_set_content (CfManifest *manifest, GBytes *content)
{
  char sha256[2 * CF_SHA256_BYTES + 1];
  uint32_t count = 0;

  hash_content (content, sha256);
  for (guint i = 0; i < manifest->parts->len; i++)
    {
      CfPart *part = g_ptr_array_index (manifest->parts, i);

      if (strcmp (part->sha256, sha256) != 0)
        continue;
      g_clear_pointer (&part->content, g_bytes_unref);
      part->content = g_bytes_ref (content);
      count++;
    }
  return count;
}

uint32_t
cf_manifest_reuse_parts (CfManifest *manifest, const CfManifest *known)
{
  g_autoptr (GHashTable) contents = g_hash_table_new (g_str_hash, g_str_equal);
  uint32_t missing = 0;

  for (guint i = 0; known != NULL && i < known->parts->len; i++)
    {
      CfPart *part = g_ptr_array_index (known->parts, i);

      if (part->content != NULL)
        g_hash_table_insert (contents, part->sha256, part->content);
    }
  for (guint i = 0; i < manifest->parts->len; i++)
    {
      CfPart *part = g_ptr_array_index (manifest->parts, i);
      GBytes *content = g_hash_table_lookup (contents, part->sha256);

      if (part->content == NULL && content != NULL)
        part->content = g_bytes_ref (content);
      missing += part->content == NULL;
    }
  return missing;
}

char *
cf_manifest_to_json (const CfManifest *manifest)
{
  GString *out = g_string_new (NULL);

  g_string_append_printf (
      out, "{\"version\":%" G_GUINT64_FORMAT ",\"op_id\":", manifest->version);
  cf_string_write (manifest->op_id, out);
  g_string_append (out, ",\"author\":");
  cf_string_write (manifest->author, out);
  g_string_append_printf (out, ",\"written_ms\":%" G_GINT64_FORMAT,
                          manifest->written_ms);
  g_string_append (out, ",\"sheet_date\":");
  cf_string_write (manifest->sheet_date, out);
  g_string_append (out, ",\"parts\":[");
  for (guint i = 0; i < manifest->parts->len; i++)
    {
      const CfPart *part = g_ptr_array_index (manifest->parts, i);

      g_string_append_printf (
          out, "%s{\"name\":\"%s\",\"sha256\":\"%s\",\"size_bytes\":%u}",
          i == 0 ? "\n" : ",\n", part->name, part->sha256, part->size_bytes);
    }
  g_string_append (out, "]}\n");
  return g_string_free (out, FALSE);
}

static gboolean
fail (GError **error, const char *problem)
{
  g_set_error (error, CF_ERROR, CF_ERROR_FIELD, "manifest: %s", problem);
  return FALSE;
}

static gboolean
read_part (CfManifest *manifest, struct json_object *item, GError **error)
{
  CfPart *part = cf_row_new (&part_schema);
  uint8_t sha256[CF_SHA256_BYTES];
  struct json_object *value = NULL;

  g_ptr_array_add (manifest->parts, part);
  if (!json_object_object_get_ex (item, "sha256", &value)
      || !json_object_is_type (value, json_type_string)
      || !cf_parse_sha256 (json_object_get_string (value), sha256))
    return fail (error, "a part has no valid SHA-256");
  cf_format_sha256 (sha256, part->sha256);
  json_object_object_del (item, "sha256");
  return cf_row_read (&part_schema, item, part, "manifest.parts[]", error);
}

/* The fields other than parts are the scalar fields of a document, so they are
   read into an empty configuration.  */
static gboolean
read_manifest (CfManifest *manifest, struct json_object *root, GError **error)
{
  g_autoptr (CfConfig) document = cf_new ();
  struct json_object *parts = NULL;

  if (!json_object_is_type (root, json_type_object)
      || !json_object_object_get_ex (root, "parts", &parts)
      || !json_object_is_type (parts, json_type_array))
    return fail (error, "has no array of parts");
  for (size_t i = 0; i < json_object_array_length (parts); i++)
    {
      struct json_object *item = json_object_array_get_idx (parts, i);

      if (!json_object_is_type (item, json_type_object))
        return fail (error, "a part is not an object");
      if (!read_part (manifest, item, error))
        return FALSE;
    }
  json_object_object_del (root, "parts");
  if (!cf_row_read (&cf_document_schema, root, document, "manifest", error))
    return FALSE;
  manifest->version = document->version;
  manifest->written_ms = document->written_ms;
  manifest->op_id = g_steal_pointer (&document->op_id);
  manifest->author = g_steal_pointer (&document->author);
  manifest->sheet_date = g_steal_pointer (&document->sheet_date);
  return TRUE;
}

CfManifest *
cf_manifest_from_json (const char *text, gsize length, GError **error)
{
  struct json_tokener *tokener = json_tokener_new ();
  CfManifest *manifest = new_empty_manifest ();
  struct json_object *root = NULL;
  gboolean ok = FALSE;

  json_tokener_set_flags (tokener,
                          JSON_TOKENER_STRICT | JSON_TOKENER_VALIDATE_UTF8);
  if (length < G_MAXINT)
    root = json_tokener_parse_ex (tokener, text, (int)length);
  if (root != NULL)
    ok = read_manifest (manifest, root, error);
  else
    g_set_error (error, CF_ERROR, CF_ERROR_SYNTAX, "manifest: byte %zu: %s",
                 json_tokener_get_parse_end (tokener),
                 json_tokener_error_desc (json_tokener_get_error (tokener)));
  json_object_put (root);
  json_tokener_free (tokener);
  if (ok)
    return manifest;
  cf_manifest_free (manifest);
  return NULL;
}
