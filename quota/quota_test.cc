/* Simulation of daemons that share quotas and lend each other tokens: messages
   are delayed, lost and duplicated, clocks drift, daemons pause and restart,
   and leases expire.  QT_SEED=n runs only the random schedule of seed n.  */

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdlib>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <string>
#include <utility>
#include <vector>

extern "C"
{
#include "quota/quota.h"
}

namespace
{
constexpr int64_t kMs = 1000;
constexpr int64_t kSecond = G_USEC_PER_SEC;
constexpr int64_t kNoExpiryUs = INT64_MAX / 2;
constexpr uint32_t kBaseWeight = 21845, kFlexWeight = 43691;

/* Exact token bucket of a quota for all daemons together.  */
struct ReferenceBucket
{
  double rate_utok_per_us, burst_utok, level_utok;
  int64_t updated_us = 0;

  bool
  Admit (int64_t now_us, int64_t amount)
  {
    level_utok
        = std::min (burst_utok,
                    level_utok
                        + rate_utok_per_us * (double)(now_us - updated_us))
          - (double)amount;
    updated_us = now_us;
    return level_utok > -1; /* 1 utok for the rounding of doubles */
  }
};

struct WaitingRequest
{
  uint32_t quota_id;
  int64_t until_us;
};

struct Daemon
{
  std::string vm;
  QtTable *table = nullptr;
  double clock_rate = 1;
  bool alive = true;
  int64_t paused_until_us = 0;
  uint32_t base_weight = 0, flex_weight = 0; /* as recorded in the store */
  uint32_t next_base_weight = 0,
           next_flex_weight = 0; /* after the move of a share */
  bool shrinking = false;
  int64_t flex_until_us = 0; /* on its own clock */
  bool lease_lapsed = false;
  std::vector<WaitingRequest> waiting;
  std::vector<std::function<void ()> > deferred; /* until the pause ends */
};

class Fleet
{
public:
  Fleet (uint64_t seed, int count, bool drift = false) : random_ (seed)
  {
    for (int i = 0; i < count; i++)
      {
        Daemon daemon;
        daemon.vm = "vm" + std::to_string (i);
        daemon.base_weight = kBaseWeight / count;
        daemon.flex_weight = kFlexWeight / count;
        daemon.clock_rate = drift ? 1 + (RandomBelow (2001) - 1000) / 1e5 : 1;
        daemons.push_back (daemon);
      }
    drift_ = drift;
    for (int i = 0; i < count; i++)
      StartDaemon (i, false);
  }

  ~Fleet ()
  {
    for (Daemon &daemon : daemons)
      qt_free (daemon.table);
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
  LocalTimeUs (int i) const
  {
    return (int64_t)((double)now_us * daemons[i].clock_rate);
  }
  const char *
  VmName (uint32_t i) const
  {
    return daemons[i % daemons.size ()].vm.c_str ();
  }
  int
  count () const
  {
    return (int)daemons.size ();
  }

  void
  StartDaemon (int i, bool split)
  {
    Daemon &daemon = daemons[i];
    QtOptions options = {};

    options.vm = daemon.vm.c_str ();
    options.incarnation = 1 + (uint64_t)now_us;
    options.split = split;
    qt_free (daemon.table);
    daemon.table = qt_new (&options);
    daemon.alive = true;
    daemon.deferred.clear ();
    daemon.waiting.clear ();
    daemon.shrinking = daemon.lease_lapsed = false;
    process_ids_[i]++;
    for (auto &[id, reference] : references)
      DefineQuota (i, id, reference);
    qt_set_share (daemon.table, daemon.base_weight, daemon.flex_weight,
                  LocalTimeUs (i));
    RenewLease (i);
    Tick (i, process_ids_[i]);
  }

  void
  AddQuota (uint32_t id, int64_t rate_utok_per_s, int64_t burst_utok)
  {
    /* Clocks that are 1% fast refill 1% more.  */
    ReferenceBucket reference
        = { (double)rate_utok_per_s / 1e6 * (drift_ ? 1.01 : 1),
            (double)burst_utok, (double)burst_utok };

    references[id] = reference;
    rates_[id] = rate_utok_per_s;
    for (int i = 0; i < count (); i++)
      DefineQuota (i, id, reference);
  }

  /* Sends a request of one token to daemon I, where it may wait for borrowed
     tokens.  */
  void
  SendRequest (int i, uint32_t id)
  {
    offered++;
    RunOnDaemon (i, [=, this] {
      if (qt_take_tokens (daemons[i].table, id, QT_TOKEN_UTOK,
                          LocalTimeUs (i)))
        RecordAdmitted (i, id);
      else if (wait_us > 0)
        daemons[i].waiting.push_back ({ id, now_us + wait_us });
      else
        refused++;
    });
  }

  void
  RunOnDaemon (int i, std::function<void ()> run)
  {
    Daemon &daemon = daemons[i];

    if (!daemon.alive)
      return;
    if (daemon.paused_until_us > now_us)
      daemon.deferred.push_back (std::move (run));
    else
      run ();
  }

  void
  PauseDaemon (int i, int64_t duration_us)
  {
    daemons[i].paused_until_us = now_us + duration_us;
    Schedule (duration_us, [this, i] {
      std::vector<std::function<void ()> > deferred;
      deferred.swap (daemons[i].deferred);
      for (auto &run : deferred)
        RunOnDaemon (i, run);
    });
  }

  void
  Schedule (int64_t after_us, std::function<void ()> run)
  {
    events_.push ({ now_us + after_us, next_order_++, std::move (run) });
  }

  void
  RunFor (int64_t duration_us)
  {
    int64_t end_us = now_us + duration_us;

    while (!events_.empty () && events_.top ().at_us <= end_us
           && violation.empty ())
      {
        auto run = events_.top ().run;
        now_us = events_.top ().at_us;
        events_.pop ();
        run ();
      }
    now_us = end_us;
  }

  /* Stops renewing the lease of daemon I; its flex weight moves to daemon J
     once the lease has expired for certain.  Daemon I learns of it only
     later.  */
  void
  LapseLease (int i, int j)
  {
    Daemon &daemon = daemons[i];

    if (daemon.lease_lapsed || daemon.shrinking)
      return;
    daemon.lease_lapsed = true;
    int64_t fence_us = std::max<int64_t> (
        (int64_t)((double)daemon.flex_until_us / daemon.clock_rate) - now_us
            + 1,
        0);
    Schedule (fence_us, [=, this] {
      uint32_t flex = daemons[i].flex_weight;
      daemons[i].flex_weight = 0;
      AddShare (j, 0, flex);
    });
    int process = process_ids_[i];
    Schedule (fence_us + RandomBelow (5000) * kMs, [=, this] {
      if (process != process_ids_[i])
        return;
      RunOnDaemon (i, [=, this] {
        Daemon &current = daemons[i];
        current.lease_lapsed = false;
        qt_empty_flex_buckets (current.table, LocalTimeUs (i));
        qt_set_share (current.table, current.base_weight, current.flex_weight,
                      LocalTimeUs (i));
        RenewLease (i);
      });
    });
  }

  void
  AddShare (int j, uint32_t base, uint32_t flex)
  {
    if (!daemons[j].alive || daemons[j].shrinking || daemons[j].lease_lapsed)
      {
        unassigned_base_ += base;
        unassigned_flex_ += flex;
        return;
      }
    daemons[j].base_weight += base + std::exchange (unassigned_base_, 0);
    daemons[j].flex_weight += flex + std::exchange (unassigned_flex_, 0);
    int process = process_ids_[j];
    RunOnDaemon (j, [=, this] {
      Daemon &daemon = daemons[j];
      if (process == process_ids_[j] && !daemon.shrinking
          && !daemon.lease_lapsed)
        qt_set_share (daemon.table, daemon.base_weight, daemon.flex_weight,
                      LocalTimeUs (j));
    });
  }

  /* Moves a fraction of the share of daemon I to J, after the grants made from
     it have ended.  */
  void
  MoveShare (int i, int j)
  {
    Daemon &daemon = daemons[i];

    if (!daemon.alive || daemon.shrinking || daemon.lease_lapsed || i == j)
      return;
    RunOnDaemon (i, [=, this] {
      Daemon &current = daemons[i];
      if (current.shrinking || current.lease_lapsed)
        return;
      current.shrinking = true;
      current.next_base_weight
          = current.base_weight - current.base_weight / (2 + RandomBelow (3));
      current.next_flex_weight
          = current.flex_weight - current.flex_weight / (1 + RandomBelow (3));
      qt_set_share (current.table, current.next_base_weight,
                    current.next_flex_weight, LocalTimeUs (i));
      recipients_[i] = j;
    });
  }

  /* Checks that the daemons stay within the bound also if all of them admit
     now what they can.  */
  void
  CheckAvailableTokens ()
  {
    for (auto &[id, reference] : references)
      {
        int64_t available_utok = 0;

        for (int i = 0; i < count (); i++)
          if (daemons[i].alive && daemons[i].paused_until_us <= now_us)
            available_utok
                += qt_available_utok (daemons[i].table, id, LocalTimeUs (i));
        if (!ReferenceBucket (reference).Admit (now_us, available_utok))
          violation
              = "the daemons could admit more than burst + rate x t of quota "
                + std::to_string (id) + " at " + std::to_string (now_us)
                + " us";
      }
  }

  int64_t now_us = 0;
  std::vector<Daemon> daemons;
  std::map<uint32_t, ReferenceBucket> references;
  int loss_permille = 0, duplicate_permille = 0;
  /* A request may wait for tokens for wait_us.  */
  int64_t delay_us = 12 * kMs, jitter_us = 0, wait_us = 0;
  int64_t late_permille = 0; /* messages that take up to 2.5 s longer */
  uint64_t offered = 0, admitted = 0, refused = 0, messages = 0;
  std::string violation;

private:
  struct Event
  {
    int64_t at_us;
    uint64_t order;
    std::function<void ()> run;
    bool
    operator<(const Event &other) const
    {
      return at_us != other.at_us ? at_us > other.at_us : order > other.order;
    }
  };

  void
  DefineQuota (int i, uint32_t id, const ReferenceBucket &reference)
  {
    qt_define (daemons[i].table, id, rates_[id], (int64_t)reference.burst_utok,
               LocalTimeUs (i));
    if (reference.burst_utok < (double)count () * QT_TOKEN_UTOK)
      qt_set_aggregator (daemons[i].table, id, VmName (id));
  }

  /* Renews as by a promise that was requested up to a second ago.  */
  void
  RenewLease (int i)
  {
    Daemon &daemon = daemons[i];

    daemon.flex_until_us = std::max<int64_t> (
        daemon.flex_until_us,
        LocalTimeUs (i) + (2000 + RandomBelow (1000)) * kMs);
    qt_set_validity (daemon.table, daemon.flex_until_us, kNoExpiryUs);
  }

  void
  RecordAdmitted (int i, uint32_t id)
  {
    admitted++;
    if (!references[id].Admit (now_us, QT_TOKEN_UTOK))
      violation
          = daemons[i].vm + " admits more than burst + rate x t of quota "
            + std::to_string (id) + " at " + std::to_string (now_us) + " us";
  }

  void
  SendMessage (int to, std::function<void ()> run)
  {
    messages++;
    int copies = Chance (loss_permille)        ? 0
                 : Chance (duplicate_permille) ? 2
                                               : 1;
    int process = process_ids_[to];
    while (copies-- > 0)
      Schedule (
          delay_us + (jitter_us ? RandomBelow ((int)jitter_us) : 0)
              + (Chance ((int)late_permille) ? RandomBelow (2500) * kMs : 0),
          [=, this] {
            if (process == process_ids_[to])
              RunOnDaemon (to, run);
          });
  }

  void
  SendLendRequest (int i, const QtLendRequest &request, int j)
  {
    int64_t sent_us = LocalTimeUs (i), want_utok = request.want_utok;
    uint32_t id = request.quota_id;

    SendMessage (j, [=, this] {
      QtGrant grant = qt_lend (daemons[j].table, id, daemons[i].vm.c_str (),
                               want_utok, LocalTimeUs (j));
      SendMessage (i, [=, this] {
        qt_lend_request_done (daemons[i].table, id, daemons[j].vm.c_str (),
                              want_utok, LocalTimeUs (i));
        qt_accept_grant (daemons[i].table, &grant, sent_us, LocalTimeUs (i));
        RetryWaiting (i);
        BorrowAndSettle (i);
      });
    });
  }

  void
  RetryWaiting (int i)
  {
    std::vector<WaitingRequest> rest;

    for (const WaitingRequest &request : daemons[i].waiting)
      if (qt_retry_take_tokens (daemons[i].table, request.quota_id,
                                QT_TOKEN_UTOK, LocalTimeUs (i)))
        RecordAdmitted (i, request.quota_id);
      else if (now_us >= request.until_us)
        refused++;
      else
        rest.push_back (request);
    daemons[i].waiting = rest;
  }

  void
  BorrowAndSettle (int i)
  {
    std::vector<QtPeerSurplus> peers;
    QtLendRequest requests[64];
    QtSettlement settlement;

    for (int j = 0; j < count (); j++)
      for (auto &[id, surplus] : reported_surplus_[j])
        if (j != i && daemons[j].alive)
          peers.push_back ({ daemons[j].vm.c_str (), id, surplus });
    uint32_t n
        = qt_plan_lend_requests (daemons[i].table, peers.data (),
                                 peers.size (), requests, 64, LocalTimeUs (i));
    for (uint32_t k = 0; k < n; k++)
      SendLendRequest (i, requests[k], atoi (requests[k].vm + 2));
    while (qt_next_settlement (daemons[i].table, LocalTimeUs (i), &settlement))
      {
        int j = atoi (settlement.lender + 2);
        SendMessage (j, [=, this] {
          qt_apply_settlement (daemons[j].table, settlement.grant_id,
                               settlement.spent_utok, LocalTimeUs (j));
        });
      }
  }

  void
  Tick (int i, int process)
  {
    Schedule (10 * kMs, [=, this] {
      if (process == process_ids_[i] && daemons[i].alive)
        Tick (i, process);
    });
    RunOnDaemon (i, [=, this] {
      Daemon &daemon = daemons[i];
      QtReport reports[16];

      if (!daemon.lease_lapsed)
        RenewLease (i);
      RetryWaiting (i);
      BorrowAndSettle (i);
      if (daemon.shrinking
          && qt_grants_fit_share (daemon.table, LocalTimeUs (i)))
        {
          uint32_t base = daemon.base_weight - daemon.next_base_weight;
          uint32_t flex = daemon.flex_weight - daemon.next_flex_weight;
          daemon.base_weight = daemon.next_base_weight;
          daemon.flex_weight = daemon.next_flex_weight;
          daemon.shrinking = false;
          AddShare (recipients_[i], base, flex);
        }
      if (now_us < next_report_us_[i])
        return;
      next_report_us_[i] = now_us + 250 * kMs;
      uint32_t n = qt_report (daemon.table, reports, 16, LocalTimeUs (i));
      for (uint32_t k = 0; k < n; k++)
        reported_surplus_[i][reports[k].quota_id] = reports[k].surplus_utok;
    });
  }

  std::mt19937_64 random_;
  bool drift_ = false;
  uint32_t unassigned_base_ = 0, unassigned_flex_ = 0;
  uint64_t next_order_ = 0;
  std::priority_queue<Event> events_;
  std::map<uint32_t, int64_t> rates_;
  std::map<int, std::map<uint32_t, int64_t> > reported_surplus_;
  std::map<int, int64_t> next_report_us_;
  std::map<int, int> process_ids_, recipients_;
};

void
InjectRandomFault (Fleet &fleet)
{
  int i = fleet.RandomBelow (fleet.count ()),
      j = fleet.RandomBelow (fleet.count ());

  switch (fleet.RandomBelow (9))
    {
    case 0:
      if (fleet.daemons[i].paused_until_us <= fleet.now_us)
        fleet.PauseDaemon (i, fleet.RandomBelow (4000) * kMs);
      break;
    case 1:
    case 2:
      fleet.LapseLease (i, j);
      break;
    case 3:
    case 4:
      fleet.MoveShare (i, j);
      break;
    case 5:
      /* A new process of the same VM takes over its lease record at once.  */
      if (!fleet.daemons[i].shrinking && !fleet.daemons[i].lease_lapsed)
        fleet.StartDaemon (i, false);
      break;
    case 6:
      qt_set_relending (fleet.daemons[i].table, fleet.Chance (500));
      break;
    case 7:
      /* Daemons disagree on which members are live.  */
      qt_set_aggregator (fleet.daemons[i].table, 1 + fleet.RandomBelow (2),
                         fleet.Chance (200) ? nullptr : fleet.VmName (j));
      break;
    default:
      fleet.loss_permille = fleet.RandomBelow (3) * 150;
      fleet.duplicate_permille = fleet.RandomBelow (3) * 150;
      fleet.late_permille = fleet.RandomBelow (3) * 100;
      fleet.jitter_us = 1 + fleet.RandomBelow (200) * kMs;
      break;
    }
}

/* Poisson arrivals at daemon I, RATE per second, up to UNTIL_US.  */
void
OfferLoad (Fleet &fleet, int i, uint32_t id, double rate, int64_t until_us)
{
  double u = (fleet.RandomBelow (1000000) + 1) / 1e6;
  int64_t wait_us = (int64_t)(-log (u) / rate * 1e6) + 1;

  if (fleet.now_us + wait_us > until_us)
    return;
  fleet.Schedule (wait_us, [&fleet, i, id, rate, until_us] {
    fleet.SendRequest (i, id);
    OfferLoad (fleet, i, id, rate, until_us);
  });
}

std::string
RunSchedule (uint64_t seed, uint64_t *admitted, uint64_t *offered)
{
  std::mt19937_64 random (seed);
  Fleet fleet (seed, 2 + (int)(random () % 8), seed % 2 == 0);
  int64_t end_us = 8 * kSecond;

  fleet.AddQuota (1, 20 * QT_TOKEN_UTOK, 10 * QT_TOKEN_UTOK);
  fleet.AddQuota (2, 3 * QT_TOKEN_UTOK, 2 * QT_TOKEN_UTOK);
  fleet.wait_us = (int64_t)(random () % 3) * 100 * kMs;
  fleet.delay_us = (int64_t)(random () % 30) * kMs;
  double load = seed % 3 == 0 ? 0.2 : seed % 3 == 1 ? 0.8 : 3;
  for (int k = 0; k < 2; k++)
    {
      OfferLoad (fleet, fleet.RandomBelow (fleet.count ()), 1, 10 * load,
                 end_us);
      OfferLoad (fleet, fleet.RandomBelow (fleet.count ()), 2, 1.5 * load,
                 end_us);
    }
  while (fleet.now_us < end_us && fleet.violation.empty ())
    {
      InjectRandomFault (fleet);
      for (int k = 0; k < 10 && fleet.violation.empty (); k++)
        {
          fleet.RunFor (fleet.RandomBelow (50) * kMs);
          if (fleet.violation.empty ())
            fleet.CheckAvailableTokens ();
        }
      /* Hands out the weights that no daemon could receive before.  */
      fleet.AddShare (fleet.RandomBelow (fleet.count ()), 0, 0);
    }
  *admitted += fleet.admitted;
  *offered += fleet.offered;
  return fleet.violation;
}
}

/* Guards against daemons that together admit more than a customer's rate and
   burst because a grant, a share or a bucket counts twice.  */
TEST (QuotaSchedule, NeverAboveBurstAndRate)
{
  const char *text = getenv ("QT_SEED");
  uint64_t only = text == nullptr ? 0 : strtoull (text, nullptr, 10);
  uint64_t last = only ? only : 500, admitted = 0, offered = 0;

  for (uint64_t seed = only ? only : 1; seed <= last; seed++)
    ASSERT_EQ (RunSchedule (seed, &admitted, &offered), "") << "seed " << seed;
  printf ("%d of %d requests admitted\n", (int)admitted, (int)offered);
}

/* Guards against refusing a customer within its rate because all its traffic
   enters at one VM.  */
TEST (Quota, AllTrafficAtOneOfSeven)
{
  const int64_t bursts[] = { 20, 50, 100 };

  for (int64_t burst : bursts)
    {
      Fleet fleet (11, 7);

      fleet.wait_us = 200 * kMs;
      fleet.AddQuota (1, 100 * QT_TOKEN_UTOK, burst * QT_TOKEN_UTOK);
      OfferLoad (fleet, 3, 1, 90, 130 * kSecond);
      fleet.RunFor (10 * kSecond);
      uint64_t offered = fleet.offered, refused = fleet.refused;
      uint64_t messages = fleet.messages;
      fleet.RunFor (120 * kSecond);
      ASSERT_EQ (fleet.violation, "");
      offered = fleet.offered - offered;
      refused = fleet.refused - refused;
      printf ("burst %d: %d of %d refused, %.0f messages/s over the fleet\n",
              (int)burst, (int)refused, (int)offered,
              (double)(fleet.messages - messages) / 120);
      EXPECT_LE (refused * 1000, offered);
    }
}

/* Guards against refusing every request where the burst is below the number of
   daemons, so that no daemon's share is a whole token.  */
TEST (Quota, BurstOfThreeWithSevenDaemons)
{
  Fleet fleet (12, 7);

  fleet.wait_us = 200 * kMs;
  fleet.AddQuota (1, QT_TOKEN_UTOK, 3 * QT_TOKEN_UTOK);
  fleet.RunFor (10 * kSecond);
  for (int k = 0; k < 3; k++)
    fleet.SendRequest (2, 1);
  fleet.RunFor (kSecond);
  EXPECT_EQ (fleet.violation, "");
  EXPECT_EQ (fleet.admitted, 3u);
}

/* Guards against fractions of a token that stay at daemons which all have
   demand, so that none of them gets a whole token.  */
TEST (Quota, BurstOfThreeWithDemandAtAllOfSeven)
{
  Fleet fleet (15, 7);

  fleet.wait_us = 200 * kMs;
  fleet.AddQuota (1, 20 * QT_TOKEN_UTOK, 3 * QT_TOKEN_UTOK);
  for (int i = 0; i < 7; i++)
    OfferLoad (fleet, i, 1, 20 * 0.3 / 7, 60 * kSecond);
  fleet.RunFor (61 * kSecond);
  printf ("%d of %d admitted, %.0f messages/s over the fleet\n",
          (int)fleet.admitted, (int)fleet.offered,
          (double)fleet.messages / 60);
  EXPECT_EQ (fleet.violation, "");
  EXPECT_GE (fleet.admitted * 2, fleet.offered);
}

/* Guards against refusals at the remaining daemons after one was lost.  */
TEST (Quota, OneOfSevenLost)
{
  Fleet fleet (13, 7);

  fleet.wait_us = 200 * kMs;
  fleet.AddQuota (1, 100 * QT_TOKEN_UTOK, 50 * QT_TOKEN_UTOK);
  for (int i = 0; i < 6; i++)
    OfferLoad (fleet, i, 1, 80.0 / 6, 30 * kSecond);
  fleet.RunFor (10 * kSecond);
  uint64_t offered = fleet.offered, refused = fleet.refused;
  fleet.daemons[6].alive = false;
  /* A dead daemon is fenced after 3.5 s.  At 4 s its flex weight is split
     equally among the others.  */
  fleet.Schedule (4 * kSecond, [&fleet] {
    for (int i = 0; i < 6; i++)
      fleet.AddShare (i, 0, fleet.daemons[6].flex_weight / 6);
    fleet.daemons[6].flex_weight = 0;
  });
  fleet.RunFor (10 * kSecond);
  offered = fleet.offered - offered;
  refused = fleet.refused - refused;
  printf ("%d of %d refused in 10 s\n", (int)refused, (int)offered);
  EXPECT_EQ (fleet.violation, "");
  EXPECT_LE (refused * 100, offered);
}

/* Guards against lending in split mode.  */
TEST (Quota, SplitDoesNotLend)
{
  Fleet fleet (14, 2);

  fleet.AddQuota (1, 100 * QT_TOKEN_UTOK, 50 * QT_TOKEN_UTOK);
  for (int i = 0; i < 2; i++)
    fleet.StartDaemon (i, true);
  OfferLoad (fleet, 0, 1, 90, 20 * kSecond);
  fleet.RunFor (20 * kSecond);
  EXPECT_EQ (fleet.messages, 0u);
  EXPECT_GT (fleet.refused, 0u);
}
