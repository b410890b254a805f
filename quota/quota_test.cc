/* QT_SEED=n runs one schedule only.  */

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
constexpr int64_t kForever = INT64_MAX / 2;
constexpr uint32_t kBase = 21845, kFlex = 43691;

/* Token bucket over the whole fleet: the exact reference.  */
struct Reference
{
  double rate_utok_per_us, burst_utok, level_utok;
  int64_t at_us = 0;

  bool
  Admit (int64_t now, int64_t amount)
  {
    level_utok
        = std::min (burst_utok,
                    level_utok + rate_utok_per_us * (double)(now - at_us))
          - (double)amount;
    at_us = now;
    return level_utok > -1; /* 1 utok for the rounding of doubles */
  }
};

struct Waiting
{
  uint32_t quota_id;
  int64_t until;
};

struct Node
{
  std::string vm;
  QtTable *table = nullptr;
  double rate = 1;
  bool alive = true;
  int64_t paused_until = 0;
  uint32_t base = 0, flex = 0;           /* on record */
  uint32_t next_base = 0, next_flex = 0; /* while giving away */
  bool giving = false;
  int64_t flex_until = 0; /* own clock */
  bool lapsed = false;
  std::vector<Waiting> waiting;
  std::vector<std::function<void ()> > held;
};

class Fleet
{
public:
  Fleet (uint64_t seed, int count, bool drift = false) : random_ (seed)
  {
    for (int i = 0; i < count; i++)
      {
        Node node;
        node.vm = "vm" + std::to_string (i);
        node.base = kBase / count;
        node.flex = kFlex / count;
        node.rate = drift ? 1 + (Below (2001) - 1000) / 1e5 : 1;
        nodes.push_back (node);
      }
    drift_ = drift;
    for (int i = 0; i < count; i++)
      Start (i, false);
  }

  ~Fleet ()
  {
    for (Node &node : nodes)
      qt_free (node.table);
  }

  int
  Below (int n)
  {
    return (int)(random_ () % (uint64_t)n);
  }
  bool
  Chance (int permille)
  {
    return Below (1000) < permille;
  }
  int64_t
  Local (int i) const
  {
    return (int64_t)((double)now * nodes[i].rate);
  }
  const char *
  Vm (uint32_t i) const
  {
    return nodes[i % nodes.size ()].vm.c_str ();
  }
  int
  count () const
  {
    return (int)nodes.size ();
  }

  void
  Start (int i, bool split)
  {
    Node &node = nodes[i];
    QtOptions options = {};

    options.vm = node.vm.c_str ();
    options.incarnation = 1 + (uint64_t)now;
    options.split = split;
    qt_free (node.table);
    node.table = qt_new (&options);
    node.alive = true;
    node.held.clear ();
    node.waiting.clear ();
    node.giving = node.lapsed = false;
    process_[i]++;
    for (auto &[id, reference] : references)
      Define (i, id, reference);
    qt_set_share (node.table, node.base, node.flex, Local (i));
    Renew (i);
    Poll (i, process_[i]);
  }

  void
  AddQuota (uint32_t id, int64_t rate_utok_per_s, int64_t burst_utok)
  {
    Reference reference
        = { (double)rate_utok_per_s / 1e6 * (drift_ ? 1.01 : 1),
            (double)burst_utok, (double)burst_utok };

    references[id] = reference;
    rates_[id] = rate_utok_per_s;
    for (int i = 0; i < count (); i++)
      Define (i, id, reference);
  }

  /* A request of one token; it may wait for borrowed tokens.  */
  void
  Request (int i, uint32_t id)
  {
    offered++;
    Deliver (i, [=, this] {
      if (qt_take (nodes[i].table, id, QT_TOKEN, Local (i)))
        Admit (i, id);
      else if (wait_us > 0)
        nodes[i].waiting.push_back ({ id, now + wait_us });
      else
        refused++;
    });
  }

  void
  Deliver (int i, std::function<void ()> run)
  {
    Node &node = nodes[i];

    if (!node.alive)
      return;
    if (node.paused_until > now)
      node.held.push_back (std::move (run));
    else
      run ();
  }

  void
  Pause (int i, int64_t us)
  {
    nodes[i].paused_until = now + us;
    At (us, [this, i] {
      std::vector<std::function<void ()> > held;
      held.swap (nodes[i].held);
      for (auto &run : held)
        Deliver (i, run);
    });
  }

  void
  At (int64_t delay, std::function<void ()> run)
  {
    events_.push ({ now + delay, order_++, std::move (run) });
  }

  void
  Run (int64_t us)
  {
    int64_t end = now + us;

    while (!events_.empty () && events_.top ().at <= end && fault.empty ())
      {
        auto run = events_.top ().run;
        now = events_.top ().at;
        events_.pop ();
        run ();
      }
    now = end;
  }

  /* The lease of node I isn't renewed any more; its flex weight moves to node
     J once the lapse is certain.  The node learns of it only later.  */
  void
  Lapse (int i, int j)
  {
    Node &node = nodes[i];

    if (node.lapsed || node.giving)
      return;
    node.lapsed = true;
    int64_t fence = std::max<int64_t> (
        (int64_t)((double)node.flex_until / node.rate) - now + 1, 0);
    At (fence, [=, this] {
      uint32_t flex = nodes[i].flex;
      nodes[i].flex = 0;
      Gain (j, 0, flex);
    });
    int process = process_[i];
    At (fence + Below (5000) * kMs, [=, this] {
      if (process != process_[i])
        return;
      Deliver (i, [=, this] {
        Node &back = nodes[i];
        back.lapsed = false;
        qt_empty_flex (back.table, Local (i));
        qt_set_share (back.table, back.base, back.flex, Local (i));
        Renew (i);
      });
    });
  }

  void
  Gain (int j, uint32_t base, uint32_t flex)
  {
    if (!nodes[j].alive || nodes[j].giving || nodes[j].lapsed)
      {
        free_base_ += base;
        free_flex_ += flex;
        return;
      }
    nodes[j].base += base + std::exchange (free_base_, 0);
    nodes[j].flex += flex + std::exchange (free_flex_, 0);
    int process = process_[j];
    Deliver (j, [=, this] {
      Node &node = nodes[j];
      if (process == process_[j] && !node.giving && !node.lapsed)
        qt_set_share (node.table, node.base, node.flex, Local (j));
    });
  }

  /* Node I gives part of its share to J, after its grants have ended.  */
  void
  Give (int i, int j)
  {
    Node &node = nodes[i];

    if (!node.alive || node.giving || node.lapsed || i == j)
      return;
    Deliver (i, [=, this] {
      Node &giver = nodes[i];
      if (giver.giving || giver.lapsed)
        return;
      giver.giving = true;
      giver.next_base = giver.base - giver.base / (2 + Below (3));
      giver.next_flex = giver.flex - giver.flex / (1 + Below (3));
      qt_set_share (giver.table, giver.next_base, giver.next_flex, Local (i));
      taker_[i] = j;
    });
  }

  /* What all daemons could admit at this moment has to be within the bound,
     too.  */
  void
  CheckFlashCrowd ()
  {
    for (auto &[id, reference] : references)
      {
        int64_t sum = 0;

        for (int i = 0; i < count (); i++)
          if (nodes[i].alive && nodes[i].paused_until <= now)
            sum += qt_available (nodes[i].table, id, Local (i));
        if (!Reference (reference).Admit (now, sum))
          fault
              = "the daemons could admit more than burst + rate x t of quota "
                + std::to_string (id) + " at " + std::to_string (now) + " us";
      }
  }

  int64_t now = 0;
  std::vector<Node> nodes;
  std::map<uint32_t, Reference> references;
  int loss_permille = 0, duplicate_permille = 0;
  int64_t delay_us = 12 * kMs, jitter_us = 0, wait_us = 0;
  int64_t late_permille = 0;
  uint64_t offered = 0, admitted = 0, refused = 0, messages = 0;
  std::string fault;

private:
  struct Event
  {
    int64_t at;
    uint64_t order;
    std::function<void ()> run;
    bool
    operator<(const Event &other) const
    {
      return at != other.at ? at > other.at : order > other.order;
    }
  };

  void
  Define (int i, uint32_t id, const Reference &reference)
  {
    qt_define (nodes[i].table, id, rates_[id], (int64_t)reference.burst_utok,
               Local (i));
    if (reference.burst_utok < (double)count () * QT_TOKEN)
      qt_set_gatherer (nodes[i].table, id, Vm (id));
  }

  /* As a promise that was asked for up to a second ago.  */
  void
  Renew (int i)
  {
    Node &node = nodes[i];

    node.flex_until = std::max<int64_t> (
        node.flex_until, Local (i) + (2000 + Below (1000)) * kMs);
    qt_set_validity (node.table, node.flex_until, kForever);
  }

  void
  Admit (int i, uint32_t id)
  {
    admitted++;
    if (!references[id].Admit (now, QT_TOKEN))
      fault = nodes[i].vm + " admits more than burst + rate x t of quota "
              + std::to_string (id) + " at " + std::to_string (now) + " us";
  }

  void
  Send (int to, std::function<void ()> run)
  {
    messages++;
    int copies = Chance (loss_permille)        ? 0
                 : Chance (duplicate_permille) ? 2
                                               : 1;
    int process = process_[to];
    while (copies-- > 0)
      At (delay_us + (jitter_us ? Below ((int)jitter_us) : 0)
              + (Chance ((int)late_permille) ? Below (2500) * kMs : 0),
          [=, this] {
            if (process == process_[to])
              Deliver (to, run);
          });
  }

  void
  Ask (int i, const QtAsk &ask, int j)
  {
    int64_t sent = Local (i), want = ask.want_utok;
    uint32_t id = ask.quota_id;

    Send (j, [=, this] {
      QtGrant grant = qt_lend (nodes[j].table, id, nodes[i].vm.c_str (), want,
                               Local (j));
      Send (i, [=, this] {
        qt_asked_done (nodes[i].table, id, nodes[j].vm.c_str (), want,
                       Local (i));
        qt_borrowed (nodes[i].table, &grant, sent, Local (i));
        Serve (i);
        Plan (i);
      });
    });
  }

  void
  Serve (int i)
  {
    std::vector<Waiting> rest;

    for (const Waiting &w : nodes[i].waiting)
      if (qt_retake (nodes[i].table, w.quota_id, QT_TOKEN, Local (i)))
        Admit (i, w.quota_id);
      else if (now >= w.until)
        refused++;
      else
        rest.push_back (w);
    nodes[i].waiting = rest;
  }

  void
  Plan (int i)
  {
    std::vector<QtSurplus> peers;
    QtAsk asks[64];
    QtSettle settle;

    for (int j = 0; j < count (); j++)
      for (auto &[id, surplus] : surplus_[j])
        if (j != i && nodes[j].alive)
          peers.push_back ({ nodes[j].vm.c_str (), id, surplus });
    uint32_t n = qt_plan_borrow (nodes[i].table, peers.data (), peers.size (),
                                 asks, 64, Local (i));
    for (uint32_t k = 0; k < n; k++)
      Ask (i, asks[k], atoi (asks[k].vm + 2));
    while (qt_next_settle (nodes[i].table, Local (i), &settle))
      {
        int j = atoi (settle.lender + 2);
        Send (j, [=, this] {
          qt_settled (nodes[j].table, settle.grant_id, settle.spent_utok,
                      Local (j));
        });
      }
  }

  void
  Poll (int i, int process)
  {
    At (10 * kMs, [=, this] {
      if (process == process_[i] && nodes[i].alive)
        Poll (i, process);
    });
    Deliver (i, [=, this] {
      Node &node = nodes[i];
      QtReport reports[16];

      if (!node.lapsed)
        Renew (i);
      Serve (i);
      Plan (i);
      if (node.giving && qt_share_settled (node.table, Local (i)))
        {
          uint32_t base = node.base - node.next_base;
          uint32_t flex = node.flex - node.next_flex;
          node.base = node.next_base;
          node.flex = node.next_flex;
          node.giving = false;
          Gain (taker_[i], base, flex);
        }
      if (now < next_report_[i])
        return;
      next_report_[i] = now + 250 * kMs;
      uint32_t n = qt_report (node.table, reports, 16, Local (i));
      for (uint32_t k = 0; k < n; k++)
        surplus_[i][reports[k].quota_id] = reports[k].surplus_utok;
    });
  }

  std::mt19937_64 random_;
  bool drift_ = false;
  uint32_t free_base_ = 0, free_flex_ = 0;
  uint64_t order_ = 0;
  std::priority_queue<Event> events_;
  std::map<uint32_t, int64_t> rates_;
  std::map<int, std::map<uint32_t, int64_t> > surplus_;
  std::map<int, int64_t> next_report_;
  std::map<int, int> process_, taker_;
};

void
Disturb (Fleet &fleet)
{
  int i = fleet.Below (fleet.count ()), j = fleet.Below (fleet.count ());

  switch (fleet.Below (9))
    {
    case 0:
      if (fleet.nodes[i].paused_until <= fleet.now)
        fleet.Pause (i, fleet.Below (4000) * kMs);
      break;
    case 1:
    case 2:
      fleet.Lapse (i, j);
      break;
    case 3:
    case 4:
      fleet.Give (i, j);
      break;
    case 5:
      /* A new process of the same VM takes its entry over at once.  */
      if (!fleet.nodes[i].giving && !fleet.nodes[i].lapsed)
        fleet.Start (i, false);
      break;
    case 6:
      qt_set_relay (fleet.nodes[i].table, fleet.Chance (500));
      break;
    case 7:
      /* Daemons see different members live.  */
      qt_set_gatherer (fleet.nodes[i].table, 1 + fleet.Below (2),
                       fleet.Chance (200) ? nullptr : fleet.Vm (j));
      break;
    default:
      fleet.loss_permille = fleet.Below (3) * 150;
      fleet.duplicate_permille = fleet.Below (3) * 150;
      fleet.late_permille = fleet.Below (3) * 100;
      fleet.jitter_us = 1 + fleet.Below (200) * kMs;
      break;
    }
}

/* Poisson arrivals, RATE a second on node I, for US.  */
void
Offer (Fleet &fleet, int i, uint32_t id, double rate, int64_t until)
{
  double u = (fleet.Below (1000000) + 1) / 1e6;
  int64_t wait = (int64_t)(-log (u) / rate * 1e6) + 1;

  if (fleet.now + wait > until)
    return;
  fleet.At (wait, [&fleet, i, id, rate, until] {
    fleet.Request (i, id);
    Offer (fleet, i, id, rate, until);
  });
}

std::string
RunSeed (uint64_t seed, uint64_t *admitted, uint64_t *offered)
{
  std::mt19937_64 random (seed);
  Fleet fleet (seed, 2 + (int)(random () % 8), seed % 2 == 0);
  int64_t length = 8 * kSecond;

  fleet.AddQuota (1, 20 * QT_TOKEN, 10 * QT_TOKEN);
  fleet.AddQuota (2, 3 * QT_TOKEN, 2 * QT_TOKEN);
  fleet.wait_us = (int64_t)(random () % 3) * 100 * kMs;
  fleet.delay_us = (int64_t)(random () % 30) * kMs;
  double load = seed % 3 == 0 ? 0.2 : seed % 3 == 1 ? 0.8 : 3;
  for (int k = 0; k < 2; k++)
    {
      Offer (fleet, fleet.Below (fleet.count ()), 1, 10 * load, length);
      Offer (fleet, fleet.Below (fleet.count ()), 2, 1.5 * load, length);
    }
  while (fleet.now < length && fleet.fault.empty ())
    {
      Disturb (fleet);
      for (int k = 0; k < 10 && fleet.fault.empty (); k++)
        {
          fleet.Run (fleet.Below (50) * kMs);
          if (fleet.fault.empty ())
            fleet.CheckFlashCrowd ();
        }
      fleet.Gain (fleet.Below (fleet.count ()), 0, 0);
    }
  *admitted += fleet.admitted;
  *offered += fleet.offered;
  return fleet.fault;
}
}

/* Guards against a fleet that admits more than a customer's rate and burst
   because a grant, a share or a bucket counts twice.  */
TEST (QuotaSchedule, NeverAboveBurstAndRate)
{
  const char *text = getenv ("QT_SEED");
  uint64_t only = text == nullptr ? 0 : strtoull (text, nullptr, 10);
  uint64_t last = only ? only : 500, admitted = 0, offered = 0;

  for (uint64_t seed = only ? only : 1; seed <= last; seed++)
    ASSERT_EQ (RunSeed (seed, &admitted, &offered), "") << "seed " << seed;
  printf ("%d of %d requests admitted\n", (int)admitted, (int)offered);
}

/* Guards against a customer that is refused within its rate because all its
   traffic enters at one VM.  */
TEST (Quota, AllTrafficAtOneOfSeven)
{
  const int64_t bursts[] = { 20, 50, 100 };

  for (int64_t burst : bursts)
    {
      Fleet fleet (11, 7);

      fleet.wait_us = 200 * kMs;
      fleet.AddQuota (1, 100 * QT_TOKEN, burst * QT_TOKEN);
      Offer (fleet, 3, 1, 90, 130 * kSecond);
      fleet.Run (10 * kSecond);
      uint64_t offered = fleet.offered, refused = fleet.refused;
      uint64_t messages = fleet.messages;
      fleet.Run (120 * kSecond);
      ASSERT_EQ (fleet.fault, "");
      offered = fleet.offered - offered;
      refused = fleet.refused - refused;
      printf ("burst %d: %d of %d refused, %.0f messages/s over the fleet\n",
              (int)burst, (int)refused, (int)offered,
              (double)(fleet.messages - messages) / 120);
      EXPECT_LE (refused * 1000, offered);
    }
}

/* Guards against a burst below the number of daemons, of which no daemon owns
   a whole token.  */
TEST (Quota, BurstOfThreeWithSevenDaemons)
{
  Fleet fleet (12, 7);

  fleet.wait_us = 200 * kMs;
  fleet.AddQuota (1, QT_TOKEN, 3 * QT_TOKEN);
  fleet.Run (10 * kSecond);
  for (int k = 0; k < 3; k++)
    fleet.Request (2, 1);
  fleet.Run (kSecond);
  EXPECT_EQ (fleet.fault, "");
  EXPECT_EQ (fleet.admitted, 3u);
}

/* Guards against parts of a token that stay at daemons which all have demand,
   so that none of them gets a whole one.  */
TEST (Quota, BurstOfThreeWithDemandAtAllOfSeven)
{
  Fleet fleet (15, 7);

  fleet.wait_us = 200 * kMs;
  fleet.AddQuota (1, 20 * QT_TOKEN, 3 * QT_TOKEN);
  for (int i = 0; i < 7; i++)
    Offer (fleet, i, 1, 20 * 0.3 / 7, 60 * kSecond);
  fleet.Run (61 * kSecond);
  printf ("%d of %d answered, %.0f messages/s over the fleet\n",
          (int)fleet.admitted, (int)fleet.offered,
          (double)fleet.messages / 60);
  EXPECT_EQ (fleet.fault, "");
  EXPECT_GE (fleet.admitted * 2, fleet.offered);
}

/* Guards against refusals at the daemons that remain after a loss.  */
TEST (Quota, OneOfSevenLost)
{
  Fleet fleet (13, 7);

  fleet.wait_us = 200 * kMs;
  fleet.AddQuota (1, 100 * QT_TOKEN, 50 * QT_TOKEN);
  for (int i = 0; i < 6; i++)
    Offer (fleet, i, 1, 80.0 / 6, 30 * kSecond);
  fleet.Run (10 * kSecond);
  uint64_t offered = fleet.offered, refused = fleet.refused;
  fleet.nodes[6].alive = false;
  /* Fenced after 3.5 s, then claimed in equal parts.  */
  fleet.At (4 * kSecond, [&fleet] {
    for (int i = 0; i < 6; i++)
      fleet.Gain (i, 0, fleet.nodes[6].flex / 6);
    fleet.nodes[6].flex = 0;
  });
  fleet.Run (10 * kSecond);
  offered = fleet.offered - offered;
  refused = fleet.refused - refused;
  printf ("%d of %d refused in 10 s\n", (int)refused, (int)offered);
  EXPECT_EQ (fleet.fault, "");
  EXPECT_LE (refused * 100, offered);
}

/* Guards against the baseline that lends after all.  */
TEST (Quota, SplitDoesNotLend)
{
  Fleet fleet (14, 2);

  fleet.AddQuota (1, 100 * QT_TOKEN, 50 * QT_TOKEN);
  for (int i = 0; i < 2; i++)
    fleet.Start (i, true);
  Offer (fleet, 0, 1, 90, 20 * kSecond);
  fleet.Run (20 * kSecond);
  EXPECT_EQ (fleet.messages, 0u);
  EXPECT_GT (fleet.refused, 0u);
}
