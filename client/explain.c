#include <string.h>

#include "client/internal.h"
#include "event/event.h"

/* Changes of a daemon's state are shown with a request, so long before and
   after it.  */
#define STATE_BEFORE_MS 10000
#define STATE_AFTER_MS 1000

typedef struct
{
  int64_t time_ms;
  int64_t number; /* of the event */
  char *vm;
  char *text; /* from the time on */
} Line;

/* What the last line of a request means.  */
static const struct
{
  const char *mark;
  const char *meaning;
} meanings[] = {
  { "reason=keys_not_confirmed",
    "refused, not run: the store had not confirmed the configuration for so "
    "long that a withdrawn key might have been accepted" },
  { "reason=no_configuration",
    "refused, not run: the daemon had no configuration yet" },
  { "reason=rate_exceeded",
    "refused, not run: the customer's share of its rate on this daemon was "
    "used up" },
  { "reason=targets_full",
    "refused, not run: the homes of its object had longer queues than its "
    "latency target allows" },
  { "reason=no_target",
    "refused, not run: no target could be used, for instance for homes, "
    "drains, evacuations or losses" },
  { "reason=target_refused",
    "refused, not run: the targets it was sent to refused it unrun" },
  { "reason=deadline_passed",
    "refused, not run: its time was over before it could be sent" },
  { "reason=key_unknown", "refused, not run: no customer has this key" },
  { "reason=key_missing", "refused, not run: it presented no key" },
  { "reason=no_route", "refused, not run: no route has its host and path" },
  { "outcome=timeout",
    "unknown: it was sent to a target and its time ended before the answer" },
  { "outcome=unknown",
    "unknown: it was sent to a target, which may have run it, and no usable "
    "answer came back" },
  { "outcome=served", "served by the last target named" },
  { "outcome=passed", "failed by the last target named; its answer was "
                      "passed on" },
  { "event=407 ", "cancelled: the caller left before the answer" },
};

static void
free_line (gpointer data)
{
  Line *line = data;

  g_free (line->vm);
  g_free (line->text);
  g_free (line);
}

/* The value of a field, up to a space; NULL without it.  */
static char *
field (const char *text, const char *name)
{
  g_autofree char *mark = g_strconcat (" ", name, "=", NULL);
  const char *at = strstr (text, mark);

  if (at == NULL)
    return NULL;
  at += strlen (mark);
  return g_strndup (at, strcspn (at, " \n"));
}

/* NULL where TEXT is not a line of a daemon.  */
static Line *
parse_line (const char *text)
{
  const char *start = strstr (text, "time_ms=");
  g_autofree char *number = NULL;
  g_autofree char *vm = NULL;
  Line *line;

  if (start == NULL)
    return NULL;
  number = field (start, "event");
  vm = field (start, "vm");
  if (number == NULL || vm == NULL)
    return NULL;
  line = g_new0 (Line, 1);
  line->time_ms = g_ascii_strtoll (start + strlen ("time_ms="), NULL, 10);
  line->number = g_ascii_strtoll (number, NULL, 10);
  line->vm = g_steal_pointer (&vm);
  line->text = g_strdup (start);
  return line;
}

static gboolean
read_log (ClContext *context, const char *path, GPtrArray *lines)
{
  g_autofree char *text = NULL;
  g_autoptr (GError) error = NULL;
  g_auto (GStrv) rows = NULL;

  if (!g_file_get_contents (path, &text, NULL, &error))
    {
      cl_complain (context, "%s", error->message);
      return FALSE;
    }
  rows = g_strsplit (text, "\n", -1);
  for (char **row = rows; *row != NULL; row++)
    {
      Line *line = parse_line (*row);
      if (line != NULL)
        g_ptr_array_add (lines, line);
    }
  return TRUE;
}

static gint
by_time (gconstpointer a, gconstpointer b)
{
  const Line *left = *(const Line *const *)a;
  const Line *right = *(const Line *const *)b;

  return (left->time_ms > right->time_ms) - (left->time_ms < right->time_ms);
}

static gboolean
is_of_request (const Line *line, const char *id)
{
  g_autofree char *value = field (line->text, "request");

  return value != NULL && strcmp (value, id) == 0;
}

static gboolean
is_state (const Line *line)
{
  static const EvNumber states[]
      = { EV_DAEMON_STARTED, EV_DAEMON_DRAINING, EV_CONFIG_IN_FORCE,
          EV_CONFIG_STALE,   EV_CONFIG_FRESH,    EV_STORE_DOWN,
          EV_STORE_UP,       EV_SHARES_CHANGED,  EV_LINES_DROPPED };

  for (guint i = 0; i < G_N_ELEMENTS (states); i++)
    if (line->number == (int64_t)states[i])
      return TRUE;
  return FALSE;
}

/* Whether LINE tells the state of the daemon that took the request.  */
static gboolean
is_context (const Line *line, const Line *first, const Line *last)
{
  return is_state (line) && strcmp (line->vm, first->vm) == 0
         && line->time_ms <= last->time_ms + STATE_AFTER_MS
         && line->time_ms >= first->time_ms - STATE_BEFORE_MS;
}

static const char *
meaning_of (const Line *line)
{
  for (guint i = 0; i < G_N_ELEMENTS (meanings); i++)
    if (strstr (line->text, meanings[i].mark) != NULL)
      return meanings[i].meaning;
  return "under way: the logs hold no end of it";
}

int
cl_explain (ClContext *context)
{
  g_autoptr (GPtrArray) lines = g_ptr_array_new_with_free_func (free_line);
  const char *id = context->arguments[0];
  const Line *first = NULL;
  const Line *last = NULL;

  for (int i = 1; i < context->argument_count; i++)
    if (!read_log (context, context->arguments[i], lines))
      return CL_EXIT_USAGE;
  g_ptr_array_sort (lines, by_time);
  for (guint i = 0; i < lines->len; i++)
    if (is_of_request (lines->pdata[i], id))
      {
        last = lines->pdata[i];
        if (first == NULL)
          first = last;
      }
  if (first == NULL)
    {
      cl_complain (context, "no line of request %s in these logs", id);
      return CL_EXIT_REFUSED;
    }
  for (guint i = 0; i < lines->len; i++)
    if (is_of_request (lines->pdata[i], id)
        || is_context (lines->pdata[i], first, last))
      cl_say (context, "%s\n", ((Line *)lines->pdata[i])->text);
  cl_say (context, "%s: %s\n", id, meaning_of (last));
  return CL_EXIT_DONE;
}
