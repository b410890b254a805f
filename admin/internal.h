/* internal.h - declarations shared by the sources of admin  */

#ifndef AD_INTERNAL_H
#define AD_INTERNAL_H

#include "admin/admin.h"

#include <event2/event.h>
#include <event2/http.h>

#include "front/front.h"

struct AdServer
{
  const AdCallbacks *callbacks;
  void *data;
  char *vm;
  struct event_base *base;
  FrServer *http;
  MmBudget *request_memory;
  MmBudget *response_memory;
  GHashTable *calls;    /* AdCall without a response yet */
  uint32_t write_count; /* configuration writes in progress */
};

/* A request whose response may be sent in a later iteration of the event
   loop.  */
struct AdCall
{
  AdServer *server;
  FrRequest *request;       /* NULL once the client has disconnected */
  CfJob *job;               /* parses or serializes the configuration */
  struct event *step_event; /* runs the next step of the job */
  gboolean is_config_write;
};

AdCall *ad_call_new (AdServer *server, FrRequest *request);
/* Does not remove CALL from the server's calls.  */
void ad_call_free (AdCall *call);

/* REQUEST may be NULL, then nothing is sent.  */
void ad_send_text (FrRequest *request, int status, const char *type,
                   const char *text);
/* Sends {"result":RESULT,"errors":[ERROR]}; ERROR may be NULL.  */
void ad_send_result (FrRequest *request, int status, const char *result,
                     const char *error);

char *ad_status_to_json (const AdStatus *status);
/* Returns the newest LIMIT events that match FILTER, oldest first.  */
char *ad_events_to_json (const char *vm, const EvRing *ring,
                         const EvFields *filter, uint32_t limit);

void ad_get_config (AdServer *server, FrRequest *request);
void ad_post_config (AdServer *server, FrRequest *request);
void ad_get_operation (AdServer *server, FrRequest *request,
                       const char *op_id);

#endif
