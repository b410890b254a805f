#include <gtest/gtest.h>

extern "C"
{
#include "stop/stop.h"
}

namespace
{

constexpr int64_t kMs = 1000;
constexpr int64_t kTerm = 5000000;

void
begin (SpStop *stop, uint32_t grace_ms, uint32_t listen_ms = 0)
{
  SpOptions options = { grace_ms, listen_ms, listen_ms };
  sp_begin (stop, &options, kTerm);
}

/* Guards against refusals by a daemon that is not stopping.  */
TEST (Stop, AdmitsEverythingBeforeTheSignal)
{
  SpStop stop = {};
  EXPECT_TRUE (sp_admits (&stop, kTerm + 60000 * kMs, 1000 * kMs, kTerm));
}

/* Guards against a request that a stopping daemon accepts late and that is
   still running when the daemon ends, for any grace period.  */
TEST (Stop, RequestAcceptedLateEndsBeforeTheDaemon)
{
  for (uint32_t grace_ms : { 0u, 300u, 1000u, 4000u, 6000u, 10000u, 30000u })
    {
      SpStop stop = {};
      begin (&stop, grace_ms);
      for (int64_t late_ms = 3000; late_ms <= grace_ms; late_ms += 50)
        for (int64_t allowed_ms = 50; allowed_ms <= 12000; allowed_ms += 150)
          {
            int64_t now_us = kTerm + late_ms * kMs;
            int64_t deadline_us = now_us + allowed_ms * kMs;
            EXPECT_TRUE (!sp_admits (&stop, deadline_us, 300 * kMs, now_us)
                         || deadline_us + 400 * kMs <= kTerm + grace_ms * kMs)
                << grace_ms << " " << late_ms << " " << allowed_ms;
          }
    }
}

/* Guards against refusing callers that have not looked up another VM yet,
   although there is time to serve them.  */
TEST (Stop, ServesAtFirstWhatHasTimeForAUsualRequest)
{
  SpStop stop = {};
  begin (&stop, 6000);
  EXPECT_TRUE (
      sp_admits (&stop, kTerm + 8000 * kMs, 800 * kMs, kTerm + 500 * kMs));
  EXPECT_FALSE (
      sp_admits (&stop, kTerm + 10500 * kMs, 800 * kMs, kTerm + 2500 * kMs));
  EXPECT_TRUE (
      sp_admits (&stop, kTerm + 5500 * kMs, 800 * kMs, kTerm + 3500 * kMs));
}

/* Guards against a daemon that accepts connections until its end, and one
   with a grace period so short that times are negative.  */
TEST (Stop, StopsAcceptingBeforeItEnds)
{
  SpStop stop = {};
  begin (&stop, 6000);
  EXPECT_EQ (stop.accept_until_us, kTerm + 3700 * kMs);
  EXPECT_EQ (stop.end_us, kTerm + 5600 * kMs);
  EXPECT_EQ (stop.over_us, kTerm + 6000 * kMs);
  begin (&stop, 100);
  EXPECT_EQ (stop.accept_until_us, kTerm);
  EXPECT_GE (stop.end_us, kTerm);
}

/* Guards against requests that are ended before the last sixth of the grace
   period, and against too little time for their responses.  */
TEST (Stop, EndsRequestsInTheLastSixthOfTheGracePeriod)
{
  for (uint32_t grace_ms :
       { 0u, 100u, 300u, 1000u, 2000u, 4000u, 6000u, 30000u })
    {
      SpStop stop = {};
      begin (&stop, grace_ms);
      int64_t kill_us = kTerm + grace_ms * kMs;
      int64_t reserved_us = kill_us - stop.end_us;
      EXPECT_LE (reserved_us, grace_ms * kMs / 6) << grace_ms;
      EXPECT_FALSE (sp_may_exit (&stop, FALSE, stop.end_us - 1));
      EXPECT_FALSE (
          sp_may_exit (&stop, TRUE, kill_us - reserved_us / 4 - kMs));
      EXPECT_TRUE (
          sp_may_exit (&stop, FALSE, kill_us - reserved_us / 2 + kMs));
      EXPECT_TRUE (sp_may_exit (&stop, TRUE, kill_us - reserved_us / 4 + kMs));
      EXPECT_GE (reserved_us, MIN (400 * kMs, grace_ms * kMs / 6 - kMs))
          << grace_ms;
    }
}

/* Guards against a daemon that stops listening while callers still use lookups
   that they cached, or refuses what it can serve by then.  */
TEST (Stop, ServesAsLongAsCachedLookupsAreUsed)
{
  SpStop stop = {};
  begin (&stop, 30000, 6000);
  EXPECT_EQ (stop.accept_until_us, kTerm + 6000 * kMs);
  EXPECT_TRUE (
      sp_admits (&stop, kTerm + 40000 * kMs, 10 * kMs, kTerm + 5900 * kMs));
  EXPECT_FALSE (
      sp_admits (&stop, kTerm + 40000 * kMs, 10 * kMs, kTerm + 6000 * kMs));
  begin (&stop, 5000, 6000);
  EXPECT_EQ (stop.accept_until_us, kTerm + 2700 * kMs);
  EXPECT_FALSE (sp_admits (&stop, kTerm + 12500 * kMs, 0, kTerm + 2500 * kMs));
}

}
