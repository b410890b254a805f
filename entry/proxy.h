/* proxy.h - reverse proxy for the requests of callers

   DESCRIPTION
     Receives a request, matches its route, identifies the customer by its key,
     applies the customer's rate limit, chooses a target, forwards the request
     and returns the response.  A request that cannot be served gets an error
     response at once.  Its body reports the outcome "not_run" only where no
     target can have begun to run the request, else "unknown".  While the
     daemon stops, a request that it may not finish is refused, see
     stop/stop.h.  */

#ifndef EN_PROXY_H
#define EN_PROXY_H

#include <glib.h>

#include "backend/backend.h"
#include "entry/dialect.h"
#include "entry/settings.h"
#include "entry/shares.h"
#include "entry/view.h"
#include "front/front.h"
#include "metric/metric.h"
#include "stop/stop.h"
#include "trace/trace.h"

typedef struct EnProxy EnProxy;

typedef struct
{
  struct event_base *base;
  const EnSettings *settings;
  const EnDialect *dialect;
  EnView *view;
  EnShares *shares;
  const SpStop *stop;
  TrTrace *trace;
  MtRegistry *metrics;
} EnProxyOptions;

EnProxy *en_proxy_new (const EnProxyOptions *options, GError **error);
/* Cancels all requests in progress.  */
void en_proxy_free (EnProxy *proxy);

void en_proxy_set_limits (EnProxy *proxy, const RtLimits *limits);
const FrServer *en_proxy_front (const EnProxy *proxy);
const FrCounters *en_proxy_front_counters (const EnProxy *proxy);
/* Of the connections to targets.  */
const BkCounters *en_proxy_target_counters (const EnProxy *proxy);
/* For the bodies of requests and of responses.  */
const MmBudget *en_proxy_request_memory (const EnProxy *proxy);
const MmBudget *en_proxy_response_memory (const EnProxy *proxy);

/* Closes each connection of a caller after its next response.  */
void en_proxy_close_connections (EnProxy *proxy);
/* Accepts no new connections; calls ON_IDLE when the last one has closed.  */
void en_proxy_stop (EnProxy *proxy, void (*on_idle) (void *data), void *data);
/* Cancels the requests in progress at their targets and responds to their
   callers, also to those whose request is incomplete.  */
void en_proxy_end_requests (EnProxy *proxy);
/* Whether a part of a response to a caller is not written yet.  */
gboolean en_proxy_is_writing (const EnProxy *proxy);

#endif
