#include "standin/deployment.h"

#include <arpa/inet.h>
#include <json-c/json.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define ZONES 6
#define SERVICES 2
#define VMS_DEFAULT 7
/* Below the ports that the kernel gives to outgoing connections.  */
#define PORT_MIN 10000
#define PORT_RANGE 22000
/* Distance between the first ports of two processes with adjacent ids; a
   deployment of 7 VMs behind the proxy needs about 300.  */
#define PORT_STRIDE 521

typedef struct
{
  const char *name;
  const char *zones[ZONES]; /* NAME-N with NAME the region; first: the store */
  const char *services[SERVICES];
  uint32_t targets_count[SERVICES];
  int64_t zone_delay_us;
  int64_t region_delay_us;
  int64_t client_delay_us;
  int64_t region_mbit;
} Kind;

static const Kind kinds[] = {
  { "tammemets",
    { "baltic-1", "nordic-1", "central-1", "baltic-2", "nordic-2",
      "central-2" },
    { "boards", "palettes" },
    { 14, 12 },
    1000,
    12000,
    8000,
    4000 },
  { "cooperative",
    { "puget-1", "willamette-1", "inland-1", "puget-2", "willamette-2",
      "inland-2" },
    { "tile-desk", "shade-view" },
    { 16, 12 },
    500,
    12000,
    1000,
    280 },
};

static gboolean
can_bind (uint16_t port, int type)
{
  struct sockaddr_in address = { .sin_family = AF_INET,
                                 .sin_port = htons (port),
                                 .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  int fd = socket (AF_INET, type | SOCK_CLOEXEC, 0);
  gboolean done = bind (fd, (struct sockaddr *)&address, sizeof address) == 0;

  close (fd);
  return done;
}

/* Daemons bind datagram ports, too, also those of other harnesses.  */
static gboolean
is_free (uint16_t port)
{
  return can_bind (port, SOCK_STREAM) && can_bind (port, SOCK_DGRAM);
}

uint16_t
si_free_port (void)
{
  static uint32_t next;

  if (next == 0)
    next = (uint32_t)getpid () * PORT_STRIDE;
  for (uint32_t tries = 0; tries < PORT_RANGE; tries++)
    {
      uint16_t port = (uint16_t)(PORT_MIN + next++ % PORT_RANGE);
      if (is_free (port))
        return port;
    }
  g_error ("no free port on 127.0.0.1");
}

static char *
free_address (void)
{
  return g_strdup_printf ("127.0.0.1:%u", si_free_port ());
}

static char *
region_of (const char *zone)
{
  return g_strndup (zone, (gsize)(strrchr (zone, '-') - zone));
}

static void
vm_free (void *data)
{
  SiVm *vm = data;

  g_free (vm->name);
  g_free (vm->zone);
  g_free (vm->region);
  g_free (vm->http_address);
  g_free (vm->caller_address);
  g_free (vm->peer_address);
  g_free (vm->admin_address);
  g_free (vm->settings_path);
  g_free (vm->log_path);
  g_free (vm);
}

static void
target_free (void *data)
{
  SiTarget *target = data;

  g_free (target->name);
  g_free (target->service);
  g_free (target->zone);
  g_free (target->region);
  g_free (target->address);
  g_free (target);
}

static void
link_free (void *data)
{
  SiPlannedLink *link = data;

  g_free (link->name);
  g_free (link->from_zone);
  g_free (link->to_zone);
  g_free (link->listen);
  g_free (link->to);
  g_free (link->setting);
  g_free (link);
}

static void
plan_vms (SiDeployment *deployment, const Kind *kind, uint32_t count)
{
  for (uint32_t i = 0; i < count; i++)
    {
      SiVm *vm = g_new0 (SiVm, 1);

      vm->name = g_strdup_printf ("vm%u", i + 1);
      vm->zone = g_strdup (kind->zones[i % ZONES]);
      vm->region = region_of (vm->zone);
      vm->http_address = free_address ();
      vm->peer_address = free_address ();
      vm->admin_address = free_address ();
      g_ptr_array_add (deployment->vms, vm);
    }
}

static void
plan_targets (SiDeployment *deployment, const Kind *kind, uint32_t count)
{
  for (int s = 0; s < SERVICES; s++)
    for (uint32_t i = 0; i < (count > 0 ? count : kind->targets_count[s]); i++)
      {
        SiTarget *target = g_new0 (SiTarget, 1);

        target->name = g_strdup_printf ("%s-%02u", kind->services[s], i + 1);
        target->service = g_strdup (kind->services[s]);
        target->zone = g_strdup (kind->zones[i % ZONES]);
        target->region = region_of (target->zone);
        target->address = free_address ();
        g_ptr_array_add (deployment->targets, target);
      }
}

/* Links between two regions share one rate in each direction.  */
static char *
link_setting (const Kind *kind, const char *from_zone, const char *to_zone)
{
  g_autofree char *from = region_of (from_zone);
  g_autofree char *to = region_of (to_zone);
  int order = strcmp (from, to);

  if (strcmp (from_zone, to_zone) == 0)
    return g_strdup ("delay_us=0");
  if (order == 0)
    return g_strdup_printf ("delay_us=%d", (int)kind->zone_delay_us);
  return g_strdup_printf ("delay_us=%d&mbit=%d&pipe=%s-%s&flip=%d",
                          (int)kind->region_delay_us, (int)kind->region_mbit,
                          order < 0 ? from : to, order < 0 ? to : from,
                          order > 0);
}

static void
plan_link (SiDeployment *deployment, const char *kind, const char *from,
           const char *from_zone, const char *to, const char *to_zone,
           const char *address, char *setting)
{
  SiPlannedLink *link = g_new0 (SiPlannedLink, 1);

  link->name
      = g_strdup_printf ("%s/%s/%s/%s/%s", kind, from, from_zone, to, to_zone);
  link->from_zone = g_strdup (from_zone);
  link->to_zone = g_strdup (to_zone);
  link->listen = free_address ();
  link->to = g_strdup (address);
  link->setting = setting;
  g_ptr_array_add (deployment->links, link);
}

static void
plan_links_of (SiDeployment *deployment, const Kind *kind, const SiVm *vm)
{
  for (guint i = 0; i < deployment->vms->len; i++)
    {
      const SiVm *peer = g_ptr_array_index (deployment->vms, i);
      if (peer != vm)
        plan_link (deployment, "peer", vm->name, vm->zone, peer->name,
                   peer->zone, peer->peer_address,
                   link_setting (kind, vm->zone, peer->zone));
    }
  for (guint i = 0; i < deployment->targets->len; i++)
    {
      const SiTarget *target = g_ptr_array_index (deployment->targets, i);
      plan_link (deployment, "target", vm->name, vm->zone, target->name,
                 target->zone, target->address,
                 link_setting (kind, vm->zone, target->zone));
    }
  plan_link (deployment, "store", vm->name, vm->zone, "store",
             deployment->store_zone, deployment->platform_address,
             link_setting (kind, vm->zone, deployment->store_zone));
}

static void
plan_links (SiDeployment *deployment, const Kind *kind,
            const SiOptions *options)
{
  for (guint i = 0; i < deployment->vms->len; i++)
    {
      SiVm *vm = g_ptr_array_index (deployment->vms, i);

      if (options->proxied)
        plan_links_of (deployment, kind, vm);
      if (options->proxied && options->client_links)
        plan_link (
            deployment, "client", "callers", "outside", vm->name, vm->zone,
            vm->http_address,
            g_strdup_printf ("delay_us=%d", (int)kind->client_delay_us));
      vm->caller_address = g_strdup (si_deployment_route (
          deployment, "client", "callers", vm->name, vm->http_address));
    }
}

SiDeployment *
si_deployment_new (const SiOptions *options, GError **error)
{
  const char *name
      = options->deployment == NULL ? "tammemets" : options->deployment;
  SiDeployment *deployment;
  const Kind *kind = NULL;

  for (size_t i = 0; i < G_N_ELEMENTS (kinds); i++)
    if (strcmp (kinds[i].name, name) == 0)
      kind = &kinds[i];
  if (kind == NULL)
    {
      g_set_error (error, SI_ERROR, SI_ERROR_OPTION,
                   "no deployment is named \"%s\"", name);
      return NULL;
    }
  deployment = g_new0 (SiDeployment, 1);
  deployment->vms = g_ptr_array_new_with_free_func (vm_free);
  deployment->targets = g_ptr_array_new_with_free_func (target_free);
  deployment->links = g_ptr_array_new_with_free_func (link_free);
  deployment->store_zone = g_strdup (kind->zones[0]);
  deployment->region_mbit = (uint32_t)kind->region_mbit;
  deployment->region_delay_us = (uint32_t)kind->region_delay_us;
  deployment->platform_address = free_address ();
  deployment->platform_control = free_address ();
  deployment->target_control = free_address ();
  deployment->proxy_control = free_address ();
  plan_vms (deployment, kind,
            options->vms_count == 0 ? VMS_DEFAULT : options->vms_count);
  plan_targets (deployment, kind, options->targets_count);
  plan_links (deployment, kind, options);
  return deployment;
}

void
si_deployment_free (SiDeployment *deployment)
{
  g_ptr_array_unref (deployment->vms);
  g_ptr_array_unref (deployment->targets);
  g_ptr_array_unref (deployment->links);
  g_free (deployment->store_zone);
  g_free (deployment->platform_address);
  g_free (deployment->platform_control);
  g_free (deployment->target_control);
  g_free (deployment->proxy_control);
  g_free (deployment);
}

const char *
si_deployment_route (const SiDeployment *deployment, const char *kind,
                     const char *from, const char *to, const char *direct)
{
  g_autofree char *pattern = g_strdup_printf ("%s/%s/*/%s/*", kind, from, to);

  for (guint i = 0; i < deployment->links->len; i++)
    {
      const SiPlannedLink *link = g_ptr_array_index (deployment->links, i);
      if (g_pattern_match_simple (pattern, link->name))
        return link->listen;
    }
  return direct;
}

static void
add_text (struct json_object *object, const char *name, const char *value)
{
  json_object_object_add (object, name, json_object_new_string (value));
}

static void
add_routes (const SiDeployment *deployment, struct json_object *root,
            const SiVm *vm)
{
  struct json_object *peers = json_object_new_object ();
  struct json_object *targets = json_object_new_object ();

  for (guint i = 0; i < deployment->vms->len; i++)
    {
      const SiVm *peer = g_ptr_array_index (deployment->vms, i);
      const char *route = si_deployment_route (deployment, "peer", vm->name,
                                               peer->name, NULL);
      if (route != NULL)
        add_text (peers, peer->name, route);
    }
  for (guint i = 0; i < deployment->targets->len; i++)
    {
      const SiTarget *target = g_ptr_array_index (deployment->targets, i);
      const char *route = si_deployment_route (deployment, "target", vm->name,
                                               target->name, NULL);
      if (route != NULL)
        add_text (targets, target->name, route);
    }
  json_object_object_add (root, "peer_connect", peers);
  json_object_object_add (root, "target_connect", targets);
}

/* First contacts: the next two VMs, so that all are linked in a ring.  */
static void
add_first_contacts (const SiDeployment *deployment, struct json_object *root,
                    const SiVm *vm)
{
  struct json_object *contacts = json_object_new_array ();
  guint count = deployment->vms->len, own = 0;

  while (g_ptr_array_index (deployment->vms, own) != vm)
    own++;
  for (guint i = 1; i <= 2 && i < count; i++)
    {
      const SiVm *peer
          = g_ptr_array_index (deployment->vms, (own + i) % count);
      json_object_array_add (
          contacts,
          json_object_new_string (si_deployment_route (
              deployment, "peer", vm->name, peer->name, peer->peer_address)));
    }
  json_object_object_add (root, "peers", contacts);
}

static const char *
or_default (const char *value, const char *otherwise)
{
  return value == NULL ? otherwise : value;
}

char *
si_deployment_settings (const SiDeployment *deployment, const SiVm *vm,
                        const SiOptions *options)
{
  struct json_object *root = json_object_new_object ();
  char *text;

  add_text (root, "vm", vm->name);
  add_text (root, "zone", vm->zone);
  add_text (root, "region", vm->region);
  add_text (root, "http_listen", vm->http_address);
  add_text (root, "peer_listen", vm->peer_address);
  add_text (root, "admin_listen", vm->admin_address);
  add_text (root, "store",
            si_deployment_route (deployment, "store", vm->name, "store",
                                 deployment->platform_address));
  add_text (root, "policy", or_default (options->policy, "headroom"));
  add_text (root, "admission", or_default (options->admission, "lend"));
  add_text (root, "log", or_default (options->log, "warning"));
  json_object_object_add (
      root, "trust_client_address",
      json_object_new_boolean (options->trust_client_address));
  json_object_object_add (root, "drain_max_ms",
                          json_object_new_int64 (options->drain_max_ms == 0
                                                     ? 30000
                                                     : options->drain_max_ms));
  add_routes (deployment, root, vm);
  add_first_contacts (deployment, root, vm);
  text = g_strdup (
      json_object_to_json_string_ext (root, JSON_C_TO_STRING_PRETTY));
  json_object_put (root);
  return text;
}
