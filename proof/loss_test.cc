#include <json-c/json.h>
#include <signal.h>

#include "proof/run.h"

namespace
{

int64_t
count_slots (const std::string &status_json)
{
  json_object *root = json_tokener_parse (status_json.c_str ());
  json_object *rows = NULL;
  int64_t count = 0;

  json_object_object_get_ex (root, "slots", &rows);
  for (size_t i = 0; rows != NULL && i < json_object_array_length (rows); i++)
    for (const char *name : { "base_slots", "flex_slots" })
      {
        json_object *value = NULL;

        json_object_object_get_ex (json_object_array_get_idx (rows, i), name,
                                   &value);
        count += json_object_get_int64 (value);
      }
  json_object_put (root);
  return count;
}

}

/* Guards against orders that run twice or never after a daemon was killed, and
   against refusing customers within their rate: at most 1% of requests may be
   refused by rate in a run that continues for 10 s after the loss.  */
TEST (Loss, DaemonKilledWithOrdersInFlight)
{
  TestRun run ({});

  run.start_load (run.customer_loads (0.2, "orders=300"), 13000);
  run.sleep_until_ms (3000);
  si_kill_vm (run.harness (), "vm3");
  run.finish_load ();
  run.expect_invariants ();
  EXPECT_LE (run.total_result ().rate_refused_count * 100,
             run.total_result ().request_count);
}

/* Guards against a daemon that was paused until its lease expired and then
   uses shares that others took over meanwhile.  */
TEST (Loss, DaemonPausedPastItsLeaseAndResumed)
{
  TestRun run ({});
  std::vector<CustomerLoad> customer_loads
      = run.customer_loads (0.2, "orders=100");

  /* c3 at four times its rate uses all tokens and slots available.  */
  customer_loads[2].rate_per_s = 400;
  run.start_load (customer_loads, 16000);
  run.sleep_until_ms (3000);
  si_signal_vm (run.harness (), "vm4", SIGSTOP);
  run.sleep_until_ms (11000);
  si_signal_vm (run.harness (), "vm4", SIGCONT);
  run.wait_for ("an event of the pause", 2000, [&] {
    return run.admin_page ("vm4", "/v1/events").find ("loop-late")
           != std::string::npos;
  });
  run.finish_load ();
  run.expect_invariants ();
}

/* Guards against shares and slots that are never recovered from a lost daemon,
   and against its new process starting with full token buckets.  */
TEST (Loss, KilledDaemonIsFencedAndReturns)
{
  TestRun run ({});

  run.start_load (run.customer_loads (0.2), 15000);
  run.sleep_until_ms (2000);
  si_kill_vm (run.harness (), "vm2");
  run.wait_for ("vm2 fenced", 7000, [&] {
    std::string status = run.admin_page ("vm1", "/v1/status");
    return status.find ("fenced") != std::string::npos;
  });
  GError *error = NULL;
  ASSERT_TRUE (si_start_vm (run.harness (), "vm2", &error)) << error->message;
  ASSERT_TRUE (si_wait_ready (run.harness (), 10000, &error))
      << error->message;
  run.finish_load ();
  run.expect_invariants ();
}

/* Guards against a daemon that reports ready before others granted it slots:
   if it is partitioned from them at that moment, it refuses every request.  */
TEST (Loss, RestartedDaemonIsReadyOnceItHoldsSlots)
{
  TestRun run ({});
  GError *error = NULL;
  std::string admin_page;

  run.stop_vm ("vm2");
  ASSERT_TRUE (si_start_vm (run.harness (), "vm2", &error)) << error->message;
  run.wait_for ("vm2 ready", 15000, [&] {
    admin_page = run.admin_page ("vm2", "/v1/status");
    return admin_page.find ("\"ready\":true") != std::string::npos;
  });
  EXPECT_GT (count_slots (admin_page), 0) << admin_page;
}

/* Guards against a planned stop that aborts or refuses requests: every daemon
   is restarted under load.  */
TEST (Loss, RollingRestartCutsNoRequest)
{
  TestRun run ({});
  GError *error = NULL;

  run.start_load (run.customer_loads (0.1, "fresh=1000"), 75000);
  run.sleep_until_ms (1000);
  for (guint i = 0; i < si_vms (run.harness ())->len; i++)
    {
      auto *vm = (SiVm *)g_ptr_array_index (si_vms (run.harness ()), i);

      run.stop_vm (vm->name);
      ASSERT_TRUE (si_start_vm (run.harness (), vm->name, &error))
          << error->message;
      ASSERT_TRUE (si_wait_ready (run.harness (), 15000, &error))
          << error->message;
    }
  run.finish_load ();
  run.expect_invariants ();
  EXPECT_EQ (0, run.total_result ().unknown_count);
}
