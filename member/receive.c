/* Messages of other members.  */

#include "member/internal.h"

#include <stdlib.h>
#include <string.h>

void
mb_mark_silent (MbTable *table, Entry *entry, int64_t now_us)
{
  (void)now_us;
  entry->silent = TRUE;
  entry->stated_us = LONG_AGO;
  mb_touch (table, &entry->alert_item);
}

static gboolean
is_name (const char *name)
{
  return name[0] != '\0' && strlen (name) < MB_NAME_BYTES;
}

static gboolean
set_text (char *to, const char *from)
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
  gboolean changed = set_text (member->zone, zone);

  changed |= set_text (member->region, region);
  changed |= set_text (member->http_address, http_address);
  changed |= set_text (member->peer_address, peer_address);
  return changed;
}

static gboolean
same_quota (const MbQuota *a, const MbQuota *b)
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
      MbQuota quota = { .quota_id = from->quota_id,
                        .surplus_utok = from->surplus_utok,
                        .demand_utok_per_s = from->demand_utok_per_s };

      changed |= !same_quota (&quota, &entry->quotas[i]);
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

/* What changes with every report is passed on only now and then.  */
static void
pass_load (MbTable *table, Entry *entry, gboolean quotas_changed,
           int64_t now_us)
{
  uint32_t load = entry->member.load_permille;
  uint32_t passed = entry->passed_load_permille;
  uint32_t step = load > passed ? load - passed : passed - load;

  if (!quotas_changed && step < LOAD_STEP_PERMILLE)
    return;
  if (now_us < entry->passed_us + mb_quiet_us (table))
    return;
  entry->passed_us = now_us;
  entry->passed_load_permille = load;
  mb_touch (table, &entry->load_item);
}

/* A claim that the member is silent.  */
static void
apply_silence (MbTable *table, Entry *entry, const Peer__Report *report,
               int64_t now_us)
{
  if (report->incarnation == entry->member.incarnation
      && report->sequence >= entry->sequence
      && now_us > entry->direct_us + MB_SILENT_US)
    {
      if (!entry->silent)
        mb_mark_silent (table, entry, now_us);
    }
  else if (!entry->silent)
    mb_touch (table, &entry->alert_item); /* is known better here */
}

static void
apply_entry (MbTable *table, const char *vm, uint64_t incarnation,
             const Peer__Report *report, int64_t now_us)
{
  Entry *entry = mb_entry (table, vm);
  MbMember *member = &entry->member;
  gboolean high = member->load_permille > LOAD_HIGH_PERMILLE;
  gboolean changed = !entry->heard;
  gboolean alert = entry->silent != report->silent;
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
      mb_place (table, entry);
    }
  if (!entry->known)
    return;
  changed |= member->incarnation != incarnation;
  alert |= member->leaving != report->leaving;
  alert |= high != (report->load_permille > LOAD_HIGH_PERMILLE);
  member->incarnation = incarnation;
  member->leaving = report->leaving;
  member->load_permille = report->load_permille;
  entry->sequence = report->sequence;
  entry->heard = TRUE;
  entry->silent = report->silent;
  if (report->n_quotas > 0)
    quotas_changed = set_quotas (entry, report);
  if (changed)
    mb_touch (table, &entry->vm_item);
  if (alert)
    mb_touch (table, &entry->alert_item);
  pass_load (table, entry, quotas_changed, now_us);
}

static void
apply_target (MbTable *table, const char *holder,
              const Peer__TargetState *from, int64_t sent_us, int64_t now_us)
{
  Target *target = g_hash_table_lookup (table->targets, from->target);
  MbTarget state = { .healthy = from->healthy,
                     .draining = from->draining,
                     .free_slots = from->free_slots,
                     .held_slots = from->held_slots,
                     .warm_permille = from->warm_permille };
  int64_t stated_us = sent_us - (int64_t)from->age_ms * 1000;
  gboolean urgent;

  if (!is_name (from->target) || strcmp (holder, table->self->member.vm) == 0)
    return;
  mb_copy_name (state.target, from->target);
  if (target == NULL)
    {
      target = mb_target_new (table, &state);
    }
  else if (stated_us <= target->stated_us)
    return;
  urgent = target->passed_us == LONG_AGO
           || target->passed.healthy != state.healthy
           || target->passed.draining != state.draining;
  mb_copy_name (target->holder, holder);
  target->state = state;
  target->stated_us = stated_us;
  if (!urgent
      && (memcmp (&target->passed, &state, sizeof state) == 0
          || now_us < target->passed_us + mb_quiet_us (table)))
    return;
  target->passed = state;
  target->passed_us = now_us;
  mb_touch (table, urgent ? &target->alert_item : &target->item);
  if (urgent && table->zone_hub_us != NEVER)
    mb_urge (table, now_us);
}

/* The earliest time at which the peer may have sent a message with ECHO.  */
static int64_t
sent_not_before (const Peer__Echo *echo, int64_t now_us)
{
  int64_t held_us = (int64_t)echo->held_ms * 1000;
  int64_t sent_us;

  if (echo->echo_ms == 0 || echo->echo_ms > (uint64_t)(now_us / 1000))
    return LONG_AGO;
  sent_us = (int64_t)echo->echo_ms * 1000
            + held_us / 1000 * (1000 - MB_DRIFT_PERMILLE);
  return MIN (sent_us, now_us);
}

static void
hear_versions (MbTable *table, const char *from_vm, uint64_t config,
               uint64_t assign)
{
  if (config > table->config_heard || table->config_source[0] == '\0')
    mb_copy_name (table->config_source, from_vm);
  table->config_heard = MAX (table->config_heard, config);
  table->assign_heard = MAX (table->assign_heard, assign);
}

/* Notes what every message tells of the connection.  NULL for one that is
   malformed, or overtaken by a later one.  */
static Link *
receive_echo (MbTable *table, const char *from_vm, uint64_t incarnation,
              const Peer__Echo *echo, int64_t now_us)
{
  Entry *entry;
  Link *link;

  if (echo == NULL || !is_name (from_vm)
      || strcmp (from_vm, table->self->member.vm) == 0)
    return NULL;
  link = mb_link (table, from_vm);
  if (link->incarnation != incarnation)
    {
      link->incarnation = incarnation;
      link->last_sent_ms = 0;
      memset (link->peer_change, 0, sizeof link->peer_change);
      link->peer_report = 0;
      link->acked_report = 0;
      link->filter = 0;
    }
  if (echo->sent_ms < link->last_sent_ms)
    return NULL;
  link->last_sent_ms = echo->sent_ms;
  link->last_received_us = now_us;
  link->waiting_us = NEVER;
  link->failed_us = LONG_AGO;
  if (link->filter != 0 && echo->echo_ms >= link->filter_ms
      && echo->acked_change <= table->change
      && echo->acked_backlog <= table->change)
    {
      link->acked_change[QUEUE_NEWS]
          = MAX (echo->acked_change, link->acked_change[QUEUE_NEWS]);
      link->acked_change[QUEUE_REST]
          = MAX (echo->acked_backlog, link->acked_change[QUEUE_REST]);
    }
  if (echo->acked_report <= table->change)
    link->acked_report = echo->acked_report;
  entry = mb_entry (table, from_vm);
  entry->direct_us = now_us;
  return link;
}

static void
note_wanted (Link *link, const Peer__Report *report)
{
  link->wanted_count = 0;
  for (size_t i = 0; i < report->n_quotas; i++)
    if (report->quotas[i]->demand_utok_per_s > 0
        && report->quotas[i]->surplus_utok == 0
        && link->wanted_count < MB_QUOTAS_PER_REPORT)
      link->wanted[link->wanted_count++] = report->quotas[i]->quota_id;
}

void
mb_receive_report (MbTable *table, const char *from_vm, uint64_t incarnation,
                   const Peer__Report *report, int64_t now_us,
                   MbMessage *answer)
{
  Link *link
      = receive_echo (table, from_vm, incarnation, report->echo, now_us);
  Entry *entry;
  int64_t sent_us;

  memset (answer, 0, sizeof *answer);
  if (link == NULL)
    {
      table->ignored_count++;
      return;
    }
  sent_us = sent_not_before (report->echo, now_us);
  /* Targets of a message of unknown age are dropped, so they have to come
     again.  */
  if (sent_us != LONG_AGO)
    link->peer_report = report->change;
  note_wanted (link, report);
  hear_versions (table, from_vm, report->config_version,
                 report->assign_version);
  apply_entry (table, from_vm, incarnation, report, now_us);
  entry = mb_entry (table, from_vm);
  entry->statement_config = report->config_version;
  entry->statement_assign = report->assign_version;
  entry->stated_us = sent_us;
  if (sent_us != LONG_AGO)
    for (size_t i = 0; i < report->n_targets; i++)
      apply_target (table, from_vm, report->targets[i], sent_us, now_us);
  mb_update_freshness (table, now_us);
  if (!report->wants_answer)
    return;
  /* The peer got its table from others.  News aren't skipped: the hash doesn't
     have the targets.  */
  if (link->acked_change[QUEUE_REST] == 0
      && report->table_hash == mb_table_hash (table))
    link->acked_change[QUEUE_REST] = table->change;
  *answer = mb_build_digest (table, from_vm, DIGEST_MEMBER, TRUE, now_us);
}

static Scope *
named_scope (GHashTable *scopes, const char *name)
{
  Scope *scope = g_hash_table_lookup (scopes, name);

  if (scope != NULL || !is_name (name))
    return scope;
  scope = g_new0 (Scope, 1);
  mb_copy_name (scope->name, name);
  g_hash_table_insert (scopes, scope->name, scope);
  return scope;
}

static void
read_scope (Scope *scope, const Peer__ZoneSummary *summary, int64_t sent_us,
            int64_t now_us)
{
  size_t count = MIN (summary->n_ages_ms, summary->n_counts);

  scope->assign_version = summary->assign_version;
  scope->config_max = summary->config_version_max;
  scope->current_count = summary->current_count;
  scope->received_us = now_us;
  scope->count = 0;
  if (sent_us == LONG_AGO)
    return;
  for (size_t i = 0; i < MIN (count, AGES_MAX); i++)
    {
      scope->stated_us[i] = sent_us - (int64_t)summary->ages_ms[i] * 1000;
      scope->counts[i] = summary->counts[i];
      scope->count++;
    }
}

static void
hear_silent_zone (MbTable *table, const char *zone, int64_t now_us)
{
  int64_t *until_us;

  if (strcmp (zone, table->self->member.zone) == 0)
    return;
  until_us = g_new (int64_t, 1);
  *until_us = now_us + SILENT_ZONE_US;
  g_hash_table_replace (table->silent_zones, g_strdup (zone), until_us);
}

/* Returns how to answer a digest with this summary; DIGEST_MEMBER: not.  */
static DigestKind
apply_summary (MbTable *table, const Peer__ZoneSummary *summary,
               int64_t sent_us, int64_t now_us)
{
  gboolean has_zone = summary->zone[0] != '\0';
  gboolean has_region = summary->region[0] != '\0';
  Scope *scope;

  if (has_zone && !has_region)
    {
      hear_silent_zone (table, summary->zone, now_us);
      return DIGEST_MEMBER;
    }
  if (!has_region)
    {
      scope = summary->member_count > 0 ? &table->rest : &table->whole;
      read_scope (scope, summary, sent_us, now_us);
      table->digest_us = now_us;
      return DIGEST_MEMBER;
    }
  scope = has_zone ? named_scope (table->zones, summary->zone)
                   : named_scope (table->regions, summary->region);
  if (scope != NULL)
    read_scope (scope, summary, sent_us, now_us);
  return has_zone ? DIGEST_DOWN : DIGEST_REGION;
}

void
mb_receive_digest (MbTable *table, const char *from_vm, uint64_t incarnation,
                   const Peer__Digest *digest, int64_t now_us,
                   MbMessage *answer)
{
  Link *link
      = receive_echo (table, from_vm, incarnation, digest->echo, now_us);
  DigestKind kind = DIGEST_MEMBER;
  int64_t sent_us;

  memset (answer, 0, sizeof *answer);
  if (link == NULL)
    {
      table->ignored_count++;
      return;
    }
  sent_us = sent_not_before (digest->echo, now_us);
  if (sent_us != LONG_AGO)
    {
      link->peer_change[QUEUE_NEWS] = digest->change;
      link->peer_change[QUEUE_REST] = digest->backlog;
    }
  hear_versions (table, from_vm, digest->config_version,
                 digest->assign_version);
  for (size_t i = 0; i < digest->n_zones; i++)
    {
      DigestKind answered
          = apply_summary (table, digest->zones[i], sent_us, now_us);

      if (answered != DIGEST_MEMBER)
        kind = answered;
    }
  for (size_t i = 0; i < digest->n_members; i++)
    {
      const Peer__Report *report = digest->members[i];

      if (!is_name (report->vm))
        {
          table->ignored_count++;
          continue;
        }
      if (report->n_targets == 0)
        apply_entry (table, report->vm, report->incarnation, report, now_us);
      for (size_t k = 0; sent_us != LONG_AGO && k < report->n_targets; k++)
        apply_target (table, report->vm, report->targets[k], sent_us, now_us);
    }
  mb_update_freshness (table, now_us);
  if (digest->answer || kind == DIGEST_MEMBER)
    return;
  link->asked_us = now_us;
  if (kind == DIGEST_DOWN)
    table->asked_up_us = now_us;
  *answer = mb_build_digest (table, from_vm, kind, TRUE, now_us);
}

void
mb_hello (MbTable *table, const char *from_vm, uint64_t incarnation,
          const Peer__Hello *hello, int64_t now_us)
{
  Entry *entry;
  Link *link;

  if (!is_name (from_vm) || !is_name (hello->zone) || !is_name (hello->region)
      || strcmp (from_vm, table->self->member.vm) == 0)
    {
      table->ignored_count++;
      return;
    }
  entry = mb_entry (table, from_vm);
  link = mb_link (table, from_vm);
  link->failed_us = LONG_AGO;
  entry->direct_us = now_us;
  if (set_identity (&entry->member, hello->zone, hello->region,
                    hello->http_address, hello->peer_address)
      || !entry->heard)
    mb_touch (table, &entry->vm_item);
  mb_place (table, entry);
  entry->heard = TRUE;
  entry->member.incarnation = MAX (entry->member.incarnation, incarnation);
}
