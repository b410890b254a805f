#include "fair/fair.h"

/* Added to the round when the queue becomes empty, which cancels all debts:
   any debt is repaid in less than 2^32 rounds.  */
#define EMPTY_QUEUE_ROUNDS ((uint64_t)1 << 33)

typedef struct
{
  char *name;
  int64_t weight;
  /* The customer is served while this is positive.  Each request reduces it by
     the cost, so it may become negative: a debt.  */
  int64_t credit;
  uint64_t round;  /* last round that is included in credit */
  GQueue requests; /* QueuedRequest, by their link */
  GList active_link;
} Customer;

typedef struct
{
  void *request;
  Customer *customer;
  int64_t pushed_us;
  int64_t expiry_us;
  guint heap_index;
  GList link;
} QueuedRequest;

struct FqQueue
{
  uint32_t customer_requests_max;
  int64_t wait_max_us;
  GHashTable *customers;       /* name -> Customer */
  GHashTable *queued_requests; /* request -> QueuedRequest */
  GPtrArray *heap;             /* QueuedRequest, min-heap by expiry_us */
  GQueue active_list; /* Customer with waiting requests, by active_link */
  uint64_t round;
  int64_t cost;           /* of a request: largest weight in active_list */
  gboolean head_credited; /* the head of active_list has this round's credit */
};

G_DEFINE_QUARK (fq_error, fq_error)

static void
customer_free (void *data)
{
  Customer *customer = data;

  g_free (customer->name);
  g_free (customer);
}

FqQueue *
fq_new (const FqOptions *options)
{
  FqQueue *queue = g_new0 (FqQueue, 1);

  queue->customer_requests_max = options->customer_requests_max;
  if (queue->customer_requests_max == 0
      || queue->customer_requests_max > FQ_CUSTOMER_REQUESTS_MAX)
    queue->customer_requests_max = FQ_CUSTOMER_REQUESTS_MAX;
  queue->wait_max_us
      = options->wait_max_us > 0 ? options->wait_max_us : FQ_WAIT_MAX_US;
  queue->customers
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, customer_free);
  queue->queued_requests = g_hash_table_new_full (NULL, NULL, NULL, g_free);
  queue->heap = g_ptr_array_new ();
  return queue;
}

void
fq_free (FqQueue *queue)
{
  if (queue == NULL)
    return;
  g_ptr_array_unref (queue->heap);
  g_hash_table_unref (queue->queued_requests);
  g_hash_table_unref (queue->customers);
  g_free (queue);
}

static Customer *
ensure_customer (FqQueue *queue, const char *name)
{
  Customer *customer = g_hash_table_lookup (queue->customers, name);

  if (customer != NULL)
    return customer;
  customer = g_new0 (Customer, 1);
  customer->name = g_strdup (name);
  customer->weight = 1;
  customer->active_link.data = customer;
  g_queue_init (&customer->requests);
  g_hash_table_insert (queue->customers, customer->name, customer);
  return customer;
}

static void
update_cost (FqQueue *queue)
{
  queue->cost = 0;
  for (const GList *link = queue->active_list.head; link != NULL;
       link = link->next)
    {
      const Customer *customer = link->data;

      queue->cost = MAX (queue->cost, customer->weight);
    }
}

void
fq_set_weight (FqQueue *queue, const char *name, uint32_t weight)
{
  Customer *customer = ensure_customer (queue, name);

  customer->weight = MAX (weight, 1);
  update_cost (queue);
}

gboolean
fq_remove_customer (FqQueue *queue, const char *name)
{
  Customer *customer = g_hash_table_lookup (queue->customers, name);

  if (customer == NULL)
    return TRUE;
  if (customer->requests.length > 0)
    return FALSE;
  return g_hash_table_remove (queue->customers, name);
}

static const QueuedRequest *
heap_at (const FqQueue *queue, guint index)
{
  return g_ptr_array_index (queue->heap, index);
}

static void
heap_set (FqQueue *queue, guint index, QueuedRequest *queued)
{
  g_ptr_array_index (queue->heap, index) = queued;
  queued->heap_index = index;
}

/* Restores the heap order after the request at INDEX was set.  */
static void
heap_sift (FqQueue *queue, guint index)
{
  QueuedRequest *queued = g_ptr_array_index (queue->heap, index);
  guint child;

  while (index > 0
         && heap_at (queue, (index - 1) / 2)->expiry_us > queued->expiry_us)
    {
      heap_set (queue, index,
                g_ptr_array_index (queue->heap, (index - 1) / 2));
      index = (index - 1) / 2;
    }
  while ((child = 2 * index + 1) < queue->heap->len)
    {
      if (child + 1 < queue->heap->len
          && heap_at (queue, child + 1)->expiry_us
                 < heap_at (queue, child)->expiry_us)
        child++;
      if (heap_at (queue, child)->expiry_us >= queued->expiry_us)
        break;
      heap_set (queue, index, g_ptr_array_index (queue->heap, child));
      index = child;
    }
  heap_set (queue, index, queued);
}

static void
heap_remove (FqQueue *queue, const QueuedRequest *queued)
{
  guint index = queued->heap_index;
  QueuedRequest *last = g_ptr_array_index (queue->heap, queue->heap->len - 1);

  g_ptr_array_set_size (queue->heap, (int)queue->heap->len - 1);
  if (last == queued)
    return;
  heap_set (queue, index, last);
  heap_sift (queue, index);
}

/* Reduces the debt by the rounds that passed while CUSTOMER was idle. Positive
   credit is not carried over.  */
static void
activate_customer (FqQueue *queue, Customer *customer)
{
  uint64_t rounds_passed = queue->round - customer->round;
  int64_t debt = MAX (-customer->credit, 0);

  if (rounds_passed >= (uint64_t)(debt / customer->weight + 1))
    customer->credit = 0;
  else
    customer->credit = MIN (
        customer->credit + (int64_t)rounds_passed * customer->weight, 0);
  customer->round = queue->round;
  g_queue_push_tail_link (&queue->active_list, &customer->active_link);
  queue->cost = MAX (queue->cost, customer->weight);
}

static void
deactivate_customer (FqQueue *queue, Customer *customer)
{
  if (queue->active_list.head == &customer->active_link)
    queue->head_credited = FALSE;
  g_queue_unlink (&queue->active_list, &customer->active_link);
  if (customer->weight == queue->cost)
    update_cost (queue);
  if (queue->active_list.length == 0)
    queue->round += EMPTY_QUEUE_ROUNDS;
}

gboolean
fq_push (FqQueue *queue, const char *name, void *request, int64_t deadline_us,
         int64_t now_us, GError **error)
{
  Customer *customer;
  QueuedRequest *queued;

  if (deadline_us <= now_us)
    {
      g_set_error (error, FQ_ERROR, FQ_ERROR_EXPIRED,
                   "deadline passed %" G_GINT64_FORMAT " us ago",
                   now_us - deadline_us);
      return FALSE;
    }
  if (g_hash_table_contains (queue->queued_requests, request))
    {
      g_set_error (error, FQ_ERROR, FQ_ERROR_DUPLICATE,
                   "request of customer %s is queued already", name);
      return FALSE;
    }
  customer = ensure_customer (queue, name);
  if (customer->requests.length >= queue->customer_requests_max)
    {
      g_set_error (error, FQ_ERROR, FQ_ERROR_FULL,
                   "customer %s has %u requests waiting", name,
                   customer->requests.length);
      return FALSE;
    }
  queued = g_new0 (QueuedRequest, 1);
  queued->request = request;
  queued->customer = customer;
  queued->pushed_us = now_us;
  queued->expiry_us = MIN (deadline_us, now_us + queue->wait_max_us);
  queued->link.data = queued;
  g_hash_table_insert (queue->queued_requests, request, queued);
  if (customer->requests.length == 0)
    activate_customer (queue, customer);
  g_queue_push_tail_link (&customer->requests, &queued->link);
  g_ptr_array_add (queue->heap, queued);
  heap_sift (queue, queue->heap->len - 1);
  return TRUE;
}

static void
delete_request (FqQueue *queue, QueuedRequest *queued)
{
  Customer *customer = queued->customer;

  heap_remove (queue, queued);
  g_queue_unlink (&customer->requests, &queued->link);
  if (customer->requests.length == 0)
    deactivate_customer (queue, customer);
  g_hash_table_remove (queue->queued_requests, queued->request);
}

static void
pop_request (FqQueue *queue, QueuedRequest *queued, int64_t now_us,
             FqItem *item)
{
  *item = (FqItem){ .request = queued->request,
                    .customer = queued->customer->name,
                    .waited_us = now_us - queued->pushed_us,
                    .expired = queued->expiry_us <= now_us };
  delete_request (queue, queued);
}

gboolean
fq_pop_expired (FqQueue *queue, int64_t now_us, FqItem *item)
{
  QueuedRequest *first;

  if (queue->heap->len == 0)
    return FALSE;
  first = g_ptr_array_index (queue->heap, 0);
  if (first->expiry_us > now_us)
    return FALSE;
  pop_request (queue, first, now_us, item);
  return TRUE;
}

/* Credits the head of the active list for one round: the current one, or the
   next if it already has the credit of the current one.  */
static void
credit_head (FqQueue *queue)
{
  Customer *customer = queue->active_list.head->data;

  if (customer->round == queue->round)
    queue->round++;
  customer->round = queue->round;
  customer->credit += customer->weight;
  queue->head_credited = TRUE;
}

static void
rotate_active_list (FqQueue *queue)
{
  g_queue_push_tail_link (&queue->active_list,
                          g_queue_pop_head_link (&queue->active_list));
  queue->head_credited = FALSE;
}

/* Credits all active customers at once for the rounds in which none can be
   served, since weights may differ by a factor of billions.  */
static void
skip_rounds (FqQueue *queue)
{
  int64_t round_count = INT64_MAX;

  for (const GList *link = queue->active_list.head; link != NULL;
       link = link->next)
    {
      const Customer *customer = link->data;

      round_count = MIN (round_count, -customer->credit / customer->weight);
    }
  for (const GList *link = queue->active_list.head; link != NULL;
       link = link->next)
    {
      Customer *customer = link->data;

      customer->credit += round_count * customer->weight;
      customer->round += (uint64_t)round_count;
    }
  queue->round += (uint64_t)round_count;
}

/* Moves the next customer to be served to the head of the active list.  */
static Customer *
next_customer (FqQueue *queue)
{
  guint skipped_count = 0;

  for (;;)
    {
      Customer *customer = queue->active_list.head->data;

      if (!queue->head_credited)
        credit_head (queue);
      if (customer->credit > 0)
        return customer;
      rotate_active_list (queue);
      if (++skipped_count == queue->active_list.length)
        skip_rounds (queue);
    }
}

gboolean
fq_pop (FqQueue *queue, int64_t now_us, FqItem *item)
{
  Customer *customer;

  if (fq_pop_expired (queue, now_us, item))
    return TRUE;
  if (queue->active_list.length == 0)
    return FALSE;
  customer = next_customer (queue);
  customer->credit -= queue->cost;
  pop_request (queue, customer->requests.head->data, now_us, item);
  return TRUE;
}

gboolean
fq_remove_request (FqQueue *queue, const void *request)
{
  QueuedRequest *queued
      = g_hash_table_lookup (queue->queued_requests, request);

  if (queued == NULL)
    return FALSE;
  delete_request (queue, queued);
  return TRUE;
}

int64_t
fq_next_expiry_us (const FqQueue *queue)
{
  return queue->heap->len > 0 ? heap_at (queue, 0)->expiry_us : INT64_MAX;
}

uint32_t
fq_request_count (const FqQueue *queue)
{
  return queue->heap->len;
}

uint32_t
fq_customer_request_count (const FqQueue *queue, const char *name)
{
  const Customer *customer = g_hash_table_lookup (queue->customers, name);

  return customer != NULL ? customer->requests.length : 0;
}
