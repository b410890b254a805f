/* Tests of how comfreywalkd starts: real processes, on both interfaces.  */

#include <gtest/gtest.h>

#include <fstream>
#include <sstream>
#include <string>

#include <arpa/inet.h>
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

constexpr int kExitListen = 3;
constexpr uint32_t kExitMs = 10000;

std::string
FreeAddress ()
{
  return "127.0.0.1:" + std::to_string (si_find_free_port ());
}

/* Holds a TCP and a UDP port of the same number.  */
class TakenPort
{
public:
  TakenPort () : number (si_find_free_port ())
  {
    struct sockaddr_in name = {};

    name.sin_family = AF_INET;
    name.sin_port = htons (number);
    name.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
    for (int i = 0; i < 2; i++)
      {
        fds[i] = socket (AF_INET, i == 0 ? SOCK_STREAM : SOCK_DGRAM, 0);
        EXPECT_EQ (bind (fds[i], (struct sockaddr *)&name, sizeof name), 0);
      }
    EXPECT_EQ (listen (fds[0], 1), 0);
  }

  ~TakenPort ()
  {
    close (fds[0]);
    close (fds[1]);
  }

  const uint16_t number;

private:
  int fds[2];
};

/* Settings on the platform, with FIELDS in addition; the ports are free unless
   FIELDS gives them.  */
std::string
PlatformSettings (const std::string &fields)
{
  std::string text = "{\"vm\":\"vm1\",\"zone\":\"a1\",\"region\":\"a\","
                     "\"zones\":{\"a1\":\"a\"},\"address\":\"127.0.0.1\","
                     "\"store_address\":\""
                     + FreeAddress () + "\",\"files_max\":1000,\"bounds\":{"
                     + "\"grace_s\":4,\"revoke_s\":3}," + fields;

  for (const char *name :
       { "front_listen", "ready_listen", "directory_listen" })
    if (fields.find (name) == fields.npos)
      text += std::string (",\"") + name + "\":\"" + FreeAddress () + "\"";
  if (fields.find ("gossip_port") == fields.npos)
    text += ",\"gossip_port\":" + std::to_string (si_find_free_port ());
  return text + "}";
}

std::string
OwnSettings (const std::string &fields)
{
  std::string text = "{\"vm\":\"vm1\",\"zone\":\"a1\",\"region\":\"a\","
                     "\"store\":\""
                     + FreeAddress () + "\"," + fields;

  for (const char *name : { "http_listen", "peer_listen", "admin_listen" })
    if (fields.find (name) == fields.npos)
      text += std::string (",\"") + name + "\":\"" + FreeAddress () + "\"";
  return text + "}";
}

/* Starts a daemon that cannot start, and returns all that it wrote.  */
std::string
RunToFailure (const std::string &settings, const char *option)
{
  std::string folder
      = testing::TempDir () + "start-" + std::to_string (getpid ());
  std::string path = folder + ".json";
  std::string log = folder + ".log";
  const char *argv[] = { CW_BIN "/daemon/comfreywalkd", "--settings",
                         path.c_str (), option, nullptr };
  std::stringstream text;
  int status = 0;

  std::ofstream (path) << settings;
  unlink (log.c_str ());
  pid_t pid = si_process_spawn (argv, log.c_str (), nullptr);
  EXPECT_TRUE (si_process_wait (pid, kExitMs, &status)) << settings;
  EXPECT_TRUE (WIFEXITED (status) && WEXITSTATUS (status) == kExitListen)
      << status << settings;
  text << std::ifstream (log).rdbuf ();
  return text.str ();
}

int
CountOf (const std::string &text, const std::string &part)
{
  int count = 0;

  for (size_t at = text.find (part); at != text.npos;
       at = text.find (part, at + 1))
    count++;
  return count;
}

/* Each line is one of the log, and one names the port, once.  */
void
ExpectLoggedOnce (const std::string &text, uint16_t port)
{
  std::istringstream lines (text);
  std::string line;

  while (std::getline (lines, line))
    EXPECT_NE (line.find ("event="), line.npos) << text;
  EXPECT_EQ (CountOf (text, "start-failed"), 1) << text;
  EXPECT_EQ (CountOf (text, std::to_string (port)), 1) << text;
}

/* Guards against a daemon that cannot listen and says so outside its log,
   where nobody who reads the log finds it.  */
TEST (Start, AddressInUseIsLogged)
{
  TakenPort taken;
  std::string address = "\"127.0.0.1:" + std::to_string (taken.number) + "\"";

  for (const char *name :
       { "front_listen", "ready_listen", "directory_listen" })
    ExpectLoggedOnce (RunToFailure (PlatformSettings (std::string ("\"") + name
                                                      + "\":" + address),
                                    "--platform"),
                      taken.number);
  ExpectLoggedOnce (
      RunToFailure (PlatformSettings ("\"gossip_port\":"
                                      + std::to_string (taken.number)),
                    "--platform"),
      taken.number);
}

/* Guards against the same on the own interface, also where only errors are
   logged.  */
TEST (Start, AddressInUseIsLoggedOnTheOwnInterface)
{
  TakenPort taken;
  std::string address = "\"127.0.0.1:" + std::to_string (taken.number) + "\"";

  for (const char *name : { "http_listen", "peer_listen", "admin_listen" })
    for (const char *level : { "info", "error" })
      ExpectLoggedOnce (
          RunToFailure (OwnSettings (std::string ("\"") + name + "\":"
                                     + address + ",\"log\":\"" + level + "\""),
                        nullptr),
          taken.number);
}

} // namespace
