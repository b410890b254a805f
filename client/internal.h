/* internal.h - declarations shared by the sources of client/  */

#ifndef CL_INTERNAL_H
#define CL_INTERNAL_H

#include "client/client.h"
#include "conf/conf.h"
#include "settings/settings.h"

#include <json-c/json.h>

#define CL_RESPONSE_MAX_BYTES (64 * 1024 * 1024)
#define CL_KEY_MAX_BYTES 1024
/* Of --wait-ms.  Above the 3 s in which an applied version has to be in
   force.  */
#define CL_WAIT_DEFAULT_MS 10000
/* Between two polls of the daemons while waiting for a version.  */
#define CL_POLL_MS 100
#define CL_TIMEOUT_DEFAULT_MS 5000
/* The daemon writes some hundred parts of the configuration to the store and
   waits until more than half of the daemons have acknowledged the version
   before it responds.  */
#define CL_WRITE_TIMEOUT_MS 15000

/* Values of the options; NULL where a string is not given.  */
typedef struct
{
  char **daemons;
  gboolean json;
  gboolean version;
  char *author;
  char *today;
  int timeout_ms; /* 0: CL_TIMEOUT_DEFAULT_MS or CL_WRITE_TIMEOUT_MS */
  gboolean wait;
  gint64 wait_ms;

  /* key */
  char *key_id;
  char *key_file;

  /* customer set; -1: not given */
  gint64 rate; /* requests/s */
  gint64 burst;
  gint64 weight;

  /* shift add; ramp_s and share_percent are decimal numbers as given */
  char *service;
  char *from;
  char *to;
  char *start;
  char *end;
  char *ramp_s;
  char *share_percent;
  gint64 cap; /* requests/s; -1: not given */

  /* timeline: filters of the events */
  char *customer;
  char *target;
  char *request_id;
  gint64 config_version; /* 0: any */

  /* where; also key_file and request_id */
  char *host;
  char *path;
  char *method;
  char *object;
  gint64 deadline_ms; /* -1: not given */

  /* timeline and watch; newest events to read from each daemon */
  gint64 event_limit;

  /* watch */
  gint64 interval_ms;
  gint64 poll_count; /* 0: no end */
} ClOptions;

typedef struct
{
  char *address_text; /* as given: "127.0.0.1:7001" */
  SeAddress address;
} ClDaemon;

typedef struct
{
  ClIo io;
  struct event_base *base;
  ClOptions options;
  GPtrArray *daemons; /* ClDaemon, in the order of the options */
  char **arguments;   /* after the command's name, NULL-terminated */
  int argument_count;
} ClContext;

typedef struct
{
  int status; /* 0: no response */
  char *body;
  gsize length;
} ClResponse;

/* http.c.  Sends a POST with BODY, or a GET if BODY is NULL, and waits for the
   response or the timeout.  The caller frees the body with
   cl_response_clear.  */
void cl_request (ClContext *context, const ClDaemon *daemon, const char *path,
                 const char *body, ClResponse *response);
void cl_response_clear (ClResponse *response);
/* Returns the body of the response to a GET of PATH; NULL unless the response
   has status 200 and its body is JSON.  The caller frees it with
   json_object_put.  */
struct json_object *cl_get_json (ClContext *context, const ClDaemon *daemon,
                                 const char *path);
/* Runs the event loop for MS milliseconds.  */
void cl_sleep (ClContext *context, int64_t ms);
/* Return the member NAME of OBJECT, which may be NULL; "", 0, FALSE or NULL if
   it is missing.  The result belongs to OBJECT.  */
const char *cl_json_string (struct json_object *object, const char *name);
int64_t cl_json_int (struct json_object *object, const char *name);
gboolean cl_json_bool (struct json_object *object, const char *name);
struct json_object *cl_json_member (struct json_object *object,
                                    const char *name);

/* client.c.  cl_print_error adds the program's name and a newline.  */
G_GNUC_PRINTF (2, 3)
void cl_print (ClContext *context, const char *format, ...);
G_GNUC_PRINTF (2, 3)
void cl_print_error (ClContext *context, const char *format, ...);
void cl_print_json (ClContext *context, struct json_object *object);

/* edit_commands.c.  Reads a key from the file PATH, or from the input if PATH
   is NULL.  It is not taken from the arguments: other users of the machine can
   read them and the shell's history keeps them.  Prints an error and returns
   FALSE if it cannot.  SHA256 has CF_SHA256_BYTES.  */
gboolean cl_read_key_sha256 (ClContext *context, const char *path,
                             uint8_t *sha256);

/* explain.c.  Describes the outcome of a request whose last log line contains
   TEXT.  */
const char *cl_describe_outcome (const char *text);

/* config.c.  Returns the configuration of the first daemon that responds with
   one; an empty one of version 0 where daemons respond but none has a
   configuration.  Otherwise returns NULL and sets EXIT_CODE.  */
CfConfig *cl_fetch_config (ClContext *context, int *exit_code);

/* Changes CONFIG; prints an error and returns FALSE if it cannot.  DATA is
   that of cl_update_config.  */
typedef gboolean (*ClEdit) (ClContext *context, CfConfig *config, void *data);

/* Reads the configuration, edits and writes it; after a conflict reads it
   again and retries the edit, a few times at most.  Returns the exit code.  */
int cl_update_config (ClContext *context, ClEdit edit, void *data);

/* Writes CONFIG, whose version is the one that it is based on, and prints the
   result; sets its version, op_id and author to those of the change.  BASE, if
   not NULL, is the configuration of the version that CONFIG is based on; after
   a conflict the changes that others made to it are printed.  QUIET_CONFLICT:
   a conflict is not printed, as the caller tries again.  Returns the exit
   code.  */
int cl_write_config (ClContext *context, CfConfig *config,
                     const CfConfig *base, gboolean quiet_conflict);

/* in_force.c.  Polls the daemons until VERSION is in force on each, or wait_ms
   of the options has passed; prints the state of each and adds it to REPORT.
   The daemons of the fleet that are not polled count by the version that they
   last reported to the polled ones.  Returns CL_EXIT_DONE, or CL_EXIT_PARTIAL
   if VERSION is not in force on some.  */
int cl_wait_in_force (ClContext *context, uint64_t version,
                      struct json_object *report);

/* The commands of the table in client.c; each returns the exit code.  */
int cl_check (ClContext *context);
int cl_diff (ClContext *context);
int cl_apply (ClContext *context);
int cl_key_add (ClContext *context);
int cl_key_revoke (ClContext *context);
int cl_customer_show (ClContext *context);
int cl_customer_set (ClContext *context);
int cl_drain_add (ClContext *context);
int cl_drain_cancel (ClContext *context);
int cl_drain_list (ClContext *context);
int cl_shift_add (ClContext *context);
int cl_shift_cancel (ClContext *context);
int cl_shift_list (ClContext *context);
int cl_status (ClContext *context);
int cl_timeline (ClContext *context);
int cl_watch (ClContext *context);
int cl_explain (ClContext *context);
int cl_where (ClContext *context);

#endif
