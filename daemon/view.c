#include "daemon/daemon.h"

/* Delay between zones of a region; the configuration has no field for it.  */
#define INTRA_REGION_DELAY_US 1000
/* A slot request shows in the holder's report after about this time.  */
#define REPORT_LAG_US (200 * CK_US_PER_MS)

static uint32_t
link_delay_us (const DmDaemon *daemon, const char *from, const char *to)
{
  const CfLink *link = cf_find_link (daemon->config, from, to);

  return link == NULL ? INTRA_REGION_DELAY_US : link->delay_us;
}

/* Bytes available on the link from REGION to the daemon's region, the way that
   responses travel.  */
static int64_t
available_link_bytes (DmDaemon *daemon, const char *region, int64_t now_us)
{
  const char *own = daemon->settings->region;

  if (strcmp (region, own) == 0
      || cf_find_link (daemon->config, region, own) == NULL)
    return INT64_MAX;
  return qt_available_utok (daemon->quotas, dm_quota_id ("link", region, own),
                            now_us);
}

static void
fill_regions (DmDaemon *daemon, DmView *view, int64_t now_us)
{
  const char *own = daemon->settings->region;

  for (guint i = 0; i < daemon->config->regions->len; i++)
    {
      const CfRegion *region = g_ptr_array_index (daemon->config->regions, i);
      SrRegion row = { .name = region->name };

      row.delay_us = strcmp (region->name, own) == 0
                         ? 0
                         : link_delay_us (daemon, own, region->name);
      row.link_bytes = available_link_bytes (daemon, region->name, now_us);
      g_array_append_val (view->regions, row);
      for (guint z = 0; z < region->zones->len; z++)
        {
          SrZone zone
              = { .name = g_ptr_array_index (region->zones, z), .region = i };
          gboolean is_own = strcmp (zone.name, daemon->settings->zone) == 0;

          zone.delay_us
              = is_own ? 0 : MAX (row.delay_us, INTRA_REGION_DELAY_US);
          if (is_own)
            view->view.own_zone = view->zones->len;
          g_array_append_val (view->zones, zone);
        }
    }
}

static uint32_t
zone_index (const DmView *view, const char *name)
{
  for (guint i = 0; i < view->zones->len; i++)
    if (strcmp (g_array_index (view->zones, SrZone, i).name, name) == 0)
      return i;
  return SR_NONE;
}

/* Adds the holders of TARGET as lenders.  Only the last report of a target is
   known, whichever holder sent it; its free slots, less those requested since,
   are attributed to the first holder.  */
static void
add_lenders (DmDaemon *daemon, DmTarget *target, SrTarget *row, DmView *view,
             int64_t now_us)
{
  MbTargetState state;
  int64_t age_us = 0;
  uint32_t free_count = 0;

  if (target->holders->len == 0 || now_us < target->borrow_paused_until_us)
    return;
  if (mb_target_state (daemon->members, target->name, now_us, &state, &age_us))
    {
      if (now_us - target->slot_requested_us > REPORT_LAG_US)
        target->requested_slot_count = 0;
      free_count = state.free_slots;
      row->in_use_count
          += state.held_slots - MIN (state.held_slots, state.free_slots);
    }
  free_count -= MIN (free_count, target->requested_slot_count);
  row->lender_count = target->holders->len;
  for (guint i = 0; i < target->holders->len; i++)
    {
      SrLender lender = { .vm = g_ptr_array_index (target->holders, i),
                          .free_count = i == 0 ? free_count : 0,
                          .age_ms = (uint32_t)(age_us / CK_US_PER_MS) };
      g_array_append_val (view->lenders, lender);
    }
}

static void
add_target (DmDaemon *daemon, DmTarget *target, DmView *view, int64_t now_us)
{
  SlState state = sl_state (daemon->slots, target->name, now_us);
  SrTarget row = {
    .name = target->name,
    .zone = zone_index (view, target->zone),
    .healthy = target->listed && target->healthy,
    .draining = target->draining || target->leaving,
    .slot_count = SL_TARGET_SLOTS,
    .limit_count = state.limit_count,
    .own_free_count = state.free_count,
    .in_use_count = state.in_use_count + state.borrowed_count,
    .warm_permille = target->warm_permille,
    .reported_running = target->reported_running,
    .reported_age_ms
    = (uint32_t)MIN ((now_us - target->reported_us) / CK_US_PER_MS, 60000),
    .latency_us = target->latency_us,
    .shed_permille = target->shed_permille,
  };

  /* A target in an unknown zone is added too, so that indexes are the same as
     in the service's array.  */
  if (row.zone == SR_NONE)
    {
      row.zone = view->view.own_zone;
      row.healthy = FALSE;
    }
  add_lenders (daemon, target, &row, view, now_us);
  g_array_append_val (view->targets, row);
}

static uint32_t
region_index (const DmDaemon *daemon, const char *name)
{
  for (guint i = 0; i < daemon->config->regions->len; i++)
    if (strcmp (
            ((const CfRegion *)g_ptr_array_index (daemon->config->regions, i))
                ->name,
            name)
        == 0)
      return i;
  return SR_NONE;
}

static void
fill_shifts (DmDaemon *daemon, const DmService *service, DmView *view)
{
  for (guint i = 0; i < daemon->config->shifts->len; i++)
    {
      const CfShift *shift = g_ptr_array_index (daemon->config->shifts, i);
      uint32_t permille
          = g_array_index (daemon->shift_shares, PlShare, i).permille;
      SrShift row = { region_index (daemon, shift->from),
                      region_index (daemon, shift->to), permille };

      if (permille == 0 || strcmp (shift->service, service->name) != 0
          || strcmp (shift->from, daemon->settings->region) != 0)
        continue;
      g_array_append_val (view->shifts, row);
      g_array_append_val (view->shift_index, i);
    }
}

/* Called once the array of lenders is complete, since it may be reallocated
   while it grows.  */
static void
set_lender_pointers (DmView *view)
{
  const SrLender *lender = (const SrLender *)view->lenders->data;

  for (guint i = 0; i < view->targets->len; i++)
    {
      SrTarget *row = &g_array_index (view->targets, SrTarget, i);
      row->lenders = lender;
      lender += row->lender_count;
    }
}

void
dm_view_fill (DmDaemon *daemon, DmService *service, DmView *view,
              int64_t now_us)
{
  *view = (DmView){ 0 };
  view->regions = g_array_new (FALSE, FALSE, sizeof (SrRegion));
  view->zones = g_array_new (FALSE, FALSE, sizeof (SrZone));
  view->targets = g_array_new (FALSE, FALSE, sizeof (SrTarget));
  view->lenders = g_array_new (FALSE, FALSE, sizeof (SrLender));
  view->shifts = g_array_new (FALSE, FALSE, sizeof (SrShift));
  view->shift_index = g_array_new (FALSE, FALSE, sizeof (guint));
  fill_regions (daemon, view, now_us);
  if (service != NULL)
    {
      for (guint i = 0; i < service->targets->len; i++)
        add_target (daemon, g_ptr_array_index (service->targets, i), view,
                    now_us);
      fill_shifts (daemon, service, view);
    }
  set_lender_pointers (view);
  view->view.regions = (const SrRegion *)view->regions->data;
  view->view.region_count = view->regions->len;
  view->view.zones = (const SrZone *)view->zones->data;
  view->view.zone_count = view->zones->len;
  view->view.targets = (const SrTarget *)view->targets->data;
  view->view.target_count = view->targets->len;
  view->view.shifts = (const SrShift *)view->shifts->data;
  view->view.shift_count = view->shifts->len;
}

void
dm_view_clear (DmView *view)
{
  g_array_unref (view->regions);
  g_array_unref (view->zones);
  g_array_unref (view->targets);
  g_array_unref (view->lenders);
  g_array_unref (view->shifts);
  g_array_unref (view->shift_index);
}
