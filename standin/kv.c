#include "standin/kv.h"

#include <json-c/json.h>
#include <string.h>

struct SiKv
{
  uint64_t index;              /* of the last change */
  GTree *entries;              /* key -> SiKvEntry */
  GHashTable *services;        /* name -> GTree of id -> SiListEntry */
  GHashTable *service_indexes; /* name -> index of the list's last change */
};

static int
compare_keys (const void *a, const void *b, void *data)
{
  (void)data;
  return strcmp (a, b);
}

static void
entry_free (void *data)
{
  SiKvEntry *entry = data;

  if (entry->value != NULL)
    g_bytes_unref (entry->value);
  g_free (entry);
}

static void
list_entry_free (void *data)
{
  SiListEntry *entry = data;

  g_free (entry->id);
  g_free (entry->zone);
  g_free (entry->address);
  g_free (entry->state);
  g_free (entry);
}

static SiListEntry *
list_entry_copy (const SiListEntry *from)
{
  SiListEntry *entry = g_new0 (SiListEntry, 1);

  entry->id = g_strdup (from->id);
  entry->zone = g_strdup (from->zone);
  entry->address = g_strdup (from->address);
  entry->state = g_strdup (from->state);
  entry->port = from->port;
  return entry;
}

SiKv *
si_kv_new (void)
{
  SiKv *kv = g_new0 (SiKv, 1);

  kv->index = 1;
  kv->entries = g_tree_new_full (compare_keys, NULL, g_free, entry_free);
  kv->services = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                        (GDestroyNotify)g_tree_unref);
  kv->service_indexes
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  return kv;
}

void
si_kv_free (SiKv *kv)
{
  if (kv == NULL)
    return;
  g_tree_unref (kv->entries);
  g_hash_table_unref (kv->services);
  g_hash_table_unref (kv->service_indexes);
  g_free (kv);
}

static gboolean
copy_entry (void *key, void *value, void *data)
{
  SiKvEntry *entry = g_memdup2 (value, sizeof *entry);

  if (entry->value != NULL)
    g_bytes_ref (entry->value);
  g_tree_insert (data, g_strdup (key), entry);
  return FALSE;
}

static gboolean
copy_list_entry (void *key, void *value, void *data)
{
  g_tree_insert (data, g_strdup (key), list_entry_copy (value));
  return FALSE;
}

SiKv *
si_kv_copy (const SiKv *kv)
{
  SiKv *copy = si_kv_new ();
  GHashTableIter iter;
  void *name, *value;

  copy->index = kv->index;
  g_tree_foreach (kv->entries, copy_entry, copy->entries);
  g_hash_table_iter_init (&iter, kv->services);
  while (g_hash_table_iter_next (&iter, &name, &value))
    {
      GTree *ids
          = g_tree_new_full (compare_keys, NULL, g_free, list_entry_free);
      g_tree_foreach (value, copy_list_entry, ids);
      g_hash_table_insert (copy->services, g_strdup (name), ids);
    }
  g_hash_table_iter_init (&iter, kv->service_indexes);
  while (g_hash_table_iter_next (&iter, &name, &value))
    g_hash_table_insert (copy->service_indexes, g_strdup (name), value);
  return copy;
}

const SiKvEntry *
si_kv_get (const SiKv *kv, const char *key)
{
  return g_tree_lookup (kv->entries, key);
}

void
si_kv_put (SiKv *kv, const char *key, GBytes *value)
{
  const SiKvEntry *old = si_kv_get (kv, key);
  SiKvEntry *entry = g_new0 (SiKvEntry, 1);

  entry->modify_index = ++kv->index;
  entry->create_index = old == NULL || old->value == NULL ? entry->modify_index
                                                          : old->create_index;
  entry->value = value == NULL ? NULL : g_bytes_ref (value);
  g_tree_insert (kv->entries, g_strdup (key), entry);
}

gboolean
si_kv_cas (SiKv *kv, const char *key, uint64_t expected, GBytes *value)
{
  const SiKvEntry *old = si_kv_get (kv, key);
  uint64_t current = old == NULL || old->value == NULL ? 0 : old->modify_index;

  if (current != expected)
    return FALSE;
  si_kv_put (kv, key, value);
  return TRUE;
}

typedef struct
{
  const char *prefix;
  gboolean recurse;
  GPtrArray *keys;
} Search;

static gboolean
collect_key (void *key, void *value, void *data)
{
  Search *search = data;
  SiKvEntry *entry = value;
  gboolean matches = search->recurse ? g_str_has_prefix (key, search->prefix)
                                     : strcmp (key, search->prefix) == 0;

  if (matches && entry->value != NULL)
    g_ptr_array_add (search->keys, g_strdup (key));
  return FALSE;
}

static GPtrArray *
find_keys (const SiKv *kv, const char *prefix, gboolean recurse)
{
  Search search = { prefix, recurse, g_ptr_array_new_with_free_func (g_free) };

  g_tree_foreach (kv->entries, collect_key, &search);
  return search.keys;
}

void
si_kv_remove (SiKv *kv, const char *prefix, gboolean recurse)
{
  g_autoptr (GPtrArray) keys = find_keys (kv, prefix, recurse);

  for (guint i = 0; i < keys->len; i++)
    si_kv_put (kv, g_ptr_array_index (keys, i), NULL);
}

static struct json_object *
entry_to_json (const char *key, const SiKvEntry *entry)
{
  struct json_object *row = json_object_new_object ();
  gsize length_bytes;
  const guchar *bytes = g_bytes_get_data (entry->value, &length_bytes);
  g_autofree char *encoded = g_base64_encode (bytes, length_bytes);

  json_object_object_add (row, "Key", json_object_new_string (key));
  json_object_object_add (
      row, "Value",
      length_bytes == 0 ? NULL : json_object_new_string (encoded));
  json_object_object_add (row, "Flags", json_object_new_int (0));
  json_object_object_add (row, "LockIndex", json_object_new_int (0));
  json_object_object_add (row, "CreateIndex",
                          json_object_new_uint64 (entry->create_index));
  json_object_object_add (row, "ModifyIndex",
                          json_object_new_uint64 (entry->modify_index));
  return row;
}

char *
si_kv_to_json (const SiKv *kv, const char *prefix, gboolean recurse,
               uint32_t *count)
{
  g_autoptr (GPtrArray) keys = find_keys (kv, prefix, recurse);
  struct json_object *rows = json_object_new_array ();
  char *text;

  for (guint i = 0; i < keys->len; i++)
    {
      const char *key = g_ptr_array_index (keys, i);
      json_object_array_add (rows, entry_to_json (key, si_kv_get (kv, key)));
    }
  if (count != NULL)
    *count = keys->len;
  text = g_strdup (
      json_object_to_json_string_ext (rows, JSON_C_TO_STRING_PLAIN));
  json_object_put (rows);
  return text;
}

void
si_kv_list_set (SiKv *kv, const char *service, const SiListEntry *entry)
{
  GTree *ids = g_hash_table_lookup (kv->services, service);

  if (ids == NULL)
    {
      ids = g_tree_new_full (compare_keys, NULL, g_free, list_entry_free);
      g_hash_table_insert (kv->services, g_strdup (service), ids);
    }
  if (g_strcmp0 (entry->state, "gone") == 0)
    g_tree_remove (ids, entry->id);
  else
    g_tree_insert (ids, g_strdup (entry->id), list_entry_copy (entry));
  kv->index++;
  g_hash_table_insert (kv->service_indexes, g_strdup (service),
                       GSIZE_TO_POINTER (kv->index));
}

uint64_t
si_kv_list_index (const SiKv *kv, const char *service)
{
  gsize index
      = GPOINTER_TO_SIZE (g_hash_table_lookup (kv->service_indexes, service));
  return index == 0 ? 1 : index;
}

static gboolean
append_list_entry (void *key, void *value, void *data)
{
  const SiListEntry *entry = value;
  struct json_object *row = json_object_new_object ();
  struct json_object *meta = json_object_new_object ();

  (void)key;
  json_object_object_add (row, "Node", json_object_new_string (entry->id));
  json_object_object_add (row, "Address",
                          json_object_new_string (entry->address));
  json_object_object_add (row, "ServiceID",
                          json_object_new_string (entry->id));
  json_object_object_add (row, "ServiceAddress",
                          json_object_new_string (entry->address));
  json_object_object_add (row, "ServicePort",
                          json_object_new_int (entry->port));
  json_object_object_add (meta, "zone", json_object_new_string (entry->zone));
  json_object_object_add (meta, "state",
                          json_object_new_string (entry->state));
  json_object_object_add (row, "ServiceMeta", meta);
  json_object_array_add (data, row);
  return FALSE;
}

char *
si_kv_list_to_json (const SiKv *kv, const char *service, uint64_t *index)
{
  GTree *ids = g_hash_table_lookup (kv->services, service);
  struct json_object *rows = json_object_new_array ();
  char *text;

  if (ids != NULL)
    g_tree_foreach (ids, append_list_entry, rows);
  *index = si_kv_list_index (kv, service);
  text = g_strdup (
      json_object_to_json_string_ext (rows, JSON_C_TO_STRING_PLAIN));
  json_object_put (rows);
  return text;
}
