/* client.h - command-line client for operators

   SYNOPSIS
     ClIo io = { .out = stdout, .err = stderr, .in = stdin };
     int exit_code = cl_run (argc, argv, &io);

   DESCRIPTION
     cl_run parses the options, runs one command and returns the exit code of
     the program.  It runs the event loop while it waits for a response, and
     leaves the files of io open.  The process must ignore SIGPIPE, as a daemon
     may close a connection while a request is written.

     A change of the configuration is a compare-and-swap against the version
     that was read.  If the response is lost, the daemons are asked for the
     result by the operation id of the change, so that "applied" and "not
     applied" are printed only where known, else "unknown".
     docs/man/comfreywalk.1 describes the commands.

   ERRORS
     The exit codes below; error messages go to err.  */

#ifndef CL_CLIENT_H
#define CL_CLIENT_H

#include <glib.h>
#include <stdio.h>

struct event_base;

typedef enum
{
  CL_EXIT_DONE = 0,
  CL_EXIT_REFUSED = 1,   /* invalid sheet, key or change, or no such customer,
                            key, drain, shift or request; not applied */
  CL_EXIT_USAGE = 2,     /* malformed arguments, or a log cannot be read */
  CL_EXIT_CONFLICT = 3,  /* another change was written first; not applied */
  CL_EXIT_UNKNOWN = 4,   /* the change may have been applied */
  CL_EXIT_NO_DAEMON = 5, /* no daemon responds; not applied */
  CL_EXIT_PARTIAL = 6,   /* done, but some daemons do not respond or do not
                            have the version in force yet */
} ClExit;

typedef struct
{
  FILE *out;
  FILE *err;
  FILE *in;
  struct event_base *base; /* event loop to run, for a caller whose servers
                              share it; NULL: a new one */
} ClIo;

int cl_run (int argc, char **argv, const ClIo *io);

#endif
