#include <arpa/inet.h>

#include "daemon/daemon.h"

/* Responses are cached this long, so they follow the reports of load without
   sorting the VMs for each caller.  */
#define CACHE_TTL_US (250 * CK_US_PER_MS)
#define RESPONSE_VARIANTS 8
#define VMS_PER_RESPONSE 16

/* Cached responses for a service and a region of callers.  Each lists the VMs
   in another random order; a lookup gets any of them.  */
typedef struct
{
  char *body[RESPONSE_VARIANTS];
  gsize length_bytes[RESPONSE_VARIANTS];
} Responses;

static void
responses_free (void *data)
{
  Responses *responses = data;

  for (int i = 0; i < RESPONSE_VARIANTS; i++)
    g_free (responses->body[i]);
  g_free (responses);
}

void
dm_lookup_clear_cache (DmDaemon *daemon)
{
  if (daemon->lookup_cache != NULL)
    g_hash_table_remove_all (daemon->lookup_cache);
}

static uint32_t
collect_vms (DmDaemon *daemon, const DmView *view, int64_t now_us,
             const MbMember **members, SrVm *vms)
{
  uint32_t live_count
      = mb_live_members (daemon->members, now_us, members, DM_VMS_MAX);
  uint32_t count = 0;

  for (uint32_t i = 0; i < live_count; i++)
    {
      const MbMember *member = members[i];
      uint32_t zone = SR_NONE;

      for (uint32_t z = 0; z < view->view.zone_count && zone == SR_NONE; z++)
        if (strcmp (view->view.zones[z].name, member->zone) == 0)
          zone = z;
      if (zone == SR_NONE || *member->http_address == '\0')
        continue;
      members[count] = member;
      vms[count++] = (SrVm){ .name = member->vm,
                             .zone = zone,
                             .leaving = member->leaving
                                        || pl_vm_is_draining (
                                            daemon->config, member->vm,
                                            member->zone, ck_wall_ms ()),
                             .load_permille = member->load_permille };
    }
  return count;
}

static char *
format_response (const char *service, const MbMember **members,
                 const uint32_t *order, uint32_t count)
{
  GString *body = g_string_new (NULL);

  g_string_printf (body, "{\"service\":\"%s\",\"ttl_ms\":%d,\"vms\":[",
                   service, SR_LOOKUP_TTL_MS);
  for (uint32_t i = 0; i < count; i++)
    {
      const MbMember *member = members[order[i]];
      g_string_append_printf (
          body, "%s{\"name\":\"%s\",\"address\":\"%s\",\"zone\":\"%s\"}",
          i == 0 ? "" : ",", member->vm, member->http_address, member->zone);
    }
  g_string_append (body, "]}");
  return g_string_free (body, FALSE);
}

static Responses *
make_responses (DmDaemon *daemon, const char *service, uint32_t region)
{
  const MbMember *members[DM_VMS_MAX];
  SrVm vms[DM_VMS_MAX];
  uint32_t order[VMS_PER_RESPONSE];
  Responses *responses = g_new0 (Responses, 1);
  uint32_t vm_count;
  DmView view;

  dm_view_fill (daemon, NULL, &view, ck_boot_us ());
  vm_count = collect_vms (daemon, &view, ck_boot_us (), members, vms);
  for (int i = 0; i < RESPONSE_VARIANTS; i++)
    {
      uint32_t count
          = sr_lookup_order (&view.view, vms, vm_count, region,
                             dm_random (daemon), order, VMS_PER_RESPONSE);
      responses->body[i] = format_response (service, members, order, count);
      responses->length_bytes[i] = strlen (responses->body[i]);
    }
  dm_view_clear (&view);
  return responses;
}

static const Responses *
find_responses (DmDaemon *daemon, const char *service, uint32_t region)
{
  char key[CF_NAME_MAX_BYTES + 16];
  Responses *responses;
  int64_t now_us = ck_boot_us ();

  if (daemon->lookup_cache == NULL)
    daemon->lookup_cache = g_hash_table_new_full (g_str_hash, g_str_equal,
                                                  g_free, responses_free);
  if (now_us - daemon->lookup_cache_cleared_us > CACHE_TTL_US)
    {
      g_hash_table_remove_all (daemon->lookup_cache);
      daemon->lookup_cache_cleared_us = now_us;
    }
  g_snprintf (key, sizeof key, "%s/%u", service, region);
  responses = g_hash_table_lookup (daemon->lookup_cache, key);
  if (responses != NULL)
    return responses;
  responses = make_responses (daemon, service, region);
  g_hash_table_insert (daemon->lookup_cache, g_strdup (key), responses);
  return responses;
}

static uint32_t
caller_region (const DmDaemon *daemon, const FrRequest *front)
{
  const char *client_address = NULL;
  struct in_addr v4;
  int region;

  if (daemon->prefixes == NULL)
    return SR_NONE;
  if (daemon->settings->trust_client_address)
    client_address = ht_headers_get (front->headers, "X-Client-Address");
  if (client_address != NULL && inet_pton (AF_INET, client_address, &v4) == 1)
    region = px_match_v4 (daemon->prefixes, ntohl (v4.s_addr));
  else
    region = px_match (daemon->prefixes, front->peer_address);
  return region < 0 ? SR_NONE : (uint32_t)region;
}

static void
respond_error (FrRequest *front, uint32_t status, const char *error)
{
  g_autofree char *body
      = g_strdup_printf ("{\"error\":\"%s\",\"outcome\":\"not_run\"}", error);

  fr_respond (front, status, NULL, body, strlen (body));
}

/* Service names need no percent-decoding: they have unreserved characters
   only.  */
static const char *
parse_service (DmDaemon *daemon, const FrRequest *front, char *name,
               gsize name_bytes)
{
  const char *value
      = front->query == NULL ? NULL : strstr (front->query, "service=");
  gsize length;

  if (value == NULL || (value != front->query && value[-1] != '&'))
    return NULL;
  value += strlen ("service=");
  length = strcspn (value, "&");
  if (length >= name_bytes)
    return NULL;
  memcpy (name, value, length);
  name[length] = '\0';
  return cf_find_service (daemon->config, name) == NULL ? NULL : name;
}

void
dm_lookup (DmDaemon *daemon, FrRequest *front)
{
  char name[CF_NAME_MAX_BYTES + 1];
  const char *service;
  const Responses *responses;
  uint32_t variant;

  mt_add (daemon->metrics.lookups, 1);
  if (strcmp (front->method, "GET") != 0)
    {
      respond_error (front, 405, "method");
      return;
    }
  if (daemon->config == NULL)
    {
      respond_error (front, 503, "not_ready");
      return;
    }
  service = parse_service (daemon, front, name, sizeof name);
  if (service == NULL)
    {
      respond_error (front, 404, "no_service");
      return;
    }
  responses = find_responses (daemon, service, caller_region (daemon, front));
  variant = (uint32_t)(dm_random (daemon) % RESPONSE_VARIANTS);
  fr_respond (front, 200, NULL, responses->body[variant],
              responses->length_bytes[variant]);
}
