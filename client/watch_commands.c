/* Commands that show the state and events of the daemons.  */

#include "client/internal.h"

#include "event/event.h"

#include <inttypes.h>
#include <string.h>

/* An event of a daemon.  */
typedef struct
{
  char *vm; /* of the daemon */
  EvStamp stamp;
  struct json_object *event;
} TimelineEntry;

static void
timeline_entry_clear (void *data)
{
  TimelineEntry *entry = data;

  g_free (entry->vm);
  json_object_put (entry->event);
}

static int
compare_timeline_entries (const void *a, const void *b)
{
  const TimelineEntry *left = a;
  const TimelineEntry *right = b;
  int order = ev_stamp_compare (left->stamp, right->stamp);

  return order != 0 ? order : strcmp (left->vm, right->vm);
}

static GArray *
timeline_new (void)
{
  GArray *entries = g_array_new (FALSE, TRUE, sizeof (TimelineEntry));

  g_array_set_clear_func (entries, timeline_entry_clear);
  return entries;
}

/* Appends the events that DAEMON returns for PATH to ENTRIES, with the field
   "vm" added.  Returns FALSE if there is no response.  */
static gboolean
fetch_events (ClContext *context, const ClDaemon *daemon, const char *path,
              GArray *entries)
{
  struct json_object *root = cl_get_json (context, daemon, path);
  struct json_object *list = cl_json_member (root, "events");
  gboolean responds = root != NULL;

  for (size_t i = 0; json_object_is_type (list, json_type_array)
                     && i < json_object_array_length (list);
       i++)
    {
      struct json_object *event = json_object_array_get_idx (list, i);
      struct json_object *stamp = cl_json_member (event, "stamp");
      TimelineEntry entry = { g_strdup (cl_json_string (root, "vm")),
                              { (uint64_t)cl_json_int (stamp, "wall_ms"),
                                (uint32_t)cl_json_int (stamp, "count") },
                              json_object_get (event) };

      json_object_object_add (event, "vm", json_object_new_string (entry.vm));
      g_array_append_val (entries, entry);
    }
  json_object_put (root);
  return responds;
}

static void
print_entry (ClContext *context, const TimelineEntry *entry)
{
  static const char *const fields[]
      = { "customer", "target", "request_id", "config_version", "detail" };
  g_autoptr (GDateTime) time
      = g_date_time_new_from_unix_utc ((gint64)(entry->stamp.wall_ms / 1000));
  g_autofree char *time_text
      = time != NULL ? g_date_time_format (time, "%Y-%m-%dT%H:%M:%S") : NULL;

  if (context->options.json)
    {
      cl_print (context, "%s\n",
                json_object_to_json_string_ext (entry->event,
                                                JSON_C_TO_STRING_PLAIN));
      return;
    }
  cl_print (context, "%s.%03u.%" PRIu32 " %s %" PRId64 " %s",
            time_text != NULL ? time_text : "?",
            (unsigned int)(entry->stamp.wall_ms % 1000), entry->stamp.count,
            entry->vm, cl_json_int (entry->event, "number"),
            cl_json_string (entry->event, "name"));
  for (size_t i = 0; i < G_N_ELEMENTS (fields); i++)
    if (cl_json_member (entry->event, fields[i]) != NULL)
      cl_print (context, " %s=%s", fields[i],
                cl_json_string (entry->event, fields[i]));
  cl_print (context, "\n");
}

static void
add_query_parameter (GString *path, const char *name, const char *value)
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
  g_autoptr (GArray) entries = timeline_new ();
  guint unreachable_count = 0;

  g_string_printf (path, "/v1/events?limit=%" PRId64, options->event_limit);
  add_query_parameter (path, "customer", options->customer);
  add_query_parameter (path, "target", options->target);
  add_query_parameter (path, "request_id", options->request_id);
  if (options->config_version > 0)
    g_string_append_printf (path, "&config_version=%" PRId64,
                            options->config_version);
  for (guint i = 0; i < context->daemons->len; i++)
    {
      const ClDaemon *daemon = g_ptr_array_index (context->daemons, i);

      if (fetch_events (context, daemon, path->str, entries))
        continue;
      unreachable_count++;
      cl_print_error (context, "%s: does not answer; its events are missing",
                      daemon->address_text);
    }
  g_array_sort (entries, compare_timeline_entries);
  for (guint i = 0; i < entries->len; i++)
    print_entry (context, &g_array_index (entries, TimelineEntry, i));
  if (unreachable_count == context->daemons->len)
    return CL_EXIT_NO_DAEMON;
  return unreachable_count > 0 ? CL_EXIT_PARTIAL : CL_EXIT_DONE;
}

static void
print_members (ClContext *context, struct json_object *list)
{
  for (size_t i = 0; json_object_is_type (list, json_type_array)
                     && i < json_object_array_length (list);
       i++)
    {
      struct json_object *item = json_object_array_get_idx (list, i);

      cl_print (context,
                "  member %s (%s) %s: version %" PRId64
                ", last report %" PRId64 " ms ago, load %" PRId64 ".%" PRId64
                "%%, weight %" PRId64 "+%" PRId64 "\n",
                cl_json_string (item, "vm"), cl_json_string (item, "zone"),
                cl_json_string (item, "state"),
                cl_json_int (item, "config_version"),
                cl_json_int (item, "age_ms"),
                cl_json_int (item, "load_permille") / 10,
                cl_json_int (item, "load_permille") % 10,
                cl_json_int (item, "base_weight"),
                cl_json_int (item, "flex_weight"));
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

      cl_print (
          context, "  region %s: %" PRId64 " of %" PRId64 " slots free\n",
          cl_json_string (item, "region"), cl_json_int (item, "free_slots"),
          cl_json_int (item, "total_slots"));
    }
}

static char *
format_summary (struct json_object *status)
{
  struct json_object *config = cl_json_member (status, "config");
  struct json_object *lease = cl_json_member (status, "lease");

  return g_strdup_printf (
      "%s (%s): %s%s, version %" PRId64 " %s and %s, lease %s, store %s",
      cl_json_string (status, "vm"), cl_json_string (status, "zone"),
      cl_json_bool (status, "ready") ? "ready" : "not ready",
      cl_json_bool (status, "draining") ? ", draining" : "",
      cl_json_int (config, "version"),
      cl_json_bool (config, "in_force") ? "in force" : "not in force",
      cl_json_bool (config, "fresh") ? "fresh" : "stale",
      cl_json_string (lease, "state"),
      cl_json_bool (status, "store_up") ? "up" : "down");
}

int
cl_status (ClContext *context)
{
  struct json_object *statuses = json_object_new_array ();
  guint unreachable_count = 0;

  for (guint i = 0; i < context->daemons->len; i++)
    {
      const ClDaemon *daemon = g_ptr_array_index (context->daemons, i);
      struct json_object *status = cl_get_json (context, daemon, "/v1/status");
      g_autofree char *summary = format_summary (status);

      if (status == NULL)
        {
          unreachable_count++;
          cl_print_error (context, "%s: does not answer",
                          daemon->address_text);
          continue;
        }
      json_object_array_add (statuses, status);
      if (context->options.json)
        continue;
      cl_print (context, "%s %s\n", daemon->address_text, summary);
      /* Each daemon knows the members and the headroom from the reports that
         all daemons exchange, so those of the first one suffice.  */
      if (json_object_array_length (statuses) == 1)
        {
          print_members (context, cl_json_member (status, "members"));
          print_headroom (context, cl_json_member (status, "headroom"));
        }
    }
  if (context->options.json)
    cl_print_json (context, statuses);
  json_object_put (statuses);
  if (unreachable_count == context->daemons->len)
    return CL_EXIT_NO_DAEMON;
  return unreachable_count > 0 ? CL_EXIT_PARTIAL : CL_EXIT_DONE;
}

/* What watch has shown of one daemon.  */
typedef struct
{
  char *summary; /* last one printed; NULL before the first poll */
  EvStamp stamp; /* of the newest event read */
} WatchState;

static void
watch_state_clear (void *data)
{
  g_free (((WatchState *)data)->summary);
}

/* Prints the events that are newer than those read before.  The first poll
   prints none: it only finds the newest event.  */
static void
watch_events (ClContext *context, const ClDaemon *daemon, WatchState *state)
{
  g_autoptr (GArray) entries = timeline_new ();
  g_autofree char *path = g_strdup_printf ("/v1/events?limit=%" PRId64,
                                           context->options.event_limit);
  gboolean first_poll = state->stamp.wall_ms == 0;

  fetch_events (context, daemon, path, entries);
  for (guint i = 0; i < entries->len; i++)
    {
      const TimelineEntry *entry = &g_array_index (entries, TimelineEntry, i);

      if (ev_stamp_compare (entry->stamp, state->stamp) <= 0)
        continue;
      state->stamp = entry->stamp;
      if (!first_poll
          && strcmp (cl_json_string (entry->event, "level"), "debug") != 0)
        print_entry (context, entry);
    }
}

/* Prints the summary of the daemon if it has changed, and new events.  */
static void
watch_daemon (ClContext *context, const ClDaemon *daemon, WatchState *state)
{
  struct json_object *status = cl_get_json (context, daemon, "/v1/status");
  g_autofree char *summary = status != NULL ? format_summary (status)
                                            : g_strdup ("does not answer");

  if (g_strcmp0 (summary, state->summary) != 0 && context->options.json)
    {
      struct json_object *root = json_object_new_object ();

      json_object_object_add (root, "daemon",
                              json_object_new_string (daemon->address_text));
      json_object_object_add (root, "state", json_object_new_string (summary));
      cl_print (context, "%s\n", json_object_to_json_string (root));
      json_object_put (root);
    }
  else if (g_strcmp0 (summary, state->summary) != 0)
    cl_print (context, "%s %s\n", daemon->address_text, summary);
  g_free (state->summary);
  state->summary = g_steal_pointer (&summary);
  if (status != NULL)
    watch_events (context, daemon, state);
  json_object_put (status);
}

int
cl_watch (ClContext *context)
{
  g_autoptr (GArray) states = g_array_new (FALSE, TRUE, sizeof (WatchState));

  g_array_set_clear_func (states, watch_state_clear);
  g_array_set_size (states, context->daemons->len);
  for (gint64 i = 0;
       context->options.poll_count <= 0 || i < context->options.poll_count;
       i++)
    {
      if (i > 0)
        cl_sleep (context, MAX (context->options.interval_ms, 100));
      for (guint j = 0; j < context->daemons->len; j++)
        watch_daemon (context, g_ptr_array_index (context->daemons, j),
                      &g_array_index (states, WatchState, j));
      fflush (context->io.out);
    }
  return CL_EXIT_DONE;
}
