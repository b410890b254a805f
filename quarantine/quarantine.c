#include "quarantine/quarantine.h"

typedef struct
{
  uint64_t content;
  int64_t first_ended_us;
  int64_t last_ended_us;
  uint64_t incarnations[QR_ENDED_MAX];
  uint32_t ended_count;
  GList node; /* in QrTable.suspect_order */
} Suspect;

typedef struct
{
  uint64_t content;
  int64_t served_us;
  GList node; /* in QrTable.served_order */
} Served;

struct QrTable
{
  GHashTable *suspects; /* content to Suspect */
  GQueue suspect_order; /* the one that was noted last is the tail */
  GHashTable *served;   /* content to Served */
  GQueue served_order;
};

QrTable *
qr_new (void)
{
  QrTable *table = g_new0 (QrTable, 1);

  table->suspects
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  table->served
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  return table;
}

void
qr_free (QrTable *table)
{
  if (table == NULL)
    return;
  g_hash_table_unref (table->served);
  g_hash_table_unref (table->suspects);
  g_free (table);
}

static void
remove_suspect (QrTable *table, Suspect *suspect)
{
  g_queue_unlink (&table->suspect_order, &suspect->node);
  g_hash_table_remove (table->suspects, &suspect->content);
}

/* Returns NULL if there is none, or its time has passed.  */
static Suspect *
find_suspect (QrTable *table, uint64_t content, int64_t now_us)
{
  Suspect *suspect = g_hash_table_lookup (table->suspects, &content);

  if (suspect == NULL || now_us - suspect->last_ended_us <= QR_TTL_US)
    return suspect;
  remove_suspect (table, suspect);
  return NULL;
}

static Suspect *
get_suspect (QrTable *table, uint64_t content, int64_t first_ended_us,
             int64_t now_us)
{
  Suspect *suspect = find_suspect (table, content, now_us);

  if (suspect != NULL)
    {
      g_queue_unlink (&table->suspect_order, &suspect->node);
      g_queue_push_tail_link (&table->suspect_order, &suspect->node);
      return suspect;
    }
  if (table->suspect_order.length >= QR_SUSPECTS_MAX)
    remove_suspect (table, g_queue_peek_head (&table->suspect_order));
  suspect = g_new0 (Suspect, 1);
  suspect->content = content;
  suspect->first_ended_us = first_ended_us;
  suspect->node.data = suspect;
  g_queue_push_tail_link (&table->suspect_order, &suspect->node);
  g_hash_table_insert (table->suspects, &suspect->content, suspect);
  return suspect;
}

gboolean
qr_note_ended (QrTable *table, uint64_t content, uint64_t incarnation,
               int64_t now_us)
{
  Suspect *suspect = get_suspect (table, content, now_us, now_us);

  suspect->last_ended_us = now_us;
  for (uint32_t i = 0; i < suspect->ended_count; i++)
    if (suspect->incarnations[i] == incarnation)
      return suspect->ended_count == QR_ENDED_MAX;
  if (suspect->ended_count < QR_ENDED_MAX)
    suspect->incarnations[suspect->ended_count++] = incarnation;
  return suspect->ended_count == QR_ENDED_MAX;
}

static void
remember_served (QrTable *table, uint64_t content, int64_t now_us)
{
  Served *served = g_hash_table_lookup (table->served, &content);

  if (served != NULL)
    g_queue_unlink (&table->served_order, &served->node);
  else
    {
      if (table->served_order.length >= QR_SERVED_MAX)
        {
          Served *oldest = g_queue_pop_head_link (&table->served_order)->data;
          g_hash_table_remove (table->served, &oldest->content);
        }
      served = g_new0 (Served, 1);
      served->content = content;
      served->node.data = served;
      g_hash_table_insert (table->served, &served->content, served);
    }
  served->served_us = now_us;
  g_queue_push_tail_link (&table->served_order, &served->node);
}

gboolean
qr_note_served (QrTable *table, uint64_t content, int64_t now_us)
{
  Suspect *suspect = find_suspect (table, content, now_us);

  remember_served (table, content, now_us);
  if (suspect == NULL)
    return FALSE;
  remove_suspect (table, suspect);
  return TRUE;
}

gboolean
qr_add (QrTable *table, uint64_t content, int64_t first_ended_us,
        int64_t now_us)
{
  const Served *served = g_hash_table_lookup (table->served, &content);
  Suspect *suspect;

  if (served != NULL && served->served_us > first_ended_us)
    return FALSE;
  suspect = get_suspect (table, content, first_ended_us, now_us);
  suspect->last_ended_us = now_us;
  suspect->ended_count = QR_ENDED_MAX;
  return TRUE;
}

void
qr_remove (QrTable *table, uint64_t content)
{
  Suspect *suspect = g_hash_table_lookup (table->suspects, &content);

  if (suspect != NULL)
    remove_suspect (table, suspect);
}

gboolean
qr_is_quarantined (QrTable *table, uint64_t content, int64_t now_us)
{
  const Suspect *suspect = find_suspect (table, content, now_us);

  return suspect != NULL && suspect->ended_count == QR_ENDED_MAX
         && now_us - suspect->last_ended_us <= QR_QUARANTINE_US;
}

int64_t
qr_first_ended_us (QrTable *table, uint64_t content)
{
  const Suspect *suspect = g_hash_table_lookup (table->suspects, &content);

  return suspect != NULL ? suspect->first_ended_us : 0;
}

uint32_t
qr_count (const QrTable *table)
{
  return g_hash_table_size (table->suspects);
}
