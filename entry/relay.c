#include "entry/relay.h"

#include <string.h>

/* A daemon replies to each confirmation with a stamp, so an older stamp is
   from a daemon that has stopped or is unreachable.  */
#define STAMP_TTL_US ((int64_t)60000000)

typedef struct
{
  int64_t started_ms;
  int64_t stamp_us;    /* by the sender's clock */
  int64_t received_us; /* by this daemon's clock */
} PeerStamp;

struct EnRelay
{
  EnRelayOptions options;
  GHashTable *stamps; /* gossip address to its latest PeerStamp */
};

EnRelay *
en_relay_new (const EnRelayOptions *options)
{
  EnRelay *relay = g_new0 (EnRelay, 1);

  relay->options = *options;
  relay->stamps
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return relay;
}

void
en_relay_free (EnRelay *relay)
{
  if (relay == NULL)
    return;
  g_hash_table_unref (relay->stamps);
  g_free (relay);
}

/* Data of the callbacks of fl_each_member.  */
typedef struct
{
  EnRelay *relay;
  const GoTargetDelta *delta;    /* to publish */
  const EnStoreRead *store_read; /* to confirm */
  int64_t now_us;
  gboolean has_other_leader; /* a ready daemon with a lower name */
} PeerContext;

static gboolean
is_region_peer (const PeerContext *context, const FlMember *member)
{
  return fl_is_live (member, context->now_us)
         && strcmp (member->region, context->relay->options.settings->region)
                == 0;
}

static void
find_other_leader (const FlMember *member, void *data)
{
  PeerContext *context = data;

  if (is_region_peer (context, member) && member->ready
      && strcmp (member->name, context->relay->options.settings->vm) < 0)
    context->has_other_leader = TRUE;
}

static gboolean
is_leader (PeerContext *context)
{
  const EnRelayOptions *options = &context->relay->options;

  if (!options->is_ready (options->data))
    return FALSE;
  fl_each_member (options->fleet, find_other_leader, context);
  return !context->has_other_leader;
}

gboolean
en_relay_is_leader (const EnRelay *relay, int64_t now_us)
{
  PeerContext context = { .relay = (EnRelay *)relay, .now_us = now_us };

  return is_leader (&context);
}

static void
send_target_delta (const FlMember *member, void *data)
{
  PeerContext *context = data;

  if (is_region_peer (context, member))
    go_send_target_delta (context->relay->options.gossip,
                          member->gossip_address, context->delta);
}

void
en_relay_publish_target_delta (EnRelay *relay, const GoTargetDelta *delta,
                               int64_t now_us)
{
  PeerContext context = { .relay = relay, .delta = delta, .now_us = now_us };

  if (is_leader (&context))
    fl_each_member (relay->options.fleet, send_target_delta, &context);
}

static void
send_confirmation (const FlMember *member, void *data)
{
  PeerContext *context = data;
  EnRelay *relay = context->relay;
  const EnStoreRead *store_read = context->store_read;
  const PeerStamp *stamp
      = g_hash_table_lookup (relay->stamps, member->gossip_address);
  GoConfirmation confirmation = {
    .stamp = { .gossip_address = relay->options.settings->gossip_listen },
    .store_era = store_read->store_era,
    .revision = store_read->revision,
    .changed_revision = store_read->changed_revision,
    .config_hash = store_read->config_hash,
  };

  if (!is_region_peer (context, member))
    return;
  if (stamp != NULL && stamp->received_us <= store_read->requested_us)
    {
      confirmation.stamp.started_ms = stamp->started_ms;
      confirmation.stamp.stamp_us = stamp->stamp_us;
    }
  go_send_confirmation (relay->options.gossip, member->gossip_address,
                        &confirmation);
}

static gboolean
is_expired_stamp (gpointer address, gpointer value, gpointer data)
{
  const int64_t *now_us = data;

  (void)address;
  return *now_us - ((const PeerStamp *)value)->received_us > STAMP_TTL_US;
}

void
en_relay_publish_confirmation (EnRelay *relay, const EnStoreRead *store_read,
                               int64_t now_us)
{
  PeerContext context
      = { .relay = relay, .store_read = store_read, .now_us = now_us };

  g_hash_table_foreach_remove (relay->stamps, is_expired_stamp, &now_us);
  if (is_leader (&context))
    fl_each_member (relay->options.fleet, send_confirmation, &context);
}

typedef struct
{
  PeerContext context;
  const char *address;
  gboolean found;
} LeaderSearch;

static void
match_leader (const FlMember *member, void *data)
{
  LeaderSearch *search = data;

  if (strcmp (member->gossip_address, search->address) == 0
      && is_region_peer (&search->context, member)
      && strcmp (member->name, search->context.relay->options.settings->vm)
             < 0)
    search->found = TRUE;
}

gboolean
en_relay_may_follow (const EnRelay *relay, const char *address, int64_t now_us)
{
  LeaderSearch search
      = { .context = { .relay = (EnRelay *)relay, .now_us = now_us },
          .address = address };

  fl_each_member (relay->options.fleet, match_leader, &search);
  return search.found;
}

void
en_relay_on_stamp (EnRelay *relay, const GoStamp *stamp, int64_t now_us)
{
  PeerStamp *stored
      = g_hash_table_lookup (relay->stamps, stamp->gossip_address);

  if (stored != NULL && stamp->started_ms < stored->started_ms)
    return;
  if (stored == NULL)
    {
      stored = g_new0 (PeerStamp, 1);
      g_hash_table_insert (relay->stamps, g_strdup (stamp->gossip_address),
                           stored);
    }
  stored->started_ms = stamp->started_ms;
  stored->stamp_us = stamp->stamp_us;
  stored->received_us = now_us;
}

gboolean
en_relay_on_confirmation (EnRelay *relay, const GoConfirmation *confirmation,
                          int64_t now_us)
{
  const EnRelayOptions *options = &relay->options;
  GoStamp own = { .gossip_address = options->settings->gossip_listen,
                  .started_ms = options->started_ms,
                  .stamp_us = now_us };

  go_send_stamp (options->gossip, confirmation->stamp.gossip_address, &own);
  return confirmation->stamp.stamp_us == 0
         || (confirmation->stamp.started_ms == options->started_ms
             && confirmation->stamp.stamp_us <= now_us);
}
