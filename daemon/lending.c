#include <xxhash.h>

#include "daemon/daemon.h"

/* Lenders in other regions are 24 ms away; more means that they are lost.  */
#define LEND_TIMEOUT_MS 300
#define WANTED_MAX 32
#define SURPLUS_MAX (WANTED_MAX * MB_LENDERS_PER_QUOTA)
#define ASKS_MAX 64
#define SETTLES_PER_TICK 256
/* Members change rarely; a wrong gatherer costs refusals only.  */
#define GATHERERS_INTERVAL_US G_USEC_PER_SEC
#define LINK_BURST_PER_S 4 /* burst of a link: a quarter of a second */

typedef struct
{
  DmDaemon *daemon;
  uint32_t count;
  QtLendRequest asks[]; /* vm is not used */
} Round;

/* Ids follow from names, so that daemons agree on them also while their
   configurations differ.  0 is no quota.  */
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
  DmDaemon *daemon;
  GHashTable *ids; /* set of quota ids */
  int64_t now_us;
  gboolean distinct;
} Define;

static void
define (Define *to, uint32_t id, int64_t rate_utok_per_s, int64_t burst_utok)
{
  if (!g_hash_table_add (to->ids, GUINT_TO_POINTER (id)))
    to->distinct = FALSE;
  else if (to->daemon != NULL)
    qt_define (to->daemon->quotas, id, rate_utok_per_s, burst_utok,
               to->now_us);
}

/* A cap bounds each second, so its burst is small.  */
static int64_t
shift_burst (const CfShift *shift)
{
  return MAX (QT_TOKEN_UTOK, (int64_t)shift->cap_per_s * QT_TOKEN_UTOK / 10);
}

static void
define_all (Define *to, const CfConfig *config)
{
  for (guint i = 0; i < config->customers->len; i++)
    {
      const CfCustomer *row = g_ptr_array_index (config->customers, i);
      define (to, dm_quota_id ("customer", row->name, NULL),
              (int64_t)row->rate_per_s * QT_TOKEN_UTOK,
              (int64_t)row->burst * QT_TOKEN_UTOK);
    }
  for (guint i = 0; i < config->shifts->len; i++)
    {
      const CfShift *row = g_ptr_array_index (config->shifts, i);
      define (to, dm_quota_id ("shift", row->name, NULL),
              (int64_t)row->cap_per_s * QT_TOKEN_UTOK, shift_burst (row));
    }
  for (guint i = 0; i < config->links->len; i++)
    {
      const CfLink *row = g_ptr_array_index (config->links, i);
      int64_t bytes_per_s = (int64_t)row->mbit_per_s * 125000;
      define (to, dm_quota_id ("link", row->from, row->to), bytes_per_s,
              bytes_per_s / LINK_BURST_PER_S);
    }
}

static void
remove_ended (DmDaemon *daemon, const CfConfig *former, GHashTable *ids)
{
  g_autoptr (GHashTable) old = g_hash_table_new (NULL, NULL);
  Define collect = { .ids = old, .distinct = TRUE };
  GHashTableIter iter;
  void *id;

  if (former == NULL)
    return;
  define_all (&collect, former);
  g_hash_table_iter_init (&iter, old);
  while (g_hash_table_iter_next (&iter, &id, NULL))
    if (!g_hash_table_contains (ids, id))
      qt_remove (daemon->quotas, GPOINTER_TO_UINT (id));
}

gboolean
dm_quotas_define (DmDaemon *daemon, const CfConfig *config,
                  const CfConfig *former, int64_t now_us)
{
  g_autoptr (GHashTable) ids = g_hash_table_new (NULL, NULL);
  Define to
      = { .daemon = daemon, .ids = ids, .now_us = now_us, .distinct = TRUE };

  define_all (&to, config);
  remove_ended (daemon, former, ids);
  daemon->gatherers_due_us = 0;
  return to.distinct;
}

static void
accept_grant (DmDaemon *daemon, const char *vm, const Peer__LendItem *item,
              int64_t sent_us)
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
on_lent (const char *vm, const Peer__Envelope *envelope, int64_t sent_us,
         void *data)
{
  Round *round = data;
  DmDaemon *daemon = round->daemon;

  for (uint32_t i = 0; i < round->count; i++)
    qt_lend_request_done (daemon->quotas, round->asks[i].quota_id, vm,
                          round->asks[i].want_utok, ck_boot_us ());
  dm_context_free (daemon, round);
  if (envelope == NULL
      || envelope->body_case != PEER__ENVELOPE__BODY_LEND_REPLY)
    return;
  for (size_t i = 0; i < envelope->lend_reply->n_grants; i++)
    accept_grant (daemon, vm, envelope->lend_reply->grants[i], sent_us);
}

/* Sends the asks that name VM in one message.  */
static void
ask_vm (DmDaemon *daemon, const char *vm, const QtLendRequest *asks,
        uint32_t count)
{
  Peer__Envelope envelope = PEER__ENVELOPE__INIT;
  Peer__LendRequest body = PEER__LEND_REQUEST__INIT;
  Peer__LendItem items[ASKS_MAX];
  Peer__LendItem *wants[ASKS_MAX];
  Round *round
      = dm_context_new (daemon, sizeof *round + count * sizeof round->asks[0]);

  round->daemon = daemon;
  round->count = 0;
  for (uint32_t i = 0; i < count; i++)
    {
      if (strcmp (asks[i].vm, vm) != 0)
        continue;
      peer__lend_item__init (&items[round->count]);
      items[round->count].quota_id = asks[i].quota_id;
      items[round->count].amount_utok = asks[i].want_utok;
      wants[round->count] = &items[round->count];
      round->asks[round->count++] = asks[i];
    }
  body.n_wants = round->count;
  body.wants = wants;
  envelope.body_case = PEER__ENVELOPE__BODY_LEND_REQUEST;
  envelope.lend_request = &body;
  pr_request (daemon->net, vm, &envelope, LEND_TIMEOUT_MS, on_lent, round);
}

static void
send_asks (DmDaemon *daemon, const QtLendRequest *asks, uint32_t count)
{
  for (uint32_t i = 0; i < count; i++)
    {
      gboolean seen = FALSE;

      for (uint32_t j = 0; j < i && !seen; j++)
        seen = strcmp (asks[j].vm, asks[i].vm) == 0;
      if (!seen)
        ask_vm (daemon, asks[i].vm, asks, count);
    }
}

/* A report tells of a few quotas only.  For the others every live member is a
   possible lender of one token.  */
static uint32_t
any_lenders (DmDaemon *daemon, uint32_t quota_id, QtPeerSurplus *rows,
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
lenders_of (DmDaemon *daemon, uint32_t quota_id, QtPeerSurplus *rows,
            int64_t now_us)
{
  const char *vms[MB_LENDERS_PER_QUOTA];
  int64_t surplus_utok[MB_LENDERS_PER_QUOTA];
  uint32_t count;

  if (qt_is_aggregator (daemon->quotas, quota_id))
    return any_lenders (daemon, quota_id, rows, now_us);
  count = mb_lenders (daemon->members, quota_id, now_us, vms, surplus_utok,
                      MB_LENDERS_PER_QUOTA);

  for (uint32_t i = 0; i < count; i++)
    rows[i] = (QtPeerSurplus){ vms[i], quota_id, surplus_utok[i] };
  return count > 0 ? count : any_lenders (daemon, quota_id, rows, now_us);
}

/* The live member with the highest rendezvous hash gathers a quota whose burst
   is below one token a member.  */
static void
set_gatherer (DmDaemon *daemon, uint32_t quota_id, int64_t burst_utok,
              const MbMember *const *members, uint32_t count)
{
  const char *best = NULL;
  uint64_t best_hash = 0;

  if (burst_utok < (int64_t)count * QT_TOKEN_UTOK)
    for (uint32_t i = 0; i < count; i++)
      {
        const char *vm = members[i]->vm;
        uint64_t hash = XXH64 (vm, strlen (vm), quota_id);

        if (best == NULL || hash > best_hash)
          {
            best = vm;
            best_hash = hash;
          }
      }
  qt_set_aggregator (daemon->quotas, quota_id, best);
}

static void
set_gatherers (DmDaemon *daemon, int64_t now_us)
{
  const CfConfig *config = daemon->config;
  const MbMember *members[DM_VMS_MAX];
  uint32_t count;

  if (config == NULL || now_us < daemon->gatherers_due_us)
    return;
  daemon->gatherers_due_us = now_us + GATHERERS_INTERVAL_US;
  count = mb_live_members (daemon->members, now_us, members, DM_VMS_MAX);
  for (guint i = 0; i < config->customers->len; i++)
    {
      const CfCustomer *row = g_ptr_array_index (config->customers, i);
      set_gatherer (daemon, dm_quota_id ("customer", row->name, NULL),
                    (int64_t)row->burst * QT_TOKEN_UTOK, members, count);
    }
  for (guint i = 0; i < config->shifts->len; i++)
    {
      const CfShift *row = g_ptr_array_index (config->shifts, i);
      set_gatherer (daemon, dm_quota_id ("shift", row->name, NULL),
                    shift_burst (row), members, count);
    }
}

static void
borrow (DmDaemon *daemon, int64_t now_us)
{
  QtReport wanted[WANTED_MAX];
  QtPeerSurplus surplus[SURPLUS_MAX];
  QtLendRequest asks[ASKS_MAX];
  uint32_t wanted_count
      = qt_report (daemon->quotas, wanted, WANTED_MAX, now_us);
  uint32_t surplus_count = 0;
  uint32_t ask_count;

  for (uint32_t i = 0; i < wanted_count; i++)
    if (wanted[i].demand_utok_per_s > 0)
      surplus_count += lenders_of (daemon, wanted[i].quota_id,
                                   surplus + surplus_count, now_us);
  ask_count = qt_plan_lend_requests (daemon->quotas, surplus, surplus_count,
                                     asks, ASKS_MAX, now_us);
  send_asks (daemon, asks, ask_count);
}

static void
send_settles (DmDaemon *daemon, const char *lender, GArray *settles)
{
  Peer__Envelope envelope = PEER__ENVELOPE__INIT;
  Peer__Settle body = PEER__SETTLE__INIT;
  Peer__SettleItem items[SETTLES_PER_TICK];
  Peer__SettleItem *pointers[SETTLES_PER_TICK];

  for (guint i = 0; i < settles->len; i++)
    {
      const QtSettlement *settle = &g_array_index (settles, QtSettlement, i);

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
settle (DmDaemon *daemon, int64_t now_us)
{
  g_autoptr (GArray) settles
      = g_array_new (FALSE, FALSE, sizeof (QtSettlement));
  QtSettlement row;

  while (settles->len < SETTLES_PER_TICK
         && qt_next_settlement (daemon->quotas, now_us, &row))
    g_array_append_val (settles, row);
  for (guint i = 0; i < settles->len; i++)
    {
      const char *lender = g_array_index (settles, QtSettlement, i).lender;
      gboolean seen = FALSE;

      for (guint j = 0; j < i && !seen; j++)
        seen = strcmp (g_array_index (settles, QtSettlement, j).lender, lender)
               == 0;
      if (!seen)
        send_settles (daemon, lender, settles);
    }
}

void
dm_lending_tick (DmDaemon *daemon, int64_t now_us)
{
  if (daemon->settings->admission == SE_ADMISSION_SPLIT)
    return;
  set_gatherers (daemon, now_us);
  borrow (daemon, now_us);
  settle (daemon, now_us);
}

void
dm_lend_request (DmDaemon *daemon, PrConnection *connection,
                 const Peer__Envelope *envelope)
{
  const Peer__LendRequest *request = envelope->lend_request;
  size_t count = MIN (request->n_wants, ASKS_MAX);
  Peer__Envelope reply = PEER__ENVELOPE__INIT;
  Peer__LendReply body = PEER__LEND_REPLY__INIT;
  Peer__LendItem items[ASKS_MAX];
  Peer__LendItem *grants[ASKS_MAX];

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
dm_settle (DmDaemon *daemon, const Peer__Settle *settle)
{
  for (size_t i = 0; i < settle->n_items; i++)
    qt_apply_settlement (daemon->quotas, settle->items[i]->grant_id,
                         settle->items[i]->spent_utok, ck_boot_us ());
}
