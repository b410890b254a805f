#include "entry/view.h"

#include <event2/event.h>

#include "clock/clock.h"

/* A watch that comes back without a change confirms the configuration as of
   the time when it was asked for.  So what a calm daemon knows is up to two
   waits old; that and some delay must fit in the time for withdrawn keys, of
   which a wait takes this part.  */
#define OPERATOR_WAIT_PERCENT 38
/* With the margin below it bounds how late a configuration comes where the
   reader of the region is lost; platforms allow two seconds.  */
#define OPERATOR_WAIT_MAX_MS 1000
/* Gathers the stamps that answer a confirmation before the next reading.  */
#define OPERATOR_PAUSE_MS 30
/* A confirmation that is later than a wait by this much was lost, or its
   sender was.  */
#define OPERATOR_LATE_MS 250
/* Failed calls cost as much as others, but until the return of the store is
   seen requests with keys are refused.  */
#define OPERATOR_RETRY_MAX_MS 200
/* Kept from the time for withdrawn keys: the store's watches may lag by a
   second, and a request takes a moment.  */
#define KEY_MARGIN_US 1100000
struct EnView
{
  EnViewOptions options;
  RtConfig *config;
  EnListing *listing;
  PfFeed *operator_feed;
  int64_t confirmed_us; /* of the configuration; 0: never */
  gboolean store_down;
  struct event *stale_timer; /* keys are no longer confirmed */
  struct event *rest_timer;  /* no confirmation came for long */
};

static void
changed (EnView *view)
{
  if (view->options.on_change != NULL)
    view->options.on_change (view->options.data);
}

static void
on_config (RtConfig *config, void *data)
{
  EnView *view = data;
  uint64_t version = rt_version (config);

  if (view->config != NULL && version <= rt_version (view->config))
    {
      if (version < rt_version (view->config))
        tr_line (view->options.trace, EV_CONFIG_REFUSED,
                 "config=%" G_GUINT64_FORMAT
                 " reason=older in_force=%" G_GUINT64_FORMAT,
                 version, rt_version (view->config));
      return;
    }
  rt_config_unref (view->config);
  view->config = rt_config_ref (config);
  tr_line (view->options.trace, EV_CONFIG_IN_FORCE,
           "config=%" G_GUINT64_FORMAT, version);
  view->options.on_config (config, view->options.data);
}

static void
on_evacuated (const char *zone, gboolean evacuated, void *data)
{
  EnView *view = data;

  tg_evacuate (en_listing_targets (view->listing), zone, evacuated,
               ck_boot_us ());
  tr_line (view->options.trace,
           evacuated ? EV_ZONE_EVACUATED : EV_ZONE_RESTORED, "zone=%s", zone);
}

static void
on_unreadable (const char *key, const char *problem, void *data)
{
  EnView *view = data;

  en_log_unreadable (view->options.trace, key, problem);
}

static int64_t
key_limit_us (const EnSettings *settings)
{
  return (int64_t)settings->bounds.key_withdrawal_ms * CK_US_PER_MS
         - KEY_MARGIN_US;
}

static uint32_t
operator_wait_ms (const EnSettings *settings)
{
  int64_t wait_ms
      = key_limit_us (settings) * OPERATOR_WAIT_PERCENT / 100 / CK_US_PER_MS;

  return (uint32_t)CLAMP (wait_ms, 1, OPERATOR_WAIT_MAX_MS);
}

static void
on_stale_timer (evutil_socket_t fd, short what, void *data)
{
  EnView *view = data;

  (void)fd;
  (void)what;
  tr_line (view->options.trace, EV_CONFIG_STALE,
           "config=%" G_GUINT64_FORMAT " config_age_ms=%" G_GINT64_FORMAT,
           view->config != NULL ? rt_version (view->config) : 0,
           en_view_age_us (view, ck_boot_us ()) / 1000);
  changed (view);
}

static void
on_rest_timer (evutil_socket_t fd, short what, void *data)
{
  EnView *view = data;

  (void)fd;
  (void)what;
  pf_feed_rest (view->operator_feed, FALSE);
}

static void
start_timer_at (struct event *timer, int64_t at_us)
{
  int64_t left_us = MAX (0, at_us - ck_boot_us ());
  struct timeval left = { left_us / CK_US_PER_S, left_us % CK_US_PER_S };

  event_add (timer, &left);
}

/* What is known of the operators' entries held at AT_US.  */
static void
confirm (EnView *view, int64_t at_us)
{
  int64_t limit_us = key_limit_us (view->options.settings);
  int64_t now_us = ck_boot_us ();
  gboolean was_known = en_view_knows_keys (view, now_us);

  view->confirmed_us = MAX (view->confirmed_us, at_us);
  start_timer_at (view->stale_timer, view->confirmed_us + limit_us);
  if (!was_known && en_view_knows_keys (view, now_us))
    {
      tr_line (view->options.trace, EV_CONFIG_FRESH,
               "config=%" G_GUINT64_FORMAT, rt_version (view->config));
      changed (view);
    }
}

static void
on_operator_current (int64_t asked_us, void *data)
{
  EnView *view = data;
  EnReading reading = {
    .asked_us = asked_us,
    .revision = pf_feed_revision (view->operator_feed),
    .changed_revision = pf_feed_changed_revision (view->operator_feed),
  };

  if (view->store_down)
    tr_line (view->options.trace, EV_STORE_UP, "part=operator");
  view->store_down = FALSE;
  confirm (view, asked_us);
  view->options.on_reading (&reading, view->options.data);
}

void
en_view_take_confirmation (EnView *view, const GoConfirmation *confirmation,
                           gboolean may_rest)
{
  uint64_t revision = pf_feed_revision (view->operator_feed);
  int64_t late_us = operator_wait_ms (view->options.settings) * CK_US_PER_MS
                    + OPERATOR_LATE_MS * CK_US_PER_MS;

  if (revision == 0)
    return;
  if (revision < confirmation->changed_revision)
    {
      pf_feed_rest (view->operator_feed, FALSE);
      return;
    }
  pf_feed_advance (view->operator_feed, confirmation->revision);
  if (confirmation->stamp.stamp_us == 0)
    return;
  confirm (view, confirmation->stamp.stamp_us);
  if (!may_rest)
    return;
  pf_feed_rest (view->operator_feed, TRUE);
  start_timer_at (view->rest_timer, ck_boot_us () + late_us);
}

static void
on_operator_failure (PfFailure failure, void *data)
{
  EnView *view = data;
  int64_t now_us = ck_boot_us ();

  if (failure == PF_FAILURE_HISTORY)
    return;
  if (!view->store_down)
    tr_line (view->options.trace, EV_STORE_DOWN,
             "part=operator reason=%s config_age_ms=%" G_GINT64_FORMAT,
             pf_failure_name (failure), en_view_age_us (view, now_us) / 1000);
  view->store_down = TRUE;
  changed (view);
}

static const PfEvents operator_events = {
  .on_config = on_config,
  .on_evacuated = on_evacuated,
  .on_unreadable = on_unreadable,
  .on_current = on_operator_current,
  .on_failure = on_operator_failure,
};

EnView *
en_view_new (const EnViewOptions *options)
{
  EnView *view = g_new0 (EnView, 1);
  PfFeedOptions operator_feed = {
    .kind = PF_FEED_OPERATOR,
    .wait_ms = operator_wait_ms (options->settings),
    .pause_ms = OPERATOR_PAUSE_MS,
    .retry_max_ms = OPERATOR_RETRY_MAX_MS,
    .events = &operator_events,
    .data = view,
  };

  view->options = *options;
  view->stale_timer = event_new (options->base, -1, 0, on_stale_timer, view);
  view->rest_timer = event_new (options->base, -1, 0, on_rest_timer, view);
  view->listing
      = en_listing_new (&(EnListingOptions){ .base = options->base,
                                             .settings = options->settings,
                                             .store = options->store,
                                             .trace = options->trace,
                                             .on_known = options->on_change,
                                             .on_news = options->on_news,
                                             .data = options->data });
  view->operator_feed = pf_feed_new (options->store, &operator_feed);
  return view;
}

void
en_view_free (EnView *view)
{
  if (view == NULL)
    return;
  pf_feed_free (view->operator_feed);
  en_listing_free (view->listing);
  event_free (view->rest_timer);
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
en_view_age_us (const EnView *view, int64_t now_us)
{
  return view->confirmed_us == 0 ? -1 : now_us - view->confirmed_us;
}

gboolean
en_view_knows_keys (const EnView *view, int64_t now_us)
{
  return view->config != NULL && view->confirmed_us != 0
         && now_us - view->confirmed_us
                <= key_limit_us (view->options.settings);
}

gboolean
en_view_is_ready (const EnView *view, int64_t now_us)
{
  return en_listing_is_known (view->listing)
         && en_view_knows_keys (view, now_us);
}
