/* limit.h - per-customer rate limits, divided among the daemons

   SYNOPSIS
     LmTable *table = lm_new ();
     lm_set_limit (table, "c1", 100, 50, now_us);
     lm_set_share (table, "c1", 0.25, now_us);
     if (!lm_take_token (table, "c1", now_us, &wait_us))
       refuse (wait_us);

   DESCRIPTION
     Each daemon admits its share of a customer's rate and burst from its own
     token bucket.  The shares of all daemons add up to at most one, so the
     limit holds across daemons without a message per request.  Shares follow
     demand, the requests per second that callers make, admitted or not:
     lm_demand returns the demand at this daemon, and lm_compute_share computes
     a share from it and the demand at all daemons.

     A daemon knows its own demand at once, the others learn of it from
     reports.  If it raised its share meanwhile, and demand rose at many
     daemons at the same time, as it does when all of them start, their shares
     would add up to several times the limit.  So a share is computed from
     demand that was recorded some report intervals ago, and that the other
     daemons have learned of.

     A bucket starts with only a fraction of its burst, so that a restart does
     not grant again a burst that was used just before it.

   ERRORS
     None.  An unknown customer is not limited.  */

#ifndef LM_LIMIT_H
#define LM_LIMIT_H

#include <glib.h>
#include <stdint.h>

/* Demands that are kept, one for each report interval.  */
#define LM_NOTED_MAX 3

typedef struct LmTable LmTable;

/* Whose demand a share follows.  */
typedef enum
{
  LM_SCOPE_DAEMON,
  LM_SCOPE_REGION,
  LM_SCOPE_ALL,
  LM_SCOPE_COUNT,
} LmScope;

LmTable *lm_new (void);
void lm_free (LmTable *table);

/* Sets the limit of a customer at all daemons together.  A rate of 0 means no
   limit.  A new customer has no tokens until its share is set.  */
void lm_set_limit (LmTable *table, const char *customer, double rate_per_s,
                   double burst_count, int64_t now_us);
/* Removes customers whose limit was not set since the last call.  */
void lm_sweep (LmTable *table);

/* Sets this daemon's share, 0 to 1, of a customer's limit.  A decrease applies
   at once, and so does an increase from 0.  Otherwise each call raises the
   share by only half of an increase, since the daemons whose shares decrease
   learn of that later than the one whose share increases.  */
void lm_set_share (LmTable *table, const char *customer, double share,
                   int64_t now_us);

/* Counts a request of a caller of this daemon as demand here, whichever daemon
   the token is taken from.  */
void lm_record_request (LmTable *table, const char *customer, int64_t now_us);

/* Takes one token, or returns FALSE and sets WAIT_US to the time until one is
   available.  Returns TRUE and takes none if the customer is not limited.  */
gboolean lm_take_token (LmTable *table, const char *customer, int64_t now_us,
                        int64_t *wait_us);
/* The same without taking the token or changing the table.  */
gboolean lm_peek_token (const LmTable *table, const char *customer,
                        int64_t now_us, int64_t *wait_us);
/* Returns the token of a request that did not run.  */
void lm_return_token (LmTable *table, const char *customer);

/* Takes a token from the bucket KEY for RATE_PER_S requests per second of all
   daemons, which one of them keeps for all.  Which one changes when daemons
   come and go, and for a moment two may take themselves for it.  So a bucket
   that is new, or of which no token was requested for a while, counts as one
   that another daemon has used meanwhile, and holds at most one token.
   lm_sweep drops it once in a while.  WAIT_US as for lm_take_token.  */
gboolean lm_take_shared_token (LmTable *table, const char *key,
                               double rate_per_s, int64_t now_us,
                               int64_t *wait_us);

/* EWMA of the requests per second that callers of this daemon made, admitted
   or not.  */
double lm_demand (LmTable *table, const char *customer, int64_t now_us);
/* Records the demand of SCOPE; call it once in each report interval.  */
void lm_note_demand (LmTable *table, const char *customer, LmScope scope,
                     double per_s);
/* The demand of SCOPE that was recorded INTERVALS calls before the last one,
   less than LM_NOTED_MAX; 0 if so many are not recorded.  */
double lm_noted_demand (LmTable *table, const char *customer, LmScope scope,
                        uint32_t intervals);
/* Rate limit in requests per second, of all daemons together; 0 if there is
   none.  */
double lm_rate (LmTable *table, const char *customer);
void lm_each_customer (LmTable *table,
                       void (*visit) (const char *customer, void *data),
                       void *data);

/* Share, 0 to 1, of a daemon that receives LOCAL_PER_S of the customer's
   TOTAL_PER_S requests per second; RATE_PER_S is its limit.  IDLE_SHARE is the
   share that the daemon would have without demand; those of all daemons add up
   to 1.  */
double lm_compute_share (double local_per_s, double total_per_s,
                         double idle_share, double rate_per_s);

#endif
