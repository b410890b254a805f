/* Queries of the table by the daemon.  */

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
update_liveness (const MbTable *table, Entry *entry, int64_t now_us)
{
  entry->member.live = mb_is_live (table, entry, now_us);
  return &entry->member;
}

const MbMember *
mb_find_member (const MbTable *table, const char *vm, int64_t now_us)
{
  Entry *entry = g_hash_table_lookup (table->entries, vm);

  return entry == NULL || !entry->zone_known
             ? NULL
             : update_liveness (table, entry, now_us);
}

/* Members with a known zone that are live, or if LIVE is FALSE, those that
   aren't, sorted by name.  */
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

      if (entry->zone_known
          && update_liveness (table, entry, now_us)->live == live)
        g_ptr_array_add (members, &entry->member);
    }
  g_ptr_array_sort (members, compare_members);
  return members;
}

uint32_t
mb_live_members (const MbTable *table, int64_t now_us,
                 const MbMember **members, uint32_t max)
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

/* Indexes into MEMBERS in the order of successors of SELF.  The caller frees
   them.  */
static uint32_t *
order_successors (const GPtrArray *members, const MbMember *self)
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

      /* A leaving successor would soon have to be replaced.  */
      if (member == self || member->leaving)
        g_ptr_array_remove_index (live, i - 1);
    }
  order = order_successors (live, self);
  for (guint i = 0; i < live->len && count < max; i++)
    members[count++] = g_ptr_array_index (live, order[i]);
  return count;
}

uint32_t
mb_suspects (const MbTable *table, int64_t now_us, const MbMember **members,
             uint32_t *ranks, uint32_t max)
{
  g_autoptr (GPtrArray) live = select_members (table, TRUE, now_us);
  g_autoptr (GPtrArray) not_live = select_members (table, FALSE, now_us);
  uint32_t count = 0;

  for (guint i = 0; i < not_live->len && count < max; i++)
    {
      const MbMember *member = g_ptr_array_index (not_live, i);
      g_autofree uint32_t *order = NULL;
      uint32_t rank = 0;

      if (!member->assigned)
        continue;
      order = order_successors (live, member);
      while (g_ptr_array_index (live, order[rank]) != &table->self->member)
        rank++;
      members[count] = member;
      ranks[count++] = rank;
    }
  return count;
}

gboolean
mb_target_state (const MbTable *table, const char *target, int64_t now_us,
                 MbTargetState *state, int64_t *age_us)
{
  const Target *found = g_hash_table_lookup (table->targets, target);

  if (found == NULL)
    return FALSE;
  *state = found->state;
  *age_us = now_us - found->reported_us;
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
find_surplus (const Entry *entry, uint32_t quota_id)
{
  for (uint32_t i = 0; i < entry->quota_count; i++)
    if (entry->quotas[i].quota_id == quota_id)
      return entry->quotas[i].surplus_utok;
  return 0;
}

static gboolean
is_first_zone_hub (const MbTable *table, const Entry *entry)
{
  Entry *hubs[2];
  uint32_t count = mb_zone_hubs (table, entry->member.zone, hubs);

  return count > 0 && hubs[0] == entry;
}

/* In a large fleet only members of the own zone and the first hub of each
   other zone, which lends for its zone, are lenders.  */
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
      Lender lender = { entry->member.vm, find_surplus (entry, quota_id) };

      if (entry == table->self || !mb_is_live (table, entry, now_us))
        continue;
      if (table->assigned_count > SMALL_FLEET_MAX
          && strcmp (entry->member.zone, table->self->member.zone) != 0
          && !is_first_zone_hub (table, entry))
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
compare_strings (const void *a, const void *b)
{
  return strcmp (*(const char *const *)a, *(const char *const *)b);
}

uint32_t
mb_active_peers (const MbTable *table, int64_t now_us, const char **vms,
                 uint32_t max)
{
  GHashTableIter iter;
  void *value;
  uint32_t count = 0;

  g_hash_table_iter_init (&iter, table->peers);
  while (count < max && g_hash_table_iter_next (&iter, NULL, &value))
    {
      const Peer *peer = value;

      if (mb_heard_until_us (table, now_us)
          <= peer->last_received_us + MB_SILENCE_TIMEOUT_US)
        vms[count++] = peer->vm;
    }
  qsort (vms, count, sizeof *vms, compare_strings);
  return count;
}
