/* Prints, for tables of random blocks, the memory, the time of the build and
   of its longest step, and the time of a match.  */

#include "prefix/prefix.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define MATCH_COUNT 2000000
/* Fewer addresses would leave part of the table unread.  More would add the
   time to load them from memory; a server has the address in its CPU cache. */
#define ADDRESS_COUNT (1 << 16)
#define STEP_UNITS 2000
#define SEED 1

static int64_t
clock_ns (void)
{
  struct timespec t;

  clock_gettime (CLOCK_MONOTONIC, &t);
  return (int64_t)t.tv_sec * 1000000000 + t.tv_nsec;
}

static uint64_t
next_random (uint64_t *state)
{
  uint64_t z = (*state += 0x9e3779b97f4a7c15);

  z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9;
  z = (z ^ (z >> 27)) * 0x94d049bb133111eb;
  return z ^ (z >> 31);
}

static void
random_address (uint64_t *state, gboolean v4, uint8_t address[16])
{
  uint64_t low = next_random (state);
  uint64_t high = next_random (state);

  memset (address, 0, 16);
  if (v4)
    {
      address[10] = address[11] = 0xff;
      memcpy (address + 12, &low, 4);
      return;
    }
  memcpy (address, &high, 8);
  memcpy (address + 8, &low, 8);
  address[0] = 0x20;
  address[1] &= 0x0f;
}

static void
clear_host_bits (CfBlock *block)
{
  for (uint32_t i = block->prefix_bits; i < 128; i++)
    block->address[i / 8] &= (uint8_t) ~(0x80 >> i % 8);
}

static int
compare_blocks (const void *a, const void *b)
{
  const CfBlock *left = a;
  const CfBlock *right = b;
  int order = memcmp (left->address, right->address, 16);

  return order != 0 ? order : left->prefix_bits - right->prefix_bits;
}

/* Returns COUNT distinct blocks: a fifth IPv6 of 32 to 56 bits, the rest IPv4
   of 12 to 28 bits.  */
static CfBlock *
random_blocks (uint32_t count)
{
  CfBlock *blocks = g_new0 (CfBlock, count);
  uint64_t state = SEED;
  uint32_t kept = 0;

  while (kept < count)
    {
      for (uint32_t i = kept; i < count; i++)
        {
          gboolean v4 = next_random (&state) % 5 != 0;
          CfBlock *block = &blocks[i];

          random_address (&state, v4, block->address);
          block->prefix_bits = v4 ? (uint8_t)(108 + next_random (&state) % 17)
                                  : (uint8_t)(32 + next_random (&state) % 25);
          block->region = (uint16_t)(next_random (&state) % 6);
          clear_host_bits (block);
        }
      qsort (blocks, count, sizeof *blocks, compare_blocks);
      kept = 1;
      for (uint32_t i = 1; i < count; i++)
        if (compare_blocks (&blocks[kept - 1], &blocks[i]) != 0)
          blocks[kept++] = blocks[i];
    }
  return blocks;
}

static double
match_ns (const PxTable *table, gboolean v4)
{
  uint8_t (*addresses)[16] = g_malloc (sizeof *addresses * ADDRESS_COUNT);
  uint64_t state = SEED + 1;
  int64_t start;
  int64_t end;
  int sum = 0;

  for (uint32_t i = 0; i < ADDRESS_COUNT; i++)
    random_address (&state, v4, addresses[i]);
  start = clock_ns ();
  /* Each address depends on the previous result, so that the CPU cannot
     overlap matches; in a server they do not overlap either.  */
  for (uint32_t i = 0; i < MATCH_COUNT; i++)
    sum += px_match (table,
                     addresses[(i + (uint32_t)(sum & 1)) % ADDRESS_COUNT]);
  end = clock_ns ();
  g_free (addresses);
  /* Uses the sum, so that the compiler keeps the loop.  */
  if (sum == INT32_MIN)
    printf ("unlikely\n");
  return (double)(end - start) / MATCH_COUNT;
}

int
main (void)
{
  static const uint32_t counts[] = { 1000, 10000, 190000 };

  printf ("blocks\tranges\tbytes\tbuild_us\tlongest_step_us\tv4_ns\tv6_ns\n");
  for (size_t i = 0; i < G_N_ELEMENTS (counts); i++)
    {
      CfBlock *blocks = random_blocks (counts[i]);
      int64_t begin = clock_ns ();
      int64_t longest = 0;
      PxBuild *build = px_build_new (blocks, counts[i]);
      PxBuildStatus step = PX_BUILD_RUNNING;
      PxTable *table;
      int64_t end;

      while (step == PX_BUILD_RUNNING)
        {
          int64_t start = clock_ns ();

          step = px_build_step (build, STEP_UNITS, NULL);
          longest = MAX (longest, clock_ns () - start);
        }
      table = px_build_finish (build);
      end = clock_ns ();
      printf ("%u\t%u\t%zu\t%.0f\t%.0f\t%.1f\t%.1f\n", counts[i],
              px_table_range_count (table), px_table_bytes (table),
              (double)(end - begin) / 1e3, (double)longest / 1e3,
              match_ns (table, TRUE), match_ns (table, FALSE));
      px_table_free (table);
      g_free (blocks);
    }
  return 0;
}
