#include <string.h>

#include "front/conn.h"

/* Larger bodies are added to the output on their own, so that the scratch
   buffer stays small.  */
#define INLINE_BODY_BYTES 4096

/* The server frames its answers itself.  */
static gboolean
is_framing (const char *name)
{
  static const char *const names[] = {
    "Content-Length", "Connection",        "Keep-Alive", "Proxy-Connection",
    "Trailer",        "Transfer-Encoding", "Upgrade",
  };

  for (guint i = 0; i < G_N_ELEMENTS (names); i++)
    if (g_ascii_strcasecmp (name, names[i]) == 0)
      return TRUE;
  return FALSE;
}

static void
append_headers (GString *out, const HtHeaders *headers)
{
  for (uint32_t i = 0; i < headers->count; i++)
    {
      const HtHeader *header = &headers->items[i];
      if (is_framing (header->name) || !ht_is_token (header->name)
          || !ht_is_value (header->value))
        continue;
      g_string_append (out, header->name);
      g_string_append (out, ": ");
      g_string_append (out, header->value);
      g_string_append (out, "\r\n");
    }
}

/* Decimal digits without the cost of a format string, for look-ups.  */
static void
append_number (GString *out, gsize number)
{
  char digits[24];
  gsize at = sizeof digits;

  do
    digits[--at] = (char)('0' + number % 10);
  while ((number /= 10) > 0);
  g_string_append_len (out, digits + at, (gssize)(sizeof digits - at));
}

/* The length that the answer to a GET would have had, if a target gave it
   for HEAD.  */
static gboolean
head_length (const FrConn *conn, const HtHeaders *headers, gsize *length)
{
  const char *text
      = headers != NULL ? ht_headers_get (headers, "Content-Length") : NULL;
  guint64 number;

  if (text == NULL || strcmp (conn->request.method, "HEAD") != 0
      || !g_ascii_string_to_unsigned (text, 10, 0, G_MAXINT64, &number, NULL))
    return FALSE;
  *length = (gsize)number;
  return TRUE;
}

static void
append_head (GString *out, const FrConn *conn, uint32_t status,
             const HtHeaders *headers, gsize body_bytes, gboolean keep)
{
  g_string_append (out, "HTTP/1.1 ");
  append_number (out, status);
  g_string_append_c (out, ' ');
  g_string_append (out, ht_reason (status));
  g_string_append (out, "\r\n");
  if (headers != NULL)
    append_headers (out, headers);
  else if (body_bytes > 0)
    g_string_append (out, "Content-Type: application/json\r\n");
  if (!ht_is_bodiless (status))
    {
      head_length (conn, headers, &body_bytes);
      g_string_append (out, "Content-Length: ");
      append_number (out, body_bytes);
      g_string_append (out, "\r\n");
    }
  if (!keep)
    g_string_append (out, "Connection: close\r\n");
  else if (conn->head.minor_version == 0)
    g_string_append (out, "Connection: keep-alive\r\n");
  g_string_append (out, "\r\n");
}

void
fr_reply (FrRequest *request, uint32_t status, const HtHeaders *headers,
          const void *body, gsize body_bytes)
{
  FrConn *conn = (FrConn *)request;
  FrServer *server = conn->server;
  GString *out = server->scratch;
  struct evbuffer *output = bufferevent_get_output (conn->bev);
  gboolean keep
      = conn->head.keep_alive && !server->stopping && !server->closing;
  gboolean sends_body = body_bytes > 0 && !ht_is_bodiless (status)
                        && strcmp (request->method, "HEAD") != 0;

  g_assert (conn->state == FR_CONN_RUNNING && !conn->closed);
  g_string_truncate (out, 0);
  append_head (out, conn, status, headers, body_bytes, keep);
  if (sends_body && body_bytes <= INLINE_BODY_BYTES)
    g_string_append_len (out, body, (gssize)body_bytes);
  evbuffer_add (output, out->str, out->len);
  if (sends_body && body_bytes > INLINE_BODY_BYTES)
    evbuffer_add (output, body, body_bytes);
  server->counters.running_count--;
  fr_conn_enter (conn, FR_CONN_ANSWERED);
  evhtp_request_set_keepalive (conn->evhtp_request, keep);
  evhtp_send_reply_end (conn->evhtp_request);
}
