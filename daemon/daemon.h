/* daemon.h - internal interfaces of comfreywalkd

   DESCRIPTION
     A daemon runs one libevent loop on one thread.  Modules without I/O (slot,
     quota, member, lease, assign, order and others) hold the state and make
     the decisions; the files of this folder carry out their actions and pass
     them events and results.  Each file has one section below.

       daemon.c    construction, tick, readiness, graceful stop
       config.c    fetches, applies and relays the configuration; shifts
       write.c     writes an operator's change of the configuration
       leases.c    carries out the actions of the daemon lease
       shares.c    the assignment document and the daemon's entry in it
       exchange.c  reports, digests and dispatch of peer messages
       lending.c   lending of tokens between daemons
       fleet.c     the platform's lists of entry VMs and targets; probes
       request.c   one caller's request from arrival to response
       dispatch.c  selection of a target, sending, retries
       slots.c     slots lent to and borrowed from other daemons
       orders.c    keyed requests: those with an Idempotency-Key
       lookup.c    responses to lookups of entry VMs
       view.c      input of the steering policy
       status.c    metrics and status for operators
       log.c       writes events to log4c

   ERRORS
     DM_ERROR_LISTEN    an address cannot be listened on
     DM_ERROR_SETTINGS  the settings file has errors, which were printed  */

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
#include "entry/connections.h"
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
#include "stop/stop.h"
#include "store/store.h"

#define DM_TICK_MS 20
#define DM_EVENTS_COUNT 16384
#define DM_VMS_MAX 1024
#define DM_DEADLINE_DEFAULT_MS 10000
#define DM_DEADLINE_MAX_MS 10000
#define DM_OPERATIONS_MAX 256
/* Values of Retry-After.  While the daemon stops, another VM can serve the
   caller at once.  */
#define DM_STOPPING_RETRY_AFTER_MS 1
#define DM_STALE_RETRY_AFTER_MS 1000
#define DM_NO_TARGET_RETRY_AFTER_MS 1000

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

/* A target from the platform's list.  */
typedef struct
{
  DmDaemon *daemon;
  char *name;
  char *zone;
  char *address;        /* to connect to; listed_address or a setting */
  char *listed_address; /* in the platform's list, "127.0.0.1:9201" */
  int region;           /* index into the configuration's regions, or -1 */
  gboolean listed;      /* in the last list that was read */
  gboolean leaving;     /* according to the platform's list */
  gboolean draining;    /* it reports draining, or a planned drain is active */
  gboolean reported_draining;
  gboolean healthy;
  uint32_t failure_count; /* consecutive */
  uint32_t warm_permille;
  uint32_t reported_running;
  int64_t reported_us;    /* when reported_running was received */
  uint32_t latency_us;    /* EWMA */
  uint32_t shed_permille; /* EWMA */
  int64_t probe_due_us;
  gboolean probe_load; /* the next probe requests the load, not the health */
  BkCall *probe;       /* in progress, or NULL */
  GPtrArray *holders;  /* char *: other VMs that hold slots of it */
  uint32_t requested_slot_count;  /* from holders, not yet in a report */
  int64_t slot_requested_us;      /* last request to a holder */
  int64_t borrow_paused_until_us; /* no slot requests until then */
} DmTarget;

typedef struct
{
  DmDaemon *daemon;
  char *name;
  GPtrArray *targets;          /* DmTarget */
  FqQueue *queue;              /* DmRequest that wait for a slot */
  uint32_t slot_request_count; /* sent to other daemons, without a reply */
  gboolean dispatching;        /* in dm_dispatch_queued */
  uint32_t response_bytes;     /* EWMA of the body size */
  uint64_t list_index;         /* store index of the list */
  gboolean list_pending;       /* a read of the list is in progress */
  gboolean listed;             /* a list was read */
  int64_t peer_list_due_us;    /* next request for the list to a peer */
  int64_t list_due_us;         /* next read of the list from the store */
} DmService;

/* The operation that wrote a version of the configuration.  */
typedef struct
{
  uint64_t version;
  char op_id[64];
} DmOperation;

/* Counters, gauges and histograms, registered by dm_metrics_register.  */
typedef struct
{
  MtCounter *requests;
  MtCounter *lookups;
  MtCounter *answered; /* with the response of a target */
  MtCounter *refused;
  MtCounter *refused_rate;
  MtCounter *refused_stale;
  MtCounter *refused_capacity;
  MtCounter *unknown; /* outcome unknown to the caller */
  MtCounter *retries;
  MtCounter *cancelled;
  MtCounter *borrowed_slots;
  MtHistogram *latency;
  MtHistogram *added_latency; /* latency less that of the last attempt */
  MtHistogram *queue_wait;
  MtCounter *control_cpu;
  MtCounter *config_version;
  MtCounter *config_apply_ms;
  MtCounter *resident_bytes;
  MtCounter *store_reads;
  MtCounter *store_writes;
  MtCounter *store_watches;
  MtCounter *peers_open;
  MtCounter *peers_limited;
} DmMetrics;

struct DmDaemon
{
  SeSettings *settings;
  struct event_base *base;
  struct event *tick;
  int64_t last_tick_us;
  int64_t last_tick_cpu_us; /* processor time used until then */
  struct event *sigterm;
  struct event *sigint;
  uint64_t random_state; /* of dm_random */

  MmBudget *request_memory; /* for bodies of requests */
  EnConnections *connections;
  uint64_t logged_limited_count; /* of connections of peers */
  int64_t next_limited_log_us;
  EvRing *ring;
  MtRegistry *registry;
  DmMetrics metrics;
  StStore *store;
  gboolean store_up;
  uint32_t store_failure_count; /* consecutive */
  PrNet *net;
  FrServer *front;
  BkPool *backend;
  BkPool *probe_pool; /* separate, so requests do not wait for probes */
  AdServer *admin;

  char *peer_address; /* as announced to other daemons */
  char *http_address;
  MbTable *members;
  int64_t report_due_us;
  int64_t hello_due_us; /* next Hello to VMs that are not yet peers */
  LsLease *lease;
  gboolean lease_was_active;
  int64_t candidates_due_us; /* next update of candidates for successor */
  uint64_t incarnation;      /* of the lease, as peers know it; 0: none yet */
  uint64_t process_incarnation; /* wall clock in ms at the start */
  GHashTable *fenced;           /* vm -> AsFencedLease */

  AsDoc *assign;
  uint64_t assign_index; /* store index of assign */
  AsPlacement *placement;
  GArray *assign_targets;        /* AsTarget */
  gboolean assign_reading;       /* a read is in progress */
  int64_t assign_read_us;        /* start of the last read */
  gboolean assign_writing;       /* a write is in progress */
  AsDoc *assign_pending;         /* being written, or NULL */
  int64_t assign_due_us;         /* next update of the document */
  uint32_t assign_failure_count; /* of writes, consecutive */
  AsWeights share;   /* quota weights in use; UINT32_MAX: those of the entry */
  int64_t joined_us; /* when this process first had an entry; 0: not yet */
  int64_t slots_quarantine_until_us; /* added slots wait until then */

  CfConfig *config;               /* in force */
  CfManifest *manifest;           /* of config, with content */
  GArray *operations;             /* DmOperation, of the versions applied */
  uint64_t latest_config_version; /* highest of the manifests received */
  gboolean config_watching;       /* a watch is in progress */
  uint64_t config_watch_index;
  int64_t config_watch_due_us;
  gboolean manifest_requested; /* from a peer, without a reply yet */
  int64_t manifest_due_us;
  gboolean config_was_fresh;
  int64_t config_confirmed_us; /* start of last confirming watch; 0: none */
  DmConfigTask *config_task;
  DmWrite *write;
  KyTable *keys;
  PxTable *prefixes;
  PlController *shift_controller;
  int64_t shifts_due_us;
  GArray *shift_shares; /* PlShare, one for each shift of config */
  QtTable *quotas;
  int64_t aggregators_due_us;
  SlTable *slots;
  const SrPolicy *policy;

  GHashTable *services;        /* name -> DmService */
  GHashTable *targets;         /* name -> DmTarget, of all services */
  uint64_t entry_index;        /* store index of the list of entry VMs */
  gboolean entry_list_pending; /* a read of the list is in progress */
  int64_t entry_due_us;        /* next read of the list */
  GPtrArray *entry_vms;        /* StVm copies of the list */
  int64_t drains_due_us;       /* next update of the targets' draining */
  int64_t order_expiry_due_us; /* next removal of expired records */

  GHashTable *requests;   /* set of DmRequest */
  GHashTable *contexts;   /* set, of dm_context_new */
  GQueue admission_queue; /* DmRequest that wait for tokens */
  uint64_t last_request_number;
  int64_t retry_budget_milli; /* in thousandths of a retry */
  GHashTable *lookup_cache;   /* of lookup.c; NULL until used */
  int64_t lookup_cache_cleared_us;

  gboolean draining; /* a graceful stop has started */
  SpStop stop;
  gboolean front_stopped;
  gboolean requests_ended; /* at stop.end_us */
  int64_t ended_us;
  gboolean front_idle; /* no connection is left after front_stopped */
  gboolean idle;       /* the same, and all keyed requests are on record */
  int64_t idle_us;
  gboolean release_requested;
  gboolean stopped;
};

GQuark dm_error_quark (void);

/* daemon.c */

/* ERROR must not be NULL; the failure is also logged as EV_START_FAILED.  */
DmDaemon *dm_new (SeSettings *settings, GError **error);
/* Runs the loop until a graceful stop is complete.  */
void dm_run (DmDaemon *daemon);
void dm_free (DmDaemon *daemon);
void dm_record (DmDaemon *daemon, EvNumber number, const EvFields *fields);
/* Records an event that has only a detail text.  */
void dm_record_detail (DmDaemon *daemon, EvNumber number, const char *format,
                       ...) G_GNUC_PRINTF (3, 4);
uint64_t dm_random (DmDaemon *daemon);
/* Zeroed memory for the callback of a call in progress.  Free it with
   dm_context_free; dm_free frees what is left.  */
void *dm_context_new (DmDaemon *daemon, gsize size_bytes);
void dm_context_free (DmDaemon *daemon, void *context);
/* TRUE if requests that need an API key may be served: the configuration is
   fresh and the lease, once the daemon has had one, is active.  */
gboolean dm_is_fresh (DmDaemon *daemon, int64_t now_us);
/* TRUE once a configuration is in force.  */
gboolean dm_is_ready (const DmDaemon *daemon);
/* Updates store_up with the outcome of a call.  */
void dm_update_store_state (DmDaemon *daemon, StOutcome outcome);
/* Starts a graceful stop; no effect if one has started.  */
void dm_start_drain (DmDaemon *daemon);

/* config.c */

void dm_config_tick (DmDaemon *daemon, int64_t now_us);
void dm_receive_config_notice (DmDaemon *daemon, const char *from_vm,
                               const Peer__ConfigNotice *notice);
void dm_receive_part_request (DmDaemon *daemon, PrConnection *connection,
                              const Peer__Envelope *envelope);
void dm_config_free (DmDaemon *daemon);
/* Starts to fetch and apply the version of MANIFEST if it is higher than the
   one in force and the one being applied.  Takes ownership of MANIFEST.
   SOURCE is a peer that has the parts, or NULL for the store.  */
void dm_config_start_apply (DmDaemon *daemon, CfManifest *manifest,
                            const char *source);

/* write.c */

/* Functions of AdCallbacks; see admin/admin.h.  */
void dm_config_write (AdCall *call, CfConfig *config, uint64_t base_version,
                      void *data);
void dm_config_find_operation (AdCall *call, const char *op_id,
                               uint64_t base_version, void *data);
void dm_write_tick (DmDaemon *daemon, int64_t now_us);
void dm_write_free (DmDaemon *daemon);

/* leases.c */

void dm_lease_tick (DmDaemon *daemon, int64_t now_us);
/* Replies to a holder that requests a promise not to fence it.  */
void dm_receive_promise_request (DmDaemon *daemon, PrConnection *connection,
                                 const Peer__Envelope *envelope);

/* shares.c */

void dm_shares_tick (DmDaemon *daemon, int64_t now_us);
/* Applies the daemon's own entry in the assignment to quotas and slots.  */
void dm_shares_apply (DmDaemon *daemon, int64_t now_us);
/* Parses an assignment document and applies it unless the present one has a
   higher version.  STORE_INDEX is 0 if TEXT is not from the store.  */
void dm_shares_receive_doc (DmDaemon *daemon, const char *text, gsize length,
                            uint64_t store_index);
/* TRUE if the assignment gives the daemon no weights and no slots.  */
gboolean dm_shares_released (const DmDaemon *daemon);
/* TRUE once this process has weights and either has slots or has waited long
   enough for other daemons to release some.  */
gboolean dm_shares_assigned (const DmDaemon *daemon, int64_t now_us);

/* exchange.c */

void dm_exchange_tick (DmDaemon *daemon, int64_t now_us);
void dm_on_message (PrConnection *connection, const Peer__Envelope *envelope,
                    void *data);
void dm_fill_hello (const DmDaemon *daemon, Peer__Hello *hello);

/* lending.c */

/* Id of the quota of a customer, shift or link, the same in all daemons.  KIND
   is "customer", "shift" or "link"; OTHER is the second region of a link, else
   NULL.  Never 0.  */
uint32_t dm_quota_id (const char *kind, const char *name, const char *other);
void dm_lending_tick (DmDaemon *daemon, int64_t now_us);
void dm_receive_lend_request (DmDaemon *daemon, PrConnection *connection,
                              const Peer__Envelope *envelope);
void dm_receive_settle (DmDaemon *daemon, const Peer__Settle *settle);
/* Defines the quotas of CONFIG and removes those that only FORMER, which may
   be NULL, has.  FALSE if two quotas have the same id.  */
gboolean dm_quotas_define (DmDaemon *daemon, const CfConfig *config,
                           const CfConfig *former, int64_t now_us);

/* fleet.c */

void dm_fleet_tick (DmDaemon *daemon, int64_t now_us);
void dm_fleet_apply_config (DmDaemon *daemon);
/* JSON list of a service's targets for a peer, freed by the caller; NULL if no
   list was read.  */
char *dm_fleet_format_list (DmDaemon *daemon, const char *service_name);
/* NULL if there is no such service.  */
DmService *dm_find_service (DmDaemon *daemon, const char *name);
void dm_service_free (void *service);
void dm_target_free (void *target);
void dm_vm_free (void *vm);
/* Update the target's health after a request or probe.  */
void dm_target_record_failure (DmDaemon *daemon, DmTarget *target);
void dm_target_record_response (DmDaemon *daemon, DmTarget *target);
gboolean dm_target_is_usable (const DmTarget *target);
/* Updates the holders of all targets from the assignment.  */
void dm_fleet_update_holders (DmDaemon *daemon);

/* request.c */

typedef enum
{
  DM_REQUEST_ADMISSION, /* waits for tokens */
  DM_REQUEST_ORDER,     /* keyed; waits for its record in the store */
  DM_REQUEST_QUEUED,    /* waits for a slot */
  DM_REQUEST_SENT,
} DmRequestState;

#define DM_ATTEMPTS_MAX 3

struct DmRequest
{
  DmDaemon *daemon;
  FrRequest *front; /* NULL after the response or a cancellation */
  DmRequestState state;
  char id[40];
  char *customer; /* "open" if needs_key is FALSE */
  uint8_t key_sha256[KY_DIGEST_BYTES];
  gboolean needs_key;  /* its route requires an API key */
  gboolean idempotent; /* by its route or method */
  char *service;
  char *query;          /* without API keys; may be NULL */
  char *request_target; /* path and query as sent to a target */
  int64_t arrived_us;
  int64_t deadline_us;
  int64_t admission_until_us; /* end of the wait for tokens */
  int64_t sent_us;            /* start of the last attempt */
  gboolean maybe_sent;        /* some target may have received a byte of it */
  uint32_t attempt_count;
  uint32_t tried[DM_ATTEMPTS_MAX]; /* indexes into the service's targets */
  OrRequest *order;                /* if it is keyed, else NULL */
  int64_t send_by_us;              /* if it is keyed */
  SlPermitId permit_id;            /* of the last attempt; 0: released */
  DmTarget *target;                /* of the last attempt */
  char *target_name;
  BkCall *call;       /* in progress, or NULL */
  uint32_t ref_count; /* functions and callbacks that use the request */
};

void dm_on_request (FrRequest *front, void *data);
void dm_request_tick (DmDaemon *daemon, int64_t now_us);
/* Sends the response, unless one was sent or the caller has cancelled.  Does
   not free the request.  HEADERS may be NULL.  */
void dm_request_respond (DmRequest *request, uint32_t status,
                         const HtHeaders *headers, const void *body,
                         gsize body_bytes);
/* Responds with an error.  OUTCOME is "not_run", "unknown" or "done"; it must
   not be "not_run" once maybe_sent is set.  */
void dm_request_refuse (DmRequest *request, uint32_t status, const char *error,
                        const char *outcome, uint32_t retry_after_ms);
/* Frees the request, unless it has no response yet, has references, or is a
   keyed request that has not finished.  */
void dm_request_free (DmRequest *request);
/* TRUE if the request needs no API key, or if its key is still valid and
   dm_is_fresh holds.  Otherwise refuses the request; if it is keyed, tells its
   order that sending has failed.  */
gboolean dm_request_revalidate (DmRequest *request, int64_t now_us);
/* The same check without these effects.  */
gboolean dm_request_is_valid (const DmRequest *request, int64_t now_us);
/* Keep the request from being freed.  The last dm_request_unref frees it if
   nothing else uses it.  */
void dm_request_ref (DmRequest *request);
void dm_request_unref (DmRequest *request);
/* Responds to all requests, since the daemon is about to exit: not_run to
   those of which no target has received a byte, else unknown.  */
void dm_requests_end (DmDaemon *daemon);
/* The deadline of a request that arrives at NOW_US with TEXT as the time left;
   NULL: none is given.  */
int64_t dm_request_deadline_us (const char *text, int64_t now_us);
/* TRUE unless the daemon stops and may not finish such a request.  */
gboolean dm_may_finish (const DmDaemon *daemon, const DmService *service,
                        int64_t deadline_us, int64_t now_us);
/* Time in which the customer's rate refills one token.  */
uint32_t dm_token_wait_ms (const DmDaemon *daemon, const char *customer_name);
/* Name of a KyError in responses.  */
const char *dm_key_error_name (const GError *error);

/* dispatch.c */

/* Queues the request for a slot; sends a retry at once if possible.  */
void dm_dispatch (DmRequest *request);
/* Sends queued requests of SERVICE while it has free slots, and requests slots
   from other daemons.  */
void dm_dispatch_queued (DmDaemon *daemon, DmService *service);
void dm_dispatch_tick (DmDaemon *daemon, int64_t now_us);
/* Removes the next request from the queue, or returns NULL.  Refuses expired
   requests.  */
DmRequest *dm_dispatch_pop (DmService *service);
/* Sends REQUEST to TARGET under PERMIT_ID, or releases the permit if the
   request may no longer be sent.  */
void dm_dispatch_send (DmRequest *request, DmTarget *target,
                       SlPermitId permit_id);

/* slots.c */

/* Returns grants whose request has ended to their lenders.  */
void dm_slots_return_grants (DmDaemon *daemon, int64_t now_us);
/* Requests a slot of TARGET from LENDER for the next request of SERVICE.  */
void dm_slot_borrow (DmService *service, DmTarget *target, const char *lender);
/* Lends a slot to a peer if possible and replies.  */
void dm_receive_slot_request (DmDaemon *daemon, PrConnection *connection,
                              const Peer__Envelope *envelope);
/* Ends a grant that a peer has returned.  */
void dm_receive_slot_return (DmDaemon *daemon,
                             const Peer__SlotReturn *message);
/* Returns a grant whose reply arrived after the slot request timed out.  */
void dm_receive_late_slot_reply (DmDaemon *daemon, const char *vm,
                                 const Peer__SlotReply *reply);
/* Removes REQUEST from all queues and cancels its call to a target; defined in
   dispatch.c.  */
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

/* Fills VIEW with the state of SERVICE for the policy; without targets and
   shifts if SERVICE is NULL.  Strings belong to the daemon.  Free it with
   dm_view_clear.  */
void dm_view_fill (DmDaemon *daemon, DmService *service, DmView *view,
                   int64_t now_us);
void dm_view_clear (DmView *view);
/* Defined in dispatch.c.  Selects a target of SERVICE by the random number of
   REQUEST.  Takes the tokens of its shift and link or, without TAKES_TOKENS,
   only checks that there are some.  */
void dm_choose_target (DmService *service, const DmView *view,
                       SrRequest *request, gboolean takes_tokens,
                       SrChoice *choice);

/* orders.c */

/* Starts REQUEST as a keyed request; refuses it if IDEMPOTENCY_KEY is
   malformed.  */
void dm_order_start (DmRequest *request, const char *idempotency_key);
/* Carries out the actions that are due for the keyed request.  */
void dm_order_run (DmRequest *request);
/* Ends the keyed request before it is finished, since the daemon is about to
   exit.  Its record is still written if the store replies by then.  */
void dm_order_end (DmRequest *request);
/* Deletes the expired records of keyed requests once an hour.  */
void dm_orders_tick (DmDaemon *daemon, int64_t now_us);
/* Passes the result of sending a keyed request to its order, which decides the
   response.  */
void dm_order_send_done (DmRequest *request, const OrSendResult *sent);

/* lookup.c */

/* Responds to a lookup.  */
void dm_lookup (DmDaemon *daemon, FrRequest *front);
/* Drops the cached responses, after a change that must show at once.  */
void dm_lookup_clear_cache (DmDaemon *daemon);

/* where.c */

/* Explains where a request would be sent; of AdCallbacks.  */
uint32_t dm_where (const char *query, char **json, void *data);

/* status.c */

extern const AdCallbacks dm_admin_class;
void dm_metrics_register (DmDaemon *daemon);
void dm_metrics_update (DmDaemon *daemon);
/* Logs that a limit refused or closed connections of peers, once in a while.
 */
void dm_status_tick (DmDaemon *daemon, int64_t now_us);

/* log.c */

void dm_log_start (SeLogLevel level);
void dm_log_event (const EvKind *kind, const EvEvent *event, void *data);
void dm_log_stop (void);

#endif
