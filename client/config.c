#include "client/internal.h"

#include <inttypes.h>
#include <string.h>

#define REDO_MAX 5

typedef enum
{
  WRITE_APPLIED,
  WRITE_LOST,
  WRITE_REFUSED,
  WRITE_UNKNOWN,
  WRITE_NO_DAEMON,
} WriteResult;

static const struct
{
  const char *name;
  int exit;
} write_results[] = {
  [WRITE_APPLIED] = { "applied", CL_EXIT_DONE },
  [WRITE_LOST] = { "not applied", CL_EXIT_LOST },
  [WRITE_REFUSED] = { "not applied", CL_EXIT_REFUSED },
  [WRITE_UNKNOWN] = { "unknown", CL_EXIT_UNKNOWN },
  [WRITE_NO_DAEMON] = { "not applied", CL_EXIT_NO_DAEMON },
};

typedef struct
{
  ClContext *context;
  char *op_id;
  uint64_t base_version;
  char *body;
  /* A daemon may have got the change although it did not say what became of
     it; from then on only a definite answer ends the doubt.  */
  gboolean in_doubt;
  /* A daemon answered after more than half of the members had acknowledged
     the version.  A change that was read back may lack that.  */
  gboolean acknowledged;
  uint64_t version; /* applied, or the one that was first */
  char *author;     /* of the change that was first */
  char *reason;
} Write;

CfConfig *
cl_fetch_config (ClContext *context, int *exit)
{
  gboolean empty = FALSE;

  for (guint i = 0; i < context->daemons->len; i++)
    {
      const ClDaemon *daemon = g_ptr_array_index (context->daemons, i);
      g_autoptr (GError) error = NULL;
      CfConfig *config = NULL;
      ClAnswer answer;

      cl_ask (context, daemon, "/v1/config", NULL, &answer);
      if (answer.status == 200)
        config = cf_from_json (answer.body, answer.length, &error);
      empty = empty || answer.status == 503;
      if (answer.status != 200)
        cl_complain (context, "%s: %s", daemon->text,
                     answer.status == 503 ? "has no configuration yet"
                                          : "does not answer");
      else if (config == NULL)
        cl_complain (context, "%s: %s", daemon->text, error->message);
      cl_answer_clear (&answer);
      if (config != NULL)
        return config;
    }
  if (empty)
    return cf_new ();
  *exit = CL_EXIT_NO_DAEMON;
  return NULL;
}

static void
keep_reason (Write *write, struct json_object *answer)
{
  struct json_object *errors = cl_member (answer, "errors");
  struct json_object *first = json_object_is_type (errors, json_type_array)
                                  ? json_object_array_get_idx (errors, 0)
                                  : NULL;

  if (first == NULL)
    return;
  g_free (write->reason);
  write->reason = g_strdup (json_object_get_string (first));
}

/* Another change has won.  While in doubt that proves something only if it
   took the very version that ours would have.  */
static WriteResult
judge_lost (Write *write, struct json_object *answer)
{
  write->version = (uint64_t)cl_number (answer, "version");
  if (strcmp (cl_text (answer, "op_id"), write->op_id) == 0)
    return WRITE_APPLIED;
  g_free (write->author);
  write->author = g_strdup (cl_text (answer, "author"));
  if (write->in_doubt && write->version != write->base_version + 1)
    return WRITE_UNKNOWN;
  return WRITE_LOST;
}

static WriteResult
read_back (Write *write, WriteResult result)
{
  ClContext *context = write->context;
  g_autofree char *path
      = g_strdup_printf ("/v1/config/operation/%s?base_version=%" PRIu64,
                         write->op_id, write->base_version);

  for (guint i = 0; i < context->daemons->len; i++)
    {
      const ClDaemon *daemon = g_ptr_array_index (context->daemons, i);
      struct json_object *answer = cl_ask_json (context, daemon, path);
      g_autofree char *said = g_strdup (cl_text (answer, "result"));
      uint64_t version = (uint64_t)cl_number (answer, "version");

      json_object_put (answer);
      if (strcmp (said, "applied") != 0 && strcmp (said, "not_applied") != 0)
        continue;
      write->version = version;
      return strcmp (said, "applied") == 0 ? WRITE_APPLIED : WRITE_LOST;
    }
  return result;
}

static WriteResult
post (Write *write, const ClDaemon *daemon)
{
  struct json_object *status
      = cl_ask_json (write->context, daemon, "/v1/status");
  struct json_object *answer = NULL;
  WriteResult result = WRITE_UNKNOWN;
  g_autofree char *said = NULL;
  ClAnswer raw;

  /* A daemon that is known not to answer gets no change that may then be in
     doubt.  */
  if (status == NULL)
    return WRITE_NO_DAEMON;
  json_object_put (status);
  cl_ask (write->context, daemon, "/v1/config", write->body, &raw);
  if (raw.status != 0)
    answer = json_tokener_parse (raw.body);
  said = g_strdup (cl_text (answer, "result"));
  keep_reason (write, answer);
  if (raw.status == 200 && strcmp (said, "applied") == 0)
    {
      write->version = (uint64_t)cl_number (answer, "version");
      write->acknowledged = TRUE;
      result = WRITE_APPLIED;
    }
  else if (raw.status == 409 && strcmp (said, "lost") == 0)
    result = judge_lost (write, answer);
  else if (raw.status >= 400 && strcmp (said, "refused") == 0)
    result = WRITE_REFUSED;
  json_object_put (answer);
  cl_answer_clear (&raw);
  return result;
}

/* The change may be sent through several daemons: it has one operation id and
   one base version, so it takes effect at most once.  */
static WriteResult
write_through (Write *write)
{
  ClContext *context = write->context;
  WriteResult result = WRITE_NO_DAEMON;

  for (guint i = 0; i < context->daemons->len; i++)
    {
      const ClDaemon *daemon = g_ptr_array_index (context->daemons, i);
      WriteResult now = post (write, daemon);

      if (now == WRITE_UNKNOWN)
        {
          write->in_doubt = TRUE;
          now = read_back (write, WRITE_UNKNOWN);
        }
      if (now == WRITE_APPLIED || now == WRITE_LOST)
        return now;
      if (now == WRITE_REFUSED || result == WRITE_NO_DAEMON)
        result = now;
    }
  return write->in_doubt ? read_back (write, WRITE_UNKNOWN) : result;
}

static void
explain (Write *write, WriteResult result)
{
  ClContext *context = write->context;

  if (result == WRITE_APPLIED)
    cl_say (context, "applied: version %" PRIu64 " (operation %s)\n",
            write->version, write->op_id);
  else if (result == WRITE_LOST)
    cl_complain (context,
                 "not applied: %s wrote version %" PRIu64
                 " after version %" PRIu64 " was read",
                 write->author != NULL ? write->author : "another operator",
                 write->version, write->base_version);
  else if (result == WRITE_REFUSED)
    cl_complain (context, "not applied: %s",
                 write->reason != NULL ? write->reason : "refused");
  else if (result == WRITE_UNKNOWN)
    cl_complain (context,
                 "unknown: no daemon can tell yet whether operation %s took "
                 "effect; look at the version and author with \"status\" and "
                 "\"diff\" before trying again",
                 write->op_id);
  else
    cl_complain (context, "not applied: no daemon answers");
}

static int
report (Write *write, WriteResult result)
{
  ClContext *context = write->context;
  struct json_object *root = json_object_new_object ();
  int exit = write_results[result].exit;

  json_object_object_add (root, "result",
                          json_object_new_string (write_results[result].name));
  json_object_object_add (root, "op_id",
                          json_object_new_string (write->op_id));
  json_object_object_add (
      root, "base_version",
      json_object_new_int64 ((int64_t)write->base_version));
  json_object_object_add (root, "version",
                          json_object_new_int64 ((int64_t)write->version));
  if (write->author != NULL)
    json_object_object_add (root, "author",
                            json_object_new_string (write->author));
  if (write->reason != NULL)
    json_object_object_add (root, "reason",
                            json_object_new_string (write->reason));
  if (!context->options.json)
    explain (write, result);
  if (result == WRITE_APPLIED
      && (context->options.wait || !write->acknowledged))
    exit = cl_wait_in_force (context, write->version, root);
  if (context->options.json)
    cl_print_json (context, root);
  json_object_put (root);
  return exit;
}

/* What the change that was first has done to the version that was read.  */
static void
explain_lost (ClContext *context, const CfConfig *read)
{
  int exit;
  g_autoptr (CfConfig) now = cl_fetch_config (context, &exit);
  g_autoptr (GPtrArray) lines = NULL;

  if (now == NULL)
    return;
  lines = cf_diff (read, now);
  for (guint i = 0; i < lines->len; i++)
    cl_complain (context, "version %" PRIu64 " by %s: %s", now->version,
                 now->author, (const char *)g_ptr_array_index (lines, i));
}

int
cl_write (ClContext *context, CfConfig *config, const CfConfig *read,
          gboolean lost_quietly)
{
  g_autofree char *uuid = g_uuid_string_random ();
  const char *author = context->options.author != NULL
                           ? context->options.author
                           : g_get_user_name ();
  Write write = { .context = context, .base_version = config->version };
  WriteResult result;
  int exit = CL_EXIT_LOST;

  write.op_id = g_strdup_printf ("op-%s", uuid);
  g_free (config->op_id);
  g_free (config->author);
  config->op_id = g_strdup (write.op_id);
  config->author = g_strdup (author);
  config->version++;
  write.body = cf_change_to_json (config);
  result = write_through (&write);
  if (result != WRITE_LOST || !lost_quietly)
    exit = report (&write, result);
  if (result == WRITE_LOST && read != NULL && !context->options.json)
    explain_lost (context, read);
  g_free (write.op_id);
  g_free (write.body);
  g_free (write.author);
  g_free (write.reason);
  return exit;
}

int
cl_change (ClContext *context, ClEdit edit, void *data)
{
  int exit = CL_EXIT_LOST;

  for (int i = 1; i <= REDO_MAX && exit == CL_EXIT_LOST; i++)
    {
      g_autoptr (CfConfig) config = cl_fetch_config (context, &exit);
      g_autoptr (GError) error = NULL;

      if (config == NULL)
        return exit;
      if (!edit (context, config, data))
        return CL_EXIT_REFUSED;
      if (!cf_check (config, &error))
        {
          cl_complain (context, "not applied: %s", error->message);
          return CL_EXIT_REFUSED;
        }
      exit = cl_write (context, config, NULL, i < REDO_MAX);
    }
  return exit;
}
