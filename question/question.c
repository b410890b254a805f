#include "question/question.h"

#include <string.h>

G_DEFINE_QUARK (qs_error, qs_error)

/* Whether TEXT may be a word in a request head.  */
static gboolean
is_word (const char *text)
{
  for (const char *c = text; *c != '\0'; c++)
    if (*c <= ' ' || *c > '~')
      return FALSE;
  return *text != '\0';
}

static gboolean
is_path (const char *text)
{
  return *text == '/' && is_word (text);
}

static gboolean
is_method (const char *text)
{
  for (const char *c = text; *c != '\0'; c++)
    if (!g_ascii_isalpha (*c))
      return FALSE;
  return *text != '\0';
}

static gboolean
is_sha256 (const char *text)
{
  for (const char *c = text; *c != '\0'; c++)
    if (!g_ascii_isxdigit (*c))
      return FALSE;
  return strlen (text) == (gsize)2 * QS_DIGEST_BYTES;
}

/* A semicolon would end the cookie.  */
static gboolean
is_cookie_value (const char *text)
{
  return is_word (text) && strchr (text, ';') == NULL;
}

static gboolean
is_number (const char *text)
{
  return g_ascii_string_to_unsigned (text, 10, 0, G_MAXINT32, NULL, NULL);
}

static const struct
{
  const char *name;
  gboolean is_required;
  gboolean (*is_valid) (const char *text);
} parameters[] = {
  { "host", TRUE, is_word },
  { "path", TRUE, is_path },
  { "method", FALSE, is_method },
  { "key_sha256", FALSE, is_sha256 },
  { "object", FALSE, is_cookie_value },
  { "deadline_ms", FALSE, is_number },
  { "id", FALSE, is_word },
};

static gboolean
check_parameters (GHashTable *fields, GError **error)
{
  guint known_count = 0;

  for (guint i = 0; i < G_N_ELEMENTS (parameters); i++)
    {
      const char *text = g_hash_table_lookup (fields, parameters[i].name);
      if (text != NULL && strlen (text) <= QS_VALUE_MAX_BYTES
          && parameters[i].is_valid (text))
        {
          known_count++;
          continue;
        }
      if (text == NULL && !parameters[i].is_required)
        continue;
      g_set_error (error, QS_ERROR, QS_ERROR_PARAMETER,
                   text != NULL ? "invalid value of \"%s\""
                                : "\"%s\" is missing",
                   parameters[i].name);
      return FALSE;
    }
  if (known_count == g_hash_table_size (fields))
    return TRUE;
  g_set_error (error, QS_ERROR, QS_ERROR_PARAMETER, "unknown parameter");
  return FALSE;
}

static void
decode_digest (const char *text, uint8_t *digest)
{
  for (int i = 0; i < QS_DIGEST_BYTES; i++)
    digest[i] = (uint8_t)(g_ascii_xdigit_value (text[2 * i]) * 16
                          + g_ascii_xdigit_value (text[2 * i + 1]));
}

static const char *
get_or_default (GHashTable *fields, const char *name, const char *fallback)
{
  const char *text = g_hash_table_lookup (fields, name);

  return text != NULL ? text : fallback;
}

QsQuestion *
qs_parse (const char *text, GError **error)
{
  g_autoptr (GHashTable) fields = g_uri_parse_params (
      text != NULL ? text : "", -1, "&", G_URI_PARAMS_NONE, NULL);
  const char *key_sha256;
  QsQuestion *question;

  if (fields == NULL)
    {
      g_set_error (error, QS_ERROR, QS_ERROR_SYNTAX,
                   "the query string is malformed");
      return NULL;
    }
  if (!check_parameters (fields, error))
    return NULL;
  question = g_new0 (QsQuestion, 1);
  question->path_parts
      = g_strsplit (g_hash_table_lookup (fields, "path"), "?", 2);
  question->path = question->path_parts[0];
  question->query = question->path_parts[1];
  question->host = g_hash_table_lookup (fields, "host");
  question->method = get_or_default (fields, "method", "GET");
  question->object = g_hash_table_lookup (fields, "object");
  question->deadline_ms = g_hash_table_lookup (fields, "deadline_ms");
  question->id = get_or_default (fields, "id", QS_DEFAULT_ID);
  key_sha256 = g_hash_table_lookup (fields, "key_sha256");
  question->has_key = key_sha256 != NULL;
  if (key_sha256 != NULL)
    decode_digest (key_sha256, question->key_sha256);
  question->fields = g_steal_pointer (&fields);
  return question;
}

void
qs_question_free (QsQuestion *question)
{
  if (question == NULL)
    return;
  g_strfreev (question->path_parts);
  g_hash_table_unref (question->fields);
  g_free (question);
}
