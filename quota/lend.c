/* The lender's side.  */

#include "quota/internal.h"

#include <string.h>

/* A token of a small burst that isn't used soon is missing elsewhere.  The
   lender still keeps the grant for its full time, so that what is unspent can
   come back.  */
#define GATHERED_VALID_US (200 * 1000)

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

void
qt_lent_free (void *data)
{
  QtLent *lent = data;

  g_array_unref (lent->sources);
  g_free (lent);
}

/* Frees what LENT reserved and gives UNSPENT back.  */
static void
end_lent (QtTable *table, QtLent *lent, int64_t unspent_utok, int64_t now_us)
{
  QtQuota *quota = lent->quota;

  for (guint i = 0; i < lent->sources->len; i++)
    {
      const QtSource *source = &g_array_index (lent->sources, QtSource, i);
      QtBorrowed *borrowed = source->borrowed;
      int64_t back = MIN (unspent_utok, source->amount_utok);

      borrowed->lent_count--;
      if (now_us < borrowed->until_us && !borrowed->settled)
        borrowed->left_utok += back;
      unspent_utok -= back;
      qt_settle_if_done (table, borrowed, now_us);
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

static int64_t
lent_amount (const QtLent *lent)
{
  int64_t amount = lent->part_utok[PART_BASE] + lent->part_utok[PART_FLEX];

  for (guint i = 0; i < lent->sources->len; i++)
    amount += g_array_index (lent->sources, QtSource, i).amount_utok;
  return amount;
}

/* Moves tokens of the own buckets into LENT; the base part is kept for the
   daemon's own use last.  */
static void
lend_own (QtTable *table, QtLent *lent, int64_t want_utok, int64_t now_us)
{
  QtQuota *quota = lent->quota;
  int64_t spare = qt_usable (table, quota, PART_BASE, now_us)
                  + qt_usable (table, quota, PART_FLEX, now_us)
                  - qt_reserved (table, quota);
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

static int64_t
lend_source (QtLent *lent, QtBorrowed *borrowed, int64_t want_utok,
             int64_t now_us)
{
  int64_t left_us = valid_before (borrowed->until_us, now_us);
  QtSource source = { borrowed, MIN (want_utok, borrowed->left_utok) };

  if (left_us < GRANT_VALID_MIN_US || source.amount_utok <= 0)
    return 0;
  g_array_append_val (lent->sources, source);
  lent->until_us = MIN (lent->until_us, now_us + left_us);
  borrowed->left_utok -= source.amount_utok;
  borrowed->lent_count++;
  return source.amount_utok;
}

/* Lends on the borrowed grant that ends last.  */
static void
lend_borrowed (QtLent *lent, int64_t want_utok, int64_t now_us)
{
  QtQuota *quota = lent->quota;
  int64_t spare = qt_borrowed_left (quota, now_us) - qt_need (quota);

  for (guint i = quota->borrowed->len; i > 0; i--)
    if (lend_source (lent, g_ptr_array_index (quota->borrowed, i - 1),
                     MIN (want_utok, spare), now_us)
        > 0)
      return;
}

/* Lends whole tokens out of the own buckets and the grants that end first, so
   that few grants stay spent in part and hold their lender's room.  */
static void
lend_gathered (QtTable *table, QtLent *lent, int64_t want_utok, int64_t now_us)
{
  QtQuota *quota = lent->quota;
  int64_t amount = qt_sum (table, quota, now_us) - quota->short_utok;

  for (guint i = 0; i < quota->borrowed->len; i++)
    {
      const QtBorrowed *borrowed = g_ptr_array_index (quota->borrowed, i);

      if (now_us < borrowed->until_us
          && valid_before (borrowed->until_us, now_us) < GRANT_VALID_MIN_US)
        amount -= borrowed->left_utok;
    }
  amount = MIN (amount, want_utok);
  amount -= amount % QT_TOKEN;
  if (amount <= 0)
    return;
  lend_own (table, lent, amount, now_us);
  amount -= lent_amount (lent);
  for (guint i = 0; i < quota->borrowed->len && amount > 0; i++)
    amount -= lend_source (lent, g_ptr_array_index (quota->borrowed, i),
                           amount, now_us);
}

static void
fill_lent (QtTable *table, QtLent *lent, int64_t want_utok, int64_t now_us)
{
  const QtQuota *quota = lent->quota;

  if (qt_gathers (table, quota))
    {
      lend_gathered (table, lent, want_utok, now_us);
      return;
    }
  lend_own (table, lent, want_utok, now_us);
  if (lent_amount (lent) == 0 && table->relay && quota->gatherer[0] == '\0')
    lend_borrowed (lent, want_utok, now_us);
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
  lent->sources = g_array_new (FALSE, FALSE, sizeof (QtSource));
  lent->until_us = now_us + QT_GRANT_VALID_US;
  fill_lent (table, lent, want_utok, now_us);
  grant.amount_utok = lent_amount (lent);
  if (table->relay || qt_gathers (table, quota))
    quota->relay_utok += (double)(want_utok - grant.amount_utok);
  if (grant.amount_utok == 0)
    {
      qt_lent_free (lent);
      return grant;
    }
  valid_us = lent->until_us - now_us;
  grant.valid_ms = (uint32_t)((qt_gathers (table, quota)
                                   ? MIN (valid_us, GATHERED_VALID_US)
                                   : valid_us)
                              / 1000);
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
