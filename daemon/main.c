#include <locale.h>
#include <signal.h>
#include <stdio.h>

#include "daemon/daemon.h"

#define EXIT_SETTINGS 2
#define EXIT_LISTEN 3

static SeSettings *
load_settings (const char *path)
{
  g_autoptr (GPtrArray) problems = NULL;
  SeSettings *settings = se_load (path, &problems);

  for (guint i = 0; settings == NULL && problems != NULL && i < problems->len;
       i++)
    fprintf (stderr, "%s\n",
             ((const SeProblem *)g_ptr_array_index (problems, i))->message);
  return settings;
}

int
main (int argc, char **argv)
{
  g_autofree char *path = NULL;
  gboolean check = FALSE;
  const GOptionEntry entries[]
      = { { "settings", 's', 0, G_OPTION_ARG_FILENAME, &path,
            "Settings file of this VM", "FILE" },
          { "check", 'c', 0, G_OPTION_ARG_NONE, &check,
            "Check the settings and exit", NULL },
          { NULL } };
  g_autoptr (GOptionContext) context
      = g_option_context_new ("- steer requests to regions and targets");
  g_autoptr (GError) error = NULL;
  SeSettings *settings;
  DmDaemon *daemon;

  setlocale (LC_ALL, "C.UTF-8");
  g_option_context_add_main_entries (context, entries, NULL);
  if (!g_option_context_parse (context, &argc, &argv, &error) || path == NULL)
    {
      fprintf (stderr, "comfreywalkd: %s\n",
               error != NULL ? error->message : "--settings is missing");
      return EXIT_SETTINGS;
    }
  settings = load_settings (path);
  if (settings == NULL)
    return EXIT_SETTINGS;
  if (check)
    {
      se_free (settings);
      return 0;
    }
  signal (SIGPIPE, SIG_IGN);
  dm_log_start (settings->log);
  daemon = dm_new (settings, &error);
  if (daemon == NULL)
    {
      fprintf (stderr, "comfreywalkd: %s\n", error->message);
      return EXIT_LISTEN;
    }
  dm_run (daemon);
  dm_free (daemon);
  dm_log_stop ();
  return 0;
}
