/* MB_SEED=n runs one schedule only.  */

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdlib>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

extern "C"
{
#include "member/member.h"
}

namespace
{
constexpr int64_t kMs = 1000;
constexpr int64_t kSecond = G_USEC_PER_SEC;
constexpr int64_t kStart = 1000 * kSecond;
constexpr uint64_t kWall = 1764835200000;

struct Node
{
  std::string vm, zone, region, http, peer;
  MbTable *table = nullptr;
  bool alive = true;
  int64_t paused_until = 0;
  int64_t offset = 0; /* of the own clock */
  uint64_t incarnation = 0;
  uint64_t sent_bytes = 0, received_bytes = 0, messages = 0;
  std::vector<std::pair<int64_t, uint64_t> > known; /* time, version */
  uint64_t known_now = 1, in_force = 1;
  int64_t worked_us = 0;
  std::vector<std::function<void ()> > held;
};

class Fleet
{
public:
  Fleet (uint64_t seed, int count, int regions, int zones) : random_ (seed)
  {
    nodes.resize (count);
    for (int i = 0; i < count; i++)
      {
        Node &node = nodes[i];
        int zone = i % zones;

        node.vm = "entry-" + std::to_string (1000 + i);
        node.zone = "zone-" + std::to_string (100 + zone);
        node.region = "region-" + std::to_string (zone % regions);
        node.http = "10.1." + std::to_string (i / 250) + "."
                    + std::to_string (i % 250) + ":8001";
        node.peer = "10.1." + std::to_string (i / 250) + "."
                    + std::to_string (i % 250) + ":9001";
        node.offset = Below (1000) * kSecond;
        node.known.push_back ({ 0, 1 });
        zone_of_.push_back (zone);
      }
    cut_.assign (zones, std::vector<bool> (zones, false));
    for (int i = 0; i < count; i++)
      Start (i);
  }

  ~Fleet ()
  {
    for (Node &node : nodes)
      mb_free (node.table);
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
  int
  count () const
  {
    return (int)nodes.size ();
  }
  int64_t
  Local (int i) const
  {
    return now + nodes[i].offset;
  }

  bool
  Runs (int i) const
  {
    return nodes[i].alive && nodes[i].paused_until <= now;
  }

  bool
  Fresh (int i) const
  {
    return mb_fresh (nodes[i].table, Local (i));
  }

  void
  Start (int i)
  {
    Node &node = nodes[i];
    MbOptions options = {};
    std::vector<MbAssigned> members;

    node.alive = true;
    node.held.clear ();
    node.paused_until = 0;
    node.incarnation = kWall + (uint64_t)(now / kMs);
    options.vm = node.vm.c_str ();
    options.zone = node.zone.c_str ();
    options.region = node.region.c_str ();
    options.http_address = node.http.c_str ();
    options.peer_address = node.peer.c_str ();
    options.incarnation = node.incarnation;
    mb_free (node.table);
    node.table = mb_new (&options, Local (i));
    for (const Node &other : nodes)
      members.push_back (
          { other.vm.c_str (), other.zone.c_str (), other.region.c_str () });
    mb_set_assignment (node.table, 1, members.data (), members.size (),
                       Local (i));
    mb_set_config (node.table, node.known_now, node.in_force, Local (i));
    Tick (i, node.incarnation);
  }

  /* Node I learns of VERSION, and applies it unless it only hears of it.  */
  void
  Learn (int i, uint64_t version, bool apply)
  {
    Node &node = nodes[i];

    if (version > node.known_now)
      {
        node.known_now = version;
        node.known.push_back ({ now, version });
      }
    if (apply)
      node.in_force = std::max (node.in_force, version);
    mb_set_config (node.table, node.known_now, node.in_force, Local (i));
  }

  void
  Deliver (int i, uint64_t incarnation, std::function<void ()> run)
  {
    Node &node = nodes[i];

    if (!node.alive || node.incarnation != incarnation)
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
        Deliver (i, nodes[i].incarnation, run);
    });
  }

  void
  CutZone (int zone, bool cut)
  {
    for (size_t other = 0; other < cut_.size (); other++)
      if ((int)other != zone)
        cut_[zone][other] = cut_[other][zone] = cut;
  }

  void
  CutZones (int a, int b, bool cut)
  {
    if (a != b)
      cut_[a][b] = cut_[b][a] = cut;
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

  int64_t now = kStart;
  std::vector<Node> nodes;
  std::string fault;
  int loss_permille = 0, late_permille = 0;
  int64_t delay_us = 12 * kMs;
  bool busy = false; /* loads, quotas and targets change all the time */
  int targets = 0;
  bool fetch = false; /* members fetch what they hear of */
  bool watch_fresh = false;

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
  At (int64_t delay, std::function<void ()> run)
  {
    events_.push ({ now + delay, order_++, std::move (run) });
  }

  int
  Find (const char *vm) const
  {
    int i = atoi (vm + strlen ("entry-")) - 1000;
    return i >= 0 && i < count () ? i : -1;
  }

  void
  Transmit (int from, MbMessage *message)
  {
    int to = Find (message->to);
    Peer__Envelope envelope = PEER__ENVELOPE__INIT;
    Peer__Stamp stamp = PEER__STAMP__INIT;

    stamp.wall_ms = kWall + (uint64_t)(now / kMs);
    stamp.count = 3;
    envelope.stamp = &stamp;
    envelope.from_vm = (char *)nodes[from].vm.c_str ();
    envelope.from_incarnation = nodes[from].incarnation;
    envelope.body_case = message->report ? PEER__ENVELOPE__BODY_REPORT
                                         : PEER__ENVELOPE__BODY_DIGEST;
    if (message->report)
      envelope.report = message->report;
    else
      envelope.digest = message->digest;
    auto bytes = std::make_shared<std::vector<uint8_t> > (
        peer__envelope__get_packed_size (&envelope));
    peer__envelope__pack (&envelope, bytes->data ());
    mb_message_clear (message);
    nodes[from].sent_bytes += bytes->size () + 4;
    nodes[from].messages++;
    nodes[to].received_bytes += bytes->size () + 4;
    if (cut_[zone_of_[from]][zone_of_[to]] || Chance (loss_permille))
      return;
    int64_t delay
        = zone_of_[from] == zone_of_[to] ? kMs / 2 : 1 + Below ((int)delay_us);
    if (Chance (late_permille))
      delay += Below (4000) * kMs;
    uint64_t incarnation = nodes[to].incarnation;
    At (delay, [=, this] {
      Deliver (to, incarnation, [=, this] { Receive (to, *bytes); });
    });
  }

  void
  Receive (int i, const std::vector<uint8_t> &bytes)
  {
    Node &node = nodes[i];
    MbMessage answer;
    Peer__Envelope *envelope
        = peer__envelope__unpack (NULL, bytes.size (), bytes.data ());

    ASSERT_NE (envelope, nullptr);
    if (envelope->body_case == PEER__ENVELOPE__BODY_REPORT)
      mb_receive_report (node.table, envelope->from_vm,
                         envelope->from_incarnation, envelope->report,
                         Local (i), &answer);
    else
      mb_receive_digest (node.table, envelope->from_vm,
                         envelope->from_incarnation, envelope->digest,
                         Local (i), &answer);
    peer__envelope__free_unpacked (envelope, NULL);
    if (answer.to[0] != '\0')
      Transmit (i, &answer);
    if (fetch && mb_config_heard (node.table) > node.known_now)
      Learn (i, mb_config_heard (node.table), true);
  }

  void
  Tick (int i, uint64_t incarnation)
  {
    Deliver (i, incarnation, [=, this] {
      Node &node = nodes[i];
      MbMessage message;

      if (busy && now >= node.worked_us + 500 * kMs)
        Work (i);
      while (mb_poll (node.table, Local (i), &message))
        Transmit (i, &message);
      CheckFresh (i);
      int64_t wait = mb_next_us (node.table, Local (i)) - Local (i);
      At (std::clamp (wait, 5 * kMs, 100 * kMs) + Below (2 * kMs),
          [this, i, incarnation] { Tick (i, incarnation); });
    });
  }

  void
  Work (int i)
  {
    Node &node = nodes[i];
    std::vector<MbQuota> quotas;
    std::vector<MbTarget> states;

    node.worked_us = now;
    mb_set_self (node.table, 300 + Below (500), FALSE, node.incarnation,
                 Local (i));
    for (uint32_t id = 1; id <= 4; id++)
      quotas.push_back ({ id, Below (1000) * kMs, Below (1000) * kMs });
    mb_set_quotas (node.table, quotas.data (), quotas.size ());
    for (int k = i; k < targets; k += count ())
      {
        MbTarget state = {};
        g_snprintf (state.target, sizeof state.target, "boards-%03d", k);
        state.healthy = TRUE;
        state.free_slots = Below (4);
        state.held_slots = 3;
        state.warm_permille = 1000;
        states.push_back (state);
      }
    mb_set_targets (node.table, states.data (), states.size (), Local (i));
  }

  /* A fresh member must not miss a version that more than half have known
     for 3 s.  */
  void
  CheckFresh (int i)
  {
    int older = 0;

    if (!watch_fresh || !Fresh (i))
      return;
    for (const Node &node : nodes)
      {
        uint64_t version = 0;
        for (const auto &[at, known] : node.known)
          if (at <= now - 3 * kSecond)
            version = known;
        older += version <= nodes[i].in_force;
      }
    if (2 * older <= count ())
      fault = nodes[i].vm + " is fresh but misses a version of more than half"
              + " at " + std::to_string (now - kStart) + " us";
  }

  std::mt19937_64 random_;
  uint64_t order_ = 0;
  std::vector<int> zone_of_;
  std::vector<std::vector<bool> > cut_;
  std::priority_queue<Event> events_;
};

int
StaleCount (const Fleet &fleet)
{
  int stale = 0;
  for (int i = 0; i < fleet.count (); i++)
    stale += fleet.Runs (i) && !fleet.Fresh (i);
  return stale;
}

/* How many running members don't hold exactly the running ones for live.  */
int
WrongViews (const Fleet &fleet)
{
  int wrong = 0, running = 0;
  std::vector<const MbMember *> live (fleet.count ());

  for (int i = 0; i < fleet.count (); i++)
    running += fleet.Runs (i);
  for (int i = 0; i < fleet.count (); i++)
    if (fleet.Runs (i))
      wrong += (int)mb_live (fleet.nodes[i].table, fleet.Local (i),
                             live.data (), live.size ())
               != running;
  return wrong;
}

struct Size
{
  int members, regions, zones, targets;
};
void
Disturb (Fleet &fleet)
{
  int i = fleet.Below (fleet.count ()), zone = fleet.Below (6);

  switch (fleet.Below (8))
    {
    case 0:
      fleet.nodes[i].alive = false;
      break;
    case 1:
      if (!fleet.nodes[i].alive)
        fleet.Start (i);
      break;
    case 2:
      if (fleet.Runs (i))
        fleet.Pause (i, fleet.Below (6000) * kMs);
      break;
    case 3:
      fleet.CutZone (zone, fleet.Chance (500));
      break;
    case 4:
      fleet.CutZones (zone, fleet.Below (6), fleet.Chance (500));
      break;
    case 5:
      fleet.loss_permille = fleet.Below (3) * 150;
      fleet.late_permille = fleet.Below (3) * 150;
      fleet.delay_us = (1 + fleet.Below (300)) * kMs;
      break;
    default:
      /* A writer and those it reaches.  */
      uint64_t version = 0;
      for (const Node &node : fleet.nodes)
        version = std::max (version, node.known_now);
      for (int k = fleet.Below (fleet.count ()); k >= 0; k--)
        fleet.Learn (fleet.Below (fleet.count ()), version + 1,
                     fleet.Chance (800));
      break;
    }
}
}

/* Guards against a daemon that serves a withdrawn key because it takes late
   or relayed messages for young ones.  */
TEST (MemberSchedule, FreshNeverMissesWhatMoreThanHalfKnow)
{
  const char *text = getenv ("MB_SEED");
  uint64_t only = text == nullptr ? 0 : strtoull (text, nullptr, 10);

  for (uint64_t seed = only ? only : 1; seed <= (only ? only : 150); seed++)
    {
      std::mt19937_64 random (seed);
      Fleet fleet (seed, 3 + (int)(random () % 18), 3, 6);

      fleet.watch_fresh = true;
      fleet.fetch = random () % 2 == 0;
      fleet.Run (5 * kSecond);
      for (int step = 0; step < 25 && fleet.fault.empty (); step++)
        {
          Disturb (fleet);
          fleet.Run (fleet.Below (1000) * kMs);
        }
      ASSERT_EQ (fleet.fault, "") << "seed " << seed;
    }
}

namespace
{
/* No member may become stale meanwhile.  */
void
Measure (Fleet &fleet, const Size &size)
{
  const int seconds = 10;
  uint64_t worst = 0, sum = 0, messages = 0;

  for (Node &node : fleet.nodes)
    node.sent_bytes = node.received_bytes = node.messages = 0;
  for (int k = 0; k < 5 * seconds; k++)
    {
      fleet.Run (kSecond / 5);
      ASSERT_EQ (StaleCount (fleet), 0) << size.members << " members";
    }
  for (const Node &node : fleet.nodes)
    {
      uint64_t bytes = node.sent_bytes + node.received_bytes;
      worst = std::max (worst, bytes);
      sum += bytes;
      messages += node.messages;
    }
  printf ("%d members, %d zones: mean %.0f B/s, worst %.0f B/s sent and "
          "received, %.1f messages/s sent by each\n",
          size.members, size.zones, (double)sum / size.members / seconds,
          (double)worst / seconds, (double)messages / size.members / seconds);
  EXPECT_LE (worst / seconds, 11000u);
}

void
SpreadVersion (Fleet &fleet, const Size &size)
{
  int64_t known = 0, from = fleet.now;

  fleet.Learn (1, 2, true);
  for (int k = 0; k < 30 && known < size.members; k++)
    {
      fleet.Run (kSecond / 10);
      known = std::count_if (fleet.nodes.begin (), fleet.nodes.end (),
                             [] (const Node &n) { return n.in_force == 2; });
    }
  printf ("  a version reaches all in %d ms\n",
          (int)((fleet.now - from) / kMs));
  EXPECT_EQ (known, size.members);
  fleet.Run (3 * kSecond);
  EXPECT_EQ (mb_config_acked_count (fleet.nodes[1].table, 2, fleet.Local (1)),
             (uint32_t)size.members);
}

void
DrainTarget (Fleet &fleet, const Size &size)
{
  MbTarget state = {};
  int knowing = 0;

  g_strlcpy (state.target, "boards-005", sizeof state.target);
  state.healthy = state.draining = TRUE;
  fleet.busy = false;
  mb_set_targets (fleet.nodes[5].table, &state, 1, fleet.Local (5));
  fleet.Run (2 * kSecond);
  for (int i = 0; i < fleet.count (); i++)
    {
      MbTarget seen;
      int64_t age;
      knowing += mb_target (fleet.nodes[i].table, "boards-005",
                            fleet.Local (i), &seen, &age)
                 && seen.draining;
    }
  EXPECT_EQ (knowing, size.members);
}

void
KillOne (Fleet &fleet, int i)
{
  int64_t from = fleet.now;

  fleet.nodes[i].alive = false;
  while (WrongViews (fleet) > 0 && fleet.now < from + 10 * kSecond)
    fleet.Run (kSecond / 5);
  printf ("  a death reaches all in %d ms\n", (int)((fleet.now - from) / kMs));
  EXPECT_LE (fleet.now - from, 5 * kSecond);
  EXPECT_EQ (StaleCount (fleet), 0);
}

void
CutAndHeal (Fleet &fleet)
{
  fleet.CutZone (0, true);
  fleet.Run (5 * kSecond);
  for (int i = 0; i < fleet.count (); i++)
    {
      bool cut = fleet.nodes[i].zone == "zone-100";
      if (!fleet.nodes[i].alive)
        continue;
      EXPECT_EQ (fleet.Fresh (i), !cut) << fleet.nodes[i].vm;
      EXPECT_EQ (mb_has_majority (fleet.nodes[i].table, fleet.Local (i)),
                 !cut);
    }
  fleet.CutZone (0, false);
  fleet.Run (12 * kSecond);
  EXPECT_EQ (StaleCount (fleet), 0);
}

void
LoseRegionHub (Fleet &fleet, const Size &size)
{
  int64_t stale_samples = 0;

  for (int i = 0; i < fleet.count (); i++)
    if (fleet.Runs (i) && fleet.nodes[i].region == "region-0"
        && mb_is_region_hub (fleet.nodes[i].table, fleet.Local (i)))
      {
        fleet.nodes[i].alive = false;
        break;
      }
  for (int k = 0; k < 50; k++)
    {
      fleet.Run (kSecond / 10);
      stale_samples += StaleCount (fleet);
    }
  printf (
      "  loss of a region's hub leaves each stale for %.0f ms on average\n",
      (double)stale_samples * 100 / size.members);
  EXPECT_EQ (StaleCount (fleet), 0);
}

void
LifeOfFleet (const Size &size)
{
  Fleet fleet (1, size.members, size.regions, size.zones);

  fleet.busy = fleet.fetch = true;
  fleet.targets = size.targets;
  fleet.Run (30 * kSecond);
  EXPECT_EQ (WrongViews (fleet), 0);
  Measure (fleet, size);
  SpreadVersion (fleet, size);
  DrainTarget (fleet, size);
  KillOne (fleet, size.members / 2);
  CutAndHeal (fleet);
  LoseRegionHub (fleet, size);
}
}

/* The three guard against a control plane whose cost grows with the fleet, and
   at that cost: against stale members, a writer that waits for
   acknowledgements that never arrive, new work for a leaving target after 2 s,
   look-ups that name a dead VM, a cut-off zone that stays fresh, and a
   majority that doesn't.  */
TEST (Member, SevenMembers) { LifeOfFleet ({ 7, 3, 6, 26 }); }

TEST (Member, FiftySixMembers) { LifeOfFleet ({ 56, 3, 6, 56 }); }

TEST (Member, FiveHundredAndSeventyMembers)
{
  LifeOfFleet ({ 570, 6, 18, 140 });
}

/* Guards against successors in the own zone and against suspects that nobody
   reads.  */
TEST (Member, SuccessorsAndSuspects)
{
  Fleet fleet (5, 12, 3, 6);
  const MbMember *members[12];
  uint32_t ranks[12];
  int first = 0;

  fleet.Run (10 * kSecond);
  ASSERT_EQ (
      mb_successors (fleet.nodes[0].table, fleet.Local (0), members, 12), 11u);
  EXPECT_STREQ (members[0]->zone, "zone-101");
  EXPECT_STREQ (members[10]->zone, "zone-100");
  fleet.nodes[3].alive = false;
  fleet.Run (8 * kSecond);
  for (int i = 0; i < 12; i++)
    if (i != 3)
      {
        ASSERT_EQ (mb_suspects (fleet.nodes[i].table, fleet.Local (i), members,
                                ranks, 12),
                   1u);
        EXPECT_EQ (fleet.nodes[3].vm, members[0]->vm);
        first += ranks[0] == 0;
      }
  EXPECT_EQ (first, 1);
}
