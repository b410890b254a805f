#include <gtest/gtest.h>

#include <algorithm>
#include <cstring>
#include <random>
#include <vector>

extern "C"
{
#include "prefix/prefix.h"
}

namespace
{

using Bytes = std::array<uint8_t, 16>;

CfBlock
make_block (Bytes address, uint8_t bits, uint16_t region)
{
  CfBlock b = {};
  for (int i = 0; i < 128; i++)
    if (i >= bits)
      address[i / 8] &= ~(0x80 >> i % 8);
  memcpy (b.address, address.data (), 16);
  b.prefix_bits = bits;
  b.region = region;
  return b;
}

bool
is_before (const CfBlock &a, const CfBlock &b)
{
  int order = memcmp (a.address, b.address, 16);
  return order != 0 ? order < 0 : a.prefix_bits < b.prefix_bits;
}

bool
is_same (const CfBlock &a, const CfBlock &b)
{
  return !is_before (a, b) && !is_before (b, a);
}

bool
contains (const CfBlock &b, const Bytes &address)
{
  for (int i = 0; i < b.prefix_bits; i++)
    if ((b.address[i / 8] ^ address[i / 8]) & (0x80 >> i % 8))
      return false;
  return true;
}

/* Reference implementation of px_match.  */
int
linear_scan (const std::vector<CfBlock> &blocks, const Bytes &address)
{
  const CfBlock *best = nullptr;
  for (const CfBlock &b : blocks)
    if (contains (b, address)
        && (best == nullptr || b.prefix_bits >= best->prefix_bits))
      best = &b;
  return best == nullptr ? -1 : best->region;
}

/* Returns an address of which most bytes are 0, 0xff or 1, so that blocks
   often nest and adjoin.  */
Bytes
random_address (std::mt19937_64 &random)
{
  static const Bytes roots[]
      = { { 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0xff, 0xff }, { 0x20, 0x01 }, {} };
  uint32_t kind = random () % 4;
  Bytes address = kind < 3 ? roots[kind] : Bytes{};
  for (int i = kind == 0 ? 12 : kind == 1 ? 2 : 0; i < 16; i++)
    {
      uint8_t choices[] = { 0, 0xff, 1, (uint8_t)random () };
      address[i] = choices[random () % 4];
    }
  return address;
}

std::vector<CfBlock>
random_blocks (std::mt19937_64 &random, uint32_t count)
{
  std::vector<CfBlock> blocks;
  for (uint32_t i = 0; i < count; i++)
    {
      Bytes address = random_address (random);
      uint8_t bits = random () % 8 ? 64 + random () % 65 : random () % 129;
      blocks.push_back (make_block (address, bits, random () % 6));
    }
  std::sort (blocks.begin (), blocks.end (), is_before);
  blocks.erase (std::unique (blocks.begin (), blocks.end (), is_same),
                blocks.end ());
  return blocks;
}

/* Returns the first and last address of a block and those next to them.  */
std::vector<Bytes>
edge_addresses (const CfBlock &b)
{
  Bytes first, last;
  memcpy (first.data (), b.address, 16);
  last = first;
  for (int i = b.prefix_bits; i < 128; i++)
    last[i / 8] |= 0x80 >> i % 8;
  Bytes below = first, above = last;
  for (int i = 15; i >= 0 && below[i]-- == 0; i--)
    ;
  for (int i = 15; i >= 0 && ++above[i] == 0; i--)
    ;
  return { first, last, below, above };
}

/* Guards against a range that is missing, is split wrongly at the ends of the
   IPv4 addresses, or gets the region of the outer of two nested blocks.  */
TEST (Prefix, AgreesWithLinearScan)
{
  for (uint64_t seed = 1; seed <= 60; seed++)
    {
      SCOPED_TRACE ("seed " + std::to_string (seed));
      std::mt19937_64 random (seed);
      std::vector<CfBlock> blocks = random_blocks (random, random () % 400);
      g_autoptr (PxTable) table
          = px_table_new (blocks.data (), blocks.size (), nullptr);
      ASSERT_NE (nullptr, table);
      std::vector<Bytes> addresses;
      for (const CfBlock &b : blocks)
        for (const Bytes &edge : edge_addresses (b))
          addresses.push_back (edge);
      for (int i = 0; i < 500; i++)
        addresses.push_back (random_address (random));
      for (const Bytes &address : addresses)
        ASSERT_EQ (linear_scan (blocks, address),
                   px_match (table, address.data ()));
    }
}

/* Guards against a crash or a match in a table without blocks, and against a
   block of prefix length 0 that misses IPv4 or the last addresses.  */
TEST (Prefix, HandlesEmptyTableAndDefaultBlock)
{
  Bytes last_v4
      = { 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0xff, 0xff, 255, 255, 255, 255 };
  Bytes last_v6;
  last_v6.fill (0xff);
  CfBlock default_block = make_block ({}, 0, 3);
  g_autoptr (PxTable) empty_table = px_table_new (nullptr, 0, nullptr);
  g_autoptr (PxTable) default_table
      = px_table_new (&default_block, 1, nullptr);

  EXPECT_EQ (-1, px_match (empty_table, last_v4.data ()));
  EXPECT_EQ (-1, px_match (empty_table, last_v6.data ()));
  EXPECT_EQ (3, px_match (default_table, last_v4.data ()));
  EXPECT_EQ (3, px_match (default_table, last_v6.data ()));
  EXPECT_EQ (3, px_match_v4 (default_table, 0));
}

/* Guards against a build that needs more units of work than documented, or a
   step that does more than its limit, which stalls the event loop, and against
   a result that depends on the size of the steps.  */
TEST (Prefix, BuildStepsAreBounded)
{
  std::mt19937_64 random (7);
  std::vector<CfBlock> blocks = random_blocks (random, 3000);
  PxBuild *build = px_build_new (blocks.data (), blocks.size ());
  uint32_t steps = 0;

  while (px_build_step (build, 10, nullptr) == PX_BUILD_RUNNING)
    steps++;
  EXPECT_LE (steps * 10, PX_UNITS_PER_BLOCK * blocks.size () + 100);
  EXPECT_GE (steps * 10, blocks.size ());
  g_autoptr (PxTable) table = px_build_finish (build);
  for (int i = 0; i < 1000; i++)
    {
      Bytes address = random_address (random);
      ASSERT_EQ (linear_scan (blocks, address),
                 px_match (table, address.data ()));
    }
}

/* Guards against a table that needs more than 32 MB for 190,000 blocks in the
   worst case: all blocks are IPv6 and no two ranges merge.  */
TEST (Prefix, MemoryIsBounded)
{
  std::vector<CfBlock> blocks;
  for (uint32_t i = 0; i < 190000; i++)
    {
      Bytes a
          = { 0x20, 0x01, (uint8_t)(i >> 16), (uint8_t)(i >> 8), (uint8_t)i };
      blocks.push_back (make_block (a, 48, i % 6));
    }
  g_autoptr (PxTable) table
      = px_table_new (blocks.data (), blocks.size (), nullptr);
  EXPECT_LE (px_table_bytes (table), 32u * 1000 * 1000);
}

/* Guards against wrong matches from blocks that the algorithm cannot handle,
   which must be rejected.  */
TEST (Prefix, RejectsInvalidBlocks)
{
  CfBlock good = make_block ({ 0x20, 0x01 }, 16, 1);
  CfBlock inner = make_block ({ 0x20, 0x01 }, 32, 1);
  CfBlock host_bit_set = good, too_long = good, region_too_high = good;
  host_bit_set.address[15] = 1;
  too_long.prefix_bits = 129;
  region_too_high.region = PX_REGION_MAX;
  struct
  {
    std::vector<CfBlock> blocks;
    PxError code;
  } cases[] = { { { inner, good }, PX_ERROR_ORDER },
                { { good, good }, PX_ERROR_ORDER },
                { { host_bit_set }, PX_ERROR_RANGE },
                { { too_long }, PX_ERROR_RANGE },
                { { region_too_high }, PX_ERROR_RANGE } };
  for (const auto &c : cases)
    {
      g_autoptr (GError) error = nullptr;
      EXPECT_EQ (nullptr,
                 px_table_new (c.blocks.data (), c.blocks.size (), &error));
      EXPECT_TRUE (g_error_matches (error, PX_ERROR, c.code));
    }
}

}
