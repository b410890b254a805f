/* assign.h - document of who holds which quota weight and target slot

   SYNOPSIS
     g_autoptr (GError) error = NULL;
     AsDoc *doc = as_parse (text, length, &error);
     AsAim aim = as_aim (doc, &view);
     AsDoc *next = as_next (doc, &view, wall_ms);
     if (next != NULL)
       write_by_cas (as_format (next));

   DESCRIPTION
     One document in the store, changed by CAS only.  A member changes its own
     entry: it raises it from what is free, and lowers it once VIEW says that
     the difference isn't used any more.  Entries of fenced leases are reduced
     by any member: the flex part at once, the base part AS_BASE_WAIT_MS after
     fenced_at_ms.

     Slots taken from a fenced or former process are listed as withheld and
     can be claimed after AS_WITHHOLD_MS, since requests may still run on them.

     The document that as_next returns carries view->op_id in the member's
     own entry, so that a lost answer can be resolved by reading back:
     as_written tells whether the write took effect.  A document read later
     than another write of the same member also tells it for the earlier one:
     the versions are counted.

     A member aims at 1/N of the weights, N being the members that aren't
     fenced.  It changes its weight when the difference is more than an eighth.
     What remains free within that tolerance goes to the member with the least,
     and what a joining member lacks is given by those that have the most, so
     that a change of one member costs few writes in a large fleet.  An entry
     of a fenced member is reduced by one live member after the other, by
     rendezvous hash, a second apart, until it is done.

     A member may use the parts of its entry only while the entry has the
     incarnation of its own lease.  After a new incarnation, the base part
     keeps the validity it had until the entry is written anew.

   ERRORS
     AS_ERROR_SYNTAX     the text is not JSON
     AS_ERROR_FIELD      a field is missing, ill-typed or out of range
     AS_ERROR_SUM        the weights don't add up to the fleet's
     AS_ERROR_SLOT       a target has more slots given out than it has
     AS_ERROR_DUPLICATE  a member, or a target in an entry, stands twice  */

#ifndef AS_ASSIGN_H
#define AS_ASSIGN_H

#include <glib.h>
#include <stdint.h>

#define AS_BASE_WEIGHT 21845
#define AS_FLEX_WEIGHT 43691 /* together 65,536 */
#define AS_SLOT_BASE 1
#define AS_SLOT_FLEX 2
/* BASE_TTL + 10 s.  */
#define AS_BASE_WAIT_MS (3600 * 1000 + 10 * 1000)
/* Longest deadline of a request and the largest difference of wall clocks.  */
#define AS_WITHHOLD_MS (10 * 1000 + 2 * 1000)
/* A member that is no longer preferred gives slots up after this time; one
   that is preferred claims free ones earlier.  */
#define AS_PREFERRED_MS 5000
#define AS_CLAIM_MS 1000
/* A weight is changed when it differs from its aim by more than an eighth.  */
#define AS_WEIGHT_TOLERANCE 8
#define AS_RETRY_MAX_MS 1000

#define AS_ERROR (as_error_quark ())

typedef enum
{
  AS_ERROR_SYNTAX,
  AS_ERROR_FIELD,
  AS_ERROR_SUM,
  AS_ERROR_SLOT,
  AS_ERROR_DUPLICATE,
} AsError;

typedef struct
{
  char *target;
  uint32_t base;
  uint32_t flex;
} AsSlot;

typedef struct
{
  char *vm;
  char *zone;
  uint64_t incarnation;
  char *op_id; /* of the last write of this entry by its member */
  uint32_t base;
  uint32_t flex;
  GPtrArray *slots; /* AsSlot, by target name */
} AsMember;

typedef struct
{
  char *target;
  uint32_t base;
  uint32_t flex;
  int64_t until_ms; /* wall clock */
} AsWithheld;

typedef struct
{
  uint64_t version;
  GPtrArray *members;  /* AsMember, by vm */
  GPtrArray *withheld; /* AsWithheld */
  uint32_t free_base;
  uint32_t free_flex;
} AsDoc;

typedef struct
{
  const char *vm;
  const char *zone;
  const char *region;
} AsVm;

/* A record that was read from the store as fenced or released.  */
typedef struct
{
  const char *vm;
  uint64_t incarnation;
  int64_t fenced_at_ms;
  gboolean released;
} AsFenced;

typedef struct
{
  const char *target;
  const char *zone;
  const char *region;
  /* Filled by as_tracker_update.  */
  const char *preferred;
  int64_t preferred_since_ms;
} AsTarget;

typedef struct
{
  const char *target;
  uint32_t base;
  uint32_t flex;
} AsInUse;

typedef struct
{
  AsVm self;
  uint64_t incarnation; /* of the own lease */
  const char *op_id;    /* of the next write */
  gboolean active;      /* without it as_next returns NULL */
  gboolean leaving;     /* aim at nothing */
  /* The slots of the entry were held by a former process.  */
  gboolean restarted;
  /* Weights that grants still depend on; no lower entry is written.  */
  uint32_t base_in_use;
  uint32_t flex_in_use;
  const AsInUse *slots_in_use;
  uint32_t slot_in_use_count;
  const AsVm *live; /* with self, without leaving members */
  uint32_t live_count;
  const AsFenced *fenced;
  uint32_t fenced_count;
  const AsTarget *targets;
  uint32_t target_count;
} AsView;

typedef struct
{
  uint32_t base;
  uint32_t flex;
} AsAim;

typedef struct AsTracker AsTracker;

GQuark as_error_quark (void);

/* Everything free, no member.  */
AsDoc *as_new (void);
AsDoc *as_copy (const AsDoc *doc);
void as_free (AsDoc *doc);

/* Includes as_check.  */
AsDoc *as_parse (const char *json, gsize length, GError **error);
/* Free with g_free.  */
char *as_format (const AsDoc *doc);
gboolean as_check (const AsDoc *doc, GError **error);

const AsMember *as_find (const AsDoc *doc, const char *vm);
const AsSlot *as_find_slot (const AsMember *member, const char *target);
/* Whether the write with OP_ID is the last one of VM's entry.  */
gboolean as_written (const AsDoc *doc, const char *vm, const char *op_id);

/* Weights that the member should use at once: the lower of its entry and what
   it is going to write.  */
AsAim as_aim (const AsDoc *doc, const AsView *view);
/* FALSE when the member should stop using its slots of TARGET and give them
   back once the requests on them have finished.  */
gboolean as_keeps_slots (const AsView *view, const AsTarget *target,
                         int64_t wall_ms);

/* The document to write next, or NULL when nothing is to be changed.  */
AsDoc *as_next (const AsDoc *doc, const AsView *view, int64_t wall_ms);

/* How long to wait after the ATTEMPT-th CAS lost in a row; RANDOM is any
   random number.  */
uint32_t as_retry_ms (uint32_t attempt, uint32_t random);

/* The member that should hold the slots of TARGET: the highest rendezvous
   hash in its zone, else its region, else the fleet.  NULL without members. */
const char *as_preferred (const AsVm *vms, uint32_t count,
                          const AsTarget *target);

/* Remembers since when each target has had its preferred holder.  */
AsTracker *as_tracker_new (void);
void as_tracker_free (AsTracker *tracker);
/* Sets preferred and preferred_since_ms of TARGETS; the strings belong to the
   tracker and are valid until the next call.  */
void as_tracker_update (AsTracker *tracker, const AsVm *vms, uint32_t vm_count,
                        AsTarget *targets, uint32_t target_count,
                        int64_t now_ms);

G_DEFINE_AUTOPTR_CLEANUP_FUNC (AsDoc, as_free)
G_DEFINE_AUTOPTR_CLEANUP_FUNC (AsTracker, as_tracker_free)

#endif
