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
     A PrNet is a daemon's end of the connections with other daemons, its
     peers.  It listens for them and opens one connection to each peer that it
     sends to.  A reply is sent on the connection of its request; other
     messages go on the connection that their sender opened.  When a request
     times out and nothing has been received on its connection for
     PR_SILENCE_MAX_US since the first request that is not answered, the
     connection is closed, and the next message opens a new one, since a
     network partition gives no other sign.  A peer that is silent for less
     may only have been kept from running.  Unsent output of a connection is
     limited to PR_OUTPUT_MAX_BYTES; a message that does not fit is dropped and
     counted.

     Connections that peers open are holders, see memory/holder.h: for more
     than accepted_max of them, or more input than accepted_bytes, those make
     room from which nothing was received for the longest time.

   ERRORS
     PR_ERROR_ADDRESS  an address is not an IP address with a port
     PR_ERROR_LISTEN   listening on the address failed  */

#ifndef PR_PEER_H
#define PR_PEER_H

#include <glib.h>
#include <stdint.h>

#include "event/event.h"
#include "memory/holder.h"
#include "metric/metric.h"
#include "wire/wire.h"

struct event_base;

#define PR_OUTPUT_MAX_BYTES (4 * 1024 * 1024)

/* Less than two timeouts of a promise request, so that a lease can still be
   renewed over the next connection.  */
#define PR_SILENCE_MAX_US (1300 * 1000)

#define PR_ERROR (pr_error_quark ())

typedef enum
{
  PR_ERROR_ADDRESS,
  PR_ERROR_LISTEN,
} PrError;

typedef struct PrNet PrNet;
typedef struct PrConnection PrConnection;

/* Called for each message that is not a reply to a pending request; a reply
   that arrives after the timeout is passed to it, too.  CONNECTION is valid
   during the call.  */
typedef void (*PrOnMessage) (PrConnection *connection,
                             const Peer__Envelope *envelope, void *data);
/* ENVELOPE is NULL when no reply arrived in time, the connection was closed or
   the request could not be sent.  A reply that had arrived when the timeout
   was noticed is in time, since the daemon may have been paused.  SENT_US is
   when the request was sent, on CLOCK_BOOTTIME.  */
typedef void (*PrOnReply) (const char *vm, const Peer__Envelope *envelope,
                           int64_t sent_us, void *data);

typedef struct
{
  struct event_base *base;
  const char *vm;       /* this daemon's */
  uint64_t incarnation; /* see pr_set_incarnation */
  const char *listen_address;
  uint16_t listen_port;
  EvRing *ring; /* for events of connections; its clock stamps messages */
  MtRegistry *metrics;
  PrOnMessage on_message;
  void *data;              /* of on_message */
  uint32_t accepted_max;   /* connections that peers open; default 1024 */
  uint64_t accepted_bytes; /* of their input; default 32 MB */
} PrOptions;

GQuark pr_error_quark (void);

/* Parses "127.0.0.1:9001" or "[::1]:9001".  Free *ADDRESS with g_free.  */
gboolean pr_parse_address (const char *text, char **address, uint16_t *port,
                           GError **error);

PrNet *pr_net_new (const PrOptions *options, GError **error);
/* The callbacks of pending requests are not called.  */
void pr_net_free (PrNet *net);
/* Frees the event base of a PrNet; call it after pr_net_free.  It first runs
   the queued callbacks, which own memory of closed connections:
   event_base_free alone drops them and leaks that memory.  */
void pr_event_base_free (struct event_base *base);

const MmHolderCounters *pr_accepted_counters (const PrNet *net);

/* Sets the incarnation of this daemon that is sent in later messages.  */
void pr_set_incarnation (PrNet *net, uint64_t incarnation);

/* Sets the address at which the peer VM is dialled.  An open connection is
   kept.  */
void pr_set_address (PrNet *net, const char *vm, const char *address,
                     uint16_t port);
gboolean pr_has_address (const PrNet *net, const char *vm);

/* Dials an address whose VM is not known yet and sends HELLO; the first
   message received on the connection names the VM.  */
void pr_send_hello (PrNet *net, const char *address, uint16_t port,
                    Peer__Envelope *hello);

/* Sets the stamp, sender and id of ENVELOPE and sends it to VM.  Returns FALSE
   when VM has no address, is not connected and was dialled too recently, or
   its output is full.  TRUE does not mean that the message has arrived.  */
gboolean pr_send (PrNet *net, const char *vm, Peer__Envelope *envelope);

/* As pr_send, for a request.  ON_REPLY is called once, also when FALSE is
   returned.  */
gboolean pr_request (PrNet *net, const char *vm, Peer__Envelope *envelope,
                     uint32_t timeout_ms, PrOnReply on_reply, void *data);

/* Sends ENVELOPE as the reply to the request with id REQUEST_ID.  */
void pr_reply (PrConnection *connection, uint64_t request_id,
               Peer__Envelope *envelope);

#endif
