#include <gtest/gtest.h>

#include <map>
#include <random>

extern "C"
{
#include "occupancy/occupancy.h"
}

namespace
{

constexpr int64_t kSecond = 1000000;
constexpr uint32_t kMany = 1000;

void
Add (OcTable *table, uint64_t user, int count)
{
  for (int i = 0; i < count; i++)
    oc_add (table, user);
}

/* Guards against places that are left unused because a user is alone, or holds
   few, or the others are gone.  */
TEST (Occupancy, YieldsOnlyBesideOthers)
{
  g_autoptr (OcTable) table = oc_new ();
  Add (table, 1, OC_YIELD_MIN - 1);
  oc_note (table, 2, 0);
  oc_note (table, 1, 0);
  EXPECT_FALSE (oc_must_yield (table, 1, kMany, 0));
  Add (table, 1, 1);
  EXPECT_TRUE (oc_must_yield (table, 1, kMany, 0));
  EXPECT_TRUE (oc_must_yield (table, 1, kMany, OC_ACTIVE_US - 1));
  EXPECT_FALSE (oc_must_yield (table, 1, kMany, OC_ACTIVE_US));
  oc_note (table, 1, OC_ACTIVE_US);
  EXPECT_FALSE (oc_must_yield (table, 1, kMany, OC_ACTIVE_US));
  oc_note (table, 3, OC_ACTIVE_US);
  EXPECT_TRUE (oc_must_yield (table, 1, kMany, OC_ACTIVE_US));
}

/* Guards against a user that holds all of a few places, since they are fewer
   than OC_YIELD_MIN, and against one that may not use its half.  */
TEST (Occupancy, YieldsFromHalfOfAFewPlaces)
{
  g_autoptr (OcTable) table = oc_new ();
  oc_note (table, 2, 0);
  oc_note (table, 1, 0);
  Add (table, 1, 1);
  EXPECT_FALSE (oc_must_yield (table, 1, 2, 0));
  EXPECT_FALSE (oc_must_yield (table, 1, 3, 0));
  EXPECT_TRUE (oc_must_yield (table, 1, 1, 0));
  Add (table, 1, 1);
  EXPECT_TRUE (oc_must_yield (table, 1, 2, 0));
  EXPECT_TRUE (oc_must_yield (table, 1, 3, 0));
  EXPECT_FALSE (oc_must_yield (table, 1, 4, 0));
}

/* Guards against several users that hold everything together, each no more
   than half, and against users with their share that yield.  */
TEST (Occupancy, SeveralUsersLeaveAShareToAnother)
{
  g_autoptr (OcTable) table = oc_new ();
  for (uint64_t user = 1; user <= 3; user++)
    {
      Add (table, user, OC_YIELD_MIN);
      oc_note (table, user, 0);
    }
  for (uint64_t user = 1; user <= 3; user++)
    EXPECT_FALSE (oc_must_yield (table, user, kMany, 0)) << user;
  oc_note (table, 4, 0);
  for (uint64_t user = 1; user <= 3; user++)
    EXPECT_TRUE (oc_must_yield (table, user, kMany, 0)) << user;
  EXPECT_FALSE (oc_must_yield (table, 4, kMany, 0));
}

/* Guards against state without a bound for users that ask once, and against
   keeping those that asked first.  */
TEST (Occupancy, KeepsTheLatestUsers)
{
  g_autoptr (OcTable) table = oc_new ();
  Add (table, 1, OC_YIELD_MIN);
  oc_note (table, 1, 0);
  for (uint64_t user = 2; user < 100000; user++)
    oc_note (table, user, 0);
  EXPECT_TRUE (oc_must_yield (table, 1, kMany, OC_ACTIVE_US - 1));
  EXPECT_FALSE (oc_must_yield (table, 1, kMany, OC_ACTIVE_US));
}

/* Guards against users of equal shares that all yield, and against requests
   without a user that count as one.  */
TEST (Occupancy, HalfOfThePlacesIsAShare)
{
  g_autoptr (OcTable) table = oc_new ();
  Add (table, 1, 20);
  Add (table, 2, 20);
  oc_note (table, 1, 0);
  oc_note (table, 2, 0);
  EXPECT_FALSE (oc_must_yield (table, 1, kMany, 0));
  EXPECT_FALSE (oc_must_yield (table, 2, kMany, 0));
  oc_remove (table, 2);
  EXPECT_TRUE (oc_must_yield (table, 1, kMany, 0));
  Add (table, 0, 100);
  oc_note (table, 0, 0);
  EXPECT_FALSE (oc_must_yield (table, 0, kMany, 0));
}

/* Guards against a count that drifts: compares 100 seeded schedules with a
   plain model.  */
TEST (Occupancy, SeededSchedulesFollowTheModel)
{
  for (unsigned seed = 0; seed < 100; seed++)
    {
      std::mt19937 random (seed);
      g_autoptr (OcTable) table = oc_new ();
      std::map<uint64_t, uint32_t> counts;
      std::map<uint64_t, int64_t> asked;
      int64_t now_us = kSecond;
      for (int step = 0; step < 500; step++)
        {
          uint64_t user = 1 + random () % (random () % 4 + 1);
          now_us += random () % kSecond;
          oc_note (table, user, now_us);
          asked[user] = now_us;
          if (random () % 3 != 0)
            {
              oc_add (table, user);
              counts[user]++;
            }
          else if (counts[user] > 0)
            {
              oc_remove (table, user);
              counts[user]--;
            }
          uint32_t total = 0;
          for (const auto &holder : counts)
            total += holder.second;
          for (uint64_t other = 1; other <= 4; other++)
            {
              uint32_t active = 1;
              for (const auto &ask : asked)
                active += ask.first != other
                          && now_us - ask.second < OC_ACTIVE_US;
              EXPECT_EQ (oc_must_yield (table, other, kMany, now_us),
                         counts[other] >= OC_YIELD_MIN
                             && counts[other] * active > total && active > 1)
                  << "seed " << seed << " step " << step;
            }
        }
    }
}

}
