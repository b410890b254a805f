/* rig2.h - a small deployment on loopback for the scripts of this review

   DESCRIPTION
     Starts the project's stand-in of the platform's store and daemons with
     the command of the deploy file, each as a process of its own.  Upstreams
     and clients run in threads of the calling process.  All addresses are
     ports of 127.0.0.1 that were free.  Settings and logs are in a temporary
     folder.

     What is sent, answered and run goes to record.txt of the case's folder.

   ERRORS
     A setup that fails ends all processes and exits with R2_NOT_RUN.  */

#ifndef RIG2_H
#define RIG2_H

#include <pthread.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

enum
{
  R2_HELD = 0,
  R2_BROKEN = 1,
  R2_NOT_RUN = 2,
};

typedef struct
{
  char name[32];
  uint16_t front_port;
  uint16_t ready_port;
  uint16_t directory_port;
  uint16_t gossip_port;
  char settings[128];
  char log[128];
  pid_t pid;
} R2Daemon;

typedef struct
{
  const char *zone;
  const char *region;
  int memory_mb;
  int files_max;
  uint16_t store_port; /* of a proxy; 0: the store itself */
} R2Machine;

/* Forwards connections to the store.  While it is cut, it resets them, as a
   store does that turns a machine away.  */
typedef struct
{
  uint16_t port;
  int listen_fd;
  pthread_mutex_t lock;
  bool is_cut;
  int fds[64]; /* of the open connections, both sides; -1: none */
} R2Proxy;

/* A request that an upstream runs.  */
typedef struct
{
  char id[64]; /* X-Comfreywalk-Attempt-Id */
  char path[256];
  char tenant[64]; /* X-Comfreywalk-Tenant, or empty */
  struct R2Upstream *upstream;
} R2Run;

typedef struct R2Upstream
{
  char id[32];
  const char *service;
  const char *zone;
  int slots;
  int service_ms;
  void (*on_run) (const R2Run *run); /* may be NULL */
  uint16_t port;
  int listen_fd;
  int64_t born_ms;
  uint32_t sequence;
  pthread_mutex_t lock;
  int running;
  int fds[256]; /* of its connections; -1: none */
  bool is_down;
} R2Upstream;

/* Ends an upstream as a crash of its process does; it starts again
   R2_CRASH_MS later, with a new id.  */
#define R2_CRASH_MS 3000
void r2_crash_upstream (R2Upstream *upstream);

typedef struct
{
  int status; /* 0: no complete answer */
  size_t body_bytes;
} R2Answer;

/* Whether the disruption takes place.  */
bool r2_has_trouble (void);
/* Seconds since r2_start.  */
double r2_now_s (void);
void r2_sleep_ms (int64_t ms);
/* Writes a line with the time since the start to record.txt.  */
void r2_record (const char *format, ...)
    __attribute__ ((format (printf, 1, 2)));
void r2_fail (const char *what) __attribute__ ((noreturn));

/* Opens FOLDER/record.txt and starts the store.  */
void r2_start (const char *folder);
/* Ends all processes, prints the verdict and returns STATUS.  */
int r2_stop (int status);

/* Writes the value of KEY to the store, as its other users do.  */
void r2_put (const char *key, const char *value);

/* Calls the PATH of the store's control address, see standin/estate.h.  */
void r2_control (const char *path);

void r2_start_proxy (R2Proxy *proxy);
void r2_cut_proxy (R2Proxy *proxy, bool is_cut);

void r2_start_daemon (R2Daemon *daemon, const R2Machine *machine);
/* Kills it with SIGKILL, and starts it again with the same settings.  */
void r2_kill_daemon (R2Daemon *daemon);
void r2_restart_daemon (R2Daemon *daemon);
/* Whether the daemon's readiness address responds with 200.  */
bool r2_is_ready (const R2Daemon *daemon);
/* Waits until it does.  */
void r2_wait_ready (const R2Daemon *daemon);

/* Listens, serves, and writes its entry to the store every 1.5 s.  */
void r2_start_upstream (R2Upstream *upstream);

/* Connects to PORT of 127.0.0.1; -1 if that fails.  */
int r2_connect (uint16_t port);
/* The same from the address SOURCE of the loopback range.  */
int r2_connect_from (const char *source, uint16_t port);
bool r2_send (int fd, const char *bytes, size_t length);
/* Sets ID, at least 32 bytes, to a new attempt id.  */
void r2_new_id (char *id);
/* Sends a GET for PATH of host a.example with KEY, or without one if it is
   NULL, over a connection of its own and reads the whole answer.  */
void r2_get (uint16_t port, const char *path, const char *key, int deadline_ms,
             R2Answer *answer);
/* The same from the address SOURCE of the loopback range.  */
void r2_get_from (const char *source, uint16_t port, const char *path,
                  const char *key, int deadline_ms, R2Answer *answer);

#endif
