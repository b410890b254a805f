#include <gtest/gtest.h>

#include <string>

extern "C"
{
#include "days/days.h"
}

namespace
{

const char kSite[] = "name = \"site\"\n"
                     "other = [\n  { kind = \"not_a_trouble\" },\n]\n"
                     "troubles = [\n"
                     "  { kind = \"burst\", x = 1.7, for_s = 3.0 },\n"
                     "  # a comment\n"
                     "  { kind = \"scale_in\", share = 0.13 },\n"
                     "]\n"
                     "[[day]]\nfaults = [\n  { kind = \"lossy\" },\n]\n";

/* Guards against rows of other lists, and against lost fields.  */
TEST (Days, ReadsTheListOfTroubles)
{
  g_autoptr (GPtrArray) troubles = dy_read_troubles (kSite);

  ASSERT_EQ (2u, troubles->len);
  const auto *burst = (const DyTrouble *)troubles->pdata[0];
  const auto *scale_in = (const DyTrouble *)troubles->pdata[1];
  EXPECT_STREQ ("burst", burst->kind);
  EXPECT_STREQ ("kind = \"burst\", x = 1.7, for_s = 3.0", burst->fields);
  EXPECT_EQ (3.0, burst->for_s);
  EXPECT_FALSE (burst->is_planned);
  EXPECT_TRUE (scale_in->is_planned);
  EXPECT_GT (scale_in->for_s, 0);
}

TEST (Days, HasNoTroublesInATextWithoutThem)
{
  g_autoptr (GPtrArray) troubles = dy_read_troubles ("troubles = []\n");

  EXPECT_EQ (0u, troubles->len);
}

/* Returns the times of KIND in DAY.  */
std::vector<double>
Times (const std::string &day, const std::string &kind)
{
  std::vector<double> times;

  for (size_t at = 0; (at = day.find ("{ at = ", at)) != day.npos; at++)
    if (day.substr (day.find ("kind", at), kind.size () + 8)
        == "kind = \"" + kind)
      times.push_back (std::stod (day.substr (at + 7)));
  return times;
}

/* Guards against a pair that does not overlap, or comes in one order only, and
   against days that cannot be drawn again.  */
TEST (Days, OverlapsBothInBothOrders)
{
  g_autoptr (GPtrArray) troubles = dy_read_troubles (kSite);

  for (uint32_t seed = 1; seed <= 100; seed++)
    {
      g_autofree char *day = dy_format_pair (troubles, 0, 1, seed);
      g_autofree char *again = dy_format_pair (troubles, 0, 1, seed);
      std::vector<double> bursts = Times (day, "burst");
      std::vector<double> scale_ins = Times (day, "scale_in");

      EXPECT_STREQ (day, again);
      ASSERT_EQ (2u, bursts.size ()) << day;
      ASSERT_EQ (2u, scale_ins.size ()) << day;
      EXPECT_GE (scale_ins[0], bursts[0]);
      EXPECT_LE (scale_ins[0], bursts[0] + 3.01);
      EXPECT_GE (bursts[1], scale_ins[1]);
      EXPECT_LE (std::string (day).find ("plan = ["),
                 std::string (day).find ("scale_in\", share"));
    }
}

}
