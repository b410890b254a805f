#include <gtest/gtest.h>

#include <map>
#include <random>
#include <set>
#include <string>

extern "C"
{
#include "fair/fair.h"
}

namespace
{

const int64_t kFarDeadlineUs = 1000000000;

class FairTest : public testing::Test
{
protected:
  FqQueue *queue = fq_new (&options);
  uintptr_t last_request = 0;
  static constexpr FqOptions options = { 0 };

  void
  TearDown () override
  {
    fq_free (queue);
  }

  void *
  push (const char *customer, int64_t now_us,
        int64_t deadline_us = kFarDeadlineUs)
  {
    void *request = (void *)++last_request;
    return fq_push (queue, customer, request, deadline_us, now_us, nullptr)
               ? request
               : nullptr;
  }

  std::string
  pop (int64_t now_us)
  {
    FqItem item = {};
    if (!fq_pop (queue, now_us, &item))
      return "";
    return item.expired ? "expired" : item.customer;
  }
};

/* Guards against a customer at 8 times its rate that reduces what others get:
   8 customers have 10 requests/s each and 83/s are served; one sends 83/s.  */
TEST_F (FairTest, OverloadByOneCustomerDoesNotSlowOthers)
{
  std::map<std::string, int> sent, served;
  int64_t longest_wait_us = 0;
  for (int64_t ms = 0; ms < 60000; ms++)
    {
      for (int c = 0; c < 8; c++)
        if ((ms + 13 * c) % (c == 0 ? 12 : 100) == 0)
          {
            std::string name = "c" + std::to_string (c);
            sent[name] += push (name.c_str (), ms * 1000) != nullptr;
          }
      FqItem item = { .expired = TRUE };
      while (ms % 12 == 0 && item.expired && fq_pop (queue, ms * 1000, &item))
        if (!item.expired)
          {
            served[item.customer]++;
            if (item.customer != std::string ("c0"))
              longest_wait_us = std::max (longest_wait_us, item.waited_us);
          }
    }
  for (int c = 1; c < 8; c++)
    {
      std::string name = "c" + std::to_string (c);
      EXPECT_EQ (600, sent[name]);
      EXPECT_GE (served[name], 599) << name;
    }
  /* A request within its customer's fair share waits for at most two rounds,
     its own and that of the request before it: 8 + 8 requests, 12 ms each.  */
  EXPECT_LE (longest_wait_us, 16 * 12000);
  EXPECT_GE (served["c0"], 600);
}

/* Guards against shares that are not proportional to the weights while every
   customer has requests waiting.  */
TEST_F (FairTest, ServesInProportionToWeights)
{
  const std::map<std::string, int> weights
      = { { "a", 800 }, { "b", 300 }, { "c", 20 }, { "d", 1 } };
  std::map<std::string, int> served;
  int total = 0;
  for (const auto &[name, weight] : weights)
    {
      fq_set_weight (queue, name.c_str (), weight);
      while (push (name.c_str (), 0))
        ;
    }
  for (int i = 0; i < 11210; i++)
    {
      std::string name = pop (1);
      served[name]++;
      total++;
      ASSERT_NE (nullptr, push (name.c_str (), 0));
    }
  for (const auto &[name, weight] : weights)
    EXPECT_NEAR (1.0 * total * weight / 1121, served[name], 2) << name;
}

/* Guards against a customer of low weight that waits until it has credit for a
   whole request although it is far within its fair share.  */
TEST_F (FairTest, IdleCustomerIsServedInNextRound)
{
  fq_set_weight (queue, "big", 1000);
  fq_set_weight (queue, "small", 1);
  for (int i = 0; i < 10; i++)
    push ("big", 0);
  pop (1);
  push ("small", 1);
  EXPECT_TRUE (pop (2) == "small" || pop (3) == "small");
}

/* Guards against a customer that gets more than its fair share because it
   becomes idle after each request.  */
TEST_F (FairTest, IdlingBetweenRequestsGainsNothing)
{
  std::map<std::string, int> served;
  fq_set_weight (queue, "big", 100);
  fq_set_weight (queue, "small", 10);
  for (int i = 0; i < 1100; i++)
    {
      while (fq_customer_request_count (queue, "big") < 5)
        push ("big", 0);
      if (fq_customer_request_count (queue, "small") == 0)
        push ("small", 0);
      served[pop (1)]++;
    }
  EXPECT_NEAR (100, served["small"], 2);
}

/* Guards against a loop of billions of rounds when the weights are far apart
   and the customer with the large weight has become idle.  */
TEST_F (FairTest, SkipsRoundsWithExtremeWeights)
{
  fq_set_weight (queue, "big", UINT32_MAX);
  push ("big", 0);
  for (int i = 0; i < 10; i++)
    push ("small", 0);
  for (int i = 0; i < 11; i++)
    EXPECT_NE ("", pop (1));
  EXPECT_EQ ("", pop (1));
}

/* Guards against a request that is returned for sending after its deadline or
   the longest wait, and against a charge for an expired request.  */
TEST_F (FairTest, MarksExpiredRequests)
{
  push ("a", 0, 500);
  push ("a", 0);
  push ("b", 0);
  EXPECT_EQ (500, fq_next_expiry_us (queue));
  EXPECT_EQ ("expired", pop (500));
  EXPECT_EQ ("a", pop (500));
  FqItem item;
  EXPECT_FALSE (fq_pop_expired (queue, FQ_WAIT_MAX_US - 1, &item));
  EXPECT_TRUE (fq_pop_expired (queue, FQ_WAIT_MAX_US, &item));
  EXPECT_TRUE (item.expired);
  EXPECT_EQ (FQ_WAIT_MAX_US, item.waited_us);
  EXPECT_EQ (0u, fq_request_count (queue));
  EXPECT_EQ (INT64_MAX, fq_next_expiry_us (queue));
}

/* Guards against an unbounded queue and against errors that change it.  */
TEST_F (FairTest, ErrorsLeaveQueueUnchanged)
{
  for (int i = 0; i < FQ_CUSTOMER_REQUESTS_MAX; i++)
    ASSERT_NE (nullptr, push ("a", 0));
  g_autoptr (GError) full = nullptr;
  g_autoptr (GError) duplicate = nullptr;
  g_autoptr (GError) past_deadline = nullptr;
  EXPECT_FALSE (fq_push (queue, "a", this, kFarDeadlineUs, 0, &full));
  EXPECT_TRUE (g_error_matches (full, FQ_ERROR, FQ_ERROR_FULL));
  EXPECT_FALSE (
      fq_push (queue, "b", (void *)1, kFarDeadlineUs, 0, &duplicate));
  EXPECT_TRUE (g_error_matches (duplicate, FQ_ERROR, FQ_ERROR_DUPLICATE));
  EXPECT_FALSE (fq_push (queue, "b", this, 5, 5, &past_deadline));
  EXPECT_TRUE (g_error_matches (past_deadline, FQ_ERROR, FQ_ERROR_EXPIRED));
  EXPECT_EQ (64u, fq_request_count (queue));
  EXPECT_FALSE (fq_remove_customer (queue, "a"));
  EXPECT_TRUE (fq_remove_customer (queue, "b"));
}

/* Guards against a request that is lost, returned twice, out of order within
   its customer, or returned after it was removed.  */
TEST_F (FairTest, RandomScheduleLosesNoRequest)
{
  for (uint64_t seed = 1; seed <= 100; seed++)
    {
      SCOPED_TRACE ("seed " + std::to_string (seed));
      std::mt19937_64 random (seed);
      std::set<void *> waiting;
      std::map<std::string, void *> last_popped;
      int64_t now_us = 0;
      auto check_item = [&] (const FqItem &item) {
        ASSERT_EQ (1u, waiting.erase (item.request));
        if (item.expired)
          return;
        EXPECT_LT (last_popped[item.customer], item.request);
        last_popped[item.customer] = item.request;
      };
      for (int i = 0; i < 2000; i++)
        {
          std::string name = "c" + std::to_string (random () % 5);
          FqItem item;
          now_us += random () % 1000;
          switch (random () % 8)
            {
            case 0:
              fq_set_weight (queue, name.c_str (), random () % 1000);
              break;
            case 1:
              if (!waiting.empty ())
                {
                  ASSERT_TRUE (fq_remove_request (queue, *waiting.begin ()));
                  ASSERT_FALSE (fq_remove_request (queue, *waiting.begin ()));
                  waiting.erase (waiting.begin ());
                }
              break;
            case 2:
            case 3:
              if (fq_pop (queue, now_us, &item))
                check_item (item);
              break;
            case 4:
              if (fq_pop_expired (queue, now_us, &item))
                check_item (item);
              break;
            default:
              if (void *r
                  = push (name.c_str (), now_us, now_us + random () % 50000))
                waiting.insert (r);
            }
          ASSERT_EQ (waiting.size (), fq_request_count (queue));
        }
      FqItem item;
      while (fq_pop (queue, now_us, &item))
        check_item (item);
      ASSERT_TRUE (waiting.empty ());
    }
}

}
