#include "emulator/target.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <event2/util.h>
#include <string.h>
#include <sys/socket.h>

#include "http/http.h"
#include "standin/harness.h"

#define ATTEMPT_ID_HEADER "X-Comfreywalk-Attempt-Id"
#define BACKLOG 128
/* How often a frozen target looks whether it may go on.  */
#define FROZEN_POLL_US 5000
/* Latest time after a response at which a copy of it is sent.  */
#define COPY_DELAY_MAX_US 30000
#define COPY_AT_NEXT_PERCENT 60
/* Requests that find no room while others occupy the target: their requests
   come and go.  */
#define OCCUPIED_PERCENT 75

const char *const em_fault_names[EM_FAULT_COUNT] = {
  [EM_FAULT_LATE_COPY] = "late-copy", [EM_FAULT_DOUBLE] = "double",
  [EM_FAULT_STRAY] = "stray",         [EM_FAULT_TRUNCATE] = "truncate",
  [EM_FAULT_LOSE] = "lose",           [EM_FAULT_RESET] = "reset",
  [EM_FAULT_FAIL] = "fail",           [EM_FAULT_NO_ID] = "no-id",
  [EM_FAULT_EARLY] = "early",         [EM_FAULT_CLOSE] = "close",
  [EM_FAULT_SILENT] = "silent",
};

typedef struct Conn Conn;

/* A request that waits in the queue or runs.  */
typedef struct
{
  EmTarget *target;
  Conn *conn; /* NULL: closed */
  char id[EM_ID_MAX];
  uint64_t body_hash;
  int64_t deadline_us;
  struct event *timer; /* NULL: waits */
  GList node;          /* in the queue or among the running ones */
} Job;

struct Conn
{
  EmTarget *target;
  struct bufferevent *bev;
  GList node;
  HtHead head;
  gboolean has_head;
  gboolean is_answered; /* before its body was read */
  uint64_t body_left_bytes;
  uint64_t body_hash;
  Job *job;
  GString *late_copy; /* of a response, due before the next one */
  struct event *copy_timer;
};

struct EmTarget
{
  EmTargetOptions options;
  char *id;
  struct evconnlistener *listener; /* NULL: stopped */
  uint32_t percents[EM_FAULT_COUNT];
  GQueue conns;
  GQueue waiting;
  GQueue running;
  int64_t occupied_until_us;
  gboolean is_frozen;
  uint32_t limit_per_s;
};

typedef struct
{
  uint32_t status;
  gboolean is_refusal;
  const char *id; /* of the request */
  const char *body;
} Response;

static void read_input (Conn *conn);

static gboolean
draw_fault (EmTarget *target, EmFault fault)
{
  return g_rand_int_range (target->options.random, 0, 100)
         < (gint32)target->percents[fault];
}

static void
free_job (Job *job)
{
  EmTarget *target = job->target;

  if (job->conn != NULL)
    job->conn->job = NULL;
  if (job->timer == NULL)
    g_queue_unlink (&target->waiting, &job->node);
  else
    g_queue_unlink (&target->running, &job->node);
  g_clear_pointer (&job->timer, event_free);
  g_free (job);
}

/* A request in the queue is dropped with its connection; one that runs goes
   on.  */
static void
close_conn (Conn *conn, gboolean resets)
{
  struct linger linger = { .l_onoff = 1 };

  if (resets)
    setsockopt (bufferevent_getfd (conn->bev), SOL_SOCKET, SO_LINGER, &linger,
                sizeof linger);
  if (conn->job != NULL && conn->job->timer == NULL)
    free_job (conn->job);
  else if (conn->job != NULL)
    conn->job->conn = NULL;
  g_queue_unlink (&conn->target->conns, &conn->node);
  g_clear_pointer (&conn->copy_timer, event_free);
  if (conn->late_copy != NULL)
    g_string_free (conn->late_copy, TRUE);
  ht_head_clear (&conn->head);
  bufferevent_free (conn->bev);
  g_free (conn);
}

static void
send_late_copy (Conn *conn)
{
  if (conn->late_copy == NULL)
    return;
  bufferevent_write (conn->bev, conn->late_copy->str, conn->late_copy->len);
  g_string_free (conn->late_copy, TRUE);
  conn->late_copy = NULL;
}

static void
on_copy_timer (evutil_socket_t fd, short what, void *data)
{
  Conn *conn = data;

  (void)fd;
  (void)what;
  if (!conn->target->is_frozen)
    send_late_copy (conn);
}

static void
keep_late_copy (Conn *conn, const GString *bytes)
{
  GRand *random = conn->target->options.random;
  struct timeval delay
      = { 0, g_rand_int_range (random, 1, COPY_DELAY_MAX_US) };

  if (conn->late_copy != NULL)
    return;
  conn->late_copy = g_string_new_len (bytes->str, (gssize)bytes->len);
  if (g_rand_int_range (random, 0, 100) < COPY_AT_NEXT_PERCENT)
    return;
  if (conn->copy_timer == NULL)
    conn->copy_timer
        = evtimer_new (conn->target->options.base, on_copy_timer, conn);
  evtimer_add (conn->copy_timer, &delay);
}

static GString *
format_response (EmTarget *target, const Response *response, gboolean closes)
{
  GString *out = g_string_new (NULL);

  g_string_append_printf (out,
                          "HTTP/1.1 %u %s\r\nContent-Length: %zu\r\n"
                          "X-Comfreywalk-Instance-Id: %s\r\n",
                          response->status,
                          ht_reason_phrase (response->status),
                          strlen (response->body), target->id);
  if (target->options.tells_load)
    g_string_append_printf (out, "X-Comfreywalk-Upstream-Load: %u,%u,%u\r\n",
                            target->running.length, target->waiting.length,
                            target->options.slot_count);
  if (!draw_fault (target, EM_FAULT_NO_ID))
    g_string_append_printf (out, ATTEMPT_ID_HEADER ": %s\r\n", response->id);
  if (response->is_refusal)
    g_string_append (out, "X-Comfreywalk-Not-Executed: 1\r\n");
  if (response->status == 200)
    g_string_append (out, "X-Comfreywalk-Upstream-Signature: 1.2.3\r\n");
  if (target->limit_per_s > 0)
    g_string_append_printf (out, "Server-Limit: %u\r\n", target->limit_per_s);
  if (closes)
    g_string_append (out, "Connection: close\r\n");
  g_string_append_printf (out, "\r\n%s", response->body);
  return out;
}

/* Sends RESPONSE with what faults make of it.  Returns FALSE if the connection
   is closed.  */
static gboolean
respond (Conn *conn, const Response *response)
{
  EmTarget *target = conn->target;
  gboolean closes = draw_fault (target, EM_FAULT_CLOSE);
  g_autoptr (GString) out = NULL;
  gsize length;

  if (draw_fault (target, EM_FAULT_LOSE)
      || draw_fault (target, EM_FAULT_RESET))
    {
      close_conn (conn, draw_fault (target, EM_FAULT_RESET));
      return FALSE;
    }
  if (draw_fault (target, EM_FAULT_SILENT))
    return TRUE;
  out = format_response (target, response, closes);
  length = out->len;
  if (draw_fault (target, EM_FAULT_TRUNCATE))
    {
      length = (gsize)g_rand_int_range (target->options.random, 1,
                                        (gint32)length);
      closes = TRUE;
    }
  if (draw_fault (target, EM_FAULT_LATE_COPY))
    keep_late_copy (conn, out);
  bufferevent_write (conn->bev, out->str, length);
  if (draw_fault (target, EM_FAULT_DOUBLE))
    bufferevent_write (conn->bev, out->str, length);
  if (draw_fault (target, EM_FAULT_STRAY))
    bufferevent_write (conn->bev, "stray bytes\r\n\r\n", 15);
  if (!closes)
    return TRUE;
  /* What was written is sent before the connection closes.  */
  evbuffer_write (bufferevent_get_output (conn->bev),
                  bufferevent_getfd (conn->bev));
  close_conn (conn, FALSE);
  return FALSE;
}

static gboolean
refuse (Conn *conn, uint32_t status, const char *id)
{
  return respond (
      conn, &(Response){
                .status = status, .is_refusal = TRUE, .id = id, .body = "" });
}

static void
end_job (Job *job)
{
  EmTarget *target = job->target;
  Conn *conn = job->conn;
  g_autofree char *id = g_strdup (job->id);
  g_autofree char *body = g_strdup_printf ("%s %s", job->id, target->id);
  gboolean is_late = g_get_monotonic_time () > job->deadline_us;
  gboolean fails = draw_fault (target, EM_FAULT_FAIL);

  free_job (job);
  if (conn == NULL)
    return;
  if (respond (conn, &(Response){ .status = is_late ? 504
                                            : fails ? 500
                                                    : 200,
                                  .id = id,
                                  .body = body }))
    read_input (conn);
}

static void start_waiting_jobs (EmTarget *target);

static void
on_job_timer (evutil_socket_t fd, short what, void *data)
{
  Job *job = data;
  EmTarget *target = job->target;
  struct timeval poll = { 0, FROZEN_POLL_US };

  (void)fd;
  (void)what;
  if (target->is_frozen)
    {
      evtimer_add (job->timer, &poll);
      return;
    }
  end_job (job);
  start_waiting_jobs (target);
}

static void
start_job (Job *job)
{
  EmTarget *target = job->target;
  const EmTargetOptions *options = &target->options;
  int64_t service_us
      = g_rand_int_range (options->random, (gint32)options->service_min_us,
                          (gint32)options->service_max_us + 1);
  struct timeval service = { service_us / 1000000, service_us % 1000000 };

  em_judge_add_run (options->judge, job->id, target->id, job->body_hash);
  g_queue_unlink (&target->waiting, &job->node);
  g_queue_push_tail_link (&target->running, &job->node);
  job->timer = evtimer_new (options->base, on_job_timer, job);
  evtimer_add (job->timer, &service);
}

static void
start_waiting_jobs (EmTarget *target)
{
  while (target->running.length < target->options.slot_count
         && !g_queue_is_empty (&target->waiting))
    {
      Job *job = g_queue_peek_head (&target->waiting);
      Conn *conn = job->conn;
      g_autofree char *id = g_strdup (job->id);

      if (g_get_monotonic_time () <= job->deadline_us)
        {
          start_job (job);
          continue;
        }
      free_job (job);
      if (refuse (conn, 503, id))
        read_input (conn);
    }
}

static gboolean
is_full (const EmTarget *target)
{
  return (g_get_monotonic_time () < target->occupied_until_us
          && g_rand_int_range (target->options.random, 0, 100)
                 < OCCUPIED_PERCENT)
         || target->running.length + target->waiting.length
                >= target->options.slot_count
                       + target->options.queue_max_count;
}

static void
enqueue (Conn *conn, const char *id)
{
  EmTarget *target = conn->target;
  const char *left
      = ht_headers_get (conn->head.headers, "X-Comfreywalk-Deadline-Ms");
  Job *job = g_new0 (Job, 1);

  job->target = target;
  job->conn = conn;
  job->node.data = job;
  job->body_hash = conn->body_hash;
  job->deadline_us
      = g_get_monotonic_time ()
        + (left != NULL ? g_ascii_strtoll (left, NULL, 10) * 1000 : 0);
  g_strlcpy (job->id, id, sizeof job->id);
  conn->job = job;
  g_queue_push_tail_link (&target->waiting, &job->node);
  start_waiting_jobs (target);
}

static const char *
request_id (const Conn *conn)
{
  const char *id = ht_headers_get (conn->head.headers, ATTEMPT_ID_HEADER);

  return id != NULL ? id : "-";
}

static gboolean
is_for_another (const Conn *conn)
{
  const char *expected
      = ht_headers_get (conn->head.headers, "X-Comfreywalk-Expect-Instance");

  return expected != NULL && strcmp (expected, conn->target->id) != 0;
}

/* Returns FALSE if the connection is closed.  */
static gboolean
handle_request (Conn *conn)
{
  g_autofree char *id = g_strdup (request_id (conn));

  send_late_copy (conn);
  if (is_for_another (conn))
    return refuse (conn, 421, id);
  if (is_full (conn->target))
    return refuse (conn, 503, id);
  enqueue (conn, id);
  return TRUE;
}

/* Returns TRUE once the head is complete.  */
static gboolean
read_head (Conn *conn)
{
  struct evbuffer *input = bufferevent_get_input (conn->bev);
  gsize length = MIN (evbuffer_get_length (input), HT_HEAD_MAX_BYTES);
  const char *bytes = (char *)evbuffer_pullup (input, (ev_ssize_t)length);
  gsize head_bytes = length > 0 ? ht_head_length (bytes, length, 0) : 0;

  if (head_bytes == 0
      || !ht_parse_request (bytes, head_bytes, &conn->head, NULL))
    return FALSE;
  evbuffer_drain (input, head_bytes);
  conn->has_head = TRUE;
  conn->is_answered = FALSE;
  conn->body_hash = EM_HASH_START;
  conn->body_left_bytes = conn->head.content_length_bytes;
  return TRUE;
}

/* Returns TRUE once the body is complete.  */
static gboolean
read_body (Conn *conn)
{
  struct evbuffer *input = bufferevent_get_input (conn->bev);

  while (conn->body_left_bytes > 0 && evbuffer_get_length (input) > 0)
    {
      gsize length
          = MIN (evbuffer_get_contiguous_space (input), conn->body_left_bytes);

      conn->body_hash
          = em_hash (conn->body_hash,
                     evbuffer_pullup (input, (ev_ssize_t)length), length);
      evbuffer_drain (input, length);
      conn->body_left_bytes -= length;
    }
  return conn->body_left_bytes == 0;
}

/* Returns FALSE if the connection is closed.  */
static gboolean
refuse_early (Conn *conn)
{
  g_autofree char *id = g_strdup (request_id (conn));

  if (conn->body_left_bytes == 0 || !draw_fault (conn->target, EM_FAULT_EARLY))
    return TRUE;
  conn->is_answered = TRUE;
  return refuse (conn, 503, id);
}

static void
read_input (Conn *conn)
{
  while (conn->job == NULL)
    {
      if (!conn->has_head && (!read_head (conn) || !refuse_early (conn)))
        return;
      if (!read_body (conn))
        return;
      conn->has_head = FALSE;
      if (!conn->is_answered && !handle_request (conn))
        return;
      ht_head_clear (&conn->head);
    }
}

static void
on_read (struct bufferevent *bev, void *data)
{
  (void)bev;
  read_input (data);
}

static void
on_event (struct bufferevent *bev, short what, void *data)
{
  Conn *conn = data;

  (void)bev;
  if ((what & BEV_EVENT_TIMEOUT) != 0
      && (conn->job != NULL || conn->has_head || conn->target->is_frozen))
    {
      bufferevent_enable (bev, EV_READ);
      return;
    }
  close_conn (conn, FALSE);
}

static void
on_accept (struct evconnlistener *listener, evutil_socket_t fd,
           struct sockaddr *address, int length, void *data)
{
  EmTarget *target = data;
  const EmTargetOptions *options = &target->options;
  struct timeval idle = { options->idle_timeout_us / 1000000,
                          options->idle_timeout_us % 1000000 };
  Conn *conn = g_new0 (Conn, 1);

  (void)listener;
  (void)address;
  (void)length;
  conn->target = target;
  conn->node.data = conn;
  conn->bev
      = bufferevent_socket_new (options->base, fd, BEV_OPT_CLOSE_ON_FREE);
  g_queue_push_tail_link (&target->conns, &conn->node);
  bufferevent_setcb (conn->bev, on_read, NULL, on_event, conn);
  bufferevent_set_timeouts (conn->bev, &idle, NULL);
  bufferevent_enable (conn->bev, EV_READ | EV_WRITE);
}

static gboolean
start_listening (EmTarget *target)
{
  struct sockaddr_storage address = { 0 };
  int length = sizeof address;

  if (evutil_parse_sockaddr_port (target->options.address,
                                  (struct sockaddr *)&address, &length)
      != 0)
    return FALSE;
  target->listener = evconnlistener_new_bind (
      target->options.base, on_accept, target,
      LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC,
      BACKLOG, (struct sockaddr *)&address, length);
  return target->listener != NULL;
}

EmTarget *
em_target_new (const EmTargetOptions *options, GError **error)
{
  EmTarget *target = g_new0 (EmTarget, 1);

  target->options = *options;
  target->options.address = g_strdup (options->address);
  target->id = g_strdup (options->id);
  if (start_listening (target))
    return target;
  g_set_error (error, SI_ERROR, SI_ERROR_SPAWN, "cannot listen on %s",
               options->address);
  em_target_free (target);
  return NULL;
}

void
em_target_free (EmTarget *target)
{
  if (target == NULL)
    return;
  em_target_stop (target, FALSE);
  g_free ((char *)target->options.address);
  g_free (target->id);
  g_free (target);
}

void
em_target_set_fault (EmTarget *target, EmFault fault, uint32_t percent)
{
  target->percents[fault] = percent;
}

void
em_target_occupy (EmTarget *target, int64_t until_us)
{
  target->occupied_until_us = until_us;
}

void
em_target_freeze (EmTarget *target, gboolean is_frozen)
{
  target->is_frozen = is_frozen;
  for (GList *node = target->conns.head; node != NULL; node = node->next)
    {
      Conn *conn = node->data;
      if (is_frozen)
        bufferevent_disable (conn->bev, EV_READ | EV_WRITE);
      else
        bufferevent_enable (conn->bev, EV_READ | EV_WRITE);
    }
  if (target->listener == NULL)
    return;
  if (is_frozen)
    evconnlistener_disable (target->listener);
  else
    evconnlistener_enable (target->listener);
}

void
em_target_stop (EmTarget *target, gboolean resets)
{
  target->is_frozen = FALSE;
  while (!g_queue_is_empty (&target->conns))
    close_conn (g_queue_peek_head (&target->conns), resets);
  while (!g_queue_is_empty (&target->running))
    free_job (g_queue_peek_head (&target->running));
  g_clear_pointer (&target->listener, evconnlistener_free);
}

gboolean
em_target_start (EmTarget *target, const char *id)
{
  g_free (target->id);
  target->id = g_strdup (id);
  return target->listener != NULL || start_listening (target);
}

void
em_target_set_limit (EmTarget *target, uint32_t limit_per_s)
{
  target->limit_per_s = limit_per_s;
}

const char *
em_target_id (const EmTarget *target)
{
  return target->id;
}
