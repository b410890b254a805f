/* assign.h - assignment of quota weights and target slots to members

   SYNOPSIS
     g_autoptr (GError) error = NULL;
     AsDoc *doc = as_parse (text, length, &error);
     AsWeights usable = as_usable_weights (doc, &view);
     AsDoc *next = as_next_doc (doc, &view, wall_ms);
     if (next != NULL)
       write_by_cas (as_format (next));

   DESCRIPTION
     Divides the rates of the quotas and the concurrency slots of the targets
     among the members, the daemons of the fleet.  A member's share of every
     quota is in proportion to its weight.  Weights and slots are divided into
     a flex share, usable only while the member's lease is active, and a base
     share, usable also for the base TTL of the lease after that (lease.h), so
     that a member that has lost its lease can still serve requests.

     The assignment is a single document in the store that is changed by CAS
     only.  A member writes its own entry: it raises its weights from what is
     free and lowers them once VIEW says that the difference is no longer in
     use.  Any member may reclaim from the entries of fenced leases: the flex
     share at once, the base share AS_BASE_RECLAIM_MS after fenced_at_ms.  Of
     a released lease both shares are reclaimed at once.

     Slots taken from a fenced member or from an earlier process of the same
     VM are listed as withheld and can be claimed after AS_WITHHOLD_MS, since
     requests may still be running on them.

     The document returned by as_next_doc carries view->op_id in the member's
     own entry, so a write whose reply was lost is resolved by reading the
     document back: as_write_applied tells whether the write took effect.
     Since versions are counted, a document read after a later write of the
     same member also tells whether the earlier write took effect.

     Each member aims at 1/N of the weights, where N is the number of members
     that are not fenced, and changes its weight when it is off by more than
     an eighth.  Within that tolerance, free weight goes to the member with
     the lowest weight, and the members with the highest weights give up what
     a joining member needs, so that one join or leave costs few writes in a
     large fleet.  Live members try to reclaim the entry of a fenced member in
     rendezvous hash order, one second apart, until one succeeds.

     A member may use the flex share of its entry only while the entry has the
     incarnation of its own lease.  The base share keeps its validity when the
     incarnation changes, until the entry is rewritten.

   ERRORS
     AS_ERROR_SYNTAX     the text is not JSON
     AS_ERROR_FIELD      a field is missing, has the wrong type or is out of
                         range
     AS_ERROR_SUM        the weights do not add up to the fleet's total
     AS_ERROR_SLOT       more slots of a target are assigned than it has
     AS_ERROR_DUPLICATE  a member, or a target in an entry, is listed twice  */

#ifndef AS_ASSIGN_H
#define AS_ASSIGN_H

#include <glib.h>
#include <stdint.h>

/* Total weights of the fleet, together 65,536.  */
#define AS_BASE_WEIGHT 21845
#define AS_FLEX_WEIGHT 43691
/* Slots of each target.  */
#define AS_BASE_SLOTS 1
#define AS_FLEX_SLOTS 2
/* Time from fenced_at_ms until the base share can be reclaimed: the base TTL
   of a lease and a margin of 10 s.  */
#define AS_BASE_RECLAIM_MS (3600 * 1000 + 10 * 1000)
/* How long slots are withheld: the longest request deadline plus the largest
   wall clock difference.  */
#define AS_WITHHOLD_MS (10 * 1000 + 2 * 1000)
/* A member that stops being the preferred VM of a target gives up its slots
   after AS_RELEASE_DELAY_MS; a preferred VM claims unassigned slots sooner,
   after AS_CLAIM_DELAY_MS.  */
#define AS_RELEASE_DELAY_MS 5000
#define AS_CLAIM_DELAY_MS 1000
/* A weight is changed when it differs from an even split by more than an
   eighth.  */
#define AS_WEIGHT_TOLERANCE_DIVISOR 8
#define AS_RETRY_DELAY_MAX_MS 1000

#define AS_ERROR (as_error_quark ())

typedef enum
{
  AS_ERROR_SYNTAX,
  AS_ERROR_FIELD,
  AS_ERROR_SUM,
  AS_ERROR_SLOT,
  AS_ERROR_DUPLICATE,
} AsError;

/* The slots of one target that a member holds.  */
typedef struct
{
  char *target;
  uint32_t base; /* number of slots */
  uint32_t flex;
} AsSlot;

typedef struct
{
  char *vm;
  char *zone;
  uint64_t incarnation;
  char *op_id;      /* of the last write of this entry by its own member */
  uint32_t base;    /* weight */
  uint32_t flex;    /* weight */
  GPtrArray *slots; /* of AsSlot, one per target */
} AsMember;

/* Slots that cannot be claimed before UNTIL_MS.  */
typedef struct
{
  char *target;
  uint32_t base; /* number of slots */
  uint32_t flex;
  int64_t until_ms; /* wall clock */
} AsWithheld;

typedef struct
{
  uint64_t version;
  GPtrArray *members;  /* of AsMember, sorted by vm */
  GPtrArray *withheld; /* of AsWithheld */
  uint32_t free_base;  /* weight that no member has */
  uint32_t free_flex;
} AsDoc;

typedef struct
{
  const char *vm;
  const char *zone;
  const char *region;
} AsVm;

/* A lease record that was read from the store as fenced or released.  */
typedef struct
{
  const char *vm;
  uint64_t incarnation;
  int64_t fenced_at_ms;
  gboolean released;
} AsFencedLease;

typedef struct
{
  const char *target;
  const char *zone;
  const char *region;
  /* Set by as_placement_update.  */
  const char *preferred_vm;
  int64_t preferred_since_ms;
} AsTarget;

typedef struct
{
  const char *target;
  uint32_t base;
  uint32_t flex;
} AsSlotsInUse;

/* What a member knows when it computes a change of the document.  */
typedef struct
{
  AsVm self;
  uint64_t incarnation;  /* of the own lease */
  const char *op_id;     /* for the next write */
  gboolean lease_active; /* if FALSE, as_next_doc returns NULL */
  gboolean leaving;      /* give up all weights and slots */
  /* An earlier process of this VM held the slots of the entry.  */
  gboolean restarted;
  /* Weights that outstanding grants of quota depend on; the entry is not
     lowered below them.  */
  uint32_t base_in_use;
  uint32_t flex_in_use;
  const AsSlotsInUse *slots_in_use;
  uint32_t slot_in_use_count;
  const AsVm *live; /* including self, excluding leaving members */
  uint32_t live_count;
  const AsFencedLease *fenced;
  uint32_t fenced_count;
  const AsTarget *targets;
  uint32_t target_count;
} AsView;

typedef struct
{
  uint32_t base;
  uint32_t flex;
} AsWeights;

typedef struct AsPlacement AsPlacement;

GQuark as_error_quark (void);

/* Returns a document with no members and all weights free.  */
AsDoc *as_new (void);
AsDoc *as_copy (const AsDoc *doc);
void as_free (AsDoc *doc);

/* Parses a document and checks it with as_check.  Free with as_free.  */
AsDoc *as_parse (const char *json, gsize length, GError **error);
/* Free with g_free.  */
char *as_format (const AsDoc *doc);
gboolean as_check (const AsDoc *doc, GError **error);

const AsMember *as_find_member (const AsDoc *doc, const char *vm);
const AsSlot *as_find_slot (const AsMember *member, const char *target);
/* TRUE if the last write of VM's entry by its own member has OP_ID.  */
gboolean as_write_applied (const AsDoc *doc, const char *vm,
                           const char *op_id);

/* Returns the weights that the member may use now: the lower of its entry and
   what it is about to write.  */
AsWeights as_usable_weights (const AsDoc *doc, const AsView *view);
/* FALSE if the member should stop using its slots of TARGET and return them
   once their requests have finished.  */
gboolean as_keeps_slots (const AsView *view, const AsTarget *target,
                         int64_t wall_ms);

/* Returns the document to write next, or NULL if there is nothing to change.
   Free with as_free.  */
AsDoc *as_next_doc (const AsDoc *doc, const AsView *view, int64_t wall_ms);

/* Returns a random delay before the next write after a CAS conflict.  ATTEMPT
   counts the consecutive conflicts from 0; the range of the delay doubles with
   each, up to AS_RETRY_DELAY_MAX_MS.  RANDOM is any random number.  */
uint32_t as_retry_delay_ms (uint32_t attempt, uint32_t random);

/* Returns the preferred VM of TARGET, which should hold all its slots: the one
   with the highest rendezvous hash in the target's zone, else in its region,
   else in the fleet.  NULL if COUNT is 0.  */
const char *as_preferred_vm (const AsVm *vms, uint32_t count,
                             const AsTarget *target);

/* A placement keeps the preferred VM of each target and when it became
   preferred.  */
AsPlacement *as_placement_new (void);
void as_placement_free (AsPlacement *placement);
/* Sets preferred_vm and preferred_since_ms of TARGETS and drops all targets
   that are not listed.  The strings belong to PLACEMENT and stay valid until
   the next call.  */
void as_placement_update (AsPlacement *placement, const AsVm *vms,
                          uint32_t vm_count, AsTarget *targets,
                          uint32_t target_count, int64_t wall_ms);

G_DEFINE_AUTOPTR_CLEANUP_FUNC (AsDoc, as_free)
G_DEFINE_AUTOPTR_CLEANUP_FUNC (AsPlacement, as_placement_free)

#endif
