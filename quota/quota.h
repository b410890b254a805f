/* quota.h - shares of fleet-wide rates and bursts, and lending between daemons

   SYNOPSIS
     QtOptions opts = { .vm = "vm1", .incarnation = wall_ms };
     QtTable *table = qt_new (&opts);
     qt_define (table, id, rate_utok_per_s, burst_utok, now_us);
     qt_set_share (table, base_weight, flex_weight, now_us);
     qt_set_validity (table, ls_active_until_us (lease),
                      ls_base_until_us (lease));
     if (qt_take (table, id, QT_TOKEN, now_us))
       run ();

   DESCRIPTION
     The fleet holds QT_WEIGHT units.  For every quota a daemon has a base and
     a flex bucket with rate and burst in proportion to its units.  A bucket
     starts empty, and what a bucket gains by a larger share or burst starts
     empty as well, since its former holder may just have spent all.

     A lender moves tokens out of a bucket into a grant.  The bucket's
     capacity is lowered by the amount until the borrower has settled the
     grant, or its validity plus QT_DRIFT_PERMILLE has passed.  So the tokens
     in buckets and grants never exceed the burst, and tokens enter only by
     refill: over any time t the fleet admits at most burst + rate x t.

     A share shrinks in two steps: qt_set_share with the lower weights stops
     the use at once; the caller gives the difference away only when
     qt_share_settled tells that no grant out of it is left.

     The borrower counts a grant's validity from the moment it sent the
     request, and a grant never outlives the validity of the part that it
     comes from.  A grant that arrives twice counts once.  Every grant is
     settled once, when it is spent or has expired; a settlement may be lost.

     A zone's hub lends on what it has borrowed (qt_set_relay), and asks its
     zone for what it could not lend.  Such a grant ends before the grant it is
     made of, which is settled only after it.

     A quota whose burst is below one token a daemon has a gatherer
     (qt_set_gatherer), since no daemon could admit with its own part while
     the others keep theirs.  The gatherer borrows up to the whole burst while
     there is demand and lends whole tokens; the others lend all they own and
     ask the gatherer only.  Daemons may disagree on who it is: that costs
     refusals, never admits more.

     A process starts to refill only QT_GRANT_VALID_US after its first share,
     since a former process of the same VM may have lent until it died.  For
     the same reason no share is settled before.

     Refill follows the daemon's own clock: a clock that is fast by a share p
     admits that share more of the daemon's part.

   ERRORS
     None of type GError.  qt_define returns FALSE for a negative rate or
     burst or one above QT_AMOUNT_MAX, and when QT_QUOTAS_MAX is reached.  */

#ifndef QT_QUOTA_H
#define QT_QUOTA_H

#include <glib.h>
#include <stdint.h>

#define QT_WEIGHT 65536
#define QT_TOKEN 1000000 /* utok of one request */
#define QT_NAME_BYTES 64
#define QT_QUOTAS_MAX 4096
#define QT_AMOUNT_MAX ((int64_t)1 << 52)

#define QT_GRANT_VALID_US G_USEC_PER_SEC
/* Two clocks that drift by 1% each, in opposite directions.  */
#define QT_DRIFT_PERMILLE 25
/* Demand that is borrowed in advance.  */
#define QT_PREFETCH_US (200 * 1000)
#define QT_PEERS_PER_ROUND 8
/* Rounds of asks for one quota; the shorter one while requests are refused.
   A hot quota costs up to 80 exchanges/s.  */
#define QT_ROUND_US (100 * 1000)
#define QT_SHORT_ROUND_US (25 * 1000)
/* An ask that isn't answered for this time is taken for lost.  */
#define QT_ASK_TIMEOUT_US (150 * 1000)
/* Open grants lent by one daemon; above it nothing is lent.  */
#define QT_GRANTS_MAX 8192

typedef struct
{
  const char *vm;
  uint64_t incarnation; /* makes grant ids unique among processes of a VM */
  gboolean split;       /* baseline: no lending and no borrowing */
} QtOptions;

/* A grant with amount_utok of 0 means that nothing is lent.  */
typedef struct
{
  uint32_t quota_id;
  uint32_t valid_ms; /* from when the borrower sent its request */
  uint64_t grant_id;
  int64_t amount_utok;
  char lender[QT_NAME_BYTES];
} QtGrant;

typedef struct
{
  char lender[QT_NAME_BYTES];
  uint64_t grant_id;
  int64_t spent_utok;
} QtSettle;

/* What a peer has reported for one quota.  */
typedef struct
{
  const char *vm;
  uint32_t quota_id;
  int64_t surplus_utok;
} QtSurplus;

typedef struct
{
  const char *vm; /* of the QtSurplus that it was chosen by, or the gatherer */
  uint32_t quota_id;
  int64_t want_utok;
} QtAsk;

typedef struct
{
  uint32_t quota_id;
  int64_t surplus_utok;
  int64_t demand_utok_per_s;
} QtReport;

typedef struct QtTable QtTable;

QtTable *qt_new (const QtOptions *options);
void qt_free (QtTable *table);

/* Adds a quota or changes its rate and burst; levels are clipped.  */
gboolean qt_define (QtTable *table, uint32_t quota_id, int64_t rate_utok_per_s,
                    int64_t burst_utok, int64_t now_us);
void qt_remove (QtTable *table, uint32_t quota_id);

void qt_set_share (QtTable *table, uint32_t base_weight, uint32_t flex_weight,
                   int64_t now_us);
/* TRUE when the open grants, of a former process too, fit into the present
   share.  */
gboolean qt_share_settled (QtTable *table, int64_t now_us);
/* Until when, on the caller's clock, each part may be used.  */
void qt_set_validity (QtTable *table, int64_t flex_until_us,
                      int64_t base_until_us);
/* Whether to lend what was borrowed, as a hub does for its zone.  */
void qt_set_relay (QtTable *table, gboolean relay);
/* The daemon that gathers the tokens of a quota; NULL for none.  */
void qt_set_gatherer (QtTable *table, uint32_t quota_id, const char *vm);
gboolean qt_is_gatherer (QtTable *table, uint32_t quota_id);
/* Empties the flex buckets; to be called for a new incarnation.  */
void qt_empty_flex (QtTable *table, int64_t now_us);

/* Takes AMOUNT or nothing, and counts it as demand.  */
gboolean qt_take (QtTable *table, uint32_t quota_id, int64_t amount_utok,
                  int64_t now_us);
/* The same for a request that was counted already.  */
gboolean qt_retake (QtTable *table, uint32_t quota_id, int64_t amount_utok,
                    int64_t now_us);
int64_t qt_available (QtTable *table, uint32_t quota_id, int64_t now_us);

/* Lends up to WANT, beyond what the daemon's own demand needs next.  */
QtGrant qt_lend (QtTable *table, uint32_t quota_id, const char *borrower,
                 int64_t want_utok, int64_t now_us);
/* Returns FALSE, without effect, for a grant that has ended or was counted
   before.  */
gboolean qt_borrowed (QtTable *table, const QtGrant *grant,
                      int64_t request_sent_us, int64_t now_us);
/* At the lender.  What wasn't spent returns to the bucket.  */
void qt_settled (QtTable *table, uint64_t grant_id, int64_t spent_utok,
                 int64_t now_us);
/* At the borrower: the next grant to settle; FALSE when there is none.  */
gboolean qt_next_settle (QtTable *table, int64_t now_us, QtSettle *settle);

/* What to ask from whom now, given what the peers reported; at most
   QT_PEERS_PER_ROUND peers for each quota and ASK_MAX in all.  Counts what is
   asked as under way for a short time, so it may be called every few
   milliseconds.  Returns the number of asks.  */
uint32_t qt_plan_borrow (QtTable *table, const QtSurplus *peers,
                         uint32_t peer_count, QtAsk *asks, uint32_t ask_max,
                         int64_t now_us);
/* An ask was answered, also with nothing.  */
void qt_asked_done (QtTable *table, uint32_t quota_id, const char *vm,
                    int64_t want_utok, int64_t now_us);

/* Surplus and demand of up to MAX quotas, the most wanted first.  */
uint32_t qt_report (QtTable *table, QtReport *reports, uint32_t max,
                    int64_t now_us);

G_DEFINE_AUTOPTR_CLEANUP_FUNC (QtTable, qt_free)

#endif
