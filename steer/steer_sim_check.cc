/* Compares the policies in a seeded, single-process simulation: 14 targets
   with 3 slots each, held by 7 daemons, and reports that are up to 2 s old.
   One daemon receives most of the requests and has to borrow.  A slot is
   granted only if it is free, so no policy can overload a target; a choice by
   stale reports leads to refusals, which add waiting time.  */

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdio>
#include <deque>
#include <random>
#include <string>
#include <vector>

extern "C"
{
#include "steer/steer.h"
}

namespace
{

const int TARGET_COUNT = 14, DAEMON_COUNT = 7, SLOT_COUNT = 3;
const int REPORT_INTERVAL_MS = 2000, RUN_MS = 30000, SLOT_REQUEST_MS = 2;
const int LATENCY_MS = 40, ATTEMPTS_MAX = 3, QUEUE_MAX = 64,
          WAIT_MAX_MS = 2000;
const char *const VM_NAMES[] = { "0", "1", "2", "3", "4", "5", "6" };

struct Result
{
  int p50_ms, p99_ms, refused, refused_slot_requests, sheds;
  /* Largest fraction of the choices in 250 ms that fell on one target.  */
  int busiest_permille;
};

struct WaitingRequest
{
  int daemon, since_ms, ready_ms;
};

class Model
{
public:
  /* SHEDDING_TARGET reports that it is idle and sheds every request; -1 for
     none.  */
  Model (const char *policy, uint64_t seed, int shedding_target)
      : policy (sr_find_policy (policy)), random (seed),
        shedding_target (shedding_target)
  {
    for (int t = 0; t < TARGET_COUNT; t++)
      for (int d = 0; d < DAEMON_COUNT; d++)
        shed[d][t] = 0;
  }

  Result
  run ()
  {
    std::deque<WaitingRequest> waiting;
    for (now_ms = 0; now_ms < RUN_MS; now_ms++)
      {
        std::erase_if (running, [&] (const RunningRequest &w) {
          busy[w.target] -= w.end_ms <= now_ms;
          return w.end_ms <= now_ms;
        });
        for (int d = 0; d < DAEMON_COUNT && now_ms % REPORT_INTERVAL_MS == 0;
             d++)
          for (int t = 0; t < TARGET_COUNT; t++)
            reports[d][t] = { busy[t], now_ms };
        if (now_ms % 250 == 0)
          close_window ();
        /* 0.7 requests per ms; 42 slots can serve 1.05 per ms.  */
        if (random () % 10 < 7)
          waiting.push_back (
              { random () % 2 ? 0 : (int)(random () % DAEMON_COUNT), now_ms,
                now_ms });
        for (size_t left = waiting.size (); left > 0; left--)
          {
            WaitingRequest w = waiting.front ();
            waiting.pop_front ();
            if (w.ready_ms <= now_ms && start (w))
              continue;
            if (now_ms - w.since_ms < WAIT_MAX_MS && left <= QUEUE_MAX)
              waiting.push_back (w);
            else
              result.refused++;
          }
      }
    std::sort (wait_times_ms.begin (), wait_times_ms.end ());
    result.p50_ms = wait_times_ms[wait_times_ms.size () / 2];
    result.p99_ms = wait_times_ms[wait_times_ms.size () * 99 / 100];
    return result;
  }

private:
  struct RunningRequest
  {
    int target, end_ms;
  };

  struct Report
  {
    int busy, received_ms;
  };

  const SrPolicy *policy;
  std::mt19937_64 random;
  int shedding_target, now_ms = 0;
  int busy[TARGET_COUNT] = {};
  Report reports[DAEMON_COUNT][TARGET_COUNT] = {};
  uint32_t shed[DAEMON_COUNT][TARGET_COUNT];
  /* Choices of each target and of all since the last multiple of 250 ms.  */
  int window[TARGET_COUNT] = {}, window_count = 0;
  std::vector<RunningRequest> running;
  std::vector<int> wait_times_ms;
  Result result = {};

  static int
  holder_of (int target)
  {
    return target % DAEMON_COUNT;
  }

  void
  close_window ()
  {
    for (int &count : window)
      {
        if (window_count >= 50)
          result.busiest_permille = std::max (result.busiest_permille,
                                              count * 1000 / window_count);
        count = 0;
      }
    window_count = 0;
  }

  SrChoice
  choose (int daemon, const std::vector<uint32_t> &tried)
  {
    SrRegion region = { "r", 0, INT64_MAX };
    SrZone zone = { "z", 0, 0 };
    SrLender lenders[TARGET_COUNT];
    SrTarget targets[TARGET_COUNT];
    for (int t = 0; t < TARGET_COUNT; t++)
      {
        bool is_own = holder_of (t) == daemon;
        Report report = reports[daemon][t];
        int known = is_own ? busy[t] : report.busy;
        lenders[t]
            = { VM_NAMES[holder_of (t)], (uint32_t)(SLOT_COUNT - report.busy),
                (uint32_t)(now_ms - report.received_ms) };
        targets[t] = { .name = "t",
                       .healthy = TRUE,
                       .slot_count = SLOT_COUNT,
                       .own_free_count
                       = is_own ? (uint32_t)(SLOT_COUNT - busy[t]) : 0,
                       .in_use_count = (uint32_t)known,
                       .lenders = &lenders[t],
                       .lender_count = is_own ? 0u : 1u,
                       .warm_permille = 1000,
                       .reported_running
                       = t == shedding_target ? 0 : (uint32_t)report.busy,
                       .latency_us = LATENCY_MS * 1000,
                       .shed_permille = shed[daemon][t] };
      }
    SrView view = { .regions = &region,
                    .region_count = 1,
                    .zones = &zone,
                    .zone_count = 1,
                    .targets = targets,
                    .target_count = TARGET_COUNT };
    SrRequest request = { .random = random (),
                          .probe = TRUE,
                          .tried = tried.data (),
                          .tried_count = (uint32_t)tried.size () };
    SrChoice choice;
    policy->choose (&view, &request, &choice);
    return choice;
  }

  /* Returns false if the request has to keep waiting.  The next call for it
     is then delayed by the time of the slot requests made in this one.  */
  bool
  start (WaitingRequest &w)
  {
    std::vector<uint32_t> tried;
    int slot_request_ms = 0;
    for (int i = 0; i < ATTEMPTS_MAX; i++)
      {
        SrChoice choice = choose (w.daemon, tried);
        if (choice.target == SR_NONE)
          break;
        uint32_t t = choice.target;
        window[t]++;
        window_count++;
        slot_request_ms
            += choice.verdict == SR_VERDICT_BORROW ? SLOT_REQUEST_MS : 0;
        tried.push_back (t);
        bool granted = busy[t] < SLOT_COUNT;
        if (!granted)
          reports[w.daemon][t] = { SLOT_COUNT, now_ms };
        bool sheds = granted && (int)t == shedding_target;
        shed[w.daemon][t] += sheds ? (1000 - shed[w.daemon][t]) / 8 : 0;
        result.sheds += sheds;
        result.refused_slot_requests += !granted;
        if (!granted || sheds)
          continue;
        int latency_target_ms = 1 + random () % (2 * LATENCY_MS);
        busy[t]++;
        running.push_back (
            { (int)t, now_ms + slot_request_ms + latency_target_ms });
        wait_times_ms.push_back (now_ms + slot_request_ms - w.since_ms);
        return true;
      }
    w.ready_ms = now_ms + std::max (slot_request_ms, 1);
    return false;
  }
};

Result
measure (const char *policy, int shedding_target)
{
  Result summary = {};
  for (uint64_t seed = 1; seed <= 5; seed++)
    {
      Result r = Model (policy, seed, shedding_target).run ();
      summary.p50_ms = std::max (summary.p50_ms, r.p50_ms);
      summary.p99_ms = std::max (summary.p99_ms, r.p99_ms);
      summary.refused += r.refused;
      summary.refused_slot_requests += r.refused_slot_requests;
      summary.sheds += r.sheds;
      summary.busiest_permille
          = std::max (summary.busiest_permille, r.busiest_permille);
    }
  printf ("%-15s shedding target %2d: wait p50 %d ms, p99 %d ms; refused %d, "
          "slot requests refused %d; sheds %d; busiest target %d permille of "
          "250 ms\n",
          policy, shedding_target, summary.p50_ms, summary.p99_ms,
          summary.refused, summary.refused_slot_requests, summary.sheds,
          summary.busiest_permille);
  return summary;
}

/* Guards against herding, where all daemons choose the target that looked best
   2 s ago: no target may receive half of the requests in any 250 ms, and
   requests may not wait longer than with any baseline.  */
TEST (SteerSim, StaleReportsDoNotCauseHerding)
{
  Result headroom = measure ("headroom", -1);
  EXPECT_LT (headroom.busiest_permille, 500);
  for (const char *baseline : { "nearest", "random", "least-reported" })
    EXPECT_LE (headroom.p99_ms, measure (baseline, -1).p99_ms) << baseline;
}

/* Guards against choosing a target that reports idle but sheds: it must
   receive fewer requests than if all targets received equally many.  */
TEST (SteerSim, AvoidsSheddingTargetThatReportsIdle)
{
  Result headroom = measure ("headroom", 5);
  int requests = 5 * RUN_MS * 7 / 10;
  EXPECT_LT (headroom.sheds, requests / TARGET_COUNT);
  EXPECT_LT (headroom.sheds, measure ("least-reported", 5).sheds);
  EXPECT_LT (headroom.sheds, measure ("random", 5).sheds);
}

}
