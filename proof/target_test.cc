#include "proof/run.h"

namespace
{

std::string
first_target (TestRun &run)
{
  return ((SiTarget *)g_ptr_array_index (si_targets (run.harness ()), 0))
      ->name;
}

/* MARKED_US is when the target was marked as draining.  */
void
expect_no_late_requests (TestRun &run, const std::string &target,
                         int64_t marked_us)
{
  GError *error = NULL;
  int64_t late_count = si_count_requests_after (
      run.harness (), target.c_str (), marked_us + 2000000, &error);
  ASSERT_GE (late_count, 0) << error->message;
  EXPECT_EQ (0, late_count)
      << "requests later than 2 s after the target was marked";
}

}

/* Guards against new requests to a target that the platform's list marks as
   draining ("leaving").  */
TEST (Target, LeavingByThePlatformsList)
{
  TestRun run ({});
  std::string target = first_target (run);
  GError *error = NULL;

  run.start_load (run.customer_loads (0.25), 8000);
  run.sleep_until_ms (2500);
  int64_t marked_us = now_us ();
  ASSERT_TRUE (
      si_set_list_state (run.harness (), target.c_str (), "leaving", &error))
      << error->message;
  run.finish_load ();
  run.expect_invariants ();
  expect_no_late_requests (run, target, marked_us);
}

/* Guards against new requests to a target that reports that it drains.  */
TEST (Target, DrainingByItsOwnReport)
{
  TestRun run ({});
  std::string target = first_target (run);

  run.start_load (run.customer_loads (0.25), 8000);
  run.sleep_until_ms (2500);
  int64_t marked_us = now_us ();
  run.post_control (si_target_control (run.harness ()),
                    "/control/set?draining=1&target=" + target);
  run.finish_load ();
  run.expect_invariants ();
  expect_no_late_requests (run, target, marked_us);
}

/* Guards against new requests to a target that the configuration drains.  */
TEST (Target, DrainingByConfiguration)
{
  TestRun run ({});
  std::string target = first_target (run);
  int64_t marked_us = 0;

  run.start_load (run.customer_loads (0.25), 9000);
  run.sleep_until_ms (2500);
  run.apply_config ([&] (CfConfig *config) {
    CfDrain *drain
        = cf_add_drain (config, "test", CF_DRAIN_TARGET, target.c_str ());
    drain->start_ms = g_get_real_time () / 1000 - 60000;
    drain->end_ms = drain->start_ms + 3600000;
    marked_us = now_us ();
  });
  run.finish_load ();
  run.expect_invariants ();
  expect_no_late_requests (run, target, marked_us);
}

/* Guards against a thundering herd at a target that reports itself idle while
   it sheds: the other targets must serve the idempotent requests.  */
TEST (Target, ReportsIdleWhileItSheds)
{
  TestRun run ({});

  run.start_load (run.customer_loads (0.25), 8000);
  run.sleep_until_ms (2000);
  run.post_control (si_target_control (run.harness ()),
                    "/control/set?shed=1&target=" + first_target (run));
  run.finish_load ();
  run.expect_invariants ();
  EXPECT_GE (run.total_result ().answered_count * 1000,
             run.total_result ().request_count * 990);
}

/* Guards against giving a caller the response to another one's request:
   targets send a second copy of each response where the next one on the
   connection is due.  */
TEST (Target, LateCopiesOfResponsesAreGivenToNoOtherCaller)
{
  TestRun run ({});

  run.start_load (run.customer_loads (0.25, "orders=500"), 6000);
  run.sleep_until_ms (1500);
  run.post_control (si_target_control (run.harness ()),
                    "/control/set?late_copies=1");
  run.finish_load ();
  run.expect_invariants ();
  EXPECT_GE (run.total_result ().answered_count * 1000,
             run.total_result ().request_count * 990);
}

class Crash : public testing::TestWithParam<const char *>
{
};

/* Guards against an order that runs twice, or is reported as not run although
   it ran, when the target fails at any stage of the request.  */
TEST_P (Crash, OrderRunsAtMostOnce)
{
  TestRun run ({});

  run.start_load (run.customer_loads (0.1, "orders=500"), 6000);
  run.sleep_until_ms (1500);
  run.post_control (si_target_control (run.harness ()),
                    std::string ("/control/set?crash=") + GetParam ()
                        + "&target=" + first_target (run));
  run.sleep_until_ms (4500);
  run.post_control (si_target_control (run.harness ()),
                    "/control/set?crash=off&target=" + first_target (run));
  run.finish_load ();
  run.expect_invariants ();
}

INSTANTIATE_TEST_SUITE_P (Points, Crash,
                          testing::Values ("accept", "refuse", "request",
                                           "after", "cut", "hang"));
