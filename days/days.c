#include "days/days.h"

#include <string.h>

/* Of troubles without for_s, such as changes that are there at once.  */
#define DURATION_DEFAULT_S 4.0
#define FIRST_AT_MIN_S 2.0
#define FIRST_AT_MAX_S 6.0
#define AGAIN_AT_MIN_S 16.0
#define AGAIN_AT_MAX_S 22.0

static void
free_trouble (gpointer data)
{
  DyTrouble *trouble = data;

  g_free (trouble->kind);
  g_free (trouble->fields);
  g_free (trouble);
}

static gboolean
is_planned (const char *kind)
{
  static const char *const planned[] = {
    "add_nodes", "config_change", "config_storm", "evacuate", "hup",
    "release",   "revoke",        "roll_term",    "scale_in", "scale_out"
  };

  for (guint i = 0; i < G_N_ELEMENTS (planned); i++)
    if (strcmp (planned[i], kind) == 0)
      return TRUE;
  return FALSE;
}

/* Returns the text after NAME and "=" in FIELDS, or NULL.  */
static const char *
find_field (const char *fields, const char *name)
{
  g_autofree char *key = g_strconcat (name, " = ", NULL);
  const char *at = fields;

  while ((at = strstr (at, key)) != NULL)
    {
      if (at == fields || at[-1] == ' ')
        return at + strlen (key);
      at++;
    }
  return NULL;
}

/* Returns NULL if LINE is no trouble.  */
static DyTrouble *
parse_trouble (const char *line)
{
  const char *open = strchr (line, '{');
  const char *close = strrchr (line, '}');
  g_autofree char *fields = NULL;
  const char *kind;
  const char *duration;
  DyTrouble *trouble;

  if (open == NULL || close == NULL || close < open)
    return NULL;
  fields = g_strstrip (g_strndup (open + 1, (gsize)(close - open - 1)));
  kind = find_field (fields, "kind");
  if (kind == NULL || *kind != '"' || strchr (kind + 1, '"') == NULL)
    return NULL;
  duration = find_field (fields, "for_s");
  trouble = g_new0 (DyTrouble, 1);
  trouble->kind
      = g_strndup (kind + 1, (gsize)(strchr (kind + 1, '"') - kind - 1));
  trouble->for_s = duration != NULL ? g_ascii_strtod (duration, NULL)
                                    : DURATION_DEFAULT_S;
  trouble->is_planned = is_planned (trouble->kind);
  trouble->fields = g_steal_pointer (&fields);
  return trouble;
}

GPtrArray *
dy_read_troubles (const char *site_text)
{
  GPtrArray *troubles = g_ptr_array_new_with_free_func (free_trouble);
  g_auto (GStrv) lines = g_strsplit (site_text, "\n", -1);
  gboolean is_list = FALSE;

  for (char **line = lines; *line != NULL; line++)
    {
      DyTrouble *trouble = is_list ? parse_trouble (*line) : NULL;

      if (trouble != NULL)
        g_ptr_array_add (troubles, trouble);
      if (g_str_has_prefix (*line, "troubles = ["))
        is_list = TRUE;
      else if (is_list && g_str_has_prefix (*line, "]"))
        break;
    }
  return troubles;
}

static void
add_entry (GString *list, const DyTrouble *trouble, double at_s)
{
  char at[G_ASCII_DTOSTR_BUF_SIZE];

  g_string_append_printf (list, "  { at = %s, %s },\n",
                          g_ascii_formatd (at, sizeof at, "%.2f", at_s),
                          trouble->fields);
}

/* Adds BEFORE at AT_S and, while it lasts, AFTER.  */
static void
add_overlap (GString *const lists[2], GRand *random, const DyTrouble *before,
             const DyTrouble *after, double at_s)
{
  add_entry (lists[before->is_planned], before, at_s);
  add_entry (lists[after->is_planned], after,
             at_s + g_rand_double_range (random, 0, before->for_s));
}

char *
dy_format_pair (const GPtrArray *troubles, guint first, guint second,
                uint32_t seed)
{
  const DyTrouble *a = troubles->pdata[first];
  const DyTrouble *b = troubles->pdata[second];
  g_autoptr (GString) faults = g_string_new (NULL);
  g_autoptr (GString) plan = g_string_new (NULL);
  GString *const lists[2] = { faults, plan };
  GRand *random = g_rand_new_with_seed (seed);
  double at_s = g_rand_double_range (random, FIRST_AT_MIN_S, FIRST_AT_MAX_S);

  add_overlap (lists, random, a, b, at_s);
  at_s = g_rand_double_range (random, AGAIN_AT_MIN_S, AGAIN_AT_MAX_S);
  add_overlap (lists, random, b, a, at_s);
  g_rand_free (random);
  return g_strdup_printf ("# Drawn from seed %u.\nname = \"pair-%u-%s-%s\"\n"
                          "plan = [\n%s]\nfaults = [\n%s]\n",
                          seed, seed, a->kind, b->kind, plan->str,
                          faults->str);
}
