/* conn.h - one connection of a caller, private to front

   DESCRIPTION
     The callbacks that libevhtp set on a connection's bufferevent are saved
     and replaced.  libevhtp's read callback is called only while the input
     buffer holds exactly one checked and complete request; the bytes after it
     wait in READ_AHEAD.  */

#ifndef FR_CONN_H
#define FR_CONN_H

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <evhtp/evhtp.h>

#include "front/front.h"

typedef enum
{
  FR_CONN_IDLE,       /* no byte of the next request */
  FR_CONN_HEAD,       /* part of a head */
  FR_CONN_BODY,       /* a checked head and part of a body */
  FR_CONN_RUNNING,    /* the request is with the user of the package */
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

  evhtp_connection_t *evhtp;
  evhtp_request_t *evhtp_request; /* while running or responding */
  struct bufferevent *bev;
  bufferevent_data_cb evhtp_read;
  bufferevent_data_cb evhtp_write;
  bufferevent_event_cb evhtp_event;
  void *evhtp_data;
  struct evbuffer *read_ahead;

  FrConnState state;
  /* When the state was entered, or when output last made progress.  While the
     body is read and the request runs, when its first byte was read.  */
  int64_t since_us;
  gsize unwritten_bytes;
  gboolean in_evhtp_call; /* delays the free until the call returns */
  gboolean closed;

  HtHead head;
  gsize head_bytes;
  gsize checked_bytes; /* of the head or body, by earlier reads */
  HtChunkDecoder chunked;

  FrHandler cancel_handler;
  void *cancel_data;
};

struct FrServer
{
  FrOptions options;
  evhtp_t *evhtp;
  struct event *timer;
  FrConn *connections;
  FrConn *parsing_conn; /* the one whose request libevhtp parses */
  FrCounters counters;
  GString *scratch;
  uint16_t port;
  gboolean listening;
  gboolean keep_alive_disabled; /* each response closes its connection */
  gboolean stopping;
  void (*on_stopped) (void *data);
  void *stopped_data;
};

int64_t fr_now_us (void);

/* Allocates the state of a new connection and replaces its callbacks.  */
void fr_conn_accept (FrServer *server, evhtp_connection_t *evhtp);
/* Closes at once; calls the cancel handler of a running request.  */
void fr_conn_close (FrConn *conn);
/* Passes the request that libevhtp has parsed to on_request.  */
void fr_conn_dispatch (FrConn *conn, evhtp_request_t *request);
void fr_conn_check_timeouts (FrConn *conn, int64_t now_us);
void fr_conn_set_state (FrConn *conn, FrConnState state);
/* Responds to a request that must not reach the user, and closes.  */
void fr_conn_reject (FrConn *conn, uint32_t status, const char *error);

#endif
