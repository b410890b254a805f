#include "client/internal.h"

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <string.h>

typedef struct
{
  ClResponse *response;
  gboolean done;
} PendingRequest;

static void
on_response (struct evhttp_request *request, void *data)
{
  PendingRequest *pending = data;
  struct evbuffer *body;
  int status;

  pending->done = TRUE;
  /* The connection was lost or the timeout has passed.  */
  if (request == NULL)
    return;
  /* evhttp accepts every number but 0.  */
  status = evhttp_request_get_response_code (request);
  if (status < 100 || status > 599)
    return;
  body = evhttp_request_get_input_buffer (request);
  pending->response->status = status;
  pending->response->length = evbuffer_get_length (body);
  pending->response->body = g_malloc (pending->response->length + 1);
  evbuffer_remove (body, pending->response->body, pending->response->length);
  pending->response->body[pending->response->length] = '\0';
}

void
cl_response_clear (ClResponse *response)
{
  g_clear_pointer (&response->body, g_free);
}

void
cl_request (ClContext *context, const ClDaemon *daemon, const char *path,
            const char *body, ClResponse *response)
{
  PendingRequest pending = { .response = response };
  struct evhttp_connection *connection = evhttp_connection_base_new (
      context->base, NULL, daemon->address.ip, daemon->address.port);
  struct evhttp_request *request = evhttp_request_new (on_response, &pending);
  int timeout_ms = context->options.timeout_ms;
  struct timeval timeout;

  if (timeout_ms <= 0)
    timeout_ms = body != NULL ? CL_WRITE_TIMEOUT_MS : CL_TIMEOUT_DEFAULT_MS;
  timeout = (struct timeval){ timeout_ms / 1000, timeout_ms % 1000 * 1000 };
  *response = (ClResponse){ 0 };
  evhttp_connection_set_timeout_tv (connection, &timeout);
  evhttp_connection_set_max_body_size (connection, CL_RESPONSE_MAX_BYTES);
  evhttp_add_header (evhttp_request_get_output_headers (request), "Host",
                     daemon->address_text);
  if (body != NULL)
    evbuffer_add (evhttp_request_get_output_buffer (request), body,
                  strlen (body));
  if (evhttp_make_request (connection, request,
                           body != NULL ? EVHTTP_REQ_POST : EVHTTP_REQ_GET,
                           path)
      != 0)
    pending.done = TRUE;
  while (!pending.done && event_base_loop (context->base, EVLOOP_ONCE) == 0)
    continue;
  evhttp_connection_free (connection);
}

static void
on_timer (evutil_socket_t fd, short what, void *data)
{
  (void)fd;
  (void)what;
  *(gboolean *)data = TRUE;
}

void
cl_sleep (ClContext *context, int64_t ms)
{
  const struct timeval delay = { ms / 1000, ms % 1000 * 1000 };
  gboolean elapsed = FALSE;

  event_base_once (context->base, -1, EV_TIMEOUT, on_timer, &elapsed, &delay);
  while (!elapsed && event_base_loop (context->base, EVLOOP_ONCE) == 0)
    continue;
}

struct json_object *
cl_get_json (ClContext *context, const ClDaemon *daemon, const char *path)
{
  struct json_object *object = NULL;
  ClResponse response;

  cl_request (context, daemon, path, NULL, &response);
  if (response.status == 200)
    object = json_tokener_parse (response.body);
  cl_response_clear (&response);
  return object;
}

struct json_object *
cl_json_member (struct json_object *object, const char *name)
{
  struct json_object *member = NULL;

  json_object_object_get_ex (object, name, &member);
  return member;
}

const char *
cl_json_string (struct json_object *object, const char *name)
{
  struct json_object *member = cl_json_member (object, name);

  return member != NULL ? json_object_get_string (member) : "";
}

int64_t
cl_json_int (struct json_object *object, const char *name)
{
  return json_object_get_int64 (cl_json_member (object, name));
}

gboolean
cl_json_bool (struct json_object *object, const char *name)
{
  return json_object_get_boolean (cl_json_member (object, name));
}

void
cl_print_json (ClContext *context, struct json_object *object)
{
  cl_print (
      context, "%s\n",
      json_object_to_json_string_ext (
          object, JSON_C_TO_STRING_PRETTY | JSON_C_TO_STRING_NOSLASHESCAPE));
}
