#include "standin/process.h"

#include <errno.h>
#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#define POLL_MS 2
#define PID_COUNT_MAX 1024

extern char **environ;

/* Pids of processes not yet reaped, killed when the program exits.  */
static GHashTable *running_processes;

static void
kill_running (void)
{
  GHashTableIter iter;
  void *pid;

  g_hash_table_iter_init (&iter, running_processes);
  while (g_hash_table_iter_next (&iter, &pid, NULL))
    {
      kill (GPOINTER_TO_INT (pid), SIGKILL);
      waitpid (GPOINTER_TO_INT (pid), NULL, 0);
    }
  g_hash_table_unref (running_processes);
  running_processes = NULL;
}

/* Copy of the table for the signal handler, where a GHashTable is not safe to
   use; 0 marks a free entry.  Processes above PID_COUNT_MAX are left out.  */
static volatile pid_t running_pids[PID_COUNT_MAX];

static void
on_termination_signal (int signal)
{
  for (int i = 0; i < PID_COUNT_MAX; i++)
    if (running_pids[i] > 0)
      kill (running_pids[i], SIGKILL);
  _exit (128 + signal);
}

/* A program killed by a signal runs no atexit handlers and would leave its
   child processes running.  */
static void
install_signal_handlers (void)
{
  signal (SIGTERM, on_termination_signal);
  signal (SIGINT, on_termination_signal);
  signal (SIGHUP, on_termination_signal);
}

static void
replace_running_pid (pid_t old, pid_t new)
{
  for (int i = 0; i < PID_COUNT_MAX; i++)
    if (running_pids[i] == old)
      {
        running_pids[i] = new;
        return;
      }
}

static void
track_process (pid_t pid)
{
  if (running_processes == NULL)
    {
      running_processes = g_hash_table_new (g_direct_hash, g_direct_equal);
      atexit (kill_running);
      install_signal_handlers ();
    }
  g_hash_table_add (running_processes, GINT_TO_POINTER (pid));
  replace_running_pid (0, pid);
}

static gboolean
untrack_process (pid_t pid)
{
  replace_running_pid (pid, 0);
  return g_hash_table_remove (running_processes, GINT_TO_POINTER (pid));
}

void
si_sleep_ms (uint32_t ms)
{
  struct timespec pause
      = { .tv_sec = ms / 1000, .tv_nsec = (ms % 1000) * 1000000L };
  nanosleep (&pause, NULL);
}

pid_t
si_process_spawn (const char *const *argv, const char *log_path,
                  GError **error)
{
  posix_spawn_file_actions_t actions;
  pid_t pid;
  int result;

  posix_spawn_file_actions_init (&actions);
  posix_spawn_file_actions_addopen (&actions, 0, "/dev/null", O_RDONLY, 0);
  posix_spawn_file_actions_addopen (&actions, 1, log_path,
                                    O_WRONLY | O_CREAT | O_APPEND, 0644);
  posix_spawn_file_actions_adddup2 (&actions, 1, 2);
  result = posix_spawn (&pid, argv[0], &actions, NULL, (char *const *)argv,
                        environ);
  posix_spawn_file_actions_destroy (&actions);
  if (result != 0)
    {
      g_set_error (error, SI_ERROR, SI_ERROR_SPAWN, "cannot start %s: %s",
                   argv[0], g_strerror (result));
      return 0;
    }
  track_process (pid);
  return pid;
}

gboolean
si_process_ended (pid_t pid, int *status)
{
  int own_status;

  if (pid <= 0 || running_processes == NULL
      || !g_hash_table_contains (running_processes, GINT_TO_POINTER (pid)))
    return TRUE;
  if (waitpid (pid, &own_status, WNOHANG) != pid)
    return FALSE;
  untrack_process (pid);
  if (status != NULL)
    *status = own_status;
  return TRUE;
}

gboolean
si_process_wait (pid_t pid, uint32_t wait_ms, int *status)
{
  int64_t end_us = g_get_monotonic_time () + (int64_t)wait_ms * 1000;

  while (!si_process_ended (pid, status))
    {
      if (g_get_monotonic_time () >= end_us)
        return FALSE;
      si_sleep_ms (POLL_MS);
    }
  return TRUE;
}

void
si_process_kill (pid_t pid)
{
  if (pid <= 0 || running_processes == NULL
      || !g_hash_table_contains (running_processes, GINT_TO_POINTER (pid)))
    return;
  kill (pid, SIGKILL);
  waitpid (pid, NULL, 0);
  untrack_process (pid);
}

gboolean
si_process_signal (pid_t pid, int signal)
{
  if (pid <= 0 || running_processes == NULL
      || !g_hash_table_contains (running_processes, GINT_TO_POINTER (pid)))
    return FALSE;
  return kill (pid, signal) == 0;
}

gboolean
si_wait_until (SiCondition condition, void *data, uint32_t wait_ms)
{
  int64_t end_us = g_get_monotonic_time () + (int64_t)wait_ms * 1000;

  while (!condition (data))
    {
      if (g_get_monotonic_time () >= end_us)
        return FALSE;
      si_sleep_ms (5);
    }
  return TRUE;
}
