#include "conf/internal.h"

#include <string.h>

G_DEFINE_QUARK (cf_error, cf_error)

CfConfig *
cf_new (void)
{
  CfConfig *config = g_new0 (CfConfig, 1);

  config->ref_count = 1;
  config->op_id = g_strdup ("");
  config->author = g_strdup ("");
  config->sheet_date = g_strdup ("");
  for (uint32_t i = 0; i < cf_section_count; i++)
    G_STRUCT_MEMBER (GPtrArray *, config, cf_sections[i]->offset)
        = g_ptr_array_new ();
  config->blocks = g_array_new (FALSE, FALSE, sizeof (CfBlock));
  return config;
}

CfConfig *
cf_ref (CfConfig *config)
{
  config->ref_count++;
  return config;
}

void
cf_unref (CfConfig *config)
{
  if (config == NULL || --config->ref_count > 0)
    return;
  for (uint32_t i = 0; i < cf_section_count; i++)
    {
      GPtrArray *rows = cf_section_rows (config, cf_sections[i]);

      for (guint j = 0; j < rows->len; j++)
        cf_row_free (cf_sections[i], g_ptr_array_index (rows, j));
      g_ptr_array_unref (rows);
    }
  g_array_unref (config->blocks);
  g_free (config->op_id);
  g_free (config->author);
  g_free (config->sheet_date);
  g_free (config);
}

gboolean
cf_is_name (const char *text)
{
  size_t length = strlen (text);

  return length >= 1 && length <= CF_NAME_MAX_BYTES
         && strspn (text, "abcdefghijklmnopqrstuvwxyz0123456789-") == length;
}

void
cf_format_sha256 (const uint8_t *sha256, char *hex)
{
  static const char digits[] = "0123456789abcdef";

  for (int i = 0; i < CF_SHA256_BYTES; i++)
    {
      hex[2 * i] = digits[sha256[i] >> 4];
      hex[2 * i + 1] = digits[sha256[i] & 15];
    }
  hex[2 * CF_SHA256_BYTES] = '\0';
}

gboolean
cf_parse_sha256 (const char *hex, uint8_t *sha256)
{
  if (strlen (hex) != 2 * CF_SHA256_BYTES
      || strspn (hex, "0123456789abcdef") != 2 * CF_SHA256_BYTES)
    return FALSE;
  for (int i = 0; i < CF_SHA256_BYTES; i++)
    sha256[i] = (uint8_t)(g_ascii_xdigit_value (hex[2 * i]) * 16
                          + g_ascii_xdigit_value (hex[2 * i + 1]));
  return TRUE;
}

/* Sets the first field, and the second unless SECOND_TEXT is NULL; both are
   texts.  */
static void *
add_row (GPtrArray *rows, const CfSchema *schema, const char *first_text,
         const char *second_text)
{
  void *row = cf_row_new (schema);
  const char *texts[] = { first_text, second_text };

  for (int i = 0; i < 2 && texts[i] != NULL; i++)
    {
      char **data = G_STRUCT_MEMBER_P (row, schema->fields[i].offset);

      g_free (*data);
      *data = g_strdup (texts[i]);
    }
  g_ptr_array_add (rows, row);
  return row;
}

static void *
add_section_row (CfConfig *config, const char *section, const char *first_text,
                 const char *second_text)
{
  const CfSchema *schema = cf_find_section (section, strlen (section));

  return add_row (cf_section_rows (config, schema), schema, first_text,
                  second_text);
}

CfCustomer *
cf_add_customer (CfConfig *config, const char *name)
{
  return add_section_row (config, "customers", name, NULL);
}

CfKey *
cf_add_key (CfCustomer *customer, const char *id)
{
  const CfSchema *schema = cf_find_section ("customers", 9);

  /* The keys are the last field of a customer.  */
  return add_row (customer->keys,
                  schema->fields[schema->field_count - 1].row_schema, id,
                  NULL);
}

CfService *
cf_add_service (CfConfig *config, const char *name)
{
  return add_section_row (config, "services", name, NULL);
}

CfRoute *
cf_add_route (CfConfig *config, const char *prefix, const char *service)
{
  return add_section_row (config, "routes", prefix, service);
}

CfRegion *
cf_add_region (CfConfig *config, const char *name)
{
  return add_section_row (config, "regions", name, NULL);
}

CfLink *
cf_add_link (CfConfig *config, const char *from, const char *to)
{
  return add_section_row (config, "links", from, to);
}

CfDrain *
cf_add_drain (CfConfig *config, const char *name, CfDrainKind kind,
              const char *object)
{
  CfDrain *drain = add_section_row (config, "drains", name, NULL);

  drain->kind = kind;
  g_free (drain->object);
  drain->object = g_strdup (object);
  return drain;
}

CfShift *
cf_add_shift (CfConfig *config, const char *name, const char *service,
              const char *from, const char *to)
{
  CfShift *shift = add_section_row (config, "shifts", name, service);

  g_free (shift->from);
  g_free (shift->to);
  shift->from = g_strdup (from);
  shift->to = g_strdup (to);
  return shift;
}

static gboolean
remove_section_row (CfConfig *config, const char *section, const char *name)
{
  const CfSchema *schema = cf_find_section (section, strlen (section));
  GPtrArray *rows = cf_section_rows (config, schema);

  for (guint i = 0; i < rows->len; i++)
    {
      g_autofree char *identity
          = cf_row_identity (schema, g_ptr_array_index (rows, i));

      if (strcmp (identity, name) != 0)
        continue;
      cf_row_free (schema, g_ptr_array_steal_index (rows, i));
      return TRUE;
    }
  return FALSE;
}

gboolean
cf_remove_drain (CfConfig *config, const char *name)
{
  return remove_section_row (config, "drains", name);
}

gboolean
cf_remove_shift (CfConfig *config, const char *name)
{
  return remove_section_row (config, "shifts", name);
}

const CfCustomer *
cf_find_customer (const CfConfig *config, const char *name)
{
  for (guint i = 0; i < config->customers->len; i++)
    {
      const CfCustomer *customer = g_ptr_array_index (config->customers, i);

      if (strcmp (customer->name, name) == 0)
        return customer;
    }
  return NULL;
}

const CfService *
cf_find_service (const CfConfig *config, const char *name)
{
  for (guint i = 0; i < config->services->len; i++)
    {
      const CfService *service = g_ptr_array_index (config->services, i);

      if (strcmp (service->name, name) == 0)
        return service;
    }
  return NULL;
}

/* The prefixes "/a/" and "/a" both match "/a" and "/a/b", but not "/ab".  */
static gboolean
prefix_matches (const char *prefix, const char *path)
{
  size_t length = strlen (prefix);

  while (length > 0 && prefix[length - 1] == '/')
    length--;
  return strncmp (prefix, path, length) == 0
         && strchr ("/?#", path[length]) != NULL;
}

const CfRoute *
cf_find_route (const CfConfig *config, const char *path)
{
  const CfRoute *best = NULL;

  for (guint i = 0; i < config->routes->len; i++)
    {
      const CfRoute *route = g_ptr_array_index (config->routes, i);

      if (prefix_matches (route->prefix, path)
          && (best == NULL || strlen (route->prefix) > strlen (best->prefix)))
        best = route;
    }
  return best;
}

int
cf_region_of_zone (const CfConfig *config, const char *zone)
{
  for (guint i = 0; i < config->regions->len; i++)
    {
      const CfRegion *region = g_ptr_array_index (config->regions, i);

      for (guint j = 0; j < region->zones->len; j++)
        if (strcmp (g_ptr_array_index (region->zones, j), zone) == 0)
          return (int)i;
    }
  return -1;
}

const CfLink *
cf_find_link (const CfConfig *config, const char *from, const char *to)
{
  for (guint i = 0; i < config->links->len; i++)
    {
      const CfLink *link = g_ptr_array_index (config->links, i);

      if (strcmp (link->from, from) == 0 && strcmp (link->to, to) == 0)
        return link;
    }
  return NULL;
}

gboolean
cf_job_run (CfJob *job, GError **error)
{
  CfJobStatus status;

  do
    status = cf_job_step (job, CF_ROWS_MAX, error);
  while (status == CF_JOB_RUNNING);
  return status == CF_JOB_DONE;
}

CfJobStatus
cf_job_step (CfJob *job, uint32_t rows_max, GError **error)
{
  return job->class->step (job, rows_max, error);
}

CfConfig *
cf_job_take_config (CfJob *job)
{
  return g_steal_pointer (&job->config);
}

char *
cf_job_take_text (CfJob *job, gsize *length)
{
  if (length != NULL)
    *length = job->text->len;
  return g_string_free (g_steal_pointer (&job->text), FALSE);
}

CfManifest *
cf_job_take_manifest (CfJob *job)
{
  return g_steal_pointer (&job->manifest);
}

void
cf_job_free (CfJob *job)
{
  if (job == NULL)
    return;
  if (job->class->free != NULL)
    job->class->free (job);
  cf_unref (job->config);
  cf_manifest_free (job->manifest);
  if (job->text != NULL)
    g_string_free (job->text, TRUE);
  g_free (job);
}
