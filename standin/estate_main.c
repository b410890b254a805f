#include <signal.h>
#include <stdio.h>

#include "standin/estate.h"

int
main (int argc, char **argv)
{
  g_autofree char *store = NULL;
  g_autofree char *control = NULL;
  g_auto (GStrv) targets = NULL;
  const GOptionEntry entries[] = {
    { "store", 's', 0, G_OPTION_ARG_STRING, &store, "Address of the store",
      "IP:PORT" },
    { "control", 'c', 0, G_OPTION_ARG_STRING, &control,
      "Address of the control paths", "IP:PORT" },
    { G_OPTION_REMAINING, 0, 0, G_OPTION_ARG_STRING_ARRAY, &targets, "Targets",
      "ID=IP:PORT..." },
    { NULL },
  };
  g_autoptr (GOptionContext) context
      = g_option_context_new ("- stand-in of the users' platform");
  g_autoptr (GError) error = NULL;
  char *none[] = { NULL };
  struct event_base *base;
  SiEstate *estate;

  g_option_context_add_main_entries (context, entries, NULL);
  if (!g_option_context_parse (context, &argc, &argv, &error) || store == NULL
      || control == NULL)
    {
      fprintf (stderr, "standin-estate: %s\n",
               error != NULL ? error->message : "an address is missing");
      return 2;
    }
  signal (SIGPIPE, SIG_IGN);
  base = si_base_new ();
  estate = si_estate_new (base, store, control,
                          targets != NULL ? targets : none, &error);
  if (estate == NULL)
    {
      fprintf (stderr, "standin-estate: %s\n", error->message);
      event_base_free (base);
      return 1;
    }
  si_run_loop (base);
  si_estate_free (estate);
  event_base_free (base);
  return 0;
}
