#include <gtest/gtest.h>

#include <string>
#include <vector>

extern "C"
{
#include "notice/notice.h"
}

namespace
{

const NtHeaderNames kNames
    = { "Server-Limit", "Server-Leaving", "Retry-After" };

NtNotice
DecodeLimits (const std::vector<std::string> &limits)
{
  HtHeaders *headers = ht_headers_new ();
  NtNotice notice;
  for (const std::string &limit : limits)
    ht_headers_add (headers, "server-limit", limit.c_str ());
  nt_decode (&kNames, 200, headers, &notice);
  ht_headers_free (headers);
  return notice;
}

/* Guards against a limit that is not read, and against a target that takes
   nothing and gets all, or is never asked again whether that still holds.  */
TEST (Notice, ReadsALimit)
{
  EXPECT_DOUBLE_EQ (DecodeLimits ({ "6.8" }).limit_per_s, 6.8);
  EXPECT_DOUBLE_EQ (DecodeLimits ({ "3" }).limit_per_s, 3);
  for (const char *limit : { "0", "0.0", "0.01" })
    {
      EXPECT_EQ (DecodeLimits ({ limit }).limit_per_s, NT_LIMIT_MIN_PER_S);
      EXPECT_EQ (DecodeLimits ({ limit }).invalid_count, 0u);
    }
  EXPECT_EQ (DecodeLimits ({ "3" }).invalid_count, 0u);
  EXPECT_EQ (DecodeLimits ({}).limit_per_s, 0);
  EXPECT_EQ (DecodeLimits ({}).invalid_count, 0u);
}

/* Guards against a faulty target that gets nothing, or is limited to a value
   that it did not state.  */
TEST (Notice, IgnoresInvalidLimits)
{
  for (const char *limit :
       { "", "-0", "-1", "+1", "nan", "inf", "1e3", "0x10", "1e999",
         "99999999999999999999", "1,5", "1.2.3", "1 2", ".", "many" })
    {
      NtNotice notice = DecodeLimits ({ limit });
      EXPECT_EQ (notice.limit_per_s, 0) << limit;
      EXPECT_EQ (notice.invalid_count, 1u) << limit;
    }
  EXPECT_EQ (DecodeLimits ({ "3", "8" }).limit_per_s, 0);
  EXPECT_EQ (DecodeLimits ({ "3", "8" }).invalid_count, 1u);
}

NtNotice
Decode (uint32_t status, const char *name, const char *value)
{
  HtHeaders *headers = ht_headers_new ();
  NtNotice notice;
  ht_headers_add (headers, name, value);
  nt_decode (&kNames, status, headers, &notice);
  ht_headers_free (headers);
  return notice;
}

/* Guards against sending to a target that leaves, and against giving one up
   that does not.  */
TEST (Notice, ReadsLeaving)
{
  EXPECT_TRUE (Decode (200, "server-leaving", "1").leaving);
  for (const char *text : { "0", "yes", "", "11" })
    {
      EXPECT_FALSE (Decode (200, "server-leaving", text).leaving) << text;
      EXPECT_EQ (Decode (200, "server-leaving", text).invalid_count, 1u);
    }
}

/* Guards against sending to a target that wants no requests, and against a
   pause that another status or a date asks for, or one without end.  */
TEST (Notice, ReadsPauses)
{
  EXPECT_EQ (Decode (503, "retry-after", "1.5").pause_us, 1500000);
  EXPECT_EQ (Decode (503, "retry-after", "3600").pause_us, 3600000000);
  for (const char *text : { "3601", "7200", "99999999999999999999" })
    {
      EXPECT_EQ (Decode (503, "retry-after", text).pause_us, 3600000000);
      EXPECT_EQ (Decode (503, "retry-after", text).invalid_count, 0u);
    }
  EXPECT_EQ (Decode (500, "retry-after", "2").pause_us, 0);
  EXPECT_EQ (Decode (500, "retry-after", "2").invalid_count, 0u);
  for (const char *text :
       { "-1", "0", "inf", "Wed, 21 Oct 2026 07:28:00 GMT" })
    {
      EXPECT_EQ (Decode (503, "retry-after", text).pause_us, 0) << text;
      EXPECT_EQ (Decode (503, "retry-after", text).invalid_count, 1u);
    }
}

} // namespace
