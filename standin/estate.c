#include "standin/estate.h"

#include <string.h>

#include "standin/estate_internal.h"

struct SiEstate
{
  SiItems *items;
  GHashTable *upstreams; /* id to SiUpstream */
  SiServer *control;
  GString *runs;
  GString *arrivals;
};

static gboolean
set_target_fault (SiEstate *estate, const char *id, const char *fault)
{
  SiUpstream *upstream
      = id != NULL ? g_hash_table_lookup (estate->upstreams, id) : NULL;

  return upstream != NULL && si_upstream_set_fault (upstream, fault);
}

static gboolean
change (SiEstate *estate, SiExchange *x)
{
  const char *path = si_path (x);
  const char *key = si_query (x, "key");
  const char *fault = si_query (x, "fault");
  gsize body_bytes;
  const char *body = si_body (x, &body_bytes);

  if (strcmp (path, "/put") == 0 && key != NULL)
    si_items_put (estate->items, key, body, body_bytes);
  else if (strcmp (path, "/remove") == 0 && key != NULL)
    si_items_remove (estate->items, key);
  else if (strcmp (path, "/compact") == 0)
    si_items_compact (estate->items);
  else if (strcmp (path, "/store") == 0 && fault != NULL)
    return si_items_set_fault (estate->items, fault);
  else if (strcmp (path, "/target") == 0 && fault != NULL)
    return set_target_fault (estate, si_query (x, "id"), fault);
  else
    return FALSE;
  return TRUE;
}

static void
on_control (SiExchange *x, void *data)
{
  SiEstate *estate = data;

  if (strcmp (si_path (x), "/runs") == 0)
    si_answer_text (x, 200, estate->runs->str);
  else if (strcmp (si_path (x), "/arrivals") == 0)
    si_answer_text (x, 200, estate->arrivals->str);
  else
    si_answer_text (x, change (estate, x) ? 200 : 404, "");
}

static void
free_upstream (gpointer upstream)
{
  si_upstream_free (upstream);
}

static gboolean
add_targets (SiEstate *estate, struct event_base *base, char *const *targets,
             GError **error)
{
  for (; *targets != NULL; targets++)
    {
      g_auto (GStrv) parts = g_strsplit (*targets, "=", 2);
      SiUpstream *upstream = si_upstream_new (
          base, parts[0], parts[1], estate->runs, estate->arrivals, error);
      if (upstream == NULL)
        return FALSE;
      g_hash_table_insert (estate->upstreams, g_strdup (parts[0]), upstream);
    }
  return TRUE;
}

SiEstate *
si_estate_new (struct event_base *base, const char *store, const char *control,
               char *const *targets, GError **error)
{
  SiEstate *estate = g_new0 (SiEstate, 1);

  estate->runs = g_string_new (NULL);
  estate->arrivals = g_string_new (NULL);
  estate->upstreams
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, free_upstream);
  estate->items = si_items_new (base, store, error);
  if (estate->items == NULL || !add_targets (estate, base, targets, error)
      || (estate->control
          = si_serve (base, control, on_control, estate, error))
             == NULL)
    {
      si_estate_free (estate);
      return NULL;
    }
  return estate;
}

void
si_estate_free (SiEstate *estate)
{
  if (estate == NULL)
    return;
  if (estate->control != NULL)
    si_serve_free (estate->control);
  g_hash_table_unref (estate->upstreams);
  si_items_free (estate->items);
  g_string_free (estate->arrivals, TRUE);
  g_string_free (estate->runs, TRUE);
  g_free (estate);
}
