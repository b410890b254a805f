#include <gtest/gtest.h>

#include <cstring>

extern "C"
{
#include "key/key.h"
#include "route/route.h"
}

namespace
{

const RtSplitPart kSplitPart = { .service = "boards", .weight = 1 };

RtRoute
MakeRoute (const char *name, const char *prefix)
{
  RtRoute route = {};
  route.name = name;
  route.host = "Shop.example";
  route.prefix = prefix;
  route.timeout_ms = 2000;
  route.latency_target_ms = 250;
  route.attempts_max = 2;
  route.parts = &kSplitPart;
  route.part_count = 1;
  return route;
}

class Route : public testing::Test
{
protected:
  void
  SetUp () override
  {
    RtService service = { .name = "boards" };
    config = rt_config_new (7);
    rt_add_service (config, &service);
  }

  void
  TearDown () override
  {
    rt_config_unref (config);
  }

  RtConfig *config;
};

/* Guards against rejecting a whole configuration for one route whose timeout
   is below its latency target.  */
TEST_F (Route, AcceptsTimeoutBelowLatencyTarget)
{
  RtRoute route = MakeRoute ("r", "/");
  route.latency_target_ms = route.timeout_ms + 1;
  rt_add_route (config, &route);
  EXPECT_TRUE (rt_validate (config, nullptr));
}

/* Guards against a short prefix that matches the requests of a longer one if
   its route was added first.  */
TEST_F (Route, MatchesLongestPrefixOfHost)
{
  RtRoute short_prefix = MakeRoute ("all", "/");
  RtRoute long_prefix = MakeRoute ("part", "/boards/");
  rt_add_route (config, &short_prefix);
  rt_add_route (config, &long_prefix);

  EXPECT_STREQ (rt_match (config, "shop.example:80", "/boards/1")->name,
                "part");
  EXPECT_STREQ (rt_match (config, "SHOP.example", "/boards")->name, "all");
  EXPECT_EQ (rt_match (config, "other.example", "/boards/1"), nullptr);
}

/* Guards against applying a configuration whose routes cannot be served.  */
TEST_F (Route, RejectsUnknownServiceAndZeroTimeout)
{
  RtRoute route = MakeRoute ("r", "/");
  const RtSplitPart unknown = { .service = "none", .weight = 1 };
  GError *error = nullptr;
  route.parts = &unknown;
  rt_add_route (config, &route);
  EXPECT_FALSE (rt_validate (config, &error));
  EXPECT_TRUE (g_error_matches (error, RT_ERROR, RT_ERROR_UNKNOWN_SERVICE));
  g_clear_error (&error);

  route = MakeRoute ("late", "/late/");
  route.timeout_ms = 0;
  rt_add_route (config, &route);
  EXPECT_FALSE (rt_validate (config, &error));
  EXPECT_TRUE (g_error_matches (error, RT_ERROR, RT_ERROR_NO_TIMEOUT));
  g_clear_error (&error);
}

/* Guards against requests that run for the wrong customer because two
   customers share a key.  */
TEST_F (Route, FindsCustomerByKeyAndRejectsSharedKeys)
{
  const char *keys_a[] = { "key-1", "key-2", nullptr };
  const char *keys_b[] = { "key-2", nullptr };
  RtCustomer a = { .name = "a" };
  RtCustomer b = { .name = "b" };

  EXPECT_TRUE (rt_add_customer (config, &a, keys_a));
  EXPECT_STREQ (rt_find_customer (config, "key-2")->name, "a");
  EXPECT_EQ (rt_find_customer (config, "key-3"), nullptr);
  EXPECT_FALSE (rt_add_customer (config, &b, keys_b));
  EXPECT_FALSE (rt_validate (config, nullptr));
}

/* Guards against a configuration that admits all once its last customer is
   removed.  */
TEST_F (Route, RequiresKeysAlsoWithoutACustomer)
{
  RtCustomer customer = { .name = "a" };

  EXPECT_FALSE (rt_requires_keys (config));
  EXPECT_TRUE (rt_add_customer (config, &customer, nullptr));
  EXPECT_TRUE (rt_requires_keys (config));
  RtConfig *empty = rt_config_new (8);
  rt_require_keys (empty);
  EXPECT_TRUE (rt_requires_keys (empty));
  EXPECT_EQ (rt_find_customer (empty, "key-1"), nullptr);
  rt_config_unref (empty);
}

/* Guards against an empty key, which a caller without one could match.  */
TEST_F (Route, EmptyKeyIsNoKey)
{
  const char *keys[] = { "", "key-1", nullptr };
  RtCustomer a = { .name = "a" };
  RtCustomer b = { .name = "b" };

  EXPECT_TRUE (rt_add_customer (config, &a, keys));
  EXPECT_TRUE (rt_add_customer (config, &b, keys + 2));
  EXPECT_EQ (rt_find_customer (config, ""), nullptr);
  EXPECT_STREQ (rt_find_customer (config, "key-1")->name, "a");
}

/* Guards against an explanation that finds another customer than the key does,
   and against a host that counts as unknown because of its case or port.  */
TEST_F (Route, FindsCustomerByDigestAndKnowsHosts)
{
  const char *keys[] = { "key-1", nullptr };
  RtCustomer customer = { .name = "c1" };
  RtRoute route = MakeRoute ("r", "/");
  uint8_t digest[KY_DIGEST_BYTES];
  rt_add_route (config, &route);
  ASSERT_TRUE (rt_add_customer (config, &customer, keys));
  ky_digest ("key-1", strlen ("key-1"), digest);
  EXPECT_EQ (rt_find_customer_by_digest (config, digest),
             rt_find_customer (config, "key-1"));
  digest[0] ^= 1;
  EXPECT_EQ (rt_find_customer_by_digest (config, digest), nullptr);
  EXPECT_TRUE (rt_has_host (config, "shop.EXAMPLE:80"));
  EXPECT_FALSE (rt_has_host (config, "other.example"));
}

/* Guards against a limit from a route that is not more urgent or that has
   another service, against one of several routes that is not the smallest, and
   against missing a route that splits its requests.  */
TEST_F (Route, FindsSmallestLatencyTargetOfMoreUrgentRoutes)
{
  const RtSplitPart split[] = { { "boards", 9 }, { "prices", 1 } };
  RtService prices = { .name = "prices" };
  auto add = [&] (const char *name, const char *prefix, uint32_t priority,
                  uint32_t latency_target_ms, bool is_split = false) {
    RtRoute route = MakeRoute (name, prefix);
    route.priority = priority;
    route.latency_target_ms = latency_target_ms;
    route.parts = is_split ? split : &kSplitPart;
    route.part_count = is_split ? 2 : 1;
    rt_add_route (config, &route);
  };

  rt_add_service (config, &prices);
  EXPECT_EQ (rt_urgent_latency_target_ms (config, "boards", 9), 0U);
  add ("slow", "/slow/", 3, 100);
  add ("urgent", "/urgent/", 1, 400);
  add ("also-urgent", "/also/", 1, 300);
  add ("split", "/split/", 2, 900, true);
  ASSERT_TRUE (rt_validate (config, nullptr));
  EXPECT_EQ (rt_urgent_latency_target_ms (config, "boards", 0), 0U);
  EXPECT_EQ (rt_urgent_latency_target_ms (config, "boards", 1), 0U);
  EXPECT_EQ (rt_urgent_latency_target_ms (config, "boards", 2), 300U);
  EXPECT_EQ (rt_urgent_latency_target_ms (config, "boards", 3), 300U);
  EXPECT_EQ (rt_urgent_latency_target_ms (config, "boards", 4), 100U);
  EXPECT_EQ (rt_urgent_latency_target_ms (config, "prices", 2), 0U);
  EXPECT_EQ (rt_urgent_latency_target_ms (config, "prices", 3), 900U);
  EXPECT_EQ (rt_urgent_latency_target_ms (config, "unknown", 3), 0U);
}

/* Guards against requests that leave the home regions, and against routes
   without home regions that no target may serve.  */
TEST (RouteHomeRegions, NullAllowsEveryRegion)
{
  const char *home_regions[] = { "nordic", nullptr };
  EXPECT_TRUE (rt_is_home_region (nullptr, "baltic"));
  EXPECT_TRUE (rt_is_home_region (home_regions, "nordic"));
  EXPECT_FALSE (rt_is_home_region (home_regions, "baltic"));
}

}
