#include <gtest/gtest.h>

#include <string>
#include <vector>

extern "C"
{
#include "slot/slot.h"
}

namespace
{

const int64_t SECOND = 1000000;
const int64_t FOREVER = INT64_MAX;

class SlotTest : public testing::Test
{
protected:
  SlTable *table = sl_new (&options);
  SlPermitId permit_id = 0;
  static constexpr SlOptions options = { .incarnation = 5 };

  void
  SetUp () override
  {
    sl_set_validity (table, FOREVER, FOREVER);
    set_held (1, 2, 0);
    sl_set_warmth (table, "t", 1000, 0);
  }

  void
  TearDown () override
  {
    sl_free (table);
  }

  void
  set_held (uint32_t base, uint32_t flex, int64_t now, int64_t usable_at = 0)
  {
    ASSERT_TRUE (
        sl_set_held_slots (table, "t", base, flex, usable_at, now, nullptr));
  }

  bool
  acquire (int64_t now, int64_t deadline = 5 * SECOND)
  {
    return sl_acquire (table, "t", deadline, now, &permit_id);
  }

  int
  acquire_all (int64_t now, int64_t deadline = 5 * SECOND)
  {
    int count = 0;
    while (acquire (now, deadline))
      count++;
    return count;
  }

  void
  complete_requests (SlOutcome outcome, int count)
  {
    for (int i = 0; i < count; i++)
      {
        ASSERT_TRUE (acquire (1));
        sl_release (table, permit_id, outcome, 1);
      }
  }

  SlState
  state (int64_t now)
  {
    return sl_state (table, "t", now);
  }
};

/* Guards against a slot that is freed while its request may still run: only a
   known outcome frees it before the deadline and margin.  */
TEST_F (SlotTest, OutcomeDeterminesWhenSlotIsFreed)
{
  struct
  {
    SlOutcome outcome;
    int64_t free_at;
  } cases[] = { { SL_OUTCOME_SUCCESS, 0 },
                { SL_OUTCOME_SHED, 0 },
                { SL_OUTCOME_FAILED, 0 },
                { SL_OUTCOME_NOT_SENT, 0 },
                { SL_OUTCOME_CANCELLED, SL_CANCEL_GRACE_US },
                { SL_OUTCOME_UNKNOWN, 5 * SECOND + SL_DEADLINE_MARGIN_US } };
  for (auto c : cases)
    {
      sl_free (table);
      table = sl_new (&options);
      SetUp ();
      ASSERT_TRUE (acquire (0));
      sl_release (table, permit_id, c.outcome, 0);
      EXPECT_EQ (c.free_at > 0, state (MAX (c.free_at - 1, 0)).in_use_count);
      EXPECT_EQ (0u, state (c.free_at).in_use_count);
      sl_release (table, permit_id, SL_OUTCOME_SUCCESS, 0);
      EXPECT_FALSE (sl_permit_valid (table, permit_id, 0));
    }
}

/* Guards against a daemon that was paused and sends under an expired permit,
   and against a deadline above the maximum.  */
TEST_F (SlotTest, PermitExpiresAtDeadline)
{
  ASSERT_TRUE (acquire (0, 60 * SECOND));
  EXPECT_EQ (SL_REQUEST_MAX_US, sl_permit_deadline_us (table, permit_id));
  EXPECT_TRUE (sl_permit_valid (table, permit_id, SL_REQUEST_MAX_US - 1));
  EXPECT_FALSE (sl_permit_valid (table, permit_id, SL_REQUEST_MAX_US));
  EXPECT_FALSE (acquire (7, 7));
}

/* Guards against the use of flex slots after the lease, of base slots after
   their 1 h validity, and of slots in quarantine.  */
TEST_F (SlotTest, ExpiredAndQuarantinedSlotsAreNotUsed)
{
  sl_set_validity (table, 100, 200);
  EXPECT_EQ (3u, state (99).usable_count);
  EXPECT_EQ (1u, state (100).usable_count);
  EXPECT_EQ (0u, state (200).usable_count);
  EXPECT_FALSE (acquire (200));
  sl_set_validity (table, FOREVER, FOREVER);
  set_held (1, 0, 300);
  set_held (1, 2, 300, 500);
  EXPECT_EQ (1, acquire_all (499));
  EXPECT_EQ (2, acquire_all (500));
}

/* Guards against a slot that is reassigned while occupied, and against one
   that is used between sl_drain_slots and the change of the assignment.  */
TEST_F (SlotTest, DrainWaitsForRunningRequests)
{
  SlPermitId flex[2];
  for (SlPermitId &f : flex)
    {
      ASSERT_TRUE (acquire (0));
      f = permit_id;
    }
  EXPECT_EQ (1, acquire_all (0));
  EXPECT_FALSE (sl_drain_slots (table, "t", 1, 1, 1));
  for (SlPermitId f : flex)
    sl_release (table, f, SL_OUTCOME_SUCCESS, 2);
  EXPECT_TRUE (sl_drain_slots (table, "t", 1, 1, 3));
  EXPECT_EQ (1, acquire_all (3));
  set_held (1, 2, 4);
  EXPECT_EQ (1, acquire_all (4));
  set_held (0, 0, 5);
  EXPECT_EQ (3u, state (5).in_use_count);
  EXPECT_EQ (0u, state (5).held_count);
  EXPECT_FALSE (sl_remove_target (table, "t", 5));
  EXPECT_TRUE (sl_remove_target (table, "t", 6 * SECOND));
}

/* Guards against a slot of a fenced holder that is reassigned during its
   quarantine, so that the next holder would use it at once.  */
TEST_F (SlotTest, DrainWaitsForQuarantine)
{
  set_held (1, 1, 1);
  set_held (1, 2, 1, 9);
  EXPECT_FALSE (sl_drain_slots (table, "t", 1, 1, 8));
  EXPECT_TRUE (sl_drain_slots (table, "t", 1, 1, 9));
}

/* Guards against holding more slots than a target has.  */
TEST_F (SlotTest, RejectsTooManySlots)
{
  g_autoptr (GError) error = nullptr;
  EXPECT_FALSE (sl_set_held_slots (table, "t", 2, 2, 0, 0, &error));
  EXPECT_TRUE (g_error_matches (error, SL_ERROR, SL_ERROR_TOO_MANY_SLOTS));
  EXPECT_EQ (3u, state (0).held_count);
}

/* Guards against a limit that does not fall on a shed request, that falls to
   0, or that rises before 20 successes.  */
TEST_F (SlotTest, LimitFollowsOutcomes)
{
  complete_requests (SL_OUTCOME_SHED, 5);
  EXPECT_EQ (1u, state (1).limit_count);
  complete_requests (SL_OUTCOME_SUCCESS, 19);
  complete_requests (SL_OUTCOME_FAILED, 1);
  complete_requests (SL_OUTCOME_SUCCESS, 19);
  EXPECT_EQ (1u, state (1).limit_count);
  complete_requests (SL_OUTCOME_SUCCESS, 1);
  EXPECT_EQ (2u, state (1).limit_count);
  complete_requests (SL_OUTCOME_SUCCESS, 40);
  EXPECT_EQ (3u, state (1).limit_count);
  EXPECT_EQ (3, acquire_all (1));
}

/* Guards against full load on a cold target, and against a ramp that restarts
   with each report.  */
TEST_F (SlotTest, ColdTargetRampsUp)
{
  for (int64_t at = 10 * SECOND; at < 16 * SECOND; at += SECOND / 2)
    {
      sl_set_warmth (table, "t", 100, at);
      EXPECT_EQ (MIN (1 + (at - 10 * SECOND) / (2 * SECOND), 3),
                 state (at).free_count);
    }
  sl_set_held_slots (table, "new", 3, 0, 20 * SECOND, 16 * SECOND, nullptr);
  EXPECT_EQ (1u, sl_state (table, "new", 20 * SECOND).free_count);
  EXPECT_EQ (2u, sl_state (table, "new", 22 * SECOND).free_count);
  sl_set_warmth (table, "new", 950, 22 * SECOND);
  EXPECT_EQ (3u, sl_state (table, "new", 22 * SECOND).free_count);
}

/* Guards against a grant that is used after it has expired at the lender, and
   against a return that is lost, duplicated, or sent for a request with an
   unknown outcome.  */
TEST_F (SlotTest, GrantIsReturnedOnceOrExpires)
{
  SlTable *borrower = sl_new (&options);
  SlGrant grant;
  SlReturn returned;
  ASSERT_TRUE (sl_lend (table, "t", "vm2", 4 * SECOND, 100, &grant));
  EXPECT_EQ (1u, state (100).lent_count);
  EXPECT_FALSE (sl_accept_grant (borrower, "t", "vm1", &grant, 0, 4 * SECOND,
                                 &permit_id));
  ASSERT_TRUE (
      sl_accept_grant (borrower, "t", "vm1", &grant, 0, 200, &permit_id));
  EXPECT_FALSE (sl_permit_valid (borrower, permit_id, 4 * SECOND));
  EXPECT_FALSE (sl_next_return (borrower, 300, &returned));
  sl_release (borrower, permit_id, SL_OUTCOME_SHED, 300);
  ASSERT_TRUE (sl_next_return (borrower, 300, &returned));
  EXPECT_FALSE (sl_next_return (borrower, 300, &returned));
  EXPECT_STREQ ("vm1", returned.vm);
  sl_apply_return (table, returned.grant_id, returned.outcome, 400);
  sl_apply_return (table, returned.grant_id, returned.outcome, 400);
  EXPECT_EQ (0u, state (400).in_use_count);
  EXPECT_EQ (1u, state (400).limit_count);
  ASSERT_TRUE (sl_lend (table, "t", "vm2", SECOND, 500, &grant));
  ASSERT_TRUE (
      sl_accept_grant (borrower, "t", "vm1", &grant, 500, 600, &permit_id));
  sl_release (borrower, permit_id, SL_OUTCOME_UNKNOWN, 600);
  sl_expire (borrower, 60 * SECOND);
  EXPECT_FALSE (sl_next_return (borrower, 60 * SECOND, &returned));
  EXPECT_EQ (0u, state (500 + SECOND + SL_DEADLINE_MARGIN_US).in_use_count);
  EXPECT_EQ (INT64_MAX, sl_next_expiry_us (borrower));
  sl_free (borrower);
}

/* Guards against a late return of an earlier process's grant that frees a slot
   of the new process.  */
TEST_F (SlotTest, GrantIdsDifferBetweenProcesses)
{
  SlOptions next = { .incarnation = 6 };
  SlTable *later = sl_new (&next);
  SlGrant first, second;
  sl_set_validity (later, FOREVER, FOREVER);
  sl_set_held_slots (later, "t", 1, 2, 0, 0, nullptr);
  ASSERT_TRUE (sl_lend (table, "t", "vm2", SECOND, 0, &first));
  ASSERT_TRUE (sl_lend (later, "t", "vm2", SECOND, 0, &second));
  sl_apply_return (later, first.id, SL_OUTCOME_SUCCESS, 0);
  EXPECT_EQ (1u, sl_state (later, "t", 0).in_use_count);
  sl_free (later);
}

/* Guards against more connections to a target than it accepts: the borrowers
   of all its holders stay within 64, and idle ones disconnect.  */
TEST_F (SlotTest, BorrowersAndConnectionsAreBounded)
{
  SlGrant grant;
  for (uint32_t held = 1; held <= 3; held++)
    {
      int64_t now = held * 100 * SECOND;
      uint32_t lent = 0;
      set_held (held, 0, now);
      for (int i = 0; i < 100; i++)
        if (sl_lend (table, "t", ("vm" + std::to_string (i)).c_str (), SECOND,
                     now, &grant))
          {
            lent++;
            sl_apply_return (table, grant.id, SL_OUTCOME_SUCCESS, now);
          }
      EXPECT_EQ (64 * held / 3, lent);
      EXPECT_EQ (lent, state (now).borrower_count);
      EXPECT_EQ (0u, state (now + 6 * SECOND).borrower_count);
    }
  EXPECT_EQ (3u, sl_connections_allowed (table, "t", 0));
  EXPECT_EQ (0u, sl_connections_allowed (table, "u", 0));
  SlGrant other = { .id = 1, .valid_us = SECOND };
  ASSERT_TRUE (sl_accept_grant (table, "u", "vm1", &other, 0, 0, &permit_id));
  EXPECT_EQ (1u, sl_connections_allowed (table, "u", 0));
  sl_release (table, permit_id, SL_OUTCOME_SUCCESS, 100);
  EXPECT_EQ (1u, sl_connections_allowed (table, "u", 5 * SECOND));
  EXPECT_EQ (0u, sl_connections_allowed (table, "u", 5 * SECOND + 100));
}

}
