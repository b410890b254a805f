#include "entry/reports.h"

#include <string.h>

/* Customers with a lower average demand, see lm_demand, are left out of
   reports.  */
#define DEMAND_MIN_PER_S 0.01
/* Addresses that were not noted for this long are dropped; a member that comes
   back sends a report itself.  */
#define ADDRESS_TTL_US ((int64_t)60000000)

struct EnReports
{
  EnReportsOptions options;
  GHashTable *addresses; /* to int64_t, when it was last noted */
  GArray *demands;       /* FlDemand of the next report */
  uint64_t config_version;
  gboolean ready; /* as in the last report */
  gboolean stopping;
  uint32_t interval_count; /* report intervals since the start */
};

/* What a report to an address depends on.  An address of which no report was
   received counts as one of another zone.  */
typedef struct
{
  gboolean is_same_zone;
  uint32_t intervals; /* from one report to the next */
} Recipient;

EnReports *
en_reports_new (const EnReportsOptions *options)
{
  EnReports *reports = g_new0 (EnReports, 1);

  reports->options = *options;
  reports->demands = g_array_new (FALSE, FALSE, sizeof (FlDemand));
  reports->addresses
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return reports;
}

void
en_reports_free (EnReports *reports)
{
  if (reports == NULL)
    return;
  g_hash_table_unref (reports->addresses);
  g_array_unref (reports->demands);
  g_free (reports);
}

gboolean
en_reports_note_address (EnReports *reports, const char *address,
                         int64_t now_us)
{
  int64_t *noted_us = g_hash_table_lookup (reports->addresses, address);

  if (strcmp (address, reports->options.settings->gossip_listen) == 0)
    return FALSE;
  if (noted_us == NULL)
    {
      noted_us = g_new (int64_t, 1);
      g_hash_table_insert (reports->addresses, g_strdup (address), noted_us);
    }
  *noted_us = now_us;
  return TRUE;
}

static gboolean
is_expired_address (gpointer address, gpointer value, gpointer data)
{
  const int64_t *noted_us = value;
  const int64_t *now_us = data;

  (void)address;
  return *now_us - *noted_us > ADDRESS_TTL_US;
}

uint32_t
en_reports_address_count (EnReports *reports, int64_t now_us)
{
  g_hash_table_foreach_remove (reports->addresses, is_expired_address,
                               &now_us);
  return g_hash_table_size (reports->addresses);
}

typedef struct
{
  EnReports *reports;
  int64_t now_us;
  gboolean of_zone; /* sum of the zone, not of this daemon alone */
} DemandSum;

static void
add_demand (const char *customer, void *data)
{
  DemandSum *sum = data;
  const EnReportsOptions *options = &sum->reports->options;
  FlDemand demand = {
    .customer_id = fl_customer_id (customer),
    .requests_per_s = lm_demand (options->limits, customer, sum->now_us),
  };

  if (sum->of_zone)
    demand.requests_per_s
        += fl_demand_in_zone (options->fleet, demand.customer_id, sum->now_us);
  if (demand.requests_per_s >= DEMAND_MIN_PER_S)
    g_array_append_val (sum->reports->demands, demand);
}

/* Only the zone leader, if there is one, reports demand to other zones.  */
static FlReport
make_report (EnReports *reports, const Recipient *recipient, int64_t now_us)
{
  const EnReportsOptions *options = &reports->options;
  const EnSettings *settings = options->settings;
  FlZoneLeader zone_leader = fl_zone_leader (options->fleet, now_us);
  DemandSum sum = { .reports = reports,
                    .now_us = now_us,
                    .of_zone = !recipient->is_same_zone
                               && zone_leader == FL_ZONE_LEADER_SELF };

  reports->ready = options->is_ready (options->data);
  g_array_set_size (reports->demands, 0);
  if (recipient->is_same_zone || zone_leader != FL_ZONE_LEADER_OTHER)
    lm_each_customer (options->limits, add_demand, &sum);
  return (FlReport){
    .name = settings->vm,
    .started_ms = options->started_ms,
    .zone = settings->zone,
    .region = settings->region,
    .front_address = settings->front_listen,
    .gossip_address = settings->gossip_listen,
    .ready = reports->ready,
    .stopping = reports->stopping,
    .is_zone_leader = zone_leader == FL_ZONE_LEADER_SELF,
    .interval_us = recipient->intervals * FL_REPORT_INTERVAL_US,
    .config_version = reports->config_version,
    .link_mbps = settings->link_mbps,
    .cpu_permille = settings->cpu_permille,
    .demands = (const FlDemand *)reports->demands->data,
    .demand_count = reports->demands->len,
  };
}

/* Data of the callback of fl_each_member.  */
typedef struct
{
  const EnReports *reports;
  GHashTable *recipients; /* address to Recipient */
  int64_t now_us;
} RecipientSearch;

static void
add_recipient (const FlMember *member, void *data)
{
  RecipientSearch *search = data;
  const EnReportsOptions *options = &search->reports->options;
  Recipient *recipient = g_new0 (Recipient, 1);

  recipient->is_same_zone
      = strcmp (member->zone, options->settings->zone) == 0;
  recipient->intervals
      = fl_intervals_to (options->fleet, member, search->now_us);
  g_hash_table_replace (search->recipients, (gpointer)member->gossip_address,
                        recipient);
}

static gboolean
is_due (const EnReports *reports, const Recipient *recipient)
{
  return reports->interval_count % recipient->intervals == 0;
}

/* Sends to the addresses of one kind of recipient.  */
static void
send_to_recipients (EnReports *reports, GHashTable *recipients,
                    const Recipient *kind, int64_t now_us)
{
  static const Recipient unknown = { .intervals = 1 };
  FlReport report = make_report (reports, kind, now_us);
  GHashTableIter addresses;
  gpointer address;

  g_hash_table_iter_init (&addresses, reports->addresses);
  while (g_hash_table_iter_next (&addresses, &address, NULL))
    {
      const Recipient *recipient = g_hash_table_lookup (recipients, address);
      if (recipient == NULL)
        recipient = &unknown;
      if (recipient->is_same_zone == kind->is_same_zone
          && recipient->intervals == kind->intervals)
        go_send_report (reports->options.gossip, address, &report);
    }
}

static void
send_reports (EnReports *reports, gboolean only_due, int64_t now_us)
{
  g_autoptr (GHashTable) recipients
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, g_free);
  RecipientSearch search = { reports, recipients, now_us };

  fl_each_member (reports->options.fleet, add_recipient, &search);
  send_to_recipients (reports, recipients,
                      &(Recipient){ .is_same_zone = TRUE, .intervals = 1 },
                      now_us);
  for (uint32_t i = 1; i <= FL_REMOTE_INTERVALS_MAX; i++)
    {
      Recipient kind = { .intervals = i };
      if (!only_due || is_due (reports, &kind))
        send_to_recipients (reports, recipients, &kind, now_us);
    }
}

void
en_reports_send (EnReports *reports, int64_t now_us)
{
  send_reports (reports, FALSE, now_us);
}

void
en_reports_send_due (EnReports *reports, int64_t now_us)
{
  reports->interval_count++;
  send_reports (reports, TRUE, now_us);
}

void
en_reports_send_to (EnReports *reports, const char *address, const char *zone,
                    int64_t now_us)
{
  Recipient recipient
      = { .is_same_zone
          = zone != NULL
            && strcmp (zone, reports->options.settings->zone) == 0,
          .intervals = FL_REMOTE_INTERVALS_MAX };
  FlReport report = make_report (reports, &recipient, now_us);

  go_send_report (reports->options.gossip, address, &report);
}

gboolean
en_reports_are_current (const EnReports *reports)
{
  return reports->ready == reports->options.is_ready (reports->options.data);
}

void
en_reports_set_config_version (EnReports *reports, uint64_t version)
{
  reports->config_version = version;
}

void
en_reports_set_stopping (EnReports *reports)
{
  reports->stopping = TRUE;
}
