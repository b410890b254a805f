#include <string.h>

#include "backend/link.h"

/* Interim answers before the final one.  */
#define INTERIM_MAX_COUNT 16

typedef enum
{
  STEP_MORE,
  STEP_NEXT,
  STEP_OVER,
} Step;

static Step
fail (BkCall *call, BkFailure failure)
{
  call->result.failure = failure;
  return STEP_OVER;
}

static gsize
max_body_bytes (const BkLink *link)
{
  return link->target->pool->options.answer_max_bytes;
}

/* Checks what the head says about the body.  */
static Step
start_body (BkLink *link)
{
  BkCall *call = link->call;

  /* Without a length the end of the connection is the end of the answer, and
     only a sender that announced the close can mean that.  */
  if (call->head.body == HT_BODY_CLOSE && call->head.keep_alive)
    return fail (call, BK_FAILURE_MALFORMED);
  if (call->head.body == HT_BODY_LENGTH
      && call->head.length_bytes > max_body_bytes (link))
    return fail (call, BK_FAILURE_TOO_LARGE);
  call->reading = BK_READ_BODY;
  return STEP_NEXT;
}

static Step
skip_interim (BkCall *call)
{
  if (call->head.status == 101 || ++call->interim_count > INTERIM_MAX_COUNT)
    return fail (call, BK_FAILURE_MALFORMED);
  ht_head_clear (&call->head);
  return STEP_NEXT;
}

static Step
read_head (BkLink *link)
{
  BkCall *call = link->call;
  gsize length = MIN (evbuffer_get_length (link->in), HT_HEAD_MAX_BYTES);
  const char *bytes;
  gsize head_bytes;
  gboolean valid;

  if (length == 0)
    return STEP_MORE;
  bytes = (char *)evbuffer_pullup (link->in, (ev_ssize_t)length);
  head_bytes = ht_head_length (bytes, length, 0);
  if (head_bytes == 0)
    return length < HT_HEAD_MAX_BYTES ? STEP_MORE
                                      : fail (call, BK_FAILURE_MALFORMED);
  valid = ht_parse_answer (bytes, head_bytes, call->method, &call->head, NULL);
  evbuffer_drain (link->in, head_bytes);
  if (!valid)
    return fail (call, BK_FAILURE_MALFORMED);
  if (call->head.status < 200)
    return skip_interim (call);
  return start_body (link);
}

static void
take_bytes (BkLink *link, gsize length)
{
  GByteArray *body = link->call->body;
  gsize before = body->len;

  g_byte_array_set_size (body, (guint)(before + length));
  evbuffer_remove (link->in, body->data + before, length);
}

static Step
read_chunks (BkLink *link)
{
  BkCall *call = link->call;
  gsize length;

  while ((length = evbuffer_get_contiguous_space (link->in)) > 0)
    {
      const char *bytes = (char *)evbuffer_pullup (link->in, (ssize_t)length);
      gsize used;
      HtChunkResult result
          = ht_chunk_feed (&call->chunked, bytes, length, &used, call->body);
      evbuffer_drain (link->in, used);
      if (result == HT_CHUNK_INVALID)
        return fail (call, BK_FAILURE_MALFORMED);
      if (call->body->len > max_body_bytes (link))
        return fail (call, BK_FAILURE_TOO_LARGE);
      if (result == HT_CHUNK_DONE)
        return STEP_OVER;
    }
  return STEP_MORE;
}

static Step
read_body (BkLink *link, gboolean closed)
{
  BkCall *call = link->call;
  gsize available = evbuffer_get_length (link->in);

  switch (call->head.body)
    {
    case HT_BODY_NONE:
      return STEP_OVER;
    case HT_BODY_CHUNKED:
      return read_chunks (link);
    case HT_BODY_LENGTH:
      take_bytes (link,
                  MIN (available, call->head.length_bytes - call->body->len));
      return call->body->len == call->head.length_bytes ? STEP_OVER
                                                        : STEP_MORE;
    case HT_BODY_CLOSE:
      if (call->body->len + available > max_body_bytes (link))
        return fail (call, BK_FAILURE_TOO_LARGE);
      take_bytes (link, available);
      return closed ? STEP_OVER : STEP_MORE;
    }
  return STEP_OVER;
}

gboolean
bk_answer_is_echo (const BkCall *call)
{
  const char *value;

  if (call->echo_name == NULL)
    return FALSE;
  value = ht_headers_get (call->head.headers, call->echo_name);
  return value != NULL && strcmp (value, call->echo_value) == 0;
}

/* The whole answer belongs to an earlier request on this connection.  */
static gboolean
is_stray (const BkCall *call)
{
  return call->echo_name != NULL
         && ht_headers_get (call->head.headers, call->echo_name) != NULL
         && !bk_answer_is_echo (call);
}

static Step
drop_stray (BkCall *call)
{
  if (call->head.body == HT_BODY_CLOSE
      || ++call->interim_count > INTERIM_MAX_COUNT)
    return fail (call, BK_FAILURE_MALFORMED);
  ht_head_clear (&call->head);
  memset (&call->chunked, 0, sizeof call->chunked);
  g_byte_array_set_size (call->body, 0);
  call->reading = BK_READ_HEAD;
  return STEP_NEXT;
}

static Step
read_step (BkLink *link, gboolean closed)
{
  BkCall *call = link->call;
  Step step = call->reading == BK_READ_HEAD ? read_head (link)
                                            : read_body (link, closed);

  if (step == STEP_OVER && call->result.failure == BK_FAILURE_NONE
      && is_stray (call))
    return drop_stray (call);
  return step;
}

gboolean
bk_answer_read (BkLink *link, gboolean closed)
{
  BkCall *call = link->call;
  Step step;

  do
    step = read_step (link, closed);
  while (step == STEP_NEXT);
  if (step == STEP_OVER && call->result.failure == BK_FAILURE_NONE
      && evbuffer_get_length (link->in) > 0 && !bk_answer_is_echo (call))
    fail (call, BK_FAILURE_MALFORMED);
  if (step == STEP_MORE && closed)
    step = fail (call, BK_FAILURE_CLOSED);
  return step == STEP_OVER;
}
