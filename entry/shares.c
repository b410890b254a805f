#include "entry/shares.h"

#include <event2/event.h>
#include <string.h>

#include "clock/clock.h"
#include "entry/reports.h"

/* Membership changes rarely, and the reports of a new member arrive before its
   entry in the store is read.  */
#define MEMBERS_WATCH_TIMEOUT_MS 30000
/* Delay between watches: when many daemons start together, one reply holds all
   of their entries.  */
#define MEMBERS_WATCH_DELAY_MS 2000
/* From reading the list of members until their replies to this daemon's first
   report have arrived: round trips between regions, and the difference in
   start time of daemons that start together.  */
#define MEMBERS_REPLY_TIMEOUT_MS 300
/* Short, since no tokens or retries may be spent before the first read.  */
#define MEMBERS_RETRY_DELAY_MAX_MS 1000
#define MEMBER_LEASE_TTL_MS 60000
#define MEMBER_RENEW_INTERVAL_MS 20000
/* Fraction of the retry budget that is used; the rest covers moments in which
   daemons disagree on their number.  */
#define RETRY_BUDGET_FRACTION 0.8

/* A configuration reaches all daemons within this time after the first.  */
#define CONFIG_SPREAD_US ((int64_t)1500000)
/* For this time after its start a daemon has just read the store: if others
   report a newer configuration, the store's is older, and the newer one is not
   merely on its way.  */
#define START_US ((int64_t)3000000)
/* Report intervals between sweeps of the token buckets of targets, long enough
   for a bucket to fill.  */
#define TARGET_SWEEP_INTERVALS 60

struct EnShares
{
  EnSharesOptions options;
  FlFleet *fleet;
  GoSocket *gossip;
  EnRelay *relay;
  EnPool *pool;
  EnSuspects *suspects;
  LmTable *limits;
  LmRetryBudget *budget;
  PfWatcher *member_watcher;
  PfRegistration *registration;
  struct event *report_timer;
  struct event *members_timer; /* ends the wait for replies of members */
  EnReports *reports;
  gboolean has_member_list; /* read from the store */
  gboolean members_known;   /* and they had the time to reply */
  uint32_t daemon_count;
  uint32_t interval_count; /* report intervals since the start */
  int64_t started_us;
  uint64_t reported_version; /* newest configuration of another daemon */
  int64_t reported_us;       /* when it was first reported */
};

typedef struct
{
  EnShares *shares;
  int64_t now_us;
} ShareUpdate;

/* Until the members are known this daemon would count as the only one, and a
   new bucket get its part of the burst of all.  */
static void
update_customer_share (const char *customer, void *data)
{
  ShareUpdate *update = data;
  EnShares *shares = update->shares;
  double share = en_pool_share (shares->pool, customer, update->now_us);

  if (!shares->members_known)
    return;
  lm_set_share (shares->limits, customer, share, update->now_us);
}

static void
note_customer_demand (const char *customer, void *data)
{
  const ShareUpdate *update = data;

  en_pool_note_demand (update->shares->pool, customer, update->now_us);
}

/* Only the daemons nearest to a cold target use it, so that few have to share
   its small request rate.  */
static double
cold_share (const EnShares *shares, const char *zone, const char *region,
            int64_t now_us)
{
  if (fl_count_in_zone (shares->fleet, zone, now_us) > 0)
    return fl_idle_share (shares->fleet, zone, NULL, 0, now_us);
  if (fl_count_in_region (shares->fleet, region, now_us) > 0)
    return fl_idle_share (shares->fleet, NULL, region, 0, now_us);
  return 1.0 / shares->daemon_count;
}

/* Members that are listed in the store count before their first report.  */
static uint32_t
count_daemons (const EnShares *shares, int64_t now_us)
{
  return MAX (fl_count_daemons (shares->fleet, now_us),
              1 + en_reports_address_count (shares->reports, now_us));
}

static void
update_shares (EnShares *shares, int64_t now_us)
{
  const EnSettings *settings = shares->options.settings;
  const EnBounds *bounds = &settings->bounds;
  uint32_t count = count_daemons (shares, now_us);
  ShareUpdate update = { .shares = shares, .now_us = now_us };
  GHashTableIter zones;
  gpointer zone;
  gpointer region;

  if (count != shares->daemon_count)
    tr_log (shares->options.trace, EV_SHARES_CHANGED, "daemons=%u before=%u",
            count, shares->daemon_count);
  shares->daemon_count = count;
  en_pool_set_daemon_count (
      shares->pool, count,
      fl_idle_share (shares->fleet, NULL, NULL, count, now_us));
  lm_each_customer (shares->limits, update_customer_share, &update);
  lm_retry_budget_set_options (
      shares->budget,
      &(LmRetryBudgetOptions){
          .ratio = bounds->retry_ratio * RETRY_BUDGET_FRACTION,
          .reserve_count
          = bounds->retry_reserve_count * RETRY_BUDGET_FRACTION / count,
          .window_us = (int64_t)bounds->retry_window_ms * CK_US_PER_MS });
  g_hash_table_iter_init (&zones, settings->zones);
  while (g_hash_table_iter_next (&zones, &zone, &region))
    tg_set_cold_share (shares->options.targets, zone,
                       cold_share (shares, zone, region, now_us));
}

static void
update_readiness (EnShares *shares)
{
  const EnSharesOptions *options = &shares->options;

  fl_set_ready (shares->fleet, options->is_ready (options->data));
}

static void
on_report_timer (evutil_socket_t fd, short what, void *data)
{
  EnShares *shares = data;
  int64_t now_us = ck_boot_us ();
  ShareUpdate update = { .shares = shares, .now_us = now_us };

  (void)fd;
  (void)what;
  fl_expire_members (shares->fleet, now_us);
  update_readiness (shares);
  if (++shares->interval_count % TARGET_SWEEP_INTERVALS == 0)
    en_pool_sweep_targets (shares->pool);
  lm_each_customer (shares->limits, note_customer_demand, &update);
  update_shares (shares, now_us);
  en_reports_send_due (shares->reports, now_us);
}

static void
on_token_request (const GoTokenRequest *request, void *data)
{
  EnShares *shares = data;

  en_pool_on_token_request (shares->pool, request);
}

static void
on_token_reply (const GoTokenReply *reply, void *data)
{
  EnShares *shares = data;

  en_pool_on_token_reply (shares->pool, reply);
}

static void
on_leaving (const GoLeaving *leaving, void *data)
{
  EnShares *shares = data;

  if (tg_note_leaving (shares->options.targets, leaving->target_id,
                       leaving->started_ms))
    tr_log (shares->options.trace, EV_TARGET_LEAVING, "target=%s by=daemon",
            leaving->target_id);
}

static void
on_suspect (const GoSuspect *suspect, void *data)
{
  EnShares *shares = data;

  en_suspects_on_message (shares->suspects, suspect);
}

static void
on_report (const FlReport *report, void *data)
{
  EnShares *shares = data;
  int64_t now_us = ck_boot_us ();
  gboolean changed = fl_receive_report (shares->fleet, report, now_us);

  en_reports_note_address (shares->reports, report->gossip_address, now_us);
  if (report->config_version > shares->reported_version)
    {
      shares->reported_version = report->config_version;
      shares->reported_us = now_us;
    }
  if (!changed)
    return;
  tr_log (shares->options.trace,
          report->stopping ? EV_MEMBER_LEFT : EV_MEMBER_JOINED,
          "member=%s zone=%s ready=%d", report->name, report->zone,
          report->ready);
  en_reports_send_to (shares->reports, report->gossip_address, report->zone,
                      now_us);
  if (!report->stopping)
    en_suspects_hand_over (shares->suspects, report->gossip_address);
  update_shares (shares, now_us);
}

static void
on_target_delta (const GoTargetDelta *delta, void *data)
{
  EnShares *shares = data;

  shares->options.on_target_delta (delta,
                                   en_relay_may_follow (shares->relay,
                                                        delta->gossip_address,
                                                        ck_boot_us ()),
                                   shares->options.data);
}

static void
on_stamp (const GoStamp *stamp, void *data)
{
  EnShares *shares = data;

  en_relay_on_stamp (shares->relay, stamp, ck_boot_us ());
}

static void
on_confirmation (const GoConfirmation *confirmation, void *data)
{
  EnShares *shares = data;
  int64_t now_us = ck_boot_us ();

  if (en_relay_on_confirmation (shares->relay, confirmation, now_us))
    shares->options.on_confirmation (
        confirmation,
        en_relay_may_follow (shares->relay, confirmation->stamp.gossip_address,
                             now_us),
        shares->options.data);
}

static void
on_member (const char *gossip_address, void *data)
{
  EnShares *shares = data;
  int64_t now_us = ck_boot_us ();

  if (en_reports_note_address (shares->reports, gossip_address, now_us))
    en_reports_send_to (shares->reports, gossip_address, NULL, now_us);
}

static void
on_members_synced (int64_t requested_us, void *data)
{
  EnShares *shares = data;
  struct timeval timeout = { 0, MEMBERS_REPLY_TIMEOUT_MS * CK_US_PER_MS };

  (void)requested_us;
  if (!shares->has_member_list)
    event_add (shares->members_timer, &timeout);
  shares->has_member_list = TRUE;
  update_shares (shares, ck_boot_us ());
}

static void
on_members_replied (evutil_socket_t fd, short what, void *data)
{
  EnShares *shares = data;

  (void)fd;
  (void)what;
  shares->members_known = TRUE;
  en_pool_set_members_known (shares->pool);
  update_shares (shares, ck_boot_us ());
  en_shares_report_readiness (shares);
}

static const PfWatcherCallbacks member_callbacks
    = { .on_member = on_member, .on_synced = on_members_synced };

static void
create_modules (EnShares *shares)
{
  const EnSharesOptions *options = &shares->options;
  const EnSettings *settings = options->settings;
  int64_t started_us = ck_boot_us ();
  int64_t started_ms = ck_wall_ms ();

  shares->started_us = started_us;
  shares->fleet = fl_new (&(FlOptions){ .name = settings->vm,
                                        .zone = settings->zone,
                                        .region = settings->region,
                                        .link_mbps = settings->link_mbps,
                                        .cpu_permille = settings->cpu_permille,
                                        .started_us = started_us });
  fl_set_ready (shares->fleet, FALSE);
  shares->relay
      = en_relay_new (&(EnRelayOptions){ .settings = settings,
                                         .fleet = shares->fleet,
                                         .gossip = shares->gossip,
                                         .started_ms = started_ms,
                                         .is_ready = options->is_ready,
                                         .data = options->data });
  shares->limits = lm_new ();
  shares->pool = en_pool_new (
      &(EnPoolOptions){ .base = options->base,
                        .gossip_address = settings->gossip_listen,
                        .gossip = shares->gossip,
                        .fleet = shares->fleet,
                        .limits = shares->limits });
  shares->suspects = en_suspects_new (
      &(EnSuspectsOptions){ .base = options->base,
                            .gossip_address = settings->gossip_listen,
                            .gossip = shares->gossip,
                            .fleet = shares->fleet,
                            .trace = options->trace });
  shares->reports
      = en_reports_new (&(EnReportsOptions){ .settings = settings,
                                             .fleet = shares->fleet,
                                             .gossip = shares->gossip,
                                             .limits = shares->limits,
                                             .started_ms = started_ms,
                                             .is_ready = options->is_ready,
                                             .data = options->data });
  shares->budget
      = lm_retry_budget_new (&(LmRetryBudgetOptions){ .window_us = 1 });
}

EnShares *
en_shares_new (const EnSharesOptions *options, GError **error)
{
  const EnSettings *settings = options->settings;
  EnShares *shares = g_new0 (EnShares, 1);
  struct timeval report_interval = { FL_REPORT_INTERVAL_US / CK_US_PER_S,
                                     FL_REPORT_INTERVAL_US % CK_US_PER_S };
  GoOptions gossip = { .base = options->base,
                       .listen = settings->gossip_listen,
                       .on_report = on_report,
                       .on_target_delta = on_target_delta,
                       .on_stamp = on_stamp,
                       .on_confirmation = on_confirmation,
                       .on_token_request = on_token_request,
                       .on_token_reply = on_token_reply,
                       .on_suspect = on_suspect,
                       .on_leaving = on_leaving,
                       .data = shares };
  PfWatcherOptions member_watcher
      = { .kind = PF_WATCH_MEMBERS,
          .wait_ms = MEMBERS_WATCH_TIMEOUT_MS,
          .watch_delay_ms = MEMBERS_WATCH_DELAY_MS,
          .retry_delay_max_ms = MEMBERS_RETRY_DELAY_MAX_MS,
          .callbacks = &member_callbacks,
          .data = shares };
  PfRegistrationOptions registration
      = { .vm = settings->vm,
          .gossip_address = settings->gossip_listen,
          .lease_ttl_ms = MEMBER_LEASE_TTL_MS,
          .renew_interval_ms = MEMBER_RENEW_INTERVAL_MS };

  shares->options = *options;
  shares->gossip = go_new (&gossip, error);
  if (shares->gossip == NULL)
    {
      g_free (shares);
      return NULL;
    }
  create_modules (shares);
  shares->report_timer
      = event_new (options->base, -1, EV_PERSIST, on_report_timer, shares);
  event_add (shares->report_timer, &report_interval);
  shares->members_timer
      = event_new (options->base, -1, 0, on_members_replied, shares);
  shares->member_watcher = pf_watcher_new (options->store, &member_watcher);
  shares->registration = pf_registration_new (options->store, &registration);
  update_shares (shares, ck_boot_us ());
  return shares;
}

void
en_shares_free (EnShares *shares)
{
  if (shares == NULL)
    return;
  pf_registration_free (shares->registration);
  pf_watcher_free (shares->member_watcher);
  event_free (shares->members_timer);
  event_free (shares->report_timer);
  en_reports_free (shares->reports);
  lm_retry_budget_free (shares->budget);
  lm_free (shares->limits);
  en_suspects_free (shares->suspects);
  en_pool_free (shares->pool);
  en_relay_free (shares->relay);
  fl_free (shares->fleet);
  go_free (shares->gossip);
  g_free (shares);
}

void
en_shares_report_readiness (EnShares *shares)
{
  update_readiness (shares);
  if (!en_reports_are_current (shares->reports))
    en_reports_send (shares->reports, ck_boot_us ());
}

EnPool *
en_shares_pool (const EnShares *shares)
{
  return shares->pool;
}

typedef struct
{
  EnShares *shares;
  GoLeaving leaving;
} LeavingReport;

static void
send_leaving (const FlMember *member, void *data)
{
  LeavingReport *report = data;

  if (strcmp (member->region, report->shares->options.settings->region) == 0)
    go_send_leaving (report->shares->gossip, member->gossip_address,
                     &report->leaving);
}

void
en_shares_report_leaving (EnShares *shares, const char *target_id,
                          int64_t started_ms)
{
  LeavingReport report
      = { .shares = shares,
          .leaving = { .target_id = target_id, .started_ms = started_ms } };

  tr_log (shares->options.trace, EV_TARGET_LEAVING, "target=%s by=target",
          target_id);
  fl_each_member (shares->fleet, send_leaving, &report);
}

EnSuspects *
en_shares_suspects (const EnShares *shares)
{
  return shares->suspects;
}

EnRelay *
en_shares_relay (const EnShares *shares)
{
  return shares->relay;
}

void
en_shares_report_stop (EnShares *shares)
{
  fl_set_stopping (shares->fleet);
  en_reports_set_stopping (shares->reports);
  en_reports_send (shares->reports, ck_boot_us ());
}

typedef struct
{
  EnShares *shares;
  GPtrArray *names;
} LimitUpdate;

static void
set_customer_limit (const RtCustomer *customer, void *data)
{
  LimitUpdate *update = data;

  lm_set_limit (update->shares->limits, customer->name, customer->rate_per_s,
                customer->burst_count, ck_boot_us ());
  g_ptr_array_add (update->names, (gpointer)customer->name);
}

void
en_shares_set_config (EnShares *shares, const RtConfig *config)
{
  g_autoptr (GPtrArray) names = g_ptr_array_new ();
  LimitUpdate update = { shares, names };

  en_reports_set_config_version (shares->reports, rt_config_version (config));
  rt_each_customer (config, set_customer_limit, &update);
  g_ptr_array_add (names, NULL);
  en_pool_set_customers (shares->pool, (const char *const *)names->pdata);
  lm_sweep (shares->limits);
  update_shares (shares, ck_boot_us ());
}

gboolean
en_shares_config_is_current (const EnShares *shares, uint64_t version,
                             int64_t now_us)
{
  if (version >= shares->reported_version
      || version >= fl_newest_config_version (shares->fleet))
    return TRUE;
  return now_us - shares->reported_us < CONFIG_SPREAD_US
         && shares->reported_us - shares->started_us >= START_US;
}

gboolean
en_shares_has_members (const EnShares *shares)
{
  return shares->members_known;
}

LmTable *
en_shares_limits (const EnShares *shares)
{
  return shares->limits;
}

LmRetryBudget *
en_shares_budget (const EnShares *shares)
{
  return shares->budget;
}

const FlFleet *
en_shares_fleet (const EnShares *shares)
{
  return shares->fleet;
}
