#include <gtest/gtest.h>

#include <map>
#include <memory>
#include <set>
#include <algorithm>
#include <random>
#include <string>
#include <vector>

extern "C"
{
#include "targets/targets.h"
}

namespace
{

constexpr int64_t kMs = 1000;
constexpr int64_t kSecond = 1000 * kMs;

class Target : public testing::Test
{
protected:
  void
  SetUp () override
  {
    TgOptions options = { "a1", "a", 1 };
    set = tg_new (&options);
    for (const char *zone : { "a1", "a2", "b1" })
      tg_set_cold_share (set, zone, 1.0);
  }

  void
  TearDown () override
  {
    tg_free (set);
  }

  TgEntry
  Entry (const char *id, const char *zone, const char *region)
  {
    TgEntry entry = {};
    entry.id = id;
    entry.address = "10.0.0.1:80";
    entry.service = "boards";
    entry.zone = zone;
    entry.region = region;
    entry.slot_count = 3;
    entry.started_ms = 1000;
    entry.report_number = ++last_report_number;
    return entry;
  }

  void
  AddTarget (const char *id, const char *zone = "a1", const char *region = "a")
  {
    TgEntry entry = Entry (id, zone, region);
    tg_update (set, &entry, now_us);
  }

  TgQuery
  Query (uint64_t object = 0)
  {
    TgQuery query = {};
    query.route = "view";
    query.service = "boards";
    query.object_hash = object;
    query.request_hash = ++request_hash;
    query.cold_per_s = 4;
    query.cold_ms = 3000;
    query.latency_target_us = 250 * kMs;
    query.wait_max_us = 100 * kMs;
    query.in_flight_max = 16;
    return query;
  }

  TgAttempt *
  BeginAttempt (const TgQuery &query)
  {
    TgChoice choice;
    if (tg_pick (set, &query, now_us, &choice) != TG_PICK_FOUND)
      return nullptr;
    return tg_attempt_begin (set, &query, &choice, now_us);
  }

  void
  EndAttempt (TgAttempt *attempt, TgResultKind kind)
  {
    TgResult result = { .kind = kind };
    tg_attempt_end (set, attempt, &result, now_us);
  }

  /* Picks targets for 100 requests over one second; sends and counts those
     to ZONE.  */
  int
  CountSentInOneSecond (const char *zone)
  {
    int count = 0;
    for (int i = 0; i < 100; i++)
      {
        TgQuery query = Query ();
        TgChoice choice;
        now_us += 10 * kMs;
        if (tg_pick (set, &query, now_us, &choice) != TG_PICK_FOUND
            || std::string (tg_zone (choice.target)) != zone)
          continue;
        EndAttempt (tg_attempt_begin (set, &query, &choice, now_us),
                    TG_RESULT_SUCCESS);
        count++;
      }
    return count;
  }

  TgSet *set;
  int64_t now_us = 100 * kSecond;
  uint32_t last_report_number = 0;
  uint64_t request_hash = 0;
};

/* Guards against a crowd that keeps all others out of the targets: of one
   customer, at one address, or both, whose requests fill each place that
   becomes free.  A caller of the same customer at another address, and one of
   another customer at the same address, get a place; so does anybody else
   after them.  */
TEST_F (Target, CrowdOfOneCustomerLeavesPlacesToOthers)
{
  constexpr uint64_t kCrowd = 1, kOther = 2;
  struct
  {
    int64_t wait_max_us;
    uint32_t in_flight_max;
  } const cases[] = { { 100 * kMs, 16 }, { 1000 * kMs, 16 }, { 0, 100 } };
  AddTarget ("t1");
  AddTarget ("t2");
  AddTarget ("t3");
  for (const auto &test_case : cases)
    {
      std::vector<TgAttempt *> attempts;
      auto begin = [&] (uint64_t customer, uint64_t address) {
        TgQuery query = Query ();
        query.customer_hash = customer;
        query.address_hash = address;
        query.wait_max_us = test_case.wait_max_us;
        query.in_flight_max = test_case.in_flight_max;
        TgAttempt *attempt = BeginAttempt (query);
        if (attempt != nullptr)
          attempts.push_back (attempt);
        return attempt != nullptr;
      };
      auto fill = [&] {
        int count = 0;
        while (begin (kCrowd, kCrowd))
          count++;
        return count;
      };
      begin (kOther, kOther);
      begin (kCrowd, kOther);
      EXPECT_GE (fill (), 6);
      TgQuery refused = Query ();
      TgChoice choice;
      refused.customer_hash = refused.address_hash = kCrowd;
      refused.wait_max_us = test_case.wait_max_us;
      refused.in_flight_max = test_case.in_flight_max;
      EXPECT_NE (tg_pick (set, &refused, now_us, &choice), TG_PICK_FOUND);
      EXPECT_EQ (choice.yield_count, 2u);
      for (int round = 0; round < 3; round++)
        {
          EXPECT_TRUE (begin (kCrowd, kOther)) << test_case.wait_max_us;
          EXPECT_TRUE (begin (kOther, kCrowd)) << test_case.wait_max_us;
          EXPECT_TRUE (begin (kOther, kOther)) << test_case.wait_max_us;
          for (int i = 0; i < 6; i++)
            {
              EndAttempt (attempts.front (), TG_RESULT_SUCCESS);
              attempts.erase (attempts.begin ());
            }
          fill ();
        }
      for (TgAttempt *attempt : attempts)
        EndAttempt (attempt, TG_RESULT_SUCCESS);
    }
}

/* Guards against places that are kept free although nobody else asks.  */
TEST_F (Target, CustomerThatIsAloneUsesAllPlaces)
{
  std::vector<TgAttempt *> attempts;
  TgQuery query = Query ();
  query.customer_hash = query.address_hash = 1;
  query.wait_max_us = 10 * kSecond;
  AddTarget ("t1");
  while (TgAttempt *attempt = BeginAttempt (query))
    attempts.push_back (attempt);
  EXPECT_EQ (attempts.size (), query.in_flight_max);
  for (TgAttempt *attempt : attempts)
    EndAttempt (attempt, TG_RESULT_SUCCESS);
}

/* Guards against requests to a target that is draining, was removed, or is in
   an evacuated zone.  */
TEST_F (Target, SkipsDrainingEvacuatedAndRemovedTargets)
{
  TgQuery query = Query ();
  TgChoice choice;
  TgEntry entry = Entry ("t1", "a1", "a");
  AddTarget ("t1");
  EXPECT_EQ (tg_pick (set, &query, now_us, &choice), TG_PICK_FOUND);
  tg_set_evacuated (set, "a1", TRUE, now_us);
  EXPECT_EQ (tg_pick (set, &query, now_us, &choice), TG_PICK_NONE);
  tg_set_evacuated (set, "a1", FALSE, now_us);
  now_us += 5 * kSecond;
  EXPECT_EQ (tg_pick (set, &query, now_us, &choice), TG_PICK_FOUND);
  entry.draining = TRUE;
  entry.report_number = ++last_report_number;
  EXPECT_TRUE (tg_update (set, &entry, now_us));
  EXPECT_EQ (tg_pick (set, &query, now_us, &choice), TG_PICK_NONE);
  EXPECT_TRUE (tg_remove (set, "t1", now_us));
  EXPECT_EQ (tg_count_targets (set, "boards"), 0u);
}

/* Guards against an entry of an earlier incarnation, or one that arrives late,
   overwriting a newer entry.  */
TEST_F (Target, IgnoresOutdatedEntries)
{
  TgQuery query = Query ();
  TgChoice choice;
  TgEntry entry = Entry ("t1", "a1", "a");
  entry.draining = TRUE;
  entry.report_number = 7;
  tg_update (set, &entry, now_us);
  entry.draining = FALSE;
  entry.report_number = 6;
  EXPECT_FALSE (tg_update (set, &entry, now_us));
  EXPECT_EQ (tg_pick (set, &query, now_us, &choice), TG_PICK_NONE);
  entry.started_ms -= 1;
  entry.report_number = 9;
  EXPECT_FALSE (tg_update (set, &entry, now_us));
  EXPECT_EQ (tg_pick (set, &query, now_us, &choice), TG_PICK_NONE);
  entry.started_ms += 2;
  entry.report_number = 1;
  EXPECT_TRUE (tg_update (set, &entry, now_us));
  EXPECT_EQ (tg_pick (set, &query, now_us, &choice), TG_PICK_FOUND);
}

/* Guards against requests to a target that has left, because a store that was
   restored from a copy lists it again, and against ignoring one that runs.  */
TEST_F (Target, IgnoresEntriesFromBeforeItsRemoval)
{
  TgQuery query = Query ();
  TgChoice choice;
  TgEntry entry = Entry ("t1", "a1", "a");
  entry.report_number = 7;
  tg_update (set, &entry, now_us);
  tg_remove (set, "t1", now_us);
  for (uint32_t number : { 6u, 7u })
    {
      entry.report_number = number;
      EXPECT_FALSE (tg_update (set, &entry, now_us));
      EXPECT_EQ (tg_pick (set, &query, now_us, &choice), TG_PICK_NONE);
    }
  entry.report_number = 8;
  EXPECT_TRUE (tg_update (set, &entry, now_us));
  EXPECT_EQ (tg_pick (set, &query, now_us, &choice), TG_PICK_FOUND);
  tg_remove (set, "t1", now_us);
  entry.started_ms += 1;
  entry.report_number = 1;
  EXPECT_TRUE (tg_update (set, &entry, now_us));
  EXPECT_EQ (tg_pick (set, &query, now_us, &choice), TG_PICK_FOUND);
}

/* Guards against forgetting a removal at once where no entry was read for a
   while, as at a daemon that is told the changes only.  */
TEST_F (Target, RemembersARemovalFromWhenItHappens)
{
  TgEntry entry = Entry ("t1", "a1", "a");
  tg_update (set, &entry, now_us);
  now_us += 60 * kSecond;
  tg_remove (set, "t1", now_us);
  now_us += 2 * kSecond;
  EXPECT_FALSE (tg_update (set, &entry, now_us));
}

/* Guards against telling others an earlier entry of a target than the one that
   was read last.  */
TEST_F (Target, KeepsTheLastEntryThatChangedNothing)
{
  TgEntry entry = Entry ("t1", "a1", "a");
  TgEntry last = {};
  tg_update (set, &entry, now_us);
  entry.report_number += 5;
  EXPECT_FALSE (tg_update (set, &entry, now_us));
  ASSERT_TRUE (tg_get_entry (set, "t1", &last));
  EXPECT_EQ (last.report_number, entry.report_number);
  EXPECT_EQ (last.started_ms, entry.started_ms);
  EXPECT_STREQ (last.zone, "a1");
  tg_remove (set, "t1", now_us);
  EXPECT_FALSE (tg_get_entry (set, "t1", &last));
}

/* Guards against a running target that is ignored for ever after its removal:
   it writes the same entry again, or has restarted with a clock that is
   behind.  */
TEST_F (Target, UsesRemovedTargetAgainAfterAWhile)
{
  TgQuery query = Query ();
  TgChoice choice;
  TgEntry entry = Entry ("t1", "a1", "a");
  entry.report_number = 7;
  tg_update (set, &entry, now_us);
  tg_remove (set, "t1", now_us);
  now_us += (int64_t)600 * 1000000;
  EXPECT_TRUE (tg_update (set, &entry, now_us)) << "same number";
  tg_remove (set, "t1", now_us);
  entry.started_ms -= 1;
  entry.report_number = 1000;
  now_us += (int64_t)600 * 1000000;
  EXPECT_TRUE (tg_update (set, &entry, now_us)) << "started earlier";
  EXPECT_EQ (tg_pick (set, &query, now_us, &choice), TG_PICK_FOUND);
}

/* Guards against entries of another writer that hide a target's own ones, in
   any order of arrival of those of one era, and after a restore.  */
TEST_F (Target, ItsLastEntryHoldsWhateverOthersWrote)
{
  struct Written
  {
    TgEntry entry;
    bool is_own;
  };
  for (unsigned seed = 1; seed <= 3000; seed++)
    {
      std::mt19937 random (seed);
      std::string id = "t" + std::to_string (seed);
      std::vector<Written> history;
      uint32_t number = 0;
      for (uint64_t revision = 1; revision <= 12; revision++)
        {
          Written written = { Entry (id.c_str (), "a1", "a"), true };
          TgEntry &entry = written.entry;
          entry.store_era = 1;
          entry.store_revision = revision;
          entry.report_number = ++number;
          entry.draining = random () % 3 == 0;
          if (random () % 3 == 0 && revision < 12)
            {
              written.is_own = false;
              entry.report_number = random () % 5000;
              entry.started_ms = random () % 3 * 1000;
              entry.address
                  = random () % 2 == 0 ? "10.0.0.9:80" : entry.address;
              entry.service = random () % 2 == 0 ? "other" : entry.service;
            }
          history.push_back (written);
        }
      const TgEntry &last = history.back ().entry;
      std::vector<Written> arrivals = history;
      std::shuffle (arrivals.begin (), arrivals.end (), random);
      for (const Written &arrival : arrivals)
        if (random () % 8 == 0)
          tg_remove (set, id.c_str (), now_us);
        else
          tg_update (set, &arrival.entry, now_us);
      tg_update (set, &last, now_us);
      TgEntry known = {};
      if (tg_get_entry (set, id.c_str (), &known))
        {
          EXPECT_EQ (known.draining, last.draining) << "seed " << seed;
          EXPECT_STREQ (known.address, last.address) << "seed " << seed;
        }
      TgEntry after_restore = last;
      after_restore.store_era = 2;
      after_restore.store_revision = 3;
      after_restore.report_number = 20000;
      after_restore.draining = TRUE;
      tg_update (set, &after_restore, now_us);
      ASSERT_TRUE (tg_get_entry (set, id.c_str (), &known)) << seed;
      EXPECT_TRUE (known.draining) << "seed " << seed;
    }
}

/* Guards against a memory that grows with each target that ever left.  */
TEST_F (Target, RemembersABoundedNumberOfRemovedTargets)
{
  TgEntry entry = Entry ("first", "a1", "a");
  tg_update (set, &entry, now_us);
  tg_remove (set, "first", now_us);
  for (int i = 0; i < 5000; i++)
    {
      std::string id = "t" + std::to_string (i);
      AddTarget (id.c_str ());
      tg_remove (set, id.c_str (), now_us);
    }
  EXPECT_TRUE (tg_update (set, &entry, now_us));
}

/* Guards against a request being sent outside the home regions of its route or
   customer.  */
TEST_F (Target, StaysInHomeRegions)
{
  const char *home_regions[] = { "b", nullptr };
  TgQuery query = Query (5);
  TgChoice choice;
  AddTarget ("near");
  AddTarget ("far", "b1", "b");
  query.home_regions = home_regions;
  ASSERT_EQ (tg_pick (set, &query, now_us, &choice), TG_PICK_FOUND);
  EXPECT_STREQ (tg_id (choice.target), "far");
  tg_remove (set, "far", now_us);
  EXPECT_EQ (tg_pick (set, &query, now_us, &choice), TG_PICK_NONE);
  query.home_regions = nullptr;
  query.customer_home_regions = home_regions;
  EXPECT_EQ (tg_pick (set, &query, now_us, &choice), TG_PICK_NONE);
}

/* Guards against a daemon sending a cold target more than its share of the
   target's rate.  */
TEST_F (Target, LimitsRequestsToColdTargets)
{
  TgEntry entry = Entry ("t1", "a1", "a");
  entry.cold_left_ms = 3000;
  tg_set_cold_share (set, "a1", 0.5);
  tg_update (set, &entry, now_us);
  EXPECT_LE (CountSentInOneSecond ("a1"), 4 * 0.5 + 1);
}

/* Guards against overload of a zone whose evacuation ends: its targets may be
   cold, and their entries show that only some time later (ctdc-lidar,
   trouble-3, seed 95122037820).  */
TEST_F (Target, TreatsARestoredZoneAsCold)
{
  AddTarget ("t1");
  tg_set_evacuated (set, "a1", TRUE, now_us);
  now_us += 9 * kSecond;
  tg_set_evacuated (set, "a1", FALSE, now_us);
  EXPECT_LE (CountSentInOneSecond ("a1"), 4 + 1);
  now_us += 5 * kSecond;
  EXPECT_GT (CountSentInOneSecond ("a1"), 50);
}

/* Guards against overload of a target that responds again after a failure but
   has not published an entry since: it may have restarted, and be cold.  */
TEST_F (Target, TreatsARecoveredTargetAsColdUntilItsNextEntry)
{
  AddTarget ("t1");
  EndAttempt (BeginAttempt (Query ()), TG_RESULT_NO_RESPONSE);
  now_us += 4 * kSecond;
  EXPECT_LE (CountSentInOneSecond ("a1"), 4 + 1);
  AddTarget ("t1");
  EXPECT_GT (CountSentInOneSecond ("a1"), 50);
}

/* Guards against cache thrashing: requests for an object must be sent to few
   targets.  */
TEST_F (Target, SendsAnObjectToFewTargets)
{
  std::map<uint64_t, std::set<std::string> > seen;
  for (int i = 0; i < 6; i++)
    AddTarget (("t" + std::to_string (i)).c_str (), i < 3 ? "a1" : "a2");
  for (int round = 0; round < 20; round++)
    for (uint64_t object = 1; object <= 40; object++)
      {
        TgAttempt *attempt = BeginAttempt (Query (object * 7919));
        ASSERT_NE (attempt, nullptr);
        seen[object].insert (tg_id (tg_attempt_target (attempt)));
        now_us += kMs;
        EndAttempt (attempt, TG_RESULT_SUCCESS);
      }
  for (auto &[object, targets] : seen)
    EXPECT_LE (targets.size (), 2u) << object;
}

/* Guards against a daemon that sends its first requests for objects to other
   targets than the daemons that have filled a cache with them: those requests
   are late (tammemets-boards-large, quiet-1, from 14 s).  */
TEST_F (Target, DaemonsOfAllZonesUseOneTargetAnObject)
{
  std::map<uint64_t, std::set<std::string> > seen;
  TgOptions options = { "a2", "a", 1 };
  TgSet *other = tg_new (&options);
  for (int i = 0; i < 12; i++)
    {
      std::string id = "t" + std::to_string (i);
      TgEntry entry = Entry (id.c_str (), i < 6 ? "a1" : "a2", "a");
      tg_update (set, &entry, now_us);
      tg_update (other, &entry, now_us);
    }
  for (int round = 0; round < 60; round++, now_us += kSecond / 2)
    for (uint64_t object = 0; object <= 10; object++)
      for (TgSet *daemon : { set, other })
        {
          TgQuery query = Query (object * 7919 + 1);
          TgChoice choice;
          TgResult result = { .kind = TG_RESULT_SUCCESS };
          if (daemon == other && round < 40 && object > 0)
            continue;
          ASSERT_EQ (tg_pick (daemon, &query, now_us, &choice), TG_PICK_FOUND);
          seen[object].insert (tg_id (choice.target));
          tg_attempt_end (daemon,
                          tg_attempt_begin (daemon, &query, &choice, now_us),
                          &result, now_us);
        }
  for (auto &[object, targets] : seen)
    EXPECT_EQ (targets.size (), 1u) << object;
  tg_free (other);
}

/* Guards against refusing the requests for the objects of a target that is
   lost, while others have room: it stays listed for seconds.  */
TEST_F (Target, SendsObjectsOfALostTargetElsewhere)
{
  AddTarget ("t1");
  AddTarget ("t2", "a2");
  AddTarget ("t3", "a2");
  TgAttempt *first = BeginAttempt (Query (7919));
  std::string lost = tg_id (tg_attempt_target (first));
  EndAttempt (first, TG_RESULT_NO_RESPONSE);
  TgAttempt *second = BeginAttempt (Query (7919));
  ASSERT_NE (second, nullptr);
  EXPECT_NE (lost, tg_id (tg_attempt_target (second)));
  EndAttempt (second, TG_RESULT_SUCCESS);
}

/* Guards against a target that accepts requests and responds to none keeping
   its objects, whose requests all time out (incident of
   tammemets-boards-grown, 18 to 28 s).  */
TEST_F (Target, LeavesATargetThatDoesNotRespondBeforeRequestsTimeOut)
{
  std::vector<TgAttempt *> stuck;
  AddTarget ("t1");
  AddTarget ("t2", "a2");
  AddTarget ("t3", "a2");
  stuck.push_back (BeginAttempt (Query (7919)));
  stuck.push_back (BeginAttempt (Query (7919)));
  std::string silent = tg_id (tg_attempt_target (stuck[0]));
  now_us += kSecond;
  TgAttempt *next = BeginAttempt (Query (7919));
  ASSERT_NE (next, nullptr);
  EXPECT_NE (silent, tg_id (tg_attempt_target (next)));
  EndAttempt (next, TG_RESULT_SUCCESS);
  for (TgAttempt *attempt : stuck)
    EndAttempt (attempt, TG_RESULT_TIMEOUT);
  next = BeginAttempt (Query (7919));
  ASSERT_NE (next, nullptr);
  EXPECT_NE (silent, tg_id (tg_attempt_target (next)));
  EndAttempt (next, TG_RESULT_SUCCESS);
}

/* Guards against each request for the objects of a silent target waiting for
   its timeout, where that is shorter than two service times of a miss
   (incident of tammemets-boards-large, 18 to 28 s).  */
TEST_F (Target, LeavesATargetAfterAShortTimeout)
{
  AddTarget ("t1");
  AddTarget ("t2", "a2");
  TgAttempt *first = BeginAttempt (Query (7919));
  std::string silent = tg_id (tg_attempt_target (first));
  now_us += 300 * kMs;
  EndAttempt (first, TG_RESULT_TIMEOUT);
  TgAttempt *next = BeginAttempt (Query (7919));
  ASSERT_NE (next, nullptr);
  EXPECT_NE (silent, tg_id (tg_attempt_target (next)));
  EndAttempt (next, TG_RESULT_SUCCESS);
}

/* Guards against taking a target for lost because one request at it takes
   long, or because a caller left it little time.  */
TEST_F (Target, KeepsATargetThatRespondsToOtherRequests)
{
  AddTarget ("t1");
  TgAttempt *slow = BeginAttempt (Query (7919));
  now_us += kSecond / 2;
  EndAttempt (BeginAttempt (Query (7919)), TG_RESULT_SUCCESS);
  now_us += kSecond;
  TgAttempt *next = BeginAttempt (Query (7919));
  ASSERT_NE (next, nullptr);
  EndAttempt (next, TG_RESULT_SUCCESS);
  EndAttempt (slow, TG_RESULT_TIMEOUT);
  now_us += 5 * kSecond;
  TgAttempt *hurried = BeginAttempt (Query (7919));
  ASSERT_NE (hurried, nullptr);
  now_us += kSecond / 20;
  EndAttempt (hurried, TG_RESULT_TIMEOUT);
  EXPECT_NE (next = BeginAttempt (Query (7919)), nullptr);
  EndAttempt (next, TG_RESULT_SUCCESS);
}

/* Guards against taking a target for silent, slow or full because this daemon
   has no room for its responses.  */
TEST_F (Target, IsNotBlamedForResponsesThatWaitAtThisDaemon)
{
  std::vector<TgAttempt *> answered;
  AddTarget ("t1");
  for (int i = 0; i < 6; i++)
    {
      answered.push_back (BeginAttempt (Query ()));
      ASSERT_NE (answered.back (), nullptr);
      now_us += 10 * kMs;
      tg_attempt_note_answered (answered.back (), now_us);
    }
  now_us += 3 * kSecond;
  TgAttempt *next = BeginAttempt (Query ());
  ASSERT_NE (next, nullptr);
  EndAttempt (next, TG_RESULT_SUCCESS);
  for (size_t i = 0; i < answered.size (); i++)
    EndAttempt (answered[i], i == 0 ? TG_RESULT_TIMEOUT : TG_RESULT_SUCCESS);
  for (int i = 0; i < 3; i++)
    ASSERT_NE (answered[(size_t)i] = BeginAttempt (Query ()), nullptr);
  for (int i = 0; i < 3; i++)
    EndAttempt (answered[(size_t)i], TG_RESULT_SUCCESS);
}

/* Guards against a burst spreading objects over targets that do not have them
   cached, each of which then evicts other objects (ctdc-lidar, scale-2).  */
TEST_F (Target, RefusesInsteadOfSpreadingAnObject)
{
  std::set<std::string> seen;
  std::vector<TgAttempt *> in_flight;
  int refused = 0;
  for (int i = 0; i < 6; i++)
    AddTarget (("t" + std::to_string (i)).c_str (), i < 3 ? "a1" : "a2");
  for (int i = 0; i < 100; i++)
    {
      TgAttempt *attempt = BeginAttempt (Query (7919));
      now_us += kMs;
      if (attempt == nullptr)
        {
          refused++;
          continue;
        }
      seen.insert (tg_id (tg_attempt_target (attempt)));
      in_flight.push_back (attempt);
    }
  for (TgAttempt *attempt : in_flight)
    EndAttempt (attempt, TG_RESULT_CANCELLED);
  EXPECT_LE (seen.size (), 2u);
  EXPECT_GT (refused, 0);
}

/* Guards against the daemons of other regions spreading the requests of a
   customer with home regions over all targets there, where each is a cache
   miss (emcd-manizales-grown, target-crash, seed 523004454685: those requests
   timed out, and their callers came back after the others had gone).  */
TEST_F (Target, RequestsWithHomeRegionsMeetAtTheTargetsUsedThere)
{
  static const char *const homes[] = { "b", nullptr };
  TgOptions options = { "b1", "b", 1 };
  TgSet *there = tg_new (&options);
  int met = 0;
  for (int i = 0; i < 12; i++)
    {
      std::string id = "t" + std::to_string (i);
      TgEntry entry
          = Entry (id.c_str (), i < 6 ? "a1" : "b1", i < 6 ? "a" : "b");
      tg_update (set, &entry, now_us);
      if (i >= 6)
        tg_update (there, &entry, now_us);
    }
  for (uint64_t object = 1; object <= 40; object++)
    {
      TgQuery query = Query (object * 7919);
      TgChoice here_choice, there_choice;
      query.home_regions = homes;
      ASSERT_EQ (tg_pick (set, &query, now_us, &here_choice), TG_PICK_FOUND);
      ASSERT_EQ (tg_pick (there, &query, now_us, &there_choice),
                 TG_PICK_FOUND);
      met += std::string (tg_id (here_choice.target))
             == tg_id (there_choice.target);
    }
  EXPECT_GE (met, 36);
  tg_free (there);
}

/* Guards against daemons that each send an object to another target while its
   replica is cold and takes no more requests (emcd-manizales-grown).  */
TEST_F (Target, DaemonsAgreeOnATargetWhileTheReplicaIsCold)
{
  std::map<uint64_t, std::set<std::string> > seen;
  TgEntry cold = Entry ("t0", "a1", "a");
  cold.cold_left_ms = 60000;
  for (int daemon = 0; daemon < 6; daemon++)
    {
      TgOptions options = { daemon % 2 == 0 ? "a1" : "a2", "a", 1 };
      TgSet *other = tg_new (&options);
      for (int i = 1; i < 12; i++)
        {
          std::string id = "t" + std::to_string (i);
          TgEntry entry = Entry (id.c_str (), i % 2 == 0 ? "a1" : "a2", "a");
          tg_update (other, &entry, now_us);
        }
      tg_update (other, &cold, now_us);
      for (uint64_t object = 1; object <= 40; object++)
        for (int i = 0; i < 4; i++)
          {
            TgQuery query = Query (object * 7919);
            TgChoice choice;
            TgResult result = { .kind = TG_RESULT_SUCCESS };
            if (tg_pick (other, &query, now_us, &choice) != TG_PICK_FOUND
                || std::string (tg_id (choice.target)) == "t0")
              continue;
            seen[object].insert (tg_id (choice.target));
            tg_attempt_end (other,
                            tg_attempt_begin (other, &query, &choice, now_us),
                            &result, now_us);
          }
      tg_free (other);
    }
  for (auto &[object, targets] : seen)
    EXPECT_EQ (targets.size (), 1u) << object;
}

/* Guards against daemons that use different targets for an object because they
   learned of the changes in another order, or missed some of them while they
   were cut off from the store.  */
TEST_F (Target, DaemonsAgreeWhateverChangesTheySaw)
{
  TgOptions options = { "a1", "a", 2, 0.1 };
  TgSet *early = tg_new (&options), *late = tg_new (&options);
  std::mt19937 random (1);
  auto Update = [&] (TgSet *daemon, int i, uint32_t slot_count) {
    std::string id = "t" + std::to_string (i);
    TgEntry entry = Entry (id.c_str (), i % 2 == 0 ? "a1" : "b1",
                           i % 2 == 0 ? "a" : "b");
    entry.slot_count = slot_count;
    tg_update (daemon, &entry, now_us);
  };
  auto Pick = [&] (TgSet *daemon, uint64_t object) {
    TgQuery query = Query (object);
    TgChoice choice;
    EXPECT_EQ (tg_pick (daemon, &query, now_us, &choice), TG_PICK_FOUND);
    return std::string (tg_id (choice.target));
  };
  for (int i = 0; i < 20; i++)
    Update (early, i, 3);
  for (int step = 0; step < 40; step++)
    {
      std::string id = "t" + std::to_string (random () % 20);
      Pick (early, random ());
      tg_remove (early, id.c_str (), now_us);
      now_us += kSecond;
      Pick (early, random ());
      Update (early, atoi (id.c_str () + 1), 1 + random () % 8);
    }
  for (int i = 19; i >= 0; i--)
    {
      TgEntry entry;
      std::string id = "t" + std::to_string (i);
      ASSERT_TRUE (tg_get_entry (early, id.c_str (), &entry));
      Update (late, i, entry.slot_count);
    }
  now_us += kSecond;
  for (uint64_t object = 1; object <= 200; object++)
    EXPECT_EQ (Pick (early, object * 7919), Pick (late, object * 7919));
  tg_free (early);
  tg_free (late);
}

/* Guards against a rebuild that nobody is told of, against moves that are
   counted with another reason, and against moves of objects of targets that
   have not changed.  */
TEST_F (Target, CountsMovedObjectsByReason)
{
  std::vector<std::string> rebuilds;
  TgOptions options = { "a1", "a", 1, 0.1 };
  options.data = &rebuilds;
  options.on_rebuilt = [] (const TgRebuild *rebuild, void *data) {
    static_cast<std::vector<std::string> *> (data)->push_back (
        std::string (rebuild->service) + " "
        + std::to_string (rebuild->target_count));
  };
  tg_free (set);
  set = tg_new (&options);
  const TgPlacementCounters *counters = tg_placement_counters (set);
  std::map<uint64_t, std::string> places;
  int moved = 0;
  auto PickAll = [&] {
    moved = 0;
    now_us += kSecond;
    for (uint64_t object = 1; object <= 400; object++)
      {
        TgQuery query = Query (object * 7919);
        TgChoice choice;
        ASSERT_EQ (tg_pick (set, &query, now_us, &choice), TG_PICK_FOUND);
        EXPECT_TRUE (choice.is_replica);
        std::string &place = places[object];
        moved += !place.empty () && place != tg_id (choice.target);
        place = tg_id (choice.target);
      }
  };
  for (int i = 0; i < 4; i++)
    AddTarget (("t" + std::to_string (i)).c_str ());
  PickAll ();
  AddTarget ("t4");
  PickAll ();
  EXPECT_GT (moved, 40);
  EXPECT_EQ (counters->moved_added_count, (uint64_t)moved);
  int of_t0 = 0;
  for (auto &[object, place] : places)
    of_t0 += place == "t0";
  tg_remove (set, "t0", now_us);
  PickAll ();
  EXPECT_EQ (moved, of_t0);
  EXPECT_EQ (counters->moved_removed_count, (uint64_t)moved);
  TgEntry larger = Entry ("t1", "a1", "a");
  larger.slot_count = 9;
  tg_update (set, &larger, now_us);
  PickAll ();
  EXPECT_GT (moved, 40);
  EXPECT_EQ (counters->moved_share_count, (uint64_t)moved);
  EXPECT_EQ (counters->rebuild_count, 4u);
  EXPECT_EQ (rebuilds, (std::vector<std::string>{ "boards 4", "boards 5",
                                                  "boards 4", "boards 4" }));
}

/* Guards against a table that grows with each object that callers name.  */
TEST_F (Target, KeepsABoundedNumberOfObjects)
{
  uint32_t object_count = 0;
  TgOptions options = { "a1", "a", 1, 0.1 };
  options.data = &object_count;
  options.on_rebuilt = [] (const TgRebuild *rebuild, void *data) {
    *static_cast<uint32_t *> (data) = rebuild->object_count;
  };
  tg_free (set);
  set = tg_new (&options);
  AddTarget ("t1");
  for (uint64_t object = 1; object <= 70000; object++)
    {
      TgQuery query = Query (object);
      TgChoice choice;
      ASSERT_EQ (tg_pick (set, &query, now_us, &choice), TG_PICK_FOUND);
    }
  AddTarget ("t2");
  now_us += kSecond;
  EndAttempt (BeginAttempt (Query (1)), TG_RESULT_SUCCESS);
  EXPECT_GT (object_count, 0u);
  EXPECT_LE (object_count, 65536u);
}

/* Guards against daemons in other zones that use other targets than the second
   replica while the first one does not respond, and against a wait for the
   next rebuild after it was removed.  */
TEST_F (Target, UsesTheSecondReplicaBeforeARebuild)
{
  for (int i = 0; i < 8; i++)
    AddTarget (("t" + std::to_string (i)).c_str (), i < 4 ? "a1" : "a2");
  for (uint64_t object = 1; object <= 20; object++)
    {
      TgQuery query = Query (object * 7919);
      TgChoice first, second, third;
      ASSERT_EQ (tg_pick (set, &query, now_us, &first), TG_PICK_FOUND);
      query.exclude = tg_id_hash (first.target);
      ASSERT_EQ (tg_pick (set, &query, now_us, &second), TG_PICK_FOUND);
      EXPECT_STRNE (tg_zone (second.target), tg_zone (first.target));
      EXPECT_FALSE (second.is_replica);
      query.exclude = 0;
      std::string id = tg_id (first.target), zone = tg_zone (first.target);
      tg_remove (set, id.c_str (), now_us);
      ASSERT_EQ (tg_pick (set, &query, now_us, &third), TG_PICK_FOUND);
      EXPECT_EQ (third.target, second.target);
      now_us += kSecond;
      AddTarget (id.c_str (), zone.c_str ());
      now_us += kSecond;
    }
}

/* Guards against relying on the cache of a removed target, and against an
   object whose replicas point to a removed target.  */
TEST_F (Target, ReplacesReplicasOfARemovedTarget)
{
  AddTarget ("t1");
  AddTarget ("t2", "a2");
  for (uint64_t object = 1; object <= 40; object++)
    EndAttempt (BeginAttempt (Query (object)), TG_RESULT_SUCCESS);
  tg_remove (set, "t1", now_us);
  now_us += kSecond;
  for (uint64_t object = 1; object <= 40; object++)
    {
      TgAttempt *attempt = BeginAttempt (Query (object));
      ASSERT_NE (attempt, nullptr);
      EXPECT_STREQ (tg_id (tg_attempt_target (attempt)), "t2");
      EndAttempt (attempt, TG_RESULT_SUCCESS);
    }
}

/* Guards against concurrent cache misses for one object at a target where one
   request would have filled the cache.  */
TEST_F (Target, HoldsWhileACacheIsFilled)
{
  TgQuery query = Query (5);
  TgChoice choice;
  TgAttempt *first;
  AddTarget ("t1");
  first = BeginAttempt (query);
  query.may_hold = TRUE;
  EXPECT_EQ (tg_pick (set, &query, now_us, &choice), TG_PICK_HOLD);
  EXPECT_TRUE (tg_attempt_fills_cache (first));
  now_us += 300 * kMs;
  EndAttempt (first, TG_RESULT_SUCCESS);
  ASSERT_EQ (tg_pick (set, &query, now_us, &choice), TG_PICK_FOUND);
  EXPECT_TRUE (choice.cached);
}

/* Guards against requests to a target whose load report shows a queue.  */
TEST_F (Target, RefusesWhenQueuesAreLong)
{
  TgQuery query = Query ();
  TgChoice choice;
  TgResult result = { .kind = TG_RESULT_SUCCESS,
                      .has_load = TRUE,
                      .running_count = 3,
                      .waiting_count = 6 };
  AddTarget ("t1");
  TgAttempt *attempt = BeginAttempt (query);
  now_us += 100 * kMs;
  tg_attempt_end (set, attempt, &result, now_us);
  EXPECT_EQ (tg_pick (set, &query, now_us, &choice), TG_PICK_FULL);
}

/* Guards against a target that stays overloaded because its last report of a
   long queue is soon taken for outdated.  */
TEST_F (Target, PausesWhileReportsShowALongQueue)
{
  TgResult long_queue = { .kind = TG_RESULT_SUCCESS,
                          .has_load = TRUE,
                          .running_count = 3,
                          .waiting_count = 6 };
  TgResult short_queue
      = { .kind = TG_RESULT_SUCCESS, .has_load = TRUE, .running_count = 1 };
  TgAttempt *attempt;
  AddTarget ("t1");
  /* Requests are expected to take 250 ms.  */
  for (int64_t pause_ms : { 250, 500, 1000, 2000, 2000 })
    {
      ASSERT_NE (attempt = BeginAttempt (Query ()), nullptr) << pause_ms;
      tg_attempt_end (set, attempt, &long_queue, now_us);
      now_us += (pause_ms - 10) * kMs;
      EXPECT_EQ (BeginAttempt (Query ()), nullptr) << pause_ms;
      now_us += 700 * kMs; /* the reported load has ended by then */
    }
  attempt = BeginAttempt (Query ());
  ASSERT_NE (attempt, nullptr);
  EXPECT_EQ (BeginAttempt (Query ()), nullptr);
  tg_attempt_end (set, attempt, &short_queue, now_us);
  attempt = BeginAttempt (Query ());
  TgAttempt *second = BeginAttempt (Query ());
  ASSERT_NE (attempt, nullptr);
  ASSERT_NE (second, nullptr);
  EndAttempt (attempt, TG_RESULT_SUCCESS);
  EndAttempt (second, TG_RESULT_SUCCESS);
}

/* One target to which many daemons send.  It handles SLOTS requests at once,
   each for SERVICE, queues some more and sheds the others.  */
class CrowdedTarget
{
public:
  static constexpr int kDaemons = 25;
  static constexpr size_t kSlots = 9;
  static constexpr size_t kQueueMax = 36;
  static constexpr int64_t kServiceUs = 1300 * kMs;
  static constexpr int64_t kDeadlineUs = 4 * kSecond;

  int sent = 0;
  int served = 0;
  int timed_out = 0;
  int refused = 0;

  CrowdedTarget ()
  {
    TgOptions options = { "a1", "a", 1 };
    TgEntry entry = {};
    entry.id = "t1";
    entry.address = "10.0.0.1:80";
    entry.service = "boards";
    entry.zone = "a1";
    entry.region = "a";
    entry.slot_count = kSlots;
    for (int i = 0; i < kDaemons; i++)
      {
        sets.push_back (tg_new (&options));
        tg_update (sets.back (), &entry, now_us);
      }
  }
  ~CrowdedTarget ()
  {
    while (!queue.empty ())
      end (0, TG_RESULT_CANCELLED);
    for (TgSet *set : sets)
      tg_free (set);
  }

  void
  run (int seconds, double requests_per_s)
  {
    for (int step = 0; step < seconds * 100; step++)
      {
        now_us += 10 * kMs;
        finish_requests ();
        for (int daemon = 0; daemon < kDaemons; daemon++)
          if (g_rand_double (random.get ()) < requests_per_s / kDaemons / 100)
            send (daemon);
      }
  }

private:
  struct Pending
  {
    int daemon;
    TgAttempt *attempt;
    int64_t sent_us;
    int64_t started_us; /* 0: waits */
  };

  std::vector<TgSet *> sets;
  std::vector<Pending> queue; /* oldest first; those in slots are in front */
  int64_t now_us = 100 * kSecond;
  std::unique_ptr<GRand, void (*) (GRand *)> random{ g_rand_new_with_seed (7),
                                                     g_rand_free };

  void
  end (size_t index, TgResultKind kind)
  {
    Pending ended = queue[index];
    TgResult result = { .kind = kind };
    queue.erase (queue.begin () + (long)index);
    result.has_load = kind == TG_RESULT_SUCCESS || kind == TG_RESULT_SHED;
    result.running_count = (uint32_t)MIN (queue.size (), kSlots);
    result.waiting_count = (uint32_t)queue.size () - result.running_count;
    tg_attempt_end (sets[(size_t)ended.daemon], ended.attempt, &result,
                    now_us);
  }

  void
  finish_requests ()
  {
    for (size_t i = 0; i < queue.size ();)
      if (now_us - queue[i].sent_us >= kDeadlineUs)
        timed_out++, end (i, TG_RESULT_TIMEOUT);
      else if (queue[i].started_us != 0
               && now_us - queue[i].started_us >= kServiceUs)
        served++, end (i, TG_RESULT_SUCCESS);
      else
        i++;
    for (size_t i = 0; i < MIN (queue.size (), kSlots); i++)
      if (queue[i].started_us == 0)
        queue[i].started_us = now_us;
  }

  void
  send (int daemon)
  {
    TgQuery query = {};
    TgChoice choice;
    query.route = "view";
    query.service = "boards";
    query.request_hash = g_rand_int (random.get ());
    query.latency_target_us = 1000 * kMs;
    query.wait_max_us = 450 * kMs;
    query.in_flight_max = 16;
    if (tg_pick (sets[(size_t)daemon], &query, now_us, &choice)
        != TG_PICK_FOUND)
      {
        refused++;
        return;
      }
    sent++;
    queue.push_back (
        { daemon,
          tg_attempt_begin (sets[(size_t)daemon], &query, &choice, now_us),
          now_us, 0 });
    if (queue.size () > kSlots + kQueueMax)
      end (queue.size () - 1, TG_RESULT_SHED);
  }
};

/* Load: requests that only the targets of one region may run, three times as
   many as these can handle, from the daemons of all regions
   (emcd-manizales-grown, target-crash).  Guards against requests that wait at
   the targets until their deadline instead of being refused at once, which
   leaves few that are served.  */
TEST (Crowd, ManyDaemonsKeepTheQueueOfATargetShort)
{
  CrowdedTarget target;
  double capacity_per_s
      = CrowdedTarget::kSlots * 1e6 / CrowdedTarget::kServiceUs;

  target.run (20, 3 * capacity_per_s);
  target.sent = target.served = target.timed_out = 0;
  target.run (100, 3 * capacity_per_s);
  EXPECT_LE (target.timed_out, target.sent / 20);
  EXPECT_GE (target.served, 0.8 * 100 * capacity_per_s);
  /* A crowd that has left leaves no pause behind.  */
  target.run (25, capacity_per_s / 4);
  target.refused = 0;
  target.run (20, capacity_per_s / 4);
  EXPECT_EQ (target.refused, 0);
}

/* Guards against all requests being sent to a target that does not respond. */
TEST_F (Target, ProbesAnUnresponsiveTargetOneAtATime)
{
  TgAttempt *attempt;
  AddTarget ("t1");
  EndAttempt (BeginAttempt (Query ()), TG_RESULT_NO_RESPONSE);
  EXPECT_EQ (BeginAttempt (Query ()), nullptr);
  now_us += 4 * kSecond;
  attempt = BeginAttempt (Query ());
  ASSERT_NE (attempt, nullptr);
  EXPECT_EQ (BeginAttempt (Query ()), nullptr);
  EndAttempt (attempt, TG_RESULT_SUCCESS);
}

/* Guards against refusing requests, or holding them back, while a target that
   limits its rate has no token and another one could serve them.  */
TEST_F (Target, UsesAnotherTargetWhileALimitedOneHasNoToken)
{
  NtNotice notice = { 5, 0 };
  TgQuery query = Query (7);
  TgChoice choice;
  AddTarget ("t1");
  AddTarget ("t2");
  TgAttempt *attempt = BeginAttempt (query);
  const TgTarget *limited = tg_attempt_target (attempt);
  EXPECT_TRUE (tg_apply_notice (set, attempt, &notice, now_us));
  EXPECT_FALSE (tg_apply_notice (set, attempt, &notice, now_us));
  EXPECT_EQ (tg_limit_per_s (limited), 5);
  tg_pause_limited (attempt, now_us + kSecond);
  EndAttempt (attempt, TG_RESULT_CANCELLED);
  ASSERT_EQ (tg_pick (set, &query, now_us, &choice), TG_PICK_FOUND);
  EXPECT_NE (choice.target, limited);
  now_us += kSecond;
  ASSERT_EQ (tg_pick (set, &query, now_us, &choice), TG_PICK_FOUND);
  EXPECT_EQ (choice.target, limited);
}

/* Guards against a refusal that does not say when the only target, which
   limits its rate, may be used again, and against a retry there of a request
   that failed.  */
TEST_F (Target, TellsWhenALimitedTargetMayBeUsed)
{
  NtNotice notice = { 5, 0 };
  TgQuery query = Query ();
  TgChoice choice;
  AddTarget ("t1");
  TgAttempt *attempt = BeginAttempt (query);
  tg_apply_notice (set, attempt, &notice, now_us);
  tg_pause_limited (attempt, now_us + 300 * kMs);
  EndAttempt (attempt, TG_RESULT_CANCELLED);
  now_us += 100 * kMs;
  ASSERT_EQ (tg_pick (set, &query, now_us, &choice), TG_PICK_LIMITED);
  EXPECT_EQ (choice.wait_us, 200 * kMs);
  tg_set_evacuated (set, "a1", TRUE, now_us);
  EXPECT_EQ (tg_pick (set, &query, now_us, &choice), TG_PICK_NONE);
  tg_set_evacuated (set, "a1", FALSE, now_us);
  now_us += 4 * kSecond;
  EXPECT_EQ (tg_pick (set, &query, now_us, &choice), TG_PICK_FOUND);
  query.avoid_limited = TRUE;
  EXPECT_EQ (tg_pick (set, &query, now_us, &choice), TG_PICK_LIMITED);
}

/* Guards against forgetting a limit for a response to a request that was sent
   before the target stated it, and against keeping one that the target no
   longer states, or that an earlier incarnation stated.  */
TEST_F (Target, KeepsALimitAsLongAsTheTargetStatesIt)
{
  NtNotice limited = { 5, 0 }, unlimited = { 0, 0 }, invalid = { 0, 1 };
  AddTarget ("t1");
  TgAttempt *early = BeginAttempt (Query ());
  TgAttempt *middle = BeginAttempt (Query ());
  const TgTarget *target = tg_attempt_target (early);
  now_us += 10 * kMs;
  tg_apply_notice (set, middle, &limited, now_us);
  EXPECT_FALSE (tg_apply_notice (set, early, &unlimited, now_us + kMs));
  EXPECT_EQ (tg_limit_per_s (target), 5);
  now_us += 10 * kMs;
  TgAttempt *late = BeginAttempt (Query ());
  EXPECT_FALSE (tg_apply_notice (set, late, &invalid, now_us));
  EXPECT_TRUE (tg_apply_notice (set, late, &unlimited, now_us));
  EXPECT_EQ (tg_limit_per_s (target), 0);
  EXPECT_TRUE (tg_apply_notice (set, late, &limited, now_us));
  TgEntry restarted = Entry ("t1", "a1", "a");
  restarted.started_ms = 2000;
  EXPECT_TRUE (tg_update (set, &restarted, now_us));
  for (TgAttempt *attempt : { early, middle, late })
    EndAttempt (attempt, TG_RESULT_CANCELLED);
  TgAttempt *fresh = BeginAttempt (Query ());
  EXPECT_EQ (tg_limit_per_s (tg_attempt_target (fresh)), 0);
  EndAttempt (fresh, TG_RESULT_SUCCESS);
}

/* Guards against sending to a target that has said that it is leaving: while
   its entry is still `ready', after the entry has come and gone, or because
   only another daemon has heard it; and against giving up its next
   incarnation.  */
TEST_F (Target, SendsNothingToATargetThatSaysItIsLeaving)
{
  NtNotice leaving = { 0, 0, TRUE, 0 };
  TgQuery query = Query ();
  TgChoice choice;
  TgEntry entry = Entry ("t1", "a1", "a");
  tg_update (set, &entry, now_us);
  TgAttempt *attempt = BeginAttempt (query);
  EXPECT_TRUE (tg_attempt_is_allowed (set, attempt));
  EXPECT_EQ (tg_apply_notice (set, attempt, &leaving, now_us),
             (uint32_t)TG_NEWS_LEAVING);
  EXPECT_EQ (tg_apply_notice (set, attempt, &leaving, now_us), 0u);
  EXPECT_FALSE (tg_attempt_is_allowed (set, attempt));
  EndAttempt (attempt, TG_RESULT_SUCCESS);
  EXPECT_EQ (tg_pick (set, &query, now_us, &choice), TG_PICK_NONE);
  entry.report_number = ++last_report_number;
  tg_update (set, &entry, now_us);
  EXPECT_EQ (tg_pick (set, &query, now_us, &choice), TG_PICK_NONE);
  tg_remove (set, "t1", now_us);
  entry.report_number = ++last_report_number;
  tg_update (set, &entry, now_us + 60 * kSecond);
  EXPECT_EQ (tg_pick (set, &query, now_us + 60 * kSecond, &choice),
             TG_PICK_NONE);
  entry.started_ms = 2000;
  EXPECT_TRUE (tg_update (set, &entry, now_us + 60 * kSecond));
  EXPECT_EQ (tg_pick (set, &query, now_us + 60 * kSecond, &choice),
             TG_PICK_FOUND);
  EXPECT_FALSE (tg_note_leaving (set, "t1", 1000));
  EXPECT_TRUE (tg_note_leaving (set, "t1", 2000));
  EXPECT_FALSE (tg_note_leaving (set, "t1", 2000));
  EXPECT_EQ (tg_pick (set, &query, now_us + 60 * kSecond, &choice),
             TG_PICK_NONE);
}

/* Guards against sending more to a target that wants no requests for a time,
   against many at once when that ends, and against a refusal that does not say
   when it ends.  */
TEST_F (Target, LeavesATargetAloneThatWantsNoRequests)
{
  NtNotice pause = { 0, 0, FALSE, 2 * kSecond }, none = {};
  TgQuery query = Query ();
  TgChoice choice;
  AddTarget ("t1");
  TgAttempt *early = BeginAttempt (Query ());
  TgAttempt *attempt = BeginAttempt (query);
  EXPECT_EQ (tg_apply_notice (set, attempt, &pause, now_us),
             (uint32_t)TG_NEWS_PAUSE);
  EndAttempt (attempt, TG_RESULT_SHED);
  now_us += 500 * kMs;
  EXPECT_EQ (tg_apply_notice (set, early, &none, now_us), 0u);
  EndAttempt (early, TG_RESULT_SUCCESS);
  ASSERT_EQ (tg_pick (set, &query, now_us, &choice), TG_PICK_LIMITED);
  EXPECT_EQ (choice.wait_us, 1500 * kMs);
  now_us += 1500 * kMs;
  TgAttempt *first = BeginAttempt (Query ());
  ASSERT_NE (first, nullptr);
  EXPECT_EQ (BeginAttempt (Query ()), nullptr);
  tg_apply_notice (set, first, &none, now_us);
  EndAttempt (first, TG_RESULT_SUCCESS);
  TgAttempt *second = BeginAttempt (Query ()),
            *third = BeginAttempt (Query ());
  ASSERT_NE (second, nullptr);
  ASSERT_NE (third, nullptr);
  EndAttempt (second, TG_RESULT_SUCCESS);
  EndAttempt (third, TG_RESULT_SUCCESS);
}

}
