/* The table, the state of this member, and the schedule of messages.  */

#include "member/internal.h"

#include <string.h>
#include <xxhash.h>

void
mb_copy_name (char *to, const char *from)
{
  g_strlcpy (to, from == NULL ? "" : from, MB_NAME_BYTES);
}

static GQueue *
update_queue (MbTable *table, const Update *update)
{
  return &table->updates[update->kind <= UPDATE_TARGET_STATUS ? QUEUE_URGENT
                                                              : QUEUE_BACKLOG];
}

static void
dequeue_update (MbTable *table, Update *update)
{
  if (update->node != NULL)
    g_queue_delete_link (update_queue (table, update), update->node);
  update->node = NULL;
}

void
mb_enqueue_update (MbTable *table, Update *update)
{
  dequeue_update (table, update);
  update->change = ++table->change;
  g_queue_push_tail (update_queue (table, update), update);
  update->node = g_queue_peek_tail_link (update_queue (table, update));
}

void
mb_update_zone (const MbTable *table, Entry *entry)
{
  entry->zone_known = TRUE;
  entry->in_own_zone
      = strcmp (entry->member.zone, table->self->member.zone) == 0;
}

Entry *
mb_get_entry (MbTable *table, const char *vm)
{
  Entry *entry = g_hash_table_lookup (table->entries, vm);

  if (entry != NULL)
    return entry;
  entry = g_new0 (Entry, 1);
  mb_copy_name (entry->member.vm, vm);
  entry->vm_hash = XXH64 (vm, strlen (vm), 0);
  entry->last_direct_us = entry->reported_us = entry->published_us
      = DISTANT_PAST;
  entry->expected_us = NEVER;
  entry->status_update
      = (Update){ .kind = UPDATE_MEMBER_STATUS, .owner = entry };
  entry->identity_update
      = (Update){ .kind = UPDATE_MEMBER_IDENTITY, .owner = entry };
  entry->load_update = (Update){ .kind = UPDATE_MEMBER_LOAD, .owner = entry };
  g_hash_table_insert (table->entries, entry->member.vm, entry);
  return entry;
}

Peer *
mb_get_peer (MbTable *table, const char *vm)
{
  Peer *peer = g_hash_table_lookup (table->peers, vm);

  if (peer != NULL)
    return peer;
  peer = g_new0 (Peer, 1);
  mb_copy_name (peer->vm, vm);
  peer->awaiting_since_us = NEVER;
  peer->unresponsive_us = peer->last_request_us = DISTANT_PAST;
  peer->last_received_us = DISTANT_PAST;
  g_hash_table_insert (table->peers, peer->vm, peer);
  return peer;
}

MbTable *
mb_new (const MbOptions *options, int64_t now_us)
{
  MbTable *table = g_new0 (MbTable, 1);
  MbMember *self;

  table->entries
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, g_free);
  table->targets
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, g_free);
  table->peers = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, g_free);
  table->zone_summaries
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, g_free);
  table->region_summaries
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, g_free);
  table->silent_zones
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  for (int queue = 0; queue < QUEUE_COUNT; queue++)
    g_queue_init (&table->updates[queue]);
  g_queue_init (&table->outbox);
  table->self = mb_get_entry (table, options->vm);
  table->self->self_reported = TRUE;
  self = &table->self->member;
  mb_copy_name (self->zone, options->zone);
  mb_copy_name (self->region, options->region);
  mb_update_zone (table, table->self);
  mb_copy_name (self->http_address, options->http_address);
  mb_copy_name (self->peer_address, options->peer_address);
  self->incarnation = options->incarnation;
  mb_enqueue_update (table, &table->self->identity_update);
  table->confirmed_us = table->majority_reported_us = DISTANT_PAST;
  table->outside_summary.received_us = table->fleet_summary.received_us
      = DISTANT_PAST;
  table->last_digest_us = table->last_report_us = table->last_zone_request_us
      = DISTANT_PAST;
  table->region_hub_since_us = table->zone_hub_since_us = NEVER;
  table->report_due_us = table->exchange_due_us = now_us;
  for (gsize i = 0; i < G_N_ELEMENTS (table->polled_us); i++)
    table->polled_us[i] = now_us;
  table->entry_budget_bytes = ENTRY_BURST_BYTES;
  table->budget_refilled_us = now_us;
  return table;
}

void
mb_message_clear (MbMessage *message)
{
  if (message->report != NULL)
    peer__report__free_unpacked (message->report, NULL);
  if (message->digest != NULL)
    peer__digest__free_unpacked (message->digest, NULL);
  memset (message, 0, sizeof *message);
}

void
mb_free (MbTable *table)
{
  MbMessage *message;

  if (table == NULL)
    return;
  while ((message = g_queue_pop_head (&table->outbox)) != NULL)
    {
      mb_message_clear (message);
      g_free (message);
    }
  for (int queue = 0; queue < QUEUE_COUNT; queue++)
    g_queue_clear (&table->updates[queue]);
  g_hash_table_unref (table->entries);
  g_hash_table_unref (table->targets);
  g_hash_table_unref (table->peers);
  g_hash_table_unref (table->zone_summaries);
  g_hash_table_unref (table->region_summaries);
  g_hash_table_unref (table->silent_zones);
  g_free (table);
}

int64_t
mb_load_publish_interval_us (const MbTable *table)
{
  return MAX ((int64_t)LOAD_PUBLISH_STEP_US * table->assigned_count,
              MB_REPORT_INTERVAL_MIN_US);
}

void
mb_expedite_send (MbTable *table, int64_t now_us)
{
  int64_t at_us = MAX (now_us, table->last_report_us + URGENT_MIN_INTERVAL_US);

  table->report_due_us = MIN (table->report_due_us, at_us);
  table->exchange_due_us = MIN (table->exchange_due_us, at_us);
}

void
mb_set_own_state (MbTable *table, uint32_t load_permille, gboolean leaving,
                  uint64_t incarnation, int64_t now_us)
{
  MbMember *self = &table->self->member;

  if (self->leaving != leaving || self->incarnation != incarnation
      || (self->load_permille > LOAD_HIGH_PERMILLE)
             != (load_permille > LOAD_HIGH_PERMILLE))
    {
      mb_enqueue_update (table, &table->self->status_update);
      mb_expedite_send (table, now_us);
    }
  self->load_permille = load_permille;
  self->leaving = leaving;
  self->incarnation = incarnation;
}

void
mb_set_config (MbTable *table, uint64_t known_version,
               uint64_t in_force_version, int64_t now_us)
{
  if (known_version > table->config_known)
    mb_expedite_send (table, now_us);
  table->config_known = MAX (table->config_known, known_version);
  table->config_in_force = MAX (table->config_in_force, in_force_version);
  table->latest_config = MAX (table->latest_config, table->config_known);
}

void
mb_set_quotas (MbTable *table, const MbQuotaDemand *quotas, uint32_t count)
{
  Entry *self = table->self;

  count = MIN (count, MB_QUOTAS_PER_REPORT);
  if (count > 0)
    {
      memcpy (table->quotas, quotas, count * sizeof *quotas);
      memcpy (self->quotas, quotas, count * sizeof *quotas);
    }
  table->quota_count = self->quota_count = count;
}

void
mb_set_assignment (MbTable *table, uint64_t version,
                   const MbAssignedVm *members, uint32_t count, int64_t now_us)
{
  GHashTableIter iter;
  void *value;

  if (version < table->assign_version)
    return;
  if (version > table->assign_version)
    mb_expedite_send (table, now_us);
  table->assign_version = version;
  table->latest_assign = MAX (table->latest_assign, version);
  table->assigned_count = count;
  g_hash_table_iter_init (&iter, table->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((Entry *)value)->member.assigned = FALSE;
  for (uint32_t i = 0; i < count; i++)
    {
      Entry *entry = mb_get_entry (table, members[i].vm);

      entry->member.assigned = TRUE;
      if (entry->zone_known)
        continue;
      mb_copy_name (entry->member.zone, members[i].zone);
      mb_copy_name (entry->member.region, members[i].region);
      mb_update_zone (table, entry);
    }
}

static gboolean
remove_if_unlisted (void *key, void *value, void *data)
{
  MbTable *table = data;
  Entry *entry = value;

  (void)key;
  if (entry == table->self || entry->member.assigned || entry->member.listed
      || !entry->silent)
    return FALSE;
  dequeue_update (table, &entry->status_update);
  dequeue_update (table, &entry->identity_update);
  dequeue_update (table, &entry->load_update);
  g_hash_table_remove (table->peers, entry->member.vm);
  return TRUE;
}

void
mb_set_listed_vms (MbTable *table, const MbListedVm *vms, uint32_t count,
                   int64_t now_us)
{
  GHashTableIter iter;
  void *value;

  (void)now_us;
  g_hash_table_iter_init (&iter, table->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((Entry *)value)->member.listed = FALSE;
  for (uint32_t i = 0; i < count; i++)
    {
      Entry *entry = mb_get_entry (table, vms[i].vm);

      entry->member.listed = TRUE;
      /* Data from the member itself is newer than the list.  */
      if (entry->self_reported)
        continue;
      mb_copy_name (entry->member.zone, vms[i].zone);
      mb_copy_name (entry->member.region, vms[i].region);
      mb_copy_name (entry->member.http_address, vms[i].http_address);
      entry->member.leaving = vms[i].leaving;
      mb_update_zone (table, entry);
    }
  g_hash_table_foreach_remove (table->entries, remove_if_unlisted, table);
}

Target *
mb_target_new (MbTable *table, const MbTargetState *state)
{
  Target *target = g_new0 (Target, 1);

  target->state = *state;
  target->reported_us = target->published_us = DISTANT_PAST;
  target->status_update
      = (Update){ .kind = UPDATE_TARGET_STATUS, .owner = target };
  target->slots_update
      = (Update){ .kind = UPDATE_TARGET_SLOTS, .owner = target };
  g_hash_table_insert (table->targets, target->state.target, target);
  return target;
}

static gboolean
target_status_differs (const MbTargetState *from, const MbTargetState *to)
{
  return from->healthy != to->healthy || from->draining != to->draining;
}

void
mb_set_targets (MbTable *table, const MbTargetState *targets, uint32_t count,
                int64_t now_us)
{
  for (uint32_t i = 0; i < count; i++)
    {
      Target *target = g_hash_table_lookup (table->targets, targets[i].target);
      gboolean urgent;

      if (target == NULL)
        {
          target = mb_target_new (table, &targets[i]);
        }
      mb_copy_name (target->holder, table->self->member.vm);
      target->state = targets[i];
      target->reported_us = now_us;
      urgent = target->published_us == DISTANT_PAST
               || target_status_differs (&target->published, &target->state);
      if (!urgent
          && (memcmp (&target->published, &target->state, sizeof target->state)
                  == 0
              || now_us < target->published_us
                              + mb_load_publish_interval_us (table)))
        continue;
      if (urgent)
        mb_expedite_send (table, now_us);
      target->published = target->state;
      target->published_us = now_us;
      mb_enqueue_update (table, urgent ? &target->status_update
                                       : &target->slots_update);
    }
}

static void
enqueue_message (MbTable *table, MbMessage message)
{
  MbMessage *copy = g_new (MbMessage, 1);

  *copy = message;
  g_queue_push_tail (&table->outbox, copy);
}

static void
await_reply (MbTable *table, const char *vm, int64_t request_interval_us,
             int64_t now_us)
{
  Peer *peer = mb_get_peer (table, vm);

  peer->request_interval_us = request_interval_us;
  peer->awaiting_since_us = MIN (peer->awaiting_since_us, now_us);
}

static void
send_reports (MbTable *table, int64_t now_us)
{
  Entry *hubs[2];
  uint32_t count = mb_zone_hubs (table, table->self->member.zone, hubs);
  uint32_t other_count = 0;

  for (uint32_t i = 0; i < count; i++)
    if (hubs[i] != table->self)
      hubs[other_count++] = hubs[i];
  for (uint32_t i = 0; i < other_count; i++)
    {
      gboolean wants_reply = other_count == 1 || table->report_count % 2 == i;

      enqueue_message (table, mb_build_report (table, hubs[i]->member.vm,
                                               wants_reply, now_us));
      if (wants_reply)
        await_reply (table, hubs[i]->member.vm, mb_report_interval_us (table),
                     now_us);
    }
  table->report_count++;
}

static void
send_digest (MbTable *table, const Entry *to, DigestKind kind, int64_t now_us)
{
  enqueue_message (
      table, mb_build_digest (table, to->member.vm, kind, FALSE, now_us));
  await_reply (table, to->member.vm, MB_HUB_DIGEST_INTERVAL_US, now_us);
}

/* The hub of each other region.  */
static GPtrArray *
other_region_hubs (const MbTable *table)
{
  GPtrArray *hubs = g_ptr_array_new ();
  g_autoptr (GHashTable) seen = g_hash_table_new (g_str_hash, g_str_equal);
  GHashTableIter iter;
  void *value;

  g_hash_table_add (seen, table->self->member.region);
  g_hash_table_iter_init (&iter, table->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      Entry *entry = value;
      Entry *hub;

      if (!entry->zone_known || !g_hash_table_add (seen, entry->member.region))
        continue;
      hub = mb_region_hub (table, entry->member.region);
      if (hub != NULL)
        g_ptr_array_add (hubs, hub);
    }
  return hubs;
}

static void
exchange_digests (MbTable *table, int64_t now_us)
{
  Entry *hub = mb_region_hub (table, table->self->member.region);

  if (hub != NULL && hub != table->self && mb_is_zone_hub (table, now_us))
    send_digest (table, hub, DIGEST_ZONE_TO_REGION, now_us);
  if (table->region_hub_since_us == NEVER)
    return;
  g_autoptr (GPtrArray) hubs = other_region_hubs (table);
  for (guint i = 0; i < hubs->len; i++)
    {
      const Entry *other = g_ptr_array_index (hubs, i);
      const Peer *peer;

      g_assert (other != NULL);
      peer = mb_get_peer (table, other->member.vm);
      /* The hub with the lower name sends, and the other replies.  If no
         request arrives, the first may not know yet that this member is a
         hub, so this member sends, too.  */
      if (strcmp (table->self->member.vm, other->member.vm) < 0
          || now_us > peer->last_request_us
                          + HUB_TIMEOUT_INTERVALS * MB_HUB_DIGEST_INTERVAL_US)
        send_digest (table, other, DIGEST_REGION_TO_REGION, now_us);
    }
}

/* Sends requests to members that didn't reply, so that they can be hubs again
   once they do.  */
static void
probe_unresponsive_peers (MbTable *table, int64_t now_us)
{
  const MbMember *self = &table->self->member;
  GHashTableIter iter;
  void *value;

  g_hash_table_iter_init (&iter, table->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      Peer *peer = value;
      const Entry *entry = g_hash_table_lookup (table->entries, peer->vm);

      if (peer->unresponsive_us == DISTANT_PAST || entry == NULL
          || entry->silent
          || now_us < peer->unresponsive_us + PROBE_INTERVAL_US)
        continue;
      peer->unresponsive_us = now_us;
      if (strcmp (entry->member.zone, self->zone) == 0)
        enqueue_message (table,
                         mb_build_report (table, peer->vm, TRUE, now_us));
      else if (strcmp (entry->member.region, self->region) != 0)
        enqueue_message (table, mb_build_digest (table, peer->vm,
                                                 DIGEST_REGION_TO_REGION,
                                                 FALSE, now_us));
      else if (table->zone_hub_since_us != NEVER)
        enqueue_message (table, mb_build_digest (table, peer->vm,
                                                 DIGEST_ZONE_TO_REGION, FALSE,
                                                 now_us));
    }
}

static gboolean
is_hub (const MbTable *table)
{
  return table->zone_hub_since_us != NEVER
         || table->region_hub_since_us != NEVER;
}

static void
record_poll (MbTable *table, int64_t now_us)
{
  if (now_us <= table->polled_us[0])
    return;
  table->polled_us[2] = table->polled_us[1];
  table->polled_us[1] = table->polled_us[0];
  table->polled_us[0] = now_us;
}

gboolean
mb_poll (MbTable *table, int64_t now_us, MbMessage *message)
{
  MbMessage *next;

  record_poll (table, now_us);
  if (now_us >= table->report_due_us
      || (now_us >= table->exchange_due_us && is_hub (table)))
    mb_update_roles (table, now_us);
  if (now_us >= table->report_due_us)
    {
      table->report_due_us = now_us + mb_report_interval_us (table);
      table->last_report_us = now_us;
      send_reports (table, now_us);
      probe_unresponsive_peers (table, now_us);
    }
  if (now_us >= table->exchange_due_us)
    {
      table->exchange_due_us = now_us + MB_HUB_DIGEST_INTERVAL_US;
      if (is_hub (table))
        exchange_digests (table, now_us);
    }
  next = g_queue_pop_head (&table->outbox);
  if (next == NULL)
    {
      memset (message, 0, sizeof *message);
      return FALSE;
    }
  *message = *next;
  g_free (next);
  return TRUE;
}

int64_t
mb_next_poll_us (const MbTable *table, int64_t now_us)
{
  if (!g_queue_is_empty ((GQueue *)&table->outbox))
    return now_us;
  return MAX (now_us, MIN (table->report_due_us, table->exchange_due_us));
}

uint64_t
mb_ignored_count (const MbTable *table)
{
  return table->ignored_count;
}
