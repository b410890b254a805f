#include "limit/limit.h"

#include <math.h>

/* Demand is averaged over about this time: two windows of one second.  */
#define DEMAND_S 2.0
/* Part of the rate that is divided evenly whatever the demand, so that a
   customer who moves to another daemon is served there at once.  */
#define EVEN_PART 0.25
/* Part of the burst with which a bucket starts.  */
#define START_PART 0.3

typedef struct
{
  double rate_per_s;
  double burst_count;
  double share;
  double tokens;
  int64_t filled_us;
  double demand_per_s;
  int64_t asked_us;
  gboolean fresh; /* set since the last sweep */
} Bucket;

struct LmTable
{
  GHashTable *buckets;
};

LmTable *
lm_new (void)
{
  LmTable *table = g_new0 (LmTable, 1);

  table->buckets
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return table;
}

void
lm_free (LmTable *table)
{
  if (table == NULL)
    return;
  g_hash_table_unref (table->buckets);
  g_free (table);
}

/* At least one token fits, or a small customer could never be served.  */
static double
capacity (const Bucket *bucket)
{
  return MAX (1.0, bucket->burst_count * bucket->share);
}

static void
fill (Bucket *bucket, int64_t now_us)
{
  double seconds = (double)(now_us - bucket->filled_us) / 1e6;

  bucket->filled_us = now_us;
  bucket->tokens
      = MIN (capacity (bucket),
             bucket->tokens + seconds * bucket->rate_per_s * bucket->share);
}

void
lm_set (LmTable *table, const char *customer, double rate_per_s,
        double burst_count, int64_t now_us)
{
  Bucket *bucket = g_hash_table_lookup (table->buckets, customer);

  if (bucket == NULL)
    {
      bucket = g_new0 (Bucket, 1);
      bucket->filled_us = now_us;
      bucket->asked_us = now_us;
      bucket->tokens = -1;
      g_hash_table_insert (table->buckets, g_strdup (customer), bucket);
    }
  else
    fill (bucket, now_us);
  bucket->rate_per_s = rate_per_s;
  bucket->burst_count = burst_count;
  bucket->tokens = MIN (bucket->tokens, capacity (bucket));
  bucket->fresh = TRUE;
}

static gboolean
drop_stale (gpointer key, gpointer value, gpointer data)
{
  Bucket *bucket = value;
  gboolean fresh = bucket->fresh;

  (void)key;
  (void)data;
  bucket->fresh = FALSE;
  return !fresh;
}

void
lm_sweep (LmTable *table)
{
  g_hash_table_foreach_remove (table->buckets, drop_stale, NULL);
}

void
lm_set_share (LmTable *table, const char *customer, double share,
              int64_t now_us)
{
  Bucket *bucket = g_hash_table_lookup (table->buckets, customer);

  if (bucket == NULL)
    return;
  if (bucket->tokens < 0)
    bucket->tokens = START_PART * bucket->burst_count * share;
  else
    fill (bucket, now_us);
  if (bucket->share > 0 && share > bucket->share)
    share = (bucket->share + share) / 2;
  bucket->share = share;
  bucket->tokens = MIN (bucket->tokens, capacity (bucket));
}

static double
current_demand (const Bucket *bucket, int64_t now_us)
{
  double seconds = (double)(now_us - bucket->asked_us) / 1e6;

  return bucket->demand_per_s * exp (-seconds / DEMAND_S);
}

void
lm_note_demand (LmTable *table, const char *customer, int64_t now_us)
{
  Bucket *bucket = g_hash_table_lookup (table->buckets, customer);

  if (bucket == NULL || bucket->rate_per_s <= 0)
    return;
  bucket->demand_per_s = current_demand (bucket, now_us) + 1 / DEMAND_S;
  bucket->asked_us = now_us;
}

gboolean
lm_take (LmTable *table, const char *customer, int64_t now_us,
         int64_t *wait_us)
{
  Bucket *bucket = g_hash_table_lookup (table->buckets, customer);
  double per_s;

  if (bucket == NULL || bucket->rate_per_s <= 0)
    return TRUE;
  fill (bucket, now_us);
  if (bucket->tokens >= 1)
    {
      bucket->tokens -= 1;
      return TRUE;
    }
  per_s = MAX (0.1, bucket->rate_per_s * bucket->share);
  *wait_us = (int64_t)((1 - bucket->tokens) / per_s * 1e6);
  return FALSE;
}

void
lm_return (LmTable *table, const char *customer)
{
  Bucket *bucket = g_hash_table_lookup (table->buckets, customer);

  if (bucket != NULL)
    bucket->tokens = MIN (capacity (bucket), bucket->tokens + 1);
}

double
lm_demand (LmTable *table, const char *customer, int64_t now_us)
{
  const Bucket *bucket = g_hash_table_lookup (table->buckets, customer);

  return bucket != NULL ? current_demand (bucket, now_us) : 0;
}

double
lm_rate (LmTable *table, const char *customer)
{
  const Bucket *bucket = g_hash_table_lookup (table->buckets, customer);

  return bucket != NULL ? bucket->rate_per_s : 0;
}

void
lm_each (LmTable *table, void (*visit) (const char *customer, void *data),
         void *data)
{
  GHashTableIter buckets;
  gpointer customer;

  g_hash_table_iter_init (&buckets, table->buckets);
  while (g_hash_table_iter_next (&buckets, &customer, NULL))
    visit (customer, data);
}

double
lm_share (double own_per_s, double all_per_s, uint32_t count,
          double rate_per_s)
{
  double even = EVEN_PART / MAX (1, count);
  double floor_per_s = EVEN_PART * rate_per_s / MAX (1, count);
  double weighted = (own_per_s + floor_per_s)
                    / MAX (0.001, all_per_s + floor_per_s * count);

  return MIN (1.0, even + (1 - EVEN_PART) * weighted);
}
