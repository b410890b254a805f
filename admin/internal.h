/* internal.h - declarations shared by the sources of admin  */

#ifndef AD_INTERNAL_H
#define AD_INTERNAL_H

#include "admin/admin.h"

#include <event2/event.h>
#include <event2/http.h>

struct AdServer
{
  const AdCallbacks *callbacks;
  void *data;
  char *vm;
  struct event_base *base;
  struct evhttp *http;
  uint16_t port;
  GHashTable *calls; /* AdCall */
  uint32_t write_count;
};

/* A request that is responded to in a later iteration of the event loop.  */
struct AdCall
{
  AdServer *server;
  struct evhttp_request *request;
  char *body; /* the part copied so far */
  size_t body_bytes;
  size_t body_copied_bytes;
  CfJob *job;
  struct event *step_event;
  gboolean is_config_write;
};

AdCall *ad_call_new (AdServer *server, struct evhttp_request *request);
void ad_call_free (AdCall *call);

void ad_send_text (struct evhttp_request *request, int status,
                   const char *type, const char *text);
/* Sends {"result":RESULT,"errors":[ERROR]}; ERROR may be NULL.  */
void ad_send_result (struct evhttp_request *request, int status,
                     const char *result, const char *error);

char *ad_status_to_json (const AdStatus *status);
char *ad_events_to_json (const char *vm, const EvRing *ring,
                         const EvFields *filter, uint32_t limit);

void ad_get_config (AdServer *server, struct evhttp_request *request);
void ad_post_config (AdServer *server, struct evhttp_request *request);
void ad_get_operation (AdServer *server, struct evhttp_request *request,
                       const char *op_id);

#endif
