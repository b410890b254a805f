#include <gtest/gtest.h>

#include <event2/event.h>
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
#include "standin/verify.h"
#include "store/store.h"
}

namespace
{

using Headers = std::vector<const char *>;

struct Reply
{
  bool whole = false;
  int status = 0;
  std::string body;
  int64_t took_us = 0;
};

Reply
fetch (const char *address, const char *path, Headers headers = {},
       uint32_t timeout_ms = 3000, const char *method = "GET")
{
  Reply reply;
  SiAnswer answer;
  int64_t start_us = g_get_monotonic_time ();
  headers.push_back (nullptr);
  reply.whole = si_http (method, address, path, headers.data (), nullptr,
                         timeout_ms, &answer, nullptr);
  reply.took_us = g_get_monotonic_time () - start_us;
  reply.status = answer.status;
  reply.body.assign (answer.body, answer.length_bytes);
  si_answer_clear (&answer);
  return reply;
}

class Standin : public ::testing::Test
{
protected:
  void
  SetUp () override
  {
    SiOptions options = {};
    options.bin = CW_BINARY_DIR;
    options.targets_count = 1;
    options.proxied = TRUE;
    harness = si_new (&options, nullptr);
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
    si_free (harness);
  }
  void
  set (const std::string &setting)
  {
    std::string path = "/control/set?target=boards-01&" + setting;
    ASSERT_TRUE (
        si_control (si_target_control (harness), path.c_str (), nullptr));
  }
  void
  set_link (const char *setting)
  {
    ASSERT_TRUE (
        si_link (harness, "target/vm1/*/boards-01/*", setting, nullptr));
  }
  std::string
  control_text (const char *address, const char *path)
  {
    g_autofree char *text = si_get_text (address, path, nullptr);
    return text == nullptr ? "" : text;
  }
  std::string
  stats ()
  {
    return control_text (si_target_control (harness), "/control/stats");
  }

  SiHarness *harness = nullptr;
  const char *target = nullptr;
  const char *link = nullptr;
};

/* Guards against a target that runs more than its slots, which would hide an
   overload.  */
TEST_F (Standin, TargetShedsAboveItsSlots)
{
  std::vector<std::thread> threads;
  std::vector<int> statuses (5);
  for (size_t i = 0; i < statuses.size (); i++)
    threads.emplace_back ([&, i] {
      statuses[i] = fetch (target, "/w", { "X-Work-Ms: 300" }).status;
    });
  for (std::thread &thread : threads)
    thread.join ();
  EXPECT_EQ (std::count (statuses.begin (), statuses.end (), 200), 3);
  EXPECT_EQ (std::count (statuses.begin (), statuses.end (), 503), 2);
  EXPECT_NE (stats ().find ("\"running_max\":3"), std::string::npos);
}

/* Guards against work that goes on after its caller closed or its deadline
   passed, which would keep slots in use.  */
TEST_F (Standin, WorkStopsAtCloseAndDeadline)
{
  EXPECT_FALSE (fetch (target, "/w", { "X-Work-Ms: 5000" }, 100).whole);
  Reply late
      = fetch (target, "/w", { "X-Work-Ms: 5000", "X-Deadline-Ms: 50" });
  EXPECT_EQ (late.status, 504);
  EXPECT_LT (late.took_us, 1000000);
  std::string text = stats ();
  EXPECT_NE (text.find ("\"cancelled\":1"), std::string::npos) << text;
  EXPECT_NE (text.find ("\"past_deadline\":1"), std::string::npos) << text;
  EXPECT_NE (text.find ("\"running\":0"), std::string::npos) << text;
}

/* Guards against checks of the invariants that cannot fail: a key, a doubled
   order and work after a drain must be seen.  */
TEST_F (Standin, TargetRecordsViolations)
{
  fetch (target, "/w?API_key=x&key=secret");
  for (int i = 0; i < 2; i++)
    fetch (target, "/w", { "Idempotency-Key: k1", "X-Customer: c1" }, 3000,
           "POST");
  set ("draining=1");
  fetch (target, "/w");
  std::string text = stats ();
  EXPECT_NE (text.find ("\"key_seen\":1"), std::string::npos) << text;
  EXPECT_NE (text.find ("\"doubled\":1"), std::string::npos) << text;
  EXPECT_NE (text.find ("\"after_drain\":1"), std::string::npos) << text;
  EXPECT_EQ (control_text (si_target_control (harness), "/control/orders"),
             "{\"c1\\/k1\":2}");
}

/* Guards against faults that the target does not show as they are named.  */
TEST_F (Standin, TargetFaults)
{
  for (const char *crash : { "accept", "refuse", "request", "after", "cut" })
    {
      set (std::string ("crash=") + crash);
      EXPECT_FALSE (fetch (target, "/w").whole) << crash;
    }
  set ("crash=off&late_ms=100");
  EXPECT_GE (fetch (target, "/w").took_us, 100000);
  set ("late_ms=0&shed=1");
  EXPECT_EQ (fetch (target, "/w").status, 503);
  EXPECT_NE (fetch (target, "/loadz").body.find ("\"running\":0"),
             std::string::npos);
  set ("shed=0&cold=1&unhealthy=1");
  EXPECT_GE (fetch (target, "/w").took_us, 20000);
  EXPECT_EQ (fetch (target, "/healthz").status, 503);
  EXPECT_NE (fetch (target, "/loadz").body.find ("\"warm_permille\":20"),
             std::string::npos);
}

/* Guards against a caller that takes a cut, altered or foreign answer for its
   own.  */
TEST_F (Standin, EchoDetectsForeignAndCutAnswers)
{
  Reply reply = fetch (target, "/w", { "X-Request-Tag: t1" });
  const char *body = reply.body.c_str ();
  size_t size = reply.body.size ();
  EXPECT_TRUE (si_echo_check (body, size, "t1", "", 0));
  EXPECT_FALSE (si_echo_check (body, size, "t2", "", 0));
  EXPECT_FALSE (si_echo_check (body, size, "t1", "x", 1));
  EXPECT_FALSE (si_echo_check (body, size - 1, "t1", "", 0));
  reply.body[size / 2] ^= 1;
  EXPECT_FALSE (si_echo_check (reply.body.c_str (), size, "t1", "", 0));
}

/* Guards against a delay or rate that the proxy does not apply.  */
TEST_F (Standin, ProxyDelaysAndLimitsRate)
{
  set_link ("delay_us=50000&mbit=0");
  int64_t took_us = fetch (link, "/w").took_us;
  EXPECT_GE (took_us, 100000);
  EXPECT_LT (took_us, 1000000);
  /* 250,000 bytes at 10 Mbit/s take 200 ms.  */
  set_link ("delay_us=0&mbit=10");
  Reply reply = fetch (link, "/w", { "X-Answer-Bytes: 250000" });
  EXPECT_TRUE (reply.whole);
  EXPECT_GE (reply.took_us, 200000);
}

/* Guards against a cut at another byte than the one asked for, which would
   miss the states between two bytes of a message.  */
TEST_F (Standin, ProxyCutsAtTheByte)
{
  set_link ("cut_after_down=57");
  EXPECT_FALSE (fetch (link, "/w").whole);
  std::string links
      = control_text (si_proxy_control (harness), "/control/links");
  size_t at = links.find ("target\\/vm1\\/baltic-1\\/boards-01");
  ASSERT_NE (at, std::string::npos);
  EXPECT_EQ (links.substr (links.find ("down_bytes", at), 15),
             "down_bytes\":57}");
  set_link ("cut_after_down=-1&cut_after_up=0");
  EXPECT_FALSE (fetch (link, "/w").whole);
  set_link ("cut_after_up=-1");
  EXPECT_TRUE (fetch (link, "/w").whole);
}

/* Guards against a partition that lets bytes pass, or that delivers after its
   end what was sent on connections that it did not let through.  */
TEST_F (Standin, ProxyPartitionAndCut)
{
  ASSERT_TRUE (si_partition_zone (harness, "baltic-1", TRUE, nullptr));
  EXPECT_TRUE (fetch (link, "/same-zone").whole);
  const char *other = si_link_address (harness, "target", "vm2", "boards-01");
  EXPECT_FALSE (fetch (other, "/cut-off", {}, 200).whole);
  ASSERT_TRUE (si_partition_zone (harness, "baltic-1", FALSE, nullptr));
  EXPECT_TRUE (fetch (other, "/healed").whole);
  EXPECT_EQ (control_text (si_target_control (harness), "/control/requests")
                 .find ("cut-off"),
             std::string::npos);
  set_link ("cut=1");
  EXPECT_FALSE (fetch (link, "/w").whole);
  set_link ("cut=0&hold=1");
  EXPECT_FALSE (fetch (link, "/w", {}, 200).whole);
  set_link ("hold=0");
  EXPECT_TRUE (fetch (link, "/w").whole);
}

struct Got
{
  int calls = 0;
  StOutcome outcome = ST_OUTCOME_DOWN;
  uint64_t index = 0;
  std::string value;
};

void
on_done (const StResult *result, void *data)
{
  auto *got = static_cast<Got *> (data);
  got->calls++;
  got->outcome = result->outcome;
  got->index = result->index;
  got->value.assign (result->value == nullptr ? "" : result->value,
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
  run (const Got &got)
  {
    timeval step = { 0, 5000 };
    for (int i = 0; i < 600 && got.calls == 0; i++)
      {
        event_base_loopexit (base, &step);
        event_base_dispatch (base);
      }
    EXPECT_EQ (got.calls, 1);
  }
  Got
  write (uint64_t expected, const char *value)
  {
    Got got;
    st_cas (store, "cw/k", expected, value, strlen (value), on_done, &got);
    run (got);
    return got;
  }
  Got
  read ()
  {
    Got got;
    st_get (store, "cw/k", on_done, &got);
    run (got);
    return got;
  }
  void
  control (const char *path)
  {
    ASSERT_TRUE (si_control (si_platform_address (harness), path, nullptr));
  }

  event_base *base = nullptr;
  StStore *store = nullptr;
};

/* Guards against a store that lets two writers win, and an adapter that does
   not see its own index.  */
TEST_F (Platform, CompareAndSwap)
{
  Got first = write (0, "a");
  EXPECT_EQ (first.outcome, ST_OUTCOME_OK);
  EXPECT_EQ (write (0, "b").outcome, ST_OUTCOME_CONFLICT);
  EXPECT_EQ (read ().index, first.index);
  EXPECT_EQ (write (first.index, "c").outcome, ST_OUTCOME_OK);
  EXPECT_EQ (write (first.index, "d").outcome, ST_OUTCOME_CONFLICT);
  EXPECT_EQ (read ().value, "c");
}

/* Guards against a lost answer or an outage that is reported as a failed
   write.  */
TEST_F (Platform, LostAnswersAndOutages)
{
  control ("/control/lose?writes=1");
  EXPECT_EQ (write (0, "a").outcome, ST_OUTCOME_UNKNOWN);
  Got stored = read ();
  EXPECT_EQ (stored.value, "a");
  for (const char *mode : { "hang", "close" })
    {
      std::string path = std::string ("/control/outage?mode=") + mode;
      control (path.c_str ());
      EXPECT_EQ (write (stored.index, "b").outcome, ST_OUTCOME_UNKNOWN);
      EXPECT_EQ (read ().outcome, ST_OUTCOME_DOWN);
    }
  control ("/control/outage?mode=off");
  EXPECT_EQ (read ().value, "a");
}

/* Guards against a watch that misses a change or holds up other calls.  */
TEST_F (Platform, WatchSeesChangeAndDelete)
{
  Got first = write (0, "a"), watched, deleted, removed;
  st_watch (store, "cw/k", first.index, 3000, on_done, &watched);
  write (first.index, "b");
  run (watched);
  EXPECT_EQ (watched.value, "b");
  EXPECT_GT (watched.index, first.index);
  st_watch (store, "cw/k", watched.index, 3000, on_done, &deleted);
  st_delete_prefix (store, "cw/", on_done, &removed);
  run (removed);
  run (deleted);
  EXPECT_EQ (deleted.outcome, ST_OUTCOME_ABSENT);
  EXPECT_GT (deleted.index, watched.index);
}

/* Guards against a list that shows changes before its lag, or not at all.  */
TEST_F (Platform, ListLags)
{
  auto count = [&] {
    struct Seen
    {
      int calls = 0;
      guint leaving = 0;
    } seen;
    st_list_vms (
        store, "entry", 0, 0,
        [] (const GPtrArray *vms, uint64_t, void *data) {
          auto *out = static_cast<Seen *> (data);
          out->calls++;
          for (guint i = 0; vms != nullptr && i < vms->len; i++)
            out->leaving
                += static_cast<StVm *> (vms->pdata[i])->leaving ? 1 : 0;
        },
        &seen);
    timeval step = { 0, 5000 };
    for (int i = 0; i < 600 && seen.calls == 0; i++)
      {
        event_base_loopexit (base, &step);
        event_base_dispatch (base);
      }
    return seen.leaving;
  };
  control ("/control/list_lag?ms=300");
  ASSERT_TRUE (si_set_listed (harness, "vm3", "leaving", nullptr));
  EXPECT_EQ (count (), 0U);
  si_sleep_ms (400);
  EXPECT_EQ (count (), 1U);
}

/* Guards against a generator that waits for a stalled server and so hides the
   latency of the requests that were due in the meantime.  */
TEST_F (Standin, LoadCountsTheWaitOfAStall)
{
  std::string program = std::string (CW_BINARY_DIR) + "/standin/load-gen";
  std::string out = std::string (si_folder (harness)) + "/load.json";
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

/* Guards against checks of a run that pass whatever happened: each kind of
   violation is made on purpose and must be found.  */
TEST_F (Standin, VerifyFindsViolations)
{
  std::string trace = std::string (si_folder (harness)) + "/trace";
  int64_t now_us = g_get_monotonic_time ();
  std::string lines;
  auto request = [&] (const char *tag, const char *customer, const char *kind,
                      const char *outcome, int runs) {
    std::string header = std::string ("X-Request-Tag: ") + tag;
    for (int i = 0; i < runs; i++)
      fetch (target, "/w", { header.c_str (), "X-Customer: c1" });
    lines += std::string (tag) + " " + customer + " " + kind + " "
             + std::to_string (now_us) + " 0 200 " + outcome + " -\n";
  };
  request ("good", "c1", "order", "answered", 1);
  request ("doubled", "c1", "order", "unknown", 2);
  request ("lost", "c1", "order", "answered", 0);
  request ("not-run", "c1", "read", "refused", 1);
  request ("foreign", "c2", "read", "answered", 1);
  request ("wrong", "c1", "read", "wrong", 1);
  fetch (target, "/w?api_key=x");
  ASSERT_TRUE (
      g_file_set_contents (trace.c_str (), lines.c_str (), -1, nullptr));
  SiRate rates[] = { { "c1", 1, 3 }, { "c2", 1, 3 } };
  SiVerdict verdict;
  ASSERT_TRUE (
      si_verify (harness, trace.c_str (), rates, 2, &verdict, nullptr));
  EXPECT_EQ (verdict.request_count, 6U);
  EXPECT_EQ (verdict.doubled_count, 1U);
  EXPECT_EQ (verdict.lost_count, 1U);
  EXPECT_EQ (verdict.false_not_run_count, 1U);
  EXPECT_EQ (verdict.foreign_count, 1U);
  EXPECT_EQ (verdict.wrong_count, 1U);
  EXPECT_EQ (verdict.key_seen_count, 1U);
  EXPECT_EQ (verdict.over_rate_count, 1U);
  EXPECT_EQ (si_verify_after (harness, "boards-01", now_us, nullptr), 7);
}

/* Guards against settings that the daemon refuses and a configuration that
   fails its checks.  */
TEST_F (Standin, DeploymentPassesTheChecksOfTheDaemon)
{
  for (const char *deployment : { "tammemets", "cooperative" })
    {
      SiOptions options = {};
      options.bin = CW_BINARY_DIR;
      options.deployment = deployment;
      options.proxied = TRUE;
      options.client_links = TRUE;
      g_autoptr (SiHarness) other = si_new (&options, nullptr);
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

/* Guards against processes that outlive the harness and disturb later runs. */
TEST_F (Standin, FreeEndsAllProcesses)
{
  const char *argv[] = { "/bin/sleep", "100", nullptr };
  pid_t pid = si_spawn (harness, argv, "sleep.log", nullptr);
  ASSERT_GT (pid, 0);
  std::string control = si_target_control (harness);
  si_free (harness);
  harness = nullptr;
  EXPECT_EQ (kill (pid, 0), -1);
  EXPECT_FALSE (fetch (control.c_str (), "/control/stats", {}, 300).whole);
}

}
