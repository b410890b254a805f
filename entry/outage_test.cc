#include <gtest/gtest.h>

extern "C"
{
#include "entry/outage.h"
}

namespace
{

constexpr int64_t kSecond = 1000000;

/* Guards against dropping targets whose entries expired while the store was
   away, before they had the time to register again.  */
TEST (Outage, RetainsUntilTargetsCanBeBack)
{
  EnOutage outage = {};
  en_outage_note_failure (&outage, 10 * kSecond);
  EXPECT_FALSE (en_outage_retains (&outage, 10 * kSecond));
  EXPECT_TRUE (en_outage_retains (&outage, 12 * kSecond));
  EXPECT_TRUE (en_outage_note_sync (&outage, 13 * kSecond));
  EXPECT_TRUE (
      en_outage_retains (&outage, 13 * kSecond + EN_OUTAGE_RETAIN_US - 1));
  EXPECT_FALSE (
      en_outage_retains (&outage, 13 * kSecond + EN_OUTAGE_RETAIN_US));
}

/* Guards against taking the failure of one call for an outage.  */
TEST (Outage, IgnoresAShortFailure)
{
  EnOutage outage = {};
  en_outage_note_failure (&outage, 10 * kSecond);
  EXPECT_FALSE (en_outage_note_sync (&outage, 10 * kSecond + kSecond / 2));
  EXPECT_FALSE (en_outage_retains (&outage, 12 * kSecond));
}

/* Guards against a daemon that was cut off for some seconds, has followed its
   region leader since, and takes the old failure for an outage when it reads
   the store again: it went on sending to a target that had been removed
   (tammemets-boards, daemon-cut, seed 214406988382: 2.3 s after the
   removal).  */
TEST (Outage, EndsWhenTheLeaderRelaysChanges)
{
  EnOutage outage = {};
  en_outage_note_failure (&outage, 7 * kSecond);
  en_outage_note_delta (&outage);
  EXPECT_FALSE (en_outage_retains (&outage, 19 * kSecond));
  EXPECT_FALSE (en_outage_note_sync (&outage, 19 * kSecond));
}

/* Guards against dropping targets that a store lacks which was away for a
   moment only, but came back from an older copy.  */
TEST (Outage, RetainsTargetsAfterARestore)
{
  EnOutage outage = {};
  en_outage_note_restored (&outage, 10 * kSecond);
  EXPECT_TRUE (en_outage_retains (&outage, 10 * kSecond));
  EXPECT_TRUE (en_outage_note_sync (&outage, 10 * kSecond + kSecond / 10));
  EXPECT_TRUE (en_outage_retains (&outage, 11 * kSecond));
  EXPECT_FALSE (en_outage_retains (&outage, 12 * kSecond));
}

}
