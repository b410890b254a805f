/* Format of lease records, and the order of successors.  */

#include "lease/lease.h"

#include <json-c/json.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

G_DEFINE_QUARK (ls_error, ls_error)

static const char *const state_names[] = { "active", "fenced", "released" };

typedef struct
{
  const char *name;
  gsize offset;
  gsize size_bytes;
} StringField;

typedef struct
{
  const char *name;
  gsize offset;
} NumberField;

#define STRING_FIELD(field)                                                   \
  {                                                                           \
#field, offsetof(LsRecord, field), sizeof(((LsRecord *)0)->field)         \
  }
#define NUMBER_FIELD(field)                                                   \
  {                                                                           \
#field, offsetof(LsRecord, field)                                         \
  }

static const StringField string_fields[]
    = { STRING_FIELD (vm), STRING_FIELD (successor),
        STRING_FIELD (peer_address), STRING_FIELD (op_id) };

/* All are 64-bit integers and not negative.  */
static const NumberField number_fields[]
    = { NUMBER_FIELD (incarnation), NUMBER_FIELD (seq),
        NUMBER_FIELD (successor_incarnation), NUMBER_FIELD (fenced_at_ms) };

static gboolean
set_field_error (const char *name, GError **error)
{
  g_set_error (
      error, LS_ERROR, LS_ERROR_FIELD,
      "lease record: field %s is missing, of the wrong type, too long or "
      "out of range",
      name);
  return FALSE;
}

static gboolean
parse_string (struct json_object *object, const StringField *field,
              LsRecord *record, GError **error)
{
  struct json_object *value;

  if (!json_object_object_get_ex (object, field->name, &value)
      || !json_object_is_type (value, json_type_string)
      || strlen (json_object_get_string (value)) >= field->size_bytes)
    return set_field_error (field->name, error);
  g_strlcpy ((char *)record + field->offset, json_object_get_string (value),
             field->size_bytes);
  return TRUE;
}

static gboolean
parse_number (struct json_object *object, const NumberField *field,
              LsRecord *record, GError **error)
{
  struct json_object *value;
  int64_t number;

  if (!json_object_object_get_ex (object, field->name, &value)
      || !json_object_is_type (value, json_type_int))
    return set_field_error (field->name, error);
  number = json_object_get_int64 (value);
  if (number < 0)
    return set_field_error (field->name, error);
  memcpy ((char *)record + field->offset, &number, sizeof number);
  return TRUE;
}

static gboolean
parse_state (struct json_object *object, LsRecord *record, GError **error)
{
  struct json_object *value;

  if (!json_object_object_get_ex (object, "state", &value)
      || !json_object_is_type (value, json_type_string))
    return set_field_error ("state", error);
  for (gsize i = 0; i < G_N_ELEMENTS (state_names); i++)
    if (strcmp (json_object_get_string (value), state_names[i]) == 0)
      {
        record->state = (LsState)i;
        return TRUE;
      }
  return set_field_error ("state", error);
}

static gboolean
parse_fields (struct json_object *object, LsRecord *record, GError **error)
{
  memset (record, 0, sizeof *record);
  for (gsize i = 0; i < G_N_ELEMENTS (string_fields); i++)
    if (!parse_string (object, &string_fields[i], record, error))
      return FALSE;
  for (gsize i = 0; i < G_N_ELEMENTS (number_fields); i++)
    if (!parse_number (object, &number_fields[i], record, error))
      return FALSE;
  return parse_state (object, record, error);
}

gboolean
ls_record_parse (const char *json, gsize length, LsRecord *record,
                 GError **error)
{
  struct json_tokener *tokener = json_tokener_new ();
  struct json_object *object
      = json_tokener_parse_ex (tokener, json, (int)MIN (length, 1 << 20));
  gboolean parsed = FALSE;

  if (object == NULL || !json_object_is_type (object, json_type_object))
    g_set_error (error, LS_ERROR, LS_ERROR_SYNTAX,
                 "lease record of %" G_GSIZE_FORMAT
                 " bytes is not a JSON object",
                 length);
  else
    parsed = parse_fields (object, record, error);
  json_object_put (object);
  json_tokener_free (tokener);
  return parsed;
}

char *
ls_record_format (const LsRecord *record)
{
  struct json_object *object = json_object_new_object ();
  char *text;

  for (gsize i = 0; i < G_N_ELEMENTS (string_fields); i++)
    json_object_object_add (
        object, string_fields[i].name,
        json_object_new_string ((const char *)record
                                + string_fields[i].offset));
  for (gsize i = 0; i < G_N_ELEMENTS (number_fields); i++)
    {
      int64_t number;

      memcpy (&number, (const char *)record + number_fields[i].offset,
              sizeof number);
      json_object_object_add (object, number_fields[i].name,
                              json_object_new_int64 (number));
    }
  json_object_object_add (object, "state",
                          json_object_new_string (state_names[record->state]));
  text = g_strdup (
      json_object_to_json_string_ext (object, JSON_C_TO_STRING_PLAIN));
  json_object_put (object);
  return text;
}

typedef struct
{
  uint32_t index;
  /* The zone, or for a VM in self's zone the name, sorts before self's.  */
  gboolean before_self;
  gboolean own_zone;
  const LsVmZone *vm;
  uint64_t hash;
} SuccessorKey;

static int
compare_keys (const void *a, const void *b)
{
  const SuccessorKey *x = a;
  const SuccessorKey *y = b;
  int zone_order = strcmp (x->vm->zone, y->vm->zone);

  if (x->own_zone != y->own_zone)
    return x->own_zone ? 1 : -1;
  if (x->before_self != y->before_self)
    return x->before_self ? 1 : -1;
  if (zone_order != 0)
    return zone_order;
  if (!x->own_zone && x->hash != y->hash)
    return x->hash > y->hash ? -1 : 1;
  return strcmp (x->vm->vm, y->vm->vm);
}

void
ls_order_successors (const LsVmZone *vms, uint32_t count, uint32_t self,
                     uint32_t *order)
{
  g_autofree SuccessorKey *keys = g_new0 (SuccessorKey, count);
  uint64_t seed = XXH64 (vms[self].vm, strlen (vms[self].vm), 0);
  uint32_t key_count = 0;

  for (uint32_t i = 0; i < count; i++)
    {
      SuccessorKey *key = &keys[key_count];

      if (i == self)
        continue;
      key_count++;
      key->index = i;
      key->vm = &vms[i];
      key->own_zone = strcmp (vms[i].zone, vms[self].zone) == 0;
      key->before_self = key->own_zone
                             ? strcmp (vms[i].vm, vms[self].vm) < 0
                             : strcmp (vms[i].zone, vms[self].zone) < 0;
      key->hash = XXH64 (vms[i].vm, strlen (vms[i].vm), seed);
    }
  qsort (keys, key_count, sizeof *keys, compare_keys);
  for (uint32_t i = 0; i < key_count; i++)
    order[i] = keys[i].index;
}
