/* process.h - child processes of the harness

   DESCRIPTION
     Keeps a table of the processes that were started and not yet reaped, and
     signals no others, so a pid that the kernel has reused is never hit.
     Those still running are killed when the program exits or receives
     SIGTERM, SIGINT or SIGHUP.  For one thread.

   ERRORS
     SI_ERROR_SPAWN  the program could not be started  */

#ifndef SI_PROCESS_H
#define SI_PROCESS_H

#include "standin/harness.h"

/* Starts ARGV[0] with empty input and appends both output streams to the file
   LOG_PATH.  Returns 0 with ERROR set on failure.  */
pid_t si_process_spawn (const char *const *argv, const char *log_path,
                        GError **error);
/* TRUE if PID has ended, which reaps it and sets *STATUS as by waitpid; also
   TRUE for a PID that is not in the table, with *STATUS left alone.  STATUS
   may be NULL.  */
gboolean si_process_ended (pid_t pid, int *status);
/* FALSE if PID still runs after WAIT_MS.  */
gboolean si_process_wait (pid_t pid, uint32_t wait_ms, int *status);
/* Kills with SIGKILL and reaps; does nothing if PID is not in the table.  */
void si_process_kill (pid_t pid);
/* FALSE if PID is not in the table or the signal failed.  */
gboolean si_process_signal (pid_t pid, int signal);

#endif
