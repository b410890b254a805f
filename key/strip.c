#include "key/key.h"

#include <string.h>

/* Shorter keys are looked for as whole words only, since they also occur by
   chance.  */
#define SUBSTRING_MIN_BYTES 8
/* Escapes within escapes are decoded so often at most.  */
#define DECODE_MAX_COUNT 4

static const char *const credential_headers[] = {
  "authorization",
  "proxy-authorization",
  "x-api-key",
};

static const char *const credential_parameters[] = { "key", "api_key" };

/* Some targets read underscores in header names as dashes.  */
static gboolean
is_header (const char *name, const char *wanted)
{
  for (; *name != '\0' && *wanted != '\0'; name++, wanted++)
    {
      char c = *name == '_' ? '-' : g_ascii_tolower (*name);
      if (c != *wanted)
        return FALSE;
    }
  return *name == *wanted;
}

static gboolean
is_credential_header (const char *name)
{
  for (guint i = 0; i < G_N_ELEMENTS (credential_headers); i++)
    if (is_header (name, credential_headers[i]))
      return TRUE;
  return FALSE;
}

/* Replaces escapes in place, and plus signs by spaces if PLUS is set.  Invalid
   escapes and those of NUL stay.  Returns whether anything changed.  */
static gboolean
decode_once (char *text, gboolean plus)
{
  gboolean changed = FALSE;
  char *to = text;

  for (const char *from = text; *from != '\0'; from++)
    {
      int high = *from == '%' ? g_ascii_xdigit_value (from[1]) : -1;
      int low = high >= 0 ? g_ascii_xdigit_value (from[2]) : -1;
      if (low >= 0 && high + low > 0)
        {
          *to++ = (char)(16 * high + low);
          from += 2;
          changed = TRUE;
        }
      else
        *to++ = plus && *from == '+' ? ' ' : *from;
    }
  *to = '\0';
  return changed;
}

static char *
decode (const char *text, gboolean plus)
{
  char *decoded = g_strdup (text);

  for (int i = 0; i < DECODE_MAX_COUNT && decode_once (decoded, plus); i++)
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
      const char *known = g_ptr_array_index (secrets, i);
      if (strlen (known) == length && memcmp (known, text, length) == 0)
        return;
    }
  g_ptr_array_add (secrets, g_strndup (text, length));
}

/* Only what the protocol presents as a key is looked for elsewhere.  A query
   parameter named key, or the user name of another scheme, is as likely an
   ordinary word that stands in paths and cookies too.  */
static void
add_header_secrets (GPtrArray *secrets, const HtHeader *header)
{
  g_auto (GStrv) words = g_strsplit_set (header->value, " ,;", -1);
  gboolean is_key = is_header (header->name, "x-api-key");

  if (!is_key
      && (words[0] == NULL || g_ascii_strcasecmp (words[0], "Bearer") != 0))
    return;
  for (guint i = is_key ? 0 : 1; words[0] != NULL && words[i] != NULL; i++)
    add_secret (secrets, words[i], strlen (words[i]));
}

/* Whether the decoded NAME of a parameter is one for keys, in any case, with
   dashes for underscores, and with a bracketed index.  */
static gboolean
is_credential_name (char *name)
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

  return is_credential_name (name);
}

static gboolean
contains_secret (const char *text, gsize length, const char *secret)
{
  gsize secret_bytes = strlen (secret);
  const char *end = text + length;
  const char *at = text;

  while ((at = memmem (at, (gsize)(end - at), secret, secret_bytes)) != NULL)
    {
      gboolean starts = at == text || !g_ascii_isalnum (at[-1]);
      gboolean ends
          = at + secret_bytes == end || !g_ascii_isalnum (at[secret_bytes]);
      if (secret_bytes >= SUBSTRING_MIN_BYTES || (starts && ends))
        return TRUE;
      at++;
    }
  return FALSE;
}

static gboolean
contains_any (const char *text, gsize length, const GPtrArray *secrets)
{
  for (guint i = 0; i < secrets->len; i++)
    if (contains_secret (text, length, g_ptr_array_index (secrets, i)))
      return TRUE;
  return FALSE;
}

static gsize
shortest (const GPtrArray *secrets)
{
  gsize bytes = G_MAXSIZE;

  for (guint i = 0; i < secrets->len; i++)
    bytes = MIN (bytes, strlen (g_ptr_array_index (secrets, i)));
  return bytes;
}

/* Whether a run of base64, of either alphabet, holds a secret.  */
static gboolean
run_reveals (const char *run, gsize length, const GPtrArray *secrets)
{
  g_autofree char *copy = g_strndup (run, length);
  g_autofree char *padded = g_strconcat (copy, "==", NULL);
  g_autofree guchar *plain = NULL;
  gsize plain_bytes = 0;

  g_strdelimit (padded, "-", '+');
  g_strdelimit (padded, "_", '/');
  plain = g_base64_decode (padded, &plain_bytes);
  return contains_any ((const char *)plain, plain_bytes, secrets);
}

/* Decodes only runs that are long enough for a secret, since this is done for
   every header of every request with a key.  */
static gboolean
contains_encoded (const char *text, const GPtrArray *secrets)
{
  gsize least = shortest (secrets) / 3 * 4;

  for (;;)
    {
      gsize length = strcspn (text, " \t,;:.=&\"'");
      if (length >= least && run_reveals (text, length, secrets))
        return TRUE;
      text += length;
      if (*text++ == '\0')
        return FALSE;
    }
}

static gboolean
reveals (const char *text, const GPtrArray *secrets)
{
  g_autofree char *decoded = NULL;

  if (secrets->len == 0)
    return FALSE;
  if (contains_any (text, strlen (text), secrets)
      || contains_encoded (text, secrets))
    return TRUE;
  if (strchr (text, '%') == NULL)
    return FALSE;
  decoded = decode (text, FALSE);
  return contains_any (decoded, strlen (decoded), secrets)
         || contains_encoded (decoded, secrets);
}

/* Calls VISIT for each parameter with the separator before it.  */
static void
for_each_parameter (const char *query,
                    void (*visit) (const char *parameter, char separator,
                                   void *data),
                    void *data)
{
  char separator = '\0';

  for (const char *at = query;; at++)
    {
      gsize length = strcspn (at, "&;");
      g_autofree char *parameter = g_strndup (at, length);
      visit (parameter, separator, data);
      at += length;
      if (*at == '\0')
        return;
      separator = *at;
    }
}

typedef struct
{
  const GPtrArray *secrets;
  GString *kept;
  gboolean removed;
  gboolean any;
} Filter;

static void
filter_parameter (const char *parameter, char separator, void *data)
{
  Filter *filter = data;

  if (is_credential_parameter (parameter)
      || reveals (parameter, filter->secrets))
    {
      filter->removed = TRUE;
      return;
    }
  if (filter->any)
    g_string_append_c (filter->kept, separator);
  g_string_append (filter->kept, parameter);
  filter->any = TRUE;
}

static void
strip_query (char **query, const GPtrArray *secrets)
{
  Filter filter = { secrets, g_string_new (NULL), FALSE, FALSE };

  for_each_parameter (*query, filter_parameter, &filter);
  if (!filter.removed)
    {
      g_string_free (filter.kept, TRUE);
      return;
    }
  g_free (*query);
  *query = g_string_free (filter.kept, !filter.any);
}

gboolean
ky_strip (HtHeaders *headers, const char *path, char **query, GError **error)
{
  g_autoptr (GPtrArray) secrets = g_ptr_array_new_with_free_func (g_free);

  for (uint32_t i = 0; i < headers->count; i++)
    if (is_credential_header (headers->items[i].name))
      add_header_secrets (secrets, &headers->items[i]);
  if (reveals (path, secrets))
    {
      g_set_error_literal (error, KY_ERROR, KY_ERROR_PATH,
                           "the path contains a key");
      return FALSE;
    }
  for (uint32_t i = headers->count; i-- > 0;)
    if (is_credential_header (headers->items[i].name)
        || is_header (headers->items[i].name, "x-customer")
        || reveals (headers->items[i].name, secrets)
        || reveals (headers->items[i].value, secrets))
      ht_headers_remove_at (headers, i);
  if (*query != NULL)
    strip_query (query, secrets);
  return TRUE;
}
