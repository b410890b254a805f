#include <string.h>

#include "front/conn.h"

/* Bodies up to this size are copied to the scratch buffer after the head.
   Larger ones are added to the output directly, which keeps the scratch buffer
   small.  */
#define INLINE_BODY_MAX_BYTES 4096

/* The server sets the framing headers of its responses itself.  */
static gboolean
is_framing_header (const char *name)
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
      if (is_framing_header (header->name) || !ht_is_token (header->name)
          || !ht_is_header_value (header->value))
        continue;
      g_string_append (out, header->name);
      g_string_append (out, ": ");
      g_string_append (out, header->value);
      g_string_append (out, "\r\n");
    }
}

/* Avoids the cost of parsing a format string, since lookups are frequent.  */
static void
append_number (GString *out, gsize number)
{
  char digits[24];
  gsize start = sizeof digits;

  do
    digits[--start] = (char)('0' + number % 10);
  while ((number /= 10) > 0);
  g_string_append_len (out, digits + start, (gssize)(sizeof digits - start));
}

/* If the request is a HEAD, sets LENGTH to the Content-Length in HEADERS,
   which is the length of the body that a GET would have returned.  Returns
   whether it did.  */
static gboolean
head_content_length (const FrConn *conn, const HtHeaders *headers,
                     gsize *length)
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
append_response_head (GString *out, const FrConn *conn, uint32_t status,
                      const HtHeaders *headers, gsize body_bytes,
                      gboolean keep_alive)
{
  g_string_append (out, "HTTP/1.1 ");
  append_number (out, status);
  g_string_append_c (out, ' ');
  g_string_append (out, ht_reason_phrase (status));
  g_string_append (out, "\r\n");
  if (headers != NULL)
    append_headers (out, headers);
  else if (body_bytes > 0)
    g_string_append (out, "Content-Type: application/json\r\n");
  if (!ht_status_has_no_body (status))
    {
      head_content_length (conn, headers, &body_bytes);
      g_string_append (out, "Content-Length: ");
      append_number (out, body_bytes);
      g_string_append (out, "\r\n");
    }
  if (!keep_alive)
    g_string_append (out, "Connection: close\r\n");
  else if (conn->head.minor_version == 0)
    g_string_append (out, "Connection: keep-alive\r\n");
  g_string_append (out, "\r\n");
}

/* When the server is stopping, requests that have already arrived are still
   answered, so only the last response closes the connection.  */
static gboolean
keeps_connection (const FrConn *conn)
{
  const FrServer *server = conn->server;

  return conn->head.keep_alive
         && ((!server->stopping && !server->keep_alive_disabled)
             || fr_conn_has_next_input (conn));
}

static void
release_block (const void *data, size_t length, void *block)
{
  (void)data;
  (void)length;
  mm_block_unref (block);
}

/* Formats the head and, where it is short, the body into the scratch buffer.
   Returns whether the body is to be sent separately.  */
static gboolean
format_response (FrConn *conn, uint32_t status, const HtHeaders *headers,
                 const void *body, gsize body_bytes, gboolean keep_alive)
{
  GString *out = conn->server->scratch;
  gboolean sends_body = body_bytes > 0 && !ht_status_has_no_body (status)
                        && strcmp (conn->request.method, "HEAD") != 0;

  g_string_truncate (out, 0);
  append_response_head (out, conn, status, headers, body_bytes, keep_alive);
  if (!sends_body)
    return FALSE;
  if (body_bytes > INLINE_BODY_MAX_BYTES)
    return TRUE;
  g_string_append_len (out, body, (gssize)body_bytes);
  return FALSE;
}

static void
end_request (FrConn *conn, gboolean keep_alive)
{
  conn->server->counters.running_count--;
  fr_conn_free_body (conn);
  fr_conn_set_state (conn, FR_CONN_RESPONDING);
  fr_conn_count_response (conn);
  fr_conn_wait_for_reader (conn);
  /* evhtp_request_set_keepalive cannot clear the flag.  */
  if (!keep_alive)
    conn->evhtp_request->flags &= (uint16_t)~EVHTP_REQ_FLAG_KEEPALIVE;
  evhtp_send_reply_end (conn->evhtp_request);
}

void
fr_respond (FrRequest *request, uint32_t status, const HtHeaders *headers,
            const void *body, gsize body_bytes)
{
  FrConn *conn = (FrConn *)request;
  struct evbuffer *output = bufferevent_get_output (conn->bev);
  const GString *out = conn->server->scratch;
  gboolean keep_alive = keeps_connection (conn);

  g_assert (conn->state == FR_CONN_RUNNING && !conn->closed);
  if (format_response (conn, status, headers, body, body_bytes, keep_alive))
    {
      evbuffer_add (output, out->str, out->len);
      evbuffer_add (output, body, body_bytes);
    }
  else
    evbuffer_add (output, out->str, out->len);
  end_request (conn, keep_alive);
}

void
fr_respond_block (FrRequest *request, uint32_t status,
                  const HtHeaders *headers, MmBlock *body)
{
  FrConn *conn = (FrConn *)request;
  struct evbuffer *output = bufferevent_get_output (conn->bev);
  const GString *out = conn->server->scratch;
  const GByteArray *bytes = mm_block_bytes (body);
  gboolean keep_alive = keeps_connection (conn);

  g_assert (conn->state == FR_CONN_RUNNING && !conn->closed);
  if (format_response (conn, status, headers, bytes->data, bytes->len,
                       keep_alive))
    {
      evbuffer_add (output, out->str, out->len);
      if (bytes->len > MM_SMALL_BYTES)
        fr_conn_hold_response (conn, bytes->len);
      evbuffer_add_reference (output, bytes->data, bytes->len, release_block,
                              mm_block_ref (body));
    }
  else
    evbuffer_add (output, out->str, out->len);
  end_request (conn, keep_alive);
}
