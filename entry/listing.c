#include "entry/listing.h"

#include <event2/event.h>

#include "clock/clock.h"
#include "entry/outage.h"
#include "entry/timer.h"

/* The region leader sends a target delta, maybe empty, after each watch.  So
   the timeout of a watch is short enough for the other daemons to notice a
   lost leader and to read the store themselves within the two seconds in which
   a drain has to take effect.  */
#define TARGETS_WATCH_TIMEOUT_MS 700
/* The sum of this and EN_OUTAGE_RETAIN_US has to be less than 3 s: a target
   that was removed during a network partition must get no requests later than
   3 s after the partition ends.  */
#define TARGETS_RETRY_DELAY_MAX_MS 200
/* Delay between watches, so that a delta holds changes that come close
   together.  */
#define TARGETS_WATCH_DELAY_MS 300
/* Covers a watch of the region leader, the delay before its next watch, and
   the delivery of the target delta.  */
#define LEADER_TIMEOUT_US 1200000

struct EnListing
{
  EnListingOptions options;
  TgSet *targets;
  PfWatcher *watcher;
  gboolean is_loaded;
  EnOutage outage;
  GHashTable *retained_ids; /* targets without an entry */
  EnTimer *retain_timer;
  /* Not yet published; each TgEntry owns its strings.  */
  GArray *pending_updates;
  GPtrArray *pending_removals; /* ids */
  gboolean is_applying;        /* a delta of another daemon, not to publish */
  gboolean missed_delta;       /* the watcher has to catch up */
  gboolean era_is_new;         /* no complete delta of it was published */
  int64_t delta_received_us;   /* last one from the leader; 0: never */
  struct event *leader_timer;
};

void
en_log_decode_error (TrTrace *trace, const char *key, const char *problem)
{
  tr_log (trace, EV_ENTRY_UNREADABLE, "key=%s problem=\"%s\"", key, problem);
}

static void
on_decode_error (const char *key, const char *problem, void *data)
{
  EnListing *listing = data;

  en_log_decode_error (listing->options.trace, key, problem);
}

static void
clear_update (gpointer data)
{
  TgEntry *entry = data;

  g_free ((char *)entry->id);
  g_free ((char *)entry->address);
  g_free ((char *)entry->service);
  g_free ((char *)entry->zone);
}

static void
queue_update (EnListing *listing, const TgEntry *entry)
{
  TgEntry copy = *entry;

  copy.id = g_strdup (entry->id);
  copy.address = g_strdup (entry->address);
  copy.service = g_strdup (entry->service);
  copy.zone = g_strdup (entry->zone);
  copy.region = NULL;
  g_array_append_val (listing->pending_updates, copy);
}

/* Receivers apply the entries of a delta before its removals.  */
static void
drop_pending_removal (EnListing *listing, const char *id)
{
  guint index;

  if (g_ptr_array_find_with_equal_func (listing->pending_removals, id,
                                        g_str_equal, &index))
    g_ptr_array_remove_index_fast (listing->pending_removals, index);
}

static void
on_target (const TgEntry *entry, void *data)
{
  EnListing *listing = data;
  gboolean changed = tg_update (listing->targets, entry, ck_boot_us ());

  g_hash_table_remove (listing->retained_ids, entry->id);
  if (changed)
    drop_pending_removal (listing, entry->id);
  /* Each entry of a cold target updates the time that it remains cold.  */
  if (!listing->is_applying && (changed || entry->cold_left_ms > 0))
    queue_update (listing, entry);
  if (changed)
    tr_log (listing->options.trace, EV_TARGET_LISTED,
            "target=%s service=%s address=%s zone=%s draining=%d cold_ms=%u",
            entry->id, entry->service, entry->address, entry->zone,
            entry->draining, entry->cold_left_ms);
}

/* The delta also holds the last entry: receivers have to know its number, so
   that an earlier one does not bring the target back.  */
static void
queue_removal (EnListing *listing, const char *id)
{
  TgEntry last_entry = { 0 };

  if (!tg_get_entry (listing->targets, id, &last_entry))
    return;
  queue_update (listing, &last_entry);
  g_ptr_array_add (listing->pending_removals, g_strdup (id));
}

static void
remove_target (EnListing *listing, const char *id, const char *reason)
{
  if (!listing->is_applying)
    queue_removal (listing, id);
  if (!tg_remove (listing->targets, id, ck_boot_us ()))
    return;
  tr_log (listing->options.trace, EV_TARGET_GONE, "target=%s reason=%s", id,
          reason);
}

static void
on_target_removed (const char *id, void *data)
{
  EnListing *listing = data;

  if (en_outage_retains (&listing->outage, ck_boot_us ()))
    g_hash_table_add (listing->retained_ids, g_strdup (id));
  else
    remove_target (listing, id, "unlisted");
}

static void
on_retain_timeout (void *data)
{
  EnListing *listing = data;
  GHashTableIter ids;
  gpointer id;

  g_hash_table_iter_init (&ids, listing->retained_ids);
  while (g_hash_table_iter_next (&ids, &id, NULL))
    remove_target (listing, id, "not_back");
  g_hash_table_remove_all (listing->retained_ids);
}

static gboolean
leader_is_live (const EnListing *listing, int64_t now_us)
{
  return listing->delta_received_us != 0
         && now_us - listing->delta_received_us < LEADER_TIMEOUT_US;
}

static void
on_targets_synced (int64_t requested_us, void *data)
{
  EnListing *listing = data;
  int64_t now_us = ck_boot_us ();

  (void)requested_us;
  if (en_outage_note_sync (&listing->outage, now_us))
    en_timer_start (listing->retain_timer, listing->outage.retain_until_us);
  listing->missed_delta = FALSE;
  pf_watcher_set_paused (listing->watcher, leader_is_live (listing, now_us));
  if (listing->is_loaded)
    return;
  listing->is_loaded = TRUE;
  listing->options.on_loaded (listing->options.data);
}

static void
on_targets_failure (PfFailure failure, void *data)
{
  EnListing *listing = data;

  if (failure != PF_FAILURE_COMPACTED)
    en_outage_note_failure (&listing->outage, ck_boot_us ());
}

/* Targets write their entries again, as after an outage.  */
static void
on_targets_restored (uint64_t era, void *data)
{
  EnListing *listing = data;

  (void)era;
  listing->era_is_new = TRUE;
  en_outage_note_restored (&listing->outage, ck_boot_us ());
}

static void
on_targets_revision (uint64_t from, uint64_t to, void *data)
{
  EnListing *listing = data;
  gboolean is_complete
      = from != 0 && g_hash_table_size (listing->retained_ids) == 0;
  GoTargetDelta delta = {
    .store_era = pf_watcher_era (listing->watcher),
    .from_revision = from,
    .to_revision = to,
    .entries = (const TgEntry *)listing->pending_updates->data,
    .entry_count = listing->pending_updates->len,
    .removed_ids = (const char *const *)listing->pending_removals->pdata,
    .removed_count = listing->pending_removals->len,
  };

  /* While targets are retained, the delta lacks their removals, and a full
     read does not begin at a revision, so receivers must not advance to its
     revision.  After a restore it is sent for those that cannot read the store
     themselves.  */
  if (!is_complete)
    delta.from_revision = to;
  if (is_complete || listing->era_is_new)
    listing->options.on_target_delta (&delta, listing->options.data);
  if (is_complete)
    listing->era_is_new = FALSE;
  g_array_set_size (listing->pending_updates, 0);
  g_ptr_array_set_size (listing->pending_removals, 0);
}

static void
on_leader_timeout (evutil_socket_t fd, short what, void *data)
{
  EnListing *listing = data;

  (void)fd;
  (void)what;
  pf_watcher_set_paused (listing->watcher, FALSE);
}

static void
apply_target_delta (EnListing *listing, const GoTargetDelta *delta)
{
  GHashTable *zones = listing->options.settings->zones;

  listing->is_applying = TRUE;
  for (uint32_t i = 0; i < delta->entry_count; i++)
    {
      TgEntry entry = delta->entries[i];
      entry.region = g_hash_table_lookup (zones, entry.zone);
      entry.store_era = delta->store_era;
      entry.store_revision = delta->to_revision;
      if (entry.region == NULL)
        continue;
      on_target (&entry, listing);
      pf_watcher_set_target_listed (listing->watcher, entry.id, TRUE);
    }
  for (uint32_t i = 0; i < delta->removed_count; i++)
    {
      remove_target (listing, delta->removed_ids[i], "told");
      pf_watcher_set_target_listed (listing->watcher, delta->removed_ids[i],
                                    FALSE);
    }
  listing->is_applying = FALSE;
}

/* Revisions of different eras cannot be compared, so this daemon has to read
   all targets itself.  Until it can, it uses what the region leader tells: an
   entry that is older than the one known is ignored.  */
static void
apply_other_era (EnListing *listing, const GoTargetDelta *delta,
                 gboolean may_follow)
{
  if (may_follow && listing->is_loaded
      && delta->store_era > pf_watcher_era (listing->watcher))
    apply_target_delta (listing, delta);
  pf_watcher_note_era (listing->watcher, delta->store_era);
}

void
en_listing_apply_target_delta (EnListing *listing, const GoTargetDelta *delta,
                               gboolean may_follow)
{
  struct timeval timeout
      = { LEADER_TIMEOUT_US / CK_US_PER_S, LEADER_TIMEOUT_US % CK_US_PER_S };
  uint64_t revision = pf_watcher_revision (listing->watcher);

  if (delta->store_era != pf_watcher_era (listing->watcher))
    {
      apply_other_era (listing, delta, may_follow);
      return;
    }
  if (revision == 0)
    return;
  if (delta->from_revision > revision)
    {
      listing->missed_delta = TRUE;
      pf_watcher_set_paused (listing->watcher, FALSE);
      return;
    }
  if (delta->to_revision > revision)
    apply_target_delta (listing, delta);
  pf_watcher_advance (listing->watcher, delta->to_revision);
  if (!may_follow)
    return;
  listing->delta_received_us = ck_boot_us ();
  if (!listing->missed_delta)
    {
      en_outage_note_delta (&listing->outage);
      pf_watcher_set_paused (listing->watcher, TRUE);
    }
  event_add (listing->leader_timer, &timeout);
}

static const PfWatcherCallbacks target_callbacks = {
  .on_target = on_target,
  .on_target_removed = on_target_removed,
  .on_decode_error = on_decode_error,
  .on_synced = on_targets_synced,
  .on_revision = on_targets_revision,
  .on_failure = on_targets_failure,
  .on_restored = on_targets_restored,
};

static uint32_t
count_regions (const EnSettings *settings)
{
  g_autoptr (GHashTable) regions = g_hash_table_new (g_str_hash, g_str_equal);
  GHashTableIter zones;
  gpointer region;

  g_hash_table_iter_init (&zones, settings->zones);
  while (g_hash_table_iter_next (&zones, NULL, &region))
    g_hash_table_add (regions, region);
  return g_hash_table_size (regions);
}

static void
on_placement_rebuilt (const TgRebuild *rebuild, void *data)
{
  const EnListing *listing = data;
  const TgPlacementCounters *counters
      = tg_placement_counters (listing->targets);

  tr_log (listing->options.trace, EV_PLACEMENT_REBUILT,
          "service=%s targets=%u objects=%u local_permille=%.0f"
          " moved_removed=%" G_GUINT64_FORMAT " moved_added=%" G_GUINT64_FORMAT
          " moved_share=%" G_GUINT64_FORMAT,
          rebuild->service, rebuild->target_count, rebuild->object_count,
          rebuild->local_fraction * 1000, counters->moved_removed_count,
          counters->moved_added_count, counters->moved_share_count);
}

EnListing *
en_listing_new (const EnListingOptions *options)
{
  EnListing *listing = g_new0 (EnListing, 1);
  PfWatcherOptions watcher = {
    .kind = PF_WATCH_TARGETS,
    .zones = options->settings->zones,
    .wait_ms = TARGETS_WATCH_TIMEOUT_MS,
    .watch_delay_ms = TARGETS_WATCH_DELAY_MS,
    .retry_delay_max_ms = TARGETS_RETRY_DELAY_MAX_MS,
    .callbacks = &target_callbacks,
    .data = listing,
  };

  listing->options = *options;
  listing->targets = tg_new (
      &(TgOptions){ .zone = options->settings->zone,
                    .region = options->settings->region,
                    .region_count = count_regions (options->settings),
                    .imbalance_max = options->settings->placement_imbalance,
                    .on_rebuilt = on_placement_rebuilt,
                    .data = listing });
  listing->retained_ids
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  listing->pending_updates = g_array_new (FALSE, FALSE, sizeof (TgEntry));
  g_array_set_clear_func (listing->pending_updates, clear_update);
  listing->pending_removals = g_ptr_array_new_with_free_func (g_free);
  listing->leader_timer
      = event_new (options->base, -1, 0, on_leader_timeout, listing);
  listing->retain_timer
      = en_timer_new (options->base, on_retain_timeout, listing);
  listing->watcher = pf_watcher_new (options->store, &watcher);
  return listing;
}

void
en_listing_free (EnListing *listing)
{
  if (listing == NULL)
    return;
  pf_watcher_free (listing->watcher);
  en_timer_free (listing->retain_timer);
  event_free (listing->leader_timer);
  g_array_unref (listing->pending_updates);
  g_ptr_array_unref (listing->pending_removals);
  g_hash_table_unref (listing->retained_ids);
  tg_free (listing->targets);
  g_free (listing);
}

TgSet *
en_listing_targets (const EnListing *listing)
{
  return listing->targets;
}

gboolean
en_listing_is_loaded (const EnListing *listing)
{
  return listing->is_loaded;
}
