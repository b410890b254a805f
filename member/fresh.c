/* Summaries of reports, and the freshness of the configuration.  */

#include "member/internal.h"

#include <stdlib.h>
#include <string.h>

static int
compare_buckets (const void *a, const void *b)
{
  const AgeBucket *x = a;
  const AgeBucket *y = b;

  if (x->reported_us != y->reported_us)
    return x->reported_us > y->reported_us ? -1 : 1;
  return 0;
}

static void
add_bucket (GArray *buckets, int64_t reported_us, uint32_t count)
{
  AgeBucket bucket = { reported_us, count };

  if (count > 0 && reported_us > DISTANT_PAST / 2)
    g_array_append_val (buckets, bucket);
}

/* Adds SUMMARY to SUM, unless it is of another assignment version.  */
static void
add_summary (GArray *buckets, Summary *sum, const Summary *summary)
{
  if (summary->assign_version != sum->assign_version)
    return;
  for (uint32_t i = 0; i < summary->bucket_count; i++)
    add_bucket (buckets, summary->reported_us[i], summary->counts[i]);
  if (summary->config_max > sum->config_max)
    {
      sum->config_max = summary->config_max;
      sum->current_count = 0;
    }
  if (summary->config_max == sum->config_max)
    sum->current_count += summary->current_count;
}

static void
add_report (GArray *buckets, Summary *sum, uint64_t config, uint64_t assign,
            int64_t reported_us)
{
  Summary single = { .assign_version = assign,
                     .config_max = config,
                     .current_count = 1,
                     .bucket_count = 1,
                     .reported_us = { reported_us },
                     .counts = { 1 } };

  if (reported_us > DISTANT_PAST / 2)
    add_summary (buckets, sum, &single);
}

/* Merges the buckets into at most AGE_BUCKETS_MAX of similar size; each takes
   the age of its oldest report.  */
static void
merge_buckets (GArray *buckets, Summary *summary)
{
  uint32_t total_count = 0;
  uint32_t merged_count = 0;

  g_array_sort (buckets, compare_buckets);
  for (guint i = 0; i < buckets->len; i++)
    total_count += g_array_index (buckets, AgeBucket, i).count;
  summary->bucket_count = 0;
  for (guint i = 0; i < buckets->len; i++)
    {
      const AgeBucket *bucket = &g_array_index (buckets, AgeBucket, i);
      uint32_t index
          = (uint32_t)((uint64_t)merged_count * AGE_BUCKETS_MAX / total_count);

      index = MIN (index, summary->bucket_count);
      index = MIN (index, AGE_BUCKETS_MAX - 1);
      if (index == summary->bucket_count)
        {
          summary->counts[index] = 0;
          summary->bucket_count++;
        }
      index = summary->bucket_count - 1;
      summary->counts[index] += bucket->count;
      summary->reported_us[index] = bucket->reported_us;
      merged_count += bucket->count;
    }
}

/* At a zone's hub: the reports of the zone's members.  */
GArray *
mb_summarize_zone (const MbTable *table, int64_t now_us, Summary *summary)
{
  GArray *buckets = g_array_new (FALSE, FALSE, sizeof (AgeBucket));
  GHashTableIter iter;
  void *value;

  memset (summary, 0, sizeof *summary);
  mb_copy_name (summary->name, table->self->member.zone);
  summary->assign_version = table->assign_version;
  g_hash_table_iter_init (&iter, table->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const Entry *entry = value;

      if (!entry->member.assigned || !entry->in_own_zone)
        continue;
      if (entry == table->self)
        add_report (buckets, summary, table->config_known,
                    table->assign_version, now_us);
      else
        add_report (buckets, summary, entry->reported_config,
                    entry->reported_assign, entry->reported_us);
    }
  merge_buckets (buckets, summary);
  return buckets;
}

static void
add_summaries (GArray *buckets, Summary *sum, GHashTable *summaries,
               const char *skip)
{
  GHashTableIter iter;
  void *key;
  void *value;

  g_hash_table_iter_init (&iter, summaries);
  while (g_hash_table_iter_next (&iter, &key, &value))
    if (skip == NULL || strcmp (key, skip) != 0)
      add_summary (buckets, sum, value);
}

/* At a region's hub: the reports of the region's zones except SKIP_ZONE, and
   of the other regions if INCLUDE_OTHER_REGIONS is set.  */
void
mb_summarize_region (const MbTable *table, const char *skip_zone,
                     gboolean include_other_regions, int64_t now_us,
                     Summary *summary)
{
  const char *own_zone = table->self->member.zone;
  g_autoptr (GArray) buckets = g_array_new (FALSE, FALSE, sizeof (AgeBucket));
  GHashTableIter iter;
  void *key;
  void *value;

  memset (summary, 0, sizeof *summary);
  summary->assign_version = table->assign_version;
  g_hash_table_iter_init (&iter, table->zone_summaries);
  while (g_hash_table_iter_next (&iter, &key, &value))
    if (g_strcmp0 (key, skip_zone) != 0
        && (table->zone_hub_since_us == NEVER || strcmp (key, own_zone) != 0))
      add_summary (buckets, summary, value);
  if (table->zone_hub_since_us != NEVER
      && g_strcmp0 (own_zone, skip_zone) != 0)
    {
      Summary own_zone_summary;

      g_array_unref (mb_summarize_zone (table, now_us, &own_zone_summary));
      add_summary (buckets, summary, &own_zone_summary);
    }
  if (include_other_regions)
    add_summaries (buckets, summary, table->region_summaries,
                   table->self->member.region);
  merge_buckets (buckets, summary);
}

/* The reports of the whole fleet, as far as this member has received them.  */
gboolean
mb_summarize_fleet (const MbTable *table, int64_t now_us, Summary *summary)
{
  if (table->region_hub_since_us != NEVER)
    {
      mb_summarize_region (table, NULL, TRUE, now_us, summary);
      return TRUE;
    }
  if (table->zone_hub_since_us != NEVER)
    {
      g_autoptr (GArray) buckets = mb_summarize_zone (table, now_us, summary);

      add_summary (buckets, summary, &table->outside_summary);
      merge_buckets (buckets, summary);
      return TRUE;
    }
  *summary = table->fleet_summary;
  return summary->received_us != DISTANT_PAST;
}

/* Latest time since which, at the least, more than half of the members have
   reported; DISTANT_PAST if there is none.  */
static int64_t
majority_reported_us (const MbTable *table, const Summary *summary)
{
  uint32_t reported_count = 0;

  if (summary->assign_version != table->assign_version)
    return DISTANT_PAST;
  for (uint32_t i = 0; i < summary->bucket_count; i++)
    {
      reported_count += summary->counts[i];
      if (2 * reported_count > table->assigned_count)
        return summary->reported_us[i];
    }
  return DISTANT_PAST;
}

void
mb_update_freshness (MbTable *table, int64_t now_us)
{
  Summary summary;
  int64_t since_us;

  if (!mb_summarize_fleet (table, now_us, &summary))
    return;
  table->latest_config = MAX (table->latest_config, summary.config_max);
  since_us = majority_reported_us (table, &summary);
  if (since_us == DISTANT_PAST)
    return;
  table->majority_reported_us = MAX (table->majority_reported_us, since_us);
  if (table->config_in_force >= MAX (summary.config_max, table->config_known))
    table->confirmed_us = MAX (table->confirmed_us, since_us);
}

void
mb_store_confirmed (MbTable *table, uint64_t version, int64_t read_sent_us)
{
  table->latest_config = MAX (table->latest_config, version);
  if (table->config_in_force >= MAX (version, table->config_known))
    table->confirmed_us = MAX (table->confirmed_us, read_sent_us);
}

int64_t
mb_config_fresh_until_us (const MbTable *table)
{
  return table->confirmed_us + MB_FRESH_MAX_AGE_US;
}

gboolean
mb_is_config_fresh (const MbTable *table, int64_t now_us)
{
  /* A fleet of one member needs no confirmation by others.  */
  if (table->assigned_count == 1 && table->self->member.assigned
      && table->config_in_force >= table->latest_config)
    return TRUE;
  return now_us < mb_config_fresh_until_us (table);
}

gboolean
mb_has_majority (const MbTable *table, int64_t now_us)
{
  if (table->assigned_count == 1 && table->self->member.assigned)
    return TRUE;
  return now_us < table->majority_reported_us + MB_FRESH_MAX_AGE_US;
}

uint64_t
mb_latest_config_version (const MbTable *table)
{
  return table->latest_config;
}

uint64_t
mb_latest_assign_version (const MbTable *table)
{
  return table->latest_assign;
}

const char *
mb_config_source (const MbTable *table)
{
  return table->config_source[0] == '\0' ? NULL : table->config_source;
}

uint32_t
mb_config_acked_count (const MbTable *table, uint64_t version, int64_t now_us)
{
  Summary summary;

  if (!mb_summarize_fleet (table, now_us, &summary)
      || summary.config_max < version)
    return table->config_known >= version && table->self->member.assigned;
  return summary.current_count;
}

uint32_t
mb_assigned_count (const MbTable *table)
{
  return table->assigned_count;
}
