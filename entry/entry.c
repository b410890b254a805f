#include "entry/entry.h"

#include <event2/event.h>
#include <signal.h>
#include <sys/stat.h>
#include <unistd.h>

#include "clock/clock.h"
#include "entry/directory.h"
#include "entry/proxy.h"
#include "entry/shares.h"
#include "entry/view.h"
#include "platform/platform.h"

/* A settings file may change without a signal.  */
#define SETTINGS_CHECK_S 2
/* Clients keep the address of a stopping daemon for a while.  New connections
   are taken until this much of the grace time is left.  */
#define STOP_FINISH_MS 2300
/* The end of the grace time that is left for the exit.  */
#define STOP_EXIT_MS 400

struct EnEntry
{
  struct event_base *base;
  EnSettings *settings;
  char *path;
  TrTrace *trace;
  MtTable *metrics;
  PfStore *store;
  EnView *view;
  EnShares *shares;
  EnProxy *proxy;
  EnDirectory *directory;
  struct event *on_term;
  struct event *on_int;
  struct event *on_hup;
  struct event *check_timer;
  struct event *stop_timer;
  struct event *exit_timer;
  struct timespec settings_changed;
  gboolean stopping;
  MtCounter *config_age;
  MtCounter *store_reads;
  MtCounter *store_watches;
  MtCounter *store_writes;
  MtCounter *store_failures;
  MtCounter *lines_dropped;
};

static gboolean
is_ready (void *data)
{
  EnEntry *entry = data;

  return !entry->stopping && en_view_is_ready (entry->view, ck_boot_us ())
         && (entry->shares == NULL || en_shares_is_known (entry->shares));
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
on_change (void *data)
{
  EnEntry *entry = data;

  if (entry->shares != NULL)
    en_shares_announce (entry->shares);
}

static void
on_own_news (const GoNews *news, void *data)
{
  EnEntry *entry = data;

  if (entry->shares != NULL)
    en_relay_tell (en_shares_relay (entry->shares), news, ck_boot_us ());
}

static void
on_own_reading (const EnReading *reading, void *data)
{
  EnEntry *entry = data;

  if (entry->shares != NULL)
    en_relay_confirm (en_shares_relay (entry->shares), reading, ck_boot_us ());
}

static void
on_confirmation (const GoConfirmation *confirmation, gboolean may_rest,
                 void *data)
{
  EnEntry *entry = data;

  en_view_take_confirmation (entry->view, confirmation, may_rest);
}

static void
on_told_news (const GoNews *news, gboolean may_rest, void *data)
{
  EnEntry *entry = data;

  en_listing_take_news (en_view_listing (entry->view), news, may_rest);
}

static void
before_metrics (void *data)
{
  EnEntry *entry = data;
  const PfCounters *calls = pf_store_counters (entry->store);

  mt_set (entry->config_age, en_view_age_us (entry->view, ck_boot_us ()));
  mt_set (entry->store_reads, (int64_t)calls->read_count);
  mt_set (entry->store_watches, (int64_t)calls->watch_count);
  mt_set (entry->store_writes,
          (int64_t)(calls->write_count + calls->renewal_count));
  mt_set (entry->store_failures, (int64_t)calls->failure_count);
  mt_set (entry->lines_dropped, (int64_t)tr_dropped_count (entry->trace));
}

static void
make_metrics (EnEntry *entry)
{
  MtTable *metrics = mt_table_new ();

  entry->metrics = metrics;
  entry->config_age = mt_gauge (metrics, "config_age_us",
                                "Since the store confirmed the configuration");
  entry->store_reads = mt_gauge (metrics, "store_reads_total", "Reads");
  entry->store_watches = mt_gauge (metrics, "store_watches_total", "Watches");
  entry->store_writes = mt_gauge (metrics, "store_writes_total",
                                  "Writes and renewals of leases");
  entry->store_failures
      = mt_gauge (metrics, "store_failures_total", "Calls that failed");
  entry->lines_dropped = mt_gauge (metrics, "log_lines_dropped_total",
                                   "Log lines that were left out");
}

static void
read_settings_again (EnEntry *entry, const char *reason)
{
  g_autoptr (GPtrArray) problems = NULL;
  g_autoptr (EnSettings) fresh = pf_settings_load (entry->path, &problems);

  tr_line (entry->trace, EV_SETTINGS_RELOADED, "reason=%s problem=\"%s\"",
           reason, fresh != NULL ? "" : (char *)problems->pdata[0]);
  if (fresh != NULL)
    entry->settings->bounds = fresh->bounds;
}

static void
on_hup (evutil_socket_t fd, short what, void *data)
{
  (void)fd;
  (void)what;
  read_settings_again (data, "signal");
}

static void
on_check (evutil_socket_t fd, short what, void *data)
{
  EnEntry *entry = data;
  struct stat now;

  (void)fd;
  (void)what;
  if (stat (entry->path, &now) != 0
      || (now.st_mtim.tv_sec == entry->settings_changed.tv_sec
          && now.st_mtim.tv_nsec == entry->settings_changed.tv_nsec))
    return;
  if (entry->settings_changed.tv_sec != 0)
    read_settings_again (entry, "file");
  entry->settings_changed = now.st_mtim;
}

static void
on_idle (void *data)
{
  EnEntry *entry = data;

  event_base_loopbreak (entry->base);
}

static void
on_stop_timer (evutil_socket_t fd, short what, void *data)
{
  EnEntry *entry = data;

  (void)fd;
  (void)what;
  en_proxy_stop (entry->proxy, on_idle, entry);
}

static void
on_exit_timer (evutil_socket_t fd, short what, void *data)
{
  (void)fd;
  (void)what;
  on_idle (data);
}

static void
start_timer (struct event *timer, uint32_t ms)
{
  struct timeval delay = { ms / 1000, ms % 1000 * 1000 };

  event_add (timer, &delay);
}

static void
on_term (evutil_socket_t fd, short what, void *data)
{
  EnEntry *entry = data;
  uint32_t grace_ms = entry->settings->bounds.stop_grace_ms;

  (void)fd;
  (void)what;
  if (entry->stopping)
    return;
  entry->stopping = TRUE;
  tr_line (entry->trace, EV_DAEMON_DRAINING, "grace_ms=%u", grace_ms);
  en_shares_stop (entry->shares);
  en_proxy_close_connections (entry->proxy);
  start_timer (entry->stop_timer,
               grace_ms > STOP_FINISH_MS ? grace_ms - STOP_FINISH_MS : 0);
  start_timer (entry->exit_timer,
               grace_ms > STOP_EXIT_MS ? grace_ms - STOP_EXIT_MS : 0);
}

static gboolean
start_parts (EnEntry *entry, GError **error)
{
  EnViewOptions view = { .base = entry->base,
                         .settings = entry->settings,
                         .store = entry->store,
                         .trace = entry->trace,
                         .on_config = on_config,
                         .on_change = on_change,
                         .on_news = on_own_news,
                         .on_reading = on_own_reading,
                         .data = entry };
  EnSharesOptions shares = { .base = entry->base,
                             .settings = entry->settings,
                             .store = entry->store,
                             .trace = entry->trace,
                             .on_news = on_told_news,
                             .on_confirmation = on_confirmation,
                             .is_ready = is_ready,
                             .data = entry };
  EnProxyOptions proxy = { .base = entry->base,
                           .settings = entry->settings,
                           .dialect = pf_dialect (),
                           .trace = entry->trace,
                           .metrics = entry->metrics };
  EnDirectoryOptions directory = { .base = entry->base,
                                   .settings = entry->settings,
                                   .dialect = pf_dialect (),
                                   .metrics = entry->metrics,
                                   .is_ready = is_ready,
                                   .before_metrics = before_metrics,
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
  return entry->directory != NULL;
}

EnEntry *
en_new (EnSettings *settings, const char *path, GError **error)
{
  EnEntry *entry = g_new0 (EnEntry, 1);
  struct timeval check = { SETTINGS_CHECK_S, 0 };

  entry->base = event_base_new ();
  entry->settings = settings;
  entry->path = g_strdup (path);
  entry->trace = tr_new (&(TrOptions){
      .base = entry->base, .fd = STDOUT_FILENO, .vm = settings->vm });
  make_metrics (entry);
  entry->store = pf_store_new (&(PfStoreOptions){
      .base = entry->base, .address = settings->store_address });
  if (!start_parts (entry, error))
    {
      en_free (entry);
      return NULL;
    }
  entry->on_term = evsignal_new (entry->base, SIGTERM, on_term, entry);
  entry->on_int = evsignal_new (entry->base, SIGINT, on_term, entry);
  entry->on_hup = evsignal_new (entry->base, SIGHUP, on_hup, entry);
  entry->check_timer
      = event_new (entry->base, -1, EV_PERSIST, on_check, entry);
  entry->stop_timer = event_new (entry->base, -1, 0, on_stop_timer, entry);
  entry->exit_timer = event_new (entry->base, -1, 0, on_exit_timer, entry);
  event_add (entry->on_term, NULL);
  event_add (entry->on_int, NULL);
  event_add (entry->on_hup, NULL);
  event_add (entry->check_timer, &check);
  tr_line (entry->trace, EV_DAEMON_STARTED,
           "zone=%s region=%s front=%s store=%s", settings->zone,
           settings->region, settings->front_listen, settings->store_address);
  return entry;
}

void
en_run (EnEntry *entry)
{
  event_base_dispatch (entry->base);
  tr_line (entry->trace, EV_DAEMON_STOPPED, "vm=%s", entry->settings->vm);
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
  free_event (entry->exit_timer);
  free_event (entry->stop_timer);
  free_event (entry->check_timer);
  free_event (entry->on_hup);
  free_event (entry->on_int);
  free_event (entry->on_term);
  en_directory_free (entry->directory);
  en_proxy_free (entry->proxy);
  en_shares_free (entry->shares);
  en_view_free (entry->view);
  pf_store_free (entry->store);
  mt_table_free (entry->metrics);
  tr_free (entry->trace);
  event_base_free (entry->base);
  en_settings_free (entry->settings);
  g_free (entry->path);
  g_free (entry);
}
