#include <stdio.h>
#include <unistd.h>

#include "daemon/daemon.h"

static const struct
{
  size_t offset;
  const char *name;
  const char *help;
} counters[] = {
  { offsetof (DmMetrics, requests), "requests_total",
    "Requests of callers, look-ups excluded" },
  { offsetof (DmMetrics, lookups), "lookups_total", "Look-ups" },
  { offsetof (DmMetrics, answered), "requests_answered_total",
    "Requests that got a whole answer of a target" },
  { offsetof (DmMetrics, refused), "requests_refused_total",
    "Requests refused that did not run" },
  { offsetof (DmMetrics, refused_rate), "requests_refused_rate_total",
    "Requests refused for the customer's rate" },
  { offsetof (DmMetrics, refused_stale), "requests_refused_stale_total",
    "Requests refused because the configuration was not confirmed" },
  { offsetof (DmMetrics, refused_capacity), "requests_refused_capacity_total",
    "Requests refused for lack of a target or slot" },
  { offsetof (DmMetrics, unknown), "requests_unknown_total",
    "Requests whose outcome is unknown" },
  { offsetof (DmMetrics, retries), "requests_retried_total",
    "Retries out of the retry budget" },
  { offsetof (DmMetrics, cancelled), "requests_cancelled_total",
    "Requests whose caller closed the connection" },
  { offsetof (DmMetrics, borrowed_slots), "slots_borrowed_total",
    "Slots borrowed from other daemons" },
  { offsetof (DmMetrics, control_cpu), "control_cpu_us_total",
    "Processor time for everything but callers' requests" },
  { offsetof (DmMetrics, config_version), "config_version",
    "Configuration version in force" },
  { offsetof (DmMetrics, config_apply_ms), "config_apply_ms",
    "Time to take over the version in force" },
  { offsetof (DmMetrics, resident_bytes), "resident_bytes",
    "Resident memory" },
  { offsetof (DmMetrics, store_reads), "store_reads_total",
    "Reads of the store" },
  { offsetof (DmMetrics, store_writes), "store_writes_total",
    "Writes to the store" },
  { offsetof (DmMetrics, store_watches), "store_watches_total",
    "Watches of the store, counted each time one is armed" },
  { offsetof (DmMetrics, peers_open), "peer_connections_open",
    "Connections that other daemons opened" },
  { offsetof (DmMetrics, peers_limited), "peer_connections_limited_total",
    "Connections of other daemons refused or closed by a limit" },
};

static MtCounter **
counter_at (DmDaemon *daemon, size_t offset)
{
  return (MtCounter **)((char *)&daemon->metrics + offset);
}

void
dm_metrics_register (DmDaemon *daemon)
{
  for (size_t i = 0; i < G_N_ELEMENTS (counters); i++)
    *counter_at (daemon, counters[i].offset)
        = mt_counter (daemon->registry, counters[i].name, counters[i].help);
  daemon->metrics.latency = mt_histogram (
      daemon->registry, "request_latency_us", "From arrival to answer");
  daemon->metrics.added_latency
      = mt_histogram (daemon->registry, "request_added_us",
                      "Time added to that of the target");
  daemon->metrics.queue_wait = mt_histogram (daemon->registry, "queue_wait_us",
                                             "Time spent waiting for a slot");
}

static int64_t
resident_bytes (void)
{
  FILE *file = fopen ("/proc/self/statm", "re");
  long pages = 0;

  if (file == NULL)
    return 0;
  if (fscanf (file, "%*s %ld", &pages) != 1)
    pages = 0;
  fclose (file);
  return (int64_t)pages * sysconf (_SC_PAGESIZE);
}

static uint64_t
count_limited_peers (const DmDaemon *daemon)
{
  const MmHolderCounters *counters = pr_accepted_counters (daemon->net);
  uint64_t limited_count = counters->closed_count + counters->displaced_count;

  for (guint i = 0; i < MM_REFUSAL_COUNT; i++)
    limited_count += counters->refused_counts[i];
  return limited_count;
}

void
dm_status_tick (DmDaemon *daemon, int64_t now_us)
{
  uint64_t limited_count = count_limited_peers (daemon);

  if (limited_count == daemon->logged_limited_count
      || now_us < daemon->next_limited_log_us)
    return;
  dm_record_detail (daemon, EV_CONNECTIONS_LIMITED,
                    "peers: %u open, %" G_GUINT64_FORMAT
                    " refused or closed for others",
                    pr_accepted_counters (daemon->net)->count,
                    limited_count - daemon->logged_limited_count);
  daemon->logged_limited_count = limited_count;
  daemon->next_limited_log_us
      = now_us + EN_CONNECTIONS_LOG_INTERVAL_S * CK_US_PER_S;
}

void
dm_metrics_update (DmDaemon *daemon)
{
  mt_set (daemon->metrics.resident_bytes, resident_bytes ());
  mt_set (daemon->metrics.store_reads, (int64_t)daemon->store->read_count);
  mt_set (daemon->metrics.store_writes, (int64_t)daemon->store->write_count);
  mt_set (daemon->metrics.store_watches, (int64_t)daemon->store->watch_count);
  mt_set (daemon->metrics.peers_open,
          pr_accepted_counters (daemon->net)->count);
  mt_set (daemon->metrics.peers_limited,
          (int64_t)count_limited_peers (daemon));
  en_connections_update_metrics (daemon->connections);
}

static void
write_metrics (GString *out, void *data)
{
  DmDaemon *daemon = data;
  g_autofree char *text = NULL;

  dm_metrics_update (daemon);
  text = mt_format (daemon->registry);
  g_string_append (out, text);
}

static void
fill_lease (DmDaemon *daemon, AdStatus *status, int64_t now_us)
{
  gboolean active = ls_active (daemon->lease, now_us);

  status->lease_state = active ? "active" : "lapsed";
  if (daemon->incarnation == 0)
    status->lease_state = "none";
  status->lease_successor = ls_own_record (daemon->lease)->successor;
  status->lease_left_ms
      = MAX (0, (ls_active_until_us (daemon->lease) - now_us) / CK_US_PER_MS);
  status->base_left_ms
      = MAX (0, (ls_base_until_us (daemon->lease) - now_us) / CK_US_PER_MS);
  status->base_weight
      = daemon->share.base == UINT32_MAX ? 0 : daemon->share.base;
  status->flex_weight
      = daemon->share.flex == UINT32_MAX ? 0 : daemon->share.flex;
}

static void
fill_members (DmDaemon *daemon, AdStatus *status, int64_t now_us)
{
  const MbMember *members[DM_VMS_MAX];
  uint32_t count
      = mb_live_members (daemon->members, now_us, members, DM_VMS_MAX);

  for (uint32_t i = 0; i < count; i++)
    {
      const AsMember *entry
          = daemon->assign == NULL
                ? NULL
                : as_find_member (daemon->assign, members[i]->vm);
      AdMember row = { .vm = members[i]->vm,
                       .zone = members[i]->zone,
                       .region = members[i]->region,
                       .state = members[i]->leaving ? "leaving" : "live",
                       .config_version = members[i]->config_version,
                       .load_permille = members[i]->load_permille,
                       .base_weight = entry == NULL ? 0 : entry->base,
                       .flex_weight = entry == NULL ? 0 : entry->flex };
      g_array_append_val (status->members, row);
    }
  for (guint i = 0; daemon->assign != NULL && i < daemon->assign->members->len;
       i++)
    {
      const AsMember *entry = g_ptr_array_index (daemon->assign->members, i);
      const MbMember *member
          = mb_find_member (daemon->members, entry->vm, now_us);
      AdMember row = { .vm = entry->vm,
                       .zone = entry->zone,
                       .region = "",
                       .state = "lost",
                       .age_ms = -1,
                       .base_weight = entry->base,
                       .flex_weight = entry->flex };

      if (member != NULL && member->live)
        continue;
      if (g_hash_table_contains (daemon->fenced, entry->vm))
        row.state = "fenced";
      g_array_append_val (status->members, row);
    }
}

static void
fill_slots (DmDaemon *daemon, const DmService *service, AdStatus *status,
            int64_t now_us)
{
  const AsMember *own
      = daemon->assign == NULL
            ? NULL
            : as_find_member (daemon->assign, daemon->settings->vm);

  for (guint i = 0; i < service->targets->len; i++)
    {
      const DmTarget *target = g_ptr_array_index (service->targets, i);
      const AsSlot *slot
          = own == NULL ? NULL : as_find_slot (own, target->name);
      SlState state = sl_state (daemon->slots, target->name, now_us);
      AdTargetSlots row = { .target = target->name,
                            .service = service->name,
                            .used_slots = state.in_use_count,
                            .limit_slots = state.limit_count,
                            .healthy = target->listed && target->healthy,
                            .draining = target->draining || target->leaving,
                            .warm_permille = target->warm_permille };

      if (slot != NULL)
        {
          row.base_slots = slot->base;
          row.flex_slots = slot->flex;
        }
      g_array_append_val (status->slots, row);
    }
}

static void
add_service_headroom (DmDaemon *daemon, DmService *service, AdStatus *status,
                      int64_t now_us)
{
  DmView view;

  dm_view_fill (daemon, service, &view, now_us);
  for (uint32_t i = 0; i < view.view.region_count; i++)
    {
      SrHeadroom headroom = sr_region_headroom (&view.view, i);
      AdHeadroom *row = NULL;
      AdHeadroom new_row = { .region = view.view.regions[i].name };

      for (guint r = 0; r < status->headroom->len && row == NULL; r++)
        if (strcmp (g_array_index (status->headroom, AdHeadroom, r).region,
                    new_row.region)
            == 0)
          row = &g_array_index (status->headroom, AdHeadroom, r);
      if (row == NULL)
        {
          g_array_append_val (status->headroom, new_row);
          row = &g_array_index (status->headroom, AdHeadroom,
                                status->headroom->len - 1);
        }
      row->total_slots += headroom.slot_count;
      row->free_slots += headroom.free_count;
      if (row->total_slots > 0)
        row->headroom_permille = row->free_slots * 1000 / row->total_slots;
    }
  dm_view_clear (&view);
}

static void
fill_status (AdStatus *status, void *data)
{
  DmDaemon *daemon = data;
  int64_t now_us = ck_boot_us ();
  GHashTableIter iter;
  void *value;

  status->vm = daemon->settings->vm;
  status->zone = daemon->settings->zone;
  status->region = daemon->settings->region;
  status->incarnation = daemon->incarnation;
  /* While the store is down no share can be assigned, and the daemon serves
     with borrowed tokens and slots.  */
  status->ready
      = dm_is_ready (daemon) && dm_is_fresh (daemon, now_us)
        && (!daemon->store_up || dm_shares_assigned (daemon, now_us));
  status->draining = daemon->draining;
  status->config_version = MAX (daemon->latest_config_version,
                                mb_latest_config_version (daemon->members));
  status->config_in_force
      = daemon->config != NULL
        && daemon->config->version == status->config_version;
  status->config_fresh = dm_is_fresh (daemon, now_us);
  status->config_age_ms
      = daemon->config_confirmed_us == 0
            ? -1
            : (now_us - daemon->config_confirmed_us) / CK_US_PER_MS;
  status->store_up = daemon->store_up;
  fill_lease (daemon, status, now_us);
  fill_members (daemon, status, now_us);
  if (daemon->config == NULL)
    return;
  g_hash_table_iter_init (&iter, daemon->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      fill_slots (daemon, value, status, now_us);
      add_service_headroom (daemon, value, status, now_us);
    }
}

static const EvRing *
get_events (void *data)
{
  return ((DmDaemon *)data)->ring;
}

static CfConfig *
get_config (void *data)
{
  DmDaemon *daemon = data;

  return daemon->config == NULL ? NULL : cf_ref (daemon->config);
}

const AdCallbacks dm_admin_class = {
  .metrics = write_metrics,
  .status = fill_status,
  .events = get_events,
  .config = get_config,
  .write = dm_config_write,
  .operation = dm_config_find_operation,
  .where = dm_where,
};
