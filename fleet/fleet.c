#include "fleet/fleet.h"

#include <string.h>
#include <xxhash.h>

typedef struct
{
  FlMember public; /* first, so that a Member can be read as one */
  int64_t started_ms;
  GHashTable *demands; /* customer id to requests per second, a double */
} Member;

/* Lookups return a VM with less than this part of the capacity of the largest
   one only in times of trouble; a daemon on one is expected to have this
   weight relative to the others.  */
#define SMALL_VM_DIVISOR 4
#define SMALL_VM_WEIGHT 0.1

struct FlFleet
{
  char *name;
  char *zone;
  char *region;
  uint32_t link_mbps;
  uint32_t cpu_permille;
  int64_t started_us;
  gboolean ready; /* this daemon, as it reports itself */
  gboolean stopping;
  GHashTable *members; /* name to Member */
};

static void
free_member (gpointer data)
{
  Member *member = data;

  g_free ((char *)member->public.name);
  g_free ((char *)member->public.zone);
  g_free ((char *)member->public.region);
  g_free ((char *)member->public.front_address);
  g_free ((char *)member->public.gossip_address);
  g_hash_table_unref (member->demands);
  g_free (member);
}

FlFleet *
fl_new (const FlOptions *options)
{
  FlFleet *fleet = g_new0 (FlFleet, 1);

  fleet->name = g_strdup (options->name);
  fleet->zone = g_strdup (options->zone);
  fleet->region = g_strdup (options->region);
  fleet->link_mbps = options->link_mbps;
  fleet->cpu_permille = options->cpu_permille;
  fleet->started_us = options->started_us;
  fleet->ready = TRUE;
  fleet->members
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_member);
  return fleet;
}

void
fl_free (FlFleet *fleet)
{
  if (fleet == NULL)
    return;
  g_hash_table_unref (fleet->members);
  g_free (fleet->name);
  g_free (fleet->zone);
  g_free (fleet->region);
  g_free (fleet);
}

static Member *
add_member (FlFleet *fleet, const FlReport *report)
{
  Member *member = g_new0 (Member, 1);

  member->public.name = g_strdup (report->name);
  member->public.zone = g_strdup (report->zone);
  member->public.region = g_strdup (report->region);
  member->public.front_address = g_strdup (report->front_address);
  member->public.gossip_address = g_strdup (report->gossip_address);
  member->started_ms = report->started_ms;
  member->demands = g_hash_table_new_full (NULL, NULL, NULL, g_free);
  g_hash_table_replace (fleet->members, (gpointer)member->public.name, member);
  return member;
}

static void
update_demands (Member *member, const FlReport *report)
{
  g_hash_table_remove_all (member->demands);
  for (uint32_t i = 0; i < report->demand_count; i++)
    g_hash_table_insert (member->demands,
                         GUINT_TO_POINTER (report->demands[i].customer_id),
                         g_memdup2 (&report->demands[i].requests_per_s,
                                    sizeof report->demands[i].requests_per_s));
}

static gboolean
is_suspect (const FlMember *member, int64_t now_us)
{
  return now_us - member->last_report_us
         > FL_SUSPECT_TIMEOUT_US + member->interval_us - FL_REPORT_INTERVAL_US;
}

gboolean
fl_receive_report (FlFleet *fleet, const FlReport *report, int64_t now_us)
{
  Member *member = g_hash_table_lookup (fleet->members, report->name);
  gboolean changed;

  if (strcmp (report->name, fleet->name) == 0)
    return FALSE;
  if (member != NULL && report->started_ms < member->started_ms)
    return FALSE;
  changed = member == NULL || report->started_ms > member->started_ms
            || is_suspect (&member->public, now_us)
            || member->public.ready != report->ready
            || member->public.stopping != report->stopping;
  if (member == NULL || report->started_ms > member->started_ms)
    member = add_member (fleet, report);
  member->public.ready = report->ready;
  member->public.stopping = report->stopping;
  member->public.is_zone_leader = report->is_zone_leader;
  member->public.config_version = report->config_version;
  member->public.link_mbps = report->link_mbps;
  member->public.cpu_permille = report->cpu_permille;
  member->public.interval_us = MAX (
      FL_REPORT_INTERVAL_US, MIN (report->interval_us, FL_EXPIRY_TIMEOUT_US));
  member->public.last_report_us = now_us;
  update_demands (member, report);
  return changed;
}

/* True for a suspect or stopping member, too: it may still admit requests.  */
static gboolean
may_use_share (const FlMember *member, int64_t now_us)
{
  return now_us - member->last_report_us <= FL_EXPIRY_TIMEOUT_US;
}

static gboolean
is_expired (gpointer name, gpointer value, gpointer data)
{
  const Member *member = value;
  const int64_t *now_us = data;

  (void)name;
  return !may_use_share (&member->public, *now_us);
}

void
fl_expire_members (FlFleet *fleet, int64_t now_us)
{
  g_hash_table_foreach_remove (fleet->members, is_expired, &now_us);
}

void
fl_set_ready (FlFleet *fleet, gboolean ready)
{
  fleet->ready = ready;
}

void
fl_set_stopping (FlFleet *fleet)
{
  fleet->stopping = TRUE;
}

gboolean
fl_is_live (const FlMember *member, int64_t now_us)
{
  return !member->stopping && !is_suspect (member, now_us);
}

void
fl_each_member (const FlFleet *fleet,
                void (*visit) (const FlMember *member, void *data), void *data)
{
  GHashTableIter members;
  gpointer member;

  g_hash_table_iter_init (&members, fleet->members);
  while (g_hash_table_iter_next (&members, NULL, &member))
    visit (&((Member *)member)->public, data);
}

typedef struct
{
  const char *zone;   /* NULL: any */
  const char *region; /* NULL: any */
  int64_t now_us;
  uint32_t count;
} MemberCount;

static void
count_member (const FlMember *member, void *data)
{
  MemberCount *count = data;

  if (may_use_share (member, count->now_us)
      && (count->zone == NULL || strcmp (count->zone, member->zone) == 0)
      && (count->region == NULL
          || strcmp (count->region, member->region) == 0))
    count->count++;
}

static void
find_newest_config (const FlMember *member, void *data)
{
  uint64_t *newest = data;

  *newest = MAX (*newest, member->config_version);
}

uint64_t
fl_newest_config_version (const FlFleet *fleet)
{
  uint64_t newest = 0;

  fl_each_member (fleet, find_newest_config, &newest);
  return newest;
}

uint32_t
fl_count_daemons (const FlFleet *fleet, int64_t now_us)
{
  MemberCount count = { .now_us = now_us, .count = 1 };

  fl_each_member (fleet, count_member, &count);
  return count.count;
}

/* The largest VMs of the fleet, and the sum of the weights of the daemons of a
   zone and region.  */
typedef struct
{
  const char *zone;   /* NULL: any */
  const char *region; /* NULL: any */
  int64_t now_us;
  uint32_t link_max_mbps;
  uint32_t cpu_max_permille;
  uint32_t count;
  double weight;
} WeightSum;

static double
weigh_vm (const WeightSum *sum, uint32_t link_mbps, uint32_t cpu_permille)
{
  gboolean is_small
      = (link_mbps > 0 && link_mbps * SMALL_VM_DIVISOR < sum->link_max_mbps)
        || (cpu_permille > 0
            && cpu_permille * SMALL_VM_DIVISOR < sum->cpu_max_permille);

  return is_small ? SMALL_VM_WEIGHT : 1;
}

static gboolean
is_in (const WeightSum *sum, const char *zone, const char *region)
{
  return (sum->zone == NULL || strcmp (sum->zone, zone) == 0)
         && (sum->region == NULL || strcmp (sum->region, region) == 0);
}

static void
find_largest (const FlMember *member, void *data)
{
  WeightSum *sum = data;

  if (!may_use_share (member, sum->now_us))
    return;
  sum->link_max_mbps = MAX (sum->link_max_mbps, member->link_mbps);
  sum->cpu_max_permille = MAX (sum->cpu_max_permille, member->cpu_permille);
}

static void
add_weight (const FlMember *member, void *data)
{
  WeightSum *sum = data;

  if (!may_use_share (member, sum->now_us)
      || !is_in (sum, member->zone, member->region))
    return;
  sum->count++;
  sum->weight += weigh_vm (sum, member->link_mbps, member->cpu_permille);
}

double
fl_idle_share (const FlFleet *fleet, const char *zone, const char *region,
               uint32_t count, int64_t now_us)
{
  WeightSum sum = { .zone = zone,
                    .region = region,
                    .now_us = now_us,
                    .link_max_mbps = fleet->link_mbps,
                    .cpu_max_permille = fleet->cpu_permille };
  double own_weight;

  if (!is_in (&sum, fleet->zone, fleet->region))
    return 0;
  fl_each_member (fleet, find_largest, &sum);
  own_weight = weigh_vm (&sum, fleet->link_mbps, fleet->cpu_permille);
  sum.count = 1;
  sum.weight = own_weight;
  fl_each_member (fleet, add_weight, &sum);
  /* Members that have not reported yet may be large.  */
  if (count > sum.count)
    sum.weight += count - sum.count;
  return own_weight / sum.weight;
}

uint32_t
fl_count_in_zone (const FlFleet *fleet, const char *zone, int64_t now_us)
{
  MemberCount count = { .zone = zone, .now_us = now_us };

  count.count = strcmp (zone, fleet->zone) == 0;
  fl_each_member (fleet, count_member, &count);
  return count.count;
}

uint32_t
fl_count_in_region (const FlFleet *fleet, const char *region, int64_t now_us)
{
  MemberCount count = { .region = region, .now_us = now_us };

  count.count = strcmp (region, fleet->region) == 0;
  fl_each_member (fleet, count_member, &count);
  return count.count;
}

uint32_t
fl_customer_id (const char *customer)
{
  return XXH32 (customer, strlen (customer), 0);
}

/* Sums over the members of ZONE and REGION; NULL means any.  */
static double
sum_demand (const FlFleet *fleet, const char *zone, const char *region,
            uint32_t customer_id, int64_t now_us)
{
  GHashTableIter members;
  gpointer value;
  double sum = 0;

  g_hash_table_iter_init (&members, fleet->members);
  while (g_hash_table_iter_next (&members, NULL, &value))
    {
      const Member *member = value;
      const double *requests_per_s = g_hash_table_lookup (
          member->demands, GUINT_TO_POINTER (customer_id));
      if (requests_per_s != NULL && may_use_share (&member->public, now_us)
          && (zone == NULL || strcmp (zone, member->public.zone) == 0)
          && (region == NULL || strcmp (region, member->public.region) == 0))
        sum += *requests_per_s;
    }
  return sum;
}

double
fl_demand (const FlFleet *fleet, uint32_t customer_id, int64_t now_us)
{
  return sum_demand (fleet, NULL, NULL, customer_id, now_us);
}

double
fl_demand_in_zone (const FlFleet *fleet, uint32_t customer_id, int64_t now_us)
{
  return sum_demand (fleet, fleet->zone, NULL, customer_id, now_us);
}

double
fl_demand_in_region (const FlFleet *fleet, uint32_t customer_id,
                     int64_t now_us)
{
  return sum_demand (fleet, NULL, fleet->region, customer_id, now_us);
}

uint32_t
fl_count_regions (const FlFleet *fleet, int64_t now_us)
{
  g_autoptr (GHashTable) regions = g_hash_table_new (g_str_hash, g_str_equal);
  GHashTableIter members;
  gpointer value;

  g_hash_table_add (regions, fleet->region);
  g_hash_table_iter_init (&members, fleet->members);
  while (g_hash_table_iter_next (&members, NULL, &value))
    {
      const FlMember *member = value;
      if (may_use_share (member, now_us))
        g_hash_table_add (regions, (gpointer)member->region);
    }
  return g_hash_table_size (regions);
}

static uint64_t
rendezvous_weight (const char *name, uint64_t hash)
{
  return XXH3_64bits_withSeed (name, strlen (name), hash);
}

/* Daemons that may own a bucket.  The next kind is only used where there is
   none of the one before.  */
typedef enum
{
  OWNER_READY,
  OWNER_LIVE,
  OWNER_STOPPING, /* or live */
  OWNER_KIND_COUNT,
} OwnerKind;

static gboolean
is_of_kind (OwnerKind kind, gboolean ready, gboolean stopping)
{
  if (kind == OWNER_READY)
    return ready && !stopping;
  return kind == OWNER_STOPPING || !stopping;
}

/* Finds the daemon with the highest rendezvous weight of KIND in REGION, or in
   all if it is NULL, among this one and those that are not suspect.  Returns
   FALSE if there is none.  */
static gboolean
find_owner (const FlFleet *fleet, uint64_t hash, OwnerKind kind,
            const char *region, int64_t now_us, const char **owner)
{
  gboolean found = is_of_kind (kind, fleet->ready, fleet->stopping)
                   && (region == NULL || strcmp (region, fleet->region) == 0);
  uint64_t best_weight = found ? rendezvous_weight (fleet->name, hash) : 0;
  GHashTableIter members;
  gpointer value;

  g_hash_table_iter_init (&members, fleet->members);
  while (g_hash_table_iter_next (&members, NULL, &value))
    {
      const FlMember *member = value;
      if (is_suspect (member, now_us)
          || !is_of_kind (kind, member->ready, member->stopping)
          || (region != NULL && strcmp (member->region, region) != 0)
          || rendezvous_weight (member->name, hash) <= best_weight)
        continue;
      best_weight = rendezvous_weight (member->name, hash);
      *owner = member->gossip_address;
      found = TRUE;
    }
  return found;
}

const char *
fl_token_owner (const FlFleet *fleet, uint32_t customer_id, int64_t now_us)
{
  const char *owner = NULL;

  for (OwnerKind kind = 0; kind < OWNER_KIND_COUNT; kind++)
    if (find_owner (fleet, customer_id, kind, fleet->region, now_us, &owner))
      break;
  return owner;
}

const char *
fl_target_token_owner (const FlFleet *fleet, uint64_t target_hash,
                       const char *region, int64_t now_us)
{
  const char *owner = NULL;

  for (OwnerKind kind = 0; kind < OWNER_KIND_COUNT; kind++)
    if (find_owner (fleet, target_hash, kind, region, now_us, &owner)
        || find_owner (fleet, target_hash, kind, NULL, now_us, &owner))
      break;
  return owner;
}

uint32_t
fl_find_watchers (const FlFleet *fleet, uint64_t hash, int64_t now_us,
                  const char *addresses[FL_WATCHERS_MAX])
{
  uint64_t weights[FL_WATCHERS_MAX] = { 0 };
  uint32_t found = 0;
  GHashTableIter members;
  gpointer value;

  g_hash_table_iter_init (&members, fleet->members);
  while (g_hash_table_iter_next (&members, NULL, &value))
    {
      const FlMember *member = value;
      uint64_t weight = rendezvous_weight (member->name, hash);
      uint32_t i;
      if (!fl_is_live (member, now_us)
          || (found == FL_WATCHERS_MAX && weight <= weights[found - 1]))
        continue;
      found = MIN (found + 1, FL_WATCHERS_MAX);
      for (i = found - 1; i > 0 && weights[i - 1] < weight; i--)
        {
          weights[i] = weights[i - 1];
          addresses[i] = addresses[i - 1];
        }
      weights[i] = weight;
      addresses[i] = member->gossip_address;
    }
  return found;
}

uint32_t
fl_rank (const FlFleet *fleet, uint64_t hash, int64_t now_us)
{
  uint64_t weight = rendezvous_weight (fleet->name, hash);
  uint32_t rank = 0;
  GHashTableIter members;
  gpointer value;

  g_hash_table_iter_init (&members, fleet->members);
  while (g_hash_table_iter_next (&members, NULL, &value))
    {
      const FlMember *member = value;
      rank += fl_is_live (member, now_us)
              && rendezvous_weight (member->name, hash) > weight;
    }
  return rank;
}

gboolean
fl_is_watcher (const FlFleet *fleet, uint64_t hash, int64_t now_us)
{
  return fl_rank (fleet, hash, now_us) <= FL_WATCHERS_MAX;
}

FlZoneLeader
fl_zone_leader (const FlFleet *fleet, int64_t now_us)
{
  FlZoneLeader leader = now_us - fleet->started_us >= FL_DISCOVERY_US
                            ? FL_ZONE_LEADER_SELF
                            : FL_ZONE_LEADER_NONE;
  GHashTableIter members;
  gpointer value;

  g_hash_table_iter_init (&members, fleet->members);
  while (g_hash_table_iter_next (&members, NULL, &value))
    {
      const FlMember *member = value;
      if (!member->is_zone_leader || !fl_is_live (member, now_us)
          || strcmp (member->zone, fleet->zone) != 0)
        continue;
      if (leader == FL_ZONE_LEADER_NONE
          || strcmp (member->name, fleet->name) < 0)
        return FL_ZONE_LEADER_OTHER;
    }
  return leader;
}

uint32_t
fl_intervals_to (const FlFleet *fleet, const FlMember *member, int64_t now_us)
{
  uint32_t count = g_hash_table_size (fleet->members) + 1;

  if (strcmp (member->region, fleet->region) == 0
      || fl_zone_leader (fleet, now_us) != FL_ZONE_LEADER_OTHER)
    return 1;
  return CLAMP (count / FL_LARGE_FLEET_COUNT + 1, 1, FL_REMOTE_INTERVALS_MAX);
}
