#include "daemon/daemon.h"

#define CURRENT_KEY "cw/config/current"
#define PART_KEY_PREFIX "cw/config/part/"
#define PART_WRITES_MAX 8
#define SPLIT_ROWS_PER_STEP CF_STEP_ROWS
#define ACK_TIMEOUT_US (5 * CK_US_PER_S)
#define READ_BACKS_MAX 5

typedef enum
{
  PHASE_READ_BASE, /* reads the current version and its index */
  PHASE_SPLIT,
  PHASE_WRITE_PARTS,
  PHASE_WRITE_MANIFEST,
  PHASE_READ_BACK,
  PHASE_WAIT_ACKS,
} WritePhase;

/* An operator's change that is being written to the store.  */
struct DmWrite
{
  DmDaemon *daemon;
  AdCall *call;
  CfConfig *config;
  uint64_t base_version;   /* version that the operator changed */
  uint64_t expected_index; /* of the manifest, for the CAS */
  CfJob *split_job;
  CfManifest *manifest;
  GHashTable *stored_parts; /* SHA-256 of parts that need not be written */
  WritePhase phase;
  guint next_part;
  uint32_t part_write_count; /* pending */
  gboolean part_failed;
  uint32_t read_back_count;
  gboolean read_back_pending;
  int64_t read_back_due_us;
  int64_t phase_started_us;
};

static void
write_free (DmWrite *write)
{
  if (write == NULL)
    return;
  cf_job_free (write->split_job);
  g_clear_pointer (&write->stored_parts, g_hash_table_unref);
  cf_manifest_free (write->manifest);
  cf_unref (write->config);
  g_free (write);
}

void
dm_write_free (DmDaemon *daemon)
{
  write_free (daemon->write);
  daemon->write = NULL;
}

static void
finish_write (DmWrite *write, const AdWriteReply *reply)
{
  write->daemon->write = NULL;
  ad_write_done (write->call, reply);
  write_free (write);
}

static void
refuse_write (DmWrite *write, const char *error)
{
  finish_write (write,
                &(AdWriteReply){ .result = AD_WRITE_REFUSED, .error = error });
}

static void
enter_phase (DmWrite *write, WritePhase phase)
{
  write->phase = phase;
  write->phase_started_us = ck_boot_us ();
}

static void
apply_written_version (DmWrite *write)
{
  DmDaemon *daemon = write->daemon;

  dm_record (daemon, EV_CONFIG_WRITTEN,
             &(EvFields){ .config_version = write->manifest->version,
                          .detail = write->manifest->author });
  dm_config_start_apply (daemon, g_steal_pointer (&write->manifest), NULL);
  enter_phase (write, PHASE_WAIT_ACKS);
}

/* Reading back after a lost reply or a conflict, to learn which write took
   effect.  */

static void
report_conflict (DmWrite *write, const CfManifest *current)
{
  finish_write (write, &(AdWriteReply){ .result = AD_WRITE_CONFLICT,
                                        .version = current->version,
                                        .op_id = current->op_id,
                                        .author = current->author });
}

static void
on_read_back (const StResult *result, void *data)
{
  DmWrite *write = data;
  DmDaemon *daemon = write->daemon;
  g_autoptr (CfManifest) current = NULL;

  write->read_back_pending = FALSE;
  dm_update_store_state (daemon, result->outcome);
  if (result->outcome == ST_OUTCOME_OK)
    current
        = cf_manifest_from_json (result->value, result->length_bytes, NULL);
  if (current != NULL && strcmp (current->op_id, write->manifest->op_id) == 0)
    apply_written_version (write);
  else if (current != NULL && current->version > write->base_version)
    report_conflict (write, current);
  else if (++write->read_back_count >= READ_BACKS_MAX)
    finish_write (write,
                  &(AdWriteReply){
                      .result = AD_WRITE_UNKNOWN,
                      .error = "the outcome of the store write is unknown" });
  else
    write->read_back_due_us = ck_boot_us () + CK_US_PER_S;
}

static void
read_back (DmWrite *write, int64_t now_us)
{
  if (write->read_back_pending || now_us < write->read_back_due_us)
    return;
  write->read_back_pending = TRUE;
  st_get (write->daemon->store, CURRENT_KEY, on_read_back, write);
}

static void
on_manifest_written (const StResult *result, void *data)
{
  DmWrite *write = data;

  dm_update_store_state (write->daemon, result->outcome);
  switch (result->outcome)
    {
    case ST_OUTCOME_OK:
      apply_written_version (write);
      break;
    case ST_OUTCOME_DOWN:
      refuse_write (write, "the store is down");
      break;
    case ST_OUTCOME_CONFLICT:
    case ST_OUTCOME_ABSENT:
    case ST_OUTCOME_UNKNOWN:
      if (result->outcome == ST_OUTCOME_UNKNOWN)
        dm_record_detail (write->daemon, EV_STORE_OUTCOME_UNKNOWN,
                          "configuration");
      enter_phase (write, PHASE_READ_BACK);
      break;
    }
}

static void
write_manifest (DmWrite *write)
{
  g_autofree char *text = cf_manifest_to_json (write->manifest);

  enter_phase (write, PHASE_WRITE_MANIFEST);
  st_cas (write->daemon->store, CURRENT_KEY, write->expected_index, text,
          strlen (text), on_manifest_written, write);
}

/* A part is stored under the hash of its content, so a CAS conflict means that
   it is stored already.  */
static void
on_part_written (const StResult *result, void *data)
{
  DmWrite *write = data;

  dm_update_store_state (write->daemon, result->outcome);
  write->part_write_count--;
  if (result->outcome == ST_OUTCOME_DOWN
      || result->outcome == ST_OUTCOME_UNKNOWN)
    write->part_failed = TRUE;
  if (write->part_write_count > 0 || write->phase != PHASE_WRITE_PARTS)
    return;
  if (write->part_failed)
    refuse_write (write, "the store is down");
}

static void
write_parts (DmWrite *write)
{
  while (!write->part_failed && write->part_write_count < PART_WRITES_MAX
         && write->next_part < write->manifest->parts->len)
    {
      const CfPart *part
          = g_ptr_array_index (write->manifest->parts, write->next_part++);
      g_autofree char *key = g_strconcat (PART_KEY_PREFIX, part->sha256, NULL);
      gsize length;
      const char *content = g_bytes_get_data (part->content, &length);

      if (g_hash_table_contains (write->stored_parts, part->sha256))
        continue;
      write->part_write_count++;
      st_cas (write->daemon->store, key, 0, content, length, on_part_written,
              write);
    }
  if (write->part_write_count == 0 && !write->part_failed)
    write_manifest (write);
}

/* Collects the parts of the version in force, which are in the store
   already.  */
static void
collect_stored_parts (DmWrite *write)
{
  const CfManifest *manifest = write->daemon->manifest;

  write->stored_parts
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  for (guint i = 0; manifest != NULL && i < manifest->parts->len; i++)
    g_hash_table_add (
        write->stored_parts,
        g_strdup (
            ((const CfPart *)g_ptr_array_index (manifest->parts, i))->sha256));
}

static void
step_split (DmWrite *write)
{
  g_autoptr (GError) error = NULL;
  CfJobStatus status
      = cf_job_step (write->split_job, SPLIT_ROWS_PER_STEP, &error);

  if (status == CF_JOB_RUNNING)
    return;
  if (status == CF_JOB_FAILED)
    {
      refuse_write (write, error->message);
      return;
    }
  write->manifest = cf_job_take_manifest (write->split_job);
  collect_stored_parts (write);
  enter_phase (write, PHASE_WRITE_PARTS);
}

static void
check_acks (DmWrite *write, int64_t now_us)
{
  MbTable *members = write->daemon->members;
  uint64_t version = write->base_version + 1;
  uint32_t count = mb_assigned_count (members);

  if (write->daemon->config != NULL
      && write->daemon->config->version >= version
      && (count == 0
          || mb_config_acked_count (members, version, now_us) * 2 > count))
    {
      finish_write (write, &(AdWriteReply){ .result = AD_WRITE_APPLIED,
                                            .version = version });
      return;
    }
  if (now_us - write->phase_started_us < ACK_TIMEOUT_US)
    return;
  finish_write (write,
                &(AdWriteReply){
                    .result = AD_WRITE_UNKNOWN,
                    .version = version,
                    .error = "written to the store, but not yet acknowledged "
                             "by more than half of the daemons" });
}

void
dm_write_tick (DmDaemon *daemon, int64_t now_us)
{
  DmWrite *write = daemon->write;

  if (write == NULL)
    return;
  switch (write->phase)
    {
    case PHASE_SPLIT:
      step_split (write);
      break;
    case PHASE_WRITE_PARTS:
      if (write->part_write_count == 0)
        write_parts (write);
      break;
    case PHASE_READ_BACK:
      read_back (write, now_us);
      break;
    case PHASE_WAIT_ACKS:
      check_acks (write, now_us);
      break;
    case PHASE_READ_BASE:
    case PHASE_WRITE_MANIFEST:
      break;
    }
}

static void
on_base_read (const StResult *result, void *data)
{
  DmWrite *write = data;
  g_autoptr (CfManifest) current = NULL;

  dm_update_store_state (write->daemon, result->outcome);
  if (result->outcome == ST_OUTCOME_OK)
    current
        = cf_manifest_from_json (result->value, result->length_bytes, NULL);
  if (result->outcome != ST_OUTCOME_OK && result->outcome != ST_OUTCOME_ABSENT)
    refuse_write (write, "the store is down");
  else if (current == NULL && write->base_version != 0)
    refuse_write (write, "the store has no configuration of the base version");
  else if (current != NULL && current->version != write->base_version)
    report_conflict (write, current);
  else
    {
      write->expected_index = current == NULL ? 0 : result->index;
      write->split_job = cf_split_begin (write->config);
      enter_phase (write, PHASE_SPLIT);
    }
}

/* FALSE on the smaller side of a network partition: a write could be confirmed
   on that side only, and the other side would not learn of a revoked key.  */
static gboolean
may_write (DmDaemon *daemon, int64_t now_us)
{
  return mb_assigned_count (daemon->members) == 0
         || mb_has_majority (daemon->members, now_us);
}

void
dm_config_write (AdCall *call, CfConfig *config, uint64_t base_version,
                 void *data)
{
  DmDaemon *daemon = data;
  AdWriteReply refusal = { .result = AD_WRITE_REFUSED };
  DmWrite *write;

  if (daemon->write != NULL)
    refusal.error = "another change is being written by this daemon";
  else if (daemon->draining)
    refusal.error = "the daemon is stopping";
  else if (!may_write (daemon, ck_boot_us ()))
    refusal.error = "the daemon has no recent reports from more than half of "
                    "the daemons";
  if (refusal.error != NULL)
    {
      ad_write_done (call, &refusal);
      return;
    }
  write = g_new0 (DmWrite, 1);
  write->daemon = daemon;
  write->call = call;
  config->written_ms = ck_wall_ms ();
  write->config = cf_ref (config);
  write->base_version = base_version;
  daemon->write = write;
  st_get (daemon->store, CURRENT_KEY, on_base_read, write);
}

/* Looking up the outcome of an operation.  */

typedef struct
{
  DmDaemon *daemon;
  AdCall *call;
  char op_id[64];
  uint64_t base_version;
} OperationQuery;

/* Finds the operation OP_ID or, if another operation wrote the version after
   BASE_VERSION, that one.  */
static const DmOperation *
find_operation (const DmDaemon *daemon, const char *op_id,
                uint64_t base_version)
{
  for (guint i = 0; i < daemon->operations->len; i++)
    {
      const DmOperation *row
          = &g_array_index (daemon->operations, DmOperation, i);
      if (strcmp (row->op_id, op_id) == 0
          || (base_version != 0 && row->version == base_version + 1))
        return row;
    }
  return NULL;
}

static void
finish_query (OperationQuery *query, const DmOperation *row)
{
  AdOperationResult result = AD_OPERATION_UNKNOWN;

  if (row != NULL)
    result = strcmp (row->op_id, query->op_id) == 0 ? AD_OPERATION_APPLIED
                                                    : AD_OPERATION_NOT_APPLIED;
  ad_operation_done (query->call, result, row == NULL ? 0 : row->version);
  dm_context_free (query->daemon, query);
}

static void
on_operation_read (const StResult *result, void *data)
{
  OperationQuery *query = data;
  DmOperation row = { 0 };
  g_autoptr (CfManifest) current = NULL;

  dm_update_store_state (query->daemon, result->outcome);
  if (result->outcome == ST_OUTCOME_OK)
    current
        = cf_manifest_from_json (result->value, result->length_bytes, NULL);
  if (current != NULL
      && (strcmp (current->op_id, query->op_id) == 0
          || (query->base_version != 0
              && current->version == query->base_version + 1)))
    {
      row.version = current->version;
      g_strlcpy (row.op_id, current->op_id, sizeof row.op_id);
      finish_query (query, &row);
      return;
    }
  finish_query (query, NULL);
}

void
dm_config_find_operation (AdCall *call, const char *op_id,
                          uint64_t base_version, void *data)
{
  DmDaemon *daemon = data;
  OperationQuery *query = dm_context_new (daemon, sizeof *query);
  const DmOperation *row = find_operation (daemon, op_id, base_version);

  query->daemon = daemon;
  query->call = call;
  g_strlcpy (query->op_id, op_id, sizeof query->op_id);
  query->base_version = base_version;
  if (row != NULL)
    finish_query (query, row);
  else
    st_get (daemon->store, CURRENT_KEY, on_operation_read, query);
}
