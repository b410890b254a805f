#include <gtest/gtest.h>

#include <fstream>
#include <sstream>
#include <string>

extern "C"
{
#include "event/event.h"
}

namespace
{

EvRing *
new_ring (uint32_t capacity_count)
{
  EvOptions options = {};
  options.vm = "vm1";
  options.capacity_count = capacity_count;
  return ev_ring_new (&options);
}

/* Guards against a full ring that overwrites its newest instead of its oldest
   event.  */
TEST (Event, RingKeepsTheNewestEvents)
{
  EvRing *ring = new_ring (3);

  for (uint64_t version = 1; version <= 5; version++)
    {
      EvFields fields = {};
      fields.config_version = version;
      ev_record (ring, 1000, EV_CONFIG_IN_FORCE, &fields);
    }
  ASSERT_EQ (3u, ev_ring_count (ring));
  EXPECT_EQ (3u, ev_ring_at (ring, 0)->config_version);
  EXPECT_EQ (5u, ev_ring_at (ring, 2)->config_version);
  ev_ring_free (ring);
}

/* Guards against an event that is sorted before the event that caused it when
   the wall clock of the receiving VM is two seconds behind.  */
TEST (Event, EffectIsStampedAfterItsCauseDespiteClockSkew)
{
  EvRing *sender = new_ring (4);
  EvRing *receiver = new_ring (4);

  ev_record (sender, 10000, EV_REQUEST_SENT, NULL);
  EvStamp stamp = ev_next_stamp (sender, 10000);
  ev_merge_stamp (receiver, 8000, stamp);
  ev_record (receiver, 8001, EV_REQUEST_ANSWERED, NULL);
  EXPECT_LT (ev_stamp_compare (ev_ring_at (sender, 0)->stamp,
                               ev_ring_at (receiver, 0)->stamp),
             0);
  ev_ring_free (sender);
  ev_ring_free (receiver);
}

/* Guards against one wrong wall clock that moves the clocks of all daemons
   ahead.  */
TEST (Event, IgnoresStampFarInTheFuture)
{
  EvRing *ring = new_ring (2);

  ev_merge_stamp (ring, 1000, { 1000 + EV_SKEW_MAX_MS + 1, 0 });
  ev_record (ring, 1001, EV_DAEMON_READY, NULL);
  EXPECT_EQ (1001u, ev_ring_at (ring, 0)->stamp.wall_ms);
  ev_ring_free (ring);
}

/* Guards against a page docs/events.md that lacks an event or names it
   differently, and against a catalogue that is not ordered by number.  */
TEST (Event, EveryEventIsInTheCataloguePage)
{
  std::ifstream file (CW_SOURCE_DIR "/docs/events.md");
  std::stringstream page;
  uint32_t count = 0;
  const EvKind *kinds = ev_catalogue (&count);

  ASSERT_TRUE (file.good ());
  page << file.rdbuf ();
  for (uint32_t i = 0; i < count; i++)
    {
      std::string row = "| " + std::to_string (kinds[i].number) + " | "
                        + kinds[i].name + " | ";
      EXPECT_NE (std::string::npos, page.str ().find (row)) << row;
      EXPECT_TRUE (i == 0 || kinds[i - 1].number < kinds[i].number);
    }
}

}
