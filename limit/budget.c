#include "limit/budget.h"

typedef struct
{
  double tokens; /* retries */
  int64_t refilled_us;
} Bucket;

struct LmRetryBudget
{
  LmRetryBudgetOptions options;
  GHashTable *buckets; /* service to Bucket */
};

LmRetryBudget *
lm_retry_budget_new (const LmRetryBudgetOptions *options)
{
  LmRetryBudget *budget = g_new0 (LmRetryBudget, 1);

  budget->options = *options;
  budget->buckets
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return budget;
}

void
lm_retry_budget_free (LmRetryBudget *budget)
{
  if (budget == NULL)
    return;
  g_hash_table_unref (budget->buckets);
  g_free (budget);
}

void
lm_retry_budget_set_options (LmRetryBudget *budget,
                             const LmRetryBudgetOptions *options)
{
  budget->options = *options;
}

/* Tokens of a bucket of RESERVE_COUNT that return in ELAPSED_US.  */
static double
refill (const LmRetryBudgetOptions *options, double reserve_count,
        int64_t elapsed_us)
{
  if (options->window_us <= 0)
    return 0;
  return reserve_count * (double)elapsed_us / (double)options->window_us;
}

/* A window can use up both a full bucket and the tokens refilled during it, so
   each of the two is limited to half of the reserve.  The capacity is at
   least one token, or a small reserve would never allow a retry.  */
static Bucket *
get_bucket (LmRetryBudget *budget, const char *service, int64_t now_us)
{
  const LmRetryBudgetOptions *options = &budget->options;
  Bucket *bucket = g_hash_table_lookup (budget->buckets, service);
  double half_reserve = options->reserve_count / 2;

  if (bucket == NULL)
    {
      bucket = g_new0 (Bucket, 1);
      bucket->tokens = half_reserve;
      bucket->refilled_us = now_us;
      g_hash_table_insert (budget->buckets, g_strdup (service), bucket);
    }
  bucket->tokens = MIN (
      MAX (half_reserve, 1),
      bucket->tokens
          + refill (options, half_reserve, now_us - bucket->refilled_us));
  bucket->refilled_us = now_us;
  return bucket;
}

void
lm_retry_budget_add_request (LmRetryBudget *budget, const char *service,
                             int64_t now_us)
{
  Bucket *bucket = get_bucket (budget, service, now_us);

  bucket->tokens += budget->options.ratio;
}

gboolean
lm_retry_budget_take (LmRetryBudget *budget, const char *service,
                      int64_t now_us)
{
  Bucket *bucket = get_bucket (budget, service, now_us);

  if (bucket->tokens < 1)
    return FALSE;
  bucket->tokens -= 1;
  return TRUE;
}
