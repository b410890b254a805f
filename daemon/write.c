#include "daemon/daemon.h"

#define CURRENT_KEY "cw/config/current"
#define PART_PREFIX "cw/config/part/"
#define WRITES_MAX 8
#define CUT_ROWS CF_STEP_ROWS
#define ACK_WAIT_US (5 * CK_US_PER_S)
#define READ_BACK_MAX 5

typedef enum
{
  READING, /* of the current version and its index */
  CUTTING,
  PARTS,
  MANIFEST,
  READING_BACK,
  ACKNOWLEDGING,
} Phase;

/* An operator's change on its way to the store.  */
struct DmWrite
{
  DmDaemon *daemon;
  AdCall *call;
  CfConfig *config;
  uint64_t base_version;
  uint64_t expected_index;
  CfJob *cut;
  CfManifest *manifest;
  GHashTable *known; /* SHA-256 of parts that need not be written */
  Phase phase;
  guint next_part;
  uint32_t under_way;
  gboolean part_failed;
  uint32_t read_count;
  gboolean reading;
  int64_t read_due_us;
  int64_t phase_us;
};

static void
write_free (DmWrite *write)
{
  if (write == NULL)
    return;
  cf_job_free (write->cut);
  g_clear_pointer (&write->known, g_hash_table_unref);
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
finish (DmWrite *write, const AdWriteAnswer *answer)
{
  write->daemon->write = NULL;
  ad_write_done (write->call, answer);
  write_free (write);
}

static void
refuse (DmWrite *write, const char *error)
{
  finish (write,
          &(AdWriteAnswer){ .result = AD_WRITE_REFUSED, .error = error });
}

static void
enter (DmWrite *write, Phase phase)
{
  write->phase = phase;
  write->phase_us = ck_boot_us ();
}

static void
applied (DmWrite *write)
{
  DmDaemon *daemon = write->daemon;

  dm_record (daemon, EV_CONFIG_WRITTEN,
             &(EvFields){ .config_version = write->manifest->version,
                          .detail = write->manifest->author });
  dm_config_offer (daemon, g_steal_pointer (&write->manifest), NULL);
  enter (write, ACKNOWLEDGING);
}

/* Reading back after a lost answer, or to tell who was first.  */

static void
lost_to (DmWrite *write, const CfManifest *current)
{
  finish (write, &(AdWriteAnswer){ .result = AD_WRITE_LOST,
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

  write->reading = FALSE;
  dm_store_answered (daemon, result->outcome);
  if (result->outcome == ST_OUTCOME_OK)
    current
        = cf_manifest_from_json (result->value, result->length_bytes, NULL);
  if (current != NULL && strcmp (current->op_id, write->manifest->op_id) == 0)
    applied (write);
  else if (current != NULL && current->version > write->base_version)
    lost_to (write, current);
  else if (++write->read_count >= READ_BACK_MAX)
    finish (write,
            &(AdWriteAnswer){ .result = AD_WRITE_UNKNOWN,
                              .error = "the store did not tell the outcome" });
  else
    write->read_due_us = ck_boot_us () + CK_US_PER_S;
}

static void
read_back (DmWrite *write, int64_t now_us)
{
  if (write->reading || now_us < write->read_due_us)
    return;
  write->reading = TRUE;
  st_get (write->daemon->store, CURRENT_KEY, on_read_back, write);
}

static void
on_manifest_written (const StResult *result, void *data)
{
  DmWrite *write = data;

  dm_store_answered (write->daemon, result->outcome);
  switch (result->outcome)
    {
    case ST_OUTCOME_OK:
      applied (write);
      break;
    case ST_OUTCOME_DOWN:
      refuse (write, "the store is down");
      break;
    case ST_OUTCOME_LOST:
    case ST_OUTCOME_ABSENT:
    case ST_OUTCOME_UNKNOWN:
      if (result->outcome == ST_OUTCOME_UNKNOWN)
        dm_note (write->daemon, EV_STORE_OUTCOME_UNKNOWN, "configuration");
      enter (write, READING_BACK);
      break;
    }
}

static void
write_manifest (DmWrite *write)
{
  g_autofree char *text = cf_manifest_to_json (write->manifest);

  enter (write, MANIFEST);
  st_cas (write->daemon->store, CURRENT_KEY, write->expected_index, text,
          strlen (text), on_manifest_written, write);
}

/* Parts are named by their content, so one that is there already is right. */
static void
on_part_written (const StResult *result, void *data)
{
  DmWrite *write = data;

  dm_store_answered (write->daemon, result->outcome);
  write->under_way--;
  if (result->outcome == ST_OUTCOME_DOWN
      || result->outcome == ST_OUTCOME_UNKNOWN)
    write->part_failed = TRUE;
  if (write->under_way > 0 || write->phase != PARTS)
    return;
  if (write->part_failed)
    refuse (write, "the store is down");
}

static void
write_parts (DmWrite *write)
{
  while (!write->part_failed && write->under_way < WRITES_MAX
         && write->next_part < write->manifest->parts->len)
    {
      const CfPart *part
          = g_ptr_array_index (write->manifest->parts, write->next_part++);
      g_autofree char *key = g_strconcat (PART_PREFIX, part->sha256, NULL);
      gsize length;
      const char *content = g_bytes_get_data (part->content, &length);

      if (g_hash_table_contains (write->known, part->sha256))
        continue;
      write->under_way++;
      st_cas (write->daemon->store, key, 0, content, length, on_part_written,
              write);
    }
  if (write->under_way == 0 && !write->part_failed)
    write_manifest (write);
}

/* Parts that the version in force has are in the store already.  */
static void
collect_known (DmWrite *write)
{
  const CfManifest *known = write->daemon->manifest;

  write->known = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  for (guint i = 0; known != NULL && i < known->parts->len; i++)
    g_hash_table_add (
        write->known,
        g_strdup (
            ((const CfPart *)g_ptr_array_index (known->parts, i))->sha256));
}

static void
step_cut (DmWrite *write)
{
  g_autoptr (GError) error = NULL;
  CfJobStatus step = cf_job_step (write->cut, CUT_ROWS, &error);

  if (step == CF_JOB_RUNNING)
    return;
  if (step == CF_JOB_FAILED)
    {
      refuse (write, error->message);
      return;
    }
  write->manifest = cf_job_take_manifest (write->cut);
  collect_known (write);
  enter (write, PARTS);
}

static void
step_acknowledgements (DmWrite *write, int64_t now_us)
{
  MbTable *members = write->daemon->members;
  uint64_t version = write->base_version + 1;
  uint32_t count = mb_assigned_count (members);

  if (write->daemon->config != NULL
      && write->daemon->config->version >= version
      && (count == 0
          || mb_config_acked_count (members, version, now_us) * 2 > count))
    {
      finish (write, &(AdWriteAnswer){ .result = AD_WRITE_APPLIED,
                                       .version = version });
      return;
    }
  if (now_us - write->phase_us < ACK_WAIT_US)
    return;
  finish (write, &(AdWriteAnswer){
                     .result = AD_WRITE_UNKNOWN,
                     .version = version,
                     .error = "written to the store, but more than half of "
                              "the daemons have not acknowledged it yet" });
}

void
dm_write_tick (DmDaemon *daemon, int64_t now_us)
{
  DmWrite *write = daemon->write;

  if (write == NULL)
    return;
  switch (write->phase)
    {
    case CUTTING:
      step_cut (write);
      break;
    case PARTS:
      if (write->under_way == 0)
        write_parts (write);
      break;
    case READING_BACK:
      read_back (write, now_us);
      break;
    case ACKNOWLEDGING:
      step_acknowledgements (write, now_us);
      break;
    case READING:
    case MANIFEST:
      break;
    }
}

static void
on_base_read (const StResult *result, void *data)
{
  DmWrite *write = data;
  g_autoptr (CfManifest) current = NULL;

  dm_store_answered (write->daemon, result->outcome);
  if (result->outcome == ST_OUTCOME_OK)
    current
        = cf_manifest_from_json (result->value, result->length_bytes, NULL);
  if (result->outcome != ST_OUTCOME_OK && result->outcome != ST_OUTCOME_ABSENT)
    refuse (write, "the store is down");
  else if (current == NULL && write->base_version != 0)
    refuse (write, "the store has no configuration of that version");
  else if (current != NULL && current->version != write->base_version)
    lost_to (write, current);
  else
    {
      write->expected_index = current == NULL ? 0 : result->index;
      write->cut = cf_split_begin (write->config);
      enter (write, CUTTING);
    }
}

/* A write that its author could confirm on one side of a partition only would
   leave the other side without word of a withdrawn key.  */
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
  AdWriteAnswer refusal = { .result = AD_WRITE_REFUSED };
  DmWrite *write;

  if (daemon->write != NULL)
    refusal.error = "another change is being written by this daemon";
  else if (daemon->draining)
    refusal.error = "the daemon is stopping";
  else if (!may_write (daemon, ck_boot_us ()))
    refusal.error = "the daemon hears less than half of the others";
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

/* What became of an operation.  */

typedef struct
{
  DmDaemon *daemon;
  AdCall *call;
  char op_id[64];
  uint64_t base_version;
} Query;

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
answer_query (Query *query, const DmOperation *row)
{
  AdOperationResult result = AD_OPERATION_UNKNOWN;

  if (row != NULL)
    result = strcmp (row->op_id, query->op_id) == 0 ? AD_OPERATION_APPLIED
                                                    : AD_OPERATION_NOT_APPLIED;
  ad_operation_done (query->call, result, row == NULL ? 0 : row->version);
  dm_context_free (query->daemon, query);
}

static void
on_query_read (const StResult *result, void *data)
{
  Query *query = data;
  DmOperation row = { 0 };
  g_autoptr (CfManifest) current = NULL;

  dm_store_answered (query->daemon, result->outcome);
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
      answer_query (query, &row);
      return;
    }
  answer_query (query, NULL);
}

void
dm_config_operation (AdCall *call, const char *op_id, uint64_t base_version,
                     void *data)
{
  DmDaemon *daemon = data;
  Query *query = dm_context_new (daemon, sizeof *query);
  const DmOperation *row = find_operation (daemon, op_id, base_version);

  query->daemon = daemon;
  query->call = call;
  g_strlcpy (query->op_id, op_id, sizeof query->op_id);
  query->base_version = base_version;
  if (row != NULL)
    answer_query (query, row);
  else
    st_get (daemon->store, CURRENT_KEY, on_query_read, query);
}
