#include <json-c/json.h>
#include <stddef.h>
#include <string.h>

#include "standin/target_set.h"

static const struct
{
  const char *name;
  size_t offset;
} setting_fields[] = {
  { "work_ms", offsetof (SiTargetSettings, work_ms) },
  { "slots", offsetof (SiTargetSettings, slots) },
  { "late_ms", offsetof (SiTargetSettings, late_ms) },
  { "slow_percent", offsetof (SiTargetSettings, slow_percent) },
  { "shed", offsetof (SiTargetSettings, shed) },
  { "lie", offsetof (SiTargetSettings, lie) },
  { "draining", offsetof (SiTargetSettings, draining) },
  { "unhealthy", offsetof (SiTargetSettings, unhealthy) },
  { "cold", offsetof (SiTargetSettings, cold) },
  { "late_copies", offsetof (SiTargetSettings, late_copies) },
};

/* In the order of SiCrash.  */
static const char *const crash_names[]
    = { "off", "accept", "refuse", "request", "after", "cut", "hang" };

static gboolean
set_crash (SiTargetState *target, const char *name)
{
  /* The other crash modes are 0, which is SI_ACCEPT_SERVE.  */
  static const SiAcceptMode accept_modes[]
      = { [SI_CRASH_ACCEPT] = SI_ACCEPT_CLOSE,
          [SI_CRASH_REFUSE] = SI_ACCEPT_REFUSE,
          [SI_CRASH_HANG] = SI_ACCEPT_SERVE };

  for (size_t i = 0; i < G_N_ELEMENTS (crash_names); i++)
    if (strcmp (crash_names[i], name) == 0)
      {
        target->settings.crash = (SiCrash)i;
        return si_server_set_accept (target->server, accept_modes[i]);
      }
  return FALSE;
}

static gboolean
apply_settings (SiTargetState *target, SiExchange *x)
{
  const char *crash = si_query_param (x, "crash");

  for (size_t i = 0; i < G_N_ELEMENTS (setting_fields); i++)
    {
      int64_t *field
          = (int64_t *)((char *)&target->settings + setting_fields[i].offset);
      *field = si_query_param_int (x, setting_fields[i].name, *field);
    }
  if (si_query_param (x, "cold") != NULL)
    target->warm_count = 0;
  if (si_query_param (x, "draining") != NULL)
    target->drain_at_us = g_get_monotonic_time ();
  return crash == NULL || set_crash (target, crash);
}

static void
handle_set (SiTargetSet *set, SiExchange *x)
{
  const char *name = si_query_param (x, "target");
  gboolean found = FALSE, ok = TRUE;

  for (guint i = 0; i < set->targets->len; i++)
    {
      SiTargetState *target = g_ptr_array_index (set->targets, i);

      if (name != NULL && strcmp (name, target->name) != 0)
        continue;
      found = TRUE;
      ok = apply_settings (target, x) && ok;
    }
  si_send_text (x, found && ok ? 200 : 400, "{}");
}

static void
add_count (struct json_object *object, const char *name, uint64_t value)
{
  json_object_object_add (object, name, json_object_new_uint64 (value));
}

static void
add_text (struct json_object *object, const char *name, const char *value)
{
  json_object_object_add (
      object, name, value == NULL ? NULL : json_object_new_string (value));
}

static void
send_json (SiExchange *x, struct json_object *object)
{
  si_add_response_header (x, "Content-Type", "application/json");
  si_send_text (
      x, 200, json_object_to_json_string_ext (object, JSON_C_TO_STRING_PLAIN));
  json_object_put (object);
}

static struct json_object *
target_stats_to_json (const SiTargetState *target)
{
  struct json_object *row = json_object_new_object ();
  const SiTargetCounts *counts = &target->counts;

  add_text (row, "name", target->name);
  add_count (row, "requests", counts->request_count);
  add_count (row, "done", counts->done_count);
  add_count (row, "shed", counts->shed_count);
  add_count (row, "cancelled", counts->cancelled_count);
  add_count (row, "past_deadline", counts->deadline_count);
  add_count (row, "key_seen", counts->key_seen_count);
  add_count (row, "after_drain", counts->after_drain_count);
  add_count (row, "probes", counts->probe_count);
  add_count (row, "running", target->running_count);
  add_count (row, "running_max", counts->running_max);
  add_count (row, "connections_max", counts->connections_max);
  add_count (row, "accepted", si_server_accepted_count (target->server));
  add_count (row, "drain_at_us", (uint64_t)target->drain_at_us);
  return row;
}

static uint64_t
count_repeated_orders (const SiTargetSet *set)
{
  GHashTableIter iter;
  void *count;
  uint64_t repeated_count = 0;

  g_hash_table_iter_init (&iter, set->orders);
  while (g_hash_table_iter_next (&iter, NULL, &count))
    repeated_count += GPOINTER_TO_SIZE (count) > 1 ? 1 : 0;
  return repeated_count;
}

static void
handle_stats (SiTargetSet *set, SiExchange *x)
{
  struct json_object *root = json_object_new_object ();
  struct json_object *rows = json_object_new_array ();
  SiTargetCounts total = { 0 };

  for (guint i = 0; i < set->targets->len; i++)
    {
      const SiTargetState *target = g_ptr_array_index (set->targets, i);
      json_object_array_add (rows, target_stats_to_json (target));
      total.request_count += target->counts.request_count;
      total.done_count += target->counts.done_count;
      total.shed_count += target->counts.shed_count;
      total.key_seen_count += target->counts.key_seen_count;
      total.running_max = MAX (total.running_max, target->counts.running_max);
      total.connections_max
          = MAX (total.connections_max, target->counts.connections_max);
    }
  json_object_object_add (root, "targets", rows);
  add_count (root, "requests", total.request_count);
  add_count (root, "done", total.done_count);
  add_count (root, "shed", total.shed_count);
  add_count (root, "key_seen", total.key_seen_count);
  add_count (root, "running_max", total.running_max);
  add_count (root, "connections_max", total.connections_max);
  add_count (root, "orders", g_hash_table_size (set->orders));
  add_count (root, "doubled", count_repeated_orders (set));
  send_json (x, root);
}

static struct json_object *
record_to_json (const SiRecord *record)
{
  struct json_object *row = json_object_new_object ();

  add_text (row, "target", record->target);
  add_text (row, "end", record->end);
  add_text (row, "request_id", record->request_id);
  add_text (row, "idempotency_key", record->idempotency_key);
  add_text (row, "customer", record->customer);
  add_text (row, "tag", record->tag);
  add_text (row, "method", record->method);
  add_text (row, "path", record->path);
  json_object_object_add (row, "key_seen",
                          json_object_new_boolean (record->key_seen));
  add_count (row, "at_us", (uint64_t)record->at_us);
  add_count (row, "end_us", (uint64_t)record->end_us);
  add_count (row, "running", record->running_at_start);
  json_object_object_add (row, "deadline_ms",
                          json_object_new_int64 (record->deadline_ms));
  return row;
}

static void
handle_requests (SiTargetSet *set, SiExchange *x)
{
  struct json_object *rows = json_object_new_array ();
  const char *name = si_query_param (x, "target");

  for (guint i = 0; i < set->records->len; i++)
    {
      const SiRecord *record = g_ptr_array_index (set->records, i);
      if (name == NULL || strcmp (name, record->target) == 0)
        json_object_array_add (rows, record_to_json (record));
    }
  send_json (x, rows);
}

static void
handle_orders (SiTargetSet *set, SiExchange *x)
{
  struct json_object *object = json_object_new_object ();
  GHashTableIter iter;
  void *name, *count;

  g_hash_table_iter_init (&iter, set->orders);
  while (g_hash_table_iter_next (&iter, &name, &count))
    add_count (object, name, GPOINTER_TO_SIZE (count));
  send_json (x, object);
}

static void
handle_reset (SiTargetSet *set, SiExchange *x)
{
  /* Keeps the records of running work, which finish_work will write to.  */
  for (guint i = set->records->len; i-- > 0;)
    {
      const SiRecord *record = g_ptr_array_index (set->records, i);
      if (strcmp (record->end, "running") != 0)
        g_ptr_array_remove_index_fast (set->records, i);
    }
  g_hash_table_remove_all (set->orders);
  for (guint i = 0; i < set->targets->len; i++)
    {
      SiTargetState *target = g_ptr_array_index (set->targets, i);
      target->counts
          = (SiTargetCounts){ .running_max = target->running_count };
    }
  si_send_text (x, 200, "{}");
}

void
si_target_set_handle_control (SiExchange *x, void *set)
{
  static const struct
  {
    const char *path;
    void (*handle) (SiTargetSet *set, SiExchange *x);
  } paths[] = {
    { "/control/set", handle_set },
    { "/control/stats", handle_stats },
    { "/control/orders", handle_orders },
    { "/control/reset", handle_reset },
    { "/control/requests", handle_requests },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (paths); i++)
    if (strcmp (si_request_path (x), paths[i].path) == 0)
      {
        paths[i].handle (set, x);
        return;
      }
  si_send_response (x, 404, "", 0);
}
