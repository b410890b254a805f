/* trace.h - structured log lines that never block

   SYNOPSIS
     TrTrace *trace = tr_new (&(TrOptions){ .base = base, .fd = 1,
                                            .vm = "vm1" });
     tr_line (trace, EV_REQUEST_SENT, "request=%s target=%s", id, target);

   DESCRIPTION
     A line is "time_ms=... vm=... event=NUMBER name=NAME key=value ...", with
     the number and name from the catalogue in docs/events.md.  Lines are
     gathered and written together.

     The volume is bounded: a token bucket of lines_per_s admits lines about
     requests; warnings and what changes a daemon's state have a bucket of
     their own, so that a flood of requests does not hide them.  A reader that
     falls behind costs lines, never time: when the buffer is full, lines are
     dropped.  What was dropped is reported by a line of its own.

   ERRORS
     None.  */

#ifndef TR_TRACE_H
#define TR_TRACE_H

#include <glib.h>
#include <stdint.h>

#include "event/event.h"

struct event_base;

/* Some hundred requests a second on one daemon, with their decisions.  */
#define TR_LINES_PER_S 400
/* A few seconds of lines at the full rate.  */
#define TR_BUFFER_MAX_BYTES (256 * 1024)

typedef struct TrTrace TrTrace;

typedef struct
{
  struct event_base *base;
  int fd;
  const char *vm;
  uint32_t lines_per_s; /* of each bucket; default TR_LINES_PER_S */
} TrOptions;

TrTrace *tr_new (const TrOptions *options);
/* Writes what can be written without waiting.  */
void tr_free (TrTrace *trace);

void tr_line (TrTrace *trace, EvNumber number, const char *format, ...)
    G_GNUC_PRINTF (3, 4);

uint64_t tr_dropped_count (const TrTrace *trace);

#endif
