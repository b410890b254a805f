/* shares.h - this daemon's share of the limits of all daemons

   DESCRIPTION
     Owns the fleet, which is the state of the other daemons as they report it.
     Computes from it this daemon's share of each customer's rate, of the retry
     budget of services, and of the request rate of cold targets.  Daemons
     discover each other through the store and then exchange reports
     directly.  */

#ifndef EN_SHARES_H
#define EN_SHARES_H

#include <glib.h>

#include "entry/pool.h"
#include "entry/relay.h"
#include "entry/settings.h"
#include "entry/suspects.h"
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
  TgSet *targets; /* gets this daemon's share of cold targets */
  /* Called for messages of other daemons.  MAY_FOLLOW: this daemon may rely on
     the sender to read the store, see en_relay_may_follow.  */
  void (*on_target_delta) (const GoTargetDelta *delta, gboolean may_follow,
                           void *data);
  void (*on_confirmation) (const GoConfirmation *confirmation,
                           gboolean may_follow, void *data);
  gboolean (*is_ready) (void *data); /* whether this daemon accepts requests */
  void *data;
} EnSharesOptions;

EnShares *en_shares_new (const EnSharesOptions *options, GError **error);
void en_shares_free (EnShares *shares);

/* Sends reports at once if readiness differs from the last report.  */
void en_shares_report_readiness (EnShares *shares);
/* Reports to the other daemons that this one is stopping.  */
void en_shares_report_stop (EnShares *shares);
void en_shares_set_config (EnShares *shares, const RtConfig *config);

/* Whether VERSION of the configuration is the newest one that another daemon
   has reported, or may still be on its way to this daemon.  Reports lag behind
   the store, which may hold an older configuration after it was restored.  */
gboolean en_shares_config_is_current (const EnShares *shares, uint64_t version,
                                      int64_t now_us);
/* Whether the list of members was read from the store and they had the time to
   reply to the first report.  Before that the number of daemons and the token
   owners are unknown, and no tokens or retries may be spent.  */
gboolean en_shares_has_members (const EnShares *shares);
LmTable *en_shares_limits (const EnShares *shares);
LmRetryBudget *en_shares_budget (const EnShares *shares);
const FlFleet *en_shares_fleet (const EnShares *shares);
EnPool *en_shares_pool (const EnShares *shares);
/* Tells the other daemons of the region that a target has said that it is
   leaving.  */
void en_shares_report_leaving (EnShares *shares, const char *target_id,
                               int64_t started_ms);
EnSuspects *en_shares_suspects (const EnShares *shares);
EnRelay *en_shares_relay (const EnShares *shares);

#endif
