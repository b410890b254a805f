#include <gtest/gtest.h>

extern "C"
{
#include "limit/budget.h"
#include "limit/limit.h"
}

namespace
{

constexpr int64_t kSecond = 1000000;

int
Admit (LmTable *table, int64_t from_us, int64_t to_us)
{
  int count = 0;
  int64_t wait_us;
  for (int64_t now_us = from_us; now_us < to_us; now_us += 1000)
    count += lm_take (table, "c", now_us, &wait_us);
  return count;
}

/* Guards against a daemon that admits more than its share.  */
TEST (Limit, AdmitsItsShareOfRateAndBurst)
{
  LmTable *table = lm_new ();
  lm_set (table, "c", 100, 40, 0);
  lm_set_share (table, "c", 0.5, 0);
  EXPECT_LE (Admit (table, 0, 10 * kSecond), 10 * 50 + 20);
  EXPECT_GE (Admit (table, 10 * kSecond, 20 * kSecond), 10 * 50 - 1);
  lm_free (table);
}

/* Guards against shares that add up to more than one while demand moves: the
   loser learns of it up to a second later (tammemets-boards, mix seed
   987603670748: 942 requests in 5 s, 924 allowed).  */
TEST (Limit, AShareRisesSlowlyAndFallsAtOnce)
{
  LmTable *table = lm_new ();
  lm_set (table, "c", 100, 10, 0);
  lm_set_share (table, "c", 0.2, 0);
  lm_set_share (table, "c", 0.8, 0);
  EXPECT_LE (Admit (table, kSecond, 3 * kSecond), 2 * 50 + 5 + 1);
  lm_set_share (table, "c", 0.1, 3 * kSecond);
  EXPECT_LE (Admit (table, 3 * kSecond, 5 * kSecond), 2 * 10 + 1 + 1);
  lm_free (table);
}

/* Guards against a restart that hands out a whole burst again.  */
TEST (Limit, StartsWithAPartOfTheBurst)
{
  LmTable *table = lm_new ();
  lm_set (table, "c", 1, 100, 0);
  lm_set_share (table, "c", 1, 0);
  EXPECT_LE (Admit (table, 0, kSecond / 10), 31);
  lm_free (table);
}

/* Guards against shares that add up to more than the whole.  */
TEST (Limit, SharesAddUpToOne)
{
  const double demands[] = { 0, 3, 10, 40 };
  double sum = 0;
  for (double demand : demands)
    sum += lm_share (demand, 53, 4, 60);
  EXPECT_NEAR (sum, 1, 1e-9);
  EXPECT_GT (lm_share (0, 53, 4, 60), 0);
  EXPECT_LE (lm_share (5, 5, 1, 60), 1);
}

/* Guards against a customer that is unknown or unlimited being refused.  */
TEST (Limit, DoesNotLimitWithoutARate)
{
  LmTable *table = lm_new ();
  int64_t wait_us;
  lm_set (table, "free", 0, 0, 0);
  EXPECT_TRUE (lm_take (table, "free", 0, &wait_us));
  EXPECT_TRUE (lm_take (table, "unknown", 0, &wait_us));
  lm_free (table);
}

/* Guards against tokens that are taken for other daemons counting as demand
   here, so that it is told twice.  */
TEST (Limit, CountsDemandApartFromTokens)
{
  LmTable *table = lm_new ();
  lm_set (table, "c", 10, 10, 0);
  lm_set_share (table, "c", 1, 0);
  Admit (table, 0, kSecond);
  EXPECT_EQ (lm_demand (table, "c", kSecond), 0);
  lm_note_demand (table, "c", kSecond);
  EXPECT_GT (lm_demand (table, "c", kSecond), 0);
  lm_free (table);
}

/* Guards against a wait that the client would be told and that is too
   short.  */
TEST (Limit, TellsWhenTheNextTokenIsThere)
{
  LmTable *table = lm_new ();
  int64_t wait_us = 0;
  lm_set (table, "c", 10, 1, 0);
  lm_set_share (table, "c", 1, 0);
  Admit (table, 0, kSecond);
  while (lm_take (table, "c", kSecond, &wait_us))
    ;
  EXPECT_TRUE (lm_take (table, "c", kSecond + wait_us + 1, &wait_us));
  lm_free (table);
}

/* Guards against repeats beyond the share of the budget in any window.  */
TEST (Budget, BoundsRepeatsInAWindow)
{
  LmBudgetOptions options = { 0.1, 6, 10 * kSecond };
  LmBudget *budget = lm_budget_new (&options);
  int repeats = 0;
  for (int i = 0; i < 1000; i++)
    {
      int64_t now_us = i * kSecond / 100;
      lm_budget_request (budget, "boards", now_us);
      repeats += lm_budget_take (budget, "boards", now_us);
    }
  EXPECT_LE (repeats, 0.1 * 1000 + 6);
  EXPECT_GE (repeats, 50);
  lm_budget_free (budget);
}

}
