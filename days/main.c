/* pair-days - writes day files that pair the troubles of a deployment  */

#include <stdio.h>

#include "days/days.h"

typedef struct
{
  char *site;
  char *out;
  int seed;
  int count;
} Options;

static gboolean
parse_options (int argc, char **argv, Options *options)
{
  const GOptionEntry entries[] = {
    { "site", 's', 0, G_OPTION_ARG_FILENAME, &options->site,
      "File of the deployment", "FILE" },
    { "out", 'o', 0, G_OPTION_ARG_FILENAME, &options->out,
      "Directory for the days", "DIR" },
    { "seed", 'r', 0, G_OPTION_ARG_INT, &options->seed, "First seed", "N" },
    { "count", 'n', 0, G_OPTION_ARG_INT, &options->count,
      "Days to write; all pairs by default", "N" },
    { NULL },
  };
  g_autoptr (GOptionContext) context
      = g_option_context_new ("- write days that pair kinds of trouble");
  g_autoptr (GError) error = NULL;

  g_option_context_add_main_entries (context, entries, NULL);
  if (g_option_context_parse (context, &argc, &argv, &error)
      && options->site != NULL && options->out != NULL)
    return TRUE;
  fprintf (stderr, "pair-days: %s\n",
           error != NULL ? error->message : "--site and --out are needed");
  return FALSE;
}

/* Pair NUMBER of COUNT troubles, in an order drawn from SEED, so that the
   first ones of a seed are spread over all kinds.  */
static void
choose_pair (GRand *random, guint count, guint *first, guint *second)
{
  *first = (guint)g_rand_int_range (random, 0, (gint32)count);
  *second = (guint)g_rand_int_range (random, 0, (gint32)count - 1);
  *second += *second >= *first;
}

static gboolean
write_day (const Options *options, const GPtrArray *troubles, guint first,
           guint second, uint32_t seed)
{
  g_autofree char *text = dy_format_pair (troubles, first, second, seed);
  g_autofree char *name = g_strdup_printf ("pair-%u.toml", seed);
  g_autofree char *path = g_build_filename (options->out, name, NULL);
  g_autoptr (GError) error = NULL;

  if (g_file_set_contents (path, text, -1, &error))
    return TRUE;
  fprintf (stderr, "pair-days: %s\n", error->message);
  return FALSE;
}

static int
write_days (const Options *options, const GPtrArray *troubles)
{
  GRand *random = g_rand_new_with_seed ((uint32_t)options->seed);
  guint count = troubles->len;
  gboolean is_written = TRUE;

  if (options->count > 0)
    for (int i = 0; i < options->count && is_written; i++)
      {
        guint first;
        guint second;
        choose_pair (random, count, &first, &second);
        is_written = write_day (options, troubles, first, second,
                                (uint32_t)(options->seed + i));
      }
  else
    for (guint i = 0; i < count * (count - 1) / 2 && is_written; i++)
      {
        guint first = 0;
        guint at = i;
        while (at >= count - 1 - first)
          at -= count - 1 - first++;
        is_written = write_day (options, troubles, first, first + 1 + at,
                                (uint32_t)options->seed + i);
      }
  g_rand_free (random);
  return is_written ? 0 : 1;
}

int
main (int argc, char **argv)
{
  Options options = { .seed = 1 };
  g_autoptr (GError) error = NULL;
  g_autoptr (GPtrArray) troubles = NULL;
  g_autofree char *text = NULL;
  int status = 1;

  if (!parse_options (argc, argv, &options))
    return 2;
  if (!g_file_get_contents (options.site, &text, NULL, &error))
    fprintf (stderr, "pair-days: %s\n", error->message);
  else
    {
      troubles = dy_read_troubles (text);
      if (troubles->len < 2)
        fprintf (stderr, "pair-days: %s lists no troubles\n", options.site);
      else
        status = write_days (&options, troubles);
    }
  g_free (options.site);
  g_free (options.out);
  return status;
}
