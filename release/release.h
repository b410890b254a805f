/* release.h - which build a binary is

   SYNOPSIS
     rl_print_version ("comfreywalkd", stdout);
     tr_log (trace, EV_DAEMON_STARTED, "sources=%s", rl_sources_id ());

   DESCRIPTION
     A binary knows its version, the id of the sources that it was built from
     (cmake/sources.cmake) and how it was built.  Two binaries with the same id
     and build have the same code.  tools/sources-id prints the id of a
     commit.

   ERRORS
     None.  */

#ifndef RL_RELEASE_H
#define RL_RELEASE_H

#include <stdio.h>

#include "metric/metric.h"

/* Of the product, such as "0.1.0".  */
const char *rl_version (void);

/* Hexadecimal digits.  */
const char *rl_sources_id (void);

/* Words without spaces, separated by commas: the build type, the compiler, the
   kind of machine, "sanitized" if built so, and flags of the environment.  */
const char *rl_build (void);

/* Prints a line with PROGRAM and all of the above.  */
void rl_print_version (const char *program, FILE *file);

/* Adds the gauge build_info, which is 1 and has all of the above as labels. */
void rl_register_metric (MtRegistry *metrics);

#endif
