#include "admin/internal.h"

#include <event2/keyvalq_struct.h>
#include <string.h>
#include <sys/queue.h>

#define IDLE_TIMEOUT_MS 60000
/* 64 MB at about 1 Mbit/s.  */
#define BODY_TIMEOUT_MS 600000
/* Operators, their tools and collectors of metrics.  */
#define CONNECTIONS_MAX 128
/* Of all connections, besides FR_CONN_BYTES for each: responses with status,
   events or metrics.  */
#define CONNECTIONS_EXTRA_BYTES ((uint64_t)4 * 1024 * 1024)
/* Of all bodies of requests, and of all configurations that are read.  */
#define MEMORY_BYTES ((uint64_t)AD_WRITES_MAX * AD_BODY_MAX_BYTES)

#define OPERATION_PATH "/v1/config/operation/"

G_DEFINE_QUARK (ad_error, ad_error)

static void
on_cancel (FrRequest *request, void *data)
{
  AdCall *call = data;

  (void)request;
  call->request = NULL;
}

AdCall *
ad_call_new (AdServer *server, FrRequest *request)
{
  AdCall *call = g_new0 (AdCall, 1);

  call->server = server;
  call->request = request;
  g_hash_table_add (server->calls, call);
  fr_set_cancel_handler (request, on_cancel, call);
  return call;
}

void
ad_call_free (AdCall *call)
{
  if (call->is_config_write)
    call->server->write_count--;
  if (call->step_event != NULL)
    event_free (call->step_event);
  cf_job_free (call->job);
  g_free (call);
}

void
ad_send_text (FrRequest *request, int status, const char *type,
              const char *text)
{
  g_autoptr (HtHeaders) headers = NULL;

  if (request == NULL)
    return;
  headers = ht_headers_new ();
  ht_headers_add (headers, "Content-Type", type);
  fr_respond (request, (uint32_t)status, headers, text, strlen (text));
}

static void
get_metrics (AdServer *server, FrRequest *request)
{
  g_autoptr (GString) text = g_string_new (NULL);

  server->callbacks->metrics (text, server->data);
  ad_send_text (request, HTTP_OK, "text/plain; version=0.0.4", text->str);
}

static void
get_status (AdServer *server, FrRequest *request)
{
  AdStatus status = {
    .members = g_array_new (FALSE, TRUE, sizeof (AdMember)),
    .slots = g_array_new (FALSE, TRUE, sizeof (AdTargetSlots)),
    .headroom = g_array_new (FALSE, TRUE, sizeof (AdHeadroom)),
  };
  g_autofree char *text = NULL;

  server->callbacks->status (&status, server->data);
  text = ad_status_to_json (&status);
  ad_send_text (request, HTTP_OK, "application/json", text);
  g_array_unref (status.members);
  g_array_unref (status.slots);
  g_array_unref (status.headroom);
}

static void
get_where (AdServer *server, FrRequest *request)
{
  g_autofree char *json = NULL;
  uint32_t status;

  if (server->callbacks->where == NULL)
    {
      ad_send_result (request, HTTP_NOTFOUND, "refused",
                      "there is no such path");
      return;
    }
  status = server->callbacks->where (request->query, &json, server->data);
  ad_send_text (request, (int)status, "application/json", json);
}

/* Sets *VALUE to FALLBACK if the parameter is absent.  Returns FALSE if it is
   present but not a number up to MAX.  */
static gboolean
parse_number_parameter (const struct evkeyvalq *query, const char *name,
                        guint64 fallback, guint64 max, guint64 *value)
{
  const char *text = evhttp_find_header (query, name);

  *value = fallback;
  return text == NULL
         || g_ascii_string_to_unsigned (text, 10, 0, max, value, NULL);
}

static void
parse_query (const FrRequest *request, struct evkeyvalq *query)
{
  TAILQ_INIT (query);
  if (request->query != NULL)
    evhttp_parse_query_str (request->query, query);
}

static void
get_events (AdServer *server, FrRequest *request)
{
  struct evkeyvalq query;
  guint64 version;
  guint64 limit;

  parse_query (request, &query);
  if (!parse_number_parameter (&query, "config_version", 0, G_MAXUINT64,
                               &version)
      || !parse_number_parameter (&query, "limit", AD_EVENTS_DEFAULT_COUNT,
                                  AD_EVENTS_MAX_COUNT, &limit))
    ad_send_result (request, HTTP_BADREQUEST, "refused",
                    "config_version or limit is not a number in range");
  else
    {
      EvFields filter = {
        .customer = evhttp_find_header (&query, "customer"),
        .target = evhttp_find_header (&query, "target"),
        .request_id = evhttp_find_header (&query, "request_id"),
        .config_version = version,
      };
      g_autofree char *text = ad_events_to_json (
          server->vm, server->callbacks->events (server->data), &filter,
          (uint32_t)limit);

      ad_send_text (request, HTTP_OK, "application/json", text);
    }
  evhttp_clear_headers (&query);
}

void
ad_get_operation (AdServer *server, FrRequest *request, const char *op_id)
{
  struct evkeyvalq query;
  guint64 base_version;

  parse_query (request, &query);
  if (!cf_is_name (op_id)
      || !parse_number_parameter (&query, "base_version", 0, G_MAXINT64,
                                  &base_version))
    ad_send_result (request, HTTP_BADREQUEST, "refused",
                    "the operation or base_version is malformed");
  else
    server->callbacks->operation (ad_call_new (server, request), op_id,
                                  base_version, server->data);
  evhttp_clear_headers (&query);
}

static const struct
{
  const char *method;
  const char *path;
  void (*handle) (AdServer *server, FrRequest *request);
} handlers[] = {
  { "GET", "/metrics", get_metrics },
  { "GET", "/v1/status", get_status },
  { "GET", "/v1/events", get_events },
  { "GET", "/v1/where", get_where },
  { "GET", "/v1/config", ad_get_config },
  { "POST", "/v1/config", ad_post_config },
};

static void
on_request (FrRequest *request, void *data)
{
  AdServer *server = data;
  gboolean path_known = FALSE;

  for (size_t i = 0; i < G_N_ELEMENTS (handlers); i++)
    {
      if (strcmp (handlers[i].path, request->path) != 0)
        continue;
      path_known = TRUE;
      if (strcmp (handlers[i].method, request->method) == 0)
        {
          handlers[i].handle (server, request);
          return;
        }
    }
  if (g_str_has_prefix (request->path, OPERATION_PATH)
      && strcmp (request->method, "GET") == 0)
    ad_get_operation (server, request,
                      request->path + strlen (OPERATION_PATH));
  else if (path_known)
    ad_send_result (request, HTTP_BADMETHOD, "refused",
                    "the method is not allowed for this path");
  else
    ad_send_result (request, HTTP_NOTFOUND, "refused",
                    "there is no such path");
}

static FrServer *
listen_on (AdServer *server, const char *address, uint16_t port,
           GError **error)
{
  g_autofree char *listen = g_strdup_printf (
      strchr (address, ':') != NULL ? "[%s]:%u" : "%s:%u", address, port);
  FrOptions options
      = { .base = server->base,
          .listen = listen,
          .on_request = on_request,
          .data = server,
          .host_optional = TRUE,
          .body_max_bytes = AD_BODY_MAX_BYTES,
          .connections_max = CONNECTIONS_MAX,
          .connections_bytes = (uint64_t)CONNECTIONS_MAX * FR_CONN_BYTES
                               + CONNECTIONS_EXTRA_BYTES,
          .request_timeout_ms = IDLE_TIMEOUT_MS,
          .body_timeout_ms = BODY_TIMEOUT_MS,
          .idle_timeout_ms = IDLE_TIMEOUT_MS,
          .write_timeout_ms = IDLE_TIMEOUT_MS,
          .memory = server->request_memory };
  g_autoptr (GError) cause = NULL;
  FrServer *http = fr_new (&options, &cause);

  if (http == NULL)
    g_set_error_literal (error, AD_ERROR, AD_ERROR_LISTEN, cause->message);
  return http;
}

AdServer *
ad_new (const AdOptions *options, GError **error)
{
  AdServer *server = g_new0 (AdServer, 1);

  server->callbacks = options->callbacks;
  server->data = options->data;
  server->vm = g_strdup (options->vm);
  server->base = options->base;
  server->calls = g_hash_table_new (NULL, NULL);
  server->request_memory = mm_budget_new (MEMORY_BYTES);
  server->response_memory = mm_budget_new (MEMORY_BYTES);
  server->http = listen_on (server, options->address, options->port, error);
  if (server->http != NULL)
    return server;
  ad_free (server);
  return NULL;
}

uint16_t
ad_port (const AdServer *server)
{
  return fr_port (server->http);
}

void
ad_free (AdServer *server)
{
  GHashTableIter calls;
  void *call;

  if (server == NULL)
    return;
  /* Cancels the requests of the calls.  */
  fr_free (server->http);
  g_hash_table_iter_init (&calls, server->calls);
  while (g_hash_table_iter_next (&calls, &call, NULL))
    ad_call_free (call);
  g_hash_table_unref (server->calls);
  mm_budget_unref (server->request_memory);
  mm_budget_unref (server->response_memory);
  g_free (server->vm);
  g_free (server);
}
