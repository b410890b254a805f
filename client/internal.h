/* internal.h - declarations shared by the sources of client  */

#ifndef CL_INTERNAL_H
#define CL_INTERNAL_H

#include "client/client.h"
#include "conf/conf.h"
#include "settings/settings.h"

#include <json-c/json.h>

#define CL_RESPONSE_MAX_BYTES (64 * 1024 * 1024)
#define CL_KEY_MAX_BYTES 1024
/* Above the 3 s in which an accepted version has to be in force.  */
#define CL_WAIT_DEFAULT_MS 10000
#define CL_POLL_MS 100
#define CL_TIMEOUT_DEFAULT_MS 5000
/* The daemon writes some hundred parts to the store and waits for the other
   daemons to acknowledge the version before it responds.  */
#define CL_WRITE_TIMEOUT_MS 15000

typedef struct
{
  char **daemons;
  gboolean json;
  char *author;
  char *today;
  int timeout_ms; /* 0: CL_TIMEOUT_DEFAULT_MS or CL_WRITE_TIMEOUT_MS */
  gboolean wait;
  gint64 wait_ms;
  char *key_id;
  char *key_file;
  gint64 rate;
  gint64 burst;
  gint64 weight;
  char *service;
  char *from;
  char *to;
  char *start;
  char *end;
  char *ramp_s;
  char *share_percent;
  gint64 cap;
  char *customer;
  char *target;
  char *request;
  gint64 version;
  gint64 limit;
  gint64 interval_ms;
  gint64 count;
} ClOptions;

typedef struct
{
  char *text; /* "127.0.0.1:7001" */
  SeAddress address;
} ClDaemon;

typedef struct
{
  ClIo io;
  struct event_base *base;
  ClOptions options;
  GPtrArray *daemons; /* ClDaemon */
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
   response or the timeout.  The caller clears RESPONSE.  */
void cl_request (ClContext *context, const ClDaemon *daemon, const char *path,
                 const char *body, ClResponse *response);
void cl_response_clear (ClResponse *response);
/* Body of a GET; NULL unless the response has status 200 and is JSON.  The
   caller frees it with json_object_put.  */
struct json_object *cl_get_json (ClContext *context, const ClDaemon *daemon,
                                 const char *path);
void cl_sleep (ClContext *context, int64_t ms);
/* Members of OBJECT, which may be NULL.  A missing one is "", 0, FALSE or
   NULL.  */
const char *cl_json_string (struct json_object *object, const char *name);
int64_t cl_json_int (struct json_object *object, const char *name);
gboolean cl_json_bool (struct json_object *object, const char *name);
struct json_object *cl_json_member (struct json_object *object,
                                    const char *name);

G_GNUC_PRINTF (2, 3)
void cl_print (ClContext *context, const char *format, ...);
G_GNUC_PRINTF (2, 3)
void cl_print_error (ClContext *context, const char *format, ...);
void cl_print_json (ClContext *context, struct json_object *object);

/* config.c.  Returns the configuration of the first daemon that responds with
   one; an empty one of version 0 where daemons respond but none has a
   configuration.  Otherwise returns NULL and sets EXIT.  */
CfConfig *cl_fetch_config (ClContext *context, int *exit);

/* Changes CONFIG; prints an error and returns FALSE if it cannot.  */
typedef gboolean (*ClEdit) (ClContext *context, CfConfig *config, void *data);

/* Reads the configuration, edits and writes it; after a conflict reads it
   again and repeats the edit.  Returns the exit code.  */
int cl_update_config (ClContext *context, ClEdit edit, void *data);

/* Writes CONFIG, whose version is the one that it is based on, and prints the
   result.  BASE, if not NULL, is the configuration of that version; after a
   conflict the changes made to it by others are printed.  QUIET_CONFLICT:
   prints no result of a conflict.  Returns the exit code.  */
int cl_write_config (ClContext *context, CfConfig *config,
                     const CfConfig *base, gboolean quiet_conflict);

/* in_force.c.  Polls the daemons until VERSION is in force on each, or wait_ms
   of the options has passed; prints the state of each and adds it to REPORT.
   CL_EXIT_PARTIAL: not in force on some.  */
int cl_wait_in_force (ClContext *context, uint64_t version,
                      struct json_object *report);

/* The commands; each returns the exit code.  */
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

#endif
