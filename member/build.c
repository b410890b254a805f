/* Messages to send.  They are freed by protobuf-c, so strings are copies.  */

#include "member/internal.h"

#include <string.h>
#include <xxhash.h>

static char *
copy_text (const char *text)
{
  char *copy = malloc (strlen (text) + 1);

  g_assert (copy != NULL);
  strcpy (copy, text);
  return copy;
}

static void *
zeroed (size_t size)
{
  void *memory = calloc (1, size);

  g_assert (memory != NULL);
  return memory;
}

static Peer__Echo *
build_echo (MbTable *table, const char *to, int64_t now_us)
{
  const Link *link = mb_link (table, to);
  Peer__Echo *echo = zeroed (sizeof *echo);

  peer__echo__init (echo);
  echo->sent_ms = (uint64_t)(now_us / 1000);
  echo->acked_change = link->peer_change[QUEUE_NEWS];
  echo->acked_report = link->peer_report;
  echo->acked_backlog = link->peer_change[QUEUE_REST];
  if (link->last_received_us == LONG_AGO)
    return echo;
  echo->echo_ms = link->last_sent_ms;
  /* Rounded down: the receiver takes the message for older than it is.  */
  echo->held_ms = (uint32_t)CLAMP ((now_us - link->last_received_us) / 1000, 0,
                                   UINT32_MAX);
  return echo;
}

static void
build_quotas (Peer__Report *report, const MbQuota *quotas, uint32_t count)
{
  report->n_quotas = count;
  report->quotas = zeroed (MAX (count, 1) * sizeof *report->quotas);
  for (uint32_t i = 0; i < count; i++)
    {
      Peer__QuotaDemand *quota = zeroed (sizeof *quota);

      peer__quota_demand__init (quota);
      quota->quota_id = quotas[i].quota_id;
      quota->surplus_utok = quotas[i].surplus_utok;
      quota->demand_utok_per_s = quotas[i].demand_utok_per_s;
      report->quotas[i] = quota;
    }
}

static Peer__TargetState *
build_target (const Target *target, int64_t now_us)
{
  Peer__TargetState *state = zeroed (sizeof *state);

  peer__target_state__init (state);
  state->target = copy_text (target->state.target);
  state->healthy = target->state.healthy;
  state->draining = target->state.draining;
  state->free_slots = target->state.free_slots;
  state->held_slots = target->state.held_slots;
  state->warm_permille = target->state.warm_permille;
  state->age_ms = (uint32_t)CLAMP ((now_us - target->stated_us + 999) / 1000,
                                   0, UINT32_MAX);
  return state;
}

static void
build_identity (Peer__Report *report, const MbMember *member)
{
  report->zone = copy_text (member->zone);
  report->region = copy_text (member->region);
  report->http_address = copy_text (member->http_address);
  report->peer_address = copy_text (member->peer_address);
}

static Peer__Report *
new_report (void)
{
  Peer__Report *report = zeroed (sizeof *report);

  peer__report__init (report);
  return report;
}

static gboolean
is_of_target (const Item *item)
{
  return item->kind == ITEM_TARGET || item->kind == ITEM_TARGET_ALERT;
}

/* A digest's entry for one item.  */
static Peer__Report *
build_item (const Item *item, int64_t now_us)
{
  Peer__Report *report = new_report ();
  const Entry *entry;

  if (is_of_target (item))
    {
      const Target *target = item->owner;

      report->vm = copy_text (target->holder);
      report->n_targets = 1;
      report->targets = zeroed (sizeof *report->targets);
      report->targets[0] = build_target (target, now_us);
      return report;
    }
  entry = item->owner;
  report->vm = copy_text (entry->member.vm);
  report->incarnation = entry->member.incarnation;
  report->sequence = entry->sequence;
  report->leaving = entry->member.leaving;
  report->silent = entry->silent;
  report->load_permille = entry->member.load_permille;
  if (item->kind == ITEM_VM)
    build_identity (report, &entry->member);
  if (item->kind == ITEM_LOAD)
    build_quotas (report, entry->quotas, entry->quota_count);
  return report;
}

/* Whose zone and region an item tells of; NULL if the holder isn't known.  */
static const MbMember *
item_member (const MbTable *table, const Item *item)
{
  const Target *target = item->owner;
  const Entry *entry = item->owner;

  if (is_of_target (item))
    entry = g_hash_table_lookup (table->entries, target->holder);
  return entry == NULL || !entry->known ? NULL : &entry->member;
}

static gboolean
is_for (const MbTable *table, const Item *item, const Entry *to,
        DigestKind kind)
{
  const MbMember *member = item_member (table, item);
  const MbMember *self = &table->self->member;

  if (member == NULL || strcmp (member->vm, to->member.vm) == 0)
    return FALSE;
  if ((item->kind == ITEM_LOAD || item->kind == ITEM_TARGET)
      && table->assigned_count > SMALL_FLEET
      && (kind != DIGEST_MEMBER || strcmp (member->zone, self->zone) != 0))
    return FALSE;
  switch (kind)
    {
    case DIGEST_UP:
      return strcmp (member->zone, self->zone) == 0;
    case DIGEST_DOWN:
      return strcmp (member->zone, to->member.zone) != 0;
    case DIGEST_REGION:
      /* News come back to the own region: a part of it may lack them.  */
      return item->kind <= ITEM_TARGET_ALERT
             || strcmp (member->region, self->region) == 0;
    case DIGEST_MEMBER:
      break;
    }
  return TRUE;
}

static void
refill_bytes (MbTable *table, int64_t now_us)
{
  int64_t passed_us
      = MIN (now_us - table->entry_bytes_us, (int64_t)10 * G_USEC_PER_SEC);
  int64_t gained = passed_us * MB_ENTRY_BYTES_PER_S / G_USEC_PER_SEC;

  if (gained <= 0)
    return;
  table->entry_bytes = MIN (table->entry_bytes + gained, ENTRY_BURST_BYTES);
  table->entry_bytes_us = now_us;
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

      if (entry->known)
        sum ^= XXH64 (&state, sizeof state, entry->hash);
    }
  return sum;
}

/* The first item after CHANGE.  */
static GList *
first_after (const MbTable *table, ItemQueue queue, uint64_t change)
{
  GList *place = g_queue_peek_tail_link ((GQueue *)&table->items[queue]);
  GList *first = NULL;

  for (; place != NULL && ((Item *)place->data)->change > change;
       place = place->prev)
    first = place;
  return first;
}

/* Digests of two kinds to the same member have the same items, since both
   move the same acknowledgement.  */
DigestKind
mb_filter (const MbTable *table, const char *zone, DigestKind kind)
{
  return strcmp (zone, table->self->member.zone) == 0 ? DIGEST_MEMBER : kind;
}

/* Adds the items that RECEIVER hasn't acknowledged, while BYTES last.  Returns
   up to which change all are in.  */
static uint64_t
add_items (MbTable *table, GPtrArray *reports, const Entry *receiver,
           DigestKind kind, ItemQueue queue, int64_t bytes, int64_t now_us)
{
  uint64_t from = mb_link (table, receiver->member.vm)->acked_change[queue];

  for (GList *place = first_after (table, queue, from); place != NULL;
       place = place->next)
    {
      const Item *item = place->data;
      Peer__Report *report;
      int64_t size;

      if (!is_for (table, item, receiver, kind))
        continue;
      if (bytes <= 0)
        return item->change - 1;
      report = build_item (item, now_us);
      /* Key and length of the entry take up to 3 bytes.  */
      size = (int64_t)peer__report__get_packed_size (report) + 3;
      table->entry_bytes -= size;
      bytes -= size;
      g_ptr_array_add (reports, report);
    }
  return table->change;
}

static void
add_changes (MbTable *table, Peer__Digest *digest, const Entry *to,
             DigestKind kind, int64_t now_us)
{
  Link *link = mb_link (table, to->member.vm);
  g_autoptr (GPtrArray) reports = g_ptr_array_new ();
  int64_t bytes;

  kind = mb_filter (table, to->member.zone, kind);
  if (link->filter != (int)kind + 1)
    {
      link->filter = (int)kind + 1;
      link->filter_ms = (uint64_t)(now_us / 1000);
      memset (link->acked_change, 0, sizeof link->acked_change);
    }
  refill_bytes (table, now_us);
  bytes = table->entry_bytes;
  digest->change = add_items (table, reports, to, kind, QUEUE_NEWS,
                              DIGEST_ENTRY_BYTES, now_us);
  bytes = DIGEST_ENTRY_BYTES - (bytes - table->entry_bytes);
  table->entry_bytes = MAX (table->entry_bytes, -ENTRY_BURST_BYTES);
  bytes = MIN (bytes, table->entry_bytes);
  digest->backlog
      = add_items (table, reports, to, kind, QUEUE_REST, bytes, now_us);
  digest->n_members = reports->len;
  digest->members = zeroed (MAX (reports->len, 1) * sizeof (void *));
  for (guint i = 0; i < reports->len; i++)
    digest->members[i] = g_ptr_array_index (reports, i);
}

static Peer__ZoneSummary *
build_scope (const Scope *scope, const char *zone, const char *region,
             int64_t now_us)
{
  Peer__ZoneSummary *summary = zeroed (sizeof *summary);

  peer__zone_summary__init (summary);
  summary->zone = copy_text (zone);
  summary->region = copy_text (region);
  summary->assign_version = scope->assign_version;
  summary->config_version_max = scope->config_max;
  summary->current_count = scope->current_count;
  summary->n_ages_ms = summary->n_counts = scope->count;
  summary->ages_ms = zeroed (AGES_MAX * sizeof *summary->ages_ms);
  summary->counts = zeroed (AGES_MAX * sizeof *summary->counts);
  for (uint32_t i = 0; i < scope->count; i++)
    {
      /* Rounded up: an age is an upper bound.  */
      summary->ages_ms[i] = (uint32_t)CLAMP (
          (now_us - scope->stated_us[i] + 999) / 1000, 0, UINT32_MAX);
      summary->counts[i] = scope->counts[i];
    }
  return summary;
}

/* A member needs only the step by which more than half are heard.  */
static void
keep_majority (const MbTable *table, Scope *scope)
{
  uint32_t heard = 0;

  for (uint32_t i = 0; i < scope->count; i++)
    {
      heard += scope->counts[i];
      if (2 * heard <= table->assigned_count)
        continue;
      scope->stated_us[0] = scope->stated_us[i];
      scope->counts[0] = heard;
      scope->count = 1;
      return;
    }
  scope->count = 0;
}

static Peer__ZoneSummary *
build_summary (const MbTable *table, const Entry *to, DigestKind kind,
               int64_t now_us)
{
  const MbMember *self = &table->self->member;
  Peer__ZoneSummary *summary;
  gboolean rest = FALSE;
  Scope scope;

  switch (kind)
    {
    case DIGEST_UP:
      g_array_unref (mb_gather_zone (table, now_us, &scope));
      return build_scope (&scope, self->zone, self->region, now_us);
    case DIGEST_REGION:
      mb_gather_region (table, NULL, FALSE, now_us, &scope);
      return build_scope (&scope, "", self->region, now_us);
    case DIGEST_DOWN:
      mb_gather_region (table, to->member.zone, TRUE, now_us, &scope);
      rest = TRUE;
      break;
    case DIGEST_MEMBER:
      if (!mb_whole_scope (table, now_us, &scope))
        memset (&scope, 0, sizeof scope);
      keep_majority (table, &scope);
      break;
    }
  summary = build_scope (&scope, "", "", now_us);
  /* Tells the rest of the fleet from the whole.  */
  summary->member_count = rest;
  return summary;
}

/* Zones that aren't heard; usually there is none.  Another region's hub is
   told of the own region's only.  */
static void
add_silent_zones (const MbTable *table, GPtrArray *summaries, DigestKind kind,
                  int64_t now_us)
{
  g_autoptr (GHashTable) seen = g_hash_table_new (g_str_hash, g_str_equal);
  static const Scope nothing;
  GHashTableIter iter;
  void *value;

  if (table->region_hub_us == NEVER
      && g_hash_table_size (table->silent_zones) == 0)
    return;
  g_hash_table_iter_init (&iter, table->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const MbMember *member = &((const Entry *)value)->member;

      if (!((const Entry *)value)->known
          || (kind == DIGEST_REGION
              && strcmp (member->region, table->self->member.region) != 0)
          || !g_hash_table_add (seen, (void *)member->zone)
          || !mb_zone_silent (table, member->zone, member->region, now_us))
        continue;
      g_ptr_array_add (summaries,
                       build_scope (&nothing, member->zone, "", now_us));
    }
}

/* Lenders of the quotas that the receiver has told to need.  */
static void
add_lenders (MbTable *table, Peer__Digest *digest, const Link *link,
             int64_t now_us)
{
  GHashTableIter iter;
  void *value;
  uint32_t room = MB_LENDERS_PER_QUOTA;

  if (link->wanted_count == 0 || table->assigned_count <= SMALL_FLEET)
    return;
  digest->members = realloc (digest->members, (digest->n_members + room)
                                                  * sizeof *digest->members);
  g_assert (digest->members != NULL);
  g_hash_table_iter_init (&iter, table->entries);
  while (room > 0 && g_hash_table_iter_next (&iter, NULL, &value))
    {
      Entry *entry = value;

      if (entry->quota_count == 0 || entry == table->self
          || strcmp (entry->member.vm, link->vm) == 0
          || !mb_entry_live (table, entry, now_us)
          || strcmp (entry->member.zone, table->self->member.zone) != 0)
        continue;
      digest->members[digest->n_members++]
          = build_item (&entry->load_item, now_us);
      room--;
    }
}

MbMessage
mb_build_digest (MbTable *table, const char *to, DigestKind kind,
                 gboolean answer, int64_t now_us)
{
  MbMessage message = { .digest = zeroed (sizeof (Peer__Digest)) };
  g_autoptr (GPtrArray) summaries = g_ptr_array_new ();
  Peer__Digest *digest = message.digest;
  const Entry *entry = mb_entry (table, to);

  peer__digest__init (digest);
  mb_copy_name (message.to, to);
  digest->answer = answer;
  digest->config_version = table->config_known;
  digest->assign_version = table->assign_version;
  digest->echo = build_echo (table, to, now_us);
  g_ptr_array_add (summaries, build_summary (table, entry, kind, now_us));
  if (kind != DIGEST_UP)
    add_silent_zones (table, summaries, kind, now_us);
  digest->n_zones = summaries->len;
  digest->zones = zeroed (summaries->len * sizeof *digest->zones);
  for (guint i = 0; i < summaries->len; i++)
    digest->zones[i] = g_ptr_array_index (summaries, i);
  add_changes (table, digest, entry, kind, now_us);
  if (kind == DIGEST_MEMBER)
    add_lenders (table, digest, mb_link (table, to), now_us);
  return message;
}

/* Targets whose state changed since the hub last acknowledged.  */
static void
add_targets (const MbTable *table, Peer__Report *report, const Link *link,
             int64_t now_us)
{
  report->targets = zeroed (TARGETS_PER_REPORT * sizeof *report->targets);
  report->change = table->change;
  for (int queue = 0; queue < QUEUES; queue++)
    for (GList *place
         = first_after (table, (ItemQueue)queue, link->acked_report);
         place != NULL; place = place->next)
      {
        const Item *item = place->data;
        const Target *target = item->owner;

        if (!is_of_target (item)
            || strcmp (target->holder, table->self->member.vm) != 0)
          continue;
        if (report->n_targets == TARGETS_PER_REPORT)
          {
            report->change = MIN (report->change, item->change - 1);
            break;
          }
        report->targets[report->n_targets++] = build_target (target, now_us);
      }
}

MbMessage
mb_build_report (MbTable *table, const char *to, gboolean answer,
                 int64_t now_us)
{
  MbMessage message = { .report = new_report () };
  Peer__Report *report = message.report;
  const MbMember *self = &table->self->member;
  const Link *link = mb_link (table, to);

  mb_copy_name (message.to, to);
  report->wants_answer = answer;
  report->sequence = ++table->self->sequence;
  report->config_version = table->config_known;
  report->assign_version = table->assign_version;
  report->leaving = self->leaving;
  report->load_permille = self->load_permille;
  report->echo = build_echo (table, to, now_us);
  /* Until the hub has acknowledged this member's own entry.  */
  if (table->self->vm_item.change > link->acked_report)
    build_identity (report, self);
  add_targets (table, report, link, now_us);
  if (answer)
    {
      report->table_hash = mb_table_hash (table);
      build_quotas (report, table->quotas, table->quota_count);
    }
  return message;
}
