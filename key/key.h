/* key.h - extract, look up and remove the API keys of customers

   SYNOPSIS
     g_autoptr (KyTable) table = ky_table_new (config);
     uint8_t digest[KY_DIGEST_BYTES];
     KyMatch match;
     if (ky_extract_digest (headers, digest, &error)
         && ky_lookup (table, digest, &match, &error))
       serve (match.customer);
     ky_strip (headers, path, &query, &error);

   DESCRIPTION
     A caller presents its key in "Authorization: Bearer KEY" or "X-Api-Key:
     KEY".  ky_extract_digest returns only the SHA-256 of the key; no error
     message of this module contains a key or a part of one.

     A table indexes the keys of one configuration by their digests.  The
     bucket depends only on the digest of the presented key, so that the
     choice reveals nothing about the stored keys; every digest in the bucket
     is compared in constant time.

     ky_strip removes everything that may contain a key, valid or not:
     Authorization, Proxy-Authorization and X-Api-Key in upper or lower case
     and with underscores for dashes; the query parameters key and api_key,
     also percent-encoded, repeated, or separated by semicolons; and any
     other header or parameter that contains a key presented as a Bearer
     token or in X-Api-Key, plain, percent-encoded or in base64.  Keys
     shorter than 8 bytes are matched as whole words only.  X-Customer is
     removed too, since only the daemon may set it.

   ERRORS
     KY_ERROR_MISSING      no key was presented
     KY_ERROR_CONFLICT     two different keys were presented
     KY_ERROR_MALFORMED    the key is empty, too long or has an invalid byte
     KY_ERROR_UNKNOWN      no customer has this key
     KY_ERROR_REVOKED      the key has been revoked (withdrawn in CfKey)
     KY_ERROR_KEY_IN_PATH  the path contains a key, which cannot be removed  */

#ifndef KY_KEY_H
#define KY_KEY_H

#include <glib.h>
#include <stdint.h>

#include "conf/conf.h"
#include "http/http.h"

#define KY_DIGEST_BYTES CF_SHA256_BYTES
#define KY_KEY_MAX_BYTES 256

#define KY_ERROR (ky_error_quark ())

typedef enum
{
  KY_ERROR_MISSING,
  KY_ERROR_CONFLICT,
  KY_ERROR_MALFORMED,
  KY_ERROR_UNKNOWN,
  KY_ERROR_REVOKED,
  KY_ERROR_KEY_IN_PATH,
} KyError;

typedef struct KyTable KyTable;

/* Both point into the configuration of the table.  */
typedef struct
{
  const CfCustomer *customer;
  const CfKey *key;
} KyMatch;

GQuark ky_error_quark (void);

/* CONFIG must outlive the table.  */
KyTable *ky_table_new (const CfConfig *config);
void ky_table_free (KyTable *table);

/* Finds the customer and key with DIGEST.  A digest that is revoked for any
   customer is refused, even if it is valid for another customer.  */
gboolean ky_lookup (const KyTable *table, const uint8_t *digest,
                    KyMatch *match, GError **error);

/* Writes the SHA-256 of the LENGTH bytes at KEY to DIGEST.  */
void ky_digest (const void *key, gsize length, uint8_t *digest);

/* Compares two digests in constant time.  */
gboolean ky_digest_equal (const uint8_t *a, const uint8_t *b);

/* Writes the digest of the key in HEADERS to DIGEST.  The same key may be
   presented more than once.  */
gboolean ky_extract_digest (const HtHeaders *headers, uint8_t *digest,
                            GError **error);

/* Removes every key from HEADERS and from *QUERY, the text after the question
   mark.  *QUERY may be NULL or a string that g_free can free; if a parameter
   is removed, *QUERY is freed and replaced, by NULL if none is left.  On
   KY_ERROR_KEY_IN_PATH the request must not be forwarded.  */
gboolean ky_strip (HtHeaders *headers, const char *path, char **query,
                   GError **error);

G_DEFINE_AUTOPTR_CLEANUP_FUNC (KyTable, ky_table_free)

#endif
