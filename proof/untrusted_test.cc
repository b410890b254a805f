/* Callers of the daemon's own interface that hold bodies short of their end.
   The crowd and the bounds are fixed.  */

#include <arpa/inet.h>
#include <fcntl.h>
#include <fstream>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

#include "proof/run.h"

namespace
{

constexpr uint32_t kMemoryMb = 128;
/* What the crowd may cost: the budget for bodies, that of connections, and
   what is not counted.  */
constexpr int64_t kCostBoundKb = (27 + 13 + 16) * 1024;
constexpr size_t kCrowd = 96;
/* Of legal size; the last byte is not sent.  */
constexpr size_t kBodyBytes = 1024 * 1024;
/* Passes over the crowd, 10 ms apart.  */
constexpr int kRounds = 300;

/* Value of a line of /proc/PID/status in KB; 0 once the process ended.  */
int64_t
memory_kb (pid_t pid, const std::string &name)
{
  std::ifstream status ("/proc/" + std::to_string (pid) + "/status");
  for (std::string line; std::getline (status, line);)
    if (line.rfind (name + ":", 0) == 0)
      return std::stoll (line.substr (name.size () + 1));
  return 0;
}

int
open_connection (const std::string &address)
{
  sockaddr_in peer = {};
  size_t colon = address.find (':');
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);

  peer.sin_family = AF_INET;
  peer.sin_port = htons ((uint16_t)std::stoi (address.substr (colon + 1)));
  inet_pton (AF_INET, address.substr (0, colon).c_str (), &peer.sin_addr);
  (void)!connect (fd, (sockaddr *)&peer, sizeof peer);
  return fd;
}

/* Sends as much of TEXT from AT as the connection takes.  FALSE once it was
   closed.  */
bool
send_rest (int fd, const std::string &text, size_t &at)
{
  char byte;

  while (at < text.size ())
    {
      ssize_t sent
          = send (fd, text.data () + at, text.size () - at, MSG_NOSIGNAL);
      if (sent < 0)
        return errno == EAGAIN || errno == ENOTCONN || errno == EINPROGRESS;
      at += (size_t)sent;
    }
  return recv (fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0 && errno == EAGAIN;
}

}

/* Guards against a listener without limits: bodies of legal size that stay
   incomplete took a daemon over its memory, which ends it with all its
   requests.  */
TEST (Untrusted, BodiesShortOfTheirEnd)
{
  /* Memory that the sanitizer keeps after it was freed is not the daemon's.
   */
  setenv ("ASAN_OPTIONS",
          "quarantine_size_mb=1:thread_local_quarantine_size_kb=64", 0);
  TestRunOptions options;
  options.memory_mb = kMemoryMb;
  TestRun run (options);
  SiVm *vm = si_find_vm (run.harness (), "vm1");
  std::string path
      = std::string ("/") + si_fixture_service (run.harness (), 0) + "/view/a";
  std::string text = "POST " + path
                     + " HTTP/1.1\r\nHost: a\r\nX-Api-Key: key-c1\r\n"
                       "Content-Length: "
                     + std::to_string (kBodyBytes) + "\r\n\r\n"
                     + std::string (kBodyBytes - 1, 'x');
  std::vector<int> fds (kCrowd, -1);
  std::vector<size_t> sent (kCrowd, 0);
  int64_t before_kb = memory_kb (vm->pid, "VmRSS");
  int64_t peak_kb = 0;

  ASSERT_GT (before_kb, 0);
  for (int round = 0; round < kRounds && peak_kb <= before_kb + kCostBoundKb;
       round++)
    {
      for (size_t i = 0; i < kCrowd; i++)
        if (fds[i] == -1 || !send_rest (fds[i], text, sent[i]))
          {
            if (fds[i] != -1)
              close (fds[i]);
            fds[i] = open_connection (vm->http_address);
            sent[i] = 0;
          }
      si_sleep_ms (10);
      peak_kb = memory_kb (vm->pid, "VmHWM");
    }
  printf ("VmRSS before %lld KB, VmHWM %lld KB\n", (long long)before_kb,
          (long long)peak_kb);
  EXPECT_GT (peak_kb, 0);
  EXPECT_LE (peak_kb, before_kb + kCostBoundKb);
  for (int fd : fds)
    close (fd);
  const char *headers[] = { "X-Api-Key: key-c1", nullptr };
  int status = 0;
  for (int i = 0; i < 100 && status != 200; i++)
    {
      SiResponse answer = {};
      if (si_http_request ("GET", vm->http_address, path.c_str (), headers,
                           nullptr, 4000, &answer, nullptr))
        status = answer.status;
      si_response_clear (&answer);
      si_sleep_ms (50);
    }
  EXPECT_EQ (200, status);
}
