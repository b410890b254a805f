#include <gtest/gtest.h>

#include <algorithm>
#include <event2/event.h>
#include <future>
#include <signal.h>
#include <string>
#include <thread>
#include <vector>

extern "C"
{
#include "settings/settings.h"
#include "standin/echo.h"
#include "standin/fixture.h"
#include "standin/harness.h"
#include "standin/process.h"
#include "standin/verify.h"
#include "store/store.h"
}

namespace
{

using Headers = std::vector<const char *>;

struct Response
{
  bool complete = false;
  int status = 0;
  std::string body;
  int64_t took_us = 0;
};

Response
fetch (const char *address, const char *path, Headers headers = {},
       uint32_t timeout_ms = 3000, const char *method = "GET")
{
  Response response;
  SiResponse si_response;
  int64_t start_us = g_get_monotonic_time ();
  headers.push_back (nullptr);
  response.complete
      = si_http_request (method, address, path, headers.data (), nullptr,
                         timeout_ms, &si_response, nullptr);
  response.took_us = g_get_monotonic_time () - start_us;
  response.status = si_response.status;
  response.body.assign (si_response.body, si_response.length_bytes);
  si_response_clear (&si_response);
  return response;
}

class Standin : public ::testing::Test
{
protected:
  void
  SetUp () override
  {
    SiHarnessOptions options = {};
    options.build_dir = CW_BINARY_DIR;
    options.targets_count = 1;
    options.proxied = TRUE;
    harness = si_harness_new (&options, nullptr);
    ASSERT_NE (harness, nullptr);
    ASSERT_TRUE (si_start_platform (harness, nullptr));
    ASSERT_TRUE (si_start_targets (harness, nullptr));
    ASSERT_TRUE (si_start_proxy (harness, nullptr));
    target = si_find_target (harness, "boards-01")->address;
    link = si_link_address (harness, "target", "vm1", "boards-01");
  }
  void
  TearDown () override
  {
    si_harness_free (harness);
  }
  void
  set_target (const std::string &setting)
  {
    std::string path = "/control/set?target=boards-01&" + setting;
    ASSERT_TRUE (
        si_post_control (si_target_control (harness), path.c_str (), nullptr));
  }
  void
  set_link (const char *setting)
  {
    ASSERT_TRUE (
        si_set_links (harness, "target/vm1/*/boards-01/*", setting, nullptr));
  }
  std::string
  control_text (const char *address, const char *path)
  {
    g_autofree char *text = si_get_text (address, path, nullptr);
    return text == nullptr ? "" : text;
  }
  std::string
  target_stats ()
  {
    return control_text (si_target_control (harness), "/control/stats");
  }

  SiHarness *harness = nullptr;
  const char *target = nullptr; /* address of boards-01 */
  const char *link = nullptr;   /* address of the link to it from vm1 */
};

/* Guards against a stand-in target that runs more requests than it has slots,
   which would hide overload.  */
TEST_F (Standin, TargetShedsAboveSlotLimit)
{
  std::vector<std::thread> threads;
  std::vector<int> statuses (5);
  for (size_t i = 0; i < statuses.size (); i++)
    threads.emplace_back ([&, i] {
      statuses[i] = fetch (target, "/w", { "X-Work-Ms: 2000" }).status;
    });
  for (std::thread &thread : threads)
    thread.join ();
  EXPECT_EQ (std::count (statuses.begin (), statuses.end (), 200), 3);
  EXPECT_EQ (std::count (statuses.begin (), statuses.end (), 503), 2);
  EXPECT_NE (target_stats ().find ("\"running_max\":3"), std::string::npos);
}

/* Guards against work that continues after the caller disconnects or the
   deadline passes, which would occupy slots.  */
TEST_F (Standin, WorkStopsAtCloseAndDeadline)
{
  EXPECT_FALSE (fetch (target, "/w", { "X-Work-Ms: 5000" }, 100).complete);
  Response late
      = fetch (target, "/w", { "X-Work-Ms: 5000", "X-Deadline-Ms: 50" });
  EXPECT_EQ (late.status, 504);
  EXPECT_LT (late.took_us, 1000000);
  std::string text = target_stats ();
  EXPECT_NE (text.find ("\"cancelled\":1"), std::string::npos) << text;
  EXPECT_NE (text.find ("\"past_deadline\":1"), std::string::npos) << text;
  EXPECT_NE (text.find ("\"running\":0"), std::string::npos) << text;
}

/* Guards against a stand-in target that misses violations, so that the checks
   of a run cannot fail: it must record an API key that reaches it, a keyed
   request (an order) that runs twice and a request after the drain began.  */
TEST_F (Standin, TargetRecordsViolations)
{
  fetch (target, "/w?API_key=x&key=secret");
  for (int i = 0; i < 2; i++)
    fetch (target, "/w", { "Idempotency-Key: k1", "X-Customer: c1" }, 3000,
           "POST");
  set_target ("draining=1");
  fetch (target, "/w");
  std::string text = target_stats ();
  EXPECT_NE (text.find ("\"key_seen\":1"), std::string::npos) << text;
  EXPECT_NE (text.find ("\"doubled\":1"), std::string::npos) << text;
  EXPECT_NE (text.find ("\"after_drain\":1"), std::string::npos) << text;
  EXPECT_EQ (control_text (si_target_control (harness), "/control/orders"),
             "{\"c1\\/k1\":2}");
}

/* Guards against fault modes of the target that do not have their named
   effect.  */
TEST_F (Standin, TargetFaultModes)
{
  for (const char *crash : { "accept", "refuse", "request", "after", "cut" })
    {
      set_target (std::string ("crash=") + crash);
      EXPECT_FALSE (fetch (target, "/w").complete) << crash;
    }
  set_target ("crash=off&late_ms=100");
  EXPECT_GE (fetch (target, "/w").took_us, 100000);
  set_target ("late_ms=0&shed=1");
  EXPECT_EQ (fetch (target, "/w").status, 503);
  EXPECT_NE (fetch (target, "/loadz").body.find ("\"running\":0"),
             std::string::npos);
  set_target ("shed=0&cold=1&unhealthy=1");
  EXPECT_GE (fetch (target, "/w").took_us, 20000);
  EXPECT_EQ (fetch (target, "/healthz").status, 503);
  EXPECT_NE (fetch (target, "/loadz").body.find ("\"warm_permille\":20"),
             std::string::npos);
}

/* Guards against an echo check that accepts a truncated or altered response,
   or the response to another request.  */
TEST_F (Standin, EchoDetectsForeignAndTruncatedResponses)
{
  Response response = fetch (target, "/w", { "X-Request-Tag: t1" });
  const char *body = response.body.c_str ();
  size_t size = response.body.size ();
  EXPECT_TRUE (si_echo_check (body, size, "t1", "", 0));
  EXPECT_FALSE (si_echo_check (body, size, "t2", "", 0));
  EXPECT_FALSE (si_echo_check (body, size, "t1", "x", 1));
  EXPECT_FALSE (si_echo_check (body, size - 1, "t1", "", 0));
  response.body[size / 2] ^= 1;
  EXPECT_FALSE (si_echo_check (response.body.c_str (), size, "t1", "", 0));
}

/* Guards against a proxy that does not apply the delay or rate of a link.  */
TEST_F (Standin, ProxyDelaysAndLimitsRate)
{
  set_link ("delay_us=50000&mbit=0");
  int64_t took_us = fetch (link, "/w").took_us;
  EXPECT_GE (took_us, 100000);
  EXPECT_LT (took_us, 1000000);
  /* 250,000 bytes at 10 Mbit/s take 200 ms.  */
  set_link ("delay_us=0&mbit=10");
  Response response = fetch (link, "/w", { "X-Answer-Bytes: 250000" });
  EXPECT_TRUE (response.complete);
  EXPECT_GE (response.took_us, 200000);
}

/* Guards against a connection cut at another byte than the one requested,
   which would leave partially received messages untested.  */
TEST_F (Standin, ProxyCutsAtRequestedByte)
{
  set_link ("cut_after_down=57");
  EXPECT_FALSE (fetch (link, "/w").complete);
  std::string links
      = control_text (si_proxy_control (harness), "/control/links");
  size_t at = links.find ("target\\/vm1\\/baltic-1\\/boards-01");
  ASSERT_NE (at, std::string::npos);
  EXPECT_EQ (links.substr (links.find ("down_bytes", at), 15),
             "down_bytes\":57}");
  set_link ("cut_after_down=-1&cut_after_up=0");
  EXPECT_FALSE (fetch (link, "/w").complete);
  set_link ("cut_after_up=-1");
  EXPECT_TRUE (fetch (link, "/w").complete);
}

/* Guards against a partition that lets bytes through, or that delivers after
   its end what was sent on connections it had blocked, and against cut and
   hold settings without effect.  */
TEST_F (Standin, ProxyPartitionAndCut)
{
  ASSERT_TRUE (si_partition_zone (harness, "baltic-1", TRUE, nullptr));
  EXPECT_TRUE (fetch (link, "/same-zone").complete);
  const char *cross_zone_link
      = si_link_address (harness, "target", "vm2", "boards-01");
  EXPECT_FALSE (fetch (cross_zone_link, "/cut-off", {}, 200).complete);
  ASSERT_TRUE (si_partition_zone (harness, "baltic-1", FALSE, nullptr));
  EXPECT_TRUE (fetch (cross_zone_link, "/healed").complete);
  EXPECT_EQ (control_text (si_target_control (harness), "/control/requests")
                 .find ("cut-off"),
             std::string::npos);
  set_link ("cut=1");
  EXPECT_FALSE (fetch (link, "/w").complete);
  set_link ("cut=0&hold=1");
  EXPECT_FALSE (fetch (link, "/w", {}, 200).complete);
  set_link ("hold=0");
  EXPECT_TRUE (fetch (link, "/w").complete);
}

struct CallResult
{
  int callback_count = 0;
  StOutcome outcome = ST_OUTCOME_DOWN;
  uint64_t index = 0;
  std::string value;
};

void
copy_result (const StResult *result, void *data)
{
  auto *call = static_cast<CallResult *> (data);
  call->callback_count++;
  call->outcome = result->outcome;
  call->index = result->index;
  call->value.assign (result->value == nullptr ? "" : result->value,
                      result->length_bytes);
}

class Platform : public Standin
{
protected:
  void
  SetUp () override
  {
    Standin::SetUp ();
    const char *address = si_link_address (harness, "store", "vm1", "store");
    base = event_base_new ();
    StOptions options = {};
    options.base = base;
    options.address = "127.0.0.1";
    options.port = (uint16_t)atoi (strrchr (address, ':') + 1);
    options.timeout_ms = 500;
    store = st_consul_new (&options);
  }
  void
  TearDown () override
  {
    st_free (store);
    event_base_free (base);
    Standin::TearDown ();
  }
  void
  wait_for_callback (const CallResult &call)
  {
    timeval step = { 0, 5000 };
    for (int i = 0; i < 600 && call.callback_count == 0; i++)
      {
        event_base_loopexit (base, &step);
        event_base_dispatch (base);
      }
    EXPECT_EQ (call.callback_count, 1);
  }
  CallResult
  write (uint64_t expected, const char *value)
  {
    CallResult call;
    st_cas (store, "cw/k", expected, value, strlen (value), copy_result,
            &call);
    wait_for_callback (call);
    return call;
  }
  CallResult
  read ()
  {
    CallResult call;
    st_get (store, "cw/k", copy_result, &call);
    wait_for_callback (call);
    return call;
  }
  void
  post_control (const char *path)
  {
    ASSERT_TRUE (
        si_post_control (si_platform_control (harness), path, nullptr));
  }

  event_base *base = nullptr;
  StStore *store = nullptr;
};

/* Guards against a store in which two writes with the same expected index
   succeed, and an adapter that returns a wrong index for its own write.  */
TEST_F (Platform, CompareAndSwap)
{
  CallResult first = write (0, "a");
  EXPECT_EQ (first.outcome, ST_OUTCOME_OK);
  EXPECT_EQ (write (0, "b").outcome, ST_OUTCOME_CONFLICT);
  EXPECT_EQ (read ().index, first.index);
  EXPECT_EQ (write (first.index, "c").outcome, ST_OUTCOME_OK);
  EXPECT_EQ (write (first.index, "d").outcome, ST_OUTCOME_CONFLICT);
  EXPECT_EQ (read ().value, "c");
}

/* Guards against reporting a write as failed when only the response was lost
   or the store had an outage: the write may have taken effect.  */
TEST_F (Platform, LostResponsesAndOutages)
{
  post_control ("/control/lose?writes=1");
  EXPECT_EQ (write (0, "a").outcome, ST_OUTCOME_UNKNOWN);
  CallResult stored = read ();
  EXPECT_EQ (stored.value, "a");
  for (const char *mode : { "hang", "close" })
    {
      std::string path = std::string ("/control/outage?mode=") + mode;
      post_control (path.c_str ());
      EXPECT_EQ (write (stored.index, "b").outcome, ST_OUTCOME_UNKNOWN);
      EXPECT_EQ (read ().outcome, ST_OUTCOME_DOWN);
    }
  post_control ("/control/outage?mode=off");
  EXPECT_EQ (read ().value, "a");
}

/* Guards against a watch that misses a change or blocks other calls.  */
TEST_F (Platform, WatchSeesChangeAndDelete)
{
  CallResult first = write (0, "a"), watched, deleted, removed;
  st_watch (store, "cw/k", first.index, 3000, copy_result, &watched);
  write (first.index, "b");
  wait_for_callback (watched);
  EXPECT_EQ (watched.value, "b");
  EXPECT_GT (watched.index, first.index);
  st_watch (store, "cw/k", watched.index, 3000, copy_result, &deleted);
  st_delete_prefix (store, "cw/", copy_result, &removed);
  wait_for_callback (removed);
  wait_for_callback (deleted);
  EXPECT_EQ (deleted.outcome, ST_OUTCOME_ABSENT);
  EXPECT_GT (deleted.index, watched.index);
}

/* Guards against list changes that become visible before the configured lag,
   or never.  */
TEST_F (Platform, ListLags)
{
  auto leaving_count = [&] {
    struct Seen
    {
      int callback_count = 0;
      guint leaving = 0;
    } seen;
    st_list_vms (
        store, "entry", 0, 0,
        [] (const GPtrArray *vms, uint64_t, void *data) {
          auto *out = static_cast<Seen *> (data);
          out->callback_count++;
          for (guint i = 0; vms != nullptr && i < vms->len; i++)
            out->leaving
                += static_cast<StVm *> (vms->pdata[i])->leaving ? 1 : 0;
        },
        &seen);
    timeval step = { 0, 5000 };
    for (int i = 0; i < 600 && seen.callback_count == 0; i++)
      {
        event_base_loopexit (base, &step);
        event_base_dispatch (base);
      }
    return seen.leaving;
  };
  post_control ("/control/list_lag?ms=300");
  ASSERT_TRUE (si_set_list_state (harness, "vm3", "leaving", nullptr));
  EXPECT_EQ (leaving_count (), 0U);
  si_sleep_ms (400);
  EXPECT_EQ (leaving_count (), 1U);
}

class Estate : public ::testing::Test
{
protected:
  struct StoreResponse
  {
    int status = 0; /* 0: no response */
    std::string era;
    std::string body;
    int64_t took_us = 0;
  };

  void
  SetUp () override
  {
    store = "127.0.0.1:" + std::to_string (si_find_free_port ());
    control = "127.0.0.1:" + std::to_string (si_find_free_port ());
    std::string program
        = std::string (CW_BINARY_DIR) + "/standin/standin-estate";
    std::string log = testing::TempDir () + "estate-"
                      + std::to_string (getpid ()) + ".log";
    const char *argv[] = { program.c_str (), "--store",        store.c_str (),
                           "--control",      control.c_str (), nullptr };
    pid = si_process_spawn (argv, log.c_str (), nullptr);
    ASSERT_NE (pid, 0);
    for (int i = 0; i < 300 && call (control, "GET", "/keys").status != 200;
         i++)
      si_sleep_ms (10);
    ASSERT_EQ (call (control, "GET", "/keys").status, 200);
  }
  void
  TearDown () override
  {
    int status = 0;
    si_process_signal (pid, SIGTERM);
    EXPECT_TRUE (si_process_wait (pid, 3000, &status));
    EXPECT_EQ (status, 0);
  }
  static StoreResponse
  call (const std::string &address, const char *method,
        const std::string &path, const char *body = nullptr)
  {
    StoreResponse response;
    SiResponse si_response = {};
    int64_t start_us = g_get_monotonic_time ();
    si_http_request (method, address.c_str (), path.c_str (), nullptr, body,
                     6000, &si_response, nullptr);
    response.took_us = g_get_monotonic_time () - start_us;
    response.status = si_response.status;
    response.body.assign (si_response.body, si_response.length_bytes);
    auto *era = static_cast<const char *> (
        g_hash_table_lookup (si_response.headers, "store-era"));
    response.era = era != nullptr ? era : "";
    si_response_clear (&si_response);
    return response;
  }
  int
  post (const std::string &path, const char *body = "")
  {
    return call (control, "POST", path, body).status;
  }
  std::string
  keys ()
  {
    return call (control, "GET", "/keys").body;
  }
  int
  watch (int after, int wait_ms = 1)
  {
    return call (store, "GET",
                 "/kv-watch?prefix=&after=" + std::to_string (after)
                     + "&wait_ms=" + std::to_string (wait_ms))
        .status;
  }
  std::string
  grant_lease ()
  {
    return call (store, "POST", "/kv-lease", "{\"ttl_s_time\":60}").body;
  }
  int
  put_with_lease (const char *key, int lease)
  {
    std::string body = std::string ("{\"expect\":[],\"puts\":[{\"key\":\"")
                       + key + "\",\"value\":\"eA==\",\"lease\":"
                       + std::to_string (lease) + "}],\"remove\":[]}";
    return call (store, "POST", "/kv-txn", body.c_str ()).status;
  }

  std::string store, control;
  pid_t pid = 0;
};

/* Guards against a kind of response that does not tell that the store came
   back from a copy.  */
TEST_F (Estate, EveryResponseHasEra)
{
  auto expect_era = [&] (const char *era) {
    const struct
    {
      const char *method, *path, *body;
      int status;
    } calls[] = {
      { "GET", "/kv-range?prefix=", nullptr, 200 },
      { "GET", "/kv-watch?prefix=&after=0&wait_ms=1", nullptr, 200 },
      { "GET", "/kv-watch?prefix=none&after=1&wait_ms=1", nullptr, 200 },
      { "GET", "/kv-watch?prefix=&after=99&wait_ms=1", nullptr, 410 },
      { "POST", "/kv-txn", "{\"puts\":[]}", 200 },
      { "POST", "/kv-txn", "{\"puts\":[{\"lease\":99}]}", 404 },
      { "POST", "/kv-lease", "{}", 200 },
      { "POST", "/kv-keep/1", "{}", 200 },
      { "POST", "/kv-keep/99", "{}", 404 },
      { "GET", "/none", nullptr, 404 },
    };
    for (const auto &item : calls)
      {
        StoreResponse response
            = call (store, item.method, item.path, item.body);
        EXPECT_EQ (response.status, item.status) << item.path;
        EXPECT_EQ (response.era, era) << item.path;
      }
    post ("/store?fault=busy");
    StoreResponse busy = call (store, "GET", "/kv-range?prefix=");
    EXPECT_EQ (busy.status, 503);
    EXPECT_EQ (busy.era, era);
    post ("/store?fault=none");
  };
  ASSERT_EQ (post ("/put?key=a", "1"), 200);
  expect_era ("1");
  ASSERT_EQ (post ("/save"), 200);
  ASSERT_EQ (post ("/restore"), 200);
  expect_era ("2");
  ASSERT_EQ (post ("/restore"), 200);
  expect_era ("3");
}

/* Guards against a restored store that keeps a later change, loses an item of
   the copy, or does not assign the lost revisions again.  */
TEST_F (Estate, RestoreBringsBackItemsAndRevision)
{
  post ("/put?key=kept", "1");
  post ("/put?key=removed", "1");
  post ("/put?key=changed", "1");
  post ("/save");
  const std::string saved = keys ();
  EXPECT_EQ (saved, "changed 4 0\nkept 2 0\nremoved 3 0\n");
  for (int round = 0; round < 2; round++)
    {
      post ("/put?key=changed", "2");
      post ("/remove?key=removed");
      post ("/put?key=added", "2");
      EXPECT_EQ (keys (), "added 7 0\nchanged 5 0\nkept 2 0\n") << round;
      ASSERT_EQ (post ("/restore"), 200);
      EXPECT_EQ (keys (), saved) << round;
    }
  StoreResponse range = call (store, "GET", "/kv-range?prefix=changed");
  EXPECT_NE (range.body.find ("\"value\": \"MQ==\""), std::string::npos)
      << range.body;
  EXPECT_NE (range.body.find ("\"store_revision\": 4"), std::string::npos)
      << range.body;
}

/* Guards against a restored history that still holds the lost changes or lacks
   those of the copy.  */
TEST_F (Estate, RestoreBringsBackHistory)
{
  post ("/compact");
  post ("/put?key=a", "1");
  post ("/save");
  post ("/put?key=b", "1");
  post ("/compact");
  EXPECT_EQ (watch (2), 410);
  post ("/restore");
  EXPECT_EQ (watch (1), 410);
  StoreResponse events
      = call (store, "GET", "/kv-watch?prefix=&after=2&wait_ms=5000");
  EXPECT_EQ (events.status, 200);
  EXPECT_NE (events.body.find ("\"key\": \"a\""), std::string::npos);
  EXPECT_EQ (events.body.find ("\"key\": \"b\""), std::string::npos);
}

/* Guards against a test whose restore silently does nothing.  */
TEST_F (Estate, RestoreWithoutCopyIsRefused)
{
  post ("/put?key=a", "1");
  EXPECT_EQ (post ("/restore"), 404);
  EXPECT_EQ (keys (), "a 2 0\n");
  EXPECT_EQ (call (store, "GET", "/kv-range?prefix=").era, "1");
}

/* Guards against a pending watch that outlives the store it was sent to.  */
TEST_F (Estate, RestoreClosesPendingWatch)
{
  post ("/save");
  std::future<StoreResponse> watched = std::async (std::launch::async, [&] {
    return call (store, "GET", "/kv-watch?prefix=&after=1&wait_ms=5000");
  });
  si_sleep_ms (300);
  post ("/restore");
  StoreResponse response = watched.get ();
  EXPECT_EQ (response.status, 0);
  EXPECT_LT (response.took_us, 3000000);
}

/* Guards against a watch that waits for changes after a revision that the
   store does not have, and so misses those with lower revisions.  */
TEST_F (Estate, WatchAfterUnknownRevisionIsRefused)
{
  post ("/put?key=a", "1");
  EXPECT_EQ (watch (2), 200);
  EXPECT_EQ (watch (3, 5000), 410);
  post ("/save");
  post ("/put?key=a", "2");
  EXPECT_EQ (watch (3), 200);
  post ("/restore");
  EXPECT_EQ (watch (2), 200);
  EXPECT_EQ (watch (3, 5000), 410);
}

/* Guards against accepting a lease that was never granted or that was granted
   after the copy, and against a restore that does not grant its id again.  */
TEST_F (Estate, RestoreLosesLaterLeases)
{
  auto renew = [&] (const char *id) {
    return call (store, "POST", std::string ("/kv-keep/") + id, "{}").status;
  };
  EXPECT_EQ (renew ("1"), 404);
  std::string first = grant_lease ();
  EXPECT_NE (first.find ("\"lease\":1,"), std::string::npos) << first;
  EXPECT_EQ (renew ("1"), 200);
  EXPECT_EQ (renew ("2"), 404);
  EXPECT_EQ (renew ("0"), 404);
  EXPECT_EQ (put_with_lease ("a", 1), 200);
  EXPECT_EQ (put_with_lease ("b", 2), 404);
  EXPECT_EQ (keys (), "a 2 1\n");
  post ("/save");
  const std::string second = grant_lease ();
  EXPECT_EQ (put_with_lease ("b", 2), 200);
  EXPECT_EQ (renew ("2"), 200);
  post ("/restore");
  EXPECT_EQ (keys (), "a 2 1\n");
  EXPECT_EQ (renew ("1"), 200);
  EXPECT_EQ (renew ("2"), 404);
  EXPECT_EQ (put_with_lease ("b", 2), 404);
  EXPECT_EQ (grant_lease (), second);
  EXPECT_EQ (renew ("2"), 200);
}

/* Guards against coordinated omission: a load generator that waits for a
   stalled server would leave out the latency of the requests due in the
   meantime.  */
TEST_F (Standin, LoadLatencyIncludesStall)
{
  std::string program = std::string (CW_BINARY_DIR) + "/standin/load-gen";
  std::string out = std::string (si_temp_dir (harness)) + "/load.json";
  const char *argv[] = { program.c_str (),
                         "--vm",
                         link,
                         "--duration-ms=1500",
                         "--customer=name=c1,rate=40,orders=300",
                         "--out",
                         out.c_str (),
                         nullptr };
  int status = -1;
  pid_t pid = si_spawn (harness, argv, "load.log", nullptr);
  si_sleep_ms (300);
  set_link ("hold=1");
  si_sleep_ms (700);
  set_link ("hold=0");
  ASSERT_TRUE (si_wait_exit (harness, pid, 20000, &status));
  EXPECT_EQ (status, 0);
  g_autofree char *text = nullptr;
  ASSERT_TRUE (g_file_get_contents (out.c_str (), &text, nullptr, nullptr));
  const char *p99 = strstr (text, "\"p99_us\":");
  ASSERT_NE (p99, nullptr) << text;
  EXPECT_GE (atoi (p99 + strlen ("\"p99_us\":")), 600000) << text;
  EXPECT_NE (strstr (text, "\"wrong\":0"), nullptr) << text;
}

/* Guards against a run without a summary: requests that still had no outcome
   at the end of the run leaked, and the leak checker failed the program.  */
TEST_F (Standin, LoadEndsWithOpenRequests)
{
  std::string program = std::string (CW_BINARY_DIR) + "/standin/load-gen";
  std::string out = std::string (si_temp_dir (harness)) + "/load.json";
  std::string trace = std::string (si_temp_dir (harness)) + "/load.trace";
  const char *argv[] = { program.c_str (),
                         "--vm",
                         link,
                         "--duration-ms=500",
                         "--timeout-ms=500",
                         "--customer=name=c1,rate=40,orders=300",
                         "--out",
                         out.c_str (),
                         "--trace",
                         trace.c_str (),
                         nullptr };
  int status = -1;
  set_link ("hold=1");
  pid_t pid = si_spawn (harness, argv, "load.log", nullptr);
  si_sleep_ms (700);
  /* Past the end of the run, while its requests still have retries left.  */
  kill (pid, SIGSTOP);
  si_sleep_ms (4500);
  kill (pid, SIGCONT);
  ASSERT_TRUE (si_wait_exit (harness, pid, 20000, &status));
  EXPECT_EQ (status, 0);
  g_autofree char *text = nullptr;
  ASSERT_TRUE (g_file_get_contents (out.c_str (), &text, nullptr, nullptr));
  g_autofree char *lines = nullptr;
  ASSERT_TRUE (g_file_get_contents (trace.c_str (), &lines, nullptr, nullptr));
  std::string all = lines;
  long line_count = std::count (all.begin (), all.end (), '\n');
  EXPECT_GT (line_count, 5);
  std::string requests = "\"requests\":" + std::to_string (line_count) + ",";
  EXPECT_NE (strstr (text, requests.c_str ()), nullptr) << text;
  std::string unknown = "\"unknown\":" + std::to_string (line_count);
  EXPECT_NE (strstr (text, unknown.c_str ()), nullptr) << text;
  EXPECT_EQ (strstr (text, "\"unfinished\":0"), nullptr) << text;
}

/* Guards against a si_verify that always passes: the test produces each kind
   of violation, and si_verify must count it.  */
TEST_F (Standin, VerifyFindsViolations)
{
  std::string trace = std::string (si_temp_dir (harness)) + "/trace";
  int64_t now_us = g_get_monotonic_time ();
  std::string lines;
  auto add_request = [&] (const char *tag, const char *customer,
                          const char *kind, const char *outcome, int runs) {
    std::string header = std::string ("X-Request-Tag: ") + tag;
    for (int i = 0; i < runs; i++)
      fetch (target, "/w", { header.c_str (), "X-Customer: c1" });
    lines += std::string (tag) + " " + customer + " " + kind + " "
             + std::to_string (now_us) + " 0 200 " + outcome + " -\n";
  };
  add_request ("good", "c1", "order", "answered", 1);
  add_request ("doubled", "c1", "order", "unknown", 2);
  add_request ("lost", "c1", "order", "answered", 0);
  add_request ("not-run", "c1", "read", "refused", 1);
  add_request ("foreign", "c2", "read", "answered", 1);
  add_request ("wrong", "c1", "read", "wrong", 1);
  fetch (target, "/w?api_key=x");
  ASSERT_TRUE (
      g_file_set_contents (trace.c_str (), lines.c_str (), -1, nullptr));
  SiRateLimit rates[] = { { "c1", 1, 3 }, { "c2", 1, 3 } };
  SiVerdict verdict;
  ASSERT_TRUE (
      si_verify (harness, trace.c_str (), rates, 2, &verdict, nullptr));
  EXPECT_EQ (verdict.request_count, 6U);
  EXPECT_EQ (verdict.repeated_order_count, 1U);
  EXPECT_EQ (verdict.lost_order_count, 1U);
  EXPECT_EQ (verdict.false_not_run_count, 1U);
  EXPECT_EQ (verdict.wrong_customer_count, 1U);
  EXPECT_EQ (verdict.wrong_response_count, 1U);
  EXPECT_EQ (verdict.key_seen_count, 1U);
  EXPECT_EQ (verdict.over_rate_count, 1U);
  EXPECT_EQ (si_count_requests_after (harness, "boards-01", now_us, nullptr),
             7);
}

/* Guards against planned settings that the daemon rejects and a fixture
   configuration that is invalid.  */
TEST_F (Standin, PlannedDeploymentIsValid)
{
  for (const char *deployment : { "tammemets", "cooperative" })
    {
      SiHarnessOptions options = {};
      options.build_dir = CW_BINARY_DIR;
      options.deployment = deployment;
      options.proxied = TRUE;
      options.client_links = TRUE;
      g_autoptr (SiHarness) other = si_harness_new (&options, nullptr);
      ASSERT_NE (other, nullptr);
      EXPECT_EQ (si_vms (other)->len, 7U);
      auto *vm = static_cast<SiVm *> (si_vms (other)->pdata[0]);
      g_autofree char *text = si_settings_text (other, vm);
      GPtrArray *problems = nullptr;
      SeSettings *settings
          = se_parse (text, strlen (text), "vm1.json", &problems);
      EXPECT_NE (settings, nullptr)
          << static_cast<SeProblem *> (problems->pdata[0])->message;
      se_free (settings);
      g_clear_pointer (&problems, g_ptr_array_unref);
      SiFixtureOptions fixture = {};
      fixture.blocks_count = 1000;
      g_autoptr (CfConfig) config = si_fixture_config (other, &fixture);
      GError *error = nullptr;
      EXPECT_TRUE (cf_check (config, &error)) << error->message;
      EXPECT_EQ (config->regions->len, 3U);
    }
}

/* Guards against a target of the users' platform that responds before its
   service time has passed, or that logs an answer that nobody received.  */
TEST (StubTarget, AnswersAfterItsServiceTime)
{
  std::string addresses[3];
  for (std::string &address : addresses)
    address = "127.0.0.1:" + std::to_string (si_find_free_port ());
  const char *store = addresses[0].c_str ();
  const char *control = addresses[1].c_str ();
  std::string t1 = "t1=" + addresses[2];
  const char *argv[] = { CW_BINARY_DIR "/standin/standin-estate",
                         "--store",
                         store,
                         "--control",
                         control,
                         t1.c_str (),
                         nullptr };
  pid_t pid = si_process_spawn (argv, "/dev/null", nullptr);
  ASSERT_GT (pid, 0);
  for (int i = 0; i < 500 && fetch (control, "/runs", {}, 100).status != 200;
       i++)
    si_sleep_ms (10);
  EXPECT_TRUE (si_post (control, "/target?id=t1&service_ms=300", "", nullptr));
  Headers first = { "X-Comfreywalk-Attempt-Id: q1" };
  Headers second = { "X-Comfreywalk-Attempt-Id: q2" };
  Response response = fetch (addresses[2].c_str (), "/", first);
  EXPECT_EQ (response.status, 200);
  EXPECT_GE (response.took_us, 290000);
  EXPECT_FALSE (fetch (addresses[2].c_str (), "/", second, 100).complete);
  si_sleep_ms (400);
  EXPECT_NE (fetch (control, "/runs").body.find ("q2"), std::string::npos);
  std::string answers = fetch (control, "/answers").body;
  EXPECT_NE (answers.find ("q1"), std::string::npos);
  EXPECT_EQ (answers.find ("q2"), std::string::npos);
  EXPECT_FALSE (si_post (control, "/target?id=t1", "", nullptr));
  si_process_kill (pid);
}

/* Guards against processes that outlive a harness and disturb later runs.  */
TEST_F (Standin, FreeKillsAllProcesses)
{
  const char *argv[] = { "/bin/sleep", "100", nullptr };
  pid_t pid = si_spawn (harness, argv, "sleep.log", nullptr);
  ASSERT_GT (pid, 0);
  std::string control = si_target_control (harness);
  si_harness_free (harness);
  harness = nullptr;
  EXPECT_EQ (kill (pid, 0), -1);
  EXPECT_FALSE (fetch (control.c_str (), "/control/stats", {}, 300).complete);
}

}
