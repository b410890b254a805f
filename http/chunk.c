#include "http/http.h"

#include <string.h>

/* A size line carries no extensions: no sender here needs them, and they are
   where parsers disagree.  */
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

/* 7 hexadecimal digits are 256 MB, above every limit on bodies.  */
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

  return c != '\0' && ht_is_value (text);
}

static HtChunkResult
enter (HtChunked *chunked, uint8_t state)
{
  chunked->state = state;
  return HT_CHUNK_MORE;
}

static HtChunkResult
expect (HtChunked *chunked, char c, char wanted, uint8_t next)
{
  return c == wanted ? enter (chunked, next) : HT_CHUNK_INVALID;
}

static HtChunkResult
size_byte (HtChunked *chunked, char c)
{
  if (c == '\r')
    return chunked->digit_count > 0 ? enter (chunked, SIZE_LF)
                                    : HT_CHUNK_INVALID;
  if (!g_ascii_isxdigit (c) || chunked->digit_count == SIZE_MAX_DIGITS)
    return HT_CHUNK_INVALID;
  chunked->digit_count++;
  chunked->left_bytes
      = 16 * chunked->left_bytes + (uint64_t)g_ascii_xdigit_value (c);
  return HT_CHUNK_MORE;
}

static HtChunkResult
trailer_byte (HtChunked *chunked, char c)
{
  if (++chunked->trailer_bytes > TRAILER_MAX_BYTES)
    return HT_CHUNK_INVALID;
  switch (chunked->state)
    {
    case TRAILER_START:
      if (c == '\r')
        return enter (chunked, END_LF);
      return is_name_byte (c) ? enter (chunked, TRAILER_NAME)
                              : HT_CHUNK_INVALID;
    case TRAILER_NAME:
      if (c == ':')
        return enter (chunked, TRAILER_VALUE);
      return is_name_byte (c) ? HT_CHUNK_MORE : HT_CHUNK_INVALID;
    default:
      if (c == '\r')
        return enter (chunked, TRAILER_LF);
      return is_value_byte (c) ? HT_CHUNK_MORE : HT_CHUNK_INVALID;
    }
}

static HtChunkResult
framing_byte (HtChunked *chunked, char c)
{
  switch (chunked->state)
    {
    case SIZE:
      return size_byte (chunked, c);
    case SIZE_LF:
      chunked->digit_count = 0;
      return expect (chunked, c, '\n',
                     chunked->left_bytes > 0 ? DATA : TRAILER_START);
    case DATA_CR:
      return expect (chunked, c, '\r', DATA_LF);
    case DATA_LF:
      return expect (chunked, c, '\n', SIZE);
    case TRAILER_LF:
      return expect (chunked, c, '\n', TRAILER_START);
    case END_LF:
      return c == '\n' ? HT_CHUNK_DONE : HT_CHUNK_INVALID;
    default:
      return trailer_byte (chunked, c);
    }
}

HtChunkResult
ht_chunk_feed (HtChunked *chunked, const char *bytes, gsize length,
               gsize *used_bytes, GByteArray *body)
{
  HtChunkResult result = HT_CHUNK_MORE;
  gsize used = 0;

  while (result == HT_CHUNK_MORE && used < length)
    {
      gsize take = (gsize)MIN (chunked->left_bytes, length - used);

      if (chunked->state != DATA)
        {
          result = framing_byte (chunked, bytes[used++]);
          continue;
        }
      if (body != NULL)
        g_byte_array_append (body, (const guint8 *)bytes + used, (guint)take);
      used += take;
      chunked->left_bytes -= take;
      chunked->total_bytes += take;
      if (chunked->left_bytes == 0)
        chunked->state = DATA_CR;
    }
  *used_bytes = used;
  return result;
}
