#include <string.h>

#include "assign/internal.h"

G_DEFINE_QUARK (as_error, as_error)

void
as_slot_free (void *data)
{
  AsSlot *slot = data;

  g_free (slot->target);
  g_free (slot);
}

void
as_withheld_free (void *data)
{
  AsWithheld *withheld = data;

  g_free (withheld->target);
  g_free (withheld);
}

void
as_member_free (void *data)
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
  member->slots = g_ptr_array_new_with_free_func (as_slot_free);
  return member;
}

static int
compare_slots (const void *a, const void *b)
{
  return strcmp ((*(AsSlot *const *)a)->target, (*(AsSlot *const *)b)->target);
}

AsSlot *
as_slot_add (AsMember *member, const char *target, uint32_t base,
             uint32_t flex)
{
  AsSlot *slot = g_new (AsSlot, 1);

  *slot = (AsSlot){ g_strdup (target), base, flex };
  g_ptr_array_add (member->slots, slot);
  g_ptr_array_sort (member->slots, compare_slots);
  return slot;
}

AsDoc *
as_new (void)
{
  AsDoc *doc = g_new0 (AsDoc, 1);

  doc->members = g_ptr_array_new_with_free_func (as_member_free);
  doc->withheld = g_ptr_array_new_with_free_func (as_withheld_free);
  doc->free_base = AS_BASE_WEIGHT;
  doc->free_flex = AS_FLEX_WEIGHT;
  return doc;
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

static AsMember *
copy_member (const AsMember *from)
{
  AsMember *to = as_member_new (from->vm, from->zone);

  to->incarnation = from->incarnation;
  to->base = from->base;
  to->flex = from->flex;
  g_free (to->op_id);
  to->op_id = g_strdup (from->op_id);
  for (guint i = 0; i < from->slots->len; i++)
    {
      const AsSlot *slot = g_ptr_array_index (from->slots, i);
      as_slot_add (to, slot->target, slot->base, slot->flex);
    }
  return to;
}

AsDoc *
as_copy (const AsDoc *doc)
{
  AsDoc *to = as_new ();

  to->version = doc->version;
  to->free_base = doc->free_base;
  to->free_flex = doc->free_flex;
  for (guint i = 0; i < doc->members->len; i++)
    g_ptr_array_add (to->members,
                     copy_member (g_ptr_array_index (doc->members, i)));
  for (guint i = 0; i < doc->withheld->len; i++)
    {
      const AsWithheld *from = g_ptr_array_index (doc->withheld, i);
      AsWithheld *row = g_new (AsWithheld, 1);

      *row = *from;
      row->target = g_strdup (from->target);
      g_ptr_array_add (to->withheld, row);
    }
  return to;
}

const AsMember *
as_find (const AsDoc *doc, const char *vm)
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
as_written (const AsDoc *doc, const char *vm, const char *op_id)
{
  const AsMember *member = as_find (doc, vm);

  return member != NULL && strcmp (member->op_id, op_id) == 0;
}

/* Slots given out of each target; 0 ends the check of a target.  */
static gboolean
count_slot (GHashTable *counts, const char *target, uint32_t base,
            uint32_t flex, GError **error)
{
  uint32_t packed = GPOINTER_TO_UINT (g_hash_table_lookup (counts, target));
  uint32_t base_sum = (packed >> 8) + base;
  uint32_t flex_sum = (packed & 0xff) + flex;

  if (base_sum > AS_SLOT_BASE || flex_sum > AS_SLOT_FLEX)
    {
      g_set_error (error, AS_ERROR, AS_ERROR_SLOT,
                   "target %s has %u base and %u flex slots given out", target,
                   base_sum, flex_sum);
      return FALSE;
    }
  g_hash_table_insert (counts, (char *)target,
                       GUINT_TO_POINTER (base_sum << 8 | flex_sum));
  return TRUE;
}

static gboolean
check_member (const AsMember *member, GHashTable *vms, GHashTable *counts,
              GError **error)
{
  if (!g_hash_table_add (vms, member->vm))
    {
      g_set_error (error, AS_ERROR, AS_ERROR_DUPLICATE,
                   "member %s stands twice", member->vm);
      return FALSE;
    }
  for (guint i = 0; i < member->slots->len; i++)
    {
      const AsSlot *slot = g_ptr_array_index (member->slots, i);

      for (guint j = 0; j < i; j++)
        if (strcmp (slot->target,
                    ((AsSlot *)g_ptr_array_index (member->slots, j))->target)
            == 0)
          {
            g_set_error (error, AS_ERROR, AS_ERROR_DUPLICATE,
                         "member %s has target %s twice", member->vm,
                         slot->target);
            return FALSE;
          }
      if (!count_slot (counts, slot->target, slot->base, slot->flex, error))
        return FALSE;
    }
  return TRUE;
}

gboolean
as_check (const AsDoc *doc, GError **error)
{
  g_autoptr (GHashTable) vms = g_hash_table_new (g_str_hash, g_str_equal);
  g_autoptr (GHashTable) counts = g_hash_table_new (g_str_hash, g_str_equal);
  uint64_t base_sum = doc->free_base;
  uint64_t flex_sum = doc->free_flex;

  for (guint i = 0; i < doc->members->len; i++)
    {
      const AsMember *member = g_ptr_array_index (doc->members, i);

      if (!check_member (member, vms, counts, error))
        return FALSE;
      base_sum += member->base;
      flex_sum += member->flex;
    }
  for (guint i = 0; i < doc->withheld->len; i++)
    {
      const AsWithheld *row = g_ptr_array_index (doc->withheld, i);
      if (!count_slot (counts, row->target, row->base, row->flex, error))
        return FALSE;
    }
  if (base_sum == AS_BASE_WEIGHT && flex_sum == AS_FLEX_WEIGHT)
    return TRUE;
  g_set_error (error, AS_ERROR, AS_ERROR_SUM,
               "weights add up to %" G_GUINT64_FORMAT
               " base and %" G_GUINT64_FORMAT " flex, not %d and %d",
               base_sum, flex_sum, AS_BASE_WEIGHT, AS_FLEX_WEIGHT);
  return FALSE;
}
