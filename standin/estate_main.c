#include <signal.h>
#include <stdio.h>

#include "standin/estate.h"

int
main (int argc, char **argv)
{
  g_autofree char *store_address = NULL;
  g_autofree char *control_address = NULL;
  g_auto (GStrv) targets = NULL;
  const GOptionEntry entries[] = {
    { "store", 's', 0, G_OPTION_ARG_STRING, &store_address,
      "Address of the store", "IP:PORT" },
    { "control", 'c', 0, G_OPTION_ARG_STRING, &control_address,
      "Address of the control paths", "IP:PORT" },
    { G_OPTION_REMAINING, 0, 0, G_OPTION_ARG_STRING_ARRAY, &targets, "Targets",
      "ID=IP:PORT..." },
    { NULL },
  };
  g_autoptr (GOptionContext) context
      = g_option_context_new ("- stand-in for the users' platform");
  g_autoptr (GError) error = NULL;
  char *no_targets[] = { NULL };
  struct event_base *base;
  SiUserPlatform *platform;

  g_option_context_add_main_entries (context, entries, NULL);
  if (!g_option_context_parse (context, &argc, &argv, &error)
      || store_address == NULL || control_address == NULL)
    {
      fprintf (stderr, "standin-estate: %s\n",
               error != NULL ? error->message
                             : "--store and --control are needed");
      return 2;
    }
  signal (SIGPIPE, SIG_IGN);
  base = si_event_base_new ();
  platform
      = si_user_platform_new (base, store_address, control_address,
                              targets != NULL ? targets : no_targets, &error);
  if (platform == NULL)
    {
      fprintf (stderr, "standin-estate: %s\n", error->message);
      event_base_free (base);
      return 1;
    }
  si_run_loop (base);
  si_user_platform_free (platform);
  event_base_free (base);
  return 0;
}
