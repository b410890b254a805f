/* timer.h - a one-shot timer that does not fire early

   SYNOPSIS
     EnTimer *timer = en_timer_new (base, on_timer, request);
     en_timer_start (timer, ck_boot_us () + 30 * CK_US_PER_MS);

   DESCRIPTION
     libevent counts the timeout of an event from the start of the loop's turn
     in which it was added, so after a long turn the event is active early, by
     the length of that turn.  This timer compares the clock and waits for the
     rest.

     Times are CLOCK_BOOTTIME in microseconds.

   ERRORS
     None.  */

#ifndef EN_TIMER_H
#define EN_TIMER_H

#include <glib.h>
#include <stdint.h>

struct event_base;

typedef struct EnTimer EnTimer;

/* ON_TIMER may free the timer.  */
EnTimer *en_timer_new (struct event_base *base, void (*on_timer) (void *data),
                       void *data);
/* TIMER may be NULL.  */
void en_timer_free (EnTimer *timer);

/* Calls the timer's function from the loop, not before DUE_US; replaces an
   earlier start.  */
void en_timer_start (EnTimer *timer, int64_t due_us);

#endif
