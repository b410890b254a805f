#include <gtest/gtest.h>

extern "C"
{
#include "sheet/sheet.h"
}

#include <string>

#ifndef CW_SOURCE_DIR
#error "CW_SOURCE_DIR is not set"
#endif

namespace
{

std::string
read_example (const char *name)
{
  std::string path = std::string (CW_SOURCE_DIR "/examples/") + name;
  char *text = nullptr;
  gsize length = 0;

  EXPECT_TRUE (g_file_get_contents (path.c_str (), &text, &length, nullptr));
  std::string copy (text, length);
  g_free (text);
  return copy;
}

CfConfig *
parse (const std::string &text, GPtrArray **problems,
       const char *today = "2026-12-04", const char *last_date = nullptr,
       const CfConfig *current = nullptr)
{
  ShOptions options = { today, last_date, current };
  return sh_parse (text.c_str (), text.size (), &options, problems);
}

void
replace (std::string &text, const std::string &from, const std::string &to)
{
  size_t at = text.find (from);
  ASSERT_NE (at, std::string::npos) << from;
  text.replace (at, from.size (), to);
}

std::string
format_problems (const GPtrArray *problems)
{
  std::string lines;
  for (guint i = 0; problems != nullptr && i < problems->len; i++)
    {
      auto *problem = (ShProblem *)g_ptr_array_index (problems, i);
      g_autofree char *line = sh_format_problem (problem);
      lines
          += std::string (sh_error_name (problem->code)) + ": " + line + "\n";
    }
  return lines;
}

const ShProblem *
find_problem (const GPtrArray *problems, ShError code)
{
  for (guint i = 0; i < problems->len; i++)
    {
      auto *problem = (const ShProblem *)g_ptr_array_index (problems, i);
      if (problem->code == code)
        return problem;
    }
  return nullptr;
}

/* Adds a row before the end row and updates the count.  */
void
add_row (std::string &text, const std::string &row)
{
  size_t end = text.rfind ("\nend,") + 1;
  size_t count = text.rfind (',') + 1;
  int rows = std::stoi (text.substr (count));
  text.replace (count, std::string::npos, std::to_string (rows + 1) + "\n");
  text.insert (end, row + "\n");
}

} // namespace

/* Guards against an example sheet being rejected or read wrongly.  */
TEST (Sheet, ParsesExamples)
{
  g_autoptr (GPtrArray) problems = nullptr;
  g_autoptr (CfConfig) config
      = parse (read_example ("tammemets.csv"), &problems);
  ASSERT_NE (config, nullptr) << format_problems (problems);
  EXPECT_EQ (config->customers->len, 8u);
  EXPECT_STREQ (config->sheet_date, "2026-12-04");
  EXPECT_EQ (cf_region_of_zone (config, "central-2"), 2);
  EXPECT_EQ (cf_find_link (config, "nordic", "baltic")->delay_us, 12000u);
  EXPECT_TRUE (cf_find_route (config, "/boards/public/x")->open);
  EXPECT_FALSE (cf_find_route (config, "/boards/orders")->idempotent);
  const CfCustomer *customer = cf_find_customer (config, "aalto-home");
  EXPECT_EQ (customer->rate_per_s, 200u);
  EXPECT_EQ (customer->weight, 200u);
  g_autofree char *digest = g_compute_checksum_for_string (
      G_CHECKSUM_SHA256, "key-aalto-home", -1);
  char hex[65];
  cf_format_sha256 (((CfKey *)g_ptr_array_index (customer->keys, 0))->sha256,
                    hex);
  EXPECT_STREQ (hex, digest);
  auto *shift = (CfShift *)g_ptr_array_index (config->shifts, 0);
  EXPECT_EQ (shift->start_ms, INT64_C (1800127800000));
  EXPECT_EQ (shift->share_permille, 500u);
  EXPECT_EQ (shift->ramp_ms, 1800000);

  g_autoptr (CfConfig) other
      = parse (read_example ("cooperative.csv"), &problems);
  ASSERT_NE (other, nullptr) << format_problems (problems);
  EXPECT_EQ (((CfShift *)g_ptr_array_index (other->shifts, 0))->share_permille,
             625u);
}

/* Guards against an invalid sheet being applied, and against a problem that
   does not give the row and column.  */
TEST (Sheet, RejectsInvalidSheets)
{
  static const struct
  {
    const char *from, *to;
    ShError code;
    uint32_t row;
    const char *field;
  } cases[] = {
    { ",51\n", ",50\n", SH_ERROR_COUNT, 53, "rows" },
    { "drain,boards-03-disk", "end,boards-03-disk", SH_ERROR_COUNT, 52,
      nullptr },
    /* header: a column moved or removed, another separator */
    { "rate_per_s,burst", "burst,rate_per_s", SH_ERROR_HEADER, 1,
      "rate_per_s" },
    { ",date,rows", ",rows", SH_ERROR_HEADER, 1, nullptr },
    { "kind,name", "kind;name", SH_ERROR_HEADER, 1, nullptr },
    /* cells */
    { "boards-to-central,,boards", "boards-to-central,,boards,",
      SH_ERROR_COLUMNS, 52, nullptr },
    { "1800,50,80", "1800,\"50,5\",80", SH_ERROR_DECIMAL_COMMA, 52,
      "share_percent" },
    { "1800,50,80", "1800,50,\"1,000\"", SH_ERROR_DECIMAL_COMMA, 52,
      "cap_per_s" },
    { "1800,50,80", "1800,50.25,80", SH_ERROR_NUMBER, 52, "share_percent" },
    { "1800,50,80", "1800,50,80.5", SH_ERROR_NUMBER, 52, "cap_per_s" },
    { "1800,50,80", "1800,101,80", SH_ERROR_RANGE, 52, "share_percent" },
    { "1800,50,80", "90000,50,80", SH_ERROR_RANGE, 52, "ramp_s" },
    { "zone,nordic-1", "zoen,nordic-1", SH_ERROR_KIND, 9, "kind" },
    { "zone,nordic-1", "zone,Nordic-1", SH_ERROR_NAME, 9, "name" },
    { "zone,nordic-1", "zone,", SH_ERROR_MISSING, 9, "name" },
    { "route,/boards/public/", "route,/boards/\x7fpublic/", SH_ERROR_NAME, 21,
      "name" },
    { ",,keyed,yes", ",,closed,yes", SH_ERROR_KEYWORD, 20, "access" },
    { "service,boards,,,", "service,boards,,,baltic", SH_ERROR_UNEXPECTED, 3,
      "region" },
    { "region,baltic", "region,\"bal\"tic", SH_ERROR_SYNTAX, 5, nullptr },
    { "region,baltic", "region,b\xe4ltic", SH_ERROR_ENCODING, 5, nullptr },
    /* times */
    { "T21:30:00+02:00", "T21:30:00", SH_ERROR_TIME_ZONE, 52, "start" },
    { "T21:30:00+02:00", "T25:30:00+02:00", SH_ERROR_TIME, 52, "start" },
    { "2027-01-16T21:30", "2027-02-29T21:30", SH_ERROR_TIME, 52, "start" },
    { "2027-01-17T03:30:00+02:00", "2027-01-16T19:30:00Z", SH_ERROR_TIME, 52,
      "end" },
    /* duplicates and unknown names */
    { "zone,nordic-1", "zone,baltic-1", SH_ERROR_DUPLICATE, 9, "name" },
    { "block,127.1.0.0/16", "block,127.0.0.0/8", SH_ERROR_DUPLICATE, 43,
      "name" },
    { "block,127.1.0.0/16", "block,127.1.0.1/16", SH_ERROR_NAME, 43, "name" },
    { "127.1.0.0/16,,,baltic", "127.1.0.0/16,,,baltik", SH_ERROR_REFERENCE, 43,
      "region" },
    { "switch,,,,,,zone,nordic-2", "switch,,,,,,zone,nordic-9",
      SH_ERROR_REFERENCE, 50, "object" },
    { "key,birk-living-1,birk-living", "key,birk-living-1,birk-lving",
      SH_ERROR_REFERENCE, 29, "customer" },
    /* dates */
    { "2026-12-04,", "2026-12-03,", SH_ERROR_OLD_SHEET, 2, "date" },
    { "2026-12-04,", "2026-12-05,", SH_ERROR_DATE, 2, "date" },
    { "2026-12-04,", "4.12.2026,", SH_ERROR_DATE, 2, "date" },
    /* capacities */
    { "aalto-home,,,,,,,,,,,,200", "aalto-home,,,,,,,,,,,,1201",
      SH_ERROR_RATE_CAPACITY, 40, nullptr },
    { "aalto-home,,,,,,,,,,,,200", "aalto-home,,,,,,,,,,,,1000",
      SH_ERROR_DRAIN_CAPACITY, 50, "start" },
    { "1800,50,80", "1800,50,601", SH_ERROR_SHIFT_CONFLICT, 52, "cap_per_s" },
  };

  for (const auto &c : cases)
    {
      std::string text = read_example ("tammemets.csv");
      g_autoptr (GPtrArray) problems = nullptr;
      replace (text, c.from, c.to);
      EXPECT_EQ (parse (text, &problems), nullptr) << c.to;
      if (problems == nullptr)
        continue;
      const ShProblem *problem = find_problem (problems, c.code);
      ASSERT_NE (problem, nullptr) << c.to << "\n"
                                   << format_problems (problems);
      EXPECT_EQ (problem->row, c.row) << c.to << "\n"
                                      << format_problems (problems);
      EXPECT_TRUE (c.field == nullptr
                   || g_strcmp0 (problem->field, c.field) == 0)
          << c.to << "\n"
          << format_problems (problems);
    }
}

/* Guards against a truncated file being accepted: the customers in the missing
   part would lose their keys.  */
TEST (Sheet, RejectsTruncatedFile)
{
  std::string text = read_example ("tammemets.csv");

  for (size_t length = 0; length < text.size () - 2; length += 13)
    {
      g_autoptr (GPtrArray) problems = nullptr;
      ASSERT_EQ (parse (text.substr (0, length), &problems), nullptr)
          << length;
      ASSERT_GT (problems->len, 0u);
    }
  g_autoptr (GPtrArray) problems = nullptr;
  parse (text.substr (0, text.rfind ("end,")), &problems);
  ASSERT_NE (find_problem (problems, SH_ERROR_TRUNCATED), nullptr)
      << format_problems (problems);
}

/* Guards against an export being rejected for a byte order mark, CR LF line
   ends or blank rows at the end, which spreadsheets add.  */
TEST (Sheet, AcceptsSpreadsheetExport)
{
  std::string text = read_example ("tammemets.csv");
  g_autoptr (GPtrArray) problems = nullptr;
  std::string exported = "\xef\xbb\xbf";

  for (char c : text)
    exported += c == '\n' ? std::string ("\r\n") : std::string (1, c);
  exported += std::string (25, ',') + "\r\n\r\n";
  g_autoptr (CfConfig) config = parse (exported, &problems);
  EXPECT_NE (config, nullptr) << format_problems (problems);
}

/* Guards against row numbers that differ from those in the spreadsheet.  */
TEST (Sheet, RowNumbersCountBlankLines)
{
  std::string text = read_example ("tammemets.csv");
  g_autoptr (GPtrArray) problems = nullptr;
  replace (text, "\nservice,boards", "\r\n\r\nservice,Boards");
  ASSERT_EQ (parse (text, &problems), nullptr);
  EXPECT_EQ (find_problem (problems, SH_ERROR_NAME)->row, 4u)
      << format_problems (problems);
}

/* Guards against an older sheet undoing the current one when the date of the
   client's clock is that of the older sheet.  */
TEST (Sheet, RejectsSheetOlderThanCurrentOne)
{
  g_autoptr (GPtrArray) problems = nullptr;
  ASSERT_EQ (parse (read_example ("tammemets.csv"), &problems, "2026-12-04",
                    "2026-12-05"),
             nullptr);
  EXPECT_NE (find_problem (problems, SH_ERROR_OLD_SHEET), nullptr);
}

/* Guards against the separator of another locale being reported as 26 missing
   columns.  */
TEST (Sheet, ReportsSemicolonSeparatorOnce)
{
  std::string text = read_example ("tammemets.csv");
  g_autoptr (GPtrArray) problems = nullptr;
  for (char &c : text)
    c = c == ',' ? ';' : c;
  ASSERT_EQ (parse (text, &problems), nullptr);
  EXPECT_EQ (problems->len, 1u);
  EXPECT_NE (format_problems (problems).find ("semicolons"),
             std::string::npos);
}

/* Guards against having to export the sheet once per problem.  */
TEST (Sheet, ReportsAllProblemsAtOnce)
{
  std::string text = read_example ("tammemets.csv");
  g_autoptr (GPtrArray) problems = nullptr;
  replace (text, "aalto-home,,,,,,,,,,,,200", "aalto-home,,,,,,,,,,,,2000");
  replace (text, "T21:30:00+02:00", "T21:30:00");
  replace (text, "route,/boards/,,boards", "route,/boards/,,bords");
  replace (text, "2026-12-04", "2026-12-03");
  ASSERT_EQ (parse (text, &problems), nullptr);
  for (ShError code : { SH_ERROR_RATE_CAPACITY, SH_ERROR_TIME_ZONE,
                        SH_ERROR_REFERENCE, SH_ERROR_OLD_SHEET })
    EXPECT_NE (find_problem (problems, code), nullptr) << sh_error_name (code);
  EXPECT_EQ (problems->len, 4u) << format_problems (problems);
}

/* Guards against a plain key in the sheet reaching the operator's terminal and
   its log.  */
TEST (Sheet, PlainKeyIsNotInMessages)
{
  std::string text = read_example ("tammemets.csv");
  g_autoptr (GPtrArray) problems = nullptr;
  size_t at = text.find ("aalto-home-1,aalto-home,,,,,,,") + 30;
  text.replace (at, 64, "hunter2");
  ASSERT_EQ (parse (text, &problems), nullptr);
  EXPECT_NE (find_problem (problems, SH_ERROR_KEY), nullptr);
  EXPECT_EQ (format_problems (problems).find ("hunter2"), std::string::npos);
}

/* Guards against a sheet reactivating a key, under its own or another id, that
   was revoked after the sheet was written.  */
TEST (Sheet, RevokedKeyStaysRevoked)
{
  std::string text = read_example ("tammemets.csv");
  g_autoptr (GPtrArray) problems = nullptr;
  g_autoptr (CfConfig) current = parse (text, &problems);
  ASSERT_NE (current, nullptr);
  auto *customer = (CfCustomer *)g_ptr_array_index (current->customers, 0);
  ((CfKey *)g_ptr_array_index (customer->keys, 0))->withdrawn = TRUE;
  replace (text, "aalto-home-1", "aalto-home-9");
  ASSERT_EQ (parse (text, &problems, "2026-12-04", nullptr, current), nullptr);
  EXPECT_NE (find_problem (problems, SH_ERROR_KEY_REVOKED), nullptr);

  g_clear_pointer (&problems, g_ptr_array_unref);
  size_t state = text.find (",active", text.find ("aalto-home-9"));
  text.replace (state, 7, ",");
  g_autoptr (CfConfig) next
      = parse (text, &problems, "2026-12-04", nullptr, current);
  ASSERT_NE (next, nullptr) << format_problems (problems);
  customer = (CfCustomer *)g_ptr_array_index (next->customers, 0);
  EXPECT_TRUE (((CfKey *)g_ptr_array_index (customer->keys, 0))->withdrawn);
}

/* Guards against losing a key that was added to the configuration and is in
   the sheet by its id only.  */
TEST (Sheet, KeepsCurrentKeyNamedById)
{
  std::string text = read_example ("tammemets.csv");
  g_autoptr (GPtrArray) problems = nullptr;
  g_autoptr (CfConfig) current = parse (text, &problems);
  ASSERT_NE (current, nullptr);
  size_t at = text.find ("aalto-home-1,aalto-home,,,,,,,") + 30;
  text.replace (at, 64, "");
  g_autoptr (CfConfig) next
      = parse (text, &problems, "2026-12-04", nullptr, current);
  ASSERT_NE (next, nullptr) << format_problems (problems);
  g_autoptr (GPtrArray) lines = cf_diff (current, next);
  EXPECT_EQ (lines->len, 0u);
  ASSERT_EQ (parse (text, &problems), nullptr);
  EXPECT_NE (find_problem (problems, SH_ERROR_REFERENCE), nullptr);
}

/* Guards against a sheet ending a key that was issued after the sheet was
   written.  */
TEST (Sheet, ActiveKeyNeedsRow)
{
  std::string text = read_example ("tammemets.csv");
  g_autoptr (GPtrArray) problems = nullptr;
  g_autoptr (CfConfig) current = parse (text, &problems);
  ASSERT_NE (current, nullptr);
  auto *customer = (CfCustomer *)g_ptr_array_index (current->customers, 0);
  CfKey *key = cf_add_key (customer, "night-key");
  ASSERT_EQ (parse (text, &problems, "2026-12-04", nullptr, current), nullptr);
  ASSERT_NE (find_problem (problems, SH_ERROR_KEY_MISSING), nullptr);
  EXPECT_EQ (find_problem (problems, SH_ERROR_KEY_MISSING)->row, 26u);
  key->withdrawn = TRUE;
  g_autoptr (CfConfig) next
      = parse (text, &problems, "2026-12-04", nullptr, current);
  EXPECT_NE (next, nullptr);
}

/* Guards against shifts whose caps, directions or shares contradict each
   other.  */
TEST (Sheet, RejectsContradictingShifts)
{
  static const struct
  {
    const char *service, *from, *to, *cells;
    const char *field;
  } cases[] = {
    { "boards", "nordic", "central", "600,10,30", "cap_per_s" },
    { "boards", "central", "nordic", "600,10,30", "from" },
    { "boards", "nordic", "baltic", "600,51,30", "share_percent" },
    { "palettes", "baltic", "central", "600,10,521", "cap_per_s" },
  };

  for (const auto &c : cases)
    {
      std::string text = read_example ("tammemets.csv");
      g_autoptr (GPtrArray) problems = nullptr;
      add_row (text, std::string ("shift,second,,") + c.service + ",," + c.from
                         + "," + c.to
                         + ",,,,,,,,,,,,,2027-01-16T20:00:00Z,"
                           "2027-01-16T21:00:00Z,"
                         + c.cells + ",,");
      ASSERT_EQ (parse (text, &problems), nullptr) << c.cells;
      const ShProblem *problem
          = find_problem (problems, SH_ERROR_SHIFT_CONFLICT);
      ASSERT_NE (problem, nullptr) << format_problems (problems);
      EXPECT_STREQ (problem->field, c.field) << format_problems (problems);
      EXPECT_EQ (problem->row, 53u);
    }
}

/* Guards against overlapping drains that are harmless one by one but together
   leave a region without zones.  */
TEST (Sheet, RejectsOverlappingDrainsOfAllZones)
{
  std::string text = read_example ("tammemets.csv");
  g_autoptr (GPtrArray) problems = nullptr;
  const char *span = ",,,,,,,,,,,2027-01-16T22:00:00Z,2027-01-17T00:00:00Z,"
                     ",,,,";
  add_row (text, std::string ("drain,second,,,,,,zone,nordic-1") + span);
  ASSERT_EQ (parse (text, &problems), nullptr);
  EXPECT_NE (find_problem (problems, SH_ERROR_DRAIN_CAPACITY), nullptr)
      << format_problems (problems);
}

/* Guards against a sheet that the client accepts and the daemons, which read
   its JSON form, reject, and against input that crashes the client.  */
TEST (Sheet, AcceptedMutationsRoundTripAsJson)
{
  const uint32_t seed = 20261204;
  std::string example_text = read_example ("tammemets.csv");
  GRand *random = g_rand_new_with_seed (seed);
  int accepted = 0;

  for (int i = 0; i < 4000; i++)
    {
      std::string text = example_text;
      for (int edits = g_rand_int_range (random, 1, 4); edits > 0; edits--)
        {
          size_t at = g_rand_int_range (random, 0, (int)text.size ());
          size_t span = g_rand_int_range (random, 0, 4);
          text.replace (at, span, 1, (char)g_rand_int_range (random, 0, 256));
        }
      g_autoptr (GPtrArray) problems = nullptr;
      g_autoptr (CfConfig) config = parse (text, &problems);
      if (config == nullptr)
        {
          ASSERT_GT (problems->len, 0u) << "seed " << seed << ", input " << i;
          continue;
        }
      g_autofree char *json = cf_to_json (config);
      g_autoptr (GError) error = nullptr;
      g_autoptr (CfConfig) reread = cf_from_json (json, strlen (json), &error);
      ASSERT_NE (reread, nullptr)
          << error->message << ", seed " << seed << ", input " << i;
      accepted++;
    }
  g_rand_free (random);
  EXPECT_GT (accepted, 10) << "seed " << seed;
}
