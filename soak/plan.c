#include "soak/plan.h"

/* Mean time between faults, and their length; a daemon's grace is 4 s.  */
#define GAP_MEAN_MS 250
#define LENGTH_MIN_MS 500
#define LENGTH_MAX_MS 4500
/* A stopping daemon that is paused, too, would outlive its grace.  */
#define STOP_MS 5200
/* A part of the faults follows right after the one before.  */
#define SERIES_PERCENT 30
#define SERIES_GAP_MS 50

const SkKindInfo sk_kinds[SK_KIND_COUNT] = {
  [SK_DAEMON_STOP] = { "daemon-stop", SK_ON_DAEMON },
  [SK_DAEMON_KILL] = { "daemon-kill", SK_ON_DAEMON },
  [SK_DAEMON_PAUSE] = { "daemon-pause", SK_ON_DAEMON },
  [SK_DAEMON_RELOAD] = { "daemon-reload", SK_ON_DAEMON },
  [SK_STORE_SILENT] = { "store-silent", SK_ON_STORE },
  [SK_STORE_BUSY] = { "store-busy", SK_ON_STORE },
  [SK_STORE_RESET] = { "store-reset", SK_ON_STORE },
  [SK_STORE_COMPACT] = { "store-compact", SK_ON_STORE },
  [SK_STORE_LINK_HOLD] = { "store-link-hold", SK_ON_STORE_LINK },
  [SK_STORE_LINK_CUT] = { "store-link-cut", SK_ON_STORE_LINK },
  [SK_STORE_LINK_SLOW] = { "store-link-slow", SK_ON_STORE_LINK },
  [SK_TARGET_LINK_HOLD] = { "target-link-hold", SK_ON_TARGET },
  [SK_TARGET_LINK_CUT] = { "target-link-cut", SK_ON_TARGET },
  [SK_TARGET_LINK_ONE_WAY] = { "target-link-one-way", SK_ON_TARGET },
  [SK_TARGET_LINK_SLOW] = { "target-link-slow", SK_ON_TARGET },
  [SK_TARGET_LOSE] = { "target-lose", SK_ON_TARGET },
  [SK_TARGET_SHED] = { "target-shed", SK_ON_TARGET },
  [SK_TARGET_FAIL] = { "target-fail", SK_ON_TARGET },
  [SK_TARGET_SPOIL] = { "target-spoil", SK_ON_TARGET },
  [SK_TARGET_HANG] = { "target-hang", SK_ON_TARGET },
  [SK_TARGET_OTHER] = { "target-other", SK_ON_TARGET },
  [SK_TARGET_DRAIN] = { "target-drain", SK_ON_TARGET },
  [SK_TARGET_GONE] = { "target-gone", SK_ON_TARGET },
  [SK_TARGET_COLD] = { "target-cold", SK_ON_TARGET },
  [SK_KEY_CHANGE] = { "key-change", SK_ON_CONFIG },
  [SK_OLD_CONFIG] = { "old-config", SK_ON_CONFIG },
  [SK_EVACUATE] = { "evacuate", SK_ON_ZONE },
};

typedef struct
{
  const SkPlanOptions *options;
  GRand *random;
  GArray *faults;
} Draw;

static uint32_t
subject_count (const SkPlanOptions *options, SkSubject subject)
{
  switch (subject)
    {
    case SK_ON_DAEMON:
    case SK_ON_STORE_LINK:
      return options->daemon_count;
    case SK_ON_TARGET:
      return options->target_count;
    case SK_ON_ZONE:
      return options->zone_count;
    default:
      return 1;
    }
}

static gboolean
is_free (const Draw *draw, const SkFault *fault)
{
  for (guint i = 0; i < draw->faults->len; i++)
    {
      const SkFault *other = &g_array_index (draw->faults, SkFault, i);
      if (sk_kinds[other->kind].subject == sk_kinds[fault->kind].subject
          && other->index == fault->index
          && fault->from_ms <= other->until_ms + SERIES_GAP_MS)
        return FALSE;
    }
  return TRUE;
}

static void
draw_fault (Draw *draw, int64_t at_ms)
{
  SkFault fault = { .from_ms = at_ms };
  uint32_t count;

  fault.kind = (SkKind)g_rand_int_range (draw->random, 0, SK_KIND_COUNT);
  count = subject_count (draw->options, sk_kinds[fault.kind].subject);
  fault.index = (uint32_t)g_rand_int_range (draw->random, 0, (gint32)count);
  fault.until_ms
      = at_ms + g_rand_int_range (draw->random, LENGTH_MIN_MS, LENGTH_MAX_MS);
  if (fault.kind == SK_DAEMON_STOP)
    fault.until_ms = at_ms + STOP_MS;
  if (fault.until_ms <= draw->options->until_ms && is_free (draw, &fault))
    g_array_append_val (draw->faults, fault);
}

GArray *
sk_plan_new (uint32_t seed, const SkPlanOptions *options)
{
  Draw draw = { .options = options,
                .random = g_rand_new_with_seed (seed),
                .faults = g_array_new (FALSE, FALSE, sizeof (SkFault)) };
  int64_t at_ms = options->from_ms;

  while (at_ms < options->until_ms)
    {
      draw_fault (&draw, at_ms);
      at_ms += g_rand_int_range (draw.random, 0, 100) < SERIES_PERCENT
                   ? SERIES_GAP_MS
                   : g_rand_int_range (draw.random, 1, 2 * GAP_MEAN_MS);
    }
  g_rand_free (draw.random);
  return draw.faults;
}
