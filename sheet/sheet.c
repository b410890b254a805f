#include "sheet/internal.h"

#include <string.h>

const char *const sh_columns[SH_COLUMN_COUNT] = {
  "kind",       "name",           "customer",
  "service",    "region",         "from",
  "to",         "scope",          "object",
  "sha256",     "state",          "access",
  "idempotent", "rate_per_s",     "burst",
  "weight",     "capacity_per_s", "mbit_per_s",
  "delay_ms",   "start",          "end",
  "ramp_s",     "share_percent",  "cap_per_s",
  "date",       "rows",
};

static const char *const error_names[] = {
  [SH_ERROR_ENCODING] = "encoding",
  [SH_ERROR_SYNTAX] = "syntax",
  [SH_ERROR_HEADER] = "header",
  [SH_ERROR_COLUMNS] = "columns",
  [SH_ERROR_KIND] = "kind",
  [SH_ERROR_MISSING] = "missing",
  [SH_ERROR_UNEXPECTED] = "unexpected",
  [SH_ERROR_NAME] = "name",
  [SH_ERROR_KEYWORD] = "word",
  [SH_ERROR_NUMBER] = "number",
  [SH_ERROR_DECIMAL_COMMA] = "decimal-comma",
  [SH_ERROR_RANGE] = "range",
  [SH_ERROR_TIME] = "time",
  [SH_ERROR_TIME_ZONE] = "time-zone",
  [SH_ERROR_DATE] = "date",
  [SH_ERROR_OLD_SHEET] = "old-sheet",
  [SH_ERROR_TRUNCATED] = "cut-off",
  [SH_ERROR_COUNT] = "count",
  [SH_ERROR_DUPLICATE] = "duplicate",
  [SH_ERROR_REFERENCE] = "reference",
  [SH_ERROR_KEY] = "key",
  [SH_ERROR_KEY_REVOKED] = "key-withdrawn",
  [SH_ERROR_KEY_MISSING] = "key-missing",
  [SH_ERROR_DRAIN_CAPACITY] = "drain-capacity",
  [SH_ERROR_RATE_CAPACITY] = "rate-capacity",
  [SH_ERROR_SHIFT_CONFLICT] = "shift-conflict",
  [SH_ERROR_TOO_MANY] = "too-many",
};

const char *
sh_error_name (ShError code)
{
  return error_names[code];
}

static void
problem_free (void *data)
{
  ShProblem *problem = data;

  g_free (problem->message);
  g_free (problem);
}

void
sh_report_problem (ShSheet *sheet, ShError code, uint32_t row, ShColumn column,
                   const char *format, ...)
{
  ShProblem *problem;
  va_list args;

  if (sheet->problems->len > SH_PROBLEMS_MAX)
    return;
  problem = g_new0 (ShProblem, 1);
  problem->code = code;
  problem->row = row;
  if (column < SH_COLUMN_COUNT)
    {
      problem->column = column + 1;
      problem->field = sh_columns[column];
    }
  if (sheet->problems->len == SH_PROBLEMS_MAX)
    {
      problem->code = SH_ERROR_TOO_MANY;
      problem->message = g_strdup_printf (
          "there are more than %d problems; the others are not listed",
          SH_PROBLEMS_MAX);
    }
  else
    {
      va_start (args, format);
      problem->message = g_strdup_vprintf (format, args);
      va_end (args);
    }
  g_ptr_array_add (sheet->problems, problem);
}

char *
sh_format_problem (const ShProblem *problem)
{
  if (problem->row == 0)
    return g_strdup_printf ("sheet: %s", problem->message);
  if (problem->field == NULL)
    return g_strdup_printf ("row %u: %s", problem->row, problem->message);
  return g_strdup_printf ("row %u, column %u (%s): %s", problem->row,
                          problem->column, problem->field, problem->message);
}

static int
compare_problems (const void *a, const void *b)
{
  const ShProblem *left = *(ShProblem *const *)a;
  const ShProblem *right = *(ShProblem *const *)b;

  if (left->row != right->row)
    return left->row < right->row ? -1 : 1;
  return (int)left->column - (int)right->column;
}

static void
row_free (void *data)
{
  ShRow *row = data;

  g_free (row->text);
  g_free (row);
}

/* Reports what only cf_check finds, without a row.  */
static void
check_config (ShSheet *sheet)
{
  g_autoptr (GError) error = NULL;

  if (sheet->problems->len == 0 && !cf_check (sheet->config, &error))
    sh_report_problem (sheet, SH_ERROR_REFERENCE, 0, SH_COLUMN_COUNT, "%s",
                       error->message);
}

static void
read_sheet (ShSheet *sheet, const char *text, gsize length)
{
  sh_parse_csv (sheet, text, length);
  if (!sheet->header_valid)
    return;
  if (sheet->end_row == 0)
    sh_report_problem (
        sheet, SH_ERROR_TRUNCATED, sheet->row_count, SH_COLUMN_COUNT,
        "the file ends here without an end row; it may be truncated");
  sh_read_rows (sheet);
  sh_finish_blocks (sheet);
  sh_check_missing_keys (sheet);
  sh_check_plan (sheet);
  check_config (sheet);
}

CfConfig *
sh_parse (const char *text, gsize length, const ShOptions *options,
          GPtrArray **problems)
{
  ShSheet sheet = {
    .options = options,
    .config = cf_new (),
    .problems = g_ptr_array_new_with_free_func (problem_free),
    .rows = g_ptr_array_new_with_free_func (row_free),
    .row_by_id = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL),
    .row_by_object = g_hash_table_new (NULL, NULL),
    .block_rows = g_array_new (FALSE, FALSE, sizeof (uint32_t)),
    .block_region_names = g_ptr_array_new_with_free_func (g_free),
  };

  read_sheet (&sheet, text, length);
  g_ptr_array_sort (sheet.problems, compare_problems);
  g_ptr_array_unref (sheet.rows);
  g_hash_table_unref (sheet.row_by_id);
  g_hash_table_unref (sheet.row_by_object);
  g_array_unref (sheet.block_rows);
  g_ptr_array_unref (sheet.block_region_names);
  if (sheet.problems->len == 0)
    {
      g_ptr_array_unref (sheet.problems);
      return sheet.config;
    }
  cf_unref (sheet.config);
  *problems = sheet.problems;
  return NULL;
}
