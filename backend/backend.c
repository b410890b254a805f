#include "backend/backend.h"

#include <string.h>
#include <time.h>

#include "backend/link.h"

#define IDLE_TIMEOUT_MS 5000
#define CONNECT_TIMEOUT_MS 1000
#define WAITING_DIVISOR 3
#define WAITING_MIN 2

int64_t
bk_now_us (void)
{
  struct timespec now;

  clock_gettime (CLOCK_BOOTTIME, &now);
  return (int64_t)now.tv_sec * 1000000 + now.tv_nsec / 1000;
}

const char *
bk_failure_name (BkFailure failure)
{
  static const char *const names[] = {
    [BK_FAILURE_NONE] = "none",           [BK_FAILURE_ADDRESS] = "address",
    [BK_FAILURE_REQUEST] = "request",     [BK_FAILURE_BUSY] = "busy",
    [BK_FAILURE_CONNECT] = "connect",     [BK_FAILURE_TIMEOUT] = "timeout",
    [BK_FAILURE_CLOSED] = "closed",       [BK_FAILURE_MALFORMED] = "malformed",
    [BK_FAILURE_TOO_LARGE] = "too_large", [BK_FAILURE_MEMORY] = "no_memory",
  };

  return names[failure];
}

static void
free_target (gpointer data)
{
  BkTarget *target = data;

  g_assert (target->conn_count == 0);
  g_free (target->address);
  g_free (target);
}

/* Reads on for the calls that wait, in their order, as far as there is room.
 */
static void
on_room (evutil_socket_t fd, short what, void *data)
{
  BkPool *pool = data;

  (void)fd;
  (void)what;
  while (!g_queue_is_empty (&pool->room_waiters)
         && bk_call_take_room (g_queue_peek_head (&pool->room_waiters)))
    ;
}

static void
schedule_room (void *data)
{
  BkPool *pool = data;

  if (!g_queue_is_empty (&pool->room_waiters))
    event_active (pool->room_event, EV_TIMEOUT, 0);
}

BkPool *
bk_pool_new (const BkOptions *options)
{
  BkPool *pool = g_new0 (BkPool, 1);
  BkOptions *copy = &pool->options;

  *copy = *options;
  if (copy->connections_max == 0)
    copy->connections_max = BK_CONNECTIONS_PER_TARGET;
  copy->connections_max = MIN (copy->connections_max, BK_CONNECTIONS_MAX);
  if (copy->waiting_max == 0)
    copy->waiting_max
        = MAX (WAITING_MIN, copy->connections_max / WAITING_DIVISOR);
  if (copy->idle_timeout_ms == 0)
    copy->idle_timeout_ms = IDLE_TIMEOUT_MS;
  if (copy->connect_timeout_ms == 0)
    copy->connect_timeout_ms = CONNECT_TIMEOUT_MS;
  if (copy->response_max_bytes == 0)
    copy->response_max_bytes = BK_RESPONSE_MAX_BYTES;
  copy->response_max_bytes
      = MIN (copy->response_max_bytes, BK_RESPONSE_MAX_BYTES);
  if (copy->buffered_max_bytes == 0)
    copy->buffered_max_bytes = BK_BUFFERED_MAX_BYTES;
  pool->owns_memory = copy->memory == NULL;
  pool->memory = pool->owns_memory ? mm_budget_new (copy->buffered_max_bytes)
                                   : copy->memory;
  pool->room_event = event_new (copy->base, -1, 0, on_room, pool);
  mm_budget_set_on_room (pool->memory, schedule_room, pool);
  pool->targets
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_target);
  return pool;
}

static void
close_idle_conns (BkTarget *target)
{
  while (!g_queue_is_empty (&target->idle))
    bk_conn_close (g_queue_peek_tail (&target->idle));
}

static void
free_call (BkCall *call)
{
  if (call->target != NULL)
    call->target->call_count--;
  g_queue_unlink (&call->pool->calls, &call->pool_node);
  event_free (call->timer);
  g_free (call->method);
  g_free (call->echo_header);
  g_free (call->echo_value);
  g_byte_array_unref (call->encoded_head);
  mm_block_unref (call->body);
  ht_head_clear (&call->head);
  g_free (call);
}

void
bk_call_end_wait (BkCall *call)
{
  if (!call->waits_for_room)
    return;
  call->waits_for_room = FALSE;
  call->target->room_waiter_count--;
  mm_budget_remove_want (call->pool->memory, &call->want);
  g_queue_unlink (&call->pool->room_waiters, &call->room_node);
}

/* Removes CALL from its connection or from the queue.  The connection becomes
   idle if REUSABLE and is closed otherwise.  */
static void
detach_call (BkCall *call, gboolean reusable)
{
  BkConn *conn = call->conn;
  struct timeval idle = { call->pool->options.idle_timeout_ms / 1000,
                          call->pool->options.idle_timeout_ms % 1000 * 1000 };

  call->conn = NULL;
  bk_call_end_wait (call);
  if (conn == NULL)
    {
      if (call->target != NULL)
        g_queue_remove (&call->target->waiting, call);
      return;
    }
  if (!reusable)
    {
      bk_conn_close (conn);
      return;
    }
  conn->call = NULL;
  conn->used = TRUE;
  conn->idle_since_us = bk_now_us ();
  g_queue_push_tail (&conn->target->idle, conn);
  event_del (conn->read_event);
  event_add (conn->read_event, &idle);
}

void
bk_pool_free (BkPool *pool)
{
  GHashTableIter targets;
  gpointer target;

  if (pool == NULL)
    return;
  while (!g_queue_is_empty (&pool->calls))
    {
      BkCall *call = g_queue_peek_head (&pool->calls);
      g_assert (!call->delivering);
      detach_call (call, FALSE);
      free_call (call);
    }
  g_hash_table_iter_init (&targets, pool->targets);
  while (g_hash_table_iter_next (&targets, NULL, &target))
    close_idle_conns (target);
  g_hash_table_unref (pool->targets);
  mm_budget_set_on_room (pool->memory, NULL, NULL);
  event_free (pool->room_event);
  if (pool->owns_memory)
    mm_budget_unref (pool->memory);
  g_free (pool);
}

void
bk_target_free_if_unused (BkTarget *target)
{
  if (target->conn_count == 0 && target->call_count == 0)
    g_hash_table_remove (target->pool->targets, target->address);
}

void
bk_call_finish (BkCall *call, BkFailure failure, gboolean reusable)
{
  BkResult *result = &call->result;

  g_assert (!call->finished);
  g_assert (result->complete == (failure == BK_FAILURE_NONE));
  call->finished = TRUE;
  result->failure = failure;
  if (result->complete)
    {
      ht_remove_hop_by_hop (call->head.headers);
      result->status = call->head.status;
      result->headers = call->head.headers;
      result->block = call->body;
      result->body = mm_block_bytes (call->body)->data;
      result->body_bytes = mm_block_bytes (call->body)->len;
    }
  detach_call (call, reusable);
  event_active (call->timer, EV_TIMEOUT, 0);
}

static void
start_deadline_timer (BkCall *call)
{
  int64_t remaining_us = MAX (0, call->deadline_us - bk_now_us ());
  struct timeval timeout = { remaining_us / 1000000, remaining_us % 1000000 };

  event_add (call->timer, &timeout);
}

/* The timer counts from the start of the event loop's turn in which it was
   set, so it may fire early.  Each turn reads a part of the response, so after
   a pause of the process there may be more to read.  */
static void
on_deadline (BkCall *call)
{
  if (bk_now_us () < call->deadline_us)
    {
      start_deadline_timer (call);
      return;
    }
  if (call->conn != NULL)
    bk_conn_read_arrived (call->conn);
  if (!call->finished)
    bk_call_finish (call, BK_FAILURE_TIMEOUT, FALSE);
}

/* Calls the callback of CALL and frees CALL.  */
static void
deliver (BkCall *call)
{
  BkTarget *target = call->target;

  if (target != NULL)
    bk_target_dispatch (target);
  call->delivering = TRUE;
  call->on_done (&call->result, call->data);
  free_call (call);
  if (target != NULL)
    bk_target_free_if_unused (target);
}

/* Delivers the result, or ends the call at its deadline.  */
static void
on_timer (evutil_socket_t fd, short what, void *data)
{
  BkCall *call = data;

  (void)fd;
  (void)what;
  if (call->finished)
    deliver (call);
  else
    on_deadline (call);
}

static gboolean
is_recently_used (const BkConn *conn, const BkCall *call)
{
  return call->idle_max_us == 0
         || bk_now_us () - conn->idle_since_us <= call->idle_max_us;
}

/* Whether CONN has carried an earlier send of the request of CALL, or may
   have.  */
static gboolean
has_carried (const BkConn *conn, const BkCall *call)
{
  const BkSends *sends = call->sends;

  if (sends == NULL)
    return FALSE;
  for (uint32_t i = 0; i < sends->count; i++)
    if (sends->connections[i] == conn->number)
      return TRUE;
  return sends->count == BK_SENDS_MAX;
}

/* Returns the most recently used idle connection that CALL may use and closes
   the more recent ones that no call may.  */
static BkConn *
find_idle_conn (BkTarget *target, const BkCall *call)
{
  GList *next;

  for (GList *node = target->idle.tail; node != NULL; node = next)
    {
      BkConn *conn = node->data;

      next = node->prev;
      if (!is_recently_used (conn, call) || !bk_conn_is_usable (conn))
        bk_conn_close (conn);
      else if (!has_carried (conn, call))
        return conn;
    }
  return NULL;
}

/* Whether a connection may be opened, which takes the place of an idle one
   where there are as many as there may be.  */
static gboolean
make_room (BkTarget *target)
{
  if (target->conn_count < target->pool->options.connections_max)
    return TRUE;
  if (g_queue_is_empty (&target->idle))
    return FALSE;
  bk_conn_close (g_queue_peek_head (&target->idle));
  return TRUE;
}

void
bk_target_dispatch (BkTarget *target)
{
  while (!g_queue_is_empty (&target->waiting))
    {
      BkConn *conn
          = find_idle_conn (target, g_queue_peek_head (&target->waiting));
      BkCall *call;

      if (conn == NULL && !make_room (target))
        return;
      call = g_queue_pop_head (&target->waiting);
      if (conn != NULL)
        {
          call->conn = conn;
          bk_conn_reuse (conn, call);
          continue;
        }
      call->conn = bk_conn_open (target, call);
      if (call->conn == NULL)
        bk_call_finish (call, BK_FAILURE_CONNECT, FALSE);
    }
  bk_target_free_if_unused (target);
}

void
bk_call_requeue (BkCall *call)
{
  BkTarget *target = call->target;

  detach_call (call, FALSE);
  g_queue_push_head (&target->waiting, call);
  bk_target_dispatch (target);
}

static BkTarget *
find_target (BkPool *pool, const char *address)
{
  BkTarget *target = g_hash_table_lookup (pool->targets, address);
  struct sockaddr_storage sockaddr = { 0 };
  int length = sizeof sockaddr;

  if (target != NULL)
    return target;
  if (strrchr (address, ':') == NULL
      || evutil_parse_sockaddr_port (address, (struct sockaddr *)&sockaddr,
                                     &length)
             != 0)
    return NULL;
  target = g_new0 (BkTarget, 1);
  target->pool = pool;
  target->address = g_strdup (address);
  target->sockaddr = sockaddr;
  target->sockaddr_bytes = (socklen_t)length;
  g_hash_table_insert (pool->targets, target->address, target);
  return target;
}

/* Whether the header NAME of a request is ignored, as this package frames the
   request itself.  */
static gboolean
is_framing_header (const char *name)
{
  return g_ascii_strcasecmp (name, "Content-Length") == 0
         || g_ascii_strcasecmp (name, "Transfer-Encoding") == 0
         || g_ascii_strcasecmp (name, "Connection") == 0
         || g_ascii_strcasecmp (name, "Expect") == 0;
}

static void
append_text (GByteArray *bytes, const char *text)
{
  g_byte_array_append (bytes, (const guint8 *)text, (guint)strlen (text));
}

static void
append_header (GByteArray *bytes, const char *name, const char *value)
{
  append_text (bytes, name);
  append_text (bytes, ": ");
  append_text (bytes, value);
  append_text (bytes, "\r\n");
}

static gboolean
is_valid_request_target (const char *target)
{
  if (*target != '/')
    return FALSE;
  for (; *target != '\0'; target++)
    if (*target <= ' ' || *target >= 0x7f)
      return FALSE;
  return TRUE;
}

/* Returns FALSE if the method, the request target or a header is invalid and
   would break the framing of the request.  */
static gboolean
format_request (GByteArray *bytes, const BkRequest *request)
{
  const HtHeaders *headers = request->headers;
  gboolean needs_length = request->body_bytes > 0
                          || (strcmp (request->method, "GET") != 0
                              && strcmp (request->method, "HEAD") != 0);
  char length[24];

  if (!ht_is_token (request->method)
      || !is_valid_request_target (request->request_target))
    return FALSE;
  append_text (bytes, request->method);
  append_text (bytes, " ");
  append_text (bytes, request->request_target);
  append_text (bytes, " HTTP/1.1\r\n");
  if (headers == NULL || ht_headers_get (headers, "Host") == NULL)
    append_header (bytes, "Host", request->address);
  for (uint32_t i = 0; headers != NULL && i < headers->count; i++)
    {
      const HtHeader *header = &headers->items[i];
      if (!ht_is_token (header->name) || !ht_is_header_value (header->value))
        return FALSE;
      if (!is_framing_header (header->name))
        append_header (bytes, header->name, header->value);
    }
  g_snprintf (length, sizeof length, "%" G_GSIZE_FORMAT, request->body_bytes);
  if (needs_length)
    append_header (bytes, "Content-Length", length);
  append_text (bytes, "\r\n");
  if (request->body_bytes > 0 && !request->keeps_body)
    g_byte_array_append (bytes, request->body, (guint)request->body_bytes);
  return TRUE;
}

BkCall *
bk_request (BkPool *pool, const BkRequest *request)
{
  BkCall *call = g_new0 (BkCall, 1);

  call->pool = pool;
  call->pool_node.data = call;
  g_queue_push_tail_link (&pool->calls, &call->pool_node);
  call->timer = event_new (pool->options.base, -1, 0, on_timer, call);
  call->method = g_strdup (request->method);
  call->encoded_head = g_byte_array_new ();
  if (request->keeps_body)
    {
      call->sent_body = request->body;
      call->sent_body_bytes = request->body_bytes;
    }
  call->body = mm_block_new (pool->memory);
  call->room_node.data = call;
  call->echo_header = g_strdup (request->echo_header);
  call->echo_value = g_strdup (request->echo_value);
  call->sends = request->sends;
  call->idle_max_us = request->idle_max_us;
  call->on_done = request->on_done;
  call->on_waiting = request->on_waiting;
  if (request->caller_address != NULL)
    memcpy (call->want.address, request->caller_address,
            sizeof call->want.address);
  call->data = request->data;
  if (!format_request (call->encoded_head, request))
    {
      bk_call_finish (call, BK_FAILURE_REQUEST, FALSE);
      return call;
    }
  call->target = find_target (pool, request->address);
  if (call->target == NULL)
    {
      bk_call_finish (call, BK_FAILURE_ADDRESS, FALSE);
      return call;
    }
  call->target->call_count++;
  if (call->target->waiting.length >= BK_WAITING_MAX_COUNT)
    {
      bk_call_finish (call, BK_FAILURE_BUSY, FALSE);
      return call;
    }
  if (request->deadline_us <= bk_now_us ())
    {
      bk_call_finish (call, BK_FAILURE_TIMEOUT, FALSE);
      return call;
    }
  call->deadline_us = request->deadline_us;
  start_deadline_timer (call);
  g_queue_push_tail (&call->target->waiting, call);
  bk_target_dispatch (call->target);
  return call;
}

gsize
bk_call_request_bytes (const BkCall *call)
{
  return call->encoded_head->len + call->sent_body_bytes;
}

gboolean
bk_deliver_arrived (BkCall *call)
{
  g_assert (!call->delivering);
  if (call->conn != NULL)
    bk_conn_read_arrived (call->conn);
  if (!call->finished)
    return FALSE;
  deliver (call);
  return TRUE;
}

BkSent
bk_cancel (BkCall *call)
{
  BkSent sent = call->result.sent;
  BkTarget *target = call->target;

  g_assert (!call->delivering);
  if (!call->finished)
    detach_call (call, FALSE);
  free_call (call);
  if (target != NULL)
    bk_target_dispatch (target);
  return sent;
}

void
bk_close_idle (BkPool *pool, const char *address)
{
  BkTarget *target = g_hash_table_lookup (pool->targets, address);

  if (target == NULL)
    return;
  close_idle_conns (target);
  bk_target_free_if_unused (target);
}

const BkCounters *
bk_counters (const BkPool *pool)
{
  return &pool->counters;
}

uint32_t
bk_connection_count (const BkPool *pool, const char *address)
{
  const BkTarget *target = g_hash_table_lookup (pool->targets, address);

  return target != NULL ? target->conn_count : 0;
}
