/* key.h - customers' keys: finding, checking and removing them

   SYNOPSIS
     g_autoptr (KyTable) table = ky_table_new (config);
     uint8_t digest[KY_DIGEST_BYTES];
     KyMatch match;
     if (ky_find (headers, digest, &error)
         && ky_lookup (table, digest, &match, &error))
       serve (match.customer);
     ky_strip (headers, path, &query, &error);

   DESCRIPTION
     A caller presents its key in "Authorization: Bearer KEY" or "X-Api-Key:
     KEY".  Only the SHA-256 of a key leaves ky_find; no message of this
     package contains a key or a part of one.

     A table is an index over one configuration.  The bucket is chosen by
     the digest of the presented key, which tells nothing about the keys on
     record; every digest in the bucket is then compared in constant time.

     ky_strip removes what may carry a key, whether or not it is a valid one:
     Authorization, Proxy-Authorization and X-Api-Key under any spelling of
     case and with underscores for dashes; the query parameters key and
     api_key, also percent-encoded, repeated, or separated by semicolons;
     and any other header or parameter that contains a key presented by
     Bearer or X-Api-Key, plain, percent-encoded or in base64; keys shorter
     than 8 bytes only as whole words.  X-Customer is removed too, since only
     the daemon may set it.

   ERRORS
     KY_ERROR_MISSING    no key was presented
     KY_ERROR_CONFLICT   two different keys were presented
     KY_ERROR_MALFORMED  the key is empty, too long or has an invalid byte
     KY_ERROR_UNKNOWN    no customer has this key
     KY_ERROR_WITHDRAWN  the key has been withdrawn
     KY_ERROR_PATH       the path contains a key, so it cannot be removed  */

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
  KY_ERROR_WITHDRAWN,
  KY_ERROR_PATH,
} KyError;

typedef struct KyTable KyTable;

/* Both belong to the table's configuration.  */
typedef struct
{
  const CfCustomer *customer;
  const CfKey *key;
} KyMatch;

GQuark ky_error_quark (void);

/* CONFIG must outlive the table.  */
KyTable *ky_table_new (const CfConfig *config);
void ky_table_free (KyTable *table);

/* A digest that is on record as withdrawn is refused even where another
   customer has it in force.  */
gboolean ky_lookup (const KyTable *table, const uint8_t *digest,
                    KyMatch *match, GError **error);

/* SHA-256 of LENGTH bytes at KEY into DIGEST.  */
void ky_digest (const void *key, gsize length, uint8_t *digest);

/* Compares two digests in constant time.  */
gboolean ky_equal (const uint8_t *a, const uint8_t *b);

/* Digest of the key that the headers present.  Equal duplicates are one
   key.  */
gboolean ky_find (const HtHeaders *headers, uint8_t *digest, GError **error);

/* Removes every key from HEADERS and from *QUERY, the text after the question
   mark.  *QUERY may be NULL, is replaced when something was removed, and
   becomes NULL when nothing is left; its strings are of GLib's allocator.  On
   KY_ERROR_PATH nothing may be forwarded.  */
gboolean ky_strip (HtHeaders *headers, const char *path, char **query,
                   GError **error);

G_DEFINE_AUTOPTR_CLEANUP_FUNC (KyTable, ky_table_free)

#endif
