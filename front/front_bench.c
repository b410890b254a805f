/* Measures requests per second of an empty libevhtp handler and of front, with
   32 persistent connections to a server with one event loop.  The cost of a
   lookup is compared by the CPU time of the server's thread for each request,
   since other processes on the host disturb rates.

   Usage: front_bench [ROUNDS [SECONDS]]  */

#include <arpa/inet.h>
#include <errno.h>
#include <evhtp/evhtp.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include "front/front.h"

#define CONNECTIONS 32
#define LOAD_THREADS 2
#define ROUNDS_MAX 100
#define SECONDS_MAX 30

static const char request_text[]
    = "GET /v1/lookup?service=boards HTTP/1.1\r\nHost: 127.0.0.1:8001\r\n"
      "User-Agent: bench\r\nAccept: */*\r\n\r\n";

static const char lookup_body[]
    = "{\"service\":\"boards\",\"ttl_ms\":5000,\"vms\":["
      "{\"name\":\"vm1\",\"address\":\"127.0.0.1:8001\",\"zone\":"
      "\"baltic-1\"},"
      "{\"name\":\"vm2\",\"address\":\"127.0.0.1:8002\",\"zone\":"
      "\"baltic-2\"}]}";

typedef struct
{
  const char *name;
  uint16_t (*start) (struct event_base *base, void **server);
  void (*stop) (void *server);
} ServerType;

typedef struct
{
  struct event_base *base;
  int64_t cpu_ns;
} ServerLoop;

typedef struct
{
  uint16_t port;
  int64_t end_ns;
  uint64_t count;
  gboolean failed;
} LoadThread;

static int64_t
clock_ns (clockid_t clock)
{
  struct timespec now;

  clock_gettime (clock, &now);
  return (int64_t)now.tv_sec * 1000000000 + now.tv_nsec;
}

static void
respond_empty (evhtp_request_t *request, void *data)
{
  (void)data;
  evhtp_send_reply (request, EVHTP_RES_OK);
}

/* Starts a server whose handler sends an empty response; returns its port.  */
static uint16_t
start_empty (struct event_base *base, void **server)
{
  evhtp_t *evhtp = evhtp_new (base, NULL);
  struct sockaddr_in address = { 0 };
  socklen_t length = sizeof address;

  evhtp_enable_flag (evhtp, EVHTP_FLAG_ENABLE_NODELAY);
  evhtp_set_gencb (evhtp, respond_empty, NULL);
  g_assert (evhtp_bind_socket (evhtp, "127.0.0.1", 0, 128) == 0);
  getsockname (evconnlistener_get_fd (evhtp->server),
               (struct sockaddr *)&address, &length);
  *server = evhtp;
  return ntohs (address.sin_port);
}

static void
stop_empty (void *server)
{
  evhtp_unbind_socket (server);
  evhtp_free (server);
}

static void
respond_lookup (FrRequest *request, void *data)
{
  (void)data;
  fr_respond (request, 200, NULL, lookup_body, sizeof lookup_body - 1);
}

static uint16_t
start_front (struct event_base *base, void **server)
{
  FrOptions options = { .base = base,
                        .listen = "127.0.0.1:0",
                        .on_request = respond_lookup };
  FrServer *front = fr_new (&options, NULL);

  g_assert (front != NULL);
  *server = front;
  return fr_port (front);
}

static void
stop_front (void *server)
{
  fr_free (server);
}

static const ServerType server_types[] = {
  { "empty libevhtp handler", start_empty, stop_empty },
  { "front, lookup response", start_front, stop_front },
};

static void *
run_server_loop (void *data)
{
  ServerLoop *loop = data;

  event_base_loop (loop->base, EVLOOP_NO_EXIT_ON_EMPTY);
  loop->cpu_ns = clock_ns (CLOCK_THREAD_CPUTIME_ID);
  return NULL;
}

static int
connect_to (uint16_t port)
{
  struct sockaddr_in address = { .sin_family = AF_INET,
                                 .sin_port = htons (port),
                                 .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int on = 1;

  if (fd < 0 || connect (fd, (struct sockaddr *)&address, sizeof address) != 0)
    return -1;
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return fd;
}

/* Sends the first request and returns the length of its response; all
   responses are equal.  Returns 0 on failure.  */
static gsize
request_first_response (int fd)
{
  char bytes[HT_HEAD_MAX_BYTES];
  gsize received_bytes = 0;
  gsize head_bytes = 0;
  g_auto (HtHead) head = { 0 };

  if (write (fd, request_text, sizeof request_text - 1) < 0)
    return 0;
  while (head_bytes == 0)
    {
      ssize_t read_bytes
          = read (fd, bytes + received_bytes, sizeof bytes - received_bytes);
      if (read_bytes <= 0)
        return 0;
      received_bytes += (gsize)read_bytes;
      head_bytes = ht_head_length (bytes, received_bytes, 0);
    }
  if (!ht_parse_response (bytes, head_bytes, "GET", &head, NULL)
      || head.status != 200)
    return 0;
  while (received_bytes < head_bytes + head.content_length_bytes)
    {
      ssize_t read_bytes
          = read (fd, bytes + received_bytes, sizeof bytes - received_bytes);
      if (read_bytes <= 0)
        return 0;
      received_bytes += (gsize)read_bytes;
    }
  return received_bytes;
}

static gboolean
open_connections (LoadThread *load, int epoll, int *fds, int count,
                  gsize *response_bytes)
{
  for (int i = 0; i < count; i++)
    {
      struct epoll_event event
          = { .events = EPOLLIN, .data.u32 = (uint32_t)i };
      fds[i] = connect_to (load->port);
      if (fds[i] < 0
          || (*response_bytes = request_first_response (fds[i])) == 0)
        return FALSE;
      epoll_ctl (epoll, EPOLL_CTL_ADD, fds[i], &event);
      if (write (fds[i], request_text, sizeof request_text - 1) < 0)
        return FALSE;
    }
  return TRUE;
}

static void *
run_load_thread (void *data)
{
  enum
  {
    CONNECTIONS_PER_THREAD = CONNECTIONS / LOAD_THREADS
  };
  LoadThread *load = data;
  int epoll = epoll_create1 (EPOLL_CLOEXEC);
  int fds[CONNECTIONS_PER_THREAD] = { 0 };
  gsize received_bytes[CONNECTIONS_PER_THREAD] = { 0 };
  gsize response_bytes = 0;

  load->failed = !open_connections (load, epoll, fds, CONNECTIONS_PER_THREAD,
                                    &response_bytes);
  while (!load->failed && clock_ns (CLOCK_MONOTONIC) < load->end_ns)
    {
      struct epoll_event events[CONNECTIONS_PER_THREAD];
      int ready = epoll_wait (epoll, events, CONNECTIONS_PER_THREAD, 100);
      for (int i = 0; i < ready; i++)
        {
          uint32_t index = events[i].data.u32;
          char bytes[4096];
          ssize_t read_bytes = read (fds[index], bytes, sizeof bytes);
          load->failed |= read_bytes <= 0;
          received_bytes[index] += read_bytes > 0 ? (gsize)read_bytes : 0;
          if (received_bytes[index] < response_bytes)
            continue;
          received_bytes[index] = 0;
          load->count++;
          load->failed
              |= write (fds[index], request_text, sizeof request_text - 1) < 0;
        }
    }
  for (int i = 0; i < CONNECTIONS_PER_THREAD; i++)
    if (fds[i] > 0)
      close (fds[i]);
  close (epoll);
  return NULL;
}

typedef struct
{
  double requests_per_s;
  double cpu_ns; /* of the server's thread for each request */
} Result;

static Result
measure (const ServerType *type, int seconds)
{
  ServerLoop loop = { .base = event_base_new () };
  void *server;
  uint16_t port = type->start (loop.base, &server);
  LoadThread loads[LOAD_THREADS];
  pthread_t load_threads[LOAD_THREADS];
  pthread_t loop_thread;
  uint64_t count = 0;

  pthread_create (&loop_thread, NULL, run_server_loop, &loop);
  for (int i = 0; i < LOAD_THREADS; i++)
    {
      loads[i] = (LoadThread){ .port = port,
                               .end_ns = clock_ns (CLOCK_MONOTONIC)
                                         + (int64_t)seconds * 1000000000 };
      pthread_create (&load_threads[i], NULL, run_load_thread, &loads[i]);
    }
  for (int i = 0; i < LOAD_THREADS; i++)
    {
      pthread_join (load_threads[i], NULL);
      g_assert (!loads[i].failed);
      count += loads[i].count;
    }
  event_base_loopbreak (loop.base);
  /* event_base_loopbreak does not wake a loop that waits without a timer, but
     a new connection does.  */
  close (connect_to (port));
  pthread_join (loop_thread, NULL);
  type->stop (server);
  event_base_free (loop.base);
  return (Result){ (double)count / seconds,
                   (double)loop.cpu_ns / (double)count };
}

static int
compare_doubles (const void *a, const void *b)
{
  double difference = *(const double *)a - *(const double *)b;

  return (difference > 0) - (difference < 0);
}

static double
median (double *values, int count)
{
  qsort (values, (size_t)count, sizeof values[0], compare_doubles);
  return values[count / 2];
}

int
main (int argc, char **argv)
{
  int rounds = argc > 1 ? atoi (argv[1]) : 5;
  int seconds = argc > 2 ? atoi (argv[2]) : 2;
  double rates[2][ROUNDS_MAX];
  double costs[2][ROUNDS_MAX];
  double rate[2];
  double cost[2];

  rounds = CLAMP (rounds, 1, ROUNDS_MAX);
  seconds = CLAMP (seconds, 1, SECONDS_MAX);
  for (int round = 0; round < rounds; round++)
    for (int i = 0; i < 2; i++)
      {
        Result result = measure (&server_types[i], seconds);
        rates[i][round] = result.requests_per_s;
        costs[i][round] = result.cpu_ns;
      }
  for (int i = 0; i < 2; i++)
    {
      rate[i] = median (rates[i], rounds);
      cost[i] = median (costs[i], rounds);
      printf ("%-24s %9.0f requests/s %8.0f ns of server time a request\n",
              server_types[i].name, rate[i], cost[i]);
    }
  printf ("front / empty: rate %.3f, server time %.3f\n", rate[1] / rate[0],
          cost[1] / cost[0]);
  return EXIT_SUCCESS;
}
