#include "standin/deployment.h"

#include <arpa/inet.h>
#include <json-c/json.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define ZONE_COUNT 6
#define SERVICE_COUNT 2
#define VM_COUNT_DEFAULT 7
/* Below the kernel's range of ephemeral ports, so that no outgoing connection
   takes a planned port.  */
#define PORT_MIN 10000
#define PORT_COUNT 22000
/* Distance between the first ports that two processes with adjacent pids try;
   a proxied deployment of 7 VMs needs about 300 ports.  */
#define PORT_STRIDE 521

typedef struct
{
  const char *name;
  /* Named REGION-N; the store is in the first.  */
  const char *zones[ZONE_COUNT];
  const char *services[SERVICE_COUNT];
  uint32_t targets_count[SERVICE_COUNT];
  /* One-way delays: between zones of a region, between regions, from callers
     to VMs.  */
  int64_t zone_delay_us;
  int64_t region_delay_us;
  int64_t client_delay_us;
  int64_t region_mbit_per_s;
} DeploymentSpec;

static const DeploymentSpec specs[] = {
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
  gboolean bound = bind (fd, (struct sockaddr *)&address, sizeof address) == 0;

  close (fd);
  return bound;
}

/* Daemons, also those of other harnesses, bind UDP ports as well.  */
static gboolean
port_is_free (uint16_t port)
{
  return can_bind (port, SOCK_STREAM) && can_bind (port, SOCK_DGRAM);
}

uint16_t
si_find_free_port (void)
{
  static uint32_t next;

  if (next == 0)
    next = (uint32_t)getpid () * PORT_STRIDE;
  for (uint32_t tries = 0; tries < PORT_COUNT; tries++)
    {
      uint16_t port = (uint16_t)(PORT_MIN + next++ % PORT_COUNT);
      if (port_is_free (port))
        return port;
    }
  g_error ("no free port on 127.0.0.1");
}

static char *
allocate_address (void)
{
  return g_strdup_printf ("127.0.0.1:%u", si_find_free_port ());
}

static char *
zone_region (const char *zone)
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
  g_free (link->listen_address);
  g_free (link->dest_address);
  g_free (link->query);
  g_free (link);
}

static void
plan_vms (SiDeployment *deployment, const DeploymentSpec *spec, uint32_t count)
{
  for (uint32_t i = 0; i < count; i++)
    {
      SiVm *vm = g_new0 (SiVm, 1);

      vm->name = g_strdup_printf ("vm%u", i + 1);
      vm->zone = g_strdup (spec->zones[i % ZONE_COUNT]);
      vm->region = zone_region (vm->zone);
      vm->http_address = allocate_address ();
      vm->peer_address = allocate_address ();
      vm->admin_address = allocate_address ();
      g_ptr_array_add (deployment->vms, vm);
    }
}

static void
plan_targets (SiDeployment *deployment, const DeploymentSpec *spec,
              uint32_t count)
{
  for (int s = 0; s < SERVICE_COUNT; s++)
    for (uint32_t i = 0; i < (count > 0 ? count : spec->targets_count[s]); i++)
      {
        SiTarget *target = g_new0 (SiTarget, 1);

        target->name = g_strdup_printf ("%s-%02u", spec->services[s], i + 1);
        target->service = g_strdup (spec->services[s]);
        target->zone = g_strdup (spec->zones[i % ZONE_COUNT]);
        target->region = zone_region (target->zone);
        target->address = allocate_address ();
        g_ptr_array_add (deployment->targets, target);
      }
}

/* All links between two regions share one rate limit in each direction: they
   use one pipe, named after the two regions in alphabetical order, and links
   in the opposite direction set `flip` (see proxy.h).  */
static char *
link_query (const DeploymentSpec *spec, const char *from_zone,
            const char *to_zone)
{
  g_autofree char *from = zone_region (from_zone);
  g_autofree char *to = zone_region (to_zone);
  int order = strcmp (from, to);

  if (strcmp (from_zone, to_zone) == 0)
    return g_strdup ("delay_us=0");
  if (order == 0)
    return g_strdup_printf ("delay_us=%d", (int)spec->zone_delay_us);
  return g_strdup_printf ("delay_us=%d&mbit=%d&pipe=%s-%s&flip=%d",
                          (int)spec->region_delay_us,
                          (int)spec->region_mbit_per_s, order < 0 ? from : to,
                          order < 0 ? to : from, order > 0);
}

static void
plan_link (SiDeployment *deployment, const char *kind, const char *from,
           const char *from_zone, const char *to, const char *to_zone,
           const char *dest_address, char *query)
{
  SiPlannedLink *link = g_new0 (SiPlannedLink, 1);

  link->name
      = g_strdup_printf ("%s/%s/%s/%s/%s", kind, from, from_zone, to, to_zone);
  link->from_zone = g_strdup (from_zone);
  link->to_zone = g_strdup (to_zone);
  link->listen_address = allocate_address ();
  link->dest_address = g_strdup (dest_address);
  link->query = query;
  g_ptr_array_add (deployment->links, link);
}

static void
plan_vm_links (SiDeployment *deployment, const DeploymentSpec *spec,
               const SiVm *vm)
{
  for (guint i = 0; i < deployment->vms->len; i++)
    {
      const SiVm *peer = g_ptr_array_index (deployment->vms, i);
      if (peer != vm)
        plan_link (deployment, "peer", vm->name, vm->zone, peer->name,
                   peer->zone, peer->peer_address,
                   link_query (spec, vm->zone, peer->zone));
    }
  for (guint i = 0; i < deployment->targets->len; i++)
    {
      const SiTarget *target = g_ptr_array_index (deployment->targets, i);
      plan_link (deployment, "target", vm->name, vm->zone, target->name,
                 target->zone, target->address,
                 link_query (spec, vm->zone, target->zone));
    }
  plan_link (deployment, "store", vm->name, vm->zone, "store",
             deployment->store_zone, deployment->store_address,
             link_query (spec, vm->zone, deployment->store_zone));
}

static void
plan_links (SiDeployment *deployment, const DeploymentSpec *spec,
            const SiHarnessOptions *options)
{
  for (guint i = 0; i < deployment->vms->len; i++)
    {
      SiVm *vm = g_ptr_array_index (deployment->vms, i);

      if (options->proxied)
        plan_vm_links (deployment, spec, vm);
      if (options->proxied && options->client_links)
        plan_link (
            deployment, "client", "callers", "outside", vm->name, vm->zone,
            vm->http_address,
            g_strdup_printf ("delay_us=%d", (int)spec->client_delay_us));
      vm->caller_address = g_strdup (si_deployment_address (
          deployment, "client", "callers", vm->name, vm->http_address));
    }
}

SiDeployment *
si_deployment_new (const SiHarnessOptions *options, GError **error)
{
  const char *name
      = options->deployment == NULL ? "tammemets" : options->deployment;
  SiDeployment *deployment;
  const DeploymentSpec *spec = NULL;

  for (size_t i = 0; i < G_N_ELEMENTS (specs); i++)
    if (strcmp (specs[i].name, name) == 0)
      spec = &specs[i];
  if (spec == NULL)
    {
      g_set_error (error, SI_ERROR, SI_ERROR_OPTION,
                   "no deployment is named \"%s\"", name);
      return NULL;
    }
  deployment = g_new0 (SiDeployment, 1);
  deployment->vms = g_ptr_array_new_with_free_func (vm_free);
  deployment->targets = g_ptr_array_new_with_free_func (target_free);
  deployment->links = g_ptr_array_new_with_free_func (link_free);
  deployment->store_zone = g_strdup (spec->zones[0]);
  deployment->region_mbit_per_s = (uint32_t)spec->region_mbit_per_s;
  deployment->region_delay_us = (uint32_t)spec->region_delay_us;
  deployment->store_address = allocate_address ();
  deployment->platform_control = allocate_address ();
  deployment->target_control = allocate_address ();
  deployment->proxy_control = allocate_address ();
  plan_vms (deployment, spec,
            options->vms_count == 0 ? VM_COUNT_DEFAULT : options->vms_count);
  plan_targets (deployment, spec, options->targets_count);
  plan_links (deployment, spec, options);
  return deployment;
}

void
si_deployment_free (SiDeployment *deployment)
{
  g_ptr_array_unref (deployment->vms);
  g_ptr_array_unref (deployment->targets);
  g_ptr_array_unref (deployment->links);
  g_free (deployment->store_zone);
  g_free (deployment->store_address);
  g_free (deployment->platform_control);
  g_free (deployment->target_control);
  g_free (deployment->proxy_control);
  g_free (deployment);
}

const char *
si_deployment_address (const SiDeployment *deployment, const char *kind,
                       const char *from, const char *to, const char *direct)
{
  g_autofree char *pattern = g_strdup_printf ("%s/%s/*/%s/*", kind, from, to);

  for (guint i = 0; i < deployment->links->len; i++)
    {
      const SiPlannedLink *link = g_ptr_array_index (deployment->links, i);
      if (g_pattern_match_simple (pattern, link->name))
        return link->listen_address;
    }
  return direct;
}

static void
add_string (struct json_object *object, const char *name, const char *value)
{
  json_object_object_add (object, name, json_object_new_string (value));
}

/* Makes VM connect to peers and targets through its links.  */
static void
add_address_overrides (const SiDeployment *deployment,
                       struct json_object *root, const SiVm *vm)
{
  struct json_object *peers = json_object_new_object ();
  struct json_object *targets = json_object_new_object ();

  for (guint i = 0; i < deployment->vms->len; i++)
    {
      const SiVm *peer = g_ptr_array_index (deployment->vms, i);
      const char *link_address = si_deployment_address (
          deployment, "peer", vm->name, peer->name, NULL);
      if (link_address != NULL)
        add_string (peers, peer->name, link_address);
    }
  for (guint i = 0; i < deployment->targets->len; i++)
    {
      const SiTarget *target = g_ptr_array_index (deployment->targets, i);
      const char *link_address = si_deployment_address (
          deployment, "target", vm->name, target->name, NULL);
      if (link_address != NULL)
        add_string (targets, target->name, link_address);
    }
  json_object_object_add (root, "peer_connect", peers);
  json_object_object_add (root, "target_connect", targets);
}

/* Each VM starts with the next two VMs as its peers, counted in a ring, so
   that every VM can learn of all others through them.  */
static void
add_seed_peers (const SiDeployment *deployment, struct json_object *root,
                const SiVm *vm)
{
  struct json_object *seeds = json_object_new_array ();
  guint count = deployment->vms->len, own = 0;

  while (g_ptr_array_index (deployment->vms, own) != vm)
    own++;
  for (guint i = 1; i <= 2 && i < count; i++)
    {
      const SiVm *peer
          = g_ptr_array_index (deployment->vms, (own + i) % count);
      json_object_array_add (
          seeds,
          json_object_new_string (si_deployment_address (
              deployment, "peer", vm->name, peer->name, peer->peer_address)));
    }
  json_object_object_add (root, "peers", seeds);
}

static const char *
value_or_default (const char *value, const char *default_value)
{
  return value == NULL ? default_value : value;
}

char *
si_deployment_settings (const SiDeployment *deployment, const SiVm *vm,
                        const SiHarnessOptions *options)
{
  struct json_object *root = json_object_new_object ();
  char *text;

  add_string (root, "vm", vm->name);
  add_string (root, "zone", vm->zone);
  add_string (root, "region", vm->region);
  add_string (root, "http_listen", vm->http_address);
  add_string (root, "peer_listen", vm->peer_address);
  add_string (root, "admin_listen", vm->admin_address);
  add_string (root, "store",
              si_deployment_address (deployment, "store", vm->name, "store",
                                     deployment->store_address));
  add_string (root, "policy", value_or_default (options->policy, "headroom"));
  add_string (root, "admission",
              value_or_default (options->admission, "lend"));
  add_string (root, "log", value_or_default (options->log, "warning"));
  json_object_object_add (
      root, "trust_client_address",
      json_object_new_boolean (options->trust_client_address));
  json_object_object_add (root, "drain_max_ms",
                          json_object_new_int64 (options->drain_max_ms == 0
                                                     ? 30000
                                                     : options->drain_max_ms));
  if (options->memory_mb > 0)
    json_object_object_add (root, "memory_mb",
                            json_object_new_int64 (options->memory_mb));
  add_address_overrides (deployment, root, vm);
  add_seed_peers (deployment, root, vm);
  text = g_strdup (
      json_object_to_json_string_ext (root, JSON_C_TO_STRING_PRETTY));
  json_object_put (root);
  return text;
}
