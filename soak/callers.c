#include "soak/callers.h"

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <string.h>

/* For each of 3 daemons one caller of each of 5 kinds.  */
#define KIND_CALLER_COUNT 15
#define PROBE_CALLER_COUNT 6
#define CALLER_COUNT (KIND_CALLER_COUNT + PROBE_CALLER_COUNT)
/* Mean pause between a response and the next request of the caller.  */
#define PAUSE_MEAN_MS 60
/* Longer than the deadlines: a daemon may still deliver a response after. */
#define RESPONSE_TIMEOUT_S 8
/* Percentage of the requests of c1 that present the key before the current
   one, though that is revoked.  */
#define PREVIOUS_KEY_PERCENT 10

/* Caller N sends requests of kind N modulo the number of kinds.  The paths
   belong to the routes that site.c configures.  */
typedef struct
{
  const char *path;
  const char *customer; /* "-": none; sends no key */
  enum evhttp_cmd_type method;
  gboolean is_unsafe; /* must not run more than once */
  int64_t deadline_ms;
} RequestKind;

static const RequestKind request_kinds[] = {
  { "/read/1", "c1", EVHTTP_REQ_GET, FALSE, 2000 },
  { "/order/1", "c1", EVHTTP_REQ_POST, TRUE, SK_TIMEOUT_MS },
  { "/open/1", "-", EVHTTP_REQ_GET, FALSE, SK_TIMEOUT_MS },
  { "/order/2", "c1", EVHTTP_REQ_POST, TRUE, 2000 },
  { "/read/2", "c2", EVHTTP_REQ_GET, FALSE, 2000 },
};

/* Probes choose their paths.  */
static const RequestKind probe_kind
    = { NULL, "-", EVHTTP_REQ_GET, FALSE, 2000 };

typedef enum
{
  PROBE_NEWEST,
  PROBE_ADDED,
  PROBE_MOVED,
  PROBE_NEVER,
  PROBE_INVALID,
} Probe;

typedef struct
{
  SkCallers *callers;
  uint32_t number;
  uint32_t daemon_index;
  struct evhttp_connection *connection;
  struct event *timer;
  guint request_index; /* in the record */
  gboolean connection_failed;
} Caller;

struct SkCallers
{
  struct event_base *base;
  const SkTestbed *testbed;
  SkRecord *record;
  GRand *random;
  GRand *probe_random;
  uint32_t caller_count;
  Caller callers[CALLER_COUNT];
  uint32_t request_count;
  gboolean stopped;
};

static void
schedule_next_request (Caller *caller, uint32_t ms)
{
  struct timeval pause = { ms / 1000, ms % 1000 * 1000 };

  if (!caller->callers->stopped)
    event_add (caller->timer, &pause);
}

static void
connect_to_next_daemon (Caller *caller)
{
  g_auto (GStrv) parts = NULL;

  g_clear_pointer (&caller->connection, evhttp_connection_free);
  parts = g_strsplit (sk_testbed_front_address (caller->callers->testbed,
                                                ++caller->daemon_index),
                      ":", 2);
  caller->connection = evhttp_connection_base_new (
      caller->callers->base, NULL, parts[0],
      (uint16_t)g_ascii_strtoll (parts[1], NULL, 10));
  evhttp_connection_set_timeout (caller->connection, RESPONSE_TIMEOUT_S);
}

static void
on_error (enum evhttp_request_error error, void *data)
{
  (void)error;
  ((Caller *)data)->connection_failed = TRUE;
}

static void
on_response (struct evhttp_request *http, void *data)
{
  Caller *caller = data;
  SkCallers *callers = caller->callers;
  SkRequest *request
      = sk_record_get_request (callers->record, caller->request_index);
  g_autofree char *body = NULL;
  struct evbuffer *input;
  gsize length;

  request->ended_us = g_get_monotonic_time ();
  if (http == NULL || caller->connection_failed
      || evhttp_request_get_response_code (http) == 0)
    {
      caller->connection_failed = TRUE;
      schedule_next_request (caller, 1);
      return;
    }
  request->status = evhttp_request_get_response_code (http);
  input = evhttp_request_get_input_buffer (http);
  length = evbuffer_get_length (input);
  body = g_malloc0 (length + 1);
  evbuffer_copyout (input, body, length);
  g_strlcpy (request->body, body, sizeof request->body);
  request->reported_not_run = strstr (body, "\"not_run\"") != NULL;
  schedule_next_request (caller, (uint32_t)g_rand_int_range (
                                     callers->random, 1, 2 * PAUSE_MEAN_MS));
}

static void
add_headers (const SkRequest *request, struct evhttp_request *http)
{
  struct evkeyvalq *headers = evhttp_request_get_output_headers (http);
  g_autofree char *deadline = g_strdup_printf (
      "%" G_GINT64_FORMAT, (request->deadline_us - request->sent_us) / 1000);
  g_autofree char *key
      = request->key_number != 0
            ? g_strdup_printf ("Token key-%d", request->key_number)
            : g_strdup ("Token limited");

  evhttp_add_header (headers, "Host", "127.0.0.1");
  evhttp_add_header (headers, "X-Comfreywalk-Attempt-Id", request->id);
  evhttp_add_header (headers, "X-Comfreywalk-Deadline-Ms", deadline);
  if (strcmp (request->customer, "-") != 0)
    evhttp_add_header (headers, "Authorization", key);
}

/* Returns 0 for customers other than c1, as only the key of c1 is rotated.  */
static int
choose_key_number (SkCallers *callers, const char *customer)
{
  int key_number = sk_testbed_key_number (callers->testbed);
  gboolean use_previous
      = g_rand_int_range (callers->random, 0, 100) < PREVIOUS_KEY_PERCENT;

  if (strcmp (customer, "c1") != 0)
    return 0;
  return use_previous && key_number > 1 ? key_number - 1 : key_number;
}

static char *
choose_probe_path (SkCallers *callers)
{
  static const Probe probes[] = { PROBE_NEWEST, PROBE_NEWEST, PROBE_NEWEST,
                                  PROBE_ADDED,  PROBE_ADDED,  PROBE_ADDED,
                                  PROBE_MOVED,  PROBE_MOVED,  PROBE_NEVER,
                                  PROBE_INVALID };
  Probe probe = probes[g_rand_int_range (callers->probe_random, 0,
                                         G_N_ELEMENTS (probes))];
  int newest = sk_testbed_route_number (callers->testbed);

  switch (probe)
    {
    case PROBE_MOVED:
      return g_strdup ("/move/1");
    case PROBE_INVALID:
      return g_strdup ("/bad/1");
    case PROBE_NEWEST:
      return g_strdup_printf ("/x%d/1", newest);
    case PROBE_ADDED:
      return g_strdup_printf (
          "/x%d/1", g_rand_int_range (callers->probe_random, 0, newest + 1));
    default:
      return g_strdup ("/x0/1");
    }
}

/* The route of a path is its first part.  */
static void
set_route (SkRequest *request, const char *path)
{
  g_auto (GStrv) parts = g_strsplit (path, "/", 3);

  g_strlcpy (request->route, parts[1], sizeof request->route);
}

static void
send_next_request (evutil_socket_t fd, short event, void *data)
{
  Caller *caller = data;
  SkCallers *callers = caller->callers;
  const RequestKind *kind
      = caller->number < KIND_CALLER_COUNT
            ? &request_kinds[caller->number % G_N_ELEMENTS (request_kinds)]
            : &probe_kind;
  g_autofree char *path = kind->path != NULL ? g_strdup (kind->path)
                                             : choose_probe_path (callers);
  struct evhttp_request *http = evhttp_request_new (on_response, caller);
  SkRequest request = { .customer = kind->customer,
                        .is_unsafe = kind->is_unsafe,
                        .sent_us = g_get_monotonic_time () };

  (void)fd;
  (void)event;
  request.deadline_us = request.sent_us + kind->deadline_ms * 1000;
  set_route (&request, path);
  if (caller->connection_failed || caller->connection == NULL)
    connect_to_next_daemon (caller);
  caller->connection_failed = FALSE;
  g_snprintf (request.id, sizeof request.id, "q%u", ++callers->request_count);
  g_snprintf (request.daemon, sizeof request.daemon, "vm%u",
              caller->daemon_index % SK_DAEMON_COUNT);
  request.key_number = choose_key_number (callers, request.customer);
  caller->request_index = sk_record_add_request (callers->record, &request);
  evhttp_request_set_error_cb (http, on_error);
  add_headers (&request, http);
  if (kind->method == EVHTTP_REQ_POST)
    evbuffer_add (evhttp_request_get_output_buffer (http), "order", 5);
  evhttp_make_request (caller->connection, http, kind->method, path);
}

SkCallers *
sk_callers_new (struct event_base *base, const SkTestbed *testbed,
                SkRecord *record, uint32_t seed, gboolean with_probes)
{
  SkCallers *callers = g_new0 (SkCallers, 1);

  callers->base = base;
  callers->testbed = testbed;
  callers->record = record;
  callers->random = g_rand_new_with_seed (seed);
  callers->probe_random = g_rand_new_with_seed (seed);
  callers->caller_count = with_probes ? CALLER_COUNT : KIND_CALLER_COUNT;
  for (uint32_t i = 0; i < callers->caller_count; i++)
    {
      Caller *caller = &callers->callers[i];
      caller->callers = callers;
      caller->number = i;
      /* Each daemon gets requests of every kind.  */
      caller->daemon_index = i / G_N_ELEMENTS (request_kinds);
      caller->timer = event_new (base, -1, 0, send_next_request, caller);
      schedule_next_request (caller, i);
    }
  return callers;
}

void
sk_callers_stop (SkCallers *callers)
{
  callers->stopped = TRUE;
}

void
sk_callers_free (SkCallers *callers)
{
  for (uint32_t i = 0; i < callers->caller_count; i++)
    {
      event_free (callers->callers[i].timer);
      if (callers->callers[i].connection != NULL)
        evhttp_connection_free (callers->callers[i].connection);
    }
  g_rand_free (callers->probe_random);
  g_rand_free (callers->random);
  g_free (callers);
}
