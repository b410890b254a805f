/* quota.h - a daemon's share of global rate limits, and lending of tokens

   SYNOPSIS
     QtOptions opts = { .vm = "vm1", .incarnation = wall_ms };
     QtTable *table = qt_new (&opts);
     qt_define (table, id, rate_utok_per_s, burst_utok, now_us);
     qt_set_share (table, base_weight, flex_weight, now_us);
     qt_set_validity (table, ls_active_until_us (lease),
                      ls_base_until_us (lease));
     if (qt_take_tokens (table, id, QT_TOKEN_UTOK, now_us))
       run ();

   DESCRIPTION
     A quota is a token bucket with a rate and a burst that all daemons
     together must keep.  For each quota a daemon has two buckets: the flex
     bucket may be used while the daemon's lease is valid, the base bucket for
     some time longer (qt_set_validity).  The rate and burst of each are in
     proportion to the daemon's flex or base weight, its share; the weights of
     all daemons sum to at most QT_WEIGHT_TOTAL.  A bucket starts empty, and
     what it gains by a larger weight or burst starts empty as well, since the
     previous holder may just have spent all of it.

     A lender moves tokens out of a bucket into a grant.  The bucket's
     capacity is lowered by the amount until the borrower has settled the
     grant, or its validity plus QT_CLOCK_DRIFT_PERMILLE has passed; until then
     the grant is open.  So the tokens in buckets and grants never exceed the
     burst, and tokens are added only by refill: over any time t all daemons
     together admit at most burst + rate x t.

     A share shrinks in two steps: qt_set_share with the lower weights stops
     the use at once; the caller passes the difference on only when
     qt_grants_fit_share returns TRUE, that is when no grant made from it is
     open.

     The borrower counts a grant's validity from the time it sent the lend
     request, and a grant never outlives the validity of the bucket that it
     comes from.  A grant that arrives twice counts once.  Every grant is
     settled once, when it is spent or has expired; a settlement may be lost.

     A daemon that relends (qt_set_relending), as the hub of a zone may, also
     lends what it has borrowed, and borrows what it could not lend.  A grant
     made from a borrowed one ends before it, and the borrowed one is settled
     only after that.

     A quota whose burst is below one token per daemon has an aggregator
     (qt_set_aggregator): no daemon could admit a request from its own share
     while the others keep theirs.  The aggregator borrows up to the whole
     burst while there is demand and lends whole tokens; the other daemons
     lend all that is in their buckets and borrow from the aggregator only.
     Daemons may disagree on which daemon it is: that causes refusals, but
     never admits more.

     A process starts to refill only QT_GRANT_VALID_US, plus
     QT_CLOCK_DRIFT_PERMILLE, after its first share, since an earlier process
     of the same VM may have lent until it crashed.  For the same reason
     qt_grants_fit_share returns FALSE until then.

     Refill follows the daemon's own clock: where the clock is fast by a
     fraction p, the daemon admits the fraction p more of its share.

   ERRORS
     None of type GError.  qt_define returns FALSE for a negative rate or
     burst or one above QT_AMOUNT_MAX_UTOK, and when the table already holds
     QT_QUOTAS_MAX quotas.  */

#ifndef QT_QUOTA_H
#define QT_QUOTA_H

#include <glib.h>
#include <stdint.h>

#define QT_WEIGHT_TOTAL 65536
#define QT_TOKEN_UTOK 1000000 /* micro-tokens; one token admits a request */
#define QT_NAME_BYTES 64
#define QT_QUOTAS_MAX 4096
#define QT_AMOUNT_MAX_UTOK ((int64_t)1 << 52)

#define QT_GRANT_VALID_US G_USEC_PER_SEC
/* Allows for two clocks that drift by 1% each, in opposite directions.  */
#define QT_CLOCK_DRIFT_PERMILLE 25
/* Tokens are borrowed ahead for the expected demand of this time.  */
#define QT_PREFETCH_US (200 * 1000)
/* Lenders asked at a time for one quota.  */
#define QT_LENDERS_MAX 8
/* Time between lend requests for one quota; the shorter one applies while
   requests are refused.  At the longer one, a quota costs up to 80 lend
   requests/s.  */
#define QT_BORROW_INTERVAL_US (100 * 1000)
#define QT_SHORTAGE_INTERVAL_US (25 * 1000)
/* A lend request without a reply after this time counts as lost.  */
#define QT_LEND_REQUEST_TIMEOUT_US (150 * 1000)
/* Open grants of one lender; at this number it lends no more.  */
#define QT_LENT_GRANTS_MAX 8192

typedef struct
{
  const char *vm;
  uint64_t incarnation; /* makes grant ids unique among processes of a VM */
  gboolean split;       /* fixed shares, no lending and no borrowing */
} QtOptions;

/* An amount_utok of 0 means that nothing is lent.  */
typedef struct
{
  uint32_t quota_id;
  uint32_t valid_ms; /* from when the borrower sent its lend request */
  uint64_t grant_id;
  int64_t amount_utok;
  char lender[QT_NAME_BYTES];
} QtGrant;

typedef struct
{
  char lender[QT_NAME_BYTES];
  uint64_t grant_id;
  int64_t spent_utok;
} QtSettlement;

/* The surplus that a peer last reported for one quota.  */
typedef struct
{
  const char *vm;
  uint32_t quota_id;
  int64_t surplus_utok;
} QtPeerSurplus;

typedef struct
{
  const char *vm; /* owned by the QtPeerSurplus or the table */
  uint32_t quota_id;
  int64_t want_utok;
} QtLendRequest;

typedef struct
{
  uint32_t quota_id;
  int64_t surplus_utok;
  int64_t demand_utok_per_s;
} QtReport;

typedef struct QtTable QtTable;

QtTable *qt_new (const QtOptions *options);
void qt_free (QtTable *table);

/* Adds a quota or changes its rate and burst; bucket levels are limited to the
   new capacity.  */
gboolean qt_define (QtTable *table, uint32_t quota_id, int64_t rate_utok_per_s,
                    int64_t burst_utok, int64_t now_us);
void qt_remove (QtTable *table, uint32_t quota_id);

void qt_set_share (QtTable *table, uint32_t base_weight, uint32_t flex_weight,
                   int64_t now_us);
/* TRUE when the open grants, also those of an earlier process, fit into the
   present share.  */
gboolean qt_grants_fit_share (QtTable *table, int64_t now_us);
/* Sets the time, on the caller's clock, until which each bucket may be
   used.  */
void qt_set_validity (QtTable *table, int64_t flex_until_us,
                      int64_t base_until_us);
/* Sets whether to lend borrowed tokens, too.  */
void qt_set_relending (QtTable *table, gboolean relends);
/* Sets the daemon that aggregates the tokens of a quota; NULL for none.  */
void qt_set_aggregator (QtTable *table, uint32_t quota_id, const char *vm);
gboolean qt_is_aggregator (QtTable *table, uint32_t quota_id);
/* Empties the flex buckets; to be called when the lease has a new
   incarnation.  */
void qt_empty_flex_buckets (QtTable *table, int64_t now_us);

/* Takes the whole amount or nothing, and counts it as demand.  */
gboolean qt_take_tokens (QtTable *table, uint32_t quota_id,
                         int64_t amount_utok, int64_t now_us);
/* The same for a waiting request, whose demand was counted before.  */
gboolean qt_retry_take_tokens (QtTable *table, uint32_t quota_id,
                               int64_t amount_utok, int64_t now_us);
/* The most that qt_take_tokens could take now.  */
int64_t qt_available_utok (QtTable *table, uint32_t quota_id, int64_t now_us);

/* Lends up to want_utok of what exceeds the daemon's own expected demand.  */
QtGrant qt_lend (QtTable *table, uint32_t quota_id, const char *borrower,
                 int64_t want_utok, int64_t now_us);
/* At the borrower: adds a grant.  Returns FALSE, without effect, for an
   invalid or expired grant and for a duplicate.  */
gboolean qt_accept_grant (QtTable *table, const QtGrant *grant,
                          int64_t request_sent_us, int64_t now_us);
/* At the lender: ends a grant; its unspent tokens return to the bucket.  */
void qt_apply_settlement (QtTable *table, uint64_t grant_id,
                          int64_t spent_utok, int64_t now_us);
/* At the borrower: removes the next settlement to send; FALSE when there is
   none.  */
gboolean qt_next_settlement (QtTable *table, int64_t now_us,
                             QtSettlement *settlement);

/* Writes the lend requests to send now, given what the peers reported: at most
   QT_LENDERS_MAX for each quota and request_max in all.  Counts them as
   pending for a short time, so it may be called every few milliseconds.
   Returns the number of lend requests.  */
uint32_t qt_plan_lend_requests (QtTable *table, const QtPeerSurplus *peers,
                                uint32_t peer_count, QtLendRequest *requests,
                                uint32_t request_max, int64_t now_us);
/* To be called when a lend request got a reply, also an empty one, or has
   failed.  */
void qt_lend_request_done (QtTable *table, uint32_t quota_id, const char *vm,
                           int64_t want_utok, int64_t now_us);

/* Writes surplus and demand of up to MAX quotas, the highest demand first;
   returns their number.  */
uint32_t qt_report (QtTable *table, QtReport *reports, uint32_t max,
                    int64_t now_us);

G_DEFINE_AUTOPTR_CLEANUP_FUNC (QtTable, qt_free)

#endif
