#include "front/conn.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

/* How long a rejected connection stays open, with its input discarded, after
   its output last made progress.  A close with unread input resets the
   connection, and the caller would not see the response.  */
#define LINGER_TIMEOUT_US 1000000
/* A chunked message may have, besides its head, this many times the bytes of
   the largest allowed body, since each chunk adds framing.  */
#define CHUNK_OVERHEAD_FACTOR 8
/* A read may exceed FR_READ_AHEAD_MAX_BYTES by this much.  libevent 2.1 reads
   no more at once in any case.  */
#define READ_MAX_BYTES 4096
/* Of input and output, what FR_CONN_BYTES covers.  */
#define HELD_FREE_BYTES (12 * 1024)
/* The bytes of a parsed head are held once more, in its headers.  */
#define HEAD_COPIES 2
/* Without any reading for this long, a caller no longer counts as one that
   reads.  Slow callers read some KB a second; one that reads a little after a
   longer time counts as reading again.  */
#define STALL_US 5000000
/* What the kernel holds of a response beyond the window of its caller.  The
   rest stays here, where it is counted.  */
#define UNSENT_MAX_BYTES (32 * 1024)
/* Retry-After of a body for which there is no memory: by then the bodies that
   hold it have been sent to targets.  */
#define MEMORY_RETRY_AFTER "1"

static void process_input (FrConn *conn);

void
fr_conn_set_state (FrConn *conn, FrConnState state)
{
  conn->state = state;
  conn->since_us = fr_now_us ();
  conn->unwritten_bytes = 0;
  conn->idle_timeout_ms = conn->server->options.idle_timeout_ms;
}

static struct evbuffer *
input_buffer (const FrConn *conn)
{
  return bufferevent_get_input (conn->bev);
}

static void
drain_buffer (struct evbuffer *buffer)
{
  evbuffer_drain (buffer, evbuffer_get_length (buffer));
}

/* Bodies above MM_SMALL_BYTES count in the budget for bodies only.  */
static gsize
small_body_bytes (const FrConn *conn)
{
  gsize bytes = 0;

  if (conn->body != NULL)
    bytes = MAX (conn->head.content_length_bytes,
                 mm_block_bytes (conn->body)->len);
  return bytes <= MM_SMALL_BYTES ? mm_small_cost_bytes (bytes) : 0;
}

static gsize
held_bytes (const FrConn *conn)
{
  gsize output = evbuffer_get_length (bufferevent_get_output (conn->bev));
  gsize input = evbuffer_get_length (input_buffer (conn))
                + evbuffer_get_length (conn->read_ahead) + conn->unread_bytes;
  gsize bytes = output - MIN (output, conn->block_bytes);

  if (conn->head_bytes > 0)
    bytes += HEAD_COPIES * conn->head_bytes + small_body_bytes (conn)
             + MAX (input, FR_READ_AHEAD_MAX_BYTES + READ_MAX_BYTES);
  else
    bytes += input;
  return FR_CONN_BYTES
         + (bytes > HELD_FREE_BYTES ? bytes - HELD_FREE_BYTES : 0);
}

gboolean
fr_conn_count_held (FrConn *conn)
{
  return mm_holder_resize (conn->holder, held_bytes (conn), fr_now_us ());
}

void
fr_conn_count_response (FrConn *conn)
{
  mm_holder_force (conn->holder, held_bytes (conn), fr_now_us ());
}

void
fr_conn_free_body (FrConn *conn)
{
  g_clear_pointer (&conn->body, mm_block_unref);
  g_clear_pointer (&conn->body_holder, mm_holder_free);
  conn->encoded_bytes = 0;
}

static void
clear_request (FrConn *conn)
{
  ht_head_clear (&conn->head);
  fr_conn_free_body (conn);
  conn->evhtp_request = NULL;
  conn->cancel_handler = NULL;
  conn->checked_bytes = 0;
  conn->head_bytes = 0;
  conn->block_bytes = 0;
  conn->unread_bytes = 0;
  conn->progress_bytes = 0;
  g_clear_pointer (&conn->response_holder, mm_holder_free);
  memset (&conn->chunk_decoder, 0, sizeof conn->chunk_decoder);
}

static void
unlink_conn (FrConn *conn)
{
  FrServer *server = conn->server;

  if (conn->previous != NULL)
    conn->previous->next = conn->next;
  else
    server->connections = conn->next;
  if (conn->next != NULL)
    conn->next->previous = conn->previous;
  if (server->next_checked == conn)
    server->next_checked = conn->next;
  server->counters.connection_count--;
}

static void
free_conn (FrConn *conn)
{
  evbuffer_free (conn->read_ahead);
  g_free (conn);
}

/* Called by libevhtp before it frees its connection.  */
static evhtp_res
on_fini (evhtp_connection_t *evhtp, void *data)
{
  FrConn *conn = data;
  FrServer *server = conn->server;

  (void)evhtp;
  unlink_conn (conn);
  g_clear_pointer (&conn->holder, mm_holder_free);
  conn->closed = TRUE;
  if (conn->state == FR_CONN_RUNNING)
    {
      server->counters.running_count--;
      server->counters.cancelled_count++;
      if (conn->cancel_handler != NULL)
        conn->cancel_handler (&conn->request, conn->cancel_data);
    }
  clear_request (conn);
  if (!conn->in_evhtp_call)
    free_conn (conn);
  return EVHTP_RES_OK;
}

void
fr_conn_close (FrConn *conn)
{
  evhtp_connection_free (conn->evhtp);
}

/* Requests that a caller sends ahead do not show that it reads, so they don't
   keep its connection from being closed for others.  libevhtp must not lose a
   connection during a call; the holder then stays busy until the call
   returns.  */
void
fr_conn_wait_for_reader (FrConn *conn)
{
  if (conn->in_evhtp_call)
    return;
  if (!conn->sent_ahead)
    conn->turn_us = conn->since_us;
  mm_holder_set_waiting (conn->holder, conn->turn_us);
}

/* Returns FALSE if libevhtp freed the connection during the call.  */
static gboolean
leave_evhtp_call (FrConn *conn)
{
  conn->in_evhtp_call = FALSE;
  if (conn->closed)
    {
      free_conn (conn);
      return FALSE;
    }
  if (conn->state == FR_CONN_RESPONDING)
    fr_conn_wait_for_reader (conn);
  return TRUE;
}

/* HEADERS are further lines of the head.  */
static void
reject_with_headers (FrConn *conn, uint32_t status, const char *headers,
                     const char *error)
{
  g_autofree char *body
      = g_strdup_printf ("{\"error\":\"%s\",\"outcome\":\"not_run\"}", error);

  evbuffer_add_printf (bufferevent_get_output (conn->bev),
                       "HTTP/1.1 %u %s\r\nContent-Type: application/json\r\n"
                       "Content-Length: %zu\r\n%sConnection: close\r\n\r\n%s",
                       status, ht_reason_phrase (status), strlen (body),
                       headers, body);
  drain_buffer (input_buffer (conn));
  drain_buffer (conn->read_ahead);
  clear_request (conn);
  fr_conn_set_state (conn, FR_CONN_LINGER);
  mm_holder_shrink (conn->holder, held_bytes (conn));
}

void
fr_conn_reject (FrConn *conn, uint32_t status, const char *error)
{
  reject_with_headers (conn, status, "", error);
}

static void
reject_for_memory (FrConn *conn, const char *error)
{
  reject_with_headers (conn, 503, "Retry-After: " MEMORY_RETRY_AFTER "\r\n",
                       error);
}

void
fr_conn_reject_for_memory (FrConn *conn)
{
  reject_for_memory (conn, "no_memory_for_body");
}

/* Returns FALSE if there is no room for what the connection holds, and its
   request, which is incomplete, was rejected.  */
static gboolean
keep_within_memory (FrConn *conn)
{
  if (fr_conn_count_held (conn))
    return TRUE;
  reject_for_memory (conn, "no_memory_for_connection");
  return FALSE;
}

static void
reject_malformed (FrConn *conn, uint32_t status, const char *error)
{
  conn->server->counters.malformed_count++;
  fr_conn_reject (conn, status, error);
}

static void
reject_head (FrConn *conn, const GError *error)
{
  switch (error->code)
    {
    case HT_ERROR_METHOD:
      reject_malformed (conn, 405, "method_not_served");
      break;
    case HT_ERROR_LIMIT:
      reject_malformed (conn, 431, "head_too_large");
      break;
    default:
      reject_malformed (conn, 400, "malformed");
    }
}

/* Whether an incomplete head has a bare LF, which makes it invalid whatever
   follows.  */
static gboolean
has_bare_lf (const char *bytes, gsize length)
{
  const char *end = bytes + length;

  for (const char *p = bytes; (p = memchr (p, '\n', (gsize)(end - p))) != NULL;
       p++)
    if (p == bytes || p[-1] != '\r')
      return TRUE;
  return FALSE;
}

static gboolean
check_expect (FrConn *conn)
{
  const char *expect = ht_headers_get (conn->head.headers, "Expect");

  if (expect == NULL)
    return TRUE;
  if (g_ascii_strcasecmp (expect, "100-continue") != 0)
    {
      reject_malformed (conn, 417, "expectation_failed");
      return FALSE;
    }
  if (conn->head.minor_version == 1 && conn->head.body_framing != HT_BODY_NONE)
    evbuffer_add_printf (bufferevent_get_output (conn->bev),
                         "HTTP/1.1 100 Continue\r\n\r\n");
  return TRUE;
}

static MmHolder *
new_large_holder (const FrConn *conn, MmHolders *holders, uint64_t bytes)
{
  return mm_holder_new (
      holders, &(MmHolderRequest){ .owner = (void *)conn,
                                   .address = conn->request.peer_address,
                                   .bytes = bytes,
                                   .now_us = fr_now_us () });
}

void
fr_conn_hold_response (FrConn *conn, gsize bytes)
{
  conn->block_bytes = bytes;
  conn->progress_bytes = G_MAXSIZE;
  conn->response_holder
      = new_large_holder (conn, conn->server->response_holders, bytes);
}

/* Counts BYTES of a large body.  */
static void
hold_body (FrConn *conn, uint64_t bytes)
{
  if (bytes <= MM_SMALL_BYTES)
    return;
  if (conn->body_holder == NULL)
    conn->body_holder
        = new_large_holder (conn, conn->server->body_holders, bytes);
  else
    mm_holder_resize (conn->body_holder, bytes, fr_now_us ());
}

/* Reserves BYTES for the body, for which others that are incomplete may have
   to make room.  Returns FALSE if there is none, and the body was rejected. */
static gboolean
reserve_body (FrConn *conn, uint64_t bytes)
{
  MmHolderDemand demand = { .address = conn->request.peer_address,
                            .growing = conn->body_holder,
                            .bytes = bytes,
                            .now_us = fr_now_us () };

  while (!mm_block_reserve (conn->body, bytes))
    if (!mm_holders_close_one (conn->server->body_holders, &demand))
      {
        reject_for_memory (conn, "no_memory_for_body");
        return FALSE;
      }
  hold_body (conn, bytes);
  return TRUE;
}

/* A body that comes byte by byte makes none.  */
static void
note_body_progress (FrConn *conn)
{
  gsize length = conn->body != NULL ? mm_block_bytes (conn->body)->len : 0;

  if (conn->body_holder == NULL
      || length < conn->progress_bytes + conn->server->options.progress_bytes)
    return;
  conn->progress_bytes = length;
  mm_holder_set_waiting (conn->body_holder, fr_now_us ());
}

/* Returns FALSE if there is no memory for the body, and it was rejected.  */
static gboolean
begin_body (FrConn *conn)
{
  conn->encoded_bytes = 0;
  if (conn->head.body_framing == HT_BODY_NONE)
    return TRUE;
  conn->body = mm_block_new (conn->server->options.memory);
  return reserve_body (conn, conn->head.content_length_bytes);
}

/* Returns TRUE if the head is complete and valid; it is then taken out of the
   input, and the state is FR_CONN_BODY.  */
static gboolean
read_head (FrConn *conn)
{
  struct evbuffer *input = input_buffer (conn);
  gsize max_bytes = conn->server->options.head_max_bytes;
  gsize length = MIN (evbuffer_get_length (input), max_bytes);
  const char *bytes = (char *)evbuffer_pullup (input, (ev_ssize_t)length);
  gsize head_bytes = ht_head_length (bytes, length, conn->checked_bytes);
  g_autoptr (GError) error = NULL;

  conn->checked_bytes = length;
  if (head_bytes == 0)
    {
      if (has_bare_lf (bytes, length))
        reject_malformed (conn, 400, "malformed");
      else if (length == max_bytes)
        reject_malformed (conn, 431, "head_too_large");
      return FALSE;
    }
  if (!(conn->server->options.host_optional
            ? ht_parse_request_host_optional
            : ht_parse_request) (bytes, head_bytes, &conn->head, &error))
    {
      reject_head (conn, error);
      return FALSE;
    }
  if (conn->head.content_length_bytes > conn->server->options.body_max_bytes)
    {
      reject_malformed (conn, 413, "body_too_large");
      return FALSE;
    }
  conn->head_bytes = head_bytes;
  if (!begin_body (conn) || !keep_within_memory (conn) || !check_expect (conn))
    return FALSE;
  evbuffer_drain (input, head_bytes);
  conn->state = FR_CONN_BODY;
  return TRUE;
}

/* Decodes what has arrived of a chunked body.  Returns TRUE once it is
   complete; FALSE also if it was rejected.  */
static gboolean
read_chunked (FrConn *conn)
{
  struct evbuffer *input = input_buffer (conn);
  uint64_t max_bytes = conn->server->options.body_max_bytes;
  GByteArray *body = mm_block_bytes (conn->body);
  HtChunkResult result = HT_CHUNK_MORE;
  gsize length;

  while (result == HT_CHUNK_MORE
         && (length = evbuffer_get_contiguous_space (input)) > 0)
    {
      gsize used;

      if (!reserve_body (conn, body->len + length))
        return FALSE;
      result = ht_chunk_decode (
          &conn->chunk_decoder,
          (char *)evbuffer_pullup (input, (ev_ssize_t)length), length, &used,
          body);
      evbuffer_drain (input, used);
      conn->encoded_bytes += used;
      if (result != HT_CHUNK_INVALID
          && (body->len > max_bytes
              || conn->encoded_bytes
                     > HT_HEAD_MAX_BYTES + CHUNK_OVERHEAD_FACTOR * max_bytes))
        {
          reject_malformed (conn, 413, "body_too_large");
          return FALSE;
        }
    }
  if (result == HT_CHUNK_INVALID)
    reject_malformed (conn, 400, "malformed");
  return result == HT_CHUNK_DONE;
}

/* Moves what has arrived of a body with a length.  Returns TRUE once it is
   complete.  */
static gboolean
read_length (FrConn *conn)
{
  struct evbuffer *input = input_buffer (conn);
  GByteArray *body = mm_block_bytes (conn->body);
  gsize before = body->len;
  gsize arrived = MIN (evbuffer_get_length (input),
                       conn->head.content_length_bytes - before);

  g_byte_array_set_size (body, (guint)(before + arrived));
  evbuffer_remove (input, body->data + before, arrived);
  return body->len == conn->head.content_length_bytes;
}

static gboolean
read_body (FrConn *conn)
{
  gboolean is_complete;

  if (conn->body == NULL)
    return TRUE;
  is_complete = conn->head.body_framing == HT_BODY_CHUNKED
                    ? read_chunked (conn)
                    : read_length (conn);
  note_body_progress (conn);
  return is_complete;
}

/* While a request is handled, reads on only up to the bound.  Each request
   taken from a full read-ahead buffer would else read more into it than it
   took.  */
static void
limit_read_ahead (FrConn *conn)
{
  if (evbuffer_get_length (conn->read_ahead) > FR_READ_AHEAD_MAX_BYTES)
    bufferevent_disable (conn->bev, EV_READ);
  else
    bufferevent_enable (conn->bev, EV_READ);
}

/* Copies the input.  Its chain of buffers, one for each read, would cost a
   multiple of the bytes where these arrive one by one.  */
static void
move_to_read_ahead (FrConn *conn)
{
  struct evbuffer *input = input_buffer (conn);
  gsize length = evbuffer_get_length (input);

  if (length > 0)
    evbuffer_add (conn->read_ahead, evbuffer_pullup (input, -1), length);
  drain_buffer (input);
  limit_read_ahead (conn);
}

/* Gives libevhtp a request without a body in place of the one that was read,
   since it does not parse all valid heads, nor all forms of "Connection:
   close", and copies bodies.  on_request gets the request from the
   connection.  Bytes after the request move to the read-ahead buffer.  */
static void
replace_message (FrConn *conn)
{
  struct evbuffer *input = input_buffer (conn);
  const char *head = conn->head.keep_alive
                         ? "POST / HTTP/1.1\r\nHost: a\r\n"
                           "Content-Length: 0\r\n\r\n"
                         : "POST / HTTP/1.1\r\nHost: a\r\n"
                           "Content-Length: 0\r\nConnection: close\r\n\r\n";

  move_to_read_ahead (conn);
  evbuffer_prepend (input, head, strlen (head));
}

/* Passes one checked request to libevhtp, which calls fr_conn_dispatch.  */
static void
pass_to_evhtp (FrConn *conn)
{
  FrServer *server = conn->server;
  FrConn *outer_conn = server->parsing_conn;

  conn->in_evhtp_call = TRUE;
  server->parsing_conn = conn;
  conn->evhtp_read (conn->bev, conn->evhtp_data);
  server->parsing_conn = outer_conn;
  if (!leave_evhtp_call (conn))
    return;
  /* libevhtp found no request in the head that it was given.  */
  if (conn->state == FR_CONN_BODY)
    fr_conn_close (conn);
}

/* Returns TRUE once a request is complete.  */
static gboolean
read_request (FrConn *conn)
{
  if (conn->state == FR_CONN_IDLE)
    fr_conn_set_state (conn, FR_CONN_HEAD);
  if (conn->state == FR_CONN_HEAD && !read_head (conn))
    {
      if (conn->state == FR_CONN_HEAD)
        keep_within_memory (conn);
      return FALSE;
    }
  conn->body_read_us = fr_now_us ();
  if (!read_body (conn))
    {
      if (conn->state == FR_CONN_BODY)
        keep_within_memory (conn);
      return FALSE;
    }
  return keep_within_memory (conn);
}

static void
process_input (FrConn *conn)
{
  gboolean is_complete;

  if (evbuffer_get_length (input_buffer (conn)) == 0)
    return;
  is_complete = read_request (conn);
  conn->seen_bytes = evbuffer_get_length (input_buffer (conn));
  if (!is_complete)
    {
      bufferevent_enable (conn->bev, EV_READ);
      return;
    }
  replace_message (conn);
  pass_to_evhtp (conn);
}

static void
on_read (struct bufferevent *bev, void *data)
{
  FrConn *conn = data;

  (void)bev;
  switch (conn->state)
    {
    case FR_CONN_RUNNING:
    case FR_CONN_RESPONDING:
      move_to_read_ahead (conn);
      break;
    case FR_CONN_LINGER:
      drain_buffer (input_buffer (conn));
      break;
    default:
      process_input (conn);
    }
}

static void
start_next_request (FrConn *conn)
{
  clear_request (conn);
  fr_conn_set_state (conn, FR_CONN_IDLE);
  conn->sent_ahead = evbuffer_get_length (conn->read_ahead) > 0;
  if (conn->sent_ahead)
    mm_holder_set_stalled (conn->holder);
  else
    {
      conn->turn_us = conn->since_us;
      mm_holder_note_read (conn->holder, conn->turn_us);
    }
  mm_holder_set_waiting (conn->holder, conn->turn_us);
  mm_holder_shrink (conn->holder, held_bytes (conn));
  if (evbuffer_get_length (conn->read_ahead) == 0)
    {
      /* There is nothing left to read: callers that keep connections without
         requests would otherwise keep others out.  */
      mm_holder_set_stalled (conn->holder);
      bufferevent_enable (conn->bev, EV_READ);
      return;
    }
  evbuffer_prepend_buffer (input_buffer (conn), conn->read_ahead);
  process_input (conn);
}

static void
on_write (struct bufferevent *bev, void *data)
{
  FrConn *conn = data;

  if (conn->state == FR_CONN_LINGER)
    {
      shutdown (bufferevent_getfd (bev), SHUT_WR);
      return;
    }
  if (conn->state != FR_CONN_RESPONDING)
    return;
  conn->in_evhtp_call = TRUE;
  conn->evhtp_write (bev, conn->evhtp_data);
  if (leave_evhtp_call (conn) && conn->evhtp->request == NULL)
    start_next_request (conn);
}

static void
on_event (struct bufferevent *bev, short what, void *data)
{
  FrConn *conn = data;

  /* The caller has sent its last request and may still read the response.  The
     comparison excludes other flags, since a failed write can be reported
     together with the end of input.  */
  if (what == (BEV_EVENT_EOF | BEV_EVENT_READING)
      && conn->state == FR_CONN_RESPONDING)
    {
      evhtp_request_set_keepalive (conn->evhtp_request, 0);
      bufferevent_disable (bev, EV_READ);
      return;
    }
  fr_conn_close (conn);
}

static void
set_peer_address (FrRequest *request, const struct sockaddr *address)
{
  static const uint8_t ipv4_mapped_prefix[12] = { [10] = 0xff, [11] = 0xff };
  const struct sockaddr_in *v4 = (const struct sockaddr_in *)address;
  const struct sockaddr_in6 *v6 = (const struct sockaddr_in6 *)address;

  if (address->sa_family == AF_INET6)
    {
      memcpy (request->peer_address, &v6->sin6_addr, 16);
      request->peer_port = ntohs (v6->sin6_port);
      return;
    }
  memcpy (request->peer_address, ipv4_mapped_prefix,
          sizeof ipv4_mapped_prefix);
  memcpy (request->peer_address + sizeof ipv4_mapped_prefix, &v4->sin_addr, 4);
  request->peer_port = ntohs (v4->sin_port);
}

static void
limit_unsent (const FrConn *conn)
{
  int bytes = UNSENT_MAX_BYTES;

  setsockopt (bufferevent_getfd (conn->bev), IPPROTO_TCP, TCP_NOTSENT_LOWAT,
              &bytes, sizeof bytes);
}

gboolean
fr_conn_accept (FrServer *server, evhtp_connection_t *evhtp)
{
  FrConn *conn = g_new0 (FrConn, 1);

  set_peer_address (&conn->request, evhtp->saddr);
  conn->holder = mm_holder_new (
      server->holders,
      &(MmHolderRequest){ .owner = conn,
                          .address = conn->request.peer_address,
                          .bytes = FR_CONN_BYTES,
                          .now_us = fr_now_us () });
  if (conn->holder == NULL)
    {
      g_free (conn);
      return FALSE;
    }
  conn->server = server;
  conn->evhtp = evhtp;
  conn->bev = evhtp_connection_get_bev (evhtp);
  conn->read_ahead = evbuffer_new ();
  conn->next = server->connections;
  if (conn->next != NULL)
    conn->next->previous = conn;
  server->connections = conn;
  server->counters.accepted_count++;
  server->counters.connection_count++;
  fr_conn_set_state (conn, FR_CONN_IDLE);
  conn->turn_us = conn->since_us;
  evhtp_connection_set_hook (evhtp, evhtp_hook_on_connection_fini,
                             (evhtp_hook)on_fini, conn);
  bufferevent_getcb (conn->bev, &conn->evhtp_read, &conn->evhtp_write,
                     &conn->evhtp_event, &conn->evhtp_data);
  bufferevent_setcb (conn->bev, on_read, on_write, on_event, conn);
  bufferevent_set_max_single_read (conn->bev, READ_MAX_BYTES);
  limit_unsent (conn);
  return TRUE;
}

/* Splits the request target into path and query, in place.  */
static void
split_request_target (FrRequest *request, char *request_target)
{
  char *question_mark = strchr (request_target, '?');

  request->path = request_target;
  request->query = NULL;
  if (question_mark == NULL)
    return;
  *question_mark = '\0';
  request->query = question_mark + 1;
}

void
fr_conn_dispatch (FrConn *conn, evhtp_request_t *evhtp_request)
{
  FrServer *server = conn->server;
  FrRequest *request = &conn->request;
  GByteArray *body = conn->body != NULL ? mm_block_bytes (conn->body) : NULL;

  request->method = conn->head.method;
  split_request_target (request, conn->head.request_target);
  request->headers = conn->head.headers;
  request->body_bytes = body != NULL ? body->len : 0;
  request->body = request->body_bytes > 0 ? body->data : NULL;
  request->arrived_us = conn->since_us;
  request->user_data = NULL;
  conn->evhtp_request = evhtp_request;
  conn->cancel_handler = NULL;
  server->counters.request_count++;
  server->counters.running_count++;
  conn->state = FR_CONN_RUNNING;
  mm_holder_set_busy (conn->holder);
  if (conn->body_holder != NULL)
    mm_holder_set_busy (conn->body_holder);
  server->options.on_request (request, server->options.data);
}

static void
note_response_progress (FrConn *conn, gsize output_bytes, int64_t now_us)
{
  if (conn->response_holder == NULL
      || output_bytes + conn->server->options.progress_bytes
             > conn->progress_bytes)
    return;
  conn->progress_bytes = output_bytes;
  mm_holder_set_waiting (conn->response_holder, now_us);
}

/* Whether output has made no progress for TIMEOUT_US.  */
static gboolean
is_output_stalled (FrConn *conn, int64_t now_us, int64_t timeout_us)
{
  gsize output_bytes
      = evbuffer_get_length (bufferevent_get_output (conn->bev));

  note_response_progress (conn, output_bytes, now_us);
  if (output_bytes != conn->unwritten_bytes)
    {
      if (output_bytes < conn->unwritten_bytes)
        mm_holder_note_read (conn->holder, now_us);
      conn->unwritten_bytes = output_bytes;
      conn->since_us = now_us;
      mm_holder_shrink (conn->holder, held_bytes (conn));
    }
  if (now_us - conn->since_us > STALL_US)
    mm_holder_set_stalled (conn->holder);
  return now_us - conn->since_us > timeout_us;
}

/* Counts what a caller has sent while it is not read from.  Closes the
   connection and returns FALSE if that does not fit.  */
static gboolean
count_unread (FrConn *conn)
{
  int bytes = 0;

  if ((bufferevent_get_enabled (conn->bev) & EV_READ) == 0
      && ioctl (bufferevent_getfd (conn->bev), FIONREAD, &bytes) != 0)
    bytes = 0;
  if ((gsize)bytes == conn->unread_bytes)
    return TRUE;
  conn->unread_bytes = (gsize)bytes;
  if (fr_conn_count_held (conn))
    return TRUE;
  fr_conn_close (conn);
  return FALSE;
}

static void
close_timed_out (FrConn *conn)
{
  conn->server->counters.timeout_count++;
  fr_conn_close (conn);
}

static gboolean
has_unread_bytes (const FrConn *conn)
{
  char byte;

  return recv (bufferevent_getfd (conn->bev), &byte, 1,
               MSG_PEEK | MSG_DONTWAIT)
         > 0;
}

gboolean
fr_conn_has_next_input (const FrConn *conn)
{
  /* During a call of libevhtp the input is the current request.  */
  return evbuffer_get_length (conn->read_ahead) > 0
         || (!conn->in_evhtp_call
             && evbuffer_get_length (input_buffer (conn)) > 0)
         || has_unread_bytes (conn);
}

/* Whether bytes of an incomplete request have arrived that on_read was not
   called for yet.  */
static gboolean
has_unseen_input (const FrConn *conn)
{
  return evbuffer_get_length (input_buffer (conn)) != conn->seen_bytes
         || has_unread_bytes (conn);
}

/* Whether the rest of a head, or the next byte of a body or its end, has not
   arrived in time.  */
static gboolean
is_incomplete_too_long (const FrConn *conn, int64_t now_us)
{
  const FrOptions *options = &conn->server->options;
  int64_t timeout_us = (int64_t)options->request_timeout_ms * 1000;

  if (conn->state == FR_CONN_HEAD)
    return now_us - conn->since_us > timeout_us;
  return now_us - conn->body_read_us > timeout_us
         || now_us - conn->since_us > (int64_t)options->body_timeout_ms * 1000;
}

static void
check_request_timeout (FrConn *conn, int64_t now_us)
{
  if (!is_incomplete_too_long (conn, now_us) || has_unseen_input (conn))
    return;
  conn->server->counters.timeout_count++;
  fr_conn_reject (conn, 408, "request_timeout");
}

static void
check_idle_timeout (FrConn *conn, int64_t age_us)
{
  const FrServer *server = conn->server;
  const FrOptions *options = &server->options;
  gboolean stop_timed_out
      = server->stopping
        && age_us > (int64_t)options->stop_idle_timeout_ms * 1000;
  uint32_t idle_timeout_ms
      = MAX (conn->idle_timeout_ms, options->idle_timeout_ms);
  gboolean timed_out = age_us > (int64_t)idle_timeout_ms * 1000;

  if ((!stop_timed_out && !timed_out) || fr_conn_has_next_input (conn))
    return;
  if (stop_timed_out)
    fr_conn_close (conn);
  else
    close_timed_out (conn);
}

void
fr_conn_check_timeouts (FrConn *conn, int64_t now_us)
{
  const FrOptions *options = &conn->server->options;

  switch (conn->state)
    {
    case FR_CONN_IDLE:
      check_idle_timeout (conn, now_us - conn->since_us);
      break;
    case FR_CONN_HEAD:
    case FR_CONN_BODY:
      check_request_timeout (conn, now_us);
      break;
    case FR_CONN_RUNNING:
      count_unread (conn);
      break;
    case FR_CONN_RESPONDING:
      if (!count_unread (conn))
        break;
      if (is_output_stalled (conn, now_us,
                             (int64_t)options->write_timeout_ms * 1000))
        close_timed_out (conn);
      break;
    case FR_CONN_LINGER:
      if (is_output_stalled (conn, now_us, LINGER_TIMEOUT_US))
        fr_conn_close (conn);
      break;
    }
}
