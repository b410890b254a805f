/* The assignment document: JSON encoding and validation.  */

#include "assign/internal.h"

#include <json-c/json.h>
#include <string.h>

#define NAME_MAX_BYTES 63
#define OP_ID_MAX_BYTES 127

G_DEFINE_QUARK (as_error, as_error)

static void
slot_free (void *data)
{
  AsSlot *slot = data;

  g_free (slot->target);
  g_free (slot);
}

static void
withheld_free (void *data)
{
  AsWithheld *withheld = data;

  g_free (withheld->target);
  g_free (withheld);
}

static void
member_free (void *data)
{
  AsMember *member = data;

  g_free (member->vm);
  g_free (member->zone);
  g_free (member->op_id);
  g_ptr_array_unref (member->slots);
  g_free (member);
}

AsMember *
as_member_new (const char *vm, const char *zone)
{
  AsMember *member = g_new0 (AsMember, 1);

  member->vm = g_strdup (vm);
  member->zone = g_strdup (zone);
  member->op_id = g_strdup ("");
  member->slots = g_ptr_array_new_with_free_func (slot_free);
  return member;
}

AsSlot *
as_slot_new (const char *target, uint32_t base, uint32_t flex)
{
  AsSlot *slot = g_new0 (AsSlot, 1);

  slot->target = g_strdup (target);
  slot->base = base;
  slot->flex = flex;
  return slot;
}

void
as_add_withheld (AsDoc *doc, const char *target, uint32_t base, uint32_t flex,
                 int64_t until_ms)
{
  AsWithheld *withheld;

  if (base + flex == 0)
    return;
  withheld = g_new0 (AsWithheld, 1);
  withheld->target = g_strdup (target);
  withheld->base = base;
  withheld->flex = flex;
  withheld->until_ms = until_ms;
  g_ptr_array_add (doc->withheld, withheld);
}

/* Without members and without free weights.  */
static AsDoc *
empty_doc (void)
{
  AsDoc *doc = g_new0 (AsDoc, 1);

  doc->members = g_ptr_array_new_with_free_func (member_free);
  doc->withheld = g_ptr_array_new_with_free_func (withheld_free);
  return doc;
}

AsDoc *
as_new (void)
{
  AsDoc *doc = empty_doc ();

  doc->free_base = AS_BASE_WEIGHT;
  doc->free_flex = AS_FLEX_WEIGHT;
  return doc;
}

AsDoc *
as_copy (const AsDoc *doc)
{
  AsDoc *copy = empty_doc ();

  copy->version = doc->version;
  copy->free_base = doc->free_base;
  copy->free_flex = doc->free_flex;
  for (guint i = 0; i < doc->members->len; i++)
    {
      const AsMember *original = g_ptr_array_index (doc->members, i);
      AsMember *member = as_member_new (original->vm, original->zone);

      member->incarnation = original->incarnation;
      member->base = original->base;
      member->flex = original->flex;
      g_free (member->op_id);
      member->op_id = g_strdup (original->op_id);
      for (guint k = 0; k < original->slots->len; k++)
        {
          const AsSlot *slot = g_ptr_array_index (original->slots, k);
          g_ptr_array_add (member->slots,
                           as_slot_new (slot->target, slot->base, slot->flex));
        }
      g_ptr_array_add (copy->members, member);
    }
  for (guint i = 0; i < doc->withheld->len; i++)
    {
      const AsWithheld *original = g_ptr_array_index (doc->withheld, i);
      as_add_withheld (copy, original->target, original->base, original->flex,
                       original->until_ms);
    }
  return copy;
}

void
as_free (AsDoc *doc)
{
  if (doc == NULL)
    return;
  g_ptr_array_unref (doc->members);
  g_ptr_array_unref (doc->withheld);
  g_free (doc);
}

const AsMember *
as_find_member (const AsDoc *doc, const char *vm)
{
  for (guint i = 0; i < doc->members->len; i++)
    {
      const AsMember *member = g_ptr_array_index (doc->members, i);
      if (strcmp (member->vm, vm) == 0)
        return member;
    }
  return NULL;
}

const AsSlot *
as_find_slot (const AsMember *member, const char *target)
{
  for (guint i = 0; i < member->slots->len; i++)
    {
      const AsSlot *slot = g_ptr_array_index (member->slots, i);
      if (strcmp (slot->target, target) == 0)
        return slot;
    }
  return NULL;
}

gboolean
as_write_applied (const AsDoc *doc, const char *vm, const char *op_id)
{
  const AsMember *member = as_find_member (doc, vm);

  return member != NULL && strcmp (member->op_id, op_id) == 0;
}

typedef struct
{
  uint32_t base;
  uint32_t flex;
} SlotSum;

static gboolean
add_to_slot_sum (GHashTable *sums, const char *target, uint32_t base,
                 uint32_t flex, GError **error)
{
  SlotSum *sum = g_hash_table_lookup (sums, target);

  if (sum == NULL)
    {
      sum = g_new0 (SlotSum, 1);
      g_hash_table_insert (sums, (void *)target, sum);
    }
  /* Clamped so that the sums cannot overflow.  */
  sum->base += MIN (base, AS_BASE_SLOTS + 1);
  sum->flex += MIN (flex, AS_FLEX_SLOTS + 1);
  if (sum->base <= AS_BASE_SLOTS && sum->flex <= AS_FLEX_SLOTS)
    return TRUE;
  g_set_error (error, AS_ERROR, AS_ERROR_SLOT,
               "target %s has %u base and %u flex slots assigned, more than "
               "%d and %d",
               target, sum->base, sum->flex, AS_BASE_SLOTS, AS_FLEX_SLOTS);
  return FALSE;
}

static gboolean
fail_duplicate (const char *what, const char *name, GError **error)
{
  g_set_error (error, AS_ERROR, AS_ERROR_DUPLICATE, "%s %s is listed twice",
               what, name);
  return FALSE;
}

static gboolean
check_member (const AsMember *member, GHashTable *sums, GError **error)
{
  g_autoptr (GHashTable) targets = g_hash_table_new (g_str_hash, g_str_equal);

  for (guint i = 0; i < member->slots->len; i++)
    {
      const AsSlot *slot = g_ptr_array_index (member->slots, i);

      if (!g_hash_table_add (targets, slot->target))
        return fail_duplicate ("target", slot->target, error);
      if (!add_to_slot_sum (sums, slot->target, slot->base, slot->flex, error))
        return FALSE;
    }
  return TRUE;
}

gboolean
as_check (const AsDoc *doc, GError **error)
{
  g_autoptr (GHashTable) sums
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, g_free);
  g_autoptr (GHashTable) vms = g_hash_table_new (g_str_hash, g_str_equal);
  uint64_t base = doc->free_base;
  uint64_t flex = doc->free_flex;

  for (guint i = 0; i < doc->members->len; i++)
    {
      const AsMember *member = g_ptr_array_index (doc->members, i);

      if (!g_hash_table_add (vms, member->vm))
        return fail_duplicate ("member", member->vm, error);
      if (!check_member (member, sums, error))
        return FALSE;
      base += member->base;
      flex += member->flex;
    }
  for (guint i = 0; i < doc->withheld->len; i++)
    {
      const AsWithheld *withheld = g_ptr_array_index (doc->withheld, i);

      if (!add_to_slot_sum (sums, withheld->target, withheld->base,
                            withheld->flex, error))
        return FALSE;
    }
  if (base == AS_BASE_WEIGHT && flex == AS_FLEX_WEIGHT)
    return TRUE;
  g_set_error (error, AS_ERROR, AS_ERROR_SUM,
               "weights add up to %" G_GUINT64_FORMAT " base and "
               "%" G_GUINT64_FORMAT " flex instead of %d and %d",
               base, flex, AS_BASE_WEIGHT, AS_FLEX_WEIGHT);
  return FALSE;
}

static gboolean
fail_field (const char *name, GError **error)
{
  g_set_error (error, AS_ERROR, AS_ERROR_FIELD,
               "assignment: field %s is missing, has the wrong type or is out "
               "of range",
               name);
  return FALSE;
}

static gboolean
read_number (struct json_object *object, const char *name, int64_t max,
             int64_t *number, GError **error)
{
  struct json_object *value;

  if (!json_object_object_get_ex (object, name, &value)
      || !json_object_is_type (value, json_type_int))
    return fail_field (name, error);
  *number = json_object_get_int64 (value);
  if (*number < 0 || *number > max)
    return fail_field (name, error);
  return TRUE;
}

static gboolean
read_text (struct json_object *object, const char *name, gsize max_bytes,
           char **text, GError **error)
{
  struct json_object *value;

  if (!json_object_object_get_ex (object, name, &value)
      || !json_object_is_type (value, json_type_string)
      || (gsize)json_object_get_string_len (value) > max_bytes)
    return fail_field (name, error);
  g_free (*text);
  *text = g_strdup (json_object_get_string (value));
  return TRUE;
}

static gboolean
read_base_and_flex (struct json_object *object, uint32_t max, uint32_t *base,
                    uint32_t *flex, GError **error)
{
  int64_t numbers[2];

  if (!read_number (object, "base", max, &numbers[0], error)
      || !read_number (object, "flex", max, &numbers[1], error))
    return FALSE;
  *base = (uint32_t)numbers[0];
  *flex = (uint32_t)numbers[1];
  return TRUE;
}

static gboolean
read_slot (struct json_object *object, GPtrArray *slots, GError **error)
{
  AsSlot *slot = as_slot_new ("", 0, 0);

  g_ptr_array_add (slots, slot);
  return read_text (object, "target", NAME_MAX_BYTES, &slot->target, error)
         && read_base_and_flex (object, AS_BASE_SLOTS + AS_FLEX_SLOTS,
                                &slot->base, &slot->flex, error);
}

typedef gboolean (*ReadItem) (struct json_object *item, GPtrArray *items,
                              GError **error);

static gboolean
read_array (struct json_object *object, const char *name, ReadItem read_item,
            GPtrArray *items, GError **error)
{
  struct json_object *array;

  if (!json_object_object_get_ex (object, name, &array)
      || !json_object_is_type (array, json_type_array))
    return fail_field (name, error);
  for (size_t i = 0; i < json_object_array_length (array); i++)
    {
      struct json_object *item = json_object_array_get_idx (array, i);

      if (!json_object_is_type (item, json_type_object))
        return fail_field (name, error);
      if (!read_item (item, items, error))
        return FALSE;
    }
  return TRUE;
}

static gboolean
read_member (struct json_object *object, GPtrArray *members, GError **error)
{
  AsMember *member = as_member_new ("", "");
  int64_t incarnation;

  g_ptr_array_add (members, member);
  if (!read_text (object, "vm", NAME_MAX_BYTES, &member->vm, error)
      || !read_text (object, "zone", NAME_MAX_BYTES, &member->zone, error)
      || !read_text (object, "op_id", OP_ID_MAX_BYTES, &member->op_id, error)
      || !read_number (object, "incarnation", INT64_MAX, &incarnation, error)
      || !read_base_and_flex (object, AS_FLEX_WEIGHT, &member->base,
                              &member->flex, error))
    return FALSE;
  member->incarnation = (uint64_t)incarnation;
  return read_array (object, "slots", read_slot, member->slots, error);
}

static gboolean
read_withheld (struct json_object *object, GPtrArray *items, GError **error)
{
  AsWithheld *withheld = g_new0 (AsWithheld, 1);

  g_ptr_array_add (items, withheld);
  return read_text (object, "target", NAME_MAX_BYTES, &withheld->target, error)
         && read_base_and_flex (object, AS_BASE_SLOTS + AS_FLEX_SLOTS,
                                &withheld->base, &withheld->flex, error)
         && read_number (object, "until_ms", INT64_MAX, &withheld->until_ms,
                         error);
}

static gboolean
read_doc (struct json_object *object, AsDoc *doc, GError **error)
{
  int64_t numbers[3];

  if (!read_number (object, "version", INT64_MAX, &numbers[0], error)
      || !read_number (object, "free_base", AS_BASE_WEIGHT, &numbers[1], error)
      || !read_number (object, "free_flex", AS_FLEX_WEIGHT, &numbers[2],
                       error))
    return FALSE;
  doc->version = (uint64_t)numbers[0];
  doc->free_base = (uint32_t)numbers[1];
  doc->free_flex = (uint32_t)numbers[2];
  return read_array (object, "members", read_member, doc->members, error)
         && read_array (object, "withheld", read_withheld, doc->withheld,
                        error)
         && as_check (doc, error);
}

AsDoc *
as_parse (const char *json, gsize length, GError **error)
{
  struct json_tokener *tokener = json_tokener_new ();
  /* Text beyond 2 MiB is truncated, so a longer document is refused.  */
  struct json_object *object
      = json_tokener_parse_ex (tokener, json, (int)MIN (length, 1 << 21));
  AsDoc *doc = NULL;

  if (object == NULL || !json_object_is_type (object, json_type_object))
    g_set_error (error, AS_ERROR, AS_ERROR_SYNTAX,
                 "assignment of %" G_GSIZE_FORMAT
                 " bytes is not a JSON object",
                 length);
  else
    {
      doc = empty_doc ();
      if (!read_doc (object, doc, error))
        g_clear_pointer (&doc, as_free);
    }
  json_object_put (object);
  json_tokener_free (tokener);
  return doc;
}

static void
add_base_and_flex (struct json_object *object, uint32_t base, uint32_t flex)
{
  json_object_object_add (object, "base", json_object_new_int64 (base));
  json_object_object_add (object, "flex", json_object_new_int64 (flex));
}

static struct json_object *
format_member (const AsMember *member)
{
  struct json_object *object = json_object_new_object ();
  struct json_object *slots = json_object_new_array ();

  json_object_object_add (object, "vm", json_object_new_string (member->vm));
  json_object_object_add (object, "zone",
                          json_object_new_string (member->zone));
  json_object_object_add (
      object, "incarnation",
      json_object_new_int64 ((int64_t)member->incarnation));
  json_object_object_add (object, "op_id",
                          json_object_new_string (member->op_id));
  add_base_and_flex (object, member->base, member->flex);
  for (guint i = 0; i < member->slots->len; i++)
    {
      const AsSlot *slot = g_ptr_array_index (member->slots, i);
      struct json_object *item = json_object_new_object ();

      json_object_object_add (item, "target",
                              json_object_new_string (slot->target));
      add_base_and_flex (item, slot->base, slot->flex);
      json_object_array_add (slots, item);
    }
  json_object_object_add (object, "slots", slots);
  return object;
}

static struct json_object *
format_withheld (const AsWithheld *withheld)
{
  struct json_object *object = json_object_new_object ();

  json_object_object_add (object, "target",
                          json_object_new_string (withheld->target));
  add_base_and_flex (object, withheld->base, withheld->flex);
  json_object_object_add (object, "until_ms",
                          json_object_new_int64 (withheld->until_ms));
  return object;
}

char *
as_format (const AsDoc *doc)
{
  struct json_object *object = json_object_new_object ();
  struct json_object *members = json_object_new_array ();
  struct json_object *withheld = json_object_new_array ();
  char *text;

  for (guint i = 0; i < doc->members->len; i++)
    json_object_array_add (
        members, format_member (g_ptr_array_index (doc->members, i)));
  for (guint i = 0; i < doc->withheld->len; i++)
    json_object_array_add (
        withheld, format_withheld (g_ptr_array_index (doc->withheld, i)));
  json_object_object_add (object, "version",
                          json_object_new_int64 ((int64_t)doc->version));
  json_object_object_add (object, "members", members);
  json_object_object_add (object, "withheld", withheld);
  json_object_object_add (object, "free_base",
                          json_object_new_int64 (doc->free_base));
  json_object_object_add (object, "free_flex",
                          json_object_new_int64 (doc->free_flex));
  text = g_strdup (
      json_object_to_json_string_ext (object, JSON_C_TO_STRING_PLAIN));
  json_object_put (object);
  return text;
}
