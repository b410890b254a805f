/* order.h - at most one execution of requests with an Idempotency-Key

   SYNOPSIS
     OrOptions options = { .customer = "c1", .idempotency_key = "k",
                           .method = "POST", .request_target = "/orders",
                           .body = body, .body_bytes = n, .op_id = op_id,
                           .vm = "vm1", .deadline_us = deadline_us };
     OrRequest *request = or_new (&options, now_us, wall_ms);
     OrAction action;
     while (or_poll (request, now_us, wall_ms, &action))
       carry_out (&action);
     or_free (request);

   DESCRIPTION
     A keyed request, one with an Idempotency-Key, is also called an order, as
     in stored keys, events and error names.

     An OrRequest is a state machine without I/O for one received request.
     or_poll returns the next action; the result of OR_ACTION_READ and
     OR_ACTION_CAS goes to or_store_done, that of OR_ACTION_SEND to
     or_send_done.  At most one store call or send is in progress.  When
     or_poll returns FALSE, call it again after the next result or at
     or_next_poll_us.

     The record of a key is stored at cw/order/DAY/DIGEST, where DAY counts
     the days since 1970-01-01 UTC and DIGEST is computed from the customer
     and the key.  A request may be sent only after its own write is known to
     have created the record; near midnight, the records of both days.  When
     the reply to a write is lost, the record is read back and its operation
     id compared.  A record that another request has started is never
     changed.

     OR_ACTION_RESPOND, OR_ACTION_REPLAY and OR_ACTION_REFUSE end the caller's
     request; exactly one of them is returned, or none after or_cancel.  After
     OR_ACTION_RESPOND and some refusals the record is still to be written:
     keep polling until or_finished.

     A refusal with the outcome not_run guarantees that this request was not
     sent to a target and will not be.

   ERRORS
     OR_ERROR_INVALID_RECORD  a stored record is not valid  */

#ifndef OR_ORDER_H
#define OR_ORDER_H

#include <glib.h>
#include <stdint.h>

#include "http/http.h"

/* Of larger response bodies only the digest is stored.  */
#define OR_BODY_MAX_BYTES (64 * 1024)
#define OR_KEY_MAX_BYTES 255
#define OR_DAY_MS INT64_C (86400000)
/* Within this time before and after midnight the records of both days are
   needed.  It covers a clock difference of 1 min and OR_SEND_DELAY_MAX_US.  */
#define OR_MIDNIGHT_WINDOW_MS INT64_C (120000)
/* A request is sent within this time after the days of its records were
   chosen, or never.  */
#define OR_SEND_DELAY_MAX_US INT64_C (30000000)
/* Longest wait for the result of another request with the same key.  */
#define OR_OTHER_WAIT_MAX_US INT64_C (5000000)
/* How long writing the final record is retried after the caller has got its
   response or has disconnected.  */
#define OR_WRITE_MAX_US INT64_C (30000000)

#define OR_ERROR (or_error_quark ())

typedef enum
{
  OR_ERROR_INVALID_RECORD,
} OrError;

typedef enum
{
  OR_STATE_STARTED,   /* may be sent or have been sent */
  OR_STATE_DONE,      /* has the response */
  OR_STATE_ABANDONED, /* was not sent and will not be */
} OrState;

typedef struct
{
  OrState state;
  char *op_id;
  char *vm;
  char request_sha256[65]; /* over method, request target and body */
  int64_t started_ms;
  /* The following only with OR_STATE_DONE.  */
  uint32_t status;
  HtHeaders *headers;
  GBytes *body; /* NULL when too large to store */
  char body_sha256[65];
  uint64_t body_bytes;
} OrRecord;

typedef enum
{
  OR_ACTION_READ,
  OR_ACTION_CAS,
  OR_ACTION_SEND,    /* to a target, before send_by_us */
  OR_ACTION_RESPOND, /* with the response given to or_send_done */
  OR_ACTION_REPLAY,  /* with a stored response and X-Replayed: 1 */
  OR_ACTION_REFUSE,
} OrActionKind;

/* Pointers are valid until the next call for the same OrRequest.  */
typedef struct
{
  OrActionKind kind;
  const char *key;         /* READ, CAS */
  uint64_t expected_index; /* CAS: 0 creates */
  const char *value;       /* CAS */
  gsize value_bytes;
  int64_t send_by_us;       /* SEND */
  uint32_t status;          /* RESPOND, REPLAY, REFUSE */
  const HtHeaders *headers; /* RESPOND, REPLAY */
  const uint8_t *body;      /* RESPOND, REPLAY */
  gsize body_bytes;
  const char *error;   /* REFUSE: "key_reused", "store_down", ... */
  const char *outcome; /* REFUSE: "not_run", "unknown" or "done" */
} OrAction;

/* The same cases as StOutcome.  */
typedef enum
{
  OR_STORE_OK,       /* read: found; CAS: took effect */
  OR_STORE_ABSENT,   /* read: no such key */
  OR_STORE_CONFLICT, /* CAS: the expected index was not the current one */
  OR_STORE_DOWN,     /* nothing was sent, or a read got no reply */
  OR_STORE_UNKNOWN,  /* CAS: may have taken effect */
} OrStoreOutcome;

typedef enum
{
  OR_SEND_NOT_SENT, /* no byte was sent; may be retried */
  OR_SEND_UNKNOWN,  /* sent, but no complete response */
  OR_SEND_COMPLETE, /* a complete response was received */
} OrSendResultKind;

typedef struct
{
  OrSendResultKind kind;
  uint32_t status; /* with UNKNOWN: 502 or 504 */
  const HtHeaders *headers;
  const uint8_t *body;
  gsize body_bytes;
} OrSendResult;

typedef struct
{
  const char *customer;
  const char *idempotency_key;
  const char *method;
  const char *request_target; /* path and query without API keys */
  const void *body;
  gsize body_bytes;
  const char *op_id; /* operation id, unique for each OrRequest */
  const char *vm;
  int64_t deadline_us;
} OrOptions;

typedef struct OrRequest OrRequest;

GQuark or_error_quark (void);

/* An Idempotency-Key is 1 to OR_KEY_MAX_BYTES bytes of printable ASCII.  */
gboolean or_is_valid_key (const char *idempotency_key);

OrRequest *or_new (const OrOptions *options, int64_t now_us, int64_t wall_ms);
void or_free (OrRequest *request);

gboolean or_poll (OrRequest *request, int64_t now_us, int64_t wall_ms,
                  OrAction *action);
void or_store_done (OrRequest *request, OrStoreOutcome outcome, uint64_t index,
                    const char *value, gsize value_bytes, int64_t now_us);
void or_send_done (OrRequest *request, const OrSendResult *send_result,
                   int64_t now_us);

/* Call when the caller has disconnected.  A request that has not been sent by
   then is abandoned; one that has been sent continues.  Returns TRUE when a
   send that is still waiting must be cancelled and reported as
   OR_SEND_NOT_SENT.  */
gboolean or_cancel (OrRequest *request, int64_t now_us);

/* Call when the process is about to exit.  A request without a result gets one
   now; what is written then depends on what the store replies.  Returns TRUE
   when a send must be ended and reported with or_send_done, which decides the
   result.  */
gboolean or_end (OrRequest *request, int64_t now_us);

/* When or_poll is due even without a result; INT64_MAX for never.  */
int64_t or_next_poll_us (const OrRequest *request);
/* TRUE when there are no more actions.  */
gboolean or_finished (const OrRequest *request);

char *or_record_format (const OrRecord *record);
OrRecord *or_record_parse (const char *json, gsize length, GError **error);
void or_record_free (OrRecord *record);

/* "cw/order/20000/SHA256"  */
char *or_record_key (int64_t day, const char *customer,
                     const char *idempotency_key);
/* Prefix of the records that may be deleted on the day of WALL_MS; NULL during
   the first OR_MIDNIGHT_WINDOW_MS of the day.  */
char *or_expired_prefix (int64_t wall_ms);

G_DEFINE_AUTOPTR_CLEANUP_FUNC (OrRecord, or_record_free)
G_DEFINE_AUTOPTR_CLEANUP_FUNC (OrRequest, or_free)

#endif
