/* target.h - stand-in of many targets in one process

   DESCRIPTION
     Each target has an address of its own.  /healthz and /loadz answer as
     the platform's targets do; any other path is work that takes the service
     time, holds one slot, and is answered as echo.h says.  Request headers
     that tests may set: X-Work-Ms, X-Answer-Bytes, X-Request-Tag.  Work
     stops when its caller closes, and at its X-Deadline-Ms.

     Control paths (target=NAME, or all when it is left out):

       /control/set?KEY=VALUE&...   keys below; several at once
         work_ms, slots, late_ms    service time, slots, delay of answers
         slow_percent               service time in percent, 100 is normal
         shed=1                     503 for all work while reporting idle
         lie=1                      /loadz reports idle, warm, not draining
         crash=off|accept|refuse|request|after|cut|hang
                                    close at accept, refuse connections, close
                                    in the request, after the work, within
                                    the answer, or never answer
         draining=1, unhealthy=1
         cold=1                     4 times slower until 50 requests ran
       /control/stats               JSON, one object a target and totals
       /control/requests            JSON, every request that came
       /control/orders              JSON, executions by customer and key
       /control/reset               forgets records and counts  */

#ifndef SI_TARGET_H
#define SI_TARGET_H

#include "standin/serve.h"

typedef struct SiTargetSet SiTargetSet;

typedef struct
{
  struct event_base *base;
  const char *control;
  uint32_t work_ms;
  uint32_t slots_count;
} SiTargetOptions;

SiTargetSet *si_targets_new (const SiTargetOptions *options, GError **error);
/* Adds the target NAME at ADDRESS.  */
gboolean si_targets_add (SiTargetSet *set, const char *name,
                         const char *address, GError **error);
void si_targets_free (SiTargetSet *set);

#endif
