#include "admin/internal.h"

#include <event2/buffer.h>
#include <string.h>

static const struct timeval at_once = { 0, 0 };

static void
start_job (AdServer *server, struct evhttp_request *request, CfJob *job,
           gboolean is_write, event_callback_fn on_step)
{
  AdCall *call = ad_call_new (server, request);

  call->job = job;
  call->is_write = is_write;
  server->write_count += is_write ? 1 : 0;
  call->step = evtimer_new (server->base, on_step, call);
  evtimer_add (call->step, &at_once);
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
on_write_step (evutil_socket_t fd, short what, void *data)
{
  AdCall *call = data;
  struct evbuffer *body;
  gsize length;
  char *text;

  (void)fd;
  (void)what;
  if (cf_job_step (call->job, CF_STEP_ROWS, NULL) == CF_STEP_MORE)
    {
      evtimer_add (call->step, &at_once);
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
  g_autoptr (CfConfig) config = server->class->config (server->data);

  if (config == NULL)
    ad_send_result (request, HTTP_SERVUNAVAIL, "unknown",
                    "this daemon has no configuration yet");
  else
    start_job (server, request, cf_write_begin (config), FALSE, on_write_step);
}

static void
on_read_step (evutil_socket_t fd, short what, void *data)
{
  AdCall *call = data;
  g_autoptr (GError) error = NULL;
  CfStep step = cf_job_step (call->job, CF_STEP_ROWS, &error);
  CfConfig *config;

  (void)fd;
  (void)what;
  if (step == CF_STEP_MORE)
    {
      evtimer_add (call->step, &at_once);
      return;
    }
  if (step == CF_STEP_FAILED)
    {
      ad_send_result (call->request, HTTP_BADREQUEST, "refused",
                      error->message);
      finish_call (call);
      return;
    }
  config = cf_job_take_config (call->job);
  g_clear_pointer (&call->job, cf_job_free);
  call->server->class->write (call, config, config->version - 1,
                              call->server->data);
}

void
ad_post_config (AdServer *server, struct evhttp_request *request)
{
  struct evbuffer *input = evhttp_request_get_input_buffer (request);
  size_t length = evbuffer_get_length (input);
  g_autoptr (GBytes) body = NULL;
  char *text;

  if (server->write_count >= AD_WRITES_MAX)
    {
      ad_send_result (request, HTTP_SERVUNAVAIL, "refused",
                      "other changes are being read; try again");
      return;
    }
  text = g_malloc (length + 1);
  evbuffer_remove (input, text, length);
  body = g_bytes_new_take (text, length);
  start_job (server, request, cf_read_change_begin (body), TRUE, on_read_step);
}
