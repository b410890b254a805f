#include "entry/directory.h"

#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <string.h>

#include "clock/clock.h"
#include "fleet/select.h"

/* TTL of a lookup response.  Callers may cache it for up to three times as
   long; a stopping daemon still serves them during that time.  */
#define LOOKUP_TTL_MS 2000
#define ADDRESSES_MAX 64
/* Without a request, a byte of one, or reading of a response.  */
#define TIMEOUT_MS 10000
/* Of all connections of a server, besides the least that each counts for:
   several responses with all metrics.  */
#define RESPONSES_BYTES ((uint64_t)1024 * 1024)
/* Requests have no use for a body.  */
#define BODY_MAX_BYTES 4096

struct EnDirectory
{
  EnDirectoryOptions options;
  FrServer *lookup_server;
  FrServer *health_server;
  MtCounter *lookup_count;
  MtCounter *empty_count;
  MtCounter *ready_vm_count; /* of the last lookup */
  MtCounter *returned_vm_count;
};

G_DEFINE_QUARK (en_directory_error, en_directory_error)

typedef struct
{
  const char *zone;
  const char *region;
  int64_t now_us;
  GArray *zone_vms;   /* FlVm, in the caller's zone */
  GArray *region_vms; /* in the caller's region */
  GArray *all_vms;
} LookupSearch;

static void
add_vm (LookupSearch *search, const char *zone, const char *region,
        const FlVm *vm)
{
  if (g_strcmp0 (zone, search->zone) == 0)
    g_array_append_val (search->zone_vms, *vm);
  if (g_strcmp0 (region, search->region) == 0)
    g_array_append_val (search->region_vms, *vm);
  g_array_append_val (search->all_vms, *vm);
}

static void
add_member_vm (const FlMember *member, void *data)
{
  LookupSearch *search = data;
  FlVm vm = { .address = member->front_address,
              .link_mbps = member->link_mbps,
              .cpu_permille = member->cpu_permille };

  if (member->ready && fl_is_live (member, search->now_us))
    add_vm (search, member->zone, member->region, &vm);
}

static void
send_text (FrRequest *request, const char *type, const char *text)
{
  g_autoptr (HtHeaders) headers = ht_headers_new ();

  ht_headers_add (headers, "Content-Type", type);
  fr_respond (request, 200, headers, text, strlen (text));
}

static void
send_addresses (const EnDirectory *directory, FrRequest *request, GArray *vms)
{
  const char *addresses[ADDRESSES_MAX];
  uint32_t count
      = MIN (fl_select_vms ((FlVm *)vms->data, vms->len), ADDRESSES_MAX);
  uint32_t ttl_ms = MIN (
      LOOKUP_TTL_MS, directory->options.settings->bounds.lookup_ttl_max_ms);
  g_autofree char *text = NULL;

  for (uint32_t i = 0; i < count; i++)
    addresses[i] = g_array_index (vms, FlVm, i).address;
  mt_set (directory->ready_vm_count, vms->len);
  mt_set (directory->returned_vm_count, count);
  text = directory->options.dialect->format_lookup (addresses, count, ttl_ms);
  send_text (request, "application/json", text);
}

static void
respond_to_lookup (EnDirectory *directory, FrRequest *request)
{
  const EnDirectoryOptions *options = &directory->options;
  const EnSettings *settings = options->settings;
  struct evkeyvalq fields = { 0 };
  g_autoptr (GArray) zone_vms = g_array_new (FALSE, FALSE, sizeof (FlVm));
  g_autoptr (GArray) region_vms = g_array_new (FALSE, FALSE, sizeof (FlVm));
  g_autoptr (GArray) all_vms = g_array_new (FALSE, FALSE, sizeof (FlVm));
  LookupSearch search = { .now_us = ck_boot_us (),
                          .zone_vms = zone_vms,
                          .region_vms = region_vms,
                          .all_vms = all_vms };
  GArray *vms;

  if (request->query != NULL)
    evhttp_parse_query_str (request->query, &fields);
  search.zone = evhttp_find_header (&fields, options->dialect->lookup_zone);
  search.region
      = evhttp_find_header (&fields, options->dialect->lookup_region);
  mt_add (directory->lookup_count, 1);
  if (options->is_ready (options->data))
    add_vm (&search, settings->zone, settings->region,
            &(FlVm){ .address = settings->front_listen,
                     .link_mbps = settings->link_mbps,
                     .cpu_permille = settings->cpu_permille });
  fl_each_member (options->fleet, add_member_vm, &search);
  vms = zone_vms->len > 0     ? zone_vms
        : region_vms->len > 0 ? region_vms
                              : all_vms;
  if (vms->len > 0)
    send_addresses (directory, request, vms);
  else
    {
      mt_add (directory->empty_count, 1);
      fr_respond (request, 503, NULL, NULL, 0);
    }
  evhttp_clear_headers (&fields);
}

static void
on_lookup_request (FrRequest *request, void *data)
{
  EnDirectory *directory = data;

  if (strcmp (request->path, directory->options.dialect->lookup_path) == 0)
    respond_to_lookup (directory, request);
  else
    fr_respond (request, 404, NULL, NULL, 0);
}

static void
respond_to_scrape (EnDirectory *directory, FrRequest *request)
{
  g_autofree char *text = NULL;

  directory->options.update_metrics (directory->options.data);
  text = mt_format (directory->options.metrics);
  send_text (request, "text/plain; version=0.0.4", text);
}

static void
respond_to_where (EnDirectory *directory, FrRequest *request)
{
  g_autofree char *json = NULL;
  uint32_t status;

  if (strcmp (request->method, "GET") != 0)
    {
      fr_respond (request, 405, NULL, NULL, 0);
      return;
    }
  status = directory->options.explain (request->query, &json,
                                       directory->options.data);
  fr_respond (request, status, NULL, json, strlen (json));
}

static void
on_health_request (FrRequest *request, void *data)
{
  EnDirectory *directory = data;
  const EnDirectoryOptions *options = &directory->options;

  if (strcmp (request->path, "/metrics") == 0)
    respond_to_scrape (directory, request);
  else if (strcmp (request->path, "/where") == 0)
    respond_to_where (directory, request);
  else if (strcmp (request->path, options->dialect->ready_path) == 0)
    fr_respond (request, options->is_ready (options->data) ? 200 : 503, NULL,
                NULL, 0);
  else
    fr_respond (request, 404, NULL, NULL, 0);
}

static FrServer *
listen_on (EnDirectory *directory, const char *address,
           uint32_t connections_max, FrHandler on_request, GError **error)
{
  FrOptions options
      = { .base = directory->options.base,
          .listen = address,
          .on_request = on_request,
          .data = directory,
          .host_optional = TRUE,
          .connections_max = connections_max,
          .connections_bytes
          = RESPONSES_BYTES + (uint64_t)connections_max * FR_CONN_BYTES,
          .body_max_bytes = BODY_MAX_BYTES,
          .request_timeout_ms = TIMEOUT_MS,
          .body_timeout_ms = TIMEOUT_MS,
          .idle_timeout_ms = TIMEOUT_MS,
          .write_timeout_ms = TIMEOUT_MS };
  g_autoptr (GError) cause = NULL;
  FrServer *server = fr_new (&options, &cause);

  if (server == NULL)
    g_set_error_literal (error, EN_DIRECTORY_ERROR, EN_DIRECTORY_ERROR_LISTEN,
                         cause->message);
  return server;
}

EnDirectory *
en_directory_new (const EnDirectoryOptions *options, GError **error)
{
  EnDirectory *directory = g_new0 (EnDirectory, 1);

  directory->options = *options;
  directory->lookup_count = mt_counter (options->metrics, "lookups_total",
                                        "Look-ups of entry VMs");
  directory->ready_vm_count
      = mt_gauge (options->metrics, "lookup_vms_ready",
                  "Entry VMs that the last lookup could have returned");
  directory->returned_vm_count
      = mt_gauge (options->metrics, "lookup_vms_returned",
                  "Entry VMs that the last lookup returned");
  directory->empty_count = mt_counter (options->metrics, "lookups_empty_total",
                                       "Look-ups while no entry VM was ready");
  directory->lookup_server = listen_on (
      directory, options->settings->directory_listen,
      options->settings->connections.lookups_max, on_lookup_request, error);
  if (directory->lookup_server != NULL)
    directory->health_server = listen_on (
        directory, options->settings->ready_listen,
        options->settings->connections.probes_max, on_health_request, error);
  if (directory->health_server == NULL)
    {
      en_directory_free (directory);
      return NULL;
    }
  return directory;
}

void
en_directory_free (EnDirectory *directory)
{
  if (directory == NULL)
    return;
  fr_free (directory->lookup_server);
  fr_free (directory->health_server);
  g_free (directory);
}

const FrServer *
en_directory_lookup_server (const EnDirectory *directory)
{
  return directory->lookup_server;
}

const FrServer *
en_directory_health_server (const EnDirectory *directory)
{
  return directory->health_server;
}
