/* Commands that read a sheet: check, diff, apply.  */

#include "client/internal.h"
#include "sheet/sheet.h"

#include <inttypes.h>
#include <string.h>

/* Parses the sheet that the argument names.  Returns NULL and prints its
   errors if it is invalid.  CURRENT is the current configuration; NULL: not
   known.  */
static CfConfig *
read_sheet (ClContext *context, const CfConfig *current)
{
  const char *path = context->arguments[0];
  g_autoptr (GDateTime) now = g_date_time_new_now_local ();
  g_autofree char *date = g_date_time_format (now, "%Y-%m-%d");
  g_autofree char *text = NULL;
  g_autoptr (GError) error = NULL;
  GPtrArray *problems = NULL;
  gsize length;
  CfConfig *config;
  ShOptions options = {
    .today = context->options.today != NULL ? context->options.today : date,
    .last_date = current != NULL ? current->sheet_date : NULL,
    .current = current,
  };

  if (!g_file_get_contents (path, &text, &length, &error))
    {
      cl_print_error (context, "%s", error->message);
      return NULL;
    }
  config = sh_parse (text, length, &options, &problems);
  if (config != NULL)
    return config;
  for (guint i = 0; i < problems->len; i++)
    {
      const ShProblem *problem = g_ptr_array_index (problems, i);
      g_autofree char *line = sh_format_problem (problem);

      cl_print_error (context, "%s: %s: %s", path,
                      sh_error_name (problem->code), line);
    }
  g_ptr_array_unref (problems);
  return NULL;
}

/* Returns the number of changes.  */
static int
print_diff (ClContext *context, const CfConfig *from, const CfConfig *to)
{
  g_autoptr (GPtrArray) lines = cf_diff (from, to);
  struct json_object *root;
  struct json_object *array;

  if (!context->options.json)
    {
      for (guint i = 0; i < lines->len; i++)
        cl_print (context, "%s\n", (const char *)g_ptr_array_index (lines, i));
      return (int)lines->len;
    }
  root = json_object_new_object ();
  array = json_object_new_array ();
  for (guint i = 0; i < lines->len; i++)
    json_object_array_add (
        array, json_object_new_string (g_ptr_array_index (lines, i)));
  json_object_object_add (root, "base_version",
                          json_object_new_int64 ((int64_t)from->version));
  json_object_object_add (root, "changes", array);
  cl_print_json (context, root);
  json_object_put (root);
  return (int)lines->len;
}

int
cl_check (ClContext *context)
{
  int exit_code = CL_EXIT_DONE;
  g_autoptr (CfConfig) current = cl_fetch_config (context, &exit_code);
  g_autoptr (CfConfig) config = NULL;

  if (current == NULL)
    cl_print_error (context,
                    "no daemon answers; the sheet is not compared with "
                    "the configuration in force");
  config = read_sheet (context, current);
  if (config == NULL)
    return CL_EXIT_REFUSED;
  cl_print (context,
            context->options.json
                ? "{\"customers\": %u, \"blocks\": %u, \"date\": \"%s\"}\n"
                : "no errors: %u customers, %u blocks, sheet of %s\n",
            config->customers->len, config->blocks->len, config->sheet_date);
  return CL_EXIT_DONE;
}

int
cl_diff (ClContext *context)
{
  int exit_code = CL_EXIT_DONE;
  g_autoptr (CfConfig) current = cl_fetch_config (context, &exit_code);
  g_autoptr (CfConfig) config = NULL;

  if (current == NULL)
    return exit_code;
  config = read_sheet (context, current);
  if (config == NULL)
    return CL_EXIT_REFUSED;
  if (print_diff (context, current, config) == 0 && !context->options.json)
    cl_print (context, "no change to version %" PRIu64 "\n", current->version);
  return CL_EXIT_DONE;
}

int
cl_apply (ClContext *context)
{
  int exit_code = CL_EXIT_DONE;
  g_autoptr (CfConfig) current = cl_fetch_config (context, &exit_code);
  g_autoptr (CfConfig) config = NULL;
  g_autoptr (GPtrArray) lines = NULL;

  if (current == NULL)
    return exit_code;
  config = read_sheet (context, current);
  if (config == NULL)
    return CL_EXIT_REFUSED;
  lines = cf_diff (current, config);
  /* At version 0 there is no configuration yet, so the sheet is written even
     if it changes nothing.  */
  if (lines->len == 0 && current->version > 0)
    {
      cl_print (context,
                context->options.json
                    ? "{\"result\": \"unchanged\", \"version\": %" PRIu64 "}\n"
                    : "no change to version %" PRIu64 "\n",
                current->version);
      return CL_EXIT_DONE;
    }
  if (!context->options.json)
    print_diff (context, current, config);
  config->version = current->version;
  return cl_write_config (context, config, current, FALSE);
}
