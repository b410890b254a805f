/* clock.h - boot time, wall clock and CPU time

   DESCRIPTION
     The validity of leases and grants is measured on CLOCK_BOOTTIME, which
     also counts the time during which a VM was suspended.  Schedules and the
     stamps of events and messages use the wall clock.  Modules that make
     decisions do not read the clocks; they take the time as an argument.  */

#ifndef CK_CLOCK_H
#define CK_CLOCK_H

#include <stdint.h>

#define CK_US_PER_MS 1000
#define CK_US_PER_S 1000000

int64_t ck_boot_us (void); /* CLOCK_BOOTTIME */
int64_t ck_wall_ms (void); /* since 1970, UTC */
/* CPU time used by this process.  */
int64_t ck_cpu_us (void);

#endif
