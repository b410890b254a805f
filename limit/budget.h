/* budget.h - retry budgets of services: limit the retries a daemon may send

   SYNOPSIS
     LmRetryBudgetOptions options
         = { .ratio = 0.1, .reserve_count = 5, .window_us = 10000000 };
     LmRetryBudget *budget = lm_retry_budget_new (&options);
     lm_retry_budget_add_request (budget, "boards", now_us);
     if (lm_retry_budget_take (budget, "boards", now_us))
       retry ();

   DESCRIPTION
     A service's retries in any window are limited to RATIO of the service's
     requests at this daemon, plus RESERVE_COUNT: half of it at once and half
     evenly over WINDOW_US.  The options are this daemon's share of the budget
     of all daemons together.

   ERRORS
     None.  */

#ifndef LM_BUDGET_H
#define LM_BUDGET_H

#include <glib.h>
#include <stdint.h>

typedef struct LmRetryBudget LmRetryBudget;

typedef struct
{
  double ratio;         /* retries for each request */
  double reserve_count; /* further retries in a window */
  int64_t window_us;    /* 0: the reserve is not refilled */
} LmRetryBudgetOptions;

/* Free with lm_retry_budget_free.  */
LmRetryBudget *lm_retry_budget_new (const LmRetryBudgetOptions *options);
void lm_retry_budget_free (LmRetryBudget *budget);
void lm_retry_budget_set_options (LmRetryBudget *budget,
                                  const LmRetryBudgetOptions *options);
/* Counts a first attempt, which adds RATIO of a retry.  */
void lm_retry_budget_add_request (LmRetryBudget *budget, const char *service,
                                  int64_t now_us);
/* Takes one retry; returns FALSE if the budget is used up.  */
gboolean lm_retry_budget_take (LmRetryBudget *budget, const char *service,
                               int64_t now_us);

#endif
