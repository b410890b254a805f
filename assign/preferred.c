#include <string.h>
#include <xxhash.h>

#include "assign/internal.h"

#define RETRY_FIRST_MS 50

typedef struct
{
  char *vm; /* NULL: no member */
  int64_t since_ms;
} Preference;

struct AsTracker
{
  GHashTable *preferences; /* target -> Preference */
};

static uint64_t
rendezvous (const char *vm, const char *target)
{
  return XXH64 (vm, strlen (vm), XXH64 (target, strlen (target), 0));
}

/* Higher is nearer.  */
static int
nearness (const AsVm *vm, const AsTarget *target)
{
  if (strcmp (vm->zone, target->zone) == 0)
    return 2;
  return strcmp (vm->region, target->region) == 0 ? 1 : 0;
}

const char *
as_preferred (const AsVm *vms, uint32_t count, const AsTarget *target)
{
  const char *best = NULL;
  int best_nearness = -1;
  uint64_t best_hash = 0;

  for (uint32_t i = 0; i < count; i++)
    {
      int near = nearness (&vms[i], target);
      uint64_t hash;

      if (near < best_nearness)
        continue;
      hash = rendezvous (vms[i].vm, target->target);
      if (near == best_nearness && hash < best_hash)
        continue;
      best = vms[i].vm;
      best_nearness = near;
      best_hash = hash;
    }
  return best;
}

static void
preference_free (void *data)
{
  Preference *preference = data;

  g_free (preference->vm);
  g_free (preference);
}

AsTracker *
as_tracker_new (void)
{
  AsTracker *tracker = g_new (AsTracker, 1);

  tracker->preferences = g_hash_table_new_full (g_str_hash, g_str_equal,
                                                g_free, preference_free);
  return tracker;
}

void
as_tracker_free (AsTracker *tracker)
{
  if (tracker == NULL)
    return;
  g_hash_table_unref (tracker->preferences);
  g_free (tracker);
}

static Preference *
preference_of (AsTracker *tracker, const char *target, int64_t now_ms)
{
  Preference *preference = g_hash_table_lookup (tracker->preferences, target);

  if (preference != NULL)
    return preference;
  preference = g_new0 (Preference, 1);
  preference->since_ms = now_ms;
  g_hash_table_insert (tracker->preferences, g_strdup (target), preference);
  return preference;
}

void
as_tracker_update (AsTracker *tracker, const AsVm *vms, uint32_t vm_count,
                   AsTarget *targets, uint32_t target_count, int64_t now_ms)
{
  for (uint32_t i = 0; i < target_count; i++)
    {
      const char *vm = as_preferred (vms, vm_count, &targets[i]);
      Preference *preference
          = preference_of (tracker, targets[i].target, now_ms);

      if (g_strcmp0 (preference->vm, vm) != 0)
        {
          g_free (preference->vm);
          preference->vm = g_strdup (vm);
          preference->since_ms = now_ms;
        }
      targets[i].preferred = preference->vm;
      targets[i].preferred_since_ms = preference->since_ms;
    }
}

uint32_t
as_retry_ms (uint32_t attempt, uint32_t random)
{
  uint32_t range_ms = RETRY_FIRST_MS << MIN (attempt, 10);

  return random % MIN (range_ms, AS_RETRY_MAX_MS);
}
