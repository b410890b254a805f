#include "client/internal.h"

#include "release/release.h"

#include <event2/event.h>
#include <stddef.h>
#include <string.h>

#define DAEMON_DEFAULT "127.0.0.1:7001"

/* A GOptionEntry with the offset of a member of ClOptions in place of an
   address.  */
typedef struct
{
  const char *name;
  GOptionArg type;
  size_t offset;
  const char *help;
  const char *placeholder; /* of the value in the help; NULL: takes none */
} Option;

typedef struct
{
  const char *name;
  const char *subcommand; /* or NULL */
  const char *parameters; /* in the help */
  const char *help;
  int argument_min;
  int argument_max;
  int (*run) (ClContext *context);
  const Option *options; /* ends with one without a name; may be NULL */
} Command;

#define OFFSET(field) offsetof (ClOptions, field)

static const Option global_options[] = {
  { "daemon", G_OPTION_ARG_STRING_ARRAY, OFFSET (daemons),
    "admin address of a daemon; may be given several times", "ADDRESS:PORT" },
  { "json", G_OPTION_ARG_NONE, OFFSET (json), "print JSON", NULL },
  { "version", G_OPTION_ARG_NONE, OFFSET (version),
    "print which build this is and exit", NULL },
  { "timeout-ms", G_OPTION_ARG_INT, OFFSET (timeout_ms),
    "timeout of each request (default 5000; 15000 for a change)", "MS" },
  { NULL },
};

#define CHANGE_OPTIONS                                                        \
  { "wait", G_OPTION_ARG_NONE, OFFSET (wait),                                 \
    "wait until the version is in force on each daemon", NULL },              \
      { "wait-ms", G_OPTION_ARG_INT64, OFFSET (wait_ms),                      \
        "longest wait (default 10000)", "MS" },                               \
  {                                                                           \
    "author", G_OPTION_ARG_STRING, OFFSET (author),                           \
        "who makes the change (default: the user's name)", "NAME"             \
  }

#define SHEET_OPTIONS                                                         \
  {                                                                           \
    "today", G_OPTION_ARG_STRING, OFFSET (today),                             \
        "date that the sheet must have (default: today)", "DATE"              \
  }

static const Option sheet_options[] = { SHEET_OPTIONS, { NULL } };

static const Option apply_options[]
    = { SHEET_OPTIONS, CHANGE_OPTIONS, { NULL } };

static const Option change_options[] = { CHANGE_OPTIONS, { NULL } };

static const Option key_options[] = {
  { "id", G_OPTION_ARG_STRING, OFFSET (key_id), "id of the key", "ID" },
  { "file", G_OPTION_ARG_FILENAME, OFFSET (key_file),
    "read the key from FILE instead of standard input", "FILE" },
  CHANGE_OPTIONS,
  { NULL },
};

static const Option customer_options[] = {
  { "rate", G_OPTION_ARG_INT64, OFFSET (rate), "requests/s", "N" },
  { "burst", G_OPTION_ARG_INT64, OFFSET (burst), "requests at once", "N" },
  { "weight", G_OPTION_ARG_INT64, OFFSET (weight), "weight in the queue",
    "N" },
  CHANGE_OPTIONS,
  { NULL },
};

static const Option shift_options[] = {
  { "service", G_OPTION_ARG_STRING, OFFSET (service), "service", "NAME" },
  { "from", G_OPTION_ARG_STRING, OFFSET (from), "region to move requests from",
    "REGION" },
  { "to", G_OPTION_ARG_STRING, OFFSET (to), "region to move requests to",
    "REGION" },
  { "start", G_OPTION_ARG_STRING, OFFSET (start),
    "start time, with a UTC offset or Z", "TIME" },
  { "end", G_OPTION_ARG_STRING, OFFSET (end),
    "end time, with a UTC offset or Z", "TIME" },
  { "ramp", G_OPTION_ARG_STRING, OFFSET (ramp_s),
    "time until the whole share is moved", "SECONDS" },
  { "share", G_OPTION_ARG_STRING, OFFSET (share_percent), "share to move",
    "PERCENT" },
  { "cap", G_OPTION_ARG_INT64, OFFSET (cap), "most requests/s to move", "N" },
  CHANGE_OPTIONS,
  { NULL },
};

static const Option timeline_options[] = {
  { "customer", G_OPTION_ARG_STRING, OFFSET (customer), "only this customer",
    "NAME" },
  { "target", G_OPTION_ARG_STRING, OFFSET (target), "only this target",
    "NAME" },
  { "request", G_OPTION_ARG_STRING, OFFSET (request_id), "only this request",
    "ID" },
  { "version", G_OPTION_ARG_INT64, OFFSET (config_version),
    "only this version of the configuration", "N" },
  { "limit", G_OPTION_ARG_INT64, OFFSET (event_limit),
    "number of newest events to read from each daemon (default 1000)", "N" },
  { NULL },
};

static const Option where_options[] = {
  { "host", G_OPTION_ARG_STRING, OFFSET (host), "host of the request",
    "HOST" },
  { "path", G_OPTION_ARG_STRING, OFFSET (path),
    "path of the request, with its query string if it has one", "PATH" },
  { "method", G_OPTION_ARG_STRING, OFFSET (method), "default GET", "METHOD" },
  { "key-file", G_OPTION_ARG_FILENAME, OFFSET (key_file),
    "read the caller's key from FILE; - is standard input", "FILE" },
  { "object", G_OPTION_ARG_STRING, OFFSET (object),
    "value of the object cookie", "VALUE" },
  { "deadline-ms", G_OPTION_ARG_INT64, OFFSET (deadline_ms),
    "time that the caller allows (default: that of the route)", "MS" },
  { "request", G_OPTION_ARG_STRING, OFFSET (request_id),
    "id of the request, by which requests without an object are spread",
    "ID" },
  { NULL },
};

static const Option watch_options[] = {
  { "interval-ms", G_OPTION_ARG_INT64, OFFSET (interval_ms),
    "time between two polls (default 1000)", "MS" },
  { "count", G_OPTION_ARG_INT64, OFFSET (poll_count),
    "stop after this many polls (default: never)", "N" },
  { NULL },
};

/* The request's ID, and one log for each daemon of the largest fleet that is
   planned.  */
#define EXPLAIN_ARGUMENTS_MAX 600

static const Command commands[] = {
  { "check", NULL, "SHEET", "check a sheet", 1, 1, cl_check, sheet_options },
  { "diff", NULL, "SHEET", "show what a sheet would change", 1, 1, cl_diff,
    sheet_options },
  { "apply", NULL, "SHEET", "write a sheet as the new configuration", 1, 1,
    cl_apply, apply_options },
  { "key", "add", "CUSTOMER", "issue a key", 1, 1, cl_key_add, key_options },
  { "key", "withdraw", "CUSTOMER", "withdraw a key", 1, 1, cl_key_revoke,
    key_options },
  { "customer", "show", "[CUSTOMER]", "show customers", 0, 1, cl_customer_show,
    NULL },
  { "customer", "set", "CUSTOMER", "change rate, burst or weight", 1, 1,
    cl_customer_set, customer_options },
  { "drain", "add", "NAME target|vm|zone|region OBJECT START END",
    "plan a drain", 5, 5, cl_drain_add, change_options },
  { "drain", "cancel", "NAME", "cancel a drain", 1, 1, cl_drain_cancel,
    change_options },
  { "drain", "list", "", "list the drains", 0, 0, cl_drain_list, NULL },
  { "shift", "add", "NAME", "plan a traffic shift", 1, 1, cl_shift_add,
    shift_options },
  { "shift", "cancel", "NAME", "cancel a shift", 1, 1, cl_shift_cancel,
    change_options },
  { "shift", "list", "", "list the shifts", 0, 0, cl_shift_list, NULL },
  { "status", NULL, "", "show the state of the daemons", 0, 0, cl_status,
    NULL },
  { "timeline", NULL, "", "show the events of all daemons in order", 0, 0,
    cl_timeline, timeline_options },
  { "watch", NULL, "", "show changes and warnings as they happen", 0, 0,
    cl_watch, watch_options },
  { "explain", NULL, "REQUEST LOG...", "show from logs how a request ended", 2,
    EXPLAIN_ARGUMENTS_MAX, cl_explain, NULL },
  { "where", NULL, "", "show where a request would be sent now, and why", 0, 0,
    cl_where, where_options },
};

void
cl_print (ClContext *context, const char *format, ...)
{
  g_autofree char *text = NULL;
  va_list args;

  va_start (args, format);
  text = g_strdup_vprintf (format, args);
  va_end (args);
  fputs (text, context->io.out);
}

void
cl_print_error (ClContext *context, const char *format, ...)
{
  g_autofree char *text = NULL;
  va_list args;

  va_start (args, format);
  text = g_strdup_vprintf (format, args);
  va_end (args);
  fprintf (context->io.err, "comfreywalk: %s\n", text);
}

static void
add_entries (GOptionContext *parser, ClOptions *values, const Option *options)
{
  GArray *entries = g_array_new (TRUE, TRUE, sizeof (GOptionEntry));

  for (; options != NULL && options->name != NULL; options++)
    {
      GOptionEntry entry = { options->name,
                             0,
                             0,
                             options->type,
                             G_STRUCT_MEMBER_P (values, options->offset),
                             options->help,
                             options->placeholder };

      g_array_append_val (entries, entry);
    }
  g_option_context_add_main_entries (
      parser, (const GOptionEntry *)(void *)entries->data, NULL);
  g_array_unref (entries);
}

static char *
command_synopsis (const Command *command)
{
  return g_strjoin (
      " ", command->name,
      command->subcommand != NULL ? command->subcommand : command->parameters,
      command->subcommand != NULL ? command->parameters : NULL, NULL);
}

static void
print_help (FILE *out)
{
  fputs ("usage: comfreywalk [--daemon ADDRESS:PORT]... [--json] COMMAND\n\n"
         "Commands:\n",
         out);
  for (size_t i = 0; i < G_N_ELEMENTS (commands); i++)
    {
      g_autofree char *synopsis = command_synopsis (&commands[i]);

      fprintf (out, "  %-34s  %s\n", synopsis, commands[i].help);
    }
  fputs ("\ncomfreywalk COMMAND --help shows the options of a command;\n"
         "comfreywalk(1) describes them.\n",
         out);
}

/* Finds the command whose name and subcommand WORDS begin with, and sets
   WORD_COUNT to the number of these words.  */
static const Command *
find_command (char **words, int count, int *word_count)
{
  for (size_t i = 0; i < G_N_ELEMENTS (commands); i++)
    {
      const Command *command = &commands[i];

      *word_count = command->subcommand != NULL ? 2 : 1;
      if (count >= *word_count && strcmp (words[0], command->name) == 0
          && (command->subcommand == NULL
              || strcmp (words[1], command->subcommand) == 0))
        return command;
    }
  return NULL;
}

/* Parses the options before the command's name if COMMAND is NULL, else all
   that are left, and removes them from ARGV.  Returns FALSE and sets EXIT_CODE
   after an error or --help.  */
static gboolean
parse_options (ClContext *context, const Command *command, char ***argv,
               int *exit_code)
{
  g_autoptr (GError) error = NULL;
  g_autofree char *synopsis
      = command != NULL ? command_synopsis (command) : g_strdup ("COMMAND");
  GOptionContext *parser = g_option_context_new (synopsis);
  gboolean help = FALSE;
  const Option help_option
      = { "help", G_OPTION_ARG_NONE, 0, "show this help", NULL };
  const GOptionEntry help_entries[]
      = { { help_option.name, 'h', 0, help_option.type, &help,
            help_option.help, NULL },
          { NULL } };
  gboolean ok;

  g_option_context_set_help_enabled (parser, FALSE);
  /* The call without COMMAND stops at the command's name.  */
  g_option_context_set_strict_posix (parser, command == NULL);
  g_option_context_add_main_entries (parser, help_entries, NULL);
  add_entries (parser, &context->options, global_options);
  if (command != NULL)
    add_entries (parser, &context->options, command->options);
  ok = g_option_context_parse_strv (parser, argv, &error);
  if (!ok)
    {
      cl_print_error (context, "%s", error->message);
      *exit_code = CL_EXIT_USAGE;
    }
  else if (help)
    {
      g_autofree char *text = g_option_context_get_help (parser, TRUE, NULL);

      if (command == NULL)
        print_help (context->io.out);
      else
        fputs (text, context->io.out);
      ok = FALSE;
      *exit_code = CL_EXIT_DONE;
    }
  g_option_context_free (parser);
  return ok;
}

static void
daemon_free (void *data)
{
  ClDaemon *daemon = data;

  g_free (daemon->address_text);
  g_free (daemon->address.ip);
  g_free (daemon);
}

static gboolean
parse_daemons (ClContext *context)
{
  static char *default_addresses[] = { (char *)DAEMON_DEFAULT, NULL };
  char **addresses = context->options.daemons;

  for (addresses = addresses != NULL ? addresses : default_addresses;
       *addresses != NULL; addresses++)
    {
      ClDaemon *daemon = g_new0 (ClDaemon, 1);

      daemon->address_text = g_strdup (*addresses);
      g_ptr_array_add (context->daemons, daemon);
      if (!se_parse_address (*addresses, &daemon->address))
        {
          cl_print_error (context,
                          "\"%s\" is not an IP address and a port such as "
                          "127.0.0.1:7001",
                          *addresses);
          return FALSE;
        }
    }
  return TRUE;
}

static int
run_command (ClContext *context, char ***argv)
{
  const Command *command;
  int word_count = 0;
  int count;
  int exit_code = CL_EXIT_USAGE;

  if (!parse_options (context, NULL, argv, &exit_code))
    return exit_code;
  if (context->options.version)
    {
      rl_print_version ("comfreywalk", context->io.out);
      return CL_EXIT_DONE;
    }
  count = (int)g_strv_length (*argv) - 1;
  command = count > 0 ? find_command (*argv + 1, count, &word_count) : NULL;
  if (command == NULL)
    {
      if (count > 0)
        cl_print_error (context, "there is no command \"%s\"", (*argv)[1]);
      print_help (context->io.err);
      return CL_EXIT_USAGE;
    }
  if (!parse_options (context, command, argv, &exit_code))
    return exit_code;
  context->arguments = *argv + 1 + word_count;
  context->argument_count = (int)g_strv_length (*argv) - 1 - word_count;
  if (context->argument_count < command->argument_min
      || context->argument_count > command->argument_max)
    {
      g_autofree char *synopsis = command_synopsis (command);

      cl_print_error (context, "usage: comfreywalk %s", synopsis);
      return CL_EXIT_USAGE;
    }
  if (!parse_daemons (context))
    return CL_EXIT_USAGE;
  return command->run (context);
}

static void
options_clear (ClOptions *options)
{
  g_strfreev (options->daemons);
  g_free (options->author);
  g_free (options->today);
  g_free (options->key_id);
  g_free (options->key_file);
  g_free (options->service);
  g_free (options->from);
  g_free (options->to);
  g_free (options->start);
  g_free (options->end);
  g_free (options->ramp_s);
  g_free (options->share_percent);
  g_free (options->customer);
  g_free (options->target);
  g_free (options->request_id);
  g_free (options->host);
  g_free (options->path);
  g_free (options->method);
  g_free (options->object);
}

int
cl_run (int argc, char **argv, const ClIo *io)
{
  ClContext context = {
    .io = *io,
    .base = io->base != NULL ? io->base : event_base_new (),
    .daemons = g_ptr_array_new_with_free_func (daemon_free),
    .options = { .wait_ms = CL_WAIT_DEFAULT_MS,
                 .rate = -1,
                 .burst = -1,
                 .weight = -1,
                 .cap = -1,
                 .deadline_ms = -1,
                 .event_limit = 1000,
                 .interval_ms = 1000 },
  };
  GStrvBuilder *words = g_strv_builder_new ();
  char **argv_copy;
  int exit_code;

  /* The parser frees the arguments that it removes.  */
  for (int i = 0; i < argc; i++)
    g_strv_builder_add (words, argv[i]);
  argv_copy = g_strv_builder_end (words);
  g_strv_builder_unref (words);
  exit_code = run_command (&context, &argv_copy);
  fflush (io->out);
  g_strfreev (argv_copy);
  options_clear (&context.options);
  g_ptr_array_unref (context.daemons);
  if (io->base == NULL)
    event_base_free (context.base);
  return exit_code;
}
