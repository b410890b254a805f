#include "order/order.h"

#include <string.h>

/* Delay before a store call is retried; doubled up to RETRY_DELAY_MAX_US.  */
#define RETRY_DELAY_MIN_US 50000
#define RETRY_DELAY_MAX_US 500000

typedef enum
{
  PHASE_CHOOSE_DAYS,
  PHASE_READ_PREVIOUS, /* the record of the previous day */
  PHASE_CREATE,        /* the record of current_day */
  PHASE_FIND_OWNER,    /* read who created the record of current_day */
  PHASE_SEND,
  PHASE_WAIT_FOR_OTHER, /* poll the record of another request */
  PHASE_WRITE,          /* write final_record to the owned day records */
  PHASE_VERIFY_WRITE,   /* read back whether the write took effect */
  PHASE_FINISHED,
} Phase;

typedef enum
{
  OWNERSHIP_NONE,
  OWNERSHIP_UNKNOWN, /* a create had an unknown outcome */
  OWNERSHIP_OWN,
} Ownership;

typedef struct
{
  char *key;
  uint64_t index; /* expected by the next CAS */
  Ownership ownership;
} DayRecord;

typedef enum
{
  RESULT_NO_CAPACITY,
  RESULT_STORE_DOWN,
  RESULT_DEADLINE_NOT_RUN,
  RESULT_DEADLINE_UNKNOWN,
  RESULT_KEY_REUSED,
  RESULT_RESPONSE_NOT_STORED,
  RESULT_OTHER_PENDING,
  RESULT_RECORD_INVALID,
  RESULT_TARGET_FAILED,
  RESULT_TARGET_TIMEOUT,
  RESULT_RESPONSE,
  RESULT_REPLAY,
} Result;

static const struct
{
  OrActionKind kind;
  uint32_t status;
  const char *error;
  const char *outcome;
} results[] = {
  [RESULT_NO_CAPACITY] = { OR_ACTION_REFUSE, 503, "no_capacity", "not_run" },
  /* "unknown", because as long as this request has not created the record, an
     earlier one with the same key may have run.  */
  [RESULT_STORE_DOWN] = { OR_ACTION_REFUSE, 503, "store_down", "unknown" },
  [RESULT_DEADLINE_UNKNOWN] = { OR_ACTION_REFUSE, 503, "deadline", "unknown" },
  [RESULT_DEADLINE_NOT_RUN] = { OR_ACTION_REFUSE, 503, "deadline", "not_run" },
  [RESULT_KEY_REUSED] = { OR_ACTION_REFUSE, 409, "key_reused", "not_run" },
  [RESULT_RESPONSE_NOT_STORED]
  = { OR_ACTION_REFUSE, 409, "answer_not_kept", "done" },
  [RESULT_OTHER_PENDING]
  = { OR_ACTION_REFUSE, 409, "order_unknown", "unknown" },
  [RESULT_RECORD_INVALID]
  = { OR_ACTION_REFUSE, 409, "record_invalid", "unknown" },
  [RESULT_TARGET_FAILED]
  = { OR_ACTION_REFUSE, 502, "target_failed", "unknown" },
  [RESULT_TARGET_TIMEOUT]
  = { OR_ACTION_REFUSE, 504, "target_timeout", "unknown" },
  [RESULT_RESPONSE] = { OR_ACTION_RESPOND, 0, NULL, NULL },
  [RESULT_REPLAY] = { OR_ACTION_REPLAY, 0, NULL, NULL },
};

struct OrRequest
{
  char *customer;
  char *idempotency_key;
  char *op_id;
  char *vm;
  char request_sha256[65];
  int64_t deadline_us;

  Phase phase;
  gboolean waiting;      /* a store call or a send is in progress */
  int64_t not_before_us; /* of the next store call */
  int64_t retry_delay_us;
  int64_t days_chosen_us;
  int64_t started_ms;
  char *previous_key; /* record of the previous day; NULL near midnight */
  DayRecord day_records[2];
  uint32_t day_record_count;
  uint32_t current_day;        /* index into day_records */
  char *other_key;             /* record of another request that is polled */
  int64_t other_wait_until_us; /* 0 until the first poll */

  OrRecord final_record; /* written in PHASE_WRITE */
  Phase phase_after_write;
  int64_t write_until_us;
  char *value; /* of the CAS in progress */

  gboolean has_result;    /* result is set */
  gboolean result_issued; /* its action was returned, or the caller is gone */
  Result result;
  gboolean cancelled;
  HtHeaders *response_headers;
  GBytes *response_body;
  uint32_t response_status;
};

static void
digest_request (OrRequest *request, const OrOptions *options)
{
  g_autoptr (GChecksum) checksum = g_checksum_new (G_CHECKSUM_SHA256);

  g_checksum_update (checksum, (const guchar *)options->method,
                     (gssize)strlen (options->method) + 1);
  g_checksum_update (checksum, (const guchar *)options->request_target,
                     (gssize)strlen (options->request_target) + 1);
  if (options->body_bytes > 0)
    g_checksum_update (checksum, options->body, (gssize)options->body_bytes);
  g_strlcpy (request->request_sha256, g_checksum_get_string (checksum),
             sizeof request->request_sha256);
}

OrRequest *
or_new (const OrOptions *options, int64_t now_us, int64_t wall_ms)
{
  OrRequest *request = g_new0 (OrRequest, 1);

  g_assert (or_is_valid_key (options->idempotency_key));
  request->customer = g_strdup (options->customer);
  request->idempotency_key = g_strdup (options->idempotency_key);
  request->op_id = g_strdup (options->op_id);
  request->vm = g_strdup (options->vm);
  request->deadline_us = options->deadline_us;
  request->started_ms = wall_ms;
  request->days_chosen_us = now_us;
  digest_request (request, options);
  return request;
}

static void
clear_day_records (OrRequest *request)
{
  for (uint32_t i = 0; i < G_N_ELEMENTS (request->day_records); i++)
    g_free (request->day_records[i].key);
  memset (request->day_records, 0, sizeof request->day_records);
  request->day_record_count = 0;
  request->current_day = 0;
  g_clear_pointer (&request->previous_key, g_free);
}

static void
clear_final_record (OrRequest *request)
{
  g_clear_pointer (&request->final_record.headers, ht_headers_free);
  g_clear_pointer (&request->final_record.body, g_bytes_unref);
}

void
or_free (OrRequest *request)
{
  if (request == NULL)
    return;
  clear_day_records (request);
  clear_final_record (request);
  g_clear_pointer (&request->response_body, g_bytes_unref);
  ht_headers_free (request->response_headers);
  g_free (request->other_key);
  g_free (request->value);
  g_free (request->customer);
  g_free (request->idempotency_key);
  g_free (request->op_id);
  g_free (request->vm);
  g_free (request);
}

static void
enter_phase (OrRequest *request, Phase phase)
{
  request->phase = phase;
  request->not_before_us = 0;
  request->retry_delay_us = RETRY_DELAY_MIN_US;
}

/* Enters PHASE; its store call is issued after a backoff delay.  */
static void
retry_phase (OrRequest *request, Phase phase, int64_t now_us)
{
  int64_t delay_us = MAX (request->retry_delay_us, RETRY_DELAY_MIN_US);

  request->phase = phase;
  request->not_before_us = now_us + delay_us;
  request->retry_delay_us = MIN (2 * delay_us, RETRY_DELAY_MAX_US);
}

static gboolean
owns_any (const OrRequest *request)
{
  for (uint32_t i = 0; i < request->day_record_count; i++)
    if (request->day_records[i].ownership != OWNERSHIP_NONE)
      return TRUE;
  return FALSE;
}

/* Writes STATE to every day record that may be owned, then enters AFTER.  */
static void
write_final_record (OrRequest *request, OrState state, Phase after,
                    int64_t until_us)
{
  request->final_record.state = state;
  request->phase_after_write = after;
  request->write_until_us = until_us;
  request->current_day = 0;
  enter_phase (request, PHASE_WRITE);
}

static void
set_result (OrRequest *request, Result result)
{
  if (request->has_result)
    return;
  request->has_result = TRUE;
  request->result = result;
  request->result_issued = request->cancelled;
}

/* Sets the result unless there is one.  Owned records are still written,
   except when the outcome at the target is unknown: they stay started, so that
   no request with the same key is sent.  */
static void
finish_with_result (OrRequest *request, Result result, int64_t now_us)
{
  gboolean unknown
      = result == RESULT_TARGET_FAILED || result == RESULT_TARGET_TIMEOUT;

  set_result (request, result);
  if (unknown || !owns_any (request))
    enter_phase (request, PHASE_FINISHED);
  else
    write_final_record (request,
                        result == RESULT_RESPONSE ? OR_STATE_DONE
                                                  : OR_STATE_ABANDONED,
                        PHASE_FINISHED, now_us + OR_WRITE_MAX_US);
}

static gboolean
may_send (const OrRequest *request, int64_t now_us)
{
  return now_us < request->deadline_us
         && now_us - request->days_chosen_us <= OR_SEND_DELAY_MAX_US;
}

static void
add_day_record (OrRequest *request, int64_t day)
{
  request->day_records[request->day_record_count++].key
      = or_record_key (day, request->customer, request->idempotency_key);
}

static void
choose_days (OrRequest *request, int64_t now_us, int64_t wall_ms)
{
  int64_t day = wall_ms / OR_DAY_MS;
  int64_t since_midnight_ms = wall_ms % OR_DAY_MS;

  clear_day_records (request);
  request->days_chosen_us = now_us;
  request->started_ms = wall_ms;
  if (since_midnight_ms > OR_MIDNIGHT_WINDOW_MS
      && since_midnight_ms < OR_DAY_MS - OR_MIDNIGHT_WINDOW_MS)
    {
      request->previous_key = or_record_key (day - 1, request->customer,
                                             request->idempotency_key);
      add_day_record (request, day);
      enter_phase (request, PHASE_READ_PREVIOUS);
      return;
    }
  if (since_midnight_ms <= OR_MIDNIGHT_WINDOW_MS)
    day--;
  add_day_record (request, day);
  add_day_record (request, day + 1);
  enter_phase (request, PHASE_CREATE);
}

static void
replay_record (OrRequest *request, OrRecord *record, int64_t now_us)
{
  request->response_status = record->status;
  request->response_headers = g_steal_pointer (&record->headers);
  request->response_body = g_steal_pointer (&record->body);
  ht_headers_set (request->response_headers, "X-Replayed", "1");
  finish_with_result (request, RESULT_REPLAY, now_us);
}

static void
wait_for_other (OrRequest *request, int64_t now_us)
{
  if (request->other_wait_until_us == 0)
    request->other_wait_until_us = now_us + OR_OTHER_WAIT_MAX_US;
  if (now_us >= MIN (request->other_wait_until_us, request->deadline_us))
    finish_with_result (request, RESULT_OTHER_PENDING, now_us);
  else
    retry_phase (request, PHASE_WAIT_FOR_OTHER, now_us);
}

/* Acts on RECORD of another request when this one owns no record.  */
static void
handle_other_record (OrRequest *request, OrRecord *record, int64_t now_us)
{
  /* Near midnight two different requests may each create one of the two
     records.  The one that abandons its own must not block a retry of the
     other, so an abandoned record does not bind the key to its request.  */
  if (record->state == OR_STATE_ABANDONED)
    enter_phase (request, PHASE_CHOOSE_DAYS);
  else if (strcmp (record->request_sha256, request->request_sha256) != 0)
    finish_with_result (request, RESULT_KEY_REUSED, now_us);
  else if (record->state == OR_STATE_STARTED)
    wait_for_other (request, now_us);
  else if (record->body == NULL)
    finish_with_result (request, RESULT_RESPONSE_NOT_STORED, now_us);
  else
    replay_record (request, record, now_us);
}

/* Another request owns the record at KEY.  Records of this one are abandoned
   first, because requests that find them would wait for a result.  */
static void
yield_to_other (OrRequest *request, const char *key, OrRecord *record,
                int64_t now_us)
{
  char *copy = g_strdup (key);

  g_free (request->other_key);
  request->other_key = copy;
  if (!owns_any (request))
    handle_other_record (request, record, now_us);
  else
    write_final_record (request, OR_STATE_ABANDONED, PHASE_WAIT_FOR_OTHER,
                        request->deadline_us);
}

static void
advance_day_record (OrRequest *request)
{
  request->current_day++;
  enter_phase (request, request->current_day < request->day_record_count
                            ? PHASE_CREATE
                            : PHASE_SEND);
}

static gboolean
is_own (const OrRequest *request, const OrRecord *record)
{
  return strcmp (record->op_id, request->op_id) == 0;
}

static void
on_previous_read (OrRequest *request, OrStoreOutcome outcome, OrRecord *record,
                  int64_t now_us)
{
  if (outcome == OR_STORE_ABSENT)
    enter_phase (request, PHASE_CREATE);
  else if (outcome != OR_STORE_OK)
    finish_with_result (request, RESULT_STORE_DOWN, now_us);
  else if (record == NULL)
    finish_with_result (request, RESULT_RECORD_INVALID, now_us);
  else if (record->state == OR_STATE_ABANDONED)
    enter_phase (request, PHASE_CREATE);
  else
    yield_to_other (request, request->previous_key, record, now_us);
}

static void
on_created (OrRequest *request, OrStoreOutcome outcome, uint64_t index,
            int64_t now_us)
{
  DayRecord *day_record = &request->day_records[request->current_day];

  switch (outcome)
    {
    case OR_STORE_OK:
      day_record->ownership = OWNERSHIP_OWN;
      day_record->index = index;
      advance_day_record (request);
      break;
    case OR_STORE_UNKNOWN:
      day_record->ownership = OWNERSHIP_UNKNOWN;
      enter_phase (request, PHASE_FIND_OWNER);
      break;
    case OR_STORE_DOWN:
      if (day_record->ownership == OWNERSHIP_UNKNOWN)
        retry_phase (request, PHASE_FIND_OWNER, now_us);
      else
        finish_with_result (request, RESULT_STORE_DOWN, now_us);
      break;
    default:
      request->phase = PHASE_FIND_OWNER;
    }
}

static void
on_owner_read (OrRequest *request, OrStoreOutcome outcome, uint64_t index,
               OrRecord *record, int64_t now_us)
{
  DayRecord *day_record = &request->day_records[request->current_day];

  if (outcome == OR_STORE_ABSENT)
    {
      day_record->index = 0;
      retry_phase (request, PHASE_CREATE, now_us);
    }
  else if (outcome != OR_STORE_OK)
    retry_phase (request, PHASE_FIND_OWNER, now_us);
  else if (record == NULL)
    {
      day_record->ownership = OWNERSHIP_NONE;
      finish_with_result (request, RESULT_RECORD_INVALID, now_us);
    }
  else if (is_own (request, record) && record->state == OR_STATE_STARTED)
    {
      day_record->ownership = OWNERSHIP_OWN;
      day_record->index = index;
      advance_day_record (request);
    }
  else if (record->state == OR_STATE_ABANDONED)
    {
      day_record->index = index;
      /* The abandoned record is overwritten at once; only the delay of the
         next retry grows.  */
      retry_phase (request, PHASE_CREATE, now_us);
      request->not_before_us = 0;
    }
  else
    {
      day_record->ownership = OWNERSHIP_NONE;
      yield_to_other (request, day_record->key, record, now_us);
    }
}

static void
on_other_read (OrRequest *request, OrStoreOutcome outcome, OrRecord *record,
               int64_t now_us)
{
  if (outcome == OR_STORE_ABSENT)
    enter_phase (request, PHASE_CHOOSE_DAYS);
  else if (outcome != OR_STORE_OK)
    wait_for_other (request, now_us);
  else if (record == NULL)
    finish_with_result (request, RESULT_RECORD_INVALID, now_us);
  else
    handle_other_record (request, record, now_us);
}

static void
finish_day_record (OrRequest *request)
{
  request->day_records[request->current_day].ownership = OWNERSHIP_NONE;
  request->current_day++;
  enter_phase (request, PHASE_WRITE);
}

static void
on_written (OrRequest *request, OrStoreOutcome outcome, int64_t now_us)
{
  if (outcome == OR_STORE_OK)
    finish_day_record (request);
  else if (outcome == OR_STORE_DOWN)
    retry_phase (request, PHASE_WRITE, now_us);
  else
    request->phase = PHASE_VERIFY_WRITE;
}

static void
on_write_verified (OrRequest *request, OrStoreOutcome outcome, uint64_t index,
                   const OrRecord *record, int64_t now_us)
{
  DayRecord *day_record = &request->day_records[request->current_day];

  if (outcome != OR_STORE_OK && outcome != OR_STORE_ABSENT)
    retry_phase (request, PHASE_VERIFY_WRITE, now_us);
  else if (outcome == OR_STORE_ABSENT)
    {
      day_record->index = 0;
      retry_phase (request, PHASE_WRITE, now_us);
    }
  else if (record == NULL || !is_own (request, record)
           || record->state == request->final_record.state)
    finish_day_record (request);
  else
    {
      day_record->index = index;
      retry_phase (request, PHASE_WRITE, now_us);
    }
}

void
or_store_done (OrRequest *request, OrStoreOutcome outcome, uint64_t index,
               const char *value, gsize value_bytes, int64_t now_us)
{
  g_autoptr (OrRecord) record = NULL;

  g_assert (request->waiting);
  request->waiting = FALSE;
  if (outcome == OR_STORE_OK && value != NULL)
    record = or_record_parse (value, value_bytes, NULL);
  switch (request->phase)
    {
    case PHASE_READ_PREVIOUS:
      on_previous_read (request, outcome, record, now_us);
      break;
    case PHASE_CREATE:
      on_created (request, outcome, index, now_us);
      break;
    case PHASE_FIND_OWNER:
      on_owner_read (request, outcome, index, record, now_us);
      break;
    case PHASE_WAIT_FOR_OTHER:
      on_other_read (request, outcome, record, now_us);
      break;
    case PHASE_WRITE:
      on_written (request, outcome, now_us);
      break;
    case PHASE_VERIFY_WRITE:
      on_write_verified (request, outcome, index, record, now_us);
      break;
    default:
      g_assert_not_reached ();
    }
}

static void
save_response (OrRequest *request, const OrSendResult *send_result)
{
  g_autofree char *digest = g_compute_checksum_for_data (
      G_CHECKSUM_SHA256, send_result->body, send_result->body_bytes);

  request->response_status = send_result->status;
  request->response_headers = send_result->headers != NULL
                                  ? ht_headers_copy (send_result->headers)
                                  : ht_headers_new ();
  request->response_body
      = g_bytes_new (send_result->body, send_result->body_bytes);
  request->final_record.status = send_result->status;
  request->final_record.headers = ht_headers_copy (request->response_headers);
  request->final_record.body_bytes = send_result->body_bytes;
  g_strlcpy (request->final_record.body_sha256, digest,
             sizeof request->final_record.body_sha256);
  if (send_result->body_bytes <= OR_BODY_MAX_BYTES)
    request->final_record.body = g_bytes_ref (request->response_body);
}

void
or_send_done (OrRequest *request, const OrSendResult *send_result,
              int64_t now_us)
{
  g_assert (request->waiting && request->phase == PHASE_SEND);
  request->waiting = FALSE;
  switch (send_result->kind)
    {
    case OR_SEND_NOT_SENT:
      finish_with_result (request, RESULT_NO_CAPACITY, now_us);
      break;
    case OR_SEND_UNKNOWN:
      finish_with_result (request,
                          send_result->status == 504 ? RESULT_TARGET_TIMEOUT
                                                     : RESULT_TARGET_FAILED,
                          now_us);
      break;
    case OR_SEND_COMPLETE:
      save_response (request, send_result);
      finish_with_result (request, RESULT_RESPONSE, now_us);
      break;
    }
}

gboolean
or_cancel (OrRequest *request, int64_t now_us)
{
  request->cancelled = TRUE;
  request->result_issued = TRUE;
  if (request->has_result || request->phase == PHASE_SEND)
    return request->phase == PHASE_SEND && request->waiting;
  if (!request->waiting)
    finish_with_result (request, RESULT_DEADLINE_NOT_RUN, now_us);
  return FALSE;
}

static gboolean
is_writing (const OrRequest *request)
{
  return request->phase == PHASE_WRITE || request->phase == PHASE_VERIFY_WRITE;
}

/* Returns the result of a request that has reached its deadline or can no
   longer be sent.  */
static Result
deadline_result (const OrRequest *request)
{
  if (request->phase == PHASE_WAIT_FOR_OTHER || is_writing (request))
    return RESULT_OTHER_PENDING;
  if (request->phase == PHASE_FIND_OWNER)
    return RESULT_STORE_DOWN;
  return request->phase == PHASE_SEND ? RESULT_DEADLINE_NOT_RUN
                                      : RESULT_DEADLINE_UNKNOWN;
}

gboolean
or_end (OrRequest *request, int64_t now_us)
{
  if (request->phase == PHASE_SEND && request->waiting)
    return TRUE;
  if (request->has_result || request->cancelled)
    return FALSE;
  if (request->waiting)
    set_result (request, deadline_result (request));
  else
    finish_with_result (request, deadline_result (request), now_us);
  return FALSE;
}

/* Ends a request or a write that can no longer succeed.  */
static void
check_timeouts (OrRequest *request, int64_t now_us)
{
  if (request->phase == PHASE_FINISHED)
    return;
  if (is_writing (request) && request->phase_after_write == PHASE_FINISHED)
    {
      if (now_us >= request->write_until_us)
        enter_phase (request, PHASE_FINISHED);
      return;
    }
  if (is_writing (request) || request->phase == PHASE_WAIT_FOR_OTHER)
    {
      if (request->has_result || request->cancelled
          || now_us >= request->deadline_us)
        finish_with_result (request, deadline_result (request), now_us);
      return;
    }
  if (request->has_result || request->cancelled || !may_send (request, now_us))
    finish_with_result (request, deadline_result (request), now_us);
}

/* A store call may end after the deadline.  The caller is refused at the
   deadline; what is written then depends on the result of the call.  */
static void
check_deadline (OrRequest *request, int64_t now_us)
{
  if (request->phase != PHASE_SEND && now_us >= request->deadline_us)
    set_result (request, deadline_result (request));
}

static gboolean
issue_result (OrRequest *request, OrAction *action)
{
  gsize body_bytes = 0;

  request->result_issued = TRUE;
  action->kind = results[request->result].kind;
  action->status = results[request->result].status;
  action->error = results[request->result].error;
  action->outcome = results[request->result].outcome;
  if (action->kind == OR_ACTION_REFUSE)
    return TRUE;
  action->status = request->response_status;
  action->headers = request->response_headers;
  action->body = g_bytes_get_data (request->response_body, &body_bytes);
  action->body_bytes = body_bytes;
  return TRUE;
}

static gboolean
issue_read (OrRequest *request, const char *key, OrAction *action)
{
  request->waiting = TRUE;
  action->kind = OR_ACTION_READ;
  action->key = key;
  return TRUE;
}

static gboolean
issue_cas (OrRequest *request, OrRecord *record, OrAction *action)
{
  const DayRecord *day_record = &request->day_records[request->current_day];

  record->op_id = request->op_id;
  record->vm = request->vm;
  record->started_ms = request->started_ms;
  memcpy (record->request_sha256, request->request_sha256,
          sizeof record->request_sha256);
  g_free (request->value);
  request->value = or_record_format (record);
  request->waiting = TRUE;
  action->kind = OR_ACTION_CAS;
  action->key = day_record->key;
  action->expected_index = day_record->index;
  action->value = request->value;
  action->value_bytes = strlen (request->value);
  return TRUE;
}

static gboolean
issue_write (OrRequest *request, OrAction *action)
{
  while (request->current_day < request->day_record_count
         && request->day_records[request->current_day].ownership
                == OWNERSHIP_NONE)
    request->current_day++;
  if (request->current_day < request->day_record_count)
    return issue_cas (request, &request->final_record, action);
  enter_phase (request, request->phase_after_write);
  return FALSE;
}

static gboolean
issue_send (OrRequest *request, OrAction *action)
{
  request->waiting = TRUE;
  action->kind = OR_ACTION_SEND;
  action->send_by_us = MIN (request->deadline_us,
                            request->days_chosen_us + OR_SEND_DELAY_MAX_US);
  return TRUE;
}

static gboolean
issue_phase (OrRequest *request, int64_t now_us, int64_t wall_ms,
             OrAction *action)
{
  OrRecord started = { .state = OR_STATE_STARTED };

  if (request->phase == PHASE_CHOOSE_DAYS)
    choose_days (request, now_us, wall_ms);
  switch (request->phase)
    {
    case PHASE_READ_PREVIOUS:
      return issue_read (request, request->previous_key, action);
    case PHASE_CREATE:
      return issue_cas (request, &started, action);
    case PHASE_FIND_OWNER:
    case PHASE_VERIFY_WRITE:
      return issue_read (
          request, request->day_records[request->current_day].key, action);
    case PHASE_WAIT_FOR_OTHER:
      return issue_read (request, request->other_key, action);
    case PHASE_SEND:
      return issue_send (request, action);
    case PHASE_WRITE:
      return issue_write (request, action)
             || (request->phase != PHASE_FINISHED
                 && issue_phase (request, now_us, wall_ms, action));
    default:
      return FALSE;
    }
}

gboolean
or_poll (OrRequest *request, int64_t now_us, int64_t wall_ms, OrAction *action)
{
  memset (action, 0, sizeof *action);
  if (request->waiting)
    check_deadline (request, now_us);
  else
    check_timeouts (request, now_us);
  if (request->has_result && !request->result_issued)
    return issue_result (request, action);
  if (request->waiting || now_us < request->not_before_us)
    return FALSE;
  return issue_phase (request, now_us, wall_ms, action);
}

int64_t
or_next_poll_us (const OrRequest *request)
{
  if (request->has_result && !request->result_issued)
    return 0;
  if (request->phase == PHASE_FINISHED)
    return INT64_MAX;
  if (request->waiting)
    return request->has_result || request->phase == PHASE_SEND
               ? INT64_MAX
               : request->deadline_us;
  return request->not_before_us;
}

gboolean
or_finished (const OrRequest *request)
{
  return request->phase == PHASE_FINISHED && request->result_issued;
}
