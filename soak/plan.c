#include "soak/plan.h"

/* Mean time between the starts of faults that are not back to back.  */
#define INTERVAL_MEAN_MS 250
#define DURATION_MIN_MS 500
#define DURATION_MAX_MS 4500
/* Exceeds the daemons' stop grace period of 6 s, so that no daemon is paused
   while it stops: a paused one would not exit in time.  */
#define STOP_DURATION_MS 7200
/* Percentage of faults that start BACK_TO_BACK_GAP_MS after the one before. */
#define BACK_TO_BACK_PERCENT 30
#define BACK_TO_BACK_GAP_MS 50
#define PLANNED_ONLY_PERCENT 50
#define SERIES_INTERVAL_MS 9000
#define SERIES_START_MAX_MS 2500
/* A new key comes into force at once and lasts until the next one.  */
#define KEY_ROTATE_DURATION_MS 100
#define COPY_DURATION_MS 100
/* Kinds of edition 1.  */
#define FIRST_KIND_COUNT (SK_ZONE_EVACUATE + 1)
/* Makes the random numbers of edition 2 differ from those of edition 1.  */
#define SECOND_STREAM 0x5eed0000
/* Percentage of plans with planned faults only that have restores, too.  */
#define DRILL_PERCENT 30
#define RESTORES_MAX_COUNT 3
#define RESTORE_MIN_MS 200
#define RESTORE_MAX_MS 2500
#define RESTORE_STEP_MS 250
#define RESTORE_GAP_MAX_MS 2000
#define FIRST_RESTORE_MAX_MS 5000
#define COPY_AGE_MIN_MS 500
#define COPY_AGE_MAX_MS 5000
/* Long enough for a change to be in force everywhere before it is taken
   back.  */
#define ROUTE_MIN_MS 3000
#define ROUTE_MAX_MS 8000
#define ROUTE_CHANGE_GAP_MAX_MS 2000

const SkFaultKindInfo sk_fault_kinds[SK_FAULT_KIND_COUNT] = {
  [SK_DAEMON_STOP] = { "daemon-stop", SK_SUBJECT_DAEMON, TRUE },
  [SK_DAEMON_KILL] = { "daemon-kill", SK_SUBJECT_DAEMON },
  [SK_DAEMON_PAUSE] = { "daemon-pause", SK_SUBJECT_DAEMON },
  [SK_DAEMON_RELOAD] = { "daemon-reload", SK_SUBJECT_SETTINGS, TRUE },
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
  [SK_TARGET_DRAIN] = { "target-drain", SK_SUBJECT_TARGET, TRUE },
  [SK_TARGET_REMOVE] = { "target-gone", SK_SUBJECT_TARGET, TRUE },
  [SK_TARGET_COLD] = { "target-cold", SK_SUBJECT_TARGET, TRUE },
  [SK_TARGET_SLOW] = { "target-slow", SK_SUBJECT_TARGET, TRUE },
  [SK_KEY_ROTATE] = { "key-rotate", SK_SUBJECT_CONFIG, TRUE },
  [SK_CONFIG_STALE] = { "config-stale", SK_SUBJECT_CONFIG },
  [SK_ZONE_EVACUATE] = { "zone-evacuate", SK_SUBJECT_ZONE, TRUE },
  [SK_STORE_COPY] = { "store-copy", SK_SUBJECT_COPY, TRUE },
  [SK_STORE_RESTORE] = { "store-restore", SK_SUBJECT_STORE },
  [SK_ROUTE_ADD] = { "route-add", SK_SUBJECT_ADDED_ROUTE, TRUE },
  [SK_ROUTE_MOVE] = { "route-move", SK_SUBJECT_MOVED_ROUTE, TRUE },
  [SK_CONFIG_INVALID] = { "config-invalid", SK_SUBJECT_CONFIG, TRUE },
};

/* Duration of kinds for which it is not DURATION_MIN_MS to DURATION_MAX_MS. */
static const struct
{
  int32_t min_ms;
  int32_t max_ms;
} durations[SK_FAULT_KIND_COUNT] = {
  [SK_STORE_RESTORE] = { RESTORE_MIN_MS, RESTORE_MAX_MS },
  [SK_ROUTE_ADD] = { ROUTE_MIN_MS, ROUTE_MAX_MS },
  [SK_ROUTE_MOVE] = { ROUTE_MIN_MS, ROUTE_MAX_MS },
};

typedef struct
{
  const SkPlanOptions *options;
  GRand *random;
  GArray *faults;
  gboolean planned_only;
} PlanBuilder;

/* Faults of a series, with the range of their start times after its start.
   Their subjects are random, except that one daemon is both reloaded and
   stopped.  */
static const struct
{
  SkFaultKind kind;
  gboolean is_same_daemon;
  int32_t min_ms;
  int32_t max_ms;
} series_steps[] = {
  { SK_TARGET_SLOW, FALSE, -1500, 0 },
  { SK_TARGET_SLOW, FALSE, -500, 1500 },
  { SK_TARGET_SLOW, FALSE, 1500, 3500 },
  { SK_TARGET_SLOW, FALSE, 1500, 3500 },
  { SK_KEY_ROTATE, FALSE, -1000, -200 },
  { SK_DAEMON_RELOAD, TRUE, -1000, 500 },
  { SK_DAEMON_STOP, TRUE, 0, 1 },
  { SK_KEY_ROTATE, FALSE, 0, 1000 },
  { SK_DAEMON_RELOAD, FALSE, 0, 2000 },
  { SK_DAEMON_STOP, FALSE, 200, 2000 },
  { SK_KEY_ROTATE, FALSE, 1100, 3000 },
  { SK_DAEMON_STOP, FALSE, 2000, 4000 },
};

static uint32_t
subject_count (const SkPlanOptions *options, SkSubjectKind subject_kind)
{
  switch (subject_kind)
    {
    case SK_SUBJECT_DAEMON:
    case SK_SUBJECT_SETTINGS:
    case SK_SUBJECT_STORE_LINK:
      return options->daemon_count;
    case SK_SUBJECT_TARGET:
      return options->target_count;
    case SK_SUBJECT_ZONE:
      return options->zone_count;
    case SK_SUBJECT_ADDED_ROUTE:
      return SK_ADDED_ROUTE_COUNT;
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
          && fault->from_ms <= other->until_ms + BACK_TO_BACK_GAP_MS
          && other->from_ms <= fault->until_ms + BACK_TO_BACK_GAP_MS)
        return FALSE;
    }
  return TRUE;
}

static uint32_t
choose_subject (const PlanBuilder *builder, SkFaultKind kind)
{
  uint32_t count
      = subject_count (builder->options, sk_fault_kinds[kind].subject_kind);

  return (uint32_t)g_rand_int_range (builder->random, 0, (gint32)count);
}

/* Adds no fault where it would end too late or another affects its subject. */
static void
add_fault (PlanBuilder *builder, SkFaultKind kind, uint32_t subject_index,
           int64_t at_ms)
{
  SkFault fault
      = { .kind = kind, .subject_index = subject_index, .from_ms = at_ms };

  fault.until_ms
      = at_ms
        + (durations[kind].max_ms > 0
               ? g_rand_int_range (builder->random, durations[kind].min_ms,
                                   durations[kind].max_ms)
               : g_rand_int_range (builder->random, DURATION_MIN_MS,
                                   DURATION_MAX_MS));
  if (kind == SK_DAEMON_STOP)
    fault.until_ms = at_ms + STOP_DURATION_MS;
  if (kind == SK_KEY_ROTATE)
    fault.until_ms = at_ms + KEY_ROTATE_DURATION_MS;
  if (kind == SK_STORE_COPY)
    fault.until_ms = at_ms + COPY_DURATION_MS;
  if (fault.until_ms <= builder->options->until_ms
      && subject_is_free (builder, &fault))
    g_array_append_val (builder->faults, fault);
}

static void
add_series (PlanBuilder *builder, int64_t at_ms)
{
  uint32_t daemon = choose_subject (builder, SK_DAEMON_STOP);

  for (guint i = 0; i < G_N_ELEMENTS (series_steps); i++)
    {
      SkFaultKind kind = series_steps[i].kind;
      uint32_t subject_index = choose_subject (builder, kind);
      int64_t from_ms
          = at_ms
            + g_rand_int_range (builder->random, series_steps[i].min_ms,
                                series_steps[i].max_ms);
      add_fault (builder, kind,
                 series_steps[i].is_same_daemon ? daemon : subject_index,
                 MAX (from_ms, builder->options->from_ms));
    }
}

static void
add_random_faults (PlanBuilder *builder)
{
  int64_t at_ms = builder->options->from_ms;

  while (at_ms < builder->options->until_ms)
    {
      SkFaultKind kind = (SkFaultKind)g_rand_int_range (builder->random, 0,
                                                        FIRST_KIND_COUNT);
      uint32_t subject_index = choose_subject (builder, kind);
      if (!builder->planned_only || sk_fault_kinds[kind].is_planned)
        add_fault (builder, kind, subject_index, at_ms);
      at_ms
          += g_rand_int_range (builder->random, 0, 100) < BACK_TO_BACK_PERCENT
                 ? BACK_TO_BACK_GAP_MS
                 : g_rand_int_range (builder->random, 1, 2 * INTERVAL_MEAN_MS);
    }
}

/* Adds a restore at AT_MS or as soon after it as the store has no other fault.
   Returns its start, or -1 if there is no time for it.  */
static int64_t
add_restore (PlanBuilder *builder, int64_t at_ms)
{
  guint count = builder->faults->len;
  int64_t last_ms
      = builder->options->until_ms - SK_REWRITE_MAX_MS - RESTORE_MAX_MS;

  for (; at_ms <= last_ms; at_ms += RESTORE_STEP_MS)
    {
      add_fault (builder, SK_STORE_RESTORE, 0, at_ms);
      if (builder->faults->len > count)
        return at_ms;
    }
  return -1;
}

/* The second of a series may come from the copy of the first.  */
static void
add_restores (PlanBuilder *builder)
{
  int32_t count
      = g_rand_int_range (builder->random, 1, RESTORES_MAX_COUNT + 1);
  int64_t at_ms = builder->options->from_ms
                  + g_rand_int_range (builder->random, COPY_AGE_MIN_MS,
                                      FIRST_RESTORE_MAX_MS);

  for (int32_t i = 0; i < count; i++)
    {
      int64_t copy_ms;
      at_ms = add_restore (builder, at_ms);
      if (at_ms < 0)
        return;
      copy_ms = at_ms
                - g_rand_int_range (builder->random, COPY_AGE_MIN_MS,
                                    COPY_AGE_MAX_MS);
      if (i != 1 || g_rand_boolean (builder->random))
        add_fault (builder, SK_STORE_COPY, 0,
                   MAX (copy_ms, builder->options->from_ms));
      at_ms += g_rand_int_range (builder->random, RESTORE_MIN_MS,
                                 RESTORE_MAX_MS + RESTORE_GAP_MAX_MS);
    }
}

static void
add_route_changes (PlanBuilder *builder)
{
  static const SkFaultKind kinds[]
      = { SK_ROUTE_ADD, SK_ROUTE_ADD, SK_ROUTE_MOVE, SK_CONFIG_INVALID };
  int64_t at_ms = builder->options->from_ms;

  while (at_ms < builder->options->until_ms)
    {
      SkFaultKind kind
          = kinds[g_rand_int_range (builder->random, 0, G_N_ELEMENTS (kinds))];
      add_fault (builder, kind, choose_subject (builder, kind), at_ms);
      at_ms += g_rand_int_range (builder->random, BACK_TO_BACK_GAP_MS,
                                 ROUTE_CHANGE_GAP_MAX_MS);
    }
}

/* Adds a route between each copy and the restore from it, which loses it.  */
static void
add_lost_routes (PlanBuilder *builder)
{
  guint count = builder->faults->len;

  for (guint i = 0; i < count; i++)
    {
      const SkFault restore = g_array_index (builder->faults, SkFault, i);
      int64_t copy_ms = builder->options->from_ms;
      if (restore.kind != SK_STORE_RESTORE)
        continue;
      for (guint j = 0; j < count; j++)
        {
          const SkFault *copy = &g_array_index (builder->faults, SkFault, j);
          if (copy->kind == SK_STORE_COPY && copy->from_ms < restore.from_ms)
            copy_ms = MAX (copy_ms, copy->from_ms);
        }
      for (uint32_t route = 0; route < SK_ADDED_ROUTE_COUNT; route++)
        add_fault (builder, SK_ROUTE_ADD, route,
                   g_rand_int_range (builder->random, (gint32)copy_ms,
                                     (gint32)restore.from_ms));
    }
}

static void
add_second_edition (PlanBuilder *builder, uint32_t seed)
{
  g_rand_free (builder->random);
  builder->random = g_rand_new_with_seed (seed ^ SECOND_STREAM);
  if (g_rand_int_range (builder->random, 0, 100) < DRILL_PERCENT
      || !builder->planned_only)
    add_restores (builder);
  add_route_changes (builder);
  add_lost_routes (builder);
}

static int
compare_start (gconstpointer a, gconstpointer b)
{
  const SkFault *fault_a = a;
  const SkFault *fault_b = b;

  return (fault_a->from_ms > fault_b->from_ms)
         - (fault_a->from_ms < fault_b->from_ms);
}

GArray *
sk_plan_new (uint32_t seed, const SkPlanOptions *options)
{
  PlanBuilder builder
      = { .options = options,
          .random = g_rand_new_with_seed (seed),
          .faults = g_array_new (FALSE, FALSE, sizeof (SkFault)) };
  int64_t at_ms;

  builder.planned_only
      = g_rand_int_range (builder.random, 0, 100) < PLANNED_ONLY_PERCENT;
  at_ms = options->from_ms
          + g_rand_int_range (builder.random, 0, SERIES_START_MAX_MS);
  for (; at_ms < options->until_ms; at_ms += SERIES_INTERVAL_MS)
    add_series (&builder, at_ms);
  add_random_faults (&builder);
  if (options->edition >= 2)
    add_second_edition (&builder, seed);
  g_array_sort (builder.faults, compare_start);
  g_rand_free (builder.random);
  return builder.faults;
}
