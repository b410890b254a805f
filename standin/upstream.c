#include <string.h>

#include "standin/estate_internal.h"

#define REQUEST_ID "X-Comfreywalk-Attempt-Id"

typedef enum
{
  FAULT_NONE,
  FAULT_HANG,
  FAULT_LOSE,
  FAULT_SHED,
  FAULT_FAIL,
  FAULT_SPOIL,
  FAULT_OTHER,
} Fault;

struct SiUpstream
{
  SiServer *server;
  char *id;
  GString *runs;
  GString *arrivals;
  Fault fault;
};

static void
note (const SiUpstream *upstream, SiExchange *x, GString *list)
{
  const char *request = si_header (x, REQUEST_ID);
  const char *customer = si_header (x, "X-Comfreywalk-Tenant");

  g_string_append_printf (
      list, "%" G_GINT64_FORMAT " %s %s %s %s\n", g_get_monotonic_time (),
      upstream->id, request != NULL ? request : "-",
      customer != NULL ? customer : "-",
      si_header (x, "Authorization") != NULL ? "key" : "nokey");
}

static void
add_common_headers (const SiUpstream *upstream, SiExchange *x)
{
  const char *request = si_header (x, REQUEST_ID);

  if (request != NULL)
    si_add_header (x, REQUEST_ID, request);
  si_add_header (x, "X-Comfreywalk-Instance-Id", upstream->id);
  si_add_header (x, "X-Comfreywalk-Upstream-Load", "1,0,3");
}

static void
answer_run (SiUpstream *upstream, SiExchange *x)
{
  note (upstream, x, upstream->runs);
  if (upstream->fault == FAULT_LOSE)
    {
      si_drop (x);
      return;
    }
  add_common_headers (upstream, x);
  if (upstream->fault != FAULT_SPOIL)
    si_add_header (x, "X-Comfreywalk-Upstream-Signature", "stamp");
  si_answer_text (x, upstream->fault == FAULT_FAIL ? 500 : 200, upstream->id);
}

static void
on_request (SiExchange *x, void *data)
{
  SiUpstream *upstream = data;
  const char *expected = si_header (x, "X-Comfreywalk-Expect-Instance");

  note (upstream, x, upstream->arrivals);
  if (upstream->fault == FAULT_OTHER
      || (expected != NULL && strcmp (expected, upstream->id) != 0))
    {
      si_answer_text (x, 421, "");
      return;
    }
  switch (upstream->fault)
    {
    case FAULT_HANG:
      note (upstream, x, upstream->runs);
      break;
    case FAULT_SHED:
      add_common_headers (upstream, x);
      si_add_header (x, "X-Comfreywalk-Not-Executed", "1");
      si_answer_text (x, 503, "");
      break;
    default:
      answer_run (upstream, x);
    }
}

gboolean
si_upstream_set_fault (SiUpstream *upstream, const char *fault)
{
  static const char *const names[]
      = { "none", "hang", "lose", "shed", "fail", "spoil", "other" };

  for (guint i = 0; i < G_N_ELEMENTS (names); i++)
    if (strcmp (names[i], fault) == 0)
      {
        upstream->fault = (Fault)i;
        return TRUE;
      }
  return FALSE;
}

SiUpstream *
si_upstream_new (struct event_base *base, const char *id, const char *address,
                 GString *runs, GString *arrivals, GError **error)
{
  SiUpstream *upstream = g_new0 (SiUpstream, 1);

  upstream->id = g_strdup (id);
  upstream->runs = runs;
  upstream->arrivals = arrivals;
  upstream->server = si_serve (base, address, on_request, upstream, error);
  if (upstream->server == NULL)
    {
      si_upstream_free (upstream);
      return NULL;
    }
  return upstream;
}

void
si_upstream_free (SiUpstream *upstream)
{
  if (upstream == NULL)
    return;
  if (upstream->server != NULL)
    si_serve_free (upstream->server);
  g_free (upstream->id);
  g_free (upstream);
}
