/* internal.h - what the sources of client share  */

#ifndef CL_INTERNAL_H
#define CL_INTERNAL_H

#include "client/client.h"
#include "conf/conf.h"
#include "settings/settings.h"

#include <json-c/json.h>

#define CL_BODY_MAX_BYTES (64 * 1024 * 1024)
#define CL_KEY_MAX_BYTES 1024
/* An accepted version has to be in force within 3 s.  */
#define CL_WAIT_DEFAULT_MS 10000
#define CL_POLL_MS 100
#define CL_TIMEOUT_DEFAULT_MS 5000
/* A daemon writes some hundred parts and waits for the other daemons.  */
#define CL_WRITE_TIMEOUT_MS 15000

typedef struct
{
  char **daemons;
  gboolean json;
  char *author;
  char *today;
  int timeout_ms; /* 0: the defaults above */
  gboolean wait;
  gint64 wait_ms;
  char *id;
  char *file;
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
  char **arguments;   /* behind the command's words, with a NULL */
  int argument_count;
} ClContext;

typedef struct
{
  int status; /* 0: no answer */
  char *body;
  gsize length;
} ClAnswer;

/* http.c.  A NULL body makes a GET.  */
void cl_ask (ClContext *context, const ClDaemon *daemon, const char *path,
             const char *body, ClAnswer *answer);
void cl_answer_clear (ClAnswer *answer);
/* NULL without an answer of status 200 that is JSON.  */
struct json_object *cl_ask_json (ClContext *context, const ClDaemon *daemon,
                                 const char *path);
void cl_sleep (ClContext *context, int64_t ms);
/* Members of OBJECT; a missing one is empty, 0 or FALSE.  */
const char *cl_text (struct json_object *object, const char *name);
int64_t cl_number (struct json_object *object, const char *name);
gboolean cl_bool (struct json_object *object, const char *name);
struct json_object *cl_member (struct json_object *object, const char *name);

G_GNUC_PRINTF (2, 3)
void cl_say (ClContext *context, const char *format, ...);
G_GNUC_PRINTF (2, 3)
void cl_complain (ClContext *context, const char *format, ...);
void cl_print_json (ClContext *context, struct json_object *object);

/* config.c.  The configuration that the first daemon answers with; an empty
   one of version 0 where no daemon has any.  NULL: EXIT says why.  */
CfConfig *cl_fetch_config (ClContext *context, int *exit);

/* Changes CONFIG; FALSE after a complaint.  */
typedef gboolean (*ClEdit) (ClContext *context, CfConfig *config, void *data);

/* Reads the configuration, edits and writes it; redoes the edit when another
   change was first.  */
int cl_change (ClContext *context, ClEdit edit, void *data);

/* Writes CONFIG, whose version is that it is based on, and reports.  READ, if
   not NULL, is the configuration of that version, to tell what another change
   did.  LOST_QUIETLY: returns CL_EXIT_LOST without a report.  */
int cl_write (ClContext *context, CfConfig *config, const CfConfig *read,
              gboolean lost_quietly);

/* in_force.c.  Waits until VERSION is in force and reports each daemon.  */
int cl_wait_in_force (ClContext *context, uint64_t version,
                      struct json_object *report);

/* The commands.  */
int cl_check (ClContext *context);
int cl_diff (ClContext *context);
int cl_apply (ClContext *context);
int cl_key_add (ClContext *context);
int cl_key_withdraw (ClContext *context);
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
