#include "proof/run.h"

/* Guards against a zone that is partitioned under load and still uses shares
   that others took over, and against admission above a customer's rate when it
   rejoins.  */
TEST (Partition, PartitionedZoneRejoins)
{
  TestRunOptions options;
  options.proxied = true;
  TestRun run (options);
  std::vector<CustomerLoad> customer_loads
      = run.customer_loads (0.2, "orders=50");
  GError *error = NULL;

  /* c3 at four times its rate uses all tokens and slots available.  */
  customer_loads[2].rate_per_s = 400;
  run.start_load (customer_loads, 18000);
  run.sleep_until_ms (4000);
  ASSERT_TRUE (si_partition_zone (run.harness (), "nordic-1", TRUE, &error))
      << error->message;
  run.sleep_until_ms (12000);
  ASSERT_TRUE (si_partition_zone (run.harness (), "nordic-1", FALSE, &error))
      << error->message;
  run.finish_load ();
  run.expect_invariants ();
}

/* Guards against a partitioned zone refusing requests that need no key, and
   against it accepting keys although it cannot receive their revocation.  */
TEST (Partition, PartitionedZoneServesOpenRoutesAndRefusesKeys)
{
  TestRunOptions options;
  options.proxied = true;
  TestRun run (options);
  GError *error = NULL;
  std::string view_path
      = std::string ("/") + si_fixture_service (run.harness (), 0) + "/view/a";
  std::string zone_vm;

  for (guint i = 0; i < si_vms (run.harness ())->len && zone_vm.empty (); i++)
    {
      auto *vm = (SiVm *)g_ptr_array_index (si_vms (run.harness ()), i);
      if (std::string (vm->zone) == "nordic-1")
        zone_vm = vm->name;
    }
  ASSERT_TRUE (si_partition_zone (run.harness (), "nordic-1", TRUE, &error))
      << error->message;
  run.wait_for ("requests with a key refused as stale", 3000, [&] {
    return run.get_status (zone_vm, view_path, "key-c1") == 503;
  });
  EXPECT_EQ (200, run.get_status (zone_vm, "/open/a", ""))
      << run.last_body () << run.admin_page (zone_vm, "/v1/status");
  ASSERT_TRUE (si_partition_zone (run.harness (), "nordic-1", FALSE, &error))
      << error->message;
  run.wait_for ("requests with a key served again", 8000, [&] {
    return run.get_status (zone_vm, view_path, "key-c1") == 200;
  });
}
