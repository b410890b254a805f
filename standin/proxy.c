#include "standin/proxy.h"

#include <json-c/json.h>
#include <string.h>

#include "standin/harness.h"
#include "standin/link.h"

struct SiProxy
{
  struct event_base *base;
  SiServer *control_server;
  GPtrArray *links;  /* SiLink */
  GHashTable *pipes; /* name -> SiPipe */
};

static SiPipe *
get_pipe (SiProxy *proxy, const char *name)
{
  SiPipe *pipe = g_hash_table_lookup (proxy->pipes, name);

  if (pipe == NULL)
    {
      pipe = g_new0 (SiPipe, 1);
      g_hash_table_insert (proxy->pipes, g_strdup (name), pipe);
    }
  return pipe;
}

static int64_t
get_int (const struct evkeyvalq *settings, const char *key,
         int64_t default_value)
{
  const char *text = evhttp_find_header (settings, key);
  return text == NULL ? default_value : g_ascii_strtoll (text, NULL, 10);
}

static void
apply_settings (SiProxy *proxy, SiLink *link, const struct evkeyvalq *settings)
{
  const char *pipe = evhttp_find_header (settings, "pipe");
  const char *half_close = evhttp_find_header (settings, "halfclose");

  if (pipe != NULL)
    link->pipe = get_pipe (proxy, pipe);
  link->pipe_reversed = get_int (settings, "flip", link->pipe_reversed) != 0;
  link->delay_us = get_int (settings, "delay_us", link->delay_us);
  link->pipe->mbit_per_s = get_int (settings, "mbit", link->pipe->mbit_per_s);
  link->cut_after_bytes[SI_UP]
      = get_int (settings, "cut_after_up", link->cut_after_bytes[SI_UP]);
  link->cut_after_bytes[SI_DOWN]
      = get_int (settings, "cut_after_down", link->cut_after_bytes[SI_DOWN]);
  link->cut = get_int (settings, "cut", link->cut) != 0;
  link->hold = get_int (settings, "hold", link->hold) != 0;
  link->partition = get_int (settings, "partition", link->partition) != 0;
  si_link_update (link);
  if (half_close != NULL)
    si_link_half_close (link,
                        strcmp (half_close, "down") == 0 ? SI_DOWN : SI_UP);
}

/* LINE is "NAME LISTEN DESTINATION [KEY=VALUE&...]".  */
static gboolean
add_link (SiProxy *proxy, const char *line, GError **error)
{
  g_auto (GStrv) words = g_strsplit (line, " ", 4);
  struct evkeyvalq settings;
  SiLink *link;

  if (g_strv_length (words) < 3)
    {
      g_set_error (error, SI_ERROR, SI_ERROR_OPTION,
                   "\"%s\" is not NAME LISTEN DESTINATION [KEY=VALUE&...]",
                   line);
      return FALSE;
    }
  link = si_link_new (proxy->base, words[0], words[1], words[2], error);
  if (link == NULL)
    return FALSE;
  link->pipe = get_pipe (proxy, link->name);
  g_ptr_array_add (proxy->links, link);
  if (words[3] == NULL)
    return TRUE;
  si_parse_query (words[3], &settings);
  apply_settings (proxy, link, &settings);
  evhttp_clear_headers (&settings);
  return TRUE;
}

static char **
get_body_lines (SiExchange *x)
{
  gsize length_bytes;
  const char *body = si_request_body (x, &length_bytes);
  g_autofree char *text = g_strndup (body, length_bytes);

  return g_strsplit (g_strstrip (text), "\n", -1);
}

static void
handle_add (SiProxy *proxy, SiExchange *x)
{
  g_auto (GStrv) lines = get_body_lines (x);
  g_autoptr (GError) error = NULL;

  for (char **line = lines; *line != NULL; line++)
    if (**line != '\0' && !add_link (proxy, *line, &error))
      {
        si_send_text (x, 400, error->message);
        return;
      }
  si_send_text (x, 200, "{}");
}

static uint32_t
apply_to_matching (SiProxy *proxy, const char *pattern,
                   const struct evkeyvalq *settings)
{
  uint32_t count = 0;

  for (guint i = 0; i < proxy->links->len; i++)
    {
      SiLink *link = g_ptr_array_index (proxy->links, i);

      if (!g_pattern_match_simple (pattern, link->name))
        continue;
      apply_settings (proxy, link, settings);
      count++;
    }
  return count;
}

static void
handle_set (SiProxy *proxy, SiExchange *x)
{
  g_auto (GStrv) patterns = get_body_lines (x);
  const char *match = si_query_param (x, "match");
  g_autofree char *text = NULL;
  uint32_t count = 0;

  if (match != NULL)
    count += apply_to_matching (proxy, match, &x->query);
  for (char **pattern = patterns; *pattern != NULL; pattern++)
    if (**pattern != '\0')
      count += apply_to_matching (proxy, *pattern, &x->query);
  text = g_strdup_printf ("{\"links\":%u}", count);
  si_send_text (x, count > 0 ? 200 : 404, text);
}

static struct json_object *
link_to_json (const SiLink *link)
{
  struct json_object *row = json_object_new_object ();

  json_object_object_add (row, "name", json_object_new_string (link->name));
  json_object_object_add (row, "accepted",
                          json_object_new_uint64 (link->accepted_count));
  json_object_object_add (row, "open",
                          json_object_new_uint64 (link->connections->len));
  json_object_object_add (
      row, "up_bytes", json_object_new_uint64 (link->forwarded_bytes[SI_UP]));
  json_object_object_add (
      row, "down_bytes",
      json_object_new_uint64 (link->forwarded_bytes[SI_DOWN]));
  return row;
}

static void
handle_links (SiProxy *proxy, SiExchange *x)
{
  struct json_object *rows = json_object_new_array ();

  for (guint i = 0; i < proxy->links->len; i++)
    json_object_array_add (rows,
                           link_to_json (g_ptr_array_index (proxy->links, i)));
  si_send_text (x, 200,
                json_object_to_json_string_ext (rows, JSON_C_TO_STRING_PLAIN));
  json_object_put (rows);
}

static void
handle_control (SiExchange *x, void *data)
{
  static const struct
  {
    const char *path;
    void (*handle) (SiProxy *proxy, SiExchange *x);
  } paths[] = {
    { "/control/add", handle_add },
    { "/control/set", handle_set },
    { "/control/links", handle_links },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (paths); i++)
    if (strcmp (si_request_path (x), paths[i].path) == 0)
      {
        paths[i].handle (data, x);
        return;
      }
  si_send_response (x, 404, "", 0);
}

SiProxy *
si_proxy_new (struct event_base *base, const char *control_address,
              GError **error)
{
  SiProxy *proxy = g_new0 (SiProxy, 1);

  proxy->base = base;
  proxy->links = g_ptr_array_new_with_free_func (si_link_free);
  proxy->pipes
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  proxy->control_server
      = si_server_new (base, control_address, handle_control, proxy, error);
  if (proxy->control_server != NULL)
    return proxy;
  si_proxy_free (proxy);
  return NULL;
}

void
si_proxy_free (SiProxy *proxy)
{
  if (proxy->control_server != NULL)
    si_server_free (proxy->control_server);
  g_ptr_array_unref (proxy->links);
  g_hash_table_unref (proxy->pipes);
  g_free (proxy);
}
