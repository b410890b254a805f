/* MB_SEED=n in the environment runs the fault schedule of that seed only.  */

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
constexpr int64_t kStartUs = 1000 * kSecond;
constexpr uint64_t kWallMs = 1764835200000;

struct Daemon
{
  std::string vm, zone, region, http_address, peer_address;
  MbTable *table = nullptr;
  bool running = true;
  int64_t paused_until_us = 0;
  int64_t clock_offset_us = 0; /* of its clock from the fleet's */
  uint64_t incarnation = 0;
  uint64_t sent_bytes = 0, received_bytes = 0, messages = 0;
  std::vector<std::pair<int64_t, uint64_t> >
      known_versions; /* time at which it learned of the version, version */
  uint64_t known_version = 1, in_force_version = 1;
  int64_t load_changed_us = 0;
  std::vector<std::function<void ()> > deferred; /* until its pause ends */
};

class Fleet
{
public:
  Fleet (uint64_t seed, int count, int regions, int zones) : random_ (seed)
  {
    daemons.resize (count);
    for (int i = 0; i < count; i++)
      {
        Daemon &daemon = daemons[i];
        int zone = i % zones;

        daemon.vm = "entry-" + std::to_string (1000 + i);
        daemon.zone = "zone-" + std::to_string (100 + zone);
        daemon.region = "region-" + std::to_string (zone % regions);
        daemon.http_address = "10.1." + std::to_string (i / 250) + "."
                              + std::to_string (i % 250) + ":8001";
        daemon.peer_address = "10.1." + std::to_string (i / 250) + "."
                              + std::to_string (i % 250) + ":9001";
        daemon.clock_offset_us = RandomBelow (1000) * kSecond;
        daemon.known_versions.push_back ({ 0, 1 });
        zone_of_.push_back (zone);
      }
    partitioned_.assign (zones, std::vector<bool> (zones, false));
    for (int i = 0; i < count; i++)
      Start (i);
  }

  ~Fleet ()
  {
    for (Daemon &daemon : daemons)
      mb_free (daemon.table);
  }

  int
  RandomBelow (int n)
  {
    return (int)(random_ () % (uint64_t)n);
  }
  bool
  RandomChance (int permille)
  {
    return RandomBelow (1000) < permille;
  }
  int
  count () const
  {
    return (int)daemons.size ();
  }
  int64_t
  LocalUs (int i) const
  {
    return now_us + daemons[i].clock_offset_us;
  }

  bool
  IsRunning (int i) const
  {
    return daemons[i].running && daemons[i].paused_until_us <= now_us;
  }

  bool
  IsFresh (int i) const
  {
    return mb_is_config_fresh (daemons[i].table, LocalUs (i));
  }

  void
  Start (int i)
  {
    Daemon &daemon = daemons[i];
    MbOptions options = {};
    std::vector<MbAssignedVm> members;

    daemon.running = true;
    daemon.deferred.clear ();
    daemon.paused_until_us = 0;
    daemon.incarnation = kWallMs + (uint64_t)(now_us / kMs);
    options.vm = daemon.vm.c_str ();
    options.zone = daemon.zone.c_str ();
    options.region = daemon.region.c_str ();
    options.http_address = daemon.http_address.c_str ();
    options.peer_address = daemon.peer_address.c_str ();
    options.incarnation = daemon.incarnation;
    mb_free (daemon.table);
    daemon.table = mb_new (&options, LocalUs (i));
    for (const Daemon &other : daemons)
      members.push_back (
          { other.vm.c_str (), other.zone.c_str (), other.region.c_str () });
    mb_set_assignment (daemon.table, 1, members.data (), members.size (),
                       LocalUs (i));
    mb_set_config (daemon.table, daemon.known_version, daemon.in_force_version,
                   LocalUs (i));
    Poll (i, daemon.incarnation);
  }

  /* Makes VERSION known to daemon I, and puts it in force if APPLY is set.  */
  void
  SetVersion (int i, uint64_t version, bool apply)
  {
    Daemon &daemon = daemons[i];

    if (version > daemon.known_version)
      {
        daemon.known_version = version;
        daemon.known_versions.push_back ({ now_us, version });
      }
    if (apply)
      daemon.in_force_version = std::max (daemon.in_force_version, version);
    mb_set_config (daemon.table, daemon.known_version, daemon.in_force_version,
                   LocalUs (i));
  }

  /* Calls RUN, at the end of the pause if daemon I is paused, unless it has
     stopped or isn't of INCARNATION any more.  */
  void
  Deliver (int i, uint64_t incarnation, std::function<void ()> run)
  {
    Daemon &daemon = daemons[i];

    if (!daemon.running || daemon.incarnation != incarnation)
      return;
    if (daemon.paused_until_us > now_us)
      daemon.deferred.push_back (std::move (run));
    else
      run ();
  }

  void
  Pause (int i, int64_t us)
  {
    daemons[i].paused_until_us = now_us + us;
    Schedule (us, [this, i] {
      std::vector<std::function<void ()> > deferred;
      deferred.swap (daemons[i].deferred);
      for (auto &run : deferred)
        Deliver (i, daemons[i].incarnation, run);
    });
  }

  void
  PartitionZone (int zone, bool partitioned)
  {
    for (size_t other = 0; other < partitioned_.size (); other++)
      if ((int)other != zone)
        partitioned_[zone][other] = partitioned_[other][zone] = partitioned;
  }

  void
  PartitionZones (int a, int b, bool partitioned)
  {
    if (a != b)
      partitioned_[a][b] = partitioned_[b][a] = partitioned;
  }

  void
  Run (int64_t us)
  {
    int64_t end = now_us + us;

    while (!events_.empty () && events_.top ().at <= end && failure.empty ())
      {
        auto run = events_.top ().run;
        now_us = events_.top ().at;
        events_.pop ();
        run ();
      }
    now_us = end;
  }

  int64_t now_us = kStartUs;
  std::vector<Daemon> daemons;
  std::string failure;
  int loss_permille = 0, extra_delay_permille = 0;
  int64_t delay_us = 12 * kMs;
  bool vary_load = false; /* loads, quotas and targets keep changing */
  int target_count = 0;
  bool fetch_versions = false; /* daemons apply versions that others report */
  bool check_freshness = false;

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
  Schedule (int64_t delay, std::function<void ()> run)
  {
    events_.push ({ now_us + delay, order_++, std::move (run) });
  }

  int
  DaemonIndex (const char *vm) const
  {
    int i = atoi (vm + strlen ("entry-")) - 1000;
    return i >= 0 && i < count () ? i : -1;
  }

  void
  Send (int from, MbMessage *message)
  {
    int to = DaemonIndex (message->to);
    Peer__Envelope envelope = PEER__ENVELOPE__INIT;
    Peer__Stamp stamp = PEER__STAMP__INIT;

    stamp.wall_ms = kWallMs + (uint64_t)(now_us / kMs);
    stamp.count = 3;
    envelope.stamp = &stamp;
    envelope.from_vm = (char *)daemons[from].vm.c_str ();
    envelope.from_incarnation = daemons[from].incarnation;
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
    daemons[from].sent_bytes += bytes->size () + 4;
    daemons[from].messages++;
    daemons[to].received_bytes += bytes->size () + 4;
    if (partitioned_[zone_of_[from]][zone_of_[to]]
        || RandomChance (loss_permille))
      return;
    int64_t delay = zone_of_[from] == zone_of_[to]
                        ? kMs / 2
                        : 1 + RandomBelow ((int)delay_us);
    if (RandomChance (extra_delay_permille))
      delay += RandomBelow (4000) * kMs;
    uint64_t incarnation = daemons[to].incarnation;
    Schedule (delay, [=, this] {
      Deliver (to, incarnation, [=, this] { Receive (to, *bytes); });
    });
  }

  void
  Receive (int i, const std::vector<uint8_t> &bytes)
  {
    Daemon &daemon = daemons[i];
    MbMessage reply;
    Peer__Envelope *envelope
        = peer__envelope__unpack (NULL, bytes.size (), bytes.data ());

    ASSERT_NE (envelope, nullptr);
    if (envelope->body_case == PEER__ENVELOPE__BODY_REPORT)
      mb_receive_report (daemon.table, envelope->from_vm,
                         envelope->from_incarnation, envelope->report,
                         LocalUs (i), &reply);
    else
      mb_receive_digest (daemon.table, envelope->from_vm,
                         envelope->from_incarnation, envelope->digest,
                         LocalUs (i), &reply);
    peer__envelope__free_unpacked (envelope, NULL);
    if (reply.to[0] != '\0')
      Send (i, &reply);
    if (fetch_versions
        && mb_latest_config_version (daemon.table) > daemon.known_version)
      SetVersion (i, mb_latest_config_version (daemon.table), true);
  }

  void
  Poll (int i, uint64_t incarnation)
  {
    Deliver (i, incarnation, [=, this] {
      Daemon &daemon = daemons[i];
      MbMessage message;

      if (vary_load && now_us >= daemon.load_changed_us + 500 * kMs)
        ChangeLoad (i);
      while (mb_poll (daemon.table, LocalUs (i), &message))
        Send (i, &message);
      CheckFreshness (i);
      int64_t wait = mb_next_poll_us (daemon.table, LocalUs (i)) - LocalUs (i);
      Schedule (std::clamp (wait, 5 * kMs, 100 * kMs) + RandomBelow (2 * kMs),
                [this, i, incarnation] { Poll (i, incarnation); });
    });
  }

  void
  ChangeLoad (int i)
  {
    Daemon &daemon = daemons[i];
    std::vector<MbQuotaDemand> quotas;
    std::vector<MbTargetState> states;

    daemon.load_changed_us = now_us;
    mb_set_own_state (daemon.table, 300 + RandomBelow (500), FALSE,
                      daemon.incarnation, LocalUs (i));
    for (uint32_t id = 1; id <= 4; id++)
      quotas.push_back (
          { id, RandomBelow (1000) * kMs, RandomBelow (1000) * kMs });
    mb_set_quotas (daemon.table, quotas.data (), quotas.size ());
    for (int k = i; k < target_count; k += count ())
      {
        MbTargetState state = {};
        g_snprintf (state.target, sizeof state.target, "boards-%03d", k);
        state.healthy = TRUE;
        state.free_slots = RandomBelow (4);
        state.held_slots = 3;
        state.warm_permille = 1000;
        states.push_back (state);
      }
    mb_set_targets (daemon.table, states.data (), states.size (), LocalUs (i));
  }

  /* A fresh daemon must not lack a version that more than half have known
     for 3 s.  */
  void
  CheckFreshness (int i)
  {
    int older_count = 0;

    if (!check_freshness || !IsFresh (i))
      return;
    for (const Daemon &daemon : daemons)
      {
        uint64_t version = 0;
        for (const auto &[at, known] : daemon.known_versions)
          if (at <= now_us - 3 * kSecond)
            version = known;
        older_count += version <= daemons[i].in_force_version;
      }
    if (2 * older_count <= count ())
      failure = daemons[i].vm
                + " is fresh but misses a version that more than half know"
                + " at " + std::to_string (now_us - kStartUs) + " us";
  }

  std::mt19937_64 random_;
  uint64_t order_ = 0;
  std::vector<int> zone_of_;
  std::vector<std::vector<bool> > partitioned_;
  std::priority_queue<Event> events_;
};

int
CountStale (const Fleet &fleet)
{
  int stale = 0;
  for (int i = 0; i < fleet.count (); i++)
    stale += fleet.IsRunning (i) && !fleet.IsFresh (i);
  return stale;
}

/* Number of running daemons whose count of live members isn't the number of
   running daemons.  */
int
CountWrongLiveSets (const Fleet &fleet)
{
  int wrong = 0, running_count = 0;
  std::vector<const MbMember *> live (fleet.count ());

  for (int i = 0; i < fleet.count (); i++)
    running_count += fleet.IsRunning (i);
  for (int i = 0; i < fleet.count (); i++)
    if (fleet.IsRunning (i))
      wrong += (int)mb_live_members (fleet.daemons[i].table, fleet.LocalUs (i),
                                     live.data (), live.size ())
               != running_count;
  return wrong;
}

struct FleetSize
{
  int members, regions, zones, target_count;
};

void
InjectFault (Fleet &fleet)
{
  int i = fleet.RandomBelow (fleet.count ()), zone = fleet.RandomBelow (6);

  switch (fleet.RandomBelow (8))
    {
    case 0:
      fleet.daemons[i].running = false;
      break;
    case 1:
      if (!fleet.daemons[i].running)
        fleet.Start (i);
      break;
    case 2:
      if (fleet.IsRunning (i))
        fleet.Pause (i, fleet.RandomBelow (6000) * kMs);
      break;
    case 3:
      fleet.PartitionZone (zone, fleet.RandomChance (500));
      break;
    case 4:
      fleet.PartitionZones (zone, fleet.RandomBelow (6),
                            fleet.RandomChance (500));
      break;
    case 5:
      fleet.loss_permille = fleet.RandomBelow (3) * 150;
      fleet.extra_delay_permille = fleet.RandomBelow (3) * 150;
      fleet.delay_us = (1 + fleet.RandomBelow (300)) * kMs;
      break;
    default:
      /* A new version, and the daemons that receive it from its writer.  */
      uint64_t version = 0;
      for (const Daemon &daemon : fleet.daemons)
        version = std::max (version, daemon.known_version);
      for (int k = fleet.RandomBelow (fleet.count ()); k >= 0; k--)
        fleet.SetVersion (fleet.RandomBelow (fleet.count ()), version + 1,
                          fleet.RandomChance (800));
      break;
    }
}
}

/* Guards against a daemon that serves a revoked key because it underestimates
   the age of delayed or relayed messages.  */
TEST (MemberSchedule, FreshDaemonHasVersionKnownToMajority)
{
  const char *seed_text = getenv ("MB_SEED");
  uint64_t single_seed
      = seed_text == nullptr ? 0 : strtoull (seed_text, nullptr, 10);

  for (uint64_t seed = single_seed ? single_seed : 1;
       seed <= (single_seed ? single_seed : 150); seed++)
    {
      std::mt19937_64 random (seed);
      Fleet fleet (seed, 3 + (int)(random () % 18), 3, 6);

      fleet.check_freshness = true;
      fleet.fetch_versions = random () % 2 == 0;
      fleet.Run (5 * kSecond);
      for (int step = 0; step < 25 && fleet.failure.empty (); step++)
        {
          InjectFault (fleet);
          fleet.Run (fleet.RandomBelow (1000) * kMs);
        }
      ASSERT_EQ (fleet.failure, "") << "seed " << seed;
    }
}

namespace
{
/* Prints the traffic per daemon; none may become stale meanwhile.  */
void
MeasureTraffic (Fleet &fleet, const FleetSize &size)
{
  const int seconds = 10;
  uint64_t worst_bytes = 0, sum = 0, messages = 0;

  for (Daemon &daemon : fleet.daemons)
    daemon.sent_bytes = daemon.received_bytes = daemon.messages = 0;
  for (int k = 0; k < 5 * seconds; k++)
    {
      fleet.Run (kSecond / 5);
      ASSERT_EQ (CountStale (fleet), 0) << size.members << " members";
    }
  for (const Daemon &daemon : fleet.daemons)
    {
      uint64_t bytes = daemon.sent_bytes + daemon.received_bytes;
      worst_bytes = std::max (worst_bytes, bytes);
      sum += bytes;
      messages += daemon.messages;
    }
  printf ("%d members, %d zones: mean %.0f B/s, worst %.0f B/s sent and "
          "received, %.1f messages/s sent by each\n",
          size.members, size.zones, (double)sum / size.members / seconds,
          (double)worst_bytes / seconds,
          (double)messages / size.members / seconds);
  EXPECT_LE (worst_bytes / seconds, 11000u);
}

void
CheckVersionSpread (Fleet &fleet, const FleetSize &size)
{
  int64_t known_count = 0, start_us = fleet.now_us;

  fleet.SetVersion (1, 2, true);
  for (int k = 0; k < 30 && known_count < size.members; k++)
    {
      fleet.Run (kSecond / 10);
      known_count = std::count_if (
          fleet.daemons.begin (), fleet.daemons.end (),
          [] (const Daemon &daemon) { return daemon.in_force_version == 2; });
    }
  printf ("  a version reaches all members in %d ms\n",
          (int)((fleet.now_us - start_us) / kMs));
  EXPECT_EQ (known_count, size.members);
  fleet.Run (3 * kSecond);
  EXPECT_EQ (
      mb_config_acked_count (fleet.daemons[1].table, 2, fleet.LocalUs (1)),
      (uint32_t)size.members);
}

void
CheckTargetDrain (Fleet &fleet, const FleetSize &size)
{
  MbTargetState state = {};
  int informed_count = 0;

  g_strlcpy (state.target, "boards-005", sizeof state.target);
  state.healthy = state.draining = TRUE;
  fleet.vary_load = false;
  mb_set_targets (fleet.daemons[5].table, &state, 1, fleet.LocalUs (5));
  fleet.Run (2 * kSecond);
  for (int i = 0; i < fleet.count (); i++)
    {
      MbTargetState seen;
      int64_t age;
      informed_count += mb_target_state (fleet.daemons[i].table, "boards-005",
                                         fleet.LocalUs (i), &seen, &age)
                        && seen.draining;
    }
  EXPECT_EQ (informed_count, size.members);
}

void
CheckDaemonFailure (Fleet &fleet, int i)
{
  int64_t start_us = fleet.now_us;

  fleet.daemons[i].running = false;
  while (CountWrongLiveSets (fleet) > 0
         && fleet.now_us < start_us + 10 * kSecond)
    fleet.Run (kSecond / 5);
  printf ("  all members detect a daemon's failure in %d ms\n",
          (int)((fleet.now_us - start_us) / kMs));
  EXPECT_LE (fleet.now_us - start_us, 5 * kSecond);
  EXPECT_EQ (CountStale (fleet), 0);
}

void
CheckZonePartition (Fleet &fleet)
{
  fleet.PartitionZone (0, true);
  fleet.Run (5 * kSecond);
  for (int i = 0; i < fleet.count (); i++)
    {
      bool partitioned = fleet.daemons[i].zone == "zone-100";
      if (!fleet.daemons[i].running)
        continue;
      EXPECT_EQ (fleet.IsFresh (i), !partitioned) << fleet.daemons[i].vm;
      EXPECT_EQ (mb_has_majority (fleet.daemons[i].table, fleet.LocalUs (i)),
                 !partitioned);
    }
  fleet.PartitionZone (0, false);
  fleet.Run (12 * kSecond);
  EXPECT_EQ (CountStale (fleet), 0);
}

void
CheckRegionHubFailure (Fleet &fleet, const FleetSize &size)
{
  int64_t stale_samples = 0;

  for (int i = 0; i < fleet.count (); i++)
    if (fleet.IsRunning (i) && fleet.daemons[i].region == "region-0"
        && mb_is_region_hub (fleet.daemons[i].table, fleet.LocalUs (i)))
      {
        fleet.daemons[i].running = false;
        break;
      }
  for (int k = 0; k < 50; k++)
    {
      fleet.Run (kSecond / 10);
      stale_samples += CountStale (fleet);
    }
  printf (
      "  after the loss of a region's hub a member is stale for %.0f ms on "
      "average\n",
      (double)stale_samples * 100 / size.members);
  EXPECT_EQ (CountStale (fleet), 0);
}

void
RunFleetScenario (const FleetSize &size)
{
  Fleet fleet (1, size.members, size.regions, size.zones);

  fleet.vary_load = fleet.fetch_versions = true;
  fleet.target_count = size.target_count;
  fleet.Run (30 * kSecond);
  EXPECT_EQ (CountWrongLiveSets (fleet), 0);
  MeasureTraffic (fleet, size);
  CheckVersionSpread (fleet, size);
  CheckTargetDrain (fleet, size);
  CheckDaemonFailure (fleet, size.members / 2);
  CheckZonePartition (fleet);
  CheckRegionHubFailure (fleet, size);
}
}

/* The next three tests guard against traffic per member that grows with the
   size of the fleet, and, within that limit of traffic, against members that
   become stale, a writer that waits for acknowledgements that never arrive,
   new requests for a draining target after 2 s, lookups that return a failed
   VM, a partitioned zone that stays fresh, and a majority that doesn't.  */
TEST (Member, SevenMembers) { RunFleetScenario ({ 7, 3, 6, 26 }); }

TEST (Member, FiftySixMembers) { RunFleetScenario ({ 56, 3, 6, 56 }); }

TEST (Member, FiveHundredAndSeventyMembers)
{
  RunFleetScenario ({ 570, 6, 18, 140 });
}

/* Guards against a lease's successor in the holder's own zone, and against
   suspects whose lease record no daemon reads, as none has rank 0.  */
TEST (Member, SuccessorsAndSuspects)
{
  Fleet fleet (5, 12, 3, 6);
  const MbMember *members[12];
  uint32_t ranks[12];
  int first_rank_count = 0;

  fleet.Run (10 * kSecond);
  ASSERT_EQ (
      mb_successors (fleet.daemons[0].table, fleet.LocalUs (0), members, 12),
      11u);
  EXPECT_STREQ (members[0]->zone, "zone-101");
  EXPECT_STREQ (members[10]->zone, "zone-100");
  fleet.daemons[3].running = false;
  fleet.Run (8 * kSecond);
  for (int i = 0; i < 12; i++)
    if (i != 3)
      {
        ASSERT_EQ (mb_suspects (fleet.daemons[i].table, fleet.LocalUs (i),
                                members, ranks, 12),
                   1u);
        EXPECT_EQ (fleet.daemons[3].vm, members[0]->vm);
        first_rank_count += ranks[0] == 0;
      }
  EXPECT_EQ (first_rank_count, 1);
}

namespace
{
struct Counts
{
  uint32_t successors, suspects;
};

/* Counts at daemon I, of which the fleet's other members are running.  */
Counts
CountCandidates (const Fleet &fleet, int i)
{
  std::vector<const MbMember *> members (fleet.count ());
  std::vector<uint32_t> ranks (fleet.count ());
  const MbTable *table = fleet.daemons[i].table;

  return { mb_successors (table, fleet.LocalUs (i), members.data (),
                          fleet.count ()),
           mb_suspects (table, fleet.LocalUs (i), members.data (),
                        ranks.data (), fleet.count ()) };
}

/* Polls daemon I, which the fleet has paused, and drops its messages.  */
void
PollPaused (Fleet &fleet, int i)
{
  MbMessage message;

  while (mb_poll (fleet.daemons[i].table, fleet.LocalUs (i), &message))
    mb_message_clear (&message);
}
}

/* Guards against a daemon that was paused and takes all others for silent
   before it has received what they sent meanwhile: it then reads their leases,
   reports them as silent and writes its own lease without a successor.  The
   messages are received after the second poll, as by an event loop that runs
   timers before it handles input.  */
TEST (Member, PausedDaemonSuspectsNoneBeforeItHasReceived)
{
  Fleet fleet (5, 12, 3, 6);

  fleet.Run (10 * kSecond);
  for (int i = 0; i < fleet.count (); i++)
    {
      fleet.Pause (i, 3 * kSecond);
      fleet.Run (2900 * kMs);
      for (int polls = 0; polls < 3; polls++)
        {
          Counts counts = CountCandidates (fleet, i);

          EXPECT_EQ (11u, counts.successors) << i << ", polls " << polls;
          EXPECT_EQ (0u, counts.suspects) << i << ", polls " << polls;
          fleet.Run (20 * kMs);
          if (polls < 2)
            PollPaused (fleet, i);
        }
      fleet.Run (5 * kSecond);
    }
}

/* Guards against a daemon that runs every 0.6 s only and never notices that
   the others have stopped.  */
TEST (Member, SlowDaemonNoticesSilence)
{
  Fleet fleet (5, 12, 3, 6);
  int64_t silent_us = MB_SILENCE_TIMEOUT_US;

  fleet.Run (10 * kSecond);
  for (int i = 1; i < fleet.count (); i++)
    fleet.daemons[i].running = false;
  fleet.Pause (0, 60 * kSecond);
  /* The members of its zone, the hubs of its region, then other regions.  */
  for (int64_t us = 0; us < 3 * silent_us + 3 * 600 * kMs; us += 600 * kMs)
    {
      fleet.Run (600 * kMs);
      PollPaused (fleet, 0);
    }
  Counts counts = CountCandidates (fleet, 0);
  EXPECT_EQ (0u, counts.successors);
  EXPECT_EQ (11u, counts.suspects);
}
