#include "notice/notice.h"

#include <math.h>
#include <string.h>

/* Parses digits with at most one decimal point.  g_ascii_strtod alone accepts
   signs, exponents, hexadecimal numbers and names of infinity, too.  */
static gboolean
parse_decimal (const char *text, double max, double *value)
{
  char *end;

  if (text[0] == '\0' || strspn (text, "0123456789.") != strlen (text))
    return FALSE;
  *value = g_ascii_strtod (text, &end);
  return *end == '\0' && end != text && isfinite (*value) && *value > 0
         && *value <= max;
}

/* Returns FALSE if header NAME is missing or invalid; an invalid one is
   counted.  */
static gboolean
get_decimal (const HtHeaders *headers, const char *name, double max,
             NtNotice *notice, double *value)
{
  const char *text = ht_headers_get (headers, name);

  if (text == NULL)
    return FALSE;
  if (ht_headers_count (headers, name) == 1
      && parse_decimal (text, max, value))
    return TRUE;
  notice->invalid_count++;
  return FALSE;
}

static gboolean
get_leaving (const HtHeaders *headers, const char *name, NtNotice *notice)
{
  const char *text = ht_headers_get (headers, name);

  if (text == NULL)
    return FALSE;
  if (strcmp (text, "1") == 0 && ht_headers_count (headers, name) == 1)
    return TRUE;
  notice->invalid_count++;
  return FALSE;
}

void
nt_decode (const NtHeaderNames *names, uint32_t status,
           const HtHeaders *headers, NtNotice *notice)
{
  double value;

  *notice = (NtNotice){ 0 };
  if (get_decimal (headers, names->limit, NT_LIMIT_MAX_PER_S, notice, &value))
    notice->limit_per_s = value;
  notice->leaving = get_leaving (headers, names->leaving, notice);
  if (status == 503
      && get_decimal (headers, names->pause, NT_PAUSE_MAX_S, notice, &value))
    notice->pause_us = (int64_t)(value * 1e6);
}
