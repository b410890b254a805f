#include "conf/internal.h"

#include <inttypes.h>
#include <string.h>

static gboolean
fail (GError **error, CfError code, const char *path, const char *problem)
{
  g_set_error (error, CF_ERROR, code, "%s: %s", path, problem);
  return FALSE;
}

static gboolean
has_no_control_characters (const char *text)
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
         && strpbrk (text, "?# ") == NULL && has_no_control_characters (text)
         && g_utf8_validate (text, -1, NULL);
}

/* Returns what is wrong with TEXT, or NULL.  */
static const char *
text_problem (const CfField *field, const char *text)
{
  if (field->type == CF_FIELD_PREFIX)
    return cf_is_prefix (text) ? NULL : "is not a path such as /boards/";
  if (field->type == CF_FIELD_TEXT)
    return strlen (text) <= CF_TEXT_MAX_BYTES
                   && has_no_control_characters (text)
                   && g_utf8_validate (text, -1, NULL)
               ? NULL
               : "is longer than 128 bytes or has control characters";
  return cf_is_name (text) ? NULL : "is not 1 to 63 bytes of [a-z0-9-]";
}

static gboolean
check_text (const CfField *field, const char *text, const char *path,
            GError **error)
{
  const char *problem = text_problem (field, text);

  return problem == NULL || fail (error, CF_ERROR_RANGE, path, problem);
}

static gboolean
check_number (const CfField *field, int64_t number, const char *path,
              GError **error)
{
  if (number >= field->min && number <= field->max)
    return TRUE;
  g_set_error (error, CF_ERROR, CF_ERROR_RANGE,
               "%s: %" PRId64 " is not between %" PRId64 " and %" PRId64, path,
               number, field->min, field->max);
  return FALSE;
}

static gboolean
read_string (const CfField *field, struct json_object *value, char **data,
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
  g_free (*data);
  *data = g_strdup (text);
  return TRUE;
}

static gboolean
read_number (const CfField *field, struct json_object *value, void *data,
             const char *path, GError **error)
{
  int64_t number;

  if (!json_object_is_type (value, json_type_int))
    return fail (error, CF_ERROR_FIELD, path, "is not an integer");
  number = json_object_get_int64 (value);
  if (!check_number (field, number, path, error))
    return FALSE;
  if (field->type == CF_FIELD_U32)
    *(uint32_t *)data = (uint32_t)number;
  else
    *(int64_t *)data = number;
  return TRUE;
}

static gboolean
read_enum (const CfField *field, struct json_object *value, int *data,
           const char *path, GError **error)
{
  for (int i = 0; json_object_is_type (value, json_type_string)
                  && field->enum_names[i] != NULL;
       i++)
    if (strcmp (field->enum_names[i], json_object_get_string (value)) == 0)
      {
        *data = i;
        return TRUE;
      }
  g_autofree char *enum_names = g_strjoinv (", ", (char **)field->enum_names);
  g_autofree char *problem = g_strdup_printf ("is not one of %s", enum_names);

  return fail (error, CF_ERROR_RANGE, path, problem);
}

/* The message must not contain the value, which may be a plain key.  */
static gboolean
read_sha256 (struct json_object *value, uint8_t *data, const char *path,
             GError **error)
{
  if (json_object_is_type (value, json_type_string)
      && cf_parse_sha256 (json_object_get_string (value), data))
    return TRUE;
  return fail (error, CF_ERROR_RANGE, path,
               "is not a SHA-256 of 64 lower-case hex digits");
}

static gboolean
read_array (const CfField *field, struct json_object *value, GPtrArray *data,
            const char *path, GError **error)
{
  static const CfField name_field = { .type = CF_FIELD_NAME };

  if (!json_object_is_type (value, json_type_array))
    return fail (error, CF_ERROR_FIELD, path, "is not an array");
  if (!check_number (field, (int64_t)json_object_array_length (value), path,
                     error))
    return FALSE;
  for (size_t i = 0; i < json_object_array_length (value); i++)
    {
      g_autofree char *item_path = g_strdup_printf ("%s[%zu]", path, i);
      struct json_object *item = json_object_array_get_idx (value, i);
      gboolean ok;

      if (field->type == CF_FIELD_ROWS)
        {
          g_ptr_array_add (data, cf_row_new (field->row_schema));
          ok = cf_row_read (field->row_schema, item,
                            g_ptr_array_index (data, data->len - 1), item_path,
                            error);
        }
      else
        {
          g_ptr_array_add (data, g_strdup (""));
          ok = read_string (&name_field, item,
                            (char **)&g_ptr_array_index (data, data->len - 1),
                            item_path, error);
        }
      if (!ok)
        return FALSE;
    }
  return TRUE;
}

gboolean
cf_field_read (const CfField *field, struct json_object *value, void *row,
               const char *path, GError **error)
{
  void *data = G_STRUCT_MEMBER_P (row, field->offset);

  switch (field->type)
    {
    case CF_FIELD_NAME:
    case CF_FIELD_TEXT:
    case CF_FIELD_PREFIX:
      return read_string (field, value, data, path, error);
    case CF_FIELD_U32:
    case CF_FIELD_U64:
    case CF_FIELD_I64:
    case CF_FIELD_TIME:
      return read_number (field, value, data, path, error);
    case CF_FIELD_BOOL:
      if (!json_object_is_type (value, json_type_boolean))
        return fail (error, CF_ERROR_FIELD, path, "is not true or false");
      *(gboolean *)data = json_object_get_boolean (value);
      return TRUE;
    case CF_FIELD_ENUM:
      return read_enum (field, value, data, path, error);
    case CF_FIELD_SHA256:
      return read_sha256 (value, data, path, error);
    case CF_FIELD_NAMES:
    case CF_FIELD_ROWS:
      return read_array (field, value, *(GPtrArray **)data, path, error);
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
    g_autofree char *field_path = g_strdup_printf ("%s.%.64s", path, key);

    if (field == NULL)
      return fail (error, CF_ERROR_FIELD, field_path,
                   "there is no such field");
    if (!cf_field_read (field, value, row, field_path, error))
      return FALSE;
  }
  for (uint32_t i = 0; i < schema->field_count; i++)
    if (!schema->fields[i].optional
        && !json_object_object_get_ex (object, schema->fields[i].name, NULL))
      {
        g_autofree char *field_path
            = g_strdup_printf ("%s.%s", path, schema->fields[i].name);

        return fail (error, CF_ERROR_FIELD, field_path, "is missing");
      }
  return TRUE;
}

static gboolean
check_array (const CfField *field, const GPtrArray *array, GError **error)
{
  static const CfField name_field = { .type = CF_FIELD_NAME };

  if (!check_number (field, array->len, field->name, error))
    return FALSE;
  for (guint i = 0; i < array->len; i++)
    {
      const void *item = g_ptr_array_index (array, i);

      if (field->type == CF_FIELD_ROWS
              ? cf_row_check (field->row_schema, item, error)
              : check_text (&name_field, item, "name", error))
        continue;
      g_prefix_error (error, "%s[%u].", field->name, i);
      return FALSE;
    }
  return TRUE;
}

static gboolean
check_field (const CfField *field, const void *data, GError **error)
{
  switch (field->type)
    {
    case CF_FIELD_NAME:
    case CF_FIELD_TEXT:
    case CF_FIELD_PREFIX:
      return check_text (field, *(char *const *)data, field->name, error);
    case CF_FIELD_U32:
      return check_number (field, *(const uint32_t *)data, field->name, error);
    case CF_FIELD_U64:
    case CF_FIELD_I64:
    case CF_FIELD_TIME:
      return check_number (field, *(const int64_t *)data, field->name, error);
    case CF_FIELD_NAMES:
    case CF_FIELD_ROWS:
      return check_array (field, *(GPtrArray *const *)data, error);
    case CF_FIELD_BOOL:
    case CF_FIELD_ENUM:
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

      if (!check_field (field, (const char *)row + field->offset, error))
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
write_array (const CfField *field, const GPtrArray *array, GString *out)
{
  g_string_append_c (out, '[');
  for (guint i = 0; i < array->len; i++)
    {
      if (i > 0)
        g_string_append_c (out, ',');
      if (field->type == CF_FIELD_ROWS)
        cf_row_write (field->row_schema, g_ptr_array_index (array, i), out);
      else
        cf_string_write (g_ptr_array_index (array, i), out);
    }
  g_string_append_c (out, ']');
}

void
cf_field_write (const CfField *field, const void *row, GString *out)
{
  const void *data = (const char *)row + field->offset;
  char hex[2 * CF_SHA256_BYTES + 1];

  switch (field->type)
    {
    case CF_FIELD_NAME:
    case CF_FIELD_TEXT:
    case CF_FIELD_PREFIX:
      cf_string_write (*(char *const *)data, out);
      break;
    case CF_FIELD_U32:
      g_string_append_printf (out, "%" PRIu32, *(const uint32_t *)data);
      break;
    case CF_FIELD_U64:
    case CF_FIELD_I64:
    case CF_FIELD_TIME:
      g_string_append_printf (out, "%" PRId64, *(const int64_t *)data);
      break;
    case CF_FIELD_BOOL:
      g_string_append (out, *(const gboolean *)data ? "true" : "false");
      break;
    case CF_FIELD_ENUM:
      cf_string_write (field->enum_names[*(const int *)data], out);
      break;
    case CF_FIELD_SHA256:
      cf_format_sha256 (data, hex);
      cf_string_write (hex, out);
      break;
    case CF_FIELD_NAMES:
    case CF_FIELD_ROWS:
      write_array (field, *(GPtrArray *const *)data, out);
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
