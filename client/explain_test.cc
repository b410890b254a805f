#include <gtest/gtest.h>

#include <fstream>
#include <string>
#include <vector>

extern "C"
{
#include "client/client.h"
}

namespace
{

const char kPrefix[] = "time_ms=";

class Explain : public testing::Test
{
protected:
  void
  WriteLog (const std::string &name, const std::string &text)
  {
    std::string path = testing::TempDir () + "explain-" + name;
    std::ofstream (path) << text;
    paths.push_back (path);
  }

  int
  Run (const std::string &id)
  {
    std::vector<std::string> words = { "comfreywalk", "explain", id };
    std::vector<char *> argv;
    char *text = nullptr;
    size_t length = 0;
    words.insert (words.end (), paths.begin (), paths.end ());
    for (auto &word : words)
      argv.push_back (word.data ());
    argv.push_back (nullptr);
    ClIo io = { open_memstream (&text, &length), stderr, stdin, nullptr };
    int code = cl_run ((int)words.size (), argv.data (), &io);
    fclose (io.out);
    out = text;
    free (text);
    return code;
  }

  std::vector<std::string> paths;
  std::string out;
};

std::string
Line (int time_ms, const std::string &rest)
{
  return kPrefix + std::to_string (time_ms) + " " + rest + "\n";
}

/* Guards against a refusal shown without its cause: the line that the store
   was unreachable does not name the request, but is from the same daemon.  */
TEST_F (Explain, ShowsDaemonStateBeforeRefusal)
{
  WriteLog ("a", Line (5000, "vm=vm1 event=340 name=store-down part=operator "
                             "reason=silent config_age_ms=2600")
                     + Line (7000, "vm=vm1 event=403 name=request-refused "
                                   "request=r1 outcome=not_ready "
                                   "reason=keys_not_confirmed")
                     + Line (7001, "vm=vm1 event=403 name=request-refused "
                                   "request=r2 outcome=full"));
  WriteLog ("b", Line (5001, "vm=vm2 event=340 name=store-down reason=busy"));
  ASSERT_EQ (Run ("r1"), CL_EXIT_DONE);
  EXPECT_NE (out.find ("reason=silent"), std::string::npos);
  EXPECT_EQ (out.find ("vm=vm2"), std::string::npos);
  EXPECT_EQ (out.find ("request=r2"), std::string::npos);
  EXPECT_NE (out.find ("r1: refused, not run: the store had not confirmed"),
             std::string::npos);
}

/* Guards against lines of several logs printed in the wrong order.  */
TEST_F (Explain, SortsLinesOfRequestWithUnknownOutcome)
{
  WriteLog ("a",
            "  3.2 vm1 "
                + Line (3, "vm=vm1 event=405 name=request-unknown "
                           "request=r1 outcome=unknown reason=closed")
                + Line (1, "vm=vm1 event=401 name=request-sent request=r1 "
                           "target=t1"));
  WriteLog ("b", Line (2, "vm=vm1 event=408 name=send-failed request=r1 "
                          "target=t1 verdict=lost"));
  ASSERT_EQ (Run ("r1"), CL_EXIT_DONE);
  EXPECT_LT (out.find ("event=401"), out.find ("event=408"));
  EXPECT_LT (out.find ("event=408"), out.find ("event=405"));
  EXPECT_NE (out.find ("may have run it"), std::string::npos);
}

/* Guards against naming the wrong token bucket, and against stating that a
   request has not run which was held before its second target: one reason is
   the start of the other.  */
TEST_F (Explain, TellsReasonsWithTheSameStartApart)
{
  static const struct
  {
    const char *reason, *text;
  } rows[] = {
    { "rate_exceeded", "share of its rate on this daemon" },
    { "rate_exceeded_in_region", "rate in this region" },
    { "deadline_passed", "before it could be sent" },
    { "deadline_passed_in_retry", "may have run" },
  };
  std::string text;
  for (auto &row : rows)
    text += Line (7000, "vm=vm1 event=403 name=request-refused request="
                            + std::string (row.reason)
                            + " reason=" + row.reason + " route=r");
  WriteLog ("reasons", text);
  for (auto &row : rows)
    {
      ASSERT_EQ (Run (row.reason), CL_EXIT_DONE);
      EXPECT_NE (out.find (row.text), std::string::npos) << out;
    }
}

/* Guards against a slow request without the lines that explain it: that the
   daemon had just started, and that it did not know of its object as cached at
   the target (known=0).  */
TEST_F (Explain, ShowsTargetStateOfSlowRequest)
{
  WriteLog ("a",
            Line (1, "vm=vm1 event=100 name=daemon-started zone=a1")
                + Line (2, "vm=vm1 event=401 name=request-sent request=r1 "
                           "target=t1 placed=1 known=0")
                + Line (500, "vm=vm1 event=402 name=request-answered "
                             "request=r1 outcome=served took_ms=480"));
  ASSERT_EQ (Run ("r1"), CL_EXIT_DONE);
  EXPECT_NE (out.find ("daemon-started"), std::string::npos);
  EXPECT_NE (out.find ("known=0"), std::string::npos);
  EXPECT_NE (out.find ("r1: served"), std::string::npos);
}

/* Guards against an exit code of success if no log has the request or a log
   cannot be read.  */
TEST_F (Explain, FailsWithoutRequestOrLog)
{
  WriteLog ("a", "no line of a daemon\n\n");
  EXPECT_EQ (Run ("r1"), CL_EXIT_REFUSED);
  paths.push_back ("/nonexistent");
  EXPECT_EQ (Run ("r1"), CL_EXIT_USAGE);
}

}
