#include "daemon/daemon.h"

#define CURRENT_KEY "cw/config/current"
#define PART_KEY_PREFIX "cw/config/part/"
/* Watches end this often because each one confirms the version when it ends;
   a confirmation older than MB_FRESH_MAX_AGE_US does not count.  */
#define WATCH_TIMEOUT_MS 500
#define WATCH_RETRY_DELAY_US (500 * CK_US_PER_MS)
#define MANIFEST_REQUEST_INTERVAL_US (200 * CK_US_PER_MS)
#define PART_FETCHES_MAX 8
#define PARTS_PER_REQUEST_MAX 32
#define PEER_TIMEOUT_MS 1000
/* Work of one step on the event loop, each about 1 ms.  */
#define JOIN_ROWS_PER_STEP CF_STEP_ROWS
#define PREFIX_UNITS_PER_STEP 20000
#define ACTIVE_PEERS_MAX 64

typedef enum
{
  PHASE_FETCH_PARTS,
  PHASE_JOIN_PARTS,
  PHASE_BUILD_PREFIXES,
} ApplyPhase;

/* A version that is being fetched and applied.  */
struct DmConfigTask
{
  DmDaemon *daemon;
  CfManifest *manifest;
  char *source; /* peer that has the parts, or NULL */
  ApplyPhase phase;
  uint32_t fetch_count; /* pending */
  uint32_t next_part;   /* where the next fetches from the store start */
  int64_t fetch_due_us; /* 0 until the first fetch */
  CfJob *join_job;
  CfConfig *config;
  PxBuild *prefix_build;
  int64_t started_us;
};

/* Context of a fetch of parts or of a watch of the manifest.  */
typedef struct
{
  DmDaemon *daemon;
  uint64_t version; /* of the parts */
  int64_t sent_us;  /* of the watch */
} FetchContext;

static void
task_free (DmConfigTask *task)
{
  if (task == NULL)
    return;
  cf_job_free (task->join_job);
  if (task->prefix_build != NULL)
    px_build_free (task->prefix_build);
  cf_unref (task->config);
  cf_manifest_free (task->manifest);
  g_free (task->source);
  g_free (task);
}

void
dm_config_free (DmDaemon *daemon)
{
  task_free (daemon->config_task);
  cf_manifest_free (daemon->manifest);
  cf_unref (daemon->config);
}

static uint64_t
in_force_version (const DmDaemon *daemon)
{
  return daemon->config == NULL ? 0 : daemon->config->version;
}

static void
update_own_versions (DmDaemon *daemon)
{
  mb_set_config (daemon->members, daemon->latest_config_version,
                 in_force_version (daemon), ck_boot_us ());
}

/* Applying a version.  */

static void
send_config_notice (DmDaemon *daemon, const char *vm)
{
  g_autofree char *text = cf_manifest_to_json (daemon->manifest);
  Peer__Envelope envelope = PEER__ENVELOPE__INIT;
  Peer__ConfigNotice body = PEER__CONFIG_NOTICE__INIT;

  body.version = daemon->manifest->version;
  body.manifest.data = (uint8_t *)text;
  body.manifest.len = strlen (text);
  envelope.body_case = PEER__ENVELOPE__BODY_CONFIG_NOTICE;
  envelope.config_notice = &body;
  pr_send (daemon->net, vm, &envelope);
}

static void
send_notice_to_peers (DmDaemon *daemon)
{
  const char *vms[ACTIVE_PEERS_MAX];
  uint32_t count = mb_active_peers (daemon->members, ck_boot_us (), vms,
                                    ACTIVE_PEERS_MAX);

  for (uint32_t i = 0; i < count; i++)
    send_config_notice (daemon, vms[i]);
}

static void
reset_shifts (DmDaemon *daemon)
{
  g_array_set_size (daemon->shift_shares, 0);
  g_array_set_size (daemon->shift_shares, daemon->config->shifts->len);
  pl_controller_prune (daemon->shift_controller, daemon->config);
  daemon->shifts_due_us = 0;
}

static void
record_operation (DmDaemon *daemon)
{
  DmOperation row = { .version = daemon->manifest->version };

  g_strlcpy (row.op_id, daemon->manifest->op_id, sizeof row.op_id);
  if (daemon->operations->len >= DM_OPERATIONS_MAX)
    g_array_remove_index (daemon->operations, 0);
  g_array_append_val (daemon->operations, row);
}

static void
apply_config (DmDaemon *daemon, DmConfigTask *task)
{
  CfConfig *former = daemon->config;
  int64_t now_us = ck_boot_us ();

  /* The version in force never decreases.  */
  g_assert (task->config->version > in_force_version (daemon));
  daemon->config = g_steal_pointer (&task->config);
  cf_manifest_free (daemon->manifest);
  daemon->manifest = g_steal_pointer (&task->manifest);
  ky_table_free (daemon->keys);
  daemon->keys = ky_table_new (daemon->config);
  px_table_free (daemon->prefixes);
  daemon->prefixes = px_build_finish (g_steal_pointer (&task->prefix_build));
  /* If two quotas have the same id, the version is in force all the same, and
     both use the quota that was defined first.  */
  if (!dm_quotas_define (daemon, daemon->config, former, now_us))
    dm_record_detail (daemon, EV_CONFIG_REFUSED, "two quotas share an id");
  reset_shifts (daemon);
  dm_fleet_apply_config (daemon);
  dm_lookup_clear_cache (daemon);
  cf_unref (former);
  record_operation (daemon);
  update_own_versions (daemon);
  send_notice_to_peers (daemon);
  mt_set (daemon->metrics.config_version, (int64_t)daemon->config->version);
  mt_set (daemon->metrics.config_apply_ms,
          (now_us - task->started_us) / CK_US_PER_MS);
  dm_record (daemon, EV_CONFIG_IN_FORCE,
             &(EvFields){ .config_version = daemon->config->version });
}

/* ERROR says why the version is refused; NULL if it is not.  */
static void
end_task (DmDaemon *daemon, const char *error)
{
  DmConfigTask *task = daemon->config_task;
  g_autofree char *detail = g_strdup (error);

  if (detail != NULL)
    dm_record (daemon, EV_CONFIG_REFUSED,
               &(EvFields){ .config_version = task->manifest->version,
                            .detail = detail });
  daemon->config_task = NULL;
  task_free (task);
}

static void
step_join (DmDaemon *daemon, DmConfigTask *task)
{
  g_autoptr (GError) error = NULL;
  CfJobStatus status
      = cf_job_step (task->join_job, JOIN_ROWS_PER_STEP, &error);

  if (status == CF_JOB_RUNNING)
    return;
  if (status == CF_JOB_FAILED)
    {
      end_task (daemon, error->message);
      return;
    }
  task->config = cf_job_take_config (task->join_job);
  g_clear_pointer (&task->join_job, cf_job_free);
  task->prefix_build = px_build_new (
      (const CfBlock *)task->config->blocks->data, task->config->blocks->len);
  task->phase = PHASE_BUILD_PREFIXES;
}

static void
step_prefix_build (DmDaemon *daemon, DmConfigTask *task)
{
  g_autoptr (GError) error = NULL;
  PxBuildStatus status
      = px_build_step (task->prefix_build, PREFIX_UNITS_PER_STEP, &error);

  if (status == PX_BUILD_RUNNING)
    return;
  if (status == PX_BUILD_FAILED)
    {
      end_task (daemon, error->message);
      return;
    }
  apply_config (daemon, task);
  end_task (daemon, NULL);
}

/* Fetching the parts of a version.  */

static gboolean
is_current_fetch (const FetchContext *fetch)
{
  const DmConfigTask *task = fetch->daemon->config_task;

  return task != NULL && task->manifest->version == fetch->version;
}

static gboolean
is_missing (const CfPart *part)
{
  return part->content == NULL;
}

static void
set_part_content (DmConfigTask *task, const void *data, gsize length)
{
  g_autoptr (GBytes) content = g_bytes_new (data, length);
  cf_manifest_set_content (task->manifest, content);
}

static void
on_store_part (const StResult *result, void *data)
{
  FetchContext *context = data;
  FetchContext fetch[1] = { *context };
  DmConfigTask *task = fetch->daemon->config_task;

  dm_context_free (fetch->daemon, context);
  dm_update_store_state (fetch->daemon, result->outcome);
  if (!is_current_fetch (fetch))
    return;
  task->fetch_count--;
  if (result->outcome == ST_OUTCOME_OK)
    set_part_content (task, result->value, result->length_bytes);
}

static void
on_peer_parts (const char *vm, const Peer__Envelope *envelope, int64_t sent_us,
               void *data)
{
  FetchContext *context = data;
  FetchContext fetch[1] = { *context };
  DmConfigTask *task = fetch->daemon->config_task;
  const Peer__PartReply *reply;

  (void)vm;
  (void)sent_us;
  dm_context_free (fetch->daemon, context);
  if (!is_current_fetch (fetch))
    return;
  task->fetch_count--;
  if (envelope == NULL
      || envelope->body_case != PEER__ENVELOPE__BODY_PART_REPLY)
    {
      /* The parts are then read from the store.  */
      g_clear_pointer (&task->source, g_free);
      return;
    }
  reply = envelope->part_reply;
  for (size_t i = 0; i < reply->n_parts; i++)
    set_part_content (task, reply->parts[i]->content.data,
                      reply->parts[i]->content.len);
}

static FetchContext *
fetch_new (DmConfigTask *task)
{
  FetchContext *fetch = dm_context_new (task->daemon, sizeof *fetch);

  fetch->daemon = task->daemon;
  fetch->version = task->manifest->version;
  task->fetch_count++;
  return fetch;
}

static void
request_parts (DmConfigTask *task, char **names, size_t count)
{
  Peer__Envelope envelope = PEER__ENVELOPE__INIT;
  Peer__PartRequest body = PEER__PART_REQUEST__INIT;

  body.n_sha256 = count;
  body.sha256 = names;
  envelope.body_case = PEER__ENVELOPE__BODY_PART_REQUEST;
  envelope.part_request = &body;
  pr_request (task->daemon->net, task->source, &envelope, PEER_TIMEOUT_MS,
              on_peer_parts, fetch_new (task));
}

static void
fetch_from_peer (DmConfigTask *task)
{
  char *names[PARTS_PER_REQUEST_MAX];
  size_t count = 0;

  for (guint i = 0; i < task->manifest->parts->len; i++)
    {
      CfPart *part = g_ptr_array_index (task->manifest->parts, i);

      if (is_missing (part) && count < PARTS_PER_REQUEST_MAX)
        names[count++] = part->sha256;
    }
  request_parts (task, names, count);
}

static void
fetch_from_store (DmConfigTask *task)
{
  guint count = task->manifest->parts->len;

  for (guint i = 0; i < count && task->fetch_count < PART_FETCHES_MAX; i++)
    {
      CfPart *part = g_ptr_array_index (task->manifest->parts,
                                        (task->next_part + i) % count);
      g_autofree char *key = g_strconcat (PART_KEY_PREFIX, part->sha256, NULL);

      if (!is_missing (part))
        continue;
      task->next_part = (task->next_part + i + 1) % count;
      st_get (task->daemon->store, key, on_store_part, fetch_new (task));
    }
}

static uint32_t
count_missing_parts (const CfManifest *manifest)
{
  uint32_t count = 0;

  for (guint i = 0; i < manifest->parts->len; i++)
    count += is_missing (g_ptr_array_index (manifest->parts, i)) ? 1 : 0;
  return count;
}

static void
step_fetch (DmDaemon *daemon, DmConfigTask *task, int64_t now_us)
{
  (void)daemon;
  if (count_missing_parts (task->manifest) == 0)
    {
      task->join_job = cf_join_begin (task->manifest);
      task->phase = PHASE_JOIN_PARTS;
      return;
    }
  if (task->fetch_count > 0 || now_us < task->fetch_due_us)
    return;
  /* While the store is down, the parts come from a peer with the latest
     version.  Not at the first fetch: without a source, the manifest came from
     the store.  */
  if (task->fetch_due_us != 0 && task->source == NULL && !daemon->store_up)
    task->source = g_strdup (mb_config_source (daemon->members));
  task->fetch_due_us = now_us + DM_TICK_MS * CK_US_PER_MS;
  if (task->source != NULL)
    fetch_from_peer (task);
  else
    fetch_from_store (task);
}

void
dm_config_start_apply (DmDaemon *daemon, CfManifest *manifest,
                       const char *source)
{
  DmConfigTask *task = daemon->config_task;

  if (manifest->version <= in_force_version (daemon)
      || (task != NULL && manifest->version <= task->manifest->version))
    {
      cf_manifest_free (manifest);
      return;
    }
  if (task != NULL)
    end_task (daemon, NULL);
  task = g_new0 (DmConfigTask, 1);
  task->daemon = daemon;
  task->manifest = manifest;
  task->source = g_strdup (source);
  task->started_us = ck_boot_us ();
  if (daemon->manifest != NULL)
    cf_manifest_reuse_parts (manifest, daemon->manifest);
  daemon->config_task = task;
  daemon->latest_config_version
      = MAX (daemon->latest_config_version, manifest->version);
  update_own_versions (daemon);
}

/* Watching the manifest in the store.  */

static void
receive_manifest (DmDaemon *daemon, const char *text, gsize length,
                  const char *source)
{
  g_autoptr (GError) error = NULL;
  CfManifest *manifest = cf_manifest_from_json (text, length, &error);

  if (manifest == NULL)
    dm_record_detail (daemon, EV_CONFIG_REFUSED, "manifest: %s",
                      error->message);
  else
    dm_config_start_apply (daemon, manifest, source);
}

static void
on_current_manifest (const StResult *result, void *data)
{
  FetchContext *context = data;
  FetchContext fetch[1] = { *context };
  DmDaemon *daemon = fetch->daemon;

  dm_context_free (daemon, context);
  daemon->config_watching = FALSE;
  dm_update_store_state (daemon, result->outcome);
  if (result->outcome != ST_OUTCOME_OK && result->outcome != ST_OUTCOME_ABSENT)
    {
      daemon->config_watch_due_us = ck_boot_us () + WATCH_RETRY_DELAY_US;
      return;
    }
  if (result->outcome == ST_OUTCOME_OK)
    {
      g_autoptr (CfManifest) current
          = cf_manifest_from_json (result->value, result->length_bytes, NULL);

      daemon->config_watch_index = result->index;
      if (current != NULL)
        {
          /* A stale read must not count as a confirmation of the latest
             version.  */
          mb_store_confirmed (daemon->members, current->version,
                              fetch->sent_us);
          if (current->version >= daemon->latest_config_version)
            daemon->config_confirmed_us = fetch->sent_us;
        }
      receive_manifest (daemon, result->value, result->length_bytes, NULL);
    }
  else
    daemon->config_watch_due_us = ck_boot_us () + WATCH_RETRY_DELAY_US;
}

static void
watch_manifest (DmDaemon *daemon, int64_t now_us)
{
  FetchContext *fetch;

  if (daemon->config_watching || now_us < daemon->config_watch_due_us)
    return;
  /* The hubs of a zone always watch the store.  Other members receive changes
     from them, and watch it only while their version is not confirmed as
     fresh.  */
  if (daemon->config != NULL && !mb_watches_store (daemon->members, now_us)
      && mb_is_config_fresh (daemon->members, now_us))
    return;
  fetch = dm_context_new (daemon, sizeof *fetch);
  fetch->daemon = daemon;
  fetch->sent_us = now_us;
  daemon->config_watching = TRUE;
  st_watch (daemon->store, CURRENT_KEY, daemon->config_watch_index,
            WATCH_TIMEOUT_MS, on_current_manifest, fetch);
}

/* Manifests and parts that peers send or request.  */

void
dm_receive_config_notice (DmDaemon *daemon, const char *from_vm,
                          const Peer__ConfigNotice *notice)
{
  if (notice->version <= in_force_version (daemon))
    return;
  receive_manifest (daemon, (const char *)notice->manifest.data,
                    notice->manifest.len, from_vm);
}

static void
on_peer_manifest (const char *vm, const Peer__Envelope *envelope,
                  int64_t sent_us, void *data)
{
  DmDaemon *daemon = data;

  (void)sent_us;
  daemon->manifest_requested = FALSE;
  if (envelope != NULL
      && envelope->body_case == PEER__ENVELOPE__BODY_CONFIG_NOTICE)
    dm_receive_config_notice (daemon, vm, envelope->config_notice);
}

/* Requests the manifest from a peer that reported a higher version.  */
static void
request_newer_manifest (DmDaemon *daemon, int64_t now_us)
{
  Peer__Envelope envelope = PEER__ENVELOPE__INIT;
  Peer__PartRequest body = PEER__PART_REQUEST__INIT;
  const char *source;

  if (daemon->manifest_requested || daemon->config_task != NULL
      || now_us < daemon->manifest_due_us
      || mb_latest_config_version (daemon->members)
             <= in_force_version (daemon))
    return;
  source = mb_config_source (daemon->members);
  if (source == NULL)
    return;
  daemon->manifest_due_us = now_us + MANIFEST_REQUEST_INTERVAL_US;
  daemon->manifest_requested = TRUE;
  envelope.body_case = PEER__ENVELOPE__BODY_PART_REQUEST;
  envelope.part_request = &body;
  pr_request (daemon->net, source, &envelope, PEER_TIMEOUT_MS,
              on_peer_manifest, daemon);
}

static const CfPart *
find_part (const CfManifest *manifest, const char *sha256)
{
  for (guint i = 0; manifest != NULL && i < manifest->parts->len; i++)
    {
      const CfPart *part = g_ptr_array_index (manifest->parts, i);
      if (part->content != NULL && strcmp (part->sha256, sha256) == 0)
        return part;
    }
  return NULL;
}

static void
send_manifest_reply (DmDaemon *daemon, PrConnection *connection, uint64_t id)
{
  g_autofree char *text = NULL;
  Peer__Envelope reply = PEER__ENVELOPE__INIT;
  Peer__ConfigNotice body = PEER__CONFIG_NOTICE__INIT;

  if (daemon->manifest != NULL)
    {
      text = cf_manifest_to_json (daemon->manifest);
      body.version = daemon->manifest->version;
      body.manifest.data = (uint8_t *)text;
      body.manifest.len = strlen (text);
    }
  reply.body_case = PEER__ENVELOPE__BODY_CONFIG_NOTICE;
  reply.config_notice = &body;
  pr_reply (connection, id, &reply);
}

static void
init_part (Peer__Part *part, char *name, const void *data, gsize length)
{
  peer__part__init (part);
  part->sha256 = name;
  part->content.data = (uint8_t *)data;
  part->content.len = length;
}

/* Replies with the parts that the request names by SHA-256.  A request without
   names is for the manifest; the name "assign" is for the assignment, and
   "list/SERVICE" for the platform's list of a service.  */
void
dm_receive_part_request (DmDaemon *daemon, PrConnection *connection,
                         const Peer__Envelope *envelope)
{
  const Peer__PartRequest *request = envelope->part_request;
  Peer__Envelope reply = PEER__ENVELOPE__INIT;
  Peer__PartReply body = PEER__PART_REPLY__INIT;
  Peer__Part parts[PARTS_PER_REQUEST_MAX];
  Peer__Part *pointers[PARTS_PER_REQUEST_MAX];
  g_autofree char *assign = NULL;
  g_autofree char *list = NULL;

  if (request->n_sha256 == 0)
    {
      send_manifest_reply (daemon, connection, envelope->id);
      return;
    }
  for (size_t i = 0; i < MIN (request->n_sha256, PARTS_PER_REQUEST_MAX); i++)
    {
      char *name = request->sha256[i];
      const CfPart *part = find_part (daemon->manifest, name);

      if (part != NULL)
        init_part (&parts[body.n_parts], name,
                   g_bytes_get_data (part->content, NULL),
                   g_bytes_get_size (part->content));
      else if (strcmp (name, "assign") == 0 && daemon->assign != NULL
               && assign == NULL)
        {
          assign = as_format (daemon->assign);
          init_part (&parts[body.n_parts], name, assign, strlen (assign));
        }
      else if (g_str_has_prefix (name, "list/") && list == NULL)
        {
          list = dm_fleet_format_list (daemon, name + strlen ("list/"));
          if (list == NULL)
            continue;
          init_part (&parts[body.n_parts], name, list, strlen (list));
        }
      else
        continue;
      pointers[body.n_parts] = &parts[body.n_parts];
      body.n_parts++;
    }
  body.parts = pointers;
  reply.body_case = PEER__ENVELOPE__BODY_PART_REPLY;
  reply.part_reply = &body;
  pr_reply (connection, envelope->id, &reply);
}

/* Traffic shifts.  */

static void
record_shift_phase (DmDaemon *daemon, const CfShift *shift,
                    const PlShare *share)
{
  static const EvNumber events[] = {
    [PL_PHASE_OFF] = EV_PLAN_SHIFT_ENDED,
    [PL_PHASE_RISING] = EV_PLAN_SHIFT_STEP,
    [PL_PHASE_FULL] = EV_PLAN_SHIFT_STEP,
    [PL_PHASE_SLOWED] = EV_PLAN_SHIFT_STEP,
    [PL_PHASE_HELD] = EV_PLAN_SHIFT_PAUSED,
    [PL_PHASE_FALLING] = EV_PLAN_SHIFT_PAUSED,
  };

  if (share->phase_changed)
    dm_record_detail (daemon, events[share->phase], "%s %s at %u permille",
                      shift->name, pl_phase_name (share->phase),
                      share->permille);
}

static void
step_shift (DmDaemon *daemon, guint index, int64_t now_us)
{
  const CfShift *shift = g_ptr_array_index (daemon->config->shifts, index);
  DmService *service = dm_find_service (daemon, shift->service);
  PlDestination destination = { 0, 0 };
  SrHeadroom headroom = { 0 };
  PlShare share;
  DmView view;

  if (service == NULL)
    return;
  dm_view_fill (daemon, service, &view, now_us);
  for (uint32_t i = 0; i < view.view.region_count; i++)
    if (strcmp (view.view.regions[i].name, shift->to) == 0)
      headroom = sr_region_headroom (&view.view, i);
  dm_view_clear (&view);
  destination.headroom_permille = headroom.headroom_permille;
  destination.warm_permille = headroom.warm_permille;
  share = pl_controller_step (daemon->shift_controller, shift, &destination,
                              ck_wall_ms ());
  g_array_index (daemon->shift_shares, PlShare, index) = share;
  record_shift_phase (daemon, shift, &share);
}

static void
step_shifts (DmDaemon *daemon, int64_t now_us)
{
  if (daemon->config == NULL || now_us < daemon->shifts_due_us)
    return;
  daemon->shifts_due_us = now_us + CK_US_PER_S;
  for (guint i = 0; i < daemon->config->shifts->len; i++)
    step_shift (daemon, i, now_us);
}

static void
record_freshness (DmDaemon *daemon, int64_t now_us)
{
  gboolean fresh = daemon->config != NULL && dm_is_fresh (daemon, now_us);

  if (daemon->config == NULL || fresh == daemon->config_was_fresh)
    return;
  daemon->config_was_fresh = fresh;
  dm_record (daemon, fresh ? EV_CONFIG_FRESH : EV_CONFIG_STALE,
             &(EvFields){ .config_version = daemon->config->version });
}

void
dm_config_tick (DmDaemon *daemon, int64_t now_us)
{
  DmConfigTask *task = daemon->config_task;

  watch_manifest (daemon, now_us);
  request_newer_manifest (daemon, now_us);
  if (task != NULL && task->phase == PHASE_FETCH_PARTS)
    step_fetch (daemon, task, now_us);
  else if (task != NULL && task->phase == PHASE_JOIN_PARTS)
    step_join (daemon, task);
  else if (task != NULL)
    step_prefix_build (daemon, task);
  step_shifts (daemon, now_us);
  record_freshness (daemon, now_us);
}
