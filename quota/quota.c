/* Quotas: refill of the buckets, shares and admission.  */

#include "quota/internal.h"

#include <math.h>
#include <string.h>

#define REFILL_DIVISOR ((int64_t)QT_WEIGHT_TOTAL * G_USEC_PER_SEC)

static void
quota_free (void *data)
{
  QtQuota *quota = data;

  g_ptr_array_unref (quota->borrowed);
  g_ptr_array_unref (quota->lent);
  g_free (quota);
}

QtTable *
qt_new (const QtOptions *options)
{
  QtTable *table = g_new0 (QtTable, 1);

  g_assert (strlen (options->vm) < QT_NAME_BYTES);
  g_strlcpy (table->vm, options->vm, sizeof table->vm);
  /* A grant id has 41 bits of wall clock in ms and a 22-bit counter.  */
  table->next_grant_id = (options->incarnation << 22) + 1;
  table->split = options->split;
  table->quotas
      = g_hash_table_new_full (g_direct_hash, NULL, NULL, quota_free);
  table->lent = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL,
                                       qt_lent_grant_free);
  table->settlements = g_array_new (FALSE, TRUE, sizeof (QtSettlement));
  return table;
}

void
qt_free (QtTable *table)
{
  if (table == NULL)
    return;
  g_hash_table_unref (table->quotas);
  g_hash_table_unref (table->lent);
  g_array_unref (table->settlements);
  g_free (table);
}

QtQuota *
qt_find_quota (QtTable *table, uint32_t quota_id)
{
  return g_hash_table_lookup (table->quotas, GUINT_TO_POINTER (quota_id));
}

static int64_t
scale_by_weight (int64_t amount, uint32_t weight)
{
  return (int64_t)((__int128)amount * weight / QT_WEIGHT_TOTAL);
}

static void
clamp_level (QtBucket *bucket)
{
  int64_t room = MAX (bucket->capacity_utok - bucket->lent_utok, 0);

  if (bucket->level_utok >= room)
    {
      bucket->level_utok = room;
      bucket->remainder = 0;
    }
}

static void
refill_bucket (QtBucket *bucket, int64_t rate_utok_per_s, uint32_t weight,
               int64_t now_us)
{
  __int128 added;

  if (now_us <= bucket->refilled_us)
    return;
  added = (__int128)rate_utok_per_s * weight * (now_us - bucket->refilled_us)
          + bucket->remainder;
  bucket->refilled_us = now_us;
  bucket->remainder = (int64_t)(added % REFILL_DIVISOR);
  added = added / REFILL_DIVISOR + bucket->level_utok;
  bucket->level_utok = (int64_t)MIN (added, (__int128)QT_AMOUNT_MAX_UTOK);
  clamp_level (bucket);
}

/* Refills before it drops expired grants: what an expired grant took off the
   capacity may be refilled from now on only, not for the time before.  */
void
qt_update_quota (QtTable *table, QtQuota *quota, int64_t now_us)
{
  for (int kind = 0; kind < BUCKET_COUNT; kind++)
    refill_bucket (&quota->buckets[kind], quota->rate_utok_per_s,
                   table->weights[kind], now_us);
  qt_expire_lent_grants (table, quota, now_us);
  qt_expire_borrowed_grants (table, quota, now_us);
}

static void
resize_buckets (QtTable *table, QtQuota *quota)
{
  for (int kind = 0; kind < BUCKET_COUNT; kind++)
    {
      quota->buckets[kind].capacity_utok
          = scale_by_weight (quota->burst_utok, table->weights[kind]);
      clamp_level (&quota->buckets[kind]);
    }
}

gboolean
qt_define (QtTable *table, uint32_t quota_id, int64_t rate_utok_per_s,
           int64_t burst_utok, int64_t now_us)
{
  QtQuota *quota = qt_find_quota (table, quota_id);

  if (rate_utok_per_s < 0 || burst_utok < 0
      || rate_utok_per_s > QT_AMOUNT_MAX_UTOK
      || burst_utok > QT_AMOUNT_MAX_UTOK)
    return FALSE;
  if (quota == NULL)
    {
      if (g_hash_table_size (table->quotas) >= QT_QUOTAS_MAX)
        return FALSE;
      quota = g_new0 (QtQuota, 1);
      quota->quota_id = quota_id;
      quota->borrowed = g_ptr_array_new_with_free_func (g_free);
      quota->lent = g_ptr_array_new ();
      quota->decayed_us = now_us;
      for (int kind = 0; kind < BUCKET_COUNT; kind++)
        quota->buckets[kind].refilled_us = MAX (now_us, table->refill_from_us);
      g_hash_table_insert (table->quotas, GUINT_TO_POINTER (quota_id), quota);
    }
  qt_update_quota (table, quota, now_us);
  quota->rate_utok_per_s = rate_utok_per_s;
  quota->burst_utok = burst_utok;
  resize_buckets (table, quota);
  return TRUE;
}

void
qt_remove (QtTable *table, uint32_t quota_id)
{
  QtQuota *quota = qt_find_quota (table, quota_id);

  if (quota == NULL)
    return;
  for (guint i = 0; i < quota->lent->len; i++)
    {
      const QtLentGrant *lent = g_ptr_array_index (quota->lent, i);
      g_hash_table_remove (table->lent, &lent->grant_id);
    }
  g_hash_table_remove (table->quotas, GUINT_TO_POINTER (quota_id));
}

void
qt_set_share (QtTable *table, uint32_t base_weight, uint32_t flex_weight,
              int64_t now_us)
{
  uint32_t weights[BUCKET_COUNT] = { base_weight, flex_weight };
  GHashTableIter iter;
  void *value;

  g_assert (base_weight <= QT_WEIGHT_TOTAL && flex_weight <= QT_WEIGHT_TOTAL);
  if (!table->has_share)
    {
      table->has_share = TRUE;
      table->refill_from_us = now_us
                              + QT_GRANT_VALID_US
                                    * (int64_t)(1000 + QT_CLOCK_DRIFT_PERMILLE)
                                    / 1000;
    }
  g_hash_table_iter_init (&iter, table->quotas);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      QtQuota *quota = value;

      qt_update_quota (table, quota, now_us);
      for (int kind = 0; kind < BUCKET_COUNT; kind++)
        quota->buckets[kind].refilled_us
            = MAX (quota->buckets[kind].refilled_us, table->refill_from_us);
    }
  memcpy (table->weights, weights, sizeof weights);
  g_hash_table_iter_init (&iter, table->quotas);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    resize_buckets (table, value);
}

gboolean
qt_grants_fit_share (QtTable *table, int64_t now_us)
{
  GHashTableIter iter;
  void *value;

  if (now_us < table->refill_from_us)
    return FALSE;
  g_hash_table_iter_init (&iter, table->quotas);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      QtQuota *quota = value;

      qt_update_quota (table, quota, now_us);
      for (int kind = 0; kind < BUCKET_COUNT; kind++)
        if (quota->buckets[kind].lent_utok
            > quota->buckets[kind].capacity_utok)
          return FALSE;
    }
  return TRUE;
}

void
qt_set_validity (QtTable *table, int64_t flex_until_us, int64_t base_until_us)
{
  table->valid_until_us[BUCKET_FLEX] = flex_until_us;
  table->valid_until_us[BUCKET_BASE] = base_until_us;
}

void
qt_set_relending (QtTable *table, gboolean relends)
{
  table->relends = relends;
}

void
qt_set_aggregator (QtTable *table, uint32_t quota_id, const char *vm)
{
  QtQuota *quota = qt_find_quota (table, quota_id);

  if (quota != NULL)
    g_strlcpy (quota->aggregator, vm == NULL ? "" : vm,
               sizeof quota->aggregator);
}

gboolean
qt_is_aggregator (QtTable *table, uint32_t quota_id)
{
  const QtQuota *quota = qt_find_quota (table, quota_id);

  return quota != NULL && qt_aggregates (table, quota);
}

void
qt_empty_flex_buckets (QtTable *table, int64_t now_us)
{
  GHashTableIter iter;
  void *value;

  g_hash_table_iter_init (&iter, table->quotas);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      QtQuota *quota = value;

      qt_update_quota (table, quota, now_us);
      quota->buckets[BUCKET_FLEX].level_utok = 0;
      quota->buckets[BUCKET_FLEX].remainder = 0;
    }
}

int64_t
qt_bucket_usable_utok (const QtTable *table, const QtQuota *quota,
                       QtBucketKind kind, int64_t now_us)
{
  return now_us < table->valid_until_us[kind] ? quota->buckets[kind].level_utok
                                              : 0;
}

int64_t
qt_usable_utok (const QtTable *table, const QtQuota *quota, int64_t now_us)
{
  return qt_bucket_usable_utok (table, quota, BUCKET_BASE, now_us)
         + qt_bucket_usable_utok (table, quota, BUCKET_FLEX, now_us)
         + qt_borrowed_left_utok (quota, now_us);
}

void
qt_decay_demand (QtQuota *quota, int64_t now_us)
{
  int64_t elapsed_us = now_us - quota->decayed_us;
  double factor;

  if (elapsed_us <= 0)
    return;
  factor = exp (-(double)elapsed_us / DEMAND_TAU_US);
  quota->demand_utok *= factor;
  quota->unmet_utok *= factor;
  quota->decayed_us = now_us;
  if (now_us - quota->shortage_us > SHORTAGE_TIMEOUT_US)
    quota->shortage_utok = 0;
}

int64_t
qt_needed_utok (const QtQuota *quota)
{
  double expected = quota->demand_utok * QT_PREFETCH_US / DEMAND_TAU_US;

  return MAX ((int64_t)MIN (expected, (double)QT_AMOUNT_MAX_UTOK),
              quota->shortage_utok);
}

gboolean
qt_aggregates (const QtTable *table, const QtQuota *quota)
{
  return strcmp (quota->aggregator, table->vm) == 0;
}

int64_t
qt_reserved_utok (const QtTable *table, const QtQuota *quota)
{
  if (quota->aggregator[0] == '\0')
    return qt_needed_utok (quota);
  /* The others lend all: a fraction of a token admits no request.  */
  return qt_aggregates (table, quota) ? quota->shortage_utok : 0;
}

static void
spend_from_bucket (const QtTable *table, QtQuota *quota, QtBucketKind kind,
                   int64_t *amount, int64_t now_us)
{
  int64_t spent
      = MIN (*amount, qt_bucket_usable_utok (table, quota, kind, now_us));

  quota->buckets[kind].level_utok -= spent;
  *amount -= spent;
}

static gboolean
spend_tokens (QtTable *table, QtQuota *quota, int64_t amount_utok,
              int64_t now_us)
{
  qt_update_quota (table, quota, now_us);
  if (qt_usable_utok (table, quota, now_us) < amount_utok)
    return FALSE;
  amount_utok -= qt_spend_borrowed (table, quota, amount_utok, now_us);
  spend_from_bucket (table, quota, BUCKET_FLEX, &amount_utok, now_us);
  spend_from_bucket (table, quota, BUCKET_BASE, &amount_utok, now_us);
  g_assert (amount_utok == 0);
  return TRUE;
}

gboolean
qt_take_tokens (QtTable *table, uint32_t quota_id, int64_t amount_utok,
                int64_t now_us)
{
  QtQuota *quota = qt_find_quota (table, quota_id);

  if (quota == NULL || amount_utok < 0 || amount_utok > QT_AMOUNT_MAX_UTOK)
    return FALSE;
  qt_decay_demand (quota, now_us);
  quota->demand_utok += (double)amount_utok;
  if (spend_tokens (table, quota, amount_utok, now_us))
    return TRUE;
  quota->shortage_utok
      = MIN (quota->shortage_utok + amount_utok, quota->burst_utok);
  quota->shortage_us = now_us;
  return FALSE;
}

gboolean
qt_retry_take_tokens (QtTable *table, uint32_t quota_id, int64_t amount_utok,
                      int64_t now_us)
{
  QtQuota *quota = qt_find_quota (table, quota_id);

  if (quota == NULL || amount_utok < 0 || amount_utok > QT_AMOUNT_MAX_UTOK)
    return FALSE;
  qt_decay_demand (quota, now_us);
  quota->shortage_us = now_us;
  if (!spend_tokens (table, quota, amount_utok, now_us))
    {
      quota->shortage_utok = MAX (quota->shortage_utok, amount_utok);
      return FALSE;
    }
  quota->shortage_utok = MAX (quota->shortage_utok - amount_utok, 0);
  return TRUE;
}

int64_t
qt_available_utok (QtTable *table, uint32_t quota_id, int64_t now_us)
{
  QtQuota *quota = qt_find_quota (table, quota_id);

  if (quota == NULL)
    return 0;
  qt_update_quota (table, quota, now_us);
  return qt_usable_utok (table, quota, now_us);
}
