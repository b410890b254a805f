#include "clock/clock.h"
#include "entry/request.h"

static void
free_queue (gpointer queue)
{
  g_queue_free (queue);
}

static GQueue *
get_hold_queue (EnProxy *proxy, uint64_t object_hash)
{
  GQueue *queue;

  if (proxy->held_requests == NULL)
    proxy->held_requests = g_hash_table_new_full (g_int64_hash, g_int64_equal,
                                                  g_free, free_queue);
  queue = g_hash_table_lookup (proxy->held_requests, &object_hash);
  if (queue == NULL)
    {
      queue = g_queue_new ();
      g_hash_table_insert (proxy->held_requests,
                           g_memdup2 (&object_hash, sizeof object_hash),
                           queue);
    }
  return queue;
}

void
en_request_end_hold (EnRequest *request)
{
  GQueue *queue = get_hold_queue (request->proxy, request->object_hash);

  g_queue_unlink (queue, &request->hold_node);
  g_clear_pointer (&request->hold_timer, en_timer_free);
  if (g_queue_is_empty (queue))
    g_hash_table_remove (request->proxy->held_requests, &request->object_hash);
}

static void
on_hold_timeout (void *data)
{
  EnRequest *request = data;

  en_request_end_hold (request);
  en_request_send (request);
}

void
en_request_hold (EnRequest *request, int64_t timeout_us)
{
  request->was_held = TRUE;
  request->hold_node.data = request;
  g_queue_push_tail_link (
      get_hold_queue (request->proxy, request->object_hash),
      &request->hold_node);
  request->hold_timer
      = en_timer_new (request->proxy->options.base, on_hold_timeout, request);
  en_timer_start (request->hold_timer, ck_boot_us () + timeout_us);
}

void
en_proxy_release_held (EnProxy *proxy, uint64_t object_hash)
{
  GQueue *queue;

  while (proxy->held_requests != NULL
         && (queue = g_hash_table_lookup (proxy->held_requests, &object_hash))
                != NULL)
    {
      EnRequest *request = g_queue_peek_head (queue);
      en_request_end_hold (request);
      en_request_send (request);
    }
}
