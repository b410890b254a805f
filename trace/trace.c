#include "trace/trace.h"

#include <errno.h>
#include <event2/event.h>
#include <poll.h>
#include <stdarg.h>
#include <unistd.h>

#include "clock/clock.h"

/* Lines wait at most this long, so that one write carries many.  */
#define FLUSH_MS 200
/* Written at once when so much has gathered.  */
#define FLUSH_BYTES (16 * 1024)
/* POSIX lets a pipe that polls as writable take this much without waiting.  */
#define CHUNK_BYTES 4096

typedef struct
{
  double tokens;
  int64_t filled_us;
} Bucket;

struct TrTrace
{
  int fd;
  char *vm;
  double lines_per_s;
  GString *buffer;
  struct event *timer;
  Bucket requests;
  Bucket states;
  uint64_t dropped_count;
  uint64_t reported_count; /* of the dropped ones */
};

static void
write_some (TrTrace *trace)
{
  gsize written = 0;

  while (written < trace->buffer->len)
    {
      struct pollfd ready = { .fd = trace->fd, .events = POLLOUT };
      gsize bytes = MIN (CHUNK_BYTES, trace->buffer->len - written);
      ssize_t got;
      if (poll (&ready, 1, 0) != 1 || (ready.revents & POLLOUT) == 0)
        break;
      got = write (trace->fd, trace->buffer->str + written, bytes);
      if (got <= 0)
        break;
      written += (gsize)got;
    }
  g_string_erase (trace->buffer, 0, (gssize)written);
}

static void
report_dropped (TrTrace *trace)
{
  uint64_t count = trace->dropped_count - trace->reported_count;

  if (count == 0 || trace->buffer->len > TR_BUFFER_MAX_BYTES / 2)
    return;
  trace->reported_count = trace->dropped_count;
  g_string_append_printf (trace->buffer,
                          "time_ms=%" G_GINT64_FORMAT
                          " vm=%s event=%d name=%s count=%" G_GUINT64_FORMAT
                          "\n",
                          ck_wall_ms (), trace->vm, EV_LINES_DROPPED,
                          ev_kind (EV_LINES_DROPPED)->name, count);
}

static void
on_flush (evutil_socket_t fd, short what, void *data)
{
  TrTrace *trace = data;

  (void)fd;
  (void)what;
  report_dropped (trace);
  write_some (trace);
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
  trace->buffer = g_string_sized_new (FLUSH_BYTES);
  trace->requests = (Bucket){ trace->lines_per_s, now_us };
  trace->states = trace->requests;
  trace->timer = event_new (options->base, -1, 0, on_flush, trace);
  return trace;
}

void
tr_free (TrTrace *trace)
{
  if (trace == NULL)
    return;
  report_dropped (trace);
  write_some (trace);
  event_free (trace->timer);
  g_string_free (trace->buffer, TRUE);
  g_free (trace->vm);
  g_free (trace);
}

static gboolean
admit (const TrTrace *trace, Bucket *bucket)
{
  int64_t now_us = ck_boot_us ();

  bucket->tokens
      = MIN (trace->lines_per_s,
             bucket->tokens
                 + trace->lines_per_s * (double)(now_us - bucket->filled_us)
                       / CK_US_PER_S);
  bucket->filled_us = now_us;
  if (bucket->tokens < 1)
    return FALSE;
  bucket->tokens -= 1;
  return TRUE;
}

void
tr_line (TrTrace *trace, EvNumber number, const char *format, ...)
{
  const EvKind *kind = ev_kind (number);
  Bucket *bucket
      = kind->level == EV_LEVEL_DEBUG ? &trace->requests : &trace->states;
  struct timeval flush = { 0, FLUSH_MS * 1000 };
  va_list arguments;

  if (trace->buffer->len > TR_BUFFER_MAX_BYTES || !admit (trace, bucket))
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
  g_string_append_c (trace->buffer, '\n');
  if (trace->buffer->len > FLUSH_BYTES)
    write_some (trace);
  else if (!event_pending (trace->timer, EV_TIMEOUT, NULL))
    event_add (trace->timer, &flush);
}

uint64_t
tr_dropped_count (const TrTrace *trace)
{
  return trace->dropped_count;
}
