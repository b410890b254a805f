#include "limit/limit.h"

#include <math.h>
#include <string.h>

/* Time constant of the EWMA of the demand: two report intervals of one
   second.  */
#define DEMAND_TAU_S 2.0
/* Fraction of the rate that is divided regardless of demand, so that a
   customer whose callers move to another daemon is admitted there at once.  */
#define EVEN_FRACTION 0.25
/* Fraction of the burst that a new bucket holds.  */
#define INITIAL_BURST_FRACTION 0.1
/* Burst of a shared bucket, in seconds at its rate, beyond one token: requests
   that may come at once when there were few before.  */
#define SHARED_BURST_S 0.5
/* Longest time without a request for a token of a shared bucket in which no
   other daemon can have kept it: it takes several messages until a daemon has
   taken over and given back.  */
#define SHARED_GAP_US ((int64_t)200000)
/* Tokens of a shared bucket that may be another daemon's.  */
#define SHARED_FIRST_COUNT 1

typedef struct
{
  double rate_per_s;
  double burst_count;
  double share;         /* of this daemon, 0 to 1 */
  double tokens;        /* -1 until the share is set */
  int64_t refilled_us;  /* time of tokens */
  int64_t requested_us; /* when a shared token was last requested; 0: never */
  double demand_per_s;
  int64_t demand_updated_us;
  /* Recorded demands, the last one first.  */
  double noted_per_s[LM_SCOPE_COUNT][LM_NOTED_MAX];
  gboolean is_marked; /* limit set since the last sweep */
} Bucket;

struct LmTable
{
  GHashTable *buckets; /* customer to Bucket */
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

/* At least one token, or a small customer would never be admitted.  */
static double
bucket_capacity (const Bucket *bucket)
{
  return MAX (1.0, bucket->burst_count * bucket->share);
}

static double
tokens_at (const Bucket *bucket, int64_t now_us)
{
  double elapsed_s = (double)(now_us - bucket->refilled_us) / 1e6;

  return MIN (bucket_capacity (bucket),
              bucket->tokens + elapsed_s * bucket->rate_per_s * bucket->share);
}

static void
refill (Bucket *bucket, int64_t now_us)
{
  bucket->tokens = tokens_at (bucket, now_us);
  bucket->refilled_us = now_us;
}

void
lm_set_limit (LmTable *table, const char *customer, double rate_per_s,
              double burst_count, int64_t now_us)
{
  Bucket *bucket = g_hash_table_lookup (table->buckets, customer);

  if (bucket == NULL)
    {
      bucket = g_new0 (Bucket, 1);
      bucket->refilled_us = now_us;
      bucket->demand_updated_us = now_us;
      bucket->tokens = -1;
      g_hash_table_insert (table->buckets, g_strdup (customer), bucket);
    }
  else
    refill (bucket, now_us);
  bucket->rate_per_s = rate_per_s;
  bucket->burst_count = burst_count;
  bucket->tokens = MIN (bucket->tokens, bucket_capacity (bucket));
  bucket->is_marked = TRUE;
}

static gboolean
sweep_bucket (gpointer key, gpointer value, gpointer data)
{
  Bucket *bucket = value;
  gboolean is_marked = bucket->is_marked;

  (void)key;
  (void)data;
  bucket->is_marked = FALSE;
  return !is_marked;
}

void
lm_sweep (LmTable *table)
{
  g_hash_table_foreach_remove (table->buckets, sweep_bucket, NULL);
}

void
lm_set_share (LmTable *table, const char *customer, double share,
              int64_t now_us)
{
  Bucket *bucket = g_hash_table_lookup (table->buckets, customer);

  if (bucket == NULL)
    return;
  if (bucket->tokens < 0)
    bucket->tokens = INITIAL_BURST_FRACTION * bucket->burst_count * share;
  else
    refill (bucket, now_us);
  if (bucket->share > 0 && share > bucket->share)
    share = (bucket->share + share) / 2;
  bucket->share = share;
  bucket->tokens = MIN (bucket->tokens, bucket_capacity (bucket));
}

static double
current_demand (const Bucket *bucket, int64_t now_us)
{
  double elapsed_s = (double)(now_us - bucket->demand_updated_us) / 1e6;

  return bucket->demand_per_s * exp (-elapsed_s / DEMAND_TAU_S);
}

void
lm_record_request (LmTable *table, const char *customer, int64_t now_us)
{
  Bucket *bucket = g_hash_table_lookup (table->buckets, customer);

  if (bucket == NULL || bucket->rate_per_s <= 0)
    return;
  bucket->demand_per_s = current_demand (bucket, now_us) + 1 / DEMAND_TAU_S;
  bucket->demand_updated_us = now_us;
}

gboolean
lm_peek_token (const LmTable *table, const char *customer, int64_t now_us,
               int64_t *wait_us)
{
  const Bucket *bucket = g_hash_table_lookup (table->buckets, customer);
  double tokens;
  double refill_per_s;

  if (bucket == NULL || bucket->rate_per_s <= 0)
    return TRUE;
  tokens = tokens_at (bucket, now_us);
  if (tokens >= 1)
    return TRUE;
  refill_per_s = MAX (0.1, bucket->rate_per_s * bucket->share);
  *wait_us = (int64_t)((1 - tokens) / refill_per_s * 1e6);
  return FALSE;
}

gboolean
lm_take_token (LmTable *table, const char *customer, int64_t now_us,
               int64_t *wait_us)
{
  Bucket *bucket = g_hash_table_lookup (table->buckets, customer);

  if (bucket == NULL || bucket->rate_per_s <= 0)
    return TRUE;
  refill (bucket, now_us);
  if (!lm_peek_token (table, customer, now_us, wait_us))
    return FALSE;
  bucket->tokens -= 1;
  return TRUE;
}

gboolean
lm_take_shared_token (LmTable *table, const char *key, double rate_per_s,
                      int64_t now_us, int64_t *wait_us)
{
  Bucket *bucket;

  lm_set_limit (table, key, rate_per_s, 1 + rate_per_s * SHARED_BURST_S,
                now_us);
  lm_set_share (table, key, 1, now_us);
  bucket = g_hash_table_lookup (table->buckets, key);
  if (now_us - bucket->requested_us > SHARED_GAP_US)
    bucket->tokens = MIN (bucket->tokens, SHARED_FIRST_COUNT);
  bucket->requested_us = now_us;
  return lm_take_token (table, key, now_us, wait_us);
}

void
lm_return_token (LmTable *table, const char *customer)
{
  Bucket *bucket = g_hash_table_lookup (table->buckets, customer);

  if (bucket != NULL)
    bucket->tokens = MIN (bucket_capacity (bucket), bucket->tokens + 1);
}

double
lm_demand (LmTable *table, const char *customer, int64_t now_us)
{
  const Bucket *bucket = g_hash_table_lookup (table->buckets, customer);

  return bucket != NULL ? current_demand (bucket, now_us) : 0;
}

void
lm_note_demand (LmTable *table, const char *customer, LmScope scope,
                double per_s)
{
  Bucket *bucket = g_hash_table_lookup (table->buckets, customer);
  double *noted;

  if (bucket == NULL)
    return;
  noted = bucket->noted_per_s[scope];
  memmove (&noted[1], &noted[0], (LM_NOTED_MAX - 1) * sizeof noted[0]);
  noted[0] = per_s;
}

double
lm_noted_demand (LmTable *table, const char *customer, LmScope scope,
                 uint32_t intervals)
{
  const Bucket *bucket = g_hash_table_lookup (table->buckets, customer);

  return bucket != NULL ? bucket->noted_per_s[scope][intervals] : 0;
}

double
lm_rate (LmTable *table, const char *customer)
{
  const Bucket *bucket = g_hash_table_lookup (table->buckets, customer);

  return bucket != NULL ? bucket->rate_per_s : 0;
}

void
lm_each_customer (LmTable *table,
                  void (*visit) (const char *customer, void *data), void *data)
{
  GHashTableIter buckets;
  gpointer customer;

  g_hash_table_iter_init (&buckets, table->buckets);
  while (g_hash_table_iter_next (&buckets, &customer, NULL))
    visit (customer, data);
}

/* IDLE_PER_S is added to the demand at all daemons together, so that the
   shares without demand are the idle ones, and a small demand changes them
   little.  */
double
lm_compute_share (double local_per_s, double total_per_s, double idle_share,
                  double rate_per_s)
{
  double idle_per_s = EVEN_FRACTION * rate_per_s;
  double weighted_share = (local_per_s + idle_per_s * idle_share)
                          / MAX (0.001, total_per_s + idle_per_s);

  return MIN (1.0, EVEN_FRACTION * idle_share
                       + (1 - EVEN_FRACTION) * weighted_share);
}
