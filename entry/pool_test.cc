#include <gtest/gtest.h>

#include <event2/event.h>

extern "C"
{
#include "entry/pool.h"
}

namespace
{

class Pool : public testing::Test
{
protected:
  void
  SetUp () override
  {
    FlOptions fleet_options = { "vm2", "a1", "a", 0 };
    fleet = fl_new (&fleet_options);
    limits = lm_new ();
    lm_set_limit (limits, "large", 100, 100, 0);
    lm_set_limit (limits, "small", 4, 4, 0);
    EnPoolOptions options
        = { nullptr, "127.0.0.1:2", nullptr, fleet, limits, 0 };
    pool = en_pool_new (&options);
    en_pool_set_daemon_count (pool, 2);
  }

  void
  TearDown () override
  {
    en_pool_free (pool);
    lm_free (limits);
    fl_free (fleet);
  }

  void
  ReceiveReport (const char *name, const char *region)
  {
    FlReport report = {};
    report.name = name;
    report.zone = region;
    report.region = region;
    report.front_address = "";
    report.gossip_address = name;
    report.ready = TRUE;
    fl_receive_report (fleet, &report, kNow);
  }

  static constexpr int64_t kNow = 100000000;
  FlFleet *fleet;
  LmTable *limits;
  EnPool *pool;
};

/* Guards against shares of a large customer that add up to the whole rate.
   While demand changes, the shares of the daemons add up to more than one, and
   more requests are admitted than the limit allows (check QUOTA of the test
   run tammemets-boards, hot-tenant, seed 435362068190: 935 requests in 5 s,
   924 allowed).  */
TEST_F (Pool, SplitsLessThanAWholeLargeRate)
{
  ReceiveReport ("vm1", "a");
  EXPECT_LE (2 * en_pool_share (pool, "large", kNow), 0.97);
  EXPECT_GE (2 * en_pool_share (pool, "large", kNow), 0.9);
}

/* Guards against a small customer that has no token owner in the region, or
   gets more tokens than its rate allows.  */
TEST_F (Pool, AssignsASmallCustomerToOneDaemonOfTheRegion)
{
  ReceiveReport ("vm1", "a");
  double share = en_pool_share (pool, "small", kNow);
  gboolean is_owner
      = fl_token_owner (fleet, fl_customer_id ("small"), kNow) == nullptr;
  EXPECT_EQ (share > 0.5, is_owner);
  EXPECT_LE (share, 1.0);
  EXPECT_GT (share, 0.0);
}

/* Guards against two regions that each admit the whole rate.  */
TEST_F (Pool, SplitsASmallCustomerAmongRegions)
{
  ReceiveReport ("vm1", "b");
  EXPECT_LE (en_pool_share (pool, "small", kNow), 0.55);
}

/* Guards against a daemon that has just started, and has received no reports
   yet, using the whole share of its region.  */
TEST_F (Pool, SplitsUntilMembersAreDiscovered)
{
  EXPECT_LE (en_pool_share (pool, "small", FL_DISCOVERY_US - 1), 0.5);
}

}
