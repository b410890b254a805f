/* gossip.h - messages between daemons as UDP datagrams

   SYNOPSIS
     GoOptions options = { .base = base, .listen = "127.0.0.1:7220",
                           .on_report = on_report, .data = entry };
     GoSocket *gossip = go_new (&options, &error);
     go_send_report (gossip, "127.0.0.1:7221", &report);

   DESCRIPTION
     Each datagram holds one protobuf message: a report, a target delta, a
     stamp, a confirmation, a token request, a token reply, a suspect or a
     leaving target; see wire/gossip.proto.  A lost report is replaced by the
     next one, and a lost target delta shows as a gap in the revisions.  There
     is no connection that could fail unnoticed.  Datagrams that cannot be
     decoded are counted and dropped.

     All callbacks must be set.  Their arguments are valid only during the
     call.

   ERRORS
     GO_ERROR_ADDRESS  the address is not an IP address and port
     GO_ERROR_LISTEN   the address cannot be bound  */

#ifndef GO_GOSSIP_H
#define GO_GOSSIP_H

#include <glib.h>
#include <stdint.h>

#include "fleet/fleet.h"
#include "targets/targets.h"

struct event_base;

/* Fits in the payload of an IP packet of 64 KB.  If a report does not fit, the
   number of its demands is halved until it does.  */
#define GO_DATAGRAM_MAX_BYTES 60000

#define GO_ERROR (go_error_quark ())

typedef enum
{
  GO_ERROR_ADDRESS,
  GO_ERROR_LISTEN,
} GoError;

/* The changes of targets in the store after FROM_REVISION, up to TO_REVISION.
   The regions of entries are not sent; the receiver derives them from the
   zones.  */
typedef struct
{
  const char *gossip_address; /* of the sender; set on receipt only */
  uint64_t from_revision;
  uint64_t to_revision;
  const TgEntry *entries;
  uint32_t entry_count;
  const char *const *removed_ids;
  uint32_t removed_count;
  uint64_t store_era; /* of the revisions; 0: unknown */
} GoTargetDelta;

/* Timestamp of a daemon's own clock.  A confirmation echoes it, which tells
   the daemon since when the confirmation holds, however long the datagram was
   delayed.  */
typedef struct
{
  const char *gossip_address; /* of the sender of the stamp or confirmation */
  int64_t started_ms;         /* wall clock; start of the stamp's sender */
  int64_t stamp_us;
} GoStamp;

/* States that the operators' part of the store (configuration and evacuated
   zones) has not changed after CHANGED_REVISION.  The sender read the store at
   REVISION, with a call made after it received STAMP, and has the
   configuration of CONFIG_HASH in force.  */
typedef struct
{
  GoStamp stamp; /* stamp_us is 0 if none was received before the read */
  uint64_t revision;
  uint64_t changed_revision;
  uint64_t store_era;   /* of the revisions; 0: unknown */
  uint64_t config_hash; /* see rt_text_hash; 0: unknown */
} GoConfirmation;

/* Requests a token of a customer whose token bucket the receiver keeps for the
   region, or of a target whose token bucket it keeps for all daemons.  */
typedef struct
{
  const char *gossip_address; /* of the sender */
  uint64_t number;            /* of the request, echoed in the reply */
  uint32_t customer_id;
  uint64_t target_hash;      /* tg_id_hash; 0: of a customer */
  double target_limit_per_s; /* as the target stated it to the sender */
} GoTokenRequest;

typedef struct
{
  uint64_t number;
  gboolean granted;
  uint32_t wait_ms; /* if not granted: time until a token is available */
} GoTokenReply;

typedef enum
{
  GO_SUSPECT_ENDED,       /* the request was on a target that ended */
  GO_SUSPECT_QUARANTINED, /* it was on several; nobody should run it */
  GO_SUSPECT_SERVED,      /* it ran well, so it is not the cause */
  GO_SUSPECT_KIND_COUNT,
} GoSuspectKind;

/* A request that may crash targets, see quarantine.h.  */
typedef struct
{
  const char *gossip_address; /* of the sender */
  GoSuspectKind kind;
  uint64_t content_hash;
  uint64_t incarnation_hash; /* GO_SUSPECT_ENDED: of the target */
  uint32_t age_ms;           /* since the first end */
  uint32_t left_ms; /* GO_SUSPECT_QUARANTINED: until its end; 0: unknown */
} GoSuspect;

/* A target has said in a response that it is leaving.  */
typedef struct
{
  const char *target_id;
  int64_t started_ms; /* of its incarnation; wall clock */
} GoLeaving;

typedef struct GoSocket GoSocket;

typedef struct
{
  struct event_base *base;
  const char *listen;
  void (*on_report) (const FlReport *report, void *data);
  void (*on_target_delta) (const GoTargetDelta *delta, void *data);
  void (*on_stamp) (const GoStamp *stamp, void *data);
  void (*on_confirmation) (const GoConfirmation *confirmation, void *data);
  void (*on_token_request) (const GoTokenRequest *request, void *data);
  void (*on_token_reply) (const GoTokenReply *reply, void *data);
  void (*on_suspect) (const GoSuspect *suspect, void *data);
  void (*on_leaving) (const GoLeaving *leaving, void *data);
  void *data;
} GoOptions;

typedef struct
{
  uint64_t sent_count;   /* including failed ones */
  uint64_t failed_count; /* too large, invalid address or socket error */
  uint64_t received_count;
  uint64_t malformed_count;
} GoCounters;

GQuark go_error_quark (void);
GoSocket *go_new (const GoOptions *options, GError **error);
void go_free (GoSocket *gossip);
/* The functions below count a message that cannot be sent as failed; they do
   not send it again.  */
void go_send_report (GoSocket *gossip, const char *address,
                     const FlReport *report);
/* Returns FALSE, sends nothing and counts no failure if the delta does not fit
   in a datagram.  */
gboolean go_send_target_delta (GoSocket *gossip, const char *address,
                               const GoTargetDelta *delta);
void go_send_stamp (GoSocket *gossip, const char *address,
                    const GoStamp *stamp);
void go_send_confirmation (GoSocket *gossip, const char *address,
                           const GoConfirmation *confirmation);
void go_send_token_request (GoSocket *gossip, const char *address,
                            const GoTokenRequest *request);
void go_send_token_reply (GoSocket *gossip, const char *address,
                          const GoTokenReply *reply);
void go_send_suspect (GoSocket *gossip, const char *address,
                      const GoSuspect *suspect);
void go_send_leaving (GoSocket *gossip, const char *address,
                      const GoLeaving *leaving);
const GoCounters *go_counters (const GoSocket *gossip);

#endif
