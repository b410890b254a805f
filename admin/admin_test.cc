#include <gtest/gtest.h>

extern "C"
{
#include "admin/admin.h"
}

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <signal.h>
#include <string>

namespace
{

struct Daemon
{
  struct event_base *base = event_base_new ();
  CfConfig *config = nullptr;
  EvRing *ring = nullptr;
  AdServer *server = nullptr;
  CfConfig *written = nullptr;
  uint64_t base_version = 0;
  AdWriteAnswer answer = {};
  bool answer_later = false;
  AdCall *open_call = nullptr;
  std::string operation;
};

void
metrics (GString *out, void *)
{
  g_string_append (out, "up 1\n");
}

void
status (AdStatus *out, void *)
{
  AdMember member = { "vm2", "baltic-2", "baltic", "live", 7, 40, 500, 1, 2 };
  out->vm = "vm1";
  out->lease_state = "active";
  out->config_version = 7;
  out->config_in_force = TRUE;
  g_array_append_val (out->members, member);
}

const EvRing *
events (void *data)
{
  return ((Daemon *)data)->ring;
}

CfConfig *
config (void *data)
{
  auto *daemon = (Daemon *)data;
  return daemon->config == nullptr ? nullptr : cf_ref (daemon->config);
}

void
write (AdCall *call, CfConfig *change, uint64_t base_version, void *data)
{
  auto *daemon = (Daemon *)data;
  cf_unref (daemon->written);
  daemon->written = cf_ref (change);
  daemon->base_version = base_version;
  if (daemon->answer_later)
    daemon->open_call = call;
  else
    ad_write_done (call, &daemon->answer);
}

void
operation (AdCall *call, const char *op_id, uint64_t base_version, void *data)
{
  ((Daemon *)data)->operation
      = std::string (op_id) + "@" + std::to_string (base_version);
  ad_operation_done (call, AD_OPERATION_NOT_APPLIED, 9);
}

const AdClass daemon_class
    = { metrics, status, events, config, write, operation };

class Admin : public testing::Test
{
protected:
  Daemon daemon;

  void
  SetUp () override
  {
    signal (SIGPIPE, SIG_IGN);
    EvOptions ring = { .vm = "vm1", .capacity_count = 16 };
    AdOptions options = { .base = daemon.base,
                          .address = "127.0.0.1",
                          .port = 0,
                          .vm = "vm1",
                          .calls = &daemon_class,
                          .data = &daemon };
    daemon.ring = ev_ring_new (&ring);
    daemon.server = ad_new (&options, nullptr);
    ASSERT_NE (daemon.server, nullptr);
  }

  void
  TearDown () override
  {
    ad_free (daemon.server);
    cf_unref (daemon.written);
    cf_unref (daemon.config);
    ev_ring_free (daemon.ring);
    event_base_free (daemon.base);
  }

  struct Answer
  {
    int status = 0;
    std::string body;
    struct event_base *base = nullptr;
  };

  static void
  on_answer (struct evhttp_request *request, void *data)
  {
    auto *answer = (Answer *)data;
    if (request != nullptr)
      {
        struct evbuffer *in = evhttp_request_get_input_buffer (request);
        answer->status = evhttp_request_get_response_code (request);
        answer->body.assign ((const char *)evbuffer_pullup (in, -1),
                             evbuffer_get_length (in));
      }
    event_base_loopbreak (answer->base);
  }

  Answer
  ask (evhttp_cmd_type method, const char *path, const std::string &body = "")
  {
    Answer answer;
    answer.base = daemon.base;
    struct evhttp_connection *connection = evhttp_connection_base_new (
        daemon.base, nullptr, "127.0.0.1", ad_port (daemon.server));
    struct evhttp_request *request = evhttp_request_new (on_answer, &answer);
    evhttp_connection_set_timeout (connection, 20);
    evbuffer_add (evhttp_request_get_output_buffer (request), body.data (),
                  body.size ());
    evhttp_make_request (connection, request, method, path);
    event_base_dispatch (daemon.base);
    evhttp_connection_free (connection);
    return answer;
  }

  static std::string
  change (const char *head, uint32_t block_count)
  {
    g_autoptr (CfConfig) document = cf_new ();
    g_ptr_array_add (cf_add_region (document, "baltic")->zones,
                     g_strdup ("baltic-1"));
    for (uint32_t i = 0; i < block_count; i++)
      {
        CfBlock block = {};
        block.prefix_bits = 128;
        block.address[10] = block.address[11] = 0xff;
        block.address[13] = (uint8_t)(i >> 16);
        block.address[14] = (uint8_t)(i >> 8);
        block.address[15] = (uint8_t)i;
        g_array_append_val (document->blocks, block);
      }
    g_autofree char *text = cf_to_json (document);
    return std::string (head) + ",\"document\":" + text + "}";
  }
};

const char head[]
    = "{\"op_id\":\"op-1\",\"author\":\"Ann\",\"base_version\":7";

} // namespace

/* Guards against an answer that the client and the metrics collector do not
   understand.  */
TEST_F (Admin, ReadsAreAnswered)
{
  EXPECT_EQ (ask (EVHTTP_REQ_GET, "/metrics").body, "up 1\n");
  Answer answer = ask (EVHTTP_REQ_GET, "/v1/status");
  EXPECT_EQ (answer.status, 200);
  EXPECT_NE (answer.body.find ("\"members\":[{\"vm\":\"vm2\""),
             std::string::npos)
      << answer.body;
  EXPECT_EQ (ask (EVHTTP_REQ_GET, "/v1/other").status, 404);
  EXPECT_EQ (ask (EVHTTP_REQ_POST, "/metrics").status, 405);
  EXPECT_EQ (ask (EVHTTP_REQ_GET, "/v1/config").status, 503);
}

/* Guards against a filter that shows another customer's requests, and against
   a limit that keeps the oldest events.  */
TEST_F (Admin, EventsAreFilteredAndNewest)
{
  for (int i = 0; i < 6; i++)
    {
      g_autofree char *id = g_strdup_printf ("r%d", i);
      EvFields fields
          = { .customer = i % 2 == 0 ? "c1" : "c2", .request_id = id };
      ev_record (daemon.ring, 1000 + i, EV_REQUEST_ADMITTED, &fields);
    }
  std::string body
      = ask (EVHTTP_REQ_GET, "/v1/events?customer=c1&limit=2").body;
  EXPECT_EQ (body.find ("\"r0\""), std::string::npos) << body;
  EXPECT_EQ (body.find ("\"r3\""), std::string::npos) << body;
  EXPECT_LT (body.find ("\"r2\""), body.find ("\"r4\"")) << body;
  EXPECT_EQ (ask (EVHTTP_REQ_GET, "/v1/events?limit=x").status, 400);
}

/* Guards against the four results of a write being told as one another.  */
TEST_F (Admin, WriteResultsAreTold)
{
  static const struct
  {
    AdWriteAnswer answer;
    int status;
    const char *text;
  } cases[] = {
    { { AD_WRITE_APPLIED, 8, "op-1", "Ann", nullptr }, 200, "\"applied\"" },
    { { AD_WRITE_LOST, 8, "op-9", "Bo", nullptr },
      409,
      "\"version\":8,\"op_id\":\"op-9\",\"author\":\"Bo\"" },
    { { AD_WRITE_UNKNOWN, 0, nullptr, nullptr, "store" }, 504, "\"unknown\"" },
    { { AD_WRITE_REFUSED, 0, nullptr, nullptr, "store is down" },
      503,
      "\"errors\":[\"store is down\"]" },
  };

  for (const auto &c : cases)
    {
      daemon.answer = c.answer;
      Answer answer = ask (EVHTTP_REQ_POST, "/v1/config", change (head, 3));
      EXPECT_EQ (answer.status, c.status) << answer.body;
      EXPECT_NE (answer.body.find (c.text), std::string::npos) << answer.body;
    }
  EXPECT_EQ (daemon.base_version, 7u);
  EXPECT_EQ (daemon.written->version, 8u);
  EXPECT_STREQ (daemon.written->author, "Ann");
}

/* Guards against a faulty change reaching the store, and against the answer
   repeating a plain key from it.  */
TEST_F (Admin, FaultyChangeIsRefused)
{
  std::string body = std::string (head)
                     + ",\"document\":{\"customers\":[{\"name\":\"c1\","
                       "\"rate_per_s\":1,\"burst\":1,\"keys\":[{\"id\":\"k\","
                       "\"sha256\":\"hunter2\"}]}]}}";
  Answer answer = ask (EVHTTP_REQ_POST, "/v1/config", body);
  EXPECT_EQ (answer.status, 400);
  EXPECT_NE (answer.body.find ("customers[0].keys[0].sha256"),
             std::string::npos)
      << answer.body;
  EXPECT_EQ (answer.body.find ("hunter2"), std::string::npos) << answer.body;
  EXPECT_EQ (ask (EVHTTP_REQ_POST, "/v1/config", "").status, 400);
  EXPECT_EQ (daemon.written, nullptr);
}

/* Guards against a body without bound filling the daemon's memory.  */
TEST_F (Admin, BodyIsBounded)
{
  std::string body (AD_BODY_MAX_BYTES + 1, ' ');
  EXPECT_NE (ask (EVHTTP_REQ_POST, "/v1/config", body).status, 200);
  EXPECT_EQ (daemon.written, nullptr);
}

/* Guards against a large document being cut on its way in or out.  */
TEST_F (Admin, LargeDocumentSurvivesBothWays)
{
  daemon.answer = { AD_WRITE_APPLIED, 8, "op-1", "Ann", nullptr };
  ASSERT_EQ (ask (EVHTTP_REQ_POST, "/v1/config", change (head, 50000)).status,
             200);
  daemon.config = cf_ref (daemon.written);
  std::string body = ask (EVHTTP_REQ_GET, "/v1/config").body;
  g_autoptr (CfConfig) again
      = cf_from_json (body.c_str (), body.size (), nullptr);
  ASSERT_NE (again, nullptr);
  EXPECT_EQ (again->blocks->len, 50000u);
  EXPECT_EQ (again->version, 8u);
}

/* Guards against the wrong operation being asked for.  */
TEST_F (Admin, OperationIsAsked)
{
  Answer answer
      = ask (EVHTTP_REQ_GET, "/v1/config/operation/op-5?base_version=7");
  EXPECT_EQ (answer.body, "{\"result\":\"not_applied\",\"version\":9}\n");
  EXPECT_EQ (daemon.operation, "op-5@7");
  EXPECT_EQ (ask (EVHTTP_REQ_GET, "/v1/config/operation/OP").status, 400);
}

/* Guards against a use after free when the operator gives up, or the daemon
   stops, before the store has answered.  */
TEST_F (Admin, OpenWriteSurvivesItsConnection)
{
  daemon.answer_later = true;
  for (bool answered : { true, false })
    {
      daemon.open_call = nullptr;
      struct evhttp_connection *connection = evhttp_connection_base_new (
          daemon.base, nullptr, "127.0.0.1", ad_port (daemon.server));
      Answer answer;
      answer.base = daemon.base;
      struct evhttp_request *request = evhttp_request_new (on_answer, &answer);
      std::string body = change (head, 1);
      evbuffer_add (evhttp_request_get_output_buffer (request), body.data (),
                    body.size ());
      evhttp_make_request (connection, request, EVHTTP_REQ_POST, "/v1/config");
      for (int i = 0; i < 1000 && daemon.open_call == nullptr; i++)
        event_base_loop (daemon.base, EVLOOP_ONCE);
      ASSERT_NE (daemon.open_call, nullptr);
      evhttp_connection_free (connection);
      for (int i = 0; i < 10; i++)
        event_base_loop (daemon.base, EVLOOP_NONBLOCK);
      AdWriteAnswer done = { AD_WRITE_APPLIED, 8, "op-1", "Ann", nullptr };
      if (answered)
        ad_write_done (daemon.open_call, &done);
    }
}
