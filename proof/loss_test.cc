#include <json-c/json.h>
#include <signal.h>

#include "proof/run.h"

namespace
{

int64_t
held_slots (const std::string &status_page)
{
  json_object *root = json_tokener_parse (status_page.c_str ());
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

/* Guards against a killed daemon leaving orders that run twice or never, and
   against refusing customers within their rate: at most 1% in the 10 s after
   the loss.  */
TEST (Loss, DaemonKilledWithOrdersInFlight)
{
  Trial run ({});

  run.load (run.callers (0.2, "orders=300"), 13000);
  run.after_ms (3000);
  si_kill_vm (run.harness (), "vm3");
  run.finish ();
  run.expect_invariants ();
  EXPECT_LE (run.total ().rate_refused * 100, run.total ().requests);
}

/* Guards against a daemon that was paused past its lease spending shares that
   others have taken over meanwhile.  */
TEST (Loss, DaemonPausedPastItsLeaseAndResumed)
{
  Trial run ({});
  std::vector<Caller> callers = run.callers (0.2, "orders=100");

  /* Enough to use up every token and every slot that is found.  */
  callers[2].rate_per_s = 400;
  run.load (callers, 16000);
  run.after_ms (3000);
  si_signal_vm (run.harness (), "vm4", SIGSTOP);
  run.after_ms (11000);
  si_signal_vm (run.harness (), "vm4", SIGCONT);
  run.finish ();
  run.expect_invariants ();
}

/* Guards against what a lost daemon held being lost for good, and against its
   new process starting with full buckets.  */
TEST (Loss, KilledDaemonIsFencedAndReturns)
{
  Trial run ({});

  run.load (run.callers (0.2), 15000);
  run.after_ms (2000);
  si_kill_vm (run.harness (), "vm2");
  run.wait_for ("vm2 fenced", 7000, [&] {
    std::string status = run.page ("vm1", "/v1/status");
    return status.find ("fenced") != std::string::npos;
  });
  GError *error = NULL;
  ASSERT_TRUE (si_start_vm (run.harness (), "vm2", &error)) << error->message;
  ASSERT_TRUE (si_wait_ready (run.harness (), 10000, &error))
      << error->message;
  run.finish ();
  run.expect_invariants ();
}

/* Guards against a daemon that calls itself ready before the others have given
   it slots: cut off from them at that moment, it refuses every request.  */
TEST (Loss, RestartedDaemonIsReadyOnceItHoldsSlots)
{
  Trial run ({});
  GError *error = NULL;
  std::string page;

  run.stop ("vm2");
  ASSERT_TRUE (si_start_vm (run.harness (), "vm2", &error)) << error->message;
  run.wait_for ("vm2 ready", 15000, [&] {
    page = run.page ("vm2", "/v1/status");
    return page.find ("\"ready\":true") != std::string::npos;
  });
  EXPECT_GT (held_slots (page), 0) << page;
}

/* Guards against a planned stop that cuts or refuses requests: every daemon is
   replaced under load.  */
TEST (Loss, RollingRestartCutsNoRequest)
{
  Trial run ({});
  GError *error = NULL;

  run.load (run.callers (0.1, "fresh=1000"), 75000);
  run.after_ms (1000);
  for (guint i = 0; i < si_vms (run.harness ())->len; i++)
    {
      auto *vm = (SiVm *)g_ptr_array_index (si_vms (run.harness ()), i);

      run.stop (vm->name);
      ASSERT_TRUE (si_start_vm (run.harness (), vm->name, &error))
          << error->message;
      ASSERT_TRUE (si_wait_ready (run.harness (), 15000, &error))
          << error->message;
    }
  run.finish ();
  run.expect_invariants ();
  EXPECT_EQ (0, run.total ().unknown);
}
