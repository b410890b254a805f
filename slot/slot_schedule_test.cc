/* A seeded model of several daemons that share targets: messages are delayed
   and lost, clocks run at different rates, daemons pause, crash, are fenced
   and return.  After each event the requests that run at each target are
   counted. */

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

const int64_t MS = 1000;
const int64_t SECOND = 1000 * MS;
const int64_t LEASE_TTL = 3 * SECOND;
const int64_t LEASE_MARGIN = SECOND / 2;
const int64_t BASE_TTL = 20 * SECOND; /* 1 h in the system */
const int DAEMONS = 5;
const char *const TARGETS[] = { "t0", "t1" };
const char *const VMS[] = { "vm0", "vm1", "vm2", "vm3", "vm4" };

struct Part
{
  std::vector<bool> free; /* true: came from a fenced holder */
  uint32_t held[DAEMONS] = {};
};

struct Daemon
{
  SlTable *table = nullptr;
  uint64_t incarnation = 0;
  double rate = 1;
  int64_t awake_at = 0;
  int64_t promised_at = 0;
  int64_t fenced_at = -1;
  bool cut = false;
  bool unread = false; /* claims that it does not know of */
};

struct Run
{
  int target;
  int64_t end;
};

class Model
{
public:
  Model (uint64_t seed, int64_t calm) : random (seed), calm (calm)
  {
    for (auto &part : base)
      part.free = { false };
    for (auto &part : flex)
      part.free = { false, false };
    for (int d = 0; d < DAEMONS; d++)
      {
        daemons[d].rate = 0.995 + 0.0025 * d;
        start (d);
        at (chance (1000) * MS, [this, d] { tick (d); });
      }
  }

  ~Model ()
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
        std::erase_if (running, [&] (const Run &r) { return r.end <= now; });
        int counts[2] = {};
        for (const Run &r : running)
          counts[r.target]++;
        most = std::max ({ most, counts[0], counts[1] });
        if (most > SL_TARGET_SLOTS)
          return false;
      }
    return true;
  }

  int most = 0, borrowed = 0, fenced = 0, crashed = 0, answered = 0;
  int64_t now = 0;

private:
  std::mt19937_64 random;
  int64_t calm; /* one disturbance in so many ticks, for each kind */
  std::multimap<int64_t, std::function<void ()> > events;
  Daemon daemons[DAEMONS];
  Part base[2], flex[2];
  std::vector<Run> running;

  int64_t
  chance (int64_t below)
  {
    return random () % below;
  }

  void
  at (int64_t delay, std::function<void ()> action)
  {
    events.emplace (now + delay, action);
  }

  int64_t
  clock (int d) const
  {
    return now * daemons[d].rate;
  }

  /* Runs ACTION once D is awake, unless its process has been replaced.  */
  void
  on (int d, int64_t delay, std::function<void ()> action)
  {
    uint64_t incarnation = daemons[d].incarnation;
    at (delay, [=, this] {
      if (daemons[d].incarnation != incarnation)
        return;
      if (daemons[d].awake_at > now)
        on (d, daemons[d].awake_at - now, action);
      else
        action ();
    });
  }

  /* Messages between daemons take up to 3 s and get lost.  */
  void
  message (int d, std::function<void ()> action)
  {
    if (chance (10) > 0)
      on (d, chance (10) ? chance (50 * MS) : chance (3 * SECOND), action);
  }

  void
  sync (int d, int64_t rest)
  {
    daemons[d].unread = false;
    for (int t = 0; t < 2; t++)
      ASSERT_TRUE (sl_set_holding (daemons[d].table, TARGETS[t],
                                   base[t].held[d], flex[t].held[d],
                                   clock (d) + rest, clock (d), nullptr));
  }

  /* A new process takes over the record of the one before.  */
  void
  start (int d)
  {
    Daemon &daemon = daemons[d];
    sl_free (daemon.table);
    SlOptions options = { .incarnation = ++daemon.incarnation };
    daemon.table = sl_new (&options);
    daemon.awake_at = now;
    sync (d, SL_QUARANTINE_US);
    for (const char *target : TARGETS)
      sl_set_warm (daemon.table, target, 1000, clock (d));
  }

  void
  renew (int d)
  {
    Daemon &daemon = daemons[d];
    if (daemon.cut || chance (10) == 0)
      return;
    if (daemon.fenced_at >= 0)
      sync (d, SL_QUARANTINE_US);
    daemon.fenced_at = -1;
    daemon.promised_at = now;
    sl_set_validity (daemon.table, clock (d) + LEASE_TTL,
                     clock (d) + BASE_TTL);
  }

  void
  fence_lapsed ()
  {
    for (int d = 0; d < DAEMONS; d++)
      {
        Daemon &daemon = daemons[d];
        bool lapsed = now >= daemon.promised_at + LEASE_TTL + LEASE_MARGIN;
        if (daemon.fenced_at < 0 && lapsed)
          {
            daemon.fenced_at = now;
            fenced++;
            free_all (d, flex);
          }
        else if (daemon.fenced_at >= 0
                 && now >= daemon.fenced_at + BASE_TTL + 10 * SECOND)
          free_all (d, base);
      }
  }

  void
  free_all (int d, Part *parts)
  {
    for (int t = 0; t < 2; t++)
      for (; parts[t].held[d] > 0; parts[t].held[d]--)
        parts[t].free.push_back (true);
  }

  void
  claim (int d, Part &part)
  {
    if (part.free.empty () || daemons[d].cut || daemons[d].fenced_at >= 0)
      return;
    bool rest = part.free.back ();
    part.free.pop_back ();
    part.held[d]++;
    if (!rest && !daemons[d].unread && chance (3))
      {
        sync (d, 0);
        return;
      }
    /* The answer of the store was lost; where the slot came from is lost with
       it.  */
    daemons[d].unread = true;
    on (d, chance (5 * SECOND), [=, this] { sync (d, SL_QUARANTINE_US); });
  }

  void
  give_up (int d, int t)
  {
    if (daemons[d].cut || daemons[d].fenced_at >= 0 || daemons[d].unread)
      return;
    uint32_t b = base[t].held[d], f = flex[t].held[d];
    if (b + f == 0)
      return;
    uint32_t keep_b = f > 0 ? b : b - 1, keep_f = f > 0 ? f - 1 : f;
    if (sl_retire (daemons[d].table, TARGETS[t], keep_b, keep_f, clock (d)))
      {
        Part &part = f > 0 ? flex[t] : base[t];
        part.held[d]--;
        part.free.push_back (false);
      }
    sync (d, SL_QUARANTINE_US);
  }

  void
  finish (int d, SlTicket ticket, SlOutcome outcome)
  {
    Daemon &daemon = daemons[d];
    answered += outcome == SL_OUTCOME_GOOD;
    sl_release (daemon.table, ticket, outcome, clock (d));
    return_grants (d);
  }

  void
  return_grants (int d)
  {
    SlReturn back;
    while (sl_next_return (daemons[d].table, clock (d), &back))
      {
        int lender = back.vm[2] - '0';
        /* Reaches also a new process of the lender.  */
        at (chance (3 * SECOND), [=, this] {
          sl_returned (daemons[lender].table, back.grant_id, back.outcome,
                       clock (lender));
        });
      }
  }

  /* The request takes up to 400 ms to the target and its answer as long; the
     target works until it is done or its time is over.  */
  void
  send (int d, int t, SlTicket ticket)
  {
    Daemon &daemon = daemons[d];
    if (!sl_valid (daemon.table, ticket, clock (d)))
      {
        finish (d, ticket, SL_OUTCOME_NOT_SENT);
        return;
      }
    int64_t left = sl_deadline_us (daemon.table, ticket) - clock (d);
    int64_t way = chance (400 * MS);
    int64_t work = std::min (chance (5) ? chance (SECOND) : left, left);
    int64_t back = chance (400 * MS);
    bool cancel = chance (10) == 0;
    at (way, [=, this] { running.push_back ({ t, now + work }); });
    if (chance (10) == 0) /* the connection breaks at some time */
      on (d, chance (way + work),
          [=, this] { finish (d, ticket, SL_OUTCOME_LOST); });
    else
      on (d, way + work + back, [=, this] {
        finish (d, ticket, cancel ? SL_OUTCOME_CANCELLED : SL_OUTCOME_GOOD);
      });
  }

  void
  borrow (int d, int t)
  {
    int lender = chance (DAEMONS);
    int64_t valid = 100 * MS + chance (11 * SECOND), sent = clock (d);
    if (lender == d)
      return;
    message (lender, [=, this] {
      SlGrant grant;
      if (!sl_lend (daemons[lender].table, TARGETS[t], VMS[d], valid,
                    clock (lender), &grant))
        return;
      message (d, [=, this] {
        SlTicket ticket;
        if (!sl_borrowed (daemons[d].table, TARGETS[t], VMS[lender], &grant,
                          sent, clock (d), &ticket))
          return;
        borrowed++;
        on (d, chance (200 * MS), [=, this] { send (d, t, ticket); });
      });
    });
  }

  void
  request (int d)
  {
    int t = chance (2);
    SlTicket ticket;
    if (sl_acquire (daemons[d].table, TARGETS[t],
                    clock (d) + 100 * MS + chance (11 * SECOND), clock (d),
                    &ticket))
      on (d, chance (200 * MS), [=, this] { send (d, t, ticket); });
    else
      borrow (d, t);
  }

  void
  disturb (int d)
  {
    switch (chance (calm))
      {
      case 0:
      case 1:
        daemons[d].awake_at = now + chance (40 * SECOND);
        break;
      case 2:
        crashed++;
        start (d);
        break;
      case 3:
      case 4:
        daemons[d].cut = chance (4) == 0;
        break;
      case 5:
      case 6:
      case 7:
        give_up (d, chance (2));
      }
  }

  void
  tick (int d)
  {
    fence_lapsed ();
    if (daemons[d].awake_at <= now)
      {
        int t = chance (2);
        if (chance (10) == 0)
          renew (d);
        claim (d, chance (3) ? flex[t] : base[t]);
        sl_expire (daemons[d].table, clock (d));
        return_grants (d);
        request (d);
        disturb (d);
      }
    at (20 * MS + chance (100 * MS), [=, this] { tick (d); });
  }
};

/* Guards against a fourth request at a target in any order of pauses, crashes,
   fences, hand-overs, loans and lost messages.  The counts show that the
   schedules contain these.  */
TEST (SlotSchedule, NeverMoreThanThreeAtATarget)
{
  int borrowed = 0, fenced = 0, crashed = 0, answered = 0, full = 0;
  for (uint64_t seed = 1; seed <= 100; seed++)
    {
      Model model (seed, 400 << seed % 4);
      ASSERT_TRUE (model.run (240 * SECOND))
          << "seed " << seed << " at " << model.now << " us";
      borrowed += model.borrowed;
      fenced += model.fenced;
      crashed += model.crashed;
      answered += model.answered;
      full += model.most == SL_TARGET_SLOTS;
    }
  EXPECT_GT (borrowed, 1000);
  EXPECT_GT (fenced, 500);
  EXPECT_GT (crashed, 500);
  EXPECT_GT (answered, 10000);
  EXPECT_GT (full, 50);
}

}
