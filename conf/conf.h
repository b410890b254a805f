/* conf.h - configuration of the fleet

   SYNOPSIS
     g_autoptr (GError) error = NULL;
     CfConfig *config = cf_from_json (text, length, &error);
     const CfCustomer *customer = cf_find_customer (config, "c1");
     cf_unref (config);

   DESCRIPTION
     A CfConfig is reference counted, and immutable once it is in force.
     Arrays hold rows of the type in the comment, in the order of the document.
     Names are unique within an array; so are the prefixes of routes, the two
     regions of links and the ids of a customer's keys.  Versions only
   increase. Points in time are milliseconds since 1970.

     A document is sent and stored as a manifest, which lists the SHA-256 and
     size of each part, and the parts, each of at most CF_PART_MAX_BYTES.  A
     part holds rows of one section or, for blocks, one range of addresses, so
     that a change of one row changes one part, or two where the change splits
     or merges a range.

     Reading, writing, splitting or joining 190,000 blocks in one call would
     delay other events of an event loop for too long.  Each of the four can
     therefore also be run as a job, in steps of a bounded number of rows.

   ERRORS
     CF_ERROR_SYNTAX     the text is not JSON; the message has line and column,
                         for a manifest the byte
     CF_ERROR_FIELD      a field is unknown, missing or of the wrong type; the
                         message has its path
     CF_ERROR_REFERENCE  a name refers to an object that does not exist
     CF_ERROR_RANGE      a value is outside its range or not in its format
     CF_ERROR_DUPLICATE  a name, a block or a key's SHA-256 occurs twice
     CF_ERROR_PART       a part is missing, is malformed or does not have the
                         size in the manifest
     Messages never contain the value of a key field, in case an operator wrote
     a plain key there.  */

#ifndef CF_CONF_H
#define CF_CONF_H

#include <glib.h>
#include <stdint.h>

#define CF_NAME_MAX_BYTES 63
#define CF_SHA256_BYTES 32
#define CF_PART_MAX_BYTES (16 * 1024)
/* A customer with all its keys must fit into one part.  */
#define CF_KEYS_MAX 64
#define CF_ZONES_MAX 64
#define CF_PREFIX_MAX_BYTES 1024
#define CF_ROWS_MAX 1000000
/* Rows of a section other than blocks.  One step checks them all, so more
   would delay other events.  */
#define CF_SECTION_ROWS_MAX 5000

#define CF_ERROR (cf_error_quark ())

typedef enum
{
  CF_ERROR_SYNTAX,
  CF_ERROR_FIELD,
  CF_ERROR_REFERENCE,
  CF_ERROR_RANGE,
  CF_ERROR_DUPLICATE,
  CF_ERROR_PART,
} CfError;

typedef struct
{
  char *id;
  uint8_t sha256[CF_SHA256_BYTES];
  gboolean withdrawn; /* revoked by an operator */
} CfKey;

typedef struct
{
  char *name;
  uint32_t weight;     /* in the fair queue; default: rate_per_s */
  uint32_t rate_per_s; /* requests */
  uint32_t burst;      /* requests */
  GPtrArray *keys;     /* CfKey */
} CfCustomer;

typedef struct
{
  char *name; /* also its name in the platform's list of services */
} CfService;

typedef struct
{
  char *prefix; /* path prefix, starts with a slash */
  char *service;
  gboolean open;       /* no key required */
  gboolean idempotent; /* for all methods, not only GET and HEAD */
} CfRoute;

typedef struct
{
  char *name;
  GPtrArray *zones;        /* char * */
  uint32_t capacity_per_s; /* requests, all its targets; 0: unknown */
} CfRegion;

typedef struct
{
  char *from; /* region */
  char *to;   /* region */
  uint32_t mbit_per_s;
  uint32_t delay_us; /* one way */
} CfLink;

typedef struct
{
  uint8_t address[16]; /* IPv4 as ::ffff:a.b.c.d */
  uint8_t prefix_bits; /* of 128; for IPv4 96 and more */
  uint16_t region;     /* index into regions */
} CfBlock;

typedef enum
{
  CF_DRAIN_TARGET,
  CF_DRAIN_VM,
  CF_DRAIN_ZONE,
  CF_DRAIN_REGION,
} CfDrainKind;

/* A planned time in which an object takes no new requests.  */
typedef struct
{
  char *name;
  CfDrainKind kind;
  char *object; /* name of the target, VM, zone or region */
  int64_t start_ms;
  int64_t end_ms;
} CfDrain;

/* A planned time in which a region sends a fraction of the requests for a
   service to another region.  */
typedef struct
{
  char *name;
  char *service;
  char *from; /* region */
  char *to;   /* region */
  int64_t start_ms;
  int64_t end_ms;
  int64_t ramp_ms; /* time from start_ms until share_permille is reached */
  uint32_t share_permille;
  uint32_t cap_per_s; /* most requests to move, in the whole fleet */
} CfShift;

typedef struct
{
  int ref_count;
  uint64_t version;
  char *op_id;  /* operation that wrote this version */
  char *author; /* operator who wrote it */
  int64_t written_ms;
  char *sheet_date;     /* of the sheet applied last, "2026-12-04", or "" */
  GPtrArray *customers; /* CfCustomer */
  GPtrArray *services;  /* CfService */
  GPtrArray *routes;    /* CfRoute */
  GPtrArray *regions;   /* CfRegion */
  GPtrArray *links;     /* CfLink */
  GPtrArray *drains;    /* CfDrain */
  GPtrArray *shifts;    /* CfShift */
  GArray *blocks;       /* CfBlock, ordered by address and prefix_bits */
} CfConfig;

typedef struct
{
  char *name; /* "customers/0"; for blocks "blocks/10.0.0.0/8" */
  char sha256[2 * CF_SHA256_BYTES + 1];
  uint32_t size_bytes;
  GBytes *content; /* NULL until fetched */
} CfPart;

typedef struct
{
  uint64_t version;
  char *op_id;
  char *author;
  int64_t written_ms;
  char *sheet_date;
  GPtrArray *parts; /* CfPart */
} CfManifest;

GQuark cf_error_quark (void);

/* Returns an empty configuration of version 0.  */
CfConfig *cf_new (void);
CfConfig *cf_ref (CfConfig *config);
void cf_unref (CfConfig *config);

/* Reads a whole document, JSON with // and C comments; cf_to_json writes one.
   cf_from_json checks references, ranges and duplicates, as cf_check does.  */
CfConfig *cf_from_json (const char *text, gsize length, GError **error);
char *cf_to_json (const CfConfig *config);
gboolean cf_check (const CfConfig *config, GError **error);
/* Returns CONFIG as the body of POST /v1/config: its op_id and author, and its
   version - 1 as base version.  */
char *cf_change_to_json (const CfConfig *config);

/* Splits CONFIG into parts, with their content set.  */
CfManifest *cf_split (const CfConfig *config);
/* Joins the parts to a configuration; every part must have its content.  */
CfConfig *cf_join (const CfManifest *manifest, GError **error);
CfManifest *cf_manifest_from_json (const char *text, gsize length,
                                   GError **error);
char *cf_manifest_to_json (const CfManifest *manifest);
void cf_manifest_free (CfManifest *manifest);
/* Sets the content of every part that has the SHA-256 of CONTENT; returns the
   number of these parts.  */
uint32_t cf_manifest_set_content (CfManifest *manifest, GBytes *content);

/* Shares the content of the parts that MANIFEST and KNOWN both list, without
   hashing it again; returns the number of parts of MANIFEST that still have no
   content.  KNOWN may be NULL.  */
uint32_t cf_manifest_reuse_parts (CfManifest *manifest,
                                  const CfManifest *known);

typedef struct CfJob CfJob;

typedef enum
{
  CF_JOB_RUNNING,
  CF_JOB_DONE,
  CF_JOB_FAILED,
} CfJobStatus;

/* Rows for each step on an event loop; 2,000 rows take about 1 ms.  */
#define CF_STEP_ROWS 2000

/* The begin functions return a job, to be freed with cf_job_free.  The job
   keeps a reference to its GBytes or CfConfig; a manifest must outlive its
   job.  */
CfJob *cf_read_begin (GBytes *text);
/* Reads an operator's change, {"op_id", "author", "base_version", "document"}.
   The configuration gets this op_id and author, and base_version + 1 as its
   version.  */
CfJob *cf_read_change_begin (GBytes *text);
CfJob *cf_write_begin (CfConfig *config);
CfJob *cf_split_begin (CfConfig *config);
CfJob *cf_join_begin (const CfManifest *manifest);

/* Runs JOB for about ROWS_MAX rows.  Sets ERROR on CF_JOB_FAILED.  */
CfJobStatus cf_job_step (CfJob *job, uint32_t rows_max, GError **error);

/* Return the result of a job that is done: the configuration of a read or
   join, the text of a write, the manifest of a split.  The caller owns it.
   LENGTH may be NULL.  */
CfConfig *cf_job_take_config (CfJob *job);
char *cf_job_take_text (CfJob *job, gsize *length);
CfManifest *cf_job_take_manifest (CfJob *job);
void cf_job_free (CfJob *job);

/* Overwrites comments with spaces, so that line and column numbers stay valid.
   TEXT must have a NUL after its LENGTH bytes.  */
void cf_blank_comments (char *text, gsize length);

/* Writes SHA256 as lower-case hex digits; HEX has room for 65 bytes.  */
void cf_format_sha256 (const uint8_t *sha256, char *hex);
gboolean cf_parse_sha256 (const char *hex, uint8_t *sha256);
/* Whether TEXT is 1 to 63 bytes of [a-z0-9-].  */
gboolean cf_is_name (const char *text);
/* Whether TEXT is a path of at most CF_PREFIX_MAX_BYTES, without query.  */
gboolean cf_is_prefix (const char *text);

/* Append a row and return it, for programs that build a configuration.  Its
   other texts and its arrays are empty, its other fields zero.  The array owns
   the row.  */
CfCustomer *cf_add_customer (CfConfig *config, const char *name);
CfKey *cf_add_key (CfCustomer *customer, const char *id);
CfService *cf_add_service (CfConfig *config, const char *name);
CfRoute *cf_add_route (CfConfig *config, const char *prefix,
                       const char *service);
CfRegion *cf_add_region (CfConfig *config, const char *name);
CfLink *cf_add_link (CfConfig *config, const char *from, const char *to);
CfDrain *cf_add_drain (CfConfig *config, const char *name, CfDrainKind kind,
                       const char *object);
CfShift *cf_add_shift (CfConfig *config, const char *name, const char *service,
                       const char *from, const char *to);
/* Return FALSE if there is none with NAME.  */
gboolean cf_remove_drain (CfConfig *config, const char *name);
gboolean cf_remove_shift (CfConfig *config, const char *name);
/* Sorts the blocks by address and prefix_bits, after a program has appended
   them in any order.  */
void cf_sort_blocks (CfConfig *config);

const CfCustomer *cf_find_customer (const CfConfig *config, const char *name);
const CfService *cf_find_service (const CfConfig *config, const char *name);
/* Returns the route whose prefix is the longest that matches whole segments of
   PATH, or NULL.  */
const CfRoute *cf_find_route (const CfConfig *config, const char *path);
/* Returns the index of the region of ZONE, or -1.  */
int cf_region_of_zone (const CfConfig *config, const char *zone);
const CfLink *cf_find_link (const CfConfig *config, const char *from,
                            const char *to);

/* CIDR is "10.1.0.0/16" or an IPv6 prefix.  */
gboolean cf_parse_block (const char *cidr, CfBlock *block, GError **error);
char *cf_format_block (const CfBlock *block);

/* Returns human-readable lines, one for each difference; none if the two are
   equal.  Keys are shown by their id only.  The caller frees the array with
   g_ptr_array_unref.  */
GPtrArray *cf_diff (const CfConfig *from, const CfConfig *to);

G_DEFINE_AUTOPTR_CLEANUP_FUNC (CfConfig, cf_unref)
G_DEFINE_AUTOPTR_CLEANUP_FUNC (CfManifest, cf_manifest_free)
G_DEFINE_AUTOPTR_CLEANUP_FUNC (CfJob, cf_job_free)

#endif
