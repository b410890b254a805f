/* caller.h - a caller that sends one request at a time

   SYNOPSIS
     EmCallerOptions options = { .base = base, .judge = judge, ... };
     EmCaller *caller = em_caller_new (&options);
     em_caller_stop (caller);
     em_caller_free (caller);

   DESCRIPTION
     A caller keeps its connection until the daemon closes it or a response is
     overdue, and then connects to another daemon.  After a response that
     promises that the request has not run it waits for Retry-After, at most a
     third of the time that it has left, and sends a new request.  Some
   requests are sent in two parts, cut anywhere, some bodies in chunks.  Some
   callers leave before the response, and some stall for about as long as a
   daemon waits: with a part of a request, or between two requests.

   ERRORS
     None; a request without a response has no status.  */

#ifndef EM_CALLER_H
#define EM_CALLER_H

#include "emulator/judge.h"

struct event_base;

typedef struct
{
  struct event_base *base;
  EmJudge *judge;
  GRand *random;
  const char *name;           /* begins the ids of its requests */
  const char *const *daemons; /* ip:port, ends with NULL */
  const char *key;
  const char *path;
  gboolean is_unsafe; /* of the path */
  int64_t deadline_ms;
  int64_t pause_max_ms;         /* after a response */
  uint32_t body_max_bytes;      /* of most requests */
  uint32_t long_body_max_bytes; /* of the others */
  uint32_t long_body_percent;
  uint32_t leave_percent; /* requests that the caller gives up */
  uint32_t stall_percent;
  int64_t stall_min_ms;
  int64_t stall_max_ms;
} EmCallerOptions;

typedef struct EmCaller EmCaller;

EmCaller *em_caller_new (const EmCallerOptions *options);
/* Sends no further requests.  */
void em_caller_stop (EmCaller *caller);
void em_caller_free (EmCaller *caller);

/* Requests whose connection ended without a response before the deadline.  */
uint32_t em_caller_cut_count (const EmCaller *caller);

#endif
