#include <gtest/gtest.h>

extern "C"
{
#include "settings/settings.h"
}

#include <string>

static const char valid_text[]
    = "{\n"
      "  // Names and addresses of this VM.\n"
      "  \"vm\": \"vm1\", \"zone\": \"baltic-1\", \"region\": \"baltic\",\n"
      "  \"http_listen\": \"127.0.0.1:8001\", \"peer_listen\": "
      "\"127.0.0.1:9001\",\n"
      "  \"admin_listen\": \"[::1]:7001\", /* IPv6 */\n"
      "  \"peer_connect\": {\"vm2\": \"127.0.0.1:9102\"},\n"
      "  \"target_connect\": {\"boards-01\": \"127.0.0.1:9201\"},\n"
      "  \"store\": \"127.0.0.1:8500\", \"peers\": [\"127.0.0.1:9002\"],\n"
      "  \"policy\": \"least-reported\", \"admission\": \"split\",\n"
      "  \"trust_client_address\": true, \"log\": \"debug\", "
      "\"memory_mb\": 300, \"connections_max\": 70, "
      "\"connections_per_address_max\": 60, \"peer_connections_max\": 50, "
      "\"drain_max_ms\": 100\n"
      "}\n";

static SeSettings *
parse (const std::string &text, GPtrArray **problems)
{
  return se_parse (text.c_str (), text.size (), "vm1.json", problems);
}

/* Guards against a field that is checked but not stored.  */
TEST (Settings, StoresEveryField)
{
  GPtrArray *problems = nullptr;
  g_autoptr (SeSettings) s = parse (valid_text, &problems);
  ASSERT_NE (s, nullptr);
  EXPECT_STREQ (s->vm, "vm1");
  EXPECT_STREQ (s->zone, "baltic-1");
  EXPECT_STREQ (s->region, "baltic");
  EXPECT_EQ (s->http_listen.port, 8001);
  EXPECT_EQ (s->peer_listen.port, 9001);
  EXPECT_STREQ (s->admin_listen.ip, "::1");
  EXPECT_EQ (s->store.port, 8500);
  EXPECT_EQ (s->peers->len, 1u);
  EXPECT_EQ (se_find_override (s->peer_connect, "vm2")->port, 9102);
  EXPECT_EQ (se_find_override (s->target_connect, "boards-01")->port, 9201);
  EXPECT_EQ (se_find_override (s->target_connect, "boards-02"), nullptr);
  EXPECT_EQ (s->policy, SE_POLICY_LEAST_REPORTED);
  EXPECT_EQ (s->admission, SE_ADMISSION_SPLIT);
  EXPECT_EQ (s->log, SE_LOG_DEBUG);
  EXPECT_TRUE (s->trust_client_address);
  EXPECT_EQ (s->drain_max_ms, 100u);
  EXPECT_EQ (s->memory_mib, 300u);
  EXPECT_EQ (s->connections_max, 70u);
  EXPECT_EQ (s->per_address_max, 60u);
  EXPECT_EQ (s->peers_max, 50u);
}

/* Guards against a daemon that starts with other settings than the operator
   wrote, and against a message that does not name the line or field.  */
TEST (Settings, RejectsInvalidFiles)
{
  static const struct
  {
    const char *from, *to;
    SeError code;
    const char *message;
  } cases[] = {
    { "\"vm\": \"vm1\",", "\"vm\": \"vm1\",,", SE_ERROR_SYNTAX, "line 3" },
    { "\"drain_max_ms\": 100\n}", "", SE_ERROR_SYNTAX, "line 11" },
    { "\"log\"", "\"lgo\"", SE_ERROR_UNKNOWN, "lgo" },
    { "\"vm\": \"vm1\", ", "", SE_ERROR_MISSING, "vm: is missing" },
    { "\"vm\": \"vm1\"", "\"vm\": 1", SE_ERROR_TYPE, "vm: " },
    { "\"baltic\"", "\"Baltic\"", SE_ERROR_NAME, "region: " },
    { "127.0.0.1:8001", "localhost:8001", SE_ERROR_ADDRESS, "http_listen" },
    { "127.0.0.1:9002", "127.0.0.1:0", SE_ERROR_ADDRESS, "peers[0]" },
    { "127.0.0.1:9102", "127.0.0.1", SE_ERROR_ADDRESS, "peer_connect.vm2" },
    { "\"split\"", "\"spilt\"", SE_ERROR_KEYWORD, "admission: " },
    { "true", "\"yes\"", SE_ERROR_TYPE, "trust_client_address" },
    { "100", "600001", SE_ERROR_RANGE, "drain_max_ms" },
    { "\"memory_mb\": 300", "\"memory_mb\": 127", SE_ERROR_RANGE,
      "memory_mb" },
    { "\"connections_max\": 70", "\"connections_max\": 0", SE_ERROR_RANGE,
      "connections_max" },
    { "_max\": 50", "_max\": 7", SE_ERROR_RANGE, "peer_connections_max" },
    { "_max\": 60", "_max\": 0", SE_ERROR_RANGE,
      "connections_per_address_max" },
    { "127.0.0.1:9001", "127.0.0.1:8001", SE_ERROR_CONFLICT, "peer_listen" },
    { "\"log\"", "\"vm\": \"vm3\", \"log\"", SE_ERROR_CONFLICT, "vm: " },
    { "{\"vm2\"", "{\"vm1\"", SE_ERROR_CONFLICT, "peer_connect" },
  };

  for (const auto &c : cases)
    {
      std::string text = valid_text;
      size_t at = text.find (c.from);
      ASSERT_NE (at, std::string::npos) << c.from;
      text.replace (at, strlen (c.from), c.to);
      g_autoptr (GPtrArray) problems = nullptr;
      ASSERT_EQ (parse (text, &problems), nullptr) << c.to;
      ASSERT_EQ (problems->len, 1u) << c.to;
      auto *problem = (SeProblem *)g_ptr_array_index (problems, 0);
      EXPECT_EQ (problem->code, c.code) << problem->message;
      EXPECT_NE (strstr (problem->message, c.message), nullptr)
          << problem->message;
      EXPECT_TRUE (g_str_has_prefix (problem->message, "vm1.json: "));
    }
}

/* Guards against an operator having to start a daemon once per problem.  */
TEST (Settings, ReportsAllProblemsAtOnce)
{
  g_autoptr (GPtrArray) problems = nullptr;
  ASSERT_EQ (parse ("{\"vm\": 1, \"zone\": \"Z\", \"x\": 0}", &problems),
             nullptr);
  EXPECT_EQ (problems->len, 8u);
}

/* Guards against a missing file being treated as an empty one.  */
TEST (Settings, ReportsMissingFile)
{
  g_autoptr (GPtrArray) problems = nullptr;
  ASSERT_EQ (se_load ("/nonexistent/vm1.json", &problems), nullptr);
  ASSERT_EQ (problems->len, 1u);
  EXPECT_EQ (((SeProblem *)g_ptr_array_index (problems, 0))->code,
             SE_ERROR_FILE);
}
