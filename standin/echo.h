/* echo.h - response bodies that a caller can verify

   DESCRIPTION
     A caller sends a tag of its choice with each request (X-Request-Tag).
     The response body starts with this tag and the checksum of the request
     body, and ends with the checksum of all bytes before it.  A caller can
     thus detect a response that is truncated, mixed with another one, or meant
     for another request.  */

#ifndef SI_ECHO_H
#define SI_ECHO_H

#include <glib.h>
#include <stdint.h>

/* Returns a body of at least LENGTH_BYTES.  Free with g_string_free.  */
GString *si_echo_make (const char *tag, const char *request_body,
                       gsize request_bytes, gsize length_bytes);
/* Returns FALSE unless BODY is the complete response to this request.  */
gboolean si_echo_check (const char *body, gsize length_bytes, const char *tag,
                        const char *request_body, gsize request_bytes);

#endif
