#include "limit/budget.h"

typedef struct
{
  double tokens;
  int64_t filled_us;
} Bucket;

struct LmBudget
{
  LmBudgetOptions options;
  GHashTable *buckets; /* service to Bucket */
};

LmBudget *
lm_budget_new (const LmBudgetOptions *options)
{
  LmBudget *budget = g_new0 (LmBudget, 1);

  budget->options = *options;
  budget->buckets
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return budget;
}

void
lm_budget_free (LmBudget *budget)
{
  if (budget == NULL)
    return;
  g_hash_table_unref (budget->buckets);
  g_free (budget);
}

void
lm_budget_set (LmBudget *budget, const LmBudgetOptions *options)
{
  budget->options = *options;
}

/* A window may see both a full bucket and what flows in meanwhile, so each is
   given half of the reserve.  */
static Bucket *
bucket_of (LmBudget *budget, const char *service, int64_t now_us)
{
  const LmBudgetOptions *options = &budget->options;
  Bucket *bucket = g_hash_table_lookup (budget->buckets, service);
  double half = options->reserve_count / 2;

  if (bucket == NULL)
    {
      bucket = g_new0 (Bucket, 1);
      bucket->tokens = half;
      bucket->filled_us = now_us;
      g_hash_table_insert (budget->buckets, g_strdup (service), bucket);
    }
  bucket->tokens
      = MIN (MAX (half, 1), bucket->tokens
                                + half * (double)(now_us - bucket->filled_us)
                                      / (double)options->window_us);
  bucket->filled_us = now_us;
  return bucket;
}

void
lm_budget_request (LmBudget *budget, const char *service, int64_t now_us)
{
  Bucket *bucket = bucket_of (budget, service, now_us);

  bucket->tokens += budget->options.ratio;
}

gboolean
lm_budget_take (LmBudget *budget, const char *service, int64_t now_us)
{
  Bucket *bucket = bucket_of (budget, service, now_us);

  if (bucket->tokens < 1)
    return FALSE;
  bucket->tokens -= 1;
  return TRUE;
}
