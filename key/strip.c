#include "key/key.h"

#include <string.h>

/* Shorter keys are matched as whole words only, since they also occur by
   chance in other text.  */
#define SUBSTRING_MIN_BYTES 8
/* Limits the passes over text that is percent-encoded more than once.  */
#define DECODE_PASSES_MAX 4

static const char *const credential_headers[] = {
  "authorization",
  "proxy-authorization",
  "x-api-key",
};

static const char *const credential_parameters[] = { "key", "api_key" };

/* Ignores case and treats underscores as dashes, as some targets do in header
   names.  EXPECTED is in lower case with dashes.  */
static gboolean
header_name_is (const char *name, const char *expected)
{
  for (; *name != '\0' && *expected != '\0'; name++, expected++)
    {
      char c = *name == '_' ? '-' : g_ascii_tolower (*name);
      if (c != *expected)
        return FALSE;
    }
  return *name == *expected;
}

static gboolean
is_credential_header (const char *name)
{
  for (guint i = 0; i < G_N_ELEMENTS (credential_headers); i++)
    if (header_name_is (name, credential_headers[i]))
      return TRUE;
  return FALSE;
}

/* Percent-decodes TEXT in place, and replaces plus signs by spaces if
   PLUS_IS_SPACE.  Invalid escapes and %00 are left as they are.  Returns
   whether an escape was decoded.  */
static gboolean
decode_once (char *text, gboolean plus_is_space)
{
  gboolean changed = FALSE;
  char *out = text;

  for (const char *in = text; *in != '\0'; in++)
    {
      int high = *in == '%' ? g_ascii_xdigit_value (in[1]) : -1;
      int low = high >= 0 ? g_ascii_xdigit_value (in[2]) : -1;
      if (low >= 0 && high + low > 0)
        {
          *out++ = (char)(16 * high + low);
          in += 2;
          changed = TRUE;
        }
      else
        *out++ = plus_is_space && *in == '+' ? ' ' : *in;
    }
  *out = '\0';
  return changed;
}

static char *
decode (const char *text, gboolean plus_is_space)
{
  char *decoded = g_strdup (text);

  for (int i = 0;
       i < DECODE_PASSES_MAX && decode_once (decoded, plus_is_space); i++)
    ;
  return decoded;
}

static void
add_secret (GPtrArray *secrets, const char *text, gsize length)
{
  if (length == 0)
    return;
  for (guint i = 0; i < secrets->len; i++)
    {
      const char *existing = g_ptr_array_index (secrets, i);
      if (strlen (existing) == length && memcmp (existing, text, length) == 0)
        return;
    }
  g_ptr_array_add (secrets, g_strndup (text, length));
}

/* Adds the keys in HEADER, valid or not: Bearer tokens and values of X-Api-Key
   only.  The value of a query parameter named key, or the user name of another
   authentication scheme, may be an ordinary word that also occurs in paths and
   cookies.  */
static void
add_header_secrets (GPtrArray *secrets, const HtHeader *header)
{
  g_auto (GStrv) words = g_strsplit_set (header->value, " ,;", -1);
  gboolean is_api_key_header = header_name_is (header->name, "x-api-key");

  if (!is_api_key_header
      && (words[0] == NULL || g_ascii_strcasecmp (words[0], "Bearer") != 0))
    return;
  for (guint i = is_api_key_header ? 0 : 1;
       words[0] != NULL && words[i] != NULL; i++)
    add_secret (secrets, words[i], strlen (words[i]));
}

/* Whether NAME, already decoded, names a parameter for keys.  Ignores case and
   a bracketed index, and treats dashes as underscores.  Modifies NAME.  */
static gboolean
is_credential_parameter_name (char *name)
{
  g_strstrip (name);
  name[strcspn (name, "[")] = '\0';
  g_strdelimit (name, "-", '_');
  for (guint i = 0; i < G_N_ELEMENTS (credential_parameters); i++)
    if (g_ascii_strcasecmp (name, credential_parameters[i]) == 0)
      return TRUE;
  return FALSE;
}

static gboolean
is_credential_parameter (const char *parameter)
{
  g_autofree char *raw_name = g_strndup (parameter, strcspn (parameter, "="));
  g_autofree char *name = decode (raw_name, TRUE);

  return is_credential_parameter_name (name);
}

static gboolean
contains_secret (const char *text, gsize length, const char *secret)
{
  gsize secret_bytes = strlen (secret);
  const char *end = text + length;
  const char *pos = text;

  while ((pos = memmem (pos, (gsize)(end - pos), secret, secret_bytes))
         != NULL)
    {
      gboolean at_word_start = pos == text || !g_ascii_isalnum (pos[-1]);
      gboolean at_word_end
          = pos + secret_bytes == end || !g_ascii_isalnum (pos[secret_bytes]);
      if (secret_bytes >= SUBSTRING_MIN_BYTES
          || (at_word_start && at_word_end))
        return TRUE;
      pos++;
    }
  return FALSE;
}

static gboolean
contains_any_secret (const char *text, gsize length, const GPtrArray *secrets)
{
  for (guint i = 0; i < secrets->len; i++)
    if (contains_secret (text, length, g_ptr_array_index (secrets, i)))
      return TRUE;
  return FALSE;
}

static gsize
shortest_secret_bytes (const GPtrArray *secrets)
{
  gsize bytes = G_MAXSIZE;

  for (guint i = 0; i < secrets->len; i++)
    bytes = MIN (bytes, strlen (g_ptr_array_index (secrets, i)));
  return bytes;
}

/* Whether RUN, base64 without padding in the standard or the URL-safe
   alphabet, contains a secret after decoding.  */
static gboolean
base64_contains_secret (const char *run, gsize length,
                        const GPtrArray *secrets)
{
  g_autofree char *copy = g_strndup (run, length);
  g_autofree char *padded = g_strconcat (copy, "==", NULL);
  g_autofree guchar *decoded = NULL;
  gsize decoded_bytes = 0;

  g_strdelimit (padded, "-", '+');
  g_strdelimit (padded, "_", '/');
  decoded = g_base64_decode (padded, &decoded_bytes);
  return contains_any_secret ((const char *)decoded, decoded_bytes, secrets);
}

/* Checks each run of TEXT between separators.  Decodes only runs that are long
   enough to contain a secret, to save time: every header of every request with
   a key is checked.  */
static gboolean
contains_base64_secret (const char *text, const GPtrArray *secrets)
{
  gsize run_min_bytes = shortest_secret_bytes (secrets) / 3 * 4;

  for (;;)
    {
      gsize length = strcspn (text, " \t,;:.=&\"'");
      if (length >= run_min_bytes
          && base64_contains_secret (text, length, secrets))
        return TRUE;
      text += length;
      if (*text++ == '\0')
        return FALSE;
    }
}

/* Whether TEXT contains a secret: plain, percent-encoded or in base64.  */
static gboolean
leaks_secret (const char *text, const GPtrArray *secrets)
{
  g_autofree char *decoded = NULL;

  if (secrets->len == 0)
    return FALSE;
  if (contains_any_secret (text, strlen (text), secrets)
      || contains_base64_secret (text, secrets))
    return TRUE;
  if (strchr (text, '%') == NULL)
    return FALSE;
  decoded = decode (text, FALSE);
  return contains_any_secret (decoded, strlen (decoded), secrets)
         || contains_base64_secret (decoded, secrets);
}

/* Calls CALLBACK for each parameter with the separator before it, which is NUL
   for the first one.  */
static void
for_each_parameter (const char *query,
                    void (*callback) (const char *parameter, char separator,
                                      void *data),
                    void *data)
{
  char separator = '\0';

  for (const char *pos = query;; pos++)
    {
      gsize length = strcspn (pos, "&;");
      g_autofree char *parameter = g_strndup (pos, length);
      callback (parameter, separator, data);
      pos += length;
      if (*pos == '\0')
        return;
      separator = *pos;
    }
}

typedef struct
{
  const GPtrArray *secrets;
  GString *kept;
  gboolean removed;
  gboolean has_kept;
} QueryFilter;

static void
filter_parameter (const char *parameter, char separator, void *data)
{
  QueryFilter *filter = data;

  if (is_credential_parameter (parameter)
      || leaks_secret (parameter, filter->secrets))
    {
      filter->removed = TRUE;
      return;
    }
  if (filter->has_kept)
    g_string_append_c (filter->kept, separator);
  g_string_append (filter->kept, parameter);
  filter->has_kept = TRUE;
}

static void
strip_query (char **query, const GPtrArray *secrets)
{
  QueryFilter filter = { secrets, g_string_new (NULL), FALSE, FALSE };

  for_each_parameter (*query, filter_parameter, &filter);
  if (!filter.removed)
    {
      g_string_free (filter.kept, TRUE);
      return;
    }
  g_free (*query);
  *query = g_string_free (filter.kept, !filter.has_kept);
}

gboolean
ky_strip (HtHeaders *headers, const char *path, char **query, GError **error)
{
  g_autoptr (GPtrArray) secrets = g_ptr_array_new_with_free_func (g_free);

  for (uint32_t i = 0; i < headers->count; i++)
    if (is_credential_header (headers->items[i].name))
      add_header_secrets (secrets, &headers->items[i]);
  if (leaks_secret (path, secrets))
    {
      g_set_error_literal (error, KY_ERROR, KY_ERROR_KEY_IN_PATH,
                           "the path contains a key");
      return FALSE;
    }
  for (uint32_t i = headers->count; i-- > 0;)
    if (is_credential_header (headers->items[i].name)
        || header_name_is (headers->items[i].name, "x-customer")
        || leaks_secret (headers->items[i].name, secrets)
        || leaks_secret (headers->items[i].value, secrets))
      ht_headers_remove_at (headers, i);
  if (*query != NULL)
    strip_query (query, secrets);
  return TRUE;
}
