/* serve.h - HTTP server of the stand-ins

   SYNOPSIS
     SiServer *server = si_serve (base, "127.0.0.1:8500", on_request, data);
     static void on_request (SiExchange *x, void *data)
     { si_answer (x, 200, "{}", 2); }

   DESCRIPTION
     An exchange is one request until it is answered, dropped, or closed by
     the caller; it is freed by each of these.  A handler that answers later
     sets `on_timer` with si_later, or keeps the exchange and sets
     `on_closed` to learn of a caller that went away.

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
  /* The exchange is freed on return.  */
  void (*on_closed) (SiExchange *x);
  gboolean first; /* first request of its connection */
  void *data;
};

typedef void (*SiHandler) (SiExchange *x, void *data);

typedef enum
{
  SI_ACCEPT,       /* serve */
  SI_ACCEPT_CLOSE, /* close each connection at once */
  SI_ACCEPT_NONE,  /* refuse connections */
} SiAcceptMode;

/* ADDRESS is ip:port.  */
SiServer *si_serve (struct event_base *base, const char *address,
                    SiHandler handler, void *data, GError **error);
void si_serve_free (SiServer *server);
gboolean si_serve_accept (SiServer *server, SiAcceptMode mode);
uint64_t si_serve_accepted_count (const SiServer *server);
/* Connections that have carried a request and are open.  */
uint32_t si_serve_open_count (const SiServer *server);

const char *si_path (const SiExchange *x);
const char *si_method (const SiExchange *x);
/* Header or query parameter, or NULL.  */
const char *si_header (const SiExchange *x, const char *name);
const char *si_query (const SiExchange *x, const char *name);
int64_t si_query_int (const SiExchange *x, const char *name,
                      int64_t otherwise);
/* Body; *LENGTH_BYTES may be NULL.  Valid until the exchange ends.  */
const char *si_body (SiExchange *x, gsize *length_bytes);

/* Calls ON_TIMER after DELAY_US.  */
void si_later (SiExchange *x, int64_t delay_us,
               void (*on_timer) (SiExchange *x));
void si_add_header (SiExchange *x, const char *name, const char *value);
void si_answer (SiExchange *x, int status, const char *body,
                gsize length_bytes);
void si_answer_text (SiExchange *x, int status, const char *text);
/* Sends BODY under a longer Content-Length and closes.  */
void si_answer_cut (SiExchange *x, const char *body, gsize length_bytes,
                    gsize promised_bytes);
/* Closes the connection without an answer.  */
void si_drop (SiExchange *x);

/* Fills QUERY; clear it with evhttp_clear_headers.  A parameter without value
   is kept, which evhttp's own parser refuses.  */
void si_parse_query (const char *text, struct evkeyvalq *query);

/* "ip:port" to its parts.  */
gboolean si_split_address (const char *address, char **ip, uint16_t *port);

/* A base whose timers are precise to the microsecond; the default rounds up
   to the next ms, which is as long as the delay between two zones.  */
struct event_base *si_base_new (void);

/* Runs the loop until SIGTERM or SIGINT.  */
void si_run_loop (struct event_base *base);

#endif
