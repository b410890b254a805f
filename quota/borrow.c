/* The borrower's side.  */

#include "quota/internal.h"

#include <stdlib.h>
#include <string.h>

int64_t
qt_borrowed_left (const QtQuota *quota, int64_t now_us)
{
  int64_t left = 0;

  for (guint i = 0; i < quota->borrowed->len; i++)
    {
      const QtBorrowed *borrowed = g_ptr_array_index (quota->borrowed, i);

      if (now_us < borrowed->until_us)
        left += borrowed->left_utok;
    }
  return left;
}

void
qt_settle_if_done (QtTable *table, QtBorrowed *borrowed, int64_t now_us)
{
  QtSettle settle = { .grant_id = borrowed->grant_id };

  if (borrowed->settled || borrowed->lent_count > 0)
    return;
  if (borrowed->left_utok > 0 && now_us < borrowed->until_us)
    return;
  borrowed->settled = TRUE;
  settle.spent_utok = borrowed->amount_utok - borrowed->left_utok;
  borrowed->left_utok = 0;
  g_strlcpy (settle.lender, borrowed->lender, sizeof settle.lender);
  g_array_append_val (table->settles, settle);
}

void
qt_borrowed_expire (QtTable *table, QtQuota *quota, int64_t now_us)
{
  while (quota->borrowed->len > 0)
    {
      QtBorrowed *borrowed = g_ptr_array_index (quota->borrowed, 0);

      if (now_us < borrowed->until_us || borrowed->lent_count > 0)
        return;
      qt_settle_if_done (table, borrowed, now_us);
      g_ptr_array_remove_index (quota->borrowed, 0);
    }
}

int64_t
qt_spend_borrowed (QtTable *table, QtQuota *quota, int64_t amount_utok,
                   int64_t now_us)
{
  int64_t wanted = amount_utok;

  for (guint i = 0; i < quota->borrowed->len && wanted > 0; i++)
    {
      QtBorrowed *borrowed = g_ptr_array_index (quota->borrowed, i);
      int64_t spent = MIN (wanted, borrowed->left_utok);

      if (now_us >= borrowed->until_us || spent == 0)
        continue;
      borrowed->left_utok -= spent;
      wanted -= spent;
      qt_settle_if_done (table, borrowed, now_us);
    }
  return amount_utok - wanted;
}

gboolean
qt_borrowed (QtTable *table, const QtGrant *grant, int64_t request_sent_us,
             int64_t now_us)
{
  QtQuota *quota = qt_find (table, grant->quota_id);
  int64_t until_us = request_sent_us + (int64_t)grant->valid_ms * 1000;
  QtBorrowed *borrowed;
  guint at;

  if (quota == NULL || grant->amount_utok <= 0
      || grant->amount_utok > QT_AMOUNT_MAX
      || grant->valid_ms > QT_GRANT_VALID_US / 1000 || now_us >= until_us)
    return FALSE;
  qt_update (table, quota, now_us);
  for (guint i = 0; i < quota->borrowed->len; i++)
    {
      borrowed = g_ptr_array_index (quota->borrowed, i);
      if (borrowed->grant_id == grant->grant_id
          && strcmp (borrowed->lender, grant->lender) == 0)
        return FALSE;
    }
  borrowed = g_new0 (QtBorrowed, 1);
  g_strlcpy (borrowed->lender, grant->lender, sizeof borrowed->lender);
  borrowed->grant_id = grant->grant_id;
  borrowed->amount_utok = borrowed->left_utok = grant->amount_utok;
  borrowed->until_us = until_us;
  for (at = quota->borrowed->len; at > 0; at--)
    {
      const QtBorrowed *before = g_ptr_array_index (quota->borrowed, at - 1);
      if (before->until_us <= until_us)
        break;
    }
  g_ptr_array_insert (quota->borrowed, (gint)at, borrowed);
  return TRUE;
}

gboolean
qt_next_settle (QtTable *table, int64_t now_us, QtSettle *settle)
{
  if (table->settles->len == 0)
    {
      GHashTableIter iter;
      void *value;

      g_hash_table_iter_init (&iter, table->quotas);
      while (g_hash_table_iter_next (&iter, NULL, &value))
        qt_borrowed_expire (table, value, now_us);
    }
  if (table->settles->len == 0)
    return FALSE;
  *settle = g_array_index (table->settles, QtSettle, 0);
  g_array_remove_index (table->settles, 0);
  return TRUE;
}

void
qt_asked_done (QtTable *table, uint32_t quota_id, const char *vm,
               int64_t want_utok, int64_t now_us)
{
  QtQuota *quota = qt_find (table, quota_id);

  (void)now_us;
  if (quota == NULL)
    return;
  for (uint32_t i = 0; i < quota->ask_count; i++)
    {
      QtOpenAsk *ask = &quota->asks[i];

      if (!ask->answered && ask->want_utok == want_utok
          && strcmp (ask->vm, vm) == 0)
        {
          ask->answered = TRUE;
          return;
        }
    }
}

static int64_t
drop_late_asks (QtQuota *quota, int64_t now_us)
{
  int64_t under_way = 0;

  for (uint32_t i = 0; i < quota->ask_count;)
    {
      QtOpenAsk *ask = &quota->asks[i];
      int64_t age_us = now_us - ask->sent_us;

      if (age_us >= ASK_COUNTS_US)
        {
          *ask = quota->asks[--quota->ask_count];
          continue;
        }
      if (age_us >= QT_ASK_TIMEOUT_US)
        ask->answered = TRUE;
      if (!ask->answered)
        under_way += ask->want_utok;
      i++;
    }
  return under_way;
}

typedef struct
{
  const QtSurplus *peer;
  int64_t surplus_utok; /* less what was asked since the report */
} Choice;

/* FALSE while an answer of the peer is due.  */
static gboolean
consider (const QtTable *table, const QtQuota *quota, const QtSurplus *peer,
          Choice *choice)
{
  if (peer->quota_id != quota->quota_id || strcmp (peer->vm, table->vm) == 0)
    return FALSE;
  choice->peer = peer;
  choice->surplus_utok = peer->surplus_utok;
  for (uint32_t i = 0; i < quota->ask_count; i++)
    {
      if (strcmp (quota->asks[i].vm, peer->vm) != 0)
        continue;
      if (!quota->asks[i].answered)
        return FALSE;
      choice->surplus_utok -= quota->asks[i].want_utok;
    }
  return TRUE;
}

/* Places the peers with the largest surplus into CHOSEN, largest first.  */
static uint32_t
choose_peers (const QtTable *table, const QtQuota *quota,
              const QtSurplus *peers, uint32_t peer_count,
              Choice chosen[QT_PEERS_PER_ROUND])
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < peer_count; i++)
    {
      Choice choice;
      uint32_t at;

      if (!consider (table, quota, &peers[i], &choice))
        continue;
      for (at = count;
           at > 0 && chosen[at - 1].surplus_utok < choice.surplus_utok; at--)
        if (at < QT_PEERS_PER_ROUND)
          chosen[at] = chosen[at - 1];
      if (at < QT_PEERS_PER_ROUND)
        {
          chosen[at] = choice;
          count = MIN (count + 1, QT_PEERS_PER_ROUND);
        }
    }
  return count;
}

/* The fewest of CHOSEN that have MISSING together; all if they don't.  */
static uint32_t
enough_peers (const Choice *chosen, uint32_t count, int64_t missing_utok)
{
  for (uint32_t i = 0; i < count; i++)
    {
      if (chosen[i].surplus_utok <= 0)
        break;
      missing_utok -= chosen[i].surplus_utok;
      if (missing_utok <= 0)
        return i + 1;
    }
  return count;
}

/* The gatherer's gap to the whole burst; for the others the whole tokens that
   refused requests lack.  In advance they ask for none, since tokens that are
   held for later are missing elsewhere.  */
static int64_t
missing_gathered (QtTable *table, QtQuota *quota, int64_t now_us)
{
  int64_t under_way = drop_late_asks (quota, now_us);
  int64_t missing;

  if (qt_gathers (table, quota))
    return (int64_t)(quota->demand_utok + quota->relay_utok) < ASK_MIN_UTOK
               ? 0
               : quota->burst_utok - qt_sum (table, quota, now_us);
  missing = quota->short_utok - qt_borrowed_left (quota, now_us) - under_way;
  if (missing <= 0)
    return 0;
  return (missing + QT_TOKEN - 1) / QT_TOKEN * QT_TOKEN;
}

static int64_t
missing_utok (QtTable *table, QtQuota *quota, int64_t now_us)
{
  double relay
      = table->relay ? quota->relay_utok * QT_PREFETCH_US / DEMAND_TAU_US : 0;
  int64_t target
      = qt_need (quota) + (int64_t)MIN (relay, (double)quota->burst_utok);

  /* More than the burst can't be lent out at a time.  */
  target = MIN (target, quota->burst_utok);
  return target - qt_sum (table, quota, now_us)
         - drop_late_asks (quota, now_us);
}

static int64_t
round_interval_us (const QtTable *table, const QtQuota *quota)
{
  if (quota->short_utok > 0)
    return QT_SHORT_ROUND_US;
  if (qt_gathers (table, quota) && quota->relay_utok > 0.25 * QT_TOKEN)
    return QT_SHORT_ROUND_US;
  return QT_ROUND_US;
}

static uint32_t
plan_quota (QtTable *table, QtQuota *quota, const QtSurplus *peers,
            uint32_t peer_count, QtAsk *asks, uint32_t ask_max, int64_t now_us)
{
  Choice chosen[QT_PEERS_PER_ROUND] = { 0 };
  QtSurplus gatherer = { quota->gatherer, quota->quota_id, QT_TOKEN };
  gboolean gathered = quota->gatherer[0] != '\0';
  int64_t missing;
  uint32_t count;

  if (now_us - quota->round_us < round_interval_us (table, quota))
    return 0;
  qt_update (table, quota, now_us);
  qt_decay (quota, now_us);
  missing = gathered ? missing_gathered (table, quota, now_us)
                     : missing_utok (table, quota, now_us);
  if (missing < ASK_MIN_UTOK)
    return 0;
  if (gathered && !qt_gathers (table, quota))
    count = choose_peers (table, quota, &gatherer, 1, chosen);
  else
    count = choose_peers (table, quota, peers, peer_count, chosen);
  /* The gatherer asks all, since reports lag behind small parts.  */
  if (!gathered)
    count = enough_peers (chosen, count, missing);
  count = MIN (MIN (count, ask_max), ASKS_KEPT - quota->ask_count);
  for (uint32_t i = 0; i < count; i++)
    {
      QtOpenAsk *open = &quota->asks[quota->ask_count++];
      /* A report that lags shows too little; an equal part may be there.  */
      int64_t want = gathered ? missing : MAX (missing / count, ASK_MIN_UTOK);

      g_assert (chosen[i].peer != NULL);
      asks[i] = (QtAsk){ .vm = chosen[i].peer->vm,
                         .quota_id = quota->quota_id,
                         .want_utok = want };
      if (chosen[i].peer == &gatherer)
        asks[i].vm = quota->gatherer;
      *open = (QtOpenAsk){ .sent_us = now_us, .want_utok = want };
      g_strlcpy (open->vm, asks[i].vm, sizeof open->vm);
    }
  if (count > 0)
    quota->round_us = now_us;
  return count;
}

uint32_t
qt_plan_borrow (QtTable *table, const QtSurplus *peers, uint32_t peer_count,
                QtAsk *asks, uint32_t ask_max, int64_t now_us)
{
  GHashTableIter iter;
  void *value;
  uint32_t count = 0;

  if (table->split)
    return 0;
  g_hash_table_iter_init (&iter, table->quotas);
  while (count < ask_max && g_hash_table_iter_next (&iter, NULL, &value))
    {
      QtQuota *quota = value;

      if (quota->demand_utok > 0 || quota->relay_utok > 0)
        count += plan_quota (table, quota, peers, peer_count, asks + count,
                             ask_max - count, now_us);
    }
  return count;
}

static int
compare_demand (const void *a, const void *b)
{
  const QtReport *x = a;
  const QtReport *y = b;

  if (x->demand_utok_per_s != y->demand_utok_per_s)
    return x->demand_utok_per_s > y->demand_utok_per_s ? -1 : 1;
  return x->quota_id < y->quota_id ? -1 : x->quota_id > y->quota_id;
}

uint32_t
qt_report (QtTable *table, QtReport *reports, uint32_t max, int64_t now_us)
{
  QtReport *all = g_new0 (QtReport, g_hash_table_size (table->quotas));
  GHashTableIter iter;
  void *value;
  uint32_t count = 0;

  g_hash_table_iter_init (&iter, table->quotas);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      QtQuota *quota = value;
      QtReport *report = &all[count++];
      int64_t own;

      qt_update (table, quota, now_us);
      qt_decay (quota, now_us);
      own = qt_usable (table, quota, PART_BASE, now_us)
            + qt_usable (table, quota, PART_FLEX, now_us);
      report->quota_id = quota->quota_id;
      report->surplus_utok
          = table->split ? 0 : MAX (own - qt_reserved (table, quota), 0);
      report->demand_utok_per_s
          = (int64_t)((quota->demand_utok
                       + (table->relay || qt_gathers (table, quota)
                              ? quota->relay_utok
                              : 0))
                      * G_USEC_PER_SEC / DEMAND_TAU_US);
    }
  if (count > 1)
    qsort (all, count, sizeof *all, compare_demand);
  count = MIN (count, max);
  if (count > 0)
    memcpy (reports, all, count * sizeof *reports);
  g_free (all);
  return count;
}
