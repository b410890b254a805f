/* load.h - open-loop load generator

   SYNOPSIS
     load-gen --vm 127.0.0.1:8001 --vm 127.0.0.1:8002 --duration-ms 5000
       --customer name=c1,key=K,rate=40,orders=200
       --read-path /boards/a --order-path /boards/order

   DESCRIPTION
     All requests are planned from the seed before the first one is sent, and
     latency is measured from the planned time.  Thus a stalled daemon neither
     slows the load down nor hides the time that requests waited.

     A customer is given as NAME=VALUE pairs:

       name, key          customer name and the API key that it sends
       rate               requests a second, planned as a Poisson process
       orders             permille of requests that are orders: keyed requests,
                          POST with an Idempotency-Key
       fresh              permille of requests on a new connection
       pin, pin_from_ms   index of the VM that gets all its requests, and the
                          time from which on it does
       factor, from_ms, to_ms   multiplies the rate by `factor` in this time
       path               path of its reads in place of --read-path

     Without `pin` each request goes to a VM drawn with the seed.  A request
     that got no response, status 409 or a status from 500 up is retried at the
     next VM, an order with the same Idempotency-Key.  Requests of the customer
     named "lookup" are lookups, which need no key; the others are reads (GET)
     and orders.

     The summary is JSON.  The trace has one line for each request:
     TAG CUSTOMER KIND SENT_US DONE_US STATUS OUTCOME IDEMPOTENCY-KEY.  Its
     times are of the monotonic clock, as those that standin-target records.
     OUTCOME is answered, refused (certainly not executed), unknown, or wrong
     (a response that is truncated or meant for another request).  */

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
  SI_LOAD_REFUSED, /* certainly not executed */
  SI_LOAD_UNKNOWN, /* may have been executed */
  SI_LOAD_WRONG,   /* truncated response, or that of another request */
  SI_LOAD_OUTCOME_COUNT,
} SiLoadOutcome;

typedef struct
{
  char *name;
  char *key;
  char *read_path; /* NULL: that of the options */
  double rate_per_s;
  double factor; /* of the rate, from factor_from_ms to factor_to_ms */
  int64_t factor_from_ms;
  int64_t factor_to_ms;
  uint32_t order_permille;
  uint32_t new_connection_permille;
  int32_t pinned_vm; /* index; -1: any VM */
  int64_t pinned_from_ms;
  uint64_t counts[SI_LOAD_OUTCOME_COUNT];
  uint64_t rate_refused_count; /* status 429 */
  MtHistogram *latency;        /* of answered requests, in us */
} SiLoadCustomer;

typedef struct
{
  int64_t offset_us; /* after the start */
  SiLoadCustomer *customer;
  SiLoadKind kind;
  uint32_t vm;     /* index */
  uint32_t number; /* place in the plan, part of the tag */
  gboolean new_connection;
} SiPlannedRequest;

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
  uint32_t deadline_ms;    /* X-Deadline-Ms; 0: not sent */
  uint32_t response_bytes; /* 0: the target's default */
  uint32_t work_ms;        /* 0: the target's default */
} SiLoadOptions;

typedef struct
{
  const SiLoadOptions *options;
  MtRegistry *metrics;
  GHashTable *refusal_counts; /* status and error, or "no connection" or
                                 "no answer" -> count */
  uint64_t retry_count;
  uint64_t replayed_count;
  /* Planned requests that had no outcome when the run ended, or were not sent.
     Those that were sent have the outcome unknown, or refused if no attempt
     may have been executed.  */
  uint64_t unfinished_count;
  GString *trace; /* or NULL */
} SiLoadResult;

/* Adds the customer that TEXT, an argument of --customer, describes to
   CUSTOMERS.  Returns FALSE with SI_ERROR_OPTION for an invalid TEXT.  */
gboolean si_load_add_customer (GPtrArray *customers, const char *text,
                               MtRegistry *metrics, GError **error);
void si_load_customer_free (void *customer);

/* Returns an array of SiPlannedRequest in order of time.  Free with
   g_array_unref.  */
GArray *si_load_plan (const SiLoadOptions *options);

/* Sends all planned requests, waits for their outcomes, up to a limit, and
   fills RESULT.  */
void si_load_run (const SiLoadOptions *options, SiLoadResult *result);
/* Returns the JSON summary.  Free with g_free.  */
char *si_load_summary (const SiLoadResult *result);

const char *si_load_outcome_name (SiLoadOutcome outcome);

#endif
