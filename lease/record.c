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
} TextField;

typedef struct
{
  const char *name;
  gsize offset;
} NumberField;

#define TEXT(field)                                                           \
  {                                                                           \
#field, offsetof(LsRecord, field), sizeof(((LsRecord *)0)->field)         \
  }
#define NUMBER(field)                                                         \
  {                                                                           \
#field, offsetof(LsRecord, field)                                         \
  }

static const TextField text_fields[]
    = { TEXT (vm), TEXT (successor), TEXT (peer_address), TEXT (op_id) };

/* All are 64 bits wide and not negative.  */
static const NumberField number_fields[]
    = { NUMBER (incarnation), NUMBER (seq), NUMBER (successor_incarnation),
        NUMBER (fenced_at_ms) };

static gboolean
fail_field (const char *name, GError **error)
{
  g_set_error (error, LS_ERROR, LS_ERROR_FIELD,
               "lease record: field %s is missing, ill-typed or too long",
               name);
  return FALSE;
}

static gboolean
read_text (struct json_object *object, const TextField *field,
           LsRecord *record, GError **error)
{
  struct json_object *value;

  if (!json_object_object_get_ex (object, field->name, &value)
      || !json_object_is_type (value, json_type_string)
      || strlen (json_object_get_string (value)) >= field->size_bytes)
    return fail_field (field->name, error);
  g_strlcpy ((char *)record + field->offset, json_object_get_string (value),
             field->size_bytes);
  return TRUE;
}

static gboolean
read_number (struct json_object *object, const NumberField *field,
             LsRecord *record, GError **error)
{
  struct json_object *value;
  int64_t number;

  if (!json_object_object_get_ex (object, field->name, &value)
      || !json_object_is_type (value, json_type_int))
    return fail_field (field->name, error);
  number = json_object_get_int64 (value);
  if (number < 0)
    return fail_field (field->name, error);
  memcpy ((char *)record + field->offset, &number, sizeof number);
  return TRUE;
}

static gboolean
read_state (struct json_object *object, LsRecord *record, GError **error)
{
  struct json_object *value;

  if (!json_object_object_get_ex (object, "state", &value)
      || !json_object_is_type (value, json_type_string))
    return fail_field ("state", error);
  for (gsize i = 0; i < G_N_ELEMENTS (state_names); i++)
    if (strcmp (json_object_get_string (value), state_names[i]) == 0)
      {
        record->state = (LsState)i;
        return TRUE;
      }
  return fail_field ("state", error);
}

static gboolean
read_record (struct json_object *object, LsRecord *record, GError **error)
{
  memset (record, 0, sizeof *record);
  for (gsize i = 0; i < G_N_ELEMENTS (text_fields); i++)
    if (!read_text (object, &text_fields[i], record, error))
      return FALSE;
  for (gsize i = 0; i < G_N_ELEMENTS (number_fields); i++)
    if (!read_number (object, &number_fields[i], record, error))
      return FALSE;
  return read_state (object, record, error);
}

gboolean
ls_record_parse (const char *json, gsize length, LsRecord *record,
                 GError **error)
{
  struct json_tokener *tokener = json_tokener_new ();
  struct json_object *object
      = json_tokener_parse_ex (tokener, json, (int)MIN (length, 1 << 20));
  gboolean done = FALSE;

  if (object == NULL || !json_object_is_type (object, json_type_object))
    g_set_error (error, LS_ERROR, LS_ERROR_SYNTAX,
                 "lease record of %" G_GSIZE_FORMAT
                 " bytes is not a JSON object",
                 length);
  else
    done = read_record (object, record, error);
  json_object_put (object);
  json_tokener_free (tokener);
  return done;
}

char *
ls_record_format (const LsRecord *record)
{
  struct json_object *object = json_object_new_object ();
  char *text;

  for (gsize i = 0; i < G_N_ELEMENTS (text_fields); i++)
    json_object_object_add (
        object, text_fields[i].name,
        json_object_new_string ((const char *)record + text_fields[i].offset));
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
  gboolean wraps; /* its zone, or in the own zone its name, is before self's */
  gboolean own_zone;
  const LsRingVm *vm;
  uint64_t hash;
} RingPlace;

static int
compare_places (const void *a, const void *b)
{
  const RingPlace *x = a;
  const RingPlace *y = b;
  int zones = strcmp (x->vm->zone, y->vm->zone);

  if (x->own_zone != y->own_zone)
    return x->own_zone ? 1 : -1;
  if (x->wraps != y->wraps)
    return x->wraps ? 1 : -1;
  if (zones != 0)
    return zones;
  if (!x->own_zone && x->hash != y->hash)
    return x->hash > y->hash ? -1 : 1;
  return strcmp (x->vm->vm, y->vm->vm);
}

void
ls_ring (const LsRingVm *vms, uint32_t count, uint32_t self, uint32_t *order)
{
  g_autofree RingPlace *places = g_new0 (RingPlace, count);
  uint64_t seed = XXH64 (vms[self].vm, strlen (vms[self].vm), 0);
  uint32_t used = 0;

  for (uint32_t i = 0; i < count; i++)
    {
      RingPlace *place = &places[used];

      if (i == self)
        continue;
      used++;
      place->index = i;
      place->vm = &vms[i];
      place->own_zone = strcmp (vms[i].zone, vms[self].zone) == 0;
      place->wraps = place->own_zone
                         ? strcmp (vms[i].vm, vms[self].vm) < 0
                         : strcmp (vms[i].zone, vms[self].zone) < 0;
      place->hash = XXH64 (vms[i].vm, strlen (vms[i].vm), seed);
    }
  qsort (places, used, sizeof *places, compare_places);
  for (uint32_t i = 0; i < used; i++)
    order[i] = places[i].index;
}
