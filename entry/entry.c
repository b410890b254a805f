#include "entry/entry.h"

#include <event2/event.h>
#include <signal.h>
#include <sys/stat.h>
#include <unistd.h>

#include "clock/clock.h"
#include "entry/connections.h"
#include "entry/directory.h"
#include "entry/proxy.h"
#include "entry/shares.h"
#include "entry/timer.h"
#include "entry/view.h"
#include "entry/where.h"
#include "platform/platform.h"
#include "release/release.h"
#include "stop/stop.h"

/* Interval at which the settings file is checked for changes.  */
#define SETTINGS_POLL_S 2
/* Interval at which a process that is about to exit checks whether responses
   are still being written.  */
#define EXIT_CHECK_MS 10

struct EnEntry
{
  struct event_base *base;
  EnSettings *settings;
  char *settings_path;
  TrTrace *trace;
  MtRegistry *metrics;
  PfStore *store;
  EnView *view;
  EnShares *shares; /* this and proxy are NULL during start_modules */
  EnProxy *proxy;
  EnDirectory *directory;
  EnConnections *connections;
  struct event *term_event;
  struct event *int_event;
  struct event *hup_event;
  struct event *settings_timer;
  SpStop stop;
  EnTimer *stop_timer; /* ends accepting connections */
  EnTimer *end_timer;  /* ends the requests in progress */
  EnTimer *exit_timer; /* ends the event loop */
  struct timespec settings_mtime;
  gboolean stopping;
  MtCounter *config_age;
  MtCounter *store_reads;
  MtCounter *store_watches;
  MtCounter *store_writes;
  MtCounter *store_failures;
  MtCounter *dropped_lines;
  MtCounter *front_timeouts;
  MtCounter *front_malformed;
  MtCounter *front_over_limit;
  MtCounter *late_responses;
  struct
  {
    MtCounter *used;
    MtCounter *peak;
    MtCounter *refused; /* of requests; responses wait */
  } request_memory, response_memory;
  MtCounter *stray_closes;
  MtCounter *responses_without_room;
  struct
  {
    MtCounter *rebuilds;
    MtCounter *moved_removed;
    MtCounter *moved_added;
    MtCounter *moved_share;
  } placement;
};

static gboolean
is_ready (void *data)
{
  EnEntry *entry = data;
  int64_t now_us = ck_boot_us ();

  if (entry->stopping || !en_view_is_ready (entry->view, now_us))
    return FALSE;
  return entry->shares == NULL
         || (en_shares_has_members (entry->shares)
             && en_shares_config_is_current (
                 entry->shares,
                 rt_config_version (en_view_config (entry->view)), now_us));
}

static void
on_config (RtConfig *config, void *data)
{
  EnEntry *entry = data;

  if (entry->shares != NULL)
    en_shares_set_config (entry->shares, config);
  if (entry->proxy != NULL)
    en_proxy_set_limits (entry->proxy, rt_limits (config));
}

static void
on_readiness_change (void *data)
{
  EnEntry *entry = data;

  if (entry->shares != NULL)
    en_shares_report_readiness (entry->shares);
}

static void
on_store_delta (const GoTargetDelta *delta, void *data)
{
  EnEntry *entry = data;

  if (entry->shares != NULL)
    en_relay_publish_target_delta (en_shares_relay (entry->shares), delta,
                                   ck_boot_us ());
}

static void
on_store_read (const EnStoreRead *store_read, void *data)
{
  EnEntry *entry = data;

  int64_t now_us = ck_boot_us ();

  if (entry->shares == NULL)
    return;
  en_relay_publish_confirmation (en_shares_relay (entry->shares), store_read,
                                 now_us);
  if (en_relay_is_leader (en_shares_relay (entry->shares), now_us))
    en_view_record_era (entry->view, now_us);
}

static void
on_confirmation (const GoConfirmation *confirmation, gboolean may_follow,
                 void *data)
{
  EnEntry *entry = data;

  en_view_apply_confirmation (entry->view, confirmation, may_follow);
}

static void
on_received_delta (const GoTargetDelta *delta, gboolean may_follow, void *data)
{
  EnEntry *entry = data;

  en_listing_apply_target_delta (en_view_listing (entry->view), delta,
                                 may_follow);
}

static void
update_memory_metrics (EnEntry *entry)
{
  const MmBudget *request = en_proxy_request_memory (entry->proxy);
  const MmBudget *response = en_proxy_response_memory (entry->proxy);

  mt_set (entry->request_memory.used, (int64_t)mm_budget_used (request));
  mt_set (entry->request_memory.peak, (int64_t)mm_budget_peak (request));
  mt_set (entry->request_memory.refused,
          (int64_t)mm_budget_refused_count (request));
  mt_set (entry->response_memory.used, (int64_t)mm_budget_used (response));
  mt_set (entry->response_memory.peak, (int64_t)mm_budget_peak (response));
}

static void
update_placement_metrics (EnEntry *entry)
{
  const TgPlacementCounters *counters
      = tg_placement_counters (en_view_targets (entry->view));

  mt_set (entry->placement.rebuilds, (int64_t)counters->rebuild_count);
  mt_set (entry->placement.moved_removed,
          (int64_t)counters->moved_removed_count);
  mt_set (entry->placement.moved_added, (int64_t)counters->moved_added_count);
  mt_set (entry->placement.moved_share, (int64_t)counters->moved_share_count);
}

static void
update_metrics (void *data)
{
  EnEntry *entry = data;
  const PfCounters *counters = pf_store_counters (entry->store);
  const FrCounters *front = en_proxy_front_counters (entry->proxy);
  const BkCounters *target = en_proxy_target_counters (entry->proxy);

  mt_set (entry->config_age,
          en_view_config_age_us (entry->view, ck_boot_us ()));
  mt_set (entry->store_reads, (int64_t)counters->read_count);
  mt_set (entry->store_watches, (int64_t)counters->watch_count);
  mt_set (entry->store_writes,
          (int64_t)(counters->write_count + counters->renewal_count));
  mt_set (entry->store_failures, (int64_t)counters->failure_count);
  mt_set (entry->dropped_lines, (int64_t)tr_dropped_count (entry->trace));
  mt_set (entry->front_timeouts, (int64_t)front->timeout_count);
  mt_set (entry->front_malformed, (int64_t)front->malformed_count);
  mt_set (entry->front_over_limit, (int64_t)front->over_limit_count);
  mt_set (entry->late_responses, (int64_t)target->late_response_count);
  mt_set (entry->stray_closes, (int64_t)target->stray_close_count);
  mt_set (entry->responses_without_room, (int64_t)target->no_room_count);
  update_memory_metrics (entry);
  update_placement_metrics (entry);
  en_connections_update_metrics (entry->connections);
}

static uint32_t
explain (const char *query, char **json, void *data)
{
  EnEntry *entry = data;

  return en_where (entry->proxy, query, json);
}

static void
create_memory_metrics (EnEntry *entry)
{
  MtRegistry *metrics = entry->metrics;

  entry->request_memory.used = mt_gauge (metrics, "request_body_bytes",
                                         "Held for bodies of requests");
  entry->request_memory.peak = mt_gauge (metrics, "request_body_peak_bytes",
                                         "The most that was held for them");
  entry->request_memory.refused
      = mt_gauge (metrics, "requests_without_memory_total",
                  "Requests refused since their bodies did not fit");
  entry->response_memory.used = mt_gauge (metrics, "response_body_bytes",
                                          "Held for bodies of responses");
  entry->response_memory.peak = mt_gauge (metrics, "response_body_peak_bytes",
                                          "The most that was held for them");
}

static void
create_placement_metrics (EnEntry *entry)
{
  static const char help[]
      = "Objects whose requests go to another target, by reason";
  MtRegistry *metrics = entry->metrics;

  entry->placement.rebuilds
      = mt_gauge (metrics, "placement_rebuilds_total",
                  "Placements of objects for changed targets");
  entry->placement.moved_removed = mt_gauge (
      metrics, "objects_moved_total{reason=\"target_removed\"}", help);
  entry->placement.moved_added = mt_gauge (
      metrics, "objects_moved_total{reason=\"target_added\"}", help);
  entry->placement.moved_share = mt_gauge (
      metrics, "objects_moved_total{reason=\"share_changed\"}", help);
}

static void
create_metrics (EnEntry *entry)
{
  MtRegistry *metrics = mt_registry_new ();

  entry->metrics = metrics;
  create_memory_metrics (entry);
  create_placement_metrics (entry);
  rl_register_metric (metrics);
  entry->config_age = mt_gauge (metrics, "config_age_us",
                                "Since the store confirmed the configuration");
  entry->store_reads = mt_gauge (metrics, "store_reads_total", "Reads");
  entry->store_watches = mt_gauge (metrics, "store_watches_total", "Watches");
  entry->store_writes = mt_gauge (metrics, "store_writes_total",
                                  "Writes and renewals of leases");
  entry->store_failures
      = mt_gauge (metrics, "store_failures_total", "Calls that failed");
  entry->dropped_lines = mt_gauge (metrics, "log_lines_dropped_total",
                                   "Log lines that were left out");
  entry->front_timeouts = mt_gauge (metrics, "front_timeouts_total",
                                    "Connections of callers that timed out");
  entry->front_malformed = mt_gauge (metrics, "front_malformed_total",
                                     "Malformed requests of callers");
  entry->front_over_limit
      = mt_gauge (metrics, "front_over_limit_total",
                  "Connections of callers closed above the limit");
  entry->late_responses
      = mt_gauge (metrics, "target_late_responses_total",
                  "Responses dropped since they are of another request");
  entry->stray_closes
      = mt_gauge (metrics, "target_stray_closes_total",
                  "Connections closed for bytes that are of no request");
  entry->responses_without_room
      = mt_gauge (metrics, "target_responses_without_room_total",
                  "Responses given up since as many of their target waited "
                  "for memory");
}

/* Applies the bounds only; other settings need a restart.  */
static void
reload_settings (EnEntry *entry, const char *reason)
{
  g_autoptr (GPtrArray) problems = NULL;
  g_autoptr (EnSettings) reloaded
      = pf_settings_load (entry->settings_path, &problems);

  tr_log (entry->trace, EV_SETTINGS_RELOADED, "reason=%s problem=\"%s\"",
          reason, reloaded != NULL ? "" : (char *)problems->pdata[0]);
  if (reloaded != NULL)
    entry->settings->bounds = reloaded->bounds;
}

static void
on_hup (evutil_socket_t fd, short what, void *data)
{
  (void)fd;
  (void)what;
  reload_settings (data, "signal");
}

static void
on_settings_poll (evutil_socket_t fd, short what, void *data)
{
  EnEntry *entry = data;
  struct stat info;

  (void)fd;
  (void)what;
  if (stat (entry->settings_path, &info) != 0
      || (info.st_mtim.tv_sec == entry->settings_mtime.tv_sec
          && info.st_mtim.tv_nsec == entry->settings_mtime.tv_nsec))
    return;
  reload_settings (entry, "file");
  entry->settings_mtime = info.st_mtim;
}

static void
note_settings_time (EnEntry *entry)
{
  struct stat info;

  if (stat (entry->settings_path, &info) == 0)
    entry->settings_mtime = info.st_mtim;
}

static void
stop_loop (void *data)
{
  EnEntry *entry = data;

  event_base_loopbreak (entry->base);
}

static void
on_stop_timer (void *data)
{
  EnEntry *entry = data;

  en_proxy_stop (entry->proxy, stop_loop, entry);
}

static void
on_exit_timer (void *data)
{
  EnEntry *entry = data;
  int64_t now_us = ck_boot_us ();

  if (sp_may_exit (&entry->stop, en_proxy_is_writing (entry->proxy), now_us))
    stop_loop (entry);
  else
    en_timer_start (entry->exit_timer, now_us + EXIT_CHECK_MS * CK_US_PER_MS);
}

static void
on_end_timer (void *data)
{
  EnEntry *entry = data;

  en_proxy_end_requests (entry->proxy);
  en_timer_start (entry->exit_timer, entry->stop.exit_us);
}

static void
on_term (evutil_socket_t fd, short what, void *data)
{
  EnEntry *entry = data;
  uint32_t grace_ms = entry->settings->bounds.stop_grace_ms;
  int64_t now_us = ck_boot_us ();

  (void)fd;
  (void)what;
  if (entry->stopping)
    return;
  entry->stopping = TRUE;
  sp_begin (&entry->stop, &(SpOptions){ .grace_ms = grace_ms }, now_us);
  tr_log (entry->trace, EV_DAEMON_DRAINING, "grace_ms=%u running=%u", grace_ms,
          en_proxy_front_counters (entry->proxy)->running_count);
  en_shares_report_stop (entry->shares);
  en_proxy_close_connections (entry->proxy);
  en_timer_start (entry->stop_timer, entry->stop.accept_until_us);
  en_timer_start (entry->end_timer, entry->stop.end_us);
}

static void
log_limited_connections (const EnConnectionsReport *report, void *data)
{
  EnEntry *entry = data;

  tr_log (entry->trace, EV_CONNECTIONS_LIMITED,
          "listener=%s open=%u bytes=%" G_GUINT64_FORMAT
          " refused_for_count=%" G_GUINT64_FORMAT
          " refused_for_address=%" G_GUINT64_FORMAT
          " refused_for_memory=%" G_GUINT64_FORMAT
          " closed_for_others=%" G_GUINT64_FORMAT
          " displaced=%" G_GUINT64_FORMAT " bodies_given_up=%" G_GUINT64_FORMAT
          " responses_given_up=%" G_GUINT64_FORMAT
          " timed_out=%" G_GUINT64_FORMAT,
          report->listener, report->open_count, report->held_bytes,
          report->refused_counts[MM_REFUSED_COUNT],
          report->refused_counts[MM_REFUSED_ADDRESS],
          report->refused_counts[MM_REFUSED_MEMORY], report->closed_count,
          report->displaced_count, report->body_count, report->response_count,
          report->timeout_count);
}

static void
watch_connections (EnEntry *entry)
{
  entry->connections = en_connections_new (
      &(EnConnectionsOptions){ .base = entry->base,
                               .metrics = entry->metrics,
                               .log = log_limited_connections,
                               .data = entry });
  en_connections_add (entry->connections, "callers",
                      en_proxy_front (entry->proxy));
  en_connections_add (entry->connections, "lookups",
                      en_directory_lookup_server (entry->directory));
  en_connections_add (entry->connections, "probes",
                      en_directory_health_server (entry->directory));
}

static gboolean
start_modules (EnEntry *entry, GError **error)
{
  EnViewOptions view = { .base = entry->base,
                         .settings = entry->settings,
                         .store = entry->store,
                         .trace = entry->trace,
                         .on_config = on_config,
                         .on_readiness_change = on_readiness_change,
                         .on_target_delta = on_store_delta,
                         .on_store_read = on_store_read,
                         .data = entry };
  EnSharesOptions shares = { .base = entry->base,
                             .settings = entry->settings,
                             .store = entry->store,
                             .trace = entry->trace,
                             .on_target_delta = on_received_delta,
                             .on_confirmation = on_confirmation,
                             .is_ready = is_ready,
                             .data = entry };
  EnProxyOptions proxy = { .base = entry->base,
                           .settings = entry->settings,
                           .dialect = pf_dialect (),
                           .stop = &entry->stop,
                           .trace = entry->trace,
                           .metrics = entry->metrics };
  EnDirectoryOptions directory = { .base = entry->base,
                                   .settings = entry->settings,
                                   .dialect = pf_dialect (),
                                   .metrics = entry->metrics,
                                   .is_ready = is_ready,
                                   .update_metrics = update_metrics,
                                   .explain = explain,
                                   .data = entry };

  entry->view = en_view_new (&view);
  shares.targets = en_view_targets (entry->view);
  entry->shares = en_shares_new (&shares, error);
  if (entry->shares == NULL)
    return FALSE;
  proxy.view = entry->view;
  proxy.shares = entry->shares;
  entry->proxy = en_proxy_new (&proxy, error);
  if (entry->proxy == NULL)
    return FALSE;
  directory.fleet = en_shares_fleet (entry->shares);
  entry->directory = en_directory_new (&directory, error);
  if (entry->directory == NULL)
    return FALSE;
  watch_connections (entry);
  return TRUE;
}

/* HOW is that of sigprocmask.  */
static void
mask_signals (int how)
{
  sigset_t signals;

  sigemptyset (&signals);
  sigaddset (&signals, SIGTERM);
  sigaddset (&signals, SIGINT);
  sigaddset (&signals, SIGHUP);
  sigprocmask (how, &signals, NULL);
}

void
en_block_signals (void)
{
  mask_signals (SIG_BLOCK);
}

static void
handle_signals (EnEntry *entry)
{
  entry->term_event = evsignal_new (entry->base, SIGTERM, on_term, entry);
  entry->int_event = evsignal_new (entry->base, SIGINT, on_term, entry);
  entry->hup_event = evsignal_new (entry->base, SIGHUP, on_hup, entry);
  event_add (entry->term_event, NULL);
  event_add (entry->int_event, NULL);
  event_add (entry->hup_event, NULL);
  mask_signals (SIG_UNBLOCK);
}

EnEntry *
en_new (EnSettings *settings, const char *path, GError **error)
{
  EnEntry *entry = g_new0 (EnEntry, 1);
  struct timeval poll_interval = { SETTINGS_POLL_S, 0 };

  entry->base = event_base_new ();
  entry->settings = settings;
  entry->settings_path = g_strdup (path);
  note_settings_time (entry);
  entry->trace = tr_new (&(TrOptions){
      .base = entry->base, .fd = STDOUT_FILENO, .vm = settings->vm });
  create_metrics (entry);
  entry->store = pf_store_new (&(PfStoreOptions){
      .base = entry->base, .address = settings->store_address });
  handle_signals (entry);
  if (!start_modules (entry, error))
    {
      tr_log (entry->trace, EV_START_FAILED, "reason=\"%s\" sources=%s",
              (*error)->message, rl_sources_id ());
      en_free (entry);
      return NULL;
    }
  entry->settings_timer
      = event_new (entry->base, -1, EV_PERSIST, on_settings_poll, entry);
  entry->stop_timer = en_timer_new (entry->base, on_stop_timer, entry);
  entry->end_timer = en_timer_new (entry->base, on_end_timer, entry);
  entry->exit_timer = en_timer_new (entry->base, on_exit_timer, entry);
  event_add (entry->settings_timer, &poll_interval);
  tr_log (entry->trace, EV_DAEMON_STARTED,
          "zone=%s region=%s front=%s store=%s version=%s sources=%s build=%s",
          settings->zone, settings->region, settings->front_listen,
          settings->store_address, rl_version (), rl_sources_id (),
          rl_build ());
  return entry;
}

void
en_run (EnEntry *entry)
{
  event_base_dispatch (entry->base);
  /* Without the loop, the default action of a signal would end the process. */
  en_block_signals ();
  tr_log (entry->trace, EV_DAEMON_STOPPED, "running=%u connections=%u",
          en_proxy_front_counters (entry->proxy)->running_count,
          en_proxy_front_counters (entry->proxy)->connection_count);
}

static void
free_event (struct event *event)
{
  if (event != NULL)
    event_free (event);
}

void
en_free (EnEntry *entry)
{
  if (entry == NULL)
    return;
  en_timer_free (entry->exit_timer);
  en_timer_free (entry->end_timer);
  en_timer_free (entry->stop_timer);
  free_event (entry->settings_timer);
  free_event (entry->hup_event);
  free_event (entry->int_event);
  free_event (entry->term_event);
  en_connections_free (entry->connections);
  en_directory_free (entry->directory);
  en_proxy_free (entry->proxy);
  en_shares_free (entry->shares);
  en_view_free (entry->view);
  pf_store_free (entry->store);
  mt_registry_free (entry->metrics);
  tr_free (entry->trace);
  event_base_free (entry->base);
  en_settings_free (entry->settings);
  g_free (entry->settings_path);
  g_free (entry);
}
