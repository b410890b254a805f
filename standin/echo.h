/* echo.h - answer bodies that a caller can verify

   DESCRIPTION
     A body names the tag of its request and the checksum of the request's
     body, and ends in the checksum of all bytes before.  So a caller notices
     an answer that is cut, mixed with another, or not its own.  */

#ifndef SI_ECHO_H
#define SI_ECHO_H

#include <glib.h>
#include <stdint.h>

/* A body of at least LENGTH_BYTES.  */
GString *si_echo_make (const char *tag, const char *request_body,
                       gsize request_bytes, gsize length_bytes);
gboolean si_echo_check (const char *body, gsize length_bytes, const char *tag,
                        const char *request_body, gsize request_bytes);

#endif
