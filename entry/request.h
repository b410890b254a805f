/* request.h - a request under way, private to the proxy  */

#ifndef EN_REQUEST_H
#define EN_REQUEST_H

#include "backend/backend.h"
#include "entry/proxy.h"
#include "front/front.h"

typedef enum
{
  EN_OUTCOME_SERVED,  /* a target's success */
  EN_OUTCOME_PASSED,  /* a target's own failure */
  EN_OUTCOME_INVALID, /* not a proper request */
  EN_OUTCOME_NO_ROUTE,
  EN_OUTCOME_NO_KEY,
  EN_OUTCOME_LIMITED,   /* over the customer's rate */
  EN_OUTCOME_NOT_READY, /* no configuration, or too old for keys */
  EN_OUTCOME_FULL,      /* no target can carry it in time */
  EN_OUTCOME_UNKNOWN,   /* may have run */
  EN_OUTCOME_TIMEOUT,   /* may have run; its time is over */
  EN_OUTCOME_GONE,      /* the caller has left */
  EN_OUTCOME_COUNT,
} EnOutcome;

typedef struct EnRequest EnRequest;

struct EnProxy
{
  EnProxyOptions options;
  FrServer *front;
  BkPool *pool;
  GHashTable *splits; /* route name to EnSplit */
  GQueue requests;    /* EnRequest */
  GHashTable *held;   /* object hash to GQueue of EnRequest */
  MtCounter *outcomes[EN_OUTCOME_COUNT];
  MtCounter *sends;
  MtCounter *repeats;
  MtHistogram *latency;
};

/* Running position of a weighted split.  */
typedef struct
{
  uint32_t count;
  int64_t credits[];
} EnSplit;

struct EnRequest
{
  EnProxy *proxy;
  FrRequest *front;
  GList node;
  RtConfig *config;
  const RtRoute *route;
  const RtCustomer *customer; /* NULL on an open route */
  const char *service;        /* the part of the split it goes to */
  char *id;
  char *target; /* path and query as sent */
  uint64_t object_hash;
  uint64_t spread;
  int64_t deadline_us;
  uint32_t priority;
  HtHeaders *headers; /* for targets */

  uint32_t sends; /* handed to a target */
  uint32_t tries; /* with those that were not sent */
  gboolean may_have_run;
  gboolean reserved; /* took a token of its customer */
  uint64_t failed;   /* key of the target that failed last; 0: none */
  EnAsk *ask;        /* while a token is asked for */
  TgUse *use;
  BkCall *call;
  int64_t sent_us;
  struct event *hold_timer; /* while held */
  GList hold_node;
  gboolean was_held;
};

/* Waits until another request for the same object has ended, LIMIT_US at
   most.  */
void en_request_hold (EnRequest *request, int64_t limit_us);
void en_request_unhold (EnRequest *request);
/* Sends what was held for an object.  */
void en_release_held (EnProxy *proxy, uint64_t object_hash);

/* Chooses a target and sends, or answers.  */
void en_request_send (EnRequest *request);

/* Answers with a status of our own and frees REQUEST.  */
void en_request_refuse (EnRequest *request, EnOutcome outcome,
                        int64_t retry_after_us, const char *reason);
/* Answers with what a target said and frees REQUEST.  */
void en_request_answer (EnRequest *request, const BkResult *result);

#endif
