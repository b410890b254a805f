/* table.h - internal structures of a slot table

   DESCRIPTION
     Types and functions shared by slot.c (held slots, limits, state) and use.c
     (permits, grants); private to slot/.  */

#ifndef SL_TABLE_H
#define SL_TABLE_H

#include "slot/slot.h"

typedef struct SlPermit SlPermit;

typedef struct
{
  gboolean flex;
  gboolean draining; /* held, but gets no new requests */
  gboolean removed;  /* no longer held; kept while occupied */
  int64_t usable_at_us;
  SlPermit *permit;
} SlSlot;

typedef struct
{
  char vm[SL_NAME_BYTES];
  uint32_t grant_count;
  int64_t connected_until_us; /* may keep connections until then */
} SlBorrower;

typedef struct
{
  char *name;
  GPtrArray *slots;  /* SlSlot */
  GArray *borrowers; /* SlBorrower */
  uint32_t aimd_limit;
  uint32_t success_count; /* successes in a row at this limit */
  gboolean cold;
  gboolean ramping; /* set and cleared together with cold */
  int64_t ramp_start_us;
  uint32_t borrowed_count;     /* borrowed grants in use */
  uint32_t borrowed_max_count; /* largest since the last idle timeout */
  int64_t idle_until_us;       /* idle connections are kept until then */
} SlTarget;

typedef enum
{
  SL_PERMIT_OWN,
  SL_PERMIT_LENT,
  SL_PERMIT_BORROWED,
} SlPermitKind;

struct SlPermit
{
  uint64_t id;
  SlPermitKind kind;
  SlTarget *target;
  SlSlot *slot;           /* NULL for BORROWED */
  char vm[SL_NAME_BYTES]; /* borrower of LENT, lender of BORROWED */
  uint64_t lender_grant_id;
  int64_t deadline_us;
  /* When the permit no longer occupies its slot; for a queued return, when it
     is due.  */
  int64_t expires_us;
  gboolean released;
  SlOutcome outcome;
};

struct SlTable
{
  GHashTable *targets; /* name -> SlTarget */
  GHashTable *permits; /* id -> SlPermit */
  GQueue returns;      /* SlPermit; no longer in permits */
  uint64_t next_id;
  int64_t flex_until_us;
  int64_t base_until_us;
};

SlTarget *sl_find_target (const SlTable *table, const char *name);
SlTarget *sl_find_or_add_target (SlTable *table, const char *name,
                                 int64_t now_us);
SlSlot *sl_slot_at (const SlTarget *target, guint index);
gboolean sl_slot_occupied (const SlSlot *slot, int64_t now_us);
gboolean sl_slot_usable (const SlTable *table, const SlSlot *slot,
                         int64_t now_us);
void sl_target_expire (SlTable *table, SlTarget *target, int64_t now_us);
uint32_t sl_target_limit (const SlTarget *target, int64_t now_us);
void sl_target_update_limit (SlTarget *target, SlOutcome outcome);
uint32_t sl_target_count_held (const SlTarget *target);

#endif
