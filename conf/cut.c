#include "conf/internal.h"

#include <string.h>
#include <xxhash.h>

/* A row of N bytes ends its part with a probability of N / PART_BYTES_MEAN, so
   that parts of a section have about 4 KB and few reach CF_PART_MAX_BYTES.  */
#define PART_BYTES_MEAN 4096

/* Blocks from FIRST up to, but not including, END; their addresses agree in
   the first BITS bits.  */
typedef struct
{
  guint first;
  guint end;
  uint32_t bits;
} BlockRange;

typedef struct
{
  CfJob job;
  uint32_t section;          /* to split; cf_section_count: blocks */
  guint row;                 /* next row of the section */
  uint32_t next_part_number; /* within the section */
  GString *part;             /* text of the open part; NULL: none */
  GString *block_lines;      /* "CIDR REGION", a line for each block */
  gsize *line_ends;          /* offset of the end of each line */
  guint line_count;          /* blocks written to block_lines */
  GArray *ranges; /* stack of BlockRange; the lowest addresses are last */
} Splitter;

static GBytes *
free_to_bytes (GString *text)
{
  return g_string_free_to_bytes (text);
}

/* Content-defined chunking: unless a part is full, ROW alone decides whether
   the part ends after it, so a change moves no boundary after the next one. */
static gboolean
is_part_end (const CfSchema *schema, const void *row, gsize row_bytes)
{
  g_autofree char *identity = cf_row_identity (schema, row);
  uint64_t hash = XXH64 (identity, strlen (identity), 0);

  return hash % PART_BYTES_MEAN < row_bytes;
}

static void
finish_part (Splitter *splitter, const CfSchema *schema)
{
  if (splitter->part == NULL)
    return;
  g_string_append (splitter->part, "\n]");
  cf_manifest_add_part (
      splitter->job.manifest,
      g_strdup_printf ("%s/%u", schema->section, splitter->next_part_number++),
      free_to_bytes (g_steal_pointer (&splitter->part)));
}

static void
split_row (Splitter *splitter, const CfSchema *schema)
{
  const GPtrArray *rows = cf_section_rows (splitter->job.config, schema);
  const void *row;
  g_autoptr (GString) text = NULL;

  if (splitter->row == rows->len)
    {
      finish_part (splitter, schema);
      splitter->section++;
      splitter->row = 0;
      splitter->next_part_number = 0;
      return;
    }
  row = g_ptr_array_index (rows, splitter->row++);
  text = g_string_new (NULL);
  cf_row_write (schema, row, text);
  /* The 4 bytes are ",\n" before the row and "\n]" at the end of the part.  */
  if (splitter->part != NULL
      && splitter->part->len + text->len + 4 > CF_PART_MAX_BYTES)
    finish_part (splitter, schema);
  if (splitter->part == NULL)
    splitter->part = g_string_new ("[\n");
  else
    g_string_append (splitter->part, ",\n");
  g_string_append_len (splitter->part, text->str, (gssize)text->len);
  if (is_part_end (schema, row, text->len))
    finish_part (splitter, schema);
}

static void
write_block_line (Splitter *splitter)
{
  const CfConfig *config = splitter->job.config;
  const CfBlock *block
      = &g_array_index (config->blocks, CfBlock, splitter->line_count);
  const CfRegion *region = g_ptr_array_index (config->regions, block->region);

  cf_block_write (block, splitter->block_lines);
  g_string_append_c (splitter->block_lines, ' ');
  g_string_append (splitter->block_lines, region->name);
  g_string_append_c (splitter->block_lines, '\n');
  splitter->line_ends[splitter->line_count++] = splitter->block_lines->len;
}

static gsize
line_start (const Splitter *splitter, guint block)
{
  return block == 0 ? 0 : splitter->line_ends[block - 1];
}

static gboolean
address_bit (const CfBlock *block, uint32_t bit)
{
  return (block->address[bit / 8] >> (7 - bit % 8)) & 1;
}

/* Returns the name of the part with the blocks whose addresses agree with
   FIRST in the first BITS bits.  */
static char *
range_name (const CfBlock *first, uint32_t bits)
{
  CfBlock range = { .prefix_bits = (uint8_t)bits };
  g_autofree char *cidr = NULL;

  for (uint32_t i = 0; i < bits; i++)
    if (address_bit (first, i))
      range.address[i / 8] |= (uint8_t)(1 << (7 - i % 8));
  cidr = cf_format_block (&range);
  return g_strdup_printf ("blocks/%s", cidr);
}

static void
push_range (Splitter *splitter, guint first, guint end, uint32_t bits)
{
  BlockRange range = { first, end, bits };

  if (first < end)
    g_array_append_val (splitter->ranges, range);
}

/* Pops a range from the stack.  Adds it as a part if its lines fit into one,
   else pushes its two halves, by the next bit of the address.  Which part a
   block belongs to therefore depends only on the blocks around it.  Returns
   the number of rows to count for this step.  */
static uint32_t
split_range (Splitter *splitter)
{
  BlockRange range = g_array_index (splitter->ranges, BlockRange,
                                    splitter->ranges->len - 1);
  const CfBlock *blocks
      = &g_array_index (splitter->job.config->blocks, CfBlock, 0);
  gsize start = line_start (splitter, range.first);
  gsize size = splitter->line_ends[range.end - 1] - start;
  guint low = range.first;
  guint high = range.end;

  g_array_set_size (splitter->ranges, splitter->ranges->len - 1);
  if (size <= CF_PART_MAX_BYTES)
    {
      cf_manifest_add_part (
          splitter->job.manifest,
          range_name (&blocks[range.first], range.bits),
          g_bytes_new (splitter->block_lines->str + start, size));
      return range.end - range.first;
    }
  /* At most 129 blocks have the same address, and these fit into one part.  */
  g_assert (range.bits < 128);
  while (low < high)
    {
      guint middle = low + (high - low) / 2;

      if (address_bit (&blocks[middle], range.bits))
        high = middle;
      else
        low = middle + 1;
    }
  push_range (splitter, low, range.end, range.bits + 1);
  push_range (splitter, range.first, low, range.bits + 1);
  return 1;
}

static CfJobStatus
split_step (CfJob *job, uint32_t rows_max, GError **error)
{
  Splitter *splitter = (Splitter *)job;
  guint count = job->config->blocks->len;

  (void)error;
  for (uint32_t rows_done = 0; rows_done < rows_max;)
    {
      if (splitter->section < cf_section_count)
        {
          split_row (splitter, cf_sections[splitter->section]);
          rows_done += CF_SECTION_ROW_COST;
        }
      else if (splitter->line_count < count)
        {
          write_block_line (splitter);
          rows_done++;
          if (splitter->line_count == count)
            push_range (splitter, 0, count, 0);
        }
      else if (splitter->ranges->len > 0)
        rows_done += split_range (splitter);
      else
        return CF_JOB_DONE;
    }
  return CF_JOB_RUNNING;
}

static void
split_free (CfJob *job)
{
  Splitter *splitter = (Splitter *)job;

  if (splitter->part != NULL)
    g_string_free (splitter->part, TRUE);
  g_string_free (splitter->block_lines, TRUE);
  g_free (splitter->line_ends);
  g_array_unref (splitter->ranges);
}

CfJob *
cf_split_begin (CfConfig *config)
{
  static const CfJobClass class = { split_step, split_free };
  Splitter *splitter = g_new0 (Splitter, 1);

  splitter->job.class = &class;
  splitter->job.config = cf_ref (config);
  splitter->job.manifest = cf_manifest_new (config);
  splitter->block_lines = g_string_new (NULL);
  splitter->line_ends = g_new (gsize, config->blocks->len);
  splitter->ranges = g_array_new (FALSE, FALSE, sizeof (BlockRange));
  return &splitter->job;
}

CfManifest *
cf_split (const CfConfig *config)
{
  g_autoptr (CfJob) job = cf_split_begin ((CfConfig *)config);

  cf_job_run (job, NULL);
  return cf_job_take_manifest (job);
}
