/* Builds reports and digests.  protobuf-c frees them with free, so they are
   allocated with malloc.  */

#include "member/internal.h"

#include <string.h>
#include <xxhash.h>

static char *
copy_string (const char *text)
{
  char *copy = malloc (strlen (text) + 1);

  g_assert (copy != NULL);
  strcpy (copy, text);
  return copy;
}

static void *
alloc_zeroed (size_t size)
{
  void *memory = calloc (1, size);

  g_assert (memory != NULL);
  return memory;
}

static Peer__Echo *
build_echo (MbTable *table, const char *to, int64_t now_us)
{
  const Peer *peer = mb_get_peer (table, to);
  Peer__Echo *echo = alloc_zeroed (sizeof *echo);

  peer__echo__init (echo);
  echo->sent_ms = (uint64_t)(now_us / 1000);
  echo->acked_change = peer->received_change[QUEUE_URGENT];
  echo->acked_report = peer->received_report;
  echo->acked_backlog = peer->received_change[QUEUE_BACKLOG];
  if (peer->last_received_us == DISTANT_PAST)
    return echo;
  echo->echo_ms = peer->last_sent_ms;
  /* Rounded down, so that the receiver overestimates the message's age.  */
  echo->held_ms = (uint32_t)CLAMP ((now_us - peer->last_received_us) / 1000, 0,
                                   UINT32_MAX);
  return echo;
}

static void
build_quotas (Peer__Report *report, const MbQuotaDemand *quotas,
              uint32_t count)
{
  report->n_quotas = count;
  report->quotas = alloc_zeroed (MAX (count, 1) * sizeof *report->quotas);
  for (uint32_t i = 0; i < count; i++)
    {
      Peer__QuotaDemand *quota = alloc_zeroed (sizeof *quota);

      peer__quota_demand__init (quota);
      quota->quota_id = quotas[i].quota_id;
      quota->surplus_utok = quotas[i].surplus_utok;
      quota->demand_utok_per_s = quotas[i].demand_utok_per_s;
      report->quotas[i] = quota;
    }
}

static Peer__TargetState *
build_target_state (const Target *target, int64_t now_us)
{
  Peer__TargetState *state = alloc_zeroed (sizeof *state);

  peer__target_state__init (state);
  state->target = copy_string (target->state.target);
  state->healthy = target->state.healthy;
  state->draining = target->state.draining;
  state->free_slots = target->state.free_slots;
  state->held_slots = target->state.held_slots;
  state->warm_permille = target->state.warm_permille;
  state->age_ms = (uint32_t)CLAMP ((now_us - target->reported_us + 999) / 1000,
                                   0, UINT32_MAX);
  return state;
}

static void
build_identity (Peer__Report *report, const MbMember *member)
{
  report->zone = copy_string (member->zone);
  report->region = copy_string (member->region);
  report->http_address = copy_string (member->http_address);
  report->peer_address = copy_string (member->peer_address);
}

static Peer__Report *
new_report (void)
{
  Peer__Report *report = alloc_zeroed (sizeof *report);

  peer__report__init (report);
  return report;
}

static gboolean
is_target_update (const Update *update)
{
  return update->kind == UPDATE_TARGET_SLOTS
         || update->kind == UPDATE_TARGET_STATUS;
}

/* The entry of a digest for one update.  */
static Peer__Report *
build_digest_entry (const Update *update, int64_t now_us)
{
  Peer__Report *report = new_report ();
  const Entry *entry;

  if (is_target_update (update))
    {
      const Target *target = update->owner;

      report->vm = copy_string (target->holder);
      report->n_targets = 1;
      report->targets = alloc_zeroed (sizeof *report->targets);
      report->targets[0] = build_target_state (target, now_us);
      return report;
    }
  entry = update->owner;
  report->vm = copy_string (entry->member.vm);
  report->incarnation = entry->member.incarnation;
  report->sequence = entry->sequence;
  report->leaving = entry->member.leaving;
  report->silent = entry->silent;
  report->load_permille = entry->member.load_permille;
  if (update->kind == UPDATE_MEMBER_IDENTITY)
    build_identity (report, &entry->member);
  if (update->kind == UPDATE_MEMBER_LOAD)
    build_quotas (report, entry->quotas, entry->quota_count);
  return report;
}

/* The member, or the target's holder, of an update; NULL if it isn't known. */
static const MbMember *
find_update_member (const MbTable *table, const Update *update)
{
  const Target *target = update->owner;
  const Entry *entry = update->owner;

  if (is_target_update (update))
    entry = g_hash_table_lookup (table->entries, target->holder);
  return entry == NULL || !entry->zone_known ? NULL : &entry->member;
}

static gboolean
is_update_for (const MbTable *table, const Update *update, const Entry *to,
               DigestKind kind)
{
  const MbMember *member = find_update_member (table, update);
  const MbMember *self = &table->self->member;

  if (member == NULL || strcmp (member->vm, to->member.vm) == 0)
    return FALSE;
  if ((update->kind == UPDATE_MEMBER_LOAD
       || update->kind == UPDATE_TARGET_SLOTS)
      && table->assigned_count > SMALL_FLEET_MAX
      && (kind != DIGEST_TO_MEMBER || strcmp (member->zone, self->zone) != 0))
    return FALSE;
  switch (kind)
    {
    case DIGEST_ZONE_TO_REGION:
      return strcmp (member->zone, self->zone) == 0;
    case DIGEST_REGION_TO_ZONE:
      return strcmp (member->zone, to->member.zone) != 0;
    case DIGEST_REGION_TO_REGION:
      /* Urgent updates are also relayed back to their own region, parts of
         which may lack them.  */
      return update->kind <= UPDATE_TARGET_STATUS
             || strcmp (member->region, self->region) == 0;
    case DIGEST_TO_MEMBER:
      break;
    }
  return TRUE;
}

static void
refill_entry_budget (MbTable *table, int64_t now_us)
{
  int64_t elapsed_us
      = MIN (now_us - table->budget_refilled_us, (int64_t)10 * G_USEC_PER_SEC);
  int64_t gained_bytes = elapsed_us * MB_ENTRY_BYTES_PER_S / G_USEC_PER_SEC;

  if (gained_bytes <= 0)
    return;
  table->entry_budget_bytes
      = MIN (table->entry_budget_bytes + gained_bytes, ENTRY_BURST_BYTES);
  table->budget_refilled_us = now_us;
}

uint64_t
mb_table_hash (const MbTable *table)
{
  GHashTableIter iter;
  void *value;
  uint64_t sum = 1;

  g_hash_table_iter_init (&iter, table->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const Entry *entry = value;
      uint64_t state = entry->member.incarnation << 2
                       | (uint64_t)entry->member.leaving << 1
                       | (uint64_t)entry->silent;

      if (entry->zone_known)
        sum ^= XXH64 (&state, sizeof state, entry->vm_hash);
    }
  return sum;
}

/* The first update after CHANGE, or NULL.  */
static GList *
first_update_after (const MbTable *table, UpdateQueue queue, uint64_t change)
{
  GList *node = g_queue_peek_tail_link ((GQueue *)&table->updates[queue]);
  GList *first_update = NULL;

  for (; node != NULL && ((Update *)node->data)->change > change;
       node = node->prev)
    first_update = node;
  return first_update;
}

/* Digests of any kind to a member of this zone have to contain the same
   updates, because it acknowledges all of them with one change number.  */
DigestKind
mb_filter_kind (const MbTable *table, const char *zone, DigestKind kind)
{
  return strcmp (zone, table->self->member.zone) == 0 ? DIGEST_TO_MEMBER
                                                      : kind;
}

/* Adds the updates that RECEIVER hasn't acknowledged, as long as BYTES remain.
   Returns the change up to which the receiver then lacks no update.  */
static uint64_t
add_queued_updates (MbTable *table, GPtrArray *reports, const Entry *receiver,
                    DigestKind kind, UpdateQueue queue, int64_t bytes,
                    int64_t now_us)
{
  uint64_t from
      = mb_get_peer (table, receiver->member.vm)->acked_change[queue];

  for (GList *node = first_update_after (table, queue, from); node != NULL;
       node = node->next)
    {
      const Update *update = node->data;
      Peer__Report *report;
      int64_t size;

      if (!is_update_for (table, update, receiver, kind))
        continue;
      if (bytes <= 0)
        return update->change - 1;
      report = build_digest_entry (update, now_us);
      /* Key and length of the entry take up to 3 bytes.  */
      size = (int64_t)peer__report__get_packed_size (report) + 3;
      table->entry_budget_bytes -= size;
      bytes -= size;
      g_ptr_array_add (reports, report);
    }
  return table->change;
}

static void
add_updates (MbTable *table, Peer__Digest *digest, const Entry *to,
             DigestKind kind, int64_t now_us)
{
  Peer *peer = mb_get_peer (table, to->member.vm);
  g_autoptr (GPtrArray) reports = g_ptr_array_new ();
  int64_t bytes;

  kind = mb_filter_kind (table, to->member.zone, kind);
  if (peer->filter != (int)kind + 1)
    {
      peer->filter = (int)kind + 1;
      peer->filter_ms = (uint64_t)(now_us / 1000);
      memset (peer->acked_change, 0, sizeof peer->acked_change);
    }
  refill_entry_budget (table, now_us);
  bytes = table->entry_budget_bytes;
  digest->change = add_queued_updates (table, reports, to, kind, QUEUE_URGENT,
                                       ENTRY_BYTES_PER_DIGEST_MAX, now_us);
  bytes = ENTRY_BYTES_PER_DIGEST_MAX - (bytes - table->entry_budget_bytes);
  table->entry_budget_bytes
      = MAX (table->entry_budget_bytes, -ENTRY_BURST_BYTES);
  bytes = MIN (bytes, table->entry_budget_bytes);
  digest->backlog = add_queued_updates (table, reports, to, kind,
                                        QUEUE_BACKLOG, bytes, now_us);
  digest->n_members = reports->len;
  digest->members = alloc_zeroed (MAX (reports->len, 1) * sizeof (void *));
  for (guint i = 0; i < reports->len; i++)
    digest->members[i] = g_ptr_array_index (reports, i);
}

static Peer__ZoneSummary *
build_zone_summary (const Summary *summary, const char *zone,
                    const char *region, int64_t now_us)
{
  Peer__ZoneSummary *zone_summary = alloc_zeroed (sizeof *zone_summary);

  peer__zone_summary__init (zone_summary);
  zone_summary->zone = copy_string (zone);
  zone_summary->region = copy_string (region);
  zone_summary->assign_version = summary->assign_version;
  zone_summary->config_version_max = summary->config_max;
  zone_summary->current_count = summary->current_count;
  zone_summary->n_ages_ms = zone_summary->n_counts = summary->bucket_count;
  zone_summary->ages_ms
      = alloc_zeroed (AGE_BUCKETS_MAX * sizeof *zone_summary->ages_ms);
  zone_summary->counts
      = alloc_zeroed (AGE_BUCKETS_MAX * sizeof *zone_summary->counts);
  for (uint32_t i = 0; i < summary->bucket_count; i++)
    {
      /* Rounded up: an age is an upper bound.  */
      zone_summary->ages_ms[i] = (uint32_t)CLAMP (
          (now_us - summary->reported_us[i] + 999) / 1000, 0, UINT32_MAX);
      zone_summary->counts[i] = summary->counts[i];
    }
  return zone_summary;
}

/* Leaves one bucket with more than half of the members, or none: a member
   needs only the age up to which that many have reported.  */
static void
truncate_to_majority (const MbTable *table, Summary *summary)
{
  uint32_t reported_count = 0;

  for (uint32_t i = 0; i < summary->bucket_count; i++)
    {
      reported_count += summary->counts[i];
      if (2 * reported_count <= table->assigned_count)
        continue;
      summary->reported_us[0] = summary->reported_us[i];
      summary->counts[0] = reported_count;
      summary->bucket_count = 1;
      return;
    }
  summary->bucket_count = 0;
}

static Peer__ZoneSummary *
build_digest_summary (const MbTable *table, const Entry *to, DigestKind kind,
                      int64_t now_us)
{
  const MbMember *self = &table->self->member;
  Peer__ZoneSummary *zone_summary;
  gboolean outside_zone = FALSE;
  Summary summary;

  switch (kind)
    {
    case DIGEST_ZONE_TO_REGION:
      g_array_unref (mb_summarize_zone (table, now_us, &summary));
      return build_zone_summary (&summary, self->zone, self->region, now_us);
    case DIGEST_REGION_TO_REGION:
      mb_summarize_region (table, NULL, FALSE, now_us, &summary);
      return build_zone_summary (&summary, "", self->region, now_us);
    case DIGEST_REGION_TO_ZONE:
      mb_summarize_region (table, to->member.zone, TRUE, now_us, &summary);
      outside_zone = TRUE;
      break;
    case DIGEST_TO_MEMBER:
      if (!mb_summarize_fleet (table, now_us, &summary))
        memset (&summary, 0, sizeof summary);
      truncate_to_majority (table, &summary);
      break;
    }
  zone_summary = build_zone_summary (&summary, "", "", now_us);
  /* Marks a summary of all but the receiver's zone; see apply_summary.  */
  zone_summary->member_count = outside_zone;
  return zone_summary;
}

/* Adds an empty summary for each silent zone, which marks it as silent; see
   apply_summary.  Another region's hub is sent only those of this region.  */
static void
add_silent_zones (const MbTable *table, GPtrArray *summaries, DigestKind kind,
                  int64_t now_us)
{
  g_autoptr (GHashTable) seen = g_hash_table_new (g_str_hash, g_str_equal);
  static const Summary empty_summary;
  GHashTableIter iter;
  void *value;

  if (table->region_hub_since_us == NEVER
      && g_hash_table_size (table->silent_zones) == 0)
    return;
  g_hash_table_iter_init (&iter, table->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const MbMember *member = &((const Entry *)value)->member;

      if (!((const Entry *)value)->zone_known
          || (kind == DIGEST_REGION_TO_REGION
              && strcmp (member->region, table->self->member.region) != 0)
          || !g_hash_table_add (seen, (void *)member->zone)
          || !mb_zone_silent (table, member->zone, member->region, now_us))
        continue;
      g_ptr_array_add (
          summaries,
          build_zone_summary (&empty_summary, member->zone, "", now_us));
    }
}

/* Adds the load of members of this zone, from which the receiver may borrow,
   if it has reported demand but no surplus of a quota.  In a small fleet the
   load of all members is published anyway.  */
static void
add_lenders (MbTable *table, Peer__Digest *digest, const Peer *peer,
             int64_t now_us)
{
  GHashTableIter iter;
  void *value;
  uint32_t room = MB_LENDERS_PER_QUOTA;

  if (peer->wanted_count == 0 || table->assigned_count <= SMALL_FLEET_MAX)
    return;
  digest->members = realloc (digest->members, (digest->n_members + room)
                                                  * sizeof *digest->members);
  g_assert (digest->members != NULL);
  g_hash_table_iter_init (&iter, table->entries);
  while (room > 0 && g_hash_table_iter_next (&iter, NULL, &value))
    {
      Entry *entry = value;

      if (entry->quota_count == 0 || entry == table->self
          || strcmp (entry->member.vm, peer->vm) == 0
          || !mb_is_live (table, entry, now_us)
          || strcmp (entry->member.zone, table->self->member.zone) != 0)
        continue;
      digest->members[digest->n_members++]
          = build_digest_entry (&entry->load_update, now_us);
      room--;
    }
}

MbMessage
mb_build_digest (MbTable *table, const char *to, DigestKind kind,
                 gboolean is_reply, int64_t now_us)
{
  MbMessage message = { .digest = alloc_zeroed (sizeof (Peer__Digest)) };
  g_autoptr (GPtrArray) summaries = g_ptr_array_new ();
  Peer__Digest *digest = message.digest;
  const Entry *entry = mb_get_entry (table, to);

  peer__digest__init (digest);
  mb_copy_name (message.to, to);
  digest->answer = is_reply;
  digest->config_version = table->config_known;
  digest->assign_version = table->assign_version;
  digest->echo = build_echo (table, to, now_us);
  g_ptr_array_add (summaries,
                   build_digest_summary (table, entry, kind, now_us));
  if (kind != DIGEST_ZONE_TO_REGION)
    add_silent_zones (table, summaries, kind, now_us);
  digest->n_zones = summaries->len;
  digest->zones = alloc_zeroed (summaries->len * sizeof *digest->zones);
  for (guint i = 0; i < summaries->len; i++)
    digest->zones[i] = g_ptr_array_index (summaries, i);
  add_updates (table, digest, entry, kind, now_us);
  if (kind == DIGEST_TO_MEMBER)
    add_lenders (table, digest, mb_get_peer (table, to), now_us);
  return message;
}

/* Adds this member's targets that changed since the hub's last
   acknowledgement.  */
static void
add_own_targets (const MbTable *table, Peer__Report *report, const Peer *peer,
                 int64_t now_us)
{
  report->targets
      = alloc_zeroed (TARGETS_PER_REPORT_MAX * sizeof *report->targets);
  report->change = table->change;
  for (int queue = 0; queue < QUEUE_COUNT; queue++)
    for (GList *node
         = first_update_after (table, (UpdateQueue)queue, peer->acked_report);
         node != NULL; node = node->next)
      {
        const Update *update = node->data;
        const Target *target = update->owner;

        if (!is_target_update (update)
            || strcmp (target->holder, table->self->member.vm) != 0)
          continue;
        if (report->n_targets == TARGETS_PER_REPORT_MAX)
          {
            report->change = MIN (report->change, update->change - 1);
            break;
          }
        report->targets[report->n_targets++]
            = build_target_state (target, now_us);
      }
}

MbMessage
mb_build_report (MbTable *table, const char *to, gboolean wants_reply,
                 int64_t now_us)
{
  MbMessage message = { .report = new_report () };
  Peer__Report *report = message.report;
  const MbMember *self = &table->self->member;
  const Peer *peer = mb_get_peer (table, to);

  mb_copy_name (message.to, to);
  report->wants_answer = wants_reply;
  report->sequence = ++table->self->sequence;
  report->config_version = table->config_known;
  report->assign_version = table->assign_version;
  report->leaving = self->leaving;
  report->load_permille = self->load_permille;
  report->echo = build_echo (table, to, now_us);
  /* Sent until the hub has acknowledged it.  */
  if (table->self->identity_update.change > peer->acked_report)
    build_identity (report, self);
  add_own_targets (table, report, peer, now_us);
  if (wants_reply)
    {
      report->table_hash = mb_table_hash (table);
      build_quotas (report, table->quotas, table->quota_count);
    }
  return message;
}
