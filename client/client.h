/* client.h - the operators' command line client

   SYNOPSIS
     ClIo io = { .out = stdout, .err = stderr, .in = stdin };
     int code = cl_run (argc, argv, &io);

   DESCRIPTION
     cl_run reads options, calls one command of a table and returns the exit
     code of the program.  A change is a compare-and-swap against the version
     that was read; whether it took effect is read back by its operation id
     where the answer was lost, so that "applied", "not applied" and
     "unknown" are each true.  docs/man/comfreywalk.1 describes the commands.

   ERRORS
     The exit codes below; messages go to err.  */

#ifndef CL_CLIENT_H
#define CL_CLIENT_H

#include <glib.h>
#include <stdio.h>

struct event_base;

typedef enum
{
  CL_EXIT_DONE = 0,
  CL_EXIT_REFUSED = 1, /* a fault in the sheet or change; not applied */
  CL_EXIT_USAGE = 2,
  CL_EXIT_LOST = 3,      /* another change was first; not applied */
  CL_EXIT_UNKNOWN = 4,   /* it may have been applied */
  CL_EXIT_NO_DAEMON = 5, /* no daemon answers; not applied */
  CL_EXIT_PARTIAL = 6,   /* done, but some daemons do not answer or lag */
} ClExit;

typedef struct
{
  FILE *out;
  FILE *err;
  FILE *in;
  struct event_base *base; /* to share a loop with a server; may be NULL */
} ClIo;

int cl_run (int argc, char **argv, const ClIo *io);

#endif
