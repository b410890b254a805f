#include "prefix/prefix.h"

#include <string.h>

typedef unsigned __int128 Address;

#define ADDRESS_BITS 128
#define ADDRESS_LAST (~(Address)0)
#define V4_FIRST ((Address)0xffff << 32)
#define V4_LAST (V4_FIRST | 0xffffffff)
#define V4_PREFIX_BITS 96

#define REGION_NONE PX_REGION_MAX

/* Nodes are aligned so that a node of IPv4 keys fills one cache line.  */
#define CACHE_LINE_BYTES 64

/* 8 levels index 16^8 keys, more than the 32-bit counts can hold.  */
#define LEVELS_MAX 8

/* A static B-tree of the starts of ranges, and the region of each range.
   Level 0 has all starts; each level above has the first key of each node
   below it.  Each level is padded to whole nodes with the last address.
   Padding keys are above every other address, so only the search for the last
   address would count them; the match functions handle it separately.  */
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
} OpenBlock;

struct PxBuild
{
  const CfBlock *blocks;
  uint32_t count;
  uint32_t v4_count;
  Phase phase;
  uint32_t next;  /* index of the block, or of the key in the level */
  uint32_t level; /* of the tree, while it is indexed */
  GError *error;
  PxTable *table;
  uint16_t last_region; /* of the range started last */
  gboolean v4_started;  /* a range was started at V4_FIRST */
  gboolean v4_ended;    /* a range was started after V4_LAST */
  uint32_t open_block_count;
  /* Stack of the blocks that contain the current one.  */
  OpenBlock open_blocks[ADDRESS_BITS + 1];
};

G_DEFINE_QUARK (px_error, px_error)

static Address
load_address (const uint8_t bytes[16])
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
node_count (uint32_t key_count)
{
  return (key_count + PX_FANOUT - 1) / PX_FANOUT;
}

static gsize
padded_key_count (uint32_t key_count)
{
  return (gsize)node_count (key_count) * PX_FANOUT;
}

/* Returns the number of keys in NODE up to and including ADDRESS.  Compares
   all keys, without an early return, so that the compiler can vectorize the
   loop.  */
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
region_or_none (uint16_t region)
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
    return region_or_none (tree->regions[tree->range_count - 1]);
  for (uint32_t level = tree->level_count; level-- > 0;)
    {
      const uint32_t *node = &tree->keys[level][(gsize)index * PX_FANOUT];

      index = index * PX_FANOUT + rank_v4 (node, address) - 1;
    }
  return region_or_none (tree->regions[index]);
}

static int
match_v6 (const PxTable *table, Address address)
{
  const V6Tree *tree = &table->v6;
  uint32_t index = 0;

  if (address == ADDRESS_LAST)
    return region_or_none (tree->regions[tree->range_count - 1]);
  for (uint32_t level = tree->level_count; level-- > 0;)
    {
      const Address *node = &tree->keys[level][(gsize)index * PX_FANOUT];

      index = index * PX_FANOUT + rank_v6 (node, address) - 1;
    }
  return region_or_none (tree->regions[index]);
}

int
px_match (const PxTable *table, const uint8_t address[16])
{
  Address a = load_address (address);

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

/* Starts a range.  Starts never decrease; an equal start replaces the previous
   range.  A range that crosses the first or last IPv4 address is split
   there.  */
static void
start_range (PxBuild *build, Address start, uint16_t region)
{
  if (!build->v4_started && start >= V4_FIRST)
    {
      append_v4 (build->table, 0, build->last_region);
      build->v4_started = TRUE;
    }
  if (!build->v4_ended && start > V4_LAST)
    {
      append_v6 (build->table, V4_LAST + 1, build->last_region);
      build->v4_ended = TRUE;
    }
  if (start >= V4_FIRST && start <= V4_LAST)
    append_v4 (build->table, (uint32_t)start, region);
  else
    append_v6 (build->table, start, region);
  build->last_region = region;
}

PxBuild *
px_build_new (const CfBlock *blocks, uint32_t count)
{
  PxBuild *build = g_new0 (PxBuild, 1);

  build->blocks = blocks;
  build->count = count;
  build->table = g_new0 (PxTable, 1);
  build->table->bytes = sizeof *build->table;
  build->last_region = REGION_NONE;
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
set_error (PxBuild *build, PxError code, const char *what)
{
  build->error
      = g_error_new (PX_ERROR, code,
                     "block %" G_GUINT32_FORMAT " of %" G_GUINT32_FORMAT " %s",
                     build->next, build->count, what);
}

static gboolean
is_in_order (const CfBlock *before, const CfBlock *block)
{
  int order = memcmp (before->address, block->address, sizeof block->address);

  return order < 0 || (order == 0 && before->prefix_bits < block->prefix_bits);
}

static void *
alloc_array (PxTable *table, gsize count, gsize size)
{
  table->bytes += count * size;
  return g_aligned_alloc (count, size, CACHE_LINE_BYTES);
}

/* Allocates the ranges after the IPv4 blocks have been counted.  Each block
   starts at most two ranges, at its first address and after its last; three
   more start at address 0 and at the two ends of the IPv4 addresses.  */
static void
begin_flatten (PxBuild *build)
{
  PxTable *table = build->table;
  gsize v4 = padded_key_count (2 * build->v4_count + 3);
  gsize v6 = padded_key_count (2 * (build->count - build->v4_count) + 3);

  table->v4.keys[0] = alloc_array (table, v4, sizeof (uint32_t));
  table->v4.regions = alloc_array (table, v4, sizeof (uint16_t));
  table->v6.keys[0] = alloc_array (table, v6, sizeof (Address));
  table->v6.regions = alloc_array (table, v6, sizeof (uint16_t));
  append_v6 (table, 0, REGION_NONE);
  build->next = 0;
  build->phase = PHASE_FLATTEN;
}

static void
check_block (PxBuild *build)
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
      set_error (build, PX_ERROR_RANGE, "has more than 128 prefix bits");
      return;
    }
  address = load_address (block->address);
  if ((address & host_mask (block->prefix_bits)) != 0)
    {
      set_error (build, PX_ERROR_RANGE, "has bits set beyond its prefix");
      return;
    }
  if (block->region >= PX_REGION_MAX)
    {
      set_error (build, PX_ERROR_RANGE, "has a region index out of range");
      return;
    }
  if (build->next > 0 && !is_in_order (block - 1, block))
    {
      set_error (build, PX_ERROR_ORDER, "is a duplicate or out of order");
      return;
    }
  if (block->prefix_bits >= V4_PREFIX_BITS && address >= V4_FIRST
      && address <= V4_LAST)
    build->v4_count++;
  build->next++;
}

/* Closes the innermost open block; the addresses after it belong to the block
   that contains it, or to no region.  */
static void
close_inner_block (PxBuild *build)
{
  const OpenBlock *inner = &build->open_blocks[--build->open_block_count];

  if (inner->last == ADDRESS_LAST)
    return;
  start_range (build, inner->last + 1,
               build->open_block_count > 0
                   ? build->open_blocks[build->open_block_count - 1].region
                   : REGION_NONE);
}

/* Closes one open block that ends before the next block or, if there is none,
   opens the next block.  */
static void
flatten_block (PxBuild *build)
{
  const CfBlock *block = &build->blocks[build->next];
  Address start;

  if (build->next == build->count)
    {
      build->phase = PHASE_CLOSE;
      return;
    }
  start = load_address (block->address);
  if (build->open_block_count > 0
      && build->open_blocks[build->open_block_count - 1].last < start)
    {
      close_inner_block (build);
      return;
    }
  g_assert (build->open_block_count <= ADDRESS_BITS);
  build->open_blocks[build->open_block_count++]
      = (OpenBlock){ .last = start | host_mask (block->prefix_bits),
                     .region = block->region };
  start_range (build, start, block->region);
  build->next++;
}

/* Fills in the number of keys of each level; returns the number of levels.  */
static uint32_t
count_keys (uint32_t key_counts[LEVELS_MAX], uint32_t range_count)
{
  uint32_t levels = 1;

  key_counts[0] = range_count;
  while (key_counts[levels - 1] > PX_FANOUT)
    {
      g_assert (levels < LEVELS_MAX);
      key_counts[levels] = node_count (key_counts[levels - 1]);
      levels++;
    }
  return levels;
}

/* Pads the last node of level 0 and allocates the levels above.  */
static void
begin_index (PxBuild *build)
{
  PxTable *table = build->table;
  V4Tree *v4 = &table->v4;
  V6Tree *v6 = &table->v6;

  for (gsize i = v4->range_count; i < padded_key_count (v4->range_count); i++)
    v4->keys[0][i] = UINT32_MAX;
  for (gsize i = v6->range_count; i < padded_key_count (v6->range_count); i++)
    v6->keys[0][i] = ADDRESS_LAST;
  v4->level_count = count_keys (v4->key_counts, v4->range_count);
  v6->level_count = count_keys (v6->key_counts, v6->range_count);
  for (uint32_t level = 1; level < v4->level_count; level++)
    v4->keys[level] = alloc_array (
        table, padded_key_count (v4->key_counts[level]), sizeof (uint32_t));
  for (uint32_t level = 1; level < v6->level_count; level++)
    v6->keys[level] = alloc_array (
        table, padded_key_count (v6->key_counts[level]), sizeof (Address));
  build->level = 1;
  build->next = 0;
  build->phase = PHASE_INDEX_V4;
}

static void
close_remaining_block (PxBuild *build)
{
  if (build->open_block_count > 0)
    {
      close_inner_block (build);
      return;
    }
  if (!build->v4_ended)
    start_range (build, V4_LAST + 1, build->last_region);
  begin_index (build);
}

/* Moves to the next key, or to the next level at the end of a padded level of
   KEY_COUNT keys.  */
static void
next_index_key (PxBuild *build, uint32_t key_count)
{
  if (++build->next < padded_key_count (key_count))
    return;
  build->next = 0;
  build->level++;
}

static void
fill_index_v4 (PxBuild *build)
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
  next_index_key (build, count);
}

static void
fill_index_v6 (PxBuild *build)
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
  next_index_key (build, count);
}

PxBuildStatus
px_build_step (PxBuild *build, uint32_t units_max, GError **error)
{
  static void (*const phase_steps[]) (PxBuild *) = {
    [PHASE_CHECK] = check_block,           [PHASE_FLATTEN] = flatten_block,
    [PHASE_CLOSE] = close_remaining_block, [PHASE_INDEX_V4] = fill_index_v4,
    [PHASE_INDEX_V6] = fill_index_v6,
  };

  while (units_max-- > 0 && build->phase != PHASE_DONE && build->error == NULL)
    phase_steps[build->phase](build);
  if (build->error != NULL)
    {
      g_propagate_error (error, g_error_copy (build->error));
      return PX_BUILD_FAILED;
    }
  return build->phase == PHASE_DONE ? PX_BUILD_DONE : PX_BUILD_RUNNING;
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

  if (px_build_step (build, UINT32_MAX, error) == PX_BUILD_DONE)
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
