/* connections.h - metrics and log lines of the limits on connections

   DESCRIPTION
     Covers the HTTP servers of a daemon.  Calls the log function once for each
     server and interval in which a limit refused or closed connections,
     whatever their number, to log an EV_CONNECTIONS_LIMITED.  Also returns
     memory that a crowd has left behind to the system.  */

#ifndef EN_CONNECTIONS_H
#define EN_CONNECTIONS_H

#include "front/front.h"
#include "metric/metric.h"

#define EN_CONNECTIONS_LOG_INTERVAL_S 10

typedef struct EnConnections EnConnections;

/* What limits did to the connections of a server in an interval.  */
typedef struct
{
  const char *listener;
  uint32_t open_count; /* now */
  uint64_t held_bytes; /* now, as counted */
  uint64_t refused_counts[MM_REFUSAL_COUNT];
  uint64_t closed_count; /* silent ones, for others */
  uint64_t displaced_count;
  uint64_t body_count;     /* large bodies given up */
  uint64_t response_count; /* large responses given up */
  uint64_t timeout_count;
} EnConnectionsReport;

typedef struct
{
  struct event_base *base;
  MtRegistry *metrics;
  void (*log) (const EnConnectionsReport *report, void *data);
  void *data;
} EnConnectionsOptions;

EnConnections *en_connections_new (const EnConnectionsOptions *options);
void en_connections_free (EnConnections *connections);

/* LISTENER names the server in metrics and log lines.  SERVER must outlive
   CONNECTIONS.  */
void en_connections_add (EnConnections *connections, const char *listener,
                         const FrServer *server);
void en_connections_update_metrics (EnConnections *connections);

#endif
