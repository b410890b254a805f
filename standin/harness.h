/* harness.h - starts a whole deployment on loopback for tests

   SYNOPSIS
     SiOptions opts = { .bin = "build", .deployment = "tammemets" };
     g_autoptr (GError) error = NULL;
     SiHarness *harness = si_new (&opts, &error);
     si_start_platform (harness, &error);
     si_start_targets (harness, &error);
     si_start_daemons (harness, &error);
     si_apply_sheet (harness, "examples/tammemets.csv", &error);
     si_free (harness);

   DESCRIPTION
     A harness plans a deployment (names, zones and free ports of 127.0.0.1),
     writes the settings files to a temporary folder, and starts the
     programs of the build folder with posix_spawn.  All calls block and are
     for one thread.  si_free, and exit, kill every process that the harness
     started and no other.  The folder with logs and settings is removed
     unless CW_KEEP_LOGS is set in the environment.

     With `proxied` all links between VMs, from VMs to targets and from VMs
     to the platform run through one fault-proxy, with the delays and rates
     of the deployment.  Link names are KIND/FROM/FROM-ZONE/TO/TO-ZONE with
     KIND one of peer, target, store and client; a pattern may hold `*`.
     Client links exist with `client_links`; their callers use
     SiVm.caller_address.

     In the platform's list an entry VM stands with its peer address, which is
     what a daemon needs for first contact.  Its address for callers travels
     in Hello and Report.

   ERRORS
     SI_ERROR_SPAWN    a program could not be started, or ended at once
     SI_ERROR_TIMEOUT  a condition did not come true in time
     SI_ERROR_HTTP     no whole answer came
     SI_ERROR_STATUS   the answer or the exit status is not the expected one
     SI_ERROR_FILE     a file could not be written or read
     SI_ERROR_OPTION   an option is out of range  */

#ifndef SI_HARNESS_H
#define SI_HARNESS_H

#include <glib.h>
#include <stdint.h>
#include <sys/types.h>

#define SI_ERROR (si_error_quark ())

typedef enum
{
  SI_ERROR_SPAWN,
  SI_ERROR_TIMEOUT,
  SI_ERROR_HTTP,
  SI_ERROR_STATUS,
  SI_ERROR_FILE,
  SI_ERROR_OPTION,
} SiError;

typedef struct
{
  const char *bin;        /* build folder */
  const char *deployment; /* "tammemets" (default) or "cooperative" */
  uint32_t vms_count;     /* default 7; spread over the zones in turn */
  uint32_t targets_count; /* of each service; default as deployed */
  const char *policy;     /* default "headroom" */
  const char *admission;  /* default "lend" */
  const char *log;        /* default "warning" */
  gboolean proxied;
  gboolean client_links;
  gboolean trust_client_address;
  uint32_t drain_max_ms; /* default 30000 */
  uint32_t work_ms;      /* service time of targets; default 5 */
} SiOptions;

typedef struct
{
  char *name;
  char *zone;
  char *region;
  char *http_address;   /* ip:port */
  char *caller_address; /* through the proxy, or http_address */
  char *peer_address;
  char *admin_address;
  char *settings_path;
  char *log_path;
  pid_t pid; /* 0 while not running */
} SiVm;

typedef struct
{
  char *name;
  char *service;
  char *zone;
  char *region;
  char *address; /* ip:port */
} SiTarget;

typedef struct
{
  int status; /* 0: no answer */
  char *body; /* ends in a zero byte that is not counted */
  gsize length_bytes;
  GHashTable *headers; /* name in lower case -> value */
} SiAnswer;

typedef struct SiHarness SiHarness;

GQuark si_error_quark (void);

/* Plans the deployment; starts nothing.  */
SiHarness *si_new (const SiOptions *options, GError **error);
void si_free (SiHarness *harness);

const GPtrArray *si_vms (const SiHarness *harness);     /* SiVm */
const GPtrArray *si_targets (const SiHarness *harness); /* SiTarget */
SiVm *si_find_vm (const SiHarness *harness, const char *name);
SiTarget *si_find_target (const SiHarness *harness, const char *name);
/* Rate and one-way delay of the links between regions.  */
void si_region_link (const SiHarness *harness, uint32_t *mbit_per_s,
                     uint32_t *delay_us);
/* Text of the settings file of VM.  Free with g_free.  */
char *si_settings_text (const SiHarness *harness, const SiVm *vm);
const char *si_bin (const SiHarness *harness);
const char *si_folder (const SiHarness *harness);
/* Addresses of the control interfaces.  */
const char *si_platform_address (const SiHarness *harness);
const char *si_target_control (const SiHarness *harness);
const char *si_proxy_control (const SiHarness *harness);

gboolean si_start_platform (SiHarness *harness, GError **error);
gboolean si_start_targets (SiHarness *harness, GError **error);
/* Needs `proxied`; si_start_daemons does it where it was not done.  */
gboolean si_start_proxy (SiHarness *harness, GError **error);
/* Starts the proxy (if `proxied`) and all daemons, and waits until each
   answers on its admin address.  */
gboolean si_start_daemons (SiHarness *harness, GError **error);
gboolean si_start_vm (SiHarness *harness, const char *vm, GError **error);
/* Sends SIGNAL to the daemon of VM.  */
gboolean si_signal_vm (SiHarness *harness, const char *vm, int signal);
/* Kills with SIGKILL and reaps.  */
void si_kill_vm (SiHarness *harness, const char *vm);
/* SIGTERM, then waits for a graceful end; *STATUS as by waitpid.  */
gboolean si_stop_vm (SiHarness *harness, const char *vm, uint32_t wait_ms,
                     int *status, GError **error);

/* Any other program of the build folder or path; its output goes to the file
   LOG_NAME in the harness's folder.  */
pid_t si_spawn (SiHarness *harness, const char *const *argv,
                const char *log_name, GError **error);
void si_kill (SiHarness *harness, pid_t pid);
/* Runs ARGV to its end; returns the exit status, or -1 with ERROR set.  Both
   streams go to *OUTPUT.  */
int si_run (SiHarness *harness, const char *const *argv, uint32_t wait_ms,
            char **output, GError **error);
gboolean si_wait_exit (SiHarness *harness, pid_t pid, uint32_t wait_ms,
                       int *status);

/* Runs `comfreywalk apply SHEET --wait` for all running VMs, again while they
   start.  */
gboolean si_apply_sheet (SiHarness *harness, const char *sheet,
                         GError **error);

/* Waits until TRUE is returned.  */
typedef gboolean (*SiCondition) (void *data);
gboolean si_wait (SiCondition condition, void *data, uint32_t wait_ms);
/* Waits until /v1/status of every running VM has `"ready": true`.  */
gboolean si_is_ready (const SiVm *vm);
gboolean si_wait_ready (SiHarness *harness, uint32_t wait_ms, GError **error);

/* One request on a connection of its own.  HEADERS are "Name: value" and end
   with NULL; may be NULL.  Returns FALSE with ERROR set where no whole answer
   came; any status counts as an answer.  Free with si_answer_clear.  */
gboolean si_http (const char *method, const char *address, const char *path,
                  const char *const *headers, const char *body,
                  uint32_t timeout_ms, SiAnswer *answer, GError **error);
void si_answer_clear (SiAnswer *answer);
/* Posts to a control path and expects 200.  */
gboolean si_control (const char *address, const char *path, GError **error);
gboolean si_post (const char *address, const char *path, const char *body,
                  GError **error);
/* Body of an answer with status 200, or NULL.  Free with g_free.  */
char *si_get_text (const char *address, const char *path, GError **error);
/* Value of a metric of the daemon at ADMIN_ADDRESS, or -1.  */
double si_metric (const char *admin_address, const char *name);

/* Address of the link of KIND from FROM to TO, or NULL.  FROM and TO are names
   of VMs and targets, "store" or "callers".  */
const char *si_link_address (const SiHarness *harness, const char *kind,
                             const char *from, const char *to);
/* Sets links whose names match PATTERN; SETTING is a query such as
   "delay_us=12000&mbit=280&cut=1" (see fault-proxy(1)).  */
gboolean si_link (SiHarness *harness, const char *pattern, const char *setting,
                  GError **error);
/* Cuts or joins every link that crosses the border of ZONE, also
   those to the store.  */
gboolean si_partition_zone (SiHarness *harness, const char *zone, gboolean on,
                            GError **error);
/* Cuts or joins every link between two regions.  */
gboolean si_partition_regions (SiHarness *harness, const char *a,
                               const char *b, gboolean on, GError **error);
/* Sets the state of an entry VM or target in the platform's list.  */
gboolean si_set_listed (SiHarness *harness, const char *name,
                        const char *state, GError **error);

G_DEFINE_AUTOPTR_CLEANUP_FUNC (SiHarness, si_free)

uint16_t si_free_port (void);
/* Removes FOLDER and the files in it.  */
void si_remove_folder (const char *folder);
void si_sleep_ms (uint32_t ms);

#endif
