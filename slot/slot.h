/* slot.h - slots of targets: held, lent and borrowed

   SYNOPSIS
     SlTable *table = sl_new (&(SlOptions){ 0 });
     sl_set_validity (table, flex_until_us, base_until_us);
     sl_set_holding (table, "boards-01", 1, 2, usable_at_us, now_us, &error);
     SlTicket ticket;
     if (sl_acquire (table, "boards-01", deadline_us, now_us, &ticket))
       {
         if (sl_valid (table, ticket, now_us))  // right before the first byte
           send (...);
         sl_release (table, ticket, SL_OUTCOME_GOOD, now_us);
       }

   DESCRIPTION
     The table of one daemon.  A request runs at a target only under a ticket:
     for a slot that the daemon holds, or for one that a holder has lent it.
     Times are of the daemon's clock that counts suspended time.

     Holding.  A holding has base slots, valid until base_until_us, and flex
     slots, valid until flex_until_us.  A request or grant stays with the slot
     it began on.  A slot that is taken away while occupied serves its request
     to the end and is then dropped.  A slot that was added may be used from
     usable_at_us on.  That is SL_QUARANTINE_US from now for slots that came
     from a fenced holder, and for all slots of a new process that takes over
     the holding of the process before it: requests and grants that it knows
     nothing of may run until then.

     Occupation.  A slot is occupied until the end of its request is known.  If
     that never becomes known, it is occupied until the deadline and
     SL_DEADLINE_MARGIN_US more: a target counts the time left from when it
     gets the request.  sl_release and sl_returned after that time do nothing.

     Lending.  A grant occupies one slot of the lender.  The lender counts its
     validity from when it grants, the borrower from when it sent the request.
     Grants that ended without being returned lapse by time.

     Limits.  Beside the slots, what a holder starts is limited by an AIMD
   limit (halved by a shed, raised by one after SL_RAISE_COUNT good answers),
   by the ramp of a cold target, and for lending by the number of borrowers,
   which bounds the connections to a target.

     All calls look at the time themselves.  sl_expire only frees memory and
     slots earlier; call it at sl_next_expiry_us.

   ERRORS
     SL_ERROR_COUNT      a holding is above the number of slots of a target  */

#ifndef SL_SLOT_H
#define SL_SLOT_H

#include <glib.h>
#include <stdint.h>

#define SL_NAME_BYTES 64

/* Slots of a target over all daemons.  */
#define SL_TARGET_SLOTS 3

/* Maximum time from the acquisition of a slot to the request's deadline.  */
#define SL_REQUEST_MAX_US ((int64_t)10000000)

/* Time a request may be on its way to the target, and 1% of difference in
   clock rate over the longest request.  */
#define SL_DEADLINE_MARGIN_US ((int64_t)500000)

/* How long a slot rests whose former requests nobody here knows of.  */
#define SL_QUARANTINE_US (SL_REQUEST_MAX_US + SL_DEADLINE_MARGIN_US)

/* A target that has closed the connection of a cancelled request stops the
   work within this time.  */
#define SL_CANCEL_GRACE_US ((int64_t)1000000)

#define SL_RAISE_COUNT 20
#define SL_COLD_STEP_US ((int64_t)2000000)
#define SL_COLD_PERMILLE 500
#define SL_WARM_PERMILLE 900

/* 64 borrowers and at most 3 holders with 3 connections each make 201 of the
   330 connections of a target.  A holder of a part of the slots serves the
   same part of the borrowers.  */
#define SL_BORROWERS_MAX 64
#define SL_CONNECTIONS_MAX 3
#define SL_CONNECTION_IDLE_US ((int64_t)5000000)

#define SL_ERROR (sl_error_quark ())

typedef enum
{
  SL_ERROR_COUNT,
} SlError;

typedef enum
{
  SL_OUTCOME_GOOD,
  SL_OUTCOME_SHED,     /* 503 of the target */
  SL_OUTCOME_FAILED,   /* whole answer, but an error or too slow */
  SL_OUTCOME_NOT_SENT, /* no byte was handed to the target */
  /* The daemon shut its side of the connection and has seen the target close
     the other.  Without the latter it is lost: a close that is held up by the
     network stops nothing.  */
  SL_OUTCOME_CANCELLED,
  SL_OUTCOME_LOST, /* no whole answer; it may run until its deadline */
} SlOutcome;

typedef struct SlTable SlTable;

/* 0 is never a ticket.  */
typedef uint64_t SlTicket;

typedef struct
{
  /* Wall clock in ms at the start of the process.  Grants of an earlier
     process of this VM must not have the number of a new one.  */
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
  SlOutcome outcome;      /* GOOD, SHED, FAILED, or NOT_SENT */
} SlReturn;

typedef struct
{
  uint32_t held_count;   /* base and flex, valid or not */
  uint32_t usable_count; /* valid and out of quarantine */
  uint32_t in_use_count; /* occupied by own requests and grants */
  uint32_t lent_count;   /* of these, grants */
  uint32_t free_count;   /* that sl_acquire would give now */
  uint32_t limit_count;  /* AIMD limit and cold ramp */
  uint32_t borrower_count;
  uint32_t borrowed_count; /* grants of others in use here */
} SlState;

GQuark sl_error_quark (void);

SlTable *sl_new (const SlOptions *options);
void sl_free (SlTable *table);

/* Ends of the validity of all flex and base slots; from the lease.  */
void sl_set_validity (SlTable *table, int64_t flex_until_us,
                      int64_t base_until_us);

/* Sets what the assignment gives this daemon.  Slots that are added are usable
   from USABLE_AT_US on; the others keep their time.  When several are added,
   that is the latest of their times; when it is not known whether one came
   from a fenced holder, SL_QUARANTINE_US from now.  Undoes sl_retire.  */
gboolean sl_set_holding (SlTable *table, const char *target, uint32_t base,
                         uint32_t flex, int64_t usable_at_us, int64_t now_us,
                         GError **error);

/* Stops using slots beyond KEEP_BASE and KEEP_FLEX.  TRUE once none of these
   is occupied, so that the assignment may give them away; then follow with
   sl_set_holding.  */
gboolean sl_retire (SlTable *table, const char *target, uint32_t keep_base,
                    uint32_t keep_flex, int64_t now_us);

/* Tells the warmth that TARGET reports.  A target is cold until it has
   reported SL_WARM_PERMILLE, and again from a report below SL_COLD_PERMILLE; a
   ramp that has begun or is complete is not begun again until then.  */
void sl_set_warm (SlTable *table, const char *target, uint32_t warm_permille,
                  int64_t now_us);

/* Takes a slot of this daemon's own until DEADLINE_US, which is cut to
   SL_REQUEST_MAX_US from now.  FALSE if none is free.  */
gboolean sl_acquire (SlTable *table, const char *target, int64_t deadline_us,
                     int64_t now_us, SlTicket *ticket);

/* True while a request may begin under TICKET.  The time left until
   sl_deadline_us is what the target has to be told.  */
gboolean sl_valid (const SlTable *table, SlTicket ticket, int64_t now_us);

/* Deadline of a ticket, or INT64_MIN when it has lapsed.  */
int64_t sl_deadline_us (const SlTable *table, SlTicket ticket);

/* Tells how the request under TICKET ended.  */
void sl_release (SlTable *table, SlTicket ticket, SlOutcome outcome,
                 int64_t now_us);

/* Lends a slot to the VM named BORROWER for VALID_US, which is cut to
   SL_REQUEST_MAX_US.  FALSE if none is free or too many VMs borrow.  */
gboolean sl_lend (SlTable *table, const char *target, const char *borrower,
                  int64_t valid_us, int64_t now_us, SlGrant *grant);

/* Tells that the borrower has returned a grant.  */
void sl_returned (SlTable *table, uint64_t grant_id, SlOutcome outcome,
                  int64_t now_us);

/* Takes a grant that LENDER gave.  FALSE if its validity, counted from
   REQUEST_SENT_US, has passed; the grant then lapses by itself.  A grant that
   is no longer needed is released as SL_OUTCOME_NOT_SENT.  */
gboolean sl_borrowed (SlTable *table, const char *target, const char *lender,
                      const SlGrant *grant, int64_t request_sent_us,
                      int64_t now_us, SlTicket *ticket);

/* Next grant to return to its lender; call until FALSE, after each release and
   at sl_next_expiry_us.  A lost request's grant is never returned.  */
gboolean sl_next_return (SlTable *table, int64_t now_us, SlReturn *result);

/* Frees what has lapsed.  */
void sl_expire (SlTable *table, int64_t now_us);

/* When sl_expire or sl_next_return next has something to do, or INT64_MAX.  */
int64_t sl_next_expiry_us (const SlTable *table);

/* Connections to TARGET that the daemon may keep now: those in use and idle
   ones.  0 for a target of which it holds nothing and has borrowed nothing for
   SL_CONNECTION_IDLE_US.  */
uint32_t sl_connections_allowed (const SlTable *table, const char *target,
                                 int64_t now_us);

/* All zero for an unknown target.  */
SlState sl_state (const SlTable *table, const char *target, int64_t now_us);

/* Drops a target that is no longer listed; FALSE while it is held or in use.
 */
gboolean sl_forget (SlTable *table, const char *target, int64_t now_us);

G_DEFINE_AUTOPTR_CLEANUP_FUNC (SlTable, sl_free)

#endif
