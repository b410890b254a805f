#include "key/key.h"

#include <string.h>

typedef struct
{
  const CfCustomer *customer;
  const CfKey *key;
} Entry;

/* The entries of bucket B are those from starts[B] to starts[B + 1].  */
struct KyTable
{
  uint32_t bucket_count; /* a power of two */
  uint32_t entry_count;
  uint32_t *starts;
  Entry *entries;
};

G_DEFINE_QUARK (ky_error, ky_error)

void
ky_digest (const void *key, gsize length, uint8_t *digest)
{
  g_autoptr (GChecksum) checksum = g_checksum_new (G_CHECKSUM_SHA256);
  gsize digest_bytes = KY_DIGEST_BYTES;

  g_checksum_update (checksum, key, (gssize)length);
  g_checksum_get_digest (checksum, digest, &digest_bytes);
}

gboolean
ky_equal (const uint8_t *a, const uint8_t *b)
{
  /* volatile keeps the compiler from leaving the loop early.  */
  volatile uint8_t difference = 0;

  for (int i = 0; i < KY_DIGEST_BYTES; i++)
    difference = difference | (uint8_t)(a[i] ^ b[i]);
  return difference == 0;
}

static uint32_t
bucket_of (const KyTable *table, const uint8_t *digest)
{
  uint32_t hash;

  memcpy (&hash, digest, sizeof hash);
  return hash & (table->bucket_count - 1);
}

static uint32_t
count_keys (const CfConfig *config)
{
  uint32_t count = 0;

  for (guint i = 0; i < config->customers->len; i++)
    {
      const CfCustomer *customer = g_ptr_array_index (config->customers, i);
      count += customer->keys->len;
    }
  return count;
}

/* Calls VISIT for every key of CONFIG.  */
static void
for_each_key (KyTable *table, const CfConfig *config,
              void (*visit) (KyTable *table, Entry entry))
{
  for (guint i = 0; i < config->customers->len; i++)
    {
      const CfCustomer *customer = g_ptr_array_index (config->customers, i);
      for (guint k = 0; k < customer->keys->len; k++)
        visit (table,
               (Entry){ customer, g_ptr_array_index (customer->keys, k) });
    }
}

static void
count_in_bucket (KyTable *table, Entry entry)
{
  table->starts[bucket_of (table, entry.key->sha256) + 1]++;
}

/* Fills buckets from their end, which leaves starts at their first entry.  */
static void
place_in_bucket (KyTable *table, Entry entry)
{
  uint32_t bucket = bucket_of (table, entry.key->sha256);

  table->entries[--table->starts[bucket + 1]] = entry;
}

KyTable *
ky_table_new (const CfConfig *config)
{
  KyTable *table = g_new0 (KyTable, 1);

  table->entry_count = count_keys (config);
  table->bucket_count = 1;
  while (table->bucket_count < table->entry_count)
    table->bucket_count *= 2;
  table->starts = g_new0 (uint32_t, table->bucket_count + 2);
  table->entries = g_new0 (Entry, table->entry_count + 1);
  for_each_key (table, config, count_in_bucket);
  for (uint32_t b = 1; b <= table->bucket_count; b++)
    table->starts[b] += table->starts[b - 1];
  for_each_key (table, config, place_in_bucket);
  /* After filling, element B + 1 is the start of bucket B.  */
  memmove (table->starts, table->starts + 1,
           table->bucket_count * sizeof table->starts[0]);
  table->starts[table->bucket_count] = table->entry_count;
  return table;
}

void
ky_table_free (KyTable *table)
{
  if (table == NULL)
    return;
  g_free (table->starts);
  g_free (table->entries);
  g_free (table);
}

gboolean
ky_lookup (const KyTable *table, const uint8_t *digest, KyMatch *match,
           GError **error)
{
  uint32_t bucket = bucket_of (table, digest);
  const Entry *found = NULL;

  for (uint32_t i = table->starts[bucket]; i < table->starts[bucket + 1]; i++)
    {
      const Entry *entry = &table->entries[i];
      if (!ky_equal (entry->key->sha256, digest))
        continue;
      if (found == NULL || entry->key->withdrawn)
        found = entry;
    }
  if (found == NULL)
    {
      g_set_error_literal (error, KY_ERROR, KY_ERROR_UNKNOWN,
                           "the key is not known");
      return FALSE;
    }
  if (found->key->withdrawn)
    {
      g_set_error (error, KY_ERROR, KY_ERROR_WITHDRAWN,
                   "key %s of customer %s is withdrawn", found->key->id,
                   found->customer->name);
      return FALSE;
    }
  match->customer = found->customer;
  match->key = found->key;
  return TRUE;
}

/* The bytes of a bearer token (RFC 6750).  */
static gboolean
is_key (const char *text)
{
  gsize length = strlen (text);

  if (length == 0 || length > KY_KEY_MAX_BYTES)
    return FALSE;
  for (gsize i = 0; i < length; i++)
    if (!g_ascii_isalnum (text[i]) && strchr ("-._~+/=", text[i]) == NULL)
      return FALSE;
  return TRUE;
}

/* The key in a header, or NULL if the header presents none.  */
static const char *
presented_in (const HtHeader *header)
{
  const char *value = header->value;

  if (g_ascii_strcasecmp (header->name, "X-Api-Key") == 0)
    return value;
  if (g_ascii_strcasecmp (header->name, "Authorization") != 0
      || g_ascii_strncasecmp (value, "Bearer", 6) != 0
      || (value[6] != ' ' && value[6] != '\0'))
    return NULL;
  value += 6;
  return value + strspn (value, " ");
}

gboolean
ky_find (const HtHeaders *headers, uint8_t *digest, GError **error)
{
  gboolean found = FALSE;
  uint8_t other[KY_DIGEST_BYTES];

  for (uint32_t i = 0; i < headers->count; i++)
    {
      const char *key = presented_in (&headers->items[i]);
      if (key == NULL)
        continue;
      if (!is_key (key))
        {
          g_set_error (error, KY_ERROR, KY_ERROR_MALFORMED,
                       "the key in header %s is malformed",
                       headers->items[i].name);
          return FALSE;
        }
      ky_digest (key, strlen (key), found ? other : digest);
      if (found && !ky_equal (other, digest))
        {
          g_set_error_literal (error, KY_ERROR, KY_ERROR_CONFLICT,
                               "two different keys were presented");
          return FALSE;
        }
      found = TRUE;
    }
  if (!found)
    g_set_error_literal (error, KY_ERROR, KY_ERROR_MISSING,
                         "no key was presented");
  return found;
}
