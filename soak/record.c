#include "soak/record.h"

#include <string.h>

/* Time allowed between a daemon's choice of a target and the arrival of the
   request there.  */
#define DISPATCH_DELAY_US ((int64_t)200000)
/* Timers of a daemon round to ms and start from the cached time of its event
   loop.  */
#define TIMER_TOLERANCE_US 5000
#define CONFIG_LATER_COUNT_MIN 20
/* Requests to one daemon within this time find the same targets.  */
#define CONFIG_NEAR_US ((int64_t)500000)
#define SLOWED_ROLLBACK_FACTOR 8

SkRecord *
sk_record_new (void)
{
  SkRecord *record = g_new0 (SkRecord, 1);

  record->requests = g_array_new (FALSE, TRUE, sizeof (SkRequest));
  record->periods = g_array_new (FALSE, TRUE, sizeof (SkPeriod));
  record->configs = g_array_new (FALSE, TRUE, sizeof (SkConfig));
  return record;
}

void
sk_record_free (SkRecord *record)
{
  if (record == NULL)
    return;
  g_array_unref (record->requests);
  g_array_unref (record->periods);
  g_array_unref (record->configs);
  g_free (record);
}

guint
sk_record_add_request (SkRecord *record, const SkRequest *request)
{
  g_array_append_val (record->requests, *request);
  return record->requests->len - 1;
}

SkRequest *
sk_record_get_request (SkRecord *record, guint index)
{
  return &g_array_index (record->requests, SkRequest, index);
}

void
sk_record_add_config (SkRecord *record, const SkConfig *config)
{
  g_array_append_val (record->configs, *config);
}

void
sk_record_begin_period (SkRecord *record, SkPeriodKind kind,
                        const char *subject, int64_t now_us)
{
  SkPeriod period = { .kind = kind, .from_us = now_us, .until_us = INT64_MAX };

  g_strlcpy (period.subject, subject, sizeof period.subject);
  g_array_append_val (record->periods, period);
}

void
sk_record_end_period (SkRecord *record, SkPeriodKind kind, const char *subject,
                      int64_t now_us)
{
  for (guint i = 0; i < record->periods->len; i++)
    {
      SkPeriod *period = &g_array_index (record->periods, SkPeriod, i);
      if (period->kind == kind && period->until_us == INT64_MAX
          && strcmp (period->subject, subject) == 0)
        period->until_us = now_us;
    }
}

typedef struct
{
  int64_t at_us;
  char *target;
  char *id;
  char *customer;
  gboolean has_key;
} LogEntry;

static void
clear_log_entry (gpointer data)
{
  LogEntry *entry = data;

  g_free (entry->target);
  g_free (entry->id);
  g_free (entry->customer);
}

typedef struct
{
  const SkBounds *bounds;
  SkRecord *record;
  const SkTargetNames *names;
  GPtrArray *violations;
  GArray *runs;                /* LogEntry */
  GArray *arrivals;            /* LogEntry */
  GArray *answers;             /* LogEntry */
  GHashTable *request_indexes; /* id to index of the request + 1 */
  GHashTable *run_counts;      /* id to count */
} Check;

static void add_violation (Check *check, const char *format, ...)
    G_GNUC_PRINTF (2, 3);

static void
add_violation (Check *check, const char *format, ...)
{
  va_list arguments;

  va_start (arguments, format);
  g_ptr_array_add (check->violations, g_strdup_vprintf (format, arguments));
  va_end (arguments);
}

static GArray *
parse_log (Check *check, const char *text)
{
  GArray *entries = g_array_new (FALSE, TRUE, sizeof (LogEntry));
  g_auto (GStrv) lines = g_strsplit (text, "\n", -1);

  g_array_set_clear_func (entries, clear_log_entry);
  for (char **line = lines; *line != NULL && **line != '\0'; line++)
    {
      g_auto (GStrv) words = g_strsplit (*line, " ", -1);
      LogEntry entry = { 0 };
      if (g_strv_length (words) != 5)
        {
          add_violation (check, "line: cannot parse \"%s\"", *line);
          continue;
        }
      entry.at_us = g_ascii_strtoll (words[0], NULL, 10);
      entry.target = g_strdup (words[1]);
      entry.id = g_strdup (words[2]);
      entry.customer = g_strdup (words[3]);
      entry.has_key = strcmp (words[4], "key") == 0;
      g_array_append_val (entries, entry);
    }
  return entries;
}

static const SkRequest *
find_request (const Check *check, const char *id)
{
  guint index
      = GPOINTER_TO_UINT (g_hash_table_lookup (check->request_indexes, id));

  return index != 0 ? sk_record_get_request (check->record, index - 1) : NULL;
}

static void
check_runs (Check *check)
{
  for (guint i = 0; i < check->runs->len; i++)
    {
      const LogEntry *entry = &g_array_index (check->runs, LogEntry, i);
      const SkRequest *request = find_request (check, entry->id);
      guint run_count = 1
                        + GPOINTER_TO_UINT (g_hash_table_lookup (
                            check->run_counts, entry->id));
      g_hash_table_insert (check->run_counts, entry->id,
                           GUINT_TO_POINTER (run_count));
      if (request != NULL && request->is_unsafe && run_count == 2)
        add_violation (check, "twice: %s ran again on %s", entry->id,
                       entry->target);
    }
}

static void
check_arrivals (Check *check)
{
  for (guint i = 0; i < check->arrivals->len; i++)
    {
      const LogEntry *entry = &g_array_index (check->arrivals, LogEntry, i);
      const SkRequest *request = find_request (check, entry->id);
      if (entry->has_key)
        add_violation (check, "key: %s got %s with a key", entry->target,
                       entry->id);
      if (request == NULL)
        add_violation (check, "customer: %s got %s, which was not sent",
                       entry->target, entry->id);
      else if (strcmp (request->customer, entry->customer) != 0)
        add_violation (check, "customer: %s got %s of %s in the name of %s",
                       entry->target, entry->id, request->customer,
                       entry->customer);
    }
}

/* A target responds with its id.  */
static gboolean
ran_on_target (const Check *check, const SkRequest *request)
{
  for (guint i = 0; i < check->runs->len; i++)
    {
      const LogEntry *entry = &g_array_index (check->runs, LogEntry, i);
      if (strcmp (entry->id, request->id) == 0
          && strcmp (entry->target, request->body) == 0)
        return TRUE;
    }
  return FALSE;
}

static void
check_responses (Check *check)
{
  for (guint i = 0; i < check->record->requests->len; i++)
    {
      const SkRequest *request = sk_record_get_request (check->record, i);
      if (request->reported_not_run
          && g_hash_table_contains (check->run_counts, request->id))
        add_violation (check, "false: %s got %d and not_run, but it ran",
                       request->id, request->status);
      if (request->status == 200 && !ran_on_target (check, request))
        add_violation (
            check,
            "spoiled: %s got the response of \"%s\", which did not run it",
            request->id, request->body);
      if (request->sent_us >= check->bounds->recovery_deadline_us
          && request->status != 200 && request->status != 429
          && request->status != 401
          && (request->status != 404 || request->route[0] == '\0'))
        add_violation (check,
                       "recovery: %s got %d, %" G_GINT64_FORMAT
                       " ms after the recovery deadline",
                       request->id, request->status,
                       (request->sent_us - check->bounds->recovery_deadline_us)
                           / 1000);
    }
}

static void
check_revoked_key (Check *check, const SkPeriod *period)
{
  for (guint i = 0; i < check->record->requests->len; i++)
    {
      const SkRequest *request = sk_record_get_request (check->record, i);
      g_autofree char *key = g_strdup_printf ("%d", request->key_number);
      if (strcmp (key, period->subject) == 0
          && request->sent_us
                 > period->from_us + check->bounds->key_revocation_us
          && request->status == 200)
        add_violation (
            check,
            "withdrawn: %s was served with key %s, %" G_GINT64_FORMAT
            " ms after it was revoked",
            request->id, key, (request->sent_us - period->from_us) / 1000);
    }
}

static gboolean
matches_period (const Check *check, const SkPeriod *period,
                const LogEntry *entry)
{
  const char *subject = period->kind == SK_PERIOD_EVACUATED
                            ? check->names->zone_of (entry->target)
                            : entry->target;

  return strcmp (subject, period->subject) == 0;
}

/* Returns the time since which every daemon can receive a change made at
   FROM_US: FROM_US or, where later, the end of the last unstable period that
   began before AT_US; AT_US if that period still lasts then.  */
static int64_t
stable_since_us (const Check *check, int64_t from_us, int64_t at_us)
{
  int64_t since_us = from_us;

  for (guint i = 0; i < check->record->periods->len; i++)
    {
      const SkPeriod *period
          = &g_array_index (check->record->periods, SkPeriod, i);
      if (period->kind == SK_PERIOD_UNSTABLE && period->from_us < at_us)
        since_us = MAX (since_us, MIN (period->until_us, at_us));
    }
  return since_us;
}

static void
check_no_arrivals (Check *check, const SkPeriod *period, const char *label,
                   int64_t bound_us)
{
  for (guint i = 0; i < check->arrivals->len; i++)
    {
      const LogEntry *entry = &g_array_index (check->arrivals, LogEntry, i);
      if (matches_period (check, period, entry)
          && entry->at_us
                 > stable_since_us (check, period->from_us, entry->at_us)
                       + bound_us + DISPATCH_DELAY_US
          && entry->at_us < period->until_us)
        add_violation (check,
                       "%s: %s got %s %" G_GINT64_FORMAT
                       " ms after the period began",
                       label, entry->target, entry->id,
                       (entry->at_us - period->from_us) / 1000);
    }
}

/* Returns whether more than LIMIT_COUNT of TIMES_US, in ascending order, are
   within WINDOW_US of each other.  *MAX_COUNT receives the highest number
   within one window.  */
static gboolean
exceeds_limit (const GArray *times_us, int64_t window_us, double limit_count,
               double *max_count)
{
  guint from = 0;

  *max_count = 0;
  for (guint i = 0; i < times_us->len; i++)
    {
      while (g_array_index (times_us, int64_t, i)
                 - g_array_index (times_us, int64_t, from)
             >= window_us)
        from++;
      *max_count = MAX (*max_count, i - from + 1);
    }
  return *max_count > limit_count;
}

static void
check_cold (Check *check, const SkPeriod *period)
{
  g_autoptr (GArray) times_us = g_array_new (FALSE, FALSE, sizeof (int64_t));
  double max_count;

  for (guint i = 0; i < check->arrivals->len; i++)
    {
      const LogEntry *entry = &g_array_index (check->arrivals, LogEntry, i);
      if (matches_period (check, period, entry)
          && entry->at_us > period->from_us + check->bounds->drain_us
          && entry->at_us < period->until_us)
        g_array_append_val (times_us, entry->at_us);
    }
  if (exceeds_limit (times_us, G_USEC_PER_SEC, check->bounds->cold_per_s,
                     &max_count))
    add_violation (check, "cold: %s got %.0f requests in a second",
                   period->subject, max_count);
}

static void
check_customer_rate (Check *check)
{
  const SkBounds *bounds = check->bounds;
  g_autoptr (GArray) times_us = g_array_new (FALSE, FALSE, sizeof (int64_t));
  double limit_count
      = bounds->rate_per_s * (double)bounds->rate_window_us / G_USEC_PER_SEC
        + bounds->burst_count;
  double max_count;

  for (guint i = 0; i < check->runs->len; i++)
    {
      const LogEntry *entry = &g_array_index (check->runs, LogEntry, i);
      if (strcmp (entry->customer, bounds->limited_customer) == 0)
        g_array_append_val (times_us, entry->at_us);
    }
  if (exceeds_limit (times_us, bounds->rate_window_us, limit_count,
                     &max_count))
    add_violation (check,
                   "rate: %s ran %.0f requests in a window, %.0f allowed",
                   bounds->limited_customer, max_count, limit_count);
}

static void
check_retries (Check *check)
{
  const SkBounds *bounds = check->bounds;
  g_autoptr (GHashTable) seen_ids = g_hash_table_new (g_str_hash, g_str_equal);
  g_autoptr (GArray) first_times_us
      = g_array_new (FALSE, FALSE, sizeof (int64_t));
  g_autoptr (GArray) retry_times_us
      = g_array_new (FALSE, FALSE, sizeof (int64_t));
  double limit_count;
  double max_count;

  for (guint i = 0; i < check->arrivals->len; i++)
    {
      const LogEntry *entry = &g_array_index (check->arrivals, LogEntry, i);
      GArray *times_us = g_hash_table_add (seen_ids, entry->id)
                             ? first_times_us
                             : retry_times_us;
      g_array_append_val (times_us, entry->at_us);
    }
  /* Only for MAX_COUNT.  */
  exceeds_limit (first_times_us, bounds->retry_window_us, 0, &max_count);
  limit_count = bounds->retry_reserve_count + bounds->retry_ratio * max_count;
  if (exceeds_limit (retry_times_us, bounds->retry_window_us, limit_count,
                     &max_count))
    add_violation (check, "repeats: %.0f retries in a window, %.0f allowed",
                   max_count, limit_count);
}

static gboolean
has_fault (const Check *check, SkPeriodKind kind, const char *subject,
           const SkRequest *request)
{
  for (guint i = 0; i < check->record->periods->len; i++)
    {
      const SkPeriod *period
          = &g_array_index (check->record->periods, SkPeriod, i);
      if (period->kind == kind
          && (subject == NULL || strcmp (period->subject, subject) == 0)
          && period->from_us <= request->ended_us
          && period->until_us >= request->sent_us - check->bounds->contact_us)
        return TRUE;
    }
  return FALSE;
}

/* Returns the stop of the request's daemon that overlaps REQUEST, or NULL.  */
static const SkPeriod *
find_stop (const Check *check, const SkRequest *request)
{
  for (guint i = 0; i < check->record->periods->len; i++)
    {
      const SkPeriod *period
          = &g_array_index (check->record->periods, SkPeriod, i);
      if (period->kind == SK_PERIOD_STOP
          && strcmp (period->subject, request->daemon) == 0
          && period->from_us <= request->ended_us
          && period->until_us >= request->sent_us)
        return period;
    }
  return NULL;
}

/* Returns the time at which a target answered, or INT64_MAX.  TARGET may be
   NULL for any.  */
static int64_t
find_answer (const Check *check, const char *id, const char *target)
{
  for (guint i = 0; i < check->answers->len; i++)
    {
      const LogEntry *entry = &g_array_index (check->answers, LogEntry, i);
      if (strcmp (entry->id, id) == 0
          && (target == NULL || strcmp (entry->target, target) == 0))
        return entry->at_us;
    }
  return INT64_MAX;
}

static gboolean
was_at_work_late (const Check *check, const SkRequest *request,
                  const SkPeriod *stop, const char *target)
{
  const SkBounds *bounds = check->bounds;
  int64_t work_end_us
      = MIN (request->ended_us, find_answer (check, request->id, target));

  return stop != NULL
         && request->sent_us <= stop->from_us + bounds->stop_sent_us
         && work_end_us >= stop->from_us + bounds->stop_grace_us
                               - bounds->stop_grace_us / 6;
}

/* Returns the target at which REQUEST was lost, "-" if it was lost on the way
   to one, or NULL if it was not lost.  */
static const char *
find_lost_at (const Check *check, const SkRequest *request,
              const SkPeriod *stop)
{
  gboolean arrived = FALSE;

  for (guint i = 0; i < check->arrivals->len; i++)
    {
      const LogEntry *entry = &g_array_index (check->arrivals, LogEntry, i);
      if (strcmp (entry->id, request->id) != 0
          || entry->at_us > request->ended_us)
        continue;
      arrived = TRUE;
      if (!has_fault (check, SK_PERIOD_TARGET_FAULT, entry->target, request)
          && !was_at_work_late (check, request, stop, entry->target))
        return entry->target;
    }
  if (arrived || request->status != 0
      || request->ended_us - request->sent_us <= check->bounds->loss_slack_us
      || has_fault (check, SK_PERIOD_TARGET_FAULT, NULL, request))
    return NULL;
  return "-";
}

/* Returns whether the daemon itself ended REQUEST before its deadline.  */
static gboolean
was_broken_off (const Check *check, const SkRequest *request,
                const SkPeriod *stop)
{
  if (request->ended_us == 0 || request->status == 200
      || request->ended_us >= request->deadline_us - TIMER_TOLERANCE_US)
    return FALSE;
  return request->status == 0
         || (stop != NULL
             && find_answer (check, request->id, NULL) > request->ended_us);
}

static void
add_lost (Check *check, const SkRequest *request, const SkPeriod *stop,
          const char *target)
{
  g_autofree char *since
      = stop == NULL
            ? g_strdup ("no SIGTERM")
            : g_strdup_printf ("sent %" G_GINT64_FORMAT
                               " ms and ended %" G_GINT64_FORMAT
                               " ms after SIGTERM",
                               (request->sent_us - stop->from_us) / 1000,
                               (request->ended_us - stop->from_us) / 1000);

  add_violation (check,
                 "lost: %s got %d from %s after %" G_GINT64_FORMAT
                 " ms, target %s, %s",
                 request->id, request->status, request->daemon,
                 (request->ended_us - request->sent_us) / 1000, target, since);
}

static void
check_lost (Check *check)
{
  for (guint i = 0; i < check->record->requests->len; i++)
    {
      const SkRequest *request = sk_record_get_request (check->record, i);
      const SkPeriod *stop = find_stop (check, request);
      const char *target;
      if (!was_broken_off (check, request, stop)
          || has_fault (check, SK_PERIOD_DAEMON_FAULT, request->daemon,
                        request)
          || has_fault (check, SK_PERIOD_STORE_LINK_FAULT, request->daemon,
                        request))
        continue;
      target = find_lost_at (check, request, stop);
      if (target != NULL)
        add_lost (check, request, stop, target);
    }
}

/* Indexes in record->configs of the oldest and the newest configuration that
   allow how a request was handled.  */
typedef struct
{
  const SkRequest *request;
  const char *target; /* NULL: refused by the daemon */
  int64_t at_us;      /* of its arrival there or of the refusal */
  int oldest;
  int newest; /* -1: none allows it */
} Handling;

/* Returns the service of route NAME, or NULL; free with g_free.  */
static char *
find_service (const SkConfig *config, const char *name)
{
  g_auto (GStrv) routes = g_strsplit (config->routes, " ", -1);

  for (char **route = routes; *route != NULL; route++)
    {
      g_auto (GStrv) parts = g_strsplit (*route, "=", 2);
      if (g_strcmp0 (parts[0], name) == 0)
        return g_strdup (parts[1]);
    }
  return NULL;
}

/* SERVICE may be NULL for any.  */
static gboolean
has_route (const SkConfig *config, const char *name, const char *service)
{
  g_autofree char *found = find_service (config, name);

  return found != NULL && (service == NULL || strcmp (found, service) == 0);
}

static gboolean
allows (const Check *check, const SkConfig *config, const Handling *handling)
{
  const SkRequest *request = handling->request;
  gboolean has_key
      = request->key_number == 0 || request->key_number == config->key_number;

  if (handling->target != NULL)
    return has_key
           && has_route (config, request->route,
                         check->names->service_of (handling->target));
  return request->status == 404 ? !has_route (config, request->route, NULL)
                                : request->status == 401 && !has_key;
}

static void
add_handling (Check *check, GArray *handlings, Handling handling)
{
  handling.oldest = -1;
  handling.newest = -1;
  for (guint i = 0; i < check->record->configs->len; i++)
    {
      const SkConfig *config
          = &g_array_index (check->record->configs, SkConfig, i);
      if (!allows (check, config, &handling))
        continue;
      handling.newest = (int)i;
      if (handling.oldest < 0)
        handling.oldest = (int)i;
    }
  g_array_append_val (handlings, handling);
}

static GArray *
find_handlings (Check *check)
{
  GArray *handlings = g_array_new (FALSE, FALSE, sizeof (Handling));

  for (guint i = 0; i < check->record->requests->len; i++)
    {
      const SkRequest *request = sk_record_get_request (check->record, i);
      if (request->route[0] != '\0'
          && (request->status == 401 || request->status == 403
              || request->status == 404))
        add_handling (
            check, handlings,
            (Handling){ .request = request, .at_us = request->ended_us });
    }
  for (guint i = 0; i < check->arrivals->len; i++)
    {
      const LogEntry *entry = &g_array_index (check->arrivals, LogEntry, i);
      const SkRequest *request = find_request (check, entry->id);
      if (request != NULL && request->route[0] != '\0')
        add_handling (check, handlings,
                      (Handling){ .request = request,
                                  .target = entry->target,
                                  .at_us = entry->at_us });
    }
  return handlings;
}

static gboolean
was_in_touch (const Check *check, const SkRequest *request)
{
  return !has_fault (check, SK_PERIOD_DAEMON_FAULT, request->daemon, request)
         && !has_fault (check, SK_PERIOD_STOP, request->daemon, request)
         && !has_fault (check, SK_PERIOD_STORE_LINK_FAULT, request->daemon,
                        request)
         && !has_fault (check, SK_PERIOD_STORE_FAULT, NULL, request);
}

/* Returns the index of the newest configuration that was acknowledged before
   AT_US, or -1.  */
static int
find_config_at (const Check *check, int64_t at_us)
{
  int index = -1;

  for (guint i = 0; i < check->record->configs->len; i++)
    if (g_array_index (check->record->configs, SkConfig, i).acked_us < at_us)
      index = (int)i;
  return index;
}

static void
add_config_violation (Check *check, const Handling *handling,
                      const char *reason, int64_t late_us)
{
  const SkRequest *request = handling->request;

  add_violation (check,
                 "config: %s to %s on route %s with key %d got %d%s%s, "
                 "%s (by %" G_GINT64_FORMAT " ms)",
                 request->id, request->daemon, request->route,
                 request->key_number, request->status,
                 handling->target != NULL ? " from " : "",
                 handling->target != NULL ? handling->target : "", reason,
                 late_us / 1000);
}

/* Returns whether the daemon of REQUEST started a process after FROM_US and
   before the end of REQUEST.  */
static gboolean
has_started_since (const Check *check, const SkRequest *request,
                   int64_t from_us)
{
  for (guint i = 0; i < check->record->periods->len; i++)
    {
      const SkPeriod *period
          = &g_array_index (check->record->periods, SkPeriod, i);
      if (period->kind == SK_PERIOD_PROCESS
          && strcmp (period->subject, request->daemon) == 0
          && period->from_us > from_us && period->from_us <= request->ended_us)
        return TRUE;
    }
  return FALSE;
}

static void
check_config_regress (Check *check, const GArray *handlings,
                      const Handling *handling)
{
  const SkRequest *request = handling->request;
  int64_t slack_us
      = check->bounds->rollback_slack_us
        * (has_fault (check, SK_PERIOD_DAEMON_FAULT, request->daemon, request)
               ? SLOWED_ROLLBACK_FACTOR
               : 1);

  for (guint i = 0; i < handlings->len; i++)
    {
      const Handling *other = &g_array_index (handlings, Handling, i);
      if (other->target == NULL || other->oldest <= handling->newest
          || other->at_us + slack_us >= request->sent_us
          || strcmp (other->request->daemon, request->daemon) != 0
          || has_started_since (check, request, other->request->sent_us))
        continue;
      add_config_violation (check, handling,
                            "after a target saw a newer configuration",
                            request->sent_us - other->at_us);
      return;
    }
}

/* Whether REQUEST is owed by all configurations that may be in force.  */
static gboolean
is_owed (const Check *check, const SkRequest *request)
{
  int first = find_config_at (check, request->sent_us
                                         - check->bounds->config_apply_us);

  if (request->route[0] == '\0' || request->key_number != 0 || first < 0
      || strcmp (request->customer, check->bounds->limited_customer) == 0)
    return FALSE;
  for (guint i = (guint)first; i < check->record->configs->len; i++)
    {
      const SkConfig *config
          = &g_array_index (check->record->configs, SkConfig, i);
      if (config->put_us <= request->ended_us
          && !has_route (config, request->route, NULL))
        return FALSE;
    }
  return TRUE;
}

/* A request that is owed, and the service of its route.  */
typedef struct
{
  const SkRequest *request;
  char *service;
} Owed;

static void
clear_owed (gpointer data)
{
  g_free (((Owed *)data)->service);
}

/* Returns those on routes of the first configuration, or on later ones, at
   daemons in touch.  */
static GArray *
find_owed (const Check *check, gboolean is_later)
{
  GArray *list = g_array_new (FALSE, FALSE, sizeof (Owed));
  const SkConfig *first = &g_array_index (check->record->configs, SkConfig, 0);

  g_array_set_clear_func (list, clear_owed);
  for (guint i = 0; i < check->record->requests->len; i++)
    {
      const SkRequest *request = sk_record_get_request (check->record, i);
      Owed owed = { .request = request };
      if (request->ended_us == 0
          || has_route (first, request->route, NULL) == is_later
          || !is_owed (check, request) || !was_in_touch (check, request))
        continue;
      owed.service = find_service (
          &g_array_index (
              check->record->configs, SkConfig,
              find_config_at (check, request->sent_us
                                         - check->bounds->config_apply_us)),
          request->route);
      g_array_append_val (list, owed);
    }
  return list;
}

/* Counts those of LIST that have one of OTHERS near: at the same daemon, for
   the same service and at about the same time.  */
static void
count_near (const GArray *list, const GArray *others, guint *sent_count,
            guint *served_count)
{
  *sent_count = 0;
  *served_count = 0;
  for (guint i = 0; i < list->len; i++)
    {
      const Owed *owed = &g_array_index (list, Owed, i);
      gboolean is_near = FALSE;
      for (guint j = 0; j < others->len && !is_near; j++)
        {
          const Owed *other = &g_array_index (others, Owed, j);
          is_near
              = ABS (owed->request->sent_us - other->request->sent_us)
                    <= CONFIG_NEAR_US
                && strcmp (owed->request->daemon, other->request->daemon) == 0
                && strcmp (owed->service, other->service) == 0;
        }
      if (!is_near)
        continue;
      (*sent_count)++;
      *served_count += owed->request->status == 200;
    }
}

static void
check_config_later_routes (Check *check)
{
  g_autoptr (GArray) later = find_owed (check, TRUE);
  g_autoptr (GArray) first = find_owed (check, FALSE);
  guint later_count;
  guint later_served_count;
  guint first_count;
  guint first_served_count;

  count_near (later, first, &later_count, &later_served_count);
  count_near (first, later, &first_count, &first_served_count);
  if (later_count >= CONFIG_LATER_COUNT_MIN
      && (uint64_t)later_served_count * 4 * first_count
             < (uint64_t)first_served_count * later_count)
    add_violation (check,
                   "config: %u of %u requests served on routes added later, "
                   "%u of %u on others",
                   later_served_count, later_count, first_served_count,
                   first_count);
}

static void
check_config (Check *check)
{
  g_autoptr (GArray) handlings = NULL;

  if (check->record->configs->len == 0)
    return;
  handlings = find_handlings (check);
  for (guint i = 0; i < handlings->len; i++)
    {
      const Handling *handling = &g_array_index (handlings, Handling, i);
      const SkRequest *request = handling->request;
      int due = find_config_at (check, request->sent_us
                                           - check->bounds->config_apply_us);
      if (handling->newest < 0)
        add_config_violation (check, handling, "which none allows", 0);
      else if (handling->newest < due && was_in_touch (check, request))
        add_config_violation (
            check, handling, "which only an older one allows",
            request->sent_us - check->bounds->config_apply_us
                - g_array_index (check->record->configs, SkConfig,
                                 handling->newest + 1)
                      .acked_us);
      else
        check_config_regress (check, handlings, handling);
    }
  check_config_later_routes (check);
}

static void
check_periods (Check *check)
{
  for (guint i = 0; i < check->record->periods->len; i++)
    {
      const SkPeriod *period
          = &g_array_index (check->record->periods, SkPeriod, i);
      switch (period->kind)
        {
        case SK_PERIOD_KEY_REVOKED:
          check_revoked_key (check, period);
          break;
        case SK_PERIOD_DRAIN:
          check_no_arrivals (check, period, "drain", check->bounds->drain_us);
          break;
        case SK_PERIOD_EVACUATED:
          check_no_arrivals (check, period, "evacuated",
                             check->bounds->evacuation_us);
          break;
        case SK_PERIOD_COLD:
          check_cold (check, period);
          break;
        default:
          break;
        }
    }
}

GPtrArray *
sk_record_check (SkRecord *record, const SkLogs *logs,
                 const SkTargetNames *names, const SkBounds *bounds)
{
  Check check = { .bounds = bounds,
                  .record = record,
                  .names = names,
                  .violations = g_ptr_array_new_with_free_func (g_free) };

  check.request_indexes = g_hash_table_new (g_str_hash, g_str_equal);
  check.run_counts = g_hash_table_new (g_str_hash, g_str_equal);
  for (guint i = 0; i < record->requests->len; i++)
    g_hash_table_insert (check.request_indexes,
                         sk_record_get_request (record, i)->id,
                         GUINT_TO_POINTER (i + 1));
  check.runs = parse_log (&check, logs->runs);
  check.arrivals = parse_log (&check, logs->arrivals);
  check.answers = parse_log (&check, logs->answers);
  check_runs (&check);
  check_arrivals (&check);
  check_responses (&check);
  check_periods (&check);
  check_customer_rate (&check);
  check_retries (&check);
  check_lost (&check);
  check_config (&check);
  g_hash_table_unref (check.run_counts);
  g_hash_table_unref (check.request_indexes);
  g_array_unref (check.runs);
  g_array_unref (check.arrivals);
  g_array_unref (check.answers);
  return check.violations;
}
