#include "peer/peer.h"

#include <arpa/inet.h>
#include <errno.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <event2/util.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/ioctl.h>

#include "clock/clock.h"

/* Minimum time between two dials of the same VM.  */
#define DIAL_INTERVAL_MIN_US (500 * CK_US_PER_MS)
/* A timer that is so late shows that the daemon was paused.  */
#define OWN_PAUSE_MIN_US (500 * CK_US_PER_MS)
#define NEVER INT64_MAX
#define ACCEPTED_DEFAULT 1024
#define ACCEPTED_DEFAULT_BYTES ((uint64_t)32 * 1024 * 1024)
/* What a connection counts for without input.  */
#define CONNECTION_BYTES 4096

struct PrConnection
{
  PrNet *net;
  struct bufferevent *bev;
  MmHolder *holder;    /* NULL: opened by this side */
  char *vm;            /* NULL until the first message is received */
  int64_t received_us; /* time of the last message received */
  /* When the first request was sent since that message, or NEVER.  */
  int64_t waiting_since_us;
  uint64_t drained_bytes;  /* of input, in whole frames */
  uint64_t examined_bytes; /* the same, and the part of the next frame */
};

/* Where a VM is dialled.  */
typedef struct
{
  char *address;
  uint16_t port;
  PrConnection *connection; /* opened by this side, or NULL */
  int64_t last_dial_us;
} Endpoint;

typedef struct
{
  PrNet *net;
  uint64_t id;
  char *vm;
  PrConnection *connection;
  struct event *timer;
  int64_t sent_us;
  int64_t deadline_us;
  uint64_t input_end_bytes; /* input that had arrived at the deadline; 0 before
                               it or if there was none */
  PrOnReply on_reply;
  void *data;
} PendingRequest;

struct PrNet
{
  PrOptions options;
  char *vm;
  struct evconnlistener *listener;
  GHashTable *endpoints;   /* vm -> Endpoint */
  GHashTable *connections; /* set of PrConnection */
  MmHolders *accepted;     /* those that peers opened */
  GHashTable *pending;     /* id -> PendingRequest */
  uint64_t next_id;
  MtCounter *bytes_received;
  MtCounter *bytes_sent;
  MtCounter *messages_received;
  MtCounter *messages_sent;
  MtCounter *dropped_messages;
  MtCounter *invalid_frames;
};

G_DEFINE_QUARK (pr_error, pr_error)

gboolean
pr_parse_address (const char *text, char **address, uint16_t *port,
                  GError **error)
{
  struct sockaddr_storage storage;
  int length = sizeof storage;
  char host[INET6_ADDRSTRLEN];
  const struct sockaddr_in *v4 = (const void *)&storage;
  const struct sockaddr_in6 *v6 = (const void *)&storage;

  if (evutil_parse_sockaddr_port (text, (struct sockaddr *)&storage, &length)
      != 0)
    {
      g_set_error (error, PR_ERROR, PR_ERROR_ADDRESS,
                   "\"%s\" is not an IP address with a port", text);
      return FALSE;
    }
  if (storage.ss_family == AF_INET)
    inet_ntop (AF_INET, &v4->sin_addr, host, sizeof host);
  else
    inet_ntop (AF_INET6, &v6->sin6_addr, host, sizeof host);
  *port = ntohs (storage.ss_family == AF_INET ? v4->sin_port : v6->sin6_port);
  if (*port == 0)
    {
      g_set_error (error, PR_ERROR, PR_ERROR_ADDRESS, "\"%s\" has no port",
                   text);
      return FALSE;
    }
  *address = g_strdup (host);
  return TRUE;
}

static gboolean
make_sockaddr (const char *address, uint16_t port,
               struct sockaddr_storage *storage, int *length)
{
  g_autofree char *text = strchr (address, ':') != NULL
                              ? g_strdup_printf ("[%s]:%u", address, port)
                              : g_strdup_printf ("%s:%u", address, port);

  *length = sizeof *storage;
  return evutil_parse_sockaddr_port (text, (struct sockaddr *)storage, length)
         == 0;
}

static void
pending_free (void *data)
{
  PendingRequest *pending = data;

  event_free (pending->timer);
  g_free (pending->vm);
  g_free (pending);
}

/* Removes PENDING from the table before the call, since the callback may send
   another request.  */
static void
complete_request (PendingRequest *pending, const Peer__Envelope *envelope)
{
  g_hash_table_steal (pending->net->pending, &pending->id);
  pending->on_reply (pending->vm, envelope, pending->sent_us, pending->data);
  pending_free (pending);
}

static void
fail_requests (PrNet *net, const PrConnection *connection)
{
  g_autoptr (GPtrArray) failed = g_ptr_array_new ();
  GHashTableIter iter;
  void *value;

  g_hash_table_iter_init (&iter, net->pending);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((PendingRequest *)value)->connection == connection)
      g_ptr_array_add (failed, value);
  for (guint i = 0; i < failed->len; i++)
    complete_request (g_ptr_array_index (failed, i), NULL);
}

static void
clear_endpoint_connection (PrNet *net, const PrConnection *connection)
{
  GHashTableIter iter;
  void *value;

  g_hash_table_iter_init (&iter, net->endpoints);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((Endpoint *)value)->connection == connection)
      ((Endpoint *)value)->connection = NULL;
}

/* Why a connection is closed.  */
typedef enum
{
  CLOSE_LOCAL,
  CLOSE_INVALID_FRAME,
  CLOSE_END_OF_INPUT,
  CLOSE_SOCKET_ERROR,
  CLOSE_UNANSWERED,
  CLOSE_LIMIT,
} CloseReason;

static const char *const close_reasons[] = {
  [CLOSE_LOCAL] = "closed here",
  [CLOSE_INVALID_FRAME] = "malformed frame",
  [CLOSE_END_OF_INPUT] = "closed by the peer",
  [CLOSE_SOCKET_ERROR] = "socket error",
  [CLOSE_UNANSWERED] = "requests not answered",
  [CLOSE_LIMIT] = "limit on connections of peers",
};

static void
record_peer_event (const PrNet *net, EvNumber number, const char *detail)
{
  ev_record (net->options.ring, (uint64_t)ck_wall_ms (), number,
             &(EvFields){ .detail = detail });
}

static void
record_lost (const PrConnection *connection, CloseReason reason)
{
  int64_t silent_us = ck_boot_us () - connection->received_us;
  size_t unsent_bytes
      = evbuffer_get_length (bufferevent_get_output (connection->bev));
  g_autofree char *detail = g_strdup_printf (
      "%s: %s, last message %" G_GINT64_FORMAT " ms ago, %zu bytes not sent",
      connection->vm, close_reasons[reason], silent_us / CK_US_PER_MS,
      unsent_bytes);

  record_peer_event (connection->net, EV_PEER_LOST, detail);
}

static void
connection_close (PrConnection *connection, CloseReason reason)
{
  PrNet *net = connection->net;

  if (!g_hash_table_remove (net->connections, connection))
    return;
  if (connection->vm != NULL)
    record_lost (connection, reason);
  clear_endpoint_connection (net, connection);
  fail_requests (net, connection);
  mm_holder_free (connection->holder);
  bufferevent_free (connection->bev);
  g_free (connection->vm);
  g_free (connection);
}

static void
set_peer_vm (PrConnection *connection, const char *vm)
{
  if (connection->vm != NULL || *vm == '\0')
    return;
  connection->vm = g_strdup (vm);
  record_peer_event (connection->net, EV_PEER_CONNECTED, vm);
}

static void
dispatch (PrConnection *connection, const Peer__Envelope *envelope)
{
  PrNet *net = connection->net;
  PendingRequest *pending = NULL;

  mt_add (net->messages_received, 1);
  set_peer_vm (connection, envelope->from_vm);
  if (envelope->stamp != NULL)
    ev_merge_stamp (
        net->options.ring, (uint64_t)ck_wall_ms (),
        (EvStamp){ envelope->stamp->wall_ms, envelope->stamp->count });
  connection->received_us = ck_boot_us ();
  connection->waiting_since_us = NEVER;
  if (connection->holder != NULL)
    mm_holder_set_waiting (connection->holder, connection->received_us);
  if (envelope->id != 0)
    pending = g_hash_table_lookup (net->pending, &envelope->id);
  if (pending != NULL && pending->connection == connection)
    complete_request (pending, envelope);
  else
    net->options.on_message (connection, envelope, net->options.data);
}

/* Counts the part of a frame that waits for its rest.  */
static void
count_input (PrConnection *connection, size_t length_bytes)
{
  if (connection->holder != NULL
      && !mm_holder_resize (connection->holder,
                            CONNECTION_BYTES + length_bytes, ck_boot_us ()))
    connection_close (connection, CLOSE_LIMIT);
}

static void
on_read (struct bufferevent *bev, void *data)
{
  PrConnection *connection = data;
  PrNet *net = connection->net;
  struct evbuffer *input = bufferevent_get_input (bev);

  for (;;)
    {
      g_autoptr (GError) error = NULL;
      Peer__Envelope *envelope = NULL;
      size_t length_bytes = evbuffer_get_length (input);
      size_t used_bytes = 0;
      WrResult result
          = wr_decode_frame (evbuffer_pullup (input, -1), length_bytes,
                             &used_bytes, &envelope, &error);

      if (result == WR_INCOMPLETE)
        {
          connection->examined_bytes
              = connection->drained_bytes + length_bytes;
          count_input (connection, length_bytes);
          return;
        }
      if (result == WR_INVALID)
        {
          mt_add (net->invalid_frames, 1);
          record_peer_event (net, EV_PEER_FRAME_INVALID, error->message);
          connection_close (connection, CLOSE_INVALID_FRAME);
          return;
        }
      mt_add (net->bytes_received, (int64_t)used_bytes);
      evbuffer_drain (input, used_bytes);
      connection->drained_bytes += used_bytes;
      dispatch (connection, envelope);
      wr_envelope_free (envelope);
      if (!g_hash_table_contains (net->connections, connection))
        return;
    }
}

static void
on_event (struct bufferevent *bev, short what, void *data)
{
  (void)bev;
  if ((what & BEV_EVENT_EOF) != 0)
    connection_close (data, CLOSE_END_OF_INPUT);
  else if ((what & (BEV_EVENT_ERROR | BEV_EVENT_TIMEOUT)) != 0)
    connection_close (data, CLOSE_SOCKET_ERROR);
}

static PrConnection *
connection_new (PrNet *net, evutil_socket_t fd)
{
  PrConnection *connection = g_new0 (PrConnection, 1);

  connection->net = net;
  connection->received_us = ck_boot_us ();
  connection->waiting_since_us = NEVER;
  connection->bev = bufferevent_socket_new (
      net->options.base, fd, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
  bufferevent_setcb (connection->bev, on_read, NULL, on_event, connection);
  bufferevent_setwatermark (connection->bev, EV_READ, 0,
                            WR_PAYLOAD_MAX_BYTES + WR_HEADER_BYTES);
  bufferevent_enable (connection->bev, EV_READ | EV_WRITE);
  g_hash_table_add (net->connections, connection);
  return connection;
}

static void
set_no_delay (evutil_socket_t fd)
{
  int one = 1;
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
}

static PrConnection *
dial (PrNet *net, const char *address, uint16_t port)
{
  struct sockaddr_storage storage;
  int length;
  PrConnection *connection;

  if (!make_sockaddr (address, port, &storage, &length))
    return NULL;
  connection = connection_new (net, -1);
  if (bufferevent_socket_connect (connection->bev, (struct sockaddr *)&storage,
                                  length)
      != 0)
    {
      connection_close (connection, CLOSE_SOCKET_ERROR);
      return NULL;
    }
  set_no_delay (bufferevent_getfd (connection->bev));
  return connection;
}

static void
close_for_others (void *owner)
{
  connection_close (owner, CLOSE_LIMIT);
}

/* IPv4 as ::ffff:a.b.c.d.  */
static void
copy_address (uint8_t bytes[16], const struct sockaddr *address)
{
  const struct sockaddr_in *v4 = (const void *)address;
  const struct sockaddr_in6 *v6 = (const void *)address;

  memset (bytes, 0, 16);
  if (address->sa_family == AF_INET6)
    {
      memcpy (bytes, &v6->sin6_addr, 16);
      return;
    }
  bytes[10] = bytes[11] = 0xff;
  memcpy (bytes + 12, &v4->sin_addr, 4);
}

static void
on_accept (struct evconnlistener *listener, evutil_socket_t fd,
           struct sockaddr *address, int length, void *data)
{
  PrNet *net = data;
  PrConnection *connection;
  uint8_t bytes[16];

  (void)listener;
  (void)length;
  copy_address (bytes, address);
  set_no_delay (fd);
  connection = connection_new (net, fd);
  connection->holder = mm_holder_new (
      net->accepted, &(MmHolderRequest){ .owner = connection,
                                         .address = bytes,
                                         .bytes = CONNECTION_BYTES,
                                         .now_us = ck_boot_us () });
  if (connection->holder == NULL)
    connection_close (connection, CLOSE_LIMIT);
}

static void
endpoint_free (void *data)
{
  Endpoint *endpoint = data;

  g_free (endpoint->address);
  g_free (endpoint);
}

static void
register_metrics (PrNet *net)
{
  MtRegistry *registry = net->options.metrics;

  net->bytes_received = mt_counter (registry, "peer_received_bytes_total",
                                    "Bytes received from other daemons");
  net->bytes_sent = mt_counter (registry, "peer_sent_bytes_total",
                                "Bytes sent to other daemons");
  net->messages_received
      = mt_counter (registry, "peer_received_messages_total",
                    "Messages received from other daemons");
  net->messages_sent = mt_counter (registry, "peer_sent_messages_total",
                                   "Messages sent to other daemons");
  net->dropped_messages
      = mt_counter (registry, "peer_dropped_messages_total",
                    "Messages dropped because output was full");
  net->invalid_frames = mt_counter (registry, "peer_invalid_frames_total",
                                    "Malformed frames received");
}

PrNet *
pr_net_new (const PrOptions *options, GError **error)
{
  PrNet *net = g_new0 (PrNet, 1);
  struct sockaddr_storage storage;
  int length;

  net->options = *options;
  net->vm = g_strdup (options->vm);
  net->endpoints
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, endpoint_free);
  net->connections = g_hash_table_new (NULL, NULL);
  net->accepted = mm_holders_new (&(MmHolderOptions){
      .limit_bytes = options->accepted_bytes > 0 ? options->accepted_bytes
                                                 : ACCEPTED_DEFAULT_BYTES,
      .count_max
      = options->accepted_max > 0 ? options->accepted_max : ACCEPTED_DEFAULT,
      .close = close_for_others });
  net->pending = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL,
                                        pending_free);
  /* Each process of a VM starts at a different id, so that no two use the same
     request id on a connection.  */
  net->next_id = (options->incarnation << 20) | 1;
  register_metrics (net);
  if (make_sockaddr (options->listen_address, options->listen_port, &storage,
                     &length))
    net->listener = evconnlistener_new_bind (
        options->base, on_accept, net,
        LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC, -1,
        (struct sockaddr *)&storage, length);
  if (net->listener != NULL)
    return net;
  g_set_error (error, PR_ERROR, PR_ERROR_LISTEN,
               "cannot listen for peers on %s port %u: %s",
               options->listen_address, options->listen_port,
               g_strerror (errno));
  pr_net_free (net);
  return NULL;
}

static void
close_connections (PrNet *net)
{
  g_autoptr (GList) open_connections
      = g_hash_table_get_keys (net->connections);

  for (GList *link = open_connections; link != NULL; link = link->next)
    connection_close (link->data, CLOSE_LOCAL);
}

void
pr_net_free (PrNet *net)
{
  if (net == NULL)
    return;
  if (net->listener != NULL)
    evconnlistener_free (net->listener);
  g_hash_table_remove_all (net->pending);
  close_connections (net);
  g_hash_table_unref (net->pending);
  g_hash_table_unref (net->connections);
  mm_holders_free (net->accepted);
  g_hash_table_unref (net->endpoints);
  g_free (net->vm);
  g_free (net);
}

void
pr_event_base_free (struct event_base *base)
{
  event_base_loop (base, EVLOOP_NONBLOCK);
  event_base_free (base);
}

const MmHolderCounters *
pr_accepted_counters (const PrNet *net)
{
  return mm_holders_counters (net->accepted);
}

void
pr_set_incarnation (PrNet *net, uint64_t incarnation)
{
  net->options.incarnation = incarnation;
}

void
pr_set_address (PrNet *net, const char *vm, const char *address, uint16_t port)
{
  Endpoint *endpoint = g_hash_table_lookup (net->endpoints, vm);

  if (endpoint == NULL)
    {
      endpoint = g_new0 (Endpoint, 1);
      endpoint->last_dial_us = INT64_MIN / 2;
      g_hash_table_insert (net->endpoints, g_strdup (vm), endpoint);
    }
  else if (endpoint->port == port && strcmp (endpoint->address, address) == 0)
    return;
  g_free (endpoint->address);
  endpoint->address = g_strdup (address);
  endpoint->port = port;
}

gboolean
pr_has_address (const PrNet *net, const char *vm)
{
  return g_hash_table_contains (net->endpoints, vm);
}

/* Returns the connection that this side opened to VM, and dials if there is
   none.  */
static PrConnection *
get_connection (PrNet *net, const char *vm)
{
  Endpoint *endpoint = g_hash_table_lookup (net->endpoints, vm);
  int64_t now_us = ck_boot_us ();

  if (endpoint == NULL)
    return NULL;
  if (endpoint->connection != NULL)
    return endpoint->connection;
  if (now_us - endpoint->last_dial_us < DIAL_INTERVAL_MIN_US)
    return NULL;
  endpoint->last_dial_us = now_us;
  endpoint->connection = dial (net, endpoint->address, endpoint->port);
  return endpoint->connection;
}

static gboolean
write_envelope (PrConnection *connection, Peer__Envelope *envelope)
{
  PrNet *net = connection->net;
  struct evbuffer *output = bufferevent_get_output (connection->bev);
  g_autoptr (GByteArray) frame = g_byte_array_new ();
  EvStamp stamp = ev_next_stamp (net->options.ring, (uint64_t)ck_wall_ms ());
  Peer__Stamp message = PEER__STAMP__INIT;

  message.wall_ms = stamp.wall_ms;
  message.count = stamp.count;
  envelope->stamp = &message;
  envelope->from_vm = net->vm;
  envelope->from_incarnation = net->options.incarnation;
  wr_append_frame (frame, envelope);
  envelope->stamp = NULL;
  if (evbuffer_get_length (output) + frame->len > PR_OUTPUT_MAX_BYTES)
    {
      mt_add (net->dropped_messages, 1);
      return FALSE;
    }
  mt_add (net->bytes_sent, frame->len);
  mt_add (net->messages_sent, 1);
  return bufferevent_write (connection->bev, frame->data, frame->len) == 0;
}

void
pr_send_hello (PrNet *net, const char *address, uint16_t port,
               Peer__Envelope *hello)
{
  PrConnection *connection = dial (net, address, port);

  if (connection == NULL)
    return;
  hello->id = 0;
  write_envelope (connection, hello);
}

gboolean
pr_send (PrNet *net, const char *vm, Peer__Envelope *envelope)
{
  PrConnection *connection = get_connection (net, vm);

  envelope->id = 0;
  return connection != NULL && write_envelope (connection, envelope);
}

static void
start_timer (const PendingRequest *pending)
{
  int64_t remaining_us = MAX (0, pending->deadline_us - ck_boot_us ());
  struct timeval timeout
      = { remaining_us / CK_US_PER_S, remaining_us % CK_US_PER_S };

  evtimer_add (pending->timer, &timeout);
}

/* All input of CONNECTION so far, also what waits in the socket.  */
static uint64_t
arrived_bytes (const PrConnection *connection)
{
  int waiting_bytes = 0;

  if (ioctl (bufferevent_getfd (connection->bev), FIONREAD, &waiting_bytes)
      != 0)
    waiting_bytes = 0;
  return connection->drained_bytes
         + evbuffer_get_length (bufferevent_get_input (connection->bev))
         + (uint64_t)waiting_bytes;
}

/* Whether the reply may be in input that arrived before the deadline.  A turn
   of the event loop reads only a part of the input, and runs timers before it
   handles that.  */
static gboolean
may_have_reply (PendingRequest *pending)
{
  if (pending->input_end_bytes == 0)
    pending->input_end_bytes = arrived_bytes (pending->connection);
  return pending->connection->examined_bytes < pending->input_end_bytes;
}

/* Closing the connection completes PENDING without a reply, together with the
   other requests on it.  */
static void
on_request_timeout (evutil_socket_t fd, short what, void *data)
{
  PendingRequest *pending = data;
  PrConnection *connection = pending->connection;
  int64_t now_us = ck_boot_us ();

  (void)fd;
  (void)what;
  /* The timer counts from the start of the event loop's turn in which it was
     set, so it may fire early.  */
  if (now_us < pending->deadline_us || may_have_reply (pending))
    {
      start_timer (pending);
      return;
    }
  /* The daemon itself did not run.  What it had to send may still be unsent,
     so the wait for the peer starts anew.  */
  if (now_us - pending->deadline_us >= OWN_PAUSE_MIN_US
      && connection->waiting_since_us != NEVER)
    connection->waiting_since_us = now_us;
  if (now_us - connection->waiting_since_us >= PR_SILENCE_MAX_US)
    connection_close (connection, CLOSE_UNANSWERED);
  else
    complete_request (pending, NULL);
}

gboolean
pr_request (PrNet *net, const char *vm, Peer__Envelope *envelope,
            uint32_t timeout_ms, PrOnReply on_reply, void *data)
{
  PrConnection *connection = get_connection (net, vm);
  int64_t now_us = ck_boot_us ();
  PendingRequest *pending;

  envelope->id = net->next_id++;
  if (connection == NULL || !write_envelope (connection, envelope))
    {
      on_reply (vm, NULL, now_us, data);
      return FALSE;
    }
  pending = g_new0 (PendingRequest, 1);
  pending->net = net;
  pending->id = envelope->id;
  pending->vm = g_strdup (vm);
  pending->connection = connection;
  connection->waiting_since_us = MIN (connection->waiting_since_us, now_us);
  pending->sent_us = now_us;
  pending->deadline_us = now_us + (int64_t)timeout_ms * CK_US_PER_MS;
  pending->on_reply = on_reply;
  pending->data = data;
  pending->timer
      = evtimer_new (net->options.base, on_request_timeout, pending);
  start_timer (pending);
  g_hash_table_insert (net->pending, &pending->id, pending);
  return TRUE;
}

void
pr_reply (PrConnection *connection, uint64_t request_id,
          Peer__Envelope *envelope)
{
  envelope->id = request_id;
  write_envelope (connection, envelope);
}
