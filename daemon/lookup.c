#include <arpa/inet.h>

#include "daemon/daemon.h"

/* Answers are drawn anew this often, so they follow reports without costing a
   sort for each caller.  */
#define CACHE_US (250 * CK_US_PER_MS)
#define VARIANTS 8
#define VMS_PER_ANSWER 16

typedef struct
{
  char *body[VARIANTS];
  gsize length_bytes[VARIANTS];
} Answers;

static void
answers_free (void *data)
{
  Answers *answers = data;

  for (int i = 0; i < VARIANTS; i++)
    g_free (answers->body[i]);
  g_free (answers);
}

void
dm_lookup_forget (DmDaemon *daemon)
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
      vms[count++]
          = (SrVm){ .name = member->vm,
                    .zone = zone,
                    .leaving = member->leaving
                               || pl_vm_drains (daemon->config, member->vm,
                                                member->zone, ck_wall_ms ()),
                    .load_permille = member->load_permille };
    }
  return count;
}

static char *
format_answer (const char *service, const MbMember **members,
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

static Answers *
make_answers (DmDaemon *daemon, const char *service, uint32_t region)
{
  const MbMember *members[DM_VMS_MAX];
  SrVm vms[DM_VMS_MAX];
  uint32_t order[VMS_PER_ANSWER];
  Answers *answers = g_new0 (Answers, 1);
  uint32_t vm_count;
  DmView view;

  dm_view_fill (daemon, NULL, &view, ck_boot_us ());
  vm_count = collect_vms (daemon, &view, ck_boot_us (), members, vms);
  for (int i = 0; i < VARIANTS; i++)
    {
      uint32_t count
          = sr_lookup_order (&view.view, vms, vm_count, region,
                             dm_random (daemon), order, VMS_PER_ANSWER);
      answers->body[i] = format_answer (service, members, order, count);
      answers->length_bytes[i] = strlen (answers->body[i]);
    }
  dm_view_clear (&view);
  return answers;
}

static const Answers *
find_answers (DmDaemon *daemon, const char *service, uint32_t region)
{
  char key[CF_NAME_MAX_BYTES + 16];
  Answers *answers;
  int64_t now_us = ck_boot_us ();

  if (daemon->lookup_cache == NULL)
    daemon->lookup_cache = g_hash_table_new_full (g_str_hash, g_str_equal,
                                                  g_free, answers_free);
  if (now_us - daemon->lookup_cache_us > CACHE_US)
    {
      g_hash_table_remove_all (daemon->lookup_cache);
      daemon->lookup_cache_us = now_us;
    }
  g_snprintf (key, sizeof key, "%s/%u", service, region);
  answers = g_hash_table_lookup (daemon->lookup_cache, key);
  if (answers != NULL)
    return answers;
  answers = make_answers (daemon, service, region);
  g_hash_table_insert (daemon->lookup_cache, g_strdup (key), answers);
  return answers;
}

static uint32_t
region_of_caller (const DmDaemon *daemon, const FrRequest *front)
{
  const char *told = NULL;
  struct in_addr v4;
  int region;

  if (daemon->prefixes == NULL)
    return SR_NONE;
  if (daemon->settings->trust_client_address)
    told = ht_headers_get (front->headers, "X-Client-Address");
  if (told != NULL && inet_pton (AF_INET, told, &v4) == 1)
    region = px_match_v4 (daemon->prefixes, ntohl (v4.s_addr));
  else
    region = px_match (daemon->prefixes, front->peer_address);
  return region < 0 ? SR_NONE : (uint32_t)region;
}

static void
refuse (FrRequest *front, uint32_t status, const char *error)
{
  g_autofree char *body
      = g_strdup_printf ("{\"error\":\"%s\",\"outcome\":\"not_run\"}", error);

  fr_respond (front, status, NULL, body, strlen (body));
}

/* Service names need no decoding: every byte of a name is unreserved.  */
static const char *
service_of (DmDaemon *daemon, const FrRequest *front, char *name,
            gsize name_bytes)
{
  const char *at
      = front->query == NULL ? NULL : strstr (front->query, "service=");
  gsize length;

  if (at == NULL || (at != front->query && at[-1] != '&'))
    return NULL;
  at += strlen ("service=");
  length = strcspn (at, "&");
  if (length >= name_bytes)
    return NULL;
  memcpy (name, at, length);
  name[length] = '\0';
  return cf_find_service (daemon->config, name) == NULL ? NULL : name;
}

void
dm_lookup (DmDaemon *daemon, FrRequest *front)
{
  char name[CF_NAME_MAX_BYTES + 1];
  const char *service;
  const Answers *answers;
  uint32_t variant;

  mt_add (daemon->counters.lookups, 1);
  if (strcmp (front->method, "GET") != 0)
    {
      refuse (front, 405, "method");
      return;
    }
  if (daemon->config == NULL)
    {
      refuse (front, 503, "not_ready");
      return;
    }
  service = service_of (daemon, front, name, sizeof name);
  if (service == NULL)
    {
      refuse (front, 404, "no_service");
      return;
    }
  answers = find_answers (daemon, service, region_of_caller (daemon, front));
  variant = (uint32_t)(dm_random (daemon) % VARIANTS);
  fr_respond (front, 200, NULL, answers->body[variant],
              answers->length_bytes[variant]);
}
