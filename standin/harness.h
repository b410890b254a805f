/* harness.h - starts a complete deployment on loopback for tests

   SYNOPSIS
     SiHarnessOptions opts = { .build_dir = "build" };
     g_autoptr (GError) error = NULL;
     SiHarness *harness = si_harness_new (&opts, &error);
     si_start_platform (harness, &error);
     si_start_targets (harness, &error);
     si_start_daemons (harness, &error);
     si_apply_sheet (harness, "examples/tammemets.csv", &error);
     si_harness_free (harness);

   DESCRIPTION
     A harness plans a deployment (names, zones and free ports on 127.0.0.1),
     writes the settings files to a temporary directory, and starts the
     programs of the build directory with posix_spawn.  The zones and services
     of the two deployments are those of the sheets tammemets.csv and
     cooperative.csv in examples/.  An entry VM is one daemon process, so
     starting or killing a VM means its daemon.  All calls block and are for
     one thread.  si_harness_free, and exit, kill every process that the
     harness started and no other.  si_harness_free removes the temporary
     directory, which also holds the logs, unless CW_KEEP_LOGS is set in the
     environment.

     With `proxied` all links between VMs, from VMs to targets and from VMs
     to the platform go through one fault-proxy, with the delays and rates
     of the deployment.  Link names are KIND/FROM/FROM-ZONE/TO/TO-ZONE with
     KIND one of peer, target, store and client; si_set_links takes a name in
     which `*` stands for any text.  Links of kind client, from callers to
     VMs, exist with `client_links`; callers then connect to
     SiVm.caller_address.

     The platform's list holds an entry VM with its peer address, which
     daemons need to connect to it for the first time.  They learn its address
     for callers from its Hello and Report messages.

   ERRORS
     SI_ERROR_SPAWN    a program did not start, or exited during startup
     SI_ERROR_TIMEOUT  a condition was not met in time
     SI_ERROR_HTTP     no complete response was received
     SI_ERROR_STATUS   the HTTP or exit status is not the expected one
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
  const char *build_dir;
  const char *deployment; /* "tammemets" (default) or "cooperative" */
  uint32_t vms_count;     /* default 7; assigned to the zones in turn */
  uint32_t targets_count; /* of each service; default: by deployment */
  /* Settings of every daemon.  */
  const char *policy;    /* default "headroom" */
  const char *admission; /* default "lend" */
  const char *log;       /* default "warning" */
  gboolean proxied;
  gboolean client_links; /* needs `proxied` */
  gboolean trust_client_address;
  uint32_t drain_max_ms; /* default 30000 */
  uint32_t memory_mb;    /* default: that of the daemon */
  uint32_t work_ms;      /* service time of targets; default 5 */
} SiHarnessOptions;

typedef struct
{
  char *name;
  char *zone;
  char *region;
  char *http_address;   /* ip:port */
  char *caller_address; /* of the client link, or else http_address */
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
  int status; /* 0: no response */
  char *body; /* terminated by a NUL that is not counted */
  gsize length_bytes;
  GHashTable *headers; /* name in lower case -> value */
} SiResponse;

typedef struct SiHarness SiHarness;

GQuark si_error_quark (void);

/* Plans the deployment, without starting any process.  */
SiHarness *si_harness_new (const SiHarnessOptions *options, GError **error);
void si_harness_free (SiHarness *harness);

const GPtrArray *si_vms (const SiHarness *harness);     /* SiVm */
const GPtrArray *si_targets (const SiHarness *harness); /* SiTarget */
/* NULL if there is none of this name.  */
SiVm *si_find_vm (const SiHarness *harness, const char *name);
SiTarget *si_find_target (const SiHarness *harness, const char *name);
/* Rate limit and one-way delay of the links between regions.  */
void si_get_region_link (const SiHarness *harness, uint32_t *mbit_per_s,
                         uint32_t *delay_us);
/* Content of the settings file of VM.  Free with g_free.  */
char *si_settings_text (const SiHarness *harness, const SiVm *vm);
/* Build directory, and temporary directory for logs and settings files.  */
const char *si_build_dir (const SiHarness *harness);
const char *si_temp_dir (const SiHarness *harness);
/* Addresses of the control interfaces.  */
const char *si_platform_control (const SiHarness *harness);
const char *si_target_control (const SiHarness *harness);
const char *si_proxy_control (const SiHarness *harness);

gboolean si_start_platform (SiHarness *harness, GError **error);
gboolean si_start_targets (SiHarness *harness, GError **error);
/* Needs `proxied`.  Optional: si_start_daemons also starts the proxy.  */
gboolean si_start_proxy (SiHarness *harness, GError **error);
/* Starts the proxy (if `proxied`) and all daemons, and waits until each
   responds on its admin address.  */
gboolean si_start_daemons (SiHarness *harness, GError **error);
gboolean si_start_vm (SiHarness *harness, const char *vm, GError **error);
/* Sends SIGNAL to the daemon of VM; FALSE if it does not run.  */
gboolean si_signal_vm (SiHarness *harness, const char *vm, int signal);
/* Kills with SIGKILL and reaps.  */
void si_kill_vm (SiHarness *harness, const char *vm);
/* Sends SIGTERM and waits for the daemon to exit; *STATUS as by waitpid.  */
gboolean si_stop_vm (SiHarness *harness, const char *vm, uint32_t wait_ms,
                     int *status, GError **error);

/* Starts the program at path ARGV[0]; its output goes to the file LOG_NAME in
   the temporary directory.  Returns 0 with ERROR set on failure.  */
pid_t si_spawn (SiHarness *harness, const char *const *argv,
                const char *log_name, GError **error);
/* Kills with SIGKILL and reaps.  */
void si_kill (SiHarness *harness, pid_t pid);
/* Runs ARGV and waits for it to exit; returns its exit status (128 plus the
   signal number if killed by a signal), or -1 with ERROR set.  *OUTPUT
   receives standard output and standard error; free with g_free.  OUTPUT may
   be NULL.  */
int si_run (SiHarness *harness, const char *const *argv, uint32_t wait_ms,
            char **output, GError **error);
/* FALSE if PID still runs after WAIT_MS; *STATUS as by waitpid.  */
gboolean si_wait_exit (SiHarness *harness, pid_t pid, uint32_t wait_ms,
                       int *status);

/* Applies the CSV file at path SHEET to all running VMs with `comfreywalk
   apply --wait`, retrying for up to 20 s while they start.  */
gboolean si_apply_sheet (SiHarness *harness, const char *sheet,
                         GError **error);

typedef gboolean (*SiCondition) (void *data);
/* Polls CONDITION until it returns TRUE; FALSE after WAIT_MS.  */
gboolean si_wait_until (SiCondition condition, void *data, uint32_t wait_ms);
/* Whether /v1/status of VM has `"ready": true`.  */
gboolean si_vm_is_ready (const SiVm *vm);
/* Waits until all running VMs are ready.  */
gboolean si_wait_ready (SiHarness *harness, uint32_t wait_ms, GError **error);

/* Sends one request on a new connection.  HEADERS is a NULL-terminated array
   of "Name: value", or NULL.  Returns TRUE for a complete response of any
   status, else FALSE with ERROR set.  Clear RESPONSE with si_response_clear in
   either case.  */
gboolean si_http_request (const char *method, const char *address,
                          const char *path, const char *const *headers,
                          const char *body, uint32_t timeout_ms,
                          SiResponse *response, GError **error);
void si_response_clear (SiResponse *response);
/* POST to a control path; FALSE with ERROR set unless the status is 200.  */
gboolean si_post_control (const char *address, const char *path,
                          GError **error);
/* The same with BODY.  */
gboolean si_post (const char *address, const char *path, const char *body,
                  GError **error);
/* Body of a GET response with status 200, or NULL.  Free with g_free.  */
char *si_get_text (const char *address, const char *path, GError **error);
/* Value of the metric NAME, with labels if it has any, of the daemon at
   ADMIN_ADDRESS, or -1.  */
double si_get_metric (const char *admin_address, const char *name);

/* Address on which the proxy listens for the link of KIND from FROM to TO, or
   NULL.  FROM and TO are names of VMs and targets, "store" or "callers".  */
const char *si_link_address (const SiHarness *harness, const char *kind,
                             const char *from, const char *to);
/* Changes links whose names match PATTERN; QUERY is for example
   "delay_us=12000&mbit=280&cut=1" (see proxy.h).  */
gboolean si_set_links (SiHarness *harness, const char *pattern,
                       const char *query, GError **error);
/* Partitions (or with FALSE reconnects) all links between ZONE and other
   zones, including those to the store, but not those of callers.  */
gboolean si_partition_zone (SiHarness *harness, const char *zone,
                            gboolean partitioned, GError **error);
/* Partitions (or with FALSE reconnects) all links between two regions.  */
gboolean si_partition_regions (SiHarness *harness, const char *a,
                               const char *b, gboolean partitioned,
                               GError **error);
/* Sets the state of an entry VM or target in the platform's list: "live",
   "leaving" (it is to drain) or "gone", which removes it.  */
gboolean si_set_list_state (SiHarness *harness, const char *name,
                            const char *state, GError **error);

G_DEFINE_AUTOPTR_CLEANUP_FUNC (SiHarness, si_harness_free)

/* A port of 127.0.0.1 that is free for TCP and UDP; aborts if none is.  */
uint16_t si_find_free_port (void);
/* Removes the directory DIR_PATH and the files in it.  */
void si_remove_dir (const char *dir_path);
void si_sleep_ms (uint32_t ms);

#endif
