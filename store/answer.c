#include "store/answer.h"

#include <json-c/json.h>
#include <string.h>

#define JSON_DEPTH_MAX 16

static struct json_object *
parse_json (const char *text, gsize length_bytes, enum json_type type)
{
  struct json_tokener *tokener = json_tokener_new_ex (JSON_DEPTH_MAX);
  struct json_object *root;
  gboolean complete;

  root = json_tokener_parse_ex (tokener, text, (int)length_bytes);
  complete = json_tokener_get_error (tokener) == json_tokener_success;
  json_tokener_free (tokener);
  if (complete && json_object_is_type (root, type))
    return root;
  json_object_put (root);
  return NULL;
}

/* Returns the field NAME of OBJECT if it has TYPE, else NULL.  */
static struct json_object *
get_field (struct json_object *object, const char *name, enum json_type type)
{
  struct json_object *value;

  if (!json_object_is_type (object, json_type_object)
      || !json_object_object_get_ex (object, name, &value)
      || !json_object_is_type (value, type))
    return NULL;
  return value;
}

static const char *
get_text_field (struct json_object *object, const char *name)
{
  struct json_object *value = get_field (object, name, json_type_string);
  return value == NULL ? NULL : json_object_get_string (value);
}

/* The API returns an empty value as null.  */
static char *
decode_value (struct json_object *row, gsize *value_bytes)
{
  const char *encoded = get_text_field (row, "Value");

  *value_bytes = 0;
  if (encoded == NULL || *encoded == '\0')
    return g_strdup ("");
  return (char *)g_base64_decode (encoded, value_bytes);
}

gboolean
st_parse_key (const char *text, gsize length_bytes, char **value,
              gsize *value_bytes, uint64_t *index)
{
  struct json_object *root = parse_json (text, length_bytes, json_type_array);
  struct json_object *row, *number;
  gboolean ok = FALSE;

  if (root == NULL)
    return FALSE;
  row = json_object_array_length (root) == 1
            ? json_object_array_get_idx (root, 0)
            : NULL;
  number = get_field (row, "ModifyIndex", json_type_int);
  if (number != NULL && json_object_get_uint64 (number) > 0)
    {
      *index = json_object_get_uint64 (number);
      *value = decode_value (row, value_bytes);
      ok = TRUE;
    }
  json_object_put (root);
  return ok;
}

static void
vm_free (void *data)
{
  StVm *vm = data;

  g_free (vm->id);
  g_free (vm->zone);
  g_free (vm->address);
  g_free (vm);
}

static StVm *
parse_vm (struct json_object *row)
{
  struct json_object *port = get_field (row, "ServicePort", json_type_int);
  struct json_object *meta = get_field (row, "ServiceMeta", json_type_object);
  const char *id = get_text_field (row, "ServiceID");
  const char *address = get_text_field (row, "ServiceAddress");
  const char *zone = get_text_field (meta, "zone");
  const char *state = get_text_field (meta, "state");
  StVm *vm;

  /* ServiceAddress is empty if the service uses the address of its node.  */
  if (address == NULL || *address == '\0')
    address = get_text_field (row, "Address");
  if (id == NULL || address == NULL || zone == NULL || port == NULL
      || json_object_get_int64 (port) <= 0
      || json_object_get_int64 (port) > G_MAXUINT16)
    return NULL;
  vm = g_new0 (StVm, 1);
  vm->id = g_strdup (id);
  vm->zone = g_strdup (zone);
  vm->address = g_strdup (address);
  vm->port = (uint16_t)json_object_get_int64 (port);
  vm->leaving = g_strcmp0 (state, "leaving") == 0;
  return vm;
}

GPtrArray *
st_parse_vms (const char *text, gsize length_bytes)
{
  struct json_object *root = parse_json (text, length_bytes, json_type_array);
  GPtrArray *vms;

  if (root == NULL)
    return NULL;
  vms = g_ptr_array_new_with_free_func (vm_free);
  for (size_t i = 0; i < json_object_array_length (root); i++)
    {
      StVm *vm = parse_vm (json_object_array_get_idx (root, i));
      /* If the row were skipped, its VM would look removed.  */
      if (vm == NULL)
        {
          g_ptr_array_unref (vms);
          vms = NULL;
          break;
        }
      g_ptr_array_add (vms, vm);
    }
  json_object_put (root);
  return vms;
}

gboolean
st_parse_bool (const char *text, gsize length_bytes, gboolean *value)
{
  g_autofree char *word = g_strstrip (g_strndup (text, length_bytes));

  if (strcmp (word, "true") != 0 && strcmp (word, "false") != 0)
    return FALSE;
  *value = strcmp (word, "true") == 0;
  return TRUE;
}
