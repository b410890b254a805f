#include "proof/run.h"

/* Guards against a zone that is cut off under load spending what the rest has
   taken over, and against a jump in admitted traffic when it rejoins.  */
TEST (Partition, ZoneCutOffAndRejoined)
{
  TrialOptions options;
  options.proxied = true;
  Trial run (options);
  std::vector<Caller> callers = run.callers (0.2, "orders=50");
  GError *error = NULL;

  callers[2].rate_per_s = 400;
  run.load (callers, 18000);
  run.after_ms (4000);
  ASSERT_TRUE (si_partition_zone (run.harness (), "nordic-1", TRUE, &error))
      << error->message;
  run.after_ms (12000);
  ASSERT_TRUE (si_partition_zone (run.harness (), "nordic-1", FALSE, &error))
      << error->message;
  run.finish ();
  run.expect_invariants ();
}

/* Guards against a cut-off zone refusing what needs no key, and against it
   honouring a key whose withdrawal it cannot learn of.  */
TEST (Partition, CutOffZoneServesOpenRoutesAndRefusesKeys)
{
  TrialOptions options;
  options.proxied = true;
  Trial run (options);
  GError *error = NULL;
  std::string keyed
      = std::string ("/") + si_fixture_service (run.harness (), 0) + "/view/a";
  std::string inside;

  for (guint i = 0; i < si_vms (run.harness ())->len && inside.empty (); i++)
    {
      auto *vm = (SiVm *)g_ptr_array_index (si_vms (run.harness ()), i);
      if (std::string (vm->zone) == "nordic-1")
        inside = vm->name;
    }
  ASSERT_TRUE (si_partition_zone (run.harness (), "nordic-1", TRUE, &error))
      << error->message;
  run.wait_for ("keyed requests refused as stale", 3000, [&] {
    return run.status_of (inside, keyed, "key-c1") == 503;
  });
  EXPECT_EQ (200, run.status_of (inside, "/open/a", ""))
      << run.last_body () << run.page (inside, "/v1/status");
  ASSERT_TRUE (si_partition_zone (run.harness (), "nordic-1", FALSE, &error))
      << error->message;
  run.wait_for ("keyed requests served again", 8000, [&] {
    return run.status_of (inside, keyed, "key-c1") == 200;
  });
}
