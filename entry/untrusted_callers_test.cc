/* Callers that send requests ahead, or only connect, and never read, or that
   hold bodies, responses or connections without end: a real daemon with low
   limits must stay within its memory and its open files, and answer others.

   The crowd, the bounds and the profiles are fixed.  A crowd ends once a bound
   is exceeded, so that a failing test does not use up the machine.  */

#include <gtest/gtest.h>

#include <algorithm>
#include <atomic>
#include <fstream>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include <arpa/inet.h>
#include <dirent.h>
#include <fcntl.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

extern "C"
{
#include "standin/harness.h"
#include "standin/process.h"
}

namespace
{

constexpr int kMemoryMb = 160;
constexpr int64_t kMemoryBoundKb = kMemoryMb * 1024 * 8 / 10;
constexpr int kFilesMax = 100;
constexpr size_t kCrowd = 32;
/* More than files_max over three listeners.  */
constexpr size_t kIdleCrowd = 48;
/* Of one connection; the kernel holds a part of it.  */
constexpr size_t kSentMaxBytes = 24 * 1024 * 1024;
/* Passes over the crowd, 10 ms apart.  */
constexpr int kRounds = 500;
constexpr uint32_t kWaitMs = 15000;
/* Small, so that responses that are not read stay at the daemon.  */
constexpr int kReceiveBytes = 4096;

std::string
FreeAddress ()
{
  return "127.0.0.1:" + std::to_string (si_find_free_port ());
}

/* One connection of the crowd, which is opened again when it is closed.  */
struct Hostile
{
  std::string address;
  std::string request;
  std::string start = ""; /* sent once, before the requests */
  size_t sent_max_bytes = kSentMaxBytes;
  std::string source = ""; /* own address; empty: any */
  int fd = -1;
  size_t sent_bytes = 0;

  void
  Open ()
  {
    struct sockaddr_in name = {};
    int size = kReceiveBytes;

    name.sin_family = AF_INET;
    name.sin_port = htons (
        (uint16_t)std::stoi (address.substr (address.find (':') + 1)));
    name.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
    fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof size);
    Bind ();
    (void)!connect (fd, (struct sockaddr *)&name, sizeof name);
    sent_bytes = 0;
    if (!start.empty ())
      (void)!send (fd, start.data (), start.size (), MSG_NOSIGNAL);
  }

  void
  Bind ()
  {
    struct sockaddr_in name = {};

    if (source.empty ())
      return;
    name.sin_family = AF_INET;
    inet_pton (AF_INET, source.c_str (), &name.sin_addr);
    (void)!bind (fd, (struct sockaddr *)&name, sizeof name);
  }

  void
  Close ()
  {
    if (fd != -1)
      close (fd);
    fd = -1;
  }

  /* Reads what has arrived.  FALSE once the peer has closed.  */
  bool
  Discard ()
  {
    char bytes[4096];
    ssize_t got;

    while ((got = recv (fd, bytes, sizeof bytes, MSG_DONTWAIT)) > 0)
      continue;
    return got < 0 && errno == EAGAIN;
  }

  /* Sends as much as the connection takes at once, at most CHUNK times.  */
  void
  Send (const std::string &chunk)
  {
    if (fd == -1)
      Open ();
    for (int i = 0; i < 16 && sent_bytes < sent_max_bytes; i++)
      {
        size_t offset = sent_bytes % chunk.size ();
        ssize_t sent = send (
            fd, chunk.data () + offset,
            std::min (chunk.size () - offset, sent_max_bytes - sent_bytes),
            MSG_NOSIGNAL);
        if (sent > 0)
          sent_bytes += (size_t)sent;
        else if (errno == EAGAIN)
          return;
        else
          {
            Close ();
            return;
          }
      }
  }
};

class UntrustedCallers : public testing::Test
{
protected:
  void
  SetUp () override
  {
    folder
        = testing::TempDir () + "untrusted-" + std::to_string (getpid ()) + "-"
          + testing::UnitTest::GetInstance ()->current_test_info ()->name ();
    ASSERT_EQ (g_mkdir_with_parents (folder.c_str (), 0700), 0);
    /* Memory that the sanitizer keeps after it was freed is not the
       daemon's.  */
    const char *options = getenv ("ASAN_OPTIONS");
    setenv ("ASAN_OPTIONS",
            (std::string (options != nullptr ? options : "")
             + ":quarantine_size_mb=1:thread_local_quarantine_size_kb=64")
                .c_str (),
            1);
    StartEstate ();
    StartDaemon ();
  }

  void
  TearDown () override
  {
    int status = 0;
    for (Hostile &hostile : crowd)
      hostile.Close ();
    if (daemon_pid != 0 && si_process_signal (daemon_pid, SIGTERM))
      {
        EXPECT_TRUE (si_process_wait (daemon_pid, kWaitMs, &status));
        EXPECT_TRUE (WIFEXITED (status) && WEXITSTATUS (status) == 0)
            << status << "\n"
            << LogTail ();
      }
    if (estate_pid != 0)
      si_process_kill (estate_pid);
  }

  void
  StartEstate ()
  {
    std::string target = FreeAddress ();
    std::string t1 = "t1=" + target;
    std::string log = folder + "/estate.log";

    store = FreeAddress ();
    control = FreeAddress ();
    const char *argv[] = { CW_BIN "/standin/standin-estate",
                           "--store",
                           store.c_str (),
                           "--control",
                           control.c_str (),
                           t1.c_str (),
                           nullptr };
    estate_pid = si_process_spawn (argv, log.c_str (), nullptr);
    ASSERT_NE (estate_pid, 0);
    ASSERT_TRUE (
        WaitFor ([&] { return GetStatus (control, "/runs") == 200; }));
    PutConfig ("r1", "");
    Put ("servers/t1",
         "{\"service\":\"s\",\"address\":\"" + target
             + "\",\"zone\":\"a1\",\"version\":\"v1\",\"slots\":3,"
               "\"state\":\"ready\",\"cold_remaining_s\":0,\"sequence\":1,"
               "\"born\":1000}");
  }

  void
  StartDaemon ()
  {
    std::string settings = folder + "/vm1.json";

    log_path = folder + "/vm1.log";
    front = FreeAddress ();
    ready = FreeAddress ();
    directory = FreeAddress ();
    std::ofstream (settings)
        << "{\"vm\":\"vm1\",\"zone\":\"a1\",\"region\":\"a\",\"zones\":{"
        << "\"a1\":\"a\"},\"front_listen\":\"" << front
        << "\",\"ready_listen\":\"" << ready << "\",\"directory_listen\":\""
        << directory << "\",\"address\":\"127.0.0.1\",\"gossip_port\":"
        << si_find_free_port () << ",\"store_address\":\"" << store
        << "\",\"files_max\":" << files_max << ",\"memory_mb\":" << kMemoryMb
        << ",\"bounds\":{\"grace_s\":4,\"revoke_s\":3}}\n";
    const char *argv[] = { CW_BIN "/daemon/comfreywalkd", "--platform",
                           "--settings", settings.c_str (), nullptr };
    daemon_pid = si_process_spawn (argv, log_path.c_str (), nullptr);
    ASSERT_NE (daemon_pid, 0);
    ASSERT_TRUE (WaitFor ([&] { return GetStatus (ready, "/ready") == 200; }))
        << LogTail ();
    ASSERT_TRUE (WaitFor ([&] { return SendOrdinary () == 200; }))
        << LogTail ();
  }

  template <typename Condition>
  bool
  WaitFor (Condition condition)
  {
    for (uint32_t waited = 0; waited < kWaitMs; waited += 50)
      {
        if (condition ())
          return true;
        si_sleep_ms (50);
      }
    return condition ();
  }

  void
  Put (const std::string &key, const std::string &value)
  {
    g_autoptr (GError) error = nullptr;
    EXPECT_TRUE (si_post (control.c_str (), ("/put?key=" + key).c_str (),
                          value.c_str (), &error))
        << error->message;
  }

  /* LIMITS: a field of the configuration with a comma, or empty.  */
  void
  PutConfig (const std::string &version, const std::string &limits,
             const std::string &tenants
             = "\"c1\":{\"api_keys\":[\"key-1\"],\"rate_per_s\":0,"
               "\"burst\":0}")
  {
    Put ("op/config",
         "{\"version\":\"" + version + "\"," + limits
             + "\"routes\":{\"read\":{\"host\":\"127.0.0.1\","
               "\"prefix\":\"/read/\",\"kind\":\"safe\",\"timeout_s\":3,"
               "\"target_latency_s\":0.5,\"priority\":1,\"service\":\"s\","
               "\"max_attempts\":2,\"sticky\":false,\"anonymous\":false}},"
               "\"services\":{\"s\":{\"max_connections\":100,"
               "\"cold_start_s\":1,\"cold_per_s\":5}},\"tenants\":{"
             + tenants + "}}");
  }

  int
  GetStatus (const std::string &address, const std::string &path,
             const char *const *headers = nullptr)
  {
    SiResponse answer = {};
    int status = 0;
    if (si_http_request ("GET", address.c_str (), path.c_str (), headers,
                         nullptr, 4000, &answer, nullptr))
      status = answer.status;
    si_response_clear (&answer);
    return status;
  }

  int
  SendOrdinary ()
  {
    std::string key = "Authorization: Token " + ordinary_key;
    const char *headers[]
        = { "X-Comfreywalk-Attempt-Id: ordinary",
            "X-Comfreywalk-Deadline-Ms: 2000", key.c_str (), nullptr };
    return GetStatus (front, "/read/small", headers);
  }

  std::string
  LogTail ()
  {
    std::stringstream text;
    text << std::ifstream (log_path).rdbuf ();
    std::string all = text.str ();
    return all.substr (all.size () - std::min<size_t> (all.size (), 4000));
  }

  int64_t
  GetMetric (const std::string &name)
  {
    g_autofree char *text = si_get_text (ready.c_str (), "/metrics", nullptr);
    std::istringstream lines (text != nullptr ? text : "");
    for (std::string line; std::getline (lines, line);)
      if (line.rfind (name + " ", 0) == 0)
        return std::stoll (line.substr (name.size () + 1));
    return -1;
  }

  /* Value of a line of /proc/PID/status in KB; 0 once the process ended.  */
  int64_t
  GetMemoryKb (const std::string &name)
  {
    std::ifstream status ("/proc/" + std::to_string (daemon_pid) + "/status");
    for (std::string line; std::getline (status, line);)
      if (line.rfind (name + ":", 0) == 0)
        return std::stoll (line.substr (name.size () + 1));
    return 0;
  }

  int
  GetFilesBound () const
  {
    return files_max * 9 / 10;
  }

  int
  CountFiles ()
  {
    DIR *files
        = opendir (("/proc/" + std::to_string (daemon_pid) + "/fd").c_str ());
    int count = 0;

    if (files == nullptr)
      return 0;
    while (struct dirent *entry = readdir (files))
      count += entry->d_name[0] != '.';
    closedir (files);
    return count;
  }

  /* Whether the daemon runs and has exceeded no bound.  */
  bool
  IsWithinBounds ()
  {
    files_peak = std::max (files_peak, CountFiles ());
    return !si_process_ended (daemon_pid, nullptr)
           && GetMemoryKb ("VmHWM") <= memory_bound_kb
           && files_peak <= GetFilesBound ();
  }

  void
  AddCrowd (size_t count, const std::string &address,
            const std::string &request)
  {
    for (size_t i = 0; i < count; i++)
      crowd.push_back ({ address, request, "" });
  }

  /* Repeats the request of each connection until a bound is exceeded.  */
  void
  RunCrowd ()
  {
    std::vector<std::string> chunks;

    for (const Hostile &hostile : crowd)
      {
        std::string chunk;
        while (!hostile.request.empty () && chunk.size () < 64 * 1024)
          chunk += hostile.request;
        chunks.push_back (chunk);
      }
    for (int round = 0; round < kRounds && IsWithinBounds (); round++)
      {
        for (size_t i = 0; i < crowd.size (); i++)
          if (!chunks[i].empty ())
            crowd[i].Send (chunks[i]);
          else if (crowd[i].fd == -1)
            crowd[i].Open ();
        si_sleep_ms (10);
      }
  }

  /* Checks the daemon with the crowd connected, and after it has left.  */
  void
  CheckDaemon ()
  {
    bool is_alive = !si_process_ended (daemon_pid, nullptr);
    int64_t peak_kb = GetMemoryKb ("VmHWM");

    printf ("VmHWM %lld KB, VmRSS %lld KB, files %d\n", (long long)peak_kb,
            (long long)GetMemoryKb ("VmRSS"), files_peak);
    ASSERT_TRUE (is_alive) << LogTail ();
    EXPECT_LE (peak_kb, memory_bound_kb);
    EXPECT_LE (files_peak, GetFilesBound ());
    for (Hostile &hostile : crowd)
      hostile.Close ();
    EXPECT_TRUE (WaitFor ([&] { return SendOrdinary () == 200; }))
        << LogTail ();
    EXPECT_TRUE (WaitFor ([&] { return GetStatus (ready, "/ready") == 200; }));
    EXPECT_FALSE (si_process_ended (daemon_pid, nullptr)) << LogTail ();
  }

  const std::string unknown_path = "GET /none/1 HTTP/1.1\r\n"
                                   "Host: 127.0.0.1\r\n"
                                   "X-Comfreywalk-Attempt-Id: u\r\n"
                                   "X-Comfreywalk-Deadline-Ms: 2000\r\n"
                                   "Authorization: Token key-1\r\n\r\n";
  const std::string no_headers
      = "GET /read/1 HTTP/1.1\r\nHost: 127.0.0.1\r\n\r\n";
  const std::string get_ready
      = "GET /ready HTTP/1.1\r\nHost: 127.0.0.1\r\n\r\n";

  std::string folder, store, control, front, ready, directory, log_path;
  std::string ordinary_key = "key-1";
  std::vector<Hostile> crowd;
  pid_t estate_pid = 0, daemon_pid = 0;
  int files_max = kFilesMax;
  int64_t memory_bound_kb = kMemoryBoundKb;
  int files_peak = 0;
};

/* Guards against memory without a bound for requests that are refused for
   their path.  */
TEST_F (UntrustedCallers, UnknownPaths)
{
  AddCrowd (kCrowd, front, unknown_path);
  RunCrowd ();
  CheckDaemon ();
}

/* Guards against memory without a bound for requests that are refused for
   their headers.  */
TEST_F (UntrustedCallers, NoUsualHeaders)
{
  AddCrowd (kCrowd, front, no_headers);
  RunCrowd ();
  CheckDaemon ();
}

/* Guards against memory without a bound at the address for readiness.  */
TEST_F (UntrustedCallers, ReadyOnReadinessAddress)
{
  AddCrowd (kCrowd, ready, get_ready);
  RunCrowd ();
  CheckDaemon ();
}

/* Guards against memory without a bound for a path that only another listener
   serves.  */
TEST_F (UntrustedCallers, ReadyOnCallersAddress)
{
  AddCrowd (kCrowd, front, get_ready);
  RunCrowd ();
  CheckDaemon ();
}

/* Guards against listeners that are each within a bound and together above
   it.  */
TEST_F (UntrustedCallers, Mixed)
{
  AddCrowd (kCrowd / 4, front, unknown_path);
  AddCrowd (kCrowd / 4, front, no_headers);
  AddCrowd (kCrowd / 4, front, get_ready);
  AddCrowd (kCrowd / 4, ready, get_ready);
  RunCrowd ();
  CheckDaemon ();
}

/* Guards against connections that take the files which targets, other daemons
   and the store need.  */
TEST_F (UntrustedCallers, IdleConnections)
{
  AddCrowd (kIdleCrowd, front, "");
  AddCrowd (kIdleCrowd, ready, "");
  AddCrowd (kIdleCrowd, directory, "");
  RunCrowd ();
  CheckDaemon ();
}

/* Guards against heads, bodies and trailers that never end, against answers to
   Expect that are not read, and against bodies that never come: each is
   bounded for a connection, all of them have to be.  */
TEST_F (UntrustedCallers, RequestsThatNeverEnd)
{
  const std::string head = "GET /read/1 HTTP/1.1\r\nHost: 127.0.0.1\r\n";
  const std::string chunked = "POST /read/1 HTTP/1.1\r\nHost: 127.0.0.1\r\n"
                              "Transfer-Encoding: chunked\r\n\r\n";
  const struct
  {
    std::string start, repeated;
  } profiles[] = {
    { head, "X-Name: value\r\n" },
    { head + "Cookie: a=b", "; a=b" },
    { chunked, "1\r\nx\r\n" },
    { chunked + "0\r\n", "X-Trailer: value\r\n" },
    { "", head + "Expect: 100-continue\r\n\r\n" },
    { head + "Content-Length: 60000\r\n\r\n", "" },
  };

  for (const auto &profile : profiles)
    {
      AddCrowd (kCrowd / 8, front, profile.repeated);
      for (size_t i = crowd.size () - kCrowd / 8; i < crowd.size (); i++)
        crowd[i].start = profile.start;
    }
  RunCrowd ();
  CheckDaemon ();
}

/* Guards against state that is left of connections that come at a high rate
   and of requests that are cancelled at once.  */
TEST_F (UntrustedCallers, CancelledAtOnce)
{
  std::string request = no_headers;
  request.insert (request.size () - 2, "X-Comfreywalk-Attempt-Id: c\r\n"
                                       "X-Comfreywalk-Deadline-Ms: 2000\r\n"
                                       "Authorization: Token key-1\r\n");
  for (int round = 0; round < kRounds && IsWithinBounds (); round++)
    {
      AddCrowd (kCrowd / 4, front, "");
      for (Hostile &hostile : crowd)
        {
          hostile.Open ();
          (void)!send (hostile.fd, request.data (), request.size (),
                       MSG_NOSIGNAL);
          hostile.Close ();
        }
      crowd.clear ();
      si_sleep_ms (10);
    }
  CheckDaemon ();
}

/* Guards against limits that an operator does not hear of, and against a line
   for each connection, with which callers would fill the log.  */
TEST_F (UntrustedCallers, LimitsAreLoggedAtABoundedRate)
{
  auto count_lines = [&] {
    std::ifstream log (log_path);
    int count = 0;
    for (std::string line; std::getline (log, line);)
      count += line.find ("event=107 name=connections-limited "
                          "listener=callers ")
               != line.npos;
    return count;
  };
  AddCrowd (kIdleCrowd, front, "");
  RunCrowd ();
  EXPECT_TRUE (WaitFor ([&] { return count_lines () > 0; })) << LogTail ();
  EXPECT_LE (count_lines (), 3) << LogTail ();
  /* They have one address, whose limit comes first.  */
  EXPECT_GT (GetMetric ("connections_refused_total{listener=\"callers\","
                        "reason=\"address\"}"),
             0);
  EXPECT_GT (GetMetric ("connections_open{listener=\"callers\"}"), 0);
  EXPECT_GT (GetMetric ("connection_peak_bytes{listener=\"callers\"}"), 0);
  CheckDaemon ();
}

/* More of them than in the crowds above, on a daemon with files for several
   hundred connections.  Each crowd goes on, and opens again what is closed,
   while an ordinary caller asks.  */
constexpr int kManyFiles = 1200;
constexpr size_t kManyCrowd = 700;
constexpr size_t kBodyCrowd = 48;
constexpr size_t kAheadCrowd = 100;
/* Each of legal size, so that they are above the budget together.  */
constexpr size_t kChunkedBytes = 64 * 1024 * 1024 - 1;
constexpr size_t kChunkBytes = 64 * 1024;
/* Of memory_mb, see memory.h and connections_memory_mb.  */
constexpr int64_t kBodiesKb = 40 * 1024;
constexpr int64_t kConnectionsKb = 16 * 1024;
/* What a crowd may cost besides what it is counted for.  */
constexpr int64_t kUncountedKb = 16 * 1024;
/* Shadow memory, red zones, and what the sanitizer's allocator does not
   return: not the daemon's.  run-tests checks the bounds without them on the
   build that ships.  */
#ifdef __SANITIZE_ADDRESS__
constexpr int64_t kSanitizerKb = 48 * 1024;
#else
constexpr int64_t kSanitizerKb = 0;
#endif
/* Of an ordinary caller with a large body.  */
constexpr size_t kLargeBytes = 8 * 1024 * 1024;
/* A caller asks this often, each time over a new connection.  */
constexpr int kOrdinaryTries = 40;

class UntrustedCrowds : public UntrustedCallers
{
protected:
  UntrustedCrowds ()
  {
    files_max = kManyFiles;
    memory_bound_kb += kSanitizerKb;
  }

  /* With the limits that operators set.  */
  void
  SetUp () override
  {
    UntrustedCallers::SetUp ();
    PutConfig ("r2", "\"limits\":{\"max_header_bytes\":16384,"
                     "\"max_body_bytes\":67108864,\"header_timeout_s\":3,"
                     "\"idle_timeout_s\":15},");
    ASSERT_TRUE (WaitFor ([&] {
      return LogTail ().find ("config-in-force config=2") != std::string::npos;
    })) << LogTail ();
  }

  void
  TearDown () override
  {
    StopCrowd ();
    UntrustedCallers::TearDown ();
  }

  /* Repeats the request of each connection without end; one that READS does so
     once in PAUSE_MS.  */
  void
  StartCrowd (bool reads = false, int pause_ms = 20)
  {
    is_over = false;
    thread = std::thread ([this, reads, pause_ms] {
      while (!is_over)
        {
          for (Hostile &hostile : crowd)
            {
              if (hostile.fd != -1 && (reads || hostile.request.empty ())
                  && !hostile.Discard ())
                hostile.Close ();
              if (hostile.request.empty () && hostile.fd == -1)
                hostile.Open ();
              else if (!hostile.request.empty ())
                SendOnce (hostile, reads);
            }
          si_sleep_ms (pause_ms);
        }
    });
  }

  static void
  SendOnce (Hostile &hostile, bool reads)
  {
    if (!reads)
      {
        hostile.Send (hostile.request);
        return;
      }
    if (hostile.fd == -1)
      hostile.Open ();
    if (send (hostile.fd, hostile.request.data (), hostile.request.size (),
              MSG_NOSIGNAL)
            < 0
        && errno != EAGAIN)
      hostile.Close ();
  }

  void
  StopCrowd ()
  {
    is_over = true;
    if (thread.joinable ())
      thread.join ();
  }

  /* With a large body.  */
  int
  SendLarge ()
  {
    const char *headers[] = { "X-Comfreywalk-Attempt-Id: large",
                              "X-Comfreywalk-Deadline-Ms: 3000",
                              "Authorization: Token key-1", nullptr };
    std::string body (kLargeBytes, 'x');
    SiResponse answer = {};
    int status = 0;
    if (si_http_request ("POST", front.c_str (), "/read/small", headers,
                         body.c_str (), 4000, &answer, nullptr))
      status = answer.status;
    si_response_clear (&answer);
    return status;
  }

  /* Whether an ordinary caller gets an answer while the crowd goes on.  */
  bool
  IsOrdinaryServed ()
  {
    for (int i = 0; i < kOrdinaryTries && IsWithinBounds (); i++)
      {
        if ((sends_large ? SendLarge () : SendOrdinary ()) == 200)
          return true;
        si_sleep_ms (50);
      }
    return false;
  }

  /* Runs the crowd for RUN_MS and checks the daemon beside it and after it.
     COST_KB: what the crowd may cost.  */
  void
  CheckBesideCrowd (int64_t cost_kb, bool reads = false, int pause_ms = 20)
  {
    int64_t before_kb = GetMemoryKb ("VmRSS");

    StartCrowd (reads, pause_ms);
    for (int round = 0; round < 40 && IsWithinBounds (); round++)
      si_sleep_ms (100);
    bool is_served = IsOrdinaryServed ();
    int64_t peak_kb = GetMemoryKb ("VmHWM");
    StopCrowd ();
    printf ("VmRSS before %lld KB, cost at most %lld KB\n",
            (long long)before_kb, (long long)(peak_kb - before_kb));
    EXPECT_TRUE (is_served) << LogTail ();
    EXPECT_LE (peak_kb - before_kb, cost_kb + kSanitizerKb);
    CheckDaemon ();
    EXPECT_TRUE (WaitFor ([&] {
      return GetMemoryKb ("VmRSS") <= before_kb + kUncountedKb + kSanitizerKb;
    })) << "VmRSS "
        << GetMemoryKb ("VmRSS") << " KB after the crowd";
  }

  std::string
  MakeHead (const std::string &method, const std::string &framing)
  {
    return method
           + " /read/1 HTTP/1.1\r\nHost: 127.0.0.1\r\n"
             "X-Comfreywalk-Attempt-Id: h\r\n"
             "X-Comfreywalk-Deadline-Ms: 3000\r\n"
             "Authorization: Token key-1\r\n"
           + framing + "\r\n";
  }

  void
  AddChunkedBodies ()
  {
    char size[16];
    g_snprintf (size, sizeof size, "%zx\r\n", kChunkBytes);
    AddCrowd (kBodyCrowd, front,
              size + std::string (kChunkBytes, 'x') + "\r\n");
    for (size_t i = crowd.size () - kBodyCrowd; i < crowd.size (); i++)
      {
        crowd[i].start = MakeHead ("POST", "Transfer-Encoding: chunked\r\n");
        crowd[i].sent_max_bytes = kChunkedBytes;
      }
  }

  void
  AddUnreadResponses ()
  {
    PostControl ("/target?id=t1&fault=large");
    AddCrowd (kCrowd, front, MakeHead ("GET", ""));
  }

  void
  PostControl (const std::string &path)
  {
    g_autoptr (GError) error = nullptr;
    EXPECT_TRUE (si_post (control.c_str (), path.c_str (), "", &error))
        << error->message;
  }

  bool sends_large = false; /* the ordinary caller */
  std::thread thread;
  std::atomic<bool> is_over{ false };
};

/* Guards against bodies in pieces that cost a multiple of what they are
   counted for.  */
TEST_F (UntrustedCrowds, ChunkedBodiesShortOfTheirEnd)
{
  AddChunkedBodies ();
  CheckBesideCrowd (kBodiesKb + kConnectionsKb + kUncountedKb);
}

/* Guards against one address whose bodies leave no memory for a large one of
   another caller.  */
TEST_F (UntrustedCrowds, LargeBodyBesideChunkedBodiesOfOneAddress)
{
  AddChunkedBodies ();
  for (Hostile &hostile : crowd)
    hostile.source = "127.0.0.2";
  sends_large = true;
  CheckBesideCrowd (kBodiesKb + kConnectionsKb + kUncountedKb);
}

/* Guards against bodies of requests and responses that are each within their
   budget and together take the daemon over its memory.  */
TEST_F (UntrustedCrowds, ChunkedBodiesAndUnreadResponses)
{
  AddChunkedBodies ();
  AddUnreadResponses ();
  CheckBesideCrowd (2 * kBodiesKb + kConnectionsKb + kUncountedKb);
}

/* Guards against responses that nobody reads and that keep those of others
   waiting, or their requests refused.  */
TEST_F (UntrustedCrowds, UnreadResponses)
{
  AddUnreadResponses ();
  CheckBesideCrowd (kBodiesKb + kConnectionsKb + kUncountedKb);
}

/* Guards against bodies that are small enough to need no budget and together
   take all memory of connections.  */
TEST_F (UntrustedCrowds, SmallBodiesShortOfTheirEnd)
{
  AddCrowd (kManyCrowd, front, "x");
  for (Hostile &hostile : crowd)
    {
      hostile.start = MakeHead ("POST", "Content-Length: 60000\r\n")
                      + std::string (50000, 'x');
      hostile.sent_max_bytes = 9900;
    }
  CheckBesideCrowd (kConnectionsKb + kUncountedKb);
}

/* Guards against one address that takes all connections with a request now and
   then on each.  */
TEST_F (UntrustedCrowds, OneAddressWithARequestNowAndThen)
{
  AddCrowd (kManyCrowd, front, unknown_path);
  for (Hostile &hostile : crowd)
    hostile.source = "127.0.0.2";
  CheckBesideCrowd (kConnectionsKb + kUncountedKb, true, 500);
}

/* The same from the ordinary caller's address.  */
TEST_F (UntrustedCrowds, OwnAddressWithARequestNowAndThen)
{
  AddCrowd (kManyCrowd, front, unknown_path);
  CheckBesideCrowd (kConnectionsKb + kUncountedKb, true, 500);
}

/* Guards against connections that send ahead and never read, which count as
   read from for as long as the kernel takes their responses.  */
TEST_F (UntrustedCrowds, SendAheadOnAllConnections)
{
  AddCrowd (kManyCrowd, front, unknown_path);
  CheckBesideCrowd (kConnectionsKb + kUncountedKb);
}

/* Guards against one customer that takes all places at the targets with
   complete requests on many connections, some within its rate, answers
   unread.  */
TEST_F (UntrustedCrowds, CompleteRequestsAheadOfOneCustomer)
{
  PutConfig ("r3",
             "\"limits\":{\"max_header_bytes\":16384,"
             "\"max_body_bytes\":67108864,\"header_timeout_s\":3,"
             "\"idle_timeout_s\":15},",
             "\"c1\":{\"api_keys\":[\"key-1\"],\"rate_per_s\":5000,"
             "\"burst\":5000},\"c2\":{\"api_keys\":[\"key-2\"],"
             "\"rate_per_s\":100,\"burst\":100}");
  ordinary_key = "key-2";
  ASSERT_TRUE (WaitFor ([&] { return SendOrdinary () == 200; })) << LogTail ();
  PostControl ("/target?id=t1&service_ms=500");
  for (size_t body_bytes : { 60000, 600 })
    AddCrowd (kAheadCrowd, front,
              MakeHead ("POST", "Content-Length: "
                                    + std::to_string (body_bytes) + "\r\n")
                  + std::string (body_bytes, 'x'));
  CheckBesideCrowd (kConnectionsKb + kUncountedKb);
}

/* Guards against crowds at the other listeners, which probes and lookups
   need.  */
TEST_F (UntrustedCrowds, ReadinessAndLookupsBesideACrowd)
{
  AddCrowd (kManyCrowd / 4, ready, get_ready);
  AddCrowd (kManyCrowd / 2, directory, get_ready);
  StartCrowd (true, 300);
  si_sleep_ms (2000);
  EXPECT_TRUE (WaitFor ([&] { return GetStatus (ready, "/ready") == 200; }));
  EXPECT_TRUE (WaitFor ([&] {
    return GetStatus (directory, "/resolve?name=a&region=a&zone=a1") == 200;
  }));
  StopCrowd ();
  CheckDaemon ();
}

}
