/* clock.h - the two clocks of a daemon

   DESCRIPTION
     Validity of leases and grants is measured on CLOCK_BOOTTIME, which also
     counts the time that a VM was suspended.  Schedules and stamps use the
     wall clock.  Decision packages take these values as arguments.  */

#ifndef CK_CLOCK_H
#define CK_CLOCK_H

#include <stdint.h>

#define CK_US_PER_MS 1000
#define CK_US_PER_S 1000000

int64_t ck_boot_us (void);
int64_t ck_wall_ms (void);
/* Processor time that this process has used.  */
int64_t ck_cpu_us (void);

#endif
