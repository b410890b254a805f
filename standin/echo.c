#include "standin/echo.h"

#include <string.h>
#include <xxhash.h>

#define SUM_DIGITS 16
#define SUM_FORMAT "%016" G_GINT64_MODIFIER "x"

static char *
head_of (const char *tag, const char *request_body, gsize request_bytes)
{
  guint64 sum = XXH64 (request_body, request_bytes, 0);
  return g_strdup_printf ("tag %s body " SUM_FORMAT "\n", tag, sum);
}

GString *
si_echo_make (const char *tag, const char *request_body, gsize request_bytes,
              gsize length_bytes)
{
  g_autofree char *head = head_of (tag, request_body, request_bytes);
  GString *body = g_string_new (head);

  while (body->len + SUM_DIGITS < length_bytes)
    g_string_append_c (body, (char)('a' + body->len % 26));
  g_string_append_printf (body, SUM_FORMAT,
                          (guint64)XXH64 (body->str, body->len, 0));
  return body;
}

gboolean
si_echo_check (const char *body, gsize length_bytes, const char *tag,
               const char *request_body, gsize request_bytes)
{
  g_autofree char *head = head_of (tag, request_body, request_bytes);
  g_autofree char *sum = NULL;
  gsize summed_bytes;

  if (length_bytes < strlen (head) + SUM_DIGITS
      || memcmp (body, head, strlen (head)) != 0)
    return FALSE;
  summed_bytes = length_bytes - SUM_DIGITS;
  sum = g_strdup_printf (SUM_FORMAT, (guint64)XXH64 (body, summed_bytes, 0));
  return memcmp (body + summed_bytes, sum, SUM_DIGITS) == 0;
}
