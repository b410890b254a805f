#include <gtest/gtest.h>

extern "C"
{
#include "era/era.h"
}

namespace
{

constexpr int64_t kStartUs = 5000000;
constexpr uint64_t kRevision = 100;

ErGuard
StartAt (uint64_t era, uint64_t recorded_era = 0)
{
  ErGuard guard = {};

  er_on_record (&guard, recorded_era);
  er_on_read (&guard, era, kRevision, kStartUs);
  return guard;
}

/* Guards against refusing keys at a store that was never restored, or that
   names no era.  */
TEST (Era, FirstEraIsSettled)
{
  EXPECT_TRUE (StartAt (0).is_settled);
  EXPECT_TRUE (StartAt (ER_FIRST).is_settled);
  EXPECT_FALSE (ErGuard{}.is_settled);
}

/* Guards against a started daemon that believes the copy, and against one that
   refuses keys without an end.  */
TEST (Era, LaterEraSettlesWithTime)
{
  ErGuard guard = StartAt (2);

  EXPECT_FALSE (guard.is_settled);
  er_on_config (&guard, kRevision);
  er_on_read (&guard, 2, kRevision + 50, kStartUs + ER_SETTLE_US - 1);
  EXPECT_FALSE (guard.is_settled);
  er_on_read (&guard, 2, kRevision + 50, kStartUs + ER_SETTLE_US);
  EXPECT_TRUE (guard.is_settled);
}

/* Guards against refusing keys although the operator has written again.  */
TEST (Era, ConfigurationThatIsWrittenAgainSettles)
{
  ErGuard guard = StartAt (2);

  er_on_config (&guard, kRevision + 1);
  EXPECT_TRUE (guard.is_settled);
}

/* Guards against taking the configuration of the copy for one that was written
   again, since the revision of the read before was lower.  */
TEST (Era, ConfigurationOfAnotherCopyDoesNotSettle)
{
  ErGuard guard = StartAt (2);

  er_on_restored (&guard, 3, kStartUs + 1);
  er_on_config (&guard, kRevision + 1);
  er_on_read (&guard, 3, kRevision + 1, kStartUs + 2);
  EXPECT_FALSE (guard.is_settled);
  er_on_read (&guard, 3, kRevision + 1, kStartUs + ER_SETTLE_US);
  EXPECT_FALSE (guard.is_settled);
  er_on_read (&guard, 3, kRevision + 1, kStartUs + 1 + ER_SETTLE_US);
  EXPECT_TRUE (guard.is_settled);
}

/* Guards against a daemon that ran before the restore and refuses keys.  */
TEST (Era, SettledDaemonStaysSettledThroughARestore)
{
  ErGuard guard = StartAt (1);

  er_on_restored (&guard, 2, kStartUs + 1);
  er_on_read (&guard, 2, kRevision / 2, kStartUs + 2);
  EXPECT_TRUE (guard.is_settled);
}

/* Guards against refusing keys after each start of all daemons for as long as
   the store lives, and against a record of an earlier era, which a copy may
   hold.  */
TEST (Era, RecordOfTheSameEraSettles)
{
  EXPECT_TRUE (StartAt (3, 3).is_settled);
  ErGuard guard = StartAt (3, 2);
  EXPECT_FALSE (guard.is_settled);
  er_on_record (&guard, 0);
  EXPECT_FALSE (guard.is_settled);
  er_on_record (&guard, 3);
  EXPECT_TRUE (guard.is_settled);
}

/* Guards against a record before operators had the time to write again, and
   against one for each read.  */
TEST (Era, IsRecordedOnceAfterItHasSettled)
{
  ErGuard guard = StartAt (1);

  EXPECT_FALSE (er_wants_record (&guard, kStartUs + 2 * ER_SETTLE_US));
  er_on_restored (&guard, 2, kStartUs);
  EXPECT_FALSE (er_wants_record (&guard, kStartUs + ER_SETTLE_US - 1));
  EXPECT_TRUE (er_wants_record (&guard, kStartUs + ER_SETTLE_US));
  er_on_record (&guard, 2);
  EXPECT_FALSE (er_wants_record (&guard, kStartUs + ER_SETTLE_US));
  guard = StartAt (2);
  EXPECT_FALSE (er_wants_record (&guard, kStartUs + ER_SETTLE_US));
}

} // namespace
