/* admin.h - HTTP server of a daemon for operators and metrics

   SYNOPSIS
     AdOptions opts = { .base = base, .address = "127.0.0.1", .port = 7001,
                        .vm = "vm1", .calls = &class, .data = daemon };
     g_autoptr (GError) error = NULL;
     AdServer *server = ad_new (&opts, &error);

   DESCRIPTION
     The server answers
       GET  /metrics
       GET  /v1/status
       GET  /v1/events?customer=&target=&request_id=&config_version=&limit=
       GET  /v1/config
       POST /v1/config
       GET  /v1/config/operation/OP_ID?base_version=N
     and asks the daemon through the functions of AdClass.  Documents are read
     and written in steps, so that the loop does not stand still.  No answer
     holds a key, or text that was sent in place of a SHA-256.

     Anyone who reaches the address may change the configuration; it belongs
     on the operators' network.  The process must ignore SIGPIPE.

   ERRORS
     AD_ERROR_LISTEN  the address cannot be bound  */

#ifndef AD_ADMIN_H
#define AD_ADMIN_H

#include "conf/conf.h"
#include "event/event.h"

struct event_base;

#define AD_BODY_MAX_BYTES (64 * 1024 * 1024)
#define AD_EVENTS_DEFAULT 1000
#define AD_EVENTS_MAX 65536
/* Bodies of several such sizes would not fit the daemon's memory.  */
#define AD_WRITES_MAX 2

#define AD_ERROR (ad_error_quark ())

typedef enum
{
  AD_ERROR_LISTEN,
} AdError;

typedef struct
{
  const char *vm;
  const char *zone;
  const char *region;
  const char *state; /* "live", "leaving", "fenced" or "lost" */
  uint64_t config_version;
  int64_t age_ms; /* since it was last heard; -1: never */
  uint32_t load_permille;
  uint32_t base_weight;
  uint32_t flex_weight;
} AdMember;

typedef struct
{
  const char *target;
  const char *service;
  uint32_t base_slots;
  uint32_t flex_slots;
  uint32_t used_slots;
  uint32_t limit_slots;
  gboolean healthy;
  gboolean draining;
  uint32_t warm_permille;
} AdSlots;

typedef struct
{
  const char *region;
  uint32_t total_slots;
  uint32_t free_slots;
  uint32_t headroom_permille;
} AdHeadroom;

typedef struct
{
  const char *vm;
  const char *zone;
  const char *region;
  uint64_t incarnation;
  gboolean ready;
  gboolean draining;

  uint64_t config_version; /* highest seen */
  gboolean config_in_force;
  gboolean config_fresh;
  int64_t config_age_ms; /* since it was last confirmed; -1: never */

  const char *lease_state; /* "active", "lapsed" or "none" */
  const char *lease_successor;
  int64_t lease_left_ms;
  int64_t base_left_ms;
  uint32_t base_weight;
  uint32_t flex_weight;

  gboolean store_up;
  GArray *members;  /* AdMember */
  GArray *slots;    /* AdSlots */
  GArray *headroom; /* AdHeadroom */
} AdStatus;

typedef enum
{
  AD_WRITE_APPLIED,
  AD_WRITE_LOST,    /* another operator's change was first */
  AD_WRITE_UNKNOWN, /* it may have taken effect */
  AD_WRITE_REFUSED, /* it did not and will not take effect */
} AdWriteResult;

typedef struct
{
  AdWriteResult result;
  uint64_t version;   /* applied: the new one; lost: the current one */
  const char *op_id;  /* lost: of the current version */
  const char *author; /* lost: of the current version */
  const char *error;  /* refused or unknown: why */
} AdWriteAnswer;

typedef enum
{
  AD_OPERATION_APPLIED,
  AD_OPERATION_NOT_APPLIED, /* and never will be */
  AD_OPERATION_UNKNOWN,
} AdOperationResult;

typedef struct AdCall AdCall; /* a request that is answered later */

typedef struct
{
  /* Appends the text exposition.  */
  void (*metrics) (GString *out, void *data);
  /* Fills STATUS, whose arrays are empty.  Strings must stay valid until the
     next call of the loop.  */
  void (*status) (AdStatus *status, void *data);
  const EvRing *(*events) (void *data);
  /* New reference to the configuration in force, or NULL.  */
  CfConfig *(*config) (void *data);
  /* CONFIG is checked; its version is BASE_VERSION + 1, and op_id and author
     are set.  The daemon sets written_ms, takes a reference of its own if it
     keeps CONFIG, and answers with ad_write_done, at once or later.  */
  void (*write) (AdCall *call, CfConfig *config, uint64_t base_version,
                 void *data);
  /* Answered with ad_operation_done.  BASE_VERSION is 0 if not given.  */
  void (*operation) (AdCall *call, const char *op_id, uint64_t base_version,
                     void *data);
} AdClass;

typedef struct
{
  struct event_base *base;
  const char *address;
  uint16_t port; /* 0: any free one */
  const char *vm;
  const AdClass *calls;
  void *data;
} AdOptions;

typedef struct AdServer AdServer;

GQuark ad_error_quark (void);

AdServer *ad_new (const AdOptions *options, GError **error);
uint16_t ad_port (const AdServer *server);

/* Calls that are still open are dropped; the daemon must not answer them any
   more.  */
void ad_free (AdServer *server);

void ad_write_done (AdCall *call, const AdWriteAnswer *answer);
void ad_operation_done (AdCall *call, AdOperationResult result,
                        uint64_t version);

#endif
