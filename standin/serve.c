#include "standin/serve.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>
#include <sys/socket.h>
#include <unistd.h>

#include "standin/harness.h"

#define BACKLOG 1024
#define BODY_MAX_BYTES (64 << 20)

struct SiServer
{
  struct event_base *base;
  struct evhttp *http;
  char *ip;
  uint16_t port;
  struct evhttp_bound_socket *serve_socket; /* in SI_ACCEPT_SERVE */
  struct evconnlistener *close_listener;    /* in SI_ACCEPT_CLOSE */
  SiHandler handler;
  void *data;
  GHashTable *exchanges;   /* evhttp_request -> SiExchange */
  GHashTable *connections; /* set of evhttp_connection with a request */
  uint64_t accepted_count;
};

gboolean
si_split_address (const char *address, char **ip, uint16_t *port)
{
  const char *colon = address == NULL ? NULL : strrchr (address, ':');
  guint64 number;

  if (colon == NULL
      || !g_ascii_string_to_unsigned (colon + 1, 10, 1, G_MAXUINT16, &number,
                                      NULL))
    return FALSE;
  *ip = g_strndup (address, (gsize)(colon - address));
  *port = (uint16_t)number;
  return TRUE;
}

static void
exchange_free (SiExchange *x)
{
  g_hash_table_remove (x->server->exchanges, x->request);
  event_free (x->timer);
  evhttp_clear_headers (&x->query);
  g_free (x);
}

static void
close_exchange (SiExchange *x)
{
  if (x->on_closed != NULL)
    x->on_closed (x);
  exchange_free (x);
}

/* evhttp has detached requests without a response from the closed connection
   and leaves them to be freed here; it has already freed the connection's
   other requests.  */
static void
on_connection_closed (struct evhttp_connection *connection, void *data)
{
  SiServer *server = data;
  g_autoptr (GList) open_exchanges
      = g_hash_table_get_values (server->exchanges);

  g_hash_table_remove (server->connections, connection);
  for (GList *item = open_exchanges; item != NULL; item = item->next)
    {
      SiExchange *x = item->data;
      struct evhttp_request *request = x->request;

      if (evhttp_request_get_connection (request) != NULL)
        continue;
      close_exchange (x);
      evhttp_request_free (request);
    }
}

static void
on_timer (evutil_socket_t fd, short events, void *data)
{
  SiExchange *x = data;

  (void)fd;
  (void)events;
  x->on_timer (x);
}

static void
track_connection (SiServer *server, SiExchange *x)
{
  struct evhttp_connection *connection
      = evhttp_request_get_connection (x->request);

  x->first = !g_hash_table_contains (server->connections, connection);
  g_hash_table_add (server->connections, connection);
  evhttp_connection_set_closecb (connection, on_connection_closed, server);
}

void
si_parse_query (const char *text, struct evkeyvalq *query)
{
  g_auto (GStrv) pairs = g_strsplit (text == NULL ? "" : text, "&", -1);

  TAILQ_INIT (query);
  for (char **pair = pairs; *pair != NULL; pair++)
    {
      g_auto (GStrv) parts = g_strsplit (*pair, "=", 2);
      const char *value = parts[0] == NULL ? NULL : parts[1];
      char *decoded = evhttp_uridecode (value == NULL ? "" : value, 1, NULL);

      if (parts[0] != NULL && *parts[0] != '\0')
        evhttp_add_header (query, parts[0], decoded);
      free (decoded);
    }
}

static void
on_request (struct evhttp_request *request, void *data)
{
  SiServer *server = data;
  SiExchange *x = g_hash_table_lookup (server->exchanges, request);
  const struct evhttp_uri *uri = evhttp_request_get_evhttp_uri (request);

  /* If the connection fails before the response, evhttp passes the request a
     second time, without its URI.  */
  if (x != NULL)
    close_exchange (x);
  if (x != NULL || uri == NULL)
    {
      evhttp_send_error (request, HTTP_BADREQUEST, NULL);
      return;
    }
  x = g_new0 (SiExchange, 1);
  x->server = server;
  x->request = request;
  x->timer = evtimer_new (server->base, on_timer, x);
  si_parse_query (evhttp_uri_get_query (uri), &x->query);
  g_hash_table_insert (server->exchanges, request, x);
  track_connection (server, x);
  /* evhttp stops reading until the response is sent and would not notice that
     the caller closes.  Because reading goes on here, a caller must not send
     its next request before the response (no pipelining).  */
  bufferevent_enable (evhttp_connection_get_bufferevent (
                          evhttp_request_get_connection (request)),
                      EV_READ);
  server->handler (x, server->data);
}

static struct bufferevent *
on_accept (struct event_base *base, void *data)
{
  SiServer *server = data;

  server->accepted_count++;
  return bufferevent_socket_new (base, -1, BEV_OPT_CLOSE_ON_FREE);
}

static void
on_accept_close (struct evconnlistener *listener, evutil_socket_t fd,
                 struct sockaddr *address, int length, void *data)
{
  SiServer *server = data;

  (void)listener;
  (void)address;
  (void)length;
  server->accepted_count++;
  close (fd);
}

static struct evconnlistener *
listen_on (SiServer *server, evconnlistener_cb on_accepted)
{
  struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_port = htons (server->port) };

  if (evutil_inet_pton (AF_INET, server->ip, &address.sin_addr) != 1)
    return NULL;
  return evconnlistener_new_bind (
      server->base, on_accepted, server,
      LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC,
      BACKLOG, (struct sockaddr *)&address, sizeof address);
}

gboolean
si_server_set_accept (SiServer *server, SiAcceptMode mode)
{
  struct evconnlistener *listener;

  if (server->serve_socket != NULL)
    evhttp_del_accept_socket (server->http, server->serve_socket);
  if (server->close_listener != NULL)
    evconnlistener_free (server->close_listener);
  server->serve_socket = NULL;
  server->close_listener = NULL;
  if (mode == SI_ACCEPT_REFUSE)
    return TRUE;
  listener = listen_on (server, on_accept_close);
  if (listener == NULL)
    return FALSE;
  if (mode == SI_ACCEPT_CLOSE)
    server->close_listener = listener;
  else
    /* Replaces the callback of the listener.  */
    server->serve_socket = evhttp_bind_listener (server->http, listener);
  return TRUE;
}

SiServer *
si_server_new (struct event_base *base, const char *address, SiHandler handler,
               void *data, GError **error)
{
  SiServer *server = g_new0 (SiServer, 1);

  server->base = base;
  server->handler = handler;
  server->data = data;
  server->exchanges = g_hash_table_new (g_direct_hash, g_direct_equal);
  server->connections = g_hash_table_new (g_direct_hash, g_direct_equal);
  server->http = evhttp_new (base);
  evhttp_set_gencb (server->http, on_request, server);
  evhttp_set_bevcb (server->http, on_accept, server);
  evhttp_set_max_body_size (server->http, BODY_MAX_BYTES);
  evhttp_set_allowed_methods (server->http,
                              EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_PUT
                                  | EVHTTP_REQ_DELETE | EVHTTP_REQ_HEAD
                                  | EVHTTP_REQ_PATCH | EVHTTP_REQ_OPTIONS);
  if (!si_split_address (address, &server->ip, &server->port)
      || !si_server_set_accept (server, SI_ACCEPT_SERVE))
    {
      g_set_error (error, SI_ERROR, SI_ERROR_SPAWN, "cannot listen on %s",
                   address);
      si_server_free (server);
      return NULL;
    }
  return server;
}

void
si_server_free (SiServer *server)
{
  g_autoptr (GList) open_exchanges
      = g_hash_table_get_values (server->exchanges);

  for (GList *item = open_exchanges; item != NULL; item = item->next)
    close_exchange (item->data);
  si_server_set_accept (server, SI_ACCEPT_REFUSE);
  evhttp_free (server->http);
  g_hash_table_unref (server->exchanges);
  g_hash_table_unref (server->connections);
  g_free (server->ip);
  g_free (server);
}

uint64_t
si_server_accepted_count (const SiServer *server)
{
  return server->accepted_count;
}

uint32_t
si_server_open_count (const SiServer *server)
{
  return g_hash_table_size (server->connections);
}

const char *
si_request_path (const SiExchange *x)
{
  return evhttp_uri_get_path (evhttp_request_get_evhttp_uri (x->request));
}

const char *
si_request_method (const SiExchange *x)
{
  switch (evhttp_request_get_command (x->request))
    {
    case EVHTTP_REQ_GET:
      return "GET";
    case EVHTTP_REQ_POST:
      return "POST";
    case EVHTTP_REQ_PUT:
      return "PUT";
    case EVHTTP_REQ_DELETE:
      return "DELETE";
    case EVHTTP_REQ_HEAD:
      return "HEAD";
    case EVHTTP_REQ_PATCH:
      return "PATCH";
    default:
      return "OPTIONS";
    }
}

const char *
si_request_header (const SiExchange *x, const char *name)
{
  return evhttp_find_header (evhttp_request_get_input_headers (x->request),
                             name);
}

const char *
si_query_param (const SiExchange *x, const char *name)
{
  return evhttp_find_header (&x->query, name);
}

int64_t
si_query_param_int (const SiExchange *x, const char *name,
                    int64_t default_value)
{
  const char *text = si_query_param (x, name);
  return text == NULL ? default_value : g_ascii_strtoll (text, NULL, 10);
}

const char *
si_request_body (SiExchange *x, gsize *length_bytes)
{
  struct evbuffer *input = evhttp_request_get_input_buffer (x->request);
  gsize length = evbuffer_get_length (input);

  if (length_bytes != NULL)
    *length_bytes = length;
  return length == 0 ? "" : (const char *)evbuffer_pullup (input, -1);
}

void
si_set_timer (SiExchange *x, int64_t delay_us,
              void (*on_timer) (SiExchange *x))
{
  struct timeval delay = { .tv_sec = delay_us / G_USEC_PER_SEC,
                           .tv_usec = delay_us % G_USEC_PER_SEC };

  x->on_timer = on_timer;
  evtimer_add (x->timer, &delay);
}

void
si_add_response_header (SiExchange *x, const char *name, const char *value)
{
  evhttp_add_header (evhttp_request_get_output_headers (x->request), name,
                     value);
}

void
si_send_response (SiExchange *x, int status, const char *body,
                  gsize length_bytes)
{
  struct evhttp_request *request = x->request;
  struct evbuffer *output = evbuffer_new ();

  evbuffer_add (output, body, length_bytes);
  exchange_free (x);
  evhttp_send_reply (request, status, NULL, output);
  evbuffer_free (output);
}

void
si_send_text (SiExchange *x, int status, const char *text)
{
  si_send_response (x, status, text, strlen (text));
}

/* Does not free CONNECTION: evhttp detects the shutdown and frees it.  */
static void
shut_down_socket (struct evhttp_connection *connection, int how)
{
  struct bufferevent *bev = evhttp_connection_get_bufferevent (connection);
  shutdown (bufferevent_getfd (bev), how);
}

static void
on_truncated_sent (struct evhttp_request *request, void *data)
{
  (void)data;
  shut_down_socket (evhttp_request_get_connection (request), SHUT_RDWR);
}

void
si_send_truncated (SiExchange *x, const char *body, gsize length_bytes,
                   gsize declared_bytes)
{
  g_autofree char *declared
      = g_strdup_printf ("%" G_GSIZE_FORMAT, declared_bytes);

  si_add_response_header (x, "Content-Length", declared);
  evhttp_request_set_on_complete_cb (x->request, on_truncated_sent, NULL);
  si_send_response (x, HTTP_OK, body, length_bytes);
}

void
si_send_stray_bytes (SiExchange *x, const char *bytes)
{
  struct bufferevent *bev = evhttp_connection_get_bufferevent (
      evhttp_request_get_connection (x->request));

  /* The caller may take them for the response and send its next request, which
     evhttp must not read before it has sent the response.  */
  bufferevent_disable (bev, EV_READ);
  /* evhttp would write them only with the response.  */
  send (bufferevent_getfd (bev), bytes, strlen (bytes), MSG_NOSIGNAL);
}

const void *
si_connection (const SiExchange *x)
{
  return evhttp_request_get_connection (x->request);
}

void
si_drop_connection (SiExchange *x)
{
  shut_down_socket (evhttp_request_get_connection (x->request), SHUT_RDWR);
  si_send_response (x, HTTP_INTERNAL, "", 0);
}

struct event_base *
si_event_base_new (void)
{
  struct event_config *config = event_config_new ();
  struct event_base *base;

  event_config_set_flag (config, EVENT_BASE_FLAG_PRECISE_TIMER);
  base = event_base_new_with_config (config);
  event_config_free (config);
  return base;
}

static void
on_signal (evutil_socket_t fd, short events, void *data)
{
  (void)fd;
  (void)events;
  event_base_loopbreak (data);
}

void
si_run_loop (struct event_base *base)
{
  struct event *term = evsignal_new (base, SIGTERM, on_signal, base);
  struct event *interrupt = evsignal_new (base, SIGINT, on_signal, base);

  event_add (term, NULL);
  event_add (interrupt, NULL);
  event_base_dispatch (base);
  event_free (term);
  event_free (interrupt);
}
