/* serve.h - HTTP server of the stand-ins

   SYNOPSIS
     static void handle_request (SiExchange *x, void *data)
     { si_send_response (x, 200, "{}", 2); }
     SiServer *server = si_server_new (base, "127.0.0.1:8500",
                                       handle_request, data, &error);

   DESCRIPTION
     An exchange is one request and its pending response.  It is freed when the
     response is sent, when the connection is dropped, and when the caller
     closes the connection.  A handler that responds later calls si_set_timer,
     or keeps the exchange and sets `on_closed` to be told if it is freed
   before the response.

   ERRORS
     SI_ERROR_SPAWN  the address cannot be bound  */

#ifndef SI_SERVE_H
#define SI_SERVE_H

#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <glib.h>
#include <stdint.h>

typedef struct SiServer SiServer;
typedef struct SiExchange SiExchange;

struct SiExchange
{
  SiServer *server;
  struct evhttp_request *request;
  struct event *timer;
  struct evkeyvalq query;
  void (*on_timer) (SiExchange *x);
  /* Called when the caller closes the connection, or the server is freed,
     before the response; the exchange is freed on return.  May be NULL.  */
  void (*on_closed) (SiExchange *x);
  gboolean first; /* first request of its connection */
  void *data;     /* set and used by the handler */
};

typedef void (*SiHandler) (SiExchange *x, void *data);

typedef enum
{
  SI_ACCEPT_SERVE,  /* serve requests */
  SI_ACCEPT_CLOSE,  /* close each connection at once */
  SI_ACCEPT_REFUSE, /* do not listen, so connecting fails */
} SiAcceptMode;

/* ADDRESS is ip:port.  Returns NULL with ERROR set on failure.  */
SiServer *si_server_new (struct event_base *base, const char *address,
                         SiHandler handler, void *data, GError **error);
void si_server_free (SiServer *server);
/* Applies to new connections; open ones are kept.  Returns FALSE if the
   address cannot be bound again.  */
gboolean si_server_set_accept (SiServer *server, SiAcceptMode mode);
uint64_t si_server_accepted_count (const SiServer *server);
/* Open connections that have carried a request.  */
uint32_t si_server_open_count (const SiServer *server);

const char *si_request_path (const SiExchange *x);
const char *si_request_method (const SiExchange *x);
/* Value of a request header or query parameter, or NULL.  */
const char *si_request_header (const SiExchange *x, const char *name);
const char *si_query_param (const SiExchange *x, const char *name);
int64_t si_query_param_int (const SiExchange *x, const char *name,
                            int64_t default_value);
/* LENGTH_BYTES may be NULL.  The body is valid until the exchange is freed and
   does not end in a zero byte.  */
const char *si_request_body (SiExchange *x, gsize *length_bytes);

/* Calls ON_TIMER after DELAY_US unless the exchange is freed before.  */
void si_set_timer (SiExchange *x, int64_t delay_us,
                   void (*on_timer) (SiExchange *x));
void si_add_response_header (SiExchange *x, const char *name,
                             const char *value);
void si_send_response (SiExchange *x, int status, const char *body,
                       gsize length_bytes);
void si_send_text (SiExchange *x, int status, const char *text);
/* Sends BODY with a Content-Length of DECLARED_BYTES, which is longer, and
   closes the connection.  */
void si_send_truncated (SiExchange *x, const char *body, gsize length_bytes,
                        gsize declared_bytes);
/* Writes BYTES, which need not be of a response, at once.  They are few enough
   for the socket's buffer, and no response is being written.  A close by the
   caller is not noticed until the response of X is sent.  */
void si_send_stray_bytes (SiExchange *x, const char *bytes);
/* Identifies the connection of X while it is open.  */
const void *si_connection (const SiExchange *x);
/* Closes the connection without a response.  */
void si_drop_connection (SiExchange *x);

/* Fills QUERY; clear it with evhttp_clear_headers.  Accepts a parameter
   without a value, unlike evhttp's own parser.  */
void si_parse_query (const char *text, struct evkeyvalq *query);

/* Splits "ip:port".  Free *IP with g_free.  Returns FALSE if the port is
   missing or invalid.  */
gboolean si_split_address (const char *address, char **ip, uint16_t *port);

/* Event base with timers of microsecond precision.  The default rounds timers
   up to the next ms, an error as large as the delay between two zones.  */
struct event_base *si_event_base_new (void);

/* Runs the event loop until SIGTERM or SIGINT.  */
void si_run_loop (struct event_base *base);

#endif
