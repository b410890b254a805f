#include "fair/fair.h"

/* Rounds that pass while nobody waits pay every debt.  */
#define IDLE_ROUNDS ((uint64_t)1 << 33)

typedef struct
{
  char *name;
  int64_t weight;
  /* Serves while positive; a request takes it down by the cost.  */
  int64_t credit;
  uint64_t round;  /* of the last visit */
  GQueue requests; /* Entry, by their link */
  GList ring_link;
} Customer;

typedef struct
{
  void *request;
  Customer *customer;
  int64_t pushed_us;
  int64_t expiry_us;
  guint heap_index;
  GList link;
} Entry;

struct FqQueue
{
  uint32_t customer_requests_max;
  int64_t wait_max_us;
  GHashTable *customers; /* name -> Customer */
  GHashTable *entries;   /* request -> Entry */
  GPtrArray *heap;       /* Entry, the earliest expiry first */
  GQueue ring;           /* Customer with waiting requests, by ring_link */
  uint64_t round;
  int64_t cost;          /* largest weight in the ring */
  gboolean head_visited; /* the head of the ring got its credit */
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
  queue->entries = g_hash_table_new_full (NULL, NULL, NULL, g_free);
  queue->heap = g_ptr_array_new ();
  return queue;
}

void
fq_free (FqQueue *queue)
{
  if (queue == NULL)
    return;
  g_ptr_array_unref (queue->heap);
  g_hash_table_unref (queue->entries);
  g_hash_table_unref (queue->customers);
  g_free (queue);
}

static Customer *
customer_of (FqQueue *queue, const char *name)
{
  Customer *customer = g_hash_table_lookup (queue->customers, name);

  if (customer != NULL)
    return customer;
  customer = g_new0 (Customer, 1);
  customer->name = g_strdup (name);
  customer->weight = 1;
  customer->ring_link.data = customer;
  g_queue_init (&customer->requests);
  g_hash_table_insert (queue->customers, customer->name, customer);
  return customer;
}

static void
update_cost (FqQueue *queue)
{
  queue->cost = 0;
  for (const GList *link = queue->ring.head; link != NULL; link = link->next)
    {
      const Customer *customer = link->data;

      queue->cost = MAX (queue->cost, customer->weight);
    }
}

void
fq_set_weight (FqQueue *queue, const char *name, uint32_t weight)
{
  Customer *customer = customer_of (queue, name);

  customer->weight = MAX (weight, 1);
  update_cost (queue);
}

gboolean
fq_forget (FqQueue *queue, const char *name)
{
  Customer *customer = g_hash_table_lookup (queue->customers, name);

  if (customer == NULL)
    return TRUE;
  if (customer->requests.length > 0)
    return FALSE;
  return g_hash_table_remove (queue->customers, name);
}

static const Entry *
heap_at (const FqQueue *queue, guint index)
{
  return g_ptr_array_index (queue->heap, index);
}

static void
heap_set (FqQueue *queue, guint index, Entry *entry)
{
  g_ptr_array_index (queue->heap, index) = entry;
  entry->heap_index = index;
}

/* Moves the entry at INDEX to where its expiry belongs.  */
static void
heap_settle (FqQueue *queue, guint index)
{
  Entry *entry = g_ptr_array_index (queue->heap, index);
  guint child;

  while (index > 0
         && heap_at (queue, (index - 1) / 2)->expiry_us > entry->expiry_us)
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
      if (heap_at (queue, child)->expiry_us >= entry->expiry_us)
        break;
      heap_set (queue, index, g_ptr_array_index (queue->heap, child));
      index = child;
    }
  heap_set (queue, index, entry);
}

static void
heap_remove (FqQueue *queue, const Entry *entry)
{
  guint index = entry->heap_index;
  Entry *last = g_ptr_array_index (queue->heap, queue->heap->len - 1);

  g_ptr_array_set_size (queue->heap, (int)queue->heap->len - 1);
  if (last == entry)
    return;
  heap_set (queue, index, last);
  heap_settle (queue, index);
}

/* What a customer owes is paid by the rounds that passed while it was idle;
   what is left of its credit is lost.  */
static void
enter_ring (FqQueue *queue, Customer *customer)
{
  uint64_t passed = queue->round - customer->round;
  int64_t debt = MAX (-customer->credit, 0);

  if (passed >= (uint64_t)(debt / customer->weight + 1))
    customer->credit = 0;
  else
    customer->credit
        = MIN (customer->credit + (int64_t)passed * customer->weight, 0);
  customer->round = queue->round;
  g_queue_push_tail_link (&queue->ring, &customer->ring_link);
  queue->cost = MAX (queue->cost, customer->weight);
}

static void
leave_ring (FqQueue *queue, Customer *customer)
{
  if (queue->ring.head == &customer->ring_link)
    queue->head_visited = FALSE;
  g_queue_unlink (&queue->ring, &customer->ring_link);
  if (customer->weight == queue->cost)
    update_cost (queue);
  if (queue->ring.length == 0)
    queue->round += IDLE_ROUNDS;
}

gboolean
fq_push (FqQueue *queue, const char *name, void *request, int64_t deadline_us,
         int64_t now_us, GError **error)
{
  Customer *customer;
  Entry *entry;

  if (deadline_us <= now_us)
    {
      g_set_error (error, FQ_ERROR, FQ_ERROR_EXPIRED,
                   "deadline passed %" G_GINT64_FORMAT " us ago",
                   now_us - deadline_us);
      return FALSE;
    }
  if (g_hash_table_contains (queue->entries, request))
    {
      g_set_error (error, FQ_ERROR, FQ_ERROR_DUPLICATE,
                   "request of customer %s is queued already", name);
      return FALSE;
    }
  customer = customer_of (queue, name);
  if (customer->requests.length >= queue->customer_requests_max)
    {
      g_set_error (error, FQ_ERROR, FQ_ERROR_FULL,
                   "customer %s has %u requests waiting", name,
                   customer->requests.length);
      return FALSE;
    }
  entry = g_new0 (Entry, 1);
  entry->request = request;
  entry->customer = customer;
  entry->pushed_us = now_us;
  entry->expiry_us = MIN (deadline_us, now_us + queue->wait_max_us);
  entry->link.data = entry;
  g_hash_table_insert (queue->entries, request, entry);
  if (customer->requests.length == 0)
    enter_ring (queue, customer);
  g_queue_push_tail_link (&customer->requests, &entry->link);
  g_ptr_array_add (queue->heap, entry);
  heap_settle (queue, queue->heap->len - 1);
  return TRUE;
}

static void
drop (FqQueue *queue, Entry *entry)
{
  Customer *customer = entry->customer;

  heap_remove (queue, entry);
  g_queue_unlink (&customer->requests, &entry->link);
  if (customer->requests.length == 0)
    leave_ring (queue, customer);
  g_hash_table_remove (queue->entries, entry->request);
}

static void
take_out (FqQueue *queue, Entry *entry, int64_t now_us, FqItem *item)
{
  *item = (FqItem){ .request = entry->request,
                    .customer = entry->customer->name,
                    .waited_us = now_us - entry->pushed_us,
                    .expired = entry->expiry_us <= now_us };
  drop (queue, entry);
}

gboolean
fq_pop_expired (FqQueue *queue, int64_t now_us, FqItem *item)
{
  Entry *first;

  if (queue->heap->len == 0)
    return FALSE;
  first = g_ptr_array_index (queue->heap, 0);
  if (first->expiry_us > now_us)
    return FALSE;
  take_out (queue, first, now_us, item);
  return TRUE;
}

/* Gives the head of the ring the credit of one round.  */
static void
visit_head (FqQueue *queue)
{
  Customer *customer = queue->ring.head->data;

  if (customer->round == queue->round)
    queue->round++;
  customer->round = queue->round;
  customer->credit += customer->weight;
  queue->head_visited = TRUE;
}

static void
rotate (FqQueue *queue)
{
  g_queue_push_tail_link (&queue->ring, g_queue_pop_head_link (&queue->ring));
  queue->head_visited = FALSE;
}

/* Passes the rounds in which no customer can be served in one go.  Weights may
   differ by a factor of billions.  */
static void
skip_rounds (FqQueue *queue)
{
  int64_t skip = INT64_MAX;

  for (const GList *link = queue->ring.head; link != NULL; link = link->next)
    {
      const Customer *customer = link->data;

      skip = MIN (skip, -customer->credit / customer->weight);
    }
  for (const GList *link = queue->ring.head; link != NULL; link = link->next)
    {
      Customer *customer = link->data;

      customer->credit += skip * customer->weight;
      customer->round += (uint64_t)skip;
    }
  queue->round += (uint64_t)skip;
}

/* Makes the next customer to be served the head of the ring.  */
static Customer *
next_customer (FqQueue *queue)
{
  guint passed = 0;

  for (;;)
    {
      Customer *customer = queue->ring.head->data;

      if (!queue->head_visited)
        visit_head (queue);
      if (customer->credit > 0)
        return customer;
      rotate (queue);
      if (++passed == queue->ring.length)
        skip_rounds (queue);
    }
}

gboolean
fq_pop (FqQueue *queue, int64_t now_us, FqItem *item)
{
  Customer *customer;

  if (fq_pop_expired (queue, now_us, item))
    return TRUE;
  if (queue->ring.length == 0)
    return FALSE;
  customer = next_customer (queue);
  customer->credit -= queue->cost;
  take_out (queue, customer->requests.head->data, now_us, item);
  return TRUE;
}

gboolean
fq_remove (FqQueue *queue, const void *request)
{
  Entry *entry = g_hash_table_lookup (queue->entries, request);

  if (entry == NULL)
    return FALSE;
  drop (queue, entry);
  return TRUE;
}

int64_t
fq_next_expiry_us (const FqQueue *queue)
{
  return queue->heap->len > 0 ? heap_at (queue, 0)->expiry_us : INT64_MAX;
}

uint32_t
fq_count (const FqQueue *queue)
{
  return queue->heap->len;
}

uint32_t
fq_customer_count (const FqQueue *queue, const char *name)
{
  const Customer *customer = g_hash_table_lookup (queue->customers, name);

  return customer != NULL ? customer->requests.length : 0;
}
