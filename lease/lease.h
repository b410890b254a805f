/* lease.h - lease of one daemon, kept by its successor's promises

   SYNOPSIS
     LsOptions opts = { .vm = "vm1", .incarnation = wall_ms,
                        .peer_address = "127.0.0.1:9001" };
     LsLease *lease = ls_new (&opts, now_us);
     LsAction action;
     ls_set_peers (lease, peers, peer_count, now_us);
     while (ls_poll (lease, now_us, &action))
       start (&action);
     if (ls_active (lease, now_us))
       spend ();

   DESCRIPTION
     A daemon is ACTIVE while it holds a store renewal or a promise of its
     successor; each counts for ttl_us from the moment its request was sent.
     The caller carries out the actions of ls_poll and reports each result:

       LS_ACTION_ASK    send a promise request to the named VM; ls_promised or
                        ls_refused.  A lost answer needs no call.
       LS_ACTION_READ   read the record of the named VM; ls_record_seen,
                        ls_record_absent or ls_read_failed
       LS_ACTION_WRITE  CAS of the daemon's own record; ls_cas_done
       LS_ACTION_FENCE  CAS of another daemon's record to fenced, with
                        fenced_at_ms set from the caller's wall clock;
                        ls_cas_done

     A read, write or fence has to end in one of its calls, at the latest
     after a timeout; a write whose answer is lost ends in LS_CAS_UNKNOWN.

     A record names its successor with the successor's incarnation.  Only that
     incarnation may promise for the record, so a successor that was fenced
     and goes on as a new incarnation can't promise what the daemon that
     fenced it doesn't know about.  A record may be fenced
       - by the named incarnation, ttl_us + margin_us after the later of its
         last promise and the moment it first saw the record, or
       - by a daemon that has seen, for ttl_us + margin_us, that the named
         incarnation is fenced, released or superseded, and the record itself
         unchanged for the same time.
     Either daemon has to be ACTIVE.  The CAS makes sure that the record
     hasn't changed since it was seen.

     A promise counts only if it was requested while every record that may be
     the current one in the store names its sender.  So a write that changes
     the successor is sent only after a read has shown that the store answers:
     otherwise a short loss of messages during a store outage would leave the
     daemon without a successor whose promise counts.

     The time is the caller's clock that counts suspended time.  ttl_us +
     margin_us allows for clocks that drift by 1% each.

   ERRORS
     LS_ERROR_SYNTAX  a record is not JSON
     LS_ERROR_FIELD   a field of a record is missing, ill-typed or too long  */

#ifndef LS_LEASE_H
#define LS_LEASE_H

#include <glib.h>
#include <stdint.h>

#define LS_TTL_US (3 * G_USEC_PER_SEC)
#define LS_MARGIN_US (G_USEC_PER_SEC / 2)
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
  uint64_t incarnation;
  uint64_t seq;
  LsState state;
  char successor[LS_NAME_BYTES]; /* empty: no other daemon is known */
  uint64_t successor_incarnation;
  char peer_address[LS_ADDRESS_BYTES];
  char op_id[LS_OP_ID_BYTES];
  int64_t fenced_at_ms; /* wall clock of the daemon that fenced */
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
} LsPeer;

/* A member that isn't heard.  RANK is the caller's place among the live
   members in that member's order of successors; a higher rank reads the
   record later, so that few daemons read it.  */
typedef struct
{
  const char *vm;
  uint32_t rank;
} LsSuspect;

typedef enum
{
  LS_ACTION_NONE,
  LS_ACTION_ASK,
  LS_ACTION_READ,
  LS_ACTION_WRITE,
  LS_ACTION_FENCE,
} LsActionKind;

typedef struct
{
  LsActionKind kind;
  char vm[LS_NAME_BYTES]; /* whom to ask; whose record */
  LsRecord record; /* ASK: own record as known; WRITE, FENCE: to write */
  uint64_t expected_index; /* WRITE, FENCE; 0 creates */
  int64_t sent_us;
} LsAction;

typedef enum
{
  LS_CAS_WON,
  LS_CAS_LOST,
  LS_CAS_UNKNOWN, /* may take effect, also later */
  LS_CAS_NOT_SENT,
} LsCasOutcome;

typedef struct LsLease LsLease;

GQuark ls_error_quark (void);

LsLease *ls_new (const LsOptions *options, int64_t now_us);
void ls_free (LsLease *lease);

/* Candidates for successor in the order of preference; see ls_ring.  */
void ls_set_peers (LsLease *lease, const LsPeer *peers, uint32_t count,
                   int64_t now_us);

/* Members of the assignment or the platform's list that aren't heard.  */
void ls_set_suspects (LsLease *lease, const LsSuspect *suspects,
                      uint32_t count, int64_t now_us);

gboolean ls_active (const LsLease *lease, int64_t now_us);
int64_t ls_active_until_us (const LsLease *lease);
/* base_ttl_us after the daemon was last ACTIVE; 0 before the first time.  */
int64_t ls_base_until_us (const LsLease *lease);
/* Rises when the daemon was fenced: what it held with the flexible part is
   lost.  0 until the first record is written.  */
uint64_t ls_incarnation (const LsLease *lease);
/* The own record as last known.  */
const LsRecord *ls_record (const LsLease *lease);
/* TRUE once the store has the record as released, or it was fenced.  */
gboolean ls_released (const LsLease *lease);

/* Records of other daemons that were read as fenced or released and weren't
   seen otherwise since.  Returns the count.  */
uint32_t ls_ended (const LsLease *lease, const LsRecord **records,
                   uint32_t max);

/* Next action; FALSE with LS_ACTION_NONE when there is none now.  */
gboolean ls_poll (LsLease *lease, int64_t now_us, LsAction *action);
/* When ls_poll has to be called again without any event.  */
int64_t ls_next_us (const LsLease *lease, int64_t now_us);

/* REQUEST_SENT_US is sent_us of the answered action.  */
void ls_promised (LsLease *lease, const char *from_vm, int64_t request_sent_us,
                  int64_t now_us);
void ls_refused (LsLease *lease, const char *from_vm, int64_t request_sent_us,
                 int64_t now_us);

/* Whether to promise HOLDER_VM, whose record has the given sequence and names
   the given incarnation of this daemon, not to fence it for ttl_us.  A TRUE
   answer has to be sent at once or not at all.  */
gboolean ls_answer_promise (LsLease *lease, const char *holder_vm,
                            uint64_t holder_incarnation, uint64_t holder_seq,
                            uint64_t named_incarnation, int64_t now_us);

void ls_record_seen (LsLease *lease, const LsRecord *record,
                     uint64_t store_index, int64_t now_us);
void ls_record_absent (LsLease *lease, const char *vm, int64_t now_us);
void ls_read_failed (LsLease *lease, const char *vm, int64_t now_us);
/* STORE_INDEX is the index after a won CAS, ignored otherwise.  */
void ls_cas_done (LsLease *lease, const LsAction *action, LsCasOutcome outcome,
                  uint64_t store_index, int64_t now_us);

/* Ends ACTIVE at once and writes the record as released.  Everything held has
   to be given back before.  */
void ls_release (LsLease *lease, int64_t now_us);

typedef struct
{
  const char *vm;
  const char *zone;
} LsRingVm;

/* Order of successors of VMS[SELF] in the ring over zones: the members of the
   next zone by name, highest rendezvous hash first, then those of the zone
   after it and so on; the own zone comes last, by name from the own one on.
   ORDER gets COUNT - 1 indexes of VMS.  */
void ls_ring (const LsRingVm *vms, uint32_t count, uint32_t self,
              uint32_t *order);

gboolean ls_record_parse (const char *json, gsize length, LsRecord *record,
                          GError **error);
/* Free with g_free.  */
char *ls_record_format (const LsRecord *record);

G_DEFINE_AUTOPTR_CLEANUP_FUNC (LsLease, ls_free)

#endif
