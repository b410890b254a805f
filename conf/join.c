#include "conf/internal.h"

#include <string.h>

#define JSON_DEPTH_MAX 8

typedef struct
{
  CfJob job;
  const CfManifest *source;
  guint next_part;
  CfBlockReader block_reader;
} Joiner;

static gboolean
fail (GError **error, const CfPart *part, const char *problem)
{
  g_set_error (error, CF_ERROR, CF_ERROR_PART, "part %s: %s", part->name,
               problem);
  return FALSE;
}

static gboolean
join_blocks (Joiner *joiner, const CfPart *part, uint32_t *rows_done,
             GError **error)
{
  gsize length;
  const char *line = g_bytes_get_data (part->content, &length);
  const char *end = line + length;

  while (line < end)
    {
      const char *line_end = memchr (line, '\n', (size_t)(end - line));
      const char *space = line_end == NULL
                              ? NULL
                              : memchr (line, ' ', (size_t)(line_end - line));

      if (space == NULL)
        return fail (error, part, "a line is not of the form CIDR REGION");
      if (!cf_block_reader_add (&joiner->block_reader, joiner->job.config,
                                line, (size_t)(space - line), space + 1,
                                (size_t)(line_end - space - 1), error))
        {
          g_prefix_error (error, "part %s: ", part->name);
          return FALSE;
        }
      line = line_end + 1;
      (*rows_done)++;
    }
  return TRUE;
}

static gboolean
join_rows (Joiner *joiner, const CfPart *part, const CfSchema *schema,
           struct json_object *array, GError **error)
{
  GPtrArray *rows = cf_section_rows (joiner->job.config, schema);

  if (!json_object_is_type (array, json_type_array))
    return fail (error, part, "is not an array");
  for (size_t i = 0; i < json_object_array_length (array); i++)
    {
      g_autofree char *path = g_strdup_printf ("%s[%zu]", part->name, i);

      g_ptr_array_add (rows, cf_row_new (schema));
      if (!cf_row_read (schema, json_object_array_get_idx (array, i),
                        g_ptr_array_index (rows, rows->len - 1), path, error))
        return FALSE;
    }
  return TRUE;
}

static gboolean
join_section (Joiner *joiner, const CfPart *part, const CfSchema *schema,
              GError **error)
{
  struct json_tokener *tokener = json_tokener_new_ex (JSON_DEPTH_MAX);
  gsize length;
  const char *text = g_bytes_get_data (part->content, &length);
  struct json_object *array;
  gboolean ok;

  json_tokener_set_flags (tokener,
                          JSON_TOKENER_STRICT | JSON_TOKENER_VALIDATE_UTF8);
  array = json_tokener_parse_ex (tokener, text, (int)length);
  if (json_tokener_get_error (tokener) != json_tokener_success)
    ok = fail (error, part, "is not JSON");
  else
    ok = join_rows (joiner, part, schema, array, error);
  json_object_put (array);
  json_tokener_free (tokener);
  return ok;
}

static gboolean
join_part (Joiner *joiner, const CfPart *part, uint32_t *rows_done,
           GError **error)
{
  size_t section_length = strcspn (part->name, "/");
  const CfSchema *schema = cf_find_section (part->name, section_length);

  *rows_done += 1;
  if (part->content == NULL)
    return fail (error, part, "has not been fetched");
  if (g_bytes_get_size (part->content) != part->size_bytes
      || part->size_bytes > CF_PART_MAX_BYTES)
    return fail (error, part, "its size is not the one in the manifest");
  if (schema == NULL && strncmp (part->name, "blocks/", 7) != 0)
    return fail (error, part, "its name has no known section");
  if (schema == NULL)
    return join_blocks (joiner, part, rows_done, error);
  /* A row has about 130 bytes and counts as CF_SECTION_ROW_COST, so 16 bytes
     count as one.  */
  *rows_done += part->size_bytes / 16;
  return join_section (joiner, part, schema, error);
}

static CfJobStatus
join_step (CfJob *job, uint32_t rows_max, GError **error)
{
  Joiner *joiner = (Joiner *)job;
  GPtrArray *parts = joiner->source->parts;

  uint32_t rows_done = 0;

  while (rows_done < rows_max && joiner->next_part < parts->len)
    if (!join_part (joiner, g_ptr_array_index (parts, joiner->next_part++),
                    &rows_done, error))
      return CF_JOB_FAILED;
  /* The checks need the whole configuration and run in a step of their own. */
  if (joiner->next_part < parts->len || rows_done > 0)
    return CF_JOB_RUNNING;
  if (joiner->block_reader.unordered)
    {
      g_set_error_literal (error, CF_ERROR, CF_ERROR_PART,
                           "parts: blocks are not ordered by address");
      return CF_JOB_FAILED;
    }
  if (!cf_block_reader_resolve (&joiner->block_reader, job->config, error)
      || !cf_check (job->config, error))
    return CF_JOB_FAILED;
  return CF_JOB_DONE;
}

static void
join_free (CfJob *job)
{
  cf_block_reader_clear (&((Joiner *)job)->block_reader);
}

CfJob *
cf_join_begin (const CfManifest *manifest)
{
  static const CfJobClass class = { join_step, join_free };
  Joiner *joiner = g_new0 (Joiner, 1);
  CfConfig *config = cf_new ();

  g_free (config->op_id);
  g_free (config->author);
  g_free (config->sheet_date);
  config->version = manifest->version;
  config->op_id = g_strdup (manifest->op_id);
  config->author = g_strdup (manifest->author);
  config->written_ms = manifest->written_ms;
  config->sheet_date = g_strdup (manifest->sheet_date);
  joiner->job.class = &class;
  joiner->job.config = config;
  joiner->source = manifest;
  cf_block_reader_init (&joiner->block_reader);
  return &joiner->job;
}

CfConfig *
cf_join (const CfManifest *manifest, GError **error)
{
  g_autoptr (CfJob) job = cf_join_begin (manifest);

  return cf_job_run (job, error) ? cf_job_take_config (job) : NULL;
}
