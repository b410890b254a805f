#include "proof/run.h"

/* Guards against defects anywhere in the request path while nothing fails, and
   against refusing customers within their rate: at most 0.1% of requests may
   be refused by rate.  */
TEST (Steady, MixedTrafficWithinRate)
{
  TestRun run ({});

  run.start_load (run.customer_loads (0.25, "orders=100,fresh=50"), 8000);
  run.finish_load ();
  run.expect_invariants ();
  EXPECT_LE (run.total_result ().rate_refused_count * 1000,
             run.total_result ().request_count);
  EXPECT_GE (run.total_result ().answered_count * 1000,
             run.total_result ().request_count * 999);
  EXPECT_EQ (0, run.total_result ().unknown_count);
}

/* Guards against refusing a customer within its rate because the rate is split
   between daemons and all its traffic arrives at one: at most 0.1% of requests
   may be refused by rate.  */
TEST (Steady, AllTrafficOfACustomerAtOneDaemon)
{
  TestRun run ({});

  run.start_load ({ { "c3", 80, "pin=4" }, { "c4", 20 } }, 8000);
  run.finish_load ();
  run.expect_invariants ();
  EXPECT_LE (run.result_of ("c3").rate_refused_count * 1000,
             run.result_of ("c3").request_count);
}

/* Guards against admitting nothing, or too much, where the burst is smaller
   than the number of daemons.  */
TEST (Steady, BurstSmallerThanTheNumberOfDaemons)
{
  TestRunOptions options;
  options.rate_per_s = 20;
  options.burst = 3;
  TestRun run (options);

  run.start_load (run.customer_loads (0.3), 8000);
  run.finish_load ();
  run.expect_invariants ();
  EXPECT_GE (run.total_result ().answered_count * 2,
             run.total_result ().request_count);
}

/* Guards against a customer that exceeds its rate several times over slowing
   or blocking others: 99.9% of their requests must be served.  */
TEST (Steady, OneCustomerAtEightTimesItsRate)
{
  TestRun run ({});
  std::vector<CustomerLoad> customer_loads = run.customer_loads (0.2);

  /* c3 at eight times its rate.  */
  customer_loads[2].rate_per_s = 800;
  run.start_load (customer_loads, 8000);
  run.finish_load ();
  run.expect_invariants ();
  for (const CustomerLoad &load : customer_loads)
    {
      const LoadResult &result = run.result_of (load.customer);
      EXPECT_TRUE (load.customer == customer_loads[2].customer
                   || result.answered_count * 1000
                          >= result.request_count * 999)
          << load.customer << " " << result.answered_count << " of "
          << result.request_count;
    }
}
