#include "standin/echo.h"

#include <string.h>
#include <xxhash.h>

#define CHECKSUM_DIGITS 16
#define CHECKSUM_FORMAT "%016" G_GINT64_MODIFIER "x"

static char *
format_header_line (const char *tag, const char *request_body,
                    gsize request_bytes)
{
  guint64 checksum = XXH64 (request_body, request_bytes, 0);
  return g_strdup_printf ("tag %s body " CHECKSUM_FORMAT "\n", tag, checksum);
}

GString *
si_echo_make (const char *tag, const char *request_body, gsize request_bytes,
              gsize length_bytes)
{
  g_autofree char *header_line
      = format_header_line (tag, request_body, request_bytes);
  GString *body = g_string_new (header_line);

  while (body->len + CHECKSUM_DIGITS < length_bytes)
    g_string_append_c (body, (char)('a' + body->len % 26));
  g_string_append_printf (body, CHECKSUM_FORMAT,
                          (guint64)XXH64 (body->str, body->len, 0));
  return body;
}

gboolean
si_echo_check (const char *body, gsize length_bytes, const char *tag,
               const char *request_body, gsize request_bytes)
{
  g_autofree char *header_line
      = format_header_line (tag, request_body, request_bytes);
  g_autofree char *checksum = NULL;
  gsize checked_bytes;

  if (length_bytes < strlen (header_line) + CHECKSUM_DIGITS
      || memcmp (body, header_line, strlen (header_line)) != 0)
    return FALSE;
  checked_bytes = length_bytes - CHECKSUM_DIGITS;
  checksum = g_strdup_printf (CHECKSUM_FORMAT,
                              (guint64)XXH64 (body, checked_bytes, 0));
  return memcmp (body + checked_bytes, checksum, CHECKSUM_DIGITS) == 0;
}
