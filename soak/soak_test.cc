#include <gtest/gtest.h>

#include <string>
#include <vector>

extern "C"
{
#include "soak/plan.h"
#include "soak/record.h"
}

namespace
{

const SkPlanOptions kPlanOptions = {
  3,     /* daemons */
  6,     /* targets */
  3,     /* zones */
  2000,  /* from_ms */
  16000, /* until_ms */
  2      /* edition */
};

/* Guards against a seed whose faults cannot be reproduced.  */
TEST (Plan, SeedDeterminesFaults)
{
  GArray *a = sk_plan_new (7, &kPlanOptions);
  GArray *b = sk_plan_new (7, &kPlanOptions);
  ASSERT_EQ (a->len, b->len);
  EXPECT_GT (a->len, 5u);
  for (guint i = 0; i < a->len; i++)
    EXPECT_EQ (memcmp (&g_array_index (a, SkFault, i),
                       &g_array_index (b, SkFault, i), sizeof (SkFault)),
               0);
  g_array_unref (a);
  g_array_unref (b);
}

/* Guards against kinds of faults that never occur, and against overlapping
   faults of one subject: the end of the first would also end the second.  */
TEST (Plan, HasEveryKindAndNoOverlapPerSubject)
{
  std::vector<int> kind_counts (SK_FAULT_KIND_COUNT);
  for (uint32_t seed = 1; seed <= 100; seed++)
    {
      GArray *plan = sk_plan_new (seed, &kPlanOptions);
      for (guint i = 0; i < plan->len; i++)
        {
          SkFault *fault = &g_array_index (plan, SkFault, i);
          kind_counts[fault->kind]++;
          EXPECT_LE (fault->until_ms, kPlanOptions.until_ms);
          for (guint j = 0; j < i; j++)
            {
              SkFault *other = &g_array_index (plan, SkFault, j);
              EXPECT_FALSE (sk_fault_kinds[other->kind].subject_kind
                                == sk_fault_kinds[fault->kind].subject_kind
                            && other->subject_index == fault->subject_index
                            && fault->from_ms <= other->until_ms);
            }
        }
      g_array_unref (plan);
    }
  for (int kind = 0; kind < SK_FAULT_KIND_COUNT; kind++)
    EXPECT_GT (kind_counts[kind], 0) << sk_fault_kinds[kind].name;
}

bool
HasFaultNear (const GArray *plan, const SkFault &stop, SkFaultKind kind)
{
  for (guint i = 0; i < plan->len; i++)
    {
      const SkFault &fault = g_array_index (plan, SkFault, i);
      if (fault.kind == kind
          && ABS (fault.from_ms - stop.from_ms) <= G_USEC_PER_SEC / 1000)
        return true;
    }
  return false;
}

/* Guards against stops that never meet a new key, a reload and slow targets at
   once, and against plans without a fault that could excuse a lost request
   being all or none of them.  */
TEST (Plan, StopsCoincideWithOtherPlannedFaults)
{
  int coinciding_count = 0;
  int planned_only_count = 0;
  for (uint32_t seed = 1; seed <= 100; seed++)
    {
      GArray *plan = sk_plan_new (seed, &kPlanOptions);
      bool coincides = false;
      bool planned_only = true;
      for (guint i = 0; i < plan->len; i++)
        {
          const SkFault &fault = g_array_index (plan, SkFault, i);
          planned_only = planned_only && sk_fault_kinds[fault.kind].is_planned;
          coincides = coincides
                      || (fault.kind == SK_DAEMON_STOP
                          && HasFaultNear (plan, fault, SK_KEY_ROTATE)
                          && HasFaultNear (plan, fault, SK_DAEMON_RELOAD)
                          && HasFaultNear (plan, fault, SK_TARGET_SLOW));
        }
      coinciding_count += coincides;
      planned_only_count += planned_only;
      g_array_unref (plan);
    }
  EXPECT_GT (coinciding_count, 60);
  EXPECT_GT (planned_only_count, 30);
  EXPECT_LT (planned_only_count, 70);
}

/* Guards against plans of edition 1 that change, so that the seeds that failed
   in it no longer play the faults with which they failed.  */
TEST (Plan, FirstEditionKeepsItsFaults)
{
  const struct
  {
    uint32_t seed;
    const char *checksum;
  } plans[] = { { 1, "cbd1129f" }, { 2, "b73b692d" }, { 3, "b3a84c7e" },
                { 5, "6b0b8922" }, { 8, "d1b35971" }, { 10, "04605cbd" },
                { 13, "b2d12344" } };
  SkPlanOptions options = kPlanOptions;
  options.from_ms = 2500;
  options.edition = 1;
  for (const auto &expected : plans)
    {
      GArray *plan = sk_plan_new (expected.seed, &options);
      std::string text;
      for (guint i = 0; i < plan->len; i++)
        {
          const SkFault &fault = g_array_index (plan, SkFault, i);
          text += std::to_string (fault.kind) + " "
                  + std::to_string (fault.subject_index) + " "
                  + std::to_string (fault.from_ms) + " "
                  + std::to_string (fault.until_ms) + "\n";
        }
      char *checksum
          = g_compute_checksum_for_string (G_CHECKSUM_MD5, text.c_str (), -1);
      EXPECT_EQ (std::string (checksum).substr (0, 8), expected.checksum)
          << expected.seed;
      g_free (checksum);
      g_array_unref (plan);
    }
}

/* Guards against a second edition without the faults of the first.  */
TEST (Plan, SecondEditionAddsToFirst)
{
  SkPlanOptions first = kPlanOptions;
  first.edition = 1;
  for (uint32_t seed = 1; seed <= 20; seed++)
    {
      GArray *a = sk_plan_new (seed, &first);
      GArray *b = sk_plan_new (seed, &kPlanOptions);
      guint found_count = 0;
      for (guint i = 0; i < b->len && found_count < a->len; i++)
        found_count
            += memcmp (&g_array_index (a, SkFault, found_count),
                       &g_array_index (b, SkFault, i), sizeof (SkFault))
               == 0;
      EXPECT_EQ (found_count, a->len) << seed;
      EXPECT_GT (b->len, a->len) << seed;
      g_array_unref (a);
      g_array_unref (b);
    }
}

/* Guards against restores without a copy some seconds old, and against ones
   after which there is no time to write again what was lost.  */
TEST (Plan, RestoresComeFromCopiesOfSomeSeconds)
{
  int restore_count = 0;
  int series_count = 0;
  for (uint32_t seed = 1; seed <= 100; seed++)
    {
      GArray *plan = sk_plan_new (seed, &kPlanOptions);
      int64_t copy_ms = -1;
      int plan_count = 0;
      for (guint i = 0; i < plan->len; i++)
        {
          const SkFault &fault = g_array_index (plan, SkFault, i);
          if (fault.kind == SK_STORE_COPY)
            copy_ms = fault.from_ms;
          if (fault.kind != SK_STORE_RESTORE)
            continue;
          plan_count++;
          EXPECT_GE (copy_ms, 0) << seed;
          EXPECT_LE (fault.until_ms - copy_ms, 15000) << seed;
          EXPECT_LE (fault.until_ms, kPlanOptions.until_ms - SK_REWRITE_MAX_MS)
              << seed;
        }
      restore_count += plan_count;
      series_count += plan_count > 1;
      g_array_unref (plan);
    }
  EXPECT_GT (restore_count, 60);
  EXPECT_GT (series_count, 20);
}

/* Guards against restores that lose no added route, after which an older
   configuration would not be noticed.  */
TEST (Plan, RestoresLoseAddedRoutes)
{
  int restore_count = 0;
  int losing_count = 0;
  for (uint32_t seed = 1; seed <= 100; seed++)
    {
      GArray *plan = sk_plan_new (seed, &kPlanOptions);
      bool added_since_copy = false;
      for (guint i = 0; i < plan->len; i++)
        {
          const SkFault &fault = g_array_index (plan, SkFault, i);
          added_since_copy
              = fault.kind == SK_ROUTE_ADD
                || (added_since_copy && fault.kind != SK_STORE_COPY);
          restore_count += fault.kind == SK_STORE_RESTORE;
          losing_count += fault.kind == SK_STORE_RESTORE && added_since_copy;
        }
      g_array_unref (plan);
    }
  EXPECT_GT (losing_count * 2, restore_count);
}

const char *
TargetZone (const char *target)
{
  return target[1] == '0' ? "a1" : "b1";
}

const char *
TargetService (const char *target)
{
  return target[1] == '2' ? "s2" : "s";
}

const SkTargetNames names = { TargetZone, TargetService };

/* Guards against checks that detect nothing, or too much: each check gets a
   record that violates it and one that does not.  */
class Record : public testing::Test
{
protected:
  ~Record () override { sk_record_free (record); }

  SkRequest *
  AddRequest (const char *id, int64_t sent_us, int status,
              const char *body = "t0")
  {
    SkRequest request = {};
    g_strlcpy (request.id, id, sizeof request.id);
    request.customer = "c1";
    request.key_number = 1;
    request.sent_us = sent_us;
    request.status = status;
    g_strlcpy (request.body, body, sizeof request.body);
    return sk_record_get_request (record,
                                  sk_record_add_request (record, &request));
  }

  /* A request to vm0 that ended without a response.  */
  SkRequest *
  AddUnanswered (const char *id, int64_t sent_us, int64_t ended_us)
  {
    SkRequest *request = AddRequest (id, sent_us, 0, "");
    g_strlcpy (request->daemon, "vm0", sizeof request->daemon);
    request->deadline_us = sent_us + 20000;
    request->ended_us = ended_us;
    return request;
  }

  void
  AddPeriod (SkPeriodKind kind, const char *subject, int64_t from_us,
             int64_t until_us)
  {
    sk_record_begin_period (record, kind, subject, from_us);
    sk_record_end_period (record, kind, subject, until_us);
  }

  /* Returns the first 5 characters of each violation, each with "|" after it;
     lines of RUNS are also arrivals.  */
  std::string
  CheckRecord (const std::string &runs, const std::string &more_arrivals = "",
               const std::string &answers = "")
  {
    std::string arrivals = runs + more_arrivals;
    SkLogs logs = { runs.c_str (), arrivals.c_str (), answers.c_str () };
    GPtrArray *violations = sk_record_check (record, &logs, &names, &bounds);
    std::string labels;
    for (guint i = 0; i < violations->len; i++)
      labels += std::string ((char *)violations->pdata[i]).substr (0, 5) + "|";
    g_ptr_array_unref (violations);
    return labels;
  }

  SkRecord *record = sk_record_new ();
  SkBounds bounds = {
    3000,       /* key_revocation_us */
    3000,       /* drain_us */
    5000,       /* evacuation_us */
    2,          /* cold_per_s */
    "c2",       /* limited_customer */
    2,          /* rate_per_s */
    1,          /* burst_count */
    1000000,    /* rate_window_us */
    0.1,        /* retry_ratio */
    0,          /* retry_reserve_count */
    10000000,   /* retry_window_us */
    G_MAXINT64, /* recovery_deadline_us */
    200,        /* loss_slack_us */
    3000,       /* contact_us */
    6000,       /* stop_grace_us */
    3000,       /* stop_sent_us */
    2000,       /* config_apply_us */
    250         /* rollback_slack_us */
  };
};

TEST_F (Record, FindsNoViolationInCorrectRun)
{
  AddRequest ("q1", 100, 200)->is_unsafe = TRUE;
  EXPECT_EQ (CheckRecord ("150 t0 q1 c1 nokey\n"), "");
}

TEST_F (Record, FindsUnsafeRequestThatRanTwice)
{
  AddRequest ("q1", 100, 200)->is_unsafe = TRUE;
  bounds.retry_reserve_count = 5;
  EXPECT_EQ (CheckRecord ("150 t0 q1 c1 nokey\n160 t1 q1 c1 nokey\n"),
             "twice|");
}

TEST_F (Record, FindsRunReportedAsNotRun)
{
  AddRequest ("q1", 100, 503)->reported_not_run = TRUE;
  EXPECT_EQ (CheckRecord ("150 t0 q1 c1 nokey\n"), "false|");
}

TEST_F (Record, FindsWrongCustomerForwardedKeyAndUnknownRequest)
{
  AddRequest ("q1", 100, 200);
  EXPECT_EQ (CheckRecord ("150 t0 q1 c9 nokey\n"), "custo|");
  EXPECT_EQ (CheckRecord ("150 t0 q1 c1 key\n"), "key: |");
  EXPECT_EQ (CheckRecord ("150 t0 q1 c1 nokey\n", "160 t0 q7 c1 nokey\n"),
             "custo|");
}

TEST_F (Record, FindsResponseOfAnotherTarget)
{
  AddRequest ("q1", 100, 200, "t1");
  EXPECT_EQ (CheckRecord ("150 t0 q1 c1 nokey\n"), "spoil|");
}

TEST_F (Record, FindsRequestServedWithRevokedKey)
{
  sk_record_begin_period (record, SK_PERIOD_KEY_REVOKED, "1", 1000);
  AddRequest ("q1", 3900, 200);
  EXPECT_EQ (CheckRecord ("3950 t0 q1 c1 nokey\n"), "");
  AddRequest ("q2", 4100, 200);
  EXPECT_EQ (CheckRecord ("3950 t0 q1 c1 nokey\n4150 t0 q2 c1 nokey\n"),
             "withd|");
}

TEST_F (Record, FindsRequestsToDrainingAndEvacuatedTargets)
{
  sk_record_begin_period (record, SK_PERIOD_DRAIN, "t0", 1000);
  sk_record_begin_period (record, SK_PERIOD_EVACUATED, "b1", 1000);
  sk_record_end_period (record, SK_PERIOD_EVACUATED, "b1", 900000);
  AddRequest ("q1", 100, 200);
  AddRequest ("q2", 100, 200, "t1");
  EXPECT_EQ (CheckRecord ("900000 t0 q1 c1 nokey\n900001 t1 q2 c1 nokey\n"),
             "drain|");
  EXPECT_EQ (CheckRecord ("900 t0 q1 c1 nokey\n800000 t1 q2 c1 nokey\n"),
             "evacu|");
}

TEST_F (Record, AllowsRequestsWhileStoreIsUnreachable)
{
  sk_record_begin_period (record, SK_PERIOD_DRAIN, "t0", 1000);
  sk_record_begin_period (record, SK_PERIOD_UNSTABLE, "1-0", 900);
  sk_record_end_period (record, SK_PERIOD_UNSTABLE, "1-0", 800000);
  AddRequest ("q1", 100, 200);
  EXPECT_EQ (CheckRecord ("900000 t0 q1 c1 nokey\n"), "");
  EXPECT_EQ (CheckRecord ("1100000 t0 q1 c1 nokey\n"), "drain|");
}

TEST_F (Record, FindsExcessOfColdRateCustomerRateAndRetryBudget)
{
  sk_record_begin_period (record, SK_PERIOD_COLD, "t0", 0);
  std::string runs;
  for (int i = 0; i < 4; i++)
    {
      std::string id = "q" + std::to_string (i);
      AddRequest (id.c_str (), 100, 200)->customer = "c2";
      runs += std::to_string (10000 + i) + " t0 " + id + " c2 nokey\n";
    }
  EXPECT_EQ (CheckRecord (runs), "cold:|rate:|");
  EXPECT_EQ (CheckRecord (runs, "20000 t1 q1 c2 nokey\n"),
             "cold:|rate:|repea|");
}

TEST_F (Record, FindsFailureAfterRecoveryDeadline)
{
  bounds.recovery_deadline_us = 1000;
  AddRequest ("q1", 900, 503);
  EXPECT_EQ (CheckRecord (""), "");
  AddRequest ("q2", 1100, 503);
  EXPECT_EQ (CheckRecord (""), "recov|");
}

TEST_F (Record, FindsRequestLostAtTarget)
{
  AddUnanswered ("q1", 10000, 10150);
  EXPECT_EQ (CheckRecord ("10050 t0 q1 c1 nokey\n"), "lost:|");
  EXPECT_EQ (
      CheckRecord ("10050 t0 q1 c1 nokey\n", "", "10100 t0 q1 c1 nokey\n"),
      "lost:|");
}

/* A request that crosses the close of its connection ends at once, without
   having reached a target.  */
TEST_F (Record, FindsRequestLostBeforeTarget)
{
  SkRequest *request = AddUnanswered ("q1", 10000, 10200);
  EXPECT_EQ (CheckRecord (""), "");
  request->ended_us = 10201;
  EXPECT_EQ (CheckRecord (""), "lost:|");
  AddPeriod (SK_PERIOD_TARGET_FAULT, "t5", 9000, 9500);
  EXPECT_EQ (CheckRecord (""), "");
}

TEST_F (Record, AllowsRequestInFlightOrWithoutResponseByItsDeadline)
{
  SkRequest *request = AddUnanswered ("q1", 10000, 0);
  const std::string run = "10050 t0 q1 c1 nokey\n";
  EXPECT_EQ (CheckRecord (run), "");
  request->ended_us = 25000;
  EXPECT_EQ (CheckRecord (run), "");
  request->ended_us = 24999;
  EXPECT_EQ (CheckRecord (run), "lost:|");
}

TEST_F (Record, CountsLossDespitePlannedWorkAndFaultsOfOthers)
{
  AddUnanswered ("q1", 10000, 10500);
  AddPeriod (SK_PERIOD_STOP, "vm0", 9000, 14000);
  AddPeriod (SK_PERIOD_KEY_REVOKED, "7", 9900, 20000);
  AddPeriod (SK_PERIOD_DRAIN, "t0", 9900, 20000);
  AddPeriod (SK_PERIOD_UNSTABLE, "1-0", 9000, 20000);
  AddPeriod (SK_PERIOD_DAEMON_FAULT, "vm1", 9000, 20000);
  AddPeriod (SK_PERIOD_STORE_LINK_FAULT, "vm1", 9000, 20000);
  AddPeriod (SK_PERIOD_TARGET_FAULT, "t1", 9000, 20000);
  EXPECT_EQ (CheckRecord ("10050 t0 q1 c1 nokey\n"), "lost:|");
}

TEST_F (Record, ExcusesLossByFaultOfDaemonLinkOrTarget)
{
  struct
  {
    SkPeriodKind kind;
    const char *subject;
  } excuses[] = { { SK_PERIOD_DAEMON_FAULT, "vm0" },
                  { SK_PERIOD_STORE_LINK_FAULT, "vm0" },
                  { SK_PERIOD_TARGET_FAULT, "t0" } };
  AddUnanswered ("q1", 10000, 10500);
  for (const auto &excuse : excuses)
    {
      g_array_set_size (record->periods, 0);
      AddPeriod (excuse.kind, excuse.subject, 6000, 7000);
      EXPECT_EQ (CheckRecord ("10050 t0 q1 c1 nokey\n"), "");
      g_array_set_size (record->periods, 0);
      AddPeriod (excuse.kind, excuse.subject, 6000, 6999);
      AddPeriod (excuse.kind, excuse.subject, 10501, 12000);
      EXPECT_EQ (CheckRecord ("10050 t0 q1 c1 nokey\n"), "lost:|");
    }
}

/* A request whose first target failed was repeated on a sound one.  */
TEST_F (Record, FindsRequestLostAtSoundTargetAfterRetry)
{
  bounds.retry_reserve_count = 5;
  AddPeriod (SK_PERIOD_TARGET_FAULT, "t0", 9000, 20000);
  AddUnanswered ("q1", 10000, 10500);
  EXPECT_EQ (CheckRecord ("10050 t0 q1 c1 nokey\n"), "");
  EXPECT_EQ (CheckRecord ("10050 t0 q1 c1 nokey\n10060 t1 q1 c1 nokey\n"),
             "lost:|");
}

TEST_F (Record, ExcusesTargetAtWorkInLastSixthOfGrace)
{
  AddPeriod (SK_PERIOD_STOP, "vm0", 10000, 16000);
  SkRequest *request = AddUnanswered ("q1", 13000, 15000);
  const std::string run = "13050 t0 q1 c1 nokey\n";
  EXPECT_EQ (CheckRecord (run), "");
  EXPECT_EQ (CheckRecord (run, "", "14999 t0 q1 c1 nokey\n"), "lost:|");
  request->ended_us = 14999;
  EXPECT_EQ (CheckRecord (run), "lost:|");
  request->ended_us = 15000;
  request->sent_us = 13001;
  EXPECT_EQ (CheckRecord (run), "lost:|");
}

TEST_F (Record, FindsOwnResponseOfStoppingDaemonInPlaceOfTarget)
{
  SkRequest *request = AddUnanswered ("q1", 10000, 10500);
  const std::string run = "10050 t0 q1 c1 nokey\n";
  request->status = 502;
  EXPECT_EQ (CheckRecord (run), "");
  AddPeriod (SK_PERIOD_STOP, "vm0", 10100, 14000);
  EXPECT_EQ (CheckRecord (run), "lost:|");
  EXPECT_EQ (CheckRecord (run, "", "10400 t0 q1 c1 nokey\n"), "");
  EXPECT_EQ (CheckRecord (""), "");
}

class Config : public Record
{
protected:
  Config () { bounds.retry_reserve_count = 100; }

  void
  AddConfig (int64_t acked_us, const char *routes, int key_number = 1)
  {
    SkConfig config = {};
    config.put_us = acked_us - 10;
    config.acked_us = acked_us;
    config.key_number = key_number;
    g_strlcpy (config.routes, routes, sizeof config.routes);
    sk_record_add_config (record, &config);
  }

  /* To vm0; ends after 100 us.  */
  SkRequest *
  AddRouted (const char *id, const char *route, int64_t sent_us, int status,
             const char *body = "t0")
  {
    SkRequest *request = AddRequest (id, sent_us, status, body);
    g_strlcpy (request->daemon, "vm0", sizeof request->daemon);
    g_strlcpy (request->route, route, sizeof request->route);
    request->deadline_us = sent_us + 20000;
    request->ended_us = sent_us + 100;
    return request;
  }
};

/* Guards against an added route that is not served in time.  */
TEST_F (Config, FindsAddedRouteThatIsRefused)
{
  AddConfig (100, "read=s ");
  AddConfig (10000, "read=s x1=s ");
  AddRouted ("q1", "x1", 11900, 404);
  EXPECT_EQ (CheckRecord (""), "");
  AddRouted ("q2", "x1", 12100, 404);
  EXPECT_EQ (CheckRecord (""), "confi|");
}

/* Guards against a removed route that is served.  */
TEST_F (Config, FindsRemovedRouteThatIsServed)
{
  AddConfig (100, "read=s x1=s ");
  AddConfig (10000, "read=s ");
  AddRouted ("q1", "x1", 11900, 200);
  EXPECT_EQ (CheckRecord ("11950 t0 q1 c1 nokey\n"), "");
  AddRouted ("q2", "x1", 12100, 200);
  EXPECT_EQ (CheckRecord ("11950 t0 q1 c1 nokey\n12150 t0 q2 c1 nokey\n"),
             "confi|");
}

/* Guards against a moved route that runs at its old service.  */
TEST_F (Config, FindsMovedRouteAtItsOldService)
{
  AddConfig (100, "move=s ");
  AddConfig (10000, "move=s2 ");
  AddRouted ("q1", "move", 12100, 503);
  EXPECT_EQ (CheckRecord ("", "12150 t2 q1 c1 nokey\n"), "");
  EXPECT_EQ (CheckRecord ("", "12150 t0 q1 c1 nokey\n"), "confi|");
}

/* Guards against a key that is in force and refused, and a withdrawn one that
   runs.  */
TEST_F (Config, FindsKeyOfOlderConfiguration)
{
  AddConfig (100, "read=s ", 1);
  AddConfig (10000, "read=s ", 2);
  AddRouted ("q1", "read", 12100, 401);
  EXPECT_EQ (CheckRecord (""), "");
  AddRouted ("q2", "read", 12100, 401)->key_number = 2;
  EXPECT_EQ (CheckRecord (""), "confi|");
  AddRouted ("q3", "read", 12100, 503);
  EXPECT_EQ (CheckRecord ("", "12150 t0 q3 c1 nokey\n"), "confi|confi|");
}

/* Guards against faults that do not excuse a late change, and against faults
   of others, or longer ago, that do.  */
TEST_F (Config, ExcusesDaemonsOutOfTouch)
{
  struct
  {
    SkPeriodKind kind;
    const char *subject;
    bool excuses;
  } periods[] = { { SK_PERIOD_DAEMON_FAULT, "vm0", true },
                  { SK_PERIOD_STOP, "vm0", true },
                  { SK_PERIOD_STORE_LINK_FAULT, "vm0", true },
                  { SK_PERIOD_STORE_FAULT, "restore", true },
                  { SK_PERIOD_UNSTABLE, "restore", false },
                  { SK_PERIOD_DAEMON_FAULT, "vm1", false },
                  { SK_PERIOD_STORE_LINK_FAULT, "vm1", false },
                  { SK_PERIOD_TARGET_FAULT, "t0", false } };
  AddConfig (100, "read=s ");
  AddConfig (10000, "read=s x1=s ");
  AddRouted ("q1", "x1", 20000, 404);
  for (const auto &period : periods)
    {
      g_array_set_size (record->periods, 0);
      AddPeriod (period.kind, period.subject, 15000, 17000);
      EXPECT_EQ (CheckRecord (""), period.excuses ? "" : "confi|");
      g_array_set_size (record->periods, 0);
      AddPeriod (period.kind, period.subject, 15000, 16999);
      EXPECT_EQ (CheckRecord (""), "confi|");
    }
}

/* Guards against an invalid configuration that is taken: it alone has the
   route, or it lacks a route that all others have.  */
TEST_F (Config, FindsHandlingThatNoConfigurationAllows)
{
  AddConfig (100, "read=s ");
  AddPeriod (SK_PERIOD_DAEMON_FAULT, "vm0", 0, 30000);
  AddRouted ("q1", "bad", 10000, 404);
  AddRouted ("q2", "read", 10000, 503);
  EXPECT_EQ (CheckRecord (""), "");
  AddRouted ("q3", "bad", 10000, 200);
  AddRouted ("q4", "read", 10000, 404);
  AddRouted ("q5", "read", 10000, 403);
  EXPECT_EQ (CheckRecord ("10050 t0 q3 c1 nokey\n"), "confi|confi|confi|");
}

/* Guards against an older configuration that comes back within the lifetime of
   a process, also out of touch and before a change must be in force.  */
TEST_F (Config, FindsOlderConfigurationThatComesBack)
{
  AddPeriod (SK_PERIOD_PROCESS, "vm0", 50, G_MAXINT64);
  AddPeriod (SK_PERIOD_STORE_FAULT, "restore", 10000, 20000);
  AddConfig (100, "read=s ");
  AddConfig (10000, "read=s x1=s ");
  AddRouted ("q1", "x1", 10100, 200);
  const std::string run = "10150 t0 q1 c1 nokey\n";
  SkRequest *request = AddRouted ("q2", "x1", 10400, 404);
  EXPECT_EQ (CheckRecord (run), "");
  request->sent_us = 10401;
  EXPECT_EQ (CheckRecord (run), "confi|");
  g_strlcpy (request->daemon, "vm1", sizeof request->daemon);
  EXPECT_EQ (CheckRecord (run), "");
  g_strlcpy (request->daemon, "vm0", sizeof request->daemon);
  AddPeriod (SK_PERIOD_PROCESS, "vm0", 10300, G_MAXINT64);
  EXPECT_EQ (CheckRecord (run), "");
}

/* Guards against a daemon that was paused and has eight times the slack, or no
   bound.  */
TEST_F (Config, AllowsPausedDaemonLongerToReturnToItsConfiguration)
{
  AddPeriod (SK_PERIOD_DAEMON_FAULT, "vm0", 10200, 10300);
  AddConfig (100, "read=s ");
  AddConfig (10000, "read=s x1=s ");
  AddRouted ("q1", "x1", 10100, 200);
  const std::string run = "10150 t0 q1 c1 nokey\n";
  SkRequest *request = AddRouted ("q2", "x1", 12150, 404);
  EXPECT_EQ (CheckRecord (run), "");
  request->sent_us = 12151;
  EXPECT_EQ (CheckRecord (run), "confi|");
}

/* Guards against routes that were added later and get refusals that promise
   nothing about the configuration, while others are served.  */
class LaterRoutes : public Config
{
protected:
  LaterRoutes ()
  {
    AddConfig (100, "open=s move=s2 ");
    AddConfig (10000, "open=s move=s2 x1=s ");
  }

  /* Adds COUNT requests of which SERVED_COUNT are served.  */
  void
  AddMany (const char *route, int64_t sent_us, int count, int served_count)
  {
    for (int i = 0; i < count; i++)
      {
        std::string id = "q" + std::to_string (record->requests->len);
        bool is_served = i < served_count;
        AddRouted (id.c_str (), route, sent_us + i, is_served ? 200 : 503,
                   strcmp (route, "move") == 0 ? "t2" : "t0")
            ->key_number
            = 0;
        if (is_served)
          runs += std::to_string (sent_us + i + 50)
                  + (strcmp (route, "move") == 0 ? " t2 " : " t0 ") + id
                  + " c1 nokey\n";
      }
  }

  std::string runs;
};

TEST_F (LaterRoutes, FindsThemServedLessThanOthers)
{
  AddMany ("open", 20000, 20, 20);
  AddMany ("x1", 20000, 20, 5);
  EXPECT_EQ (CheckRecord (runs), "");
  AddMany ("x1", 20000, 1, 0);
  EXPECT_EQ (CheckRecord (runs), "confi|");
}

/* Guards against the report of a time in which no target was left for any
   route (seed 2042: all zones evacuated or draining).  */
TEST_F (LaterRoutes, AllowsTimesInWhichOthersAreNotServedEither)
{
  AddMany ("x1", 20000, 20, 0);
  AddMany ("open", 20000, 2, 0);
  AddMany ("move", 20000, 20, 20);
  AddMany ("open", 1000000, 20, 20);
  EXPECT_EQ (CheckRecord (runs), "");
  AddMany ("open", 20000, 1, 1);
  EXPECT_EQ (CheckRecord (runs), "confi|");
}

}
