/* Buckets of the own share, and taking from them.  */

#include "quota/internal.h"

#include <math.h>
#include <string.h>

#define REFILL_DIVISOR ((int64_t)QT_WEIGHT * G_USEC_PER_SEC)

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
  /* 41 bits of milliseconds and 22 bits of count.  */
  table->next_grant_id = (options->incarnation << 22) + 1;
  table->split = options->split;
  table->quotas
      = g_hash_table_new_full (g_direct_hash, NULL, NULL, quota_free);
  table->lent = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL,
                                       qt_lent_free);
  table->settles = g_array_new (FALSE, TRUE, sizeof (QtSettle));
  return table;
}

void
qt_free (QtTable *table)
{
  if (table == NULL)
    return;
  g_hash_table_unref (table->quotas);
  g_hash_table_unref (table->lent);
  g_array_unref (table->settles);
  g_free (table);
}

QtQuota *
qt_find (QtTable *table, uint32_t quota_id)
{
  return g_hash_table_lookup (table->quotas, GUINT_TO_POINTER (quota_id));
}

static int64_t
share_of (int64_t amount, uint32_t weight)
{
  return (int64_t)((__int128)amount * weight / QT_WEIGHT);
}

static void
clip (QtBucket *bucket)
{
  int64_t room = MAX (bucket->capacity_utok - bucket->lent_utok, 0);

  if (bucket->level_utok >= room)
    {
      bucket->level_utok = room;
      bucket->remainder = 0;
    }
}

static void
refill (QtBucket *bucket, int64_t rate_utok_per_s, uint32_t weight,
        int64_t now_us)
{
  __int128 gained;

  if (now_us <= bucket->filled_us)
    return;
  gained = (__int128)rate_utok_per_s * weight * (now_us - bucket->filled_us)
           + bucket->remainder;
  bucket->filled_us = now_us;
  bucket->remainder = (int64_t)(gained % REFILL_DIVISOR);
  gained = gained / REFILL_DIVISOR + bucket->level_utok;
  bucket->level_utok = (int64_t)MIN (gained, (__int128)QT_AMOUNT_MAX);
  clip (bucket);
}

/* Refills first with what was lent so far: a grant that has ended frees its
   room from now on only.  */
void
qt_update (QtTable *table, QtQuota *quota, int64_t now_us)
{
  for (int part = 0; part < PARTS; part++)
    refill (&quota->parts[part], quota->rate_utok_per_s, table->weights[part],
            now_us);
  qt_lent_expire (table, quota, now_us);
  qt_borrowed_expire (table, quota, now_us);
}

static void
resize (QtTable *table, QtQuota *quota)
{
  for (int part = 0; part < PARTS; part++)
    {
      quota->parts[part].capacity_utok
          = share_of (quota->burst_utok, table->weights[part]);
      clip (&quota->parts[part]);
    }
}

gboolean
qt_define (QtTable *table, uint32_t quota_id, int64_t rate_utok_per_s,
           int64_t burst_utok, int64_t now_us)
{
  QtQuota *quota = qt_find (table, quota_id);

  if (rate_utok_per_s < 0 || burst_utok < 0 || rate_utok_per_s > QT_AMOUNT_MAX
      || burst_utok > QT_AMOUNT_MAX)
    return FALSE;
  if (quota == NULL)
    {
      if (g_hash_table_size (table->quotas) >= QT_QUOTAS_MAX)
        return FALSE;
      quota = g_new0 (QtQuota, 1);
      quota->quota_id = quota_id;
      quota->borrowed = g_ptr_array_new_with_free_func (g_free);
      quota->lent = g_ptr_array_new ();
      quota->demand_us = now_us;
      for (int part = 0; part < PARTS; part++)
        quota->parts[part].filled_us = MAX (now_us, table->refill_from_us);
      g_hash_table_insert (table->quotas, GUINT_TO_POINTER (quota_id), quota);
    }
  qt_update (table, quota, now_us);
  quota->rate_utok_per_s = rate_utok_per_s;
  quota->burst_utok = burst_utok;
  resize (table, quota);
  return TRUE;
}

void
qt_remove (QtTable *table, uint32_t quota_id)
{
  QtQuota *quota = qt_find (table, quota_id);

  if (quota == NULL)
    return;
  for (guint i = 0; i < quota->lent->len; i++)
    {
      const QtLent *lent = g_ptr_array_index (quota->lent, i);
      g_hash_table_remove (table->lent, &lent->grant_id);
    }
  g_hash_table_remove (table->quotas, GUINT_TO_POINTER (quota_id));
}

void
qt_set_share (QtTable *table, uint32_t base_weight, uint32_t flex_weight,
              int64_t now_us)
{
  uint32_t weights[PARTS] = { base_weight, flex_weight };
  GHashTableIter iter;
  void *value;

  g_assert (base_weight <= QT_WEIGHT && flex_weight <= QT_WEIGHT);
  if (!table->has_share)
    {
      table->has_share = TRUE;
      table->refill_from_us
          = now_us
            + QT_GRANT_VALID_US * (int64_t)(1000 + QT_DRIFT_PERMILLE) / 1000;
    }
  g_hash_table_iter_init (&iter, table->quotas);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      QtQuota *quota = value;

      qt_update (table, quota, now_us);
      for (int part = 0; part < PARTS; part++)
        quota->parts[part].filled_us
            = MAX (quota->parts[part].filled_us, table->refill_from_us);
    }
  memcpy (table->weights, weights, sizeof weights);
  g_hash_table_iter_init (&iter, table->quotas);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    resize (table, value);
}

gboolean
qt_share_settled (QtTable *table, int64_t now_us)
{
  GHashTableIter iter;
  void *value;

  if (now_us < table->refill_from_us)
    return FALSE;
  g_hash_table_iter_init (&iter, table->quotas);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      QtQuota *quota = value;

      qt_update (table, quota, now_us);
      for (int part = 0; part < PARTS; part++)
        if (quota->parts[part].lent_utok > quota->parts[part].capacity_utok)
          return FALSE;
    }
  return TRUE;
}

void
qt_set_validity (QtTable *table, int64_t flex_until_us, int64_t base_until_us)
{
  table->until_us[PART_FLEX] = flex_until_us;
  table->until_us[PART_BASE] = base_until_us;
}

void
qt_set_relay (QtTable *table, gboolean relay)
{
  table->relay = relay;
}

void
qt_set_gatherer (QtTable *table, uint32_t quota_id, const char *vm)
{
  QtQuota *quota = qt_find (table, quota_id);

  if (quota != NULL)
    g_strlcpy (quota->gatherer, vm == NULL ? "" : vm, sizeof quota->gatherer);
}

gboolean
qt_is_gatherer (QtTable *table, uint32_t quota_id)
{
  const QtQuota *quota = qt_find (table, quota_id);

  return quota != NULL && qt_gathers (table, quota);
}

void
qt_empty_flex (QtTable *table, int64_t now_us)
{
  GHashTableIter iter;
  void *value;

  g_hash_table_iter_init (&iter, table->quotas);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      QtQuota *quota = value;

      qt_update (table, quota, now_us);
      quota->parts[PART_FLEX].level_utok = 0;
      quota->parts[PART_FLEX].remainder = 0;
    }
}

int64_t
qt_usable (const QtTable *table, const QtQuota *quota, QtPart part,
           int64_t now_us)
{
  return now_us < table->until_us[part] ? quota->parts[part].level_utok : 0;
}

int64_t
qt_sum (const QtTable *table, const QtQuota *quota, int64_t now_us)
{
  return qt_usable (table, quota, PART_BASE, now_us)
         + qt_usable (table, quota, PART_FLEX, now_us)
         + qt_borrowed_left (quota, now_us);
}

void
qt_decay (QtQuota *quota, int64_t now_us)
{
  int64_t passed_us = now_us - quota->demand_us;
  double factor;

  if (passed_us <= 0)
    return;
  factor = exp (-(double)passed_us / DEMAND_TAU_US);
  quota->demand_utok *= factor;
  quota->relay_utok *= factor;
  quota->demand_us = now_us;
  if (now_us - quota->short_us > SHORT_US)
    quota->short_utok = 0;
}

int64_t
qt_need (const QtQuota *quota)
{
  double soon = quota->demand_utok * QT_PREFETCH_US / DEMAND_TAU_US;

  return MAX ((int64_t)MIN (soon, (double)QT_AMOUNT_MAX), quota->short_utok);
}

gboolean
qt_gathers (const QtTable *table, const QtQuota *quota)
{
  return strcmp (quota->gatherer, table->vm) == 0;
}

int64_t
qt_reserved (const QtTable *table, const QtQuota *quota)
{
  if (quota->gatherer[0] == '\0')
    return qt_need (quota);
  /* Parts of a token that stay elsewhere admit nothing.  */
  return qt_gathers (table, quota) ? quota->short_utok : 0;
}

static void
spend_own (const QtTable *table, QtQuota *quota, QtPart part, int64_t *amount,
           int64_t now_us)
{
  int64_t spent = MIN (*amount, qt_usable (table, quota, part, now_us));

  quota->parts[part].level_utok -= spent;
  *amount -= spent;
}

static gboolean
take (QtTable *table, QtQuota *quota, int64_t amount_utok, int64_t now_us)
{
  qt_update (table, quota, now_us);
  if (qt_sum (table, quota, now_us) < amount_utok)
    return FALSE;
  amount_utok -= qt_spend_borrowed (table, quota, amount_utok, now_us);
  spend_own (table, quota, PART_FLEX, &amount_utok, now_us);
  spend_own (table, quota, PART_BASE, &amount_utok, now_us);
  g_assert (amount_utok == 0);
  return TRUE;
}

gboolean
qt_take (QtTable *table, uint32_t quota_id, int64_t amount_utok,
         int64_t now_us)
{
  QtQuota *quota = qt_find (table, quota_id);

  if (quota == NULL || amount_utok < 0 || amount_utok > QT_AMOUNT_MAX)
    return FALSE;
  qt_decay (quota, now_us);
  quota->demand_utok += (double)amount_utok;
  if (take (table, quota, amount_utok, now_us))
    return TRUE;
  quota->short_utok = MIN (quota->short_utok + amount_utok, quota->burst_utok);
  quota->short_us = now_us;
  return FALSE;
}

gboolean
qt_retake (QtTable *table, uint32_t quota_id, int64_t amount_utok,
           int64_t now_us)
{
  QtQuota *quota = qt_find (table, quota_id);

  if (quota == NULL || amount_utok < 0 || amount_utok > QT_AMOUNT_MAX)
    return FALSE;
  qt_decay (quota, now_us);
  quota->short_us = now_us;
  if (!take (table, quota, amount_utok, now_us))
    {
      quota->short_utok = MAX (quota->short_utok, amount_utok);
      return FALSE;
    }
  quota->short_utok = MAX (quota->short_utok - amount_utok, 0);
  return TRUE;
}

int64_t
qt_available (QtTable *table, uint32_t quota_id, int64_t now_us)
{
  QtQuota *quota = qt_find (table, quota_id);

  if (quota == NULL)
    return 0;
  qt_update (table, quota, now_us);
  return qt_sum (table, quota, now_us);
}
