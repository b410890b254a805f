/* sheet.h - the planners' CSV sheet

   SYNOPSIS
     ShOptions opts = { .today = "2026-12-04", .last_date = "2026-12-03" };
     g_autoptr (GPtrArray) problems = NULL;
     CfConfig *config = sh_parse (text, length, &opts, &problems);

   DESCRIPTION
     A sheet states the whole configuration.  It has a header row, one row for
     each customer, key, service, route, region, zone, link, block, drain and
     shift, and a last row with the number of rows.  All faults are reported
     at once.  A sheet with a fault gives no configuration.
     docs/man/comfreywalk-sheet.5 describes the columns.

   ERRORS
     A fault is an ShProblem with row, column and one of the codes below.
     Messages never hold what stands in the sha256 column.  */

#ifndef SH_SHEET_H
#define SH_SHEET_H

#include "conf/conf.h"

#define SH_BYTES_MAX (64 * 1024 * 1024)
/* More faults than this are not reported one by one.  */
#define SH_PROBLEMS_MAX 1000

typedef enum
{
  SH_ERROR_ENCODING,       /* not UTF-8, or a NUL byte */
  SH_ERROR_SYNTAX,         /* quotes do not match */
  SH_ERROR_HEADER,         /* a column is missing, moved or unknown */
  SH_ERROR_COLUMNS,        /* a row is too short or too long */
  SH_ERROR_KIND,           /* no such kind of row */
  SH_ERROR_MISSING,        /* a cell that the kind needs is empty */
  SH_ERROR_UNEXPECTED,     /* a cell that the kind does not use is filled */
  SH_ERROR_NAME,           /* not 1 to 63 bytes of [a-z0-9-] */
  SH_ERROR_WORD,           /* none of the words allowed */
  SH_ERROR_NUMBER,         /* not a number */
  SH_ERROR_DECIMAL_COMMA,  /* a comma where a decimal point belongs */
  SH_ERROR_RANGE,          /* a number outside its range */
  SH_ERROR_TIME,           /* not a time, or an end before its start */
  SH_ERROR_TIME_ZONE,      /* a time without Z or an offset */
  SH_ERROR_DATE,           /* sheet row missing, twice or malformed */
  SH_ERROR_OLD_SHEET,      /* not of today, or older than the last one */
  SH_ERROR_CUT_OFF,        /* the end row is missing */
  SH_ERROR_COUNT,          /* the end row counts other rows, or is not last */
  SH_ERROR_DUPLICATE,      /* two rows for one thing */
  SH_ERROR_REFERENCE,      /* a name refers to no row */
  SH_ERROR_KEY,            /* not a SHA-256 in hex: perhaps a plain key */
  SH_ERROR_KEY_WITHDRAWN,  /* a withdrawn key would work again */
  SH_ERROR_KEY_MISSING,    /* a key in force has no row */
  SH_ERROR_DRAIN_CAPACITY, /* drains leave too little capacity */
  SH_ERROR_RATE_CAPACITY,  /* the rates are above what the regions carry */
  SH_ERROR_SHIFT_CONFLICT, /* shifts contradict each other */
  SH_ERROR_TOO_MANY,       /* faults after SH_PROBLEMS_MAX are not listed */
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
  const char *today;       /* "2026-12-04" */
  const char *last_date;   /* of the sheet in force; NULL or "": none */
  const CfConfig *current; /* in force; its keys are compared; or NULL */
} ShOptions;

/* Returns a configuration of version 0 with sheet_date set, or NULL and in
   PROBLEMS an array of ShProblem, ordered by row.  Free it with
   g_ptr_array_unref.  */
CfConfig *sh_parse (const char *text, gsize length, const ShOptions *options,
                    GPtrArray **problems);

/* "row 7, column 14 (rate_per_s): ...".  Free with g_free.  */
char *sh_format_problem (const ShProblem *problem);

/* Short name of CODE, such as "decimal-comma".  */
const char *sh_error_name (ShError code);

/* RFC 3339 time with Z or an offset, in ms since 1970.  FALSE sets CODE to
   SH_ERROR_TIME or SH_ERROR_TIME_ZONE.  */
gboolean sh_parse_time (const char *text, int64_t *time_ms, ShError *code);

#endif
