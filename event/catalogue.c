#include "event/event.h"

/* Ordered by number.  docs/events.md has a row for each event; a test compares
   the numbers and names.  */
static const EvKind catalogue[] = {
  { EV_DAEMON_STARTED, EV_LEVEL_INFO, "daemon-started",
    "The daemon has read its settings and is listening." },
  { EV_DAEMON_READY, EV_LEVEL_INFO, "daemon-ready",
    "The daemon has a configuration and serves requests." },
  { EV_DAEMON_DRAINING, EV_LEVEL_INFO, "daemon-draining",
    "The daemon is stopping and finishes its open requests." },
  { EV_DAEMON_STOPPED, EV_LEVEL_INFO, "daemon-stopped",
    "The daemon has finished all requests and stops." },
  { EV_SETTINGS_RELOADED, EV_LEVEL_INFO, "settings-reloaded",
    "The settings file was read again." },
  { EV_LINES_DROPPED, EV_LEVEL_INFO, "lines-dropped",
    "Log lines were dropped to limit the volume of the log." },
  { EV_LOOP_LATE, EV_LEVEL_INFO, "loop-late",
    "The event loop did not run for a time; the processor time used in it "
    "tells a long turn from a process that was not scheduled." },
  { EV_CONNECTIONS_LIMITED, EV_LEVEL_WARNING, "connections-limited",
    "A limit refused or closed connections of callers." },
  { EV_START_FAILED, EV_LEVEL_ERROR, "start-failed",
    "The daemon cannot listen on an address, and ends." },
  { EV_CONFIG_IN_FORCE, EV_LEVEL_INFO, "config-in-force",
    "A new configuration version is in force on this daemon." },
  { EV_CONFIG_REFUSED, EV_LEVEL_WARNING, "config-refused",
    "A configuration was older than the one in force, or malformed." },
  { EV_CONFIG_WRITTEN, EV_LEVEL_INFO, "config-written",
    "An operator's change was written to the store." },
  { EV_CONFIG_STALE, EV_LEVEL_WARNING, "config-stale",
    "The configuration is no longer confirmed; requests with a key are "
    "refused." },
  { EV_CONFIG_FRESH, EV_LEVEL_INFO, "config-fresh",
    "The configuration is confirmed again." },
  { EV_CONFIG_PART_MISSING, EV_LEVEL_WARNING, "config-part-missing",
    "A part of a new configuration could not be fetched yet." },
  { EV_ENTRY_UNREADABLE, EV_LEVEL_WARNING, "entry-unreadable",
    "An entry in the store could not be decoded; the others stay in force." },
  { EV_SHARES_CHANGED, EV_LEVEL_INFO, "shares-changed",
    "The number of daemons that share rates and budgets has changed." },
  { EV_CONFIG_UNSETTLED, EV_LEVEL_WARNING, "config-unsettled",
    "The daemon has started at a store that was restored; keys are refused "
    "until the configuration is written again, or for some seconds." },
  { EV_LEASE_ACTIVE, EV_LEVEL_INFO, "lease-active",
    "The lease is active; the daemon may use all its shares and slots." },
  { EV_LEASE_LAPSED, EV_LEVEL_WARNING, "lease-lapsed",
    "Neither the successor nor the store renewed the lease in time." },
  { EV_LEASE_FENCED, EV_LEVEL_WARNING, "lease-fenced",
    "Another daemon has fenced this one; it starts a new incarnation." },
  { EV_LEASE_FENCED_OTHER, EV_LEVEL_WARNING, "lease-fenced-other",
    "This daemon has fenced a daemon whose lease lapsed." },
  { EV_LEASE_SUCCESSOR, EV_LEVEL_INFO, "lease-successor",
    "The daemon has chosen a new successor." },
  { EV_ASSIGN_CHANGED, EV_LEVEL_INFO, "assign-changed",
    "The daemon has written a new version of the assignment." },
  { EV_ASSIGN_CONFLICT, EV_LEVEL_INFO, "assign-conflict",
    "Another daemon changed the assignment first, so the write is retried; or "
    "the assignment is malformed." },
  { EV_STORE_DOWN, EV_LEVEL_WARNING, "store-down",
    "The store did not reply; the daemon continues without it." },
  { EV_STORE_UP, EV_LEVEL_INFO, "store-up", "The store replies again." },
  { EV_STORE_OUTCOME_UNKNOWN, EV_LEVEL_WARNING, "store-outcome-unknown",
    "The reply to a write was lost; the daemon reads the entry back." },
  { EV_STORE_RESTORED, EV_LEVEL_WARNING, "store-restored",
    "The store came back from an older copy; the daemon reads it again." },
  { EV_PEER_CONNECTED, EV_LEVEL_INFO, "peer-connected",
    "A connection to another daemon is open." },
  { EV_PEER_LOST, EV_LEVEL_INFO, "peer-lost",
    "A connection to another daemon has closed." },
  { EV_PEER_FRAME_INVALID, EV_LEVEL_WARNING, "peer-frame-invalid",
    "A malformed frame was received; the connection was closed." },
  { EV_MEMBER_JOINED, EV_LEVEL_INFO, "member-joined",
    "A daemon is new, has restarted, reports again or changed its "
    "readiness." },
  { EV_MEMBER_LEFT, EV_LEVEL_INFO, "member-left",
    "A daemon has reported that it is stopping." },
  { EV_HUB_CHANGED, EV_LEVEL_INFO, "hub-changed",
    "Another daemon is now the hub of the zone." },
  { EV_REQUEST_ADMITTED, EV_LEVEL_DEBUG, "request-admitted",
    "The key and the rate limit allow the request." },
  { EV_REQUEST_SENT, EV_LEVEL_DEBUG, "request-sent",
    "The request was passed to a connection to a target." },
  { EV_REQUEST_ANSWERED, EV_LEVEL_DEBUG, "request-answered",
    "The caller was sent the complete response." },
  { EV_REQUEST_REFUSED, EV_LEVEL_DEBUG, "request-refused",
    "The request was refused and did not run." },
  { EV_REQUEST_RETRIED, EV_LEVEL_DEBUG, "request-retried",
    "A request is retried on another target after a failed attempt." },
  { EV_REQUEST_UNKNOWN, EV_LEVEL_WARNING, "request-unknown",
    "The request may have run; the caller was told so." },
  { EV_REQUEST_QUEUED, EV_LEVEL_DEBUG, "request-queued",
    "The request is queued until a target has a free slot." },
  { EV_REQUEST_CANCELLED, EV_LEVEL_DEBUG, "request-cancelled",
    "The caller closed its connection before the response." },
  { EV_SEND_FAILED, EV_LEVEL_DEBUG, "send-failed",
    "A target refused, failed or did not respond to a request." },
  { EV_REQUEST_CUT, EV_LEVEL_WARNING, "request-cut",
    "The daemon ended and closed the caller's connection without a "
    "response." },
  { EV_REQUEST_QUARANTINED, EV_LEVEL_WARNING, "request-quarantined",
    "A request was on several targets when they ended; it is refused from now "
    "on." },
  { EV_TARGET_HEALTHY, EV_LEVEL_INFO, "target-healthy",
    "A target responds to probes or requests again." },
  { EV_TARGET_UNHEALTHY, EV_LEVEL_WARNING, "target-unhealthy",
    "A target does not respond to probes or refuses connections." },
  { EV_TARGET_SHED, EV_LEVEL_INFO, "target-shed",
    "A target refused a request for lack of capacity." },
  { EV_TARGET_LEAVING, EV_LEVEL_INFO, "target-leaving",
    "A target is draining, or has said that it is leaving; it gets no new "
    "requests." },
  { EV_TARGET_LIMIT, EV_LEVEL_DEBUG, "target-limit",
    "The concurrency limit of a target was changed." },
  { EV_TARGET_LISTED, EV_LEVEL_INFO, "target-listed",
    "A target is new, has restarted, or has started or stopped draining." },
  { EV_TARGET_GONE, EV_LEVEL_INFO, "target-gone",
    "A target was removed from the list; it gets no new requests." },
  { EV_ZONE_EVACUATED, EV_LEVEL_INFO, "zone-evacuated",
    "Targets of a zone get no new requests." },
  { EV_ZONE_RESTORED, EV_LEVEL_INFO, "zone-restored",
    "Targets of a zone may be used again." },
  { EV_TARGET_RATE, EV_LEVEL_INFO, "target-rate",
    "A target states how many requests a second it takes, or no longer "
    "does." },
  { EV_TARGET_NOTICE_INVALID, EV_LEVEL_INFO, "target-notice-invalid",
    "What a target states about itself is malformed; it is ignored." },
  { EV_TARGET_ENDED, EV_LEVEL_INFO, "target-ended",
    "A target closed connections with requests on them and refuses new "
    "ones." },
  { EV_TARGET_PAUSED, EV_LEVEL_INFO, "target-paused",
    "A target has asked this daemon for no requests for a time." },
  { EV_PLACEMENT_REBUILT, EV_LEVEL_INFO, "placement-rebuilt",
    "The targets of a service changed, so its objects are placed again; the "
    "counts of moved objects are totals of the daemon." },
  { EV_ORDER_STARTED, EV_LEVEL_DEBUG, "order-started",
    "The record of a keyed request was created in the store." },
  { EV_ORDER_DONE, EV_LEVEL_DEBUG, "order-done",
    "The response to a keyed request was recorded in the store." },
  { EV_ORDER_REPLAYED, EV_LEVEL_INFO, "order-replayed",
    "A repeated keyed request got the recorded response." },
  { EV_ORDER_UNKNOWN, EV_LEVEL_WARNING, "order-unknown",
    "The outcome of a keyed request is not known." },
  { EV_PLAN_DRAIN_STARTED, EV_LEVEL_INFO, "plan-drain-started",
    "A planned drain has started." },
  { EV_PLAN_DRAIN_ENDED, EV_LEVEL_INFO, "plan-drain-ended",
    "A planned drain has ended." },
  { EV_PLAN_SHIFT_STEP, EV_LEVEL_INFO, "plan-shift-step",
    "A traffic shift has reached its next step." },
  { EV_PLAN_SHIFT_PAUSED, EV_LEVEL_WARNING, "plan-shift-paused",
    "A traffic shift is held or reduced for lack of headroom or warm "
    "targets." },
  { EV_PLAN_SHIFT_ENDED, EV_LEVEL_INFO, "plan-shift-ended",
    "A traffic shift has ended." },
};

const EvKind *
ev_catalogue (uint32_t *count)
{
  *count = G_N_ELEMENTS (catalogue);
  return catalogue;
}

const EvKind *
ev_find_kind (uint32_t number)
{
  for (size_t i = 0; i < G_N_ELEMENTS (catalogue); i++)
    if (catalogue[i].number == number)
      return &catalogue[i];
  return NULL;
}
