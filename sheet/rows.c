#include "sheet/internal.h"

#include <inttypes.h>
#include <string.h>

#define BIT(column) (UINT32_C (1) << SH_COLUMN_##column)
#define PER_S_MAX 1000000000
#define MBIT_MAX 100000000
#define DELAY_MAX_US 60000000
#define RAMP_MAX_MS (7 * 24 * 3600 * INT64_C (1000))

/* A row may be used before the row it names, so kinds are read in an order in
   which names come before their uses.  */
typedef struct
{
  const char *name;
  uint32_t needed; /* bit for each column */
  uint32_t allowed;
  void (*read) (ShSheet *sheet, const ShRow *row);
} Kind;

/* Remembers that the thing has a row; FALSE if it had one already.  */
static gboolean
define (ShSheet *sheet, const ShRow *row, const char *name, ShColumn column)
{
  const char *kind = sh_cell (row, SH_COLUMN_KIND);
  char *id = g_strdup_printf ("%s %s", kind, name);
  void *earlier = g_hash_table_lookup (sheet->defined, id);

  if (earlier == NULL)
    {
      g_hash_table_insert (sheet->defined, id, GUINT_TO_POINTER (row->number));
      return TRUE;
    }
  sh_report (sheet, SH_ERROR_DUPLICATE, row->number, column,
             "row %u is already for the %s \"%.128s\"",
             GPOINTER_TO_UINT (earlier), kind, name);
  g_free (id);
  return FALSE;
}

static gboolean
define_name (ShSheet *sheet, const ShRow *row)
{
  return sh_read_name (sheet, row, SH_COLUMN_NAME)
         && define (sheet, row, sh_cell (row, SH_COLUMN_NAME), SH_COLUMN_NAME);
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

  if (!define_name (sheet, row))
    return;
  customer = cf_add_customer (sheet->config, sh_cell (row, SH_COLUMN_NAME));
  read_u32 (sheet, row, SH_COLUMN_RATE, 1, PER_S_MAX, &customer->rate_per_s);
  read_u32 (sheet, row, SH_COLUMN_BURST, 1, PER_S_MAX, &customer->burst);
  customer->weight = customer->rate_per_s;
  read_u32 (sheet, row, SH_COLUMN_WEIGHT, 1, PER_S_MAX, &customer->weight);
  g_hash_table_insert (sheet->row_of, customer,
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
      && define (sheet, row, name, SH_COLUMN_NAME))
    sh_read_key (sheet, row);
}

static void
read_service (ShSheet *sheet, const ShRow *row)
{
  if (define_name (sheet, row))
    cf_add_service (sheet->config, sh_cell (row, SH_COLUMN_NAME));
}

static void
read_route (ShSheet *sheet, const ShRow *row)
{
  static const char *const access_words[] = { "keyed", "open", NULL };
  static const char *const idempotent_words[] = { "no", "yes", NULL };
  const char *prefix = sh_cell (row, SH_COLUMN_NAME);
  CfRoute *route;
  int word;

  if (!cf_is_prefix (prefix))
    {
      if (*prefix != '\0')
        sh_report (sheet, SH_ERROR_NAME, row->number, SH_COLUMN_NAME,
                   "\"%.64s\" is not a path such as /boards/", prefix);
      return;
    }
  if (!define (sheet, row, prefix, SH_COLUMN_NAME)
      || !sh_read_reference (sheet, row, SH_COLUMN_SERVICE, "service"))
    return;
  route
      = cf_add_route (sheet->config, prefix, sh_cell (row, SH_COLUMN_SERVICE));
  if (sh_read_word (sheet, row, SH_COLUMN_ACCESS, access_words, &word))
    route->open = word == 1;
  if (sh_read_word (sheet, row, SH_COLUMN_IDEMPOTENT, idempotent_words, &word))
    route->idempotent = word == 1;
}

static void
read_region (ShSheet *sheet, const ShRow *row)
{
  CfRegion *region;

  if (!define_name (sheet, row))
    return;
  region = cf_add_region (sheet->config, sh_cell (row, SH_COLUMN_NAME));
  read_u32 (sheet, row, SH_COLUMN_CAPACITY, 1, PER_S_MAX,
            &region->capacity_per_s);
}

static void
read_zone (ShSheet *sheet, const ShRow *row)
{
  const char *name = sh_cell (row, SH_COLUMN_NAME);
  const char *owner = sh_cell (row, SH_COLUMN_REGION);

  if (!define_name (sheet, row)
      || !sh_read_reference (sheet, row, SH_COLUMN_REGION, "region"))
    return;
  for (guint i = 0; i < sheet->config->regions->len; i++)
    {
      CfRegion *region = g_ptr_array_index (sheet->config->regions, i);

      if (strcmp (region->name, owner) == 0)
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
      || !define (sheet, row, name, SH_COLUMN_FROM))
    return;
  if (strcmp (from, to) == 0)
    sh_report (sheet, SH_ERROR_REFERENCE, row->number, SH_COLUMN_TO,
               "the link joins region \"%s\" with itself", to);
  link = cf_add_link (sheet->config, from, to);
  read_u32 (sheet, row, SH_COLUMN_MBIT, 1, MBIT_MAX, &link->mbit_per_s);
  if (sh_read_number (sheet, row, SH_COLUMN_DELAY, 1000, 0, DELAY_MAX_US,
                      &delay_us))
    link->delay_us = (uint32_t)delay_us;
}

static void
read_span (ShSheet *sheet, const ShRow *row, int64_t *start_ms,
           int64_t *end_ms)
{
  gboolean start = sh_read_time (sheet, row, SH_COLUMN_START, start_ms);

  if (sh_read_time (sheet, row, SH_COLUMN_END, end_ms) && start
      && *end_ms <= *start_ms)
    sh_report (sheet, SH_ERROR_TIME, row->number, SH_COLUMN_END,
               "the end \"%s\" is not after the start",
               sh_cell (row, SH_COLUMN_END));
}

static void
read_drain (ShSheet *sheet, const ShRow *row)
{
  static const char *const scopes[]
      = { "target", "vm", "zone", "region", NULL };
  CfDrain *drain;
  int scope;

  if (!define_name (sheet, row)
      || !sh_read_word (sheet, row, SH_COLUMN_SCOPE, scopes, &scope)
      || !sh_read_name (sheet, row, SH_COLUMN_OBJECT))
    return;
  if (scope >= CF_DRAIN_ZONE
      && !sh_read_reference (sheet, row, SH_COLUMN_OBJECT, scopes[scope]))
    return;
  drain = cf_add_drain (sheet->config, sh_cell (row, SH_COLUMN_NAME),
                        (CfDrainKind)scope, sh_cell (row, SH_COLUMN_OBJECT));
  read_span (sheet, row, &drain->start_ms, &drain->end_ms);
  g_hash_table_insert (sheet->row_of, drain, GUINT_TO_POINTER (row->number));
}

static void
read_shift (ShSheet *sheet, const ShRow *row)
{
  const char *from = sh_cell (row, SH_COLUMN_FROM);
  const char *to = sh_cell (row, SH_COLUMN_TO);
  CfShift *shift;

  if (!define_name (sheet, row)
      || !sh_read_reference (sheet, row, SH_COLUMN_SERVICE, "service")
      || !sh_read_reference (sheet, row, SH_COLUMN_FROM, "region")
      || !sh_read_reference (sheet, row, SH_COLUMN_TO, "region"))
    return;
  if (strcmp (from, to) == 0)
    sh_report (sheet, SH_ERROR_SHIFT_CONFLICT, row->number, SH_COLUMN_TO,
               "the shift goes from region \"%s\" to itself", to);
  shift = cf_add_shift (sheet->config, sh_cell (row, SH_COLUMN_NAME),
                        sh_cell (row, SH_COLUMN_SERVICE), from, to);
  read_span (sheet, row, &shift->start_ms, &shift->end_ms);
  read_u32 (sheet, row, SH_COLUMN_SHARE, 10, 1000, &shift->share_permille);
  read_u32 (sheet, row, SH_COLUMN_CAP, 1, PER_S_MAX, &shift->cap_per_s);
  if (sh_read_number (sheet, row, SH_COLUMN_RAMP, 1000, 0, RAMP_MAX_MS,
                      &shift->ramp_ms)
      && shift->end_ms > shift->start_ms
      && shift->ramp_ms > shift->end_ms - shift->start_ms)
    sh_report (sheet, SH_ERROR_RANGE, row->number, SH_COLUMN_RAMP,
               "the ramp of %s s is longer than the shift",
               sh_cell (row, SH_COLUMN_RAMP));
  g_hash_table_insert (sheet->row_of, shift, GUINT_TO_POINTER (row->number));
}

static const Kind kinds[] = {
  { "sheet", BIT (NAME) | BIT (DATE), 0, sh_read_sheet },
  { "service", BIT (NAME), 0, read_service },
  { "region", BIT (NAME) | BIT (CAPACITY), 0, read_region },
  { "zone", BIT (NAME) | BIT (REGION), 0, read_zone },
  { "customer", BIT (NAME) | BIT (RATE) | BIT (BURST), BIT (WEIGHT),
    read_customer },
  { "key", BIT (NAME) | BIT (CUSTOMER), BIT (SHA256) | BIT (STATE),
    read_key_row },
  { "route", BIT (NAME) | BIT (SERVICE) | BIT (ACCESS), BIT (IDEMPOTENT),
    read_route },
  { "link", BIT (FROM) | BIT (TO) | BIT (MBIT) | BIT (DELAY), 0, read_link },
  { "drain", BIT (NAME) | BIT (SCOPE) | BIT (OBJECT) | BIT (START) | BIT (END),
    0, read_drain },
  { "shift",
    BIT (NAME) | BIT (SERVICE) | BIT (FROM) | BIT (TO) | BIT (START)
        | BIT (END) | BIT (SHARE) | BIT (CAP),
    BIT (RAMP), read_shift },
  { "block", BIT (NAME) | BIT (REGION), 0, NULL },
  { "end", BIT (ROWS), 0, NULL },
};

static const Kind *
find_kind (const char *name)
{
  for (size_t i = 0; i < G_N_ELEMENTS (kinds); i++)
    if (strcmp (kinds[i].name, name) == 0)
      return &kinds[i];
  return NULL;
}

gboolean
sh_check_cells (ShSheet *sheet, const ShRow *row)
{
  const Kind *kind;

  if (row->cell_count != SH_COLUMN_COUNT)
    {
      sh_report (sheet, SH_ERROR_COLUMNS, row->number, SH_COLUMN_COUNT,
                 "has %u cells and not %d; a comma without quotes moves the "
                 "cells behind it",
                 row->cell_count, SH_COLUMN_COUNT);
      sheet->capacity_unknown = TRUE;
      return FALSE;
    }
  kind = find_kind (sh_cell (row, SH_COLUMN_KIND));
  if (kind == NULL)
    {
      sh_report (sheet, SH_ERROR_KIND, row->number, SH_COLUMN_KIND,
                 "there is no kind \"%.64s\"", sh_cell (row, SH_COLUMN_KIND));
      sheet->capacity_unknown = TRUE;
      return FALSE;
    }
  if (kind->read == read_region)
    sheet->capacity_unknown |= *sh_cell (row, SH_COLUMN_CAPACITY) == '\0';
  for (uint32_t i = 1; i < SH_COLUMN_COUNT; i++)
    {
      gboolean filled = *sh_cell (row, i) != '\0';

      if (!filled && ((kind->needed >> i) & 1))
        sh_report (sheet, SH_ERROR_MISSING, row->number, i,
                   "a %s row needs this cell", kind->name);
      if (filled && !(((kind->needed | kind->allowed) >> i) & 1))
        sh_report (sheet, SH_ERROR_UNEXPECTED, row->number, i,
                   "a %s row does not use this cell", kind->name);
    }
  return TRUE;
}

static void
read_kind (ShSheet *sheet, const Kind *kind)
{
  guint before = sheet->problems->len;

  for (guint i = 0; i < sheet->rows->len; i++)
    {
      const ShRow *row = g_ptr_array_index (sheet->rows, i);

      if (strcmp (sh_cell (row, SH_COLUMN_KIND), kind->name) == 0)
        kind->read (sheet, row);
    }
  if ((kind->read == read_region || kind->read == read_zone)
      && sheet->problems->len > before)
    sheet->capacity_unknown = TRUE;
}

void
sh_read_rows (ShSheet *sheet)
{
  for (size_t i = 0; i < G_N_ELEMENTS (kinds); i++)
    if (kinds[i].read != NULL)
      read_kind (sheet, &kinds[i]);
  if (*sheet->config->sheet_date == '\0'
      && !g_hash_table_contains (sheet->defined, "sheet"))
    sh_report (sheet, SH_ERROR_DATE, 0, SH_COLUMN_COUNT,
               "there is no sheet row with the date");
}

void
sh_read_end (ShSheet *sheet, const ShRow *row)
{
  int64_t count;

  if (sh_read_number (sheet, row, SH_COLUMN_ROWS, 1, 0, CF_ROWS_MAX, &count)
      && count != sheet->data_count)
    sh_report (sheet, SH_ERROR_COUNT, row->number, SH_COLUMN_ROWS,
               "counts %" PRId64 " rows between header and end, but there are "
               "%u",
               count, sheet->data_count);
}
