#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <functional>
#include <string>
#include <vector>

extern "C"
{
#include "front/front.h"
#include <event2/event.h>
}

namespace
{

struct Server
{
  struct event_base *base = event_base_new ();
  FrServer *front = nullptr;
  std::function<void (FrRequest *)> handler;
  std::vector<std::string> seen; /* method path?query [body] of each request */
  FrRequest *held = nullptr;
  int cancelled = 0;
  bool idle = false;

  Server (FrOptions options = {})
  {
    options.base = base;
    options.listen = "127.0.0.1:0";
    options.on_request = on_request;
    options.data = this;
    g_autoptr (GError) error = NULL;
    front = fr_new (&options, &error);
    if (front == nullptr)
      g_error ("%s", error->message);
  }
  ~Server ()
  {
    fr_free (front);
    event_base_free (base);
  }

  static void
  on_request (FrRequest *request, void *data)
  {
    Server *self = (Server *)data;
    std::string line = std::string (request->method) + " " + request->path;
    if (request->query != NULL)
      line += std::string ("?") + request->query;
    line += " ["
            + std::string ((const char *)request->body, request->body_bytes)
            + "]";
    self->seen.push_back (line);
    if (self->handler)
      self->handler (request);
    else
      fr_reply (request, 200, NULL, line.data (), line.size ());
  }

  void
  hold ()
  {
    handler = [this] (FrRequest *request) {
      held = request;
      fr_on_cancel (
          request,
          [] (FrRequest *, void *data) {
            Server *self = (Server *)data;
            self->held = nullptr;
            self->cancelled++;
          },
          this);
    };
  }

  bool
  run_until (std::function<bool ()> done, int limit_ms = 5000)
  {
    int64_t end_us = g_get_monotonic_time () + limit_ms * 1000;
    while (!done () && g_get_monotonic_time () < end_us)
      {
        struct timeval pause = { 0, 1000 };
        event_base_loopexit (base, &pause);
        event_base_loop (base, EVLOOP_ONCE);
      }
    return done ();
  }
};

struct Caller
{
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
  std::string got;
  bool closed = false;

  Caller (Server &server)
  {
    struct sockaddr_in address = {};
    address.sin_family = AF_INET;
    address.sin_port = htons (fr_port (server.front));
    address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
    connect (fd, (struct sockaddr *)&address, sizeof address);
    server.run_until ([&] { return send ("") == 0; });
  }
  ~Caller () { close (fd); }

  ssize_t
  send (const std::string &text)
  {
    return ::send (fd, text.data (), text.size (), MSG_NOSIGNAL);
  }
  bool
  poll ()
  {
    char bytes[65536];
    ssize_t length = recv (fd, bytes, sizeof bytes, 0);
    if (length > 0)
      got.append (bytes, (size_t)length);
    closed |= length == 0 || (length < 0 && errno != EAGAIN);
    return closed;
  }
  int
  answers () const
  {
    int count = 0;
    for (size_t at = 0; (at = got.find ("HTTP/1.1 ", at)) != got.npos; at++)
      count++;
    return count;
  }
};

const std::string host = " HTTP/1.1\r\nHost: a\r\n";

/* Guards against a request that is malformed or ambiguous and still reaches
   the handler, and against a refusal that the caller does not see.  */
TEST (Front, RefusesMalformedRequests)
{
  const std::string post = "POST /" + host;
  struct
  {
    std::string text;
    const char *status;
  } cases[] = {
    { "GET /" + host
          + "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n"
            "\r\n0\r\n\r\n",
      "400" },
    { post + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab", "400" },
    { post + "Transfer-Encoding: chunked\r\n\r\nxyz\r\n", "400" },
    { post + "Transfer-Encoding: chunked\r\n\r\n1\r\nab\r\n0\r\n\r\n", "400" },
    { "GET /" + host + "X: a\r\n b\r\n\r\n", "400" },
    { "GET / HTTP/1.1\r\n\r\n", "400" },
    { "GET /" + host + "Host: b\r\n\r\n", "400" },
    { "GET / HTTP/1.1\nHost: a\n\n", "400" },
    { "GET /" + host + "X: a\rb\r\n\r\n", "400" },
    { "GET /" + host + std::string ("X: a\0b\r\n\r\n", 10), "400" },
    { "GET http://a/" + host + "\r\n", "400" },
    { "CONNECT a:1" + host + "\r\n", "405" },
    { "TRACE /" + host + "\r\n", "405" },
    { "BREW /" + host + "\r\n", "405" },
    { "GET /" + std::string (8192, 'a') + host + "\r\n", "431" },
    { "GET /" + host + "X: " + std::string (17000, 'a'), "431" },
    { post + "Content-Length: 1048577\r\n\r\n", "413" },
    { post + "Expect: other\r\nContent-Length: 1\r\n\r\na", "417" },
  };

  Server server;
  for (auto &c : cases)
    {
      Caller caller (server);
      caller.send (c.text + "GET /next" + host + "\r\n");
      server.run_until ([&] { return caller.poll (); });
      EXPECT_EQ (std::string ("HTTP/1.1 ") + c.status,
                 caller.got.substr (0, 12))
          << c.text.substr (0, 100);
      EXPECT_NE (caller.got.npos, caller.got.find ("not_run"));
      EXPECT_EQ (1, caller.answers ());
      EXPECT_TRUE (caller.closed);
    }
  EXPECT_EQ (0u, server.seen.size ());
}

/* Guards against a result that depends on how the bytes arrive, and against
   bytes of one request that are taken for the next.  */
TEST (Front, AnswersInOrderHoweverBytesArrive)
{
  const std::string all
      = "GET /a?x=1;y=%zz" + host + "\r\nPOST /b" + host
        + "Content-Length: 3\r\n\r\nGETPUT /c" + host
        + "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n"
        + "HEAD /d" + host + "\r\nDELETE /e" + host + "Connection: close\r\n"
        + "\r\n";
  const std::vector<std::string> wanted
      = { "GET /a?x=1;y=%zz []", "POST /b [GET]", "PUT /c [abc]", "HEAD /d []",
          "DELETE /e []" };

  for (size_t piece : { all.size (), (size_t)1, (size_t)7, (size_t)50 })
    {
      Server server;
      Caller caller (server);
      for (size_t at = 0; at < all.size (); at += piece)
        {
          caller.send (all.substr (at, piece));
          event_base_loop (server.base, EVLOOP_NONBLOCK);
        }
      server.run_until ([&] { return caller.poll (); });
      EXPECT_EQ (wanted, server.seen) << piece;
      EXPECT_EQ (5, caller.answers ());
      size_t last = 0;
      for (const char *body : { "GET /a", "POST /b", "PUT /c", "DELETE /e" })
        {
          EXPECT_LT (last, caller.got.find (body)) << body;
          last = caller.got.find (body);
        }
      EXPECT_EQ (caller.got.npos, caller.got.find ("HEAD /d"));
    }
}

/* Guards against valid requests that libevhtp's parser refuses or reads
   differently.  */
TEST (Front, PassesEveryValidByte)
{
  std::string names = "!#$%&'*+-.^_`|~09azAZ";
  std::string target = "/";
  std::string value = "\t ";
  for (int c = '!'; c < 0x7f; c++)
    if (strchr ("#\\\"<>%?", c) == NULL)
      target += (char)c;
  for (int c = '!'; c < 0x100; c++)
    if (c != 0x7f)
      value += (char)c;
  const std::string texts[] = {
    "GET " + target + "?" + target + "%zz%" + host + "\r\n",
    "GET /?" + host + "\r\n",
    "GET //a//b?a=b=c&&;=&x" + host + "\r\n",
    "GET /" + host + names + ":" + value + "\r\n\r\n",
    "GET /" + host + "Empty:\r\nSpaces:   \r\nA:b\r\n\r\n",
    "GET /a:1@b" + host + "Connection: Upgrade, x\r\nUpgrade: y\r\n\r\n",
    "POST /" + host
        + "Content-Type: application/x-www-form-urlencoded\r\n"
          "Content-Length: 5\r\n\r\n%zz&=",
    "POST /" + host
        + "Content-Type: multipart/form-data; boundary=x\r\n"
          "Content-Length: 3\r\n\r\n--x",
    "POST /" + host + "Content-Length: 0\r\n\r\n",
    "GET /" + host + "Content-Length: 2\r\n\r\nab",
    "DELETE /" + host
        + "Transfer-Encoding: CHUNKED\r\n\r\n"
          "0000005\r\nabcde\r\n000\r\nX: y\r\n\r\n",
    "GET / HTTP/1.0\r\nHost: [::1]:80\r\nConnection: keep-alive\r\n\r\n",
    "OPTIONS /" + host + "\r\n",
    "PATCH /" + host + "\r\n",
  };

  Server server;
  for (const std::string &text : texts)
    {
      Caller caller (server);
      caller.send (text + text);
      server.run_until (
          [&] { return caller.poll () || caller.answers () == 2; });
      EXPECT_EQ (2, caller.answers ()) << text;
      EXPECT_FALSE (caller.closed) << text;
      EXPECT_EQ ("HTTP/1.1 200", caller.got.substr (0, 12)) << text;
    }
  ASSERT_EQ (2 * std::size (texts), server.seen.size ());
  EXPECT_EQ ("GET " + target + "?" + target + "%zz% []", server.seen[0]);
  EXPECT_EQ ("DELETE / [abcde]", server.seen[20]);
}

/* Guards against a second request that overtakes a running one, and an answer
   that goes to the wrong connection (R7).  */
TEST (Front, LateAnswersGoToTheirOwnConnection)
{
  Server server;
  Caller first (server);
  Caller second (server);
  std::vector<FrRequest *> held;
  server.handler = [&] (FrRequest *request) { held.push_back (request); };

  first.send ("GET /1" + host + "\r\nGET /3" + host + "\r\n");
  ASSERT_TRUE (server.run_until ([&] { return held.size () == 1; }));
  second.send ("GET /2" + host + "\r\n");
  ASSERT_TRUE (server.run_until ([&] { return held.size () == 2; }));
  EXPECT_EQ (2u, fr_counters (server.front)->running_count);
  for (size_t i : { 1, 0 })
    fr_reply (held[i], 200, NULL, held[i]->path, 2);
  ASSERT_TRUE (server.run_until ([&] { return held.size () == 3; }));
  fr_reply (held[2], 200, NULL, held[2]->path, 2);
  server.run_until ([&] {
    first.poll ();
    second.poll ();
    return first.answers () == 2 && second.answers () == 1;
  });
  EXPECT_LT (first.got.find ("/1"), first.got.find ("/3"));
  EXPECT_NE (second.got.npos, second.got.find ("/2"));
}

/* Guards against work that goes on for a caller that has gone, and an answer
   to a connection that was freed.  */
TEST (Front, ClosingCancels)
{
  Server server;
  server.hold ();
  {
    Caller caller (server);
    caller.send ("POST /" + host + "Content-Length: 1\r\n\r\na");
    ASSERT_TRUE (server.run_until ([&] { return server.held != nullptr; }));
    EXPECT_EQ (1u, fr_counters (server.front)->connection_count);
  }
  ASSERT_TRUE (server.run_until ([&] { return server.cancelled == 1; }));
  EXPECT_EQ (0u, fr_counters (server.front)->running_count);
  EXPECT_EQ (0u, fr_counters (server.front)->connection_count);
}

/* Guards against an answer that is cut because the caller closed its sending
   side while the answer was being written.  */
TEST (Front, WritesTheAnswerAfterAHalfClose)
{
  Server server;
  Caller caller (server);
  const std::string body (8000000, 'x');
  server.handler = [&] (FrRequest *request) {
    fr_reply (request, 200, NULL, body.data (), body.size ());
  };

  caller.send ("GET /" + host + "\r\n");
  ASSERT_TRUE (server.run_until ([&] { return !server.seen.empty (); }));
  shutdown (caller.fd, SHUT_WR);
  ASSERT_TRUE (server.run_until ([&] { return caller.poll (); }));
  EXPECT_GT (caller.got.size (), body.size ());
}

/* Guards against connections that stay open when the end of input and a
   failed write are reported together.  */
TEST (Front, ForgetsCallersThatCloseWhileAnswered)
{
  Server server;
  const std::string body (100000, 'x');
  server.handler = [&] (FrRequest *request) {
    fr_reply (request, 200, NULL, body.data (), body.size ());
  };

  for (int i = 0; i < 300; i++)
    {
      Caller caller (server);
      for (int k = 0; k < i % 30; k++)
        caller.send ("GET /" + host + "\r\n");
      for (int k = 0; k < i % 7; k++)
        event_base_loop (server.base, EVLOOP_NONBLOCK);
      if (i % 2 == 0)
        caller.poll ();
    }
  EXPECT_TRUE (server.run_until (
      [&] { return fr_counters (server.front)->connection_count == 0; }));
}

/* Guards against callers that hold connections by sending or reading slowly,
   and against more connections than the limit.  */
TEST (Front, LimitsTimeAndConnections)
{
  FrOptions options = {};
  options.request_timeout_ms = 200;
  options.idle_timeout_ms = 200;
  options.write_timeout_ms = 200;
  options.connections_max = 3;
  Server server (options);
  Caller slow (server), idle (server), deaf (server), fourth (server);
  const std::string body (20000000, 'x');
  server.handler = [&] (FrRequest *request) {
    fr_reply (request, 200, NULL, body.data (), body.size ());
  };

  EXPECT_TRUE (server.run_until ([&] { return fourth.poll (); }));
  EXPECT_EQ ("", fourth.got);
  slow.send ("GET /" + host);
  deaf.send ("GET /" + host + "\r\n");
  EXPECT_TRUE (server.run_until ([&] { return slow.poll (); }));
  EXPECT_EQ ("HTTP/1.1 408", slow.got.substr (0, 12));
  EXPECT_TRUE (server.run_until ([&] { return idle.poll (); }));
  EXPECT_TRUE (server.run_until (
      [&] { return fr_counters (server.front)->connection_count == 0; }));
  EXPECT_EQ (3u, fr_counters (server.front)->timeout_count);
}

/* Guards against a stop that cuts a request (R11), and one that never ends
   because a connection is kept alive.  */
TEST (Front, StopsWithoutCuttingRequests)
{
  FrOptions options = {};
  options.stop_idle_ms = 300;
  Server server (options);
  Caller running (server), idle (server), sending (server);
  server.hold ();

  running.send ("GET /running" + host + "\r\n");
  sending.send ("POST /sending" + host + "Content-Length: 2\r\n\r\na");
  ASSERT_TRUE (server.run_until ([&] { return server.held != nullptr; }));
  fr_stop (
      server.front, [] (void *data) { ((Server *)data)->idle = true; },
      &server);
  EXPECT_FALSE (server.run_until ([&] { return server.idle; }, 800));
  EXPECT_TRUE (idle.poll ());
  fr_reply (server.held, 200, NULL, "x", 1);
  server.handler = nullptr;
  sending.send ("b");
  EXPECT_TRUE (server.run_until ([&] { return server.idle; }));
  for (Caller *caller : { &running, &sending })
    {
      EXPECT_TRUE (server.run_until ([&] { return caller->poll (); }));
      EXPECT_EQ ("HTTP/1.1 200", caller->got.substr (0, 12));
      EXPECT_NE (caller->got.npos, caller->got.find ("Connection: close"));
    }
}

/* Guards against a caller that waits for 100 Continue for ever, and against
   framing headers of a target that contradict the server's own.  */
TEST (Front, ContinuesAndFramesItsAnswers)
{
  Server server;
  Caller caller (server);
  server.handler = [&] (FrRequest *request) {
    g_autoptr (HtHeaders) headers = ht_headers_new ();
    ht_headers_add (headers, "content-length", "99");
    ht_headers_add (headers, "Transfer-Encoding", "chunked");
    ht_headers_add (headers, "X-Split", "a\r\nX-Injected: b");
    ht_headers_add (headers, "X-Kept", "c");
    fr_reply (request, 200, headers, "body", 4);
  };

  caller.send ("POST /" + host
               + "Expect: 100-continue\r\nContent-Length: 1\r\n\r\n");
  ASSERT_TRUE (server.run_until ([&] {
    caller.poll ();
    return caller.got == "HTTP/1.1 100 Continue\r\n\r\n";
  }));
  caller.got = "";
  caller.send ("x");
  ASSERT_TRUE (server.run_until ([&] {
    caller.poll ();
    return caller.answers () == 1;
  }));
  EXPECT_EQ ("HTTP/1.1 200 OK\r\nX-Kept: c\r\nContent-Length: 4\r\n\r\nbody",
             caller.got);
}

/* Guards against an answer to HEAD that announces an empty body, or has one.
 */
TEST (Front, HeadKeepsTheLength)
{
  Server server;
  Caller caller (server);
  server.handler = [&] (FrRequest *request) {
    g_autoptr (HtHeaders) headers = ht_headers_new ();
    ht_headers_add (headers, "Content-Length", "99");
    fr_reply (request, 200, headers, NULL, 0);
  };

  caller.send ("HEAD /" + host + "\r\n");
  ASSERT_TRUE (server.run_until ([&] {
    caller.poll ();
    return caller.answers () == 1;
  }));
  EXPECT_EQ ("HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n", caller.got);
}

}
