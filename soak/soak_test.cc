#include <gtest/gtest.h>

#include <string>
#include <vector>

extern "C"
{
#include "soak/plan.h"
#include "soak/record.h"
}

namespace
{

const SkPlanOptions kPlan = { 3, 6, 3, 2000, 12000 };

/* Guards against a seed that cannot be played again.  */
TEST (Plan, ASeedGivesTheSameFaults)
{
  GArray *a = sk_plan_new (7, &kPlan);
  GArray *b = sk_plan_new (7, &kPlan);
  ASSERT_EQ (a->len, b->len);
  EXPECT_GT (a->len, 5u);
  for (guint i = 0; i < a->len; i++)
    EXPECT_EQ (memcmp (&g_array_index (a, SkFault, i),
                       &g_array_index (b, SkFault, i), sizeof (SkFault)),
               0);
  g_array_unref (a);
  g_array_unref (b);
}

/* Guards against kinds that are never drawn, and against a subject with two
   faults, of which the first end would undo the second.  */
TEST (Plan, DrawsEveryKindAndOneFaultASubject)
{
  std::vector<int> seen (SK_KIND_COUNT);
  for (uint32_t seed = 1; seed <= 100; seed++)
    {
      GArray *plan = sk_plan_new (seed, &kPlan);
      for (guint i = 0; i < plan->len; i++)
        {
          SkFault *fault = &g_array_index (plan, SkFault, i);
          seen[fault->kind]++;
          EXPECT_LE (fault->until_ms, kPlan.until_ms);
          for (guint j = 0; j < i; j++)
            {
              SkFault *other = &g_array_index (plan, SkFault, j);
              EXPECT_FALSE (sk_kinds[other->kind].subject
                                == sk_kinds[fault->kind].subject
                            && other->index == fault->index
                            && fault->from_ms <= other->until_ms);
            }
        }
      g_array_unref (plan);
    }
  for (int kind = 0; kind < SK_KIND_COUNT; kind++)
    EXPECT_GT (seen[kind], 0) << sk_kinds[kind].name;
}

const char *
ZoneOf (const char *target)
{
  return target[1] == '0' ? "a1" : "b1";
}

class Record : public testing::Test
{
protected:
  ~Record () override { sk_record_free (record); }

  SkRequest *
  Add (const char *id, int64_t sent_us, int status, const char *body = "t0")
  {
    SkRequest request = {};
    g_strlcpy (request.id, id, sizeof request.id);
    request.customer = "c1";
    request.key_number = 1;
    request.sent_us = sent_us;
    request.status = status;
    g_strlcpy (request.body, body, sizeof request.body);
    return sk_record_get (record, sk_record_request (record, &request));
  }

  std::string
  Check (const std::string &runs, const std::string &more_arrivals = "")
  {
    GPtrArray *broken
        = sk_check (record, runs.c_str (), (runs + more_arrivals).c_str (),
                    ZoneOf, &bounds);
    std::string all;
    for (guint i = 0; i < broken->len; i++)
      all += std::string ((char *)broken->pdata[i]).substr (0, 5) + "|";
    g_ptr_array_unref (broken);
    return all;
  }

  SkRecord *record = sk_record_new ();
  SkBounds bounds = { 3000, 3000,    5000, 2, "c2",     2,
                      1,    1000000, 0.1,  0, 10000000, G_MAXINT64 };
};

/* Guards against checks that see nothing: each has a record that breaks it,
   and one that does not.  */
TEST_F (Record, FindsNothingInAGoodRun)
{
  Add ("q1", 100, 200)->is_unsafe = TRUE;
  EXPECT_EQ (Check ("150 t0 q1 c1 nokey\n"), "");
}

TEST_F (Record, FindsWhatRanTwice)
{
  Add ("q1", 100, 200)->is_unsafe = TRUE;
  bounds.repeat_reserve_count = 5;
  EXPECT_EQ (Check ("150 t0 q1 c1 nokey\n160 t1 q1 c1 nokey\n"), "twice|");
}

TEST_F (Record, FindsFalseRefusals)
{
  Add ("q1", 100, 503)->said_not_run = TRUE;
  EXPECT_EQ (Check ("150 t0 q1 c1 nokey\n"), "false|");
}

TEST_F (Record, FindsWrongCustomersKeysAndStrangers)
{
  Add ("q1", 100, 200);
  EXPECT_EQ (Check ("150 t0 q1 c9 nokey\n"), "custo|");
  EXPECT_EQ (Check ("150 t0 q1 c1 key\n"), "key: |");
  EXPECT_EQ (Check ("150 t0 q1 c1 nokey\n", "160 t0 q7 c1 nokey\n"), "custo|");
}

TEST_F (Record, FindsAnswersOfOthers)
{
  Add ("q1", 100, 200, "t1");
  EXPECT_EQ (Check ("150 t0 q1 c1 nokey\n"), "spoil|");
}

TEST_F (Record, FindsWithdrawnKeys)
{
  sk_record_begin (record, SK_PERIOD_KEY_WITHDRAWN, "1", 1000);
  Add ("q1", 3900, 200);
  EXPECT_EQ (Check ("3950 t0 q1 c1 nokey\n"), "");
  Add ("q2", 4100, 200);
  EXPECT_EQ (Check ("3950 t0 q1 c1 nokey\n4150 t0 q2 c1 nokey\n"), "withd|");
}

TEST_F (Record, FindsWorkForClosedTargets)
{
  sk_record_begin (record, SK_PERIOD_DRAIN, "t0", 1000);
  sk_record_begin (record, SK_PERIOD_EVACUATED, "b1", 1000);
  sk_record_end (record, SK_PERIOD_EVACUATED, "b1", 900000);
  Add ("q1", 100, 200);
  Add ("q2", 100, 200, "t1");
  EXPECT_EQ (Check ("900000 t0 q1 c1 nokey\n900001 t1 q2 c1 nokey\n"),
             "drain|");
  EXPECT_EQ (Check ("900 t0 q1 c1 nokey\n800000 t1 q2 c1 nokey\n"), "evacu|");
}

TEST_F (Record, AllowsWorkWhileTheStoreIsOutOfReach)
{
  sk_record_begin (record, SK_PERIOD_DRAIN, "t0", 1000);
  sk_record_begin (record, SK_PERIOD_UNSTABLE, "1-0", 900);
  sk_record_end (record, SK_PERIOD_UNSTABLE, "1-0", 800000);
  Add ("q1", 100, 200);
  EXPECT_EQ (Check ("900000 t0 q1 c1 nokey\n"), "");
  EXPECT_EQ (Check ("1100000 t0 q1 c1 nokey\n"), "drain|");
}

TEST_F (Record, FindsTooMuchWork)
{
  sk_record_begin (record, SK_PERIOD_COLD, "t0", 0);
  std::string runs;
  for (int i = 0; i < 4; i++)
    {
      std::string id = "q" + std::to_string (i);
      Add (id.c_str (), 100, 200)->customer = "c2";
      runs += std::to_string (10000 + i) + " t0 " + id + " c2 nokey\n";
    }
  EXPECT_EQ (Check (runs), "cold:|rate:|");
  EXPECT_EQ (Check (runs, "20000 t1 q1 c2 nokey\n"), "cold:|rate:|repea|");
}

TEST_F (Record, FindsWhatIsNotServedAgain)
{
  bounds.calm_us = 1000;
  Add ("q1", 900, 503);
  EXPECT_EQ (Check (""), "");
  Add ("q2", 1100, 503);
  EXPECT_EQ (Check (""), "recov|");
}

}
