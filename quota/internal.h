/* internal.h - state shared by the sources of quota/  */

#ifndef QT_INTERNAL_H
#define QT_INTERNAL_H

#include "quota/quota.h"

/* Time constant of the decaying demand estimate: long enough to span the gaps
   between the requests of a slow customer, short enough to follow its move to
   another VM.  */
#define DEMAND_TAU_US (500 * 1000)
/* How long after the last refusal or retry requests count as waiting for
   tokens.  */
#define SHORTAGE_TIMEOUT_US (300 * 1000)
/* A shorter grant would expire before the borrower could use it.  */
#define GRANT_VALID_MIN_US (100 * 1000)
#define SENT_REQUESTS_MAX 64
/* How long a sent lend request is deducted from the lender's reported surplus:
   until the lender's next report may have arrived.  */
#define SENT_REQUEST_TTL_US (300 * 1000)
/* A smaller lend request costs more than it brings.  */
#define LEND_REQUEST_MIN_UTOK (QT_TOKEN_UTOK / 1000)

typedef enum
{
  BUCKET_BASE,
  BUCKET_FLEX,
  BUCKET_COUNT,
} QtBucketKind;

typedef struct
{
  int64_t capacity_utok;
  int64_t level_utok;
  int64_t lent_utok; /* in open grants; lowers the capacity */
  int64_t remainder; /* of the last refill, in utok / REFILL_DIVISOR */
  int64_t refilled_us;
} QtBucket;

typedef struct QtQuota QtQuota;

/* A grant at its borrower.  It is kept until it expires, so that a duplicate
   is recognised.  */
typedef struct
{
  char lender[QT_NAME_BYTES];
  uint64_t grant_id;
  int64_t amount_utok;
  int64_t left_utok;
  int64_t expires_us;
  uint32_t open_lent_count; /* open grants made from it */
  gboolean settled;
} QtBorrowedGrant;

/* The tokens of a lent grant that come from a borrowed grant.  */
typedef struct
{
  QtBorrowedGrant *borrowed;
  int64_t amount_utok;
} QtGrantSource;

/* A grant at its lender.  Its tokens come from the buckets, from borrowed
   grants or from both.  */
typedef struct
{
  QtQuota *quota;
  uint64_t grant_id;
  int64_t bucket_utok[BUCKET_COUNT];
  GArray *sources; /* QtGrantSource */
  int64_t expires_us;
} QtLentGrant;

typedef struct
{
  char vm[QT_NAME_BYTES];
  int64_t sent_us;
  int64_t want_utok;
  gboolean done; /* replied to, failed or timed out */
} QtSentRequest;

struct QtQuota
{
  uint32_t quota_id;
  int64_t rate_utok_per_s;
  int64_t burst_utok;
  QtBucket buckets[BUCKET_COUNT];
  double demand_utok; /* exponentially decaying sum */
  double unmet_utok;  /* likewise, of what peers asked for and did not get */
  int64_t decayed_us; /* time of the last decay */
  int64_t shortage_utok;  /* refused and not taken since */
  int64_t shortage_us;    /* time of the last refusal or retry */
  int64_t last_borrow_us; /* time of the last lend requests */
  QtSentRequest sent_requests[SENT_REQUESTS_MAX];
  uint32_t sent_request_count;
  char aggregator[QT_NAME_BYTES]; /* empty if none */
  GPtrArray *borrowed;            /* QtBorrowedGrant, by expires_us */
  GPtrArray *lent;                /* QtLentGrant */
  int64_t next_lent_expiry_us;    /* no lent grant expires before */
};

struct QtTable
{
  char vm[QT_NAME_BYTES];
  uint64_t next_grant_id;
  gboolean split; /* fixed shares, no lending and no borrowing */
  gboolean relends;
  gboolean has_share;
  int64_t refill_from_us;
  uint32_t weights[BUCKET_COUNT];
  int64_t valid_until_us[BUCKET_COUNT];
  GHashTable *quotas;  /* id -> QtQuota */
  GHashTable *lent;    /* grant id -> QtLentGrant */
  GArray *settlements; /* QtSettlement, to be sent */
};

/* quota.c */

/* Refills the buckets up to now and drops expired grants.  */
void qt_update_quota (QtTable *table, QtQuota *quota, int64_t now_us);
QtQuota *qt_find_quota (QtTable *table, uint32_t quota_id);
int64_t qt_bucket_usable_utok (const QtTable *table, const QtQuota *quota,
                               QtBucketKind kind, int64_t now_us);
int64_t qt_usable_utok (const QtTable *table, const QtQuota *quota,
                        int64_t now_us);
/* Tokens that the daemon keeps or borrows for its own requests: the expected
   demand of QT_PREFETCH_US or the shortage, whichever is larger.  */
int64_t qt_needed_utok (const QtQuota *quota);
void qt_decay_demand (QtQuota *quota, int64_t now_us);
/* Whether this daemon is the aggregator of the quota.  */
gboolean qt_aggregates (const QtTable *table, const QtQuota *quota);
/* Tokens that the daemon doesn't lend.  */
int64_t qt_reserved_utok (const QtTable *table, const QtQuota *quota);

/* lend.c */
void qt_lent_grant_free (void *data);
void qt_expire_lent_grants (QtTable *table, QtQuota *quota, int64_t now_us);

/* borrow.c */
void qt_expire_borrowed_grants (QtTable *table, QtQuota *quota,
                                int64_t now_us);
/* Spends up to amount_utok of borrowed tokens; returns what was spent.  */
int64_t qt_spend_borrowed (QtTable *table, QtQuota *quota, int64_t amount_utok,
                           int64_t now_us);
int64_t qt_borrowed_left_utok (const QtQuota *quota, int64_t now_us);
void qt_settle_if_done (QtTable *table, QtBorrowedGrant *borrowed,
                        int64_t now_us);

#endif
