/* trace.h - structured log lines that never block

   SYNOPSIS
     TrTrace *trace = tr_new (&(TrOptions){ .base = base, .fd = 1,
                                            .vm = "vm1" });
     tr_log (trace, EV_REQUEST_SENT, "request=%s target=%s", id, target);

   DESCRIPTION
     The form of a line is

       time_ms=... vm=... event=NUMBER name=NAME key=value ...

     with the number and name from the catalogue in docs/events.md.  Lines are
     buffered and written together.

     The volume is limited: a token bucket of lines_per_s admits lines of
     EV_LEVEL_DEBUG, mostly about single requests.  Lines of the other levels,
     changes of a daemon's state and warnings, have a bucket of their own, so
     that a flood of requests does not suppress them.  A reader of the
     log that falls behind never blocks the daemon: when the buffer is full,
     lines are dropped.  The number of dropped lines is logged as
     EV_LINES_DROPPED.

   ERRORS
     None.  */

#ifndef TR_TRACE_H
#define TR_TRACE_H

#include <glib.h>
#include <stdint.h>

#include "event/event.h"

struct event_base;

/* Enough for a hundred or more requests a second on one daemon, with all the
   lines about each.  */
#define TR_LINES_PER_S 400
/* Holds the lines of a few seconds at the full rate.  */
#define TR_BUFFER_MAX_BYTES (256 * 1024)

/* A line is cut at this length.  The usual ones have some 300 bytes; an id of
   a request, which its caller chooses, may have 16 KB.  */
#define TR_LINE_MAX_BYTES 2048

typedef struct TrTrace TrTrace;

typedef struct
{
  struct event_base *base;
  int fd; /* of the log; not closed by tr_free */
  const char *vm;
  uint32_t lines_per_s; /* of each bucket; default TR_LINES_PER_S */
} TrOptions;

TrTrace *tr_new (const TrOptions *options);
/* Writes as much of the buffer as does not block; the rest is lost.  */
void tr_free (TrTrace *trace);

/* Appends one line; drops and counts it when its token bucket is empty or the
   buffer is full.  */
void tr_log (TrTrace *trace, EvNumber number, const char *format, ...)
    G_GNUC_PRINTF (3, 4);

/* Lines dropped since tr_new.  */
uint64_t tr_dropped_count (const TrTrace *trace);

#endif
