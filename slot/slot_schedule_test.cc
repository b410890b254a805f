/* Seeded simulation of several daemons that share targets: messages are
   delayed and lost, clocks run at different rates, daemons pause, crash, are
   fenced and rejoin.  After each event the requests that run at each target
   are counted.  */

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <map>
#include <random>
#include <vector>

extern "C"
{
#include "slot/slot.h"
}

namespace
{

const int64_t MS = 1000; /* times are in us */
const int64_t SECOND = 1000 * MS;
const int64_t LEASE_TTL = 3 * SECOND;
const int64_t LEASE_MARGIN = SECOND / 2;
const int64_t BASE_TTL = 20 * SECOND; /* 1 h in production */
const int DAEMONS = 5;
const char *const TARGETS[] = { "t0", "t1" };
const char *const VMS[] = { "vm0", "vm1", "vm2", "vm3", "vm4" };

struct SlotPool
{
  /* One element for each free slot; true if it came from a fenced holder.  */
  std::vector<bool> free_from_fenced;
  uint32_t held[DAEMONS] = {};
};

struct Daemon
{
  SlTable *table = nullptr;
  uint64_t incarnation = 0;
  double clock_rate = 1;
  int64_t paused_until = 0;
  int64_t lease_renewed_at = 0;
  int64_t fenced_at = -1;
  bool partitioned = false;
  bool claim_unknown = false; /* a claim whose outcome it does not know */
};

struct RunningRequest
{
  int target;
  int64_t end;
};

class Fleet
{
public:
  Fleet (uint64_t seed, int64_t fault_interval)
      : random (seed), fault_interval (fault_interval)
  {
    for (auto &pool : base)
      pool.free_from_fenced = { false };
    for (auto &pool : flex)
      pool.free_from_fenced = { false, false };
    for (int d = 0; d < DAEMONS; d++)
      {
        daemons[d].clock_rate = 0.995 + 0.0025 * d;
        start_process (d);
        schedule (random_below (1000) * MS, [this, d] { tick (d); });
      }
  }

  ~Fleet ()
  {
    for (Daemon &d : daemons)
      sl_free (d.table);
  }

  bool
  run (int64_t until)
  {
    while (!events.empty () && events.begin ()->first < until)
      {
        auto event = events.begin ();
        now = event->first;
        auto action = event->second;
        events.erase (event);
        action ();
        std::erase_if (running,
                       [&] (const RunningRequest &r) { return r.end <= now; });
        int counts[2] = {};
        for (const RunningRequest &r : running)
          counts[r.target]++;
        peak = std::max ({ peak, counts[0], counts[1] });
        if (peak > SL_TARGET_SLOTS)
          return false;
      }
    return true;
  }

  int peak = 0, borrowed = 0, fenced = 0, crashed = 0, answered = 0;
  int64_t now = 0;

private:
  std::mt19937_64 random;
  int64_t fault_interval; /* average ticks between runs of a case of
                             inject_fault */
  std::multimap<int64_t, std::function<void ()> > events;
  Daemon daemons[DAEMONS];
  SlotPool base[2], flex[2];
  std::vector<RunningRequest> running;

  int64_t
  random_below (int64_t below)
  {
    return random () % below;
  }

  void
  schedule (int64_t delay, std::function<void ()> action)
  {
    events.emplace (now + delay, action);
  }

  int64_t
  clock (int d) const
  {
    return now * daemons[d].clock_rate;
  }

  /* Runs ACTION once D is not paused, unless its process has been replaced. */
  void
  schedule_on (int d, int64_t delay, std::function<void ()> action)
  {
    uint64_t incarnation = daemons[d].incarnation;
    schedule (delay, [=, this] {
      if (daemons[d].incarnation != incarnation)
        return;
      if (daemons[d].paused_until > now)
        schedule_on (d, daemons[d].paused_until - now, action);
      else
        action ();
    });
  }

  /* Messages between daemons take up to 3 s and may be lost.  */
  void
  deliver (int d, std::function<void ()> action)
  {
    if (random_below (10) > 0)
      schedule_on (d,
                   random_below (10) ? random_below (50 * MS)
                                     : random_below (3 * SECOND),
                   action);
  }

  void
  sync_held_slots (int d, int64_t quarantine)
  {
    daemons[d].claim_unknown = false;
    for (int t = 0; t < 2; t++)
      ASSERT_TRUE (sl_set_held_slots (
          daemons[d].table, TARGETS[t], base[t].held[d], flex[t].held[d],
          clock (d) + quarantine, clock (d), nullptr));
  }

  /* The new process takes over the slots of the one before.  */
  void
  start_process (int d)
  {
    Daemon &daemon = daemons[d];
    sl_free (daemon.table);
    SlOptions options = { .incarnation = ++daemon.incarnation };
    daemon.table = sl_new (&options);
    daemon.paused_until = now;
    sync_held_slots (d, SL_QUARANTINE_US);
    for (const char *target : TARGETS)
      sl_set_warmth (daemon.table, target, 1000, clock (d));
  }

  void
  renew_lease (int d)
  {
    Daemon &daemon = daemons[d];
    if (daemon.partitioned || random_below (10) == 0)
      return;
    if (daemon.fenced_at >= 0)
      sync_held_slots (d, SL_QUARANTINE_US);
    daemon.fenced_at = -1;
    daemon.lease_renewed_at = now;
    sl_set_validity (daemon.table, clock (d) + LEASE_TTL,
                     clock (d) + BASE_TTL);
  }

  void
  fence_expired_leases ()
  {
    for (int d = 0; d < DAEMONS; d++)
      {
        Daemon &daemon = daemons[d];
        bool lease_expired
            = now >= daemon.lease_renewed_at + LEASE_TTL + LEASE_MARGIN;
        if (daemon.fenced_at < 0 && lease_expired)
          {
            daemon.fenced_at = now;
            fenced++;
            release_all (d, flex);
          }
        else if (daemon.fenced_at >= 0
                 && now >= daemon.fenced_at + BASE_TTL + 10 * SECOND)
          release_all (d, base);
      }
  }

  void
  release_all (int d, SlotPool *pools)
  {
    for (int t = 0; t < 2; t++)
      for (; pools[t].held[d] > 0; pools[t].held[d]--)
        pools[t].free_from_fenced.push_back (true);
  }

  void
  claim_slot (int d, SlotPool &pool)
  {
    if (pool.free_from_fenced.empty () || daemons[d].partitioned
        || daemons[d].fenced_at >= 0)
      return;
    bool quarantine = pool.free_from_fenced.back ();
    pool.free_from_fenced.pop_back ();
    pool.held[d]++;
    if (!quarantine && !daemons[d].claim_unknown && random_below (3))
      {
        sync_held_slots (d, 0);
        return;
      }
    /* The store's reply was lost, and with it whether the slot came from a
       fenced holder.  */
    daemons[d].claim_unknown = true;
    schedule_on (d, random_below (5 * SECOND),
                 [=, this] { sync_held_slots (d, SL_QUARANTINE_US); });
  }

  void
  release_slot (int d, int t)
  {
    if (daemons[d].partitioned || daemons[d].fenced_at >= 0
        || daemons[d].claim_unknown)
      return;
    uint32_t b = base[t].held[d], f = flex[t].held[d];
    if (b + f == 0)
      return;
    uint32_t keep_b = f > 0 ? b : b - 1, keep_f = f > 0 ? f - 1 : f;
    if (sl_drain_slots (daemons[d].table, TARGETS[t], keep_b, keep_f,
                        clock (d)))
      {
        SlotPool &pool = f > 0 ? flex[t] : base[t];
        pool.held[d]--;
        pool.free_from_fenced.push_back (false);
      }
    sync_held_slots (d, SL_QUARANTINE_US);
  }

  void
  release_permit (int d, SlPermitId permit_id, SlOutcome outcome)
  {
    Daemon &daemon = daemons[d];
    answered += outcome == SL_OUTCOME_SUCCESS;
    sl_release (daemon.table, permit_id, outcome, clock (d));
    return_grants (d);
  }

  void
  return_grants (int d)
  {
    SlReturn returned;
    while (sl_next_return (daemons[d].table, clock (d), &returned))
      {
        int lender = returned.vm[2] - '0';
        /* Also delivered to a new process of the lender.  */
        schedule (random_below (3 * SECOND), [=, this] {
          sl_apply_return (daemons[lender].table, returned.grant_id,
                           returned.outcome, clock (lender));
        });
      }
  }

  /* Request and response take up to 400 ms each; the target works until it is
     done or the deadline passes.  */
  void
  send_request (int d, int t, SlPermitId permit_id)
  {
    Daemon &daemon = daemons[d];
    if (!sl_permit_valid (daemon.table, permit_id, clock (d)))
      {
        release_permit (d, permit_id, SL_OUTCOME_NOT_SENT);
        return;
      }
    int64_t left = sl_permit_deadline_us (daemon.table, permit_id) - clock (d);
    int64_t request_transit = random_below (400 * MS);
    int64_t work
        = std::min (random_below (5) ? random_below (SECOND) : left, left);
    int64_t response_transit = random_below (400 * MS);
    bool cancel = random_below (10) == 0;
    schedule (request_transit, [=, this] {
      running.push_back ({ t, now + work });
    });
    if (random_below (10) == 0) /* the connection breaks at some time */
      schedule_on (d, random_below (request_transit + work), [=, this] {
        release_permit (d, permit_id, SL_OUTCOME_UNKNOWN);
      });
    else
      schedule_on (d, request_transit + work + response_transit, [=, this] {
        release_permit (d, permit_id,
                        cancel ? SL_OUTCOME_CANCELLED : SL_OUTCOME_SUCCESS);
      });
  }

  void
  borrow (int d, int t)
  {
    int lender = random_below (DAEMONS);
    int64_t valid = 100 * MS + random_below (11 * SECOND), sent = clock (d);
    if (lender == d)
      return;
    deliver (lender, [=, this] {
      SlGrant grant;
      if (!sl_lend (daemons[lender].table, TARGETS[t], VMS[d], valid,
                    clock (lender), &grant))
        return;
      deliver (d, [=, this] {
        SlPermitId permit_id;
        if (!sl_accept_grant (daemons[d].table, TARGETS[t], VMS[lender],
                              &grant, sent, clock (d), &permit_id))
          return;
        borrowed++;
        schedule_on (d, random_below (200 * MS),
                     [=, this] { send_request (d, t, permit_id); });
      });
    });
  }

  void
  start_request (int d)
  {
    int t = random_below (2);
    SlPermitId permit_id;
    if (sl_acquire (daemons[d].table, TARGETS[t],
                    clock (d) + 100 * MS + random_below (11 * SECOND),
                    clock (d), &permit_id))
      schedule_on (d, random_below (200 * MS),
                   [=, this] { send_request (d, t, permit_id); });
    else
      borrow (d, t);
  }

  void
  inject_fault (int d)
  {
    switch (random_below (fault_interval))
      {
      case 0:
      case 1:
        daemons[d].paused_until = now + random_below (40 * SECOND);
        break;
      case 2:
        crashed++;
        start_process (d);
        break;
      case 3:
      case 4:
        daemons[d].partitioned = random_below (4) == 0;
        break;
      case 5:
      case 6:
      case 7:
        release_slot (d, random_below (2));
      }
  }

  void
  tick (int d)
  {
    fence_expired_leases ();
    if (daemons[d].paused_until <= now)
      {
        int t = random_below (2);
        if (random_below (10) == 0)
          renew_lease (d);
        claim_slot (d, random_below (3) ? flex[t] : base[t]);
        sl_expire (daemons[d].table, clock (d));
        return_grants (d);
        start_request (d);
        inject_fault (d);
      }
    schedule (20 * MS + random_below (100 * MS), [=, this] { tick (d); });
  }
};

/* Guards against a fourth concurrent request at a target, for any order of
   pauses, crashes, fences, reassigned and lent slots, and lost messages.  The
   counts check that the schedules contain these.  */
TEST (SlotSchedule, AtMostThreeConcurrentRequestsPerTarget)
{
  int borrowed = 0, fenced = 0, crashed = 0, answered = 0, full = 0;
  for (uint64_t seed = 1; seed <= 100; seed++)
    {
      Fleet fleet (seed, 400 << seed % 4);
      ASSERT_TRUE (fleet.run (240 * SECOND))
          << "seed " << seed << " at " << fleet.now << " us";
      borrowed += fleet.borrowed;
      fenced += fleet.fenced;
      crashed += fleet.crashed;
      answered += fleet.answered;
      full += fleet.peak == SL_TARGET_SLOTS;
    }
  EXPECT_GT (borrowed, 1000);
  EXPECT_GT (fenced, 500);
  EXPECT_GT (crashed, 500);
  EXPECT_GT (answered, 10000);
  EXPECT_GT (full, 50);
}

}
