#include "front/front.h"

#include <arpa/inet.h>
#include <errno.h>
#include <string.h>
#include <time.h>

#include "front/conn.h"

#define LISTEN_BACKLOG 1024
#define TIMER_INTERVAL_MS 100

G_DEFINE_QUARK (fr_error, fr_error)

int64_t
fr_now_us (void)
{
  struct timespec now;

  clock_gettime (CLOCK_BOOTTIME, &now);
  return (int64_t)now.tv_sec * 1000000 + now.tv_nsec / 1000;
}

static void
set_defaults (FrOptions *options)
{
  static const FrOptions defaults = {
    .head_max_bytes = HT_HEAD_MAX_BYTES,
    .body_max_bytes = FR_BODY_MAX_BYTES,
    .connections_max = 4096,
    .request_timeout_ms = 10000,
    .body_timeout_ms = 30000,
    .idle_timeout_ms = 60000,
    .write_timeout_ms = 30000,
    .progress_bytes = 16 * 1024,
    .stop_idle_timeout_ms = 1000,
    .connections_bytes = G_MAXUINT64,
  };

#define SET_DEFAULT(field)                                                    \
  if (options->field == 0)                                                    \
  options->field = defaults.field
  SET_DEFAULT (head_max_bytes);
  SET_DEFAULT (body_max_bytes);
  SET_DEFAULT (connections_max);
  SET_DEFAULT (request_timeout_ms);
  SET_DEFAULT (body_timeout_ms);
  SET_DEFAULT (idle_timeout_ms);
  SET_DEFAULT (write_timeout_ms);
  SET_DEFAULT (progress_bytes);
  SET_DEFAULT (stop_idle_timeout_ms);
  SET_DEFAULT (connections_bytes);
#undef SET_DEFAULT
  options->head_max_bytes = MIN (options->head_max_bytes, HT_HEAD_MAX_BYTES);
}

static void
close_holder (void *owner)
{
  fr_conn_close (owner);
}

static void
give_up_body (void *owner)
{
  fr_conn_reject_for_memory (owner);
}

static evhtp_res
on_accept (evhtp_connection_t *evhtp, void *data)
{
  FrServer *server = data;

  if (fr_conn_accept (server, evhtp))
    return EVHTP_RES_OK;
  server->counters.over_limit_count++;
  return EVHTP_RES_ERROR;
}

static void
on_parsed (evhtp_request_t *request, void *data)
{
  FrServer *server = data;

  g_assert (server->parsing_conn != NULL
            && server->parsing_conn->evhtp == request->conn);
  fr_conn_dispatch (server->parsing_conn, request);
}

static void
stop_listening (FrServer *server)
{
  if (server->listening)
    evhtp_unbind_socket (server->evhtp);
  server->listening = FALSE;
}

/* Closes connections of large responses for those that wait for room.  */
static void
make_room_for_responses (FrServer *server, int64_t now_us)
{
  const MmBudget *memory = server->options.response_memory;
  const MmWant *want = memory != NULL ? mm_budget_first_want (memory) : NULL;

  for (; want != NULL;
       want = want->node.next != NULL ? want->node.next->data : NULL)
    {
      const MmHolderCounters *counters
          = mm_holders_counters (server->response_holders);
      uint64_t before_bytes = counters->used_bytes;
      MmHolderDemand demand
          = { .address = want->address,
              .bytes = want->bytes,
              .silent_only = now_us - want->since_us < MM_HOLDER_GRACE_US,
              .now_us = now_us };
      while (before_bytes - counters->used_bytes < want->bytes
             && mm_holders_close_one (server->response_holders, &demand))
        continue;
    }
}

/* The listener is closed by the first timer call after fr_stop, so that
   connections in its backlog are still accepted.  */
static void
on_timer (evutil_socket_t fd, short what, void *data)
{
  FrServer *server = data;
  int64_t now_us = fr_now_us ();
  (void)fd;
  (void)what;
  if (server->stopping)
    stop_listening (server);
  for (FrConn *conn = server->connections; conn != NULL;
       conn = server->next_checked)
    {
      server->next_checked = conn->next;
      fr_conn_check_timeouts (conn, now_us);
    }
  make_room_for_responses (server, now_us);
  if (server->stopping && server->connections == NULL
      && server->on_stopped != NULL)
    {
      void (*on_stopped) (void *) = server->on_stopped;
      server->on_stopped = NULL;
      on_stopped (server->stopped_data);
    }
}

/* Accepts port 0, which libevent's parser rejects, and rejects an address
   without a port, for which that parser sets port 0.  */
static gboolean
parse_address (const char *text, struct sockaddr_storage *address, int *length)
{
  g_autofree char *copy = g_strdup (text);

  if (g_str_has_suffix (copy, ":0"))
    copy[strlen (copy) - 2] = '\0';
  else if (strrchr (copy, ':') == NULL)
    return FALSE;
  return evutil_parse_sockaddr_port (copy, (struct sockaddr *)address, length)
         == 0;
}

static gboolean
start_listening (FrServer *server, GError **error)
{
  struct sockaddr_storage address = { 0 };
  int length = sizeof address;
  socklen_t bound_length = sizeof address;

  if (!parse_address (server->options.listen, &address, &length))
    {
      g_set_error (error, FR_ERROR, FR_ERROR_ADDRESS,
                   "%s is not an IP address and port", server->options.listen);
      return FALSE;
    }
  if (evhtp_bind_sockaddr (server->evhtp, (struct sockaddr *)&address,
                           (size_t)length, LISTEN_BACKLOG)
      != 0)
    {
      g_set_error (error, FR_ERROR, FR_ERROR_LISTEN, "cannot listen on %s: %s",
                   server->options.listen, g_strerror (errno));
      return FALSE;
    }
  server->listening = TRUE;
  getsockname (evconnlistener_get_fd (server->evhtp->server),
               (struct sockaddr *)&address, &bound_length);
  server->port = ntohs (address.ss_family == AF_INET6
                            ? ((struct sockaddr_in6 *)&address)->sin6_port
                            : ((struct sockaddr_in *)&address)->sin_port);
  return TRUE;
}

FrServer *
fr_new (const FrOptions *options, GError **error)
{
  FrServer *server = g_new0 (FrServer, 1);
  struct timeval interval = { 0, TIMER_INTERVAL_MS * 1000 };

  server->options = *options;
  set_defaults (&server->options);
  server->holders = mm_holders_new (&(MmHolderOptions){
      .limit_bytes = server->options.connections_bytes,
      .count_max = server->options.connections_max,
      .address_count_max = server->options.connections_per_address_max,
      .close = close_holder });
  server->body_holders
      = mm_holders_new (&(MmHolderOptions){ .limit_bytes = G_MAXUINT64,
                                            .turn_us = MM_HOLDER_GRACE_US,
                                            .close = give_up_body });
  server->response_holders
      = mm_holders_new (&(MmHolderOptions){ .limit_bytes = G_MAXUINT64,
                                            .turn_us = MM_HOLDER_GRACE_US,
                                            .close = close_holder });
  server->scratch = g_string_sized_new (4096);
  server->evhtp = evhtp_new (options->base, server);
  /* conn.c responds to "Expect: 100-continue", since libevhtp sees a request
     only when its body is complete.  */
  evhtp_disable_flag (server->evhtp, EVHTP_FLAG_ENABLE_100_CONT);
  evhtp_enable_flag (server->evhtp, EVHTP_FLAG_ENABLE_NODELAY);
  evhtp_set_post_accept_cb (server->evhtp, on_accept, server);
  evhtp_set_gencb (server->evhtp, on_parsed, server);
  server->timer = event_new (options->base, -1, EV_PERSIST, on_timer, server);
  if (!start_listening (server, error))
    {
      fr_free (server);
      return NULL;
    }
  event_add (server->timer, &interval);
  return server;
}

void
fr_free (FrServer *server)
{
  if (server == NULL)
    return;
  stop_listening (server);
  while (server->connections != NULL)
    fr_conn_close (server->connections);
  event_free (server->timer);
  evhtp_free (server->evhtp);
  mm_holders_free (server->holders);
  mm_holders_free (server->body_holders);
  mm_holders_free (server->response_holders);
  g_string_free (server->scratch, TRUE);
  g_free (server);
}

uint16_t
fr_port (const FrServer *server)
{
  return server->port;
}

const FrCounters *
fr_counters (const FrServer *server)
{
  return &server->counters;
}

const MmHolderCounters *
fr_holder_counters (const FrServer *server)
{
  return mm_holders_counters (server->holders);
}

const MmHolderCounters *
fr_body_counters (const FrServer *server)
{
  return mm_holders_counters (server->body_holders);
}

const MmHolderCounters *
fr_response_counters (const FrServer *server)
{
  return mm_holders_counters (server->response_holders);
}

MmBlock *
fr_ref_body (const FrRequest *request)
{
  const FrConn *conn = (const FrConn *)request;

  return conn->body != NULL ? mm_block_ref (conn->body) : NULL;
}

void
fr_set_cancel_handler (FrRequest *request, FrHandler handler, void *data)
{
  FrConn *conn = (FrConn *)request;

  conn->cancel_handler = handler;
  conn->cancel_data = data;
}

void
fr_set_limits (FrServer *server, const FrLimits *limits)
{
  FrOptions *options = &server->options;

  options->head_max_bytes = MIN (limits->head_max_bytes, HT_HEAD_MAX_BYTES);
  options->body_max_bytes = limits->body_max_bytes;
  options->request_timeout_ms = limits->request_timeout_ms;
  options->idle_timeout_ms = limits->idle_timeout_ms;
}

void
fr_disable_keep_alive (FrServer *server)
{
  server->keep_alive_disabled = TRUE;
}

void
fr_reject_incomplete (FrServer *server)
{
  for (FrConn *conn = server->connections; conn != NULL; conn = conn->next)
    if (conn->state == FR_CONN_HEAD || conn->state == FR_CONN_BODY)
      fr_conn_reject (conn, 503, "daemon_stopping");
}

gboolean
fr_is_writing (const FrServer *server)
{
  for (const FrConn *conn = server->connections; conn != NULL;
       conn = conn->next)
    if (evbuffer_get_length (bufferevent_get_output (conn->bev)) > 0)
      return TRUE;
  return FALSE;
}

void
fr_stop (FrServer *server, void (*on_stopped) (void *data), void *data)
{
  server->stopping = TRUE;
  server->on_stopped = on_stopped;
  server->stopped_data = data;
}
