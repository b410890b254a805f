#include "metric/metric.h"

#include <string.h>

/* Values below SUB_BUCKETS have a bucket each.  Above, each power of two up to
   2^VALUE_BITS is divided into SUB_BUCKETS buckets of equal width.  */
#define SUB_BUCKET_BITS 5
#define SUB_BUCKETS (1 << SUB_BUCKET_BITS)
#define VALUE_BITS 40
#define BUCKETS ((VALUE_BITS - SUB_BUCKET_BITS + 1) * SUB_BUCKETS)
#define VALUE_MAX (((int64_t)1 << VALUE_BITS) - 1)

struct MtCounter
{
  const char *type;
  char *help;
  int64_t value;
};

struct MtHistogram
{
  char *help;
  uint64_t count;
  int64_t sum;
  uint64_t buckets[BUCKETS];
};

struct MtRegistry
{
  GTree *counters;   /* name -> MtCounter */
  GTree *histograms; /* name -> MtHistogram */
};

static int
compare_names (const void *a, const void *b, void *data)
{
  (void)data;
  return strcmp (a, b);
}

static void
counter_free (void *data)
{
  MtCounter *counter = data;
  g_free (counter->help);
  g_free (counter);
}

static void
histogram_free (void *data)
{
  MtHistogram *histogram = data;
  g_free (histogram->help);
  g_free (histogram);
}

MtRegistry *
mt_registry_new (void)
{
  MtRegistry *registry = g_new0 (MtRegistry, 1);

  registry->counters
      = g_tree_new_full (compare_names, NULL, g_free, counter_free);
  registry->histograms
      = g_tree_new_full (compare_names, NULL, g_free, histogram_free);
  return registry;
}

void
mt_registry_free (MtRegistry *registry)
{
  if (registry == NULL)
    return;
  g_tree_unref (registry->counters);
  g_tree_unref (registry->histograms);
  g_free (registry);
}

static MtCounter *
get_or_add_counter (MtRegistry *registry, const char *name, const char *help,
                    const char *type)
{
  MtCounter *counter = g_tree_lookup (registry->counters, name);

  if (counter != NULL)
    return counter;
  counter = g_new0 (MtCounter, 1);
  counter->type = type;
  counter->help = g_strdup (help);
  g_tree_insert (registry->counters, g_strdup (name), counter);
  return counter;
}

MtCounter *
mt_counter (MtRegistry *registry, const char *name, const char *help)
{
  return get_or_add_counter (registry, name, help, "counter");
}

MtCounter *
mt_gauge (MtRegistry *registry, const char *name, const char *help)
{
  return get_or_add_counter (registry, name, help, "gauge");
}

MtHistogram *
mt_histogram (MtRegistry *registry, const char *name, const char *help)
{
  MtHistogram *histogram = g_tree_lookup (registry->histograms, name);

  if (histogram != NULL)
    return histogram;
  histogram = g_new0 (MtHistogram, 1);
  histogram->help = g_strdup (help);
  g_tree_insert (registry->histograms, g_strdup (name), histogram);
  return histogram;
}

void
mt_add (MtCounter *counter, int64_t amount)
{
  counter->value += amount;
}

void
mt_set (MtCounter *gauge, int64_t value)
{
  gauge->value = value;
}

int64_t
mt_value (const MtCounter *counter)
{
  return counter->value;
}

static uint32_t
bucket_index (int64_t value)
{
  uint32_t power;

  if (value < SUB_BUCKETS)
    return (uint32_t)MAX (value, 0);
  value = MIN (value, VALUE_MAX);
  power = 63 - (uint32_t)__builtin_clzll ((uint64_t)value);
  return (power - SUB_BUCKET_BITS + 1) * SUB_BUCKETS
         + (uint32_t)((value >> (power - SUB_BUCKET_BITS)) - SUB_BUCKETS);
}

static int64_t
bucket_upper_bound (uint32_t bucket)
{
  uint32_t shift;

  if (bucket < SUB_BUCKETS)
    return bucket;
  shift = bucket / SUB_BUCKETS - 1;
  return (((int64_t)(bucket % SUB_BUCKETS) + SUB_BUCKETS + 1) << shift) - 1;
}

void
mt_observe (MtHistogram *histogram, int64_t value)
{
  histogram->count++;
  histogram->sum += value;
  histogram->buckets[bucket_index (value)]++;
}

uint64_t
mt_observed_count (const MtHistogram *histogram)
{
  return histogram->count;
}

int64_t
mt_percentile (const MtHistogram *histogram, uint32_t permille)
{
  uint64_t rank = (histogram->count * permille + 999) / 1000;
  uint64_t cumulative_count = 0;

  for (uint32_t i = 0; i < BUCKETS && histogram->count > 0; i++)
    {
      cumulative_count += histogram->buckets[i];
      if (cumulative_count >= rank)
        return bucket_upper_bound (i);
    }
  return 0;
}

static gboolean
format_counter (void *key, void *data, void *out)
{
  const MtCounter *counter = data;
  const char *name = key;

  /* HELP and TYPE name the metric without its labels.  */
  g_string_append_printf (out, "# HELP %.*s %s\n# TYPE %.*s %s\n",
                          (int)strcspn (name, "{"), name, counter->help,
                          (int)strcspn (name, "{"), name, counter->type);
  g_string_append_printf (out, "%s %" G_GINT64_FORMAT "\n", name,
                          counter->value);
  return FALSE;
}

static gboolean
format_histogram (void *key, void *data, void *out)
{
  static const struct
  {
    uint32_t permille;
    const char *label;
  } quantiles[] = { { 500, "0.5" }, { 990, "0.99" }, { 999, "0.999" } };
  const MtHistogram *histogram = data;
  const char *name = key;

  g_string_append_printf (out, "# HELP %s %s\n# TYPE %s summary\n", name,
                          histogram->help, name);
  for (size_t i = 0; i < G_N_ELEMENTS (quantiles); i++)
    g_string_append_printf (out, "%s{quantile=\"%s\"} %" G_GINT64_FORMAT "\n",
                            name, quantiles[i].label,
                            mt_percentile (histogram, quantiles[i].permille));
  g_string_append_printf (
      out, "%s_sum %" G_GINT64_FORMAT "\n%s_count %" G_GUINT64_FORMAT "\n",
      name, histogram->sum, name, histogram->count);
  return FALSE;
}

char *
mt_format (const MtRegistry *registry)
{
  GString *out = g_string_new (NULL);

  g_tree_foreach (registry->counters, format_counter, out);
  g_tree_foreach (registry->histograms, format_histogram, out);
  return g_string_free (out, FALSE);
}
