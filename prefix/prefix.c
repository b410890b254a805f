#include "prefix/prefix.h"

#include <string.h>

typedef unsigned __int128 Address;

#define ADDRESS_BITS 128
#define ADDRESS_LAST (~(Address)0)
#define V4_FIRST ((Address)0xffff << 32)
#define V4_LAST (V4_FIRST | 0xffffffff)
#define V4_PREFIX_BITS 96

#define REGION_NONE PX_REGION_MAX

/* A node of IPv4 keys is one cache line.  */
#define CACHE_LINE_BYTES 64

/* 16^8 keys are more than 32-bit counts can hold.  */
#define LEVELS_MAX 8

/* Starts of ranges and the region of each.  Level 0 has all starts, a level
   above it the first key of each node below.  Each level is filled up to whole
   nodes with the last address; only its
   own match would run into these, so it is answered apart.  */
typedef struct
{
  uint32_t *keys[LEVELS_MAX];
  uint32_t key_counts[LEVELS_MAX];
  uint16_t *regions;
  uint32_t range_count;
  uint32_t level_count;
} V4Tree;

typedef struct
{
  Address *keys[LEVELS_MAX];
  uint32_t key_counts[LEVELS_MAX];
  uint16_t *regions;
  uint32_t range_count;
  uint32_t level_count;
} V6Tree;

struct PxTable
{
  V4Tree v4;
  V6Tree v6;
  gsize bytes;
};

typedef enum
{
  PHASE_CHECK,
  PHASE_FLATTEN,
  PHASE_CLOSE,
  PHASE_INDEX_V4,
  PHASE_INDEX_V6,
  PHASE_DONE,
} Phase;

typedef struct
{
  Address last;
  uint16_t region;
} Open;

struct PxBuild
{
  const CfBlock *blocks;
  uint32_t count;
  uint32_t v4_count;
  Phase phase;
  uint32_t next; /* block, or key of the level being filled */
  uint32_t level;
  GError *error;
  PxTable *table;
  uint16_t region; /* of the range put last */
  gboolean v4_begun;
  gboolean v4_ended;
  uint32_t open_count;
  Open open[ADDRESS_BITS + 1]; /* blocks that contain the current one */
};

G_DEFINE_QUARK (px_error, px_error)

static Address
load (const uint8_t bytes[16])
{
  uint64_t high;
  uint64_t low;

  memcpy (&high, bytes, sizeof high);
  memcpy (&low, bytes + sizeof high, sizeof low);
  return (Address)GUINT64_FROM_BE (high) << 64 | GUINT64_FROM_BE (low);
}

static Address
host_mask (uint8_t prefix_bits)
{
  return prefix_bits == 0 ? ADDRESS_LAST
                          : ((Address)1 << (ADDRESS_BITS - prefix_bits)) - 1;
}

static uint32_t
nodes (uint32_t key_count)
{
  return (key_count + PX_FANOUT - 1) / PX_FANOUT;
}

static gsize
padded (uint32_t key_count)
{
  return (gsize)nodes (key_count) * PX_FANOUT;
}

/* Counted, not returned early, so that the compiler can use vectors.  */
static uint32_t
rank_v4 (const uint32_t node[PX_FANOUT], uint32_t address)
{
  uint32_t rank = 0;

  for (uint32_t i = 0; i < PX_FANOUT; i++)
    rank += node[i] <= address;
  return rank;
}

static uint32_t
rank_v6 (const Address node[PX_FANOUT], Address address)
{
  uint32_t rank = 0;

  for (uint32_t i = 0; i < PX_FANOUT; i++)
    rank += node[i] <= address;
  return rank;
}

static int
answer (uint16_t region)
{
  return region == REGION_NONE ? -1 : region;
}

/* The first key of each tree is 0, so a rank is at least 1.  */
int
px_match_v4 (const PxTable *table, uint32_t address)
{
  const V4Tree *tree = &table->v4;
  uint32_t index = 0;

  if (address == UINT32_MAX)
    return answer (tree->regions[tree->range_count - 1]);
  for (uint32_t level = tree->level_count; level-- > 0;)
    {
      const uint32_t *node = &tree->keys[level][(gsize)index * PX_FANOUT];

      index = index * PX_FANOUT + rank_v4 (node, address) - 1;
    }
  return answer (tree->regions[index]);
}

static int
match_v6 (const PxTable *table, Address address)
{
  const V6Tree *tree = &table->v6;
  uint32_t index = 0;

  if (address == ADDRESS_LAST)
    return answer (tree->regions[tree->range_count - 1]);
  for (uint32_t level = tree->level_count; level-- > 0;)
    {
      const Address *node = &tree->keys[level][(gsize)index * PX_FANOUT];

      index = index * PX_FANOUT + rank_v6 (node, address) - 1;
    }
  return answer (tree->regions[index]);
}

int
px_match (const PxTable *table, const uint8_t address[16])
{
  Address a = load (address);

  if (a >= V4_FIRST && a <= V4_LAST)
    return px_match_v4 (table, (uint32_t)a);
  return match_v6 (table, a);
}

static void
append_v4 (PxTable *table, uint32_t start, uint16_t region)
{
  V4Tree *tree = &table->v4;

  if (tree->range_count > 0 && tree->keys[0][tree->range_count - 1] == start)
    tree->range_count--;
  tree->keys[0][tree->range_count] = start;
  tree->regions[tree->range_count++] = region;
}

static void
append_v6 (PxTable *table, Address start, uint16_t region)
{
  V6Tree *tree = &table->v6;

  if (tree->range_count > 0 && tree->keys[0][tree->range_count - 1] == start)
    tree->range_count--;
  tree->keys[0][tree->range_count] = start;
  tree->regions[tree->range_count++] = region;
}

/* Begins a range.  Starts do not fall; an equal one replaces the range before.
   A range that reaches into or out of the IPv4 addresses is cut there.  */
static void
put (PxBuild *build, Address start, uint16_t region)
{
  if (!build->v4_begun && start >= V4_FIRST)
    {
      append_v4 (build->table, 0, build->region);
      build->v4_begun = TRUE;
    }
  if (!build->v4_ended && start > V4_LAST)
    {
      append_v6 (build->table, V4_LAST + 1, build->region);
      build->v4_ended = TRUE;
    }
  if (start >= V4_FIRST && start <= V4_LAST)
    append_v4 (build->table, (uint32_t)start, region);
  else
    append_v6 (build->table, start, region);
  build->region = region;
}

PxBuild *
px_build_new (const CfBlock *blocks, uint32_t count)
{
  PxBuild *build = g_new0 (PxBuild, 1);

  build->blocks = blocks;
  build->count = count;
  build->table = g_new0 (PxTable, 1);
  build->table->bytes = sizeof *build->table;
  build->region = REGION_NONE;
  return build;
}

void
px_build_free (PxBuild *build)
{
  if (build == NULL)
    return;
  px_table_free (build->table);
  g_clear_error (&build->error);
  g_free (build);
}

void
px_table_free (PxTable *table)
{
  if (table == NULL)
    return;
  for (uint32_t level = 0; level < LEVELS_MAX; level++)
    {
      g_aligned_free (table->v4.keys[level]);
      g_aligned_free (table->v6.keys[level]);
    }
  g_aligned_free (table->v4.regions);
  g_aligned_free (table->v6.regions);
  g_free (table);
}

static void
fail (PxBuild *build, PxError code, const char *what)
{
  build->error
      = g_error_new (PX_ERROR, code,
                     "block %" G_GUINT32_FORMAT " of %" G_GUINT32_FORMAT " %s",
                     build->next, build->count, what);
}

static gboolean
follows (const CfBlock *before, const CfBlock *block)
{
  int order = memcmp (before->address, block->address, sizeof block->address);

  return order < 0 || (order == 0 && before->prefix_bits < block->prefix_bits);
}

static void *
allocate (PxTable *table, gsize count, gsize size)
{
  table->bytes += count * size;
  return g_aligned_alloc (count, size, CACHE_LINE_BYTES);
}

/* Makes room for the ranges, now that the blocks of each kind are counted:
   each block begins a range and ends one, and three more come from the first
   address and the two ends of the IPv4 addresses.  */
static void
begin_flatten (PxBuild *build)
{
  PxTable *table = build->table;
  gsize v4 = padded (2 * build->v4_count + 3);
  gsize v6 = padded (2 * (build->count - build->v4_count) + 3);

  table->v4.keys[0] = allocate (table, v4, sizeof (uint32_t));
  table->v4.regions = allocate (table, v4, sizeof (uint16_t));
  table->v6.keys[0] = allocate (table, v6, sizeof (Address));
  table->v6.regions = allocate (table, v6, sizeof (uint16_t));
  append_v6 (table, 0, REGION_NONE);
  build->next = 0;
  build->phase = PHASE_FLATTEN;
}

static void
check_next (PxBuild *build)
{
  const CfBlock *block = &build->blocks[build->next];
  Address address;

  if (build->next == build->count)
    {
      begin_flatten (build);
      return;
    }
  if (block->prefix_bits > ADDRESS_BITS)
    {
      fail (build, PX_ERROR_RANGE, "has more than 128 prefix bits");
      return;
    }
  address = load (block->address);
  if ((address & host_mask (block->prefix_bits)) != 0)
    {
      fail (build, PX_ERROR_RANGE, "has bits set beyond its prefix");
      return;
    }
  if (block->region >= PX_REGION_MAX)
    {
      fail (build, PX_ERROR_RANGE, "has a region index out of range");
      return;
    }
  if (build->next > 0 && !follows (block - 1, block))
    {
      fail (build, PX_ERROR_ORDER, "does not follow the block before it");
      return;
    }
  if (block->prefix_bits >= V4_PREFIX_BITS && address >= V4_FIRST
      && address <= V4_LAST)
    build->v4_count++;
  build->next++;
}

/* Ends the innermost open block; its region gives way to that around it.  */
static void
close_innermost (PxBuild *build)
{
  const Open *inner = &build->open[--build->open_count];

  if (inner->last == ADDRESS_LAST)
    return;
  put (build, inner->last + 1,
       build->open_count > 0 ? build->open[build->open_count - 1].region
                             : REGION_NONE);
}

static void
flatten_next (PxBuild *build)
{
  const CfBlock *block = &build->blocks[build->next];
  Address start;

  if (build->next == build->count)
    {
      build->phase = PHASE_CLOSE;
      return;
    }
  start = load (block->address);
  if (build->open_count > 0 && build->open[build->open_count - 1].last < start)
    {
      close_innermost (build);
      return;
    }
  g_assert (build->open_count <= ADDRESS_BITS);
  build->open[build->open_count++]
      = (Open){ .last = start | host_mask (block->prefix_bits),
                .region = block->region };
  put (build, start, block->region);
  build->next++;
}

/* Counts the keys of each level of a tree; returns the number of levels.  */
static uint32_t
count_keys (uint32_t key_counts[LEVELS_MAX], uint32_t range_count)
{
  uint32_t levels = 1;

  key_counts[0] = range_count;
  while (key_counts[levels - 1] > PX_FANOUT)
    {
      g_assert (levels < LEVELS_MAX);
      key_counts[levels] = nodes (key_counts[levels - 1]);
      levels++;
    }
  return levels;
}

/* Fills up the last node of the ranges and makes room for the levels above. */
static void
begin_index (PxBuild *build)
{
  PxTable *table = build->table;
  V4Tree *v4 = &table->v4;
  V6Tree *v6 = &table->v6;

  for (gsize i = v4->range_count; i < padded (v4->range_count); i++)
    v4->keys[0][i] = UINT32_MAX;
  for (gsize i = v6->range_count; i < padded (v6->range_count); i++)
    v6->keys[0][i] = ADDRESS_LAST;
  v4->level_count = count_keys (v4->key_counts, v4->range_count);
  v6->level_count = count_keys (v6->key_counts, v6->range_count);
  for (uint32_t level = 1; level < v4->level_count; level++)
    v4->keys[level]
        = allocate (table, padded (v4->key_counts[level]), sizeof (uint32_t));
  for (uint32_t level = 1; level < v6->level_count; level++)
    v6->keys[level]
        = allocate (table, padded (v6->key_counts[level]), sizeof (Address));
  build->level = 1;
  build->next = 0;
  build->phase = PHASE_INDEX_V4;
}

static void
close_next (PxBuild *build)
{
  if (build->open_count > 0)
    {
      close_innermost (build);
      return;
    }
  if (!build->v4_ended)
    put (build, V4_LAST + 1, build->region);
  begin_index (build);
}

/* Moves on after a key was written at a level of KEY_COUNT keys.  */
static void
advance (PxBuild *build, uint32_t key_count)
{
  if (++build->next < padded (key_count))
    return;
  build->next = 0;
  build->level++;
}

static void
index_v4_next (PxBuild *build)
{
  V4Tree *tree = &build->table->v4;
  uint32_t count;

  if (build->level == tree->level_count)
    {
      build->level = 1;
      build->phase = PHASE_INDEX_V6;
      return;
    }
  count = tree->key_counts[build->level];
  tree->keys[build->level][build->next]
      = build->next < count
            ? tree->keys[build->level - 1][(gsize)build->next * PX_FANOUT]
            : UINT32_MAX;
  advance (build, count);
}

static void
index_v6_next (PxBuild *build)
{
  V6Tree *tree = &build->table->v6;
  uint32_t count;

  if (build->level == tree->level_count)
    {
      build->phase = PHASE_DONE;
      return;
    }
  count = tree->key_counts[build->level];
  tree->keys[build->level][build->next]
      = build->next < count
            ? tree->keys[build->level - 1][(gsize)build->next * PX_FANOUT]
            : ADDRESS_LAST;
  advance (build, count);
}

PxStep
px_build_step (PxBuild *build, uint32_t budget_count, GError **error)
{
  static void (*const work[]) (PxBuild *) = {
    [PHASE_CHECK] = check_next,       [PHASE_FLATTEN] = flatten_next,
    [PHASE_CLOSE] = close_next,       [PHASE_INDEX_V4] = index_v4_next,
    [PHASE_INDEX_V6] = index_v6_next,
  };

  while (budget_count-- > 0 && build->phase != PHASE_DONE
         && build->error == NULL)
    work[build->phase](build);
  if (build->error != NULL)
    {
      g_propagate_error (error, g_error_copy (build->error));
      return PX_STEP_FAILED;
    }
  return build->phase == PHASE_DONE ? PX_STEP_DONE : PX_STEP_MORE;
}

PxTable *
px_build_finish (PxBuild *build)
{
  PxTable *table = g_steal_pointer (&build->table);

  g_assert (build->phase == PHASE_DONE);
  px_build_free (build);
  return table;
}

PxTable *
px_table_new (const CfBlock *blocks, uint32_t count, GError **error)
{
  PxBuild *build = px_build_new (blocks, count);

  if (px_build_step (build, UINT32_MAX, error) == PX_STEP_DONE)
    return px_build_finish (build);
  px_build_free (build);
  return NULL;
}

gsize
px_table_bytes (const PxTable *table)
{
  return table->bytes;
}

uint32_t
px_table_range_count (const PxTable *table)
{
  return table->v4.range_count + table->v6.range_count;
}
