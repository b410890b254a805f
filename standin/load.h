/* load.h - open-loop callers

   SYNOPSIS
     load-gen --vm 127.0.0.1:8001 --vm 127.0.0.1:8002 --duration-ms 5000
       --customer name=c1,key=K,rate=40,orders=200
       --read-path /boards/a --order-path /boards/order

   DESCRIPTION
     All arrivals are fixed before the first request is sent, from the seed,
     and a latency counts from the time that the arrival was planned for.  So
     a daemon that stalls does not slow its callers down and hide the wait.

     A customer is described by NAME=VALUE pairs:

       name, key          customer and the key that it presents
       rate               requests a second, Poisson arrivals
       orders             permille of orders (POST with Idempotency-Key)
       fresh              permille of requests on a connection of their own
       pin, pin_from_ms   number of the VM that gets all its requests
       factor, from_ms, to_ms   a time in which the rate is multiplied
       path               its path for reads in place of read_path

     Without pin each request goes to a VM drawn by the seed.  A request that
     got no answer, and an order with unknown outcome, is repeated at the next
     VM, an order with the same Idempotency-Key.  Look-ups are requests of a
     customer named "lookup", without key.

     The summary is JSON.  The trace has one line a request:
     TAG CUSTOMER KIND SENT_US DONE_US STATUS OUTCOME IDEMPOTENCY-KEY, with
     monotonic times that compare with those of standin-target.  OUTCOME is
     answered, refused (surely not run), unknown or wrong (an answer that is
     cut or not its own).  */

#ifndef SI_LOAD_H
#define SI_LOAD_H

#include <glib.h>
#include <stdint.h>

#include "metric/metric.h"

typedef enum
{
  SI_LOAD_READ,
  SI_LOAD_ORDER,
  SI_LOAD_LOOKUP,
} SiLoadKind;

typedef enum
{
  SI_LOAD_PENDING,
  SI_LOAD_ANSWERED,
  SI_LOAD_REFUSED,
  SI_LOAD_UNKNOWN,
  SI_LOAD_WRONG,
  SI_LOAD_OUTCOMES,
} SiLoadOutcome;

typedef struct
{
  char *name;
  char *key;
  char *path;
  double rate_per_s;
  double factor;
  int64_t factor_from_ms;
  int64_t factor_to_ms;
  uint32_t order_permille;
  uint32_t fresh_permille;
  int32_t pin; /* -1: any VM */
  int64_t pin_from_ms;
  uint64_t counts[SI_LOAD_OUTCOMES];
  uint64_t rate_refused_count; /* status 429 */
  MtHistogram *latency;        /* answered, in us */
} SiLoadCustomer;

typedef struct
{
  int64_t at_us; /* after the start */
  SiLoadCustomer *customer;
  SiLoadKind kind;
  uint32_t vm;
  uint32_t number;
  gboolean fresh;
} SiArrival;

typedef struct
{
  GPtrArray *vms; /* char *, ip:port */
  GPtrArray *customers;
  const char *read_path;
  const char *order_path;
  const char *lookup_service;
  uint32_t seed;
  uint32_t duration_ms;
  uint32_t timeout_ms;
  uint32_t deadline_ms;  /* X-Deadline-Ms; 0: not sent */
  uint32_t answer_bytes; /* 0: the target's default */
  uint32_t work_ms;      /* 0: the target's default */
} SiLoadOptions;

typedef struct
{
  const SiLoadOptions *options;
  MtRegistry *metrics;
  GHashTable *statuses; /* status or error -> count */
  uint64_t repeat_count;
  uint64_t replayed_count;
  GString *trace;
} SiLoadResult;

/* One "--customer" argument; adds it to CUSTOMERS.  */
gboolean si_load_add_customer (GPtrArray *customers, const char *text,
                               MtRegistry *metrics, GError **error);
void si_load_customer_free (void *customer);

/* All arrivals in order of time.  */
GArray *si_load_plan (const SiLoadOptions *options);

/* Runs the plan to its end and fills RESULT.  */
void si_load_run (const SiLoadOptions *options, SiLoadResult *result);
char *si_load_summary (const SiLoadResult *result);

const char *si_load_outcome_name (SiLoadOutcome outcome);

#endif
