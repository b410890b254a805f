#include "daemon/daemon.h"

#include <signal.h>
#include <stdarg.h>
#include <string.h>

#include "release/release.h"

#define PROBE_CONNECTIONS_MAX 1
/* Until the report that this VM is leaving has reached them, other daemons
   still return it in lookups.  */
#define LEAVING_PROPAGATION_MS 1000
/* Callers use lookup responses for this time after the start of a stop.  */
#define CACHED_LOOKUPS_MS (LEAVING_PROPAGATION_MS + SR_LOOKUP_TTL_MS)
/* Time to write the responses to the requests that are ended, also with a
   drain_max_ms below SP_END_MS.  */
#define RESPONSES_WRITTEN_US (200 * CK_US_PER_MS)
#define LEASE_RELEASE_TIMEOUT_US (5 * CK_US_PER_S)
#define STORE_DOWN_FAILURE_COUNT 2
/* Shorter than any timeout of a request to another daemon.  */
#define LOOP_LATE_US (200 * CK_US_PER_MS)

G_DEFINE_QUARK (dm_error, dm_error)

void
dm_record (DmDaemon *daemon, EvNumber number, const EvFields *fields)
{
  ev_record (daemon->ring, (uint64_t)ck_wall_ms (), number, fields);
}

void
dm_record_detail (DmDaemon *daemon, EvNumber number, const char *format, ...)
{
  g_autofree char *detail = NULL;
  va_list arguments;

  va_start (arguments, format);
  detail = g_strdup_vprintf (format, arguments);
  va_end (arguments);
  dm_record (daemon, number, &(EvFields){ .detail = detail });
}

/* splitmix64 */
uint64_t
dm_random (DmDaemon *daemon)
{
  uint64_t z = daemon->random_state += 0x9e3779b97f4a7c15U;

  z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9U;
  z = (z ^ (z >> 27)) * 0x94d049bb133111ebU;
  return z ^ (z >> 31);
}

void *
dm_context_new (DmDaemon *daemon, gsize size_bytes)
{
  void *context = g_malloc0 (size_bytes);

  g_hash_table_add (daemon->contexts, context);
  return context;
}

void
dm_context_free (DmDaemon *daemon, void *context)
{
  g_hash_table_remove (daemon->contexts, context);
}

gboolean
dm_is_fresh (DmDaemon *daemon, int64_t now_us)
{
  return mb_is_config_fresh (daemon->members, now_us)
         && (daemon->incarnation == 0 || ls_active (daemon->lease, now_us));
}

gboolean
dm_is_ready (const DmDaemon *daemon)
{
  return daemon->config != NULL;
}

void
dm_update_store_state (DmDaemon *daemon, StOutcome outcome)
{
  gboolean up = outcome != ST_OUTCOME_DOWN && outcome != ST_OUTCOME_UNKNOWN;

  daemon->store_failure_count = up ? 0 : daemon->store_failure_count + 1;
  if (up == daemon->store_up
      || (!up && daemon->store_failure_count < STORE_DOWN_FAILURE_COUNT))
    return;
  daemon->store_up = up;
  dm_record (daemon, up ? EV_STORE_UP : EV_STORE_DOWN, NULL);
}

/* Graceful stop: the VM is removed from lookup responses, serves requests
   until cached lookup responses have expired, finishes open requests, and
   gives back its shares and its lease.  */

static void
on_front_idle (void *data)
{
  DmDaemon *daemon = data;

  daemon->front_idle = TRUE;
}

void
dm_start_drain (DmDaemon *daemon)
{
  SpOptions stop = { .grace_ms = daemon->settings->drain_max_ms,
                     .serve_ms = CACHED_LOOKUPS_MS,
                     .listen_ms = CACHED_LOOKUPS_MS };

  if (daemon->draining)
    return;
  daemon->draining = TRUE;
  sp_begin (&daemon->stop, &stop, ck_boot_us ());
  daemon->report_due_us = 0;
  dm_lookup_clear_cache (daemon);
  dm_record_detail (daemon, EV_DAEMON_DRAINING,
                    "serving until cached look-ups expire");
}

/* A keyed request may still run after its caller has left, and its record may
   still have to be written after the response.  */
static void
update_idle (DmDaemon *daemon, int64_t now_us)
{
  if (daemon->idle || !daemon->front_idle
      || g_hash_table_size (daemon->requests) > 0)
    return;
  daemon->idle = TRUE;
  daemon->idle_us = now_us;
  dm_record_detail (daemon, EV_DAEMON_DRAINING, "all requests finished");
}

static void
step_drain (DmDaemon *daemon, int64_t now_us)
{
  if (!daemon->draining || daemon->stopped)
    return;
  if (!daemon->front_stopped && now_us >= daemon->stop.accept_until_us)
    {
      daemon->front_stopped = TRUE;
      fr_stop (daemon->front, on_front_idle, daemon);
    }
  if (!daemon->requests_ended && now_us >= daemon->stop.end_us)
    {
      daemon->requests_ended = TRUE;
      daemon->ended_us = now_us;
      dm_requests_end (daemon);
    }
  update_idle (daemon, now_us);
  if (daemon->idle && dm_shares_released (daemon)
      && !daemon->release_requested)
    {
      daemon->release_requested = TRUE;
      ls_release (daemon->lease, now_us);
    }
  if (daemon->idle
      && (ls_released (daemon->lease)
          || now_us - daemon->idle_us > LEASE_RELEASE_TIMEOUT_US))
    daemon->stopped = TRUE;
  if (now_us
      >= MAX (daemon->stop.over_us, daemon->ended_us + RESPONSES_WRITTEN_US))
    daemon->stopped = TRUE;
  if (daemon->stopped)
    event_base_loopbreak (daemon->base);
}

static void
on_signal (evutil_socket_t number, short what, void *data)
{
  (void)number;
  (void)what;
  dm_start_drain (data);
}

/* A process that was not scheduled, or waited in a system call, has used
   little of the time between two ticks.  */
static void
record_late_tick (DmDaemon *daemon, int64_t now_us, int64_t cpu_us)
{
  int64_t elapsed_us = now_us - daemon->last_tick_us;

  if (daemon->last_tick_us != 0 && elapsed_us >= LOOP_LATE_US)
    dm_record_detail (daemon, EV_LOOP_LATE,
                      "%" G_GINT64_FORMAT
                      " ms since the last tick, %" G_GINT64_FORMAT
                      " ms of processor time",
                      elapsed_us / CK_US_PER_MS,
                      (cpu_us - daemon->last_tick_cpu_us) / CK_US_PER_MS);
  daemon->last_tick_us = now_us;
  daemon->last_tick_cpu_us = cpu_us;
}

static void
on_tick (evutil_socket_t fd, short what, void *data)
{
  DmDaemon *daemon = data;
  int64_t now_us = ck_boot_us ();
  int64_t cpu_us = ck_cpu_us ();

  (void)fd;
  (void)what;
  record_late_tick (daemon, now_us, cpu_us);
  dm_lease_tick (daemon, now_us);
  dm_exchange_tick (daemon, now_us);
  dm_config_tick (daemon, now_us);
  dm_write_tick (daemon, now_us);
  dm_shares_tick (daemon, now_us);
  dm_lending_tick (daemon, now_us);
  dm_fleet_tick (daemon, now_us);
  dm_orders_tick (daemon, now_us);
  dm_status_tick (daemon, now_us);
  mt_add (daemon->metrics.control_cpu, ck_cpu_us () - cpu_us);
  dm_request_tick (daemon, now_us);
  dm_dispatch_tick (daemon, now_us);
  step_drain (daemon, now_us);
}

/* Construction.  */

static void
make_modules (DmDaemon *daemon)
{
  const SeSettings *settings = daemon->settings;
  int64_t now_us = ck_boot_us ();
  MbOptions members = { .vm = settings->vm,
                        .zone = settings->zone,
                        .region = settings->region,
                        .http_address = daemon->http_address,
                        .peer_address = daemon->peer_address,
                        .incarnation = daemon->process_incarnation };
  LsOptions lease = { .vm = settings->vm,
                      .incarnation = daemon->process_incarnation,
                      .peer_address = daemon->peer_address };
  QtOptions quotas = { .vm = settings->vm,
                       .incarnation = daemon->process_incarnation,
                       .split = settings->admission == SE_ADMISSION_SPLIT };

  daemon->members = mb_new (&members, now_us);
  daemon->lease = ls_new (&lease, now_us);
  daemon->quotas = qt_new (&quotas);
  daemon->slots
      = sl_new (&(SlOptions){ .incarnation = daemon->process_incarnation });
  daemon->shift_controller = pl_controller_new ();
  daemon->placement = as_placement_new ();
  daemon->policy = sr_find_policy (se_policy_name (settings->policy));
  g_assert (daemon->policy != NULL);
}

static void
fenced_free (void *data)
{
  AsFencedLease *fenced = data;

  g_free ((char *)fenced->vm);
  g_free (fenced);
}

static void
make_tables (DmDaemon *daemon)
{
  daemon->fenced
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, fenced_free);
  daemon->services
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, dm_service_free);
  daemon->targets
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, dm_target_free);
  daemon->requests = g_hash_table_new (NULL, NULL);
  daemon->contexts = g_hash_table_new_full (NULL, NULL, g_free, NULL);
  daemon->assign_targets = g_array_new (FALSE, FALSE, sizeof (AsTarget));
  daemon->shift_shares = g_array_new (FALSE, TRUE, sizeof (PlShare));
  daemon->operations = g_array_new (FALSE, FALSE, sizeof (DmOperation));
  daemon->entry_vms = g_ptr_array_new_with_free_func (dm_vm_free);
  g_queue_init (&daemon->admission_queue);
}

static gboolean
listen_for_peers (DmDaemon *daemon, GError **error)
{
  PrOptions options = { .base = daemon->base,
                        .vm = daemon->settings->vm,
                        .incarnation = daemon->process_incarnation,
                        .listen_address = daemon->settings->peer_listen.ip,
                        .listen_port = daemon->settings->peer_listen.port,
                        .ring = daemon->ring,
                        .metrics = daemon->registry,
                        .on_message = dm_on_message,
                        .data = daemon,
                        .accepted_max = daemon->settings->peers_max };

  daemon->net = pr_net_new (&options, error);
  return daemon->net != NULL;
}

static gboolean
listen_for_callers (DmDaemon *daemon, GError **error)
{
  const SeSettings *settings = daemon->settings;
  uint64_t memory_bytes = (uint64_t)settings->memory_mib << 20;
  FrOptions options
      = { .base = daemon->base,
          .listen = daemon->http_address,
          .on_request = dm_on_request,
          .data = daemon,
          .connections_max = settings->connections_max,
          .connections_per_address_max
          = settings->per_address_max > 0
                ? settings->per_address_max
                : mm_per_address_default (settings->connections_max),
          .connections_bytes = mm_connections_bytes (memory_bytes) };

  daemon->request_memory = mm_budget_new (mm_share_bytes (memory_bytes));
  options.memory = daemon->request_memory;
  daemon->front = fr_new (&options, error);
  return daemon->front != NULL;
}

static void
log_limited_connections (const EnConnectionsReport *report, void *data)
{
  uint64_t refused_count = 0;

  for (guint i = 0; i < MM_REFUSAL_COUNT; i++)
    refused_count += report->refused_counts[i];
  dm_record_detail (
      data, EV_CONNECTIONS_LIMITED,
      "%s: %u open, %" G_GUINT64_FORMAT " refused, %" G_GUINT64_FORMAT
      " closed for others, %" G_GUINT64_FORMAT " bodies given up",
      report->listener, report->open_count, refused_count,
      report->closed_count + report->displaced_count, report->body_count);
}

static void
watch_connections (DmDaemon *daemon)
{
  daemon->connections = en_connections_new (
      &(EnConnectionsOptions){ .base = daemon->base,
                               .metrics = daemon->registry,
                               .log = log_limited_connections,
                               .data = daemon });
  en_connections_add (daemon->connections, "callers", daemon->front);
}

static gboolean
listen_for_operators (DmDaemon *daemon, GError **error)
{
  AdOptions options = { .base = daemon->base,
                        .address = daemon->settings->admin_listen.ip,
                        .port = daemon->settings->admin_listen.port,
                        .vm = daemon->settings->vm,
                        .callbacks = &dm_admin_class,
                        .data = daemon };

  daemon->admin = ad_new (&options, error);
  return daemon->admin != NULL;
}

static void
make_clients (DmDaemon *daemon)
{
  daemon->store
      = st_consul_new (&(StOptions){ .base = daemon->base,
                                     .address = daemon->settings->store.ip,
                                     .port = daemon->settings->store.port });
  daemon->store_up = TRUE;
  daemon->backend = bk_pool_new (&(BkOptions){ .base = daemon->base });
  daemon->probe_pool = bk_pool_new (&(BkOptions){
      .base = daemon->base, .connections_max = PROBE_CONNECTIONS_MAX });
}

static void
add_loop_events (DmDaemon *daemon)
{
  struct timeval tick = { 0, DM_TICK_MS * CK_US_PER_MS };

  daemon->tick = event_new (daemon->base, -1, EV_PERSIST, on_tick, daemon);
  event_add (daemon->tick, &tick);
  daemon->sigterm = evsignal_new (daemon->base, SIGTERM, on_signal, daemon);
  event_add (daemon->sigterm, NULL);
  daemon->sigint = evsignal_new (daemon->base, SIGINT, on_signal, daemon);
  event_add (daemon->sigint, NULL);
}

DmDaemon *
dm_new (SeSettings *settings, GError **error)
{
  DmDaemon *daemon = g_new0 (DmDaemon, 1);

  daemon->settings = settings;
  daemon->process_incarnation = (uint64_t)ck_wall_ms ();
  daemon->random_state = daemon->process_incarnation ^ (uint64_t)ck_boot_us ();
  daemon->base = event_base_new ();
  daemon->peer_address = se_format_address (&settings->peer_listen);
  daemon->http_address = se_format_address (&settings->http_listen);
  daemon->ring = ev_ring_new (&(EvOptions){ .vm = settings->vm,
                                            .capacity_count = DM_EVENTS_COUNT,
                                            .log = dm_log_event });
  daemon->registry = mt_registry_new ();
  dm_metrics_register (daemon);
  rl_register_metric (daemon->registry);
  make_tables (daemon);
  make_modules (daemon);
  make_clients (daemon);
  if (!listen_for_peers (daemon, error) || !listen_for_callers (daemon, error)
      || !listen_for_operators (daemon, error))
    {
      dm_record_detail (daemon, EV_START_FAILED, "%s", (*error)->message);
      dm_free (daemon);
      return NULL;
    }
  watch_connections (daemon);
  add_loop_events (daemon);
  dm_record_detail (daemon, EV_DAEMON_STARTED,
                    "sources %s, callers %s, peers %s", rl_sources_id (),
                    daemon->http_address, daemon->peer_address);
  return daemon;
}

void
dm_run (DmDaemon *daemon)
{
  event_base_dispatch (daemon->base);
  dm_record_detail (daemon, EV_DAEMON_STOPPED, "%s",
                    daemon->idle ? "all requests finished"
                                 : "drain timed out");
}

static void
free_requests (DmDaemon *daemon)
{
  g_autoptr (GList) open_requests = g_hash_table_get_keys (daemon->requests);

  for (GList *at = open_requests; at != NULL; at = at->next)
    {
      DmRequest *request = at->data;

      request->front = NULL;
      request->ref_count = 0;
      or_free (request->order);
      request->order = NULL;
      dm_request_free (request);
    }
}

static void
free_modules (DmDaemon *daemon)
{
  mb_free (daemon->members);
  ls_free (daemon->lease);
  qt_free (daemon->quotas);
  sl_free (daemon->slots);
  pl_controller_free (daemon->shift_controller);
  as_placement_free (daemon->placement);
  as_free (daemon->assign);
  as_free (daemon->assign_pending);
  ky_table_free (daemon->keys);
  px_table_free (daemon->prefixes);
}

static void
free_tables (DmDaemon *daemon)
{
  g_hash_table_unref (daemon->services);
  g_hash_table_unref (daemon->targets);
  g_hash_table_unref (daemon->requests);
  g_hash_table_unref (daemon->contexts);
  g_hash_table_unref (daemon->fenced);
  if (daemon->lookup_cache != NULL)
    g_hash_table_unref (daemon->lookup_cache);
  g_ptr_array_unref (daemon->entry_vms);
  g_array_unref (daemon->assign_targets);
  g_array_unref (daemon->shift_shares);
  g_array_unref (daemon->operations);
  g_queue_clear (&daemon->admission_queue);
}

/* Frees servers and clients first, since their callbacks use the rest, but the
   pool of the probes after the targets, which cancel their probes.  */
void
dm_free (DmDaemon *daemon)
{
  en_connections_free (daemon->connections);
  if (daemon->admin != NULL)
    ad_free (daemon->admin);
  if (daemon->front != NULL)
    fr_free (daemon->front);
  mm_budget_unref (daemon->request_memory);
  bk_pool_free (daemon->backend);
  pr_net_free (daemon->net);
  st_free (daemon->store);
  dm_write_free (daemon);
  dm_config_free (daemon);
  free_requests (daemon);
  free_tables (daemon);
  bk_pool_free (daemon->probe_pool);
  free_modules (daemon);
  if (daemon->tick != NULL)
    {
      event_free (daemon->tick);
      event_free (daemon->sigterm);
      event_free (daemon->sigint);
    }
  pr_event_base_free (daemon->base);
  ev_ring_free (daemon->ring);
  mt_registry_free (daemon->registry);
  g_free (daemon->peer_address);
  g_free (daemon->http_address);
  se_free (daemon->settings);
  g_free (daemon);
}
