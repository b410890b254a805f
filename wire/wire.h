/* wire.h - encoding and decoding of the frames between daemons

   SYNOPSIS
     GByteArray *out = g_byte_array_new ();
     wr_append_frame (out, &envelope);
     ...
     WrResult result = wr_decode_frame (bytes, length_bytes, &used_bytes,
                                        &envelope, &error);

   DESCRIPTION
     A frame is a header, which is the length of the payload as a 4-byte
     big-endian number, and the payload, an encoded Envelope (peer.proto).  The
     codec keeps no state between calls.

   ERRORS
     WR_ERROR_LENGTH   the length is zero or exceeds WR_PAYLOAD_MAX_BYTES
     WR_ERROR_MESSAGE  the bytes are not an Envelope with a body  */

#ifndef WR_WIRE_H
#define WR_WIRE_H

#include <glib.h>
#include <stdint.h>

#include "wire/peer.pb-c.h"

#define WR_HEADER_BYTES 4
#define WR_PAYLOAD_MAX_BYTES (1024 * 1024)

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
  WR_INVALID,    /* malformed; close the connection */
} WrResult;

GQuark wr_error_quark (void);

/* Appends ENVELOPE as one frame to OUT.  Its encoded size must be between 1
   and WR_PAYLOAD_MAX_BYTES.  */
void wr_append_frame (GByteArray *out, const Peer__Envelope *envelope);

/* Decodes the frame at the start of BYTES.  On WR_FRAME, *USED_BYTES is the
   size of the frame with its header, and *ENVELOPE has to be freed with
   wr_envelope_free.  */
WrResult wr_decode_frame (const uint8_t *bytes, size_t length_bytes,
                          size_t *used_bytes, Peer__Envelope **envelope,
                          GError **error);

void wr_envelope_free (Peer__Envelope *envelope);

/* Name of the field of the oneof body that is set in ENVELOPE, such as
   "promise_reply", or "none".  */
const char *wr_body_name (const Peer__Envelope *envelope);

#endif
