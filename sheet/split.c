#include "sheet/internal.h"

#include <csv.h>
#include <string.h>

static const char byte_order_mark[] = "\xef\xbb\xbf";

typedef struct
{
  ShSheet *sheet;
  ShRow row;
  GString *text;
  int last_end; /* character that ended the last record */
} Splitter;

const char *
sh_cell (const ShRow *row, ShColumn column)
{
  return row->text + row->cells[column];
}

static void
on_cell (void *cell, size_t length, void *data)
{
  Splitter *splitter = data;
  ShRow *row = &splitter->row;

  if (row->cell_count < SH_COLUMN_COUNT)
    {
      row->cells[row->cell_count] = (uint32_t)splitter->text->len;
      g_string_append_len (splitter->text, cell, (gssize)length);
      g_string_append_c (splitter->text, '\0');
    }
  row->cell_count++;
}

static void
check_header (ShSheet *sheet, const ShRow *row)
{
  if (row->cell_count == 1 && strchr (row->text, ';') != NULL)
    {
      sh_report (sheet, SH_ERROR_HEADER, 1, SH_COLUMN_COUNT,
                 "the cells are separated by semicolons; export the sheet "
                 "with commas and decimal points");
      return;
    }
  sheet->header_good = row->cell_count == SH_COLUMN_COUNT;
  if (!sheet->header_good)
    sh_report (sheet, SH_ERROR_HEADER, 1, SH_COLUMN_COUNT,
               "the header has %u columns and not %d", row->cell_count,
               SH_COLUMN_COUNT);
  for (uint32_t i = 0; i < MIN (row->cell_count, SH_COLUMN_COUNT); i++)
    if (strcmp (sh_cell (row, i), sh_columns[i]) != 0)
      {
        sh_report (sheet, SH_ERROR_HEADER, 1, i,
                   "the header says \"%.64s\" and not \"%s\"; a column was "
                   "moved, renamed or removed",
                   sh_cell (row, i), sh_columns[i]);
        sheet->header_good = FALSE;
      }
}

static void
keep_row (Splitter *splitter)
{
  ShRow *row = g_new (ShRow, 1);

  *row = splitter->row;
  row->text = g_malloc (splitter->text->len);
  memcpy (row->text, splitter->text->str, splitter->text->len);
  g_ptr_array_add (splitter->sheet->rows, row);
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
handle_row (Splitter *splitter)
{
  ShSheet *sheet = splitter->sheet;
  ShRow *row = &splitter->row;

  row->number = ++sheet->row_count;
  row->text = splitter->text->str;
  if (row->number == 1)
    {
      check_header (sheet, row);
      return;
    }
  /* Spreadsheets export blank rows behind the last one.  */
  if (!sheet->header_good || is_blank (row))
    return;
  if (sheet->end_row != 0)
    {
      sh_report (sheet, SH_ERROR_COUNT, row->number, SH_COLUMN_COUNT,
                 "stands behind the end row");
      return;
    }
  if (row->cell_count == SH_COLUMN_COUNT
      && strcmp (sh_cell (row, SH_COLUMN_KIND), "end") == 0)
    {
      sheet->end_row = row->number;
      if (sh_check_cells (sheet, row))
        sh_read_end (sheet, row);
      return;
    }
  sheet->data_count++;
  if (!sh_check_cells (sheet, row))
    return;
  if (strcmp (sh_cell (row, SH_COLUMN_KIND), "block") == 0)
    sh_read_block (sheet, row);
  else
    keep_row (splitter);
}

static void
on_row (int end, void *data)
{
  Splitter *splitter = data;
  gboolean second_half = end == '\n' && splitter->last_end == '\r'
                         && splitter->row.cell_count == 0;

  splitter->last_end = end;
  if (second_half)
    return;
  handle_row (splitter);
  splitter->row.cell_count = 0;
  g_string_truncate (splitter->text, 0);
}

static uint32_t
row_at (const char *text, gsize at)
{
  uint32_t row = 1;

  for (gsize i = 0; i < at; i++)
    row += text[i] == '\n';
  return row;
}

static gboolean
check_text (ShSheet *sheet, const char *text, gsize length)
{
  const char *end;

  if (length > SH_BYTES_MAX)
    {
      sh_report (sheet, SH_ERROR_TOO_MANY, 0, SH_COLUMN_COUNT,
                 "the file is longer than %d bytes", SH_BYTES_MAX);
      return FALSE;
    }
  if (g_utf8_validate_len (text, length, &end))
    return TRUE;
  sh_report (sheet, SH_ERROR_ENCODING, row_at (text, (gsize)(end - text)),
             SH_COLUMN_COUNT, "is not UTF-8; export the sheet as UTF-8");
  return FALSE;
}

void
sh_split (ShSheet *sheet, const char *text, gsize length)
{
  Splitter splitter = { .sheet = sheet, .text = g_string_new (NULL) };
  struct csv_parser parser;

  if (length >= 3 && memcmp (text, byte_order_mark, 3) == 0)
    {
      text += 3;
      length -= 3;
    }
  if (check_text (sheet, text, length))
    {
      csv_init (&parser, CSV_STRICT | CSV_STRICT_FINI | CSV_REPALL_NL);
      if (csv_parse (&parser, text, length, on_cell, on_row, &splitter)
              != length
          || csv_fini (&parser, on_cell, on_row, &splitter) != 0)
        sh_report (sheet, SH_ERROR_SYNTAX, sheet->row_count + 1,
                   SH_COLUMN_COUNT, "the quotes do not match");
      csv_free (&parser);
      if (sheet->row_count == 0)
        sh_report (sheet, SH_ERROR_HEADER, 1, SH_COLUMN_COUNT,
                   "there is no header row");
    }
  g_string_free (splitter.text, TRUE);
}
