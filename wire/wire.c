#include "wire/wire.h"

G_DEFINE_QUARK (wr_error, wr_error)

static void
put_length (uint8_t *header, uint32_t length_bytes)
{
  uint32_t value = GUINT32_TO_BE (length_bytes);
  memcpy (header, &value, sizeof value);
}

static uint32_t
get_length (const uint8_t *header)
{
  uint32_t value;
  memcpy (&value, header, sizeof value);
  return GUINT32_FROM_BE (value);
}

void
wr_append_frame (GByteArray *out, const Peer__Envelope *envelope)
{
  size_t size_bytes = peer__envelope__get_packed_size (envelope);
  guint start = out->len;

  g_assert (size_bytes > 0 && size_bytes <= WR_FRAME_MAX_BYTES);
  g_byte_array_set_size (out, start + WR_HEADER_BYTES + (guint)size_bytes);
  put_length (out->data + start, (uint32_t)size_bytes);
  peer__envelope__pack (envelope, out->data + start + WR_HEADER_BYTES);
}

WrResult
wr_next_frame (const uint8_t *bytes, size_t length, size_t *used,
               Peer__Envelope **envelope, GError **error)
{
  uint32_t size_bytes;

  if (length < WR_HEADER_BYTES)
    return WR_INCOMPLETE;
  size_bytes = get_length (bytes);
  if (size_bytes == 0 || size_bytes > WR_FRAME_MAX_BYTES)
    {
      g_set_error (error, WR_ERROR, WR_ERROR_LENGTH,
                   "frame length %" G_GUINT32_FORMAT
                   " is not within 1 and %d bytes",
                   size_bytes, WR_FRAME_MAX_BYTES);
      return WR_INVALID;
    }
  if (length < WR_HEADER_BYTES + (size_t)size_bytes)
    return WR_INCOMPLETE;
  *envelope
      = peer__envelope__unpack (NULL, size_bytes, bytes + WR_HEADER_BYTES);
  if (*envelope != NULL
      && (*envelope)->body_case != PEER__ENVELOPE__BODY__NOT_SET)
    {
      *used = WR_HEADER_BYTES + (size_t)size_bytes;
      return WR_FRAME;
    }
  wr_envelope_free (*envelope);
  *envelope = NULL;
  g_set_error (error, WR_ERROR, WR_ERROR_MESSAGE,
               "frame of %" G_GUINT32_FORMAT " bytes is not an envelope",
               size_bytes);
  return WR_INVALID;
}

void
wr_envelope_free (Peer__Envelope *envelope)
{
  if (envelope != NULL)
    peer__envelope__free_unpacked (envelope, NULL);
}

const char *
wr_body_name (const Peer__Envelope *envelope)
{
  const ProtobufCFieldDescriptor *field
      = protobuf_c_message_descriptor_get_field (
          &peer__envelope__descriptor, (unsigned int)envelope->body_case);
  return field == NULL ? "none" : field->name;
}
