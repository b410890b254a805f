#include "memory/memory.h"

#include <malloc.h>

/* What a process uses at most, in percent of its memory.  */
#define USABLE_PERCENT 80
/* For everything but bodies: state, connections, buffers of a few KB.  */
#define OTHER_BYTES ((uint64_t)48 * 1024 * 1024)
/* Bodies of requests, and of responses.  */
#define SHARE_COUNT 2
/* GByteArray allocates powers of two, so a large body has this much at least.
   Without a threshold of its own, glibc raises it to the largest mapping that
   was freed, after which bodies grow within the heap, by copying.  */
#define MAPPED_MIN_BYTES (2 * MM_SMALL_BYTES)
/* Unused bytes of the heap that are worth the time to return them.  */
#define TRIM_MIN_BYTES ((size_t)4 * 1024 * 1024)
/* Also on the smallest machines the largest response fits.  */
#define SHARE_MIN_BYTES ((uint64_t)20 * 1024 * 1024)

/* Of the part that is not for bodies.  */
#define CONNECTIONS_PERCENT 10
#define CONNECTIONS_MIN_BYTES ((uint64_t)8 * 1024 * 1024)
#define PER_ADDRESS_PERCENT 90

struct MmBudget
{
  guint ref_count; /* of its user and its blocks */
  uint64_t limit_bytes;
  uint64_t used_bytes;
  uint64_t peak_bytes;
  uint64_t refused_count;
  GQueue wants; /* of MmWant, oldest first */
  void (*on_room) (void *data);
  void *on_room_data;
};

struct MmBlock
{
  guint ref_count;
  MmBudget *budget; /* NULL: not counted */
  uint64_t counted_bytes;
  GByteArray *bytes;
};

void
mm_configure_allocator (void)
{
  mallopt (M_MMAP_THRESHOLD, MAPPED_MIN_BYTES);
}

void
mm_trim_heap (void)
{
  if (mallinfo2 ().fordblks >= TRIM_MIN_BYTES)
    malloc_trim (0);
}

/* GByteArray allocates powers of two.  */
uint64_t
mm_small_cost_bytes (uint64_t length_bytes)
{
  uint64_t allocated_bytes = 1;

  while (allocated_bytes < length_bytes)
    allocated_bytes *= 2;
  return length_bytes > 0 ? allocated_bytes : 0;
}

MmBudget *
mm_budget_new (uint64_t limit_bytes)
{
  MmBudget *budget = g_new0 (MmBudget, 1);

  budget->ref_count = 1;
  budget->limit_bytes = limit_bytes;
  return budget;
}

void
mm_budget_unref (MmBudget *budget)
{
  if (budget != NULL && --budget->ref_count == 0)
    g_free (budget);
}

uint64_t
mm_budget_limit (const MmBudget *budget)
{
  return budget->limit_bytes;
}

uint64_t
mm_budget_used (const MmBudget *budget)
{
  return budget->used_bytes;
}

uint64_t
mm_budget_peak (const MmBudget *budget)
{
  return budget->peak_bytes;
}

uint64_t
mm_budget_refused_count (const MmBudget *budget)
{
  return budget->refused_count;
}

void
mm_budget_set_on_room (MmBudget *budget, void (*on_room) (void *data),
                       void *data)
{
  budget->on_room = on_room;
  budget->on_room_data = data;
}

void
mm_budget_add_want (MmBudget *budget, MmWant *want)
{
  want->node.data = want;
  g_queue_push_tail_link (&budget->wants, &want->node);
}

void
mm_budget_remove_want (MmBudget *budget, MmWant *want)
{
  g_queue_unlink (&budget->wants, &want->node);
}

const MmWant *
mm_budget_first_want (const MmBudget *budget)
{
  return budget->wants.head != NULL ? budget->wants.head->data : NULL;
}

static MmBlock *
new_block (MmBudget *budget, GByteArray *bytes)
{
  MmBlock *block = g_new0 (MmBlock, 1);

  block->ref_count = 1;
  block->budget = budget;
  if (budget != NULL)
    budget->ref_count++;
  block->bytes = bytes;
  return block;
}

MmBlock *
mm_block_new (MmBudget *budget)
{
  return new_block (budget, g_byte_array_new ());
}

MmBlock *
mm_block_new_take (MmBudget *budget, char *text, gsize length)
{
  return new_block (budget, g_byte_array_new_take ((guint8 *)text, length));
}

MmBlock *
mm_block_ref (MmBlock *block)
{
  block->ref_count++;
  return block;
}

void
mm_block_unref (MmBlock *block)
{
  MmBudget *budget;
  uint64_t counted_bytes;

  if (block == NULL || --block->ref_count > 0)
    return;
  budget = block->budget;
  counted_bytes = block->counted_bytes;
  g_byte_array_unref (block->bytes);
  g_free (block);
  if (budget == NULL)
    return;
  budget->used_bytes -= counted_bytes;
  if (counted_bytes > 0 && budget->on_room != NULL)
    budget->on_room (budget->on_room_data);
  mm_budget_unref (budget);
}

void
mm_block_force (MmBlock *block, uint64_t total_bytes)
{
  MmBudget *budget = block->budget;

  if (budget == NULL || total_bytes <= block->counted_bytes)
    return;
  budget->used_bytes += total_bytes - block->counted_bytes;
  budget->peak_bytes = MAX (budget->peak_bytes, budget->used_bytes);
  block->counted_bytes = total_bytes;
}

gboolean
mm_block_reserve (MmBlock *block, uint64_t total_bytes)
{
  MmBudget *budget = block->budget;

  if (budget != NULL && total_bytes > MM_SMALL_BYTES
      && total_bytes > block->counted_bytes
      && budget->used_bytes + (total_bytes - block->counted_bytes)
             > budget->limit_bytes)
    {
      budget->refused_count++;
      return FALSE;
    }
  mm_block_force (block, total_bytes);
  return TRUE;
}

GByteArray *
mm_block_bytes (MmBlock *block)
{
  return block->bytes;
}

uint64_t
mm_share_bytes (uint64_t memory_bytes)
{
  uint64_t usable_bytes = memory_bytes / 100 * USABLE_PERCENT;
  uint64_t bodies_bytes
      = usable_bytes > OTHER_BYTES ? usable_bytes - OTHER_BYTES : 0;

  return MAX (SHARE_MIN_BYTES, bodies_bytes / SHARE_COUNT);
}

uint64_t
mm_connections_bytes (uint64_t memory_bytes)
{
  return MAX (CONNECTIONS_MIN_BYTES, memory_bytes / 100 * CONNECTIONS_PERCENT);
}

uint32_t
mm_per_address_default (uint32_t count)
{
  return MAX (1, (uint32_t)((uint64_t)count * PER_ADDRESS_PERCENT / 100));
}
