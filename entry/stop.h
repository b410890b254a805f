/* stop.h - which requests a stopping daemon still accepts

   SYNOPSIS
     EnStop stop = { 0 };
     en_stop_begin (&stop, grace_ms, now_us);
     if (!en_stop_admits (&stop, deadline_us, latency_target_us, now_us))
       ... refuse the request, it has not run ...

   DESCRIPTION
     After SIGTERM a daemon has a grace period.  Callers that cached a lookup
     still connect, so it goes on listening for a part of it, but a request
     that is running when the process ends is lost to its caller.  At first
     the daemon accepts each request for which a usual service time is left,
     later only one that has its response, at the latest at its deadline,
     before the daemon ends its requests.

     The package reads no clock and does no I/O.

   ERRORS
     None.  */

#ifndef EN_STOP_H
#define EN_STOP_H

#include <glib.h>
#include <stdint.h>

/* Last part of the grace period, in which no new connections are accepted.  */
#define EN_STOP_NO_ACCEPT_MS 2300
/* Time before the end of the grace period at which the requests in progress
   are ended, so that their responses are written and the process can exit; at
   most this part of the grace period, in which requests may be ended.  */
#define EN_STOP_END_MS 400
#define EN_STOP_END_PART 6
/* For this time after SIGTERM, but at most half of the grace period, requests
   whose deadline is later than the end are accepted.  Most callers have made
   a new lookup by then.  */
#define EN_STOP_SERVE_MS 2800
/* Few requests take longer than this many latency targets, including a cache
   miss and the wait in a queue.  */
#define EN_STOP_SERVICE_TARGETS 4

typedef struct
{
  int64_t serve_until_us; /* 0: the daemon is not stopping */
  int64_t accept_until_us;
  int64_t end_us;  /* when the requests in progress are ended */
  int64_t exit_us; /* when the process exits */
  int64_t last_us; /* the same while a response is being written */
} EnStop;

void en_stop_begin (EnStop *stop, uint32_t grace_ms, int64_t now_us);

/* Whether the process, which has ended its requests, may exit.  IS_WRITING
   says whether a part of a response is not written yet.  */
gboolean en_stop_may_exit (const EnStop *stop, gboolean is_writing,
                           int64_t now_us);

gboolean en_stop_admits (const EnStop *stop, int64_t deadline_us,
                         int64_t latency_target_us, int64_t now_us);

#endif
