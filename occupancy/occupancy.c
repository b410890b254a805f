#include "occupancy/occupancy.h"

typedef struct
{
  uint64_t user;
  uint32_t count;
} Holder;

typedef struct
{
  uint64_t user;
  int64_t asked_us;
  GList node; /* in OcTable.order */
} Active;

struct OcTable
{
  GHashTable *holders; /* user to Holder */
  GHashTable *active;  /* user to Active */
  GQueue order;        /* of Active, by asked_us */
  uint32_t total_count;
};

OcTable *
oc_new (void)
{
  OcTable *table = g_new0 (OcTable, 1);

  table->holders
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  table->active
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  return table;
}

void
oc_free (OcTable *table)
{
  if (table == NULL)
    return;
  g_hash_table_unref (table->holders);
  g_hash_table_unref (table->active);
  g_free (table);
}

static gboolean
is_active (const Active *active, int64_t now_us)
{
  return now_us - active->asked_us < OC_ACTIVE_US;
}

static void
drop_oldest (OcTable *table)
{
  Active *oldest = g_queue_peek_head (&table->order);

  g_queue_unlink (&table->order, &oldest->node);
  g_hash_table_remove (table->active, &oldest->user);
}

void
oc_note (OcTable *table, uint64_t user, int64_t now_us)
{
  Active *active = g_hash_table_lookup (table->active, &user);

  if (user == 0)
    return;
  if (active != NULL)
    g_queue_unlink (&table->order, &active->node);
  else
    {
      active = g_new0 (Active, 1);
      active->user = user;
      active->node.data = active;
      g_hash_table_insert (table->active, &active->user, active);
    }
  active->asked_us = now_us;
  g_queue_push_tail_link (&table->order, &active->node);
  while (!is_active (g_queue_peek_head (&table->order), now_us)
         || g_queue_get_length (&table->order) > OC_ACTIVE_MAX)
    drop_oldest (table);
}

void
oc_add (OcTable *table, uint64_t user)
{
  Holder *holder = g_hash_table_lookup (table->holders, &user);

  if (holder == NULL)
    {
      holder = g_new0 (Holder, 1);
      holder->user = user;
      g_hash_table_insert (table->holders, &holder->user, holder);
    }
  holder->count++;
  table->total_count++;
}

void
oc_remove (OcTable *table, uint64_t user)
{
  Holder *holder = g_hash_table_lookup (table->holders, &user);

  g_return_if_fail (holder != NULL);
  table->total_count--;
  if (--holder->count == 0)
    g_hash_table_remove (table->holders, &user);
}

static uint32_t
count_others (const OcTable *table, uint64_t user, int64_t now_us)
{
  uint32_t count = 0;

  for (const GList *node = table->order.tail;
       node != NULL && is_active (node->data, now_us); node = node->prev)
    if (((const Active *)node->data)->user != user)
      count++;
  return count;
}

gboolean
oc_must_yield (const OcTable *table, uint64_t user, uint32_t place_count,
               int64_t now_us)
{
  const Holder *holder = g_hash_table_lookup (table->holders, &user);
  uint64_t others;

  if (user == 0 || holder == NULL
      || holder->count < MIN (OC_YIELD_MIN, place_count / 2 + 1))
    return FALSE;
  others = count_others (table, user, now_us);
  return others > 0 && holder->count * (others + 1) > table->total_count;
}
