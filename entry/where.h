/* where.h - explains where a request would be sent, without sending it

   DESCRIPTION
     Makes the decisions of the proxy for a request that an operator describes,
     up to the point of sending, and changes no state by it: no token is taken,
     no object is placed, nothing is counted, and no message is sent.

     The query string is that of question/question.h; the default of the
     deadline is that of the route.

     The JSON has "decision": "send", "hold" (until a request in flight has
     filled the target's cache) or "refuse", then with "outcome", "status",
     "reason" and "retry_after_ms".  docs/design/where.md lists the fields.

   ERRORS
     A malformed query gets status 400 and a JSON object with "error".  */

#ifndef EN_WHERE_H
#define EN_WHERE_H

#include <glib.h>
#include <stdint.h>

#include "entry/proxy.h"

/* Returns the HTTP status.  QUERY may be NULL.  Free JSON with g_free.  */
uint32_t en_where (EnProxy *proxy, const char *query, char **json);

#endif
