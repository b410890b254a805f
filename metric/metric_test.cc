#include <gtest/gtest.h>

#include <cstring>

extern "C"
{
#include "metric/metric.h"
}

namespace
{

/* Guards against percentiles with an error above the documented 3%.  */
TEST (Metric, PercentileIsWithinThreePercent)
{
  MtRegistry *registry = mt_registry_new ();
  MtHistogram *histogram = mt_histogram (registry, "wait_us", "Wait");

  for (int64_t value = 1; value <= 100000; value++)
    mt_observe (histogram, value);
  EXPECT_NEAR (50000, mt_percentile (histogram, 500), 1500);
  EXPECT_NEAR (99000, mt_percentile (histogram, 990), 2970);
  mt_registry_free (registry);
}

/* Guards against a negative or very large value that is counted outside the
   array of buckets.  */
TEST (Metric, ExtremeValuesAreClamped)
{
  MtRegistry *registry = mt_registry_new ();
  MtHistogram *histogram = mt_histogram (registry, "wait_us", "Wait");

  mt_observe (histogram, -5);
  mt_observe (histogram, INT64_MAX / 4);
  EXPECT_EQ (0, mt_percentile (histogram, 500));
  EXPECT_EQ (2u, mt_observed_count (histogram));
  mt_registry_free (registry);
}

/* Guards against a second registration of a name that creates a second
   counter, each with part of the count.  */
TEST (Metric, SameNameIsSameCounter)
{
  MtRegistry *registry = mt_registry_new ();

  mt_add (mt_counter (registry, "a_total", "A"), 1);
  mt_add (mt_counter (registry, "a_total", "A"), 2);
  char *text = mt_format (registry);
  EXPECT_NE (nullptr, strstr (text, "\na_total 3\n"));
  g_free (text);
  mt_registry_free (registry);
}

}
