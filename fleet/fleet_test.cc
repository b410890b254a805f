#include <gtest/gtest.h>

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
  Hear (const char *name, const char *zone, const char *region,
        int64_t started_ms = 1, gboolean stopping = FALSE,
        gboolean speaks = FALSE)
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
    report.speaks_for_zone = speaks;
    report.demands = &demand;
    report.demand_count = 1;
    return fl_hear (fleet, &report, now_us);
  }

  static void
  CountLive (const FlMember *member, void *data)
  {
    auto *self = static_cast<Fleet *> (data);
    self->live += fl_is_live (member, self->now_us);
  }

  int
  Live ()
  {
    live = 0;
    fl_each (fleet, CountLive, this);
    return live;
  }

  FlFleet *fleet;
  int64_t started_us = 90 * kSecond;
  int64_t now_us = 100 * kSecond;
  int live = 0;
};

/* Guards against shares that forget a daemon which is only cut off.  */
TEST_F (Fleet, SilentMembersAreNotLiveButStillCount)
{
  EXPECT_TRUE (Hear ("vm2", "a1", "a"));
  EXPECT_FALSE (Hear ("vm2", "a1", "a"));
  now_us += FL_SILENT_US + 1;
  EXPECT_EQ (Live (), 0);
  EXPECT_EQ (fl_count (fleet, now_us), 2u);
  EXPECT_EQ (fl_demand (fleet, fl_customer_id ("c"), now_us), 4);
  now_us += FL_RESERVED_US;
  fl_forget (fleet, now_us);
  EXPECT_EQ (fl_count (fleet, now_us), 1u);
  EXPECT_EQ (fl_demand (fleet, fl_customer_id ("c"), now_us), 0);
}

/* Guards against clients being sent to a daemon that stops.  */
TEST_F (Fleet, StoppingMembersAreNotLive)
{
  Hear ("vm2", "a1", "a");
  EXPECT_TRUE (Hear ("vm2", "a1", "a", 1, TRUE));
  EXPECT_EQ (Live (), 0);
}

/* Guards against two stopping daemons that answer each other's reports as fast
   as they can.  */
TEST_F (Fleet, ARepeatedStopIsNoChange)
{
  Hear ("vm2", "a1", "a");
  EXPECT_TRUE (Hear ("vm2", "a1", "a", 1, TRUE));
  EXPECT_FALSE (Hear ("vm2", "a1", "a", 1, TRUE));
}

/* Guards against a late report of an earlier start hiding the present one.  */
TEST_F (Fleet, IgnoresReportsOfEarlierStarts)
{
  Hear ("vm2", "a1", "a", 5);
  EXPECT_FALSE (Hear ("vm2", "a1", "a", 4, TRUE));
  EXPECT_EQ (Live (), 1);
  EXPECT_TRUE (Hear ("vm2", "a1", "a", 6));
}

/* Guards against a daemon that counts its own report as another's.  */
TEST_F (Fleet, CountsItselfOnce)
{
  EXPECT_FALSE (Hear ("vm1", "a1", "a"));
  Hear ("vm2", "a2", "a");
  Hear ("vm3", "b1", "b");
  EXPECT_EQ (fl_count (fleet, now_us), 3u);
  EXPECT_EQ (fl_count_in_zone (fleet, "a1", now_us), 1u);
  EXPECT_EQ (fl_count_in_region (fleet, "a", now_us), 2u);
  EXPECT_EQ (fl_count_in_region (fleet, "b", now_us), 1u);
}

/* Guards against a zone whose demand nobody tells to other zones: also while
   the daemon with the lowest name has just started and knows of none.  */
TEST_F (Fleet, OneSettledDaemonSpeaksForItsZone)
{
  EXPECT_EQ (fl_speaker (fleet, started_us + 1), FL_SPEAKER_NONE);
  EXPECT_EQ (fl_speaker (fleet, now_us), FL_SPEAKER_SELF);
  Hear ("vm2", "a1", "a", 1, FALSE, TRUE);
  Hear ("vm0", "a2", "a", 1, FALSE, TRUE);
  EXPECT_EQ (fl_speaker (fleet, started_us + 1), FL_SPEAKER_OTHER);
  EXPECT_EQ (fl_speaker (fleet, now_us), FL_SPEAKER_SELF);
  Hear ("vm0a", "a1", "a");
  EXPECT_EQ (fl_speaker (fleet, now_us), FL_SPEAKER_SELF);
  Hear ("vm0a", "a1", "a", 1, FALSE, TRUE);
  EXPECT_EQ (fl_speaker (fleet, now_us), FL_SPEAKER_OTHER);
  EXPECT_EQ (fl_demand_in_zone (fleet, fl_customer_id ("c"), now_us), 8);
  EXPECT_EQ (fl_demand (fleet, fl_customer_id ("c"), now_us), 12);
  now_us += FL_SILENT_US + 1;
  EXPECT_EQ (fl_speaker (fleet, now_us), FL_SPEAKER_SELF);
}

}
