/* The table, what the member tells of itself, and when it sends.  */

#include "member/internal.h"

#include <string.h>
#include <xxhash.h>

void
mb_copy_name (char *to, const char *from)
{
  g_strlcpy (to, from == NULL ? "" : from, MB_NAME_BYTES);
}

static GQueue *
queue_of (MbTable *table, const Item *item)
{
  return &table->items[item->kind <= ITEM_TARGET_ALERT ? QUEUE_NEWS
                                                       : QUEUE_REST];
}

static void
drop_item (MbTable *table, Item *item)
{
  if (item->place != NULL)
    g_queue_delete_link (queue_of (table, item), item->place);
  item->place = NULL;
}

void
mb_touch (MbTable *table, Item *item)
{
  drop_item (table, item);
  item->change = ++table->change;
  g_queue_push_tail (queue_of (table, item), item);
  item->place = g_queue_peek_tail_link (queue_of (table, item));
}

void
mb_place (const MbTable *table, Entry *entry)
{
  entry->known = TRUE;
  entry->in_zone = strcmp (entry->member.zone, table->self->member.zone) == 0;
}

Entry *
mb_entry (MbTable *table, const char *vm)
{
  Entry *entry = g_hash_table_lookup (table->entries, vm);

  if (entry != NULL)
    return entry;
  entry = g_new0 (Entry, 1);
  mb_copy_name (entry->member.vm, vm);
  entry->hash = XXH64 (vm, strlen (vm), 0);
  entry->direct_us = entry->stated_us = entry->passed_us = LONG_AGO;
  entry->expected_us = NEVER;
  entry->alert_item = (Item){ .kind = ITEM_ALERT, .owner = entry };
  entry->vm_item = (Item){ .kind = ITEM_VM, .owner = entry };
  entry->load_item = (Item){ .kind = ITEM_LOAD, .owner = entry };
  g_hash_table_insert (table->entries, entry->member.vm, entry);
  return entry;
}

Link *
mb_link (MbTable *table, const char *vm)
{
  Link *link = g_hash_table_lookup (table->links, vm);

  if (link != NULL)
    return link;
  link = g_new0 (Link, 1);
  mb_copy_name (link->vm, vm);
  link->waiting_us = NEVER;
  link->failed_us = link->asked_us = LONG_AGO;
  link->last_received_us = LONG_AGO;
  g_hash_table_insert (table->links, link->vm, link);
  return link;
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
  table->links = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, g_free);
  table->zones = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, g_free);
  table->regions
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, g_free);
  table->silent_zones
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  for (int queue = 0; queue < QUEUES; queue++)
    g_queue_init (&table->items[queue]);
  g_queue_init (&table->outbox);
  table->self = mb_entry (table, options->vm);
  table->self->heard = TRUE;
  self = &table->self->member;
  mb_copy_name (self->zone, options->zone);
  mb_copy_name (self->region, options->region);
  mb_place (table, table->self);
  mb_copy_name (self->http_address, options->http_address);
  mb_copy_name (self->peer_address, options->peer_address);
  self->incarnation = options->incarnation;
  mb_touch (table, &table->self->vm_item);
  table->confirmed_us = table->majority_us = LONG_AGO;
  table->rest.received_us = table->whole.received_us = LONG_AGO;
  table->digest_us = table->urgent_us = table->asked_up_us = LONG_AGO;
  table->region_hub_us = table->zone_hub_us = NEVER;
  table->report_due_us = table->exchange_due_us = now_us;
  table->entry_bytes = ENTRY_BURST_BYTES;
  table->entry_bytes_us = now_us;
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
  for (int queue = 0; queue < QUEUES; queue++)
    g_queue_clear (&table->items[queue]);
  g_hash_table_unref (table->entries);
  g_hash_table_unref (table->targets);
  g_hash_table_unref (table->links);
  g_hash_table_unref (table->zones);
  g_hash_table_unref (table->regions);
  g_hash_table_unref (table->silent_zones);
  g_free (table);
}

int64_t
mb_quiet_us (const MbTable *table)
{
  return MAX ((int64_t)QUIET_STEP_US * table->assigned_count,
              MB_INTERVAL_MIN_US);
}

/* Sends at once what else waits for the next interval.  */
void
mb_urge (MbTable *table, int64_t now_us)
{
  int64_t at_us = MAX (now_us, table->urgent_us + URGENT_SPACING_US);

  table->report_due_us = MIN (table->report_due_us, at_us);
  table->exchange_due_us = MIN (table->exchange_due_us, at_us);
}

void
mb_set_self (MbTable *table, uint32_t load_permille, gboolean leaving,
             uint64_t incarnation, int64_t now_us)
{
  MbMember *self = &table->self->member;

  if (self->leaving != leaving || self->incarnation != incarnation
      || (self->load_permille > LOAD_HIGH_PERMILLE)
             != (load_permille > LOAD_HIGH_PERMILLE))
    {
      mb_touch (table, &table->self->alert_item);
      mb_urge (table, now_us);
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
    mb_urge (table, now_us);
  table->config_known = MAX (table->config_known, known_version);
  table->config_in_force = MAX (table->config_in_force, in_force_version);
  table->config_heard = MAX (table->config_heard, table->config_known);
}

void
mb_set_quotas (MbTable *table, const MbQuota *quotas, uint32_t count)
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
mb_set_assignment (MbTable *table, uint64_t version, const MbAssigned *members,
                   uint32_t count, int64_t now_us)
{
  GHashTableIter iter;
  void *value;

  if (version < table->assign_version)
    return;
  if (version > table->assign_version)
    mb_urge (table, now_us);
  table->assign_version = version;
  table->assign_heard = MAX (table->assign_heard, version);
  table->assigned_count = count;
  g_hash_table_iter_init (&iter, table->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((Entry *)value)->member.assigned = FALSE;
  for (uint32_t i = 0; i < count; i++)
    {
      Entry *entry = mb_entry (table, members[i].vm);

      entry->member.assigned = TRUE;
      if (entry->known)
        continue;
      mb_copy_name (entry->member.zone, members[i].zone);
      mb_copy_name (entry->member.region, members[i].region);
      mb_place (table, entry);
    }
}

static gboolean
is_forgotten (void *key, void *value, void *data)
{
  MbTable *table = data;
  Entry *entry = value;

  (void)key;
  if (entry == table->self || entry->member.assigned || entry->member.listed
      || !entry->silent)
    return FALSE;
  drop_item (table, &entry->alert_item);
  drop_item (table, &entry->vm_item);
  drop_item (table, &entry->load_item);
  g_hash_table_remove (table->links, entry->member.vm);
  return TRUE;
}

void
mb_set_listed (MbTable *table, const MbListed *vms, uint32_t count,
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
      Entry *entry = mb_entry (table, vms[i].vm);

      entry->member.listed = TRUE;
      /* The member's own word is newer than the list.  */
      if (entry->heard)
        continue;
      mb_copy_name (entry->member.zone, vms[i].zone);
      mb_copy_name (entry->member.region, vms[i].region);
      mb_copy_name (entry->member.http_address, vms[i].http_address);
      entry->member.leaving = vms[i].leaving;
      mb_place (table, entry);
    }
  g_hash_table_foreach_remove (table->entries, is_forgotten, table);
}

Target *
mb_target_new (MbTable *table, const MbTarget *state)
{
  Target *target = g_new0 (Target, 1);

  target->state = *state;
  target->stated_us = target->passed_us = LONG_AGO;
  target->alert_item = (Item){ .kind = ITEM_TARGET_ALERT, .owner = target };
  target->item = (Item){ .kind = ITEM_TARGET, .owner = target };
  g_hash_table_insert (table->targets, target->state.target, target);
  return target;
}

static gboolean
is_urgent_target (const MbTarget *from, const MbTarget *to)
{
  return from->healthy != to->healthy || from->draining != to->draining;
}

void
mb_set_targets (MbTable *table, const MbTarget *targets, uint32_t count,
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
      target->stated_us = now_us;
      urgent = target->passed_us == LONG_AGO
               || is_urgent_target (&target->passed, &target->state);
      if (!urgent
          && (memcmp (&target->passed, &target->state, sizeof target->state)
                  == 0
              || now_us < target->passed_us + mb_quiet_us (table)))
        continue;
      if (urgent)
        mb_urge (table, now_us);
      target->passed = target->state;
      target->passed_us = now_us;
      mb_touch (table, urgent ? &target->alert_item : &target->item);
    }
}

static void
queue_message (MbTable *table, MbMessage message)
{
  MbMessage *copy = g_new (MbMessage, 1);

  *copy = message;
  g_queue_push_tail (&table->outbox, copy);
}

static void
expect_answer (MbTable *table, const char *vm, int64_t interval_us,
               int64_t now_us)
{
  Link *link = mb_link (table, vm);

  link->interval_us = interval_us;
  link->waiting_us = MIN (link->waiting_us, now_us);
}

static void
send_reports (MbTable *table, int64_t now_us)
{
  Entry *hubs[2];
  uint32_t count = mb_zone_hubs (table, table->self->member.zone, hubs);
  uint32_t others = 0;

  for (uint32_t i = 0; i < count; i++)
    if (hubs[i] != table->self)
      hubs[others++] = hubs[i];
  for (uint32_t i = 0; i < others; i++)
    {
      gboolean answer = others == 1 || table->report_count % 2 == i;

      queue_message (
          table, mb_build_report (table, hubs[i]->member.vm, answer, now_us));
      if (answer)
        expect_answer (table, hubs[i]->member.vm, mb_interval_us (table),
                       now_us);
    }
  table->report_count++;
}

static void
send_digest (MbTable *table, const Entry *to, DigestKind kind, int64_t now_us)
{
  queue_message (table,
                 mb_build_digest (table, to->member.vm, kind, FALSE, now_us));
  expect_answer (table, to->member.vm, MB_HUB_INTERVAL_US, now_us);
}

/* The hubs of other regions, once for each region.  */
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

      if (!entry->known || !g_hash_table_add (seen, entry->member.region))
        continue;
      hub = mb_region_hub (table, entry->member.region);
      if (hub != NULL)
        g_ptr_array_add (hubs, hub);
    }
  return hubs;
}

static void
exchange (MbTable *table, int64_t now_us)
{
  Entry *hub = mb_region_hub (table, table->self->member.region);

  if (hub != NULL && hub != table->self && mb_is_zone_hub (table, now_us))
    send_digest (table, hub, DIGEST_UP, now_us);
  if (table->region_hub_us == NEVER)
    return;
  g_autoptr (GPtrArray) hubs = other_region_hubs (table);
  for (guint i = 0; i < hubs->len; i++)
    {
      const Entry *other = g_ptr_array_index (hubs, i);
      const Link *link;

      g_assert (other != NULL);
      link = mb_link (table, other->member.vm);
      /* The one with the lower name asks, the other answers, unless it doesn't
         know yet that this member is a hub.  */
      if (strcmp (table->self->member.vm, other->member.vm) < 0
          || now_us > link->asked_us + HUB_MISSES * MB_HUB_INTERVAL_US)
        send_digest (table, other, DIGEST_REGION, now_us);
    }
}

/* Tries members that didn't answer, so that they are hubs again when they
   do.  */
static void
probe_failed (MbTable *table, int64_t now_us)
{
  const MbMember *self = &table->self->member;
  GHashTableIter iter;
  void *value;

  g_hash_table_iter_init (&iter, table->links);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      Link *link = value;
      const Entry *entry = g_hash_table_lookup (table->entries, link->vm);

      if (link->failed_us == LONG_AGO || entry == NULL || entry->silent
          || now_us < link->failed_us + RETRY_US)
        continue;
      link->failed_us = now_us;
      if (strcmp (entry->member.zone, self->zone) == 0)
        queue_message (table, mb_build_report (table, link->vm, TRUE, now_us));
      else if (strcmp (entry->member.region, self->region) != 0)
        queue_message (table, mb_build_digest (table, link->vm, DIGEST_REGION,
                                               FALSE, now_us));
      else if (table->zone_hub_us != NEVER)
        queue_message (table, mb_build_digest (table, link->vm, DIGEST_UP,
                                               FALSE, now_us));
    }
}

static gboolean
has_role (const MbTable *table)
{
  return table->zone_hub_us != NEVER || table->region_hub_us != NEVER;
}

gboolean
mb_poll (MbTable *table, int64_t now_us, MbMessage *message)
{
  MbMessage *next;

  if (now_us >= table->report_due_us
      || (now_us >= table->exchange_due_us && has_role (table)))
    mb_watch_roles (table, now_us);
  if (now_us >= table->report_due_us)
    {
      table->report_due_us = now_us + mb_interval_us (table);
      table->urgent_us = now_us;
      send_reports (table, now_us);
      probe_failed (table, now_us);
    }
  if (now_us >= table->exchange_due_us)
    {
      table->exchange_due_us = now_us + MB_HUB_INTERVAL_US;
      if (has_role (table))
        exchange (table, now_us);
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
mb_next_us (const MbTable *table, int64_t now_us)
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
