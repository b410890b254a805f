/* run.h - one deployment under load for the integration tests

   SYNOPSIS
     Trial run ({});
     run.load ({ { "c1", 100 }, { "c2", 100 } }, 8000);
     run.after_ms (2000);
     si_kill_vm (run.harness (), "vm3");
     run.finish ();
     run.expect_invariants ();

   DESCRIPTION
     A run starts the stand-ins and 7 daemons, applies the configuration of
     standin/fixture.h and waits until every daemon is ready.  load starts
     load-gen in the background; the test brings about its failure meanwhile;
     finish waits for the end.  expect_invariants compares what callers saw
     with what ran at the targets, and expects no violation.  */

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

struct Caller
{
  std::string name;
  int rate_per_s;
  std::string more = ""; /* further settings of load-gen */
};

struct Outcome
{
  int64_t requests = 0;
  int64_t answered = 0;
  int64_t refused = 0;
  int64_t rate_refused = 0;
  int64_t unknown = 0;
  int64_t p99_us = 0;
};

struct TrialOptions
{
  bool proxied = false;
  std::string deployment = "tammemets";
  std::string admission = "lend";
  std::string policy = "headroom";
  uint32_t rate_per_s = 100; /* of a small customer; large ones 4 times */
  uint32_t burst = 0;
  uint32_t work_ms = 5;
};

class Trial
{
public:
  explicit Trial (const TrialOptions &options);
  ~Trial ();

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
  std::string admin (const std::string &vm);
  /* Where daemons reach the store.  */
  std::string store_address ();
  /* Customers that use a quarter of their rate in reads and orders.  */
  std::vector<Caller> callers (double share, const std::string &more = "");

  /* Stops a daemon by SIGTERM; it must end with status 0.  */
  void stop (const std::string &vm);
  void load (const std::vector<Caller> &callers, int duration_ms);
  /* Sleeps until that time after load.  */
  void after_ms (int ms);
  void finish ();
  const Outcome &
  total () const
  {
    return total_;
  }
  const Outcome &
  of (const std::string &customer)
  {
    return by_name_[customer];
  }

  void expect_invariants ();
  SiVerdict verdict ();

  /* Waits for CONDITION; records a failure with WHAT after WAIT_MS.  Returns
     how long it took.  */
  int64_t wait_for (const std::string &what, int wait_ms,
                    const std::function<bool ()> &condition);
  /* Body of an admin page; empty when the daemon does not answer.  */
  std::string page (const std::string &vm, const std::string &path);
  int status_of (const std::string &vm, const std::string &path,
                 const std::string &key);
  /* Body of the last answer that status_of got.  */
  const std::string &
  last_body () const
  {
    return last_body_;
  }
  void control (const char *address, const std::string &path);
  /* Changes the configuration and returns when the answer came.  */
  void apply (const std::function<void (CfConfig *)> &change);

private:
  static void print_log (const SiVm *vm);

  SiHarness *harness_ = nullptr;
  CfConfig *config_ = nullptr;
  TrialOptions options_;
  pid_t load_pid_ = 0;
  int64_t load_at_us_ = 0;
  std::string trace_;
  std::string out_;
  std::string last_body_;
  Outcome total_;
  std::map<std::string, Outcome> by_name_;
};

int64_t now_us ();

#endif
