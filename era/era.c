#include "era/era.h"

void
er_on_read (ErGuard *guard, uint64_t era, uint64_t revision, int64_t now_us)
{
  if (guard->era == 0)
    {
      guard->era = era;
      guard->revision = revision;
      guard->seen_us = now_us;
      guard->is_settled
          = guard->is_settled || era <= ER_FIRST || era == guard->recorded_era;
      return;
    }
  guard->revision = MIN (guard->revision, revision);
  if (now_us - guard->seen_us >= ER_SETTLE_US)
    guard->is_settled = TRUE;
}

void
er_on_restored (ErGuard *guard, uint64_t era, int64_t now_us)
{
  guard->era = era;
  guard->revision = G_MAXUINT64; /* until the read is complete */
  guard->seen_us = now_us;
}

void
er_on_config (ErGuard *guard, uint64_t revision)
{
  if (guard->era != 0 && revision > guard->revision)
    guard->is_settled = TRUE;
}

void
er_on_record (ErGuard *guard, uint64_t era)
{
  guard->recorded_era = MAX (guard->recorded_era, era);
  if (era != 0 && era == guard->era)
    guard->is_settled = TRUE;
}

void
er_on_confirmation (ErGuard *guard)
{
  guard->is_settled = TRUE;
}

gboolean
er_wants_record (const ErGuard *guard, int64_t now_us)
{
  return guard->is_settled && guard->era > ER_FIRST
         && guard->recorded_era < guard->era
         && now_us - guard->seen_us >= ER_SETTLE_US;
}
