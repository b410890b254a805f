/* Tests of release.c, and of the binaries that show what it says.  */

#include <gtest/gtest.h>

#include <array>
#include <cstdio>
#include <string>

extern "C"
{
#include "release/release.h"
}

namespace
{

/* Returns what COMMAND prints.  */
std::string
Execute (const std::string &command)
{
  std::array<char, 256> bytes;
  std::string text;
  FILE *pipe = popen (command.c_str (), "r");

  while (fgets (bytes.data (), bytes.size (), pipe) != nullptr)
    text += bytes.data ();
  EXPECT_EQ (pclose (pipe), 0) << command;
  return text;
}

std::string
VersionLine (const char *program)
{
  return std::string (program) + " " + rl_version ()
         + " sources=" + rl_sources_id () + " build=" + rl_build () + "\n";
}

/* Guards against a daemon or client of which nobody can tell which build it
   is.  */
TEST (Release, BinariesSayWhichBuildTheyAre)
{
  EXPECT_EQ (Execute (CW_BIN "/daemon/comfreywalkd --version"),
             VersionLine ("comfreywalkd"));
  EXPECT_EQ (Execute (CW_BIN "/client/comfreywalk --version"),
             VersionLine ("comfreywalk"));
}

/* Guards against an id that does not name the sources of the tree.  */
TEST (Release, IdIsThatOfTheTree)
{
  EXPECT_EQ (Execute (CW_SOURCE_DIR "/tools/sources-id"),
             std::string (rl_sources_id ()) + "\n");
}

/* Guards against a label that the metrics format cannot hold.  */
TEST (Release, MetricHasTheBuild)
{
  MtRegistry *metrics = mt_registry_new ();
  std::string line = std::string ("\nbuild_info{version=\"") + rl_version ()
                     + "\",sources=\"" + rl_sources_id () + "\",build=\""
                     + rl_build () + "\"} 1\n";

  rl_register_metric (metrics);
  g_autofree char *text = mt_format (metrics);
  EXPECT_NE (std::string (text).find (line), std::string::npos) << text;
  mt_registry_free (metrics);
}

} // namespace
