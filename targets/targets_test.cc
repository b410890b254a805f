#include <gtest/gtest.h>

#include <map>
#include <set>
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
    entry.slots_count = 3;
    entry.started_ms = 1000;
    entry.report_number = ++reports;
    return entry;
  }

  void
  Add (const char *id, const char *zone = "a1", const char *region = "a")
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
    query.spread = ++spread;
    query.cold_per_s = 4;
    query.cold_ms = 3000;
    query.latency_us = 250 * kMs;
    query.wait_max_us = 100 * kMs;
    query.uses_max = 16;
    return query;
  }

  TgUse *
  Begin (const TgQuery &query)
  {
    TgChoice choice;
    if (tg_pick (set, &query, now_us, &choice) != TG_PICK_FOUND)
      return nullptr;
    return tg_begin (set, &query, &choice, now_us);
  }

  void
  End (TgUse *use, TgEndKind kind)
  {
    TgEnd end = { .kind = kind };
    tg_end (set, use, &end, now_us);
  }

  /* Requests that are let through within one second.  */
  int
  BurstIn (const char *zone_of_interest)
  {
    int count = 0;
    for (int i = 0; i < 100; i++)
      {
        TgQuery query = Query ();
        TgChoice choice;
        now_us += 10 * kMs;
        if (tg_pick (set, &query, now_us, &choice) != TG_PICK_FOUND
            || std::string (tg_zone (choice.target)) != zone_of_interest)
          continue;
        End (tg_begin (set, &query, &choice, now_us), TG_END_ANSWERED);
        count++;
      }
    return count;
  }

  TgSet *set;
  int64_t now_us = 100 * kSecond;
  uint32_t reports = 0;
  uint64_t spread = 0;
};

/* Guards against requests to a target that leaves, is gone, or stands in an
   evacuated zone.  */
TEST_F (Target, PicksNoneThatLeaves)
{
  TgQuery query = Query ();
  TgChoice choice;
  TgEntry entry = Entry ("t1", "a1", "a");
  Add ("t1");
  EXPECT_EQ (tg_pick (set, &query, now_us, &choice), TG_PICK_FOUND);
  tg_evacuate (set, "a1", TRUE, now_us);
  EXPECT_EQ (tg_pick (set, &query, now_us, &choice), TG_PICK_NONE);
  tg_evacuate (set, "a1", FALSE, now_us);
  now_us += 5 * kSecond;
  EXPECT_EQ (tg_pick (set, &query, now_us, &choice), TG_PICK_FOUND);
  entry.draining = TRUE;
  entry.report_number = ++reports;
  EXPECT_TRUE (tg_update (set, &entry, now_us));
  EXPECT_EQ (tg_pick (set, &query, now_us, &choice), TG_PICK_NONE);
  EXPECT_TRUE (tg_remove (set, "t1"));
  EXPECT_EQ (tg_count (set, "boards"), 0u);
}

/* Guards against a report of an earlier start, or an overtaken one, undoing a
   newer report.  */
TEST_F (Target, IgnoresOutdatedReports)
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

/* Guards against a request that leaves the homes of its route or customer.  */
TEST_F (Target, KeepsToHomes)
{
  const char *homes[] = { "b", nullptr };
  TgQuery query = Query (5);
  TgChoice choice;
  Add ("near");
  Add ("far", "b1", "b");
  query.homes = homes;
  ASSERT_EQ (tg_pick (set, &query, now_us, &choice), TG_PICK_FOUND);
  EXPECT_STREQ (tg_id (choice.target), "far");
  tg_remove (set, "far");
  EXPECT_EQ (tg_pick (set, &query, now_us, &choice), TG_PICK_NONE);
  query.homes = nullptr;
  query.customer_homes = homes;
  EXPECT_EQ (tg_pick (set, &query, now_us, &choice), TG_PICK_NONE);
}

/* Guards against a cold target getting more than this daemon's share.  */
TEST_F (Target, BoundsRequestsToColdTargets)
{
  TgEntry entry = Entry ("t1", "a1", "a");
  entry.cold_left_ms = 3000;
  tg_set_cold_share (set, "a1", 0.5);
  tg_update (set, &entry, now_us);
  EXPECT_LE (BurstIn ("a1"), 4 * 0.5 + 1);
}

/* Guards against the rush on a zone whose evacuation ends: its targets may be
   cold, and their reports tell so only a moment later (ctdc-lidar trouble-3,
   seed 95122037820).  */
TEST_F (Target, TakesARestoredZoneAsCold)
{
  Add ("t1");
  tg_evacuate (set, "a1", TRUE, now_us);
  now_us += 9 * kSecond;
  tg_evacuate (set, "a1", FALSE, now_us);
  EXPECT_LE (BurstIn ("a1"), 4 + 1);
  now_us += 5 * kSecond;
  EXPECT_GT (BurstIn ("a1"), 50);
}

/* Guards against a rush on a target that was lost and answers again before it
   has reported: it may have started anew, and be cold.  */
TEST_F (Target, TakesAReturnedTargetAsColdUntilItReports)
{
  Add ("t1");
  End (Begin (Query ()), TG_END_LOST);
  now_us += 4 * kSecond;
  EXPECT_LE (BurstIn ("a1"), 4 + 1);
  Add ("t1");
  EXPECT_GT (BurstIn ("a1"), 50);
}

/* Guards against targets that forget: an object must go to few of them.  */
TEST_F (Target, SendsAnObjectToFewTargets)
{
  std::map<uint64_t, std::set<std::string> > seen;
  for (int i = 0; i < 6; i++)
    Add (("t" + std::to_string (i)).c_str (), i < 3 ? "a1" : "a2");
  for (int round = 0; round < 20; round++)
    for (uint64_t object = 1; object <= 40; object++)
      {
        TgUse *use = Begin (Query (object * 7919));
        ASSERT_NE (use, nullptr);
        seen[object].insert (tg_id (tg_use_target (use)));
        now_us += kMs;
        End (use, TG_END_ANSWERED);
      }
  for (auto &[object, targets] : seen)
    EXPECT_LE (targets.size (), 2u) << object;
}

/* Guards against a burst that spreads objects over targets which do not know
   them: all of them then forget what they knew (ctdc-lidar scale-2).  */
TEST_F (Target, RefusesRatherThanSpreadsAnObject)
{
  std::set<std::string> seen;
  std::vector<TgUse *> uses;
  int refused = 0;
  for (int i = 0; i < 6; i++)
    Add (("t" + std::to_string (i)).c_str (), i < 3 ? "a1" : "a2");
  for (int i = 0; i < 100; i++)
    {
      TgUse *use = Begin (Query (7919));
      now_us += kMs;
      if (use == nullptr)
        {
          refused++;
          continue;
        }
      seen.insert (tg_id (tg_use_target (use)));
      uses.push_back (use);
    }
  for (TgUse *use : uses)
    End (use, TG_END_CANCELLED);
  EXPECT_LE (seen.size (), 2u);
  EXPECT_GT (refused, 0);
}

/* Guards against a target that lost objects being counted as knowing them, and
   against an object's homes pointing at a target that is gone.  */
TEST_F (Target, PlacesObjectsAnewWhenATargetGoes)
{
  Add ("t1");
  Add ("t2", "a2");
  for (uint64_t object = 1; object <= 40; object++)
    End (Begin (Query (object)), TG_END_ANSWERED);
  tg_remove (set, "t1");
  now_us += kSecond;
  for (uint64_t object = 1; object <= 40; object++)
    {
      TgUse *use = Begin (Query (object));
      ASSERT_NE (use, nullptr);
      EXPECT_STREQ (tg_id (tg_use_target (use)), "t2");
      End (use, TG_END_ANSWERED);
    }
}

/* Guards against several requests that all run unknown at one target while one
   would have taught it the object.  */
TEST_F (Target, HoldsWhileATargetLearnsTheObject)
{
  TgQuery query = Query (5);
  TgChoice choice;
  TgUse *first;
  Add ("t1");
  first = Begin (query);
  query.may_hold = TRUE;
  EXPECT_EQ (tg_pick (set, &query, now_us, &choice), TG_PICK_HOLD);
  EXPECT_TRUE (tg_use_teaches (first));
  now_us += 300 * kMs;
  End (first, TG_END_ANSWERED);
  ASSERT_EQ (tg_pick (set, &query, now_us, &choice), TG_PICK_FOUND);
  EXPECT_TRUE (choice.known);
}

/* Guards against a queue at a target that its own load report would show.  */
TEST_F (Target, RefusesWhereQueuesAreLong)
{
  TgQuery query = Query ();
  TgChoice choice;
  TgEnd end = { .kind = TG_END_ANSWERED,
                .has_load = TRUE,
                .running_count = 3,
                .waiting_count = 6 };
  Add ("t1");
  TgUse *use = Begin (query);
  now_us += 100 * kMs;
  tg_end (set, use, &end, now_us);
  EXPECT_EQ (tg_pick (set, &query, now_us, &choice), TG_PICK_FULL);
}

/* Guards against a target without answers being tried by every request.  */
TEST_F (Target, TriesALostTargetOneAtATime)
{
  TgUse *use;
  Add ("t1");
  End (Begin (Query ()), TG_END_LOST);
  EXPECT_EQ (Begin (Query ()), nullptr);
  now_us += 4 * kSecond;
  use = Begin (Query ());
  ASSERT_NE (use, nullptr);
  EXPECT_EQ (Begin (Query ()), nullptr);
  End (use, TG_END_ANSWERED);
}

}
