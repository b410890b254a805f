#include <gtest/gtest.h>

#include <set>
#include <string>

extern "C"
{
#include "fleet/fleet.h"
}

namespace
{

constexpr int64_t kSecond = 1000000;

class Fleet : public testing::Test
{
protected:
  void
  SetUp () override
  {
    FlOptions options = { "vm1", "a1", "a", started_us };
    fleet = fl_new (&options);
  }

  void
  TearDown () override
  {
    fl_free (fleet);
  }

  gboolean
  Receive (const char *name, const char *zone, const char *region,
           int64_t started_ms = 1, gboolean stopping = FALSE,
           gboolean is_zone_leader = FALSE)
  {
    FlDemand demand = { fl_customer_id ("c"), 4 };
    FlReport report = {};
    report.name = name;
    report.zone = zone;
    report.region = region;
    report.started_ms = started_ms;
    report.front_address = "10.0.0.2:80";
    report.gossip_address = "10.0.0.2:90";
    report.ready = TRUE;
    report.stopping = stopping;
    report.is_zone_leader = is_zone_leader;
    report.demands = &demand;
    report.demand_count = 1;
    return fl_receive_report (fleet, &report, now_us);
  }

  static void
  AddIfLive (const FlMember *member, void *data)
  {
    auto *self = static_cast<Fleet *> (data);
    self->live += fl_is_live (member, self->now_us);
  }

  int
  CountLiveMembers ()
  {
    live = 0;
    fl_each_member (fleet, AddIfLive, this);
    return live;
  }

  FlFleet *fleet;
  int64_t started_us = 90 * kSecond;
  int64_t now_us = 100 * kSecond;
  int live = 0;
};

/* Guards against other daemons using the share of a daemon that is only
   partitioned.  */
TEST_F (Fleet, SuspectMembersAreNotLiveButKeepTheirShare)
{
  EXPECT_TRUE (Receive ("vm2", "a1", "a"));
  EXPECT_FALSE (Receive ("vm2", "a1", "a"));
  now_us += FL_SUSPECT_TIMEOUT_US + 1;
  EXPECT_EQ (CountLiveMembers (), 0);
  EXPECT_EQ (fl_count_daemons (fleet, now_us), 2u);
  EXPECT_EQ (fl_demand (fleet, fl_customer_id ("c"), now_us), 4);
  now_us += FL_EXPIRY_TIMEOUT_US;
  fl_expire_members (fleet, now_us);
  EXPECT_EQ (fl_count_daemons (fleet, now_us), 1u);
  EXPECT_EQ (fl_demand (fleet, fl_customer_id ("c"), now_us), 0);
}

/* Guards against callers being sent to a daemon that is stopping.  */
TEST_F (Fleet, StoppingMembersAreNotLive)
{
  Receive ("vm2", "a1", "a");
  EXPECT_TRUE (Receive ("vm2", "a1", "a", 1, TRUE));
  EXPECT_EQ (CountLiveMembers (), 0);
}

/* Guards against two stopping daemons replying to each other's reports without
   end, as fast as they can.  */
TEST_F (Fleet, RepeatedStopIsNoChange)
{
  Receive ("vm2", "a1", "a");
  EXPECT_TRUE (Receive ("vm2", "a1", "a", 1, TRUE));
  EXPECT_FALSE (Receive ("vm2", "a1", "a", 1, TRUE));
}

/* Guards against a delayed report of an earlier incarnation overwriting the
   state of the current one.  */
TEST_F (Fleet, IgnoresReportsOfEarlierIncarnations)
{
  Receive ("vm2", "a1", "a", 5);
  EXPECT_FALSE (Receive ("vm2", "a1", "a", 4, TRUE));
  EXPECT_EQ (CountLiveMembers (), 1);
  EXPECT_TRUE (Receive ("vm2", "a1", "a", 6));
}

/* Guards against a daemon counting its own report as one of another member. */
TEST_F (Fleet, CountsItselfOnce)
{
  EXPECT_FALSE (Receive ("vm1", "a1", "a"));
  Receive ("vm2", "a2", "a");
  Receive ("vm3", "b1", "b");
  EXPECT_EQ (fl_count_daemons (fleet, now_us), 3u);
  EXPECT_EQ (fl_count_in_zone (fleet, "a1", now_us), 1u);
  EXPECT_EQ (fl_count_in_region (fleet, "a", now_us), 2u);
  EXPECT_EQ (fl_count_in_region (fleet, "b", now_us), 1u);
}

/* Guards against a zone whose demand no daemon reports to other zones, also
   while the daemon with the lowest name has just started and knows no other
   member.  */
TEST_F (Fleet, ElectsOneLeaderPerZoneAfterDiscovery)
{
  EXPECT_EQ (fl_zone_leader (fleet, started_us + 1), FL_ZONE_LEADER_NONE);
  EXPECT_EQ (fl_zone_leader (fleet, now_us), FL_ZONE_LEADER_SELF);
  Receive ("vm2", "a1", "a", 1, FALSE, TRUE);
  Receive ("vm0", "a2", "a", 1, FALSE, TRUE);
  EXPECT_EQ (fl_zone_leader (fleet, started_us + 1), FL_ZONE_LEADER_OTHER);
  EXPECT_EQ (fl_zone_leader (fleet, now_us), FL_ZONE_LEADER_SELF);
  Receive ("vm0a", "a1", "a");
  EXPECT_EQ (fl_zone_leader (fleet, now_us), FL_ZONE_LEADER_SELF);
  Receive ("vm0a", "a1", "a", 1, FALSE, TRUE);
  EXPECT_EQ (fl_zone_leader (fleet, now_us), FL_ZONE_LEADER_OTHER);
  EXPECT_EQ (fl_demand_in_zone (fleet, fl_customer_id ("c"), now_us), 8);
  EXPECT_EQ (fl_demand (fleet, fl_customer_id ("c"), now_us), 12);
  now_us += FL_SUSPECT_TIMEOUT_US + 1;
  EXPECT_EQ (fl_zone_leader (fleet, now_us), FL_ZONE_LEADER_SELF);
}

/* Guards against reports to all daemons of a large fleet in each interval:
   they would grow with the square of its size.  A member that reports less
   often is suspect later, or lookups and shares would change all the time.  */
TEST_F (Fleet, ReportsLessOftenToOtherRegionsOfALargeFleet)
{
  FlMember near = {}, far = {};
  near.region = "a";
  far.region = "b";
  Receive ("vm0", "a1", "a", 1, FALSE, TRUE);
  now_us += FL_DISCOVERY_US;
  Receive ("vm0", "a1", "a", 1, FALSE, TRUE);
  EXPECT_EQ (fl_intervals_to (fleet, &far, now_us), 1u);
  for (int i = 0; i < 118; i++)
    Receive (("w" + std::to_string (i)).c_str (), "b1", "b");
  EXPECT_EQ (fl_intervals_to (fleet, &far, now_us),
             (uint32_t)FL_REMOTE_INTERVALS_MAX);
  EXPECT_EQ (fl_intervals_to (fleet, &near, now_us), 1u);
}

/* Guards against taking a member for lost that reports at a longer interval.
 */
TEST_F (Fleet, SuspectsAMemberByItsOwnInterval)
{
  FlReport report = {};
  report.name = "vm9";
  report.zone = "b1";
  report.region = "b";
  report.started_ms = 1;
  report.front_address = "10.0.0.9:80";
  report.gossip_address = "10.0.0.9:90";
  report.ready = TRUE;
  report.interval_us = 3 * FL_REPORT_INTERVAL_US;
  fl_receive_report (fleet, &report, now_us);
  now_us += FL_SUSPECT_TIMEOUT_US + 2 * FL_REPORT_INTERVAL_US;
  EXPECT_EQ (CountLiveMembers (), 1);
  now_us += 1;
  EXPECT_EQ (CountLiveMembers (), 0);
}

/* Guards against a daemon that starts or stops and takes itself for the token
   owner while the others have another one, so that twice as many tokens are
   granted; and against no owner at all while no daemon is ready.  */
TEST_F (Fleet, CountsItselfAsOwnerOnlyWhileItIsReady)
{
  int own_count = 0;
  Receive ("vm2", "a1", "a");
  for (uint64_t hash = 1; hash <= 50; hash++)
    own_count
        += fl_target_token_owner (fleet, hash << 40, "a", now_us) == nullptr;
  EXPECT_GT (own_count, 5);
  EXPECT_LT (own_count, 45);
  fl_set_ready (fleet, FALSE);
  for (uint32_t hash = 1; hash <= 50; hash++)
    {
      EXPECT_NE (
          fl_target_token_owner (fleet, (uint64_t)hash << 40, "a", now_us),
          nullptr);
      EXPECT_NE (fl_token_owner (fleet, hash, now_us), nullptr);
    }
  Receive ("vm2", "a1", "a", 1, TRUE);
  EXPECT_EQ (fl_target_token_owner (fleet, 1, "a", now_us), nullptr);
  EXPECT_EQ (fl_token_owner (fleet, 1, now_us), nullptr);
  fl_set_stopping (fleet);
  own_count = 0;
  for (uint64_t hash = 1; hash <= 50; hash++)
    own_count
        += fl_target_token_owner (fleet, hash << 40, "a", now_us) == nullptr;
  EXPECT_GT (own_count, 5);
  EXPECT_LT (own_count, 45) << "each daemon is the owner while all stop";
}

/* Guards against two daemons that each keep the token bucket of a target, and
   together send it twice what it takes.  */
TEST (TargetTokens, AllDaemonsAgreeOnTheOwnerOfATarget)
{
  const struct
  {
    const char *name, *region, *gossip_address;
  } daemons[] = { { "vm1", "a", "1" },
                  { "vm2", "a", "2" },
                  { "vm3", "b", "3" },
                  { "vm4", "b", "4" },
                  { "vm5", "c", "5" } };
  for (uint64_t target = 1; target <= 50; target++)
    for (const char *region : { "a", "b", "c", "without-daemons" })
      {
        std::set<std::string> owners;
        for (const auto &self : daemons)
          {
            FlOptions options = { self.name, "z", self.region, 0 };
            FlFleet *fleet = fl_new (&options);
            for (const auto &other : daemons)
              {
                FlReport report = {};
                report.name = other.name;
                report.zone = "z";
                report.region = other.region;
                report.front_address = "";
                report.gossip_address = other.gossip_address;
                report.ready = TRUE;
                if (other.name != self.name)
                  fl_receive_report (fleet, &report, 1000000);
              }
            const char *owner
                = fl_target_token_owner (fleet, target << 40, region, 1000000);
            owners.insert (owner != nullptr ? owner : self.gossip_address);
            fl_free (fleet);
          }
        EXPECT_EQ (owners.size (), 1u) << region << " " << target;
        for (const auto &daemon : daemons)
          {
            if (owners.count (daemon.gossip_address) == 0
                || std::string (region) == "without-daemons")
              continue;
            EXPECT_STREQ (daemon.region, region);
          }
      }
}
}

/* Guards against daemons that report the crashes of one request to different
   watchers, so that no one counts them.  */
TEST_F (Fleet, FindsTheSameWatchersForTheSameRequest)
{
  const char *first[FL_WATCHERS_MAX], *second[FL_WATCHERS_MAX];
  EXPECT_EQ (fl_find_watchers (fleet, 9, now_us, first), 0u);
  for (int i = 2; i <= 9; i++)
    {
      std::string name = "vm" + std::to_string (i);
      FlReport report = {};
      report.name = name.c_str ();
      report.zone = "a1";
      report.region = "a";
      report.front_address = "";
      report.gossip_address = name.c_str ();
      fl_receive_report (fleet, &report, now_us);
    }
  for (uint64_t hash = 1; hash < 50; hash++)
    {
      ASSERT_EQ (fl_find_watchers (fleet, hash, now_us, first), 3u);
      ASSERT_EQ (fl_find_watchers (fleet, hash, now_us, second), 3u);
      EXPECT_STREQ (first[0], second[0]);
      EXPECT_STREQ (first[1], second[1]);
      EXPECT_STREQ (first[2], second[2]);
      EXPECT_STRNE (first[0], first[1]);
      EXPECT_STRNE (first[1], first[2]);
    }
  EXPECT_EQ (fl_find_watchers (fleet, 9, now_us + 60000000, first), 0u);
}
