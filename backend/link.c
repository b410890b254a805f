#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <unistd.h>

#include "backend/link.h"

#define READ_MAX_BYTES (64 * 1024)

static void
add_event (struct event *event, uint32_t timeout_ms)
{
  struct timeval timeout = { timeout_ms / 1000, timeout_ms % 1000 * 1000 };

  event_add (event, timeout_ms > 0 ? &timeout : NULL);
}

void
bk_link_close (BkLink *link)
{
  BkTarget *target = link->target;

  if (link->call == NULL)
    g_queue_remove (&target->idle, link);
  target->link_count--;
  event_free (link->read_event);
  event_free (link->write_event);
  evbuffer_free (link->in);
  close (link->fd);
  g_free (link);
}

gboolean
bk_link_is_quiet (const BkLink *link)
{
  char byte;

  return recv (link->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0
         && (errno == EAGAIN || errno == EWOULDBLOCK);
}

/* Hands as much of the request to the system as it takes.  A failure before
   the first byte leaves the call unsent.  */
static void
send_some (BkLink *link)
{
  BkCall *call = link->call;
  ssize_t written = send (link->fd, call->bytes->data + call->sent_bytes,
                          call->bytes->len - call->sent_bytes, MSG_NOSIGNAL);

  if (written > 0)
    {
      call->sent_bytes += (gsize)written;
      call->result.sent = BK_SENT_MAYBE;
    }
  if (written < 0 && errno != EAGAIN && errno != EINTR)
    {
      if (call->result.sent == BK_SENT_NONE && link->used)
        bk_call_again (call);
      else
        bk_call_finish (call, BK_FAILURE_CLOSED, FALSE);
      return;
    }
  if (call->sent_bytes < call->bytes->len)
    add_event (link->write_event, 0);
}

static void
start_sending (BkLink *link)
{
  BkCall *call = link->call;

  call->sent_bytes = 0;
  call->result.connected_us = link->connected_us;
  call->result.reused = link->used;
  add_event (link->read_event, 0);
  send_some (link);
}

/* A connection to a port that nobody listens on can meet itself when the
   system picks that port as its own.  */
static gboolean
is_own_end (int fd)
{
  struct sockaddr_storage own = { 0 };
  struct sockaddr_storage peer = { 0 };
  socklen_t own_bytes = sizeof own;
  socklen_t peer_bytes = sizeof peer;

  return getsockname (fd, (struct sockaddr *)&own, &own_bytes) == 0
         && getpeername (fd, (struct sockaddr *)&peer, &peer_bytes) == 0
         && own_bytes == peer_bytes && memcmp (&own, &peer, own_bytes) == 0;
}

static void
on_connected (BkLink *link, short what)
{
  int failure = 0;
  socklen_t length = sizeof failure;

  getsockopt (link->fd, SOL_SOCKET, SO_ERROR, &failure, &length);
  if ((what & EV_TIMEOUT) != 0 || failure != 0 || is_own_end (link->fd))
    {
      bk_call_finish (link->call, BK_FAILURE_CONNECT, FALSE);
      return;
    }
  link->connected_us = bk_now_us ();
  /* What arrives before the request cannot be its answer.  */
  if (!bk_link_is_quiet (link))
    bk_call_finish (link->call, BK_FAILURE_MALFORMED, FALSE);
  else
    start_sending (link);
}

static void
on_writable (evutil_socket_t fd, short what, void *data)
{
  BkLink *link = data;

  (void)fd;
  if (link->connected_us == 0)
    on_connected (link, what);
  else
    send_some (link);
}

/* The answer is whole.  Bytes that follow it make it doubtful.  */
static void
complete (BkLink *link)
{
  BkCall *call = link->call;
  char byte;
  ssize_t extra = recv (link->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  gboolean is_quiet = extra < 0 && errno == EAGAIN;

  if (extra > 0 && !bk_answer_is_echo (call))
    {
      bk_call_finish (call, BK_FAILURE_MALFORMED, FALSE);
      return;
    }
  call->result.complete = TRUE;
  bk_call_finish (call, BK_FAILURE_NONE,
                  is_quiet && evbuffer_get_length (link->in) == 0
                      && call->head.keep_alive
                      && call->sent_bytes == call->bytes->len);
}

/* evbuffer_read takes 4 KB at a time, which is slow for large answers.  */
static ssize_t
receive (BkLink *link)
{
  struct evbuffer_iovec space;
  ssize_t got;

  evbuffer_reserve_space (link->in, READ_MAX_BYTES, &space, 1);
  got = recv (link->fd, space.iov_base, space.iov_len, 0);
  space.iov_len = got > 0 ? (size_t)got : 0;
  evbuffer_commit_space (link->in, &space, 1);
  return got;
}

static void
read_answer (BkLink *link)
{
  BkCall *call = link->call;
  ssize_t got = receive (link);
  gboolean reset = got < 0;

  if (reset && (errno == EAGAIN || errno == EINTR))
    return;
  /* After a reset it is unknown whether all bytes arrived, so it never ends
     an answer without a length.  */
  if (reset)
    bk_call_finish (call, BK_FAILURE_CLOSED, FALSE);
  else if (!bk_answer_read (link, got == 0))
    return;
  else if (call->result.failure != BK_FAILURE_NONE)
    bk_call_finish (call, call->result.failure, FALSE);
  else
    complete (link);
}

/* An idle link is closed by its timeout, by the target, or because the target
   sent what nobody asked for.  */
static void
on_readable (evutil_socket_t fd, short what, void *data)
{
  BkLink *link = data;
  BkTarget *target = link->target;

  (void)fd;
  (void)what;
  if (link->call != NULL)
    {
      read_answer (link);
      return;
    }
  bk_link_close (link);
  bk_target_release (target);
}

static int
open_socket (const BkTarget *target)
{
  int on = 1;
  unsigned int unacked_ms = target->pool->options.unacked_timeout_ms;
  int fd = socket (target->sockaddr.ss_family,
                   SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

  if (fd < 0)
    return -1;
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  if (unacked_ms > 0)
    setsockopt (fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &unacked_ms,
                sizeof unacked_ms);
  if (connect (fd, (const struct sockaddr *)&target->sockaddr,
               target->sockaddr_bytes)
          == 0
      || errno == EINPROGRESS)
    return fd;
  close (fd);
  return -1;
}

BkLink *
bk_link_open (BkTarget *target, BkCall *call)
{
  struct event_base *base = target->pool->options.base;
  int fd = open_socket (target);
  BkLink *link;

  if (fd < 0)
    return NULL;
  link = g_new0 (BkLink, 1);
  link->target = target;
  link->fd = fd;
  link->call = call;
  link->in = evbuffer_new ();
  link->read_event
      = event_new (base, fd, EV_READ | EV_PERSIST, on_readable, link);
  link->write_event = event_new (base, fd, EV_WRITE, on_writable, link);
  target->link_count++;
  add_event (link->write_event, target->pool->options.connect_timeout_ms);
  return link;
}

void
bk_link_reuse (BkLink *link, BkCall *call)
{
  g_queue_remove (&link->target->idle, link);
  link->call = call;
  event_del (link->read_event);
  start_sending (link);
}
