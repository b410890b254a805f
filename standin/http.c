#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <string.h>

#include "standin/harness.h"
#include "standin/serve.h"

#define CONTROL_TIMEOUT_MS 5000
#define ANSWER_MAX_BYTES (256 * 1024 * 1024)

typedef struct
{
  struct event_base *base;
  SiResponse *answer;
  gboolean broken;
} Fetch;

static void
on_error (enum evhttp_request_error error, void *data)
{
  Fetch *fetch = data;

  (void)error;
  fetch->broken = TRUE;
}

static void
copy_headers (SiResponse *answer, struct evhttp_request *request)
{
  struct evkeyvalq *headers = evhttp_request_get_input_headers (request);
  struct evkeyval *header;

  for (header = headers->tqh_first; header != NULL;
       header = header->next.tqe_next)
    g_hash_table_insert (answer->headers, g_ascii_strdown (header->key, -1),
                         g_strdup (header->value));
}

static void
on_answer (struct evhttp_request *request, void *data)
{
  Fetch *fetch = data;
  struct evbuffer *input;

  event_base_loopbreak (fetch->base);
  if (request == NULL || fetch->broken)
    return;
  fetch->answer->status = evhttp_request_get_response_code (request);
  input = evhttp_request_get_input_buffer (request);
  fetch->answer->length_bytes = evbuffer_get_length (input);
  g_free (fetch->answer->body);
  fetch->answer->body = g_malloc0 (fetch->answer->length_bytes + 1);
  evbuffer_copyout (input, fetch->answer->body, fetch->answer->length_bytes);
  copy_headers (fetch->answer, request);
}

static enum evhttp_cmd_type
command_of (const char *method)
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
fetch_run (Fetch *fetch, struct evhttp_connection *connection,
           struct evhttp_request *request, const char *method,
           const char *path, uint32_t timeout_ms)
{
  struct timeval timeout
      = { .tv_sec = timeout_ms / 1000, .tv_usec = (timeout_ms % 1000) * 1000 };

  evhttp_connection_set_max_body_size (connection, ANSWER_MAX_BYTES);
  evhttp_connection_set_timeout_tv (connection, &timeout);
  evhttp_request_set_error_cb (request, on_error);
  if (evhttp_make_request (connection, request, command_of (method), path)
      != 0)
    return;
  event_base_loopexit (fetch->base, &timeout);
  event_base_dispatch (fetch->base);
}

gboolean
si_http_request (const char *method, const char *address, const char *path,
                 const char *const *headers, const char *body,
                 uint32_t timeout_ms, SiResponse *answer, GError **error)
{
  Fetch fetch = { .answer = answer };
  g_autofree char *ip = NULL;
  uint16_t port;
  struct evhttp_connection *connection;
  struct evhttp_request *request;

  *answer = (SiResponse){ .body = g_strdup (""),
                          .headers = g_hash_table_new_full (
                              g_str_hash, g_str_equal, g_free, g_free) };
  if (si_split_address (address, &ip, &port))
    {
      fetch.base = event_base_new ();
      connection = evhttp_connection_base_new (fetch.base, NULL, ip, port);
      request = evhttp_request_new (on_answer, &fetch);
      add_headers (request, address, headers);
      if (body != NULL)
        evbuffer_add (evhttp_request_get_output_buffer (request), body,
                      strlen (body));
      fetch_run (&fetch, connection, request, method, path, timeout_ms);
      evhttp_connection_free (connection);
      event_base_free (fetch.base);
    }
  if (answer->status != 0)
    return TRUE;
  g_set_error (error, SI_ERROR, SI_ERROR_HTTP,
               "%s http://%s%s got no whole answer within %u ms", method,
               address, path, timeout_ms);
  return FALSE;
}

void
si_response_clear (SiResponse *answer)
{
  g_free (answer->body);
  if (answer->headers != NULL)
    g_hash_table_unref (answer->headers);
  *answer = (SiResponse){ 0 };
}

gboolean
si_post (const char *address, const char *path, const char *body,
         GError **error)
{
  SiResponse answer;
  gboolean ok;

  ok = si_http_request ("POST", address, path, NULL, body, CONTROL_TIMEOUT_MS,
                        &answer, error);
  if (ok && answer.status != HTTP_OK)
    {
      g_set_error (error, SI_ERROR, SI_ERROR_STATUS,
                   "POST http://%s%s answered %d: %s", address, path,
                   answer.status, answer.body);
      ok = FALSE;
    }
  si_response_clear (&answer);
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
  SiResponse answer;
  char *text = NULL;

  if (si_http_request ("GET", address, path, NULL, NULL, CONTROL_TIMEOUT_MS,
                       &answer, error))
    {
      if (answer.status == HTTP_OK)
        text = g_steal_pointer (&answer.body);
      else
        g_set_error (error, SI_ERROR, SI_ERROR_STATUS,
                     "GET http://%s%s answered %d", address, path,
                     answer.status);
    }
  si_response_clear (&answer);
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
