/* process.h - child processes of the harness

   DESCRIPTION
     Knows every process that was started and not yet reaped, and never
     signals another.  What still runs when the program exits is killed.  */

#ifndef SI_PROCESS_H
#define SI_PROCESS_H

#include "standin/harness.h"

/* 0 with ERROR set on failure.  */
pid_t si_process_spawn (const char *const *argv, const char *log_path,
                        GError **error);
/* True when PID has ended, and reaps it then.  */
gboolean si_process_ended (pid_t pid, int *status);
gboolean si_process_wait (pid_t pid, uint32_t wait_ms, int *status);
void si_process_kill (pid_t pid);
gboolean si_process_signal (pid_t pid, int signal);

#endif
