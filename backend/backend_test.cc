#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <linux/filter.h>
#include <sys/socket.h>
#include <unistd.h>

#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

extern "C"
{
#include "backend/backend.h"
#include <event2/event.h>
}

namespace
{

/* A listening socket; the test accepts connections and responds itself.  */
struct TestTarget
{
  int listener = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
  std::string address;

  TestTarget ()
  {
    struct sockaddr_in sockaddr = {};
    socklen_t length = sizeof sockaddr;
    sockaddr.sin_family = AF_INET;
    sockaddr.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
    bind (listener, (struct sockaddr *)&sockaddr, sizeof sockaddr);
    listen (listener, 16);
    getsockname (listener, (struct sockaddr *)&sockaddr, &length);
    address = "127.0.0.1:" + std::to_string (ntohs (sockaddr.sin_port));
  }
  ~TestTarget () { close (listener); }
};

struct Outcome
{
  bool is_waiting = false;
  bool done = false;
  BkResult result = {};
  std::string body;
};

struct Fixture
{
  struct event_base *base = event_base_new ();
  BkPool *pool;
  TestTarget target;
  std::vector<int> fds; /* accepted; -1 once closed */

  Fixture (BkOptions options = {})
  {
    options.base = base;
    pool = bk_pool_new (&options);
  }
  ~Fixture ()
  {
    bk_pool_free (pool);
    for (int fd : fds)
      if (fd >= 0)
        close (fd);
    event_base_free (base);
  }

  /* BODY must outlive the request.  */
  BkRequest
  make_request (Outcome *outcome, const char *method, int timeout_ms,
                const std::string &body)
  {
    BkRequest request = {};
    request.address = target.address.c_str ();
    request.method = method;
    request.request_target = "/orders?a=1";
    request.body = body.data ();
    request.body_bytes = body.size ();
    request.deadline_us = bk_now_us () + timeout_ms * 1000;
    request.on_done = [] (const BkResult *result, void *data) {
      Outcome *outcome = (Outcome *)data;
      outcome->done = true;
      outcome->result = *result;
      if (result->complete)
        outcome->body.assign ((const char *)result->body, result->body_bytes);
    };
    request.data = outcome;
    return request;
  }
  BkCall *
  start_with_id (Outcome *outcome, const char *id)
  {
    static const std::string body = "body";
    BkRequest request = make_request (outcome, "POST", 5000, body);
    request.echo_header = "X-Id";
    request.echo_value = id;
    return bk_request (pool, &request);
  }
  BkCall *
  start (Outcome *outcome, const char *method = "POST", int timeout_ms = 5000,
         const std::string &body = "body", BkSends *sends = nullptr)
  {
    BkRequest request = make_request (outcome, method, timeout_ms, body);
    request.sends = sends;
    return bk_request (pool, &request);
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
  int
  accept_one ()
  {
    int fd = -1;
    run_until ([&] {
      return fd >= 0
             || (fd = accept4 (target.listener, NULL, NULL, SOCK_NONBLOCK))
                    >= 0;
    });
    fds.push_back (fd);
    return fd;
  }
  /* Receives until a request that ends with the default body has arrived, at
     most until the timeout.  */
  std::string
  receive (int fd)
  {
    std::string received;
    run_until ([&] {
      char bytes[65536];
      ssize_t length = recv (fd, bytes, sizeof bytes, 0);
      if (length > 0)
        received.append (bytes, (size_t)length);
      return received.size () >= 4
             && received.substr (received.size () - 4) == "body";
    });
    return received;
  }
  /* Whether the other end closes the connection within TIMEOUT_MS.  */
  bool
  is_closed (int fd, int timeout_ms = 5000)
  {
    return run_until (
        [&] {
          char byte;
          ssize_t length = recv (fd, &byte, 1, MSG_PEEK);
          return length == 0 || (length < 0 && errno != EAGAIN);
        },
        timeout_ms);
  }
  void
  close_fd (int fd)
  {
    close (fd);
    for (int &accepted_fd : fds)
      accepted_fd = accepted_fd == fd ? -1 : accepted_fd;
  }
};

void
send_text (int fd, const std::string &text)
{
  EXPECT_EQ ((ssize_t)text.size (),
             send (fd, text.data (), text.size (), MSG_NOSIGNAL));
}

const std::string status_line = "HTTP/1.1 200 OK\r\n";

/* Guards against a response that is truncated, of wrong length or ambiguous
   but is reported as complete, and against reuse of a connection on which
   another response may still arrive.  */
TEST (Backend, ChecksResponses)
{
  struct
  {
    std::string response;
    bool closes;
    BkFailure failure;
    bool reused;
    const char *body;
  } cases[] = {
    { status_line + "Content-Length: 2\r\n\r\nab", false, BK_FAILURE_NONE,
      true, "ab" },
    { status_line + "Content-Length: 2\r\n\r\nab", true, BK_FAILURE_NONE,
      false, "ab" },
    { status_line + "Content-Length: 2\r\nConnection: close\r\n\r\nab", false,
      BK_FAILURE_NONE, false, "ab" },
    { status_line + "Content-Length: 3\r\n\r\nab", true, BK_FAILURE_CLOSED,
      false, "" },
    { status_line + "Content-Length: 1\r\n\r\nab", false, BK_FAILURE_MALFORMED,
      false, "" },
    { status_line + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab", false,
      BK_FAILURE_MALFORMED, false, "" },
    { status_line + "Content-Length: 9999999999\r\n\r\n", false,
      BK_FAILURE_TOO_LARGE, false, "" },
    { status_line + "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n",
      false, BK_FAILURE_NONE, true, "ab" },
    { status_line + "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n", true,
      BK_FAILURE_CLOSED, false, "" },
    { status_line + "Transfer-Encoding: chunked\r\n\r\n2\r\nabc", false,
      BK_FAILURE_MALFORMED, false, "" },
    { status_line + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nx", false,
      BK_FAILURE_MALFORMED, false, "" },
    { status_line
          + "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n",
      false, BK_FAILURE_MALFORMED, false, "" },
    { status_line + "Connection: close\r\n\r\nab", true, BK_FAILURE_NONE,
      false, "ab" },
    { "HTTP/1.0 200 OK\r\n\r\nab", true, BK_FAILURE_NONE, false, "ab" },
    { status_line + "\r\nab", true, BK_FAILURE_MALFORMED, false, "" },
    { "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\nA: b\r\n\r\n"
          + status_line + "Content-Length: 1\r\n\r\na",
      false, BK_FAILURE_NONE, true, "a" },
    { "HTTP/1.1 101 Switch\r\n\r\n", false, BK_FAILURE_MALFORMED, false, "" },
    { "HTTP/1.1 204 None\r\n\r\n", false, BK_FAILURE_NONE, true, "" },
    { "HTTP/1.1 304 Same\r\nContent-Length: 7\r\n\r\n", false, BK_FAILURE_NONE,
      true, "" },
    { "HTTP/1.1 204 None\r\nContent-Length: 1\r\n\r\na", false,
      BK_FAILURE_MALFORMED, false, "" },
    { status_line, true, BK_FAILURE_CLOSED, false, "" },
    { status_line + "Content-Length: 0\r\n", true, BK_FAILURE_CLOSED, false,
      "" },
    { status_line + "Connection: close\r\n", true, BK_FAILURE_CLOSED, false,
      "" },
    { status_line + "Connection: close\r\nX-A: b\r\n\r", true,
      BK_FAILURE_CLOSED, false, "" },
    { "HTTP/1.0 200 OK\r\n", true, BK_FAILURE_CLOSED, false, "" },
    { "", true, BK_FAILURE_CLOSED, false, "" },
    { "SSH-2.0\r\n\r\n", false, BK_FAILURE_MALFORMED, false, "" },
    { std::string (17000, 'a'), false, BK_FAILURE_MALFORMED, false, "" },
  };

  for (auto &c : cases)
    for (size_t piece_bytes : { c.response.size () + 1, (size_t)1 })
      {
        Fixture f;
        Outcome outcome;
        f.start (&outcome);
        int fd = f.accept_one ();
        std::string request = f.receive (fd);
        EXPECT_EQ ("POST /orders?a=1 HTTP/1.1\r\nHost: " + f.target.address
                       + "\r\nContent-Length: 4\r\n\r\nbody",
                   request);
        for (size_t at = 0; at < c.response.size () && piece_bytes < 16000;
             at += piece_bytes)
          {
            if (send (fd, c.response.data () + at,
                      MIN (piece_bytes, c.response.size () - at), MSG_NOSIGNAL)
                < 0)
              break;
            event_base_loop (f.base, EVLOOP_NONBLOCK);
          }
        if (piece_bytes >= 16000)
          send_text (fd, c.response);
        if (c.closes)
          shutdown (fd, SHUT_WR);
        ASSERT_TRUE (f.run_until ([&] { return outcome.done; })) << c.response;
        /* An extra byte that arrives after a complete response cannot
           invalidate it; the connection must still be closed.  */
        bool extra_came_later = piece_bytes == 1 && outcome.result.complete;
        EXPECT_TRUE (extra_came_later || c.failure == outcome.result.failure)
            << c.response;
        EXPECT_TRUE (extra_came_later || c.body == outcome.body) << c.response;
        EXPECT_EQ (outcome.result.complete,
                   outcome.result.failure == BK_FAILURE_NONE);
        EXPECT_EQ (BK_SENT_MAYBE, outcome.result.sent);
        EXPECT_EQ (!c.reused, f.is_closed (fd, c.reused ? 20 : 5000))
            << c.response;
        EXPECT_EQ (c.reused ? 1u : 0u,
                   bk_connection_count (f.pool, f.target.address.c_str ()));
      }
}

/* Sends RESPONSE in pieces of PIECE_BYTES to a request and closes the
   connection if CLOSES; returns the failure of the request.  */
BkFailure
fail_with (const std::string &response, size_t piece_bytes, bool closes)
{
  Fixture f;
  Outcome outcome;
  f.start_with_id (&outcome, "a1");
  int fd = f.accept_one ();
  f.receive (fd);
  for (size_t at = 0; at < response.size () && !outcome.done;
       at += piece_bytes)
    {
      /* Fails once the connection is closed.  */
      send (fd, response.data () + at,
            MIN (piece_bytes, response.size () - at), MSG_NOSIGNAL);
      event_base_loop (f.base, EVLOOP_NONBLOCK);
    }
  if (closes)
    shutdown (fd, SHUT_WR);
  EXPECT_TRUE (f.run_until ([&] { return outcome.done; }));
  EXPECT_FALSE (outcome.result.complete);
  EXPECT_EQ (0u, outcome.result.status);
  EXPECT_EQ (BK_SENT_MAYBE, outcome.result.sent);
  EXPECT_TRUE (f.is_closed (fd));
  EXPECT_EQ (0u, bk_connection_count (f.pool, f.target.address.c_str ()));
  return outcome.result.failure;
}

/* Guards against a response with a malformed status, such as 000, that is
   reported as complete, also if all else in it is valid; and against a request
   that is reported as not sent for such a response, although it may have
   run.  */
TEST (Backend, CompletesNoResponseWithMalformedStatus)
{
  const std::string rest = "\r\nX-Id: a1\r\nContent-Length: 2\r\n\r\nab";
  const std::string interim = "HTTP/1.1 100 Continue\r\n\r\n";
  const std::string status_lines[] = {
    "HTTP/1.1 000 OK",
    "HTTP/1.1 099 OK",
    "HTTP/1.1 600 OK",
    "HTTP/1.1 999 OK",
    "HTTP/1.1 1000 OK",
    "HTTP/1.1 0200 OK",
    "HTTP/1.1 +200 OK",
    "HTTP/1.1 -20 OK",
    "HTTP/1.1 2 0 OK",
    "HTTP/1.1 20 OK",
    "HTTP/1.1 200x",
    "HTTP/1.1 ",
    "HTTP/1.1  OK",
    "HTTP/1.1",
    "HTTP/1.1200 OK",
    "",
    "HTTP/1.1 " + std::string (20000, '2') + " OK",
    "HTTP/1.1 101 Switching Protocols",
    std::string ("HTTP/1.1 2\0000 OK", 15),
    std::string ("HTTP/1.1 200\0OK", 15),
    interim + "HTTP/1.1 000 OK",
  };

  for (const std::string &line : status_lines)
    for (size_t piece_bytes : { (size_t)1000000, (size_t)7 })
      EXPECT_EQ (BK_FAILURE_MALFORMED,
                 fail_with (line + rest, piece_bytes, false))
          << line.substr (0, 60);
  /* Interim responses without end.  */
  std::string endless;
  for (int i = 0; i < 100; i++)
    endless += interim;
  EXPECT_EQ (BK_FAILURE_MALFORMED, fail_with (endless, 1000000, false));
  EXPECT_EQ (
      BK_FAILURE_MALFORMED,
      fail_with ("HTTP/1.1 100 " + std::string (20000, 'a'), 1000000, false));
  EXPECT_EQ (BK_FAILURE_CLOSED, fail_with (interim, 1000000, true));
  EXPECT_EQ (BK_FAILURE_CLOSED, fail_with ("HTTP/1.1 0", 1000000, true));
}

/* Guards against a false not_run for a request that may have run, and against
   BK_SENT_MAYBE for requests that were never sent.  */
TEST (Backend, ReportsWhatWasSent)
{
  Fixture f;
  Outcome refused, expired, unanswered[3], waiting, invalid;

  f.start (&expired, "POST", -1);
  EXPECT_TRUE (f.run_until ([&] { return expired.done; }));
  EXPECT_EQ (BK_FAILURE_TIMEOUT, expired.result.failure);
  EXPECT_EQ (BK_SENT_NONE, expired.result.sent);

  f.start (&invalid, "PO ST");
  EXPECT_FALSE (invalid.done);
  EXPECT_TRUE (f.run_until ([&] { return invalid.done; }));
  EXPECT_EQ (BK_FAILURE_REQUEST, invalid.result.failure);

  for (Outcome &outcome : unanswered)
    f.start (&outcome, "POST", 300);
  f.start (&waiting, "POST", 100);
  for (int i = 0; i < 3; i++)
    EXPECT_NE ("", f.receive (f.accept_one ()));
  EXPECT_TRUE (f.run_until ([&] { return waiting.done; }));
  EXPECT_EQ (BK_FAILURE_TIMEOUT, waiting.result.failure);
  EXPECT_EQ (BK_SENT_NONE, waiting.result.sent);
  EXPECT_EQ (3u, bk_connection_count (f.pool, f.target.address.c_str ()));
  EXPECT_TRUE (f.run_until ([&] { return unanswered[2].done; }));
  EXPECT_EQ (BK_FAILURE_TIMEOUT, unanswered[2].result.failure);
  EXPECT_EQ (BK_SENT_MAYBE, unanswered[2].result.sent);
  EXPECT_EQ (0u, bk_connection_count (f.pool, f.target.address.c_str ()));

  close (f.target.listener);
  f.target.listener = -1;
  f.start (&refused);
  EXPECT_TRUE (f.run_until ([&] { return refused.done; }));
  EXPECT_EQ (BK_FAILURE_CONNECT, refused.result.failure);
  EXPECT_EQ (BK_SENT_NONE, refused.result.sent);
}

/* Guards against a request that is given up before its deadline: the timers of
   an event loop count from the start of its turn, which may have been long. */
TEST (Backend, WaitsUntilTheDeadlineAfterALongTurn)
{
  Fixture f;
  Outcome outcome;
  struct timeval no_delay = {};
  struct Turn
  {
    Fixture *fixture;
    Outcome *outcome;
    int64_t deadline_us;
  } turn = { &f, &outcome, 0 };

  event_base_once (
      f.base, -1, EV_TIMEOUT,
      [] (evutil_socket_t, short, void *data) {
        Turn *turn = (Turn *)data;
        g_usleep (60000);
        turn->deadline_us = bk_now_us () + 100000;
        turn->fixture->start (turn->outcome, "GET", 100);
      },
      &turn, &no_delay);
  ASSERT_TRUE (f.run_until ([&] { return outcome.done; }));
  EXPECT_GE (bk_now_us (), turn.deadline_us);
  EXPECT_EQ (BK_FAILURE_TIMEOUT, outcome.result.failure);
}

/* Guards against a connection that is given up although it was made while the
   process was not scheduled.  */
TEST (Backend, UsesAConnectionMadeDuringAPause)
{
  BkOptions options = {};
  options.connect_timeout_ms = 50;
  Fixture f (options);
  Outcome outcome;

  f.start (&outcome);
  g_usleep (100000);
  int fd = f.accept_one ();
  EXPECT_NE ("", f.receive (fd));
  send (fd, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", 40, 0);
  ASSERT_TRUE (f.run_until ([&] { return outcome.done; }));
  EXPECT_EQ (BK_FAILURE_NONE, outcome.result.failure);
}

/* Guards against a response that is given up at its deadline although all of
   it arrived while the process was not scheduled.  */
TEST (Backend, DeliversALargeResponseThatArrivedDuringAPause)
{
  Fixture f;
  Outcome outcome;
  const std::string response
      = "HTTP/1.1 200 OK\r\nContent-Length: 300000\r\n\r\n"
        + std::string (300000, 'x');
  size_t sent = 0;

  f.start (&outcome, "POST", 200);
  int fd = f.accept_one ();
  EXPECT_NE ("", f.receive (fd));
  for (int i = 0; i < 100 && sent < response.size (); i++)
    {
      ssize_t length
          = send (fd, response.data () + sent, response.size () - sent, 0);
      sent += length > 0 ? (size_t)length : 0;
      g_usleep (1000);
    }
  ASSERT_EQ (response.size (), sent);
  g_usleep (300000);
  ASSERT_TRUE (f.run_until ([&] { return outcome.done; }));
  EXPECT_EQ (BK_FAILURE_NONE, outcome.result.failure);
  EXPECT_EQ (300000u, outcome.body.size ());
}

/* Guards against a response that is dropped by a cancellation although all of
   it has arrived, and against a result for one that is incomplete.  */
TEST (Backend, DeliversWhatHasArrivedBeforeACancellation)
{
  const std::string head = "HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n";
  for (size_t body_bytes : { (size_t)99999, (size_t)100000 })
    {
      Fixture f;
      Outcome outcome;
      BkCall *call = f.start (&outcome);

      EXPECT_FALSE (bk_deliver_arrived (call));
      int fd = f.accept_one ();
      EXPECT_NE ("", f.receive (fd));
      send_text (fd, head + std::string (body_bytes, 'x'));
      EXPECT_EQ (body_bytes == 100000, bk_deliver_arrived (call));
      EXPECT_EQ (body_bytes == 100000, outcome.done);
      EXPECT_EQ (body_bytes == 100000, outcome.result.complete);
      if (!outcome.done)
        {
          EXPECT_EQ (BK_SENT_MAYBE, bk_cancel (call));
        }
      f.run_until ([] { return false; }, 20);
    }
}

/* Guards against a response that is dropped because its target closes the
   connection before it has read the whole body of the request.  */
TEST (Backend, DeliversAResponseToARequestThatIsOnlyPartlySent)
{
  for (int i = 0; i < 20; i++)
    {
      Fixture f;
      Outcome outcome;
      char bytes[1000];

      f.start (&outcome, "POST", 5000, std::string (8000000, 'x'));
      int fd = f.accept_one ();
      ASSERT_TRUE (
          f.run_until ([&] { return recv (fd, bytes, sizeof bytes, 0) > 0; }));
      send_text (fd, status_line
                         + "Content-Length: 2\r\nConnection: close\r\n\r\nok");
      f.close_fd (fd);
      ASSERT_TRUE (f.run_until ([&] { return outcome.done; }));
      EXPECT_EQ (BK_FAILURE_NONE, outcome.result.failure);
      EXPECT_EQ ("ok", outcome.body);
    }
}

/* Guards against a response without a length that is reported as complete
   although its connection was reset while the request was being sent.  */
TEST (Backend, ResetWhileSendingCompletesNoResponseWithoutLength)
{
  for (int i = 0; i < 20; i++)
    {
      Fixture f;
      Outcome outcome;
      char bytes[1000];

      f.start (&outcome, "POST", 5000, std::string (8000000, 'x'));
      int fd = f.accept_one ();
      ASSERT_TRUE (
          f.run_until ([&] { return recv (fd, bytes, sizeof bytes, 0) > 0; }));
      send_text (fd, status_line + "Connection: close\r\n\r\nok");
      f.close_fd (fd);
      ASSERT_TRUE (f.run_until ([&] { return outcome.done; }));
      EXPECT_EQ (BK_FAILURE_CLOSED, outcome.result.failure);
    }
}

/* Guards against a target whose connection is closed as that of a failed host
   because it reads the body of a request late.  */
TEST (Backend, WaitsForATargetThatReadsABodyLate)
{
  BkOptions options = {};
  options.unacked_timeout_ms = 300;
  Fixture f (options);
  Outcome outcome;
  std::string received;

  f.start (&outcome, "POST", 10000, std::string (8000000, 'x') + "body");
  int fd = f.accept_one ();
  f.run_until ([&] { return outcome.done; }, 3000);
  EXPECT_FALSE (outcome.done);
  EXPECT_GT (f.receive (fd).size (), 8000000u);
  send (fd, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", 40,
        MSG_NOSIGNAL);
  ASSERT_TRUE (f.run_until ([&] { return outcome.done; }));
  EXPECT_EQ (BK_FAILURE_NONE, outcome.result.failure);
  EXPECT_EQ ("ok", outcome.body);
}

/* Guards against a request that waits for its deadline at a target whose host
   has failed: it acknowledges nothing.  */
TEST (Backend, GivesUpATargetThatAcknowledgesNothing)
{
  for (size_t body_bytes : { (size_t)4, (size_t)8000000 })
    {
      BkOptions options = {};
      options.unacked_timeout_ms = 300;
      Fixture f (options);
      Outcome first, second;
      struct sock_filter drop_all = BPF_STMT (BPF_RET | BPF_K, 0);
      struct sock_fprog filter = { 1, &drop_all };
      int64_t start_us;

      f.start (&first);
      int fd = f.accept_one ();
      EXPECT_NE ("", f.receive (fd));
      send (fd, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", 40, 0);
      ASSERT_TRUE (f.run_until ([&] { return first.done; }));
      ASSERT_EQ (0, setsockopt (fd, SOL_SOCKET, SO_ATTACH_FILTER, &filter,
                                sizeof filter));
      start_us = bk_now_us ();
      f.start (&second, "POST", 5000, std::string (body_bytes, 'x'));
      ASSERT_TRUE (f.run_until ([&] { return second.done; }));
      EXPECT_GE (bk_now_us () - start_us, 290000);
      EXPECT_LT (bk_now_us () - start_us, 1000000);
      EXPECT_EQ (BK_FAILURE_CLOSED, second.result.failure);
      EXPECT_EQ (BK_SENT_MAYBE, second.result.sent);
      EXPECT_TRUE (second.result.reused);
    }
}

/* Guards against a reused connection whose idle time counts as time without an
   acknowledgement: a packet may be lost and sent again.  */
TEST (Backend, WaitsForAnAcknowledgementAfterAnIdleTime)
{
  BkOptions options = {};
  options.unacked_timeout_ms = 600;
  Fixture f (options);
  Outcome first, second;
  struct sock_filter drop_all = BPF_STMT (BPF_RET | BPF_K, 0);
  struct sock_fprog filter = { 1, &drop_all };
  int off = 0;

  f.start (&first);
  int fd = f.accept_one ();
  EXPECT_NE ("", f.receive (fd));
  send (fd, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", 40, 0);
  ASSERT_TRUE (f.run_until ([&] { return first.done; }));
  f.run_until ([] { return false; }, 800);
  ASSERT_EQ (0, setsockopt (fd, SOL_SOCKET, SO_ATTACH_FILTER, &filter,
                            sizeof filter));
  f.start (&second);
  f.run_until ([] { return false; }, 100);
  setsockopt (fd, SOL_SOCKET, SO_DETACH_FILTER, &off, sizeof off);
  EXPECT_NE ("", f.receive (fd));
  send (fd, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", 40,
        MSG_NOSIGNAL);
  ASSERT_TRUE (f.run_until ([&] { return second.done; }));
  EXPECT_EQ (BK_FAILURE_NONE, second.result.failure);
  EXPECT_TRUE (second.result.reused);
}

/* Guards against a connection that gets less than its time, since the timers
   of an event loop count from the start of its turn.  */
TEST (Backend, WaitsForAConnectionAfterALongTurn)
{
  BkOptions options = {};
  options.connect_timeout_ms = 100;
  Fixture f (options);
  Outcome outcome;
  struct timeval no_delay = {};
  struct Turn
  {
    Fixture *fixture;
    Outcome *outcome;
    int64_t start_us;
  } turn = { &f, &outcome, 0 };

  /* With a full backlog the target answers no further connection.  */
  listen (f.target.listener, 0);
  for (int i = 0; i < 4; i++)
    {
      struct sockaddr_in address = {};
      socklen_t length = sizeof address;
      int fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
      getsockname (f.target.listener, (struct sockaddr *)&address, &length);
      connect (fd, (struct sockaddr *)&address, sizeof address);
      f.fds.push_back (fd);
    }
  event_base_once (
      f.base, -1, EV_TIMEOUT,
      [] (evutil_socket_t, short, void *data) {
        Turn *turn = (Turn *)data;
        g_usleep (60000);
        turn->start_us = bk_now_us ();
        turn->fixture->start (turn->outcome, "GET");
      },
      &turn, &no_delay);
  ASSERT_TRUE (f.run_until ([&] { return outcome.done; }));
  EXPECT_GE (bk_now_us () - turn.start_us, 100000);
  EXPECT_LT (bk_now_us () - turn.start_us, 1000000);
  EXPECT_EQ (BK_FAILURE_CONNECT, outcome.result.failure);
}

/* Guards against a request that is reported as not sent although its
   connection was closed while it was being sent.  */
TEST (Backend, CloseWhileSendingIsSentMaybe)
{
  Fixture f;
  Outcome outcome;
  const std::string large (12000000, 'x');

  f.start (&outcome, "POST", 5000, large);
  int fd = f.accept_one ();
  char bytes[1000];
  EXPECT_TRUE (f.run_until ([&] { return recv (fd, bytes, 1000, 0) > 0; }));
  f.close_fd (fd);
  EXPECT_TRUE (f.run_until ([&] { return outcome.done; }));
  EXPECT_EQ (BK_FAILURE_CLOSED, outcome.result.failure);
  EXPECT_EQ (BK_SENT_MAYBE, outcome.result.sent);
}

/* Guards against giving the response of one request to another: the first one
   times out and its response arrives after the second one has started.  */
TEST (Backend, LateResponseIsNotGivenToNextRequest)
{
  Fixture f;
  Outcome first, second;

  f.start (&first, "POST", 50);
  int fd = f.accept_one ();
  f.receive (fd);
  ASSERT_TRUE (f.run_until ([&] { return first.done; }));
  EXPECT_EQ (BK_FAILURE_TIMEOUT, first.result.failure);
  f.start (&second);
  send (fd, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nold", 41,
        MSG_NOSIGNAL);
  int next = f.accept_one ();
  f.receive (next);
  send_text (next, status_line + "Content-Length: 3\r\n\r\nnew");
  ASSERT_TRUE (f.run_until ([&] { return second.done; }));
  EXPECT_EQ ("new", second.body);
  EXPECT_TRUE (f.is_closed (fd));
}

/* Guards against taking a late copy that has lost its id for the response to
   the next request, whose caller would get the response of another one.  */
TEST (Backend, DoesNotTakeALateCopyWithoutIdForTheNextResponse)
{
  BkOptions options = {};
  options.ids_required = TRUE;
  Fixture f (options);
  Outcome first, second;

  f.start_with_id (&first, "1");
  int fd = f.accept_one ();
  f.receive (fd);
  send_text (fd, status_line + "X-Id: 1\r\nContent-Length: 3\r\n\r\nold");
  ASSERT_TRUE (f.run_until ([&] { return first.done; }));
  EXPECT_EQ ("old", first.body);
  f.start_with_id (&second, "2");
  f.receive (fd);
  send_text (fd, status_line + "Content-Length: 3\r\n\r\nold");
  ASSERT_TRUE (f.run_until ([&] { return second.done; }));
  EXPECT_EQ (BK_FAILURE_MALFORMED, second.result.failure);
  EXPECT_EQ (BK_SENT_MAYBE, second.result.sent);
  EXPECT_TRUE (f.is_closed (fd));
}

/* Guards against keeping a connection whose first response has lost its id: a
   copy of it could come where the next one is due.  */
TEST (Backend, ClosesAConnectionAfterAResponseWithoutId)
{
  BkOptions options = {};
  options.ids_required = TRUE;
  Fixture f (options);
  Outcome first;

  f.start_with_id (&first, "1");
  int fd = f.accept_one ();
  f.receive (fd);
  send_text (fd, status_line + "Content-Length: 3\r\n\r\nnew");
  ASSERT_TRUE (f.run_until ([&] { return first.done; }));
  EXPECT_EQ ("new", first.body);
  EXPECT_TRUE (f.is_closed (fd));
}

/* Guards against refusing the responses of targets that echo no ids.  */
TEST (Backend, TakesResponsesOfATargetThatEchoesNoIds)
{
  Fixture f;
  Outcome first, second;

  f.start_with_id (&first, "1");
  int fd = f.accept_one ();
  f.receive (fd);
  send_text (fd, status_line + "Content-Length: 3\r\n\r\nold");
  ASSERT_TRUE (f.run_until ([&] { return first.done; }));
  f.start_with_id (&second, "2");
  f.receive (fd);
  send_text (fd, status_line + "Content-Length: 3\r\n\r\nnew");
  ASSERT_TRUE (f.run_until ([&] { return second.done; }));
  EXPECT_EQ ("new", second.body);
}

/* Guards against taking a late copy of the response to an earlier send of a
   request for the response to its next one: both have the request's id, so the
   two must not share a connection, which is kept for other requests.  */
TEST (Backend, SendsARequestOnceOverAConnection)
{
  Fixture f;
  BkSends sends = {};
  Outcome refused, again, other;

  f.start (&refused, "POST", 5000, "body", &sends);
  int first = f.accept_one ();
  f.receive (first);
  send_text (first, status_line + "Content-Length: 3\r\n\r\nold");
  ASSERT_TRUE (f.run_until ([&] { return refused.done; }));
  f.start (&again, "POST", 5000, "body", &sends);
  int second = f.accept_one ();
  f.receive (second);
  f.start (&other);
  EXPECT_NE (f.receive (first).find ("POST"), std::string::npos);
  send_text (first, status_line + "Content-Length: 5\r\n\r\nother");
  send_text (second, status_line + "Content-Length: 3\r\n\r\nnew");
  ASSERT_TRUE (f.run_until ([&] { return again.done && other.done; }));
  EXPECT_EQ ("new", again.body);
  EXPECT_EQ ("other", other.body);
  EXPECT_NE (refused.result.connection, again.result.connection);
  EXPECT_EQ (refused.result.connection, other.result.connection);
  EXPECT_EQ (2u, sends.count);
}

/* Guards against a request that waits until its deadline for a connection,
   since all that there may be are idle and have carried it.  */
TEST (Backend, ReplacesAConnectionThatCarriedTheRequest)
{
  BkOptions options = {};
  options.connections_max = 1;
  Fixture f (options);
  BkSends sends = {};

  for (uint32_t i = 1; i <= BK_SENDS_MAX + 2; i++)
    {
      Outcome outcome;
      f.start (&outcome, "POST", 1000, "body", &sends);
      int fd = f.accept_one ();
      f.receive (fd);
      send_text (fd, status_line + "Content-Length: 0\r\n\r\n");
      ASSERT_TRUE (f.run_until ([&] { return outcome.done; })) << i;
      EXPECT_TRUE (outcome.result.complete) << i;
      EXPECT_FALSE (outcome.result.reused) << i;
      EXPECT_EQ (i, outcome.result.connection);
      EXPECT_EQ (1u, bk_connection_count (f.pool, f.target.address.c_str ()));
    }
  EXPECT_EQ ((uint32_t)BK_SENDS_MAX, sends.count);
}

/* Guards against targets that send bodies without end, several at a time,
   until the daemon has no memory left, and against a sound response that is
   given up with them.  */
TEST (Backend, BoundsBodiesWithoutEnd)
{
  static const char *const heads[]
      = { "Connection: close\r\n\r\n", "Content-Length: 15000000\r\n\r\n" };
  BkOptions options = {};
  options.connections_max = 5;
  options.buffered_max_bytes = 4 * 1024 * 1024;
  Fixture f (options);
  Outcome endless[4], sound;
  std::vector<int> fds;
  const std::string filler (65536, 'x');

  for (int i = 0; i < 4; i++)
    {
      f.start (&endless[i]);
      fds.push_back (f.accept_one ());
      f.receive (fds[i]);
      send_text (fds[i], status_line + heads[i % 2]);
    }
  f.start (&sound);
  int sound_fd = f.accept_one ();
  f.receive (sound_fd);
  send_text (sound_fd, status_line + "Content-Length: 4000\r\n\r\n"
                           + std::string (2000, 'y'));
  EXPECT_TRUE (f.run_until ([&] {
    for (int fd : fds)
      send (fd, filler.data (), filler.size (), MSG_NOSIGNAL);
    return endless[0].done && endless[1].done && endless[2].done
           && endless[3].done;
  }));
  for (const Outcome &outcome : endless)
    {
      EXPECT_EQ (BK_FAILURE_TOO_LARGE, outcome.result.failure);
      EXPECT_FALSE (outcome.result.complete);
    }
  EXPECT_FALSE (sound.done);
  send_text (sound_fd, std::string (2000, 'y'));
  ASSERT_TRUE (f.run_until ([&] { return sound.done; }));
  EXPECT_EQ (4000u, sound.body.size ());
  for (int fd : fds)
    EXPECT_TRUE (f.is_closed (fd));
}

/* Guards against responses that together take more memory than there is, and
   against giving one up that only has to wait for room.  */
TEST (Backend, ReadsALargeBodyOnceThereIsRoom)
{
  const size_t large = 300000;
  BkOptions options = {};
  options.buffered_max_bytes = large + 1000;
  Fixture f (options);
  Outcome first, second, small;
  const std::string head
      = status_line + "Content-Length: " + std::to_string (large) + "\r\n\r\n";

  f.start (&first);
  int first_fd = f.accept_one ();
  f.receive (first_fd);
  send_text (first_fd, head + std::string (100000, 'x'));
  f.run_until ([] { return false; }, 20);
  f.start (&second);
  int second_fd = f.accept_one ();
  f.receive (second_fd);
  send_text (second_fd, head + std::string (large, 'y'));
  f.start (&small);
  int small_fd = f.accept_one ();
  f.receive (small_fd);
  send_text (small_fd, status_line + "Content-Length: 5\r\n\r\nsmall");
  ASSERT_TRUE (f.run_until ([&] { return small.done; }));
  EXPECT_FALSE (f.run_until ([&] { return second.done; }, 100));
  send_text (first_fd, std::string (large - 100000, 'x'));
  ASSERT_TRUE (f.run_until ([&] { return first.done && second.done; }));
  EXPECT_EQ (std::string (large, 'x'), first.body);
  EXPECT_EQ (std::string (large, 'y'), second.body);
}

/* Guards against a response that waits for room for longer than its deadline,
   and against one that is forgotten when it is cancelled meanwhile.  */
TEST (Backend, EndsCallsThatWaitForRoom)
{
  BkOptions options = {};
  options.buffered_max_bytes = 200000;
  Fixture f (options);
  Outcome holder, late, cancelled;
  const std::string head = status_line + "Content-Length: 150000\r\n\r\n";

  f.start (&holder);
  int holder_fd = f.accept_one ();
  f.receive (holder_fd);
  send_text (holder_fd, head);
  f.run_until ([] { return false; }, 20);
  f.start (&late, "POST", 300);
  int late_fd = f.accept_one ();
  f.receive (late_fd);
  send_text (late_fd, head);
  BkCall *call = f.start (&cancelled);
  int cancelled_fd = f.accept_one ();
  f.receive (cancelled_fd);
  send_text (cancelled_fd, head);
  ASSERT_TRUE (f.run_until ([&] { return late.done; }));
  EXPECT_EQ (BK_FAILURE_TIMEOUT, late.result.failure);
  EXPECT_EQ (BK_SENT_MAYBE, bk_cancel (call));
  send_text (holder_fd, std::string (150000, 'x'));
  ASSERT_TRUE (f.run_until ([&] { return holder.done; }));
  EXPECT_TRUE (holder.result.complete);
}

/* Guards against responses that wait for room on all connections to a target,
   which then gets no other request.  */
TEST (Backend, FewResponsesOfATargetWaitForRoom)
{
  BkOptions options = {};
  options.buffered_max_bytes = 200000;
  options.connections_max = 6;
  Fixture f (options);
  Outcome outcomes[4];
  const std::string body = "body";
  const std::string head = status_line + "Content-Length: 150000\r\n\r\n";
  int waiting_count = 0;

  for (Outcome &outcome : outcomes)
    {
      BkRequest request = f.make_request (&outcome, "POST", 5000, body);
      request.on_waiting
          = [] (void *data) { ((Outcome *)data)->is_waiting = true; };
      bk_request (f.pool, &request);
      int fd = f.accept_one ();
      f.receive (fd);
      send_text (fd, head);
      f.run_until ([] { return false; }, 20);
    }
  for (const Outcome &outcome : outcomes)
    waiting_count += outcome.is_waiting;
  EXPECT_EQ (2, waiting_count);
  ASSERT_TRUE (outcomes[3].done);
  EXPECT_EQ (BK_FAILURE_MEMORY, outcomes[3].result.failure);
  EXPECT_EQ (1u, bk_counters (f.pool)->no_room_count);
  EXPECT_EQ (BK_SENT_MAYBE, outcomes[3].result.sent);
  EXPECT_FALSE (outcomes[0].done || outcomes[1].done || outcomes[2].done);
}

/* Guards against a body that is copied, or sent with bytes missing, when the
   socket takes it in parts.  */
TEST (Backend, SendsABodyThatTheUserKeeps)
{
  Fixture f;
  Outcome outcome;
  std::string body;
  for (int i = 0; i < 2000000; i++)
    body += (char)('a' + i % 23);
  BkRequest request = f.make_request (&outcome, "POST", 5000, body);
  request.keeps_body = TRUE;
  std::string received;

  bk_request (f.pool, &request);
  int fd = f.accept_one ();
  ASSERT_TRUE (f.run_until ([&] {
    char bytes[65536];
    ssize_t length = recv (fd, bytes, sizeof bytes, 0);
    if (length > 0)
      received.append (bytes, (size_t)length);
    return received.size () > body.size ();
  }));
  EXPECT_NE (received.npos, received.find ("Content-Length: 2000000\r\n"));
  ASSERT_TRUE (f.run_until ([&] {
    char bytes[65536];
    ssize_t length = recv (fd, bytes, sizeof bytes, 0);
    if (length > 0)
      received.append (bytes, (size_t)length);
    return received.size () - received.find ("\r\n\r\n") - 4 == body.size ();
  }));
  EXPECT_EQ (body, received.substr (received.find ("\r\n\r\n") + 4));
  send_text (fd, status_line + "Content-Length: 2\r\n\r\nok");
  ASSERT_TRUE (f.run_until ([&] { return outcome.done; }));
  EXPECT_EQ ("ok", outcome.body);
}

/* Guards against bytes without end in the parts of a response that are not its
   head or body: chunks of one byte, trailers, interim and late responses.  */
TEST (Backend, BoundsOtherBytesWithoutEnd)
{
  static const struct
  {
    const char *name;
    std::string start, repeated;
    BkFailure failure;
  } cases[] = {
    { "chunks", status_line + "Transfer-Encoding: chunked\r\n\r\n",
      "1\r\nx\r\n", BK_FAILURE_TOO_LARGE },
    { "trailers", status_line + "Transfer-Encoding: chunked\r\n\r\n0\r\n",
      "X-Filler: filler\r\n", BK_FAILURE_MALFORMED },
    { "chunk size", status_line + "Transfer-Encoding: chunked\r\n\r\n", "0",
      BK_FAILURE_MALFORMED },
    { "interim", "", "HTTP/1.1 100 Continue\r\n\r\n", BK_FAILURE_MALFORMED },
    { "late", "", status_line + "X-Id: other\r\nContent-Length: 2\r\n\r\nxx",
      BK_FAILURE_MALFORMED },
    { "late body",
      status_line + "X-Id: other\r\nTransfer-Encoding: chunked\r\n\r\n",
      "4\r\nxxxx\r\n", BK_FAILURE_TOO_LARGE },
  };
  for (const auto &c : cases)
    {
      BkOptions options = {};
      options.response_max_bytes = 256 * 1024;
      Fixture f (options);
      Outcome outcome;
      std::string filler;
      f.start_with_id (&outcome, "mine");
      int fd = f.accept_one ();
      f.receive (fd);
      send_text (fd, c.start);
      while (filler.size () < 65536)
        filler += c.repeated;
      /* Parts of FILLER that the socket does not take must not be skipped.  */
      size_t at = 0;
      EXPECT_TRUE (f.run_until ([&] {
        ssize_t sent = send (fd, filler.data () + at, filler.size () - at,
                             MSG_NOSIGNAL);
        at = sent > 0 ? (at + (size_t)sent) % filler.size () : at;
        return outcome.done;
      })) << c.name;
      EXPECT_EQ (c.failure, outcome.result.failure) << c.name;
      EXPECT_TRUE (f.is_closed (fd)) << c.name;
    }
}

/* Guards against a head without end.  */
TEST (Backend, BoundsAHeadWithoutEnd)
{
  Fixture f;
  Outcome outcome;
  f.start (&outcome);
  int fd = f.accept_one ();
  f.receive (fd);
  send_text (fd, status_line);
  EXPECT_TRUE (f.run_until ([&] {
    send (fd, "X-Filler: x\r\n", 13, MSG_NOSIGNAL);
    return outcome.done;
  }));
  EXPECT_EQ (BK_FAILURE_MALFORMED, outcome.result.failure);
  EXPECT_TRUE (f.is_closed (fd));
}

/* Guards against a request that is sent twice, or lost, because an idle
   connection was closed or has unread bytes.  */
TEST (Backend, ReusesOnlyUsableConnections)
{
  for (const char *state : { "quiet", "unread", "closed" })
    {
      Fixture f;
      Outcome first, second;
      f.start (&first);
      int fd = f.accept_one ();
      f.receive (fd);
      send_text (fd, status_line + "Content-Length: 0\r\n\r\n");
      ASSERT_TRUE (f.run_until ([&] { return first.done; }));
      if (*state == 'u')
        send_text (fd, status_line + "Content-Length: 3\r\n\r\nold");
      if (*state == 'c')
        f.close_fd (fd);
      f.start (&second);
      if (*state != 'q')
        fd = f.accept_one ();
      EXPECT_EQ (std::string::npos, f.receive (fd).find ("bodyPOST"));
      send_text (fd, status_line + "Content-Length: 3\r\n\r\nnew");
      ASSERT_TRUE (f.run_until ([&] { return second.done; }));
      EXPECT_EQ ("new", second.body) << state;
      EXPECT_EQ (*state == 'q', (bool)second.result.reused);
    }
}

/* Guards against a request that is reported as not sent when the target closes
   a reused connection instead of responding, which would let an order run
   twice.  */
TEST (Backend, CloseOfReusedConnectionIsSentMaybe)
{
  Fixture f;
  Outcome first, second;

  f.start (&first);
  int fd = f.accept_one ();
  f.receive (fd);
  send_text (fd, status_line + "Content-Length: 0\r\n\r\n");
  ASSERT_TRUE (f.run_until ([&] { return first.done; }));
  f.start (&second);
  f.receive (fd);
  f.close_fd (fd);
  ASSERT_TRUE (f.run_until ([&] { return second.done; }));
  EXPECT_TRUE (second.result.reused);
  EXPECT_EQ (BK_FAILURE_CLOSED, second.result.failure);
  EXPECT_EQ (BK_SENT_MAYBE, second.result.sent);
}

/* Guards against a target that keeps working on a cancelled call, a waiting
   call that is never started, and idle connections that stay open.  */
TEST (Backend, CancelsCallsAndClosesIdleConnections)
{
  BkOptions options = {};
  options.connections_max = 1;
  options.idle_timeout_ms = 100;
  Fixture f (options);
  Outcome first, second, third;

  BkCall *call = f.start (&first);
  f.start (&second);
  BkCall *unsent = f.start (&third);
  int fd = f.accept_one ();
  f.receive (fd);
  EXPECT_EQ (BK_SENT_NONE, bk_cancel (unsent));
  EXPECT_EQ (BK_SENT_MAYBE, bk_cancel (call));
  EXPECT_TRUE (f.is_closed (fd));
  fd = f.accept_one ();
  f.receive (fd);
  send_text (fd, status_line + "Content-Length: 0\r\n\r\n");
  EXPECT_TRUE (f.run_until ([&] { return second.done; }));
  EXPECT_FALSE (f.is_closed (fd, 40));
  EXPECT_TRUE (f.is_closed (fd));
  EXPECT_FALSE (first.done || third.done);
}

/* Guards against waiting for the body that a response to HEAD announces.  */
TEST (Backend, ResponseToHeadHasNoBody)
{
  Fixture f;
  Outcome outcome;

  f.start (&outcome, "HEAD");
  int fd = f.accept_one ();
  f.receive (fd);
  send_text (fd, status_line + "Content-Length: 1000\r\n\r\n");
  ASSERT_TRUE (f.run_until ([&] { return outcome.done; }));
  EXPECT_TRUE (outcome.result.complete);
  EXPECT_EQ (0u, outcome.result.body_bytes);
}

/* Responds to each request with its 4-byte body, or at random with a fault: a
   truncated, duplicate or delayed response or a closed connection.  */
struct FaultyTarget
{
  Fixture f;
  std::mt19937 random;
  std::map<int, std::string> input; /* received, by socket */
  /* Delayed responses and their sockets; "" closes the connection.  */
  std::vector<std::pair<int, std::string> > delayed;
  std::map<std::string, int> request_counts; /* by request body */

  FaultyTarget (unsigned seed) : random (seed) {}
  int
  random_below (int limit)
  {
    return (int)(random () % (unsigned)limit);
  }

  void
  respond (int fd, const std::string &id)
  {
    std::string response = status_line + "Content-Length: 4\r\n\r\n" + id;
    switch (random_below (8))
      {
      case 0:
        response = response.substr (
            0, (size_t)random_below ((int)response.size ()));
        break;
      case 1:
        response += response;
        break;
      case 2:
        delayed.push_back ({ fd, response });
        return;
      case 3:
        delayed.push_back ({ fd, "" });
        break;
      }
    send (fd, response.data (), response.size (), MSG_NOSIGNAL);
  }
  /* Accepts at most one connection, responds to the complete requests and at
     random sends one delayed response.  */
  void
  serve ()
  {
    char bytes[4096];
    ssize_t length;
    int fd = accept4 (f.target.listener, NULL, NULL, SOCK_NONBLOCK);
    if (fd >= 0)
      f.fds.push_back (fd);
    for (int accepted_fd : f.fds)
      while (accepted_fd >= 0
             && (length = recv (accepted_fd, bytes, 4096, 0)) > 0)
        input[accepted_fd].append (bytes, (size_t)length);
    for (auto &[from, text] : input)
      {
        size_t end = text.find ("\r\n\r\n");
        if (end == text.npos || text.size () < end + 8)
          continue;
        EXPECT_EQ (end + 8, text.size ()) << "pipelined";
        std::string id = text.substr (end + 4);
        text.clear ();
        request_counts[id]++;
        respond (from, id);
      }
    if (!delayed.empty () && random_below (3) == 0)
      {
        auto [to, text] = delayed[0];
        delayed.erase (delayed.begin ());
        if (text.empty ())
          shutdown (to, SHUT_RDWR);
        else
          send (to, text.data (), text.size (), MSG_NOSIGNAL);
      }
  }
};

/* Guards against responses that are given to other requests, requests that are
   sent twice, and calls that never end.  */
TEST (Backend, FaultyTargetNeverMixesUpResponses)
{
  for (unsigned seed = 1; seed <= 20; seed++)
    {
      FaultyTarget faulty (seed);
      std::vector<Outcome> outcomes (150);
      std::vector<BkCall *> calls (150);
      for (int i = 0; i < 150; i++)
        {
          calls[i] = faulty.f.start (&outcomes[i], "POST",
                                     1 + faulty.random_below (30),
                                     std::to_string (1000 + i));
          if (i > 3 && faulty.random_below (10) == 0 && !outcomes[i - 1].done)
            {
              bk_cancel (calls[i - 1]);
              outcomes[i - 1].done = true;
            }
          for (int k = faulty.random_below (5); k > 0; k--)
            {
              faulty.serve ();
              event_base_loop (faulty.f.base, EVLOOP_NONBLOCK);
            }
        }
      ASSERT_TRUE (faulty.f.run_until ([&] {
        faulty.serve ();
        for (Outcome &outcome : outcomes)
          if (!outcome.done)
            return false;
        return true;
      })) << "seed "
          << seed;
      for (int i = 0; i < 150; i++)
        {
          std::string id = std::to_string (1000 + i);
          const BkResult &result = outcomes[i].result;
          EXPECT_LE (faulty.request_counts[id], 1) << "seed " << seed;
          EXPECT_TRUE (!result.complete || outcomes[i].body == id)
              << "seed " << seed;
          EXPECT_TRUE (result.failure == BK_FAILURE_NONE
                       || result.sent == BK_SENT_MAYBE
                       || faulty.request_counts[id] == 0)
              << "seed " << seed;
        }
    }
}

}
