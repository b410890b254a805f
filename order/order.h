/* order.h - decisions for a request with an Idempotency-Key

   SYNOPSIS
     OrOptions options = { .customer = "c1", .idempotency_key = "k",
                           .method = "POST", .target = "/orders", .body = body,
                           .body_bytes = n, .op_id = op, .vm = "vm1",
                           .deadline_us = deadline };
     OrOrder *order = or_new (&options, now_us, wall_ms);
     OrAction action;
     while (or_poll (order, now_us, wall_ms, &action))
       carry_out (&action);
     or_free (order);

   DESCRIPTION
     An order is a state machine without I/O.  or_poll gives the next action;
     after OR_ACTION_READ and OR_ACTION_CAS the result goes to or_store_done,
     after OR_ACTION_SEND to or_sent.  One store call or send is under way
     at a time.  When or_poll returns FALSE, call it again after the next
     result or at or_wake_us.

     The record of an order lies under cw/order/DAY/DIGEST.  The request may
     be sent only after its own creation of the record is known to have won;
     near midnight the records of both days.  An answer of the store that was
     lost is resolved by reading back the operation id.  Nobody changes a
     record that another operation has started.

     OR_ACTION_ANSWER and OR_ACTION_REPLAY and OR_ACTION_REFUSE each end the
     caller's request; one of them is given exactly once.  After
     OR_ACTION_ANSWER and some refusals the record is still to be written:
     go on polling until or_finished.

     A refusal with not_run states that this request was not handed to a
     target and will not be.

   ERRORS
     OR_ERROR_RECORD  a stored record is not valid  */

#ifndef OR_ORDER_H
#define OR_ORDER_H

#include <glib.h>
#include <stdint.h>

#include "http/http.h"

/* Larger answers are stored as their digest only.  */
#define OR_BODY_MAX_BYTES (64 * 1024)
#define OR_KEY_MAX_BYTES 255
#define OR_DAY_MS INT64_C (86400000)
/* Distance from midnight within which both days' records are needed.  It
   covers clocks that differ by 1 min plus OR_SEND_MAX_US.  */
#define OR_MIDNIGHT_MS INT64_C (120000)
/* A request that was not sent this long after the days were chosen is never
   sent.  */
#define OR_SEND_MAX_US INT64_C (30000000)
#define OR_POLL_MAX_US INT64_C (5000000)
/* How long the writing of a result is tried after the caller was answered. */
#define OR_WRITE_MAX_US INT64_C (30000000)

#define OR_ERROR (or_error_quark ())

typedef enum
{
  OR_ERROR_RECORD,
} OrError;

typedef enum
{
  OR_STATE_STARTED,
  OR_STATE_DONE,
  OR_STATE_ABANDONED,
} OrState;

typedef struct
{
  OrState state;
  char *op_id;
  char *vm;
  char request_sha256[65]; /* over method, target and body */
  int64_t started_ms;
  /* The rest only with OR_STATE_DONE.  */
  uint32_t status;
  HtHeaders *headers;
  GBytes *body; /* NULL when it was too large to keep */
  char body_sha256[65];
  uint64_t body_bytes;
} OrRecord;

typedef enum
{
  OR_ACTION_READ,
  OR_ACTION_CAS,
  OR_ACTION_SEND,   /* to a target, before send_by_us */
  OR_ACTION_ANSWER, /* the answer that or_sent brought */
  OR_ACTION_REPLAY, /* a stored answer, with X-Replayed: 1 */
  OR_ACTION_REFUSE,
} OrActionKind;

/* Pointers are valid until the next call for this order.  */
typedef struct
{
  OrActionKind kind;
  const char *key;   /* READ, CAS */
  uint64_t expected; /* CAS: 0 creates */
  const char *value; /* CAS */
  gsize value_bytes;
  int64_t send_by_us;       /* SEND */
  uint32_t status;          /* ANSWER, REPLAY, REFUSE */
  const HtHeaders *headers; /* ANSWER, REPLAY */
  const uint8_t *body;      /* ANSWER, REPLAY */
  gsize body_bytes;
  const char *error;   /* REFUSE: "key_reused", "store_down", ... */
  const char *outcome; /* REFUSE: "not_run", "unknown" or "done" */
} OrAction;

/* The same cases as StOutcome.  */
typedef enum
{
  OR_STORE_OK,
  OR_STORE_ABSENT,
  OR_STORE_LOST,
  OR_STORE_DOWN,
  OR_STORE_UNKNOWN,
} OrStoreOutcome;

typedef enum
{
  OR_SENT_NOT,     /* no byte was handed over: may be tried again */
  OR_SENT_UNKNOWN, /* handed over, and no whole answer */
  OR_SENT_ANSWERED,
} OrSentKind;

typedef struct
{
  OrSentKind kind;
  uint32_t status; /* with UNKNOWN: 502 or 504 */
  const HtHeaders *headers;
  const uint8_t *body;
  gsize body_bytes;
} OrSent;

typedef struct
{
  const char *customer;
  const char *idempotency_key;
  const char *method;
  const char *target; /* path and query without keys */
  const void *body;
  gsize body_bytes;
  const char *op_id; /* unique for each attempt */
  const char *vm;
  int64_t deadline_us;
} OrOptions;

typedef struct OrOrder OrOrder;

GQuark or_error_quark (void);

/* An Idempotency-Key is 1 to OR_KEY_MAX_BYTES bytes of printable ASCII.  */
gboolean or_is_key (const char *idempotency_key);

OrOrder *or_new (const OrOptions *options, int64_t now_us, int64_t wall_ms);
void or_free (OrOrder *order);

gboolean or_poll (OrOrder *order, int64_t now_us, int64_t wall_ms,
                  OrAction *action);
void or_store_done (OrOrder *order, OrStoreOutcome outcome, uint64_t index,
                    const char *value, gsize value_bytes, int64_t now_us);
void or_sent (OrOrder *order, const OrSent *sent, int64_t now_us);

/* The caller has gone.  An order that is not handed over by then is
   abandoned; one that is under way goes on.  Returns TRUE when a send that is
   still waiting must be given up and reported as OR_SENT_NOT.  */
gboolean or_cancel (OrOrder *order, int64_t now_us);

/* When or_poll is due without a result; INT64_MAX for never.  */
int64_t or_wake_us (const OrOrder *order);
/* Nothing is left to do.  */
gboolean or_finished (const OrOrder *order);

char *or_record_format (const OrRecord *record);
OrRecord *or_record_parse (const char *json, gsize length, GError **error);
void or_record_free (OrRecord *record);

/* "cw/order/20000/SHA256"  */
char *or_record_key (int64_t day, const char *customer,
                     const char *idempotency_key);
/* Prefix of the records that may be deleted on the day of WALL_MS; NULL
   within OR_MIDNIGHT_MS after midnight.  */
char *or_expired_prefix (int64_t wall_ms);

G_DEFINE_AUTOPTR_CLEANUP_FUNC (OrRecord, or_record_free)
G_DEFINE_AUTOPTR_CLEANUP_FUNC (OrOrder, or_free)

#endif
