/* slot.h - concurrency slots of targets: held, lent and borrowed

   SYNOPSIS
     SlTable *table = sl_new (&(SlOptions){ 0 });
     sl_set_validity (table, flex_until_us, base_until_us);
     sl_set_held_slots (table, "t1", 1, 2, usable_at_us, now_us, &error);
     SlPermitId id;
     if (sl_acquire (table, "t1", deadline_us, now_us, &id))
       {
         if (sl_permit_valid (table, id, now_us)) // just before sending
           send (...);
         sl_release (table, id, SL_OUTCOME_SUCCESS, now_us);
       }

   DESCRIPTION
     Limits the requests that run at a target at the same time, over all
     daemons, to SL_TARGET_SLOTS.  One table serves one daemon.  A request is
     sent to a target only under a permit: for a slot that the daemon holds, or
     for one that its holder has lent it.  Times are of the daemon's clock that
     counts suspended time.

     Held slots.  A daemon holds flex slots, valid until flex_until_us, when
     its lease expires, and base slots, valid for longer, until base_until_us.
     A request or grant keeps the slot in which it started.  A slot that is
     removed while occupied finishes its request first.  An added slot may be
     used from usable_at_us on.  That is SL_QUARANTINE_US from now for slots
     that came from a fenced holder, and for all slots of a new process that
     takes over those of the process before it: requests and grants that it
     does not know of may run until then.

     Occupancy.  A slot is occupied until its request is known to have ended.
     If that never becomes known, it is occupied until the deadline and
     SL_DEADLINE_MARGIN_US more, because a target counts the time left from
     when it receives the request.  After that time sl_release and
     sl_apply_return don't change the occupancy.

     Lending.  A grant occupies one slot of the lender.  The lender counts its
     validity from when it grants, the borrower from when it sent the request,
     so the borrower stops using it first.  A grant that is not returned
     expires.

     Limits.  Besides the slots, the requests that a holder starts are limited
     by an AIMD limit (halved by a shed request, raised by one after
     SL_SUCCESSES_PER_RAISE successes), by the ramp of a cold target, and for
     lending by the number of borrowers, which bounds the connections to a
     target.

     Calls that are given the time no longer count a slot as occupied once its
     permit has expired, also before sl_expire frees the permit.  An expired
     borrowed grant counts as in use until sl_expire; call it at
     sl_next_expiry_us.

   ERRORS
     SL_ERROR_TOO_MANY_SLOTS  more slots are to be held than a target has  */

#ifndef SL_SLOT_H
#define SL_SLOT_H

#include <glib.h>
#include <stdint.h>

#define SL_NAME_BYTES 64

/* Slots of a target over all daemons.  */
#define SL_TARGET_SLOTS 3

/* Maximum time from the acquisition of a slot to the request's deadline.  */
#define SL_REQUEST_MAX_US ((int64_t)10000000)

/* Covers the transit time of a request to its target and a 1% difference in
   clock rate over the longest request.  */
#define SL_DEADLINE_MARGIN_US ((int64_t)500000)

/* How long an added slot stays unused when requests of its former holder may
   still run in it.  */
#define SL_QUARANTINE_US (SL_REQUEST_MAX_US + SL_DEADLINE_MARGIN_US)

/* A target stops the work within this time after it has closed the connection
   of a cancelled request.  */
#define SL_CANCEL_GRACE_US ((int64_t)1000000)

#define SL_SUCCESSES_PER_RAISE 20
/* A cold target starts with one request; each step allows one more.  */
#define SL_RAMP_STEP_US ((int64_t)2000000)
#define SL_COLD_BELOW_PERMILLE 500
#define SL_WARM_FROM_PERMILLE 900

/* 64 borrowers and at most 3 holders with 3 connections each make 201 of the
   330 connections that a target accepts.  A holder of some of the slots lends
   to the same fraction of the borrowers.  */
#define SL_BORROWERS_MAX 64
#define SL_CONNECTIONS_MAX 3
#define SL_CONNECTION_IDLE_US ((int64_t)5000000)

#define SL_ERROR (sl_error_quark ())

typedef enum
{
  SL_ERROR_TOO_MANY_SLOTS,
} SlError;

typedef enum
{
  SL_OUTCOME_SUCCESS,
  SL_OUTCOME_SHED,     /* 503 from the target */
  SL_OUTCOME_FAILED,   /* complete response, but an error or too slow */
  SL_OUTCOME_NOT_SENT, /* no byte was sent to the target */
  /* The daemon closed its side of the connection and has seen the target close
     the other.  Without the latter the outcome is unknown: a target that has
     not received the close goes on working.  */
  SL_OUTCOME_CANCELLED,
  SL_OUTCOME_UNKNOWN, /* no complete response; may run until its deadline */
} SlOutcome;

typedef struct SlTable SlTable;

/* 0 is never a valid id.  */
typedef uint64_t SlPermitId;

typedef struct
{
  /* Wall clock in ms at the start of the process.  Keeps grant ids distinct
     from those of earlier processes of this VM.  */
  uint64_t incarnation;
} SlOptions;

typedef struct
{
  uint64_t id;
  int64_t valid_us; /* to send to the borrower; at most what it asked for */
} SlGrant;

typedef struct
{
  uint64_t grant_id;
  char vm[SL_NAME_BYTES]; /* lender */
  SlOutcome outcome;      /* SUCCESS, SHED, FAILED or NOT_SENT */
} SlReturn;

typedef struct
{
  uint32_t held_count;   /* base and flex, valid or not */
  uint32_t usable_count; /* valid and not in quarantine */
  uint32_t in_use_count; /* occupied by own requests and grants */
  uint32_t lent_count;   /* of these, grants */
  uint32_t free_count;   /* that sl_acquire could take now */
  uint32_t limit_count;  /* minimum of AIMD limit and cold ramp */
  uint32_t borrower_count;
  uint32_t borrowed_count; /* grants of other VMs in use here */
} SlState;

GQuark sl_error_quark (void);

SlTable *sl_new (const SlOptions *options);
void sl_free (SlTable *table);

/* Sets the times, from the lease, until which all flex and all base slots are
   valid.  */
void sl_set_validity (SlTable *table, int64_t flex_until_us,
                      int64_t base_until_us);

/* Sets the slots that the assignment gives this daemon.  Added slots are
   usable from USABLE_AT_US on; slots held before keep theirs.  When several
   are added, pass the latest of their times; when one may have come from a
   fenced holder, SL_QUARANTINE_US from now.  Undoes sl_drain_slots.  */
gboolean sl_set_held_slots (SlTable *table, const char *target, uint32_t base,
                            uint32_t flex, int64_t usable_at_us,
                            int64_t now_us, GError **error);

/* Stops using slots beyond KEEP_BASE and KEEP_FLEX.  TRUE once none of these
   is occupied or in quarantine, so that they may be assigned to another
   daemon; follow with sl_set_held_slots then.  */
gboolean sl_drain_slots (SlTable *table, const char *target,
                         uint32_t keep_base, uint32_t keep_flex,
                         int64_t now_us);

/* Records the cache warmth that TARGET reports.  A target is cold until it has
   reported SL_WARM_FROM_PERMILLE, and again from a report below
   SL_COLD_BELOW_PERMILLE; only that restarts a ramp.  */
void sl_set_warmth (SlTable *table, const char *target, uint32_t warm_permille,
                    int64_t now_us);

/* Acquires a slot that this daemon holds until DEADLINE_US, which is limited
   to SL_REQUEST_MAX_US from now.  FALSE if none is free.  */
gboolean sl_acquire (SlTable *table, const char *target, int64_t deadline_us,
                     int64_t now_us, SlPermitId *permit_id);

/* TRUE while a request may be sent under PERMIT_ID.  Send the target the time
   left until sl_permit_deadline_us.  */
gboolean sl_permit_valid (const SlTable *table, SlPermitId permit_id,
                          int64_t now_us);

/* INT64_MIN when the permit has expired.  */
int64_t sl_permit_deadline_us (const SlTable *table, SlPermitId permit_id);

/* Records how the request under PERMIT_ID ended.  */
void sl_release (SlTable *table, SlPermitId permit_id, SlOutcome outcome,
                 int64_t now_us);

/* Lends a slot to the VM named BORROWER for VALID_US, which is limited to
   SL_REQUEST_MAX_US.  FALSE if none is free or too many VMs borrow.  */
gboolean sl_lend (SlTable *table, const char *target, const char *borrower,
                  int64_t valid_us, int64_t now_us, SlGrant *grant);

/* Records that the borrower has returned a grant.  */
void sl_apply_return (SlTable *table, uint64_t grant_id, SlOutcome outcome,
                      int64_t now_us);

/* Adds a permit for a grant from LENDER.  FALSE if its validity, counted from
   REQUEST_SENT_US, has passed; the grant then expires at the lender.  Release
   a grant that is no longer needed with SL_OUTCOME_NOT_SENT.  */
gboolean sl_accept_grant (SlTable *table, const char *target,
                          const char *lender, const SlGrant *grant,
                          int64_t request_sent_us, int64_t now_us,
                          SlPermitId *permit_id);

/* Next grant to return to its lender; call until FALSE, after each release and
   at sl_next_expiry_us.  A grant whose request ended with SL_OUTCOME_UNKNOWN
   is never returned.  */
gboolean sl_next_return (SlTable *table, int64_t now_us, SlReturn *result);

/* Frees expired permits and their slots.  */
void sl_expire (SlTable *table, int64_t now_us);

/* When sl_expire or sl_next_return is next due, or INT64_MAX.  */
int64_t sl_next_expiry_us (const SlTable *table);

/* Connections to TARGET that the daemon may keep now: those in use and idle
   ones.  0 for a target of which it holds nothing and has borrowed nothing for
   SL_CONNECTION_IDLE_US.  */
uint32_t sl_connections_allowed (const SlTable *table, const char *target,
                                 int64_t now_us);

/* All zero for an unknown target.  */
SlState sl_state (const SlTable *table, const char *target, int64_t now_us);

/* Removes a target that is no longer listed; FALSE while its slots are held or
   it is in use.  */
gboolean sl_remove_target (SlTable *table, const char *target, int64_t now_us);

G_DEFINE_AUTOPTR_CLEANUP_FUNC (SlTable, sl_free)

#endif
