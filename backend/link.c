#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <string.h>
#include <sys/uio.h>
#include <unistd.h>

#include "backend/link.h"

#define READ_MAX_BYTES (64 * 1024)
/* Covers the largest response, and bounds bytes that arrive without end.  */
#define READS_MAX (2 * BK_RESPONSE_MAX_BYTES / READ_MAX_BYTES)
/* The receive window with which hosts begin holds a request of this length, so
   it is acknowledged also where the target reads it late.  */
#define SHORT_REQUEST_BYTES (32 * 1024)
/* How often a connection is checked within its unacked_timeout_ms.  */
#define UNACKED_CHECKS 4

/* A TIMEOUT_MS of 0 means no timeout.  */
static void
add_event (struct event *event, uint32_t timeout_ms)
{
  struct timeval timeout = { timeout_ms / 1000, timeout_ms % 1000 * 1000 };

  event_add (event, timeout_ms > 0 ? &timeout : NULL);
}

/* A TIMEOUT_MS of 0 means no timeout.  */
static void
set_user_timeout (int fd, uint32_t timeout_ms)
{
  unsigned int value_ms = timeout_ms;

  setsockopt (fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &value_ms, sizeof value_ms);
}

void
bk_conn_close (BkConn *conn)
{
  BkTarget *target = conn->target;

  if (conn->call == NULL)
    g_queue_remove (&target->idle, conn);
  target->conn_count--;
  event_free (conn->read_event);
  event_free (conn->write_event);
  evbuffer_free (conn->input);
  close (conn->fd);
  g_free (conn);
}

gboolean
bk_conn_is_usable (const BkConn *conn)
{
  char byte;

  return recv (conn->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0
         && (errno == EAGAIN || errno == EWOULDBLOCK);
}

static gboolean
has_unread_bytes (const BkConn *conn)
{
  char byte;

  return recv (conn->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

/* A target may respond and close the connection before it has read the whole
   request, so a response may have arrived.  */
static void
end_sending (BkConn *conn)
{
  BkCall *call = conn->call;

  conn->send_failed = TRUE;
  if (call->result.sent == BK_SENT_MAYBE)
    bk_conn_read_arrived (conn);
  if (!call->finished)
    bk_call_finish (call, BK_FAILURE_CLOSED, FALSE);
}

static void
note_send (const BkConn *conn)
{
  BkSends *sends = conn->call->sends;

  if (sends != NULL && sends->count < BK_SENDS_MAX)
    sends->connections[sends->count++] = conn->number;
}

/* The parts of the request that were not sent yet.  */
static int
get_unsent (const BkCall *call, struct iovec parts[2])
{
  gsize head_bytes = call->encoded_head->len;
  gsize body_at = 0;
  int count = 0;

  if (call->sent_bytes < head_bytes)
    parts[count++]
        = (struct iovec){ call->encoded_head->data + call->sent_bytes,
                          head_bytes - call->sent_bytes };
  else
    body_at = call->sent_bytes - head_bytes;
  if (body_at < call->sent_body_bytes)
    parts[count++] = (struct iovec){ (void *)(call->sent_body + body_at),
                                     call->sent_body_bytes - body_at };
  return count;
}

/* Sends as much of the request as the socket accepts.  A call whose first send
   fails counts as not sent; on a reused connection it is requeued.  */
static void
send_request_bytes (BkConn *conn)
{
  BkCall *call = conn->call;
  struct iovec parts[2];
  struct msghdr message
      = { .msg_iov = parts, .msg_iovlen = (size_t)get_unsent (call, parts) };
  ssize_t written = sendmsg (conn->fd, &message, MSG_NOSIGNAL);

  if (written > 0)
    {
      if (call->result.sent == BK_SENT_NONE)
        note_send (conn);
      call->sent_bytes += (gsize)written;
      call->result.sent = BK_SENT_MAYBE;
    }
  if (written < 0 && errno != EAGAIN && errno != EINTR)
    {
      if (call->result.sent == BK_SENT_NONE && conn->used)
        bk_call_requeue (call);
      else
        end_sending (conn);
      return;
    }
  if (call->sent_bytes < bk_call_request_bytes (call))
    add_event (conn->write_event, 0);
}

/* The kernel finds a host that acknowledges nothing.  Its timeout also counts
   the time for which a target that reads a long request late has closed its
   window, so such a request is checked by is_unacknowledged.  */
static void
start_sending (BkConn *conn)
{
  BkCall *call = conn->call;
  uint32_t unacked_timeout_ms = conn->target->pool->options.unacked_timeout_ms;
  gboolean is_short = bk_call_request_bytes (call) <= SHORT_REQUEST_BYTES;

  conn->send_start_us = bk_now_us ();
  call->sent_bytes = 0;
  call->result.connected_us = conn->connected_us;
  call->result.reused = conn->used;
  call->result.connection = conn->number;
  if (conn->is_short != is_short)
    set_user_timeout (conn->fd, is_short ? unacked_timeout_ms : 0);
  conn->is_short = is_short;
  add_event (conn->read_event,
             is_short
                 ? 0
                 : (unacked_timeout_ms + UNACKED_CHECKS - 1) / UNACKED_CHECKS);
  send_request_bytes (conn);
}

/* A TCP socket that connects to a local port on which nothing listens connects
   to itself when the kernel picks the same port as its source port.  */
static gboolean
is_self_connection (int fd)
{
  struct sockaddr_storage local = { 0 };
  struct sockaddr_storage peer = { 0 };
  socklen_t local_bytes = sizeof local;
  socklen_t peer_bytes = sizeof peer;

  return getsockname (fd, (struct sockaddr *)&local, &local_bytes) == 0
         && getpeername (fd, (struct sockaddr *)&peer, &peer_bytes) == 0
         && local_bytes == peer_bytes
         && memcmp (&local, &peer, local_bytes) == 0;
}

static void
on_connected (BkConn *conn)
{
  int socket_error = 0;
  socklen_t length = sizeof socket_error;

  getsockopt (conn->fd, SOL_SOCKET, SO_ERROR, &socket_error, &length);
  if (socket_error != 0 || is_self_connection (conn->fd))
    {
      bk_call_finish (conn->call, BK_FAILURE_CONNECT, FALSE);
      return;
    }
  conn->connected_us = bk_now_us ();
  /* Bytes that arrive before the request is sent cannot be its response.  */
  if (!bk_conn_is_usable (conn))
    bk_call_finish (conn->call, BK_FAILURE_MALFORMED, FALSE);
  else
    start_sending (conn);
}

/* Whether the connection was made or refused.  When the timer fires in the
   same turn of the event loop, libevent reports only that.  */
static gboolean
is_connect_done (const BkConn *conn)
{
  struct pollfd poll_fd = { .fd = conn->fd, .events = POLLOUT };

  return poll (&poll_fd, 1, 0) > 0;
}

/* Waits for the rest of the time, if the timer fired early.  */
static void
on_connect_timer (BkConn *conn)
{
  int64_t left_us = conn->connect_deadline_us - bk_now_us ();
  struct timeval timeout = { left_us / 1000000, left_us % 1000000 };

  if (left_us > 0)
    event_add (conn->write_event, &timeout);
  else
    bk_call_finish (conn->call, BK_FAILURE_CONNECT, FALSE);
}

static void
on_writable (evutil_socket_t fd, short what, void *data)
{
  BkConn *conn = data;

  (void)fd;
  if (conn->connected_us != 0)
    send_request_bytes (conn);
  else if ((what & EV_TIMEOUT) != 0 && !is_connect_done (conn))
    on_connect_timer (conn);
  else
    on_connected (conn);
}

/* Ends the call of a complete response.  If further bytes follow, the response
   may belong to another request, so it is accepted only if it echoes the id of
   its request.  */
static void
complete_response (BkConn *conn)
{
  BkCall *call = conn->call;
  char byte;
  ssize_t extra = recv (conn->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  gboolean is_usable = extra < 0 && errno == EAGAIN;

  if (extra > 0 || evbuffer_get_length (conn->input) > 0)
    call->pool->counters.stray_close_count++;
  if (extra > 0 && !bk_response_echoes_id (call))
    {
      bk_call_finish (call, BK_FAILURE_MALFORMED, FALSE);
      return;
    }
  call->result.complete = TRUE;
  call->result.echoes_id = bk_response_echoes_id (call);
  bk_call_finish (call, BK_FAILURE_NONE,
                  is_usable && evbuffer_get_length (conn->input) == 0
                      && call->head.keep_alive
                      && call->sent_bytes == bk_call_request_bytes (call)
                      && !bk_response_lost_its_id (conn));
}

/* evbuffer_read reads 4 KB at a time, which is slow for large responses.  */
static ssize_t
receive_bytes (BkConn *conn)
{
  struct evbuffer_iovec space;
  ssize_t received;

  evbuffer_reserve_space (conn->input, READ_MAX_BYTES, &space, 1);
  received = recv (conn->fd, space.iov_base, space.iov_len, 0);
  space.iov_len = received > 0 ? (size_t)received : 0;
  evbuffer_commit_space (conn->input, &space, 1);
  return received;
}

/* Goes on with what has been received.  FAILED says whether the connection is
   reset: it is unknown then whether all bytes arrived, so a reset never
   completes a response without a length.  */
static void
handle_input (BkConn *conn, gboolean closed, gboolean failed)
{
  BkCall *call = conn->call;

  if (failed)
    bk_call_finish (call, BK_FAILURE_CLOSED, FALSE);
  else if (!bk_response_parse (conn, closed))
    return;
  else if (call->result.failure != BK_FAILURE_NONE)
    bk_call_finish (call, call->result.failure, FALSE);
  else
    complete_response (conn);
}

/* Returns whether bytes, or the end of the connection, were received.  */
static gboolean
read_response (BkConn *conn)
{
  ssize_t received;

  if (conn->call->waits_for_room)
    return FALSE;
  received = receive_bytes (conn);
  if (received < 0 && (errno == EAGAIN || errno == EINTR))
    return FALSE;
  /* After a failed send the kernel reports a reset as the end of input.  */
  handle_input (conn, received == 0,
                received < 0 || (received == 0 && conn->send_failed));
  return TRUE;
}

gboolean
bk_call_take_room (BkCall *call)
{
  BkConn *conn = call->conn;

  if (!mm_block_reserve (call->body, call->head.content_length_bytes))
    return FALSE;
  bk_call_end_wait (call);
  add_event (conn->read_event, 0);
  handle_input (conn, FALSE, FALSE);
  return TRUE;
}

void
bk_conn_read_arrived (BkConn *conn)
{
  const BkCall *call = conn->call;

  if (conn->connected_us == 0)
    return;
  for (int i = 0; i < READS_MAX && !call->finished; i++)
    if (!read_response (conn))
      return;
}

/* Whether the host of the target has not acknowledged what was sent in time.
   With a closed window nothing is unacknowledged.  */
static gboolean
is_unacknowledged (const BkConn *conn)
{
  uint32_t timeout_ms = conn->target->pool->options.unacked_timeout_ms;
  struct tcp_info info = { 0 };
  socklen_t length = sizeof info;

  if (timeout_ms == 0
      || bk_now_us () - conn->send_start_us < (int64_t)timeout_ms * 1000)
    return FALSE;
  return getsockopt (conn->fd, IPPROTO_TCP, TCP_INFO, &info, &length) == 0
         && info.tcpi_unacked > 0 && info.tcpi_last_ack_recv >= timeout_ms;
}

/* An idle connection is closed when its idle timeout expires, when the target
   closes it and when the target sends unsolicited bytes.  */
static void
on_readable (evutil_socket_t fd, short what, void *data)
{
  BkConn *conn = data;
  BkTarget *target = conn->target;

  (void)fd;
  if (conn->call != NULL)
    {
      if ((what & EV_READ) != 0)
        read_response (conn);
      else if (is_unacknowledged (conn))
        bk_call_finish (conn->call, BK_FAILURE_CLOSED, FALSE);
      return;
    }
  if (has_unread_bytes (conn))
    target->pool->counters.stray_close_count++;
  bk_conn_close (conn);
  bk_target_free_if_unused (target);
}

static int
open_socket (const BkTarget *target)
{
  int on = 1;
  int fd = socket (target->sockaddr.ss_family,
                   SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

  if (fd < 0)
    return -1;
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  set_user_timeout (fd, target->pool->options.unacked_timeout_ms);
  if (connect (fd, (const struct sockaddr *)&target->sockaddr,
               target->sockaddr_bytes)
          == 0
      || errno == EINPROGRESS)
    return fd;
  close (fd);
  return -1;
}

BkConn *
bk_conn_open (BkTarget *target, BkCall *call)
{
  struct event_base *base = target->pool->options.base;
  int fd = open_socket (target);
  BkConn *conn;

  if (fd < 0)
    return NULL;
  conn = g_new0 (BkConn, 1);
  conn->target = target;
  conn->number = ++target->pool->last_number;
  conn->fd = fd;
  conn->call = call;
  conn->is_short = TRUE;
  conn->input = evbuffer_new ();
  conn->read_event
      = event_new (base, fd, EV_READ | EV_PERSIST, on_readable, conn);
  conn->write_event = event_new (base, fd, EV_WRITE, on_writable, conn);
  conn->connect_deadline_us
      = bk_now_us ()
        + (int64_t)target->pool->options.connect_timeout_ms * 1000;
  target->conn_count++;
  add_event (conn->write_event, target->pool->options.connect_timeout_ms);
  return conn;
}

void
bk_conn_reuse (BkConn *conn, BkCall *call)
{
  g_queue_remove (&conn->target->idle, conn);
  conn->call = call;
  event_del (conn->read_event);
  start_sending (conn);
}
