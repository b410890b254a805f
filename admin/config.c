#include "admin/internal.h"

#include <string.h>

static const struct timeval no_delay = { 0, 0 };

static AdCall *
start_call (AdServer *server, FrRequest *request, event_callback_fn on_step)
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

/* Takes over TEXT.  */
static void
send_config (AdCall *call, char *text, gsize length)
{
  g_autoptr (HtHeaders) headers = ht_headers_new ();
  g_autoptr (MmBlock) body
      = mm_block_new_take (call->server->response_memory, text, length);

  if (call->request == NULL)
    return;
  if (!mm_block_reserve (body, length))
    {
      ad_send_result (call->request, HTTP_SERVUNAVAIL, "refused",
                      "too many other responses are not read yet; try again");
      return;
    }
  ht_headers_add (headers, "Content-Type", "application/json");
  fr_respond_block (call->request, HTTP_OK, headers, body);
}

static void
on_serialize_step (evutil_socket_t fd, short what, void *data)
{
  AdCall *call = data;
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
  send_config (call, text, length);
  finish_call (call);
}

void
ad_get_config (AdServer *server, FrRequest *request)
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

static void
unref_block (void *block)
{
  mm_block_unref (block);
}

/* The body is parsed where it is; it also outlives the connection.  */
static GBytes *
take_body (FrRequest *request)
{
  MmBlock *block;

  if (request->body_bytes == 0)
    return g_bytes_new_static ("", 0);
  block = fr_ref_body (request);
  return g_bytes_new_with_free_func (request->body, request->body_bytes,
                                     unref_block, block);
}

void
ad_post_config (AdServer *server, FrRequest *request)
{
  g_autoptr (GBytes) body = NULL;
  AdCall *call;

  if (server->write_count >= AD_WRITES_MAX)
    {
      ad_send_result (request, HTTP_SERVUNAVAIL, "refused",
                      "too many other changes are being read; try again");
      return;
    }
  body = take_body (request);
  call = start_call (server, request, on_parse_step);
  call->is_config_write = TRUE;
  server->write_count++;
  call->job = cf_read_change_begin (body);
}
