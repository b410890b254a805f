/* pool.h - token buckets that one daemon keeps for others

   SYNOPSIS
     EnPool *pool = en_pool_new (&options);
     switch (en_pool_take_token (pool, "c1", on_result, request, &result))
       {
       case EN_POOL_PENDING:
         ... on_result is called, or
         en_pool_cancel (result.token_request) ...
       }

   DESCRIPTION
     A daemon's share of a small rate is less than a request a second, and a
     bucket of one token refuses a third of the requests that arrive at random,
     although the customer stays within its rate.  So one daemon of each
     region, the token owner, keeps the token bucket of such a customer with
     the region's share of the rate, and the other daemons send it a token
     request for each request.  The token owner is found by a hash, so daemons
     that know the same members agree on it without a message.

     Without a token reply in time the requesting daemon takes a token from its
     own bucket, for which a small share is reserved.  The rate of larger
     customers is split among all daemons.

     A target that limits its rate has one token bucket for all daemons, with
     nothing reserved: a daemon that gets no reply sends it nothing for a
     while.  The token owner needs to know nothing of the target, since token
     requests contain the limit.

   ERRORS
     None.  */

#ifndef EN_POOL_H
#define EN_POOL_H

#include <glib.h>

#include "fleet/fleet.h"
#include "gossip/gossip.h"
#include "limit/limit.h"

struct event_base;

typedef struct EnPool EnPool;
typedef struct EnTokenRequest EnTokenRequest;

typedef struct
{
  struct event_base *base;
  const char *gossip_address; /* of this daemon */
  GoSocket *gossip;
  FlFleet *fleet;
  LmTable *limits;
} EnPoolOptions;

typedef enum
{
  EN_POOL_ADMITTED,
  EN_POOL_REFUSED,
  EN_POOL_PENDING, /* the callback gets the verdict */
} EnPoolVerdict;

typedef struct
{
  int64_t wait_us;               /* if refused: time until the next token */
  gboolean is_local;             /* decided by this daemon's own bucket */
  EnTokenRequest *token_request; /* if pending: for en_pool_cancel */
} EnTokenResult;

/* A target that limits its rate.  */
typedef struct
{
  uint64_t id_hash;
  const char *region;
  double limit_per_s;
} EnLimitedTarget;

typedef void (*EnPoolCallback) (EnPoolVerdict verdict,
                                const EnTokenResult *result, void *data);

EnPool *en_pool_new (const EnPoolOptions *options);
void en_pool_free (EnPool *pool);

/* The other daemons of the region are known, so that the token owner can be
   found.  Until then the rate of every customer is split.  */
void en_pool_set_members_known (EnPool *pool);
/* Sets the number of daemons among which rates are split, including this one,
   and the share of this daemon without demand.  */
void en_pool_set_daemon_count (EnPool *pool, uint32_t daemon_count,
                               double idle_share);
/* Sets the names by which the customer ids of token requests are resolved;
   CUSTOMER_NAMES ends with NULL and is copied.  */
void en_pool_set_customers (EnPool *pool, const char *const *customer_names);

/* Takes a token for a request of CUSTOMER.  With EN_POOL_PENDING, RESULT holds
   the token request; ON_RESULT is called from the loop unless the token
   request is cancelled, and CUSTOMER must stay valid until either happens.
   With another verdict ON_RESULT is not called.  */
EnPoolVerdict en_pool_take_token (EnPool *pool, const char *customer,
                                  EnPoolCallback on_result, void *data,
                                  EnTokenResult *result);
/* Tells what en_pool_take_token would decide now, without taking a token,
   counting demand or sending a message; EN_POOL_PENDING if another daemon
   keeps the customer's tokens.  */
EnPoolVerdict en_pool_peek_token (const EnPool *pool, const char *customer,
                                  EnTokenResult *result);
/* The same as en_pool_take_token for a request to TARGET.  */
EnPoolVerdict en_pool_take_target_token (EnPool *pool,
                                         const EnLimitedTarget *target,
                                         EnPoolCallback on_result, void *data,
                                         EnTokenResult *result);
void en_pool_cancel (EnTokenRequest *request);
/* Drops the token buckets of targets of which no token was requested since the
   last call; call it once in a while.  */
void en_pool_sweep_targets (EnPool *pool);

/* Records the customer's demand at this daemon and in its region; call it once
   in each report interval, before en_pool_share.  */
void en_pool_note_demand (EnPool *pool, const char *customer, int64_t now_us);
/* This daemon's share of the customer's rate, 0 to 1, computed from the
   recorded demand at all daemons and at this one or, for its token owner, in
   this region.  */
double en_pool_share (const EnPool *pool, const char *customer,
                      int64_t now_us);

void en_pool_on_token_request (EnPool *pool, const GoTokenRequest *request);
void en_pool_on_token_reply (EnPool *pool, const GoTokenReply *reply);

#endif
