#include "demo/demo.h"

#include <json-c/json.h>
#include <stdio.h>
#include <string.h>

/* The lines fit on one screen.  The restart of a single daemon records a dozen
   events.  */
#define LINES_MAX 40
/* Number of events to fetch from each daemon.  */
#define EVENT_LIMIT "4096"

typedef struct
{
  int64_t wall_ms;
  int64_t count; /* of the stamp; orders events of the same wall_ms */
  char *text;
} Line;

static void
line_free (void *data)
{
  Line *line = data;

  g_free (line->text);
  g_free (line);
}

static int
compare_lines (const void *a, const void *b)
{
  const Line *x = *(Line *const *)a, *y = *(Line *const *)b;

  if (x->wall_ms != y->wall_ms)
    return x->wall_ms < y->wall_ms ? -1 : 1;
  return x->count < y->count ? -1 : x->count > y->count;
}

static const char *
get_text (struct json_object *object, const char *name)
{
  struct json_object *value = NULL;

  json_object_object_get_ex (object, name, &value);
  return value == NULL ? "" : json_object_get_string (value);
}

static int64_t
get_number (struct json_object *object, const char *name)
{
  struct json_object *value = NULL;

  json_object_object_get_ex (object, name, &value);
  return json_object_get_int64 (value);
}

static void
add_event (GPtrArray *lines, const char *vm, struct json_object *event,
           int64_t from_ms)
{
  /* Leaves out the events that are recorded for each request or link.  */
  static const char *const shown_names[]
      = { "config-in-force",    "target-leaving", "target-unhealthy",
          "lease-fenced-other", "member-left",    "member-joined",
          "lease-lapsed",       "order-replayed", "order-unknown",
          "config-stale",       "store-down",     NULL };
  struct json_object *stamp = NULL;
  Line *line;

  json_object_object_get_ex (event, "stamp", &stamp);
  if (!g_strv_contains (shown_names, get_text (event, "name"))
      || get_number (stamp, "wall_ms") < from_ms)
    return;
  line = g_new0 (Line, 1);
  line->wall_ms = get_number (stamp, "wall_ms");
  line->count = get_number (stamp, "count");
  line->text = g_strdup_printf (
      "%-5s %-20s %s %s", vm, get_text (event, "name"),
      get_text (event, "target"), get_text (event, "detail"));
  g_ptr_array_add (lines, line);
}

static void
add_events (GPtrArray *lines, const SiVm *vm, int64_t from_ms)
{
  g_autofree char *text
      = si_get_text (vm->admin_address, "/v1/events?limit=" EVENT_LIMIT, NULL);
  struct json_object *root = text == NULL ? NULL : json_tokener_parse (text);
  struct json_object *events = NULL;

  if (root != NULL && json_object_object_get_ex (root, "events", &events))
    for (size_t i = 0; i < json_object_array_length (events); i++)
      add_event (lines, vm->name, json_object_array_get_idx (events, i),
                 from_ms);
  json_object_put (root);
}

void
de_print_timeline (const SiHarness *harness, int64_t from_ms)
{
  g_autoptr (GPtrArray) lines = g_ptr_array_new_with_free_func (line_free);
  const GPtrArray *vms = si_vms (harness);

  for (guint i = 0; i < vms->len; i++)
    add_events (lines, g_ptr_array_index (vms, i), from_ms);
  g_ptr_array_sort (lines, compare_lines);
  for (guint i = 0; i < lines->len && i < LINES_MAX; i++)
    {
      const Line *line = g_ptr_array_index (lines, i);
      printf ("  %7.3f s  %s\n", (double)(line->wall_ms - from_ms) / 1000,
              line->text);
    }
  if (lines->len > LINES_MAX)
    printf ("  ... and %u more events\n", lines->len - LINES_MAX);
}
