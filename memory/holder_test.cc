#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <random>
#include <vector>

extern "C"
{
#include "memory/holder.h"
}

namespace
{

constexpr uint64_t kLimit = 1000;
constexpr int64_t kGrace = MM_HOLDER_GRACE_US;

struct Schedule;

/* A connection as the model of the test sees it.  */
struct Peer
{
  Schedule *schedule;
  MmHolder *holder = nullptr;
  uint64_t bytes = 0;
  uint8_t address[16] = {};
  bool is_busy = false;
  bool reads = false;
  int64_t progress_us = 0;
};

struct Schedule
{
  MmHolders *holders = nullptr;
  std::vector<std::unique_ptr<Peer> > peers;
  int64_t now_us = 0;
  Peer *growing = nullptr;
  /* Of the call in progress.  */
  uint8_t asking = 0;
  uint64_t asked_bytes = 0;
  int closed_count = 0;
  int displaced_count = 0;

  Schedule (uint32_t count_max, uint32_t address_count_max)
  {
    MmHolderOptions options = {};
    options.limit_bytes = kLimit;
    options.count_max = count_max;
    options.address_count_max = address_count_max;
    options.close = [] (void *owner) {
      Peer *peer = (Peer *)owner;
      peer->schedule->OnClose (peer);
    };
    holders = mm_holders_new (&options);
  }

  ~Schedule ()
  {
    while (!peers.empty ())
      Remove (peers.back ().get ());
    EXPECT_EQ (mm_holders_counters (holders)->used_bytes, 0u);
    mm_holders_free (holders);
  }

  /* Silent peers by the model, the one that the package must close first in
     front.  */
  int64_t
  OldestSilentUs ()
  {
    int64_t oldest_us = INT64_MAX;
    for (auto &peer : peers)
      if (!peer->is_busy && !peer->reads)
        oldest_us = std::min (oldest_us, peer->progress_us);
    return oldest_us;
  }

  uint64_t
  BytesOf (uint8_t address)
  {
    uint64_t sum = 0;
    for (auto &peer : peers)
      sum += peer->address[15] == address ? peer->bytes : 0;
    return sum;
  }

  uint64_t
  CountOf (uint8_t address)
  {
    uint64_t count = 0;
    for (auto &peer : peers)
      count += peer->address[15] == address;
    return count;
  }

  /* Whether PEER is the first of its address to go: that without progress for
     the longest time, or the largest.  */
  bool
  IsFirst (const Peer *peer, bool by_size, bool own)
  {
    for (auto &other : peers)
      {
        if (other.get () == peer || other->is_busy
            || other->address[15] != peer->address[15]
            || (own
                && (other->reads
                    || now_us - other->progress_us < MM_HOLDER_TURN_US)))
          continue;
        if (by_size ? other->bytes > peer->bytes
                          || (other->bytes == peer->bytes
                              && other->progress_us < peer->progress_us)
                    : other->progress_us < peer->progress_us)
          return false;
      }
    return true;
  }

  bool
  IsHeaviest (uint8_t address, bool by_size)
  {
    for (uint8_t other = 0; other < 4; other++)
      if (by_size ? BytesOf (other) > BytesOf (address)
                  : CountOf (other) > CountOf (address))
        return false;
    return true;
  }

  /* Whether PEER may be displaced for the call in progress.  */
  bool
  MayDisplace (const Peer *peer, bool by_size)
  {
    uint8_t address = peer->address[15];
    if (address == asking)
      return !peer->reads && now_us - peer->progress_us >= MM_HOLDER_TURN_US
             && IsFirst (peer, by_size, true);
    return CountOf (address) > 1 && IsHeaviest (address, by_size)
           && IsFirst (peer, by_size, false)
           && (by_size ? BytesOf (address) > BytesOf (asking) + asked_bytes
                       : CountOf (address) > CountOf (asking) + 1);
  }

  void
  OnClose (Peer *peer)
  {
    int64_t oldest_us = OldestSilentUs ();
    bool is_oldest = !peer->reads && peer->progress_us == oldest_us
                     && now_us - oldest_us >= kGrace;
    bool may_displace = MayDisplace (peer, false) || MayDisplace (peer, true);
    EXPECT_NE (peer, growing);
    EXPECT_FALSE (peer->is_busy);
    EXPECT_TRUE (is_oldest || may_displace);
    /* Only where no silent one can go first.  */
    if (!is_oldest)
      {
        EXPECT_TRUE (now_us - oldest_us < kGrace
                     || (growing != nullptr && !growing->reads
                         && growing->progress_us == oldest_us)
                     || peer->address[15] == asking);
        displaced_count++;
      }
    else
      closed_count++;
    Remove (peer);
  }

  void
  Remove (Peer *peer)
  {
    mm_holder_free (peer->holder);
    peers.erase (std::find_if (peers.begin (), peers.end (),
                               [&] (const std::unique_ptr<Peer> &other) {
                                 return other.get () == peer;
                               }));
  }

  Peer *
  Add (uint64_t bytes, uint8_t address = 0)
  {
    auto peer = std::make_unique<Peer> ();
    MmHolderRequest request = {};
    peer->schedule = this;
    /* Of IPv4.  */
    peer->address[10] = peer->address[11] = 0xff;
    peer->address[15] = address;
    request.owner = peer.get ();
    request.address = peer->address;
    request.bytes = bytes;
    request.now_us = now_us;
    asking = address;
    asked_bytes = bytes;
    peer->holder = mm_holder_new (holders, &request);
    if (peer->holder == nullptr)
      return nullptr;
    peer->bytes = bytes;
    peer->progress_us = now_us;
    peers.push_back (std::move (peer));
    return peers.back ().get ();
  }

  bool
  Resize (Peer *peer, uint64_t bytes)
  {
    growing = peer;
    asking = peer->address[15];
    asked_bytes = bytes - std::min (bytes, peer->bytes);
    bool fits = mm_holder_resize (peer->holder, bytes, now_us);
    growing = nullptr;
    if (fits)
      peer->bytes = bytes;
    return fits;
  }

  void
  Shrink (Peer *peer, uint64_t bytes)
  {
    mm_holder_shrink (peer->holder, bytes);
    peer->bytes = std::min (peer->bytes, bytes);
  }

  void
  SetBusy (Peer *peer)
  {
    mm_holder_set_busy (peer->holder);
    peer->is_busy = true;
  }

  void
  SetWaiting (Peer *peer)
  {
    mm_holder_set_waiting (peer->holder, now_us);
    peer->is_busy = false;
    peer->progress_us = now_us;
  }

  void
  NoteRead (Peer *peer)
  {
    mm_holder_note_read (peer->holder, now_us);
    peer->reads = true;
    peer->progress_us = now_us;
  }

  void
  SetStalled (Peer *peer)
  {
    mm_holder_set_stalled (peer->holder);
    peer->reads = false;
  }

  void
  Check (uint32_t count_max, uint32_t address_count_max)
  {
    const MmHolderCounters *counters = mm_holders_counters (holders);
    uint64_t sum = 0;
    uint32_t of_address[4] = {};
    for (auto &peer : peers)
      {
        sum += peer->bytes;
        of_address[peer->address[15]]++;
      }
    ASSERT_EQ (counters->used_bytes, sum);
    ASSERT_LE (counters->peak_bytes, kLimit);
    ASSERT_EQ (counters->count, peers.size ());
    ASSERT_LE (peers.size (), count_max);
    for (uint32_t count : of_address)
      ASSERT_LE (count, address_count_max);
    /* The oldest silent one may also be the one to be displaced.  */
    ASSERT_EQ (counters->closed_count + counters->displaced_count,
               (uint64_t)(closed_count + displaced_count));
    ASSERT_LE (counters->closed_count, (uint64_t)closed_count);
  }
};

/* Guards against a sum above the limit, a holder closed that is busy or is
   neither the first silent one nor that of the address that holds most, and
   one of the own address closed that reads or has not had its turn.  */
TEST (Holder, KeepsItsBoundsUnderRandomSchedules)
{
  uint64_t closed_count = 0;
  uint64_t displaced_count = 0;
  uint64_t refused_counts[MM_REFUSAL_COUNT] = {};

  for (unsigned seed = 0; seed < 10000; seed++)
    {
      std::mt19937 random (seed);
      auto below = [&] (uint32_t n) { return (uint32_t)(random () % n); };
      uint32_t count_max = 4 + below (16);
      uint32_t address_max = 2 + below (count_max);
      Schedule schedule (count_max, address_max);

      for (int step = 0; step < 120; step++)
        {
          schedule.now_us += below (kGrace / 3);
          Peer *peer
              = schedule.peers.empty ()
                    ? nullptr
                    : schedule.peers[below (schedule.peers.size ())].get ();
          uint32_t action = below (9);
          if (action < 2 || peer == nullptr)
            schedule.Add (1 + below (150), (uint8_t)below (4));
          else if (action == 2)
            schedule.Resize (peer, below (400));
          else if (action == 3)
            schedule.SetBusy (peer);
          else if (action == 4)
            schedule.SetWaiting (peer);
          else if (action == 5)
            schedule.NoteRead (peer);
          else if (action == 6)
            schedule.SetStalled (peer);
          else if (action == 7)
            schedule.Shrink (peer, below (400));
          else if (below (4) == 0)
            schedule.Remove (peer);
          schedule.Check (count_max, address_max);
          if (HasFailure ())
            FAIL () << "seed " << seed << " step " << step;
        }
      closed_count += (uint64_t)schedule.closed_count;
      displaced_count += (uint64_t)schedule.displaced_count;
      for (int i = 0; i < MM_REFUSAL_COUNT; i++)
        refused_counts[i]
            += mm_holders_counters (schedule.holders)->refused_counts[i];
    }
  /* The schedules reach each of the bounds.  */
  EXPECT_GT (closed_count, 10000u);
  EXPECT_GT (displaced_count, 10000u);
  for (uint64_t count : refused_counts)
    EXPECT_GT (count, 1000u);
}

/* Guards against a caller that is refused although connections that never
   read could make room, and against closing more of them than needed.  */
TEST (Holder, ClosesTheLongestSilentFirst)
{
  Schedule schedule (10, 10);
  Peer *first = schedule.Add (400);
  schedule.now_us += 10;
  Peer *second = schedule.Add (400);
  schedule.now_us += 10;
  Peer *reader = schedule.Add (200);
  schedule.NoteRead (reader);

  EXPECT_EQ (schedule.Add (100), nullptr);
  schedule.now_us += kGrace;
  schedule.SetWaiting (first);
  schedule.now_us += kGrace;
  EXPECT_TRUE (schedule.Resize (reader, 300));
  EXPECT_EQ (schedule.closed_count, 1);
  EXPECT_EQ (schedule.peers.size (), 2u);
  (void)second;
}

/* Guards against a limit for each address that is no lower than the total and
   keeps silent connections of an address, which all callers may share, from
   being closed for others.  */
TEST (Holder, ClosesForOthersOfTheSameAddress)
{
  Schedule schedule (2, 2);

  schedule.Add (1);
  schedule.Add (1);
  schedule.now_us += kGrace;
  EXPECT_NE (schedule.Add (1), nullptr);
  EXPECT_EQ (schedule.closed_count, 1);
}

/* Guards against a connection that grows at the cost of others although it is
   the first that should be closed.  */
TEST (Holder, RefusesTheLongestSilentItself)
{
  Schedule schedule (10, 10);
  Peer *first = schedule.Add (500);
  schedule.now_us += 10;
  schedule.Add (500);
  schedule.now_us += 2 * kGrace;

  EXPECT_FALSE (schedule.Resize (first, 501));
  EXPECT_EQ (schedule.closed_count, 0);
}

/* Guards against closing connections whose requests run or whose callers
   read.  */
TEST (Holder, RefusesIfAllOthersAreBusyOrRead)
{
  Schedule schedule (10, 10);
  Peer *busy = schedule.Add (500);
  Peer *reader = schedule.Add (500);

  schedule.SetBusy (busy);
  schedule.NoteRead (reader);
  schedule.now_us += 100 * kGrace;
  EXPECT_EQ (schedule.Add (1), nullptr);
  schedule.SetStalled (reader);
  EXPECT_NE (schedule.Add (1), nullptr);
  EXPECT_EQ (schedule.closed_count, 1);
}

/* Guards against an address that keeps others out with holders that are never
   silent for long, as those with a request now and then.  */
TEST (Holder, AddressThatHoldsMostMakesRoomForOthers)
{
  Schedule schedule (4, 4);
  for (int i = 0; i < 4; i++)
    schedule.NoteRead (schedule.Add (1, 1));

  EXPECT_NE (schedule.Add (1, 2), nullptr);
  EXPECT_NE (schedule.Add (1, 3), nullptr);
  EXPECT_EQ (schedule.displaced_count, 2);
  /* Both hold as much then.  */
  EXPECT_EQ (schedule.Add (1, 3), nullptr);
}

/* Guards against a crowd that has just come and keeps out a caller of the same
   address, and against one that is closed before it could send anything.  */
TEST (Holder, LaterHolderOfTheSameAddressGetsItsTurn)
{
  Schedule schedule (100, 100);
  Peer *first = schedule.Add (kLimit / 2);
  schedule.Add (kLimit / 2);

  schedule.now_us += MM_HOLDER_TURN_US - 1;
  EXPECT_EQ (schedule.Add (1), nullptr);
  schedule.SetBusy (first);
  schedule.now_us += 1;
  EXPECT_NE (schedule.Add (1), nullptr);
  EXPECT_EQ (schedule.displaced_count, 1);
  EXPECT_EQ (schedule.peers[0].get (), first);
}

/* Guards against a limit for each address that keeps out callers who share
   one, as behind a gateway, for a crowd of the same address.  */
TEST (Holder, AddressAtItsLimitMakesRoomForItself)
{
  Schedule schedule (10, 2);
  schedule.Add (1, 1);
  schedule.Add (1, 1);
  schedule.Add (1, 2);

  schedule.now_us += MM_HOLDER_TURN_US;
  EXPECT_NE (schedule.Add (1, 1), nullptr);
  EXPECT_EQ (schedule.CountOf (1), 2u);
  EXPECT_EQ (schedule.CountOf (2), 1u);
  EXPECT_EQ (schedule.displaced_count, 1);
}

/* Guards against a host that counts as many addresses, of which its network
   gives it any number.  */
TEST (Holder, NetworkOfIpv6IsOneAddress)
{
  Schedule schedule (10, 2);
  MmHolder *holders[3];
  uint8_t addresses[3][16] = {};
  int owner = 0;

  for (uint8_t i = 0; i < 3; i++)
    {
      MmHolderRequest request = {};
      addresses[i][0] = 0x20;
      addresses[i][15] = i;
      request.owner = &owner;
      request.address = addresses[i];
      request.bytes = 1;
      holders[i] = mm_holder_new (schedule.holders, &request);
    }
  EXPECT_NE (holders[1], nullptr);
  EXPECT_EQ (holders[2], nullptr);
  mm_holder_free (holders[0]);
  mm_holder_free (holders[1]);
}

/* Guards against the only request of a caller closed for a smaller one.  */
TEST (Holder, SingleHolderOfAnAddressIsNotDisplaced)
{
  Schedule schedule (10, 10);
  Peer *large = schedule.Add (kLimit, 1);

  EXPECT_EQ (schedule.Add (1, 2), nullptr);
  schedule.Shrink (large, kLimit - 10);
  schedule.Add (10, 1);
  EXPECT_NE (schedule.Add (1, 2), nullptr);
  EXPECT_EQ (schedule.displaced_count, 1);
}

}
