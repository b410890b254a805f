#include "client/client.h"

#include <locale.h>
#include <signal.h>

int
main (int argc, char **argv)
{
  const ClIo io = { .out = stdout, .err = stderr, .in = stdin };

  setlocale (LC_CTYPE, "");
  /* A daemon may close a connection while the client writes to it.  */
  signal (SIGPIPE, SIG_IGN);
  return cl_run (argc, argv, &io);
}
