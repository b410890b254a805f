#include "soak/site.h"

#include <signal.h>
#include <string.h>

#include "standin/process.h"

#define READY_MAX_MS 10000
/* A stopping process gets this beyond its grace on a loaded machine.  */
#define STOP_SLACK_MS 1000

static const char *const zones[SK_ZONES] = { "a1", "a2", "b1" };
static const char *const regions[SK_ZONES] = { "a", "a", "b" };

typedef struct
{
  char *front;
  char *ready;
  char *settings;
  char *log;
  pid_t pid;
  int64_t stopping_us; /* 0: it runs */
} Daemon;

typedef struct
{
  char *id;
  char *address;
  char *link;
  gboolean is_drained;
  int cold_s;
} Target;

struct SkSite
{
  char *bin;
  char *folder;
  SkRecord *record;
  char *store;
  char *control;
  char *proxy;
  pid_t estate_pid;
  pid_t proxy_pid;
  Daemon daemons[SK_DAEMONS];
  Target targets[SK_TARGETS];
  int config_version;
  int key_number;
  int report_number;
  GPtrArray *broken;
};

static void complain (SkSite *site, const char *format, ...)
    G_GNUC_PRINTF (2, 3);

static void
complain (SkSite *site, const char *format, ...)
{
  va_list arguments;

  va_start (arguments, format);
  g_ptr_array_add (site->broken, g_strdup_vprintf (format, arguments));
  va_end (arguments);
}

static void
post (SkSite *site, const char *address, const char *path, const char *body)
{
  g_autoptr (GError) error = NULL;

  if (!si_post (address, path, body, &error))
    complain (site, "control: %s: %s", path, error->message);
}

static char *
free_address (void)
{
  return g_strdup_printf ("127.0.0.1:%u", si_free_port ());
}

/* What the operators and the targets hold in the store.  */

static void
put (SkSite *site, const char *key, const char *value)
{
  g_autofree char *path = g_strconcat ("/put?key=", key, NULL);

  post (site, site->control, path, value);
}

static char *
format_route (const char *name, const char *kind, gboolean is_open)
{
  return g_strdup_printf (
      "\"%s\":{\"host\":\"127.0.0.1\",\"prefix\":\"/%s/\",\"kind\":\"%s\","
      "\"timeout_s\":2,\"target_latency_s\":0.5,\"priority\":1,"
      "\"service\":\"s\",\"max_attempts\":2,\"sticky\":false,"
      "\"anonymous\":%s}",
      name, name, kind, is_open ? "true" : "false");
}

static void
put_config (SkSite *site, int version, int key_number)
{
  g_autofree char *read = format_route ("read", "safe", FALSE);
  g_autofree char *order = format_route ("order", "unsafe", FALSE);
  g_autofree char *open = format_route ("open", "safe", TRUE);
  g_autofree char *text = g_strdup_printf (
      "{\"version\":\"r%d\",\"routes\":{%s,%s,%s},"
      "\"services\":{\"s\":{\"max_connections\":100,\"cold_start_s\":3,"
      "\"cold_per_s\":%d}},\"tenants\":{"
      "\"c1\":{\"api_keys\":[\"key-%d\"],\"rate_per_s\":0,\"burst\":0},"
      "\"c2\":{\"api_keys\":[\"limited\"],\"rate_per_s\":%d,\"burst\":%d}}}",
      version, read, order, open, SK_COLD_PER_S, key_number, SK_LIMITED_PER_S,
      SK_LIMITED_PER_S);

  put (site, "op/config", text);
}

static void
put_target (SkSite *site, uint32_t index)
{
  const Target *target = &site->targets[index];
  g_autofree char *key = g_strconcat ("servers/", target->id, NULL);
  g_autofree char *text = g_strdup_printf (
      "{\"service\":\"s\",\"address\":\"%s\",\"zone\":\"%s\",\"slots\":3,"
      "\"state\":\"%s\",\"cold_remaining_s\":%d,\"sequence\":%d,"
      "\"born\":1000}",
      target->link, sk_site_zone_of (target->id),
      target->is_drained ? "draining" : "ready", target->cold_s,
      ++site->report_number);

  put (site, key, text);
}

static void
remove_key (SkSite *site, const char *prefix, const char *name)
{
  g_autofree char *path
      = g_strconcat ("/remove?key=", prefix, "/", name, NULL);

  post (site, site->control, path, "");
}

/* Processes.  */

static gboolean
answers (void *data)
{
  const char *const *where = data;
  g_autofree char *text = si_get_text (where[0], where[1], NULL);

  return text != NULL;
}

static gboolean
wait_for (const char *address, const char *path, GError **error)
{
  const char *where[] = { address, path };

  if (si_wait (answers, where, READY_MAX_MS))
    return TRUE;
  g_set_error (error, SI_ERROR, SI_ERROR_TIMEOUT, "%s%s does not answer",
               address, path);
  return FALSE;
}

static gboolean
start_estate (SkSite *site, GError **error)
{
  g_autofree char *program
      = g_build_filename (site->bin, "standin", "standin-estate", NULL);
  g_autofree char *log = g_build_filename (site->folder, "estate.log", NULL);
  g_autoptr (GPtrArray) argv = g_ptr_array_new_with_free_func (g_free);

  g_ptr_array_add (argv, g_strdup (program));
  g_ptr_array_add (argv, g_strdup_printf ("--store=%s", site->store));
  g_ptr_array_add (argv, g_strdup_printf ("--control=%s", site->control));
  for (int i = 0; i < SK_TARGETS; i++)
    g_ptr_array_add (argv, g_strdup_printf ("%s=%s", site->targets[i].id,
                                            site->targets[i].address));
  g_ptr_array_add (argv, NULL);
  site->estate_pid
      = si_process_spawn ((const char *const *)argv->pdata, log, error);
  return site->estate_pid != 0 && wait_for (site->control, "/runs", error);
}

/* Links are named "store-N" after a daemon, "target-N" after a target.  */
static gboolean
start_proxy (SkSite *site, char *const *store_links, GError **error)
{
  g_autofree char *program
      = g_build_filename (site->bin, "standin", "fault-proxy", NULL);
  g_autofree char *log = g_build_filename (site->folder, "proxy.log", NULL);
  const char *argv[] = { program, "--control", site->proxy, NULL };
  g_autoptr (GString) links = g_string_new (NULL);

  site->proxy_pid = si_process_spawn (argv, log, error);
  if (site->proxy_pid == 0 || !wait_for (site->proxy, "/control/links", error))
    return FALSE;
  for (int i = 0; i < SK_DAEMONS; i++)
    g_string_append_printf (links, "store-%d %s %s\n", i, store_links[i],
                            site->store);
  for (int i = 0; i < SK_TARGETS; i++)
    g_string_append_printf (links, "target-%d %s %s\n", i,
                            site->targets[i].link, site->targets[i].address);
  return si_post (site->proxy, "/control/add", links->str, error);
}

static void
write_settings (SkSite *site, int index, const char *store)
{
  Daemon *daemon = &site->daemons[index];
  g_autofree char *directory = free_address ();
  g_autofree char *text = g_strdup_printf (
      "{\"vm\":\"vm%d\",\"zone\":\"%s\",\"region\":\"%s\","
      "\"zones\":{\"a1\":\"a\",\"a2\":\"a\",\"b1\":\"b\"},"
      "\"front_listen\":\"%s\",\"ready_listen\":\"%s\","
      "\"directory_listen\":\"%s\",\"address\":\"127.0.0.1\","
      "\"gossip_port\":%u,\"store_address\":\"%s\",\"files_max\":1000,"
      "\"bounds\":{\"grace_s\":%d,\"revoke_s\":%d}}\n",
      index, zones[index], regions[index], daemon->front, daemon->ready,
      directory, si_free_port (), store, SK_GRACE_MS / 1000,
      SK_KEY_WITHDRAWAL_MS / 1000);

  if (!g_file_set_contents (daemon->settings, text, -1, NULL))
    complain (site, "cannot write %s", daemon->settings);
}

static gboolean
spawn_daemon (SkSite *site, Daemon *daemon, GError **error)
{
  g_autofree char *program
      = g_build_filename (site->bin, "daemon", "comfreywalkd", NULL);
  const char *argv[]
      = { program, "--platform", "--settings", daemon->settings, NULL };

  daemon->stopping_us = 0;
  daemon->pid = si_process_spawn (argv, daemon->log, error);
  return daemon->pid != 0;
}

static gboolean
start_daemons (SkSite *site, char *const *store_links, GError **error)
{
  for (int i = 0; i < SK_DAEMONS; i++)
    {
      Daemon *daemon = &site->daemons[i];
      daemon->front = free_address ();
      daemon->ready = free_address ();
      daemon->settings = g_strdup_printf ("%s/vm%d.json", site->folder, i);
      daemon->log = g_strdup_printf ("%s/vm%d.log", site->folder, i);
      write_settings (site, i, store_links[i]);
      if (!spawn_daemon (site, daemon, error))
        return FALSE;
    }
  for (int i = 0; i < SK_DAEMONS; i++)
    if (!wait_for (site->daemons[i].ready, "/ready", error))
      return FALSE;
  return TRUE;
}

static gboolean
start (SkSite *site, GError **error)
{
  char *store_links[SK_DAEMONS];
  gboolean done;

  for (int i = 0; i < SK_DAEMONS; i++)
    store_links[i] = free_address ();
  done = start_estate (site, error) && start_proxy (site, store_links, error);
  if (done)
    {
      put_config (site, ++site->config_version, site->key_number);
      for (uint32_t i = 0; i < SK_TARGETS; i++)
        put_target (site, i);
      done = start_daemons (site, store_links, error);
    }
  for (int i = 0; i < SK_DAEMONS; i++)
    g_free (store_links[i]);
  return done;
}

SkSite *
sk_site_new (const char *bin, const char *folder, SkRecord *record,
             GError **error)
{
  SkSite *site = g_new0 (SkSite, 1);

  site->bin = g_strdup (bin);
  site->folder = g_strdup (folder);
  site->record = record;
  site->store = free_address ();
  site->control = free_address ();
  site->proxy = free_address ();
  site->key_number = 1;
  site->broken = g_ptr_array_new_with_free_func (g_free);
  for (int i = 0; i < SK_TARGETS; i++)
    {
      site->targets[i].id = g_strdup_printf ("t%d", i);
      site->targets[i].address = free_address ();
      site->targets[i].link = free_address ();
    }
  if (start (site, error))
    return site;
  sk_site_free (site);
  return NULL;
}

void
sk_site_free (SkSite *site)
{
  if (site == NULL)
    return;
  for (int i = 0; i < SK_DAEMONS; i++)
    {
      Daemon *daemon = &site->daemons[i];
      si_process_kill (daemon->pid);
      g_free (daemon->front);
      g_free (daemon->ready);
      g_free (daemon->settings);
      g_free (daemon->log);
    }
  si_process_kill (site->proxy_pid);
  si_process_kill (site->estate_pid);
  for (int i = 0; i < SK_TARGETS; i++)
    {
      g_free (site->targets[i].id);
      g_free (site->targets[i].address);
      g_free (site->targets[i].link);
    }
  g_ptr_array_unref (site->broken);
  g_free (site->proxy);
  g_free (site->control);
  g_free (site->store);
  g_free (site->folder);
  g_free (site->bin);
  g_free (site);
}

/* Faults.  */

typedef void (*Act) (SkSite *site, const SkFault *fault, gboolean begins);

static void
note_period (SkSite *site, SkPeriodKind kind, const char *subject,
             gboolean begins)
{
  int64_t now_us = g_get_monotonic_time ();

  if (begins)
    sk_record_begin (site->record, kind, subject, now_us);
  else
    sk_record_end (site->record, kind, subject, now_us);
}

static void
note_unstable (SkSite *site, const SkFault *fault, gboolean begins)
{
  g_autofree char *subject = g_strdup_printf (
      "%d-%u", (int)sk_kinds[fault->kind].subject, fault->index);

  note_period (site, SK_PERIOD_UNSTABLE, subject, begins);
}

static void
stop_daemon (SkSite *site, const SkFault *fault, gboolean begins)
{
  Daemon *daemon = &site->daemons[fault->index];

  note_unstable (site, fault, begins);
  if (!begins || daemon->stopping_us != 0)
    return;
  daemon->stopping_us = g_get_monotonic_time ();
  si_process_signal (daemon->pid, SIGTERM);
}

static void
kill_daemon (SkSite *site, const SkFault *fault, gboolean begins)
{
  Daemon *daemon = &site->daemons[fault->index];
  g_autoptr (GError) error = NULL;

  note_unstable (site, fault, begins);
  if (begins)
    si_process_kill (daemon->pid);
  else if (!spawn_daemon (site, daemon, &error))
    complain (site, "start: %s", error->message);
}

static void
pause_daemon (SkSite *site, const SkFault *fault, gboolean begins)
{
  note_unstable (site, fault, begins);
  si_process_signal (site->daemons[fault->index].pid,
                     begins ? SIGSTOP : SIGCONT);
}

static void
reload_daemon (SkSite *site, const SkFault *fault, gboolean begins)
{
  (void)begins;
  si_process_signal (site->daemons[fault->index].pid, SIGHUP);
}

static void
set_store (SkSite *site, const SkFault *fault, gboolean begins)
{
  static const char *const faults[SK_KIND_COUNT]
      = { [SK_STORE_SILENT] = "silent",
          [SK_STORE_BUSY] = "busy",
          [SK_STORE_RESET] = "reset" };
  g_autofree char *path = g_strconcat (
      "/store?fault=", begins ? faults[fault->kind] : "none", NULL);

  note_unstable (site, fault, begins);
  post (site, site->control, path, "");
}

static void
compact_store (SkSite *site, const SkFault *fault, gboolean begins)
{
  (void)fault;
  if (begins)
    post (site, site->control, "/compact", "");
}

static void
set_link (SkSite *site, const SkFault *fault, gboolean begins)
{
  static const struct
  {
    const char *begin;
    const char *end;
  } settings[SK_KIND_COUNT] = {
    [SK_STORE_LINK_HOLD] = { "partition=1", "partition=0" },
    [SK_STORE_LINK_CUT] = { "cut=1", "cut=0" },
    [SK_STORE_LINK_SLOW] = { "delay_us=300000", "delay_us=0" },
    [SK_TARGET_LINK_HOLD] = { "partition=1", "partition=0" },
    [SK_TARGET_LINK_CUT] = { "cut=1", "cut=0" },
    [SK_TARGET_LINK_ONE_WAY] = { "halfclose=down", "delay_us=0" },
    [SK_TARGET_LINK_SLOW] = { "delay_us=200000", "delay_us=0" },
  };
  const char *kind
      = sk_kinds[fault->kind].subject == SK_ON_TARGET ? "target" : "store";
  g_autofree char *path = g_strdup_printf (
      "/control/set?match=%s-%u&%s", kind, fault->index,
      begins ? settings[fault->kind].begin : settings[fault->kind].end);

  if (sk_kinds[fault->kind].subject == SK_ON_STORE_LINK)
    note_unstable (site, fault, begins);
  post (site, site->proxy, path, "");
}

static void
set_target (SkSite *site, const SkFault *fault, gboolean begins)
{
  static const char *const faults[SK_KIND_COUNT]
      = { [SK_TARGET_LOSE] = "lose", [SK_TARGET_SHED] = "shed",
          [SK_TARGET_FAIL] = "fail", [SK_TARGET_SPOIL] = "spoil",
          [SK_TARGET_HANG] = "hang", [SK_TARGET_OTHER] = "other" };
  g_autofree char *path = g_strdup_printf (
      "/target?id=%s&fault=%s", site->targets[fault->index].id,
      begins ? faults[fault->kind] : "none");

  post (site, site->control, path, "");
}

static void
drain_target (SkSite *site, const SkFault *fault, gboolean begins)
{
  Target *target = &site->targets[fault->index];

  target->is_drained = begins;
  if (!begins)
    note_period (site, SK_PERIOD_DRAIN, target->id, FALSE);
  put_target (site, fault->index);
  if (begins)
    note_period (site, SK_PERIOD_DRAIN, target->id, TRUE);
}

static void
remove_target (SkSite *site, const SkFault *fault, gboolean begins)
{
  if (begins)
    remove_key (site, "servers", site->targets[fault->index].id);
  else
    put_target (site, fault->index);
}

static void
cool_target (SkSite *site, const SkFault *fault, gboolean begins)
{
  Target *target = &site->targets[fault->index];

  target->cold_s
      = begins ? (int)((fault->until_ms - fault->from_ms) / 1000) + 1 : 0;
  if (!begins)
    note_period (site, SK_PERIOD_COLD, target->id, FALSE);
  put_target (site, fault->index);
  if (begins)
    note_period (site, SK_PERIOD_COLD, target->id, TRUE);
}

static void
change_key (SkSite *site, const SkFault *fault, gboolean begins)
{
  g_autofree char *old = g_strdup_printf ("%d", site->key_number);

  (void)fault;
  if (!begins)
    return;
  put_config (site, ++site->config_version, ++site->key_number);
  note_period (site, SK_PERIOD_KEY_WITHDRAWN, old, TRUE);
}

/* Writes a configuration of before with its key, as a store would not; no
   daemon may go back to it.  */
static void
put_old_config (SkSite *site, const SkFault *fault, gboolean begins)
{
  (void)fault;
  if (begins && site->key_number > 1)
    put_config (site, 1, 1);
  else if (!begins)
    put_config (site, ++site->config_version, site->key_number);
}

static void
evacuate (SkSite *site, const SkFault *fault, gboolean begins)
{
  const char *zone = zones[fault->index];
  g_autofree char *key = g_strconcat ("op/evacuate/", zone, NULL);

  if (begins)
    put (site, key, "{}");
  else
    remove_key (site, "op/evacuate", zone);
  note_period (site, SK_PERIOD_EVACUATED, zone, begins);
}

static const Act acts[SK_KIND_COUNT] = {
  [SK_DAEMON_STOP] = stop_daemon,   [SK_DAEMON_KILL] = kill_daemon,
  [SK_DAEMON_PAUSE] = pause_daemon, [SK_DAEMON_RELOAD] = reload_daemon,
  [SK_STORE_SILENT] = set_store,    [SK_STORE_BUSY] = set_store,
  [SK_STORE_RESET] = set_store,     [SK_STORE_COMPACT] = compact_store,
  [SK_STORE_LINK_HOLD] = set_link,  [SK_STORE_LINK_CUT] = set_link,
  [SK_STORE_LINK_SLOW] = set_link,  [SK_TARGET_LINK_HOLD] = set_link,
  [SK_TARGET_LINK_CUT] = set_link,  [SK_TARGET_LINK_ONE_WAY] = set_link,
  [SK_TARGET_LINK_SLOW] = set_link, [SK_TARGET_LOSE] = set_target,
  [SK_TARGET_SHED] = set_target,    [SK_TARGET_FAIL] = set_target,
  [SK_TARGET_SPOIL] = set_target,   [SK_TARGET_HANG] = set_target,
  [SK_TARGET_OTHER] = set_target,   [SK_TARGET_DRAIN] = drain_target,
  [SK_TARGET_GONE] = remove_target, [SK_TARGET_COLD] = cool_target,
  [SK_KEY_CHANGE] = change_key,     [SK_OLD_CONFIG] = put_old_config,
  [SK_EVACUATE] = evacuate,
};

void
sk_site_begin (SkSite *site, const SkFault *fault)
{
  acts[fault->kind](site, fault, TRUE);
}

void
sk_site_end (SkSite *site, const SkFault *fault)
{
  acts[fault->kind](site, fault, FALSE);
}

static void
restart (SkSite *site, int index, int status)
{
  g_autoptr (GError) error = NULL;

  if (status != 0)
    complain (site, "stop: vm%d ended with status %d", index, status);
  if (!spawn_daemon (site, &site->daemons[index], &error))
    complain (site, "start: %s", error->message);
}

void
sk_site_tick (SkSite *site)
{
  int64_t now_us = g_get_monotonic_time ();

  for (int i = 0; i < SK_DAEMONS; i++)
    {
      Daemon *daemon = &site->daemons[i];
      int status = 0;
      if (daemon->stopping_us == 0)
        continue;
      if (si_process_ended (daemon->pid, &status))
        restart (site, i, status);
      else if (now_us - daemon->stopping_us
               > (SK_GRACE_MS + STOP_SLACK_MS) * 1000)
        {
          complain (site, "stop: vm%d outlived its grace", i);
          si_process_kill (daemon->pid);
          restart (site, i, 0);
        }
    }
}

const char *
sk_site_front (const SkSite *site, uint32_t daemon)
{
  return site->daemons[daemon % SK_DAEMONS].front;
}

int
sk_site_key (const SkSite *site)
{
  return site->key_number;
}

char *
sk_site_runs (const SkSite *site)
{
  return si_get_text (site->control, "/runs", NULL);
}

char *
sk_site_arrivals (const SkSite *site)
{
  return si_get_text (site->control, "/arrivals", NULL);
}

/* Targets are dealt to the zones in turn.  */
const char *
sk_site_zone_of (const char *target)
{
  return zones[(target[1] - '0') % SK_ZONES];
}

const GPtrArray *
sk_site_broken (const SkSite *site)
{
  return site->broken;
}
