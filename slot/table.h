/* table.h - the inside of a slot table

   DESCRIPTION
     Types and functions that slot.c (holdings, limits, state) and use.c
     (requests, grants) share; for use within slot only.  */

#ifndef SL_TABLE_H
#define SL_TABLE_H

#include "slot/slot.h"

typedef struct SlUse SlUse;

typedef struct
{
  gboolean flex;
  gboolean retired; /* held, but not to be used any more */
  gboolean dropped; /* no longer held; kept while occupied */
  int64_t usable_at_us;
  SlUse *use;
} SlSlot;

typedef struct
{
  char vm[SL_NAME_BYTES];
  uint32_t grant_count;
  int64_t until_us; /* it may have connections until then */
} SlBorrower;

typedef struct
{
  char *name;
  GPtrArray *slots;  /* SlSlot */
  GArray *borrowers; /* SlBorrower */
  uint32_t aimd_limit;
  uint32_t good_count; /* answers since the limit changed */
  gboolean cold;
  gboolean ramping;
  int64_t ramp_from_us;
  uint32_t borrowed_count;
  uint32_t borrowed_peak; /* since the connections were last idle */
  int64_t borrowed_until_us;
} SlTarget;

typedef enum
{
  SL_USE_OWN,
  SL_USE_LENT,
  SL_USE_BORROWED,
} SlUseKind;

struct SlUse
{
  uint64_t id;
  SlUseKind kind;
  SlTarget *target;
  SlSlot *slot; /* NULL for a borrowed one */
  char vm[SL_NAME_BYTES];
  uint64_t lender_grant_id;
  int64_t deadline_us;
  int64_t end_us; /* lapses then; for a return, when it is due */
  gboolean released;
  SlOutcome outcome;
};

struct SlTable
{
  GHashTable *targets; /* name -> SlTarget */
  GHashTable *uses;    /* id -> SlUse */
  GQueue returns;      /* SlUse that is no longer in uses */
  uint64_t next_id;
  int64_t flex_until_us;
  int64_t base_until_us;
};

SlTarget *sl_table_find (const SlTable *table, const char *name);
SlTarget *sl_table_find_or_add (SlTable *table, const char *name,
                                int64_t now_us);
SlSlot *sl_slot_at (const SlTarget *target, guint index);
gboolean sl_slot_occupied (const SlSlot *slot, int64_t now_us);
gboolean sl_slot_usable (const SlTable *table, const SlSlot *slot,
                         int64_t now_us);
void sl_target_reap (SlTable *table, SlTarget *target, int64_t now_us);
uint32_t sl_target_limit (const SlTarget *target, int64_t now_us);
void sl_target_learn (SlTarget *target, SlOutcome outcome);
uint32_t sl_target_count_held (const SlTarget *target);

#endif
