/* http.h - HTTP/1.1 header lists and message framing

   SYNOPSIS
     g_autoptr (HtHeaders) headers = ht_headers_new ();
     ht_headers_add (headers, "Accept", "text/plain");
     const char *value = ht_headers_get (headers, "accept");

     HtHead head;
     if (ht_parse_request (bytes, length, &head, &error)) ...
     ht_head_clear (&head);

   DESCRIPTION
     A header list keeps order and duplicates; names are compared without
     regard to case.  The parsers take a complete head, that is everything up
     to and including the empty line, and accept only what RFC 9112 lets a
     sender generate: no folded header lines (obs-fold), no bare CR or LF, no
     NUL, no space before a colon, at most one Content-Length, and no
     Transfer-Encoding except a single "chunked".

     The chunk decoder accepts its input in pieces of any size.

   ERRORS
     HT_ERROR_SYNTAX    the head or a chunk is malformed
     HT_ERROR_FRAMING   the length of the body is given in conflicting ways
     HT_ERROR_METHOD    the method is unknown or not supported
     HT_ERROR_HOST      Host is missing, duplicate or malformed
     HT_ERROR_REQUEST_TARGET
                        the request target is not in origin form
     HT_ERROR_VERSION   the version is neither HTTP/1.0 nor HTTP/1.1
     HT_ERROR_LIMIT     the head, the number of headers or the request target
                        is above its limit  */

#ifndef HT_HTTP_H
#define HT_HTTP_H

#include <glib.h>
#include <stdint.h>

#define HT_HEAD_MAX_BYTES (16 * 1024)
#define HT_HEADERS_MAX_COUNT 100
#define HT_REQUEST_TARGET_MAX_BYTES (8 * 1024)

#define HT_ERROR (ht_error_quark ())

typedef enum
{
  HT_ERROR_SYNTAX,
  HT_ERROR_FRAMING,
  HT_ERROR_METHOD,
  HT_ERROR_HOST,
  HT_ERROR_REQUEST_TARGET,
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
  uint32_t capacity; /* number of items allocated */
} HtHeaders;

typedef enum
{
  HT_BODY_NONE,    /* a request without a body */
  HT_BODY_LENGTH,  /* Content-Length */
  HT_BODY_CHUNKED, /* Transfer-Encoding: chunked */
  HT_BODY_CLOSE,   /* a response that ends when the connection closes */
} HtBodyFraming;

typedef struct
{
  char *method;         /* request only */
  char *request_target; /* request only; path and query as received */
  uint32_t status;      /* response only */
  uint32_t minor_version;
  HtHeaders *headers;
  HtBodyFraming body_framing;
  uint64_t content_length_bytes; /* value of Content-Length, else 0 */
  gboolean keep_alive;           /* the sender keeps the connection open */
} HtHead;

GQuark ht_error_quark (void);

HtHeaders *ht_headers_new (void);
HtHeaders *ht_headers_copy (const HtHeaders *headers);
void ht_headers_free (HtHeaders *headers);
void ht_headers_add (HtHeaders *headers, const char *name, const char *value);
/* Replaces all headers NAME by one.  */
void ht_headers_set (HtHeaders *headers, const char *name, const char *value);
/* First value of NAME, or NULL.  */
const char *ht_headers_get (const HtHeaders *headers, const char *name);
uint32_t ht_headers_count (const HtHeaders *headers, const char *name);
/* Returns the number of headers removed.  */
uint32_t ht_headers_remove (HtHeaders *headers, const char *name);
void ht_headers_remove_at (HtHeaders *headers, uint32_t index);

/* Removes Connection and every header that it lists, Keep-Alive,
   Proxy-Connection, TE, Trailer, Transfer-Encoding and Upgrade.  */
void ht_remove_hop_by_hop (HtHeaders *headers);

/* Whether TOKEN is an element of the comma-separated list in any header
   NAME.  */
gboolean ht_has_token (const HtHeaders *headers, const char *name,
                       const char *token);
/* Whether TEXT is a token of RFC 9110, as methods and header names are.  */
gboolean ht_is_token (const char *text);
/* Whether TEXT is a valid header value.  */
gboolean ht_is_header_value (const char *text);

/* Returns the length of the head at the start of BYTES, including the empty
   line, or 0 while the head is incomplete.  For input that arrives in pieces,
   SEARCHED_BYTES is the number of bytes that earlier calls have searched.  */
gsize ht_head_length (const char *bytes, gsize length, gsize searched_bytes);

gboolean ht_parse_request (const char *bytes, gsize length, HtHead *head,
                           GError **error);
/* The same, but also accepts a request without a Host line, as probes send
   it.  */
gboolean ht_parse_request_host_optional (const char *bytes, gsize length,
                                         HtHead *head, GError **error);
/* REQUEST_METHOD is that of the request: a response to HEAD has no body.  */
gboolean ht_parse_response (const char *bytes, gsize length,
                            const char *request_method, HtHead *head,
                            GError **error);
void ht_head_clear (HtHead *head);

/* Whether a response with STATUS never has a body.  */
gboolean ht_status_has_no_body (uint32_t status);
const char *ht_reason_phrase (uint32_t status);

typedef struct
{
  uint8_t state;
  uint8_t digit_count; /* of the current chunk size */
  uint32_t trailer_bytes;
  uint64_t left_bytes;  /* of the current chunk */
  uint64_t total_bytes; /* of the body so far */
} HtChunkDecoder;

typedef enum
{
  HT_CHUNK_MORE, /* the end of the body was not reached */
  HT_CHUNK_DONE,
  HT_CHUNK_INVALID,
} HtChunkResult;

/* Decodes BYTES, at most up to the end of the body, and sets USED_BYTES to the
   number of bytes consumed.  Decoded bytes are appended to BODY unless it is
   NULL.  Trailer fields are checked and dropped.  A zeroed HtChunkDecoder is
   ready for use.  */
HtChunkResult ht_chunk_decode (HtChunkDecoder *decoder, const char *bytes,
                               gsize length, gsize *used_bytes,
                               GByteArray *body);

G_DEFINE_AUTOPTR_CLEANUP_FUNC (HtHeaders, ht_headers_free)
G_DEFINE_AUTO_CLEANUP_CLEAR_FUNC (HtHead, ht_head_clear)

#endif
