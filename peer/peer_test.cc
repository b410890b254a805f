#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <event2/event.h>
#include <sys/socket.h>
#include <unistd.h>

#include <functional>
#include <string>
#include <vector>

extern "C"
{
#include "clock/clock.h"
#include "peer/peer.h"
}

namespace
{

uint16_t
free_port ()
{
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  sockaddr_in address = {};
  socklen_t length = sizeof address;

  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  EXPECT_EQ (0, bind (fd, (sockaddr *)&address, length));
  EXPECT_EQ (0, getsockname (fd, (sockaddr *)&address, &length));
  close (fd);
  return ntohs (address.sin_port);
}

/* A daemon's PrNet, which replies to each message.  */
struct Node
{
  event_base *base;
  EvRing *ring;
  MtRegistry *metrics;
  PrNet *net;
  uint16_t port;
  bool sends_replies = true;
  bool stops_loop = false; /* at the first message */
  int received_count = 0;
  std::vector<std::string> replies;
  std::vector<int64_t> sent_us;
  std::string last_detail; /* of the events that were counted */

  Node (event_base *b, const char *vm, PrOptions options = {})
      : base (b), port (free_port ())
  {
    EvOptions ring_options = {};
    ring_options.vm = vm;
    ring_options.capacity_count = 64;
    ring = ev_ring_new (&ring_options);
    metrics = mt_registry_new ();
    options.base = base;
    options.vm = vm;
    options.incarnation = 1;
    options.listen_address = "127.0.0.1";
    options.listen_port = port;
    options.ring = ring;
    options.metrics = metrics;
    options.on_message = on_message;
    options.data = this;
    net = pr_net_new (&options, NULL);
    EXPECT_NE (nullptr, net);
  }

  ~Node ()
  {
    pr_net_free (net);
    mt_registry_free (metrics);
    ev_ring_free (ring);
  }

  int
  count_events (EvNumber number)
  {
    int count = 0;

    for (guint i = 0; i < ev_ring_count (ring); i++)
      if (ev_ring_at (ring, i)->number == number)
        {
          last_detail = ev_ring_at (ring, i)->detail;
          count++;
        }
    return count;
  }

  static void
  on_message (PrConnection *connection, const Peer__Envelope *envelope,
              void *data)
  {
    Node *node = static_cast<Node *> (data);
    Peer__Envelope reply = PEER__ENVELOPE__INIT;
    Peer__PromiseReply body = PEER__PROMISE_REPLY__INIT;

    node->received_count++;
    if (node->stops_loop)
      event_base_loopbreak (node->base);
    if (!node->sends_replies)
      return;
    body.granted = 1;
    reply.body_case = PEER__ENVELOPE__BODY_PROMISE_REPLY;
    reply.promise_reply = &body;
    pr_reply (connection, envelope->id, &reply);
  }

  static void
  on_reply (const char *vm, const Peer__Envelope *envelope, int64_t sent_us,
            void *data)
  {
    Node *node = static_cast<Node *> (data);
    node->replies.push_back (envelope == NULL ? "none"
                                              : std::string (vm) + ":"
                                                    + wr_body_name (envelope));
    node->sent_us.push_back (sent_us);
  }

  void
  send_request (const char *vm, uint32_t timeout_ms)
  {
    Peer__Envelope envelope = PEER__ENVELOPE__INIT;
    Peer__PromiseRequest body = PEER__PROMISE_REQUEST__INIT;

    envelope.body_case = PEER__ENVELOPE__BODY_PROMISE_REQUEST;
    envelope.promise_request = &body;
    pr_request (net, vm, &envelope, timeout_ms, on_reply, this);
  }
};

template <class Condition>
void
run_until (event_base *base, Condition condition)
{
  int64_t end_us = ck_boot_us () + 5 * CK_US_PER_S;
  while (!condition () && ck_boot_us () < end_us)
    {
      timeval tick = { 0, 5000 };
      event_base_loopexit (base, &tick);
      event_base_dispatch (base);
    }
  EXPECT_TRUE (condition ());
}

class Peer : public testing::Test
{
protected:
  event_base *base = event_base_new ();
  ~Peer () { pr_event_base_free (base); }
};

/* Guards against leaking the memory of a connection that has a callback queued
   when the event loop ends; the leak checker then fails the program.  */
TEST_F (Peer, FreesAConnectionWithAQueuedCallback)
{
  event_base *senders = event_base_new ();
  Node a (senders, "vm1"), c (senders, "vm3");
  {
    Node b (base, "vm2");

    b.stops_loop = true;
    for (Node *node : { &a, &c })
      {
        pr_set_address (node->net, "vm2", "127.0.0.1", b.port);
        node->send_request ("vm2", 1000);
      }
    for (int i = 0; i < 10; i++)
      {
        event_base_loop (senders, EVLOOP_NONBLOCK);
        usleep (2000);
      }
    while (b.received_count == 0)
      event_base_loop (base, EVLOOP_ONCE);
  }
  pr_net_free (a.net);
  pr_net_free (c.net);
  a.net = c.net = nullptr;
  pr_event_base_free (senders);
}

/* Guards against a reply that is matched with the wrong request, and against a
   sent time that is taken after the reply has arrived.  */
TEST_F (Peer, RepliesArriveOnce)
{
  Node a (base, "vm1"), b (base, "vm2");
  int64_t before_us = ck_boot_us ();

  pr_set_address (a.net, "vm2", "127.0.0.1", b.port);
  a.send_request ("vm2", 1000);
  int64_t after_us = ck_boot_us ();
  a.send_request ("vm2", 1000);
  run_until (base, [&] { return a.replies.size () == 2; });
  EXPECT_EQ ("vm2:promise_reply", a.replies[0]);
  EXPECT_EQ (2, b.received_count);
  EXPECT_LE (before_us, a.sent_us[0]);
  EXPECT_GE (after_us, a.sent_us[0]);
}

/* Guards against a request that waits forever when its peer hangs, and against
   a connection that stays in use after a network partition.  */
TEST_F (Peer, UnresponsivePeerFailsRequestsAndIsDialledAgain)
{
  Node a (base, "vm1"), b (base, "vm2");

  b.sends_replies = false;
  pr_set_address (a.net, "vm2", "127.0.0.1", b.port);
  a.send_request ("vm2", 50);
  a.send_request ("vm2", 60);
  run_until (base, [&] { return a.replies.size () == 2; });
  EXPECT_EQ ("none", a.replies[1]);
  b.sends_replies = true;
  run_until (base, [&] {
    if (a.replies.back () == "none")
      a.send_request ("vm2", 1000);
    return a.replies.back () != "none";
  });
}

/* Calls FUNCTION at the start of a turn of the loop.  */
void
run_in_loop (event_base *base, std::function<void ()> function)
{
  struct timeval no_delay = {};

  event_base_once (
      base, -1, EV_TIMEOUT,
      [] (evutil_socket_t, short, void *data) {
        auto *called = static_cast<std::function<void ()> *> (data);
        (*called) ();
        delete called;
      },
      new std::function<void ()> (function), &no_delay);
}

/* Guards against a reply that counts as lost although it waits in the socket
   of a daemon that was paused past the timeout.  */
TEST_F (Peer, ReplyThatArrivedDuringAPauseCounts)
{
  event_base *other = event_base_new ();
  {
    Node a (base, "vm1"), b (other, "vm2");

    pr_set_address (a.net, "vm2", "127.0.0.1", b.port);
    a.send_request ("vm2", 1000);
    for (int i = 0; i < 200 && a.replies.empty (); i++)
      {
        event_base_loop (base, EVLOOP_NONBLOCK);
        event_base_loop (other, EVLOOP_NONBLOCK);
        usleep (2000);
      }
    ASSERT_EQ (1u, a.replies.size ());
    for (int i = 0; i < 400; i++)
      a.send_request ("vm2", 100);
    event_base_loop (base, EVLOOP_NONBLOCK);
    event_base_loop (base, EVLOOP_NONBLOCK);
    for (int i = 0; i < 80; i++)
      {
        event_base_loop (other, EVLOOP_NONBLOCK);
        usleep (2000);
      }
    EXPECT_EQ (401, b.received_count);
    run_until (base, [&] { return a.replies.size () == 401; });
    for (size_t i = 0; i < a.replies.size (); i++)
      ASSERT_EQ ("vm2:promise_reply", a.replies[i]) << i;
    EXPECT_EQ (0, a.count_events (EV_PEER_LOST));
  }
  pr_event_base_free (other);
}

/* Guards against a request that is given up before its timeout: the timers of
   an event loop count from the start of its turn, which may have been long. */
TEST_F (Peer, WaitsForTheWholeTimeoutAfterALongTurn)
{
  Node a (base, "vm1"), b (base, "vm2");
  int64_t due_us = 0;

  b.sends_replies = false;
  pr_set_address (a.net, "vm2", "127.0.0.1", b.port);
  run_in_loop (base, [&] {
    usleep (60000);
    due_us = ck_boot_us () + 100 * CK_US_PER_MS;
    a.send_request ("vm2", 100);
  });
  run_until (base, [&] { return a.replies.size () == 1; });
  EXPECT_GE (ck_boot_us (), due_us);
}

/* Sends requests from A to vm2 every 20 ms for DURATION_MS.  */
void
send_requests (event_base *base, Node *a, int duration_ms, uint32_t timeout_ms)
{
  int64_t end_us = ck_boot_us () + (int64_t)duration_ms * CK_US_PER_MS;

  while (ck_boot_us () < end_us)
    {
      timeval tick = { 0, 20000 };

      a->send_request ("vm2", timeout_ms);
      event_base_loopexit (base, &tick);
      event_base_dispatch (base);
    }
}

/* Guards against closing the connection with a peer that doesn't run for half
   a second: its requests and messages are then lost for longer than that.  */
TEST_F (Peer, ShortPauseOfAPeerKeepsTheConnection)
{
  Node a (base, "vm1"), b (base, "vm2");

  b.sends_replies = false;
  pr_set_address (a.net, "vm2", "127.0.0.1", b.port);
  a.send_request ("vm2", 2000);
  send_requests (base, &a, 600, 100);
  EXPECT_EQ (0, a.count_events (EV_PEER_LOST) + b.count_events (EV_PEER_LOST));
  b.sends_replies = true;
  send_requests (base, &a, 600, 100);
  EXPECT_EQ ("vm2:promise_reply", a.replies.back ());
  EXPECT_EQ (0, a.count_events (EV_PEER_LOST) + b.count_events (EV_PEER_LOST));
}

/* Guards against a connection that stays in use although its peer has sent
   nothing for seconds, as after a network partition.  */
TEST_F (Peer, SilentPeerIsDialledAgain)
{
  Node a (base, "vm1"), b (base, "vm2");

  pr_set_address (a.net, "vm2", "127.0.0.1", b.port);
  a.send_request ("vm2", 1000);
  run_until (base, [&] { return a.replies.size () == 1; });
  b.sends_replies = false;
  send_requests (base, &a, PR_SILENCE_MAX_US / 1000 + 300, 100);
  EXPECT_EQ (1, a.count_events (EV_PEER_LOST));
  EXPECT_NE (std::string::npos, a.last_detail.find ("requests not answered"))
      << a.last_detail;
  b.sends_replies = true;
  send_requests (base, &a, 1000, 100);
  EXPECT_EQ ("vm2:promise_reply", a.replies.back ());
  EXPECT_EQ (2, a.count_events (EV_PEER_CONNECTED));
}

/* Guards against a daemon that was paused itself and then closes a connection
   for lack of replies to requests that it hadn't sent yet.  */
TEST_F (Peer, OwnPauseIsNoSilenceOfThePeer)
{
  Node a (base, "vm1"), b (base, "vm2");

  pr_set_address (a.net, "vm2", "127.0.0.1", b.port);
  a.send_request ("vm2", 1000);
  run_until (base, [&] { return a.replies.size () == 1; });
  run_in_loop (base, [&] {
    for (int i = 0; i < 2; i++)
      a.send_request ("vm2", 100);
    usleep (2000000);
  });
  run_until (base, [&] { return a.replies.size () == 3; });
  send_requests (base, &a, 200, 1000);
  EXPECT_EQ ("vm2:promise_reply", a.replies.back ());
  EXPECT_EQ (0, a.count_events (EV_PEER_LOST) + b.count_events (EV_PEER_LOST));
}

/* Guards against an event of a lost connection that doesn't tell whether it
   was closed here, by the peer or for lack of replies.  */
TEST_F (Peer, LostConnectionTellsItsReason)
{
  Node a (base, "vm1"), b (base, "vm2");

  pr_set_address (a.net, "vm2", "127.0.0.1", b.port);
  a.send_request ("vm2", 1000);
  run_until (base, [&] { return a.replies.size () == 1; });
  pr_net_free (b.net);
  b.net = NULL;
  run_until (base, [&] { return a.count_events (EV_PEER_LOST) == 1; });
  EXPECT_NE (std::string::npos,
             a.last_detail.find ("vm2: closed by the peer, last message "))
      << a.last_detail;
}

/* Guards against a malformed frame being passed to a handler or ignored
   without being counted.  */
TEST_F (Peer, MalformedFrameClosesTheConnection)
{
  Node a (base, "vm1");
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  sockaddr_in address = {};
  const uint8_t bytes[] = { 0, 0, 0, 3, 0xff, 0xff, 0xff };
  MtCounter *invalid = mt_counter (a.metrics, "peer_invalid_frames_total", "");

  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  address.sin_port = htons (a.port);
  ASSERT_EQ (0, connect (fd, (sockaddr *)&address, sizeof address));
  ASSERT_EQ ((ssize_t)sizeof bytes, write (fd, bytes, sizeof bytes));
  run_until (base, [&] { return mt_value (invalid) == 1; });
  EXPECT_EQ (0, a.received_count);
  char byte;
  EXPECT_EQ (0, read (fd, &byte, 1));
  close (fd);
}

/* Guards against connections of no peer that take all files or all memory, and
   keep peers out.  */
TEST_F (Peer, IdleConnectionsMakeRoomForPeers)
{
  PrOptions options = {};
  options.accepted_max = 4;
  options.accepted_bytes = 64 * 1024;
  Node a (base, "vm1", options), b (base, "vm2");
  std::vector<int> fds;
  sockaddr_in address = {};
  /* The length of a frame, and a part of it.  */
  std::string part = std::string ("\0\1\0\0", 4) + std::string (30000, 'x');
  auto count_open = [&] {
    int count = 0;
    char byte;
    for (int fd : fds)
      count += recv (fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0
               && errno == EAGAIN;
    return count;
  };

  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  address.sin_port = htons (a.port);
  for (int i = 0; i < 8; i++)
    {
      fds.push_back (socket (AF_INET, SOCK_STREAM, 0));
      ASSERT_EQ (0,
                 connect (fds.back (), (sockaddr *)&address, sizeof address));
      (void)!send (fds.back (), part.data (), part.size (), MSG_NOSIGNAL);
    }
  run_until (base, [&] { return count_open () <= 4; });
  run_until (base, [&] {
    return pr_accepted_counters (a.net)->used_bytes <= options.accepted_bytes;
  });
  usleep (2 * MM_HOLDER_TURN_US);
  pr_set_address (b.net, "vm1", "127.0.0.1", a.port);
  b.send_request ("vm1", 2000);
  run_until (base, [&] { return b.replies.size () == 1; });
  EXPECT_EQ ("vm1:promise_reply", b.replies[0]);
  EXPECT_LE (pr_accepted_counters (a.net)->count, 4u);
  for (int fd : fds)
    close (fd);
}

/* Guards against two processes of one VM that run at the same time: a new
   process takes over the VM's lease record, relying on the exclusive address
   to keep any other from running.  */
TEST_F (Peer, AddressIsBoundExclusively)
{
  Node a (base, "vm1");
  PrOptions options = {};
  GError *error = NULL;

  options.base = base;
  options.vm = "vm1";
  options.listen_address = "127.0.0.1";
  options.listen_port = a.port;
  options.ring = a.ring;
  options.metrics = a.metrics;
  EXPECT_EQ (nullptr, pr_net_new (&options, &error));
  EXPECT_TRUE (g_error_matches (error, PR_ERROR, PR_ERROR_LISTEN));
  g_clear_error (&error);
}

}
