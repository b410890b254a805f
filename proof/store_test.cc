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
