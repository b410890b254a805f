/* prefix.h - longest-prefix match from client addresses to regions

   SYNOPSIS
     PxBuild *build = px_build_new (blocks, block_count);
     while ((step = px_build_step (build, 2000, &error)) == PX_BUILD_RUNNING)
       ;                                 // return to the event loop here
     PxTable *table = px_build_finish (build);
     int region = px_match (table, address);

   DESCRIPTION
     A table is immutable and maps an address to the region of the longest
     block that contains it.  IPv4 addresses are those within ::ffff:0:0/96.

     A build processes the blocks in bounded steps and does not touch existing
     tables, so the caller uses its old table until px_build_finish returns
     the new one.  The blocks must stay valid until then.  A step does at most
     the given number of units of work, each for one block or one key.  A unit
     takes some tens of nanoseconds; a whole build takes at most
     PX_UNITS_PER_BLOCK units per block plus a small constant.

     The blocks are flattened into ranges that do not overlap.  The starts of
     the ranges are searched in a static B-tree of PX_FANOUT keys per node.  A
     table has at most two ranges per block and three more.

   ERRORS
     PX_ERROR_ORDER      the blocks are not sorted by address and prefix
                         length, or contain a duplicate
     PX_ERROR_RANGE      prefix_bits is above 128, address bits are set beyond
                         the prefix, or the region is PX_REGION_MAX or more  */

#ifndef PX_PREFIX_H
#define PX_PREFIX_H

#include <glib.h>
#include <stdint.h>

#include "conf/conf.h"

#define PX_FANOUT 16
#define PX_REGION_MAX 0xffff
#define PX_UNITS_PER_BLOCK 4

#define PX_ERROR (px_error_quark ())

typedef enum
{
  PX_ERROR_ORDER,
  PX_ERROR_RANGE,
} PxError;

typedef enum
{
  PX_BUILD_RUNNING,
  PX_BUILD_DONE,
  PX_BUILD_FAILED,
} PxBuildStatus;

typedef struct PxTable PxTable;
typedef struct PxBuild PxBuild;

GQuark px_error_quark (void);

/* Starts a build of COUNT blocks, ordered as in CfConfig.blocks.  The caller
   keeps ownership of BLOCKS and must not change them until the build is
   freed.  */
PxBuild *px_build_new (const CfBlock *blocks, uint32_t count);

/* Does at most UNITS_MAX units of work.  On PX_BUILD_FAILED, ERROR is
   set, and each further step fails with the same error.  */
PxBuildStatus px_build_step (PxBuild *build, uint32_t units_max,
                             GError **error);

/* Returns the table of a build whose step returned PX_BUILD_DONE, and frees
   the build.  */
PxTable *px_build_finish (PxBuild *build);

/* Frees a build that has not been finished.  */
void px_build_free (PxBuild *build);

/* Runs a whole build, for programs without an event loop.  Returns NULL and
   sets ERROR if it fails.  */
PxTable *px_table_new (const CfBlock *blocks, uint32_t count, GError **error);

void px_table_free (PxTable *table);

/* Returns the index of the region of ADDRESS (IPv4 as ::ffff:a.b.c.d), or -1
   if no block contains it.  */
int px_match (const PxTable *table, const uint8_t address[16]);

/* Like px_match, for an IPv4 address in host byte order.  */
int px_match_v4 (const PxTable *table, uint32_t address);

/* Returns the memory that the table uses, in bytes.  */
gsize px_table_bytes (const PxTable *table);

uint32_t px_table_range_count (const PxTable *table);

G_DEFINE_AUTOPTR_CLEANUP_FUNC (PxTable, px_table_free)

#endif
