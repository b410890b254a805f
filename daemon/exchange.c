#include "daemon/daemon.h"

/* How often the state to report is updated; mb_poll decides when a report is
   sent.  */
#define REPORT_INTERVAL_US (200 * CK_US_PER_MS)
#define HELLO_INTERVAL_US CK_US_PER_S

void
dm_fill_hello (const DmDaemon *daemon, Peer__Hello *hello)
{
  hello->zone = daemon->settings->zone;
  hello->region = daemon->settings->region;
  hello->peer_address = daemon->peer_address;
  hello->http_address = daemon->http_address;
}

static void
set_peer_address (DmDaemon *daemon, const char *vm, const char *text)
{
  const SeAddress *override
      = se_find_override (daemon->settings->peer_connect, vm);
  SeAddress address = { NULL, 0 };

  if (override != NULL)
    {
      pr_set_address (daemon->net, vm, override->ip, override->port);
      return;
    }
  if (se_parse_address (text, &address))
    pr_set_address (daemon->net, vm, address.ip, address.port);
  g_free (address.ip);
}

static void
set_peer_addresses (DmDaemon *daemon, int64_t now_us)
{
  const MbMember *members[DM_VMS_MAX];
  uint32_t count
      = mb_live_members (daemon->members, now_us, members, DM_VMS_MAX);

  for (uint32_t i = 0; i < count; i++)
    if (strcmp (members[i]->vm, daemon->settings->vm) != 0
        && *members[i]->peer_address != '\0')
      set_peer_address (daemon, members[i]->vm, members[i]->peer_address);
}

static uint32_t
slot_load_permille (DmDaemon *daemon, int64_t now_us)
{
  uint32_t usable_count = 0;
  uint32_t in_use_count = 0;
  GHashTableIter iter;
  void *key;

  g_hash_table_iter_init (&iter, daemon->targets);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    {
      SlState state = sl_state (daemon->slots, key, now_us);
      usable_count += state.usable_count;
      in_use_count += state.in_use_count;
    }
  return usable_count == 0 ? 0
                           : MIN (1000, in_use_count * 1000 / usable_count);
}

static void
report_targets (DmDaemon *daemon, int64_t now_us)
{
  g_autoptr (GArray) rows = g_array_new (FALSE, FALSE, sizeof (MbTargetState));
  GHashTableIter iter;
  void *value;

  g_hash_table_iter_init (&iter, daemon->targets);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const DmTarget *target = value;
      SlState state = sl_state (daemon->slots, target->name, now_us);
      MbTargetState row = { .healthy = target->healthy,
                            .draining = target->draining || target->leaving,
                            .free_slots = state.free_count,
                            .held_slots = state.usable_count,
                            .warm_permille = target->warm_permille };

      if (state.held_count == 0)
        continue;
      g_strlcpy (row.target, target->name, sizeof row.target);
      g_array_append_val (rows, row);
    }
  mb_set_targets (daemon->members, (const MbTargetState *)rows->data,
                  rows->len, now_us);
}

static void
report_quotas (DmDaemon *daemon, int64_t now_us)
{
  QtReport reports[MB_QUOTAS_PER_REPORT];
  MbQuotaDemand quotas[MB_QUOTAS_PER_REPORT];
  uint32_t count
      = qt_report (daemon->quotas, reports, MB_QUOTAS_PER_REPORT, now_us);

  for (uint32_t i = 0; i < count; i++)
    quotas[i] = (MbQuotaDemand){ reports[i].quota_id, reports[i].surplus_utok,
                                 reports[i].demand_utok_per_s };
  mb_set_quotas (daemon->members, quotas, count);
}

static void
update_own_report (DmDaemon *daemon, int64_t now_us)
{
  if (now_us < daemon->report_due_us)
    return;
  daemon->report_due_us = now_us + REPORT_INTERVAL_US;
  mb_set_own_state (daemon->members, slot_load_permille (daemon, now_us),
                    daemon->draining,
                    daemon->incarnation != 0 ? daemon->incarnation
                                             : daemon->process_incarnation,
                    now_us);
  report_targets (daemon, now_us);
  report_quotas (daemon, now_us);
  set_peer_addresses (daemon, now_us);
}

static void
send_message (DmDaemon *daemon, MbMessage *message)
{
  Peer__Envelope envelope = PEER__ENVELOPE__INIT;

  if (*message->to == '\0')
    return;
  if (message->report != NULL)
    {
      envelope.body_case = PEER__ENVELOPE__BODY_REPORT;
      envelope.report = message->report;
    }
  else
    {
      envelope.body_case = PEER__ENVELOPE__BODY_DIGEST;
      envelope.digest = message->digest;
    }
  pr_send (daemon->net, message->to, &envelope);
  mb_message_clear (message);
}

/* Sends a hello to each listed VM that is not live and, while no other member
   is live, to the addresses in the settings.  */
static void
send_hellos (DmDaemon *daemon, int64_t now_us)
{
  const MbMember *members[2];
  Peer__Envelope envelope = PEER__ENVELOPE__INIT;
  Peer__Hello hello = PEER__HELLO__INIT;

  if (now_us < daemon->hello_due_us)
    return;
  daemon->hello_due_us = now_us + HELLO_INTERVAL_US;
  dm_fill_hello (daemon, &hello);
  envelope.body_case = PEER__ENVELOPE__BODY_HELLO;
  envelope.hello = &hello;
  for (guint i = 0; i < daemon->entry_vms->len; i++)
    {
      const StVm *vm = g_ptr_array_index (daemon->entry_vms, i);
      const MbMember *member
          = mb_find_member (daemon->members, vm->id, now_us);

      if (vm->leaving || strcmp (vm->id, daemon->settings->vm) == 0
          || (member != NULL && member->live))
        continue;
      if (pr_has_address (daemon->net, vm->id))
        pr_send (daemon->net, vm->id, &envelope);
    }
  if (mb_live_members (daemon->members, now_us, members, 2) > 1)
    return;
  for (guint i = 0; i < daemon->settings->peers->len; i++)
    {
      const SeAddress *address
          = &g_array_index (daemon->settings->peers, SeAddress, i);
      pr_send_hello (daemon->net, address->ip, address->port, &envelope);
    }
}

void
dm_exchange_tick (DmDaemon *daemon, int64_t now_us)
{
  MbMessage message = { 0 };

  update_own_report (daemon, now_us);
  send_hellos (daemon, now_us);
  while (mb_poll (daemon->members, now_us, &message))
    send_message (daemon, &message);
}

static void
on_hello (DmDaemon *daemon, PrConnection *connection,
          const Peer__Envelope *envelope)
{
  const MbMember *member
      = mb_find_member (daemon->members, envelope->from_vm, ck_boot_us ());
  Peer__Envelope reply = PEER__ENVELOPE__INIT;
  Peer__Hello hello = PEER__HELLO__INIT;
  gboolean needs_reply
      = member == NULL || !member->live || *member->peer_address == '\0';

  set_peer_address (daemon, envelope->from_vm, envelope->hello->peer_address);
  mb_receive_hello (daemon->members, envelope->from_vm,
                    envelope->from_incarnation, envelope->hello,
                    ck_boot_us ());
  if (!needs_reply)
    return;
  dm_fill_hello (daemon, &hello);
  reply.body_case = PEER__ENVELOPE__BODY_HELLO;
  reply.hello = &hello;
  pr_reply (connection, 0, &reply);
}

static void
on_report (DmDaemon *daemon, PrConnection *connection,
           const Peer__Envelope *envelope)
{
  MbMessage reply = { 0 };

  (void)connection;
  if (*envelope->report->peer_address != '\0')
    set_peer_address (daemon, envelope->from_vm,
                      envelope->report->peer_address);
  mb_receive_report (daemon->members, envelope->from_vm,
                     envelope->from_incarnation, envelope->report,
                     ck_boot_us (), &reply);
  send_message (daemon, &reply);
}

static void
on_digest (DmDaemon *daemon, PrConnection *connection,
           const Peer__Envelope *envelope)
{
  MbMessage reply = { 0 };

  (void)connection;
  mb_receive_digest (daemon->members, envelope->from_vm,
                     envelope->from_incarnation, envelope->digest,
                     ck_boot_us (), &reply);
  send_message (daemon, &reply);
}

static void
on_settle (DmDaemon *daemon, PrConnection *connection,
           const Peer__Envelope *envelope)
{
  (void)connection;
  dm_receive_settle (daemon, envelope->settle);
}

static void
on_slot_return (DmDaemon *daemon, PrConnection *connection,
                const Peer__Envelope *envelope)
{
  (void)connection;
  dm_receive_slot_return (daemon, envelope->slot_return);
}

static void
on_late_slot_reply (DmDaemon *daemon, PrConnection *connection,
                    const Peer__Envelope *envelope)
{
  (void)connection;
  dm_receive_late_slot_reply (daemon, envelope->from_vm, envelope->slot_reply);
}

static void
on_config_notice (DmDaemon *daemon, PrConnection *connection,
                  const Peer__Envelope *envelope)
{
  (void)connection;
  dm_receive_config_notice (daemon, envelope->from_vm,
                            envelope->config_notice);
}

typedef struct
{
  Peer__Envelope__BodyCase body;
  void (*handle) (DmDaemon *daemon, PrConnection *connection,
                  const Peer__Envelope *envelope);
} Handler;

static const Handler handlers[] = {
  { PEER__ENVELOPE__BODY_HELLO, on_hello },
  { PEER__ENVELOPE__BODY_REPORT, on_report },
  { PEER__ENVELOPE__BODY_DIGEST, on_digest },
  { PEER__ENVELOPE__BODY_PROMISE_REQUEST, dm_receive_promise_request },
  { PEER__ENVELOPE__BODY_LEND_REQUEST, dm_receive_lend_request },
  { PEER__ENVELOPE__BODY_SETTLE, on_settle },
  { PEER__ENVELOPE__BODY_SLOT_REQUEST, dm_receive_slot_request },
  { PEER__ENVELOPE__BODY_SLOT_REPLY, on_late_slot_reply },
  { PEER__ENVELOPE__BODY_SLOT_RETURN, on_slot_return },
  { PEER__ENVELOPE__BODY_CONFIG_NOTICE, on_config_notice },
  { PEER__ENVELOPE__BODY_PART_REQUEST, dm_receive_part_request },
};

/* A reply that arrives after its request has timed out comes here as well.  A
   late slot reply is handled, since its grant has to be returned; others are
   ignored.  */
void
dm_on_message (PrConnection *connection, const Peer__Envelope *envelope,
               void *data)
{
  DmDaemon *daemon = data;
  int64_t start_us = ck_cpu_us ();

  for (size_t i = 0; i < G_N_ELEMENTS (handlers); i++)
    if (handlers[i].body == envelope->body_case)
      handlers[i].handle (daemon, connection, envelope);
  mt_add (daemon->metrics.control_cpu, ck_cpu_us () - start_us);
}
