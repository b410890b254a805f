#include "daemon/daemon.h"

#define ASSIGN_KEY "cw/assign"
#define UPDATE_INTERVAL_US (250 * CK_US_PER_MS)
/* Interval of reads while no peer reports a higher version: the daemons that
   know of one may all have failed.  */
#define REREAD_INTERVAL_US (10 * CK_US_PER_S)
/* Time in which other members release the slots of targets for which a joining
   member is the preferred VM.  */
#define JOIN_SLOTS_WAIT_US                                                    \
  ((AS_RELEASE_DELAY_MS + AS_CLAIM_DELAY_MS) * CK_US_PER_MS)

static uint32_t
collect_live_vms (DmDaemon *daemon, int64_t now_us, AsVm *vms)
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
set_held_slots (DmDaemon *daemon, const AsMember *own, const AsSlot *slot,
                int64_t now_us)
{
  /* After a change of incarnation only the base share may be used until the
     entry is rewritten.  */
  gboolean current = own->incarnation == daemon->incarnation;

  sl_set_held_slots (
      daemon->slots, slot->target, slot->base, current ? slot->flex : 0,
      MAX (now_us, daemon->slots_quarantine_until_us), now_us, NULL);
}

/* Slots of an unknown target are kept, since the list of its service may not
   have been read yet.  */
static gboolean
may_keep_slot (DmDaemon *daemon, const AsView *view, const AsSlot *slot)
{
  const DmTarget *known = g_hash_table_lookup (daemon->targets, slot->target);
  const AsTarget *target = find_target (daemon, slot->target);

  if (view->leaving)
    return FALSE;
  if (known == NULL)
    return TRUE;
  return target != NULL && as_keeps_slots (view, target, ck_wall_ms ());
}

/* Stops using the slots that this member has to release.  Returns those on
   which a request is still running.  */
static GArray *
drain_released_slots (DmDaemon *daemon, const AsView *view,
                      const AsMember *own, int64_t now_us)
{
  GArray *in_use = g_array_new (FALSE, FALSE, sizeof (AsSlotsInUse));

  for (guint i = 0; own != NULL && i < own->slots->len; i++)
    {
      const AsSlot *slot = g_ptr_array_index (own->slots, i);
      AsSlotsInUse row = { slot->target, slot->base, slot->flex };

      /* Cancels an earlier drain.  */
      if (may_keep_slot (daemon, view, slot))
        set_held_slots (daemon, own, slot, now_us);
      else if (!sl_drain_slots (daemon->slots, slot->target, 0, 0, now_us))
        g_array_append_val (in_use, row);
    }
  return in_use;
}

static void
apply_entry_weights (DmDaemon *daemon, const AsMember *own, int64_t now_us)
{
  gboolean current = own->incarnation == daemon->incarnation;
  uint32_t flex = current ? own->flex : 0;

  daemon->share.base = MIN (daemon->share.base, own->base);
  daemon->share.flex = MIN (daemon->share.flex, flex);
  qt_set_share (daemon->quotas, daemon->share.base, daemon->share.flex,
                now_us);
}

static void
remove_unassigned_slots (DmDaemon *daemon, const AsMember *own, int64_t now_us)
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

/* An entry written by an earlier process of this VM is ignored until this
   process has rewritten it.  */
void
dm_shares_apply (DmDaemon *daemon, int64_t now_us)
{
  const AsMember *own
      = daemon->assign == NULL
            ? NULL
            : as_find_member (daemon->assign, daemon->settings->vm);

  if (own != NULL && own->incarnation < daemon->process_incarnation)
    own = NULL;
  remove_unassigned_slots (daemon, own, now_us);
  if (own == NULL)
    {
      daemon->share = (AsWeights){ 0, 0 };
      qt_set_share (daemon->quotas, 0, 0, now_us);
      return;
    }
  if (daemon->joined_us == 0)
    daemon->joined_us = now_us;
  apply_entry_weights (daemon, own, now_us);
  for (guint i = 0; i < own->slots->len; i++)
    set_held_slots (daemon, own, g_ptr_array_index (own->slots, i), now_us);
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
update_assigned_members (DmDaemon *daemon, int64_t now_us)
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

/* Applies DOC unless the present one has a higher version.  Takes ownership
   of DOC.  */
static void
apply_doc (DmDaemon *daemon, AsDoc *doc, uint64_t store_index)
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
  /* No limit; dm_shares_apply lowers it to the weights of the entry.  */
  daemon->share = (AsWeights){ UINT32_MAX, UINT32_MAX };
  update_assigned_members (daemon, now_us);
  dm_shares_apply (daemon, now_us);
  dm_fleet_update_holders (daemon);
}

void
dm_shares_receive_doc (DmDaemon *daemon, const char *text, gsize length,
                       uint64_t store_index)
{
  g_autoptr (GError) error = NULL;
  AsDoc *doc = as_parse (text, length, &error);

  if (doc == NULL)
    {
      dm_record_detail (daemon, EV_ASSIGN_CONFLICT,
                        "assignment is invalid: %s", error->message);
      return;
    }
  apply_doc (daemon, doc, store_index);
}

static void
on_store_doc (const StResult *result, void *data)
{
  DmDaemon *daemon = data;

  daemon->assign_reading = FALSE;
  dm_update_store_state (daemon, result->outcome);
  if (result->outcome == ST_OUTCOME_OK)
    dm_shares_receive_doc (daemon, result->value, result->length_bytes,
                           result->index);
  else if (result->outcome == ST_OUTCOME_ABSENT && daemon->assign == NULL)
    apply_doc (daemon, as_new (), 0);
}

static void
on_peer_doc (const char *vm, const Peer__Envelope *envelope, int64_t sent_us,
             void *data)
{
  DmDaemon *daemon = data;

  (void)vm;
  (void)sent_us;
  daemon->assign_reading = FALSE;
  if (envelope != NULL
      && envelope->body_case == PEER__ENVELOPE__BODY_PART_REPLY
      && envelope->part_reply->n_parts == 1)
    dm_shares_receive_doc (
        daemon, (const char *)envelope->part_reply->parts[0]->content.data,
        envelope->part_reply->parts[0]->content.len, 0);
}

static void
request_doc_from_peer (DmDaemon *daemon, int64_t now_us)
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
  /* See dm_receive_part_request for names that are not a SHA-256.  */
  body.n_sha256 = 1;
  body.sha256 = &name;
  envelope.body_case = PEER__ENVELOPE__BODY_PART_REQUEST;
  envelope.part_request = &body;
  daemon->assign_reading = TRUE;
  pr_request (daemon->net, vm, &envelope, 1000, on_peer_doc, daemon);
}

static void
read_doc (DmDaemon *daemon, int64_t now_us)
{
  if (daemon->assign_reading)
    return;
  daemon->assign_read_us = now_us;
  if (!daemon->store_up)
    {
      request_doc_from_peer (daemon, now_us);
      return;
    }
  daemon->assign_reading = TRUE;
  st_get (daemon->store, ASSIGN_KEY, on_store_doc, daemon);
}

typedef struct
{
  DmDaemon *daemon;
  AsDoc *doc;
} WriteContext;

static void
on_doc_written (const StResult *result, void *data)
{
  WriteContext *write = data;
  DmDaemon *daemon = write->daemon;

  daemon->assign_writing = FALSE;
  daemon->assign_pending = NULL;
  dm_update_store_state (daemon, result->outcome);
  /* Index 0: the write took effect, but its index could not be read.  The
     document is then read back.  */
  if (result->outcome == ST_OUTCOME_OK && result->index != 0)
    {
      daemon->assign_failure_count = 0;
      dm_record_detail (daemon, EV_ASSIGN_CHANGED,
                        "version %" G_GUINT64_FORMAT, write->doc->version);
      apply_doc (daemon, write->doc, result->index);
      write->doc = NULL;
    }
  else
    {
      if (result->outcome == ST_OUTCOME_CONFLICT)
        dm_record_detail (daemon, EV_ASSIGN_CONFLICT,
                          "version %" G_GUINT64_FORMAT, write->doc->version);
      if (result->outcome == ST_OUTCOME_UNKNOWN)
        dm_record_detail (daemon, EV_STORE_OUTCOME_UNKNOWN, "assignment");
      daemon->assign_due_us
          = ck_boot_us ()
            + (int64_t)as_retry_delay_ms (daemon->assign_failure_count++,
                                          (uint32_t)dm_random (daemon))
                  * CK_US_PER_MS;
      read_doc (daemon, ck_boot_us ());
    }
  as_free (write->doc);
  dm_context_free (daemon, write);
}

static void
write_doc (DmDaemon *daemon, AsDoc *doc)
{
  g_autofree char *text = as_format (doc);
  WriteContext *write = dm_context_new (daemon, sizeof *write);

  *write = (WriteContext){ daemon, doc };
  daemon->assign_pending = doc;
  daemon->assign_writing = TRUE;
  st_cas (daemon->store, ASSIGN_KEY, daemon->assign_index, text, strlen (text),
          on_doc_written, write);
}

static GArray *
collect_fenced_leases (DmDaemon *daemon)
{
  GArray *rows = g_array_new (FALSE, FALSE, sizeof (AsFencedLease));
  GHashTableIter iter;
  void *value;

  g_hash_table_iter_init (&iter, daemon->fenced);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    g_array_append_val (rows, *(AsFencedLease *)value);
  return rows;
}

/* Applies lower weights at once, and keeps the present weights in the entry
   until the open grants fit into the lower ones.  */
static void
apply_usable_weights (DmDaemon *daemon, AsView *view, const AsMember *own,
                      int64_t now_us)
{
  daemon->share = as_usable_weights (daemon->assign, view);
  if (own == NULL || own->incarnation < daemon->process_incarnation)
    return;
  apply_entry_weights (daemon, own, now_us);
  if (qt_grants_fit_share (daemon->quotas, now_us))
    return;
  view->base_in_use = own->base;
  view->flex_in_use = own->flex;
}

static void
update_doc (DmDaemon *daemon, int64_t now_us)
{
  AsVm vms[DM_VMS_MAX];
  const AsMember *own = as_find_member (daemon->assign, daemon->settings->vm);
  g_autoptr (GArray) fenced = collect_fenced_leases (daemon);
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

  view.live_count = collect_live_vms (daemon, now_us, vms);
  view.restarted
      = own != NULL && own->incarnation < daemon->process_incarnation;
  collect_targets (daemon);
  as_placement_update (daemon->placement, vms, view.live_count,
                       (AsTarget *)daemon->assign_targets->data,
                       daemon->assign_targets->len, ck_wall_ms ());
  view.targets = (const AsTarget *)daemon->assign_targets->data;
  view.target_count = daemon->assign_targets->len;
  in_use = drain_released_slots (daemon, &view, view.restarted ? NULL : own,
                                 now_us);
  view.slots_in_use = (const AsSlotsInUse *)in_use->data;
  view.slot_in_use_count = in_use->len;
  apply_usable_weights (daemon, &view, own, now_us);
  next = as_next_doc (daemon->assign, &view, ck_wall_ms ());
  if (next != NULL)
    write_doc (daemon, next);
}

void
dm_shares_tick (DmDaemon *daemon, int64_t now_us)
{
  gboolean behind;

  if (now_us < daemon->assign_due_us || daemon->assign_writing)
    return;
  daemon->assign_due_us = now_us + UPDATE_INTERVAL_US;
  behind = daemon->assign == NULL
           || mb_latest_assign_version (daemon->members)
                  > daemon->assign->version;
  if (behind || now_us - daemon->assign_read_us > REREAD_INTERVAL_US)
    read_doc (daemon, now_us);
  if (daemon->assign == NULL || behind || daemon->config == NULL
      || daemon->incarnation == 0 || !daemon->store_up)
    return;
  update_doc (daemon, now_us);
}

/* Other members release slots for a joining daemon over several writes of the
   document; until then it has none of its own to serve requests with.  A
   daemon that is the preferred VM of no target gets no slots, so the wait is
   limited.  */
gboolean
dm_shares_assigned (const DmDaemon *daemon, int64_t now_us)
{
  const AsMember *own
      = daemon->assign == NULL
            ? NULL
            : as_find_member (daemon->assign, daemon->settings->vm);

  if (own == NULL || own->incarnation < daemon->process_incarnation
      || own->flex == 0)
    return FALSE;
  return own->slots->len > 0
         || now_us - daemon->joined_us >= JOIN_SLOTS_WAIT_US;
}

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
