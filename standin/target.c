#include "standin/target.h"

#include <string.h>

#include "standin/echo.h"
#include "standin/target_set.h"

/* What a new connection and a probe cost the platform's targets.  */
#define CONNECT_COST_US 1000
#define PROBE_COST_US 6000
#define COLD_FACTOR 4
#define WARM_AFTER 50
#define ANSWER_DEFAULT_BYTES 256
#define ANSWER_MAX_BYTES (4 * 1024 * 1024)
#define WORK_DEFAULT_MS 5
#define SLOTS_DEFAULT 3

typedef struct
{
  SiTargetState *target;
  SiRecord *record;
  gboolean running;
  gboolean past_deadline;
} Work;

static uint32_t
warm_permille (const SiTargetState *target)
{
  if (!target->modes.cold || target->warm_count >= WARM_AFTER)
    return 1000;
  return (uint32_t)(target->warm_count * 1000 / WARM_AFTER);
}

static void
answer_health (SiExchange *x)
{
  SiTargetState *target = x->data;
  si_answer_text (x, target->modes.unhealthy ? 503 : 200, "");
}

static void
answer_load (SiExchange *x)
{
  SiTargetState *target = x->data;
  const SiTargetModes *modes = &target->modes;
  gboolean idle = modes->lie || modes->shed;
  g_autofree char *text = g_strdup_printf (
      "{\"running\":%u,\"slots\":%d,\"draining\":%s,\"warm_permille\":%u}",
      idle ? 0 : target->running_count, (int)modes->slots,
      modes->draining && !modes->lie ? "true" : "false",
      modes->lie ? 1000 : warm_permille (target));

  si_add_header (x, "Content-Type", "application/json");
  si_answer_text (x, 200, text);
}

/* A header or query parameter that could carry a key.  */
static gboolean
carries_key (const SiExchange *x)
{
  return si_header (x, "Authorization") != NULL
         || si_header (x, "X-Api-Key") != NULL || si_query (x, "key") != NULL
         || si_query (x, "api_key") != NULL;
}

static SiRecord *
record_new (SiExchange *x, SiTargetState *target)
{
  SiRecord *record = g_new0 (SiRecord, 1);
  const char *deadline = si_header (x, "X-Deadline-Ms");
  const char *uri = evhttp_request_get_uri (x->request);

  record->target = target->name;
  record->end = "running";
  record->request_id = g_strdup (si_header (x, "X-Request-Id"));
  record->idempotency_key = g_strdup (si_header (x, "Idempotency-Key"));
  record->customer = g_strdup (si_header (x, "X-Customer"));
  record->tag = g_strdup (si_header (x, "X-Request-Tag"));
  record->path = g_strdup (uri);
  record->method = si_method (x);
  record->key_seen = carries_key (x);
  record->at_us = g_get_monotonic_time ();
  record->deadline_ms
      = deadline == NULL ? -1 : g_ascii_strtoll (deadline, NULL, 10);
  g_ptr_array_add (target->set->records, record);
  return record;
}

void
si_record_free (void *data)
{
  SiRecord *record = data;

  g_free (record->request_id);
  g_free (record->idempotency_key);
  g_free (record->customer);
  g_free (record->tag);
  g_free (record->path);
  g_free (record);
}

/* Counts an execution.  An order without a key is known by its tag.  */
static void
count_order (SiTargetSet *set, const SiRecord *record)
{
  const char *key = record->idempotency_key;
  g_autofree char *name = NULL;
  gsize count;

  if (key == NULL
      && (strcmp (record->method, "GET") == 0
          || strcmp (record->method, "HEAD") == 0 || record->tag == NULL))
    return;
  name = g_strdup_printf (
      "%s/%s%s", record->customer == NULL ? "" : record->customer,
      key == NULL ? "tag:" : "", key == NULL ? record->tag : key);
  count = GPOINTER_TO_SIZE (g_hash_table_lookup (set->orders, name));
  g_hash_table_insert (set->orders, g_steal_pointer (&name),
                       GSIZE_TO_POINTER (count + 1));
}

static void
release (Work *work, const char *end)
{
  if (!work->running)
    return;
  work->running = FALSE;
  work->target->running_count--;
  work->record->end = end;
  work->record->end_us = g_get_monotonic_time ();
}

static void
on_cancelled (SiExchange *x)
{
  Work *work = x->data;

  if (work->running)
    work->target->counts.cancelled_count++;
  release (work, "cancelled");
  g_free (work);
}

static void
answer_work (SiExchange *x)
{
  Work *work = x->data;
  SiTargetState *target = work->target;
  const char *tag = si_header (x, "X-Request-Tag");
  const char *size = si_header (x, "X-Answer-Bytes");
  gsize length_bytes, body_bytes;
  const char *body = si_body (x, &body_bytes);
  GString *answer;

  length_bytes = size == NULL ? ANSWER_DEFAULT_BYTES
                              : g_ascii_strtoull (size, NULL, 10);
  answer = si_echo_make (tag == NULL ? "none" : tag, body, body_bytes,
                         MIN (length_bytes, ANSWER_MAX_BYTES));
  g_free (work);
  si_add_header (x, "X-Target", target->name);
  if (tag != NULL)
    si_add_header (x, "X-Request-Tag", tag);
  if (target->modes.crash == SI_CRASH_CUT)
    si_answer_cut (x, answer->str, answer->len / 2, answer->len);
  else
    si_answer (x, 200, answer->str, answer->len);
  g_string_free (answer, TRUE);
}

static void
end_work (SiExchange *x)
{
  Work *work = x->data;
  SiTargetState *target = work->target;

  if (work->past_deadline)
    {
      target->counts.deadline_count++;
      release (work, "deadline");
      g_free (work);
      si_answer_text (x, 504, "past its deadline\n");
      return;
    }
  target->counts.done_count++;
  target->warm_count++;
  release (work, "done");
  if (target->modes.crash == SI_CRASH_AFTER)
    {
      g_free (work);
      si_drop (x);
      return;
    }
  if (target->modes.late_ms > 0)
    si_later (x, target->modes.late_ms * 1000, answer_work);
  else
    answer_work (x);
}

static int64_t
work_us (const SiExchange *x, const SiTargetState *target)
{
  const char *asked = si_header (x, "X-Work-Ms");
  int64_t us = asked == NULL ? target->modes.work_ms * 1000
                             : g_ascii_strtoll (asked, NULL, 10) * 1000;

  us = us * target->modes.slow_percent / 100;
  return warm_permille (target) < 1000 ? us * COLD_FACTOR : us;
}

static void
shed (SiExchange *x, Work *work)
{
  work->target->counts.shed_count++;
  work->record->end = "shed";
  work->record->end_us = g_get_monotonic_time ();
  g_free (work);
  si_add_header (x, "Retry-After", "1");
  si_answer_text (x, 503, "{\"error\":\"overloaded\"}");
}

static void
start_work (SiExchange *x)
{
  Work *work = x->data;
  SiTargetState *target = work->target;
  SiTargetModes *modes = &target->modes;
  int64_t duration_us = work_us (x, target);
  int64_t deadline_us = work->record->deadline_ms * 1000;

  if (modes->shed || target->running_count >= modes->slots)
    {
      shed (x, work);
      return;
    }
  work->running = TRUE;
  work->record->running = ++target->running_count;
  target->counts.running_max
      = MAX (target->counts.running_max, target->running_count);
  count_order (target->set, work->record);
  if (modes->crash == SI_CRASH_REQUEST)
    {
      release (work, "crashed");
      g_free (work);
      si_drop (x);
      return;
    }
  if (modes->crash == SI_CRASH_HANG)
    duration_us = G_MAXINT32;
  work->past_deadline = deadline_us >= 0 && deadline_us < duration_us;
  si_later (x, work->past_deadline ? deadline_us : duration_us, end_work);
}

static void
serve_work (SiExchange *x, SiTargetState *target)
{
  Work *work = g_new0 (Work, 1);

  work->target = target;
  work->record = record_new (x, target);
  target->counts.request_count++;
  target->counts.key_seen_count += work->record->key_seen ? 1 : 0;
  target->counts.after_drain_count += target->modes.draining ? 1 : 0;
  x->data = work;
  x->on_closed = on_cancelled;
  if (x->first)
    si_later (x, CONNECT_COST_US, start_work);
  else
    start_work (x);
}

void
si_target_serve (SiExchange *x, void *data)
{
  SiTargetState *target = data;
  const char *path = si_path (x);
  uint32_t open_count = si_serve_open_count (target->server);
  gboolean health = strcmp (path, "/healthz") == 0;

  target->counts.connections_max
      = MAX (target->counts.connections_max, open_count);
  if (!health && strcmp (path, "/loadz") != 0)
    {
      serve_work (x, target);
      return;
    }
  target->counts.probe_count++;
  x->data = target;
  if (target->modes.crash == SI_CRASH_HANG)
    si_later (x, G_MAXINT32, answer_health);
  else if (target->modes.crash == SI_CRASH_REQUEST)
    si_drop (x);
  else
    si_later (x, PROBE_COST_US, health ? answer_health : answer_load);
}

static void
target_free (void *data)
{
  SiTargetState *target = data;

  if (target->server != NULL)
    si_serve_free (target->server);
  g_free (target->name);
  g_free (target);
}

SiTargetSet *
si_targets_new (const SiTargetOptions *options, GError **error)
{
  SiTargetSet *set = g_new0 (SiTargetSet, 1);

  set->options = *options;
  if (set->options.work_ms == 0)
    set->options.work_ms = WORK_DEFAULT_MS;
  if (set->options.slots_count == 0)
    set->options.slots_count = SLOTS_DEFAULT;
  set->targets = g_ptr_array_new_with_free_func (target_free);
  set->records = g_ptr_array_new_with_free_func (si_record_free);
  set->orders = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  set->control = si_serve (options->base, options->control,
                           si_target_set_control, set, error);
  if (set->control != NULL)
    return set;
  si_targets_free (set);
  return NULL;
}

gboolean
si_targets_add (SiTargetSet *set, const char *name, const char *address,
                GError **error)
{
  SiTargetState *target = g_new0 (SiTargetState, 1);

  target->set = set;
  target->name = g_strdup (name);
  target->modes = (SiTargetModes){ .work_ms = set->options.work_ms,
                                   .slots = set->options.slots_count,
                                   .slow_percent = 100 };
  g_ptr_array_add (set->targets, target);
  target->server
      = si_serve (set->options.base, address, si_target_serve, target, error);
  return target->server != NULL;
}

void
si_targets_free (SiTargetSet *set)
{
  g_ptr_array_unref (set->targets);
  if (set->control != NULL)
    si_serve_free (set->control);
  g_ptr_array_unref (set->records);
  g_hash_table_unref (set->orders);
  g_free (set);
}
