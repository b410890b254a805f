#include "occupancy/occupancy.h"

typedef struct
{
  uint64_t user;
  uint32_t count;
} Holder;

/* The last time at which USER asked.  */
typedef struct
{
  uint64_t user; /* 0: none */
  int64_t at_us;
} Asked;

struct OcTable
{
  GHashTable *holders; /* user to Holder */
  uint32_t total_count;
  Asked last;
  Asked last_other; /* than the user of LAST */
};

OcTable *
oc_new (void)
{
  OcTable *table = g_new0 (OcTable, 1);

  table->holders
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  return table;
}

void
oc_free (OcTable *table)
{
  if (table == NULL)
    return;
  g_hash_table_unref (table->holders);
  g_free (table);
}

void
oc_note (OcTable *table, uint64_t user, int64_t now_us)
{
  if (user == 0)
    return;
  if (user != table->last.user)
    table->last_other = table->last;
  table->last = (Asked){ user, now_us };
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

static gboolean
has_others (const OcTable *table, uint64_t user, int64_t now_us)
{
  const Asked *other
      = table->last.user != user ? &table->last : &table->last_other;

  return other->user != 0 && now_us - other->at_us < OC_OTHERS_US;
}

gboolean
oc_must_yield (const OcTable *table, uint64_t user, uint32_t place_count,
               int64_t now_us)
{
  const Holder *holder = g_hash_table_lookup (table->holders, &user);

  return user != 0 && holder != NULL
         && holder->count >= MIN (OC_YIELD_MIN, place_count / 2 + 1)
         && holder->count * 2 > table->total_count
         && has_others (table, user, now_us);
}
