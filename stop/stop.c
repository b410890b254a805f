#include "stop/stop.h"

#define US_PER_MS ((int64_t)1000)

static int64_t
left_after_ms (uint32_t grace_ms, uint32_t reserved_ms)
{
  return grace_ms > reserved_ms ? grace_ms - reserved_ms : 0;
}

void
sp_begin (SpStop *stop, const SpOptions *options, int64_t now_us)
{
  uint32_t grace_ms = options->grace_ms;
  int64_t serve_ms = options->serve_ms > 0 ? options->serve_ms : SP_SERVE_MS;
  int64_t accept_ms = left_after_ms (grace_ms, SP_NO_ACCEPT_MS);
  uint32_t reserved_ms = MIN (SP_END_MS, grace_ms / SP_END_PART);

  if (options->listen_ms > 0)
    accept_ms = MIN (accept_ms, options->listen_ms);
  stop->serve_until_us = now_us + MIN (serve_ms, grace_ms / 2) * US_PER_MS;
  stop->accept_until_us = now_us + accept_ms * US_PER_MS;
  stop->end_us = now_us + (grace_ms - reserved_ms) * US_PER_MS;
  stop->exit_us = now_us + (grace_ms - reserved_ms / 2) * US_PER_MS;
  stop->last_us = now_us + (grace_ms - reserved_ms / 4) * US_PER_MS;
  stop->over_us = now_us + grace_ms * US_PER_MS;
}

gboolean
sp_may_exit (const SpStop *stop, gboolean is_writing, int64_t now_us)
{
  return now_us >= (is_writing ? stop->last_us : stop->exit_us);
}

gboolean
sp_admits (const SpStop *stop, int64_t deadline_us, int64_t service_us,
           int64_t now_us)
{
  if (stop->serve_until_us == 0 || deadline_us <= stop->end_us)
    return TRUE;
  return now_us < stop->serve_until_us
         && now_us + SP_SERVICE_TIMES * service_us <= stop->end_us;
}
