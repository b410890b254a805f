#include "sheet/internal.h"

#include <inttypes.h>
#include <string.h>

/* 1970-01-01 in the Julian days of GDate, which begin with the year 1.  */
#define EPOCH_JULIAN_DAY 719163
#define MINUTE_MS 60000
#define HOUR_MS (60 * MINUTE_MS)
#define DAY_MS (24 * (int64_t)HOUR_MS)

/* A 0 in PATTERN matches any digit.  TEXT may be longer than PATTERN.  */
static gboolean
matches_pattern (const char *text, const char *pattern)
{
  for (; *pattern != '\0'; pattern++, text++)
    if (*pattern == '0' ? !g_ascii_isdigit (*text) : *pattern != *text)
      return FALSE;
  return TRUE;
}

static int
parse_two_digits (const char *text)
{
  return (text[0] - '0') * 10 + (text[1] - '0');
}

static gboolean
parse_utc_offset (const char *text, int64_t *offset_ms)
{
  *offset_ms = 0;
  if (strcmp (text, "Z") == 0)
    return TRUE;
  if ((text[0] != '+' && text[0] != '-')
      || !matches_pattern (text + 1, "00:00") || text[6] != '\0'
      || parse_two_digits (text + 1) > 14 || parse_two_digits (text + 4) > 59)
    return FALSE;
  *offset_ms = parse_two_digits (text + 1) * HOUR_MS
               + parse_two_digits (text + 4) * MINUTE_MS;
  if (text[0] == '-')
    *offset_ms = -*offset_ms;
  return TRUE;
}

gboolean
sh_parse_time (const char *text, int64_t *time_ms, ShError *code)
{
  int64_t offset_ms;
  int64_t day_ms;
  const char *utc_offset = text + 16;
  int seconds = 0;
  GDate date;

  *code = SH_ERROR_TIME;
  if (!matches_pattern (text, "0000-00-00")
      || (text[10] != 'T' && text[10] != ' ')
      || !matches_pattern (text + 11, "00:00"))
    return FALSE;
  if (matches_pattern (utc_offset, ":00"))
    {
      seconds = parse_two_digits (utc_offset + 1);
      utc_offset += 3;
    }
  if (!g_date_valid_dmy ((GDateDay)parse_two_digits (text + 8),
                         (GDateMonth)parse_two_digits (text + 5),
                         (GDateYear)(parse_two_digits (text) * 100
                                     + parse_two_digits (text + 2)))
      || parse_two_digits (text + 11) > 23 || parse_two_digits (text + 14) > 59
      || seconds > 59)
    return FALSE;
  if (*utc_offset == '\0')
    *code = SH_ERROR_TIME_ZONE;
  if (!parse_utc_offset (utc_offset, &offset_ms))
    return FALSE;
  g_date_clear (&date, 1);
  g_date_set_dmy (&date, (GDateDay)parse_two_digits (text + 8),
                  (GDateMonth)parse_two_digits (text + 5),
                  (GDateYear)(parse_two_digits (text) * 100
                              + parse_two_digits (text + 2)));
  day_ms = ((int64_t)g_date_get_julian (&date) - EPOCH_JULIAN_DAY) * DAY_MS;
  *time_ms = day_ms + parse_two_digits (text + 11) * (int64_t)HOUR_MS
             + parse_two_digits (text + 14) * MINUTE_MS + seconds * 1000
             - offset_ms;
  return *time_ms >= 0;
}

gboolean
sh_read_time (ShSheet *sheet, const ShRow *row, ShColumn column,
              int64_t *time_ms)
{
  const char *text = sh_cell (row, column);
  ShError code;

  if (*text == '\0')
    return FALSE;
  if (sh_parse_time (text, time_ms, &code))
    return TRUE;
  if (code == SH_ERROR_TIME_ZONE)
    sh_report_problem (
        sheet, code, row->number, column,
        "\"%.64s\" has neither Z nor a UTC offset such as +02:00; when "
        "daylight saving time begins or ends it can mean two times or none",
        text);
  else
    sh_report_problem (
        sheet, code, row->number, column,
        "\"%.64s\" is not a time such as 2026-12-04T22:00:00Z or "
        "2026-12-05T00:00:00+02:00",
        text);
  return FALSE;
}

/* Sets NUMBER to TEXT times SCALE.  TEXT has at most as many decimals as
   SCALE, a power of 10, has zeros.  More than 15 digits are rejected, since
   the product with SCALE could overflow.  */
static gboolean
parse_number (const char *text, int64_t scale, int64_t *number)
{
  gboolean after_point = FALSE;
  int64_t value = 0;
  int digit_count = 0;

  for (; *text != '\0'; text++)
    {
      if (*text == '.' && !after_point && digit_count > 0 && text[1] != '\0')
        {
          after_point = TRUE;
          continue;
        }
      if (!g_ascii_isdigit (*text) || ++digit_count > 15)
        return FALSE;
      if (after_point && scale == 1)
        return FALSE;
      if (after_point)
        scale /= 10;
      value = value * 10 + (*text - '0');
    }
  *number = value * scale;
  return digit_count > 0;
}

gboolean
sh_read_number (ShSheet *sheet, const ShRow *row, ShColumn column,
                int64_t scale, int64_t min, int64_t max, int64_t *number)
{
  const char *text = sh_cell (row, column);

  if (*text == '\0')
    return FALSE;
  if (strchr (text, ',') != NULL)
    sh_report_problem (
        sheet, SH_ERROR_DECIMAL_COMMA, row->number, column,
        "\"%.64s\" has a comma; decimals are written with a point and "
        "thousands without a separator",
        text);
  else if (!parse_number (text, scale, number))
    sh_report_problem (
        sheet, SH_ERROR_NUMBER, row->number, column, "\"%.64s\" is not a %s",
        text,
        scale == 1 ? "whole number"
                   : "number with the decimals that this column allows");
  else if (*number < min || *number > max)
    sh_report_problem (sheet, SH_ERROR_RANGE, row->number, column,
                       "%s is not in the range %" PRId64 " to %" PRId64, text,
                       min / scale, max / scale);
  else
    return TRUE;
  return FALSE;
}

gboolean
sh_read_keyword (ShSheet *sheet, const ShRow *row, ShColumn column,
                 const char *const *keywords, int *index)
{
  const char *text = sh_cell (row, column);
  g_autofree char *list = g_strjoinv (", ", (char **)keywords);

  if (*text == '\0')
    return FALSE;
  for (int i = 0; keywords[i] != NULL; i++)
    if (strcmp (keywords[i], text) == 0)
      {
        *index = i;
        return TRUE;
      }
  sh_report_problem (sheet, SH_ERROR_KEYWORD, row->number, column,
                     "\"%.64s\" is not one of %s", text, list);
  return FALSE;
}

gboolean
sh_read_name (ShSheet *sheet, const ShRow *row, ShColumn column)
{
  const char *text = sh_cell (row, column);

  if (*text == '\0')
    return FALSE;
  if (cf_is_name (text))
    return TRUE;
  sh_report_problem (sheet, SH_ERROR_NAME, row->number, column,
                     "\"%.64s\" is not 1 to 63 bytes of [a-z0-9-]", text);
  return FALSE;
}

gboolean
sh_read_reference (ShSheet *sheet, const ShRow *row, ShColumn column,
                   const char *kind)
{
  const char *text = sh_cell (row, column);
  g_autofree char *id = g_strdup_printf ("%s %s", kind, text);

  if (*text == '\0')
    return FALSE;
  if (g_hash_table_contains (sheet->row_by_id, id))
    return TRUE;
  sh_report_problem (sheet, SH_ERROR_REFERENCE, row->number, column,
                     "there is no %s row \"%.64s\"", kind, text);
  return FALSE;
}
