#include "entry/timer.h"

#include <event2/event.h>

#include "clock/clock.h"

struct EnTimer
{
  struct event *event;
  int64_t due_us;
  void (*on_timer) (void *data);
  void *data;
};

static void
wait_until_due (EnTimer *timer)
{
  int64_t left_us = MAX (0, timer->due_us - ck_boot_us ());
  struct timeval timeout = { left_us / CK_US_PER_S, left_us % CK_US_PER_S };

  event_add (timer->event, &timeout);
}

static void
on_event (evutil_socket_t fd, short what, void *data)
{
  EnTimer *timer = data;

  (void)fd;
  (void)what;
  if (ck_boot_us () < timer->due_us)
    wait_until_due (timer);
  else
    timer->on_timer (timer->data);
}

EnTimer *
en_timer_new (struct event_base *base, void (*on_timer) (void *data),
              void *data)
{
  EnTimer *timer = g_new0 (EnTimer, 1);

  timer->event = event_new (base, -1, 0, on_event, timer);
  timer->on_timer = on_timer;
  timer->data = data;
  return timer;
}

void
en_timer_free (EnTimer *timer)
{
  if (timer == NULL)
    return;
  event_free (timer->event);
  g_free (timer);
}

void
en_timer_start (EnTimer *timer, int64_t due_us)
{
  timer->due_us = due_us;
  wait_until_due (timer);
}
