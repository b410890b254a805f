/* pool.h - customers whose rate is too small to be divided

   SYNOPSIS
     EnPool *pool = en_pool_new (&options);
     switch (en_pool_take (pool, "c1", on_answer, request, &take))
       {
       case EN_POOL_ASKED:
         ... on_answer is called, or en_pool_cancel (take.ask) ...
       }

   DESCRIPTION
     A daemon's share of a small rate is less than a request a second, and a
     bucket of one token refuses a third of what arrives at random although the
     customer stays within its rate.  So one daemon of each region keeps the
     region's share of such a customer, and the others ask it for each request
     by a datagram.  It is found by a hash, so daemons that know the same
   members agree without a message.

     Without an answer in time the asking daemon uses a small share of its own,
     which is set aside for that.  Larger customers are divided among all
     daemons.

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
typedef struct EnAsk EnAsk;

typedef struct
{
  struct event_base *base;
  const char *gossip_address; /* of this daemon */
  GoSocket *gossip;
  FlFleet *fleet;
  LmTable *limits;
  int64_t started_us;
} EnPoolOptions;

typedef enum
{
  EN_POOL_ADMITTED,
  EN_POOL_REFUSED,
  EN_POOL_ASKED, /* the callback tells */
} EnPoolVerdict;

typedef struct
{
  int64_t wait_us; /* where refused: until a token is there */
  gboolean is_own; /* the token is one of this daemon's own */
  EnAsk *ask;      /* where asked */
} EnTake;

typedef void (*EnPoolAnswer) (EnPoolVerdict verdict, const EnTake *take,
                              void *data);

EnPool *en_pool_new (const EnPoolOptions *options);
void en_pool_free (EnPool *pool);

/* Daemons among which rates are divided.  */
void en_pool_set_count (EnPool *pool, uint32_t daemon_count);
/* Customers are asked for by their numbers.  */
void en_pool_set_customers (EnPool *pool, const char *const *names);

/* Takes a token for a request of CUSTOMER, whose name must stay valid until
   the answer.  */
EnPoolVerdict en_pool_take (EnPool *pool, const char *customer,
                            EnPoolAnswer on_answer, void *data, EnTake *take);
void en_pool_cancel (EnAsk *ask);

/* This daemon's share of a customer, from the demand here and at all.  */
double en_pool_share (const EnPool *pool, const char *customer,
                      int64_t now_us);

void en_pool_on_ask (EnPool *pool, const GoAsk *ask);
void en_pool_on_answer (EnPool *pool, const GoAnswer *answer);

#endif
