/* admin.h - HTTP server of a daemon for operators and metrics

   SYNOPSIS
     AdOptions opts = { .base = base, .address = "127.0.0.1", .port = 7001,
                        .vm = "vm1", .callbacks = &callbacks, .data = daemon };
     g_autoptr (GError) error = NULL;
     AdServer *server = ad_new (&opts, &error);

   DESCRIPTION
     The server responds to
       GET  /metrics
       GET  /v1/status
       GET  /v1/events?customer=&target=&request_id=&config_version=&limit=
       GET  /v1/where?host=&path=&method=&key_sha256=&deadline_ms=
       GET  /v1/config
       POST /v1/config
       GET  /v1/config/operation/OP_ID?base_version=N
     and calls the daemon through the functions of AdCallbacks.  OP_ID is the
     id that the operator's client gave to a change in POST /v1/config; with it
     the client can learn later whether the change took effect.
     Configurations are parsed and serialized in steps, so that they do not
     block the event loop.  No response contains a key, or text that an
     operator sent in place of a key's SHA-256.

     There is no access control: anyone who can connect to the address can
     change the configuration, so it has to be on the operators' network.  The
     process must ignore SIGPIPE, as a client may disconnect at any time.

   ERRORS
     AD_ERROR_LISTEN  the address cannot be bound  */

#ifndef AD_ADMIN_H
#define AD_ADMIN_H

#include "conf/conf.h"
#include "event/event.h"

struct event_base;

#define AD_BODY_MAX_BYTES (64 * 1024 * 1024)
/* Default and upper bound of the limit of GET /v1/events.  */
#define AD_EVENTS_DEFAULT_COUNT 1000
#define AD_EVENTS_MAX_COUNT 65536
/* Configuration writes in progress.  Each may hold a body of
   AD_BODY_MAX_BYTES, and more of them would not fit the daemon's memory.  */
#define AD_WRITES_MAX 2

#define AD_ERROR (ad_error_quark ())

typedef enum
{
  AD_ERROR_LISTEN,
} AdError;

/* A daemon of the fleet.  Its weights determine its base and flex shares of
   the quotas; see assign/assign.h.  */
typedef struct
{
  const char *vm;
  const char *zone;
  const char *region;
  /* "live"; "leaving": live, but stopping; in the assignment, but not live:
     "fenced" or "lost".  */
  const char *state;
  uint64_t config_version;
  int64_t age_ms; /* since its last report; -1: none received */
  uint32_t load_permille;
  uint32_t base_weight;
  uint32_t flex_weight;
} AdMember;

/* The slots of a target that this daemon holds.  */
typedef struct
{
  const char *target;
  const char *service;
  uint32_t base_slots;  /* assigned to this daemon */
  uint32_t flex_slots;  /* assigned to this daemon */
  uint32_t used_slots;  /* by own requests and by grants */
  uint32_t limit_slots; /* minimum of AIMD limit and cold ramp */
  gboolean healthy;
  gboolean draining;
  uint32_t warm_permille; /* cache warmth that the target reports */
} AdTargetSlots;

/* Free slots of a region, over all services.  */
typedef struct
{
  const char *region;
  uint32_t total_slots;
  uint32_t free_slots;
  uint32_t headroom_permille; /* free of total slots */
} AdHeadroom;

typedef struct
{
  const char *vm;
  const char *zone;
  const char *region;
  uint64_t incarnation;
  gboolean ready;
  gboolean draining;

  uint64_t config_version;  /* highest version seen */
  gboolean config_in_force; /* this version is in force */
  gboolean config_fresh;    /* confirmed recently; no lapsed lease */
  int64_t config_age_ms;    /* since the last confirmation; -1: none */

  const char *lease_state;     /* "active", "lapsed", "none": no record */
  const char *lease_successor; /* VM */
  int64_t lease_left_ms;
  int64_t base_left_ms; /* of the time to use the base share */
  uint32_t base_weight;
  uint32_t flex_weight;

  gboolean store_up;
  GArray *members;  /* AdMember */
  GArray *slots;    /* AdTargetSlots */
  GArray *headroom; /* AdHeadroom */
} AdStatus;

typedef enum
{
  AD_WRITE_APPLIED,
  AD_WRITE_CONFLICT, /* another change was written first */
  AD_WRITE_UNKNOWN,  /* may have taken effect */
  AD_WRITE_REFUSED,  /* has not taken effect and will not */
} AdWriteResult;

typedef struct
{
  AdWriteResult result;
  /* Applied: the new one; conflict: the current one; unknown: the new one if
     the store has it, else 0.  */
  uint64_t version;
  const char *op_id;  /* conflict: of the current version */
  const char *author; /* conflict: of the current version */
  const char *error;  /* refused or unknown: the reason */
} AdWriteReply;

typedef enum
{
  AD_OPERATION_APPLIED,
  AD_OPERATION_NOT_APPLIED, /* and will not be */
  AD_OPERATION_UNKNOWN,
} AdOperationResult;

typedef struct AdCall AdCall; /* a request whose response is sent later */

typedef struct
{
  /* Appends the metrics in the Prometheus text format.  */
  void (*metrics) (GString *out, void *data);
  /* Fills in STATUS, whose arrays are empty.  Strings must stay valid until
     the daemon returns to the event loop.  */
  void (*status) (AdStatus *status, void *data);
  /* Returns the recorded events, which the daemon keeps.  */
  const EvRing *(*events) (void *data);
  /* Returns a new reference to the configuration in force, or NULL.  */
  CfConfig *(*config) (void *data);
  /* Writes CONFIG to the store.  It is valid, has the version
     BASE_VERSION + 1, and has op_id and author set.  The daemon sets
     written_ms, takes its own reference if it keeps CONFIG, and calls
     ad_write_done, at once or later.  */
  void (*write) (AdCall *call, CfConfig *config, uint64_t base_version,
                 void *data);
  /* Looks up the change OP_ID; the daemon calls ad_operation_done, at once or
     later.  BASE_VERSION is 0 if not given.  */
  void (*operation) (AdCall *call, const char *op_id, uint64_t base_version,
                     void *data);
  /* Explains where a request would be sent, without sending it.  QUERY, which
     may be NULL, is that of question/question.h.  Returns the HTTP status and
     sets JSON, which the server frees with g_free.  NULL: not supported.  */
  uint32_t (*where) (const char *query, char **json, void *data);
} AdCallbacks;

typedef struct
{
  struct event_base *base;
  const char *address;
  uint16_t port; /* 0: any free port */
  const char *vm;
  const AdCallbacks *callbacks;
  void *data;
} AdOptions;

typedef struct AdServer AdServer;

GQuark ad_error_quark (void);

/* Returns NULL and sets ERROR if the address cannot be bound.  */
AdServer *ad_new (const AdOptions *options, GError **error);
uint16_t ad_port (const AdServer *server);

/* Drops pending calls; the daemon must not complete them afterwards.  */
void ad_free (AdServer *server);

/* Sends the response of CALL and frees CALL.  */
void ad_write_done (AdCall *call, const AdWriteReply *reply);
/* Sends the response of CALL and frees CALL.  VERSION is the one that the
   operation wrote or, if it was not applied, the one that another operation
   wrote in its place; 0 if unknown.  */
void ad_operation_done (AdCall *call, AdOperationResult result,
                        uint64_t version);

#endif
