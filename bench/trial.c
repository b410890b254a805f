#include "bench/bench.h"

#include <json-c/json.h>
#include <signal.h>
#include <string.h>

#include "standin/verify.h"

#define READY_MAX_MS 60000
/* A daemon that starts claims its share in steps of the lease and the
   assignment; what is measured before is the start, not the steady state.  */
#define SETTLE_MS 4000
#define WORK_MS 20
#define SHORT_MS 1500
#define STORE_OUT_MS 60000
#define LOSS_MS 10000
#define CUT_MS 6000
#define COLD_MS 6000
#define SHIFT_LENGTH_MS (3600 * 1000)
#define SHIFT_CAP_PER_S 100
#define OFFENDER "c3"

typedef struct
{
  const BnOptions *options;
  SiHarness *harness;
  BnTable *table;
} Trial;

SiHarness *
bn_start (const BnOptions *options, const SiHarnessOptions *extra,
          const SiFixtureOptions *fixture, GError **error)
{
  SiHarnessOptions all = *extra;
  SiHarness *harness;
  g_autoptr (CfConfig) config = NULL;

  all.bin = options->bin;
  all.deployment = options->deployment;
  all.policy = options->policy;
  all.admission = options->admission;
  harness = si_harness_new (&all, error);
  if (harness == NULL)
    return NULL;
  config = si_fixture_config (harness, fixture);
  if (si_start_platform (harness, error) && si_start_targets (harness, error)
      && si_start_daemons (harness, error)
      && si_apply_config (harness, config, error)
      && si_wait_ready (harness, READY_MAX_MS, error))
    {
      si_sleep_ms (SETTLE_MS);
      return harness;
    }
  si_harness_free (harness);
  return NULL;
}

/* Lowest share of free slots of any region, as the first daemon that runs
   sees it.  */
static void
add_headroom (Trial *trial)
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
      bn_add (trial->table, "headroom_lowest_region", "permille", lowest);
    }
  json_object_put (root);
}

/* Runs a load and, in its middle, DISTURB.  */
static gboolean
load_once (Trial *trial, const BnLoadOptions *options, const char *skip,
           gboolean (*disturb) (Trial *trial, GError **error), GError **error)
{
  BnLoad load;
  pid_t pid = bn_load_begin (trial->harness, options, error);

  if (pid == 0)
    return FALSE;
  si_sleep_ms (options->duration_ms / 3);
  add_headroom (trial);
  if (disturb != NULL && !disturb (trial, error))
    return FALSE;
  if (!bn_load_end (trial->harness, pid, options->seed, &load, error))
    return FALSE;
  bn_add_load (trial->table, &load, skip);
  bn_load_clear (&load);
  return TRUE;
}

static gboolean
load_repeated (Trial *trial, BnLoadOptions options, const char *skip,
               GError **error)
{
  options.duration_ms = SHORT_MS;
  for (options.seed = 1; options.seed <= 3; options.seed++)
    if (!load_once (trial, &options, skip, NULL, error))
      return FALSE;
  return TRUE;
}

static gboolean
run_steady (Trial *trial, GError **error)
{
  return load_repeated (trial, (BnLoadOptions){ 0 }, NULL, error);
}

static gboolean
run_offender (Trial *trial, GError **error)
{
  return load_repeated (trial, (BnLoadOptions){ .factor = 8 }, OFFENDER,
                        error);
}

static gboolean
run_move (Trial *trial, GError **error)
{
  return load_repeated (trial, (BnLoadOptions){ .pinned = TRUE }, NULL, error);
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
run_with_target (Trial *trial, const char *on, const char *off, GError **error)
{
  return set_target (trial, on, error)
         && load_repeated (trial, (BnLoadOptions){ 0 }, NULL, error)
         && set_target (trial, off, error);
}

static gboolean
run_slow (Trial *trial, GError **error)
{
  return run_with_target (trial, "slow_percent=1000", "slow_percent=100",
                          error);
}

static gboolean
run_lying (Trial *trial, GError **error)
{
  return run_with_target (trial, "shed=1", "shed=0", error);
}

static gboolean
make_cold (Trial *trial, const char *region, GError **error)
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
   cold.  It begins 2 s later than written, as clocks may differ by that.  */
static gboolean
run_cold (Trial *trial, GError **error)
{
  const SiFixtureOptions fixture = { 0 };
  g_autoptr (CfConfig) shifted = si_fixture_config (trial->harness, &fixture);
  g_autoptr (CfConfig) plain = si_fixture_config (trial->harness, &fixture);
  const CfRegion *from = g_ptr_array_index (shifted->regions, 0);
  const CfRegion *to = g_ptr_array_index (shifted->regions, 1);
  CfShift *shift = cf_add_shift (shifted, "move-half",
                                 si_fixture_service (trial->harness, 0),
                                 from->name, to->name);
  BnLoadOptions options = { .duration_ms = COLD_MS, .seed = 1 };

  shift->start_ms = g_get_real_time () / 1000;
  shift->end_ms = shift->start_ms + SHIFT_LENGTH_MS;
  shift->ramp_ms = 1000;
  shift->share_permille = 500;
  shift->cap_per_s = SHIFT_CAP_PER_S;
  return make_cold (trial, to->name, error)
         && si_apply_config (trial->harness, shifted, error)
         && load_once (trial, &options, NULL, NULL, error)
         && si_apply_config (trial->harness, plain, error)
         && si_post_control (si_target_control (trial->harness),
                             "/control/set?cold=0", error);
}

static gboolean
kill_last (Trial *trial, GError **error)
{
  const GPtrArray *vms = si_vms (trial->harness);
  const SiVm *vm = g_ptr_array_index (vms, vms->len - 1);

  (void)error;
  si_kill_vm (trial->harness, vm->name);
  return TRUE;
}

/* The load begins as the daemon is killed, so the whole run lies within the
   10 s for which a figure is required.  */
static gboolean
run_loss (Trial *trial, GError **error)
{
  const GPtrArray *vms = si_vms (trial->harness);
  const SiVm *vm = g_ptr_array_index (vms, vms->len - 1);
  BnLoadOptions options = { .duration_ms = LOSS_MS, .seed = 1 };

  return kill_last (trial, error)
         && load_once (trial, &options, NULL, NULL, error)
         && si_start_vm (trial->harness, vm->name, error)
         && si_wait_ready (trial->harness, READY_MAX_MS, error);
}

static gboolean
run_zone_cut (Trial *trial, GError **error)
{
  const SiVm *vm = g_ptr_array_index (si_vms (trial->harness), 1);
  BnLoadOptions options = { .duration_ms = CUT_MS, .seed = 1 };

  return si_partition_zone (trial->harness, vm->zone, TRUE, error)
         && load_once (trial, &options, NULL, NULL, error)
         && si_partition_zone (trial->harness, vm->zone, FALSE, error)
         && si_wait_ready (trial->harness, READY_MAX_MS, error);
}

/* Time from the sign until the last new request reached the target.  */
static gboolean
run_drain (Trial *trial, GError **error)
{
  const SiTarget *target = g_ptr_array_index (si_targets (trial->harness), 0);
  const char *control = si_target_control (trial->harness);
  BnLoadOptions options = { .duration_ms = 2 * SHORT_MS };

  for (options.seed = 1; options.seed <= 2; options.seed++)
    {
      BnLoad load;
      int64_t from_us, late_us = 0;
      pid_t pid = bn_load_begin (trial->harness, &options, error);

      si_sleep_ms (SHORT_MS / 2);
      from_us = g_get_monotonic_time ();
      if (pid == 0 || !set_target (trial, "draining=1", error)
          || !bn_load_end (trial->harness, pid, options.seed, &load, error))
        return FALSE;
      bn_load_clear (&load);
      if (!si_get_last_arrival (trial->harness, target->name, &late_us, error)
          || !set_target (trial, "draining=0", error)
          || !si_post_control (control, "/control/reset", error))
        return FALSE;
      bn_add (trial->table, "drain_time", "ms",
              late_us > from_us ? (double)(late_us - from_us) / 1000 : 0);
      si_sleep_ms (SHORT_MS);
    }
  return TRUE;
}

static gboolean
run_rolling (Trial *trial, GError **error)
{
  const GPtrArray *vms = si_vms (trial->harness);
  BnLoadOptions options = { .duration_ms = 8000, .seed = 1 };
  BnLoad load;
  pid_t pid = bn_load_begin (trial->harness, &options, error);

  if (pid == 0)
    return FALSE;
  for (guint i = 0; i < vms->len; i++)
    {
      const SiVm *vm = g_ptr_array_index (vms, i);
      int64_t start_us = g_get_monotonic_time ();
      int status = 0;

      if (!si_stop_vm (trial->harness, vm->name, 20000, &status, error))
        return FALSE;
      bn_add (trial->table, "stop_time", "ms",
              (double)(g_get_monotonic_time () - start_us) / 1000);
      if (!si_start_vm (trial->harness, vm->name, error))
        return FALSE;
    }
  if (!bn_load_end (trial->harness, pid, options.seed, &load, error))
    return FALSE;
  bn_add_load (trial->table, &load, NULL);
  bn_load_clear (&load);
  return si_wait_ready (trial->harness, READY_MAX_MS, error);
}

static gboolean
run_store_out (Trial *trial, GError **error)
{
  const char *platform = si_platform_control (trial->harness);
  BnLoadOptions options = { .duration_ms = STORE_OUT_MS,
                            .seed = 1,
                            .no_orders = TRUE,
                            .rate_permille = 400 };

  return si_post_control (platform, "/control/outage?mode=hang", error)
         && load_once (trial, &options, NULL, NULL, error)
         && si_post_control (platform, "/control/outage?mode=off", error);
}

static const struct
{
  const char *name;
  gboolean (*run) (Trial *trial, GError **error);
} scenarios[] = {
  { "steady", run_steady },
  { "offender", run_offender },
  { "move", run_move },
  { "slow-target", run_slow },
  { "lying-target", run_lying },
  { "cold-region", run_cold },
  { "drain", run_drain },
  { "zone-cut", run_zone_cut },
  { "store-out", run_store_out },
  { "daemon-lost", run_loss },
  { "rolling-restart", run_rolling },
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
  SiHarnessOptions extra = { .proxied = TRUE, .work_ms = WORK_MS };
  SiFixtureOptions fixture = { 0 };
  gboolean ok = TRUE;

  trial.harness = bn_start (options, &extra, &fixture, error);
  if (trial.harness == NULL)
    return FALSE;
  for (size_t i = 0; i < G_N_ELEMENTS (scenarios) && ok; i++)
    {
      if (scenario != NULL && strcmp (scenario, "all") != 0
          && strcmp (scenario, scenarios[i].name) != 0)
        continue;
      trial.table = bn_table_new (options, scenarios[i].name);
      ok = scenarios[i].run (&trial, error);
      bn_table_end (trial.table);
    }
  si_harness_free (trial.harness);
  return ok;
}
