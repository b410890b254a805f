#include "bench/bench.h"

#include <arpa/inet.h>
#include <errno.h>
#include <event2/event.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "standin/serve.h"

#define BUFFER_BYTES 16384

typedef struct
{
  struct event_base *base;
  char *request;
  int64_t response_count;
  gboolean failed;
} ClosedLoop;

typedef struct
{
  ClosedLoop *loop;
  int fd;
  struct event *event;
  gsize used_bytes;
  char buffer[BUFFER_BYTES + 1];
} Connection;

/* Size of the response at the start of the buffer, or 0 while it is
   incomplete.  */
static gsize
response_bytes (const Connection *connection)
{
  const char *end = strstr (connection->buffer, "\r\n\r\n");
  const char *field;
  gsize total_bytes;

  if (end == NULL)
    return 0;
  field = strcasestr (connection->buffer, "content-length:");
  if (field == NULL || field > end)
    return 0;
  total_bytes
      = (gsize)(end + 4 - connection->buffer)
        + g_ascii_strtoull (field + strlen ("content-length:"), NULL, 10);
  return total_bytes <= connection->used_bytes ? total_bytes : 0;
}

static gboolean
send_request (Connection *connection)
{
  const char *request = connection->loop->request;
  gsize length = strlen (request);

  return write (connection->fd, request, length) == (ssize_t)length;
}

static void
on_readable (evutil_socket_t fd, short events, void *data)
{
  Connection *connection = data;
  ClosedLoop *loop = connection->loop;
  ssize_t read_bytes = read (fd, connection->buffer + connection->used_bytes,
                             BUFFER_BYTES - connection->used_bytes);

  (void)events;
  if (read_bytes < 0 && errno == EAGAIN)
    return;
  if (read_bytes <= 0)
    {
      loop->failed = TRUE;
      event_base_loopbreak (loop->base);
      return;
    }
  connection->used_bytes += (gsize)read_bytes;
  connection->buffer[connection->used_bytes] = '\0';
  if (response_bytes (connection) == 0)
    return;
  loop->response_count++;
  connection->used_bytes = 0;
  if (!send_request (connection))
    loop->failed = TRUE;
}

static Connection *
connection_new (ClosedLoop *loop, const struct sockaddr_in *address)
{
  Connection *connection = g_new0 (Connection, 1);
  int on = 1;

  connection->loop = loop;
  connection->fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (connect (connection->fd, (const struct sockaddr *)address,
               sizeof *address)
      != 0)
    loop->failed = TRUE;
  setsockopt (connection->fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  evutil_make_socket_nonblocking (connection->fd);
  connection->event
      = event_new (loop->base, connection->fd, EV_READ | EV_PERSIST,
                   on_readable, connection);
  event_add (connection->event, NULL);
  return connection;
}

int64_t
bn_run_closed_loop (const char *address, const char *path,
                    guint connection_count, uint32_t duration_ms)
{
  ClosedLoop loop = { .base = event_base_new () };
  g_autofree char *ip = NULL;
  g_autoptr (GPtrArray) connections = g_ptr_array_new_with_free_func (g_free);
  struct sockaddr_in remote = { .sin_family = AF_INET };
  struct timeval duration
      = { .tv_sec = duration_ms / 1000, .tv_usec = duration_ms % 1000 * 1000 };
  uint16_t port = 0;

  loop.failed = !si_split_address (address, &ip, &port)
                || inet_pton (AF_INET, ip, &remote.sin_addr) != 1;
  remote.sin_port = htons (port);
  loop.request
      = g_strdup_printf ("GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", path, address);
  for (guint i = 0; i < connection_count && !loop.failed; i++)
    g_ptr_array_add (connections, connection_new (&loop, &remote));
  for (guint i = 0; i < connections->len; i++)
    if (!send_request (g_ptr_array_index (connections, i)))
      loop.failed = TRUE;
  event_base_loopexit (loop.base, &duration);
  if (!loop.failed)
    event_base_dispatch (loop.base);
  for (guint i = 0; i < connections->len; i++)
    {
      Connection *connection = g_ptr_array_index (connections, i);
      event_free (connection->event);
      close (connection->fd);
    }
  event_base_free (loop.base);
  g_free (loop.request);
  return loop.failed ? -1 : loop.response_count;
}
