#include "backend/backend.h"

#include <string.h>
#include <time.h>

#include "backend/link.h"

#define IDLE_MS 5000
#define CONNECT_TIMEOUT_MS 1000

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
    [BK_FAILURE_TOO_LARGE] = "too_large",
  };

  return names[failure];
}

static void
free_target (gpointer data)
{
  BkTarget *target = data;

  g_assert (target->link_count == 0);
  g_free (target->address);
  g_free (target);
}

BkPool *
bk_pool_new (const BkOptions *options)
{
  BkPool *pool = g_new0 (BkPool, 1);
  BkOptions *own = &pool->options;

  *own = *options;
  if (own->connections_max == 0)
    own->connections_max = BK_CONNECTIONS_PER_TARGET;
  own->connections_max = MIN (own->connections_max, BK_CONNECTIONS_MAX);
  if (own->idle_ms == 0)
    own->idle_ms = IDLE_MS;
  if (own->connect_timeout_ms == 0)
    own->connect_timeout_ms = CONNECT_TIMEOUT_MS;
  if (own->answer_max_bytes == 0)
    own->answer_max_bytes = BK_ANSWER_MAX_BYTES;
  own->answer_max_bytes = MIN (own->answer_max_bytes, BK_ANSWER_MAX_BYTES);
  pool->targets
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_target);
  return pool;
}

static void
close_idle (BkTarget *target)
{
  while (!g_queue_is_empty (&target->idle))
    bk_link_close (g_queue_peek_tail (&target->idle));
}

static void
free_call (BkCall *call)
{
  if (call->target != NULL)
    call->target->call_count--;
  g_queue_unlink (&call->pool->calls, &call->pool_node);
  event_free (call->timer);
  g_free (call->method);
  g_free (call->echo_name);
  g_free (call->echo_value);
  g_byte_array_unref (call->bytes);
  g_byte_array_unref (call->body);
  ht_head_clear (&call->head);
  g_free (call);
}

/* Leaves the link or the queue; a link goes back to its target or is
   closed.  */
static void
detach (BkCall *call, gboolean reusable)
{
  BkLink *link = call->link;
  struct timeval idle = { call->pool->options.idle_ms / 1000,
                          call->pool->options.idle_ms % 1000 * 1000 };

  call->link = NULL;
  if (link == NULL)
    {
      if (call->target != NULL)
        g_queue_remove (&call->target->waiting, call);
      return;
    }
  if (!reusable)
    {
      bk_link_close (link);
      return;
    }
  link->call = NULL;
  link->used = TRUE;
  link->idle_since_us = bk_now_us ();
  g_queue_push_tail (&link->target->idle, link);
  event_del (link->read_event);
  event_add (link->read_event, &idle);
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
      detach (call, FALSE);
      free_call (call);
    }
  g_hash_table_iter_init (&targets, pool->targets);
  while (g_hash_table_iter_next (&targets, NULL, &target))
    close_idle (target);
  g_hash_table_unref (pool->targets);
  g_free (pool);
}

void
bk_target_release (BkTarget *target)
{
  if (target->link_count == 0 && target->call_count == 0)
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
      result->body = call->body->data;
      result->body_bytes = call->body->len;
    }
  detach (call, reusable);
  event_active (call->timer, EV_TIMEOUT, 0);
}

/* Delivers the result, or ends the call at its deadline.  */
static void
on_timer (evutil_socket_t fd, short what, void *data)
{
  BkCall *call = data;
  BkTarget *target = call->target;

  (void)fd;
  (void)what;
  if (!call->finished)
    {
      bk_call_finish (call, BK_FAILURE_TIMEOUT, FALSE);
      return;
    }
  if (target != NULL)
    bk_target_dispatch (target);
  call->delivering = TRUE;
  call->on_done (&call->result, call->data);
  free_call (call);
  if (target != NULL)
    bk_target_release (target);
}

static gboolean
is_young (const BkLink *link, const BkCall *call)
{
  return call->idle_max_us == 0
         || bk_now_us () - link->idle_since_us <= call->idle_max_us;
}

/* The most recently used idle link that is still open and quiet.  */
static BkLink *
take_idle (BkTarget *target, const BkCall *call)
{
  while (!g_queue_is_empty (&target->idle))
    {
      BkLink *link = g_queue_peek_tail (&target->idle);
      if (is_young (link, call) && bk_link_is_quiet (link))
        return link;
      bk_link_close (link);
    }
  return NULL;
}

void
bk_target_dispatch (BkTarget *target)
{
  while (!g_queue_is_empty (&target->waiting))
    {
      BkLink *link = take_idle (target, g_queue_peek_head (&target->waiting));
      BkCall *call;

      if (link == NULL
          && target->link_count >= target->pool->options.connections_max)
        return;
      call = g_queue_pop_head (&target->waiting);
      if (link != NULL)
        {
          call->link = link;
          bk_link_reuse (link, call);
          continue;
        }
      call->link = bk_link_open (target, call);
      if (call->link == NULL)
        bk_call_finish (call, BK_FAILURE_CONNECT, FALSE);
    }
  bk_target_release (target);
}

void
bk_call_again (BkCall *call)
{
  BkTarget *target = call->target;

  detach (call, FALSE);
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

/* The package frames the request itself.  */
static gboolean
is_framing (const char *name)
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
is_target (const char *target)
{
  if (*target != '/')
    return FALSE;
  for (; *target != '\0'; target++)
    if (*target <= ' ' || *target >= 0x7f)
      return FALSE;
  return TRUE;
}

/* Returns FALSE when a part of the request would break its framing.  */
static gboolean
format_request (GByteArray *bytes, const BkRequest *request)
{
  const HtHeaders *headers = request->headers;
  gboolean needs_length = request->body_bytes > 0
                          || (strcmp (request->method, "GET") != 0
                              && strcmp (request->method, "HEAD") != 0);
  char length[24];

  if (!ht_is_token (request->method) || !is_target (request->target))
    return FALSE;
  append_text (bytes, request->method);
  append_text (bytes, " ");
  append_text (bytes, request->target);
  append_text (bytes, " HTTP/1.1\r\n");
  if (headers == NULL || ht_headers_get (headers, "Host") == NULL)
    append_header (bytes, "Host", request->address);
  for (uint32_t i = 0; headers != NULL && i < headers->count; i++)
    {
      const HtHeader *header = &headers->items[i];
      if (!ht_is_token (header->name) || !ht_is_value (header->value))
        return FALSE;
      if (!is_framing (header->name))
        append_header (bytes, header->name, header->value);
    }
  g_snprintf (length, sizeof length, "%" G_GSIZE_FORMAT, request->body_bytes);
  if (needs_length)
    append_header (bytes, "Content-Length", length);
  append_text (bytes, "\r\n");
  if (request->body_bytes > 0)
    g_byte_array_append (bytes, request->body, (guint)request->body_bytes);
  return TRUE;
}

static void
start_deadline (BkCall *call, int64_t deadline_us)
{
  int64_t left_us = MAX (0, deadline_us - bk_now_us ());
  struct timeval timeout = { left_us / 1000000, left_us % 1000000 };

  event_add (call->timer, &timeout);
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
  call->bytes = g_byte_array_new ();
  call->body = g_byte_array_new ();
  call->echo_name = g_strdup (request->echo_name);
  call->echo_value = g_strdup (request->echo_value);
  call->idle_max_us = request->idle_max_us;
  call->on_done = request->on_done;
  call->data = request->data;
  if (!format_request (call->bytes, request))
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
  start_deadline (call, request->deadline_us);
  g_queue_push_tail (&call->target->waiting, call);
  bk_target_dispatch (call->target);
  return call;
}

BkSent
bk_cancel (BkCall *call)
{
  BkSent sent = call->result.sent;
  BkTarget *target = call->target;

  g_assert (!call->delivering);
  if (!call->finished)
    detach (call, FALSE);
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
  close_idle (target);
  bk_target_release (target);
}

uint32_t
bk_connection_count (const BkPool *pool, const char *address)
{
  const BkTarget *target = g_hash_table_lookup (pool->targets, address);

  return target != NULL ? target->link_count : 0;
}
