/* The lender's side.  */

#include "quota/internal.h"

#include <string.h>

/* How long a grant may be valid that has to end before UNTIL_US.  */
static int64_t
valid_before (int64_t until_us, int64_t now_us)
{
  if (until_us <= now_us)
    return 0;
  /* Bounded first, since a validity may be without end.  */
  return MIN (until_us - now_us, 2 * QT_GRANT_VALID_US) * 1000
         / (1000 + QT_DRIFT_PERMILLE);
}

/* Frees what LENT reserved and gives UNSPENT back.  */
static void
end_lent (QtTable *table, QtLent *lent, int64_t unspent_utok, int64_t now_us)
{
  QtQuota *quota = lent->quota;

  if (lent->source != NULL)
    {
      lent->source->lent_count--;
      if (now_us < lent->source->until_us && !lent->source->settled)
        lent->source->left_utok += unspent_utok;
      qt_settle_if_done (table, lent->source, now_us);
    }
  for (int part = 0; part < PARTS; part++)
    {
      QtBucket *bucket = &quota->parts[part];
      int64_t back = MIN (unspent_utok, lent->part_utok[part]);
      int64_t room;

      bucket->lent_utok -= lent->part_utok[part];
      g_assert (bucket->lent_utok >= 0);
      room = MAX (
          bucket->capacity_utok - bucket->lent_utok - bucket->level_utok, 0);
      bucket->level_utok += MIN (back, room);
      unspent_utok -= back;
    }
  g_ptr_array_remove_fast (quota->lent, lent);
  g_hash_table_remove (table->lent, &lent->grant_id);
}

void
qt_lent_expire (QtTable *table, QtQuota *quota, int64_t now_us)
{
  int64_t next_us = INT64_MAX;

  if (now_us < quota->lent_end_us)
    return;
  for (guint i = 0; i < quota->lent->len;)
    {
      QtLent *lent = g_ptr_array_index (quota->lent, i);

      if (now_us >= lent->until_us)
        {
          end_lent (table, lent, 0, now_us);
          continue;
        }
      next_us = MIN (next_us, lent->until_us);
      i++;
    }
  quota->lent_end_us = next_us;
}

/* Moves tokens of the own buckets into LENT; the base part is kept for the
   daemon's own use last.  */
static void
lend_own (QtTable *table, QtLent *lent, int64_t want_utok, int64_t now_us)
{
  QtQuota *quota = lent->quota;
  int64_t spare = qt_usable (table, quota, PART_BASE, now_us)
                  + qt_usable (table, quota, PART_FLEX, now_us)
                  - qt_need (quota);
  int64_t valid_us = QT_GRANT_VALID_US;

  want_utok = MIN (want_utok, spare);
  for (int part = PARTS - 1; part >= 0 && want_utok > 0; part--)
    {
      int64_t left_us = valid_before (table->until_us[part], now_us);
      int64_t amount = MIN (want_utok, qt_usable (table, quota, part, now_us));

      if (left_us < GRANT_VALID_MIN_US || amount <= 0)
        continue;
      valid_us = MIN (valid_us, left_us);
      quota->parts[part].level_utok -= amount;
      quota->parts[part].lent_utok += amount;
      lent->part_utok[part] = amount;
      want_utok -= amount;
    }
  lent->until_us = now_us + valid_us;
}

/* Lends on the borrowed grant that ends last.  */
static void
lend_borrowed (QtLent *lent, int64_t want_utok, int64_t now_us)
{
  QtQuota *quota = lent->quota;
  int64_t spare = qt_borrowed_left (quota, now_us) - qt_need (quota);

  if (quota->borrowed->len == 0)
    return;
  for (guint i = quota->borrowed->len; i > 0; i--)
    {
      QtBorrowed *source = g_ptr_array_index (quota->borrowed, i - 1);
      int64_t left_us = valid_before (source->until_us, now_us);

      if (left_us < GRANT_VALID_MIN_US || source->left_utok <= 0)
        continue;
      lent->source_utok = MIN (MIN (want_utok, spare), source->left_utok);
      if (lent->source_utok <= 0)
        return;
      lent->source = source;
      lent->until_us = now_us + MIN (left_us, QT_GRANT_VALID_US);
      source->left_utok -= lent->source_utok;
      source->lent_count++;
      return;
    }
}

static int64_t
lent_amount (const QtLent *lent)
{
  return lent->part_utok[PART_BASE] + lent->part_utok[PART_FLEX]
         + lent->source_utok;
}

QtGrant
qt_lend (QtTable *table, uint32_t quota_id, const char *borrower,
         int64_t want_utok, int64_t now_us)
{
  QtGrant grant = { .quota_id = quota_id };
  QtQuota *quota = qt_find (table, quota_id);
  QtLent *lent;
  int64_t valid_us;

  g_strlcpy (grant.lender, table->vm, sizeof grant.lender);
  if (quota == NULL || table->split || want_utok <= 0
      || strcmp (borrower, table->vm) == 0)
    return grant;
  qt_update (table, quota, now_us);
  qt_decay (quota, now_us);
  if (g_hash_table_size (table->lent) >= QT_GRANTS_MAX)
    return grant;
  want_utok = MIN (want_utok, quota->burst_utok);
  lent = g_new0 (QtLent, 1);
  lent->quota = quota;
  lend_own (table, lent, want_utok, now_us);
  if (lent_amount (lent) == 0 && table->relay)
    lend_borrowed (lent, want_utok, now_us);
  grant.amount_utok = lent_amount (lent);
  if (table->relay)
    quota->relay_utok += (double)(want_utok - grant.amount_utok);
  if (grant.amount_utok == 0)
    {
      g_free (lent);
      return grant;
    }
  valid_us = lent->until_us - now_us;
  grant.valid_ms = (uint32_t)(valid_us / 1000);
  grant.grant_id = lent->grant_id = table->next_grant_id++;
  lent->until_us = now_us + valid_us * (1000 + QT_DRIFT_PERMILLE) / 1000;
  quota->lent_end_us = MIN (quota->lent_end_us, lent->until_us);
  g_ptr_array_add (quota->lent, lent);
  g_hash_table_insert (table->lent, &lent->grant_id, lent);
  return grant;
}

void
qt_settled (QtTable *table, uint64_t grant_id, int64_t spent_utok,
            int64_t now_us)
{
  QtLent *lent = g_hash_table_lookup (table->lent, &grant_id);
  int64_t amount;

  if (lent == NULL)
    return;
  qt_update (table, lent->quota, now_us);
  /* The update may have ended it.  */
  lent = g_hash_table_lookup (table->lent, &grant_id);
  if (lent == NULL)
    return;
  amount = lent_amount (lent);
  end_lent (table, lent, amount - CLAMP (spent_utok, 0, amount), now_us);
}
