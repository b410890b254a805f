#include "sheet/internal.h"

#include <inttypes.h>
#include <string.h>

static uint32_t
object_row (const ShSheet *sheet, const void *object)
{
  return GPOINTER_TO_UINT (g_hash_table_lookup (sheet->row_by_object, object));
}

static gboolean
periods_overlap (int64_t start_a_ms, int64_t end_a_ms, int64_t start_b_ms,
                 int64_t end_b_ms)
{
  return start_a_ms < end_b_ms && start_b_ms < end_a_ms;
}

static uint64_t
sum_rates (const CfConfig *config)
{
  uint64_t sum = 0;

  for (guint i = 0; i < config->customers->len; i++)
    sum += ((const CfCustomer *)g_ptr_array_index (config->customers, i))
               ->rate_per_s;
  return sum;
}

static gboolean
is_drained (const CfConfig *config, CfDrainKind kind, const char *object,
            int64_t at_ms)
{
  for (guint i = 0; i < config->drains->len; i++)
    {
      const CfDrain *drain = g_ptr_array_index (config->drains, i);

      if (drain->kind == kind && drain->start_ms <= at_ms
          && at_ms < drain->end_ms && strcmp (drain->object, object) == 0)
        return TRUE;
    }
  return FALSE;
}

/* Assumes that the zones of a region have equal capacities.  Ignores drains of
   targets and VMs, since the sheet does not tell how many there are.  */
static uint64_t
region_capacity_at (const CfConfig *config, const CfRegion *region,
                    int64_t at_ms, guint *zones_left)
{
  *zones_left = region->zones->len;
  for (guint i = 0; i < region->zones->len; i++)
    if (is_drained (config, CF_DRAIN_ZONE,
                    g_ptr_array_index (region->zones, i), at_ms))
      (*zones_left)--;
  if (region->zones->len == 0
      || is_drained (config, CF_DRAIN_REGION, region->name, at_ms))
    return 0;
  return (uint64_t)region->capacity_per_s * *zones_left / region->zones->len;
}

static uint64_t
fleet_capacity_at (const CfConfig *config, int64_t at_ms)
{
  uint64_t sum = 0;
  guint zones_left;

  for (guint i = 0; i < config->regions->len; i++)
    sum += region_capacity_at (config, g_ptr_array_index (config->regions, i),
                               at_ms, &zones_left);
  return sum;
}

/* Returns FALSE if the rates exceed the capacity of the regions even without a
   drain.  */
static gboolean
check_rates (ShSheet *sheet)
{
  const CfConfig *config = sheet->config;
  uint64_t capacity = 0;
  uint64_t sum = 0;

  for (guint i = 0; i < config->regions->len; i++)
    capacity += ((const CfRegion *)g_ptr_array_index (config->regions, i))
                    ->capacity_per_s;
  for (guint i = 0; i < config->customers->len; i++)
    {
      const CfCustomer *customer = g_ptr_array_index (config->customers, i);

      sum += customer->rate_per_s;
      if (sum <= capacity)
        continue;
      sh_report_problem (sheet, SH_ERROR_RATE_CAPACITY,
                         object_row (sheet, customer), SH_COLUMN_RATE,
                         "with this customer the rates reach %" PRIu64
                         "/s, but the capacity of the regions is %" PRIu64
                         "/s; all rates together are %" PRIu64 "/s",
                         sum, capacity, sum_rates (config));
      return FALSE;
    }
  return TRUE;
}

/* Returns a region whose zones are all drained while the region itself is not,
   or NULL.  */
static const CfRegion *
region_without_zones (const CfConfig *config, int64_t at_ms)
{
  for (guint i = 0; i < config->regions->len; i++)
    {
      const CfRegion *region = g_ptr_array_index (config->regions, i);
      guint zones_left;

      region_capacity_at (config, region, at_ms, &zones_left);
      if (zones_left == 0 && region->zones->len > 0
          && !is_drained (config, CF_DRAIN_REGION, region->name, at_ms))
        return region;
    }
  return NULL;
}

/* Checks the start of each drain, since capacity is lowest at one of them.  */
static void
check_drains (ShSheet *sheet)
{
  const CfConfig *config = sheet->config;
  uint64_t rates = sum_rates (config);

  for (guint i = 0; i < config->drains->len; i++)
    {
      const CfDrain *drain = g_ptr_array_index (config->drains, i);
      const CfRegion *region;
      uint64_t capacity_left;

      if (drain->kind < CF_DRAIN_ZONE)
        continue;
      capacity_left = fleet_capacity_at (config, drain->start_ms);
      region = region_without_zones (config, drain->start_ms);
      if (capacity_left < rates)
        sh_report_problem (
            sheet, SH_ERROR_DRAIN_CAPACITY, object_row (sheet, drain),
            SH_COLUMN_START,
            "when this drain starts the capacity of the regions is %" PRIu64
            "/s and the customers' rates are %" PRIu64 "/s",
            capacity_left, rates);
      else if (region != NULL)
        sh_report_problem (
            sheet, SH_ERROR_DRAIN_CAPACITY, object_row (sheet, drain),
            SH_COLUMN_START,
            "when this drain starts region \"%s\" has no zone left; if "
            "that is intended, drain the region",
            region->name);
    }
}

static void
check_shift_pair (ShSheet *sheet, const CfShift *shift, const CfShift *earlier)
{
  gboolean same_regions = strcmp (shift->from, earlier->from) == 0
                          && strcmp (shift->to, earlier->to) == 0;
  gboolean opposite_regions = strcmp (shift->from, earlier->to) == 0
                              && strcmp (shift->to, earlier->from) == 0;

  if (strcmp (shift->service, earlier->service) != 0
      || !periods_overlap (shift->start_ms, shift->end_ms, earlier->start_ms,
                           earlier->end_ms))
    return;
  if (same_regions)
    sh_report_problem (
        sheet, SH_ERROR_SHIFT_CONFLICT, object_row (sheet, shift),
        SH_COLUMN_CAP,
        "the cap of %u/s contradicts the cap of %u/s in row %u for the "
        "same service, regions and time",
        shift->cap_per_s, earlier->cap_per_s, object_row (sheet, earlier));
  if (opposite_regions)
    sh_report_problem (
        sheet, SH_ERROR_SHIFT_CONFLICT, object_row (sheet, shift),
        SH_COLUMN_FROM,
        "row %u shifts the same service in the opposite direction at the "
        "same time",
        object_row (sheet, earlier));
}

/* Sums over the shifts in effect when SHIFT starts: CAPS of those to the same
   region, SHARE_PERMILLE of those of the same service from the same region. */
static void
sum_concurrent_shifts (ShSheet *sheet, const CfShift *shift, uint64_t *caps,
                       uint32_t *share_permille)
{
  const CfConfig *config = sheet->config;

  *caps = 0;
  *share_permille = 0;
  for (guint i = 0; i < config->shifts->len; i++)
    {
      const CfShift *other = g_ptr_array_index (config->shifts, i);

      if (other->start_ms > shift->start_ms
          || other->end_ms <= shift->start_ms)
        continue;
      if (strcmp (other->to, shift->to) == 0)
        *caps += other->cap_per_s;
      if (strcmp (other->from, shift->from) == 0
          && strcmp (other->service, shift->service) == 0)
        *share_permille += other->share_permille;
    }
}

/* Lowest capacity of REGION while SHIFT is in effect.  */
static uint64_t
min_capacity (const CfConfig *config, const CfRegion *region,
              const CfShift *shift)
{
  guint zones_left;
  uint64_t lowest
      = region_capacity_at (config, region, shift->start_ms, &zones_left);

  for (guint i = 0; i < config->drains->len; i++)
    {
      const CfDrain *drain = g_ptr_array_index (config->drains, i);

      if (drain->start_ms >= shift->start_ms
          && drain->start_ms < shift->end_ms)
        lowest
            = MIN (lowest, region_capacity_at (config, region, drain->start_ms,
                                               &zones_left));
    }
  return lowest;
}

static const CfRegion *
find_region (const CfConfig *config, const char *name)
{
  for (guint i = 0; i < config->regions->len; i++)
    {
      const CfRegion *region = g_ptr_array_index (config->regions, i);

      if (strcmp (region->name, name) == 0)
        return region;
    }
  return NULL;
}

static void
check_shift (ShSheet *sheet, const CfShift *shift)
{
  const CfRegion *region = find_region (sheet->config, shift->to);
  uint64_t capacity = min_capacity (sheet->config, region, shift);
  uint32_t share_permille;
  uint64_t caps;

  sum_concurrent_shifts (sheet, shift, &caps, &share_permille);
  if (caps > capacity && !sheet->capacity_unknown)
    sh_report_problem (sheet, SH_ERROR_SHIFT_CONFLICT,
                       object_row (sheet, shift), SH_COLUMN_CAP,
                       "the caps of the shifts to region \"%s\" are %" PRIu64
                       "/s together, but its capacity is %" PRIu64
                       "/s at that time",
                       shift->to, caps, capacity);
  if (share_permille > 1000)
    sh_report_problem (
        sheet, SH_ERROR_SHIFT_CONFLICT, object_row (sheet, shift),
        SH_COLUMN_SHARE,
        "the shares shifted away from region \"%s\" are %u.%u%% "
        "together",
        shift->from, share_permille / 10, share_permille % 10);
}

static void
check_required_rows (ShSheet *sheet)
{
  const CfConfig *config = sheet->config;

  if (config->regions->len == 0 || config->services->len == 0
      || config->customers->len == 0)
    sh_report_problem (sheet, SH_ERROR_MISSING, 0, SH_COLUMN_COUNT,
                       "there is no %s row",
                       config->regions->len == 0    ? "region"
                       : config->services->len == 0 ? "service"
                                                    : "customer");
  for (guint i = 0; i < config->regions->len; i++)
    {
      const CfRegion *region = g_ptr_array_index (config->regions, i);

      if (region->zones->len > 0)
        continue;
      sheet->capacity_unknown = TRUE;
      sh_report_problem (sheet, SH_ERROR_MISSING, 0, SH_COLUMN_COUNT,
                         "region \"%s\" has no zone row", region->name);
    }
}

void
sh_check_plan (ShSheet *sheet)
{
  const CfConfig *config = sheet->config;

  check_required_rows (sheet);
  /* Valid rows would be rejected if part of the capacity was not read.  */
  if (!sheet->capacity_unknown && check_rates (sheet))
    check_drains (sheet);
  for (guint i = 0; i < config->shifts->len; i++)
    {
      const CfShift *shift = g_ptr_array_index (config->shifts, i);

      for (guint j = 0; j < i; j++)
        check_shift_pair (sheet, shift, g_ptr_array_index (config->shifts, j));
      check_shift (sheet, shift);
    }
}
