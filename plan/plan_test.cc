#include <gtest/gtest.h>

#include <random>

extern "C"
{
#include "plan/plan.h"
}

namespace
{

const PlMeasure ROOMY = { .headroom_permille = 500, .warm_permille = 1000 };
const PlMeasure TIGHT = { .headroom_permille = 80, .warm_permille = 1000 };
const PlMeasure FULL = { .headroom_permille = 10, .warm_permille = 1000 };
const PlMeasure COLD = { .headroom_permille = 500, .warm_permille = 200 };

class PlanTest : public testing::Test
{
protected:
  CfConfig *config = cf_new ();
  CfDrain *target = drain (CF_DRAIN_TARGET, "t1", 100000);
  CfDrain *zone = drain (CF_DRAIN_ZONE, "baltic-1", 300000);
  CfDrain *whole = drain (CF_DRAIN_REGION, "baltic", 500000);
  CfShift *shift = cf_add_shift (config, "s1", "boards", "baltic", "nordic");
  PlPlan *plan = pl_new ();

  CfDrain *
  drain (CfDrainKind kind, const char *object, int64_t start_ms)
  {
    CfDrain *added = cf_add_drain (config, object, kind, object);
    added->start_ms = start_ms;
    added->end_ms = start_ms + 100000;
    return added;
  }

  void
  SetUp () override
  {
    CfRegion *region = cf_add_region (config, "baltic");
    g_ptr_array_add (region->zones, g_strdup ("baltic-1"));
    shift->start_ms = 100000;
    shift->end_ms = 200000;
    shift->ramp_ms = 20000;
    shift->share_permille = 400;
  }

  void
  TearDown () override
  {
    cf_unref (config);
    pl_free (plan);
  }

  uint32_t
  step (const PlMeasure &measure, int64_t wall_ms)
  {
    return pl_shift_step (plan, shift, &measure, wall_ms).permille;
  }
};

/* Guards against traffic to a drained object from a daemon whose clock is up
   to 2 s wrong: a drain lasts longer than written at both ends.  */
TEST_F (PlanTest, DrainCoversClockError)
{
  EXPECT_FALSE (pl_drain_active (target, 97999));
  EXPECT_TRUE (pl_drain_active (target, 98000));
  EXPECT_TRUE (pl_drain_active (target, 201999));
  EXPECT_FALSE (pl_drain_active (target, 202000));
}

/* Guards against a drain of a zone or region that misses its targets or VMs,
   and against one that takes in an object of another kind with the same name.
 */
TEST_F (PlanTest, DrainReachesWhatIsInside)
{
  EXPECT_TRUE (pl_target_drains (config, "t1", "other", 150000));
  EXPECT_TRUE (pl_target_drains (config, "t1", nullptr, 150000));
  EXPECT_FALSE (pl_target_drains (config, "t2", "baltic-1", 150000));
  EXPECT_FALSE (pl_vm_drains (config, "t1", "baltic-1", 150000));
  for (int64_t at : { 350000, 550000 })
    {
      EXPECT_TRUE (pl_target_drains (config, "t2", "baltic-1", at));
      EXPECT_TRUE (pl_vm_drains (config, "vm1", "baltic-1", at));
      EXPECT_FALSE (pl_vm_drains (config, "vm1", "nordic-1", at));
    }
  g_autoptr (GPtrArray) active = pl_active_drains (config, 350000);
  ASSERT_EQ (1u, active->len);
  EXPECT_EQ (zone, g_ptr_array_index (active, 0));
}

/* Guards against a timer that misses a step.  */
TEST_F (PlanTest, NextChangeMissesNoStep)
{
  for (int64_t at = 90000; at < 610000; at += 500)
    {
      int64_t next = pl_next_change_ms (config, at);
      for (int64_t t = at; t < MIN (next, 610000); t += 500)
        for (CfDrain *drain : { target, zone, whole })
          ASSERT_EQ (pl_drain_active (drain, at), pl_drain_active (drain, t));
    }
  EXPECT_EQ (98000, pl_next_change_ms (config, 0));
  EXPECT_EQ (102000, pl_next_change_ms (config, 98000));
  EXPECT_EQ (122000, pl_next_change_ms (config, 102000));
  EXPECT_EQ (198000, pl_next_change_ms (config, 122000));
  EXPECT_EQ (INT64_MAX, pl_next_change_ms (config, 602000));
}

/* Guards against a share above the written one on any daemon whose clock is up
   to 2 s wrong.  */
TEST_F (PlanTest, ShareIsNeverAboveScheduleOfTrueTime)
{
  for (int64_t ramp : { 0, 150000, 20000 })
    for (int64_t at = 95000; at < 205000; at += 250)
      for (int64_t error : { -2000, -700, 0, 1300, 2000 })
        {
          shift->ramp_ms = ramp;
          int64_t since = at - shift->start_ms;
          double exact = since < 0 || at >= shift->end_ms ? 0
                         : since >= ramp                  ? 400
                                         : 400.0 * since / ramp;
          ASSERT_LE (pl_shift_written_permille (shift, at + error), exact)
              << "ramp " << ramp << " at " << at << " error " << error;
        }
  EXPECT_EQ (0u, pl_shift_written_permille (shift, 102000));
  EXPECT_EQ (200u, pl_shift_written_permille (shift, 112000));
  EXPECT_EQ (400u, pl_shift_written_permille (shift, 122000));
  EXPECT_EQ (0u, pl_shift_written_permille (shift, 198000));
}

/* Guards against a ramp that lags because of rounding, at any calling rate. */
TEST_F (PlanTest, FollowsRampWhileThereIsRoom)
{
  for (int64_t at = 99000; at < 199000; at += 7)
    ASSERT_EQ (pl_shift_written_permille (shift, at), step (ROOMY, at));
}

/* Guards against a restarted daemon that differs from the others.  */
TEST_F (PlanTest, NewStateJoinsAtWrittenShare)
{
  EXPECT_EQ (400u, step (ROOMY, 150000));
}

/* Guards against a shift that goes on into a region that is cold or lacks
   headroom, and against a jump when it resumes.  */
TEST_F (PlanTest, HoldsAndResumesAtSlopeOfRamp)
{
  for (const PlMeasure &bad : { TIGHT, COLD })
    {
      pl_free (plan);
      plan = pl_new ();
      EXPECT_EQ (100u, step (ROOMY, 107000));
      for (int64_t at = 108000; at <= 140000; at += 1000)
        ASSERT_EQ (100u, step (bad, at));
      EXPECT_EQ (PL_PHASE_HELD,
                 pl_shift_step (plan, shift, &bad, 140000).phase);
      EXPECT_EQ (120u, step (ROOMY, 141000));
      EXPECT_EQ (140u, step (ROOMY, 142000));
      for (int64_t at = 143000; at <= 156000; at += 1000)
        step (ROOMY, at);
      EXPECT_EQ (400u, step (ROOMY, 157000));
    }
}

/* Guards against full speed while the destination is nearly short.  */
TEST_F (PlanTest, SlowsBeforeItHolds)
{
  const PlMeasure little = { .headroom_permille = 150, .warm_permille = 1000 };
  EXPECT_EQ (100u, step (ROOMY, 107000));
  EXPECT_EQ (110u, step (little, 108000));
  EXPECT_EQ (120u, step (little, 109000));
}

/* Guards against a full destination that keeps its load: the share falls to
   nothing within PL_FALL_MS.  */
TEST_F (PlanTest, FallsBackWhileDestinationIsFull)
{
  uint32_t before = step (ROOMY, 150000);
  for (int64_t at = 151000; at <= 160000; at += 1000)
    {
      uint32_t now = step (FULL, at);
      ASSERT_LT (now, before);
      before = now;
    }
  EXPECT_EQ (0u, before);
}

/* Guards against a rise of many seconds in one step after a gap in which
   nothing was measured.  */
TEST_F (PlanTest, GapDoesNotJump)
{
  step (ROOMY, 107000);
  step (TIGHT, 120000);
  EXPECT_LE (step (ROOMY, 150000), 140u);
}

/* Guards against a share above the written one in any order of measures and
   with a clock that steps back.  */
TEST_F (PlanTest, RandomMeasuresNeverExceedWritten)
{
  for (uint64_t seed = 1; seed <= 50; seed++)
    {
      SCOPED_TRACE ("seed " + std::to_string (seed));
      std::mt19937_64 random (seed);
      pl_free (plan);
      plan = pl_new ();
      shift->ramp_ms = random () % 3 * 15000;
      int64_t at = 95000;
      while (at < 205000)
        {
          PlMeasure m = { .headroom_permille = (uint32_t)(random () % 400),
                          .warm_permille = (uint32_t)(random () % 1001) };
          PlShare share = pl_shift_step (plan, shift, &m, at);
          ASSERT_LE (share.permille, pl_shift_written_permille (shift, at));
          at += (int64_t)(random () % 3000) - 300;
        }
    }
}

/* Guards against the state of an old shift that is taken for a new one of the
   same name.  */
TEST_F (PlanTest, MovedShiftStartsAnew)
{
  step (TIGHT, 150000);
  EXPECT_EQ (0u, step (TIGHT, 151000));
  shift->start_ms = 90000;
  EXPECT_EQ (400u, step (ROOMY, 152000));
  step (FULL, 154000);
  step (FULL, 155000);
  pl_prune (plan, config);
  EXPECT_GT (400u, step (ROOMY, 155001));
  g_autoptr (CfConfig) empty = cf_new ();
  pl_prune (plan, empty);
  EXPECT_EQ (400u, step (ROOMY, 155002));
}

}
