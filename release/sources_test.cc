/* Tests of cmake/sources.cmake: builds in directories that were not made from
   the sources that they now stand beside.  */

#include <gtest/gtest.h>

#include <array>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <sstream>
#include <string>
#include <vector>

#include <sys/stat.h>
#include <unistd.h>

namespace
{

struct Outcome
{
  int status;
  std::string text;
};

Outcome
Execute (const std::string &command)
{
  std::array<char, 4096> bytes;
  Outcome outcome = {};
  FILE *pipe = popen (("(" + command + ") 2>&1").c_str (), "r");

  while (fgets (bytes.data (), bytes.size (), pipe) != nullptr)
    outcome.text += bytes.data ();
  outcome.status = pclose (pipe);
  return outcome;
}

/* A temporary folder, removed at the end.  */
class Folder
{
public:
  Folder ()
  {
    std::string pattern = testing::TempDir () + "sources-XXXXXX";
    EXPECT_NE (mkdtemp (pattern.data ()), nullptr);
    path = pattern;
  }

  ~Folder () { Execute ("rm -rf '" + path + "'"); }

  std::string path;
};

/* Sets the time of PATH.  TIME is as for touch -d.  */
void
SetTime (const std::string &path, const char *time)
{
  EXPECT_EQ (
      Execute ("touch -d '" + std::string (time) + "' '" + path + "'").status,
      0);
}

/* A project of one program, which prints a number from a header and one from a
   source.  The parameter is the generator of build files.  */
class Sources : public testing::TestWithParam<const char *>
{
protected:
  void
  SetUp () override
  {
    root = folder.path + "/tree";
    ASSERT_EQ (
        Execute ("mkdir -p '" + root + "/part' '" + root + "/cmake'").status,
        0);
    ASSERT_EQ (Execute ("cp '" CW_SOURCE_DIR "/cmake/sources.cmake' '" + root
                        + "/cmake/'")
                   .status,
               0);
    Write ("CMakeLists.txt",
           "cmake_minimum_required (VERSION 3.25)\n"
           "project (tree LANGUAGES C)\n"
           "include (cmake/sources.cmake)\n"
           "cw_describe_tools (tools)\n"
           "cw_drop_stale_outputs (TOOLS ${tools} DIRS part)\n"
           "add_subdirectory (part)\n");
    Write ("part/CMakeLists.txt", "add_library (value STATIC value.c)\n"
                                  "add_executable (program main.c)\n"
                                  "target_link_libraries (program value)\n");
    Write ("part/value.c", "int value (void) { return 1; }\n");
    Write ("part/number.h", "#define NUMBER 1\n");
    Write ("part/main.c",
           "#include <stdio.h>\n"
           "#include \"number.h\"\n"
           "int value (void);\n"
           "int main (void)\n"
           "{ return !printf (\"%d %d\", NUMBER, value ()); }\n");
    ASSERT_EQ (BuildAndRun (), "1 1");
  }

  void
  Write (const std::string &name, const std::string &text)
  {
    std::ofstream (root + "/" + name) << text;
  }

  Outcome
  Configure (const std::string &options)
  {
    return Execute (CW_CMAKE " " + options + " -S '" + root + "' -B '" + root
                    + "/out' -G '" + GetParam () + "'");
  }

  std::string
  BuildAndRun (const std::string &options = "--fresh")
  {
    configured = Configure (options);
    EXPECT_EQ (configured.status, 0) << configured.text;
    built = Execute (CW_CMAKE " --build '" + root + "/out'");
    EXPECT_EQ (built.status, 0) << built.text;
    return Execute ("'" + root + "/out/part/program'").text;
  }

  bool
  RebuildsAll ()
  {
    return configured.text.find ("Removing what was built before")
           != std::string::npos;
  }

  Folder folder;
  std::string root;
  Outcome configured, built;
};

/* Guards against an old binary where the sources of another commit were copied
   with their times, which are before those of the objects.  */
TEST_P (Sources, OlderTimesDoNotHideAChange)
{
  Write ("part/value.c", "int value (void) { return 2; }\n");
  SetTime (root + "/part/value.c", "2020-01-01");
  EXPECT_EQ (BuildAndRun (), "1 2");

  Write ("part/number.h", "#define NUMBER 3\n");
  SetTime (root + "/part/number.h", "2020-01-01");
  EXPECT_EQ (BuildAndRun (), "3 2");

  /* As a deploy file of before has it.  */
  Write ("part/number.h", "#define NUMBER 4\n");
  SetTime (root + "/part/number.h", "2020-01-01");
  EXPECT_EQ (BuildAndRun (""), "4 2");
}

/* Guards against an old binary whose time is in the future, as from a machine
   with another clock.  */
TEST_P (Sources, OutputsFromTheFutureDoNotHideAChange)
{
  for (const char *output : { "program", "libvalue.a" })
    SetTime (root + "/out/part/" + output, "2 hours");
  Write ("part/value.c", "int value (void) { return 2; }\n");
  EXPECT_EQ (BuildAndRun (), "1 2");
}

/* Guards against a change that a failed build leaves half done and that gets
   an older time afterwards.  */
TEST_P (Sources, FailedBuildDoesNotHideAChange)
{
  Write ("part/value.c", "int value (void) { return 2; }\n");
  Write ("part/main.c", "#error \"does not compile\"\n");
  EXPECT_EQ (Configure ("--fresh").status, 0);
  Write ("part/main.c",
         "#include <stdio.h>\n"
         "int value (void);\n"
         "int main (void) { return !printf (\"%d\", value ()); }");
  SetTime (root + "/part/value.c", "2020-01-01");
  SetTime (root + "/part/main.c", "2020-01-01");
  EXPECT_EQ (BuildAndRun (), "2");
}

/* Guards against objects of a build that recorded no sources, as all before
   did not.  */
TEST_P (Sources, ObjectsWithoutARecordAreRebuilt)
{
  Write ("part/value.c", "int value (void) { return 2; }\n");
  SetTime (root + "/part/value.c", "2020-01-01");
  ASSERT_EQ (unlink ((root + "/out/sources.manifest").c_str ()), 0);
  EXPECT_EQ (BuildAndRun (), "1 2");
}

/* Guards against objects that depend on the headers of the folder from which
   the tree was copied.  */
TEST_P (Sources, FolderThatWasCopiedIsRebuilt)
{
  std::string copy = folder.path + "/copy";

  ASSERT_EQ (Execute ("cp -a '" + root + "' '" + copy + "'").status, 0);
  root = copy;
  Write ("part/number.h", "#define NUMBER 2\n");
  EXPECT_EQ (BuildAndRun (), "2 1");
  EXPECT_TRUE (RebuildsAll ());
}

/* Guards against objects of other settings or of another compiler.  */
TEST_P (Sources, OtherToolsRebuild)
{
  std::string compiler = folder.path + "/compiler";

  EXPECT_EQ (BuildAndRun ("--fresh -DCMAKE_BUILD_TYPE=Release"), "1 1");
  EXPECT_TRUE (RebuildsAll ());
  EXPECT_EQ (BuildAndRun ("--fresh -DCMAKE_BUILD_TYPE=Release"), "1 1");
  EXPECT_FALSE (RebuildsAll ());

  std::ofstream (compiler) << "#!/bin/sh\n"
                              "[ \"$1\" != --version ] || echo other\n"
                              "exec cc \"$@\"\n";
  ASSERT_EQ (chmod (compiler.c_str (), 0700), 0);
  EXPECT_EQ (BuildAndRun ("--fresh -DCMAKE_BUILD_TYPE=Release "
                          "-DCMAKE_C_COMPILER='"
                          + compiler + "'"),
             "1 1");
  EXPECT_TRUE (RebuildsAll ());
}

/* Guards against a compiler that was replaced since a build whose cache is
   kept.  */
TEST_P (Sources, CompilerOfAnotherVersionRebuilds)
{
  std::string compiler = folder.path + "/compiler";
  std::string options = "-DCMAKE_C_COMPILER='" + compiler + "'";
  std::string script = "#!/bin/sh\n"
                       "[ \"$1\" != --version ] || echo VERSION\n"
                       "exec cc \"$@\"\n";

  std::ofstream (compiler) << script;
  ASSERT_EQ (chmod (compiler.c_str (), 0700), 0);
  EXPECT_EQ (BuildAndRun ("--fresh " + options), "1 1");
  EXPECT_EQ (BuildAndRun (""), "1 1");
  EXPECT_FALSE (RebuildsAll ());

  script.replace (script.find ("VERSION"), 7, "2");
  std::ofstream (compiler) << script;
  EXPECT_EQ (BuildAndRun (""), "1 1");
  EXPECT_TRUE (RebuildsAll ());
}

/* Guards against objects of another kind of machine: with a cache of that
   machine the build fails, without one it begins anew.  */
TEST_P (Sources, ObjectsOfAnotherMachineAreNotUsed)
{
  std::string system = "'" + root + "'/out/CMakeFiles/*/CMakeSystem.cmake";

  ASSERT_EQ (Execute ("sed -i 's/set(CMAKE_HOST_SYSTEM_PROCESSOR .*/"
                      "set(CMAKE_HOST_SYSTEM_PROCESSOR \"vax\")/' "
                      + system)
                 .status,
             0);
  EXPECT_NE (Configure ("").status, 0);

  /* The line of the tools has the kind of machine.  */
  ASSERT_EQ (Execute ("sed -i 's/.* tools$/0 tools/' '" + root
                      + "/out/sources.manifest'")
                 .status,
             0);
  EXPECT_EQ (BuildAndRun (), "1 1");
  EXPECT_TRUE (RebuildsAll ());
}

/* Guards against a full rebuild after each edit.  */
TEST_P (Sources, EditedSourceAloneIsRebuilt)
{
  /* Times of files have the resolution of the kernel's tick.  */
  usleep (20000);
  Write ("part/value.c", "int value (void) { return 2; }\n");
  EXPECT_EQ (BuildAndRun (), "1 2");
  EXPECT_FALSE (RebuildsAll ());
  EXPECT_EQ (built.text.find ("main.c"), std::string::npos) << built.text;
}

INSTANTIATE_TEST_SUITE_P (Generators, Sources,
                          testing::Values ("Unix Makefiles", "Ninja"));

/* Guards against a build of this tree that leaves out the check: the daemon of
   an older commit passed for that of the tree.  */
TEST (Tree, OlderTimesDoNotHideAChange)
{
  Folder folder;
  std::string root = folder.path;
  std::string build = CW_CMAKE " --fresh -S '" + root + "' -B '" + root
                      + "/target' -DCMAKE_BUILD_TYPE=Release -DCW_TESTS=OFF "
                        "&& " CW_CMAKE " --build '"
                      + root + "/target' --target cw-event";
  std::string find
      = "grep -c a-changed-name '" + root + "/target/event/libcw-event.a'";
  std::string source = root + "/event/catalogue.c";

  ASSERT_EQ (
      Execute ("cd '" CW_SOURCE_DIR "' && cp -a CMakeLists.txt cmake "
               "$(find . -maxdepth 2 -name CMakeLists.txt -printf '%h\\n' "
               "| grep -v '^\\.$') '"
               + root + "'")
          .status,
      0);
  ASSERT_EQ (Execute (build).status, 0);
  EXPECT_NE (Execute (find).status, 0);
  ASSERT_EQ (
      Execute ("sed -i s/daemon-started/a-changed-name/ '" + source + "'")
          .status,
      0);
  SetTime (source, "2020-01-01");
  ASSERT_EQ (Execute (build).status, 0);
  EXPECT_EQ (Execute (find).status, 0);
}

/* Guards against a build of the project that starts from a configuration of
   another commit, compiler or machine.  */
TEST (Tree, EachBuildConfiguresAnew)
{
  for (const char *name : { "Makefile", "deploy/system.toml", "tools/lint" })
    {
      std::ifstream file (std::string (CW_SOURCE_DIR "/") + name);
      std::string line;
      int count = 0;

      while (std::getline (file, line))
        if (line.find ("cmake") != line.npos
            && line.find (" -S ") != line.npos)
          {
            EXPECT_NE (line.find ("cmake --fresh "), line.npos) << line;
            count++;
          }
      EXPECT_GT (count, 0) << name;
    }
}

} // namespace
