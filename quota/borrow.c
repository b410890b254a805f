/* Grants at the borrower, lend requests and reports.  */

#include "quota/internal.h"

#include <stdlib.h>
#include <string.h>

int64_t
qt_borrowed_left_utok (const QtQuota *quota, int64_t now_us)
{
  int64_t left = 0;

  for (guint i = 0; i < quota->borrowed->len; i++)
    {
      const QtBorrowedGrant *borrowed = g_ptr_array_index (quota->borrowed, i);

      if (now_us < borrowed->expires_us)
        left += borrowed->left_utok;
    }
  return left;
}

void
qt_settle_if_done (QtTable *table, QtBorrowedGrant *borrowed, int64_t now_us)
{
  QtSettlement settlement = { .grant_id = borrowed->grant_id };

  if (borrowed->settled || borrowed->open_lent_count > 0)
    return;
  if (borrowed->left_utok > 0 && now_us < borrowed->expires_us)
    return;
  borrowed->settled = TRUE;
  settlement.spent_utok = borrowed->amount_utok - borrowed->left_utok;
  borrowed->left_utok = 0;
  g_strlcpy (settlement.lender, borrowed->lender, sizeof settlement.lender);
  g_array_append_val (table->settlements, settlement);
}

void
qt_expire_borrowed_grants (QtTable *table, QtQuota *quota, int64_t now_us)
{
  while (quota->borrowed->len > 0)
    {
      QtBorrowedGrant *borrowed = g_ptr_array_index (quota->borrowed, 0);

      if (now_us < borrowed->expires_us || borrowed->open_lent_count > 0)
        return;
      qt_settle_if_done (table, borrowed, now_us);
      g_ptr_array_remove_index (quota->borrowed, 0);
    }
}

int64_t
qt_spend_borrowed (QtTable *table, QtQuota *quota, int64_t amount_utok,
                   int64_t now_us)
{
  int64_t remaining = amount_utok;

  for (guint i = 0; i < quota->borrowed->len && remaining > 0; i++)
    {
      QtBorrowedGrant *borrowed = g_ptr_array_index (quota->borrowed, i);
      int64_t spent = MIN (remaining, borrowed->left_utok);

      if (now_us >= borrowed->expires_us || spent == 0)
        continue;
      borrowed->left_utok -= spent;
      remaining -= spent;
      qt_settle_if_done (table, borrowed, now_us);
    }
  return amount_utok - remaining;
}

gboolean
qt_accept_grant (QtTable *table, const QtGrant *grant, int64_t request_sent_us,
                 int64_t now_us)
{
  QtQuota *quota = qt_find_quota (table, grant->quota_id);
  int64_t expires_us = request_sent_us + (int64_t)grant->valid_ms * 1000;
  QtBorrowedGrant *borrowed;
  guint position;

  if (quota == NULL || grant->amount_utok <= 0
      || grant->amount_utok > QT_AMOUNT_MAX_UTOK
      || grant->valid_ms > QT_GRANT_VALID_US / 1000 || now_us >= expires_us)
    return FALSE;
  qt_update_quota (table, quota, now_us);
  for (guint i = 0; i < quota->borrowed->len; i++)
    {
      borrowed = g_ptr_array_index (quota->borrowed, i);
      if (borrowed->grant_id == grant->grant_id
          && strcmp (borrowed->lender, grant->lender) == 0)
        return FALSE;
    }
  borrowed = g_new0 (QtBorrowedGrant, 1);
  g_strlcpy (borrowed->lender, grant->lender, sizeof borrowed->lender);
  borrowed->grant_id = grant->grant_id;
  borrowed->amount_utok = borrowed->left_utok = grant->amount_utok;
  borrowed->expires_us = expires_us;
  for (position = quota->borrowed->len; position > 0; position--)
    {
      const QtBorrowedGrant *previous
          = g_ptr_array_index (quota->borrowed, position - 1);
      if (previous->expires_us <= expires_us)
        break;
    }
  g_ptr_array_insert (quota->borrowed, (gint)position, borrowed);
  return TRUE;
}

gboolean
qt_next_settlement (QtTable *table, int64_t now_us, QtSettlement *settlement)
{
  if (table->settlements->len == 0)
    {
      GHashTableIter iter;
      void *value;

      g_hash_table_iter_init (&iter, table->quotas);
      while (g_hash_table_iter_next (&iter, NULL, &value))
        qt_expire_borrowed_grants (table, value, now_us);
    }
  if (table->settlements->len == 0)
    return FALSE;
  *settlement = g_array_index (table->settlements, QtSettlement, 0);
  g_array_remove_index (table->settlements, 0);
  return TRUE;
}

void
qt_lend_request_done (QtTable *table, uint32_t quota_id, const char *vm,
                      int64_t want_utok, int64_t now_us)
{
  QtQuota *quota = qt_find_quota (table, quota_id);

  (void)now_us;
  if (quota == NULL)
    return;
  for (uint32_t i = 0; i < quota->sent_request_count; i++)
    {
      QtSentRequest *sent = &quota->sent_requests[i];

      if (!sent->done && sent->want_utok == want_utok
          && strcmp (sent->vm, vm) == 0)
        {
          sent->done = TRUE;
          return;
        }
    }
}

static int64_t
expire_sent_requests (QtQuota *quota, int64_t now_us)
{
  int64_t pending = 0;

  for (uint32_t i = 0; i < quota->sent_request_count;)
    {
      QtSentRequest *sent = &quota->sent_requests[i];
      int64_t age_us = now_us - sent->sent_us;

      if (age_us >= SENT_REQUEST_TTL_US)
        {
          *sent = quota->sent_requests[--quota->sent_request_count];
          continue;
        }
      if (age_us >= QT_LEND_REQUEST_TIMEOUT_US)
        sent->done = TRUE;
      if (!sent->done)
        pending += sent->want_utok;
      i++;
    }
  return pending;
}

typedef struct
{
  const QtPeerSurplus *peer;
  int64_t surplus_utok; /* less what was asked for since the report */
} Candidate;

/* Returns FALSE if PEER is this daemon or reports another quota, and while a
   lend request to it is pending.  */
static gboolean
evaluate_lender (const QtTable *table, const QtQuota *quota,
                 const QtPeerSurplus *peer, Candidate *candidate)
{
  if (peer->quota_id != quota->quota_id || strcmp (peer->vm, table->vm) == 0)
    return FALSE;
  candidate->peer = peer;
  candidate->surplus_utok = peer->surplus_utok;
  for (uint32_t i = 0; i < quota->sent_request_count; i++)
    {
      if (strcmp (quota->sent_requests[i].vm, peer->vm) != 0)
        continue;
      if (!quota->sent_requests[i].done)
        return FALSE;
      candidate->surplus_utok -= quota->sent_requests[i].want_utok;
    }
  return TRUE;
}

/* Writes the peers with the largest surplus to CANDIDATES, largest first.  */
static uint32_t
select_lenders (const QtTable *table, const QtQuota *quota,
                const QtPeerSurplus *peers, uint32_t peer_count,
                Candidate candidates[QT_LENDERS_MAX])
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < peer_count; i++)
    {
      Candidate candidate;
      uint32_t position;

      if (!evaluate_lender (table, quota, &peers[i], &candidate))
        continue;
      for (position = count;
           position > 0
           && candidates[position - 1].surplus_utok < candidate.surplus_utok;
           position--)
        if (position < QT_LENDERS_MAX)
          candidates[position] = candidates[position - 1];
      if (position < QT_LENDERS_MAX)
        {
          candidates[position] = candidate;
          count = MIN (count + 1, QT_LENDERS_MAX);
        }
    }
  return count;
}

/* Returns how many of the first candidates cover the deficit together, or
   COUNT if all of them don't.  */
static uint32_t
count_needed_lenders (const Candidate *candidates, uint32_t count,
                      int64_t deficit_utok)
{
  for (uint32_t i = 0; i < count; i++)
    {
      if (candidates[i].surplus_utok <= 0)
        break;
      deficit_utok -= candidates[i].surplus_utok;
      if (deficit_utok <= 0)
        return i + 1;
    }
  return count;
}

/* What to borrow of a quota with an aggregator.  The aggregator borrows up to
   the whole burst; the others borrow the whole tokens that refused requests
   lack.  They don't borrow ahead, since tokens held for later are missing at
   other daemons.  */
static int64_t
aggregated_deficit_utok (QtTable *table, QtQuota *quota, int64_t now_us)
{
  int64_t pending = expire_sent_requests (quota, now_us);
  int64_t deficit;

  if (qt_aggregates (table, quota))
    return (int64_t)(quota->demand_utok + quota->unmet_utok)
                   < LEND_REQUEST_MIN_UTOK
               ? 0
               : quota->burst_utok - qt_usable_utok (table, quota, now_us);
  deficit
      = quota->shortage_utok - qt_borrowed_left_utok (quota, now_us) - pending;
  if (deficit <= 0)
    return 0;
  return (deficit + QT_TOKEN_UTOK - 1) / QT_TOKEN_UTOK * QT_TOKEN_UTOK;
}

static int64_t
deficit_utok (QtTable *table, QtQuota *quota, int64_t now_us)
{
  double unmet = table->relends
                     ? quota->unmet_utok * QT_PREFETCH_US / DEMAND_TAU_US
                     : 0;
  int64_t wanted = qt_needed_utok (quota)
                   + (int64_t)MIN (unmet, (double)quota->burst_utok);

  /* No more than the burst can be lent at a time.  */
  wanted = MIN (wanted, quota->burst_utok);
  return wanted - qt_usable_utok (table, quota, now_us)
         - expire_sent_requests (quota, now_us);
}

static int64_t
borrow_interval_us (const QtTable *table, const QtQuota *quota)
{
  if (quota->shortage_utok > 0)
    return QT_SHORTAGE_INTERVAL_US;
  /* True for 0.7 s after a peer did not get one token that it asked for.  */
  if (qt_aggregates (table, quota) && quota->unmet_utok > 0.25 * QT_TOKEN_UTOK)
    return QT_SHORTAGE_INTERVAL_US;
  return QT_BORROW_INTERVAL_US;
}

static uint32_t
plan_quota_requests (QtTable *table, QtQuota *quota,
                     const QtPeerSurplus *peers, uint32_t peer_count,
                     QtLendRequest *requests, uint32_t request_max,
                     int64_t now_us)
{
  Candidate candidates[QT_LENDERS_MAX] = { 0 };
  /* As the only candidate it is asked whatever its surplus.  */
  QtPeerSurplus aggregator
      = { quota->aggregator, quota->quota_id, QT_TOKEN_UTOK };
  gboolean aggregated = quota->aggregator[0] != '\0';
  int64_t deficit;
  uint32_t count;

  if (now_us - quota->last_borrow_us < borrow_interval_us (table, quota))
    return 0;
  qt_update_quota (table, quota, now_us);
  qt_decay_demand (quota, now_us);
  deficit = aggregated ? aggregated_deficit_utok (table, quota, now_us)
                       : deficit_utok (table, quota, now_us);
  if (deficit < LEND_REQUEST_MIN_UTOK)
    return 0;
  if (aggregated && !qt_aggregates (table, quota))
    count = select_lenders (table, quota, &aggregator, 1, candidates);
  else
    count = select_lenders (table, quota, peers, peer_count, candidates);
  /* The aggregator asks all candidates, since small shares change faster than
     they are reported.  */
  if (!aggregated)
    count = count_needed_lenders (candidates, count, deficit);
  count = MIN (MIN (count, request_max),
               SENT_REQUESTS_MAX - quota->sent_request_count);
  for (uint32_t i = 0; i < count; i++)
    {
      QtSentRequest *sent = &quota->sent_requests[quota->sent_request_count++];
      /* Requests the same amount from each, not its surplus: the report may
         be stale and show too little.  */
      int64_t want = aggregated ? deficit
                                : MAX (deficit / count, LEND_REQUEST_MIN_UTOK);

      g_assert (candidates[i].peer != NULL);
      requests[i] = (QtLendRequest){ .vm = candidates[i].peer->vm,
                                     .quota_id = quota->quota_id,
                                     .want_utok = want };
      if (candidates[i].peer == &aggregator)
        requests[i].vm = quota->aggregator;
      *sent = (QtSentRequest){ .sent_us = now_us, .want_utok = want };
      g_strlcpy (sent->vm, requests[i].vm, sizeof sent->vm);
    }
  if (count > 0)
    quota->last_borrow_us = now_us;
  return count;
}

uint32_t
qt_plan_lend_requests (QtTable *table, const QtPeerSurplus *peers,
                       uint32_t peer_count, QtLendRequest *requests,
                       uint32_t request_max, int64_t now_us)
{
  GHashTableIter iter;
  void *value;
  uint32_t count = 0;

  if (table->split)
    return 0;
  g_hash_table_iter_init (&iter, table->quotas);
  while (count < request_max && g_hash_table_iter_next (&iter, NULL, &value))
    {
      QtQuota *quota = value;

      if (quota->demand_utok > 0 || quota->unmet_utok > 0)
        count += plan_quota_requests (table, quota, peers, peer_count,
                                      requests + count, request_max - count,
                                      now_us);
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
  QtReport *rows = g_new0 (QtReport, g_hash_table_size (table->quotas));
  GHashTableIter iter;
  void *value;
  uint32_t count = 0;

  g_hash_table_iter_init (&iter, table->quotas);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      QtQuota *quota = value;
      QtReport *report = &rows[count++];
      int64_t own_utok;

      qt_update_quota (table, quota, now_us);
      qt_decay_demand (quota, now_us);
      own_utok = qt_bucket_usable_utok (table, quota, BUCKET_BASE, now_us)
                 + qt_bucket_usable_utok (table, quota, BUCKET_FLEX, now_us);
      report->quota_id = quota->quota_id;
      report->surplus_utok
          = table->split ? 0
                         : MAX (own_utok - qt_reserved_utok (table, quota), 0);
      report->demand_utok_per_s
          = (int64_t)((quota->demand_utok
                       + (table->relends || qt_aggregates (table, quota)
                              ? quota->unmet_utok
                              : 0))
                      * G_USEC_PER_SEC / DEMAND_TAU_US);
    }
  if (count > 1)
    qsort (rows, count, sizeof *rows, compare_demand);
  count = MIN (count, max);
  if (count > 0)
    memcpy (reports, rows, count * sizeof *reports);
  g_free (rows);
  return count;
}
