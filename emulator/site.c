#include "emulator/site.h"

#include <event2/event.h>
#include <signal.h>
#include <string.h>

#include "emulator/target.h"
#include "standin/process.h"

#define READY_MAX_MS 10000
/* A process sets its signal handlers within this time after its start.  */
#define START_US 500000
#define GRACE_S 6
#define SLOT_COUNT 3
#define QUEUE_MAX_COUNT 3
#define SERVICE_MIN_US 3000
#define SERVICE_MAX_US 12000
#define IDLE_TIMEOUT_US 1500000
/* Requests of other callers come at the same time at all targets.  */
#define OTHERS_PERIOD_US 37000
#define OTHERS_MIN_US 1500
#define OTHERS_MAX_US 4500
#define LIMIT_MIN_PER_S 20
#define LIMIT_MAX_PER_S 200
/* A draining target ends after this time.  */
#define DRAIN_US 2200000

typedef struct
{
  char *front_address;
  char *ready_address;
  char *settings_path;
  char *log_path;
  pid_t pid; /* 0: killed */
  int64_t started_us;
  gboolean is_stopping;
} Daemon;

typedef struct
{
  EmTarget *emulated;
  char *address;
  uint32_t life_number;
  int64_t drained_us; /* end of a draining target; 0: does not drain */
} Target;

struct EmSite
{
  EmSiteOptions options;
  char *store_address;
  char *control_address;
  pid_t store_pid;
  Daemon daemons[EM_DAEMONS_MAX];
  const char *fronts[EM_DAEMONS_MAX + 1];
  Target targets[EM_TARGETS_MAX];
  uint32_t entry_number;
  gboolean tells_load;
  int64_t next_others_us;
  char *error; /* the first one */
};

static void
set_error (EmSite *site, const char *what, const char *why)
{
  if (site->error == NULL)
    site->error = g_strdup_printf ("%s: %s", what, why);
}

static void
post_control (EmSite *site, const char *path, const char *body)
{
  g_autoptr (GError) error = NULL;

  if (!si_post (site->control_address, path, body, &error))
    set_error (site, path, error->message);
}

/* Entries in the store.  */

static void
put_config (EmSite *site)
{
  static const char *const route
      = "\"host\":\"127.0.0.1\",\"timeout_s\":2,\"target_latency_s\":0.5,"
        "\"priority\":1,\"service\":\"s\",\"max_attempts\":3,"
        "\"anonymous\":false";
  g_autofree char *text = g_strdup_printf (
      "{\"version\":\"r1\",\"routes\":{"
      "\"order\":{%s,\"prefix\":\"/order/\",\"kind\":\"unsafe\","
      "\"sticky\":false},"
      "\"booking\":{%s,\"prefix\":\"/booking/\",\"kind\":\"unsafe\","
      "\"sticky\":true},"
      "\"read\":{%s,\"prefix\":\"/read/\",\"kind\":\"safe\","
      "\"sticky\":true}},"
      "\"services\":{\"s\":{\"max_connections\":330,\"cold_start_s\":1,"
      "\"cold_per_s\":50}},"
      "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":8000000,"
      "\"header_timeout_s\":%d,\"idle_timeout_s\":%d},"
      "\"tenants\":{"
      "\"c1\":{\"api_keys\":[\"k1\"],\"rate_per_s\":0,\"burst\":0},"
      "\"c2\":{\"api_keys\":[\"k2\"],\"rate_per_s\":40,\"burst\":40}}}",
      route, route, route, EM_REQUEST_TIMEOUT_S, EM_REQUEST_TIMEOUT_S);

  post_control (site, "/put?key=op/config", text);
}

static const char *
zone_of (uint32_t index)
{
  return index % 2 == 0 ? "a1" : "a2";
}

static void
put_entry (EmSite *site, uint32_t index, const char *state)
{
  const char *id = em_target_id (site->targets[index].emulated);
  g_autofree char *path = g_strconcat ("/put?key=servers/", id, NULL);
  g_autofree char *text = g_strdup_printf (
      "{\"service\":\"s\",\"address\":\"%s\",\"zone\":\"%s\","
      "\"version\":\"v1\",\"slots\":%d,\"state\":\"%s\","
      "\"cold_remaining_s\":0,\"sequence\":%u,\"born\":%u}",
      site->targets[index].address, zone_of (index), SLOT_COUNT, state,
      ++site->entry_number, 1000 + site->targets[index].life_number);

  post_control (site, path, text);
}

static void
remove_entry (EmSite *site, uint32_t index)
{
  const char *id = em_target_id (site->targets[index].emulated);
  g_autofree char *path = g_strconcat ("/remove?key=servers/", id, NULL);

  post_control (site, path, "");
}

/* Processes.  */

static gboolean
responds (void *data)
{
  const char *const *endpoint = data;
  g_autofree char *text = si_get_text (endpoint[0], endpoint[1], NULL);

  return text != NULL;
}

static gboolean
wait_until_responding (const char *address, const char *path, GError **error)
{
  const char *endpoint[] = { address, path };

  if (si_wait_until (responds, endpoint, READY_MAX_MS))
    return TRUE;
  g_set_error (error, SI_ERROR, SI_ERROR_TIMEOUT, "%s%s does not respond",
               address, path);
  return FALSE;
}

static char *
find_free_address (void)
{
  return g_strdup_printf ("127.0.0.1:%u", si_find_free_port ());
}

static gboolean
start_store (EmSite *site, GError **error)
{
  g_autofree char *program = g_build_filename (
      site->options.build_dir, "standin", "standin-estate", NULL);
  g_autofree char *log_path
      = g_build_filename (site->options.log_dir, "store.log", NULL);
  const char *argv[] = { program,
                         "--store",
                         site->store_address,
                         "--control",
                         site->control_address,
                         NULL };

  site->store_pid = si_process_spawn (argv, log_path, error);
  return site->store_pid != 0
         && wait_until_responding (site->control_address, "/runs", error);
}

static void
write_settings (EmSite *site, uint32_t index)
{
  Daemon *daemon = &site->daemons[index];
  g_autofree char *directory_address = find_free_address ();
  g_autofree char *text = g_strdup_printf (
      "{\"vm\":\"vm%u\",\"zone\":\"%s\",\"region\":\"a\","
      "\"zones\":{\"a1\":\"a\",\"a2\":\"a\"},"
      "\"front_listen\":\"%s\",\"ready_listen\":\"%s\","
      "\"directory_listen\":\"%s\",\"address\":\"127.0.0.1\","
      "\"gossip_port\":%u,\"store_address\":\"%s\",\"files_max\":2000,"
      "\"bounds\":{\"grace_s\":%d,\"revoke_s\":5,\"budget_window_s\":10,"
      "\"retry_budget_ratio\":0.5,\"budget_slack\":500}}\n",
      index, zone_of (index), daemon->front_address, daemon->ready_address,
      directory_address, si_find_free_port (), site->store_address, GRACE_S);

  if (!g_file_set_contents (daemon->settings_path, text, -1, NULL))
    set_error (site, daemon->settings_path, "cannot be written");
}

static gboolean
spawn_daemon (EmSite *site, Daemon *daemon, GError **error)
{
  g_autofree char *program = g_build_filename (site->options.build_dir,
                                               "daemon", "comfreywalkd", NULL);
  const char *argv[]
      = { program, "--platform", "--settings", daemon->settings_path, NULL };

  daemon->is_stopping = FALSE;
  daemon->started_us = g_get_monotonic_time ();
  daemon->pid = si_process_spawn (argv, daemon->log_path, error);
  return daemon->pid != 0;
}

static void
restart_daemon (EmSite *site, Daemon *daemon)
{
  g_autoptr (GError) error = NULL;

  if (!spawn_daemon (site, daemon, &error))
    set_error (site, "daemon", error->message);
}

static gboolean
start_daemons (EmSite *site, GError **error)
{
  for (uint32_t i = 0; i < site->options.daemon_count; i++)
    {
      Daemon *daemon = &site->daemons[i];

      daemon->front_address = find_free_address ();
      daemon->ready_address = find_free_address ();
      daemon->settings_path
          = g_strdup_printf ("%s/vm%u.json", site->options.log_dir, i);
      daemon->log_path
          = g_strdup_printf ("%s/vm%u.log", site->options.log_dir, i);
      site->fronts[i] = daemon->front_address;
      write_settings (site, i);
      if (!spawn_daemon (site, daemon, error))
        return FALSE;
    }
  for (uint32_t i = 0; i < site->options.daemon_count; i++)
    if (!wait_until_responding (site->daemons[i].ready_address, "/ready",
                                error))
      return FALSE;
  return TRUE;
}

static char *
make_target_id (const EmSite *site, uint32_t index)
{
  return g_strdup_printf ("t%u.%u", index, site->targets[index].life_number);
}

static gboolean
start_targets (EmSite *site, GError **error)
{
  for (uint32_t i = 0; i < site->options.target_count; i++)
    {
      Target *target = &site->targets[i];
      g_autofree char *id = make_target_id (site, i);
      EmTargetOptions options = { .base = site->options.base,
                                  .judge = site->options.judge,
                                  .random = site->options.random,
                                  .id = id,
                                  .slot_count = SLOT_COUNT,
                                  .queue_max_count = QUEUE_MAX_COUNT,
                                  .service_min_us = SERVICE_MIN_US,
                                  .service_max_us = SERVICE_MAX_US,
                                  .idle_timeout_us = IDLE_TIMEOUT_US,
                                  .tells_load = site->tells_load };

      target->address = find_free_address ();
      options.address = target->address;
      target->emulated = em_target_new (&options, error);
      if (target->emulated == NULL)
        return FALSE;
      put_entry (site, i, "ready");
    }
  return TRUE;
}

EmSite *
em_site_new (const EmSiteOptions *options, GError **error)
{
  EmSite *site = g_new0 (EmSite, 1);
  gboolean started;

  g_assert (options->daemon_count <= EM_DAEMONS_MAX
            && options->target_count <= EM_TARGETS_MAX);
  site->options = *options;
  site->tells_load = g_rand_boolean (options->random);
  site->store_address = find_free_address ();
  site->control_address = find_free_address ();
  started = start_store (site, error);
  if (started)
    put_config (site);
  if (started && start_targets (site, error) && start_daemons (site, error))
    return site;
  em_site_free (site);
  return NULL;
}

void
em_site_free (EmSite *site)
{
  if (site == NULL)
    return;
  for (uint32_t i = 0; i < site->options.daemon_count; i++)
    {
      Daemon *daemon = &site->daemons[i];
      si_process_kill (daemon->pid);
      g_free (daemon->front_address);
      g_free (daemon->ready_address);
      g_free (daemon->settings_path);
      g_free (daemon->log_path);
    }
  si_process_kill (site->store_pid);
  for (uint32_t i = 0; i < site->options.target_count; i++)
    {
      em_target_free (site->targets[i].emulated);
      g_free (site->targets[i].address);
    }
  g_free (site->store_address);
  g_free (site->control_address);
  g_free (site->error);
  g_free (site);
}

/* Faults.  */

typedef void (*FaultAction) (EmSite *site, const EmPlanned *fault,
                             gboolean begins);

static void
restart_target (EmSite *site, uint32_t index, gboolean keeps_id)
{
  Target *target = &site->targets[index];
  g_autofree char *id = NULL;

  target->life_number += keeps_id ? 0 : 1;
  id = make_target_id (site, index);
  if (!em_target_start (target->emulated, id))
    set_error (site, target->address, "is taken");
  put_entry (site, index, "ready");
}

static void
send_faulty_responses (EmSite *site, const EmPlanned *fault, gboolean begins)
{
  em_target_set_fault (site->targets[fault->subject_index].emulated,
                       (EmFault)fault->fault, begins ? fault->percent : 0);
}

static void
stop_target (EmSite *site, const EmPlanned *fault, gboolean begins)
{
  if (begins)
    em_target_stop (site->targets[fault->subject_index].emulated,
                    fault->from_ms % 2 == 0);
  else
    restart_target (site, fault->subject_index, TRUE);
}

static void
replace_target (EmSite *site, const EmPlanned *fault, gboolean begins)
{
  if (begins)
    {
      em_target_stop (site->targets[fault->subject_index].emulated,
                      fault->from_ms % 2 == 0);
      return;
    }
  remove_entry (site, fault->subject_index);
  restart_target (site, fault->subject_index, FALSE);
}

/* The entry of the old target stays while the other service has its
   address.  */
static void
reuse_address (EmSite *site, const EmPlanned *fault, gboolean begins)
{
  EmTarget *emulated = site->targets[fault->subject_index].emulated;
  g_autofree char *old_id = make_target_id (site, fault->subject_index);
  g_autofree char *path = g_strconcat ("/remove?key=servers/", old_id, NULL);

  em_target_stop (emulated, fault->from_ms % 2 == 0);
  if (begins)
    {
      em_target_start (emulated, "another");
      return;
    }
  post_control (site, path, "");
  restart_target (site, fault->subject_index, FALSE);
}

static void
freeze_target (EmSite *site, const EmPlanned *fault, gboolean begins)
{
  em_target_freeze (site->targets[fault->subject_index].emulated, begins);
}

static void
drain_target (EmSite *site, const EmPlanned *fault, gboolean begins)
{
  Target *target = &site->targets[fault->subject_index];

  if (begins)
    {
      put_entry (site, fault->subject_index, "draining");
      target->drained_us = g_get_monotonic_time () + DRAIN_US;
      return;
    }
  target->drained_us = 0;
  em_target_stop (target->emulated, FALSE);
  remove_entry (site, fault->subject_index);
  restart_target (site, fault->subject_index, FALSE);
}

static void
limit_target (EmSite *site, const EmPlanned *fault, gboolean begins)
{
  uint32_t limit_per_s = (uint32_t)g_rand_int_range (
      site->options.random, LIMIT_MIN_PER_S, LIMIT_MAX_PER_S);

  em_target_set_limit (site->targets[fault->subject_index].emulated,
                       begins ? limit_per_s : 0);
}

static void
stop_daemon (EmSite *site, const EmPlanned *fault, gboolean begins)
{
  Daemon *daemon = &site->daemons[fault->subject_index];

  if (!begins)
    return;
  daemon->is_stopping = TRUE;
  si_process_signal (daemon->pid, SIGTERM);
}

static void
kill_daemon (EmSite *site, const EmPlanned *fault, gboolean begins)
{
  Daemon *daemon = &site->daemons[fault->subject_index];

  if (begins)
    si_process_kill (daemon->pid);
  else
    restart_daemon (site, daemon);
}

static void
pause_daemon (EmSite *site, const EmPlanned *fault, gboolean begins)
{
  si_process_signal (site->daemons[fault->subject_index].pid,
                     begins ? SIGSTOP : SIGCONT);
}

/* Both when the fault begins and when it ends.  */
static void
reload_daemon (EmSite *site, const EmPlanned *fault, gboolean begins)
{
  const Daemon *daemon = &site->daemons[fault->subject_index];

  (void)begins;
  if (g_get_monotonic_time () - daemon->started_us > START_US)
    si_process_signal (daemon->pid, SIGHUP);
}

static void
set_store_fault (EmSite *site, const EmPlanned *fault, gboolean begins)
{
  static const char *const names[EM_KIND_COUNT]
      = { [EM_STORE_SILENT] = "silent",
          [EM_STORE_BUSY] = "busy",
          [EM_STORE_RESET] = "reset" };
  g_autofree char *path = g_strconcat (
      "/store?fault=", begins ? names[fault->kind] : "none", NULL);

  post_control (site, path, "");
}

static const FaultAction actions[EM_KIND_COUNT] = {
  [EM_TARGET_FAULTY] = send_faulty_responses,
  [EM_TARGET_STOPPED] = stop_target,
  [EM_TARGET_REPLACED] = replace_target,
  [EM_TARGET_REUSED] = reuse_address,
  [EM_TARGET_FROZEN] = freeze_target,
  [EM_TARGET_DRAINED] = drain_target,
  [EM_TARGET_LIMITED] = limit_target,
  [EM_DAEMON_STOP] = stop_daemon,
  [EM_DAEMON_KILL] = kill_daemon,
  [EM_DAEMON_PAUSE] = pause_daemon,
  [EM_DAEMON_RELOAD] = reload_daemon,
  [EM_STORE_SILENT] = set_store_fault,
  [EM_STORE_BUSY] = set_store_fault,
  [EM_STORE_RESET] = set_store_fault,
};

void
em_site_begin_fault (EmSite *site, const EmPlanned *fault)
{
  actions[fault->kind](site, fault, TRUE);
}

void
em_site_end_fault (EmSite *site, const EmPlanned *fault)
{
  actions[fault->kind](site, fault, FALSE);
}

static void
occupy_targets (EmSite *site, int64_t now_us)
{
  site->next_others_us = now_us + OTHERS_PERIOD_US;
  for (uint32_t i = 0; i < site->options.target_count; i++)
    em_target_occupy (site->targets[i].emulated,
                      now_us
                          + g_rand_int_range (site->options.random,
                                              OTHERS_MIN_US, OTHERS_MAX_US));
}

void
em_site_tick (EmSite *site)
{
  int64_t now_us = g_get_monotonic_time ();

  for (uint32_t i = 0; i < site->options.daemon_count; i++)
    if (site->daemons[i].is_stopping
        && si_process_ended (site->daemons[i].pid, NULL))
      restart_daemon (site, &site->daemons[i]);
  for (uint32_t i = 0; i < site->options.target_count; i++)
    if (site->targets[i].drained_us > 0
        && site->targets[i].drained_us <= now_us)
      {
        site->targets[i].drained_us = 0;
        em_target_stop (site->targets[i].emulated, FALSE);
      }
  if (now_us >= site->next_others_us)
    occupy_targets (site, now_us);
}

const char *const *
em_site_daemons (const EmSite *site)
{
  return site->fronts;
}

const char *
em_site_error (const EmSite *site)
{
  return site->error;
}
