#include "sheet/internal.h"

#include <csv.h>
#include <string.h>

static const char byte_order_mark[] = "\xef\xbb\xbf";

typedef struct
{
  ShSheet *sheet;
  ShRow row;
  GString *text;       /* the cells of row */
  int last_terminator; /* character that ended the previous record */
} CsvReader;

const char *
sh_cell (const ShRow *row, ShColumn column)
{
  return row->text + row->cells[column];
}

static void
on_cell (void *cell, size_t length, void *data)
{
  CsvReader *reader = data;
  ShRow *row = &reader->row;

  if (row->cell_count < SH_COLUMN_COUNT)
    {
      row->cells[row->cell_count] = (uint32_t)reader->text->len;
      g_string_append_len (reader->text, cell, (gssize)length);
      g_string_append_c (reader->text, '\0');
    }
  row->cell_count++;
}

static void
check_header (ShSheet *sheet, const ShRow *row)
{
  if (row->cell_count == 1 && strchr (row->text, ';') != NULL)
    {
      sh_report_problem (
          sheet, SH_ERROR_HEADER, 1, SH_COLUMN_COUNT,
          "the cells are separated by semicolons; export the sheet "
          "with commas and decimal points");
      return;
    }
  sheet->header_valid = row->cell_count == SH_COLUMN_COUNT;
  if (!sheet->header_valid)
    sh_report_problem (sheet, SH_ERROR_HEADER, 1, SH_COLUMN_COUNT,
                       "the header has %u columns instead of %d",
                       row->cell_count, SH_COLUMN_COUNT);
  for (uint32_t i = 0; i < MIN (row->cell_count, SH_COLUMN_COUNT); i++)
    if (strcmp (sh_cell (row, i), sh_columns[i]) != 0)
      {
        sh_report_problem (
            sheet, SH_ERROR_HEADER, 1, i,
            "the header has \"%.64s\" instead of \"%s\"; a column was "
            "moved, renamed or removed",
            sh_cell (row, i), sh_columns[i]);
        sheet->header_valid = FALSE;
      }
}

static void
append_row (CsvReader *reader)
{
  ShRow *row = g_new (ShRow, 1);

  *row = reader->row;
  row->text = g_malloc (reader->text->len);
  memcpy (row->text, reader->text->str, reader->text->len);
  g_ptr_array_add (reader->sheet->rows, row);
}

static gboolean
is_blank (const ShRow *row)
{
  for (uint32_t i = 0; i < MIN (row->cell_count, SH_COLUMN_COUNT); i++)
    if (*sh_cell (row, i) != '\0')
      return FALSE;
  return row->cell_count <= SH_COLUMN_COUNT;
}

static void
handle_row (CsvReader *reader)
{
  ShSheet *sheet = reader->sheet;
  ShRow *row = &reader->row;

  row->number = ++sheet->row_count;
  row->text = reader->text->str;
  if (row->number == 1)
    {
      check_header (sheet, row);
      return;
    }
  /* Spreadsheets export blank rows after the last one.  */
  if (!sheet->header_valid || is_blank (row))
    return;
  if (sheet->end_row != 0)
    {
      sh_report_problem (sheet, SH_ERROR_COUNT, row->number, SH_COLUMN_COUNT,
                         "comes after the end row");
      return;
    }
  if (row->cell_count == SH_COLUMN_COUNT
      && strcmp (sh_cell (row, SH_COLUMN_KIND), "end") == 0)
    {
      sheet->end_row = row->number;
      if (sh_check_cells (sheet, row))
        sh_read_end_row (sheet, row);
      return;
    }
  sheet->data_row_count++;
  if (!sh_check_cells (sheet, row))
    return;
  if (strcmp (sh_cell (row, SH_COLUMN_KIND), "block") == 0)
    sh_read_block_row (sheet, row);
  else
    append_row (reader);
}

/* Called at the end of each row.  CSV_REPALL_NL also reports empty lines and
   therefore calls this for both characters of a CR LF.  */
static void
on_row (int terminator, void *data)
{
  CsvReader *reader = data;
  gboolean lf_of_crlf = terminator == '\n' && reader->last_terminator == '\r'
                        && reader->row.cell_count == 0;

  reader->last_terminator = terminator;
  if (lf_of_crlf)
    return;
  handle_row (reader);
  reader->row.cell_count = 0;
  g_string_truncate (reader->text, 0);
}

/* Row at OFFSET if no cell before it contains a line feed.  */
static uint32_t
row_number_at (const char *text, gsize offset)
{
  uint32_t row = 1;

  for (gsize i = 0; i < offset; i++)
    row += text[i] == '\n';
  return row;
}

static gboolean
check_text (ShSheet *sheet, const char *text, gsize length)
{
  const char *end;

  if (length > SH_FILE_MAX_BYTES)
    {
      sh_report_problem (sheet, SH_ERROR_TOO_MANY, 0, SH_COLUMN_COUNT,
                         "the file is longer than %d bytes",
                         SH_FILE_MAX_BYTES);
      return FALSE;
    }
  if (g_utf8_validate_len (text, length, &end))
    return TRUE;
  sh_report_problem (
      sheet, SH_ERROR_ENCODING, row_number_at (text, (gsize)(end - text)),
      SH_COLUMN_COUNT, "is not UTF-8; export the sheet as UTF-8");
  return FALSE;
}

void
sh_parse_csv (ShSheet *sheet, const char *text, gsize length)
{
  CsvReader reader = { .sheet = sheet, .text = g_string_new (NULL) };
  struct csv_parser parser;

  if (length >= 3 && memcmp (text, byte_order_mark, 3) == 0)
    {
      text += 3;
      length -= 3;
    }
  if (check_text (sheet, text, length))
    {
      csv_init (&parser, CSV_STRICT | CSV_STRICT_FINI | CSV_REPALL_NL);
      if (csv_parse (&parser, text, length, on_cell, on_row, &reader) != length
          || csv_fini (&parser, on_cell, on_row, &reader) != 0)
        sh_report_problem (sheet, SH_ERROR_SYNTAX, sheet->row_count + 1,
                           SH_COLUMN_COUNT, "the quotes are unbalanced");
      csv_free (&parser);
      if (sheet->row_count == 0)
        sh_report_problem (sheet, SH_ERROR_HEADER, 1, SH_COLUMN_COUNT,
                           "there is no header row");
    }
  g_string_free (reader.text, TRUE);
}
