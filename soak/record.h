/* record.h - log of requests and faults, and the checks on it

   SYNOPSIS
     SkRecord *record = sk_record_new ();
     sk_record_add_request (record, &request);
     sk_record_begin_period (record, SK_PERIOD_DRAIN, "t1", now_us);
     sk_record_end_period (record, SK_PERIOD_DRAIN, "t1", now_us);
     GPtrArray *violations
         = sk_record_check (record, &logs, &names, &bounds);

   DESCRIPTION
     The checks use only what is visible outside the daemons: responses to
     callers, and the lines that targets write for arrivals, runs and answers
     of requests, "TIME_US TARGET REQUEST CUSTOMER KEY", where KEY is "key" if
     the target received an API key, else "nokey".  Times are of the monotonic
     clock.  An unsafe request is one that must not run more than once.

     sk_record_check returns one line for each violation, which begins with:

       twice      an unsafe request ran more than once
       false      a request that was reported as not run did run
       customer   a target got a request that no caller sent, or that names
                  another customer than that of its caller
       key        a target received an API key
       spoiled    a successful response that is not from a target that ran
                  the request
       withdrawn  a revoked key was accepted after key_revocation_us
       drain      a draining target got a request later than drain_us after
                  it reported that it drains; unstable periods, in which
                  daemons possibly cannot reach the store, are not counted
       evacuated  a target of an evacuated zone got a request later than
                  evacuation_us after the evacuation, counted likewise
       cold       a cold target got more than cold_per_s requests in a second;
                  checked from drain_us after its report
       rate       requests of limited_customer ran above its rate and burst
       repeats    retries exceeded the retry budget
       recovery   a request that was sent after the recovery deadline failed,
                  other than with 401 or 429
       lost       before its deadline, a request ended without a response,
                  though it had reached a target, or later than loss_slack_us
                  after it was sent; or a stopping daemon responded in place of
                  a target that was at work on it.  Excused if the daemon, its
                  link to the store, or all targets that the request reached
                  had a fault from contact_us before the request to its end; if
                  it reached none, a fault of any target excuses.  Also excused
                  if it was sent no later than stop_sent_us after SIGTERM and
                  the target was at work in the last sixth of stop_grace_us.
                  Stops, reloads, changes of the configuration, faults of the
                  store alone and slow targets excuse nothing else.
       config     a request was handled (status 401, 403 or 404, or arrival at
                  a target) as none of the configurations allows; or as only
                  older ones than that acknowledged config_apply_us before it
                  was sent, at a daemon in touch; or as only older ones than
                  that of which a target saw the effect rollback_slack_us
                  before, in one lifetime of the daemon's process, eight times
                  that after a fault of the daemon; or, at daemons in touch,
                  20 requests or more to routes that were added later were
                  served less than a quarter as often as those to the first
                  routes of the same service, sent to the same daemon at about
                  the same time.
                  A daemon is in touch if neither it, its link to the
                  store nor the store had a fault, and it did not stop, from
                  contact_us before the request to its end.  Configurations
                  that the store lost, and that are written again, stay
                  acknowledged.  max_skew_s, which excuses a core that is
                  unstable but neither away nor slow, does not apply to the
                  store faults of a plan.
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
  char daemon[8];       /* to which it was sent */
  char route[8];        /* empty: not checked against configurations */
  const char *customer; /* static; "-" without one */
  int key_number;       /* of the key of c1 that was sent; else 0 */
  gboolean is_unsafe;
  int64_t sent_us;
  int64_t deadline_us;
  int64_t ended_us;          /* 0: in flight */
  int status;                /* 0: no response */
  gboolean reported_not_run; /* the response says "not_run" */
  char body[16];             /* start of the response body, which is the id of
                                the target with status 200 */
} SkRequest;

typedef enum
{
  SK_PERIOD_KEY_REVOKED,  /* subject: number of the key; never ends */
  SK_PERIOD_DRAIN,        /* subject: target */
  SK_PERIOD_EVACUATED,    /* subject: zone */
  SK_PERIOD_COLD,         /* subject: target */
  SK_PERIOD_UNSTABLE,     /* the store, a daemon or the link from the daemon to
                             the store has a fault; any subject */
  SK_PERIOD_STOP,         /* subject: daemon; from SIGTERM to its exit */
  SK_PERIOD_DAEMON_FAULT, /* subject: daemon; killed or paused */
  SK_PERIOD_STORE_LINK_FAULT, /* subject: daemon */
  SK_PERIOD_TARGET_FAULT,     /* subject: target; it or the link to it */
  SK_PERIOD_STORE_FAULT,      /* any subject */
  SK_PERIOD_PROCESS, /* subject: daemon; from the start of a process on */
} SkPeriodKind;

/* A valid configuration that the store acknowledged.  */
typedef struct
{
  int64_t put_us;
  int64_t acked_us;
  int key_number;   /* of c1 */
  char routes[128]; /* "NAME=SERVICE " for each */
} SkConfig;

/* Time during which the condition that KIND names holds for a subject.  */
typedef struct
{
  SkPeriodKind kind;
  char subject[16];
  int64_t from_us;
  int64_t until_us; /* INT64_MAX: has not ended */
} SkPeriod;

typedef struct
{
  int64_t key_revocation_us; /* after this, a revoked key is refused */
  int64_t drain_us;      /* after this, a draining target gets no request */
  int64_t evacuation_us; /* the same in an evacuated zone */
  double cold_per_s;     /* of a target, including the permitted excess */
  const char *limited_customer;
  double rate_per_s;  /* including the permitted excess */
  double burst_count; /* including the permitted excess */
  int64_t rate_window_us;
  double retry_ratio;         /* retries for each request */
  double retry_reserve_count; /* additional retries in retry_window_us */
  int64_t retry_window_us;
  int64_t recovery_deadline_us; /* requests sent later must succeed */
  int64_t loss_slack_us;
  int64_t contact_us; /* after this, a fault has no effect any more */
  int64_t stop_grace_us;
  int64_t stop_sent_us;
  int64_t config_apply_us;
  int64_t rollback_slack_us;
} SkBounds;

/* Zone and service of a target.  */
typedef struct
{
  const char *(*zone_of) (const char *target);
  const char *(*service_of) (const char *target);
} SkTargetNames;

/* The lines of the targets.  */
typedef struct
{
  const char *runs;
  const char *arrivals;
  const char *answers;
} SkLogs;

typedef struct
{
  GArray *requests; /* SkRequest */
  GArray *periods;  /* SkPeriod */
  GArray *configs;  /* SkConfig, oldest first */
} SkRecord;

SkRecord *sk_record_new (void);
void sk_record_free (SkRecord *record);
/* Returns the index of the copy in RECORD->requests.  */
guint sk_record_add_request (SkRecord *record, const SkRequest *request);
SkRequest *sk_record_get_request (SkRecord *record, guint index);
void sk_record_add_config (SkRecord *record, const SkConfig *config);
void sk_record_begin_period (SkRecord *record, SkPeriodKind kind,
                             const char *subject, int64_t now_us);
void sk_record_end_period (SkRecord *record, SkPeriodKind kind,
                           const char *subject, int64_t now_us);

/* Returns the violations as strings, none in a correct run; free with
   g_ptr_array_unref.  */
GPtrArray *sk_record_check (SkRecord *record, const SkLogs *logs,
                            const SkTargetNames *names,
                            const SkBounds *bounds);

G_DEFINE_AUTOPTR_CLEANUP_FUNC (SkRecord, sk_record_free)

#endif
