#include "bench/bench.h"

#include <string.h>

typedef struct
{
  char *name;
  char *unit;
  GArray *values; /* double */
} Measure;

struct BnTable
{
  const BnOptions *options;
  char *scenario;
  GPtrArray *measures; /* Measure, in order of their first values */
};

static void
measure_free (void *data)
{
  Measure *measure = data;

  g_free (measure->name);
  g_free (measure->unit);
  g_array_unref (measure->values);
  g_free (measure);
}

BnTable *
bn_table_new (const BnOptions *options, const char *scenario)
{
  BnTable *table = g_new0 (BnTable, 1);

  table->options = options;
  table->scenario = g_strdup (scenario);
  table->measures = g_ptr_array_new_with_free_func (measure_free);
  return table;
}

static Measure *
find_measure (BnTable *table, const char *name, const char *unit)
{
  Measure *measure;

  for (guint i = 0; i < table->measures->len; i++)
    {
      measure = g_ptr_array_index (table->measures, i);
      if (strcmp (measure->name, name) == 0)
        return measure;
    }
  measure = g_new0 (Measure, 1);
  measure->name = g_strdup (name);
  measure->unit = g_strdup (unit);
  measure->values = g_array_new (FALSE, FALSE, sizeof (double));
  g_ptr_array_add (table->measures, measure);
  return measure;
}

void
bn_table_add (BnTable *table, const char *name, const char *unit, double value)
{
  g_array_append_val (find_measure (table, name, unit)->values, value);
}

static int
compare_values (const void *a, const void *b)
{
  double x = *(const double *)a, y = *(const double *)b;
  return x < y ? -1 : x > y;
}

static void
write_measure (const BnTable *table, const Measure *measure)
{
  guint count = measure->values->len;
  double median;

  g_array_sort (measure->values, compare_values);
  median = g_array_index (measure->values, double, count / 2);
  fprintf (table->options->out, "%s\t%s\t%s+%s\t%s\t%s\t%.4g\t%.4g\t%.4g\n",
           table->scenario, table->options->deployment, table->options->policy,
           table->options->admission, measure->name, measure->unit, median,
           g_array_index (measure->values, double, 0),
           g_array_index (measure->values, double, count - 1));
}

void
bn_table_finish (BnTable *table)
{
  for (guint i = 0; i < table->measures->len; i++)
    write_measure (table, g_ptr_array_index (table->measures, i));
  fflush (table->options->out);
  g_ptr_array_unref (table->measures);
  g_free (table->scenario);
  g_free (table);
}
