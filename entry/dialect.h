/* dialect.h - names that a platform uses in HTTP messages

   DESCRIPTION
     The request path is the same on every platform, but header names, paths
     and parameters differ.  The platform adapter supplies them in a value of
     this type.  */

#ifndef EN_DIALECT_H
#define EN_DIALECT_H

#include <glib.h>
#include <stdint.h>

#include "notice/notice.h"

/* Names of headers unless stated otherwise.  */
typedef struct
{
  const char *request_id;  /* a caller sets a new one for each request that it
                              sends; echoed by targets */
  const char *deadline_ms; /* time left */
  const char *object_cookie; /* name of a cookie; its value identifies the
                                requested object */
  const char *signature;     /* proves that the target made the response */
  const char *customer; /* set for targets; removed from callers' requests */
  const char *expected_target_id; /* target that the request is meant for */
  const char *load;               /* of a target: "running,waiting,slots" */
  NtHeaderNames notices;          /* of a target about itself */
  const char *not_run;            /* the target did not run the request */
  const char *auth_scheme;        /* scheme in Authorization */
  const char *lookup_path;        /* returns the entry VMs to use */
  const char *lookup_zone;        /* query parameters of a lookup */
  const char *lookup_region;
  const char *ready_path;
  /* Body of the response to a lookup.  Free with g_free.  */
  char *(*format_lookup) (const char *const *addresses, uint32_t count,
                          uint32_t ttl_ms);
} EnDialect;

#endif
