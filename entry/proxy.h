/* proxy.h - the path of a request

   DESCRIPTION
     Takes requests of callers, finds route and customer, admits them, chooses
     a target, passes the request on, and answers.  A request that is given up
     is answered at once.  "Not run" is only said where no target can have
     begun to work on the request.  */

#ifndef EN_PROXY_H
#define EN_PROXY_H

#include <glib.h>

#include "entry/dialect.h"
#include "entry/settings.h"
#include "entry/shares.h"
#include "entry/view.h"
#include "metric/metric.h"
#include "trace/trace.h"

typedef struct EnProxy EnProxy;

typedef struct
{
  struct event_base *base;
  const EnSettings *settings;
  const EnDialect *dialect;
  EnView *view;
  EnShares *shares;
  TrTrace *trace;
  MtTable *metrics;
} EnProxyOptions;

EnProxy *en_proxy_new (const EnProxyOptions *options, GError **error);
/* Ends all requests that are under way.  */
void en_proxy_free (EnProxy *proxy);

void en_proxy_set_limits (EnProxy *proxy, const RtLimits *limits);

/* Connections of callers close after their next answer.  */
void en_proxy_close_connections (EnProxy *proxy);
/* No new connections; ON_IDLE is called when the last one has closed.  */
void en_proxy_stop (EnProxy *proxy, void (*on_idle) (void *data), void *data);

#endif
