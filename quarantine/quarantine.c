#include "quarantine/quarantine.h"

typedef struct
{
  QrSuspect public;
  int64_t last_ended_us;
  int64_t trial_until_us; /* of the last trial; 0: there was none */
  GList node;             /* in QrTable.suspect_order */
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
  g_hash_table_remove (table->suspects, &suspect->public.content);
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
  suspect->public.content = content;
  suspect->public.first_ended_us = first_ended_us;
  suspect->node.data = suspect;
  g_queue_push_tail_link (&table->suspect_order, &suspect->node);
  g_hash_table_insert (table->suspects, &suspect->public.content, suspect);
  return suspect;
}

static void
add_incarnation (QrSuspect *suspect, uint64_t incarnation)
{
  for (uint32_t i = 0; i < suspect->ended_count; i++)
    if (suspect->incarnations[i] == incarnation)
      return;
  if (suspect->ended_count < QR_ENDED_MAX)
    suspect->incarnations[suspect->ended_count++] = incarnation;
}

static gboolean
has_run_well_since (const QrTable *table, uint64_t content, int64_t since_us)
{
  const Served *served = g_hash_table_lookup (table->served, &content);

  return served != NULL && served->served_us > since_us;
}

gboolean
qr_take_over_ended (QrTable *table, uint64_t content, uint64_t incarnation,
                    int64_t first_ended_us, int64_t now_us)
{
  Suspect *suspect;

  if (has_run_well_since (table, content, first_ended_us))
    return FALSE;
  suspect = get_suspect (table, content, first_ended_us, now_us);
  suspect->last_ended_us = now_us;
  add_incarnation (&suspect->public, incarnation);
  if (suspect->public.ended_count < QR_ENDED_MAX)
    return FALSE;
  suspect->public.until_us = now_us + QR_QUARANTINE_US;
  return TRUE;
}

gboolean
qr_note_ended (QrTable *table, uint64_t content, uint64_t incarnation,
               int64_t now_us)
{
  return qr_take_over_ended (table, content, incarnation, now_us, now_us);
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
        int64_t until_us, int64_t now_us)
{
  Suspect *suspect;

  if (has_run_well_since (table, content, first_ended_us))
    return FALSE;
  suspect = get_suspect (table, content, first_ended_us, now_us);
  suspect->last_ended_us = now_us;
  suspect->public.ended_count = QR_ENDED_MAX;
  suspect->public.until_us = MAX (suspect->public.until_us, until_us);
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

  return suspect != NULL && now_us <= suspect->public.until_us;
}

QrVerdict
qr_check (QrTable *table, uint64_t content, uint32_t turn, int64_t now_us)
{
  Suspect *suspect = find_suspect (table, content, now_us);

  if (suspect == NULL || suspect->public.until_us == 0)
    return QR_FREE;
  if (now_us <= suspect->public.until_us + turn * QR_TRIAL_US
      || now_us <= suspect->trial_until_us)
    return QR_QUARANTINED;
  suspect->trial_until_us = now_us + QR_TRIAL_US;
  return QR_TRIAL;
}

const QrSuspect *
qr_find (QrTable *table, uint64_t content)
{
  const Suspect *suspect = g_hash_table_lookup (table->suspects, &content);

  return suspect != NULL ? &suspect->public : NULL;
}

void
qr_each (const QrTable *table,
         void (*visit) (const QrSuspect *suspect, void *data), void *data)
{
  for (const GList *node = table->suspect_order.tail; node != NULL;
       node = node->prev)
    visit (&((const Suspect *)node->data)->public, data);
}

uint32_t
qr_count (const QrTable *table)
{
  return g_hash_table_size (table->suspects);
}
