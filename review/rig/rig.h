/* rig.h - starts a small deployment on loopback for the review's cases

   DESCRIPTION
     Starts the project's stand-in of the platform's store and daemons with
     the command of the deploy file, each as a process of its own, and serves
     upstreams and sends requests from threads of the calling process.  All
     addresses are of 127.0.0.1, with free ports.  Settings files and logs are
     in a temporary folder.  rig_stop ends every process that was started and
     removes the folder.

     What is sent, answered and run goes to record.txt of the case's folder.

   ERRORS
     A setup that fails ends the program with status 2.  */

#ifndef RIG_H
#define RIG_H

#include <pthread.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <sys/types.h>

#define RIG_DAEMONS_MAX 8
#define RIG_ID_MAX 40
#define RIG_HEAD_MAX 16384

/* Exit statuses of a case.  */
enum
{
  RIG_HELD = 0,
  RIG_BROKEN = 1,
  RIG_NOT_RUN = 2,
};

typedef struct
{
  char name[32];
  const char *zone;
  const char *region;
  uint16_t front_port;
  uint16_t ready_port;
  uint16_t directory_port;
  uint16_t gossip_port;
  pid_t pid;
} RigDaemon;

/* A request at an upstream.  */
typedef struct
{
  struct RigUpstream *upstream;
  int fd;
  char id[RIG_ID_MAX]; /* X-Comfreywalk-Attempt-Id */
  char path[256];
  char *late_copy; /* of this connection, for the handler; freed with it */
} RigExchange;

/* Answers one request; returns false to close the connection.  */
typedef bool (*RigHandler) (RigExchange *exchange);

typedef struct RigUpstream
{
  char id[32];
  const char *service;
  const char *zone;
  const char *state; /* in its entry */
  uint16_t port;
  RigHandler handler;
  int listen_fd; /* -1: crashed */
  int64_t born_ms;
  uint32_t sequence;
  pthread_mutex_t lock; /* of conns and the fields below */
  int conns[1024];      /* -1: closed */
  int conn_count;
  int running; /* for the handler */
  int answers; /* the same */
  int doubled; /* the same */
} RigUpstream;

typedef struct
{
  const char *method;
  const char *path;
  const char *id; /* NULL: a new one */
  const char *key;
  int deadline_ms;
  size_t body_bytes; /* of zeros as digits */
} RigRequest;

typedef struct
{
  char id[RIG_ID_MAX];
  int status; /* 0: no complete answer */
  double retry_after_s;
} RigAnswer;

/* Whether the disruption is to take place.  */
bool rig_has_trouble (void);
int64_t rig_now_us (void);
double rig_now_s (void);
void rig_sleep_ms (int64_t ms);
/* Writes a line with the time since the start to record.txt.  */
void rig_record (const char *format, ...)
    __attribute__ ((format (printf, 1, 2)));
void rig_fail (const char *what) __attribute__ ((noreturn));

/* Opens FOLDER/record.txt and starts the store; the working directory is the
   root of the repository.  */
void rig_start (const char *folder);
/* Ends all processes and prints the verdict; returns STATUS.  */
int rig_stop (int status);

/* Writes the value of KEY to the store.  */
void rig_put (const char *key, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));
/* Writes a configuration with one route, /o/ of host a.example to the service
   sv, and the tenant t1 with the key k1.  */
void rig_put_config (const char *kind);
/* The same with an allotment of the tenant; else it is 5000 and 5000.  */
void rig_put_config_with (const char *kind, int rate_per_s, int burst);

RigDaemon *rig_start_daemon (const char *zone, const char *region);
/* Kills with SIGKILL, and starts again with the same settings.  */
void rig_kill_daemon (RigDaemon *daemon);
void rig_restart_daemon (RigDaemon *daemon);
void rig_wait_ready (const RigDaemon *daemon);

void rig_start_upstream (RigUpstream *upstream, const char *id,
                         const char *zone, RigHandler handler);
/* Writes the upstream's entry to the store.  */
void rig_register (RigUpstream *upstream);
/* Resets all connections and refuses new ones.  */
void rig_crash_upstream (RigUpstream *upstream);
/* Starts a crashed upstream again, at the same address.  */
void rig_restart_upstream (RigUpstream *upstream);

/* Formats an answer with the id and HEADERS, lines that end with CRLF.  */
char *rig_format_answer (const RigExchange *exchange, int status,
                         const char *headers, const char *body);
bool rig_send (int fd, const char *bytes, size_t length);

/* Connects to the front address of DAEMON; -1 if that fails.  */
int rig_connect (const RigDaemon *daemon);
/* Sends REQUEST on FD, which stays open, and reads the answer.  */
void rig_exchange (int fd, const RigRequest *request, RigAnswer *answer);
/* The same on a connection of its own.  */
void rig_request (const RigDaemon *daemon, const RigRequest *request,
                  RigAnswer *answer);

#endif
