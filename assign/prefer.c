/* Selects the preferred VM of each target by rendezvous hash and keeps since
   when it is preferred.  */

#include "assign/internal.h"

#include <string.h>
#include <xxhash.h>

struct AsPlacement
{
  GHashTable *targets; /* name -> Preference */
  uint64_t generation; /* number of updates */
};

typedef struct
{
  char *vm;
  int64_t since_ms;
  uint64_t generation; /* of the placement when the target was last listed */
} Preference;

uint64_t
as_rendezvous_hash (const char *vm, const char *key)
{
  return XXH64 (vm, strlen (vm), XXH64 (key, strlen (key), 0));
}

typedef enum
{
  DISTANCE_SAME_ZONE,
  DISTANCE_SAME_REGION,
  DISTANCE_OTHER_REGION,
} Distance;

static Distance
distance_to_target (const AsVm *vm, const AsTarget *target)
{
  if (strcmp (vm->zone, target->zone) == 0)
    return DISTANCE_SAME_ZONE;
  if (strcmp (vm->region, target->region) == 0)
    return DISTANCE_SAME_REGION;
  return DISTANCE_OTHER_REGION;
}

const char *
as_preferred_vm (const AsVm *vms, uint32_t count, const AsTarget *target)
{
  const char *best = NULL;
  Distance best_distance = DISTANCE_OTHER_REGION;
  uint64_t best_hash = 0;

  for (uint32_t i = 0; i < count; i++)
    {
      Distance distance = distance_to_target (&vms[i], target);
      uint64_t hash;

      if (best != NULL && distance > best_distance)
        continue;
      hash = as_rendezvous_hash (vms[i].vm, target->target);
      if (best != NULL && distance == best_distance && hash <= best_hash)
        continue;
      best = vms[i].vm;
      best_distance = distance;
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

AsPlacement *
as_placement_new (void)
{
  AsPlacement *placement = g_new0 (AsPlacement, 1);

  placement->targets = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                              preference_free);
  return placement;
}

void
as_placement_free (AsPlacement *placement)
{
  if (placement == NULL)
    return;
  g_hash_table_unref (placement->targets);
  g_free (placement);
}

static gboolean
is_stale (void *key, void *value, void *data)
{
  (void)key;
  return ((Preference *)value)->generation != *(uint64_t *)data;
}

void
as_placement_update (AsPlacement *placement, const AsVm *vms,
                     uint32_t vm_count, AsTarget *targets,
                     uint32_t target_count, int64_t wall_ms)
{
  placement->generation++;
  for (uint32_t i = 0; i < target_count; i++)
    {
      Preference *preference
          = g_hash_table_lookup (placement->targets, targets[i].target);
      const char *vm = as_preferred_vm (vms, vm_count, &targets[i]);

      if (preference == NULL)
        {
          preference = g_new0 (Preference, 1);
          preference->since_ms = wall_ms;
          g_hash_table_insert (placement->targets,
                               g_strdup (targets[i].target), preference);
        }
      if (g_strcmp0 (preference->vm, vm) != 0)
        {
          g_free (preference->vm);
          preference->vm = g_strdup (vm);
          preference->since_ms = wall_ms;
        }
      preference->generation = placement->generation;
      targets[i].preferred_vm = preference->vm;
      targets[i].preferred_since_ms = preference->since_ms;
    }
  g_hash_table_foreach_remove (placement->targets, is_stale,
                               &placement->generation);
}
