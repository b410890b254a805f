/* internal.h - declarations shared by the sources of sheet/  */

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
  uint32_t number;                 /* the header is row 1 */
  uint32_t cell_count;             /* including cells beyond the last column */
  uint32_t cells[SH_COLUMN_COUNT]; /* offsets into text */
  char *text;                      /* the cells, each with a final NUL */
} ShRow;

typedef struct
{
  const ShOptions *options;
  CfConfig *config;
  GPtrArray *problems;
  GPtrArray *rows; /* ShRow; header, block and end rows are not kept */
  /* "kind name" (for a key "key customer/name"), "sheet" or
     "sha256 digest" -> row number.  */
  GHashTable *row_by_id;
  /* Customer, drain or shift of config -> row number.  */
  GHashTable *row_by_object;
  GArray *block_rows; /* uint32_t, row numbers of config->blocks */
  /* Until sh_finish_blocks CfBlock.region is an index into these names, since
     regions may follow the blocks in the sheet.  */
  GPtrArray *block_region_names;
  uint32_t row_count;      /* including the header and blank rows */
  uint32_t data_row_count; /* between header and end, not blank */
  uint32_t end_row;        /* 0: not seen */
  gboolean header_valid;
  gboolean capacity_unknown; /* a region or zone row may be invalid */
} ShSheet;

/* Adds a problem.  COLUMN is SH_COLUMN_COUNT for a whole row.  After
   SH_PROBLEMS_MAX problems adds one SH_ERROR_TOO_MANY and ignores the rest. */
G_GNUC_PRINTF (5, 6)
void sh_report_problem (ShSheet *sheet, ShError code, uint32_t row,
                        ShColumn column, const char *format, ...);

const char *sh_cell (const ShRow *row, ShColumn column);

/* Parses TEXT.  Checks the header, reads block and end rows and keeps the
   others for sh_read_rows.  */
void sh_parse_csv (ShSheet *sheet, const char *text, gsize length);

/* Reports an unknown kind, missing cells and cells that the kind of row does
   not use.  Returns FALSE if the row cannot be read.  */
gboolean sh_check_cells (ShSheet *sheet, const ShRow *row);
/* Reads the kept rows kind by kind, so that names are known before they are
   referred to.  */
void sh_read_rows (ShSheet *sheet);
void sh_read_block_row (ShSheet *sheet, const ShRow *row);
void sh_read_end_row (ShSheet *sheet, const ShRow *row);
/* Resolves the regions of blocks, sorts blocks and reports duplicates.  */
void sh_finish_blocks (ShSheet *sheet);

/* The functions that read a cell report an invalid one and return FALSE.  For
   an empty cell they return FALSE only, since sh_check_cells reports it if it
   is required.  */

/* Sets NUMBER to the cell times SCALE, a power of 10.  SCALE sets how many
   decimals are allowed; MIN and MAX bound NUMBER.  */
gboolean sh_read_number (ShSheet *sheet, const ShRow *row, ShColumn column,
                         int64_t scale, int64_t min, int64_t max,
                         int64_t *number);
gboolean sh_read_time (ShSheet *sheet, const ShRow *row, ShColumn column,
                       int64_t *time_ms);
/* Sets INDEX to the position of the cell in KEYWORDS, which ends with NULL. */
gboolean sh_read_keyword (ShSheet *sheet, const ShRow *row, ShColumn column,
                          const char *const *keywords, int *index);
gboolean sh_read_name (ShSheet *sheet, const ShRow *row, ShColumn column);
/* Checks that the cell names a row of KIND.  */
gboolean sh_read_reference (ShSheet *sheet, const ShRow *row, ShColumn column,
                            const char *kind);

void sh_read_sheet_row (ShSheet *sheet, const ShRow *row);
/* Adds the key of ROW to its customer.  */
void sh_add_key (ShSheet *sheet, const ShRow *row);
/* Reports active keys of the current configuration that have no row although
   their customer has one.  */
void sh_check_missing_keys (ShSheet *sheet);

/* Checks that there are a region, a service and a customer, that each region
   has a zone, and that capacities, rates, drains and shifts do not contradict
   each other.  */
void sh_check_plan (ShSheet *sheet);

#endif
