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
     A queue holds the requests that wait for slots of one service, in one
     FIFO per customer.  A customer is active while it has requests waiting,
     and idle otherwise.  Deficit round robin selects the next request: in each
     round every active customer is credited with its weight, and a request
     costs the largest weight among the active customers, so that the one with
     the largest weight is served one request a round.

     A customer that becomes active without a debt is served in its first
     round, even if its credit is less than the cost.  The difference becomes
     a debt, which the credit of later rounds repays, also while the customer
     is idle.  So a customer within its fair share need not wait until it has
     credit for a whole request, and one that becomes idle and active again
     gains nothing.

     Requests are opaque pointers owned by the caller; each may be queued
     once.  All times are read from one monotonic clock.

   ERRORS
     FQ_ERROR_FULL       the customer has customer_requests_max waiting
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
  /* 0 and values above FQ_CUSTOMER_REQUESTS_MAX count as that maximum.  */
  uint32_t customer_requests_max;
  int64_t wait_max_us; /* 0: FQ_WAIT_MAX_US */
} FqOptions;

typedef struct
{
  void *request;
  const char *customer; /* valid until the customer is removed */
  int64_t waited_us;
  gboolean expired;
} FqItem;

GQuark fq_error_quark (void);

FqQueue *fq_new (const FqOptions *options);

/* Frees QUEUE.  Requests that still wait are dropped without notice.  */
void fq_free (FqQueue *queue);

/* Sets the weight of CUSTOMER from the next round on; 0 counts as 1, which is
   also the default.  */
void fq_set_weight (FqQueue *queue, const char *customer, uint32_t weight);

/* Removes a customer with its weight and debt.  Returns FALSE and changes
   nothing while the customer has requests waiting.  */
gboolean fq_remove_customer (FqQueue *queue, const char *customer);

/* Queues REQUEST until DEADLINE_US, but for at most wait_max_us.  On failure
   the queue is unchanged.  */
gboolean fq_push (FqQueue *queue, const char *customer, void *request,
                  int64_t deadline_us, int64_t now_us, GError **error);

/* Removes the next request and stores it in *ITEM.  Expired requests come
   first, with expired set, and cost their customer nothing.  Returns FALSE if
   no request waits.  */
gboolean fq_pop (FqQueue *queue, int64_t now_us, FqItem *item);

/* Like fq_pop, but removes expired requests only; for use while no slot is
   free.  */
gboolean fq_pop_expired (FqQueue *queue, int64_t now_us, FqItem *item);

/* Removes a request that its caller cancelled.  Returns FALSE if it is not
   queued.  */
gboolean fq_remove_request (FqQueue *queue, const void *request);

/* Returns when the next request expires, or INT64_MAX if none waits.  */
int64_t fq_next_expiry_us (const FqQueue *queue);

/* Returns how many requests wait, of all customers or of one.  */
uint32_t fq_request_count (const FqQueue *queue);
uint32_t fq_customer_request_count (const FqQueue *queue,
                                    const char *customer);

G_DEFINE_AUTOPTR_CLEANUP_FUNC (FqQueue, fq_free)

#endif
