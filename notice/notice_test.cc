#include <gtest/gtest.h>

#include <string>
#include <vector>

extern "C"
{
#include "notice/notice.h"
}

namespace
{

const NtHeaderNames kNames = { "Server-Limit" };

NtNotice
DecodeLimits (const std::vector<std::string> &limits)
{
  HtHeaders *headers = ht_headers_new ();
  NtNotice notice;
  for (const std::string &limit : limits)
    ht_headers_add (headers, "server-limit", limit.c_str ());
  nt_decode (&kNames, headers, &notice);
  ht_headers_free (headers);
  return notice;
}

/* Guards against a limit that is not read.  */
TEST (Notice, ReadsALimit)
{
  EXPECT_DOUBLE_EQ (DecodeLimits ({ "6.8" }).limit_per_s, 6.8);
  EXPECT_DOUBLE_EQ (DecodeLimits ({ "3" }).limit_per_s, 3);
  EXPECT_EQ (DecodeLimits ({ "3" }).invalid_count, 0u);
  EXPECT_EQ (DecodeLimits ({}).limit_per_s, 0);
  EXPECT_EQ (DecodeLimits ({}).invalid_count, 0u);
}

/* Guards against a faulty target that gets nothing, or is limited to a value
   that it did not state.  */
TEST (Notice, IgnoresInvalidLimits)
{
  for (const char *limit :
       { "", "0", "0.0", "-1", "+1", "nan", "inf", "1e3", "0x10", "1e999",
         "99999999999999999999", "1,5", "1.2.3", "1 2", ".", "many" })
    {
      NtNotice notice = DecodeLimits ({ limit });
      EXPECT_EQ (notice.limit_per_s, 0) << limit;
      EXPECT_EQ (notice.invalid_count, 1u) << limit;
    }
  EXPECT_EQ (DecodeLimits ({ "3", "8" }).limit_per_s, 0);
  EXPECT_EQ (DecodeLimits ({ "3", "8" }).invalid_count, 1u);
}

} // namespace
