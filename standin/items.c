#include <json-c/json.h>
#include <string.h>

#include "standin/estate_internal.h"

typedef struct
{
  char *key;
  char *value;       /* base64; NULL if deleted */
  uint64_t revision; /* of the last change */
  uint64_t created;  /* revision of its creation */
  uint64_t lease;
} Item;

typedef enum
{
  FAULT_NONE,
  FAULT_SILENT, /* no response */
  FAULT_BUSY,   /* status 503 */
  FAULT_RESET,  /* close without a response */
} Fault;

/* What a copy of the store holds.  */
typedef struct
{
  GTree *items;       /* key -> Item */
  GPtrArray *history; /* Item for each change, oldest first */
  uint64_t revision;
  uint64_t compacted_revision; /* a watch from an older one gets 410 */
  uint64_t last_lease;         /* leases do not end: 1 to this are granted */
} Contents;

struct SiItemStore
{
  SiServer *server;
  Contents *contents;
  Contents *copy;     /* NULL before the first si_item_store_save */
  GPtrArray *watches; /* pending SiExchange */
  uint64_t era;       /* rises when the copy is restored */
  Fault fault;
};

static void
item_free (gpointer data)
{
  Item *item = data;

  g_free (item->key);
  g_free (item->value);
  g_free (item);
}

static Item *
item_copy (const Item *item)
{
  Item *copy = g_new (Item, 1);

  *copy = *item;
  copy->key = g_strdup (item->key);
  copy->value = g_strdup (item->value);
  return copy;
}

static gint
compare_keys (gconstpointer a, gconstpointer b, gpointer data)
{
  (void)data;
  return strcmp (a, b);
}

static Contents *
contents_new (void)
{
  Contents *contents = g_new0 (Contents, 1);

  contents->revision = 1;
  contents->items = g_tree_new_full (compare_keys, NULL, NULL, item_free);
  contents->history = g_ptr_array_new_with_free_func (item_free);
  return contents;
}

static void
contents_free (Contents *contents)
{
  if (contents == NULL)
    return;
  g_ptr_array_unref (contents->history);
  g_tree_unref (contents->items);
  g_free (contents);
}

static gboolean
copy_to_tree (gpointer key, gpointer value, gpointer data)
{
  Item *item = item_copy (value);

  (void)key;
  g_tree_insert (data, item->key, item);
  return FALSE;
}

static Contents *
contents_copy (const Contents *contents)
{
  Contents *copy = contents_new ();

  g_tree_foreach (contents->items, copy_to_tree, copy->items);
  for (guint i = 0; i < contents->history->len; i++)
    g_ptr_array_add (copy->history, item_copy (contents->history->pdata[i]));
  copy->revision = contents->revision;
  copy->compacted_revision = contents->compacted_revision;
  copy->last_lease = contents->last_lease;
  return copy;
}

static struct json_object *
item_to_json (const Item *item)
{
  struct json_object *object = json_object_new_object ();

  json_object_object_add (object, "key", json_object_new_string (item->key));
  json_object_object_add (object, "revision",
                          json_object_new_uint64 (item->revision));
  if (item->value == NULL)
    {
      json_object_object_add (object, "deleted",
                              json_object_new_boolean (TRUE));
      return object;
    }
  json_object_object_add (object, "value",
                          json_object_new_string (item->value));
  json_object_object_add (object, "created",
                          json_object_new_uint64 (item->created));
  json_object_object_add (object, "lease",
                          json_object_new_uint64 (item->lease));
  return object;
}

static void
send_text (const SiItemStore *store, SiExchange *x, int status,
           const char *text)
{
  g_autofree char *era = g_strdup_printf ("%" G_GUINT64_FORMAT, store->era);

  si_add_response_header (x, "Store-Era", era);
  si_send_text (x, status, text);
}

static void
send_json (const SiItemStore *store, SiExchange *x, int status,
           struct json_object *object)
{
  send_text (store, x, status, json_object_to_json_string (object));
  json_object_put (object);
}

/* NULL if no key under PREFIX changed after REVISION.  */
static struct json_object *
find_events_after (const SiItemStore *store, const char *prefix,
                   uint64_t revision)
{
  struct json_object *events = json_object_new_array ();

  for (guint i = 0; i < store->contents->history->len; i++)
    {
      const Item *item = store->contents->history->pdata[i];
      if (item->revision > revision && g_str_has_prefix (item->key, prefix))
        json_object_array_add (events, item_to_json (item));
    }
  if (json_object_array_length (events) > 0)
    return events;
  json_object_put (events);
  return NULL;
}

static void
send_events (SiItemStore *store, SiExchange *x, struct json_object *events)
{
  struct json_object *response = json_object_new_object ();

  json_object_object_add (response, "events", events);
  json_object_object_add (response, "store_revision",
                          json_object_new_uint64 (store->contents->revision));
  g_ptr_array_remove (store->watches, x);
  send_json (store, x, 200, response);
}

/* Also finds changes made during a fault, which wake_watches did not send.  */
static void
on_watch_timeout (SiExchange *x)
{
  SiItemStore *store = x->data;
  struct json_object *events
      = find_events_after (store, si_query_param (x, "prefix"),
                           (uint64_t)si_query_param_int (x, "after", 0));

  send_events (store, x, events != NULL ? events : json_object_new_array ());
}

static void
on_watch_closed (SiExchange *x)
{
  SiItemStore *store = x->data;

  g_ptr_array_remove (store->watches, x);
}

static void
handle_watch (SiItemStore *store, SiExchange *x)
{
  uint64_t after = (uint64_t)si_query_param_int (x, "after", 0);
  struct json_object *events;

  if (after < store->contents->compacted_revision
      || after > store->contents->revision)
    {
      send_text (store, x, 410, "");
      return;
    }
  events = find_events_after (store, si_query_param (x, "prefix"), after);
  if (events != NULL)
    {
      send_events (store, x, events);
      return;
    }
  x->data = store;
  x->on_closed = on_watch_closed;
  g_ptr_array_add (store->watches, x);
  si_set_timer (x, si_query_param_int (x, "wait_ms", 0) * 1000,
                on_watch_timeout);
}

static void
wake_watches (SiItemStore *store)
{
  for (guint i = store->watches->len; i > 0; i--)
    {
      SiExchange *x = store->watches->pdata[i - 1];
      struct json_object *events
          = find_events_after (store, si_query_param (x, "prefix"),
                               (uint64_t)si_query_param_int (x, "after", 0));
      if (events != NULL && store->fault == FAULT_NONE)
        send_events (store, x, events);
      else
        json_object_put (events);
    }
}

/* Sets the value of KEY, in base64, or deletes KEY if ENCODED is NULL.  */
static void
set_item (SiItemStore *store, const char *key, const char *encoded,
          uint64_t lease)
{
  const Item *old = g_tree_lookup (store->contents->items, key);
  Item *item = g_new0 (Item, 1);

  item->key = g_strdup (key);
  item->value = g_strdup (encoded);
  item->revision = ++store->contents->revision;
  item->created = old != NULL ? old->created : item->revision;
  item->lease = lease;
  g_ptr_array_add (store->contents->history, item_copy (item));
  if (encoded != NULL)
    g_tree_replace (store->contents->items, item->key, item);
  else
    {
      g_tree_remove (store->contents->items, key);
      item_free (item);
    }
  wake_watches (store);
}

void
si_item_store_put (SiItemStore *store, const char *key, const char *value,
                   gsize value_bytes)
{
  g_autofree char *encoded
      = g_base64_encode ((const guchar *)value, value_bytes);

  set_item (store, key, encoded, 0);
}

void
si_item_store_remove (SiItemStore *store, const char *key)
{
  if (g_tree_lookup (store->contents->items, key) != NULL)
    set_item (store, key, NULL, 0);
}

static void
drop_watches (SiItemStore *store)
{
  while (store->watches->len > 0)
    {
      SiExchange *x = store->watches->pdata[0];
      g_ptr_array_remove_index (store->watches, 0);
      si_drop_connection (x);
    }
}

/* Drops the pending watches.  Takes a new revision, so that every watch from
   a revision that was read before gets 410.  */
void
si_item_store_compact (SiItemStore *store)
{
  store->contents->compacted_revision = store->contents->revision + 1;
  store->contents->revision++;
  g_ptr_array_set_size (store->contents->history, 0);
  drop_watches (store);
}

void
si_item_store_save (SiItemStore *store)
{
  contents_free (store->copy);
  store->copy = contents_copy (store->contents);
}

gboolean
si_item_store_restore (SiItemStore *store)
{
  if (store->copy == NULL)
    return FALSE;
  contents_free (store->contents);
  store->contents = contents_copy (store->copy);
  store->era++;
  drop_watches (store);
  return TRUE;
}

void
si_item_store_set_era (SiItemStore *store, uint64_t era)
{
  store->era = era;
}

typedef struct
{
  const char *prefix;
  GString *text;
} KeyList;

static gboolean
add_key (gpointer key, gpointer value, gpointer data)
{
  const Item *item = value;
  KeyList *list = data;

  if (g_str_has_prefix (key, list->prefix))
    g_string_append_printf (list->text,
                            "%s %" G_GUINT64_FORMAT " %" G_GUINT64_FORMAT "\n",
                            item->key, item->revision, item->lease);
  return FALSE;
}

char *
si_item_store_list_keys (const SiItemStore *store, const char *prefix)
{
  KeyList list = { .prefix = prefix, .text = g_string_new (NULL) };

  g_tree_foreach (store->contents->items, add_key, &list);
  return g_string_free (list.text, FALSE);
}

gboolean
si_item_store_set_fault (SiItemStore *store, const char *fault)
{
  static const char *const names[] = { "none", "silent", "busy", "reset" };

  for (guint i = 0; i < G_N_ELEMENTS (names); i++)
    if (strcmp (names[i], fault) == 0)
      {
        store->fault = (Fault)i;
        return TRUE;
      }
  return FALSE;
}

typedef struct
{
  const char *prefix;
  const char *after;
  uint32_t free_count; /* items that still fit */
  gboolean has_more;   /* another item follows the page */
  struct json_object *list;
} Page;

/* Small, so that tests read more than one page.  */
#define PAGE_MAX_COUNT 3

static gboolean
add_to_page (gpointer key, gpointer value, gpointer data)
{
  Page *page = data;

  if (!g_str_has_prefix (key, page->prefix)
      || (page->after != NULL && strcmp (key, page->after) <= 0))
    return FALSE;
  if (page->free_count == 0)
    {
      page->has_more = TRUE;
      return TRUE;
    }
  page->free_count--;
  json_object_array_add (page->list, item_to_json (value));
  return FALSE;
}

static void
handle_range (SiItemStore *store, SiExchange *x)
{
  struct json_object *response = json_object_new_object ();
  Page page = {
    .prefix = si_query_param (x, "prefix"),
    .after = si_query_param (x, "after"),
    .free_count = PAGE_MAX_COUNT,
    .list = json_object_new_array (),
  };

  g_tree_foreach (store->contents->items, add_to_page, &page);
  json_object_object_add (response, "items", page.list);
  json_object_object_add (response, "has_more",
                          json_object_new_boolean (page.has_more));
  json_object_object_add (response, "store_revision",
                          json_object_new_uint64 (store->contents->revision));
  send_json (store, x, 200, response);
}

static uint64_t
get_number (struct json_object *object, const char *name)
{
  struct json_object *number;

  if (!json_object_object_get_ex (object, name, &number))
    return 0;
  return json_object_get_uint64 (number);
}

static const char *
get_string (struct json_object *object, const char *name)
{
  struct json_object *string;

  if (!json_object_object_get_ex (object, name, &string))
    return NULL;
  return json_object_get_string (string);
}

static gboolean
have_granted_leases (const SiItemStore *store, struct json_object *puts)
{
  for (size_t i = 0; i < json_object_array_length (puts); i++)
    if (get_number (json_object_array_get_idx (puts, i), "lease")
        > store->contents->last_lease)
      return FALSE;
  return TRUE;
}

static gboolean
apply_puts (SiItemStore *store, struct json_object *puts)
{
  if (!have_granted_leases (store, puts))
    return FALSE;
  for (size_t i = 0; i < json_object_array_length (puts); i++)
    {
      struct json_object *put = json_object_array_get_idx (puts, i);
      set_item (store, get_string (put, "key"), get_string (put, "value"),
                get_number (put, "lease"));
    }
  return TRUE;
}

/* Ignores `expect` and `remove`.  */
static void
handle_txn (SiItemStore *store, SiExchange *x)
{
  gsize text_bytes;
  const char *text = si_request_body (x, &text_bytes);
  g_autofree char *copy = g_strndup (text, text_bytes);
  struct json_object *body = json_tokener_parse (copy);
  struct json_object *response;
  struct json_object *puts;
  gboolean applied = TRUE;

  if (json_object_object_get_ex (body, "puts", &puts))
    applied = apply_puts (store, puts);
  json_object_put (body);
  if (!applied)
    {
      send_text (store, x, 404, "");
      return;
    }
  response = json_object_new_object ();
  json_object_object_add (response, "revision",
                          json_object_new_uint64 (store->contents->revision));
  send_json (store, x, 200, response);
}

static void
grant_lease (SiItemStore *store, SiExchange *x)
{
  g_autofree char *text
      = g_strdup_printf ("{\"lease\":%" G_GUINT64_FORMAT ",\"ttl_s_time\":60}",
                         ++store->contents->last_lease);

  send_text (store, x, 200, text);
}

static void
renew_lease (SiItemStore *store, SiExchange *x, const char *id)
{
  guint64 lease;

  if (g_ascii_string_to_unsigned (id, 10, 1, G_MAXUINT64, &lease, NULL)
      && lease <= store->contents->last_lease)
    send_text (store, x, 200, "{\"ttl_s_time\":60}");
  else
    send_text (store, x, 404, "");
}

#define RENEWAL_PREFIX "/kv-keep/"

static void
handle_request (SiItemStore *store, SiExchange *x)
{
  const char *path = si_request_path (x);

  if (strcmp (path, "/kv-range") == 0)
    handle_range (store, x);
  else if (strcmp (path, "/kv-watch") == 0)
    handle_watch (store, x);
  else if (strcmp (path, "/kv-txn") == 0)
    handle_txn (store, x);
  else if (strcmp (path, "/kv-lease") == 0)
    grant_lease (store, x);
  else if (g_str_has_prefix (path, RENEWAL_PREFIX))
    renew_lease (store, x, path + strlen (RENEWAL_PREFIX));
  else
    send_text (store, x, 404, "");
}

static void
on_request (SiExchange *x, void *data)
{
  SiItemStore *store = data;

  switch (store->fault)
    {
    case FAULT_NONE:
      handle_request (store, x);
      break;
    case FAULT_SILENT:
      break;
    case FAULT_BUSY:
      send_text (store, x, 503, "");
      break;
    case FAULT_RESET:
      si_drop_connection (x);
      break;
    }
}

SiItemStore *
si_item_store_new (struct event_base *base, const char *address,
                   GError **error)
{
  SiItemStore *store = g_new0 (SiItemStore, 1);

  store->contents = contents_new ();
  store->era = 1;
  store->watches = g_ptr_array_new ();
  store->server = si_server_new (base, address, on_request, store, error);
  if (store->server == NULL)
    {
      si_item_store_free (store);
      return NULL;
    }
  return store;
}

void
si_item_store_free (SiItemStore *store)
{
  if (store == NULL)
    return;
  if (store->server != NULL)
    si_server_free (store->server);
  g_ptr_array_unref (store->watches);
  contents_free (store->copy);
  contents_free (store->contents);
  g_free (store);
}
