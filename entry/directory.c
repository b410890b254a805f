#include "entry/directory.h"

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <string.h>

#include "clock/clock.h"

/* Clients keep an answer for up to three times as long; a stopping daemon
   serves them meanwhile.  */
#define ANSWER_TTL_MS 2000
#define ADDRESSES_MAX 64
#define REQUEST_TIMEOUT_S 10

struct EnDirectory
{
  EnDirectoryOptions options;
  struct evhttp *lookups;
  struct evhttp *checks;
  MtCounter *lookup_count;
  MtCounter *empty_count;
};

G_DEFINE_QUARK (en_directory_error, en_directory_error)

typedef struct
{
  const char *zone;
  const char *region;
  int64_t now_us;
  GPtrArray *near; /* addresses in the client's zone */
  GPtrArray *region_wide;
  GPtrArray *all;
} Search;

static void
consider (Search *search, const char *zone, const char *region,
          const char *address)
{
  if (g_strcmp0 (zone, search->zone) == 0)
    g_ptr_array_add (search->near, (gpointer)address);
  if (g_strcmp0 (region, search->region) == 0)
    g_ptr_array_add (search->region_wide, (gpointer)address);
  g_ptr_array_add (search->all, (gpointer)address);
}

static void
consider_member (const FlMember *member, void *data)
{
  Search *search = data;

  if (member->ready && fl_is_live (member, search->now_us))
    consider (search, member->zone, member->region, member->front_address);
}

static void
send_addresses (const EnDirectory *directory, struct evhttp_request *request,
                const GPtrArray *addresses)
{
  uint32_t ttl_ms
      = MIN (ANSWER_TTL_MS, directory->options.settings->bounds.answer_ttl_ms);
  g_autofree char *text = directory->options.dialect->format_lookup (
      (const char *const *)addresses->pdata,
      MIN (addresses->len, ADDRESSES_MAX), ttl_ms);
  struct evbuffer *body = evbuffer_new ();

  evbuffer_add (body, text, strlen (text));
  evhttp_add_header (evhttp_request_get_output_headers (request),
                     "Content-Type", "application/json");
  evhttp_send_reply (request, 200, "OK", body);
  evbuffer_free (body);
}

static void
on_lookup (struct evhttp_request *request, void *data)
{
  EnDirectory *directory = data;
  const EnDirectoryOptions *options = &directory->options;
  const EnSettings *settings = options->settings;
  const char *query
      = evhttp_uri_get_query (evhttp_request_get_evhttp_uri (request));
  struct evkeyvalq fields = { 0 };
  g_autoptr (GPtrArray) near = g_ptr_array_new ();
  g_autoptr (GPtrArray) region_wide = g_ptr_array_new ();
  g_autoptr (GPtrArray) all = g_ptr_array_new ();
  Search search = { .now_us = ck_boot_us (),
                    .near = near,
                    .region_wide = region_wide,
                    .all = all };
  const GPtrArray *addresses;

  if (query != NULL)
    evhttp_parse_query_str (query, &fields);
  search.zone = evhttp_find_header (&fields, options->dialect->lookup_zone);
  search.region
      = evhttp_find_header (&fields, options->dialect->lookup_region);
  mt_add (directory->lookup_count, 1);
  if (options->is_ready (options->data))
    consider (&search, settings->zone, settings->region,
              settings->front_listen);
  fl_each (options->fleet, consider_member, &search);
  addresses = near->len > 0 ? near : region_wide->len > 0 ? region_wide : all;
  if (addresses->len > 0)
    send_addresses (directory, request, addresses);
  else
    {
      mt_add (directory->empty_count, 1);
      evhttp_send_reply (request, 503, "no entry VM is ready", NULL);
    }
  evhttp_clear_headers (&fields);
}

static void
on_ready (struct evhttp_request *request, void *data)
{
  EnDirectory *directory = data;

  if (directory->options.is_ready (directory->options.data))
    evhttp_send_reply (request, 200, "OK", NULL);
  else
    evhttp_send_reply (request, 503, "Service Unavailable", NULL);
}

static void
on_metrics (struct evhttp_request *request, void *data)
{
  EnDirectory *directory = data;
  struct evbuffer *body = evbuffer_new ();
  g_autofree char *text = NULL;

  directory->options.before_metrics (directory->options.data);
  text = mt_format (directory->options.metrics);
  evbuffer_add (body, text, strlen (text));
  evhttp_add_header (evhttp_request_get_output_headers (request),
                     "Content-Type", "text/plain; version=0.0.4");
  evhttp_send_reply (request, 200, "OK", body);
  evbuffer_free (body);
}

static struct evhttp *
listen_on (struct event_base *base, const char *address, GError **error)
{
  const char *colon = strrchr (address, ':');
  g_autofree char *host = NULL;
  struct evhttp *server;

  if (colon != NULL)
    {
      host = g_strndup (address, (gsize)(colon - address));
      server = evhttp_new (base);
      evhttp_set_timeout (server, REQUEST_TIMEOUT_S);
      if (evhttp_bind_socket (
              server, host,
              (ev_uint16_t)g_ascii_strtoull (colon + 1, NULL, 10))
          == 0)
        return server;
      evhttp_free (server);
    }
  g_set_error (error, EN_DIRECTORY_ERROR, EN_DIRECTORY_ERROR_LISTEN,
               "cannot listen on %s", address);
  return NULL;
}

EnDirectory *
en_directory_new (const EnDirectoryOptions *options, GError **error)
{
  EnDirectory *directory = g_new0 (EnDirectory, 1);

  directory->options = *options;
  directory->lookup_count = mt_counter (options->metrics, "lookups_total",
                                        "Look-ups of entry VMs");
  directory->empty_count = mt_counter (options->metrics, "lookups_empty_total",
                                       "Look-ups while no entry VM was ready");
  directory->lookups
      = listen_on (options->base, options->settings->directory_listen, error);
  if (directory->lookups != NULL)
    directory->checks
        = listen_on (options->base, options->settings->ready_listen, error);
  if (directory->checks == NULL)
    {
      en_directory_free (directory);
      return NULL;
    }
  evhttp_set_cb (directory->lookups, options->dialect->lookup_path, on_lookup,
                 directory);
  evhttp_set_cb (directory->checks, options->dialect->ready_path, on_ready,
                 directory);
  evhttp_set_cb (directory->checks, "/metrics", on_metrics, directory);
  return directory;
}

void
en_directory_free (EnDirectory *directory)
{
  if (directory == NULL)
    return;
  if (directory->lookups != NULL)
    evhttp_free (directory->lookups);
  if (directory->checks != NULL)
    evhttp_free (directory->checks);
  g_free (directory);
}
