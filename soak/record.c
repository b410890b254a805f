#include "soak/record.h"

#include <string.h>

/* A request takes a moment from the daemon's decision to its target.  */
#define ON_ITS_WAY_US ((int64_t)200000)

SkRecord *
sk_record_new (void)
{
  SkRecord *record = g_new0 (SkRecord, 1);

  record->requests = g_array_new (FALSE, TRUE, sizeof (SkRequest));
  record->periods = g_array_new (FALSE, TRUE, sizeof (SkPeriod));
  return record;
}

void
sk_record_free (SkRecord *record)
{
  if (record == NULL)
    return;
  g_array_unref (record->requests);
  g_array_unref (record->periods);
  g_free (record);
}

guint
sk_record_request (SkRecord *record, const SkRequest *request)
{
  g_array_append_val (record->requests, *request);
  return record->requests->len - 1;
}

SkRequest *
sk_record_get (SkRecord *record, guint number)
{
  return &g_array_index (record->requests, SkRequest, number);
}

void
sk_record_begin (SkRecord *record, SkPeriodKind kind, const char *subject,
                 int64_t now_us)
{
  SkPeriod period = { .kind = kind, .from_us = now_us, .until_us = INT64_MAX };

  g_strlcpy (period.subject, subject, sizeof period.subject);
  g_array_append_val (record->periods, period);
}

void
sk_record_end (SkRecord *record, SkPeriodKind kind, const char *subject,
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
} Line;

static void
clear_line (gpointer data)
{
  Line *line = data;

  g_free (line->target);
  g_free (line->id);
  g_free (line->customer);
}

typedef struct
{
  const SkBounds *bounds;
  SkRecord *record;
  const char *(*zone_of) (const char *target);
  GPtrArray *broken;
  GArray *runs;        /* Line */
  GArray *arrivals;    /* Line */
  GHashTable *numbers; /* id to number of the request and 1 */
  GHashTable *ran;     /* id to times */
} Check;

static void complain (Check *check, const char *format, ...)
    G_GNUC_PRINTF (2, 3);

static void
complain (Check *check, const char *format, ...)
{
  va_list arguments;

  va_start (arguments, format);
  g_ptr_array_add (check->broken, g_strdup_vprintf (format, arguments));
  va_end (arguments);
}

static GArray *
read_lines (Check *check, const char *text)
{
  GArray *lines = g_array_new (FALSE, TRUE, sizeof (Line));
  g_auto (GStrv) rows = g_strsplit (text, "\n", -1);

  g_array_set_clear_func (lines, clear_line);
  for (char **row = rows; *row != NULL && **row != '\0'; row++)
    {
      g_auto (GStrv) words = g_strsplit (*row, " ", -1);
      Line line = { 0 };
      if (g_strv_length (words) != 5)
        {
          complain (check, "line: %s", *row);
          continue;
        }
      line.at_us = g_ascii_strtoll (words[0], NULL, 10);
      line.target = g_strdup (words[1]);
      line.id = g_strdup (words[2]);
      line.customer = g_strdup (words[3]);
      line.has_key = strcmp (words[4], "key") == 0;
      g_array_append_val (lines, line);
    }
  return lines;
}

static const SkRequest *
request_of (const Check *check, const char *id)
{
  guint number = GPOINTER_TO_UINT (g_hash_table_lookup (check->numbers, id));

  return number != 0 ? sk_record_get (check->record, number - 1) : NULL;
}

static void
check_runs (Check *check)
{
  for (guint i = 0; i < check->runs->len; i++)
    {
      const Line *line = &g_array_index (check->runs, Line, i);
      const SkRequest *request = request_of (check, line->id);
      guint times
          = 1 + GPOINTER_TO_UINT (g_hash_table_lookup (check->ran, line->id));
      g_hash_table_insert (check->ran, line->id, GUINT_TO_POINTER (times));
      if (request != NULL && request->is_unsafe && times == 2)
        complain (check, "twice: %s ran again at %s", line->id, line->target);
    }
}

static void
check_lines (Check *check)
{
  for (guint i = 0; i < check->arrivals->len; i++)
    {
      const Line *line = &g_array_index (check->arrivals, Line, i);
      const SkRequest *request = request_of (check, line->id);
      if (line->has_key)
        complain (check, "key: %s got %s with a key", line->target, line->id);
      if (request == NULL)
        complain (check, "customer: %s got %s, which nobody sent",
                  line->target, line->id);
      else if (strcmp (request->customer, line->customer) != 0)
        complain (check, "customer: %s got %s of %s as of %s", line->target,
                  line->id, request->customer, line->customer);
    }
}

static gboolean
ran_at (const Check *check, const SkRequest *request)
{
  for (guint i = 0; i < check->runs->len; i++)
    {
      const Line *line = &g_array_index (check->runs, Line, i);
      if (strcmp (line->id, request->id) == 0
          && strcmp (line->target, request->body) == 0)
        return TRUE;
    }
  return FALSE;
}

static void
check_answers (Check *check)
{
  for (guint i = 0; i < check->record->requests->len; i++)
    {
      const SkRequest *request = sk_record_get (check->record, i);
      if (request->said_not_run
          && g_hash_table_contains (check->ran, request->id))
        complain (check, "false: %s got %d and not_run, but it ran",
                  request->id, request->status);
      if (request->status == 200 && !ran_at (check, request))
        complain (check, "spoiled: %s got \"%s\", which did not run it",
                  request->id, request->body);
      if (request->sent_us >= check->bounds->calm_us && request->status != 200
          && request->status != 429 && request->status != 401)
        complain (check,
                  "recovery: %s got %d, %" G_GINT64_FORMAT
                  " ms after the calm began",
                  request->id, request->status,
                  (request->sent_us - check->bounds->calm_us) / 1000);
    }
}

static void
check_withdrawn (Check *check, const SkPeriod *period)
{
  for (guint i = 0; i < check->record->requests->len; i++)
    {
      const SkRequest *request = sk_record_get (check->record, i);
      g_autofree char *key = g_strdup_printf ("%d", request->key_number);
      if (strcmp (key, period->subject) == 0
          && request->sent_us > period->from_us + check->bounds->key_us
          && request->status == 200)
        complain (check,
                  "withdrawn: %s was served with key %s, %" G_GINT64_FORMAT
                  " ms after it was withdrawn",
                  request->id, key,
                  (request->sent_us - period->from_us) / 1000);
    }
}

static gboolean
is_of (const Check *check, const SkPeriod *period, const Line *line)
{
  const char *subject = period->kind == SK_PERIOD_EVACUATED
                            ? check->zone_of (line->target)
                            : line->target;

  return strcmp (subject, period->subject) == 0;
}

/* The end of the last time before AT_US in which a daemon could not hear of a
   change made at FROM_US, or that time itself.  */
static int64_t
stable_since (const Check *check, int64_t from_us, int64_t at_us)
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
check_closed (Check *check, const SkPeriod *period, const char *name,
              int64_t bound_us)
{
  for (guint i = 0; i < check->arrivals->len; i++)
    {
      const Line *line = &g_array_index (check->arrivals, Line, i);
      if (is_of (check, period, line)
          && line->at_us > stable_since (check, period->from_us, line->at_us)
                               + bound_us + ON_ITS_WAY_US
          && line->at_us < period->until_us)
        complain (check, "%s: %s got %s %" G_GINT64_FORMAT " ms after", name,
                  line->target, line->id,
                  (line->at_us - period->from_us) / 1000);
    }
}

/* Lines of one kind in any window must stay below a bound.  */
static gboolean
exceeds (const GArray *times, int64_t window_us, double most, double *seen)
{
  guint from = 0;

  *seen = 0;
  for (guint i = 0; i < times->len; i++)
    {
      while (g_array_index (times, int64_t, i)
                 - g_array_index (times, int64_t, from)
             >= window_us)
        from++;
      *seen = MAX (*seen, i - from + 1);
    }
  return *seen > most;
}

static void
check_cold (Check *check, const SkPeriod *period)
{
  g_autoptr (GArray) times = g_array_new (FALSE, FALSE, sizeof (int64_t));
  double seen;

  for (guint i = 0; i < check->arrivals->len; i++)
    {
      const Line *line = &g_array_index (check->arrivals, Line, i);
      if (is_of (check, period, line)
          && line->at_us > period->from_us + check->bounds->drain_us
          && line->at_us < period->until_us)
        g_array_append_val (times, line->at_us);
    }
  if (exceeds (times, G_USEC_PER_SEC, check->bounds->cold_per_s, &seen))
    complain (check, "cold: %s got %.0f in a second", period->subject, seen);
}

static void
check_rate (Check *check)
{
  const SkBounds *bounds = check->bounds;
  g_autoptr (GArray) times = g_array_new (FALSE, FALSE, sizeof (int64_t));
  double most
      = bounds->rate_per_s * (double)bounds->rate_window_us / G_USEC_PER_SEC
        + bounds->burst_count;
  double seen;

  for (guint i = 0; i < check->runs->len; i++)
    {
      const Line *line = &g_array_index (check->runs, Line, i);
      if (strcmp (line->customer, bounds->limited_customer) == 0)
        g_array_append_val (times, line->at_us);
    }
  if (exceeds (times, bounds->rate_window_us, most, &seen))
    complain (check, "rate: %s got %.0f in a window, %.0f allowed",
              bounds->limited_customer, seen, most);
}

static void
check_repeats (Check *check)
{
  const SkBounds *bounds = check->bounds;
  g_autoptr (GHashTable) seen_ids = g_hash_table_new (g_str_hash, g_str_equal);
  g_autoptr (GArray) firsts = g_array_new (FALSE, FALSE, sizeof (int64_t));
  g_autoptr (GArray) times = g_array_new (FALSE, FALSE, sizeof (int64_t));
  double most;
  double seen;

  for (guint i = 0; i < check->arrivals->len; i++)
    {
      const Line *line = &g_array_index (check->arrivals, Line, i);
      GArray *list = g_hash_table_add (seen_ids, line->id) ? firsts : times;
      g_array_append_val (list, line->at_us);
    }
  exceeds (firsts, bounds->repeat_window_us, 0, &seen);
  most = bounds->repeat_reserve_count + bounds->repeat_ratio * seen;
  if (exceeds (times, bounds->repeat_window_us, most, &seen))
    complain (check, "repeats: %.0f in a window, %.0f allowed", seen, most);
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
        case SK_PERIOD_KEY_WITHDRAWN:
          check_withdrawn (check, period);
          break;
        case SK_PERIOD_DRAIN:
          check_closed (check, period, "drain", check->bounds->drain_us);
          break;
        case SK_PERIOD_EVACUATED:
          check_closed (check, period, "evacuated",
                        check->bounds->evacuate_us);
          break;
        case SK_PERIOD_COLD:
          check_cold (check, period);
          break;
        case SK_PERIOD_UNSTABLE:
          break;
        }
    }
}

GPtrArray *
sk_check (SkRecord *record, const char *runs, const char *arrivals,
          const char *(*zone_of) (const char *target), const SkBounds *bounds)
{
  Check check = { .bounds = bounds,
                  .record = record,
                  .zone_of = zone_of,
                  .broken = g_ptr_array_new_with_free_func (g_free) };

  check.numbers = g_hash_table_new (g_str_hash, g_str_equal);
  check.ran = g_hash_table_new (g_str_hash, g_str_equal);
  for (guint i = 0; i < record->requests->len; i++)
    g_hash_table_insert (check.numbers, sk_record_get (record, i)->id,
                         GUINT_TO_POINTER (i + 1));
  check.runs = read_lines (&check, runs);
  check.arrivals = read_lines (&check, arrivals);
  check_runs (&check);
  check_lines (&check);
  check_answers (&check);
  check_periods (&check);
  check_rate (&check);
  check_repeats (&check);
  g_hash_table_unref (check.ran);
  g_hash_table_unref (check.numbers);
  g_array_unref (check.runs);
  g_array_unref (check.arrivals);
  return check.broken;
}
