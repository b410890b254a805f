#include "soak/plan.h"

/* Mean time between the starts of faults that are not back to back.  */
#define INTERVAL_MEAN_MS 250
#define DURATION_MIN_MS 500
#define DURATION_MAX_MS 4500
/* Exceeds the daemons' stop grace period of 4 s, so that no daemon is paused
   while it stops: a paused one would not exit in time.  */
#define STOP_DURATION_MS 5200
/* Percentage of faults that start BACK_TO_BACK_GAP_MS after the one before. */
#define BACK_TO_BACK_PERCENT 30
#define BACK_TO_BACK_GAP_MS 50

const SkFaultKindInfo sk_fault_kinds[SK_FAULT_KIND_COUNT] = {
  [SK_DAEMON_STOP] = { "daemon-stop", SK_SUBJECT_DAEMON },
  [SK_DAEMON_KILL] = { "daemon-kill", SK_SUBJECT_DAEMON },
  [SK_DAEMON_PAUSE] = { "daemon-pause", SK_SUBJECT_DAEMON },
  [SK_DAEMON_RELOAD] = { "daemon-reload", SK_SUBJECT_DAEMON },
  [SK_STORE_SILENT] = { "store-silent", SK_SUBJECT_STORE },
  [SK_STORE_BUSY] = { "store-busy", SK_SUBJECT_STORE },
  [SK_STORE_RESET] = { "store-reset", SK_SUBJECT_STORE },
  [SK_STORE_COMPACT] = { "store-compact", SK_SUBJECT_STORE },
  [SK_STORE_LINK_PARTITION]
  = { "store-link-partition", SK_SUBJECT_STORE_LINK },
  [SK_STORE_LINK_CUT] = { "store-link-cut", SK_SUBJECT_STORE_LINK },
  [SK_STORE_LINK_SLOW] = { "store-link-slow", SK_SUBJECT_STORE_LINK },
  [SK_TARGET_LINK_PARTITION] = { "target-link-partition", SK_SUBJECT_TARGET },
  [SK_TARGET_LINK_CUT] = { "target-link-cut", SK_SUBJECT_TARGET },
  [SK_TARGET_LINK_ONE_WAY] = { "target-link-one-way", SK_SUBJECT_TARGET },
  [SK_TARGET_LINK_SLOW] = { "target-link-slow", SK_SUBJECT_TARGET },
  [SK_TARGET_LOSE_RESPONSE] = { "target-lose-response", SK_SUBJECT_TARGET },
  [SK_TARGET_SHED] = { "target-shed", SK_SUBJECT_TARGET },
  [SK_TARGET_FAIL] = { "target-fail", SK_SUBJECT_TARGET },
  [SK_TARGET_OMIT_SIGNATURE] = { "target-omit-signature", SK_SUBJECT_TARGET },
  [SK_TARGET_HANG] = { "target-hang", SK_SUBJECT_TARGET },
  [SK_TARGET_MISDIRECT] = { "target-misdirect", SK_SUBJECT_TARGET },
  [SK_TARGET_DRAIN] = { "target-drain", SK_SUBJECT_TARGET },
  [SK_TARGET_REMOVE] = { "target-gone", SK_SUBJECT_TARGET },
  [SK_TARGET_COLD] = { "target-cold", SK_SUBJECT_TARGET },
  [SK_KEY_ROTATE] = { "key-rotate", SK_SUBJECT_CONFIG },
  [SK_CONFIG_STALE] = { "config-stale", SK_SUBJECT_CONFIG },
  [SK_ZONE_EVACUATE] = { "zone-evacuate", SK_SUBJECT_ZONE },
};

typedef struct
{
  const SkPlanOptions *options;
  GRand *random;
  GArray *faults;
} PlanBuilder;

static uint32_t
subject_count (const SkPlanOptions *options, SkSubjectKind subject_kind)
{
  switch (subject_kind)
    {
    case SK_SUBJECT_DAEMON:
    case SK_SUBJECT_STORE_LINK:
      return options->daemon_count;
    case SK_SUBJECT_TARGET:
      return options->target_count;
    case SK_SUBJECT_ZONE:
      return options->zone_count;
    default:
      return 1;
    }
}

static gboolean
subject_is_free (const PlanBuilder *builder, const SkFault *fault)
{
  for (guint i = 0; i < builder->faults->len; i++)
    {
      const SkFault *other = &g_array_index (builder->faults, SkFault, i);
      if (sk_fault_kinds[other->kind].subject_kind
              == sk_fault_kinds[fault->kind].subject_kind
          && other->subject_index == fault->subject_index
          && fault->from_ms <= other->until_ms + BACK_TO_BACK_GAP_MS)
        return FALSE;
    }
  return TRUE;
}

/* Adds no fault where it would end too late or another affects its subject. */
static void
add_random_fault (PlanBuilder *builder, int64_t at_ms)
{
  SkFault fault = { .from_ms = at_ms };
  uint32_t count;

  fault.kind = (SkFaultKind)g_rand_int_range (builder->random, 0,
                                              SK_FAULT_KIND_COUNT);
  count = subject_count (builder->options,
                         sk_fault_kinds[fault.kind].subject_kind);
  fault.subject_index
      = (uint32_t)g_rand_int_range (builder->random, 0, (gint32)count);
  fault.until_ms
      = at_ms
        + g_rand_int_range (builder->random, DURATION_MIN_MS, DURATION_MAX_MS);
  if (fault.kind == SK_DAEMON_STOP)
    fault.until_ms = at_ms + STOP_DURATION_MS;
  if (fault.until_ms <= builder->options->until_ms
      && subject_is_free (builder, &fault))
    g_array_append_val (builder->faults, fault);
}

GArray *
sk_plan_new (uint32_t seed, const SkPlanOptions *options)
{
  PlanBuilder builder
      = { .options = options,
          .random = g_rand_new_with_seed (seed),
          .faults = g_array_new (FALSE, FALSE, sizeof (SkFault)) };
  int64_t at_ms = options->from_ms;

  while (at_ms < options->until_ms)
    {
      add_random_fault (&builder, at_ms);
      at_ms
          += g_rand_int_range (builder.random, 0, 100) < BACK_TO_BACK_PERCENT
                 ? BACK_TO_BACK_GAP_MS
                 : g_rand_int_range (builder.random, 1, 2 * INTERVAL_MEAN_MS);
    }
  g_rand_free (builder.random);
  return builder.faults;
}
