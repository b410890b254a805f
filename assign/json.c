#include <json-c/json.h>
#include <string.h>

#include "assign/internal.h"

#define NAME_MAX_BYTES 63
#define OP_ID_MAX_BYTES 127

static gboolean
fail_field (const char *path, const char *name, GError **error)
{
  g_set_error (error, AS_ERROR, AS_ERROR_FIELD,
               "field \"%s\" of %s is missing, ill-typed or out of range",
               name, path);
  return FALSE;
}

static gboolean
get_number (json_object *row, const char *path, const char *name, uint64_t max,
            uint64_t *value, GError **error)
{
  json_object *field;

  if (!json_object_object_get_ex (row, name, &field)
      || !json_object_is_type (field, json_type_int)
      || json_object_get_int64 (field) < 0
      || json_object_get_uint64 (field) > max)
    return fail_field (path, name, error);
  *value = json_object_get_uint64 (field);
  return TRUE;
}

static gboolean
get_weight (json_object *row, const char *path, const char *name, uint32_t max,
            uint32_t *value, GError **error)
{
  uint64_t number;

  if (!get_number (row, path, name, max, &number, error))
    return FALSE;
  *value = (uint32_t)number;
  return TRUE;
}

static gboolean
get_text (json_object *row, const char *path, const char *name,
          size_t max_bytes, const char **value, GError **error)
{
  json_object *field;

  if (!json_object_object_get_ex (row, name, &field)
      || !json_object_is_type (field, json_type_string)
      || (size_t)json_object_get_string_len (field) > max_bytes)
    return fail_field (path, name, error);
  *value = json_object_get_string (field);
  return TRUE;
}

static gboolean
get_array (json_object *row, const char *path, const char *name,
           json_object **value, GError **error)
{
  if (!json_object_object_get_ex (row, name, value)
      || !json_object_is_type (*value, json_type_array))
    return fail_field (path, name, error);
  return TRUE;
}

static gboolean
parse_slot (json_object *row, AsMember *member, GError **error)
{
  const char *target;
  uint32_t base;
  uint32_t flex;

  if (!get_text (row, "a slot", "target", NAME_MAX_BYTES, &target, error)
      || !get_weight (row, "a slot", "base", AS_SLOT_BASE, &base, error)
      || !get_weight (row, "a slot", "flex", AS_SLOT_FLEX, &flex, error))
    return FALSE;
  as_slot_add (member, target, base, flex);
  return TRUE;
}

static gboolean
fill_member (json_object *row, AsMember *member, GError **error)
{
  const char *op_id;
  json_object *slots;

  if (!get_text (row, "a member", "op_id", OP_ID_MAX_BYTES, &op_id, error)
      || !get_number (row, "a member", "incarnation", INT64_MAX,
                      &member->incarnation, error)
      || !get_weight (row, "a member", "base", AS_BASE_WEIGHT, &member->base,
                      error)
      || !get_weight (row, "a member", "flex", AS_FLEX_WEIGHT, &member->flex,
                      error)
      || !get_array (row, "a member", "slots", &slots, error))
    return FALSE;
  g_free (member->op_id);
  member->op_id = g_strdup (op_id);
  for (size_t i = 0; i < json_object_array_length (slots); i++)
    if (!parse_slot (json_object_array_get_idx (slots, i), member, error))
      return FALSE;
  return TRUE;
}

static gboolean
parse_member (json_object *row, AsDoc *doc, GError **error)
{
  const char *vm;
  const char *zone;
  AsMember *member;

  if (!get_text (row, "a member", "vm", NAME_MAX_BYTES, &vm, error)
      || !get_text (row, "a member", "zone", NAME_MAX_BYTES, &zone, error))
    return FALSE;
  member = as_member_new (vm, zone);
  g_ptr_array_add (doc->members, member);
  return fill_member (row, member, error);
}

static gboolean
parse_withheld (json_object *row, AsDoc *doc, GError **error)
{
  const char *target;
  uint64_t until_ms;
  AsWithheld *withheld;
  uint32_t base;
  uint32_t flex;

  if (!get_text (row, "withheld", "target", NAME_MAX_BYTES, &target, error)
      || !get_weight (row, "withheld", "base", AS_SLOT_BASE, &base, error)
      || !get_weight (row, "withheld", "flex", AS_SLOT_FLEX, &flex, error)
      || !get_number (row, "withheld", "until_ms", INT64_MAX, &until_ms,
                      error))
    return FALSE;
  withheld = g_new (AsWithheld, 1);
  *withheld = (AsWithheld){ g_strdup (target), base, flex, (int64_t)until_ms };
  g_ptr_array_add (doc->withheld, withheld);
  return TRUE;
}

static gboolean
parse_rows (json_object *rows, AsDoc *doc,
            gboolean (*parse) (json_object *row, AsDoc *doc, GError **error),
            GError **error)
{
  for (size_t i = 0; i < json_object_array_length (rows); i++)
    if (!parse (json_object_array_get_idx (rows, i), doc, error))
      return FALSE;
  return TRUE;
}

static gboolean
parse_doc (json_object *root, AsDoc *doc, GError **error)
{
  json_object *members;
  json_object *withheld;

  return get_number (root, "the document", "version", INT64_MAX, &doc->version,
                     error)
         && get_weight (root, "the document", "free_base", AS_BASE_WEIGHT,
                        &doc->free_base, error)
         && get_weight (root, "the document", "free_flex", AS_FLEX_WEIGHT,
                        &doc->free_flex, error)
         && get_array (root, "the document", "members", &members, error)
         && get_array (root, "the document", "withheld", &withheld, error)
         && parse_rows (members, doc, parse_member, error)
         && parse_rows (withheld, doc, parse_withheld, error)
         && as_check (doc, error);
}

AsDoc *
as_parse (const char *json, gsize length, GError **error)
{
  json_tokener *tokener = json_tokener_new ();
  json_object *root
      = json_tokener_parse_ex (tokener, json, (int)MIN (length, G_MAXINT));
  enum json_tokener_error syntax = json_tokener_get_error (tokener);
  AsDoc *doc = NULL;

  json_tokener_free (tokener);
  if (syntax != json_tokener_success)
    g_set_error (error, AS_ERROR, AS_ERROR_SYNTAX,
                 "assignment of %" G_GSIZE_FORMAT " bytes is not JSON: %s",
                 length, json_tokener_error_desc (syntax));
  else
    {
      doc = as_new ();
      if (!parse_doc (root, doc, error))
        g_clear_pointer (&doc, as_free);
    }
  json_object_put (root);
  return doc;
}

static void
add_number (json_object *row, const char *name, uint64_t value)
{
  json_object_object_add (row, name, json_object_new_uint64 (value));
}

static void
add_text (json_object *row, const char *name, const char *value)
{
  json_object_object_add (row, name, json_object_new_string (value));
}

static json_object *
format_member (const AsMember *member)
{
  json_object *row = json_object_new_object ();
  json_object *slots = json_object_new_array ();

  add_text (row, "vm", member->vm);
  add_text (row, "zone", member->zone);
  add_number (row, "incarnation", member->incarnation);
  add_text (row, "op_id", member->op_id);
  add_number (row, "base", member->base);
  add_number (row, "flex", member->flex);
  for (guint i = 0; i < member->slots->len; i++)
    {
      const AsSlot *slot = g_ptr_array_index (member->slots, i);
      json_object *slot_row = json_object_new_object ();

      add_text (slot_row, "target", slot->target);
      add_number (slot_row, "base", slot->base);
      add_number (slot_row, "flex", slot->flex);
      json_object_array_add (slots, slot_row);
    }
  json_object_object_add (row, "slots", slots);
  return row;
}

static json_object *
format_withheld (const AsWithheld *withheld)
{
  json_object *row = json_object_new_object ();

  add_text (row, "target", withheld->target);
  add_number (row, "base", withheld->base);
  add_number (row, "flex", withheld->flex);
  add_number (row, "until_ms", (uint64_t)withheld->until_ms);
  return row;
}

char *
as_format (const AsDoc *doc)
{
  json_object *root = json_object_new_object ();
  json_object *members = json_object_new_array ();
  json_object *withheld = json_object_new_array ();
  char *text;

  add_number (root, "version", doc->version);
  add_number (root, "free_base", doc->free_base);
  add_number (root, "free_flex", doc->free_flex);
  for (guint i = 0; i < doc->members->len; i++)
    json_object_array_add (
        members, format_member (g_ptr_array_index (doc->members, i)));
  for (guint i = 0; i < doc->withheld->len; i++)
    json_object_array_add (
        withheld, format_withheld (g_ptr_array_index (doc->withheld, i)));
  json_object_object_add (root, "members", members);
  json_object_object_add (root, "withheld", withheld);
  text = g_strdup (
      json_object_to_json_string_ext (root, JSON_C_TO_STRING_PLAIN));
  json_object_put (root);
  return text;
}
