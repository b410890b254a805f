/* request.h - a request in progress, private to the proxy  */

#ifndef EN_REQUEST_H
#define EN_REQUEST_H

#include "backend/backend.h"
#include "entry/proxy.h"
#include "front/front.h"

typedef enum
{
  EN_OUTCOME_SERVED,         /* success of a target */
  EN_OUTCOME_ERROR_RESPONSE, /* a target's other response, status >= 300 */
  EN_OUTCOME_INVALID,        /* id or Host is missing */
  EN_OUTCOME_NO_ROUTE,
  EN_OUTCOME_UNAUTHORIZED, /* key missing or unknown */
  EN_OUTCOME_RATE_LIMITED, /* above the customer's rate */
  EN_OUTCOME_NOT_READY,    /* no configuration, or too old to check keys */
  EN_OUTCOME_UNAVAILABLE,  /* no target can serve it in time */
  EN_OUTCOME_UNKNOWN,      /* may have run */
  EN_OUTCOME_TIMEOUT,      /* may have run; the deadline passed */
  EN_OUTCOME_CANCELLED,    /* the caller closed the connection */
  EN_OUTCOME_COUNT,
} EnOutcome;

typedef struct EnRequest EnRequest;

struct EnProxy
{
  EnProxyOptions options;
  FrServer *front;
  BkPool *pool;
  GHashTable *splits;        /* route name to EnSplit */
  GQueue requests;           /* EnRequest */
  GHashTable *held_requests; /* object hash to GQueue of EnRequest */
  MtCounter *outcome_counts[EN_OUTCOME_COUNT];
  MtCounter *send_count;
  MtCounter *retry_count;
  MtHistogram *duration;
};

/* State of the weighted round robin over the services of a route.  */
typedef struct
{
  uint32_t count;
  int64_t current_weights[];
} EnSplit;

struct EnRequest
{
  EnProxy *proxy;
  FrRequest *front;
  GList node;
  RtConfig *config;
  const RtRoute *route;
  const RtCustomer *customer; /* may be NULL on an open route */
  const char *service;        /* chosen by the route's traffic split */
  char *id;
  char *path_and_query; /* as sent */
  uint64_t object_hash;
  uint64_t id_hash; /* spreads requests without an object */
  int64_t deadline_us;
  uint32_t priority;
  HtHeaders *headers; /* for targets */

  uint32_t send_count; /* passed to a target */
  uint32_t try_count;  /* including those of which no byte was sent */
  gboolean may_have_run;
  gboolean token_taken;       /* from this daemon's bucket of the customer */
  uint64_t failed_target_key; /* last one that failed; 0: none */
  EnTokenRequest
      *token_request; /* to the daemon that keeps the tokens, or NULL */
  TgAttempt *use;
  BkCall *call;
  int64_t sent_us;
  struct event *hold_timer; /* NULL: not held */
  GList hold_node;
  gboolean was_held;
};

/* Delays REQUEST until another request for the same object has ended, for at
   most TIMEOUT_US.  */
void en_request_hold (EnRequest *request, int64_t timeout_us);
/* Removes REQUEST from the held ones without sending it.  */
void en_request_end_hold (EnRequest *request);
/* Sends the requests that were held for an object.  */
void en_proxy_release_held (EnProxy *proxy, uint64_t object_hash);

/* Chooses a target and sends REQUEST, or holds or refuses it.  */
void en_request_send (EnRequest *request);

/* Responds with the status of OUTCOME and frees REQUEST.  */
void en_request_refuse (EnRequest *request, EnOutcome outcome,
                        int64_t retry_after_us, const char *reason);
/* Forwards the response of a target and frees REQUEST.  */
void en_request_forward_response (EnRequest *request, const BkResult *result);

#endif
