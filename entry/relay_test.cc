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
  Hear (const char *name, const char *region, const char *address)
  {
    FlReport report = {};
    report.name = name;
    report.zone = "a1";
    report.region = region;
    report.front_address = "";
    report.gossip_address = address;
    report.ready = TRUE;
    fl_hear (fleet, &report, now_us);
  }

  gboolean
  MayRestFor (const char *address)
  {
    return en_relay_may_rest_for (relay, address, now_us);
  }

  EnSettings settings = {};
  FlFleet *fleet;
  EnRelay *relay;
  gboolean ready = TRUE;
  int64_t now_us = 100000000;
};

/* Guards against two daemons that each rest for the other, so that nobody
   reads the store (tammemets-boards, trouble-3 seed 993998792933, and
   ctdc-lidar, trouble-2 seed 714391133342: a configuration came 3 s late in
   one region).  */
TEST_F (Relay, RestsOnlyForALowerName)
{
  Hear ("vm1", "a", "127.0.0.1:1");
  Hear ("vm3", "a", "127.0.0.1:3");
  EXPECT_TRUE (MayRestFor ("127.0.0.1:1"));
  EXPECT_FALSE (MayRestFor ("127.0.0.1:3"));
}

/* Guards against resting for a daemon that reads for other targets, that is
   silent, or that is not known yet.  */
TEST_F (Relay, RestsOnlyForALiveDaemonOfItsRegion)
{
  Hear ("vm0", "b", "127.0.0.1:9");
  Hear ("vm1", "a", "127.0.0.1:1");
  EXPECT_FALSE (MayRestFor ("127.0.0.1:9"));
  EXPECT_FALSE (MayRestFor ("127.0.0.1:8"));
  now_us += FL_SILENT_US + 1;
  EXPECT_FALSE (MayRestFor ("127.0.0.1:1"));
}

}
