/* peer.h - connections between daemons

   SYNOPSIS
     PrOptions opts = { .base = base, .vm = "vm1", .incarnation = 7,
                        .listen_address = "127.0.0.1", .listen_port = 9001,
                        .ring = ring, .metrics = metrics,
                        .on_message = handle };
     PrNet *net = pr_net_new (&opts, &error);
     pr_set_address (net, "vm2", "127.0.0.1", 9002);
     pr_request (net, "vm2", &envelope, 500, on_reply, data);

   DESCRIPTION
     A net listens for other daemons and opens one connection to each daemon
     that it sends to.  Both sides may send on a connection; a reply goes back
     on the connection of its request.  A connection whose peer leaves two
     requests in a row unanswered is closed and opened again, since a cut link
     gives no other sign.  Unsent output is bounded; what does not fit is
     dropped and counted.

   ERRORS
     PR_ERROR_ADDRESS  an address is not an IP number with a port
     PR_ERROR_LISTEN   the address cannot be listened on  */

#ifndef PR_PEER_H
#define PR_PEER_H

#include <glib.h>
#include <stdint.h>

#include "event/event.h"
#include "metric/metric.h"
#include "wire/wire.h"

struct event_base;

#define PR_OUTPUT_MAX_BYTES (4 * 1024 * 1024)

#define PR_ERROR (pr_error_quark ())

typedef enum
{
  PR_ERROR_ADDRESS,
  PR_ERROR_LISTEN,
} PrError;

typedef struct PrNet PrNet;
typedef struct PrConnection PrConnection;

/* A message that is no reply.  CONNECTION is valid during the call.  */
typedef void (*PrOnMessage) (PrConnection *connection,
                             const Peer__Envelope *envelope, void *data);
/* ENVELOPE is NULL when no reply came in time or the connection closed.
   SENT_US is when the request was sent, on CLOCK_BOOTTIME.  */
typedef void (*PrOnReply) (const char *vm, const Peer__Envelope *envelope,
                           int64_t sent_us, void *data);

typedef struct
{
  struct event_base *base;
  const char *vm;
  uint64_t incarnation;
  const char *listen_address;
  uint16_t listen_port;
  EvRing *ring;
  MtTable *metrics;
  PrOnMessage on_message;
  void *data;
} PrOptions;

GQuark pr_error_quark (void);

/* "127.0.0.1:9001" or "[::1]:9001".  Free *ADDRESS with g_free.  */
gboolean pr_parse_address (const char *text, char **address, uint16_t *port,
                           GError **error);

PrNet *pr_net_new (const PrOptions *options, GError **error);
/* Outstanding requests get no reply callback.  */
void pr_net_free (PrNet *net);
/* Frees a loop on which a net ran, after the net.  Callbacks that are queued
   at that time hold memory of closed connections; event_base_free alone drops
   them without letting it go.  */
void pr_loop_free (struct event_base *base);

/* The incarnation that later messages carry.  */
void pr_set_incarnation (PrNet *net, uint64_t incarnation);

/* Where VM is connected to.  An open connection is kept.  */
void pr_set_address (PrNet *net, const char *vm, const char *address,
                     uint16_t port);
gboolean pr_has_address (const PrNet *net, const char *vm);

/* Sends HELLO to an address whose VM is not known yet; the first message that
   comes back names it.  */
void pr_contact (PrNet *net, const char *address, uint16_t port,
                 Peer__Envelope *hello);

/* Fills stamp, sender and id of ENVELOPE and sends it.  Returns FALSE when VM
   has no address or its output is full.  */
gboolean pr_send (PrNet *net, const char *vm, Peer__Envelope *envelope);

/* As pr_send; REPLY is called once, also when FALSE is returned.  */
gboolean pr_request (PrNet *net, const char *vm, Peer__Envelope *envelope,
                     uint32_t timeout_ms, PrOnReply reply, void *data);

void pr_reply (PrConnection *connection, uint64_t request_id,
               Peer__Envelope *envelope);

#endif
