#include <signal.h>
#include <stdio.h>

#include "standin/platform.h"

int
main (int argc, char **argv)
{
  g_autofree char *listen = NULL, *control = NULL;
  const GOptionEntry entries[] = {
    { "listen", 'l', 0, G_OPTION_ARG_STRING, &listen, "Address of the store",
      "IP:PORT" },
    { "control", 'c', 0, G_OPTION_ARG_STRING, &control,
      "Address of the control paths", "IP:PORT" },
    { NULL },
  };
  g_autoptr (GOptionContext) context
      = g_option_context_new ("- stand-in for the platform, for tests");
  g_autoptr (GError) error = NULL;
  struct event_base *base;
  SiPlatform *platform;

  g_option_context_add_main_entries (context, entries, NULL);
  if (!g_option_context_parse (context, &argc, &argv, &error))
    {
      fprintf (stderr, "standin-platform: %s\n", error->message);
      return 2;
    }
  signal (SIGPIPE, SIG_IGN);
  base = si_event_base_new ();
  platform = si_platform_new (base, listen, control, &error);
  if (platform == NULL)
    {
      fprintf (stderr, "standin-platform: %s\n", error->message);
      event_base_free (base);
      return 1;
    }
  si_run_loop (base);
  si_platform_free (platform);
  event_base_free (base);
  return 0;
}
