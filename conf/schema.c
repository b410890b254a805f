#include "conf/internal.h"

#include <string.h>

#define FIELDS(table) .fields = (table), .field_count = G_N_ELEMENTS (table)

static const CfField key_fields[] = {
  { "id", CF_FIELD_NAME, offsetof (CfKey, id) },
  { "sha256", CF_FIELD_SHA256, offsetof (CfKey, sha256) },
  { "withdrawn", CF_FIELD_BOOL, offsetof (CfKey, withdrawn), .optional = 1 },
};

static const CfSchema key_schema = {
  .section = "keys",
  .type_name = "key",
  .size_bytes = sizeof (CfKey),
  .identity_field_count = 1,
  FIELDS (key_fields),
};

static const CfField customer_fields[] = {
  { "name", CF_FIELD_NAME, offsetof (CfCustomer, name) },
  { "weight", CF_FIELD_U32, offsetof (CfCustomer, weight), .optional = 1,
    .min = 1, .max = CF_PER_S_MAX },
  { "rate_per_s", CF_FIELD_U32, offsetof (CfCustomer, rate_per_s), .min = 1,
    .max = CF_PER_S_MAX },
  { "burst", CF_FIELD_U32, offsetof (CfCustomer, burst), .min = 1,
    .max = CF_PER_S_MAX },
  { "keys", CF_FIELD_ROWS, offsetof (CfCustomer, keys), .optional = 1,
    .max = CF_KEYS_MAX, .row_schema = &key_schema },
};

static const CfSchema customer_schema = {
  .section = "customers",
  .type_name = "customer",
  .offset = offsetof (CfConfig, customers),
  .size_bytes = sizeof (CfCustomer),
  .identity_field_count = 1,
  FIELDS (customer_fields),
};

static const CfField service_fields[] = {
  { "name", CF_FIELD_NAME, offsetof (CfService, name) },
};

static const CfSchema service_schema = {
  .section = "services",
  .type_name = "service",
  .offset = offsetof (CfConfig, services),
  .size_bytes = sizeof (CfService),
  .identity_field_count = 1,
  FIELDS (service_fields),
};

static const CfField route_fields[] = {
  { "prefix", CF_FIELD_PREFIX, offsetof (CfRoute, prefix) },
  { "service", CF_FIELD_NAME, offsetof (CfRoute, service) },
  { "open", CF_FIELD_BOOL, offsetof (CfRoute, open), .optional = 1 },
  { "idempotent", CF_FIELD_BOOL, offsetof (CfRoute, idempotent),
    .optional = 1 },
};

static const CfSchema route_schema = {
  .section = "routes",
  .type_name = "route",
  .offset = offsetof (CfConfig, routes),
  .size_bytes = sizeof (CfRoute),
  .identity_field_count = 1,
  FIELDS (route_fields),
};

static const CfField region_fields[] = {
  { "name", CF_FIELD_NAME, offsetof (CfRegion, name) },
  { "zones", CF_FIELD_NAMES, offsetof (CfRegion, zones), .min = 1,
    .max = CF_ZONES_MAX },
  { "capacity_per_s", CF_FIELD_U32, offsetof (CfRegion, capacity_per_s),
    .optional = 1, .max = CF_PER_S_MAX },
};

static const CfSchema region_schema = {
  .section = "regions",
  .type_name = "region",
  .offset = offsetof (CfConfig, regions),
  .size_bytes = sizeof (CfRegion),
  .identity_field_count = 1,
  FIELDS (region_fields),
};

static const CfField link_fields[] = {
  { "from", CF_FIELD_NAME, offsetof (CfLink, from) },
  { "to", CF_FIELD_NAME, offsetof (CfLink, to) },
  { "mbit_per_s", CF_FIELD_U32, offsetof (CfLink, mbit_per_s), .min = 1,
    .max = 100000000 },
  { "delay_us", CF_FIELD_U32, offsetof (CfLink, delay_us), .max = 60000000 },
};

static const CfSchema link_schema = {
  .section = "links",
  .type_name = "link",
  .offset = offsetof (CfConfig, links),
  .size_bytes = sizeof (CfLink),
  .identity_field_count = 2,
  FIELDS (link_fields),
};

static const char *const drain_kind_names[]
    = { "target", "vm", "zone", "region", NULL };

static const CfField drain_fields[] = {
  { "name", CF_FIELD_NAME, offsetof (CfDrain, name) },
  { "kind", CF_FIELD_ENUM, offsetof (CfDrain, kind),
    .enum_names = drain_kind_names },
  { "object", CF_FIELD_NAME, offsetof (CfDrain, object) },
  { "start_ms", CF_FIELD_TIME, offsetof (CfDrain, start_ms),
    .max = CF_TIME_MAX_MS },
  { "end_ms", CF_FIELD_TIME, offsetof (CfDrain, end_ms),
    .max = CF_TIME_MAX_MS },
};

static const CfSchema drain_schema = {
  .section = "drains",
  .type_name = "drain",
  .offset = offsetof (CfConfig, drains),
  .size_bytes = sizeof (CfDrain),
  .identity_field_count = 1,
  FIELDS (drain_fields),
};

static const CfField shift_fields[] = {
  { "name", CF_FIELD_NAME, offsetof (CfShift, name) },
  { "service", CF_FIELD_NAME, offsetof (CfShift, service) },
  { "from", CF_FIELD_NAME, offsetof (CfShift, from) },
  { "to", CF_FIELD_NAME, offsetof (CfShift, to) },
  { "start_ms", CF_FIELD_TIME, offsetof (CfShift, start_ms),
    .max = CF_TIME_MAX_MS },
  { "end_ms", CF_FIELD_TIME, offsetof (CfShift, end_ms),
    .max = CF_TIME_MAX_MS },
  { "ramp_ms", CF_FIELD_I64, offsetof (CfShift, ramp_ms), .optional = 1,
    .max = CF_TIME_MAX_MS },
  { "share_permille", CF_FIELD_U32, offsetof (CfShift, share_permille),
    .min = 1, .max = 1000 },
  { "cap_per_s", CF_FIELD_U32, offsetof (CfShift, cap_per_s), .min = 1,
    .max = CF_PER_S_MAX },
};

static const CfSchema shift_schema = {
  .section = "shifts",
  .type_name = "shift",
  .offset = offsetof (CfConfig, shifts),
  .size_bytes = sizeof (CfShift),
  .identity_field_count = 1,
  FIELDS (shift_fields),
};

static const CfField document_fields[] = {
  { "version", CF_FIELD_U64, offsetof (CfConfig, version), .max = INT64_MAX },
  { "op_id", CF_FIELD_TEXT, offsetof (CfConfig, op_id) },
  { "author", CF_FIELD_TEXT, offsetof (CfConfig, author) },
  { "written_ms", CF_FIELD_TIME, offsetof (CfConfig, written_ms),
    .max = CF_TIME_MAX_MS },
  { "sheet_date", CF_FIELD_TEXT, offsetof (CfConfig, sheet_date) },
};

const CfSchema cf_document_schema = {
  .section = "document",
  .type_name = "document",
  .size_bytes = sizeof (CfConfig),
  FIELDS (document_fields),
};

/* In the order in which they are written: a section comes after those that its
   rows refer to.  */
const CfSchema *const cf_sections[] = {
  &customer_schema, &service_schema, &region_schema, &route_schema,
  &link_schema,     &drain_schema,   &shift_schema,
};

const uint32_t cf_section_count = G_N_ELEMENTS (cf_sections);

const CfSchema *
cf_find_section (const char *name, size_t length)
{
  for (uint32_t i = 0; i < cf_section_count; i++)
    if (strlen (cf_sections[i]->section) == length
        && memcmp (cf_sections[i]->section, name, length) == 0)
      return cf_sections[i];
  return NULL;
}

GPtrArray *
cf_section_rows (const CfConfig *config, const CfSchema *schema)
{
  return G_STRUCT_MEMBER (GPtrArray *, config, schema->offset);
}

void *
cf_row_new (const CfSchema *schema)
{
  void *row = g_malloc0 (schema->size_bytes);

  for (uint32_t i = 0; i < schema->field_count; i++)
    {
      const CfField *field = &schema->fields[i];
      void **data = G_STRUCT_MEMBER_P (row, field->offset);

      if (field->type <= CF_FIELD_PREFIX)
        *data = g_strdup ("");
      else if (field->type == CF_FIELD_NAMES)
        *data = g_ptr_array_new_with_free_func (g_free);
      else if (field->type == CF_FIELD_ROWS)
        *data = g_ptr_array_new ();
    }
  return row;
}

void
cf_row_free (const CfSchema *schema, void *row)
{
  for (uint32_t i = 0; i < schema->field_count; i++)
    {
      const CfField *field = &schema->fields[i];
      void **data = G_STRUCT_MEMBER_P (row, field->offset);

      if (field->type <= CF_FIELD_PREFIX)
        g_free (*data);
      if (field->type == CF_FIELD_ROWS)
        for (guint j = 0; j < ((GPtrArray *)*data)->len; j++)
          cf_row_free (field->row_schema,
                       g_ptr_array_index ((GPtrArray *)*data, j));
      if (field->type == CF_FIELD_ROWS || field->type == CF_FIELD_NAMES)
        g_ptr_array_unref (*data);
    }
  g_free (row);
}

char *
cf_row_identity (const CfSchema *schema, const void *row)
{
  const char *first
      = G_STRUCT_MEMBER (const char *, row, schema->fields[0].offset);

  if (schema->identity_field_count == 1)
    return g_strdup (first);
  return g_strdup_printf (
      "%s -> %s", first,
      G_STRUCT_MEMBER (const char *, row, schema->fields[1].offset));
}
