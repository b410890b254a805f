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

struct Heard
{
  std::vector<std::string> names;
  std::vector<double> demands;
  std::vector<uint32_t> customers;
  std::vector<std::string> targets;
  std::vector<std::string> gone;
  std::vector<std::string> stamps;
  std::vector<std::string> asks;
  std::string from;
  uint64_t revision = 0;
  uint64_t changed_revision = 0;
  struct event_base *base;
};

void
OnNews (const GoNews *news, void *data)
{
  auto *heard = static_cast<Heard *> (data);
  heard->revision = news->to_revision;
  heard->from = news->gossip_address;
  for (uint32_t i = 0; i < news->entry_count; i++)
    heard->targets.push_back (std::string (news->entries[i].id) + "@"
                              + news->entries[i].address);
  for (uint32_t i = 0; i < news->gone_count; i++)
    heard->gone.push_back (news->gone[i]);
  event_base_loopbreak (heard->base);
}

void
OnStamp (const GoStamp *stamp, void *data)
{
  auto *heard = static_cast<Heard *> (data);
  heard->stamps.push_back (stamp->gossip_address + std::string (" ")
                           + std::to_string (stamp->started_ms) + " "
                           + std::to_string (stamp->stamp_us));
  event_base_loopbreak (heard->base);
}

void
OnConfirmation (const GoConfirmation *confirmation, void *data)
{
  auto *heard = static_cast<Heard *> (data);
  heard->revision = confirmation->revision;
  heard->changed_revision = confirmation->changed_revision;
  OnStamp (&confirmation->stamp, data);
}

void
OnAsk (const GoAsk *ask, void *data)
{
  auto *heard = static_cast<Heard *> (data);
  heard->asks.push_back (ask->gossip_address + std::string (" ")
                         + std::to_string (ask->number) + " "
                         + std::to_string (ask->customer_id));
  event_base_loopbreak (heard->base);
}

void
OnAnswer (const GoAnswer *answer, void *data)
{
  auto *heard = static_cast<Heard *> (data);
  heard->asks.push_back (std::to_string (answer->number) + " "
                         + std::to_string (answer->granted) + " "
                         + std::to_string (answer->wait_ms));
  event_base_loopbreak (heard->base);
}

void
OnReport (const FlReport *report, void *data)
{
  auto *heard = static_cast<Heard *> (data);
  heard->names.push_back (report->name);
  for (uint32_t i = 0; i < report->demand_count; i++)
    {
      heard->demands.push_back (report->demands[i].per_s);
      heard->customers.push_back (report->demands[i].customer_id);
    }
  event_base_loopbreak (heard->base);
}

std::string
FreeAddress ()
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
Report (const char *name)
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
    heard.base = event_base_new ();
    listen = FreeAddress ();
    GoOptions options
        = { heard.base,     listen.c_str (), OnReport, OnNews, OnStamp,
            OnConfirmation, OnAsk,           OnAnswer, &heard };
    gossip = go_new (&options, nullptr);
    ASSERT_NE (gossip, nullptr);
  }

  void
  TearDown () override
  {
    go_free (gossip);
    event_base_free (heard.base);
  }

  void
  Wait ()
  {
    struct timeval limit = { 5, 0 };
    event_base_loopexit (heard.base, &limit);
    event_base_dispatch (heard.base);
  }

  Heard heard;
  std::string listen;
  GoSocket *gossip;
};

/* Guards against fields lost between two daemons.  */
TEST_F (Gossip, CarriesAReport)
{
  FlDemand demand = { 0xfedcba98u, 2.5 };
  FlReport report = Report ("vm2");
  report.demands = &demand;
  report.demand_count = 1;
  go_send (gossip, listen.c_str (), &report);
  Wait ();
  EXPECT_EQ (heard.names, std::vector<std::string>{ "vm2" });
  EXPECT_EQ (heard.demands, std::vector<double>{ 2.5 });
  EXPECT_EQ (heard.customers, std::vector<uint32_t>{ 0xfedcba98u });
}

/* Guards against a change of a target lost between two daemons.  */
TEST_F (Gossip, CarriesNews)
{
  TgEntry entry = {};
  const char *gone[] = { "t2" };
  GoNews news = { nullptr, 5, 9, &entry, 1, gone, 1 };
  entry.id = "t1";
  entry.address = "127.0.0.1:7";
  entry.service = "boards";
  entry.zone = "a1";
  EXPECT_TRUE (go_send_news (gossip, listen.c_str (), &news));
  Wait ();
  EXPECT_EQ (heard.from, listen);
  EXPECT_EQ (heard.revision, 9u);
  EXPECT_EQ (heard.targets, std::vector<std::string>{ "t1@127.0.0.1:7" });
  EXPECT_EQ (heard.gone, std::vector<std::string>{ "t2" });
}

/* Guards against a confirmation that is taken for newer than it is.  */
TEST_F (Gossip, CarriesStampsAndConfirmations)
{
  GoStamp stamp = { "127.0.0.1:2", 7, 99 };
  GoConfirmation confirmation = { stamp, 12, 11 };
  go_send_stamp (gossip, listen.c_str (), &stamp);
  Wait ();
  go_send_confirmation (gossip, listen.c_str (), &confirmation);
  Wait ();
  EXPECT_EQ (heard.stamps, (std::vector<std::string>{ "127.0.0.1:2 7 99",
                                                      "127.0.0.1:2 7 99" }));
  EXPECT_EQ (heard.revision, 12u);
  EXPECT_EQ (heard.changed_revision, 11u);
}

/* Guards against a token that is granted to another question.  */
TEST_F (Gossip, CarriesQuestionsAndAnswers)
{
  GoAsk ask = { "127.0.0.1:2", 5, 77 };
  GoAnswer answer = { 5, TRUE, 9 };
  go_send_ask (gossip, listen.c_str (), &ask);
  Wait ();
  go_send_answer (gossip, listen.c_str (), &answer);
  Wait ();
  EXPECT_EQ (heard.asks,
             (std::vector<std::string>{ "127.0.0.1:2 5 77", "5 1 9" }));
}

/* Guards against a datagram of somebody else ending the daemon.  */
TEST_F (Gossip, CountsAndDropsWhatItCannotRead)
{
  FlReport report = Report ("vm3");
  struct sockaddr_in to = {};
  int fd = socket (AF_INET, SOCK_DGRAM, 0);
  to.sin_family = AF_INET;
  to.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  to.sin_port
      = htons ((uint16_t)std::stoi (listen.substr (listen.find (':') + 1)));
  sendto (fd, "\xff\xff junk", 7, 0, (struct sockaddr *)&to, sizeof to);
  sendto (fd, "", 0, 0, (struct sockaddr *)&to, sizeof to);
  close (fd);
  go_send (gossip, listen.c_str (), &report);
  Wait ();
  EXPECT_EQ (heard.names, std::vector<std::string>{ "vm3" });
  EXPECT_EQ (go_counters (gossip)->malformed_count, 2u);
}

/* Guards against a report of many customers that is not sent at all.  */
TEST_F (Gossip, LeavesOutWhatDoesNotFit)
{
  std::vector<FlDemand> demands;
  FlReport report = Report ("vm2");
  for (uint32_t i = 0; i < 20000; i++)
    demands.push_back ({ i, 1 });
  report.demands = demands.data ();
  report.demand_count = (uint32_t)demands.size ();
  go_send (gossip, listen.c_str (), &report);
  Wait ();
  ASSERT_EQ (heard.names.size (), 1u);
  EXPECT_GT (heard.demands.size (), 500u);
}

/* Guards against an address that is silently not listened on.  */
TEST (GossipErrors, RefusesBadAddresses)
{
  struct event_base *base = event_base_new ();
  GError *error = nullptr;
  GoOptions options = { base, "nowhere", OnReport, OnNews, nullptr };
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
