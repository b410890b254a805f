#include <xxhash.h>

#include "daemon/daemon.h"

/* A reply that takes longer counts as lost.  The round trip to another region
   takes 24 ms.  */
#define LEND_TIMEOUT_MS 300
/* Quotas for which tokens are borrowed in one tick, by highest demand.  */
#define BORROWED_QUOTAS_MAX 32
#define SURPLUSES_MAX (BORROWED_QUOTAS_MAX * MB_LENDERS_PER_QUOTA)
#define LEND_REQUESTS_MAX 64
#define SETTLEMENTS_PER_TICK 256
/* Members change rarely, and a wrong aggregator only causes refusals.  */
#define AGGREGATORS_INTERVAL_US G_USEC_PER_SEC
/* The burst of a link is a quarter of its bytes per second.  */
#define LINK_BURST_DIVISOR 4

typedef struct
{
  DmDaemon *daemon;
  uint32_t count;
  QtLendRequest requests[]; /* vm is not used */
} LendContext;

/* Ids are hashes of names, so that daemons agree on them even while their
   configuration versions differ.  0 is not a valid id.  */
uint32_t
dm_quota_id (const char *kind, const char *name, const char *other)
{
  g_autofree char *text
      = g_strdup_printf ("%s/%s/%s", kind, name, other == NULL ? "" : other);
  uint32_t id = XXH32 (text, strlen (text), 0);

  return id == 0 ? 1 : id;
}

typedef struct
{
  DmDaemon *daemon; /* NULL: only collects the ids */
  GHashTable *ids;  /* set of quota ids */
  int64_t now_us;
  gboolean distinct; /* no two quotas have the same id */
} QuotaDefinition;

static void
define_quota (QuotaDefinition *definition, uint32_t id,
              int64_t rate_utok_per_s, int64_t burst_utok)
{
  if (!g_hash_table_add (definition->ids, GUINT_TO_POINTER (id)))
    definition->distinct = FALSE;
  else if (definition->daemon != NULL)
    qt_define (definition->daemon->quotas, id, rate_utok_per_s, burst_utok,
               definition->now_us);
}

/* The cap has to hold within every second, so the burst is small.  */
static int64_t
shift_burst_utok (const CfShift *shift)
{
  return MAX (QT_TOKEN_UTOK, (int64_t)shift->cap_per_s * QT_TOKEN_UTOK / 10);
}

static void
define_quotas (QuotaDefinition *definition, const CfConfig *config)
{
  for (guint i = 0; i < config->customers->len; i++)
    {
      const CfCustomer *row = g_ptr_array_index (config->customers, i);
      define_quota (definition, dm_quota_id ("customer", row->name, NULL),
                    (int64_t)row->rate_per_s * QT_TOKEN_UTOK,
                    (int64_t)row->burst * QT_TOKEN_UTOK);
    }
  for (guint i = 0; i < config->shifts->len; i++)
    {
      const CfShift *row = g_ptr_array_index (config->shifts, i);
      define_quota (definition, dm_quota_id ("shift", row->name, NULL),
                    (int64_t)row->cap_per_s * QT_TOKEN_UTOK,
                    shift_burst_utok (row));
    }
  for (guint i = 0; i < config->links->len; i++)
    {
      const CfLink *row = g_ptr_array_index (config->links, i);
      int64_t bytes_per_s = (int64_t)row->mbit_per_s * 125000;
      define_quota (definition, dm_quota_id ("link", row->from, row->to),
                    bytes_per_s, bytes_per_s / LINK_BURST_DIVISOR);
    }
}

static void
remove_dropped_quotas (DmDaemon *daemon, const CfConfig *former,
                       GHashTable *ids)
{
  g_autoptr (GHashTable) former_ids = g_hash_table_new (NULL, NULL);
  QuotaDefinition former_definition = { .ids = former_ids, .distinct = TRUE };
  GHashTableIter iter;
  void *id;

  if (former == NULL)
    return;
  define_quotas (&former_definition, former);
  g_hash_table_iter_init (&iter, former_ids);
  while (g_hash_table_iter_next (&iter, &id, NULL))
    if (!g_hash_table_contains (ids, id))
      qt_remove (daemon->quotas, GPOINTER_TO_UINT (id));
}

gboolean
dm_quotas_define (DmDaemon *daemon, const CfConfig *config,
                  const CfConfig *former, int64_t now_us)
{
  g_autoptr (GHashTable) ids = g_hash_table_new (NULL, NULL);
  QuotaDefinition definition
      = { .daemon = daemon, .ids = ids, .now_us = now_us, .distinct = TRUE };

  define_quotas (&definition, config);
  remove_dropped_quotas (daemon, former, ids);
  daemon->aggregators_due_us = 0;
  return definition.distinct;
}

static void
accept_token_grant (DmDaemon *daemon, const char *vm,
                    const Peer__LendItem *item, int64_t sent_us)
{
  QtGrant grant = { .quota_id = item->quota_id,
                    .valid_ms = item->valid_ms,
                    .grant_id = item->grant_id,
                    .amount_utok = item->amount_utok };

  if (item->amount_utok <= 0)
    return;
  g_strlcpy (grant.lender, vm, sizeof grant.lender);
  qt_accept_grant (daemon->quotas, &grant, sent_us, ck_boot_us ());
}

static void
on_lend_reply (const char *vm, const Peer__Envelope *envelope, int64_t sent_us,
               void *data)
{
  LendContext *context = data;
  DmDaemon *daemon = context->daemon;

  for (uint32_t i = 0; i < context->count; i++)
    qt_lend_request_done (daemon->quotas, context->requests[i].quota_id, vm,
                          context->requests[i].want_utok, ck_boot_us ());
  dm_context_free (daemon, context);
  if (envelope == NULL
      || envelope->body_case != PEER__ENVELOPE__BODY_LEND_REPLY)
    return;
  for (size_t i = 0; i < envelope->lend_reply->n_grants; i++)
    accept_token_grant (daemon, vm, envelope->lend_reply->grants[i], sent_us);
}

/* Sends all lend requests for VM in one message.  */
static void
send_lend_request (DmDaemon *daemon, const char *vm,
                   const QtLendRequest *requests, uint32_t count)
{
  Peer__Envelope envelope = PEER__ENVELOPE__INIT;
  Peer__LendRequest body = PEER__LEND_REQUEST__INIT;
  Peer__LendItem items[LEND_REQUESTS_MAX];
  Peer__LendItem *wants[LEND_REQUESTS_MAX];
  LendContext *context = dm_context_new (
      daemon, sizeof *context + count * sizeof context->requests[0]);

  context->daemon = daemon;
  context->count = 0;
  for (uint32_t i = 0; i < count; i++)
    {
      if (strcmp (requests[i].vm, vm) != 0)
        continue;
      peer__lend_item__init (&items[context->count]);
      items[context->count].quota_id = requests[i].quota_id;
      items[context->count].amount_utok = requests[i].want_utok;
      wants[context->count] = &items[context->count];
      context->requests[context->count++] = requests[i];
    }
  body.n_wants = context->count;
  body.wants = wants;
  envelope.body_case = PEER__ENVELOPE__BODY_LEND_REQUEST;
  envelope.lend_request = &body;
  pr_request (daemon->net, vm, &envelope, LEND_TIMEOUT_MS, on_lend_reply,
              context);
}

static void
send_lend_requests (DmDaemon *daemon, const QtLendRequest *requests,
                    uint32_t count)
{
  for (uint32_t i = 0; i < count; i++)
    {
      gboolean seen = FALSE;

      for (uint32_t j = 0; j < i && !seen; j++)
        seen = strcmp (requests[j].vm, requests[i].vm) == 0;
      if (!seen)
        send_lend_request (daemon, requests[i].vm, requests, count);
    }
}

/* Finds other live members, from a random one on, and assumes a surplus of one
   token for each.  Used if no surplus of the quota is reported, since a report
   contains only a few quotas.  */
static uint32_t
find_any_lenders (DmDaemon *daemon, uint32_t quota_id, QtPeerSurplus *rows,
                  int64_t now_us)
{
  const MbMember *members[DM_VMS_MAX];
  uint32_t live_count
      = mb_live_members (daemon->members, now_us, members, DM_VMS_MAX);
  uint32_t first = (uint32_t)(dm_random (daemon) % MAX (live_count, 1));
  uint32_t count = 0;

  for (uint32_t i = 0; i < live_count && count < MB_LENDERS_PER_QUOTA; i++)
    {
      const MbMember *member = members[(first + i) % live_count];

      if (strcmp (member->vm, daemon->settings->vm) != 0)
        rows[count++] = (QtPeerSurplus){ member->vm, quota_id, QT_TOKEN_UTOK };
    }
  return count;
}

static uint32_t
find_lenders (DmDaemon *daemon, uint32_t quota_id, QtPeerSurplus *rows,
              int64_t now_us)
{
  const char *vms[MB_LENDERS_PER_QUOTA];
  int64_t surplus_utok[MB_LENDERS_PER_QUOTA];
  uint32_t count;

  /* The aggregator asks any members, since the surplus of such a quota changes
     faster than it is reported.  */
  if (qt_is_aggregator (daemon->quotas, quota_id))
    return find_any_lenders (daemon, quota_id, rows, now_us);
  count = mb_lenders (daemon->members, quota_id, now_us, vms, surplus_utok,
                      MB_LENDERS_PER_QUOTA);

  for (uint32_t i = 0; i < count; i++)
    rows[i] = (QtPeerSurplus){ vms[i], quota_id, surplus_utok[i] };
  return count > 0 ? count : find_any_lenders (daemon, quota_id, rows, now_us);
}

/* The aggregator of a quota whose burst is below one token per member is the
   live member with the highest rendezvous hash.  */
static void
update_aggregator (DmDaemon *daemon, uint32_t quota_id, int64_t burst_utok,
                   const MbMember *const *members, uint32_t count)
{
  const char *aggregator = NULL;
  uint64_t best_hash = 0;

  if (burst_utok < (int64_t)count * QT_TOKEN_UTOK)
    for (uint32_t i = 0; i < count; i++)
      {
        const char *vm = members[i]->vm;
        uint64_t hash = XXH64 (vm, strlen (vm), quota_id);

        if (aggregator == NULL || hash > best_hash)
          {
            aggregator = vm;
            best_hash = hash;
          }
      }
  qt_set_aggregator (daemon->quotas, quota_id, aggregator);
}

static void
update_aggregators (DmDaemon *daemon, int64_t now_us)
{
  const CfConfig *config = daemon->config;
  const MbMember *members[DM_VMS_MAX];
  uint32_t count;

  if (config == NULL || now_us < daemon->aggregators_due_us)
    return;
  daemon->aggregators_due_us = now_us + AGGREGATORS_INTERVAL_US;
  count = mb_live_members (daemon->members, now_us, members, DM_VMS_MAX);
  for (guint i = 0; i < config->customers->len; i++)
    {
      const CfCustomer *row = g_ptr_array_index (config->customers, i);
      update_aggregator (daemon, dm_quota_id ("customer", row->name, NULL),
                         (int64_t)row->burst * QT_TOKEN_UTOK, members, count);
    }
  for (guint i = 0; i < config->shifts->len; i++)
    {
      const CfShift *row = g_ptr_array_index (config->shifts, i);
      update_aggregator (daemon, dm_quota_id ("shift", row->name, NULL),
                         shift_burst_utok (row), members, count);
    }
}

static void
borrow_tokens (DmDaemon *daemon, int64_t now_us)
{
  QtReport reports[BORROWED_QUOTAS_MAX];
  QtPeerSurplus surpluses[SURPLUSES_MAX];
  QtLendRequest requests[LEND_REQUESTS_MAX];
  uint32_t report_count
      = qt_report (daemon->quotas, reports, BORROWED_QUOTAS_MAX, now_us);
  uint32_t surplus_count = 0;
  uint32_t request_count;

  for (uint32_t i = 0; i < report_count; i++)
    if (reports[i].demand_utok_per_s > 0)
      surplus_count += find_lenders (daemon, reports[i].quota_id,
                                     surpluses + surplus_count, now_us);
  request_count
      = qt_plan_lend_requests (daemon->quotas, surpluses, surplus_count,
                               requests, LEND_REQUESTS_MAX, now_us);
  send_lend_requests (daemon, requests, request_count);
}

static void
send_settlements (DmDaemon *daemon, const char *lender, GArray *settlements)
{
  Peer__Envelope envelope = PEER__ENVELOPE__INIT;
  Peer__Settle body = PEER__SETTLE__INIT;
  Peer__SettleItem items[SETTLEMENTS_PER_TICK];
  Peer__SettleItem *pointers[SETTLEMENTS_PER_TICK];

  for (guint i = 0; i < settlements->len; i++)
    {
      const QtSettlement *settle
          = &g_array_index (settlements, QtSettlement, i);

      if (strcmp (settle->lender, lender) != 0)
        continue;
      peer__settle_item__init (&items[body.n_items]);
      items[body.n_items].grant_id = settle->grant_id;
      items[body.n_items].spent_utok = settle->spent_utok;
      pointers[body.n_items] = &items[body.n_items];
      body.n_items++;
    }
  body.items = pointers;
  envelope.body_case = PEER__ENVELOPE__BODY_SETTLE;
  envelope.settle = &body;
  pr_send (daemon->net, lender, &envelope);
}

static void
settle_grants (DmDaemon *daemon, int64_t now_us)
{
  g_autoptr (GArray) settlements
      = g_array_new (FALSE, FALSE, sizeof (QtSettlement));
  QtSettlement row;

  while (settlements->len < SETTLEMENTS_PER_TICK
         && qt_next_settlement (daemon->quotas, now_us, &row))
    g_array_append_val (settlements, row);
  for (guint i = 0; i < settlements->len; i++)
    {
      const char *lender = g_array_index (settlements, QtSettlement, i).lender;
      gboolean seen = FALSE;

      for (guint j = 0; j < i && !seen; j++)
        seen = strcmp (g_array_index (settlements, QtSettlement, j).lender,
                       lender)
               == 0;
      if (!seen)
        send_settlements (daemon, lender, settlements);
    }
}

void
dm_lending_tick (DmDaemon *daemon, int64_t now_us)
{
  if (daemon->settings->admission == SE_ADMISSION_SPLIT)
    return;
  update_aggregators (daemon, now_us);
  borrow_tokens (daemon, now_us);
  settle_grants (daemon, now_us);
}

void
dm_receive_lend_request (DmDaemon *daemon, PrConnection *connection,
                         const Peer__Envelope *envelope)
{
  const Peer__LendRequest *request = envelope->lend_request;
  size_t count = MIN (request->n_wants, LEND_REQUESTS_MAX);
  Peer__Envelope reply = PEER__ENVELOPE__INIT;
  Peer__LendReply body = PEER__LEND_REPLY__INIT;
  Peer__LendItem items[LEND_REQUESTS_MAX];
  Peer__LendItem *grants[LEND_REQUESTS_MAX];

  for (size_t i = 0; i < count; i++)
    {
      QtGrant grant = qt_lend (daemon->quotas, request->wants[i]->quota_id,
                               envelope->from_vm,
                               request->wants[i]->amount_utok, ck_boot_us ());

      peer__lend_item__init (&items[i]);
      items[i].quota_id = request->wants[i]->quota_id;
      items[i].amount_utok = grant.amount_utok;
      items[i].grant_id = grant.grant_id;
      items[i].valid_ms = grant.valid_ms;
      grants[i] = &items[i];
    }
  body.n_grants = count;
  body.grants = grants;
  reply.body_case = PEER__ENVELOPE__BODY_LEND_REPLY;
  reply.lend_reply = &body;
  pr_reply (connection, envelope->id, &reply);
}

void
dm_receive_settle (DmDaemon *daemon, const Peer__Settle *settle)
{
  for (size_t i = 0; i < settle->n_items; i++)
    qt_apply_settlement (daemon->quotas, settle->items[i]->grant_id,
                         settle->items[i]->spent_utok, ck_boot_us ());
}
