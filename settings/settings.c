#include "settings/settings.h"

#include "conf/conf.h"

#include <arpa/inet.h>
#include <json-c/json.h>
#include <stddef.h>
#include <string.h>

#define JSON_DEPTH_MAX 4
#define ADDRESSES_MAX 1024

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
                void *member);
  size_t offset;               /* of the member of SeSettings */
  const char *const *keywords; /* for read_keyword, ends with NULL */
  int64_t min;                 /* for read_number */
  int64_t max;                 /* for read_number */
};

/* The enum values of settings.h index these arrays.  */
static const char *const policy_keywords[]
    = { "headroom", "nearest", "random", "least-reported", NULL };
static const char *const admission_keywords[] = { "lend", "split", NULL };
static const char *const log_keywords[]
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
report_problem (Reader *reader, SeError code, const char *location,
                const char *format, ...)
{
  SeProblem *problem = g_new0 (SeProblem, 1);
  g_autofree char *detail = NULL;
  va_list args;

  va_start (args, format);
  detail = g_strdup_vprintf (format, args);
  va_end (args);
  problem->code = code;
  problem->message
      = g_strdup_printf ("%s: %s: %s", reader->file, location, detail);
  g_ptr_array_add (reader->problems, problem);
}

gboolean
se_parse_address (const char *text, SeAddress *address)
{
  g_autofree char *ip = NULL;
  const char *colon = strrchr (text, ':');
  uint8_t binary[16];
  guint64 port;

  if (colon == NULL
      || !g_ascii_string_to_unsigned (colon + 1, 10, 1, 65535, &port, NULL))
    return FALSE;
  ip = g_strndup (text, (gsize)(colon - text));
  if (ip[0] == '[' && g_str_has_suffix (ip, "]"))
    {
      ip[strlen (ip) - 1] = '\0';
      memmove (ip, ip + 1, strlen (ip));
      if (inet_pton (AF_INET6, ip, binary) != 1)
        return FALSE;
    }
  else if (inet_pton (AF_INET, ip, binary) != 1)
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
           void *member)
{
  if (!json_object_is_type (value, json_type_string))
    report_problem (reader, SE_ERROR_TYPE, field->name, "is not a string");
  else if (!cf_is_name (json_object_get_string (value)))
    report_problem (reader, SE_ERROR_NAME, field->name,
                    "\"%.64s\" is not 1 to 63 bytes of [a-z0-9-]",
                    json_object_get_string (value));
  else
    *(char **)member = g_strdup (json_object_get_string (value));
}

static gboolean
read_address_at (Reader *reader, const char *path, struct json_object *value,
                 SeAddress *address)
{
  if (!json_object_is_type (value, json_type_string))
    {
      report_problem (reader, SE_ERROR_TYPE, path, "is not a string");
      return FALSE;
    }
  if (!se_parse_address (json_object_get_string (value), address))
    {
      report_problem (reader, SE_ERROR_ADDRESS, path,
                      "\"%.64s\" is not an IP address and a port, such as "
                      "127.0.0.1:8001",
                      json_object_get_string (value));
      return FALSE;
    }
  return TRUE;
}

static void
read_address (Reader *reader, const Field *field, struct json_object *value,
              void *member)
{
  read_address_at (reader, field->name, value, member);
}

static void
read_addresses (Reader *reader, const Field *field, struct json_object *value,
                void *member)
{
  GArray *list = *(GArray **)member;

  if (!json_object_is_type (value, json_type_array))
    {
      report_problem (reader, SE_ERROR_TYPE, field->name, "is not an array");
      return;
    }
  if (json_object_array_length (value) > ADDRESSES_MAX)
    {
      report_problem (reader, SE_ERROR_RANGE, field->name,
                      "has more than %d addresses", ADDRESSES_MAX);
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
read_overrides (Reader *reader, const Field *field, struct json_object *value,
                void *member)
{
  GArray *list = *(GArray **)member;

  if (!json_object_is_type (value, json_type_object))
    {
      report_problem (reader, SE_ERROR_TYPE, field->name, "is not an object");
      return;
    }
  json_object_object_foreach (value, name, item)
  {
    g_autofree char *path = g_strdup_printf ("%s.%.64s", field->name, name);
    SeAddressOverride override = { 0 };

    if (!cf_is_name (name))
      report_problem (reader, SE_ERROR_NAME, path,
                      "the name is not 1 to 63 bytes of [a-z0-9-]");
    else if (read_address_at (reader, path, item, &override.address))
      {
        override.name = g_strdup (name);
        g_array_append_val (list, override);
      }
  }
}

static void
read_keyword (Reader *reader, const Field *field, struct json_object *value,
              void *member)
{
  g_autofree char *keywords = g_strjoinv (", ", (char **)field->keywords);

  if (!json_object_is_type (value, json_type_string))
    {
      report_problem (reader, SE_ERROR_TYPE, field->name, "is not a string");
      return;
    }
  for (int i = 0; field->keywords[i] != NULL; i++)
    if (strcmp (field->keywords[i], json_object_get_string (value)) == 0)
      {
        *(int *)member = i;
        return;
      }
  report_problem (reader, SE_ERROR_KEYWORD, field->name,
                  "\"%.64s\" is not one of %s", json_object_get_string (value),
                  keywords);
}

static void
read_bool (Reader *reader, const Field *field, struct json_object *value,
           void *member)
{
  if (!json_object_is_type (value, json_type_boolean))
    report_problem (reader, SE_ERROR_TYPE, field->name,
                    "is not true or false");
  else
    *(gboolean *)member = json_object_get_boolean (value);
}

static void
read_number (Reader *reader, const Field *field, struct json_object *value,
             void *member)
{
  int64_t number = json_object_get_int64 (value);

  if (!json_object_is_type (value, json_type_int))
    report_problem (reader, SE_ERROR_TYPE, field->name,
                    "is not a whole number");
  else if (number < field->min || number > field->max)
    report_problem (reader, SE_ERROR_RANGE, field->name,
                    "%" G_GINT64_FORMAT
                    " is not in the range %" G_GINT64_FORMAT
                    " to %" G_GINT64_FORMAT,
                    number, field->min, field->max);
  else
    *(uint32_t *)member = (uint32_t)number;
}

#define MEMBER_OFFSET(field) offsetof (SeSettings, field)

static const Field fields[] = {
  { "vm", FALSE, read_name, MEMBER_OFFSET (vm) },
  { "zone", FALSE, read_name, MEMBER_OFFSET (zone) },
  { "region", FALSE, read_name, MEMBER_OFFSET (region) },
  { "http_listen", FALSE, read_address, MEMBER_OFFSET (http_listen) },
  { "peer_listen", FALSE, read_address, MEMBER_OFFSET (peer_listen) },
  { "admin_listen", FALSE, read_address, MEMBER_OFFSET (admin_listen) },
  { "store", FALSE, read_address, MEMBER_OFFSET (store) },
  { "peers", TRUE, read_addresses, MEMBER_OFFSET (peers) },
  { "peer_connect", TRUE, read_overrides, MEMBER_OFFSET (peer_connect) },
  { "target_connect", TRUE, read_overrides, MEMBER_OFFSET (target_connect) },
  { "policy", TRUE, read_keyword, MEMBER_OFFSET (policy), policy_keywords },
  { "admission", TRUE, read_keyword, MEMBER_OFFSET (admission),
    admission_keywords },
  { "log", TRUE, read_keyword, MEMBER_OFFSET (log), log_keywords },
  { "trust_client_address", TRUE, read_bool,
    MEMBER_OFFSET (trust_client_address) },
  { "drain_max_ms", TRUE, read_number, MEMBER_OFFSET (drain_max_ms), NULL, 0,
    SE_DRAIN_MAX_MS },
  { "memory_mb", TRUE, read_number, MEMBER_OFFSET (memory_mib), NULL,
    SE_MEMORY_MIN_MIB, G_MAXINT32 },
  { "connections_max", TRUE, read_number, MEMBER_OFFSET (connections_max),
    NULL, 1, SE_CONNECTIONS_MAX },
  { "connections_per_address_max", TRUE, read_number,
    MEMBER_OFFSET (per_address_max), NULL, 1, SE_CONNECTIONS_MAX },
  { "peer_connections_max", TRUE, read_number, MEMBER_OFFSET (peers_max), NULL,
    SE_PEERS_MIN, SE_CONNECTIONS_MAX },
};

static void
address_clear (void *data)
{
  g_free (((SeAddress *)data)->ip);
}

static void
override_clear (void *data)
{
  SeAddressOverride *override = data;

  g_free (override->name);
  g_free (override->address.ip);
}

static SeSettings *
settings_new (void)
{
  SeSettings *settings = g_new0 (SeSettings, 1);

  settings->peers = g_array_new (FALSE, FALSE, sizeof (SeAddress));
  settings->peer_connect
      = g_array_new (FALSE, FALSE, sizeof (SeAddressOverride));
  settings->target_connect
      = g_array_new (FALSE, FALSE, sizeof (SeAddressOverride));
  g_array_set_clear_func (settings->peers, address_clear);
  g_array_set_clear_func (settings->peer_connect, override_clear);
  g_array_set_clear_func (settings->target_connect, override_clear);
  settings->log = SE_LOG_INFO;
  settings->drain_max_ms = SE_DRAIN_DEFAULT_MS;
  settings->memory_mib = SE_MEMORY_DEFAULT_MIB;
  settings->connections_max = SE_CONNECTIONS_DEFAULT;
  settings->peers_max = SE_PEERS_DEFAULT;
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
      report_problem (reader, SE_ERROR_TYPE, "line 1", "is not an object");
      return;
    }
  json_object_object_foreach (root, name, value)
  {
    const Field *field = find_field (name);
    g_autofree char *path = g_strndup (name, CF_NAME_MAX_BYTES);

    if (field == NULL)
      report_problem (reader, SE_ERROR_UNKNOWN, path,
                      "there is no such field");
    else
      field->read (reader, field, value,
                   G_STRUCT_MEMBER_P (settings, field->offset));
  }
  for (size_t i = 0; i < G_N_ELEMENTS (fields); i++)
    if (!fields[i].optional
        && !json_object_object_get_ex (root, fields[i].name, NULL))
      report_problem (reader, SE_ERROR_MISSING, fields[i].name, "is missing");
}

static gboolean
addresses_equal (const SeAddress *a, const SeAddress *b)
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
  } addresses[] = {
    { "http_listen", &settings->http_listen },
    { "peer_listen", &settings->peer_listen },
    { "admin_listen", &settings->admin_listen },
    { "store", &settings->store },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (addresses); i++)
    for (size_t j = 0; j < i; j++)
      if (addresses_equal (addresses[i].address, addresses[j].address))
        report_problem (reader, SE_ERROR_CONFLICT, addresses[i].name,
                        "is the same address as %s", addresses[j].name);
  for (guint i = 0; settings->vm != NULL && i < settings->peer_connect->len;
       i++)
    if (strcmp (
            g_array_index (settings->peer_connect, SeAddressOverride, i).name,
            settings->vm)
        == 0)
      report_problem (reader, SE_ERROR_CONFLICT, "peer_connect",
                      "names this VM, \"%s\"", settings->vm);
}

static void
report_syntax_problem (Reader *reader, const char *text, size_t offset,
                       const char *detail)
{
  g_autofree char *location = NULL;
  guint line = 1;

  for (size_t i = 0; i < offset; i++)
    line += text[i] == '\n';
  location = g_strdup_printf ("line %u", line);
  report_problem (reader, SE_ERROR_SYNTAX, location, "%s", detail);
}

/* Reports names that occur more than once in the outermost object.  Searches
   TEXT, which is valid JSON, because json-c silently keeps only the last of
   several fields of the same name.  */
static void
report_duplicate_fields (Reader *reader, const char *text)
{
  g_autoptr (GHashTable) names
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  int depth = 0;

  for (const char *p = text; *p != '\0'; p++)
    {
      const char *start = p + 1;

      if (*p == '{' || *p == '[')
        depth++;
      if (*p == '}' || *p == ']')
        depth--;
      if (*p != '"')
        continue;
      for (p = start; *p != '"'; p++)
        p += *p == '\\';
      if (depth != 1 || *(p + 1 + strspn (p + 1, " \t\r\n")) != ':')
        continue;
      g_autofree char *name = g_strndup (start, (gsize)(p - start));

      if (!g_hash_table_add (names, g_strdup (name)))
        report_problem (reader, SE_ERROR_CONFLICT, name,
                        "occurs more than once");
    }
}

static struct json_object *
read_json (Reader *reader, const char *text, gsize length)
{
  struct json_tokener *tokener = json_tokener_new_ex (JSON_DEPTH_MAX);
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
    report_syntax_problem (reader, copy, length,
                           "the file is truncated or empty");
  else if (code != json_tokener_success)
    report_syntax_problem (reader, copy, json_tokener_get_parse_end (tokener),
                           json_tokener_error_desc (code));
  else
    report_duplicate_fields (reader, copy);
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
    report_problem (&reader, SE_ERROR_FILE, "line 1",
                    "is longer than %d bytes", SE_FILE_MAX_BYTES);
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
  report_problem (&reader, SE_ERROR_FILE, "cannot be read", "%s",
                  error->message);
  *problems = reader.problems;
  return NULL;
}

const SeAddress *
se_find_override (const GArray *overrides, const char *name)
{
  for (guint i = 0; i < overrides->len; i++)
    {
      const SeAddressOverride *entry
          = &g_array_index (overrides, SeAddressOverride, i);

      if (strcmp (entry->name, name) == 0)
        return &entry->address;
    }
  return NULL;
}

const char *
se_policy_name (SePolicy policy)
{
  return policy_keywords[policy];
}

const char *
se_admission_name (SeAdmission admission)
{
  return admission_keywords[admission];
}
