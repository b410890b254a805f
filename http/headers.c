#include "http/http.h"

#include <string.h>

G_DEFINE_QUARK (ht_error, ht_error)

static const char *const hop_by_hop[] = {
  "Connection", "Keep-Alive",        "Proxy-Connection", "TE",
  "Trailer",    "Transfer-Encoding", "Upgrade",
};

HtHeaders *
ht_headers_new (void)
{
  return g_new0 (HtHeaders, 1);
}

HtHeaders *
ht_headers_copy (const HtHeaders *headers)
{
  HtHeaders *copy = ht_headers_new ();

  for (uint32_t i = 0; i < headers->count; i++)
    ht_headers_add (copy, headers->items[i].name, headers->items[i].value);
  return copy;
}

void
ht_headers_free (HtHeaders *headers)
{
  if (headers == NULL)
    return;
  for (uint32_t i = 0; i < headers->count; i++)
    g_free (headers->items[i].name);
  g_free (headers->items);
  g_free (headers);
}

/* Name and value share one allocation, which is freed through the name.  */
void
ht_headers_add (HtHeaders *headers, const char *name, const char *value)
{
  gsize name_bytes = strlen (name) + 1;
  gsize value_bytes = strlen (value) + 1;
  char *copy = g_malloc (name_bytes + value_bytes);

  memcpy (copy, name, name_bytes);
  memcpy (copy + name_bytes, value, value_bytes);
  if (headers->count == headers->capacity)
    {
      headers->capacity = MAX (8, 2 * headers->capacity);
      headers->items = g_renew (HtHeader, headers->items, headers->capacity);
    }
  headers->items[headers->count].name = copy;
  headers->items[headers->count].value = copy + name_bytes;
  headers->count++;
}

void
ht_headers_set (HtHeaders *headers, const char *name, const char *value)
{
  ht_headers_remove (headers, name);
  ht_headers_add (headers, name, value);
}

const char *
ht_headers_get (const HtHeaders *headers, const char *name)
{
  for (uint32_t i = 0; i < headers->count; i++)
    if (g_ascii_strcasecmp (headers->items[i].name, name) == 0)
      return headers->items[i].value;
  return NULL;
}

uint32_t
ht_headers_count (const HtHeaders *headers, const char *name)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < headers->count; i++)
    count += g_ascii_strcasecmp (headers->items[i].name, name) == 0;
  return count;
}

void
ht_headers_remove_at (HtHeaders *headers, uint32_t index)
{
  g_assert (index < headers->count);
  g_free (headers->items[index].name);
  headers->count--;
  memmove (&headers->items[index], &headers->items[index + 1],
           (headers->count - index) * sizeof headers->items[0]);
}

uint32_t
ht_headers_remove (HtHeaders *headers, const char *name)
{
  uint32_t removed = 0;

  for (uint32_t i = headers->count; i-- > 0;)
    if (g_ascii_strcasecmp (headers->items[i].name, name) == 0)
      {
        ht_headers_remove_at (headers, i);
        removed++;
      }
  return removed;
}

/* Calls CALLBACK for each element of the comma-separated list VALUE until it
   returns TRUE; returns whether it did.  */
static gboolean
any_list_element (const char *value,
                  gboolean (*callback) (const char *element, void *data),
                  void *data)
{
  g_auto (GStrv) elements = g_strsplit (value, ",", -1);

  for (guint i = 0; elements[i] != NULL; i++)
    if (callback (g_strstrip (elements[i]), data))
      return TRUE;
  return FALSE;
}

static gboolean
element_equals (const char *element, void *token)
{
  return g_ascii_strcasecmp (element, token) == 0;
}

static gboolean
collect_element (const char *element, void *names)
{
  if (*element != '\0')
    g_ptr_array_add (names, g_strdup (element));
  return FALSE;
}

gboolean
ht_has_token (const HtHeaders *headers, const char *name, const char *token)
{
  for (uint32_t i = 0; i < headers->count; i++)
    if (g_ascii_strcasecmp (headers->items[i].name, name) == 0
        && any_list_element (headers->items[i].value, element_equals,
                             (void *)token))
      return TRUE;
  return FALSE;
}

void
ht_remove_hop_by_hop (HtHeaders *headers)
{
  g_autoptr (GPtrArray) names = g_ptr_array_new_with_free_func (g_free);

  for (uint32_t i = 0; i < headers->count; i++)
    if (g_ascii_strcasecmp (headers->items[i].name, "Connection") == 0)
      any_list_element (headers->items[i].value, collect_element, names);
  for (guint i = 0; i < names->len; i++)
    ht_headers_remove (headers, g_ptr_array_index (names, i));
  for (guint i = 0; i < G_N_ELEMENTS (hop_by_hop); i++)
    ht_headers_remove (headers, hop_by_hop[i]);
}

const char *
ht_reason_phrase (uint32_t status)
{
  static const struct
  {
    uint32_t status;
    const char *reason;
  } reasons[] = {
    { 200, "OK" },
    { 201, "Created" },
    { 202, "Accepted" },
    { 204, "No Content" },
    { 206, "Partial Content" },
    { 301, "Moved Permanently" },
    { 302, "Found" },
    { 303, "See Other" },
    { 304, "Not Modified" },
    { 307, "Temporary Redirect" },
    { 308, "Permanent Redirect" },
    { 400, "Bad Request" },
    { 401, "Unauthorized" },
    { 403, "Forbidden" },
    { 404, "Not Found" },
    { 405, "Method Not Allowed" },
    { 408, "Request Timeout" },
    { 409, "Conflict" },
    { 410, "Gone" },
    { 412, "Precondition Failed" },
    { 413, "Content Too Large" },
    { 414, "URI Too Long" },
    { 417, "Expectation Failed" },
    { 429, "Too Many Requests" },
    { 431, "Request Header Fields Too Large" },
    { 500, "Internal Server Error" },
    { 501, "Not Implemented" },
    { 502, "Bad Gateway" },
    { 503, "Service Unavailable" },
    { 504, "Gateway Timeout" },
  };

  for (guint i = 0; i < G_N_ELEMENTS (reasons); i++)
    if (reasons[i].status == status)
      return reasons[i].reason;
  return "Status";
}
