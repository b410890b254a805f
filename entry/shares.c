#include "entry/shares.h"

#include <event2/event.h>
#include <string.h>

#include "clock/clock.h"
#include "entry/reports.h"

/* Demand shifts over seconds, and a member is silent after three reports.  */
#define REPORT_MS 1000
/* Members change rarely, and reports tell of new ones first.  */
#define MEMBERS_WAIT_MS 10000
/* Nothing is spent before the first reading.  */
#define MEMBERS_RETRY_MAX_MS 1000
#define MEMBER_LEASE_MS 60000
#define MEMBER_RENEW_MS 20000
/* Part of a bound that is spent; the rest covers daemons that count their
   number differently for a moment.  */
#define BOUND_PART 0.8

struct EnShares
{
  EnSharesOptions options;
  FlFleet *fleet;
  GoSocket *gossip;
  EnRelay *relay;
  EnPool *pool;
  LmTable *limits;
  LmBudget *budget;
  PfFeed *members;
  PfMember *member;
  struct event *timer;
  EnReports *reports;
  gboolean has_members; /* the store's list was read */
  uint32_t daemon_count;
};

typedef struct
{
  EnShares *shares;
  int64_t now_us;
} Visit;

static void
share_customer (const char *customer, void *data)
{
  Visit *visit = data;
  EnShares *shares = visit->shares;
  double share = en_pool_share (shares->pool, customer, visit->now_us);

  lm_set_share (shares->limits, customer, share, visit->now_us);
}

/* Cold targets are for the daemons nearest to them, so that few share the
   little that they bear.  */
static double
cold_share (const EnShares *shares, const char *zone, const char *region,
            int64_t now_us)
{
  const EnSettings *settings = shares->options.settings;
  uint32_t count = fl_count_in_zone (shares->fleet, zone, now_us);

  if (count > 0)
    return strcmp (zone, settings->zone) == 0 ? 1.0 / count : 0;
  count = fl_count_in_region (shares->fleet, region, now_us);
  if (count > 0)
    return strcmp (region, settings->region) == 0 ? 1.0 / count : 0;
  return 1.0 / shares->daemon_count;
}

/* Members that the store lists count before they were heard.  */
static uint32_t
count_daemons (const EnShares *shares, int64_t now_us)
{
  return MAX (fl_count (shares->fleet, now_us),
              1 + en_reports_count (shares->reports, now_us));
}

static void
divide (EnShares *shares, int64_t now_us)
{
  const EnSettings *settings = shares->options.settings;
  const EnBounds *bounds = &settings->bounds;
  uint32_t count = count_daemons (shares, now_us);
  Visit visit = { .shares = shares, .now_us = now_us };
  GHashTableIter zones;
  gpointer zone;
  gpointer region;

  if (count != shares->daemon_count)
    tr_line (shares->options.trace, EV_SHARES_CHANGED, "daemons=%u before=%u",
             count, shares->daemon_count);
  shares->daemon_count = count;
  en_pool_set_count (shares->pool, count);
  lm_each (shares->limits, share_customer, &visit);
  lm_budget_set (
      shares->budget,
      &(LmBudgetOptions){
          .ratio = bounds->retry_ratio * BOUND_PART,
          .reserve_count = bounds->retry_reserve_count * BOUND_PART / count,
          .window_us = (int64_t)bounds->retry_window_ms * CK_US_PER_MS });
  g_hash_table_iter_init (&zones, settings->zones);
  while (g_hash_table_iter_next (&zones, &zone, &region))
    tg_set_cold_share (shares->options.targets, zone,
                       cold_share (shares, zone, region, now_us));
}

static void
on_timer (evutil_socket_t fd, short what, void *data)
{
  EnShares *shares = data;
  int64_t now_us = ck_boot_us ();

  (void)fd;
  (void)what;
  fl_forget (shares->fleet, now_us);
  divide (shares, now_us);
  en_reports_send (shares->reports, now_us);
}

static void
on_ask (const GoAsk *ask, void *data)
{
  EnShares *shares = data;

  en_pool_on_ask (shares->pool, ask);
}

static void
on_answer (const GoAnswer *answer, void *data)
{
  EnShares *shares = data;

  en_pool_on_answer (shares->pool, answer);
}

static void
on_report (const FlReport *report, void *data)
{
  EnShares *shares = data;
  int64_t now_us = ck_boot_us ();
  gboolean changed = fl_hear (shares->fleet, report, now_us);

  en_reports_touch (shares->reports, report->gossip_address, now_us);
  if (!changed)
    return;
  tr_line (shares->options.trace,
           report->stopping ? EV_MEMBER_LEFT : EV_MEMBER_JOINED,
           "member=%s zone=%s ready=%d", report->name, report->zone,
           report->ready);
  en_reports_send_to (shares->reports, report->gossip_address, report->zone,
                      now_us);
  divide (shares, now_us);
}

static void
on_news (const GoNews *news, void *data)
{
  EnShares *shares = data;

  shares->options.on_news (news,
                           en_relay_may_rest_for (shares->relay,
                                                  news->gossip_address,
                                                  ck_boot_us ()),
                           shares->options.data);
}

static void
on_stamp (const GoStamp *stamp, void *data)
{
  EnShares *shares = data;

  en_relay_take_stamp (shares->relay, stamp, ck_boot_us ());
}

static void
on_confirmation (const GoConfirmation *confirmation, void *data)
{
  EnShares *shares = data;
  int64_t now_us = ck_boot_us ();

  if (en_relay_take_confirmation (shares->relay, confirmation, now_us))
    shares->options.on_confirmation (
        confirmation,
        en_relay_may_rest_for (shares->relay,
                               confirmation->stamp.gossip_address, now_us),
        shares->options.data);
}

static void
on_member (const char *gossip_address, void *data)
{
  EnShares *shares = data;
  int64_t now_us = ck_boot_us ();

  if (en_reports_touch (shares->reports, gossip_address, now_us))
    en_reports_send_to (shares->reports, gossip_address, NULL, now_us);
}

static void
on_members_current (int64_t asked_us, void *data)
{
  EnShares *shares = data;

  (void)asked_us;
  shares->has_members = TRUE;
  divide (shares, ck_boot_us ());
}

static const PfEvents member_events
    = { .on_member = on_member, .on_current = on_members_current };

static void
make_parts (EnShares *shares)
{
  const EnSharesOptions *options = &shares->options;
  const EnSettings *settings = options->settings;
  int64_t started_us = ck_boot_us ();
  int64_t started_ms = ck_wall_ms ();

  shares->fleet = fl_new (&(FlOptions){ .name = settings->vm,
                                        .zone = settings->zone,
                                        .region = settings->region,
                                        .started_us = started_us });
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
                        .limits = shares->limits,
                        .started_us = started_us });
  shares->reports
      = en_reports_new (&(EnReportsOptions){ .settings = settings,
                                             .fleet = shares->fleet,
                                             .gossip = shares->gossip,
                                             .limits = shares->limits,
                                             .started_ms = started_ms,
                                             .is_ready = options->is_ready,
                                             .data = options->data });
  shares->budget = lm_budget_new (&(LmBudgetOptions){ .window_us = 1 });
}

EnShares *
en_shares_new (const EnSharesOptions *options, GError **error)
{
  const EnSettings *settings = options->settings;
  EnShares *shares = g_new0 (EnShares, 1);
  struct timeval interval = { REPORT_MS / 1000, REPORT_MS % 1000 * 1000 };
  GoOptions gossip = { .base = options->base,
                       .listen = settings->gossip_listen,
                       .on_report = on_report,
                       .on_news = on_news,
                       .on_stamp = on_stamp,
                       .on_confirmation = on_confirmation,
                       .on_ask = on_ask,
                       .on_answer = on_answer,
                       .data = shares };
  PfFeedOptions members = { .kind = PF_FEED_MEMBERS,
                            .wait_ms = MEMBERS_WAIT_MS,
                            .retry_max_ms = MEMBERS_RETRY_MAX_MS,
                            .events = &member_events,
                            .data = shares };
  PfMemberOptions member = { .vm = settings->vm,
                             .gossip_address = settings->gossip_listen,
                             .lease_ms = MEMBER_LEASE_MS,
                             .renew_ms = MEMBER_RENEW_MS };

  shares->options = *options;
  shares->gossip = go_new (&gossip, error);
  if (shares->gossip == NULL)
    {
      g_free (shares);
      return NULL;
    }
  make_parts (shares);
  shares->timer = event_new (options->base, -1, EV_PERSIST, on_timer, shares);
  event_add (shares->timer, &interval);
  shares->members = pf_feed_new (options->store, &members);
  shares->member = pf_member_new (options->store, &member);
  divide (shares, ck_boot_us ());
  return shares;
}

void
en_shares_free (EnShares *shares)
{
  if (shares == NULL)
    return;
  pf_member_free (shares->member);
  pf_feed_free (shares->members);
  event_free (shares->timer);
  en_reports_free (shares->reports);
  lm_budget_free (shares->budget);
  lm_free (shares->limits);
  en_pool_free (shares->pool);
  en_relay_free (shares->relay);
  fl_free (shares->fleet);
  go_free (shares->gossip);
  g_free (shares);
}

void
en_shares_announce (EnShares *shares)
{
  if (!en_reports_are_true (shares->reports))
    en_reports_send (shares->reports, ck_boot_us ());
}

EnPool *
en_shares_pool (const EnShares *shares)
{
  return shares->pool;
}

EnRelay *
en_shares_relay (const EnShares *shares)
{
  return shares->relay;
}

void
en_shares_stop (EnShares *shares)
{
  en_reports_stop (shares->reports);
  en_reports_send (shares->reports, ck_boot_us ());
}

typedef struct
{
  EnShares *shares;
  GPtrArray *names;
} Setting;

static void
set_limit (const RtCustomer *customer, void *data)
{
  Setting *setting = data;

  lm_set (setting->shares->limits, customer->name, customer->rate_per_s,
          customer->burst_count, ck_boot_us ());
  g_ptr_array_add (setting->names, (gpointer)customer->name);
}

void
en_shares_set_config (EnShares *shares, const RtConfig *config)
{
  g_autoptr (GPtrArray) names = g_ptr_array_new ();
  Setting setting = { shares, names };

  en_reports_set_config (shares->reports, rt_version (config));
  rt_each_customer (config, set_limit, &setting);
  g_ptr_array_add (names, NULL);
  en_pool_set_customers (shares->pool, (const char *const *)names->pdata);
  lm_sweep (shares->limits);
  divide (shares, ck_boot_us ());
}

gboolean
en_shares_is_known (const EnShares *shares)
{
  return shares->has_members;
}

LmTable *
en_shares_limits (const EnShares *shares)
{
  return shares->limits;
}

LmBudget *
en_shares_budget (const EnShares *shares)
{
  return shares->budget;
}

const FlFleet *
en_shares_fleet (const EnShares *shares)
{
  return shares->fleet;
}
