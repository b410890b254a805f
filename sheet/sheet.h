/* sheet.h - the configuration as a CSV sheet

   SYNOPSIS
     ShOptions opts = { .today = "2026-12-04", .last_date = "2026-12-03" };
     g_autoptr (GPtrArray) problems = NULL;
     CfConfig *config = sh_parse (text, length, &opts, &problems);

   DESCRIPTION
     A sheet is exported from a spreadsheet and holds the whole configuration:
     a header row, one row for each customer, key, service, route, region,
     zone, link, block, drain and shift, one with the date of the sheet, and a
     last row with the number of rows.  All problems are reported at once.  A
     sheet with a problem gives no configuration.
     docs/man/comfreywalk-sheet.5 describes the columns.

   ERRORS
     An ShProblem has the row, the column and one of the codes below.  Messages
     never contain the sha256 column, in case it holds a plain key.  */

#ifndef SH_SHEET_H
#define SH_SHEET_H

#include "conf/conf.h"

#define SH_FILE_MAX_BYTES (64 * 1024 * 1024)
/* Further problems are not listed.  */
#define SH_PROBLEMS_MAX 1000

typedef enum
{
  SH_ERROR_ENCODING,      /* not UTF-8, or a NUL byte */
  SH_ERROR_SYNTAX,        /* unbalanced quotes */
  SH_ERROR_HEADER,        /* a column is missing, moved or unknown */
  SH_ERROR_COLUMNS,       /* a row has too few or too many cells */
  SH_ERROR_KIND,          /* unknown kind of row */
  SH_ERROR_MISSING,       /* a required cell or row is missing */
  SH_ERROR_UNEXPECTED,    /* a cell that the kind does not use is not empty */
  SH_ERROR_NAME,          /* not 1 to 63 bytes of [a-z0-9-], or not a path
                              or an address block */
  SH_ERROR_KEYWORD,       /* not one of the keywords allowed */
  SH_ERROR_NUMBER,        /* not a number, or too many decimals */
  SH_ERROR_DECIMAL_COMMA, /* a comma in a number */
  SH_ERROR_RANGE,         /* a number out of range, or too many keys */
  SH_ERROR_TIME,          /* not a time, or an end before its start */
  SH_ERROR_TIME_ZONE,     /* a time without Z or a UTC offset */
  SH_ERROR_DATE,          /* sheet row missing or repeated; date invalid or
                             in the future */
  SH_ERROR_OLD_SHEET,     /* older than today or than the current sheet */
  SH_ERROR_TRUNCATED,     /* the end row is missing */
  SH_ERROR_COUNT,         /* wrong number in the end row, or rows after it */
  SH_ERROR_DUPLICATE,     /* two rows for the same object */
  SH_ERROR_REFERENCE,     /* a name without a row, or a link within a region */
  SH_ERROR_KEY,           /* not a SHA-256 in hex: perhaps a plain key */
  SH_ERROR_KEY_REVOKED,   /* a revoked key would be valid again */
  SH_ERROR_KEY_MISSING,   /* an active key has no row */
  SH_ERROR_DRAIN_CAPACITY, /* drains leave too little capacity */
  SH_ERROR_RATE_CAPACITY,  /* rates above the capacity of all regions */
  SH_ERROR_SHIFT_CONFLICT, /* shifts contradict each other */
  SH_ERROR_TOO_MANY,       /* problems after SH_PROBLEMS_MAX are not listed,
                              or the file or its list of blocks is too long */
} ShError;

typedef struct
{
  ShError code;
  uint32_t row;      /* the header is row 1; 0: the whole file */
  uint32_t column;   /* from 1; 0: the whole row */
  const char *field; /* name of the column, or NULL */
  char *message;     /* without row and column */
} ShProblem;

typedef struct
{
  const char *today;       /* date that the sheet must have: "2026-12-04" */
  const char *last_date;   /* of the current sheet, that is the one applied
                              last; NULL or "": none */
  const CfConfig *current; /* configuration in force, whose keys are compared
                              with those of the sheet; NULL: none */
} ShOptions;

/* Returns a configuration of version 0 with sheet_date set.  On error returns
   NULL and sets PROBLEMS to an array of ShProblem, ordered by row.  Free the
   configuration with cf_unref, the array with g_ptr_array_unref.  */
CfConfig *sh_parse (const char *text, gsize length, const ShOptions *options,
                    GPtrArray **problems);

/* Returns "row 7, column 14 (rate_per_s): ...".  Free with g_free.  */
char *sh_format_problem (const ShProblem *problem);

/* Returns the name of CODE that users see, such as "decimal-comma".  */
const char *sh_error_name (ShError code);

/* Parses an RFC 3339 time with Z or a UTC offset into ms since 1970.  A space
   may replace the T, and the seconds may be omitted.  On error returns FALSE
   and sets CODE to SH_ERROR_TIME or SH_ERROR_TIME_ZONE.  */
gboolean sh_parse_time (const char *text, int64_t *time_ms, ShError *code);

#endif
