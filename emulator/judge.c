#include "emulator/judge.h"

#include <string.h>

#define HASH_PRIME 1099511628211U

typedef struct
{
  EmAttempt attempt;
  guint run_count;
  char ran_on[EM_ID_MAX]; /* the last target */
  uint32_t status;        /* 0: none */
} Entry;

struct EmJudge
{
  GHashTable *entries; /* id to Entry */
  GPtrArray *violations;
};

EmJudge *
em_judge_new (void)
{
  EmJudge *judge = g_new0 (EmJudge, 1);

  judge->entries
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, g_free);
  judge->violations = g_ptr_array_new_with_free_func (g_free);
  return judge;
}

void
em_judge_free (EmJudge *judge)
{
  if (judge == NULL)
    return;
  g_hash_table_unref (judge->entries);
  g_ptr_array_unref (judge->violations);
  g_free (judge);
}

static void add_violation (EmJudge *judge, const char *format, ...)
    G_GNUC_PRINTF (2, 3);

static void
add_violation (EmJudge *judge, const char *format, ...)
{
  va_list arguments;

  va_start (arguments, format);
  g_ptr_array_add (judge->violations, g_strdup_vprintf (format, arguments));
  va_end (arguments);
}

void
em_judge_add_attempt (EmJudge *judge, const EmAttempt *attempt)
{
  Entry *entry = g_new0 (Entry, 1);

  entry->attempt = *attempt;
  g_hash_table_insert (judge->entries, entry->attempt.id, entry);
}

void
em_judge_add_run (EmJudge *judge, const char *id, const char *target,
                  uint64_t body_hash)
{
  Entry *entry = g_hash_table_lookup (judge->entries, id);

  if (entry == NULL)
    {
      add_violation (judge, "unasked: %s ran %s, which nobody sent", target,
                     id);
      return;
    }
  if (body_hash != entry->attempt.body_hash)
    add_violation (judge, "unasked: %s ran %s with another body", target, id);
  entry->run_count++;
  g_strlcpy (entry->ran_on, target, sizeof entry->ran_on);
}

void
em_judge_add_response (EmJudge *judge, const EmResponse *response)
{
  Entry *entry = g_hash_table_lookup (judge->entries, response->id);
  g_autofree char *expected = NULL;

  g_assert (entry != NULL);
  entry->status = response->status;
  if (response->status != 200)
    return;
  expected = g_strdup_printf ("%s %s", response->id, entry->ran_on);
  if (entry->run_count == 0 || !response->has_signature
      || (entry->run_count == 1 && strcmp (response->body, expected) != 0)
      || !g_str_has_prefix (response->body, response->id))
    add_violation (judge, "mixed: %s got \"%.60s\" with%s signature",
                   response->id, response->body,
                   response->has_signature ? "" : "out");
}

guint
em_judge_attempt_count (const EmJudge *judge)
{
  return g_hash_table_size (judge->entries);
}

guint
em_judge_status_count (const EmJudge *judge, uint32_t status)
{
  GHashTableIter iter;
  void *value;
  guint count = 0;

  g_hash_table_iter_init (&iter, judge->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    count += ((Entry *)value)->status == status;
  return count;
}

static gboolean
promises_not_run (uint32_t status)
{
  return status == 408 || status == 421 || status == 429 || status == 503;
}

GPtrArray *
em_judge_check (const EmJudge *judge)
{
  GPtrArray *violations = g_ptr_array_new_with_free_func (g_free);
  GHashTableIter iter;
  void *value;

  for (guint i = 0; i < judge->violations->len; i++)
    g_ptr_array_add (violations, g_strdup (judge->violations->pdata[i]));
  g_hash_table_iter_init (&iter, judge->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const Entry *entry = value;

      if (entry->run_count > 0 && promises_not_run (entry->status))
        g_ptr_array_add (
            violations,
            g_strdup_printf ("refused: %s got %u and ran %u times, on %s",
                             entry->attempt.id, entry->status,
                             entry->run_count, entry->ran_on));
      if (entry->run_count > 1 && entry->attempt.is_unsafe)
        g_ptr_array_add (violations,
                         g_strdup_printf ("twice: %s got %u and ran %u times",
                                          entry->attempt.id, entry->status,
                                          entry->run_count));
    }
  return violations;
}

uint64_t
em_hash (uint64_t hash, const void *bytes, gsize length)
{
  const uint8_t *at = bytes;

  for (gsize i = 0; i < length; i++)
    hash = (hash ^ at[i]) * HASH_PRIME;
  return hash;
}
