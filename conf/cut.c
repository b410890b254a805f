#include "conf/internal.h"

#include <string.h>
#include <xxhash.h>

/* A row ends its part with this chance for each of its bytes, so that parts of
   a section hold about 4 KB and few reach CF_PART_MAX_BYTES.  */
#define CUT_BYTES_MEAN 4096

/* Blocks whose addresses share the first BITS bits.  */
typedef struct
{
  guint first;
  guint last; /* one behind */
  uint32_t bits;
} Range;

typedef struct
{
  CfJob job;
  uint32_t section;
  guint row;        /* of the section */
  uint32_t number;  /* of the section's next part */
  GString *part;    /* being filled; NULL: none */
  GString *lines;   /* blocks, one a line */
  gsize *ends;      /* end of each block's line */
  guint line_count; /* so many blocks have been written */
  GArray *ranges;   /* Range, still to cut; the first one is on top */
} Cutter;

static GBytes *
take_bytes (GString *text)
{
  return g_string_free_to_bytes (text);
}

/* Where a part ends depends only on the rows that stand in it, so a change
   moves no boundary behind the next one.  */
static gboolean
ends_part (const CfSchema *schema, const void *row, gsize row_bytes)
{
  g_autofree char *identity = cf_row_identity (schema, row);
  uint64_t hash = XXH64 (identity, strlen (identity), 0);

  return hash % CUT_BYTES_MEAN < row_bytes;
}

static void
end_part (Cutter *cutter, const CfSchema *schema)
{
  if (cutter->part == NULL)
    return;
  g_string_append (cutter->part, "\n]");
  cf_manifest_add (
      cutter->job.manifest,
      g_strdup_printf ("%s/%u", schema->section, cutter->number++),
      take_bytes (g_steal_pointer (&cutter->part)));
}

static void
cut_row (Cutter *cutter, const CfSchema *schema)
{
  const GPtrArray *rows = cf_rows (cutter->job.config, schema);
  const void *row;
  g_autoptr (GString) text = NULL;

  if (cutter->row == rows->len)
    {
      end_part (cutter, schema);
      cutter->section++;
      cutter->row = 0;
      cutter->number = 0;
      return;
    }
  row = g_ptr_array_index (rows, cutter->row++);
  text = g_string_new (NULL);
  cf_row_write (schema, row, text);
  if (cutter->part != NULL
      && cutter->part->len + text->len + 4 > CF_PART_MAX_BYTES)
    end_part (cutter, schema);
  if (cutter->part == NULL)
    cutter->part = g_string_new ("[\n");
  else
    g_string_append (cutter->part, ",\n");
  g_string_append_len (cutter->part, text->str, (gssize)text->len);
  if (ends_part (schema, row, text->len))
    end_part (cutter, schema);
}

static void
write_line (Cutter *cutter)
{
  const CfConfig *config = cutter->job.config;
  const CfBlock *block
      = &g_array_index (config->blocks, CfBlock, cutter->line_count);
  const CfRegion *region = g_ptr_array_index (config->regions, block->region);

  cf_block_write (block, cutter->lines);
  g_string_append_c (cutter->lines, ' ');
  g_string_append (cutter->lines, region->name);
  g_string_append_c (cutter->lines, '\n');
  cutter->ends[cutter->line_count++] = cutter->lines->len;
}

static gsize
line_start (const Cutter *cutter, guint block)
{
  return block == 0 ? 0 : cutter->ends[block - 1];
}

static gboolean
address_bit (const CfBlock *block, uint32_t bit)
{
  return (block->address[bit / 8] >> (7 - bit % 8)) & 1;
}

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
push_range (Cutter *cutter, guint first, guint last, uint32_t bits)
{
  Range range = { first, last, bits };

  if (first < last)
    g_array_append_val (cutter->ranges, range);
}

/* Halves the address range until its lines fit into a part: which part a block
   belongs to depends on the blocks around it and on no other.  */
static uint32_t
cut_range (Cutter *cutter)
{
  Range range = g_array_index (cutter->ranges, Range, cutter->ranges->len - 1);
  const CfBlock *blocks
      = &g_array_index (cutter->job.config->blocks, CfBlock, 0);
  gsize start = line_start (cutter, range.first);
  gsize size = cutter->ends[range.last - 1] - start;
  guint low = range.first;
  guint high = range.last;

  g_array_set_size (cutter->ranges, cutter->ranges->len - 1);
  /* At most 129 blocks share an address: they always fit.  */
  if (size <= CF_PART_MAX_BYTES)
    {
      cf_manifest_add (cutter->job.manifest,
                       range_name (&blocks[range.first], range.bits),
                       g_bytes_new (cutter->lines->str + start, size));
      return range.last - range.first;
    }
  g_assert (range.bits < 128);
  while (low < high)
    {
      guint middle = low + (high - low) / 2;

      if (address_bit (&blocks[middle], range.bits))
        high = middle;
      else
        low = middle + 1;
    }
  push_range (cutter, low, range.last, range.bits + 1);
  push_range (cutter, range.first, low, range.bits + 1);
  return 1;
}

static CfJobStatus
cut_step (CfJob *job, uint32_t rows_max, GError **error)
{
  Cutter *cutter = (Cutter *)job;
  guint count = job->config->blocks->len;

  (void)error;
  for (uint32_t done = 0; done < rows_max;)
    {
      if (cutter->section < cf_section_count)
        {
          cut_row (cutter, cf_sections[cutter->section]);
          done += CF_SECTION_ROW_COST;
        }
      else if (cutter->line_count < count)
        {
          write_line (cutter);
          done++;
          if (cutter->line_count == count)
            push_range (cutter, 0, count, 0);
        }
      else if (cutter->ranges->len > 0)
        done += cut_range (cutter);
      else
        return CF_JOB_DONE;
    }
  return CF_JOB_RUNNING;
}

static void
cut_free (CfJob *job)
{
  Cutter *cutter = (Cutter *)job;

  if (cutter->part != NULL)
    g_string_free (cutter->part, TRUE);
  g_string_free (cutter->lines, TRUE);
  g_free (cutter->ends);
  g_array_unref (cutter->ranges);
}

CfJob *
cf_split_begin (CfConfig *config)
{
  static const CfJobClass class = { cut_step, cut_free };
  Cutter *cutter = g_new0 (Cutter, 1);

  cutter->job.class = &class;
  cutter->job.config = cf_ref (config);
  cutter->job.manifest = cf_manifest_new (config);
  cutter->lines = g_string_new (NULL);
  cutter->ends = g_new (gsize, config->blocks->len);
  cutter->ranges = g_array_new (FALSE, FALSE, sizeof (Range));
  return &cutter->job;
}

CfManifest *
cf_split (const CfConfig *config)
{
  g_autoptr (CfJob) job = cf_split_begin ((CfConfig *)config);

  cf_job_run (job, NULL);
  return cf_job_take_manifest (job);
}
