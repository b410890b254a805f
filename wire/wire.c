#include "wire/wire.h"

G_DEFINE_QUARK (wr_error, wr_error)

static void
write_length (uint8_t *header, uint32_t length_bytes)
{
  uint32_t value = GUINT32_TO_BE (length_bytes);
  memcpy (header, &value, sizeof value);
}

static uint32_t
read_length (const uint8_t *header)
{
  uint32_t value;
  memcpy (&value, header, sizeof value);
  return GUINT32_FROM_BE (value);
}

void
wr_append_frame (GByteArray *out, const Peer__Envelope *envelope)
{
  size_t payload_bytes = peer__envelope__get_packed_size (envelope);
  guint start = out->len;

  g_assert (payload_bytes > 0 && payload_bytes <= WR_PAYLOAD_MAX_BYTES);
  g_byte_array_set_size (out, start + WR_HEADER_BYTES + (guint)payload_bytes);
  write_length (out->data + start, (uint32_t)payload_bytes);
  peer__envelope__pack (envelope, out->data + start + WR_HEADER_BYTES);
}

WrResult
wr_decode_frame (const uint8_t *bytes, size_t length_bytes, size_t *used_bytes,
                 Peer__Envelope **envelope, GError **error)
{
  uint32_t payload_bytes;

  if (length_bytes < WR_HEADER_BYTES)
    return WR_INCOMPLETE;
  payload_bytes = read_length (bytes);
  if (payload_bytes == 0 || payload_bytes > WR_PAYLOAD_MAX_BYTES)
    {
      g_set_error (error, WR_ERROR, WR_ERROR_LENGTH,
                   "frame length %" G_GUINT32_FORMAT
                   " is not between 1 and %d bytes",
                   payload_bytes, WR_PAYLOAD_MAX_BYTES);
      return WR_INVALID;
    }
  if (length_bytes < WR_HEADER_BYTES + (size_t)payload_bytes)
    return WR_INCOMPLETE;
  *envelope
      = peer__envelope__unpack (NULL, payload_bytes, bytes + WR_HEADER_BYTES);
  if (*envelope != NULL
      && (*envelope)->body_case != PEER__ENVELOPE__BODY__NOT_SET)
    {
      *used_bytes = WR_HEADER_BYTES + (size_t)payload_bytes;
      return WR_FRAME;
    }
  wr_envelope_free (*envelope);
  *envelope = NULL;
  g_set_error (error, WR_ERROR, WR_ERROR_MESSAGE,
               "frame of %" G_GUINT32_FORMAT
               " bytes is not an Envelope with a body",
               payload_bytes);
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
