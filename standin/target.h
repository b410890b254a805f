/* target.h - stand-in for many targets in one process

   DESCRIPTION
     Each target has its own address.  /healthz and /loadz respond as those of
     the platform's targets do.  A request for any other path is work: it takes
     the service time, holds one slot, and gets a response as in echo.h, with
   the X-Request-Id of the request.  Tests may set the request headers
   X-Work-Ms (service time), X-Answer-Bytes (size of the response) and
   X-Request-Tag.  Work stops when its caller closes the connection, and when
   X-Deadline-Ms have passed since the work started.

     Control paths; target=NAME limits /control/set and /control/requests to
     one target:

       /control/set?KEY=VALUE&...   one or more of these keys:
         work_ms, slots             service time; requests that may run at once
         late_ms                    delay of responses after the work has
                                    ended and released its slot
         slow_percent               service time in percent, 100 is normal
         shed=1                     503 for all work, while /loadz reports idle
         lie=1                      /loadz reports idle, warm, not draining
         crash=off|accept|refuse|request|after|cut|hang
                                    close at accept, refuse connections, close
                                    when a request arrives, after the work or
                                    within the response, or never respond
         draining=1, unhealthy=1    reported by /loadz and /healthz
         late_copies=1              a second copy of each response where the
                                    next one on its connection is due
         cold=1                     4 times slower until 50 requests are done
       /control/stats               JSON, an object for each target and totals
       /control/requests            JSON, a record of each request for work
       /control/orders              JSON, number of executions of each order,
   by customer and Idempotency-Key, or tag if it has no key /control/reset
   deletes counts, orders and the records of work that has ended

     An order is a request with an Idempotency-Key, or with a tag and a method
     other than GET and HEAD.  */

#ifndef SI_TARGET_H
#define SI_TARGET_H

#include "standin/serve.h"

typedef struct SiTargetSet SiTargetSet;

typedef struct
{
  struct event_base *base;
  const char *control_address; /* ip:port */
  uint32_t work_ms;            /* default 5 */
  uint32_t slots_count;        /* default 3 */
} SiTargetOptions;

/* Returns NULL with SI_ERROR_SPAWN if the control address cannot be bound.  */
SiTargetSet *si_target_set_new (const SiTargetOptions *options,
                                GError **error);
/* Adds the target NAME at ADDRESS, an ip:port.  Returns FALSE with
   SI_ERROR_SPAWN if it cannot be bound.  */
gboolean si_target_set_add (SiTargetSet *set, const char *name,
                            const char *address, GError **error);
void si_target_set_free (SiTargetSet *set);

#endif
