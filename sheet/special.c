/* Sheet, key and block rows.  */

#include "sheet/internal.h"

#include <string.h>

static gboolean
is_date (const char *text)
{
  g_autofree char *time = g_strdup_printf ("%sT00:00Z", text);
  int64_t time_ms;
  ShError code;

  return strlen (text) == 10 && sh_parse_time (time, &time_ms, &code);
}

static void
check_date (ShSheet *sheet, const ShRow *row, const char *date)
{
  const ShOptions *options = sheet->options;

  if (!is_date (date))
    sh_report_problem (sheet, SH_ERROR_DATE, row->number, SH_COLUMN_DATE,
                       "\"%.64s\" is not a date such as 2026-12-04", date);
  else if (strcmp (date, options->today) < 0)
    sh_report_problem (sheet, SH_ERROR_OLD_SHEET, row->number, SH_COLUMN_DATE,
                       "the sheet is of %s and today is %s", date,
                       options->today);
  else if (strcmp (date, options->today) > 0)
    sh_report_problem (sheet, SH_ERROR_DATE, row->number, SH_COLUMN_DATE,
                       "the sheet is of %s, which is after today, %s", date,
                       options->today);
  if (options->last_date != NULL && strcmp (date, options->last_date) < 0)
    sh_report_problem (sheet, SH_ERROR_OLD_SHEET, row->number, SH_COLUMN_DATE,
                       "the sheet is of %s and the current one is of %s", date,
                       options->last_date);
}

void
sh_read_sheet_row (ShSheet *sheet, const ShRow *row)
{
  const char *date = sh_cell (row, SH_COLUMN_DATE);
  void *earlier = g_hash_table_lookup (sheet->row_by_id, "sheet");

  sh_read_name (sheet, row, SH_COLUMN_NAME);
  if (earlier != NULL)
    {
      sh_report_problem (sheet, SH_ERROR_DATE, row->number, SH_COLUMN_KIND,
                         "row %u is already a sheet row",
                         GPOINTER_TO_UINT (earlier));
      return;
    }
  g_hash_table_insert (sheet->row_by_id, g_strdup ("sheet"),
                       GUINT_TO_POINTER (row->number));
  if (*date == '\0')
    return;
  check_date (sheet, row, date);
  g_free (sheet->config->sheet_date);
  sheet->config->sheet_date = g_strdup (date);
}

static const CfKey *
find_key_by_id (const CfCustomer *customer, const char *id)
{
  for (guint i = 0; customer != NULL && i < customer->keys->len; i++)
    {
      const CfKey *key = g_ptr_array_index (customer->keys, i);

      if (strcmp (key->id, id) == 0)
        return key;
    }
  return NULL;
}

/* Returns whether CURRENT has a revoked key with the digest of KEY.  A revoked
   key stays revoked, even under another id or customer.  */
static gboolean
is_revoked (const CfConfig *current, const CfKey *key)
{
  for (guint i = 0; current != NULL && i < current->customers->len; i++)
    {
      const CfCustomer *customer = g_ptr_array_index (current->customers, i);

      for (guint j = 0; j < customer->keys->len; j++)
        {
          const CfKey *old = g_ptr_array_index (customer->keys, j);

          if (old->withdrawn
              && memcmp (old->sha256, key->sha256, CF_SHA256_BYTES) == 0)
            return TRUE;
        }
    }
  return FALSE;
}

/* Reads the digest from the row or, if the cell is empty, copies it from the
   key with the same id that the customer has in the current configuration.  */
static gboolean
read_digest (ShSheet *sheet, const ShRow *row, CfKey *key)
{
  const CfConfig *current = sheet->options->current;
  g_autofree char *hex = g_ascii_strdown (sh_cell (row, SH_COLUMN_SHA256), -1);
  const CfKey *current_key = NULL;

  if (*hex != '\0')
    {
      if (cf_parse_sha256 (hex, key->sha256))
        return TRUE;
      sh_report_problem (
          sheet, SH_ERROR_KEY, row->number, SH_COLUMN_SHA256,
          "is not a SHA-256 of 64 hex digits; if this is a plain key, "
          "withdraw it, because the sheet has been copied");
      return FALSE;
    }
  if (current != NULL)
    current_key = find_key_by_id (
        cf_find_customer (current, sh_cell (row, SH_COLUMN_CUSTOMER)),
        key->id);
  if (current_key == NULL)
    {
      sh_report_problem (
          sheet, SH_ERROR_REFERENCE, row->number, SH_COLUMN_SHA256,
          "is empty and this customer has no current key \"%s\"", key->id);
      return FALSE;
    }
  memcpy (key->sha256, current_key->sha256, CF_SHA256_BYTES);
  return TRUE;
}

static void
check_duplicate_digest (ShSheet *sheet, const ShRow *row, const CfKey *key)
{
  char hex[2 * CF_SHA256_BYTES + 1];
  g_autofree char *id = NULL;
  void *earlier;

  cf_format_sha256 (key->sha256, hex);
  id = g_strdup_printf ("sha256 %s", hex);
  earlier = g_hash_table_lookup (sheet->row_by_id, id);
  if (earlier != NULL)
    sh_report_problem (sheet, SH_ERROR_DUPLICATE, row->number,
                       SH_COLUMN_SHA256, "row %u has the same key",
                       GPOINTER_TO_UINT (earlier));
  else
    g_hash_table_insert (sheet->row_by_id, g_steal_pointer (&id),
                         GUINT_TO_POINTER (row->number));
}

void
sh_add_key (ShSheet *sheet, const ShRow *row)
{
  static const char *const states[] = { "active", "withdrawn", NULL };
  CfCustomer *customer = (CfCustomer *)cf_find_customer (
      sheet->config, sh_cell (row, SH_COLUMN_CUSTOMER));
  CfKey *key = cf_add_key (customer, sh_cell (row, SH_COLUMN_NAME));
  gboolean was_revoked;
  int state;

  if (customer->keys->len == CF_KEYS_MAX + 1)
    sh_report_problem (sheet, SH_ERROR_RANGE, row->number, SH_COLUMN_CUSTOMER,
                       "customer \"%s\" has more than %d keys", customer->name,
                       CF_KEYS_MAX);
  if (!read_digest (sheet, row, key))
    return;
  check_duplicate_digest (sheet, row, key);
  was_revoked = is_revoked (sheet->options->current, key);
  /* Kept if the state cell is empty.  */
  key->withdrawn = was_revoked;
  if (!sh_read_keyword (sheet, row, SH_COLUMN_STATE, states, &state))
    return;
  key->withdrawn = state == 1;
  if (was_revoked && !key->withdrawn)
    sh_report_problem (
        sheet, SH_ERROR_KEY_REVOKED, row->number, SH_COLUMN_STATE,
        "key \"%s\" has been withdrawn and cannot become active "
        "again; issue a new key",
        key->id);
}

static gboolean
has_digest (const CfCustomer *customer, const CfKey *key)
{
  for (guint i = 0; i < customer->keys->len; i++)
    if (memcmp (((const CfKey *)g_ptr_array_index (customer->keys, i))->sha256,
                key->sha256, CF_SHA256_BYTES)
        == 0)
      return TRUE;
  return FALSE;
}

void
sh_check_missing_keys (ShSheet *sheet)
{
  const CfConfig *current = sheet->options->current;

  for (guint i = 0; current != NULL && i < sheet->config->customers->len; i++)
    {
      const CfCustomer *customer
          = g_ptr_array_index (sheet->config->customers, i);
      const CfCustomer *old = cf_find_customer (current, customer->name);

      for (guint j = 0; old != NULL && j < old->keys->len; j++)
        {
          const CfKey *key = g_ptr_array_index (old->keys, j);

          if (key->withdrawn || has_digest (customer, key)
              || find_key_by_id (customer, key->id) != NULL)
            continue;
          sh_report_problem (
              sheet, SH_ERROR_KEY_MISSING,
              GPOINTER_TO_UINT (
                  g_hash_table_lookup (sheet->row_by_object, customer)),
              SH_COLUMN_NAME,
              "key \"%s\" of this customer is active and has no row; "
              "add one, with the state withdrawn to end the key",
              key->id);
        }
    }
}

static uint16_t
block_region_index (ShSheet *sheet, const char *name)
{
  GPtrArray *names = sheet->block_region_names;

  for (guint i = 0; i < names->len; i++)
    if (strcmp (g_ptr_array_index (names, i), name) == 0)
      return (uint16_t)i;
  g_ptr_array_add (names, g_strdup (name));
  return (uint16_t)(names->len - 1);
}

void
sh_read_block_row (ShSheet *sheet, const ShRow *row)
{
  const char *cidr = sh_cell (row, SH_COLUMN_NAME);
  CfBlock block;

  if (*cidr == '\0' || !sh_read_name (sheet, row, SH_COLUMN_REGION))
    return;
  if (!cf_parse_block (cidr, &block, NULL))
    {
      sh_report_problem (
          sheet, SH_ERROR_NAME, row->number, SH_COLUMN_NAME,
          "\"%.64s\" is not an address block such as 10.1.0.0/16 with "
          "the bits after the prefix zero",
          cidr);
      return;
    }
  /* block.region, of 16 bits, is an index into block_region_names.  */
  if (sheet->config->blocks->len >= CF_ROWS_MAX
      || sheet->block_region_names->len > UINT16_MAX - 1)
    {
      sh_report_problem (sheet, SH_ERROR_TOO_MANY, row->number,
                         SH_COLUMN_COUNT, "there are more than %d blocks",
                         CF_ROWS_MAX);
      return;
    }
  block.region = block_region_index (sheet, sh_cell (row, SH_COLUMN_REGION));
  g_array_append_val (sheet->config->blocks, block);
  g_array_append_val (sheet->block_rows, row->number);
}

/* Returns, for each of block_region_names, the index of the region in config,
   or -1.  */
static GArray *
resolve_block_regions (ShSheet *sheet)
{
  GArray *indexes = g_array_new (FALSE, FALSE, sizeof (int));

  for (guint i = 0; i < sheet->block_region_names->len; i++)
    {
      const char *name = g_ptr_array_index (sheet->block_region_names, i);
      int index = -1;

      for (guint j = 0; j < sheet->config->regions->len; j++)
        if (strcmp (((const CfRegion *)g_ptr_array_index (
                         sheet->config->regions, j))
                        ->name,
                    name)
            == 0)
          index = (int)j;
      g_array_append_val (indexes, index);
    }
  return indexes;
}

typedef struct
{
  CfBlock block;
  uint32_t row;
} BlockRow;

static int
compare_blocks (const void *a, const void *b)
{
  const BlockRow *left = a;
  const BlockRow *right = b;
  int order = memcmp (left->block.address, right->block.address,
                      sizeof left->block.address);

  if (order == 0)
    order = left->block.prefix_bits - right->block.prefix_bits;
  return order != 0 ? order : (left->row < right->row ? -1 : 1);
}

static gboolean
blocks_equal (const CfBlock *a, const CfBlock *b)
{
  return a->prefix_bits == b->prefix_bits
         && memcmp (a->address, b->address, sizeof a->address) == 0;
}

void
sh_finish_blocks (ShSheet *sheet)
{
  g_autoptr (GArray) indexes = resolve_block_regions (sheet);
  g_autoptr (GArray) rows = g_array_new (FALSE, FALSE, sizeof (BlockRow));
  GArray *blocks = sheet->config->blocks;

  for (guint i = 0; i < blocks->len; i++)
    {
      BlockRow entry = { g_array_index (blocks, CfBlock, i),
                         g_array_index (sheet->block_rows, uint32_t, i) };
      uint16_t name_index = entry.block.region;
      int index = g_array_index (indexes, int, name_index);

      if (index < 0)
        sh_report_problem (sheet, SH_ERROR_REFERENCE, entry.row,
                           SH_COLUMN_REGION, "there is no region row \"%s\"",
                           (const char *)g_ptr_array_index (
                               sheet->block_region_names, name_index));
      entry.block.region = (uint16_t)MAX (index, 0);
      g_array_append_val (rows, entry);
    }
  g_array_sort (rows, compare_blocks);
  g_array_set_size (blocks, 0);
  for (guint i = 0; i < rows->len; i++)
    {
      const BlockRow *entry = &g_array_index (rows, BlockRow, i);

      if (i > 0 && blocks_equal (&entry[-1].block, &entry->block))
        sh_report_problem (sheet, SH_ERROR_DUPLICATE, entry->row,
                           SH_COLUMN_NAME, "row %u already defines this block",
                           entry[-1].row);
      g_array_append_val (blocks, entry->block);
    }
}
