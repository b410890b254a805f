#include "client/internal.h"

#include <inttypes.h>
#include <string.h>

typedef struct
{
  const ClDaemon *daemon;
  char *vm; /* NULL: has not responded yet */
  gboolean responds;
  gboolean in_force;
  uint64_t version;
  int64_t in_force_after_ms; /* from the start until a poll found it */
} PolledDaemon;

/* The highest version that a live member reported, as the polled daemons know
   it.  */
typedef struct
{
  char *vm;
  uint64_t version;
} MemberVersion;

static void
member_version_clear (void *data)
{
  g_free (((MemberVersion *)data)->vm);
}

static void
update_member_version (GArray *member_versions, const char *vm,
                       uint64_t version)
{
  for (guint i = 0; i < member_versions->len; i++)
    {
      MemberVersion *member
          = &g_array_index (member_versions, MemberVersion, i);

      if (strcmp (member->vm, vm) == 0)
        {
          member->version = MAX (member->version, version);
          return;
        }
    }
  MemberVersion member = { g_strdup (vm), version };
  g_array_append_val (member_versions, member);
}

static void
poll_daemon (ClContext *context, PolledDaemon *polled, uint64_t version,
             int64_t start_us, GArray *member_versions)
{
  struct json_object *status
      = cl_get_json (context, polled->daemon, "/v1/status");
  struct json_object *config = cl_json_member (status, "config");
  struct json_object *members = cl_json_member (status, "members");
  gboolean was_in_force = polled->in_force;

  polled->responds = status != NULL;
  if (status == NULL)
    return;
  g_free (polled->vm);
  polled->vm = g_strdup (cl_json_string (status, "vm"));
  polled->version = (uint64_t)cl_json_int (config, "version");
  polled->in_force
      = polled->version >= version && cl_json_bool (config, "in_force");
  if (!was_in_force)
    polled->in_force_after_ms = (g_get_monotonic_time () - start_us) / 1000;
  for (size_t i = 0; json_object_is_type (members, json_type_array)
                     && i < json_object_array_length (members);
       i++)
    {
      struct json_object *item = json_object_array_get_idx (members, i);

      if (strcmp (cl_json_string (item, "state"), "live") == 0)
        update_member_version (member_versions, cl_json_string (item, "vm"),
                               (uint64_t)cl_json_int (item, "config_version"));
    }
  json_object_put (status);
}

static gboolean
is_polled (const GArray *polled_daemons, const char *vm)
{
  for (guint i = 0; i < polled_daemons->len; i++)
    if (g_strcmp0 (g_array_index (polled_daemons, PolledDaemon, i).vm, vm)
        == 0)
      return TRUE;
  return FALSE;
}

/* Returns TRUE if VERSION is in force on each polled daemon, and each other
   member that a poll has shown as live has reported it.  */
static gboolean
poll_all_daemons (ClContext *context, GArray *polled_daemons,
                  GArray *member_versions, uint64_t version, int64_t start_us)
{
  gboolean all_in_force = TRUE;

  for (guint i = 0; i < polled_daemons->len; i++)
    {
      PolledDaemon *polled = &g_array_index (polled_daemons, PolledDaemon, i);

      poll_daemon (context, polled, version, start_us, member_versions);
      all_in_force = all_in_force && polled->responds && polled->in_force;
    }
  for (guint i = 0; i < member_versions->len; i++)
    {
      const MemberVersion *member
          = &g_array_index (member_versions, MemberVersion, i);

      all_in_force = all_in_force
                     && (member->version >= version
                         || is_polled (polled_daemons, member->vm));
    }
  return all_in_force;
}

static void
add_row (struct json_object *rows, const char *address, const char *vm,
         uint64_t version, const char *state)
{
  struct json_object *row = json_object_new_object ();

  json_object_object_add (row, "daemon", json_object_new_string (address));
  json_object_object_add (row, "vm", json_object_new_string (vm));
  json_object_object_add (row, "version",
                          json_object_new_int64 ((int64_t)version));
  json_object_object_add (row, "state", json_object_new_string (state));
  json_object_array_add (rows, row);
}

static void
report_daemon (ClContext *context, const PolledDaemon *polled,
               struct json_object *rows)
{
  const char *state = polled->in_force   ? "in force"
                      : polled->responds ? "not in force"
                                         : "does not answer";
  const char *vm = polled->vm != NULL ? polled->vm : "";

  add_row (rows, polled->daemon->address_text, vm, polled->version, state);
  if (context->options.json)
    return;
  if (polled->in_force)
    cl_print (context, "%s %s: in force, seen after %" PRId64 " ms\n",
              polled->daemon->address_text, vm, polled->in_force_after_ms);
  else if (polled->responds)
    cl_print (context, "%s %s: not in force, has version %" PRIu64 "\n",
              polled->daemon->address_text, vm, polled->version);
  else
    cl_print (context, "%s: does not answer\n", polled->daemon->address_text);
}

/* Reports a member that is not polled; its version is known from the responses
   of the polled daemons.  */
static void
report_member (ClContext *context, const GArray *polled_daemons,
               const MemberVersion *member, uint64_t version,
               struct json_object *rows)
{
  if (is_polled (polled_daemons, member->vm))
    return;
  add_row (rows, "", member->vm, member->version,
           member->version >= version ? "heard with the version"
                                      : "heard without the version");
  if (!context->options.json)
    cl_print (context,
              "%s: not polled; it last reported version %" PRIu64
              " to others\n",
              member->vm, member->version);
}

static void
polled_daemon_clear (void *data)
{
  g_free (((PolledDaemon *)data)->vm);
}

int
cl_wait_in_force (ClContext *context, uint64_t version,
                  struct json_object *report)
{
  g_autoptr (GArray) member_versions
      = g_array_new (FALSE, TRUE, sizeof (MemberVersion));
  g_autoptr (GArray) polled_daemons
      = g_array_new (FALSE, TRUE, sizeof (PolledDaemon));
  struct json_object *rows = json_object_new_array ();
  int64_t start_us = g_get_monotonic_time ();
  gboolean all_in_force;

  g_array_set_clear_func (polled_daemons, polled_daemon_clear);
  g_array_set_clear_func (member_versions, member_version_clear);
  for (guint i = 0; i < context->daemons->len; i++)
    {
      PolledDaemon polled
          = { .daemon = g_ptr_array_index (context->daemons, i) };

      g_array_append_val (polled_daemons, polled);
    }
  while (
      !(all_in_force = poll_all_daemons (context, polled_daemons,
                                         member_versions, version, start_us))
      && g_get_monotonic_time () - start_us < context->options.wait_ms * 1000)
    cl_sleep (context, CL_POLL_MS);
  for (guint i = 0; i < polled_daemons->len; i++)
    report_daemon (context, &g_array_index (polled_daemons, PolledDaemon, i),
                   rows);
  for (guint i = 0; i < member_versions->len; i++)
    report_member (context, polled_daemons,
                   &g_array_index (member_versions, MemberVersion, i), version,
                   rows);
  json_object_object_add (report, "daemons", rows);
  return all_in_force ? CL_EXIT_DONE : CL_EXIT_PARTIAL;
}
