/* An upstream that is full refuses a request.  With the disruption, one of
   two upstreams sends a second copy of some refusals late, where the next
   answer on the connection is due.  */

#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "../rig/rig.h"

#define SLOTS 3
#define QUEUE 3
#define WORK_MS 6
/* Callers of other machines at each upstream.  */
#define OTHERS 8
#define OTHERS_PERIOD_US 37000
#define OTHERS_WORK_MIN_US 1500
#define OTHERS_WORK_MAX_US 4500
#define CLIENTS 6
#define EPISODES 8
/* Length of an episode and share of the answers that are doubled in it, of the
   site's `garble` with `extra late`.  */
#define EPISODE_MS 5000
#define PAUSE_MS 3000
#define DOUBLED_PERCENT 3
#define ORDERS_MAX 200000

typedef struct
{
  char id[RIG_ID_MAX];
  int runs;
  int status;
} Order;

static RigUpstream upstreams[2];
static RigDaemon *front;
static volatile bool is_garbling;
static volatile bool is_over;
static Order *orders;
static int order_count;
static pthread_mutex_t orders_lock = PTHREAD_MUTEX_INITIALIZER;

/* Ids end with the index of their order.  */
static Order *
find_order (const char *id)
{
  return &orders[strtoul (id + 8, NULL, 16) % ORDERS_MAX];
}

static Order *
add_order (void)
{
  Order *order;

  pthread_mutex_lock (&orders_lock);
  order = &orders[order_count];
  snprintf (order->id, sizeof order->id, "0000beef%08x", order_count);
  order_count++;
  pthread_mutex_unlock (&orders_lock);
  return order_count < ORDERS_MAX ? order : NULL;
}

/* Counts an answer; returns whether a second copy of this refusal is to be
   sent.  */
static bool
is_doubled (RigUpstream *upstream)
{
  bool doubled;

  pthread_mutex_lock (&upstream->lock);
  doubled = is_garbling && upstream == &upstreams[0]
            && (upstream->doubled + 1) * 100
                   <= upstream->answers * DOUBLED_PERCENT;
  upstream->doubled += doubled;
  pthread_mutex_unlock (&upstream->lock);
  return doubled;
}

static bool
refuse (RigExchange *exchange, bool doubled)
{
  char *answer = rig_format_answer (exchange, 503,
                                    "X-Comfreywalk-Not-Executed: 1\r\n", "");
  bool sent = rig_send (exchange->fd, answer, strlen (answer));

  rig_record ("upstream %s refuses %s%s", exchange->upstream->id, exchange->id,
              doubled ? ", a second copy comes late" : "");
  if (doubled)
    exchange->late_copy = answer;
  else
    free (answer);
  return sent;
}

/* Returns false if the slots and the queue are full.  */
static bool
take_slot (RigUpstream *upstream)
{
  bool taken;

  pthread_mutex_lock (&upstream->lock);
  taken = upstream->running < SLOTS + QUEUE;
  upstream->running += taken;
  pthread_mutex_unlock (&upstream->lock);
  return taken;
}

static void
leave_slot (RigUpstream *upstream)
{
  pthread_mutex_lock (&upstream->lock);
  upstream->running--;
  pthread_mutex_unlock (&upstream->lock);
}

static bool
run (RigExchange *exchange)
{
  RigUpstream *upstream = exchange->upstream;
  char *answer = rig_format_answer (
      exchange, 200, "X-Comfreywalk-Upstream-Signature: 1.2.3\r\n", "done");
  bool sent;

  rig_record ("upstream %s runs %s", upstream->id, exchange->id);
  pthread_mutex_lock (&orders_lock);
  find_order (exchange->id)->runs++;
  pthread_mutex_unlock (&orders_lock);
  rig_sleep_ms (WORK_MS);
  sent = rig_send (exchange->fd, answer, strlen (answer));
  free (answer);
  return sent;
}

/* A caller of another machine, whose requests the upstream serves like any
   other.  They come at the same time at both upstreams.  */
static void *
serve_others (void *data)
{
  RigUpstream *upstream = data;
  unsigned seed = (unsigned)(uintptr_t)pthread_self ();

  while (!is_over)
    {
      int64_t wait_us = OTHERS_PERIOD_US - rig_now_us () % OTHERS_PERIOD_US;
      int work_us
          = OTHERS_WORK_MIN_US
            + rand_r (&seed) % (OTHERS_WORK_MAX_US - OTHERS_WORK_MIN_US);
      usleep ((useconds_t)wait_us);
      if (!take_slot (upstream))
        continue;
      usleep ((useconds_t)work_us);
      leave_slot (upstream);
    }
  return NULL;
}

static bool
handle (RigExchange *exchange)
{
  RigUpstream *upstream = exchange->upstream;
  bool sent;

  pthread_mutex_lock (&upstream->lock);
  upstream->answers++;
  pthread_mutex_unlock (&upstream->lock);
  if (exchange->late_copy != NULL)
    {
      rig_record ("upstream %s sends a late copy before the answer to %s",
                  upstream->id, exchange->id);
      sent = rig_send (exchange->fd, exchange->late_copy,
                       strlen (exchange->late_copy));
      free (exchange->late_copy);
      exchange->late_copy = NULL;
      if (!sent)
        return false;
    }
  if (!take_slot (upstream))
    return refuse (exchange, is_doubled (upstream));
  sent = run (exchange);
  leave_slot (upstream);
  return sent;
}

static void *
send_orders (void *data)
{
  (void)data;
  while (!is_over)
    {
      Order *order = add_order ();
      RigRequest request = { .method = "POST",
                             .path = "/o/order",
                             .key = "k1",
                             .deadline_ms = 2500,
                             .body_bytes = 300 };
      RigAnswer answer;
      if (order == NULL)
        break;
      request.id = order->id;
      rig_request (front, &request, &answer);
      order->status = answer.status;
      rig_sleep_ms (answer.retry_after_s > 0
                        ? (int64_t)(answer.retry_after_s * 1000)
                        : 5);
    }
  return NULL;
}

static int
judge (void)
{
  int twice = 0;
  int refused = 0;
  int served = 0;

  for (int i = 0; i < order_count; i++)
    {
      const Order *order = &orders[i];
      served += order->status == 200;
      if (order->runs > 1)
        rig_record ("TWICE %s ran %d times, answered %d", order->id,
                    order->runs, order->status);
      if (order->runs > 0 && (order->status == 503 || order->status == 429))
        rig_record ("REFUSED %s ran %d times, answered %d", order->id,
                    order->runs, order->status);
      twice += order->runs > 1;
      refused
          += order->runs > 0 && (order->status == 503 || order->status == 429);
    }
  rig_record ("orders %d served %d, TWICE %d, REFUSED %d", order_count, served,
              twice, refused);
  printf ("orders %d served %d, TWICE %d, REFUSED %d\n", order_count, served,
          twice, refused);
  if (served == 0)
    return RIG_NOT_RUN;
  return twice > 0 || refused > 0 ? RIG_BROKEN : RIG_HELD;
}

int
main (int argc, char **argv)
{
  pthread_t clients[CLIENTS];
  pthread_t others[2 * OTHERS];

  if (argc != 2)
    rig_fail ("usage: case FOLDER");
  orders = calloc (ORDERS_MAX, sizeof *orders);
  rig_start (argv[1]);
  rig_put_config ("unsafe");
  rig_start_upstream (&upstreams[0], "i-a", "baltic-a", handle);
  rig_start_upstream (&upstreams[1], "i-b", "baltic-b", handle);
  front = rig_start_daemon ("baltic-a", "baltic");
  rig_wait_ready (front);
  rig_sleep_ms (3500);
  for (int i = 0; i < 2 * OTHERS; i++)
    pthread_create (&others[i], NULL, serve_others, &upstreams[i % 2]);
  for (int i = 0; i < CLIENTS; i++)
    pthread_create (&clients[i], NULL, send_orders, NULL);
  for (int i = 0; i < EPISODES; i++)
    {
      rig_sleep_ms (PAUSE_MS);
      upstreams[0].answers = 0;
      upstreams[0].doubled = 0;
      is_garbling = rig_has_trouble ();
      rig_sleep_ms (EPISODE_MS);
      is_garbling = false;
    }
  is_over = true;
  for (int i = 0; i < CLIENTS; i++)
    pthread_join (clients[i], NULL);
  for (int i = 0; i < 2 * OTHERS; i++)
    pthread_join (others[i], NULL);
  rig_sleep_ms (500);
  return rig_stop (judge ());
}
