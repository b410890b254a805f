#include <gtest/gtest.h>

#include <fcntl.h>
#include <string>
#include <unistd.h>

#include <event2/event.h>

extern "C"
{
#include "clock/clock.h"
#include "entry/outage.h"
#include "entry/view.h"
#include "standin/harness.h"
#include "standin/process.h"
}

namespace
{

constexpr int64_t kMs = 1000;
/* Of a turn of the loop, see RunLongTurn.  */
constexpr int64_t kLongTurnUs = 240 * kMs;
/* Before the end of a time at which its effect is checked: the test's own
   clock reading is later than that of the view.  */
constexpr int64_t kMarginUs = 50 * kMs;

constexpr char kConfig[]
    = "{\"version\":\"r1\",\"routes\":{\"r\":{\"host\":\"a.example\","
      "\"prefix\":\"/\",\"kind\":\"safe\",\"timeout_s\":2,"
      "\"target_latency_s\":0.25,\"priority\":1,\"service\":\"s\","
      "\"max_attempts\":2,\"anonymous\":false,\"sticky\":false,"
      "\"home_regions\":[]}},\"services\":{\"s\":{"
      "\"health_path\":\"/health\",\"max_connections\":330,"
      "\"protocol\":\"h1\",\"tls\":false,\"cold_start_s\":3.0,"
      "\"cold_per_s\":4.7}},\"limits\":{\"max_header_bytes\":16384,"
      "\"max_body_bytes\":1000000,\"header_timeout_s\":3,"
      "\"idle_timeout_s\":15},\"tenants\":{}}";

/* A view that reads the store of a stand-in.  */
class View : public testing::Test
{
protected:
  void
  SetUp () override
  {
    std::string target
        = "t1=127.0.0.1:" + std::to_string (si_find_free_port ());
    std::string log = testing::TempDir () + "view-estate.log";
    const char *argv[] = { CW_BIN "/standin/standin-estate",
                           "--store",
                           store_address.c_str (),
                           "--control",
                           control.c_str (),
                           target.c_str (),
                           nullptr };
    platform_pid = si_process_spawn (argv, log.c_str (), nullptr);
    ASSERT_NE (platform_pid, 0);
    for (int i = 0; i < 400 && !Post ("/store?fault=none"); i++)
      si_sleep_ms (20);
    Post ("/put?key=servers/t1",
          "{\"service\":\"s\",\"address\":\"" + target.substr (3)
              + "\",\"zone\":\"a1\",\"version\":\"v1\",\"slots\":3,\"state\":"
                "\"ready\","
                "\"cold_remaining_s\":0,\"sequence\":1,\"born\":1000}");
    g_hash_table_insert (zones, (gpointer) "a1", (gpointer) "a");
    settings.zone = (char *)"a1";
    settings.region = (char *)"a";
    settings.zones = zones;
    settings.bounds.key_revocation_ms = 5000;
    settings.bounds.config_apply_ms = 2000;
    TrOptions trace_options = { base, log_fd, "vm1", 0 };
    trace = tr_new (&trace_options);
    PfStoreOptions store_options = { base, store_address.c_str () };
    store = pf_store_new (&store_options);
    EnViewOptions options = {};
    options.base = base;
    options.settings = &settings;
    options.store = store;
    options.trace = trace;
    options.on_readiness_change = [] (void *) {};
    options.on_config = [] (RtConfig *, void *) {};
    options.on_target_delta = [] (const GoTargetDelta *, void *data) {
      static_cast<View *> (data)->delta_us = ck_boot_us ();
    };
    options.on_store_read = [] (const EnStoreRead *store_read, void *data) {
      static_cast<View *> (data)->read_us = ck_boot_us ();
      static_cast<View *> (data)->read_era = store_read->store_era;
    };
    options.data = this;
    view = en_view_new (&options);
  }

  void
  TearDown () override
  {
    en_view_free (view);
    pf_store_free (store);
    tr_free (trace);
    close (log_fd);
    g_hash_table_unref (zones);
    event_base_free (base);
    si_process_kill (platform_pid);
  }

  bool
  Post (const std::string &path, const std::string &text = "")
  {
    return si_post (control.c_str (), path.c_str (), text.c_str (), nullptr);
  }

  void
  RunUntil (int64_t end_us)
  {
    int64_t left_us = MAX (0, end_us - ck_boot_us ());
    struct timeval left = { left_us / CK_US_PER_S, left_us % CK_US_PER_S };
    event_base_loopexit (base, &left);
    event_base_dispatch (base);
  }

  /* Whether a busy machine has kept this process from running until then.  */
  static bool
  IsPast (int64_t time_us)
  {
    return ck_boot_us () >= time_us;
  }

  /* One turn, of which other work takes the first part.  */
  void
  RunLongTurn ()
  {
    struct event *work = event_new (
        base, -1, 0,
        [] (evutil_socket_t, short, void *) { g_usleep (kLongTurnUs); },
        nullptr);
    event_active (work, EV_TIMEOUT, 1);
    event_base_loop (base, EVLOOP_ONCE | EVLOOP_NONBLOCK);
    event_free (work);
  }

  uint32_t
  CountTargets ()
  {
    return tg_count_targets (en_view_targets (view), "s");
  }

  TgPick
  Pick ()
  {
    TgQuery query = {};
    TgChoice choice;
    query.route = "read";
    query.service = "s";
    query.latency_target_us = 250 * kMs;
    query.wait_max_us = 100 * kMs;
    query.in_flight_max = 16;
    query.cold_per_s = 1000;
    return tg_pick (en_view_targets (view), &query, ck_boot_us (), &choice);
  }

  std::string store_address
      = "127.0.0.1:" + std::to_string (si_find_free_port ());
  std::string control = "127.0.0.1:" + std::to_string (si_find_free_port ());
  pid_t platform_pid = 0;
  int log_fd = open ("/dev/null", O_WRONLY);
  GHashTable *zones = g_hash_table_new (g_str_hash, g_str_equal);
  struct event_base *base = event_base_new ();
  EnSettings settings = {};
  TrTrace *trace = nullptr;
  PfStore *store = nullptr;
  EnView *view = nullptr;
  int64_t delta_us = 0; /* time of the last target delta */
  int64_t read_us = 0;  /* time of the last read of the operator entries */
  uint64_t read_era = 0;
};

/* Guards against rejecting a key that was added while this daemon could not
   read the store: keys that it knows are valid for longer.  */
TEST_F (View, RejectsNothingWhileConfigurationIsUnconfirmed)
{
  Post ("/put?key=op/config", kConfig);
  RunUntil (ck_boot_us () + 1500 * kMs);
  ASSERT_NE (read_us, 0);
  EXPECT_TRUE (en_view_may_reject (view, read_us));
  Post ("/store?fault=busy");
  RunUntil (ck_boot_us () + 200 * kMs);
  int64_t age_us = en_view_config_age_us (view, read_us);
  int64_t until_us = read_us - age_us + 2000 * kMs;
  EXPECT_TRUE (en_view_may_reject (view, until_us));
  EXPECT_FALSE (en_view_may_reject (view, until_us + 1));
  EXPECT_TRUE (en_view_has_fresh_keys (view, until_us + 1));
}

/* Guards against a target that is retained for ever, and target deltas that
   are never complete again, because the end of retaining targets was handled
   early and a target was removed before it was due.  */
TEST_F (View, DropsTargetRemovedAtTheEndOfRetaining)
{
  RunUntil (ck_boot_us () + 1500 * kMs);
  ASSERT_EQ (CountTargets (), 1u);
  ASSERT_NE (delta_us, 0);
  Post ("/store?fault=busy");
  RunUntil (ck_boot_us () + 2500 * kMs);
  Post ("/store?fault=none");
  delta_us = 0;
  for (int i = 0; i < 20 && delta_us == 0; i++)
    RunLongTurn ();
  ASSERT_NE (delta_us, 0);
  int64_t due_us = delta_us + EN_OUTAGE_RETAIN_US;
  RunUntil (due_us - kLongTurnUs * 3 / 4);
  Post ("/remove?key=servers/t1");
  RunUntil (due_us - 2 * kMarginUs);
  EXPECT_TRUE (CountTargets () == 1 || IsPast (due_us - kMarginUs));
  RunUntil (due_us + 1000 * kMs);
  EXPECT_EQ (CountTargets (), 0u);
}

/* Guards against an evacuation that a restored store lacks and that ends
   early, before the operator can write it again, or never: the end of keeping
   it is due at a time that was set in a long turn.  */
TEST_F (View, KeepsEvacuationThatTheRestoredStoreLacksForAWhile)
{
  tg_set_cold_share (en_view_targets (view), "a1", 1.0);
  RunUntil (ck_boot_us () + 1500 * kMs);
  Post ("/save");
  Post ("/put?key=op/evacuate/a1");
  RunUntil (ck_boot_us () + 1500 * kMs);
  ASSERT_EQ (Pick (), TG_PICK_NONE);
  Post ("/restore");
  for (int i = 0; i < 20 && read_era != 2; i++)
    RunLongTurn ();
  ASSERT_EQ (read_era, 2u);
  int64_t due_us = read_us + 6000 * kMs;
  RunUntil (due_us - kLongTurnUs * 3 / 4);
  EXPECT_TRUE (Pick () == TG_PICK_NONE || IsPast (due_us - kMarginUs));
  RunUntil (due_us - 2 * kMarginUs);
  EXPECT_TRUE (Pick () == TG_PICK_NONE || IsPast (due_us - kMarginUs));
  RunUntil (due_us + 1000 * kMs);
  EXPECT_EQ (Pick (), TG_PICK_FOUND);
}

/* Guards against an evacuation that the restored store has and that stays in
   force, or comes back later, although the operator has taken it back.  */
TEST_F (View, EndsEvacuationTakenBackWhileOthersAreKept)
{
  tg_set_cold_share (en_view_targets (view), "a1", 1.0);
  Post ("/put?key=op/evacuate/a1");
  RunUntil (ck_boot_us () + 1500 * kMs);
  ASSERT_EQ (Pick (), TG_PICK_NONE);
  Post ("/save");
  Post ("/restore");
  for (int i = 0; i < 20 && read_era != 2; i++)
    RunLongTurn ();
  ASSERT_EQ (read_era, 2u);
  int64_t due_us = read_us + 6000 * kMs;
  RunUntil (read_us + 1000 * kMs);
  EXPECT_EQ (Pick (), TG_PICK_NONE);
  Post ("/remove?key=op/evacuate/a1");
  RunUntil (due_us - 2000 * kMs);
  EXPECT_TRUE (Pick () == TG_PICK_FOUND || IsPast (due_us));
  RunUntil (due_us + 500 * kMs);
  EXPECT_EQ (Pick (), TG_PICK_FOUND);
}
}
