#include "entry/view.h"

#include <event2/event.h>

#include "clock/clock.h"
#include "entry/timer.h"
#include "era/era.h"

/* Timeout of a watch, in percent of the age at which the configuration is
   stale.  A watch that returns without a change confirms the configuration as
   of the time of its request.  So the last confirmation is up to two watch
   timeouts old, and both have to fit into that age, with some delay.  */
#define OPERATOR_WATCH_TIMEOUT_PERCENT 38
/* With CONFIRMATION_DELAY_MAX_MS it bounds how late a configuration arrives
   after the region leader is lost; platforms allow two seconds.  */
#define OPERATOR_WATCH_TIMEOUT_MAX_MS 1000
/* Lets the stamps that reply to a confirmation arrive before the next
   read.  */
#define OPERATOR_WATCH_DELAY_MS 30
/* Once a confirmation is this much later than a watch timeout, it or the
   region leader is assumed lost, and this daemon reads the store itself.  */
#define CONFIRMATION_DELAY_MAX_MS 250
/* Short, although failed calls load the store as much as others: once the
   configuration is stale, requests with keys are refused until a call
   succeeds.  */
#define OPERATOR_RETRY_DELAY_MAX_MS 200
/* Subtracted from EnBounds.key_revocation_ms: the store's watches may lag by a
   second, and serving a request takes a moment.  */
#define KEY_REVOCATION_MARGIN_US 1100000

/* Operators write again what a restored store has lost; until then the
   evacuations that it lacks stay in force.  */
#define RESTORED_KEEP_US ((int64_t)6000000)

struct EnView
{
  EnViewOptions options;
  RtConfig *config;
  EnListing *listing;
  PfWatcher *operator_watcher;
  ErGuard era_guard;
  PfEraRecord *era_record;
  int64_t synced_us;    /* request of the last complete read */
  int64_t confirmed_us; /* last confirmation; 0: none */
  gboolean store_down;
  /* The store holds an older configuration than the one in force, none, or one
     that cannot be read, so it cannot confirm that no later one withdrew a
     key.  */
  gboolean store_is_unsure;
  gboolean was_unsure;  /* the value of store_is_unsure before a restore */
  uint64_t stored_hash; /* text of the configuration that was read last */
  int64_t evacuations_kept_until_us; /* although the store lacks them */
  GHashTable *kept_zones;            /* evacuated, but not in the store */
  EnTimer *kept_zones_timer;
  struct event *stale_timer;  /* fires when the configuration gets stale */
  struct event *leader_timer; /* fires when a confirmation is overdue */
};

static void
notify_readiness_change (EnView *view)
{
  if (view->options.on_readiness_change != NULL)
    view->options.on_readiness_change (view->options.data);
}

/* Whether CONFIG is the one in force, or older.  Where the store has lost a
   configuration, another one may be given its version.  */
static gboolean
is_known (const EnView *view, const RtConfig *config)
{
  return view->config != NULL
         && (rt_config_version (config) < rt_config_version (view->config)
             || (rt_config_version (config) == rt_config_version (view->config)
                 && rt_text_hash (config) == rt_text_hash (view->config)));
}

static void
note_stored_config (EnView *view, uint64_t text_hash, gboolean is_unsure)
{
  view->stored_hash = text_hash;
  view->store_is_unsure = is_unsure;
  view->was_unsure = is_unsure;
}

static void
on_config (RtConfig *config, void *data)
{
  EnView *view = data;
  uint64_t version = rt_config_version (config);

  er_on_config (&view->era_guard,
                pf_watcher_item_revision (view->operator_watcher));
  note_stored_config (view, rt_text_hash (config),
                      view->config != NULL
                          && version < rt_config_version (view->config));
  if (is_known (view, config))
    {
      if (view->store_is_unsure)
        tr_log (view->options.trace, EV_CONFIG_REFUSED,
                "config=%" G_GUINT64_FORMAT
                " reason=older in_force=%" G_GUINT64_FORMAT,
                version, rt_config_version (view->config));
      return;
    }
  rt_config_unref (view->config);
  view->config = rt_config_ref (config);
  tr_log (view->options.trace, EV_CONFIG_IN_FORCE,
          "config=%" G_GUINT64_FORMAT " head_timeout_ms=%u idle_timeout_ms=%u",
          version, rt_limits (config)->head_timeout_ms,
          rt_limits (config)->idle_timeout_ms);
  view->options.on_config (config, view->options.data);
}

static void
on_config_missing (void *data)
{
  EnView *view = data;

  note_stored_config (view, 0, view->config != NULL);
}

/* A text that names a version is a configuration, which may have withdrawn
   keys.  Of others, a store that came back with the one that it had before has
   lost no later configuration that was read here.  */
static void
on_config_unreadable (uint64_t text_hash, uint64_t version, void *data)
{
  EnView *view = data;
  gboolean was_read_before = text_hash == view->stored_hash;

  note_stored_config (
      view, text_hash,
      version != 0
          || (was_read_before ? view->was_unsure : view->store_is_unsure));
}

static void
set_evacuated (EnView *view, const char *zone, gboolean evacuated)
{
  tg_set_evacuated (en_listing_targets (view->listing), zone, evacuated,
                    ck_boot_us ());
  tr_log (view->options.trace,
          evacuated ? EV_ZONE_EVACUATED : EV_ZONE_RESTORED, "zone=%s", zone);
}

static void
on_evacuation (const char *zone, PfEvacuation state, void *data)
{
  EnView *view = data;
  gboolean evacuated = state == PF_EVACUATION_BEGUN;

  if (state == PF_EVACUATION_MISSING
      && ck_boot_us () < view->evacuations_kept_until_us)
    {
      g_hash_table_add (view->kept_zones, g_strdup (zone));
      return;
    }
  if (g_hash_table_remove (view->kept_zones, zone) && evacuated)
    return;
  set_evacuated (view, zone, evacuated);
}

static void
on_kept_zones_timeout (void *data)
{
  EnView *view = data;
  GHashTableIter zones;
  gpointer zone;

  g_hash_table_iter_init (&zones, view->kept_zones);
  while (g_hash_table_iter_next (&zones, &zone, NULL))
    set_evacuated (view, zone, FALSE);
  g_hash_table_remove_all (view->kept_zones);
}

static void
on_decode_error (const char *key, const char *problem, void *data)
{
  EnView *view = data;

  en_log_decode_error (view->options.trace, key, problem);
}

/* A configuration that was confirmed longer ago is stale.  */
static int64_t
config_age_max_us (const EnSettings *settings)
{
  return (int64_t)settings->bounds.key_revocation_ms * CK_US_PER_MS
         - KEY_REVOCATION_MARGIN_US;
}

static uint32_t
operator_watch_timeout_ms (const EnSettings *settings)
{
  int64_t watch_timeout_ms = config_age_max_us (settings)
                             * OPERATOR_WATCH_TIMEOUT_PERCENT / 100
                             / CK_US_PER_MS;

  return (uint32_t)CLAMP (watch_timeout_ms, 1, OPERATOR_WATCH_TIMEOUT_MAX_MS);
}

static void
on_config_stale (evutil_socket_t fd, short what, void *data)
{
  EnView *view = data;

  (void)fd;
  (void)what;
  tr_log (view->options.trace, EV_CONFIG_STALE,
          "config=%" G_GUINT64_FORMAT " config_age_ms=%" G_GINT64_FORMAT,
          view->config != NULL ? rt_config_version (view->config) : 0,
          en_view_config_age_us (view, ck_boot_us ()) / 1000);
  notify_readiness_change (view);
}

static void
on_leader_timeout (evutil_socket_t fd, short what, void *data)
{
  EnView *view = data;

  (void)fd;
  (void)what;
  pf_watcher_set_paused (view->operator_watcher, FALSE);
}

static void
start_timer_at (struct event *timer, int64_t deadline_us)
{
  int64_t left_us = MAX (0, deadline_us - ck_boot_us ());
  struct timeval left = { left_us / CK_US_PER_S, left_us % CK_US_PER_S };

  event_add (timer, &left);
}

/* Records that the local copy of the operator entries was up to date at
   CONFIRMED_AT_US.  */
static void
set_confirmed (EnView *view, int64_t confirmed_at_us)
{
  int64_t age_max_us = config_age_max_us (view->options.settings);
  int64_t now_us = ck_boot_us ();
  gboolean was_fresh = en_view_has_fresh_keys (view, now_us);

  view->confirmed_us = MAX (view->confirmed_us, confirmed_at_us);
  start_timer_at (view->stale_timer, view->confirmed_us + age_max_us);
  if (!was_fresh && en_view_has_fresh_keys (view, now_us))
    {
      tr_log (view->options.trace, EV_CONFIG_FRESH,
              "config=%" G_GUINT64_FORMAT, rt_config_version (view->config));
      notify_readiness_change (view);
    }
}

/* Of a process that has started at a store that was restored; also called when
   the record is written.  */
static void
on_era_record (uint64_t era, void *data)
{
  EnView *view = data;
  gboolean was_settled = view->era_guard.is_settled;

  er_on_record (&view->era_guard, era);
  if (!view->era_guard.is_settled)
    tr_log (view->options.trace, EV_CONFIG_UNSETTLED,
            "era=%" G_GUINT64_FORMAT " recorded=%" G_GUINT64_FORMAT
            " config=%" G_GUINT64_FORMAT,
            view->era_guard.era, era,
            view->config != NULL ? rt_config_version (view->config) : 0);
  else if (!was_settled && !view->store_is_unsure)
    set_confirmed (view, view->synced_us);
}

/* A read is complete.  */
static void
note_read (EnView *view)
{
  gboolean is_first = view->era_guard.era == 0;

  er_on_read (&view->era_guard, pf_watcher_era (view->operator_watcher),
              pf_watcher_revision (view->operator_watcher), ck_boot_us ());
  if (is_first && !view->era_guard.is_settled)
    pf_era_record_read (view->era_record);
}

void
en_view_record_era (EnView *view, int64_t now_us)
{
  if (er_wants_record (&view->era_guard, now_us))
    pf_era_record_write (view->era_record, view->era_guard.era);
}

static void
on_operator_synced (int64_t requested_us, void *data)
{
  EnView *view = data;
  EnStoreRead store_read = {
    .requested_us = requested_us,
    .store_era = pf_watcher_era (view->operator_watcher),
    .revision = pf_watcher_revision (view->operator_watcher),
    .changed_revision = pf_watcher_changed_revision (view->operator_watcher),
    .config_hash = view->config != NULL ? rt_text_hash (view->config) : 0,
  };

  note_read (view);
  view->synced_us = requested_us;
  if (view->store_down)
    tr_log (view->options.trace, EV_STORE_UP, "part=operator");
  view->store_down = FALSE;
  /* A change that the region leader announced is read by a single call.  */
  if (event_pending (view->leader_timer, EV_TIMEOUT, NULL))
    pf_watcher_set_paused (view->operator_watcher, TRUE);
  if (view->store_is_unsure || !view->era_guard.is_settled)
    return;
  set_confirmed (view, requested_us);
  view->options.on_store_read (&store_read, view->options.data);
}

static void
on_restored (uint64_t era, void *data)
{
  EnView *view = data;
  int64_t now_us = ck_boot_us ();

  tr_log (view->options.trace, EV_STORE_RESTORED,
          "era=%" G_GUINT64_FORMAT " config=%" G_GUINT64_FORMAT, era,
          view->config != NULL ? rt_config_version (view->config) : 0);
  er_on_restored (&view->era_guard, era, now_us);
  view->was_unsure = view->store_is_unsure;
  view->store_is_unsure = view->config != NULL; /* until it is read */
  view->evacuations_kept_until_us = now_us + RESTORED_KEEP_US;
  en_timer_start (view->kept_zones_timer, view->evacuations_kept_until_us);
}

/* Revisions of different eras cannot be compared, so this daemon has to read
   the store itself.  Until it can, the region leader confirms the keys if it
   has the same configuration in force.  */
static void
apply_other_era (EnView *view, const GoConfirmation *confirmation,
                 gboolean may_follow)
{
  if (may_follow && view->config != NULL && confirmation->stamp.stamp_us != 0
      && confirmation->store_era > pf_watcher_era (view->operator_watcher)
      && confirmation->config_hash != 0
      && confirmation->config_hash == rt_text_hash (view->config))
    set_confirmed (view, confirmation->stamp.stamp_us);
  pf_watcher_note_era (view->operator_watcher, confirmation->store_era);
}

void
en_view_apply_confirmation (EnView *view, const GoConfirmation *confirmation,
                            gboolean may_follow)
{
  uint64_t revision = pf_watcher_revision (view->operator_watcher);
  int64_t timeout_us
      = operator_watch_timeout_ms (view->options.settings) * CK_US_PER_MS
        + CONFIRMATION_DELAY_MAX_MS * CK_US_PER_MS;

  if (confirmation->store_era != pf_watcher_era (view->operator_watcher))
    {
      apply_other_era (view, confirmation, may_follow);
      return;
    }
  if (revision == 0)
    return;
  if (revision < confirmation->changed_revision)
    {
      pf_watcher_set_paused (view->operator_watcher, FALSE);
      /* The region leader is alive, so a single call is enough.  */
      if (may_follow)
        start_timer_at (view->leader_timer, ck_boot_us () + timeout_us);
      return;
    }
  pf_watcher_advance (view->operator_watcher, confirmation->revision);
  /* Without a stamp, the age of the confirmation is unknown.  */
  if (confirmation->stamp.stamp_us == 0 || view->store_is_unsure)
    return;
  er_on_confirmation (&view->era_guard);
  set_confirmed (view, confirmation->stamp.stamp_us);
  if (!may_follow)
    return;
  pf_watcher_set_paused (view->operator_watcher, TRUE);
  start_timer_at (view->leader_timer, ck_boot_us () + timeout_us);
}

static void
on_operator_failure (PfFailure failure, void *data)
{
  EnView *view = data;
  int64_t now_us = ck_boot_us ();

  if (failure == PF_FAILURE_COMPACTED)
    return;
  if (!view->store_down)
    tr_log (view->options.trace, EV_STORE_DOWN,
            "part=operator reason=%s config_age_ms=%" G_GINT64_FORMAT,
            pf_failure_name (failure),
            en_view_config_age_us (view, now_us) / 1000);
  view->store_down = TRUE;
  notify_readiness_change (view);
}

static const PfWatcherCallbacks operator_callbacks = {
  .on_config = on_config,
  .on_evacuation = on_evacuation,
  .on_decode_error = on_decode_error,
  .on_synced = on_operator_synced,
  .on_failure = on_operator_failure,
  .on_restored = on_restored,
  .on_config_missing = on_config_missing,
  .on_config_unreadable = on_config_unreadable,
};

EnView *
en_view_new (const EnViewOptions *options)
{
  EnView *view = g_new0 (EnView, 1);
  PfWatcherOptions operator_watcher = {
    .kind = PF_WATCH_OPERATOR,
    .wait_ms = operator_watch_timeout_ms (options->settings),
    .watch_delay_ms = OPERATOR_WATCH_DELAY_MS,
    .retry_delay_max_ms = OPERATOR_RETRY_DELAY_MAX_MS,
    .callbacks = &operator_callbacks,
    .data = view,
  };

  view->options = *options;
  view->stale_timer = event_new (options->base, -1, 0, on_config_stale, view);
  view->leader_timer
      = event_new (options->base, -1, 0, on_leader_timeout, view);
  view->kept_zones
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  view->kept_zones_timer
      = en_timer_new (options->base, on_kept_zones_timeout, view);
  view->listing = en_listing_new (
      &(EnListingOptions){ .base = options->base,
                           .settings = options->settings,
                           .store = options->store,
                           .trace = options->trace,
                           .on_loaded = options->on_readiness_change,
                           .on_target_delta = options->on_target_delta,
                           .data = options->data });
  view->era_record = pf_era_record_new (options->store, on_era_record, view);
  view->operator_watcher = pf_watcher_new (options->store, &operator_watcher);
  return view;
}

void
en_view_free (EnView *view)
{
  if (view == NULL)
    return;
  pf_era_record_free (view->era_record);
  pf_watcher_free (view->operator_watcher);
  en_listing_free (view->listing);
  en_timer_free (view->kept_zones_timer);
  g_hash_table_unref (view->kept_zones);
  event_free (view->leader_timer);
  event_free (view->stale_timer);
  rt_config_unref (view->config);
  g_free (view);
}

RtConfig *
en_view_config (const EnView *view)
{
  return view->config;
}

EnListing *
en_view_listing (const EnView *view)
{
  return view->listing;
}

TgSet *
en_view_targets (const EnView *view)
{
  return en_listing_targets (view->listing);
}

int64_t
en_view_config_age_us (const EnView *view, int64_t now_us)
{
  return view->confirmed_us == 0 ? -1 : now_us - view->confirmed_us;
}

static gboolean
is_confirmed_within (const EnView *view, int64_t age_max_us, int64_t now_us)
{
  return view->config != NULL && view->confirmed_us != 0
         && now_us - view->confirmed_us <= age_max_us;
}

gboolean
en_view_has_fresh_keys (const EnView *view, int64_t now_us)
{
  return is_confirmed_within (view, config_age_max_us (view->options.settings),
                              now_us);
}

gboolean
en_view_may_reject (const EnView *view, int64_t now_us)
{
  int64_t age_max_us
      = (int64_t)view->options.settings->bounds.config_apply_ms * CK_US_PER_MS;

  return is_confirmed_within (view, age_max_us, now_us);
}

gboolean
en_view_reaches_store (const EnView *view)
{
  return !view->store_down;
}

gboolean
en_view_is_ready (const EnView *view, int64_t now_us)
{
  return en_listing_is_loaded (view->listing)
         && en_view_has_fresh_keys (view, now_us);
}
