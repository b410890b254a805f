#include "standin/estate.h"

#include <string.h>

#include "standin/estate_internal.h"

struct SiUserPlatform
{
  SiItemStore *store;
  GHashTable *stub_targets; /* id -> SiStubTarget */
  SiServer *control_server;
  SiStubLogs logs;
};

static gboolean
change_target (SiUserPlatform *platform, const SiExchange *x)
{
  const char *id = si_query_param (x, "id");
  const char *fault = si_query_param (x, "fault");
  SiStubNotices notices = { .limit = si_query_param (x, "limit"),
                            .leaving = si_query_param (x, "leaving"),
                            .pause = si_query_param (x, "pause") };
  int64_t service_ms = si_query_param_int (x, "service_ms", -1);
  SiStubTarget *target
      = id != NULL ? g_hash_table_lookup (platform->stub_targets, id) : NULL;

  if (target == NULL
      || (fault == NULL && service_ms < 0 && notices.limit == NULL
          && notices.leaving == NULL && notices.pause == NULL))
    return FALSE;
  si_stub_target_set_notices (target, &notices);
  if (service_ms >= 0)
    si_stub_target_set_service_time (target, service_ms * 1000);
  return fault == NULL || si_stub_target_set_fault (target, fault);
}

static gboolean
apply_change (SiUserPlatform *platform, SiExchange *x)
{
  const char *path = si_request_path (x);
  const char *key = si_query_param (x, "key");
  const char *fault = si_query_param (x, "fault");
  gsize body_bytes;
  const char *body = si_request_body (x, &body_bytes);

  if (strcmp (path, "/put") == 0 && key != NULL)
    si_item_store_put (platform->store, key, body, body_bytes);
  else if (strcmp (path, "/remove") == 0 && key != NULL)
    si_item_store_remove (platform->store, key);
  else if (strcmp (path, "/compact") == 0)
    si_item_store_compact (platform->store);
  else if (strcmp (path, "/save") == 0)
    si_item_store_save (platform->store);
  else if (strcmp (path, "/restore") == 0)
    return si_item_store_restore (platform->store);
  else if (strcmp (path, "/era") == 0)
    si_item_store_set_era (platform->store,
                           (uint64_t)si_query_param_int (x, "era", 1));
  else if (strcmp (path, "/store") == 0 && fault != NULL)
    return si_item_store_set_fault (platform->store, fault);
  else if (strcmp (path, "/target") == 0)
    return change_target (platform, x);
  else
    return FALSE;
  return TRUE;
}

static void
send_keys (SiUserPlatform *platform, SiExchange *x)
{
  const char *prefix = si_query_param (x, "prefix");
  g_autofree char *text = si_item_store_list_keys (
      platform->store, prefix != NULL ? prefix : "");

  si_send_text (x, 200, text);
}

static void
handle_control (SiExchange *x, void *data)
{
  SiUserPlatform *platform = data;

  if (strcmp (si_request_path (x), "/runs") == 0)
    si_send_text (x, 200, platform->logs.runs->str);
  else if (strcmp (si_request_path (x), "/arrivals") == 0)
    si_send_text (x, 200, platform->logs.arrivals->str);
  else if (strcmp (si_request_path (x), "/answers") == 0)
    si_send_text (x, 200, platform->logs.answers->str);
  else if (strcmp (si_request_path (x), "/keys") == 0)
    send_keys (platform, x);
  else
    si_send_text (x, apply_change (platform, x) ? 200 : 404, "");
}

static void
free_stub_target (gpointer target)
{
  si_stub_target_free (target);
}

static gboolean
add_targets (SiUserPlatform *platform, struct event_base *base,
             char *const *targets, GError **error)
{
  for (; *targets != NULL; targets++)
    {
      g_auto (GStrv) parts = g_strsplit (*targets, "=", 2);
      SiStubTarget *target = si_stub_target_new (base, parts[0], parts[1],
                                                 &platform->logs, error);
      if (target == NULL)
        return FALSE;
      g_hash_table_insert (platform->stub_targets, g_strdup (parts[0]),
                           target);
    }
  return TRUE;
}

SiUserPlatform *
si_user_platform_new (struct event_base *base, const char *store_address,
                      const char *control_address, char *const *targets,
                      GError **error)
{
  SiUserPlatform *platform = g_new0 (SiUserPlatform, 1);

  platform->logs = (SiStubLogs){ .runs = g_string_new (NULL),
                                 .arrivals = g_string_new (NULL),
                                 .answers = g_string_new (NULL) };
  platform->stub_targets = g_hash_table_new_full (g_str_hash, g_str_equal,
                                                  g_free, free_stub_target);
  platform->store = si_item_store_new (base, store_address, error);
  if (platform->store == NULL || !add_targets (platform, base, targets, error)
      || (platform->control_server = si_server_new (
              base, control_address, handle_control, platform, error))
             == NULL)
    {
      si_user_platform_free (platform);
      return NULL;
    }
  return platform;
}

void
si_user_platform_free (SiUserPlatform *platform)
{
  if (platform == NULL)
    return;
  if (platform->control_server != NULL)
    si_server_free (platform->control_server);
  g_hash_table_unref (platform->stub_targets);
  si_item_store_free (platform->store);
  g_string_free (platform->logs.answers, TRUE);
  g_string_free (platform->logs.arrivals, TRUE);
  g_string_free (platform->logs.runs, TRUE);
  g_free (platform);
}
