/* dialect.h - the names that callers, daemons and targets use in HTTP

   DESCRIPTION
     The request path is written once; what the parties call a header is a
     value of this type, given by the adapter of the platform.  */

#ifndef EN_DIALECT_H
#define EN_DIALECT_H

#include <glib.h>
#include <stdint.h>

typedef struct
{
  const char *request_id;  /* of one attempt of a caller; echoed by targets */
  const char *deadline_ms; /* time that is left */
  const char *object_cookie; /* same value: same object */
  const char *signature;     /* proves that an answer is a target's */
  const char *customer;      /* set for targets, never taken from callers */
  const char *expected_id;   /* target that is meant */
  const char *load;          /* "running,waiting,slots" of a target */
  const char *not_run;       /* the target did not run the request */
  const char *key_scheme;    /* of Authorization */
  const char *lookup_path;   /* asks for the entry VMs to use */
  const char *lookup_zone;   /* parameters of a look-up */
  const char *lookup_region;
  const char *ready_path;
  /* Body of the answer to a look-up.  Free with g_free.  */
  char *(*format_lookup) (const char *const *addresses, uint32_t count,
                          uint32_t ttl_ms);
} EnDialect;

#endif
