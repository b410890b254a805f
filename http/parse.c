#include "http/http.h"

#include <string.h>

static const char *const methods[] = {
  "GET", "HEAD", "POST", "PUT", "DELETE", "PATCH", "OPTIONS",
};

/* The bytes from AT up to, but not including, END.  */
typedef struct
{
  const char *at;
  const char *end;
} Span;

static gboolean
is_token_byte (unsigned char c)
{
  return g_ascii_isalnum (c) || (c != '\0' && strchr ("!#$%&'*+-.^_`|~", c));
}

/* Visible ASCII, space, tab and bytes above ASCII.  */
static gboolean
is_value_byte (unsigned char c)
{
  return c == '\t' || (c >= ' ' && c != 0x7f);
}

gboolean
ht_is_token (const char *text)
{
  if (*text == '\0')
    return FALSE;
  for (; *text != '\0'; text++)
    if (!is_token_byte ((unsigned char)*text))
      return FALSE;
  return TRUE;
}

gboolean
ht_is_header_value (const char *text)
{
  for (; *text != '\0'; text++)
    if (!is_value_byte ((unsigned char)*text))
      return FALSE;
  return TRUE;
}

gboolean
ht_status_has_no_body (uint32_t status)
{
  return status < 200 || status == 204 || status == 304;
}

gsize
ht_head_length (const char *bytes, gsize length, gsize searched_bytes)
{
  gsize from = searched_bytes > 3 ? searched_bytes - 3 : 0;
  const char *end = length > from
                        ? memmem (bytes + from, length - from, "\r\n\r\n", 4)
                        : NULL;

  return end != NULL ? (gsize)(end - bytes) + 4 : 0;
}

/* Removes the next line from REST and stores it in LINE without its CRLF.  A
   bare CR or LF stays in LINE and is rejected later as an invalid byte.  */
static gboolean
next_line (Span *rest, Span *line)
{
  const char *end
      = memmem (rest->at, (gsize)(rest->end - rest->at), "\r\n", 2);

  if (end == NULL)
    return FALSE;
  line->at = rest->at;
  line->end = end;
  rest->at = end + 2;
  return TRUE;
}

static gboolean
set_error (GError **error, HtError code, const char *message)
{
  g_set_error_literal (error, HT_ERROR, code, message);
  return FALSE;
}

static gboolean
parse_header (Span line, HtHeaders *headers, GError **error)
{
  const char *colon = memchr (line.at, ':', (gsize)(line.end - line.at));
  char text[HT_HEAD_MAX_BYTES + 2];
  gsize name_bytes;
  gsize value_bytes;
  const char *value;

  if (headers->count == HT_HEADERS_MAX_COUNT)
    return set_error (error, HT_ERROR_LIMIT, "more than 100 headers");
  if (colon == NULL || colon == line.at)
    return set_error (error, HT_ERROR_SYNTAX, "a header line has no name");
  for (const char *p = line.at; p < colon; p++)
    if (!is_token_byte ((unsigned char)*p))
      return set_error (error, HT_ERROR_SYNTAX,
                        "a header name has an invalid byte");
  value = colon + 1;
  while (value < line.end && (*value == ' ' || *value == '\t'))
    value++;
  while (line.end > value && (line.end[-1] == ' ' || line.end[-1] == '\t'))
    line.end--;
  for (const char *p = value; p < line.end; p++)
    if (!is_value_byte ((unsigned char)*p))
      return set_error (error, HT_ERROR_SYNTAX,
                        "a header value has an invalid byte");
  name_bytes = (gsize)(colon - line.at);
  value_bytes = (gsize)(line.end - value);
  memcpy (text, line.at, name_bytes);
  text[name_bytes] = '\0';
  memcpy (text + name_bytes + 1, value, value_bytes);
  text[name_bytes + 1 + value_bytes] = '\0';
  ht_headers_add (headers, text, text + name_bytes + 1);
  return TRUE;
}

static gboolean
parse_headers (Span rest, HtHeaders *headers, GError **error)
{
  Span line;

  while (next_line (&rest, &line))
    {
      if (line.at == line.end)
        return rest.at == rest.end
               || set_error (error, HT_ERROR_SYNTAX, "bytes follow the head");
      if (!parse_header (line, headers, error))
        return FALSE;
    }
  return set_error (error, HT_ERROR_SYNTAX,
                    "the head does not end with an empty line");
}

/* Accepts up to 18 digits, which cannot overflow, and nothing else.  */
static gboolean
parse_length (const char *text, uint64_t *length)
{
  gsize digits = strspn (text, "0123456789");

  if (digits == 0 || digits > 18 || text[digits] != '\0')
    return FALSE;
  *length = g_ascii_strtoull (text, NULL, 10);
  return TRUE;
}

static gboolean
set_framing (HtHead *head, HtBodyFraming default_framing, GError **error)
{
  uint32_t length_count = ht_headers_count (head->headers, "Content-Length");
  uint32_t coding_count
      = ht_headers_count (head->headers, "Transfer-Encoding");

  head->body_framing = default_framing;
  if (coding_count > 1 || length_count > 1
      || (coding_count > 0 && length_count > 0))
    return set_error (error, HT_ERROR_FRAMING,
                      "several headers give the length of the body");
  if (coding_count == 1)
    {
      if (head->minor_version == 0
          || g_ascii_strcasecmp (
                 ht_headers_get (head->headers, "Transfer-Encoding"),
                 "chunked")
                 != 0)
        return set_error (error, HT_ERROR_FRAMING,
                          "the transfer encoding is not chunked in HTTP/1.1");
      head->body_framing = HT_BODY_CHUNKED;
    }
  if (length_count == 1)
    {
      if (!parse_length (ht_headers_get (head->headers, "Content-Length"),
                         &head->content_length_bytes))
        return set_error (error, HT_ERROR_FRAMING,
                          "Content-Length is not a number of up to 18 digits");
      head->body_framing = HT_BODY_LENGTH;
    }
  return TRUE;
}

static void
set_keep_alive (HtHead *head)
{
  head->keep_alive
      = !ht_has_token (head->headers, "Connection", "close")
        && (head->minor_version == 1
            || ht_has_token (head->headers, "Connection", "keep-alive"));
}

/* Parses the 8 bytes at TEXT, "HTTP/1.0" or "HTTP/1.1".  */
static gboolean
parse_version (const char *text, HtHead *head, GError **error)
{
  if (memcmp (text, "HTTP/1.", 7) != 0 || (text[7] != '0' && text[7] != '1'))
    return set_error (error, HT_ERROR_VERSION,
                      "the version is not HTTP/1.0 or HTTP/1.1");
  head->minor_version = (uint32_t)(text[7] - '0');
  return TRUE;
}

static gboolean
parse_method (Span text, HtHead *head, GError **error)
{
  gsize length = (gsize)(text.end - text.at);

  for (guint i = 0; i < G_N_ELEMENTS (methods); i++)
    if (strlen (methods[i]) == length
        && memcmp (methods[i], text.at, length) == 0)
      {
        head->method = g_strdup (methods[i]);
        return TRUE;
      }
  return set_error (error, HT_ERROR_METHOD, "the method is not supported");
}

/* Decodes the byte at *P, which may be percent-encoded, and advances *P past
   it; returns -1 for an invalid escape.  */
static int
decode_byte (const char **p, const char *end)
{
  const char *at = *p;

  if (*at != '%')
    {
      *p = at + 1;
      return (unsigned char)*at;
    }
  if (end - at < 3 || !g_ascii_isxdigit (at[1]) || !g_ascii_isxdigit (at[2]))
    return -1;
  *p = at + 3;
  return 16 * g_ascii_xdigit_value (at[1]) + g_ascii_xdigit_value (at[2]);
}

/* Rejects invalid escapes, "%00" and dot segments, also percent-encoded ones:
   a target may resolve dot segments and then run the request under another
   route than the one that it was admitted for.  */
static gboolean
check_path (Span text)
{
  const char *path_end = memchr (text.at, '?', (gsize)(text.end - text.at));
  const char *p = text.at;
  int dot_count = 0;
  int other_count = 1;

  if (path_end == NULL)
    path_end = text.end;
  while (p < path_end)
    {
      int c = decode_byte (&p, path_end);

      if (c <= 0)
        return FALSE;
      if (c != '/' && c != '\\')
        {
          dot_count += c == '.';
          other_count += c != '.';
          continue;
        }
      if (other_count == 0 && (dot_count == 1 || dot_count == 2))
        return FALSE;
      dot_count = other_count = 0;
    }
  return other_count != 0 || (dot_count != 1 && dot_count != 2);
}

/* Accepts only the origin form, which has no fragment.  A backslash is
   rejected because some targets read it as a slash and others don't.  */
static gboolean
parse_request_target (Span text, HtHead *head, GError **error)
{
  gsize length = (gsize)(text.end - text.at);

  if (length > HT_REQUEST_TARGET_MAX_BYTES)
    return set_error (error, HT_ERROR_LIMIT,
                      "the request target is longer than 8 KB");
  if (length == 0 || *text.at != '/')
    return set_error (error, HT_ERROR_REQUEST_TARGET,
                      "the request target does not start with a slash");
  for (const char *p = text.at; p < text.end; p++)
    if (*p <= ' ' || *p >= 0x7f || strchr ("#\\\"<>", *p) != NULL)
      return set_error (error, HT_ERROR_REQUEST_TARGET,
                        "the request target has an invalid byte");
  if (!check_path (text))
    return set_error (error, HT_ERROR_REQUEST_TARGET,
                      "the path has dot segments or an invalid escape");
  head->request_target = g_strndup (text.at, length);
  return TRUE;
}

static gboolean
parse_request_line (Span line, HtHead *head, GError **error)
{
  gsize length = (gsize)(line.end - line.at);
  const char *first = memchr (line.at, ' ', length);
  const char *last = memrchr (line.at, ' ', length);

  if (first == NULL || first == last)
    return set_error (error, HT_ERROR_SYNTAX,
                      "the request line does not have 3 parts");
  if (line.end - last != 9)
    return set_error (error, HT_ERROR_VERSION,
                      "the version is not HTTP/1.0 or HTTP/1.1");
  return parse_version (last + 1, head, error)
         && parse_method ((Span){ line.at, first }, head, error)
         && parse_request_target ((Span){ first + 1, last }, head, error);
}

/* Checks for a host name or IP address with an optional port.  */
static gboolean
check_host (const HtHeaders *headers, GError **error)
{
  const char *host = ht_headers_get (headers, "Host");

  if (ht_headers_count (headers, "Host") != 1)
    return set_error (error, HT_ERROR_HOST,
                      "the request does not have exactly one Host");
  if (*host == '\0')
    return set_error (error, HT_ERROR_HOST, "Host is empty");
  for (; *host != '\0'; host++)
    if (!g_ascii_isalnum (*host) && strchr ("-._~%:[]", *host) == NULL)
      return set_error (error, HT_ERROR_HOST, "Host has an invalid byte");
  return TRUE;
}

static gboolean
parse_request (const char *bytes, gsize length, gboolean host_required,
               HtHead *head, GError **error)
{
  Span rest = { bytes, bytes + length };
  Span line;

  memset (head, 0, sizeof *head);
  head->headers = ht_headers_new ();
  if (length > HT_HEAD_MAX_BYTES)
    return set_error (error, HT_ERROR_LIMIT, "the head is longer than 16 KB");
  if (!next_line (&rest, &line))
    return set_error (error, HT_ERROR_SYNTAX,
                      "the head does not end with an empty line");
  if (!parse_request_line (line, head, error)
      || !parse_headers (rest, head->headers, error)
      || ((host_required || ht_headers_get (head->headers, "Host") != NULL)
          && !check_host (head->headers, error))
      || !set_framing (head, HT_BODY_NONE, error))
    return FALSE;
  set_keep_alive (head);
  return TRUE;
}

gboolean
ht_parse_request (const char *bytes, gsize length, HtHead *head,
                  GError **error)
{
  return parse_request (bytes, length, TRUE, head, error);
}

gboolean
ht_parse_request_host_optional (const char *bytes, gsize length, HtHead *head,
                                GError **error)
{
  return parse_request (bytes, length, FALSE, head, error);
}

static gboolean
parse_status_line (Span line, HtHead *head, GError **error)
{
  /* "HTTP/1.1 200" and, after a space, a reason phrase, which may be
     empty.  */
  if (line.end - line.at < 12)
    return set_error (error, HT_ERROR_SYNTAX, "the status line is too short");
  if (!parse_version (line.at, head, error))
    return FALSE;
  if (line.at[8] != ' ' || (line.end - line.at > 12 && line.at[12] != ' '))
    return set_error (error, HT_ERROR_SYNTAX,
                      "the status line does not have 3 parts");
  for (int i = 9; i < 12; i++)
    {
      if (!g_ascii_isdigit (line.at[i]))
        return set_error (error, HT_ERROR_SYNTAX,
                          "the status code is not a number");
      head->status = 10 * head->status + (uint32_t)(line.at[i] - '0');
    }
  for (const char *p = line.at + 12; p < line.end; p++)
    if (!is_value_byte ((unsigned char)*p))
      return set_error (error, HT_ERROR_SYNTAX,
                        "the reason phrase has an invalid byte");
  if (head->status < 100 || head->status > 599)
    return set_error (error, HT_ERROR_SYNTAX,
                      "the status code is not in 100 to 599");
  return TRUE;
}

gboolean
ht_parse_response (const char *bytes, gsize length, const char *request_method,
                   HtHead *head, GError **error)
{
  Span rest = { bytes, bytes + length };
  Span line;

  memset (head, 0, sizeof *head);
  head->headers = ht_headers_new ();
  if (length > HT_HEAD_MAX_BYTES)
    return set_error (error, HT_ERROR_LIMIT, "the head is longer than 16 KB");
  if (!next_line (&rest, &line))
    return set_error (error, HT_ERROR_SYNTAX,
                      "the head does not end with an empty line");
  if (!parse_status_line (line, head, error)
      || !parse_headers (rest, head->headers, error)
      || !set_framing (head, HT_BODY_CLOSE, error))
    return FALSE;
  set_keep_alive (head);
  if (ht_status_has_no_body (head->status)
      || strcmp (request_method, "HEAD") == 0)
    head->body_framing = HT_BODY_NONE;
  return TRUE;
}

void
ht_head_clear (HtHead *head)
{
  g_clear_pointer (&head->method, g_free);
  g_clear_pointer (&head->request_target, g_free);
  g_clear_pointer (&head->headers, ht_headers_free);
}
