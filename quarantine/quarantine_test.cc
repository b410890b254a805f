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

/* Guards against several trials of one request at a time, and against a trial
   that is never repeated when nothing came of it.  */
TEST_F (Quarantine, AdmitsOneTrialAtATime)
{
  EXPECT_EQ (QR_FREE, qr_check (table, 7, 0, now_us));
  for (uint64_t target = 1; target <= QR_ENDED_MAX; target++)
    qr_note_ended (table, 7, target, now_us);
  EXPECT_EQ (QR_QUARANTINED, qr_check (table, 7, 0, now_us));
  now_us += QR_QUARANTINE_US + 1;
  EXPECT_EQ (QR_QUARANTINED, qr_check (table, 7, 1, now_us));
  EXPECT_EQ (QR_TRIAL, qr_check (table, 7, 0, now_us));
  EXPECT_EQ (QR_QUARANTINED, qr_check (table, 7, 0, now_us + QR_TRIAL_US));
  now_us += QR_TRIAL_US + 1;
  EXPECT_EQ (QR_TRIAL, qr_check (table, 7, 1, now_us));
  qr_note_served (table, 7, now_us);
  EXPECT_EQ (QR_FREE, qr_check (table, 7, 1, now_us));
}

/* Daemons to which a request that crashes targets comes about once a second in
   all, with the turns of a fleet; each hears of an end kCrashUs after the
   request was sent.  Returns how often it was sent after the first
   quarantine.  */
uint32_t
CountTrials (uint32_t seed, bool takes_turns)
{
  constexpr uint32_t kDaemons = 7;
  constexpr int64_t kCrashUs = 700000;
  struct End
  {
    int64_t at_us;
    uint64_t target;
  };
  std::mt19937 random (seed);
  std::vector<QrTable *> tables;
  std::vector<End> ends;
  uint64_t target = 0;
  uint32_t trial_count = 0;

  for (uint32_t i = 0; i < kDaemons; i++)
    tables.push_back (qr_new ());
  for (int64_t now_us = kSecond; now_us < 300 * kSecond;
       now_us += random () % (2 * kSecond / kDaemons))
    {
      uint32_t at = random () % kDaemons;
      for (; !ends.empty () && ends.front ().at_us <= now_us;
           ends.erase (ends.begin ()))
        for (QrTable *table : tables)
          qr_note_ended (table, 7, ends.front ().target, ends.front ().at_us);
      bool was_quarantined = qr_find (tables[at], 7) != NULL
                             && qr_find (tables[at], 7)->until_us != 0;
      bool is_sent = takes_turns ? qr_check (tables[at], 7, at, now_us)
                                       != QR_QUARANTINED
                                 : !qr_is_quarantined (tables[at], 7, now_us);
      if (!is_sent)
        continue;
      trial_count += was_quarantined;
      ends.push_back ({ now_us + kCrashUs, ++target });
    }
  for (QrTable *table : tables)
    qr_free (table);
  return trial_count;
}

/* Guards against a request that, at the end of each quarantine, costs one
   target for each daemon.  */
TEST (QuarantineSchedule, CostsOneTargetAMinuteOverAllDaemons)
{
  uint32_t trials_without_turns = 0;

  for (uint32_t seed = 1; seed <= 200; seed++)
    {
      EXPECT_LE (CountTrials (seed, true), 300u / 60) << "seed " << seed;
      trials_without_turns += CountTrials (seed, false);
    }
  EXPECT_GT (trials_without_turns, 200u * 300 / 60);
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
