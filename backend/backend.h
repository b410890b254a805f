/* backend.h - HTTP/1.1 client to targets with a connection pool

   SYNOPSIS
     BkOptions options = { .base = base };
     BkPool *pool = bk_pool_new (&options);
     BkRequest request = { .address = "127.0.0.1:9201", .method = "GET",
                           .request_target = "/healthz",
                           .deadline_us = deadline,
                           .on_done = on_done, .data = data };
     BkCall *call = bk_request (pool, &request);

   DESCRIPTION
     A BkCall is a request in progress: waiting for a connection, being sent
     or waiting for its response.  A connection carries one request at a time;
     requests are never pipelined.  An idle connection is reused only if a
     check immediately before shows that it is open and has no unread bytes.
     When all connections to its target are busy, a request waits for one of
     them until its deadline.

     BkResult.sent is BK_SENT_NONE only if no byte of the request was handed
     to the kernel, so the target cannot have seen it.  After the first byte
     has been handed over, the package never sends the request again.
     BkResult.complete is TRUE only for a response with its whole body;
     status, headers and body of an incomplete response are not set.

     A connection is closed, and not reused, after a failure, a timeout, a
     cancellation, a response that arrives early or is followed by further
     bytes, and when either side asks for it.  The target sees the close.

     A late response is one that belongs to an earlier request on the same
     connection.  It can be detected if the target echoes the id of each
     request in a header of the response: with BkRequest.echo_header set, a
     response with another value in that header is dropped and the next one is
     awaited, and bytes after a response with the right value close the
     connection but don't invalidate the response.  With
     ids_required, a response without one ends its connection and, unless it is
     the first one there, is BK_FAILURE_MALFORMED, since it may belong to an
     earlier request.

     The id does not tell apart the responses to two sends of one request.  A
     user that sends a request again passes the same BkSends each time; no
     connection carries the request twice then, so a second copy of the
     response to an earlier send cannot be taken for that to a later one.

     A response may never end.  Its head and its body are limited, and so are
     all bodies together, by the budget of the options.  A body with a length
     for which there is no room yet is read once there is: until then it waits
     at the target, at most until the deadline.  At most waiting_max of the
     connections to a target wait so, or it would get no other request; the
     response of one more is given up.  Where bodies without a length
     take the budget above its limit, the call with the largest of them ends
     with BK_FAILURE_TOO_LARGE.

     Times are CLOCK_BOOTTIME in microseconds.

   ERRORS
     BkResult.failure, see BkFailure.  */

#ifndef BK_BACKEND_H
#define BK_BACKEND_H

#include <glib.h>
#include <stdint.h>

#include "http/http.h"
#include "memory/memory.h"

struct event_base;

/* Default of connections_max.  */
#define BK_CONNECTIONS_PER_TARGET 3
/* Upper bound of connections_max; enough for the slots and the queue of one
   target.  */
#define BK_CONNECTIONS_MAX 64
/* Requests that wait for a connection to one target.  Slots and the fair queue
   already limit how many requests are passed to this package.  */
#define BK_WAITING_MAX_COUNT 64
/* Sends of one request whose connections are told apart.  */
#define BK_SENDS_MAX 8
#define BK_RESPONSE_MAX_BYTES (16 * 1024 * 1024)
/* Bodies of all responses, without a budget of the user.  */
#define BK_BUFFERED_MAX_BYTES (48 * 1024 * 1024)

typedef enum
{
  BK_SENT_NONE,  /* no byte of the request was sent */
  BK_SENT_MAYBE, /* the target may have received the request */
} BkSent;

typedef enum
{
  BK_FAILURE_NONE,
  BK_FAILURE_ADDRESS,   /* not an IP address and port */
  BK_FAILURE_REQUEST,   /* invalid method, request target or header */
  BK_FAILURE_BUSY,      /* too many requests wait for this target */
  BK_FAILURE_CONNECT,   /* refused, unreachable or no reply to SYN */
  BK_FAILURE_TIMEOUT,   /* the deadline passed */
  BK_FAILURE_CLOSED,    /* closed or reset before the response was complete */
  BK_FAILURE_MALFORMED, /* not valid HTTP, or conflicting or wrong lengths */
  BK_FAILURE_TOO_LARGE, /* the response, or all of them, are above a limit */
  BK_FAILURE_MEMORY,    /* too many responses of the target wait for room */
} BkFailure;

typedef struct
{
  BkSent sent;
  BkFailure failure;
  gboolean complete;
  uint32_t status;
  const HtHeaders *headers; /* as received, without hop-by-hop headers */
  const uint8_t *body;
  gsize body_bytes;
  MmBlock *block;       /* which holds the body; may be kept by a reference */
  int64_t connected_us; /* when the connection was established; 0: never */
  gboolean reused;      /* the connection has served an earlier request */
  uint64_t connection;  /* its number in the pool, from 1; 0: none */
  gboolean echoes_id;   /* the response has echo_header with echo_value */
} BkResult;

/* RESULT is valid during the call.  */
typedef void (*BkDone) (const BkResult *result, void *data);

/* Connections over which one request was sent; all zero at first.  After
   BK_SENDS_MAX sends the request is only sent over new ones.  */
typedef struct
{
  uint64_t connections[BK_SENDS_MAX]; /* as in BkResult.connection */
  uint32_t count;
} BkSends;

typedef struct
{
  const char *address; /* "127.0.0.1:9201" */
  const char *method;
  const char *request_target; /* of HTTP: path and query */
  const HtHeaders *headers;   /* may be NULL; Host is added when missing */
  const void *body;
  gsize body_bytes;
  gboolean keeps_body; /* the user keeps the body until the callback has been
                          called or the call is cancelled; else it is copied */
  const char *echo_header; /* header in which responses echo the id of their
                              request; NULL: none */
  const char *echo_value;  /* the id of this request */
  BkSends *sends; /* earlier sends of this request, to which this one is added;
                     valid until the call is freed; NULL: never sent again */
  int64_t idle_max_us; /* longest idle time of a reused connection;
                          0: any */
  int64_t deadline_us;
  const uint8_t *caller_address; /* 16 bytes, for whom the response is; may be
                                    NULL */
  BkDone on_done;
  /* The head of the response has arrived, and its body waits for room; must
     not cancel the call.  May be NULL.  */
  void (*on_waiting) (void *data);
  void *data;
} BkRequest;

typedef struct
{
  struct event_base *base;
  uint32_t connections_max;    /* per target; default 3 */
  uint32_t waiting_max;        /* per target, for room; default a third of
                                  connections_max, at least 2 */
  uint32_t idle_timeout_ms;    /* of connections; default 5000 */
  uint32_t connect_timeout_ms; /* default 1000 */
  uint32_t unacked_timeout_ms; /* for sent bytes that the target's host does
                                  not acknowledge; 0: none */
  gboolean ids_required;       /* all targets echo the ids of requests */
  gsize response_max_bytes;    /* of the body; default and maximum 16 MB */
  gsize buffered_max_bytes;    /* of all bodies; default 48 MB */
  MmBudget *memory; /* for bodies, in place of buffered_max_bytes; must outlive
                       the pool; may be NULL */
} BkOptions;

typedef struct
{
  /* Responses that were dropped, since they echo the id of another request. */
  uint64_t late_response_count;
  /* Connections that were closed for bytes that belong to no request.  */
  uint64_t stray_close_count;
  /* Responses that were given up, since as many waited for room already.  */
  uint64_t no_room_count;
} BkCounters;

typedef struct BkPool BkPool;
typedef struct BkCall BkCall;

BkPool *bk_pool_new (const BkOptions *options);

/* Cancels all calls; their callbacks are not called.  Must not be called from
   a callback of the pool.  */
void bk_pool_free (BkPool *pool);

/* Copies REQUEST, but see keeps_body.  The callback is called once, from the
   event loop or bk_deliver_arrived and never from within this function; then
   the call is freed.  */
BkCall *bk_request (BkPool *pool, const BkRequest *request);

/* For a user that is about to cancel CALL: if the rest of its response has
   arrived, or CALL has failed, calls the callback and frees CALL.  Returns
   whether it did.  Must not be called in or after the callback.  */
gboolean bk_deliver_arrived (BkCall *call);

/* Closes the connection of CALL and frees CALL without calling its callback.
   Must not be called in or after the callback.  Returns whether the target may
   have received a byte of the request.  */
BkSent bk_cancel (BkCall *call);

/* Closes the idle connections to ADDRESS, for a target that is draining or
   removed.  */
void bk_close_idle (BkPool *pool, const char *address);

/* Open connections to ADDRESS, including those being established.  */
uint32_t bk_connection_count (const BkPool *pool, const char *address);

const BkCounters *bk_counters (const BkPool *pool);

/* "connect", "timeout" and so on, for log lines and events.  */
const char *bk_failure_name (BkFailure failure);

int64_t bk_now_us (void);

#endif
