#include "admin/internal.h"

#include <event2/buffer.h>
#include <string.h>

#define COPY_STEP_BYTES ((size_t)512 * 1024)

static const struct timeval no_delay = { 0, 0 };

static AdCall *
start_call (AdServer *server, struct evhttp_request *request,
            event_callback_fn on_step)
{
  AdCall *call = ad_call_new (server, request);

  call->step_event = evtimer_new (server->base, on_step, call);
  evtimer_add (call->step_event, &no_delay);
  return call;
}

static void
finish_call (AdCall *call)
{
  g_hash_table_remove (call->server->calls, call);
  ad_call_free (call);
}

static void
free_text (const void *text, size_t length, void *data)
{
  (void)length;
  (void)data;
  g_free ((void *)text);
}

static void
on_serialize_step (evutil_socket_t fd, short what, void *data)
{
  AdCall *call = data;
  struct evbuffer *body;
  gsize length;
  char *text;

  (void)fd;
  (void)what;
  if (cf_job_step (call->job, CF_STEP_ROWS, NULL) == CF_JOB_RUNNING)
    {
      evtimer_add (call->step_event, &no_delay);
      return;
    }
  text = cf_job_take_text (call->job, &length);
  body = evbuffer_new ();
  evbuffer_add_reference (body, text, length, free_text, NULL);
  evhttp_add_header (evhttp_request_get_output_headers (call->request),
                     "Content-Type", "application/json");
  evhttp_send_reply (call->request, HTTP_OK, NULL, body);
  evbuffer_free (body);
  finish_call (call);
}

void
ad_get_config (AdServer *server, struct evhttp_request *request)
{
  g_autoptr (CfConfig) config = server->callbacks->config (server->data);

  if (config == NULL)
    ad_send_result (request, HTTP_SERVUNAVAIL, "unknown",
                    "this daemon has no configuration yet");
  else
    start_call (server, request, on_serialize_step)->job
        = cf_write_begin (config);
}

static void
on_parse_step (evutil_socket_t fd, short what, void *data)
{
  AdCall *call = data;
  g_autoptr (GError) error = NULL;
  CfJobStatus status = cf_job_step (call->job, CF_STEP_ROWS, &error);
  g_autoptr (CfConfig) config = NULL;

  (void)fd;
  (void)what;
  if (status == CF_JOB_RUNNING)
    {
      evtimer_add (call->step_event, &no_delay);
      return;
    }
  if (status == CF_JOB_FAILED)
    {
      ad_send_result (call->request, HTTP_BADREQUEST, "refused",
                      error->message);
      finish_call (call);
      return;
    }
  config = cf_job_take_config (call->job);
  g_clear_pointer (&call->job, cf_job_free);
  call->server->callbacks->write (call, config, config->version - 1,
                                  call->server->data);
}

/* Copies the next part of the body; copying a large one at once takes as long
   as several steps of parsing it.  */
static void
on_copy_step (evutil_socket_t fd, short what, void *data)
{
  AdCall *call = data;
  struct evbuffer *input = evhttp_request_get_input_buffer (call->request);
  g_autoptr (GBytes) body = NULL;
  int copied = evbuffer_remove (
      input, call->body + call->body_copied_bytes,
      MIN (COPY_STEP_BYTES, call->body_bytes - call->body_copied_bytes));

  (void)fd;
  (void)what;
  call->body_copied_bytes += (size_t)MAX (copied, 0);
  if (copied > 0 && call->body_copied_bytes < call->body_bytes)
    {
      evtimer_add (call->step_event, &no_delay);
      return;
    }
  body = g_bytes_new_take (g_steal_pointer (&call->body),
                           call->body_copied_bytes);
  call->job = cf_read_change_begin (body);
  event_free (call->step_event);
  call->step_event = evtimer_new (call->server->base, on_parse_step, call);
  evtimer_add (call->step_event, &no_delay);
}

void
ad_post_config (AdServer *server, struct evhttp_request *request)
{
  struct evbuffer *input = evhttp_request_get_input_buffer (request);
  AdCall *call;

  if (server->write_count >= AD_WRITES_MAX)
    {
      ad_send_result (request, HTTP_SERVUNAVAIL, "refused",
                      "too many other changes are being read; try again");
      return;
    }
  call = start_call (server, request, on_copy_step);
  call->is_config_write = TRUE;
  server->write_count++;
  call->body_bytes = evbuffer_get_length (input);
  /* One byte more, as g_malloc (0) returns NULL.  */
  call->body = g_malloc (call->body_bytes + 1);
}
