#include <gtest/gtest.h>

extern "C"
{
#include "wire/wire.h"
}

namespace
{

GByteArray *
promise_reply_frame (uint64_t id)
{
  GByteArray *out = g_byte_array_new ();
  Peer__Envelope envelope = PEER__ENVELOPE__INIT;
  Peer__PromiseReply reply = PEER__PROMISE_REPLY__INIT;

  reply.granted = 1;
  envelope.id = id;
  envelope.body_case = PEER__ENVELOPE__BODY_PROMISE_REPLY;
  envelope.promise_reply = &reply;
  wr_append_frame (out, &envelope);
  return out;
}

/* Guards against a frame being decoded before its last byte has arrived.  */
TEST (Wire, TruncatedFrameIsIncomplete)
{
  GByteArray *frame = promise_reply_frame (7);
  Peer__Envelope *envelope = NULL;
  size_t used_bytes = 0;

  for (guint length_bytes = 0; length_bytes < frame->len; length_bytes++)
    EXPECT_EQ (WR_INCOMPLETE, wr_decode_frame (frame->data, length_bytes,
                                               &used_bytes, &envelope, NULL));
  ASSERT_EQ (WR_FRAME, wr_decode_frame (frame->data, frame->len, &used_bytes,
                                        &envelope, NULL));
  EXPECT_EQ (frame->len, used_bytes);
  EXPECT_EQ (7u, envelope->id);
  EXPECT_STREQ ("promise_reply", wr_body_name (envelope));
  wr_envelope_free (envelope);
  g_byte_array_unref (frame);
}

/* Guards against a header whose length makes the daemon wait for 4 GB or
   allocate them.  */
TEST (Wire, RefusesLengthAboveTheMaximum)
{
  const uint8_t header[] = { 0xff, 0xff, 0xff, 0xff };
  Peer__Envelope *envelope = NULL;
  GError *error = NULL;
  size_t used_bytes = 0;

  EXPECT_EQ (WR_INVALID, wr_decode_frame (header, sizeof header, &used_bytes,
                                          &envelope, &error));
  EXPECT_TRUE (g_error_matches (error, WR_ERROR, WR_ERROR_LENGTH));
  g_clear_error (&error);
}

/* Guards against a crash or a leak on a malformed frame: with any one byte
   changed, a valid frame must be decoded, rejected as invalid or reported as
   incomplete, and an envelope returned only if it was decoded.  */
TEST (Wire, SurvivesEverySingleByteChange)
{
  GByteArray *frame = promise_reply_frame (300);

  for (guint index = 0; index < frame->len; index++)
    for (int value = 0; value < 256; value++)
      {
        Peer__Envelope *envelope = NULL;
        size_t used_bytes = 0;
        uint8_t saved = frame->data[index];

        frame->data[index] = (uint8_t)value;
        WrResult result = wr_decode_frame (frame->data, frame->len,
                                           &used_bytes, &envelope, NULL);
        EXPECT_EQ (result == WR_FRAME, envelope != NULL);
        wr_envelope_free (envelope);
        frame->data[index] = saved;
      }
  g_byte_array_unref (frame);
}

/* Guards against an envelope without a message being passed to a handler.  */
TEST (Wire, RefusesEnvelopeWithoutBody)
{
  const uint8_t bytes[] = { 0, 0, 0, 2, 0x20, 0x01 };
  Peer__Envelope *envelope = NULL;
  GError *error = NULL;
  size_t used_bytes = 0;

  EXPECT_EQ (WR_INVALID, wr_decode_frame (bytes, sizeof bytes, &used_bytes,
                                          &envelope, &error));
  EXPECT_TRUE (g_error_matches (error, WR_ERROR, WR_ERROR_MESSAGE));
  g_clear_error (&error);
}

}
