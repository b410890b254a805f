/* Who is live, and who is a hub.  */

#include "member/internal.h"

#include <string.h>

static gboolean
does_not_answer (const MbTable *table, const Entry *entry)
{
  const Link *link = g_hash_table_lookup (table->links, entry->member.vm);

  return link != NULL && link->failed_us != LONG_AGO;
}

/* Whether the member may be addressed: nothing speaks against it.  */
static gboolean
is_candidate (const MbTable *table, const Entry *entry)
{
  return entry == table->self
         || (entry->known && !entry->silent
             && !does_not_answer (table, entry));
}

int64_t
mb_interval_us (const MbTable *table)
{
  GHashTableIter iter;
  void *value;
  int64_t count = 0;

  g_hash_table_iter_init (&iter, table->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((Entry *)value)->known && !((Entry *)value)->silent
        && ((Entry *)value)->in_zone)
      count++;
  return CLAMP (count * MB_INTERVAL_STEP_US, (int64_t)MB_INTERVAL_MIN_US,
                (int64_t)MB_INTERVAL_MAX_US);
}

uint32_t
mb_zone_hubs (const MbTable *table, const char *zone, Entry *hubs[2])
{
  GHashTableIter iter;
  void *value;
  uint32_t count = 0;

  g_hash_table_iter_init (&iter, table->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      Entry *entry = value;

      if (strcmp (entry->member.zone, zone) != 0
          || !is_candidate (table, entry))
        continue;
      if (count == 0 || entry->hash < hubs[0]->hash)
        {
          if (count > 0)
            hubs[1] = hubs[0];
          hubs[0] = entry;
          count = MIN (count + 1, 2);
        }
      else if (count == 1 || entry->hash < hubs[1]->hash)
        {
          hubs[1] = entry;
          count = 2;
        }
    }
  return count;
}

#define FAILED_ZONES_MAX 8

/* Zones of other members that don't answer, but aren't known to be dead.  */
static uint32_t
failed_zones (const MbTable *table, const char *zones[FAILED_ZONES_MAX])
{
  GHashTableIter iter;
  void *value;
  uint32_t count = 0;

  g_hash_table_iter_init (&iter, table->links);
  while (count < FAILED_ZONES_MAX
         && g_hash_table_iter_next (&iter, NULL, &value))
    {
      const Link *link = value;
      const Entry *entry = g_hash_table_lookup (table->entries, link->vm);

      if (link->failed_us != LONG_AGO && entry != NULL && !entry->silent)
        zones[count++] = entry->member.zone;
    }
  return count;
}

static gboolean
is_among (const char *zone, const char *const *zones, uint32_t count)
{
  for (uint32_t i = 0; i < count; i++)
    if (strcmp (zones[i], zone) == 0)
      return TRUE;
  return FALSE;
}

/* The highest hash in the region's first zone that has a member.  A zone with
   a member that doesn't answer comes last: it may be cut off, and trying all
   its members would take too long.  */
Entry *
mb_region_hub (const MbTable *table, const char *region)
{
  GHashTableIter iter;
  void *value;
  Entry *best = NULL;
  gboolean best_failed = FALSE;
  const char *failed[FAILED_ZONES_MAX];
  uint32_t failed_count = failed_zones (table, failed);

  g_hash_table_iter_init (&iter, table->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      Entry *entry = value;
      gboolean is_failed;
      int zones;

      if (strcmp (entry->member.region, region) != 0
          || !is_candidate (table, entry))
        continue;
      zones
          = best == NULL ? -1 : strcmp (entry->member.zone, best->member.zone);
      is_failed = is_among (entry->member.zone, failed, failed_count);
      if (best != NULL && is_failed != best_failed)
        zones = is_failed ? 1 : -1;
      if (zones > 0 || (zones == 0 && entry->hash <= best->hash))
        continue;
      best = entry;
      best_failed = is_failed;
    }
  return best;
}

gboolean
mb_is_zone_hub (const MbTable *table, int64_t now_us)
{
  Entry *hubs[2];
  uint32_t count = mb_zone_hubs (table, table->self->member.zone, hubs);

  (void)now_us;
  for (uint32_t i = 0; i < count; i++)
    if (hubs[i] == table->self)
      return TRUE;
  return FALSE;
}

gboolean
mb_is_region_hub (const MbTable *table, int64_t now_us)
{
  /* Those who ask may have seen a failure that this member hasn't.  */
  return mb_region_hub (table, table->self->member.region) == table->self
         || now_us <= table->asked_up_us + HUB_MISSES * MB_HUB_INTERVAL_US;
}

gboolean
mb_watches_store (const MbTable *table, int64_t now_us)
{
  return mb_is_zone_hub (table, now_us);
}

/* At a region's hub: no summary of the zone or of its region has come.  */
static gboolean
misses_scope (const MbTable *table, const char *zone, const char *region,
              int64_t now_us)
{
  gboolean own = strcmp (region, table->self->member.region) == 0;
  const Scope *scope = g_hash_table_lookup (
      own ? table->zones : table->regions, own ? zone : region);
  int64_t since_us = table->region_hub_us;

  if (since_us == NEVER)
    return FALSE;
  if (scope != NULL)
    since_us = MAX (since_us, scope->received_us);
  return now_us > since_us + MB_SILENT_US;
}

gboolean
mb_zone_silent (const MbTable *table, const char *zone, const char *region,
                int64_t now_us)
{
  const int64_t *until_us = g_hash_table_lookup (table->silent_zones, zone);

  if (strcmp (zone, table->self->member.zone) == 0)
    return FALSE;
  if (until_us != NULL && now_us < *until_us)
    return TRUE;
  return misses_scope (table, zone, region, now_us);
}

gboolean
mb_entry_live (const MbTable *table, const Entry *entry, int64_t now_us)
{
  int64_t path_us;

  if (entry == table->self)
    return TRUE;
  /* A member that nothing is known of is taken for what the list says.  */
  if (!is_candidate (table, entry))
    return FALSE;
  if (now_us <= entry->direct_us + MB_SILENT_US)
    return TRUE;
  if (entry->in_zone)
    return table->zone_hub_us != NEVER
           || now_us <= table->digest_us + MB_SILENT_US;
  if (mb_zone_silent (table, entry->member.zone, entry->member.region, now_us))
    return FALSE;
  if (table->region_hub_us != NEVER)
    return TRUE;
  path_us = table->zone_hub_us != NEVER ? table->rest.received_us
                                        : table->digest_us;
  return now_us <= path_us + MB_SILENT_US;
}

static void
watch_links (MbTable *table, int64_t now_us)
{
  GHashTableIter iter;
  void *value;

  g_hash_table_iter_init (&iter, table->links);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      Link *link = value;

      if (link->waiting_us == NEVER
          || now_us < link->waiting_us + HUB_MISSES * link->interval_us)
        continue;
      link->failed_us = now_us;
      link->waiting_us = NEVER;
    }
}

/* A zone's hub misses members that don't report.  */
static void
watch_zone (MbTable *table, int64_t now_us)
{
  GHashTableIter iter;
  void *value;

  g_hash_table_iter_init (&iter, table->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      Entry *entry = value;
      int64_t since_us = MAX (entry->direct_us, table->zone_hub_us);

      if (entry != table->self && entry->known && !entry->silent
          && entry->in_zone && now_us > since_us + MB_SILENT_US)
        mb_mark_silent (table, entry, now_us);
    }
}

void
mb_watch_roles (MbTable *table, int64_t now_us)
{
  watch_links (table, now_us);
  if (!mb_is_zone_hub (table, now_us))
    table->zone_hub_us = NEVER;
  else if (table->zone_hub_us == NEVER)
    table->zone_hub_us = now_us;
  if (!mb_is_region_hub (table, now_us))
    table->region_hub_us = NEVER;
  else if (table->region_hub_us == NEVER)
    table->region_hub_us = now_us;
  if (table->zone_hub_us != NEVER)
    watch_zone (table, now_us);
}
