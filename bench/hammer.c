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
  int64_t answer_count;
  gboolean failed;
} Hammer;

typedef struct
{
  Hammer *hammer;
  int fd;
  struct event *event;
  gsize used_bytes;
  char buffer[BUFFER_BYTES + 1];
} Connection;

/* Bytes of the answer at the start of the buffer, or 0 while it is not whole.
 */
static gsize
answer_bytes (const Connection *connection)
{
  const char *end = strstr (connection->buffer, "\r\n\r\n");
  const char *field;
  gsize total;

  if (end == NULL)
    return 0;
  field = strcasestr (connection->buffer, "content-length:");
  if (field == NULL || field > end)
    return 0;
  total = (gsize)(end + 4 - connection->buffer)
          + g_ascii_strtoull (field + strlen ("content-length:"), NULL, 10);
  return total <= connection->used_bytes ? total : 0;
}

static gboolean
send_request (Connection *connection)
{
  const char *request = connection->hammer->request;
  gsize length = strlen (request);

  return write (connection->fd, request, length) == (ssize_t)length;
}

static void
on_readable (evutil_socket_t fd, short events, void *data)
{
  Connection *connection = data;
  Hammer *hammer = connection->hammer;
  ssize_t got = read (fd, connection->buffer + connection->used_bytes,
                      BUFFER_BYTES - connection->used_bytes);

  (void)events;
  if (got < 0 && errno == EAGAIN)
    return;
  if (got <= 0)
    {
      hammer->failed = TRUE;
      event_base_loopbreak (hammer->base);
      return;
    }
  connection->used_bytes += (gsize)got;
  connection->buffer[connection->used_bytes] = '\0';
  if (answer_bytes (connection) == 0)
    return;
  hammer->answer_count++;
  connection->used_bytes = 0;
  if (!send_request (connection))
    hammer->failed = TRUE;
}

static Connection *
connection_new (Hammer *hammer, const struct sockaddr_in *address)
{
  Connection *connection = g_new0 (Connection, 1);
  int on = 1;

  connection->hammer = hammer;
  connection->fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (connect (connection->fd, (const struct sockaddr *)address,
               sizeof *address)
      != 0)
    hammer->failed = TRUE;
  setsockopt (connection->fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  evutil_make_socket_nonblocking (connection->fd);
  connection->event
      = event_new (hammer->base, connection->fd, EV_READ | EV_PERSIST,
                   on_readable, connection);
  event_add (connection->event, NULL);
  return connection;
}

int64_t
bn_hammer (const char *address, const char *path, guint connections,
           uint32_t duration_ms)
{
  Hammer hammer = { .base = event_base_new () };
  g_autofree char *ip = NULL;
  g_autoptr (GPtrArray) all = g_ptr_array_new_with_free_func (g_free);
  struct sockaddr_in to = { .sin_family = AF_INET };
  struct timeval duration
      = { .tv_sec = duration_ms / 1000, .tv_usec = duration_ms % 1000 * 1000 };
  uint16_t port = 0;

  hammer.failed = !si_split_address (address, &ip, &port)
                  || inet_pton (AF_INET, ip, &to.sin_addr) != 1;
  to.sin_port = htons (port);
  hammer.request
      = g_strdup_printf ("GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", path, address);
  for (guint i = 0; i < connections && !hammer.failed; i++)
    g_ptr_array_add (all, connection_new (&hammer, &to));
  for (guint i = 0; i < all->len; i++)
    if (!send_request (g_ptr_array_index (all, i)))
      hammer.failed = TRUE;
  event_base_loopexit (hammer.base, &duration);
  if (!hammer.failed)
    event_base_dispatch (hammer.base);
  for (guint i = 0; i < all->len; i++)
    {
      Connection *connection = g_ptr_array_index (all, i);
      event_free (connection->event);
      close (connection->fd);
    }
  event_base_free (hammer.base);
  g_free (hammer.request);
  return hammer.failed ? -1 : hammer.answer_count;
}
