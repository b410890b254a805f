/* Reading and writing the configuration through the daemons.  */

#include "client/internal.h"

#include <inttypes.h>
#include <string.h>

#define UPDATE_TRIES_MAX 5

typedef enum
{
  WRITE_APPLIED,
  WRITE_CONFLICT,  /* not applied: another change was written first */
  WRITE_REFUSED,   /* not applied: the daemon did not accept it */
  WRITE_UNKNOWN,   /* may have been applied */
  WRITE_NO_DAEMON, /* not sent: no daemon responds */
} WriteResult;

static const struct
{
  const char *name;
  int exit_code;
} write_results[] = {
  [WRITE_APPLIED] = { "applied", CL_EXIT_DONE },
  [WRITE_CONFLICT] = { "not applied", CL_EXIT_CONFLICT },
  [WRITE_REFUSED] = { "not applied", CL_EXIT_REFUSED },
  [WRITE_UNKNOWN] = { "unknown", CL_EXIT_UNKNOWN },
  [WRITE_NO_DAEMON] = { "not applied", CL_EXIT_NO_DAEMON },
};

typedef struct
{
  ClContext *context;
  char *op_id; /* id of this change */
  uint64_t base_version;
  char *body; /* of the POST */
  /* A daemon to which the change was sent may have applied it.  A refusal by
     another daemon then does not prove that it was not applied.  */
  gboolean outcome_unknown;
  /* A daemon responded that it applied the change, which it does once more
     than half of the members have acknowledged the version.  FALSE if the
     result was learned in another way: the members may not have the version
     then.  */
  gboolean acknowledged;
  uint64_t version; /* applied, or the conflicting one */
  char *author;     /* of the conflicting change; NULL: not known */
  char *reason;     /* first error that a daemon gave; NULL: none */
} ConfigWrite;

CfConfig *
cl_fetch_config (ClContext *context, int *exit_code)
{
  gboolean config_missing = FALSE;

  for (guint i = 0; i < context->daemons->len; i++)
    {
      const ClDaemon *daemon = g_ptr_array_index (context->daemons, i);
      g_autoptr (GError) error = NULL;
      CfConfig *config = NULL;
      ClResponse response;

      cl_request (context, daemon, "/v1/config", NULL, &response);
      if (response.status == 200)
        config = cf_from_json (response.body, response.length, &error);
      config_missing = config_missing || response.status == 503;
      if (response.status != 200)
        cl_print_error (context, "%s: %s", daemon->address_text,
                        response.status == 503 ? "has no configuration yet"
                                               : "does not answer");
      else if (config == NULL)
        cl_print_error (context, "%s: %s", daemon->address_text,
                        error->message);
      cl_response_clear (&response);
      if (config != NULL)
        return config;
    }
  if (config_missing)
    return cf_new ();
  *exit_code = CL_EXIT_NO_DAEMON;
  return NULL;
}

static void
set_reason (ConfigWrite *write, struct json_object *response)
{
  struct json_object *errors = cl_json_member (response, "errors");
  struct json_object *first_error
      = json_object_is_type (errors, json_type_array)
            ? json_object_array_get_idx (errors, 0)
            : NULL;

  if (first_error == NULL)
    return;
  g_free (write->reason);
  write->reason = g_strdup (json_object_get_string (first_error));
}

/* Returns the result of a write that failed because the current version is not
   base_version.  The current version may be this change, applied when it was
   sent to an earlier daemon.  If an earlier daemon may have applied it, the
   result is a conflict only if the current version is base_version + 1, which
   this change would have had.  A later version may have been written after
   this change, so the result is then unknown.  */
static WriteResult
classify_conflict (ConfigWrite *write, struct json_object *response)
{
  write->version = (uint64_t)cl_json_int (response, "version");
  if (strcmp (cl_json_string (response, "op_id"), write->op_id) == 0)
    return WRITE_APPLIED;
  g_free (write->author);
  write->author = g_strdup (cl_json_string (response, "author"));
  if (write->outcome_unknown && write->version != write->base_version + 1)
    return WRITE_UNKNOWN;
  return WRITE_CONFLICT;
}

/* Asks the daemons in turn for the result of the change; UNKNOWN_RESULT if
   none knows it.  */
static WriteResult
query_operation (ConfigWrite *write, WriteResult unknown_result)
{
  ClContext *context = write->context;
  g_autofree char *path
      = g_strdup_printf ("/v1/config/operation/%s?base_version=%" PRIu64,
                         write->op_id, write->base_version);

  for (guint i = 0; i < context->daemons->len; i++)
    {
      const ClDaemon *daemon = g_ptr_array_index (context->daemons, i);
      struct json_object *response = cl_get_json (context, daemon, path);
      g_autofree char *outcome
          = g_strdup (cl_json_string (response, "result"));
      uint64_t version = (uint64_t)cl_json_int (response, "version");

      json_object_put (response);
      if (strcmp (outcome, "applied") != 0
          && strcmp (outcome, "not_applied") != 0)
        continue;
      write->version = version;
      return strcmp (outcome, "applied") == 0 ? WRITE_APPLIED : WRITE_CONFLICT;
    }
  return unknown_result;
}

static WriteResult
post_change (ConfigWrite *write, const ClDaemon *daemon)
{
  struct json_object *status
      = cl_get_json (write->context, daemon, "/v1/status");
  struct json_object *object = NULL;
  WriteResult result = WRITE_UNKNOWN;
  g_autofree char *outcome = NULL;
  ClResponse response;

  /* Sends no change to a daemon that does not respond, as its result would be
     unknown.  */
  if (status == NULL)
    return WRITE_NO_DAEMON;
  json_object_put (status);
  cl_request (write->context, daemon, "/v1/config", write->body, &response);
  if (response.status != 0)
    object = json_tokener_parse (response.body);
  outcome = g_strdup (cl_json_string (object, "result"));
  set_reason (write, object);
  if (response.status == 200 && strcmp (outcome, "applied") == 0)
    {
      write->version = (uint64_t)cl_json_int (object, "version");
      write->acknowledged = TRUE;
      result = WRITE_APPLIED;
    }
  else if (response.status == 409 && strcmp (outcome, "lost") == 0)
    result = classify_conflict (write, object);
  else if (response.status >= 400 && strcmp (outcome, "refused") == 0)
    result = WRITE_REFUSED;
  json_object_put (object);
  cl_response_clear (&response);
  return result;
}

/* Sends the change to the daemons in turn until one applies it or finds a
   conflict.  All get the same operation id and base version, so the change is
   applied at most once.  */
static WriteResult
send_change (ConfigWrite *write)
{
  ClContext *context = write->context;
  WriteResult result = WRITE_NO_DAEMON;

  for (guint i = 0; i < context->daemons->len; i++)
    {
      const ClDaemon *daemon = g_ptr_array_index (context->daemons, i);
      WriteResult daemon_result = post_change (write, daemon);

      if (daemon_result == WRITE_UNKNOWN)
        {
          write->outcome_unknown = TRUE;
          daemon_result = query_operation (write, WRITE_UNKNOWN);
        }
      if (daemon_result == WRITE_APPLIED || daemon_result == WRITE_CONFLICT)
        return daemon_result;
      if (daemon_result == WRITE_REFUSED || result == WRITE_NO_DAEMON)
        result = daemon_result;
    }
  return write->outcome_unknown ? query_operation (write, WRITE_UNKNOWN)
                                : result;
}

static void
print_result (ConfigWrite *write, WriteResult result)
{
  ClContext *context = write->context;

  if (result == WRITE_APPLIED)
    cl_print (context, "applied: version %" PRIu64 " (operation %s)\n",
              write->version, write->op_id);
  else if (result == WRITE_CONFLICT)
    cl_print_error (context,
                    "not applied: %s wrote version %" PRIu64
                    " after version %" PRIu64 " was read",
                    write->author != NULL ? write->author : "another operator",
                    write->version, write->base_version);
  else if (result == WRITE_REFUSED)
    cl_print_error (context, "not applied: %s",
                    write->reason != NULL ? write->reason : "refused");
  else if (result == WRITE_UNKNOWN)
    cl_print_error (
        context,
        "unknown: no daemon knows yet whether operation %s was "
        "applied; check the version and author with \"status\" and "
        "\"diff\" before trying again",
        write->op_id);
  else
    cl_print_error (context, "not applied: no daemon answers");
}

static int
report_result (ConfigWrite *write, WriteResult result)
{
  ClContext *context = write->context;
  struct json_object *report = json_object_new_object ();
  int exit_code = write_results[result].exit_code;

  json_object_object_add (report, "result",
                          json_object_new_string (write_results[result].name));
  json_object_object_add (report, "op_id",
                          json_object_new_string (write->op_id));
  json_object_object_add (
      report, "base_version",
      json_object_new_int64 ((int64_t)write->base_version));
  json_object_object_add (report, "version",
                          json_object_new_int64 ((int64_t)write->version));
  if (write->author != NULL)
    json_object_object_add (report, "author",
                            json_object_new_string (write->author));
  if (write->reason != NULL)
    json_object_object_add (report, "reason",
                            json_object_new_string (write->reason));
  if (!context->options.json)
    print_result (write, result);
  /* Without acknowledgements it is not known whether the daemons have received
     the version, so they are polled also without --wait.  */
  if (result == WRITE_APPLIED
      && (context->options.wait || !write->acknowledged))
    exit_code = cl_wait_in_force (context, write->version, report);
  if (context->options.json)
    cl_print_json (context, report);
  json_object_put (report);
  return exit_code;
}

/* Prints what others have changed since BASE, the version that was read.  */
static void
print_conflict (ClContext *context, const CfConfig *base)
{
  int exit_code;
  g_autoptr (CfConfig) current = cl_fetch_config (context, &exit_code);
  g_autoptr (GPtrArray) lines = NULL;

  if (current == NULL)
    return;
  lines = cf_diff (base, current);
  for (guint i = 0; i < lines->len; i++)
    cl_print_error (context, "version %" PRIu64 " by %s: %s", current->version,
                    current->author,
                    (const char *)g_ptr_array_index (lines, i));
}

int
cl_write_config (ClContext *context, CfConfig *config, const CfConfig *base,
                 gboolean quiet_conflict)
{
  g_autofree char *uuid = g_uuid_string_random ();
  const char *author = context->options.author != NULL
                           ? context->options.author
                           : g_get_user_name ();
  ConfigWrite write = { .context = context, .base_version = config->version };
  WriteResult result;
  int exit_code = CL_EXIT_CONFLICT;

  write.op_id = g_strdup_printf ("op-%s", uuid);
  g_free (config->op_id);
  g_free (config->author);
  config->op_id = g_strdup (write.op_id);
  config->author = g_strdup (author);
  config->version++;
  write.body = cf_change_to_json (config);
  result = send_change (&write);
  if (result != WRITE_CONFLICT || !quiet_conflict)
    exit_code = report_result (&write, result);
  if (result == WRITE_CONFLICT && base != NULL && !context->options.json)
    print_conflict (context, base);
  g_free (write.op_id);
  g_free (write.body);
  g_free (write.author);
  g_free (write.reason);
  return exit_code;
}

int
cl_update_config (ClContext *context, ClEdit edit, void *data)
{
  int exit_code = CL_EXIT_CONFLICT;

  for (int i = 1; i <= UPDATE_TRIES_MAX && exit_code == CL_EXIT_CONFLICT; i++)
    {
      g_autoptr (CfConfig) config = cl_fetch_config (context, &exit_code);
      g_autoptr (GError) error = NULL;

      if (config == NULL)
        return exit_code;
      if (!edit (context, config, data))
        return CL_EXIT_REFUSED;
      if (!cf_check (config, &error))
        {
          cl_print_error (context, "not applied: %s", error->message);
          return CL_EXIT_REFUSED;
        }
      exit_code
          = cl_write_config (context, config, NULL, i < UPDATE_TRIES_MAX);
    }
  return exit_code;
}
