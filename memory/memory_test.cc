#include <gtest/gtest.h>

#include <random>
#include <vector>

extern "C"
{
#include "memory/memory.h"
}

namespace
{

constexpr uint64_t kLarge = 10 * MM_SMALL_BYTES;

/* Guards against bodies that together hold more than their budget.  */
TEST (Memory, RefusesWhatDoesNotFit)
{
  g_autoptr (MmBudget) budget = mm_budget_new (2 * kLarge);
  MmBlock *first = mm_block_new (budget);
  MmBlock *second = mm_block_new (budget);

  EXPECT_TRUE (mm_block_reserve (first, kLarge));
  EXPECT_FALSE (mm_block_reserve (second, kLarge + 1));
  EXPECT_EQ (kLarge, mm_budget_used (budget));
  EXPECT_EQ (1u, mm_budget_refused_count (budget));
  EXPECT_TRUE (mm_block_reserve (second, kLarge));
  EXPECT_FALSE (mm_block_reserve (first, kLarge + 1));
  mm_block_unref (first);
  mm_block_unref (second);
  EXPECT_EQ (0u, mm_budget_used (budget));
  EXPECT_EQ (2 * kLarge, mm_budget_peak (budget));
}

/* Guards against small bodies that are refused because of large ones.  */
TEST (Memory, SmallBodiesAlwaysFit)
{
  g_autoptr (MmBudget) budget = mm_budget_new (kLarge);
  MmBlock *large = mm_block_new (budget);
  MmBlock *small = mm_block_new (budget);

  EXPECT_TRUE (mm_block_reserve (large, kLarge));
  EXPECT_TRUE (mm_block_reserve (small, MM_SMALL_BYTES));
  mm_block_unref (small);
  mm_block_unref (large);
}

/* Guards against a body that counts no longer while one of its holders still
   has it.  */
TEST (Memory, CountsUntilTheLastReference)
{
  g_autoptr (MmBudget) budget = mm_budget_new (kLarge);
  MmBlock *block = mm_block_new (budget);
  int room_count = 0;

  mm_budget_set_on_room (
      budget, [] (void *data) { ++*(int *)data; }, &room_count);
  mm_block_force (block, 2 * kLarge);
  mm_block_unref (mm_block_ref (block));
  EXPECT_EQ (2 * kLarge, mm_budget_used (budget));
  EXPECT_EQ (0, room_count);
  mm_block_unref (block);
  EXPECT_EQ (1, room_count);
}

/* Guards against a count that drifts over many blocks.  */
TEST (Memory, ReturnsToZeroAfterRandomUse)
{
  g_autoptr (MmBudget) budget = mm_budget_new (8 * kLarge);
  std::mt19937 random (7);
  std::vector<MmBlock *> blocks;

  for (int i = 0; i < 20000; i++)
    {
      if (blocks.empty () || random () % 2 == 0)
        blocks.push_back (mm_block_new (budget));
      else if (random () % 2 == 0)
        mm_block_reserve (blocks[random () % blocks.size ()],
                          random () % (2 * kLarge));
      else
        {
          size_t at = random () % blocks.size ();
          mm_block_unref (blocks[at]);
          blocks.erase (blocks.begin () + (long)at);
        }
      ASSERT_LE (mm_budget_used (budget),
                 8 * kLarge + blocks.size () * MM_SMALL_BYTES);
    }
  for (MmBlock *block : blocks)
    mm_block_unref (block);
  EXPECT_EQ (0u, mm_budget_used (budget));
}

/* Guards against small bodies that are counted for less than they cost.  */
TEST (Memory, SmallBodiesCostWhatIsAllocated)
{
  EXPECT_EQ (0u, mm_small_cost_bytes (0));
  EXPECT_EQ (32768u, mm_small_cost_bytes (32768));
  EXPECT_EQ (65536u, mm_small_cost_bytes (32769));
  EXPECT_EQ (65536u, mm_small_cost_bytes (MM_SMALL_BYTES));
}

TEST (Memory, SharesLeaveRoomForTheRest)
{
  for (uint64_t mb : { 260u, 320u, 520u })
    EXPECT_LE (2 * mm_share_bytes (mb << 20), (mb << 20) / 100 * 80);
  EXPECT_GE (mm_share_bytes (260 << 20), 64u << 20);
  EXPECT_GE (mm_share_bytes (1 << 20), 16u << 20);
}

}
