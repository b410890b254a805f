#include "sheet/internal.h"

#include <inttypes.h>
#include <string.h>

#define COLUMN_BIT(column) (UINT32_C (1) << SH_COLUMN_##column)
#define REQUESTS_MAX_PER_S 1000000000
#define MBIT_MAX_PER_S 100000000
#define DELAY_MAX_US 60000000
#define RAMP_MAX_MS (7 * 24 * 3600 * INT64_C (1000))

typedef struct
{
  const char *name;
  uint32_t required_columns; /* bits from COLUMN_BIT */
  uint32_t optional_columns;
  /* NULL for block and end rows, which sh_parse_csv reads itself.  */
  void (*read) (ShSheet *sheet, const ShRow *row);
} RowKind;

/* Records ROW as the row of its kind with NAME.  Reports a duplicate and
   returns FALSE if there is an earlier one.  */
static gboolean
register_id (ShSheet *sheet, const ShRow *row, const char *name,
             ShColumn column)
{
  const char *kind = sh_cell (row, SH_COLUMN_KIND);
  char *id = g_strdup_printf ("%s %s", kind, name);
  void *earlier = g_hash_table_lookup (sheet->row_by_id, id);

  if (earlier == NULL)
    {
      g_hash_table_insert (sheet->row_by_id, id,
                           GUINT_TO_POINTER (row->number));
      return TRUE;
    }
  sh_report_problem (sheet, SH_ERROR_DUPLICATE, row->number, column,
                     "row %u already defines the %s \"%.128s\"",
                     GPOINTER_TO_UINT (earlier), kind, name);
  g_free (id);
  return FALSE;
}

static gboolean
register_name (ShSheet *sheet, const ShRow *row)
{
  return sh_read_name (sheet, row, SH_COLUMN_NAME)
         && register_id (sheet, row, sh_cell (row, SH_COLUMN_NAME),
                         SH_COLUMN_NAME);
}

static void
read_u32 (ShSheet *sheet, const ShRow *row, ShColumn column, int64_t scale,
          int64_t max, uint32_t *value)
{
  int64_t number;

  if (sh_read_number (sheet, row, column, scale, 1, max, &number))
    *value = (uint32_t)number;
}

static void
read_customer (ShSheet *sheet, const ShRow *row)
{
  CfCustomer *customer;

  if (!register_name (sheet, row))
    return;
  customer = cf_add_customer (sheet->config, sh_cell (row, SH_COLUMN_NAME));
  read_u32 (sheet, row, SH_COLUMN_RATE, 1, REQUESTS_MAX_PER_S,
            &customer->rate_per_s);
  read_u32 (sheet, row, SH_COLUMN_BURST, 1, REQUESTS_MAX_PER_S,
            &customer->burst);
  customer->weight = customer->rate_per_s;
  read_u32 (sheet, row, SH_COLUMN_WEIGHT, 1, REQUESTS_MAX_PER_S,
            &customer->weight);
  g_hash_table_insert (sheet->row_by_object, customer,
                       GUINT_TO_POINTER (row->number));
}

static void
read_key_row (ShSheet *sheet, const ShRow *row)
{
  g_autofree char *name
      = g_strdup_printf ("%s/%s", sh_cell (row, SH_COLUMN_CUSTOMER),
                         sh_cell (row, SH_COLUMN_NAME));

  if (sh_read_name (sheet, row, SH_COLUMN_NAME)
      && sh_read_reference (sheet, row, SH_COLUMN_CUSTOMER, "customer")
      && register_id (sheet, row, name, SH_COLUMN_NAME))
    sh_add_key (sheet, row);
}

static void
read_service (ShSheet *sheet, const ShRow *row)
{
  if (register_name (sheet, row))
    cf_add_service (sheet->config, sh_cell (row, SH_COLUMN_NAME));
}

static void
read_route (ShSheet *sheet, const ShRow *row)
{
  static const char *const access_keywords[] = { "keyed", "open", NULL };
  static const char *const idempotent_keywords[] = { "no", "yes", NULL };
  const char *prefix = sh_cell (row, SH_COLUMN_NAME);
  CfRoute *route;
  int index;

  if (!cf_is_prefix (prefix))
    {
      if (*prefix != '\0')
        sh_report_problem (sheet, SH_ERROR_NAME, row->number, SH_COLUMN_NAME,
                           "\"%.64s\" is not a path such as /boards/", prefix);
      return;
    }
  if (!register_id (sheet, row, prefix, SH_COLUMN_NAME)
      || !sh_read_reference (sheet, row, SH_COLUMN_SERVICE, "service"))
    return;
  route
      = cf_add_route (sheet->config, prefix, sh_cell (row, SH_COLUMN_SERVICE));
  if (sh_read_keyword (sheet, row, SH_COLUMN_ACCESS, access_keywords, &index))
    route->open = index == 1;
  if (sh_read_keyword (sheet, row, SH_COLUMN_IDEMPOTENT, idempotent_keywords,
                       &index))
    route->idempotent = index == 1;
}

static void
read_region (ShSheet *sheet, const ShRow *row)
{
  CfRegion *region;

  if (!register_name (sheet, row))
    return;
  region = cf_add_region (sheet->config, sh_cell (row, SH_COLUMN_NAME));
  read_u32 (sheet, row, SH_COLUMN_CAPACITY, 1, REQUESTS_MAX_PER_S,
            &region->capacity_per_s);
}

static void
read_zone (ShSheet *sheet, const ShRow *row)
{
  const char *name = sh_cell (row, SH_COLUMN_NAME);
  const char *region_name = sh_cell (row, SH_COLUMN_REGION);

  if (!register_name (sheet, row)
      || !sh_read_reference (sheet, row, SH_COLUMN_REGION, "region"))
    return;
  for (guint i = 0; i < sheet->config->regions->len; i++)
    {
      CfRegion *region = g_ptr_array_index (sheet->config->regions, i);

      if (strcmp (region->name, region_name) == 0)
        g_ptr_array_add (region->zones, g_strdup (name));
    }
}

static void
read_link (ShSheet *sheet, const ShRow *row)
{
  const char *from = sh_cell (row, SH_COLUMN_FROM);
  const char *to = sh_cell (row, SH_COLUMN_TO);
  g_autofree char *name = g_strdup_printf ("%s -> %s", from, to);
  int64_t delay_us;
  CfLink *link;

  if (!sh_read_reference (sheet, row, SH_COLUMN_FROM, "region")
      || !sh_read_reference (sheet, row, SH_COLUMN_TO, "region")
      || !register_id (sheet, row, name, SH_COLUMN_FROM))
    return;
  if (strcmp (from, to) == 0)
    sh_report_problem (sheet, SH_ERROR_REFERENCE, row->number, SH_COLUMN_TO,
                       "the link connects region \"%s\" to itself", to);
  link = cf_add_link (sheet->config, from, to);
  read_u32 (sheet, row, SH_COLUMN_MBIT, 1, MBIT_MAX_PER_S, &link->mbit_per_s);
  if (sh_read_number (sheet, row, SH_COLUMN_DELAY, 1000, 0, DELAY_MAX_US,
                      &delay_us))
    link->delay_us = (uint32_t)delay_us;
}

static void
read_period (ShSheet *sheet, const ShRow *row, int64_t *start_ms,
             int64_t *end_ms)
{
  gboolean start = sh_read_time (sheet, row, SH_COLUMN_START, start_ms);

  if (sh_read_time (sheet, row, SH_COLUMN_END, end_ms) && start
      && *end_ms <= *start_ms)
    sh_report_problem (sheet, SH_ERROR_TIME, row->number, SH_COLUMN_END,
                       "the end \"%s\" is not after the start",
                       sh_cell (row, SH_COLUMN_END));
}

static void
read_drain (ShSheet *sheet, const ShRow *row)
{
  /* In the order of CfDrainKind.  */
  static const char *const scopes[]
      = { "target", "vm", "zone", "region", NULL };
  CfDrain *drain;
  int scope;

  if (!register_name (sheet, row)
      || !sh_read_keyword (sheet, row, SH_COLUMN_SCOPE, scopes, &scope)
      || !sh_read_name (sheet, row, SH_COLUMN_OBJECT))
    return;
  /* A sheet has no rows for targets and VMs.  */
  if (scope >= CF_DRAIN_ZONE
      && !sh_read_reference (sheet, row, SH_COLUMN_OBJECT, scopes[scope]))
    return;
  drain = cf_add_drain (sheet->config, sh_cell (row, SH_COLUMN_NAME),
                        (CfDrainKind)scope, sh_cell (row, SH_COLUMN_OBJECT));
  read_period (sheet, row, &drain->start_ms, &drain->end_ms);
  g_hash_table_insert (sheet->row_by_object, drain,
                       GUINT_TO_POINTER (row->number));
}

static void
read_shift (ShSheet *sheet, const ShRow *row)
{
  const char *from = sh_cell (row, SH_COLUMN_FROM);
  const char *to = sh_cell (row, SH_COLUMN_TO);
  CfShift *shift;

  if (!register_name (sheet, row)
      || !sh_read_reference (sheet, row, SH_COLUMN_SERVICE, "service")
      || !sh_read_reference (sheet, row, SH_COLUMN_FROM, "region")
      || !sh_read_reference (sheet, row, SH_COLUMN_TO, "region"))
    return;
  if (strcmp (from, to) == 0)
    sh_report_problem (sheet, SH_ERROR_SHIFT_CONFLICT, row->number,
                       SH_COLUMN_TO,
                       "the shift goes from region \"%s\" to itself", to);
  shift = cf_add_shift (sheet->config, sh_cell (row, SH_COLUMN_NAME),
                        sh_cell (row, SH_COLUMN_SERVICE), from, to);
  read_period (sheet, row, &shift->start_ms, &shift->end_ms);
  read_u32 (sheet, row, SH_COLUMN_SHARE, 10, 1000, &shift->share_permille);
  read_u32 (sheet, row, SH_COLUMN_CAP, 1, REQUESTS_MAX_PER_S,
            &shift->cap_per_s);
  if (sh_read_number (sheet, row, SH_COLUMN_RAMP, 1000, 0, RAMP_MAX_MS,
                      &shift->ramp_ms)
      && shift->end_ms > shift->start_ms
      && shift->ramp_ms > shift->end_ms - shift->start_ms)
    sh_report_problem (sheet, SH_ERROR_RANGE, row->number, SH_COLUMN_RAMP,
                       "the ramp of %s s is longer than the shift",
                       sh_cell (row, SH_COLUMN_RAMP));
  g_hash_table_insert (sheet->row_by_object, shift,
                       GUINT_TO_POINTER (row->number));
}

/* In the order in which they are read.  A row may come before the rows that it
   refers to, so the kinds that are referred to come first.  */
static const RowKind row_kinds[] = {
  { "sheet", COLUMN_BIT (NAME) | COLUMN_BIT (DATE), 0, sh_read_sheet_row },
  { "service", COLUMN_BIT (NAME), 0, read_service },
  { "region", COLUMN_BIT (NAME) | COLUMN_BIT (CAPACITY), 0, read_region },
  { "zone", COLUMN_BIT (NAME) | COLUMN_BIT (REGION), 0, read_zone },
  { "customer", COLUMN_BIT (NAME) | COLUMN_BIT (RATE) | COLUMN_BIT (BURST),
    COLUMN_BIT (WEIGHT), read_customer },
  { "key", COLUMN_BIT (NAME) | COLUMN_BIT (CUSTOMER),
    COLUMN_BIT (SHA256) | COLUMN_BIT (STATE), read_key_row },
  { "route", COLUMN_BIT (NAME) | COLUMN_BIT (SERVICE) | COLUMN_BIT (ACCESS),
    COLUMN_BIT (IDEMPOTENT), read_route },
  { "link",
    COLUMN_BIT (FROM) | COLUMN_BIT (TO) | COLUMN_BIT (MBIT)
        | COLUMN_BIT (DELAY),
    0, read_link },
  { "drain",
    COLUMN_BIT (NAME) | COLUMN_BIT (SCOPE) | COLUMN_BIT (OBJECT)
        | COLUMN_BIT (START) | COLUMN_BIT (END),
    0, read_drain },
  { "shift",
    COLUMN_BIT (NAME) | COLUMN_BIT (SERVICE) | COLUMN_BIT (FROM)
        | COLUMN_BIT (TO) | COLUMN_BIT (START) | COLUMN_BIT (END)
        | COLUMN_BIT (SHARE) | COLUMN_BIT (CAP),
    COLUMN_BIT (RAMP), read_shift },
  { "block", COLUMN_BIT (NAME) | COLUMN_BIT (REGION), 0, NULL },
  { "end", COLUMN_BIT (ROWS), 0, NULL },
};

static const RowKind *
find_row_kind (const char *name)
{
  for (size_t i = 0; i < G_N_ELEMENTS (row_kinds); i++)
    if (strcmp (row_kinds[i].name, name) == 0)
      return &row_kinds[i];
  return NULL;
}

gboolean
sh_check_cells (ShSheet *sheet, const ShRow *row)
{
  const RowKind *kind;

  if (row->cell_count != SH_COLUMN_COUNT)
    {
      sh_report_problem (
          sheet, SH_ERROR_COLUMNS, row->number, SH_COLUMN_COUNT,
          "has %u cells instead of %d; a comma without quotes moves the "
          "cells after it",
          row->cell_count, SH_COLUMN_COUNT);
      sheet->capacity_unknown = TRUE;
      return FALSE;
    }
  kind = find_row_kind (sh_cell (row, SH_COLUMN_KIND));
  if (kind == NULL)
    {
      sh_report_problem (sheet, SH_ERROR_KIND, row->number, SH_COLUMN_KIND,
                         "unknown kind \"%.64s\"",
                         sh_cell (row, SH_COLUMN_KIND));
      sheet->capacity_unknown = TRUE;
      return FALSE;
    }
  if (kind->read == read_region)
    sheet->capacity_unknown |= *sh_cell (row, SH_COLUMN_CAPACITY) == '\0';
  for (uint32_t i = 1; i < SH_COLUMN_COUNT; i++)
    {
      gboolean filled = *sh_cell (row, i) != '\0';

      if (!filled && ((kind->required_columns >> i) & 1))
        sh_report_problem (sheet, SH_ERROR_MISSING, row->number, i,
                           "a %s row requires this cell", kind->name);
      if (filled
          && !(((kind->required_columns | kind->optional_columns) >> i) & 1))
        sh_report_problem (sheet, SH_ERROR_UNEXPECTED, row->number, i,
                           "a %s row does not use this cell", kind->name);
    }
  return TRUE;
}

static void
read_rows_of_kind (ShSheet *sheet, const RowKind *kind)
{
  guint problem_count = sheet->problems->len;

  for (guint i = 0; i < sheet->rows->len; i++)
    {
      const ShRow *row = g_ptr_array_index (sheet->rows, i);

      if (strcmp (sh_cell (row, SH_COLUMN_KIND), kind->name) == 0)
        kind->read (sheet, row);
    }
  if ((kind->read == read_region || kind->read == read_zone)
      && sheet->problems->len > problem_count)
    sheet->capacity_unknown = TRUE;
}

void
sh_read_rows (ShSheet *sheet)
{
  for (size_t i = 0; i < G_N_ELEMENTS (row_kinds); i++)
    if (row_kinds[i].read != NULL)
      read_rows_of_kind (sheet, &row_kinds[i]);
  if (*sheet->config->sheet_date == '\0'
      && !g_hash_table_contains (sheet->row_by_id, "sheet"))
    sh_report_problem (sheet, SH_ERROR_DATE, 0, SH_COLUMN_COUNT,
                       "there is no sheet row with a date");
}

void
sh_read_end_row (ShSheet *sheet, const ShRow *row)
{
  int64_t count;

  if (sh_read_number (sheet, row, SH_COLUMN_ROWS, 1, 0, CF_ROWS_MAX, &count)
      && count != sheet->data_row_count)
    sh_report_problem (sheet, SH_ERROR_COUNT, row->number, SH_COLUMN_ROWS,
                       "gives %" PRId64
                       " rows between header and end, but there are "
                       "%u",
                       count, sheet->data_row_count);
}
