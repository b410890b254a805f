#include "client/internal.h"

#include <inttypes.h>
#include <string.h>

typedef struct
{
  const ClDaemon *daemon;
  char *vm; /* NULL: did not answer yet */
  gboolean answers;
  gboolean in_force;
  uint64_t version;
  int64_t after_ms;
} Place;

typedef struct
{
  char *vm;
  uint64_t version;
} Heard;

static void
heard_clear (void *data)
{
  g_free (((Heard *)data)->vm);
}

static void
hear (GArray *heard, const char *vm, uint64_t version)
{
  for (guint i = 0; i < heard->len; i++)
    {
      Heard *entry = &g_array_index (heard, Heard, i);

      if (strcmp (entry->vm, vm) == 0)
        {
          entry->version = MAX (entry->version, version);
          return;
        }
    }
  Heard entry = { g_strdup (vm), version };
  g_array_append_val (heard, entry);
}

static void
look (ClContext *context, Place *place, uint64_t version, int64_t start_us,
      GArray *heard)
{
  struct json_object *status
      = cl_ask_json (context, place->daemon, "/v1/status");
  struct json_object *config = cl_member (status, "config");
  struct json_object *list = cl_member (status, "members");
  gboolean before = place->in_force;

  place->answers = status != NULL;
  if (status == NULL)
    return;
  g_free (place->vm);
  place->vm = g_strdup (cl_text (status, "vm"));
  place->version = (uint64_t)cl_number (config, "version");
  place->in_force = place->version >= version && cl_bool (config, "in_force");
  if (!before)
    place->after_ms = (g_get_monotonic_time () - start_us) / 1000;
  for (size_t i = 0; json_object_is_type (list, json_type_array)
                     && i < json_object_array_length (list);
       i++)
    {
      struct json_object *item = json_object_array_get_idx (list, i);

      if (strcmp (cl_text (item, "state"), "live") == 0)
        hear (heard, cl_text (item, "vm"),
              (uint64_t)cl_number (item, "config_version"));
    }
  json_object_put (status);
}

static gboolean
is_asked (const GArray *places, const char *vm)
{
  for (guint i = 0; i < places->len; i++)
    if (g_strcmp0 (g_array_index (places, Place, i).vm, vm) == 0)
      return TRUE;
  return FALSE;
}

/* TRUE when VERSION is in force everywhere, as far as can be seen.  */
static gboolean
look_at_all (ClContext *context, GArray *places, GArray *heard,
             uint64_t version, int64_t start_us)
{
  gboolean all = TRUE;

  for (guint i = 0; i < places->len; i++)
    {
      Place *place = &g_array_index (places, Place, i);

      look (context, place, version, start_us, heard);
      all = all && place->answers && place->in_force;
    }
  for (guint i = 0; i < heard->len; i++)
    {
      const Heard *entry = &g_array_index (heard, Heard, i);

      all = all && (entry->version >= version || is_asked (places, entry->vm));
    }
  return all;
}

static void
add_row (struct json_object *array, const char *name, const char *vm,
         uint64_t version, const char *state)
{
  struct json_object *row = json_object_new_object ();

  json_object_object_add (row, "daemon", json_object_new_string (name));
  json_object_object_add (row, "vm", json_object_new_string (vm));
  json_object_object_add (row, "version",
                          json_object_new_int64 ((int64_t)version));
  json_object_object_add (row, "state", json_object_new_string (state));
  json_object_array_add (array, row);
}

static void
report_place (ClContext *context, const Place *place,
              struct json_object *array)
{
  const char *state = place->in_force  ? "in force"
                      : place->answers ? "not in force"
                                       : "does not answer";
  const char *vm = place->vm != NULL ? place->vm : "";

  add_row (array, place->daemon->text, vm, place->version, state);
  if (context->options.json)
    return;
  if (place->in_force)
    cl_say (context, "%s %s: in force, seen after %" PRId64 " ms\n",
            place->daemon->text, vm, place->after_ms);
  else if (place->answers)
    cl_say (context, "%s %s: not in force, has version %" PRIu64 "\n",
            place->daemon->text, vm, place->version);
  else
    cl_say (context, "%s: does not answer\n", place->daemon->text);
}

/* Members without a --daemon of their own are known from the others' word.  */
static void
report_heard (ClContext *context, const GArray *places, const Heard *entry,
              uint64_t version, struct json_object *array)
{
  if (is_asked (places, entry->vm))
    return;
  add_row (array, "", entry->vm, entry->version,
           entry->version >= version ? "heard with the version"
                                     : "heard without the version");
  if (!context->options.json)
    cl_say (context,
            "%s: not asked; others last heard version %" PRIu64 " from it\n",
            entry->vm, entry->version);
}

static void
place_clear (void *data)
{
  g_free (((Place *)data)->vm);
}

int
cl_wait_in_force (ClContext *context, uint64_t version,
                  struct json_object *report)
{
  g_autoptr (GArray) heard = g_array_new (FALSE, TRUE, sizeof (Heard));
  g_autoptr (GArray) places = g_array_new (FALSE, TRUE, sizeof (Place));
  struct json_object *array = json_object_new_array ();
  int64_t start_us = g_get_monotonic_time ();
  gboolean all;

  g_array_set_clear_func (places, place_clear);
  g_array_set_clear_func (heard, heard_clear);
  for (guint i = 0; i < context->daemons->len; i++)
    {
      Place place = { .daemon = g_ptr_array_index (context->daemons, i) };

      g_array_append_val (places, place);
    }
  while (!(all = look_at_all (context, places, heard, version, start_us))
         && g_get_monotonic_time () - start_us
                < context->options.wait_ms * 1000)
    cl_sleep (context, CL_POLL_MS);
  for (guint i = 0; i < places->len; i++)
    report_place (context, &g_array_index (places, Place, i), array);
  for (guint i = 0; i < heard->len; i++)
    report_heard (context, places, &g_array_index (heard, Heard, i), version,
                  array);
  json_object_object_add (report, "daemons", array);
  return all ? CL_EXIT_DONE : CL_EXIT_PARTIAL;
}
