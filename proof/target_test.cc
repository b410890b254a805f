#include "proof/run.h"

namespace
{

std::string
first_target (Trial &run)
{
  return ((SiTarget *)g_ptr_array_index (si_targets (run.harness ()), 0))
      ->name;
}

void
expect_no_new_work (Trial &run, const std::string &target, int64_t sign_us)
{
  GError *error = NULL;
  int64_t late = si_verify_after (run.harness (), target.c_str (),
                                  sign_us + 2000000, &error);
  ASSERT_GE (late, 0) << error->message;
  EXPECT_EQ (0, late) << "requests later than 2 s after the sign";
}

}

/* Guards against new work for a target that the platform lists as leaving.  */
TEST (Target, LeavingByThePlatformsList)
{
  Trial run ({});
  std::string target = first_target (run);
  GError *error = NULL;

  run.load (run.callers (0.25), 8000);
  run.after_ms (2500);
  int64_t sign_us = now_us ();
  ASSERT_TRUE (
      si_set_listed (run.harness (), target.c_str (), "leaving", &error))
      << error->message;
  run.finish ();
  run.expect_invariants ();
  expect_no_new_work (run, target, sign_us);
}

/* Guards against new work for a target that drains by its own report.  */
TEST (Target, DrainingByItsOwnReport)
{
  Trial run ({});
  std::string target = first_target (run);

  run.load (run.callers (0.25), 8000);
  run.after_ms (2500);
  int64_t sign_us = now_us ();
  run.control (si_target_control (run.harness ()),
               "/control/set?draining=1&target=" + target);
  run.finish ();
  run.expect_invariants ();
  expect_no_new_work (run, target, sign_us);
}

/* Guards against new work for a target that a configured drain names.  */
TEST (Target, DrainingByConfiguration)
{
  Trial run ({});
  std::string target = first_target (run);
  int64_t sign_us = 0;

  run.load (run.callers (0.25), 9000);
  run.after_ms (2500);
  run.apply ([&] (CfConfig *config) {
    CfDrain *drain
        = cf_add_drain (config, "test", CF_DRAIN_TARGET, target.c_str ());
    drain->start_ms = g_get_real_time () / 1000 - 60000;
    drain->end_ms = drain->start_ms + 3600000;
    sign_us = now_us ();
  });
  run.finish ();
  run.expect_invariants ();
  expect_no_new_work (run, target, sign_us);
}

/* Guards against a herd at a target that reports to be idle while it sheds:
   callers of idempotent requests are answered by the others.  */
TEST (Target, ReportsIdleWhileItSheds)
{
  Trial run ({});

  run.load (run.callers (0.25), 8000);
  run.after_ms (2000);
  run.control (si_target_control (run.harness ()),
               "/control/set?shed=1&target=" + first_target (run));
  run.finish ();
  run.expect_invariants ();
  EXPECT_GE (run.total ().answered * 1000, run.total ().requests * 990);
}

class Crash : public testing::TestWithParam<const char *>
{
};

/* Guards against an order that runs twice or is called not run although it
   ran, with the connection cut at each point of an order.  */
TEST_P (Crash, OrderRunsAtMostOnce)
{
  Trial run ({});

  run.load (run.callers (0.1, "orders=500"), 6000);
  run.after_ms (1500);
  run.control (si_target_control (run.harness ()),
               std::string ("/control/set?crash=") + GetParam ()
                   + "&target=" + first_target (run));
  run.after_ms (4500);
  run.control (si_target_control (run.harness ()),
               "/control/set?crash=off&target=" + first_target (run));
  run.finish ();
  run.expect_invariants ();
}

INSTANTIATE_TEST_SUITE_P (Points, Crash,
                          testing::Values ("accept", "refuse", "request",
                                           "after", "cut", "hang"));
