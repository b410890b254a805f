#include <gtest/gtest.h>

#include <cstring>

extern "C"
{
#include "metric/metric.h"
}

namespace
{

/* Guards against percentiles that are off by more than the promised 3%.  */
TEST (Metric, PercentileIsWithinThreePercent)
{
  MtTable *table = mt_table_new ();
  MtHistogram *histogram = mt_histogram (table, "wait_us", "Wait");

  for (int64_t value = 1; value <= 100000; value++)
    mt_observe (histogram, value);
  EXPECT_NEAR (50000, mt_percentile (histogram, 500), 1500);
  EXPECT_NEAR (99000, mt_percentile (histogram, 990), 2970);
  mt_table_free (table);
}

/* Guards against values outside the range indexing past the buckets.  */
TEST (Metric, ExtremeValuesAreClamped)
{
  MtTable *table = mt_table_new ();
  MtHistogram *histogram = mt_histogram (table, "wait_us", "Wait");

  mt_observe (histogram, -5);
  mt_observe (histogram, INT64_MAX / 4);
  EXPECT_EQ (0, mt_percentile (histogram, 500));
  EXPECT_EQ (2u, mt_observed_count (histogram));
  mt_table_free (table);
}

/* Guards against a metric that is counted twice under one name.  */
TEST (Metric, SameNameIsSameCounter)
{
  MtTable *table = mt_table_new ();

  mt_add (mt_counter (table, "a_total", "A"), 1);
  mt_add (mt_counter (table, "a_total", "A"), 2);
  char *text = mt_format (table);
  EXPECT_NE (nullptr, strstr (text, "\na_total 3\n"));
  g_free (text);
  mt_table_free (table);
}

}
