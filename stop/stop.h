/* stop.h - which requests a stopping daemon still accepts

   SYNOPSIS
     SpStop stop = { 0 };
     sp_begin (&stop, &(SpOptions){ .grace_ms = 6000 }, now_us);
     if (!sp_admits (&stop, deadline_us, service_us, now_us))
       ... refuse the request, it has not run ...

   DESCRIPTION
     After SIGTERM a daemon has a grace period.  Callers that cached a lookup
     still connect, so it goes on listening for a part of it, but a request
     that is running when the process ends is lost to its caller.  At first
     the daemon accepts each request for which a usual service time is left,
     later only one that has its response, at the latest at its deadline,
     before the daemon ends its requests.

     A request is given with its service time: the latency target of its route,
     or what such requests take on average; 0 if that is unknown.

     The package reads no clock and does no I/O.

   ERRORS
     None.  */

#ifndef SP_STOP_H
#define SP_STOP_H

#include <glib.h>
#include <stdint.h>

/* Last part of the grace period, in which no new connections are accepted.  */
#define SP_NO_ACCEPT_MS 2300
/* Time before the end of the grace period at which the requests in progress
   are ended, so that their responses are written and the process can exit; at
   most this part of the grace period, in which requests may be ended.  */
#define SP_END_MS 400
#define SP_END_PART 6
/* Default of serve_ms.  Most callers have made a new lookup by then.  */
#define SP_SERVE_MS 2800
/* Few requests take longer than this many service times, including a cache
   miss and the wait in a queue.  */
#define SP_SERVICE_TIMES 4

typedef struct
{
  uint32_t grace_ms; /* from SIGTERM to the exit */
  /* For this time, but at most half of the grace period, requests whose
     deadline is later than the end are accepted; default SP_SERVE_MS.  */
  uint32_t serve_ms;
  /* Longest time in which connections are accepted; 0: all but the last
     SP_NO_ACCEPT_MS of the grace period.  */
  uint32_t listen_ms;
} SpOptions;

typedef struct
{
  int64_t serve_until_us; /* 0: the daemon is not stopping */
  int64_t accept_until_us;
  int64_t end_us;  /* when the requests in progress are ended */
  int64_t exit_us; /* when the process exits */
  int64_t last_us; /* the same while a response is being written */
  int64_t over_us; /* end of the grace period */
} SpStop;

void sp_begin (SpStop *stop, const SpOptions *options, int64_t now_us);

/* Whether the process, which has ended its requests, may exit.  IS_WRITING
   says whether a part of a response is not written yet.  */
gboolean sp_may_exit (const SpStop *stop, gboolean is_writing, int64_t now_us);

gboolean sp_admits (const SpStop *stop, int64_t deadline_us,
                    int64_t service_us, int64_t now_us);

#endif
