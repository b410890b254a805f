/* metric.h - counters, gauges and histograms

   SYNOPSIS
     MtRegistry *registry = mt_registry_new ();
     MtCounter *sent = mt_counter (registry, "requests_sent_total",
                                   "Requests sent to targets");
     mt_add (sent, 1);
     MtHistogram *wait = mt_histogram (registry, "queue_wait_us",
                                       "Time queued");
     mt_observe (wait, 250);
     g_autofree char *text = mt_format (registry);

   DESCRIPTION
     A registry owns its metrics, which are valid until it is freed.  Names
     include the unit; names of counters and gauges may end in labels:
     name{customer="c1"}.  A histogram has 32 buckets for each power of two,
     so a percentile is within 3% of the true value for values from 1 to 2^40
     (in us, 12 days).  Values above count in the last bucket, negative ones in
     the bucket of 0.

   ERRORS
     None.  Registering a name again returns the existing metric, with its
     first help text.  */

#ifndef MT_METRIC_H
#define MT_METRIC_H

#include <glib.h>
#include <stdint.h>

typedef struct MtRegistry MtRegistry;
typedef struct MtCounter MtCounter;
typedef struct MtHistogram MtHistogram;

MtRegistry *mt_registry_new (void);
void mt_registry_free (MtRegistry *registry);

MtCounter *mt_counter (MtRegistry *registry, const char *name,
                       const char *help);

/* A gauge is a counter that can be set and can decrease.  */
MtCounter *mt_gauge (MtRegistry *registry, const char *name, const char *help);

MtHistogram *mt_histogram (MtRegistry *registry, const char *name,
                           const char *help);

void mt_add (MtCounter *counter, int64_t amount);
void mt_set (MtCounter *gauge, int64_t value);
int64_t mt_value (const MtCounter *counter);

void mt_observe (MtHistogram *histogram, int64_t value);
uint64_t mt_observed_count (const MtHistogram *histogram);

/* Upper bound of the bucket that contains a percentile, given in permille: 990
   for p99.  Returns 0 for an empty histogram.  */
int64_t mt_percentile (const MtHistogram *histogram, uint32_t permille);

/* Formats the metrics as Prometheus text: the value of each counter and gauge;
   count, sum and p50, p99 and p999 of each histogram, as a summary.  Free with
   g_free.  */
char *mt_format (const MtRegistry *registry);

#endif
