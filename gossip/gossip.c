#include "gossip/gossip.h"

#include <arpa/inet.h>
#include <errno.h>
#include <event2/event.h>
#include <event2/util.h>
#include <sys/socket.h>
#include <unistd.h>

#include "wire/gossip.pb-c.h"

/* Datagrams read from the socket at one wake-up; the rest wait until other
   events were handled.  */
#define DATAGRAMS_PER_WAKEUP_MAX 64

/* Demands are sent in thousandths of a request per second.  */
#define MILLI_PER_UNIT 1000.0
#define ADDRESS_MAX_BYTES (INET6_ADDRSTRLEN + 10)

struct GoSocket
{
  GoOptions options;
  GoCounters counters;
  int fd;
  struct event *event;
  uint8_t buffer[GO_DATAGRAM_MAX_BYTES]; /* datagram received or to send */
};

G_DEFINE_QUARK (go_error, go_error)

static void
dispatch_target_delta (GoSocket *gossip, const char *sender_address,
                       const Gossip__News *message)
{
  g_autofree TgEntry *entries = g_new0 (TgEntry, message->n_targets);
  GoTargetDelta delta = {
    .gossip_address = sender_address,
    .store_era = message->store_era,
    .from_revision = message->from_revision,
    .to_revision = message->to_revision,
    .entries = entries,
    .entry_count = (uint32_t)message->n_targets,
    .removed_ids = (const char *const *)message->gone,
    .removed_count = (uint32_t)message->n_gone,
  };

  for (size_t i = 0; i < message->n_targets; i++)
    {
      const Gossip__Target *target = message->targets[i];
      entries[i] = (TgEntry){
        .id = target->id,
        .address = target->address,
        .service = target->service,
        .zone = target->zone,
        .slot_count = target->slots,
        .draining = target->draining,
        .cold_left_ms = target->cold_left_ms,
        .started_ms = target->started_ms,
        .report_number = target->report_number,
      };
    }
  gossip->options.on_target_delta (&delta, gossip->options.data);
}

static void
dispatch_stamp (GoSocket *gossip, const Gossip__Stamp *message)
{
  GoStamp stamp = { .gossip_address = message->gossip_address,
                    .started_ms = message->started_ms,
                    .stamp_us = message->stamp_us };

  gossip->options.on_stamp (&stamp, gossip->options.data);
}

static void
dispatch_confirmation (GoSocket *gossip, const Gossip__Confirmation *message)
{
  GoConfirmation confirmation = {
    .stamp = { .gossip_address = message->gossip_address,
               .started_ms = message->started_ms,
               .stamp_us = message->stamp_us },
    .store_era = message->store_era,
    .revision = message->revision,
    .changed_revision = message->changed_revision,
    .config_hash = message->config_hash,
  };

  gossip->options.on_confirmation (&confirmation, gossip->options.data);
}

static void
dispatch_report (GoSocket *gossip, const Gossip__Report *message)
{
  size_t demand_count
      = MIN (message->n_customers, message->n_demands_milli_per_s);
  g_autofree FlDemand *demands = g_new (FlDemand, demand_count);
  FlReport report = {
    .name = message->name,
    .started_ms = message->started_ms,
    .zone = message->zone,
    .region = message->region,
    .front_address = message->front_address,
    .gossip_address = message->gossip_address,
    .ready = message->ready,
    .stopping = message->stopping,
    .is_zone_leader = message->speaks_for_zone,
    .interval_us = (int64_t)message->interval_ms * 1000,
    .config_version = message->config_version,
    .link_mbps = message->link_mbps,
    .cpu_permille = message->cpu_permille,
    .demands = demands,
    .demand_count = (uint32_t)demand_count,
  };

  for (size_t i = 0; i < demand_count; i++)
    demands[i] = (FlDemand){ .customer_id = message->customers[i],
                             .requests_per_s = message->demands_milli_per_s[i]
                                               / MILLI_PER_UNIT };
  gossip->options.on_report (&report, gossip->options.data);
}

static void
dispatch_token_request (GoSocket *gossip, const Gossip__Ask *message)
{
  GoTokenRequest request
      = { .gossip_address = message->gossip_address,
          .number = message->number,
          .customer_id = message->customer,
          .target_hash = message->target,
          .target_limit_per_s = message->target_limit_milli_per_s / 1e3 };

  gossip->options.on_token_request (&request, gossip->options.data);
}

static void
dispatch_token_reply (GoSocket *gossip, const Gossip__Answer *message)
{
  GoTokenReply reply = { .number = message->number,
                         .granted = message->granted,
                         .wait_ms = message->wait_ms };

  gossip->options.on_token_reply (&reply, gossip->options.data);
}

static gboolean
dispatch_suspect (GoSocket *gossip, const Gossip__Suspect *message)
{
  GoSuspect suspect = { .gossip_address = message->gossip_address,
                        .kind = (GoSuspectKind)message->kind,
                        .content_hash = message->content,
                        .incarnation_hash = message->incarnation,
                        .age_ms = message->age_ms,
                        .left_ms = message->left_ms };

  if ((uint32_t)message->kind >= GO_SUSPECT_KIND_COUNT)
    return FALSE;
  gossip->options.on_suspect (&suspect, gossip->options.data);
  return TRUE;
}

/* Returns FALSE if the datagram holds no known message, a report without a
   name or a suspect of an unknown kind.  */
static gboolean
dispatch_datagram (GoSocket *gossip, const char *sender_address,
                   const Gossip__Datagram *message)
{
  if (message->news != NULL)
    dispatch_target_delta (gossip, sender_address, message->news);
  else if (message->stamp != NULL)
    dispatch_stamp (gossip, message->stamp);
  else if (message->confirmation != NULL)
    dispatch_confirmation (gossip, message->confirmation);
  else if (message->ask != NULL)
    dispatch_token_request (gossip, message->ask);
  else if (message->answer != NULL)
    dispatch_token_reply (gossip, message->answer);
  else if (message->suspect != NULL)
    return dispatch_suspect (gossip, message->suspect);
  else if (message->leaving != NULL)
    gossip->options.on_leaving (
        &(GoLeaving){ .target_id = message->leaving->target_id,
                      .started_ms = message->leaving->started_ms },
        gossip->options.data);
  else if (message->report != NULL && message->report->name[0] != '\0')
    dispatch_report (gossip, message->report);
  else
    return FALSE;
  return TRUE;
}

/* Formats ADDRESS as "IP:PORT", as daemons write their own gossip addresses;
   empty for other address families.  */
static void
format_address (const struct sockaddr_storage *address,
                char text[ADDRESS_MAX_BYTES])
{
  char ip[INET6_ADDRSTRLEN] = "";
  const struct sockaddr_in *v4 = (const struct sockaddr_in *)address;
  const struct sockaddr_in6 *v6 = (const struct sockaddr_in6 *)address;

  *text = '\0';
  if (address->ss_family == AF_INET
      && evutil_inet_ntop (AF_INET, &v4->sin_addr, ip, sizeof ip) != NULL)
    g_snprintf (text, ADDRESS_MAX_BYTES, "%s:%u", ip, ntohs (v4->sin_port));
  else if (address->ss_family == AF_INET6
           && evutil_inet_ntop (AF_INET6, &v6->sin6_addr, ip, sizeof ip)
                  != NULL)
    g_snprintf (text, ADDRESS_MAX_BYTES, "[%s]:%u", ip, ntohs (v6->sin6_port));
}

static void
on_readable (evutil_socket_t fd, short what, void *data)
{
  GoSocket *gossip = data;

  (void)what;
  for (int i = 0; i < DATAGRAMS_PER_WAKEUP_MAX; i++)
    {
      struct sockaddr_storage sender = { 0 };
      socklen_t sender_bytes = sizeof sender;
      ssize_t received_bytes
          = recvfrom (fd, gossip->buffer, sizeof gossip->buffer, MSG_DONTWAIT,
                      (struct sockaddr *)&sender, &sender_bytes);
      char sender_address[ADDRESS_MAX_BYTES];
      Gossip__Datagram *message;
      if (received_bytes < 0)
        return;
      gossip->counters.received_count++;
      message = gossip__datagram__unpack (NULL, (size_t)received_bytes,
                                          gossip->buffer);
      format_address (&sender, sender_address);
      if (message == NULL
          || !dispatch_datagram (gossip, sender_address, message))
        gossip->counters.malformed_count++;
      if (message != NULL)
        gossip__datagram__free_unpacked (message, NULL);
    }
}

GoSocket *
go_new (const GoOptions *options, GError **error)
{
  struct sockaddr_storage address = { 0 };
  int length = sizeof address;
  GoSocket *gossip;

  if (evutil_parse_sockaddr_port (options->listen, (struct sockaddr *)&address,
                                  &length)
      != 0)
    {
      g_set_error (error, GO_ERROR, GO_ERROR_ADDRESS,
                   "%s is not an IP address and port", options->listen);
      return NULL;
    }
  gossip = g_new0 (GoSocket, 1);
  gossip->options = *options;
  gossip->fd = socket (address.ss_family,
                       SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (gossip->fd < 0
      || bind (gossip->fd, (struct sockaddr *)&address, (socklen_t)length) < 0)
    {
      g_set_error (error, GO_ERROR, GO_ERROR_LISTEN, "cannot bind %s: %s",
                   options->listen, g_strerror (errno));
      go_free (gossip);
      return NULL;
    }
  gossip->event = event_new (options->base, gossip->fd, EV_READ | EV_PERSIST,
                             on_readable, gossip);
  event_add (gossip->event, NULL);
  return gossip;
}

void
go_free (GoSocket *gossip)
{
  if (gossip == NULL)
    return;
  if (gossip->event != NULL)
    event_free (gossip->event);
  if (gossip->fd >= 0)
    close (gossip->fd);
  g_free (gossip);
}

/* Encodes into the buffer.  Returns the length, or 0 if it does not fit.  */
static size_t
encode_datagram (GoSocket *gossip, const Gossip__Datagram *datagram)
{
  if (gossip__datagram__get_packed_size (datagram) > sizeof gossip->buffer)
    return 0;
  return gossip__datagram__pack (datagram, gossip->buffer);
}

static size_t
encode_report (GoSocket *gossip, const FlReport *report, uint32_t demand_count)
{
  Gossip__Datagram datagram = GOSSIP__DATAGRAM__INIT;
  Gossip__Report message = GOSSIP__REPORT__INIT;
  g_autofree uint32_t *customers = g_new (uint32_t, demand_count);
  g_autofree uint32_t *demands = g_new (uint32_t, demand_count);

  message.name = (char *)report->name;
  message.started_ms = report->started_ms;
  message.zone = (char *)report->zone;
  message.region = (char *)report->region;
  message.front_address = (char *)report->front_address;
  message.gossip_address = (char *)report->gossip_address;
  message.ready = report->ready;
  message.stopping = report->stopping;
  message.speaks_for_zone = report->is_zone_leader;
  message.interval_ms = (uint32_t)(report->interval_us / 1000);
  message.config_version = report->config_version;
  message.link_mbps = report->link_mbps;
  message.cpu_permille = report->cpu_permille;
  for (uint32_t i = 0; i < demand_count; i++)
    {
      customers[i] = report->demands[i].customer_id;
      demands[i]
          = (uint32_t)(report->demands[i].requests_per_s * MILLI_PER_UNIT);
    }
  message.customers = customers;
  message.n_customers = demand_count;
  message.demands_milli_per_s = demands;
  message.n_demands_milli_per_s = demand_count;
  datagram.report = &message;
  return encode_datagram (gossip, &datagram);
}

static void
send_encoded (GoSocket *gossip, const char *address, size_t bytes)
{
  struct sockaddr_storage destination = { 0 };
  int length = sizeof destination;

  gossip->counters.sent_count++;
  if (bytes == 0
      || evutil_parse_sockaddr_port (address, (struct sockaddr *)&destination,
                                     &length)
             != 0
      || sendto (gossip->fd, gossip->buffer, bytes, MSG_DONTWAIT,
                 (struct sockaddr *)&destination, (socklen_t)length)
             < 0)
    gossip->counters.failed_count++;
}

void
go_send_report (GoSocket *gossip, const char *address, const FlReport *report)
{
  size_t bytes = encode_report (gossip, report, report->demand_count);

  for (uint32_t count = report->demand_count; bytes == 0 && count > 0;)
    {
      count /= 2;
      bytes = encode_report (gossip, report, count);
    }
  send_encoded (gossip, address, bytes);
}

static void
fill_target (Gossip__Target *target, const TgEntry *entry)
{
  gossip__target__init (target);
  target->id = (char *)entry->id;
  target->address = (char *)entry->address;
  target->service = (char *)entry->service;
  target->zone = (char *)entry->zone;
  target->slots = entry->slot_count;
  target->draining = entry->draining;
  target->cold_left_ms = entry->cold_left_ms;
  target->started_ms = entry->started_ms;
  target->report_number = entry->report_number;
}

gboolean
go_send_target_delta (GoSocket *gossip, const char *address,
                      const GoTargetDelta *delta)
{
  Gossip__Datagram datagram = GOSSIP__DATAGRAM__INIT;
  Gossip__News message = GOSSIP__NEWS__INIT;
  Gossip__Target *targets = g_new (Gossip__Target, delta->entry_count);
  Gossip__Target **pointers = g_new (Gossip__Target *, delta->entry_count);
  size_t bytes;

  for (uint32_t i = 0; i < delta->entry_count; i++)
    {
      fill_target (&targets[i], &delta->entries[i]);
      pointers[i] = &targets[i];
    }
  message.store_era = delta->store_era;
  message.from_revision = delta->from_revision;
  message.to_revision = delta->to_revision;
  message.targets = pointers;
  message.n_targets = delta->entry_count;
  message.gone = (char **)delta->removed_ids;
  message.n_gone = delta->removed_count;
  datagram.news = &message;
  bytes = encode_datagram (gossip, &datagram);
  g_free (pointers);
  g_free (targets);
  if (bytes == 0)
    return FALSE;
  send_encoded (gossip, address, bytes);
  return TRUE;
}

void
go_send_stamp (GoSocket *gossip, const char *address, const GoStamp *stamp)
{
  Gossip__Datagram datagram = GOSSIP__DATAGRAM__INIT;
  Gossip__Stamp message = GOSSIP__STAMP__INIT;

  message.gossip_address = (char *)stamp->gossip_address;
  message.started_ms = stamp->started_ms;
  message.stamp_us = stamp->stamp_us;
  datagram.stamp = &message;
  send_encoded (gossip, address, encode_datagram (gossip, &datagram));
}

void
go_send_confirmation (GoSocket *gossip, const char *address,
                      const GoConfirmation *confirmation)
{
  Gossip__Datagram datagram = GOSSIP__DATAGRAM__INIT;
  Gossip__Confirmation message = GOSSIP__CONFIRMATION__INIT;

  message.gossip_address = (char *)confirmation->stamp.gossip_address;
  message.started_ms = confirmation->stamp.started_ms;
  message.stamp_us = confirmation->stamp.stamp_us;
  message.store_era = confirmation->store_era;
  message.revision = confirmation->revision;
  message.changed_revision = confirmation->changed_revision;
  message.config_hash = confirmation->config_hash;
  datagram.confirmation = &message;
  send_encoded (gossip, address, encode_datagram (gossip, &datagram));
}

void
go_send_token_request (GoSocket *gossip, const char *address,
                       const GoTokenRequest *request)
{
  Gossip__Datagram datagram = GOSSIP__DATAGRAM__INIT;
  Gossip__Ask message = GOSSIP__ASK__INIT;

  message.gossip_address = (char *)request->gossip_address;
  message.number = request->number;
  message.customer = request->customer_id;
  message.target = request->target_hash;
  message.target_limit_milli_per_s
      = (uint32_t)(MIN (request->target_limit_per_s, NT_LIMIT_MAX_PER_S)
                   * 1e3);
  datagram.ask = &message;
  send_encoded (gossip, address, encode_datagram (gossip, &datagram));
}

void
go_send_token_reply (GoSocket *gossip, const char *address,
                     const GoTokenReply *reply)
{
  Gossip__Datagram datagram = GOSSIP__DATAGRAM__INIT;
  Gossip__Answer message = GOSSIP__ANSWER__INIT;

  message.number = reply->number;
  message.granted = reply->granted;
  message.wait_ms = reply->wait_ms;
  datagram.answer = &message;
  send_encoded (gossip, address, encode_datagram (gossip, &datagram));
}

void
go_send_suspect (GoSocket *gossip, const char *address,
                 const GoSuspect *suspect)
{
  Gossip__Datagram datagram = GOSSIP__DATAGRAM__INIT;
  Gossip__Suspect message = GOSSIP__SUSPECT__INIT;

  message.gossip_address = (char *)suspect->gossip_address;
  message.kind = (Gossip__Suspect__Kind)suspect->kind;
  message.content = suspect->content_hash;
  message.incarnation = suspect->incarnation_hash;
  message.age_ms = suspect->age_ms;
  message.left_ms = suspect->left_ms;
  datagram.suspect = &message;
  send_encoded (gossip, address, encode_datagram (gossip, &datagram));
}

void
go_send_leaving (GoSocket *gossip, const char *address,
                 const GoLeaving *leaving)
{
  Gossip__Datagram datagram = GOSSIP__DATAGRAM__INIT;
  Gossip__Leaving message = GOSSIP__LEAVING__INIT;

  message.target_id = (char *)leaving->target_id;
  message.started_ms = leaving->started_ms;
  datagram.leaving = &message;
  send_encoded (gossip, address, encode_datagram (gossip, &datagram));
}

const GoCounters *
go_counters (const GoSocket *gossip)
{
  return &gossip->counters;
}
