/* internal.h - state shared by the sources of the quota package  */

#ifndef QT_INTERNAL_H
#define QT_INTERNAL_H

#include "quota/quota.h"

/* Decay of the demand estimate: long enough to span the gaps of a slow
   customer, short enough to follow a move to another VM.  */
#define DEMAND_TAU_US (500 * 1000)
/* How long a refused request counts as waiting.  */
#define SHORT_US (300 * 1000)
/* Shorter grants would end before the borrower gets to use them.  */
#define GRANT_VALID_MIN_US (100 * 1000)
#define ASKS_KEPT 64
/* What was asked of a peer is taken off its reported surplus until the next
   report may have come.  */
#define ASK_COUNTS_US (300 * 1000)
/* Smaller asks cost more than they bring.  */
#define ASK_MIN_UTOK (QT_TOKEN / 1000)

typedef enum
{
  PART_BASE,
  PART_FLEX,
  PARTS,
} QtPart;

typedef struct
{
  int64_t capacity_utok;
  int64_t level_utok;
  int64_t lent_utok;
  int64_t remainder; /* of the last refill, in utok / REFILL_DIVISOR */
  int64_t filled_us;
} QtBucket;

typedef struct QtQuota QtQuota;

/* A grant at its borrower.  It is kept until it ends, so that a second copy
   is recognised.  */
typedef struct
{
  char lender[QT_NAME_BYTES];
  uint64_t grant_id;
  int64_t amount_utok;
  int64_t left_utok;
  int64_t until_us;
  uint32_t lent_count; /* open grants made of it */
  gboolean settled;
} QtBorrowed;

typedef struct
{
  QtBorrowed *borrowed;
  int64_t amount_utok;
} QtSource;

/* A grant at its lender; made of both buckets and of borrowed grants.  */
typedef struct
{
  QtQuota *quota;
  uint64_t grant_id;
  int64_t part_utok[PARTS];
  GArray *sources; /* QtSource */
  int64_t until_us;
} QtLent;

typedef struct
{
  char vm[QT_NAME_BYTES];
  int64_t sent_us;
  int64_t want_utok;
  gboolean answered;
} QtOpenAsk;

struct QtQuota
{
  uint32_t quota_id;
  int64_t rate_utok_per_s;
  int64_t burst_utok;
  QtBucket parts[PARTS];
  double demand_utok; /* decaying sum */
  double relay_utok;  /* the same for what could not be lent on */
  int64_t demand_us;
  int64_t short_utok; /* refused and not taken since */
  int64_t short_us;
  int64_t round_us;          /* of the last asks */
  QtOpenAsk asks[ASKS_KEPT]; /* lately sent */
  uint32_t ask_count;
  char gatherer[QT_NAME_BYTES]; /* empty without */
  GPtrArray *borrowed;          /* QtBorrowed, the first to end first */
  GPtrArray *lent;              /* QtLent */
  int64_t lent_end_us;          /* no lent grant ends before */
};

struct QtTable
{
  char vm[QT_NAME_BYTES];
  uint64_t next_grant_id;
  gboolean split;
  gboolean relay;
  gboolean has_share;
  int64_t refill_from_us;
  uint32_t weights[PARTS];
  int64_t until_us[PARTS];
  GHashTable *quotas; /* id -> QtQuota */
  GHashTable *lent;   /* grant id -> QtLent */
  GArray *settles;    /* QtSettle, to be sent */
};

/* quota.c: state of QUOTA as of now, with ended grants dropped.  */
void qt_update (QtTable *table, QtQuota *quota, int64_t now_us);
QtQuota *qt_find (QtTable *table, uint32_t quota_id);
int64_t qt_usable (const QtTable *table, const QtQuota *quota, QtPart part,
                   int64_t now_us);
int64_t qt_sum (const QtTable *table, const QtQuota *quota, int64_t now_us);
/* What the daemon's own requests need next.  */
int64_t qt_need (const QtQuota *quota);
void qt_decay (QtQuota *quota, int64_t now_us);
/* Whether this daemon is the gatherer of QUOTA.  */
gboolean qt_gathers (const QtTable *table, const QtQuota *quota);
/* What the daemon doesn't lend.  */
int64_t qt_reserved (const QtTable *table, const QtQuota *quota);

/* lend.c */
void qt_lent_free (void *data);
void qt_lent_expire (QtTable *table, QtQuota *quota, int64_t now_us);

/* borrow.c */
void qt_borrowed_expire (QtTable *table, QtQuota *quota, int64_t now_us);
/* Spends up to AMOUNT of borrowed tokens; returns what was spent.  */
int64_t qt_spend_borrowed (QtTable *table, QtQuota *quota, int64_t amount_utok,
                           int64_t now_us);
int64_t qt_borrowed_left (const QtQuota *quota, int64_t now_us);
void qt_settle_if_done (QtTable *table, QtBorrowed *borrowed, int64_t now_us);

#endif
