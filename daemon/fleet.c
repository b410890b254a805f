#include "daemon/daemon.h"

#define LIST_POLL_WAIT_MS 10000
#define LIST_RETRY_DELAY_US CK_US_PER_S
#define PEER_LIST_INTERVAL_US (250 * CK_US_PER_MS)
#define PROBE_INTERVAL_US (500 * CK_US_PER_MS)
#define PROBE_TIMEOUT_US (800 * CK_US_PER_MS)
#define UNHEALTHY_FAILURE_COUNT 2
#define DRAINS_INTERVAL_US (200 * CK_US_PER_MS)

#include <json-c/json.h>

typedef struct
{
  DmDaemon *daemon;
  DmService *service;
} ListContext;

void
dm_target_free (void *data)
{
  DmTarget *target = data;

  if (target == NULL)
    return;
  if (target->probe != NULL)
    bk_cancel (target->probe);
  g_free (target->name);
  g_free (target->zone);
  g_free (target->address);
  g_free (target->listed_address);
  g_ptr_array_unref (target->holders);
  g_free (target);
}

void
dm_service_free (void *data)
{
  DmService *service = data;

  g_ptr_array_unref (service->targets);
  fq_free (service->queue);
  g_free (service->name);
  g_free (service);
}

DmService *
dm_find_service (DmDaemon *daemon, const char *name)
{
  return g_hash_table_lookup (daemon->services, name);
}

gboolean
dm_target_is_usable (const DmTarget *target)
{
  return target->listed && target->healthy && !target->draining
         && !target->leaving;
}

void
dm_target_record_failure (DmDaemon *daemon, DmTarget *target)
{
  target->failure_count++;
  if (!target->healthy || target->failure_count < UNHEALTHY_FAILURE_COUNT)
    return;
  target->healthy = FALSE;
  dm_record (daemon, EV_TARGET_UNHEALTHY,
             &(EvFields){ .target = target->name });
}

void
dm_target_record_response (DmDaemon *daemon, DmTarget *target)
{
  target->failure_count = 0;
  if (target->healthy)
    return;
  target->healthy = TRUE;
  /* The target may have restarted with an empty cache: it counts as cold until
     it reports that it is warm.  */
  sl_set_warmth (daemon->slots, target->name, 0, ck_boot_us ());
  dm_record (daemon, EV_TARGET_HEALTHY, &(EvFields){ .target = target->name });
}

/* Health checks.  A daemon probes only targets of which it holds slots; its
   probes alternate between /healthz and /loadz.  */

static DmTarget *
end_probe (void *data)
{
  DmTarget *target = data;

  target->probe = NULL;
  return target;
}

static uint32_t
get_int_field (struct json_object *root, const char *name,
               uint32_t default_value)
{
  struct json_object *value;

  if (!json_object_object_get_ex (root, name, &value)
      || !json_object_is_type (value, json_type_int))
    return default_value;
  return (uint32_t)CLAMP (json_object_get_int64 (value), 0, 1000000);
}

static void
apply_load_report (DmTarget *target, const BkResult *result)
{
  struct json_tokener *tokener = json_tokener_new ();
  struct json_object *root = json_tokener_parse_ex (
      tokener, (const char *)result->body, (int)result->body_bytes);
  struct json_object *value;

  if (json_object_is_type (root, json_type_object))
    {
      target->reported_running = get_int_field (root, "running", 0);
      target->warm_permille = get_int_field (root, "warm_permille", 1000);
      target->reported_us = ck_boot_us ();
      if (json_object_object_get_ex (root, "draining", &value))
        target->reported_draining = json_object_get_boolean (value);
    }
  json_object_put (root);
  json_tokener_free (tokener);
}

static void
on_health_response (const BkResult *result, void *data)
{
  DmTarget *target = end_probe (data);

  if (result->complete && result->status == 200)
    dm_target_record_response (target->daemon, target);
  else
    dm_target_record_failure (target->daemon, target);
}

static void
on_load_response (const BkResult *result, void *data)
{
  DmTarget *target = end_probe (data);

  if (!result->complete)
    {
      dm_target_record_failure (target->daemon, target);
      return;
    }
  if (result->status != 200)
    return;
  apply_load_report (target, result);
  sl_set_warmth (target->daemon->slots, target->name, target->warm_permille,
                 ck_boot_us ());
}

static void
send_probe (DmDaemon *daemon, DmTarget *target, int64_t now_us)
{
  BkRequest request
      = { .address = target->address,
          .method = "GET",
          .request_target = target->probe_load ? "/loadz" : "/healthz",
          .deadline_us = now_us + PROBE_TIMEOUT_US,
          .on_done
          = target->probe_load ? on_load_response : on_health_response,
          .data = target };

  target->probe_load = !target->probe_load;
  target->probe_due_us = now_us + PROBE_INTERVAL_US;
  target->probe = bk_request (daemon->probe_pool, &request);
}

/* Takes the state of a target of which this daemon holds no slots from the
   last report of a daemon that does.  */
static void
apply_holder_report (DmDaemon *daemon, DmTarget *target, int64_t now_us)
{
  MbTargetState state;
  int64_t age_us;

  if (!mb_target_state (daemon->members, target->name, now_us, &state,
                        &age_us))
    return;
  target->healthy = state.healthy;
  target->reported_draining = state.draining;
  target->warm_permille = state.warm_permille;
}

static void
check_targets (DmDaemon *daemon, int64_t now_us)
{
  GHashTableIter iter;
  void *value;

  g_hash_table_iter_init (&iter, daemon->targets);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      DmTarget *target = value;

      if (sl_state (daemon->slots, target->name, now_us).held_count == 0)
        apply_holder_report (daemon, target, now_us);
      else if (target->probe == NULL && now_us >= target->probe_due_us)
        send_probe (daemon, target, now_us);
    }
}

static void
update_drains (DmDaemon *daemon, int64_t now_us)
{
  GHashTableIter iter;
  void *value;

  if (now_us < daemon->drains_due_us || daemon->config == NULL)
    return;
  daemon->drains_due_us = now_us + DRAINS_INTERVAL_US;
  g_hash_table_iter_init (&iter, daemon->targets);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      DmTarget *target = value;
      gboolean was_draining = target->draining;

      target->draining
          = target->reported_draining
            || pl_target_is_draining (daemon->config, target->name,
                                      target->zone, ck_wall_ms ());
      if (target->draining && !was_draining)
        dm_record (daemon, EV_TARGET_LEAVING,
                   &(EvFields){ .target = target->name });
    }
}

/* The platform's lists of targets and entry VMs.  */

static char *
format_connect_address (DmDaemon *daemon, const StVm *vm)
{
  const SeAddress *override
      = se_find_override (daemon->settings->target_connect, vm->id);
  SeAddress listed = { vm->address, vm->port };

  return se_format_address (override != NULL ? override : &listed);
}

static DmTarget *
target_new (DmDaemon *daemon, DmService *service, const StVm *vm)
{
  DmTarget *target = g_new0 (DmTarget, 1);

  target->daemon = daemon;
  target->name = g_strdup (vm->id);
  target->healthy = TRUE;
  target->warm_permille = 1000;
  target->holders = g_ptr_array_new_with_free_func (g_free);
  g_ptr_array_add (service->targets, target);
  g_hash_table_insert (daemon->targets, target->name, target);
  return target;
}

static void
update_target (DmDaemon *daemon, DmService *service, const StVm *vm)
{
  DmTarget *target = g_hash_table_lookup (daemon->targets, vm->id);
  gboolean was_leaving;

  if (target == NULL)
    target = target_new (daemon, service, vm);
  g_free (target->zone);
  g_free (target->address);
  target->zone = g_strdup (vm->zone);
  target->address = format_connect_address (daemon, vm);
  g_free (target->listed_address);
  target->listed_address
      = se_format_address (&(SeAddress){ vm->address, vm->port });
  target->region = cf_region_of_zone (daemon->config, vm->zone);
  target->listed = TRUE;
  was_leaving = target->leaving;
  target->leaving = vm->leaving;
  if (target->leaving && !was_leaving)
    dm_record (daemon, EV_TARGET_LEAVING,
               &(EvFields){ .target = target->name });
}

static void
apply_target_list (DmDaemon *daemon, DmService *service, const GPtrArray *vms)
{
  for (guint i = 0; i < service->targets->len; i++)
    ((DmTarget *)g_ptr_array_index (service->targets, i))->listed = FALSE;
  for (guint i = 0; i < vms->len; i++)
    update_target (daemon, service, g_ptr_array_index (vms, i));
  service->listed = TRUE;
  dm_fleet_update_holders (daemon);
}

static void
on_target_list (const GPtrArray *vms, uint64_t index, void *data)
{
  ListContext *context = data;
  DmDaemon *daemon = context->daemon;
  DmService *service = context->service;

  dm_context_free (daemon, context);
  dm_update_store_state (daemon,
                         vms == NULL ? ST_OUTCOME_DOWN : ST_OUTCOME_OK);
  service->list_pending = FALSE;
  service->list_due_us = vms == NULL ? ck_boot_us () + LIST_RETRY_DELAY_US : 0;
  if (vms == NULL)
    return;
  service->list_index = index;
  apply_target_list (daemon, service, vms);
}

/* Lists of targets from peers, for a daemon that starts while the store is
   down.  */

char *
dm_fleet_format_list (DmDaemon *daemon, const char *service_name)
{
  DmService *service = dm_find_service (daemon, service_name);
  struct json_object *rows;
  char *text;

  if (service == NULL || !service->listed)
    return NULL;
  rows = json_object_new_array ();
  for (guint i = 0; i < service->targets->len; i++)
    {
      const DmTarget *target = g_ptr_array_index (service->targets, i);
      struct json_object *row = json_object_new_object ();

      if (target->listed)
        json_object_array_add (rows, row);
      json_object_object_add (row, "name",
                              json_object_new_string (target->name));
      json_object_object_add (row, "zone",
                              json_object_new_string (target->zone));
      json_object_object_add (row, "address",
                              json_object_new_string (target->listed_address));
      json_object_object_add (row, "leaving",
                              json_object_new_boolean (target->leaving));
      if (!target->listed)
        json_object_put (row);
    }
  text = g_strdup (
      json_object_to_json_string_ext (rows, JSON_C_TO_STRING_PLAIN));
  json_object_put (rows);
  return text;
}

static const char *
get_string_field (struct json_object *row, const char *name)
{
  struct json_object *value;

  if (!json_object_object_get_ex (row, name, &value)
      || !json_object_is_type (value, json_type_string))
    return NULL;
  return json_object_get_string (value);
}

static void
add_list_row (struct json_object *row, GPtrArray *vms)
{
  const char *name = get_string_field (row, "name");
  const char *zone = get_string_field (row, "zone");
  const char *address = get_string_field (row, "address");
  struct json_object *leaving;
  SeAddress parsed = { NULL, 0 };
  StVm *vm;

  if (name == NULL || zone == NULL || address == NULL || !cf_is_name (name)
      || !se_parse_address (address, &parsed))
    return;
  vm = g_new0 (StVm, 1);
  vm->id = g_strdup (name);
  vm->zone = g_strdup (zone);
  vm->address = parsed.ip;
  vm->port = parsed.port;
  if (json_object_object_get_ex (row, "leaving", &leaving))
    vm->leaving = json_object_get_boolean (leaving);
  g_ptr_array_add (vms, vm);
}

static void
on_peer_list (const char *vm, const Peer__Envelope *envelope, int64_t sent_us,
              void *data)
{
  ListContext *context = data;
  DmDaemon *daemon = context->daemon;
  DmService *service = context->service;
  g_autoptr (GPtrArray) vms = g_ptr_array_new_with_free_func (dm_vm_free);
  struct json_tokener *tokener;
  struct json_object *rows;

  (void)vm;
  (void)sent_us;
  dm_context_free (daemon, context);
  if (envelope == NULL || service->listed
      || envelope->body_case != PEER__ENVELOPE__BODY_PART_REPLY
      || envelope->part_reply->n_parts != 1)
    return;
  tokener = json_tokener_new ();
  rows = json_tokener_parse_ex (
      tokener, (const char *)envelope->part_reply->parts[0]->content.data,
      (int)envelope->part_reply->parts[0]->content.len);
  if (json_object_is_type (rows, json_type_array))
    for (size_t i = 0; i < json_object_array_length (rows); i++)
      add_list_row (json_object_array_get_idx (rows, i), vms);
  json_object_put (rows);
  json_tokener_free (tokener);
  if (vms->len > 0)
    apply_target_list (daemon, service, vms);
}

static void
request_list_from_peer (DmDaemon *daemon, DmService *service, int64_t now_us)
{
  const MbMember *members[DM_VMS_MAX];
  uint32_t count
      = mb_live_members (daemon->members, now_us, members, DM_VMS_MAX);
  g_autofree char *name = g_strconcat ("list/", service->name, NULL);
  Peer__Envelope envelope = PEER__ENVELOPE__INIT;
  Peer__PartRequest body = PEER__PART_REQUEST__INIT;
  ListContext *context;
  const char *vm;

  if (count < 2 || now_us < service->peer_list_due_us)
    return;
  service->peer_list_due_us = now_us + PEER_LIST_INTERVAL_US;
  vm = members[dm_random (daemon) % count]->vm;
  if (strcmp (vm, daemon->settings->vm) == 0)
    return;
  context = dm_context_new (daemon, sizeof *context);
  *context = (ListContext){ daemon, service };
  /* See dm_receive_part_request for names that are not a SHA-256.  */
  body.n_sha256 = 1;
  body.sha256 = &name;
  envelope.body_case = PEER__ENVELOPE__BODY_PART_REQUEST;
  envelope.part_request = &body;
  pr_request (daemon->net, vm, &envelope, 1000, on_peer_list, context);
}

static void
watch_targets (DmDaemon *daemon, DmService *service, int64_t now_us)
{
  ListContext *context;

  if (!service->listed && !daemon->store_up)
    request_list_from_peer (daemon, service, now_us);
  if (service->list_pending || now_us < service->list_due_us)
    return;
  context = dm_context_new (daemon, sizeof *context);
  *context = (ListContext){ daemon, service };
  service->list_pending = TRUE;
  st_list_vms (daemon->store, service->name, service->list_index,
               LIST_POLL_WAIT_MS, on_target_list, context);
}

void
dm_vm_free (void *data)
{
  StVm *vm = data;

  g_free (vm->id);
  g_free (vm->zone);
  g_free (vm->address);
  g_free (vm);
}

static StVm *
copy_vm (const StVm *vm)
{
  StVm *copy = g_new (StVm, 1);

  *copy = *vm;
  copy->id = g_strdup (vm->id);
  copy->zone = g_strdup (vm->zone);
  copy->address = g_strdup (vm->address);
  return copy;
}

static void
update_listed_vms (DmDaemon *daemon)
{
  g_autoptr (GArray) rows = g_array_new (FALSE, FALSE, sizeof (MbListedVm));

  for (guint i = 0; i < daemon->entry_vms->len; i++)
    {
      const StVm *vm = g_ptr_array_index (daemon->entry_vms, i);
      int region = daemon->config == NULL
                       ? -1
                       : cf_region_of_zone (daemon->config, vm->zone);
      MbListedVm row = { .vm = vm->id,
                         .zone = vm->zone,
                         .region = "",
                         .http_address = "",
                         .leaving = vm->leaving };

      if (region >= 0)
        row.region = ((CfRegion *)g_ptr_array_index (daemon->config->regions,
                                                     (guint)region))
                         ->name;
      g_array_append_val (rows, row);
    }
  mb_set_listed_vms (daemon->members, (const MbListedVm *)rows->data,
                     rows->len, ck_boot_us ());
}

static void
set_listed_peer_address (DmDaemon *daemon, const StVm *vm)
{
  const SeAddress *override
      = se_find_override (daemon->settings->peer_connect, vm->id);

  if (strcmp (vm->id, daemon->settings->vm) == 0
      || pr_has_address (daemon->net, vm->id))
    return;
  if (override != NULL)
    pr_set_address (daemon->net, vm->id, override->ip, override->port);
  else
    pr_set_address (daemon->net, vm->id, vm->address, vm->port);
}

static void
on_entry_list (const GPtrArray *vms, uint64_t index, void *data)
{
  DmDaemon *daemon = data;

  daemon->entry_list_pending = FALSE;
  dm_update_store_state (daemon,
                         vms == NULL ? ST_OUTCOME_DOWN : ST_OUTCOME_OK);
  if (vms == NULL)
    {
      daemon->entry_due_us = ck_boot_us () + LIST_RETRY_DELAY_US;
      return;
    }
  daemon->entry_index = index;
  g_ptr_array_set_size (daemon->entry_vms, 0);
  for (guint i = 0; i < vms->len; i++)
    {
      const StVm *vm = g_ptr_array_index (vms, i);

      g_ptr_array_add (daemon->entry_vms, copy_vm (vm));
      set_listed_peer_address (daemon, vm);
    }
  update_listed_vms (daemon);
}

static void
watch_entry_vms (DmDaemon *daemon, int64_t now_us)
{
  if (daemon->entry_list_pending || now_us < daemon->entry_due_us)
    return;
  daemon->entry_list_pending = TRUE;
  st_list_vms (daemon->store, "entry", daemon->entry_index, LIST_POLL_WAIT_MS,
               on_entry_list, daemon);
}

static void
add_holder (DmDaemon *daemon, const AsMember *member)
{
  if (strcmp (member->vm, daemon->settings->vm) == 0)
    return;
  for (guint i = 0; i < member->slots->len; i++)
    {
      const AsSlot *slot = g_ptr_array_index (member->slots, i);
      DmTarget *target = g_hash_table_lookup (daemon->targets, slot->target);

      if (target != NULL)
        g_ptr_array_add (target->holders, g_strdup (member->vm));
    }
}

void
dm_fleet_update_holders (DmDaemon *daemon)
{
  GHashTableIter iter;
  void *value;

  g_hash_table_iter_init (&iter, daemon->targets);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    g_ptr_array_set_size (((DmTarget *)value)->holders, 0);
  if (daemon->assign == NULL)
    return;
  for (guint i = 0; i < daemon->assign->members->len; i++)
    add_holder (daemon, g_ptr_array_index (daemon->assign->members, i));
}

static void
add_service (DmDaemon *daemon, const char *name)
{
  DmService *service;

  if (dm_find_service (daemon, name) != NULL)
    return;
  service = g_new0 (DmService, 1);
  service->daemon = daemon;
  service->name = g_strdup (name);
  service->targets = g_ptr_array_new ();
  service->queue = fq_new (&(FqOptions){ 0 });
  service->response_bytes = 1024;
  g_hash_table_insert (daemon->services, service->name, service);
}

/* A service that was removed from the configuration keeps its entry, since
   requests may still be running; no route leads to it.  */
void
dm_fleet_apply_config (DmDaemon *daemon)
{
  GHashTableIter iter;
  void *value;

  for (guint i = 0; i < daemon->config->services->len; i++)
    {
      const CfService *row = g_ptr_array_index (daemon->config->services, i);
      add_service (daemon, row->name);
    }
  g_hash_table_iter_init (&iter, daemon->targets);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      DmTarget *target = value;
      target->region = cf_region_of_zone (daemon->config, target->zone);
    }
  g_hash_table_iter_init (&iter, daemon->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    for (guint i = 0; i < daemon->config->customers->len; i++)
      {
        const CfCustomer *row
            = g_ptr_array_index (daemon->config->customers, i);
        fq_set_weight (((DmService *)value)->queue, row->name, row->weight);
      }
  update_listed_vms (daemon);
  daemon->drains_due_us = 0;
}

void
dm_fleet_tick (DmDaemon *daemon, int64_t now_us)
{
  GHashTableIter iter;
  void *value;

  watch_entry_vms (daemon, now_us);
  g_hash_table_iter_init (&iter, daemon->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    watch_targets (daemon, value, now_us);
  check_targets (daemon, now_us);
  update_drains (daemon, now_us);
}
