/* Commands that show parts of the configuration.  */

#include "client/internal.h"

#include <inttypes.h>
#include <string.h>

static char *
format_time (int64_t time_ms)
{
  g_autoptr (GDateTime) time = g_date_time_new_from_unix_utc (time_ms / 1000);

  return time != NULL ? g_date_time_format (time, "%Y-%m-%dT%H:%M:%SZ")
                      : g_strdup ("?");
}

/* Prints one section of the JSON form of the configuration.  */
static void
print_section (ClContext *context, const CfConfig *config, const char *section)
{
  g_autofree char *text = cf_to_json (config);
  struct json_object *root = json_tokener_parse (text);

  cl_print_json (context, cl_json_member (root, section));
  json_object_put (root);
}

static void
print_customer (ClContext *context, const CfCustomer *customer)
{
  cl_print (context,
            "%s: rate %" PRIu32 "/s, burst %" PRIu32 ", weight %" PRIu32 "\n",
            customer->name, customer->rate_per_s, customer->burst,
            customer->weight);
  for (guint i = 0; i < customer->keys->len; i++)
    {
      const CfKey *key = g_ptr_array_index (customer->keys, i);

      cl_print (context, "  key %s %s\n", key->id,
                key->withdrawn ? "withdrawn" : "active");
    }
}

int
cl_customer_show (ClContext *context)
{
  int exit_code = CL_EXIT_DONE;
  g_autoptr (CfConfig) config = cl_fetch_config (context, &exit_code);
  const char *name = context->arguments[0]; /* NULL: all customers */

  if (config == NULL)
    return exit_code;
  if (name != NULL && cf_find_customer (config, name) == NULL)
    {
      cl_print_error (context, "there is no customer \"%s\"", name);
      return CL_EXIT_REFUSED;
    }
  if (context->options.json)
    {
      print_section (context, config, "customers");
      return CL_EXIT_DONE;
    }
  for (guint i = 0; i < config->customers->len; i++)
    {
      const CfCustomer *customer = g_ptr_array_index (config->customers, i);

      if (name == NULL || strcmp (customer->name, name) == 0)
        print_customer (context, customer);
    }
  return CL_EXIT_DONE;
}

int
cl_drain_list (ClContext *context)
{
  /* In the order of CfDrainKind.  */
  static const char *const kinds[] = { "target", "vm", "zone", "region" };
  int exit_code = CL_EXIT_DONE;
  g_autoptr (CfConfig) config = cl_fetch_config (context, &exit_code);

  if (config == NULL)
    return exit_code;
  if (context->options.json)
    {
      print_section (context, config, "drains");
      return CL_EXIT_DONE;
    }
  for (guint i = 0; i < config->drains->len; i++)
    {
      const CfDrain *drain = g_ptr_array_index (config->drains, i);
      g_autofree char *start = format_time (drain->start_ms);
      g_autofree char *end = format_time (drain->end_ms);

      cl_print (context, "%s: %s %s from %s to %s\n", drain->name,
                kinds[drain->kind], drain->object, start, end);
    }
  return CL_EXIT_DONE;
}

int
cl_shift_list (ClContext *context)
{
  int exit_code = CL_EXIT_DONE;
  g_autoptr (CfConfig) config = cl_fetch_config (context, &exit_code);

  if (config == NULL)
    return exit_code;
  if (context->options.json)
    {
      print_section (context, config, "shifts");
      return CL_EXIT_DONE;
    }
  for (guint i = 0; i < config->shifts->len; i++)
    {
      const CfShift *shift = g_ptr_array_index (config->shifts, i);
      g_autofree char *start = format_time (shift->start_ms);
      g_autofree char *end = format_time (shift->end_ms);

      cl_print (context,
                "%s: %" PRIu32 ".%" PRIu32 "%% of %s from %s to %s, at most "
                "%" PRIu32 "/s, from %s to %s, ramp %" PRId64 " s\n",
                shift->name, shift->share_permille / 10,
                shift->share_permille % 10, shift->service, shift->from,
                shift->to, shift->cap_per_s, start, end,
                shift->ramp_ms / 1000);
    }
  return CL_EXIT_DONE;
}
