/* internal.h - what the sources of sheet share  */

#ifndef SH_INTERNAL_H
#define SH_INTERNAL_H

#include "sheet/sheet.h"

typedef enum
{
  SH_COLUMN_KIND,
  SH_COLUMN_NAME,
  SH_COLUMN_CUSTOMER,
  SH_COLUMN_SERVICE,
  SH_COLUMN_REGION,
  SH_COLUMN_FROM,
  SH_COLUMN_TO,
  SH_COLUMN_SCOPE,
  SH_COLUMN_OBJECT,
  SH_COLUMN_SHA256,
  SH_COLUMN_STATE,
  SH_COLUMN_ACCESS,
  SH_COLUMN_IDEMPOTENT,
  SH_COLUMN_RATE,
  SH_COLUMN_BURST,
  SH_COLUMN_WEIGHT,
  SH_COLUMN_CAPACITY,
  SH_COLUMN_MBIT,
  SH_COLUMN_DELAY,
  SH_COLUMN_START,
  SH_COLUMN_END,
  SH_COLUMN_RAMP,
  SH_COLUMN_SHARE,
  SH_COLUMN_CAP,
  SH_COLUMN_DATE,
  SH_COLUMN_ROWS,
  SH_COLUMN_COUNT,
} ShColumn;

extern const char *const sh_columns[SH_COLUMN_COUNT];

typedef struct
{
  uint32_t number;
  uint32_t cell_count;
  uint32_t cells[SH_COLUMN_COUNT]; /* offsets into text */
  char *text;
} ShRow;

typedef struct
{
  const ShOptions *options;
  CfConfig *config;
  GPtrArray *problems;
  GPtrArray *rows;     /* ShRow, without header, block and end rows */
  GHashTable *defined; /* "kind name" -> row number */
  GHashTable *row_of;  /* customer, drain, shift of config -> row number */
  GArray *block_rows;  /* uint32_t, by index into config->blocks */
  GPtrArray *block_regions; /* names; CfBlock.region is an index until the
                               end */
  uint32_t row_count;       /* records read, with the header */
  uint32_t data_count;      /* rows between header and end */
  uint32_t end_row;         /* 0: not seen */
  gboolean header_good;
  gboolean capacity_unknown; /* a region or zone row may be faulty */
} ShSheet;

/* COLUMN is SH_COLUMN_COUNT for a whole row.  */
G_GNUC_PRINTF (5, 6)
void sh_report (ShSheet *sheet, ShError code, uint32_t row, ShColumn column,
                const char *format, ...);

const char *sh_cell (const ShRow *row, ShColumn column);

/* Splits TEXT into rows, checks the header and hands rows on.  */
void sh_split (ShSheet *sheet, const char *text, gsize length);

/* Checks which cells are filled.  FALSE: the row is not used further.  */
gboolean sh_check_cells (ShSheet *sheet, const ShRow *row);
/* Reads the rows that were kept, names before their uses.  */
void sh_read_rows (ShSheet *sheet);
void sh_read_block (ShSheet *sheet, const ShRow *row);
void sh_read_end (ShSheet *sheet, const ShRow *row);
void sh_finish_blocks (ShSheet *sheet);

/* Cells; each reports what is wrong and returns FALSE.  An empty cell gives
   FALSE without a report: sh_check_cells has reported it.  */
gboolean sh_read_number (ShSheet *sheet, const ShRow *row, ShColumn column,
                         int64_t scale, int64_t min, int64_t max,
                         int64_t *number);
gboolean sh_read_time (ShSheet *sheet, const ShRow *row, ShColumn column,
                       int64_t *time_ms);
gboolean sh_read_word (ShSheet *sheet, const ShRow *row, ShColumn column,
                       const char *const *words, int *index);
gboolean sh_read_name (ShSheet *sheet, const ShRow *row, ShColumn column);
gboolean sh_read_reference (ShSheet *sheet, const ShRow *row, ShColumn column,
                            const char *kind);

void sh_read_sheet (ShSheet *sheet, const ShRow *row);
void sh_read_key (ShSheet *sheet, const ShRow *row);
/* Every active key in force of a customer that the sheet still has needs a
   row.  */
void sh_check_keys (ShSheet *sheet);

/* Capacities, rates, drains and shifts against each other.  */
void sh_check_plan (ShSheet *sheet);

#endif
