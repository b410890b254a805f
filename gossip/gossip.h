/* gossip.h - reports between daemons by datagrams

   SYNOPSIS
     GoOptions options = { .base = base, .listen = "127.0.0.1:7220",
                           .on_report = on_report, .data = entry };
     GoSocket *gossip = go_new (&options, &error);
     go_send (gossip, "127.0.0.1:7221", &report);

   DESCRIPTION
     Each datagram is a report, news of targets, a stamp, a confirmation, or a
     question for a token or its answer in protobuf, see wire/gossip.proto.  A
   lost report is made up for by the next, lost news are noticed by their
   revisions; there is no connection that could go silent unnoticed.  Datagrams
   that cannot be read are counted and dropped.

   ERRORS
     GO_ERROR_ADDRESS  the address is not an IP number and port
     GO_ERROR_LISTEN   the address cannot be bound  */

#ifndef GO_GOSSIP_H
#define GO_GOSSIP_H

#include <glib.h>
#include <stdint.h>

#include "fleet/fleet.h"
#include "targets/targets.h"

struct event_base;

/* Fits the payload of one IP packet of 64 KB; customers beyond it are left
   out of a report.  */
#define GO_DATAGRAM_MAX_BYTES 60000

#define GO_ERROR (go_error_quark ())

typedef enum
{
  GO_ERROR_ADDRESS,
  GO_ERROR_LISTEN,
} GoError;

/* Changes that the store listed after one revision, up to another.  Regions
   of entries are not sent; a receiver knows them.  */
typedef struct
{
  const char *gossip_address; /* of the sender; not set by senders */
  uint64_t from_revision;
  uint64_t to_revision;
  const TgEntry *entries;
  uint32_t entry_count;
  const char *const *gone; /* ids */
  uint32_t gone_count;
} GoNews;

/* A daemon's clock as it was alive; echoed in a confirmation, it tells the
   daemon from when the confirmation holds, however long it was on its way.  */
typedef struct
{
  const char *gossip_address; /* of the sender */
  int64_t started_ms;         /* of the process whose clock it is */
  int64_t stamp_us;
} GoStamp;

/* What the operators hold has not changed after CHANGED_REVISION, by a reading
   of REVISION that was asked for after STAMP had come in.  */
typedef struct
{
  GoStamp stamp; /* stamp_us is 0 where the receiver sent none yet */
  uint64_t revision;
  uint64_t changed_revision;
} GoConfirmation;

/* For a token of a customer that the receiver keeps for its region.  */
typedef struct
{
  const char *gossip_address; /* of the sender */
  uint64_t number;            /* of the question, echoed in the answer */
  uint32_t customer_id;
} GoAsk;

typedef struct
{
  uint64_t number;
  gboolean granted;
  uint32_t wait_ms; /* where not: until a token is there */
} GoAnswer;

typedef struct GoSocket GoSocket;

typedef struct
{
  struct event_base *base;
  const char *listen;
  void (*on_report) (const FlReport *report, void *data);
  void (*on_news) (const GoNews *news, void *data);
  void (*on_stamp) (const GoStamp *stamp, void *data);
  void (*on_confirmation) (const GoConfirmation *confirmation, void *data);
  void (*on_ask) (const GoAsk *ask, void *data);
  void (*on_answer) (const GoAnswer *answer, void *data);
  void *data;
} GoOptions;

typedef struct
{
  uint64_t sent_count;
  uint64_t failed_count; /* not taken by the system */
  uint64_t received_count;
  uint64_t malformed_count;
} GoCounters;

GQuark go_error_quark (void);
GoSocket *go_new (const GoOptions *options, GError **error);
void go_free (GoSocket *gossip);
/* A datagram that the system does not take is counted, not kept.  */
void go_send (GoSocket *gossip, const char *address, const FlReport *report);
/* Returns FALSE where the news do not fit a datagram; nothing is sent.  */
gboolean go_send_news (GoSocket *gossip, const char *address,
                       const GoNews *news);
void go_send_stamp (GoSocket *gossip, const char *address,
                    const GoStamp *stamp);
void go_send_confirmation (GoSocket *gossip, const char *address,
                           const GoConfirmation *confirmation);
void go_send_ask (GoSocket *gossip, const char *address, const GoAsk *ask);
void go_send_answer (GoSocket *gossip, const char *address,
                     const GoAnswer *answer);
const GoCounters *go_counters (const GoSocket *gossip);

#endif
