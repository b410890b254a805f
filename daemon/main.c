#include <locale.h>
#include <signal.h>
#include <stdio.h>

#include "daemon/daemon.h"
#include "entry/entry.h"
#include "memory/memory.h"
#include "platform/platform.h"
#include "release/release.h"

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

/* Runs the daemon of entry/ instead of the one of this folder.  */
static int
run_on_platform (const char *path, gboolean check)
{
  g_autoptr (GPtrArray) problems = NULL;
  g_autoptr (GError) error = NULL;
  EnSettings *settings;
  EnEntry *entry;

  en_block_signals ();
  settings = pf_settings_load (path, &problems);
  for (guint i = 0; settings == NULL && i < problems->len; i++)
    fprintf (stderr, "%s: %s\n", path, (char *)problems->pdata[i]);
  if (settings == NULL)
    return EXIT_SETTINGS;
  if (check)
    {
      en_settings_free (settings);
      return 0;
    }
  signal (SIGPIPE, SIG_IGN);
  entry = en_new (settings, path, &error);
  if (entry == NULL)
    return EXIT_LISTEN;
  en_run (entry);
  en_free (entry);
  return 0;
}

int
main (int argc, char **argv)
{
  g_autofree char *path = NULL;
  gboolean check = FALSE;
  gboolean on_platform = FALSE;
  gboolean version = FALSE;
  const GOptionEntry entries[]
      = { { "settings", 's', 0, G_OPTION_ARG_FILENAME, &path,
            "Settings file of this VM", "FILE" },
          { "check", 'c', 0, G_OPTION_ARG_NONE, &check,
            "Check the settings and exit", NULL },
          { "version", 'V', 0, G_OPTION_ARG_NONE, &version,
            "Print which build this is and exit", NULL },
          { "platform", 'p', 0, G_OPTION_ARG_NONE, &on_platform,
            "Run on the users' platform; the settings file is named by the "
            "environment unless --settings is given",
            NULL },
          { NULL } };
  g_autoptr (GOptionContext) context
      = g_option_context_new ("- steer requests to regions and targets");
  g_autoptr (GError) error = NULL;
  SeSettings *settings;
  DmDaemon *daemon;

  setlocale (LC_ALL, "C.UTF-8");
  mm_configure_allocator ();
  g_option_context_add_main_entries (context, entries, NULL);
  if (!g_option_context_parse (context, &argc, &argv, &error))
    {
      fprintf (stderr, "comfreywalkd: %s\n", error->message);
      return EXIT_SETTINGS;
    }
  if (version)
    {
      rl_print_version ("comfreywalkd", stdout);
      return 0;
    }
  if (path == NULL && on_platform)
    path = g_strdup (pf_settings_path ());
  if (path == NULL)
    {
      fprintf (stderr, "comfreywalkd: --settings is missing\n");
      return EXIT_SETTINGS;
    }
  if (on_platform)
    return run_on_platform (path, check);
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
    return EXIT_LISTEN;
  dm_run (daemon);
  /* Without the loop, the default action of a signal would end the process. */
  en_block_signals ();
  dm_free (daemon);
  dm_log_stop ();
  return 0;
}
