#include "entry/connections.h"

#include <event2/event.h>
#include <string.h>

typedef struct
{
  const char *name;
  const FrServer *server;
  MtCounter *open;
  MtCounter *bytes;
  MtCounter *peak_bytes;
  MtCounter *closed;
  MtCounter *displaced;
  MtCounter *timeouts;
  MtCounter *bodies;
  MtCounter *responses;
  MtCounter *refused[MM_REFUSAL_COUNT];
  EnConnectionsReport totals; /* at the last log line */
} Listener;

struct EnConnections
{
  EnConnectionsOptions options;
  GPtrArray *listeners;
  struct event *timer;
};

static const char *const reasons[MM_REFUSAL_COUNT] = {
  [MM_REFUSED_COUNT] = "count",
  [MM_REFUSED_ADDRESS] = "address",
  [MM_REFUSED_MEMORY] = "memory",
};

static uint64_t
count_given_up (const MmHolderCounters *counters)
{
  return counters->closed_count + counters->displaced_count;
}

static EnConnectionsReport
get_totals (const Listener *listener)
{
  const MmHolderCounters *counters = fr_holder_counters (listener->server);
  EnConnectionsReport totals
      = { .listener = listener->name,
          .open_count = counters->count,
          .held_bytes = counters->used_bytes,
          .closed_count = counters->closed_count,
          .displaced_count = counters->displaced_count,
          .body_count = count_given_up (fr_body_counters (listener->server)),
          .response_count
          = count_given_up (fr_response_counters (listener->server)),
          .timeout_count = fr_counters (listener->server)->timeout_count };

  memcpy (totals.refused_counts, counters->refused_counts,
          sizeof totals.refused_counts);
  return totals;
}

/* Timeouts alone are no sign of a limit.  */
static void
log_changes (Listener *listener, const EnConnectionsOptions *options)
{
  EnConnectionsReport report = get_totals (listener);
  const EnConnectionsReport *before = &listener->totals;
  EnConnectionsReport totals = report;
  uint64_t sum;

  report.closed_count -= before->closed_count;
  report.displaced_count -= before->displaced_count;
  report.body_count -= before->body_count;
  report.response_count -= before->response_count;
  report.timeout_count -= before->timeout_count;
  sum = report.closed_count + report.displaced_count + report.body_count
        + report.response_count;
  for (guint i = 0; i < MM_REFUSAL_COUNT; i++)
    {
      report.refused_counts[i] -= before->refused_counts[i];
      sum += report.refused_counts[i];
    }
  listener->totals = totals;
  if (sum > 0)
    options->log (&report, options->data);
}

static void
on_timer (evutil_socket_t fd, short what, void *data)
{
  EnConnections *connections = data;

  (void)fd;
  (void)what;
  for (guint i = 0; i < connections->listeners->len; i++)
    log_changes (connections->listeners->pdata[i], &connections->options);
  mm_trim_heap ();
}

EnConnections *
en_connections_new (const EnConnectionsOptions *options)
{
  EnConnections *connections = g_new0 (EnConnections, 1);
  struct timeval interval = { EN_CONNECTIONS_LOG_INTERVAL_S, 0 };

  connections->options = *options;
  connections->listeners = g_ptr_array_new_with_free_func (g_free);
  connections->timer
      = event_new (options->base, -1, EV_PERSIST, on_timer, connections);
  event_add (connections->timer, &interval);
  return connections;
}

void
en_connections_free (EnConnections *connections)
{
  if (connections == NULL)
    return;
  event_free (connections->timer);
  g_ptr_array_unref (connections->listeners);
  g_free (connections);
}

static MtCounter *
add_gauge (MtRegistry *metrics, const char *name, const char *listener,
           const char *help)
{
  g_autofree char *full_name
      = g_strdup_printf ("%s{listener=\"%s\"}", name, listener);

  return mt_gauge (metrics, full_name, help);
}

static void
register_refusals (Listener *listener, MtRegistry *metrics)
{
  for (guint i = 0; i < MM_REFUSAL_COUNT; i++)
    {
      g_autofree char *name = g_strdup_printf (
          "connections_refused_total{listener=\"%s\",reason=\"%s\"}",
          listener->name, reasons[i]);
      listener->refused[i] = mt_gauge (
          metrics, name,
          "Connections, or incomplete requests, refused by a limit");
    }
}

void
en_connections_add (EnConnections *connections, const char *name,
                    const FrServer *server)
{
  MtRegistry *metrics = connections->options.metrics;
  Listener *listener = g_new0 (Listener, 1);

  listener->name = name;
  listener->server = server;
  listener->open
      = add_gauge (metrics, "connections_open", name, "Open connections");
  listener->bytes = add_gauge (metrics, "connection_bytes", name,
                               "Counted for input and output of connections");
  listener->peak_bytes = add_gauge (metrics, "connection_peak_bytes", name,
                                    "The most that was counted for them");
  listener->closed = add_gauge (metrics, "connections_closed_for_others_total",
                                name, "Silent connections closed for others");
  listener->displaced
      = add_gauge (metrics, "connections_displaced_total", name,
                   "Connections closed for others of their address, or of an "
                   "address with fewer");
  listener->timeouts
      = add_gauge (metrics, "connection_timeouts_total", name,
                   "Connections closed, or requests rejected, by a timeout");
  listener->bodies
      = add_gauge (metrics, "request_bodies_given_up_total", name,
                   "Large bodies of requests rejected for others before they "
                   "were complete");
  listener->responses
      = add_gauge (metrics, "responses_given_up_total", name,
                   "Connections closed with a large response that was read "
                   "too slowly while others waited for memory");
  register_refusals (listener, metrics);
  g_ptr_array_add (connections->listeners, listener);
}

static void
update_listener (const Listener *listener)
{
  EnConnectionsReport totals = get_totals (listener);

  mt_set (listener->open, totals.open_count);
  mt_set (listener->bytes, (int64_t)totals.held_bytes);
  mt_set (listener->peak_bytes,
          (int64_t)fr_holder_counters (listener->server)->peak_bytes);
  mt_set (listener->closed, (int64_t)totals.closed_count);
  mt_set (listener->displaced, (int64_t)totals.displaced_count);
  mt_set (listener->bodies, (int64_t)totals.body_count);
  mt_set (listener->responses, (int64_t)totals.response_count);
  mt_set (listener->timeouts, (int64_t)totals.timeout_count);
  for (guint i = 0; i < MM_REFUSAL_COUNT; i++)
    mt_set (listener->refused[i], (int64_t)totals.refused_counts[i]);
}

void
en_connections_update_metrics (EnConnections *connections)
{
  for (guint i = 0; i < connections->listeners->len; i++)
    update_listener (connections->listeners->pdata[i]);
}
