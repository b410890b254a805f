#include "entry/outage.h"

static gboolean
is_outage (const EnOutage *outage, int64_t now_us)
{
  return outage->down_since_us != 0
         && now_us - outage->down_since_us >= EN_OUTAGE_MIN_US;
}

void
en_outage_note_failure (EnOutage *outage, int64_t now_us)
{
  if (outage->down_since_us == 0)
    outage->down_since_us = now_us;
}

void
en_outage_note_restored (EnOutage *outage, int64_t now_us)
{
  int64_t lasting_since_us = MAX (1, now_us - EN_OUTAGE_MIN_US);

  if (outage->down_since_us == 0 || outage->down_since_us > lasting_since_us)
    outage->down_since_us = lasting_since_us;
}

gboolean
en_outage_note_sync (EnOutage *outage, int64_t now_us)
{
  gboolean ended
      = outage->down_since_us != 0 && en_outage_retains (outage, now_us);

  if (ended)
    outage->retain_until_us = now_us + EN_OUTAGE_RETAIN_US;
  outage->down_since_us = 0;
  return ended;
}

void
en_outage_note_delta (EnOutage *outage)
{
  outage->down_since_us = 0;
}

gboolean
en_outage_retains (const EnOutage *outage, int64_t now_us)
{
  return now_us < outage->retain_until_us || is_outage (outage, now_us);
}
