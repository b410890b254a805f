#include <string.h>

#include "backend/link.h"

/* Interim (1xx) and late responses that are skipped for one request.  */
#define SKIPPED_MAX_COUNT 16

typedef enum
{
  PROGRESS_NEED_INPUT, /* or room */
  PROGRESS_CONTINUE,
  PROGRESS_DONE,
} Progress;

/* Sets the failure of CALL; the caller of bk_response_parse ends the call.  */
static Progress
fail_call (BkCall *call, BkFailure failure)
{
  call->result.failure = failure;
  return PROGRESS_DONE;
}

static gsize
max_body_bytes (const BkConn *conn)
{
  return conn->target->pool->options.response_max_bytes;
}

/* Reads nothing of a body with a length until there is room for it.  */
static Progress
wait_for_room (BkConn *conn)
{
  BkCall *call = conn->call;

  if (call->head.content_length_bytes > mm_budget_limit (call->pool->memory))
    return fail_call (call, BK_FAILURE_TOO_LARGE);
  if (conn->target->room_waiter_count >= call->pool->options.waiting_max)
    {
      call->pool->counters.no_room_count++;
      return fail_call (call, BK_FAILURE_MEMORY);
    }
  call->waits_for_room = TRUE;
  conn->target->room_waiter_count++;
  call->want.bytes = call->head.content_length_bytes;
  call->want.since_us = bk_now_us ();
  mm_budget_add_want (call->pool->memory, &call->want);
  g_queue_push_tail_link (&call->pool->room_waiters, &call->room_node);
  event_del (conn->read_event);
  if (call->on_waiting != NULL)
    call->on_waiting (call->data);
  return PROGRESS_NEED_INPUT;
}

/* Checks the length of the body that the head announces.  */
static Progress
start_body (BkConn *conn)
{
  BkCall *call = conn->call;

  /* Without a length the response ends when the connection closes, which is
     valid only if the target announced the close.  */
  if (call->head.body_framing == HT_BODY_CLOSE && call->head.keep_alive)
    return fail_call (call, BK_FAILURE_MALFORMED);
  if (call->head.body_framing == HT_BODY_LENGTH
      && call->head.content_length_bytes > max_body_bytes (conn))
    return fail_call (call, BK_FAILURE_TOO_LARGE);
  call->read_state = BK_READ_BODY;
  if (call->head.body_framing == HT_BODY_LENGTH
      && !mm_block_reserve (call->body, call->head.content_length_bytes))
    return wait_for_room (conn);
  return PROGRESS_CONTINUE;
}

static Progress
skip_interim_response (BkCall *call)
{
  /* After 101 Switching Protocols the connection no longer carries HTTP.  */
  if (call->head.status == 101 || ++call->skipped_count > SKIPPED_MAX_COUNT)
    return fail_call (call, BK_FAILURE_MALFORMED);
  ht_head_clear (&call->head);
  return PROGRESS_CONTINUE;
}

static Progress
read_head (BkConn *conn)
{
  BkCall *call = conn->call;
  gsize length = MIN (evbuffer_get_length (conn->input), HT_HEAD_MAX_BYTES);
  const char *bytes;
  gsize head_bytes;
  gboolean valid;

  if (length == 0)
    return PROGRESS_NEED_INPUT;
  bytes = (char *)evbuffer_pullup (conn->input, (ev_ssize_t)length);
  head_bytes = ht_head_length (bytes, length, 0);
  if (head_bytes == 0)
    return length < HT_HEAD_MAX_BYTES ? PROGRESS_NEED_INPUT
                                      : fail_call (call, BK_FAILURE_MALFORMED);
  valid
      = ht_parse_response (bytes, head_bytes, call->method, &call->head, NULL);
  evbuffer_drain (conn->input, head_bytes);
  if (!valid)
    return fail_call (call, BK_FAILURE_MALFORMED);
  if (call->head.status < 200)
    return skip_interim_response (call);
  return start_body (conn);
}

static void
append_to_body (BkConn *conn, gsize length)
{
  GByteArray *body = mm_block_bytes (conn->call->body);
  gsize before = body->len;

  g_byte_array_set_size (body, (guint)(before + length));
  evbuffer_remove (conn->input, body->data + before, length);
}

static Progress
read_chunks (BkConn *conn)
{
  BkCall *call = conn->call;
  GByteArray *body = mm_block_bytes (call->body);
  gsize length;

  while ((length = evbuffer_get_contiguous_space (conn->input)) > 0)
    {
      const char *bytes
          = (char *)evbuffer_pullup (conn->input, (ssize_t)length);
      gsize used;
      HtChunkResult result
          = ht_chunk_decode (&call->chunk_decoder, bytes, length, &used, body);
      evbuffer_drain (conn->input, used);
      if (result == HT_CHUNK_INVALID)
        return fail_call (call, BK_FAILURE_MALFORMED);
      if (body->len > max_body_bytes (conn))
        return fail_call (call, BK_FAILURE_TOO_LARGE);
      if (result == HT_CHUNK_DONE)
        return PROGRESS_DONE;
    }
  return PROGRESS_NEED_INPUT;
}

static Progress
read_body (BkConn *conn, gboolean closed)
{
  BkCall *call = conn->call;
  const GByteArray *body = mm_block_bytes (call->body);
  gsize available = evbuffer_get_length (conn->input);

  switch (call->head.body_framing)
    {
    case HT_BODY_NONE:
      return PROGRESS_DONE;
    case HT_BODY_CHUNKED:
      return read_chunks (conn);
    case HT_BODY_LENGTH:
      append_to_body (
          conn, MIN (available, call->head.content_length_bytes - body->len));
      return body->len == call->head.content_length_bytes
                 ? PROGRESS_DONE
                 : PROGRESS_NEED_INPUT;
    case HT_BODY_CLOSE:
      if (body->len + available > max_body_bytes (conn))
        return fail_call (call, BK_FAILURE_TOO_LARGE);
      append_to_body (conn, available);
      return closed ? PROGRESS_DONE : PROGRESS_NEED_INPUT;
    }
  return PROGRESS_DONE;
}

gboolean
bk_response_echoes_id (const BkCall *call)
{
  const char *value;

  if (call->echo_header == NULL)
    return FALSE;
  value = ht_headers_get (call->head.headers, call->echo_header);
  return value != NULL && strcmp (value, call->echo_value) == 0;
}

/* Whether the response echoes an id other than that of its request, and so
   belongs to an earlier request on this connection.  */
static gboolean
is_late_response (const BkCall *call)
{
  return call->echo_header != NULL
         && ht_headers_get (call->head.headers, call->echo_header) != NULL
         && !bk_response_echoes_id (call);
}

static Progress
drop_late_response (BkCall *call)
{
  if (call->head.body_framing == HT_BODY_CLOSE
      || ++call->skipped_count > SKIPPED_MAX_COUNT)
    return fail_call (call, BK_FAILURE_MALFORMED);
  call->pool->counters.late_response_count++;
  ht_head_clear (&call->head);
  memset (&call->chunk_decoder, 0, sizeof call->chunk_decoder);
  g_byte_array_set_size (mm_block_bytes (call->body), 0);
  call->read_state = BK_READ_HEAD;
  return PROGRESS_CONTINUE;
}

gboolean
bk_response_lost_its_id (const BkConn *conn)
{
  const BkCall *call = conn->call;

  return conn->target->pool->options.ids_required && call->echo_header != NULL
         && ht_headers_get (call->head.headers, call->echo_header) == NULL;
}

static Progress
read_head_or_body (BkConn *conn, gboolean closed)
{
  BkCall *call = conn->call;
  Progress progress = call->read_state == BK_READ_HEAD
                          ? read_head (conn)
                          : read_body (conn, closed);

  if (progress != PROGRESS_DONE || call->result.failure != BK_FAILURE_NONE)
    return progress;
  if (is_late_response (call))
    return drop_late_response (call);
  /* It may be a second copy of an earlier one on its connection.  */
  if (conn->used && bk_response_lost_its_id (conn))
    {
      call->pool->counters.stray_close_count++;
      return fail_call (call, BK_FAILURE_MALFORMED);
    }
  return PROGRESS_DONE;
}

static gboolean
has_no_length (const BkCall *call)
{
  return call->read_state == BK_READ_BODY
         && call->head.body_framing != HT_BODY_LENGTH;
}

static BkCall *
find_largest_without_length (const BkPool *pool)
{
  BkCall *largest = NULL;

  for (const GList *node = pool->calls.head; node != NULL; node = node->next)
    {
      BkCall *call = node->data;
      if (!call->finished && has_no_length (call)
          && (largest == NULL
              || mm_block_bytes (call->body)->len
                     > mm_block_bytes (largest->body)->len))
        largest = call;
    }
  return largest;
}

/* Counts a body without a length.  If all bodies are above the budget, the
   largest of those without a length is given up: it is the most likely never
   to end.  Returns FALSE if that is CALL, whose failure is then set.  */
static gboolean
limit_body (BkCall *call)
{
  const MmBudget *memory = call->pool->memory;
  BkCall *largest;

  if (!has_no_length (call))
    return TRUE;
  mm_block_force (call->body, mm_block_bytes (call->body)->len);
  if (mm_budget_used (memory) <= mm_budget_limit (memory))
    return TRUE;
  largest = find_largest_without_length (call->pool);
  if (largest == call)
    {
      fail_call (call, BK_FAILURE_TOO_LARGE);
      return FALSE;
    }
  bk_call_finish (largest, BK_FAILURE_TOO_LARGE, FALSE);
  return TRUE;
}

gboolean
bk_response_parse (BkConn *conn, gboolean closed)
{
  BkCall *call = conn->call;
  Progress progress;

  do
    progress = read_head_or_body (conn, closed);
  while (progress == PROGRESS_CONTINUE);
  if (progress == PROGRESS_NEED_INPUT && !limit_body (call))
    return TRUE;
  if (progress == PROGRESS_DONE && call->result.failure == BK_FAILURE_NONE
      && evbuffer_get_length (conn->input) > 0
      && !bk_response_echoes_id (call))
    fail_call (call, BK_FAILURE_MALFORMED);
  if (progress == PROGRESS_NEED_INPUT && closed)
    progress = fail_call (call, BK_FAILURE_CLOSED);
  return progress == PROGRESS_DONE;
}
