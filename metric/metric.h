/* metric.h - counters, gauges and histograms

   SYNOPSIS
     MtTable *table = mt_table_new ();
     MtCounter *sent = mt_counter (table, "requests_sent_total",
                                   "Requests handed to targets");
     mt_add (sent, 1);
     MtHistogram *wait = mt_histogram (table, "queue_wait_us", "Time queued");
     mt_observe (wait, 250);
     g_autofree char *text = mt_format (table);

   DESCRIPTION
     A table owns its metrics, which live as long as it does.  Names carry
     their unit and may end in labels: name{customer="c1"}.  A histogram has
     32 buckets for each power of two, so a percentile is within 3% of the
     true value, over 1 us to 2^40 us.

   ERRORS
     None.  Asking for a name again returns the same metric.  */

#ifndef MT_METRIC_H
#define MT_METRIC_H

#include <glib.h>
#include <stdint.h>

typedef struct MtTable MtTable;
typedef struct MtCounter MtCounter;
typedef struct MtHistogram MtHistogram;

MtTable *mt_table_new (void);
void mt_table_free (MtTable *table);

MtCounter *mt_counter (MtTable *table, const char *name, const char *help);

/* A gauge is a counter that may be set and may fall.  */
MtCounter *mt_gauge (MtTable *table, const char *name, const char *help);

MtHistogram *mt_histogram (MtTable *table, const char *name, const char *help);

void mt_add (MtCounter *counter, int64_t amount);
void mt_set (MtCounter *gauge, int64_t value);
int64_t mt_value (const MtCounter *counter);

void mt_observe (MtHistogram *histogram, int64_t value);
uint64_t mt_observed_count (const MtHistogram *histogram);

/* Upper bound of the bucket that holds the given share of the values, 0 for an
   empty histogram.  */
int64_t mt_percentile (const MtHistogram *histogram, uint32_t permille);

/* Text exposition: one line a counter or gauge; count, sum and p50, p99, p999
   of each histogram.  Free with g_free.  */
char *mt_format (const MtTable *table);

#endif
