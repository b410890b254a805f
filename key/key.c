#include "key/key.h"

#include <string.h>

typedef struct
{
  const CfCustomer *customer;
  const CfKey *key;
} KeyEntry;

/* Bucket B holds the entries from bucket_starts[B] up to, but without,
   bucket_starts[B + 1].  */
struct KyTable
{
  uint32_t bucket_count; /* a power of two */
  uint32_t entry_count;
  uint32_t *bucket_starts;
  KeyEntry *entries;
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
ky_digest_equal (const uint8_t *a, const uint8_t *b)
{
  /* volatile stops the compiler from ending the loop early, which would
     reveal the first byte that differs.  */
  volatile uint8_t difference = 0;

  for (int i = 0; i < KY_DIGEST_BYTES; i++)
    difference = difference | (uint8_t)(a[i] ^ b[i]);
  return difference == 0;
}

static uint32_t
bucket_index (const KyTable *table, const uint8_t *digest)
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

/* Calls CALLBACK for every key of CONFIG.  */
static void
for_each_key (KyTable *table, const CfConfig *config,
              void (*callback) (KyTable *table, KeyEntry entry))
{
  for (guint i = 0; i < config->customers->len; i++)
    {
      const CfCustomer *customer = g_ptr_array_index (config->customers, i);
      for (guint k = 0; k < customer->keys->len; k++)
        callback (table, (KeyEntry){ customer,
                                     g_ptr_array_index (customer->keys, k) });
    }
}

static void
count_in_bucket (KyTable *table, KeyEntry entry)
{
  table->bucket_starts[bucket_index (table, entry.key->sha256) + 1]++;
}

/* Fills each bucket from its end, so that bucket_starts[B + 1] finally is the
   index of the first entry of bucket B.  */
static void
add_to_bucket (KyTable *table, KeyEntry entry)
{
  uint32_t bucket = bucket_index (table, entry.key->sha256);

  table->entries[--table->bucket_starts[bucket + 1]] = entry;
}

KyTable *
ky_table_new (const CfConfig *config)
{
  KyTable *table = g_new0 (KyTable, 1);

  table->entry_count = count_keys (config);
  table->bucket_count = 1;
  while (table->bucket_count < table->entry_count)
    table->bucket_count *= 2;
  table->bucket_starts = g_new0 (uint32_t, table->bucket_count + 2);
  table->entries = g_new0 (KeyEntry, table->entry_count + 1);
  for_each_key (table, config, count_in_bucket);
  for (uint32_t b = 1; b <= table->bucket_count; b++)
    table->bucket_starts[b] += table->bucket_starts[b - 1];
  for_each_key (table, config, add_to_bucket);
  /* Moves the start of bucket B from element B + 1 to element B.  */
  memmove (table->bucket_starts, table->bucket_starts + 1,
           table->bucket_count * sizeof table->bucket_starts[0]);
  table->bucket_starts[table->bucket_count] = table->entry_count;
  return table;
}

void
ky_table_free (KyTable *table)
{
  if (table == NULL)
    return;
  g_free (table->bucket_starts);
  g_free (table->entries);
  g_free (table);
}

gboolean
ky_lookup (const KyTable *table, const uint8_t *digest, KyMatch *match,
           GError **error)
{
  uint32_t bucket = bucket_index (table, digest);
  const KeyEntry *found = NULL;

  for (uint32_t i = table->bucket_starts[bucket];
       i < table->bucket_starts[bucket + 1]; i++)
    {
      const KeyEntry *entry = &table->entries[i];
      if (!ky_digest_equal (entry->key->sha256, digest))
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
      g_set_error (error, KY_ERROR, KY_ERROR_REVOKED,
                   "key %s of customer %s is withdrawn", found->key->id,
                   found->customer->name);
      return FALSE;
    }
  match->customer = found->customer;
  match->key = found->key;
  return TRUE;
}

/* Accepts the characters of a bearer token (RFC 6750).  */
static gboolean
is_valid_key (const char *text)
{
  gsize length = strlen (text);

  if (length == 0 || length > KY_KEY_MAX_BYTES)
    return FALSE;
  for (gsize i = 0; i < length; i++)
    if (!g_ascii_isalnum (text[i]) && strchr ("-._~+/=", text[i]) == NULL)
      return FALSE;
  return TRUE;
}

/* Returns the key in HEADER, not yet validated, or NULL if it has none.  */
static const char *
presented_key (const HtHeader *header)
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
ky_extract_digest (const HtHeaders *headers, uint8_t *digest, GError **error)
{
  gboolean found = FALSE;
  uint8_t other_digest[KY_DIGEST_BYTES];

  for (uint32_t i = 0; i < headers->count; i++)
    {
      const char *key = presented_key (&headers->items[i]);
      if (key == NULL)
        continue;
      if (!is_valid_key (key))
        {
          g_set_error (error, KY_ERROR, KY_ERROR_MALFORMED,
                       "the key in header %s is malformed",
                       headers->items[i].name);
          return FALSE;
        }
      ky_digest (key, strlen (key), found ? other_digest : digest);
      if (found && !ky_digest_equal (other_digest, digest))
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
