#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <malloc.h>
#include <sys/socket.h>
#include <unistd.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

#ifdef __SANITIZE_ADDRESS__
/* Not all packages of the compiler have its header.  */
extern "C" size_t __sanitizer_get_current_allocated_bytes ();
#endif

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
  std::vector<std::string> requests; /* "method path?query [body]" of each */
  FrRequest *pending = nullptr; /* after defer_responses: the latest one */
  int cancelled_count = 0;
  bool stopped = false;

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
    self->requests.push_back (line);
    if (self->handler)
      self->handler (request);
    else
      fr_respond (request, 200, NULL, line.data (), line.size ());
  }

  /* Makes the test respond itself, to the request in PENDING.  */
  void
  defer_responses ()
  {
    handler = [this] (FrRequest *request) {
      pending = request;
      fr_set_cancel_handler (
          request,
          [] (FrRequest *, void *data) {
            Server *self = (Server *)data;
            self->pending = nullptr;
            self->cancelled_count++;
          },
          this);
    };
  }

  bool
  run_until (std::function<bool ()> condition, int timeout_ms = 5000)
  {
    int64_t deadline_us = g_get_monotonic_time () + timeout_ms * 1000;
    while (!condition () && g_get_monotonic_time () < deadline_us)
      {
        struct timeval pause = { 0, 1000 };
        event_base_loopexit (base, &pause);
        event_base_loop (base, EVLOOP_ONCE);
      }
    return condition ();
  }
};

struct Caller
{
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
  std::string received;
  bool closed = false;

  Caller (Server &server, const char *source = "127.0.0.1")
  {
    struct sockaddr_in address = {};
    struct sockaddr_in own = {};
    own.sin_family = AF_INET;
    inet_pton (AF_INET, source, &own.sin_addr);
    (void)!bind (fd, (struct sockaddr *)&own, sizeof own);
    address.sin_family = AF_INET;
    address.sin_port = htons (fr_port (server.front));
    address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
    connect (fd, (struct sockaddr *)&address, sizeof address);
    server.run_until ([&] { return send ("") == 0; });
  }
  ~Caller () { close (fd); }

  /* Returns the number of bytes sent, or -1 while not connected.  */
  ssize_t
  send (const std::string &text)
  {
    return ::send (fd, text.data (), text.size (), MSG_NOSIGNAL);
  }
  /* Receives what has arrived; returns whether the server has closed.  */
  bool
  receive ()
  {
    char bytes[65536];
    ssize_t length = recv (fd, bytes, sizeof bytes, 0);
    if (length > 0)
      received.append (bytes, (size_t)length);
    closed |= length == 0 || (length < 0 && errno != EAGAIN);
    return closed;
  }
  int
  response_count () const
  {
    int count = 0;
    for (size_t at = 0;
         (at = received.find ("HTTP/1.1 ", at)) != received.npos; at++)
      count++;
    return count;
  }
};

const std::string version_and_host = " HTTP/1.1\r\nHost: a\r\n";

/* Guards against a malformed or ambiguous request that reaches the handler,
   and against an error response that the caller does not receive.  */
TEST (Front, RejectsMalformedRequests)
{
  const std::string post = "POST /" + version_and_host;
  struct
  {
    std::string text;
    const char *status;
  } cases[] = {
    { "GET /" + version_and_host
          + "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n"
            "\r\n0\r\n\r\n",
      "400" },
    { post + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab", "400" },
    { post + "Transfer-Encoding: chunked\r\n\r\nxyz\r\n", "400" },
    { post + "Transfer-Encoding: chunked\r\n\r\n1\r\nab\r\n0\r\n\r\n", "400" },
    { "GET /" + version_and_host + "X: a\r\n b\r\n\r\n", "400" },
    { "GET / HTTP/1.1\r\n\r\n", "400" },
    { "GET /" + version_and_host + "Host: b\r\n\r\n", "400" },
    { "GET / HTTP/1.1\nHost: a\n\n", "400" },
    { "GET /" + version_and_host + "X: a\rb\r\n\r\n", "400" },
    { "GET /" + version_and_host + std::string ("X: a\0b\r\n\r\n", 10),
      "400" },
    { "GET http://a/" + version_and_host + "\r\n", "400" },
    { "CONNECT a:1" + version_and_host + "\r\n", "405" },
    { "TRACE /" + version_and_host + "\r\n", "405" },
    { "BREW /" + version_and_host + "\r\n", "405" },
    { "GET /" + std::string (8192, 'a') + version_and_host + "\r\n", "431" },
    { "GET /" + version_and_host + "X: " + std::string (17000, 'a'), "431" },
    { post + "Content-Length: 1048577\r\n\r\n", "413" },
    { post + "Expect: other\r\nContent-Length: 1\r\n\r\na", "417" },
  };

  Server server;
  for (auto &c : cases)
    {
      Caller caller (server);
      caller.send (c.text + "GET /next" + version_and_host + "\r\n");
      server.run_until ([&] { return caller.receive (); });
      EXPECT_EQ (std::string ("HTTP/1.1 ") + c.status,
                 caller.received.substr (0, 12))
          << c.text.substr (0, 100);
      EXPECT_NE (caller.received.npos, caller.received.find ("not_run"));
      EXPECT_EQ (1, caller.response_count ());
      EXPECT_TRUE (caller.closed);
    }
  EXPECT_EQ (0u, server.requests.size ());
}

/* Guards against a result that depends on how the bytes are split into
   segments, and against bytes of one request that are parsed as the next.  */
TEST (Front, RespondsInOrderWithAnyFragmentation)
{
  const std::string all_requests
      = "GET /a?x=1;y=%zz" + version_and_host + "\r\nPOST /b"
        + version_and_host + "Content-Length: 3\r\n\r\nGETPUT /c"
        + version_and_host
        + "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n"
        + "HEAD /d" + version_and_host + "\r\nDELETE /e" + version_and_host
        + "Connection: close\r\n" + "\r\n";
  const std::vector<std::string> expected
      = { "GET /a?x=1;y=%zz []", "POST /b [GET]", "PUT /c [abc]", "HEAD /d []",
          "DELETE /e []" };

  for (size_t piece_bytes :
       { all_requests.size (), (size_t)1, (size_t)7, (size_t)50 })
    {
      Server server;
      Caller caller (server);
      for (size_t at = 0; at < all_requests.size (); at += piece_bytes)
        {
          caller.send (all_requests.substr (at, piece_bytes));
          event_base_loop (server.base, EVLOOP_NONBLOCK);
        }
      server.run_until ([&] { return caller.receive (); });
      EXPECT_EQ (expected, server.requests) << piece_bytes;
      EXPECT_EQ (5, caller.response_count ());
      size_t last = 0;
      for (const char *body : { "GET /a", "POST /b", "PUT /c", "DELETE /e" })
        {
          EXPECT_LT (last, caller.received.find (body)) << body;
          last = caller.received.find (body);
        }
      EXPECT_EQ (caller.received.npos, caller.received.find ("HEAD /d"));
    }
}

/* Guards against valid requests that libevhtp's parser rejects or parses
   differently.  */
TEST (Front, AcceptsEveryValidByte)
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
    "GET " + target + "?" + target + "%zz%" + version_and_host + "\r\n",
    "GET /?" + version_and_host + "\r\n",
    "GET //a//b?a=b=c&&;=&x" + version_and_host + "\r\n",
    "GET /" + version_and_host + names + ":" + value + "\r\n\r\n",
    "GET /" + version_and_host + "Empty:\r\nSpaces:   \r\nA:b\r\n\r\n",
    "GET /a:1@b" + version_and_host
        + "Connection: Upgrade, x\r\nUpgrade: y\r\n\r\n",
    "POST /" + version_and_host
        + "Content-Type: application/x-www-form-urlencoded\r\n"
          "Content-Length: 5\r\n\r\n%zz&=",
    "POST /" + version_and_host
        + "Content-Type: multipart/form-data; boundary=x\r\n"
          "Content-Length: 3\r\n\r\n--x",
    "POST /" + version_and_host + "Content-Length: 0\r\n\r\n",
    "GET /" + version_and_host + "Content-Length: 2\r\n\r\nab",
    "DELETE /" + version_and_host
        + "Transfer-Encoding: CHUNKED\r\n\r\n"
          "0000005\r\nabcde\r\n000\r\nX: y\r\n\r\n",
    "GET / HTTP/1.0\r\nHost: [::1]:80\r\nConnection: keep-alive\r\n\r\n",
    "OPTIONS /" + version_and_host + "\r\n",
    "PATCH /" + version_and_host + "\r\n",
  };

  Server server;
  for (const std::string &text : texts)
    {
      Caller caller (server);
      caller.send (text + text);
      server.run_until (
          [&] { return caller.receive () || caller.response_count () == 2; });
      EXPECT_EQ (2, caller.response_count ()) << text;
      EXPECT_FALSE (caller.closed) << text;
      EXPECT_EQ ("HTTP/1.1 200", caller.received.substr (0, 12)) << text;
    }
  ASSERT_EQ (2 * std::size (texts), server.requests.size ());
  EXPECT_EQ ("GET " + target + "?" + target + "%zz% []", server.requests[0]);
  EXPECT_EQ ("DELETE / [abcde]", server.requests[20]);
}

/* Guards against a valid request whose connection is closed without a
   response, because its target or one of its headers is longer than 8 KB, the
   size of the buffer of libevhtp's parser.  */
TEST (Front, RespondsToRequestsWithLongLines)
{
  const std::string get = "GET /" + version_and_host;
  const std::string texts[] = {
    "GET /" + std::string (8191, 'a') + version_and_host + "\r\n",
    "GET /?" + std::string (8190, 'a') + version_and_host + "\r\n",
    get + "X: " + std::string (8192, 'a') + "\r\n\r\n",
    get + "Cookie: " + std::string (16000, 'a') + "\r\n\r\n",
    get + std::string (8192, 'a') + ": x\r\n\r\n",
    "GET / HTTP/1.1\r\nHost: " + std::string (8192, 'a') + "\r\n\r\n",
    "POST /" + version_and_host + "X: " + std::string (9000, 'a')
        + "\r\nContent-Length: 3\r\n\r\nabc",
  };

  Server server;
  for (const std::string &text : texts)
    {
      Caller caller (server);
      caller.send (text + text);
      server.run_until (
          [&] { return caller.receive () || caller.response_count () == 2; });
      EXPECT_EQ (2, caller.response_count ()) << text.substr (0, 30);
      EXPECT_FALSE (caller.closed) << text.substr (0, 30);
      EXPECT_EQ ("HTTP/1.1 200", caller.received.substr (0, 12));
    }
  ASSERT_EQ (2 * std::size (texts), server.requests.size ());
  EXPECT_EQ ("POST / [abc]", server.requests.back ());
}

/* Guards against a second request that overtakes a running one, and against a
   response that goes to the wrong connection.  */
TEST (Front, DeferredResponsesGoToTheirOwnConnection)
{
  Server server;
  Caller first (server);
  Caller second (server);
  std::vector<FrRequest *> pending;
  server.handler = [&] (FrRequest *request) { pending.push_back (request); };

  first.send ("GET /1" + version_and_host + "\r\nGET /3" + version_and_host
              + "\r\n");
  ASSERT_TRUE (server.run_until ([&] { return pending.size () == 1; }));
  second.send ("GET /2" + version_and_host + "\r\n");
  ASSERT_TRUE (server.run_until ([&] { return pending.size () == 2; }));
  EXPECT_EQ (2u, fr_counters (server.front)->running_count);
  for (size_t i : { 1, 0 })
    fr_respond (pending[i], 200, NULL, pending[i]->path, 2);
  ASSERT_TRUE (server.run_until ([&] { return pending.size () == 3; }));
  fr_respond (pending[2], 200, NULL, pending[2]->path, 2);
  server.run_until ([&] {
    first.receive ();
    second.receive ();
    return first.response_count () == 2 && second.response_count () == 1;
  });
  EXPECT_LT (first.received.find ("/1"), first.received.find ("/3"));
  EXPECT_NE (second.received.npos, second.received.find ("/2"));
}

/* Guards against work that continues for a caller that has disconnected, and
   against a response to a connection that was freed.  */
TEST (Front, CloseCancelsTheRequest)
{
  Server server;
  server.defer_responses ();
  {
    Caller caller (server);
    caller.send ("POST /" + version_and_host + "Content-Length: 1\r\n\r\na");
    ASSERT_TRUE (server.run_until ([&] { return server.pending != nullptr; }));
    EXPECT_EQ (1u, fr_counters (server.front)->connection_count);
  }
  ASSERT_TRUE (server.run_until ([&] { return server.cancelled_count == 1; }));
  EXPECT_EQ (0u, fr_counters (server.front)->running_count);
  EXPECT_EQ (0u, fr_counters (server.front)->connection_count);
}

/* Guards against a response that is truncated because the caller closed its
   sending side while the response was being written.  */
TEST (Front, WritesTheResponseAfterAHalfClose)
{
  Server server;
  Caller caller (server);
  const std::string body (8000000, 'x');
  server.handler = [&] (FrRequest *request) {
    fr_respond (request, 200, NULL, body.data (), body.size ());
  };

  caller.send ("GET /" + version_and_host + "\r\n");
  ASSERT_TRUE (server.run_until ([&] { return !server.requests.empty (); }));
  shutdown (caller.fd, SHUT_WR);
  ASSERT_TRUE (server.run_until ([&] { return caller.receive (); }));
  EXPECT_GT (caller.received.size (), body.size ());
}

/* Guards against connections that stay open when the end of input and a
   failed write are reported together.  */
TEST (Front, FreesConnectionsClosedDuringTheResponse)
{
  Server server;
  const std::string body (100000, 'x');
  server.handler = [&] (FrRequest *request) {
    fr_respond (request, 200, NULL, body.data (), body.size ());
  };

  for (int i = 0; i < 300; i++)
    {
      Caller caller (server);
      for (int k = 0; k < i % 30; k++)
        caller.send ("GET /" + version_and_host + "\r\n");
      for (int k = 0; k < i % 7; k++)
        event_base_loop (server.base, EVLOOP_NONBLOCK);
      if (i % 2 == 0)
        caller.receive ();
    }
  EXPECT_TRUE (server.run_until (
      [&] { return fr_counters (server.front)->connection_count == 0; }));
}

/* Guards against callers that occupy connections by sending or reading slowly,
   and against more connections than the limit.  */
TEST (Front, AppliesTimeoutsAndConnectionLimit)
{
  FrOptions options = {};
  options.request_timeout_ms = 200;
  options.idle_timeout_ms = 200;
  options.write_timeout_ms = 200;
  options.connections_max = 3;
  Server server (options);
  Caller slow (server), idle (server), not_reading (server), fourth (server);
  const std::string body (20000000, 'x');
  server.handler = [&] (FrRequest *request) {
    fr_respond (request, 200, NULL, body.data (), body.size ());
  };

  EXPECT_TRUE (server.run_until ([&] { return fourth.receive (); }));
  EXPECT_EQ ("", fourth.received);
  slow.send ("GET /" + version_and_host);
  not_reading.send ("GET /" + version_and_host + "\r\n");
  EXPECT_TRUE (server.run_until ([&] { return slow.receive (); }));
  EXPECT_EQ ("HTTP/1.1 408", slow.received.substr (0, 12));
  EXPECT_TRUE (server.run_until ([&] { return idle.receive (); }));
  EXPECT_TRUE (server.run_until (
      [&] { return fr_counters (server.front)->connection_count == 0; }));
  EXPECT_EQ (3u, fr_counters (server.front)->timeout_count);
}

/* Guards against idle connections that are closed, after the process was not
   scheduled for a while, although requests have arrived on them.  */
TEST (Front, ServesRequestsThatArrivedBeforeAnIdleTimeout)
{
  FrOptions options = {};
  options.idle_timeout_ms = 1000;
  Server server (options);
  std::vector<std::unique_ptr<Caller> > callers;

  for (int i = 0; i < 8; i++)
    callers.push_back (std::make_unique<Caller> (server));
  ASSERT_TRUE (server.run_until (
      [&] { return fr_counters (server.front)->connection_count == 8; }));
  for (auto &caller : callers)
    caller->send ("GET /" + version_and_host + "\r\n");
  usleep (1100000);
  for (auto &caller : callers)
    {
      server.run_until (
          [&] { return caller->receive () || caller->response_count () > 0; });
      EXPECT_EQ (1, caller->response_count ());
    }
  EXPECT_EQ (8u, server.requests.size ());
  callers.clear ();
  EXPECT_TRUE (server.run_until (
      [&] { return fr_counters (server.front)->connection_count == 0; }));
}

/* As of a server without limits of its own.  */
const FrLimits kLimits = { .head_max_bytes = 16 * 1024,
                           .body_max_bytes = FR_BODY_MAX_BYTES,
                           .request_timeout_ms = 10000,
                           .idle_timeout_ms = 60000 };

/* Guards against limits that are ignored: a lower one on heads, and one of no
   bytes on bodies, which left the limit of an earlier configuration.  */
TEST (Front, AppliesLowerLimitsOnHeadsAndBodies)
{
  Server server;
  auto status_of = [&] (const std::string &request) {
    Caller caller (server);
    caller.send (request);
    server.run_until (
        [&] { return caller.receive () || caller.response_count () > 0; });
    return caller.received.substr (0, 12);
  };
  const std::string post = "POST /" + version_and_host;
  const std::string long_head = "GET /" + version_and_host + "X-Long: "
                                + std::string (400, 'x') + "\r\n\r\n";
  const std::string body = post + "Content-Length: 4\r\n\r\nabcd";
  const std::string chunks
      = post + "Transfer-Encoding: chunked\r\n\r\n4\r\nabcd\r\n0\r\n\r\n";
  FrLimits limits = kLimits;

  limits.head_max_bytes = 300;
  limits.body_max_bytes = 4;
  fr_set_limits (server.front, &limits);
  EXPECT_EQ ("HTTP/1.1 431", status_of (long_head));
  EXPECT_EQ ("HTTP/1.1 431",
             status_of (long_head.substr (0, long_head.size () - 4)));
  EXPECT_EQ ("HTTP/1.1 200", status_of (body));
  EXPECT_EQ ("HTTP/1.1 200", status_of (chunks));
  limits.body_max_bytes = 0;
  fr_set_limits (server.front, &limits);
  EXPECT_EQ ("HTTP/1.1 413", status_of (body));
  EXPECT_EQ ("HTTP/1.1 413", status_of (chunks));
  EXPECT_EQ ("HTTP/1.1 200", status_of ("GET /" + version_and_host + "\r\n"));
  fr_set_limits (server.front, &kLimits);
  EXPECT_EQ ("HTTP/1.1 200", status_of (long_head));
  EXPECT_EQ ("HTTP/1.1 200", status_of (body));
}

/* Guards against a lower idle limit that closes connections which their
   callers still take for usable, many at once.  */
TEST (Front, LowerIdleLimitSparesConnectionsThatAreIdle)
{
  Server server;
  Caller caller (server);
  FrLimits limits = kLimits;

  ASSERT_TRUE (server.run_until (
      [&] { return fr_counters (server.front)->connection_count == 1; }));
  limits.idle_timeout_ms = 200;
  fr_set_limits (server.front, &limits);
  server.run_until ([&] { return caller.receive (); }, 600);
  ASSERT_FALSE (caller.closed);
  caller.send ("GET /" + version_and_host + "\r\n");
  EXPECT_TRUE (server.run_until ([&] { return caller.receive (); }));
  EXPECT_EQ (1, caller.response_count ());
}

/* Guards against a request that is rejected as too slow, after the process was
   not scheduled for a while, although the rest of it has arrived.  */
TEST (Front, ServesRequestsWhoseRestArrivedDuringAPause)
{
  FrOptions options = {};
  options.request_timeout_ms = 200;
  Server server (options);
  const std::string post
      = "POST /" + version_and_host + "Content-Length: 4\r\n\r\n";
  std::vector<std::unique_ptr<Caller> > callers;

  for (int i = 0; i < 8; i++)
    callers.push_back (std::make_unique<Caller> (server));
  for (size_t i = 0; i < 8; i++)
    callers[i]->send (i % 2 == 0 ? "POST" : post + "ab");
  server.run_until ([] { return false; }, 50);
  for (size_t i = 0; i < 8; i++)
    callers[i]->send (i % 2 == 0 ? post.substr (4) + "abcd" : "cd");
  usleep (300000);
  for (auto &caller : callers)
    {
      server.run_until (
          [&] { return caller->receive () || caller->response_count () > 0; });
      EXPECT_EQ ("HTTP/1.1 200", caller->received.substr (0, 12));
    }
  EXPECT_EQ (8u, server.requests.size ());
}

/* Guards against a request whose body arrives slowly and that is rejected
   after the time for a head, and against callers that occupy a connection with
   a body that stops or never ends.  */
TEST (Front, ServesABodyThatArrivesSlowly)
{
  FrOptions options = {};
  options.request_timeout_ms = 300;
  options.body_timeout_ms = 1500;
  Server server (options);
  Caller slow (server), stopping (server), endless (server);
  const std::string post = "POST /" + version_and_host + "Content-Length: ";

  slow.send (post + "6\r\n\r\n");
  stopping.send (post + "6\r\n\r\na");
  endless.send (post + "1000\r\n\r\n");
  for (int i = 0; i < 20; i++)
    {
      if (i < 6)
        slow.send ("a");
      endless.send ("a");
      server.run_until ([] { return false; }, 100);
      if (i == 8)
        {
          stopping.receive ();
          EXPECT_EQ ("HTTP/1.1 408", stopping.received.substr (0, 12));
          endless.receive ();
          EXPECT_EQ ("", endless.received);
        }
    }
  slow.receive ();
  EXPECT_EQ ("HTTP/1.1 200", slow.received.substr (0, 12));
  endless.receive ();
  EXPECT_EQ ("HTTP/1.1 408", endless.received.substr (0, 12));
}

/* Guards against a response that is cut as not read although its caller read
   on while the process was not scheduled.  */
TEST (Front, WritesOnAfterAPause)
{
  FrOptions options = {};
  options.write_timeout_ms = 200;
  Server server (options);
  Caller caller (server);
  const std::string body (20000000, 'x');
  server.handler = [&] (FrRequest *request) {
    fr_respond (request, 200, NULL, body.data (), body.size ());
  };

  caller.send ("GET /" + version_and_host + "\r\n");
  ASSERT_TRUE (server.run_until ([&] { return !server.requests.empty (); }));
  server.run_until ([] { return false; }, 150);
  usleep (300000);
  for (int i = 0; i < 500; i++)
    caller.receive ();
  EXPECT_TRUE (server.run_until ([&] {
    caller.receive ();
    return caller.closed || caller.received.size () > body.size ();
  }));
  EXPECT_GT (caller.received.size (), body.size ());
}

/* Guards against a stop that aborts a request, and one that never ends because
   of a persistent connection.  */
TEST (Front, StopCompletesRequests)
{
  FrOptions options = {};
  options.stop_idle_timeout_ms = 300;
  Server server (options);
  Caller running (server), idle (server), sending (server);
  server.defer_responses ();

  running.send ("GET /running" + version_and_host + "\r\n");
  sending.send ("POST /sending" + version_and_host
                + "Content-Length: 2\r\n\r\na");
  ASSERT_TRUE (server.run_until ([&] { return server.pending != nullptr; }));
  fr_stop (
      server.front, [] (void *data) { ((Server *)data)->stopped = true; },
      &server);
  EXPECT_FALSE (server.run_until ([&] { return server.stopped; }, 800));
  EXPECT_TRUE (idle.receive ());
  fr_respond (server.pending, 200, NULL, "x", 1);
  server.handler = nullptr;
  sending.send ("b");
  EXPECT_TRUE (server.run_until ([&] { return server.stopped; }));
  for (Caller *caller : { &running, &sending })
    {
      EXPECT_TRUE (server.run_until ([&] { return caller->receive (); }));
      EXPECT_EQ ("HTTP/1.1 200", caller->received.substr (0, 12));
      EXPECT_NE (caller->received.npos,
                 caller->received.find ("Connection: close"));
    }
}

/* Guards against a connection that stays open after a response with
   "Connection: close", and against a request that was read ahead and gets no
   response because the connection is closed after the previous one.  */
TEST (Front, ClosesAfterTheLastResponseWithoutKeepAlive)
{
  Server server;
  Caller single (server), pipelining (server);
  const std::string get = "GET /" + version_and_host + "\r\n";
  std::vector<FrRequest *> pending;
  server.handler = [&] (FrRequest *request) { pending.push_back (request); };

  single.send (get);
  pipelining.send (get + get);
  ASSERT_TRUE (server.run_until ([&] { return pending.size () == 2; }));
  fr_disable_keep_alive (server.front);
  server.handler = nullptr;
  for (FrRequest *request : pending)
    fr_respond (request, 200, NULL, "x", 1);
  for (Caller *caller : { &single, &pipelining })
    {
      EXPECT_TRUE (server.run_until ([&] { return caller->receive (); }));
      EXPECT_EQ (caller == &single ? 1 : 2, caller->response_count ());
      EXPECT_EQ (caller->received.find ("Connection: close"),
                 caller->received.rfind ("Connection: close"));
      EXPECT_LT (caller->received.rfind ("HTTP/1.1 "),
                 caller->received.find ("Connection: close"));
    }
}

/* Guards against a caller that waits for 100 Continue for ever, and against
   framing headers of a target that conflict with the server's own.  */
TEST (Front, SendsContinueAndOwnFraming)
{
  Server server;
  Caller caller (server);
  server.handler = [&] (FrRequest *request) {
    g_autoptr (HtHeaders) headers = ht_headers_new ();
    ht_headers_add (headers, "content-length", "99");
    ht_headers_add (headers, "Transfer-Encoding", "chunked");
    ht_headers_add (headers, "X-Split", "a\r\nX-Injected: b");
    ht_headers_add (headers, "X-Kept", "c");
    fr_respond (request, 200, headers, "body", 4);
  };

  caller.send ("POST /" + version_and_host
               + "Expect: 100-continue\r\nContent-Length: 1\r\n\r\n");
  ASSERT_TRUE (server.run_until ([&] {
    caller.receive ();
    return caller.received == "HTTP/1.1 100 Continue\r\n\r\n";
  }));
  caller.received = "";
  caller.send ("x");
  ASSERT_TRUE (server.run_until ([&] {
    caller.receive ();
    return caller.response_count () == 1;
  }));
  EXPECT_EQ ("HTTP/1.1 200 OK\r\nX-Kept: c\r\nContent-Length: 4\r\n\r\nbody",
             caller.received);
}

struct Memory
{
  MmBudget *budget;

  explicit Memory (uint64_t limit_bytes) : budget (mm_budget_new (limit_bytes))
  {
  }
  ~Memory () { mm_budget_unref (budget); }
};

std::string
LargeHead (size_t body_bytes)
{
  return "POST /large HTTP/1.1\r\nHost: a\r\nContent-Length: "
         + std::to_string (body_bytes) + "\r\n\r\n";
}

/* Guards against bodies that together take more memory than there is, against
   a refusal that comes after the body was read, and against small requests
   that suffer from large ones.  */
TEST (Front, RefusesALargeBodyForWhichThereIsNoMemory)
{
  const size_t large = 500000;
  Memory memory (large + 1000);
  FrOptions options = {};
  options.memory = memory.budget;
  Server server (options);
  Caller first (server), refused (server), small (server);

  first.send (LargeHead (large) + std::string (1000, 'x'));
  EXPECT_TRUE (server.run_until (
      [&] { return mm_budget_used (memory.budget) == large; }));
  refused.send (LargeHead (large));
  EXPECT_TRUE (server.run_until ([&] { return refused.receive (); }));
  EXPECT_EQ (0u, refused.received.find ("HTTP/1.1 503 "));
  EXPECT_NE (refused.received.npos, refused.received.find ("Retry-After: "));
  EXPECT_NE (refused.received.npos, refused.received.find ("not_run"));
  small.send ("POST /small HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n"
              "\r\nsmall");
  EXPECT_TRUE (server.run_until ([&] {
    small.receive ();
    return small.response_count () == 1;
  }));
  ASSERT_EQ (1u, server.requests.size ());
  size_t sent = 1000;
  EXPECT_TRUE (server.run_until ([&] {
    ssize_t length = first.send (
        std::string (std::min<size_t> (65536, large - sent), 'x'));
    sent += length > 0 ? (size_t)length : 0;
    return server.requests.size () == 2;
  }));
  EXPECT_EQ ("POST /large [" + std::string (large, 'x') + "]",
             server.requests[1]);
  EXPECT_TRUE (
      server.run_until ([&] { return mm_budget_used (memory.budget) == 0; }));
  EXPECT_LE (mm_budget_peak (memory.budget), large + 1000);
}

/* Guards against a body without a length that grows above the memory.  */
TEST (Front, RefusesAChunkedBodyThatOutgrowsTheMemory)
{
  Memory memory (200000);
  FrOptions options = {};
  options.memory = memory.budget;
  Server server (options);
  Caller caller (server);
  const std::string chunk = "8000\r\n" + std::string (0x8000, 'x') + "\r\n";
  size_t at = 0;

  caller.send ("POST /large HTTP/1.1\r\nHost: a\r\n"
               "Transfer-Encoding: chunked\r\n\r\n");
  EXPECT_TRUE (server.run_until ([&] {
    ssize_t sent = caller.send (chunk.substr (at));
    at = sent > 0 ? (at + (size_t)sent) % chunk.size () : at;
    return caller.receive ();
  }));
  EXPECT_EQ (0u, caller.received.find ("HTTP/1.1 503 "));
  EXPECT_TRUE (server.requests.empty ());
  EXPECT_EQ (0u, mm_budget_used (memory.budget));
}

/* Guards against a response that is copied, or no longer counted while its
   caller reads slowly.  */
TEST (Front, HoldsAResponseOnceUntilItIsWritten)
{
  const size_t large = 8000000;
  Memory memory (2 * large);
  Server server;
  Caller caller (server);
  MmBlock *block = mm_block_new (memory.budget);

  mm_block_reserve (block, large);
  g_byte_array_set_size (mm_block_bytes (block), large);
  memset (mm_block_bytes (block)->data, 'y', large);
  server.handler = [&] (FrRequest *request) {
    fr_respond_block (request, 200, NULL, block);
    mm_block_unref (block);
  };
  caller.send ("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
  EXPECT_FALSE (server.run_until (
      [&] { return mm_budget_used (memory.budget) == 0; }, 200));
  EXPECT_TRUE (server.run_until ([&] {
    caller.receive ();
    return caller.received.size () > large;
  }));
  EXPECT_EQ (large, caller.received.size () - caller.received.find ("yyy"));
  EXPECT_TRUE (
      server.run_until ([&] { return mm_budget_used (memory.budget) == 0; }));
  EXPECT_EQ (large, mm_budget_peak (memory.budget));
}

/* Guards against a response to HEAD that has Content-Length: 0 or a body.  */
TEST (Front, HeadKeepsTheContentLength)
{
  Server server;
  Caller caller (server);
  server.handler = [&] (FrRequest *request) {
    g_autoptr (HtHeaders) headers = ht_headers_new ();
    ht_headers_add (headers, "Content-Length", "99");
    fr_respond (request, 200, headers, NULL, 0);
  };

  caller.send ("HEAD /" + version_and_host + "\r\n");
  ASSERT_TRUE (server.run_until ([&] {
    caller.receive ();
    return caller.response_count () == 1;
  }));
  EXPECT_EQ ("HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n", caller.received);
}

/* Guards against callers that cannot connect since others, which never sent a
   request, have all the connections; and against closing one that is served
   in favour of those.  */
TEST (Front, ClosesSilentConnectionsForNewOnes)
{
  FrOptions options = {};
  options.connections_max = 3;
  Server server (options);
  Caller served (server), first (server), second (server);

  served.send ("GET /1" + version_and_host + "\r\n");
  ASSERT_TRUE (server.run_until (
      [&] { return served.receive () || served.response_count () == 1; }));
  usleep (1100000);
  Caller next (server);
  next.send ("GET /2" + version_and_host + "\r\n");
  EXPECT_TRUE (server.run_until (
      [&] { return next.receive () || next.response_count () == 1; }));
  EXPECT_EQ (1, next.response_count ());
  EXPECT_TRUE (server.run_until ([&] { return first.receive (); }));
  EXPECT_FALSE (second.receive ());
  served.send ("GET /3" + version_and_host + "\r\n");
  EXPECT_TRUE (server.run_until (
      [&] { return served.receive () || served.response_count () == 2; }));
  EXPECT_EQ (2, served.response_count ());
  EXPECT_EQ (1u, fr_holder_counters (server.front)->closed_count);
}

/* Guards against callers that cannot connect since others, which were served
   once and send nothing more, have all the connections.  */
TEST (Front, ClosesIdleConnectionsForNewOnes)
{
  FrOptions options = {};
  options.connections_max = 3;
  Server server (options);
  std::vector<std::unique_ptr<Caller> > idle;

  for (int i = 0; i < 3; i++)
    {
      idle.push_back (std::make_unique<Caller> (server));
      Caller &caller = *idle.back ();
      caller.send ("GET /" + version_and_host + "\r\n");
      ASSERT_TRUE (server.run_until (
          [&] { return caller.receive () || caller.response_count () == 1; }));
    }
  usleep (1100000);
  Caller next (server);
  next.send ("GET /2" + version_and_host + "\r\n");
  EXPECT_TRUE (server.run_until (
      [&] { return next.receive () || next.response_count () == 1; }));
  EXPECT_EQ (1, next.response_count ());
  EXPECT_TRUE (server.run_until ([&] { return idle[0]->receive (); }));
  EXPECT_EQ (1u, fr_holder_counters (server.front)->closed_count);
}

/* Guards against responses that are held but not counted: those that are ready
   when there is no room for them.  */
TEST (Front, CountsResponsesThatDoNotFit)
{
  FrOptions options = {};
  options.connections_bytes = 8 * 1024 * 10;
  Server server (options);
  std::string body (60000, 'x');
  std::vector<std::unique_ptr<Caller> > callers;
  std::vector<FrRequest *> requests;

  server.handler = [&] (FrRequest *request) { requests.push_back (request); };
  for (int i = 0; i < 4; i++)
    {
      callers.push_back (std::make_unique<Caller> (server));
      callers.back ()->send ("GET /" + version_and_host + "\r\n");
    }
  ASSERT_TRUE (server.run_until ([&] { return requests.size () == 4; }));
  for (FrRequest *request : requests)
    fr_respond (request, 200, NULL, body.data (), body.size ());
  EXPECT_GT (fr_holder_counters (server.front)->used_bytes, 4 * body.size ());
  EXPECT_EQ (
      0u,
      fr_holder_counters (server.front)->refused_counts[MM_REFUSED_MEMORY]);
  for (auto &caller : callers)
    EXPECT_TRUE (server.run_until ([&] {
      return caller->receive () || caller->received.size () > body.size ();
    }));
}

/* Guards against one address that takes all the connections, where a limit for
   each is set.  */
TEST (Front, LimitsConnectionsOfOneAddress)
{
  FrOptions options = {};
  options.connections_per_address_max = 2;
  Server server (options);
  Caller first (server), second (server), third (server);

  EXPECT_TRUE (server.run_until ([&] { return third.receive (); }));
  EXPECT_FALSE (first.receive ());
  EXPECT_EQ (1u, fr_counters (server.front)->over_limit_count);
}

/* Guards against memory without a bound for heads and small bodies that stay
   incomplete, each within its own limits; and against a refusal of a request
   that runs.  */
TEST (Front, RejectsIncompleteRequestsAboveTheMemory)
{
  FrOptions options = {};
  options.connections_bytes = 8 * 1024 * 20;
  Server server (options);
  std::vector<std::unique_ptr<Caller> > callers;
  int rejected_count = 0;

  for (int i = 0; i < 4; i++)
    callers.push_back (std::make_unique<Caller> (server));
  for (int i = 0; i < 4; i++)
    callers.push_back (std::make_unique<Caller> (server));
  for (size_t i = 0; i < callers.size (); i++)
    callers[i]->send (
        i < 4 ? "POST /" + version_and_host + "Content-Length: 60000\r\n\r\nx"
              : "GET /" + version_and_host + "X: " + std::string (15000, 'x'));
  server.run_until ([] { return false; }, 500);
  for (auto &caller : callers)
    if (caller->receive () || caller->response_count () > 0)
      {
        rejected_count++;
        EXPECT_EQ ("HTTP/1.1 503", caller->received.substr (0, 12));
        EXPECT_NE (caller->received.npos,
                   caller->received.find ("Retry-After: 1\r\n"));
        EXPECT_NE (caller->received.npos,
                   caller->received.find ("\"outcome\":\"not_run\""));
      }
  EXPECT_GT (rejected_count, 0);
  EXPECT_LT (rejected_count, 8);
  EXPECT_TRUE (server.requests.empty ());
  EXPECT_LE (fr_holder_counters (server.front)->peak_bytes,
             options.connections_bytes);
  callers.clear ();
  EXPECT_TRUE (server.run_until (
      [&] { return fr_holder_counters (server.front)->used_bytes == 0; }));
}

/* Guards against a connection that reads on while its requests wait, and so
   holds all that its caller sends ahead.  */
TEST (Front, ReadsNoMoreAheadThanTheBound)
{
  Server server;
  Caller caller (server);
  const std::string get = "GET /" + version_and_host + "\r\n";
  std::string ahead;
  gsize taken_bytes = 0;

  server.handler = [&] (FrRequest *request) {
    taken_bytes += get.size ();
    fr_respond (request, 200, NULL, "x", 1);
  };
  while (ahead.size () < 4000000)
    ahead += get;
  /* The kernel takes many requests, but few responses that are not read.  */
  size_t at = 0;
  for (int turn = 0; turn < 100000 && taken_bytes < 400000; turn++)
    {
      ssize_t sent = send (caller.fd, ahead.data () + at, ahead.size () - at,
                           MSG_NOSIGNAL);
      if (sent > 0)
        at += (size_t)sent;
      event_base_loop (server.base, EVLOOP_NONBLOCK);
      caller.receive ();
      ASSERT_LE (fr_holder_counters (server.front)->used_bytes, 16384u + 8192);
    }
  EXPECT_GE (taken_bytes, 400000u);
}

/* Of the process, also with the sanitizer's allocator.  */
size_t
AllocatedBytes ()
{
#ifdef __SANITIZE_ADDRESS__
  return __sanitizer_get_current_allocated_bytes ();
#else
  return mallinfo2 ().uordblks;
#endif
}

/* Guards against what is read ahead costing a multiple of its bytes, where
   these arrive one by one and each read has a buffer of its own.  */
TEST (Front, ReadAheadCostsWhatItIsCountedFor)
{
  constexpr int kCallers = 16;
  constexpr size_t kCostMaxBytes = kCallers * FR_CONN_BYTES;
  Server server;
  std::vector<std::unique_ptr<Caller> > callers;

  server.handler = [] (FrRequest *) {};
  for (int i = 0; i < kCallers; i++)
    {
      callers.push_back (std::make_unique<Caller> (server));
      callers[i]->send ("GET /" + version_and_host + "\r\n");
    }
  ASSERT_TRUE (server.run_until (
      [&] { return fr_counters (server.front)->running_count == kCallers; }));
  size_t before_bytes = AllocatedBytes ();
  for (int i = 0; i < 3000; i++)
    {
      for (auto &caller : callers)
        caller->send ("x");
      event_base_loop (server.base, EVLOOP_NONBLOCK);
    }
  EXPECT_LE (AllocatedBytes () - before_bytes, kCostMaxBytes);
}

/* Guards against one address whose incomplete bodies leave no memory for those
   of others, though a byte of each comes now and then.  */
TEST (Front, IncompleteBodiesOfOneAddressMakeRoomForOthers)
{
  const size_t large = 500000;
  Memory memory (2 * large);
  FrOptions options = {};
  options.memory = memory.budget;
  Server server (options);
  Caller first (server, "127.0.0.2"), second (server, "127.0.0.2");
  Caller other (server), same (server, "127.0.0.2");

  first.send (LargeHead (large) + std::string (1000, 'x'));
  second.send (LargeHead (large) + std::string (2000, 'x'));
  EXPECT_TRUE (server.run_until (
      [&] { return mm_budget_used (memory.budget) == 2 * large; }));
  other.send (LargeHead (large));
  EXPECT_TRUE (server.run_until (
      [&] { return first.receive () || second.receive (); }));
  Caller &rejected = first.received.empty () ? second : first;
  EXPECT_EQ (0u, rejected.received.find ("HTTP/1.1 503 "));
  EXPECT_NE (rejected.received.npos, rejected.received.find ("not_run"));
  EXPECT_EQ (1u, fr_body_counters (server.front)->displaced_count);
  /* Both hold as much now.  */
  same.send (LargeHead (large));
  EXPECT_TRUE (server.run_until ([&] { return same.receive (); }));
  EXPECT_EQ (0u, same.received.find ("HTTP/1.1 503 "));
  EXPECT_TRUE (other.received.empty ());
}

/* Guards against a body that comes byte by byte and keeps its memory from
   others of the same address for as long as it may take.  */
TEST (Front, BodyWithoutProgressMakesRoom)
{
  const size_t large = 500000;
  Memory memory (large + 1000);
  FrOptions options = {};
  options.memory = memory.budget;
  Server server (options);
  Caller slow (server), other (server);

  slow.send (LargeHead (large) + std::string (1000, 'x'));
  for (int i = 0; i < 60; i++)
    {
      slow.send ("x");
      ASSERT_FALSE (server.run_until ([&] { return slow.receive (); }, 20));
    }
  other.send (LargeHead (large) + std::string (1000, 'x'));
  EXPECT_TRUE (server.run_until ([&] { return slow.receive (); }));
  EXPECT_EQ (0u, slow.received.find ("HTTP/1.1 503 "));
  EXPECT_TRUE (other.received.empty ());
  EXPECT_EQ (1u, fr_body_counters (server.front)->closed_count);
}

/* Guards against large responses that nobody reads, or of which a little is
   read at a time, and that keep those of others waiting.  */
TEST (Front, UnreadResponsesMakeRoomForThoseThatWait)
{
  const size_t large = 8000000;
  Memory memory (2 * large);
  FrOptions options = {};
  options.response_memory = memory.budget;
  Server server (options);
  Caller stalled (server), reader (server);
  MmWant want = {};

  server.handler = [&] (FrRequest *request) {
    MmBlock *block = mm_block_new (memory.budget);
    mm_block_reserve (block, large);
    g_byte_array_set_size (mm_block_bytes (block), large);
    memset (mm_block_bytes (block)->data, 'y', large);
    fr_respond_block (request, 200, NULL, block);
    mm_block_unref (block);
  };
  stalled.send ("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
  reader.send ("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
  EXPECT_FALSE (server.run_until ([&] { return stalled.closed; }, 1500));
  /* A little at a time.  */
  char bytes[64];
  for (int i = 0; i < 20 && mm_budget_used (memory.budget) == 2 * large; i++)
    {
      (void)!recv (stalled.fd, bytes, sizeof bytes, 0);
      reader.receive ();
      server.run_until ([] { return false; }, 10);
    }
  want.address[10] = want.address[11] = 0xff;
  want.bytes = large;
  want.since_us = INT64_MAX / 2;
  mm_budget_add_want (memory.budget, &want);
  EXPECT_TRUE (server.run_until ([&] {
    reader.receive ();
    return fr_response_counters (server.front)->closed_count == 1;
  }));
  mm_budget_remove_want (memory.budget, &want);
  EXPECT_TRUE (server.run_until ([&] {
    reader.receive ();
    return reader.received.size () > large;
  }));
  EXPECT_FALSE (reader.closed);
}

}
