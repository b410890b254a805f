#include "standin/platform.h"

#include <json-c/json.h>
#include <string.h>

#include "standin/kv.h"

#define KV_PATH "/v1/kv/"
#define LIST_PATH "/v1/catalog/service/"
/* Consul's default and maximum for blocking queries.  */
#define WAIT_DEFAULT_MS (5 * 60 * 1000)
#define WAIT_MAX_MS (10 * 60 * 1000)
#define VALUE_MAX_BYTES (1024 * 1024)

typedef enum
{
  OUTAGE_OFF,
  OUTAGE_CLOSE,
  OUTAGE_HANG,
} OutageMode;

typedef enum
{
  STALE_OFF,
  STALE_PLAIN, /* reads without `consistent` */
  STALE_ALL,
} StaleMode;

typedef struct
{
  uint64_t read_count;
  uint64_t write_count;
  uint64_t watch_count;
  uint64_t list_count;    /* reads of a list, without watches */
  uint64_t refused_count; /* during an outage */
} Counts;

struct SiPlatform
{
  struct event_base *base;
  SiServer *store_server;
  SiServer *control_server;
  SiKv *kv;
  SiKv *stale_kv; /* state that stale reads return; NULL if none do */
  StaleMode stale;
  OutageMode outage;
  int64_t delay_ms;          /* before each request is handled */
  int64_t list_lag_ms;       /* before a list change takes effect */
  uint64_t lose_write_count; /* next writes whose response is dropped */
  Counts counts;
  GPtrArray *watches;          /* pending SiExchange */
  GPtrArray *hanging_requests; /* SiExchange left open by an outage */
};

/* A change of a list that takes effect after `list_lag_ms`.  */
typedef struct
{
  SiPlatform *platform;
  struct event *timer;
  char *service;
  SiListEntry entry;
} ListChange;

static void handle_request (SiExchange *x);

static const SiKv *
kv_for_read (const SiPlatform *platform, const SiExchange *x)
{
  gboolean stale = platform->stale == STALE_ALL
                   || (platform->stale == STALE_PLAIN
                       && si_query_param (x, "consistent") == NULL);
  return stale ? platform->stale_kv : platform->kv;
}

static void
add_index_header (SiExchange *x, uint64_t index)
{
  g_autofree char *text = g_strdup_printf ("%" G_GUINT64_FORMAT, index);

  si_add_response_header (x, "X-Consul-Index", text);
  si_add_response_header (x, "Content-Type", "application/json");
}

static void
send_key (SiExchange *x, const SiKv *kv, const char *key)
{
  const SiKvEntry *entry = si_kv_get (kv, key);
  gboolean recurse = si_query_param (x, "recurse") != NULL;
  g_autofree char *text = NULL;
  uint32_t count;
  gsize length_bytes;
  const char *bytes;

  add_index_header (x, entry == NULL ? 1 : entry->modify_index);
  if (!recurse && (entry == NULL || entry->value == NULL))
    {
      si_send_response (x, HTTP_NOTFOUND, "", 0);
      return;
    }
  if (si_query_param (x, "raw") != NULL && !recurse)
    {
      bytes = g_bytes_get_data (entry->value, &length_bytes);
      si_send_response (x, HTTP_OK, bytes, length_bytes);
      return;
    }
  text = si_kv_to_json (kv, key, recurse, &count);
  if (count == 0)
    si_send_response (x, HTTP_NOTFOUND, "", 0);
  else
    si_send_text (x, HTTP_OK, text);
}

static void
send_list (SiExchange *x, const SiKv *kv, const char *service)
{
  uint64_t index;
  g_autofree char *text = si_kv_list_to_json (kv, service, &index);

  add_index_header (x, index);
  si_send_text (x, HTTP_OK, text);
}

static gboolean
is_list_request (const SiExchange *x)
{
  return g_str_has_prefix (si_request_path (x), LIST_PATH);
}

/* The key, or the service of the list.  */
static char *
requested_name (const SiExchange *x)
{
  const char *path = si_request_path (x);
  return g_uri_unescape_string (
      path + strlen (is_list_request (x) ? LIST_PATH : KV_PATH), NULL);
}

static void
send_read (SiExchange *x)
{
  SiPlatform *platform = x->data;
  const SiKv *kv = kv_for_read (platform, x);
  g_autofree char *name = requested_name (x);

  if (is_list_request (x))
    send_list (x, kv, name);
  else
    send_key (x, kv, name);
}

/* Whether the requested key or list changed after the `index` of X.  */
static gboolean
has_changed (const SiExchange *x)
{
  SiPlatform *platform = x->data;
  const SiKv *kv = kv_for_read (platform, x);
  uint64_t after = (uint64_t)si_query_param_int (x, "index", 0);
  g_autofree char *name = requested_name (x);
  const SiKvEntry *entry;

  if (is_list_request (x))
    return si_kv_list_index (kv, name) > after;
  entry = si_kv_get (kv, name);
  return entry != NULL && entry->modify_index > after;
}

static void
on_watch_closed (SiExchange *x)
{
  SiPlatform *platform = x->data;
  g_ptr_array_remove_fast (platform->watches, x);
}

static void
finish_watch (SiExchange *x)
{
  on_watch_closed (x);
  send_read (x);
}

static void
wake_watches (SiPlatform *platform)
{
  for (guint i = platform->watches->len; i-- > 0;)
    {
      SiExchange *x = g_ptr_array_index (platform->watches, i);
      if (has_changed (x))
        finish_watch (x);
    }
}

/* Parses `wait`: "10s", "500ms", "2m" or a plain number of seconds.  */
static int64_t
watch_wait_ms (const SiExchange *x)
{
  const char *text = si_query_param (x, "wait");
  char *unit;
  int64_t number;

  if (text == NULL)
    return WAIT_DEFAULT_MS;
  number = g_ascii_strtoll (text, &unit, 10);
  if (strcmp (unit, "ms") != 0)
    number *= strcmp (unit, "m") == 0 ? 60000 : 1000;
  return CLAMP (number, 0, WAIT_MAX_MS);
}

static void
handle_read (SiExchange *x)
{
  SiPlatform *platform = x->data;
  gboolean watch = si_query_param_int (x, "index", 0) > 0;

  if (watch)
    platform->counts.watch_count++;
  else if (is_list_request (x))
    platform->counts.list_count++;
  else
    platform->counts.read_count++;
  if (!watch || has_changed (x))
    {
      send_read (x);
      return;
    }
  g_ptr_array_add (platform->watches, x);
  x->on_closed = on_watch_closed;
  si_set_timer (x, watch_wait_ms (x) * 1000, finish_watch);
}

/* FALSE on a conflict.  */
static gboolean
apply_write (SiExchange *x, const char *key)
{
  SiPlatform *platform = x->data;
  gsize length_bytes;
  const char *body = si_request_body (x, &length_bytes);
  g_autoptr (GBytes) value = g_bytes_new (body, length_bytes);

  if (strcmp (si_request_method (x), "DELETE") == 0)
    {
      si_kv_remove (platform->kv, key, si_query_param (x, "recurse") != NULL);
      return TRUE;
    }
  if (si_query_param (x, "cas") != NULL)
    return si_kv_cas (platform->kv, key,
                      (uint64_t)si_query_param_int (x, "cas", 0), value);
  si_kv_put (platform->kv, key, value);
  return TRUE;
}

static void
handle_write (SiExchange *x)
{
  SiPlatform *platform = x->data;
  g_autofree char *key = requested_name (x);
  gsize length_bytes;
  gboolean written;

  platform->counts.write_count++;
  si_request_body (x, &length_bytes);
  if (length_bytes > VALUE_MAX_BYTES)
    {
      si_send_text (x, HTTP_ENTITYTOOLARGE, "value too large\n");
      return;
    }
  written = apply_write (x, key);
  if (platform->lose_write_count > 0)
    {
      platform->lose_write_count--;
      si_drop_connection (x);
    }
  else
    si_send_text (x, HTTP_OK, written ? "true\n" : "false\n");
  wake_watches (platform);
}

static void
on_hanging_closed (SiExchange *x)
{
  SiPlatform *platform = x->data;
  g_ptr_array_remove_fast (platform->hanging_requests, x);
}

static void
handle_request (SiExchange *x)
{
  SiPlatform *platform = x->data;
  const char *path = si_request_path (x);

  if (platform->outage != OUTAGE_OFF)
    {
      platform->counts.refused_count++;
      if (platform->outage == OUTAGE_CLOSE)
        {
          si_drop_connection (x);
          return;
        }
      x->on_closed = on_hanging_closed;
      g_ptr_array_add (platform->hanging_requests, x);
      return;
    }
  if (!g_str_has_prefix (path, KV_PATH) && !g_str_has_prefix (path, LIST_PATH))
    si_send_response (x, HTTP_NOTFOUND, "", 0);
  else if (strcmp (si_request_method (x), "GET") == 0)
    handle_read (x);
  else if (is_list_request (x))
    si_send_response (x, HTTP_BADMETHOD, "", 0);
  else
    handle_write (x);
}

static void
on_request (SiExchange *x, void *data)
{
  SiPlatform *platform = data;

  x->data = platform;
  if (platform->delay_ms > 0)
    si_set_timer (x, platform->delay_ms * 1000, handle_request);
  else
    handle_request (x);
}

static void
drop_exchanges (GPtrArray *exchanges)
{
  while (exchanges->len > 0)
    {
      SiExchange *x
          = g_ptr_array_steal_index_fast (exchanges, exchanges->len - 1);
      si_drop_connection (x);
    }
}

static gboolean
set_outage (SiPlatform *platform, SiExchange *x)
{
  const char *mode = si_query_param (x, "mode");
  gboolean close = g_strcmp0 (mode, "close") == 0;
  gboolean hang = g_strcmp0 (mode, "hang") == 0;

  if (!close && !hang && g_strcmp0 (mode, "off") != 0)
    return FALSE;
  platform->outage = close ? OUTAGE_CLOSE : hang ? OUTAGE_HANG : OUTAGE_OFF;
  if (close)
    drop_exchanges (platform->watches);
  if (!hang)
    drop_exchanges (platform->hanging_requests);
  return si_server_set_accept (platform->store_server,
                               close ? SI_ACCEPT_CLOSE : SI_ACCEPT_SERVE);
}

static gboolean
set_delay (SiPlatform *platform, SiExchange *x)
{
  platform->delay_ms = si_query_param_int (x, "ms", 0);
  return TRUE;
}

static gboolean
set_lose_writes (SiPlatform *platform, SiExchange *x)
{
  platform->lose_write_count = (uint64_t)si_query_param_int (x, "writes", 1);
  return TRUE;
}

static gboolean
set_stale (SiPlatform *platform, SiExchange *x)
{
  const char *mode = si_query_param (x, "mode");

  si_kv_free (platform->stale_kv);
  platform->stale_kv = NULL;
  platform->stale = g_strcmp0 (mode, "all") == 0     ? STALE_ALL
                    : g_strcmp0 (mode, "plain") == 0 ? STALE_PLAIN
                                                     : STALE_OFF;
  if (platform->stale != STALE_OFF)
    platform->stale_kv = si_kv_copy (platform->kv);
  return TRUE;
}

static void
on_list_change (evutil_socket_t fd, short events, void *data)
{
  ListChange *change = data;

  (void)fd;
  (void)events;
  si_kv_list_set (change->platform->kv, change->service, &change->entry);
  wake_watches (change->platform);
  event_free (change->timer);
  g_free (change->service);
  g_free (change->entry.id);
  g_free (change->entry.zone);
  g_free (change->entry.address);
  g_free (change->entry.state);
  g_free (change);
}

static gboolean
set_list (SiPlatform *platform, SiExchange *x)
{
  const char *service = si_query_param (x, "service"),
             *id = si_query_param (x, "id");
  const char *zone = si_query_param (x, "zone");
  const char *address = si_query_param (x, "address");
  const char *state = si_query_param (x, "state");
  ListChange *change;
  struct timeval lag = { .tv_sec = platform->list_lag_ms / 1000,
                         .tv_usec = platform->list_lag_ms % 1000 * 1000 };

  if (service == NULL || id == NULL)
    return FALSE;
  change = g_new0 (ListChange, 1);
  change->platform = platform;
  change->service = g_strdup (service);
  change->entry.id = g_strdup (id);
  change->entry.zone = g_strdup (zone == NULL ? "" : zone);
  change->entry.address = g_strdup (address == NULL ? "" : address);
  change->entry.state = g_strdup (state == NULL ? "live" : state);
  change->entry.port = (uint16_t)si_query_param_int (x, "port", 0);
  change->timer = evtimer_new (platform->base, on_list_change, change);
  if (platform->list_lag_ms == 0)
    on_list_change (-1, 0, change);
  else
    evtimer_add (change->timer, &lag);
  return TRUE;
}

static gboolean
set_list_lag (SiPlatform *platform, SiExchange *x)
{
  platform->list_lag_ms = si_query_param_int (x, "ms", 0);
  return TRUE;
}

static void
send_counts (SiPlatform *platform, SiExchange *x)
{
  const Counts *c = &platform->counts;
  gboolean reset = si_query_param (x, "reset") != NULL;
  g_autofree char *text = g_strdup_printf (
      "{\"reads\":%" G_GUINT64_FORMAT ",\"writes\":%" G_GUINT64_FORMAT
      ",\"watches\":%" G_GUINT64_FORMAT ",\"lists\":%" G_GUINT64_FORMAT
      ",\"refused\":%" G_GUINT64_FORMAT ",\"armed\":%u,\"connections\":%u}",
      c->read_count, c->write_count, c->watch_count, c->list_count,
      c->refused_count, platform->watches->len,
      si_server_open_count (platform->store_server));

  si_send_text (x, HTTP_OK, text);
  if (reset)
    platform->counts = (Counts){ 0 };
}

static void
send_dump (SiPlatform *platform, SiExchange *x)
{
  const char *prefix = si_query_param (x, "prefix");
  g_autofree char *text
      = si_kv_to_json (platform->kv, prefix == NULL ? "" : prefix, TRUE, NULL);

  si_send_text (x, HTTP_OK, text);
}

static void
on_control (SiExchange *x, void *data)
{
  static const struct
  {
    const char *path;
    gboolean (*set) (SiPlatform *platform, SiExchange *x);
  } settings[] = {
    { "/control/outage", set_outage },
    { "/control/delay", set_delay },
    { "/control/lose", set_lose_writes },
    { "/control/stale", set_stale },
    { "/control/list", set_list },
    { "/control/list_lag", set_list_lag },
  };
  const char *path = si_request_path (x);

  if (strcmp (path, "/control/counts") == 0)
    {
      send_counts (data, x);
      return;
    }
  if (strcmp (path, "/control/dump") == 0)
    {
      send_dump (data, x);
      return;
    }
  for (size_t i = 0; i < G_N_ELEMENTS (settings); i++)
    if (strcmp (path, settings[i].path) == 0)
      {
        gboolean ok = settings[i].set (data, x);
        si_send_text (x, ok ? HTTP_OK : HTTP_BADREQUEST, "{}");
        return;
      }
  si_send_response (x, HTTP_NOTFOUND, "", 0);
}

SiPlatform *
si_platform_new (struct event_base *base, const char *listen,
                 const char *control, GError **error)
{
  SiPlatform *platform = g_new0 (SiPlatform, 1);

  platform->base = base;
  platform->kv = si_kv_new ();
  platform->watches = g_ptr_array_new ();
  platform->hanging_requests = g_ptr_array_new ();
  platform->store_server
      = si_server_new (base, listen, on_request, platform, error);
  if (platform->store_server != NULL)
    platform->control_server
        = si_server_new (base, control, on_control, platform, error);
  if (platform->control_server != NULL)
    return platform;
  si_platform_free (platform);
  return NULL;
}

void
si_platform_free (SiPlatform *platform)
{
  if (platform->store_server != NULL)
    si_server_free (platform->store_server);
  if (platform->control_server != NULL)
    si_server_free (platform->control_server);
  g_ptr_array_unref (platform->watches);
  g_ptr_array_unref (platform->hanging_requests);
  si_kv_free (platform->kv);
  si_kv_free (platform->stale_kv);
  g_free (platform);
}
