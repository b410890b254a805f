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
  EXPECT_TRUE (oc_must_yield (table, 1, kMany, OC_OTHERS_US - 1));
  EXPECT_FALSE (oc_must_yield (table, 1, kMany, OC_OTHERS_US));
  oc_note (table, 1, OC_OTHERS_US);
  EXPECT_FALSE (oc_must_yield (table, 1, kMany, OC_OTHERS_US));
  oc_note (table, 3, OC_OTHERS_US);
  EXPECT_TRUE (oc_must_yield (table, 1, kMany, OC_OTHERS_US));
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
              bool has_others = false;
              for (const auto &ask : asked)
                has_others |= ask.first != other
                              && now_us - ask.second < OC_OTHERS_US;
              EXPECT_EQ (oc_must_yield (table, other, kMany, now_us),
                         counts[other] >= OC_YIELD_MIN
                             && counts[other] * 2 > total && has_others)
                  << "seed " << seed << " step " << step;
            }
        }
    }
}

}
