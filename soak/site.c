#include "soak/site.h"

#include <signal.h>
#include <string.h>

#include "standin/process.h"

#define READY_MAX_MS 10000
/* Added to the stop grace period, as exits are slow on a loaded machine.  */
#define STOP_SLACK_MS 1000
#define SERVICE_MS 50
/* Service time of slow targets, below SK_TIMEOUT_MS.  */
#define SLOW_MIN_MS 1500
#define SLOW_RANGE_MS 2000
/* A process sets its signal handlers within this time after its start; SIGHUP
   would end it before.  */
#define START_MS 500

static const char *const zones[SK_ZONE_COUNT] = { "a1", "a2", "b1" };
static const char *const regions[SK_ZONE_COUNT] = { "a", "a", "b" };

typedef struct
{
  char *front_address;
  char *ready_address;
  char *settings_path;
  char *log_path;
  pid_t pid;
  int64_t started_us;
  int64_t stopping_us; /* 0: not stopping */
} Daemon;

typedef struct
{
  char *id;
  char *address;
  char *link_address;
  gboolean is_draining;
  gboolean is_removed;
  int cold_remaining_s;
  int64_t rewrite_us; /* 0: nothing to write again */
} Target;

struct SkTestbed
{
  char *build_dir;
  char *log_dir;
  SkRecord *record;
  char *store_address;
  char *control_address;
  char *proxy_address;
  pid_t platform_pid;
  pid_t proxy_pid;
  Daemon daemons[SK_DAEMON_COUNT];
  Target targets[SK_ALL_TARGET_COUNT];
  int config_version;
  char *first_config;
  int written_version; /* newest that the store has acknowledged */
  int key_number;
  int written_key_number;
  int route_number;
  int route_numbers[SK_ADDED_ROUTE_COUNT]; /* 0: none */
  gboolean route_is_moved;
  gboolean zone_is_evacuated[SK_ZONE_COUNT];
  gboolean store_is_away;
  int64_t operator_rewrite_us; /* 0: nothing to write again */
  int report_number;
  GPtrArray *errors;
};

static void add_error (SkTestbed *testbed, const char *format, ...)
    G_GNUC_PRINTF (2, 3);

static void
add_error (SkTestbed *testbed, const char *format, ...)
{
  va_list arguments;

  va_start (arguments, format);
  g_ptr_array_add (testbed->errors, g_strdup_vprintf (format, arguments));
  va_end (arguments);
}

static void
post_control (SkTestbed *testbed, const char *address, const char *path,
              const char *body)
{
  g_autoptr (GError) error = NULL;

  if (!si_post (address, path, body, &error))
    add_error (testbed, "control: %s: %s", path, error->message);
}

static char *
find_free_address (void)
{
  return g_strdup_printf ("127.0.0.1:%u", si_find_free_port ());
}

/* Entries of operators and targets in the store.  */

static void
put_value (SkTestbed *testbed, const char *key, const char *value)
{
  g_autofree char *path = g_strconcat ("/put?key=", key, NULL);

  post_control (testbed, testbed->control_address, path, value);
}

/* The store loses what is written while it is away; it is written after its
   return.  */
static void
put_unless_away (SkTestbed *testbed, const char *key, const char *value)
{
  if (!testbed->store_is_away)
    put_value (testbed, key, value);
}

static char *
format_route (const char *name, const char *service, const char *kind,
              gboolean is_open)
{
  return g_strdup_printf (
      "\"%s\":{\"host\":\"127.0.0.1\",\"prefix\":\"/%s/\",\"kind\":\"%s\","
      "\"timeout_s\":%d,\"target_latency_s\":0.5,\"priority\":1,"
      "\"service\":\"%s\",\"max_attempts\":2,\"sticky\":false,"
      "\"anonymous\":%s}",
      name, name, kind, SK_TIMEOUT_MS / 1000, service,
      is_open ? "true" : "false");
}

/* Adds a route to the documents and to the list that record.h describes.  */
static void
add_route (GString *documents, GString *list, const char *name,
           const char *service, const char *kind, gboolean is_open)
{
  g_autofree char *document = format_route (name, service, kind, is_open);

  g_string_append_printf (documents, "%s%s", documents->len > 0 ? "," : "",
                          document);
  g_string_append_printf (list, "%s=%s ", name, service);
}

static char *
format_config (const char *version, const char *routes, int key_number)
{
  g_autofree char *service = g_strdup_printf (
      "{\"max_connections\":100,\"cold_start_s\":3,\"cold_per_s\":%d}",
      SK_COLD_PER_S);

  return g_strdup_printf (
      "{\"version\":\"%s\",\"routes\":%s,"
      "\"services\":{\"s\":%s,\"s2\":%s},\"tenants\":{"
      "\"c1\":{\"api_keys\":[\"key-%d\"],\"rate_per_s\":0,\"burst\":0},"
      "\"c2\":{\"api_keys\":[\"limited\"],\"rate_per_s\":%d,\"burst\":%d}}}",
      version, routes, service, service, key_number, SK_LIMITED_PER_S,
      SK_LIMITED_PER_S);
}

static void
record_config (SkTestbed *testbed, const char *routes, int64_t put_us)
{
  SkConfig config = { .put_us = put_us,
                      .acked_us = g_get_monotonic_time (),
                      .key_number = testbed->key_number };

  if (testbed->written_version == testbed->config_version)
    return;
  g_strlcpy (config.routes, routes, sizeof config.routes);
  sk_record_add_config (testbed->record, &config);
  testbed->written_version = testbed->config_version;
  for (int key = MAX (testbed->written_key_number, 1);
       key < testbed->key_number; key++)
    {
      g_autofree char *subject = g_strdup_printf ("%d", key);
      sk_record_begin_period (testbed->record, SK_PERIOD_KEY_REVOKED, subject,
                              config.acked_us);
    }
  testbed->written_key_number = testbed->key_number;
}

/* Writes the newest configuration, which is not acknowledged while the store
   is away.  */
static void
write_config (SkTestbed *testbed)
{
  g_autoptr (GString) routes = g_string_new (NULL);
  g_autoptr (GString) list = g_string_new (NULL);
  g_autofree char *version = g_strdup_printf ("r%d", testbed->config_version);
  g_autofree char *documents = NULL;
  g_autofree char *text = NULL;
  int64_t put_us = g_get_monotonic_time ();

  if (testbed->store_is_away)
    return;
  add_route (routes, list, "read", "s", "safe", FALSE);
  add_route (routes, list, "order", "s", "unsafe", FALSE);
  add_route (routes, list, "open", "s", "safe", TRUE);
  add_route (routes, list, "move", testbed->route_is_moved ? "s2" : "s",
             "safe", TRUE);
  for (int i = 0; i < SK_ADDED_ROUTE_COUNT; i++)
    if (testbed->route_numbers[i] != 0)
      {
        g_autofree char *name
            = g_strdup_printf ("x%d", testbed->route_numbers[i]);
        add_route (routes, list, name, "s", "safe", TRUE);
      }
  documents = g_strdup_printf ("{%s}", routes->str);
  text = format_config (version, documents, testbed->key_number);
  put_value (testbed, "op/config", text);
  record_config (testbed, list->str, put_us);
  if (testbed->first_config == NULL)
    testbed->first_config = g_steal_pointer (&text);
}

static void
change_config (SkTestbed *testbed)
{
  testbed->config_version++;
  write_config (testbed);
}

/* Writes the store entry in which target INDEX reports its state.  */
static void
put_target_report (SkTestbed *testbed, uint32_t index)
{
  const Target *target = &testbed->targets[index];
  g_autofree char *key = g_strconcat ("servers/", target->id, NULL);
  g_autofree char *text = g_strdup_printf (
      "{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"%s\",\"version\":"
      "\"v1\","
      "\"slots\":3,"
      "\"state\":\"%s\",\"cold_remaining_s\":%d,\"sequence\":%d,"
      "\"born\":1000}",
      sk_testbed_target_service (target->id), target->link_address,
      sk_testbed_target_zone (target->id),
      target->is_draining ? "draining" : "ready", target->cold_remaining_s,
      ++testbed->report_number);

  put_unless_away (testbed, key, text);
}

static void
set_service_time (SkTestbed *testbed, uint32_t index, int64_t service_ms)
{
  g_autofree char *path
      = g_strdup_printf ("/target?id=%s&service_ms=%" G_GINT64_FORMAT,
                         testbed->targets[index].id, service_ms);

  post_control (testbed, testbed->control_address, path, "");
}

static void
remove_key (SkTestbed *testbed, const char *prefix, const char *name)
{
  g_autofree char *path
      = g_strconcat ("/remove?key=", prefix, "/", name, NULL);

  if (!testbed->store_is_away)
    post_control (testbed, testbed->control_address, path, "");
}

static void
write_target (SkTestbed *testbed, uint32_t index)
{
  if (testbed->targets[index].is_removed)
    remove_key (testbed, "servers", testbed->targets[index].id);
  else
    put_target_report (testbed, index);
}

static void
write_evacuation (SkTestbed *testbed, uint32_t index)
{
  g_autofree char *key = g_strconcat ("op/evacuate/", zones[index], NULL);

  if (testbed->zone_is_evacuated[index])
    put_unless_away (testbed, key, "{}");
  else
    remove_key (testbed, "op/evacuate", zones[index]);
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

static gboolean
start_platform (SkTestbed *testbed, GError **error)
{
  g_autofree char *program = g_build_filename (testbed->build_dir, "standin",
                                               "standin-estate", NULL);
  g_autofree char *log_path
      = g_build_filename (testbed->log_dir, "estate.log", NULL);
  g_autoptr (GPtrArray) argv = g_ptr_array_new_with_free_func (g_free);

  g_ptr_array_add (argv, g_strdup (program));
  g_ptr_array_add (argv,
                   g_strdup_printf ("--store=%s", testbed->store_address));
  g_ptr_array_add (argv,
                   g_strdup_printf ("--control=%s", testbed->control_address));
  for (int i = 0; i < SK_ALL_TARGET_COUNT; i++)
    g_ptr_array_add (argv, g_strdup_printf ("%s=%s", testbed->targets[i].id,
                                            testbed->targets[i].address));
  g_ptr_array_add (argv, NULL);
  testbed->platform_pid
      = si_process_spawn ((const char *const *)argv->pdata, log_path, error);
  return testbed->platform_pid != 0
         && wait_until_responding (testbed->control_address, "/runs", error);
}

/* Adds links, named "store-N" for daemon N and "target-N" for target N.  */
static gboolean
start_proxy (SkTestbed *testbed, char *const *store_link_addresses,
             GError **error)
{
  g_autofree char *program
      = g_build_filename (testbed->build_dir, "standin", "fault-proxy", NULL);
  g_autofree char *log_path
      = g_build_filename (testbed->log_dir, "proxy.log", NULL);
  const char *argv[] = { program, "--control", testbed->proxy_address, NULL };
  g_autoptr (GString) links = g_string_new (NULL);

  testbed->proxy_pid = si_process_spawn (argv, log_path, error);
  if (testbed->proxy_pid == 0
      || !wait_until_responding (testbed->proxy_address, "/control/links",
                                 error))
    return FALSE;
  for (int i = 0; i < SK_DAEMON_COUNT; i++)
    g_string_append_printf (links, "store-%d %s %s\n", i,
                            store_link_addresses[i], testbed->store_address);
  for (int i = 0; i < SK_ALL_TARGET_COUNT; i++)
    g_string_append_printf (links, "target-%d %s %s\n", i,
                            testbed->targets[i].link_address,
                            testbed->targets[i].address);
  return si_post (testbed->proxy_address, "/control/add", links->str, error);
}

static void
write_settings (SkTestbed *testbed, int index, const char *store_address)
{
  Daemon *daemon = &testbed->daemons[index];
  g_autofree char *directory_address = find_free_address ();
  g_autofree char *text = g_strdup_printf (
      "{\"vm\":\"vm%d\",\"zone\":\"%s\",\"region\":\"%s\","
      "\"zones\":{\"a1\":\"a\",\"a2\":\"a\",\"b1\":\"b\"},"
      "\"front_listen\":\"%s\",\"ready_listen\":\"%s\","
      "\"directory_listen\":\"%s\",\"address\":\"127.0.0.1\","
      "\"gossip_port\":%u,\"store_address\":\"%s\",\"files_max\":1000,"
      "\"bounds\":{\"grace_s\":%d,\"revoke_s\":%d}}\n",
      index, zones[index], regions[index], daemon->front_address,
      daemon->ready_address, directory_address, si_find_free_port (),
      store_address, SK_STOP_GRACE_MS / 1000, SK_KEY_REVOCATION_MS / 1000);

  if (!g_file_set_contents (daemon->settings_path, text, -1, NULL))
    add_error (testbed, "cannot write %s", daemon->settings_path);
}

static void
record_daemon_start (SkTestbed *testbed, const Daemon *daemon)
{
  g_autofree char *subject
      = g_strdup_printf ("vm%d", (int)(daemon - testbed->daemons));

  sk_record_begin_period (testbed->record, SK_PERIOD_PROCESS, subject,
                          daemon->started_us);
}

static gboolean
spawn_daemon (SkTestbed *testbed, Daemon *daemon, GError **error)
{
  g_autofree char *program
      = g_build_filename (testbed->build_dir, "daemon", "comfreywalkd", NULL);
  const char *argv[]
      = { program, "--platform", "--settings", daemon->settings_path, NULL };

  daemon->stopping_us = 0;
  daemon->started_us = g_get_monotonic_time ();
  daemon->pid = si_process_spawn (argv, daemon->log_path, error);
  record_daemon_start (testbed, daemon);
  return daemon->pid != 0;
}

static gboolean
start_daemons (SkTestbed *testbed, char *const *store_link_addresses,
               GError **error)
{
  for (int i = 0; i < SK_DAEMON_COUNT; i++)
    {
      Daemon *daemon = &testbed->daemons[i];
      daemon->front_address = find_free_address ();
      daemon->ready_address = find_free_address ();
      daemon->settings_path
          = g_strdup_printf ("%s/vm%d.json", testbed->log_dir, i);
      daemon->log_path = g_strdup_printf ("%s/vm%d.log", testbed->log_dir, i);
      write_settings (testbed, i, store_link_addresses[i]);
      if (!spawn_daemon (testbed, daemon, error))
        return FALSE;
    }
  for (int i = 0; i < SK_DAEMON_COUNT; i++)
    if (!wait_until_responding (testbed->daemons[i].ready_address, "/ready",
                                error))
      return FALSE;
  return TRUE;
}

static gboolean
start_processes (SkTestbed *testbed, GError **error)
{
  char *store_link_addresses[SK_DAEMON_COUNT];
  gboolean started;

  for (int i = 0; i < SK_DAEMON_COUNT; i++)
    store_link_addresses[i] = find_free_address ();
  started = start_platform (testbed, error)
            && start_proxy (testbed, store_link_addresses, error);
  if (started)
    {
      change_config (testbed);
      for (uint32_t i = 0; i < SK_ALL_TARGET_COUNT; i++)
        {
          put_target_report (testbed, i);
          set_service_time (testbed, i, SERVICE_MS);
        }
      started = start_daemons (testbed, store_link_addresses, error);
    }
  for (int i = 0; i < SK_DAEMON_COUNT; i++)
    g_free (store_link_addresses[i]);
  return started;
}

SkTestbed *
sk_testbed_new (const char *build_dir, const char *log_dir, SkRecord *record,
                GError **error)
{
  SkTestbed *testbed = g_new0 (SkTestbed, 1);

  testbed->build_dir = g_strdup (build_dir);
  testbed->log_dir = g_strdup (log_dir);
  testbed->record = record;
  testbed->store_address = find_free_address ();
  testbed->control_address = find_free_address ();
  testbed->proxy_address = find_free_address ();
  testbed->key_number = 1;
  testbed->errors = g_ptr_array_new_with_free_func (g_free);
  for (int i = 0; i < SK_ALL_TARGET_COUNT; i++)
    {
      testbed->targets[i].id = g_strdup_printf ("t%d", i);
      testbed->targets[i].address = find_free_address ();
      testbed->targets[i].link_address = find_free_address ();
    }
  if (start_processes (testbed, error))
    return testbed;
  sk_testbed_free (testbed);
  return NULL;
}

void
sk_testbed_free (SkTestbed *testbed)
{
  if (testbed == NULL)
    return;
  for (int i = 0; i < SK_DAEMON_COUNT; i++)
    {
      Daemon *daemon = &testbed->daemons[i];
      si_process_kill (daemon->pid);
      g_free (daemon->front_address);
      g_free (daemon->ready_address);
      g_free (daemon->settings_path);
      g_free (daemon->log_path);
    }
  si_process_kill (testbed->proxy_pid);
  si_process_kill (testbed->platform_pid);
  for (int i = 0; i < SK_ALL_TARGET_COUNT; i++)
    {
      g_free (testbed->targets[i].id);
      g_free (testbed->targets[i].address);
      g_free (testbed->targets[i].link_address);
    }
  g_ptr_array_unref (testbed->errors);
  g_free (testbed->first_config);
  g_free (testbed->proxy_address);
  g_free (testbed->control_address);
  g_free (testbed->store_address);
  g_free (testbed->log_dir);
  g_free (testbed->build_dir);
  g_free (testbed);
}

/* Faults.  */

typedef void (*FaultAction) (SkTestbed *testbed, const SkFault *fault,
                             gboolean begins);

static void
record_period (SkTestbed *testbed, SkPeriodKind kind, const char *subject,
               gboolean begins)
{
  int64_t now_us = g_get_monotonic_time ();

  if (begins)
    sk_record_begin_period (testbed->record, kind, subject, now_us);
  else
    sk_record_end_period (testbed->record, kind, subject, now_us);
}

static void
record_daemon_period (SkTestbed *testbed, SkPeriodKind kind, uint32_t index,
                      gboolean begins)
{
  g_autofree char *subject = g_strdup_printf ("vm%u", index);

  record_period (testbed, kind, subject, begins);
}

static void
record_unstable_period (SkTestbed *testbed, const SkFault *fault,
                        gboolean begins)
{
  g_autofree char *subject = g_strdup_printf (
      "%d-%u", (int)sk_fault_kinds[fault->kind].subject_kind,
      fault->subject_index);

  record_period (testbed, SK_PERIOD_UNSTABLE, subject, begins);
}

static void
stop_daemon (SkTestbed *testbed, const SkFault *fault, gboolean begins)
{
  Daemon *daemon = &testbed->daemons[fault->subject_index];

  record_unstable_period (testbed, fault, begins);
  if (!begins || daemon->stopping_us != 0)
    return;
  record_daemon_period (testbed, SK_PERIOD_STOP, fault->subject_index, TRUE);
  daemon->stopping_us = g_get_monotonic_time ();
  si_process_signal (daemon->pid, SIGTERM);
}

static void
kill_daemon (SkTestbed *testbed, const SkFault *fault, gboolean begins)
{
  Daemon *daemon = &testbed->daemons[fault->subject_index];
  g_autoptr (GError) error = NULL;

  record_unstable_period (testbed, fault, begins);
  record_daemon_period (testbed, SK_PERIOD_DAEMON_FAULT, fault->subject_index,
                        begins);
  if (begins)
    si_process_kill (daemon->pid);
  else if (!spawn_daemon (testbed, daemon, &error))
    add_error (testbed, "start: %s", error->message);
}

static void
pause_daemon (SkTestbed *testbed, const SkFault *fault, gboolean begins)
{
  record_unstable_period (testbed, fault, begins);
  record_daemon_period (testbed, SK_PERIOD_DAEMON_FAULT, fault->subject_index,
                        begins);
  si_process_signal (testbed->daemons[fault->subject_index].pid,
                     begins ? SIGSTOP : SIGCONT);
}

/* Sends SIGHUP both when the fault begins and when it ends.  */
static void
reload_daemon (SkTestbed *testbed, const SkFault *fault, gboolean begins)
{
  const Daemon *daemon = &testbed->daemons[fault->subject_index];

  (void)begins;
  if (g_get_monotonic_time () - daemon->started_us > START_MS * 1000)
    si_process_signal (daemon->pid, SIGHUP);
}

static void
set_store_fault (SkTestbed *testbed, const SkFault *fault, gboolean begins)
{
  static const char *const faults[SK_FAULT_KIND_COUNT]
      = { [SK_STORE_SILENT] = "silent",
          [SK_STORE_BUSY] = "busy",
          [SK_STORE_RESET] = "reset" };
  g_autofree char *path = g_strconcat (
      "/store?fault=", begins ? faults[fault->kind] : "none", NULL);

  record_unstable_period (testbed, fault, begins);
  record_period (testbed, SK_PERIOD_STORE_FAULT, "store", begins);
  post_control (testbed, testbed->control_address, path, "");
}

static void
copy_store (SkTestbed *testbed, const SkFault *fault, gboolean begins)
{
  (void)fault;
  if (begins)
    post_control (testbed, testbed->control_address, "/save", "");
}

/* Draws the times at which operator and targets write again.  */
static void
schedule_rewrites (SkTestbed *testbed, const SkFault *fault)
{
  GRand *random = g_rand_new_with_seed ((guint32)fault->from_ms);
  int64_t now_us = g_get_monotonic_time ();

  testbed->operator_rewrite_us
      = now_us + g_rand_int_range (random, 1, SK_REWRITE_MAX_MS) * 1000;
  for (int i = 0; i < SK_ALL_TARGET_COUNT; i++)
    testbed->targets[i].rewrite_us
        = now_us + g_rand_int_range (random, 1, SK_REWRITE_MAX_MS) * 1000;
  g_rand_free (random);
}

/* The store is unstable until everything has been written again.  */
static void
restore_store (SkTestbed *testbed, const SkFault *fault, gboolean begins)
{
  const char *away
      = fault->from_ms % 2 == 0 ? "/store?fault=silent" : "/store?fault=reset";

  testbed->store_is_away = begins;
  record_period (testbed, SK_PERIOD_STORE_FAULT, "restore", begins);
  if (begins)
    {
      record_period (testbed, SK_PERIOD_UNSTABLE, "restore", TRUE);
      post_control (testbed, testbed->control_address, away, "");
      return;
    }
  post_control (testbed, testbed->control_address, "/restore", "");
  post_control (testbed, testbed->control_address, "/store?fault=none", "");
  schedule_rewrites (testbed, fault);
}

void
sk_testbed_rewrite_lost (SkTestbed *testbed)
{
  int64_t now_us = g_get_monotonic_time ();
  gboolean all_written = TRUE;

  if (testbed->store_is_away)
    return;
  for (uint32_t i = 0; i < SK_ALL_TARGET_COUNT; i++)
    {
      Target *target = &testbed->targets[i];
      if (target->rewrite_us != 0 && now_us >= target->rewrite_us)
        {
          target->rewrite_us = 0;
          write_target (testbed, i);
        }
      all_written = all_written && target->rewrite_us == 0;
    }
  if (testbed->operator_rewrite_us != 0
      && now_us >= testbed->operator_rewrite_us)
    {
      testbed->operator_rewrite_us = 0;
      /* The last version may be that of an invalid configuration.  */
      if (testbed->written_version != testbed->config_version)
        testbed->config_version++;
      write_config (testbed);
      for (uint32_t i = 0; i < SK_ZONE_COUNT; i++)
        write_evacuation (testbed, i);
    }
  if (all_written && testbed->operator_rewrite_us == 0)
    record_period (testbed, SK_PERIOD_UNSTABLE, "restore", FALSE);
}

static void
compact_store (SkTestbed *testbed, const SkFault *fault, gboolean begins)
{
  (void)fault;
  if (begins)
    post_control (testbed, testbed->control_address, "/compact", "");
}

static void
set_link_fault (SkTestbed *testbed, const SkFault *fault, gboolean begins)
{
  static const struct
  {
    const char *begin;
    const char *end;
  } link_settings[SK_FAULT_KIND_COUNT] = {
    [SK_STORE_LINK_PARTITION] = { "partition=1", "partition=0" },
    [SK_STORE_LINK_CUT] = { "cut=1", "cut=0" },
    [SK_STORE_LINK_SLOW] = { "delay_us=300000", "delay_us=0" },
    [SK_TARGET_LINK_PARTITION] = { "partition=1", "partition=0" },
    [SK_TARGET_LINK_CUT] = { "cut=1", "cut=0" },
    /* Half-closes the open connections, which cannot be undone: the end sets
       the delay that the link has already.  */
    [SK_TARGET_LINK_ONE_WAY] = { "halfclose=down", "delay_us=0" },
    [SK_TARGET_LINK_SLOW] = { "delay_us=200000", "delay_us=0" },
  };
  const char *link_kind
      = sk_fault_kinds[fault->kind].subject_kind == SK_SUBJECT_TARGET
            ? "target"
            : "store";
  g_autofree char *path = g_strdup_printf (
      "/control/set?match=%s-%u&%s", link_kind, fault->subject_index,
      begins ? link_settings[fault->kind].begin
             : link_settings[fault->kind].end);

  if (sk_fault_kinds[fault->kind].subject_kind == SK_SUBJECT_STORE_LINK)
    {
      record_unstable_period (testbed, fault, begins);
      record_daemon_period (testbed, SK_PERIOD_STORE_LINK_FAULT,
                            fault->subject_index, begins);
    }
  else
    record_period (testbed, SK_PERIOD_TARGET_FAULT,
                   testbed->targets[fault->subject_index].id, begins);
  post_control (testbed, testbed->proxy_address, path, "");
}

static void
set_target_fault (SkTestbed *testbed, const SkFault *fault, gboolean begins)
{
  static const char *const faults[SK_FAULT_KIND_COUNT] = {
    [SK_TARGET_LOSE_RESPONSE] = "lose", [SK_TARGET_SHED] = "shed",
    [SK_TARGET_FAIL] = "fail",          [SK_TARGET_OMIT_SIGNATURE] = "spoil",
    [SK_TARGET_HANG] = "hang",          [SK_TARGET_MISDIRECT] = "other"
  };
  g_autofree char *path = g_strdup_printf (
      "/target?id=%s&fault=%s", testbed->targets[fault->subject_index].id,
      begins ? faults[fault->kind] : "none");

  record_period (testbed, SK_PERIOD_TARGET_FAULT,
                 testbed->targets[fault->subject_index].id, begins);
  post_control (testbed, testbed->control_address, path, "");
}

static void
slow_target (SkTestbed *testbed, const SkFault *fault, gboolean begins)
{
  int64_t duration_ms = fault->until_ms - fault->from_ms;

  set_service_time (testbed, fault->subject_index,
                    begins ? SLOW_MIN_MS + duration_ms % SLOW_RANGE_MS
                           : SERVICE_MS);
}

static void
drain_target (SkTestbed *testbed, const SkFault *fault, gboolean begins)
{
  Target *target = &testbed->targets[fault->subject_index];

  target->is_draining = begins;
  /* The period lies within the time in which the store has the report.  */
  if (!begins)
    record_period (testbed, SK_PERIOD_DRAIN, target->id, FALSE);
  put_target_report (testbed, fault->subject_index);
  if (begins)
    record_period (testbed, SK_PERIOD_DRAIN, target->id, TRUE);
}

static void
remove_target (SkTestbed *testbed, const SkFault *fault, gboolean begins)
{
  testbed->targets[fault->subject_index].is_removed = begins;
  write_target (testbed, fault->subject_index);
}

static void
make_target_cold (SkTestbed *testbed, const SkFault *fault, gboolean begins)
{
  Target *target = &testbed->targets[fault->subject_index];

  target->cold_remaining_s
      = begins ? (int)((fault->until_ms - fault->from_ms) / 1000) + 1 : 0;
  if (!begins)
    record_period (testbed, SK_PERIOD_COLD, target->id, FALSE);
  put_target_report (testbed, fault->subject_index);
  /* A report that the store has not accepted binds nobody.  */
  if (begins && !testbed->store_is_away)
    record_period (testbed, SK_PERIOD_COLD, target->id, TRUE);
}

static void
rotate_key (SkTestbed *testbed, const SkFault *fault, gboolean begins)
{
  (void)fault;
  if (!begins)
    return;
  testbed->key_number++;
  change_config (testbed);
}

/* Later ones have numbers of their own, so that a request shows which versions
   its daemon may have.  */
static void
add_numbered_route (SkTestbed *testbed, const SkFault *fault, gboolean begins)
{
  testbed->route_numbers[fault->subject_index]
      = begins ? ++testbed->route_number : 0;
  change_config (testbed);
}

static void
move_route (SkTestbed *testbed, const SkFault *fault, gboolean begins)
{
  (void)fault;
  testbed->route_is_moved = begins;
  change_config (testbed);
}

/* Returns a document that no daemon may apply: it has the route /bad/, lacks
   the others, and breaks the protocol in one place.  */
static char *
format_invalid_config (const SkTestbed *testbed, int64_t variant)
{
  static const struct
  {
    const char *valid;
    const char *invalid;
  } variants[] = {
    { "\"tenants\"", "" },
    { "\"routes\":{", "\"routes\":[],\"others\":{" },
    { "\"version\":\"r", "\"version\":\"x" },
    { "\"service\":\"s\"", "\"service\":\"none\"" },
    { "\"kind\":\"safe\"", "\"kind\":7" },
    { "\"timeout_s\":", "\"timeout_s\":true,\"late_s\":" },
    { "\"prefix\":\"/bad/\"", "\"prefix\":\"/bad\"" },
  };
  guint index = (guint)(variant % (int64_t)G_N_ELEMENTS (variants));
  g_autofree char *version = g_strdup_printf ("r%d", testbed->config_version);
  g_autofree char *route = format_route ("bad", "s", "safe", TRUE);
  g_autofree char *routes = g_strdup_printf ("{%s}", route);
  g_autofree char *valid
      = format_config (version, routes, testbed->key_number);
  GString *text = g_string_new (valid);

  if (g_string_replace (text, variants[index].valid, variants[index].invalid,
                        1)
      != 1)
    g_assert_not_reached ();
  return g_string_free (text, FALSE);
}

static void
put_invalid_config (SkTestbed *testbed, const SkFault *fault, gboolean begins)
{
  g_autofree char *text = NULL;

  testbed->config_version++;
  if (!begins)
    {
      write_config (testbed);
      return;
    }
  text = format_invalid_config (testbed, fault->from_ms);
  put_unless_away (testbed, "op/config", text);
}

/* Puts back the first configuration with its revoked key, which a correct
   store never does.  No daemon may apply it.  */
static void
put_stale_config (SkTestbed *testbed, const SkFault *fault, gboolean begins)
{
  (void)fault;
  record_period (testbed, SK_PERIOD_STORE_FAULT, "stale", begins);
  if (!begins)
    change_config (testbed);
  else if (testbed->key_number > 1)
    put_unless_away (testbed, "op/config", testbed->first_config);
}

static void
evacuate_zone (SkTestbed *testbed, const SkFault *fault, gboolean begins)
{
  testbed->zone_is_evacuated[fault->subject_index] = begins;
  write_evacuation (testbed, fault->subject_index);
  record_period (testbed, SK_PERIOD_EVACUATED, zones[fault->subject_index],
                 begins);
}

static const FaultAction fault_actions[SK_FAULT_KIND_COUNT] = {
  [SK_DAEMON_STOP] = stop_daemon,
  [SK_DAEMON_KILL] = kill_daemon,
  [SK_DAEMON_PAUSE] = pause_daemon,
  [SK_DAEMON_RELOAD] = reload_daemon,
  [SK_STORE_SILENT] = set_store_fault,
  [SK_STORE_BUSY] = set_store_fault,
  [SK_STORE_RESET] = set_store_fault,
  [SK_STORE_COMPACT] = compact_store,
  [SK_STORE_LINK_PARTITION] = set_link_fault,
  [SK_STORE_LINK_CUT] = set_link_fault,
  [SK_STORE_LINK_SLOW] = set_link_fault,
  [SK_TARGET_LINK_PARTITION] = set_link_fault,
  [SK_TARGET_LINK_CUT] = set_link_fault,
  [SK_TARGET_LINK_ONE_WAY] = set_link_fault,
  [SK_TARGET_LINK_SLOW] = set_link_fault,
  [SK_TARGET_LOSE_RESPONSE] = set_target_fault,
  [SK_TARGET_SHED] = set_target_fault,
  [SK_TARGET_FAIL] = set_target_fault,
  [SK_TARGET_OMIT_SIGNATURE] = set_target_fault,
  [SK_TARGET_HANG] = set_target_fault,
  [SK_TARGET_MISDIRECT] = set_target_fault,
  [SK_TARGET_DRAIN] = drain_target,
  [SK_TARGET_REMOVE] = remove_target,
  [SK_TARGET_COLD] = make_target_cold,
  [SK_TARGET_SLOW] = slow_target,
  [SK_KEY_ROTATE] = rotate_key,
  [SK_CONFIG_STALE] = put_stale_config,
  [SK_ZONE_EVACUATE] = evacuate_zone,
  [SK_STORE_COPY] = copy_store,
  [SK_STORE_RESTORE] = restore_store,
  [SK_ROUTE_ADD] = add_numbered_route,
  [SK_ROUTE_MOVE] = move_route,
  [SK_CONFIG_INVALID] = put_invalid_config,
};

void
sk_testbed_begin_fault (SkTestbed *testbed, const SkFault *fault)
{
  fault_actions[fault->kind](testbed, fault, TRUE);
}

void
sk_testbed_end_fault (SkTestbed *testbed, const SkFault *fault)
{
  fault_actions[fault->kind](testbed, fault, FALSE);
}

static void
restart_daemon (SkTestbed *testbed, uint32_t index, int status)
{
  g_autoptr (GError) error = NULL;

  record_daemon_period (testbed, SK_PERIOD_STOP, index, FALSE);
  if (status != 0)
    add_error (testbed, "stop: vm%u exited with status %d", index, status);
  if (!spawn_daemon (testbed, &testbed->daemons[index], &error))
    add_error (testbed, "start: %s", error->message);
}

void
sk_testbed_restart_stopped (SkTestbed *testbed)
{
  int64_t now_us = g_get_monotonic_time ();

  for (uint32_t i = 0; i < SK_DAEMON_COUNT; i++)
    {
      Daemon *daemon = &testbed->daemons[i];
      int status = 0;
      if (daemon->stopping_us == 0)
        continue;
      if (si_process_ended (daemon->pid, &status))
        restart_daemon (testbed, i, status);
      else if (now_us - daemon->stopping_us
               > (SK_STOP_GRACE_MS + STOP_SLACK_MS) * 1000)
        {
          add_error (testbed, "stop: vm%u exceeded its grace period", i);
          record_daemon_period (testbed, SK_PERIOD_DAEMON_FAULT, i, TRUE);
          si_process_kill (daemon->pid);
          restart_daemon (testbed, i, 0);
          record_daemon_period (testbed, SK_PERIOD_DAEMON_FAULT, i, FALSE);
        }
    }
}

const char *
sk_testbed_front_address (const SkTestbed *testbed, uint32_t daemon)
{
  return testbed->daemons[daemon % SK_DAEMON_COUNT].front_address;
}

int
sk_testbed_key_number (const SkTestbed *testbed)
{
  return testbed->key_number;
}

int
sk_testbed_route_number (const SkTestbed *testbed)
{
  return testbed->route_number;
}

char *
sk_testbed_get_runs (const SkTestbed *testbed)
{
  return si_get_text (testbed->control_address, "/runs", NULL);
}

char *
sk_testbed_get_arrivals (const SkTestbed *testbed)
{
  return si_get_text (testbed->control_address, "/arrivals", NULL);
}

char *
sk_testbed_get_answers (const SkTestbed *testbed)
{
  return si_get_text (testbed->control_address, "/answers", NULL);
}

/* Target "tN" is in zone N modulo the number of zones.  */
const char *
sk_testbed_target_zone (const char *target)
{
  return zones[(target[1] - '0') % SK_ZONE_COUNT];
}

const char *
sk_testbed_target_service (const char *target)
{
  return target[1] - '0' < SK_TARGET_COUNT ? "s" : "s2";
}

const GPtrArray *
sk_testbed_errors (const SkTestbed *testbed)
{
  return testbed->errors;
}
