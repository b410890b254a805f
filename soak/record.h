/* record.h - what callers, targets and operators saw, and what must hold

   SYNOPSIS
     SkRecord *record = sk_record_new ();
     sk_record_request (record, &request);
     sk_record_period (record, &period);
     GPtrArray *broken = sk_check (record, runs, arrivals, &bounds);

   DESCRIPTION
     Only what is seen from outside of the daemons counts: answers to callers,
     and the lines that targets write of arrivals and runs, "TIME_US TARGET
     REQUEST CUSTOMER KEY".  Times are of the monotonic clock.

     sk_check returns one text for each broken promise:

       twice      an unsafe request ran more than once
       false      a request that was said not to have run had
       customer   a target got a request in another customer's name
       key        a target saw a key
       spoiled    a success whose body is not that of the target that ran it
       withdrawn  a key was accepted after its time
       drain      a target got work after it had said that it leaves; the
                  bound runs while daemons reach the store
       evacuated  a target of an evacuated zone got work; as before
       cold       a cold target got more than it bears
       rate       a customer got more than its rate and burst
       repeats    more repeats than the budget
       recovery   requests failed after all faults had ended

   ERRORS
     None.  Lines that cannot be read are reported as broken.  */

#ifndef SK_RECORD_H
#define SK_RECORD_H

#include <glib.h>
#include <stdint.h>

typedef struct
{
  char id[32];
  const char *customer; /* static; "-" without one */
  int key_number;       /* of the key that it presented */
  gboolean is_unsafe;
  int64_t sent_us;
  int64_t ended_us; /* 0: no answer */
  int status;       /* 0: no answer */
  gboolean said_not_run;
  char body[16]; /* start of it */
} SkRequest;

typedef enum
{
  SK_PERIOD_KEY_WITHDRAWN, /* SUBJECT is its number; never ends */
  SK_PERIOD_DRAIN,
  SK_PERIOD_EVACUATED, /* SUBJECT is a zone */
  SK_PERIOD_COLD,
  SK_PERIOD_UNSTABLE, /* the store, or a daemon's way to it, has a fault */
} SkPeriodKind;

typedef struct
{
  SkPeriodKind kind;
  char subject[16];
  int64_t from_us;
  int64_t until_us; /* INT64_MAX: lasts */
} SkPeriod;

typedef struct
{
  int64_t key_us;      /* until a withdrawn key must not work */
  int64_t drain_us;    /* until a drain holds */
  int64_t evacuate_us; /* until an evacuation holds */
  double cold_per_s;   /* of a target, with what may go above it */
  const char *limited_customer;
  double rate_per_s;
  double burst_count; /* with what may go above it */
  int64_t rate_window_us;
  double repeat_ratio;
  double repeat_reserve_count; /* in REPEAT_WINDOW_US */
  int64_t repeat_window_us;
  int64_t calm_us; /* from when on all is to be served */
} SkBounds;

typedef struct
{
  GArray *requests; /* SkRequest */
  GArray *periods;  /* SkPeriod */
} SkRecord;

SkRecord *sk_record_new (void);
void sk_record_free (SkRecord *record);
/* Returns its number.  */
guint sk_record_request (SkRecord *record, const SkRequest *request);
SkRequest *sk_record_get (SkRecord *record, guint number);
void sk_record_begin (SkRecord *record, SkPeriodKind kind, const char *subject,
                      int64_t now_us);
void sk_record_end (SkRecord *record, SkPeriodKind kind, const char *subject,
                    int64_t now_us);

/* Texts; free with g_ptr_array_unref.  ZONE_OF tells the zone of a target.  */
GPtrArray *sk_check (SkRecord *record, const char *runs, const char *arrivals,
                     const char *(*zone_of) (const char *target),
                     const SkBounds *bounds);

G_DEFINE_AUTOPTR_CLEANUP_FUNC (SkRecord, sk_record_free)

#endif
