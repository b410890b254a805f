/* memory.h - message bodies, and a bound on what all of them hold

   SYNOPSIS
     MmBudget *budget = mm_budget_new (80 * 1024 * 1024);
     MmBlock *body = mm_block_new (budget);
     if (mm_block_reserve (body, content_length_bytes))
       g_byte_array_append (mm_block_bytes (body), bytes, length);
     mm_block_unref (body);

   DESCRIPTION
     A block is a body that its holders share by reference, so that it is held
     once.  It counts in its budget for what was reserved until the last
     reference is gone.  Up to MM_SMALL_BYTES of each block always fit: a large
     body is never in the way of small ones.

     A block counts for its bytes.  After mm_configure_allocator a large one
     costs at most a page more.

     A user that waits for room calls mm_budget_set_on_room; the function is
     called from within the release of a block, which may be a call of the user
     itself, so it should only schedule what is to be done.

   ERRORS
     A reservation that does not fit changes nothing.  */

#ifndef MM_MEMORY_H
#define MM_MEMORY_H

#include <glib.h>
#include <stdint.h>

#define MM_SMALL_BYTES (64 * 1024)

typedef struct MmBudget MmBudget;
typedef struct MmBlock MmBlock;

/* Maps each large allocation by itself, so that a body that grows is not
   copied within the heap, leaves no holes there, and returns its memory when
   it is freed.  Call it once, before the first allocation of a body.  */
void mm_configure_allocator (void);
/* Returns unused pages of the heap to the system, if there are many.  Small
   allocations of a crowd leave them behind.  */
void mm_trim_heap (void);
/* What an array of LENGTH_BYTES, at most MM_SMALL_BYTES, costs.  */
uint64_t mm_small_cost_bytes (uint64_t length_bytes);

MmBudget *mm_budget_new (uint64_t limit_bytes);
/* Blocks keep their budget.  */
void mm_budget_unref (MmBudget *budget);

uint64_t mm_budget_limit (const MmBudget *budget);
uint64_t mm_budget_used (const MmBudget *budget);
uint64_t mm_budget_peak (const MmBudget *budget);
/* Reservations that did not fit.  */
uint64_t mm_budget_refused_count (const MmBudget *budget);

void mm_budget_set_on_room (MmBudget *budget, void (*on_room) (void *data),
                            void *data);

/* Bytes for which a user waits; whoever holds some that it can give up looks
   for them.  */
typedef struct
{
  uint8_t address[16]; /* of the caller for whom they are */
  uint64_t bytes;
  int64_t since_us;
  GList node; /* private */
} MmWant;

/* WANT must stay valid until it is removed.  */
void mm_budget_add_want (MmBudget *budget, MmWant *want);
void mm_budget_remove_want (MmBudget *budget, MmWant *want);
/* The oldest one, or NULL; the others follow in node.next.  */
const MmWant *mm_budget_first_want (const MmBudget *budget);

/* BUDGET may be NULL, then everything fits.  */
MmBlock *mm_block_new (MmBudget *budget);
/* A block with LENGTH bytes at TEXT, which it frees with g_free.  They count
   once they are reserved.  */
MmBlock *mm_block_new_take (MmBudget *budget, char *text, gsize length);
MmBlock *mm_block_ref (MmBlock *block);
void mm_block_unref (MmBlock *block);

/* Reserves TOTAL_BYTES for the block, of which earlier reservations are a
   part. FALSE if they do not fit; a block never shrinks.  */
gboolean mm_block_reserve (MmBlock *block, uint64_t total_bytes);
/* The same, also where it does not fit.  */
void mm_block_force (MmBlock *block, uint64_t total_bytes);

GByteArray *mm_block_bytes (MmBlock *block);

/* Memory of all bodies of requests, and of all bodies of responses, for a
   process that may use MEMORY_BYTES.  */
uint64_t mm_share_bytes (uint64_t memory_bytes);
/* The same of what connections hold for input and output.  */
uint64_t mm_connections_bytes (uint64_t memory_bytes);
/* Of COUNT connections, those that one address may have by default, so that
   others always get in.  */
uint32_t mm_per_address_default (uint32_t count);

G_DEFINE_AUTOPTR_CLEANUP_FUNC (MmBlock, mm_block_unref)
G_DEFINE_AUTOPTR_CLEANUP_FUNC (MmBudget, mm_budget_unref)

#endif
