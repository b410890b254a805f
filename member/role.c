/* Liveness of members, and election of hubs.  */

#include "member/internal.h"

#include <string.h>

int64_t
mb_heard_until_us (const MbTable *table, int64_t now_us)
{
  return MIN (now_us, table->polled_us[2]);
}

static gboolean
is_unresponsive (const MbTable *table, const Entry *entry)
{
  const Peer *peer = g_hash_table_lookup (table->peers, entry->member.vm);

  return peer != NULL && peer->unresponsive_us != DISTANT_PAST;
}

/* Whether the member seems reachable: its zone is known, and it is neither
   silent nor unresponsive.  */
static gboolean
is_reachable (const MbTable *table, const Entry *entry)
{
  return entry == table->self
         || (entry->zone_known && !entry->silent
             && !is_unresponsive (table, entry));
}

int64_t
mb_report_interval_us (const MbTable *table)
{
  GHashTableIter iter;
  void *value;
  int64_t count = 0;

  g_hash_table_iter_init (&iter, table->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((Entry *)value)->zone_known && !((Entry *)value)->silent
        && ((Entry *)value)->in_own_zone)
      count++;
  return CLAMP (count * MB_REPORT_INTERVAL_STEP_US,
                (int64_t)MB_REPORT_INTERVAL_MIN_US,
                (int64_t)MB_REPORT_INTERVAL_MAX_US);
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
          || !is_reachable (table, entry))
        continue;
      if (count == 0 || entry->vm_hash < hubs[0]->vm_hash)
        {
          if (count > 0)
            hubs[1] = hubs[0];
          hubs[0] = entry;
          count = MIN (count + 1, 2);
        }
      else if (count == 1 || entry->vm_hash < hubs[1]->vm_hash)
        {
          hubs[1] = entry;
          count = 2;
        }
    }
  return count;
}

#define UNRESPONSIVE_ZONES_MAX 8

/* Zones of members that are unresponsive but not marked as silent.  */
static uint32_t
unresponsive_zones (const MbTable *table,
                    const char *zones[UNRESPONSIVE_ZONES_MAX])
{
  GHashTableIter iter;
  void *value;
  uint32_t count = 0;

  g_hash_table_iter_init (&iter, table->peers);
  while (count < UNRESPONSIVE_ZONES_MAX
         && g_hash_table_iter_next (&iter, NULL, &value))
    {
      const Peer *peer = value;
      const Entry *entry = g_hash_table_lookup (table->entries, peer->vm);

      if (peer->unresponsive_us != DISTANT_PAST && entry != NULL
          && !entry->silent)
        zones[count++] = entry->member.zone;
    }
  return count;
}

static gboolean
contains_name (const char *name, const char *const *names, uint32_t count)
{
  for (uint32_t i = 0; i < count; i++)
    if (strcmp (names[i], name) == 0)
      return TRUE;
  return FALSE;
}

/* The member with the highest hash in the region's first zone, by name, that
   has a reachable member.  A zone with an unresponsive member comes last:
   it may be partitioned, and trying all its members would take too long.  */
Entry *
mb_region_hub (const MbTable *table, const char *region)
{
  GHashTableIter iter;
  void *value;
  Entry *best = NULL;
  gboolean best_avoided = FALSE;
  const char *avoided[UNRESPONSIVE_ZONES_MAX];
  uint32_t avoided_count = unresponsive_zones (table, avoided);

  g_hash_table_iter_init (&iter, table->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      Entry *entry = value;
      gboolean is_avoided;
      int order;

      if (strcmp (entry->member.region, region) != 0
          || !is_reachable (table, entry))
        continue;
      order
          = best == NULL ? -1 : strcmp (entry->member.zone, best->member.zone);
      is_avoided = contains_name (entry->member.zone, avoided, avoided_count);
      if (best != NULL && is_avoided != best_avoided)
        order = is_avoided ? 1 : -1;
      if (order > 0 || (order == 0 && entry->vm_hash <= best->vm_hash))
        continue;
      best = entry;
      best_avoided = is_avoided;
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
  /* Zone hubs that send their digests to this member may have detected a
     failure of the region's hub that it hasn't.  */
  return mb_region_hub (table, table->self->member.region) == table->self
         || now_us <= table->last_zone_request_us
                          + HUB_TIMEOUT_INTERVALS * MB_HUB_DIGEST_INTERVAL_US;
}

gboolean
mb_watches_store (const MbTable *table, int64_t now_us)
{
  return mb_is_zone_hub (table, now_us);
}

/* At a region's hub: whether the summary of a zone of this region, or of
   another region, is overdue.  */
static gboolean
is_summary_overdue (const MbTable *table, const char *zone, const char *region,
                    int64_t now_us)
{
  gboolean is_own_region = strcmp (region, table->self->member.region) == 0;
  const Summary *summary = g_hash_table_lookup (
      is_own_region ? table->zone_summaries : table->region_summaries,
      is_own_region ? zone : region);
  int64_t since_us = table->region_hub_since_us;

  if (since_us == NEVER)
    return FALSE;
  if (summary != NULL)
    since_us = MAX (since_us, summary->received_us);
  return mb_heard_until_us (table, now_us) > since_us + MB_SILENCE_TIMEOUT_US;
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
  return is_summary_overdue (table, zone, region, now_us);
}

gboolean
mb_is_live (const MbTable *table, const Entry *entry, int64_t now_us)
{
  int64_t heard_until_us = mb_heard_until_us (table, now_us);
  int64_t last_contact_us;

  if (entry == table->self)
    return TRUE;
  /* A listed or assigned member that hasn't reported yet is presumed live.  */
  if (!is_reachable (table, entry))
    return FALSE;
  if (heard_until_us <= entry->last_direct_us + MB_SILENCE_TIMEOUT_US)
    return TRUE;
  if (entry->in_own_zone)
    return table->zone_hub_since_us != NEVER
           || heard_until_us <= table->last_digest_us + MB_SILENCE_TIMEOUT_US;
  if (mb_zone_silent (table, entry->member.zone, entry->member.region, now_us))
    return FALSE;
  if (table->region_hub_since_us != NEVER)
    return TRUE;
  last_contact_us = table->zone_hub_since_us != NEVER
                        ? table->outside_summary.received_us
                        : table->last_digest_us;
  return heard_until_us <= last_contact_us + MB_SILENCE_TIMEOUT_US;
}

static void
detect_unresponsive_peers (MbTable *table, int64_t now_us)
{
  int64_t heard_until_us = mb_heard_until_us (table, now_us);
  GHashTableIter iter;
  void *value;

  g_hash_table_iter_init (&iter, table->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      Peer *peer = value;

      if (peer->awaiting_since_us == NEVER
          || heard_until_us
                 < peer->awaiting_since_us
                       + HUB_TIMEOUT_INTERVALS * peer->request_interval_us)
        continue;
      peer->unresponsive_us = now_us;
      peer->awaiting_since_us = NEVER;
    }
}

/* At a zone's hub: marks members of the zone that don't send as silent.  */
static void
detect_silent_members (MbTable *table, int64_t now_us)
{
  int64_t heard_until_us = mb_heard_until_us (table, now_us);
  GHashTableIter iter;
  void *value;

  g_hash_table_iter_init (&iter, table->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      Entry *entry = value;
      int64_t since_us = MAX (entry->last_direct_us, table->zone_hub_since_us);

      if (entry != table->self && entry->zone_known && !entry->silent
          && entry->in_own_zone
          && heard_until_us > since_us + MB_SILENCE_TIMEOUT_US)
        mb_mark_silent (table, entry, now_us);
    }
}

void
mb_update_roles (MbTable *table, int64_t now_us)
{
  detect_unresponsive_peers (table, now_us);
  if (!mb_is_zone_hub (table, now_us))
    table->zone_hub_since_us = NEVER;
  else if (table->zone_hub_since_us == NEVER)
    table->zone_hub_since_us = now_us;
  if (!mb_is_region_hub (table, now_us))
    table->region_hub_since_us = NEVER;
  else if (table->region_hub_since_us == NEVER)
    table->region_hub_since_us = now_us;
  if (table->zone_hub_since_us != NEVER)
    detect_silent_members (table, now_us);
}
