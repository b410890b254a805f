#include <gtest/gtest.h>

#include <map>
#include <random>
#include <string>
#include <vector>

extern "C"
{
#include "steer/steer.h"
}

namespace
{

/* Zones 0 and 1 are in region 0, zone 2 in region 1, zone 3 in region 2.  */
class SteerTest : public testing::Test
{
protected:
  std::vector<SrRegion> regions = { { "baltic", 0, INT64_MAX },
                                    { "nordic", 12000, 1 << 20 },
                                    { "central", 20000, 1 << 20 } };
  std::vector<SrZone> zones = { { "baltic-1", 0, 0 },
                                { "baltic-2", 0, 1000 },
                                { "nordic-1", 1, 12000 },
                                { "central-1", 2, 20000 } };
  SrLender lender = { "vm9", 3, 0 };
  SrLender full_lender = { "vm9", 0, 0 };
  std::vector<SrTarget> targets;
  std::vector<SrShift> shifts;
  SrView view = {};
  SrRequest request = { .bytes = 1000 };
  SrChoice choice = {};

  /* 4 targets per zone; vm9 lends all slots.  */
  void
  SetUp () override
  {
    for (uint32_t zone = 0; zone < 4; zone++)
      for (int i = 0; i < 4; i++)
        targets.push_back ({ .name = "t",
                             .zone = zone,
                             .healthy = TRUE,
                             .slot_count = 3,
                             .lenders = &lender,
                             .lender_count = 1,
                             .warm_permille = 1000 });
  }

  const SrChoice &
  choose (const char *policy, uint64_t random)
  {
    view = { .own_zone = view.own_zone,
             .regions = regions.data (),
             .region_count = 3,
             .zones = zones.data (),
             .zone_count = 4,
             .targets = targets.data (),
             .target_count = 16,
             .shifts = shifts.data (),
             .shift_count = (uint32_t)shifts.size () };
    request.random = random;
    sr_find_policy (policy)->choose (&view, &request, &choice);
    return choice;
  }

  /* Number of 10,000 choices that go to each zone; -1 is no target.  */
  std::map<int, int>
  count_chosen_zones (const char *policy = "headroom")
  {
    std::map<int, int> counts;
    for (uint64_t random = 0; random < 10000; random++)
      {
        choose (policy, random);
        counts[choice.target == SR_NONE ? -1
                                        : (int)targets[choice.target].zone]++;
      }
    return counts;
  }

  void
  fill_targets (uint32_t first, uint32_t last)
  {
    for (uint32_t i = first; i <= last; i++)
      {
        targets[i].lenders = &full_lender;
        targets[i].in_use_count = 3;
      }
  }
};

/* Guards against a choice that no policy may make: a target that is draining,
   unhealthy or already tried, one across a full link, or a slot that nobody
   has.  Each seed gives a random view.  */
TEST_F (SteerTest, NoPolicyChoosesExcludedTargets)
{
  for (uint64_t seed = 1; seed <= 5000; seed++)
    {
      SCOPED_TRACE ("seed " + std::to_string (seed));
      std::mt19937_64 random (seed);
      bool usable = false;
      uint32_t tried[] = { (uint32_t)(random () % 16) };
      request.tried = tried;
      request.tried_count = 1;
      regions[1].link_bytes = random () % 2000;
      shifts = { { 0, 1, (uint32_t)(random () % 1001) } };
      for (uint32_t i = 0; i < 16; i++)
        {
          SrTarget &t = targets[i];
          t.healthy = random () % 4 > 0;
          t.draining = random () % 4 == 0;
          t.own_free_count = random () % 4 == 0;
          t.lenders = random () % 2 ? &lender : &full_lender;
          t.in_use_count = random () % 4;
          t.shed_permille = random () % 500;
          t.reported_running = random () % 4;
          usable |= t.healthy && !t.draining && i != tried[0];
        }
      for (const SrPolicy *p = sr_policies (); p->name != nullptr; p++)
        {
          choose (p->name, random ());
          if (choice.target == SR_NONE)
            {
              ASSERT_EQ (usable ? SR_VERDICT_WAIT : SR_VERDICT_REFUSE,
                         choice.verdict);
              continue;
            }
          const SrTarget &t = targets[choice.target];
          uint32_t region = zones[t.zone].region;
          ASSERT_TRUE (t.healthy && !t.draining && choice.target != tried[0]);
          ASSERT_TRUE (region == 0
                       || regions[region].link_bytes >= request.bytes);
          bool own = choice.verdict == SR_VERDICT_OWN;
          ASSERT_EQ (own, t.own_free_count > 0);
          ASSERT_TRUE (own || t.lenders == &lender);
          ASSERT_TRUE (choice.shift == SR_NONE || region == 1);
        }
    }
}

/* Guards against policies that cannot be selected by name in the settings.  */
TEST_F (SteerTest, FindsPoliciesByName)
{
  for (const char *name :
       { "headroom", "nearest", "random", "least-reported" })
    EXPECT_STREQ (name, sr_find_policy (name)->name);
  EXPECT_EQ (nullptr, sr_find_policy ("other"));
}

/* Guards against traffic that leaves its zone or region unnecessarily.  */
TEST_F (SteerTest, PrefersZoneThenRegionThenLowestCost)
{
  EXPECT_EQ ((std::map<int, int>{ { 0, 10000 } }), count_chosen_zones ());
  fill_targets (0, 3);
  EXPECT_EQ ((std::map<int, int>{ { 1, 10000 } }), count_chosen_zones ());
  fill_targets (4, 7);
  EXPECT_EQ ((std::map<int, int>{ { 2, 10000 } }), count_chosen_zones ());
  for (int i = 8; i < 12; i++)
    targets[i].latency_us = 200000;
  fill_targets (8, 10);
  EXPECT_EQ ((std::map<int, int>{ { 3, 10000 } }), count_chosen_zones ());
}

/* Guards against baselines that do not choose as their names say.  */
TEST_F (SteerTest, BaselinesChooseAsNamed)
{
  EXPECT_EQ ((std::map<int, int>{ { 0, 10000 } }),
             count_chosen_zones ("nearest"));
  for (auto [zone, count] : count_chosen_zones ("random"))
    EXPECT_NEAR (2500, count, 250) << zone;
  for (SrTarget &t : targets)
    t.reported_running = 2;
  targets[13].reported_running = 1;
  EXPECT_EQ (13u, choose ("least-reported", 1).target);
}

/* Guards against spill-over that uses the last tenth of a region's slots, both
   at the sender and at the lender.  */
TEST_F (SteerTest, SpillOverLeavesHeadroom)
{
  SrLender one = { "vm9", 1, 0 };
  fill_targets (0, 15);
  for (uint32_t free = 0; free <= 4; free++)
    {
      for (uint32_t i = 8; i < 12; i++)
        targets[i].lenders = i - 8 < free ? &one : &full_lender;
      bool allowed = free >= 1 && (free - 1) * 10 >= 12;
      EXPECT_EQ (allowed ? SR_VERDICT_BORROW : SR_VERDICT_WAIT,
                 choose ("headroom", 1).verdict);
      EXPECT_EQ (allowed, sr_may_lend (&view, 1, 0));
      EXPECT_TRUE (sr_may_lend (&view, 1, 1));
      EXPECT_EQ (free * 1000 / 12,
                 sr_region_headroom (&view, 1).headroom_permille);
    }
}

/* Guards against headroom that includes unusable slots, or more free slots
   than there are slots.  */
TEST_F (SteerTest, HeadroomCountsUsableSlots)
{
  choose ("headroom", 1);
  targets[8].draining = TRUE;
  targets[9].healthy = FALSE;
  targets[10].limit_count = 1;
  targets[10].warm_permille = 200;
  targets[11].own_free_count = 3;
  SrHeadroom headroom = sr_region_headroom (&view, 1);
  EXPECT_EQ (4u, headroom.slot_count);
  EXPECT_EQ (4u, headroom.free_count);
  EXPECT_EQ (800u, headroom.warm_permille);
  for (int i = 8; i < 12; i++)
    targets[i].draining = TRUE;
  EXPECT_EQ (0u, sr_region_headroom (&view, 1).headroom_permille);
}

/* Guards against a shift that moves more or less than its share, that moves
   requests to a region or across a link without capacity, or that cannot be
   turned off when its cap is exhausted.  */
TEST_F (SteerTest, ShiftMovesItsShareWithinCapacity)
{
  shifts = { { 0, 1, 250 }, { 0, 2, 100 }, { 1, 0, 900 } };
  auto counts = count_chosen_zones ();
  EXPECT_NEAR (6500, counts[0], 150);
  EXPECT_NEAR (2500, counts[2], 150);
  EXPECT_NEAR (1000, counts[3], 150);
  request.no_shift = TRUE;
  EXPECT_EQ (10000, count_chosen_zones ()[0]);
  request.no_shift = FALSE;
  regions[2].link_bytes = 999;
  for (int i = 8; i < 12; i++)
    targets[i].draining = TRUE;
  EXPECT_EQ (10000, count_chosen_zones ()[0]);
}

/* Guards against choosing a target that reports idle but sheds: it may receive
   only the few requests that detect its recovery.  */
TEST_F (SteerTest, AvoidsSheddingTargetThatReportsIdle)
{
  for (SrTarget &t : targets)
    t.reported_running = t.in_use_count = 2;
  targets[1].reported_running = targets[1].in_use_count = 0;
  targets[1].shed_permille = 600;
  int shedding = 0;
  for (uint64_t random = 0; random < 10000; random++)
    shedding += choose ("headroom", random).target == 1;
  EXPECT_GT (shedding, 0);
  EXPECT_LE (shedding, 2 * 10000 / SR_RECOVERY_CHECK_ONE_IN);
  fill_targets (0, 0);
  fill_targets (2, 15);
  EXPECT_EQ (SR_VERDICT_WAIT, choose ("headroom", 1).verdict);
  for (SrTarget &t : targets)
    t.draining = &t != &targets[1];
  EXPECT_EQ (1u, choose ("headroom", 1).target);
}

/* Guards against herding: when many daemons have the same report, 2 s old or
   new, no target may be chosen more often than by the better of two random
   targets.  */
TEST_F (SteerTest, SameReportDoesNotCauseHerding)
{
  SrLender lenders[4]
      = { { "vm9", 3 }, { "vm9", 2 }, { "vm9", 1 }, { "vm9" } };
  for (uint32_t age_ms : { 0, 2000 })
    {
      for (uint32_t i = 0; i < 16; i++)
        {
          lenders[i % 4].age_ms = age_ms;
          targets[i].zone = 0;
          targets[i].lenders = &lenders[i == 7 ? 0 : 1 + i % 3];
          targets[i].reported_running = i != 7;
        }
      std::map<uint32_t, int> counts;
      for (uint64_t random = 0; random < 10000; random++)
        counts[choose ("headroom", random * 7919).target]++;
      for (auto [target, count] : counts)
        EXPECT_LE (count, 10000 * 2 / 11 + 200) << target << " at " << age_ms;
      EXPECT_EQ (7u, choose ("least-reported", 1).target);
    }
}

/* Guards against daemons that keep choosing the few targets that were free in
   the last report: an old report must have no influence, a fresh one must.  */
TEST_F (SteerTest, OlderReportsWeighLess)
{
  SrLender old_free = { "vm9", 3, 2000 }, old_full = { "vm9", 0, 2000 };
  for (uint32_t i = 0; i < 16; i++)
    targets[i].lenders = i % 4 ? &old_full : &old_free;
  std::map<uint32_t, int> counts;
  for (uint64_t random = 0; random < 10000; random++)
    counts[choose ("headroom", random).target]++;
  for (uint32_t i = 0; i < 4; i++)
    EXPECT_NEAR (2500, counts[i], 250);
  targets[2].lenders = &full_lender;
  for (uint64_t random = 0; random < 1000; random++)
    EXPECT_NE (2u, choose ("headroom", random).target);
}

/* Guards against waiting when a lender may have a free slot by now, and
   against requesting a slot when probe is not set.  */
TEST_F (SteerTest, ProbeAsksWhenNobodyReportsFreeSlots)
{
  fill_targets (0, 15);
  EXPECT_EQ (SR_VERDICT_WAIT, choose ("headroom", 1).verdict);
  request.probe = TRUE;
  EXPECT_EQ (SR_VERDICT_BORROW, choose ("headroom", 1).verdict);
  EXPECT_STREQ ("vm9", choice.lender_vm);
  EXPECT_LT (choice.target, 8u);
}

/* Guards against a lookup that lists a leaving VM, puts a full VM before
   others of its group, or breaks the order of the groups.  */
TEST_F (SteerTest, LookupOrder)
{
  choose ("headroom", 0);
  SrVm vms[] = { { "a", 3, FALSE, 0 },    { "b", 2, FALSE, 100 },
                 { "c", 1, FALSE, 950 },  { "d", 1, FALSE, 900 },
                 { "e", 0, FALSE, 1000 }, { "f", 0, TRUE, 0 },
                 { "g", 0, FALSE, 300 } };
  uint32_t order[7];
  for (uint64_t random = 0; random < 100; random++)
    {
      ASSERT_EQ (6u, sr_lookup_order (&view, vms, 7, 0, random, order, 7));
      std::string names;
      for (int i = 0; i < 6; i++)
        names += vms[order[i]].name;
      ASSERT_EQ ("gedcba", names);
      ASSERT_EQ (2u, sr_lookup_order (&view, vms, 7, 1, random, order, 2));
      ASSERT_EQ (1u, order[0]);
    }
  EXPECT_EQ (6u, sr_lookup_order (&view, vms, 7, SR_NONE, 1, order, 7));
  EXPECT_EQ (6u, order[0]);
  EXPECT_EQ (0u, sr_lookup_order (&view, vms, 0, 0, 1, order, 7));
}

/* Guards against all callers moving to the VM with the lowest reported load:
   each VM must come first in proportion to its spare capacity.  */
TEST_F (SteerTest, LookupSpreadsBySpareCapacity)
{
  choose ("headroom", 0);
  SrVm vms[] = { { "a", 0, FALSE, 201 },
                 { "b", 0, FALSE, 201 },
                 { "c", 0, FALSE, 601 } };
  std::map<uint32_t, int> first;
  uint32_t order[3];
  for (uint64_t random = 0; random < 10000; random++)
    {
      sr_lookup_order (&view, vms, 3, 0, random * 7919, order, 3);
      first[order[0]]++;
    }
  EXPECT_NEAR (4000, first[0], 250);
  EXPECT_NEAR (4000, first[1], 250);
  EXPECT_NEAR (2000, first[2], 250);
}

}
