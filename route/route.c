#include "route/route.h"

#include <string.h>

#include "key/key.h"

/* Of the routes of a service that have the same priority.  */
typedef struct
{
  uint32_t priority;
  uint32_t latency_target_ms; /* the smallest */
} Urgency;

struct RtConfig
{
  gatomicrefcount references;
  uint64_t version;
  uint64_t text_hash;
  RtLimits limits;
  GHashTable *hosts;     /* name to its RtRoutes, longest prefix first */
  GHashTable *services;  /* name to RtService */
  GHashTable *urgencies; /* service name to GArray of Urgency */
  GHashTable *customers; /* name to RtCustomer */
  GHashTable *keys;      /* digest (GBytes) to RtCustomer */
  gboolean requires_keys;
  GStringChunk *strings;
  GError *first_error; /* found while building, or NULL */
};

/* Limits of a configuration that sets none.  */
static const RtLimits default_limits = {
  .head_max_bytes = 16 * 1024,
  .body_max_bytes = 1024 * 1024,
  .head_timeout_ms = 10000,
  .idle_timeout_ms = 60000,
};

G_DEFINE_QUARK (rt_error, rt_error)

static void
free_route (gpointer data)
{
  RtRoute *route = data;

  g_strfreev ((char **)route->home_regions);
  g_free ((RtSplitPart *)route->parts);
  g_free (route);
}

static void
free_customer (gpointer data)
{
  RtCustomer *customer = data;

  g_strfreev ((char **)customer->home_regions);
  g_free (customer);
}

RtConfig *
rt_config_new (uint64_t version)
{
  RtConfig *config = g_new0 (RtConfig, 1);

  g_atomic_ref_count_init (&config->references);
  config->version = version;
  config->limits = default_limits;
  config->strings = g_string_chunk_new (1024);
  config->hosts = g_hash_table_new_full (g_str_hash, g_str_equal, NULL,
                                         (GDestroyNotify)g_ptr_array_unref);
  config->services
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, g_free);
  config->urgencies = g_hash_table_new_full (g_str_hash, g_str_equal, NULL,
                                             (GDestroyNotify)g_array_unref);
  config->customers
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_customer);
  config->keys = g_hash_table_new_full (g_bytes_hash, g_bytes_equal,
                                        (GDestroyNotify)g_bytes_unref, NULL);
  return config;
}

RtConfig *
rt_config_ref (RtConfig *config)
{
  g_atomic_ref_count_inc (&config->references);
  return config;
}

void
rt_config_unref (RtConfig *config)
{
  if (config == NULL || !g_atomic_ref_count_dec (&config->references))
    return;
  g_hash_table_unref (config->keys);
  g_hash_table_unref (config->customers);
  g_hash_table_unref (config->urgencies);
  g_hash_table_unref (config->services);
  g_hash_table_unref (config->hosts);
  g_string_chunk_free (config->strings);
  g_clear_error (&config->first_error);
  g_free (config);
}

uint64_t
rt_config_version (const RtConfig *config)
{
  return config->version;
}

void
rt_set_text_hash (RtConfig *config, uint64_t text_hash)
{
  config->text_hash = text_hash;
}

uint64_t
rt_text_hash (const RtConfig *config)
{
  return config->text_hash;
}

const RtLimits *
rt_limits (const RtConfig *config)
{
  return &config->limits;
}

static const char *
intern_string (RtConfig *config, const char *text)
{
  return g_string_chunk_insert_const (config->strings, text);
}

static const char *const *
copy_home_regions (const char *const *home_regions)
{
  if (home_regions == NULL || home_regions[0] == NULL)
    return NULL;
  return (const char *const *)g_strdupv ((char **)home_regions);
}

static void
set_first_error (RtConfig *config, RtError code, const char *problem,
                 const char *name)
{
  if (config->first_error == NULL)
    g_set_error (&config->first_error, RT_ERROR, (gint)code, "%s: %s", name,
                 problem);
}

void
rt_set_limits (RtConfig *config, const RtLimits *limits)
{
  config->limits = *limits;
  if (limits->head_max_bytes == 0 || limits->head_timeout_ms == 0
      || limits->idle_timeout_ms == 0)
    set_first_error (config, RT_ERROR_INVALID_LIMIT, "a limit is zero",
                     "limits");
}

void
rt_add_service (RtConfig *config, const RtService *service)
{
  RtService *copy = g_new (RtService, 1);

  *copy = *service;
  copy->name = intern_string (config, service->name);
  g_hash_table_replace (config->services, (gpointer)copy->name, copy);
}

static gint
compare_routes (gconstpointer a, gconstpointer b)
{
  const RtRoute *left = *(const RtRoute *const *)a;
  const RtRoute *right = *(const RtRoute *const *)b;
  gsize left_bytes = strlen (left->prefix);
  gsize right_bytes = strlen (right->prefix);

  return left_bytes == right_bytes ? strcmp (left->prefix, right->prefix)
                                   : (left_bytes < right_bytes ? 1 : -1);
}

static void
check_route (RtConfig *config, const RtRoute *route)
{
  if (route->part_count == 0)
    set_first_error (config, RT_ERROR_INVALID_ROUTE, "no service",
                     route->name);
  if (route->prefix[0] != '/' || !g_str_has_suffix (route->prefix, "/"))
    set_first_error (config, RT_ERROR_INVALID_ROUTE,
                     "prefix does not begin and end with a slash",
                     route->name);
  if (route->timeout_ms == 0)
    set_first_error (config, RT_ERROR_NO_TIMEOUT, "timeout is zero",
                     route->name);
  if (route->attempts_max == 0)
    set_first_error (config, RT_ERROR_INVALID_ROUTE, "attempt limit is zero",
                     route->name);
}

/* SERVICE is an interned string.  */
static void
add_urgency (RtConfig *config, const char *service, const RtRoute *route)
{
  GArray *urgencies = g_hash_table_lookup (config->urgencies, service);
  Urgency added = { route->priority, route->latency_target_ms };

  if (urgencies == NULL)
    {
      urgencies = g_array_new (FALSE, FALSE, sizeof (Urgency));
      g_hash_table_insert (config->urgencies, (gpointer)service, urgencies);
    }
  for (guint i = 0; i < urgencies->len; i++)
    {
      Urgency *urgency = &g_array_index (urgencies, Urgency, i);
      if (urgency->priority == added.priority)
        {
          urgency->latency_target_ms
              = MIN (urgency->latency_target_ms, added.latency_target_ms);
          return;
        }
    }
  g_array_append_val (urgencies, added);
}

void
rt_add_route (RtConfig *config, const RtRoute *route)
{
  RtRoute *copy = g_new (RtRoute, 1);
  RtSplitPart *parts = g_new0 (RtSplitPart, route->part_count);
  g_autofree char *host = g_ascii_strdown (route->host, -1);
  GPtrArray *routes;

  *copy = *route;
  copy->name = intern_string (config, route->name);
  copy->host = intern_string (config, host);
  copy->prefix = intern_string (config, route->prefix);
  copy->home_regions = copy_home_regions (route->home_regions);
  for (uint32_t i = 0; i < route->part_count; i++)
    {
      parts[i].service = intern_string (config, route->parts[i].service);
      parts[i].weight = route->parts[i].weight;
      add_urgency (config, parts[i].service, route);
    }
  copy->parts = parts;
  check_route (config, copy);
  routes = g_hash_table_lookup (config->hosts, copy->host);
  if (routes == NULL)
    {
      routes = g_ptr_array_new_with_free_func (free_route);
      g_hash_table_insert (config->hosts, (gpointer)copy->host, routes);
    }
  g_ptr_array_add (routes, copy);
  g_ptr_array_sort (routes, compare_routes);
}

static GBytes *
digest_key (const char *key)
{
  uint8_t digest[KY_DIGEST_BYTES];

  ky_digest (key, strlen (key), digest);
  return g_bytes_new (digest, sizeof digest);
}

void
rt_require_keys (RtConfig *config)
{
  config->requires_keys = TRUE;
}

gboolean
rt_add_customer (RtConfig *config, const RtCustomer *customer,
                 const char *const *keys)
{
  RtCustomer *copy = g_new (RtCustomer, 1);

  rt_require_keys (config);
  *copy = *customer;
  copy->name = intern_string (config, customer->name);
  copy->home_regions = copy_home_regions (customer->home_regions);
  g_hash_table_replace (config->customers, (gpointer)copy->name, copy);
  for (; keys != NULL && *keys != NULL; keys++)
    {
      GBytes *digest;
      const RtCustomer *owner;
      if (**keys == '\0')
        continue;
      digest = digest_key (*keys);
      owner = g_hash_table_lookup (config->keys, digest);
      if (owner != NULL && owner != copy)
        {
          set_first_error (config, RT_ERROR_DUPLICATE_KEY,
                           "key belongs to another customer", copy->name);
          g_bytes_unref (digest);
          return FALSE;
        }
      g_hash_table_replace (config->keys, digest, copy);
    }
  return TRUE;
}

static gboolean
check_services (const RtConfig *config, const RtRoute *route, GError **error)
{
  for (uint32_t i = 0; i < route->part_count; i++)
    if (!g_hash_table_contains (config->services, route->parts[i].service))
      {
        g_set_error (error, RT_ERROR, RT_ERROR_UNKNOWN_SERVICE,
                     "route %s names the unknown service %s", route->name,
                     route->parts[i].service);
        return FALSE;
      }
  return TRUE;
}

gboolean
rt_validate (const RtConfig *config, GError **error)
{
  GHashTableIter hosts;
  gpointer value;

  if (config->first_error != NULL)
    {
      if (error != NULL)
        *error = g_error_copy (config->first_error);
      return FALSE;
    }
  g_hash_table_iter_init (&hosts, config->hosts);
  while (g_hash_table_iter_next (&hosts, NULL, &value))
    {
      GPtrArray *routes = value;
      for (guint i = 0; i < routes->len; i++)
        if (!check_services (config, routes->pdata[i], error))
          return FALSE;
    }
  return TRUE;
}

const RtRoute *
rt_match (const RtConfig *config, const char *host, const char *path)
{
  const char *colon = strchr (host, ':');
  g_autofree char *name
      = g_ascii_strdown (host, colon != NULL ? colon - host : -1);
  GPtrArray *routes = g_hash_table_lookup (config->hosts, name);

  for (guint i = 0; routes != NULL && i < routes->len; i++)
    {
      const RtRoute *route = routes->pdata[i];
      if (g_str_has_prefix (path, route->prefix))
        return route;
    }
  return NULL;
}

gboolean
rt_has_host (const RtConfig *config, const char *host)
{
  const char *colon = strchr (host, ':');
  g_autofree char *name
      = g_ascii_strdown (host, colon != NULL ? colon - host : -1);

  return g_hash_table_contains (config->hosts, name);
}

const RtService *
rt_service (const RtConfig *config, const char *name)
{
  return g_hash_table_lookup (config->services, name);
}

uint32_t
rt_urgent_latency_target_ms (const RtConfig *config, const char *service,
                             uint32_t priority)
{
  const GArray *urgencies = g_hash_table_lookup (config->urgencies, service);
  uint32_t smallest_ms = G_MAXUINT32;

  for (guint i = 0; urgencies != NULL && i < urgencies->len; i++)
    {
      const Urgency *urgency = &g_array_index (urgencies, Urgency, i);
      if (urgency->priority < priority)
        smallest_ms = MIN (smallest_ms, urgency->latency_target_ms);
    }
  return smallest_ms == G_MAXUINT32 ? 0 : smallest_ms;
}

const RtCustomer *
rt_find_customer_by_digest (const RtConfig *config, const uint8_t *digest)
{
  g_autoptr (GBytes) bytes = g_bytes_new (digest, KY_DIGEST_BYTES);

  return g_hash_table_lookup (config->keys, bytes);
}

const RtCustomer *
rt_find_customer (const RtConfig *config, const char *key)
{
  GBytes *digest = digest_key (key);
  const RtCustomer *customer = g_hash_table_lookup (config->keys, digest);

  g_bytes_unref (digest);
  return customer;
}

gboolean
rt_requires_keys (const RtConfig *config)
{
  return config->requires_keys;
}

void
rt_each_customer (const RtConfig *config,
                  void (*visit) (const RtCustomer *customer, void *data),
                  void *data)
{
  GHashTableIter customers;
  gpointer value;

  g_hash_table_iter_init (&customers, config->customers);
  while (g_hash_table_iter_next (&customers, NULL, &value))
    visit (value, data);
}

gboolean
rt_is_home_region (const char *const *home_regions, const char *region)
{
  return home_regions == NULL || g_strv_contains (home_regions, region);
}
