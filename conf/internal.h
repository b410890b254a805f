/* internal.h - what the sources of conf share

   Each section of a configuration is described by a table of fields, from
   which rows are read, written, freed and compared.  */

#ifndef CF_INTERNAL_H
#define CF_INTERNAL_H

#include "conf/conf.h"

#include <json-c/json.h>
#include <stddef.h>

#define CF_TEXT_MAX_BYTES 128
/* Steps count a row of a section as so many blocks.  */
#define CF_SECTION_ROW_COST 8
#define CF_PER_S_MAX 1000000000
#define CF_TIME_MAX_MS INT64_C (4102444800000) /* 2100-01-01 */

typedef enum
{
  CF_FIELD_NAME,   /* char *, cf_is_name */
  CF_FIELD_TEXT,   /* char *, no control characters */
  CF_FIELD_PREFIX, /* char *, path prefix */
  CF_FIELD_U32,
  CF_FIELD_U64,
  CF_FIELD_I64,
  CF_FIELD_TIME,   /* int64_t, ms since 1970 */
  CF_FIELD_BOOL,   /* gboolean */
  CF_FIELD_WORD,   /* enum, index into words */
  CF_FIELD_SHA256, /* uint8_t[32] */
  CF_FIELD_NAMES,  /* GPtrArray of char * */
  CF_FIELD_ROWS,   /* GPtrArray of rows */
} CfFieldType;

typedef struct CfSchema CfSchema;

typedef struct
{
  const char *name;
  CfFieldType type;
  size_t offset;
  gboolean optional;
  int64_t min; /* numbers; arrays: fewest members */
  int64_t max; /* numbers; arrays: most members */
  const char *const *words;
  const CfSchema *rows;
} CfField;

struct CfSchema
{
  const char *section;
  const char *noun;  /* "customer" */
  size_t offset;     /* of the GPtrArray in its owner */
  size_t size_bytes; /* of a row */
  const CfField *fields;
  uint32_t field_count;
  uint32_t identity_count; /* so many first fields tell rows apart */
};

/* Scalar fields of the document itself, and its sections but for blocks.  */
extern const CfSchema cf_document_schema;
extern const CfSchema *const cf_sections[];
extern const uint32_t cf_section_count;

const CfSchema *cf_find_section (const char *name, size_t length);
GPtrArray *cf_rows (const CfConfig *config, const CfSchema *schema);

void *cf_row_new (const CfSchema *schema);
void cf_row_free (const CfSchema *schema, void *row);
/* Text of the fields that tell ROW apart.  */
char *cf_row_identity (const CfSchema *schema, const void *row);

/* Reads OBJECT into ROW, which cf_row_new has made.  PATH is for messages.  */
gboolean cf_row_read (const CfSchema *schema, struct json_object *object,
                      void *row, const char *path, GError **error);
/* The checks of cf_row_read, for a row that a program has made.  The message
   begins with the field.  */
gboolean cf_row_check (const CfSchema *schema, const void *row,
                       GError **error);
/* Appends ROW as a JSON object.  */
void cf_row_write (const CfSchema *schema, const void *row, GString *out);
void cf_field_write (const CfField *field, const void *row, GString *out);
void cf_string_write (const char *text, GString *out);

/* Reads the scalar FIELD of the document; FALSE if it is malformed.  */
gboolean cf_field_read (const CfField *field, struct json_object *value,
                        void *row, const char *path, GError **error);

int cf_block_compare (const void *a, const void *b);
/* Appends the text of cf_format_block.  */
void cf_block_write (const CfBlock *block, GString *out);

/* Blocks in the order of the document, with regions numbered as they come;
   the regions section may follow later.  */
typedef struct
{
  GHashTable *numbers; /* region name -> number + 1 */
  GPtrArray *names;    /* char * by number */
  gboolean unordered;
} CfBlockReader;

void cf_block_reader_init (CfBlockReader *reader);
void cf_block_reader_clear (CfBlockReader *reader);
/* CIDR and REGION need no terminating NUL.  */
gboolean cf_block_add (CfBlockReader *reader, CfConfig *config,
                       const char *cidr, size_t cidr_length,
                       const char *region, size_t region_length,
                       GError **error);
/* Replaces the reader's numbers by indexes into CONFIG's regions.  */
gboolean cf_block_resolve (CfBlockReader *reader, CfConfig *config,
                           GError **error);

/* The four kinds of job.  */
typedef struct
{
  CfJobStatus (*step) (CfJob *job, uint32_t rows_max, GError **error);
  void (*free) (CfJob *job);
} CfJobClass;

struct CfJob
{
  const CfJobClass *class;
  CfConfig *config;     /* read, join: made; write, cut: given */
  CfManifest *manifest; /* cut: made */
  GString *text;        /* write: made */
};

CfManifest *cf_manifest_new (const CfConfig *config);
void cf_manifest_add (CfManifest *manifest, char *name, GBytes *content);

/* Runs JOB to its end; FALSE on failure.  */
gboolean cf_job_run (CfJob *job, GError **error);

#endif
