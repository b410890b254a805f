#include "admin/internal.h"

#include <inttypes.h>
#include <json-c/json.h>
#include <string.h>

typedef struct json_object Json;

static void
put_text (Json *object, const char *name, const char *text)
{
  json_object_object_add (object, name,
                          json_object_new_string (text != NULL ? text : ""));
}

static void
put_number (Json *object, const char *name, int64_t number)
{
  json_object_object_add (object, name, json_object_new_int64 (number));
}

static void
put_bool (Json *object, const char *name, gboolean value)
{
  json_object_object_add (object, name, json_object_new_boolean (value));
}

static char *
json_to_text (Json *object)
{
  char *text = g_strdup_printf (
      "%s\n",
      json_object_to_json_string_ext (
          object, JSON_C_TO_STRING_PLAIN | JSON_C_TO_STRING_NOSLASHESCAPE));

  json_object_put (object);
  return text;
}

static Json *
members_to_json (const GArray *members)
{
  Json *array = json_object_new_array ();

  for (guint i = 0; i < members->len; i++)
    {
      const AdMember *member = &g_array_index (members, AdMember, i);
      Json *item = json_object_new_object ();

      put_text (item, "vm", member->vm);
      put_text (item, "zone", member->zone);
      put_text (item, "region", member->region);
      put_text (item, "state", member->state);
      put_number (item, "config_version", (int64_t)member->config_version);
      put_number (item, "age_ms", member->age_ms);
      put_number (item, "load_permille", member->load_permille);
      put_number (item, "base_weight", member->base_weight);
      put_number (item, "flex_weight", member->flex_weight);
      json_object_array_add (array, item);
    }
  return array;
}

static Json *
slots_to_json (const GArray *slots)
{
  Json *array = json_object_new_array ();

  for (guint i = 0; i < slots->len; i++)
    {
      const AdTargetSlots *entry = &g_array_index (slots, AdTargetSlots, i);
      Json *item = json_object_new_object ();

      put_text (item, "target", entry->target);
      put_text (item, "service", entry->service);
      put_number (item, "base_slots", entry->base_slots);
      put_number (item, "flex_slots", entry->flex_slots);
      put_number (item, "used_slots", entry->used_slots);
      put_number (item, "limit_slots", entry->limit_slots);
      put_bool (item, "healthy", entry->healthy);
      put_bool (item, "draining", entry->draining);
      put_number (item, "warm_permille", entry->warm_permille);
      json_object_array_add (array, item);
    }
  return array;
}

static Json *
headroom_to_json (const GArray *headroom)
{
  Json *array = json_object_new_array ();

  for (guint i = 0; i < headroom->len; i++)
    {
      const AdHeadroom *entry = &g_array_index (headroom, AdHeadroom, i);
      Json *item = json_object_new_object ();

      put_text (item, "region", entry->region);
      put_number (item, "total_slots", entry->total_slots);
      put_number (item, "free_slots", entry->free_slots);
      put_number (item, "headroom_permille", entry->headroom_permille);
      json_object_array_add (array, item);
    }
  return array;
}

char *
ad_status_to_json (const AdStatus *status)
{
  Json *root = json_object_new_object ();
  Json *config = json_object_new_object ();
  Json *lease = json_object_new_object ();

  put_text (root, "vm", status->vm);
  put_text (root, "zone", status->zone);
  put_text (root, "region", status->region);
  put_number (root, "incarnation", (int64_t)status->incarnation);
  put_bool (root, "ready", status->ready);
  put_bool (root, "draining", status->draining);
  put_bool (root, "store_up", status->store_up);
  put_number (config, "version", (int64_t)status->config_version);
  put_bool (config, "in_force", status->config_in_force);
  put_bool (config, "fresh", status->config_fresh);
  put_number (config, "age_ms", status->config_age_ms);
  json_object_object_add (root, "config", config);
  put_text (lease, "state", status->lease_state);
  put_text (lease, "successor", status->lease_successor);
  put_number (lease, "left_ms", status->lease_left_ms);
  put_number (lease, "base_left_ms", status->base_left_ms);
  put_number (lease, "base_weight", status->base_weight);
  put_number (lease, "flex_weight", status->flex_weight);
  json_object_object_add (root, "lease", lease);
  json_object_object_add (root, "members", members_to_json (status->members));
  json_object_object_add (root, "slots", slots_to_json (status->slots));
  json_object_object_add (root, "headroom",
                          headroom_to_json (status->headroom));
  return json_to_text (root);
}

static Json *
event_to_json (const EvEvent *event)
{
  static const char *const levels[] = { "debug", "info", "warning" };
  const EvKind *kind = ev_find_kind (event->number);
  Json *item = json_object_new_object ();
  Json *stamp = json_object_new_object ();

  put_number (stamp, "wall_ms", (int64_t)event->stamp.wall_ms);
  put_number (stamp, "count", event->stamp.count);
  json_object_object_add (item, "stamp", stamp);
  put_number (item, "number", event->number);
  if (kind != NULL)
    {
      put_text (item, "name", kind->name);
      put_text (item, "level", levels[kind->level]);
    }
  if (*event->customer != '\0')
    put_text (item, "customer", event->customer);
  if (*event->target != '\0')
    put_text (item, "target", event->target);
  if (*event->request_id != '\0')
    put_text (item, "request_id", event->request_id);
  if (event->config_version != 0)
    put_number (item, "config_version", (int64_t)event->config_version);
  if (*event->detail != '\0')
    put_text (item, "detail", event->detail);
  return item;
}

char *
ad_events_to_json (const char *vm, const EvRing *ring, const EvFields *filter,
                   uint32_t limit)
{
  Json *root = json_object_new_object ();
  Json *events = json_object_new_array ();
  uint32_t count = ev_ring_count (ring);
  uint32_t first = count;
  uint32_t match_count = 0;

  while (first > 0 && match_count < limit)
    match_count += ev_matches (ev_ring_at (ring, --first), filter) ? 1 : 0;
  for (uint32_t i = first; i < count; i++)
    if (ev_matches (ev_ring_at (ring, i), filter))
      json_object_array_add (events, event_to_json (ev_ring_at (ring, i)));
  put_text (root, "vm", vm);
  json_object_object_add (root, "events", events);
  return json_to_text (root);
}

void
ad_send_result (FrRequest *request, int status, const char *result,
                const char *error)
{
  Json *root = json_object_new_object ();
  Json *errors = json_object_new_array ();
  g_autofree char *text = NULL;

  put_text (root, "result", result);
  if (error != NULL)
    json_object_array_add (errors, json_object_new_string (error));
  json_object_object_add (root, "errors", errors);
  text = json_to_text (root);
  ad_send_text (request, status, "application/json", text);
}

/* The result in the response body, and the status code.  */
static const struct
{
  const char *name;
  int status;
} write_results[] = {
  [AD_WRITE_APPLIED] = { "applied", 200 },
  [AD_WRITE_CONFLICT] = { "lost", 409 },
  [AD_WRITE_UNKNOWN] = { "unknown", 504 },
  [AD_WRITE_REFUSED] = { "refused", 503 },
};

void
ad_write_done (AdCall *call, const AdWriteReply *reply)
{
  Json *root = json_object_new_object ();
  Json *errors = json_object_new_array ();
  g_autofree char *text = NULL;

  g_hash_table_remove (call->server->calls, call);
  put_text (root, "result", write_results[reply->result].name);
  put_number (root, "version", (int64_t)reply->version);
  put_text (root, "op_id", reply->op_id);
  put_text (root, "author", reply->author);
  if (reply->error != NULL)
    json_object_array_add (errors, json_object_new_string (reply->error));
  json_object_object_add (root, "errors", errors);
  text = json_to_text (root);
  ad_send_text (call->request, write_results[reply->result].status,
                "application/json", text);
  ad_call_free (call);
}

void
ad_operation_done (AdCall *call, AdOperationResult result, uint64_t version)
{
  static const char *const result_names[]
      = { "applied", "not_applied", "unknown" };
  Json *root = json_object_new_object ();
  g_autofree char *text = NULL;

  g_hash_table_remove (call->server->calls, call);
  put_text (root, "result", result_names[result]);
  put_number (root, "version", (int64_t)version);
  text = json_to_text (root);
  ad_send_text (call->request, 200, "application/json", text);
  ad_call_free (call);
}
