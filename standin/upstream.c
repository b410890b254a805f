#include <event2/event.h>
#include <string.h>

#include "standin/estate_internal.h"

#define ATTEMPT_ID_HEADER "X-Comfreywalk-Attempt-Id"
#define LARGE_BODY_BYTES 8000000

typedef enum
{
  FAULT_NONE,
  FAULT_HANG,
  FAULT_DROP_RESPONSE,
  FAULT_REJECT,
  FAULT_INTERNAL_ERROR,
  FAULT_NO_SIGNATURE,
  FAULT_MISDIRECTED,
  FAULT_STALE_REFUSAL,
  FAULT_CRASH,      /* at the first request, until the fault ends */
  FAULT_LARGE_BODY, /* succeeds; more bytes than sockets hold unread */
  FAULT_REPEAT_REFUSAL,
} Fault;

struct SiStubTarget
{
  struct event_base *base;
  char *address;
  SiServer *server; /* NULL: crashed */
  char *id;
  SiStubLogs logs;
  Fault fault;
  int64_t service_us;
  char *limit;   /* header Server-Limit; NULL or empty: none */
  char *leaving; /* header Server-Leaving; the same */
  char *pause;   /* header Retry-After of its refusals; the same */
  /* Of FAULT_REPEAT_REFUSAL.  */
  GHashTable *refused_ids;
  GHashTable *late_copies; /* connection to the refusal that it repeats */
};

static void
log_request (const SiStubTarget *target, SiExchange *x, GString *log)
{
  const char *attempt_id = si_request_header (x, ATTEMPT_ID_HEADER);
  const char *customer = si_request_header (x, "X-Comfreywalk-Tenant");

  g_string_append_printf (
      log, "%" G_GINT64_FORMAT " %s %s %s %s\n", g_get_monotonic_time (),
      target->id, attempt_id != NULL ? attempt_id : "-",
      customer != NULL ? customer : "-",
      si_request_header (x, "Authorization") != NULL ? "key" : "nokey");
}

static void
add_header_if_set (SiExchange *x, const char *name, const char *value)
{
  if (value != NULL && value[0] != '\0')
    si_add_response_header (x, name, value);
}

static void
add_common_headers (const SiStubTarget *target, SiExchange *x)
{
  const char *attempt_id = si_request_header (x, ATTEMPT_ID_HEADER);

  if (attempt_id != NULL)
    si_add_response_header (x, ATTEMPT_ID_HEADER, attempt_id);
  si_add_response_header (x, "X-Comfreywalk-Instance-Id", target->id);
  add_header_if_set (x, "Server-Limit", target->limit);
  add_header_if_set (x, "Server-Leaving", target->leaving);
  /* Requests running, requests waiting, slots.  */
  si_add_response_header (x, "X-Comfreywalk-Upstream-Load", "1,0,3");
}

static void
respond (const SiStubTarget *target, SiExchange *x, int status,
         const char *text)
{
  log_request (target, x, target->logs.answers);
  si_send_text (x, status, text);
}

static void
end_execution (SiExchange *x)
{
  const SiStubTarget *target = x->data;

  if (target->fault == FAULT_DROP_RESPONSE)
    {
      si_drop_connection (x);
      return;
    }
  add_common_headers (target, x);
  /* The daemon checks only whether the header is present.  */
  if (target->fault != FAULT_NO_SIGNATURE)
    si_add_response_header (x, "X-Comfreywalk-Upstream-Signature", "stamp");
  if (target->fault == FAULT_LARGE_BODY
      && !g_str_has_suffix (si_request_path (x), "/small"))
    {
      g_autofree char *body = g_strnfill (LARGE_BODY_BYTES, 'x');
      respond (target, x, 200, body);
      return;
    }
  respond (target, x, target->fault == FAULT_INTERNAL_ERROR ? 500 : 200,
           target->id);
}

/* Not in the turn that handles a request of the server.  */
static void
stop_server (evutil_socket_t fd, short what, void *data)
{
  SiStubTarget *target = data;

  (void)fd;
  (void)what;
  g_clear_pointer (&target->server, si_server_free);
}

static void
refuse (const SiStubTarget *target, SiExchange *x)
{
  si_add_response_header (x, "X-Comfreywalk-Not-Executed", "1");
  respond (target, x, 503, "");
}

/* Sends the copy of a refusal that is due on the connection of X, if any.  */
static void
send_late_copy (const SiStubTarget *target, SiExchange *x)
{
  const void *connection = si_connection (x);
  const char *copy = g_hash_table_lookup (target->late_copies, connection);

  if (copy != NULL && !x->first)
    si_send_stray_bytes (x, copy);
  g_hash_table_remove (target->late_copies, connection);
}

/* Refuses X if its request comes for the first time.  */
static gboolean
refuse_once (const SiStubTarget *target, SiExchange *x)
{
  const char *id = si_request_header (x, ATTEMPT_ID_HEADER);

  if (id == NULL || !g_hash_table_add (target->refused_ids, g_strdup (id)))
    return FALSE;
  g_hash_table_insert (
      target->late_copies, (gpointer)si_connection (x),
      g_strdup_printf ("HTTP/1.1 503 Service Unavailable\r\n" ATTEMPT_ID_HEADER
                       ": %s\r\nX-Comfreywalk-Not-Executed: 1\r\n"
                       "Content-Length: 0\r\n\r\n",
                       id));
  add_common_headers (target, x);
  refuse (target, x);
  return TRUE;
}

static void
execute_request (SiStubTarget *target, SiExchange *x)
{
  log_request (target, x, target->logs.runs);
  x->data = target;
  if (target->fault == FAULT_STALE_REFUSAL)
    {
      refuse (target, x);
      return;
    }
  if (target->fault == FAULT_CRASH)
    {
      event_base_once (target->base, -1, EV_TIMEOUT, stop_server, target,
                       NULL);
      return;
    }
  if (target->fault == FAULT_HANG)
    return;
  if (target->service_us > 0)
    si_set_timer (x, target->service_us, end_execution);
  else
    end_execution (x);
}

static void
handle_request (SiExchange *x, void *data)
{
  SiStubTarget *target = data;
  const char *expected
      = si_request_header (x, "X-Comfreywalk-Expect-Instance");

  log_request (target, x, target->logs.arrivals);
  if (target->fault == FAULT_MISDIRECTED
      || (expected != NULL && strcmp (expected, target->id) != 0))
    {
      add_common_headers (target, x);
      respond (target, x, 421, "");
      return;
    }
  if (target->fault == FAULT_REJECT)
    {
      add_common_headers (target, x);
      add_header_if_set (x, "Retry-After", target->pause);
      refuse (target, x);
      return;
    }
  send_late_copy (target, x);
  if (target->fault != FAULT_REPEAT_REFUSAL || !refuse_once (target, x))
    execute_request (target, x);
}

static gboolean
start_server (SiStubTarget *target, GError **error)
{
  target->server = si_server_new (target->base, target->address,
                                  handle_request, target, error);
  return target->server != NULL;
}

gboolean
si_stub_target_set_fault (SiStubTarget *target, const char *fault)
{
  /* In the order of Fault.  */
  static const char *const names[]
      = { "none",  "hang",  "lose",  "shed",  "fail",  "spoil",
          "other", "stale", "crash", "large", "repeat" };

  for (guint i = 0; i < G_N_ELEMENTS (names); i++)
    if (strcmp (names[i], fault) == 0)
      {
        target->fault = (Fault)i;
        return target->server != NULL || start_server (target, NULL);
      }
  return FALSE;
}

void
si_stub_target_set_notices (SiStubTarget *target, const SiStubNotices *notices)
{
  const struct
  {
    char **field;
    const char *value;
  } changes[] = { { &target->limit, notices->limit },
                  { &target->leaving, notices->leaving },
                  { &target->pause, notices->pause } };

  for (guint i = 0; i < G_N_ELEMENTS (changes); i++)
    if (changes[i].value != NULL)
      {
        g_free (*changes[i].field);
        *changes[i].field = g_strdup (changes[i].value);
      }
}

void
si_stub_target_set_service_time (SiStubTarget *target, int64_t service_us)
{
  target->service_us = service_us;
}

SiStubTarget *
si_stub_target_new (struct event_base *base, const char *id,
                    const char *address, const SiStubLogs *logs,
                    GError **error)
{
  SiStubTarget *target = g_new0 (SiStubTarget, 1);

  target->id = g_strdup (id);
  target->base = base;
  target->address = g_strdup (address);
  target->logs = *logs;
  target->refused_ids
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  target->late_copies = g_hash_table_new_full (NULL, NULL, NULL, g_free);
  if (!start_server (target, error))
    {
      si_stub_target_free (target);
      return NULL;
    }
  return target;
}

void
si_stub_target_free (SiStubTarget *target)
{
  if (target == NULL)
    return;
  if (target->server != NULL)
    si_server_free (target->server);
  g_free (target->limit);
  g_free (target->leaving);
  g_free (target->pause);
  g_hash_table_unref (target->late_copies);
  g_hash_table_unref (target->refused_ids);
  g_free (target->address);
  g_free (target->id);
  g_free (target);
}
