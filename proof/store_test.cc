#include <unistd.h>

#include "proof/run.h"

namespace
{

std::string
post_store_control (TestRun &run, const std::string &path)
{
  run.post_control (si_platform_control (run.harness ()), path);
  return path;
}

}

/* Guards against a long store outage stopping the fleet: at most 0.1% of
   requests of customers within their rate may be refused.  Daemons meanwhile
   extend their leases by promises of their successors not to fence them.  */
TEST (Store, DownForAMinuteUnderLoad)
{
  TestRun run ({});

  run.start_load (run.customer_loads (0.25), 70000);
  run.sleep_until_ms (4000);
  post_store_control (run, "/control/outage?mode=close");
  run.sleep_until_ms (64000);
  post_store_control (run, "/control/outage?mode=off");
  run.finish_load ();
  run.expect_invariants ();
  EXPECT_LE (run.total_result ().rate_refused_count * 1000,
             run.total_result ().request_count);
  EXPECT_GE (run.total_result ().answered_count * 1000,
             run.total_result ().request_count * 999);
}

/* Guards against leases that lapse during a store outage because a promise
   that arrives 0.8 s after its request is ignored, although it lasts 3 s.  */
TEST (Store, DownWhilePromisesAreLate)
{
  TestRunOptions options;
  options.proxied = true;
  TestRun run (options);
  GError *error = NULL;

  ASSERT_TRUE (
      si_set_links (run.harness (), "peer/*", "delay_us=400000", &error))
      << error->message;
  post_store_control (run, "/control/outage?mode=close");
  usleep (8 * 1000 * 1000);
  for (guint i = 0; i < si_vms (run.harness ())->len; i++)
    {
      auto *vm = (SiVm *)g_ptr_array_index (si_vms (run.harness ()), i);
      std::string events = run.admin_page (vm->name, "/v1/events");

      EXPECT_NE ("", events) << vm->name;
      EXPECT_EQ (std::string::npos, events.find ("lease-lapsed")) << vm->name;
    }
  post_store_control (run, "/control/outage?mode=off");
}

/* Guards against a store that does not reply delaying requests that do not
   need it.  */
TEST (Store, HangingStoreDelaysNoRead)
{
  TestRun run ({});

  run.start_load (run.customer_loads (0.25), 12000);
  run.sleep_until_ms (2000);
  post_store_control (run, "/control/outage?mode=hang");
  run.sleep_until_ms (10000);
  post_store_control (run, "/control/outage?mode=off");
  run.finish_load ();
  run.expect_invariants ();
  EXPECT_GE (run.total_result ().answered_count * 1000,
             run.total_result ().request_count * 999);
}

/* Guards against an order that runs twice, or is reported as not run although
   it ran, when the store's reply is lost after the write.  */
TEST (Store, RepliesLostAfterTheWrite)
{
  TestRun run ({});

  run.start_load (run.customer_loads (0.15, "orders=500"), 10000);
  for (int at_ms = 1000; at_ms < 9000; at_ms += 500)
    {
      run.sleep_until_ms (at_ms);
      post_store_control (run, "/control/lose?writes=3");
    }
  run.finish_load ();
  run.expect_invariants ();
}

/* Guards against records of keyed requests (orders) that are never deleted
   from the store.  */
TEST (Store, ExpiredOrderRecordsAreDeleted)
{
  TestRun run ({});
  int64_t day = g_get_real_time () / 86400000000;
  std::string old_key = "cw/order/" + std::to_string (day - 2) + "/a";
  std::string new_key = "cw/order/" + std::to_string (day - 1) + "/a";
  SiResponse response = {};

  for (const std::string &key : { old_key, new_key })
    {
      ASSERT_TRUE (si_http_request ("PUT", run.store_address ().c_str (),
                                    ("/v1/kv/" + key).c_str (), NULL, "{}",
                                    2000, &response, NULL));
      EXPECT_EQ (200, response.status);
      si_response_clear (&response);
    }
  /* A daemon looks for expired records as soon as it starts.  */
  GError *error = NULL;
  si_kill_vm (run.harness (), "vm1");
  ASSERT_TRUE (si_start_vm (run.harness (), "vm1", &error)) << error->message;
  auto get_status = [&] (const std::string &key) {
    si_http_request ("GET", run.store_address ().c_str (),
                     ("/v1/kv/" + key).c_str (), NULL, NULL, 2000, &response,
                     NULL);
    int status = response.status;
    si_response_clear (&response);
    return status;
  };
  run.wait_for ("record of two days ago deleted", 10000,
                [&] { return get_status (old_key) == 404; });
  EXPECT_EQ (200, get_status (new_key));
}

/* Guards against running an order, which has an Idempotency-Key, without a
   record of it while the store is down.  */
TEST (Store, OrdersDuringAnOutageRunAtMostOnce)
{
  TestRun run ({});

  run.start_load (run.customer_loads (0.15, "orders=500"), 12000);
  run.sleep_until_ms (3000);
  post_store_control (run, "/control/outage?mode=close");
  run.sleep_until_ms (7000);
  post_store_control (run, "/control/outage?mode=off");
  run.finish_load ();
  run.expect_invariants ();
}
