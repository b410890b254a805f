#include "emulator/plan.h"

/* Mean time between the starts of faults that are not back to back.  */
#define INTERVAL_MEAN_MS 150
/* Percentage of plans in which only responses are faulty, and connections are
   used for long.  */
#define RESPONSES_ONLY_PERCENT 40
#define BACK_TO_BACK_PERCENT 30
#define BACK_TO_BACK_GAP_MS 20
/* Faulty responses of one kind: rare ones and frequent ones.  */
#define RARE_MAX_PERCENT 5
#define FREQUENT_MAX_PERCENT 40

/* A stop lasts longer than the grace period of daemons, so that the new
   process has started when the fault ends.  */
const EmKindInfo em_kinds[EM_KIND_COUNT] = {
  [EM_TARGET_FAULTY]
  = { "target-faulty", EM_SUBJECT_RESPONSES, 50, 500, 5000 },
  [EM_TARGET_STOPPED] = { "target-stopped", EM_SUBJECT_TARGET, 4, 100, 1500 },
  [EM_TARGET_REPLACED]
  = { "target-replaced", EM_SUBJECT_TARGET, 4, 100, 1500 },
  [EM_TARGET_REUSED] = { "target-reused", EM_SUBJECT_TARGET, 4, 300, 2000 },
  [EM_TARGET_FROZEN] = { "target-frozen", EM_SUBJECT_TARGET, 5, 50, 1500 },
  [EM_TARGET_DRAINED] = { "target-drained", EM_SUBJECT_TARGET, 3, 2500, 4000 },
  [EM_TARGET_LIMITED] = { "target-limited", EM_SUBJECT_TARGET, 4, 500, 3000 },
  [EM_DAEMON_STOP] = { "daemon-stop", EM_SUBJECT_DAEMON, 3, 7500, 7501 },
  [EM_DAEMON_KILL] = { "daemon-kill", EM_SUBJECT_DAEMON, 2, 200, 2000 },
  [EM_DAEMON_PAUSE] = { "daemon-pause", EM_SUBJECT_DAEMON, 8, 20, 2500 },
  [EM_DAEMON_RELOAD] = { "daemon-reload", EM_SUBJECT_DAEMON, 3, 100, 600 },
  [EM_STORE_SILENT] = { "store-silent", EM_SUBJECT_STORE, 2, 500, 4000 },
  [EM_STORE_BUSY] = { "store-busy", EM_SUBJECT_STORE, 2, 500, 4000 },
  [EM_STORE_RESET] = { "store-reset", EM_SUBJECT_STORE, 2, 500, 4000 },
};

/* Returns an index below COUNT, drawn by WEIGHTS.  */
static uint32_t
draw_weighted (GRand *random, const uint32_t *weights, uint32_t count)
{
  int32_t total = 0;
  int32_t at;
  uint32_t index = 0;

  for (uint32_t i = 0; i < count; i++)
    total += (int32_t)weights[i];
  at = g_rand_int_range (random, 0, total);
  while (at >= (int32_t)weights[index])
    at -= (int32_t)weights[index++];
  return index;
}

static EmKind
draw_kind (GRand *random)
{
  uint32_t weights[EM_KIND_COUNT];

  for (guint i = 0; i < EM_KIND_COUNT; i++)
    weights[i] = em_kinds[i].weight;
  return (EmKind)draw_weighted (random, weights, EM_KIND_COUNT);
}

static uint32_t
subject_count (const EmPlanOptions *options, EmSubject subject)
{
  switch (subject)
    {
    case EM_SUBJECT_RESPONSES:
    case EM_SUBJECT_TARGET:
      return options->target_count;
    case EM_SUBJECT_DAEMON:
      return options->daemon_count;
    case EM_SUBJECT_STORE:
      return 1;
    }
  g_assert_not_reached ();
}

static gboolean
is_free (const GArray *plan, const EmPlanned *fault)
{
  for (guint i = 0; i < plan->len; i++)
    {
      const EmPlanned *other = &g_array_index (plan, EmPlanned, i);
      if (em_kinds[other->kind].subject == em_kinds[fault->kind].subject
          && other->subject_index == fault->subject_index
          && other->fault == fault->fault && fault->from_ms <= other->until_ms
          && other->from_ms <= fault->until_ms)
        return FALSE;
    }
  return TRUE;
}

static EmPlanned
draw_fault (GRand *random, const EmPlanOptions *options, int64_t at_ms)
{
  EmPlanned fault = { .kind = draw_kind (random), .from_ms = at_ms };
  const EmKindInfo *info = &em_kinds[fault.kind];
  gboolean is_rare = g_rand_boolean (random);

  fault.subject_index = (uint32_t)g_rand_int_range (
      random, 0, (gint32)subject_count (options, info->subject));
  fault.until_ms
      = at_ms + g_rand_int_range (random, info->min_ms, info->max_ms);
  if (info->subject != EM_SUBJECT_RESPONSES)
    return fault;
  fault.fault
      = draw_weighted (random, options->fault_weights, options->fault_count);
  fault.percent = (uint32_t)g_rand_int_range (
      random, 1, is_rare ? RARE_MAX_PERCENT : FREQUENT_MAX_PERCENT);
  return fault;
}

GArray *
em_plan_new (uint32_t seed, const EmPlanOptions *options)
{
  GRand *random = g_rand_new_with_seed (seed);
  GArray *plan = g_array_new (FALSE, FALSE, sizeof (EmPlanned));
  gboolean responses_only
      = g_rand_int_range (random, 0, 100) < RESPONSES_ONLY_PERCENT;
  int64_t at_ms = options->from_ms;

  while (at_ms < options->until_ms)
    {
      EmPlanned fault = draw_fault (random, options, at_ms);
      gboolean is_wanted
          = !responses_only
            || em_kinds[fault.kind].subject == EM_SUBJECT_RESPONSES;
      if (is_wanted && fault.until_ms <= options->until_ms
          && is_free (plan, &fault))
        g_array_append_val (plan, fault);
      at_ms += g_rand_int_range (random, 0, 100) < BACK_TO_BACK_PERCENT
                   ? BACK_TO_BACK_GAP_MS
                   : g_rand_int_range (random, 1, 2 * INTERVAL_MEAN_MS);
    }
  g_rand_free (random);
  return plan;
}
