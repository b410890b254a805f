#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "standin/target.h"

static gboolean
add_targets (SiTargetSet *set, char **targets, GError **error)
{
  for (char **target = targets; target != NULL && *target != NULL; target++)
    {
      char *equals = strchr (*target, '=');

      if (equals == NULL)
        {
          g_set_error (error, G_OPTION_ERROR, G_OPTION_ERROR_BAD_VALUE,
                       "\"%s\" is not NAME=IP:PORT", *target);
          return FALSE;
        }
      *equals = '\0';
      if (!si_target_set_add (set, *target, equals + 1, error))
        return FALSE;
    }
  return TRUE;
}

int
main (int argc, char **argv)
{
  g_autofree char *control_address = NULL;
  g_auto (GStrv) targets = NULL;
  int work_ms = 0, slots_count = 0;
  const GOptionEntry entries[] = {
    { "control", 'c', 0, G_OPTION_ARG_STRING, &control_address,
      "Address of the control paths", "IP:PORT" },
    { "target", 't', 0, G_OPTION_ARG_STRING_ARRAY, &targets,
      "Adds a target; may be repeated", "NAME=IP:PORT" },
    { "work-ms", 'w', 0, G_OPTION_ARG_INT, &work_ms, "Service time", "MS" },
    { "slots", 's', 0, G_OPTION_ARG_INT, &slots_count, "Slots of each target",
      "N" },
    { NULL },
  };
  g_autoptr (GOptionContext) context
      = g_option_context_new ("- stand-in for targets in tests");
  g_autoptr (GError) error = NULL;
  SiTargetOptions options = { 0 };
  SiTargetSet *set;
  int status = 1;

  g_option_context_add_main_entries (context, entries, NULL);
  if (!g_option_context_parse (context, &argc, &argv, &error))
    {
      fprintf (stderr, "standin-target: %s\n", error->message);
      return 2;
    }
  signal (SIGPIPE, SIG_IGN);
  options.base = si_event_base_new ();
  options.control_address = control_address;
  options.work_ms = (uint32_t)work_ms;
  options.slots_count = (uint32_t)slots_count;
  set = si_target_set_new (&options, &error);
  if (set != NULL && add_targets (set, targets, &error))
    {
      si_run_loop (options.base);
      status = 0;
    }
  if (error != NULL)
    fprintf (stderr, "standin-target: %s\n", error->message);
  if (set != NULL)
    si_target_set_free (set);
  event_base_free (options.base);
  return status;
}
