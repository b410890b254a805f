/* Seeded schedules of daemons that start, stop, restart in turn, are killed
   and lose messages, while one of them keeps the token bucket of a target for
   all. */

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdint>
#include <cstdlib>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

extern "C"
{
#include "fleet/fleet.h"
#include "limit/limit.h"
}

namespace
{

constexpr int64_t kMs = 1000;
constexpr int64_t kSecond = 1000000;
constexpr int64_t kStep = 20 * kMs;
constexpr int64_t kLength = 16 * kSecond;
constexpr uint64_t kTarget = 12345;
constexpr char kKey[] = "target";

struct Daemon
{
  std::string name, region;
  FlFleet *fleet = nullptr; /* NULL: does not run */
  LmTable *buckets = nullptr;
  int64_t started_ms = 0;
  int64_t ready_us = 0; /* when it becomes ready */
  int64_t stop_us = 0;  /* end of the process; 0: it is not stopping */
  int64_t start_us = 0; /* next start of a process that does not run */
  bool was_ready = false;
};

/* A report on its way; the fields of FlReport that matter here.  */
struct Datagram
{
  int64_t at_us;
  size_t to, from;
  int64_t started_ms;
  bool ready, stopping;
  bool
  operator<(const Datagram &other) const
  {
    return at_us > other.at_us;
  }
};

class Schedule
{
public:
  explicit Schedule (unsigned seed) : random (seed)
  {
    limit_per_s = 2 + (double)Below (200) / 10;
    loss_percent = Below (3) == 0 ? 3 : 0;
    daemons.resize (2 + Below (6));
    for (size_t i = 0; i < daemons.size (); i++)
      {
        daemons[i].name = "vm" + std::to_string (i);
        daemons[i].region = i % 3 == 0 ? "b" : "a";
        Start (daemons[i]);
      }
    for (uint32_t i = Below (3); i > 0; i--)
      PlanRoll (kSecond * 2 + Below (6000) * kMs);
    for (uint32_t i = Below (4); i > 0; i--)
      kills.push_back ({ kSecond * 2 + Below (12000) * kMs,
                         Below ((uint32_t)daemons.size ()) });
  }

  ~Schedule ()
  {
    for (Daemon &daemon : daemons)
      End (daemon);
  }

  /* Largest number of grants in 4 s above what the rule allows; at most 0 if
     it is kept.  */
  double
  Run ()
  {
    for (now_us = kSecond; now_us < kLength; now_us += kStep)
      {
        Deliver ();
        for (Daemon &daemon : daemons)
          ChangeState (daemon);
        for (const auto &[at_us, daemon] : stops)
          if (at_us <= now_us && at_us > now_us - kStep)
            Stop (daemons[daemon]);
        for (const auto &[at_us, daemon] : kills)
          if (at_us <= now_us && at_us > now_us - kStep)
            Kill (daemons[daemon]);
        if (now_us / kStep % 50 == 0)
          for (size_t i = 0; i < daemons.size (); i++)
            Report (i);
        for (Daemon &daemon : daemons)
          SendRequests (daemon);
      }
    return Excess ();
  }

  double limit_per_s;
  uint32_t granted_count = 0;

private:
  uint32_t
  Below (uint32_t limit)
  {
    return (uint32_t)(random () % limit);
  }

  void
  PlanRoll (int64_t at_us)
  {
    int64_t gap_us = (300 + Below (1500)) * kMs;
    for (size_t i = 0; i < daemons.size (); i++)
      stops.push_back ({ at_us + (int64_t)i * gap_us, i });
  }

  void
  Start (Daemon &daemon)
  {
    FlOptions options
        = { daemon.name.c_str (), "z", daemon.region.c_str (), now_us };
    daemon.fleet = fl_new (&options);
    fl_set_ready (daemon.fleet, FALSE);
    daemon.buckets = lm_new ();
    daemon.started_ms = 1 + now_us / kMs;
    daemon.ready_us = now_us + (300 + Below (700)) * kMs;
    daemon.stop_us = 0;
    daemon.was_ready = false;
    Report ((size_t)(&daemon - daemons.data ()));
  }

  static void
  End (Daemon &daemon)
  {
    fl_free (daemon.fleet);
    lm_free (daemon.buckets);
    daemon.fleet = nullptr;
    daemon.buckets = nullptr;
  }

  void
  Kill (Daemon &daemon)
  {
    if (daemon.fleet == nullptr)
      return;
    End (daemon);
    daemon.start_us = now_us + (500 + Below (4000)) * kMs;
  }

  void
  Stop (Daemon &daemon)
  {
    if (daemon.fleet == nullptr || daemon.stop_us != 0)
      return;
    daemon.stop_us = now_us + (1000 + Below (4000)) * kMs;
    fl_set_stopping (daemon.fleet);
    Report ((size_t)(&daemon - daemons.data ()));
  }

  void
  ChangeState (Daemon &daemon)
  {
    if (daemon.fleet == nullptr)
      {
        if (now_us >= daemon.start_us)
          Start (daemon);
        return;
      }
    fl_expire_members (daemon.fleet, now_us);
    if (daemon.stop_us != 0 && now_us >= daemon.stop_us)
      {
        End (daemon);
        daemon.start_us = now_us + 600 * kMs;
        return;
      }
    if (!daemon.was_ready && now_us >= daemon.ready_us)
      {
        daemon.was_ready = true;
        fl_set_ready (daemon.fleet, TRUE);
        Report ((size_t)(&daemon - daemons.data ()));
      }
  }

  void
  Report (size_t from)
  {
    const Daemon &daemon = daemons[from];
    if (daemon.fleet == nullptr)
      return;
    for (size_t to = 0; to < daemons.size (); to++)
      if (to != from && Below (100) >= loss_percent)
        datagrams.push ({ now_us + (1 + Below (30)) * kMs, to, from,
                          daemon.started_ms, daemon.was_ready,
                          daemon.stop_us != 0 });
  }

  /* A daemon that hears of a change replies with a report of its own.  */
  void
  Deliver ()
  {
    while (!datagrams.empty () && datagrams.top ().at_us <= now_us)
      {
        Datagram datagram = datagrams.top ();
        datagrams.pop ();
        FlReport report = {};
        if (daemons[datagram.to].fleet == nullptr)
          continue;
        report.name = daemons[datagram.from].name.c_str ();
        report.started_ms = datagram.started_ms;
        report.zone = "z";
        report.region = daemons[datagram.from].region.c_str ();
        report.front_address = "";
        report.gossip_address = report.name;
        report.ready = datagram.ready;
        report.stopping = datagram.stopping;
        if (fl_receive_report (daemons[datagram.to].fleet, &report, now_us))
          Report (datagram.to);
      }
  }

  /* Callers want four times what the target takes.  */
  void
  SendRequests (Daemon &daemon)
  {
    double wanted
        = 4 * limit_per_s * (double)kStep / kSecond / (double)daemons.size ();
    if (daemon.fleet == nullptr || !daemon.was_ready
        || (double)Below (1000000) >= wanted * 1e6)
      return;
    const char *owner
        = fl_target_token_owner (daemon.fleet, kTarget, "a", now_us);
    Daemon *keeper = &daemon;
    if (owner != nullptr)
      keeper = &daemons[(size_t)atoi (owner + 2)];
    int64_t wait_us;
    if (keeper->fleet == nullptr
        || !lm_take_shared_token (keeper->buckets, kKey, limit_per_s, now_us,
                                  &wait_us))
      return;
    grants.push_back (now_us);
    granted_count++;
  }

  double
  Excess () const
  {
    double most = 0;
    for (auto first = grants.begin (); first != grants.end (); ++first)
      most = std::max (most, (double)(std::lower_bound (first, grants.end (),
                                                        *first + 4 * kSecond)
                                      - first));
    return most - (1.5 * limit_per_s * 4 + 5);
  }

  std::mt19937 random;
  uint32_t loss_percent;
  int64_t now_us = 0;
  std::vector<Daemon> daemons;
  std::vector<std::pair<int64_t, size_t> > stops, kills;
  std::priority_queue<Datagram> datagrams;
  std::vector<int64_t> grants;
};

/* Guards against a target that gets more than it has said that it takes, since
   the daemon that keeps its bucket changes: a new keeper starts with tokens of
   its own, one that keeps it again has been given some meanwhile, or two or
   more take themselves for it.  */
TEST (OwnerSchedule, TokensOfATargetStayWithinItsLimit)
{
  double granted = 0, wanted = 0;
  for (unsigned seed = 1; seed <= 10000; seed++)
    {
      Schedule schedule (seed);
      double excess = schedule.Run ();
      EXPECT_LE (excess, 0)
          << "seed " << seed << ", " << schedule.limit_per_s << " a second";
      granted += schedule.granted_count;
      wanted += schedule.limit_per_s * (double)kLength / kSecond;
      if (HasFailure ())
        break;
    }
  EXPECT_GT (granted, 0.7 * wanted);
}

} // namespace
