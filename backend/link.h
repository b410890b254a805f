/* link.h - one connection to a target, private to backend  */

#ifndef BK_LINK_H
#define BK_LINK_H

#include <event2/buffer.h>
#include <event2/event.h>
#include <sys/socket.h>

#include "backend/backend.h"

typedef struct BkTarget BkTarget;
typedef struct BkLink BkLink;

struct BkPool
{
  BkOptions options;
  GHashTable *targets; /* address to BkTarget */
  GQueue calls;        /* every BkCall that was not delivered */
};

struct BkTarget
{
  BkPool *pool;
  char *address;
  struct sockaddr_storage sockaddr;
  socklen_t sockaddr_bytes;
  GQueue idle;    /* BkLink, most recently used last */
  GQueue waiting; /* BkCall */
  uint32_t link_count;
  uint32_t call_count; /* calls that refer to this */
};

struct BkLink
{
  BkTarget *target;
  int fd;
  struct event *read_event;
  struct event *write_event;
  struct evbuffer *in;
  BkCall *call; /* NULL while idle */
  int64_t connected_us;
  int64_t idle_since_us;
  gboolean used; /* has answered a request */
};

typedef enum
{
  BK_READ_HEAD,
  BK_READ_BODY,
} BkReading;

struct BkCall
{
  BkPool *pool;
  BkTarget *target; /* NULL when the address is invalid */
  BkLink *link;     /* NULL while waiting and once finished */
  GList pool_node;
  struct event *timer; /* deadline; then delivery of the result */
  gboolean finished;
  gboolean delivering;
  char *method;
  GByteArray *bytes; /* the request */
  gsize sent_bytes;  /* of them, over the present link */
  char *echo_name;   /* NULL: answers are not told apart */
  char *echo_value;
  int64_t idle_max_us; /* 0: any */
  BkDone on_done;
  void *data;

  BkResult result;
  BkReading reading;
  HtHead head;
  HtChunked chunked;
  uint32_t interim_count; /* 1xx answers skipped */
  GByteArray *body;
};

/* Opens a connection for CALL; NULL with errno set.  */
BkLink *bk_link_open (BkTarget *target, BkCall *call);
/* Sends CALL over an idle link that bk_link_is_quiet.  */
void bk_link_reuse (BkLink *link, BkCall *call);
/* Open, and nothing unread on it.  */
gboolean bk_link_is_quiet (const BkLink *link);
void bk_link_close (BkLink *link);

/* Whether the answer repeats the id of its request.  */
gboolean bk_answer_is_echo (const BkCall *call);

/* Consumes what LINK has received for its call.  CLOSED says that nothing
   follows.  Returns TRUE when the call is over, with its result set.  */
gboolean bk_answer_read (BkLink *link, gboolean closed);

/* The result of CALL is set: takes it off its link, which is reused if
   REUSABLE and closed otherwise, and delivers it from the loop.  */
void bk_call_finish (BkCall *call, BkFailure failure, gboolean reusable);
/* Nothing was sent: looks for another connection.  */
void bk_call_again (BkCall *call);
/* Starts waiting calls as far as connections allow.  */
void bk_target_dispatch (BkTarget *target);
/* Frees TARGET if nothing belongs to it.  */
void bk_target_release (BkTarget *target);

#endif
