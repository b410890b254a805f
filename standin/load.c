#include "standin/load.h"

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <string.h>

#include "standin/echo.h"
#include "standin/serve.h"

#define ATTEMPTS_MAX 4
/* An order whose first attempt still runs is answered 409 until it is done. */
#define REPEAT_AFTER_MS 250
#define LAST_CLOSE_US 10000
#define ORDER_BODY "{\"items\":[1,2,3]}"
/* Kept for the time after the last arrival in which answers may come.  */
#define GRACE_MS 500

typedef struct Load Load;

typedef struct
{
  struct evhttp_connection *http;
  uint32_t vm;
  gboolean fresh;
} Channel;

typedef struct
{
  Load *load;
  const SiArrival *arrival;
  Channel *channel;
  struct event *timer; /* pause before a repeat */
  char tag[40];
  uint32_t vm;
  uint32_t attempt_count;
  int64_t planned_us;
  int64_t sent_us;
  gboolean broken;       /* the connection failed during the answer */
  gboolean may_have_run; /* an attempt ended without a clear refusal */
  int status;
} Request;

struct Load
{
  const SiLoadOptions *options;
  SiLoadResult *result;
  struct event_base *base;
  GArray *plan;
  guint next_index;
  guint open_count;
  int64_t start_us;
  struct event *arrivals;
  GQueue **idle; /* Channel, by VM */
};

static void send_request (Request *request);

static Channel *
take_channel (Load *load, uint32_t vm, gboolean fresh)
{
  Channel *channel = fresh ? NULL : g_queue_pop_tail (load->idle[vm]);
  g_autofree char *ip = NULL;
  uint16_t port = 0;
  struct timeval timeout
      = { .tv_sec = load->options->timeout_ms / 1000,
          .tv_usec = load->options->timeout_ms % 1000 * 1000 };

  if (channel != NULL)
    return channel;
  si_split_address (g_ptr_array_index (load->options->vms, vm), &ip, &port);
  channel = g_new0 (Channel, 1);
  channel->http = evhttp_connection_base_new (load->base, NULL, ip, port);
  channel->vm = vm;
  channel->fresh = fresh;
  evhttp_connection_set_timeout_tv (channel->http, &timeout);
  return channel;
}

static void
channel_free (void *data)
{
  Channel *channel = data;

  evhttp_connection_free (channel->http);
  g_free (channel);
}

static void
on_channel_idle (evutil_socket_t fd, short events, void *data)
{
  (void)fd;
  (void)events;
  channel_free (data);
}

/* A connection may not be freed within its own callback.  */
static void
give_channel (Load *load, Channel *channel, gboolean whole)
{
  struct timeval now = { 0 };

  if (whole && !channel->fresh)
    g_queue_push_tail (load->idle[channel->vm], channel);
  else
    event_base_once (load->base, -1, EV_TIMEOUT, on_channel_idle, channel,
                     &now);
}

static void
count_text (GHashTable *table, const char *text)
{
  gsize count = GPOINTER_TO_SIZE (g_hash_table_lookup (table, text));
  g_hash_table_insert (table, g_strdup (text), GSIZE_TO_POINTER (count + 1));
}

static void
write_trace (const Request *request, SiLoadOutcome outcome, int64_t now_us)
{
  static const char *const kinds[] = { "read", "order", "lookup" };
  const SiArrival *arrival = request->arrival;

  if (request->load->result->trace == NULL)
    return;
  g_string_append_printf (request->load->result->trace,
                          "%s %s %s %" G_GINT64_FORMAT " %" G_GINT64_FORMAT
                          " %d %s %s\n",
                          request->tag, arrival->customer->name,
                          kinds[arrival->kind], request->sent_us, now_us,
                          request->status, si_load_outcome_name (outcome),
                          arrival->kind == SI_LOAD_ORDER ? request->tag : "-");
}

static void
finish (Request *request, SiLoadOutcome outcome)
{
  Load *load = request->load;
  SiLoadCustomer *customer = request->arrival->customer;
  int64_t now_us = g_get_monotonic_time ();

  customer->counts[outcome]++;
  if (outcome == SI_LOAD_ANSWERED)
    mt_observe (customer->latency, now_us - request->planned_us);
  if (request->status == 429)
    customer->rate_refused_count++;
  write_trace (request, outcome, now_us);
  event_free (request->timer);
  g_free (request);
  load->open_count--;
  /* Connections that are due to be closed are closed before the exit.  */
  if (load->open_count == 0 && load->next_index == load->plan->len)
    event_base_loopexit (load->base,
                         &(struct timeval){ .tv_usec = LAST_CLOSE_US });
}

static void
on_repeat (evutil_socket_t fd, short events, void *data)
{
  (void)fd;
  (void)events;
  send_request (data);
}

static void
repeat (Request *request, gboolean at_once)
{
  struct timeval pause = { .tv_usec = at_once ? 0 : REPEAT_AFTER_MS * 1000 };

  request->load->result->repeat_count++;
  request->vm = (request->vm + 1) % request->load->options->vms->len;
  evtimer_add (request->timer, &pause);
}

/* Counts the status and the error that the body names.  */
static gboolean
body_says (const char *body, const char *word)
{
  return strstr (body, word) != NULL;
}

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
  count_text (request->load->result->statuses, name);
}

static void
judge_answer (Request *request, const char *body, gsize length_bytes)
{
  const SiArrival *arrival = request->arrival;
  gboolean order = arrival->kind == SI_LOAD_ORDER;
  const char *sent = order ? ORDER_BODY : "";
  gboolean own = arrival->kind == SI_LOAD_LOOKUP
                     ? body_says (body, "\"vms\"")
                     : si_echo_check (body, length_bytes, request->tag, sent,
                                      strlen (sent));
  finish (request, own ? SI_LOAD_ANSWERED : SI_LOAD_WRONG);
}

static void
judge (Request *request, const char *body, gsize length_bytes)
{
  gboolean last = request->attempt_count >= ATTEMPTS_MAX;
  gboolean not_run = body_says (body, "not_run");

  if (request->status >= 200 && request->status < 300)
    {
      judge_answer (request, body, length_bytes);
      return;
    }
  count_refusal (request, body);
  if (!not_run)
    request->may_have_run = TRUE;
  /* A refusal of one VM for lack of capacity or freshness may not hold at the
     next one.  */
  if (!last && (request->status >= 500 || request->status == 409))
    {
      repeat (request, FALSE);
      return;
    }
  finish (request, request->may_have_run ? SI_LOAD_UNKNOWN : SI_LOAD_REFUSED);
}

static void
on_error (enum evhttp_request_error error, void *data)
{
  Request *request = data;

  (void)error;
  request->broken = TRUE;
}

static void
on_answer (struct evhttp_request *http, void *data)
{
  Request *request = data;
  Load *load = request->load;
  gboolean whole = http != NULL && !request->broken
                   && evhttp_request_get_response_code (http) != 0;
  struct evbuffer *input;
  g_autofree char *body = NULL;
  gsize length_bytes;

  give_channel (load, request->channel, whole);
  request->channel = NULL;
  if (!whole)
    {
      /* evhttp passes the request where the connect failed.  */
      gboolean refused = http != NULL && !request->broken;

      count_text (load->result->statuses,
                  refused ? "no connection" : "no answer");
      if (!refused)
        request->may_have_run = TRUE;
      if (request->attempt_count < ATTEMPTS_MAX)
        repeat (request, TRUE);
      else
        finish (request,
                request->may_have_run ? SI_LOAD_UNKNOWN : SI_LOAD_REFUSED);
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
  judge (request, body, length_bytes);
}

static void
add_headers (Request *request, struct evhttp_request *http)
{
  const SiLoadOptions *options = request->load->options;
  const SiLoadCustomer *customer = request->arrival->customer;
  struct evkeyvalq *headers = evhttp_request_get_output_headers (http);
  char number[24];

  evhttp_add_header (headers, "Host", "comfreywalk");
  evhttp_add_header (headers, "X-Request-Tag", request->tag);
  if (request->channel->fresh)
    evhttp_add_header (headers, "Connection", "close");
  if (customer->key != NULL)
    {
      g_autofree char *value = g_strconcat ("Bearer ", customer->key, NULL);
      evhttp_add_header (headers, "Authorization", value);
    }
  if (request->arrival->kind == SI_LOAD_ORDER)
    evhttp_add_header (headers, "Idempotency-Key", request->tag);
  if (options->answer_bytes > 0)
    {
      g_snprintf (number, sizeof number, "%u", options->answer_bytes);
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
request_path (const Request *request)
{
  const SiLoadOptions *options = request->load->options;
  const SiLoadCustomer *customer = request->arrival->customer;

  if (request->arrival->kind == SI_LOAD_LOOKUP)
    return g_strconcat ("/v1/lookup?service=", options->lookup_service, NULL);
  if (request->arrival->kind == SI_LOAD_ORDER)
    return g_strdup (options->order_path);
  return g_strdup (customer->path == NULL ? options->read_path
                                          : customer->path);
}

static void
send_request (Request *request)
{
  Load *load = request->load;
  gboolean order = request->arrival->kind == SI_LOAD_ORDER;
  struct evhttp_request *http = evhttp_request_new (on_answer, request);
  g_autofree char *path = request_path (request);

  request->broken = FALSE;
  request->attempt_count++;
  request->channel = take_channel (load, request->vm, request->arrival->fresh);
  add_headers (request, http);
  if (order)
    evbuffer_add (evhttp_request_get_output_buffer (http), ORDER_BODY,
                  strlen (ORDER_BODY));
  evhttp_request_set_error_cb (http, on_error);
  if (evhttp_make_request (request->channel->http, http,
                           order ? EVHTTP_REQ_POST : EVHTTP_REQ_GET, path)
      != 0)
    g_error ("cannot open a socket for a request");
}

static void
start_request (Load *load, const SiArrival *arrival)
{
  Request *request = g_new0 (Request, 1);

  request->load = load;
  request->arrival = arrival;
  request->vm = arrival->vm;
  request->planned_us = load->start_us + arrival->at_us;
  request->sent_us = g_get_monotonic_time ();
  request->timer = evtimer_new (load->base, on_repeat, request);
  g_snprintf (request->tag, sizeof request->tag, "%u-%u-%" G_GINT64_FORMAT,
              load->options->seed, arrival->number, load->start_us);
  load->open_count++;
  send_request (request);
}

static void
on_arrival (evutil_socket_t fd, short events, void *data)
{
  Load *load = data;
  int64_t now_us = g_get_monotonic_time () - load->start_us;
  int64_t wait_us;
  struct timeval wait;

  (void)fd;
  (void)events;
  while (load->next_index < load->plan->len)
    {
      const SiArrival *arrival
          = &g_array_index (load->plan, SiArrival, load->next_index);

      wait_us = arrival->at_us - now_us;
      if (wait_us > 0)
        {
          wait = (struct timeval){ .tv_sec = wait_us / G_USEC_PER_SEC,
                                   .tv_usec = wait_us % G_USEC_PER_SEC };
          evtimer_add (load->arrivals, &wait);
          return;
        }
      load->next_index++;
      start_request (load, arrival);
    }
}

void
si_load_run (const SiLoadOptions *options, SiLoadResult *result)
{
  Load load = { .options = options, .result = result };
  /* The longest chain of attempts, so that the run always ends.  */
  int64_t limit_ms
      = options->duration_ms + GRACE_MS
        + (int64_t)ATTEMPTS_MAX * (options->timeout_ms + REPEAT_AFTER_MS);
  struct timeval limit = { .tv_sec = limit_ms / 1000 };

  load.base = si_base_new ();
  load.plan = si_load_plan (options);
  load.idle = g_new0 (GQueue *, options->vms->len);
  for (guint i = 0; i < options->vms->len; i++)
    load.idle[i] = g_queue_new ();
  load.arrivals = evtimer_new (load.base, on_arrival, &load);
  load.start_us = g_get_monotonic_time ();
  on_arrival (-1, 0, &load);
  event_base_loopexit (load.base, &limit);
  if (load.plan->len > 0)
    event_base_dispatch (load.base);
  for (guint i = 0; i < options->vms->len; i++)
    g_queue_free_full (load.idle[i], channel_free);
  g_free (load.idle);
  event_free (load.arrivals);
  g_array_unref (load.plan);
  event_base_free (load.base);
}
