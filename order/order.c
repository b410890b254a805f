#include "order/order.h"

#include <string.h>

/* Pause before a store call is repeated; doubled up to RETRY_MAX_US.  */
#define RETRY_MIN_US 50000
#define RETRY_MAX_US 500000

typedef enum
{
  PHASE_START,
  PHASE_READ_PREVIOUS, /* the record of the day before */
  PHASE_CREATE,        /* own record in the current slot */
  PHASE_RESOLVE,       /* who holds the current slot? */
  PHASE_SEND,
  PHASE_FOLLOW,      /* wait for the result of another operation */
  PHASE_WRITE,       /* the result into the slots that are held */
  PHASE_WRITE_CHECK, /* did that write take effect? */
  PHASE_FINISHED,
} Phase;

typedef enum
{
  HOLDING_NONE,
  HOLDING_MAYBE, /* a create or a write has an unknown outcome */
  HOLDING_OURS,
} Holding;

typedef struct
{
  char *key;
  uint64_t index; /* what the next CAS expects */
  Holding holding;
} Slot;

typedef enum
{
  END_NO_CAPACITY,
  END_STORE_DOWN,
  END_DEADLINE,
  END_NOT_READ,
  END_KEY_REUSED,
  END_ANSWER_NOT_KEPT,
  END_RUNNING,
  END_RECORD_INVALID,
  END_TARGET_FAILED,
  END_TARGET_TIMEOUT,
  END_ANSWER,
  END_REPLAY,
} End;

static const struct
{
  OrActionKind kind;
  uint32_t status;
  const char *error;
  const char *outcome;
} ends[] = {
  [END_NO_CAPACITY] = { OR_ACTION_REFUSE, 503, "no_capacity", "not_run" },
  /* Until the daemon's own creation of the record has won, an earlier request
     with the same key may have run.  */
  [END_STORE_DOWN] = { OR_ACTION_REFUSE, 503, "store_down", "unknown" },
  [END_NOT_READ] = { OR_ACTION_REFUSE, 503, "deadline", "unknown" },
  [END_DEADLINE] = { OR_ACTION_REFUSE, 503, "deadline", "not_run" },
  [END_KEY_REUSED] = { OR_ACTION_REFUSE, 409, "key_reused", "not_run" },
  [END_ANSWER_NOT_KEPT] = { OR_ACTION_REFUSE, 409, "answer_not_kept", "done" },
  [END_RUNNING] = { OR_ACTION_REFUSE, 409, "order_unknown", "unknown" },
  [END_RECORD_INVALID]
  = { OR_ACTION_REFUSE, 409, "record_invalid", "unknown" },
  [END_TARGET_FAILED] = { OR_ACTION_REFUSE, 502, "target_failed", "unknown" },
  [END_TARGET_TIMEOUT]
  = { OR_ACTION_REFUSE, 504, "target_timeout", "unknown" },
  [END_ANSWER] = { OR_ACTION_ANSWER, 0, NULL, NULL },
  [END_REPLAY] = { OR_ACTION_REPLAY, 0, NULL, NULL },
};

struct OrOrder
{
  char *customer;
  char *idempotency_key;
  char *op_id;
  char *vm;
  char request_sha256[65];
  int64_t deadline_us;

  Phase phase;
  gboolean waiting; /* a call or a send is under way */
  int64_t not_before_us;
  int64_t retry_us;
  int64_t chosen_us; /* when the days were chosen */
  int64_t started_ms;
  char *previous_key; /* NULL near midnight */
  Slot slots[2];
  uint32_t slot_count;
  uint32_t current;
  char *follow_key;
  int64_t follow_until_us; /* 0 until the first poll */

  OrRecord result; /* state is what PHASE_WRITE writes */
  Phase after_write;
  int64_t write_until_us;
  char *value; /* of the CAS under way */

  gboolean ended;     /* the caller's request needs no more action */
  gboolean end_given; /* its action was returned or is not wanted */
  End end;
  gboolean cancelled;
  HtHeaders *answer_headers;
  GBytes *answer_body;
  uint32_t answer_status;
};

static void
digest_request (OrOrder *order, const OrOptions *options)
{
  g_autoptr (GChecksum) checksum = g_checksum_new (G_CHECKSUM_SHA256);

  g_checksum_update (checksum, (const guchar *)options->method,
                     (gssize)strlen (options->method) + 1);
  g_checksum_update (checksum, (const guchar *)options->target,
                     (gssize)strlen (options->target) + 1);
  if (options->body_bytes > 0)
    g_checksum_update (checksum, options->body, (gssize)options->body_bytes);
  g_strlcpy (order->request_sha256, g_checksum_get_string (checksum),
             sizeof order->request_sha256);
}

OrOrder *
or_new (const OrOptions *options, int64_t now_us, int64_t wall_ms)
{
  OrOrder *order = g_new0 (OrOrder, 1);

  g_assert (or_is_key (options->idempotency_key));
  order->customer = g_strdup (options->customer);
  order->idempotency_key = g_strdup (options->idempotency_key);
  order->op_id = g_strdup (options->op_id);
  order->vm = g_strdup (options->vm);
  order->deadline_us = options->deadline_us;
  order->started_ms = wall_ms;
  order->chosen_us = now_us;
  digest_request (order, options);
  return order;
}

static void
clear_slots (OrOrder *order)
{
  for (uint32_t i = 0; i < G_N_ELEMENTS (order->slots); i++)
    g_free (order->slots[i].key);
  memset (order->slots, 0, sizeof order->slots);
  order->slot_count = 0;
  order->current = 0;
  g_clear_pointer (&order->previous_key, g_free);
}

static void
clear_result (OrOrder *order)
{
  g_clear_pointer (&order->result.headers, ht_headers_free);
  g_clear_pointer (&order->result.body, g_bytes_unref);
}

void
or_free (OrOrder *order)
{
  if (order == NULL)
    return;
  clear_slots (order);
  clear_result (order);
  g_clear_pointer (&order->answer_body, g_bytes_unref);
  ht_headers_free (order->answer_headers);
  g_free (order->follow_key);
  g_free (order->value);
  g_free (order->customer);
  g_free (order->idempotency_key);
  g_free (order->op_id);
  g_free (order->vm);
  g_free (order);
}

static void
enter (OrOrder *order, Phase phase)
{
  order->phase = phase;
  order->not_before_us = 0;
  order->retry_us = RETRY_MIN_US;
}

/* Repeats the phase after a pause.  */
static void
retry (OrOrder *order, Phase phase, int64_t now_us)
{
  int64_t pause_us = MAX (order->retry_us, RETRY_MIN_US);

  order->phase = phase;
  order->not_before_us = now_us + pause_us;
  order->retry_us = MIN (2 * pause_us, RETRY_MAX_US);
}

static gboolean
holds_any (const OrOrder *order)
{
  for (uint32_t i = 0; i < order->slot_count; i++)
    if (order->slots[i].holding != HOLDING_NONE)
      return TRUE;
  return FALSE;
}

/* Writes the state of the result into every slot that is held, then enters
   AFTER.  */
static void
write_result (OrOrder *order, OrState state, Phase after, int64_t until_us)
{
  order->result.state = state;
  order->after_write = after;
  order->write_until_us = until_us;
  order->current = 0;
  enter (order, PHASE_WRITE);
}

static void
end_request (OrOrder *order, End end)
{
  if (order->ended)
    return;
  order->ended = TRUE;
  order->end = end;
  order->end_given = order->cancelled;
}

/* Ends the caller's request, unless it has ended.  Records are still to be
   written unless the outcome at the target stays unknown.  */
static void
end_with (OrOrder *order, End end, int64_t now_us)
{
  gboolean unknown = end == END_TARGET_FAILED || end == END_TARGET_TIMEOUT;

  end_request (order, end);
  if (unknown || !holds_any (order))
    enter (order, PHASE_FINISHED);
  else
    write_result (order,
                  end == END_ANSWER ? OR_STATE_DONE : OR_STATE_ABANDONED,
                  PHASE_FINISHED, now_us + OR_WRITE_MAX_US);
}

static gboolean
may_send (const OrOrder *order, int64_t now_us)
{
  return now_us < order->deadline_us
         && now_us - order->chosen_us <= OR_SEND_MAX_US;
}

static void
add_slot (OrOrder *order, int64_t day)
{
  order->slots[order->slot_count++].key
      = or_record_key (day, order->customer, order->idempotency_key);
}

static void
choose_days (OrOrder *order, int64_t now_us, int64_t wall_ms)
{
  int64_t day = wall_ms / OR_DAY_MS;
  int64_t since_ms = wall_ms % OR_DAY_MS;

  clear_slots (order);
  order->chosen_us = now_us;
  order->started_ms = wall_ms;
  if (since_ms > OR_MIDNIGHT_MS && since_ms < OR_DAY_MS - OR_MIDNIGHT_MS)
    {
      order->previous_key
          = or_record_key (day - 1, order->customer, order->idempotency_key);
      add_slot (order, day);
      enter (order, PHASE_READ_PREVIOUS);
      return;
    }
  if (since_ms <= OR_MIDNIGHT_MS)
    day--;
  add_slot (order, day);
  add_slot (order, day + 1);
  enter (order, PHASE_CREATE);
}

static void
replay (OrOrder *order, OrRecord *record, int64_t now_us)
{
  order->answer_status = record->status;
  order->answer_headers = g_steal_pointer (&record->headers);
  order->answer_body = g_steal_pointer (&record->body);
  ht_headers_set (order->answer_headers, "X-Replayed", "1");
  end_with (order, END_REPLAY, now_us);
}

static void
follow_started (OrOrder *order, int64_t now_us)
{
  if (order->follow_until_us == 0)
    order->follow_until_us = now_us + OR_POLL_MAX_US;
  if (now_us >= MIN (order->follow_until_us, order->deadline_us))
    end_with (order, END_RUNNING, now_us);
  else
    retry (order, PHASE_FOLLOW, now_us);
}

/* Acts on the record of another operation while no slot is held.  */
static void
follow (OrOrder *order, OrRecord *record, int64_t now_us)
{
  /* Near midnight two different requests may each create one record.  The
     one that gives up must not bar a repeat of the other, so an abandoned
     record does not bind the key to its request.  */
  if (record->state == OR_STATE_ABANDONED)
    enter (order, PHASE_START);
  else if (strcmp (record->request_sha256, order->request_sha256) != 0)
    end_with (order, END_KEY_REUSED, now_us);
  else if (record->state == OR_STATE_STARTED)
    follow_started (order, now_us);
  else if (record->body == NULL)
    end_with (order, END_ANSWER_NOT_KEPT, now_us);
  else
    replay (order, record, now_us);
}

/* Another operation holds KEY.  Slots of this one are given up first, since
   others who meet them would wait for a result.  */
static void
found_other (OrOrder *order, const char *key, OrRecord *record, int64_t now_us)
{
  char *copy = g_strdup (key);

  g_free (order->follow_key);
  order->follow_key = copy;
  if (!holds_any (order))
    follow (order, record, now_us);
  else
    write_result (order, OR_STATE_ABANDONED, PHASE_FOLLOW, order->deadline_us);
}

static void
next_slot (OrOrder *order)
{
  order->current++;
  enter (order,
         order->current < order->slot_count ? PHASE_CREATE : PHASE_SEND);
}

static gboolean
is_ours (const OrOrder *order, const OrRecord *record)
{
  return strcmp (record->op_id, order->op_id) == 0;
}

static void
previous_read (OrOrder *order, OrStoreOutcome outcome, OrRecord *record,
               int64_t now_us)
{
  if (outcome == OR_STORE_ABSENT)
    enter (order, PHASE_CREATE);
  else if (outcome != OR_STORE_OK)
    end_with (order, END_STORE_DOWN, now_us);
  else if (record == NULL)
    end_with (order, END_RECORD_INVALID, now_us);
  else if (record->state == OR_STATE_ABANDONED)
    enter (order, PHASE_CREATE);
  else
    found_other (order, order->previous_key, record, now_us);
}

static void
created (OrOrder *order, OrStoreOutcome outcome, uint64_t index,
         int64_t now_us)
{
  Slot *slot = &order->slots[order->current];

  switch (outcome)
    {
    case OR_STORE_OK:
      slot->holding = HOLDING_OURS;
      slot->index = index;
      next_slot (order);
      break;
    case OR_STORE_UNKNOWN:
      slot->holding = HOLDING_MAYBE;
      enter (order, PHASE_RESOLVE);
      break;
    case OR_STORE_DOWN:
      if (slot->holding == HOLDING_MAYBE)
        retry (order, PHASE_RESOLVE, now_us);
      else
        end_with (order, END_STORE_DOWN, now_us);
      break;
    default:
      order->phase = PHASE_RESOLVE;
    }
}

static void
resolved (OrOrder *order, OrStoreOutcome outcome, uint64_t index,
          OrRecord *record, int64_t now_us)
{
  Slot *slot = &order->slots[order->current];

  if (outcome == OR_STORE_ABSENT)
    {
      slot->index = 0;
      retry (order, PHASE_CREATE, now_us);
    }
  else if (outcome != OR_STORE_OK)
    retry (order, PHASE_RESOLVE, now_us);
  else if (record == NULL)
    {
      slot->holding = HOLDING_NONE;
      end_with (order, END_RECORD_INVALID, now_us);
    }
  else if (is_ours (order, record) && record->state == OR_STATE_STARTED)
    {
      slot->holding = HOLDING_OURS;
      slot->index = index;
      next_slot (order);
    }
  else if (record->state == OR_STATE_ABANDONED)
    {
      slot->index = index;
      retry (order, PHASE_CREATE, now_us);
      order->not_before_us = 0;
    }
  else
    {
      slot->holding = HOLDING_NONE;
      found_other (order, slot->key, record, now_us);
    }
}

static void
followed (OrOrder *order, OrStoreOutcome outcome, OrRecord *record,
          int64_t now_us)
{
  if (outcome == OR_STORE_ABSENT)
    enter (order, PHASE_START);
  else if (outcome != OR_STORE_OK)
    follow_started (order, now_us);
  else if (record == NULL)
    end_with (order, END_RECORD_INVALID, now_us);
  else
    follow (order, record, now_us);
}

static void
slot_settled (OrOrder *order)
{
  order->slots[order->current].holding = HOLDING_NONE;
  order->current++;
  enter (order, PHASE_WRITE);
}

static void
written (OrOrder *order, OrStoreOutcome outcome, int64_t now_us)
{
  if (outcome == OR_STORE_OK)
    slot_settled (order);
  else if (outcome == OR_STORE_DOWN)
    retry (order, PHASE_WRITE, now_us);
  else
    order->phase = PHASE_WRITE_CHECK;
}

static void
write_checked (OrOrder *order, OrStoreOutcome outcome, uint64_t index,
               const OrRecord *record, int64_t now_us)
{
  Slot *slot = &order->slots[order->current];

  if (outcome != OR_STORE_OK && outcome != OR_STORE_ABSENT)
    retry (order, PHASE_WRITE_CHECK, now_us);
  else if (outcome == OR_STORE_ABSENT)
    {
      slot->index = 0;
      retry (order, PHASE_WRITE, now_us);
    }
  else if (record == NULL || !is_ours (order, record)
           || record->state == order->result.state)
    slot_settled (order);
  else
    {
      slot->index = index;
      retry (order, PHASE_WRITE, now_us);
    }
}

void
or_store_done (OrOrder *order, OrStoreOutcome outcome, uint64_t index,
               const char *value, gsize value_bytes, int64_t now_us)
{
  g_autoptr (OrRecord) record = NULL;

  g_assert (order->waiting);
  order->waiting = FALSE;
  if (outcome == OR_STORE_OK && value != NULL)
    record = or_record_parse (value, value_bytes, NULL);
  switch (order->phase)
    {
    case PHASE_READ_PREVIOUS:
      previous_read (order, outcome, record, now_us);
      break;
    case PHASE_CREATE:
      created (order, outcome, index, now_us);
      break;
    case PHASE_RESOLVE:
      resolved (order, outcome, index, record, now_us);
      break;
    case PHASE_FOLLOW:
      followed (order, outcome, record, now_us);
      break;
    case PHASE_WRITE:
      written (order, outcome, now_us);
      break;
    case PHASE_WRITE_CHECK:
      write_checked (order, outcome, index, record, now_us);
      break;
    default:
      g_assert_not_reached ();
    }
}

static void
keep_answer (OrOrder *order, const OrSent *sent)
{
  g_autofree char *digest = g_compute_checksum_for_data (
      G_CHECKSUM_SHA256, sent->body, sent->body_bytes);

  order->answer_status = sent->status;
  order->answer_headers = sent->headers != NULL
                              ? ht_headers_copy (sent->headers)
                              : ht_headers_new ();
  order->answer_body = g_bytes_new (sent->body, sent->body_bytes);
  order->result.status = sent->status;
  order->result.headers = ht_headers_copy (order->answer_headers);
  order->result.body_bytes = sent->body_bytes;
  g_strlcpy (order->result.body_sha256, digest,
             sizeof order->result.body_sha256);
  if (sent->body_bytes <= OR_BODY_MAX_BYTES)
    order->result.body = g_bytes_ref (order->answer_body);
}

void
or_sent (OrOrder *order, const OrSent *sent, int64_t now_us)
{
  g_assert (order->waiting && order->phase == PHASE_SEND);
  order->waiting = FALSE;
  switch (sent->kind)
    {
    case OR_SENT_NOT:
      end_with (order, END_NO_CAPACITY, now_us);
      break;
    case OR_SENT_UNKNOWN:
      end_with (order,
                sent->status == 504 ? END_TARGET_TIMEOUT : END_TARGET_FAILED,
                now_us);
      break;
    case OR_SENT_ANSWERED:
      keep_answer (order, sent);
      end_with (order, END_ANSWER, now_us);
      break;
    }
}

gboolean
or_cancel (OrOrder *order, int64_t now_us)
{
  order->cancelled = TRUE;
  order->end_given = TRUE;
  if (order->ended || order->phase == PHASE_SEND)
    return order->phase == PHASE_SEND && order->waiting;
  if (!order->waiting)
    end_with (order, END_DEADLINE, now_us);
  return FALSE;
}

static gboolean
is_writing (const OrOrder *order)
{
  return order->phase == PHASE_WRITE || order->phase == PHASE_WRITE_CHECK;
}

/* Why an order that ran out of time is refused.  */
static End
late_end (const OrOrder *order)
{
  if (order->phase == PHASE_FOLLOW || is_writing (order))
    return END_RUNNING;
  if (order->phase == PHASE_RESOLVE)
    return END_STORE_DOWN;
  return order->phase == PHASE_SEND ? END_DEADLINE : END_NOT_READ;
}

/* Ends what can no longer succeed.  */
static void
check_time (OrOrder *order, int64_t now_us)
{
  if (order->phase == PHASE_FINISHED)
    return;
  if (is_writing (order) && order->after_write == PHASE_FINISHED)
    {
      if (now_us >= order->write_until_us)
        enter (order, PHASE_FINISHED);
      return;
    }
  if (is_writing (order) || order->phase == PHASE_FOLLOW)
    {
      if (order->ended || order->cancelled || now_us >= order->deadline_us)
        end_with (order, late_end (order), now_us);
      return;
    }
  if (order->ended || order->cancelled || !may_send (order, now_us))
    end_with (order, late_end (order), now_us);
}

/* A store call may outlast the deadline.  The caller is answered in time; the
   result of the call then says what is to be written.  */
static void
check_deadline (OrOrder *order, int64_t now_us)
{
  if (order->phase != PHASE_SEND && now_us >= order->deadline_us)
    end_request (order, late_end (order));
}

static gboolean
give_end (OrOrder *order, OrAction *action)
{
  gsize body_bytes = 0;

  order->end_given = TRUE;
  action->kind = ends[order->end].kind;
  action->status = ends[order->end].status;
  action->error = ends[order->end].error;
  action->outcome = ends[order->end].outcome;
  if (action->kind == OR_ACTION_REFUSE)
    return TRUE;
  action->status = order->answer_status;
  action->headers = order->answer_headers;
  action->body = g_bytes_get_data (order->answer_body, &body_bytes);
  action->body_bytes = body_bytes;
  return TRUE;
}

static gboolean
give_read (OrOrder *order, const char *key, OrAction *action)
{
  order->waiting = TRUE;
  action->kind = OR_ACTION_READ;
  action->key = key;
  return TRUE;
}

static gboolean
give_cas (OrOrder *order, OrRecord *record, OrAction *action)
{
  const Slot *slot = &order->slots[order->current];

  record->op_id = order->op_id;
  record->vm = order->vm;
  record->started_ms = order->started_ms;
  memcpy (record->request_sha256, order->request_sha256,
          sizeof record->request_sha256);
  g_free (order->value);
  order->value = or_record_format (record);
  order->waiting = TRUE;
  action->kind = OR_ACTION_CAS;
  action->key = slot->key;
  action->expected = slot->index;
  action->value = order->value;
  action->value_bytes = strlen (order->value);
  return TRUE;
}

static gboolean
give_write (OrOrder *order, OrAction *action)
{
  while (order->current < order->slot_count
         && order->slots[order->current].holding == HOLDING_NONE)
    order->current++;
  if (order->current < order->slot_count)
    return give_cas (order, &order->result, action);
  enter (order, order->after_write);
  return FALSE;
}

static gboolean
give_send (OrOrder *order, OrAction *action)
{
  order->waiting = TRUE;
  action->kind = OR_ACTION_SEND;
  action->send_by_us
      = MIN (order->deadline_us, order->chosen_us + OR_SEND_MAX_US);
  return TRUE;
}

static gboolean
give_phase (OrOrder *order, int64_t now_us, int64_t wall_ms, OrAction *action)
{
  OrRecord started = { .state = OR_STATE_STARTED };

  if (order->phase == PHASE_START)
    choose_days (order, now_us, wall_ms);
  switch (order->phase)
    {
    case PHASE_READ_PREVIOUS:
      return give_read (order, order->previous_key, action);
    case PHASE_CREATE:
      return give_cas (order, &started, action);
    case PHASE_RESOLVE:
    case PHASE_WRITE_CHECK:
      return give_read (order, order->slots[order->current].key, action);
    case PHASE_FOLLOW:
      return give_read (order, order->follow_key, action);
    case PHASE_SEND:
      return give_send (order, action);
    case PHASE_WRITE:
      return give_write (order, action)
             || (order->phase != PHASE_FINISHED
                 && give_phase (order, now_us, wall_ms, action));
    default:
      return FALSE;
    }
}

gboolean
or_poll (OrOrder *order, int64_t now_us, int64_t wall_ms, OrAction *action)
{
  memset (action, 0, sizeof *action);
  if (order->waiting)
    check_deadline (order, now_us);
  else
    check_time (order, now_us);
  if (order->ended && !order->end_given)
    return give_end (order, action);
  if (order->waiting || now_us < order->not_before_us)
    return FALSE;
  return give_phase (order, now_us, wall_ms, action);
}

int64_t
or_wake_us (const OrOrder *order)
{
  if (order->ended && !order->end_given)
    return 0;
  if (order->phase == PHASE_FINISHED)
    return INT64_MAX;
  if (order->waiting)
    return order->ended || order->phase == PHASE_SEND ? INT64_MAX
                                                      : order->deadline_us;
  return order->not_before_us;
}

gboolean
or_finished (const OrOrder *order)
{
  return order->phase == PHASE_FINISHED && order->end_given;
}
