#include "bench/bench.h"

#include <json-c/json.h>
#include <signal.h>
#include <string.h>

#include "standin/verify.h"

#define READY_TIMEOUT_MS 60000
/* A daemon that has just started receives its shares gradually, with its lease
   and by assignments; until then a measurement shows the startup and not the
   steady state.  */
#define SETTLE_MS 4000
#define SERVICE_TIME_MS 20
/* Duration of the load where a scenario repeats it with several seeds.  */
#define REPEAT_MS 1500
#define STORE_OUTAGE_MS 60000
#define DAEMON_LOSS_MS 10000
#define ZONE_PARTITION_MS 6000
#define COLD_REGION_MS 6000
#define SHIFT_LENGTH_MS (3600 * 1000)
#define SHIFT_CAP_PER_S 100
/* Customer that exceeds its rate (BnLoadOptions.offender_factor).  */
#define OFFENDER "c3"

typedef struct
{
  const BnOptions *options;
  SiHarness *harness;
  BnTable *table;
} Trial;

SiHarness *
bn_start_deployment (const BnOptions *options,
                     const SiHarnessOptions *harness_options,
                     const SiFixtureOptions *fixture, GError **error)
{
  SiHarnessOptions merged = *harness_options;
  SiHarness *harness;
  g_autoptr (CfConfig) config = NULL;

  merged.build_dir = options->build_dir;
  merged.deployment = options->deployment;
  merged.policy = options->policy;
  merged.admission = options->admission;
  harness = si_harness_new (&merged, error);
  if (harness == NULL)
    return NULL;
  config = si_fixture_config (harness, fixture);
  if (si_start_platform (harness, error) && si_start_targets (harness, error)
      && si_start_daemons (harness, error)
      && si_apply_config (harness, config, error)
      && si_wait_ready (harness, READY_TIMEOUT_MS, error))
    {
      si_sleep_ms (SETTLE_MS);
      return harness;
    }
  si_harness_free (harness);
  return NULL;
}

/* Adds the lowest headroom (fraction of free slots) of any region, as the
   daemon of the second VM reports it.  */
static void
add_lowest_headroom (Trial *trial)
{
  const SiVm *vm = g_ptr_array_index (si_vms (trial->harness), 1);
  g_autofree char *text = si_get_text (vm->admin_address, "/v1/status", NULL);
  struct json_object *root = text == NULL ? NULL : json_tokener_parse (text);
  struct json_object *rows = NULL;
  double lowest = 1000;

  if (root != NULL && json_object_object_get_ex (root, "headroom", &rows))
    {
      for (size_t i = 0; i < json_object_array_length (rows); i++)
        {
          struct json_object *value = NULL;
          json_object_object_get_ex (json_object_array_get_idx (rows, i),
                                     "headroom_permille", &value);
          lowest = MIN (lowest, json_object_get_double (value));
        }
      bn_table_add (trial->table, "headroom_lowest_region", "permille",
                    lowest);
    }
  json_object_put (root);
}

/* Runs a load, adds the headroom after a third of its duration, then calls
   INJECT_FAULT unless it is NULL, and adds the results of the load.  */
static gboolean
run_load (Trial *trial, const BnLoadOptions *options, const char *excluded,
          gboolean (*inject_fault) (Trial *trial, GError **error),
          GError **error)
{
  BnLoadResult load;
  pid_t pid = bn_load_start (trial->harness, options, error);

  if (pid == 0)
    return FALSE;
  si_sleep_ms (options->duration_ms / 3);
  add_lowest_headroom (trial);
  if (inject_fault != NULL && !inject_fault (trial, error))
    return FALSE;
  if (!bn_load_wait (trial->harness, pid, options->seed, &load, error))
    return FALSE;
  bn_table_add_load (trial->table, &load, excluded);
  bn_load_clear (&load);
  return TRUE;
}

static gboolean
run_load_repeats (Trial *trial, BnLoadOptions options, const char *excluded,
                  GError **error)
{
  options.duration_ms = REPEAT_MS;
  for (options.seed = 1; options.seed <= 3; options.seed++)
    if (!run_load (trial, &options, excluded, NULL, error))
      return FALSE;
  return TRUE;
}

static gboolean
run_steady (Trial *trial, GError **error)
{
  return run_load_repeats (trial, (BnLoadOptions){ 0 }, NULL, error);
}

static gboolean
run_offender (Trial *trial, GError **error)
{
  return run_load_repeats (trial, (BnLoadOptions){ .offender_factor = 8 },
                           OFFENDER, error);
}

/* All requests of c1 arrive at one VM, whose daemon needs c1's whole rate.  */
static gboolean
run_pinned (Trial *trial, GError **error)
{
  return run_load_repeats (trial, (BnLoadOptions){ .pin_c1 = TRUE }, NULL,
                           error);
}

static gboolean
set_target (Trial *trial, const char *setting, GError **error)
{
  const SiTarget *target = g_ptr_array_index (si_targets (trial->harness), 0);
  g_autofree char *path
      = g_strdup_printf ("/control/set?target=%s&%s", target->name, setting);
  return si_post_control (si_target_control (trial->harness), path, error);
}

static gboolean
run_with_target_fault (Trial *trial, const char *fault_setting,
                       const char *normal_setting, GError **error)
{
  return set_target (trial, fault_setting, error)
         && run_load_repeats (trial, (BnLoadOptions){ 0 }, NULL, error)
         && set_target (trial, normal_setting, error);
}

static gboolean
run_slow_target (Trial *trial, GError **error)
{
  return run_with_target_fault (trial, "slow_percent=1000", "slow_percent=100",
                                error);
}

/* One target sheds all requests while it reports that it is idle.  */
static gboolean
run_misreporting_target (Trial *trial, GError **error)
{
  return run_with_target_fault (trial, "shed=1", "shed=0", error);
}

static gboolean
set_region_cold (Trial *trial, const char *region, GError **error)
{
  const GPtrArray *targets = si_targets (trial->harness);

  for (guint i = 0; i < targets->len; i++)
    {
      const SiTarget *target = g_ptr_array_index (targets, i);
      g_autofree char *path
          = g_strdup_printf ("/control/set?target=%s&cold=1", target->name);
      if (strcmp (target->region, region) == 0
          && !si_post_control (si_target_control (trial->harness), path,
                               error))
        return FALSE;
    }
  return TRUE;
}

/* A shift moves half of one region's traffic to a region whose targets are
   cold.  It takes effect 2 s (PL_CLOCK_ERROR_MS) after its start time, as the
   clocks of two VMs may differ by that much.  */
static gboolean
run_cold_region (Trial *trial, GError **error)
{
  const SiFixtureOptions fixture = { 0 };
  g_autoptr (CfConfig) shifted = si_fixture_config (trial->harness, &fixture);
  g_autoptr (CfConfig) unshifted
      = si_fixture_config (trial->harness, &fixture);
  const CfRegion *from = g_ptr_array_index (shifted->regions, 0);
  const CfRegion *to = g_ptr_array_index (shifted->regions, 1);
  CfShift *shift = cf_add_shift (shifted, "move-half",
                                 si_fixture_service (trial->harness, 0),
                                 from->name, to->name);
  BnLoadOptions options = { .duration_ms = COLD_REGION_MS, .seed = 1 };

  shift->start_ms = g_get_real_time () / 1000;
  shift->end_ms = shift->start_ms + SHIFT_LENGTH_MS;
  shift->ramp_ms = 1000;
  shift->share_permille = 500;
  shift->cap_per_s = SHIFT_CAP_PER_S;
  return set_region_cold (trial, to->name, error)
         && si_apply_config (trial->harness, shifted, error)
         && run_load (trial, &options, NULL, NULL, error)
         && si_apply_config (trial->harness, unshifted, error)
         && si_post_control (si_target_control (trial->harness),
                             "/control/set?cold=0", error);
}

static gboolean
kill_last_daemon (Trial *trial, GError **error)
{
  const GPtrArray *vms = si_vms (trial->harness);
  const SiVm *vm = g_ptr_array_index (vms, vms->len - 1);

  (void)error;
  si_kill_vm (trial->harness, vm->name);
  return TRUE;
}

/* The load starts as soon as the daemon is killed, so that the results cover
   the first 10 s after a loss and no more; these 10 s must be reported.  */
static gboolean
run_daemon_loss (Trial *trial, GError **error)
{
  const GPtrArray *vms = si_vms (trial->harness);
  const SiVm *vm = g_ptr_array_index (vms, vms->len - 1);
  BnLoadOptions options = { .duration_ms = DAEMON_LOSS_MS, .seed = 1 };

  return kill_last_daemon (trial, error)
         && run_load (trial, &options, NULL, NULL, error)
         && si_start_vm (trial->harness, vm->name, error)
         && si_wait_ready (trial->harness, READY_TIMEOUT_MS, error);
}

static gboolean
run_zone_partition (Trial *trial, GError **error)
{
  const SiVm *vm = g_ptr_array_index (si_vms (trial->harness), 1);
  BnLoadOptions options = { .duration_ms = ZONE_PARTITION_MS, .seed = 1 };

  return si_partition_zone (trial->harness, vm->zone, TRUE, error)
         && run_load (trial, &options, NULL, NULL, error)
         && si_partition_zone (trial->harness, vm->zone, FALSE, error)
         && si_wait_ready (trial->harness, READY_TIMEOUT_MS, error);
}

/* Measures the time from the target's drain signal until the last new request
   reaches it.  */
static gboolean
run_drain (Trial *trial, GError **error)
{
  const SiTarget *target = g_ptr_array_index (si_targets (trial->harness), 0);
  const char *control = si_target_control (trial->harness);
  BnLoadOptions options = { .duration_ms = 2 * REPEAT_MS };

  for (options.seed = 1; options.seed <= 2; options.seed++)
    {
      BnLoadResult load;
      int64_t drain_start_us, last_arrival_us = 0;
      pid_t pid = bn_load_start (trial->harness, &options, error);

      si_sleep_ms (REPEAT_MS / 2);
      drain_start_us = g_get_monotonic_time ();
      if (pid == 0 || !set_target (trial, "draining=1", error)
          || !bn_load_wait (trial->harness, pid, options.seed, &load, error))
        return FALSE;
      bn_load_clear (&load);
      if (!si_get_last_arrival (trial->harness, target->name, &last_arrival_us,
                                error)
          || !set_target (trial, "draining=0", error)
          || !si_post_control (control, "/control/reset", error))
        return FALSE;
      bn_table_add (trial->table, "drain_time", "ms",
                    last_arrival_us > drain_start_us
                        ? (double)(last_arrival_us - drain_start_us) / 1000
                        : 0);
      si_sleep_ms (REPEAT_MS);
    }
  return TRUE;
}

static gboolean
run_rolling_restart (Trial *trial, GError **error)
{
  const GPtrArray *vms = si_vms (trial->harness);
  BnLoadOptions options = { .duration_ms = 8000, .seed = 1 };
  BnLoadResult load;
  pid_t pid = bn_load_start (trial->harness, &options, error);

  if (pid == 0)
    return FALSE;
  for (guint i = 0; i < vms->len; i++)
    {
      const SiVm *vm = g_ptr_array_index (vms, i);
      int64_t start_us = g_get_monotonic_time ();
      int status = 0;

      if (!si_stop_vm (trial->harness, vm->name, 20000, &status, error))
        return FALSE;
      bn_table_add (trial->table, "stop_time", "ms",
                    (double)(g_get_monotonic_time () - start_us) / 1000);
      if (!si_start_vm (trial->harness, vm->name, error))
        return FALSE;
    }
  if (!bn_load_wait (trial->harness, pid, options.seed, &load, error))
    return FALSE;
  bn_table_add_load (trial->table, &load, NULL);
  bn_load_clear (&load);
  return si_wait_ready (trial->harness, READY_TIMEOUT_MS, error);
}

/* Sends no orders, since a daemon cannot run them while the store is down.  */
static gboolean
run_store_outage (Trial *trial, GError **error)
{
  const char *platform = si_platform_control (trial->harness);
  BnLoadOptions options = { .duration_ms = STORE_OUTAGE_MS,
                            .seed = 1,
                            .no_orders = TRUE,
                            .rate_permille = 400 };

  return si_post_control (platform, "/control/outage?mode=hang", error)
         && run_load (trial, &options, NULL, NULL, error)
         && si_post_control (platform, "/control/outage?mode=off", error);
}

static const struct
{
  const char *name;
  gboolean (*run) (Trial *trial, GError **error);
} scenarios[] = {
  { "steady", run_steady },
  { "offender", run_offender },
  { "move", run_pinned },
  { "slow-target", run_slow_target },
  { "lying-target", run_misreporting_target },
  { "cold-region", run_cold_region },
  { "drain", run_drain },
  { "zone-cut", run_zone_partition },
  { "store-out", run_store_outage },
  { "daemon-lost", run_daemon_loss },
  { "rolling-restart", run_rolling_restart },
};

gboolean
bn_is_trial_scenario (const char *name)
{
  for (size_t i = 0; i < G_N_ELEMENTS (scenarios); i++)
    if (strcmp (scenarios[i].name, name) == 0)
      return TRUE;
  return FALSE;
}

gboolean
bn_run_trial (const BnOptions *options, const char *scenario, GError **error)
{
  Trial trial = { .options = options };
  SiHarnessOptions harness_options
      = { .proxied = TRUE, .work_ms = SERVICE_TIME_MS };
  SiFixtureOptions fixture = { 0 };
  gboolean ok = TRUE;

  trial.harness
      = bn_start_deployment (options, &harness_options, &fixture, error);
  if (trial.harness == NULL)
    return FALSE;
  for (size_t i = 0; i < G_N_ELEMENTS (scenarios) && ok; i++)
    {
      if (scenario != NULL && strcmp (scenario, "all") != 0
          && strcmp (scenario, scenarios[i].name) != 0)
        continue;
      trial.table = bn_table_new (options, scenarios[i].name);
      ok = scenarios[i].run (&trial, error);
      bn_table_finish (trial.table);
    }
  si_harness_free (trial.harness);
  return ok;
}
