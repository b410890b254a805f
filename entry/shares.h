/* shares.h - what all daemons divide among them

   DESCRIPTION
     Owns the fleet as this daemon hears it, and from it this daemon's share
     of each customer's rate, of the repeats that services may get, and of
     what cold targets bear.  Daemons find each other through the store and
     then report to each other directly.  */

#ifndef EN_SHARES_H
#define EN_SHARES_H

#include <glib.h>

#include "entry/pool.h"
#include "entry/relay.h"
#include "entry/settings.h"
#include "fleet/fleet.h"
#include "gossip/gossip.h"
#include "limit/budget.h"
#include "limit/limit.h"
#include "platform/platform.h"
#include "targets/targets.h"
#include "trace/trace.h"

typedef struct EnShares EnShares;

typedef struct
{
  struct event_base *base;
  const EnSettings *settings;
  PfStore *store;
  TrTrace *trace;
  TgSet *targets; /* told its share of cold targets */
  /* MAY_REST: the sender reads the store in place of this daemon.  */
  void (*on_news) (const GoNews *news, gboolean may_rest, void *data);
  void (*on_confirmation) (const GoConfirmation *confirmation,
                           gboolean may_rest, void *data);
  gboolean (*is_ready) (void *data); /* whether this daemon takes requests */
  void *data;
} EnSharesOptions;

EnShares *en_shares_new (const EnSharesOptions *options, GError **error);
void en_shares_free (EnShares *shares);

/* Tells the others at once where it has changed whether this daemon takes
   requests.  */
void en_shares_announce (EnShares *shares);
/* Tells the others that this daemon leaves.  */
void en_shares_stop (EnShares *shares);
void en_shares_set_config (EnShares *shares, const RtConfig *config);

/* Whether the number of daemons is known; nothing may be spent before.  */
gboolean en_shares_is_known (const EnShares *shares);
LmTable *en_shares_limits (const EnShares *shares);
LmBudget *en_shares_budget (const EnShares *shares);
const FlFleet *en_shares_fleet (const EnShares *shares);
EnPool *en_shares_pool (const EnShares *shares);
EnRelay *en_shares_relay (const EnShares *shares);

#endif
