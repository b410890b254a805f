#include "daemon/daemon.h"

#define EXPIRY_INTERVAL_US (3600 * (int64_t)CK_US_PER_S)

static const OrStoreOutcome store_outcomes[] = {
  [ST_OUTCOME_OK] = OR_STORE_OK,
  [ST_OUTCOME_ABSENT] = OR_STORE_ABSENT,
  [ST_OUTCOME_CONFLICT] = OR_STORE_CONFLICT,
  [ST_OUTCOME_DOWN] = OR_STORE_DOWN,
  [ST_OUTCOME_UNKNOWN] = OR_STORE_UNKNOWN,
};

static void
on_expired_removed (const StResult *result, void *data)
{
  dm_update_store_state (data, result->outcome);
}

/* TRUE for the hubs of the first zone.  It does no harm if two daemons delete
   the records.  */
static gboolean
deletes_expired_records (DmDaemon *daemon, int64_t now_us)
{
  const CfRegion *region;

  if (daemon->config == NULL || daemon->config->regions->len == 0)
    return FALSE;
  region = g_ptr_array_index (daemon->config->regions, 0);
  return region->zones->len > 0
         && strcmp (g_ptr_array_index (region->zones, 0),
                    daemon->settings->zone)
                == 0
         && mb_is_zone_hub (daemon->members, now_us);
}

void
dm_orders_tick (DmDaemon *daemon, int64_t now_us)
{
  g_autofree char *prefix = NULL;

  if (now_us < daemon->order_expiry_due_us
      || !deletes_expired_records (daemon, now_us))
    return;
  daemon->order_expiry_due_us = now_us + EXPIRY_INTERVAL_US;
  prefix = or_expired_prefix (ck_wall_ms ());
  if (prefix != NULL)
    st_delete_prefix (daemon->store, prefix, on_expired_removed, daemon);
}

void
dm_order_start (DmRequest *request, const char *idempotency_key)
{
  FrRequest *front = request->front;
  g_autofree char *op_id = g_uuid_string_random ();
  OrOptions options = { .customer = request->customer,
                        .idempotency_key = idempotency_key,
                        .method = front->method,
                        .request_target = request->request_target,
                        .body = front->body,
                        .body_bytes = front->body_bytes,
                        .op_id = op_id,
                        .vm = request->daemon->settings->vm,
                        .deadline_us = request->deadline_us };

  if (!or_is_valid_key (idempotency_key))
    {
      dm_request_refuse (request, 400, "idempotency_key_malformed", "not_run",
                         0);
      dm_request_free (request);
      return;
    }
  request->state = DM_REQUEST_ORDER;
  request->order = or_new (&options, ck_boot_us (), ck_wall_ms ());
  dm_order_run (request);
}

static void
on_store_result (const StResult *result, void *data)
{
  DmRequest *request = data;

  dm_update_store_state (request->daemon, result->outcome);
  or_store_done (request->order, store_outcomes[result->outcome],
                 result->index, result->value, result->length_bytes,
                 ck_boot_us ());
  dm_order_run (request);
  dm_request_unref (request);
}

static void
record_order (DmRequest *request, EvNumber number, const char *detail)
{
  dm_record (request->daemon, number,
             &(EvFields){ .customer = request->customer,
                          .request_id = request->id,
                          .detail = detail });
}

/* Dispatches a keyed request, unless SEND_BY_US has passed, the caller has
   disconnected or the key has been revoked.  */
static void
send_order (DmRequest *request, int64_t send_by_us)
{
  record_order (request, EV_ORDER_STARTED, NULL);
  if (request->front == NULL || ck_boot_us () >= send_by_us
      || !dm_request_is_valid (request, ck_boot_us ()))
    {
      dm_order_send_done (request,
                          &(OrSendResult){ .kind = OR_SEND_NOT_SENT });
      return;
    }
  request->send_by_us = send_by_us;
  dm_dispatch (request);
}

static void
respond_from_record (DmRequest *request, const OrAction *action)
{
  g_autoptr (HtHeaders) headers = action->headers == NULL
                                      ? ht_headers_new ()
                                      : ht_headers_copy (action->headers);

  ht_headers_set (headers, "X-Replayed", "1");
  record_order (request, EV_ORDER_REPLAYED, NULL);
  mt_add (request->daemon->metrics.answered, 1);
  dm_request_respond (request, action->status, headers, action->body,
                      action->body_bytes);
}

static void
carry_out (DmRequest *request, const OrAction *action)
{
  switch (action->kind)
    {
    case OR_ACTION_READ:
      dm_request_ref (request);
      st_get (request->daemon->store, action->key, on_store_result, request);
      break;
    case OR_ACTION_CAS:
      dm_request_ref (request);
      st_cas (request->daemon->store, action->key, action->expected_index,
              action->value, action->value_bytes, on_store_result, request);
      break;
    case OR_ACTION_SEND:
      send_order (request, action->send_by_us);
      break;
    case OR_ACTION_RESPOND:
      mt_add (request->daemon->metrics.answered, 1);
      record_order (request, EV_ORDER_DONE, NULL);
      dm_request_respond (request, action->status, action->headers,
                          action->body, action->body_bytes);
      break;
    case OR_ACTION_REPLAY:
      respond_from_record (request, action);
      break;
    case OR_ACTION_REFUSE:
      if (strcmp (action->outcome, "unknown") == 0)
        record_order (request, EV_ORDER_UNKNOWN, action->error);
      dm_request_refuse (request, action->status, action->error,
                         action->outcome, 1000);
      break;
    }
}

void
dm_order_run (DmRequest *request)
{
  OrAction action;

  dm_request_ref (request);
  while (or_poll (request->order, ck_boot_us (), ck_wall_ms (), &action))
    carry_out (request, &action);
  dm_request_unref (request);
}

void
dm_order_send_done (DmRequest *request, const OrSendResult *sent)
{
  or_send_done (request->order, sent, ck_boot_us ());
  dm_order_run (request);
}

void
dm_order_end (DmRequest *request)
{
  if (!or_end (request->order, ck_boot_us ()))
    {
      dm_order_run (request);
      return;
    }
  dm_dispatch_cancel (request);
  dm_order_send_done (request, &(OrSendResult){ .kind = request->maybe_sent
                                                            ? OR_SEND_UNKNOWN
                                                            : OR_SEND_NOT_SENT,
                                                .status = 502 });
}
