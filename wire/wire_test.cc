#include <gtest/gtest.h>

extern "C"
{
#include "wire/wire.h"
}

namespace
{

GByteArray *
promise_frame (uint64_t id)
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

/* Guards against a frame being decoded before its last byte has come.  */
TEST (Wire, EveryCutOfAFrameIsIncomplete)
{
  GByteArray *frame = promise_frame (7);
  Peer__Envelope *envelope = NULL;
  size_t used = 0;

  for (guint length = 0; length < frame->len; length++)
    EXPECT_EQ (WR_INCOMPLETE,
               wr_next_frame (frame->data, length, &used, &envelope, NULL));
  ASSERT_EQ (WR_FRAME,
             wr_next_frame (frame->data, frame->len, &used, &envelope, NULL));
  EXPECT_EQ (frame->len, used);
  EXPECT_EQ (7u, envelope->id);
  EXPECT_STREQ ("promise_reply", wr_body_name (envelope));
  wr_envelope_free (envelope);
  g_byte_array_unref (frame);
}

/* Guards against a peer making the daemon wait for or allocate 4 GB.  */
TEST (Wire, RefusesLengthAboveTheMaximum)
{
  const uint8_t header[] = { 0xff, 0xff, 0xff, 0xff };
  Peer__Envelope *envelope = NULL;
  GError *error = NULL;
  size_t used = 0;

  EXPECT_EQ (WR_INVALID,
             wr_next_frame (header, sizeof header, &used, &envelope, &error));
  EXPECT_TRUE (g_error_matches (error, WR_ERROR, WR_ERROR_LENGTH));
  g_clear_error (&error);
}

/* Guards against crashes on malformed frames: every single-byte change of a
   valid frame is decoded, refused or incomplete, and nothing else.  */
TEST (Wire, SurvivesEverySingleByteChange)
{
  GByteArray *frame = promise_frame (300);

  for (guint at = 0; at < frame->len; at++)
    for (int value = 0; value < 256; value++)
      {
        Peer__Envelope *envelope = NULL;
        size_t used = 0;
        uint8_t saved = frame->data[at];

        frame->data[at] = (uint8_t)value;
        WrResult result
            = wr_next_frame (frame->data, frame->len, &used, &envelope, NULL);
        EXPECT_EQ (result == WR_FRAME, envelope != NULL);
        wr_envelope_free (envelope);
        frame->data[at] = saved;
      }
  g_byte_array_unref (frame);
}

/* Guards against an envelope without a message reaching a handler.  */
TEST (Wire, RefusesEnvelopeWithoutBody)
{
  const uint8_t bytes[] = { 0, 0, 0, 2, 0x20, 0x01 };
  Peer__Envelope *envelope = NULL;
  GError *error = NULL;
  size_t used = 0;

  EXPECT_EQ (WR_INVALID,
             wr_next_frame (bytes, sizeof bytes, &used, &envelope, &error));
  EXPECT_TRUE (g_error_matches (error, WR_ERROR, WR_ERROR_MESSAGE));
  g_clear_error (&error);
}

}
