#include "memory/holder.h"

#include <string.h>

/* Networks of IPv6 hosts have at least the lower half of their addresses.  */
#define NETWORK_BYTES 8

typedef enum
{
  RESOURCE_COUNT,
  RESOURCE_MEMORY,
} Resource;

/* The holders of one address.  */
typedef struct
{
  uint8_t bytes[MM_ADDRESS_BYTES];
  uint32_t count;
  uint64_t held_bytes;
  GQueue waiting; /* of MmHolder, by progress_us */
} Address;

struct MmHolders
{
  MmHolderOptions options;
  MmHolderCounters counters;
  GQueue silent;         /* of MmHolder, by progress_us */
  GHashTable *addresses; /* set of Address with holders */
};

struct MmHolder
{
  MmHolders *holders;
  void *owner;
  Address *address;
  uint64_t bytes;
  int64_t progress_us;
  gboolean is_busy;
  gboolean has_read; /* the peer, since it was last found stalled */
  gboolean is_silent;
  gboolean is_waiting;
  GList silent_node;  /* in MmHolders.silent while is_silent */
  GList waiting_node; /* in Address.waiting while is_waiting */
};

/* What has to fit.  */
typedef struct
{
  const uint8_t *address;  /* as in Address.bytes */
  const MmHolder *growing; /* NULL: a new holder */
  Resource resource;
  uint64_t amount;
  int64_t now_us;
} Demand;

static guint
hash_address (gconstpointer key)
{
  const uint8_t *bytes = key;
  guint hash = 5381;

  for (guint i = 0; i < MM_ADDRESS_BYTES; i++)
    hash = hash * 33 + bytes[i];
  return hash;
}

static gboolean
equal_addresses (gconstpointer a, gconstpointer b)
{
  return memcmp (a, b, MM_ADDRESS_BYTES) == 0;
}

void
mm_network (uint8_t network[MM_ADDRESS_BYTES], const uint8_t *address)
{
  static const uint8_t ipv4_prefix[12] = { [10] = 0xff, [11] = 0xff };
  gboolean is_ipv4 = memcmp (address, ipv4_prefix, sizeof ipv4_prefix) == 0;

  memset (network, 0, MM_ADDRESS_BYTES);
  memcpy (network, address, is_ipv4 ? MM_ADDRESS_BYTES : NETWORK_BYTES);
}

MmHolders *
mm_holders_new (const MmHolderOptions *options)
{
  MmHolders *holders = g_new0 (MmHolders, 1);

  holders->options = *options;
  /* The number in total then applies.  */
  if (options->address_count_max >= options->count_max
      && options->count_max > 0)
    holders->options.address_count_max = 0;
  if (options->turn_us == 0)
    holders->options.turn_us = MM_HOLDER_TURN_US;
  g_queue_init (&holders->silent);
  /* Address.bytes is the first member.  */
  holders->addresses
      = g_hash_table_new_full (hash_address, equal_addresses, NULL, g_free);
  return holders;
}

void
mm_holders_free (MmHolders *holders)
{
  if (holders == NULL)
    return;
  g_assert (holders->counters.count == 0);
  g_hash_table_unref (holders->addresses);
  g_free (holders);
}

const MmHolderCounters *
mm_holders_counters (const MmHolders *holders)
{
  return &holders->counters;
}

/* Inserts the node of a holder.  Mostly its progress is the latest, and the
   search ends at once.  */
static void
insert_by_progress (GQueue *queue, GList *node)
{
  const MmHolder *holder = node->data;
  GList *before = queue->tail;

  while (before != NULL
         && ((MmHolder *)before->data)->progress_us > holder->progress_us)
    before = before->prev;
  if (before == NULL)
    g_queue_push_head_link (queue, node);
  else
    g_queue_insert_after_link (queue, before, node);
}

/* Puts the holder into the queues, or takes it out, as its state requires.  */
static void
update_queues (MmHolder *holder)
{
  if (holder->is_silent)
    g_queue_unlink (&holder->holders->silent, &holder->silent_node);
  if (holder->is_waiting)
    g_queue_unlink (&holder->address->waiting, &holder->waiting_node);
  holder->is_waiting = !holder->is_busy;
  holder->is_silent = !holder->is_busy && !holder->has_read;
  if (holder->is_silent)
    insert_by_progress (&holder->holders->silent, &holder->silent_node);
  if (holder->is_waiting)
    insert_by_progress (&holder->address->waiting, &holder->waiting_node);
}

static uint64_t
amount_of (const Address *address, Resource resource)
{
  if (address == NULL)
    return 0;
  return resource == RESOURCE_COUNT ? address->count : address->held_bytes;
}

static Address *
find_heaviest (const MmHolders *holders, Resource resource)
{
  Address *heaviest = NULL;
  GHashTableIter addresses;
  gpointer address;

  g_hash_table_iter_init (&addresses, holders->addresses);
  while (g_hash_table_iter_next (&addresses, &address, NULL))
    if (amount_of (address, resource) > amount_of (heaviest, resource))
      heaviest = address;
  return heaviest;
}

/* Whether HOLDER is to be closed before OTHER, which may be NULL and has made
   progress earlier.  */
static gboolean
goes_before (const MmHolder *holder, const MmHolder *other, Resource resource)
{
  return other == NULL
         || (resource == RESOURCE_MEMORY && holder->bytes > other->bytes);
}

/* Returns the first holder of ADDRESS to be displaced, or NULL.  ANY: also one
   whose peer reads or that has not had its turn.  */
static MmHolder *
find_displaced (const MmHolders *holders, const Address *address,
                const Demand *demand, gboolean any)
{
  MmHolder *first = NULL;

  for (GList *node = address->waiting.head; node != NULL; node = node->next)
    {
      MmHolder *holder = node->data;

      if (!any
          && (holder->has_read
              || demand->now_us - holder->progress_us
                     < holders->options.turn_us))
        continue;
      if (goes_before (holder, first, demand->resource))
        first = holder;
      if (demand->resource == RESOURCE_COUNT)
        break;
    }
  return first;
}

/* Closes a holder of the address that holds most, if that is another one and
   holds more.  A single holder is that address's only request.  */
static gboolean
displace_other (MmHolders *holders, const Demand *demand)
{
  const Address *own
      = g_hash_table_lookup (holders->addresses, demand->address);
  const Address *heaviest = find_heaviest (holders, demand->resource);
  MmHolder *holder;

  if (heaviest == NULL || heaviest == own || heaviest->count == 1
      || amount_of (heaviest, demand->resource)
             <= amount_of (own, demand->resource) + demand->amount)
    return FALSE;
  holder = find_displaced (holders, heaviest, demand, TRUE);
  if (holder == NULL)
    return FALSE;
  holders->counters.displaced_count++;
  holders->options.close (holder->owner);
  return TRUE;
}

static gboolean
displace_own (MmHolders *holders, const Demand *demand)
{
  const Address *own
      = g_hash_table_lookup (holders->addresses, demand->address);
  MmHolder *holder
      = own != NULL ? find_displaced (holders, own, demand, FALSE) : NULL;

  if (holder == NULL || holder == demand->growing)
    return FALSE;
  holders->counters.displaced_count++;
  holders->options.close (holder->owner);
  return TRUE;
}

/* Closes the holder that was silent for the longest time.  */
static gboolean
close_silent (MmHolders *holders, const Demand *demand)
{
  MmHolder *first = g_queue_peek_head (&holders->silent);

  if (first == NULL || first == demand->growing
      || demand->now_us - first->progress_us < MM_HOLDER_GRACE_US)
    return FALSE;
  holders->counters.closed_count++;
  holders->options.close (first->owner);
  return TRUE;
}

/* Closes one holder for DEMAND.  FALSE if there is none to close.  */
static gboolean
close_one (MmHolders *holders, const Demand *demand)
{
  return close_silent (holders, demand) || displace_other (holders, demand)
         || displace_own (holders, demand);
}

gboolean
mm_holders_close_one (MmHolders *holders, const MmHolderDemand *demand)
{
  uint8_t address[MM_ADDRESS_BYTES];
  Demand internal = { .address = address,
                      .growing = demand->growing,
                      .resource = RESOURCE_MEMORY,
                      .amount = demand->bytes,
                      .now_us = demand->now_us };

  mm_network (address, demand->address);
  return demand->silent_only ? close_silent (holders, &internal)
                             : close_one (holders, &internal);
}

static gboolean
refuse (MmHolders *holders, MmRefusal refusal)
{
  holders->counters.refused_counts[refusal]++;
  return FALSE;
}

static gboolean
make_room (MmHolders *holders, const Demand *demand)
{
  uint64_t limit_bytes = holders->options.limit_bytes;

  if (demand->amount > limit_bytes)
    return FALSE;
  while (holders->counters.used_bytes > limit_bytes - demand->amount)
    if (!close_one (holders, demand))
      return FALSE;
  return TRUE;
}

static gboolean
make_room_for_growth (MmHolder *holder, uint64_t bytes, int64_t now_us)
{
  return make_room (holder->holders,
                    &(Demand){ .address = holder->address->bytes,
                               .growing = holder,
                               .resource = RESOURCE_MEMORY,
                               .amount = bytes - holder->bytes,
                               .now_us = now_us });
}

static gboolean
is_above_share (const MmHolders *holders, const uint8_t *address)
{
  uint32_t count_max = holders->options.address_count_max;

  return count_max > 0
         && amount_of (g_hash_table_lookup (holders->addresses, address),
                       RESOURCE_COUNT)
                >= count_max;
}

static gboolean
admit (MmHolders *holders, const uint8_t *address,
       const MmHolderRequest *request)
{
  const MmHolderOptions *options = &holders->options;
  Demand demand = { .address = address,
                    .resource = RESOURCE_COUNT,
                    .amount = 1,
                    .now_us = request->now_us };

  while (is_above_share (holders, address))
    if (!displace_own (holders, &demand))
      return refuse (holders, MM_REFUSED_ADDRESS);
  while (options->count_max > 0
         && holders->counters.count >= options->count_max)
    if (!close_one (holders, &demand))
      return refuse (holders, MM_REFUSED_COUNT);
  demand.resource = RESOURCE_MEMORY;
  demand.amount = request->bytes;
  return make_room (holders, &demand) || refuse (holders, MM_REFUSED_MEMORY);
}

static void
count_bytes (MmHolders *holders, Address *address, uint64_t before,
             uint64_t after)
{
  MmHolderCounters *counters = &holders->counters;

  address->held_bytes = address->held_bytes - before + after;
  counters->used_bytes = counters->used_bytes - before + after;
  counters->peak_bytes = MAX (counters->peak_bytes, counters->used_bytes);
}

static void
set_bytes (MmHolder *holder, uint64_t bytes)
{
  count_bytes (holder->holders, holder->address, holder->bytes, bytes);
  holder->bytes = bytes;
}

static Address *
obtain_address (MmHolders *holders, const uint8_t *bytes)
{
  Address *address = g_hash_table_lookup (holders->addresses, bytes);

  if (address != NULL)
    return address;
  address = g_new0 (Address, 1);
  memcpy (address->bytes, bytes, MM_ADDRESS_BYTES);
  g_queue_init (&address->waiting);
  g_hash_table_add (holders->addresses, address);
  return address;
}

MmHolder *
mm_holder_new (MmHolders *holders, const MmHolderRequest *request)
{
  uint8_t address[MM_ADDRESS_BYTES];
  MmHolder *holder;

  mm_network (address, request->address);
  if (!admit (holders, address, request))
    return NULL;
  holder = g_new0 (MmHolder, 1);
  holder->holders = holders;
  holder->owner = request->owner;
  holder->address = obtain_address (holders, address);
  holder->progress_us = request->now_us;
  holder->silent_node.data = holder;
  holder->waiting_node.data = holder;
  holder->address->count++;
  holders->counters.count++;
  set_bytes (holder, request->bytes);
  update_queues (holder);
  return holder;
}

void
mm_holder_free (MmHolder *holder)
{
  MmHolders *holders;

  if (holder == NULL)
    return;
  holders = holder->holders;
  holder->is_busy = TRUE;
  update_queues (holder);
  set_bytes (holder, 0);
  holders->counters.count--;
  if (--holder->address->count == 0)
    g_hash_table_remove (holders->addresses, holder->address);
  g_free (holder);
}

gboolean
mm_holder_resize (MmHolder *holder, uint64_t bytes, int64_t now_us)
{
  if (bytes > holder->bytes && !make_room_for_growth (holder, bytes, now_us))
    return refuse (holder->holders, MM_REFUSED_MEMORY);
  set_bytes (holder, bytes);
  return TRUE;
}

void
mm_holder_force (MmHolder *holder, uint64_t bytes, int64_t now_us)
{
  if (bytes > holder->bytes)
    make_room_for_growth (holder, bytes, now_us);
  set_bytes (holder, bytes);
}

void
mm_holder_shrink (MmHolder *holder, uint64_t bytes)
{
  if (bytes < holder->bytes)
    set_bytes (holder, bytes);
}

void
mm_holder_set_busy (MmHolder *holder)
{
  holder->is_busy = TRUE;
  update_queues (holder);
}

void
mm_holder_set_waiting (MmHolder *holder, int64_t now_us)
{
  holder->is_busy = FALSE;
  holder->progress_us = now_us;
  update_queues (holder);
}

void
mm_holder_note_read (MmHolder *holder, int64_t now_us)
{
  holder->has_read = TRUE;
  holder->progress_us = now_us;
  update_queues (holder);
}

void
mm_holder_set_stalled (MmHolder *holder)
{
  holder->has_read = FALSE;
  update_queues (holder);
}
