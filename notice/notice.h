/* notice.h - what a target states about itself in its responses

   SYNOPSIS
     NtNotice notice;
     nt_decode (&names, status, response_headers, &notice);
     if (notice.limit_per_s > 0)
       ...

   DESCRIPTION
     A target in need states in the headers of its responses how many requests
     a second it takes from all daemons together, for as long as it does so.
     One that is about to stop states that it is leaving; that holds until it
     starts again.  One that refuses a request with 503 may state for how long
     it wants no requests of this daemon.

     A header that is malformed, out of range or repeated says nothing: it
     neither sets nor ends what the target stated before.

     A limit ends with a response that does not state it, and a pause by
   itself. So a limit of 0, or near it, counts as NT_LIMIT_MIN_PER_S, and a
   pause counts for at most NT_PAUSE_MAX_S: then a request shows whether the
   target still means it.

   ERRORS
     None; NtNotice.invalid_count tells how many headers were ignored.  */

#ifndef NT_NOTICE_H
#define NT_NOTICE_H

#include <glib.h>
#include <stdint.h>

#include "http/http.h"

/* More than any target handles; a larger value is an error of the target.  */
#define NT_LIMIT_MAX_PER_S 1e6
/* Less than what may reach a target that takes nothing, by mistake, in the
   same time.  */
#define NT_LIMIT_MIN_PER_S 0.2
/* A target that wants no requests for longer should leave.  */
#define NT_PAUSE_MAX_S 3600.0

/* Names of the headers.  */
typedef struct
{
  const char *limit;   /* requests per second, a decimal number */
  const char *leaving; /* "1": the target is leaving */
  const char *pause;   /* of a 503: seconds, a decimal number above 0 */
} NtHeaderNames;

typedef struct
{
  double limit_per_s;     /* of all daemons together; 0: none stated */
  uint32_t invalid_count; /* headers that were ignored */
  gboolean leaving;
  int64_t pause_us; /* wants no requests for so long; 0: not stated */
} NtNotice;

/* STATUS is that of the response.  */
void nt_decode (const NtHeaderNames *names, uint32_t status,
                const HtHeaders *headers, NtNotice *notice);

#endif
