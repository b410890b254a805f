/* The explain command: prints a request's log lines and its outcome.  */

#include <string.h>

#include "client/internal.h"
#include "event/event.h"

/* Changes of the daemon's state are shown from STATE_BEFORE_MS before the
   first line of the request to STATE_AFTER_MS after its last.  */
#define STATE_BEFORE_MS 10000
#define STATE_AFTER_MS 1000

typedef struct
{
  int64_t time_ms;
  int64_t event_number;
  char *vm;
  char *text; /* from time_ms= on, without what the log has before it */
} LogLine;

/* Outcomes of a request by what its last line contains; the first that matches
   is used.  */
static const struct
{
  const char *pattern;
  const char *description;
} outcomes[] = {
  { "reason=daemon_stopping",
    "refused, not run: the daemon was stopping and might not have finished "
    "it" },
  { "reason=daemon_ended",
    "unknown: it was at a target when the daemon ended" },
  { "reason=keys_not_confirmed",
    "refused, not run: the store had not confirmed the configuration for so "
    "long that a withdrawn key might have been accepted" },
  { "reason=config_not_confirmed",
    "refused, not run: this daemon had no such route or key, and the store "
    "had "
    "not confirmed its configuration for so long that a later one may have" },
  { "reason=config_older_than_others",
    "refused, not run: other daemons had a newer configuration than this one "
    "could read from the store" },
  { "reason=members_unknown",
    "refused, not run: the daemon had just started, had no such route and had "
    "not yet heard whether others have a newer configuration" },
  { "reason=no_configuration",
    "refused, not run: the daemon had no configuration yet" },
  { "reason=rate_exceeded_in_region ",
    "refused, not run: the customer's rate in this region was used up, as the "
    "daemon that keeps its tokens there replied" },
  { "reason=rate_exceeded ",
    "refused, not run: the customer's share of its rate on this daemon was "
    "used up" },
  { "reason=crashes_targets",
    "not tried again: the same request was on several targets when they "
    "ended, and has not run well since" },
  { "reason=targets_limited",
    "refused, not run: the targets that it may use state how many requests a "
    "second they take, and had that many" },
  { "reason=targets_full",
    "refused, not run: the replicas of its object had longer queues than its "
    "latency target allows" },
  { "reason=share_used",
    "refused, not run: its customer or address held more than a share of the "
    "requests at the targets, and the places left were for others" },
  { "reason=no_target",
    "refused, not run: no target could be used, for instance because of home "
    "regions, drains, evacuations or lost targets" },
  { "reason=target_refused",
    "refused, not run: the targets it was sent to refused to run it" },
  { "reason=deadline_passed ",
    "refused, not run: its deadline passed before it could be sent" },
  { "reason=deadline_passed_in_retry ",
    "unknown: it may have run at a target, and its deadline passed while it "
    "was held before it was sent to another one" },
  { "reason=key_unknown", "refused, not run: no customer has this key" },
  { "reason=key_missing", "refused, not run: it had no key" },
  { "reason=no_route", "refused, not run: no route has its host and path" },
  { "outcome=timeout",
    "unknown: it was sent to a target and its deadline passed before the "
    "response" },
  { "outcome=unknown",
    "unknown: it was sent to a target, which may have run it, and no usable "
    "response was received" },
  { "outcome=served", "served by the last target named" },
  { "outcome=passed", "failed by the last target named; its response was "
                      "passed on" },
  { "event=407 ",
    "cancelled: the caller closed the connection before the response" },
  { "event=409 ",
    "lost: the daemon ended and closed the connection without a response" },
};

static void
log_line_free (gpointer data)
{
  LogLine *line = data;

  g_free (line->vm);
  g_free (line->text);
  g_free (line);
}

/* Returns the value of the field NAME, up to a space; NULL if TEXT has no such
   field.  The caller frees it.  */
static char *
get_field (const char *text, const char *name)
{
  g_autofree char *prefix = g_strconcat (" ", name, "=", NULL);
  const char *value = strstr (text, prefix);

  if (value == NULL)
    return NULL;
  value += strlen (prefix);
  return g_strndup (value, strcspn (value, " \n"));
}

/* NULL if TEXT is not a log line of a daemon.  */
static LogLine *
parse_line (const char *text)
{
  const char *start = strstr (text, "time_ms=");
  g_autofree char *event_number = NULL;
  g_autofree char *vm = NULL;
  LogLine *line;

  if (start == NULL)
    return NULL;
  event_number = get_field (start, "event");
  vm = get_field (start, "vm");
  if (event_number == NULL || vm == NULL)
    return NULL;
  line = g_new0 (LogLine, 1);
  line->time_ms = g_ascii_strtoll (start + strlen ("time_ms="), NULL, 10);
  line->event_number = g_ascii_strtoll (event_number, NULL, 10);
  line->vm = g_steal_pointer (&vm);
  line->text = g_strdup (start);
  return line;
}

static gboolean
read_log (ClContext *context, const char *path, GPtrArray *lines)
{
  g_autofree char *text = NULL;
  g_autoptr (GError) error = NULL;
  g_auto (GStrv) texts = NULL;

  if (!g_file_get_contents (path, &text, NULL, &error))
    {
      cl_print_error (context, "%s", error->message);
      return FALSE;
    }
  texts = g_strsplit (text, "\n", -1);
  for (char **line_text = texts; *line_text != NULL; line_text++)
    {
      LogLine *line = parse_line (*line_text);
      if (line != NULL)
        g_ptr_array_add (lines, line);
    }
  return TRUE;
}

static gint
compare_line_times (gconstpointer a, gconstpointer b)
{
  const LogLine *left = *(const LogLine *const *)a;
  const LogLine *right = *(const LogLine *const *)b;

  return (left->time_ms > right->time_ms) - (left->time_ms < right->time_ms);
}

static gboolean
is_about_request (const LogLine *line, const char *request_id)
{
  g_autofree char *line_id = get_field (line->text, "request");

  return line_id != NULL && strcmp (line_id, request_id) == 0;
}

static gboolean
is_state_event (const LogLine *line)
{
  static const EvNumber states[]
      = { EV_DAEMON_STARTED, EV_DAEMON_DRAINING, EV_CONFIG_IN_FORCE,
          EV_CONFIG_STALE,   EV_CONFIG_FRESH,    EV_STORE_DOWN,
          EV_STORE_UP,       EV_SHARES_CHANGED,  EV_LINES_DROPPED };

  for (guint i = 0; i < G_N_ELEMENTS (states); i++)
    if (line->event_number == (int64_t)states[i])
      return TRUE;
  return FALSE;
}

/* Whether LINE reports a state of the daemon that received the request, near
   the time of the request.  FIRST and LAST are the request's first and last
   lines.  */
static gboolean
is_state_near_request (const LogLine *line, const LogLine *first,
                       const LogLine *last)
{
  return is_state_event (line) && strcmp (line->vm, first->vm) == 0
         && line->time_ms <= last->time_ms + STATE_AFTER_MS
         && line->time_ms >= first->time_ms - STATE_BEFORE_MS;
}

const char *
cl_describe_outcome (const char *text)
{
  for (guint i = 0; i < G_N_ELEMENTS (outcomes); i++)
    if (strstr (text, outcomes[i].pattern) != NULL)
      return outcomes[i].description;
  return "in progress: the logs have no outcome of it";
}

int
cl_explain (ClContext *context)
{
  g_autoptr (GPtrArray) lines = g_ptr_array_new_with_free_func (log_line_free);
  const char *request_id = context->arguments[0];
  const LogLine *first = NULL;
  const LogLine *last = NULL;

  for (int i = 1; i < context->argument_count; i++)
    if (!read_log (context, context->arguments[i], lines))
      return CL_EXIT_USAGE;
  g_ptr_array_sort (lines, compare_line_times);
  for (guint i = 0; i < lines->len; i++)
    if (is_about_request (lines->pdata[i], request_id))
      {
        last = lines->pdata[i];
        if (first == NULL)
          first = last;
      }
  if (first == NULL)
    {
      cl_print_error (context, "the logs have no line of request %s",
                      request_id);
      return CL_EXIT_REFUSED;
    }
  for (guint i = 0; i < lines->len; i++)
    if (is_about_request (lines->pdata[i], request_id)
        || is_state_near_request (lines->pdata[i], first, last))
      cl_print (context, "%s\n", ((LogLine *)lines->pdata[i])->text);
  cl_print (context, "%s: %s\n", request_id, cl_describe_outcome (last->text));
  return CL_EXIT_DONE;
}
