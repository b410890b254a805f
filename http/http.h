/* http.h - HTTP/1.1 header lists and message framing

   SYNOPSIS
     g_autoptr (HtHeaders) headers = ht_headers_new ();
     ht_headers_add (headers, "Accept", "text/plain");
     const char *value = ht_headers_get (headers, "accept");

     HtHead head;
     if (ht_parse_request (bytes, length, &head, &error)) ...
     ht_head_clear (&head);

   DESCRIPTION
     A header list keeps order and duplicates; names compare without case.
     The parsers take a complete head, that is everything up to and with the
     empty line, and accept only what RFC 9112 lets a sender generate: no
     obs-fold, no bare CR or LF, no NUL, no space before a colon, one
     Content-Length and no Transfer-Encoding but a single "chunked".

     A chunk decoder is fed any number of bytes at a time.

   ERRORS
     HT_ERROR_SYNTAX    the head or a chunk is malformed
     HT_ERROR_FRAMING   the length of the body is given in conflicting ways
     HT_ERROR_METHOD    the method is unknown or not served
     HT_ERROR_HOST      Host is missing, doubled or malformed
     HT_ERROR_TARGET    the request target is not in origin form
     HT_ERROR_VERSION   the version is neither HTTP/1.0 nor HTTP/1.1
     HT_ERROR_LIMIT     too many headers, or a target that is too long  */

#ifndef HT_HTTP_H
#define HT_HTTP_H

#include <glib.h>
#include <stdint.h>

#define HT_HEAD_MAX_BYTES (16 * 1024)
#define HT_HEADERS_MAX_COUNT 100
#define HT_TARGET_MAX_BYTES (8 * 1024)

#define HT_ERROR (ht_error_quark ())

typedef enum
{
  HT_ERROR_SYNTAX,
  HT_ERROR_FRAMING,
  HT_ERROR_METHOD,
  HT_ERROR_HOST,
  HT_ERROR_TARGET,
  HT_ERROR_VERSION,
  HT_ERROR_LIMIT,
} HtError;

typedef struct
{
  char *name;
  char *value;
} HtHeader;

typedef struct
{
  HtHeader *items;
  uint32_t count;
  uint32_t capacity;
} HtHeaders;

typedef enum
{
  HT_BODY_NONE,    /* a request without a body */
  HT_BODY_LENGTH,  /* Content-Length */
  HT_BODY_CHUNKED, /* Transfer-Encoding: chunked */
  HT_BODY_CLOSE,   /* an answer that ends with its connection */
} HtBody;

typedef struct
{
  char *method;    /* request only */
  char *target;    /* request only; path and query as they were sent */
  uint32_t status; /* answer only */
  uint32_t minor_version;
  HtHeaders *headers;
  HtBody body;
  uint64_t length_bytes; /* of the body, with HT_BODY_LENGTH */
  gboolean keep_alive;   /* the sender keeps the connection open */
} HtHead;

GQuark ht_error_quark (void);

HtHeaders *ht_headers_new (void);
HtHeaders *ht_headers_copy (const HtHeaders *headers);
void ht_headers_free (HtHeaders *headers);
void ht_headers_add (HtHeaders *headers, const char *name, const char *value);
/* Removes every header of that name, then adds one.  */
void ht_headers_set (HtHeaders *headers, const char *name, const char *value);
/* First value of NAME, or NULL.  */
const char *ht_headers_get (const HtHeaders *headers, const char *name);
uint32_t ht_headers_count (const HtHeaders *headers, const char *name);
/* Returns how many were removed.  */
uint32_t ht_headers_remove (HtHeaders *headers, const char *name);
void ht_headers_remove_at (HtHeaders *headers, uint32_t index);

/* Removes Connection and every header that it names, Keep-Alive,
   Proxy-Connection, TE, Trailer, Transfer-Encoding and Upgrade.  */
void ht_remove_hop_by_hop (HtHeaders *headers);

/* Whether TOKEN stands in the comma-separated lists of all headers NAME.  */
gboolean ht_has_token (const HtHeaders *headers, const char *name,
                       const char *token);
gboolean ht_is_token (const char *text);
/* Whether TEXT may stand as a header's value.  */
gboolean ht_is_value (const char *text);

/* Length of the head at the start of BYTES with its empty line; 0 while it is
   incomplete.  Searches from FROM_BYTES, for input that arrives in pieces.  */
gsize ht_head_length (const char *bytes, gsize length, gsize from_bytes);

gboolean ht_parse_request (const char *bytes, gsize length, HtHead *head,
                           GError **error);
/* REQUEST_METHOD decides whether the answer has a body.  */
gboolean ht_parse_answer (const char *bytes, gsize length,
                          const char *request_method, HtHead *head,
                          GError **error);
void ht_head_clear (HtHead *head);

/* HtHead.status is one that never has a body.  */
gboolean ht_is_bodiless (uint32_t status);
const char *ht_reason (uint32_t status);

typedef struct
{
  uint8_t state;
  uint8_t digit_count;
  uint32_t trailer_bytes;
  uint64_t left_bytes;  /* of the current chunk */
  uint64_t total_bytes; /* of the body so far */
} HtChunked;

typedef enum
{
  HT_CHUNK_MORE,
  HT_CHUNK_DONE,
  HT_CHUNK_INVALID,
} HtChunkResult;

/* Consumes bytes up to the end of the body at most and sets USED_BYTES.
   Decoded bytes are appended to BODY unless it is NULL.  A zeroed HtChunked
   is the start.  Trailer fields are checked and dropped.  */
HtChunkResult ht_chunk_feed (HtChunked *chunked, const char *bytes,
                             gsize length, gsize *used_bytes,
                             GByteArray *body);

G_DEFINE_AUTOPTR_CLEANUP_FUNC (HtHeaders, ht_headers_free)
G_DEFINE_AUTO_CLEANUP_CLEAR_FUNC (HtHead, ht_head_clear)

#endif
