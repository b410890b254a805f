/* conn.h - one connection of a caller, private to front

   DESCRIPTION
     The callbacks of a connection's bufferevent are wrapped.  libevhtp's own
     read callback runs only while the input buffer holds exactly one checked
     and complete request; what follows it waits in AHEAD.  */

#ifndef FR_CONN_H
#define FR_CONN_H

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <evhtp/evhtp.h>

#include "front/front.h"

typedef enum
{
  FR_CONN_IDLE,     /* no byte of the next request */
  FR_CONN_HEAD,     /* some bytes of a head */
  FR_CONN_BODY,     /* a checked head and some bytes of a body */
  FR_CONN_RUNNING,  /* the request is with the user of the package */
  FR_CONN_ANSWERED, /* the answer is being written */
  FR_CONN_LINGER,   /* refused: writes the refusal, then drops input */
} FrConnState;

typedef struct FrConn FrConn;

struct FrConn
{
  FrRequest request; /* first, so that a request leads to its connection */
  FrServer *server;
  FrConn *next;
  FrConn *previous;

  evhtp_connection_t *evhtp;
  evhtp_request_t *evhtp_request; /* while running or answered */
  struct bufferevent *bev;
  bufferevent_data_cb evhtp_read;
  bufferevent_data_cb evhtp_write;
  bufferevent_event_cb evhtp_event;
  void *evhtp_data;
  struct evbuffer *ahead;

  FrConnState state;
  int64_t since_us; /* when the state was entered, or last made progress */
  gsize unwritten_bytes;
  gboolean in_call; /* libevhtp runs; the connection is freed after it */
  gboolean closed;

  HtHead head;
  gsize head_bytes;
  gsize checked_bytes; /* of the head or body, by earlier reads */
  HtChunked chunked;

  FrHandler on_cancel;
  void *cancel_data;
};

struct FrServer
{
  FrOptions options;
  evhtp_t *evhtp;
  struct event *sweep;
  FrConn *connections;
  FrConn *current; /* whose request libevhtp parses */
  FrCounters counters;
  GString *scratch;
  uint16_t port;
  gboolean listening;
  gboolean closing; /* answers close their connections */
  gboolean stopping;
  void (*on_idle) (void *data);
  void *idle_data;
};

int64_t fr_now_us (void);

/* Makes the connection's state from its first byte on.  */
void fr_conn_accept (FrServer *server, evhtp_connection_t *evhtp);
/* Closes at once; calls the cancel callback of a running request.  */
void fr_conn_close (FrConn *conn);
/* libevhtp has parsed the request of CONN.  */
void fr_conn_run (FrConn *conn, evhtp_request_t *request);
/* Applies the time limits.  */
void fr_conn_sweep (FrConn *conn, int64_t now_us);
void fr_conn_enter (FrConn *conn, FrConnState state);
/* Answers what must not reach the user and closes.  */
void fr_conn_refuse (FrConn *conn, uint32_t status, const char *error);

#endif
