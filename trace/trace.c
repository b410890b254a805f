#include "trace/trace.h"

#include <errno.h>
#include <event2/event.h>
#include <poll.h>
#include <stdarg.h>
#include <unistd.h>

#include "clock/clock.h"

/* Lines are buffered for at most this time, so that one write outputs many. */
#define FLUSH_DELAY_MS 200
/* A buffer above this size is written without waiting for the timer.  */
#define FLUSH_THRESHOLD_BYTES (16 * 1024)
/* POSIX: a write of this size to a pipe that polls as writable does not
   block.  */
#define WRITE_MAX_BYTES 4096

typedef struct
{
  double tokens;
  int64_t refilled_us;
} TokenBucket;

struct TrTrace
{
  int fd;
  char *vm;
  double lines_per_s;
  GString *buffer;
  struct event *timer;
  TokenBucket request_bucket;
  TokenBucket state_bucket;
  uint64_t dropped_count;
  uint64_t reported_dropped_count;
};

/* Writes what the reader takes without blocking; the rest stays in the
   buffer.  */
static void
flush_buffer (TrTrace *trace)
{
  gsize written_bytes = 0;

  while (written_bytes < trace->buffer->len)
    {
      struct pollfd poll_fd = { .fd = trace->fd, .events = POLLOUT };
      gsize bytes = MIN (WRITE_MAX_BYTES, trace->buffer->len - written_bytes);
      ssize_t result;
      if (poll (&poll_fd, 1, 0) != 1 || (poll_fd.revents & POLLOUT) == 0)
        break;
      result = write (trace->fd, trace->buffer->str + written_bytes, bytes);
      if (result <= 0)
        break;
      written_bytes += (gsize)result;
    }
  g_string_erase (trace->buffer, 0, (gssize)written_bytes);
}

/* Logs how many lines were dropped since the last such line, once the buffer
   is at most half full.  */
static void
report_dropped (TrTrace *trace)
{
  uint64_t count = trace->dropped_count - trace->reported_dropped_count;

  if (count == 0 || trace->buffer->len > TR_BUFFER_MAX_BYTES / 2)
    return;
  trace->reported_dropped_count = trace->dropped_count;
  g_string_append_printf (trace->buffer,
                          "time_ms=%" G_GINT64_FORMAT
                          " vm=%s event=%d name=%s count=%" G_GUINT64_FORMAT
                          "\n",
                          ck_wall_ms (), trace->vm, EV_LINES_DROPPED,
                          ev_find_kind (EV_LINES_DROPPED)->name, count);
}

static void
on_flush_timer (evutil_socket_t fd, short what, void *data)
{
  TrTrace *trace = data;

  (void)fd;
  (void)what;
  report_dropped (trace);
  flush_buffer (trace);
}

TrTrace *
tr_new (const TrOptions *options)
{
  TrTrace *trace = g_new0 (TrTrace, 1);
  int64_t now_us = ck_boot_us ();

  trace->fd = options->fd;
  trace->vm = g_strdup (options->vm);
  trace->lines_per_s
      = options->lines_per_s > 0 ? options->lines_per_s : TR_LINES_PER_S;
  trace->buffer = g_string_sized_new (FLUSH_THRESHOLD_BYTES);
  trace->request_bucket = (TokenBucket){ trace->lines_per_s, now_us };
  trace->state_bucket = trace->request_bucket;
  trace->timer = event_new (options->base, -1, 0, on_flush_timer, trace);
  return trace;
}

void
tr_free (TrTrace *trace)
{
  if (trace == NULL)
    return;
  report_dropped (trace);
  flush_buffer (trace);
  event_free (trace->timer);
  g_string_free (trace->buffer, TRUE);
  g_free (trace->vm);
  g_free (trace);
}

static gboolean
take_token (const TrTrace *trace, TokenBucket *bucket)
{
  int64_t now_us = ck_boot_us ();

  bucket->tokens
      = MIN (trace->lines_per_s,
             bucket->tokens
                 + trace->lines_per_s * (double)(now_us - bucket->refilled_us)
                       / CK_US_PER_S);
  bucket->refilled_us = now_us;
  if (bucket->tokens < 1)
    return FALSE;
  bucket->tokens -= 1;
  return TRUE;
}

void
tr_log (TrTrace *trace, EvNumber number, const char *format, ...)
{
  const EvKind *kind = ev_find_kind (number);
  TokenBucket *bucket = kind->level == EV_LEVEL_DEBUG ? &trace->request_bucket
                                                      : &trace->state_bucket;
  struct timeval flush_delay = { 0, FLUSH_DELAY_MS * 1000 };
  gsize start = trace->buffer->len;
  va_list arguments;

  if (trace->buffer->len > TR_BUFFER_MAX_BYTES || !take_token (trace, bucket))
    {
      trace->dropped_count++;
      return;
    }
  g_string_append_printf (
      trace->buffer, "time_ms=%" G_GINT64_FORMAT " vm=%s event=%d name=%s ",
      ck_wall_ms (), trace->vm, (int)number, kind->name);
  va_start (arguments, format);
  g_string_append_vprintf (trace->buffer, format, arguments);
  va_end (arguments);
  if (trace->buffer->len - start > TR_LINE_MAX_BYTES)
    g_string_truncate (trace->buffer, start + TR_LINE_MAX_BYTES);
  g_string_append_c (trace->buffer, '\n');
  if (trace->buffer->len > FLUSH_THRESHOLD_BYTES)
    flush_buffer (trace);
  else if (!event_pending (trace->timer, EV_TIMEOUT, NULL))
    event_add (trace->timer, &flush_delay);
}

uint64_t
tr_dropped_count (const TrTrace *trace)
{
  return trace->dropped_count;
}
