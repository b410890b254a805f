/* internal.h - declarations shared by the sources of conf

   Each section of a configuration is described by a table of fields, by which
   its rows are read, written, checked, freed and compared.  */

#ifndef CF_INTERNAL_H
#define CF_INTERNAL_H

#include "conf/conf.h"

#include <json-c/json.h>
#include <stddef.h>

#define CF_TEXT_MAX_BYTES 128
/* A block counts as one row in a step.  A row of another section takes longer
   and counts as this many.  */
#define CF_SECTION_ROW_COST 8
#define CF_PER_S_MAX 1000000000
#define CF_TIME_MAX_MS INT64_C (4102444800000) /* 2100-01-01 */

/* The texts come first, up to CF_FIELD_PREFIX; cf_row_new and cf_row_free rely
   on that.  */
typedef enum
{
  CF_FIELD_NAME,   /* char *, cf_is_name */
  CF_FIELD_TEXT,   /* char *, no control characters */
  CF_FIELD_PREFIX, /* char *, cf_is_prefix */
  CF_FIELD_U32,
  CF_FIELD_U64,
  CF_FIELD_I64,
  CF_FIELD_TIME,   /* int64_t, ms since 1970 */
  CF_FIELD_BOOL,   /* gboolean */
  CF_FIELD_ENUM,   /* enum, written as enum_names[value] */
  CF_FIELD_SHA256, /* uint8_t[32] */
  CF_FIELD_NAMES,  /* GPtrArray of char * */
  CF_FIELD_ROWS,   /* GPtrArray of rows of row_schema */
} CfFieldType;

typedef struct CfSchema CfSchema;

typedef struct
{
  const char *name;
  CfFieldType type;
  size_t offset; /* in the row */
  gboolean optional;
  int64_t min; /* of a number, or of the length of an array */
  int64_t max; /* of a number, or of the length of an array */
  const char *const *enum_names;
  const CfSchema *row_schema;
} CfField;

struct CfSchema
{
  const char *section;   /* such as "customers" */
  const char *type_name; /* of one row in messages, such as "customer" */
  size_t offset;         /* of the GPtrArray in CfConfig */
  size_t size_bytes;     /* of a row */
  const CfField *fields;
  uint32_t field_count;
  uint32_t identity_field_count; /* leading fields that identify a row */
};

/* Scalar fields of the document, and its sections except blocks.  */
extern const CfSchema cf_document_schema;
extern const CfSchema *const cf_sections[];
extern const uint32_t cf_section_count;

const CfSchema *cf_find_section (const char *name, size_t length);
GPtrArray *cf_section_rows (const CfConfig *config, const CfSchema *schema);

void *cf_row_new (const CfSchema *schema);
void cf_row_free (const CfSchema *schema, void *row);
/* Returns the identity field of ROW, or two of them as "A -> B"; the caller
   frees it.  */
char *cf_row_identity (const CfSchema *schema, const void *row);

/* Reads OBJECT into ROW, a result of cf_row_new.  PATH is used in messages. */
gboolean cf_row_read (const CfSchema *schema, struct json_object *object,
                      void *row, const char *path, GError **error);
/* Applies the checks of cf_row_read to a row that a program has built.  The
   message begins with the name of the field.  */
gboolean cf_row_check (const CfSchema *schema, const void *row,
                       GError **error);
/* Append to OUT as JSON.  */
void cf_row_write (const CfSchema *schema, const void *row, GString *out);
void cf_field_write (const CfField *field, const void *row, GString *out);
void cf_string_write (const char *text, GString *out);

/* Reads VALUE into FIELD of ROW; returns FALSE if it is malformed.  */
gboolean cf_field_read (const CfField *field, struct json_object *value,
                        void *row, const char *path, GError **error);

int cf_block_compare (const void *a, const void *b);
/* Appends BLOCK in the format of cf_format_block.  */
void cf_block_write (const CfBlock *block, GString *out);

/* Reads blocks in the order of the document.  The regions may follow the
   blocks, so a block's region is at first a number, given to the names of
   regions in the order in which they appear.  */
typedef struct
{
  GHashTable *region_numbers; /* name -> number + 1, never 0 (NULL) */
  GPtrArray *region_names;    /* char * by number */
  gboolean unordered;         /* a block came after one of a higher address */
} CfBlockReader;

void cf_block_reader_init (CfBlockReader *reader);
void cf_block_reader_clear (CfBlockReader *reader);
/* Appends a block to CONFIG.  CIDR and REGION need no terminating NUL.  */
gboolean cf_block_reader_add (CfBlockReader *reader, CfConfig *config,
                              const char *cidr, size_t cidr_length,
                              const char *region, size_t region_length,
                              GError **error);
/* Replaces the numbers of regions in CONFIG's blocks by indexes into CONFIG's
   regions.  */
gboolean cf_block_reader_resolve (CfBlockReader *reader, CfConfig *config,
                                  GError **error);

/* Methods of one of the four kinds of job; free may be NULL.  */
typedef struct
{
  CfJobStatus (*step) (CfJob *job, uint32_t rows_max, GError **error);
  void (*free) (CfJob *job);
} CfJobClass;

struct CfJob
{
  const CfJobClass *class;
  CfConfig *config;     /* output of read and join, input of write and split */
  CfManifest *manifest; /* output of split */
  GString *text;        /* output of write */
};

/* Returns a manifest of CONFIG that has no parts yet.  */
CfManifest *cf_manifest_new (const CfConfig *config);
/* Takes ownership of NAME and CONTENT.  */
void cf_manifest_add_part (CfManifest *manifest, char *name, GBytes *content);

/* Runs JOB to its end; returns FALSE on failure.  */
gboolean cf_job_run (CfJob *job, GError **error);

#endif
