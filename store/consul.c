#include "store/store.h"

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <string.h>

#include "store/answer.h"

#define TIMEOUT_DEFAULT_MS 2000
#define CONNECTIONS_DEFAULT 8
/* The deadline of a call is this much later than the timeout of its
   connection.  A connect that times out is thus reported as ST_OUTCOME_DOWN,
   before the deadline would end a write as ST_OUTCOME_UNKNOWN.  */
#define TIMEOUT_SLACK_MS 50
/* Consul adds a random delay of up to 1/16 of the wait time.  */
#define WAIT_JITTER_DIVISOR 16

typedef enum
{
  CALL_GET,
  CALL_WATCH,
  CALL_CAS,
  CALL_DELETE,
  CALL_LIST_VMS,
} CallKind;

typedef struct Consul Consul;
typedef struct Connection Connection;

typedef struct
{
  Consul *consul;
  CallKind kind;
  Connection *connection; /* NULL while queued or finished */
  struct event *timer;    /* deadline; once finished, runs the callback */
  gboolean finished;
  gboolean connection_error; /* the connection failed after it was open */
  gboolean reading_back;     /* the CAS succeeded; its index is being read */
  char *path;
  char *key;           /* NULL unless CALL_CAS */
  GBytes *body;        /* value to write; NULL unless CALL_CAS */
  uint32_t timeout_ms; /* of its connection; see TIMEOUT_SLACK_MS */
  StCallback callback;
  StListCallback list_callback;
  void *data;
  StResult result;
  char *value;
  GPtrArray *vms;
} Call;

struct Connection
{
  struct evhttp_connection *http;
  Call *call; /* NULL while idle */
  gboolean is_for_watch;
};

struct Consul
{
  StStore store;
  StOptions options;
  char *address;
  GPtrArray *connections; /* Connection */
  GHashTable *calls;      /* Call; all whose callback has not run yet */
  GQueue *queue;          /* Call that waits for a connection */
};

static void send_queued_calls (Consul *consul);
static gboolean send_request (Connection *connection, Call *call);

static gboolean
is_write (const Call *call)
{
  return call->kind == CALL_CAS || call->kind == CALL_DELETE;
}

static gboolean
is_watch (const Call *call)
{
  return call->kind == CALL_WATCH
         || (call->kind == CALL_LIST_VMS
             && strstr (call->path, "wait=") != NULL);
}

static struct timeval
ms_to_timeval (uint32_t ms)
{
  return (struct timeval){ .tv_sec = ms / 1000,
                           .tv_usec = (ms % 1000) * 1000 };
}

static void
call_free (void *data)
{
  Call *call = data;

  event_free (call->timer);
  g_free (call->path);
  g_free (call->key);
  g_free (call->value);
  if (call->body != NULL)
    g_bytes_unref (call->body);
  if (call->vms != NULL)
    g_ptr_array_unref (call->vms);
  g_free (call);
}

static void
connection_free (void *data)
{
  Connection *connection = data;

  if (connection->http != NULL)
    evhttp_connection_free (connection->http);
  g_free (connection);
}

/* Called from the event loop and not from a callback of evhttp, so that the
   callback of CALL may free the store.  */
static void
run_callback (Call *call)
{
  g_hash_table_steal (call->consul->calls, call);
  if (call->kind == CALL_LIST_VMS)
    call->list_callback (call->vms, call->result.index, call->data);
  else
    call->callback (&call->result, call->data);
  call_free (call);
}

/* Has the event loop run the callback of CALL.  */
static void
finish_call (Call *call, StOutcome outcome)
{
  call->finished = TRUE;
  call->result.outcome = outcome;
  call->result.value = call->value;
  event_del (call->timer);
  event_active (call->timer, EV_TIMEOUT, 0);
}

/* Takes CALL out of the queue or closes its connection.  The latter also frees
   the request, and evhttp no longer calls its callbacks.  */
static void
abort_call (Call *call)
{
  Consul *consul = call->consul;

  if (call->connection == NULL)
    g_queue_remove (consul->queue, call);
  else
    g_ptr_array_remove_fast (consul->connections, call->connection);
  call->connection = NULL;
}

static void
on_timer (evutil_socket_t fd, short events, void *data)
{
  Call *call = data;
  gboolean sent = call->connection != NULL;
  Consul *consul = call->consul;

  (void)fd;
  (void)events;
  if (call->finished)
    {
      run_callback (call);
      return;
    }
  abort_call (call);
  if (call->reading_back)
    finish_call (call, ST_OUTCOME_OK);
  else
    finish_call (call, sent && is_write (call) ? ST_OUTCOME_UNKNOWN
                                               : ST_OUTCOME_DOWN);
  send_queued_calls (consul);
}

static void
on_request_error (enum evhttp_request_error error, void *data)
{
  Call *call = data;

  (void)error;
  call->connection_error = TRUE;
}

static uint64_t
parse_index_header (struct evhttp_request *request)
{
  const char *text = evhttp_find_header (
      evhttp_request_get_input_headers (request), "X-Consul-Index");

  return text == NULL ? 0 : g_ascii_strtoull (text, NULL, 10);
}

static StOutcome
parse_key_response (Call *call, struct evhttp_request *request,
                    const char *text, gsize length_bytes)
{
  int status = evhttp_request_get_response_code (request);

  if (status == HTTP_NOTFOUND)
    {
      call->result.index
          = call->kind == CALL_WATCH ? parse_index_header (request) : 0;
      return ST_OUTCOME_ABSENT;
    }
  if (status != HTTP_OK
      || !st_parse_key (text, length_bytes, &call->value,
                        &call->result.length_bytes, &call->result.index))
    return ST_OUTCOME_DOWN;
  if (call->kind == CALL_WATCH && parse_index_header (request) > 0)
    call->result.index = parse_index_header (request);
  return ST_OUTCOME_OK;
}

static StOutcome
parse_vms_response (Call *call, struct evhttp_request *request,
                    const char *text, gsize length_bytes)
{
  if (evhttp_request_get_response_code (request) != HTTP_OK)
    return ST_OUTCOME_DOWN;
  call->vms = st_parse_vms (text, length_bytes);
  call->result.index = parse_index_header (request);
  return call->vms == NULL ? ST_OUTCOME_DOWN : ST_OUTCOME_OK;
}

/* With a status other than 200 the write may still have taken effect: Consul
   may have changed its leader after the write was recorded.  */
static StOutcome
parse_write_response (struct evhttp_request *request, const char *text,
                      gsize length_bytes)
{
  gboolean written;

  if (evhttp_request_get_response_code (request) != HTTP_OK
      || !st_parse_bool (text, length_bytes, &written))
    return ST_OUTCOME_UNKNOWN;
  return written ? ST_OUTCOME_OK : ST_OUTCOME_CONFLICT;
}

/* Sets the index of a CAS from the read that follows it, if that read still
   returns the value written.  */
static void
parse_read_back_response (Call *call, struct evhttp_request *request,
                          const char *text, gsize length_bytes)
{
  g_autofree char *value = NULL;
  gsize value_bytes = 0, sent_bytes;
  const char *sent_value = g_bytes_get_data (call->body, &sent_bytes);
  uint64_t index = 0;

  if (evhttp_request_get_response_code (request) == HTTP_OK
      && st_parse_key (text, length_bytes, &value, &value_bytes, &index)
      && value_bytes == sent_bytes
      && (sent_bytes == 0 || memcmp (value, sent_value, sent_bytes) == 0))
    call->result.index = index;
}

static StOutcome
parse_response (Call *call, struct evhttp_request *request)
{
  struct evbuffer *input = evhttp_request_get_input_buffer (request);
  gsize length_bytes = evbuffer_get_length (input);
  const char *text = (const char *)evbuffer_pullup (input, -1);

  if (text == NULL)
    text = "";
  if (call->reading_back)
    {
      parse_read_back_response (call, request, text, length_bytes);
      return ST_OUTCOME_OK;
    }
  if (call->kind == CALL_LIST_VMS)
    return parse_vms_response (call, request, text, length_bytes);
  if (is_write (call))
    return parse_write_response (request, text, length_bytes);
  return parse_key_response (call, request, text, length_bytes);
}

static StOutcome
outcome_without_response (const Call *call, gboolean connect_failed)
{
  if (call->reading_back)
    return ST_OUTCOME_OK;
  if (!is_write (call) || connect_failed)
    return ST_OUTCOME_DOWN;
  return ST_OUTCOME_UNKNOWN;
}

static char *
key_path (const char *key)
{
  g_autofree char *escaped = g_uri_escape_string (key, "/", FALSE);
  return g_strdup_printf ("/v1/kv/%s", escaped);
}

/* Queues a read of the key that CALL has written: Consul's response to a write
   does not contain the index.  */
static void
start_read_back (Call *call)
{
  g_autofree char *path = key_path (call->key);

  g_free (call->path);
  call->path = g_strdup_printf ("%s?consistent", path);
  call->reading_back = TRUE;
  g_queue_push_head (call->consul->queue, call);
}

/* If no response was received, evhttp passes NULL after an error on an open
   connection, and a request with status 0 after a failed connect.  */
static void
on_response (struct evhttp_request *request, void *data)
{
  Call *call = data;
  Consul *consul = call->consul;
  StOutcome outcome;

  if (request != NULL && !call->connection_error
      && evhttp_request_get_response_code (request) != 0)
    outcome = parse_response (call, request);
  else
    outcome = outcome_without_response (call, request != NULL
                                                  && !call->connection_error);
  call->connection->call = NULL;
  call->connection = NULL;
  if (call->kind == CALL_CAS && outcome == ST_OUTCOME_OK
      && !call->reading_back)
    start_read_back (call);
  else
    finish_call (call, outcome);
  send_queued_calls (consul);
}

static gboolean
send_request (Connection *connection, Call *call)
{
  static const enum evhttp_cmd_type methods[] = {
    [CALL_GET] = EVHTTP_REQ_GET,       [CALL_WATCH] = EVHTTP_REQ_GET,
    [CALL_CAS] = EVHTTP_REQ_PUT,       [CALL_LIST_VMS] = EVHTTP_REQ_GET,
    [CALL_DELETE] = EVHTTP_REQ_DELETE,
  };
  struct evhttp_request *request = evhttp_request_new (on_response, call);
  struct evkeyvalq *headers = evhttp_request_get_output_headers (request);
  enum evhttp_cmd_type method
      = call->reading_back ? EVHTTP_REQ_GET : methods[call->kind];
  struct timeval timeout = ms_to_timeval (call->timeout_ms);

  evhttp_request_set_error_cb (request, on_request_error);
  evhttp_add_header (headers, "Host", call->consul->address);
  if (method == EVHTTP_REQ_PUT)
    evbuffer_add (evhttp_request_get_output_buffer (request),
                  g_bytes_get_data (call->body, NULL),
                  g_bytes_get_size (call->body));
  evhttp_connection_set_timeout_tv (connection->http, &timeout);
  connection->call = call;
  call->connection = connection;
  call->connection_error = FALSE;
  return evhttp_make_request (connection->http, request, method, call->path)
         == 0;
}

/* Returns an idle connection or a new one; NULL if none may be opened.  */
static Connection *
acquire_connection (Consul *consul, gboolean is_for_watch)
{
  Connection *connection;
  uint32_t count = 0;
  uint32_t count_max
      = is_for_watch ? ST_WATCHES_MAX : consul->options.connections_max;

  for (guint i = 0; i < consul->connections->len; i++)
    {
      connection = g_ptr_array_index (consul->connections, i);
      if (connection->is_for_watch != is_for_watch)
        continue;
      if (connection->call == NULL)
        return connection;
      count++;
    }
  if (count >= count_max)
    return NULL;
  connection = g_new0 (Connection, 1);
  connection->is_for_watch = is_for_watch;
  connection->http = evhttp_connection_base_new (
      consul->options.base, NULL, consul->address, consul->options.port);
  evhttp_connection_set_max_body_size (connection->http,
                                       ST_RESPONSE_MAX_BYTES);
  g_ptr_array_add (consul->connections, connection);
  return connection;
}

/* Sends CALL if a connection is free; returns FALSE if none is.  */
static gboolean
start_call (Consul *consul, Call *call)
{
  Connection *connection = acquire_connection (consul, is_watch (call));

  if (connection == NULL)
    return FALSE;
  /* evhttp_make_request fails only if it cannot open a socket.  CALL is
     already finished if evhttp has called on_response.  */
  if (!send_request (connection, call) && !call->finished)
    {
      connection->call = NULL;
      call->connection = NULL;
      finish_call (call, call->reading_back ? ST_OUTCOME_OK : ST_OUTCOME_DOWN);
    }
  return TRUE;
}

static void
send_queued_calls (Consul *consul)
{
  while (!g_queue_is_empty (consul->queue))
    {
      Call *call = g_queue_pop_head (consul->queue);

      if (start_call (consul, call))
        continue;
      g_queue_push_head (consul->queue, call);
      return;
    }
}

static Call *
call_new (StStore *store, CallKind kind, char *path, void *data)
{
  Consul *consul = (Consul *)store;
  Call *call = g_new0 (Call, 1);

  call->consul = consul;
  call->kind = kind;
  call->path = path;
  call->data = data;
  call->timeout_ms = consul->options.timeout_ms;
  call->timer = evtimer_new (consul->options.base, on_timer, call);
  g_hash_table_add (consul->calls, call);
  return call;
}

/* Sends CALL or queues it; a watch is never queued.  */
static void
submit_call (Call *call)
{
  Consul *consul = call->consul;
  struct timeval deadline
      = ms_to_timeval (call->timeout_ms + TIMEOUT_SLACK_MS);

  evtimer_add (call->timer, &deadline);
  if ((is_watch (call) || g_queue_is_empty (consul->queue))
      && start_call (consul, call))
    return;
  if (is_watch (call) || g_queue_get_length (consul->queue) >= ST_QUEUE_MAX)
    finish_call (call, ST_OUTCOME_DOWN);
  else
    g_queue_push_tail (consul->queue, call);
}

static void
consul_get (StStore *store, const char *key, StCallback callback, void *data)
{
  g_autofree char *path = key_path (key);
  Call *call = call_new (store, CALL_GET,
                         g_strdup_printf ("%s?consistent", path), data);

  call->callback = callback;
  submit_call (call);
}

static uint32_t
watch_timeout_ms (const Consul *consul, uint32_t wait_ms)
{
  return wait_ms + wait_ms / WAIT_JITTER_DIVISOR + consul->options.timeout_ms;
}

static void
consul_watch (StStore *store, const char *key, uint64_t after_index,
              uint32_t wait_ms, StCallback callback, void *data)
{
  g_autofree char *path = key_path (key);
  Call *call
      = call_new (store, CALL_WATCH,
                  g_strdup_printf ("%s?consistent&index=%" G_GUINT64_FORMAT
                                   "&wait=%" G_GUINT32_FORMAT "ms",
                                   path, after_index, wait_ms),
                  data);

  call->callback = callback;
  call->timeout_ms = watch_timeout_ms ((Consul *)store, wait_ms);
  submit_call (call);
}

static void
consul_cas (StStore *store, const char *key, uint64_t expected_index,
            const char *value, gsize length_bytes, StCallback callback,
            void *data)
{
  g_autofree char *path = key_path (key);
  Call *call = call_new (
      store, CALL_CAS,
      g_strdup_printf ("%s?cas=%" G_GUINT64_FORMAT, path, expected_index),
      data);

  call->callback = callback;
  call->key = g_strdup (key);
  call->body = g_bytes_new (value, length_bytes);
  submit_call (call);
}

static void
consul_delete_prefix (StStore *store, const char *prefix, StCallback callback,
                      void *data)
{
  g_autofree char *path = key_path (prefix);
  Call *call = call_new (store, CALL_DELETE,
                         g_strdup_printf ("%s?recurse", path), data);

  call->callback = callback;
  submit_call (call);
}

static void
consul_list_vms (StStore *store, const char *service, uint64_t after_index,
                 uint32_t wait_ms, StListCallback callback, void *data)
{
  g_autofree char *escaped = g_uri_escape_string (service, NULL, FALSE);
  GString *path = g_string_new (NULL);
  Call *call;

  g_string_printf (path, "/v1/catalog/service/%s", escaped);
  if (wait_ms > 0)
    g_string_append_printf (
        path, "?index=%" G_GUINT64_FORMAT "&wait=%" G_GUINT32_FORMAT "ms",
        after_index, wait_ms);
  call = call_new (store, CALL_LIST_VMS, g_string_free (path, FALSE), data);
  call->list_callback = callback;
  if (wait_ms > 0)
    call->timeout_ms = watch_timeout_ms ((Consul *)store, wait_ms);
  submit_call (call);
}

static void
consul_free (StStore *store)
{
  Consul *consul = (Consul *)store;

  g_ptr_array_unref (consul->connections);
  g_queue_free (consul->queue);
  g_hash_table_unref (consul->calls);
  g_free (consul->address);
  g_free (consul);
}

static const StClass consul_class = {
  .get = consul_get,
  .watch = consul_watch,
  .cas = consul_cas,
  .delete_prefix = consul_delete_prefix,
  .list_vms = consul_list_vms,
  .free = consul_free,
};

StStore *
st_consul_new (const StOptions *options)
{
  Consul *consul = g_new0 (Consul, 1);

  g_assert (options->base != NULL);
  consul->store.methods = &consul_class;
  consul->options = *options;
  consul->address = g_strdup (options->address);
  if (consul->options.timeout_ms == 0)
    consul->options.timeout_ms = TIMEOUT_DEFAULT_MS;
  if (consul->options.connections_max == 0)
    consul->options.connections_max = CONNECTIONS_DEFAULT;
  consul->connections = g_ptr_array_new_with_free_func (connection_free);
  consul->calls
      = g_hash_table_new_full (g_direct_hash, g_direct_equal, call_free, NULL);
  consul->queue = g_queue_new ();
  return &consul->store;
}
