#include <gtest/gtest.h>

extern "C"
{
#include "client/client.h"
#include "event/event.h"
#include "sheet/internal.h"
}

#include <fstream>
#include <sstream>
#include <string>

static std::string
page (const char *path)
{
  std::ifstream file (std::string (CW_SOURCE_DIR "/") + path);
  std::stringstream text;

  text << file.rdbuf ();
  EXPECT_FALSE (text.str ().empty ()) << path;
  return text.str ();
}

/* Guards against a warning that tells an operator nothing of what to do.  */
TEST (Docs, OperatorsPageHasEachWarning)
{
  std::string text = page ("docs/OPERATIONS.md");
  uint32_t count;
  const EvKind *kinds = ev_catalogue (&count);

  for (uint32_t i = 0; i < count; i++)
    {
      std::string head = "\n### " + std::to_string (kinds[i].number) + " "
                         + kinds[i].name + "\n";
      EXPECT_EQ (text.find (head) != std::string::npos,
                 kinds[i].level >= EV_LEVEL_WARNING)
          << head;
    }
}

/* Guards against a manual that describes other columns or fault types than the
   program has.  */
TEST (Docs, SheetPageHasColumnsAndFaults)
{
  std::string text = page ("docs/man/comfreywalk-sheet.5");
  std::string columns;

  for (size_t i = 0; i < SH_COLUMN_COUNT; i++)
    columns += std::string (i == 0 ? "" : ",") + sh_columns[i];
  std::string joined = text;
  for (size_t at; (at = joined.find (",\n")) != std::string::npos;)
    joined.erase (at + 1, 1);
  EXPECT_NE (joined.find ("\n" + columns + "\n"), std::string::npos);
  for (int code = 0; code <= SH_ERROR_TOO_MANY; code++)
    EXPECT_NE (text.find (std::string (".It ") + sh_error_name ((ShError)code)
                          + "\n"),
               std::string::npos)
        << sh_error_name ((ShError)code);
}

/* Guards against a command that the manual does not have.  */
TEST (Docs, ManualHasEachCommand)
{
  std::string text = page ("docs/man/comfreywalk.1");
  std::string program = "comfreywalk";
  std::string option = "--help";
  char *argv[] = { program.data (), option.data () };
  char *help = nullptr;
  size_t length;
  ClIo io = { open_memstream (&help, &length), stderr, stdin, nullptr };

  ASSERT_EQ (cl_run (2, argv, &io), CL_EXIT_DONE);
  fclose (io.out);
  std::istringstream lines (help);
  int count = 0;
  for (std::string line; std::getline (lines, line);)
    {
      if (line.rfind ("  ", 0) != 0)
        continue;
      std::istringstream words (line);
      std::string word;
      std::string second;
      words >> word >> second;
      std::string entry = ".It Cm " + word;
      if (word == "key" || word == "customer" || word == "drain"
          || word == "shift")
        entry += " " + second;
      EXPECT_NE (text.find (entry), std::string::npos) << entry;
      count++;
    }
  EXPECT_EQ (count, 18);
  free (help);
}
