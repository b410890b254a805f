/* Grants at the lender.  */

#include "quota/internal.h"

#include <string.h>

/* Validity of an aggregator's grant: short, since a token of a small burst
   that one borrower holds unused is missing at the others.  The lender keeps
   the grant for its full time, so that unspent tokens can be returned.  */
#define AGGREGATOR_GRANT_VALID_US (200 * 1000)

/* Longest validity of a grant that must expire before UNTIL_US in spite of
   clock drift.  */
static int64_t
max_valid_us (int64_t until_us, int64_t now_us)
{
  if (until_us <= now_us)
    return 0;
  /* The time left is limited before it is multiplied: UNTIL_US may be so large
     that the product would overflow.  */
  return MIN (until_us - now_us, 2 * QT_GRANT_VALID_US) * 1000
         / (1000 + QT_CLOCK_DRIFT_PERMILLE);
}

void
qt_lent_grant_free (void *data)
{
  QtLentGrant *lent = data;

  g_array_unref (lent->sources);
  g_free (lent);
}

/* Ends a grant: restores the capacity that it took and returns the unspent
   tokens to where they came from.  */
static void
end_lent_grant (QtTable *table, QtLentGrant *lent, int64_t unspent_utok,
                int64_t now_us)
{
  QtQuota *quota = lent->quota;

  for (guint i = 0; i < lent->sources->len; i++)
    {
      const QtGrantSource *source
          = &g_array_index (lent->sources, QtGrantSource, i);
      QtBorrowedGrant *borrowed = source->borrowed;
      int64_t returned = MIN (unspent_utok, source->amount_utok);

      borrowed->open_lent_count--;
      if (now_us < borrowed->expires_us && !borrowed->settled)
        borrowed->left_utok += returned;
      unspent_utok -= returned;
      qt_settle_if_done (table, borrowed, now_us);
    }
  for (int kind = 0; kind < BUCKET_COUNT; kind++)
    {
      QtBucket *bucket = &quota->buckets[kind];
      int64_t returned = MIN (unspent_utok, lent->bucket_utok[kind]);
      int64_t room;

      bucket->lent_utok -= lent->bucket_utok[kind];
      g_assert (bucket->lent_utok >= 0);
      room = MAX (
          bucket->capacity_utok - bucket->lent_utok - bucket->level_utok, 0);
      bucket->level_utok += MIN (returned, room);
      unspent_utok -= returned;
    }
  g_ptr_array_remove_fast (quota->lent, lent);
  g_hash_table_remove (table->lent, &lent->grant_id);
}

void
qt_expire_lent_grants (QtTable *table, QtQuota *quota, int64_t now_us)
{
  int64_t next_us = INT64_MAX;

  if (now_us < quota->next_lent_expiry_us)
    return;
  for (guint i = 0; i < quota->lent->len;)
    {
      QtLentGrant *lent = g_ptr_array_index (quota->lent, i);

      if (now_us >= lent->expires_us)
        {
          end_lent_grant (table, lent, 0, now_us);
          continue;
        }
      next_us = MIN (next_us, lent->expires_us);
      i++;
    }
  quota->next_lent_expiry_us = next_us;
}

static int64_t
lent_amount_utok (const QtLentGrant *lent)
{
  int64_t amount
      = lent->bucket_utok[BUCKET_BASE] + lent->bucket_utok[BUCKET_FLEX];

  for (guint i = 0; i < lent->sources->len; i++)
    amount += g_array_index (lent->sources, QtGrantSource, i).amount_utok;
  return amount;
}

/* Moves tokens from the buckets into LENT; from the base bucket last, which is
   kept for the daemon's own requests.  */
static void
lend_from_buckets (QtTable *table, QtLentGrant *lent, int64_t want_utok,
                   int64_t now_us)
{
  QtQuota *quota = lent->quota;
  int64_t spare = qt_bucket_usable_utok (table, quota, BUCKET_BASE, now_us)
                  + qt_bucket_usable_utok (table, quota, BUCKET_FLEX, now_us)
                  - qt_reserved_utok (table, quota);
  int64_t valid_us = QT_GRANT_VALID_US;

  want_utok = MIN (want_utok, spare);
  for (int kind = BUCKET_COUNT - 1; kind >= 0 && want_utok > 0; kind--)
    {
      int64_t left_us = max_valid_us (table->valid_until_us[kind], now_us);
      int64_t amount = MIN (
          want_utok, qt_bucket_usable_utok (table, quota, kind, now_us));

      if (left_us < GRANT_VALID_MIN_US || amount <= 0)
        continue;
      valid_us = MIN (valid_us, left_us);
      quota->buckets[kind].level_utok -= amount;
      quota->buckets[kind].lent_utok += amount;
      lent->bucket_utok[kind] = amount;
      want_utok -= amount;
    }
  lent->expires_us = now_us + valid_us;
}

static int64_t
lend_from_grant (QtLentGrant *lent, QtBorrowedGrant *borrowed,
                 int64_t want_utok, int64_t now_us)
{
  int64_t left_us = max_valid_us (borrowed->expires_us, now_us);
  QtGrantSource source = { borrowed, MIN (want_utok, borrowed->left_utok) };

  if (left_us < GRANT_VALID_MIN_US || source.amount_utok <= 0)
    return 0;
  g_array_append_val (lent->sources, source);
  lent->expires_us = MIN (lent->expires_us, now_us + left_us);
  borrowed->left_utok -= source.amount_utok;
  borrowed->open_lent_count++;
  return source.amount_utok;
}

/* Lends from the borrowed grant that expires last.  */
static void
lend_borrowed (QtLentGrant *lent, int64_t want_utok, int64_t now_us)
{
  QtQuota *quota = lent->quota;
  int64_t spare
      = qt_borrowed_left_utok (quota, now_us) - qt_needed_utok (quota);

  for (guint i = quota->borrowed->len; i > 0; i--)
    if (lend_from_grant (lent, g_ptr_array_index (quota->borrowed, i - 1),
                         MIN (want_utok, spare), now_us)
        > 0)
      return;
}

/* Lends whole tokens from the buckets, then from the borrowed grants that
   expire first, so that few partly spent grants keep holding capacity of their
   lenders.  */
static void
lend_whole_tokens (QtTable *table, QtLentGrant *lent, int64_t want_utok,
                   int64_t now_us)
{
  QtQuota *quota = lent->quota;
  int64_t amount
      = qt_usable_utok (table, quota, now_us) - quota->shortage_utok;

  for (guint i = 0; i < quota->borrowed->len; i++)
    {
      const QtBorrowedGrant *borrowed = g_ptr_array_index (quota->borrowed, i);

      if (now_us < borrowed->expires_us
          && max_valid_us (borrowed->expires_us, now_us) < GRANT_VALID_MIN_US)
        amount -= borrowed->left_utok;
    }
  amount = MIN (amount, want_utok);
  amount -= amount % QT_TOKEN_UTOK;
  if (amount <= 0)
    return;
  lend_from_buckets (table, lent, amount, now_us);
  amount -= lent_amount_utok (lent);
  for (guint i = 0; i < quota->borrowed->len && amount > 0; i++)
    amount -= lend_from_grant (lent, g_ptr_array_index (quota->borrowed, i),
                               amount, now_us);
}

static void
fill_lent_grant (QtTable *table, QtLentGrant *lent, int64_t want_utok,
                 int64_t now_us)
{
  const QtQuota *quota = lent->quota;

  if (qt_aggregates (table, quota))
    {
      lend_whole_tokens (table, lent, want_utok, now_us);
      return;
    }
  lend_from_buckets (table, lent, want_utok, now_us);
  if (lent_amount_utok (lent) == 0 && table->relends
      && quota->aggregator[0] == '\0')
    lend_borrowed (lent, want_utok, now_us);
}

QtGrant
qt_lend (QtTable *table, uint32_t quota_id, const char *borrower,
         int64_t want_utok, int64_t now_us)
{
  QtGrant grant = { .quota_id = quota_id };
  QtQuota *quota = qt_find_quota (table, quota_id);
  QtLentGrant *lent;
  int64_t valid_us;

  g_strlcpy (grant.lender, table->vm, sizeof grant.lender);
  if (quota == NULL || table->split || want_utok <= 0
      || strcmp (borrower, table->vm) == 0)
    return grant;
  qt_update_quota (table, quota, now_us);
  qt_decay_demand (quota, now_us);
  if (g_hash_table_size (table->lent) >= QT_LENT_GRANTS_MAX)
    return grant;
  want_utok = MIN (want_utok, quota->burst_utok);
  lent = g_new0 (QtLentGrant, 1);
  lent->quota = quota;
  lent->sources = g_array_new (FALSE, FALSE, sizeof (QtGrantSource));
  lent->expires_us = now_us + QT_GRANT_VALID_US;
  fill_lent_grant (table, lent, want_utok, now_us);
  grant.amount_utok = lent_amount_utok (lent);
  if (table->relends || qt_aggregates (table, quota))
    quota->unmet_utok += (double)(want_utok - grant.amount_utok);
  if (grant.amount_utok == 0)
    {
      qt_lent_grant_free (lent);
      return grant;
    }
  valid_us = lent->expires_us - now_us;
  grant.valid_ms = (uint32_t)((qt_aggregates (table, quota)
                                   ? MIN (valid_us, AGGREGATOR_GRANT_VALID_US)
                                   : valid_us)
                              / 1000);
  grant.grant_id = lent->grant_id = table->next_grant_id++;
  lent->expires_us
      = now_us + valid_us * (1000 + QT_CLOCK_DRIFT_PERMILLE) / 1000;
  quota->next_lent_expiry_us
      = MIN (quota->next_lent_expiry_us, lent->expires_us);
  g_ptr_array_add (quota->lent, lent);
  g_hash_table_insert (table->lent, &lent->grant_id, lent);
  return grant;
}

void
qt_apply_settlement (QtTable *table, uint64_t grant_id, int64_t spent_utok,
                     int64_t now_us)
{
  QtLentGrant *lent = g_hash_table_lookup (table->lent, &grant_id);
  int64_t amount;

  if (lent == NULL)
    return;
  qt_update_quota (table, lent->quota, now_us);
  /* The update may have expired the grant and freed it.  */
  lent = g_hash_table_lookup (table->lent, &grant_id);
  if (lent == NULL)
    return;
  amount = lent_amount_utok (lent);
  end_lent_grant (table, lent, amount - CLAMP (spent_utok, 0, amount), now_us);
}
