/* limit.h - a customer's rate and burst, divided among the daemons

   SYNOPSIS
     LmTable *table = lm_new ();
     lm_set (table, "c1", 100, 50);
     lm_set_share (table, "c1", 0.25);
     if (!lm_take (table, "c1", now_us, &wait_us))
       refuse (wait_us);

   DESCRIPTION
     Each daemon admits its share of a customer's rate and burst from a token
     bucket of its own.  The shares of all daemons add up to one at most, so
     the sum holds without a message for each request.  Shares follow demand:
     lm_demand tells how much was asked for here, and lm_share computes a
     share from the demand of all.

     A bucket starts with a part of its burst only, since a restart must not
     hand out a burst that was spent just before it.

   ERRORS
     None.  An unknown customer is not limited.  */

#ifndef LM_LIMIT_H
#define LM_LIMIT_H

#include <glib.h>
#include <stdint.h>

typedef struct LmTable LmTable;

LmTable *lm_new (void);
void lm_free (LmTable *table);

/* A rate of zero is no limit.  */
void lm_set (LmTable *table, const char *customer, double rate_per_s,
             double burst_count, int64_t now_us);
/* Forgets customers that were not set since the last call.  */
void lm_sweep (LmTable *table);

/* A share falls at once and rises half way each time, since the daemons that
   lose it learn of that later than the one that gains it.  */
void lm_set_share (LmTable *table, const char *customer, double share,
                   int64_t now_us);

/* Counts a request of a caller of this daemon, wherever its token is taken. */
void lm_note_demand (LmTable *table, const char *customer, int64_t now_us);

/* Takes one token, or sets WAIT_US to the time until one is there.  */
gboolean lm_take (LmTable *table, const char *customer, int64_t now_us,
                  int64_t *wait_us);
/* Gives back the token of a request that did not run.  */
void lm_return (LmTable *table, const char *customer);

/* Requests a second that were asked for here, averaged.  */
double lm_demand (LmTable *table, const char *customer, int64_t now_us);
double lm_rate (LmTable *table, const char *customer);
void lm_each (LmTable *table, void (*visit) (const char *customer, void *data),
              void *data);

/* The share of a daemon that sees OWN of the ALL requests a second, among
   COUNT daemons, for a customer with RATE_PER_S.  */
double lm_share (double own_per_s, double all_per_s, uint32_t count,
                 double rate_per_s);

#endif
