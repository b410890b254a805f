#include "fleet/select.h"

#include <stdlib.h>
#include <string.h>

static double
relative (uint32_t value, uint32_t largest)
{
  return value == 0 ? 1 : (double)value / largest;
}

static void
set_capacities (FlVm *vms, uint32_t count)
{
  uint32_t link_max_mbps = 0;
  uint32_t cpu_max_permille = 0;

  for (uint32_t i = 0; i < count; i++)
    {
      link_max_mbps = MAX (link_max_mbps, vms[i].link_mbps);
      cpu_max_permille = MAX (cpu_max_permille, vms[i].cpu_permille);
    }
  for (uint32_t i = 0; i < count; i++)
    vms[i].capacity = MIN (relative (vms[i].link_mbps, link_max_mbps),
                           relative (vms[i].cpu_permille, cpu_max_permille));
}

static int
compare_vms (const void *a, const void *b)
{
  const FlVm *left = a;
  const FlVm *right = b;

  if (left->capacity != right->capacity)
    return left->capacity > right->capacity ? -1 : 1;
  return strcmp (left->address, right->address);
}

uint32_t
fl_select_vms (FlVm *vms, uint32_t count)
{
  double total = 0;
  double selected = 0;

  if (count == 0)
    return 0;
  set_capacities (vms, count);
  qsort (vms, count, sizeof *vms, compare_vms);
  for (uint32_t i = 0; i < count; i++)
    total += vms[i].capacity;
  for (uint32_t i = 0; i < count; i++)
    {
      if (i >= FL_SELECT_COUNT_MIN && vms[i].capacity < vms[i - 1].capacity
          && selected * 100 >= total * FL_SELECT_PERCENT)
        return i;
      selected += vms[i].capacity;
    }
  return count;
}
