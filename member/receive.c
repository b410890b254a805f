/* Applies messages from other members.  */

#include "member/internal.h"

#include <stdlib.h>
#include <string.h>

void
mb_mark_silent (MbTable *table, Entry *entry, int64_t now_us)
{
  (void)now_us;
  entry->silent = TRUE;
  entry->reported_us = DISTANT_PAST;
  mb_enqueue_update (table, &entry->status_update);
}

static gboolean
is_valid_name (const char *name)
{
  return name[0] != '\0' && strlen (name) < MB_NAME_BYTES;
}

static gboolean
replace_string (char *to, const char *from)
{
  if (strcmp (to, from) == 0)
    return FALSE;
  g_strlcpy (to, from, MB_NAME_BYTES);
  return TRUE;
}

static gboolean
set_identity (MbMember *member, const char *zone, const char *region,
              const char *http_address, const char *peer_address)
{
  gboolean changed = replace_string (member->zone, zone);

  changed |= replace_string (member->region, region);
  changed |= replace_string (member->http_address, http_address);
  changed |= replace_string (member->peer_address, peer_address);
  return changed;
}

static gboolean
quota_equal (const MbQuotaDemand *a, const MbQuotaDemand *b)
{
  return a->quota_id == b->quota_id && a->surplus_utok == b->surplus_utok
         && a->demand_utok_per_s == b->demand_utok_per_s;
}

static gboolean
set_quotas (Entry *entry, const Peer__Report *report)
{
  uint32_t count = (uint32_t)MIN (report->n_quotas, MB_QUOTAS_PER_REPORT);
  gboolean changed = count != entry->quota_count;

  for (uint32_t i = 0; i < count; i++)
    {
      const Peer__QuotaDemand *from = report->quotas[i];
      MbQuotaDemand quota = { .quota_id = from->quota_id,
                              .surplus_utok = from->surplus_utok,
                              .demand_utok_per_s = from->demand_utok_per_s };

      changed |= !quota_equal (&quota, &entry->quotas[i]);
      entry->quotas[i] = quota;
    }
  entry->quota_count = count;
  return changed;
}

static gboolean
is_newer (const Entry *entry, uint64_t incarnation, uint64_t sequence)
{
  return incarnation > entry->member.incarnation
         || (incarnation == entry->member.incarnation
             && sequence > entry->sequence);
}

/* Load and quotas change with every report, so they are published at a limited
   rate.  */
static void
publish_load (MbTable *table, Entry *entry, gboolean quotas_changed,
              int64_t now_us)
{
  uint32_t load = entry->member.load_permille;
  uint32_t published = entry->published_load_permille;
  uint32_t delta = load > published ? load - published : published - load;

  if (!quotas_changed && delta < LOAD_STEP_PERMILLE)
    return;
  if (now_us < entry->published_us + mb_load_publish_interval_us (table))
    return;
  entry->published_us = now_us;
  entry->published_load_permille = load;
  mb_enqueue_update (table, &entry->load_update);
}

/* Applies a digest entry that says that ENTRY's member is silent.  If this
   member has received something newer, it publishes that the other isn't.  */
static void
apply_silence (MbTable *table, Entry *entry, const Peer__Report *report,
               int64_t now_us)
{
  if (report->incarnation == entry->member.incarnation
      && report->sequence >= entry->sequence
      && now_us > entry->last_direct_us + MB_SILENCE_TIMEOUT_US)
    {
      if (!entry->silent)
        mb_mark_silent (table, entry, now_us);
    }
  else if (!entry->silent)
    mb_enqueue_update (table, &entry->status_update);
}

/* Applies a member's report, or its entry in a digest.  */
static void
apply_member (MbTable *table, const char *vm, uint64_t incarnation,
              const Peer__Report *report, int64_t now_us)
{
  Entry *entry = mb_get_entry (table, vm);
  MbMember *member = &entry->member;
  gboolean had_high_load = member->load_permille > LOAD_HIGH_PERMILLE;
  gboolean changed = !entry->self_reported;
  gboolean status_changed = entry->silent != report->silent;
  gboolean quotas_changed = FALSE;

  if (entry == table->self)
    return;
  if (!is_newer (entry, incarnation, report->sequence))
    {
      if (report->silent)
        apply_silence (table, entry, report, now_us);
      return;
    }
  if (report->zone[0] != '\0')
    {
      changed |= set_identity (member, report->zone, report->region,
                               report->http_address, report->peer_address);
      mb_update_zone (table, entry);
    }
  if (!entry->zone_known)
    return;
  changed |= member->incarnation != incarnation;
  status_changed |= member->leaving != report->leaving;
  status_changed
      |= had_high_load != (report->load_permille > LOAD_HIGH_PERMILLE);
  member->incarnation = incarnation;
  member->leaving = report->leaving;
  member->load_permille = report->load_permille;
  entry->sequence = report->sequence;
  entry->self_reported = TRUE;
  entry->silent = report->silent;
  if (report->n_quotas > 0)
    quotas_changed = set_quotas (entry, report);
  if (changed)
    mb_enqueue_update (table, &entry->identity_update);
  if (status_changed)
    mb_enqueue_update (table, &entry->status_update);
  publish_load (table, entry, quotas_changed, now_us);
}

static void
apply_target (MbTable *table, const char *holder,
              const Peer__TargetState *from, int64_t sent_us, int64_t now_us)
{
  Target *target = g_hash_table_lookup (table->targets, from->target);
  MbTargetState state = { .healthy = from->healthy,
                          .draining = from->draining,
                          .free_slots = from->free_slots,
                          .held_slots = from->held_slots,
                          .warm_permille = from->warm_permille };
  int64_t reported_us = sent_us - (int64_t)from->age_ms * 1000;
  gboolean urgent;

  if (!is_valid_name (from->target)
      || strcmp (holder, table->self->member.vm) == 0)
    return;
  mb_copy_name (state.target, from->target);
  if (target == NULL)
    {
      target = mb_target_new (table, &state);
    }
  else if (reported_us <= target->reported_us)
    return;
  urgent = target->published_us == DISTANT_PAST
           || target->published.healthy != state.healthy
           || target->published.draining != state.draining;
  mb_copy_name (target->holder, holder);
  target->state = state;
  target->reported_us = reported_us;
  if (!urgent
      && (memcmp (&target->published, &state, sizeof state) == 0
          || now_us
                 < target->published_us + mb_load_publish_interval_us (table)))
    return;
  target->published = state;
  target->published_us = now_us;
  mb_enqueue_update (table,
                     urgent ? &target->status_update : &target->slots_update);
  if (urgent && table->zone_hub_since_us != NEVER)
    mb_expedite_send (table, now_us);
}

/* Lower bound of the time when the peer sent a message with ECHO; DISTANT_PAST
   if unknown.  */
static int64_t
earliest_sent_us (const Peer__Echo *echo, int64_t now_us)
{
  int64_t held_us = (int64_t)echo->held_ms * 1000;
  int64_t sent_us;

  if (echo->echo_ms == 0 || echo->echo_ms > (uint64_t)(now_us / 1000))
    return DISTANT_PAST;
  sent_us = (int64_t)echo->echo_ms * 1000
            + held_us / 1000 * (1000 - MB_CLOCK_DRIFT_PERMILLE);
  return MIN (sent_us, now_us);
}

static void
update_latest_versions (MbTable *table, const char *from_vm, uint64_t config,
                        uint64_t assign)
{
  if (config > table->latest_config || table->config_source[0] == '\0')
    mb_copy_name (table->config_source, from_vm);
  table->latest_config = MAX (table->latest_config, config);
  table->latest_assign = MAX (table->latest_assign, assign);
}

/* Updates the peer's state from the echo of a message.  NULL for a message
   that is malformed, or sent before the last one received.  */
static Peer *
receive_echo (MbTable *table, const char *from_vm, uint64_t incarnation,
              const Peer__Echo *echo, int64_t now_us)
{
  Entry *entry;
  Peer *peer;

  if (echo == NULL || !is_valid_name (from_vm)
      || strcmp (from_vm, table->self->member.vm) == 0)
    return NULL;
  peer = mb_get_peer (table, from_vm);
  if (peer->incarnation != incarnation)
    {
      peer->incarnation = incarnation;
      peer->last_sent_ms = 0;
      memset (peer->received_change, 0, sizeof peer->received_change);
      peer->received_report = 0;
      peer->acked_report = 0;
      peer->filter = 0;
    }
  if (echo->sent_ms < peer->last_sent_ms)
    return NULL;
  peer->last_sent_ms = echo->sent_ms;
  peer->last_received_us = now_us;
  peer->awaiting_since_us = NEVER;
  peer->unresponsive_us = DISTANT_PAST;
  if (peer->filter != 0 && echo->echo_ms >= peer->filter_ms
      && echo->acked_change <= table->change
      && echo->acked_backlog <= table->change)
    {
      peer->acked_change[QUEUE_URGENT]
          = MAX (echo->acked_change, peer->acked_change[QUEUE_URGENT]);
      peer->acked_change[QUEUE_BACKLOG]
          = MAX (echo->acked_backlog, peer->acked_change[QUEUE_BACKLOG]);
    }
  if (echo->acked_report <= table->change)
    peer->acked_report = echo->acked_report;
  entry = mb_get_entry (table, from_vm);
  entry->last_direct_us = now_us;
  return peer;
}

static void
record_wanted_quotas (Peer *peer, const Peer__Report *report)
{
  peer->wanted_count = 0;
  for (size_t i = 0; i < report->n_quotas; i++)
    if (report->quotas[i]->demand_utok_per_s > 0
        && report->quotas[i]->surplus_utok == 0
        && peer->wanted_count < MB_QUOTAS_PER_REPORT)
      peer->wanted_quota_ids[peer->wanted_count++]
          = report->quotas[i]->quota_id;
}

void
mb_receive_report (MbTable *table, const char *from_vm, uint64_t incarnation,
                   const Peer__Report *report, int64_t now_us,
                   MbMessage *reply)
{
  Peer *peer
      = receive_echo (table, from_vm, incarnation, report->echo, now_us);
  Entry *entry;
  int64_t sent_us;

  memset (reply, 0, sizeof *reply);
  if (peer == NULL)
    {
      table->ignored_count++;
      return;
    }
  sent_us = earliest_sent_us (report->echo, now_us);
  /* Targets in a message of unknown age are dropped and not acknowledged, so
     that they are sent again.  */
  if (sent_us != DISTANT_PAST)
    peer->received_report = report->change;
  record_wanted_quotas (peer, report);
  update_latest_versions (table, from_vm, report->config_version,
                          report->assign_version);
  apply_member (table, from_vm, incarnation, report, now_us);
  entry = mb_get_entry (table, from_vm);
  entry->reported_config = report->config_version;
  entry->reported_assign = report->assign_version;
  entry->reported_us = sent_us;
  if (sent_us != DISTANT_PAST)
    for (size_t i = 0; i < report->n_targets; i++)
      apply_target (table, from_vm, report->targets[i], sent_us, now_us);
  mb_update_freshness (table, now_us);
  if (!report->wants_answer)
    return;
  /* A peer that has received the same members from others needs no backlog.
     Urgent updates aren't skipped, because the hash doesn't cover targets.  */
  if (peer->acked_change[QUEUE_BACKLOG] == 0
      && report->table_hash == mb_table_hash (table))
    peer->acked_change[QUEUE_BACKLOG] = table->change;
  *reply = mb_build_digest (table, from_vm, DIGEST_TO_MEMBER, TRUE, now_us);
}

static Summary *
get_summary (GHashTable *summaries, const char *name)
{
  Summary *summary = g_hash_table_lookup (summaries, name);

  if (summary != NULL || !is_valid_name (name))
    return summary;
  summary = g_new0 (Summary, 1);
  mb_copy_name (summary->name, name);
  g_hash_table_insert (summaries, summary->name, summary);
  return summary;
}

static void
decode_summary (Summary *summary, const Peer__ZoneSummary *from,
                int64_t sent_us, int64_t now_us)
{
  size_t count = MIN (from->n_ages_ms, from->n_counts);

  summary->assign_version = from->assign_version;
  summary->config_max = from->config_version_max;
  summary->current_count = from->current_count;
  summary->received_us = now_us;
  summary->bucket_count = 0;
  if (sent_us == DISTANT_PAST)
    return;
  for (size_t i = 0; i < MIN (count, AGE_BUCKETS_MAX); i++)
    {
      summary->reported_us[i] = sent_us - (int64_t)from->ages_ms[i] * 1000;
      summary->counts[i] = from->counts[i];
      summary->bucket_count++;
    }
}

static void
mark_zone_silent (MbTable *table, const char *zone, int64_t now_us)
{
  int64_t *until_us;

  if (strcmp (zone, table->self->member.zone) == 0)
    return;
  until_us = g_new (int64_t, 1);
  *until_us = now_us + SILENT_ZONE_TTL_US;
  g_hash_table_replace (table->silent_zones, g_strdup (zone), until_us);
}

/* Returns the kind of digest that is the reply to a digest with this summary;
   DIGEST_TO_MEMBER if there is no reply.  */
static DigestKind
apply_summary (MbTable *table, const Peer__ZoneSummary *from, int64_t sent_us,
               int64_t now_us)
{
  gboolean has_zone = from->zone[0] != '\0';
  gboolean has_region = from->region[0] != '\0';
  Summary *summary;

  if (has_zone && !has_region)
    {
      mark_zone_silent (table, from->zone, now_us);
      return DIGEST_TO_MEMBER;
    }
  if (!has_region)
    {
      summary = from->member_count > 0 ? &table->outside_summary
                                       : &table->fleet_summary;
      decode_summary (summary, from, sent_us, now_us);
      table->last_digest_us = now_us;
      return DIGEST_TO_MEMBER;
    }
  summary = has_zone ? get_summary (table->zone_summaries, from->zone)
                     : get_summary (table->region_summaries, from->region);
  if (summary != NULL)
    decode_summary (summary, from, sent_us, now_us);
  return has_zone ? DIGEST_REGION_TO_ZONE : DIGEST_REGION_TO_REGION;
}

void
mb_receive_digest (MbTable *table, const char *from_vm, uint64_t incarnation,
                   const Peer__Digest *digest, int64_t now_us,
                   MbMessage *reply)
{
  Peer *peer
      = receive_echo (table, from_vm, incarnation, digest->echo, now_us);
  DigestKind kind = DIGEST_TO_MEMBER;
  int64_t sent_us;

  memset (reply, 0, sizeof *reply);
  if (peer == NULL)
    {
      table->ignored_count++;
      return;
    }
  sent_us = earliest_sent_us (digest->echo, now_us);
  if (sent_us != DISTANT_PAST)
    {
      peer->received_change[QUEUE_URGENT] = digest->change;
      peer->received_change[QUEUE_BACKLOG] = digest->backlog;
    }
  update_latest_versions (table, from_vm, digest->config_version,
                          digest->assign_version);
  for (size_t i = 0; i < digest->n_zones; i++)
    {
      DigestKind reply_kind
          = apply_summary (table, digest->zones[i], sent_us, now_us);

      if (reply_kind != DIGEST_TO_MEMBER)
        kind = reply_kind;
    }
  for (size_t i = 0; i < digest->n_members; i++)
    {
      const Peer__Report *report = digest->members[i];

      if (!is_valid_name (report->vm))
        {
          table->ignored_count++;
          continue;
        }
      if (report->n_targets == 0)
        apply_member (table, report->vm, report->incarnation, report, now_us);
      for (size_t k = 0; sent_us != DISTANT_PAST && k < report->n_targets; k++)
        apply_target (table, report->vm, report->targets[k], sent_us, now_us);
    }
  mb_update_freshness (table, now_us);
  if (digest->answer || kind == DIGEST_TO_MEMBER)
    return;
  peer->last_request_us = now_us;
  if (kind == DIGEST_REGION_TO_ZONE)
    table->last_zone_request_us = now_us;
  *reply = mb_build_digest (table, from_vm, kind, TRUE, now_us);
}

void
mb_receive_hello (MbTable *table, const char *from_vm, uint64_t incarnation,
                  const Peer__Hello *hello, int64_t now_us)
{
  Entry *entry;
  Peer *peer;

  if (!is_valid_name (from_vm) || !is_valid_name (hello->zone)
      || !is_valid_name (hello->region)
      || strcmp (from_vm, table->self->member.vm) == 0)
    {
      table->ignored_count++;
      return;
    }
  entry = mb_get_entry (table, from_vm);
  peer = mb_get_peer (table, from_vm);
  peer->unresponsive_us = DISTANT_PAST;
  entry->last_direct_us = now_us;
  if (set_identity (&entry->member, hello->zone, hello->region,
                    hello->http_address, hello->peer_address)
      || !entry->self_reported)
    mb_enqueue_update (table, &entry->identity_update);
  mb_update_zone (table, entry);
  entry->self_reported = TRUE;
  entry->member.incarnation = MAX (entry->member.incarnation, incarnation);
}
