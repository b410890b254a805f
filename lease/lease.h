/* lease.h - lease of a daemon, renewed by promises of its successor

   SYNOPSIS
     LsOptions opts = { .vm = "vm1", .incarnation = wall_ms,
                        .peer_address = "127.0.0.1:9001" };
     LsLease *lease = ls_new (&opts, now_us);
     LsAction action;
     ls_set_candidates (lease, candidates, candidate_count, now_us);
     while (ls_poll (lease, now_us, &action))
       start (&action);
     if (ls_active (lease, now_us))
       use_flex_share ();

   DESCRIPTION
     Each daemon holds a lease.  Its record in the store names another daemon
     as the successor of the holder.  The holder is ACTIVE while its lease is
     valid: for ttl_us after it sent the last write of its record that took
     effect, or the last request to which its successor replied with a promise
     not to fence it for that time.  Only an ACTIVE daemon may use its flex
     share of quotas and slots (see quota/quota.h and slot/slot.h); it may use
     its base share for base_ttl_us longer.

     To fence a daemon is to change its record to fenced, so that other daemons
     may take over its shares.  A fenced daemon that still runs continues with
     a new, higher incarnation.  A daemon that stops in an orderly way changes
     its own record to released.

     The caller carries out the actions of ls_poll and reports each result:

       LS_ACTION_REQUEST_PROMISE
                        send a promise request to the named VM;
                        ls_promise_received or ls_promise_refused.  A lost
                        reply needs no call
       LS_ACTION_READ   read the record of the named VM; ls_record_found,
                        ls_record_absent or ls_read_failed
       LS_ACTION_WRITE  CAS of the daemon's own record; ls_cas_done
       LS_ACTION_FENCE  CAS of another daemon's record to fenced, with
                        fenced_at_ms set from the caller's wall clock;
                        ls_cas_done

     A read, write or fence has to end in one of its calls, at the latest
     after a timeout; a write whose reply is lost ends in LS_CAS_UNKNOWN.

     A record names the successor's incarnation as well.  Only that incarnation
     may give promises for the record: otherwise a successor that was fenced
     and continues with a new incarnation could give promises of which the
     daemon that fenced it doesn't know.  A record may be fenced
       - by the successor incarnation that it names, ttl_us + margin_us after
         the later of its last promise and the first read of the record, or
       - if the holder is a suspect, by a daemon that has known for
         ttl_us + margin_us that this successor incarnation is fenced, released
         or superseded by a higher one, and has seen the record unchanged for
         the same time.  If the record names no successor, it is enough that
         the record is unchanged.
     The daemon that fences has to be ACTIVE.  The CAS makes sure that the
     record hasn't changed since it was read.

     A promise counts only if, when it was requested, the daemon that gave it
     was named by every record that might be the current one in the store.
     After a write that changes the successor is sent, no newly requested
     promise counts until the daemon sees the record change or learns that the
     write wasn't sent.  So such a write is sent only after a read has shown
     that the store replies: otherwise a short loss of messages during a store
     outage would leave the daemon without a successor whose promise counts.

     The caller passes the time as now_us, from a clock that also counts the
     time for which the VM is suspended.  Waiting for ttl_us + margin_us allows
     for clocks that drift by 1% each.

   ERRORS
     LS_ERROR_SYNTAX  a record is not a JSON object
     LS_ERROR_FIELD   a field of a record is missing, of the wrong type, too
                      long or out of range  */

#ifndef LS_LEASE_H
#define LS_LEASE_H

#include <glib.h>
#include <stdint.h>

#define LS_TTL_US (3 * G_USEC_PER_SEC)
#define LS_MARGIN_US (G_USEC_PER_SEC / 2)
/* How long the base share may be used after the end of ACTIVE.  */
#define LS_BASE_TTL_US ((int64_t)3600 * G_USEC_PER_SEC)
#define LS_NAME_BYTES 64
#define LS_ADDRESS_BYTES 64
#define LS_OP_ID_BYTES 112

#define LS_ERROR (ls_error_quark ())

typedef enum
{
  LS_ERROR_SYNTAX,
  LS_ERROR_FIELD,
} LsError;

typedef enum
{
  LS_STATE_ACTIVE,
  LS_STATE_FENCED,
  LS_STATE_RELEASED,
} LsState;

typedef struct
{
  char vm[LS_NAME_BYTES];
  uint64_t incarnation; /* of the holder, see ls_incarnation */
  uint64_t seq;         /* increases with each write by the holder */
  LsState state;
  char successor[LS_NAME_BYTES]; /* empty: there was no candidate */
  uint64_t successor_incarnation;
  char peer_address[LS_ADDRESS_BYTES];
  char op_id[LS_OP_ID_BYTES];
  int64_t fenced_at_ms; /* wall clock of the daemon that fenced it */
} LsRecord;

typedef struct
{
  const char *vm;
  uint64_t incarnation; /* wall clock in ms at start; unique to the process */
  const char *peer_address;
  int64_t ttl_us;      /* default LS_TTL_US */
  int64_t margin_us;   /* default LS_MARGIN_US */
  int64_t base_ttl_us; /* default LS_BASE_TTL_US */
} LsOptions;

typedef struct
{
  const char *vm;
  uint64_t incarnation;
} LsCandidate;

/* A member that has sent no report for a time.  RANK is the place of this
   daemon, from 0, among the live members in the suspect's order of successors.
   The higher the rank, the later the daemon reads the suspect's record, so
   that few daemons read it.  */
typedef struct
{
  const char *vm;
  uint32_t rank;
} LsSuspect;

typedef enum
{
  LS_ACTION_NONE,
  LS_ACTION_REQUEST_PROMISE,
  LS_ACTION_READ,
  LS_ACTION_WRITE,
  LS_ACTION_FENCE,
} LsActionKind;

typedef struct
{
  LsActionKind kind;
  char vm[LS_NAME_BYTES]; /* receiver of the request; holder of the record */
  LsRecord record; /* REQUEST_PROMISE: own record; WRITE, FENCE: to write */
  uint64_t expected_index; /* WRITE, FENCE; 0 creates the record */
  int64_t sent_us;
} LsAction;

typedef enum
{
  LS_CAS_APPLIED,
  LS_CAS_CONFLICT,
  LS_CAS_UNKNOWN, /* may have taken effect or still do so */
  LS_CAS_NOT_SENT,
} LsCasOutcome;

typedef struct LsLease LsLease;

GQuark ls_error_quark (void);

LsLease *ls_new (const LsOptions *options, int64_t now_us);
void ls_free (LsLease *lease);

/* Sets the candidates for successor, best first; see ls_order_successors.  */
void ls_set_candidates (LsLease *lease, const LsCandidate *candidates,
                        uint32_t count, int64_t now_us);

/* Sets the suspects among the members of the assignment or of the platform's
   list.  */
void ls_set_suspects (LsLease *lease, const LsSuspect *suspects,
                      uint32_t count, int64_t now_us);

gboolean ls_active (const LsLease *lease, int64_t now_us);
int64_t ls_active_until_us (const LsLease *lease);
/* End of the time in which the base share may be used: base_ttl_us after the
   daemon was last ACTIVE, or the time of ls_release if that is earlier.
   Negative if the daemon was never ACTIVE.  */
int64_t ls_base_until_us (const LsLease *lease);
/* Number of the lease among those of this VM.  It starts at the incarnation of
   LsOptions or, if that is not higher, one above that of the record of an
   earlier process.  It increases when the daemon was fenced: the flex share
   that it held is then lost.  0 until the first record is written.  */
uint64_t ls_incarnation (const LsLease *lease);
/* This daemon's record as last known.  */
const LsRecord *ls_own_record (const LsLease *lease);
/* TRUE as soon as, after ls_release, a read or write has shown the record in
   the store as released, fenced, absent or written by another process; at once
   if this process had written no record.  */
gboolean ls_released (const LsLease *lease);

/* Gets up to MAX records of other daemons that are fenced or released as last
   known.  Returns the count; the pointers are valid until the next call that
   changes LEASE.  */
uint32_t ls_ended_records (const LsLease *lease, const LsRecord **records,
                           uint32_t max);

/* Gets the next action; FALSE with LS_ACTION_NONE if none is due.  */
gboolean ls_poll (LsLease *lease, int64_t now_us, LsAction *action);
/* Returns when ls_poll has to be called again if no result is reported
   before.  */
int64_t ls_next_poll_us (const LsLease *lease, int64_t now_us);

/* REQUEST_SENT_US is sent_us of the LS_ACTION_REQUEST_PROMISE action to which
   this is the reply.  */
void ls_promise_received (LsLease *lease, const char *from_vm,
                          int64_t request_sent_us, int64_t now_us);
void ls_promise_refused (LsLease *lease, const char *from_vm,
                         int64_t request_sent_us, int64_t now_us);

/* Promises HOLDER_VM not to fence it for ttl_us.  HOLDER_INCARNATION and
   HOLDER_SEQ are those of its record, and SUCCESSOR_INCARNATION the one that
   the record names.  Returns whether the promise is granted: only if this
   daemon is ACTIVE with that incarnation, knows no later record of the holder,
   doesn't know this one to be fenced or released, and hasn't tried to fence
   it.  A granted promise has to be sent at once or not at all.  */
gboolean ls_grant_promise (LsLease *lease, const char *holder_vm,
                           uint64_t holder_incarnation, uint64_t holder_seq,
                           uint64_t successor_incarnation, int64_t now_us);

void ls_record_found (LsLease *lease, const LsRecord *record,
                      uint64_t store_index, int64_t now_us);
void ls_record_absent (LsLease *lease, const char *vm, int64_t now_us);
void ls_read_failed (LsLease *lease, const char *vm, int64_t now_us);
/* STORE_INDEX is the record's index after an applied CAS; otherwise it is
   ignored.  */
void ls_cas_done (LsLease *lease, const LsAction *action, LsCasOutcome outcome,
                  uint64_t store_index, int64_t now_us);

/* Ends ACTIVE at once and has the record written as released.  The caller has
   to give back its shares first.  */
void ls_release (LsLease *lease, int64_t now_us);

typedef struct
{
  const char *vm;
  const char *zone;
} LsVmZone;

/* Orders the candidates for successor of VMS[SELF], best first.  The zones
   follow each other by name from the zone after SELF's, cyclically, and within
   a zone the VMs by rendezvous hash, highest first.  SELF's own zone comes
   last, its VMs by name from the one after SELF, cyclically.  ORDER gets
   COUNT - 1 indexes into VMS.  */
void ls_order_successors (const LsVmZone *vms, uint32_t count, uint32_t self,
                          uint32_t *order);

gboolean ls_record_parse (const char *json, gsize length, LsRecord *record,
                          GError **error);
/* Free with g_free.  */
char *ls_record_format (const LsRecord *record);

G_DEFINE_AUTOPTR_CLEANUP_FUNC (LsLease, ls_free)

#endif
