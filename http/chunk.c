#include "http/http.h"

#include <string.h>

/* What the decoder expects next.  There is no state for chunk extensions,
   which are rejected: no sender in this system needs them, and parsers
   disagree about them.  */
enum
{
  SIZE,
  SIZE_LF,
  DATA,
  DATA_CR,
  DATA_LF,
  TRAILER_START,
  TRAILER_NAME,
  TRAILER_VALUE,
  TRAILER_LF,
  END_LF,
};

/* 7 hexadecimal digits allow 256 MB, which is above every body limit.  */
#define SIZE_MAX_DIGITS 7
#define TRAILER_MAX_BYTES 4096

static gboolean
is_name_byte (char c)
{
  char text[2] = { c, '\0' };

  return c != '\0' && ht_is_token (text);
}

static gboolean
is_value_byte (char c)
{
  char text[2] = { c, '\0' };

  return c != '\0' && ht_is_header_value (text);
}

static HtChunkResult
set_state (HtChunkDecoder *decoder, uint8_t state)
{
  decoder->state = state;
  return HT_CHUNK_MORE;
}

static HtChunkResult
expect_byte (HtChunkDecoder *decoder, char c, char wanted, uint8_t next_state)
{
  return c == wanted ? set_state (decoder, next_state) : HT_CHUNK_INVALID;
}

static HtChunkResult
decode_size_byte (HtChunkDecoder *decoder, char c)
{
  if (c == '\r')
    return decoder->digit_count > 0 ? set_state (decoder, SIZE_LF)
                                    : HT_CHUNK_INVALID;
  if (!g_ascii_isxdigit (c) || decoder->digit_count == SIZE_MAX_DIGITS)
    return HT_CHUNK_INVALID;
  decoder->digit_count++;
  decoder->left_bytes
      = 16 * decoder->left_bytes + (uint64_t)g_ascii_xdigit_value (c);
  return HT_CHUNK_MORE;
}

static HtChunkResult
decode_trailer_byte (HtChunkDecoder *decoder, char c)
{
  if (++decoder->trailer_bytes > TRAILER_MAX_BYTES)
    return HT_CHUNK_INVALID;
  switch (decoder->state)
    {
    case TRAILER_START:
      if (c == '\r')
        return set_state (decoder, END_LF);
      return is_name_byte (c) ? set_state (decoder, TRAILER_NAME)
                              : HT_CHUNK_INVALID;
    case TRAILER_NAME:
      if (c == ':')
        return set_state (decoder, TRAILER_VALUE);
      return is_name_byte (c) ? HT_CHUNK_MORE : HT_CHUNK_INVALID;
    default:
      if (c == '\r')
        return set_state (decoder, TRAILER_LF);
      return is_value_byte (c) ? HT_CHUNK_MORE : HT_CHUNK_INVALID;
    }
}

static HtChunkResult
decode_framing_byte (HtChunkDecoder *decoder, char c)
{
  switch (decoder->state)
    {
    case SIZE:
      return decode_size_byte (decoder, c);
    case SIZE_LF:
      decoder->digit_count = 0;
      return expect_byte (decoder, c, '\n',
                          decoder->left_bytes > 0 ? DATA : TRAILER_START);
    case DATA_CR:
      return expect_byte (decoder, c, '\r', DATA_LF);
    case DATA_LF:
      return expect_byte (decoder, c, '\n', SIZE);
    case TRAILER_LF:
      return expect_byte (decoder, c, '\n', TRAILER_START);
    case END_LF:
      return c == '\n' ? HT_CHUNK_DONE : HT_CHUNK_INVALID;
    default:
      return decode_trailer_byte (decoder, c);
    }
}

HtChunkResult
ht_chunk_decode (HtChunkDecoder *decoder, const char *bytes, gsize length,
                 gsize *used_bytes, GByteArray *body)
{
  HtChunkResult result = HT_CHUNK_MORE;
  gsize used = 0;

  while (result == HT_CHUNK_MORE && used < length)
    {
      gsize data_bytes = (gsize)MIN (decoder->left_bytes, length - used);

      if (decoder->state != DATA)
        {
          result = decode_framing_byte (decoder, bytes[used++]);
          continue;
        }
      if (body != NULL)
        g_byte_array_append (body, (const guint8 *)bytes + used,
                             (guint)data_bytes);
      used += data_bytes;
      decoder->left_bytes -= data_bytes;
      decoder->total_bytes += data_bytes;
      if (decoder->left_bytes == 0)
        decoder->state = DATA_CR;
    }
  *used_bytes = used;
  return result;
}
