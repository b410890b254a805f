#include "bench/bench.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "standin/serve.h"

#define REPEAT_COUNT 5
#define SAMPLE_COUNT 400
#define P50_INDEX (SAMPLE_COUNT / 2)
#define P99_INDEX (SAMPLE_COUNT * 99 / 100)
#define BUFFER_BYTES 8192
#define TIMEOUT_S 5

static int
open_connection (const char *address)
{
  struct sockaddr_in remote = { .sin_family = AF_INET };
  struct timeval timeout = { .tv_sec = TIMEOUT_S };
  g_autofree char *ip = NULL;
  uint16_t port;
  int fd, on = 1;

  if (!si_split_address (address, &ip, &port)
      || inet_pton (AF_INET, ip, &remote.sin_addr) != 1)
    return -1;
  remote.sin_port = htons (port);
  fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
  if (connect (fd, (struct sockaddr *)&remote, sizeof remote) == 0)
    return fd;
  close (fd);
  return -1;
}

static gboolean
read_response (int fd)
{
  char buffer[BUFFER_BYTES + 1];
  gsize used_bytes = 0;

  while (used_bytes < BUFFER_BYTES)
    {
      ssize_t read_bytes
          = read (fd, buffer + used_bytes, BUFFER_BYTES - used_bytes);
      const char *end, *field;

      if (read_bytes <= 0)
        return FALSE;
      used_bytes += (gsize)read_bytes;
      buffer[used_bytes] = '\0';
      end = strstr (buffer, "\r\n\r\n");
      field = strcasestr (buffer, "content-length:");
      if (end == NULL || field == NULL)
        continue;
      if (used_bytes >= (gsize)(end + 4 - buffer)
                            + g_ascii_strtoull (field + 15, NULL, 10))
        return strncmp (buffer, "HTTP/1.1 200", 12) == 0;
    }
  return FALSE;
}

static int
compare_times (const void *a, const void *b)
{
  int64_t x = *(const int64_t *)a, y = *(const int64_t *)b;
  return x < y ? -1 : x > y;
}

/* Sets the median and the 99th percentile of the latency of requests that are
   sent one after the other on one connection.  */
static gboolean
time_requests (const char *address, const char *path, double *p50_us,
               double *p99_us)
{
  g_autofree char *request = g_strdup_printf (
      "GET %s HTTP/1.1\r\nHost: bench\r\nAuthorization: Bearer key-c1\r\n"
      "X-Work-Ms: 0\r\n\r\n",
      path);
  int64_t times_us[SAMPLE_COUNT], median_us, tail_us;
  int fd = open_connection (address);
  gboolean ok = fd >= 0;

  for (int i = -1; i < SAMPLE_COUNT && ok; i++)
    {
      int64_t start_us = g_get_monotonic_time ();
      ok = write (fd, request, strlen (request)) == (ssize_t)strlen (request)
           && read_response (fd);
      /* The first request is not counted: the daemon may have to open a
         connection to the target for it.  */
      if (i >= 0)
        times_us[i] = g_get_monotonic_time () - start_us;
    }
  if (fd >= 0)
    close (fd);
  if (!ok)
    return FALSE;
  qsort (times_us, SAMPLE_COUNT, sizeof times_us[0], compare_times);
  median_us = times_us[P50_INDEX];
  tail_us = times_us[P99_INDEX];
  *p50_us = (double)median_us;
  *p99_us = (double)tail_us;
  return TRUE;
}

gboolean
bn_run_added_latency (const BnOptions *options, GError **error)
{
  SiHarnessOptions harness_options = { 0 };
  /* One customer sends all requests, one after the other, far faster than the
     rate that it has in the other scenarios allows.  */
  SiFixtureOptions fixture = { .rate_per_s = 20000 };
  SiHarness *harness
      = bn_start_deployment (options, &harness_options, &fixture, error);
  BnTable *table;
  gboolean ok = TRUE;

  if (harness == NULL)
    return FALSE;
  table = bn_table_new (options, "added");
  for (int repeat = 0; repeat < REPEAT_COUNT && ok; repeat++)
    {
      const SiVm *vm = g_ptr_array_index (si_vms (harness), 0);
      const SiTarget *target = g_ptr_array_index (si_targets (harness), 0);
      g_autofree char *path = g_strdup_printf ("/%s/view", target->service);
      double direct_p50_us, direct_p99_us, daemon_p50_us, daemon_p99_us;

      ok = time_requests (target->address, path, &direct_p50_us,
                          &direct_p99_us)
           && time_requests (vm->http_address, path, &daemon_p50_us,
                             &daemon_p99_us);
      if (!ok)
        break;
      bn_table_add (table, "direct_p50", "us", direct_p50_us);
      bn_table_add (table, "through_daemon_p50", "us", daemon_p50_us);
      bn_table_add (table, "added_p50", "us", daemon_p50_us - direct_p50_us);
      bn_table_add (table, "added_p99", "us", daemon_p99_us - direct_p99_us);
    }
  bn_table_finish (table);
  if (!ok)
    g_set_error (error, SI_ERROR, SI_ERROR_HTTP,
                 "a request of the latency comparison did not get status 200");
  si_harness_free (harness);
  return ok;
}
