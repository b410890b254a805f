#include "proof/run.h"

namespace
{

void
revoke_key (CfConfig *config, const char *customer_name)
{
  for (guint i = 0; i < config->customers->len; i++)
    {
      auto *customer = (CfCustomer *)g_ptr_array_index (config->customers, i);
      if (std::string (customer->name) == customer_name)
        ((CfKey *)g_ptr_array_index (customer->keys, 0))->withdrawn = TRUE;
    }
}

std::string
view_path (TestRun &run)
{
  return std::string ("/") + si_fixture_service (run.harness (), 0)
         + "/view/a";
}

bool
all_vms_return_status (TestRun &run, const std::string &key, int status)
{
  for (guint i = 0; i < si_vms (run.harness ())->len; i++)
    {
      auto *vm = (SiVm *)g_ptr_array_index (si_vms (run.harness ()), i);
      if (vm->pid != 0
          && run.get_status (vm->name, view_path (run), key) != status)
        return false;
    }
  return true;
}

}

/* Guards against a daemon accepting a revoked key more than 3 s after the
   configuration change was accepted, also on connections that were already
   open.  */
TEST (Change, RevokedKeyIsRefusedEverywhereWithinThreeSeconds)
{
  TestRun run ({});

  EXPECT_TRUE (all_vms_return_status (run, "key-c1", 200));
  run.start_load ({ { "c1", 50 } }, 6000);
  run.sleep_until_ms (2000);
  run.apply_config ([] (CfConfig *config) { revoke_key (config, "c1"); });
  int64_t took_ms = run.wait_for ("key refused everywhere", 3000, [&] {
    return all_vms_return_status (run, "key-c1", 401);
  });
  printf ("revoked key refused everywhere after %ld ms\n", (long)took_ms);
  run.finish_load ();
  EXPECT_TRUE (all_vms_return_status (run, "key-c2", 200));
}

/* Guards against a stale read of the store making a revoked key valid again,
   also on a daemon that has just started.  */
TEST (Change, StaleReadsNeverRevertTheConfiguration)
{
  TestRun run ({});
  GError *error = NULL;

  run.post_control (si_platform_control (run.harness ()),
                    "/control/stale?mode=plain");
  run.apply_config ([] (CfConfig *config) { revoke_key (config, "c1"); });
  run.wait_for ("key refused everywhere", 3000,
                [&] { return all_vms_return_status (run, "key-c1", 401); });
  si_kill_vm (run.harness (), "vm5");
  ASSERT_TRUE (si_start_vm (run.harness (), "vm5", &error)) << error->message;
  for (int i = 0; i < 50; i++)
    {
      EXPECT_NE (200, run.get_status ("vm5", view_path (run), "key-c1"));
      EXPECT_NE (200, run.get_status ("vm1", view_path (run), "key-c1"));
      g_usleep (50000);
    }
}

/* Guards against a daemon that starts while the store is down and serves
   without a configuration, or does not get it from its peers.  */
TEST (Change, StartsFromPeersWhileTheStoreIsDown)
{
  TestRun run ({});
  GError *error = NULL;

  si_kill_vm (run.harness (), "vm6");
  run.post_control (si_platform_control (run.harness ()),
                    "/control/outage?mode=close");
  ASSERT_TRUE (si_start_vm (run.harness (), "vm6", &error)) << error->message;
  run.wait_for ("open route served by vm6", 8000,
                [&] { return run.get_status ("vm6", "/open/a", "") == 200; });
}
