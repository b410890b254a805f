/* conn.h - one connection of a caller, private to front

   DESCRIPTION
     The callbacks that libevhtp set on a connection's bufferevent are saved
     and replaced.  The body of a request is moved out of the input as it
     arrives.  libevhtp's read callback is called only once the request is
     complete, with a short head in the input buffer instead; the bytes after
     the request wait in FrConn.read_ahead.  */

#ifndef FR_CONN_H
#define FR_CONN_H

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <evhtp/evhtp.h>

#include "front/front.h"

typedef enum
{
  FR_CONN_IDLE,       /* no byte of the next request was read */
  FR_CONN_HEAD,       /* part of a head was read */
  FR_CONN_BODY,       /* the head was checked, the body is incomplete */
  FR_CONN_RUNNING,    /* from on_request until fr_respond */
  FR_CONN_RESPONDING, /* the response is being written */
  FR_CONN_LINGER,     /* rejected: writes the response, then discards input */
} FrConnState;

typedef struct FrConn FrConn;

struct FrConn
{
  FrRequest request; /* first, so that a request casts to its connection */
  FrServer *server;
  FrConn *next;
  FrConn *previous;
  MmHolder *holder;
  MmHolder *body_holder;     /* of a large body, until it is freed, or NULL */
  MmHolder *response_holder; /* of a large response, or NULL */

  evhtp_connection_t *evhtp;
  evhtp_request_t *evhtp_request; /* while running or responding */
  struct bufferevent *bev;
  /* libevhtp's callbacks and their argument.  */
  bufferevent_data_cb evhtp_read;
  bufferevent_data_cb evhtp_write;
  bufferevent_event_cb evhtp_event;
  void *evhtp_data;
  struct evbuffer *read_ahead;

  FrConnState state;
  /* In FR_CONN_HEAD, FR_CONN_BODY and FR_CONN_RUNNING: the time for
     FrRequest.arrived_us.  Else when the state was entered or, if later, when
     output last made progress.  */
  int64_t since_us;
  uint32_t idle_timeout_ms; /* of the server when the state was entered */
  int64_t body_read_us;     /* in FR_CONN_BODY: when a byte was last read */
  int64_t turn_us;          /* when the caller last did its part: connected, or
                               sent a request after the response before */
  gboolean sent_ahead;      /* the current request came before the response to
                               the one before */
  gsize unwritten_bytes;  /* length of the output at the last timeout check */
  gboolean in_evhtp_call; /* CONN is freed only after the call returns */
  gboolean closed;        /* EVHTP is being freed or was freed */

  HtHead head;
  gsize checked_bytes;  /* of the head, by earlier reads */
  gsize head_bytes;     /* 0 while the head is incomplete */
  gsize block_bytes;    /* of a large response body, counted elsewhere */
  gsize progress_bytes; /* of the body, or of the output, when it last made
                           progress */
  gsize seen_bytes;     /* length of the input after the last read */
  gsize unread_bytes;   /* held by the kernel while reading is disabled, at the
                           last timeout check */
  MmBlock *body;        /* NULL: the request has none */
  gsize encoded_bytes;  /* of a chunked body, so far */
  HtChunkDecoder chunk_decoder;

  FrHandler cancel_handler;
  void *cancel_data;
};

struct FrServer
{
  FrOptions options;
  evhtp_t *evhtp;
  struct event *timer;
  FrConn *connections;
  MmHolders *holders;
  MmHolders *body_holders;
  MmHolders *response_holders;
  FrConn *next_checked; /* by the timer, or NULL */
  FrConn *parsing_conn; /* whose request libevhtp is parsing, or NULL */
  FrCounters counters;
  GString *scratch; /* holds a response while it is formatted */
  uint16_t port;
  gboolean listening;
  gboolean keep_alive_disabled; /* each response closes its connection */
  gboolean stopping;
  void (*on_stopped) (void *data);
  void *stopped_data;
};

int64_t fr_now_us (void);

/* Allocates the state of a new connection and replaces its callbacks.  FALSE
   if a limit on connections refuses it.  */
gboolean fr_conn_accept (FrServer *server, evhtp_connection_t *evhtp);
/* Counts what the connection holds.  FALSE if it does not fit the memory for
   connections; it then counts as before.  */
gboolean fr_conn_count_held (FrConn *conn);
/* The same for a response, which is sent whether it fits or not: its request
   may have run.  */
void fr_conn_count_response (FrConn *conn);
/* A large response of BYTES is added to the output.  */
void fr_conn_hold_response (FrConn *conn, gsize bytes);
/* Gives up the body; the request was not passed to on_request.  */
void fr_conn_reject_for_memory (FrConn *conn);
/* The caller has to read the response from now on.  */
void fr_conn_wait_for_reader (FrConn *conn);
/* Closes the connection at once; calls the cancel handler of a running
   request.  */
void fr_conn_close (FrConn *conn);
/* Passes the request that libevhtp has parsed to on_request.  */
void fr_conn_dispatch (FrConn *conn, evhtp_request_t *request);
/* Whether bytes of the next request have arrived, including those for which
   on_read was not called yet.  The current request, if any, is complete.  */
gboolean fr_conn_has_next_input (const FrConn *conn);
void fr_conn_check_timeouts (FrConn *conn, int64_t now_us);
void fr_conn_set_state (FrConn *conn, FrConnState state);
/* Responds with an error to a request that is not passed to on_request, and
   closes the connection after the response.  */
void fr_conn_reject (FrConn *conn, uint32_t status, const char *error);
/* Gives up the body of the current request, if any.  */
void fr_conn_free_body (FrConn *conn);

#endif
