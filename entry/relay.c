#include "entry/relay.h"

#include <string.h>

/* A daemon answers each confirmation, so an older stamp is of one that is
   gone or cut off.  */
#define STAMP_KEEP_US ((int64_t)60000000)

typedef struct
{
  int64_t started_ms;
  int64_t stamp_us; /* of the sender's clock */
  int64_t came_us;  /* of this daemon's clock */
} Stamp;

struct EnRelay
{
  EnRelayOptions options;
  GHashTable *stamps; /* gossip address to Stamp */
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

typedef struct
{
  EnRelay *relay;
  const GoNews *news;
  const EnReading *reading;
  int64_t now_us;
  gboolean has_earlier; /* a member that reads in place of this daemon */
} Telling;

static gboolean
is_region_peer (const Telling *telling, const FlMember *member)
{
  return fl_is_live (member, telling->now_us)
         && strcmp (member->region, telling->relay->options.settings->region)
                == 0;
}

static void
look_for_earlier (const FlMember *member, void *data)
{
  Telling *telling = data;

  if (is_region_peer (telling, member) && member->ready
      && strcmp (member->name, telling->relay->options.settings->vm) < 0)
    telling->has_earlier = TRUE;
}

static gboolean
is_reader (Telling *telling)
{
  const EnRelayOptions *options = &telling->relay->options;

  if (!options->is_ready (options->data))
    return FALSE;
  fl_each (options->fleet, look_for_earlier, telling);
  return !telling->has_earlier;
}

static void
tell_member (const FlMember *member, void *data)
{
  Telling *telling = data;

  if (is_region_peer (telling, member))
    go_send_news (telling->relay->options.gossip, member->gossip_address,
                  telling->news);
}

void
en_relay_tell (EnRelay *relay, const GoNews *news, int64_t now_us)
{
  Telling telling = { .relay = relay, .news = news, .now_us = now_us };

  if (is_reader (&telling))
    fl_each (relay->options.fleet, tell_member, &telling);
}

static void
confirm_to_member (const FlMember *member, void *data)
{
  Telling *telling = data;
  EnRelay *relay = telling->relay;
  const EnReading *reading = telling->reading;
  const Stamp *stamp
      = g_hash_table_lookup (relay->stamps, member->gossip_address);
  GoConfirmation confirmation = {
    .stamp = { .gossip_address = relay->options.settings->gossip_listen },
    .revision = reading->revision,
    .changed_revision = reading->changed_revision,
  };

  if (!is_region_peer (telling, member))
    return;
  if (stamp != NULL && stamp->came_us <= reading->asked_us)
    {
      confirmation.stamp.started_ms = stamp->started_ms;
      confirmation.stamp.stamp_us = stamp->stamp_us;
    }
  go_send_confirmation (relay->options.gossip, member->gossip_address,
                        &confirmation);
}

static gboolean
is_old_stamp (gpointer address, gpointer value, gpointer data)
{
  const int64_t *now_us = data;

  (void)address;
  return *now_us - ((const Stamp *)value)->came_us > STAMP_KEEP_US;
}

void
en_relay_confirm (EnRelay *relay, const EnReading *reading, int64_t now_us)
{
  Telling telling = { .relay = relay, .reading = reading, .now_us = now_us };

  g_hash_table_foreach_remove (relay->stamps, is_old_stamp, &now_us);
  if (is_reader (&telling))
    fl_each (relay->options.fleet, confirm_to_member, &telling);
}

typedef struct
{
  Telling telling;
  const char *address;
  gboolean found;
} Search;

static void
look_for_address (const FlMember *member, void *data)
{
  Search *search = data;

  if (strcmp (member->gossip_address, search->address) == 0
      && is_region_peer (&search->telling, member)
      && strcmp (member->name, search->telling.relay->options.settings->vm)
             < 0)
    search->found = TRUE;
}

gboolean
en_relay_may_rest_for (const EnRelay *relay, const char *address,
                       int64_t now_us)
{
  Search search = { .telling = { .relay = (EnRelay *)relay, .now_us = now_us },
                    .address = address };

  fl_each (relay->options.fleet, look_for_address, &search);
  return search.found;
}

void
en_relay_take_stamp (EnRelay *relay, const GoStamp *stamp, int64_t now_us)
{
  Stamp *known = g_hash_table_lookup (relay->stamps, stamp->gossip_address);

  if (known != NULL && stamp->started_ms < known->started_ms)
    return;
  if (known == NULL)
    {
      known = g_new0 (Stamp, 1);
      g_hash_table_insert (relay->stamps, g_strdup (stamp->gossip_address),
                           known);
    }
  known->started_ms = stamp->started_ms;
  known->stamp_us = stamp->stamp_us;
  known->came_us = now_us;
}

gboolean
en_relay_take_confirmation (EnRelay *relay, const GoConfirmation *confirmation,
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
