/* The where command: asks a daemon where it would send a request now.  */

#include <inttypes.h>
#include <string.h>

#include "client/internal.h"

#define STANDARD_INPUT "-"

static void
append_parameter (GString *query, const char *name, const char *value)
{
  g_autofree char *escaped = NULL;

  if (value == NULL)
    return;
  escaped = g_uri_escape_string (value, NULL, FALSE);
  g_string_append_printf (query, "%c%s=%s", query->len == 0 ? '?' : '&', name,
                          escaped);
}

static char *
format_hex (const uint8_t *bytes, size_t count)
{
  GString *text = g_string_new (NULL);

  for (size_t i = 0; i < count; i++)
    g_string_append_printf (text, "%02x", bytes[i]);
  return g_string_free (text, FALSE);
}

/* Returns the query string of the question, with its question mark; NULL with
   EXIT_CODE set after an error.  It contains the SHA-256 of the key, not the
   key.  */
static char *
make_question (ClContext *context, int *exit_code)
{
  const ClOptions *options = &context->options;
  g_autofree char *key_sha256 = NULL;
  g_autofree char *deadline_ms = NULL;
  GString *question;

  if (options->host == NULL || options->path == NULL)
    {
      cl_print_error (context, "where needs --host and --path");
      *exit_code = CL_EXIT_USAGE;
      return NULL;
    }
  if (options->key_file != NULL)
    {
      gboolean is_input = strcmp (options->key_file, STANDARD_INPUT) == 0;
      uint8_t digest[CF_SHA256_BYTES];
      if (!cl_read_key_sha256 (context, is_input ? NULL : options->key_file,
                               digest))
        {
          *exit_code = CL_EXIT_REFUSED;
          return NULL;
        }
      key_sha256 = format_hex (digest, sizeof digest);
    }
  if (options->deadline_ms >= 0)
    deadline_ms = g_strdup_printf ("%" PRId64, options->deadline_ms);
  question = g_string_new (NULL);
  append_parameter (question, "host", options->host);
  append_parameter (question, "path", options->path);
  append_parameter (question, "method", options->method);
  append_parameter (question, "key_sha256", key_sha256);
  append_parameter (question, "object", options->object);
  append_parameter (question, "deadline_ms", deadline_ms);
  append_parameter (question, "id", options->request_id);
  return g_string_free (question, FALSE);
}

static double
get_number (struct json_object *object, const char *name)
{
  return json_object_get_double (cl_json_member (object, name));
}

static void
print_daemon (ClContext *context, struct json_object *answer)
{
  cl_print (context, "daemon %s, zone %s, region %s",
            cl_json_string (answer, "vm"), cl_json_string (answer, "zone"),
            cl_json_string (answer, "region"));
  if (cl_json_member (answer, "config_version") != NULL)
    cl_print (context,
              ", configuration %" PRId64 " confirmed %" PRId64 " ms ago",
              cl_json_int (answer, "config_version"),
              cl_json_int (answer, "config_age_ms"));
  cl_print (context, "\n");
}

static void
print_route (ClContext *context, struct json_object *answer)
{
  struct json_object *route = cl_json_member (answer, "route");

  if (route == NULL)
    return;
  cl_print (context, "route %s: service %s", cl_json_string (route, "name"),
            cl_json_string (route, "service"));
  if (cl_json_member (route, "latency_target_ms") != NULL)
    cl_print (context,
              ", priority %" PRId64 ", latency target %" PRId64
              " ms, deadline %" PRId64 " ms",
              cl_json_int (route, "priority"),
              cl_json_int (route, "latency_target_ms"),
              cl_json_int (route, "deadline_ms"));
  cl_print (context, "\n");
  if (cl_json_member (answer, "customer") != NULL)
    cl_print (context, "customer %s: token %s\n",
              cl_json_string (answer, "customer"),
              cl_json_string (answer, "token"));
}

/* Only daemons on a platform name an outcome.  */
static void
print_refusal (ClContext *context, struct json_object *answer)
{
  const char *reason = cl_json_string (answer, "reason");
  const char *outcome = cl_json_string (answer, "outcome");
  g_autofree char *field = g_strdup_printf ("reason=%s ", reason);

  cl_print (context, "refuse: status %" PRId64 "%s%s, reason %s",
            cl_json_int (answer, "status"),
            *outcome != '\0' ? ", outcome " : "", outcome, reason);
  if (cl_json_member (answer, "retry_after_ms") != NULL)
    cl_print (context, ", retry after %" PRId64 " ms",
              cl_json_int (answer, "retry_after_ms"));
  cl_print (context, "\n");
  if (*outcome != '\0')
    cl_print (context, "  %s\n", cl_describe_outcome (field));
}

static const struct
{
  const char *name;
  const char *text;
  gboolean has_target;
} decisions[] = {
  { "send", "send to", TRUE },
  { "hold", "hold until another request has filled the cache of", TRUE },
  { "send_own", "send, with a slot of this daemon's own", FALSE },
  { "borrow", "borrow a slot from another daemon, then send", FALSE },
  { "queue", "wait in the queue for a slot", FALSE },
};

static void
print_decision (ClContext *context, struct json_object *answer)
{
  const char *decision = cl_json_string (answer, "decision");

  if (strcmp (decision, "refuse") == 0)
    print_refusal (context, answer);
  for (size_t i = 0; i < G_N_ELEMENTS (decisions); i++)
    {
      if (strcmp (decisions[i].name, decision) != 0)
        continue;
      cl_print (context, "%s", decisions[i].text);
      if (decisions[i].has_target)
        cl_print (context, " %s, zone %s, region %s",
                  cl_json_string (answer, "target"),
                  cl_json_string (answer, "target_zone"),
                  cl_json_string (answer, "target_region"));
      cl_print (context, "\n");
    }
  if (cl_json_member (answer, "draws") != NULL)
    cl_print (context, "%" PRId64 " requests in the queue of the service\n",
              cl_json_int (answer, "queue_length"));
}

static void
print_replicas (ClContext *context, struct json_object *answer)
{
  struct json_object *replicas = cl_json_member (answer, "replicas");
  size_t count = replicas != NULL ? json_object_array_length (replicas) : 0;

  if (count == 0)
    return;
  cl_print (context, "replicas of the object:");
  for (size_t i = 0; i < count; i++)
    cl_print (
        context, " %s",
        json_object_get_string (json_object_array_get_idx (replicas, i)));
  cl_print (context, "\n");
}

/* Widths of the columns of names.  */
typedef struct
{
  int id;
  int zone;
  int region;
  int state;
} Widths;

static void
widen (int *width, struct json_object *candidate, const char *name)
{
  *width = MAX (*width, (int)strlen (cl_json_string (candidate, name)));
}

static Widths
measure_candidates (struct json_object *candidates)
{
  Widths widths = { .id = strlen ("target"),
                    .zone = strlen ("zone"),
                    .region = strlen ("region"),
                    .state = strlen ("state") };

  for (size_t i = 0; i < json_object_array_length (candidates); i++)
    {
      struct json_object *candidate
          = json_object_array_get_idx (candidates, i);
      widen (&widths.id, candidate, "id");
      widen (&widths.zone, candidate, "zone");
      widen (&widths.region, candidate, "region");
      widen (&widths.state, candidate, "state");
    }
  return widths;
}

typedef struct
{
  const char *field;
  const char *title;
  int decimals;
} Column;

static const Column platform_columns[] = {
  { "cost_ms", "  cost", 0 },
  { "wait_ms", "  wait", 0 },
  { "service_ms", "service", 0 },
  { "network_ms", "network", 0 },
  { "slowness", " slow", 2 },
  { "error_fraction", "errors", 3 },
  { "queue_length", "queue", 1 },
  { "in_flight", "sent", 0 },
  { "slots", "slots", 0 },
  { "load_age_ms", "load age", 0 },
  { NULL },
};

/* Of a daemon on its own interface.  */
static const Column own_columns[] = {
  { "chosen_count", "chosen", 0 },
  { "own_free_slots", "own free", 0 },
  { "lendable_slots", "lendable", 0 },
  { "slots_in_use", "in use", 0 },
  { "slots", "slots", 0 },
  { "limit_slots", "limit", 0 },
  { "latency_ms", "latency", 0 },
  { "shed_permille", "shed/1000", 0 },
  { "load_age_ms", "load age", 0 },
  { NULL },
};

static void
print_candidate (ClContext *context, const Widths *widths,
                 const Column *columns, struct json_object *candidate)
{
  cl_print (context, "%c%c%c %-*s %-*s %-*s %-*s",
            cl_json_bool (candidate, "chosen") ? '*' : ' ',
            cl_json_bool (candidate, "replica") ? 'r' : ' ',
            cl_json_bool (candidate, "cached") ? 'c' : ' ', widths->id,
            cl_json_string (candidate, "id"), widths->zone,
            cl_json_string (candidate, "zone"), widths->region,
            cl_json_string (candidate, "region"), widths->state,
            cl_json_string (candidate, "state"));
  for (const Column *column = columns; column->field != NULL; column++)
    if (cl_json_member (candidate, column->field) != NULL)
      cl_print (context, " %*.*f", (int)strlen (column->title),
                column->decimals, get_number (candidate, column->field));
    else
      cl_print (context, " %*s", (int)strlen (column->title), "-");
  cl_print (context, "\n");
}

static void
print_candidates (ClContext *context, struct json_object *answer)
{
  struct json_object *candidates = cl_json_member (answer, "candidates");
  gboolean is_own = cl_json_member (answer, "draws") != NULL;
  const Column *columns = is_own ? own_columns : platform_columns;
  Widths widths;

  if (candidates == NULL)
    return;
  cl_print (context, "%zu of %" PRId64 " targets",
            json_object_array_length (candidates),
            cl_json_int (answer, "target_count"));
  if (is_own)
    cl_print (context, " (chosen: in how many of %" PRId64 " random draws)",
              cl_json_int (answer, "draws"));
  else
    cl_print (context, " (* chosen, r replica, c cached; times in ms)");
  widths = measure_candidates (candidates);
  cl_print (context, ":\n    %-*s %-*s %-*s %-*s", widths.id, "target",
            widths.zone, "zone", widths.region, "region", widths.state,
            "state");
  for (const Column *column = columns; column->field != NULL; column++)
    cl_print (context, " %s", column->title);
  cl_print (context, "\n");
  for (size_t i = 0; i < json_object_array_length (candidates); i++)
    print_candidate (context, &widths, columns,
                     json_object_array_get_idx (candidates, i));
}

static int
print_answer (ClContext *context, struct json_object *answer)
{
  struct json_object *host_known = cl_json_member (answer, "host_known");

  if (context->options.json)
    cl_print_json (context, answer);
  else
    {
      print_daemon (context, answer);
      print_route (context, answer);
      print_decision (context, answer);
      print_replicas (context, answer);
      print_candidates (context, answer);
    }
  if (host_known == NULL || json_object_get_boolean (host_known))
    return CL_EXIT_DONE;
  cl_print_error (context, "no route has the host \"%s\"",
                  context->options.host);
  return CL_EXIT_REFUSED;
}

/* On the readiness address of a daemon on a platform, and on the admin address
   of one on its own interface.  */
static const char *const where_paths[] = { "/where", "/v1/where" };

/* Sets the status of RESPONSE to 404 if DAEMON has neither path.  */
static void
request_answer (ClContext *context, const ClDaemon *daemon,
                const char *question, ClResponse *response)
{
  for (size_t i = 0; i < G_N_ELEMENTS (where_paths); i++)
    {
      g_autofree char *path = g_strconcat (where_paths[i], question, NULL);

      cl_request (context, daemon, path, NULL, response);
      if (response->status != 404 || i + 1 == G_N_ELEMENTS (where_paths))
        return;
      cl_response_clear (response);
    }
}

/* Returns TRUE and sets EXIT_CODE if DAEMON has answered.  */
static gboolean
ask_daemon (ClContext *context, const ClDaemon *daemon, const char *question,
            int *exit_code)
{
  ClResponse response;
  struct json_object *answer = NULL;
  gboolean is_answered = TRUE;

  request_answer (context, daemon, question, &response);
  if (response.status == 200 || response.status == 400)
    answer = json_tokener_parse (response.body);
  if (response.status == 200 && answer != NULL)
    *exit_code = print_answer (context, answer);
  else if (response.status == 400 && answer != NULL)
    {
      cl_print_error (context, "%s", cl_json_string (answer, "error"));
      *exit_code = CL_EXIT_USAGE;
    }
  else
    {
      cl_print_error (context, "%s: %s", daemon->address_text,
                      response.status == 0
                          ? "does not answer"
                          : "is neither the readiness address of a daemon on "
                            "a platform nor the admin address of another one");
      is_answered = FALSE;
    }
  json_object_put (answer);
  cl_response_clear (&response);
  return is_answered;
}

int
cl_where (ClContext *context)
{
  int exit_code = CL_EXIT_NO_DAEMON;
  g_autofree char *question = make_question (context, &exit_code);

  if (question == NULL)
    return exit_code;
  for (guint i = 0; i < context->daemons->len; i++)
    if (ask_daemon (context, g_ptr_array_index (context->daemons, i), question,
                    &exit_code))
      return exit_code;
  return CL_EXIT_NO_DAEMON;
}
