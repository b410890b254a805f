#include "standin/harness.h"

#include <glib/gstdio.h>
#include <json-c/json.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>

#include "standin/deployment.h"
#include "standin/process.h"

#define START_TIMEOUT_MS 10000
#define PROBE_TIMEOUT_MS 1000
#define SHEET_TIMEOUT_MS 20000
#define SHEET_RETRY_MS 250

struct SiHarness
{
  SiHarnessOptions options;
  SiDeployment *deployment;
  char *build_dir;
  char *temp_dir; /* logs and settings files */
  GArray *pids;   /* of the programs that si_spawn started */
  gboolean proxy_started;
};

static char *
program_path (const SiHarness *harness, const char *program)
{
  return g_build_filename (harness->build_dir, program, NULL);
}

SiHarness *
si_harness_new (const SiHarnessOptions *options, GError **error)
{
  SiDeployment *deployment = si_deployment_new (options, error);
  SiHarness *harness;

  if (deployment == NULL)
    return NULL;
  harness = g_new0 (SiHarness, 1);
  harness->options = *options;
  harness->deployment = deployment;
  harness->build_dir = g_strdup (options->build_dir);
  harness->pids = g_array_new (FALSE, FALSE, sizeof (pid_t));
  harness->temp_dir = g_dir_make_tmp ("comfreywalk-XXXXXX", error);
  if (harness->temp_dir != NULL)
    return harness;
  si_harness_free (harness);
  return NULL;
}

void
si_remove_dir (const char *dir_path)
{
  GDir *dir = g_dir_open (dir_path, 0, NULL);
  const char *name;

  if (dir == NULL)
    return;
  while ((name = g_dir_read_name (dir)) != NULL)
    {
      g_autofree char *path = g_build_filename (dir_path, name, NULL);
      g_unlink (path);
    }
  g_dir_close (dir);
  g_rmdir (dir_path);
}

void
si_harness_free (SiHarness *harness)
{
  if (harness == NULL)
    return;
  for (guint i = 0; i < harness->deployment->vms->len; i++)
    {
      SiVm *vm = g_ptr_array_index (harness->deployment->vms, i);
      si_process_kill (vm->pid);
    }
  for (guint i = 0; i < harness->pids->len; i++)
    si_process_kill (g_array_index (harness->pids, pid_t, i));
  /* With CW_KEEP_LOGS the logs of a failed test stay for diagnosis.  */
  if (harness->temp_dir != NULL && g_getenv ("CW_KEEP_LOGS") == NULL)
    si_remove_dir (harness->temp_dir);
  g_array_unref (harness->pids);
  si_deployment_free (harness->deployment);
  g_free (harness->build_dir);
  g_free (harness->temp_dir);
  g_free (harness);
}

const GPtrArray *
si_vms (const SiHarness *harness)
{
  return harness->deployment->vms;
}

const GPtrArray *
si_targets (const SiHarness *harness)
{
  return harness->deployment->targets;
}

SiVm *
si_find_vm (const SiHarness *harness, const char *name)
{
  for (guint i = 0; i < harness->deployment->vms->len; i++)
    {
      SiVm *vm = g_ptr_array_index (harness->deployment->vms, i);
      if (strcmp (vm->name, name) == 0)
        return vm;
    }
  return NULL;
}

SiTarget *
si_find_target (const SiHarness *harness, const char *name)
{
  for (guint i = 0; i < harness->deployment->targets->len; i++)
    {
      SiTarget *target = g_ptr_array_index (harness->deployment->targets, i);
      if (strcmp (target->name, name) == 0)
        return target;
    }
  return NULL;
}

void
si_get_region_link (const SiHarness *harness, uint32_t *mbit_per_s,
                    uint32_t *delay_us)
{
  *mbit_per_s = harness->deployment->region_mbit_per_s;
  *delay_us = harness->deployment->region_delay_us;
}

char *
si_settings_text (const SiHarness *harness, const SiVm *vm)
{
  return si_deployment_settings (harness->deployment, vm, &harness->options);
}

const char *
si_build_dir (const SiHarness *harness)
{
  return harness->build_dir;
}

const char *
si_temp_dir (const SiHarness *harness)
{
  return harness->temp_dir;
}

const char *
si_platform_control (const SiHarness *harness)
{
  return harness->deployment->platform_control;
}

const char *
si_target_control (const SiHarness *harness)
{
  return harness->deployment->target_control;
}

const char *
si_proxy_control (const SiHarness *harness)
{
  return harness->deployment->proxy_control;
}

pid_t
si_spawn (SiHarness *harness, const char *const *argv, const char *log_name,
          GError **error)
{
  g_autofree char *log_path
      = g_build_filename (harness->temp_dir, log_name, NULL);
  pid_t pid = si_process_spawn (argv, log_path, error);

  if (pid > 0)
    g_array_append_val (harness->pids, pid);
  return pid;
}

void
si_kill (SiHarness *harness, pid_t pid)
{
  (void)harness;
  si_process_kill (pid);
}

gboolean
si_wait_exit (SiHarness *harness, pid_t pid, uint32_t wait_ms, int *status)
{
  (void)harness;
  return si_process_wait (pid, wait_ms, status);
}

int
si_run (SiHarness *harness, const char *const *argv, uint32_t wait_ms,
        char **output, GError **error)
{
  static int run_number;
  g_autofree char *name = g_strdup_printf ("run-%d.log", ++run_number);
  g_autofree char *path = g_build_filename (harness->temp_dir, name, NULL);
  pid_t pid = si_process_spawn (argv, path, error);
  int status = 0;

  if (output != NULL)
    *output = NULL;
  if (pid == 0)
    return -1;
  if (!si_process_wait (pid, wait_ms, &status))
    {
      si_process_kill (pid);
      g_set_error (error, SI_ERROR, SI_ERROR_TIMEOUT,
                   "%s did not end within %u ms", argv[0], wait_ms);
      return -1;
    }
  if (output != NULL)
    g_file_get_contents (path, output, NULL, NULL);
  return WIFEXITED (status) ? WEXITSTATUS (status) : 128 + WTERMSIG (status);
}

typedef struct
{
  const char *address;
  const char *path;
  pid_t pid;
} Probe;

static gboolean
probe_finished (void *data)
{
  const Probe *probe = data;
  SiResponse response;
  gboolean ok = si_http_request ("GET", probe->address, probe->path, NULL,
                                 NULL, PROBE_TIMEOUT_MS, &response, NULL);

  si_response_clear (&response);
  return ok || si_process_ended (probe->pid, NULL);
}

/* Waits for any HTTP response from ADDRESS, which PID serves.  */
static gboolean
wait_until_serving (const char *address, const char *path, pid_t pid,
                    const char *program, GError **error)
{
  Probe probe = { address, path, pid };

  if (!si_wait_until (probe_finished, &probe, START_TIMEOUT_MS))
    {
      g_set_error (error, SI_ERROR, SI_ERROR_TIMEOUT,
                   "%s does not respond on %s", program, address);
      return FALSE;
    }
  if (!si_process_ended (pid, NULL))
    return TRUE;
  g_set_error (error, SI_ERROR, SI_ERROR_SPAWN, "%s exited during startup",
               program);
  return FALSE;
}

static char *
list_change_path (const char *service, const char *name, const char *zone,
                  const char *address, const char *state)
{
  const char *colon = strchr (address, ':');

  return g_strdup_printf ("/control/list?service=%s&id=%s&zone=%s&address=%.*s"
                          "&port=%s&state=%s",
                          service, name, zone, (int)(colon - address), address,
                          colon + 1, state);
}

gboolean
si_set_list_state (SiHarness *harness, const char *name, const char *state,
                   GError **error)
{
  const SiVm *vm = si_find_vm (harness, name);
  const SiTarget *target = si_find_target (harness, name);
  g_autofree char *path = NULL;

  if (vm != NULL)
    path = list_change_path ("entry", name, vm->zone, vm->peer_address, state);
  else if (target != NULL)
    path = list_change_path (target->service, name, target->zone,
                             target->address, state);
  else
    {
      g_set_error (error, SI_ERROR, SI_ERROR_OPTION,
                   "no VM or target is named \"%s\"", name);
      return FALSE;
    }
  return si_post_control (harness->deployment->platform_control, path, error);
}

gboolean
si_start_platform (SiHarness *harness, GError **error)
{
  SiDeployment *deployment = harness->deployment;
  g_autofree char *program
      = program_path (harness, "standin/standin-platform");
  const char *argv[] = { program,
                         "--listen",
                         deployment->store_address,
                         "--control",
                         deployment->platform_control,
                         NULL };
  pid_t pid = si_spawn (harness, argv, "platform.log", error);

  if (pid == 0
      || !wait_until_serving (deployment->platform_control, "/control/counts",
                              pid, "standin-platform", error))
    return FALSE;
  for (guint i = 0; i < deployment->vms->len; i++)
    {
      const SiVm *vm = g_ptr_array_index (deployment->vms, i);
      if (!si_set_list_state (harness, vm->name, "live", error))
        return FALSE;
    }
  for (guint i = 0; i < deployment->targets->len; i++)
    {
      const SiTarget *target = g_ptr_array_index (deployment->targets, i);
      if (!si_set_list_state (harness, target->name, "live", error))
        return FALSE;
    }
  return TRUE;
}

gboolean
si_start_targets (SiHarness *harness, GError **error)
{
  SiDeployment *deployment = harness->deployment;
  g_autoptr (GPtrArray) argv = g_ptr_array_new_with_free_func (g_free);
  pid_t pid;

  g_ptr_array_add (argv, program_path (harness, "standin/standin-target"));
  g_ptr_array_add (argv, g_strdup ("--control"));
  g_ptr_array_add (argv, g_strdup (deployment->target_control));
  if (harness->options.work_ms > 0)
    g_ptr_array_add (
        argv, g_strdup_printf ("--work-ms=%u", harness->options.work_ms));
  for (guint i = 0; i < deployment->targets->len; i++)
    {
      const SiTarget *target = g_ptr_array_index (deployment->targets, i);
      g_ptr_array_add (argv, g_strdup_printf ("--target=%s=%s", target->name,
                                              target->address));
    }
  g_ptr_array_add (argv, NULL);
  pid = si_spawn (harness, (const char *const *)argv->pdata, "targets.log",
                  error);
  return pid > 0
         && wait_until_serving (deployment->target_control, "/control/stats",
                                pid, "standin-target", error);
}

static gboolean
add_links (SiHarness *harness, GError **error)
{
  GString *body = g_string_new (NULL);
  gboolean ok;

  for (guint i = 0; i < harness->deployment->links->len; i++)
    {
      const SiPlannedLink *link
          = g_ptr_array_index (harness->deployment->links, i);
      g_string_append_printf (body, "%s %s %s %s\n", link->name,
                              link->listen_address, link->dest_address,
                              link->query);
    }
  ok = si_post (harness->deployment->proxy_control, "/control/add", body->str,
                error);
  g_string_free (body, TRUE);
  return ok;
}

gboolean
si_start_proxy (SiHarness *harness, GError **error)
{
  g_autofree char *program = program_path (harness, "standin/fault-proxy");
  const char *argv[]
      = { program, "--control", harness->deployment->proxy_control, NULL };
  pid_t pid = si_spawn (harness, argv, "proxy.log", error);

  harness->proxy_started = TRUE;
  return pid > 0
         && wait_until_serving (harness->deployment->proxy_control,
                                "/control/links", pid, "fault-proxy", error)
         && add_links (harness, error);
}

static gboolean
write_settings (SiHarness *harness, SiVm *vm, GError **error)
{
  g_autofree char *name = g_strdup_printf ("%s.json", vm->name);
  g_autofree char *log = g_strdup_printf ("%s.log", vm->name);
  g_autofree char *text = si_settings_text (harness, vm);

  g_free (vm->settings_path);
  g_free (vm->log_path);
  vm->settings_path = g_build_filename (harness->temp_dir, name, NULL);
  vm->log_path = g_build_filename (harness->temp_dir, log, NULL);
  if (g_file_set_contents (vm->settings_path, text, -1, NULL))
    return TRUE;
  g_set_error (error, SI_ERROR, SI_ERROR_FILE, "cannot write %s",
               vm->settings_path);
  return FALSE;
}

static gboolean
spawn_vm (SiHarness *harness, SiVm *vm, GError **error)
{
  g_autofree char *program = program_path (harness, "daemon/comfreywalkd");
  const char *argv[4] = { program, "--settings", NULL, NULL };

  if (!write_settings (harness, vm, error))
    return FALSE;
  argv[2] = vm->settings_path;
  vm->pid = si_process_spawn (argv, vm->log_path, error);
  return vm->pid > 0;
}

gboolean
si_start_vm (SiHarness *harness, const char *name, GError **error)
{
  SiVm *vm = si_find_vm (harness, name);

  if (vm == NULL || !si_process_ended (vm->pid, NULL))
    {
      g_set_error (error, SI_ERROR, SI_ERROR_OPTION,
                   "VM \"%s\" is unknown or already running", name);
      return FALSE;
    }
  return spawn_vm (harness, vm, error)
         && wait_until_serving (vm->admin_address, "/v1/status", vm->pid,
                                vm->name, error);
}

gboolean
si_start_daemons (SiHarness *harness, GError **error)
{
  const GPtrArray *vms = harness->deployment->vms;

  if (harness->options.proxied && !harness->proxy_started
      && !si_start_proxy (harness, error))
    return FALSE;
  for (guint i = 0; i < vms->len; i++)
    if (!spawn_vm (harness, g_ptr_array_index (vms, i), error))
      return FALSE;
  for (guint i = 0; i < vms->len; i++)
    {
      const SiVm *vm = g_ptr_array_index (vms, i);
      if (!wait_until_serving (vm->admin_address, "/v1/status", vm->pid,
                               vm->name, error))
        return FALSE;
    }
  return TRUE;
}

gboolean
si_signal_vm (SiHarness *harness, const char *name, int signal)
{
  const SiVm *vm = si_find_vm (harness, name);
  return vm != NULL && si_process_signal (vm->pid, signal);
}

void
si_kill_vm (SiHarness *harness, const char *name)
{
  SiVm *vm = si_find_vm (harness, name);

  if (vm == NULL)
    return;
  si_process_kill (vm->pid);
  vm->pid = 0;
}

gboolean
si_stop_vm (SiHarness *harness, const char *name, uint32_t wait_ms,
            int *status, GError **error)
{
  SiVm *vm = si_find_vm (harness, name);

  if (vm == NULL || !si_process_signal (vm->pid, SIGTERM))
    {
      g_set_error (error, SI_ERROR, SI_ERROR_OPTION,
                   "VM \"%s\" is unknown or not running", name);
      return FALSE;
    }
  if (!si_process_wait (vm->pid, wait_ms, status))
    {
      g_set_error (error, SI_ERROR, SI_ERROR_TIMEOUT,
                   "VM \"%s\" did not stop within %u ms", name, wait_ms);
      return FALSE;
    }
  vm->pid = 0;
  return TRUE;
}

/* Daemons refuse changes until they receive reports from more than half of
   the members, so the change is retried while the fleet starts.  */
gboolean
si_apply_sheet (SiHarness *harness, const char *sheet, GError **error)
{
  const GPtrArray *vms = harness->deployment->vms;
  g_autoptr (GPtrArray) argv = g_ptr_array_new_with_free_func (g_free);
  int64_t end_us = g_get_monotonic_time () + (int64_t)SHEET_TIMEOUT_MS * 1000;

  g_ptr_array_add (argv, program_path (harness, "client/comfreywalk"));
  g_ptr_array_add (argv, g_strdup ("apply"));
  g_ptr_array_add (argv, g_strdup (sheet));
  g_ptr_array_add (argv, g_strdup ("--wait"));
  g_ptr_array_add (argv, g_strdup ("--author=harness"));
  for (guint i = 0; i < vms->len; i++)
    {
      const SiVm *vm = g_ptr_array_index (vms, i);
      if (!si_process_ended (vm->pid, NULL))
        g_ptr_array_add (argv,
                         g_strdup_printf ("--daemon=%s", vm->admin_address));
    }
  g_ptr_array_add (argv, NULL);
  for (;;)
    {
      g_autofree char *output = NULL;
      int status = si_run (harness, (const char *const *)argv->pdata,
                           SHEET_TIMEOUT_MS, &output, error);

      if (status <= 0)
        return status == 0;
      if (g_get_monotonic_time () >= end_us)
        {
          g_set_error (error, SI_ERROR, SI_ERROR_STATUS,
                       "comfreywalk apply %s exited with status %d: %s", sheet,
                       status, output);
          return FALSE;
        }
      si_sleep_ms (SHEET_RETRY_MS);
    }
}

gboolean
si_vm_is_ready (const SiVm *vm)
{
  g_autofree char *text = si_get_text (vm->admin_address, "/v1/status", NULL);
  struct json_object *root = text == NULL ? NULL : json_tokener_parse (text);
  struct json_object *ready;
  gboolean result = root != NULL
                    && json_object_object_get_ex (root, "ready", &ready)
                    && json_object_get_boolean (ready);

  json_object_put (root);
  return result;
}

static gboolean
running_vms_ready (void *data)
{
  const SiHarness *harness = data;

  for (guint i = 0; i < harness->deployment->vms->len; i++)
    {
      const SiVm *vm = g_ptr_array_index (harness->deployment->vms, i);
      if (!si_process_ended (vm->pid, NULL) && !si_vm_is_ready (vm))
        return FALSE;
    }
  return TRUE;
}

gboolean
si_wait_ready (SiHarness *harness, uint32_t wait_ms, GError **error)
{
  if (si_wait_until (running_vms_ready, harness, wait_ms))
    return TRUE;
  g_set_error (error, SI_ERROR, SI_ERROR_TIMEOUT,
               "not all daemons were ready within %u ms", wait_ms);
  return FALSE;
}

const char *
si_link_address (const SiHarness *harness, const char *kind, const char *from,
                 const char *to)
{
  return si_deployment_address (harness->deployment, kind, from, to, NULL);
}

static gboolean
post_link_query (SiHarness *harness, const char *patterns, const char *query,
                 GError **error)
{
  g_autofree char *path = g_strdup_printf ("/control/set?%s", query);
  return si_post (harness->deployment->proxy_control, path, patterns, error);
}

gboolean
si_set_links (SiHarness *harness, const char *pattern, const char *query,
              GError **error)
{
  return post_link_query (harness, pattern, query, error);
}

static gboolean
crosses_zone_border (const SiPlannedLink *link, const char *zone)
{
  return (strcmp (link->from_zone, zone) == 0)
         != (strcmp (link->to_zone, zone) == 0);
}

gboolean
si_partition_zone (SiHarness *harness, const char *zone, gboolean partitioned,
                   GError **error)
{
  GString *names = g_string_new (NULL);
  gboolean ok;

  /* Callers are outside all zones and can still reach a partitioned zone.  */
  for (guint i = 0; i < harness->deployment->links->len; i++)
    {
      const SiPlannedLink *link
          = g_ptr_array_index (harness->deployment->links, i);
      if (crosses_zone_border (link, zone)
          && strcmp (link->from_zone, "outside") != 0)
        g_string_append_printf (names, "%s\n", link->name);
    }
  ok = post_link_query (harness, names->str,
                        partitioned ? "partition=1" : "partition=0", error);
  g_string_free (names, TRUE);
  return ok;
}

static gboolean
connects_regions (const SiPlannedLink *link, const char *a, const char *b)
{
  g_autofree char *prefix_a = g_strdup_printf ("%s-", a);
  g_autofree char *prefix_b = g_strdup_printf ("%s-", b);

  return (g_str_has_prefix (link->from_zone, prefix_a)
          && g_str_has_prefix (link->to_zone, prefix_b))
         || (g_str_has_prefix (link->from_zone, prefix_b)
             && g_str_has_prefix (link->to_zone, prefix_a));
}

gboolean
si_partition_regions (SiHarness *harness, const char *a, const char *b,
                      gboolean partitioned, GError **error)
{
  GString *names = g_string_new (NULL);
  gboolean ok;

  for (guint i = 0; i < harness->deployment->links->len; i++)
    {
      const SiPlannedLink *link
          = g_ptr_array_index (harness->deployment->links, i);
      if (connects_regions (link, a, b))
        g_string_append_printf (names, "%s\n", link->name);
    }
  ok = post_link_query (harness, names->str,
                        partitioned ? "partition=1" : "partition=0", error);
  g_string_free (names, TRUE);
  return ok;
}
