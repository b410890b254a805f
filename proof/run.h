/* run.h - test run of a deployment under load, for the integration tests

   SYNOPSIS
     TestRun run ({});
     run.start_load ({ { "c1", 100 }, { "c2", 100 } }, 8000);
     run.sleep_until_ms (2000);
     si_kill_vm (run.harness (), "vm3");
     run.finish_load ();
     run.expect_invariants ();

   DESCRIPTION
     A TestRun starts the stand-ins and 7 daemons (see standin/harness.h),
     applies the configuration of standin/fixture.h and waits until all daemons
     are ready.  start_load starts load-gen (see standin/load.h) in the
     background; the test then injects its fault; finish_load waits until
     load-gen has ended.  expect_invariants compares the responses that callers
     got with the requests that ran on targets, and expects no violation (see
     standin/verify.h).

   ERRORS
     None; a step that fails adds a test failure.  */

#ifndef PROOF_RUN_H
#define PROOF_RUN_H

#include <gtest/gtest.h>

#include <functional>
#include <map>
#include <string>
#include <vector>

extern "C"
{
#include "standin/fixture.h"
#include "standin/harness.h"
#include "standin/verify.h"
}

struct CustomerLoad
{
  std::string customer;
  int rate_per_s;
  std::string load_options = ""; /* NAME=VALUE,... of load-gen */
};

/* Outcomes of requests, as in the summary of load-gen.  */
struct LoadResult
{
  int64_t request_count = 0;
  int64_t answered_count = 0;
  int64_t refused_count = 0;      /* certainly did not run */
  int64_t rate_refused_count = 0; /* status 429 */
  int64_t unknown_count = 0;      /* may have run */
  int64_t p99_us = 0;             /* latency of answered requests */
};

/* See SiHarnessOptions and SiFixtureOptions.  */
struct TestRunOptions
{
  bool proxied = false; /* all links go through fault-proxy */
  std::string deployment = "tammemets";
  std::string admission = "lend";
  std::string policy = "headroom";
  uint32_t rate_per_s = 100; /* of small customers; 4 times for large ones */
  uint32_t burst = 0;        /* 0: the rate of the customer */
  uint32_t work_ms = 5;      /* service time of targets */
  uint32_t drain_max_ms = 0; /* of daemons; 0: the harness's default */
  uint32_t memory_mb = 0;    /* of daemons; 0: their default */
};

class TestRun
{
public:
  explicit TestRun (const TestRunOptions &options);
  ~TestRun ();

  SiHarness *
  harness ()
  {
    return harness_;
  }
  CfConfig *
  config ()
  {
    return config_;
  }
  std::string find_admin_address (const std::string &vm);
  /* Address at which daemons reach the store.  */
  std::string store_address ();
  /* All customers, each sending RATE_FRACTION of its rate.  */
  std::vector<CustomerLoad>
  customer_loads (double rate_fraction, const std::string &load_options = "");

  /* Stops a daemon with SIGTERM and expects exit status 0.  */
  void stop_vm (const std::string &vm);
  void start_load (const std::vector<CustomerLoad> &customer_loads,
                   int duration_ms);
  /* Sleeps until MS after start_load.  */
  void sleep_until_ms (int ms);
  void finish_load ();
  const LoadResult &
  total_result () const
  {
    return total_result_;
  }
  const LoadResult &
  result_of (const std::string &customer)
  {
    return customer_results_[customer];
  }

  void expect_invariants ();
  SiVerdict verdict ();

  /* Waits up to WAIT_MS for CONDITION, else adds a test failure that names
     WHAT.  Returns the time waited in ms.  */
  int64_t wait_for (const std::string &what, int wait_ms,
                    const std::function<bool ()> &condition);
  /* Body of an admin page; empty without a response of status 200.  */
  std::string admin_page (const std::string &vm, const std::string &path);
  /* Status of a GET request with the API key KEY, or 0 without a response.  */
  int get_status (const std::string &vm, const std::string &path,
                  const std::string &key);
  /* Body of the last response to get_status.  */
  const std::string &
  last_body () const
  {
    return last_body_;
  }
  /* Sends a POST to a control path of a stand-in.  */
  void post_control (const char *address, const std::string &path);
  /* Changes the configuration and returns when it was applied.  */
  void apply_config (const std::function<void (CfConfig *)> &change);

private:
  static void print_log (const SiVm *vm);

  SiHarness *harness_ = nullptr;
  CfConfig *config_ = nullptr;
  TestRunOptions options_;
  pid_t load_gen_pid_ = 0;
  int64_t load_started_us_ = 0;
  std::string trace_path_;
  std::string summary_path_;
  std::string last_body_;
  LoadResult total_result_;
  std::map<std::string, LoadResult> customer_results_;
};

/* Monotonic time.  */
int64_t now_us ();

#endif
