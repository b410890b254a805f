/* link.h - one connection to a target, private to backend  */

#ifndef BK_LINK_H
#define BK_LINK_H

#include <event2/buffer.h>
#include <event2/event.h>
#include <sys/socket.h>

#include "backend/backend.h"

typedef struct BkTarget BkTarget;
typedef struct BkConn BkConn;

struct BkPool
{
  BkOptions options;
  GHashTable *targets; /* address to BkTarget */
  GQueue calls;        /* each BkCall until its result is delivered */
  MmBudget *memory;    /* of the user or, with owns_memory, of the pool */
  gboolean owns_memory;
  GQueue room_waiters; /* BkCall whose bodies wait for room, oldest first */
  struct event *room_event; /* activated when there may be room */
  uint64_t last_number;     /* of the connections opened so far */
  BkCounters counters;
};

struct BkTarget
{
  BkPool *pool;
  char *address;
  struct sockaddr_storage sockaddr;
  socklen_t sockaddr_bytes;
  GQueue idle;    /* BkConn, most recently used last */
  GQueue waiting; /* BkCall */
  uint32_t conn_count;
  uint32_t call_count;        /* calls that point to this target */
  uint32_t room_waiter_count; /* calls whose bodies wait for room */
};

struct BkConn
{
  BkTarget *target;
  uint64_t number; /* in the pool, from 1 */
  int fd;
  struct event *read_event;
  struct event *write_event;
  struct evbuffer *input;
  BkCall *call; /* NULL while idle */
  int64_t connect_deadline_us;
  int64_t connected_us;
  int64_t idle_since_us;
  int64_t send_start_us; /* of the current request */
  gboolean is_short;     /* the current request */
  gboolean used;         /* has carried a complete response */
  gboolean send_failed;  /* the rest of the request cannot be sent */
};

typedef enum
{
  BK_READ_HEAD,
  BK_READ_BODY,
} BkReadState;

struct BkCall
{
  BkPool *pool;
  BkTarget *target; /* NULL when the address is invalid */
  BkConn *conn;     /* NULL while waiting and once finished */
  GList pool_node;
  struct event *timer; /* expires at the deadline; activated earlier to deliver
                          the result */
  gboolean finished;   /* RESULT is final */
  gboolean delivering; /* on_done is being called */
  char *method;
  GByteArray *encoded_head; /* with the body, unless sent_body is it */
  const uint8_t *sent_body; /* kept by the user; NULL: none */
  gsize sent_body_bytes;
  gsize sent_bytes;  /* of head and body, over this connection */
  char *echo_header; /* NULL: late responses are not detected */
  char *echo_value;
  BkSends *sends; /* NULL: the request is sent once */
  int64_t deadline_us;
  int64_t idle_max_us; /* 0: any */
  BkDone on_done;
  void (*on_waiting) (void *data);
  void *data;

  BkResult result;
  BkReadState read_state;
  HtHead head;
  HtChunkDecoder chunk_decoder;
  uint32_t skipped_count; /* interim (1xx) and late responses */
  MmBlock *body;
  gboolean waits_for_room;
  MmWant want; /* of the body, while it waits */
  GList room_node;
};

/* Opens a connection for CALL; NULL with errno set.  */
BkConn *bk_conn_open (BkTarget *target, BkCall *call);
/* Sends CALL over an idle connection for which bk_conn_is_usable is TRUE.  */
void bk_conn_reuse (BkConn *conn, BkCall *call);
/* Whether CONN is open and has no unread bytes.  */
gboolean bk_conn_is_usable (const BkConn *conn);
void bk_conn_close (BkConn *conn);
/* Reads what has arrived of the response of CONN's call, which may finish the
   call and close the connection.  */
void bk_conn_read_arrived (BkConn *conn);

/* Whether the response echoes the id of its request.  */
gboolean bk_response_echoes_id (const BkCall *call);

/* Reads on if there is room for the body that CALL waits for.  Returns whether
   there was; CALL waits no longer then.  */
gboolean bk_call_take_room (BkCall *call);
/* CALL no longer waits for room, if it did.  */
void bk_call_end_wait (BkCall *call);

/* Whether the response on CONN lacks the id that its target always echoes.  It
   could be a second copy, or have one.  */
gboolean bk_response_lost_its_id (const BkConn *conn);

/* Parses what CONN has received for its call.  CLOSED says whether the
   target has closed the connection.  Returns TRUE when the response is
   complete, or when it is invalid, truncated or too large and the failure of
   the call's result is set.  */
gboolean bk_response_parse (BkConn *conn, gboolean closed);

/* Length of the request of CALL, head and body.  */
gsize bk_call_request_bytes (const BkCall *call);
/* Ends CALL with FAILURE.  Its connection becomes idle if REUSABLE and is
   closed otherwise; the result is delivered from the event loop.  */
void bk_call_finish (BkCall *call, BkFailure failure, gboolean reusable);
/* Closes the connection of CALL, on which nothing was sent, and puts CALL at
   the head of the queue for another connection.  */
void bk_call_requeue (BkCall *call);
/* Starts waiting calls while connections are available.  */
void bk_target_dispatch (BkTarget *target);
/* Frees TARGET if it has no connections and no calls.  */
void bk_target_free_if_unused (BkTarget *target);

#endif
