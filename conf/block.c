#include "conf/internal.h"

#include <arpa/inet.h>
#include <string.h>

/* IPv4 addresses are held as ::ffff:a.b.c.d.  */
#define IPV4_PREFIX_BITS 96
#define CIDR_MAX_BYTES 64

static const uint8_t ipv4_prefix[12]
    = { 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0xff, 0xff };

static gboolean
host_bits_are_zero (const CfBlock *block)
{
  for (uint32_t bit = block->prefix_bits; bit < 128; bit++)
    if ((block->address[bit / 8] >> (7 - bit % 8)) & 1)
      return FALSE;
  return TRUE;
}

/* Most blocks are IPv4.  inet_pton would need a NUL-terminated copy and is
   slower.  */
static gboolean
parse_ipv4 (const char *text, size_t length, uint8_t *address)
{
  size_t position = 0;

  for (int i = 0; i < 4; i++)
    {
      uint32_t octet = 0;
      size_t start = position;

      while (position < length && position - start < 3
             && g_ascii_isdigit (text[position]))
        octet = octet * 10 + (uint32_t)(text[position++] - '0');
      if (position == start || octet > 255
          || (text[start] == '0' && position > start + 1))
        return FALSE;
      address[i] = (uint8_t)octet;
      if (i < 3 && (position >= length || text[position++] != '.'))
        return FALSE;
    }
  return position == length;
}

static gboolean
parse_address (const char *text, size_t length, CfBlock *block,
               uint32_t *bits_max)
{
  char copy[INET6_ADDRSTRLEN + 1];

  memcpy (block->address, ipv4_prefix, sizeof ipv4_prefix);
  *bits_max = 32;
  if (parse_ipv4 (text, length, block->address + sizeof ipv4_prefix))
    return TRUE;
  *bits_max = 128;
  if (length >= sizeof copy)
    return FALSE;
  memcpy (copy, text, length);
  copy[length] = '\0';
  return inet_pton (AF_INET6, copy, block->address) == 1;
}

static gboolean
parse_block (const char *cidr, size_t length, CfBlock *block)
{
  const char *slash = memchr (cidr, '/', length);
  uint32_t bits_max;
  uint32_t bits = 0;
  size_t position;

  memset (block, 0, sizeof *block);
  if (slash == NULL
      || !parse_address (cidr, (size_t)(slash - cidr), block, &bits_max))
    return FALSE;
  position = (size_t)(slash - cidr) + 1;
  if (position == length || length - position > 3)
    return FALSE;
  for (; position < length; position++)
    {
      if (!g_ascii_isdigit (cidr[position]))
        return FALSE;
      bits = bits * 10 + (uint32_t)(cidr[position] - '0');
    }
  if (bits > bits_max)
    return FALSE;
  block->prefix_bits
      = (uint8_t)(bits_max == 32 ? bits + IPV4_PREFIX_BITS : bits);
  return host_bits_are_zero (block);
}

gboolean
cf_parse_block (const char *cidr, CfBlock *block, GError **error)
{
  if (parse_block (cidr, strlen (cidr), block))
    return TRUE;
  g_set_error (error, CF_ERROR, CF_ERROR_RANGE,
               "\"%.*s\" is not an address block such as 10.1.0.0/16 with "
               "all bits after the prefix zero",
               CIDR_MAX_BYTES, cidr);
  return FALSE;
}

static char *
format_number (char *position, uint32_t number)
{
  if (number >= 100)
    *position++ = (char)('0' + number / 100);
  if (number >= 10)
    *position++ = (char)('0' + number / 10 % 10);
  *position++ = (char)('0' + number % 10);
  return position;
}

void
cf_block_write (const CfBlock *block, GString *out)
{
  char text[INET6_ADDRSTRLEN + 4];
  char *position = text;
  uint32_t bits = block->prefix_bits;

  if (bits >= IPV4_PREFIX_BITS
      && memcmp (block->address, ipv4_prefix, sizeof ipv4_prefix) == 0)
    {
      bits -= IPV4_PREFIX_BITS;
      for (int i = 12; i < 16; i++)
        {
          position = format_number (position, block->address[i]);
          *position++ = i < 15 ? '.' : '/';
        }
    }
  else
    {
      inet_ntop (AF_INET6, block->address, text, INET6_ADDRSTRLEN);
      position += strlen (text);
      *position++ = '/';
    }
  position = format_number (position, bits);
  g_string_append_len (out, text, position - text);
}

char *
cf_format_block (const CfBlock *block)
{
  GString *out = g_string_new (NULL);

  cf_block_write (block, out);
  return g_string_free (out, FALSE);
}

int
cf_block_compare (const void *a, const void *b)
{
  const CfBlock *left = a;
  const CfBlock *right = b;
  int order = memcmp (left->address, right->address, sizeof left->address);

  return order != 0 ? order : left->prefix_bits - right->prefix_bits;
}

void
cf_sort_blocks (CfConfig *config)
{
  g_array_sort (config->blocks, cf_block_compare);
}

void
cf_block_reader_init (CfBlockReader *reader)
{
  reader->region_numbers = g_hash_table_new (g_str_hash, g_str_equal);
  reader->region_names = g_ptr_array_new_with_free_func (g_free);
}

void
cf_block_reader_clear (CfBlockReader *reader)
{
  g_hash_table_unref (reader->region_numbers);
  g_ptr_array_unref (reader->region_names);
}

/* Sets NUMBER to that of REGION, the next one if REGION has none yet.  */
static gboolean
get_region_number (CfBlockReader *reader, const char *region, size_t length,
                   uint16_t *number, GError **error)
{
  char name[CF_NAME_MAX_BYTES + 1] = "";
  void *found;

  if (length <= CF_NAME_MAX_BYTES)
    memcpy (name, region, length);
  found = g_hash_table_lookup (reader->region_numbers, name);
  if (found != NULL)
    {
      *number = (uint16_t)(GPOINTER_TO_UINT (found) - 1);
      return TRUE;
    }
  if (!cf_is_name (name) || reader->region_names->len >= UINT16_MAX)
    {
      g_set_error_literal (error, CF_ERROR, CF_ERROR_RANGE,
                           "region is not 1 to 63 bytes of [a-z0-9-]");
      return FALSE;
    }
  *number = (uint16_t)reader->region_names->len;
  g_ptr_array_add (reader->region_names, g_strdup (name));
  g_hash_table_insert (reader->region_numbers,
                       g_ptr_array_index (reader->region_names, *number),
                       GUINT_TO_POINTER (*number + 1));
  return TRUE;
}

gboolean
cf_block_reader_add (CfBlockReader *reader, CfConfig *config, const char *cidr,
                     size_t cidr_length, const char *region,
                     size_t region_length, GError **error)
{
  CfBlock block;
  GArray *blocks = config->blocks;

  if (!parse_block (cidr, cidr_length, &block))
    {
      g_autofree char *copy
          = g_strndup (cidr, MIN (cidr_length, CIDR_MAX_BYTES));

      /* Parses it again for the error.  */
      return cf_parse_block (copy, &block, error);
    }
  if (blocks->len >= CF_ROWS_MAX)
    {
      g_set_error (error, CF_ERROR, CF_ERROR_RANGE, "more than %d blocks",
                   CF_ROWS_MAX);
      return FALSE;
    }
  if (!get_region_number (reader, region, region_length, &block.region, error))
    return FALSE;
  if (blocks->len > 0
      && cf_block_compare (&g_array_index (blocks, CfBlock, blocks->len - 1),
                           &block)
             > 0)
    reader->unordered = TRUE;
  g_array_append_val (blocks, block);
  return TRUE;
}

static int
find_region (const CfConfig *config, const char *name)
{
  for (guint i = 0; i < config->regions->len; i++)
    {
      const CfRegion *region = g_ptr_array_index (config->regions, i);

      if (strcmp (region->name, name) == 0)
        return (int)i;
    }
  return -1;
}

gboolean
cf_block_reader_resolve (CfBlockReader *reader, CfConfig *config,
                         GError **error)
{
  g_autoptr (GArray) indexes = g_array_new (FALSE, FALSE, sizeof (uint16_t));

  for (guint i = 0; i < reader->region_names->len; i++)
    {
      const char *name = g_ptr_array_index (reader->region_names, i);
      int found = find_region (config, name);
      uint16_t index = (uint16_t)found;

      if (found < 0)
        {
          g_set_error (error, CF_ERROR, CF_ERROR_REFERENCE,
                       "blocks: there is no region \"%s\"", name);
          return FALSE;
        }
      g_array_append_val (indexes, index);
    }
  for (guint i = 0; i < config->blocks->len; i++)
    {
      CfBlock *block = &g_array_index (config->blocks, CfBlock, i);

      block->region = g_array_index (indexes, uint16_t, block->region);
    }
  return TRUE;
}
