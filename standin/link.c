#include "standin/link.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include "standin/harness.h"
#include "standin/serve.h"

#define BACKLOG 1024
/* Reading from one side pauses while more than this waits for the other.  */
#define QUEUED_MAX_BYTES (1024 * 1024)

typedef struct Connection Connection;

typedef struct
{
  struct evbuffer *bytes; /* NULL: end of stream */
  int64_t due_us;
} Chunk;

typedef struct
{
  Connection *connection;
  SiDirection direction;
  struct bufferevent *source;
  struct bufferevent *sink;
  GQueue *chunks;
  struct event *timer;
  gsize queued_bytes;
  int64_t received_bytes;     /* since the connection was opened */
  gboolean eof_sent;          /* the sink is shut down for writing */
  gboolean close_after_flush; /* close the connection after the last chunk */
} Stream;

struct Connection
{
  SiLink *link;
  struct bufferevent *sides[2]; /* to the caller, to the destination */
  Stream streams[2];
  gboolean in_partition; /* accepted in a partition; closed at its end */
};

/* SiLink with the members that only this file uses.  */
typedef struct
{
  SiLink link;
  struct event_base *base;
  struct evconnlistener *listener;
  struct sockaddr_in destination;
} LinkImpl;

static void forward_chunks (Stream *stream);

static void
chunk_free (void *data)
{
  Chunk *chunk = data;

  if (chunk->bytes != NULL)
    evbuffer_free (chunk->bytes);
  g_free (chunk);
}

static void
connection_free (void *data)
{
  Connection *connection = data;

  for (int i = 0; i < 2; i++)
    {
      Stream *stream = &connection->streams[i];
      event_free (stream->timer);
      g_queue_free_full (stream->chunks, chunk_free);
      bufferevent_free (connection->sides[i]);
    }
  g_free (connection);
}

static void
close_connection (Connection *connection)
{
  g_ptr_array_remove_fast (connection->link->connections, connection);
}

static gboolean
is_held (const Connection *connection)
{
  const SiLink *link = connection->link;
  return link->hold || link->partition || connection->in_partition;
}

/* Reserves the pipe for data received now and returns the time at which the
   data has crossed the link.  */
static int64_t
schedule_delivery (SiLink *link, SiDirection direction, gsize length_bytes)
{
  int64_t now_us = g_get_monotonic_time ();
  SiPipe *pipe = link->pipe;
  int pipe_direction
      = link->pipe_reversed ? 1 - (int)direction : (int)direction;
  int64_t start_us;

  if (pipe->mbit_per_s <= 0)
    return now_us + link->delay_us;
  /* 1 Mbit/s is 1 bit per us.  */
  start_us = MAX (now_us, pipe->free_at_us[pipe_direction]);
  pipe->free_at_us[pipe_direction]
      = start_us + (int64_t)length_bytes * 8 / pipe->mbit_per_s;
  return pipe->free_at_us[pipe_direction] + link->delay_us;
}

static void
queue_chunk (Stream *stream, struct evbuffer *bytes)
{
  Chunk *chunk = g_new0 (Chunk, 1);
  gsize length_bytes = bytes == NULL ? 0 : evbuffer_get_length (bytes);

  chunk->bytes = bytes;
  chunk->due_us = schedule_delivery (stream->connection->link,
                                     stream->direction, length_bytes);
  stream->queued_bytes += length_bytes;
  g_queue_push_tail (stream->chunks, chunk);
}

/* Queues the received bytes up to the offset at which the link is cut.  */
static void
queue_input (Stream *stream)
{
  SiLink *link = stream->connection->link;
  struct evbuffer *input = bufferevent_get_input (stream->source);
  int64_t cut_after_bytes = link->cut_after_bytes[stream->direction];
  struct evbuffer *bytes;
  gsize length_bytes = evbuffer_get_length (input);

  if (stream->close_after_flush)
    {
      evbuffer_drain (input, length_bytes);
      return;
    }
  if (cut_after_bytes >= 0
      && stream->received_bytes + (int64_t)length_bytes >= cut_after_bytes)
    {
      length_bytes = (gsize)MAX (cut_after_bytes - stream->received_bytes, 0);
      stream->close_after_flush = TRUE;
    }
  bytes = evbuffer_new ();
  evbuffer_remove_buffer (input, bytes, length_bytes);
  stream->received_bytes += (int64_t)length_bytes;
  queue_chunk (stream, bytes);
  if (stream->queued_bytes > QUEUED_MAX_BYTES)
    bufferevent_disable (stream->source, EV_READ);
}

static void
send_eof (Stream *stream)
{
  shutdown (bufferevent_getfd (stream->sink), SHUT_WR);
  stream->eof_sent = TRUE;
}

static gboolean
both_eof_sent (const Connection *connection)
{
  return connection->streams[SI_UP].eof_sent
         && connection->streams[SI_DOWN].eof_sent;
}

/* Writes all chunks that are due.  Returns FALSE if it closed the
   connection.  */
static gboolean
write_due_chunks (Stream *stream)
{
  int64_t now_us = g_get_monotonic_time ();
  Chunk *chunk;

  while ((chunk = g_queue_peek_head (stream->chunks)) != NULL
         && chunk->due_us <= now_us)
    {
      if (chunk->bytes == NULL)
        {
          /* The shutdown must follow the bytes written before it.  */
          if (evbuffer_get_length (bufferevent_get_output (stream->sink)) > 0)
            return TRUE;
          send_eof (stream);
        }
      else
        {
          gsize length_bytes = evbuffer_get_length (chunk->bytes);
          stream->queued_bytes -= length_bytes;
          stream->connection->link->forwarded_bytes[stream->direction]
              += length_bytes;
          bufferevent_write_buffer (stream->sink, chunk->bytes);
        }
      chunk_free (g_queue_pop_head (stream->chunks));
    }
  if (stream->close_after_flush && chunk == NULL
      && evbuffer_get_length (bufferevent_get_output (stream->sink)) == 0)
    {
      close_connection (stream->connection);
      return FALSE;
    }
  return TRUE;
}

static void
forward_chunks (Stream *stream)
{
  Chunk *chunk;
  int64_t wait_us;
  struct timeval wait;

  if (is_held (stream->connection) || !write_due_chunks (stream))
    return;
  if (both_eof_sent (stream->connection))
    {
      close_connection (stream->connection);
      return;
    }
  if (stream->queued_bytes <= QUEUED_MAX_BYTES && !stream->eof_sent)
    bufferevent_enable (stream->source, EV_READ);
  chunk = g_queue_peek_head (stream->chunks);
  if (chunk == NULL)
    return;
  wait_us = MAX (chunk->due_us - g_get_monotonic_time (), 0);
  wait = (struct timeval){ .tv_sec = wait_us / G_USEC_PER_SEC,
                           .tv_usec = wait_us % G_USEC_PER_SEC };
  /* An end of stream that is due waits for on_written instead.  */
  if (chunk->bytes != NULL || wait_us > 0)
    evtimer_add (stream->timer, &wait);
}

static void
on_timer (evutil_socket_t fd, short events, void *data)
{
  (void)fd;
  (void)events;
  forward_chunks (data);
}

static Stream *
get_stream_from (Connection *connection, const struct bufferevent *side)
{
  return &connection->streams[side == connection->sides[0] ? SI_UP : SI_DOWN];
}

static Stream *
get_stream_to (Connection *connection, const struct bufferevent *side)
{
  return &connection->streams[side == connection->sides[0] ? SI_DOWN : SI_UP];
}

static void
on_read (struct bufferevent *side, void *data)
{
  Stream *stream = get_stream_from (data, side);

  queue_input (stream);
  forward_chunks (stream);
}

static void
on_written (struct bufferevent *side, void *data)
{
  forward_chunks (get_stream_to (data, side));
}

static void
on_event (struct bufferevent *side, short what, void *data)
{
  Connection *connection = data;
  Stream *stream = get_stream_from (connection, side);

  if (what & BEV_EVENT_CONNECTED)
    return;
  if (!(what & BEV_EVENT_EOF))
    {
      close_connection (connection);
      return;
    }
  queue_chunk (stream, NULL);
  forward_chunks (stream);
}

static void
set_no_delay (evutil_socket_t fd)
{
  int on = 1;
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

static void
stream_init (Connection *connection, SiDirection direction,
             struct event_base *base)
{
  Stream *stream = &connection->streams[direction];

  stream->connection = connection;
  stream->direction = direction;
  stream->source = connection->sides[direction];
  stream->sink = connection->sides[1 - direction];
  stream->chunks = g_queue_new ();
  stream->timer = evtimer_new (base, on_timer, stream);
}

static void
on_accept (struct evconnlistener *listener, evutil_socket_t fd,
           struct sockaddr *address, int length, void *data)
{
  LinkImpl *impl = data;
  SiLink *link = &impl->link;
  Connection *connection;

  (void)listener;
  (void)address;
  (void)length;
  link->accepted_count++;
  if (link->cut)
    {
      close (fd);
      return;
    }
  connection = g_new0 (Connection, 1);
  connection->link = link;
  connection->in_partition = link->partition;
  connection->sides[0]
      = bufferevent_socket_new (impl->base, fd, BEV_OPT_CLOSE_ON_FREE);
  connection->sides[1]
      = bufferevent_socket_new (impl->base, -1, BEV_OPT_CLOSE_ON_FREE);
  stream_init (connection, SI_UP, impl->base);
  stream_init (connection, SI_DOWN, impl->base);
  g_ptr_array_add (link->connections, connection);
  set_no_delay (fd);
  for (int i = 0; i < 2; i++)
    bufferevent_setcb (connection->sides[i], on_read, on_written, on_event,
                       connection);
  if (connection->in_partition)
    return;
  if (bufferevent_socket_connect (connection->sides[1],
                                  (struct sockaddr *)&impl->destination,
                                  sizeof impl->destination)
      != 0)
    {
      close_connection (connection);
      return;
    }
  set_no_delay (bufferevent_getfd (connection->sides[1]));
  for (int i = 0; i < 2; i++)
    bufferevent_enable (connection->sides[i], EV_READ | EV_WRITE);
}

static gboolean
parse_address (const char *text, struct sockaddr_in *address)
{
  g_autofree char *ip = NULL;
  uint16_t port;

  if (!si_split_address (text, &ip, &port))
    return FALSE;
  *address = (struct sockaddr_in){ .sin_family = AF_INET,
                                   .sin_port = htons (port) };
  return evutil_inet_pton (AF_INET, ip, &address->sin_addr) == 1;
}

SiLink *
si_link_new (struct event_base *base, const char *name, const char *listen,
             const char *destination, GError **error)
{
  LinkImpl *impl = g_new0 (LinkImpl, 1);
  struct sockaddr_in address;

  impl->base = base;
  impl->link.name = g_strdup (name);
  impl->link.cut_after_bytes[SI_UP] = -1;
  impl->link.cut_after_bytes[SI_DOWN] = -1;
  impl->link.connections = g_ptr_array_new_with_free_func (connection_free);
  if (parse_address (listen, &address)
      && parse_address (destination, &impl->destination))
    impl->listener = evconnlistener_new_bind (
        base, on_accept, impl,
        LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC,
        BACKLOG, (struct sockaddr *)&address, sizeof address);
  if (impl->listener != NULL)
    return &impl->link;
  g_set_error (error, SI_ERROR, SI_ERROR_SPAWN,
               "link %s cannot forward %s to %s", name, listen, destination);
  si_link_free (impl);
  return NULL;
}

void
si_link_free (void *data)
{
  LinkImpl *impl = data;

  if (impl->listener != NULL)
    evconnlistener_free (impl->listener);
  g_ptr_array_unref (impl->link.connections);
  g_free (impl->link.name);
  g_free (impl);
}

void
si_link_update (SiLink *link)
{
  for (guint i = link->connections->len; i-- > 0;)
    {
      Connection *connection = g_ptr_array_index (link->connections, i);

      if (link->cut || (connection->in_partition && !link->partition))
        close_connection (connection);
      else
        {
          guint count_before = link->connections->len;
          forward_chunks (&connection->streams[SI_UP]);
          if (link->connections->len == count_before)
            forward_chunks (&connection->streams[SI_DOWN]);
        }
    }
}

void
si_link_half_close (SiLink *link, SiDirection direction)
{
  for (guint i = 0; i < link->connections->len; i++)
    {
      Connection *connection = g_ptr_array_index (link->connections, i);
      send_eof (&connection->streams[direction]);
    }
}
