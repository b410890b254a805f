#include "proof/run.h"

namespace
{

std::string
store (Trial &run, const std::string &path)
{
  run.control (si_platform_address (run.harness ()), path);
  return path;
}

}

/* Guards against a long outage of the store stopping the fleet: customers
   within their rate are refused in at most 0.1% of requests, and daemons keep
   their leases by promises.  */
TEST (Store, DownForAMinuteUnderLoad)
{
  Trial run ({});

  run.load (run.callers (0.25), 70000);
  run.after_ms (4000);
  store (run, "/control/outage?mode=close");
  run.after_ms (64000);
  store (run, "/control/outage?mode=off");
  run.finish ();
  run.expect_invariants ();
  EXPECT_LE (run.total ().rate_refused * 1000, run.total ().requests);
  EXPECT_GE (run.total ().answered * 1000, run.total ().requests * 999);
}

/* Guards against a hanging store stalling requests that do not need it.  */
TEST (Store, HangingStoreDelaysNoRead)
{
  Trial run ({});

  run.load (run.callers (0.25), 12000);
  run.after_ms (2000);
  store (run, "/control/outage?mode=hang");
  run.after_ms (10000);
  store (run, "/control/outage?mode=off");
  run.finish ();
  run.expect_invariants ();
  EXPECT_GE (run.total ().answered * 1000, run.total ().requests * 999);
}

/* Guards against an order running twice, or being called not run although it
   ran, when the store's answers are lost after the write.  */
TEST (Store, AnswersLostAfterTheWrite)
{
  Trial run ({});

  run.load (run.callers (0.15, "orders=500"), 10000);
  for (int at_ms = 1000; at_ms < 9000; at_ms += 500)
    {
      run.after_ms (at_ms);
      store (run, "/control/lose?writes=3");
    }
  run.finish ();
  run.expect_invariants ();
}

/* Guards against records of orders being kept in the store for ever.  */
TEST (Store, ExpiredOrdersAreDeleted)
{
  Trial run ({});
  int64_t day = g_get_real_time () / 86400000000;
  std::string old_key = "cw/order/" + std::to_string (day - 2) + "/a";
  std::string new_key = "cw/order/" + std::to_string (day - 1) + "/a";
  SiAnswer answer = {};

  for (const std::string &key : { old_key, new_key })
    {
      ASSERT_TRUE (si_http ("PUT", run.store_address ().c_str (),
                            ("/v1/kv/" + key).c_str (), NULL, "{}", 2000,
                            &answer, NULL));
      EXPECT_EQ (200, answer.status);
      si_answer_clear (&answer);
    }
  /* A new process looks at once.  */
  GError *error = NULL;
  si_kill_vm (run.harness (), "vm1");
  ASSERT_TRUE (si_start_vm (run.harness (), "vm1", &error)) << error->message;
  auto status_of = [&] (const std::string &key) {
    si_http ("GET", run.store_address ().c_str (), ("/v1/kv/" + key).c_str (),
             NULL, NULL, 2000, &answer, NULL);
    int status = answer.status;
    si_answer_clear (&answer);
    return status;
  };
  run.wait_for ("record of two days ago deleted", 10000,
                [&] { return status_of (old_key) == 404; });
  EXPECT_EQ (200, status_of (new_key));
}

/* Guards against an order with an Idempotency-Key running without a record
   while the store is down.  */
TEST (Store, OrdersDuringAnOutageRunAtMostOnce)
{
  Trial run ({});

  run.load (run.callers (0.15, "orders=500"), 12000);
  run.after_ms (3000);
  store (run, "/control/outage?mode=close");
  run.after_ms (7000);
  store (run, "/control/outage?mode=off");
  run.finish ();
  run.expect_invariants ();
}
