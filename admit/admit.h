/* admit.h - when callers that are rejected for lack of capacity return

   SYNOPSIS
     g_autoptr (AcSet) set = ac_new ();
     ac_note_response (set, "boards", now_us);
     AcRequest request = { .service = "boards", .priority = 1,
                           .hash = hash, .service_us = 100000,
                           .left_us = 2000000 };
     int64_t retry_after_us = ac_retry_after (set, &request, now_us);

   DESCRIPTION
     A set has a virtual queue for each service.  It advances at the rate at
     which responses of the service complete, counted with a half-life of
     AC_HALF_LIFE_US, and at least by a place in each service time.
     ac_retry_after gives a rejected caller the next place of its priority.  A
     place also delays the next places of all less urgent priorities.

     A place is no earlier than a service time from now, in which a slot
     becomes free.  A caller for which the next place would be later than a
     third of the time that it has left gets none, and is spread over the
   second half of that third.  The result is never less than
   AC_RETRY_AFTER_MIN_US.

     The package reads no clock and does no I/O.  Times are in microseconds of
     one monotonic clock.  State is bounded: AC_SERVICES_MAX services, of which
     the least recently seen is removed first.

   ERRORS
     None.  Priorities of AC_PRIORITIES and above count as the least urgent
     one.  */

#ifndef AC_ADMIT_H
#define AC_ADMIT_H

#include <glib.h>
#include <stdint.h>

/* Bounds the memory; as many as a route may split its traffic over.  */
#define AC_SERVICES_MAX 64
/* Bounds the state and the work for a place; no more than three priorities
   occur in the configurations of the tests.  */
#define AC_PRIORITIES 8
/* The shortest deadline of a caller: an older rate no longer matters to the
   requests that wait now.  */
#define AC_HALF_LIFE_US ((int64_t)2000000)
/* A caller needs a round trip between regions, and a new connection.  */
#define AC_RETRY_AFTER_MIN_US ((int64_t)50000)
/* Callers wait at most this part of the time that they have left.  */
#define AC_RETRY_AFTER_DIVISOR 3

typedef struct AcSet AcSet;

typedef struct
{
  const char *service;
  uint32_t priority;  /* 0 is the most urgent */
  uint64_t hash;      /* spreads callers that would return together */
  int64_t service_us; /* expected service time; 0: unknown */
  int64_t left_us;    /* until the deadline */
} AcRequest;

AcSet *ac_new (void);
void ac_free (AcSet *set);

/* Counts a completed response of SERVICE.  */
void ac_note_response (AcSet *set, const char *service, int64_t now_us);

/* Time until the rejected caller of REQUEST is to return; takes a place.  */
int64_t ac_retry_after (AcSet *set, const AcRequest *request, int64_t now_us);

/* What ac_retry_after would return; changes nothing.  */
int64_t ac_peek_retry_after (const AcSet *set, const AcRequest *request,
                             int64_t now_us);

uint32_t ac_service_count (const AcSet *set);

G_DEFINE_AUTOPTR_CLEANUP_FUNC (AcSet, ac_free)

#endif
