/* backend.h - HTTP/1.1 client to targets with a connection pool

   SYNOPSIS
     BkOptions options = { .base = base };
     BkPool *pool = bk_pool_new (&options);
     BkRequest request = { .address = "127.0.0.1:9201", .method = "GET",
                           .target = "/healthz", .deadline_us = deadline,
                           .on_done = on_done, .data = data };
     BkCall *call = bk_request (pool, &request);

   DESCRIPTION
     A request goes over one connection at a time; requests are never
     pipelined.  An idle connection is used again only if a check right
     before shows that it is open and that nothing unread waits on it.  A
     request for which all connections to its target are busy waits for one
     of them, up to its deadline.

     sent is BK_SENT_NONE only while not a single byte of the request was
     handed to the system for this connection, so the target cannot have seen
     it.  The package never sends a request again after a byte was handed
     over.  complete is TRUE only for an answer with its whole body; status,
     headers and body of an incomplete answer are not passed on.

     A connection is closed, and not used again, after a failure, a timeout,
     a cancellation, an answer that arrives early or is followed by further
     bytes, and when either side asks for it.  The target sees the close.

     A target that echoes a request's id in its answers lets late answers be
     told apart: with echo_name set, an answer with another value in that
     header is dropped and the next one is awaited, and bytes that follow a
     matching answer cost the connection but not the answer.

     Times are of CLOCK_BOOTTIME in microseconds.

   ERRORS
     BkResult.failure, see BkFailure.  */

#ifndef BK_BACKEND_H
#define BK_BACKEND_H

#include <glib.h>
#include <stdint.h>

#include "http/http.h"

struct event_base;

#define BK_CONNECTIONS_PER_TARGET 3
/* Upper bound of the option; slots and queue of one target.  */
#define BK_CONNECTIONS_MAX 64
/* Waiting requests of one target; slots and the fair queue bound them before
   they get here.  */
#define BK_WAITING_MAX_COUNT 64
#define BK_ANSWER_MAX_BYTES (16 * 1024 * 1024)

typedef enum
{
  BK_SENT_NONE,
  BK_SENT_MAYBE,
} BkSent;

typedef enum
{
  BK_FAILURE_NONE,
  BK_FAILURE_ADDRESS,   /* not an IP number and port */
  BK_FAILURE_REQUEST,   /* method, target or a header cannot be sent */
  BK_FAILURE_BUSY,      /* too many requests wait for this target */
  BK_FAILURE_CONNECT,   /* refused, unreachable or no answer to SYN */
  BK_FAILURE_TIMEOUT,   /* the deadline passed */
  BK_FAILURE_CLOSED,    /* closed or reset before the answer was whole */
  BK_FAILURE_MALFORMED, /* not HTTP, or conflicting or wrong lengths */
  BK_FAILURE_TOO_LARGE, /* above the limit of an answer */
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
  int64_t connected_us; /* 0 without a connection */
  gboolean reused;      /* the connection was used before */
} BkResult;

/* RESULT is valid during the call.  */
typedef void (*BkDone) (const BkResult *result, void *data);

typedef struct
{
  const char *address; /* "127.0.0.1:9201" */
  const char *method;
  const char *target;       /* path and query */
  const HtHeaders *headers; /* may be NULL; Host is added when missing */
  const void *body;
  gsize body_bytes;
  const char *echo_name; /* header that answers repeat; NULL: none */
  const char *echo_value;
  int64_t idle_max_us; /* oldest idle connection to use; 0: any */
  int64_t deadline_us;
  BkDone on_done;
  void *data;
} BkRequest;

typedef struct
{
  struct event_base *base;
  uint32_t connections_max;    /* a target; default 3 */
  uint32_t idle_ms;            /* close unused connections; default 5000 */
  uint32_t connect_timeout_ms; /* default 1000 */
  uint32_t unacked_timeout_ms; /* sent bytes unacknowledged; 0: no limit */
  gsize answer_max_bytes;      /* of the body; default and maximum 16 MB */
} BkOptions;

typedef struct BkPool BkPool;
typedef struct BkCall BkCall;

BkPool *bk_pool_new (const BkOptions *options);

/* Cancels all calls; their callbacks are not called.  Not to be used in a
   callback of the pool.  */
void bk_pool_free (BkPool *pool);

/* Copies REQUEST.  The callback is called once, from the loop, never from
   within this function.  The call is freed after it.  */
BkCall *bk_request (BkPool *pool, const BkRequest *request);

/* Closes the connection of CALL; not to be used in or after its callback,
   which is not called.  Returns whether a byte of the request may have reached
   the target.  */
BkSent bk_cancel (BkCall *call);

/* Closes the idle connections to ADDRESS, for a target that leaves.  */
void bk_close_idle (BkPool *pool, const char *address);

uint32_t bk_connection_count (const BkPool *pool, const char *address);

/* "connect", "timeout" and so on, for log lines and events.  */
const char *bk_failure_name (BkFailure failure);

int64_t bk_now_us (void);

#endif
