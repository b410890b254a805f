#include "standin/load.h"

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <string.h>

#include "standin/echo.h"
#include "standin/serve.h"

#define ATTEMPTS_MAX 4
/* An order gets status 409 while its first attempt is still running.  */
#define RETRY_DELAY_MS 250
#define EXIT_DELAY_US 10000
#define ORDER_BODY "{\"items\":[1,2,3]}"
/* Time for responses after the last planned request.  */
#define RESPONSE_GRACE_MS 500

typedef struct Load Load;

typedef struct
{
  struct evhttp_connection *http;
  uint32_t vm;
  gboolean new_connection;
} Connection;

typedef struct
{
  Load *load;
  const SiPlannedRequest *planned;
  Connection *connection;
  struct event *timer; /* delay before a retry */
  char tag[40];
  uint32_t vm;
  uint32_t attempt_count;
  int64_t planned_us;
  int64_t sent_us;
  gboolean failed; /* the connection failed before the end of the response */
  gboolean may_have_run; /* an attempt was sent and got no "not_run" */
  int status;
} Request;

struct Load
{
  const SiLoadOptions *options;
  SiLoadResult *result;
  struct event_base *base;
  GArray *plan;
  guint next_index;          /* of the next request to send, in the plan */
  GHashTable *open_requests; /* set of Request sent that have no outcome */
  int64_t start_us;
  struct event *send_timer;
  GQueue **idle_connections; /* Connection, by VM */
};

static void send_request (Request *request);

static Connection *
get_connection (Load *load, uint32_t vm, gboolean new_connection)
{
  Connection *connection
      = new_connection ? NULL : g_queue_pop_tail (load->idle_connections[vm]);
  g_autofree char *ip = NULL;
  uint16_t port = 0;
  struct timeval timeout
      = { .tv_sec = load->options->timeout_ms / 1000,
          .tv_usec = load->options->timeout_ms % 1000 * 1000 };

  if (connection != NULL)
    return connection;
  si_split_address (g_ptr_array_index (load->options->vms, vm), &ip, &port);
  connection = g_new0 (Connection, 1);
  connection->http = evhttp_connection_base_new (load->base, NULL, ip, port);
  connection->vm = vm;
  connection->new_connection = new_connection;
  evhttp_connection_set_timeout_tv (connection->http, &timeout);
  return connection;
}

static void
connection_free (void *data)
{
  Connection *connection = data;

  evhttp_connection_free (connection->http);
  g_free (connection);
}

static void
on_free_connection (evutil_socket_t fd, short events, void *data)
{
  (void)fd;
  (void)events;
  connection_free (data);
}

/* A connection must not be freed in its own callback, so the event loop frees
   it later.  */
static void
release_connection (Load *load, Connection *connection, gboolean complete)
{
  struct timeval now = { 0 };

  if (complete && !connection->new_connection)
    g_queue_push_tail (load->idle_connections[connection->vm], connection);
  else
    event_base_once (load->base, -1, EV_TIMEOUT, on_free_connection,
                     connection, &now);
}

static void
add_count (GHashTable *table, const char *text)
{
  gsize count = GPOINTER_TO_SIZE (g_hash_table_lookup (table, text));
  g_hash_table_insert (table, g_strdup (text), GSIZE_TO_POINTER (count + 1));
}

static void
write_trace (const Request *request, SiLoadOutcome outcome, int64_t now_us)
{
  static const char *const kinds[] = { "read", "order", "lookup" };
  const SiPlannedRequest *planned = request->planned;

  if (request->load->result->trace == NULL)
    return;
  g_string_append_printf (request->load->result->trace,
                          "%s %s %s %" G_GINT64_FORMAT " %" G_GINT64_FORMAT
                          " %d %s %s\n",
                          request->tag, planned->customer->name,
                          kinds[planned->kind], request->sent_us, now_us,
                          request->status, si_load_outcome_name (outcome),
                          planned->kind == SI_LOAD_ORDER ? request->tag : "-");
}

static void
finish_request (Request *request, SiLoadOutcome outcome)
{
  Load *load = request->load;
  SiLoadCustomer *customer = request->planned->customer;
  int64_t now_us = g_get_monotonic_time ();

  customer->counts[outcome]++;
  if (outcome == SI_LOAD_ANSWERED)
    mt_observe (customer->latency, now_us - request->planned_us);
  if (request->status == 429)
    customer->rate_refused_count++;
  write_trace (request, outcome, now_us);
  g_hash_table_remove (load->open_requests, request);
  event_free (request->timer);
  g_free (request);
  /* Leaves time to free the connections that release_connection queued.  */
  if (g_hash_table_size (load->open_requests) == 0
      && load->next_index == load->plan->len)
    event_base_loopexit (load->base,
                         &(struct timeval){ .tv_usec = EXIT_DELAY_US });
}

static void
on_retry (evutil_socket_t fd, short events, void *data)
{
  (void)fd;
  (void)events;
  send_request (data);
}

static void
schedule_retry (Request *request, gboolean immediate)
{
  struct timeval delay = { .tv_usec = immediate ? 0 : RETRY_DELAY_MS * 1000 };

  request->load->result->retry_count++;
  request->vm = (request->vm + 1) % request->load->options->vms->len;
  evtimer_add (request->timer, &delay);
}

static gboolean
body_contains (const char *body, const char *word)
{
  return strstr (body, word) != NULL;
}

/* Counts the refusal by its status and the error in its body.  */
static void
count_refusal (Request *request, const char *body)
{
  const char *error = strstr (body, "\"error\":");
  g_autofree char *name = NULL;

  if (error != NULL)
    {
      g_auto (GStrv) parts
          = g_strsplit (error + strlen ("\"error\":"), "\"", 3);
      name = g_strdup_printf ("%d %s", request->status,
                              g_strv_length (parts) > 1 ? parts[1] : "");
    }
  else
    name = g_strdup_printf ("%d", request->status);
  add_count (request->load->result->refusal_counts, name);
}

static void
check_response (Request *request, const char *body, gsize length_bytes)
{
  const SiPlannedRequest *planned = request->planned;
  gboolean order = planned->kind == SI_LOAD_ORDER;
  const char *request_body = order ? ORDER_BODY : "";
  gboolean matches = planned->kind == SI_LOAD_LOOKUP
                         ? body_contains (body, "\"vms\"")
                         : si_echo_check (body, length_bytes, request->tag,
                                          request_body, strlen (request_body));
  finish_request (request, matches ? SI_LOAD_ANSWERED : SI_LOAD_WRONG);
}

static void
handle_response (Request *request, const char *body, gsize length_bytes)
{
  gboolean last = request->attempt_count >= ATTEMPTS_MAX;
  gboolean not_run = body_contains (body, "not_run");

  if (request->status >= 200 && request->status < 300)
    {
      check_response (request, body, length_bytes);
      return;
    }
  count_refusal (request, body);
  if (!not_run)
    request->may_have_run = TRUE;
  /* The next VM may have the capacity, or the current configuration, that this
     one lacks.  */
  if (!last && (request->status >= 500 || request->status == 409))
    {
      schedule_retry (request, FALSE);
      return;
    }
  finish_request (request,
                  request->may_have_run ? SI_LOAD_UNKNOWN : SI_LOAD_REFUSED);
}

static void
on_error (enum evhttp_request_error error, void *data)
{
  Request *request = data;

  (void)error;
  request->failed = TRUE;
}

static void
on_response (struct evhttp_request *http, void *data)
{
  Request *request = data;
  Load *load = request->load;
  gboolean complete = http != NULL && !request->failed
                      && evhttp_request_get_response_code (http) != 0;
  struct evbuffer *input;
  g_autofree char *body = NULL;
  gsize length_bytes;

  release_connection (load, request->connection, complete);
  request->connection = NULL;
  if (!complete)
    {
      /* evhttp passes a request, without a status, if connecting failed.  */
      gboolean connect_failed = http != NULL && !request->failed;

      add_count (load->result->refusal_counts,
                 connect_failed ? "no connection" : "no answer");
      if (!connect_failed)
        request->may_have_run = TRUE;
      if (request->attempt_count < ATTEMPTS_MAX)
        schedule_retry (request, TRUE);
      else
        finish_request (request, request->may_have_run ? SI_LOAD_UNKNOWN
                                                       : SI_LOAD_REFUSED);
      return;
    }
  request->status = evhttp_request_get_response_code (http);
  input = evhttp_request_get_input_buffer (http);
  length_bytes = evbuffer_get_length (input);
  body = g_malloc0 (length_bytes + 1);
  evbuffer_copyout (input, body, length_bytes);
  if (evhttp_find_header (evhttp_request_get_input_headers (http),
                          "X-Replayed")
      != NULL)
    load->result->replayed_count++;
  handle_response (request, body, length_bytes);
}

static void
add_headers (Request *request, struct evhttp_request *http)
{
  const SiLoadOptions *options = request->load->options;
  const SiLoadCustomer *customer = request->planned->customer;
  struct evkeyvalq *headers = evhttp_request_get_output_headers (http);
  char number[24];

  evhttp_add_header (headers, "Host", "comfreywalk");
  evhttp_add_header (headers, "X-Request-Tag", request->tag);
  if (request->connection->new_connection)
    evhttp_add_header (headers, "Connection", "close");
  if (customer->key != NULL)
    {
      g_autofree char *value = g_strconcat ("Bearer ", customer->key, NULL);
      evhttp_add_header (headers, "Authorization", value);
    }
  if (request->planned->kind == SI_LOAD_ORDER)
    evhttp_add_header (headers, "Idempotency-Key", request->tag);
  if (options->response_bytes > 0)
    {
      g_snprintf (number, sizeof number, "%u", options->response_bytes);
      evhttp_add_header (headers, "X-Answer-Bytes", number);
    }
  if (options->deadline_ms > 0)
    {
      g_snprintf (number, sizeof number, "%u", options->deadline_ms);
      evhttp_add_header (headers, "X-Deadline-Ms", number);
    }
  if (options->work_ms > 0)
    {
      g_snprintf (number, sizeof number, "%u", options->work_ms);
      evhttp_add_header (headers, "X-Work-Ms", number);
    }
}

static char *
make_path (const Request *request)
{
  const SiLoadOptions *options = request->load->options;
  const SiLoadCustomer *customer = request->planned->customer;

  if (request->planned->kind == SI_LOAD_LOOKUP)
    return g_strconcat ("/v1/lookup?service=", options->lookup_service, NULL);
  if (request->planned->kind == SI_LOAD_ORDER)
    return g_strdup (options->order_path);
  return g_strdup (customer->read_path == NULL ? options->read_path
                                               : customer->read_path);
}

static void
send_request (Request *request)
{
  Load *load = request->load;
  gboolean order = request->planned->kind == SI_LOAD_ORDER;
  struct evhttp_request *http = evhttp_request_new (on_response, request);
  g_autofree char *path = make_path (request);

  request->failed = FALSE;
  request->attempt_count++;
  request->connection
      = get_connection (load, request->vm, request->planned->new_connection);
  add_headers (request, http);
  if (order)
    evbuffer_add (evhttp_request_get_output_buffer (http), ORDER_BODY,
                  strlen (ORDER_BODY));
  evhttp_request_set_error_cb (http, on_error);
  if (evhttp_make_request (request->connection->http, http,
                           order ? EVHTTP_REQ_POST : EVHTTP_REQ_GET, path)
      != 0)
    g_error ("cannot open a socket for a request");
}

static void
start_request (Load *load, const SiPlannedRequest *planned)
{
  Request *request = g_new0 (Request, 1);

  request->load = load;
  request->planned = planned;
  request->vm = planned->vm;
  request->planned_us = load->start_us + planned->offset_us;
  request->sent_us = g_get_monotonic_time ();
  request->timer = evtimer_new (load->base, on_retry, request);
  g_snprintf (request->tag, sizeof request->tag, "%u-%u-%" G_GINT64_FORMAT,
              load->options->seed, planned->number, load->start_us);
  g_hash_table_add (load->open_requests, request);
  send_request (request);
}

static void
send_due_requests (evutil_socket_t fd, short events, void *data)
{
  Load *load = data;
  int64_t now_us = g_get_monotonic_time () - load->start_us;
  int64_t wait_us;
  struct timeval wait;

  (void)fd;
  (void)events;
  while (load->next_index < load->plan->len)
    {
      const SiPlannedRequest *planned
          = &g_array_index (load->plan, SiPlannedRequest, load->next_index);

      wait_us = planned->offset_us - now_us;
      if (wait_us > 0)
        {
          wait = (struct timeval){ .tv_sec = wait_us / G_USEC_PER_SEC,
                                   .tv_usec = wait_us % G_USEC_PER_SEC };
          evtimer_add (load->send_timer, &wait);
          return;
        }
      load->next_index++;
      start_request (load, planned);
    }
}

/* Ends the requests that have no outcome at the end of the run.  */
static void
finish_open_requests (Load *load)
{
  g_autoptr (GList) requests = g_hash_table_get_keys (load->open_requests);

  load->result->unfinished_count = g_hash_table_size (load->open_requests)
                                   + load->plan->len - load->next_index;
  for (GList *link = requests; link != NULL; link = link->next)
    {
      Request *request = link->data;

      if (request->connection != NULL)
        {
          add_count (load->result->refusal_counts, "no answer");
          request->may_have_run = TRUE;
          connection_free (request->connection);
        }
      finish_request (request, request->may_have_run ? SI_LOAD_UNKNOWN
                                                     : SI_LOAD_REFUSED);
    }
}

void
si_load_run (const SiLoadOptions *options, SiLoadResult *result)
{
  Load load = { .options = options, .result = result };
  /* Enough for a last request whose attempts all time out; ends the run if a
     request still has no outcome.  */
  int64_t limit_ms
      = options->duration_ms + RESPONSE_GRACE_MS
        + (int64_t)ATTEMPTS_MAX * (options->timeout_ms + RETRY_DELAY_MS);
  struct timeval limit = { .tv_sec = limit_ms / 1000 };

  load.base = si_event_base_new ();
  load.plan = si_load_plan (options);
  load.open_requests = g_hash_table_new (NULL, NULL);
  load.idle_connections = g_new0 (GQueue *, options->vms->len);
  for (guint i = 0; i < options->vms->len; i++)
    load.idle_connections[i] = g_queue_new ();
  load.send_timer = evtimer_new (load.base, send_due_requests, &load);
  load.start_us = g_get_monotonic_time ();
  send_due_requests (-1, 0, &load);
  event_base_loopexit (load.base, &limit);
  if (load.plan->len > 0)
    event_base_dispatch (load.base);
  finish_open_requests (&load);
  for (guint i = 0; i < options->vms->len; i++)
    g_queue_free_full (load.idle_connections[i], connection_free);
  g_free (load.idle_connections);
  g_hash_table_unref (load.open_requests);
  event_free (load.send_timer);
  g_array_unref (load.plan);
  event_base_free (load.base);
}
