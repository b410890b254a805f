#include <gtest/gtest.h>

#include <string.h>

extern "C"
{
#include "lease/lease.h"
}

namespace
{
const char *const kRecord
    = "{\"vm\":\"vm1\",\"incarnation\":1700000000000,\"seq\":4,"
      "\"state\":\"fenced\",\"successor\":\"vm2\",\"successor_incarnation\":7,"
      "\"peer_address\":\"127.0.0.1:9001\",\"op_id\":\"vm1-5-9\","
      "\"fenced_at_ms\":1700000000123}";
}

/* Guards against a field that is lost or changed when a record is formatted
   and parsed.  */
TEST (LeaseRecord, RoundTrip)
{
  LsRecord record, reparsed;
  GError *error = NULL;

  ASSERT_TRUE (ls_record_parse (kRecord, strlen (kRecord), &record, &error));
  EXPECT_EQ (record.state, LS_STATE_FENCED);
  EXPECT_EQ (record.incarnation, 1700000000000u);
  EXPECT_EQ (record.fenced_at_ms, 1700000000123);
  g_autofree char *text = ls_record_format (&record);
  ASSERT_TRUE (ls_record_parse (text, strlen (text), &reparsed, &error));
  EXPECT_EQ (memcmp (&record, &reparsed, sizeof record), 0);
}

/* Guards against a malformed record that is accepted.  */
TEST (LeaseRecord, RejectsMalformedRecord)
{
  const struct
  {
    const char *text;
    LsError code;
  } cases[] = { { "", LS_ERROR_SYNTAX },
                { "[1]", LS_ERROR_SYNTAX },
                { "{\"vm\":\"vm1\"", LS_ERROR_SYNTAX },
                { "{\"vm\":\"vm1\"}", LS_ERROR_FIELD },
                { "{\"vm\":3}", LS_ERROR_FIELD } };

  for (const auto &c : cases)
    {
      LsRecord record;
      GError *error = NULL;

      EXPECT_FALSE (
          ls_record_parse (c.text, strlen (c.text), &record, &error));
      EXPECT_TRUE (g_error_matches (error, LS_ERROR, c.code)) << c.text;
      g_clear_error (&error);
    }
}

/* Guards against a successor in the holder's own zone, which may fail together
   with the holder, while there are daemons in other zones.  */
TEST (LeaseSuccessors, NextZoneComesFirst)
{
  const LsVmZone vms[] = {
    { "a1", "a" }, { "a2", "a" }, { "b1", "b" }, { "c1", "c" }, { "c2", "c" }
  };
  uint32_t order[4];

  ls_order_successors (vms, 5, 0, order);
  EXPECT_EQ (order[0], 2u);
  EXPECT_EQ (order[3], 1u);
  ls_order_successors (vms, 5, 4, order);
  EXPECT_STREQ (vms[order[0]].zone, "a");
  EXPECT_STREQ (vms[order[2]].vm, "b1");
  EXPECT_STREQ (vms[order[3]].vm, "c1");
}

/* Guards against two daemons that name each other as successor although their
   zone, the only one, has a third.  */
TEST (LeaseSuccessors, SingleZoneIsACycle)
{
  const LsVmZone vms[] = { { "a", "z" }, { "b", "z" }, { "c", "z" } };
  uint32_t order[2];

  ls_order_successors (vms, 3, 2, order);
  EXPECT_STREQ (vms[order[0]].vm, "a");
  ls_order_successors (vms, 3, 0, order);
  EXPECT_STREQ (vms[order[0]].vm, "b");
}

/* Guards against a process at another address that takes over the record while
   the earlier process of the VM may still run.  */
TEST (Lease, ProcessAtOtherAddressWaitsForFence)
{
  LsOptions options = {};
  LsRecord record = {};
  LsAction action;

  options.vm = "vm1";
  options.incarnation = 100;
  options.peer_address = "127.0.0.2:9001";
  LsLease *lease = ls_new (&options, 0);
  ASSERT_TRUE (ls_poll (lease, 0, &action));
  ASSERT_EQ (action.kind, LS_ACTION_READ);
  g_strlcpy (record.vm, "vm1", sizeof record.vm);
  g_strlcpy (record.successor, "vm2", sizeof record.successor);
  g_strlcpy (record.peer_address, "127.0.0.1:9001",
             sizeof record.peer_address);
  record.incarnation = 200;
  ls_record_found (lease, &record, 5, 10);
  for (int64_t now = 20; now < 20 * G_USEC_PER_SEC; now += 50000)
    while (ls_poll (lease, now, &action))
      {
        ASSERT_EQ (action.kind, LS_ACTION_READ);
        ls_record_found (lease, &record, 5, now);
      }
  record.state = LS_STATE_FENCED;
  ls_record_found (lease, &record, 6, 20 * G_USEC_PER_SEC);
  ASSERT_TRUE (ls_poll (lease, 20 * G_USEC_PER_SEC, &action));
  EXPECT_EQ (action.kind, LS_ACTION_WRITE);
  EXPECT_EQ (action.record.incarnation, 201u);
  ls_free (lease);
}
