#include "entry/stop.h"

#define US_PER_MS ((int64_t)1000)

static int64_t
left_after_ms (uint32_t grace_ms, uint32_t reserved_ms)
{
  return grace_ms > reserved_ms ? grace_ms - reserved_ms : 0;
}

void
en_stop_begin (EnStop *stop, uint32_t grace_ms, int64_t now_us)
{
  int64_t serve_ms = MIN (EN_STOP_SERVE_MS, (int64_t)grace_ms / 2);
  uint32_t reserved_ms = MIN (EN_STOP_END_MS, grace_ms / EN_STOP_END_PART);

  stop->serve_until_us = now_us + serve_ms * US_PER_MS;
  stop->accept_until_us
      = now_us + left_after_ms (grace_ms, EN_STOP_NO_ACCEPT_MS) * US_PER_MS;
  stop->end_us = now_us + left_after_ms (grace_ms, reserved_ms) * US_PER_MS;
  stop->exit_us
      = now_us + left_after_ms (grace_ms, reserved_ms / 2) * US_PER_MS;
  stop->last_us
      = now_us + left_after_ms (grace_ms, reserved_ms / 4) * US_PER_MS;
}

gboolean
en_stop_may_exit (const EnStop *stop, gboolean is_writing, int64_t now_us)
{
  return now_us >= (is_writing ? stop->last_us : stop->exit_us);
}

gboolean
en_stop_admits (const EnStop *stop, int64_t deadline_us,
                int64_t latency_target_us, int64_t now_us)
{
  if (stop->serve_until_us == 0 || deadline_us <= stop->end_us)
    return TRUE;
  return now_us < stop->serve_until_us
         && now_us + EN_STOP_SERVICE_TARGETS * latency_target_us
                <= stop->end_us;
}
