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
};

typedef enum
{
  RECIPIENTS_SAME_ZONE,
  RECIPIENTS_OTHER_ZONES,
} Recipients;

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
make_report (EnReports *reports, Recipients recipients, int64_t now_us)
{
  const EnReportsOptions *options = &reports->options;
  const EnSettings *settings = options->settings;
  FlZoneLeader zone_leader = fl_zone_leader (options->fleet, now_us);
  DemandSum sum = { .reports = reports,
                    .now_us = now_us,
                    .of_zone = recipients == RECIPIENTS_OTHER_ZONES
                               && zone_leader == FL_ZONE_LEADER_SELF };

  reports->ready = options->is_ready (options->data);
  g_array_set_size (reports->demands, 0);
  if (recipients == RECIPIENTS_SAME_ZONE
      || zone_leader != FL_ZONE_LEADER_OTHER)
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
    .config_version = reports->config_version,
    .demands = (const FlDemand *)reports->demands->data,
    .demand_count = reports->demands->len,
  };
}

typedef struct
{
  const char *zone;
  GHashTable *addresses; /* of the daemons of ZONE */
} ZoneAddresses;

static void
add_zone_address (const FlMember *member, void *data)
{
  ZoneAddresses *zone_addresses = data;

  if (strcmp (member->zone, zone_addresses->zone) == 0)
    g_hash_table_add (zone_addresses->addresses,
                      (gpointer)member->gossip_address);
}

static void
send_to_recipients (EnReports *reports, Recipients recipients,
                    GHashTable *zone_addresses, int64_t now_us)
{
  FlReport report = make_report (reports, recipients, now_us);
  GHashTableIter addresses;
  gpointer address;

  g_hash_table_iter_init (&addresses, reports->addresses);
  while (g_hash_table_iter_next (&addresses, &address, NULL))
    if (g_hash_table_contains (zone_addresses, address)
        == (recipients == RECIPIENTS_SAME_ZONE))
      go_send_report (reports->options.gossip, address, &report);
}

void
en_reports_send (EnReports *reports, int64_t now_us)
{
  g_autoptr (GHashTable) addresses
      = g_hash_table_new (g_str_hash, g_str_equal);
  ZoneAddresses zone_addresses
      = { reports->options.settings->zone, addresses };

  fl_each_member (reports->options.fleet, add_zone_address, &zone_addresses);
  send_to_recipients (reports, RECIPIENTS_SAME_ZONE, addresses, now_us);
  send_to_recipients (reports, RECIPIENTS_OTHER_ZONES, addresses, now_us);
}

void
en_reports_send_to (EnReports *reports, const char *address, const char *zone,
                    int64_t now_us)
{
  gboolean is_same_zone
      = zone != NULL && strcmp (zone, reports->options.settings->zone) == 0;
  FlReport report = make_report (
      reports, is_same_zone ? RECIPIENTS_SAME_ZONE : RECIPIENTS_OTHER_ZONES,
      now_us);

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
