#include "entry/pool.h"

#include <event2/event.h>

#include "clock/clock.h"

/* Requests a second of each daemon's share below which a customer is pooled: a
   bucket of as many tokens refuses few of those that arrive at random.  */
#define DIVIDED_PER_S 8
/* Part of a larger rate that is divided.  Daemons hear of each other's demand
   up to two seconds late; while it moves their shares overlap by up to 1.3%
   more than the bounds allow (tammemets-boards, hot-tenant seed
   435362068190).  */
#define DIVIDED_PART 0.96
/* Part of the rate that is set aside for daemons that get no answer.  */
#define FALLBACK_PART 0.1
/* A round trip within a region, and a loaded machine's delay.  */
#define ANSWER_TIMEOUT_US 30000

struct EnPool
{
  EnPoolOptions options;
  uint32_t daemon_count;
  GHashTable *names; /* customer id to name */
  GHashTable *asks;  /* number to EnAsk */
  uint64_t next_ask;
};

struct EnAsk
{
  EnPool *pool;
  uint64_t number;
  const char *customer;
  struct event *timer;
  EnPoolAnswer on_answer;
  void *data;
};

static void
free_ask (gpointer data)
{
  EnAsk *ask = data;

  event_free (ask->timer);
  g_free (ask);
}

EnPool *
en_pool_new (const EnPoolOptions *options)
{
  EnPool *pool = g_new0 (EnPool, 1);

  pool->options = *options;
  pool->daemon_count = 1;
  pool->names = g_hash_table_new_full (NULL, NULL, NULL, g_free);
  pool->asks
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, free_ask);
  return pool;
}

void
en_pool_free (EnPool *pool)
{
  if (pool == NULL)
    return;
  g_hash_table_unref (pool->asks);
  g_hash_table_unref (pool->names);
  g_free (pool);
}

void
en_pool_set_count (EnPool *pool, uint32_t daemon_count)
{
  pool->daemon_count = MAX (1, daemon_count);
}

void
en_pool_set_customers (EnPool *pool, const char *const *names)
{
  g_hash_table_remove_all (pool->names);
  for (; *names != NULL; names++)
    g_hash_table_insert (pool->names,
                         GUINT_TO_POINTER (fl_customer_id (*names)),
                         g_strdup (*names));
}

/* A daemon that has just started knows too few others to find the owner.  */
static gboolean
is_pooled (const EnPool *pool, const char *customer, int64_t now_us)
{
  double rate_per_s = lm_rate (pool->options.limits, customer);

  return rate_per_s > 0 && pool->daemon_count > 1
         && rate_per_s < (double)DIVIDED_PER_S * pool->daemon_count
         && now_us - pool->options.started_us >= FL_SETTLE_US;
}

double
en_pool_share (const EnPool *pool, const char *customer, int64_t now_us)
{
  const EnPoolOptions *options = &pool->options;
  uint32_t id = fl_customer_id (customer);
  double rate_per_s = lm_rate (options->limits, customer);
  double own = lm_demand (options->limits, customer, now_us);
  double all = own + fl_demand (options->fleet, id, now_us);
  double fallback = FALLBACK_PART / pool->daemon_count;

  if (!is_pooled (pool, customer, now_us))
    return DIVIDED_PART * lm_share (own, all, pool->daemon_count, rate_per_s);
  if (fl_owner (options->fleet, id, now_us) != NULL)
    return fallback;
  own += fl_demand_in_region (options->fleet, id, now_us);
  return fallback
         + (1 - FALLBACK_PART)
               * lm_share (own, all, fl_count_regions (options->fleet, now_us),
                           rate_per_s);
}

static EnPoolVerdict
take_own (EnPool *pool, const char *customer, int64_t now_us, EnTake *take)
{
  take->is_own = TRUE;
  return lm_take (pool->options.limits, customer, now_us, &take->wait_us)
             ? EN_POOL_ADMITTED
             : EN_POOL_REFUSED;
}

static void
finish (EnAsk *ask, EnPoolVerdict verdict, const EnTake *take)
{
  EnPoolAnswer on_answer = ask->on_answer;
  void *data = ask->data;

  en_pool_cancel (ask);
  on_answer (verdict, take, data);
}

static void
on_timeout (evutil_socket_t fd, short what, void *data)
{
  EnAsk *ask = data;
  EnTake take = { 0 };

  (void)fd;
  (void)what;
  finish (ask, take_own (ask->pool, ask->customer, ck_boot_us (), &take),
          &take);
}

static EnAsk *
send_ask (EnPool *pool, const char *owner, const char *customer)
{
  struct timeval timeout = { 0, ANSWER_TIMEOUT_US };
  EnAsk *ask = g_new0 (EnAsk, 1);
  GoAsk message = { .gossip_address = pool->options.gossip_address,
                    .number = ++pool->next_ask,
                    .customer_id = fl_customer_id (customer) };

  ask->pool = pool;
  ask->number = message.number;
  ask->customer = customer;
  ask->timer = event_new (pool->options.base, -1, 0, on_timeout, ask);
  event_add (ask->timer, &timeout);
  g_hash_table_insert (pool->asks, &ask->number, ask);
  go_send_ask (pool->options.gossip, owner, &message);
  return ask;
}

EnPoolVerdict
en_pool_take (EnPool *pool, const char *customer, EnPoolAnswer on_answer,
              void *data, EnTake *take)
{
  int64_t now_us = ck_boot_us ();
  const char *owner;

  *take = (EnTake){ 0 };
  lm_note_demand (pool->options.limits, customer, now_us);
  if (!is_pooled (pool, customer, now_us))
    return take_own (pool, customer, now_us, take);
  owner = fl_owner (pool->options.fleet, fl_customer_id (customer), now_us);
  if (owner == NULL)
    return take_own (pool, customer, now_us, take);
  take->ask = send_ask (pool, owner, customer);
  take->ask->on_answer = on_answer;
  take->ask->data = data;
  return EN_POOL_ASKED;
}

void
en_pool_cancel (EnAsk *ask)
{
  g_hash_table_remove (ask->pool->asks, &ask->number);
}

/* A customer that is not known here gets nothing: this daemon may not have
   read its configuration.  */
void
en_pool_on_ask (EnPool *pool, const GoAsk *ask)
{
  const char *customer
      = g_hash_table_lookup (pool->names, GUINT_TO_POINTER (ask->customer_id));
  GoAnswer answer = { .number = ask->number };
  int64_t wait_us = 0;

  answer.granted
      = customer != NULL
        && lm_take (pool->options.limits, customer, ck_boot_us (), &wait_us);
  answer.wait_ms = (uint32_t)(wait_us / CK_US_PER_MS);
  go_send_answer (pool->options.gossip, ask->gossip_address, &answer);
}

void
en_pool_on_answer (EnPool *pool, const GoAnswer *answer)
{
  EnAsk *ask = g_hash_table_lookup (pool->asks, &answer->number);
  EnTake take = { .wait_us = (int64_t)answer->wait_ms * CK_US_PER_MS };

  if (ask != NULL)
    finish (ask, answer->granted ? EN_POOL_ADMITTED : EN_POOL_REFUSED, &take);
}
