#include "conf/internal.h"

#include <inttypes.h>
#include <string.h>

static gboolean
fail (GError **error, CfError code, const char *path, const char *what)
{
  g_set_error (error, CF_ERROR, code, "%s: %s", path, what);
  return FALSE;
}

static gboolean
text_is_plain (const char *text)
{
  for (; *text != '\0'; text++)
    if ((unsigned char)*text < ' ' || *text == 0x7f)
      return FALSE;
  return TRUE;
}

gboolean
cf_is_prefix (const char *text)
{
  return text[0] == '/' && strlen (text) <= CF_PREFIX_MAX_BYTES
         && strpbrk (text, "?# ") == NULL && text_is_plain (text)
         && g_utf8_validate (text, -1, NULL);
}

/* What is wrong with TEXT, or NULL.  */
static const char *
text_fault (const CfField *field, const char *text)
{
  if (field->type == CF_FIELD_PREFIX)
    return cf_is_prefix (text) ? NULL : "is not a path such as /boards/";
  if (field->type == CF_FIELD_TEXT)
    return strlen (text) <= CF_TEXT_MAX_BYTES && text_is_plain (text)
                   && g_utf8_validate (text, -1, NULL)
               ? NULL
               : "is longer than 128 bytes or has control characters";
  return cf_is_name (text) ? NULL : "is not 1 to 63 bytes of [a-z0-9-]";
}

static gboolean
check_text (const CfField *field, const char *text, const char *path,
            GError **error)
{
  const char *fault = text_fault (field, text);

  return fault == NULL || fail (error, CF_ERROR_RANGE, path, fault);
}

static gboolean
check_number (const CfField *field, int64_t number, const char *path,
              GError **error)
{
  if (number >= field->min && number <= field->max)
    return TRUE;
  g_set_error (error, CF_ERROR, CF_ERROR_RANGE,
               "%s: %" PRId64 " is not within %" PRId64 " and %" PRId64, path,
               number, field->min, field->max);
  return FALSE;
}

static gboolean
read_string (const CfField *field, struct json_object *value, char **slot,
             const char *path, GError **error)
{
  const char *text;

  if (!json_object_is_type (value, json_type_string))
    return fail (error, CF_ERROR_FIELD, path, "is not a string");
  text = json_object_get_string (value);
  if (strlen (text) != (size_t)json_object_get_string_len (value))
    return fail (error, CF_ERROR_FIELD, path, "contains a NUL character");
  if (!check_text (field, text, path, error))
    return FALSE;
  g_free (*slot);
  *slot = g_strdup (text);
  return TRUE;
}

static gboolean
read_number (const CfField *field, struct json_object *value, void *slot,
             const char *path, GError **error)
{
  int64_t number;

  if (!json_object_is_type (value, json_type_int))
    return fail (error, CF_ERROR_FIELD, path, "is not a whole number");
  number = json_object_get_int64 (value);
  if (!check_number (field, number, path, error))
    return FALSE;
  if (field->type == CF_FIELD_U32)
    *(uint32_t *)slot = (uint32_t)number;
  else
    *(int64_t *)slot = number;
  return TRUE;
}

static gboolean
read_word (const CfField *field, struct json_object *value, int *slot,
           const char *path, GError **error)
{
  for (int i = 0; json_object_is_type (value, json_type_string)
                  && field->words[i] != NULL;
       i++)
    if (strcmp (field->words[i], json_object_get_string (value)) == 0)
      {
        *slot = i;
        return TRUE;
      }
  g_autofree char *words = g_strjoinv (", ", (char **)field->words);
  g_autofree char *what = g_strdup_printf ("is none of %s", words);

  return fail (error, CF_ERROR_RANGE, path, what);
}

/* The value stays out of the message: it may be a plain key.  */
static gboolean
read_sha256 (struct json_object *value, uint8_t *slot, const char *path,
             GError **error)
{
  if (json_object_is_type (value, json_type_string)
      && cf_parse_sha256 (json_object_get_string (value), slot))
    return TRUE;
  return fail (error, CF_ERROR_RANGE, path,
               "is not a SHA-256 of 64 lower-case hex digits");
}

static gboolean
read_array (const CfField *field, struct json_object *value, GPtrArray *slot,
            const char *path, GError **error)
{
  static const CfField name = { .type = CF_FIELD_NAME };

  if (!json_object_is_type (value, json_type_array))
    return fail (error, CF_ERROR_FIELD, path, "is not an array");
  if (!check_number (field, (int64_t)json_object_array_length (value), path,
                     error))
    return FALSE;
  for (size_t i = 0; i < json_object_array_length (value); i++)
    {
      g_autofree char *member = g_strdup_printf ("%s[%zu]", path, i);
      struct json_object *item = json_object_array_get_idx (value, i);
      gboolean done;

      if (field->type == CF_FIELD_ROWS)
        {
          g_ptr_array_add (slot, cf_row_new (field->rows));
          done = cf_row_read (field->rows, item,
                              g_ptr_array_index (slot, slot->len - 1), member,
                              error);
        }
      else
        {
          g_ptr_array_add (slot, g_strdup (""));
          done = read_string (
              &name, item, (char **)&g_ptr_array_index (slot, slot->len - 1),
              member, error);
        }
      if (!done)
        return FALSE;
    }
  return TRUE;
}

gboolean
cf_field_read (const CfField *field, struct json_object *value, void *row,
               const char *path, GError **error)
{
  void *slot = G_STRUCT_MEMBER_P (row, field->offset);

  switch (field->type)
    {
    case CF_FIELD_NAME:
    case CF_FIELD_TEXT:
    case CF_FIELD_PREFIX:
      return read_string (field, value, slot, path, error);
    case CF_FIELD_U32:
    case CF_FIELD_U64:
    case CF_FIELD_I64:
    case CF_FIELD_TIME:
      return read_number (field, value, slot, path, error);
    case CF_FIELD_BOOL:
      if (!json_object_is_type (value, json_type_boolean))
        return fail (error, CF_ERROR_FIELD, path, "is not true or false");
      *(gboolean *)slot = json_object_get_boolean (value);
      return TRUE;
    case CF_FIELD_WORD:
      return read_word (field, value, slot, path, error);
    case CF_FIELD_SHA256:
      return read_sha256 (value, slot, path, error);
    case CF_FIELD_NAMES:
    case CF_FIELD_ROWS:
      return read_array (field, value, *(GPtrArray **)slot, path, error);
    }
  g_assert_not_reached ();
}

static const CfField *
find_field (const CfSchema *schema, const char *name)
{
  for (uint32_t i = 0; i < schema->field_count; i++)
    if (strcmp (schema->fields[i].name, name) == 0)
      return &schema->fields[i];
  return NULL;
}

gboolean
cf_row_read (const CfSchema *schema, struct json_object *object, void *row,
             const char *path, GError **error)
{
  if (!json_object_is_type (object, json_type_object))
    return fail (error, CF_ERROR_FIELD, path, "is not an object");
  json_object_object_foreach (object, key, value)
  {
    const CfField *field = find_field (schema, key);
    g_autofree char *member = g_strdup_printf ("%s.%.64s", path, key);

    if (field == NULL)
      return fail (error, CF_ERROR_FIELD, member, "there is no such field");
    if (!cf_field_read (field, value, row, member, error))
      return FALSE;
  }
  for (uint32_t i = 0; i < schema->field_count; i++)
    if (!schema->fields[i].optional
        && !json_object_object_get_ex (object, schema->fields[i].name, NULL))
      {
        g_autofree char *member
            = g_strdup_printf ("%s.%s", path, schema->fields[i].name);

        return fail (error, CF_ERROR_FIELD, member, "is missing");
      }
  return TRUE;
}

static gboolean
check_members (const CfField *field, const GPtrArray *members, GError **error)
{
  static const CfField name = { .type = CF_FIELD_NAME };

  if (!check_number (field, members->len, field->name, error))
    return FALSE;
  for (guint i = 0; i < members->len; i++)
    {
      const void *item = g_ptr_array_index (members, i);

      if (field->type == CF_FIELD_ROWS
              ? cf_row_check (field->rows, item, error)
              : check_text (&name, item, "name", error))
        continue;
      g_prefix_error (error, "%s[%u].", field->name, i);
      return FALSE;
    }
  return TRUE;
}

static gboolean
field_check (const CfField *field, const void *slot, GError **error)
{
  switch (field->type)
    {
    case CF_FIELD_NAME:
    case CF_FIELD_TEXT:
    case CF_FIELD_PREFIX:
      return check_text (field, *(char *const *)slot, field->name, error);
    case CF_FIELD_U32:
      return check_number (field, *(const uint32_t *)slot, field->name, error);
    case CF_FIELD_U64:
    case CF_FIELD_I64:
    case CF_FIELD_TIME:
      return check_number (field, *(const int64_t *)slot, field->name, error);
    case CF_FIELD_NAMES:
    case CF_FIELD_ROWS:
      return check_members (field, *(GPtrArray *const *)slot, error);
    case CF_FIELD_BOOL:
    case CF_FIELD_WORD:
    case CF_FIELD_SHA256:
      return TRUE;
    }
  g_assert_not_reached ();
}

gboolean
cf_row_check (const CfSchema *schema, const void *row, GError **error)
{
  for (uint32_t i = 0; i < schema->field_count; i++)
    {
      const CfField *field = &schema->fields[i];

      if (!field_check (field, (const char *)row + field->offset, error))
        return FALSE;
    }
  return TRUE;
}

void
cf_string_write (const char *text, GString *out)
{
  g_string_append_c (out, '"');
  for (; *text != '\0'; text++)
    {
      if (*text == '"' || *text == '\\')
        g_string_append_c (out, '\\');
      if ((unsigned char)*text < ' ')
        g_string_append_printf (out, "\\u%04x", (unsigned int)*text);
      else
        g_string_append_c (out, *text);
    }
  g_string_append_c (out, '"');
}

static void
array_write (const CfField *field, const GPtrArray *array, GString *out)
{
  g_string_append_c (out, '[');
  for (guint i = 0; i < array->len; i++)
    {
      if (i > 0)
        g_string_append_c (out, ',');
      if (field->type == CF_FIELD_ROWS)
        cf_row_write (field->rows, g_ptr_array_index (array, i), out);
      else
        cf_string_write (g_ptr_array_index (array, i), out);
    }
  g_string_append_c (out, ']');
}

void
cf_field_write (const CfField *field, const void *row, GString *out)
{
  const void *slot = (const char *)row + field->offset;
  char hex[2 * CF_SHA256_BYTES + 1];

  switch (field->type)
    {
    case CF_FIELD_NAME:
    case CF_FIELD_TEXT:
    case CF_FIELD_PREFIX:
      cf_string_write (*(char *const *)slot, out);
      break;
    case CF_FIELD_U32:
      g_string_append_printf (out, "%" PRIu32, *(const uint32_t *)slot);
      break;
    case CF_FIELD_U64:
    case CF_FIELD_I64:
    case CF_FIELD_TIME:
      g_string_append_printf (out, "%" PRId64, *(const int64_t *)slot);
      break;
    case CF_FIELD_BOOL:
      g_string_append (out, *(const gboolean *)slot ? "true" : "false");
      break;
    case CF_FIELD_WORD:
      cf_string_write (field->words[*(const int *)slot], out);
      break;
    case CF_FIELD_SHA256:
      cf_format_sha256 (slot, hex);
      cf_string_write (hex, out);
      break;
    case CF_FIELD_NAMES:
    case CF_FIELD_ROWS:
      array_write (field, *(GPtrArray *const *)slot, out);
      break;
    }
}

void
cf_row_write (const CfSchema *schema, const void *row, GString *out)
{
  for (uint32_t i = 0; i < schema->field_count; i++)
    {
      g_string_append (out, i == 0 ? "{\"" : ",\"");
      g_string_append (out, schema->fields[i].name);
      g_string_append (out, "\":");
      cf_field_write (&schema->fields[i], row, out);
    }
  g_string_append_c (out, '}');
}
