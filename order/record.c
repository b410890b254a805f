#include "order/order.h"

#include <json-c/json.h>
#include <string.h>

G_DEFINE_QUARK (or_error, or_error)

static const char *const state_names[] = {
  [OR_STATE_STARTED] = "started",
  [OR_STATE_DONE] = "done",
  [OR_STATE_ABANDONED] = "abandoned",
};

static void
put_string (struct json_object *object, const char *name, const char *value)
{
  json_object_object_add (object, name, json_object_new_string (value));
}

static struct json_object *
format_headers (const HtHeaders *headers)
{
  struct json_object *list = json_object_new_array ();

  for (uint32_t i = 0; i < headers->count; i++)
    {
      struct json_object *pair = json_object_new_array ();
      json_object_array_add (pair,
                             json_object_new_string (headers->items[i].name));
      json_object_array_add (pair,
                             json_object_new_string (headers->items[i].value));
      json_object_array_add (list, pair);
    }
  return list;
}

static void
format_response (struct json_object *object, const OrRecord *record)
{
  json_object_object_add (object, "status",
                          json_object_new_int64 (record->status));
  json_object_object_add (object, "headers", format_headers (record->headers));
  json_object_object_add (object, "body_bytes",
                          json_object_new_int64 ((int64_t)record->body_bytes));
  put_string (object, "body_sha256", record->body_sha256);
  if (record->body != NULL)
    {
      gsize length;
      const guchar *bytes = g_bytes_get_data (record->body, &length);
      g_autofree char *text = g_base64_encode (bytes, length);
      put_string (object, "body", text);
    }
}

char *
or_record_format (const OrRecord *record)
{
  struct json_object *object = json_object_new_object ();
  char *text;

  put_string (object, "state", state_names[record->state]);
  put_string (object, "op_id", record->op_id);
  put_string (object, "vm", record->vm);
  put_string (object, "request_sha256", record->request_sha256);
  json_object_object_add (object, "started_ms",
                          json_object_new_int64 (record->started_ms));
  if (record->state == OR_STATE_DONE)
    format_response (object, record);
  text = g_strdup (
      json_object_to_json_string_ext (object, JSON_C_TO_STRING_PLAIN));
  json_object_put (object);
  return text;
}

static gboolean
set_field_error (GError **error, const char *field)
{
  g_set_error (error, OR_ERROR, OR_ERROR_INVALID_RECORD,
               "idempotency record: field %s is missing or invalid", field);
  return FALSE;
}

static const char *
get_string (struct json_object *object, const char *name)
{
  struct json_object *value;

  if (!json_object_object_get_ex (object, name, &value)
      || !json_object_is_type (value, json_type_string))
    return NULL;
  return json_object_get_string (value);
}

static gboolean
get_number (struct json_object *object, const char *name, int64_t *number)
{
  struct json_object *value;

  if (!json_object_object_get_ex (object, name, &value)
      || !json_object_is_type (value, json_type_int))
    return FALSE;
  *number = json_object_get_int64 (value);
  return *number >= 0;
}

static gboolean
get_digest (struct json_object *object, const char *name, char *digest)
{
  const char *text = get_string (object, name);

  if (text == NULL || strlen (text) != 64
      || strspn (text, "0123456789abcdef") != 64)
    return FALSE;
  memcpy (digest, text, 65);
  return TRUE;
}

static gboolean
parse_headers (struct json_object *object, HtHeaders *headers)
{
  struct json_object *list;

  if (!json_object_object_get_ex (object, "headers", &list)
      || !json_object_is_type (list, json_type_array))
    return FALSE;
  for (size_t i = 0; i < json_object_array_length (list); i++)
    {
      struct json_object *pair = json_object_array_get_idx (list, i);
      const char *name;
      const char *value;
      if (!json_object_is_type (pair, json_type_array)
          || json_object_array_length (pair) != 2)
        return FALSE;
      name = json_object_get_string (json_object_array_get_idx (pair, 0));
      value = json_object_get_string (json_object_array_get_idx (pair, 1));
      if (name == NULL || value == NULL || !ht_is_token (name)
          || !ht_is_header_value (value))
        return FALSE;
      ht_headers_add (headers, name, value);
    }
  return TRUE;
}

/* A stored body must match its digest, or a corrupt response would be
   replayed.  */
static gboolean
parse_body (struct json_object *object, OrRecord *record)
{
  const char *text = get_string (object, "body");
  g_autofree char *digest = NULL;
  gsize length;
  guchar *bytes;

  if (text == NULL)
    return TRUE;
  bytes = g_base64_decode (text, &length);
  record->body = g_bytes_new_take (bytes, length);
  digest = g_compute_checksum_for_bytes (G_CHECKSUM_SHA256, record->body);
  return length == record->body_bytes
         && strcmp (digest, record->body_sha256) == 0;
}

static gboolean
parse_response (struct json_object *object, OrRecord *record, GError **error)
{
  int64_t status;
  int64_t body_bytes;

  if (!get_number (object, "status", &status) || status < 200 || status > 599)
    return set_field_error (error, "status");
  if (!get_number (object, "body_bytes", &body_bytes))
    return set_field_error (error, "body_bytes");
  record->status = (uint32_t)status;
  record->body_bytes = (uint64_t)body_bytes;
  record->headers = ht_headers_new ();
  if (!parse_headers (object, record->headers))
    return set_field_error (error, "headers");
  if (!get_digest (object, "body_sha256", record->body_sha256))
    return set_field_error (error, "body_sha256");
  return parse_body (object, record) || set_field_error (error, "body");
}

static gboolean
parse_state (const char *name, OrState *state)
{
  for (guint i = 0; name != NULL && i < G_N_ELEMENTS (state_names); i++)
    if (strcmp (state_names[i], name) == 0)
      {
        *state = (OrState)i;
        return TRUE;
      }
  return FALSE;
}

static gboolean
parse_record (struct json_object *object, OrRecord *record, GError **error)
{
  if (!json_object_is_type (object, json_type_object))
    return set_field_error (error, "(root)");
  if (!parse_state (get_string (object, "state"), &record->state))
    return set_field_error (error, "state");
  record->op_id = g_strdup (get_string (object, "op_id"));
  if (record->op_id == NULL)
    return set_field_error (error, "op_id");
  record->vm = g_strdup (get_string (object, "vm"));
  if (record->vm == NULL)
    return set_field_error (error, "vm");
  if (!get_digest (object, "request_sha256", record->request_sha256))
    return set_field_error (error, "request_sha256");
  if (!get_number (object, "started_ms", &record->started_ms))
    return set_field_error (error, "started_ms");
  return record->state != OR_STATE_DONE
         || parse_response (object, record, error);
}

OrRecord *
or_record_parse (const char *json, gsize length, GError **error)
{
  OrRecord *record = g_new0 (OrRecord, 1);
  struct json_tokener *tokener = json_tokener_new ();
  struct json_object *object
      = json_tokener_parse_ex (tokener, json, (int)MIN (length, G_MAXINT));
  gboolean valid = parse_record (object, record, error);

  json_object_put (object);
  json_tokener_free (tokener);
  if (valid)
    return record;
  or_record_free (record);
  return NULL;
}

void
or_record_free (OrRecord *record)
{
  if (record == NULL)
    return;
  g_free (record->op_id);
  g_free (record->vm);
  ht_headers_free (record->headers);
  g_clear_pointer (&record->body, g_bytes_unref);
  g_free (record);
}

char *
or_record_key (int64_t day, const char *customer, const char *idempotency_key)
{
  g_autoptr (GChecksum) checksum = g_checksum_new (G_CHECKSUM_SHA256);

  /* The NUL keeps "a" + "bc" distinct from "ab" + "c".  */
  g_checksum_update (checksum, (const guchar *)customer,
                     (gssize)strlen (customer) + 1);
  g_checksum_update (checksum, (const guchar *)idempotency_key,
                     (gssize)strlen (idempotency_key));
  return g_strdup_printf ("cw/order/%" G_GINT64_FORMAT "/%s", day,
                          g_checksum_get_string (checksum));
}

char *
or_expired_prefix (int64_t wall_ms)
{
  if (wall_ms % OR_DAY_MS <= OR_MIDNIGHT_WINDOW_MS)
    return NULL;
  return g_strdup_printf ("cw/order/%" G_GINT64_FORMAT "/",
                          wall_ms / OR_DAY_MS - 2);
}

gboolean
or_is_valid_key (const char *idempotency_key)
{
  gsize length = strlen (idempotency_key);

  for (gsize i = 0; i < length; i++)
    if (idempotency_key[i] < ' ' || idempotency_key[i] > '~')
      return FALSE;
  return length > 0 && length <= OR_KEY_MAX_BYTES;
}
