/* budget.h - how many repeats of requests a daemon may send to a service

   SYNOPSIS
     LmBudget *budget = lm_budget_new (&(LmBudgetOptions){ .ratio = 0.1,
                                       .reserve_count = 5, .window_us = w });
     lm_budget_request (budget, "boards", now_us);
     if (lm_budget_take (budget, "boards", now_us))
       send_again ();

   DESCRIPTION
     Repeats of one service may be RATIO of its requests here, plus a reserve
     that is given back evenly over a window.  The options are one daemon's
     share of what all daemons have together.  */

#ifndef LM_BUDGET_H
#define LM_BUDGET_H

#include <glib.h>
#include <stdint.h>

typedef struct LmBudget LmBudget;

typedef struct
{
  double ratio;
  double reserve_count;
  int64_t window_us;
} LmBudgetOptions;

LmBudget *lm_budget_new (const LmBudgetOptions *options);
void lm_budget_free (LmBudget *budget);
void lm_budget_set (LmBudget *budget, const LmBudgetOptions *options);
void lm_budget_request (LmBudget *budget, const char *service, int64_t now_us);
gboolean lm_budget_take (LmBudget *budget, const char *service,
                         int64_t now_us);

#endif
