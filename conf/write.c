#include "conf/internal.h"

typedef struct
{
  CfJob job;
  uint32_t section; /* to write; cf_section_count: blocks */
  guint row;        /* next row of the section */
} Writer;

static void
write_document_fields (const CfConfig *config, GString *out)
{
  for (uint32_t i = 0; i < cf_document_schema.field_count; i++)
    {
      const CfField *field = &cf_document_schema.fields[i];

      g_string_append_printf (out, "%s\"%s\":", i == 0 ? "{\n" : ",\n",
                              field->name);
      cf_field_write (field, config, out);
    }
}

static void
write_block (const CfConfig *config, const CfBlock *block, GString *out)
{
  const CfRegion *region = g_ptr_array_index (config->regions, block->region);

  g_string_append (out, "{\"cidr\":\"");
  cf_block_write (block, out);
  g_string_append (out, "\",\"region\":\"");
  g_string_append (out, region->name);
  g_string_append (out, "\"}");
}

/* Writes a row, or the end of its section.  */
static void
write_row (Writer *writer, GString *out)
{
  const CfConfig *config = writer->job.config;
  const CfSchema *schema = NULL;
  guint count = config->blocks->len;

  if (writer->section < cf_section_count)
    {
      schema = cf_sections[writer->section];
      count = cf_section_rows (config, schema)->len;
    }
  if (writer->row == 0)
    g_string_append_printf (out, ",\n\"%s\":[",
                            schema != NULL ? schema->section : "blocks");
  if (writer->row == count)
    {
      g_string_append_c (out, ']');
      writer->section++;
      writer->row = 0;
      return;
    }
  g_string_append (out, writer->row == 0 ? "\n" : ",\n");
  if (schema != NULL)
    cf_row_write (
        schema,
        g_ptr_array_index (cf_section_rows (config, schema), writer->row),
        out);
  else
    write_block (config, &g_array_index (config->blocks, CfBlock, writer->row),
                 out);
  writer->row++;
}

static CfJobStatus
write_step (CfJob *job, uint32_t rows_max, GError **error)
{
  Writer *writer = (Writer *)job;

  (void)error;
  if (job->text == NULL)
    {
      job->text = g_string_new (NULL);
      write_document_fields (job->config, job->text);
    }
  for (uint32_t i = 0; i < rows_max; i++)
    {
      if (writer->section > cf_section_count)
        {
          g_string_append (job->text, "\n}\n");
          return CF_JOB_DONE;
        }
      write_row (writer, job->text);
    }
  return CF_JOB_RUNNING;
}

CfJob *
cf_write_begin (CfConfig *config)
{
  static const CfJobClass class = { write_step, NULL };
  Writer *writer = g_new0 (Writer, 1);

  writer->job.class = &class;
  writer->job.config = cf_ref (config);
  return &writer->job;
}

char *
cf_to_json (const CfConfig *config)
{
  g_autoptr (CfJob) job = cf_write_begin ((CfConfig *)config);

  cf_job_run (job, NULL);
  return cf_job_take_text (job, NULL);
}

char *
cf_change_to_json (const CfConfig *config)
{
  g_autofree char *document = cf_to_json (config);
  GString *out = g_string_new ("{\"op_id\":");

  cf_string_write (config->op_id, out);
  g_string_append (out, ",\"author\":");
  cf_string_write (config->author, out);
  g_string_append_printf (
      out, ",\"base_version\":%" G_GUINT64_FORMAT ",\"document\":",
      config->version - 1);
  g_string_append (out, document);
  g_string_append (out, "}\n");
  return g_string_free (out, FALSE);
}
