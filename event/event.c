#include "event/event.h"

#include <string.h>

struct EvRing
{
  EvOptions options;
  EvStamp clock; /* the latest stamp issued */
  uint32_t used_count;
  uint32_t next_index; /* where the next event is stored */
  EvEvent events[];
};

EvRing *
ev_ring_new (const EvOptions *options)
{
  EvRing *ring;

  g_assert (options->capacity_count > 0);
  ring = g_malloc0 (sizeof *ring
                    + options->capacity_count * sizeof ring->events[0]);
  ring->options = *options;
  return ring;
}

void
ev_ring_free (EvRing *ring)
{
  g_free (ring);
}

static EvStamp
advance_clock (EvRing *ring, uint64_t wall_ms)
{
  if (wall_ms > ring->clock.wall_ms)
    ring->clock = (EvStamp){ .wall_ms = wall_ms };
  else
    ring->clock.count++;
  return ring->clock;
}

EvStamp
ev_next_stamp (EvRing *ring, uint64_t wall_ms)
{
  return advance_clock (ring, wall_ms);
}

void
ev_merge_stamp (EvRing *ring, uint64_t wall_ms, EvStamp stamp)
{
  if (stamp.wall_ms > wall_ms + EV_SKEW_MAX_MS)
    return;
  if (ev_stamp_compare (stamp, ring->clock) > 0)
    ring->clock = stamp;
  advance_clock (ring, wall_ms);
}

int
ev_stamp_compare (EvStamp a, EvStamp b)
{
  if (a.wall_ms != b.wall_ms)
    return a.wall_ms < b.wall_ms ? -1 : 1;
  if (a.count != b.count)
    return a.count < b.count ? -1 : 1;
  return 0;
}

static void
copy_field (char *buffer, size_t size_bytes, const char *text)
{
  g_strlcpy (buffer, text == NULL ? "" : text, size_bytes);
}

void
ev_record (EvRing *ring, uint64_t wall_ms, EvNumber number,
           const EvFields *fields)
{
  static const EvFields no_fields = { 0 };
  const EvKind *kind = ev_find_kind (number);
  EvEvent *event = &ring->events[ring->next_index];

  g_assert (kind != NULL);
  if (fields == NULL)
    fields = &no_fields;
  event->stamp = advance_clock (ring, wall_ms);
  event->number = number;
  event->config_version = fields->config_version;
  copy_field (event->customer, sizeof event->customer, fields->customer);
  copy_field (event->target, sizeof event->target, fields->target);
  copy_field (event->request_id, sizeof event->request_id, fields->request_id);
  copy_field (event->detail, sizeof event->detail, fields->detail);
  ring->next_index = (ring->next_index + 1) % ring->options.capacity_count;
  ring->used_count = MIN (ring->used_count + 1, ring->options.capacity_count);
  if (kind->level > EV_LEVEL_DEBUG && ring->options.log != NULL)
    ring->options.log (kind, event, ring->options.log_data);
}

uint32_t
ev_ring_count (const EvRing *ring)
{
  return ring->used_count;
}

const EvEvent *
ev_ring_at (const EvRing *ring, uint32_t index)
{
  uint32_t capacity_count = ring->options.capacity_count;
  uint32_t oldest = (ring->next_index + capacity_count - ring->used_count)
                    % capacity_count;

  g_assert (index < ring->used_count);
  return &ring->events[(oldest + index) % capacity_count];
}

static gboolean
field_matches (const char *value, const char *wanted)
{
  return wanted == NULL || *wanted == '\0' || strcmp (value, wanted) == 0;
}

gboolean
ev_matches (const EvEvent *event, const EvFields *filter)
{
  return field_matches (event->customer, filter->customer)
         && field_matches (event->target, filter->target)
         && field_matches (event->request_id, filter->request_id)
         && (filter->config_version == 0
             || event->config_version == filter->config_version);
}
