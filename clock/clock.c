#include "clock/clock.h"

#include <time.h>

static int64_t
read_us (clockid_t clock)
{
  struct timespec ts;

  clock_gettime (clock, &ts);
  return (int64_t)ts.tv_sec * CK_US_PER_S + ts.tv_nsec / 1000;
}

int64_t
ck_boot_us (void)
{
  return read_us (CLOCK_BOOTTIME);
}

int64_t
ck_wall_ms (void)
{
  return read_us (CLOCK_REALTIME) / CK_US_PER_MS;
}

int64_t
ck_cpu_us (void)
{
  return read_us (CLOCK_PROCESS_CPUTIME_ID);
}
