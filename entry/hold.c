#include <event2/event.h>

#include "clock/clock.h"
#include "entry/request.h"

static void
free_queue (gpointer queue)
{
  g_queue_free (queue);
}

static GQueue *
queue_of (EnProxy *proxy, uint64_t object_hash)
{
  GQueue *queue;

  if (proxy->held == NULL)
    proxy->held = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free,
                                         free_queue);
  queue = g_hash_table_lookup (proxy->held, &object_hash);
  if (queue == NULL)
    {
      queue = g_queue_new ();
      g_hash_table_insert (
          proxy->held, g_memdup2 (&object_hash, sizeof object_hash), queue);
    }
  return queue;
}

void
en_request_unhold (EnRequest *request)
{
  GQueue *queue = queue_of (request->proxy, request->object_hash);

  g_queue_unlink (queue, &request->hold_node);
  g_clear_pointer (&request->hold_timer, event_free);
  if (g_queue_is_empty (queue))
    g_hash_table_remove (request->proxy->held, &request->object_hash);
}

static void
on_limit (evutil_socket_t fd, short what, void *data)
{
  EnRequest *request = data;

  (void)fd;
  (void)what;
  en_request_unhold (request);
  en_request_send (request);
}

void
en_request_hold (EnRequest *request, int64_t limit_us)
{
  struct timeval limit = { limit_us / CK_US_PER_S, limit_us % CK_US_PER_S };

  request->was_held = TRUE;
  request->hold_node.data = request;
  g_queue_push_tail_link (queue_of (request->proxy, request->object_hash),
                          &request->hold_node);
  request->hold_timer
      = event_new (request->proxy->options.base, -1, 0, on_limit, request);
  event_add (request->hold_timer, &limit);
}

void
en_release_held (EnProxy *proxy, uint64_t object_hash)
{
  GQueue *queue;

  while (proxy->held != NULL
         && (queue = g_hash_table_lookup (proxy->held, &object_hash)) != NULL)
    {
      EnRequest *request = g_queue_peek_head (queue);
      en_request_unhold (request);
      en_request_send (request);
    }
}
