#include <gtest/gtest.h>

#include <random>

extern "C"
{
#include "plan/plan.h"
}

namespace
{

const PlDestination HAS_HEADROOM
    = { .headroom_permille = 500, .warm_permille = 1000 };
const PlDestination LACKS_HEADROOM
    = { .headroom_permille = 80, .warm_permille = 1000 };
const PlDestination NEARLY_FULL
    = { .headroom_permille = 10, .warm_permille = 1000 };
const PlDestination COLD = { .headroom_permille = 500, .warm_permille = 200 };

class PlanTest : public testing::Test
{
protected:
  CfConfig *config = cf_new ();
  CfDrain *target_drain = add_drain (CF_DRAIN_TARGET, "t1", 100000);
  CfDrain *zone_drain = add_drain (CF_DRAIN_ZONE, "baltic-1", 300000);
  CfDrain *region_drain = add_drain (CF_DRAIN_REGION, "baltic", 500000);
  CfShift *shift = cf_add_shift (config, "s1", "boards", "baltic", "nordic");
  PlController *controller = pl_controller_new ();

  CfDrain *
  add_drain (CfDrainKind kind, const char *object, int64_t start_ms)
  {
    CfDrain *drain = cf_add_drain (config, object, kind, object);
    drain->start_ms = start_ms;
    drain->end_ms = start_ms + 100000;
    return drain;
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
    pl_controller_free (controller);
  }

  uint32_t
  step (const PlDestination &destination, int64_t wall_ms)
  {
    return pl_controller_step (controller, shift, &destination, wall_ms)
        .permille;
  }
};

/* Guards against traffic to a drained object from a daemon whose clock is up
   to 2 s wrong: a drain begins earlier and ends later than configured.  */
TEST_F (PlanTest, DrainCoversClockError)
{
  EXPECT_FALSE (pl_drain_is_active (target_drain, 97999));
  EXPECT_TRUE (pl_drain_is_active (target_drain, 98000));
  EXPECT_TRUE (pl_drain_is_active (target_drain, 201999));
  EXPECT_FALSE (pl_drain_is_active (target_drain, 202000));
}

/* Guards against a drain of a zone or region that misses its targets or VMs,
   and against one that includes an object of another kind of the same name. */
TEST_F (PlanTest, DrainIncludesTargetsAndVmsInside)
{
  EXPECT_TRUE (pl_target_is_draining (config, "t1", "other", 150000));
  EXPECT_TRUE (pl_target_is_draining (config, "t1", nullptr, 150000));
  EXPECT_FALSE (pl_target_is_draining (config, "t2", "baltic-1", 150000));
  EXPECT_FALSE (pl_vm_is_draining (config, "t1", "baltic-1", 150000));
  for (int64_t at : { 350000, 550000 })
    {
      EXPECT_TRUE (pl_target_is_draining (config, "t2", "baltic-1", at));
      EXPECT_TRUE (pl_vm_is_draining (config, "vm1", "baltic-1", at));
      EXPECT_FALSE (pl_vm_is_draining (config, "vm1", "nordic-1", at));
    }
  g_autoptr (GPtrArray) active = pl_active_drains (config, 350000);
  ASSERT_EQ (1u, active->len);
  EXPECT_EQ (zone_drain, g_ptr_array_index (active, 0));
}

/* Guards against a timer that misses the start or end of a drain or shift.  */
TEST_F (PlanTest, NextChangeIsNeverLate)
{
  for (int64_t at = 90000; at < 610000; at += 500)
    {
      int64_t next = pl_next_change_ms (config, at);
      for (int64_t t = at; t < MIN (next, 610000); t += 500)
        for (CfDrain *drain : { target_drain, zone_drain, region_drain })
          ASSERT_EQ (pl_drain_is_active (drain, at),
                     pl_drain_is_active (drain, t));
    }
  EXPECT_EQ (98000, pl_next_change_ms (config, 0));
  EXPECT_EQ (102000, pl_next_change_ms (config, 98000));
  EXPECT_EQ (122000, pl_next_change_ms (config, 102000));
  EXPECT_EQ (198000, pl_next_change_ms (config, 122000));
  EXPECT_EQ (INT64_MAX, pl_next_change_ms (config, 602000));
}

/* Guards against a share above that of an exact clock on a daemon whose clock
   is up to 2 s wrong.  */
TEST_F (PlanTest, ShareIsNeverAboveScheduleOfExactClock)
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
          ASSERT_LE (pl_scheduled_permille (shift, at + error), exact)
              << "ramp " << ramp << " at " << at << " error " << error;
        }
  EXPECT_EQ (0u, pl_scheduled_permille (shift, 102000));
  EXPECT_EQ (200u, pl_scheduled_permille (shift, 112000));
  EXPECT_EQ (400u, pl_scheduled_permille (shift, 122000));
  EXPECT_EQ (0u, pl_scheduled_permille (shift, 198000));
}

/* Guards against a share that lags behind the ramp because of rounding,
   however often it is updated.  */
TEST_F (PlanTest, FollowsRampWithHeadroom)
{
  for (int64_t at = 99000; at < 199000; at += 7)
    ASSERT_EQ (pl_scheduled_permille (shift, at), step (HAS_HEADROOM, at));
}

/* Guards against a restarted daemon that applies another share than the
   others.  */
TEST_F (PlanTest, NewControllerStartsAtScheduledShare)
{
  EXPECT_EQ (400u, step (HAS_HEADROOM, 150000));
}

/* Guards against a shift that keeps rising into a region that is cold or lacks
   headroom, and against a jump when it resumes.  */
TEST_F (PlanTest, HoldsAndResumesAtSlopeOfRamp)
{
  for (const PlDestination &limiting : { LACKS_HEADROOM, COLD })
    {
      pl_controller_free (controller);
      controller = pl_controller_new ();
      EXPECT_EQ (100u, step (HAS_HEADROOM, 107000));
      for (int64_t at = 108000; at <= 140000; at += 1000)
        ASSERT_EQ (100u, step (limiting, at));
      EXPECT_EQ (
          PL_PHASE_HELD,
          pl_controller_step (controller, shift, &limiting, 140000).phase);
      EXPECT_EQ (120u, step (HAS_HEADROOM, 141000));
      EXPECT_EQ (140u, step (HAS_HEADROOM, 142000));
      for (int64_t at = 143000; at <= 156000; at += 1000)
        step (HAS_HEADROOM, at);
      EXPECT_EQ (400u, step (HAS_HEADROOM, 157000));
    }
}

/* Guards against rising at the full slope while the destination has little
   headroom.  */
TEST_F (PlanTest, SlowsBeforeHolding)
{
  const PlDestination little_headroom
      = { .headroom_permille = 150, .warm_permille = 1000 };
  EXPECT_EQ (100u, step (HAS_HEADROOM, 107000));
  EXPECT_EQ (110u, step (little_headroom, 108000));
  EXPECT_EQ (120u, step (little_headroom, 109000));
}

/* Guards against a nearly full destination that keeps its load: the share
   falls to 0 within PL_FALL_MS.  */
TEST_F (PlanTest, FallsBackWhileDestinationIsFull)
{
  uint32_t before = step (HAS_HEADROOM, 150000);
  for (int64_t at = 151000; at <= 160000; at += 1000)
    {
      uint32_t now = step (NEARLY_FULL, at);
      ASSERT_LT (now, before);
      before = now;
    }
  EXPECT_EQ (0u, before);
}

/* Guards against the rise of many seconds in one step after a time without
   measurements.  */
TEST_F (PlanTest, RiseIsLimitedAfterGap)
{
  step (HAS_HEADROOM, 107000);
  step (LACKS_HEADROOM, 120000);
  EXPECT_LE (step (HAS_HEADROOM, 150000), 140u);
}

/* Guards against a share above the scheduled one, with any sequence of loads
   and with a clock that steps back.  */
TEST_F (PlanTest, NeverExceedsScheduledShare)
{
  for (uint64_t seed = 1; seed <= 50; seed++)
    {
      SCOPED_TRACE ("seed " + std::to_string (seed));
      std::mt19937_64 random (seed);
      pl_controller_free (controller);
      controller = pl_controller_new ();
      shift->ramp_ms = random () % 3 * 15000;
      int64_t at = 95000;
      while (at < 205000)
        {
          PlDestination random_load
              = { .headroom_permille = (uint32_t)(random () % 400),
                  .warm_permille = (uint32_t)(random () % 1001) };
          PlShare share
              = pl_controller_step (controller, shift, &random_load, at);
          ASSERT_LE (share.permille, pl_scheduled_permille (shift, at));
          at += (int64_t)(random () % 3000) - 300;
        }
    }
}

/* Guards against the state of an old shift being used for a new one of the
   same name.  */
TEST_F (PlanTest, ChangedStartResetsState)
{
  step (LACKS_HEADROOM, 150000);
  EXPECT_EQ (0u, step (LACKS_HEADROOM, 151000));
  shift->start_ms = 90000;
  EXPECT_EQ (400u, step (HAS_HEADROOM, 152000));
  step (NEARLY_FULL, 154000);
  step (NEARLY_FULL, 155000);
  pl_controller_prune (controller, config);
  EXPECT_GT (400u, step (HAS_HEADROOM, 155001));
  g_autoptr (CfConfig) empty = cf_new ();
  pl_controller_prune (controller, empty);
  EXPECT_EQ (400u, step (HAS_HEADROOM, 155002));
}

}
