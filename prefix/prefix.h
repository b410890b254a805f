/* prefix.h - longest-prefix match from client addresses to regions

   SYNOPSIS
     PxBuild *build = px_build_new (blocks, block_count);
     while ((step = px_build_step (build, 2000, &error)) == PX_STEP_MORE)
       ;                                 // return to the event loop here
     PxTable *table = px_build_finish (build);
     int region = px_match (table, address);

   DESCRIPTION
     A table is immutable and answers which region the longest block that
     contains an address belongs to.  IPv4 addresses are those within
     ::ffff:0:0/96.

     A build reads the blocks in bounded steps and leaves every existing table
     alone, so the caller uses its old table until px_build_finish returns the
     new one.  The blocks are borrowed until then.  A step does at most the
     given number of units of work; a unit takes some tens of nanoseconds, and
     a whole build takes at most PX_UNITS_PER_BLOCK units a block and a few
     more.

     The blocks are flattened into ranges that do not overlap, and the starts
     of the ranges are searched through a static tree of PX_FANOUT keys a
     node.  A table has at most two ranges a block and three more.

   ERRORS
     PX_ERROR_ORDER      a block does not follow the one before by address and
                         prefix length, or stands twice
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
  PX_STEP_MORE,
  PX_STEP_DONE,
  PX_STEP_FAILED,
} PxStep;

typedef struct PxTable PxTable;
typedef struct PxBuild PxBuild;

GQuark px_error_quark (void);

/* Begins a build over COUNT blocks in the order of CfConfig.blocks.  BLOCKS
   stays with the caller and must not change until the build is freed.  */
PxBuild *px_build_new (const CfBlock *blocks, uint32_t count);

/* Does at most BUDGET_COUNT units of work.  On PX_STEP_FAILED, ERROR is set
   and every further step fails in the same way.  */
PxStep px_build_step (PxBuild *build, uint32_t budget_count, GError **error);

/* Returns the table of a build whose step returned PX_STEP_DONE, and frees the
   build.  */
PxTable *px_build_finish (PxBuild *build);

/* Gives up a build.  */
void px_build_free (PxBuild *build);

/* All steps at once, for programs without an event loop.  */
PxTable *px_table_new (const CfBlock *blocks, uint32_t count, GError **error);

void px_table_free (PxTable *table);

/* Index of the region of ADDRESS (IPv4 as ::ffff:a.b.c.d), or -1.  */
int px_match (const PxTable *table, const uint8_t address[16]);

/* The same for an IPv4 address in host order.  */
int px_match_v4 (const PxTable *table, uint32_t address);

/* Memory that the table takes.  */
gsize px_table_bytes (const PxTable *table);

/* Number of ranges, for the status page.  */
uint32_t px_table_range_count (const PxTable *table);

G_DEFINE_AUTOPTR_CLEANUP_FUNC (PxTable, px_table_free)

#endif
