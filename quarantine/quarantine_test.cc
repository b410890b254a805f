#include <gtest/gtest.h>

#include <cstdint>
#include <map>
#include <random>
#include <set>
#include <vector>

extern "C"
{
#include "quarantine/quarantine.h"
}

namespace
{

constexpr int64_t kSecond = 1000000;

class Quarantine : public testing::Test
{
protected:
  void
  SetUp () override
  {
    table = qr_new ();
  }

  void
  TearDown () override
  {
    qr_free (table);
  }

  int64_t
  Until (int64_t after_us)
  {
    return now_us + after_us + QR_QUARANTINE_US;
  }

  QrTable *table;
  int64_t now_us = 100 * kSecond;
};

/* Guards against a request that crashes one target after the other.  */
TEST_F (Quarantine, BeginsWhenARequestWasOnFourTargetsThatEnded)
{
  for (uint64_t target = 1; target <= 3; target++)
    EXPECT_FALSE (qr_note_ended (table, 7, target, now_us));
  EXPECT_FALSE (qr_is_quarantined (table, 7, now_us));
  EXPECT_TRUE (qr_note_ended (table, 7, 4, now_us));
  EXPECT_TRUE (qr_is_quarantined (table, 7, now_us));
  EXPECT_FALSE (qr_is_quarantined (table, 8, now_us));
}

/* Guards against counting one end as often as it is reported.  */
TEST_F (Quarantine, CountsAnIncarnationOfATargetOnce)
{
  for (int i = 0; i < 10; i++)
    EXPECT_FALSE (qr_note_ended (table, 7, 1, now_us));
  EXPECT_FALSE (qr_note_ended (table, 7, 2, now_us));
  EXPECT_FALSE (qr_note_ended (table, 7, 3, now_us));
  EXPECT_FALSE (qr_note_ended (table, 7, 1, now_us));
}

/* Guards against refusing a request that has run well, here or at another
   daemon.  */
TEST_F (Quarantine, ForgetsARequestThatRanWell)
{
  qr_note_ended (table, 7, 1, now_us);
  qr_note_ended (table, 7, 2, now_us);
  EXPECT_TRUE (qr_note_served (table, 7, now_us + 1));
  EXPECT_FALSE (qr_note_served (table, 7, now_us + 2));
  EXPECT_FALSE (qr_note_ended (table, 7, 3, now_us + 3));
  EXPECT_FALSE (qr_add (table, 7, now_us, Until (4), now_us + 4));
  EXPECT_FALSE (qr_is_quarantined (table, 7, now_us + 4));
  EXPECT_TRUE (qr_add (table, 7, now_us + 3, Until (4), now_us + 4));
  EXPECT_TRUE (qr_is_quarantined (table, 7, now_us + 4));
  qr_remove (table, 7);
  EXPECT_FALSE (qr_is_quarantined (table, 7, now_us + 4));
}

/* Guards against refusing a request for good, and against a request that
   crashes several targets each time that it is tried again.  */
TEST_F (Quarantine, EndsAfterAWhileUntilOneMoreTargetEnds)
{
  for (uint64_t target = 1; target <= QR_ENDED_MAX; target++)
    qr_note_ended (table, 7, target, now_us);
  EXPECT_TRUE (qr_is_quarantined (table, 7, now_us + QR_QUARANTINE_US));
  now_us += QR_QUARANTINE_US + 1;
  EXPECT_FALSE (qr_is_quarantined (table, 7, now_us));
  EXPECT_TRUE (qr_note_ended (table, 7, 9, now_us));
  EXPECT_TRUE (qr_is_quarantined (table, 7, now_us));
  EXPECT_FALSE (qr_is_quarantined (table, 7, now_us + QR_TTL_US + 1));
  EXPECT_EQ (qr_count (table), 0u);
}

/* Guards against a daemon that has just started and sends a request on, since
   it does not know of the targets that ended under it, and against refusing
   one that ran well after it was first on one.  */
TEST_F (Quarantine, IsTakenOverFromAnotherTable)
{
  QrTable *started = qr_new ();
  for (uint64_t target = 1; target <= QR_ENDED_MAX; target++)
    qr_note_ended (table, 7, target, now_us);
  for (uint64_t target = 1; target < QR_ENDED_MAX; target++)
    qr_note_ended (table, 8, target, now_us + 1);
  std::vector<QrSuspect> known;
  qr_each (
      table,
      [] (const QrSuspect *suspect, void *data) {
        static_cast<std::vector<QrSuspect> *> (data)->push_back (*suspect);
      },
      &known);
  ASSERT_EQ (known.size (), 2u);
  EXPECT_EQ (known[0].content, 8u);
  EXPECT_EQ (known[0].until_us, 0);
  now_us += 50 * kSecond;
  EXPECT_TRUE (
      qr_add (started, 7, known[1].first_ended_us, known[1].until_us, now_us));
  for (uint32_t i = 0; i < known[0].ended_count; i++)
    EXPECT_FALSE (qr_take_over_ended (started, 8, known[0].incarnations[i],
                                      known[0].first_ended_us, now_us));
  for (int64_t later_us : { 0, 9, 11 })
    EXPECT_EQ (qr_is_quarantined (started, 7, now_us + later_us * kSecond),
               qr_is_quarantined (table, 7, now_us + later_us * kSecond))
        << later_us;
  EXPECT_EQ (qr_find (started, 8)->first_ended_us, known[0].first_ended_us);
  EXPECT_TRUE (qr_note_ended (started, 8, 9, now_us));
  qr_note_served (started, 8, now_us);
  for (uint32_t i = 0; i < 2 * QR_ENDED_MAX; i++)
    EXPECT_FALSE (
        qr_take_over_ended (started, 8, i, known[0].first_ended_us, now_us));
  EXPECT_EQ (qr_find (started, 8), nullptr);
  qr_free (started);
}

/* Guards against tables that grow with the number of requests.  */
TEST_F (Quarantine, IsBounded)
{
  for (uint64_t content = 1; content <= 3 * QR_SERVED_MAX; content++)
    {
      qr_note_served (table, content, now_us);
      qr_note_ended (table, content, 1, now_us);
    }
  EXPECT_EQ (qr_count (table), (uint32_t)QR_SUSPECTS_MAX);
  EXPECT_TRUE (qr_add (table, 1, now_us - 1, Until (0), now_us));
  EXPECT_FALSE (
      qr_add (table, 3 * QR_SERVED_MAX, now_us - 1, Until (0), now_us));
}

/* Guards against giving up innocent requests that are on targets when these
   end.  30 targets run 6 requests each, most of them innocent and all of them
   sent again until they ran well, beside two that crash each target that runs
   them.  */
TEST (QuarantineSchedule, NeverQuarantinesAnInnocentRequest)
{
  constexpr uint64_t kTargets = 30, kInFlight = 6;
  uint64_t innocent_ends = 0;
  for (unsigned seed = 1; seed <= 200; seed++)
    {
      std::mt19937_64 random (seed);
      QrTable *table = qr_new ();
      std::set<uint64_t> pending = { 1, 2 }, deadly = { 1, 2 };
      uint64_t last_content = 100, incarnation = 0, deadly_sends = 0;
      for (int64_t now_us = kSecond; now_us < 30 * kSecond;
           now_us += kSecond / 10)
        {
          std::map<uint64_t, std::set<uint64_t> > on_target;
          while (pending.size () < kTargets * kInFlight / 2)
            pending.insert (++last_content);
          for (uint64_t content : pending)
            if (!qr_is_quarantined (table, content, now_us))
              on_target[random () % kTargets].insert (content);
          for (const auto &[target, contents] : on_target)
            {
              bool ends = contents.count (1) > 0 || contents.count (2) > 0;
              incarnation++;
              for (uint64_t content : contents)
                {
                  if (!ends)
                    {
                      qr_note_served (table, content, now_us);
                      pending.erase (content);
                      continue;
                    }
                  deadly_sends += deadly.count (content);
                  innocent_ends += deadly.count (content) == 0;
                  bool quarantined
                      = qr_note_ended (table, content, incarnation, now_us);
                  EXPECT_FALSE (quarantined && deadly.count (content) == 0)
                      << "seed " << seed;
                }
            }
        }
      EXPECT_EQ (deadly_sends, 2u * QR_ENDED_MAX);
      qr_free (table);
    }
  EXPECT_GT (innocent_ends, 1000u);
}

} // namespace
