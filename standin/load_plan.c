#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "standin/harness.h"
#include "standin/load.h"

static const char *const outcome_names[]
    = { "pending", "answered", "refused", "unknown", "wrong" };

const char *
si_load_outcome_name (SiLoadOutcome outcome)
{
  return outcome_names[outcome];
}

void
si_load_customer_free (void *data)
{
  SiLoadCustomer *customer = data;

  g_free (customer->name);
  g_free (customer->key);
  g_free (customer->read_path);
  g_free (customer);
}

static gboolean
set_field (SiLoadCustomer *customer, const char *name, const char *value)
{
  double number = g_ascii_strtod (value, NULL);

  if (strcmp (name, "name") == 0)
    customer->name = g_strdup (value);
  else if (strcmp (name, "key") == 0)
    customer->key = g_strdup (value);
  else if (strcmp (name, "path") == 0)
    customer->read_path = g_strdup (value);
  else if (strcmp (name, "rate") == 0)
    customer->rate_per_s = number;
  else if (strcmp (name, "orders") == 0)
    customer->order_permille = (uint32_t)number;
  else if (strcmp (name, "fresh") == 0)
    customer->new_connection_permille = (uint32_t)number;
  else if (strcmp (name, "pin") == 0)
    customer->pinned_vm = (int32_t)number;
  else if (strcmp (name, "pin_from_ms") == 0)
    customer->pinned_from_ms = (int64_t)number;
  else if (strcmp (name, "factor") == 0)
    customer->factor = number;
  else if (strcmp (name, "from_ms") == 0)
    customer->factor_from_ms = (int64_t)number;
  else if (strcmp (name, "to_ms") == 0)
    customer->factor_to_ms = (int64_t)number;
  else
    return FALSE;
  return TRUE;
}

gboolean
si_load_add_customer (GPtrArray *customers, const char *text,
                      MtRegistry *metrics, GError **error)
{
  g_auto (GStrv) pairs = g_strsplit (text, ",", -1);
  SiLoadCustomer *customer = g_new0 (SiLoadCustomer, 1);
  g_autofree char *metric = NULL;
  gboolean ok = TRUE;

  customer->pinned_vm = -1;
  customer->factor = 1;
  customer->factor_to_ms = G_MAXINT64;
  for (char **pair = pairs; *pair != NULL && ok; pair++)
    {
      g_auto (GStrv) parts = g_strsplit (*pair, "=", 2);
      ok = g_strv_length (parts) == 2
           && set_field (customer, parts[0], parts[1]);
    }
  if (!ok || customer->name == NULL)
    {
      g_set_error (error, SI_ERROR, SI_ERROR_OPTION, "invalid customer \"%s\"",
                   text);
      si_load_customer_free (customer);
      return FALSE;
    }
  metric = g_strdup_printf ("latency_us{customer=\"%s\"}", customer->name);
  customer->latency = mt_histogram (metrics, metric, "Latency");
  g_ptr_array_add (customers, customer);
  return TRUE;
}

static double
rate_at (const SiLoadCustomer *customer, int64_t offset_us)
{
  int64_t offset_ms = offset_us / 1000;
  gboolean multiplied = offset_ms >= customer->factor_from_ms
                        && offset_ms < customer->factor_to_ms;
  return customer->rate_per_s * (multiplied ? customer->factor : 1);
}

static void
plan_customer (const SiLoadOptions *options, SiLoadCustomer *customer,
               SiLoadKind kind, GRand *rand, GArray *plan)
{
  double rate_max = customer->rate_per_s * MAX (customer->factor, 1);
  int64_t end_us = (int64_t)options->duration_ms * 1000;
  int64_t offset_us = 0;

  if (rate_max <= 0)
    return;
  /* Thinning: draws requests at the highest rate and keeps each with the
     probability rate / highest rate at its time.  */
  for (;;)
    {
      SiPlannedRequest planned = { .customer = customer, .kind = kind };
      uint32_t vm
          = (uint32_t)g_rand_int_range (rand, 0, (int)options->vms->len);

      offset_us += (int64_t)(-log (1 - g_rand_double (rand)) / rate_max * 1e6);
      if (offset_us >= end_us)
        return;
      if (g_rand_double (rand) * rate_max > rate_at (customer, offset_us))
        continue;
      planned.offset_us = offset_us;
      planned.vm = customer->pinned_vm >= 0
                           && offset_us / 1000 >= customer->pinned_from_ms
                       ? (uint32_t)customer->pinned_vm % options->vms->len
                       : vm;
      if (kind == SI_LOAD_READ
          && g_rand_int_range (rand, 0, 1000) < (int)customer->order_permille)
        planned.kind = SI_LOAD_ORDER;
      planned.new_connection = g_rand_int_range (rand, 0, 1000)
                               < (int)customer->new_connection_permille;
      g_array_append_val (plan, planned);
    }
}

static int
compare_planned_requests (const void *a, const void *b)
{
  int64_t offset_a_us = ((const SiPlannedRequest *)a)->offset_us;
  int64_t offset_b_us = ((const SiPlannedRequest *)b)->offset_us;
  return offset_a_us < offset_b_us ? -1 : offset_a_us > offset_b_us;
}

GArray *
si_load_plan (const SiLoadOptions *options)
{
  GArray *plan = g_array_new (FALSE, FALSE, sizeof (SiPlannedRequest));

  for (guint i = 0; i < options->customers->len; i++)
    {
      SiLoadCustomer *customer = g_ptr_array_index (options->customers, i);
      /* With a generator for each customer, a change of one customer does not
         change the requests of the others.  The factor keeps customers of
         runs with neighboring seeds from sharing a generator seed.  */
      GRand *rand = g_rand_new_with_seed (options->seed + i * 7919);
      plan_customer (options, customer,
                     strcmp (customer->name, "lookup") == 0 ? SI_LOAD_LOOKUP
                                                            : SI_LOAD_READ,
                     rand, plan);
      g_rand_free (rand);
    }
  g_array_sort (plan, compare_planned_requests);
  for (guint i = 0; i < plan->len; i++)
    g_array_index (plan, SiPlannedRequest, i).number = i;
  return plan;
}
