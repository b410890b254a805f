#include <gtest/gtest.h>

#include <event2/event.h>

extern "C"
{
#include "entry/relay.h"
}

namespace
{

gboolean
IsReady (void *data)
{
  return *static_cast<gboolean *> (data);
}

class Relay : public testing::Test
{
protected:
  void
  SetUp () override
  {
    settings.vm = (char *)"vm2";
    settings.region = (char *)"a";
    settings.gossip_listen = (char *)"127.0.0.1:2";
    FlOptions options = { "vm2", "a1", "a", 0 };
    fleet = fl_new (&options);
    EnRelayOptions relay_options
        = { &settings, fleet, nullptr, 7, IsReady, &ready };
    relay = en_relay_new (&relay_options);
  }

  void
  TearDown () override
  {
    en_relay_free (relay);
    fl_free (fleet);
  }

  void
  ReceiveReport (const char *name, const char *region, const char *address)
  {
    FlReport report = {};
    report.name = name;
    report.zone = "a1";
    report.region = region;
    report.front_address = "";
    report.gossip_address = address;
    report.ready = TRUE;
    fl_receive_report (fleet, &report, now_us);
  }

  gboolean
  MayFollow (const char *address)
  {
    return en_relay_may_follow (relay, address, now_us);
  }

  EnSettings settings = {};
  FlFleet *fleet;
  EnRelay *relay;
  gboolean ready = TRUE;
  int64_t now_us = 100000000;
};

/* Guards against two daemons that follow each other, so that neither reads the
   store (test runs tammemets-boards, trouble-3, seed 993998792933, and
   ctdc-lidar, trouble-2, seed 714391133342: a configuration arrived 3 s late
   in one region).  */
TEST_F (Relay, FollowsOnlyALowerName)
{
  ReceiveReport ("vm1", "a", "127.0.0.1:1");
  ReceiveReport ("vm3", "a", "127.0.0.1:3");
  EXPECT_TRUE (MayFollow ("127.0.0.1:1"));
  EXPECT_FALSE (MayFollow ("127.0.0.1:3"));
}

/* Guards against following a daemon of another region, one that is suspect, or
   one that is not a known member.  */
TEST_F (Relay, FollowsOnlyALiveDaemonOfItsRegion)
{
  ReceiveReport ("vm0", "b", "127.0.0.1:9");
  ReceiveReport ("vm1", "a", "127.0.0.1:1");
  EXPECT_FALSE (MayFollow ("127.0.0.1:9"));
  EXPECT_FALSE (MayFollow ("127.0.0.1:8"));
  now_us += FL_SUSPECT_TIMEOUT_US + 1;
  EXPECT_FALSE (MayFollow ("127.0.0.1:1"));
}

}
