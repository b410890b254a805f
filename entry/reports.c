#include "entry/reports.h"

#include <string.h>

/* A customer asked for less, on average over the time of a demand, is left out
   of reports.  */
#define DEMAND_MIN_PER_S 0.01
/* An address that nobody answered from is dropped; a member that comes back
   reports by itself.  */
#define ADDRESS_KEEP_US ((int64_t)60000000)

struct EnReports
{
  EnReportsOptions options;
  GHashTable *addresses; /* to int64_t, when it was last heard of */
  GArray *demands;       /* FlDemand of the next report */
  uint64_t config_version;
  gboolean ready; /* as last reported */
  gboolean stopping;
};

typedef enum
{
  TO_OWN_ZONE,
  TO_OTHERS,
} Audience;

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
en_reports_touch (EnReports *reports, const char *address, int64_t now_us)
{
  int64_t *heard_us = g_hash_table_lookup (reports->addresses, address);

  if (strcmp (address, reports->options.settings->gossip_listen) == 0)
    return FALSE;
  if (heard_us == NULL)
    {
      heard_us = g_new (int64_t, 1);
      g_hash_table_insert (reports->addresses, g_strdup (address), heard_us);
    }
  *heard_us = now_us;
  return TRUE;
}

static gboolean
is_old_address (gpointer address, gpointer value, gpointer data)
{
  const int64_t *heard_us = value;
  const int64_t *now_us = data;

  (void)address;
  return *now_us - *heard_us > ADDRESS_KEEP_US;
}

uint32_t
en_reports_count (EnReports *reports, int64_t now_us)
{
  g_hash_table_foreach_remove (reports->addresses, is_old_address, &now_us);
  return g_hash_table_size (reports->addresses);
}

typedef struct
{
  EnReports *reports;
  int64_t now_us;
  gboolean for_zone; /* sum up the zone */
} Visit;

static void
add_demand (const char *customer, void *data)
{
  Visit *visit = data;
  const EnReportsOptions *options = &visit->reports->options;
  FlDemand demand = {
    .customer_id = fl_customer_id (customer),
    .per_s = lm_demand (options->limits, customer, visit->now_us),
  };

  if (visit->for_zone)
    demand.per_s += fl_demand_in_zone (options->fleet, demand.customer_id,
                                       visit->now_us);
  if (demand.per_s >= DEMAND_MIN_PER_S)
    g_array_append_val (visit->reports->demands, demand);
}

static FlReport
make_report (EnReports *reports, Audience audience, int64_t now_us)
{
  const EnReportsOptions *options = &reports->options;
  const EnSettings *settings = options->settings;
  FlSpeaker speaker = fl_speaker (options->fleet, now_us);
  Visit visit
      = { .reports = reports,
          .now_us = now_us,
          .for_zone = audience == TO_OTHERS && speaker == FL_SPEAKER_SELF };

  reports->ready = options->is_ready (options->data);
  g_array_set_size (reports->demands, 0);
  if (audience == TO_OWN_ZONE || speaker != FL_SPEAKER_OTHER)
    lm_each (options->limits, add_demand, &visit);
  return (FlReport){
    .name = settings->vm,
    .started_ms = options->started_ms,
    .zone = settings->zone,
    .region = settings->region,
    .front_address = settings->front_listen,
    .gossip_address = settings->gossip_listen,
    .ready = reports->ready,
    .stopping = reports->stopping,
    .speaks_for_zone = speaker == FL_SPEAKER_SELF,
    .config_version = reports->config_version,
    .demands = (const FlDemand *)reports->demands->data,
    .demand_count = reports->demands->len,
  };
}

typedef struct
{
  const char *zone;
  GHashTable *addresses; /* of the daemons of ZONE */
} Neighbours;

static void
collect_neighbour (const FlMember *member, void *data)
{
  Neighbours *neighbours = data;

  if (strcmp (member->zone, neighbours->zone) == 0)
    g_hash_table_add (neighbours->addresses, (gpointer)member->gossip_address);
}

static void
send_all (EnReports *reports, Audience audience, GHashTable *neighbours,
          int64_t now_us)
{
  FlReport report = make_report (reports, audience, now_us);
  GHashTableIter addresses;
  gpointer address;

  g_hash_table_iter_init (&addresses, reports->addresses);
  while (g_hash_table_iter_next (&addresses, &address, NULL))
    if (g_hash_table_contains (neighbours, address)
        == (audience == TO_OWN_ZONE))
      go_send (reports->options.gossip, address, &report);
}

void
en_reports_send (EnReports *reports, int64_t now_us)
{
  g_autoptr (GHashTable) addresses
      = g_hash_table_new (g_str_hash, g_str_equal);
  Neighbours neighbours = { reports->options.settings->zone, addresses };

  fl_each (reports->options.fleet, collect_neighbour, &neighbours);
  send_all (reports, TO_OWN_ZONE, addresses, now_us);
  send_all (reports, TO_OTHERS, addresses, now_us);
}

void
en_reports_send_to (EnReports *reports, const char *address, const char *zone,
                    int64_t now_us)
{
  gboolean is_own
      = zone != NULL && strcmp (zone, reports->options.settings->zone) == 0;
  FlReport report
      = make_report (reports, is_own ? TO_OWN_ZONE : TO_OTHERS, now_us);

  go_send (reports->options.gossip, address, &report);
}

gboolean
en_reports_are_true (const EnReports *reports)
{
  return reports->ready == reports->options.is_ready (reports->options.data);
}

void
en_reports_set_config (EnReports *reports, uint64_t version)
{
  reports->config_version = version;
}

void
en_reports_stop (EnReports *reports)
{
  reports->stopping = TRUE;
}
