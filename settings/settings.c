#include "settings/settings.h"

#include "conf/conf.h"

#include <arpa/inet.h>
#include <json-c/json.h>
#include <stddef.h>
#include <string.h>

#define DEPTH_MAX 4
#define LIST_MAX 1024

typedef struct
{
  const char *file;
  GPtrArray *problems;
} Reader;

typedef struct Field Field;

struct Field
{
  const char *name;
  gboolean optional;
  void (*read) (Reader *reader, const Field *field, struct json_object *value,
                void *slot);
  size_t offset;
  const char *const *words;
  int64_t min;
  int64_t max;
};

static const char *const policy_words[]
    = { "headroom", "nearest", "random", "least-reported", NULL };
static const char *const admission_words[] = { "lend", "split", NULL };
static const char *const log_words[]
    = { "error", "warning", "info", "debug", NULL };

static void
problem_free (void *data)
{
  SeProblem *problem = data;

  g_free (problem->message);
  g_free (problem);
}

G_GNUC_PRINTF (4, 5)
static void
report (Reader *reader, SeError code, const char *place, const char *format,
        ...)
{
  SeProblem *problem = g_new0 (SeProblem, 1);
  g_autofree char *what = NULL;
  va_list args;

  va_start (args, format);
  what = g_strdup_vprintf (format, args);
  va_end (args);
  problem->code = code;
  problem->message = g_strdup_printf ("%s: %s: %s", reader->file, place, what);
  g_ptr_array_add (reader->problems, problem);
}

gboolean
se_parse_address (const char *text, SeAddress *address)
{
  g_autofree char *ip = NULL;
  const char *colon = strrchr (text, ':');
  uint8_t number[16];
  guint64 port;

  if (colon == NULL
      || !g_ascii_string_to_unsigned (colon + 1, 10, 1, 65535, &port, NULL))
    return FALSE;
  ip = g_strndup (text, (gsize)(colon - text));
  if (ip[0] == '[' && g_str_has_suffix (ip, "]"))
    {
      ip[strlen (ip) - 1] = '\0';
      memmove (ip, ip + 1, strlen (ip));
      if (inet_pton (AF_INET6, ip, number) != 1)
        return FALSE;
    }
  else if (inet_pton (AF_INET, ip, number) != 1)
    return FALSE;
  address->ip = g_steal_pointer (&ip);
  address->port = (uint16_t)port;
  return TRUE;
}

char *
se_format_address (const SeAddress *address)
{
  gboolean ipv6 = strchr (address->ip, ':') != NULL;

  return g_strdup_printf ("%s%s%s:%u", ipv6 ? "[" : "", address->ip,
                          ipv6 ? "]" : "", address->port);
}

static void
read_name (Reader *reader, const Field *field, struct json_object *value,
           void *slot)
{
  if (!json_object_is_type (value, json_type_string))
    report (reader, SE_ERROR_TYPE, field->name, "is not a string");
  else if (!cf_is_name (json_object_get_string (value)))
    report (reader, SE_ERROR_NAME, field->name,
            "\"%.64s\" is not 1 to 63 bytes of [a-z0-9-]",
            json_object_get_string (value));
  else
    *(char **)slot = g_strdup (json_object_get_string (value));
}

static gboolean
read_address_at (Reader *reader, const char *path, struct json_object *value,
                 SeAddress *address)
{
  if (!json_object_is_type (value, json_type_string))
    {
      report (reader, SE_ERROR_TYPE, path, "is not a string");
      return FALSE;
    }
  if (!se_parse_address (json_object_get_string (value), address))
    {
      report (reader, SE_ERROR_ADDRESS, path,
              "\"%.64s\" is not an IP number and a port, such as "
              "127.0.0.1:8001",
              json_object_get_string (value));
      return FALSE;
    }
  return TRUE;
}

static void
read_address (Reader *reader, const Field *field, struct json_object *value,
              void *slot)
{
  read_address_at (reader, field->name, value, slot);
}

static void
read_addresses (Reader *reader, const Field *field, struct json_object *value,
                void *slot)
{
  GArray *list = *(GArray **)slot;

  if (!json_object_is_type (value, json_type_array))
    {
      report (reader, SE_ERROR_TYPE, field->name, "is not an array");
      return;
    }
  if (json_object_array_length (value) > LIST_MAX)
    {
      report (reader, SE_ERROR_RANGE, field->name, "has more than %d members",
              LIST_MAX);
      return;
    }
  for (size_t i = 0; i < json_object_array_length (value); i++)
    {
      g_autofree char *path = g_strdup_printf ("%s[%zu]", field->name, i);
      SeAddress address;

      if (read_address_at (reader, path, json_object_array_get_idx (value, i),
                           &address))
        g_array_append_val (list, address);
    }
}

static void
read_connect (Reader *reader, const Field *field, struct json_object *value,
              void *slot)
{
  GArray *list = *(GArray **)slot;

  if (!json_object_is_type (value, json_type_object))
    {
      report (reader, SE_ERROR_TYPE, field->name, "is not an object");
      return;
    }
  json_object_object_foreach (value, name, item)
  {
    g_autofree char *path = g_strdup_printf ("%s.%.64s", field->name, name);
    SeConnect connect = { 0 };

    if (!cf_is_name (name))
      report (reader, SE_ERROR_NAME, path,
              "the name is not 1 to 63 bytes of [a-z0-9-]");
    else if (read_address_at (reader, path, item, &connect.address))
      {
        connect.name = g_strdup (name);
        g_array_append_val (list, connect);
      }
  }
}

static void
read_word (Reader *reader, const Field *field, struct json_object *value,
           void *slot)
{
  g_autofree char *words = g_strjoinv (", ", (char **)field->words);

  if (!json_object_is_type (value, json_type_string))
    {
      report (reader, SE_ERROR_TYPE, field->name, "is not a string");
      return;
    }
  for (int i = 0; field->words[i] != NULL; i++)
    if (strcmp (field->words[i], json_object_get_string (value)) == 0)
      {
        *(int *)slot = i;
        return;
      }
  report (reader, SE_ERROR_WORD, field->name, "\"%.64s\" is none of %s",
          json_object_get_string (value), words);
}

static void
read_bool (Reader *reader, const Field *field, struct json_object *value,
           void *slot)
{
  if (!json_object_is_type (value, json_type_boolean))
    report (reader, SE_ERROR_TYPE, field->name, "is not true or false");
  else
    *(gboolean *)slot = json_object_get_boolean (value);
}

static void
read_number (Reader *reader, const Field *field, struct json_object *value,
             void *slot)
{
  int64_t number = json_object_get_int64 (value);

  if (!json_object_is_type (value, json_type_int))
    report (reader, SE_ERROR_TYPE, field->name, "is not a whole number");
  else if (number < field->min || number > field->max)
    report (reader, SE_ERROR_RANGE, field->name,
            "%" G_GINT64_FORMAT " is not within %" G_GINT64_FORMAT
            " and %" G_GINT64_FORMAT,
            number, field->min, field->max);
  else
    *(uint32_t *)slot = (uint32_t)number;
}

#define AT(field) offsetof (SeSettings, field)

static const Field fields[] = {
  { "vm", FALSE, read_name, AT (vm) },
  { "zone", FALSE, read_name, AT (zone) },
  { "region", FALSE, read_name, AT (region) },
  { "http_listen", FALSE, read_address, AT (http_listen) },
  { "peer_listen", FALSE, read_address, AT (peer_listen) },
  { "admin_listen", FALSE, read_address, AT (admin_listen) },
  { "store", FALSE, read_address, AT (store) },
  { "peers", TRUE, read_addresses, AT (peers) },
  { "peer_connect", TRUE, read_connect, AT (peer_connect) },
  { "target_connect", TRUE, read_connect, AT (target_connect) },
  { "policy", TRUE, read_word, AT (policy), policy_words },
  { "admission", TRUE, read_word, AT (admission), admission_words },
  { "log", TRUE, read_word, AT (log), log_words },
  { "trust_client_address", TRUE, read_bool, AT (trust_client_address) },
  { "drain_max_ms", TRUE, read_number, AT (drain_max_ms), NULL, 0,
    SE_DRAIN_MAX_MS },
};

static void
address_clear (void *data)
{
  g_free (((SeAddress *)data)->ip);
}

static void
connect_clear (void *data)
{
  SeConnect *connect = data;

  g_free (connect->name);
  g_free (connect->address.ip);
}

static SeSettings *
settings_new (void)
{
  SeSettings *settings = g_new0 (SeSettings, 1);

  settings->peers = g_array_new (FALSE, FALSE, sizeof (SeAddress));
  settings->peer_connect = g_array_new (FALSE, FALSE, sizeof (SeConnect));
  settings->target_connect = g_array_new (FALSE, FALSE, sizeof (SeConnect));
  g_array_set_clear_func (settings->peers, address_clear);
  g_array_set_clear_func (settings->peer_connect, connect_clear);
  g_array_set_clear_func (settings->target_connect, connect_clear);
  settings->log = SE_LOG_INFO;
  settings->drain_max_ms = SE_DRAIN_DEFAULT_MS;
  return settings;
}

void
se_free (SeSettings *settings)
{
  if (settings == NULL)
    return;
  g_free (settings->vm);
  g_free (settings->zone);
  g_free (settings->region);
  g_free (settings->http_listen.ip);
  g_free (settings->peer_listen.ip);
  g_free (settings->admin_listen.ip);
  g_free (settings->store.ip);
  g_array_unref (settings->peers);
  g_array_unref (settings->peer_connect);
  g_array_unref (settings->target_connect);
  g_free (settings);
}

static const Field *
find_field (const char *name)
{
  for (size_t i = 0; i < G_N_ELEMENTS (fields); i++)
    if (strcmp (fields[i].name, name) == 0)
      return &fields[i];
  return NULL;
}

static void
read_fields (Reader *reader, struct json_object *root, SeSettings *settings)
{
  if (!json_object_is_type (root, json_type_object))
    {
      report (reader, SE_ERROR_TYPE, "line 1", "is not an object");
      return;
    }
  json_object_object_foreach (root, name, value)
  {
    const Field *field = find_field (name);
    g_autofree char *path = g_strndup (name, CF_NAME_MAX_BYTES);

    if (field == NULL)
      report (reader, SE_ERROR_UNKNOWN, path, "there is no such field");
    else
      field->read (reader, field, value,
                   G_STRUCT_MEMBER_P (settings, field->offset));
  }
  for (size_t i = 0; i < G_N_ELEMENTS (fields); i++)
    if (!fields[i].optional
        && !json_object_object_get_ex (root, fields[i].name, NULL))
      report (reader, SE_ERROR_MISSING, fields[i].name, "is missing");
}

static gboolean
same_address (const SeAddress *a, const SeAddress *b)
{
  return a->ip != NULL && b->ip != NULL && a->port == b->port
         && strcmp (a->ip, b->ip) == 0;
}

static void
check_conflicts (Reader *reader, const SeSettings *settings)
{
  const struct
  {
    const char *name;
    const SeAddress *address;
  } own[] = {
    { "http_listen", &settings->http_listen },
    { "peer_listen", &settings->peer_listen },
    { "admin_listen", &settings->admin_listen },
    { "store", &settings->store },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (own); i++)
    for (size_t j = 0; j < i; j++)
      if (same_address (own[i].address, own[j].address))
        report (reader, SE_ERROR_CONFLICT, own[i].name,
                "is the same address as %s", own[j].name);
  for (guint i = 0; settings->vm != NULL && i < settings->peer_connect->len;
       i++)
    if (strcmp (g_array_index (settings->peer_connect, SeConnect, i).name,
                settings->vm)
        == 0)
      report (reader, SE_ERROR_CONFLICT, "peer_connect",
              "names this VM itself, \"%s\"", settings->vm);
}

static void
report_syntax (Reader *reader, const char *text, size_t at, const char *what)
{
  g_autofree char *place = NULL;
  guint line = 1;

  for (size_t i = 0; i < at; i++)
    line += text[i] == '\n';
  place = g_strdup_printf ("line %u", line);
  report (reader, SE_ERROR_SYNTAX, place, "%s", what);
}

/* json-c keeps the last of two fields of one name without a word.  */
static void
report_duplicates (Reader *reader, const char *text)
{
  g_autoptr (GHashTable) seen
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  int depth = 0;

  for (const char *at = text; *at != '\0'; at++)
    {
      const char *start = at + 1;

      if (*at == '{' || *at == '[')
        depth++;
      if (*at == '}' || *at == ']')
        depth--;
      if (*at != '"')
        continue;
      for (at = start; *at != '"'; at++)
        at += *at == '\\';
      if (depth != 1 || *(at + 1 + strspn (at + 1, " \t\r\n")) != ':')
        continue;
      g_autofree char *name = g_strndup (start, (gsize)(at - start));

      if (!g_hash_table_add (seen, g_strdup (name)))
        report (reader, SE_ERROR_CONFLICT, name, "stands twice");
    }
}

static struct json_object *
read_json (Reader *reader, const char *text, gsize length)
{
  struct json_tokener *tokener = json_tokener_new_ex (DEPTH_MAX);
  char *copy = g_malloc (length + 1);
  struct json_object *root;
  enum json_tokener_error code;

  memcpy (copy, text, length);
  copy[length] = '\0';
  cf_blank_comments (copy, length);
  json_tokener_set_flags (tokener,
                          JSON_TOKENER_STRICT | JSON_TOKENER_VALIDATE_UTF8);
  root = json_tokener_parse_ex (tokener, copy, (int)length);
  code = json_tokener_get_error (tokener);
  if (code == json_tokener_continue)
    report_syntax (reader, copy, length, "the file is cut off or empty");
  else if (code != json_tokener_success)
    report_syntax (reader, copy, json_tokener_get_parse_end (tokener),
                   json_tokener_error_desc (code));
  else
    report_duplicates (reader, copy);
  json_tokener_free (tokener);
  g_free (copy);
  return root;
}

SeSettings *
se_parse (const char *text, gsize length, const char *file,
          GPtrArray **problems)
{
  Reader reader = { file, g_ptr_array_new_with_free_func (problem_free) };
  SeSettings *settings = settings_new ();
  struct json_object *root = NULL;

  if (length > SE_FILE_MAX_BYTES)
    report (&reader, SE_ERROR_FILE, "line 1", "is longer than %d bytes",
            SE_FILE_MAX_BYTES);
  else
    root = read_json (&reader, text, length);
  if (root != NULL)
    {
      read_fields (&reader, root, settings);
      check_conflicts (&reader, settings);
    }
  json_object_put (root);
  if (reader.problems->len == 0)
    {
      g_ptr_array_unref (reader.problems);
      return settings;
    }
  se_free (settings);
  *problems = reader.problems;
  return NULL;
}

SeSettings *
se_load (const char *path, GPtrArray **problems)
{
  g_autofree char *text = NULL;
  g_autoptr (GError) error = NULL;
  gsize length;

  if (g_file_get_contents (path, &text, &length, &error))
    return se_parse (text, length, path, problems);
  Reader reader = { path, g_ptr_array_new_with_free_func (problem_free) };
  report (&reader, SE_ERROR_FILE, "cannot be read", "%s", error->message);
  *problems = reader.problems;
  return NULL;
}

const SeAddress *
se_find_connect (const GArray *connect, const char *name)
{
  for (guint i = 0; i < connect->len; i++)
    {
      const SeConnect *entry = &g_array_index (connect, SeConnect, i);

      if (strcmp (entry->name, name) == 0)
        return &entry->address;
    }
  return NULL;
}

const char *
se_policy_name (SePolicy policy)
{
  return policy_words[policy];
}

const char *
se_admission_name (SeAdmission admission)
{
  return admission_words[admission];
}
