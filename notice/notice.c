#include "notice/notice.h"

#include <math.h>
#include <string.h>

/* Parses digits with at most one decimal point.  g_ascii_strtod alone accepts
   signs, exponents, hexadecimal numbers and names of infinity, too.  */
static gboolean
parse_decimal (const char *text, double *value)
{
  char *end;

  if (text[0] == '\0' || strspn (text, "0123456789.") != strlen (text))
    return FALSE;
  *value = g_ascii_strtod (text, &end);
  return *end == '\0' && end != text && isfinite (*value);
}

static gboolean
get_decimal (const HtHeaders *headers, const char *name, double *value)
{
  return ht_headers_count (headers, name) == 1
         && parse_decimal (ht_headers_get (headers, name), value);
}

static void
read_limit (const HtHeaders *headers, const char *name, NtNotice *notice)
{
  double per_s;

  if (ht_headers_get (headers, name) == NULL)
    return;
  if (get_decimal (headers, name, &per_s) && per_s <= NT_LIMIT_MAX_PER_S)
    notice->limit_per_s = MAX (per_s, NT_LIMIT_MIN_PER_S);
  else
    notice->invalid_count++;
}

static void
read_pause (const HtHeaders *headers, const char *name, NtNotice *notice)
{
  double seconds;

  if (ht_headers_get (headers, name) == NULL)
    return;
  if (get_decimal (headers, name, &seconds) && seconds > 0)
    notice->pause_us = (int64_t)(MIN (seconds, NT_PAUSE_MAX_S) * 1e6);
  else
    notice->invalid_count++;
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
  *notice = (NtNotice){ 0 };
  read_limit (headers, names->limit, notice);
  notice->leaving = get_leaving (headers, names->leaving, notice);
  if (status == 503)
    read_pause (headers, names->pause, notice);
}
