/* wire.h - frames between daemons

   SYNOPSIS
     GByteArray *out = g_byte_array_new ();
     wr_append_frame (out, &envelope);
     ...
     WrResult result = wr_next_frame (bytes, length, &used, &envelope, &error);

   DESCRIPTION
     A frame is a 4-byte big-endian length followed by that many bytes of a
     protobuf-c Envelope (peer.proto).  The codec holds no state.

   ERRORS
     WR_ERROR_LENGTH   the length is zero or above WR_FRAME_MAX_BYTES
     WR_ERROR_MESSAGE  the bytes are not an Envelope with a body  */

#ifndef WR_WIRE_H
#define WR_WIRE_H

#include <glib.h>
#include <stdint.h>

#include "wire/peer.pb-c.h"

#define WR_HEADER_BYTES 4
#define WR_FRAME_MAX_BYTES (1024 * 1024)

#define WR_ERROR (wr_error_quark ())

typedef enum
{
  WR_ERROR_LENGTH,
  WR_ERROR_MESSAGE,
} WrError;

typedef enum
{
  WR_FRAME,      /* one whole frame was decoded */
  WR_INCOMPLETE, /* more bytes are needed */
  WR_INVALID,    /* the connection has to be closed */
} WrResult;

GQuark wr_error_quark (void);

/* Appends ENVELOPE as one frame to OUT.  */
void wr_append_frame (GByteArray *out, const Peer__Envelope *envelope);

/* Decodes the frame at the start of BYTES.  On WR_FRAME, *USED is the number
   of bytes taken and *ENVELOPE is to be freed with wr_envelope_free.  */
WrResult wr_next_frame (const uint8_t *bytes, size_t length, size_t *used,
                        Peer__Envelope **envelope, GError **error);

void wr_envelope_free (Peer__Envelope *envelope);

/* Short name of the message that ENVELOPE carries, for metrics and logs.  */
const char *wr_body_name (const Peer__Envelope *envelope);

#endif
