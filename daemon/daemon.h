/* daemon.h - the parts of comfreywalkd

   DESCRIPTION
     A daemon has one libevent loop on one thread.  The decision packages hold
     the state; the files of this folder carry out their actions and feed them
     events.  Each part has one section below and one file.

       daemon.c    construction, tick, readiness, graceful stop
       config.c    takes over and relays the configuration; shifts
       write.c     writes an operator's change
       leases.c    carries out the actions of the daemon lease
       shares.c    the assignment document and the daemon's entry in it
       exchange.c  reports, digests and dispatch of peer messages
       lending.c   tokens between daemons
       fleet.c     the platform's lists of entry VMs and targets; probes
       request.c   one caller's request from arrival to answer
       dispatch.c  choice of a target, sending, retries
       slots.c     slots lent to and borrowed from other daemons
       orders.c    orders with an Idempotency-Key
       lookup.c    answers which entry VMs to use
       status.c    what operators see
       log.c       log4c

   ERRORS
     DM_ERROR_LISTEN    an address cannot be listened on
     DM_ERROR_SETTINGS  the settings file has faults, which were printed  */

#ifndef DM_DAEMON_H
#define DM_DAEMON_H

#include <event2/event.h>
#include <glib.h>
#include <stdint.h>

#include "admin/admin.h"
#include "assign/assign.h"
#include "backend/backend.h"
#include "clock/clock.h"
#include "conf/conf.h"
#include "event/event.h"
#include "fair/fair.h"
#include "front/front.h"
#include "key/key.h"
#include "lease/lease.h"
#include "member/member.h"
#include "metric/metric.h"
#include "order/order.h"
#include "peer/peer.h"
#include "plan/plan.h"
#include "prefix/prefix.h"
#include "quota/quota.h"
#include "settings/settings.h"
#include "slot/slot.h"
#include "steer/steer.h"
#include "store/store.h"

#define DM_TICK_MS 20
#define DM_EVENTS_COUNT 16384
#define DM_VMS_MAX 1024
#define DM_DEADLINE_DEFAULT_MS 10000
#define DM_DEADLINE_MAX_MS 10000
#define DM_OPERATIONS_MAX 256

#define DM_ERROR (dm_error_quark ())

typedef enum
{
  DM_ERROR_LISTEN,
  DM_ERROR_SETTINGS,
} DmError;

typedef struct DmDaemon DmDaemon;
typedef struct DmConfigTask DmConfigTask;
typedef struct DmWrite DmWrite;
typedef struct DmRequest DmRequest;

/* A target of the platform's list.  */
typedef struct
{
  DmDaemon *daemon;
  char *name;
  char *zone;
  char *address;        /* as connected to, "127.0.0.1:9201" */
  char *listed_address; /* as the platform lists it */
  int region;           /* index into the configuration's regions, or -1 */
  gboolean listed;
  gboolean leaving;  /* by the platform's list */
  gboolean draining; /* by its own report or a planned drain */
  gboolean reports_draining;
  gboolean healthy;
  uint32_t failure_count; /* in a row */
  uint32_t warm_permille;
  uint32_t reported_running;
  int64_t reported_us;
  uint32_t latency_us;
  uint32_t shed_permille;
  int64_t probe_due_us;
  gboolean probe_load; /* the next probe asks for the load */
  BkCall *probe;
  GPtrArray *holders; /* char *: VMs that hold slots of it, without self */
  uint32_t holder_asked_count; /* slots asked for since the last report */
  int64_t holder_asked_us;
  int64_t refused_until_us; /* by its holder */
} DmTarget;

typedef struct
{
  DmDaemon *daemon;
  char *name;
  GPtrArray *targets; /* DmTarget */
  FqQueue *queue;
  uint32_t ask_count; /* slots asked for and not answered */
  gboolean pumping;
  uint32_t answer_bytes; /* moving average */
  uint64_t list_index;
  gboolean list_armed;
  gboolean listed; /* a list was read */
  int64_t told_due_us;
  int64_t list_due_us;
} DmService;

/* Which operation wrote a version.  */
typedef struct
{
  uint64_t version;
  char op_id[64];
} DmOperation;

/* Counters and histograms that request handling touches.  */
typedef struct
{
  MtCounter *requests;
  MtCounter *lookups;
  MtCounter *answered;
  MtCounter *refused;
  MtCounter *refused_rate;
  MtCounter *refused_stale;
  MtCounter *refused_capacity;
  MtCounter *unknown;
  MtCounter *retries;
  MtCounter *cancelled;
  MtCounter *borrowed_slots;
  MtHistogram *latency;
  MtHistogram *added;
  MtHistogram *queue_wait;
  MtCounter *control_cpu;
  MtCounter *config_version;
  MtCounter *config_apply_ms;
  MtCounter *resident_bytes;
  MtCounter *store_reads;
  MtCounter *store_writes;
  MtCounter *store_watches;
} DmMetrics;

struct DmDaemon
{
  SeSettings *settings;
  struct event_base *base;
  struct event *tick;
  struct event *sigterm;
  struct event *sigint;
  uint64_t random;

  EvRing *ring;
  MtRegistry *metrics;
  DmMetrics counters;
  StStore *store;
  gboolean store_up;
  uint32_t store_failure_count; /* in a row */
  PrNet *net;
  FrServer *front;
  BkPool *backend;
  BkPool *probes; /* connections that requests never wait for */
  AdServer *admin;

  char *peer_address; /* as told to others */
  char *http_address;
  MbTable *members;
  int64_t report_due_us;
  int64_t contact_due_us;
  LsLease *lease;
  gboolean lease_was_active;
  int64_t candidates_due_us;
  uint64_t incarnation; /* of the lease, as told to the other parts */
  uint64_t process_incarnation;
  GHashTable *fenced; /* vm -> AsFencedLease */

  AsDoc *assign;
  uint64_t assign_index;
  AsPlacement *tracker;
  GArray *assign_targets; /* AsTarget */
  gboolean assign_reading;
  int64_t assign_read_us;
  gboolean assign_writing;
  AsDoc *assign_pending; /* being written */
  int64_t assign_due_us;
  uint32_t assign_attempt;
  AsWeights share;
  int64_t joined_us; /* first entry of this process; 0: none yet */
  int64_t slots_rest_until_us;

  CfConfig *config;      /* in force */
  CfManifest *manifest;  /* of it, with content */
  GArray *operations;    /* DmOperation, of the versions seen in force */
  uint64_t config_known; /* highest version heard of */
  gboolean config_watching;
  uint64_t config_watch_index;
  int64_t config_watch_due_us;
  gboolean manifest_asked;
  int64_t manifest_due_us;
  gboolean config_was_fresh;
  int64_t config_confirmed_us;
  DmConfigTask *config_task;
  DmWrite *write;
  KyTable *keys;
  PxTable *prefixes;
  PlPlan *plan;
  int64_t shifts_due_us;
  GArray *shift_shares; /* PlShare, one for each shift of the configuration */
  QtTable *quotas;
  int64_t gatherers_due_us;
  SlTable *slots;
  const SrPolicy *policy;

  GHashTable *services; /* name -> DmService */
  GHashTable *targets;  /* name -> DmTarget, of all services */
  uint64_t entry_index;
  gboolean entry_armed;
  int64_t entry_due_us;
  GPtrArray *entry_vms; /* StVm copies */
  int64_t drains_due_us;
  int64_t expire_due_us;

  GHashTable *requests;     /* set of DmRequest */
  GHashTable *contexts;     /* of calls to the store and to peers */
  GQueue admission_waiting; /* DmRequest that wait for tokens */
  uint64_t next_request;
  int64_t retry_tokens; /* thousandths of a retry */
  GHashTable *lookup_cache;
  int64_t lookup_cache_us;

  gboolean draining;
  int64_t drain_started_us;
  gboolean front_stopped;
  gboolean front_idle;
  int64_t front_idle_us;
  gboolean release_asked;
  gboolean stopped;
};

GQuark dm_error_quark (void);

/* daemon.c */

DmDaemon *dm_new (SeSettings *settings, GError **error);
/* Runs until a graceful stop has finished.  */
void dm_run (DmDaemon *daemon);
void dm_free (DmDaemon *daemon);
void dm_record (DmDaemon *daemon, EvNumber number, const EvFields *fields);
/* One warning or note without request fields.  */
void dm_note (DmDaemon *daemon, EvNumber number, const char *format, ...)
    G_GNUC_PRINTF (3, 4);
uint64_t dm_random (DmDaemon *daemon);
/* Memory of a call that is under way; freed at the latest with the daemon. */
void *dm_context_new (DmDaemon *daemon, gsize size_bytes);
void dm_context_free (DmDaemon *daemon, void *context);
/* Whether a keyed request may be served: lease and configuration.  */
gboolean dm_fresh (DmDaemon *daemon, int64_t now_us);
gboolean dm_ready (const DmDaemon *daemon);
/* Notes whether the store answered.  */
void dm_store_answered (DmDaemon *daemon, StOutcome outcome);
void dm_start_drain (DmDaemon *daemon);

/* config.c */

void dm_config_tick (DmDaemon *daemon, int64_t now_us);
void dm_config_notice (DmDaemon *daemon, const char *from_vm,
                       const Peer__ConfigNotice *notice);
void dm_config_part_request (DmDaemon *daemon, PrConnection *connection,
                             const Peer__Envelope *envelope);
void dm_config_free (DmDaemon *daemon);
/* Hands a manifest with a higher version to the take-over; takes MANIFEST.
   SOURCE is a peer that has the parts, or NULL for the store.  */
void dm_config_offer (DmDaemon *daemon, CfManifest *manifest,
                      const char *source);

/* write.c */

void dm_config_write (AdCall *call, CfConfig *config, uint64_t base_version,
                      void *data);
void dm_config_operation (AdCall *call, const char *op_id,
                          uint64_t base_version, void *data);
void dm_write_tick (DmDaemon *daemon, int64_t now_us);
void dm_write_free (DmDaemon *daemon);

/* leases.c */

void dm_lease_tick (DmDaemon *daemon, int64_t now_us);
void dm_promise_request (DmDaemon *daemon, PrConnection *connection,
                         const Peer__Envelope *envelope);

/* shares.c */

void dm_shares_tick (DmDaemon *daemon, int64_t now_us);
/* Applies the daemon's own entry to quotas and slots.  */
void dm_shares_apply (DmDaemon *daemon, int64_t now_us);
void dm_shares_offer (DmDaemon *daemon, const char *text, gsize length,
                      uint64_t store_index);
gboolean dm_shares_released (const DmDaemon *daemon);
/* Whether this process holds what the others leave to it.  */
gboolean dm_shares_settled (const DmDaemon *daemon, int64_t now_us);

/* exchange.c */

void dm_exchange_tick (DmDaemon *daemon, int64_t now_us);
void dm_on_message (PrConnection *connection, const Peer__Envelope *envelope,
                    void *data);
void dm_fill_hello (const DmDaemon *daemon, Peer__Hello *hello);

/* lending.c */

uint32_t dm_quota_id (const char *kind, const char *name, const char *other);
void dm_lending_tick (DmDaemon *daemon, int64_t now_us);
void dm_lend_request (DmDaemon *daemon, PrConnection *connection,
                      const Peer__Envelope *envelope);
void dm_settle (DmDaemon *daemon, const Peer__Settle *settle);
/* Defines the quotas of a configuration and removes those that ended.  */
gboolean dm_quotas_define (DmDaemon *daemon, const CfConfig *config,
                           const CfConfig *former, int64_t now_us);

/* fleet.c */

void dm_fleet_tick (DmDaemon *daemon, int64_t now_us);
void dm_fleet_configure (DmDaemon *daemon);
/* The list of a service for a peer; NULL when none was read.  */
char *dm_fleet_list_format (DmDaemon *daemon, const char *service_name);
DmService *dm_service (DmDaemon *daemon, const char *name);
void dm_service_free (void *service);
void dm_target_free (void *target);
void dm_entry_vm_free (void *vm);
/* Outcome of a request or probe as a sign of health.  */
void dm_target_failed (DmDaemon *daemon, DmTarget *target);
void dm_target_answered (DmDaemon *daemon, DmTarget *target);
gboolean dm_target_usable (const DmTarget *target);
/* Recomputes holders after a change of the assignment.  */
void dm_fleet_holders (DmDaemon *daemon);

/* request.c */

typedef enum
{
  DM_STEP_ADMISSION, /* waits for tokens */
  DM_STEP_ORDER,     /* waits for the store */
  DM_STEP_QUEUED,    /* waits for a slot */
  DM_STEP_SENT,
} DmStep;

#define DM_TRIES_MAX 3

struct DmRequest
{
  DmDaemon *daemon;
  FrRequest *front; /* NULL once answered or cancelled */
  DmStep step;
  char id[40];
  char *customer; /* "open" on open routes */
  uint8_t key_sha256[KY_DIGEST_BYTES];
  gboolean keyed;
  gboolean idempotent;
  char *service;
  char *query;
  char *target_path;
  int64_t arrived_us;
  int64_t deadline_us;
  int64_t admission_until_us;
  int64_t sent_us;
  gboolean maybe_sent; /* a byte was handed to some target */
  uint32_t try_count;
  uint32_t tried[DM_TRIES_MAX];
  OrRequest *order;
  int64_t send_by_us; /* of the order */
  SlPermitId permit_id;
  DmTarget *target;
  char *target_name;
  BkCall *call;
  /* Callbacks under way that hold a pointer to the request.  */
  uint32_t hold_count;
};

void dm_on_request (FrRequest *front, void *data);
void dm_request_tick (DmDaemon *daemon, int64_t now_us);
/* Ends the request with an answer.  Frees it unless an order goes on.  */
void dm_request_answer (DmRequest *request, uint32_t status,
                        const HtHeaders *headers, const void *body,
                        gsize body_bytes);
void dm_request_refuse (DmRequest *request, uint32_t status, const char *error,
                        const char *outcome, uint32_t retry_after_ms);
void dm_request_free (DmRequest *request);
/* True if the key is still in force and the configuration fresh; refuses the
   request otherwise.  */
gboolean dm_request_recheck (DmRequest *request, int64_t now_us);
/* The same check without a refusal.  */
gboolean dm_request_fresh (const DmRequest *request, int64_t now_us);
void dm_request_hold (DmRequest *request);
void dm_request_unhold (DmRequest *request);

/* dispatch.c */

/* Chooses a target and sends, borrows, or queues.  */
void dm_dispatch (DmRequest *request);
/* Serves queued requests of SERVICE while slots are free.  */
void dm_dispatch_pump (DmDaemon *daemon, DmService *service);
void dm_dispatch_tick (DmDaemon *daemon, int64_t now_us);
/* The waiting request whose turn it is, or NULL.  */
DmRequest *dm_dispatch_next (DmService *service);
/* Sends REQUEST to TARGET under TICKET, or gives the ticket back.  */
void dm_dispatch_start (DmRequest *request, DmTarget *target,
                        SlPermitId permit_id);

/* slots.c */

/* Returns ended grants to their lenders.  */
void dm_slots_return (DmDaemon *daemon, int64_t now_us);
/* Asks LENDER for a slot of TARGET on behalf of SERVICE.  */
void dm_slot_ask (DmService *service, DmTarget *target, const char *lender);
void dm_slot_request (DmDaemon *daemon, PrConnection *connection,
                      const Peer__Envelope *envelope);
void dm_slot_return (DmDaemon *daemon, const Peer__SlotReturn *message);
void dm_late_slot_reply (DmDaemon *daemon, const char *vm,
                         const Peer__SlotReply *reply);
/* Gives up whatever the request has under way at a target.  */
void dm_dispatch_cancel (DmRequest *request);

/* view.c */

typedef struct
{
  SrView view;
  GArray *regions;
  GArray *zones;
  GArray *targets;
  GArray *lenders;
  GArray *shifts;
  GArray *shift_index; /* uint32_t: index into the configuration's shifts */
} DmView;

/* View of SERVICE for a choice; strings belong to the daemon.  */
void dm_view_fill (DmDaemon *daemon, DmService *service, DmView *view,
                   int64_t now_us);
void dm_view_clear (DmView *view);

/* orders.c */

void dm_order_start (DmRequest *request, const char *idempotency_key);
void dm_order_run (DmRequest *request);
/* Deletes the records of orders that have expired, once an hour.  */
void dm_orders_tick (DmDaemon *daemon, int64_t now_us);
/* Tells the order how its send ended; the order decides the answer.  */
void dm_order_sent (DmRequest *request, const OrSendResult *sent);

/* lookup.c */

void dm_lookup (DmDaemon *daemon, FrRequest *front);
void dm_lookup_forget (DmDaemon *daemon);

/* status.c */

extern const AdClass dm_admin_class;
void dm_counters_make (DmDaemon *daemon);
void dm_counters_update (DmDaemon *daemon);

/* log.c */

void dm_log_start (SeLog level);
void dm_log_event (const EvKind *kind, const EvEvent *event, void *data);
void dm_log_stop (void);

#endif
