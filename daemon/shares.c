#include "daemon/daemon.h"

#define ASSIGN_KEY "cw/assign"
#define PERIOD_US (250 * CK_US_PER_MS)
/* Without word of a change the document is still read this often, in case all
   who knew of the change have gone.  */
#define REREAD_US (10 * CK_US_PER_S)
/* Within this time other members give up the slots for which a new one is
   preferred.  */
#define SLOTS_WAIT_US                                                         \
  ((AS_RELEASE_DELAY_MS + AS_CLAIM_DELAY_MS) * CK_US_PER_MS)

static uint32_t
live_vms (DmDaemon *daemon, int64_t now_us, AsVm *vms)
{
  const MbMember *members[DM_VMS_MAX];
  uint32_t count
      = mb_live_members (daemon->members, now_us, members, DM_VMS_MAX);

  for (uint32_t i = 0; i < count; i++)
    vms[i] = (AsVm){ members[i]->vm, members[i]->zone, members[i]->region };
  return count;
}

static void
collect_targets (DmDaemon *daemon)
{
  GHashTableIter iter;
  void *value;

  g_array_set_size (daemon->assign_targets, 0);
  g_hash_table_iter_init (&iter, daemon->targets);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const DmTarget *target = value;
      const CfRegion *region;
      AsTarget row = { .target = target->name, .zone = target->zone };

      if (!target->listed || target->region < 0)
        continue;
      region
          = g_ptr_array_index (daemon->config->regions, (guint)target->region);
      row.region = region->name;
      g_array_append_val (daemon->assign_targets, row);
    }
}

static const AsTarget *
find_target (const DmDaemon *daemon, const char *name)
{
  for (guint i = 0; i < daemon->assign_targets->len; i++)
    {
      const AsTarget *target
          = &g_array_index (daemon->assign_targets, AsTarget, i);
      if (strcmp (target->target, name) == 0)
        return target;
    }
  return NULL;
}

static void
hold_slot (DmDaemon *daemon, const AsMember *own, const AsSlot *slot,
           int64_t now_us)
{
  gboolean current = own->incarnation == daemon->incarnation;

  sl_set_held_slots (daemon->slots, slot->target, slot->base,
                     current ? slot->flex : 0,
                     MAX (now_us, daemon->slots_rest_until_us), now_us, NULL);
}

/* A target that is not in a list which was never read is kept.  */
static gboolean
keeps_slot (DmDaemon *daemon, const AsView *view, const AsSlot *slot)
{
  const DmTarget *known = g_hash_table_lookup (daemon->targets, slot->target);
  const AsTarget *target = find_target (daemon, slot->target);

  if (view->leaving)
    return FALSE;
  if (known == NULL)
    return TRUE;
  return target != NULL && as_keeps_slots (view, target, ck_wall_ms ());
}

/* Stops using the slots that the member is to give up and returns those that
   still serve a request.  */
static GArray *
retire_slots (DmDaemon *daemon, const AsView *view, const AsMember *own,
              int64_t now_us)
{
  GArray *in_use = g_array_new (FALSE, FALSE, sizeof (AsSlotsInUse));

  for (guint i = 0; own != NULL && i < own->slots->len; i++)
    {
      const AsSlot *slot = g_ptr_array_index (own->slots, i);
      AsSlotsInUse row = { slot->target, slot->base, slot->flex };

      /* Undoes an earlier retirement.  */
      if (keeps_slot (daemon, view, slot))
        hold_slot (daemon, own, slot, now_us);
      else if (!sl_drain_slots (daemon->slots, slot->target, 0, 0, now_us))
        g_array_append_val (in_use, row);
    }
  return in_use;
}

static void
apply_weights (DmDaemon *daemon, const AsMember *own, int64_t now_us)
{
  gboolean current = own->incarnation == daemon->incarnation;
  uint32_t flex = current ? own->flex : 0;

  daemon->share.base = MIN (daemon->share.base, own->base);
  daemon->share.flex = MIN (daemon->share.flex, flex);
  qt_set_share (daemon->quotas, daemon->share.base, daemon->share.flex,
                now_us);
}

static void
drop_lost_holdings (DmDaemon *daemon, const AsMember *own, int64_t now_us)
{
  GHashTableIter iter;
  void *value;

  g_hash_table_iter_init (&iter, daemon->targets);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const DmTarget *target = value;
      SlState state = sl_state (daemon->slots, target->name, now_us);

      if (state.held_count > 0
          && (own == NULL || as_find_slot (own, target->name) == NULL))
        sl_set_held_slots (daemon->slots, target->name, 0, 0, now_us, now_us,
                           NULL);
    }
}

/* An entry of a former process counts for nothing until this one has written
   it.  */
void
dm_shares_apply (DmDaemon *daemon, int64_t now_us)
{
  const AsMember *own
      = daemon->assign == NULL
            ? NULL
            : as_find_member (daemon->assign, daemon->settings->vm);

  if (own != NULL && own->incarnation < daemon->process_incarnation)
    own = NULL;
  drop_lost_holdings (daemon, own, now_us);
  if (own == NULL)
    {
      daemon->share = (AsWeights){ 0, 0 };
      qt_set_share (daemon->quotas, 0, 0, now_us);
      return;
    }
  if (daemon->joined_us == 0)
    daemon->joined_us = now_us;
  apply_weights (daemon, own, now_us);
  for (guint i = 0; i < own->slots->len; i++)
    hold_slot (daemon, own, g_ptr_array_index (own->slots, i), now_us);
}

static const char *
region_of_zone (const DmDaemon *daemon, const char *zone)
{
  int region
      = daemon->config == NULL ? -1 : cf_region_of_zone (daemon->config, zone);

  if (region < 0)
    return "";
  return ((const CfRegion *)g_ptr_array_index (daemon->config->regions,
                                               (guint)region))
      ->name;
}

static void
tell_members (DmDaemon *daemon, int64_t now_us)
{
  g_autoptr (GArray) rows = g_array_new (FALSE, FALSE, sizeof (MbAssignedVm));

  for (guint i = 0; i < daemon->assign->members->len; i++)
    {
      const AsMember *member = g_ptr_array_index (daemon->assign->members, i);
      MbAssignedVm row = { member->vm, member->zone,
                           region_of_zone (daemon, member->zone) };
      g_array_append_val (rows, row);
    }
  mb_set_assignment (daemon->members, daemon->assign->version,
                     (const MbAssignedVm *)rows->data, rows->len, now_us);
}

/* Takes DOC over if it is newer.  */
static void
adopt (DmDaemon *daemon, AsDoc *doc, uint64_t store_index)
{
  int64_t now_us = ck_boot_us ();

  if (daemon->assign != NULL && doc->version < daemon->assign->version)
    {
      as_free (doc);
      return;
    }
  as_free (daemon->assign);
  daemon->assign = doc;
  if (store_index != 0)
    daemon->assign_index = store_index;
  daemon->share = (AsWeights){ UINT32_MAX, UINT32_MAX };
  tell_members (daemon, now_us);
  dm_shares_apply (daemon, now_us);
  dm_fleet_holders (daemon);
}

void
dm_shares_offer (DmDaemon *daemon, const char *text, gsize length,
                 uint64_t store_index)
{
  g_autoptr (GError) error = NULL;
  AsDoc *doc = as_parse (text, length, &error);

  if (doc == NULL)
    {
      dm_note (daemon, EV_ASSIGN_CONFLICT, "assignment is invalid: %s",
               error->message);
      return;
    }
  adopt (daemon, doc, store_index);
}

static void
on_read (const StResult *result, void *data)
{
  DmDaemon *daemon = data;

  daemon->assign_reading = FALSE;
  dm_store_answered (daemon, result->outcome);
  if (result->outcome == ST_OUTCOME_OK)
    dm_shares_offer (daemon, result->value, result->length_bytes,
                     result->index);
  else if (result->outcome == ST_OUTCOME_ABSENT && daemon->assign == NULL)
    adopt (daemon, as_new (), 0);
}

static void
on_peer_read (const char *vm, const Peer__Envelope *envelope, int64_t sent_us,
              void *data)
{
  DmDaemon *daemon = data;

  (void)vm;
  (void)sent_us;
  daemon->assign_reading = FALSE;
  if (envelope != NULL
      && envelope->body_case == PEER__ENVELOPE__BODY_PART_REPLY
      && envelope->part_reply->n_parts == 1)
    dm_shares_offer (
        daemon, (const char *)envelope->part_reply->parts[0]->content.data,
        envelope->part_reply->parts[0]->content.len, 0);
}

static void
read_from_peer (DmDaemon *daemon, int64_t now_us)
{
  const MbMember *members[DM_VMS_MAX];
  uint32_t count
      = mb_live_members (daemon->members, now_us, members, DM_VMS_MAX);
  Peer__Envelope envelope = PEER__ENVELOPE__INIT;
  Peer__PartRequest body = PEER__PART_REQUEST__INIT;
  char *name = "assign";
  const char *vm;

  if (count < 2)
    return;
  vm = members[dm_random (daemon) % count]->vm;
  if (strcmp (vm, daemon->settings->vm) == 0)
    return;
  body.n_sha256 = 1;
  body.sha256 = &name;
  envelope.body_case = PEER__ENVELOPE__BODY_PART_REQUEST;
  envelope.part_request = &body;
  daemon->assign_reading = TRUE;
  pr_request (daemon->net, vm, &envelope, 1000, on_peer_read, daemon);
}

static void
read_document (DmDaemon *daemon, int64_t now_us)
{
  if (daemon->assign_reading)
    return;
  daemon->assign_read_us = now_us;
  if (!daemon->store_up)
    {
      read_from_peer (daemon, now_us);
      return;
    }
  daemon->assign_reading = TRUE;
  st_get (daemon->store, ASSIGN_KEY, on_read, daemon);
}

typedef struct
{
  DmDaemon *daemon;
  AsDoc *doc;
} Write;

static void
on_write (const StResult *result, void *data)
{
  Write *write = data;
  DmDaemon *daemon = write->daemon;

  daemon->assign_writing = FALSE;
  daemon->assign_pending = NULL;
  dm_store_answered (daemon, result->outcome);
  if (result->outcome == ST_OUTCOME_OK && result->index != 0)
    {
      daemon->assign_attempt = 0;
      dm_note (daemon, EV_ASSIGN_CHANGED, "version %" G_GUINT64_FORMAT,
               write->doc->version);
      adopt (daemon, write->doc, result->index);
      write->doc = NULL;
    }
  else
    {
      if (result->outcome == ST_OUTCOME_LOST)
        dm_note (daemon, EV_ASSIGN_CONFLICT, "version %" G_GUINT64_FORMAT,
                 write->doc->version);
      if (result->outcome == ST_OUTCOME_UNKNOWN)
        dm_note (daemon, EV_STORE_OUTCOME_UNKNOWN, "assignment");
      daemon->assign_due_us
          = ck_boot_us ()
            + (int64_t)as_retry_delay_ms (daemon->assign_attempt++,
                                          (uint32_t)dm_random (daemon))
                  * CK_US_PER_MS;
      read_document (daemon, ck_boot_us ());
    }
  as_free (write->doc);
  dm_context_free (daemon, write);
}

static void
write_document (DmDaemon *daemon, AsDoc *doc)
{
  g_autofree char *text = as_format (doc);
  Write *write = dm_context_new (daemon, sizeof *write);

  *write = (Write){ daemon, doc };
  daemon->assign_pending = doc;
  daemon->assign_writing = TRUE;
  st_cas (daemon->store, ASSIGN_KEY, daemon->assign_index, text, strlen (text),
          on_write, write);
}

static GArray *
fenced_rows (DmDaemon *daemon)
{
  GArray *rows = g_array_new (FALSE, FALSE, sizeof (AsFencedLease));
  GHashTableIter iter;
  void *value;

  g_hash_table_iter_init (&iter, daemon->fenced);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    g_array_append_val (rows, *(AsFencedLease *)value);
  return rows;
}

/* Uses the lower weights at once and keeps the entry while grants depend on
   it.  */
static void
follow_aim (DmDaemon *daemon, AsView *view, const AsMember *own,
            int64_t now_us)
{
  daemon->share = as_usable_weights (daemon->assign, view);
  if (own == NULL || own->incarnation < daemon->process_incarnation)
    return;
  apply_weights (daemon, own, now_us);
  if (qt_grants_fit_share (daemon->quotas, now_us))
    return;
  view->base_in_use = own->base;
  view->flex_in_use = own->flex;
}

static void
change_document (DmDaemon *daemon, int64_t now_us)
{
  AsVm vms[DM_VMS_MAX];
  const AsMember *own = as_find_member (daemon->assign, daemon->settings->vm);
  g_autoptr (GArray) fenced = fenced_rows (daemon);
  g_autoptr (GArray) in_use = NULL;
  g_autofree char *op_id = g_uuid_string_random ();
  AsView view = { .self = { daemon->settings->vm, daemon->settings->zone,
                            daemon->settings->region },
                  .incarnation = daemon->incarnation,
                  .op_id = op_id,
                  .lease_active = ls_active (daemon->lease, now_us),
                  .leaving = daemon->front_idle,
                  .live = vms,
                  .fenced = (const AsFencedLease *)fenced->data,
                  .fenced_count = fenced->len };
  AsDoc *next;

  view.live_count = live_vms (daemon, now_us, vms);
  view.restarted
      = own != NULL && own->incarnation < daemon->process_incarnation;
  collect_targets (daemon);
  as_placement_update (daemon->tracker, vms, view.live_count,
                       (AsTarget *)daemon->assign_targets->data,
                       daemon->assign_targets->len, ck_wall_ms ());
  view.targets = (const AsTarget *)daemon->assign_targets->data;
  view.target_count = daemon->assign_targets->len;
  in_use = retire_slots (daemon, &view, view.restarted ? NULL : own, now_us);
  view.slots_in_use = (const AsSlotsInUse *)in_use->data;
  view.slot_in_use_count = in_use->len;
  follow_aim (daemon, &view, own, now_us);
  next = as_next_doc (daemon->assign, &view, ck_wall_ms ());
  if (next != NULL)
    write_document (daemon, next);
}

void
dm_shares_tick (DmDaemon *daemon, int64_t now_us)
{
  gboolean behind;

  if (now_us < daemon->assign_due_us || daemon->assign_writing)
    return;
  daemon->assign_due_us = now_us + PERIOD_US;
  behind = daemon->assign == NULL
           || mb_latest_assign_version (daemon->members)
                  > daemon->assign->version;
  if (behind || now_us - daemon->assign_read_us > REREAD_US)
    read_document (daemon, now_us);
  if (daemon->assign == NULL || behind || daemon->config == NULL
      || daemon->incarnation == 0 || !daemon->store_up)
    return;
  change_document (daemon, now_us);
}

/* A daemon that joins gets its slots from the others over some writes of the
   document; until then it can serve nothing on its own.  One that is preferred
   for no target gets none.  */
gboolean
dm_shares_settled (const DmDaemon *daemon, int64_t now_us)
{
  const AsMember *own
      = daemon->assign == NULL
            ? NULL
            : as_find_member (daemon->assign, daemon->settings->vm);

  if (own == NULL || own->incarnation < daemon->process_incarnation
      || own->flex == 0)
    return FALSE;
  return own->slots->len > 0 || now_us - daemon->joined_us >= SLOTS_WAIT_US;
}

/* Nothing is left in the document that a graceful stop has to give back.  */
gboolean
dm_shares_released (const DmDaemon *daemon)
{
  const AsMember *own
      = daemon->assign == NULL
            ? NULL
            : as_find_member (daemon->assign, daemon->settings->vm);

  return own == NULL
         || (own->base == 0 && own->flex == 0 && own->slots->len == 0);
}
