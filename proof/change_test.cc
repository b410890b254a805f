#include "proof/run.h"

namespace
{

void
withdraw (CfConfig *config, const char *customer)
{
  for (guint i = 0; i < config->customers->len; i++)
    {
      auto *row = (CfCustomer *)g_ptr_array_index (config->customers, i);
      if (std::string (row->name) == customer)
        ((CfKey *)g_ptr_array_index (row->keys, 0))->withdrawn = TRUE;
    }
}

std::string
view_path (Trial &run)
{
  return std::string ("/") + si_fixture_service (run.harness (), 0)
         + "/view/a";
}

bool
all_answer (Trial &run, const std::string &key, int status)
{
  for (guint i = 0; i < si_vms (run.harness ())->len; i++)
    {
      auto *vm = (SiVm *)g_ptr_array_index (si_vms (run.harness ()), i);
      if (vm->pid != 0
          && run.status_of (vm->name, view_path (run), key) != status)
        return false;
    }
  return true;
}

}

/* Guards against a withdrawn key working for more than 3 s after the change
   was accepted, on any daemon, also on connections that are open.  */
TEST (Change, WithdrawnKeyStopsEverywhereWithinThreeSeconds)
{
  Trial run ({});

  EXPECT_TRUE (all_answer (run, "key-c1", 200));
  run.load ({ { "c1", 50 } }, 6000);
  run.after_ms (2000);
  run.apply ([] (CfConfig *config) { withdraw (config, "c1"); });
  int64_t took_ms = run.wait_for ("key refused everywhere", 3000, [&] {
    return all_answer (run, "key-c1", 401);
  });
  printf ("withdrawn key stopped after %ld ms\n", (long)took_ms);
  run.finish ();
  EXPECT_TRUE (all_answer (run, "key-c2", 200));
}

/* Guards against a stale read of the store bringing back a withdrawn key, also
   at a daemon that has just started.  */
TEST (Change, StaleReadsNeverRevertTheConfiguration)
{
  Trial run ({});
  GError *error = NULL;

  run.control (si_platform_address (run.harness ()),
               "/control/stale?mode=plain");
  run.apply ([] (CfConfig *config) { withdraw (config, "c1"); });
  run.wait_for ("key refused everywhere", 3000,
                [&] { return all_answer (run, "key-c1", 401); });
  si_kill_vm (run.harness (), "vm5");
  ASSERT_TRUE (si_start_vm (run.harness (), "vm5", &error)) << error->message;
  for (int i = 0; i < 50; i++)
    {
      EXPECT_NE (200, run.status_of ("vm5", view_path (run), "key-c1"));
      EXPECT_NE (200, run.status_of ("vm1", view_path (run), "key-c1"));
      g_usleep (50000);
    }
}

/* Guards against a daemon that starts while the store is down serving without
   a configuration, or not getting it from its peers.  */
TEST (Change, StartsFromPeersWhileTheStoreIsDown)
{
  Trial run ({});
  GError *error = NULL;

  si_kill_vm (run.harness (), "vm6");
  run.control (si_platform_address (run.harness ()),
               "/control/outage?mode=close");
  ASSERT_TRUE (si_start_vm (run.harness (), "vm6", &error)) << error->message;
  run.wait_for ("open route served by vm6", 8000,
                [&] { return run.status_of ("vm6", "/open/a", "") == 200; });
}
