/* The preferred holder of each target, and since when.  */

#include "assign/internal.h"

#include <string.h>
#include <xxhash.h>

struct AsTracker
{
  GHashTable *targets; /* name -> Preference */
  uint64_t round;
};

typedef struct
{
  char *vm;
  int64_t since_ms;
  uint64_t round;
} Preference;

uint64_t
as_hash (const char *vm, const char *object)
{
  return XXH64 (vm, strlen (vm), XXH64 (object, strlen (object), 0));
}

typedef enum
{
  NEAR_ZONE,
  NEAR_REGION,
  NEAR_FLEET,
} Nearness;

static Nearness
nearness (const AsVm *vm, const AsTarget *target)
{
  if (strcmp (vm->zone, target->zone) == 0)
    return NEAR_ZONE;
  if (strcmp (vm->region, target->region) == 0)
    return NEAR_REGION;
  return NEAR_FLEET;
}

const char *
as_preferred (const AsVm *vms, uint32_t count, const AsTarget *target)
{
  const char *best = NULL;
  Nearness best_near = NEAR_FLEET;
  uint64_t best_hash = 0;

  for (uint32_t i = 0; i < count; i++)
    {
      Nearness near = nearness (&vms[i], target);
      uint64_t hash;

      if (best != NULL && near > best_near)
        continue;
      hash = as_hash (vms[i].vm, target->target);
      if (best != NULL && near == best_near && hash <= best_hash)
        continue;
      best = vms[i].vm;
      best_near = near;
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
  AsTracker *tracker = g_new0 (AsTracker, 1);

  tracker->targets = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                            preference_free);
  return tracker;
}

void
as_tracker_free (AsTracker *tracker)
{
  if (tracker == NULL)
    return;
  g_hash_table_unref (tracker->targets);
  g_free (tracker);
}

static gboolean
is_old (void *key, void *value, void *data)
{
  (void)key;
  return ((Preference *)value)->round != *(uint64_t *)data;
}

void
as_tracker_update (AsTracker *tracker, const AsVm *vms, uint32_t vm_count,
                   AsTarget *targets, uint32_t target_count, int64_t now_ms)
{
  tracker->round++;
  for (uint32_t i = 0; i < target_count; i++)
    {
      Preference *preference
          = g_hash_table_lookup (tracker->targets, targets[i].target);
      const char *vm = as_preferred (vms, vm_count, &targets[i]);

      if (preference == NULL)
        {
          preference = g_new0 (Preference, 1);
          preference->since_ms = now_ms;
          g_hash_table_insert (tracker->targets, g_strdup (targets[i].target),
                               preference);
        }
      if (g_strcmp0 (preference->vm, vm) != 0)
        {
          g_free (preference->vm);
          preference->vm = g_strdup (vm);
          preference->since_ms = now_ms;
        }
      preference->round = tracker->round;
      targets[i].preferred = preference->vm;
      targets[i].preferred_since_ms = preference->since_ms;
    }
  g_hash_table_foreach_remove (tracker->targets, is_old, &tracker->round);
}
