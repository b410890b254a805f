/* front.h - the HTTP server for callers

   SYNOPSIS
     FrOptions options = { .base = base, .listen = "127.0.0.1:8001",
                           .on_request = on_request, .data = daemon };
     FrServer *server = fr_new (&options, &error);

     static void
     on_request (FrRequest *request, void *data)
     {
       fr_respond (request, 200, NULL, "{}", 2);
     }

   DESCRIPTION
     The server is built on libevhtp.  The strict parser of http/http.h checks
     every byte before libevhtp sees it, and a request reaches libevhtp and
     on_request only when it is complete.  Requests of one connection are
     handled one after the other, so responses keep their order.  Input that
     arrives while a request is handled is read ahead; reading pauses once more
     than FR_READ_AHEAD_MAX_BYTES are waiting.

     A request belongs to the user of the package from on_request until
     fr_respond, which may be called at any later time from the loop, or until
     the cancel handler returns.  It is cancelled when the caller's connection
     is closed in either direction, or fails, before the response.  A request
     without a cancel handler must not be used after that; set one before
     on_request returns, unless the response is sent within it.

     Bodies count in the budget of the options.  A large body that does not fit
     is rejected with 503 and Retry-After before it is read, and its connection
     is closed.  Before that, large bodies that are incomplete make room, as
   the holders of memory/holder.h do: those that come slower than
     progress_bytes a second, or of the address that holds most.  While
     someone waits for room in the budget for responses, the connections of
     large responses that are read so slowly are closed, and after a second
     those of the address that holds most.

     What connections hold for input and output, with bodies of up to
     MM_SMALL_BYTES, has a bound of its own; see memory/holder.h for which
     connections are closed where one does not fit.  A request that is
     incomplete and does not fit is rejected with 503 and Retry-After.  A
     response is always sent.

     A malformed request gets a 4xx response with the outcome not_run, and its
     connection is closed.  Timeouts cover a request that arrives slowly, an
     idle connection and a response that is not read.

     The process must ignore SIGPIPE, as with every libevent bufferevent.
     Times are CLOCK_BOOTTIME in microseconds.

   ERRORS
     FR_ERROR_ADDRESS  the address is not an IP address and port
     FR_ERROR_LISTEN   the address cannot be listened on  */

#ifndef FR_FRONT_H
#define FR_FRONT_H

#include <glib.h>
#include <stdint.h>

#include "http/http.h"
#include "memory/holder.h"
#include "memory/memory.h"

struct event_base;

#define FR_BODY_MAX_BYTES (1024 * 1024)
/* Several heads of a usual size; more read ahead makes no response earlier,
   since requests of a connection are handled one after the other.  */
#define FR_READ_AHEAD_MAX_BYTES (4 * 1024)

/* A connection counts for this much of connections_bytes, which covers its
   state, what is read ahead and a usual head.  So a connection whose request
   is handled does not grow by what it reads.  */
#define FR_CONN_BYTES (16 * 1024)

#define FR_ERROR (fr_error_quark ())

typedef enum
{
  FR_ERROR_ADDRESS,
  FR_ERROR_LISTEN,
} FrError;

typedef struct FrServer FrServer;

/* Read-only for the user of the package, except for user_data.  */
typedef struct
{
  const char *method;
  const char *path;   /* as sent, still percent-encoded */
  const char *query;  /* after the question mark; NULL without one */
  HtHeaders *headers; /* may be changed, for instance by ky_strip */
  const uint8_t *body;
  gsize body_bytes;
  uint8_t peer_address[16]; /* IPv4 as ::ffff:a.b.c.d */
  uint16_t peer_port;
  int64_t arrived_us; /* when its first byte was read or, if read ahead, when
                         the response to the previous request was written */
  void *user_data;
} FrRequest;

typedef void (*FrHandler) (FrRequest *request, void *data);

typedef struct
{
  struct event_base *base;
  const char *listen; /* "127.0.0.1:8001"; port 0 picks a free one */
  FrHandler on_request;
  void *data;
  gboolean host_optional;   /* accepts requests without a Host line */
  uint32_t head_max_bytes;  /* default, and at most, HT_HEAD_MAX_BYTES */
  uint32_t body_max_bytes;  /* default FR_BODY_MAX_BYTES */
  uint32_t connections_max; /* default 4096 */
  uint32_t connections_per_address_max; /* default: no limit of its own */
  uint64_t connections_bytes;    /* of input and output; default: no limit */
  uint32_t request_timeout_ms;   /* for a head from its first byte, and
                                    without a byte of a body; default 10000 */
  uint32_t body_timeout_ms;      /* first byte of a head to last byte of its
                                    body; default 30000 */
  uint32_t idle_timeout_ms;      /* between requests; default 60000 */
  uint32_t write_timeout_ms;     /* caller reads nothing; default 30000 */
  uint32_t progress_bytes;       /* by which a large body, or a large response,
                                    makes progress; default 16 KB */
  uint32_t stop_idle_timeout_ms; /* idle after fr_stop; default 1000 */
  /* Both must outlive the server; NULL: no limit.  */
  MmBudget *memory;          /* for bodies */
  MmBudget *response_memory; /* in which the user counts large responses */
} FrOptions;

typedef struct
{
  uint64_t accepted_count;
  uint64_t over_limit_count; /* connections refused by a limit */
  uint64_t request_count;
  uint64_t malformed_count;
  uint64_t cancelled_count;
  uint64_t timeout_count;
  uint32_t connection_count; /* currently open */
  uint32_t running_count;    /* requests without a response yet */
} FrCounters;

GQuark fr_error_quark (void);

FrServer *fr_new (const FrOptions *options, GError **error);

/* Closes all connections at once and calls the cancel handlers.  */
void fr_free (FrServer *server);

uint16_t fr_port (const FrServer *server);
const FrCounters *fr_counters (const FrServer *server);
const MmHolderCounters *fr_holder_counters (const FrServer *server);

/* Of large bodies, and of large responses.  */
const MmHolderCounters *fr_body_counters (const FrServer *server);
const MmHolderCounters *fr_response_counters (const FrServer *server);

/* Of a configuration.  Only body_max_bytes may be 0: no bodies.  */
typedef struct
{
  uint32_t head_max_bytes; /* at most HT_HEAD_MAX_BYTES has an effect */
  uint32_t body_max_bytes;
  uint32_t request_timeout_ms;
  uint32_t idle_timeout_ms;
} FrLimits;

/* Replaces these limits of the server's options.  Checks made from now on use
   the new ones, also for open connections and requests in progress, except
   that a lower idle timeout applies to a connection from its next request on:
   its caller may rely on the timeout that was in force when it became idle. */
void fr_set_limits (FrServer *server, const FrLimits *limits);

/* Sends the response and ends the request.  HEADERS may be NULL; a body then
   gets the Content-Type application/json.  Content-Length, Connection and
   other framing headers in HEADERS are ignored, as are headers with an invalid
   name or value, except that the response to HEAD keeps the Content-Length of
   HEADERS.  */
void fr_respond (FrRequest *request, uint32_t status, const HtHeaders *headers,
                 const void *body, gsize body_bytes);

/* The same with BODY as the body, which is held until it is written.  */
void fr_respond_block (FrRequest *request, uint32_t status,
                       const HtHeaders *headers, MmBlock *body);

/* Returns a new reference to the body of a request that is handled, or NULL if
   it has none.  */
MmBlock *fr_ref_body (const FrRequest *request);

/* HANDLER is called if the request is cancelled.  */
void fr_set_cancel_handler (FrRequest *request, FrHandler handler, void *data);

/* From now on, closes each connection after the next response, or after those
   to the requests that have arrived by then; new connections are still
   accepted.  */
void fr_disable_keep_alive (FrServer *server);

/* Rejects each request of which a part has arrived with 503.  */
void fr_reject_incomplete (FrServer *server);

/* Whether a part of a response is not written yet.  */
gboolean fr_is_writing (const FrServer *server);

/* Stops accepting connections.  Requests that arrive on open ones are served,
   the last one of each with "Connection: close".  ON_STOPPED is called once,
   from the loop, when no connection is open; it may call fr_free.  */
void fr_stop (FrServer *server, void (*on_stopped) (void *data), void *data);

#endif
