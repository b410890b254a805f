/* record.h - log of requests and faults, and the checks on it

   SYNOPSIS
     SkRecord *record = sk_record_new ();
     sk_record_add_request (record, &request);
     sk_record_begin_period (record, SK_PERIOD_DRAIN, "t1", now_us);
     sk_record_end_period (record, SK_PERIOD_DRAIN, "t1", now_us);
     GPtrArray *violations
         = sk_record_check (record, runs, arrivals, zone_of, &bounds);

   DESCRIPTION
     The checks use only what is visible outside the daemons: responses to
     callers, and the lines that targets write for arrivals and runs of
     requests, "TIME_US TARGET REQUEST CUSTOMER KEY", where KEY is "key" if the
     target received one.  Times are of the monotonic clock.

     sk_record_check returns one line for each violation, which begins with:

       twice      an unsafe request ran more than once
       false      a request that was reported as not run did run
       customer   a target got a request that was not sent, or that names
                  another customer than its sender
       key        a target received a key
       spoiled    a successful response that is not from a target that ran
                  the request
       withdrawn  a revoked key was accepted after key_revocation_us
       drain      a target got requests drain_us after it reported that it
                  drains; time in which daemons may not reach the store is
                  not counted
       evacuated  a target of an evacuated zone got requests after
                  evacuation_us, counted likewise
       cold       a cold target got more requests than cold_per_s
       rate       requests of a customer ran above its rate and burst
       repeats    retries exceeded the retry budget
       recovery   a request that was sent after the recovery deadline failed,
                  other than with 401 or 429
       line       a line of a target that cannot be parsed

   ERRORS
     None.  */

#ifndef SK_RECORD_H
#define SK_RECORD_H

#include <glib.h>
#include <stdint.h>

typedef struct
{
  char id[32];
  const char *customer; /* static; "-" without one */
  int key_number;       /* of the key that was presented */
  gboolean is_unsafe;
  int64_t sent_us;
  int64_t ended_us; /* 0: no response */
  int status;       /* 0: no response */
  gboolean reported_not_run;
  char body[16]; /* start of the response body */
} SkRequest;

typedef enum
{
  SK_PERIOD_KEY_REVOKED, /* SUBJECT is the key's number; never ends */
  SK_PERIOD_DRAIN,
  SK_PERIOD_EVACUATED, /* SUBJECT is a zone */
  SK_PERIOD_COLD,
  SK_PERIOD_UNSTABLE, /* the store, a daemon or a link between has a fault */
} SkPeriodKind;

typedef struct
{
  SkPeriodKind kind;
  char subject[16];
  int64_t from_us;
  int64_t until_us; /* INT64_MAX: has not ended */
} SkPeriod;

typedef struct
{
  int64_t key_revocation_us; /* until a revoked key must be refused */
  int64_t drain_us;          /* until a draining target must get no request */
  int64_t evacuation_us;     /* the same in an evacuated zone */
  double cold_per_s;         /* of a target, including the permitted excess */
  const char *limited_customer;
  double rate_per_s;
  double burst_count; /* including the permitted excess */
  int64_t rate_window_us;
  double retry_ratio;
  double retry_reserve_count; /* in retry_window_us */
  int64_t retry_window_us;
  int64_t recovery_deadline_us; /* requests sent later must succeed */
} SkBounds;

typedef struct
{
  GArray *requests; /* SkRequest */
  GArray *periods;  /* SkPeriod */
} SkRecord;

SkRecord *sk_record_new (void);
void sk_record_free (SkRecord *record);
/* Returns the index of the copy in RECORD->requests.  */
guint sk_record_add_request (SkRecord *record, const SkRequest *request);
SkRequest *sk_record_get_request (SkRecord *record, guint index);
void sk_record_begin_period (SkRecord *record, SkPeriodKind kind,
                             const char *subject, int64_t now_us);
void sk_record_end_period (SkRecord *record, SkPeriodKind kind,
                           const char *subject, int64_t now_us);

/* Returns strings; free with g_ptr_array_unref.  ZONE_OF returns the zone of a
   target.  */
GPtrArray *sk_record_check (SkRecord *record, const char *runs,
                            const char *arrivals,
                            const char *(*zone_of) (const char *target),
                            const SkBounds *bounds);

G_DEFINE_AUTOPTR_CLEANUP_FUNC (SkRecord, sk_record_free)

#endif
