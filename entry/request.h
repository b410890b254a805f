/* request.h - a request in progress, private to the proxy  */

#ifndef EN_REQUEST_H
#define EN_REQUEST_H

#include "admit/admit.h"
#include "backend/backend.h"
#include "entry/proxy.h"
#include "entry/timer.h"
#include "front/front.h"

typedef enum
{
  EN_OUTCOME_SERVED,         /* success of a target */
  EN_OUTCOME_ERROR_RESPONSE, /* other response of a target, status >= 300 */
  EN_OUTCOME_INVALID,        /* id or Host is missing */
  EN_OUTCOME_NO_ROUTE,
  EN_OUTCOME_UNAUTHORIZED, /* key missing or unknown */
  EN_OUTCOME_RATE_LIMITED, /* above the customer's rate */
  EN_OUTCOME_NOT_READY,    /* no configuration or member list, or the
                              configuration is stale */
  EN_OUTCOME_UNAVAILABLE,  /* no target can serve it in time */
  EN_OUTCOME_UNKNOWN,      /* may have run */
  EN_OUTCOME_TIMEOUT,      /* may have run; the deadline passed */
  EN_OUTCOME_CANCELLED,    /* the caller closed the connection */
  EN_OUTCOME_CUT,          /* the daemon ended before the response */
  EN_OUTCOME_COUNT,
} EnOutcome;

typedef struct EnRequest EnRequest;

struct EnProxy
{
  EnProxyOptions options;
  FrServer *front;           /* HTTP server for callers */
  BkPool *connection_pool;   /* to targets */
  MmBudget *request_memory;  /* for bodies of requests */
  MmBudget *response_memory; /* for bodies of responses */
  GHashTable *splits;        /* route name to EnSplit */
  AcSet *returns;            /* of rejected callers */
  GQueue requests;           /* EnRequest */
  GHashTable *held_requests; /* object hash to GQueue of EnRequest */
  gboolean requests_ended;   /* nothing more is sent to targets */
  gboolean is_ending;        /* connections are closed by this daemon */
  MtCounter *outcome_counts[EN_OUTCOME_COUNT];
  MtCounter *attempt_count;
  MtCounter *retry_count;
  MtCounter *invalid_notice_count;
  MtHistogram *duration;
  MtHistogram *retry_after; /* of rejections for lack of capacity */
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
  FrRequest *front; /* at the HTTP server for callers */
  GList node;       /* in EnProxy.requests */
  RtConfig *config;
  const RtRoute *route;
  /* Whose key it carries by CONFIG, for what limits the request: rate, home
     regions, share of targets.  NULL: open route, or no customers.  What tells
     of the customer asks en_request_confirmed_customer.  */
  const RtCustomer *customer;
  gboolean customer_is_confirmed;
  const char *service; /* chosen by the route's traffic split */
  char *id;
  char *path_and_query;  /* as sent by the caller */
  uint64_t object_hash;  /* of route and object cookie; 0: none */
  uint64_t id_hash;      /* spreads requests without an object */
  uint64_t content_hash; /* the same for the same request of the same customer;
                            never 0 */
  int64_t deadline_us;
  uint32_t priority;
  HtHeaders *headers; /* for targets */

  BkSends sends;
  uint32_t attempt_count;
  uint32_t send_count; /* attempts that sent at least a byte */
  gboolean may_have_run;
  gboolean is_trial; /* of a content that has crashed targets; is sent once */
  gboolean token_taken;        /* from this daemon's bucket of the customer */
  uint64_t failed_target_hash; /* tg_id_hash of the last target; 0: none */
  EnTokenRequest *token_request; /* for the customer or, with an attempt, for
                                    its target; NULL: none is pending */
  TgChoice choice;               /* of the attempt */
  TgAttempt *attempt;            /* current one, or NULL */
  BkCall *call;                  /* of the attempt */
  int64_t sent_us;               /* start of the attempt */
  EnTimer *hold_timer;           /* NULL: not held */
  GList hold_node;               /* in a queue of EnProxy.held_requests */
  gboolean was_held;             /* a request is held only once */
};

/* The response to a request that is not served.  */
typedef struct
{
  EnOutcome outcome;
  int64_t retry_after_us; /* 0: none */
  const char *reason;
} EnRefusal;

/* In logs, metrics and explanations.  */
const char *en_outcome_name (EnOutcome outcome);
/* Status of the daemon's own response; 0: it sends none.  */
uint32_t en_outcome_status (EnOutcome outcome);

/* The checks of a request that has arrived, in their order, which
   entry/where.c also makes for a request that is not sent.  They change
   nothing but REQUEST. Both return FALSE and set REFUSAL if the request is
   refused.

   en_request_check_route needs proxy, front and config; it sets id, route and
   deadline_us.  en_request_check_key needs customer, that of the request's key
   if it has one that is known, and sets customer_is_confirmed.  */
gboolean en_request_check_route (EnRequest *request, EnRefusal *refusal);
gboolean en_request_check_key (EnRequest *request, gboolean has_key,
                               EnRefusal *refusal);
/* The customer, or NULL if a later configuration may have withdrawn the key:
   for targets, logs, answers and what a customer has more of than others.  */
const RtCustomer *en_request_confirmed_customer (const EnRequest *request);
/* Its name, or "-".  */
const char *en_request_customer_name (const EnRequest *request);
/* Sets the priority, the hashes and path_and_query.  */
void en_request_classify (EnRequest *request);
/* Service of the next request of ROUTE.  */
const char *en_proxy_next_service (const EnProxy *proxy, const RtRoute *route);
/* Explains the choice of a target.  Returns FALSE and sets REFUSAL if the
   request would not be sent or held.  */
gboolean en_request_explain_send (const EnRequest *request, int64_t now_us,
                                  TgExplanation *explanation,
                                  EnRefusal *refusal);

/* Holds REQUEST while another one fills a target's cache for the same object,
   for at most TIMEOUT_US, then sends it.  */
void en_request_hold (EnRequest *request, int64_t timeout_us);
/* Removes REQUEST from the held ones without sending it.  */
void en_request_end_hold (EnRequest *request);
/* Sends the requests that were held for an object.  */
void en_proxy_release_held (EnProxy *proxy, uint64_t object_hash);

/* Chooses a target and sends REQUEST, or holds or fails it.  */
void en_request_send (EnRequest *request);

/* Ends an attempt that says nothing about its target.  */
void en_request_drop_attempt (EnRequest *request, int64_t now_us);

/* Responds with the error status of OUTCOME and frees REQUEST.  */
void en_request_fail (EnRequest *request, EnOutcome outcome,
                      int64_t retry_after_us, const char *reason);
/* Forwards the response of a target and frees REQUEST.  */
void en_request_forward_response (EnRequest *request, const BkResult *result);

#endif
