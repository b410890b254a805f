#include "entry/pool.h"

#include "clock/clock.h"
#include "entry/timer.h"

/* A customer is pooled if its rate, divided by the number of daemons, is
   lower: a bucket of this many tokens refuses few of the requests that arrive
   at random.  */
#define POOLED_BELOW_PER_S 8
/* Fraction of the rate of a customer that is not pooled, which is split among
   the daemons.  Daemons learn each other's demand up to two seconds late;
   while it changes, their shares add up to as much as 1.3% more than the
   limits allow (test run tammemets-boards, hot-tenant, seed 435362068190).  */
#define SPLIT_FRACTION 0.96
/* Fraction of a pooled rate that is reserved for daemons that get no token
   reply.  */
#define FALLBACK_FRACTION 0.05
/* Age, in report intervals, of the own demand from which a share is computed:
   the other daemons learn of a change an interval later.  */
#define OWN_DEMAND_INTERVALS 1
/* The same for the demand of the others, which is a report old already.  */
#define OTHERS_DEMAND_INTERVALS 0
/* The token owner may reply again before this daemon's own small bucket has a
   token.  */
#define FALLBACK_WAIT_MAX_US 500000
/* Covers a round trip within a region behind a large response on the link of
   either VM: 90 KB take 72 ms at 10 Mbit/s.  With 30 ms, every fifth token
   request of such a fleet was taken as unanswered, and the request refused. */
#define REPLY_TIMEOUT_US 200000
/* Covers a round trip between regions.  */
#define TARGET_REPLY_TIMEOUT_US 60000
/* Shortest time without requests to a target that had no token.  Token owners
   of an earlier version reply with 0.  */
#define TARGET_PAUSE_MIN_US 20000
/* The same after no reply; in 4 s the owner counts as lost.  */
#define TARGET_SILENCE_PAUSE_US 500000

struct EnPool
{
  EnPoolOptions options;
  uint32_t daemon_count;
  double idle_share; /* of this daemon, see lm_compute_share */
  gboolean members_known;
  GHashTable *customer_names; /* customer id to name */
  GHashTable *requests;       /* pending: number to EnTokenRequest */
  LmTable *target_limits;     /* by target_key; of targets that this daemon is
                                 or was the token owner of */
  uint64_t last_number;
};

struct EnTokenRequest
{
  EnPool *pool;
  uint64_t number;
  const char *customer; /* NULL: for a target */
  EnTimer *timer;
  EnPoolCallback on_result;
  void *data;
};

static void
free_request (gpointer data)
{
  EnTokenRequest *request = data;

  en_timer_free (request->timer);
  g_free (request);
}

EnPool *
en_pool_new (const EnPoolOptions *options)
{
  EnPool *pool = g_new0 (EnPool, 1);

  pool->options = *options;
  pool->daemon_count = 1;
  pool->idle_share = 1;
  pool->target_limits = lm_new ();
  pool->customer_names = g_hash_table_new_full (NULL, NULL, NULL, g_free);
  pool->requests = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL,
                                          free_request);
  return pool;
}

void
en_pool_free (EnPool *pool)
{
  if (pool == NULL)
    return;
  g_hash_table_unref (pool->requests);
  g_hash_table_unref (pool->customer_names);
  lm_free (pool->target_limits);
  g_free (pool);
}

void
en_pool_set_daemon_count (EnPool *pool, uint32_t daemon_count,
                          double idle_share)
{
  pool->daemon_count = MAX (1, daemon_count);
  pool->idle_share = idle_share;
}

void
en_pool_set_customers (EnPool *pool, const char *const *customer_names)
{
  g_hash_table_remove_all (pool->customer_names);
  for (; *customer_names != NULL; customer_names++)
    g_hash_table_insert (pool->customer_names,
                         GUINT_TO_POINTER (fl_customer_id (*customer_names)),
                         g_strdup (*customer_names));
}

void
en_pool_set_members_known (EnPool *pool)
{
  pool->members_known = TRUE;
}

/* Whether one daemon of each region keeps the customer's tokens.  */
static gboolean
is_pooled (const EnPool *pool, const char *customer)
{
  double rate_per_s = lm_rate (pool->options.limits, customer);

  return rate_per_s > 0 && pool->members_known && pool->daemon_count > 1
         && rate_per_s < (double)POOLED_BELOW_PER_S * pool->daemon_count;
}

static double
demand_of (const EnPool *pool, const char *customer, LmScope scope,
           int64_t now_us)
{
  const EnPoolOptions *options = &pool->options;
  uint32_t id = fl_customer_id (customer);
  double per_s = lm_demand (options->limits, customer, now_us);

  switch (scope)
    {
    case LM_SCOPE_REGION:
      return per_s + fl_demand_in_region (options->fleet, id, now_us);
    case LM_SCOPE_ALL:
      return per_s + fl_demand (options->fleet, id, now_us);
    default:
      return per_s;
    }
}

void
en_pool_note_demand (EnPool *pool, const char *customer, int64_t now_us)
{
  for (LmScope scope = 0; scope < LM_SCOPE_COUNT; scope++)
    lm_note_demand (pool->options.limits, customer, scope,
                    demand_of (pool, customer, scope, now_us));
}

/* Share of this daemon or region; IDLE_SHARE is its share without demand. Both
   demands are as old as those of which the others compute their shares.  */
static double
compute_share (const EnPool *pool, const char *customer, LmScope scope,
               double idle_share)
{
  LmTable *limits = pool->options.limits;
  double own_per_s
      = lm_noted_demand (limits, customer, scope, OWN_DEMAND_INTERVALS);
  double others_per_s
      = lm_noted_demand (limits, customer, LM_SCOPE_ALL,
                         OTHERS_DEMAND_INTERVALS)
        - lm_noted_demand (limits, customer, scope, OTHERS_DEMAND_INTERVALS);

  return lm_compute_share (own_per_s, own_per_s + MAX (0.0, others_per_s),
                           idle_share, lm_rate (limits, customer));
}

double
en_pool_share (const EnPool *pool, const char *customer, int64_t now_us)
{
  const EnPoolOptions *options = &pool->options;
  double fallback_share = FALLBACK_FRACTION / pool->daemon_count;

  if (!is_pooled (pool, customer))
    return SPLIT_FRACTION
           * compute_share (pool, customer, LM_SCOPE_DAEMON, pool->idle_share);
  if (fl_token_owner (options->fleet, fl_customer_id (customer), now_us)
      != NULL)
    return fallback_share;
  /* This daemon is the token owner: its bucket serves the whole region.  */
  return fallback_share
         + (1 - FALLBACK_FRACTION)
               * compute_share (
                   pool, customer, LM_SCOPE_REGION,
                   1.0 / MAX (1, fl_count_regions (options->fleet, now_us)));
}

static EnPoolVerdict
take_local_token (EnPool *pool, const char *customer, int64_t now_us,
                  EnTokenResult *result)
{
  result->is_local = TRUE;
  return lm_take_token (pool->options.limits, customer, now_us,
                        &result->wait_us)
             ? EN_POOL_ADMITTED
             : EN_POOL_REFUSED;
}

static void
finish_request (EnTokenRequest *request, EnPoolVerdict verdict,
                const EnTokenResult *result)
{
  EnPoolCallback on_result = request->on_result;
  void *data = request->data;

  en_pool_cancel (request);
  on_result (verdict, result, data);
}

static void
on_reply_timeout (void *data)
{
  EnTokenRequest *request = data;
  EnTokenResult result = { 0 };
  EnPoolVerdict verdict = take_local_token (request->pool, request->customer,
                                            ck_boot_us (), &result);

  result.wait_us = MIN (result.wait_us, FALLBACK_WAIT_MAX_US);
  finish_request (request, verdict, &result);
}

static void
on_target_reply_timeout (void *data)
{
  EnTokenResult result = { .wait_us = TARGET_SILENCE_PAUSE_US };

  finish_request (data, EN_POOL_REFUSED, &result);
}

/* Sends MESSAGE and sets its number.  */
static EnTokenRequest *
send_request (EnPool *pool, const char *owner, GoTokenRequest *message,
              void (*on_timeout) (void *data), int64_t timeout_us)
{
  EnTokenRequest *request = g_new0 (EnTokenRequest, 1);

  message->gossip_address = pool->options.gossip_address;
  message->number = ++pool->last_number;
  request->pool = pool;
  request->number = message->number;
  request->timer = en_timer_new (pool->options.base, on_timeout, request);
  en_timer_start (request->timer, ck_boot_us () + timeout_us);
  g_hash_table_insert (pool->requests, &request->number, request);
  go_send_token_request (pool->options.gossip, owner, message);
  return request;
}

EnPoolVerdict
en_pool_take_token (EnPool *pool, const char *customer,
                    EnPoolCallback on_result, void *data,
                    EnTokenResult *result)
{
  int64_t now_us = ck_boot_us ();
  GoTokenRequest message = { .customer_id = fl_customer_id (customer) };
  const char *owner;

  *result = (EnTokenResult){ 0 };
  lm_record_request (pool->options.limits, customer, now_us);
  if (!is_pooled (pool, customer))
    return take_local_token (pool, customer, now_us, result);
  owner = fl_token_owner (pool->options.fleet, fl_customer_id (customer),
                          now_us);
  if (owner == NULL)
    return take_local_token (pool, customer, now_us, result);
  result->token_request = send_request (pool, owner, &message,
                                        on_reply_timeout, REPLY_TIMEOUT_US);
  result->token_request->customer = customer;
  result->token_request->on_result = on_result;
  result->token_request->data = data;
  return EN_POOL_PENDING;
}

EnPoolVerdict
en_pool_peek_token (const EnPool *pool, const char *customer,
                    EnTokenResult *result)
{
  int64_t now_us = ck_boot_us ();

  *result = (EnTokenResult){ 0 };
  if (is_pooled (pool, customer)
      && fl_token_owner (pool->options.fleet, fl_customer_id (customer),
                         now_us)
             != NULL)
    return EN_POOL_PENDING;
  result->is_local = TRUE;
  return lm_peek_token (pool->options.limits, customer, now_us,
                        &result->wait_us)
             ? EN_POOL_ADMITTED
             : EN_POOL_REFUSED;
}

static gboolean
take_own_target_token (EnPool *pool, uint64_t id_hash, double limit_per_s,
                       int64_t now_us, int64_t *wait_us)
{
  char key[24];

  g_snprintf (key, sizeof key, "%016" G_GINT64_MODIFIER "x", id_hash);
  if (lm_take_shared_token (pool->target_limits, key, limit_per_s, now_us,
                            wait_us))
    return TRUE;
  *wait_us = MAX (TARGET_PAUSE_MIN_US, *wait_us);
  return FALSE;
}

EnPoolVerdict
en_pool_take_target_token (EnPool *pool, const EnLimitedTarget *target,
                           EnPoolCallback on_result, void *data,
                           EnTokenResult *result)
{
  int64_t now_us = ck_boot_us ();
  GoTokenRequest message = { .target_hash = target->id_hash,
                             .target_limit_per_s = target->limit_per_s };
  const char *owner = fl_target_token_owner (
      pool->options.fleet, target->id_hash, target->region, now_us);

  *result = (EnTokenResult){ .is_local = owner == NULL };
  if (owner == NULL)
    return take_own_target_token (pool, target->id_hash, target->limit_per_s,
                                  now_us, &result->wait_us)
               ? EN_POOL_ADMITTED
               : EN_POOL_REFUSED;
  result->token_request = send_request (
      pool, owner, &message, on_target_reply_timeout, TARGET_REPLY_TIMEOUT_US);
  result->token_request->on_result = on_result;
  result->token_request->data = data;
  return EN_POOL_PENDING;
}

void
en_pool_sweep_targets (EnPool *pool)
{
  lm_sweep (pool->target_limits);
}

void
en_pool_cancel (EnTokenRequest *request)
{
  g_hash_table_remove (request->pool->requests, &request->number);
}

/* No token is granted for an unknown customer: this daemon may not have read
   the configuration that adds it.  */
static gboolean
take_requested_token (EnPool *pool, const GoTokenRequest *request,
                      int64_t *wait_us)
{
  int64_t now_us = ck_boot_us ();
  const char *customer;

  if (request->target_hash != 0)
    return request->target_limit_per_s > 0
           && take_own_target_token (pool, request->target_hash,
                                     request->target_limit_per_s, now_us,
                                     wait_us);
  customer = g_hash_table_lookup (pool->customer_names,
                                  GUINT_TO_POINTER (request->customer_id));
  return customer != NULL
         && lm_take_token (pool->options.limits, customer, now_us, wait_us);
}

void
en_pool_on_token_request (EnPool *pool, const GoTokenRequest *request)
{
  GoTokenReply reply = { .number = request->number };
  int64_t wait_us = 0;

  reply.granted = take_requested_token (pool, request, &wait_us);
  reply.wait_ms = (uint32_t)(wait_us / CK_US_PER_MS);
  go_send_token_reply (pool->options.gossip, request->gossip_address, &reply);
}

void
en_pool_on_token_reply (EnPool *pool, const GoTokenReply *reply)
{
  EnTokenRequest *request
      = g_hash_table_lookup (pool->requests, &reply->number);
  EnTokenResult result = { .wait_us = (int64_t)reply->wait_ms * CK_US_PER_MS };

  if (request != NULL && request->customer == NULL)
    result.wait_us = MAX (TARGET_PAUSE_MIN_US, result.wait_us);
  if (request != NULL)
    finish_request (
        request, reply->granted ? EN_POOL_ADMITTED : EN_POOL_REFUSED, &result);
}
