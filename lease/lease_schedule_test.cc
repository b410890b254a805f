/* Random schedules of events between several daemons, with a simulated store
   and network.  LS_SEED=n runs seed n only.  */

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

extern "C"
{
#include "lease/lease.h"
}

namespace
{
constexpr int64_t kMs = 1000;
constexpr int64_t kSecond = G_USEC_PER_SEC;
constexpr int64_t kStoreTimeoutUs = kSecond;
/* A daemon that sent nothing for this time is a suspect.  */
constexpr int64_t kSuspectTimeoutUs = 1500 * kMs;

struct StoreEntry
{
  LsRecord record;
  uint64_t index = 0;
};

struct Daemon
{
  std::string vm, zone, address;
  double clock_rate = 1;
  int64_t clock_offset_us = 0;
  int process = 0; /* number of starts; events of earlier ones are dropped */
  bool running = false;
  int64_t paused_until_us = 0;
  uint64_t fenced_incarnation = 0; /* highest incarnation that was fenced */
  int64_t membership_us = INT64_MIN / 2; /* last UpdateMembership */
  int64_t last_sent_us = 0; /* last Tick, taken as a report to all others */
  LsLease *lease = nullptr;
  std::vector<std::function<void ()> > deferred; /* until the pause ends */
};

class Simulation
{
public:
  explicit Simulation (uint64_t seed) : random_ (seed)
  {
    int count = 3 + RandomBelow (7), zones = 2 + RandomBelow (3);

    for (int i = 0; i < count; i++)
      {
        Daemon daemon;

        daemon.vm = "vm" + std::to_string (i);
        daemon.zone = "z" + std::to_string (i % zones);
        daemon.address = "a" + std::to_string (i);
        daemon.clock_rate = 1 + (RandomBelow (2001) - 1000) / 1e5;
        daemon.clock_offset_us = RandomBelow (1000) * kSecond;
        daemons_.push_back (daemon);
      }
    link_down_.assign (count + 1, std::vector<bool> (count + 1, false));
    std::vector<LsVmZone> vms;
    for (const Daemon &daemon : daemons_)
      vms.push_back ({ daemon.vm.c_str (), daemon.zone.c_str () });
    successor_orders_.assign (count, std::vector<uint32_t> (count));
    for (int i = 0; i < count; i++)
      ls_order_successors (vms.data (), count, i,
                           successor_orders_[i].data ());
    for (int i = 0; i < count; i++)
      Start (i);
  }

  ~Simulation ()
  {
    for (Daemon &daemon : daemons_)
      ls_free (daemon.lease);
  }

  int
  RandomBelow (int n)
  {
    return (int)(random_ () % (uint64_t)n);
  }
  bool
  Chance (int permille)
  {
    return RandomBelow (1000) < permille;
  }
  int64_t
  now () const
  {
    return now_;
  }
  int
  count () const
  {
    return (int)daemons_.size ();
  }
  int
  StoreEndpoint () const
  {
    return count ();
  }
  bool
  running (int i) const
  {
    return daemons_[i].running;
  }

  int64_t
  LocalTime (int i) const
  {
    return (int64_t)((double)now_ * daemons_[i].clock_rate)
           + daemons_[i].clock_offset_us;
  }

  bool
  Active (int i) const
  {
    return daemons_[i].running && ls_active (daemons_[i].lease, LocalTime (i));
  }

  bool
  Fenced (int i) const
  {
    auto entry = entries_.find (daemons_[i].vm);
    return entry != entries_.end ()
           && entry->second.record.state == LS_STATE_FENCED;
  }

  void
  Start (int i)
  {
    Daemon &daemon = daemons_[i];
    LsOptions options = {};

    daemon.process++;
    daemon.membership_us = INT64_MIN / 2;
    daemon.running = true;
    daemon.paused_until_us = 0;
    daemon.deferred.clear ();
    options.vm = daemon.vm.c_str ();
    options.incarnation = 1 + now_ / kMs + daemon.process;
    options.peer_address = daemon.address.c_str ();
    ls_free (daemon.lease);
    daemon.lease = ls_new (&options, LocalTime (i));
    Tick (i, daemon.process);
  }

  void
  Kill (int i)
  {
    daemons_[i].running = false;
  }

  void
  Pause (int i, int64_t us)
  {
    int process = daemons_[i].process;

    daemons_[i].paused_until_us = now_ + us;
    Schedule (us, [this, i, process] { Resume (i, process); });
  }

  void
  Release (int i)
  {
    ls_release (daemons_[i].lease, LocalTime (i));
    Poll (i);
  }

  bool
  Released (int i) const
  {
    return ls_released (daemons_[i].lease);
  }

  void
  SetLinkDown (int i, int j, bool down)
  {
    link_down_[i][j] = link_down_[j][i] = down;
  }

  void
  EndFaults ()
  {
    for (auto &row : link_down_)
      row.assign (row.size (), false);
    store_up = true;
    loss_permille = 0;
    store_loss_permille = 0;
    delay_max_us = 5 * kMs;
    for (Daemon &daemon : daemons_)
      if (daemon.running && daemon.paused_until_us > now_)
        daemon.paused_until_us = now_;
    for (int i = 0; i < count (); i++)
      if (daemons_[i].running)
        Resume (i, daemons_[i].process);
      else
        Start (i);
  }

  /* Runs for US; returns the first violation, empty if there is none.  */
  std::string
  Run (int64_t us, const std::function<std::string ()> &check)
  {
    int64_t end = now_ + us;

    while (!events_.empty () && events_.top ().at_us <= end)
      {
        std::function<void ()> run = events_.top ().run;

        now_ = events_.top ().at_us;
        events_.pop ();
        run ();
        std::string violation = CheckFencedNotActive ();
        if (violation.empty () && check)
          violation = check ();
        if (!violation.empty ())
          return violation + " at " + std::to_string (now_) + " us";
      }
    now_ = end;
    return "";
  }

  bool store_up = true;
  int loss_permille = 0, store_loss_permille = 0, duplicate_permille = 0;
  int64_t delay_max_us = 5 * kMs, store_delay_max_us = 20 * kMs;
  uint64_t store_call_count = 0, fence_count = 0;

private:
  struct Event
  {
    int64_t at_us;
    uint64_t sequence;
    std::function<void ()> run;
    bool
    operator<(const Event &other) const
    {
      return at_us != other.at_us ? at_us > other.at_us
                                  : sequence > other.sequence;
    }
  };

  void
  Schedule (int64_t delay_us, std::function<void ()> run)
  {
    events_.push ({ now_ + delay_us, next_sequence_++, std::move (run) });
  }

  /* Calls RUN in the daemon's process, after its pause if it is paused, or
     drops it if that process has ended.  */
  void
  RunInProcess (int i, int process, std::function<void ()> run)
  {
    Daemon &daemon = daemons_[i];

    if (!daemon.running || daemon.process != process)
      return;
    if (daemon.paused_until_us > now_)
      daemon.deferred.push_back (std::move (run));
    else
      run ();
  }

  void
  Resume (int i, int process)
  {
    if (daemons_[i].process != process || daemons_[i].paused_until_us > now_)
      return;
    std::vector<std::function<void ()> > deferred;
    deferred.swap (daemons_[i].deferred);
    for (auto &run : deferred)
      RunInProcess (i, process, run);
  }

  void
  Tick (int i, int process)
  {
    RunInProcess (i, process, [this, i, process] {
      daemons_[i].last_sent_us = now_;
      if (now_ >= daemons_[i].membership_us + 300 * kMs)
        UpdateMembership (i);
      Poll (i);
      int64_t wait_us
          = ls_next_poll_us (daemons_[i].lease, LocalTime (i)) - LocalTime (i);
      Schedule (std::clamp (wait_us, 5 * kMs, 300 * kMs)
                    + RandomBelow (20) * kMs,
                [this, i, process] { Tick (i, process); });
    });
  }

  void
  Poll (int i)
  {
    LsAction action;

    while (ls_poll (daemons_[i].lease, LocalTime (i), &action))
      Execute (i, action);
  }

  bool
  ConsidersLive (int i, int j) const
  {
    return daemons_[j].running && !link_down_[i][j]
           && daemons_[j].last_sent_us > now_ - kSuspectTimeoutUs;
  }

  /* Sets the candidates and suspects of daemon I.  */
  void
  UpdateMembership (int i)
  {
    std::vector<LsCandidate> candidates;
    std::vector<LsSuspect> suspects;

    daemons_[i].membership_us = now_;
    for (int k = 0; k + 1 < count (); k++)
      {
        int j = (int)successor_orders_[i][k];
        if (ConsidersLive (i, j))
          candidates.push_back (
              { daemons_[j].vm.c_str (), ls_incarnation (daemons_[j].lease) });
      }
    for (int j = 0; j < count (); j++)
      {
        uint32_t rank = 0;

        if (j == i || ConsidersLive (i, j))
          continue;
        for (int k = 0; (int)successor_orders_[j][k] != i; k++)
          rank += ConsidersLive (i, (int)successor_orders_[j][k]);
        suspects.push_back ({ daemons_[j].vm.c_str (), rank });
      }
    ls_set_candidates (daemons_[i].lease, candidates.data (),
                       candidates.size (), LocalTime (i));
    ls_set_suspects (daemons_[i].lease, suspects.data (), suspects.size (),
                     LocalTime (i));
  }

  int
  FindDaemon (const char *vm) const
  {
    for (int i = 0; i < count (); i++)
      if (daemons_[i].vm == vm)
        return i;
    return -1;
  }

  int64_t
  RandomDelay (int64_t max)
  {
    return 1 + RandomBelow ((int)max);
  }

  /* Sends a message from FROM to TO, which arrives as a call of RUN after at
     most DELAY us.  It is lost with a chance of LOSS permille, and may arrive
     a second time, after at most twice DELAY us.  */
  void
  Send (int from, int to, int loss, int64_t delay, std::function<void ()> run)
  {
    if (link_down_[from][to] || Chance (loss))
      return;
    if (Chance (duplicate_permille))
      Schedule (RandomDelay (delay * 2), run);
    Schedule (RandomDelay (delay), run);
  }

  void
  Execute (int i, const LsAction &action)
  {
    if (action.kind == LS_ACTION_REQUEST_PROMISE)
      RequestPromise (i, action);
    else
      CallStore (i, action);
  }

  void
  RequestPromise (int i, const LsAction &action)
  {
    int j = FindDaemon (action.vm), process = daemons_[i].process;
    int peer_process = daemons_[j].process;

    Send (i, j, loss_permille, delay_max_us, [=, this] {
      RunInProcess (j, peer_process, [=, this] {
        const LsRecord &record = action.record;
        bool granted = ls_grant_promise (
            daemons_[j].lease, record.vm, record.incarnation, record.seq,
            record.successor_incarnation, LocalTime (j));
        Send (j, i, loss_permille, delay_max_us, [=, this] {
          RunInProcess (i, process, [=, this] {
            (granted ? ls_promise_received : ls_promise_refused) (
                daemons_[i].lease, action.vm, action.sent_us, LocalTime (i));
          });
        });
      });
    });
  }

  void
  CallStore (int i, const LsAction &action)
  {
    int process = daemons_[i].process;
    auto done = std::make_shared<bool> (false);

    store_call_count++;
    if (!store_up && Chance (500))
      {
        Schedule (kMs, [=, this] {
          FinishStoreCall (i, process, action, done, LS_CAS_NOT_SENT,
                           StoreEntry ());
        });
        return;
      }
    Schedule (kStoreTimeoutUs, [=, this] {
      FinishStoreCall (i, process, action, done, LS_CAS_UNKNOWN,
                       StoreEntry ());
    });
    if (!store_up)
      return;
    Send (i, StoreEndpoint (), store_loss_permille, store_delay_max_us,
          [=, this] {
            LsCasOutcome outcome = ApplyStoreCall (action);
            StoreEntry entry = entries_[action.vm];
            Send (StoreEndpoint (), i, store_loss_permille, store_delay_max_us,
                  [=, this] {
                    FinishStoreCall (i, process, action, done, outcome, entry);
                  });
          });
  }

  LsCasOutcome
  ApplyStoreCall (const LsAction &action)
  {
    StoreEntry &entry = entries_[action.vm];

    if (action.kind == LS_ACTION_READ)
      return LS_CAS_APPLIED;
    if (entry.index != action.expected_index)
      return LS_CAS_CONFLICT;
    entry.record = action.record;
    entry.index = ++store_index_;
    if (action.kind == LS_ACTION_FENCE)
      {
        fence_count++;
        uint64_t &fenced_incarnation
            = daemons_[FindDaemon (action.vm)].fenced_incarnation;
        fenced_incarnation
            = std::max (fenced_incarnation, action.record.incarnation);
      }
    return LS_CAS_APPLIED;
  }

  void
  FinishStoreCall (int i, int process, const LsAction &action,
                   const std::shared_ptr<bool> &done, LsCasOutcome outcome,
                   const StoreEntry &entry)
  {
    RunInProcess (i, process, [=, this] {
      LsLease *lease = daemons_[i].lease;

      if (*done)
        return;
      *done = true;
      if (action.kind != LS_ACTION_READ)
        ls_cas_done (lease, &action, outcome, entry.index, LocalTime (i));
      else if (outcome != LS_CAS_APPLIED)
        ls_read_failed (lease, action.vm, LocalTime (i));
      else if (entry.index == 0)
        ls_record_absent (lease, action.vm, LocalTime (i));
      else
        ls_record_found (lease, &entry.record, entry.index, LocalTime (i));
      Poll (i);
    });
  }

  std::string
  CheckFencedNotActive () const
  {
    for (int i = 0; i < count (); i++)
      {
        const Daemon &daemon = daemons_[i];

        if (daemon.fenced_incarnation != 0 && Active (i)
            && ls_incarnation (daemon.lease) <= daemon.fenced_incarnation)
          return daemons_[i].vm + " is fenced but still ACTIVE";
      }
    return "";
  }

  std::mt19937_64 random_;
  int64_t now_ = 0;
  uint64_t next_sequence_ = 0, store_index_ = 0;
  std::vector<Daemon> daemons_;
  std::vector<std::vector<uint32_t> > successor_orders_;
  std::vector<std::vector<bool> > link_down_;
  std::priority_queue<Event> events_;
  std::map<std::string, StoreEntry> entries_;
};

/* Starts, ends or changes one fault.  */
void
InjectFault (Simulation &sim)
{
  int i = sim.RandomBelow (sim.count ()),
      j = sim.RandomBelow (sim.count () + 1);

  switch (sim.RandomBelow (10))
    {
    case 0:
      if (sim.running (i))
        sim.Kill (i);
      break;
    case 1:
    case 2:
      if (!sim.running (i) || sim.Chance (200))
        sim.Start (i);
      break;
    case 3:
    case 4:
      if (sim.running (i))
        sim.Pause (i, sim.RandomBelow (8000) * kMs);
      break;
    case 5:
    case 6:
      if (i != j)
        sim.SetLinkDown (i, j, sim.Chance (500));
      break;
    case 7:
      sim.store_up = sim.Chance (600);
      break;
    case 8:
      sim.loss_permille = sim.RandomBelow (4) * 100;
      sim.store_loss_permille = sim.RandomBelow (4) * 100;
      sim.duplicate_permille = sim.RandomBelow (200);
      break;
    default:
      sim.delay_max_us
          = (1 + sim.RandomBelow (100)) * (sim.Chance (200) ? 50 * kMs : kMs);
      sim.store_delay_max_us
          = (1 + sim.RandomBelow (100)) * (sim.Chance (300) ? 40 * kMs : kMs);
      break;
    }
}

std::string
CheckAllActive (const Simulation &sim)
{
  for (int i = 0; i < sim.count (); i++)
    if (sim.running (i) && !sim.Active (i))
      return "vm" + std::to_string (i) + " is not ACTIVE";
  return "";
}

/* Runs a schedule with faults of all kinds.  For every third seed, 25 s
   without faults follow, after which all daemons have to be ACTIVE.  Then one
   is killed, which has to be fenced within 5 s while the others stay ACTIVE.
   Returns the first violation.  */
std::string
RunSeed (uint64_t seed, uint64_t *fence_count)
{
  Simulation sim (seed);
  std::string violation = sim.Run (3 * kSecond, nullptr);

  for (int step = 0; step < 30 && violation.empty (); step++)
    {
      InjectFault (sim);
      violation = sim.Run ((100 + sim.RandomBelow (1200)) * kMs, nullptr);
    }
  *fence_count += sim.fence_count;
  if (!violation.empty () || seed % 3 != 0)
    return violation;
  sim.EndFaults ();
  sim.duplicate_permille = 0;
  sim.store_delay_max_us = 20 * kMs;
  violation = sim.Run (25 * kSecond, nullptr);
  if (!violation.empty ())
    return violation;
  if (!CheckAllActive (sim).empty ())
    return CheckAllActive (sim) + " 25 s after the last fault";
  int killed = sim.RandomBelow (sim.count ());
  sim.Kill (killed);
  violation = sim.Run (5 * kSecond, [&] { return CheckAllActive (sim); });
  if (violation.empty () && !sim.Fenced (killed))
    violation = "vm" + std::to_string (killed) + " isn't fenced after 5 s";
  return violation;
}

uint64_t
SeedFromEnvironment ()
{
  const char *text = getenv ("LS_SEED");
  return text == nullptr ? 0 : strtoull (text, nullptr, 10);
}
}

/* Guards against a fenced daemon that keeps admitting requests, and against a
   dead one that is never fenced, so that its shares of quotas and slots stay
   lost.  */
TEST (LeaseSchedule, FencedIsNeverActiveAndDeadIsFenced)
{
  uint64_t first = SeedFromEnvironment () ? SeedFromEnvironment () : 1;
  uint64_t last = SeedFromEnvironment () ? SeedFromEnvironment () : 2000;
  uint64_t fence_count = 0;

  for (uint64_t seed = first; seed <= last; seed++)
    {
      std::string violation = RunSeed (seed, &fence_count);
      ASSERT_EQ (violation, "") << "seed " << seed;
    }
  printf ("%" G_GUINT64_FORMAT " schedules, %" G_GUINT64_FORMAT
          " fences under faults\n",
          last - first + 1, fence_count);
  EXPECT_TRUE (SeedFromEnvironment () || fence_count > last);
}

/* Guards against daemons that lose their leases while the store is down, also
   when single messages between daemons are lost.  */
TEST (LeaseSchedule, StoreOutageOfAnHourKeepsAllActive)
{
  for (uint64_t seed = 1; seed <= 3; seed++)
    {
      Simulation sim (seed);

      ASSERT_EQ (sim.Run (20 * kSecond, nullptr), "") << "seed " << seed;
      ASSERT_EQ (CheckAllActive (sim), "") << "seed " << seed;
      sim.store_up = false;
      sim.loss_permille = 10;
      ASSERT_EQ (
          sim.Run (3600 * kSecond, [&] { return CheckAllActive (sim); }), "")
          << "seed " << seed;
    }
}

/* Guards against store calls in steady state, which would exceed the request
   rates planned for the store.  */
TEST (LeaseSchedule, SteadyStateMakesNoStoreCall)
{
  Simulation sim (7);

  ASSERT_EQ (sim.Run (30 * kSecond, nullptr), "");
  uint64_t calls = sim.store_call_count;
  ASSERT_EQ (sim.Run (60 * kSecond, [&] { return CheckAllActive (sim); }), "");
  EXPECT_EQ (sim.store_call_count, calls);
}

/* Guards against a released daemon that stays ACTIVE until it is fenced, and
   against one that still grants promises.  */
TEST (LeaseSchedule, ReleaseTakesEffectAtOnce)
{
  for (uint64_t seed = 1; seed <= 50; seed++)
    {
      Simulation sim (seed);

      ASSERT_EQ (sim.Run (20 * kSecond, nullptr), "") << "seed " << seed;
      sim.Release (0);
      EXPECT_FALSE (sim.Active (0));
      ASSERT_EQ (sim.Run (200 * kMs, nullptr), "") << "seed " << seed;
      EXPECT_TRUE (sim.Released (0)) << "seed " << seed;
      sim.Kill (0);
      ASSERT_EQ (sim.Run (10 * kSecond, [&] { return CheckAllActive (sim); }),
                 "")
          << "seed " << seed;
    }
}
