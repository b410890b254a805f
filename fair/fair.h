/* fair.h - weighted fair queue of requests that wait for a slot

   SYNOPSIS
     FqQueue *queue = fq_new (&(FqOptions){ 0 });
     fq_set_weight (queue, "c1", 300);
     if (!fq_push (queue, "c1", request, deadline_us, now_us, &error))
       refuse (request);
     FqItem item;
     if (fq_pop (queue, now_us, &item))
       item.expired ? refuse (item.request) : send (item.request);

   DESCRIPTION
     A queue holds the requests that wait for one kind of slot, that is, for
     one service, in one FIFO for each customer.  Deficit round robin decides
     whose request goes next: a round gives each waiting customer its weight
     as credit, and a request costs the largest weight among the waiting
     customers, so that the heaviest one sends one request a round.

     A customer that was idle is served in its first round on credit, and pays
     in the rounds that follow, also while it is idle.  So a customer within
     its share does not wait for its turn to add up, and one that stops and
     starts gains nothing.

     Requests are opaque pointers that stay with the caller; each may be queued
     once.  All times are of one monotonic clock.

   ERRORS
     FQ_ERROR_FULL       the customer has its limit of requests waiting
     FQ_ERROR_EXPIRED    the deadline has passed
     FQ_ERROR_DUPLICATE  the request is queued already  */

#ifndef FQ_FAIR_H
#define FQ_FAIR_H

#include <glib.h>
#include <stdint.h>

#define FQ_CUSTOMER_REQUESTS_MAX 64
#define FQ_WAIT_MAX_US ((int64_t)2000000)

#define FQ_ERROR (fq_error_quark ())

typedef enum
{
  FQ_ERROR_FULL,
  FQ_ERROR_EXPIRED,
  FQ_ERROR_DUPLICATE,
} FqError;

typedef struct FqQueue FqQueue;

typedef struct
{
  uint32_t customer_requests_max; /* 0: FQ_CUSTOMER_REQUESTS_MAX, its bound */
  int64_t wait_max_us;            /* 0: FQ_WAIT_MAX_US */
} FqOptions;

typedef struct
{
  void *request;
  const char *customer; /* valid until the customer is forgotten */
  int64_t waited_us;
  gboolean expired;
} FqItem;

GQuark fq_error_quark (void);

FqQueue *fq_new (const FqOptions *options);

/* Requests that still wait are dropped without a call.  */
void fq_free (FqQueue *queue);

/* Weight of CUSTOMER from the next round on; 0 counts as 1.  A customer that
   was never given one has 1.  */
void fq_set_weight (FqQueue *queue, const char *customer, uint32_t weight);

/* Drops the state of a customer; FALSE while it has requests waiting.  */
gboolean fq_forget (FqQueue *queue, const char *customer);

/* Queues REQUEST until DEADLINE_US or the longest wait, whichever is first.
   On failure the queue is unchanged.  */
gboolean fq_push (FqQueue *queue, const char *customer, void *request,
                  int64_t deadline_us, int64_t now_us, GError **error);

/* Takes out the next request.  Expired requests come first, with EXPIRED set,
   and cost their customer nothing.  FALSE when no request waits.  */
gboolean fq_pop (FqQueue *queue, int64_t now_us, FqItem *item);

/* Takes out a request that has expired, for use while no slot is free.  */
gboolean fq_pop_expired (FqQueue *queue, int64_t now_us, FqItem *item);

/* Takes out a request whose caller has gone; FALSE if it is not queued.  */
gboolean fq_remove (FqQueue *queue, const void *request);

/* When the next request expires, or INT64_MAX.  */
int64_t fq_next_expiry_us (const FqQueue *queue);

uint32_t fq_count (const FqQueue *queue);
uint32_t fq_customer_count (const FqQueue *queue, const char *customer);

G_DEFINE_AUTOPTR_CLEANUP_FUNC (FqQueue, fq_free)

#endif
