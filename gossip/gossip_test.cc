#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <event2/event.h>
#include <string>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

extern "C"
{
#include "gossip/gossip.h"
}

namespace
{

struct Received
{
  std::vector<std::string> report_names;
  std::vector<double> demands;
  std::vector<uint32_t> customers;
  std::vector<std::string> targets;
  std::vector<std::string> removed_ids;
  std::vector<std::string> stamps;
  std::vector<std::string> suspects, leaving;
  std::vector<std::string> token_messages;
  std::string sender_address;
  uint64_t revision = 0;
  uint64_t changed_revision = 0;
  uint64_t store_era = 0;
  uint64_t config_hash = 0;
  struct event_base *base;
};

void
OnTargetDelta (const GoTargetDelta *delta, void *data)
{
  auto *received = static_cast<Received *> (data);
  received->revision = delta->to_revision;
  received->store_era = delta->store_era;
  received->sender_address = delta->gossip_address;
  for (uint32_t i = 0; i < delta->entry_count; i++)
    received->targets.push_back (std::string (delta->entries[i].id) + "@"
                                 + delta->entries[i].address);
  for (uint32_t i = 0; i < delta->removed_count; i++)
    received->removed_ids.push_back (delta->removed_ids[i]);
  event_base_loopbreak (received->base);
}

void
OnStamp (const GoStamp *stamp, void *data)
{
  auto *received = static_cast<Received *> (data);
  received->stamps.push_back (stamp->gossip_address + std::string (" ")
                              + std::to_string (stamp->started_ms) + " "
                              + std::to_string (stamp->stamp_us));
  event_base_loopbreak (received->base);
}

void
OnConfirmation (const GoConfirmation *confirmation, void *data)
{
  auto *received = static_cast<Received *> (data);
  received->revision = confirmation->revision;
  received->changed_revision = confirmation->changed_revision;
  received->store_era = confirmation->store_era;
  received->config_hash = confirmation->config_hash;
  OnStamp (&confirmation->stamp, data);
}

void
OnTokenRequest (const GoTokenRequest *request, void *data)
{
  auto *received = static_cast<Received *> (data);
  received->token_messages.push_back (
      request->gossip_address + std::string (" ")
      + std::to_string (request->number) + " "
      + std::to_string (request->customer_id) + " "
      + std::to_string (request->target_hash) + " "
      + std::to_string ((int)(request->target_limit_per_s * 10)));
  event_base_loopbreak (received->base);
}

void
OnTokenReply (const GoTokenReply *reply, void *data)
{
  auto *received = static_cast<Received *> (data);
  received->token_messages.push_back (std::to_string (reply->number) + " "
                                      + std::to_string (reply->granted) + " "
                                      + std::to_string (reply->wait_ms));
  event_base_loopbreak (received->base);
}

void
OnSuspect (const GoSuspect *suspect, void *data)
{
  auto *received = static_cast<Received *> (data);
  received->suspects.push_back (suspect->gossip_address + std::string (" ")
                                + std::to_string (suspect->kind) + " "
                                + std::to_string (suspect->content_hash) + " "
                                + std::to_string (suspect->incarnation_hash)
                                + " " + std::to_string (suspect->age_ms) + " "
                                + std::to_string (suspect->left_ms));
  event_base_loopbreak (received->base);
}

void
OnLeaving (const GoLeaving *leaving, void *data)
{
  auto *received = static_cast<Received *> (data);
  received->leaving.push_back (leaving->target_id + std::string (" ")
                               + std::to_string (leaving->started_ms));
  event_base_loopbreak (received->base);
}

void
OnReport (const FlReport *report, void *data)
{
  auto *received = static_cast<Received *> (data);
  received->report_names.push_back (report->name);
  for (uint32_t i = 0; i < report->demand_count; i++)
    {
      received->demands.push_back (report->demands[i].requests_per_s);
      received->customers.push_back (report->demands[i].customer_id);
    }
  event_base_loopbreak (received->base);
}

std::string
FindFreeAddress ()
{
  struct sockaddr_in address = {};
  socklen_t length = sizeof address;
  int fd = socket (AF_INET, SOCK_DGRAM, 0);
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  EXPECT_EQ (bind (fd, (struct sockaddr *)&address, sizeof address), 0);
  getsockname (fd, (struct sockaddr *)&address, &length);
  close (fd);
  return "127.0.0.1:" + std::to_string (ntohs (address.sin_port));
}

FlReport
MakeReport (const char *name)
{
  FlReport report = {};
  report.name = name;
  report.zone = "a1";
  report.region = "a";
  report.front_address = "127.0.0.1:1";
  report.gossip_address = "127.0.0.1:2";
  return report;
}

class Gossip : public testing::Test
{
protected:
  void
  SetUp () override
  {
    received.base = event_base_new ();
    listen = FindFreeAddress ();
    GoOptions options
        = { received.base, listen.c_str (), OnReport,       OnTargetDelta,
            OnStamp,       OnConfirmation,  OnTokenRequest, OnTokenReply,
            OnSuspect,     OnLeaving,       &received };
    gossip = go_new (&options, nullptr);
    ASSERT_NE (gossip, nullptr);
  }

  void
  TearDown () override
  {
    go_free (gossip);
    event_base_free (received.base);
  }

  void
  WaitForDatagram ()
  {
    struct timeval limit = { 5, 0 };
    event_base_loopexit (received.base, &limit);
    event_base_dispatch (received.base);
  }

  Received received;
  std::string listen;
  GoSocket *gossip;
};

/* Guards against losing fields of a report between two daemons.  */
TEST_F (Gossip, SendsReportWithDemands)
{
  FlDemand demand = { 0xfedcba98u, 2.5 };
  FlReport report = MakeReport ("vm2");
  report.demands = &demand;
  report.demand_count = 1;
  go_send_report (gossip, listen.c_str (), &report);
  WaitForDatagram ();
  EXPECT_EQ (received.report_names, std::vector<std::string>{ "vm2" });
  EXPECT_EQ (received.demands, std::vector<double>{ 2.5 });
  EXPECT_EQ (received.customers, std::vector<uint32_t>{ 0xfedcba98u });
}

/* Guards against losing changes of targets between two daemons.  */
TEST_F (Gossip, SendsTargetDelta)
{
  TgEntry entry = {};
  const char *removed_ids[] = { "t2" };
  GoTargetDelta delta = { nullptr, 5, 9, &entry, 1, removed_ids, 1 };
  entry.id = "t1";
  entry.address = "127.0.0.1:7";
  entry.service = "boards";
  entry.zone = "a1";
  EXPECT_TRUE (go_send_target_delta (gossip, listen.c_str (), &delta));
  WaitForDatagram ();
  EXPECT_EQ (received.sender_address, listen);
  EXPECT_EQ (received.revision, 9u);
  EXPECT_EQ (received.targets, std::vector<std::string>{ "t1@127.0.0.1:7" });
  EXPECT_EQ (received.removed_ids, std::vector<std::string>{ "t2" });
}

/* Guards against a confirmation taken for newer than it is, because its stamp
   or revisions were changed on the way.  */
TEST_F (Gossip, SendsStampsAndConfirmations)
{
  GoStamp stamp = { "127.0.0.1:2", 7, 99 };
  GoConfirmation confirmation = { stamp, 12, 11, 3, 1ULL << 63 };
  go_send_stamp (gossip, listen.c_str (), &stamp);
  WaitForDatagram ();
  go_send_confirmation (gossip, listen.c_str (), &confirmation);
  WaitForDatagram ();
  EXPECT_EQ (received.stamps, (std::vector<std::string>{
                                  "127.0.0.1:2 7 99", "127.0.0.1:2 7 99" }));
  EXPECT_EQ (received.revision, 12u);
  EXPECT_EQ (received.changed_revision, 11u);
  EXPECT_EQ (received.config_hash, 1ULL << 63);
}

/* Guards against revisions of a store that was restored being compared with
   those from before, because their era was lost on the way.  */
TEST_F (Gossip, SendsTheEraOfRevisions)
{
  GoConfirmation confirmation = { { "127.0.0.1:2", 7, 99 }, 12, 11, 3 };
  GoTargetDelta delta = {};
  delta.store_era = 4;
  go_send_confirmation (gossip, listen.c_str (), &confirmation);
  WaitForDatagram ();
  EXPECT_EQ (received.store_era, 3u);
  EXPECT_TRUE (go_send_target_delta (gossip, listen.c_str (), &delta));
  WaitForDatagram ();
  EXPECT_EQ (received.store_era, 4u);
}

/* Guards against a token granted to another request than the one that asked
   for it.  */
TEST_F (Gossip, SendsTokenRequestsAndReplies)
{
  GoTokenRequest request = { "127.0.0.1:2", 5, 77, 0, 0 };
  GoTokenRequest of_target = { "127.0.0.1:2", 6, 0, 1ULL << 60, 2.5 };
  GoTokenReply reply = { 5, TRUE, 9 };
  go_send_token_request (gossip, listen.c_str (), &request);
  WaitForDatagram ();
  go_send_token_reply (gossip, listen.c_str (), &reply);
  WaitForDatagram ();
  go_send_token_request (gossip, listen.c_str (), &of_target);
  WaitForDatagram ();
  EXPECT_EQ (received.token_messages,
             (std::vector<std::string>{
                 "127.0.0.1:2 5 77 0 0", "5 1 9",
                 "127.0.0.1:2 6 0 " + std::to_string (1ULL << 60) + " 25" }));
}

/* Guards against a daemon that does not learn which requests crash targets, or
   takes one for another.  */
TEST_F (Gossip, SendsSuspects)
{
  GoSuspect ended = { "127.0.0.1:2", GO_SUSPECT_ENDED, 1ULL << 62, 7, 0, 0 };
  GoSuspect quarantined
      = { "127.0.0.1:3", GO_SUSPECT_QUARANTINED, 5, 0, 1500, 58500 };
  go_send_suspect (gossip, listen.c_str (), &ended);
  WaitForDatagram ();
  go_send_suspect (gossip, listen.c_str (), &quarantined);
  WaitForDatagram ();
  EXPECT_EQ (received.suspects,
             (std::vector<std::string>{
                 "127.0.0.1:2 0 " + std::to_string (1ULL << 62) + " 7 0 0",
                 "127.0.0.1:3 1 5 0 1500 58500" }));
}

/* Guards against a daemon that takes another target, or a later start of it,
   for one that leaves.  */
TEST_F (Gossip, SendsLeavingTargets)
{
  GoLeaving leaving = { "i-1", 1774556722011 };
  go_send_leaving (gossip, listen.c_str (), &leaving);
  WaitForDatagram ();
  EXPECT_EQ (received.leaving,
             (std::vector<std::string>{ "i-1 1774556722011" }));
}

/* Guards against a crash on a datagram that no daemon sent, or an empty
   one.  */
TEST_F (Gossip, DropsAndCountsMalformedDatagrams)
{
  FlReport report = MakeReport ("vm3");
  struct sockaddr_in destination = {};
  int fd = socket (AF_INET, SOCK_DGRAM, 0);
  destination.sin_family = AF_INET;
  destination.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  destination.sin_port
      = htons ((uint16_t)std::stoi (listen.substr (listen.find (':') + 1)));
  sendto (fd, "\xff\xff junk", 7, 0, (struct sockaddr *)&destination,
          sizeof destination);
  sendto (fd, "", 0, 0, (struct sockaddr *)&destination, sizeof destination);
  close (fd);
  go_send_report (gossip, listen.c_str (), &report);
  WaitForDatagram ();
  EXPECT_EQ (received.report_names, std::vector<std::string>{ "vm3" });
  EXPECT_EQ (go_counters (gossip)->malformed_count, 2u);
}

/* Guards against not sending a report at all because the demands of its
   customers do not fit in a datagram.  */
TEST_F (Gossip, DropsDemandsBeyondDatagramSize)
{
  std::vector<FlDemand> demands;
  FlReport report = MakeReport ("vm2");
  for (uint32_t i = 0; i < 20000; i++)
    demands.push_back ({ i, 1 });
  report.demands = demands.data ();
  report.demand_count = (uint32_t)demands.size ();
  go_send_report (gossip, listen.c_str (), &report);
  WaitForDatagram ();
  ASSERT_EQ (received.report_names.size (), 1u);
  EXPECT_GT (received.demands.size (), 500u);
}

/* Guards against starting without a socket if the listen address is malformed
   or not local.  */
TEST (GossipErrors, RejectsUnusableListenAddresses)
{
  struct event_base *base = event_base_new ();
  GError *error = nullptr;
  GoOptions options = { base, "nowhere", OnReport, OnTargetDelta, nullptr };
  EXPECT_EQ (go_new (&options, &error), nullptr);
  EXPECT_TRUE (g_error_matches (error, GO_ERROR, GO_ERROR_ADDRESS));
  g_clear_error (&error);
  options.listen = "192.0.2.1:7";
  EXPECT_EQ (go_new (&options, &error), nullptr);
  EXPECT_TRUE (g_error_matches (error, GO_ERROR, GO_ERROR_LISTEN));
  g_clear_error (&error);
  event_base_free (base);
}

}
