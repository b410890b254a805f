#include "standin/verify.h"

#include <json-c/json.h>
#include <stdlib.h>
#include <string.h>

typedef struct
{
  char *tag;
  char *customer;
  char *outcome;
  gboolean order;
  int64_t sent_us;
  int64_t arrived_us; /* first arrival at a target; 0: never */
  uint32_t run_count;
} TraceRow;

static void
row_free (void *data)
{
  TraceRow *row = data;

  g_free (row->tag);
  g_free (row->customer);
  g_free (row->outcome);
  g_free (row);
}

/* Adds a row for each line of the trace, whose format load.h describes.  */
static gboolean
read_trace (const char *path, GHashTable *rows, GError **error)
{
  g_autofree char *text = NULL;
  g_auto (GStrv) lines = NULL;

  if (!g_file_get_contents (path, &text, NULL, NULL))
    {
      g_set_error (error, SI_ERROR, SI_ERROR_FILE, "cannot read %s", path);
      return FALSE;
    }
  lines = g_strsplit (text, "\n", -1);
  for (char **line = lines; *line != NULL; line++)
    {
      g_auto (GStrv) words = g_strsplit (*line, " ", 8);
      TraceRow *row;

      if (g_strv_length (words) != 8)
        continue;
      row = g_new0 (TraceRow, 1);
      row->tag = g_strdup (words[0]);
      row->customer = g_strdup (words[1]);
      row->order = strcmp (words[2], "order") == 0;
      row->sent_us = g_ascii_strtoll (words[3], NULL, 10);
      row->outcome = g_strdup (words[6]);
      g_hash_table_insert (rows, row->tag, row);
    }
  return TRUE;
}

static struct json_object *
fetch_json (const SiHarness *harness, const char *path, GError **error)
{
  g_autofree char *text
      = si_get_text (si_target_control (harness), path, error);
  return text == NULL ? NULL : json_tokener_parse (text);
}

static const char *
get_text (struct json_object *object, const char *name)
{
  struct json_object *value = NULL;

  json_object_object_get_ex (object, name, &value);
  return value == NULL ? "" : json_object_get_string (value);
}

static int64_t
get_number (struct json_object *object, const char *name)
{
  struct json_object *value = NULL;

  json_object_object_get_ex (object, name, &value);
  return json_object_get_int64 (value);
}

/* Adds the arrival that RECORD describes to the trace row of its tag.  */
static void
add_record (GHashTable *rows, struct json_object *record, SiVerdict *verdict)
{
  TraceRow *row = g_hash_table_lookup (rows, get_text (record, "tag"));
  int64_t at_us = get_number (record, "at_us");

  if (row == NULL)
    return;
  if (row->arrived_us == 0 || at_us < row->arrived_us)
    row->arrived_us = at_us;
  /* Only shed work has certainly not been started.  */
  if (strcmp (get_text (record, "end"), "shed") != 0)
    row->run_count++;
  if (strcmp (get_text (record, "customer"), row->customer) != 0)
    verdict->wrong_customer_count++;
}

static void
count_row (const TraceRow *row, SiVerdict *verdict)
{
  gboolean answered = strcmp (row->outcome, "answered") == 0;
  gboolean refused = strcmp (row->outcome, "refused") == 0;

  verdict->request_count++;
  verdict->answered_count += answered;
  verdict->refused_count += refused;
  verdict->unknown_count += strcmp (row->outcome, "unknown") == 0;
  verdict->wrong_response_count += strcmp (row->outcome, "wrong") == 0;
  verdict->false_not_run_count += refused && row->run_count > 0;
  if (!row->order)
    return;
  verdict->order_count++;
  verdict->repeated_order_count += row->run_count > 1;
  verdict->lost_order_count += answered && row->run_count == 0;
}

static int
compare_arrival_times (const void *a, const void *b)
{
  const TraceRow *row_a = *(TraceRow *const *)a,
                 *row_b = *(TraceRow *const *)b;
  return row_a->arrived_us < row_b->arrived_us
             ? -1
             : row_a->arrived_us > row_b->arrived_us;
}

/* Checks every interval from the sending of one request to the arrival of
   another.  */
static gboolean
is_over_rate (GHashTable *rows, const SiRateLimit *rate)
{
  g_autoptr (GPtrArray) admitted = g_ptr_array_new ();
  GHashTableIter iter;
  void *value;

  g_hash_table_iter_init (&iter, rows);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      TraceRow *row = value;
      if (row->arrived_us > 0 && strcmp (row->customer, rate->customer) == 0)
        g_ptr_array_add (admitted, row);
    }
  g_ptr_array_sort (admitted, compare_arrival_times);
  for (guint i = 0; i < admitted->len; i++)
    {
      const TraceRow *first = g_ptr_array_index (admitted, i);
      uint64_t count = 0;

      for (guint j = 0; j < admitted->len; j++)
        {
          const TraceRow *row = g_ptr_array_index (admitted, j);
          double interval_s
              = (double)(row->arrived_us - first->sent_us) / G_USEC_PER_SEC;

          if (row->sent_us < first->sent_us)
            continue;
          count++;
          if ((double)count > rate->burst + rate->rate_per_s * interval_s)
            return TRUE;
        }
    }
  return FALSE;
}

gboolean
si_verify (const SiHarness *harness, const char *trace_path,
           const SiRateLimit *rates, guint rates_count, SiVerdict *verdict,
           GError **error)
{
  g_autoptr (GHashTable) rows
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, row_free);
  struct json_object *records, *stats;
  GHashTableIter iter;
  void *row;

  *verdict = (SiVerdict){ 0 };
  if (!read_trace (trace_path, rows, error))
    return FALSE;
  records = fetch_json (harness, "/control/requests", error);
  if (records == NULL)
    return FALSE;
  for (size_t i = 0; i < json_object_array_length (records); i++)
    add_record (rows, json_object_array_get_idx (records, i), verdict);
  json_object_put (records);
  g_hash_table_iter_init (&iter, rows);
  while (g_hash_table_iter_next (&iter, NULL, &row))
    count_row (row, verdict);
  for (guint i = 0; i < rates_count; i++)
    verdict->over_rate_count += is_over_rate (rows, &rates[i]);
  stats = fetch_json (harness, "/control/stats", error);
  if (stats == NULL)
    return FALSE;
  verdict->key_seen_count = (uint64_t)get_number (stats, "key_seen");
  verdict->running_max = (uint32_t)get_number (stats, "running_max");
  verdict->connections_max = (uint32_t)get_number (stats, "connections_max");
  json_object_put (stats);
  return TRUE;
}

int64_t
si_count_requests_after (const SiHarness *harness, const char *target,
                         int64_t at_us, GError **error)
{
  g_autofree char *path
      = g_strdup_printf ("/control/requests?target=%s", target);
  struct json_object *records = fetch_json (harness, path, error);
  int64_t count = 0;

  if (records == NULL)
    return -1;
  for (size_t i = 0; i < json_object_array_length (records); i++)
    if (get_number (json_object_array_get_idx (records, i), "at_us") > at_us)
      count++;
  json_object_put (records);
  return count;
}

gboolean
si_get_last_arrival (const SiHarness *harness, const char *target,
                     int64_t *at_us, GError **error)
{
  g_autofree char *path
      = g_strdup_printf ("/control/requests?target=%s", target);
  struct json_object *records = fetch_json (harness, path, error);

  *at_us = 0;
  if (records == NULL)
    return FALSE;
  for (size_t i = 0; i < json_object_array_length (records); i++)
    *at_us = MAX (
        *at_us, get_number (json_object_array_get_idx (records, i), "at_us"));
  json_object_put (records);
  return TRUE;
}
