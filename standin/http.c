#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <string.h>

#include "standin/harness.h"
#include "standin/serve.h"

#define CONTROL_TIMEOUT_MS 5000
#define RESPONSE_MAX_BYTES (256 * 1024 * 1024)

typedef struct
{
  struct event_base *base;
  SiResponse *response;
  gboolean failed;
} HttpCall;

static void
on_error (enum evhttp_request_error error, void *data)
{
  HttpCall *call = data;

  (void)error;
  call->failed = TRUE;
}

static void
copy_headers (SiResponse *response, struct evhttp_request *request)
{
  struct evkeyvalq *headers = evhttp_request_get_input_headers (request);
  struct evkeyval *header;

  for (header = headers->tqh_first; header != NULL;
       header = header->next.tqe_next)
    g_hash_table_insert (response->headers, g_ascii_strdown (header->key, -1),
                         g_strdup (header->value));
}

static void
on_response (struct evhttp_request *request, void *data)
{
  HttpCall *call = data;
  struct evbuffer *input;

  event_base_loopbreak (call->base);
  if (request == NULL || call->failed)
    return;
  call->response->status = evhttp_request_get_response_code (request);
  input = evhttp_request_get_input_buffer (request);
  call->response->length_bytes = evbuffer_get_length (input);
  g_free (call->response->body);
  call->response->body = g_malloc0 (call->response->length_bytes + 1);
  evbuffer_copyout (input, call->response->body, call->response->length_bytes);
  copy_headers (call->response, request);
}

static enum evhttp_cmd_type
get_command (const char *method)
{
  static const struct
  {
    const char *name;
    enum evhttp_cmd_type command;
  } commands[] = {
    { "GET", EVHTTP_REQ_GET },         { "POST", EVHTTP_REQ_POST },
    { "PUT", EVHTTP_REQ_PUT },         { "DELETE", EVHTTP_REQ_DELETE },
    { "HEAD", EVHTTP_REQ_HEAD },       { "PATCH", EVHTTP_REQ_PATCH },
    { "OPTIONS", EVHTTP_REQ_OPTIONS },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (commands); i++)
    if (strcmp (commands[i].name, method) == 0)
      return commands[i].command;
  g_error ("unknown method %s", method);
}

static void
add_headers (struct evhttp_request *request, const char *address,
             const char *const *headers)
{
  struct evkeyvalq *output = evhttp_request_get_output_headers (request);

  evhttp_add_header (output, "Host", address);
  evhttp_add_header (output, "Connection", "close");
  for (; headers != NULL && *headers != NULL; headers++)
    {
      g_auto (GStrv) parts = g_strsplit (*headers, ": ", 2);
      evhttp_add_header (output, parts[0], parts[1] == NULL ? "" : parts[1]);
    }
}

static void
send_and_wait (HttpCall *call, struct evhttp_connection *connection,
               struct evhttp_request *request, const char *method,
               const char *path, uint32_t timeout_ms)
{
  struct timeval timeout
      = { .tv_sec = timeout_ms / 1000, .tv_usec = (timeout_ms % 1000) * 1000 };

  evhttp_connection_set_max_body_size (connection, RESPONSE_MAX_BYTES);
  evhttp_connection_set_timeout_tv (connection, &timeout);
  evhttp_request_set_error_cb (request, on_error);
  if (evhttp_make_request (connection, request, get_command (method), path)
      != 0)
    return;
  event_base_loopexit (call->base, &timeout);
  event_base_dispatch (call->base);
}

gboolean
si_http_request (const char *method, const char *address, const char *path,
                 const char *const *headers, const char *body,
                 uint32_t timeout_ms, SiResponse *response, GError **error)
{
  HttpCall call = { .response = response };
  g_autofree char *ip = NULL;
  uint16_t port;
  struct evhttp_connection *connection;
  struct evhttp_request *request;

  *response = (SiResponse){ .body = g_strdup (""),
                            .headers = g_hash_table_new_full (
                                g_str_hash, g_str_equal, g_free, g_free) };
  if (si_split_address (address, &ip, &port))
    {
      call.base = event_base_new ();
      connection = evhttp_connection_base_new (call.base, NULL, ip, port);
      request = evhttp_request_new (on_response, &call);
      add_headers (request, address, headers);
      if (body != NULL)
        evbuffer_add (evhttp_request_get_output_buffer (request), body,
                      strlen (body));
      send_and_wait (&call, connection, request, method, path, timeout_ms);
      evhttp_connection_free (connection);
      event_base_free (call.base);
    }
  if (response->status != 0)
    return TRUE;
  g_set_error (error, SI_ERROR, SI_ERROR_HTTP,
               "%s http://%s%s got no complete response within %u ms", method,
               address, path, timeout_ms);
  return FALSE;
}

void
si_response_clear (SiResponse *response)
{
  g_free (response->body);
  if (response->headers != NULL)
    g_hash_table_unref (response->headers);
  *response = (SiResponse){ 0 };
}

gboolean
si_post (const char *address, const char *path, const char *body,
         GError **error)
{
  SiResponse response;
  gboolean ok;

  ok = si_http_request ("POST", address, path, NULL, body, CONTROL_TIMEOUT_MS,
                        &response, error);
  if (ok && response.status != HTTP_OK)
    {
      g_set_error (error, SI_ERROR, SI_ERROR_STATUS,
                   "POST http://%s%s returned status %d: %s", address, path,
                   response.status, response.body);
      ok = FALSE;
    }
  si_response_clear (&response);
  return ok;
}

gboolean
si_post_control (const char *address, const char *path, GError **error)
{
  return si_post (address, path, NULL, error);
}

char *
si_get_text (const char *address, const char *path, GError **error)
{
  SiResponse response;
  char *text = NULL;

  if (si_http_request ("GET", address, path, NULL, NULL, CONTROL_TIMEOUT_MS,
                       &response, error))
    {
      if (response.status == HTTP_OK)
        text = g_steal_pointer (&response.body);
      else
        g_set_error (error, SI_ERROR, SI_ERROR_STATUS,
                     "GET http://%s%s returned status %d", address, path,
                     response.status);
    }
  si_response_clear (&response);
  return text;
}

double
si_get_metric (const char *admin_address, const char *name)
{
  g_autofree char *text = si_get_text (admin_address, "/metrics", NULL);
  g_auto (GStrv) lines = g_strsplit (text == NULL ? "" : text, "\n", -1);

  for (char **line = lines; *line != NULL; line++)
    if (g_str_has_prefix (*line, name) && (*line)[strlen (name)] == ' ')
      return g_ascii_strtod (*line + strlen (name) + 1, NULL);
  return -1;
}
