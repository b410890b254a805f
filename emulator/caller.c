#include "emulator/caller.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/util.h>
#include <string.h>

#include "http/http.h"

/* After the deadline a response may still arrive for this long.  */
#define OVERDUE_MS 1500
#define SPLIT_PERCENT 20
#define CHUNKED_PERCENT 10
#define LEAVE_MAX_US 50000
#define SPLIT_MAX_US 40000
#define RECONNECT_US 2000
#define OBJECT_COUNT 20

typedef enum
{
  STATE_IDLE,
  STATE_SENT,
} State;

struct EmCaller
{
  EmCallerOptions options;
  struct bufferevent *bev; /* NULL: not connected */
  struct event *timer;     /* next request, or the end of the wait */
  struct event *rest_timer;
  State state;
  gboolean is_stopped;
  uint32_t request_count;
  uint32_t cut_count;
  char id[EM_ID_MAX];
  GByteArray *body;
  GByteArray *message; /* head and encoded body */
  gsize sent_bytes;    /* of the message */
  int64_t deadline_us;
};

static void
set_timer (struct event *timer, int64_t delay_us)
{
  struct timeval delay = { delay_us / 1000000, delay_us % 1000000 };

  evtimer_add (timer, &delay);
}

static int32_t
draw (EmCaller *caller, int32_t end)
{
  return g_rand_int_range (caller->options.random, 0, MAX (1, end));
}

static void
disconnect (EmCaller *caller)
{
  g_clear_pointer (&caller->bev, bufferevent_free);
}

static void
schedule_next (EmCaller *caller, int64_t delay_us)
{
  caller->state = STATE_IDLE;
  evtimer_del (caller->rest_timer);
  evtimer_del (caller->timer);
  if (!caller->is_stopped)
    set_timer (caller->timer, delay_us);
}

static gboolean
stalls (EmCaller *caller)
{
  return draw (caller, 100) < (int32_t)caller->options.stall_percent;
}

static int64_t
stall_us (EmCaller *caller)
{
  return g_rand_int_range (caller->options.random,
                           (gint32)caller->options.stall_min_ms * 1000,
                           (gint32)caller->options.stall_max_ms * 1000);
}

static int64_t
pause_us (EmCaller *caller, const HtHeaders *headers)
{
  const char *text = ht_headers_get (headers, "Retry-After");
  int64_t left_us = caller->deadline_us - g_get_monotonic_time ();
  int64_t pause_us
      = draw (caller, (int32_t)caller->options.pause_max_ms * 1000);

  if (text != NULL)
    pause_us = MIN ((int64_t)(g_ascii_strtod (text, NULL) * 1e6), left_us / 3);
  else if (stalls (caller))
    pause_us = stall_us (caller);
  return MAX (1000, pause_us);
}

/* Does nothing while the response is incomplete.  */
static void
take_response (EmCaller *caller)
{
  struct evbuffer *input = bufferevent_get_input (caller->bev);
  gsize length = evbuffer_get_length (input);
  const char *bytes = (char *)evbuffer_pullup (input, -1);
  gsize head_bytes = length > 0 ? ht_head_length (bytes, length, 0) : 0;
  g_auto (HtHead) head = { 0 };
  g_autofree char *body = NULL;

  if (head_bytes == 0)
    return;
  if (!ht_parse_response (bytes, head_bytes, "POST", &head, NULL)
      || length < head_bytes + head.content_length_bytes)
    return;
  body = g_strndup (bytes + head_bytes, head.content_length_bytes);
  em_judge_add_response (
      caller->options.judge,
      &(EmResponse){
          .id = caller->id,
          .status = head.status,
          .body = body,
          .has_signature
          = ht_headers_get (head.headers, "X-Comfreywalk-Upstream-Signature")
            != NULL });
  evbuffer_drain (input, head_bytes + head.content_length_bytes);
  schedule_next (caller, pause_us (caller, head.headers));
  if (!head.keep_alive || caller->sent_bytes < caller->message->len)
    disconnect (caller);
}

static void
on_read (struct bufferevent *bev, void *data)
{
  EmCaller *caller = data;

  (void)bev;
  /* Bytes that no request waits for.  */
  if (caller->state == STATE_IDLE)
    disconnect (caller);
  else
    take_response (caller);
}

static void
end_without_response (EmCaller *caller)
{
  if (caller->state == STATE_SENT
      && g_get_monotonic_time () < caller->deadline_us)
    caller->cut_count++;
  disconnect (caller);
  schedule_next (caller, RECONNECT_US + draw (caller, RECONNECT_US));
}

static void
on_event (struct bufferevent *bev, short what, void *data)
{
  EmCaller *caller = data;

  (void)bev;
  if ((what & BEV_EVENT_CONNECTED) != 0)
    return;
  if (caller->state == STATE_SENT)
    end_without_response (caller);
  else
    disconnect (caller);
}

static gboolean
connect_to_daemon (EmCaller *caller)
{
  const EmCallerOptions *options = &caller->options;
  guint count = g_strv_length ((char **)options->daemons);
  struct sockaddr_storage address = { 0 };
  int length = sizeof address;

  evutil_parse_sockaddr_port (options->daemons[draw (caller, (int32_t)count)],
                              (struct sockaddr *)&address, &length);
  caller->bev
      = bufferevent_socket_new (options->base, -1, BEV_OPT_CLOSE_ON_FREE);
  bufferevent_setcb (caller->bev, on_read, NULL, on_event, caller);
  bufferevent_enable (caller->bev, EV_READ | EV_WRITE);
  if (bufferevent_socket_connect (caller->bev, (struct sockaddr *)&address,
                                  length)
      == 0)
    return TRUE;
  disconnect (caller);
  return FALSE;
}

static void
make_body (EmCaller *caller)
{
  const EmCallerOptions *options = &caller->options;
  uint32_t max_bytes = draw (caller, 100) < (int32_t)options->long_body_percent
                           ? options->long_body_max_bytes
                           : options->body_max_bytes;

  g_byte_array_set_size (caller->body,
                         (guint)draw (caller, (int32_t)max_bytes + 1));
  for (guint i = 0; i < caller->body->len; i++)
    caller->body->data[i] = (guint8)(caller->request_count + i * 31);
}

static void
append_text (GByteArray *bytes, const char *text)
{
  g_byte_array_append (bytes, (const guint8 *)text, (guint)strlen (text));
}

/* Two chunks, either of which may be empty, though not the first in the
   encoding: that would end the body.  */
static void
append_chunks (EmCaller *caller)
{
  const GByteArray *body = caller->body;
  guint cut = (guint)draw (caller, (int32_t)body->len);
  const struct
  {
    guint from;
    guint length;
  } chunks[] = { { 0, cut }, { cut, body->len - cut } };

  for (guint i = 0; i < G_N_ELEMENTS (chunks); i++)
    {
      g_autofree char *size = g_strdup_printf ("%x\r\n", chunks[i].length);
      if (chunks[i].length == 0)
        continue;
      append_text (caller->message, size);
      g_byte_array_append (caller->message, body->data + chunks[i].from,
                           chunks[i].length);
      append_text (caller->message, "\r\n");
    }
  append_text (caller->message, "0\r\n\r\n");
}

static void
make_message (EmCaller *caller)
{
  const EmCallerOptions *options = &caller->options;
  gboolean is_chunked = draw (caller, 100) < CHUNKED_PERCENT;
  g_autofree char *framing
      = is_chunked ? g_strdup ("Transfer-Encoding: chunked")
                   : g_strdup_printf ("Content-Length: %u", caller->body->len);
  g_autofree char *head
      = g_strdup_printf ("POST %s HTTP/1.1\r\nHost: 127.0.0.1\r\n"
                         "X-Comfreywalk-Attempt-Id: %s\r\n"
                         "X-Comfreywalk-Deadline-Ms: %" G_GINT64_FORMAT "\r\n"
                         "Authorization: Token %s\r\n"
                         "Cookie: X-Comfreywalk-Affinity-Key=%d\r\n%s\r\n\r\n",
                         options->path, caller->id, options->deadline_ms,
                         options->key, draw (caller, OBJECT_COUNT), framing);

  g_byte_array_set_size (caller->message, 0);
  append_text (caller->message, head);
  if (is_chunked)
    append_chunks (caller);
  else
    g_byte_array_append (caller->message, caller->body->data,
                         caller->body->len);
}

static void
send_rest (evutil_socket_t fd, short what, void *data)
{
  EmCaller *caller = data;

  (void)fd;
  (void)what;
  if (caller->bev == NULL)
    return;
  bufferevent_write (caller->bev, caller->message->data + caller->sent_bytes,
                     caller->message->len - caller->sent_bytes);
  caller->sent_bytes = caller->message->len;
}

static void
send_message (EmCaller *caller)
{
  gboolean is_stalled = stalls (caller);

  caller->sent_bytes = 0;
  if (!is_stalled && draw (caller, 100) >= SPLIT_PERCENT)
    {
      send_rest (-1, 0, caller);
      return;
    }
  caller->sent_bytes = (gsize)draw (caller, (int32_t)caller->message->len);
  bufferevent_write (caller->bev, caller->message->data, caller->sent_bytes);
  set_timer (caller->rest_timer,
             is_stalled ? stall_us (caller) : 1 + draw (caller, SPLIT_MAX_US));
}

static void
send_request (EmCaller *caller)
{
  const EmCallerOptions *options = &caller->options;
  EmAttempt attempt = { .is_unsafe = options->is_unsafe };
  gboolean leaves = draw (caller, 100) < (int32_t)options->leave_percent;

  g_snprintf (caller->id, sizeof caller->id, "%s-%u", options->name,
              ++caller->request_count);
  make_body (caller);
  make_message (caller);
  attempt.body_hash
      = em_hash (EM_HASH_START, caller->body->data, caller->body->len);
  g_strlcpy (attempt.id, caller->id, sizeof attempt.id);
  em_judge_add_attempt (options->judge, &attempt);
  caller->state = STATE_SENT;
  caller->deadline_us = g_get_monotonic_time () + options->deadline_ms * 1000;
  set_timer (caller->timer, leaves
                                ? 1000 + draw (caller, LEAVE_MAX_US)
                                : (options->deadline_ms + OVERDUE_MS) * 1000);
  send_message (caller);
}

static void
on_timer (evutil_socket_t fd, short what, void *data)
{
  EmCaller *caller = data;

  (void)fd;
  (void)what;
  if (caller->state == STATE_SENT)
    {
      disconnect (caller);
      schedule_next (caller, RECONNECT_US);
      return;
    }
  if (caller->bev != NULL || connect_to_daemon (caller))
    send_request (caller);
  else
    schedule_next (caller, RECONNECT_US);
}

EmCaller *
em_caller_new (const EmCallerOptions *options)
{
  EmCaller *caller = g_new0 (EmCaller, 1);

  caller->options = *options;
  caller->options.name = g_strdup (options->name);
  caller->body = g_byte_array_new ();
  caller->message = g_byte_array_new ();
  caller->timer = evtimer_new (options->base, on_timer, caller);
  caller->rest_timer = evtimer_new (options->base, send_rest, caller);
  schedule_next (caller, 1 + draw (caller, 100000));
  return caller;
}

void
em_caller_stop (EmCaller *caller)
{
  caller->is_stopped = TRUE;
  if (caller->state == STATE_IDLE)
    evtimer_del (caller->timer);
}

void
em_caller_free (EmCaller *caller)
{
  if (caller == NULL)
    return;
  disconnect (caller);
  event_free (caller->timer);
  event_free (caller->rest_timer);
  g_byte_array_unref (caller->body);
  g_byte_array_unref (caller->message);
  g_free ((char *)caller->options.name);
  g_free (caller);
}

uint32_t
em_caller_cut_count (const EmCaller *caller)
{
  return caller->cut_count;
}
