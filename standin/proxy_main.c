#include <signal.h>
#include <stdio.h>

#include "standin/proxy.h"

int
main (int argc, char **argv)
{
  g_autofree char *control_address = NULL;
  const GOptionEntry entries[] = {
    { "control", 'c', 0, G_OPTION_ARG_STRING, &control_address,
      "Address of the control paths", "IP:PORT" },
    { NULL },
  };
  g_autoptr (GOptionContext) context = g_option_context_new (
      "- TCP proxy that emulates network links and faults");
  g_autoptr (GError) error = NULL;
  struct event_base *base;
  SiProxy *proxy;

  g_option_context_add_main_entries (context, entries, NULL);
  if (!g_option_context_parse (context, &argc, &argv, &error))
    {
      fprintf (stderr, "fault-proxy: %s\n", error->message);
      return 2;
    }
  signal (SIGPIPE, SIG_IGN);
  base = si_event_base_new ();
  proxy = si_proxy_new (base, control_address, &error);
  if (proxy == NULL)
    {
      fprintf (stderr, "fault-proxy: %s\n", error->message);
      event_base_free (base);
      return 1;
    }
  si_run_loop (base);
  si_proxy_free (proxy);
  event_base_free (base);
  return 0;
}
