#include "sheet/internal.h"

#include <inttypes.h>
#include <string.h>

/* Julian day of 1970-01-01 as GDate counts.  */
#define EPOCH_JULIAN 719163
#define MINUTE_MS 60000
#define HOUR_MS (60 * MINUTE_MS)
#define DAY_MS (24 * (int64_t)HOUR_MS)

static gboolean
all_digits (const char *text, const char *pattern)
{
  for (; *pattern != '\0'; pattern++, text++)
    if (*pattern == '0' ? !g_ascii_isdigit (*text) : *pattern != *text)
      return FALSE;
  return TRUE;
}

static int
two_digits (const char *text)
{
  return (text[0] - '0') * 10 + (text[1] - '0');
}

static gboolean
parse_zone (const char *text, int64_t *offset_ms)
{
  *offset_ms = 0;
  if (strcmp (text, "Z") == 0)
    return TRUE;
  if ((text[0] != '+' && text[0] != '-') || !all_digits (text + 1, "00:00")
      || text[6] != '\0' || two_digits (text + 1) > 14
      || two_digits (text + 4) > 59)
    return FALSE;
  *offset_ms
      = two_digits (text + 1) * HOUR_MS + two_digits (text + 4) * MINUTE_MS;
  if (text[0] == '-')
    *offset_ms = -*offset_ms;
  return TRUE;
}

gboolean
sh_parse_time (const char *text, int64_t *time_ms, ShError *code)
{
  int64_t offset_ms;
  int64_t day_ms;
  const char *zone = text + 16;
  int seconds = 0;
  GDate date;

  *code = SH_ERROR_TIME;
  if (!all_digits (text, "0000-00-00") || (text[10] != 'T' && text[10] != ' ')
      || !all_digits (text + 11, "00:00"))
    return FALSE;
  if (all_digits (zone, ":00"))
    {
      seconds = two_digits (zone + 1);
      zone += 3;
    }
  if (!g_date_valid_dmy (
          (GDateDay)two_digits (text + 8), (GDateMonth)two_digits (text + 5),
          (GDateYear)(two_digits (text) * 100 + two_digits (text + 2)))
      || two_digits (text + 11) > 23 || two_digits (text + 14) > 59
      || seconds > 59)
    return FALSE;
  if (*zone == '\0')
    *code = SH_ERROR_TIME_ZONE;
  if (!parse_zone (zone, &offset_ms))
    return FALSE;
  g_date_clear (&date, 1);
  g_date_set_dmy (
      &date, (GDateDay)two_digits (text + 8),
      (GDateMonth)two_digits (text + 5),
      (GDateYear)(two_digits (text) * 100 + two_digits (text + 2)));
  day_ms = ((int64_t)g_date_get_julian (&date) - EPOCH_JULIAN) * DAY_MS;
  *time_ms = day_ms + two_digits (text + 11) * (int64_t)HOUR_MS
             + two_digits (text + 14) * MINUTE_MS + seconds * 1000 - offset_ms;
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
    sh_report (sheet, code, row->number, column,
               "\"%.64s\" has neither Z nor an offset such as +02:00, so in "
               "the night of a clock change it can mean two moments or none",
               text);
  else
    sh_report (sheet, code, row->number, column,
               "\"%.64s\" is not a time such as 2026-12-04T22:00:00Z or "
               "2026-12-05T00:00:00+02:00",
               text);
  return FALSE;
}

/* Digits with at most as many decimals as SCALE keeps.  */
static gboolean
parse_number (const char *text, int64_t scale, int64_t *number)
{
  gboolean decimals = FALSE;
  int64_t value = 0;
  int digit_count = 0;

  for (; *text != '\0'; text++)
    {
      if (*text == '.' && !decimals && digit_count > 0 && text[1] != '\0')
        {
          decimals = TRUE;
          continue;
        }
      if (!g_ascii_isdigit (*text) || ++digit_count > 15)
        return FALSE;
      if (decimals && scale == 1)
        return FALSE;
      if (decimals)
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
    sh_report (sheet, SH_ERROR_DECIMAL_COMMA, row->number, column,
               "\"%.64s\" has a comma; decimals are written with a point and "
               "thousands without a separator",
               text);
  else if (!parse_number (text, scale, number))
    sh_report (sheet, SH_ERROR_NUMBER, row->number, column,
               "\"%.64s\" is not a %s", text,
               scale == 1 ? "whole number" : "number in this column's digits");
  else if (*number < min || *number > max)
    sh_report (sheet, SH_ERROR_RANGE, row->number, column,
               "%s is not within %" PRId64 " and %" PRId64, text, min / scale,
               max / scale);
  else
    return TRUE;
  return FALSE;
}

gboolean
sh_read_word (ShSheet *sheet, const ShRow *row, ShColumn column,
              const char *const *words, int *index)
{
  const char *text = sh_cell (row, column);
  g_autofree char *list = g_strjoinv (", ", (char **)words);

  if (*text == '\0')
    return FALSE;
  for (int i = 0; words[i] != NULL; i++)
    if (strcmp (words[i], text) == 0)
      {
        *index = i;
        return TRUE;
      }
  sh_report (sheet, SH_ERROR_WORD, row->number, column,
             "\"%.64s\" is none of %s", text, list);
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
  sh_report (sheet, SH_ERROR_NAME, row->number, column,
             "\"%.64s\" is not 1 to 63 of the characters a to z, 0 to 9 "
             "and -",
             text);
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
  if (g_hash_table_contains (sheet->defined, id))
    return TRUE;
  sh_report (sheet, SH_ERROR_REFERENCE, row->number, column,
             "there is no %s row \"%.64s\"", kind, text);
  return FALSE;
}
