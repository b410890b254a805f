#include <gtest/gtest.h>

#include <string>

extern "C"
{
#include "emulator/judge.h"
#include "emulator/plan.h"
#include "emulator/target.h"
}

namespace
{

struct Judged
{
  EmJudge *judge = em_judge_new ();

  ~Judged () { em_judge_free (judge); }

  void
  send (const char *id, bool is_unsafe = true, uint64_t body_hash = 7)
  {
    EmAttempt attempt = {};
    g_strlcpy (attempt.id, id, sizeof attempt.id);
    attempt.is_unsafe = is_unsafe;
    attempt.body_hash = body_hash;
    em_judge_add_attempt (judge, &attempt);
  }
  void
  run (const char *id, const char *target = "t0", uint64_t body_hash = 7)
  {
    em_judge_add_run (judge, id, target, body_hash);
  }
  void
  respond (const char *id, uint32_t status, const char *body = "",
           bool has_signature = true)
  {
    EmResponse response = {};
    response.id = id;
    response.status = status;
    response.body = body;
    response.has_signature = has_signature;
    em_judge_add_response (judge, &response);
  }
  /* The first words of the violations.  */
  std::string
  violations ()
  {
    GPtrArray *lines = em_judge_check (judge);
    std::string words;

    for (guint i = 0; i < lines->len; i++)
      {
        std::string line = (const char *)lines->pdata[i];
        words += (i > 0 ? " " : "") + line.substr (0, line.find (':'));
      }
    g_ptr_array_unref (lines);
    return words;
  }
};

/* Guards against a judge that overlooks a run after a refusal, whichever
   status it has and whichever comes first.  */
TEST (Judge, FindsRunsOfRefusedAttempts)
{
  for (uint32_t status : { 408u, 421u, 429u, 503u })
    for (bool runs_first : { true, false })
      {
        Judged j;

        j.send ("a");
        if (runs_first)
          j.run ("a");
        j.respond ("a", status);
        if (!runs_first)
          j.run ("a");
        EXPECT_EQ ("refused", j.violations ()) << status;
      }
}

/* Guards against a judge that takes statuses without a promise for one.  */
TEST (Judge, LetsOtherFailuresRun)
{
  for (uint32_t status : { 500u, 502u, 504u })
    {
      Judged j;

      j.send ("a");
      j.run ("a");
      j.respond ("a", status);
      EXPECT_EQ ("", j.violations ()) << status;
    }
}

TEST (Judge, FindsSecondRunsOfUnsafeAttemptsOnly)
{
  for (bool is_unsafe : { true, false })
    {
      Judged j;

      j.send ("a", is_unsafe);
      j.run ("a");
      j.run ("a", "t1");
      EXPECT_EQ (is_unsafe ? "twice" : "", j.violations ());
    }
}

/* Guards against a judge that overlooks the response to another attempt.  */
TEST (Judge, FindsResponsesOfOthers)
{
  const struct
  {
    const char *body;
    bool has_signature;
    const char *violations;
  } cases[] = {
    { "a t0", true, "" },
    { "a t0", false, "mixed" },
    { "a t1", true, "mixed" },
    { "b t0", true, "mixed" },
  };

  for (const auto &c : cases)
    {
      Judged j;

      j.send ("a");
      j.run ("a");
      j.respond ("a", 200, c.body, c.has_signature);
      EXPECT_EQ (c.violations, j.violations ()) << c.body;
    }
}

TEST (Judge, FindsWhatNobodySent)
{
  Judged j;

  j.send ("a");
  j.run ("b");
  j.run ("a", "t0", 8);
  EXPECT_EQ ("unasked unasked", j.violations ());
}

/* Guards against plans that cannot be played again, that leave out a kind of
   fault, or in which two faults of one subject overlap.  */
TEST (Plan, CoversAllKindsAndRepeats)
{
  const uint32_t weights[EM_FAULT_COUNT] = { 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1 };
  EmPlanOptions options = { 2, 3, weights, EM_FAULT_COUNT, 1000, 20000 };
  uint32_t kind_counts[EM_KIND_COUNT] = {};

  for (uint32_t seed = 1; seed <= 50; seed++)
    {
      GArray *plan = em_plan_new (seed, &options);
      GArray *again = em_plan_new (seed, &options);

      ASSERT_EQ (plan->len, again->len);
      EXPECT_EQ (
          0, memcmp (plan->data, again->data, plan->len * sizeof (EmPlanned)));
      for (guint i = 0; i < plan->len; i++)
        {
          const EmPlanned *fault = &g_array_index (plan, EmPlanned, i);
          kind_counts[fault->kind]++;
          EXPECT_LE (fault->until_ms, 20000);
          for (guint j = 0; j < i; j++)
            {
              const EmPlanned *other = &g_array_index (plan, EmPlanned, j);
              EXPECT_FALSE (em_kinds[other->kind].subject
                                == em_kinds[fault->kind].subject
                            && other->subject_index == fault->subject_index
                            && other->fault == fault->fault
                            && fault->from_ms <= other->until_ms);
            }
        }
      g_array_unref (again);
      g_array_unref (plan);
    }
  for (uint32_t i = 0; i < EM_KIND_COUNT; i++)
    EXPECT_GT (kind_counts[i], 0u) << em_kinds[i].name;
}

}
