#include "proof/run.h"

/* Guards against any fault of the whole path without a failure, and against
   refusing customers within their rate: at most 0.1%.  */
TEST (Steady, MixedTrafficWithinRate)
{
  Trial run ({});

  run.load (run.callers (0.25, "orders=100,fresh=50"), 8000);
  run.finish ();
  run.expect_invariants ();
  EXPECT_LE (run.total ().rate_refused * 1000, run.total ().requests);
  EXPECT_GE (run.total ().answered * 1000, run.total ().requests * 999);
  EXPECT_EQ (0, run.total ().unknown);
}

/* Guards against the split of a rate over daemons refusing a customer whose
   whole traffic arrives at one of them: at most 0.1%.  */
TEST (Steady, AllTrafficOfACustomerAtOneDaemon)
{
  Trial run ({});

  run.load ({ { "c3", 80, "pin=4" }, { "c4", 20 } }, 8000);
  run.finish ();
  run.expect_invariants ();
  EXPECT_LE (run.of ("c3").rate_refused * 1000, run.of ("c3").requests);
}

/* Guards against a burst below the number of daemons admitting nothing or too
   much.  */
TEST (Steady, BurstSmallerThanTheNumberOfDaemons)
{
  TrialOptions options;
  options.rate_per_s = 20;
  options.burst = 3;
  Trial run (options);

  run.load (run.callers (0.3), 8000);
  run.finish ();
  run.expect_invariants ();
  EXPECT_GE (run.total ().answered * 2, run.total ().requests);
}

/* Guards against one customer at several times its rate harming the others:
   they are answered at 99.9%.  */
TEST (Steady, OneCustomerAtEightTimesItsRate)
{
  Trial run ({});
  std::vector<Caller> callers = run.callers (0.2);

  callers[2].rate_per_s = 800;
  run.load (callers, 8000);
  run.finish ();
  run.expect_invariants ();
  for (const Caller &row : callers)
    {
      const Outcome &outcome = run.of (row.name);
      EXPECT_TRUE (row.name == callers[2].name
                   || outcome.answered * 1000 >= outcome.requests * 999)
          << row.name << " " << outcome.answered << " of " << outcome.requests;
    }
}
