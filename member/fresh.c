/* Statements, their histograms, and the freshness that follows.  */

#include "member/internal.h"

#include <stdlib.h>
#include <string.h>

static int
compare_statements (const void *a, const void *b)
{
  const Statement *x = a;
  const Statement *y = b;

  if (x->stated_us != y->stated_us)
    return x->stated_us > y->stated_us ? -1 : 1;
  return 0;
}

static void
add_statement (GArray *statements, int64_t stated_us, uint32_t count)
{
  Statement statement = { stated_us, count };

  if (count > 0 && stated_us > LONG_AGO / 2)
    g_array_append_val (statements, statement);
}

static void
add_scope (GArray *statements, Scope *sum, const Scope *scope)
{
  if (scope->assign_version != sum->assign_version)
    return;
  for (uint32_t i = 0; i < scope->count; i++)
    add_statement (statements, scope->stated_us[i], scope->counts[i]);
  if (scope->config_max > sum->config_max)
    {
      sum->config_max = scope->config_max;
      sum->current_count = 0;
    }
  if (scope->config_max == sum->config_max)
    sum->current_count += scope->current_count;
}

static void
add_entry (GArray *statements, Scope *sum, uint64_t config, uint64_t assign,
           int64_t stated_us)
{
  Scope one = { .assign_version = assign,
                .config_max = config,
                .current_count = 1,
                .count = 1,
                .stated_us = { stated_us },
                .counts = { 1 } };

  if (stated_us > LONG_AGO / 2)
    add_scope (statements, sum, &one);
}

/* Cuts the statements into at most AGES_MAX steps; each takes the age of its
   oldest statement.  */
static void
compress (GArray *statements, Scope *scope)
{
  uint32_t total = 0;
  uint32_t filled = 0;

  g_array_sort (statements, compare_statements);
  for (guint i = 0; i < statements->len; i++)
    total += g_array_index (statements, Statement, i).count;
  scope->count = 0;
  for (guint i = 0; i < statements->len; i++)
    {
      const Statement *statement = &g_array_index (statements, Statement, i);
      uint32_t step = (uint32_t)((uint64_t)filled * AGES_MAX / total);

      step = MIN (step, scope->count);
      step = MIN (step, AGES_MAX - 1);
      if (step == scope->count)
        {
          scope->counts[step] = 0;
          scope->count++;
        }
      step = scope->count - 1;
      scope->counts[step] += statement->count;
      scope->stated_us[step] = statement->stated_us;
      filled += statement->count;
    }
}

/* Statements of the own zone's members, as its hub heard them.  */
GArray *
mb_gather_zone (const MbTable *table, int64_t now_us, Scope *scope)
{
  GArray *statements = g_array_new (FALSE, FALSE, sizeof (Statement));
  GHashTableIter iter;
  void *value;

  memset (scope, 0, sizeof *scope);
  mb_copy_name (scope->name, table->self->member.zone);
  scope->assign_version = table->assign_version;
  g_hash_table_iter_init (&iter, table->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const Entry *entry = value;

      if (!entry->member.assigned || !entry->in_zone)
        continue;
      if (entry == table->self)
        add_entry (statements, scope, table->config_known,
                   table->assign_version, now_us);
      else
        add_entry (statements, scope, entry->statement_config,
                   entry->statement_assign, entry->stated_us);
    }
  compress (statements, scope);
  return statements;
}

static void
add_table (GArray *statements, Scope *sum, GHashTable *scopes,
           const char *skip)
{
  GHashTableIter iter;
  void *key;
  void *value;

  g_hash_table_iter_init (&iter, scopes);
  while (g_hash_table_iter_next (&iter, &key, &value))
    if (skip == NULL || strcmp (key, skip) != 0)
      add_scope (statements, sum, value);
}

/* At a region's hub: its zones but SKIP_ZONE, and the other regions if OTHERS
   is set.  */
void
mb_gather_region (const MbTable *table, const char *skip_zone, gboolean others,
                  int64_t now_us, Scope *scope)
{
  const char *own_zone = table->self->member.zone;
  g_autoptr (GArray) statements
      = g_array_new (FALSE, FALSE, sizeof (Statement));
  GHashTableIter iter;
  void *key;
  void *value;

  memset (scope, 0, sizeof *scope);
  scope->assign_version = table->assign_version;
  g_hash_table_iter_init (&iter, table->zones);
  while (g_hash_table_iter_next (&iter, &key, &value))
    if (g_strcmp0 (key, skip_zone) != 0
        && (table->zone_hub_us == NEVER || strcmp (key, own_zone) != 0))
      add_scope (statements, scope, value);
  if (table->zone_hub_us != NEVER && g_strcmp0 (own_zone, skip_zone) != 0)
    {
      Scope own;

      g_array_unref (mb_gather_zone (table, now_us, &own));
      add_scope (statements, scope, &own);
    }
  if (others)
    add_table (statements, scope, table->regions, table->self->member.region);
  compress (statements, scope);
}

/* Statements of the whole fleet, as far as this member has them.  */
gboolean
mb_whole_scope (const MbTable *table, int64_t now_us, Scope *scope)
{
  if (table->region_hub_us != NEVER)
    {
      mb_gather_region (table, NULL, TRUE, now_us, scope);
      return TRUE;
    }
  if (table->zone_hub_us != NEVER)
    {
      g_autoptr (GArray) statements = mb_gather_zone (table, now_us, scope);

      add_scope (statements, scope, &table->rest);
      compress (statements, scope);
      return TRUE;
    }
  *scope = table->whole;
  return scope->received_us != LONG_AGO;
}

/* Since when more than half of the members are heard; LONG_AGO if they
   aren't.  */
static int64_t
majority_us (const MbTable *table, const Scope *scope)
{
  uint32_t heard = 0;

  if (scope->assign_version != table->assign_version)
    return LONG_AGO;
  for (uint32_t i = 0; i < scope->count; i++)
    {
      heard += scope->counts[i];
      if (2 * heard > table->assigned_count)
        return scope->stated_us[i];
    }
  return LONG_AGO;
}

void
mb_update_freshness (MbTable *table, int64_t now_us)
{
  Scope scope;
  int64_t since_us;

  if (!mb_whole_scope (table, now_us, &scope))
    return;
  table->config_heard = MAX (table->config_heard, scope.config_max);
  since_us = majority_us (table, &scope);
  if (since_us == LONG_AGO)
    return;
  table->majority_us = MAX (table->majority_us, since_us);
  if (table->config_in_force >= MAX (scope.config_max, table->config_known))
    table->confirmed_us = MAX (table->confirmed_us, since_us);
}

void
mb_store_confirmed (MbTable *table, uint64_t version, int64_t read_sent_us)
{
  table->config_heard = MAX (table->config_heard, version);
  if (table->config_in_force >= MAX (version, table->config_known))
    table->confirmed_us = MAX (table->confirmed_us, read_sent_us);
}

int64_t
mb_fresh_until_us (const MbTable *table)
{
  return table->confirmed_us + MB_FRESH_US;
}

gboolean
mb_fresh (const MbTable *table, int64_t now_us)
{
  /* A fleet of one member confirms itself.  */
  if (table->assigned_count == 1 && table->self->member.assigned
      && table->config_in_force >= table->config_heard)
    return TRUE;
  return now_us < mb_fresh_until_us (table);
}

gboolean
mb_has_majority (const MbTable *table, int64_t now_us)
{
  if (table->assigned_count == 1 && table->self->member.assigned)
    return TRUE;
  return now_us < table->majority_us + MB_FRESH_US;
}

uint64_t
mb_config_heard (const MbTable *table)
{
  return table->config_heard;
}

uint64_t
mb_assign_heard (const MbTable *table)
{
  return table->assign_heard;
}

const char *
mb_config_source (const MbTable *table)
{
  return table->config_source[0] == '\0' ? NULL : table->config_source;
}

uint32_t
mb_config_acked_count (const MbTable *table, uint64_t version, int64_t now_us)
{
  Scope scope;

  if (!mb_whole_scope (table, now_us, &scope) || scope.config_max < version)
    return table->config_known >= version && table->self->member.assigned;
  return scope.current_count;
}

uint32_t
mb_member_count (const MbTable *table)
{
  return table->assigned_count;
}
