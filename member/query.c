/* Answers for the daemon.  */

#include "member/internal.h"

#include <stdlib.h>
#include <string.h>

#include "lease/lease.h"

static int
compare_members (const void *a, const void *b)
{
  const MbMember *const *x = a;
  const MbMember *const *y = b;

  return strcmp ((*x)->vm, (*y)->vm);
}

static const MbMember *
view_of (const MbTable *table, Entry *entry, int64_t now_us)
{
  entry->member.live = mb_entry_live (table, entry, now_us);
  return &entry->member;
}

const MbMember *
mb_find (const MbTable *table, const char *vm, int64_t now_us)
{
  Entry *entry = g_hash_table_lookup (table->entries, vm);

  return entry == NULL || !entry->known ? NULL
                                        : view_of (table, entry, now_us);
}

/* Known members that are live, or aren't, by name.  */
static GPtrArray *
select_members (const MbTable *table, gboolean live, int64_t now_us)
{
  GPtrArray *members = g_ptr_array_new ();
  GHashTableIter iter;
  void *value;

  g_hash_table_iter_init (&iter, table->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      Entry *entry = value;

      if (entry->known && view_of (table, entry, now_us)->live == live)
        g_ptr_array_add (members, &entry->member);
    }
  g_ptr_array_sort (members, compare_members);
  return members;
}

uint32_t
mb_live (const MbTable *table, int64_t now_us, const MbMember **members,
         uint32_t max)
{
  g_autoptr (GPtrArray) live = select_members (table, TRUE, now_us);
  uint32_t count = 0;

  for (guint i = 0; i < live->len && count < max; i++)
    {
      const MbMember *member = g_ptr_array_index (live, i);

      if (!member->leaving)
        members[count++] = member;
    }
  return count;
}

/* The ring of MEMBERS with SELF as its last; sets the order from SELF on.  */
static uint32_t *
ring_from (const GPtrArray *members, const MbMember *self)
{
  LsVmZone *vms = g_new0 (LsVmZone, members->len + 1);
  uint32_t *order = g_new0 (uint32_t, members->len + 1);

  for (guint i = 0; i < members->len; i++)
    {
      const MbMember *member = g_ptr_array_index (members, i);
      vms[i] = (LsVmZone){ .vm = member->vm, .zone = member->zone };
    }
  vms[members->len] = (LsVmZone){ .vm = self->vm, .zone = self->zone };
  ls_order_successors (vms, members->len + 1, members->len, order);
  g_free (vms);
  return order;
}

uint32_t
mb_successors (const MbTable *table, int64_t now_us, const MbMember **members,
               uint32_t max)
{
  const MbMember *self = &table->self->member;
  g_autoptr (GPtrArray) live = select_members (table, TRUE, now_us);
  g_autofree uint32_t *order = NULL;
  uint32_t count = 0;

  for (guint i = live->len; i > 0; i--)
    {
      const MbMember *member = g_ptr_array_index (live, i - 1);

      /* A leaving member would have to be replaced soon.  */
      if (member == self || member->leaving)
        g_ptr_array_remove_index (live, i - 1);
    }
  order = ring_from (live, self);
  for (guint i = 0; i < live->len && count < max; i++)
    members[count++] = g_ptr_array_index (live, order[i]);
  return count;
}

uint32_t
mb_suspects (const MbTable *table, int64_t now_us, const MbMember **members,
             uint32_t *ranks, uint32_t max)
{
  g_autoptr (GPtrArray) live = select_members (table, TRUE, now_us);
  g_autoptr (GPtrArray) lost = select_members (table, FALSE, now_us);
  uint32_t count = 0;

  for (guint i = 0; i < lost->len && count < max; i++)
    {
      const MbMember *member = g_ptr_array_index (lost, i);
      g_autofree uint32_t *order = NULL;
      uint32_t rank = 0;

      if (!member->assigned)
        continue;
      order = ring_from (live, member);
      while (g_ptr_array_index (live, order[rank]) != &table->self->member)
        rank++;
      members[count] = member;
      ranks[count++] = rank;
    }
  return count;
}

gboolean
mb_target (const MbTable *table, const char *target, int64_t now_us,
           MbTarget *state, int64_t *age_us)
{
  const Target *known = g_hash_table_lookup (table->targets, target);

  if (known == NULL)
    return FALSE;
  *state = known->state;
  *age_us = now_us - known->stated_us;
  return TRUE;
}

typedef struct
{
  const char *vm;
  int64_t surplus_utok;
} Lender;

static int
compare_lenders (const void *a, const void *b)
{
  const Lender *x = a;
  const Lender *y = b;

  if (x->surplus_utok != y->surplus_utok)
    return x->surplus_utok > y->surplus_utok ? -1 : 1;
  return strcmp (x->vm, y->vm);
}

static int64_t
surplus_of (const Entry *entry, uint32_t quota_id)
{
  for (uint32_t i = 0; i < entry->quota_count; i++)
    if (entry->quotas[i].quota_id == quota_id)
      return entry->quotas[i].surplus_utok;
  return 0;
}

static gboolean
is_hub_of_its_zone (const MbTable *table, const Entry *entry)
{
  Entry *hubs[2];
  uint32_t count = mb_zone_hubs (table, entry->member.zone, hubs);

  return count > 0 && hubs[0] == entry;
}

/* In a large fleet only members of the own zone and hubs of other zones, which
   lend for their zones, are lenders.  */
uint32_t
mb_lenders (const MbTable *table, uint32_t quota_id, int64_t now_us,
            const char **vms, int64_t *surplus_utok, uint32_t max)
{
  g_autoptr (GArray) lenders = g_array_new (FALSE, FALSE, sizeof (Lender));
  GHashTableIter iter;
  void *value;
  uint32_t count;

  g_hash_table_iter_init (&iter, table->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const Entry *entry = value;
      Lender lender = { entry->member.vm, surplus_of (entry, quota_id) };

      if (entry == table->self || !mb_entry_live (table, entry, now_us))
        continue;
      if (table->assigned_count > SMALL_FLEET
          && strcmp (entry->member.zone, table->self->member.zone) != 0
          && !is_hub_of_its_zone (table, entry))
        continue;
      g_array_append_val (lenders, lender);
    }
  g_array_sort (lenders, compare_lenders);
  count = MIN (lenders->len, max);
  for (uint32_t i = 0; i < count; i++)
    {
      vms[i] = g_array_index (lenders, Lender, i).vm;
      surplus_utok[i] = g_array_index (lenders, Lender, i).surplus_utok;
    }
  return count;
}

static int
compare_texts (const void *a, const void *b)
{
  return strcmp (*(const char *const *)a, *(const char *const *)b);
}

uint32_t
mb_links (const MbTable *table, int64_t now_us, const char **vms, uint32_t max)
{
  GHashTableIter iter;
  void *value;
  uint32_t count = 0;

  g_hash_table_iter_init (&iter, table->links);
  while (count < max && g_hash_table_iter_next (&iter, NULL, &value))
    {
      const Link *link = value;

      if (now_us <= link->last_received_us + MB_SILENT_US)
        vms[count++] = link->vm;
    }
  qsort (vms, count, sizeof *vms, compare_texts);
  return count;
}
