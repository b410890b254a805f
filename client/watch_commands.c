/* Commands that show what the daemons say about themselves.  */

#include "client/internal.h"

#include "event/event.h"

#include <inttypes.h>
#include <string.h>

typedef struct
{
  char *vm;
  EvStamp stamp;
  struct json_object *event;
} Entry;

static void
entry_clear (void *data)
{
  Entry *entry = data;

  g_free (entry->vm);
  json_object_put (entry->event);
}

static int
compare_entries (const void *a, const void *b)
{
  const Entry *left = a;
  const Entry *right = b;
  int order = ev_stamp_compare (left->stamp, right->stamp);

  return order != 0 ? order : strcmp (left->vm, right->vm);
}

static GArray *
entries_new (void)
{
  GArray *entries = g_array_new (FALSE, TRUE, sizeof (Entry));

  g_array_set_clear_func (entries, entry_clear);
  return entries;
}

/* FALSE: the daemon does not answer.  */
static gboolean
collect (ClContext *context, const ClDaemon *daemon, const char *path,
         GArray *entries)
{
  struct json_object *root = cl_ask_json (context, daemon, path);
  struct json_object *list = cl_member (root, "events");
  gboolean answers = root != NULL;

  for (size_t i = 0; json_object_is_type (list, json_type_array)
                     && i < json_object_array_length (list);
       i++)
    {
      struct json_object *event = json_object_array_get_idx (list, i);
      struct json_object *stamp = cl_member (event, "stamp");
      Entry entry = { g_strdup (cl_text (root, "vm")),
                      { (uint64_t)cl_number (stamp, "wall_ms"),
                        (uint32_t)cl_number (stamp, "count") },
                      json_object_get (event) };

      json_object_object_add (event, "vm", json_object_new_string (entry.vm));
      g_array_append_val (entries, entry);
    }
  json_object_put (root);
  return answers;
}

static void
print_entry (ClContext *context, const Entry *entry)
{
  static const char *const fields[]
      = { "customer", "target", "request_id", "config_version", "detail" };
  g_autoptr (GDateTime) time
      = g_date_time_new_from_unix_utc ((gint64)(entry->stamp.wall_ms / 1000));
  g_autofree char *second
      = time != NULL ? g_date_time_format (time, "%Y-%m-%dT%H:%M:%S") : NULL;

  if (context->options.json)
    {
      cl_say (context, "%s\n",
              json_object_to_json_string_ext (entry->event,
                                              JSON_C_TO_STRING_PLAIN));
      return;
    }
  cl_say (context, "%s.%03u.%" PRIu32 " %s %" PRId64 " %s",
          second != NULL ? second : "?",
          (unsigned int)(entry->stamp.wall_ms % 1000), entry->stamp.count,
          entry->vm, cl_number (entry->event, "number"),
          cl_text (entry->event, "name"));
  for (size_t i = 0; i < G_N_ELEMENTS (fields); i++)
    if (cl_member (entry->event, fields[i]) != NULL)
      cl_say (context, " %s=%s", fields[i], cl_text (entry->event, fields[i]));
  cl_say (context, "\n");
}

static void
add_parameter (GString *path, const char *name, const char *value)
{
  if (value == NULL)
    return;
  g_string_append_printf (path, "&%s=", name);
  g_string_append_uri_escaped (path, value, NULL, FALSE);
}

int
cl_timeline (ClContext *context)
{
  const ClOptions *options = &context->options;
  g_autoptr (GString) path = g_string_new (NULL);
  g_autoptr (GArray) entries = entries_new ();
  guint silent_count = 0;

  g_string_printf (path, "/v1/events?limit=%" PRId64, options->limit);
  add_parameter (path, "customer", options->customer);
  add_parameter (path, "target", options->target);
  add_parameter (path, "request_id", options->request);
  if (options->version > 0)
    g_string_append_printf (path, "&config_version=%" PRId64,
                            options->version);
  for (guint i = 0; i < context->daemons->len; i++)
    {
      const ClDaemon *daemon = g_ptr_array_index (context->daemons, i);

      if (collect (context, daemon, path->str, entries))
        continue;
      silent_count++;
      cl_complain (context, "%s: does not answer; its events are missing",
                   daemon->text);
    }
  g_array_sort (entries, compare_entries);
  for (guint i = 0; i < entries->len; i++)
    print_entry (context, &g_array_index (entries, Entry, i));
  if (silent_count == context->daemons->len)
    return CL_EXIT_NO_DAEMON;
  return silent_count > 0 ? CL_EXIT_PARTIAL : CL_EXIT_DONE;
}

static void
print_members (ClContext *context, struct json_object *list)
{
  for (size_t i = 0; json_object_is_type (list, json_type_array)
                     && i < json_object_array_length (list);
       i++)
    {
      struct json_object *item = json_object_array_get_idx (list, i);

      cl_say (
          context,
          "  member %s (%s) %s: version %" PRId64 ", heard %" PRId64
          " ms ago, load %" PRId64 ".%" PRId64 "%%, weight %" PRId64
          "+%" PRId64 "\n",
          cl_text (item, "vm"), cl_text (item, "zone"),
          cl_text (item, "state"), cl_number (item, "config_version"),
          cl_number (item, "age_ms"), cl_number (item, "load_permille") / 10,
          cl_number (item, "load_permille") % 10,
          cl_number (item, "base_weight"), cl_number (item, "flex_weight"));
    }
}

static void
print_headroom (ClContext *context, struct json_object *list)
{
  for (size_t i = 0; json_object_is_type (list, json_type_array)
                     && i < json_object_array_length (list);
       i++)
    {
      struct json_object *item = json_object_array_get_idx (list, i);

      cl_say (context, "  region %s: %" PRId64 " of %" PRId64 " slots free\n",
              cl_text (item, "region"), cl_number (item, "free_slots"),
              cl_number (item, "total_slots"));
    }
}

static char *
summary (struct json_object *status)
{
  struct json_object *config = cl_member (status, "config");
  struct json_object *lease = cl_member (status, "lease");

  return g_strdup_printf (
      "%s (%s): %s%s, version %" PRId64 " %s and %s, lease %s, store %s",
      cl_text (status, "vm"), cl_text (status, "zone"),
      cl_bool (status, "ready") ? "ready" : "not ready",
      cl_bool (status, "draining") ? ", draining" : "",
      cl_number (config, "version"),
      cl_bool (config, "in_force") ? "in force" : "not in force",
      cl_bool (config, "fresh") ? "fresh" : "stale", cl_text (lease, "state"),
      cl_bool (status, "store_up") ? "up" : "down");
}

int
cl_status (ClContext *context)
{
  struct json_object *all = json_object_new_array ();
  guint silent_count = 0;

  for (guint i = 0; i < context->daemons->len; i++)
    {
      const ClDaemon *daemon = g_ptr_array_index (context->daemons, i);
      struct json_object *status = cl_ask_json (context, daemon, "/v1/status");
      g_autofree char *line = summary (status);

      if (status == NULL)
        {
          silent_count++;
          cl_complain (context, "%s: does not answer", daemon->text);
          continue;
        }
      json_object_array_add (all, status);
      if (context->options.json)
        continue;
      cl_say (context, "%s %s\n", daemon->text, line);
      /* What a daemon hears of the others; one's word is enough here.  */
      if (json_object_array_length (all) == 1)
        {
          print_members (context, cl_member (status, "members"));
          print_headroom (context, cl_member (status, "headroom"));
        }
    }
  if (context->options.json)
    cl_print_json (context, all);
  json_object_put (all);
  if (silent_count == context->daemons->len)
    return CL_EXIT_NO_DAEMON;
  return silent_count > 0 ? CL_EXIT_PARTIAL : CL_EXIT_DONE;
}

typedef struct
{
  char *line;    /* last summary; "" if it did not answer */
  EvStamp stamp; /* of the newest event seen */
} Watched;

static void
watched_clear (void *data)
{
  g_free (((Watched *)data)->line);
}

static void
watch_events (ClContext *context, const ClDaemon *daemon, Watched *watched)
{
  g_autoptr (GArray) entries = entries_new ();
  g_autofree char *path
      = g_strdup_printf ("/v1/events?limit=%" PRId64, context->options.limit);
  gboolean first = watched->stamp.wall_ms == 0;

  collect (context, daemon, path, entries);
  for (guint i = 0; i < entries->len; i++)
    {
      const Entry *entry = &g_array_index (entries, Entry, i);

      if (ev_stamp_compare (entry->stamp, watched->stamp) <= 0)
        continue;
      watched->stamp = entry->stamp;
      if (!first && strcmp (cl_text (entry->event, "level"), "debug") != 0)
        print_entry (context, entry);
    }
}

static void
watch_one (ClContext *context, const ClDaemon *daemon, Watched *watched)
{
  struct json_object *status = cl_ask_json (context, daemon, "/v1/status");
  g_autofree char *line
      = status != NULL ? summary (status) : g_strdup ("does not answer");

  if (g_strcmp0 (line, watched->line) != 0 && context->options.json)
    {
      struct json_object *root = json_object_new_object ();

      json_object_object_add (root, "daemon",
                              json_object_new_string (daemon->text));
      json_object_object_add (root, "state", json_object_new_string (line));
      cl_say (context, "%s\n", json_object_to_json_string (root));
      json_object_put (root);
    }
  else if (g_strcmp0 (line, watched->line) != 0)
    cl_say (context, "%s %s\n", daemon->text, line);
  g_free (watched->line);
  watched->line = g_steal_pointer (&line);
  if (status != NULL)
    watch_events (context, daemon, watched);
  json_object_put (status);
}

int
cl_watch (ClContext *context)
{
  g_autoptr (GArray) all = g_array_new (FALSE, TRUE, sizeof (Watched));

  g_array_set_clear_func (all, watched_clear);
  g_array_set_size (all, context->daemons->len);
  for (gint64 i = 0; context->options.count <= 0 || i < context->options.count;
       i++)
    {
      if (i > 0)
        cl_sleep (context, MAX (context->options.interval_ms, 100));
      for (guint j = 0; j < context->daemons->len; j++)
        watch_one (context, g_ptr_array_index (context->daemons, j),
                   &g_array_index (all, Watched, j));
      fflush (context->io.out);
    }
  return CL_EXIT_DONE;
}
