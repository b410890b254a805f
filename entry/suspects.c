#include "entry/suspects.h"

#include <event2/event.h>
#include <event2/util.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "clock/clock.h"

/* A target that ended refuses a connection at once.  One that does not reply
   may be cut off, which shows nothing.  */
#define PROBE_TIMEOUT_US 500000
/* At a time; losses beyond are not reported.  More than targets that a request
   can crash before it is quarantined.  */
#define PROBES_MAX 64
/* Messages about suspects to a daemon that has started.  */
#define HAND_OVER_MAX_COUNT 64

/* A connection to a target that may have ended.  */
typedef struct
{
  EnSuspects *suspects;
  char *target_id;
  uint64_t incarnation_hash;
  GArray *contents; /* uint64_t, that were on the target */
  int fd;
  struct event *event;
} Probe;

struct EnSuspects
{
  EnSuspectsOptions options;
  QrTable *table;
  GHashTable *probes; /* incarnation hash to Probe */
};

static void
free_probe (gpointer data)
{
  Probe *probe = data;

  event_free (probe->event);
  close (probe->fd);
  g_array_unref (probe->contents);
  g_free (probe->target_id);
  g_free (probe);
}

EnSuspects *
en_suspects_new (const EnSuspectsOptions *options)
{
  EnSuspects *suspects = g_new0 (EnSuspects, 1);

  suspects->options = *options;
  suspects->table = qr_new ();
  suspects->probes
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, free_probe);
  return suspects;
}

void
en_suspects_free (EnSuspects *suspects)
{
  if (suspects == NULL)
    return;
  g_hash_table_unref (suspects->probes);
  qr_free (suspects->table);
  g_free (suspects);
}

/* Data of the callback of fl_each_member.  */
typedef struct
{
  EnSuspects *suspects;
  const GoSuspect *message;
} Broadcast;

static void
send_to_member (const FlMember *member, void *data)
{
  Broadcast *broadcast = data;

  go_send_suspect (broadcast->suspects->options.gossip, member->gossip_address,
                   broadcast->message);
}

static void
send_to_all (EnSuspects *suspects, const GoSuspect *message)
{
  fl_each_member (suspects->options.fleet, send_to_member,
                  &(Broadcast){ suspects, message });
}

static void
send_to_watchers (EnSuspects *suspects, const GoSuspect *message)
{
  const char *addresses[FL_WATCHERS_MAX];
  uint32_t count
      = fl_find_watchers (suspects->options.fleet, message->content_hash,
                          ck_boot_us (), addresses);

  for (uint32_t i = 0; i < count; i++)
    go_send_suspect (suspects->options.gossip, addresses[i], message);
}

static GoSuspect
make_message (const EnSuspects *suspects, GoSuspectKind kind,
              uint64_t content_hash)
{
  return (GoSuspect){ .gossip_address = suspects->options.gossip_address,
                      .kind = kind,
                      .content_hash = content_hash };
}

/* A message of KIND with the times of CONTENT_HASH, as far as known here.  */
static GoSuspect
make_timed_message (EnSuspects *suspects, GoSuspectKind kind,
                    uint64_t content_hash)
{
  GoSuspect message = make_message (suspects, kind, content_hash);
  const QrSuspect *suspect = qr_find (suspects->table, content_hash);
  int64_t now_us = ck_boot_us ();

  if (suspect == NULL)
    return message;
  message.age_ms
      = (uint32_t)((now_us - suspect->first_ended_us) / CK_US_PER_MS);
  message.left_ms = (uint32_t)(MAX (CK_US_PER_MS, suspect->until_us - now_us)
                               / CK_US_PER_MS);
  return message;
}

/* Counts the end that MESSAGE reports; tells all daemons of a new quarantine.
   Returns TRUE if the content was quarantined before.  */
static gboolean
count_end (EnSuspects *suspects, const GoSuspect *message)
{
  uint64_t content_hash = message->content_hash;
  int64_t now_us = ck_boot_us ();
  gboolean was_quarantined
      = qr_is_quarantined (suspects->table, content_hash, now_us);
  gboolean is_quarantined = qr_take_over_ended (
      suspects->table, content_hash, message->incarnation_hash,
      now_us - (int64_t)message->age_ms * CK_US_PER_MS, now_us);
  GoSuspect quarantine;

  if (was_quarantined || !is_quarantined)
    return was_quarantined;
  tr_log (suspects->options.trace, EV_REQUEST_QUARANTINED,
          "content=%016" G_GINT64_MODIFIER "x by=self", content_hash);
  quarantine
      = make_timed_message (suspects, GO_SUSPECT_QUARANTINED, content_hash);
  send_to_all (suspects, &quarantine);
  return FALSE;
}

static void
on_target_ended (Probe *probe)
{
  EnSuspects *suspects = probe->suspects;

  tr_log (suspects->options.trace, EV_TARGET_ENDED, "target=%s requests=%u",
          probe->target_id, probe->contents->len);
  for (guint i = 0; i < probe->contents->len; i++)
    {
      GoSuspect message
          = make_message (suspects, GO_SUSPECT_ENDED,
                          g_array_index (probe->contents, uint64_t, i));
      message.incarnation_hash = probe->incarnation_hash;
      count_end (suspects, &message);
      send_to_watchers (suspects, &message);
    }
}

static void
on_probe (evutil_socket_t fd, short what, void *data)
{
  Probe *probe = data;
  int problem = 0;
  socklen_t length = sizeof problem;

  if ((what & EV_TIMEOUT) == 0
      && getsockopt (fd, SOL_SOCKET, SO_ERROR, &problem, &length) == 0
      && problem == ECONNREFUSED)
    on_target_ended (probe);
  g_hash_table_remove (probe->suspects->probes, &probe->incarnation_hash);
}

/* Returns -1 if the connection could not be begun.  */
static int
begin_connect (const char *address)
{
  struct sockaddr_storage name;
  int length = sizeof name;
  int fd;

  if (evutil_parse_sockaddr_port (address, (struct sockaddr *)&name, &length)
      != 0)
    return -1;
  fd = socket (name.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd == -1)
    return -1;
  if (connect (fd, (struct sockaddr *)&name, (socklen_t)length) == 0
      || errno == EINPROGRESS || errno == ECONNREFUSED)
    return fd;
  close (fd);
  return -1;
}

static Probe *
start_probe (EnSuspects *suspects, const EnLoss *loss)
{
  struct timeval timeout = { 0, PROBE_TIMEOUT_US };
  int fd = begin_connect (loss->target_address);
  Probe *probe;

  if (fd == -1)
    return NULL;
  probe = g_new0 (Probe, 1);
  probe->suspects = suspects;
  probe->target_id = g_strdup (loss->target_id);
  probe->incarnation_hash = loss->incarnation_hash;
  probe->contents = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  probe->fd = fd;
  probe->event
      = event_new (suspects->options.base, fd, EV_WRITE, on_probe, probe);
  event_add (probe->event, &timeout);
  g_hash_table_insert (suspects->probes, &probe->incarnation_hash, probe);
  return probe;
}

void
en_suspects_note_lost (EnSuspects *suspects, const EnLoss *loss)
{
  Probe *probe
      = g_hash_table_lookup (suspects->probes, &loss->incarnation_hash);

  if (probe == NULL && g_hash_table_size (suspects->probes) < PROBES_MAX)
    probe = start_probe (suspects, loss);
  if (probe != NULL)
    g_array_append_val (probe->contents, loss->content_hash);
}

void
en_suspects_note_served (EnSuspects *suspects, uint64_t content_hash)
{
  GoSuspect message = make_message (suspects, GO_SUSPECT_SERVED, content_hash);
  const QrSuspect *suspect = qr_find (suspects->table, content_hash);
  gboolean was_quarantined = suspect != NULL && suspect->until_us != 0;

  if (!qr_note_served (suspects->table, content_hash, ck_boot_us ()))
    return;
  if (was_quarantined)
    send_to_all (suspects, &message);
  else
    send_to_watchers (suspects, &message);
}

/* Each turn has twice as many daemons as the one before, so that the last ones
   of a large fleet do not wait for long.  */
static uint32_t
trial_turn (uint32_t rank)
{
  return rank == 0 ? 0 : g_bit_storage (rank);
}

QrVerdict
en_suspects_check (EnSuspects *suspects, uint64_t content_hash)
{
  int64_t now_us = ck_boot_us ();

  if (qr_find (suspects->table, content_hash) == NULL)
    return QR_FREE;
  return qr_check (
      suspects->table, content_hash,
      trial_turn (fl_rank (suspects->options.fleet, content_hash, now_us)),
      now_us);
}

gboolean
en_suspects_is_quarantined (EnSuspects *suspects, uint64_t content_hash)
{
  return qr_is_quarantined (suspects->table, content_hash, ck_boot_us ());
}

static void
on_quarantined (EnSuspects *suspects, const GoSuspect *message)
{
  int64_t now_us = ck_boot_us ();
  int64_t left_us = message->left_ms > 0
                        ? (int64_t)message->left_ms * CK_US_PER_MS
                        : QR_QUARANTINE_US;
  gboolean was_quarantined
      = qr_is_quarantined (suspects->table, message->content_hash, now_us);
  GoSuspect objection
      = make_message (suspects, GO_SUSPECT_SERVED, message->content_hash);

  if (!qr_add (suspects->table, message->content_hash,
               now_us - (int64_t)message->age_ms * CK_US_PER_MS,
               now_us + MIN (left_us, QR_QUARANTINE_US), now_us))
    {
      send_to_all (suspects, &objection);
      return;
    }
  if (was_quarantined)
    return;
  tr_log (suspects->options.trace, EV_REQUEST_QUARANTINED,
          "content=%016" G_GINT64_MODIFIER "x by=%s", message->content_hash,
          message->gossip_address);
}

void
en_suspects_on_message (EnSuspects *suspects, const GoSuspect *message)
{
  GoSuspect reply;

  switch (message->kind)
    {
    case GO_SUSPECT_ENDED:
      if (!count_end (suspects, message))
        return;
      reply = make_timed_message (suspects, GO_SUSPECT_QUARANTINED,
                                  message->content_hash);
      go_send_suspect (suspects->options.gossip, message->gossip_address,
                       &reply);
      return;
    case GO_SUSPECT_QUARANTINED:
      on_quarantined (suspects, message);
      return;
    case GO_SUSPECT_SERVED:
      qr_remove (suspects->table, message->content_hash);
      return;
    default:
      return;
    }
}

typedef struct
{
  EnSuspects *suspects;
  const char *gossip_address;
  uint32_t message_count;
} HandOver;

static void
hand_over_suspect (const QrSuspect *suspect, void *data)
{
  HandOver *hand_over = data;
  EnSuspects *suspects = hand_over->suspects;
  gboolean is_quarantined = suspect->ended_count >= QR_ENDED_MAX;
  GoSuspect message = make_timed_message (
      suspects, is_quarantined ? GO_SUSPECT_QUARANTINED : GO_SUSPECT_ENDED,
      suspect->content);
  uint32_t count = is_quarantined ? 1 : suspect->ended_count;

  if (!is_quarantined)
    message.left_ms = 0;
  if (hand_over->message_count + count > HAND_OVER_MAX_COUNT
      || !fl_is_watcher (suspects->options.fleet, suspect->content,
                         ck_boot_us ()))
    return;
  hand_over->message_count += count;
  for (uint32_t i = 0; i < count; i++)
    {
      message.incarnation_hash = suspect->incarnations[i];
      go_send_suspect (suspects->options.gossip, hand_over->gossip_address,
                       &message);
    }
}

void
en_suspects_hand_over (EnSuspects *suspects, const char *gossip_address)
{
  qr_each (suspects->table, hand_over_suspect,
           &(HandOver){ suspects, gossip_address, 0 });
}
